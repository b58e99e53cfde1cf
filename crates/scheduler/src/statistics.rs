//! Running means and rates, and a router's traffic statistics.

use crate::types::Seconds;

/// Weight of a new sample in an exponential moving average.
pub(crate) const LEARNING_RATE: f64 = 0.1;
/// Time constant of rates: long enough to smooth single requests, short enough to follow a burst.
const RATE_TIME_CONSTANT: Seconds = 2.0;
/// Client-declared work changes the cost by at most this factor, because it may be wrong.
const MAX_HINT_FACTOR: f64 = 4.0;

/// A mean over a limited number of recent samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    samples: f64,
    value: f64,
}

impl RunningMean {
    /// Adds a sample to a mean over about `max_samples` samples.
    pub(crate) fn record(&mut self, sample: f64, max_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.value += (sample - self.value) / self.samples;
    }

    /// The mean with `prior_samples` additional samples of zero (shrinkage).
    pub(crate) fn shrunk(&self, prior_samples: f64) -> f64 {
        self.value * self.samples / (self.samples + prior_samples)
    }
}

/// An exponentially decaying rate per second.
pub(crate) struct DecayingRate {
    time_constant: Seconds,
    value: f64,
    updated_at: Seconds,
}

impl DecayingRate {
    pub(crate) fn new(time_constant: Seconds) -> Self {
        DecayingRate {
            time_constant,
            value: 0.0,
            updated_at: 0.0,
        }
    }

    pub(crate) fn per_second(&self, now: Seconds) -> f64 {
        self.value * (-(now - self.updated_at) / self.time_constant).exp()
    }

    pub(crate) fn record(&mut self, now: Seconds, amount: f64) {
        self.value = self.per_second(now) + amount / self.time_constant;
        self.updated_at = now;
    }

    /// Restores a rate that another process has measured.
    pub(crate) fn restore(&mut self, now: Seconds, per_second: f64) {
        self.value = per_second;
        self.updated_at = now;
    }
}

pub(crate) struct TrafficStatistics {
    requests_seen: u64,
    /// In tokens, adjusted by client-declared work.
    mean_request_cost: f64,
    /// Cost in tokens per second of client-declared work, geometric mean.
    tokens_per_work_second: Option<f64>,
    mean_time_to_first_token: Seconds,
    /// Mean of reported queued prompt tokens, used for replicas without a report.
    mean_queued_tokens: f64,
    dispatched_cost: DecayingRate,
    attempts: DecayingRate,
}

impl TrafficStatistics {
    pub(crate) fn new() -> Self {
        TrafficStatistics {
            requests_seen: 0,
            mean_request_cost: 0.0,
            tokens_per_work_second: None,
            mean_time_to_first_token: 0.0,
            mean_queued_tokens: 0.0,
            dispatched_cost: DecayingRate::new(RATE_TIME_CONSTANT),
            attempts: DecayingRate::new(RATE_TIME_CONSTANT),
        }
    }

    /// Records the arrival of a request; returns its cost, which is its tokens adjusted by the client-declared work.
    pub(crate) fn record_arrival(&mut self, tokens: f64, expected_work: Option<Seconds>) -> f64 {
        let cost = self.estimate_cost_and_update_rate(tokens, expected_work);
        if self.requests_seen == 0 {
            self.mean_request_cost = cost;
        }
        self.mean_request_cost += (cost - self.mean_request_cost) * LEARNING_RATE;
        self.requests_seen += 1;
        cost
    }

    /// Converts client-declared work to a cost in tokens, at the mean number of tokens per second of declared work, and
    /// updates that mean. Without declared work, the cost is `tokens`.
    fn estimate_cost_and_update_rate(
        &mut self,
        tokens: f64,
        expected_work: Option<Seconds>,
    ) -> f64 {
        let Some(work) = expected_work.filter(|work| work.is_finite() && *work > 0.0) else {
            return tokens;
        };
        let rate = self.tokens_per_work_second.get_or_insert(tokens / work);
        let cost = (work * *rate).clamp(tokens / MAX_HINT_FACTOR, tokens * MAX_HINT_FACTOR);
        *rate *= (LEARNING_RATE * (tokens / cost).ln()).exp();
        cost
    }

    /// Records the dispatch of a request of this cost, that is, one attempt.
    pub(crate) fn record_dispatch(&mut self, now: Seconds, cost: f64) {
        self.dispatched_cost.record(now, cost);
        self.attempts.record(now, 1.0);
    }

    /// Removes an attempt that its replica has declined from the attempt rate, which measures what replicas can handle.
    pub(crate) fn retract_attempt(&mut self, now: Seconds) {
        self.attempts.record(now, -1.0);
    }

    pub(crate) fn record_time_to_first_token(&mut self, elapsed: Seconds) {
        self.mean_time_to_first_token += LEARNING_RATE * (elapsed - self.mean_time_to_first_token);
    }

    pub(crate) fn record_queued_tokens(&mut self, reported: f64) {
        self.mean_queued_tokens += LEARNING_RATE * (reported - self.mean_queued_tokens);
    }

    /// Number of requests since the start, including those of an earlier process.
    pub(crate) fn requests_seen(&self) -> u64 {
        self.requests_seen
    }

    /// In tokens.
    pub(crate) fn mean_request_cost(&self) -> f64 {
        self.mean_request_cost
    }

    pub(crate) fn tokens_per_work_second(&self) -> Option<f64> {
        self.tokens_per_work_second
    }

    pub(crate) fn mean_time_to_first_token(&self) -> Seconds {
        self.mean_time_to_first_token
    }

    pub(crate) fn mean_queued_tokens(&self) -> f64 {
        self.mean_queued_tokens
    }

    /// Cost of dispatched requests in tokens per second.
    pub(crate) fn dispatched_cost_rate(&self, now: Seconds) -> f64 {
        self.dispatched_cost.per_second(now)
    }

    /// Attempts per second.
    pub(crate) fn attempt_rate(&self, now: Seconds) -> f64 {
        self.attempts.per_second(now)
    }

    /// Restores the statistics from another process's learned state.
    pub(crate) fn restore(&mut self, now: Seconds, state: &crate::types::LearnedState) {
        self.requests_seen = state.requests_seen;
        self.mean_request_cost = state.mean_request_cost;
        self.tokens_per_work_second = state.tokens_per_work_second;
        self.mean_time_to_first_token = state.mean_time_to_first_token;
        self.mean_queued_tokens = state.mean_queued_tokens;
        self.dispatched_cost
            .restore(now, state.dispatched_cost_rate);
        self.attempts.restore(now, state.attempt_rate);
    }
}

#[cfg(test)]
mod tests;
