//! Nodes in the simulation: notices to them, and the execution of their commands.

use super::super::description::RepeatSafety;
use super::super::model_server::{AttemptKey, ReportedLoad};
use super::super::node::{replica_id, server_index, Node};
use super::super::request_trace::AttemptTrace;
use super::super::time::{micros, MICROS_PER_MS};
use super::event::{ClientNotice, Event, NodeNotice};
use super::submissions::{AttemptProgress, ServerAttempt, Submission};
use super::{node_seed, Route, Simulation};
use crate::Micros;
use poppykeel::routing::{RouterCommand, RouterEvent};
use poppykeel_scheduler::{AttemptOutcome, IncomingRequest, LoadReport, ReplicaId, RequestId};

/// How long a node may still send requests to a draining server, in addition to the delay of the endpoint list.
const DRAIN_GRACE: Micros = 500_000;

impl Simulation<'_> {
    /// Passes an event to a process of a node and executes the resulting commands. The event is dropped if the process
    /// has ended.
    pub(super) fn deliver_to_node(
        &mut self,
        now: Micros,
        node: usize,
        generation: u32,
        event: RouterEvent,
    ) {
        if self.nodes[node].generation == generation {
            self.nodes[node].handle_event(now, event, &mut self.commands);
            self.execute_commands(now, node);
        }
    }

    pub(super) fn on_node_timer(&mut self, now: Micros, node: usize, generation: u32) {
        let process = &mut self.nodes[node];
        if process.generation == generation && process.is_up {
            process.scheduled_timer = None;
            process.on_timer(now, &mut self.commands);
            self.execute_commands(now, node);
        }
    }

    pub(super) fn on_node_notice(
        &mut self,
        now: Micros,
        node: usize,
        generation: u32,
        request: RequestId,
        notice: NodeNotice,
    ) {
        if self.nodes[node].generation != generation {
            return;
        }
        match notice {
            NodeNotice::Arrived => self.on_request_at_node(now, node, generation, request),
            NodeNotice::ClientLeft => {
                self.deliver_to_node(
                    now,
                    node,
                    generation,
                    RouterEvent::ClientDisconnected(request),
                );
                self.submissions.remove_if_finished(request);
            }
            NodeNotice::FirstToken { attempt } => {
                let key = AttemptKey { request, attempt };
                let Some(server_attempt) = self.submissions.reachable_attempt(key) else {
                    return;
                };
                server_attempt.progress = AttemptProgress::Streaming;
                let first_token = RouterEvent::FirstToken { request, attempt };
                self.deliver_to_node(now, node, generation, first_token);
            }
            NodeNotice::AttemptEnded {
                attempt,
                outcome,
                load,
            } => {
                let key = AttemptKey { request, attempt };
                self.on_attempt_ended(now, node, generation, key, outcome, load);
            }
        }
    }

    pub(super) fn on_probe_ended(
        &mut self,
        now: Micros,
        node: usize,
        generation: u32,
        server: usize,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    ) {
        let ended = RouterEvent::ProbeEnded {
            replica: replica_id(server),
            outcome,
            report: load.map(load_report),
        };
        self.deliver_to_node(now, node, generation, ended);
    }

    fn on_request_at_node(&mut self, now: Micros, node: usize, generation: u32, id: RequestId) {
        let run = self.run;
        let Some(submission) = self.submissions.get_open(id) else {
            return;
        };
        let request = &submission.request;
        let class = &run.class[request.class];
        let waited_s = (now - submission.sent_at) as f64 / 1e6;
        let has_prefix = request.prefix.tokens > 0;
        let incoming = IncomingRequest {
            id,
            class: request.class,
            tenant: request.tenant,
            session: Some(request.session),
            shared_prefix: has_prefix.then_some(request.prefix.id),
            time_left: class.deadline_s - waited_s,
            expected_work: None,
            prompt_tokens: u64::from(request.prompt_tokens),
            shared_prefix_tokens: u64::from(request.prefix.tokens),
            max_output_tokens: u64::from(class.answer_limit),
            is_client_retry: request.submission_count > 1,
        };
        self.deliver_to_node(now, node, generation, RouterEvent::RequestArrived(incoming));
    }

    fn on_attempt_ended(
        &mut self,
        now: Micros,
        node: usize,
        generation: u32,
        key: AttemptKey,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    ) {
        let AttemptKey { request, attempt } = key;
        let Some(submission) = self.submissions.get_mut(request) else {
            return;
        };
        let Some(server_attempt) = submission.open_attempt(attempt) else {
            return;
        };
        server_attempt.is_closed = true;
        let server = server_attempt.server;
        let was_streaming = server_attempt.is_streaming();
        if let Some(trace) = submission.attempt_traces.get_mut(attempt) {
            trace.ended = Some(outcome_name(outcome));
        }
        let is_bound = submission.bound_attempt == Some(attempt);
        let is_completed = outcome == AttemptOutcome::Completed;
        if is_completed {
            self.return_connection(Route { node, server });
        }
        let ended = RouterEvent::AttemptEnded {
            request,
            attempt,
            outcome,
            report: load.map(load_report),
        };
        self.deliver_to_node(now, node, generation, ended);
        if is_bound && was_streaming {
            let notice = if is_completed {
                ClientNotice::Completed
            } else {
                ClientNotice::Broken
            };
            self.send_to_client(now, request, notice);
        }
        self.submissions.remove_if_finished(request);
    }

    /// Executes the commands of a node, and schedules its next timer.
    fn execute_commands(&mut self, now: Micros, node: usize) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            self.execute_command(now, node, &command);
        }
        self.commands = commands;
        let process = &mut self.nodes[node];
        let Some(due) = process.next_timer() else {
            return;
        };
        if process
            .scheduled_timer
            .is_none_or(|scheduled_timer| due < scheduled_timer)
        {
            process.scheduled_timer = Some(due);
            let generation = process.generation;
            self.queue
                .schedule(due, Event::NodeTimer { node, generation });
        }
    }

    fn execute_command(&mut self, now: Micros, node: usize, command: &RouterCommand) {
        match *command {
            RouterCommand::StartAttempt {
                request,
                attempt,
                replica,
                ..
            } => {
                let key = AttemptKey { request, attempt };
                self.start_attempt(now, node, key, server_index(replica));
            }
            RouterCommand::AbandonAttempt { request, attempt } => {
                self.abandon_attempt(now, AttemptKey { request, attempt });
            }
            RouterCommand::BindStream { request, attempt } => {
                self.count_final_answer(request);
                if let Some(submission) = self.submissions.get_mut(request) {
                    submission.bound_attempt = Some(attempt);
                    self.send_to_client(now, request, ClientNotice::FirstToken);
                }
            }
            RouterCommand::Reject {
                request,
                retry_after,
            } => {
                self.count_final_answer(request);
                self.send_to_client(now, request, ClientNotice::Rejected { retry_after });
            }
            RouterCommand::Fail { request } => {
                self.count_final_answer(request);
                self.send_to_client(now, request, ClientNotice::Failed);
            }
            RouterCommand::Probe { replica } => self.send_probe(now, node, replica),
            RouterCommand::WatchEndpoints => {}
        }
    }

    /// Counts the final answer of a node to a submission, or the beginning of it. A second one violates an invariant.
    fn count_final_answer(&mut self, request: RequestId) {
        let Some(submission) = self.submissions.get_mut(request) else {
            return;
        };
        if submission.is_answered {
            self.recorder.outcome_mut().broken.doubled += 1;
        }
        submission.is_answered = true;
    }

    /// Sends a notice from a node to its client, with the latency inside a zone.
    fn send_to_client(&mut self, now: Micros, request: RequestId, notice: ClientNotice) {
        self.queue.schedule(
            now + self.run.fleet.near_us,
            Event::AtClient { request, notice },
        );
    }

    fn send_probe(&mut self, now: Micros, node: usize, replica: ReplicaId) {
        let server = server_index(replica);
        self.recorder.outcome_mut().probes += 1;
        let latency = self.route_latency(Route { node, server });
        let probe = Event::ProbeAtServer {
            node,
            generation: self.nodes[node].generation,
            server,
        };
        self.queue.schedule(now + latency, probe);
    }

    /// Sends an attempt to a server, over an idle connection if there is one.
    fn start_attempt(&mut self, now: Micros, node: usize, key: AttemptKey, server: usize) {
        let route = Route { node, server };
        let is_partitioned = self.is_route_partitioned(route);
        let is_connected = self.take_connection(route);
        self.count_attempt(now, route, is_connected);
        let Some(submission) = self.submissions.get_mut(key.request) else {
            return;
        };
        let must_run_once =
            self.run.class[submission.request.class].repeats == RepeatSafety::Unsafe;
        if must_run_once && submission.attempts.iter().any(ServerAttempt::may_have_run) {
            self.recorder.outcome_mut().broken.repeated += 1;
        }
        record_attempt(submission, now, server, is_partitioned);
        debug_assert_eq!(submission.attempts.len(), key.attempt + 1);
        let latency = self.route_latency(route);
        if is_partitioned {
            let timeout = micros(self.run.fleet.dial_s);
            self.schedule_connect_failure(now + timeout, node, key);
        } else if self.servers[server].is_up {
            let connect_time = if is_connected {
                0
            } else {
                2 * latency + self.run.fleet.connect_us
            };
            self.queue.schedule(
                now + latency + connect_time,
                Event::AttemptAtServer { server, key },
            );
        } else {
            self.idle_connections.insert(route, 0);
            self.schedule_connect_failure(now + 2 * latency, node, key);
        }
    }

    fn count_attempt(&mut self, now: Micros, route: Route, is_connected: bool) {
        let node = &self.nodes[route.node];
        let grace = DRAIN_GRACE + self.run.fleet.list_ms * MICROS_PER_MS;
        let is_drain_violation = node.drain_known_since[route.server]
            .is_some_and(|known_since| now > known_since + grace);
        let crosses_zones = node.zone != self.servers[route.server].zone;
        let outcome = self.recorder.outcome_mut();
        outcome.attempts += 1;
        outcome.crossed += u64::from(crosses_zones);
        outcome.connected += u64::from(!is_connected);
        outcome.broken.drained += u64::from(is_drain_violation);
    }

    /// Takes an idle connection. Returns false if there is none, so that a new one is needed.
    fn take_connection(&mut self, route: Route) -> bool {
        let idle_count = self.idle_connections.entry(route).or_default();
        if *idle_count == 0 {
            return false;
        }
        *idle_count -= 1;
        true
    }

    /// Returns the connection of a completed attempt to the idle ones, unless the limit is reached.
    fn return_connection(&mut self, route: Route) {
        let idle_count = self.idle_connections.entry(route).or_default();
        *idle_count = (*idle_count + 1).min(self.run.fleet.idle);
    }

    fn schedule_connect_failure(&mut self, at: Micros, node: usize, key: AttemptKey) {
        let failed = Event::AtNode {
            node,
            generation: self.nodes[node].generation,
            request: key.request,
            notice: NodeNotice::AttemptEnded {
                attempt: key.attempt,
                outcome: AttemptOutcome::ConnectFailed,
                load: None,
            },
        };
        self.queue.schedule(at, failed);
    }

    fn abandon_attempt(&mut self, now: Micros, key: AttemptKey) {
        let Some(submission) = self.submissions.get_mut(key.request) else {
            return;
        };
        let node = submission.node;
        let Some(server_attempt) = submission.open_attempt(key.attempt) else {
            return;
        };
        server_attempt.is_closed = true;
        let server = server_attempt.server;
        let latency = self.route_latency(Route { node, server });
        self.queue
            .schedule(now + latency, Event::CancelAtServer { server, key });
        self.submissions.remove_if_finished(key.request);
    }

    /// Creates a new process for a node whose earlier processes have ended.
    pub(super) fn new_process(&self, node: usize) -> Option<Node> {
        let generation = self.nodes[node].generation;
        let seed = node_seed(self.seed, node) ^ u64::from(generation);
        // `Simulation::new` has checked the settings.
        Node::new(self.run, node, self.policy, seed).ok()
    }
}

fn record_attempt(submission: &mut Submission, now: Micros, server: usize, is_disconnected: bool) {
    submission.attempts.push(ServerAttempt {
        server,
        progress: AttemptProgress::NotRun,
        is_closed: false,
        is_disconnected,
    });
    submission.attempt_traces.push(AttemptTrace {
        server: server as u32,
        sent: now,
        ended: None,
    });
}

/// Converts a server's report to the type that nodes receive.
fn load_report(load: ReportedLoad) -> LoadReport {
    LoadReport {
        queued_prompt_tokens: Some(load.queued_prompt_tokens),
        memory_utilization: Some(load.memory_utilization),
        ..LoadReport::default()
    }
}

/// The name of an outcome in traces.
fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Completed => "served",
        AttemptOutcome::ServerError => "error",
        AttemptOutcome::AtCapacity => "full",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::ConnectFailed => "connect-failed",
        AttemptOutcome::ConnectionReset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "moot",
        AttemptOutcome::InvalidRequest => "rejected",
    }
}
