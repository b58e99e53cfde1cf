//! Why an experiment cannot be read, run or kept.

use crate::emulator::description::RunDescriptionError;
use crate::emulator::{SimulationError, TraceError};
use std::io;
use std::path::{Path, PathBuf};

/// An experiment cannot be read, run or kept.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file of the experiment cannot be read.
    #[error("experiment {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file of the experiment does not hold.
    #[error("experiment {}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: Box<ExperimentError>,
    },
    /// The text is no TOML, or has a key or a value that does not exist.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A description cannot be written as TOML, so that nothing can be swept over it.
    #[error("{0}")]
    Serialize(#[from] toml::ser::Error),
    /// The name cannot be that of a folder.
    #[error("name: expected letters, digits, - and _, not '{name}'")]
    Name {
        /// The name.
        name: String,
    },
    /// There is nothing to compare.
    #[error("policies, seeds: expected one at least")]
    NothingToRun,
    /// The described run cannot be played.
    #[error(transparent)]
    Description(#[from] RunDescriptionError),
    /// A sweep has no values, or too few or too many labels.
    #[error("sweep: key {key}: expected values, and a label for each or none")]
    SweepValues {
        /// The swept key.
        key: String,
    },
    /// A run has no such key.
    #[error("sweep: key {key}: there is no {part}")]
    SweepKey {
        /// The swept key.
        key: String,
        /// The part of it that does not exist.
        part: String,
    },
    /// A value of a sweep is not one of its key.
    #[error("sweep: {label}: {}", source.message())]
    SweepValue {
        /// The label of the point.
        label: String,
        /// What is wrong.
        source: Box<toml::de::Error>,
    },
    /// The run at a point of a sweep cannot be played.
    #[error("sweep: {label}: {source}")]
    SweepPoint {
        /// The label of the point.
        label: String,
        /// What is wrong.
        source: RunDescriptionError,
    },
    /// All sweeps together have too many points.
    #[error("sweep: more than {max_points} points")]
    TooManyPoints {
        /// How many there may be.
        max_points: usize,
    },
    /// A folder or file of results cannot be used.
    #[error("results {}: {source}", path.display())]
    ResultsFile {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file of results cannot be read as one.
    #[error("results {}: {source}", path.display())]
    ResultsFormat {
        /// Its path.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A result cannot be written as JSON.
    #[error("{0}")]
    ResultsJson(#[source] serde_json::Error),
    /// A folder has no results.
    #[error("results {}: there are none", folder.display())]
    NoResults {
        /// The folder.
        folder: PathBuf,
    },
    /// A run cannot be played.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// The trace of a run cannot be written.
    #[error(transparent)]
    Trace(#[from] TraceError),
}

impl ExperimentError {
    /// Names the folder or file of results to which an error belongs.
    pub(super) fn results_file(path: &Path) -> impl Fn(io::Error) -> ExperimentError + '_ {
        move |source| ExperimentError::ResultsFile {
            path: path.to_path_buf(),
            source,
        }
    }
}
