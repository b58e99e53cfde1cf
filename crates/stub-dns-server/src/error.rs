//! Why a script is rejected.

/// Why a script is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The text is no TOML, or a key is unknown or has the wrong type; the text names the key and its line.
    #[error("{0}")]
    Toml(#[from] Box<toml::de::Error>),
    /// A record can't be understood.
    #[error("record of {name}: {source}")]
    Record {
        /// The name that has the record.
        name: String,
        /// Why not.
        source: RecordError,
    },
}

/// Why a record can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The data is not what the type needs.
    #[error("data: expected {expected}, not '{data}'")]
    Data {
        /// What the type needs.
        expected: &'static str,
        /// What the script has.
        data: String,
    },
    /// The type is unknown.
    #[error("type: expected SRV, A, AAAA, CNAME or NS, not '{0}'")]
    Type(String),
    /// A name is no domain name.
    #[error("expected a name, not '{name}' ({reason})")]
    Name {
        /// What the script has.
        name: String,
        /// Why it is none.
        reason: String,
    },
}
