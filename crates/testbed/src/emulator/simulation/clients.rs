//! Clients in the simulation: arrivals, retries, and the end of submissions.

use super::super::clients::ClientRequest;
use super::super::description::RepeatSafety;
use super::super::outcome::RequestEnd;
use super::super::request_trace::{AttemptTrace, RequestTrace};
use super::super::time::micros;
use super::event::{ClientNotice, Event, NodeNotice};
use super::Simulation;
use crate::Micros;
use poppykeel_scheduler::RequestId;
use rand::RngExt;

/// How long a client waits after a failure before it retries.
const RETRY_DELAY: Micros = 500_000;
/// A client retry is delayed further by a random time, at most its wait divided by this.
const RETRY_SPREAD_DIVISOR: Micros = 10;

/// An ended submission, for its trace.
struct EndedSubmission {
    id: RequestId,
    node: usize,
    request: ClientRequest,
    attempt_traces: Vec<AttemptTrace>,
    sent_at: Micros,
    first_token_at: Option<Micros>,
    ended_at: Micros,
    /// `None` if the client retries.
    request_end: Option<RequestEnd>,
}

impl EndedSubmission {
    fn trace(&self) -> RequestTrace<'_> {
        RequestTrace {
            id: self.id.0,
            class: self.request.class,
            tenant: self.request.tenant,
            session: self.request.session,
            tries: self.request.submission_count,
            prompt: self.request.prompt_tokens,
            node: self.node as u32,
            sent: self.sent_at,
            first: self.first_token_at,
            over: self.ended_at,
            end: self.request_end,
            hops: &self.attempt_traces,
        }
    }
}

impl Simulation<'_> {
    pub(super) fn on_arrival(&mut self, now: Micros, tenant: usize) {
        if now >= micros(self.run.load.seconds) {
            return;
        }
        let request = self
            .clients
            .draw_request(now, tenant, self.run, &mut self.rng);
        self.submit_request(now, request);
        self.schedule_next_arrival(tenant);
    }

    pub(super) fn schedule_next_arrival(&mut self, tenant: usize) {
        if let Some(time) = self.clients.draw_interarrival_time(tenant, &mut self.rng) {
            let at = self.queue.now() + time;
            self.queue.schedule(at, Event::Arrival { tenant });
        }
    }

    /// Sends a request to a random node that is up.
    pub(super) fn submit_request(&mut self, now: Micros, mut request: ClientRequest) {
        request.submission_count += 1;
        let Some(node) = self.draw_node() else {
            // No node listens: connections are refused, which is an immediate failure.
            return self.finish_request(now, &request, None, RequestEnd::Failed);
        };
        let timeout = micros(self.run.class[request.class].deadline_s);
        self.recorder.outcome_mut().tries += 1;
        let id = self.submissions.insert(request, node, now);
        self.send_to_node(now, node, id, NodeNotice::Arrived);
        self.queue
            .schedule(now + timeout, Event::ClientTimeout { request: id });
    }

    /// Notifies a client of progress of its submission. Ignored once the client has disconnected.
    pub(super) fn notify_client(&mut self, now: Micros, id: RequestId, notice: ClientNotice) {
        let Some(submission) = self.submissions.get_open(id) else {
            return;
        };
        match notice {
            ClientNotice::FirstToken => {
                submission.first_token_at.get_or_insert(now);
            }
            ClientNotice::Completed => self.end_submission(now, id, RequestEnd::Good, 0),
            ClientNotice::Broken => self.end_submission(now, id, RequestEnd::Broken, 0),
            ClientNotice::Failed => self.end_submission(now, id, RequestEnd::Failed, RETRY_DELAY),
            ClientNotice::Rejected { retry_after } => {
                self.end_submission(now, id, RequestEnd::Refused, retry_after);
            }
        }
    }

    /// Disconnects a client that has no first token by its deadline.
    pub(super) fn on_client_timeout(&mut self, now: Micros, id: RequestId) {
        let Some(submission) = self.submissions.get_open(id) else {
            return;
        };
        if submission.first_token_at.is_some() {
            return;
        }
        let node = submission.node;
        self.send_to_node(now, node, id, NodeNotice::ClientLeft);
        self.end_submission(now, id, RequestEnd::Left, 0);
    }

    /// Ends a submission for its client; the only place that does so. The client retries after `retry_after`, or its
    /// request ends.
    pub(super) fn end_submission(
        &mut self,
        now: Micros,
        id: RequestId,
        end: RequestEnd,
        retry_after: Micros,
    ) {
        let Some(submission) = self.submissions.get_open(id) else {
            return;
        };
        submission.has_ended = true;
        let request = submission.request.clone();
        let mut ended = EndedSubmission {
            id,
            node: submission.node,
            request,
            attempt_traces: std::mem::take(&mut submission.attempt_traces),
            sent_at: submission.sent_at,
            first_token_at: submission.first_token_at,
            ended_at: now,
            request_end: Some(end),
        };
        let is_retried = self.is_retried(&ended.request, end, retry_after);
        if is_retried {
            ended.request_end = None;
        }
        if let Some(trace) = &mut self.trace {
            trace.add(&ended.trace());
        }
        self.submissions.remove_if_finished(id);
        if is_retried {
            self.schedule_retry(now, ended.request, retry_after);
        } else {
            self.finish_request(now, &ended.request, ended.first_token_at, end);
        }
    }

    fn is_retried(&self, request: &ClientRequest, end: RequestEnd, retry_after: Micros) -> bool {
        let load = &self.run.load;
        let has_retries = request.submission_count <= load.retries;
        match end {
            RequestEnd::Refused => has_retries && retry_after <= micros(load.heeds_s),
            RequestEnd::Failed => {
                has_retries && self.run.class[request.class].repeats == RepeatSafety::Safe
            }
            RequestEnd::Good | RequestEnd::Late | RequestEnd::Broken | RequestEnd::Left => false,
        }
    }

    /// Retries are spread in time, so that clients that were rejected together do not all return at once.
    fn schedule_retry(&mut self, now: Micros, request: ClientRequest, retry_after: Micros) {
        let max_spread = retry_after / RETRY_SPREAD_DIVISOR + 1;
        let spread = self.rng.random_range(0..=max_spread);
        self.queue.schedule(
            now + retry_after + spread,
            Event::ClientRetry(Box::new(request)),
        );
    }

    fn finish_request(
        &mut self,
        now: Micros,
        request: &ClientRequest,
        first_token_at: Option<Micros>,
        end: RequestEnd,
    ) {
        let class = &self.run.class[request.class];
        let is_complete = self
            .recorder
            .record_end(class, request, now, first_token_at, end);
        self.clients
            .finish_request(request, is_complete, self.run.load.sessions);
    }

    /// Draws a node that is up; `None` if there is none.
    fn draw_node(&mut self) -> Option<usize> {
        let up_count = self.nodes.iter().filter(|node| node.is_up).count();
        if up_count == 0 {
            return None;
        }
        let drawn = self.rng.random_range(0..up_count);
        let mut up_nodes = self.nodes.iter().enumerate().filter(|(_, node)| node.is_up);
        let (index, _) = up_nodes.nth(drawn)?;
        Some(index)
    }

    /// Sends a notice from a client to its node, with the latency inside a zone.
    fn send_to_node(&mut self, now: Micros, node: usize, request: RequestId, notice: NodeNotice) {
        let at_node = Event::AtNode {
            node,
            generation: self.nodes[node].generation,
            request,
            notice,
        };
        self.queue.schedule(now + self.run.fleet.near_us, at_node);
    }
}
