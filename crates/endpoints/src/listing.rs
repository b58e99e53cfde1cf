//! The endpoints that one source lists now, by key and by address.
//!
//! Invariant: `keys_by_addr` holds exactly the keys of `endpoints`, each under the address of its endpoint, and no
//! empty set. [`SourceState`](crate::source_state::SourceState) owns one and decides what goes into it.

use crate::settings::EndpointIdentity;
use crate::update::{ListedEndpoint, ListedState, MonotonicMicros};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// What identifies a listed endpoint within one source: its name, and for sources that identify endpoints by address
/// the address too, since one name may lead to several.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ListingKey {
    pub(crate) name: String,
    /// `None` in a source that identifies endpoints by name.
    pub(crate) addr: Option<SocketAddr>,
}

/// A [`ListingKey`] that borrows its name, to look keys up without an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ListingKeyRef<'a> {
    name: &'a str,
    addr: Option<SocketAddr>,
}

impl ListingKey {
    /// The same key, borrowed.
    pub(crate) fn as_key_ref(&self) -> ListingKeyRef<'_> {
        ListingKeyRef {
            name: &self.name,
            addr: self.addr,
        }
    }
}

impl<'a> ListingKeyRef<'a> {
    /// The key of an endpoint in a source that identifies endpoints this way.
    pub(crate) fn of(endpoint: &'a ListedEndpoint, identity: EndpointIdentity) -> Self {
        ListingKeyRef {
            name: &endpoint.name,
            addr: (identity == EndpointIdentity::ByAddress).then_some(endpoint.addr),
        }
    }

    /// The same key with a name of its own.
    pub(crate) fn to_key(self) -> ListingKey {
        ListingKey {
            name: self.name.to_string(),
            addr: self.addr,
        }
    }
}

/// Full answers in a row that lack an endpoint and are not believed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingStreak {
    /// When the first of them came.
    pub(crate) since: MonotonicMicros,
    /// How many came, the first one counted.
    pub(crate) answer_count: u32,
}

/// A listed endpoint and what has been observed of it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedEndpoint {
    /// The newest description.
    pub(crate) listed: Arc<ListedEndpoint>,
    /// Since when it is listed in its present state.
    pub(crate) state_since: MonotonicMicros,
    /// When its present start was first seen; `None` if it was part of the source's first answer, since it may have
    /// started long before.
    pub(crate) start_seen_at: Option<MonotonicMicros>,
    /// The answers that lack it, if the newest ones do.
    pub(crate) missing: Option<MissingStreak>,
}

impl TrackedEndpoint {
    /// An endpoint that was not listed before. Its start is new if the source has answered before.
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

    /// The same endpoint as it is listed now.
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

/// An endpoint that [`Listing::remove`] has taken out.
pub(crate) struct UnlistedEndpoint {
    /// Where it was listed.
    pub(crate) addr: SocketAddr,
    /// Whether nothing else is listed at that address.
    pub(crate) was_last_at_addr: bool,
}

/// What a full list lacks of what was listed before.
pub(crate) struct Unlisted {
    /// Endpoints that were draining: their absence is expected.
    pub(crate) draining: Vec<ListingKey>,
    /// Endpoints whose address is listed under another name.
    pub(crate) renamed: Vec<ListingKey>,
    /// Available endpoints of which the list has nothing.
    pub(crate) lost: Vec<ListingKey>,
    /// The number of endpoints that were available before the list, lost and renamed ones included.
    pub(crate) available_count: usize,
}

/// The endpoints that one source lists now.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    endpoints: BTreeMap<ListingKey, TrackedEndpoint>,
    keys_by_addr: BTreeMap<SocketAddr, BTreeSet<ListingKey>>,
}

impl Listing {
    /// The endpoint of this key.
    pub(crate) fn get(&self, key: &ListingKey) -> Option<&TrackedEndpoint> {
        self.endpoints.get(key)
    }

    /// The endpoint of this key, to change what has been observed of it. Its address must stay.
    pub(crate) fn get_mut(&mut self, key: &ListingKey) -> Option<&mut TrackedEndpoint> {
        self.endpoints.get_mut(key)
    }

    /// The endpoint of this name in a source that identifies endpoints by name.
    pub(crate) fn by_name(&self, name: &str) -> Option<&TrackedEndpoint> {
        let key = ListingKey {
            name: name.to_string(),
            addr: None,
        };
        self.endpoints.get(&key)
    }

    /// The endpoints at this address, in the order of their names.
    pub(crate) fn at(&self, addr: SocketAddr) -> impl Iterator<Item = &TrackedEndpoint> {
        self.keys_by_addr
            .get(&addr)
            .into_iter()
            .flatten()
            .filter_map(|key| self.endpoints.get(key))
    }

    /// Whether anything is listed at this address.
    pub(crate) fn has_addr(&self, addr: &SocketAddr) -> bool {
        self.keys_by_addr.contains_key(addr)
    }

    /// The addresses at which anything is listed.
    pub(crate) fn addrs(&self) -> impl Iterator<Item = &SocketAddr> {
        self.keys_by_addr.keys()
    }

    /// The number of addresses at which anything is listed.
    pub(crate) fn addr_count(&self) -> usize {
        self.keys_by_addr.len()
    }

    /// All endpoints in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ListingKey, &TrackedEndpoint)> {
        self.endpoints.iter()
    }

    /// All endpoints in the order of their keys, to change what has been observed of them. Addresses must stay.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut TrackedEndpoint> {
        self.endpoints.values_mut()
    }

    /// Adds an endpoint, or replaces the one of this key. An endpoint that has moved must be detached from its
    /// previous address first.
    pub(crate) fn insert(&mut self, key: ListingKey, endpoint: TrackedEndpoint) {
        self.keys_by_addr
            .entry(endpoint.listed.addr)
            .or_default()
            .insert(key.clone());
        self.endpoints.insert(key, endpoint);
    }

    /// Takes an endpoint out; `None` if it is not listed.
    pub(crate) fn remove(&mut self, key: &ListingKey) -> Option<UnlistedEndpoint> {
        let endpoint = self.endpoints.remove(key)?;
        let addr = endpoint.listed.addr;
        Some(UnlistedEndpoint {
            addr,
            was_last_at_addr: self.detach(key, addr),
        })
    }

    /// Removes a key from the index of an address, before its endpoint is inserted at another one. Returns whether
    /// it was the last one there.
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

    /// What a full list lacks of this listing.
    pub(crate) fn find_unlisted(
        &self,
        endpoints: &[ListedEndpoint],
        identity: EndpointIdentity,
    ) -> Unlisted {
        let listed_keys: HashSet<ListingKeyRef<'_>> = endpoints
            .iter()
            .map(|endpoint| ListingKeyRef::of(endpoint, identity))
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
