//! What one source has told so far and how far it is believed: sudden losses are held, returns of flapping
//! records are delayed, and what was taken away is remembered.

#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::settings::{AbsencePolicy, EndpointIdentity, SourceSettings};
use crate::update::{ListedEndpoint, ListedState, MonotonicMicros, SourceUpdate};
use crate::verdict::SourceVerdict;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Addresses whose returns are remembered; the quietest are forgotten first.
const MOST_FLAPS: usize = 16_384;

/// An entry's place in the book: its name, and for addressing sources its address too, since one name may lead
/// to several.
type Place = (String, Option<SocketAddr>);

#[derive(Clone, Debug)]
pub(crate) struct TrackedEndpoint {
    pub(crate) entry: Arc<ListedEndpoint>,
    /// Since when it is said to be in its present state.
    pub(crate) since: MonotonicMicros,
    /// When its present start was seen to be new; `None` where it was there in the first answer.
    pub(crate) started: Option<MonotonicMicros>,
    /// Lacking in so many answers since then, and not believed yet.
    missing: Option<(MonotonicMicros, u32)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Flap {
    returns: u32,
    last: MonotonicMicros,
    /// Kept out until then.
    until: MonotonicMicros,
}

/// One source's book.
#[derive(Debug)]
pub(crate) struct SourceState {
    pub(crate) settings: SourceSettings,
    answered: bool,
    pub(crate) failing: Option<MonotonicMicros>,
    live: BTreeMap<Place, TrackedEndpoint>,
    at: BTreeMap<SocketAddr, BTreeSet<Place>>,
    /// Since when addresses and names are taken away.
    gone_addrs: BTreeMap<SocketAddr, MonotonicMicros>,
    gone_names: BTreeMap<String, MonotonicMicros>,
    /// Believed losses of the last hold time.
    losses: VecDeque<(MonotonicMicros, usize)>,
    flaps: BTreeMap<SocketAddr, Flap>,
    /// Where something has changed that an opinion may rest on since it was asked last ...
    dirty: BTreeSet<SocketAddr>,
    /// ... or that it has everywhere.
    all_dirty: bool,
}

/// What of a book has changed.
pub(crate) enum ChangedAddresses {
    All,
    At(BTreeSet<SocketAddr>),
}

/// An opinion, since when, and what it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DatedVerdict {
    pub(crate) opinion: SourceVerdict,
    pub(crate) since: MonotonicMicros,
    /// For held ones: answers that said the same so far. For flapping ones: until when.
    pub(crate) detail: VerdictDetail,
}

/// What a reason names beside the opinion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum VerdictDetail {
    None,
    Lacking(u32),
    Flapping(MonotonicMicros),
}

impl SourceState {
    pub(crate) fn new(settings: SourceSettings) -> Self {
        let (answered, failing, live, at) = Default::default();
        let (gone_addrs, gone_names, losses, flaps) = Default::default();
        let (dirty, all_dirty) = (BTreeSet::new(), true);
        SourceState {
            settings,
            answered,
            failing,
            live,
            at,
            gone_addrs,
            gone_names,
            losses,
            flaps,
            dirty,
            all_dirty,
        }
    }

    /// What has changed since this was asked last.
    pub(crate) fn dirty(&mut self) -> ChangedAddresses {
        match std::mem::take(&mut self.all_dirty) {
            true => {
                self.dirty.clear();
                ChangedAddresses::All
            }
            false => ChangedAddresses::At(std::mem::take(&mut self.dirty)),
        }
    }

    /// Takes what the source tells.
    pub(crate) fn told(&mut self, now: MonotonicMicros, told: SourceUpdate) {
        self.all_dirty |=
            self.failing.is_some() != (told == SourceUpdate::Failed) || !self.answered;
        match told {
            SourceUpdate::Failed => {
                self.failing.get_or_insert(now);
                return;
            }
            SourceUpdate::FullList(entries) => self.whole(now, entries),
            SourceUpdate::Changes(entries) => {
                for entry in entries {
                    self.entry(now, entry);
                }
                // Nothing new about what is lacking: that is one more answer that lacks it.
                self.confirm(now);
            }
        }
        self.answered = true;
        self.failing = None;
    }

    fn place(&self, entry: &ListedEndpoint) -> Place {
        let addr = (self.settings.identity == EndpointIdentity::ByAddress).then_some(entry.addr);
        (entry.name.clone(), addr)
    }

