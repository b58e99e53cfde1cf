//! One run: starts clients, replicas, discovery and the node, carries out the plan, and checks the records.

use super::checker;
use super::clients::{run_client, run_idle_clients};
use super::discovery::{list, Discovery};
use super::node::SoakNode;
use super::plan::{Plan, PlannedAction, ProcessAction, REPLICA_COUNT};
use super::records::{Drain, Records, RecordsRef, RunClock};
use super::replicas::Replica;
use super::streams::StreamKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const FIRST_VERSION: u64 = 1;
/// Time from the end of a process to the start of the next.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// After SIGTERM, the platform waits for the longest deadline, but at most for this, plus [`KILL_ALLOWANCE`], before it kills
/// the process.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
/// Shorter than the 0.15 s for which the platform may hold up a process without extending any time limit.
const PAUSE: Duration = Duration::from_millis(120);
const SUSPENSION: Duration = Duration::from_millis(1500);
const SIGNAL_GAP: Duration = Duration::from_millis(30);
/// Interval at which the scheduling delay is measured.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a run. `log` has the plan, the drains, the processes and the node's log.
pub struct Report {
    pub summary: String,
    pub violations: Vec<String>,
    pub log: String,
}

struct Run {
    plan: Arc<Plan>,
    records: RecordsRef,
    replicas: Vec<Replica>,
    discovery: Discovery,
    node: SoakNode,
    /// Index in [`Discovery::addrs`] of the address in the node's configuration.
    discovery_index: usize,
}

/// Draws the plan of a seed, carries it out, and checks the records.
pub fn run_seed(seed: u64) -> Report {
    let plan = Arc::new(Plan::draw(seed));
    let records = RecordsRef {
        all: Arc::new(Records::default()),
        clock: RunClock::start(),
    };
    let mut run = Run::new(plan.clone(), records.clone());
    run.start_node();
    let node_addr = run.node.addr;
    std::thread::scope(|scope| {
        for number in 0..plan.client_threads {
            let (plan, records) = (&plan, records.clone());
            scope.spawn(move || run_client(plan, records, node_addr, number));
        }
        scope.spawn(|| run_idle_clients(&plan, &records, node_addr));
        scope.spawn(|| measure_scheduling_delay(&plan, &records));
        scope.spawn(|| drain_replicas(&plan, &records, &run.replicas));
        for action in &plan.actions {
            records.clock.sleep_until(action.at);
            Run::perform(
                &mut run.node,
                *action,
                &mut run.discovery_index,
                &Context {
                    plan: &plan,
                    records: &records,
                    replicas: &run.replicas,
                    discovery: &run.discovery,
                },
            );
        }
        records.clock.sleep_until(plan.ends);
    });
    run.node.kill();
    run.report()
}

/// The parts of a run, except the node, that an action on the process uses.
struct Context<'a> {
    plan: &'a Plan,
    records: &'a RecordsRef,
    replicas: &'a [Replica],
    discovery: &'a Discovery,
}

impl Context<'_> {
    /// Writes the configuration with the latest list that discovery wrote completely. Returns the list's version.
    fn write_config(&self, node: &SoakNode, discovery_index: usize) -> u64 {
        let answers = self.records.all.answers.lock().unwrap().clone();
        let complete = answers.iter().filter(|answer| answer.is_complete);
        let version = complete
            .map(|answer| answer.version)
            .max()
            .unwrap_or(FIRST_VERSION);
        let drains = self.records.all.drains.lock().unwrap().clone();
        let known = list(&addrs(self.replicas), &drains, 0, version);
        node.write_config(&known, self.discovery.addrs[discovery_index]);
        version
    }

    fn restart(&self, node: &mut SoakNode, discovery_index: usize) {
        std::thread::sleep(RESTART_PAUSE);
        let version = self.write_config(node, discovery_index);
        node.start(version);
    }
}

fn addrs(replicas: &[Replica]) -> Vec<SocketAddr> {
    replicas.iter().map(|replica| replica.addr).collect()
}

impl Run {
    fn new(plan: Arc<Plan>, records: RecordsRef) -> Run {
        let replicas: Vec<Replica> = (0..REPLICA_COUNT)
            .map(|index| Replica::start(index, plan.clone(), records.clone()))
            .collect();
        let discovery = Discovery::start(plan.clone(), addrs(&replicas), records.clone());
        let node = SoakNode::new(plan.clone(), records.clone());
        Run {
            plan,
            records,
            replicas,
            discovery,
            node,
            discovery_index: 0,
        }
    }

