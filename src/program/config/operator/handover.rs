//! `[handover]` of the operators' file: what one process of the node leaves to the next.

use serde::Deserialize;
use std::path::PathBuf;

/// The environment variable with the folder of temporary files.
const TEMPORARY_FOLDER_VARIABLE: &str = "TMPDIR";

/// `[handover]`: where a process leaves its learned state to the next one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default, expecting = "struct Handover")]
pub struct HandoverConfig {
    /// A folder that both processes use; `$TMPDIR` where the key is missing, and none where it is empty.
    pub folder: Option<PathBuf>,
}

impl HandoverConfig {
    /// The folder of the learned state; `None` where the state is not handed over.
    pub fn folder(&self) -> Option<PathBuf> {
        let folder = self
            .folder
            .clone()
            .or_else(|| std::env::var_os(TEMPORARY_FOLDER_VARIABLE).map(PathBuf::from));
        folder.filter(|folder| !folder.as_os_str().is_empty())
    }
}
