//! Metrics of a run, as shown in tables and reports.

use crate::emulator::{RequestEnd, RunOutcome, Tally};

/// The position of the median in [`QUANTILES`](crate::emulator::QUANTILES).
const MEDIAN_INDEX: usize = 1;
/// The position of the 99th percentile in the same list.
const P99_INDEX: usize = 4;
/// The service has recovered when it serves this fraction of what it served before the fault.
const RECOVERED_FRACTION: f64 = 0.95;

/// A metric of a run. The names are values on the command line; the first paragraph of each comment is the title in
/// tables and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Metric {
    /// Served priority weight, in percent.
    Worth,
    /// 99th percentile of the time to first token, in milliseconds.
    FirstP99,
    /// Median of the time to first token, in milliseconds.
    FirstP50,
    /// Rejected requests, in percent.
    Refused,
    /// Requests that failed, broke off or whose client left, in percent.
    Failed,
    /// Attempts for each request sent by a client, client retries included.
    Attempts,
    /// Prompt tokens found in a prefix cache, in percent.
    Kept,
    /// Attempts across zones, in percent.
    Crossed,
    /// Violations of invariants.
    Broken,
    /// Attempts at servers beyond the first of each request, per 100 requests.
    Repeats,
    /// Seconds from the end of the first fault until a time slice serves 95% of the weight served before it.
    Recovery,
    /// Repeats at servers beyond the fleet's budget in the worst window, as a fraction of its burst.
    Window,
    /// Messages per second sent by a node.
    Messages,
    /// Bytes per second sent by a node.
    Bytes,
    /// Messages per second sent by the busiest lease server.
    KeeperMessages,
    /// Bytes per second sent by the busiest lease server.
    KeeperBytes,
    /// The longest time without a lease holder, in seconds.
    Without,
}

impl Metric {
    /// Its value in one run. NaN for times to first token if no answer had one, and for [`Metric::Recovery`] in a run
    /// without faults; 0 for metrics of the coordination in a run without it.
    pub fn value(self, outcome: &RunOutcome) -> f64 {
        let coordination = outcome.talked.unwrap_or_default();
        match self {
            Metric::Worth => outcome.all.served_fraction() * 100.0,
            Metric::FirstP99 => quantile_ms(outcome, P99_INDEX),
            Metric::FirstP50 => quantile_ms(outcome, MEDIAN_INDEX),
            Metric::Refused => percent_ended(outcome, &[RequestEnd::Refused]),
            Metric::Failed => percent_ended(
                outcome,
                &[RequestEnd::Failed, RequestEnd::Broken, RequestEnd::Left],
            ),
            Metric::Attempts => ratio(outcome.attempts, outcome.tries),
            Metric::Kept => ratio(outcome.prompt.cached, outcome.prompt.total) * 100.0,
            Metric::Crossed => ratio(outcome.crossed, outcome.attempts) * 100.0,
            Metric::Broken => outcome.broken.sum() as f64,
            Metric::Repeats => ratio(outcome.repeats, outcome.all.request_count()) * 100.0,
            Metric::Recovery => recovery_s(outcome),
            Metric::Window => coordination.worst_window,
            Metric::Messages => coordination.node.messages_per_second,
            Metric::Bytes => coordination.node.bytes_per_second,
            Metric::KeeperMessages => coordination.keeper.messages_per_second,
            Metric::KeeperBytes => coordination.keeper.bytes_per_second,
            Metric::Without => coordination.longest_without,
        }
    }
}

fn ratio(count: u64, of_count: u64) -> f64 {
    count as f64 / of_count.max(1) as f64
}

fn quantile_ms(outcome: &RunOutcome, index: usize) -> f64 {
    outcome.first.at.get(index).copied().unwrap_or(f64::NAN)
}

fn percent_ended(outcome: &RunOutcome, ends: &[RequestEnd]) -> f64 {
    let count = ends.iter().map(|end| outcome.all.ends[*end as usize]).sum();
    ratio(count, outcome.all.request_count()) * 100.0
}

/// The time in seconds from the end of the first fault until the service has recovered, or until the end of the run if
/// it does not recover; NaN without faults.
fn recovery_s(outcome: &RunOutcome) -> f64 {
    let Some(fault) = outcome.faults.first() else {
        return f64::NAN;
    };
    let slice_at = |seconds: f64| (seconds / outcome.piece_s) as usize;
    let begin = slice_at(fault.at_s);
    let end = slice_at(fault.at_s + fault.for_s);
    let before = served_fraction(outcome.series.get(begin / 2..begin).unwrap_or_default());
    let after = outcome.series.get(end..).unwrap_or_default();
    let is_recovered = |slice: &Tally| {
        slice.offered > 0.0 && slice.served_fraction() >= RECOVERED_FRACTION * before
    };
    let slices = after.iter().position(is_recovered).unwrap_or(after.len());
    slices as f64 * outcome.piece_s
}

fn served_fraction(slices: &[Tally]) -> f64 {
    let mut offered = 0.0;
    let mut gained = 0.0;
    for slice in slices {
        offered += slice.offered;
        gained += slice.gained;
    }
    gained / f64::max(offered, 1e-9)
}
