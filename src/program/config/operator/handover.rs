//! `[handover]` of the operator file: where a process stores its learned state for the next process of the node.

use serde::Deserialize;
use std::path::PathBuf;

/// The environment variable with the folder for temporary files.
const TEMPORARY_FOLDER_VARIABLE: &str = "TMPDIR";

/// `[handover]`: where a process stores its learned state for the next one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    default,
    expecting = "a table with the keys of [handover]"
)]
pub struct HandoverConfig {
    /// A folder that both processes use. Without the key, `$TMPDIR` is used; an empty value disables the handover.
    pub folder: Option<PathBuf>,
}

impl HandoverConfig {
    /// The folder for the learned state; `None` if the handover is disabled.
    pub fn folder(&self) -> Option<PathBuf> {
        let folder = self
            .folder
            .clone()
            .or_else(|| std::env::var_os(TEMPORARY_FOLDER_VARIABLE).map(PathBuf::from));
        folder.filter(|folder| !folder.as_os_str().is_empty())
    }
}
