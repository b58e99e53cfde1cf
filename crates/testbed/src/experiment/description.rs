//! An experiment's file: the run's own keys, and around them a name, policies, seeds and sweeps.

#![expect(
    clippy::doc_markdown,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::emulator::description::{
    ClassDescription, CoordinationDescription, FaultDescription, FleetDescription, LoadDescription,
    RunDescription, TenantDescription,
};
use crate::emulator::policies::Policy;
use serde::Deserialize;
use std::path::Path;
use toml::Value;

/// Points of all sweeps together at most.
const MOST_POINTS: usize = 4096;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    #[serde(default = "all")]
    policies: Vec<Policy>,
    #[serde(default = "seeds")]
    seeds: Vec<u64>,
    #[serde(default)]
    sweep: Vec<Sweep>,
    #[serde(default)]
    fleet: FleetDescription,
    #[serde(default)]
    load: LoadDescription,
    #[serde(default)]
    class: Vec<ClassDescription>,
    #[serde(default)]
    tenant: Vec<TenantDescription>,
    #[serde(default)]
    fault: Vec<FaultDescription>,
    #[serde(default)]
    together: Option<CoordinationDescription>,
}

fn all() -> Vec<Policy> {
    Policy::ALL.to_vec()
}

fn seeds() -> Vec<u64> {
    (1..=5).collect()
}

/// One parameter that takes several values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sweep {
    /// Its key, with points and, in lists, numbers from 0: "fleet.servers", "class.0.aim_s", or "fault" as a whole.
    key: String,
    /// The values.
    values: Vec<Value>,
    /// What they are called; by default what they are.
    #[serde(default)]
    labels: Vec<String>,
}

/// One point of all sweeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// What it is called.
    pub label: String,
    /// The run there.
    pub run: RunDescription,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What is compared.
    pub policies: Vec<Policy>,
    /// The seeds; the same for each point and policy.
    pub seeds: Vec<u64>,
    /// The points, in order.
    pub points: Vec<Point>,
}

fn label(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(label).collect::<Vec<_>>().join("+"),
        Value::Table(table) => table.get("what").map_or_else(|| "{}".to_string(), label),
        Value::Integer(n) => n.to_string(),
        Value::Float(n) => n.to_string(),
        Value::Boolean(b) => b.to_string(),
        Value::Datetime(d) => d.to_string(),
    }
}

/// The place of a key in a run's values.
fn place<'a>(root: &'a mut Value, key: &str) -> Result<&'a mut Value, String> {
    let mut at = root;
    for part in key.split('.') {
        let next = match at {
            Value::Table(table) => table.get_mut(part),
            Value::Array(list) => part.parse::<usize>().ok().and_then(|n| list.get_mut(n)),
            _ => None,
        };
        at = next.ok_or_else(|| format!("sweep: key {key}: there is no {part}"))?;
    }
    Ok(at)
}

impl Experiment {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Experiment, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("experiment {}: {e}", path.display()))?;
        Experiment::parse(&text).map_err(|e| format!("experiment {}: {e}", path.display()))
    }

    /// Reads a text; an error names the key, and its line where it has one.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let file: File = toml::from_str(text).map_err(|e| e.to_string())?;
        let File {
            name,
            policies,
            seeds,
            sweep,
            fleet,
            load,
            class,
            tenant,
            fault,
            together,
        } = file;
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || !name.chars().all(fits) {
            return Err(format!(
                "name: expected letters, digits, - and _, not '{name}'"
            ));
        }
        if policies.is_empty() || seeds.is_empty() {
            return Err("policies, seeds: expected one at least".into());
        }
        let base = RunDescription {
            fleet,
            load,
            class,
            tenant,
            fault,
            together,
        }
        .check()
        .map_err(|e| e.to_string())?;
        let base = Value::try_from(&base).map_err(|e| e.to_string())?;
        let mut points = vec![(String::new(), base)];
        for sweep in &sweep {
            if sweep.values.is_empty()
                || !(sweep.labels.is_empty() || sweep.labels.len() == sweep.values.len())
            {
                return Err(format!(
                    "sweep: key {}: expected values, and a label for each or none",
                    sweep.key
                ));
            }
            let mut wider = Vec::new();
            for (before, base) in &points {
                for (n, value) in sweep.values.iter().enumerate() {
                    let mut root = base.clone();
                    let at = place(&mut root, &sweep.key)?;
                    // A whole number where a run has one with a point is meant as such.
                    *at = match (&*at, value) {
                        (Value::Float(_), Value::Integer(n)) => Value::Float(*n as f64),
                        _ => value.clone(),
                    };
                    let own = sweep.labels.get(n).cloned().unwrap_or_else(|| label(value));
                    let last = sweep.key.rsplit('.').next().unwrap_or_default();
                    let own = if sweep.labels.is_empty() {
                        format!("{last}={own}")
                    } else {
                        own
                    };
                    let gap = if before.is_empty() { "" } else { " " };
                    wider.push((format!("{before}{gap}{own}"), root));
                }
            }
            points = wider;
            if points.len() > MOST_POINTS {
                return Err(format!("sweep: more than {MOST_POINTS} points"));
            }
        }
        let point = |(label, root): (String, Value)| {
            let run: RunDescription = root
                .try_into()
                .map_err(|e: toml::de::Error| format!("sweep: {label}: {}", e.message()))?;
            let label = if label.is_empty() {
                "as described".to_string()
            } else {
                label
            };
            Ok(Point {
                run: run.check().map_err(|e| format!("sweep: {label}: {e}"))?,
                label,
            })
        };
        let points = points
            .into_iter()
            .map(point)
            .collect::<Result<Vec<_>, String>>()?;
        Ok(Experiment {
            name,
            policies,
            seeds,
            points,
        })
    }
}
