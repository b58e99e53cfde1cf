//! The coordination of emulated nodes: every node runs the project's own state machines for leases and budgets.
//!
//! [`Coordination`] does not depend on the simulation. It receives [`CoordinationEvent`]s with their time and returns
//! [`CoordinationCommand`]s, which the simulation executes in order: it schedules further events, sends messages over
//! the emulated network and sets the budget grants of nodes. It counts the checks at which more than one node holds the
//! lease, and measures whether all nodes together stay within the budget.

mod measurements;
mod process;

use super::description::{BudgetDivision, CoordinationDescription};
use super::node::Node;
use super::outcome::{CoordinationSummary, MessageRate};
use super::time::micros;
use crate::Micros;
use measurements::{HolderMonitor, MessageCounts, RepeatBucket};
use poppykeel::transport::coordination::budgets::FleetBudgets;
use poppykeel_coordination::budget::{BudgetLimit, BudgetSettings};
use poppykeel_coordination::envelope::{self, Envelope};
use poppykeel_coordination::lease::LeaseLogRecord;
use poppykeel_coordination::node::{NodeOutput, NodeSettings};
use poppykeel_scheduler::{BudgetGrant, BudgetGrants, BudgetKind};
use process::CoordinationProcess;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// How long a lease server takes to write its log to disk.
const DISK_WRITE_DURATION: Micros = 1_000;
/// Interval between checks for lease holders.
const HOLDER_CHECK_INTERVAL: Micros = 5_000;
/// The only budget in the emulator: retries.
const RETRY_BUDGET: &str = "retries";
/// The clock drift that nodes allow for, in parts per million; the emulator's clocks have none.
const CLOCK_DRIFT_PPM: u32 = 1_000;
/// The shortest interval of probes between nodes.
const MIN_PROBE_INTERVAL: Micros = 10_000;
/// The first events of processes are spread over this time, so that they do not all occur in one microsecond.
const START_SPREAD: Micros = 50_000;
/// The offset between the first events of successively started processes, modulo [`START_SPREAD`]. It is prime, so that
/// no offset repeats before all others have been used.
const START_STEP: Micros = 7_919;
/// The address of the first node, 10.128.0.0; the others follow it.
const FIRST_NODE_ADDRESS: u32 = 0x0a80_0000;
/// The port on which nodes receive messages.
const NODE_PORT: u16 = 7946;

/// The number of a process, counted from 1 over all nodes in the order of their starts.
pub(super) type ProcessNumber = u64;

/// An event for the coordination of one node.
#[derive(Debug)]
pub(super) enum CoordinationEvent {
    /// A message arrives at the node. Its current process receives it.
    Message(Box<Envelope>),
    /// The records written by a lease server are on its disk.
    LogWritten {
        write: u64,
        records: Vec<LeaseLogRecord>,
    },
    /// The timers of the state machine are due.
    Timer,
    /// The next budget request is due.
    BudgetRequest,
}

/// An action for the simulation.
pub(super) enum CoordinationCommand {
    /// Deliver an event at time `at`, if the process still runs then.
    Schedule {
        at: Micros,
        node: usize,
        process: ProcessNumber,
        event: CoordinationEvent,
    },
    /// Check the lease holders at time `at`.
    ScheduleHolderCheck { at: Micros },
    /// Send a message over the network.
    Send {
        from: usize,
        to: usize,
        envelope: Box<Envelope>,
    },
    /// Pass a node its grants: those it holds, or an equal part.
    SetBudgetGrants { node: usize, grants: BudgetGrants },
}

/// The coordination state of one node.
#[derive(Default)]
struct Participant {
    /// `None` while the node is down.
    process: Option<CoordinationProcess>,
    /// The lease log on its disk, which outlives processes.
    log: Vec<LeaseLogRecord>,
    sent: MessageCounts,
}

impl Participant {
    fn holds_lease(&self, now: Micros) -> bool {
        self.process
            .as_ref()
            .is_some_and(|process| process.holds_lease(now))
    }
}

/// The coordination of all nodes.
pub(super) struct Coordination {
    description: CoordinationDescription,
    /// The duration of the load, in seconds. Coordination stops at its end.
    load_seconds: f64,
    budgets: FleetBudgets,
    participants: Vec<Participant>,
    started_process_count: ProcessNumber,
    /// Whether checks of lease holders have been scheduled.
    checks_holders: bool,
    holder_monitor: HolderMonitor,
    repeats: RepeatBucket,
}

