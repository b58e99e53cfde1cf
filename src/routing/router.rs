//! The core: it owns the module, the requests, their attempts and all timers. Events with a time come in,
//! commands go out; it knows no socket and no HTTP. Everything that is decided is decided by the module.
//! `directory` is the account of membership in the module's terms, `crossings` that of traffic between zones, `handover` what one
//! process leaves to the next.

#![allow(clippy::wildcard_imports, reason = "not yet converted")]
#![expect(
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use poppykeel_scheduler::interface::*;
use poppykeel_scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Microseconds on the monotonic clock.
pub type Micros = u64;

/// What the drivers tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client's request is complete.
    Arrived(IncomingRequest),
    /// Its client has left.
    ClientGone(RequestId),
    /// The first event of an attempt's answer is here.
    First {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// An attempt has ended by itself.
    Ended {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
        /// How.
        outcome: AttemptOutcome,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// A probe has ended.
    Probed {
        /// Where it went.
        replica: ReplicaId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// News of the list.
    List {
        /// The entries.
        list: Vec<Endpoint>,
        /// What it lacks is gone.
        full: bool,
    },
    /// The watch has broken.
    ListFailed,
    /// Another node of the fleet tries ejected replicas for all; it is still at it, or found this one well.
    Advised {
        /// Which.
        replica: ReplicaId,
        /// See there.
        well: bool,
    },
}

/// What the drivers are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a request to a replica, to be answered by then.
    Send {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// Where to.
        replica: ReplicaId,
        /// When its time is out.
        until: Micros,
    },
    /// Close the connection of an attempt; nothing it still says counts.
    Abandon {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// The client's answer is the stream of this attempt.
    Bind {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Turn the client away, now.
    Refuse {
        /// The request.
        request: RequestId,
        /// When it may come again.
        retry_after: Micros,
    },
    /// Tell the client that its request failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask a replica how it is.
    Probe {
        /// Which.
        replica: ReplicaId,
    },
    /// Watch the list from now on.
    Watch,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Waiting,
    Streaming,
    Ended,
}

#[derive(Debug)]
struct Attempt {
    sent: Micros,
    until: Micros,
    stage: Stage,
    /// How it ended.
    outcome: Option<AttemptOutcome>,
}

#[derive(Debug, Default)]
struct Live {
    attempts: Vec<Attempt>,
    class: usize,
    /// The final answer is given, or begun, or nobody waits for it.
    answered: bool,
    finished: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake,
    Timeout(RequestId, usize),
}

/// Ends of attempts that are counted, with their names in figures.
pub const COUNTED_ENDS: [(AttemptOutcome, &str); 7] = [
    (AttemptOutcome::ServerError, "error"),
    (AttemptOutcome::AtCapacity, "full"),
    (AttemptOutcome::TimedOut, "timed_out"),
    (AttemptOutcome::ConnectFailed, "connect_failed"),
    (AttemptOutcome::ConnectionReset, "reset"),
    (AttemptOutcome::Cancelled, "cancelled"),
    (AttemptOutcome::InvalidRequest, "rejected"),
];

/// Figures for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests taken.
    pub arrived: u64,
    /// Streams passed on to their end.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Streams that broke after their first event.
    pub broken: u64,
    /// Clients that left.
    pub gone: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts that ended otherwise than served, in the order of [`COUNTED_ENDS`].
    pub ends: [u64; COUNTED_ENDS.len()],
}

/// The core of one node.
pub struct Router {
    brain: Scheduler,
    live: BTreeMap<RequestId, Live>,
    timers: BTreeSet<(Micros, Due)>,
    told: VecDeque<Event>,
    counts: Counts,
    /// For each class, requests served, refused and failed.
    replies: Vec<[u64; 3]>,
}

impl Router {
    /// A core around a module that has been told nothing yet.
    pub fn new(brain: Scheduler) -> Self {
        let (live, timers, told, counts, replies) = Default::default();
        Router {
            brain,
            live,
            timers,
            told,
            counts,
            replies,
        }
    }

    /// Whether this id is in use: an id names one request at a time.
    pub fn is_live(&self, id: RequestId) -> bool {
        self.live.contains_key(&id)
    }
    /// Requests that still await something.
    pub fn live(&self) -> usize {
        self.live.len()
    }
    /// Replicas that the module keeps in mind.
    pub fn replicas(&self) -> usize {
        self.brain.gauges().3
    }
    /// Requests that may be out together as things stand, and that are.
    pub fn window(&self) -> (f64, usize) {
        let (size, out, _, _) = self.brain.gauges();
        (size, out)
    }
    /// Requests of a class that were served, refused and failed, broken streams among the last.
    pub fn replies(&self, class: usize) -> [u64; 3] {
        self.replies.get(class).copied().unwrap_or_default()
    }
    /// New settings for the module.
    pub fn resettle(&mut self, settings: SchedulerSettings) -> Result<(), SettingsError> {
        self.brain.update_settings(settings)
    }
    /// This node ends: whoever waits for a first token has a final answer by then.
    pub fn answer_all_by(&mut self, time: Micros) {
        self.brain.set_answer_deadline(seconds(time));
    }
    /// Replicas listed that the module leaves alone now.
    pub fn avoided(&self) -> usize {
        self.brain.unavailable_replica_count()
    }
    /// What the fleet allows this node from now on.
    pub fn allow(&mut self, allowed: &BudgetGrants) {
        self.brain.set_budget_grants(allowed);
    }
    /// What has been wanted since the start of what the fleet has budgets for.
    pub fn wanted(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.brain.budget_demand()
    }
    /// What the module has learned, for the process that takes this one's place.
    pub fn memory(&self) -> LearnedState {
        self.brain.export_learned_state()
    }
    /// Takes over what another process has learned.
    pub fn recall(&mut self, memory: &LearnedState) {
        self.brain.import_learned_state(memory);
    }
    /// Each listed replica: whether it gets trials only, and when its last answer came, if nothing has failed since.
    pub fn standings(&self) -> Vec<(ReplicaId, bool, Option<Micros>)> {
        let micros = |s: f64| (s * 1e6) as Micros;
        let all = self.brain.replica_health().into_iter();
        all.map(|(id, ejected, well)| (id, ejected, well.map(micros)))
            .collect()
    }
    /// Requests that the module holds, by tenant.
    pub fn waiting(&self) -> Vec<usize> {
        self.brain.gauges().2
    }
    /// Attempts that ended otherwise than served, by the names of [`COUNTED_ENDS`].
    pub fn attempt_ends(&self) -> Vec<(&'static str, u64)> {
        COUNTED_ENDS
            .iter()
            .zip(self.counts.ends)
            .map(|((_, name), count)| (*name, count))
            .collect()
    }
    /// How the last attempt of a request ended that has ended, if any has: why there is another one.
    pub fn last_outcome(&self, request: RequestId) -> Option<AttemptOutcome> {
        self.live
            .get(&request)?
            .attempts
            .iter()
            .rev()
            .find_map(|attempt| attempt.outcome)
    }
    /// What has happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }
    /// When `turn` must be called next, if nothing comes before.
    pub fn due(&self) -> Option<Micros> {
        self.timers.first().map(|t| t.0)
    }

    /// Lets the timers run that are due.
    pub fn turn(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some((_, due)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.pop_first();
            match due {
                Due::Wake => self.told.push_back(Event::TimerFired),
                Due::Timeout(request, attempt) => {
                    out.push(Command::Abandon { request, attempt });
                    self.end(request, attempt, AttemptOutcome::TimedOut, None);
                }
            }
            self.decide(now, out);
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::Arrived(arrival) => {
                if self.live.contains_key(&arrival.id) {
                    return;
                }
                self.counts.arrived += 1;
                self.live.insert(
                    arrival.id,
                    Live {
                        class: arrival.class,
                        ..Live::default()
                    },
                );
                self.told.push_back(Event::RequestArrived(arrival));
            }
            Input::ClientGone(id) => {
                let Some(live) = self.live.get_mut(&id).filter(|l| !l.finished) else {
                    return;
                };
                (live.answered, live.finished) = (true, true);
                self.counts.gone += 1;
                self.told.push_back(Event::ClientDisconnected(id));
                // Nobody is left to read the stream: the replica is told by the closed connection.
                for attempt in 0..self.live[&id].attempts.len() {
                    self.abandon(id, attempt, out);
                }
            }
            Input::First { request, attempt } => {
                let Some(live) = self.live.get_mut(&request) else {
                    return;
                };
                let answered = live.answered;
                let Some(a) = live
                    .attempts
                    .get_mut(attempt)
                    .filter(|a| a.stage == Stage::Waiting)
                else {
                    return;
                };
                if answered {
                    // Another attempt has the client: a second answer must not follow.
                    self.abandon(request, attempt, out);
                } else {
                    a.stage = Stage::Streaming;
                    // From here on the deadline is off.
                    self.timers
                        .remove(&(a.until, Due::Timeout(request, attempt)));
                    let elapsed = seconds(now.saturating_sub(a.sent));
                    live.answered = true;
                    out.push(Command::Bind { request, attempt });
                    self.told.push_back(Event::FirstToken {
                        request,
                        attempt,
                        elapsed,
                    });
                }
            }
            Input::Ended {
                request,
                attempt,
                outcome,
                report,
            } => {
                self.end(request, attempt, outcome, report);
            }
            Input::Probed {
                replica,
                outcome,
                report,
            } => {
                self.told.push_back(Event::ProbeEnded {
                    replica,
                    outcome,
                    report,
                });
            }
            Input::List { list, full: true } => self.told.push_back(Event::EndpointsReplaced(list)),
            Input::List { list, full: false } => self.told.push_back(Event::EndpointsChanged(list)),
            Input::Advised { replica, well } => self.told.push_back(Event::OutlierAdvice {
                replica,
                is_healthy: well,
            }),
            Input::ListFailed => self.told.push_back(Event::EndpointListFailed),
        }
        self.decide(now, out);
    }

    /// The one place where an attempt ends, so that the module hears of each end once.
    fn end(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        let Some(a) = live
            .attempts
            .get_mut(attempt)
            .filter(|a| a.stage != Stage::Ended)
        else {
            return;
        };
        let streaming = a.stage == Stage::Streaming;
        a.stage = Stage::Ended;
        a.outcome = Some(outcome);
        self.timers
            .remove(&(a.until, Due::Timeout(request, attempt)));
        let mut whole = None;
        if streaming && !live.finished {
            // The end of a stream is the end of its request, also where it broke.
            live.finished = true;
            whole = Some((live.class, outcome == AttemptOutcome::Completed));
            match outcome == AttemptOutcome::Completed {
                true => self.counts.served += 1,
                false => self.counts.broken += 1,
            }
        }
        if let Some(kind) = COUNTED_ENDS.iter().position(|(kind, _)| *kind == outcome) {
            self.counts.ends[kind] += 1;
        }
        let last = live.finished;
        if let Some((class, served)) = whole {
            self.replied(class, if served { 0 } else { 2 });
        }
        self.told.push_back(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            is_request_finished: last,
            report,
        });
    }

    fn abandon(&mut self, request: RequestId, attempt: usize, out: &mut Vec<Command>) {
        let Some(a) = self
            .live
            .get(&request)
            .and_then(|l| l.attempts.get(attempt))
        else {
            return;
        };
        if a.stage != Stage::Ended {
            out.push(Command::Abandon { request, attempt });
            self.end(request, attempt, AttemptOutcome::Cancelled, None);
        }
    }

    /// Tells the module what has happened until nothing follows from it any more.
    fn decide(&mut self, now: Micros, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while let Some(event) = self.told.pop_front() {
            let request = match &event {
                Event::AttemptEnded { request, .. } | Event::ClientDisconnected(request) => {
                    Some(*request)
                }
                _ => None,
            };
            self.brain.handle_event(seconds(now), event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            if let Some(id) = request {
                self.forget(id);
            }
        }
    }

    fn act(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::StartAttempt {
                request,
                replica,
                timeout,
            } => {
                let Some(live) = self.live.get_mut(&request) else {
                    return;
                };
                let attempt = live.attempts.len();
                let until = now.saturating_add(micros(timeout));
                live.attempts.push(Attempt {
                    sent: now,
                    until,
                    stage: Stage::Waiting,
                    outcome: None,
                });
                if live.answered {
                    return self.end(request, attempt, AttemptOutcome::NotSent, None);
                }
                self.counts.sent += 1;
                self.timers.insert((until, Due::Timeout(request, attempt)));
                out.push(Command::Send {
                    request,
                    attempt,
                    replica,
                    until,
                });
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if self.answer(request, 1) {
                    self.counts.refused += 1;
                    out.push(Command::Refuse {
                        request,
                        retry_after: micros(retry_after),
                    });
                }
                self.forget(request);
            }
            Action::Fail { request } => {
                if self.answer(request, 2) {
                    self.counts.failed += 1;
                    out.push(Command::Fail { request });
                }
                self.forget(request);
            }
            Action::CancelAttempt { request, attempt } => {
                let attempts = self.live.get(&request).map(|l| &l.attempts);
                let stage = attempts.and_then(|a| a.get(attempt)).map(|a| a.stage);
                // A stream that has begun belongs to its client and is not called off.
                if stage == Some(Stage::Waiting) {
                    self.abandon(request, attempt, out);
                }
            }
            Action::Probe { replica } => out.push(Command::Probe { replica }),
            Action::WatchEndpoints => out.push(Command::Watch),
            Action::SetTimer { after } => {
                self.timers
                    .insert((now.saturating_add(micros(after)), Due::Wake));
            }
        }
    }

    /// Marks a request as answered by the node itself; false where it has its answer already.
    fn answer(&mut self, id: RequestId, status: usize) -> bool {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.answered) else {
            return false;
        };
        (live.answered, live.finished) = (true, true);
        let class = live.class;
        self.replied(class, status);
        true
    }

    fn replied(&mut self, class: usize, status: usize) {
        if self.replies.len() <= class {
            self.replies.resize(class + 1, [0; 3]);
        }
        self.replies[class][status] += 1;
    }

    /// A finished request stays until its last attempt has ended, and its timers go with it.
    fn forget(&mut self, id: RequestId) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        if live.finished && live.attempts.iter().all(|a| a.stage == Stage::Ended) {
            self.live.remove(&id);
        }
    }
}

/// A time of the core's clock as the module takes it.
pub fn seconds(time: Micros) -> Seconds {
    time as f64 / 1e6
}

/// A span of the module's; what is no time counts as none.
fn micros(span: Seconds) -> Micros {
    (span.max(0.0) * 1e6).round() as Micros
}
