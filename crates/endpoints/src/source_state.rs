//! The state of one source: its listing, its withdrawals, and its unconfirmed losses.
//!
//! The [`EndpointRegistry`](crate::EndpointRegistry) owns one [`SourceState`] per source, applies the source's updates
//! to it and queries its verdict on each endpoint. Invariants:
//!
//! * An endpoint is listed or withdrawn, never both.
//! * The [`SuddenLossGuard`](crate::SuddenLossGuard) delays sudden losses, but never explicit drains and removals.
//! * A failed update does not change the listing.
//! * [`SourceState::take_changed_addresses`] reports every address whose verdict may have changed, once per change.

use crate::dated_verdict::{DatedVerdict, EndpointQuery, VerdictDetail};
use crate::flap_damping::{DampedAddresses, FlapDamping};
use crate::listing::{
    Listing, ListingKey, ListingKeyRef, MissingStreak, TrackedEndpoint, Unlisted, UnlistedEndpoint,
};
use crate::settings::{AbsencePolicy, EndpointIdentity, SourceSettings};
use crate::sudden_loss::{Loss, RecentLosses};
use crate::update::{ListedEndpoint, ListedState, MonotonicMicros, SourceUpdate};
use crate::verdict::SourceVerdict;
use crate::withdrawals::Withdrawals;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The addresses for which the verdict of a source may have changed.
pub(crate) enum ChangedAddresses {
    All,
    Only(BTreeSet<SocketAddr>),
}

#[derive(Debug)]
pub(crate) struct SourceState {
    settings: SourceSettings,
    has_answered: bool,
    /// When the source became unreachable; `None` while it is reachable.
    failing_since: Option<MonotonicMicros>,
    listing: Listing,
    withdrawals: Withdrawals,
    recent_losses: RecentLosses,
    flap_damping: FlapDamping,
    changed_addrs: BTreeSet<SocketAddr>,
    has_changed_everywhere: bool,
}

impl SourceState {
    /// A source that has not answered yet.
    pub(crate) fn new(settings: SourceSettings) -> Self {
        SourceState {
            settings,
            has_answered: false,
            failing_since: None,
            listing: Listing::default(),
            withdrawals: Withdrawals::default(),
            recent_losses: RecentLosses::default(),
            flap_damping: FlapDamping::default(),
            changed_addrs: BTreeSet::new(),
            has_changed_everywhere: true,
        }
    }

    pub(crate) fn settings(&self) -> &SourceSettings {
        &self.settings
    }

    /// Replaces the settings and keeps the listing, the withdrawals and all other state.
    pub(crate) fn set_settings(&mut self, settings: SourceSettings) {
        self.settings = settings;
    }

    pub(crate) fn identifies_by_name(&self) -> bool {
        self.settings.identity == EndpointIdentity::ByName
    }

    /// The endpoints that the source currently lists.
    pub(crate) fn listing(&self) -> &Listing {
        &self.listing
    }

    /// The addresses whose verdict may have changed since the previous call.
    pub(crate) fn take_changed_addresses(&mut self) -> ChangedAddresses {
        if std::mem::take(&mut self.has_changed_everywhere) {
            self.changed_addrs.clear();
            return ChangedAddresses::All;
        }
        ChangedAddresses::Only(std::mem::take(&mut self.changed_addrs))
    }

    pub(crate) fn apply_update(&mut self, now: MonotonicMicros, update: SourceUpdate) {
        let was_failing = self.failing_since.is_some();
        let is_failing = update == SourceUpdate::Failed;
        if was_failing != is_failing || !self.has_answered {
            self.has_changed_everywhere = true;
        }
        match update {
            SourceUpdate::Failed => {
                self.failing_since.get_or_insert(now);
                return;
            }
            SourceUpdate::FullList(endpoints) => self.apply_full_list(now, endpoints),
            SourceUpdate::Changes(endpoints) => {
                for endpoint in endpoints {
                    self.apply_endpoint(now, endpoint);
                }
                // A change list confirms that missing endpoints are still missing, so it counts as one more answer
                // that lacks them.
                self.count_missing_answer(now);
            }
        }
        self.has_answered = true;
        self.failing_since = None;
    }

    fn apply_full_list(&mut self, now: MonotonicMicros, endpoints: Vec<ListedEndpoint>) {
        let unlisted = self
            .listing
            .find_unlisted(&endpoints, self.settings.identity);
        for key in unlisted.draining.iter().chain(&unlisted.renamed) {
            self.withdraw(now, key);
        }
        if !unlisted.lost.is_empty() {
            if self.is_sudden_loss(now, &unlisted, endpoints.is_empty()) {
                self.count_loss(now, &unlisted.lost);
            } else {
                self.recent_losses.record(now, unlisted.lost.len());
                for key in &unlisted.lost {
                    self.withdraw(now, key);
                }
            }
        }
        for endpoint in endpoints {
            self.apply_endpoint(now, endpoint);
        }
    }

