//! The router of one node: it owns the scheduler, the requests, their attempts and all timers.
//!
//! Invariants: the scheduler hears of the end of each attempt exactly once; a client gets at most one response; a request
//! stays known until its last attempt has ended, so that an id names one request at a time. All events that one call causes
//! have reached the scheduler when the call returns.
//!
//! This file turns what the driver tells into events of the scheduler; `actions` carries out what the scheduler decides.

mod actions;

use super::command::RouterCommand;
use super::event::RouterEvent;
use super::request::{ActiveRequest, AttemptId, AttemptState};
use super::statistics::{OutcomeCount, RequestCounters, ResponseCounts, Statistics};
use super::time::{monotonic_micros, seconds, MonotonicMicros};
use super::timers::{Timer, TimerQueue};
use poppykeel_scheduler::{
    AttemptOutcome, BudgetDemand, BudgetGrants, BudgetKind, Event, IncomingRequest, LearnedState,
    LoadReport, ReplicaId, RequestId, SchedulerSettings, SettingsError,
};
use poppykeel_scheduler::{Scheduler, SchedulerGauges};
use std::collections::{BTreeMap, VecDeque};

/// How a listed replica stands with this node's scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// Whether the replica is ejected as an outlier and gets probes only.
    pub is_ejected: bool,
    /// When the last response came; `None` where none has come or an attempt has failed since.
    pub last_success_at: Option<MonotonicMicros>,
}

/// The router of one node.
pub struct RequestRouter {
    scheduler: Scheduler,
    requests: BTreeMap<RequestId, ActiveRequest>,
    timers: TimerQueue,
    /// Events that the scheduler has not heard of yet; empty between two calls.
    pending_events: VecDeque<Event>,
    statistics: Statistics,
}

impl RequestRouter {
    /// A router around a scheduler that has been told nothing yet.
    pub fn new(scheduler: Scheduler) -> Self {
        RequestRouter {
            scheduler,
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
            pending_events: VecDeque::new(),
            statistics: Statistics::default(),
        }
    }

    /// Whether this id is in use: an id names one request at a time.
    pub fn is_active(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Requests that are not over, or still have attempts under way.
    pub fn active_count(&self) -> usize {
        self.requests.len()
    }

    /// What the scheduler shows of its state.
    pub fn gauges(&self) -> SchedulerGauges {
        self.scheduler.gauges()
    }

    /// Counts since the start.
    pub fn counters(&self) -> RequestCounters {
        self.statistics.counters()
    }

    /// Responses to the requests of a class since the start.
    pub fn response_counts(&self, class: usize) -> ResponseCounts {
        self.statistics.responses(class)
    }

    /// Attempts that ended with one of [`super::COUNTED_OUTCOMES`] since the start.
    pub fn failed_attempt_counts(&self) -> Vec<OutcomeCount> {
        self.statistics.failed_attempts()
    }

    /// The outcome of the last attempt of a request that has ended, if any has: the reason for the next one.
    pub fn last_attempt_outcome(&self, request: RequestId) -> Option<AttemptOutcome> {
        self.requests.get(&request)?.last_attempt_outcome()
    }

    /// Listed replicas that get no requests at present.
    pub fn unavailable_replica_count(&self) -> usize {
        self.scheduler.unavailable_replica_count()
    }

    /// The status of each listed replica.
    pub fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let mut statuses = Vec::new();
        for health in self.scheduler.replica_health() {
            statuses.push(ReplicaStatus {
                replica: health.replica,
                is_ejected: health.is_ejected,
                last_success_at: health.last_success_at.map(monotonic_micros),
            });
        }
        statuses
    }

    /// Gives the scheduler new settings.
    ///
    /// # Errors
    /// Returns what is wrong with the settings; those before it stay in force.
    pub fn update_settings(&mut self, settings: SchedulerSettings) -> Result<(), SettingsError> {
        self.scheduler.update_settings(settings)
    }

    /// The node shuts down: whoever waits for a first token has a final response by this time.
    pub fn set_response_deadline(&mut self, deadline: MonotonicMicros) {
        self.scheduler.set_response_deadline(seconds(deadline));
    }

