//! `break roll`: a rolling restart of all nodes while its coordinator is killed, stopped or disconnected.
//!
//! The verdict is how many nodes were provably out of service at the same time, from polls of each node's readiness.

use super::admin_client::{
    call, get_fleet_status, get_readiness, held_epoch, STATUS_OK, STATUS_UNAVAILABLE,
};
use super::collector::ReportCollector;
use super::error::FaultInjectionError;
use super::injected_fault::{InjectedFault, InjectedFaultKind};
use super::run_history::RunHistory;
use super::test_fleet::{FleetSetup, FleetShape, TestFleet};
use crate::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// The interval of polls that wait for the fleet to be complete.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of polls of the restart's progress.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of the whole scenario.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(90);
/// The restart is complete once no node has reported pending work in this many consecutive polls. A single poll is not
/// enough: a node that was killed may have lost the order until it receives it again.
const IDLE_POLLS: usize = 4;
/// The name of the task whose lease the coordinator holds.
const COORDINATOR_TASK: &str = "roll";
/// The faults that affect the coordinator.
const COORDINATOR_FAULTS: [InjectedFaultKind; 3] = [
    InjectedFaultKind::KillHolder,
    InjectedFaultKind::StopHolder,
    InjectedFaultKind::CutHolder,
];

/// The parameters of a rolling restart scenario.
#[derive(Clone, Debug)]
pub struct RollingRestartScenario {
    /// The size and settings of the fleet.
    pub shape: FleetShape,
    /// The seed from which faults are drawn.
    pub seed: u64,
    /// The maximum number of faults injected into the coordinator; none are injected after the end of the restart.
    pub fault_count: usize,
    /// The maximum number of nodes that may be out of service at once.
    pub max_out: usize,
}

/// The result of a rolling restart scenario.
#[derive(Clone, Debug, Default)]
pub struct RollingRestartReport {
    /// The maximum number of nodes that were provably out of service at the same time.
    pub max_out_at_once: usize,
    /// The number of nodes that were observed out of service.
    pub seen_out: usize,
    /// The number of nodes that are ready at the end.
    pub ready_at_end: usize,
    /// The number of times that a node became coordinator.
    pub coordinator_count: usize,
    /// The duration of the restart, in seconds.
    pub duration_s: f64,
}

/// A period in which a node was provably out of service: between two polls whose responses said so. Written to the
/// history as an array of two numbers.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(into = "(Micros, Micros)")]
struct OutInterval {
    from: Micros,
    until: Micros,
}

impl From<OutInterval> for (Micros, Micros) {
    fn from(interval: OutInterval) -> Self {
        (interval.from, interval.until)
    }
}

/// The intervals of one node, which its poller extends.
type OutIntervals = Rc<RefCell<Vec<OutInterval>>>;

/// Runs a scenario. Configurations, disks, logs and the history are written to `folder`.
///
/// # Errors
///
/// [`FaultInjectionError`] if the fleet cannot be started, does not accept the order, or does not complete the restart
/// in time.
pub async fn run_rolling_restart_scenario(
    scenario: &RollingRestartScenario,
    program: &Path,
    folder: &Path,
) -> Result<RollingRestartReport, FaultInjectionError> {
    let history = RunHistory::create(folder)?;
    let collector = ReportCollector::start(history.clone(), true).await?;
    let fleet = TestFleet::start(FleetSetup {
        shape: &scenario.shape,
        program,
        folder,
        history: &history,
        collector: collector.address(),
        seed: scenario.seed,
    })
    .await?;
    let runner = ScenarioRunner {
        scenario,
        fleet: &fleet,
        history: &history,
        nodes: fleet.admin_addresses(),
        deadline: Instant::now() + SCENARIO_TIMEOUT,
    };
    let results = runner.run().await;
    fleet.kill_all().await;
    results
}

struct ScenarioRunner<'a> {
    scenario: &'a RollingRestartScenario,
    fleet: &'a TestFleet,
    history: &'a RunHistory,
    /// The admin addresses of all nodes.
    nodes: Vec<SocketAddr>,
    deadline: Instant,
}

/// The progress of the restart as reported by the nodes in one poll.
struct Progress {
    coordinator: Option<usize>,
    /// The number of nodes that have not carried out the order.
    pending_count: usize,
}

