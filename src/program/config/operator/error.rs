//! Errors of the operator file.

use std::borrow::Cow;

/// Why the operator file is invalid. Each message is one line that names the line of the file; the caller adds the path.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The text is not valid TOML.
    #[error("line {line}: {}", source.message())]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// A key is unknown or missing, or its value has the wrong type.
    #[error("line {line}: {path}: {}", source.message().replace('\n', " "))]
    Type {
        /// The line, from 1.
        line: usize,
        /// The path of the key, with dots between its parts.
        path: String,
        /// The parser's error, which has the expected type.
        source: Box<toml::de::Error>,
    },
    /// A value has the right type but is out of range, or conflicts with the values of other keys.
    #[error("line {line}: {source}")]
    Value {
        /// The line, from 1.
        line: usize,
        /// The key and the expected value.
        source: InvalidValue,
    },
}

/// A value that is out of range or conflicts with the values of other keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {expected}")]
pub struct InvalidValue {
    /// The path of the key.
    path: String,
    /// The expected value.
    expected: Cow<'static, str>,
}

impl InvalidValue {
    pub(super) fn new(path: impl Into<String>, expected: impl Into<Cow<'static, str>>) -> Self {
        InvalidValue {
            path: path.into(),
            expected: expected.into(),
        }
    }

    /// The path of the key.
    pub(super) fn path(&self) -> &str {
        &self.path
    }
}

/// Why `[fleet]` of the operator file does not fit the node's name or the site settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetConfigError {
    /// A tenant has a budget but is not in the site settings.
    #[error(
        "operator file: fleet.budgets.tenants.{tenant}: expected a tenant of the site settings ({})",
        format_tenants(known_tenants)
    )]
    UnknownTenant {
        /// The tenant with a budget.
        tenant: String,
        /// The tenants of the site settings.
        known_tenants: Vec<String>,
    },
    /// A lease server has no folder for its log.
    #[error(
        "operator file: fleet.folder: expected a folder for the lease server's log, because fleet.keepers lists {node}"
    )]
    MissingFolder {
        /// The node's name.
        node: String,
    },
}

fn format_tenants(tenants: &[String]) -> String {
    if tenants.is_empty() {
        "which have none".into()
    } else {
        tenants.join(", ")
    }
}
