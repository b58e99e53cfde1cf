//! `break leases`: a fleet sends its reports under a lease while faults are injected one after the other.
//!
//! Each round injects a fault, waits until the lease is held again, and measures the time without a report. The verdict
//! is that of [`check_actions`] on the record of the [`ReportCollector`].

use super::collector::ReportCollector;
use super::error::{describe_unexpected_exits, FaultInjectionError};
use super::injected_fault::{InjectedFault, InjectedFaultKind};
use super::lease_verdict::{check_actions, LeaseVerdict, LeasedAction};
use super::run_history::RunHistory;
use super::test_fleet::{node_index, FleetSetup, FleetShape, TestFleet};
use crate::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// After a fault, the lease must be held again within this many lease durations plus [`RECOVERY_ALLOWANCE`].
const RECOVERY_LEASES: u32 = 4;
/// See [`RECOVERY_LEASES`].
const RECOVERY_ALLOWANCE: Duration = Duration::from_secs(8);
/// The pause without faults after each round, in lease durations.
const PAUSE_LEASES: f64 = 0.5;
/// The interval at which the record is checked for a new action.
const ACTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parameters of a lease scenario.
#[derive(Clone, Debug)]
pub struct LeaseScenario {
    /// The size and settings of the fleet.
    pub shape: FleetShape,
    /// The number of drawn faults, one for each round. Ignored if there is a script.
    pub rounds: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The kinds of faults to draw; an empty list allows all kinds.
    pub only: Vec<InjectedFaultKind>,
    /// Faults to inject in this order, one for each round; if empty, faults are drawn.
    pub script: Vec<InjectedFault>,
    /// Whether the target of the actions rejects old epochs.
    pub rejects_old_epochs: bool,
}

/// The result of a lease scenario.
#[derive(Clone, Debug)]
pub struct LeaseReport {
    /// The verdict on the record of actions.
    pub verdict: LeaseVerdict,
    /// The number of completed rounds.
    pub rounds: usize,
    /// The longest gap between accepted actions in each round, in microseconds. A round lasts from its fault to the
    /// next fault.
    pub longest_gaps: Vec<Micros>,
    /// How far the report intervals deviate from the clock: the largest difference, over consecutive accepted actions,
    /// between the increase of the interval number and the number of intervals that elapsed.
    pub max_interval_skew: u64,
    /// The number of times that a lease server reported a failed disk.
    pub failed_disk_count: usize,
    /// Unexpected exits of processes, and rounds after which no node held the lease.
    pub problems: Vec<String>,
}

impl LeaseReport {
    /// Summarizes the report in one line.
    pub fn format_summary(&self, seed: u64) -> String {
        let longest = self.verdict.gaps.first().map_or(0, |gap| gap.duration);
        format!(
            "rounds {}, acts {}, overlaps {}, refused by fence {}, longest without a holder {:.2} s, seed {seed}",
            self.rounds,
            self.verdict.action_count,
            self.verdict.overlaps.len(),
            self.verdict.fenced_count,
            longest as f64 / 1e6
        )
    }

    /// Whether there were neither overlaps nor problems.
    pub fn is_good(&self) -> bool {
        self.verdict.overlaps.is_empty() && self.problems.is_empty()
    }

    /// A quantile of [`longest_gaps`](Self::longest_gaps), in microseconds; 0 if there are none.
    pub fn gap_quantile(&self, quantile: f64) -> Micros {
        let mut sorted = self.longest_gaps.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * quantile) as usize;
        let last_index = sorted.len().saturating_sub(1);
        sorted.get(index.min(last_index)).copied().unwrap_or(0)
    }
}

/// Runs a scenario. Configurations, disks, logs and the history are written to `folder`.
///
/// # Errors
///
/// [`FaultInjectionError`] if the fleet cannot be started, or no node acquires the lease before the first fault.
pub async fn run_lease_scenario(
    scenario: &LeaseScenario,
    program: &Path,
    folder: &Path,
) -> Result<LeaseReport, FaultInjectionError> {
    let history = RunHistory::create(folder)?;
    history.add(
        "run",
        &json!({"seed": scenario.seed, "rounds": scenario.rounds, "shape": format!("{:?}", scenario.shape)}),
    );
    let collector = ReportCollector::start(history.clone(), scenario.rejects_old_epochs).await?;
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
        collector: &collector,
        history: &history,
    };
    let results = runner.run_rounds().await;
    fleet.kill_all().await;
    let results = results?;
    let actions = collector.actions();
    let verdict = check_actions(&actions);
    history.add(
        "verdict",
        &json!({"overlaps": verdict.overlaps, "wrong": results.problems}),
    );
    Ok(LeaseReport {
        verdict,
        rounds: results.longest_gaps.len(),
        longest_gaps: results.longest_gaps,
        max_interval_skew: max_interval_skew(&actions, scenario.shape.report_interval),
        failed_disk_count: fleet.failed_disk_count(),
        problems: results.problems,
    })
}

