//! What all streams of a node share: how long a silence may last at each replica, the budgets of continuing, and
//! counts. What follows from them is decided by `poppykeel_stream_recovery`.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::transport::clock::Clock;
use poppykeel_scheduler::interface::ReplicaId;
use poppykeel_stream_recovery::{
    ContinuationBudget, ContinuationLimits, GapHistogram, Micros, StallDetector, StallLimits,
    StreamState,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Replicas whose gaps are kept in mind.
const MOST_REPLICAS: usize = 4096;
/// Replicas that the log tells of one by one, those with the longest gaps first.
const MOST_LOGGED: usize = 32;

/// What the operators set for streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Bounds of the rule for stalls.
    pub limits: StallLimits,
    /// Whether streams are continued, and the budget for it; of none, answers pass unchanged from one server.
    pub continues: Option<Continues>,
}

/// How streams are continued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Continues {
    /// The budget of all.
    pub budget: ContinuationLimits,
    /// Of a replica's streams at most this part is continued elsewhere.
    pub replica_share: f64,
    /// A continuation must have begun within this time.
    pub wait: Duration,
}

/// How streams have ended, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Ended whole by a replica, beginnings and rests counted alike.
    pub whole: u64,
    /// Given up in the middle of a silence.
    pub stalled: u64,
    /// Broken by their replica.
    pub broken: u64,
    /// Continued on another replica.
    pub continued: u64,
    /// Whole after that.
    pub saved: u64,
    /// Whole but for their framing, which was written.
    pub completed: u64,
    /// Ended with a failure that the client was told of.
    pub failed: u64,
    /// Bytes of replicas that may no longer write, dropped.
    pub dropped: u64,
}

#[derive(Default)]
struct Replica {
    gaps: GapHistogram,
    budget: ContinuationBudget,
    /// Streams begun, whole, stalled and broken.
    begun: u64,
    ends: [u64; 3],
}

/// A stream under way, from its first event on; dropping it ends it.
pub struct Live {
    streams: Rc<Streams>,
    number: u64,
    replica: ReplicaId,
    health: Fare,
}

/// How a stream fares, for its own driver and for the log.
type Fare = Rc<RefCell<StallDetector>>;

impl Live {
    /// Something of it has come.
    pub fn event(&self) {
        let gap = self.health.borrow_mut().record_event(self.streams.now());
        if let Some(gap) = gap {
            self.streams.at(self.replica, |r| r.gaps.record(gap));
        }
    }

    /// The time until it is stalled, if nothing comes, in microseconds; none while silence does not count.
    pub fn patience(&self) -> Option<Micros> {
        self.health
            .borrow()
            .stall_deadline()
            .map(|due| due.saturating_sub(self.streams.now()))
    }

    /// The reader takes nothing: from here on silence is the node's own.
    pub fn reader_waits(&self) {
        self.health.borrow_mut().client_blocked(self.streams.now());
    }

    /// The reader has taken what there was.
    pub fn reader_took(&self) {
        self.health.borrow_mut().client_resumed(self.streams.now());
    }

    /// It is given up after this silence.
    pub fn gave_up(&self, silence: Micros) {
        self.streams.at(self.replica, |r| {
            (r.gaps.record_abandoned(silence), r.ends[1] += 1)
        });
        self.streams.count(|c| c.stalled += 1);
    }

    /// Its replica has ended it, whole or not.
    pub fn ended(&self, whole: bool) {
        self.health.borrow_mut().record_end(whole);
        self.streams
            .at(self.replica, |r| r.ends[if whole { 0 } else { 2 }] += 1);
        self.streams
            .count(|c| if whole { c.whole += 1 } else { c.broken += 1 });
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        self.streams.live.borrow_mut().remove(&self.number);
    }
}

/// The streams of one node.
pub struct Streams {
    clock: Clock,
    settings: Cell<Settings>,
    replicas: RefCell<BTreeMap<ReplicaId, Replica>>,
    budget: RefCell<ContinuationBudget>,
    counts: Cell<Counts>,
    /// What is under way; as many as there are attempts.
    live: RefCell<BTreeMap<u64, (ReplicaId, Fare)>>,
    next: Cell<u64>,
}

impl Streams {
    /// No stream yet.
    pub fn new(clock: Clock, settings: Settings) -> Self {
        let (replicas, budget, counts, live, next) = Default::default();
        Streams {
            clock,
            settings: Cell::new(settings),
            replicas,
            budget,
            counts,
            live,
            next,
        }
    }

