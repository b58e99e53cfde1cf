//! One node that balances by a baseline policy, with the same events and commands as the project's request router.
//!
//! It sends each request immediately and queues nothing, retries on another replica if the request may run again, and ejects a
//! replica for a while after consecutive failures, as the passive health checks of common proxies do. [`replicas`]
//! chooses the replica; this file tracks requests and their one attempt in flight.

mod replicas;

use super::Policy;
use poppykeel::routing::{MonotonicMicros, RouterCommand, RouterEvent};
use poppykeel_scheduler::{
    AttemptOutcome, Idempotency, IncomingRequest, RequestId, SchedulerSettings,
};
use replicas::{ReplicaIndex, ReplicaTable};
use std::collections::{BTreeMap, BTreeSet};

/// The `Retry-After` of rejected requests, in microseconds.
const RETRY_AFTER: MonotonicMicros = 1_000_000;

/// The attempt of a request that is in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    replica: ReplicaIndex,
    /// When the attempt times out if it has no first token.
    timeout_at: MonotonicMicros,
}

/// A request without a final answer.
struct PendingRequest {
    request: IncomingRequest,
    deadline: MonotonicMicros,
    attempt_count: u32,
    in_flight: Option<InFlightAttempt>,
    is_streaming: bool,
}

impl PendingRequest {
    /// The index of the latest attempt.
    fn latest_attempt(&self) -> usize {
        self.attempt_count.saturating_sub(1) as usize
    }

    /// The key of the request on the hash ring of prefix-affine balancing.
    fn affinity_key(&self) -> u64 {
        self.request.session.unwrap_or(self.request.id.0)
    }
}

/// A node that balances by a baseline policy.
pub struct BaselinePolicy {
    classes: Vec<Idempotency>,
    max_attempts: u32,
    replicas: ReplicaTable,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Timeouts of attempts in flight without a first token.
    timers: BTreeSet<(MonotonicMicros, RequestId)>,
}

impl BaselinePolicy {
    /// Creates a node without replicas.
    pub fn new(policy: Policy, settings: &SchedulerSettings, rng: rand_pcg::Pcg64Mcg) -> Self {
        let classes = settings.classes.iter().map(|class| class.idempotency);
        BaselinePolicy {
            classes: classes.collect(),
            max_attempts: settings.limits.max_attempts as u32,
            replicas: ReplicaTable::new(policy, rng),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
        }
    }

    /// When [`Self::on_timer`] must be called next; `None` if no attempt can time out.
    pub fn next_timer(&self) -> Option<MonotonicMicros> {
        self.timers.first().map(|(timeout_at, _)| *timeout_at)
    }

    /// Abandons the attempts that have timed out.
    pub fn on_timer(&mut self, now: MonotonicMicros, commands: &mut Vec<RouterCommand>) {
        while let Some((timeout_at, request)) = self.timers.first().copied() {
            if timeout_at > now {
                return;
            }
            self.timers.pop_first();
            if let Some(pending) = self.requests.get(&request) {
                let attempt = pending.latest_attempt();
                commands.push(RouterCommand::AbandonAttempt { request, attempt });
                self.end_attempt(now, request, attempt, AttemptOutcome::TimedOut, commands);
            }
        }
    }

