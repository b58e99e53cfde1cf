//! Hedging: a second attempt of a request is sent once its only attempt is overdue, for a small fraction of all attempts.

use crate::attempt::Attempt;
use crate::budgets::TokenBucket;
use crate::request::Request;
use crate::types::Seconds;

/// An attempt is overdue after this multiple of its estimated time to first token.
const OVERDUE_FACTOR: f64 = 2.5;
/// The maximum fraction of hedged attempts among all attempts.
const HEDGED_FRACTION: f64 = 0.1;

/// The time after its start at which an attempt is overdue.
pub(crate) fn overdue_delay(estimated_ttft: Seconds) -> Seconds {
    OVERDUE_FACTOR * estimated_ttft
}

/// Whether a request has exactly one attempt in flight and this attempt has been overdue for longer than `tolerance`.
pub(crate) fn is_overdue(request: &Request, now: Seconds, tolerance: Seconds) -> bool {
    let is_late = |attempt: &Attempt| {
        now - attempt.sent_at > overdue_delay(attempt.estimated_ttft) + tolerance
    };
    request.in_flight().count() == 1 && request.in_flight().all(is_late)
}

/// Limits the rate of this router's hedged attempts.
#[derive(Default)]
pub(crate) struct HedgingLimit {
    bucket: TokenBucket,
}

impl HedgingLimit {
    /// Returns whether a hedged attempt is within the limit, and counts it; `attempt_rate` is in attempts per second.
    pub(crate) fn try_take(&mut self, now: Seconds, attempt_rate: f64) -> bool {
        let rate = HEDGED_FRACTION * attempt_rate;
        self.bucket.try_take(now, rate, 1.0 + rate)
    }
}
