//! Handles clients' requests and disconnects, and the streams and outcomes of attempts.

use super::clients::WaitingClient;
use super::{send_reply, Dispatcher};
use crate::routing::cross_zone::RequestGroup;
use crate::routing::{seconds, AttemptId, DurationMicros, MonotonicMicros, RouterEvent};
use crate::transport::messages::{ClientRequest, ClientResponse, RequestOwner, StartedStream};
use poppykeel_scheduler::{AttemptOutcome, LoadReport, RequestId};
use std::rc::Rc;

const MICROS_PER_SECOND: f64 = 1e6;

impl Dispatcher {
    /// Admits a request, unless its id is in use, may have run and must not run again, or its client has already disconnected.
    pub(super) fn handle_client_request(
        &mut self,
        now: MonotonicMicros,
        client_request: ClientRequest,
    ) {
        let ClientRequest {
            mut request,
            payload,
            response,
            owner,
        } = client_request;
        // The client's deadline has been running since it sent the request, also while the process was suspended.
        let backlog_age = self.replica_client.suspension_detector().backlog_age(now);
        request.time_left -= seconds(backlog_age);
        if self.router.is_active(request.id) || self.executed_requests.contains(request.id) {
            send_reply(response, ClientResponse::Duplicate);
            return;
        }
        if response.is_closed() {
            tracing::debug!(request = %request.id, "client disconnected before its request was admitted");
            return;
        }
        let router = &self.router;
        self.owners
            .set(request.id, owner, router.active_count(), |id| {
                router.is_active(id)
            });
        let client = WaitingClient {
            payload: Rc::new(payload),
            inter_token_objective: self.inter_token_objective(request.class),
            group: RequestGroup {
                class: request.class,
                tenant: request.tenant,
            },
            response,
        };
        self.waiting_clients.add(request.id, client);
        self.process_event(now, RouterEvent::RequestArrived(request));
    }

    /// Ends a request whose client has disconnected, if that client owns the request.
    pub(super) fn handle_client_disconnected(
        &mut self,
        now: MonotonicMicros,
        request: RequestId,
        owner: RequestOwner,
    ) {
        if !self.owners.is_owner(request, owner) {
            tracing::debug!(%request, "disconnect ignored: the client does not own this request");
            return;
        }
        self.waiting_clients.remove(request);
        self.process_event(now, RouterEvent::ClientDisconnected(request));
    }

    /// Offers a started stream to the router, which binds it to the client or abandons its attempt.
    pub(super) fn handle_stream_started(&mut self, now: MonotonicMicros, stream: StartedStream) {
        let (request, attempt) = (stream.request, stream.attempt);
        self.offered_stream = Some(stream);
        self.process_event(now, RouterEvent::FirstToken { request, attempt });
    }

    pub(super) fn handle_attempt_ended(
        &mut self,
        now: MonotonicMicros,
        id: AttemptId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let ended = self.in_flight.remove(id);
        if outcome.may_have_run() && ended.is_some_and(|attempt| attempt.has_effect) {
            self.executed_requests.add(id.request);
        }
        let event = RouterEvent::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            outcome,
            report,
        };
        self.process_event(now, event);
    }

    fn inter_token_objective(&self, class: usize) -> Option<DurationMicros> {
        let class = self.replica_client.site().scheduler.classes.get(class)?;
        let objective = class.inter_token_objective * MICROS_PER_SECOND;
        objective.is_finite().then_some(objective as DurationMicros)
    }
}