    /// Handles one event and appends the resulting commands.
    pub fn handle_event(
        &mut self,
        now: MonotonicMicros,
        event: RouterEvent,
        commands: &mut Vec<RouterCommand>,
    ) {
        match event {
            RouterEvent::RequestArrived(request) => self.accept_request(now, request, commands),
            RouterEvent::ClientDisconnected(request) => self.drop_request(request, commands),
            RouterEvent::FirstToken { request, attempt } => {
                self.bind_stream(request, attempt, commands);
            }
            RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
            } => {
                let replica = self.replica_in_use(request);
                let queued_tokens = report.and_then(|report| report.queued_prompt_tokens);
                if let (Some(replica), Some(queued_tokens)) = (replica, queued_tokens) {
                    self.replicas.set_reported_tokens(replica, queued_tokens);
                }
                self.end_attempt(now, request, attempt, outcome, commands);
            }
            RouterEvent::EndpointsReplaced(endpoints) => {
                self.replicas.replace_endpoints(&endpoints);
            }
            RouterEvent::EndpointsChanged(endpoints) => self.replicas.update_endpoints(&endpoints),
            RouterEvent::ProbeEnded { .. }
            | RouterEvent::OutlierAdvice { .. }
            | RouterEvent::EndpointListFailed
            | RouterEvent::EndpointListStatusChanged(_) => {}
        }
    }

    fn accept_request(
        &mut self,
        now: MonotonicMicros,
        request: IncomingRequest,
        commands: &mut Vec<RouterCommand>,
    ) {
        let id = request.id;
        let pending = PendingRequest {
            deadline: now + (request.time_left * 1e6) as MonotonicMicros,
            request,
            attempt_count: 0,
            in_flight: None,
            is_streaming: false,
        };
        self.requests.insert(id, pending);
        self.start_attempt(now, id, None, commands);
    }

    /// Removes the request of a client that has disconnected, and abandons its attempt.
    fn drop_request(&mut self, request: RequestId, commands: &mut Vec<RouterCommand>) {
        let attempt = self
            .requests
            .get(&request)
            .map_or(0, PendingRequest::latest_attempt);
        if self.release_replica(request).is_some() {
            commands.push(RouterCommand::AbandonAttempt { request, attempt });
        }
        self.requests.remove(&request);
    }

    fn bind_stream(
        &mut self,
        request: RequestId,
        attempt: usize,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(in_flight) = pending.in_flight {
            pending.is_streaming = true;
            self.timers.remove(&(in_flight.timeout_at, request));
            self.replicas.record_success(in_flight.replica);
            commands.push(RouterCommand::BindStream { request, attempt });
        }
    }

    fn replica_in_use(&self, request: RequestId) -> Option<ReplicaIndex> {
        let in_flight = self.requests.get(&request)?.in_flight?;
        Some(in_flight.replica)
    }

    /// Removes the attempt in flight and returns its replica.
    fn release_replica(&mut self, request: RequestId) -> Option<ReplicaIndex> {
        let in_flight = self.requests.get_mut(&request)?.in_flight.take()?;
        self.timers.remove(&(in_flight.timeout_at, request));
        self.replicas.remove_in_flight(in_flight.replica);
        Some(in_flight.replica)
    }

    /// Ends an attempt, then retries the request or sends the final answer to its client. Ignored unless the attempt is
    /// the latest of its request.
    fn end_attempt(
        &mut self,
        now: MonotonicMicros,
        id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        commands: &mut Vec<RouterCommand>,
    ) {
        let is_latest = self
            .requests
            .get(&id)
            .is_some_and(|pending| pending.attempt_count as usize == attempt + 1);
        if !is_latest {
            return;
        }
        let Some(replica) = self.release_replica(id) else {
            return;
        };
        if is_failure_of_replica(outcome) {
            self.replicas.record_failure(replica, now);
        }
        let pending = &self.requests[&id];
        if pending.is_streaming || outcome == AttemptOutcome::Completed {
            // The end of a stream, complete or not, ends its request.
            self.requests.remove(&id);
            return;
        }
        let may_repeat = cannot_have_run(outcome)
            || self.classes[pending.request.class] == Idempotency::Idempotent;
        if may_repeat && pending.attempt_count < self.max_attempts && now < pending.deadline {
            return self.start_attempt(now, id, Some(replica), commands);
        }
        self.requests.remove(&id);
        if outcome == AttemptOutcome::AtCapacity {
            commands.push(reject(id));
        } else {
            commands.push(RouterCommand::Fail { request: id });
        }
    }

    /// Sends a request to the replica chosen by the policy, other than `excluded`, or rejects it if there is none.
    fn start_attempt(
        &mut self,
        now: MonotonicMicros,
        request: RequestId,
        excluded: Option<ReplicaIndex>,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(replica) = self.replicas.choose(now, pending.affinity_key(), excluded) else {
            self.requests.remove(&request);
            commands.push(reject(request));
            return;
        };
        let attempt = pending.attempt_count as usize;
        let deadline = pending.deadline;
        pending.attempt_count += 1;
        pending.in_flight = Some(InFlightAttempt {
            replica,
            timeout_at: deadline,
        });
        self.timers.insert((deadline, request));
        self.replicas.add_in_flight(replica);
        commands.push(RouterCommand::StartAttempt {
            request,
            attempt,
            replica: self.replicas.id(replica),
            deadline,
            write_by: None,
        });
    }
}

fn reject(request: RequestId) -> RouterCommand {
    RouterCommand::Reject {
        request,
        retry_after: RETRY_AFTER,
    }
}

fn is_failure_of_replica(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::ConnectFailed
            | AttemptOutcome::ServerError
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectionReset
    )
}

/// Whether the replica cannot have started the request, so that it may be retried whatever its class.
fn cannot_have_run(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::AtCapacity | AttemptOutcome::ConnectFailed
    )
}
