//! Why settings are not taken.

use poppykeel_scheduler::SettingsError;

/// Why settings cannot be read. The text says what was expected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsParseError {
    /// The text is not JSON.
    #[error("settings in JSON ({0})")]
    Json(#[from] serde_json::Error),
    /// A key is missing or has a value of another kind.
    #[error("{expected} for {key}")]
    Value {
        /// What the key must have.
        expected: &'static str,
        /// The key.
        key: &'static str,
    },
    /// The figures do not go together.
    #[error("workable {0}")]
    Unworkable(#[from] SettingsError),
}

/// Why newer settings cannot follow those in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsUpdateError {
    /// A key has changed that cannot change while a process runs.
    #[error("settings: {key}: another one counts from the next start only")]
    FixedKey {
        /// The key.
        key: &'static str,
    },
    /// Each change of a class takes a position of its own, and all are taken.
    #[error("settings: classes: {limit} have been in use since the start")]
    TooManyClasses {
        /// How many positions there are.
        limit: usize,
    },
}
