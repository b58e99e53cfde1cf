//! Names in the settings, and time limits of connections to replicas.

use poppykeel_scheduler::Seconds;

/// Names by scheduler index, and time limits of connections to replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// Request classes by index, including retired ones.
    pub classes: Vec<String>,
    /// Indices of classes that a reload has removed. Requests in flight still use them; new requests do not.
    pub retired_classes: Vec<usize>,
    /// Tenants by index; empty if the site has none.
    pub tenants: Vec<String>,
    /// Zones by index.
    pub zones: Vec<String>,
    /// Host types by index.
    pub host_types: Vec<String>,
    /// Load report fields, in the order of their values in reports without names.
    pub report_fields: Vec<String>,
    /// Timeout for establishing a connection, in seconds.
    pub connect_timeout: Seconds,
    /// Idle time after which a replica closes a connection, in seconds.
    pub keep_alive: Seconds,
}
