//! Parameter sweeps. The cross product of all sweeps gives the points of an experiment.

use super::super::error::ExperimentError;
use super::ExperimentPoint;
use crate::emulator::description::RunDescription;
use serde::Deserialize;
use toml::Value;

/// Maximum number of points of an experiment.
const MAX_POINTS: usize = 4096;
/// The label of the only point of an experiment without sweeps.
const UNSWEPT_LABEL: &str = "as described";

/// A parameter and its values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Sweep {
    /// The path of the parameter, separated by dots, with indexes from 0 in lists: "fleet.servers", `class.0.aim_s`, or
    /// "fault" for the whole list.
    key: String,
    values: Vec<Value>,
    /// The labels of the values; by default `part=value`, with the last part of the key.
    #[serde(default)]
    labels: Vec<String>,
}

/// A point whose run has not been validated yet.
struct DraftPoint {
    label: String,
    run: Value,
}

/// Returns one point for each combination of the values of all sweeps.
pub(super) fn expand_sweeps(
    run: &RunDescription,
    sweeps: &[Sweep],
) -> Result<Vec<ExperimentPoint>, ExperimentError> {
    let mut drafts = vec![DraftPoint {
        label: String::new(),
        run: Value::try_from(run)?,
    }];
    for sweep in sweeps {
        drafts = sweep.cross(&drafts)?;
        if drafts.len() > MAX_POINTS {
            return Err(ExperimentError::TooManyPoints {
                max_points: MAX_POINTS,
            });
        }
    }
    drafts.into_iter().map(DraftPoint::check).collect()
}

impl Sweep {
    /// Combines each point with each value of the sweep.
    fn cross(&self, points: &[DraftPoint]) -> Result<Vec<DraftPoint>, ExperimentError> {
        let has_labels = !self.labels.is_empty();
        if self.values.is_empty() || has_labels && self.labels.len() != self.values.len() {
            return Err(ExperimentError::SweepValues {
                key: self.key.clone(),
            });
        }
        let mut crossed = Vec::with_capacity(points.len() * self.values.len());
        for point in points {
            for (index, value) in self.values.iter().enumerate() {
                let mut run = point.run.clone();
                set_value(value_at(&mut run, &self.key)?, value);
                let separator = if point.label.is_empty() { "" } else { " " };
                crossed.push(DraftPoint {
                    label: format!("{}{separator}{}", point.label, self.label(index)),
                    run,
                });
            }
        }
        Ok(crossed)
    }

    fn label(&self, index: usize) -> String {
        if let Some(label) = self.labels.get(index) {
            return label.clone();
        }
        let last_part = self.key.rsplit('.').next().unwrap_or_default();
        format!("{last_part}={}", value_label(&self.values[index]))
    }
}

impl DraftPoint {
    fn check(self) -> Result<ExperimentPoint, ExperimentError> {
        let draft_label = self.label;
        let run: RunDescription =
            self.run
                .try_into()
                .map_err(|source| ExperimentError::SweepValue {
                    label: draft_label.clone(),
                    source: Box::new(source),
                })?;
        let label = if draft_label.is_empty() {
            UNSWEPT_LABEL.to_string()
        } else {
            draft_label
        };
        match run.check() {
            Ok(run) => Ok(ExperimentPoint { label, run }),
            Err(source) => Err(ExperimentError::SweepPoint { label, source }),
        }
    }
}

/// Looks up the value of a key in a run.
fn value_at<'a>(run: &'a mut Value, key: &str) -> Result<&'a mut Value, ExperimentError> {
    let mut value = run;
    for part in key.split('.') {
        let next = match value {
            Value::Table(table) => table.get_mut(part),
            Value::Array(list) => part
                .parse::<usize>()
                .ok()
                .and_then(|index| list.get_mut(index)),
            _ => None,
        };
        value = next.ok_or_else(|| ExperimentError::SweepKey {
            key: key.to_string(),
            part: part.to_string(),
        })?;
    }
    Ok(value)
}

/// Replaces a value. An integer in place of a floating-point number is converted.
fn set_value(target: &mut Value, value: &Value) {
    *target = match (&*target, value) {
        (Value::Float(_), Value::Integer(number)) => Value::Float(*number as f64),
        _ => value.clone(),
    };
}

/// The text of a value in a label.
fn value_label(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(value_label).collect::<Vec<_>>().join("+"),
        Value::Table(table) => match table.get("what") {
            Some(kind) => value_label(kind),
            None => "{}".to_string(),
        },
        Value::Integer(number) => number.to_string(),
        Value::Float(number) => number.to_string(),
        Value::Boolean(boolean) => boolean.to_string(),
        Value::Datetime(datetime) => datetime.to_string(),
    }
}
