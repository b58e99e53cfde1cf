//! The files that commands read, and what the command line and the environment say in their place.

use super::config::operator::Operator;
use super::config::Config;
use clap::Args;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(super) struct OperatorFile {
    /// The operators' file, as TOML; see deploy/operator.toml
    #[arg(long, env = "POPPYKEEL_OPERATOR", value_name = "FILE")]
    pub(super) operator: Option<PathBuf>,
}

#[derive(Args)]
pub(super) struct Over {
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

fn text(what: &str, path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{what} {}: {e}", path.display()))
}

impl Over {
    pub(super) fn read(&self, path: &Path) -> Result<Config, String> {
        let over = [
            ("name", &self.name),
            ("listen", &self.listen),
            ("discovery", &self.discovery),
            ("admin", &self.admin),
        ];
        Config::read(
            &text("config", path)?,
            &over.map(|(key, value)| (key, value.as_deref())),
        )
    }

    /// Reads the file again, at SIGHUP. The environment is that of the start and says what discovery was then:
    /// it must not hide what the replaced file says now.
    pub(super) fn reread(&self, path: &Path) -> Result<Config, String> {
        let over = [
            ("name", &self.name),
            ("listen", &self.listen),
            ("admin", &self.admin),
        ];
        Config::read(
            &text("config", path)?,
            &over.map(|(key, value)| (key, value.as_deref())),
        )
    }
}

impl OperatorFile {
    /// What the file says; without one, nothing.
    pub(super) fn read(&self) -> Result<Operator, String> {
        let Some(path) = &self.operator else {
            return Ok(Operator::default());
        };
        Operator::read(&text("operator", path)?)
            .map_err(|e| format!("operator {}: {e}", path.display()))
    }
}
