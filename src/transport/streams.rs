//! What all streams of a node share: how long a silence may last at each replica, the budgets of continuing, and
//! counts. What follows from them is decided by `poppykeel_streams`.

use super::clock::Clock;
use crate::interface::ReplicaId;
use poppykeel_streams::{Budget, Budgets, Gaps, Health, Limits, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

/// Replicas whose gaps are kept in mind.
const MOST_REPLICAS: usize = 4096;

/// What the operators set for streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// Bounds of the rule for stalls.
    pub limits: Limits,
    /// Whether streams are continued, and the budget for it; of none, answers pass unchanged from one server.
    pub continues: Option<Continues>,
}

/// How streams are continued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Continues {
    /// The budget of all.
    pub budget: Budget,
    /// Of a replica's streams at most this part is continued elsewhere.
    pub replica_share: f64,
    /// A continuation must have begun within this time.
    pub wait: Duration,
}

/// How streams have ended, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Passed whole from one server.
    pub whole: u64,
    /// Given up in the middle of a silence.
    pub stalled: u64,
    /// Broken by their server.
    pub broken: u64,
    /// Continued on another server.
    pub continued: u64,
    /// Whole after that.
    pub saved: u64,
    /// Whole but for their framing, which was written.
    pub completed: u64,
    /// Ended with a failure.
    pub failed: u64,
    /// Bytes of servers that may no longer write, dropped.
    pub dropped: u64,
}

struct Replica {
    gaps: Gaps,
    budget: Budgets,
}

/// The streams of one node.
pub struct Streams {
    clock: Clock,
    settings: Cell<Settings>,
    replicas: RefCell<BTreeMap<ReplicaId, Replica>>,
    budget: RefCell<Budgets>,
    counts: Cell<Counts>,
}

impl Streams {
    /// No stream yet.
    pub fn new(clock: Clock, settings: Settings) -> Self {
        let (replicas, budget, counts) = Default::default();
        Streams { clock, settings: Cell::new(settings), replicas, budget, counts }
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
        let new = || Replica { gaps: Gaps::default(), budget: Budgets::default() };
        act(replicas.entry(replica).or_insert_with(new))
    }

    /// A stream of a replica begins; `token_aim` in microseconds.
    pub fn begin(&self, replica: ReplicaId, token_aim: Option<Micros>) -> Health {
        let (now, settings) = (self.now(), self.settings());
        if let Some(continues) = &settings.continues {
            self.budget.borrow_mut().begun(now, &continues.budget);
            self.at(replica, |r| r.budget.begun(now, &continues.budget));
        }
        self.at(replica, |r| Health::new(now, r.gaps.limit(token_aim, &settings.limits), r.gaps.long()))
    }

    /// Something of a stream has come.
    pub fn event(&self, replica: ReplicaId, health: &mut Health) {
        if let Some(gap) = health.event(self.now()) {
            self.at(replica, |r| r.gaps.add(gap));
        }
    }

    /// A stream is given up after this silence.
    pub fn gave_up(&self, replica: ReplicaId, silence: Micros) {
        self.at(replica, |r| r.gaps.gave_up(silence));
        self.count(|c| c.stalled += 1);
    }

    /// Takes one continuation of a stream of this replica from both budgets, where both have one left.
    pub fn take(&self, replica: ReplicaId, continues: &Continues) -> bool {
        let now = self.now();
        let own = Budget { share: continues.replica_share, ..continues.budget };
        self.at(replica, |r| r.budget.take(now, &own))
            && self.budget.borrow_mut().take(now, &continues.budget)
    }
}