    fn is_sudden_loss(
        &mut self,
        now: MonotonicMicros,
        unlisted: &Unlisted,
        is_empty_list: bool,
    ) -> bool {
        let Some(guard) = &self.settings.sudden_loss_guard else {
            return false;
        };
        let loss = Loss {
            lost_count: unlisted.lost.len(),
            available_count: unlisted.available_count - unlisted.renamed.len(),
            is_empty_list,
        };
        self.recent_losses.is_sudden(now, guard, loss)
    }

    /// Counts an answer that lacks these endpoints, and withdraws those whose loss is now confirmed.
    fn count_loss(&mut self, now: MonotonicMicros, lost: &[ListingKey]) {
        for key in lost {
            let Some(endpoint) = self.listing.get_mut(key) else {
                continue;
            };
            let streak = endpoint.missing.unwrap_or(MissingStreak {
                since: now,
                answer_count: 0,
            });
            endpoint.missing = Some(MissingStreak {
                answer_count: streak.answer_count + 1,
                ..streak
            });
            self.changed_addrs.insert(endpoint.listed.addr);
        }
        self.withdraw_confirmed_losses(now);
    }

    /// Counts one more answer that lacks all endpoints that are missing already.
    fn count_missing_answer(&mut self, now: MonotonicMicros) {
        for endpoint in self.listing.values_mut() {
            if let Some(streak) = &mut endpoint.missing {
                streak.answer_count += 1;
                self.changed_addrs.insert(endpoint.listed.addr);
            }
        }
        self.withdraw_confirmed_losses(now);
    }

    /// Withdraws the endpoints that have been missing for the hold time and from enough answers.
    fn withdraw_confirmed_losses(&mut self, now: MonotonicMicros) {
        let Some(guard) = self.settings.sudden_loss_guard else {
            return;
        };
        let is_confirmed = |streak: MissingStreak| {
            now.saturating_sub(streak.since) >= guard.hold_time
                && streak.answer_count >= guard.confirmation_count
        };
        let confirmed: Vec<ListingKey> = self
            .listing
            .iter()
            .filter(|(_, endpoint)| endpoint.missing.is_some_and(is_confirmed))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &confirmed {
            self.withdraw(now, key);
        }
    }

    /// Applies the absence policy to an endpoint that the source no longer lists.
    fn withdraw(&mut self, now: MonotonicMicros, key: &ListingKey) {
        if self.settings.absence_policy == AbsencePolicy::Removes {
            self.remove(now, key);
        } else {
            self.unlist(key);
        }
    }

    /// Removes an endpoint from the listing and records its withdrawal.
    fn remove(&mut self, now: MonotonicMicros, key: &ListingKey) {
        let Some(unlisted) = self.unlist(key) else {
            return;
        };
        if unlisted.was_last_at_addr {
            self.withdrawals.record_addr(unlisted.addr, now);
        }
        if self.identifies_by_name() {
            self.withdrawals.record_name(key.name.clone(), now);
        }
    }

    fn unlist(&mut self, key: &ListingKey) -> Option<UnlistedEndpoint> {
        let unlisted = self.listing.remove(key)?;
        self.changed_addrs.insert(unlisted.addr);
        Some(unlisted)
    }

    /// Applies one endpoint of an update: unchanged, removed, changed, or new.
    fn apply_endpoint(&mut self, now: MonotonicMicros, listed: ListedEndpoint) {
        let key = ListingKeyRef::from_endpoint(&listed, self.settings.identity).to_key();
        let previous = self.listing.get(&key);
        if previous.is_some_and(|known| known.missing.is_none() && *known.listed == listed) {
            return;
        }
        self.changed_addrs.insert(listed.addr);
        if listed.state == ListedState::Removed {
            self.apply_removal(now, &key, listed);
        } else {
            self.apply_listing(now, key, listed);
        }
    }

    fn apply_removal(&mut self, now: MonotonicMicros, key: &ListingKey, listed: ListedEndpoint) {
        if self.listing.get(key).is_some() {
            self.remove(now, key);
            return;
        }
        // Not listed by this source, but another source may list the endpoint.
        if !self.listing.has_addr(&listed.addr) {
            self.withdrawals.record_addr_once(listed.addr, now);
        }
        if self.identifies_by_name() {
            self.withdrawals.record_name_once(listed.name, now);
        }
    }

