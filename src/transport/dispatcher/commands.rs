//! Executes the router's commands: starts and aborts attempt tasks, and responds to clients.

use super::in_flight::InFlightAttempt;
use super::{logging, Dispatcher};
use crate::routing::{duration_micros, AttemptId, MonotonicMicros, RouterCommand, RouterEvent};
use crate::transport::messages::ClientResponse;
use crate::transport::replica::attempts::AttemptRequest;
use crate::transport::replica::pool::ReplicaAddress;
use poppykeel_scheduler::{
    max_write_start_delay, AttemptOutcome, Idempotency, ReplicaId, RequestId,
};
use std::cell::Cell;
use std::rc::Rc;

/// The scheduler's choice for an attempt.
#[derive(Clone, Copy)]
struct AttemptPlacement {
    id: AttemptId,
    replica: ReplicaId,
    /// The node waits for the first token until this time.
    deadline: MonotonicMicros,
    /// The last byte must be written by this time; `None` for no limit.
    write_by: Option<MonotonicMicros>,
}

impl Dispatcher {
    /// Executes all pending commands in order, including those that result from them.
    pub(super) fn execute_commands(&mut self, now: MonotonicMicros) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                logging::log_command(&command);
                self.execute(now, &command);
            }
        }
    }

    fn execute(&mut self, now: MonotonicMicros, command: &RouterCommand) {
        match *command {
            RouterCommand::StartAttempt {
                request,
                attempt,
                replica,
                deadline,
                write_by,
            } => {
                let placement = AttemptPlacement {
                    id: AttemptId { request, attempt },
                    replica,
                    deadline,
                    write_by,
                };
                self.start_attempt(now, placement);
            }
            RouterCommand::AbandonAttempt { request, attempt } => {
                let abandoned = self.in_flight.abort(AttemptId { request, attempt });
                if abandoned.is_some_and(|attempt| attempt.has_effect && attempt.has_begun.get()) {
                    self.executed_requests.add(request);
                }
            }
            RouterCommand::BindStream { request, .. } => self.bind_offered_stream(request),
            RouterCommand::Reject {
                request,
                retry_after,
            } => self
                .waiting_clients
                .respond(request, ClientResponse::Rejected(retry_after)),
            RouterCommand::Fail { request } => {
                self.waiting_clients
                    .respond(request, ClientResponse::Failed);
            }
            RouterCommand::Probe { replica } => self.start_probe(replica),
            RouterCommand::WatchEndpoints => self.endpoint_watcher.start(),
        }
    }

    /// Starts the task of an attempt, unless its client has disconnected or its replica has been removed in the meantime.
    fn start_attempt(&mut self, now: MonotonicMicros, placement: AttemptPlacement) {
        let AttemptPlacement { id, replica, .. } = placement;
        let AttemptId { request, attempt } = id;
        if self.waiting_clients.has_disconnected(request) {
            self.waiting_clients.remove(request);
            let event = RouterEvent::ClientDisconnected(request);
            self.router.handle_event(now, event, &mut self.commands);
            return;
        }
        if let Some(after) = self.router.last_attempt_outcome(request) {
            tracing::debug!(%request, attempt, replica = %replica.0, ?after, "retry");
        }
        let Some(attempt_request) = self.attempt_request(now, placement) else {
            let event = RouterEvent::AttemptEnded {
                request,
                attempt,
                outcome: AttemptOutcome::NotSent,
                report: None,
            };
            self.router.handle_event(now, event, &mut self.commands);
            return;
        };
        let has_begun = attempt_request.has_begun.clone();
        let has_effect = self.has_effect(request);
        let task =
            tokio::task::spawn_local(self.replica_client.clone().run_attempt(attempt_request));
        let in_flight = InFlightAttempt {
            replica,
            has_effect,
            has_begun,
            task: task.abort_handle(),
        };
        self.in_flight.add(id, in_flight);
    }

    /// Collects what the attempt's task needs. `None` if the replica is no longer listed or no client waits.
    fn attempt_request(
        &self,
        now: MonotonicMicros,
        placement: AttemptPlacement,
    ) -> Option<AttemptRequest> {
        let AttemptPlacement { id, replica, .. } = placement;
        let address = self.replica_address(replica)?;
        let client = self.waiting_clients.get(id.request)?;
        let settings = &self.replica_client.site().scheduler;
        let begin_delay = max_write_start_delay(settings.lifecycle.drain_grace);
        let begin_by = now.saturating_add(duration_micros(begin_delay));
        let own_zone = self.replica_client.site().scheduler.zone;
        let is_cross_zone = self.directory.zone(replica) != Some(own_zone);
        Some(AttemptRequest {
            request: id.request,
            attempt: id.attempt,
            address,
            placed_at: now,
            deadline: placement.deadline,
            write_by: placement.write_by,
            begin_by: settings.limits.allows_probes.then_some(begin_by),
            inter_token_objective: client.inter_token_objective,
            cross_zone_group: is_cross_zone.then_some(client.group),
            payload: client.payload.clone(),
            has_begun: Rc::new(Cell::new(false)),
        })
    }

    /// Whether a repeat of a waiting client's request may have a second effect.
    fn has_effect(&self, request: RequestId) -> bool {
        let client = self.waiting_clients.get(request);
        let classes = &self.replica_client.site().scheduler.classes;
        let class = client.and_then(|client| classes.get(client.group.class));
        class.is_none_or(|class| class.idempotency != Idempotency::Idempotent)
    }

    /// Sends the client the stream whose first token has just arrived.
    fn bind_offered_stream(&mut self, request: RequestId) {
        let Some(stream) = self.offered_stream.take() else {
            self.waiting_clients.remove(request);
            return;
        };
        let response = ClientResponse::Stream {
            content_type: stream.content_type,
            replica: stream.replica,
            chunks: stream.chunks,
        };
        self.waiting_clients.respond(request, response);
    }

    fn start_probe(&self, replica: ReplicaId) {
        let address = self.replica_address(replica);
        tokio::task::spawn_local(self.replica_client.clone().run_probe(replica, address));
    }

    /// The process of a replica and its address; `None` if the replica is not listed.
    fn replica_address(&self, replica: ReplicaId) -> Option<ReplicaAddress> {
        Some(ReplicaAddress {
            replica,
            started_ms: self.directory.started_ms(replica)?,
            addr: self.directory.addr(replica)?,
        })
    }
}