    fn whole(&mut self, now: MonotonicMicros, entries: Vec<ListedEndpoint>) {
        let by_addr = self.settings.identity == EndpointIdentity::ByAddress;
        let listed: HashSet<(&str, Option<SocketAddr>)> = entries
            .iter()
            .map(|e| (e.name.as_str(), by_addr.then_some(e.addr)))
            .collect();
        let alive = |k: &TrackedEndpoint| k.entry.state == ListedState::Available;
        let up = self.live.values().filter(|k| alive(k)).count();
        let (lost, drained): (Vec<Place>, Vec<Place>) = self
            .live
            .keys()
            .filter(|p| !listed.contains(&(p.0.as_str(), p.1)))
            .cloned()
            .partition(|p| alive(&self.live[p]));
        let nothing = listed.is_empty();
        let addrs: HashSet<SocketAddr> = match lost.is_empty() {
            true => HashSet::new(),
            false => entries.iter().map(|e| e.addr).collect(),
        };
        let renamed = |p: &Place| p.1.is_some_and(|addr| addrs.contains(&addr));
        let (renamed, lost): (Vec<Place>, Vec<Place>) = lost.into_iter().partition(renamed);
        // Neither the end of a drain nor another name for an address is a surprise.
        drained
            .iter()
            .chain(&renamed)
            .for_each(|p| self.withdraw(now, p));
        let sudden = !lost.is_empty() && self.sudden(now, lost.len(), up - renamed.len(), nothing);
        if sudden {
            for place in lost {
                let Some(known) = self.live.get_mut(&place) else {
                    continue;
                };
                let (since, count) = known.missing.unwrap_or((now, 0));
                known.missing = Some((since, count + 1));
                self.dirty.insert(known.entry.addr);
            }
            self.believe(now);
        } else if !lost.is_empty() {
            self.losses.push_back((now, lost.len()));
            lost.iter().for_each(|p| self.withdraw(now, p));
        }
        for entry in entries {
            self.entry(now, entry);
        }
    }

    /// Whether a loss is too large to be believed at once. What was lost bit by bit within one hold counts too.
    fn sudden(&mut self, now: MonotonicMicros, lost: usize, up: usize, nothing: bool) -> bool {
        let Some(guard) = self.settings.sudden_loss_guard else {
            return false;
        };
        while self
            .losses
            .front()
            .is_some_and(|l| now.saturating_sub(l.0) >= guard.hold_time)
        {
            self.losses.pop_front();
        }
        let before: usize = self.losses.iter().map(|l| l.1).sum();
        nothing || (lost + before) as f64 > guard.max_loss_fraction * (up + before) as f64
    }

    fn confirm(&mut self, now: MonotonicMicros) {
        for known in self.live.values_mut() {
            if let Some((since, count)) = known.missing {
                known.missing = Some((since, count + 1));
                self.dirty.insert(known.entry.addr);
            }
        }
        self.believe(now);
    }

    fn believe(&mut self, now: MonotonicMicros) {
        let Some(guard) = self.settings.sudden_loss_guard else {
            return;
        };
        let ripe = |m: (MonotonicMicros, u32)| {
            now.saturating_sub(m.0) >= guard.hold_time && m.1 >= guard.confirmation_count
        };
        let gone: Vec<Place> = self
            .live
            .iter()
            .filter(|(_, k)| k.missing.is_some_and(ripe))
            .map(|(p, _)| p.clone())
            .collect();
        gone.iter().for_each(|p| self.withdraw(now, p));
    }

    fn withdraw(&mut self, now: MonotonicMicros, place: &Place) {
        self.take_away(
            now,
            place,
            self.settings.absence_policy == AbsencePolicy::Removes,
        );
    }

    /// Takes an entry out of the book; `mark` says that the server itself is taken away.
    fn take_away(&mut self, now: MonotonicMicros, place: &Place, mark: bool) {
        let Some(known) = self.live.remove(place) else {
            return;
        };
        let addr = known.entry.addr;
        self.dirty.insert(addr);
        if self.leave(place, addr) && mark {
            self.gone_addrs.insert(addr, now);
        }
        if mark && self.settings.identity == EndpointIdentity::ByName {
            self.gone_names.insert(place.0.clone(), now);
        }
    }

