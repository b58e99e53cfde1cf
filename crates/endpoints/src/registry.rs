//! The combined list of endpoints.
//!
//! [`EndpointRegistry`] owns the state of each source, takes their updates and the time, and reports the endpoints that
//! have changed. Invariants, which `tests/invariants.rs` checks with generated sequences:
//!
//! * The reported changes, applied one after the other, give the list.
//! * Looking at every address gives the same list as looking only at those that have changed.
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

/// The number of withdrawn addresses, and of withdrawn names, that are remembered for each source.
const MAX_WITHDRAWALS: usize = 65_536;
/// How long an endpoint that no source lists any more is still shown, for whoever asks for the reason: 10 minutes.
const DEPARTED_RETENTION: DurationMicros = 600_000_000;
/// The number of such endpoints that are shown.
const MAX_DEPARTED: usize = 4096;
/// Withdrawals are cleaned up this many times within their retention.
const CLEANUPS_PER_RETENTION: u64 = 16;

/// An endpoint that no source lists any more.
#[derive(Clone, Debug)]
struct DepartedEndpoint {
    departed_at: MonotonicMicros,
    endpoint: RegisteredEndpoint,
}

/// A source's verdict on an endpoint, with the source's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVerdict {
    /// The name of the source.
    pub source: String,
    /// Its verdict.
    pub verdict: SourceVerdict,
}

/// The combined list of endpoints out of all sources.
#[derive(Debug)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    /// In the order of the settings.
    sources: Vec<SourceState>,
    identities: AddressIdentities,
    endpoints: BTreeMap<String, RegisteredEndpoint>,
    departed: BTreeMap<String, DepartedEndpoint>,
    /// The addresses that are kept out, one map per source; empty after a change of settings.
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
            departed: BTreeMap::new(),
            damped: Vec::new(),
            last_cleanup_at: 0,
            now: 0,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &RegistrySettings {
        &self.settings
    }

    /// Replaces the settings and returns the endpoints that have changed by it. A source that is in both, by its
    /// name, keeps its state.
    pub fn update_settings(
        &mut self,
        now: MonotonicMicros,
        settings: RegistrySettings,
    ) -> Vec<RegisteredEndpoint> {
        let mut previous = std::mem::take(&mut self.sources);
        for source_settings in &settings.sources {
            let kept = previous
                .iter()
                .position(|source| source.settings().name == source_settings.name);
            let mut source = if let Some(index) = kept {
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

    /// Applies one report of the source with this index in the settings; an unknown index is ignored. Returns the
    /// endpoints that have changed; those that no source lists any more are out of service.
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

    /// When [`Self::on_timer`] must be called, unless an update comes first.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.sources
            .iter()
            .filter_map(|source| source.next_release(self.now))
            .min()
    }

    /// Lets the time pass, so that addresses which were kept out until now are let in. Returns the endpoints that
    /// have changed.
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
        let previous = self.take_endpoints(&changed);
        self.replace(now, previous, merged)
    }

    /// The addresses to look at. Where several sources identify endpoints by name, an endpoint may be listed at
    /// other addresses than those that have changed, and a priority standby depends on all endpoints: then these
    /// are all addresses.
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
        let by_name_count = self
            .sources
            .iter()
            .filter(|source| source.identifies_by_name())
            .count();
        let depends_on_all = by_name_count > 1 || self.settings.has_priority_standby;
        if has_changed_everywhere || (!addrs.is_empty() && depends_on_all) {
            ChangedAddresses::All
        } else {
            ChangedAddresses::Only(addrs)
        }
    }

    /// The endpoints at the changed addresses as they are now.
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

    /// Takes the endpoints at the changed addresses out of the list.
    fn take_endpoints(
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
        let mut taken = BTreeMap::new();
        for name in names {
            if let Some(endpoint) = self.endpoints.remove(&name) {
                taken.insert(name, endpoint);
            }
        }
        taken
    }

    /// Puts the merged endpoints in the place of the previous ones and returns those that have changed.
    fn replace(
        &mut self,
        now: MonotonicMicros,
        previous: BTreeMap<String, RegisteredEndpoint>,
        merged: BTreeMap<String, RegisteredEndpoint>,
    ) -> Vec<RegisteredEndpoint> {
        let mut changes = Vec::new();
        for (name, endpoint) in &merged {
            let departed = self.departed.remove(name);
            let before = previous
                .get(name)
                .or(departed.as_ref().map(|departed| &departed.endpoint));
            if before.is_none_or(|before| endpoint.differs_from(before)) {
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
            let departed = DepartedEndpoint {
                departed_at: now,
                endpoint,
            };
            self.departed.insert(name, departed);
        }
        changes
    }

    /// The list: every endpoint that a source lists, then those that no source lists any more for a while, each by
    /// name. An endpoint that has departed under one name and is listed under another is in it once.
    pub fn endpoints(&self) -> Vec<RegisteredEndpoint> {
        let listed_addrs: BTreeSet<SocketAddr> = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.listing.addr)
            .collect();
        let departed = self
            .departed
            .values()
            .map(|departed| &departed.endpoint)
            .filter(|endpoint| !listed_addrs.contains(&endpoint.listing.addr));
        self.endpoints.values().chain(departed).cloned().collect()
    }

    /// The number of endpoints that take requests now.
    pub fn usable_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.status.is_usable())
            .count()
    }

    /// The reason for an endpoint's status, in words.
    pub fn status_reason(&self, endpoint: &RegisteredEndpoint) -> String {
        let source_name = self
            .settings
            .sources
            .get(endpoint.decision.source_index)
            .map_or("?", |source| source.name.as_str());
        let is_listed = self.endpoints.contains_key(&endpoint.name);
        endpoint.decision.explain(self.now, source_name, is_listed)
    }

    /// The verdicts on an endpoint, without those of sources that have never answered or do not list it.
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

    /// The time now, which never runs backwards.
    fn advance_clock(&mut self, now: MonotonicMicros) -> MonotonicMicros {
        self.now = self.now.max(now);
        self.now
    }

    /// The addresses that any source lists.
    fn listed_addrs(&self) -> BTreeSet<SocketAddr> {
        self.sources
            .iter()
            .flat_map(|source| source.listing().addrs().copied())
            .collect()
    }

    /// Forgets departed endpoints, and now and then what was withdrawn long ago.
    fn clean_up(&mut self, now: MonotonicMicros) {
        self.departed
            .retain(|_, departed| now.saturating_sub(departed.departed_at) < DEPARTED_RETENTION);
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_first();
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