impl ScenarioRunner<'_> {
    async fn run(&self) -> Result<RollingRestartReport, FaultInjectionError> {
        self.wait_for_members().await?;
        let is_stopped: Rc<Cell<bool>> = Rc::default();
        let mut intervals_by_node: Vec<OutIntervals> = Vec::new();
        for node in &self.nodes {
            let intervals = OutIntervals::default();
            intervals_by_node.push(intervals.clone());
            let poller = ReadinessPoller {
                node: *node,
                history: self.history.clone(),
                intervals,
                is_stopped: is_stopped.clone(),
            };
            spawn_local(poller.run());
        }
        let began_at = self.history.now();
        self.order_restart().await?;
        let coordinator_count = self.wait_for_end().await?;
        is_stopped.set(true);
        let duration_s = (self.history.now() - began_at) as f64 / 1e6;
        let ready_at_end = self.count_ready().await;
        let intervals: Vec<Vec<OutInterval>> = intervals_by_node
            .iter()
            .map(|intervals| intervals.borrow().clone())
            .collect();
        let report = RollingRestartReport {
            max_out_at_once: max_out_at_once(&intervals),
            seen_out: intervals.iter().filter(|node| !node.is_empty()).count(),
            ready_at_end,
            coordinator_count,
            duration_s,
        };
        self.history.add(
            "rolled",
            &json!({"out": intervals, "found": format!("{report:?}")}),
        );
        Ok(report)
    }

    /// Waits until the last node knows all others: the fleet must be complete before the order is sent.
    async fn wait_for_members(&self) -> Result<(), FaultInjectionError> {
        loop {
            let status = get_fleet_status(self.last_node()).await;
            let member_count = status
                .and_then(|status| status["members"].as_array().map(Vec::len))
                .unwrap_or(0);
            if member_count == self.nodes.len() {
                return Ok(());
            }
            self.check_deadline("all members of the fleet")?;
            tokio::time::sleep(MEMBER_POLL_INTERVAL).await;
        }
    }

    async fn order_restart(&self) -> Result<(), FaultInjectionError> {
        let max_out = self.scenario.max_out;
        let request_line = format!("POST /api/fleet/roll?out={max_out}&hold_ms=200");
        let response = call(self.last_node(), &request_line).await;
        if response.is_some_and(|response| response.status == STATUS_OK) {
            Ok(())
        } else {
            Err(FaultInjectionError::RollingRestartNotAccepted)
        }
    }

    /// Injects faults into the coordinator until the restart is complete. Returns the number of epochs of its lease.
    async fn wait_for_end(&self) -> Result<usize, FaultInjectionError> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.scenario.seed);
        let lease_ms = self.scenario.shape.lease_duration.as_millis() as u64;
        let mut faults_left = self.scenario.fault_count;
        let mut epochs = BTreeSet::new();
        let mut idle_polls = 0;
        loop {
            let progress = self.poll_progress(&mut epochs).await;
            if progress.pending_count == 0 {
                idle_polls += 1;
            } else {
                idle_polls = 0;
            }
            if idle_polls >= IDLE_POLLS {
                return Ok(epochs.len());
            }
            if let Some(coordinator) = progress.coordinator.filter(|_| faults_left > 0) {
                faults_left -= 1;
                let fault = InjectedFault::draw(&mut rng, &COORDINATOR_FAULTS, lease_ms);
                self.fleet.inject(&fault, coordinator).await?;
            }
            self.check_deadline("the end of the rolling restart")?;
            tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
        }
    }

    /// Polls the status of all nodes, and adds the current epoch of the coordinator's lease to `epochs`.
    async fn poll_progress(&self, epochs: &mut BTreeSet<u64>) -> Progress {
        let mut progress = Progress {
            coordinator: None,
            pending_count: 0,
        };
        for (node, address) in self.nodes.iter().enumerate() {
            let Some(status) = get_fleet_status(*address).await else {
                continue;
            };
            if let Some(epoch) = held_epoch(&status, COORDINATOR_TASK) {
                epochs.insert(epoch);
                progress.coordinator = Some(node);
            }
            if has_pending_order(&status) {
                progress.pending_count += 1;
            }
        }
        progress
    }

    async fn count_ready(&self) -> usize {
        let mut ready_count = 0;
        for node in &self.nodes {
            let readiness = get_readiness(*node).await;
            if readiness.is_some_and(|readiness| readiness.status == STATUS_OK) {
                ready_count += 1;
            }
        }
        ready_count
    }

    fn last_node(&self) -> SocketAddr {
        self.nodes[self.nodes.len() - 1]
    }

    fn check_deadline(&self, awaited: &'static str) -> Result<(), FaultInjectionError> {
        if Instant::now() < self.deadline {
            return Ok(());
        }
        Err(FaultInjectionError::TimedOut {
            awaited,
            seconds: SCENARIO_TIMEOUT.as_secs(),
        })
    }
}

/// Whether a node has received the order and not yet carried it out.
fn has_pending_order(fleet_status: &Value) -> bool {
    let restart = &fleet_status["roll"];
    restart.is_object() && restart["part"] != "carried out"
}

/// Polls the readiness of one node until the poller is stopped. It is the only writer of its intervals.
struct ReadinessPoller {
    node: SocketAddr,
    history: RunHistory,
    intervals: OutIntervals,
    is_stopped: Rc<Cell<bool>>,
}

impl ReadinessPoller {
    async fn run(self) {
        // The first response that reported the node out of service, since the last poll that failed or reported ready.
        let mut out_since: Option<Micros> = None;
        while !self.is_stopped.get() {
            let polled_at = self.history.now();
            let readiness = get_readiness(self.node).await;
            let is_out = readiness.is_some_and(|response| response.status == STATUS_UNAVAILABLE);
            if !is_out {
                out_since = None;
            } else if let Some(from) = out_since {
                if polled_at > from {
                    self.extend_interval(from, polled_at);
                }
            } else {
                out_since = Some(self.history.now());
            }
            tokio::time::sleep(READINESS_POLL_INTERVAL).await;
        }
    }

    fn extend_interval(&self, from: Micros, until: Micros) {
        let mut intervals = self.intervals.borrow_mut();
        match intervals.last_mut() {
            Some(last) if last.from == from => last.until = until,
            _ => intervals.push(OutInterval { from, until }),
        }
    }
}

/// The maximum number of intervals that overlap at one time.
fn max_out_at_once(nodes: &[Vec<OutInterval>]) -> usize {
    // Intervals that only touch do not overlap: at the same time ends sort before beginnings.
    let mut edges: Vec<(Micros, i32)> = Vec::new();
    for interval in nodes.iter().flatten() {
        edges.push((interval.from, 1));
        edges.push((interval.until, -1));
    }
    edges.sort_unstable();
    let mut out_count = 0;
    let mut max_out_count = 0;
    for (_, change) in edges {
        out_count += change;
        max_out_count = max_out_count.max(out_count);
    }
    usize::try_from(max_out_count).unwrap_or(0)
}
