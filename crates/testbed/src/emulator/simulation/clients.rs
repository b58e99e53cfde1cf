//! The side of clients: arrivals, retries, and the end of tries.

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

/// How long a client waits after a failure before it tries again.
const RETRY_PAUSE: Micros = 500_000;
/// Clients spread their retries over this fraction of the wait, as a divisor.
const RETRY_SPREAD_DIVISOR: Micros = 10;

/// The end of one try as it is traced.
struct EndedTry {
    id: RequestId,
    node: usize,
    request: ClientRequest,
    attempt_traces: Vec<AttemptTrace>,
    sent_at: Micros,
    first_token_at: Option<Micros>,
    ended_at: Micros,
    /// `None` where the client tries again.
    request_end: Option<RequestEnd>,
}

impl EndedTry {
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
        self.send_try(now, request);
        self.schedule_next_arrival(tenant);
    }

    pub(super) fn schedule_next_arrival(&mut self, tenant: usize) {
        if let Some(time) = self.clients.draw_interarrival_time(tenant, &mut self.rng) {
            let at = self.queue.now() + time;
            self.queue.schedule(at, Event::Arrival { tenant });
        }
    }

    /// Sends a request to a random node that is up.
    pub(super) fn send_try(&mut self, now: Micros, mut request: ClientRequest) {
        request.submission_count += 1;
        let Some(node) = self.draw_node() else {
            // Nobody listens: refused connections are a failure at once.
            return self.finish_request(now, &request, None, RequestEnd::Failed);
        };
        let timeout = micros(self.run.class[request.class].deadline_s);
        self.recorder.outcome_mut().tries += 1;
        let id = self.tries.insert(request, node, now);
        self.notify_node_of_client(now, node, id, NodeNotice::Arrived);
        self.queue
            .schedule(now + timeout, Event::ClientTimeout { request: id });
    }

    /// A client learns of its try. One that has left learns nothing more.
    pub(super) fn notify_client(&mut self, now: Micros, id: RequestId, notice: ClientNotice) {
        let Some(client_try) = self.tries.get_unended(id) else {
            return;
        };
        match notice {
            ClientNotice::FirstToken => {
                client_try.first_token_at.get_or_insert(now);
            }
            ClientNotice::Completed => self.end_try(now, id, RequestEnd::Good, 0),
            ClientNotice::Broken => self.end_try(now, id, RequestEnd::Broken, 0),
            ClientNotice::Failed => self.end_try(now, id, RequestEnd::Failed, RETRY_PAUSE),
            ClientNotice::Rejected { retry_after } => {
                self.end_try(now, id, RequestEnd::Refused, retry_after);
            }
        }
    }

    /// A client that has no first token by its deadline leaves.
    pub(super) fn on_client_timeout(&mut self, now: Micros, id: RequestId) {
        let Some(client_try) = self.tries.get_unended(id) else {
            return;
        };
        if client_try.first_token_at.is_some() {
            return;
        }
        let node = client_try.node;
        self.notify_node_of_client(now, node, id, NodeNotice::ClientLeft);
        self.end_try(now, id, RequestEnd::Left, 0);
    }

    /// Ends a try for its client: the one place where that happens. Where the client tries again it waits for
    /// `retry_after`; otherwise its request ends.
    pub(super) fn end_try(
        &mut self,
        now: Micros,
        id: RequestId,
        end: RequestEnd,
        retry_after: Micros,
    ) {
        let Some(client_try) = self.tries.get_unended(id) else {
            return;
        };
        client_try.has_ended = true;
        let request = client_try.request.clone();
        let mut ended_try = EndedTry {
            id,
            node: client_try.node,
            request,
            attempt_traces: std::mem::take(&mut client_try.attempt_traces),
            sent_at: client_try.sent_at,
            first_token_at: client_try.first_token_at,
            ended_at: now,
            request_end: Some(end),
        };
        let is_retried = self.is_retried(&ended_try.request, end, retry_after);
        if is_retried {
            ended_try.request_end = None;
        }
        if let Some(trace) = &mut self.trace {
            trace.add(&ended_try.trace());
        }
        self.tries.remove_if_finished(id);
        if is_retried {
            self.schedule_retry(now, ended_try.request, retry_after);
        } else {
            self.finish_request(now, &ended_try.request, ended_try.first_token_at, end);
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

    /// Retries are spread in time, so that clients that were rejected together do not come back together.
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

    /// Draws a node that is up; `None` where none is.
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

    /// A client sends something to its node, which is near.
    fn notify_node_of_client(
        &mut self,
        now: Micros,
        node: usize,
        request: RequestId,
        notice: NodeNotice,
    ) {
        let at_node = Event::AtNode {
            node,
            epoch: self.nodes[node].epoch,
            request,
            notice,
        };
        self.queue.schedule(now + self.run.fleet.near_us, at_node);
    }
}