    fn start_node(&mut self) {
        let context = Context {
            plan: &self.plan,
            records: &self.records,
            replicas: &self.replicas,
            discovery: &self.discovery,
        };
        let version = context.write_config(&self.node, self.discovery_index);
        self.node.start(version);
    }

    fn perform(
        node: &mut SoakNode,
        planned: PlannedAction,
        discovery_index: &mut usize,
        context: &Context<'_>,
    ) {
        match planned.action {
            ProcessAction::Kill => {
                node.kill();
                context.restart(node, *discovery_index);
            }
            ProcessAction::Terminate | ProcessAction::TerminateRepeatedly => {
                let terminated_at = context.records.clock.now();
                node.terminate();
                if planned.action == ProcessAction::TerminateRepeatedly {
                    std::thread::sleep(SIGNAL_GAP);
                    node.signal("-HUP");
                    std::thread::sleep(SIGNAL_GAP);
                    node.terminate();
                }
                let counted_deadline = context.plan.max_deadline.min(MAX_COUNTED_DEADLINE);
                let kill_at = terminated_at + counted_deadline + KILL_ALLOWANCE;
                context.records.clock.sleep_until(kill_at);
                node.kill();
                context.restart(node, *discovery_index);
            }
            ProcessAction::Reload => {
                *discovery_index = 1 - *discovery_index;
                context.write_config(node, *discovery_index);
                for _ in 0..3 {
                    node.signal("-HUP");
                    std::thread::sleep(SIGNAL_GAP);
                }
            }
            ProcessAction::Pause => suspend(node, PAUSE),
            ProcessAction::Suspend => {
                let began_at = context.records.clock.now();
                suspend(node, SUSPENSION);
                let ended_at = context.records.clock.now();
                let suspensions = &context.records.all.suspensions;
                suspensions.lock().unwrap().push(began_at..ended_at);
            }
        }
    }

    fn report(self) -> Report {
        let violations = checker::check(&self.plan, &self.records.all);
        let clients = self.records.all.clients.lock().unwrap();
        let replicas = self.records.all.replicas.lock().unwrap();
        let processes = self.records.all.processes.lock().unwrap().len();
        let scheduling_delay_ms = self
            .records
            .all
            .max_scheduling_delay
            .lock()
            .unwrap()
            .as_millis();
        let answered = clients
            .iter()
            .filter(|record| record.end == super::records::ClientEnd::Answered(200));
        let summary = format!(
            "{} requests, {} served, {} slow and {} spoilt streams, continued {}, {} processes, {} drains, probes {}, {}, idle clients {}, scheduling delay {scheduling_delay_ms} ms, {} violations",
            clients.len(),
            answered.count(),
            replicas.iter().filter(|record| record.stream == StreamKind::Slow).count(),
            replicas.iter().filter(|record| record.stream.is_spoilt()).count(),
            self.plan.continues_streams,
            processes,
            self.plan.drains.len(),
            self.plan.allows_probes,
            self.plan.semantics,
            self.plan.idle_client_count,
            violations.len(),
        );
        let log = format!(
            "plan: {:#?}\ndrains: {:?}\nprocesses: {:?}\n{}",
            self.plan,
            self.records.all.drains.lock().unwrap(),
            self.records.all.processes.lock().unwrap(),
            self.node.log.lock().unwrap().join("\n")
        );
        Report {
            summary,
            violations,
            log,
        }
    }
}

fn suspend(node: &SoakNode, span: Duration) {
    node.signal("-STOP");
    std::thread::sleep(span);
    node.signal("-CONT");
}

/// Makes replicas drain as planned. Discovery reports each drain as soon as it is recorded.
fn drain_replicas(plan: &Plan, records: &RecordsRef, replicas: &[Replica]) {
    for (replica, at) in plan.drains.iter().enumerate() {
        records.clock.sleep_until(*at);
        replicas[replica].drain();
        let mut drains = records.all.drains.lock().unwrap();
        drains.push(Drain {
            version: FIRST_VERSION + 1 + replica as u64,
            replica,
            at: records.clock.now(),
        });
    }
}

/// Measures the longest scheduling delay of a thread of the test. The times of records may be late by as much.
fn measure_scheduling_delay(plan: &Plan, records: &RecordsRef) {
    let mut max_delay = Duration::ZERO;
    while records.clock.now() < plan.ends {
        let expected = records.clock.now() + MEASUREMENT_INTERVAL;
        std::thread::sleep(MEASUREMENT_INTERVAL);
        max_delay = max_delay.max(records.clock.now().saturating_sub(expected));
    }
    *records.all.max_scheduling_delay.lock().unwrap() = max_delay;
}
