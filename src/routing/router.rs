//! The router of one node. It owns the scheduler, the requests with their attempts, and all timers.
//!
//! Invariants:
//! - The scheduler is notified of the end of each attempt exactly once.
//! - A client gets at most one response.
//! - A request stays active until its last attempt has ended, so that an id identifies one request at a time.
//! - When a call returns, the scheduler has processed all events that the call caused.
//!
//! This file translates the driver's events for the scheduler; `actions` carries out the scheduler's actions.

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
use poppykeel_scheduler::{DispatchWork, Scheduler, SchedulerGauges};
use std::collections::{BTreeMap, VecDeque};

/// The state of a listed replica in this node's scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaStatus {
    /// The scheduler's id of the replica.
    pub replica: ReplicaId,
    /// Whether the replica is ejected as an outlier and gets only probes and single attempts as trials.
    pub is_ejected: bool,
    /// When the last response arrived; `None` if there was none or an attempt has failed since.
    pub last_success_at: Option<MonotonicMicros>,
}

/// Routes the requests of one node. See the module documentation for its invariants.
pub struct RequestRouter {
    scheduler: Scheduler,
    requests: BTreeMap<RequestId, ActiveRequest>,
    timers: TimerQueue,
    /// Events that the scheduler has not processed yet; empty between calls.
    pending_events: VecDeque<Event>,
    statistics: Statistics,
}

impl RequestRouter {
    /// Creates a router. The scheduler must not have processed any event yet.
    pub fn new(scheduler: Scheduler) -> Self {
        RequestRouter {
            scheduler,
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
            pending_events: VecDeque::new(),
            statistics: Statistics::default(),
        }
    }

    /// Whether this id is in use by a request that has not finished or still has attempts in progress.
    pub fn is_active(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Number of requests that have not finished or still have attempts in progress.
    pub fn active_count(&self) -> usize {
        self.requests.len()
    }

    /// Current state of the scheduler, for metrics.
    pub fn gauges(&self) -> SchedulerGauges {
        self.scheduler.gauges()
    }

    /// The work done to dispatch queued requests since the process started.
    pub fn dispatch_work(&self) -> DispatchWork {
        self.scheduler.dispatch_work()
    }

    /// Counters since the process started, over all classes.
    pub fn counters(&self) -> RequestCounters {
        self.statistics.counters()
    }

    /// Responses to requests of a class since the process started. `class` is an index in the site settings.
    pub fn response_counts(&self, class: usize) -> ResponseCounts {
        self.statistics.responses(class)
    }

    /// Number of attempts per outcome since the process started, in the order of [`super::COUNTED_OUTCOMES`].
    pub fn failed_attempt_counts(&self) -> Vec<OutcomeCount> {
        self.statistics.failed_attempts()
    }

    /// The outcome of a request's most recently started attempt among those that have ended, which is the reason for the
    /// next attempt. `None` if no attempt has ended or the request is not active.
    pub fn last_attempt_outcome(&self, request: RequestId) -> Option<AttemptOutcome> {
        self.requests.get(&request)?.last_attempt_outcome()
    }

    /// Number of listed replicas that are draining or ejected.
    pub fn unavailable_replica_count(&self) -> usize {
        self.scheduler.unavailable_replica_count()
    }

    /// The status of all listed replicas.
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

    /// Applies new settings to the scheduler.
    ///
    /// # Errors
    /// Returns why the settings are invalid. The previous settings then remain in force.
    pub fn update_settings(&mut self, settings: SchedulerSettings) -> Result<(), SettingsError> {
        self.scheduler.update_settings(settings)
    }

    /// Starts the shutdown: each request without a first token, also one that arrives later, gets a final response by this
    /// time.
    pub fn set_response_deadline(&mut self, deadline: MonotonicMicros) {
        self.scheduler.set_response_deadline(seconds(deadline));
    }

    /// Replaces this node's grants from the fleet-wide budgets.
    pub fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        self.scheduler.set_budget_grants(grants);
    }

    /// The units that this node has requested from each fleet-wide budget since its first grant, whether or not they were
    /// available.
    pub fn budget_demand(&self) -> BTreeMap<BudgetKind, BudgetDemand> {
        self.scheduler.budget_demand()
    }

    /// Returns the state that the scheduler has learned, for the process that replaces this one.
    pub fn export_learned_state(&self) -> LearnedState {
        self.scheduler.export_learned_state()
    }

    /// Imports the state that another process of this node has learned.
    pub fn import_learned_state(&mut self, learned: &LearnedState) {
        self.scheduler.import_learned_state(learned);
    }

    /// When to call [`RequestRouter::on_timer`] next, unless an event arrives first.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.timers.next_due()
    }

    /// Runs the timers that are due at `now` and appends the resulting commands.
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
            self.process_pending_events(now, commands);
        }
    }

    /// Processes an event that occurred at `now` and appends the resulting commands.
    pub fn handle_event(
        &mut self,
        now: MonotonicMicros,
        event: RouterEvent,
        commands: &mut Vec<RouterCommand>,
    ) {
        match event {
            RouterEvent::RequestArrived(request) => self.accept_request(request),
            RouterEvent::ClientDisconnected(request) => {
                self.handle_client_disconnect(request, commands);
            }
            RouterEvent::FirstToken { request, attempt } => {
                self.handle_first_token(now, AttemptId { request, attempt }, commands);
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
        self.process_pending_events(now, commands);
    }

    /// Registers a request, unless its id is in use.
    fn accept_request(&mut self, request: IncomingRequest) {
        if self.is_active(request.id) {
            return;
        }
        self.statistics.count_arrival();
        self.requests
            .insert(request.id, ActiveRequest::new(request.class));
        self.pending_events
            .push_back(Event::RequestArrived(request));
    }

    /// Finishes the request of a client that has disconnected and abandons all attempts of the request.
    fn handle_client_disconnect(&mut self, id: RequestId, commands: &mut Vec<RouterCommand>) {
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
        // A streaming attempt is abandoned too: closing its connection notifies the replica.
        for attempt in 0..attempt_count {
            let id = AttemptId {
                request: id,
                attempt,
            };
            self.abandon_attempt(id, commands);
        }
    }

    /// Makes an attempt's stream the response to the client, or abandons the attempt if the request already has a response.
    fn handle_first_token(
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
        // The deadline applies to the first token only.
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

    /// Ends an attempt in progress as cancelled and commands the driver to close its connection.
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

    /// Ends an attempt. No other code ends attempts, so the scheduler is notified of each end once.
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

    /// Passes the pending events to the scheduler and carries out its actions, until these cause no further events.
    fn process_pending_events(&mut self, now: MonotonicMicros, commands: &mut Vec<RouterCommand>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let possibly_finished_request = match &event {
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
            if let Some(id) = possibly_finished_request {
                self.remove_if_finished(id);
            }
        }
    }

    /// Removes a finished request whose last attempt has ended. Its timers were cancelled when the attempts ended.
    fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(ActiveRequest::can_be_removed)
        {
            self.requests.remove(&id);
        }
    }
}
