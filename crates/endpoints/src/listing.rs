//! The endpoints that one source currently lists, indexed by key and by address.
//!
//! Invariant: `keys_by_addr` holds exactly the keys of `endpoints`, each under the address of its endpoint, and no
//! empty set. Each [`SourceState`](crate::source_state::SourceState) owns one [`Listing`] and decides on its content.

use crate::settings::EndpointIdentity;
use crate::update::{ListedEndpoint, ListedState, MonotonicMicros};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifies a listed endpoint within one source: by its name, and in sources that identify endpoints by address also
/// by the address, since one name may resolve to several.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ListingKey {
    pub(crate) name: String,
    /// `None` in a source that identifies endpoints by name.
    pub(crate) addr: Option<SocketAddr>,
}

/// A [`ListingKey`] with a borrowed name, for lookups without allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ListingKeyRef<'a> {
    name: &'a str,
    addr: Option<SocketAddr>,
}

impl ListingKey {
    pub(crate) fn as_key_ref(&self) -> ListingKeyRef<'_> {
        ListingKeyRef {
            name: &self.name,
            addr: self.addr,
        }
    }
}

impl<'a> ListingKeyRef<'a> {
    /// The key of an endpoint in a source with this `identity`.
    pub(crate) fn from_endpoint(endpoint: &'a ListedEndpoint, identity: EndpointIdentity) -> Self {
        ListingKeyRef {
            name: &endpoint.name,
            addr: (identity == EndpointIdentity::ByAddress).then_some(endpoint.addr),
        }
    }

    pub(crate) fn to_key(self) -> ListingKey {
        ListingKey {
            name: self.name.to_string(),
            addr: self.addr,
        }
    }
}

/// A run of consecutive answers that lack an endpoint whose loss is not accepted yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingStreak {
    /// When the first of these answers arrived.
    pub(crate) since: MonotonicMicros,
    /// The number of answers, including the first.
    pub(crate) answer_count: u32,
}

/// A listed endpoint with its history in this source.
#[derive(Clone, Debug)]
pub(crate) struct TrackedEndpoint {
    /// The latest description.
    pub(crate) listed: Arc<ListedEndpoint>,
    /// When the source first listed the endpoint in its current state.
    pub(crate) state_since: MonotonicMicros,
    /// When the source first reported the current start of the endpoint; `None` if the source's first answer listed it,
    /// since it may have started long before.
    pub(crate) start_seen_at: Option<MonotonicMicros>,
    /// The run of latest answers that lack the endpoint; `None` if the latest answer lists it.
    pub(crate) missing: Option<MissingStreak>,
}

impl TrackedEndpoint {
    /// An endpoint that was not listed before. It counts as newly started unless this is the source's first answer.
    pub(crate) fn new(
        now: MonotonicMicros,
        listed: ListedEndpoint,
        has_source_answered: bool,
    ) -> Self {
        TrackedEndpoint {
            listed: Arc::new(listed),
            state_since: now,
            start_seen_at: has_source_answered.then_some(now),
            missing: None,
        }
    }

    /// Updates the endpoint with its new description and ends a run of answers that lacked it.
    pub(crate) fn relisted(self, now: MonotonicMicros, listed: ListedEndpoint) -> Self {
        let state_since = if listed.state == self.listed.state {
            self.state_since
        } else {
            now
        };
        let start_seen_at = if listed.started_ms > self.listed.started_ms {
            Some(now)
        } else {
            self.start_seen_at
        };
        let listed = if *self.listed == listed {
            self.listed
        } else {
            Arc::new(listed)
        };
        TrackedEndpoint {
            listed,
            state_since,
            start_seen_at,
            missing: None,
        }
    }
}

/// An endpoint that [`Listing::remove`] has removed.
pub(crate) struct UnlistedEndpoint {
    /// The address at which it was listed.
    pub(crate) addr: SocketAddr,
    /// Whether no other endpoint is listed at that address.
    pub(crate) was_last_at_addr: bool,
}

/// The previously listed endpoints that a full list lacks.
pub(crate) struct Unlisted {
    /// Endpoints that were draining, whose absence is expected.
    pub(crate) draining: Vec<ListingKey>,
    /// Endpoints whose address is listed under another name.
    pub(crate) renamed: Vec<ListingKey>,
    /// Available endpoints that are neither listed nor renamed.
    pub(crate) lost: Vec<ListingKey>,
    /// The number of endpoints that were available before this list, including lost and renamed ones.
    pub(crate) available_count: usize,
}

