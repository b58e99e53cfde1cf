//! What is drawn for a run from its seed: the site, the faults of discovery and replicas, and what is done to the process.

use oorandom::Rand64;
use std::time::Duration;

/// Replicas of a run. Half of them at most drain.
pub const REPLICA_COUNT: usize = 6;
/// The process is not touched before this time, and clients are there.
const FIRST_ACT: f64 = 1.0;
/// Nothing new happens to the process after this time.
const LAST_ACT: f64 = 13.0;
/// No discovery fault begins after this time.
const LAST_FAULT: f64 = 12.0;
/// An hour of seeds is not to look alike.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A drawn time.
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0))
}

/// What discovery does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It answers each poll with 503, and ends the watches.
    Down,
    /// It keeps each poll for a second and then answers most of them with 503.
    Crowded,
    /// Polls that are waiting, or come now, are never answered.
    Silent,
    /// Answers are cut in the middle.
    Half,
    /// Answers stop in the middle, and the connection stays open.
    Stalled,
    /// Answers come in pieces.
    Pieces,
}

/// A fault of discovery and its time.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    pub fault: DiscoveryFault,
    pub begins: Duration,
    pub ends: Duration,
}

/// What is done to the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAct {
    /// SIGKILL, and a start half a second later.
    Kill,
    /// SIGTERM, SIGKILL at the earliest time that the platform allows, and a start.
    Terminate,
    /// SIGTERM twice with a SIGHUP between, and the same.
    TerminateInSeries,
    /// Three SIGHUPs in a row, with discovery at its other address.
    Reload,
    /// SIGSTOP and SIGCONT within the time for which a process may be held up.
    HoldUp,
    /// SIGSTOP for longer, and SIGCONT.
    Suspend,
}

/// An act and its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAct {
    pub act: ProcessAct,
    pub at: Duration,
}

/// Everything that is drawn for a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub allows_probes: bool,
    /// What repeating a request may do, as the settings name it.
    pub semantics: &'static str,
    /// The longest deadline of a client.
    pub max_deadline: Duration,
    /// Idle connections that are opened at once.
    pub crowd: usize,
    pub client_threads: usize,
    /// When each of these replicas begins to drain.
    pub drains: Vec<Duration>,
    /// The last replica never answers a request.
    pub has_hung_replica: bool,
    pub faults: Vec<FaultWindow>,
    pub acts: Vec<PlannedAct>,
    pub ends: Duration,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut rng = Rand64::new(u128::from(seed.wrapping_mul(SEED_MULTIPLIER)));
        let allows_probes = rng.rand_float() < 0.75;
        let drain_count = rng.rand_range(1..4) as usize;
        let mut drains: Vec<f64> = (0..drain_count)
            .map(|_| 0.5 + rng.rand_float() * 10.0)
            .collect();
        drains.sort_by(f64::total_cmp);
        Plan {
            seed,
            allows_probes,
            semantics: ["safe", "unsafe"][rng.rand_range(0..2) as usize],
            max_deadline: seconds([1.0, 2.0, 3.0, 10.0][rng.rand_range(0..4) as usize]),
            crowd: if rng.rand_float() < 0.25 { 300 } else { 0 },
            client_threads: rng.rand_range(4..10) as usize,
            drains: drains.into_iter().map(seconds).collect(),
            has_hung_replica: rng.rand_float() < 0.4,
            faults: draw_faults(&mut rng, allows_probes),
            acts: draw_acts(&mut rng),
            ends: seconds(LAST_ACT + 4.5),
        }
    }

    /// The fault of discovery at this time.
    pub fn fault_at(&self, at: Duration) -> Option<DiscoveryFault> {
        let window = self
            .faults
            .iter()
            .find(|window| (window.begins..window.ends).contains(&at));
        window.map(|window| window.fault)
    }

    /// Whether discovery could be reached throughout the time before `at` for this long.
    pub fn was_reachable(&self, at: Duration, span: Duration) -> bool {
        let from = at.saturating_sub(span);
        self.faults
            .iter()
            .filter(|window| window.fault == DiscoveryFault::Down)
            .all(|window| window.ends <= from || at <= window.begins)
    }
}

/// One fault after the other. Where replicas can't be probed, an outage or a crowd leaves a node with nothing but its last
/// list, which is a known risk: these two are drawn only where they can.
fn draw_faults(rng: &mut Rand64, allows_probes: bool) -> Vec<FaultWindow> {
    let mut kinds = vec![
        DiscoveryFault::Silent,
        DiscoveryFault::Half,
        DiscoveryFault::Pieces,
    ];
    if allows_probes {
        kinds.extend([
            DiscoveryFault::Stalled,
            DiscoveryFault::Down,
            DiscoveryFault::Crowded,
        ]);
    }
    let mut windows = Vec::new();
    let mut at = rng.rand_float() * 2.0;
    while at < LAST_FAULT {
        let fault = kinds[rng.rand_range(0..kinds.len() as u64) as usize];
        let span = 0.3 + rng.rand_float() * 3.0;
        windows.push(FaultWindow {
            fault,
            begins: seconds(at),
            ends: seconds(at + span),
        });
        at += span + rng.rand_float() * 3.0;
    }
    windows
}

fn draw_acts(rng: &mut Rand64) -> Vec<PlannedAct> {
    let kinds = [
        ProcessAct::Kill,
        ProcessAct::Kill,
        ProcessAct::Terminate,
        ProcessAct::TerminateInSeries,
        ProcessAct::Reload,
        ProcessAct::HoldUp,
        ProcessAct::Suspend,
    ];
    let mut acts = Vec::new();
    let mut at = FIRST_ACT + rng.rand_float() * 2.0;
    while at < LAST_ACT {
        let act = kinds[rng.rand_range(0..kinds.len() as u64) as usize];
        acts.push(PlannedAct {
            act,
            at: seconds(at),
        });
        at += 1.0 + rng.rand_float() * 4.0;
    }
    acts
}
