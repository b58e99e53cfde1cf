//! Model servers in the simulation: attempts, health checks and load reports.

use super::super::description::FleetDescription;
use super::super::model_server::{
    AttemptKey, ModelServer, ReportedLoad, RequestCounts, ServerJob, ServerOutput,
};
use super::super::time::MICROS_PER_MS;
use super::event::{Event, NodeNotice};
use super::submissions::AttemptProgress;
use super::{Route, ServerStatus, Simulation};
use crate::Micros;
use poppykeel_scheduler::{AttemptOutcome, EndpointState};
use rand_distr::{Distribution, LogNormal};

/// How long a failing server takes to answer a request with an error.
const ERROR_DELAY: Micros = 1_000;
/// The timeout of health checks.
const PROBE_TIMEOUT: Micros = 1_000_000;

/// A model server's process and its entry on the endpoint list.
pub(super) struct ServerProcess {
    pub(super) model: ModelServer,
    pub(super) zone: usize,
    /// Whether its process is running.
    pub(super) is_up: bool,
    /// Whether it answers every request with an error.
    pub(super) is_failing: bool,
    /// Whether it keeps sending its latest load report instead of a new one.
    pub(super) has_frozen_reports: bool,
    /// When it was last started during the run; `None` if it has run from the beginning.
    pub(super) started_at: Option<Micros>,
    pub(super) listed_state: EndpointState,
    last_report: ReportedLoad,
    last_report_at: Micros,
    /// The number of the current step plan. Timers of earlier plans are dropped.
    plan: u32,
}

impl ServerProcess {
    /// Creates a warm server that is running.
    pub(super) fn new(fleet: &FleetDescription, server: usize) -> Self {
        ServerProcess {
            model: ModelServer::new(fleet.server.clone()),
            zone: server % fleet.zones,
            is_up: true,
            is_failing: false,
            has_frozen_reports: false,
            started_at: None,
            listed_state: EndpointState::Available,
            last_report: ReportedLoad::default(),
            last_report_at: 0,
            plan: 0,
        }
    }

    pub(super) fn request_counts(&self) -> RequestCounts {
        self.model.request_counts()
    }

    pub(super) fn preemption_count(&self) -> u64 {
        self.model.preemption_count()
    }

    pub(super) fn status(&self) -> ServerStatus {
        ServerStatus {
            requests: self.request_counts(),
            is_up: self.is_up,
            listed_state: self.listed_state,
        }
    }
}

