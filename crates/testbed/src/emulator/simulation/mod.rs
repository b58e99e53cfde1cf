//! Discrete-event simulation of one run, in whole microseconds.
//!
//! A [`Simulation`] has the clients, nodes, model servers and network of a run, and one event queue. It is
//! single-threaded and depends only on its description, policy and seed: the same three give identical bytes of results
//! and traces. The order in which events are scheduled and random numbers are drawn is therefore part of its behaviour.
//! Each file has the handlers of one component:
//!
//! - [`event`]: the events; [`submissions`]: the requests that clients have sent to nodes.
//! - [`clients`]: arrivals, retries, and the end of submissions.
//! - [`nodes`]: notices to nodes, and their commands.
//! - [`servers`]: attempts and health checks at servers, and their load reports.
//! - [`endpoints`]: the endpoint list as nodes receive it.
//! - [`faults`]: the injected faults.
//! - [`coordination`]: leases and budgets of the nodes.

mod clients;
mod coordination;
mod endpoints;
mod event;
mod faults;
mod nodes;
mod servers;
mod submissions;

use super::clients::ClientPopulation;
use super::coordination::{Coordination, CoordinationCommand};
use super::description::RunDescription;
use super::event_queue::EventQueue;
use super::model_server::{RequestCounts, ServerOutput};
use super::node::Node;
use super::outcome::RunOutcome;
use super::outcome_recorder::{OutcomeRecorder, ServerOccupancy};
use super::policies::Policy;
use super::request_trace::{TraceError, TraceWriter};
use super::time::micros;
use crate::Micros;
use event::{Event, FaultEvent};
use poppykeel::routing::RouterCommand;
use poppykeel_scheduler::{EndpointState, SettingsError};
use rand::SeedableRng;
use servers::ServerProcess;
use std::collections::HashMap;
use submissions::SubmissionTable;

/// The maximum duration of a run after the last arrival, so that requests in flight may end.
const MAX_TIME_AFTER_LOAD: Micros = 60_000_000;
/// Events that [`Simulation::finish`] processes at a time.
const EVENTS_PER_BATCH: u64 = 1 << 20;

/// A run failed.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// The scheduler rejected the settings of the run.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The trace of the run could not be written.
    #[error(transparent)]
    Trace(#[from] TraceError),
}

/// The state of a server, for the view.
#[derive(Clone, Copy, Debug)]
pub struct ServerStatus {
    /// Its running and queued requests.
    pub requests: RequestCounts,
    /// Whether its process is running.
    pub is_up: bool,
    /// Its state on the endpoint list.
    pub listed_state: EndpointState,
}

/// A pair of a node and a server, by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Route {
    node: usize,
    server: usize,
}

