//! The scheduler: dispatches each event to its handler and returns the resulting actions.
//!
//! A request arrives, is rejected early or queued by priority and tenant (`arrival`), is dispatched to a replica once there
//! is capacity (`dispatch`), and ends with its attempts (`attempt_events`). The timer finds requests that expire or are
//! overdue (`timer`). This module defines the order in which the rules apply; the rules are in the sibling modules.

mod arrival;
mod attempt_events;
mod dispatch;
mod endpoint_events;
mod evidence;
mod shutdown;
mod status;
mod timer;

pub use status::{DispatchWork, ReplicaHealthStatus, SchedulerGauges};

use crate::admission::QueueWaitEstimator;
use crate::budgets::{BudgetLedger, TenantQuotas};
use crate::concurrency::ConcurrencyLimit;
use crate::endpoint_confirmation::ListConfirmation;
use crate::endpoint_poll::EndpointPoll;
use crate::fair_queue::FairQueue;
use crate::fleet_view::FleetView;
use crate::hedging::HedgingLimit;
use crate::host_types::HostTypeStatistics;
use crate::latency_estimate::EstimateTiming;
use crate::prompt_cache::PromptCacheModel;
use crate::replicas::ReplicaTable;
use crate::request::Request;
use crate::retry;
use crate::statistics::TrafficStatistics;
use crate::types::{
    Action, BudgetKind, Event, RequestId, SchedulerSettings, Seconds, SettingsError,
};
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Interval at which all requests are checked: short compared with any latency objective, at low CPU cost.
const TIMER_INTERVAL: Seconds = 0.02;
/// Queued requests are answered this long before they expire, so that a late timer event does not make the answer late.
const EXPIRY_MARGIN: Seconds = 0.03;
const ESTIMATE_TIMING: EstimateTiming = EstimateTiming {
    min_time_left: EXPIRY_MARGIN,
    probe_answer_time: TIMER_INTERVAL / 2.0,
};

/// Makes the scheduling decisions of one router.
pub struct Scheduler {
    settings: SchedulerSettings,
    rng: Rand64,
    now: Seconds,
    has_started: bool,
    queue: FairQueue,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for a load report, or for which no replica qualified. They are queued again at the next timer
    /// event or when the last probe has ended.
    deferred: Vec<RequestId>,
    replicas: ReplicaTable,
    concurrency: ConcurrencyLimit,
    quotas: TenantQuotas,
    budgets: BudgetLedger,
    hedging: HedgingLimit,
    endpoint_poll: EndpointPoll,
    list_confirmation: ListConfirmation,
    traffic: TrafficStatistics,
    host_types: HostTypeStatistics,
    prompt_cache: PromptCacheModel,
    /// Most replicas are ejected. They probably have a common cause, and avoiding all of them would only stop the service.
    is_panic_mode: bool,
    /// Requests without a first token must have their final answer by this time, because the router shuts down then;
    /// infinite unless a shutdown has started.
    answer_deadline: Seconds,
    work: DispatchWork,
}

