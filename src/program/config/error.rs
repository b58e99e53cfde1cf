//! Why the platform's configuration is rejected.

use crate::protocol::discovery::EndpointListError;
use poppykeel_site_settings::SettingsParseError;

/// Why the platform's configuration is rejected. Each text is one line that names the key.
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The text is no JSON.
    #[error("config: expected JSON ({0})")]
    Json(#[source] serde_json::Error),
    /// A key is missing or its value is no text.
    #[error("config: {key}: expected text")]
    NotText {
        /// The key.
        key: &'static str,
    },
    /// A value is no address with a port.
    #[error("config: {key}: expected ADDRESS:PORT, not '{value}'")]
    NotAddress {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
    },
    /// A limit of the machine is no whole number, or too low.
    #[error("config: limits.{key}: expected a whole number from {min}")]
    InvalidLimit {
        /// The key below `limits`.
        key: &'static str,
        /// The lowest limit.
        min: u64,
    },
    /// The site's settings are missing.
    #[error("config: settings: expected an object")]
    MissingSettings,
    /// The site's settings are rejected.
    #[error("config: settings: expected {0}")]
    Settings(#[source] SettingsParseError),
    /// The endpoint list of the start is rejected.
    #[error("config: known.{0}")]
    KnownList(#[source] EndpointListError),
    /// A time of the connections to replicas is out of its range.
    #[error("config: settings.limits.{key}: expected seconds, at most a day")]
    InvalidTime {
        /// The key below `settings.limits`.
        key: &'static str,
    },
    /// The seed is no number.
    #[error("config: seed: expected up to 16 hex digits")]
    InvalidSeed,
    /// A newer configuration lacks a key of the one in force, so that it was probably cut off.
    #[error("{path}: missing; it was there before")]
    MissingKey {
        /// The path of the key.
        path: String,
    },
}
