//! What a run comes to: counts, worth, latencies and series of bounded size, and broken rules.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::clients::ClientRequest;
use super::description::{ClassDescription, FaultDescription, RunDescription};
use crate::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Pieces that a run's time is cut into.
pub const TIME_SLICE_COUNT: usize = 120;
/// Rows of the heat map at most; more servers than that share rows.
pub const ROWS: usize = 32;
/// The parts of values that are told.
pub const QUANTILES: [f64; 7] = [0.1, 0.5, 0.9, 0.95, 0.99, 0.999, 1.0];

/// How a request ended for its client, after all its tries.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Whole, and in time.
    Good,
    /// Whole, but its first token or its pace was late.
    Late,
    /// Turned away.
    Refused,
    /// Failed before its first token.
    Failed,
    /// Broken off after it.
    Broken,
    /// The client had left.
    Left,
}

impl RequestEnd {
    /// All of them, in the order of counts.
    pub const ALL: [RequestEnd; 6] = [
        RequestEnd::Good,
        RequestEnd::Late,
        RequestEnd::Refused,
        RequestEnd::Failed,
        RequestEnd::Broken,
        RequestEnd::Left,
    ];
}

/// Counts and worth of some requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Tally {
    /// What their answers were worth, had all been good.
    pub offered: f64,
    /// What they were worth.
    pub gained: f64,
    /// How they ended, in the order of [`RequestEnd::ALL`].
    pub ends: [u64; 6],
}

impl Tally {
    fn add(&mut self, end: RequestEnd, worth: f64, gained: f64) {
        self.offered += worth;
        self.gained += gained;
        self.ends[end as usize] += 1;
    }

    /// The served part of worth, 0 to 1.
    pub fn part(&self) -> f64 {
        if self.offered > 0.0 {
            self.gained / self.offered
        } else {
            0.0
        }
    }

    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.ends.iter().sum()
    }
}

/// Values' parts, in milliseconds, at [`QUANTILES`].
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct QuantileSummary {
    /// How many there were.
    pub count: u64,
    /// At each of [`QUANTILES`].
    pub at: Vec<f64>,
}

/// Rules that hold for every run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct RuleViolations {
    /// Final outcomes beyond one for a request.
    pub doubled: u64,
    /// Requests without a final outcome at the run's end.
    pub lost: u64,
    /// Requests sent again whose class forbids it, after they may have run.
    pub repeated: u64,
    /// Requests sent to servers whose drain the node had known for longer than the rules allow.
    pub drained: u64,
}

impl RuleViolations {
    /// All together.
    pub fn sum(&self) -> u64 {
        self.doubled + self.lost + self.repeated + self.drained
    }
}

/// What talk between nodes came to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct CoordinationSummary {
    /// Messages and bytes that a node sent a second in the second half of the run, the mean.
    pub node: (f64, f64),
    /// The same of the busiest keeper.
    pub keeper: (f64, f64),
    /// Moments, one each 5 ms, at which two nodes held the task.
    pub overlaps: u64,
    /// The longest time without a holder after the first one, in seconds.
    pub longest_without: f64,
    /// The most by which repeats at the servers exceeded the budget's rate over any window, as a part of its burst.
    pub worst_window: f64,
}

/// What a run came to.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct RunOutcome {
    /// All requests.
    pub all: Tally,
    /// By class.
    pub classes: Vec<(String, Tally)>,
    /// By tenant.
    pub tenants: Vec<(String, Tally)>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Attempts that reached a server and were not their request's first.
    #[serde(default)]
    pub repeats: u64,
    /// Attempts from zone to zone.
    pub crossed: u64,
    /// Probes.
    pub probes: u64,
    /// Connections made.
    pub connected: u64,
    /// Prompt tokens of whole answers, and how many of them had been kept.
    pub prompt: (u64, u64),
    /// Requests that started over for want of memory.
    pub preempted: u64,
    /// Times to the first token of answers that had one.
    pub first: QuantileSummary,
    /// Times to the last token of whole answers.
    pub whole: QuantileSummary,
    /// Gaps between tokens as servers made them.
    pub gaps: QuantileSummary,
    /// Times from a client's first try to a word that it gets nothing.
    pub refusals: QuantileSummary,
    /// The length of one piece of the series, in seconds.
    pub piece_s: f64,
    /// By pieces of time, in the order of requests' first tries.
    pub series: Vec<Tally>,
    /// By pieces of time, requests that servers held.
    pub held: Vec<f64>,
    /// By rows of servers and pieces of time: requests held over slots.
    pub heat: Vec<Vec<f32>>,
    /// What went wrong, for the axis of time.
    pub faults: Vec<FaultDescription>,
    /// Rules that were broken.
    pub broken: RuleViolations,
    /// Of talk between the nodes, where there was any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub talked: Option<CoordinationSummary>,
    /// Events of the run.
    pub events: u64,
}

/// Takes a run's measures.
pub struct OutcomeRecorder {
    piece: Micros,
    out: RunOutcome,
    first: Histogram<u64>,
    whole: Histogram<u64>,
    gaps: Histogram<u64>,
    refusals: Histogram<u64>,
    rows: Vec<(f32, u32)>,
}

