//! Discovery's lists: read from JSON, kept by id, and told to the module as listings.

use crate::interface::{Listing, ReplicaId, ReplicaState, Seconds};
use crate::wire::Boot;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv6Addr, SocketAddr};

/// One answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    version: u64,
    full: bool,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    id: String,
    addr: SocketAddr,
    zone: usize,
    kind: usize,
    cell: usize,
    state: ReplicaState,
    weight: Option<f64>,
    started_ms: i64,
}

#[derive(Clone, Debug)]
struct Known {
    addr: SocketAddr,
    started_ms: i64,
    born: Option<Seconds>,
}

/// The two clocks at one moment, to map a time of the one to the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// Microseconds on the monotonic clock.
    pub now: u64,
    /// Microseconds of Unix time.
    pub unix: i64,
}

/// What this node knows of the replicas.
#[derive(Debug, Default)]
pub struct Directory {
    version: u64,
    known: BTreeMap<ReplicaId, Known>,
}

/// The module's name for a replica. It ranks replicas by this address to find a session's home, and `addr`
/// differs from node to node, so the name comes from the id alone, which is the same everywhere.
pub fn identity(id: &str) -> ReplicaId {
    let fnv = |start: u64| {
        id.bytes().fold(start, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)).rotate_left(29)
    };
    let bits = u128::from(fnv(0xcbf2_9ce4_8422_2325)) << 64 | u128::from(fnv(0x9e37_79b9_7f4a_7c15));
    ReplicaId(SocketAddr::from((Ipv6Addr::from(bits), 0)))
}

impl Update {
    /// The version of the list after it.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// Reads an answer; an error names what is wrong.
pub fn read(v: &Value, boot: &Boot) -> Result<Update, String> {
    let version = v["version"].as_u64().ok_or("version: expected a whole number")?;
    let full = v["full"].as_bool().ok_or("full: expected true or false")?;
    let servers = v["servers"].as_array().ok_or("servers: expected a list")?;
    let entries = servers.iter().map(|s| entry(s, boot)).collect::<Result<_, _>>()?;
    Ok(Update { version, full, entries })
}

fn entry(v: &Value, boot: &Boot) -> Result<Entry, String> {
    let text = |key: &str| v[key].as_str().ok_or(format!("servers: expected text for {key}"));
    let addr = text("addr")?;
    let state = match text("state")? {
        "up" => ReplicaState::Up,
        "draining" => ReplicaState::Draining,
        "removed" => ReplicaState::Gone,
        other => return Err(format!("servers: expected up, draining or removed, not {other}")),
    };
    // A zone or kind that the settings lack is one more: the replica serves all the same.
    let place = |key: &str, known: &[String]| {
        let name = v[key].as_str().unwrap_or_default();
        known.iter().position(|k| k == name).unwrap_or(known.len())
    };
    Ok(Entry {
        id: text("id")?.to_string(),
        addr: addr.parse().map_err(|_| format!("servers: expected an address for addr, not {addr}"))?,
        zone: place("zone", &boot.names.zones),
        kind: place("kind", &boot.names.kinds),
        cell: v["cell"].as_u64().unwrap_or(0) as usize,
        state,
        weight: boot.size(v["weight"].as_f64()),
        started_ms: v["started_ms"].as_i64().unwrap_or(0),
    })
}

impl Directory {
    /// The version to watch from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Where a replica listens, by the newest list.
    pub fn addr(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.known.get(&id).map(|k| k.addr)
    }

    /// Takes an answer over: what the module is to be told, and whether it is the whole list.
    pub fn take(&mut self, update: Update, at: Moment) -> (Vec<Listing>, bool) {
        self.version = update.version;
        let mut old = std::mem::take(&mut self.known);
        if !update.full {
            self.known = old.clone();
        }
        let mut list = Vec::with_capacity(update.entries.len());
        for entry in update.entries {
            let id = identity(&entry.id);
            // One start keeps one time: mapped anew with each list it would seem to be a later start.
            let before = old.remove(&id).filter(|k| k.started_ms == entry.started_ms);
            let born = match before {
                Some(known) => known.born,
                None => (entry.started_ms > 0).then(|| born(entry.started_ms, at)),
            };
            if entry.state == ReplicaState::Gone {
                self.known.remove(&id);
            } else {
                self.known.insert(id, Known { addr: entry.addr, started_ms: entry.started_ms, born });
            }
            let Entry { zone, kind, cell, state, weight, .. } = entry;
            list.push(Listing { id, zone, cell, kind, state, size: weight, born });
        }
        (list, update.full)
    }
}

/// `started_ms` is Unix time: it counts back from now on the monotonic clock.
fn born(started_ms: i64, at: Moment) -> Seconds {
    let age = at.unix.saturating_sub(started_ms.saturating_mul(1000));
    at.now as f64 / 1e6 - age as f64 / 1e6
}