    fn apply_listing(&mut self, now: MonotonicMicros, key: ListingKey, listed: ListedEndpoint) {
        let addr = listed.addr;
        let previous = self.listing.get(&key).cloned();
        match &previous {
            Some(known) if known.listed.addr != addr => {
                self.withdraw_previous_addr(now, &key, known.listed.addr);
            }
            Some(_) => {}
            None => self.count_return(now, addr),
        }
        let tracked = match previous {
            Some(known) => known.relisted(now, listed),
            None => TrackedEndpoint::new(now, listed, self.has_answered),
        };
        self.withdrawals.end(&addr, &key.name);
        self.listing.insert(key, tracked);
    }

    /// Withdraws the previous address of an endpoint that has moved, unless another endpoint is listed there.
    fn withdraw_previous_addr(&mut self, now: MonotonicMicros, key: &ListingKey, addr: SocketAddr) {
        self.changed_addrs.insert(addr);
        if self.listing.detach(key, addr) {
            self.withdrawals.record_addr(addr, now);
        }
    }

    /// Counts the return of an address that was withdrawn by an earlier update.
    fn count_return(&mut self, now: MonotonicMicros, addr: SocketAddr) {
        let withdrawn_at = self.withdrawals.addr_withdrawn_at(&addr);
        let was_withdrawn = withdrawn_at.is_some_and(|withdrawn_at| withdrawn_at < now);
        if let (Some(limits), true) = (&self.settings.flap_limits, was_withdrawn) {
            self.flap_damping.record_return(now, addr, limits);
        }
    }

    /// The addresses that are currently suppressed because their records are flapping.
    pub(crate) fn damped_addresses(&self, now: MonotonicMicros) -> DampedAddresses {
        self.flap_damping.damped_addresses(now, &self.listing)
    }

    /// When the next suppression of an address ends; `None` if none is suppressed.
    pub(crate) fn next_release(&self, now: MonotonicMicros) -> Option<MonotonicMicros> {
        self.flap_damping.next_release(now)
    }

    /// The source's verdict on an endpoint. `damped` holds the suppressed addresses of this source.
    pub(crate) fn verdict(
        &self,
        query: EndpointQuery<'_>,
        damped: &DampedAddresses,
    ) -> DatedVerdict {
        let name = query.name.filter(|_| self.identifies_by_name());
        let listed = self.verdict_if_listed(name, query);
        let Some(listed) = listed else {
            return self.verdict_if_unlisted(name, query);
        };
        if let Some(damped_until) = damped.get(&query.addr) {
            return DatedVerdict {
                verdict: SourceVerdict::Removed,
                since: listed.since,
                detail: VerdictDetail::DampedUntil(*damped_until),
            };
        }
        listed
    }

    /// The verdict if the source lists the endpoint.
    fn verdict_if_listed(
        &self,
        name: Option<&str>,
        query: EndpointQuery<'_>,
    ) -> Option<DatedVerdict> {
        if let Some(named) = name.and_then(|name| self.listing.by_name(name)) {
            return Some(named.verdict(self.failing_since));
        }
        if self.identifies_by_name() {
            return None;
        }
        let mut strongest: Option<DatedVerdict> = None;
        for tracked in self.listing.at(query.addr) {
            let dated = tracked.verdict(self.failing_since);
            let is_outdated_drain =
                dated.verdict == SourceVerdict::Draining && query.start_seen_at > Some(dated.since);
            if is_outdated_drain {
                continue;
            }
            // If several names share the address, the strongest verdict applies.
            if strongest.is_none_or(|strongest| dated.verdict > strongest.verdict) {
                strongest = Some(dated);
            }
        }
        strongest
    }

    /// The verdict if the source does not list the endpoint.
    fn verdict_if_unlisted(&self, name: Option<&str>, query: EndpointQuery<'_>) -> DatedVerdict {
        let withdrawn_at = name
            .and_then(|name| self.withdrawals.name_withdrawn_at(name))
            .or(self.withdrawals.addr_withdrawn_at(&query.addr));
        match withdrawn_at {
            Some(withdrawn_at) if query.start_seen_at <= Some(withdrawn_at) => {
                DatedVerdict::new(SourceVerdict::Removed, withdrawn_at)
            }
            _ if self.has_answered => DatedVerdict::new(SourceVerdict::Absent, 0),
            _ => DatedVerdict::new(SourceVerdict::Silent, 0),
        }
    }

    /// Drops withdrawals and returns from before `cutoff`, except withdrawals of addresses that any source lists.
    pub(crate) fn forget_before(
        &mut self,
        cutoff: MonotonicMicros,
        is_listed: impl Fn(&SocketAddr) -> bool,
    ) {
        self.withdrawals.forget_before(cutoff, is_listed);
        self.flap_damping.forget_before(cutoff);
    }

    /// Drops the oldest withdrawals beyond `max_count` addresses and `max_count` names.
    pub(crate) fn limit_withdrawals(&mut self, max_count: usize) {
        self.withdrawals.keep_newest(max_count);
    }
}