fn histogram() -> Histogram<u64> {
    // 1 microsecond to some hours by two digits; longer values count as the longest.
    match Histogram::new_with_bounds(1, 10_000_000_000, 2) {
        Ok(histogram) => histogram,
        Err(_) => unreachable!("the bounds are constants that hold"),
    }
}

fn spread(histogram: &Histogram<u64>) -> QuantileSummary {
    let at = |part: &f64| histogram.value_at_quantile(*part) as f64 / 1000.0;
    QuantileSummary {
        count: histogram.len(),
        at: if histogram.is_empty() {
            vec![]
        } else {
            QUANTILES.iter().map(at).collect()
        },
    }
}

impl OutcomeRecorder {
    /// Nothing yet.
    pub fn new(run: &RunDescription) -> Self {
        let piece = ((run.load.seconds * 1e6) as Micros / TIME_SLICE_COUNT as Micros).max(1);
        let mut out = RunOutcome {
            piece_s: piece as f64 / 1e6,
            faults: run.fault.clone(),
            ..RunOutcome::default()
        };
        out.classes = run
            .class
            .iter()
            .map(|c| (c.name.clone(), Tally::default()))
            .collect();
        out.tenants = run
            .tenant
            .iter()
            .map(|t| (t.name.clone(), Tally::default()))
            .collect();
        (out.series, out.held) = (
            vec![Tally::default(); TIME_SLICE_COUNT],
            vec![0.0; TIME_SLICE_COUNT],
        );
        let rows = run.fleet.servers.min(ROWS);
        out.heat = vec![vec![0.0; TIME_SLICE_COUNT]; rows];
        let (first, whole, gaps, refusals) = (histogram(), histogram(), histogram(), histogram());
        OutcomeRecorder {
            piece,
            out,
            first,
            whole,
            gaps,
            refusals,
            rows: vec![(0.0, 0); rows],
        }
    }

    /// The length of a piece.
    pub fn piece(&self) -> Micros {
        self.piece
    }

    /// Counts beside ends.
    pub fn counts(&mut self) -> &mut RunOutcome {
        &mut self.out
    }

    /// A request has its end; `first` is when its first token came. Whether a whole answer was good or late is judged
    /// here, by its class's aims; returned is whether it was whole.
    pub fn end(
        &mut self,
        class: &ClassDescription,
        work: &ClientRequest,
        now: Micros,
        first: Option<Micros>,
        end: RequestEnd,
    ) -> bool {
        let waited = first.unwrap_or(now).saturating_sub(work.sent);
        let (mut end, mut gained) = (end, 0.0);
        if end == RequestEnd::Good {
            let pace = now.saturating_sub(first.unwrap_or(now)) as f64 / 1e6;
            let pace = pace / f64::from(work.answer.saturating_sub(1).max(1));
            let good = waited as f64 <= class.aim_s * 1e6 && pace <= class.token_aim_s;
            end = if good {
                RequestEnd::Good
            } else {
                RequestEnd::Late
            };
            gained = if good {
                class.worth
            } else {
                class.worth * class.late_worth
            };
            self.whole
                .saturating_record(now.saturating_sub(work.sent).max(1));
        }
        let piece = ((work.sent / self.piece) as usize).min(TIME_SLICE_COUNT - 1);
        let out = &mut self.out;
        let groups = [
            &mut out.all,
            &mut out.classes[work.class].1,
            &mut out.tenants[work.tenant].1,
            &mut out.series[piece],
        ];
        groups
            .into_iter()
            .for_each(|tally| tally.add(end, class.worth, gained));
        match end {
            RequestEnd::Good | RequestEnd::Late | RequestEnd::Broken => {
                self.first.saturating_record(waited.max(1))
            }
            RequestEnd::Refused | RequestEnd::Failed => {
                self.refusals.saturating_record(waited.max(1))
            }
            RequestEnd::Left => {}
        }
        matches!(end, RequestEnd::Good | RequestEnd::Late)
    }

    /// So many tokens came this long after those before them.
    pub fn gap(&mut self, gap: Micros, count: u64) {
        self.gaps.saturating_record_n(gap.max(1), count);
    }

    /// Servers' loads at one moment: requests held and slots, in order.
    pub fn sample(
        &mut self,
        now: Micros,
        loads: impl Iterator<Item = (usize, usize)>,
        servers: usize,
    ) {
        let piece = (now / self.piece) as usize;
        if piece >= TIME_SLICE_COUNT {
            return;
        }
        let rows = self.rows.len();
        self.rows.iter_mut().for_each(|r| *r = (0.0, 0));
        let mut all = 0;
        for (n, (held, slots)) in loads.enumerate() {
            let row = &mut self.rows[n * rows / servers];
            *row = (row.0 + held as f32 / slots as f32, row.1 + 1);
            all += held;
        }
        self.out.held[piece] = all as f64;
        for (row, (sum, count)) in self.rows.iter().enumerate() {
            self.out.heat[row][piece] = sum / (*count).max(1) as f32;
        }
    }

    /// All of it.
    pub fn done(mut self, events: u64) -> RunOutcome {
        self.out.events = events;
        self.out.first = spread(&self.first);
        self.out.whole = spread(&self.whole);
        self.out.gaps = spread(&self.gaps);
        self.out.refusals = spread(&self.refusals);
        self.out
    }
}
