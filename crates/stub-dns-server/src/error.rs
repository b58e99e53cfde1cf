//! Errors of scripts.

/// A script is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The text is not valid TOML, or a key is unknown or has the wrong type; the message names the key and its line.
    #[error("{0}")]
    Toml(#[from] Box<toml::de::Error>),
    /// A record is invalid.
    #[error("record of {name}: {source}")]
    Record {
        /// The name of the record.
        name: String,
        /// Why the record is invalid.
        source: RecordError,
    },
}

/// A record is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The data does not have the format of the record type.
    #[error("data: expected {expected}, not '{data}'")]
    Data {
        /// The format that the type requires.
        expected: &'static str,
        /// The data in the script.
        data: String,
    },
    /// The record type is not supported.
    #[error("type: expected SRV, A, AAAA, CNAME or NS, not '{0}'")]
    Type(String),
    /// A name is not a valid domain name.
    #[error("expected a domain name, not '{name}' ({reason})")]
    Name {
        /// The name in the script.
        name: String,
        /// The parser's error.
        reason: String,
    },
}