impl Coordination {
    /// Creates the coordination of nodes that have not started.
    pub(super) fn new(
        description: &CoordinationDescription,
        node_count: usize,
        load_seconds: f64,
    ) -> Coordination {
        Coordination {
            description: description.clone(),
            load_seconds,
            budgets: FleetBudgets {
                settings: budget_settings(description, node_count),
                tenants: Vec::new(),
            },
            participants: (0..node_count).map(|_| Participant::default()).collect(),
            started_process_count: 0,
            checks_holders: false,
            holder_monitor: HolderMonitor::default(),
            repeats: RepeatBucket::default(),
        }
    }

    /// Starts a process on a node, which may have had one before.
    pub(super) fn start_node(
        &mut self,
        now: Micros,
        node: usize,
        commands: &mut Vec<CoordinationCommand>,
    ) {
        match self.description.division {
            BudgetDivision::Shares => self.start_process(now, node, commands),
            BudgetDivision::Equal => commands.push(CoordinationCommand::SetBudgetGrants {
                node,
                grants: self.equal_grants(),
            }),
            BudgetDivision::None => {}
        }
    }

    /// Ends the process of a node. Its log remains.
    pub(super) fn stop_node(&mut self, node: usize) {
        self.participants[node].process = None;
    }

    /// Handles an event for a process of a node. Events for a process that has ended are dropped.
    pub(super) fn handle_event(
        &mut self,
        now: Micros,
        node: &Node,
        node_index: usize,
        process_number: ProcessNumber,
        event: CoordinationEvent,
        commands: &mut Vec<CoordinationCommand>,
    ) {
        if now >= self.load_end() {
            return;
        }
        let participant = &mut self.participants[node_index];
        let Some(process) = &mut participant.process else {
            return;
        };
        // Messages are addressed to the node and not to one of its processes.
        let is_message = matches!(event, CoordinationEvent::Message(_));
        let number = process.number();
        if !is_message && number != process_number {
            return;
        }
        let schedule = |at, event| CoordinationCommand::Schedule {
            at,
            node: node_index,
            process: number,
            event,
        };
        let mut outputs = match event {
            CoordinationEvent::Timer => Vec::new(),
            CoordinationEvent::LogWritten { write, records } => {
                participant.log.extend(records);
                process.on_log_written(write)
            }
            CoordinationEvent::Message(envelope) => process.handle_message(now, *envelope),
            CoordinationEvent::BudgetRequest => {
                let next_request_at = now + micros(self.description.share_s) / 4;
                commands.push(schedule(next_request_at, CoordinationEvent::BudgetRequest));
                let demand = self.budgets.cumulative_demand(&node.budget_demand());
                process.request_budget(now, node_index, demand)
            }
        };
        outputs.extend(process.run_due_timers(now));
        commands.push(CoordinationCommand::SetBudgetGrants {
            node: node_index,
            grants: self.budgets.grants(process.budget(), now, now),
        });
        if let Some(due) = process.take_unscheduled_timer(now) {
            commands.push(schedule(due, CoordinationEvent::Timer));
        }
        for output in outputs {
            self.execute_output(now, node_index, number, output, commands);
        }
    }

    /// Checks how many nodes hold the lease, and schedules the next check.
    pub(super) fn check_holders(&mut self, now: Micros, commands: &mut Vec<CoordinationCommand>) {
        if now >= self.load_end() {
            return;
        }
        let holder_count = self
            .participants
            .iter()
            .filter(|participant| participant.holds_lease(now))
            .count();
        self.holder_monitor.record(now, holder_count);
        commands.push(CoordinationCommand::ScheduleHolderCheck {
            at: now + HOLDER_CHECK_INTERVAL,
        });
    }

    /// Counts a repeat: an attempt that has reached a server and is not the first of its request.
    pub(super) fn record_repeat(&mut self, now: Micros) {
        self.repeats.add(now, self.description.retries);
    }

    /// Summarizes the measurements of the run.
    pub(super) fn summary(&self) -> CoordinationSummary {
        // `send` counts messages in the second half of the run only.
        let seconds = self.load_seconds / 2.0;
        let mut total = MessageCounts::default();
        for participant in &self.participants {
            total.messages += participant.sent.messages;
            total.bytes += participant.sent.bytes;
        }
        let total_rate = total.rate_over(seconds);
        let node_count = self.participants.len() as f64;
        let lease_server_count = match self.description.division {
            BudgetDivision::Shares => self.description.keepers,
            BudgetDivision::Equal | BudgetDivision::None => 0,
        };
        let lease_servers = self.participants.iter().take(lease_server_count);
        let busiest = lease_servers.map(|participant| participant.sent).max();
        CoordinationSummary {
            node: MessageRate {
                messages_per_second: total_rate.messages_per_second / node_count,
                bytes_per_second: total_rate.bytes_per_second / node_count,
            },
            keeper: busiest.unwrap_or_default().rate_over(seconds),
            overlaps: self.holder_monitor.overlap_count(),
            longest_without: self.holder_monitor.longest_without() as f64 / 1e6,
            worst_window: self.repeats.max_level() / self.description.burst.max(1.0),
        }
    }

