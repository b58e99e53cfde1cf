//! Records a run while it is in progress and computes its [`RunOutcome`] at the end.
//!
//! The emulator and the load generator on sockets use the same recorder. Its memory is bounded: latencies are kept in
//! histograms, series in a fixed number of time slices.

use super::clients::ClientRequest;
use super::description::{ClassDescription, RunDescription};
use super::outcome::{QuantileSummary, RequestEnd, RunOutcome, Tally, QUANTILES, TIME_SLICE_COUNT};
use crate::Micros;
use hdrhistogram::Histogram;

/// Maximum number of rows of the heat map; in larger fleets neighbouring servers share a row.
const MAX_HEAT_ROWS: usize = 32;
/// The largest value that histograms record, in microseconds: almost three hours. Larger values are recorded as this
/// one.
const MAX_RECORDED: Micros = 10_000_000_000;
/// Significant decimal digits of histograms.
const HISTOGRAM_DIGITS: u8 = 2;

/// The occupancy of a server at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ServerOccupancy {
    /// Requests running and queued.
    pub held_requests: usize,
    /// Requests that can run at once.
    pub slots: usize,
}

/// The sum of one row of the heat map for one sample.
#[derive(Clone, Copy, Debug, Default)]
struct HeatRow {
    occupancy_sum: f32,
    server_count: u32,
}

/// Records the outcome of a run.
pub struct OutcomeRecorder {
    slice_duration: Micros,
    outcome: RunOutcome,
    first_token_times: Histogram<u64>,
    completion_times: Histogram<u64>,
    token_gaps: Histogram<u64>,
    rejection_times: Histogram<u64>,
    heat_rows: Vec<HeatRow>,
}

impl OutcomeRecorder {
    /// Creates an empty recorder.
    pub fn new(run: &RunDescription) -> Self {
        let run_duration = (run.load.seconds * 1e6) as Micros;
        let slice_duration = (run_duration / TIME_SLICE_COUNT as Micros).max(1);
        let row_count = run.fleet.servers.min(MAX_HEAT_ROWS);
        let class_names = run.class.iter().map(|class| class.name.clone());
        let tenant_names = run.tenant.iter().map(|tenant| tenant.name.clone());
        let outcome = RunOutcome {
            piece_s: slice_duration as f64 / 1e6,
            faults: run.fault.clone(),
            classes: class_names.map(|name| (name, Tally::default())).collect(),
            tenants: tenant_names.map(|name| (name, Tally::default())).collect(),
            series: vec![Tally::default(); TIME_SLICE_COUNT],
            held: vec![0.0; TIME_SLICE_COUNT],
            heat: vec![vec![0.0; TIME_SLICE_COUNT]; row_count],
            ..RunOutcome::default()
        };
        OutcomeRecorder {
            slice_duration,
            outcome,
            first_token_times: new_histogram(),
            completion_times: new_histogram(),
            token_gaps: new_histogram(),
            rejection_times: new_histogram(),
            heat_rows: vec![HeatRow::default(); row_count],
        }
    }

    pub fn slice_duration(&self) -> Micros {
        self.slice_duration
    }

    /// The outcome so far, for counters that the caller maintains. Quantiles are empty until [`Self::finish`].
    pub fn outcome_mut(&mut self) -> &mut RunOutcome {
        &mut self.outcome
    }

    /// Records the end of a request. Complete answers are passed as [`RequestEnd::Good`]; this method decides by the
    /// objectives of the class whether the answer was late.
    ///
    /// Returns whether the answer was complete.
    pub fn record_end(
        &mut self,
        class: &ClassDescription,
        request: &ClientRequest,
        now: Micros,
        first_token_at: Option<Micros>,
        end: RequestEnd,
    ) -> bool {
        let first_token_time = first_token_at
            .unwrap_or(now)
            .saturating_sub(request.first_sent_at);
        let mut end = end;
        let mut gained = 0.0;
        if end == RequestEnd::Good {
            let streaming_time = now.saturating_sub(first_token_at.unwrap_or(now));
            if !meets_objectives(class, request, first_token_time, streaming_time) {
                end = RequestEnd::Late;
            }
            gained = if end == RequestEnd::Good {
                class.worth
            } else {
                class.worth * class.late_worth
            };
            let completion_time = now.saturating_sub(request.first_sent_at);
            self.completion_times
                .saturating_record(completion_time.max(1));
        }
        self.add_to_tallies(request, end, class.worth, gained);
        match end {
            RequestEnd::Good | RequestEnd::Late | RequestEnd::Broken => {
                self.first_token_times
                    .saturating_record(first_token_time.max(1));
            }
            RequestEnd::Refused | RequestEnd::Failed => {
                self.rejection_times
                    .saturating_record(first_token_time.max(1));
            }
            RequestEnd::Left => {}
        }
        matches!(end, RequestEnd::Good | RequestEnd::Late)
    }

