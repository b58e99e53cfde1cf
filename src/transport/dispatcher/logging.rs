//! The dispatcher's log output: events and commands at level `debug`, endpoint list changes and summaries at level `info`.
//! `poppykeel streams` and the testbed's view parse the summaries and the list changes.

use super::Dispatcher;
use crate::routing::directory::EndpointChange;
use crate::routing::{DurationMicros, MonotonicMicros, RouterCommand, RouterEvent};
use poppykeel_scheduler::{DispatchWork, EndpointState};

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// An iteration of the event loop that takes longer than this is logged, in microseconds. The node does nothing else
/// meanwhile.
const SLOW_ITERATION: DurationMicros = 100_000;

/// The state at the start of an iteration of the event loop.
pub(super) struct IterationStart {
    pub(super) at: MonotonicMicros,
    /// Number of messages to be handled in the iteration.
    pub(super) messages: usize,
    pub(super) work: DispatchWork,
}

impl Dispatcher {
    /// Logs an iteration of the event loop that took long, with the work that the scheduler did in it.
    pub(super) fn log_slow_iteration(&self, start: &IterationStart) {
        let duration = self.clock.now().saturating_sub(start.at);
        if duration <= SLOW_ITERATION {
            return;
        }
        let work = self.router.dispatch_work();
        tracing::warn!(
            duration_ms = duration / MICROS_PER_MILLI,
            messages = start.messages,
            queue_turns = work.queue_turns - start.work.queue_turns,
            placements = work.placements - start.work.placements,
            queued_by_tenant = ?self.router.gauges().queued_by_tenant,
            active = self.router.active_count(),
            "slow iteration of the event loop: no client or replica was served meanwhile"
        );
    }

    /// Logs counters since the start and current gauges, then the same for streams.
    pub(super) fn log_summary(&self) {
        let counters = self.router.counters();
        let gauges = self.router.gauges();
        tracing::info!(
            uptime_s = self.clock.now() / MICROS_PER_SECOND,
            concurrency_limit = (gauges.concurrency_limit * 10.0).round() / 10.0,
            in_flight = gauges.in_flight,
            queued_by_tenant = ?gauges.queued_by_tenant,
            active = self.router.active_count(),
            replicas = gauges.replica_count,
            connections = self.replica_client.open_connection_count(),
            arrived = counters.arrived,
            completed = counters.completed,
            rejected = counters.rejected,
            failed = counters.failed,
            broken = counters.broken,
            disconnected = counters.disconnected,
            attempts_started = counters.attempts_started,
            failed_attempts = ?counters.failed_attempts,
            reports_passed_over = crate::protocol::load_report::ignored_value_count(),
            "summary"
        );
        self.replica_client
            .stream_monitor()
            .log_summary(|replica| self.directory.name(replica).map(String::from));
    }
}

/// Logs each change of the endpoint list with the source that caused it.
pub(super) fn log_endpoint_changes(source: &str, changes: &[EndpointChange]) {
    for EndpointChange { endpoint, name } in changes {
        tracing::info!(source, replica = %endpoint.id.0, name, state = %state_label(endpoint.state), "list changed");
    }
}

pub(super) fn log_event(event: &RouterEvent) {
    match event {
        RouterEvent::RequestArrived(request) => tracing::debug!(
            request = %request.id,
            class = request.class,
            tenant = request.tenant,
            session = request.session,
            shared_prefix = request.shared_prefix,
            prompt_tokens = request.prompt_tokens,
            shared_prefix_tokens = request.shared_prefix_tokens,
            "request arrived"
        ),
        RouterEvent::ClientDisconnected(request) => {
            tracing::debug!(%request, "client disconnected");
        }
        RouterEvent::FirstToken { request, attempt } => {
            tracing::debug!(%request, attempt, "first token arrived");
        }
        RouterEvent::AttemptEnded {
            request,
            attempt,
            outcome,
            report,
        } => {
            tracing::debug!(%request, attempt, ?outcome, ?report, "attempt ended");
        }
        RouterEvent::ProbeEnded {
            replica,
            outcome,
            report,
        } => {
            tracing::debug!(replica = %replica.0, ?outcome, ?report, "probe ended");
        }
        RouterEvent::EndpointsReplaced(endpoints) => {
            tracing::debug!(endpoints = endpoints.len(), "endpoints replaced");
        }
        RouterEvent::EndpointsChanged(endpoints) => {
            tracing::debug!(endpoints = endpoints.len(), "endpoints changed");
        }
        RouterEvent::EndpointListFailed => tracing::debug!("discovery delivered no endpoint list"),
        RouterEvent::EndpointListStatusChanged(status) => {
            tracing::debug!(?status, "endpoint list status changed");
        }
        RouterEvent::OutlierAdvice {
            replica,
            is_healthy,
        } => {
            tracing::debug!(replica = %replica.0, is_healthy, "outlier verdict on a replica received from the fleet");
        }
    }
}

pub(super) fn log_command(command: &RouterCommand) {
    match command {
        RouterCommand::StartAttempt {
            request,
            attempt,
            replica,
            deadline,
            write_by,
        } => {
            tracing::debug!(%request, attempt, replica = %replica.0, deadline, ?write_by, "starting an attempt");
        }
        RouterCommand::AbandonAttempt { request, attempt } => {
            tracing::debug!(%request, attempt, "abandoning an attempt");
        }
        RouterCommand::BindStream { request, attempt } => {
            tracing::debug!(%request, attempt, "binding a stream to the client");
        }
        RouterCommand::Reject {
            request,
            retry_after,
        } => {
            tracing::debug!(%request, retry_after, "rejecting the request");
        }
        RouterCommand::Fail { request } => tracing::debug!(%request, "failing the request"),
        RouterCommand::Probe { replica } => {
            tracing::debug!(replica = %replica.0, "starting a probe");
        }
        RouterCommand::WatchEndpoints => tracing::debug!("starting to poll the endpoint list"),
    }
}

/// The endpoint state's name in the log. Log readers and the recorded exchanges depend on it.
fn state_label(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Available => "Up",
        EndpointState::Draining => "Draining",
        EndpointState::Removed => "Gone",
    }
}
