//! Early rejection: a request that would be queued too long is rejected at its arrival instead of at its deadline.

use crate::concurrency::ConcurrencyLimit;
use crate::fair_queue::FairQueue;
use crate::host_types::HostTypeStatistics;
use crate::request::{Request, RequestDeadlines};
use crate::statistics::TrafficStatistics;
use crate::types::Seconds;

pub(crate) struct QueueWaitEstimator<'a> {
    pub(crate) now: Seconds,
    pub(crate) queue: &'a FairQueue,
    pub(crate) concurrency: &'a ConcurrencyLimit,
    pub(crate) traffic: &'a TrafficStatistics,
    pub(crate) host_types: &'a HostTypeStatistics,
}

impl QueueWaitEstimator<'_> {
    /// The estimated time until round robin dispatches this request: the cost ahead of it divided by the dispatch rate. The
    /// dispatch rate is at least the rate that the concurrency limit can sustain.
    pub(crate) fn wait_for(&self, request: &Request) -> Seconds {
        let cost_ahead = self.queue.cost_ahead_of(&request.queue_entry());
        let sustainable_rate = self.concurrency.limit() * self.traffic.mean_request_cost()
            / self.host_types.mean_service_time();
        let rate = self.traffic.dispatched_cost_rate(self.now);
        cost_ahead / rate.max(sustainable_rate)
    }
}

/// The longest queue wait with which a request is admitted: its TTFT objective, or the time until its deadline if that is
/// earlier.
pub(crate) fn max_queue_wait(
    now: Seconds,
    time_left: Seconds,
    deadlines: RequestDeadlines,
) -> Seconds {
    if now + deadlines.ttft_objective < deadlines.deadline {
        deadlines.ttft_objective
    } else {
        time_left
    }
}