impl Scheduler {
    /// Creates a scheduler without replicas. The same settings, seed and events give the same actions.
    ///
    /// # Errors
    /// The settings must pass [`SchedulerSettings::check`].
    pub fn new(settings: SchedulerSettings, seed: u64) -> Result<Scheduler, SettingsError> {
        settings.check()?;
        Ok(Scheduler {
            rng: Rand64::new(u128::from(seed)),
            now: 0.0,
            has_started: false,
            queue: FairQueue::new(&settings),
            requests: BTreeMap::new(),
            deferred: Vec::new(),
            replicas: ReplicaTable::default(),
            concurrency: ConcurrencyLimit::new(),
            quotas: TenantQuotas::new(&settings),
            budgets: BudgetLedger::default(),
            hedging: HedgingLimit::default(),
            endpoint_poll: EndpointPoll::default(),
            list_confirmation: ListConfirmation::default(),
            traffic: TrafficStatistics::new(),
            host_types: HostTypeStatistics::new(),
            prompt_cache: PromptCacheModel::new(),
            is_panic_mode: false,
            answer_deadline: f64::INFINITY,
            work: DispatchWork::default(),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions. Events about unknown requests or replicas are ignored, and so
    /// are repeated arrivals of a request id. If `now` is before the time of the previous event, the previous time is used.
    pub fn handle_event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        if now.is_finite() {
            self.now = self.now.max(now);
        }
        if !self.has_started {
            self.start(actions);
        }
        self.apply_event(event, actions);
        self.dispatch_queued(actions);
    }

    fn apply_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsReplaced(endpoints) => {
                self.replicas.mark_all_removed();
                self.apply_endpoints(&endpoints);
            }
            Event::EndpointsChanged(endpoints) => self.apply_endpoints(&endpoints),
            Event::EndpointListFailed => self.schedule_endpoint_poll_retry(),
            Event::EndpointListStatusChanged(status) => self.set_endpoint_list_status(status),
            Event::RequestArrived(request) => {
                if !self.requests.contains_key(&request.id) {
                    self.on_request_arrived(&request, actions);
                }
            }
            Event::FirstToken {
                request,
                attempt,
                elapsed,
            } => self.on_first_token(request, attempt, elapsed, actions),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                is_request_finished,
                report,
            } => {
                let end = attempt_events::AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    is_request_finished,
                    report,
                };
                self.on_attempt_ended(&end, actions);
            }
            Event::ClientDisconnected(request) => self.finish_request(request, actions),
            Event::ProbeEnded {
                replica,
                outcome,
                report,
            } => self.on_probe_ended(replica, outcome, report),
            Event::OutlierAdvice {
                replica,
                is_healthy,
            } => self.on_outlier_advice(replica, is_healthy),
            Event::TimerFired => self.on_timer(actions),
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.has_started = true;
        actions.push(Action::SetTimer {
            after: TIMER_INTERVAL,
        });
        let spread = self.spread_position();
        let interval = self.settings.lifecycle.poll_interval;
        self.endpoint_poll
            .schedule_first(self.now, interval, spread);
    }

    /// A position from 0 to 1 that spreads simultaneous work of all routers evenly: the range is divided into one interval
    /// for each router, and the position is random within this router's interval.
    fn spread_position(&mut self) -> f64 {
        let position = self.settings.router_index as f64 + self.rng.rand_float();
        position / self.settings.router_count as f64
    }

    fn schedule_endpoint_poll_retry(&mut self) {
        let spread = self.spread_position();
        self.endpoint_poll.schedule_retry(self.now, spread);
    }

    fn view(&self) -> FleetView<'_> {
        FleetView {
            now: self.now,
            settings: &self.settings,
            replicas: &self.replicas,
            concurrency: &self.concurrency,
            traffic: &self.traffic,
            host_types: &self.host_types,
            prompt_cache: &self.prompt_cache,
            is_panic_mode: self.is_panic_mode,
            requires_evidence: self.requires_evidence(),
        }
    }

    fn queue_wait_estimator(&self) -> QueueWaitEstimator<'_> {
        QueueWaitEstimator {
            now: self.now,
            queue: &self.queue,
            concurrency: &self.concurrency,
            traffic: &self.traffic,
            host_types: &self.host_types,
        }
    }

    /// Queues a request, unless it is already queued or finished.
    fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.mark_queued() {
                self.queue.enqueue(&request.queue_entry());
            }
        }
    }

    /// Removes a request from the queue, if it is queued.
    fn dequeue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.mark_dequeued() {
                self.queue.remove(&request.queue_entry());
            }
        }
    }

    fn enqueue_deferred(&mut self) {
        for id in std::mem::take(&mut self.deferred) {
            self.enqueue(id);
        }
    }

    /// Gives a request a final answer from the router: a rejection if the client can retry safely, otherwise a failure.
    fn answer_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| !request.is_finished())
        else {
            return;
        };
        let wait = self.queue_wait_estimator().wait_for(request);
        let retry_after = wait.min(self.settings.limits.max_retry_after);
        let retry_at = self.now + retry_after;
        if retry::is_safe_for_client_to_retry(&self.settings, request, retry_at) {
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish_request(id, actions);
    }

    /// Marks a request as finished and cancels its attempts, whose slots become free when they end.
    fn finish_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(id);
        self.deferred.retain(|deferred| *deferred != id);
        self.cancel_attempts(id, actions);
        if let Some(request) = self.requests.get_mut(&id) {
            request.mark_finished();
        }
        self.remove_if_done(id);
    }

    /// Cancels those attempts of a request that have had no first token, if the site allows cancellation.
    fn cancel_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.limits.allows_cancellation {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        for attempt in request.cancel_attempts() {
            actions.push(Action::CancelAttempt {
                request: id,
                attempt,
            });
        }
    }

    /// Removes a finished request once its last attempt has ended.
    fn remove_if_done(&mut self, id: RequestId) {
        let is_done = |request: &Request| request.is_finished() && !request.has_attempt_in_flight();
        if self.requests.get(&id).is_some_and(is_done) {
            self.requests.remove(&id);
        }
    }

    fn priority_weight(&self, id: RequestId) -> f64 {
        let class = self.requests.get(&id).map(Request::class);
        let class = class.and_then(|class| self.settings.classes.get(class));
        class.map_or(0.0, |class| class.priority_weight)
    }

    /// Requests a unit of a fleet-wide budget for a request; returns whether it was available.
    fn request_budget(&mut self, kind: BudgetKind, id: RequestId) -> bool {
        let priority_weight = self.priority_weight(id);
        self.budgets.request_unit(self.now, kind, priority_weight)
    }
}