    /// Records `count` tokens, each of which followed the previous one after `duration`.
    pub fn record_token_gaps(&mut self, duration: Micros, count: u64) {
        self.token_gaps.saturating_record_n(duration.max(1), count);
    }

    /// Records the occupancy of all servers at one moment. `servers` yields all `server_count` servers in the order of
    /// their indexes.
    pub fn record_occupancy(
        &mut self,
        now: Micros,
        servers: impl Iterator<Item = ServerOccupancy>,
        server_count: usize,
    ) {
        let slice = (now / self.slice_duration) as usize;
        if slice >= TIME_SLICE_COUNT {
            return;
        }
        let row_count = self.heat_rows.len();
        self.heat_rows.fill(HeatRow::default());
        let mut total_held = 0;
        for (index, server) in servers.enumerate() {
            let row = &mut self.heat_rows[index * row_count / server_count];
            row.occupancy_sum += server.held_requests as f32 / server.slots as f32;
            row.server_count += 1;
            total_held += server.held_requests;
        }
        self.outcome.held[slice] = total_held as f64;
        for (index, row) in self.heat_rows.iter().enumerate() {
            self.outcome.heat[index][slice] = row.occupancy_sum / row.server_count.max(1) as f32;
        }
    }

    /// Computes the outcome of a run with `event_count` events.
    pub fn finish(mut self, event_count: u64) -> RunOutcome {
        self.outcome.events = event_count;
        self.outcome.first = summarize(&self.first_token_times);
        self.outcome.whole = summarize(&self.completion_times);
        self.outcome.gaps = summarize(&self.token_gaps);
        self.outcome.refusals = summarize(&self.rejection_times);
        self.outcome
    }

    fn add_to_tallies(
        &mut self,
        request: &ClientRequest,
        end: RequestEnd,
        offered: f64,
        gained: f64,
    ) {
        let slice = (request.first_sent_at / self.slice_duration) as usize;
        let slice = slice.min(TIME_SLICE_COUNT - 1);
        let outcome = &mut self.outcome;
        outcome.all.add(end, offered, gained);
        outcome.classes[request.class].1.add(end, offered, gained);
        outcome.tenants[request.tenant].1.add(end, offered, gained);
        outcome.series[slice].add(end, offered, gained);
    }
}

/// Whether a complete answer met the objectives of its class.
fn meets_objectives(
    class: &ClassDescription,
    request: &ClientRequest,
    first_token_time: Micros,
    streaming_time: Micros,
) -> bool {
    let later_tokens = request.answer_tokens.saturating_sub(1).max(1);
    let inter_token_s = streaming_time as f64 / 1e6 / f64::from(later_tokens);
    first_token_time as f64 <= class.aim_s * 1e6 && inter_token_s <= class.token_aim_s
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_RECORDED, HISTOGRAM_DIGITS) {
        Ok(histogram) => histogram,
        Err(_) => unreachable!("the bounds are valid constants"),
    }
}

fn summarize(histogram: &Histogram<u64>) -> QuantileSummary {
    let mut values_ms = Vec::new();
    if !histogram.is_empty() {
        for quantile in QUANTILES {
            values_ms.push(histogram.value_at_quantile(quantile) as f64 / 1000.0);
        }
    }
    QuantileSummary {
        count: histogram.len(),
        at: values_ms,
    }
}