/// Computes [`LeaseReport::max_interval_skew`].
fn max_interval_skew(actions: &[LeasedAction], interval: Duration) -> u64 {
    let interval_micros = (interval.as_micros() as u64).max(1);
    let accepted: Vec<&LeasedAction> = actions.iter().filter(|action| action.is_accepted).collect();
    let skews = accepted.windows(2).map(|pair| {
        let interval_difference = pair[1].interval.abs_diff(pair[0].interval);
        let elapsed_intervals = (pair[1].at - pair[0].at) / interval_micros;
        interval_difference.abs_diff(elapsed_intervals)
    });
    skews.max().unwrap_or(0)
}

/// The results of all rounds.
#[derive(Default)]
struct RoundResults {
    longest_gaps: Vec<Micros>,
    problems: Vec<String>,
}

struct ScenarioRunner<'a> {
    scenario: &'a LeaseScenario,
    fleet: &'a TestFleet,
    collector: &'a ReportCollector,
    history: &'a RunHistory,
}

impl ScenarioRunner<'_> {
    async fn run_rounds(&self) -> Result<RoundResults, FaultInjectionError> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.scenario.seed);
        let script = &self.scenario.script;
        let lease_ms = self.scenario.shape.lease_duration.as_millis() as u64;
        let round_count = if script.is_empty() {
            self.scenario.rounds
        } else {
            script.len()
        };
        let Some(mut holder) = self.wait_for_holder(0).await else {
            return Err(FaultInjectionError::NeverHeld {
                timeout: self.holder_timeout(),
            });
        };
        self.fleet.back_up_disks()?;
        let mut results = RoundResults::default();
        for round in 0..round_count {
            let drawn = InjectedFault::draw(&mut rng, &self.scenario.only, lease_ms);
            let fault = script.get(round).copied().unwrap_or(drawn);
            let began_at = self.history.now();
            self.fleet.inject(&fault, holder).await?;
            let Some(next_holder) = self.wait_for_holder(self.history.now()).await else {
                let problem = format!("round {round}: no node held the lease after {fault:?}");
                results.problems.push(problem);
                break;
            };
            tokio::time::sleep(self.scenario.shape.lease_duration.mul_f64(PAUSE_LEASES)).await;
            results.longest_gaps.push(self.longest_gap_since(began_at));
            holder = self.last_holder().unwrap_or(next_holder);
            let exits = self.fleet.unexpected_exits();
            if !exits.is_empty() {
                let problem = describe_unexpected_exits(round, &exits, &fault);
                results.problems.push(problem);
                break;
            }
        }
        Ok(results)
    }

    /// Waits for an action that was accepted at or after `since`, and returns its node. `None` after a timeout.
    async fn wait_for_holder(&self, since: Micros) -> Option<usize> {
        let deadline = tokio::time::Instant::now() + self.holder_timeout();
        while tokio::time::Instant::now() < deadline {
            if let Some(action) = self.collector.last_accepted() {
                if action.at >= since {
                    return node_index(&action.holder.node);
                }
            }
            tokio::time::sleep(ACTION_POLL_INTERVAL).await;
        }
        self.history.add("nobody", &json!({"since_us": since}));
        None
    }

    fn holder_timeout(&self) -> Duration {
        self.scenario.shape.lease_duration * RECOVERY_LEASES + RECOVERY_ALLOWANCE
    }

    fn last_holder(&self) -> Option<usize> {
        let action = self.collector.last_accepted()?;
        node_index(&action.holder.node)
    }

    /// The longest gap between accepted actions, starting with the last action before `began_at`.
    fn longest_gap_since(&self, began_at: Micros) -> Micros {
        let actions = self.collector.actions();
        let first = actions
            .partition_point(|action| action.at < began_at)
            .saturating_sub(1);
        let accepted_at: Vec<Micros> = actions[first..]
            .iter()
            .filter(|action| action.is_accepted)
            .map(|action| action.at)
            .collect();
        let gaps = accepted_at.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or(0)
    }
}
