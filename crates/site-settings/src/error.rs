//! Errors in site settings.

use poppykeel_scheduler::SettingsError;

/// Why settings cannot be parsed. The message states what was expected; callers put "expected" before it.
#[derive(Debug, thiserror::Error)]
pub enum SettingsParseError {
    /// The text is not JSON.
    #[error("settings in JSON ({0})")]
    Json(#[from] serde_json::Error),
    /// A key is missing or has an invalid value.
    #[error("{expected} for {key}")]
    Value {
        /// The expected type or range.
        expected: &'static str,
        /// Name of the key, without its path.
        key: &'static str,
    },
    /// A value is out of range, or values contradict each other.
    #[error("valid {0}")]
    Invalid(#[from] SettingsError),
}

/// Why new settings cannot replace those in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsUpdateError {
    /// The new settings change a key that can only change with a restart.
    #[error("settings: {key}: cannot change while the process runs; restart the process to apply the change")]
    FixedKey {
        /// Name of the key, without its path.
        key: &'static str,
    },
    /// Each new or changed class occupies an index until the process ends, and all indices are in use.
    #[error("settings: classes: more than {limit} different classes since the start; restart the process to apply this change")]
    TooManyClasses {
        /// Maximum number of class indices in a process.
        limit: usize,
    },
}
