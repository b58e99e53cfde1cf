//! Names in the settings, and time limits of connections to replicas.

use poppykeel_scheduler::Seconds;

/// Names by scheduler index, and time limits of connections to replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// Request classes, including retired ones.
    pub classes: Vec<String>,
    /// Indices of classes that a reload has removed. Requests in flight still use them; new requests do not.
    pub retired_classes: Vec<usize>,
    /// Tenants; empty if the site has none.
    pub tenants: Vec<String>,
    /// Zones, by the index used in the scheduler.
    pub zones: Vec<String>,
    /// Host types, by the index used in the scheduler.
    pub host_types: Vec<String>,
    /// Names of the load report fields, in order.
    pub report_fields: Vec<String>,
    /// Timeout for establishing a connection, in seconds.
    pub connect_timeout: Seconds,
    /// Idle time after which a replica closes a connection, in seconds.
    pub keep_alive: Seconds,
}