/// The simulation of one run.
pub struct Simulation<'a> {
    run: &'a RunDescription,
    policy: Policy,
    seed: u64,
    rng: rand_pcg::Pcg64Mcg,
    queue: EventQueue<Event>,
    clients: ClientPopulation,
    nodes: Vec<Node>,
    servers: Vec<ServerProcess>,
    submissions: SubmissionTable,
    /// Idle connections by route. Only used for lookups and never iterated: the order of iteration would differ between
    /// runs.
    idle_connections: HashMap<Route, u16>,
    recorder: OutcomeRecorder,
    /// The zone that is partitioned from the others, if any.
    partitioned_zone: Option<usize>,
    /// Whether changes of the endpoint list are withheld from nodes.
    is_endpoint_list_frozen: bool,
    coordination: Option<Box<Coordination>>,
    trace: Option<TraceWriter>,
    event_count: u64,
    /// Reused buffers, empty between events.
    commands: Vec<RouterCommand>,
    server_outputs: Vec<ServerOutput>,
    coordination_commands: Vec<CoordinationCommand>,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation at time 0. `run` must have passed [`RunDescription::check`].
    ///
    /// # Errors
    ///
    /// [`SimulationError::Settings`] if the scheduler rejects the settings of the run.
    pub fn new(
        run: &'a RunDescription,
        policy: Policy,
        seed: u64,
    ) -> Result<Simulation<'a>, SimulationError> {
        let fleet = &run.fleet;
        let mut nodes = Vec::with_capacity(fleet.nodes);
        for node in 0..fleet.nodes {
            nodes.push(Node::new(run, node, policy, node_seed(seed, node))?);
        }
        let coordination = run.together.as_ref().map(|description| {
            Box::new(Coordination::new(
                description,
                fleet.nodes,
                run.load.seconds,
            ))
        });
        let mut simulation = Simulation {
            run,
            policy,
            seed,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            queue: EventQueue::default(),
            clients: ClientPopulation::new(run),
            nodes,
            servers: (0..fleet.servers)
                .map(|server| ServerProcess::new(fleet, server))
                .collect(),
            submissions: SubmissionTable::default(),
            idle_connections: HashMap::new(),
            recorder: OutcomeRecorder::new(run),
            partitioned_zone: None,
            is_endpoint_list_frozen: false,
            coordination,
            trace: None,
            event_count: 0,
            commands: Vec::new(),
            server_outputs: Vec::new(),
            coordination_commands: Vec::new(),
        };
        simulation.schedule_first_events();
        Ok(simulation)
    }

    /// Writes the trace of every submission to `trace`.
    pub fn write_traces_to(&mut self, trace: TraceWriter) {
        self.trace = Some(trace);
    }

    /// The simulated time since the beginning of the run.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// The outcome so far; its quantiles are empty until [`Self::finish`].
    pub fn outcome_so_far(&mut self) -> &RunOutcome {
        self.recorder.outcome_mut()
    }

    /// The number of submissions whose client still waits for an answer or whose node has open attempts.
    pub fn open_submission_count(&self) -> usize {
        self.submissions.len()
    }

    /// Requests queued in nodes, by tenant; baseline policies queue none.
    pub fn queued_by_tenant(&self) -> Vec<u64> {
        let mut queued = vec![0; self.run.tenant.len()];
        for node in self.nodes.iter().filter(|node| node.is_up) {
            for (sum, count) in queued.iter_mut().zip(node.queued_by_tenant()) {
                *sum += count as u64;
            }
        }
        queued
    }

    /// The status of every server, in the order of their indices.
    pub fn servers(&self) -> impl Iterator<Item = ServerStatus> + '_ {
        self.servers.iter().map(ServerProcess::status)
    }

    /// Processes at most `max_events` events. Returns false once the run is over.
    pub fn process_events(&mut self, max_events: u64) -> bool {
        let end = micros(self.run.load.seconds) + MAX_TIME_AFTER_LOAD;
        for _ in 0..max_events {
            match self.queue.pop() {
                Some((now, event)) if now <= end => {
                    self.event_count += 1;
                    self.handle_event(now, event);
                }
                _ => return false,
            }
        }
        true
    }

    /// Runs the simulation to its end.
    ///
    /// # Errors
    ///
    /// [`SimulationError::Trace`] if the trace could not be written.
    pub fn finish(mut self) -> Result<RunOutcome, SimulationError> {
        while self.process_events(EVENTS_PER_BATCH) {}
        let open_submissions = self
            .submissions
            .iter()
            .filter(|submission| !submission.has_ended);
        let lost = open_submissions.count() as u64;
        let preempted = self
            .servers
            .iter()
            .map(ServerProcess::preemption_count)
            .sum();
        let coordination = self.coordination.as_ref();
        let outcome = self.recorder.outcome_mut();
        outcome.broken.lost = lost;
        outcome.preempted = preempted;
        outcome.talked = coordination.map(|coordination| coordination.summary());
        if let Some(trace) = self.trace {
            trace.finish()?;
        }
        Ok(self.recorder.finish(self.event_count))
    }

    fn schedule_first_events(&mut self) {
        for node in 0..self.nodes.len() {
            self.start_coordination(node);
        }
        for node in 0..self.nodes.len() {
            self.send_full_list(node);
        }
        for tenant in 0..self.run.tenant.len() {
            self.schedule_next_arrival(tenant);
        }
        for (index, fault) in self.run.fault.iter().enumerate() {
            let begin = Event::Fault(FaultEvent::Begin { fault: index });
            let end = Event::Fault(FaultEvent::End { fault: index });
            self.queue.schedule(micros(fault.at_s), begin);
            self.queue.schedule(micros(fault.at_s + fault.for_s), end);
        }
        self.queue.schedule(0, Event::SampleOccupancy);
    }

    fn handle_event(&mut self, now: Micros, event: Event) {
        match event {
            Event::Arrival { tenant } => self.on_arrival(now, tenant),
            Event::ClientRetry(request) => self.submit_request(now, *request),
            Event::AtClient { request, notice } => self.notify_client(now, request, notice),
            Event::ClientTimeout { request } => self.on_client_timeout(now, request),
            Event::AtNode {
                node,
                generation,
                request,
                notice,
            } => self.on_node_notice(now, node, generation, request, notice),
            Event::NodeTimer { node, generation } => self.on_node_timer(now, node, generation),
            Event::ProbeEnded {
                node,
                generation,
                server,
                outcome,
                load,
            } => self.on_probe_ended(now, node, generation, server, outcome, load),
            Event::EndpointChanged {
                node,
                generation,
                server,
                state,
                started_at,
            } => self.on_endpoint_changed(now, node, generation, server, state, started_at),
            Event::StreamTimeout { key } => self.on_stream_timeout(now, key),
            Event::AttemptAtServer { server, key } => self.on_attempt_at_server(now, server, key),
            Event::ProbeAtServer {
                node,
                generation,
                server,
            } => self.on_probe_at_server(now, node, generation, server),
            Event::CancelAtServer { server, key } => self.on_cancel_at_server(now, server, key),
            Event::ServerTimer { server, plan } => self.on_server_timer(now, server, plan),
            Event::Fault(fault_event) => self.on_fault_event(now, fault_event),
            Event::Coordination {
                node,
                process,
                event,
            } => self.on_coordination_event(now, node, process, event),
            Event::CheckLeaseHolders => self.on_check_lease_holders(now),
            Event::SampleOccupancy => self.sample_occupancy(now),
        }
    }

    fn sample_occupancy(&mut self, now: Micros) {
        let slots = self.run.fleet.server.slots;
        let occupancy = self.servers.iter().map(|server| ServerOccupancy {
            held_requests: server.request_counts().total(),
            slots,
        });
        self.recorder
            .record_occupancy(now, occupancy, self.servers.len());
        if now < micros(self.run.load.seconds) {
            let next = now + self.recorder.slice_duration();
            self.queue.schedule(next, Event::SampleOccupancy);
        }
    }

    /// The one-way latency between two zones.
    fn latency(&self, from_zone: usize, to_zone: usize) -> Micros {
        if from_zone == to_zone {
            self.run.fleet.near_us
        } else {
            self.run.fleet.far_us
        }
    }

    /// The one-way latency between a node and a server.
    fn route_latency(&self, route: Route) -> Micros {
        self.latency(self.nodes[route.node].zone, self.servers[route.server].zone)
    }

    /// Whether a partition separates two zones.
    fn is_partitioned_between(&self, from_zone: usize, to_zone: usize) -> bool {
        let is_either_zone = |zone| zone == from_zone || zone == to_zone;
        from_zone != to_zone && self.partitioned_zone.is_some_and(is_either_zone)
    }

    /// Whether a partition separates a node and a server.
    fn is_route_partitioned(&self, route: Route) -> bool {
        self.is_partitioned_between(self.nodes[route.node].zone, self.servers[route.server].zone)
    }
}

/// The seed of a node's first process.
fn node_seed(seed: u64, node: usize) -> u64 {
    seed ^ ((node as u64 + 1) << 32)
}
