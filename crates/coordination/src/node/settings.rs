//! The settings of a node's coordination.

use crate::lease::LeaseParameters;
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The base of the pause between two lease rounds is the response timeout divided by this number.
const PAUSES_PER_RESPONSE_TIMEOUT: Micros = 4;

/// The coordination settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The fleet's name.
    pub fleet: String,
    /// This node's name.
    pub name: String,
    /// The address that other nodes send to.
    pub address: SocketAddr,
    /// The addresses of seed nodes for joining the membership, by name.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// The addresses of the lease servers, by name. The index of a server is its position in the order of the names.
    pub lease_servers: BTreeMap<String, SocketAddr>,
    /// The version of the list of lease servers; a later list has a higher number. Lease messages between nodes with
    /// different versions are dropped.
    pub lease_servers_number: u32,
    /// The duration of leases, in microseconds.
    pub lease_duration: Micros,
    /// The largest rate error of any clock in the fleet, in parts per million.
    pub drift_ppm: u32,
    /// Whether a lease server trusts its log after a restart. If not, it recovers its grants from the other servers.
    pub trusts_log: bool,
    /// The time between two probes of the membership protocol, in microseconds.
    pub probe_interval: Micros,
    /// How long a lease client waits for the responses of a round, in microseconds. A recovering lease server repeats
    /// its requests at this interval.
    pub response_timeout: Micros,
}

impl NodeSettings {
    /// The index of the lease server with this name; `None` if the node is not a lease server.
    pub(super) fn lease_server_index(&self, name: &str) -> Option<usize> {
        self.lease_servers.keys().position(|server| server == name)
    }

    pub(super) fn lease_parameters(&self) -> LeaseParameters {
        LeaseParameters {
            server_count: self.lease_servers.len(),
            duration: self.lease_duration,
            drift_ppm: self.drift_ppm,
            response_timeout: self.response_timeout,
            min_pause: (self.response_timeout / PAUSES_PER_RESPONSE_TIMEOUT).max(1),
        }
    }
}
