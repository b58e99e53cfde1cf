//! What the view knows: from a simulation, or line by line from a node's log in JSON ([`node_log`]).

mod node_log;

use crate::emulator::{RequestEnd, RunOutcome, ServerStatus, Simulation};
use poppykeel_scheduler::EndpointState;
use std::collections::{BTreeMap, VecDeque};

/// Points of the line over time.
const MAX_POINTS: usize = 240;
/// Servers that are shown; a node of thousands has them all, a terminal has no room.
const MAX_ROWS: usize = 512;
/// A time slice is shown this many slices later, once most of its requests have ended.
const SLICE_DELAY: usize = 4;

/// One server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerRow {
    /// Its name.
    pub name: String,
    /// "up", "draining", "away" or "not listed".
    pub state: String,
    /// Running requests; of a node's log, streams that flow.
    pub running: u64,
    /// Queued requests; of a node's log, streams that do not flow.
    pub queued: u64,
    /// More in words, in place of a bar.
    pub details: String,
}

/// The time of what is shown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ViewTime {
    pub(super) elapsed_s: f64,
    /// How long it lasts, where that is known.
    pub(super) total_s: Option<f64>,
}

/// A count so far.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedCount {
    /// Its name as it is shown.
    pub name: String,
    /// The count.
    pub count: u64,
    /// By how much it grew a second between the last two looks.
    pub rate: Option<f64>,
}

/// A tenant's queued requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQueue {
    /// The tenant's name.
    pub tenant: String,
    /// The requests.
    pub queued: u64,
}

/// The in-flight limit of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyUse {
    /// Requests that may be in flight.
    pub limit: f64,
    /// Requests that are.
    pub in_flight: u64,
}

/// The counts of the look before, for rates.
#[derive(Clone, Debug, PartialEq)]
struct PreviousCounts {
    at_s: f64,
    counts: BTreeMap<String, u64>,
}

/// All that is shown.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewState {
    pub(super) title: String,
    pub(super) time: ViewTime,
    /// Counts in the order they are shown.
    pub(super) counts: Vec<NamedCount>,
    /// The served priority weight of the last time slices, in percent; of a node, the served fraction of what ended.
    pub(super) served_percent: VecDeque<f64>,
    pub(super) queues: Vec<TenantQueue>,
    pub(super) concurrency: Option<ConcurrencyUse>,
    pub(super) rows: Vec<ServerRow>,
    /// Streams in words.
    pub(super) streams: String,
    previous: Option<PreviousCounts>,
    /// Time slices that are shown.
    shown_slices: usize,
    tenants: Vec<String>,
}

impl ViewState {
    /// Nothing is known yet. Tenants are named in the order of their indexes.
    pub fn new(title: &str, tenants: Vec<String>) -> Self {
        ViewState {
            title: title.to_string(),
            tenants,
            ..ViewState::default()
        }
    }

    /// Counts so far, in the order they are shown.
    pub fn counts(&self) -> &[NamedCount] {
        &self.counts
    }

    /// The queued requests of tenants.
    pub fn queues(&self) -> &[TenantQueue] {
        &self.queues
    }

    /// The in-flight limit of a node; `None` of a simulation.
    pub fn concurrency(&self) -> Option<ConcurrencyUse> {
        self.concurrency
    }

    /// The servers.
    pub fn rows(&self) -> &[ServerRow] {
        &self.rows
    }

    /// Looks at a simulation; `load_seconds` is the length of its load.
    pub fn update_from_simulation(&mut self, simulation: &mut Simulation, load_seconds: f64) {
        let at_s = simulation.now() as f64 / 1e6;
        self.time = ViewTime {
            elapsed_s: at_s.min(load_seconds),
            total_s: Some(load_seconds),
        };
        let outcome = simulation.outcome_so_far();
        self.add_time_slices(at_s, outcome);
        let counts = outcome_counts(outcome);
        self.set_counts(at_s, &counts);
        let queued = simulation.queued_by_tenant();
        self.queues = queues(self.tenants.iter().cloned(), queued);
        self.streams = format!(
            "{} tries held by nodes and servers",
            simulation.open_submission_count()
        );
        self.rows = simulation
            .servers()
            .enumerate()
            .take(MAX_ROWS)
            .map(|(index, server)| server_row(index, server))
            .collect();
    }

    fn add_time_slices(&mut self, at_s: f64, outcome: &RunOutcome) {
        let ended_slices = ((at_s / outcome.piece_s) as usize)
            .saturating_sub(SLICE_DELAY)
            .min(outcome.series.len());
        for slice in &outcome.series[self.shown_slices.min(ended_slices)..ended_slices] {
            self.add_point(slice.served_fraction() * 100.0);
        }
        self.shown_slices = ended_slices;
    }

    fn add_point(&mut self, served_percent: f64) {
        if self.served_percent.len() == MAX_POINTS {
            self.served_percent.pop_front();
        }
        self.served_percent.push_back(served_percent);
    }

    /// Sets the counts, with their rates since the look before. Rates stay where no time has passed.
    fn set_counts(&mut self, at_s: f64, counts: &[(&str, u64)]) {
        let mut named_counts = Vec::with_capacity(counts.len());
        for (name, count) in counts {
            named_counts.push(NamedCount {
                name: (*name).to_string(),
                count: *count,
                rate: self.rate_since_previous(at_s, name, *count),
            });
        }
        let by_name = counts
            .iter()
            .map(|(name, count)| ((*name).to_string(), *count));
        self.previous = Some(PreviousCounts {
            at_s,
            counts: by_name.collect(),
        });
        self.counts = named_counts;
    }

    fn rate_since_previous(&self, at_s: f64, name: &str, count: u64) -> Option<f64> {
        let previous = self.previous.as_ref()?;
        if at_s <= previous.at_s {
            return self.named_count(name)?.rate;
        }
        let previous_count = previous.counts.get(name).copied().unwrap_or(0);
        let increase = count.saturating_sub(previous_count);
        Some(increase as f64 / (at_s - previous.at_s))
    }

    fn named_count(&self, name: &str) -> Option<&NamedCount> {
        self.counts.iter().find(|count| count.name == name)
    }
}

/// The counts of a simulation, with their names as they are shown.
fn outcome_counts(outcome: &RunOutcome) -> [(&'static str, u64); 6] {
    let count = |end: RequestEnd| outcome.all.ends[end as usize];
    let failed = count(RequestEnd::Failed) + count(RequestEnd::Broken) + count(RequestEnd::Left);
    [
        ("tries", outcome.tries),
        ("attempts", outcome.attempts),
        ("good", count(RequestEnd::Good)),
        ("late", count(RequestEnd::Late)),
        ("refused", count(RequestEnd::Refused)),
        ("failed", failed),
    ]
}

fn queues(
    tenants: impl Iterator<Item = String>,
    queued: impl IntoIterator<Item = u64>,
) -> Vec<TenantQueue> {
    tenants
        .zip(queued)
        .map(|(tenant, queued)| TenantQueue { tenant, queued })
        .collect()
}

fn server_row(index: usize, server: ServerStatus) -> ServerRow {
    let state = if server.is_up {
        match server.listed_state {
            EndpointState::Draining => "draining",
            EndpointState::Removed => "not listed",
            EndpointState::Available => "up",
        }
    } else {
        "away"
    };
    ServerRow {
        name: format!("m-{index}"),
        state: state.to_string(),
        running: server.requests.running as u64,
        queued: server.requests.queued as u64,
        details: String::new(),
    }
}
