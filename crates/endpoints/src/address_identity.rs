//! Names for the endpoints that only sources without ids list.
//!
//! DNS leads from names to addresses, and several names may lead to one. An endpoint that no source lists under an id
//! is named after the first of its names and its address. It keeps that name while at least one of its names stays;
//! if all of them are replaced at once, another endpoint runs at the address and gets a name that was never used,
//! so that nothing learned about the previous one applies to it.

use crate::update::MonotonicMicros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The endpoint at one address.
#[derive(Clone, Debug)]
struct AddressIdentity {
    /// The names that lead to the address.
    names: BTreeSet<String>,
    endpoint_name: String,
    /// How many endpoints have been seen at the address, this one counted.
    generation: u32,
    last_seen_at: MonotonicMicros,
}

/// The endpoints at all addresses where only sources without ids list anything.
#[derive(Debug, Default)]
pub(crate) struct AddressIdentities {
    by_addr: BTreeMap<SocketAddr, AddressIdentity>,
}

impl AddressIdentities {
    /// The name of the endpoint at an address to which these names lead now.
    pub(crate) fn endpoint_name(
        &mut self,
        now: MonotonicMicros,
        addr: SocketAddr,
        names: &BTreeSet<&str>,
    ) -> String {
        let first_name = names.first().copied().unwrap_or_default();
        let identity = self.by_addr.entry(addr).or_insert_with(|| AddressIdentity {
            names: to_owned_names(names),
            endpoint_name: format!("{first_name}@{addr}"),
            generation: 1,
            last_seen_at: now,
        });
        let has_new_names_only = names.iter().all(|name| !identity.names.contains(*name));
        if has_new_names_only {
            identity.generation += 1;
            identity.endpoint_name = format!("{first_name}@{addr}#{}", identity.generation);
        }
        let known_names = identity.names.iter().map(String::as_str);
        if !names.iter().copied().eq(known_names) {
            identity.names = to_owned_names(names);
        }
        identity.last_seen_at = now;
        identity.endpoint_name.clone()
    }

    /// The number of addresses.
    pub(crate) fn len(&self) -> usize {
        self.by_addr.len()
    }

    /// Keeps only addresses that some source lists.
    pub(crate) fn retain_listed(&mut self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.by_addr.retain(|addr, _| is_listed(addr));
    }

    /// Forgets addresses that no source lists and that were last seen before `cutoff`.
    pub(crate) fn forget_before(
        &mut self,
        cutoff: MonotonicMicros,
        is_listed: impl Fn(&SocketAddr) -> bool,
    ) {
        self.by_addr
            .retain(|addr, identity| identity.last_seen_at >= cutoff || is_listed(addr));
    }
}

fn to_owned_names(names: &BTreeSet<&str>) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}
