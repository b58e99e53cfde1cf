//! Translates the merged endpoint list for the scheduler: replicas by scheduler id, with indices of zones and host types and
//! monotonic start times. Also maps each id to the address at which the replica listens.
//!
//! The dispatcher passes in the updates of the endpoint sources, and [`poppykeel_endpoints::EndpointRegistry`] merges them.
//! Each call returns exactly the endpoints that have changed for the scheduler.

use super::time::{seconds, ClockReading, MonotonicMicros};
use poppykeel_endpoints::{
    EndpointRegistry, EndpointStatus, ListedEndpoint, RegisteredEndpoint, RegistrySettings,
    SourceUpdate,
};
use poppykeel_scheduler::{Endpoint, EndpointState, ReplicaId, Seconds};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;
use std::net::{Ipv6Addr, SocketAddr};
use std::rc::Rc;

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Assumed upper bound of the clock difference between two machines. A start time further in the future is implausible.
const MAX_CLOCK_SKEW_US: i64 = 1_000_000;

const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Offset basis of FNV-1a, for the upper half of an id.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// A different basis, for the lower half of an id.
const LOWER_HALF_BASIS: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of bits by which a hash is rotated, to spread the effect of a name's last byte.
const ROTATION: u32 = 29;

/// The endpoint sources, and the meaning of the weights in their entries.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSourceSettings {
    /// The sources and the rules for merging their lists.
    pub registry: RegistrySettings,
    /// DNS weight that corresponds to a capacity of 1. `None` if DNS weights do not state a capacity.
    pub weight_unit: Option<f64>,
}

#[derive(Clone, Debug)]
struct ListedReplica {
    name: String,
    addr: SocketAddr,
    /// Milliseconds of Unix time; 0 if the source did not report it.
    started_ms: i64,
    endpoint: Endpoint,
}

/// An endpoint whose entry has changed for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The new entry.
    pub endpoint: Endpoint,
    /// The replica's name on the endpoint list, for log messages.
    pub name: String,
}

/// The endpoints known to this node, with their addresses and scheduler ids.
#[derive(Debug)]
pub struct EndpointDirectory {
    /// The settings at the start of the process. Reloads do not change the indices of zones and host types.
    site: Rc<SiteSettings>,
    registry: EndpointRegistry,
    weight_unit: Option<f64>,
    listed: BTreeMap<ReplicaId, ListedReplica>,
    /// The first reading of both clocks, to recognize later steps of the wall clock; `None` before the first update.
    first_reading: Option<ClockReading>,
}

/// Derives the scheduler's id of a replica from the replica's name alone. The scheduler ranks replicas by id to choose a
/// session's affinity replica, so a replica needs the same id on every node. The name is the same on every node, while the
/// address at which a replica listens differs from node to node.
pub fn replica_id(name: &str) -> ReplicaId {
    let upper = u128::from(name_hash(name, FNV_OFFSET_BASIS));
    let lower = u128::from(name_hash(name, LOWER_HALF_BASIS));
    ReplicaId(SocketAddr::from((Ipv6Addr::from(upper << 64 | lower), 0)))
}

/// FNV-1a with the given offset basis, rotated.
fn name_hash(name: &str, basis: u64) -> u64 {
    let mut hash = basis;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash.rotate_left(ROTATION)
}

impl EndpointDirectory {
    /// Creates an empty directory.
    pub fn new(site: Rc<SiteSettings>, sources: EndpointSourceSettings) -> Self {
        EndpointDirectory {
            site,
            registry: EndpointRegistry::new(sources.registry),
            weight_unit: sources.weight_unit,
            listed: BTreeMap::new(),
            first_reading: None,
        }
    }

    /// The address at which a replica listens; `None` if it is not listed.
    pub fn addr(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.listed.get(&id).map(|listed| listed.addr)
    }

    /// When a replica's process started by its entry, in milliseconds of Unix time; `None` if it is not listed.
    pub fn started_ms(&self, id: ReplicaId) -> Option<i64> {
        self.listed.get(&id).map(|listed| listed.started_ms)
    }

    /// The index of a replica's zone; `None` if the replica is not listed.
    pub fn zone(&self, id: ReplicaId) -> Option<usize> {
        self.listed.get(&id).map(|listed| listed.endpoint.zone)
    }

    /// A replica's name on the endpoint list; `None` if it is not listed.
    pub fn name(&self, id: ReplicaId) -> Option<&str> {
        self.listed.get(&id).map(|listed| listed.name.as_str())
    }