/// The endpoints that one source currently lists.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    endpoints: BTreeMap<ListingKey, TrackedEndpoint>,
    keys_by_addr: BTreeMap<SocketAddr, BTreeSet<ListingKey>>,
}

impl Listing {
    pub(crate) fn get(&self, key: &ListingKey) -> Option<&TrackedEndpoint> {
        self.endpoints.get(key)
    }

    /// Mutable access to an endpoint. The caller must not change its address, which is indexed.
    pub(crate) fn get_mut(&mut self, key: &ListingKey) -> Option<&mut TrackedEndpoint> {
        self.endpoints.get_mut(key)
    }

    /// The endpoint with this name, in a source that identifies endpoints by name.
    pub(crate) fn by_name(&self, name: &str) -> Option<&TrackedEndpoint> {
        let key = ListingKey {
            name: name.to_string(),
            addr: None,
        };
        self.endpoints.get(&key)
    }

    /// The endpoints at this address, sorted by name.
    pub(crate) fn at(&self, addr: SocketAddr) -> impl Iterator<Item = &TrackedEndpoint> {
        self.keys_by_addr
            .get(&addr)
            .into_iter()
            .flatten()
            .filter_map(|key| self.endpoints.get(key))
    }

    /// Whether any endpoint is listed at this address.
    pub(crate) fn has_addr(&self, addr: &SocketAddr) -> bool {
        self.keys_by_addr.contains_key(addr)
    }

    /// The addresses of all listed endpoints, each once.
    pub(crate) fn addrs(&self) -> impl Iterator<Item = &SocketAddr> {
        self.keys_by_addr.keys()
    }

    /// The number of distinct addresses.
    pub(crate) fn addr_count(&self) -> usize {
        self.keys_by_addr.len()
    }

    /// All endpoints, sorted by key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ListingKey, &TrackedEndpoint)> {
        self.endpoints.iter()
    }

    /// Mutable access to all endpoints, sorted by key. The caller must not change their addresses, which are indexed.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut TrackedEndpoint> {
        self.endpoints.values_mut()
    }

    /// Adds or replaces the endpoint with this key. The caller must first [`detach`](Self::detach) an endpoint whose
    /// address has changed.
    pub(crate) fn insert(&mut self, key: ListingKey, endpoint: TrackedEndpoint) {
        self.keys_by_addr
            .entry(endpoint.listed.addr)
            .or_default()
            .insert(key.clone());
        self.endpoints.insert(key, endpoint);
    }

    /// Removes an endpoint; `None` if it is not listed.
    pub(crate) fn remove(&mut self, key: &ListingKey) -> Option<UnlistedEndpoint> {
        let endpoint = self.endpoints.remove(key)?;
        let addr = endpoint.listed.addr;
        Some(UnlistedEndpoint {
            addr,
            was_last_at_addr: self.detach(key, addr),
        })
    }

    /// Removes a key from the index of an address, before its endpoint is inserted at another address. Returns whether
    /// it was the last key at that address.
    pub(crate) fn detach(&mut self, key: &ListingKey, addr: SocketAddr) -> bool {
        let Some(keys) = self.keys_by_addr.get_mut(&addr) else {
            return false;
        };
        keys.remove(key);
        let is_last = keys.is_empty();
        if is_last {
            self.keys_by_addr.remove(&addr);
        }
        is_last
    }

    /// The endpoints of this listing that a full list lacks.
    pub(crate) fn find_unlisted(
        &self,
        endpoints: &[ListedEndpoint],
        identity: EndpointIdentity,
    ) -> Unlisted {
        let listed_keys: HashSet<ListingKeyRef<'_>> = endpoints
            .iter()
            .map(|endpoint| ListingKeyRef::from_endpoint(endpoint, identity))
            .collect();
        let mut available_count = 0;
        let mut draining = Vec::new();
        let mut unlisted_available = Vec::new();
        for (key, endpoint) in &self.endpoints {
            let is_available = endpoint.listed.state == ListedState::Available;
            if is_available {
                available_count += 1;
            }
            if listed_keys.contains(&key.as_key_ref()) {
                continue;
            }
            if is_available {
                unlisted_available.push(key.clone());
            } else {
                draining.push(key.clone());
            }
        }
        let listed_addrs: HashSet<SocketAddr> = if unlisted_available.is_empty() {
            HashSet::new()
        } else {
            endpoints.iter().map(|endpoint| endpoint.addr).collect()
        };
        let (renamed, lost) = unlisted_available
            .into_iter()
            .partition(|key| key.addr.is_some_and(|addr| listed_addrs.contains(&addr)));
        Unlisted {
            draining,
            renamed,
            lost,
            available_count,
        }
    }
}
