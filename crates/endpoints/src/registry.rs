//! The one list: every source's opinion of every server, folded by the table.

#![expect(
    clippy::min_ident_chars,
    clippy::redundant_closure_for_method_calls,
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::settings::{EndpointIdentity, RegistrySettings};
use crate::source_state::{
    ChangedAddresses, DatedVerdict, SourceState, TrackedEndpoint, VerdictDetail,
};
use crate::update::{ListedEndpoint, MonotonicMicros, SourceUpdate};
use crate::verdict::{prevailing_verdict, status_for_verdict, EndpointStatus, SourceVerdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Marks of what was taken away, for each source.
const MOST_GONE: usize = 65_536;
/// Servers that are out stay in the account this long after they have left it, for whoever asks why.
const SHOWN: MonotonicMicros = 600_000_000;
/// ... and so many of them at most.
const MOST_LEFT: usize = 4096;

/// One server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredEndpoint {
    /// Its name, which no other server has or has had: a naming source's id, or its first name in DNS.
    pub name: String,
    /// How it stands.
    pub status: EndpointStatus,
    /// What is told of it, by the first source that describes it.
    pub listing: Arc<ListedEndpoint>,
    /// Weight and priority, from whichever source has them.
    pub weight: Option<f64>,
    /// See there.
    pub priority: Option<u16>,
    /// Each source's opinion, in the order of the settings.
    pub verdicts: Vec<SourceVerdict>,
    decided: Decided,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Decided {
    source: usize,
    held: DatedVerdict,
    standby: bool,
}

/// Names that lead to an address of which no naming source knows, and the server's name that follows.
#[derive(Clone, Debug)]
struct Unnamed {
    names: BTreeSet<String>,
    server: String,
    births: u32,
    seen: MonotonicMicros,
}

/// Addresses kept out, and until when.
type Calmed = BTreeMap<SocketAddr, MonotonicMicros>;

/// The account.
#[derive(Debug)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    books: Vec<SourceState>,
    unnamed: BTreeMap<SocketAddr, Unnamed>,
    servers: BTreeMap<String, RegisteredEndpoint>,
    left: BTreeMap<String, (MonotonicMicros, RegisteredEndpoint)>,
    /// What flapping keeps out now, for each source.
    calmed: Vec<Calmed>,
    forgot: MonotonicMicros,
    now: MonotonicMicros,
}

