//! Results as files: one for each run, with what it was the result of, so that a sweep that was stopped goes on where
//! it was and a changed description is not mistaken for the old one.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use crate::emulator::description::RunDescription;
use crate::emulator::policies::Policy;
use crate::emulator::RunOutcome;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// One run with what it came to.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Found {
    /// The point's label.
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
pub struct Results {
    folder: PathBuf,
}

fn named(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("results {}: {e}", path.display())
}

impl Results {
    /// Opens a folder, which is made where there is none.
    pub fn open(folder: &Path) -> Result<Results, String> {
        std::fs::create_dir_all(folder).map_err(named(folder))?;
        Ok(Results {
            folder: folder.to_path_buf(),
        })
    }

    /// The file of a run: by the point's number, the policy and the seed.
    pub fn path(&self, point: usize, policy: Policy, seed: u64) -> PathBuf {
        self.folder
            .join(format!("{point:04}-{policy}-{seed}.json.zst"))
    }

    /// What was found there, if that is the result of this very run.
    pub fn find(&self, path: &Path, label: &str, run: &RunDescription) -> Option<Found> {
        read(path)
            .ok()
            .filter(|f| f.run == *run && f.label == label)
    }

    /// Keeps a result: whole or not at all, also where the program is stopped meanwhile.
    pub fn keep(&self, path: &Path, found: &Found) -> Result<(), String> {
        let text = serde_json::to_vec(found).map_err(|e| e.to_string())?;
        let text = zstd::encode_all(&text[..], 3).map_err(named(path))?;
        let partial = path.with_extension("partial");
        std::fs::write(&partial, text).map_err(named(&partial))?;
        std::fs::rename(&partial, path).map_err(named(path))
    }

    /// All results of a folder, in the order of points, policies and seeds.
    pub fn all(&self) -> Result<Vec<Found>, String> {
        let folder = &self.folder;
        let entries = std::fs::read_dir(folder).map_err(named(folder))?;
        let mut paths: Vec<PathBuf> = entries.flatten().map(|e| e.path()).collect();
        paths.retain(|p| p.to_string_lossy().ends_with(".json.zst"));
        paths.sort();
        let mut all = paths
            .iter()
            .map(|p| Ok((point(p), read(p)?)))
            .collect::<Result<Vec<_>, String>>()?;
        all.sort_by_key(|(point, f)| (*point, f.policy, f.seed));
        match all.is_empty() {
            true => Err(format!("results {}: there are none", folder.display())),
            false => Ok(all.into_iter().map(|f| f.1).collect()),
        }
    }
}

fn point(path: &Path) -> usize {
    let name = path
        .file_name()
        .map(|n| n.to_string_lossy().into_owned())
        .unwrap_or_default();
    name.split('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(usize::MAX)
}

fn read(path: &Path) -> Result<Found, String> {
    let text = std::fs::File::open(path)
        .and_then(zstd::decode_all)
        .map_err(named(path))?;
    serde_json::from_slice(&text).map_err(|e| format!("results {}: {e}", path.display()))
}