    /// Unhooks an entry from an address; true where it was the last one there.
    fn leave(&mut self, place: &Place, addr: SocketAddr) -> bool {
        let Some(places) = self.at.get_mut(&addr) else {
            return false;
        };
        places.remove(place);
        let last = places.is_empty();
        if last {
            self.at.remove(&addr);
        }
        last
    }

    fn entry(&mut self, now: MonotonicMicros, entry: ListedEndpoint) {
        let place = self.place(&entry);
        if self
            .live
            .get(&place)
            .is_some_and(|k| k.missing.is_none() && *k.entry == entry)
        {
            return;
        }
        self.dirty.insert(entry.addr);
        if entry.state == ListedState::Removed {
            if self.live.contains_key(&place) {
                return self.take_away(now, &place, true);
            }
            // Never listed here, and taken away all the same: others may list it.
            if !self.at.contains_key(&entry.addr) {
                self.gone_addrs.entry(entry.addr).or_insert(now);
            }
            if self.settings.identity == EndpointIdentity::ByName {
                self.gone_names.entry(entry.name).or_insert(now);
            }
            return;
        }
        let (addr, before) = (entry.addr, self.live.get(&place).cloned());
        let started = match &before {
            Some(known) if entry.started_ms > known.entry.started_ms => Some(now),
            Some(known) => known.started,
            None => self.answered.then_some(now),
        };
        let same = before.as_ref().filter(|k| k.entry.state == entry.state);
        let since = same.map_or(now, |k| k.since);
        if let Some(old) = before
            .as_ref()
            .map(|k| k.entry.addr)
            .filter(|old| *old != addr)
        {
            // It has moved: nobody is known to be at the old address now.
            self.dirty.insert(old);
            if self.leave(&place, old) {
                self.gone_addrs.insert(old, now);
            }
        }
        if before.is_none() {
            self.returned(now, addr);
        }
        let entry = match before {
            Some(known) if *known.entry == entry => known.entry,
            _ => Arc::new(entry),
        };
        self.gone_addrs.remove(&addr);
        self.gone_names.remove(&place.0);
        self.at.entry(addr).or_default().insert(place.clone());
        self.live.insert(
            place,
            TrackedEndpoint {
                entry,
                since,
                started,
                missing: None,
            },
        );
    }

    /// Counts the returns of an address that was taken away.
    fn returned(&mut self, now: MonotonicMicros, addr: SocketAddr) {
        let left = self.gone_addrs.get(&addr).filter(|since| **since < now);
        let (Some(flaps), Some(_)) = (self.settings.flap_limits, left) else {
            return;
        };
        let mut flap = self.flaps.get(&addr).copied().unwrap_or_default();
        if now.saturating_sub(flap.last) > flaps.window.max(flap.until.saturating_sub(flap.last)) {
            flap = Flap::default();
        }
        flap.returns += 1;
        flap.last = now;
        if let Some(beyond) = flap.returns.checked_sub(flaps.free_return_count + 1) {
            let hold = flaps
                .initial_hold
                .saturating_mul(1 << beyond.min(20))
                .min(flaps.max_hold);
            flap.until = now.saturating_add(hold);
        }
        self.flaps.insert(addr, flap);
        if self.flaps.len() > MOST_FLAPS {
            let quietest = self
                .flaps
                .iter()
                .min_by_key(|(a, f)| (f.last, **a))
                .map(|(a, _)| *a);
            quietest.map(|a| self.flaps.remove(&a));
        }
    }

    /// Addresses that are kept out now because their records come and go. Where that would keep out more than
    /// half of what is listed, the source is as it is and none is kept out.
    pub(crate) fn calmed(&self, now: MonotonicMicros) -> BTreeMap<SocketAddr, MonotonicMicros> {
        let out = self
            .flaps
            .iter()
            .filter(|(a, f)| f.until > now && self.at.contains_key(a));
        let out: BTreeMap<SocketAddr, MonotonicMicros> = out.map(|(a, f)| (*a, f.until)).collect();
        if out.len() * 2 > self.at.len() {
            return BTreeMap::new();
        }
        out
    }

    /// When a flapping record may be let in next.
    pub(crate) fn due(&self, now: MonotonicMicros) -> Option<MonotonicMicros> {
        self.flaps
            .values()
            .map(|f| f.until)
            .filter(|until| *until > now)
            .min()
    }

    pub(crate) fn known(&self, name: &str) -> Option<&TrackedEndpoint> {
        // Only naming sources are asked by name.
        self.live.get(&(name.to_string(), None))
    }

