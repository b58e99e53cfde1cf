//! Why the operators' file is rejected.

use std::borrow::Cow;

/// Why the operators' file is rejected. Each text is one line that names the line of the file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The text is no TOML.
    #[error("line {line}: {}", source.message())]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the parser found.
        source: Box<toml::de::Error>,
    },
    /// A key is unknown or missing, or its value has the wrong type.
    #[error("line {line}: {path}: {}", source.message().replace('\n', " "))]
    Type {
        /// The line, from 1.
        line: usize,
        /// The path of the key.
        path: String,
        /// What the parser expected.
        source: Box<toml::de::Error>,
    },
    /// A value has the right type and is out of its range, or does not fit the values of other keys.
    #[error("line {line}: {source}")]
    Value {
        /// The line, from 1.
        line: usize,
        /// The key, and what would be right.
        source: InvalidValue,
    },
}

/// A value that is out of its range or does not fit the values of other keys.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {expected}")]
pub struct InvalidValue {
    /// The path of the key.
    path: String,
    /// What would be right.
    expected: Cow<'static, str>,
}

impl InvalidValue {
    /// The value at this path is not what is expected.
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

/// Why a node can't take its place in the fleet by the operators' file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetPlacementError {
    /// A tenant has a budget and is not in the site's settings.
    #[error(
        "fleet.budgets.tenants.{tenant}: expected a tenant of the site's settings ({})",
        list_tenants(known_tenants)
    )]
    UnknownTenant {
        /// The tenant with a budget.
        tenant: String,
        /// The tenants of the site's settings.
        known_tenants: Vec<String>,
    },
    /// A lease server has no folder for its log.
    #[error("fleet.folder: expected a folder, since {node} is one of fleet.keepers")]
    MissingFolder {
        /// The node's name.
        node: String,
    },
}

/// The tenants as the error's text lists them.
fn list_tenants(tenants: &[String]) -> String {
    if tenants.is_empty() {
        "it has none".into()
    } else {
        tenants.join(", ")
    }
}
