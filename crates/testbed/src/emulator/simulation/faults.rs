//! The faults of a run: how each kind begins, repeats and ends.

use super::super::description::{FaultDescription, FaultKind};
use super::super::model_server::AttemptKey;
use super::super::outcome::RequestEnd;
use super::super::time::{micros, MICROS_PER_MS};
use super::event::{Event, FaultEvent, NodeNotice};
use super::submissions::Submission;
use super::{Route, Simulation};
use crate::Micros;
use poppykeel_scheduler::{AttemptOutcome, EndpointState, RequestId};
use std::ops::Range;

/// How long a server that is restarted stays down. Servers that crash with [`FaultKind::Die`] stay down until the end of
/// the fault instead.
const RESTART_DELAY: Micros = 1_000_000;
/// The interval between the stalls of a fault that stalls servers repeatedly.
const STALL_INTERVAL: Micros = 2_000_000;
/// How long a client waits before it retries after its node has crashed.
const NODE_FAILURE_RETRY_DELAY: Micros = 100_000;

/// An attempt that a network partition has disconnected from its node.
struct DisconnectedAttempt {
    key: AttemptKey,
    is_streaming: bool,
}

/// The indexes of the first `fraction` of `count` items, rounded up.
fn affected_range(count: usize, fraction: f64) -> Range<usize> {
    0..((count as f64 * fraction).ceil() as usize).min(count)
}

impl<'a> Simulation<'a> {
    pub(super) fn on_fault_event(&mut self, now: Micros, event: FaultEvent) {
        match event {
            FaultEvent::Begin { fault } => self.begin_fault(now, fault),
            FaultEvent::End { fault } => self.end_fault(now, fault),
            FaultEvent::NextStall { fault, until } => self.stall_repeatedly(now, fault, until),
            FaultEvent::StartServer { server } => self.start_server(now, server),
            FaultEvent::DeployWave {
                fault,
                first_server,
            } => self.deploy_wave(now, fault, first_server),
        }
    }

    fn begin_fault(&mut self, now: Micros, index: usize) {
        let fault = self.fault(index);
        let servers = self.affected_servers(fault);
        let until = micros(fault.at_s + fault.for_s);
        match fault.what {
            FaultKind::Die => servers.for_each(|server| self.stop_server(now, server)),
            FaultKind::ColdRestart => servers.for_each(|server| self.restart_server(now, server)),
            FaultKind::Silent => servers.for_each(|server| self.stall_server(now, server, until)),
            FaultKind::Stall => self.stall_repeatedly(now, index, until),
            FaultKind::FailFast => self.set_failing(servers, true),
            FaultKind::LateReports => self.set_frozen_reports(servers, true),
            FaultKind::Slow => self.set_slowdown(now, servers, fault.size),
            FaultKind::Burst => self.clients.set_burst_factor(fault.tenant, fault.size),
            FaultKind::ZoneCut => self.partition_zone(now, fault.zone),
            FaultKind::NoList => self.is_endpoint_list_frozen = true,
            FaultKind::NodeKill => {
                for node in affected_range(self.nodes.len(), fault.part) {
                    self.stop_node(now, node);
                }
            }
            FaultKind::Deploys => self.deploy_wave(now, index, 0),
        }
    }

    fn end_fault(&mut self, now: Micros, index: usize) {
        let fault = self.fault(index);
        let servers = self.affected_servers(fault);
        match fault.what {
            FaultKind::Die => servers.for_each(|server| self.start_server(now, server)),
            FaultKind::FailFast => self.set_failing(servers, false),
            FaultKind::LateReports => self.set_frozen_reports(servers, false),
            FaultKind::Slow => self.set_slowdown(now, servers, 1.0),
            FaultKind::Burst => self.clients.set_burst_factor(fault.tenant, 1.0),
            FaultKind::ZoneCut => self.partitioned_zone = None,
            FaultKind::NoList => {
                self.is_endpoint_list_frozen = false;
                // Nodes reconnect and receive the full list, with all changes that they have missed.
                for node in 0..self.nodes.len() {
                    self.send_full_list(node);
                }
            }
            FaultKind::NodeKill => {
                for node in affected_range(self.nodes.len(), fault.part) {
                    self.start_node(node);
                }
            }
            // Events that these faults have scheduled end them.
            FaultKind::Silent | FaultKind::Stall | FaultKind::ColdRestart | FaultKind::Deploys => {}
        }
    }

