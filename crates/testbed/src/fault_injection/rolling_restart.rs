//! `break roll`: operators take all nodes out one after the other while the coordinator is killed, stopped and cut off.
//!
//! The verdict comes from this module's own polls of each node's readiness: how many nodes were certainly out at once.

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

/// The time between two polls of one node's readiness.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// The time between two looks at whether all nodes know each other.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two looks at how far the restart is.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A restart that takes longer is given up.
const SCENARIO_TIMEOUT: Duration = Duration::from_secs(90);
/// The restart is over once no node has had a part to do in so many looks: a node that was killed may have forgotten the
/// order until it receives it again.
const QUIET_LOOKS: usize = 4;
/// The task of the coordinator's lease.
const COORDINATOR_TASK: &str = "roll";
/// The faults that affect the coordinator.
const COORDINATOR_FAULTS: [InjectedFaultKind; 3] = [
    InjectedFaultKind::KillHolder,
    InjectedFaultKind::StopHolder,
    InjectedFaultKind::CutHolder,
];

/// What is to be played.
#[derive(Clone, Debug)]
pub struct RollingRestartScenario {
    /// The fleet.
    pub shape: FleetShape,
    /// The seed from which faults are drawn.
    pub seed: u64,
    /// Faults that affect the coordinator one after the other, as long as the restart lasts.
    pub fault_count: usize,
    /// How many nodes may be out at once.
    pub max_out: usize,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct RollingRestartReport {
    /// The most nodes that were certainly out at one time.
    pub max_out_at_once: usize,
    /// Nodes that were seen out.
    pub seen_out: usize,
    /// Nodes that are ready at the end.
    pub ready_at_end: usize,
    /// How many times a node became coordinator.
    pub coordinator_count: usize,
    /// The time from the order to its end, in seconds.
    pub duration_s: f64,
}

/// The time in which a node was certainly out: between two answers that said so. An array of two in the history.
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

/// The intervals of one node, which its poller adds to.
type OutIntervals = Rc<RefCell<Vec<OutInterval>>>;

/// Plays a scenario; `folder` takes configurations, disks, logs and the history.
///
/// # Errors
///
/// [`FaultInjectionError`] where the fleet cannot be started, does not accept the order, or does not come to its end in
/// time.
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
    let player = ScenarioPlayer {
        scenario,
        fleet: &fleet,
        history: &history,
        nodes: fleet.admin_addresses(),
        deadline: Instant::now() + SCENARIO_TIMEOUT,
    };
    let played = player.play().await;
    fleet.kill_all().await;
    played
}

struct ScenarioPlayer<'a> {
    scenario: &'a RollingRestartScenario,
    fleet: &'a TestFleet,
    history: &'a RunHistory,
    /// The admin addresses of all nodes.
    nodes: Vec<SocketAddr>,
    deadline: Instant,
}

/// What the nodes say of the restart at one look.
struct Progress {
    coordinator: Option<usize>,
    /// Nodes that have a part to do.
    open_count: usize,
}

impl ScenarioPlayer<'_> {
    async fn play(&self) -> Result<RollingRestartReport, FaultInjectionError> {
        self.wait_for_members().await?;
        let is_stopped: Rc<Cell<bool>> = Rc::default();
        let mut pollers_intervals: Vec<OutIntervals> = Vec::new();
        for node in &self.nodes {
            let intervals = OutIntervals::default();
            pollers_intervals.push(intervals.clone());
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
        let intervals: Vec<Vec<OutInterval>> = pollers_intervals
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

    /// Waits until the last node knows all others: the fleet must be complete before it gets the order.
    async fn wait_for_members(&self) -> Result<(), FaultInjectionError> {
        loop {
            let status = get_fleet_status(self.last_node()).await;
            let member_count = status
                .and_then(|status| status["members"].as_array().map(Vec::len))
                .unwrap_or(0);
            if member_count == self.nodes.len() {
                return Ok(());
            }
            self.check_deadline("all members")?;
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

    /// Injects faults into the coordinator until the restart is over. Returns how many epochs of its lease there were.
    async fn wait_for_end(&self) -> Result<usize, FaultInjectionError> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.scenario.seed);
        let lease_ms = self.scenario.shape.lease_duration.as_millis() as u64;
        let mut faults_left = self.scenario.fault_count;
        let mut epochs = BTreeSet::new();
        let mut quiet_looks = 0;
        loop {
            let progress = self.look_at_progress(&mut epochs).await;
            if progress.open_count == 0 {
                quiet_looks += 1;
            } else {
                quiet_looks = 0;
            }
            if quiet_looks >= QUIET_LOOKS {
                return Ok(epochs.len());
            }
            if let Some(coordinator) = progress.coordinator.filter(|_| faults_left > 0) {
                faults_left -= 1;
                let fault = InjectedFault::draw(&mut rng, &COORDINATOR_FAULTS, lease_ms);
                self.fleet.inject(&fault, coordinator).await?;
            }
            self.check_deadline("the roll's end")?;
            tokio::time::sleep(PROGRESS_POLL_INTERVAL).await;
        }
    }

    /// Asks all nodes, and adds the epochs of the coordinator's lease.
    async fn look_at_progress(&self, epochs: &mut BTreeSet<u64>) -> Progress {
        let mut progress = Progress {
            coordinator: None,
            open_count: 0,
        };
        for (node, address) in self.nodes.iter().enumerate() {
            let Some(status) = get_fleet_status(*address).await else {
                continue;
            };
            if let Some(epoch) = held_epoch(&status, COORDINATOR_TASK) {
                epochs.insert(epoch);
                progress.coordinator = Some(node);
            }
            if has_open_part(&status) {
                progress.open_count += 1;
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

/// Whether a node has received the order and not carried out its part.
fn has_open_part(fleet_status: &Value) -> bool {
    let restart = &fleet_status["roll"];
    restart.is_object() && restart["part"] != "carried out"
}

/// Polls the readiness of one node until it is stopped. It is the only writer of its intervals.
struct ReadinessPoller {
    node: SocketAddr,
    history: RunHistory,
    intervals: OutIntervals,
    is_stopped: Rc<Cell<bool>>,
}

impl ReadinessPoller {
    async fn run(self) {
        // When the node first answered that it is out, since it was last ready or silent.
        let mut out_since: Option<Micros> = None;
        while !self.is_stopped.get() {
            let asked_at = self.history.now();
            let readiness = get_readiness(self.node).await;
            let is_out = readiness.is_some_and(|answer| answer.status == STATUS_UNAVAILABLE);
            if !is_out {
                out_since = None;
            } else if let Some(from) = out_since {
                if asked_at > from {
                    self.extend_interval(from, asked_at);
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

/// The most intervals that share a moment.
fn max_out_at_once(nodes: &[Vec<OutInterval>]) -> usize {
    // An interval that ends at a moment does not share it with one that begins then: ends sort first.
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
