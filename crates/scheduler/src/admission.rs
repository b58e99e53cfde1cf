//! Early rejection: a request that would wait too long in the queue is rejected at its arrival, not at its deadline.

use crate::concurrency::ConcurrencyLimit;
use crate::fair_queue::FairQueue;
use crate::host_types::HostTypeStatistics;
use crate::request::{Request, RequestDeadlines};
use crate::statistics::TrafficStatistics;
use crate::types::Seconds;

/// What the wait in the queue is estimated from.
pub(crate) struct QueueWaitEstimator<'a> {
    pub(crate) now: Seconds,
    pub(crate) queue: &'a FairQueue,
    pub(crate) concurrency: &'a ConcurrencyLimit,
    pub(crate) traffic: &'a TrafficStatistics,
    pub(crate) host_types: &'a HostTypeStatistics,
}

impl QueueWaitEstimator<'_> {
    /// How long round robin would take to come to this request: the cost that it dispatches before, over its rate. The
    /// rate counts as what the concurrency limit can carry at the least.
    pub(crate) fn wait_for(&self, request: &Request) -> Seconds {
        let cost_ahead = self.queue.cost_ahead_of(&request.queue_entry());
        let sustainable_rate = self.concurrency.limit() * self.traffic.mean_request_cost()
            / self.host_types.mean_service_time();
        let rate = self.traffic.dispatched_cost_rate(self.now);
        cost_ahead / rate.max(sustainable_rate)
    }
}

/// The longest wait in the queue with which a request is admitted: up to its latency objective, or up to its deadline if
/// that comes first.
pub(crate) fn max_queue_wait(now: Seconds, time_left: Seconds, times: RequestDeadlines) -> Seconds {
    if now + times.ttft_objective < times.deadline {
        times.ttft_objective
    } else {
        time_left
    }
}
