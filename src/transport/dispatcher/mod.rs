//! The dispatcher of one node: the one task that owns the request router and stands between it and all other tasks. It reads
//! the clock once a turn, tells the router what has come, and carries out the router's commands.
//!
//! Who calls it: client connections send requests and disconnects, attempts and probes their ends, endpoint sources their
//! lists, operators and the coordination with other nodes their questions and settings. All of it comes over one bounded
//! channel as [`DispatcherMessage`]; answers go back over channels that the messages carry.
//!
//! Invariants:
//! - No message is handled before all commands that follow from the one before it have been carried out.
//! - No attempt is started for a client that has disconnected, also where the word of it still waits in the channel.
//! - A replica that is draining or removed gets nothing new: an attempt that has written nothing yet is withdrawn.
//!
//! [`DispatcherMessage`] is taken apart here; `requests` handles clients and attempts, `endpoint_updates` the endpoint list,
//! `queries` the questions, `commands` what the router wants done, and `logging` writes the log. `clients` and `in_flight`
//! own the tables of clients and attempts.

mod clients;
mod commands;
mod endpoint_updates;
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
use in_flight::InFlightAttempts;
use poppykeel_endpoints::SourceUpdate;
use poppykeel_scheduler::BudgetGrants;
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Messages that are taken in one turn, with one reading of the clock.
const MAX_MESSAGES_PER_TURN: usize = 256;

/// How often the log gets a summary.
const SUMMARY_INTERVAL: DurationMicros = 10_000_000;

/// The dispatcher of one node.
pub struct Dispatcher {
    clock: Clock,
    router: RequestRouter,
    directory: EndpointDirectory,
    replica_client: ReplicaClient,
    watch: EndpointWatcher,
    waiting_clients: WaitingClients,
    owners: RequestOwners,
    in_flight: InFlightAttempts,
    /// The stream whose first token the router is being told of; the router may bind it to its client.
    offered_stream: Option<StartedStream>,
    /// Commands of the router that have not been carried out.
    commands: Vec<RouterCommand>,
}

impl Dispatcher {
    /// A dispatcher around a router that has been told nothing yet. `known` is the endpoint list as the node last had it.
    pub fn new(
        clock: Clock,
        router: RequestRouter,
        directory: EndpointDirectory,
        replica_client: ReplicaClient,
        watch: EndpointWatcher,
        known: Option<SourceUpdate>,
    ) -> Self {
        let mut dispatcher = Dispatcher {
            clock,
            router,
            directory,
            replica_client,
            watch,
            waiting_clients: WaitingClients::default(),
            owners: RequestOwners::default(),
            in_flight: InFlightAttempts::default(),
            offered_stream: None,
            commands: Vec::new(),
        };
        let now = dispatcher.clock.now();
        dispatcher.replica_client.turn_clock().record_turn(now);
        // The scheduler begins with the first event that it gets. Without this one a node that knows no replica would ask for
        // the endpoint list with its first request only, and that request would wait for it.
        let no_change = RouterEvent::EndpointsChanged(Vec::new());
        dispatcher
            .router
            .handle_event(now, no_change, &mut dispatcher.commands);
        if let Some(update) = known {
            dispatcher.restore_endpoints(now, update);
        }
        dispatcher
    }

    /// Runs until every sender of messages is gone.
    pub async fn run(mut self, mut messages: mpsc::Receiver<DispatcherMessage>) {
        let mut batch = Vec::with_capacity(MAX_MESSAGES_PER_TURN);
        let mut next_summary = SUMMARY_INTERVAL;
        loop {
            let wake_at = self.next_timer().map(|at| self.clock.instant(at));
            // Both branches are cancel-safe: `recv_many` has taken nothing when it is dropped, and the sleep holds only a time.
            tokio::select! {
                count = messages.recv_many(&mut batch, MAX_MESSAGES_PER_TURN) => if count == 0 { return },
                () = sleep_until(wake_at) => {}
            }
            let now = self.clock.now();
            if self.replica_client.turn_clock().was_suspended(now) {
                self.recover_from_suspension(now, &mut batch);
            }
            self.replica_client.turn_clock().record_turn(now);
            for message in batch.drain(..) {
                self.handle_message(now, message);
            }
            self.run_timers(now);
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

    /// Tells the router of an event and carries out what follows.
    fn process_event(&mut self, now: MonotonicMicros, event: RouterEvent) {
        logging::log_event(&event);
        self.router.handle_event(now, event, &mut self.commands);
        self.execute_commands(now);
        // A stream that the router has not bound by now is not wanted; dropping it closes its channel.
        self.offered_stream = None;
    }

    fn set_budget_grants(&mut self, grants: &BudgetGrants) {
        self.watch.set_budget_grants(grants);
        self.router.set_budget_grants(grants);
    }

    fn update_settings(&mut self, settings: Rc<SiteSettings>, applied: Reply<()>) {
        match self.router.update_settings(settings.scheduler.clone()) {
            Ok(()) => self.replica_client.set_site(settings),
            Err(e) => tracing::error!(why = %e, "settings kept as they were"),
        }
        send_reply(applied, ());
    }

    fn set_response_deadline(&mut self, now: MonotonicMicros, limit: Duration) {
        let deadline = now.saturating_add(limit.as_micros() as DurationMicros);
        self.router.set_response_deadline(deadline);
    }
}

/// Sleeps until this time, or for ever without one.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Answers whoever waits for this reply.
fn send_reply<T>(reply: Reply<T>, answer: T) {
    // Whoever asked may have gone, and then nobody needs the answer.
    let _ = reply.send(answer);
}