    fn fault(&self, index: usize) -> &'a FaultDescription {
        &self.run.fault[index]
    }

    fn affected_servers(&self, fault: &FaultDescription) -> Range<usize> {
        affected_range(self.servers.len(), fault.part)
    }

    fn set_failing(&mut self, servers: Range<usize>, is_failing: bool) {
        for server in &mut self.servers[servers] {
            server.is_failing = is_failing;
        }
    }

    fn set_frozen_reports(&mut self, servers: Range<usize>, has_frozen_reports: bool) {
        for server in &mut self.servers[servers] {
            server.has_frozen_reports = has_frozen_reports;
        }
    }

    fn set_slowdown(&mut self, now: Micros, servers: Range<usize>, factor: f64) {
        for server in servers {
            self.servers[server].model.set_slowdown(now, factor);
            self.schedule_server_timer(server);
        }
    }

    /// Stops a server's process: its connections are reset, and it is removed from the endpoint list after `notice_ms`.
    fn stop_server(&mut self, now: Micros, server: usize) {
        if !self.servers[server].is_up {
            return;
        }
        self.servers[server].is_up = false;
        for key in self.servers[server].model.crash() {
            self.notify_node_of_end(now, key, AttemptOutcome::ConnectionReset, None);
        }
        self.schedule_server_timer(server);
        let noticed_at = now + self.run.fleet.notice_ms * MICROS_PER_MS;
        self.set_listed_state(noticed_at, server, EndpointState::Removed);
    }

    fn start_server(&mut self, now: Micros, server: usize) {
        let process = &mut self.servers[server];
        if process.is_up {
            return;
        }
        process.is_up = true;
        process.started_at = Some(now);
        process.model.start(now);
        self.set_listed_state(now, server, EndpointState::Available);
    }

    fn restart_server(&mut self, now: Micros, server: usize) {
        self.stop_server(now, server);
        self.queue.schedule(
            now + RESTART_DELAY,
            Event::Fault(FaultEvent::StartServer { server }),
        );
    }

    /// Stalls a server until a time. Nodes close its streams if the stall is longer than their stream timeout.
    fn stall_server(&mut self, now: Micros, server: usize, until: Micros) {
        self.servers[server].model.stall(now, until);
        self.schedule_server_timer(server);
        let times_out_at = now + micros(self.run.fleet.silence_s);
        if until > times_out_at {
            for answer in self.servers[server].model.answers_in_progress() {
                let timeout = Event::StreamTimeout { key: answer.key };
                self.queue.schedule(times_out_at, timeout);
            }
        }
    }

    /// Stalls servers for the size of the fault, and again every [`STALL_INTERVAL`] until a time.
    fn stall_repeatedly(&mut self, now: Micros, index: usize, until: Micros) {
        let fault = self.fault(index);
        let stall_end = (now + micros(fault.size)).min(until);
        for server in self.affected_servers(fault) {
            self.stall_server(now, server, stall_end);
        }
        let next_at = now + STALL_INTERVAL;
        if next_at < until {
            let next = FaultEvent::NextStall {
                fault: index,
                until,
            };
            self.queue.schedule(next_at, Event::Fault(next));
        }
    }

    /// Ends a stream on its node after the stream timeout, during which the server has sent nothing.
    pub(super) fn on_stream_timeout(&mut self, now: Micros, key: AttemptKey) {
        let Some(submission) = self.submissions.get_mut(key.request) else {
            return;
        };
        let node = submission.node;
        let Some(server_attempt) = submission.open_attempt(key.attempt) else {
            return;
        };
        if !server_attempt.is_streaming() {
            return;
        }
        let server = server_attempt.server;
        // Notices from the server that are still in flight are dropped.
        server_attempt.is_disconnected = true;
        let timed_out = Event::AtNode {
            node,
            generation: self.nodes[node].generation,
            request: key.request,
            notice: NodeNotice::AttemptEnded {
                attempt: key.attempt,
                outcome: AttemptOutcome::TimedOut,
                load: None,
            },
        };
        self.queue.schedule(now, timed_out);
        self.queue
            .schedule(now, Event::CancelAtServer { server, key });
    }

    /// Partitions a zone from the others. Data in flight across the partition is lost; nodes close the streams
    /// across it after the stream timeout.
    fn partition_zone(&mut self, now: Micros, zone: usize) {
        self.partitioned_zone = Some(zone);
        let times_out_at = now + micros(self.run.fleet.silence_s);
        for DisconnectedAttempt { key, is_streaming } in self.attempts_across_partition() {
            if let Some(submission) = self.submissions.get_mut(key.request) {
                submission.attempts[key.attempt].is_disconnected = true;
            }
            if is_streaming {
                self.queue
                    .schedule(times_out_at, Event::StreamTimeout { key });
            }
        }
    }

    fn attempts_across_partition(&self) -> Vec<DisconnectedAttempt> {
        let mut across = Vec::new();
        for submission in self.submissions.iter() {
            for (attempt, server_attempt) in submission.attempts.iter().enumerate() {
                let route = Route {
                    node: submission.node,
                    server: server_attempt.server,
                };
                if !server_attempt.is_closed && self.is_route_partitioned(route) {
                    across.push(DisconnectedAttempt {
                        key: AttemptKey {
                            request: submission.id,
                            attempt,
                        },
                        is_streaming: server_attempt.is_streaming(),
                    });
                }
            }
        }
        across
    }

    /// Stops a node's process and ends all submissions that it had accepted.
    fn stop_node(&mut self, now: Micros, node: usize) {
        let process = &mut self.nodes[node];
        if !process.is_up {
            return;
        }
        process.is_up = false;
        process.generation += 1;
        self.stop_coordination(node);
        let is_on_node = |submission: &&Submission| submission.node == node;
        let accepted = self
            .submissions
            .iter()
            .filter(is_on_node)
            .map(|accepted| accepted.id);
        let accepted: Vec<RequestId> = accepted.collect();
        for request in accepted {
            self.drop_submission_of_stopped_node(now, request);
        }
    }

    fn drop_submission_of_stopped_node(&mut self, now: Micros, request: RequestId) {
        let Some(submission) = self.submissions.get_mut(request) else {
            return;
        };
        let has_first_token = submission.first_token_at.is_some();
        for (attempt, server_attempt) in submission.attempts.iter_mut().enumerate() {
            if server_attempt.is_closed {
                continue;
            }
            server_attempt.is_closed = true;
            let cancel = Event::CancelAtServer {
                server: server_attempt.server,
                key: AttemptKey { request, attempt },
            };
            self.queue.schedule(now + self.run.fleet.near_us, cancel);
        }
        let end = if has_first_token {
            RequestEnd::Broken
        } else {
            RequestEnd::Failed
        };
        self.end_submission(now, request, end, NODE_FAILURE_RETRY_DELAY);
        self.submissions.remove_if_finished(request);
    }

    /// Starts a new process for a node that has stopped.
    fn start_node(&mut self, node: usize) {
        if self.nodes[node].is_up {
            return;
        }
        if let Some(mut process) = self.new_process(node) {
            process.generation = self.nodes[node].generation;
            self.nodes[node] = process;
            self.send_full_list(node);
            self.start_coordination(node);
        }
    }

    /// Drains the servers of the next wave, and restarts those of the previous one.
    fn deploy_wave(&mut self, now: Micros, index: usize, first_server: usize) {
        let fault = self.fault(index);
        let server_count = self.servers.len();
        let wave_size = self.affected_servers(fault).len().max(1);
        let previous_wave = first_server.saturating_sub(wave_size)..first_server;
        for server in previous_wave.filter(|server| *server < server_count) {
            self.restart_server(now, server);
        }
        for server in first_server..(first_server + wave_size).min(server_count) {
            self.set_listed_state(now, server, EndpointState::Draining);
        }
        if first_server < server_count {
            let next = FaultEvent::DeployWave {
                fault: index,
                first_server: first_server + wave_size,
            };
            self.queue
                .schedule(now + micros(fault.size), Event::Fault(next));
        }
    }
}
