//! The files of settings that commands read, and what the command line and the environment say in their place.
//!
//! The commands share these groups of flags: `check`, `resolve` and `serve`.

use super::config::operator::{OperatorConfig, OperatorConfigError};
use super::config::{NodeConfig, NodeConfigError, Overrides};
use clap::Args;
use std::io;
use std::path::{Path, PathBuf};

/// Why a file of settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The platform's configuration can't be read from its file.
    #[error("config {}: {source}", path.display())]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The operators' file can't be read.
    #[error("operator {}: {source}", path.display())]
    ReadOperator {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The platform's configuration is rejected.
    #[error(transparent)]
    Config(#[from] NodeConfigError),
    /// The operators' file is rejected.
    #[error("operator {}: {source}", path.display())]
    Operator {
        /// The file.
        path: PathBuf,
        /// The key, and what would be right.
        source: OperatorConfigError,
    },
}

#[derive(Args)]
pub(super) struct OperatorFileArgs {
    /// The operators' file, as TOML; see deploy/operator.toml
    #[arg(long, env = "POPPYKEEL_OPERATOR", value_name = "FILE")]
    pub(super) operator: Option<PathBuf>,
}

#[derive(Args)]
pub(super) struct ConfigOverrideArgs {
    /// This node's name, in place of the configuration's
    #[arg(long, env = "GW_NAME")]
    name: Option<String>,
    /// Where clients connect, in place of the configuration's
    #[arg(long, env = "GW_LISTEN", value_name = "ADDRESS")]
    listen: Option<String>,
    /// Where discovery listens, in place of the configuration's
    #[arg(long, env = "GW_DISCOVERY", value_name = "ADDRESS")]
    pub(super) discovery: Option<String>,
    /// Where operators call, in place of the configuration's
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: Option<String>,
}

impl ConfigOverrideArgs {
    /// Reads the platform's configuration.
    pub(super) fn read(&self, path: &Path) -> Result<NodeConfig, SettingsFileError> {
        read_node_config(path, self.overrides())
    }

    /// Reads the platform's configuration again, at SIGHUP. The environment is that of the start and says what discovery
    /// was then: it must not hide what the replaced file says now.
    pub(super) fn read_again(&self, path: &Path) -> Result<NodeConfig, SettingsFileError> {
        let overrides = Overrides {
            discovery: None,
            ..self.overrides()
        };
        read_node_config(path, overrides)
    }

    fn overrides(&self) -> Overrides<'_> {
        Overrides {
            name: self.name.as_deref(),
            listen: self.listen.as_deref(),
            discovery: self.discovery.as_deref(),
            admin: self.admin.as_deref(),
        }
    }
}

fn read_node_config(path: &Path, overrides: Overrides) -> Result<NodeConfig, SettingsFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsFileError::ReadConfig {
        path: path.to_path_buf(),
        source,
    })?;
    Ok(NodeConfig::read(&text, overrides)?)
}

impl OperatorFileArgs {
    /// Reads the operators' file; the defaults where there is none.
    pub(super) fn read(&self) -> Result<OperatorConfig, SettingsFileError> {
        let Some(path) = &self.operator else {
            return Ok(OperatorConfig::default());
        };
        let text =
            std::fs::read_to_string(path).map_err(|source| SettingsFileError::ReadOperator {
                path: path.clone(),
                source,
            })?;
        OperatorConfig::read(&text).map_err(|source| SettingsFileError::Operator {
            path: path.clone(),
            source,
        })
    }
}
