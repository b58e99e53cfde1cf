//! Hedging: a second attempt of a request goes out once its only attempt is overdue, for a small part of all attempts.

use crate::attempt::Attempt;
use crate::budgets::TokenBucket;
use crate::request::Request;
use crate::types::Seconds;

/// An attempt is overdue after this many times its estimate,
const OVERDUE_FACTOR: f64 = 2.5;
/// and a hedged attempt then goes out, for at most this part of all attempts.
const HEDGED_PART: f64 = 0.1;

/// How long after its start an attempt of this estimated time to first token is overdue.
pub(crate) fn overdue_after(estimate: Seconds) -> Seconds {
    OVERDUE_FACTOR * estimate
}

/// Whether a request has one attempt in flight and that is overdue. `tolerance` is how late the check may be.
pub(crate) fn is_overdue(request: &Request, now: Seconds, tolerance: Seconds) -> bool {
    let is_late =
        |attempt: &Attempt| now - attempt.sent_at > overdue_after(attempt.estimate) + tolerance;
    request.in_flight().count() == 1 && request.in_flight().all(is_late)
}

/// Hedged attempts that this router may still send.
#[derive(Default)]
pub(crate) struct HedgingLimit {
    bucket: TokenBucket,
}

impl HedgingLimit {
    /// Takes a hedged attempt if there is one; `attempt_rate` is in attempts a second.
    pub(crate) fn try_take(&mut self, now: Seconds, attempt_rate: f64) -> bool {
        let rate = HEDGED_PART * attempt_rate;
        self.bucket.try_take(now, rate, 1.0 + rate)
    }
}
