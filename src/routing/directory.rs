//! The endpoints as the scheduler sees them: replicas by an id of its own, with zones, host types and start times in its
//! terms, and the address at which each of them listens.
//!
//! The dispatcher feeds it with what the endpoint sources tell; which source is followed is decided by
//! [`poppykeel_endpoints::EndpointRegistry`]. What a call returns is exactly what has changed for the scheduler.

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
/// The clocks of two machines differ by less than this.
const MAX_CLOCK_SKEW_US: i64 = 1_000_000;

const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// The offset basis of FNV-1a, for the upper half of an id.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Another basis, for the lower half.
const SECOND_BASIS: u64 = 0x9e37_79b9_7f4a_7c15;
/// Spreads the last byte of a name over the word.
const ROTATION: u32 = 29;

/// Which endpoint sources there are, and how their entries are read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSourceSettings {
    /// The sources and the rules by which their lists become one.
    pub registry: RegistrySettings,
    /// The weight in DNS that stands for a replica of ordinary capacity; with `None`, weights in DNS say nothing of capacity.
    pub weight_unit: Option<f64>,
}

/// A replica that is on the endpoint list.
#[derive(Clone, Debug)]
struct KnownReplica {
    name: String,
    addr: SocketAddr,
    /// Milliseconds of Unix time; 0 where the source did not say.
    started_ms: i64,
    endpoint: Endpoint,
}

/// An endpoint whose entry has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The new entry, for the scheduler.
    pub endpoint: Endpoint,
    /// The replica's name on the endpoint list, for the log.
    pub name: String,
}

/// The endpoints that this node knows.
#[derive(Debug)]
pub struct EndpointDirectory {
    /// The settings that the process started with: zones and host types keep their indices.
    site: Rc<SiteSettings>,
    registry: EndpointRegistry,
    weight_unit: Option<f64>,
    listed: BTreeMap<ReplicaId, KnownReplica>,
    /// Both clocks as they were first read. The wall clock may step later.
    first_reading: Option<ClockReading>,
}

/// The scheduler's id of a replica. The scheduler ranks replicas by this address to choose a session's affinity replica, and
/// the address at which a replica listens differs from node to node. So the id comes from the replica's name alone, which is
/// the same on every node.
pub fn replica_id(name: &str) -> ReplicaId {
    let upper = u128::from(name_hash(name, FNV_OFFSET_BASIS));
    let lower = u128::from(name_hash(name, SECOND_BASIS));
    ReplicaId(SocketAddr::from((Ipv6Addr::from(upper << 64 | lower), 0)))
}

/// FNV-1a from the given basis, rotated.
fn name_hash(name: &str, basis: u64) -> u64 {
    let mut hash = basis;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash.rotate_left(ROTATION)
}

impl EndpointDirectory {
    /// A directory without an endpoint.
    pub fn new(site: Rc<SiteSettings>, sources: EndpointSourceSettings) -> Self {
        EndpointDirectory {
            site,
            registry: EndpointRegistry::new(sources.registry),
            weight_unit: sources.weight_unit,
            listed: BTreeMap::new(),
            first_reading: None,
        }
    }

    /// The address at which a replica listens.
    pub fn addr(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.listed.get(&id).map(|listed| listed.addr)
    }

    /// The index of a replica's zone.
    pub fn zone(&self, id: ReplicaId) -> Option<usize> {
        self.listed.get(&id).map(|listed| listed.endpoint.zone)
    }

    /// A replica's name on the endpoint list.
    pub fn name(&self, id: ReplicaId) -> Option<&str> {
        self.listed.get(&id).map(|listed| listed.name.as_str())
    }

