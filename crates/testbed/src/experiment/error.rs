//! Errors of reading and running experiments and of storing their results.

use crate::emulator::description::RunDescriptionError;
use crate::emulator::{SimulationError, TraceError};
use std::io;
use std::path::{Path, PathBuf};

/// Why an experiment cannot be read or run, or its results cannot be stored.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The experiment file cannot be read.
    #[error("experiment {}: {source}", path.display())]
    Read {
        /// The experiment file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The content of the experiment file is invalid.
    #[error("experiment {}: {source}", path.display())]
    InFile {
        /// The experiment file.
        path: PathBuf,
        /// What is invalid.
        source: Box<ExperimentError>,
    },
    /// The text is not valid TOML, or has an unknown key or an invalid value.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A description cannot be converted to TOML, which sweeps need.
    #[error("cannot convert the description to TOML: {0}")]
    Serialize(#[from] toml::ser::Error),
    /// The name is not valid as that of a folder.
    #[error("name: expected letters, digits, - and _, not '{name}'")]
    Name {
        /// The invalid name, as given.
        name: String,
    },
    /// There is no policy or no seed.
    #[error("policies, seeds: expected at least one of each")]
    NothingToRun,
    /// The description of the run is invalid.
    #[error(transparent)]
    Description(#[from] RunDescriptionError),
    /// A sweep has no values, or the number of its labels differs from that of its values.
    #[error(
        "sweep: key {key}: expected at least one value, and a label for each value or none at all"
    )]
    SweepValues {
        /// The swept key.
        key: String,
    },
    /// The key of a sweep does not exist in the run.
    #[error("sweep: key {key}: the run has no {part}")]
    SweepKey {
        /// The swept key.
        key: String,
        /// The part of it that does not exist.
        part: String,
    },
    /// A value of a sweep is invalid for its key.
    #[error("sweep: {label}: {}", source.message())]
    SweepValue {
        /// The label of the point.
        label: String,
        /// What is invalid.
        source: Box<toml::de::Error>,
    },
    /// The run at a point of a sweep is invalid.
    #[error("sweep: {label}: {source}")]
    SweepPoint {
        /// The label of the point.
        label: String,
        /// What is invalid.
        source: RunDescriptionError,
    },
    /// All sweeps together have too many points.
    #[error("sweep: expected at most {max_points} points")]
    TooManyPoints {
        /// The maximum.
        max_points: usize,
    },
    /// A folder or file of results cannot be read or written.
    #[error("results {}: {source}", path.display())]
    ResultsFile {
        /// The folder or file that was accessed.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A results file has invalid content.
    #[error("results {}: {source}", path.display())]
    ResultsFormat {
        /// The results file with the invalid content.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// A result cannot be converted to JSON.
    #[error("cannot convert a result to JSON: {0}")]
    ResultsJson(#[source] serde_json::Error),
    /// A folder contains no results.
    #[error("results {}: the folder has no result files", folder.display())]
    NoResults {
        /// The folder that was searched.
        folder: PathBuf,
    },
    /// A run failed.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// The trace of a run cannot be created.
    #[error(transparent)]
    Trace(#[from] TraceError),
}

impl ExperimentError {
    /// Returns a function that adds the path of a results folder or file to an error.
    pub(super) fn results_file(path: &Path) -> impl Fn(io::Error) -> ExperimentError + '_ {
        move |source| ExperimentError::ResultsFile {
            path: path.to_path_buf(),
            source,
        }
    }
}
