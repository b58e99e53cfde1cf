//! The concurrency limit: how many requests a router may have in flight at all warm replicas together and at each of them.
//!
//! Limits per replica alone would be too coarse, because one request from each of many routers can overload a replica. The
//! router therefore also has a common limit, which grows on early first tokens and shrinks on late ones.

use crate::types::Seconds;

/// The initial limit of all routers together for each warm replica; each router gets an equal part.
const INITIAL_LIMIT_PER_REPLICA: f64 = 8.0;
/// Growth factor of the limit on an early first token, if at least half of the limit is used.
const GROWTH_FACTOR: f64 = 1.04;
/// Reduction factor of the limit on a late first token, a broken stream, a timeout or a replica at capacity. Stronger
/// reductions left replicas idle.
const REDUCTION_FACTOR: f64 = 0.985;
/// The limit of one replica, as a multiple of the common limit divided by the number of warm replicas.
const REPLICA_LIMIT_FACTOR: f64 = 4.0;
/// The limit of one replica is at least this many requests.
const MIN_REPLICA_LIMIT: f64 = 4.0;
/// Best-effort requests may use only this fraction of the common limit, because other routers may have queued requests of
/// higher priority.
const BEST_EFFORT_FRACTION: f64 = 0.4;
/// A first token is late after this fraction of its TTFT objective: prefill delays running streams, and a first token that
/// needs the whole objective shows overload too late.
const LATE_FRACTION: f64 = 0.3;

/// How a first token affects the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FirstTokenTiming {
    Early,
    OnTime,
    Late,
}

impl FirstTokenTiming {
    /// Compares a time to first token with the request's TTFT objective and with the time that the request was queued in the
    /// router. A first token that took less time than the request was queued is never late: if replicas are replaced
    /// frequently, nothing is cached and first tokens take long although replicas have capacity, and a limit reduced for
    /// that reason alone shrinks until requests wait longer in the router than at replicas.
    pub(crate) fn classify(elapsed: Seconds, ttft_objective: Seconds, waited: Seconds) -> Self {
        let late = ttft_objective * LATE_FRACTION;
        if elapsed > late && elapsed > waited {
            FirstTokenTiming::Late
        } else if elapsed <= late / 2.0 {
            FirstTokenTiming::Early
        } else {
            FirstTokenTiming::OnTime
        }
    }
}

pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Until its first reduction the limit grows by whole requests, afterwards by [`GROWTH_FACTOR`].
    has_been_reduced: bool,
    /// The number of warm replicas for which the limit was last resized.
    warm_replica_count: usize,
    max_available_replicas: usize,
    /// Routers per replica, at least 1. With more routers each of them gets fewer answers, so each answer changes the limit
    /// more.
    feedback_sparsity: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        ConcurrencyLimit {
            limit: 1.0,
            has_been_reduced: false,
            warm_replica_count: 0,
            max_available_replicas: 0,
            feedback_sparsity: 1.0,
        }
    }

    pub(crate) fn observe_available(&mut self, available: usize, router_count: usize) {
        self.max_available_replicas = self.max_available_replicas.max(available);
        let replicas = self.max_available_replicas.max(1) as f64;
        self.feedback_sparsity = (router_count as f64 / replicas).max(1.0);
    }

    /// Scales the limit with the number of warm replicas. If there is none, the limit does not change.
    pub(crate) fn resize(&mut self, warm_replica_count: usize, router_count: usize) {
        if warm_replica_count == 0 || warm_replica_count == self.warm_replica_count {
            return;
        }
        let per_replica = if self.warm_replica_count == 0 {
            INITIAL_LIMIT_PER_REPLICA / router_count as f64
        } else {
            self.limit / self.warm_replica_count as f64
        };
        self.limit = per_replica * warm_replica_count as f64;
        self.warm_replica_count = warm_replica_count;
    }

    /// Adapts the limit to a first token; `in_flight` returns the number of requests in flight at warm replicas.
    pub(crate) fn record_first_token(
        &mut self,
        timing: FirstTokenTiming,
        in_flight: impl FnOnce() -> usize,
    ) {
        match timing {
            FirstTokenTiming::Late => self.reduce(),
            FirstTokenTiming::Early if in_flight() as f64 * 2.0 >= self.limit => self.grow(),
            FirstTokenTiming::Early | FirstTokenTiming::OnTime => {}
        }
    }

    /// Reduces the limit after a sign of overload, to no less than one request.
    pub(crate) fn reduce(&mut self) {
        let factor = REDUCTION_FACTOR.powf(self.feedback_sparsity);
        self.limit = (self.limit * factor).max(1.0);
        self.has_been_reduced = true;
    }

    fn grow(&mut self) {
        if self.has_been_reduced {
            self.limit *= GROWTH_FACTOR.powf(self.feedback_sparsity);
        } else {
            self.limit += 1.0;
        }
    }

    /// Restores a limit per replica that another process has learned.
    pub(crate) fn restore(&mut self, limit_per_replica: f64) {
        if self.warm_replica_count > 0 {
            self.limit = (limit_per_replica * self.warm_replica_count as f64).max(1.0);
            self.has_been_reduced = true;
        }
    }

    /// Maximum number of requests in flight at all warm replicas together.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// The common limit divided by the number of warm replicas.
    pub(crate) fn limit_per_replica(&self) -> f64 {
        self.limit / self.warm_replica_count.max(1) as f64
    }

    /// Whether the limit allows another request in addition to those in flight at warm replicas.
    pub(crate) fn has_free_slot(&self, in_flight: usize, is_best_effort: bool) -> bool {
        let fraction = if is_best_effort {
            BEST_EFFORT_FRACTION
        } else {
            1.0
        };
        (in_flight as f64) < (self.limit * fraction).max(1.0)
    }

    /// Whether the limit of one replica allows another request in addition to those in flight there.
    pub(crate) fn has_free_slot_at_replica(&self, in_flight: usize) -> bool {
        let replicas = self.warm_replica_count.max(1) as f64;
        let limit = (REPLICA_LIMIT_FACTOR * self.limit / replicas).max(MIN_REPLICA_LIMIT);
        (in_flight as f64) < limit.floor()
    }

    /// Whether there are more routers than replicas. Each router then gets few answers, so it probes replicas for load
    /// reports, and may use an idle replica beyond the limit, which is too coarse in that case.
    pub(crate) fn has_sparse_feedback(&self) -> bool {
        self.feedback_sparsity > 1.0
    }

    pub(crate) fn warm_replica_count(&self) -> usize {
        self.warm_replica_count
    }

    /// The largest number of replicas that were available at the same time.
    pub(crate) fn max_available_replicas(&self) -> usize {
        self.max_available_replicas
    }
}

#[cfg(test)]
mod tests;
