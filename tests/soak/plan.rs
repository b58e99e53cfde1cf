//! The plan of a run, drawn from its seed: site settings, faults of discovery and replicas, and signals to the process.

use oorandom::Rand64;
use std::time::Duration;

/// Number of replicas. At most half of them drain.
pub const REPLICA_COUNT: usize = 6;
/// Earliest action on the process in seconds; clients are running by then.
const FIRST_ACTION_S: f64 = 1.0;
/// Latest start of an action on the process, in seconds.
const LAST_ACTION_S: f64 = 13.0;
/// Latest start of a discovery fault, in seconds.
const LAST_FAULT_S: f64 = 12.0;
/// Spreads consecutive seeds so that their runs differ.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Converts seconds to a duration; negative values count as 0.
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0))
}

/// A temporary fault of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// Answers new and waiting polls with 503.
    Down,
    /// Answers each poll after almost a second, and most with 503.
    Overloaded,
    /// Leaves waiting and new polls unanswered, with their connections open.
    Unresponsive,
    /// Truncates answers and closes the connection.
    Truncated,
    /// Truncates answers and keeps the connection open.
    Stalled,
    /// Sends answers in several pieces.
    Fragmented,
}

/// A fault of discovery and its time window.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    pub fault: DiscoveryFault,
    pub begins: Duration,
    pub ends: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAction {
    /// SIGKILL, and a restart half a second later.
    Kill,
    /// SIGTERM, SIGKILL as soon as the platform's grace period is over, and a restart.
    Terminate,
    /// Like `Terminate`, but with SIGTERM, SIGHUP and SIGTERM again.
    TerminateRepeatedly,
    /// Three SIGHUPs after discovery's address in the configuration has changed to the other one.
    Reload,
    /// A suspension that is too short to extend any time limit: SIGSTOP, and SIGCONT within 0.15 s.
    Pause,
    /// A longer suspension by SIGSTOP and SIGCONT, which extends the time limits of responses.
    Suspend,
}

/// An action and its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAction {
    pub action: ProcessAction,
    pub at: Duration,
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub allows_probes: bool,
    /// The semantics of the class, as in the settings.
    pub semantics: &'static str,
    /// The longest deadline of a request. Clients draw shorter ones, too.
    pub max_deadline: Duration,
    /// Number of idle connections.
    pub idle_client_count: usize,
    pub client_threads: usize,
    /// When the first replicas begin to drain, one time per replica.
    pub drains: Vec<Duration>,
    /// Whether the last replica responds only after 30 s.
    pub has_hanging_replica: bool,
    pub faults: Vec<FaultWindow>,
    pub actions: Vec<PlannedAction>,
    /// Fraction of the streams whose events come slowly.
    pub slow_stream_share: f64,
    /// Fraction of the streams that go on without events.
    pub spoilt_stream_share: f64,
    /// Whether the operators allow streams to be continued.
    pub continues_streams: bool,
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
            idle_client_count: if rng.rand_float() < 0.25 { 300 } else { 0 },
            client_threads: rng.rand_range(4..10) as usize,
            drains: drains.into_iter().map(seconds).collect(),
            has_hanging_replica: rng.rand_float() < 0.4,
            faults: draw_faults(&mut rng, allows_probes),
            actions: draw_actions(&mut rng),
            slow_stream_share: [0.0, 0.02, 0.05][rng.rand_range(0..3) as usize],
            spoilt_stream_share: [0.0, 0.02, 0.05][rng.rand_range(0..3) as usize],
            continues_streams: rng.rand_float() < 0.3,
            ends: seconds(LAST_ACTION_S + 4.5),
        }
    }

    /// The fault of discovery at this time; `None` if it has none.
    pub fn fault_at(&self, at: Duration) -> Option<DiscoveryFault> {
        let window = self
            .faults
            .iter()
            .find(|window| (window.begins..window.ends).contains(&at));
        window.map(|window| window.fault)
    }

    /// Whether discovery was not [`DiscoveryFault::Down`] at any time in the `span` before `at`.
    pub fn was_reachable(&self, at: Duration, span: Duration) -> bool {
        let from = at.saturating_sub(span);
        self.faults
            .iter()
            .filter(|window| window.fault == DiscoveryFault::Down)
            .all(|window| window.ends <= from || at <= window.begins)
    }
}

/// Draws consecutive faults. `Stalled`, `Down` and `Overloaded` are drawn only if probes of replicas are allowed: without
/// probes, a node cannot detect a drain during such a fault and routes by its last list, which is a known risk.
fn draw_faults(rng: &mut Rand64, allows_probes: bool) -> Vec<FaultWindow> {
    let mut kinds = vec![
        DiscoveryFault::Unresponsive,
        DiscoveryFault::Truncated,
        DiscoveryFault::Fragmented,
    ];
    if allows_probes {
        kinds.extend([
            DiscoveryFault::Stalled,
            DiscoveryFault::Down,
            DiscoveryFault::Overloaded,
        ]);
    }
    let mut windows = Vec::new();
    let mut at = rng.rand_float() * 2.0;
    while at < LAST_FAULT_S {
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

fn draw_actions(rng: &mut Rand64) -> Vec<PlannedAction> {
    let kinds = [
        ProcessAction::Kill,
        ProcessAction::Kill,
        ProcessAction::Terminate,
        ProcessAction::TerminateRepeatedly,
        ProcessAction::Reload,
        ProcessAction::Pause,
        ProcessAction::Suspend,
    ];
    let mut actions = Vec::new();
    let mut at = FIRST_ACTION_S + rng.rand_float() * 2.0;
    while at < LAST_ACTION_S {
        let action = kinds[rng.rand_range(0..kinds.len() as u64) as usize];
        actions.push(PlannedAction {
            action,
            at: seconds(at),
        });
        at += 1.0 + rng.rand_float() * 4.0;
    }
    actions
}
