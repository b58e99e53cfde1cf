//! Running means and rates, and what a router has learned of its traffic with them.

use crate::types::Seconds;

/// Weight of one new sample in a learned mean.
pub(crate) const LEARNING_RATE: f64 = 0.1;
/// Horizon of rates: long enough to smooth single requests, short enough to follow a burst.
const RATE_HORIZON: Seconds = 2.0;
/// A hint of expected work may be absurd: it multiplies or divides the cost by this at the most.
const MAX_HINT_FACTOR: f64 = 4.0;

/// A mean over a limited number of the last samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    samples: f64,
    value: f64,
}

impl RunningMean {
    /// Takes a sample; the mean is over about `max_samples` of them.
    pub(crate) fn record(&mut self, sample: f64, max_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.value += (sample - self.value) / self.samples;
    }

    /// The mean as if `prior_samples` samples of zero stood beside its own.
    pub(crate) fn shrunk(&self, prior_samples: f64) -> f64 {
        self.value * self.samples / (self.samples + prior_samples)
    }
}

/// A rate per second that forgets exponentially.
pub(crate) struct DecayingRate {
    horizon: Seconds,
    value: f64,
    updated_at: Seconds,
}

impl DecayingRate {
    pub(crate) fn new(horizon: Seconds) -> Self {
        DecayingRate {
            horizon,
            value: 0.0,
            updated_at: 0.0,
        }
    }

    pub(crate) fn per_second(&self, now: Seconds) -> f64 {
        self.value * (-(now - self.updated_at) / self.horizon).exp()
    }

    pub(crate) fn record(&mut self, now: Seconds, amount: f64) {
        self.value = self.per_second(now) + amount / self.horizon;
        self.updated_at = now;
    }

    /// Continues from a rate that another process has measured.
    pub(crate) fn restore(&mut self, now: Seconds, per_second: f64) {
        self.value = per_second;
        self.updated_at = now;
    }
}

/// What a router has learned of its traffic.
pub(crate) struct TrafficStatistics {
    requests_seen: u64,
    /// Tokens, with what hints of expected work add.
    mean_request_cost: f64,
    /// Tokens of cost that a second of work told by clients stands for, the geometric mean.
    tokens_per_work_second: Option<f64>,
    mean_time_to_first_token: Seconds,
    /// Mean of the prompt tokens reported as queued, for replicas without a report.
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
            dispatched_cost: DecayingRate::new(RATE_HORIZON),
            attempts: DecayingRate::new(RATE_HORIZON),
        }
    }

    /// Counts a request of so many tokens and returns its cost, which a hint of expected work changes.
    pub(crate) fn record_arrival(&mut self, tokens: f64, expected_work: Option<Seconds>) -> f64 {
        let cost = self.cost_with_hint(tokens, expected_work);
        if self.requests_seen == 0 {
            self.mean_request_cost = cost;
        }
        self.mean_request_cost += (cost - self.mean_request_cost) * LEARNING_RATE;
        self.requests_seen += 1;
        cost
    }

    /// The cost of a request whose work is told, in the tokens that such work stands for on the mean.
    fn cost_with_hint(&mut self, tokens: f64, expected_work: Option<Seconds>) -> f64 {
        let Some(work) = expected_work.filter(|work| work.is_finite() && *work > 0.0) else {
            return tokens;
        };
        let rate = self.tokens_per_work_second.get_or_insert(tokens / work);
        let cost = (work * *rate).clamp(tokens / MAX_HINT_FACTOR, tokens * MAX_HINT_FACTOR);
        *rate *= (LEARNING_RATE * (tokens / cost).ln()).exp();
        cost
    }

    /// Counts an attempt that has been started for a request of this cost.
    pub(crate) fn record_dispatch(&mut self, now: Seconds, cost: f64) {
        self.dispatched_cost.record(now, cost);
        self.attempts.record(now, 1.0);
    }

    /// Takes an attempt out of the rate: what a replica turned away is no measure of what it can bear.
    pub(crate) fn uncount_attempt(&mut self, now: Seconds) {
        self.attempts.record(now, -1.0);
    }

    pub(crate) fn record_time_to_first_token(&mut self, elapsed: Seconds) {
        self.mean_time_to_first_token += LEARNING_RATE * (elapsed - self.mean_time_to_first_token);
    }

    pub(crate) fn record_queued_tokens(&mut self, reported: f64) {
        self.mean_queued_tokens += LEARNING_RATE * (reported - self.mean_queued_tokens);
    }

    /// Requests that have come since the start, those of an earlier process included.
    pub(crate) fn requests_seen(&self) -> u64 {
        self.requests_seen
    }

    /// Tokens.
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

    /// Cost of the requests dispatched, tokens a second.
    pub(crate) fn dispatched_cost_rate(&self, now: Seconds) -> f64 {
        self.dispatched_cost.per_second(now)
    }

    /// Attempts a second.
    pub(crate) fn attempt_rate(&self, now: Seconds) -> f64 {
        self.attempts.per_second(now)
    }

    /// Continues from what another process has learned.
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