impl Simulation<'_> {
    /// Sends a notice about an attempt from a server to its node, unless the node can no longer receive it or has
    /// closed the attempt.
    pub(super) fn notify_node(&mut self, now: Micros, key: AttemptKey, notice: NodeNotice) {
        let Some(submission) = self.submissions.get_mut(key.request) else {
            return;
        };
        let node = submission.node;
        let Some(server_attempt) = submission.reachable_attempt(key.attempt) else {
            return;
        };
        let server = server_attempt.server;
        let latency = self.route_latency(Route { node, server });
        let at_node = Event::AtNode {
            node,
            generation: self.nodes[node].generation,
            request: key.request,
            notice,
        };
        self.queue.schedule(now + latency, at_node);
    }

    /// Notifies the node of an attempt that it has ended.
    pub(super) fn notify_node_of_end(
        &mut self,
        now: Micros,
        key: AttemptKey,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    ) {
        let notice = NodeNotice::AttemptEnded {
            attempt: key.attempt,
            outcome,
            load,
        };
        self.notify_node(now, key, notice);
    }

    pub(super) fn on_attempt_at_server(&mut self, now: Micros, server: usize, key: AttemptKey) {
        let Some(submission) = self.submissions.get_mut(key.request) else {
            return;
        };
        let request = &submission.request;
        let job = ServerJob {
            key,
            session: request.session,
            prefix: request.prefix,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
        };
        let Some(server_attempt) = submission.reachable_attempt(key.attempt) else {
            return;
        };
        if !self.servers[server].is_up {
            return self.notify_node_of_end(now, key, AttemptOutcome::ConnectFailed, None);
        }
        server_attempt.progress = AttemptProgress::Run;
        if key.attempt > 0 {
            self.recorder.outcome_mut().repeats += 1;
            if let Some(coordination) = &mut self.coordination {
                coordination.record_repeat(now);
            }
        }
        if self.servers[server].is_failing {
            let at = now + ERROR_DELAY;
            return self.notify_node_of_end(at, key, AttemptOutcome::ServerError, None);
        }
        if self.servers[server].model.enqueue(now, job) {
            self.schedule_server_timer(server);
        } else {
            if let Some(server_attempt) = self.submissions.reachable_attempt(key) {
                server_attempt.progress = AttemptProgress::NotRun;
            }
            let load = self.report_load(now, server);
            self.notify_node_of_end(now, key, AttemptOutcome::AtCapacity, Some(load));
        }
    }

    pub(super) fn on_cancel_at_server(&mut self, now: Micros, server: usize, key: AttemptKey) {
        self.servers[server].model.cancel(now, key);
        self.schedule_server_timer(server);
    }

    pub(super) fn on_probe_at_server(
        &mut self,
        now: Micros,
        node: usize,
        generation: u32,
        server: usize,
    ) {
        let route = Route { node, server };
        let process = &self.servers[server];
        let outcome = if self.is_route_partitioned(route) || process.model.is_stalled(now) {
            AttemptOutcome::TimedOut
        } else if !process.is_up {
            AttemptOutcome::ConnectFailed
        } else if process.is_failing {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Completed
        };
        let delay = if outcome == AttemptOutcome::TimedOut {
            PROBE_TIMEOUT
        } else {
            self.route_latency(route)
        };
        let load = if outcome == AttemptOutcome::Completed {
            Some(self.report_load(now, server))
        } else {
            None
        };
        let ended = Event::ProbeEnded {
            node,
            generation,
            server,
            outcome,
            load,
        };
        self.queue.schedule(now + delay, ended);
    }

    /// Returns a server's load report, with the maximum age and the error that the description of the run specifies.
    fn report_load(&mut self, now: Micros, server: usize) -> ReportedLoad {
        let fleet = &self.run.fleet;
        let process = &mut self.servers[server];
        let is_stale = now - process.last_report_at >= fleet.report_ms * MICROS_PER_MS;
        if is_stale && !process.has_frozen_reports {
            process.last_report_at = now;
            process.last_report = process.model.reported_load();
        }
        let load = process.last_report;
        if fleet.report_noise <= 0.0 {
            return load;
        }
        let noise = match LogNormal::new(0.0, fleet.report_noise) {
            Ok(distribution) => distribution.sample(&mut self.rng),
            Err(_) => 1.0,
        };
        ReportedLoad {
            queued_prompt_tokens: load.queued_prompt_tokens * noise,
            ..load
        }
    }

    pub(super) fn on_server_timer(&mut self, now: Micros, server: usize, plan: u32) {
        let process = &mut self.servers[server];
        if process.plan != plan {
            return;
        }
        let mut outputs = std::mem::take(&mut self.server_outputs);
        process.model.on_timer(now, &mut outputs);
        for gaps in process.model.take_token_gaps() {
            self.recorder.record_token_gaps(gaps.duration, gaps.count);
        }
        for output in outputs.drain(..) {
            self.on_server_output(now, server, output);
        }
        self.server_outputs = outputs;
        self.schedule_server_timer(server);
    }

    fn on_server_output(&mut self, now: Micros, server: usize, output: ServerOutput) {
        match output {
            ServerOutput::FirstToken(key) => {
                let attempt = key.attempt;
                self.notify_node(now, key, NodeNotice::FirstToken { attempt });
            }
            ServerOutput::Completed { key, cached_tokens } => {
                if let Some(submission) = self.submissions.get_mut(key.request) {
                    let prompt = &mut self.recorder.outcome_mut().prompt;
                    prompt.total += u64::from(submission.request.prompt_tokens);
                    prompt.cached += u64::from(cached_tokens);
                }
                let load = self.report_load(now, server);
                self.notify_node_of_end(now, key, AttemptOutcome::Completed, Some(load));
            }
        }
    }

    /// Schedules the next timer of a server and invalidates the previous one.
    pub(super) fn schedule_server_timer(&mut self, server: usize) {
        let process = &mut self.servers[server];
        process.plan += 1;
        if let Some(due) = process.model.next_timer() {
            let plan = process.plan;
            self.queue
                .schedule(due, Event::ServerTimer { server, plan });
        }
    }
}
