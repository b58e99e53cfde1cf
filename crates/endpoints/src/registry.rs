//! The merged list of endpoints.
//!
//! [`EndpointRegistry`] owns the state of each source, applies updates and timers, and returns the endpoints that have
//! changed. Invariants, which `tests/invariants.rs` checks with generated sequences:
//!
//! * The reported changes, applied in order, reproduce the list.
//! * Merging only the changed addresses gives the same list as merging all addresses.
//! * One address has at most one usable endpoint.

use crate::address_identity::AddressIdentities;
use crate::endpoint::RegisteredEndpoint;
use crate::flap_damping::DampedAddresses;
use crate::merge::{apply_priority_standby, MergePass};
use crate::settings::RegistrySettings;
use crate::source_state::{ChangedAddresses, SourceState};
use crate::update::{DurationMicros, MonotonicMicros, SourceUpdate};
use crate::verdict::{EndpointStatus, SourceVerdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Limit on withdrawn addresses, and on withdrawn names, remembered per source. If more addresses than this have an
/// assigned endpoint name, those that no source lists lose it.
const MAX_WITHDRAWALS: usize = 65_536;
/// How long an endpoint that no source lists any more is still shown, so that operators can see the reason: 10 minutes.
const DELISTED_RETENTION: DurationMicros = 600_000_000;
/// Limit on the number of endpoints shown after no source lists them any more; beyond it those that are first by name
/// are dropped.
const MAX_DELISTED: usize = 4096;
/// How often expired withdrawals are dropped within one `withdrawal_retention`.
const CLEANUPS_PER_RETENTION: u64 = 16;

/// An endpoint that no source lists any more.
#[derive(Clone, Debug)]
struct DelistedEndpoint {
    delisted_at: MonotonicMicros,
    endpoint: RegisteredEndpoint,
}

/// A source's verdict on an endpoint, with the source's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVerdict {
    /// The source's name in the settings.
    pub source: String,
    /// The source's verdict on the endpoint.
    pub verdict: SourceVerdict,
}

/// The list of endpoints, merged from all sources.
#[derive(Debug)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    /// In the order of the settings.
    sources: Vec<SourceState>,
    identities: AddressIdentities,
    endpoints: BTreeMap<String, RegisteredEndpoint>,
    delisted: BTreeMap<String, DelistedEndpoint>,
    /// The suppressed addresses at the last merge, one map per source; empty after a change of settings.
    damped: Vec<DampedAddresses>,
    last_cleanup_at: MonotonicMicros,
    now: MonotonicMicros,
}

impl EndpointRegistry {
    /// A registry whose sources have not answered yet.
    pub fn new(settings: RegistrySettings) -> Self {
        let sources = settings
            .sources
            .iter()
            .cloned()
            .map(SourceState::new)
            .collect();
        EndpointRegistry {
            settings,
            sources,
            identities: AddressIdentities::default(),
            endpoints: BTreeMap::new(),
            delisted: BTreeMap::new(),
            damped: Vec::new(),
            last_cleanup_at: 0,
            now: 0,
        }
    }

    /// The current settings, whose order of sources gives the indexes for [`Self::apply_update`].
    pub fn settings(&self) -> &RegistrySettings {
        &self.settings
    }

    /// Replaces the settings and returns the endpoints that change as a result. A source keeps its state if the new
    /// settings have one of the same name.
    pub fn update_settings(
        &mut self,
        now: MonotonicMicros,
        settings: RegistrySettings,
    ) -> Vec<RegisteredEndpoint> {
        let mut previous = std::mem::take(&mut self.sources);
        for source_settings in &settings.sources {
            let existing_index = previous
                .iter()
                .position(|source| source.settings().name == source_settings.name);
            let mut source = if let Some(index) = existing_index {
                previous.swap_remove(index)
            } else {
                SourceState::new(source_settings.clone())
            };
            source.set_settings(source_settings.clone());
            self.sources.push(source);
        }
        self.settings = settings;
        self.damped.clear();
        self.on_timer(now)
    }

