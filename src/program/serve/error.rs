//! Why a node can't start, or can't take new settings.

use crate::program::config::operator::FleetPlacementError;
use crate::program::config::NodeConfigError;
use crate::program::files::SettingsFileError;
use crate::transport::coordination::CoordinationError;
use poppykeel_scheduler::SettingsError;
use poppykeel_site_settings::SettingsUpdateError;
use std::io;
use std::net::SocketAddr;

/// Why a node can't start. Each text is one line; it names the key where one is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The process can't be made to end with the one that started it.
    #[error("{variable}: {source}")]
    ParentDeathSignal {
        /// The environment variable that asks for it.
        variable: &'static str,
        /// What the system reports.
        source: io::Error,
    },
    /// The runtime can't be built.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signals can't be caught.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The node can't listen where the configuration says.
    #[error("config: {key}: {address}: {source}")]
    Listen {
        /// The key of the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
    /// The address of a listener can't be read.
    #[error("config: {key}: {source}")]
    LocalAddress {
        /// The key of the configuration.
        key: &'static str,
        /// What the system reports.
        source: io::Error,
    },
    /// The scheduler rejects the site's settings.
    #[error(transparent)]
    Scheduler(#[from] SettingsError),
    /// The node has no place in the fleet by the operators' file.
    #[error(transparent)]
    FleetPlacement(#[from] FleetPlacementError),
    /// The node can't work with the others.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
}

/// Why settings that were read again are not taken. Each text is one line and names the key.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// A file can't be read or is rejected.
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    /// The platform's configuration may not replace the one in force.
    #[error(transparent)]
    Config(#[from] NodeConfigError),
    /// The site's settings may not replace those in force.
    #[error(transparent)]
    SiteSettings(#[from] SettingsUpdateError),
    /// The node has no place in the fleet by the operators' file.
    #[error(transparent)]
    FleetPlacement(#[from] FleetPlacementError),
    /// The settings of the fleet may not replace those in force.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
    /// The operators' file has the table `fleet` and had none at the start, or the other way round.
    #[error("operator: fleet: expected to come or go with a restart alone")]
    FleetTableChanged,
}