    /// Endpoints that are listed, draining ones among them.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// When [`EndpointDirectory::on_timer`] must be called next, if nothing comes before.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.registry.next_timer()
    }

    /// Takes an update of the source of this name; a source that the settings do not name changes nothing.
    pub fn apply_update(
        &mut self,
        source: &str,
        update: SourceUpdate,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        let place = self
            .registry
            .settings()
            .sources
            .iter()
            .position(|settings| settings.name == source);
        let Some(place) = place else {
            return Vec::new();
        };
        let servers = self.registry.apply_update(at.monotonic, place, update);
        self.apply_changes(servers, at)
    }

    /// Applies what is due by this time.
    pub fn on_timer(&mut self, at: ClockReading) -> Vec<EndpointChange> {
        let servers = self.registry.on_timer(at.monotonic);
        self.apply_changes(servers, at)
    }

    /// Takes new settings; sources that stay keep what they have told.
    pub fn update_settings(
        &mut self,
        sources: EndpointSourceSettings,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        self.weight_unit = sources.weight_unit;
        let servers = self
            .registry
            .update_settings(at.monotonic, sources.registry);
        self.apply_changes(servers, at)
    }

    fn apply_changes(
        &mut self,
        servers: Vec<RegisteredEndpoint>,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        self.first_reading.get_or_insert(at);
        let mut changes = Vec::new();
        for server in servers {
            if let Some(endpoint) = self.apply_change(&server, at) {
                changes.push(EndpointChange {
                    endpoint,
                    name: server.name,
                });
            }
        }
        changes
    }

    /// Takes one entry of the merged list; returns it in the scheduler's terms where it is new to the scheduler.
    fn apply_change(&mut self, server: &RegisteredEndpoint, at: ClockReading) -> Option<Endpoint> {
        let id = replica_id(&server.name);
        let started_ms = server.listing.started_ms;
        let known = self.listed.get(&id);
        // One start keeps one time: mapped anew with each list it would seem to be a later start.
        let started_at = match known.filter(|known| known.started_ms == started_ms) {
            Some(known) => known.endpoint.started_at,
            None => (started_ms > 0).then(|| self.start_time(started_ms, at)),
        };
        let endpoint = self.endpoint(id, server, started_at);
        let addr = server.listing.addr;
        if known.is_some_and(|known| known.endpoint == endpoint && known.addr == addr) {
            return None;
        }
        if endpoint.state == EndpointState::Removed {
            // The scheduler need not hear of the removal of what it has never heard of.
            return self.listed.remove(&id).map(|_| endpoint);
        }
        let listed = KnownReplica {
            name: server.name.clone(),
            addr,
            started_ms,
            endpoint: endpoint.clone(),
        };
        self.listed.insert(id, listed);
        Some(endpoint)
    }

    /// Maps a start time in milliseconds of Unix time to the monotonic clock. Where the wall clock has stepped since it was
    /// first read, nobody knows which of its times was right: the replica counts as the younger one of both that can be, for
    /// a warm replica bears being spared and a cold one falls over.
    fn start_time(&self, started_ms: i64, at: ClockReading) -> Seconds {
        let first = self.first_reading.unwrap_or(at);
        let ages = [at.unix_us, unix_by_first_reading(first, at)]
            .map(|unix_us| unix_us.saturating_sub(started_ms.saturating_mul(MICROS_PER_MILLI)));
        let plausible = ages.into_iter().filter(|age| *age >= -MAX_CLOCK_SKEW_US);
        let age_us = plausible.min().unwrap_or(ages[0]);
        seconds(at.monotonic) - age_us as f64 / MICROS_PER_SECOND
    }

    fn endpoint(
        &self,
        id: ReplicaId,
        server: &RegisteredEndpoint,
        started_at: Option<Seconds>,
    ) -> Endpoint {
        let entry = &server.listing;
        Endpoint {
            id,
            zone: index_of(&entry.zone, &self.site.names.zones),
            cell: entry.cell,
            host_type: index_of(&entry.host_type, &self.site.names.host_types),
            state: match server.status {
                EndpointStatus::InService | EndpointStatus::Held => EndpointState::Available,
                EndpointStatus::Draining => EndpointState::Draining,
                EndpointStatus::OutOfService => EndpointState::Removed,
            },
            capacity_weight: self.capacity_weight(entry),
            started_at,
        }
    }

    /// The capacity of a replica in units of an ordinary one, where its entry tells it.
    fn capacity_weight(&self, entry: &ListedEndpoint) -> Option<f64> {
        let is_described_by_dns = entry.priority.is_some();
        if !is_described_by_dns {
            return self.site.capacity_weight(entry.weight);
        }
        let capacity = entry.weight? / self.weight_unit?;
        (capacity > 0.0).then_some(capacity)
    }
}

/// The index of a name. One that the settings lack gets the next index: the replica takes requests all the same.
fn index_of(name: &str, known_names: &[String]) -> usize {
    known_names
        .iter()
        .position(|known| known == name)
        .unwrap_or(known_names.len())
}

/// Unix time now, in microseconds, if the wall clock had gone on from its first reading without a step.
fn unix_by_first_reading(first: ClockReading, at: ClockReading) -> i64 {
    let elapsed = at.monotonic.saturating_sub(first.monotonic);
    first
        .unix_us
        .saturating_add(i64::try_from(elapsed).unwrap_or(i64::MAX))
}
