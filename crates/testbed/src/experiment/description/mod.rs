//! The experiment file: the description of a run, and a name, policies, seeds and sweeps.

mod sweep;

use super::error::ExperimentError;
use crate::emulator::description::{
    ClassDescription, CoordinationDescription, FaultDescription, FleetDescription, LoadDescription,
    RunDescription, TenantDescription,
};
use crate::emulator::policies::Policy;
use serde::Deserialize;
use std::path::Path;
use sweep::Sweep;

/// The seeds of an experiment that specifies none.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// The content of an experiment file. Field names are its keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExperimentFile {
    name: String,
    #[serde(default = "default_policies")]
    policies: Vec<Policy>,
    #[serde(default = "default_seeds")]
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

fn default_policies() -> Vec<Policy> {
    Policy::ALL.to_vec()
}

fn default_seeds() -> Vec<u64> {
    DEFAULT_SEEDS.collect()
}

/// One combination of the values of all sweeps.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentPoint {
    /// The labels of the point's values, separated by spaces; "as described" if nothing is swept.
    pub label: String,
    /// The run at this point.
    pub run: RunDescription,
}

/// An experiment with its sweeps expanded to points.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Its name, which is also that of its default results folder.
    pub name: String,
    /// The policies to compare.
    pub policies: Vec<Policy>,
    /// The seeds, which are the same for every point and policy.
    pub seeds: Vec<u64>,
    /// The points; the values of the last sweep vary fastest.
    pub points: Vec<ExperimentPoint>,
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::Read`] if the file cannot be read, [`ExperimentError::InFile`] if its content is invalid.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|source| ExperimentError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Experiment::parse(&text).map_err(|source| ExperimentError::InFile {
            path: path.to_path_buf(),
            source: Box::new(source),
        })
    }

    /// Parses the content of an experiment file.
    ///
    /// # Errors
    ///
    /// [`ExperimentError`] with the invalid key, and its line if known.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let file: ExperimentFile = toml::from_str(text)?;
        if !is_valid_name(&file.name) {
            return Err(ExperimentError::Name { name: file.name });
        }
        if file.policies.is_empty() || file.seeds.is_empty() {
            return Err(ExperimentError::NothingToRun);
        }
        let run = RunDescription {
            fleet: file.fleet,
            load: file.load,
            class: file.class,
            tenant: file.tenant,
            fault: file.fault,
            together: file.together,
        };
        Ok(Experiment {
            name: file.name,
            policies: file.policies,
            seeds: file.seeds,
            points: sweep::expand_sweeps(&run.check()?, &file.sweep)?,
        })
    }
}

/// Whether a name can be used as the name of a folder.
fn is_valid_name(name: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || character == '-' || character == '_';
    !name.is_empty() && name.chars().all(is_allowed)
}
