//! Experiments: a described run, swept over parameters, policies and seeds.
//!
//! An [`Experiment`] is read from a TOML file. [`runner`] executes its missing runs on all cores and stores each result
//! as a file of a [`ResultsFolder`]; [`table`] shows [`Metric`]s of the results with confidence intervals. The
//! sub-commands `run`, `table`, `compare`, `load` and `report` use these.

mod confidence;
mod description;
mod error;
mod metric;
mod results_folder;
pub mod runner;
pub mod table;

pub use confidence::ConfidenceInterval;
pub use description::{Experiment, ExperimentPoint};
pub use error::ExperimentError;
pub use metric::Metric;
pub use results_folder::{ResultsFolder, RunResult};