impl EndpointRegistry {
    /// An account that has been told nothing yet.
    pub fn new(settings: RegistrySettings) -> Self {
        let books = settings
            .sources
            .iter()
            .cloned()
            .map(SourceState::new)
            .collect();
        let (unnamed, servers, left, calmed) = Default::default();
        EndpointRegistry {
            settings,
            books,
            unnamed,
            servers,
            left,
            calmed,
            forgot: 0,
            now: 0,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &RegistrySettings {
        &self.settings
    }

    /// Takes new settings. A source that stays, by its name, keeps what it has told.
    pub fn update_settings(
        &mut self,
        now: MonotonicMicros,
        settings: RegistrySettings,
    ) -> Vec<RegisteredEndpoint> {
        let mut old = std::mem::take(&mut self.books);
        for source in &settings.sources {
            let kept = old.iter().position(|b| b.settings.name == source.name);
            let mut book = match kept {
                Some(at) => old.swap_remove(at),
                None => SourceState::new(source.clone()),
            };
            book.settings = source.clone();
            self.books.push(book);
        }
        self.settings = settings;
        self.calmed.clear();
        self.on_timer(now)
    }

    /// What a source tells, by its place in the settings. Returned are the servers that have changed, those that
    /// have left included, as out.
    pub fn apply_update(
        &mut self,
        now: MonotonicMicros,
        source: usize,
        told: SourceUpdate,
    ) -> Vec<RegisteredEndpoint> {
        let now = self.at(now);
        let Some(book) = self.books.get_mut(source) else {
            return Vec::new();
        };
        book.told(now, told);
        book.bound(MOST_GONE);
        self.on_timer(now)
    }

    /// When `turn` must be called next, if nothing comes before.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.books.iter().filter_map(|b| b.due(self.now)).min()
    }

    /// Looks at the time: what was held until now may be let in.
    pub fn on_timer(&mut self, now: MonotonicMicros) -> Vec<RegisteredEndpoint> {
        let now = self.at(now);
        self.forget(now);
        let calmed: Vec<Calmed> = self.books.iter().map(|b| b.calmed(now)).collect();
        let only = self.dirty(&calmed);
        self.calmed = calmed;
        if only.as_ref().is_some_and(BTreeSet::is_empty) {
            return Vec::new();
        }
        let next = self.merge(now, only.as_ref());
        let before = match &only {
            Some(addrs) => {
                let there = self
                    .servers
                    .iter()
                    .filter(|(_, s)| addrs.contains(&s.listing.addr));
                let names: Vec<String> = there.map(|(n, _)| n.clone()).collect();
                names
                    .into_iter()
                    .filter_map(|n| self.servers.remove(&n).map(|s| (n, s)))
                    .collect()
            }
            None => std::mem::take(&mut self.servers),
        };
        let mut changes: Vec<RegisteredEndpoint> = Vec::new();
        for (name, server) in &next {
            let left = self.left.remove(name).map(|l| l.1);
            if before
                .get(name)
                .or(left.as_ref())
                .is_none_or(|old| differs(old, server))
            {
                changes.push(server.clone());
            }
        }
        self.servers.extend(next);
        for (name, mut server) in before {
            if !self.servers.contains_key(&name) {
                let was = std::mem::replace(&mut server.status, EndpointStatus::OutOfService);
                if was != EndpointStatus::OutOfService {
                    changes.push(server.clone());
                }
                self.left.insert(name, (now, server));
            }
        }
        changes
    }

    /// Where servers must be looked at anew; none means everywhere. A name in several sources may stand at other
    /// addresses than those that changed, and who stands by hangs on all: then it is everywhere, too.
    fn dirty(&mut self, calmed: &[Calmed]) -> Option<BTreeSet<SocketAddr>> {
        let naming = self
            .books
            .iter()
            .filter(|b| b.settings.identity == EndpointIdentity::ByName)
            .count();
        let mut all = calmed.len() != self.calmed.len();
        let mut addrs = BTreeSet::new();
        for (now, before) in calmed.iter().zip(&self.calmed) {
            let changed = |a: &&SocketAddr| now.get(*a) != before.get(*a);
            addrs.extend(now.keys().chain(before.keys()).filter(changed));
        }
        for book in &mut self.books {
            match book.dirty() {
                ChangedAddresses::All => all = true,
                ChangedAddresses::At(changed) => addrs.extend(changed),
            }
        }
        let any = all || !addrs.is_empty();
        let everywhere = all || (any && (naming > 1 || self.settings.has_priority_standby));
        (!everywhere).then_some(addrs)
    }

    /// The list: every server that a source lists or has taken away, by name.
    pub fn endpoints(&self) -> Vec<RegisteredEndpoint> {
        // One that has left under one name and is still listed under another is shown once.
        let there: BTreeSet<SocketAddr> = self.servers.values().map(|s| s.listing.addr).collect();
        let left = self
            .left
            .values()
            .map(|l| &l.1)
            .filter(|s| !there.contains(&s.listing.addr));
        self.servers.values().chain(left).cloned().collect()
    }

    /// Servers that take work now.
    pub fn usable_count(&self) -> usize {
        self.servers
            .values()
            .filter(|s| s.status <= EndpointStatus::Held)
            .count()
    }

    /// Why a server stands as it does, in words.
    pub fn status_reason(&self, server: &RegisteredEndpoint) -> String {
        let Decided {
            source,
            held,
            standby,
        } = server.decided;
        let name = |n: usize| {
            self.settings
                .sources
                .get(n)
                .map_or("?", |s| s.name.as_str())
        };
        let by = name(source);
        let ago = format!("{:.1} s", self.now.saturating_sub(held.since) as f64 / 1e6);
        if standby {
            return format!("{by} lists it with a higher priority number than others that are in");
        }
        if !self.servers.contains_key(&server.name) {
            return "no source lists it any more".to_string();
        }
        match (held.opinion, held.detail) {
            (_, VerdictDetail::Flapping(until)) => {
                let more = until.saturating_sub(self.now) as f64 / 1e6;
                format!("its record in {by} comes and goes; kept out for {more:.1} s more")
            }
            (SourceVerdict::Held, VerdictDetail::Lacking(count)) => {
                format!("{by} lacks it since {ago}, among many; {count} answers said so and it is not believed yet")
            }
            (SourceVerdict::Listed, _) => format!("{by} lists it"),
            (SourceVerdict::Draining, _) => format!("{by} drains it since {ago}"),
            (SourceVerdict::Stale, _) => {
                format!("{by} listed it at last and cannot be asked since {ago}")
            }
            (SourceVerdict::Removed, _) => format!("{by} took it away {ago} ago"),
            _ => "no source lists it".to_string(),
        }
    }

    /// Sources by name with their opinion of a server, those without one left out.
    pub fn source_verdicts(&self, server: &RegisteredEndpoint) -> Vec<(String, SourceVerdict)> {
        let named = self.settings.sources.iter().zip(&server.verdicts);
        named
            .filter(|(_, o)| **o > SourceVerdict::Absent)
            .map(|(s, o)| (s.name.clone(), *o))
            .collect()
    }

    fn at(&mut self, now: MonotonicMicros) -> MonotonicMicros {
        self.now = self.now.max(now);
        self.now
    }

    /// Now and then, what nobody has listed for long is forgotten.
    fn forget(&mut self, now: MonotonicMicros) {
        let keep = self.settings.withdrawal_retention;
        self.left.retain(|_, l| now.saturating_sub(l.0) < SHOWN);
        while self.left.len() > MOST_LEFT {
            self.left.pop_first();
        }
        if self.unnamed.len() > MOST_GONE {
            let books = &self.books;
            self.unnamed
                .retain(|addr, _| books.iter().any(|b| b.at(*addr).next().is_some()));
        }
        if now.saturating_sub(self.forgot) < keep / 16 + 1 || now < keep {
            return;
        }
        self.forgot = now;
        let listed: BTreeSet<SocketAddr> =
            self.books.iter().flat_map(|b| b.addrs().copied()).collect();
        for book in &mut self.books {
            book.forget(now - keep, |addr| listed.contains(addr));
        }
        self.unnamed
            .retain(|addr, u| u.seen >= now - keep || listed.contains(addr));
    }

    /// The servers at these addresses, or all.
    fn merge(
        &mut self,
        now: MonotonicMicros,
        only: Option<&BTreeSet<SocketAddr>>,
    ) -> BTreeMap<String, RegisteredEndpoint> {
        let all: BTreeSet<SocketAddr>;
        let wanted = match only {
            Some(addrs) => addrs,
            None => {
                all = self.books.iter().flat_map(|b| b.addrs().copied()).collect();
                &all
            }
        };
        let mut named: BTreeMap<&str, Vec<&TrackedEndpoint>> = BTreeMap::new();
        let mut addrs: BTreeMap<SocketAddr, Vec<&TrackedEndpoint>> = BTreeMap::new();
        let (naming, addressing): (Vec<&SourceState>, Vec<&SourceState>) = self
            .books
            .iter()
            .partition(|b| b.settings.identity == EndpointIdentity::ByName);
        for book in &naming {
            for known in wanted.iter().flat_map(|a| book.at(*a)) {
                named.entry(&known.entry.name).or_default().push(known);
            }
        }
        // Addresses that no name stands at: what lists them, and what has been taken away from them.
        let free = |a: &&SocketAddr| naming.iter().all(|b| b.at(**a).next().is_none());
        for addr in wanted.iter().filter(free) {
            let known: Vec<&TrackedEndpoint> =
                addressing.iter().flat_map(|b| b.at(*addr)).collect();
            if !known.is_empty() {
                addrs.insert(*addr, known);
            }
        }
        let mut next = BTreeMap::new();
        for (name, known) in named {
            let start = known.iter().filter_map(|k| k.started).max();
            let addr = known[0].entry.addr;
            let asked = self.books.iter().zip(&self.calmed);
            let opinions: Vec<DatedVerdict> = asked
                .map(|(b, c)| b.opinion(Some(name), addr, start, c))
                .collect();
            let also = self
                .books
                .iter()
                .flat_map(|b| b.at(addr))
                .filter(|k| k.entry.name != name);
            let server = decide(name.to_string(), known[0].entry.clone(), also, &opinions);
            next.insert(server.name.clone(), server);
        }
        for (addr, known) in addrs {
            let names: BTreeSet<&str> = known.iter().map(|k| k.entry.name.as_str()).collect();
            let first = names.first().copied().unwrap_or_default();
            let place = self.unnamed.entry(addr).or_insert_with(|| Unnamed {
                names: names.iter().map(|n| n.to_string()).collect(),
                server: format!("{first}@{addr}"),
                births: 1,
                seen: now,
            });
            if names.iter().all(|n| !place.names.contains(*n)) {
                // Other names altogether: another server at the old address, which inherits nothing.
                place.births += 1;
                place.server = format!("{first}@{addr}#{}", place.births);
            }
            if !names
                .iter()
                .copied()
                .eq(place.names.iter().map(String::as_str))
            {
                place.names = names.iter().map(|n| n.to_string()).collect();
            }
            place.seen = now;
            let (name, entry) = (place.server.clone(), known[0].entry.clone());
            let asked = self.books.iter().zip(&self.calmed);
            let opinions: Vec<DatedVerdict> =
                asked.map(|(b, c)| b.opinion(None, addr, None, c)).collect();
            let server = decide(name, entry, known.into_iter().skip(1), &opinions);
            next.insert(server.name.clone(), server);
        }
        if self.settings.has_priority_standby {
            stand_by(&mut next);
        }
        next
    }
}

/// Folds the opinions by the table; the first source that holds the one that counts is named as the reason.
fn decide<'a>(
    name: String,
    entry: Arc<ListedEndpoint>,
    also: impl Iterator<Item = &'a TrackedEndpoint>,
    held: &[DatedVerdict],
) -> RegisteredEndpoint {
    let counts = held
        .iter()
        .map(|h| h.opinion)
        .fold(SourceVerdict::Silent, prevailing_verdict);
    let source = held.iter().position(|h| h.opinion == counts).unwrap_or(0);
    let (mut weight, mut priority) = (entry.weight, entry.priority);
    for known in also {
        weight = weight.or(known.entry.weight);
        priority = priority.or(known.entry.priority);
    }
    let decided = Decided {
        source,
        held: held[source],
        standby: false,
    };
    let opinions = held.iter().map(|h| h.opinion).collect();
    RegisteredEndpoint {
        name,
        status: status_for_verdict(counts),
        listing: entry,
        weight,
        priority,
        verdicts: opinions,
        decided,
    }
}

/// RFC 2782: a target of a higher priority number is for when no other can be had.
fn stand_by(servers: &mut BTreeMap<String, RegisteredEndpoint>) {
    let usable = |s: &RegisteredEndpoint| s.status <= EndpointStatus::Held;
    let least = servers
        .values()
        .filter(|s| usable(s))
        .map(|s| s.priority.unwrap_or(0))
        .min();
    for server in servers.values_mut() {
        if usable(server) && Some(server.priority.unwrap_or(0)) > least {
            server.status = EndpointStatus::OutOfService;
            server.decided.standby = true;
        }
    }
}

/// Whether a change is worth telling. What it rests on may change unseen.
fn differs(old: &RegisteredEndpoint, new: &RegisteredEndpoint) -> bool {
    let told = |s: &RegisteredEndpoint| (s.status, s.weight, s.priority);
    let same = Arc::ptr_eq(&old.listing, &new.listing) || old.listing == new.listing;
    told(old) != told(new) || !same
}
