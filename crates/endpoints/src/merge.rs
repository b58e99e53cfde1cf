//! Merges the verdicts of all sources into endpoints.
//!
//! A pass covers some or all addresses. It changes only the names that are assigned to endpoints that no source lists
//! under an id. [`EndpointRegistry`](crate::EndpointRegistry) makes one pass per update and compares the result with
//! the previous list.

use crate::address_identity::AddressIdentities;
use crate::dated_verdict::{DatedVerdict, EndpointQuery};
use crate::endpoint::{RegisteredEndpoint, StatusDecision};
use crate::flap_damping::DampedAddresses;
use crate::listing::TrackedEndpoint;
use crate::source_state::SourceState;
use crate::update::{ListedEndpoint, MonotonicMicros};
use crate::verdict::{prevailing_verdict, EndpointStatus, SourceVerdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// One pass over the sources.
pub(crate) struct MergePass<'a> {
    /// All sources, in the order of the settings.
    pub(crate) sources: &'a [SourceState],
    /// The suppressed addresses, one map per source.
    pub(crate) damped: &'a [DampedAddresses],
    /// The addresses that this pass covers.
    pub(crate) addrs: &'a BTreeSet<SocketAddr>,
}

impl<'a> MergePass<'a> {
    /// The endpoints at the addresses of this pass, keyed by name.
    pub(crate) fn merge(
        &self,
        now: MonotonicMicros,
        identities: &mut AddressIdentities,
    ) -> BTreeMap<String, RegisteredEndpoint> {
        let mut endpoints = BTreeMap::new();
        self.merge_named(&mut endpoints);
        self.merge_unnamed(now, identities, &mut endpoints);
        endpoints
    }

    /// Adds the endpoints that at least one source lists under an id.
    fn merge_named(&self, endpoints: &mut BTreeMap<String, RegisteredEndpoint>) {
        for (name, tracked) in self.group_by_name() {
            let first = tracked[0];
            let query = EndpointQuery {
                name: Some(name),
                addr: first.listed.addr,
                start_seen_at: tracked
                    .iter()
                    .filter_map(|tracked| tracked.start_seen_at)
                    .max(),
            };
            let other_listings = self
                .sources
                .iter()
                .flat_map(|source| source.listing().at(query.addr))
                .filter(|tracked| tracked.listed.name != name);
            let endpoint = combine(
                name.to_string(),
                first.listed.clone(),
                other_listings,
                &self.verdicts(query),
            );
            endpoints.insert(endpoint.name.clone(), endpoint);
        }
    }

    /// The listings at the addresses of this pass in sources that identify endpoints by name, grouped by name.
    fn group_by_name(&self) -> BTreeMap<&'a str, Vec<&'a TrackedEndpoint>> {
        let mut by_name: BTreeMap<&str, Vec<&TrackedEndpoint>> = BTreeMap::new();
        for source in self.sources_identifying_by_name() {
            for addr in self.addrs {
                for tracked in source.listing().at(*addr) {
                    by_name
                        .entry(&tracked.listed.name)
                        .or_default()
                        .push(tracked);
                }
            }
        }
        by_name
    }

    /// Adds the endpoints at addresses where no source lists an id.
    fn merge_unnamed(
        &self,
        now: MonotonicMicros,
        identities: &mut AddressIdentities,
        endpoints: &mut BTreeMap<String, RegisteredEndpoint>,
    ) {
        for addr in self.addrs {
            let has_named_endpoint = self
                .sources_identifying_by_name()
                .any(|source| source.listing().has_addr(addr));
            if has_named_endpoint {
                continue;
            }
            let tracked: Vec<&TrackedEndpoint> = self
                .sources
                .iter()
                .filter(|source| !source.identifies_by_name())
                .flat_map(|source| source.listing().at(*addr))
                .collect();
            let Some((first, other_listings)) = tracked.split_first() else {
                continue;
            };
            let names: BTreeSet<&str> = tracked
                .iter()
                .map(|tracked| tracked.listed.name.as_str())
                .collect();
            let query = EndpointQuery {
                name: None,
                addr: *addr,
                start_seen_at: None,
            };
            let endpoint = combine(
                identities.find_or_assign_name(now, *addr, &names),
                first.listed.clone(),
                other_listings.iter().copied(),
                &self.verdicts(query),
            );
            endpoints.insert(endpoint.name.clone(), endpoint);
        }
    }

    fn sources_identifying_by_name(&self) -> impl Iterator<Item = &'a SourceState> {
        self.sources
            .iter()
            .filter(|source| source.identifies_by_name())
    }

    /// The verdict of each source, in the order of the settings.
    fn verdicts(&self, query: EndpointQuery<'_>) -> Vec<DatedVerdict> {
        self.sources
            .iter()
            .zip(self.damped)
            .map(|(source, damped)| source.verdict(query, damped))
            .collect()
    }
}

/// Combines the verdicts of all sources on one endpoint by the precedence table. The first source that has the
/// prevailing verdict is recorded as the reason.
fn combine<'a>(
    name: String,
    listing: Arc<ListedEndpoint>,
    other_listings: impl Iterator<Item = &'a TrackedEndpoint>,
    verdicts: &[DatedVerdict],
) -> RegisteredEndpoint {
    let prevailing = verdicts
        .iter()
        .map(|dated| dated.verdict)
        .fold(SourceVerdict::Silent, prevailing_verdict);
    let source_index = verdicts
        .iter()
        .position(|dated| dated.verdict == prevailing)
        .unwrap_or(0);
    let mut weight = listing.weight;
    let mut priority = listing.priority;
    for other in other_listings {
        weight = weight.or(other.listed.weight);
        priority = priority.or(other.listed.priority);
    }
    RegisteredEndpoint {
        name,
        status: prevailing.status(),
        listing,
        weight,
        priority,
        verdicts: verdicts.iter().map(|dated| dated.verdict).collect(),
        decision: StatusDecision {
            source_index,
            dated_verdict: verdicts[source_index],
            is_standby: false,
        },
    }
}

/// Takes usable endpoints out of service unless their priority number is the lowest of all usable endpoints (RFC 2782).
/// A missing priority counts as 0.
pub(crate) fn apply_priority_standby(endpoints: &mut BTreeMap<String, RegisteredEndpoint>) {
    let lowest_priority = endpoints
        .values()
        .filter(|endpoint| endpoint.status.is_usable())
        .map(|endpoint| endpoint.priority.unwrap_or(0))
        .min();
    for endpoint in endpoints.values_mut() {
        let is_standby =
            endpoint.status.is_usable() && Some(endpoint.priority.unwrap_or(0)) > lowest_priority;
        if is_standby {
            endpoint.status = EndpointStatus::OutOfService;
            endpoint.decision.is_standby = true;
        }
    }
}
