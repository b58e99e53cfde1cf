//! What the settings name by words, and the limits of connections.

use poppykeel_scheduler::Seconds;

/// Names by the scheduler's positions, and limits of connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Positions of classes that newer settings have withdrawn: requests in flight keep them, new requests don't get them.
    pub retired_classes: Vec<usize>,
    /// Tenants; empty at sites without.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Host types.
    pub host_types: Vec<String>,
    /// The fields of a load report, in order.
    pub report_fields: Vec<String>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Seconds,
    /// A replica closes a connection that has been idle for this long.
    pub keep_alive: Seconds,
}