    /// Number of listed endpoints, including draining ones.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// When to call [`EndpointDirectory::on_timer`] next, unless an update arrives first.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.registry.next_timer()
    }

    /// Applies an update of the named source. Updates of unconfigured sources are ignored.
    pub fn apply_update(
        &mut self,
        source: &str,
        update: SourceUpdate,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        let source_index = self
            .registry
            .settings()
            .sources
            .iter()
            .position(|settings| settings.name == source);
        let Some(source_index) = source_index else {
            return Vec::new();
        };
        let registered = self
            .registry
            .apply_update(at.monotonic, source_index, update);
        self.apply_changes(registered, at)
    }

    /// Applies the timed changes of the registry that are due.
    pub fn on_timer(&mut self, at: ClockReading) -> Vec<EndpointChange> {
        let registered = self.registry.on_timer(at.monotonic);
        self.apply_changes(registered, at)
    }

    /// Applies new settings. The entries of sources that remain configured are kept.
    pub fn update_settings(
        &mut self,
        sources: EndpointSourceSettings,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        self.weight_unit = sources.weight_unit;
        let registered = self
            .registry
            .update_settings(at.monotonic, sources.registry);
        self.apply_changes(registered, at)
    }

    fn apply_changes(
        &mut self,
        registered_endpoints: Vec<RegisteredEndpoint>,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        self.first_reading.get_or_insert(at);
        let mut changes = Vec::new();
        for registered in registered_endpoints {
            if let Some(endpoint) = self.apply_change(&registered, at) {
                changes.push(EndpointChange {
                    endpoint,
                    name: registered.name,
                });
            }
        }
        changes
    }

    /// Applies one entry of the merged list. Returns the endpoint if it has changed for the scheduler.
    fn apply_change(
        &mut self,
        registered: &RegisteredEndpoint,
        at: ClockReading,
    ) -> Option<Endpoint> {
        let id = replica_id(&registered.name);
        let started_ms = registered.listing.started_ms;
        let known = self.listed.get(&id);
        // The mapped time of an unchanged start is kept: mapping it again with each list would give a slightly different
        // time, which would look like a restart.
        let started_at = match known.filter(|known| known.started_ms == started_ms) {
            Some(known) => known.endpoint.started_at,
            None => (started_ms > 0).then(|| self.start_time(started_ms, at)),
        };
        let endpoint = self.endpoint(id, registered, started_at);
        let addr = registered.listing.addr;
        if known.is_some_and(|known| known.endpoint == endpoint && known.addr == addr) {
            return None;
        }
        if endpoint.state == EndpointState::Removed {
            // No change is returned for an endpoint that the scheduler has never received.
            return self.listed.remove(&id).map(|_| endpoint);
        }
        let listed = ListedReplica {
            name: registered.name.clone(),
            addr,
            started_ms,
            endpoint: endpoint.clone(),
        };
        self.listed.insert(id, listed);
        Some(endpoint)
    }

    /// Maps a start time in milliseconds of Unix time to the monotonic clock. If the wall clock has stepped since its first
    /// reading, it is unknown which of the two times is right. The lower plausible age is then assumed: a light load does a
    /// warm replica no harm, whereas a full load overloads a cold one.
    fn start_time(&self, started_ms: i64, at: ClockReading) -> Seconds {
        let first = self.first_reading.unwrap_or(at);
        let ages = [at.unix_us, unix_us_without_steps(first, at)]
            .map(|unix_us| unix_us.saturating_sub(started_ms.saturating_mul(MICROS_PER_MILLI)));
        let plausible = ages.into_iter().filter(|age| *age >= -MAX_CLOCK_SKEW_US);
        let age_us = plausible.min().unwrap_or(ages[0]);
        seconds(at.monotonic) - age_us as f64 / MICROS_PER_SECOND
    }

    fn endpoint(
        &self,
        id: ReplicaId,
        registered: &RegisteredEndpoint,
        started_at: Option<Seconds>,
    ) -> Endpoint {
        let entry = &registered.listing;
        Endpoint {
            id,
            zone: index_of(&entry.zone, &self.site.names.zones),
            cell: entry.cell,
            host_type: index_of(&entry.host_type, &self.site.names.host_types),
            state: match registered.status {
                EndpointStatus::InService | EndpointStatus::Held => EndpointState::Available,
                EndpointStatus::Draining => EndpointState::Draining,
                EndpointStatus::OutOfService => EndpointState::Removed,
            },
            capacity_weight: self.capacity_weight(entry),
            started_at,
        }
    }

    /// The capacity of a replica relative to other replicas; `None` if the entry does not state it.
    fn capacity_weight(&self, entry: &ListedEndpoint) -> Option<f64> {
        let is_from_dns = entry.priority.is_some();
        if !is_from_dns {
            return self.site.capacity_weight(entry.weight);
        }
        let capacity = entry.weight? / self.weight_unit?;
        (capacity > 0.0).then_some(capacity)
    }
}

/// Returns the index of a name. Names missing from the settings get the next free index, so that the replica still receives
/// requests.
fn index_of(name: &str, known_names: &[String]) -> usize {
    known_names
        .iter()
        .position(|known| known == name)
        .unwrap_or(known_names.len())
}

/// The current Unix time in microseconds, extrapolated from the first reading as if the wall clock had never stepped.
fn unix_us_without_steps(first: ClockReading, at: ClockReading) -> i64 {
    let elapsed = at.monotonic.saturating_sub(first.monotonic);
    first
        .unix_us
        .saturating_add(i64::try_from(elapsed).unwrap_or(i64::MAX))
}
