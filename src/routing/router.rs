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
pub type MonotonicMicros = u64;

/// What the drivers tell.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterEvent {
    /// A client's request is complete.
    RequestArrived(IncomingRequest),
    /// Its client has left.
    ClientDisconnected(RequestId),
    /// The first event of an attempt's answer is here.
    FirstToken {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// An attempt has ended by itself.
    AttemptEnded {
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
    ProbeEnded {
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
    EndpointListFailed,
    /// Another node of the fleet tries ejected replicas for all; it is still at it, or found this one well.
    OutlierAdvice {
        /// Which.
        replica: ReplicaId,
        /// See there.
        is_healthy: bool,
    },
}

/// What the drivers are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterCommand {
    /// Send a request to a replica, to be answered by then.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// Where to.
        replica: ReplicaId,
        /// When its time is out.
        deadline: MonotonicMicros,
    },
    /// Close the connection of an attempt; nothing it still says counts.
    AbandonAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// The client's answer is the stream of this attempt.
    BindStream {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Turn the client away, now.
    Reject {
        /// The request.
        request: RequestId,
        /// When it may come again.
        retry_after: MonotonicMicros,
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
    WatchEndpoints,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Waiting,
    Streaming,
    Ended,
}

#[derive(Debug)]
struct Attempt {
    sent: MonotonicMicros,
    until: MonotonicMicros,
    stage: AttemptState,
    /// How it ended.
    outcome: Option<AttemptOutcome>,
}

#[derive(Debug, Default)]
struct ActiveRequest {
    attempts: Vec<Attempt>,
    class: usize,
    /// The final answer is given, or begun, or nobody waits for it.
    answered: bool,
    finished: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake,
    Timeout(RequestId, usize),
}

/// Ends of attempts that are counted, with their names in figures.
pub const COUNTED_OUTCOMES: [(AttemptOutcome, &str); 7] = [
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
pub struct RequestCounters {
    /// Requests taken.
    pub arrived: u64,
    /// Streams passed on to their end.
    pub completed: u64,
    /// Requests refused.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Streams that broke after their first event.
    pub broken: u64,
    /// Clients that left.
    pub disconnected: u64,
    /// Attempts sent.
    pub attempts_started: u64,
    /// Attempts that ended otherwise than served, in the order of [`COUNTED_ENDS`].
    pub failed_attempts: [u64; COUNTED_OUTCOMES.len()],
}

/// The core of one node.
pub struct RequestRouter {
    brain: Scheduler,
    live: BTreeMap<RequestId, ActiveRequest>,
    timers: BTreeSet<(MonotonicMicros, Timer)>,
    told: VecDeque<Event>,
    counts: RequestCounters,
    /// For each class, requests served, refused and failed.
    replies: Vec<[u64; 3]>,
}

impl RequestRouter {
    /// A core around a module that has been told nothing yet.
    pub fn new(brain: Scheduler) -> Self {
        let (live, timers, told, counts, replies) = Default::default();
        RequestRouter {
            brain,
            live,
            timers,
            told,
            counts,
            replies,
        }
    }

    /// Whether this id is in use: an id names one request at a time.
    pub fn is_active(&self, id: RequestId) -> bool {
        self.live.contains_key(&id)
    }
    /// Requests that still await something.
    pub fn active_count(&self) -> usize {
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
    pub fn response_counts(&self, class: usize) -> [u64; 3] {
        self.replies.get(class).copied().unwrap_or_default()
    }
    /// New settings for the module.
    pub fn update_settings(&mut self, settings: SchedulerSettings) -> Result<(), SettingsError> {
        self.brain.update_settings(settings)
    }
    /// This node ends: whoever waits for a first token has a final answer by then.
    pub fn set_answer_deadline(&mut self, time: MonotonicMicros) {
        self.brain.set_answer_deadline(seconds(time));
    }
    /// Replicas listed that the module leaves alone now.
    pub fn unavailable_replica_count(&self) -> usize {
        self.brain.unavailable_replica_count()
    }
    /// What the fleet allows this node from now on.
    pub fn set_budget_grants(&mut self, allowed: &BudgetGrants) {
        self.brain.set_budget_grants(allowed);
    }
    /// What has been wanted since the start of what the fleet has budgets for.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.brain.budget_demand()
    }
    /// What the module has learned, for the process that takes this one's place.
    pub fn export_learned_state(&self) -> LearnedState {
        self.brain.export_learned_state()
    }
    /// Takes over what another process has learned.
    pub fn import_learned_state(&mut self, memory: &LearnedState) {
        self.brain.import_learned_state(memory);
    }
    /// Each listed replica: whether it gets trials only, and when its last answer came, if nothing has failed since.
    pub fn replica_statuses(&self) -> Vec<(ReplicaId, bool, Option<MonotonicMicros>)> {
        let micros = |s: f64| (s * 1e6) as MonotonicMicros;
        let all = self.brain.replica_health().into_iter();
        all.map(|(id, ejected, well)| (id, ejected, well.map(micros)))
            .collect()
    }
    /// Requests that the module holds, by tenant.
    pub fn queued_by_tenant(&self) -> Vec<usize> {
        self.brain.gauges().2
    }
    /// Attempts that ended otherwise than served, by the names of [`COUNTED_ENDS`].
    pub fn failed_attempt_counts(&self) -> Vec<(&'static str, u64)> {
        COUNTED_OUTCOMES
            .iter()
            .zip(self.counts.failed_attempts)
            .map(|((_, name), count)| (*name, count))
            .collect()
    }
    /// How the last attempt of a request ended that has ended, if any has: why there is another one.
    pub fn last_attempt_outcome(&self, request: RequestId) -> Option<AttemptOutcome> {
        self.live
            .get(&request)?
            .attempts
            .iter()
            .rev()
            .find_map(|attempt| attempt.outcome)
    }
    /// What has happened so far.
    pub fn counters(&self) -> RequestCounters {
        self.counts
    }
    /// When `turn` must be called next, if nothing comes before.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.timers.first().map(|t| t.0)
    }

    /// Lets the timers run that are due.
    pub fn on_timer(&mut self, now: MonotonicMicros, out: &mut Vec<RouterCommand>) {
        while let Some((_, due)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.pop_first();
            match due {
                Timer::Wake => self.told.push_back(Event::TimerFired),
                Timer::Timeout(request, attempt) => {
                    out.push(RouterCommand::AbandonAttempt { request, attempt });
                    self.end(request, attempt, AttemptOutcome::TimedOut, None);
                }
            }
            self.decide(now, out);
        }
    }

    /// Takes one event.
    pub fn handle_event(
        &mut self,
        now: MonotonicMicros,
        input: RouterEvent,
        out: &mut Vec<RouterCommand>,
    ) {
        match input {
            RouterEvent::RequestArrived(arrival) => {
                if self.live.contains_key(&arrival.id) {
                    return;
                }
                self.counts.arrived += 1;
                self.live.insert(
                    arrival.id,
                    ActiveRequest {
                        class: arrival.class,
                        ..ActiveRequest::default()
                    },
                );
                self.told.push_back(Event::RequestArrived(arrival));
            }
            RouterEvent::ClientDisconnected(id) => {
                let Some(live) = self.live.get_mut(&id).filter(|l| !l.finished) else {
                    return;
                };
                (live.answered, live.finished) = (true, true);
                self.counts.disconnected += 1;
                self.told.push_back(Event::ClientDisconnected(id));
                // Nobody is left to read the stream: the replica is told by the closed connection.
                for attempt in 0..self.live[&id].attempts.len() {
                    self.abandon(id, attempt, out);
                }
            }
            RouterEvent::FirstToken { request, attempt } => {
                let Some(live) = self.live.get_mut(&request) else {
                    return;
                };
                let answered = live.answered;
                let Some(a) = live
                    .attempts
                    .get_mut(attempt)
                    .filter(|a| a.stage == AttemptState::Waiting)
                else {
                    return;
                };
                if answered {
                    // Another attempt has the client: a second answer must not follow.
                    self.abandon(request, attempt, out);
                } else {
                    a.stage = AttemptState::Streaming;
                    // From here on the deadline is off.
                    self.timers
                        .remove(&(a.until, Timer::Timeout(request, attempt)));
                    let elapsed = seconds(now.saturating_sub(a.sent));
                    live.answered = true;
                    out.push(RouterCommand::BindStream { request, attempt });
                    self.told.push_back(Event::FirstToken {
                        request,
                        attempt,
                        elapsed,
                    });
                }
            }
            RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
            } => {
                self.end(request, attempt, outcome, report);
            }
            RouterEvent::ProbeEnded {
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
            RouterEvent::List { list, full: true } => {
                self.told.push_back(Event::EndpointsReplaced(list));
            }
            RouterEvent::List { list, full: false } => {
                self.told.push_back(Event::EndpointsChanged(list));
            }
            RouterEvent::OutlierAdvice {
                replica,
                is_healthy: well,
            } => self.told.push_back(Event::OutlierAdvice {
                replica,
                is_healthy: well,
            }),
            RouterEvent::EndpointListFailed => self.told.push_back(Event::EndpointListFailed),
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
            .filter(|a| a.stage != AttemptState::Ended)
        else {
            return;
        };
        let streaming = a.stage == AttemptState::Streaming;
        a.stage = AttemptState::Ended;
        a.outcome = Some(outcome);
        self.timers
            .remove(&(a.until, Timer::Timeout(request, attempt)));
        let mut whole = None;
        if streaming && !live.finished {
            // The end of a stream is the end of its request, also where it broke.
            live.finished = true;
            whole = Some((live.class, outcome == AttemptOutcome::Completed));
            match outcome == AttemptOutcome::Completed {
                true => self.counts.completed += 1,
                false => self.counts.broken += 1,
            }
        }
        if let Some(kind) = COUNTED_OUTCOMES
            .iter()
            .position(|(kind, _)| *kind == outcome)
        {
            self.counts.failed_attempts[kind] += 1;
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

    fn abandon(&mut self, request: RequestId, attempt: usize, out: &mut Vec<RouterCommand>) {
        let Some(a) = self
            .live
            .get(&request)
            .and_then(|l| l.attempts.get(attempt))
        else {
            return;
        };
        if a.stage != AttemptState::Ended {
            out.push(RouterCommand::AbandonAttempt { request, attempt });
            self.end(request, attempt, AttemptOutcome::Cancelled, None);
        }
    }

    /// Tells the module what has happened until nothing follows from it any more.
    fn decide(&mut self, now: MonotonicMicros, out: &mut Vec<RouterCommand>) {
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

    fn act(&mut self, now: MonotonicMicros, action: Action, out: &mut Vec<RouterCommand>) {
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
                    stage: AttemptState::Waiting,
                    outcome: None,
                });
                if live.answered {
                    return self.end(request, attempt, AttemptOutcome::NotSent, None);
                }
                self.counts.attempts_started += 1;
                self.timers
                    .insert((until, Timer::Timeout(request, attempt)));
                out.push(RouterCommand::StartAttempt {
                    request,
                    attempt,
                    replica,
                    deadline: until,
                });
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                if self.answer(request, 1) {
                    self.counts.rejected += 1;
                    out.push(RouterCommand::Reject {
                        request,
                        retry_after: micros(retry_after),
                    });
                }
                self.forget(request);
            }
            Action::Fail { request } => {
                if self.answer(request, 2) {
                    self.counts.failed += 1;
                    out.push(RouterCommand::Fail { request });
                }
                self.forget(request);
            }
            Action::CancelAttempt { request, attempt } => {
                let attempts = self.live.get(&request).map(|l| &l.attempts);
                let stage = attempts.and_then(|a| a.get(attempt)).map(|a| a.stage);
                // A stream that has begun belongs to its client and is not called off.
                if stage == Some(AttemptState::Waiting) {
                    self.abandon(request, attempt, out);
                }
            }
            Action::Probe { replica } => out.push(RouterCommand::Probe { replica }),
            Action::WatchEndpoints => out.push(RouterCommand::WatchEndpoints),
            Action::SetTimer { after } => {
                self.timers
                    .insert((now.saturating_add(micros(after)), Timer::Wake));
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
        if live.finished && live.attempts.iter().all(|a| a.stage == AttemptState::Ended) {
            self.live.remove(&id);
        }
    }
}

/// A time of the core's clock as the module takes it.
pub fn seconds(time: MonotonicMicros) -> Seconds {
    time as f64 / 1e6
}

/// A span of the module's; what is no time counts as none.
fn micros(span: Seconds) -> MonotonicMicros {
    (span.max(0.0) * 1e6).round() as MonotonicMicros
}
