//! What a process is told of its fleet.

use crate::lease::LeaseParameters;
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The pause between two rounds for a lease is this part of the response timeout.
const PAUSES_PER_RESPONSE_TIMEOUT: Micros = 4;

/// What a process is told of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The fleet's name.
    pub fleet: String,
    /// This node's name.
    pub name: String,
    /// Where other nodes reach this one.
    pub address: SocketAddr,
    /// The addresses of nodes to ask first who is there, by name.
    pub seeds: BTreeMap<String, SocketAddr>,
    /// The addresses of the lease servers, by name. A server's index is its place in the order of the names.
    pub lease_servers: BTreeMap<String, SocketAddr>,
    /// The number of this list of lease servers; a later list has a higher one.
    pub lease_servers_number: u32,
    /// The duration of leases, in microseconds.
    pub lease_duration: Micros,
    /// How wrong any clock of the fleet may run, in parts in a million.
    pub drift_ppm: u32,
    /// Whether a lease server believes that its log is as it left it.
    pub trusts_log: bool,
    /// The time between two probes of other nodes, in microseconds.
    pub probe_interval: Micros,
    /// Answers of lease servers are awaited for so long, in microseconds.
    pub response_timeout: Micros,
}

impl NodeSettings {
    /// The index of the lease server of this name, if it is one.
    pub(super) fn lease_server_index(&self, name: &str) -> Option<usize> {
        self.lease_servers.keys().position(|server| server == name)
    }

    /// How leases are asked for.
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
