//! Results as files: one for each run, with what it is the result of.
//!
//! So a sweep that was stopped goes on where it was, and a changed description is not mistaken for the old one. The names
//! of files and of fields stay what they are: results of earlier versions are read.

use super::error::ExperimentError;
use crate::emulator::description::RunDescription;
use crate::emulator::policies::Policy;
use crate::emulator::RunOutcome;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The end of the names of results files.
const EXTENSION: &str = ".json.zst";
/// The level of the compression: zstd's default.
const COMPRESSION_LEVEL: i32 = 3;

/// One run with its outcome.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RunResult {
    /// The label of the point.
    pub label: String,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// The run.
    pub run: RunDescription,
    /// What it came to.
    pub outcome: RunOutcome,
}

/// The results of an experiment, in a folder of their own.
#[derive(Clone, Debug)]
pub struct ResultsFolder {
    folder: PathBuf,
}

impl ResultsFolder {
    /// Opens a folder, which is made where there is none.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::ResultsFile`] where the folder cannot be made.
    pub fn open(folder: &Path) -> Result<ResultsFolder, ExperimentError> {
        std::fs::create_dir_all(folder).map_err(ExperimentError::results_file(folder))?;
        Ok(ResultsFolder {
            folder: folder.to_path_buf(),
        })
    }

    /// The file of a run: by the number of the point, the policy and the seed.
    pub fn path(&self, point: usize, policy: Policy, seed: u64) -> PathBuf {
        self.folder
            .join(format!("{point:04}-{policy}-{seed}{EXTENSION}"))
    }

    /// The result in a file, if it is the result of this very run.
    pub fn find(&self, path: &Path, label: &str, run: &RunDescription) -> Option<RunResult> {
        let result = read(path).ok()?;
        let is_of_run = result.run == *run && result.label == label;
        is_of_run.then_some(result)
    }

    /// Keeps a result: whole or not at all, also where the program is stopped meanwhile.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::ResultsFile`] where the file cannot be written.
    pub fn write(&self, path: &Path, result: &RunResult) -> Result<(), ExperimentError> {
        let json = serde_json::to_vec(result).map_err(ExperimentError::ResultsJson)?;
        let compressed = zstd::encode_all(&json[..], COMPRESSION_LEVEL)
            .map_err(ExperimentError::results_file(path))?;
        let partial = path.with_extension("partial");
        std::fs::write(&partial, compressed).map_err(ExperimentError::results_file(&partial))?;
        std::fs::rename(&partial, path).map_err(ExperimentError::results_file(path))
    }

    /// All results of the folder, in the order of points, policies and seeds.
    ///
    /// # Errors
    ///
    /// [`ExperimentError::ResultsFile`] and [`ExperimentError::ResultsFormat`] where a file cannot be read,
    /// [`ExperimentError::NoResults`] where there is none.
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

/// The number of the point in a file's name; the last place for a name without one.
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
