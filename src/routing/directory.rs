//! The account of membership as the module sees it: servers by its own name for them, with zones, kinds and starts
//! in its terms, and where each of them listens.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use poppykeel_endpoints::{Membership, Micros, Server, Settings, Standing, Told};
use poppykeel_scheduler::interface::{Endpoint, EndpointState, ReplicaId, Seconds};
use poppykeel_site_settings::SiteSettings;
use std::collections::BTreeMap;
use std::net::{Ipv6Addr, SocketAddr};
use std::rc::Rc;

/// The two clocks at one moment, to map a time of the one to the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// Microseconds on the monotonic clock.
    pub monotonic: Micros,
    /// Microseconds of Unix time.
    pub unix_us: i64,
}

/// What is told beside the account's own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSourceSettings {
    /// The account's settings.
    pub membership: Settings,
    /// A weight of this much in DNS is an ordinary server's size; none takes no sizes from there.
    pub weight_unit: Option<f64>,
}

#[derive(Clone, Debug)]
struct ListedEndpoint {
    name: String,
    addr: SocketAddr,
    started_ms: i64,
    listing: Endpoint,
}

/// A replica that the module is to be told of, under its name in the account.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// For the module.
    pub endpoint: Endpoint,
    /// For the log.
    pub name: String,
}

/// What this node knows of the replicas.
#[derive(Debug)]
pub struct EndpointDirectory {
    boot: Rc<SiteSettings>,
    members: Membership,
    weight_unit: Option<f64>,
    known: BTreeMap<ReplicaId, ListedEndpoint>,
}

/// The module's name for a replica. It ranks replicas by this address to find a session's home, and `addr`
/// differs from node to node, so the name comes from the server's name alone, which is the same everywhere.
pub fn replica_id(name: &str) -> ReplicaId {
    let fnv = |start: u64| {
        name.bytes()
            .fold(start, |h, b| {
                (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
            })
            .rotate_left(29)
    };
    let bits =
        u128::from(fnv(0xcbf2_9ce4_8422_2325)) << 64 | u128::from(fnv(0x9e37_79b9_7f4a_7c15));
    ReplicaId(SocketAddr::from((Ipv6Addr::from(bits), 0)))
}

impl EndpointDirectory {
    /// A directory that knows nobody yet.
    pub fn new(boot: Rc<SiteSettings>, members: EndpointSourceSettings) -> Self {
        let (weight_unit, known) = (members.weight_unit, BTreeMap::new());
        EndpointDirectory {
            boot,
            members: Membership::new(members.membership),
            weight_unit,
            known,
        }
    }

    /// Where a replica listens.
    pub fn addr(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.known.get(&id).map(|k| k.addr)
    }

    /// The zone that a replica stands in.
    pub fn zone(&self, id: ReplicaId) -> Option<usize> {
        self.known.get(&id).map(|k| k.listing.zone)
    }

    /// A replica's name in the account.
    pub fn name(&self, id: ReplicaId) -> Option<&str> {
        self.known.get(&id).map(|k| k.name.as_str())
    }

    /// The account itself.
    pub fn membership(&self) -> &Membership {
        &self.members
    }

    /// When `turn` must be called next, if nothing comes before.
    pub fn next_timer(&self) -> Option<Micros> {
        self.members.due()
    }

    /// Servers listed, draining ones too.
    pub fn listed_count(&self) -> usize {
        self.known.len()
    }

    /// What a source tells, by its name; returned is what the module is to be told.
    pub fn apply_update(
        &mut self,
        source: &str,
        told: Told,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        let place = self
            .members
            .settings()
            .sources
            .iter()
            .position(|s| s.name == source);
        let Some(place) = place else {
            return Vec::new();
        };
        let changes = self.members.told(at.monotonic, place, told);
        self.listings(changes, at)
    }

    /// Lets the time pass.
    pub fn on_timer(&mut self, at: ClockReading) -> Vec<EndpointChange> {
        let changes = self.members.turn(at.monotonic);
        self.listings(changes, at)
    }

    /// Takes new settings; sources that stay keep what they have told.
    pub fn update_settings(
        &mut self,
        members: EndpointSourceSettings,
        at: ClockReading,
    ) -> Vec<EndpointChange> {
        self.weight_unit = members.weight_unit;
        let changes = self.members.set(at.monotonic, members.membership);
        self.listings(changes, at)
    }

    fn listings(&mut self, changes: Vec<Server>, at: ClockReading) -> Vec<EndpointChange> {
        let mut list = Vec::new();
        for server in changes {
            let id = replica_id(&server.name);
            let before = self.known.get(&id);
            let started_ms = server.entry.started_ms;
            // One start keeps one time: mapped anew with each list it would seem to be a later start.
            let born = match before.filter(|k| k.started_ms == started_ms) {
                Some(known) => known.listing.started_at,
                None => (started_ms > 0).then(|| born(started_ms, at)),
            };
            let listing = self.listing(id, &server, born);
            if before.is_some_and(|k| k.listing == listing && k.addr == server.entry.addr) {
                continue;
            }
            let unheard = before.is_none();
            if listing.state == EndpointState::Removed {
                self.known.remove(&id);
                if unheard {
                    continue;
                }
            } else {
                let (addr, name, listing) =
                    (server.entry.addr, server.name.clone(), listing.clone());
                self.known.insert(
                    id,
                    ListedEndpoint {
                        name,
                        addr,
                        started_ms,
                        listing,
                    },
                );
            }
            list.push(EndpointChange {
                endpoint: listing,
                name: server.name,
            });
        }
        list
    }

    fn listing(&self, id: ReplicaId, server: &Server, born: Option<Seconds>) -> Endpoint {
        let entry = &server.entry;
        // A zone or kind that the settings lack is one more: the replica serves all the same.
        let place = |name: &str, known: &[String]| {
            known.iter().position(|k| k == name).unwrap_or(known.len())
        };
        let size = match (entry.priority, self.weight_unit, entry.weight) {
            // What has a priority is described by DNS.
            (Some(_), Some(unit), Some(weight)) => Some(weight / unit).filter(|s| *s > 0.0),
            (Some(_), _, _) => None,
            (None, _, weight) => self.boot.capacity_weight(weight),
        };
        Endpoint {
            id,
            zone: place(&entry.zone, &self.boot.names.zones),
            cell: entry.cell,
            host_type: place(&entry.kind, &self.boot.names.host_types),
            state: match server.standing {
                Standing::In | Standing::Held => EndpointState::Available,
                Standing::Draining => EndpointState::Draining,
                Standing::Out => EndpointState::Removed,
            },
            capacity_weight: size,
            started_at: born,
        }
    }
}

/// `started_ms` is Unix time: it counts back from now on the monotonic clock.
fn born(started_ms: i64, at: ClockReading) -> Seconds {
    let age = at.unix_us.saturating_sub(started_ms.saturating_mul(1000));
    at.monotonic as f64 / 1e6 - age as f64 / 1e6
}