    /// Applies an update of the source with this index in the settings; an unknown index is ignored. Returns the
    /// changed endpoints; those that no source lists any more are returned as out of service.
    pub fn apply_update(
        &mut self,
        now: MonotonicMicros,
        source_index: usize,
        update: SourceUpdate,
    ) -> Vec<RegisteredEndpoint> {
        let now = self.advance_clock(now);
        let Some(source) = self.sources.get_mut(source_index) else {
            return Vec::new();
        };
        source.apply_update(now, update);
        source.limit_withdrawals(MAX_WITHDRAWALS);
        self.on_timer(now)
    }

    /// When [`Self::on_timer`] must be called next, because a suppression ends; `None` if only an update can change the
    /// list.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.sources
            .iter()
            .filter_map(|source| source.next_release(self.now))
            .min()
    }

    /// Advances the time, ending suppressions that are due. Returns the endpoints that have changed.
    pub fn on_timer(&mut self, now: MonotonicMicros) -> Vec<RegisteredEndpoint> {
        let now = self.advance_clock(now);
        self.clean_up(now);
        let damped: Vec<DampedAddresses> = self
            .sources
            .iter()
            .map(|source| source.damped_addresses(now))
            .collect();
        let changed = self.take_changed_addresses(&damped);
        self.damped = damped;
        if let ChangedAddresses::Only(addrs) = &changed {
            if addrs.is_empty() {
                return Vec::new();
            }
        }
        let merged = self.merge(now, &changed);
        let previous = self.remove_endpoints(&changed);
        self.replace(now, previous, merged)
    }

    /// The addresses to merge again. A change at one address requires all of them if several sources identify endpoints
    /// by name, because an endpoint may also be listed at an unchanged address, and if priority standby is on, because
    /// it depends on all endpoints.
    fn take_changed_addresses(&mut self, damped: &[DampedAddresses]) -> ChangedAddresses {
        let mut has_changed_everywhere = damped.len() != self.damped.len();
        let mut addrs = BTreeSet::new();
        for (current, previous) in damped.iter().zip(&self.damped) {
            for addr in current.keys().chain(previous.keys()) {
                if current.get(addr) != previous.get(addr) {
                    addrs.insert(*addr);
                }
            }
        }
        for source in &mut self.sources {
            match source.take_changed_addresses() {
                ChangedAddresses::All => has_changed_everywhere = true,
                ChangedAddresses::Only(changed) => addrs.extend(changed),
            }
        }
        let named_source_count = self
            .sources
            .iter()
            .filter(|source| source.identifies_by_name())
            .count();
        let depends_on_all = named_source_count > 1 || self.settings.has_priority_standby;
        if has_changed_everywhere || (!addrs.is_empty() && depends_on_all) {
            ChangedAddresses::All
        } else {
            ChangedAddresses::Only(addrs)
        }
    }

    /// Merges the verdicts on the endpoints at the changed addresses.
    fn merge(
        &mut self,
        now: MonotonicMicros,
        changed: &ChangedAddresses,
    ) -> BTreeMap<String, RegisteredEndpoint> {
        let all_addrs;
        let addrs = match changed {
            ChangedAddresses::Only(addrs) => addrs,
            ChangedAddresses::All => {
                all_addrs = self.listed_addrs();
                &all_addrs
            }
        };
        let pass = MergePass {
            sources: &self.sources,
            damped: &self.damped,
            addrs,
        };
        let mut merged = pass.merge(now, &mut self.identities);
        if self.settings.has_priority_standby {
            apply_priority_standby(&mut merged);
        }
        merged
    }

    /// Removes the endpoints at the changed addresses from the list and returns them.
    fn remove_endpoints(
        &mut self,
        changed: &ChangedAddresses,
    ) -> BTreeMap<String, RegisteredEndpoint> {
        let addrs = match changed {
            ChangedAddresses::All => return std::mem::take(&mut self.endpoints),
            ChangedAddresses::Only(addrs) => addrs,
        };
        let names: Vec<String> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| addrs.contains(&endpoint.listing.addr))
            .map(|(name, _)| name.clone())
            .collect();
        let mut removed = BTreeMap::new();
        for name in names {
            if let Some(endpoint) = self.endpoints.remove(&name) {
                removed.insert(name, endpoint);
            }
        }
        removed
    }

    /// Replaces the previous endpoints with the merged ones and returns those that have changed.
    fn replace(
        &mut self,
        now: MonotonicMicros,
        previous: BTreeMap<String, RegisteredEndpoint>,
        merged: BTreeMap<String, RegisteredEndpoint>,
    ) -> Vec<RegisteredEndpoint> {
        let mut changes = Vec::new();
        for (name, endpoint) in &merged {
            let delisted = self.delisted.remove(name);
            let last_reported = previous
                .get(name)
                .or(delisted.as_ref().map(|delisted| &delisted.endpoint));
            if last_reported.is_none_or(|last_reported| endpoint.differs_from(last_reported)) {
                changes.push(endpoint.clone());
            }
        }
        self.endpoints.extend(merged);
        for (name, mut endpoint) in previous {
            if self.endpoints.contains_key(&name) {
                continue;
            }
            let last_status = std::mem::replace(&mut endpoint.status, EndpointStatus::OutOfService);
            if last_status != EndpointStatus::OutOfService {
                changes.push(endpoint.clone());
            }
            let delisted = DelistedEndpoint {
                delisted_at: now,
                endpoint,
            };
            self.delisted.insert(name, delisted);
        }
        changes
    }

    /// All endpoints that a source lists, followed by those that were delisted recently, each group sorted by name. An
    /// endpoint that was delisted under one name and is listed under another is included once.
    pub fn endpoints(&self) -> Vec<RegisteredEndpoint> {
        let listed_addrs: BTreeSet<SocketAddr> = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.listing.addr)
            .collect();
        let delisted = self
            .delisted
            .values()
            .map(|delisted| &delisted.endpoint)
            .filter(|endpoint| !listed_addrs.contains(&endpoint.listing.addr));
        self.endpoints.values().chain(delisted).cloned().collect()
    }

    /// The number of endpoints that currently take new requests.
    pub fn usable_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.status.is_usable())
            .count()
    }

    /// A readable reason for an endpoint's status.
    pub fn status_reason(&self, endpoint: &RegisteredEndpoint) -> String {
        let source_name = self
            .settings
            .sources
            .get(endpoint.decision.source_index)
            .map_or("?", |source| source.name.as_str());
        let is_listed = self.endpoints.contains_key(&endpoint.name);
        endpoint.decision.explain(self.now, source_name, is_listed)
    }

    /// The verdicts on an endpoint, except those of sources that have never answered or have no record of it.
    pub fn source_verdicts(&self, endpoint: &RegisteredEndpoint) -> Vec<NamedVerdict> {
        self.settings
            .sources
            .iter()
            .zip(&endpoint.verdicts)
            .filter(|(_, verdict)| **verdict > SourceVerdict::Absent)
            .map(|(source, verdict)| NamedVerdict {
                source: source.name.clone(),
                verdict: *verdict,
            })
            .collect()
    }

    /// Sets the current time, which never goes backwards, and returns it.
    fn advance_clock(&mut self, now: MonotonicMicros) -> MonotonicMicros {
        self.now = self.now.max(now);
        self.now
    }

    /// All addresses that any source lists.
    fn listed_addrs(&self) -> BTreeSet<SocketAddr> {
        self.sources
            .iter()
            .flat_map(|source| source.listing().addrs().copied())
            .collect()
    }

    /// Drops expired delisted endpoints and, at intervals, expired withdrawals.
    fn clean_up(&mut self, now: MonotonicMicros) {
        self.delisted
            .retain(|_, delisted| now.saturating_sub(delisted.delisted_at) < DELISTED_RETENTION);
        while self.delisted.len() > MAX_DELISTED {
            self.delisted.pop_first();
        }
        if self.identities.len() > MAX_WITHDRAWALS {
            let sources = &self.sources;
            self.identities
                .retain_listed(|addr| sources.iter().any(|source| source.listing().has_addr(addr)));
        }
        let retention = self.settings.withdrawal_retention;
        let interval = retention / CLEANUPS_PER_RETENTION + 1;
        if now.saturating_sub(self.last_cleanup_at) < interval || now < retention {
            return;
        }
        self.last_cleanup_at = now;
        let cutoff = now - retention;
        let listed_addrs = self.listed_addrs();
        for source in &mut self.sources {
            source.forget_before(cutoff, |addr| listed_addrs.contains(addr));
        }
        self.identities
            .forget_before(cutoff, |addr| listed_addrs.contains(addr));
    }
}