    /// Takes other settings, for streams from now on.
    pub fn set(&self, settings: Settings) {
        self.settings.set(settings);
    }

    /// The settings in force.
    pub fn settings(&self) -> Settings {
        self.settings.get()
    }

    /// How streams have ended so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Counts something.
    pub fn count(&self, what: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        what(&mut counts);
        self.counts.set(counts);
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    fn at<T>(&self, replica: ReplicaId, act: impl FnOnce(&mut Replica) -> T) -> T {
        let mut replicas = self.replicas.borrow_mut();
        if replicas.len() >= MOST_REPLICAS && !replicas.contains_key(&replica) {
            replicas.pop_first();
        }
        act(replicas.entry(replica).or_default())
    }

    /// A stream of a replica begins; `token_aim` in microseconds.
    pub fn begin(self: &Rc<Self>, replica: ReplicaId, token_aim: Option<Micros>) -> Live {
        let (now, settings) = (self.now(), self.settings());
        if let Some(continues) = &settings.continues {
            self.budget
                .borrow_mut()
                .record_stream(now, &continues.budget);
            self.at(replica, |r| r.budget.record_stream(now, &continues.budget));
        }
        let health = self.at(replica, |r| {
            r.begun += 1;
            StallDetector::new(
                now,
                r.gaps.silence_limit(token_aim, &settings.limits),
                r.gaps.long_gap(),
            )
        });
        let (health, number) = (Rc::new(RefCell::new(health)), self.next.get());
        self.next.set(number + 1);
        self.live
            .borrow_mut()
            .insert(number, (replica, health.clone()));
        Live {
            streams: self.clone(),
            number,
            replica,
            health,
        }
    }

    /// Takes one continuation of a stream of this replica from both budgets, where both have one left.
    pub fn take(&self, replica: ReplicaId, continues: &Continues) -> bool {
        let now = self.now();
        let own = ContinuationLimits {
            share: continues.replica_share,
            ..continues.budget
        };
        self.at(replica, |r| r.budget.try_take(now, &own))
            && self.budget.borrow_mut().try_take(now, &continues.budget)
    }

    /// Writes counts, and for each replica how its streams fare and the histogram of their gaps, to the log;
    /// `name` gives a replica's own name.
    pub fn log(&self, name: impl Fn(ReplicaId) -> Option<String>) {
        let (now, s) = (self.now(), self.counts());
        let mut states: BTreeMap<ReplicaId, [usize; 4]> = BTreeMap::new();
        for (replica, health) in self.live.borrow().values() {
            let place = match health.borrow().state(now) {
                StreamState::Slow => 1,
                StreamState::Stalled => 2,
                StreamState::ClientSlow => 3,
                StreamState::Flowing | StreamState::Broken | StreamState::Completed => 0,
            };
            states.entry(*replica).or_default()[place] += 1;
        }
        tracing::info!(
            live = self.live.borrow().len(),
            whole = s.whole,
            stalled = s.stalled,
            broken = s.broken,
            continued = s.continued,
            saved = s.saved,
            completed = s.completed,
            failed = s.failed,
            dropped = s.dropped,
            "streams"
        );
        let replicas = self.replicas.borrow();
        let mut told: Vec<_> = replicas.iter().filter(|(_, r)| r.begun > 0).collect();
        told.sort_by_key(|(_, r)| std::cmp::Reverse(r.gaps.quantile(0.98)));
        for (id, r) in told.into_iter().take(MOST_LOGGED) {
            let [flowing, slow, stalled_now, outrun] = states.get(id).copied().unwrap_or_default();
            let [whole, stalled, broken] = r.ends;
            let gap = |part| r.gaps.quantile(part).map_or(0, |gap| gap / 1000);
            tracing::info!(
                replica = name(*id).unwrap_or_else(|| id.0.to_string()),
                flowing,
                slow,
                stalled_now,
                outrun,
                begun = r.begun,
                whole,
                stalled,
                broken,
                gap_p50_ms = gap(0.5),
                gap_p90_ms = gap(0.9),
                gap_p98_ms = gap(0.98),
                gap_most_ms = gap(1.0),
                limit_ms = r.gaps.silence_limit(None, &self.settings().limits) / 1000,
                "streams of a replica"
            );
        }
    }
}
