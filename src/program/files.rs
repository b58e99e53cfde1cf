//! The settings files that commands read, and the values from flags and environment variables that override them.
//!
//! The commands `check`, `resolve` and `serve` share these groups of flags.

use super::config::operator::{OperatorConfig, OperatorConfigError};
use super::config::{NodeConfig, NodeConfigError, Overrides};
use clap::Args;
use std::io;
use std::path::{Path, PathBuf};

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The file of the node configuration can't be read.
    #[error("cannot read the node configuration {}: {source}", path.display())]
    ReadConfig {
        /// The path from the flag or the environment variable.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operator file can't be read.
    #[error("cannot read the operator file {}: {source}", path.display())]
    ReadOperator {
        /// The path from the flag or the environment variable.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The node configuration is invalid.
    #[error("node configuration {}: {source}", path.display())]
    Config {
        /// The path from the flag or the environment variable.
        path: PathBuf,
        /// The key and the expected value.
        source: NodeConfigError,
    },
    /// The operator file is invalid.
    #[error("operator file {}: {source}", path.display())]
    Operator {
        /// The path from the flag or the environment variable.
        path: PathBuf,
        /// The line, the key and the expected value.
        source: OperatorConfigError,
    },
}

#[derive(Args)]
pub(super) struct OperatorFileArgs {
    /// Operator file (TOML); deploy/operator.toml documents every key
    #[arg(long, env = "POPPYKEEL_OPERATOR", value_name = "FILE")]
    pub(super) operator: Option<PathBuf>,
}

#[derive(Args)]
pub(super) struct ConfigOverrideArgs {
    /// Name of this node; overrides `name` of the configuration
    #[arg(long, env = "GW_NAME")]
    name: Option<String>,
    /// Address to listen on for clients; overrides `listen` of the configuration
    #[arg(long, env = "GW_LISTEN", value_name = "ADDRESS")]
    listen: Option<String>,
    /// Address of the discovery service; overrides `discovery` of the configuration
    #[arg(long, env = "GW_DISCOVERY", value_name = "ADDRESS")]
    pub(super) discovery: Option<String>,
    /// Address to listen on for admin requests; overrides `admin` of the configuration
    #[arg(long, env = "GW_ADMIN", value_name = "ADDRESS")]
    admin: Option<String>,
}

impl ConfigOverrideArgs {
    /// Reads the node configuration and applies the overrides.
    pub(super) fn read_config(&self, path: &Path) -> Result<NodeConfig, SettingsFileError> {
        read_node_config(path, self.overrides())
    }

    /// Reads the node configuration again at SIGHUP. The override of the discovery address does not apply: it was given at
    /// the start of the process and must not hide a new address in the replaced file.
    pub(super) fn reread_config(&self, path: &Path) -> Result<NodeConfig, SettingsFileError> {
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
    NodeConfig::read(&text, overrides).map_err(|source| SettingsFileError::Config {
        path: path.to_path_buf(),
        source,
    })
}

impl OperatorFileArgs {
    /// Reads the operator file; returns the defaults if none is given.
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
