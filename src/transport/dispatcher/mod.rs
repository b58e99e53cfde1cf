//! The dispatcher of one node: the single task that owns the request router. It passes events from all other tasks to the
//! router, with one clock reading per batch, and executes the router's commands.
//!
//! Messages come from client connections (requests, disconnects), attempts and probes (outcomes), endpoint sources (lists),
//! admin calls and the coordination with other nodes (queries, settings). All arrive over one bounded channel as
//! [`DispatcherMessage`]; replies return over channels that the messages carry.
//!
//! Invariants:
//! - All commands that follow from a message are executed before the next message is handled.
//! - No attempt is started for a client that has disconnected, even if its disconnect message is still queued.
//! - The id of a request that a replica may have run is not admitted again if a repeat may have a second effect.
//! - A draining or removed replica gets no new work: an attempt that has not written anything yet is withdrawn.
//!
//! This module dispatches each [`DispatcherMessage`]. `requests` handles clients and attempts, `endpoint_updates` the
//! endpoint list, `queries` the queries, `commands` the router's commands, `suspension` the recovery after a suspension, and
//! `logging` writes the log. `clients`, `in_flight` and `executed_requests` own the tables of clients, attempts and
//! finished requests.

mod clients;
mod commands;
mod endpoint_updates;
mod executed_requests;
mod in_flight;
mod logging;
mod queries;
mod requests;
mod suspension;

use super::clock::Clock;
use super::endpoints::discovery::EndpointWatcher;
use super::messages::{DispatcherMessage, Reply, StartedStream};
use super::replica::attempts::ReplicaClient;
use crate::routing::directory::EndpointDirectory;
use crate::routing::{
    AttemptId, DurationMicros, MonotonicMicros, RequestRouter, RouterCommand, RouterEvent,
};
use clients::{RequestOwners, WaitingClients};
use executed_requests::ExecutedRequests;
use in_flight::InFlightAttempts;
use logging::IterationStart;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::BudgetGrants;
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of messages handled with one clock reading.
const MAX_BATCH_MESSAGES: usize = 256;

/// How often a summary is logged, in microseconds.
const SUMMARY_INTERVAL: DurationMicros = 10_000_000;

/// The dispatcher of one node.
pub struct Dispatcher {
    clock: Clock,
    router: RequestRouter,
    directory: EndpointDirectory,
    replica_client: ReplicaClient,
    endpoint_watcher: EndpointWatcher,
    waiting_clients: WaitingClients,
    owners: RequestOwners,
    in_flight: InFlightAttempts,
    executed_requests: ExecutedRequests,
    /// The stream whose first token the router is processing. The router may bind it to its client.
    offered_stream: Option<StartedStream>,
    /// Commands of the router that have not been executed.
    commands: Vec<RouterCommand>,
}

impl Dispatcher {
    /// Creates a dispatcher for a new router. `restored_list` is the endpoint list saved by an earlier process of the node;
    /// `None` if there is none.
    pub fn new(
        clock: Clock,
        router: RequestRouter,
        directory: EndpointDirectory,
        replica_client: ReplicaClient,
        endpoint_watcher: EndpointWatcher,
        restored_list: Option<SourceUpdate>,
    ) -> Self {
        let mut dispatcher = Dispatcher {
            clock,
            router,
            directory,
            replica_client,
            endpoint_watcher,
            waiting_clients: WaitingClients::default(),
            owners: RequestOwners::default(),
            in_flight: InFlightAttempts::default(),
            executed_requests: ExecutedRequests::default(),
            offered_stream: None,
            commands: Vec::new(),
        };
        let now = dispatcher.clock.now();
        dispatcher
            .replica_client
            .suspension_detector()
            .record_iteration(now);
        // The scheduler starts with its first event. Without this event, a node without replicas would poll for the endpoint
        // list only when its first request arrives, and that request would wait for the answer.
        let no_change = RouterEvent::EndpointsChanged(Vec::new());
        dispatcher
            .router
            .handle_event(now, no_change, &mut dispatcher.commands);
        if let Some(update) = restored_list {
            dispatcher.restore_endpoints(now, update);
        }
        dispatcher
    }

