//! Errors of the node configuration.

use crate::protocol::discovery::EndpointListError;
use poppykeel_site_settings::SettingsParseError;

/// Why the node configuration is invalid. Each message is one line that names the key; the caller adds the file.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The text is not valid JSON.
    #[error("expected JSON ({0})")]
    Json(#[source] serde_json::Error),
    /// A key is missing or its value is not a string.
    #[error("{key}: expected a string")]
    NotText {
        /// The top-level key of the node configuration.
        key: &'static str,
    },
    /// A value is not an address with a port.
    #[error("{key}: expected ADDRESS:PORT, not '{value}'")]
    NotAddress {
        /// The top-level key of the node configuration.
        key: &'static str,
        /// The value from the file or an override.
        value: String,
    },
    /// A machine limit is not an integer, or is too low.
    #[error("limits.{key}: expected an integer of at least {min}")]
    InvalidLimit {
        /// The key below `limits`.
        key: &'static str,
        /// The smallest accepted value.
        min: u64,
    },
    /// The site settings are missing.
    #[error("settings: expected an object")]
    MissingSettings,
    /// The site settings are invalid.
    #[error("settings: expected {0}")]
    Settings(#[source] SettingsParseError),
    /// The initial endpoint list is invalid.
    #[error("known.{0}")]
    KnownList(#[source] EndpointListError),
    /// The connect timeout or the keep-alive time of connections to replicas is out of range.
    #[error("settings.limits.{key}: expected a number of seconds from 0 to 86400 (one day)")]
    InvalidTime {
        /// The key below `settings.limits`.
        key: &'static str,
    },
    /// The seed is neither a non-negative integer nor a string of hex digits.
    #[error("seed: expected an integer of at least 0 or a string of up to 16 hex digits")]
    InvalidSeed,
    /// A reread configuration lacks a key that the current one has, so the file was probably truncated.
    #[error(
        "{path}: missing, although the current configuration has this key; the file may be truncated"
    )]
    MissingKey {
        /// The path of the key from the root of the document, which is called `config`.
        path: String,
    },
}
