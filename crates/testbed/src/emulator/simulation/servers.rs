//! The side of servers: attempts, health checks and load reports.

use super::super::description::FleetDescription;
use super::super::model_server::{
    AttemptKey, ModelServer, ReportedLoad, RequestCounts, ServerJob, ServerOutput,
};
use super::super::time::MICROS_PER_MS;
use super::event::{Event, NodeNotice};
use super::tries::AttemptProgress;
use super::{Route, ServerStatus, Simulation};
use crate::Micros;
use poppykeel_scheduler::{AttemptOutcome, EndpointState};
use rand_distr::{Distribution, LogNormal};

/// How long a server takes to answer a request with an error while it fails.
const ERROR_DELAY: Micros = 1_000;
/// When a node gives up a health check that nobody answers.
const PROBE_TIMEOUT: Micros = 1_000_000;

/// A server's process and what the endpoint list says of it.
pub(super) struct ServerProcess {
    pub(super) model: ModelServer,
    pub(super) zone: usize,
    /// Whether its process runs.
    pub(super) is_up: bool,
    /// It answers every request with an error.
    pub(super) is_failing: bool,
    /// Its load reports no longer change.
    pub(super) has_frozen_reports: bool,
    /// When it was started during the run.
    pub(super) started_at: Option<Micros>,
    pub(super) listed_state: EndpointState,
    last_report: ReportedLoad,
    last_report_at: Micros,
    /// Counts the plans of its steps: timers of earlier ones are dropped.
    plan: u32,
}

impl ServerProcess {
    /// A server of the fleet that runs and is warm.
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
    /// A server tells a node of an attempt, unless the node cannot hear of it or does not want to.
    pub(super) fn notify_node(&mut self, now: Micros, key: AttemptKey, notice: NodeNotice) {
        let Some(client_try) = self.tries.get_mut(key.request) else {
            return;
        };
        let node = client_try.node;
        let Some(server_attempt) = client_try.reachable_attempt(key.attempt) else {
            return;
        };
        let server = server_attempt.server;
        let latency = self.route_latency(Route { node, server });
        let at_node = Event::AtNode {
            node,
            epoch: self.nodes[node].epoch,
            request: key.request,
            notice,
        };
        self.queue.schedule(now + latency, at_node);
    }

    /// A server tells a node that an attempt has ended.
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
        let Some(client_try) = self.tries.get_mut(key.request) else {
            return;
        };
        let request = &client_try.request;
        let job = ServerJob {
            key,
            session: request.session,
            prefix: request.prefix,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
        };
        let Some(server_attempt) = client_try.reachable_attempt(key.attempt) else {
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
            if let Some(server_attempt) = self.tries.reachable_attempt(key) {
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
        epoch: u32,
        server: usize,
    ) {
        let route = Route { node, server };
        let process = &self.servers[server];
        let outcome = if self.is_route_cut(route) || process.model.is_stalled(now) {
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
            epoch,
            server,
            outcome,
            load,
        };
        self.queue.schedule(now + delay, ended);
    }

    /// A server's load report: as old and as wrong as the description allows.
    fn report_load(&mut self, now: Micros, server: usize) -> ReportedLoad {
        let fleet = &self.run.fleet;
        let process = &mut self.servers[server];
        let is_outdated = now - process.last_report_at >= fleet.report_ms * MICROS_PER_MS;
        if is_outdated && !process.has_frozen_reports {
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
                if let Some(client_try) = self.tries.get_mut(key.request) {
                    let prompt = &mut self.recorder.outcome_mut().prompt;
                    prompt.total += u64::from(client_try.request.prompt_tokens);
                    prompt.cached += u64::from(cached_tokens);
                }
                let load = self.report_load(now, server);
                self.notify_node_of_end(now, key, AttemptOutcome::Completed, Some(load));
            }
        }
    }

    /// Schedules the next timer of a server, in place of the one before.
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