    /// What this node may spend of budgets that are shared with other nodes, from now on.
    pub fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        self.scheduler.set_budget_grants(grants);
    }

    /// What this node would have spent of each budget since the start.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.scheduler.budget_demand()
    }

    /// What the scheduler has learned, for the process that takes this one's place.
    pub fn export_learned_state(&self) -> LearnedState {
        self.scheduler.export_learned_state()
    }

    /// Takes over what another process of this node has learned.
    pub fn import_learned_state(&mut self, learned: &LearnedState) {
        self.scheduler.import_learned_state(learned);
    }

    /// When [`RequestRouter::on_timer`] must be called next, if no event comes before.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.timers.next_due()
    }

    /// Runs the timers that are due at `now`; what is to be done is added to `commands`.
    pub fn on_timer(&mut self, now: MonotonicMicros, commands: &mut Vec<RouterCommand>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::SchedulerWakeup => self.pending_events.push_back(Event::TimerFired),
                Timer::AttemptDeadline(id) => {
                    commands.push(RouterCommand::AbandonAttempt {
                        request: id.request,
                        attempt: id.attempt,
                    });
                    self.end_attempt(id, AttemptOutcome::TimedOut, None);
                }
            }
            self.run_scheduler(now, commands);
        }
    }

    /// Takes one event that came at `now`; what is to be done is added to `commands`.
    pub fn handle_event(
        &mut self,
        now: MonotonicMicros,
        event: RouterEvent,
        commands: &mut Vec<RouterCommand>,
    ) {
        match event {
            RouterEvent::RequestArrived(request) => self.take_request(request),
            RouterEvent::ClientDisconnected(request) => {
                self.drop_client(request, commands);
            }
            RouterEvent::FirstToken { request, attempt } => {
                self.take_first_token(now, AttemptId { request, attempt }, commands);
            }
            RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
            } => self.end_attempt(AttemptId { request, attempt }, outcome, report),
            RouterEvent::ProbeEnded {
                replica,
                outcome,
                report,
            } => self.pending_events.push_back(Event::ProbeEnded {
                replica,
                outcome,
                report,
            }),
            RouterEvent::EndpointsReplaced(endpoints) => self
                .pending_events
                .push_back(Event::EndpointsReplaced(endpoints)),
            RouterEvent::EndpointsChanged(endpoints) => self
                .pending_events
                .push_back(Event::EndpointsChanged(endpoints)),
            RouterEvent::EndpointListFailed => {
                self.pending_events.push_back(Event::EndpointListFailed);
            }
            RouterEvent::EndpointListStatusChanged(status) => self
                .pending_events
                .push_back(Event::EndpointListStatusChanged(status)),
            RouterEvent::OutlierAdvice {
                replica,
                is_healthy,
            } => self.pending_events.push_back(Event::OutlierAdvice {
                replica,
                is_healthy,
            }),
        }
        self.run_scheduler(now, commands);
    }

    /// Takes a request, unless its id is in use.
    fn take_request(&mut self, request: IncomingRequest) {
        if self.is_active(request.id) {
            return;
        }
        self.statistics.count_arrival();
        self.requests
            .insert(request.id, ActiveRequest::new(request.class));
        self.pending_events
            .push_back(Event::RequestArrived(request));
    }

    /// Finishes the request of a client that has disconnected, and abandons all of its attempts.
    fn drop_client(&mut self, id: RequestId, commands: &mut Vec<RouterCommand>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_finished() {
            return;
        }
        request.finish();
        let attempt_count = request.attempt_count();
        self.statistics.count_disconnect();
        self.pending_events.push_back(Event::ClientDisconnected(id));
        // Nobody is left to read a stream; the replica learns it by the closed connection.
        for attempt in 0..attempt_count {
            let id = AttemptId {
                request: id,
                attempt,
            };
            self.abandon_attempt(id, commands);
        }
    }

    /// Binds an attempt's stream to the client, or abandons the attempt where another one has the client.
    fn take_first_token(
        &mut self,
        now: MonotonicMicros,
        id: AttemptId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        let Some(attempt) = request.attempt(id.attempt).copied() else {
            return;
        };
        if attempt.state != AttemptState::AwaitingFirstToken {
            return;
        }
        if request.has_response() {
            self.abandon_attempt(id, commands);
            return;
        }
        request.begin_streaming(id.attempt);
        // The deadline holds for the first token only.
        self.timers
            .cancel(attempt.deadline, Timer::AttemptDeadline(id));
        commands.push(RouterCommand::BindStream {
            request: id.request,
            attempt: id.attempt,
        });
        self.pending_events.push_back(Event::FirstToken {
            request: id.request,
            attempt: id.attempt,
            elapsed: seconds(now.saturating_sub(attempt.started_at)),
        });
    }

    /// Has the driver close an attempt that is under way, and ends it as cancelled.
    fn abandon_attempt(&mut self, id: AttemptId, commands: &mut Vec<RouterCommand>) {
        let attempt = self
            .requests
            .get(&id.request)
            .and_then(|request| request.attempt(id.attempt));
        if attempt.is_some_and(|attempt| !attempt.has_ended()) {
            commands.push(RouterCommand::AbandonAttempt {
                request: id.request,
                attempt: id.attempt,
            });
            self.end_attempt(id, AttemptOutcome::Cancelled, None);
        }
    }

    /// Ends an attempt. This is the only place where one ends, so that the scheduler hears of each end once.
    fn end_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome, report: Option<LoadReport>) {
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        let Some(end) = request.end_attempt(id.attempt, outcome) else {
            return;
        };
        let class = request.class();
        let is_request_finished = request.is_finished();
        self.timers.cancel(end.deadline, Timer::AttemptDeadline(id));
        if end.has_finished_request {
            let is_complete = outcome == AttemptOutcome::Completed;
            self.statistics.count_stream_end(class, is_complete);
        }
        self.statistics.count_attempt_end(outcome);
        self.pending_events.push_back(Event::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            outcome,
            is_request_finished,
            report,
        });
    }

    /// Tells the scheduler what has happened and carries out its actions, until no event follows from them any more.
    fn run_scheduler(&mut self, now: MonotonicMicros, commands: &mut Vec<RouterCommand>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let request_that_may_be_over = match &event {
                Event::AttemptEnded { request, .. } | Event::ClientDisconnected(request) => {
                    Some(*request)
                }
                _ => None,
            };
            self.scheduler
                .handle_event(seconds(now), event, &mut actions);
            for action in actions.drain(..) {
                self.perform_action(now, &action, commands);
            }
            if let Some(id) = request_that_may_be_over {
                self.remove_if_over(id);
            }
        }
    }

    /// Removes a finished request whose last attempt has ended; its timers were cancelled with its attempts.
    fn remove_if_over(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(ActiveRequest::can_be_removed)
        {
            self.requests.remove(&id);
        }
    }
}