    /// What is listed at an address, by name.
    pub(crate) fn at(&self, addr: SocketAddr) -> impl Iterator<Item = &TrackedEndpoint> {
        self.at
            .get(&addr)
            .into_iter()
            .flatten()
            .filter_map(|p| self.live.get(p))
    }

    pub(crate) fn addrs(&self) -> impl Iterator<Item = &SocketAddr> {
        self.at.keys()
    }

    /// What this source thinks of a server: its name where it has one, its address, and when its present start
    /// was first seen, which is stronger than an earlier drain or removal told by another source.
    pub(crate) fn opinion(
        &self,
        name: Option<&str>,
        addr: SocketAddr,
        start: Option<MonotonicMicros>,
        calmed: &BTreeMap<SocketAddr, MonotonicMicros>,
    ) -> DatedVerdict {
        let named = name.filter(|_| self.settings.identity == EndpointIdentity::ByName);
        let own = named.and_then(|n| self.known(n));
        let mut found: Option<DatedVerdict> = None;
        let here: Vec<&TrackedEndpoint> = match (own, self.settings.identity) {
            (Some(known), _) => vec![known],
            (None, EndpointIdentity::ByAddress) => self.at(addr).collect(),
            (None, EndpointIdentity::ByName) => Vec::new(),
        };
        for known in here {
            let held = self.of(known);
            if held.opinion == SourceVerdict::Draining && start > Some(held.since) && own.is_none()
            {
                continue;
            }
            // Two names of one address: the one that says more of it counts.
            if found.is_none_or(|f| held.opinion > f.opinion) {
                found = Some(held);
            }
        }
        if let (Some(held), Some(until)) = (found, calmed.get(&addr)) {
            let detail = VerdictDetail::Flapping(*until);
            return DatedVerdict {
                opinion: SourceVerdict::Removed,
                since: held.since,
                detail,
            };
        }
        if let Some(held) = found {
            return held;
        }
        let gone = named
            .and_then(|n| self.gone_names.get(n))
            .or(self.gone_addrs.get(&addr));
        let detail = VerdictDetail::None;
        match gone {
            Some(since) if start <= Some(*since) => DatedVerdict {
                opinion: SourceVerdict::Removed,
                since: *since,
                detail,
            },
            _ if self.answered => DatedVerdict {
                opinion: SourceVerdict::Absent,
                since: 0,
                detail,
            },
            _ => DatedVerdict {
                opinion: SourceVerdict::Silent,
                since: 0,
                detail,
            },
        }
    }

    fn of(&self, known: &TrackedEndpoint) -> DatedVerdict {
        if known.entry.state == ListedState::Draining {
            return DatedVerdict {
                opinion: SourceVerdict::Draining,
                since: known.since,
                detail: VerdictDetail::None,
            };
        }
        match (known.missing, self.failing) {
            (Some((since, count)), _) => DatedVerdict {
                opinion: SourceVerdict::Held,
                since,
                detail: VerdictDetail::Lacking(count),
            },
            (None, Some(since)) => DatedVerdict {
                opinion: SourceVerdict::Stale,
                since,
                detail: VerdictDetail::None,
            },
            (None, None) => DatedVerdict {
                opinion: SourceVerdict::Listed,
                since: known.since,
                detail: VerdictDetail::None,
            },
        }
    }

    /// Forgets what was taken away before `until` and is listed by nobody.
    pub(crate) fn forget(&mut self, until: MonotonicMicros, listed: impl Fn(&SocketAddr) -> bool) {
        self.gone_addrs
            .retain(|addr, since| *since >= until || listed(addr));
        self.gone_names.retain(|_, since| *since >= until);
        self.flaps.retain(|_, f| f.last >= until);
    }

    /// Keeps at most so many marks of what was taken away, the newest ones.
    pub(crate) fn bound(&mut self, most: usize) {
        fn newest<K: Ord + Clone>(map: &mut BTreeMap<K, MonotonicMicros>, most: usize) {
            if map.len() > most {
                let mut order: Vec<(MonotonicMicros, K)> =
                    map.iter().map(|(k, s)| (*s, k.clone())).collect();
                order.sort();
                for (_, key) in &order[..map.len() - most] {
                    map.remove(key);
                }
            }
        }
        newest(&mut self.gone_addrs, most);
        newest(&mut self.gone_names, most);
    }
}
