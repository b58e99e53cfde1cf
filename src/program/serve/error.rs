//! Errors at the start of a node and at a reload of its settings.

use crate::program::config::operator::FleetConfigError;
use crate::program::config::NodeConfigError;
use crate::program::files::SettingsFileError;
use crate::transport::coordination::CoordinationError;
use poppykeel_scheduler::SettingsError;
use poppykeel_site_settings::SettingsUpdateError;
use std::io;
use std::net::SocketAddr;

/// Why a node can't start. Each message is one line and names the invalid key, if there is one.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The signal that the kernel sends when the parent process ends can't be set.
    #[error("{variable}: cannot set the parent death signal: {source}")]
    ParentDeathSignal {
        /// The environment variable that requests the signal.
        variable: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The async runtime can't be built.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// Signal handlers can't be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The node can't listen at a configured address.
    #[error("node configuration: {key}: cannot listen on {address}: {source}")]
    Listen {
        /// The key of the node configuration.
        key: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The local address of a listener can't be determined.
    #[error(
        "node configuration: {key}: cannot determine the local address of the listener: {source}"
    )]
    LocalAddress {
        /// The key of the node configuration.
        key: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The scheduler rejects the site settings.
    #[error(transparent)]
    Scheduler(#[from] SettingsError),
    /// The table `[fleet]` does not fit the node or the site settings.
    #[error(transparent)]
    Fleet(#[from] FleetConfigError),
    /// The coordination with the other nodes can't start.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
}

/// Why reread settings are rejected. Each message is one line and names the key.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// A file can't be read or is invalid.
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    /// The node configuration lacks a key of the current one and must not replace it.
    #[error(transparent)]
    Config(#[from] NodeConfigError),
    /// The site settings can't replace the current ones while the node runs.
    #[error(transparent)]
    SiteSettings(#[from] SettingsUpdateError),
    /// The table `[fleet]` does not fit the node or the site settings.
    #[error(transparent)]
    Fleet(#[from] FleetConfigError),
    /// The fleet settings can't replace the current ones while the node runs.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
    /// The table `[fleet]` was added to or removed from the operator file.
    #[error("operator file: fleet: adding or removing this table requires a restart")]
    FleetTableChanged,
}
