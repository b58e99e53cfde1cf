//! Assigns names to the endpoints that no source lists under an id.
//!
//! DNS resolves names to addresses, and several names may share an address. An endpoint without an id is named after
//! the first of its DNS names and its address. The name stays while at least one of the DNS names stays. If all of them
//! are replaced at once, a different endpoint is assumed to run at the address and gets a name that was never used
//! before, so that no learned state of the previous endpoint applies to it.

use crate::update::MonotonicMicros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The endpoint at one address.
#[derive(Clone, Debug)]
struct AddressIdentity {
    /// The DNS names that resolve to the address.
    names: BTreeSet<String>,
    endpoint_name: String,
    /// The number of endpoints seen at the address so far, including this one.
    generation: u32,
    last_seen_at: MonotonicMicros,
}

/// The endpoints at all addresses that are listed only by sources without ids.
#[derive(Debug, Default)]
pub(crate) struct AddressIdentities {
    by_addr: BTreeMap<SocketAddr, AddressIdentity>,
}

impl AddressIdentities {
    /// Returns the name of the endpoint at an address to which these DNS names currently resolve. Assigns a new name if
    /// the address is new or none of its previous DNS names is left.
    pub(crate) fn find_or_assign_name(
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

    pub(crate) fn len(&self) -> usize {
        self.by_addr.len()
    }

    /// Drops the addresses that no source lists.
    pub(crate) fn retain_listed(&mut self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.by_addr.retain(|addr, _| is_listed(addr));
    }

    /// Drops addresses that no source lists and that were last seen before `cutoff`.
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
