//! The limit of requests that a router may have in flight at all warm replicas together, and at each of them.
//!
//! A limit for each replica alone would be too coarse: one request from each of many routers is too much for a replica.
//! So the router's limits have a common bound, which grows on early first tokens and shrinks on late ones.

use crate::types::Seconds;

/// The limit at the start for each replica, shared among the routers.
const INITIAL_LIMIT_PER_REPLICA: f64 = 8.0;
/// The limit grows by this factor on an early first token while half of it is used,
const GROWTH_FACTOR: f64 = 1.04;
/// and shrinks by this one on a late first token, a timeout or a replica at capacity. Deeper cuts left replicas idle.
const CUT_FACTOR: f64 = 0.985;
/// The limit of one replica is this many even parts of the whole,
const REPLICA_LIMIT_PARTS: f64 = 4.0;
/// and at least this many requests.
const MIN_REPLICA_LIMIT: f64 = 4.0;
/// Best-effort requests use only this part: other routers may hold requests of higher priority.
const BEST_EFFORT_PART: f64 = 0.4;
/// A first token is late past this part of its objective: prompts being read hold up streams, and a first token at the
/// objective itself is a timeout seen late.
const LATE_PART: f64 = 0.3;

/// How a first token counts for the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Promptness {
    Early,
    InTime,
    Late,
}

impl Promptness {
    /// Compares a time to first token with the request's objective and with the time that the request waited here
    /// before. Where replicas are replaced all day nothing is cached and first tokens are late: a limit cut for that
    /// alone shrank until requests waited longer in the router than at replicas that had capacity.
    pub(crate) fn of(elapsed: Seconds, ttft_objective: Seconds, waited: Seconds) -> Self {
        let late = ttft_objective * LATE_PART;
        if elapsed > late && elapsed > waited {
            Promptness::Late
        } else if elapsed <= late / 2.0 {
            Promptness::Early
        } else {
            Promptness::InTime
        }
    }
}

/// The limit of one router.
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// The limit grows by whole requests until its first cut.
    has_been_cut: bool,
    /// The warm replicas that the limit is for.
    warm_replica_count: usize,
    max_available_replicas: usize,
    /// Routers for each replica, at least 1: the more there are, the fewer answers come to each router and the more each
    /// answer counts.
    feedback_sparsity: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        ConcurrencyLimit {
            limit: 1.0,
            has_been_cut: false,
            warm_replica_count: 0,
            max_available_replicas: 0,
            feedback_sparsity: 1.0,
        }
    }

    /// Takes how many replicas are available now.
    pub(crate) fn observe_available(&mut self, available: usize, router_count: usize) {
        self.max_available_replicas = self.max_available_replicas.max(available);
        let replicas = self.max_available_replicas.max(1) as f64;
        self.feedback_sparsity = (router_count as f64 / replicas).max(1.0);
    }

    /// Keeps the limit's part for each warm replica. Without any warm replica the limit stays as it is.
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

    /// Takes a first token; `in_flight` is the number of requests at warm replicas.
    pub(crate) fn record_first_token(
        &mut self,
        promptness: Promptness,
        in_flight: impl FnOnce() -> usize,
    ) {
        match promptness {
            Promptness::Late => self.cut(),
            Promptness::Early if in_flight() as f64 * 2.0 >= self.limit => self.grow(),
            Promptness::Early | Promptness::InTime => {}
        }
    }

    /// Shrinks the limit for a sign of overload; one request may always be in flight.
    pub(crate) fn cut(&mut self) {
        let factor = CUT_FACTOR.powf(self.feedback_sparsity);
        self.limit = (self.limit * factor).max(1.0);
        self.has_been_cut = true;
    }

    fn grow(&mut self) {
        if self.has_been_cut {
            self.limit *= GROWTH_FACTOR.powf(self.feedback_sparsity);
        } else {
            self.limit += 1.0;
        }
    }

    /// Continues from the limit per replica that another process has learned.
    pub(crate) fn restore(&mut self, limit_per_replica: f64) {
        if self.warm_replica_count > 0 {
            self.limit = (limit_per_replica * self.warm_replica_count as f64).max(1.0);
            self.has_been_cut = true;
        }
    }

    /// Requests that may be in flight at all warm replicas together.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// The limit's part for each warm replica.
    pub(crate) fn limit_per_replica(&self) -> f64 {
        self.limit / self.warm_replica_count.max(1) as f64
    }

    /// Whether another request fits beside those in flight at warm replicas.
    pub(crate) fn has_free_slot(&self, in_flight: usize, is_best_effort: bool) -> bool {
        let part = if is_best_effort {
            BEST_EFFORT_PART
        } else {
            1.0
        };
        (in_flight as f64) < (self.limit * part).max(1.0)
    }

    /// Whether another request fits beside those in flight at one replica.
    pub(crate) fn has_free_slot_at_replica(&self, in_flight: usize) -> bool {
        let replicas = self.warm_replica_count.max(1) as f64;
        let limit = (REPLICA_LIMIT_PARTS * self.limit / replicas).max(MIN_REPLICA_LIMIT);
        (in_flight as f64) < limit.floor()
    }

    /// There are more routers than replicas: answers are rare at each router, so it asks replicas for load reports, and
    /// an idle replica may be used beside the limit, which is too coarse then.
    pub(crate) fn has_sparse_feedback(&self) -> bool {
        self.feedback_sparsity > 1.0
    }

    pub(crate) fn warm_replica_count(&self) -> usize {
        self.warm_replica_count
    }

    /// The most replicas that were available at once.
    pub(crate) fn max_available_replicas(&self) -> usize {
        self.max_available_replicas
    }
}

#[cfg(test)]
mod tests;
