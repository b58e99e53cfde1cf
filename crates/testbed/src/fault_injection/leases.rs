//! `break leases`: a fleet that makes its report under a lease, while faults are injected one after the other.
//!
//! Each round injects a fault, waits until the lease is held again, and measures how long the report was not made. The
//! verdict is that of [`judge_actions`] on the record of the [`ReportCollector`].

use super::collector::ReportCollector;
use super::error::{unexpected_exit_text, FaultInjectionError};
use super::injected_fault::{InjectedFault, InjectedFaultKind};
use super::lease_verdict::{judge_actions, LeaseVerdict, LeasedAction};
use super::run_history::RunHistory;
use super::test_fleet::{node_of_name, FleetSetup, FleetShape, TestFleet};
use crate::Micros;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// After a fault the lease must be held again within so many durations of a lease ...
const RECOVERY_LEASES: u32 = 4;
/// ... and so much more.
const RECOVERY_ALLOWANCE: Duration = Duration::from_secs(8);
/// The time without a fault after each round, in durations of a lease.
const QUIET_LEASES: f64 = 0.5;
/// How often it is looked for a new action.
const ACTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What is to be played.
#[derive(Clone, Debug)]
pub struct LeaseScenario {
    /// The fleet.
    pub shape: FleetShape,
    /// How many faults are drawn.
    pub rounds: usize,
    /// The seed from which all is drawn.
    pub seed: u64,
    /// The kinds of faults that are drawn; an empty list stands for all.
    pub only: Vec<InjectedFaultKind>,
    /// Faults that are played in their order in place of drawn ones.
    pub script: Vec<InjectedFault>,
    /// Whether what is acted upon rejects old epochs.
    pub rejects_old_epochs: bool,
}

/// What was found.
#[derive(Clone, Debug)]
pub struct LeaseReport {
    /// The verdict on the record of actions.
    pub verdict: LeaseVerdict,
    /// Rounds played.
    pub rounds: usize,
    /// The longest time without an action of each round, from its fault to the next one.
    pub longest_gaps: Vec<Micros>,
    /// The most by which the number of an interval went on faster or slower than time, between one accepted action and
    /// the next.
    pub max_interval_skew: u64,
    /// Lease servers that said that their disks had failed.
    pub failed_disk_count: usize,
    /// Processes that ended by themselves, and rounds after which nobody held the lease.
    pub problems: Vec<String>,
}

impl LeaseReport {
    /// One line that sums it up.
    pub fn summary(&self, seed: u64) -> String {
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

    /// Whether no rule was violated.
    pub fn is_good(&self) -> bool {
        self.verdict.overlaps.is_empty() && self.problems.is_empty()
    }

    /// A quantile of the rounds' longest times without an action.
    pub fn gap_quantile(&self, quantile: f64) -> Micros {
        let mut sorted = self.longest_gaps.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * quantile) as usize;
        let last_index = sorted.len().saturating_sub(1);
        sorted.get(index.min(last_index)).copied().unwrap_or(0)
    }
}

/// Plays a scenario; `folder` takes configurations, disks, logs and the history.
///
/// # Errors
///
/// [`FaultInjectionError`] where the fleet cannot be started, or never works without a fault.
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
    let player = ScenarioPlayer {
        scenario,
        fleet: &fleet,
        collector: &collector,
        history: &history,
    };
    let played = player.play_rounds().await;
    fleet.kill_all().await;
    let played = played?;
    let actions = collector.actions();
    let verdict = judge_actions(&actions);
    history.add(
        "verdict",
        &json!({"overlaps": verdict.overlaps, "wrong": played.problems}),
    );
    Ok(LeaseReport {
        verdict,
        rounds: played.longest_gaps.len(),
        longest_gaps: played.longest_gaps,
        max_interval_skew: max_interval_skew(&actions, scenario.shape.report_interval),
        failed_disk_count: fleet.failed_disk_count(),
        problems: played.problems,
    })
}

/// How far the numbers of intervals and the time between accepted actions are apart at most.
fn max_interval_skew(actions: &[LeasedAction], interval: Duration) -> u64 {
    let interval_micros = (interval.as_micros() as u64).max(1);
    let accepted: Vec<&LeasedAction> = actions.iter().filter(|action| action.is_accepted).collect();
    let skews = accepted.windows(2).map(|pair| {
        let numbered = pair[1].interval.abs_diff(pair[0].interval);
        let passed = (pair[1].at - pair[0].at) / interval_micros;
        numbered.abs_diff(passed)
    });
    skews.max().unwrap_or(0)
}

/// What the rounds came to.
#[derive(Default)]
struct PlayedRounds {
    longest_gaps: Vec<Micros>,
    problems: Vec<String>,
}

struct ScenarioPlayer<'a> {
    scenario: &'a LeaseScenario,
    fleet: &'a TestFleet,
    collector: &'a ReportCollector,
    history: &'a RunHistory,
}

impl ScenarioPlayer<'_> {
    async fn play_rounds(&self) -> Result<PlayedRounds, FaultInjectionError> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.scenario.seed);
        let script = &self.scenario.script;
        let lease_ms = self.scenario.shape.lease_duration.as_millis() as u64;
        let round_count = if script.is_empty() {
            self.scenario.rounds
        } else {
            script.len()
        };
        let Some(mut holder) = self.wait_for_holder(0).await else {
            return Err(FaultInjectionError::NeverHeld);
        };
        self.fleet.back_up_disks()?;
        let mut played = PlayedRounds::default();
        for round in 0..round_count {
            let drawn = InjectedFault::draw(&mut rng, &self.scenario.only, lease_ms);
            let fault = script.get(round).copied().unwrap_or(drawn);
            let began_at = self.history.now();
            self.fleet.inject(&fault, holder).await?;
            let Some(next_holder) = self.wait_for_holder(self.history.now()).await else {
                let problem = format!("round {round}: nobody held the task after {fault:?}");
                played.problems.push(problem);
                break;
            };
            tokio::time::sleep(self.scenario.shape.lease_duration.mul_f64(QUIET_LEASES)).await;
            played.longest_gaps.push(self.longest_gap_since(began_at));
            holder = self.last_holder().unwrap_or(next_holder);
            let exits = self.fleet.take_unexpected_exits();
            if !exits.is_empty() {
                let problem = unexpected_exit_text(round, &exits, &fault);
                played.problems.push(problem);
                break;
            }
        }
        Ok(played)
    }

    /// Waits for an accepted action since a time, and returns its node. `None` where there is none in time.
    async fn wait_for_holder(&self, since: Micros) -> Option<usize> {
        let timeout = self.scenario.shape.lease_duration * RECOVERY_LEASES + RECOVERY_ALLOWANCE;
        let deadline = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < deadline {
            if let Some(action) = self.collector.last_accepted() {
                if action.at >= since {
                    return node_of_name(&action.holder.node);
                }
            }
            tokio::time::sleep(ACTION_POLL_INTERVAL).await;
        }
        self.history.add("nobody", &json!({"since_us": since}));
        None
    }

    fn last_holder(&self) -> Option<usize> {
        let action = self.collector.last_accepted()?;
        node_of_name(&action.holder.node)
    }

    /// The longest time between accepted actions from the one before a time on.
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