    fn load_end(&self) -> Micros {
        micros(self.load_seconds)
    }

    fn start_process(&mut self, now: Micros, node: usize, commands: &mut Vec<CoordinationCommand>) {
        self.started_process_count += 1;
        let number = self.started_process_count;
        let settings = self.node_settings(node);
        let participant = &mut self.participants[node];
        participant.process = Some(CoordinationProcess::start(
            now,
            number,
            settings,
            self.budgets.settings.clone(),
            &participant.log,
        ));
        let at = now + number * START_STEP % START_SPREAD;
        for event in [CoordinationEvent::Timer, CoordinationEvent::BudgetRequest] {
            commands.push(CoordinationCommand::Schedule {
                at,
                node,
                process: number,
                event,
            });
        }
        if !self.checks_holders {
            self.checks_holders = true;
            commands.push(CoordinationCommand::ScheduleHolderCheck {
                at: now + HOLDER_CHECK_INTERVAL,
            });
        }
    }

    fn node_settings(&self, node: usize) -> NodeSettings {
        let lease_duration = micros(self.description.lease_s);
        let lease_servers = 0..self.description.keepers;
        NodeSettings {
            fleet: "lab".into(),
            name: node_name(node),
            address: node_address(node),
            seeds: BTreeMap::new(),
            lease_servers: lease_servers
                .map(|server| (node_name(server), node_address(server)))
                .collect(),
            lease_servers_number: 1,
            lease_duration,
            drift_ppm: CLOCK_DRIFT_PPM,
            trusts_log: false,
            probe_interval: micros(self.description.probe_s).max(MIN_PROBE_INTERVAL),
            response_timeout: (lease_duration / 10).max(1),
        }
    }

    /// The grant of a node under [`BudgetDivision::Equal`]: the same part of the budget for each node, without expiry.
    fn equal_grants(&self) -> BudgetGrants {
        let node_count = self.participants.len() as f64;
        let grant = BudgetGrant {
            rate: self.description.retries / node_count,
            burst: self.description.burst / node_count,
            guaranteed_rate: 0.0,
            guaranteed_burst: 0.0,
            expires_at: f64::INFINITY,
        };
        BudgetGrants::from([(BudgetKind::Retries, grant)])
    }

    fn execute_output(
        &mut self,
        now: Micros,
        node: usize,
        process: ProcessNumber,
        output: NodeOutput,
        commands: &mut Vec<CoordinationCommand>,
    ) {
        match output {
            NodeOutput::WriteLog { write, records } => {
                commands.push(CoordinationCommand::Schedule {
                    at: now + DISK_WRITE_DURATION,
                    node,
                    process,
                    event: CoordinationEvent::LogWritten { write, records },
                });
            }
            NodeOutput::Send { envelope, .. } => self.send(now, node, envelope, commands),
        }
    }

    /// Counts a message and sends it over the network. A message to an unknown node is dropped.
    fn send(
        &mut self,
        now: Micros,
        from: usize,
        envelope: Box<Envelope>,
        commands: &mut Vec<CoordinationCommand>,
    ) {
        let Some(to) = node_index(&envelope.recipient) else {
            return;
        };
        if to >= self.participants.len() {
            return;
        }
        // The first half of a run contains its start-up and is not counted.
        if to != from && now >= self.load_end() / 2 {
            let sent = &mut self.participants[from].sent;
            sent.messages += 1;
            sent.bytes += envelope::encode(&envelope).len() as u64;
        }
        commands.push(CoordinationCommand::Send { from, to, envelope });
    }
}

fn budget_settings(description: &CoordinationDescription, node_count: usize) -> BudgetSettings {
    let limit = BudgetLimit {
        rate: to_thousandths(description.retries),
        burst: to_thousandths(description.burst),
        guaranteed_rate: to_thousandths(description.floor),
        guaranteed_burst: to_thousandths(description.floor_burst),
        max_nodes: node_count as u32,
    };
    BudgetSettings {
        grant_duration: micros(description.share_s),
        drift_ppm: CLOCK_DRIFT_PPM,
        limits: BTreeMap::from([(RETRY_BUDGET.to_string(), limit)]),
    }
}

/// Converts to thousandths, in which budgets are counted.
fn to_thousandths(amount: f64) -> u64 {
    (amount * 1e3).round() as u64
}

/// The name of a node in messages.
fn node_name(node: usize) -> String {
    format!("n{node:05}")
}

/// The index of the node with this name; the inverse of [`node_name`].
fn node_index(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn node_address(node: usize) -> SocketAddr {
    let address = Ipv4Addr::from(FIRST_NODE_ADDRESS + node as u32);
    SocketAddr::from((address, NODE_PORT))
}