    /// Runs until every sender of messages is dropped.
    pub async fn run(mut self, mut messages: mpsc::Receiver<DispatcherMessage>) {
        let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
        let mut next_summary = SUMMARY_INTERVAL;
        loop {
            let wake_at = self.next_timer().map(|at| self.clock.instant(at));
            // Both branches are cancel-safe: a dropped `recv_many` has taken no messages, and the sleep holds no data.
            tokio::select! {
                count = messages.recv_many(&mut batch, MAX_BATCH_MESSAGES) => if count == 0 { return },
                () = sleep_until(wake_at) => {}
            }
            let now = self.clock.now();
            if self.replica_client.suspension_detector().was_suspended(now) {
                self.recover_from_suspension(now, &mut batch);
            }
            self.replica_client
                .suspension_detector()
                .record_iteration(now);
            let start = IterationStart {
                at: now,
                messages: batch.len(),
                work: self.router.dispatch_work(),
            };
            for message in batch.drain(..) {
                self.handle_message(now, message);
            }
            self.run_timers(now);
            self.log_slow_iteration(&start);
            if now >= next_summary {
                next_summary = now + SUMMARY_INTERVAL;
                self.log_summary();
            }
        }
    }

    fn next_timer(&self) -> Option<MonotonicMicros> {
        let timers = [self.router.next_timer(), self.directory.next_timer()];
        timers.into_iter().flatten().min()
    }

    fn run_timers(&mut self, now: MonotonicMicros) {
        if self.directory.next_timer().is_some_and(|at| at <= now) {
            let changes = self.directory.on_timer(self.clock.reading());
            self.apply_endpoint_changes(now, "time", changes);
        }
        self.router.on_timer(now, &mut self.commands);
        self.execute_commands(now);
    }

    fn handle_message(&mut self, now: MonotonicMicros, message: DispatcherMessage) {
        match message {
            DispatcherMessage::ClientRequest(request) => self.handle_client_request(now, request),
            DispatcherMessage::ClientDisconnected { request, owner } => {
                self.handle_client_disconnected(now, request, owner);
            }
            DispatcherMessage::StreamStarted(stream) => self.handle_stream_started(now, stream),
            DispatcherMessage::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
            } => self.handle_attempt_ended(now, AttemptId { request, attempt }, outcome, report),
            DispatcherMessage::ProbeEnded {
                replica,
                outcome,
                report,
            } => self.process_event(
                now,
                RouterEvent::ProbeEnded {
                    replica,
                    outcome,
                    report,
                },
            ),
            DispatcherMessage::EndpointUpdate {
                source,
                update,
                is_current,
            } => self.handle_endpoint_update(now, source, update, is_current),
            DispatcherMessage::EndpointListStatusChanged(status) => {
                self.set_endpoint_list_status(now, status);
            }
            DispatcherMessage::SetEndpointSources(sources) => {
                self.set_endpoint_sources(now, sources);
            }
            DispatcherMessage::OutlierAdvice(advice) => self.handle_outlier_advice(now, &advice),
            DispatcherMessage::SetBudgetGrants(grants) => self.set_budget_grants(&grants),
            DispatcherMessage::ImportLearnedState(learned) => {
                self.router.import_learned_state(&learned);
            }
            DispatcherMessage::UpdateSettings { settings, applied } => {
                self.update_settings(settings, applied);
            }
            DispatcherMessage::SetResponseDeadline(limit) => self.set_response_deadline(now, limit),
            DispatcherMessage::LogSummary(done) => {
                self.log_summary();
                send_reply(done, ());
            }
            DispatcherMessage::Query(query) => self.answer_query(query),
        }
    }

    /// Passes an event to the router and executes the resulting commands.
    fn process_event(&mut self, now: MonotonicMicros, event: RouterEvent) {
        logging::log_event(&event);
        self.router.handle_event(now, event, &mut self.commands);
        self.execute_commands(now);
        // The router has not bound this stream, so it is not needed. Dropping it closes its channel.
        self.offered_stream = None;
    }

    fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        self.endpoint_watcher.set_budget_grants(grants);
        self.router.set_budget_grants(grants);
    }

    fn update_settings(&mut self, settings: Rc<SiteSettings>, applied: Reply<()>) {
        match self.router.update_settings(settings.scheduler.clone()) {
            Ok(()) => self.replica_client.set_site(settings),
            Err(e) => {
                tracing::error!(why = %e, "new site settings rejected; keeping the previous ones");
            }
        }
        send_reply(applied, ());
    }

    fn set_response_deadline(&mut self, now: MonotonicMicros, limit: Duration) {
        let deadline = now.saturating_add(limit.as_micros() as DurationMicros);
        self.router.set_response_deadline(deadline);
    }
}

/// Sleeps until this time, or forever if there is none.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn send_reply<T>(reply: Reply<T>, answer: T) {
    // The receiver may have been dropped; the answer is then not needed.
    let _ = reply.send(answer);
}
