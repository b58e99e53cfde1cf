//! Result files: one for each run, with the description of that run.
//!
//! An interrupted sweep can therefore be resumed, and results of a changed description are not reused. The names of
//! files and fields must not change, because results of earlier versions must remain readable.

use super::error::ExperimentError;
use crate::emulator::description::RunDescription;
use crate::emulator::policies::Policy;
use crate::emulator::RunOutcome;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The extension of results files.
const EXTENSION: &str = ".json.zst";
/// Compression level: the default of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// The content of a results file: the outcome of a run and what produced it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RunResult {
    /// The label of the point.
    pub label: String,
    /// The policy that the run was executed with.
    pub policy: Policy,
    /// The seed that the simulation was given.
    pub seed: u64,
    /// The description at the point, with the values of its sweeps.
    pub run: RunDescription,
    /// The measurements of the whole run.
    pub outcome: RunOutcome,
}

/// The folder with the results of an experiment.
#[derive(Clone, Debug)]
pub struct ResultsFolder {
    folder: PathBuf,
}

impl ResultsFolder {
    /// Opens a folder and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::ResultsFile`] if the folder cannot be created.
    pub fn open(folder: &Path) -> Result<ResultsFolder, ExperimentError> {
        std::fs::create_dir_all(folder).map_err(ExperimentError::results_file(folder))?;
        Ok(ResultsFolder {
            folder: folder.to_path_buf(),
        })
    }

    /// The path of a run's result, named by the number of the point, the policy and the seed.
    pub fn path(&self, point: usize, policy: Policy, seed: u64) -> PathBuf {
        self.folder
            .join(format!("{point:04}-{policy}-{seed}{EXTENSION}"))
    }

    /// Returns the result in a file if it has the same label and description; `None` also if the file cannot be read.
    pub fn find(&self, path: &Path, label: &str, run: &RunDescription) -> Option<RunResult> {
        let result = read(path).ok()?;
        let is_of_run = result.run == *run && result.label == label;
        is_of_run.then_some(result)
    }

    /// Writes a result atomically: an interrupted write leaves no incomplete result file.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::ResultsFile`] if the file cannot be written.
    pub fn write(&self, path: &Path, result: &RunResult) -> Result<(), ExperimentError> {
        let json = serde_json::to_vec(result).map_err(ExperimentError::ResultsJson)?;
        let compressed = zstd::encode_all(&json[..], COMPRESSION_LEVEL)
            .map_err(ExperimentError::results_file(path))?;
        let partial = path.with_extension("partial");
        std::fs::write(&partial, compressed).map_err(ExperimentError::results_file(&partial))?;
        std::fs::rename(&partial, path).map_err(ExperimentError::results_file(path))
    }

    /// Reads all results of the folder, ordered by point, policy and seed.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::ResultsFile`] or [`ExperimentError::ResultsFormat`] if a file cannot be read,
    /// [`ExperimentError::NoResults`] if there are no results.
    pub fn all(&self) -> Result<Vec<RunResult>, ExperimentError> {
        let folder = &self.folder;
        let entries = std::fs::read_dir(folder).map_err(ExperimentError::results_file(folder))?;
        let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        paths.retain(|path| path.to_string_lossy().ends_with(EXTENSION));
        paths.sort();
        let mut numbered = Vec::with_capacity(paths.len());
        for path in &paths {
            numbered.push((point_number(path), read(path)?));
        }
        if numbered.is_empty() {
            return Err(ExperimentError::NoResults {
                folder: folder.clone(),
            });
        }
        numbered.sort_by_key(|(point, result)| (*point, result.policy, result.seed));
        Ok(numbered.into_iter().map(|(_, result)| result).collect())
    }
}

/// The number of the point in a file's name; names without a number sort last.
fn point_number(path: &Path) -> usize {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let number = name
        .split('-')
        .next()
        .and_then(|number| number.parse().ok());
    number.unwrap_or(usize::MAX)
}

fn read(path: &Path) -> Result<RunResult, ExperimentError> {
    let json = std::fs::File::open(path)
        .and_then(zstd::decode_all)
        .map_err(ExperimentError::results_file(path))?;
    serde_json::from_slice(&json).map_err(|source| ExperimentError::ResultsFormat {
        path: path.to_path_buf(),
        source,
    })
}
