//! Computes the silence limit of a stream from the gaps between earlier events of the replica.

use crate::Micros;

/// The longest time without an event, in microseconds. A client gives a stream up 5 s after its last event; the rest is for a
/// process that is held up and for the way to the client.
const MAX_EVENT_GAP: Micros = 4_600_000;
/// How much later than the event limit a client still gets the event of a continuation in time, in microseconds.
const CONTINUATION_MARGIN: Micros = 250_000;

/// Quantile of the recorded gaps that is used as the replica's long gap.
const LONG_GAP_QUANTILE: f64 = 0.98;
/// Upper bound of the first bucket, in microseconds. Shorter gaps are not distinguished.
const MIN_GAP_US: f64 = 1000.0;
/// Ratio of the upper bounds of adjacent buckets, and so the precision of a quantile.
const BUCKET_RATIO: f64 = 1.15;
/// Number of buckets: they cover gaps from 1 ms to over 30 s. Longer gaps are recorded in the last one.
const BUCKET_COUNT: usize = 76;
/// All weights are halved when their sum exceeds this many gaps, so that recent gaps dominate.
const MAX_TOTAL_WEIGHT: f64 = 2000.0;
/// Minimum total weight for an estimate of the long gap.
const MIN_WEIGHT: f64 = 20.0;

/// Settings from which the silence limit of a stream is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallLimits {
    /// Lower bound of the silence limit, in microseconds.
    pub min_silence: Micros,
    /// Upper bound of the silence limit, in microseconds.
    pub max_silence: Micros,
    /// The limit is at least this multiple of the inter-token objective of the class, within the bounds.
    pub objective_factor: f64,
    /// The limit is at least this multiple of the replica's long gap, within the bounds.
    pub long_gap_factor: f64,
}

impl StallLimits {
    /// How long a stream may go on without a complete event, whatever bytes arrive. Longer where the settings allow even a
    /// longer silence, for clients that wait longer.
    pub fn max_event_gap(&self) -> Micros {
        self.max_silence.max(MAX_EVENT_GAP)
    }

    /// How long a client can wait for the next event of a stream that is continued on another replica.
    pub fn max_client_wait(&self) -> Micros {
        self.max_event_gap() + CONTINUATION_MARGIN
    }
}

impl Default for StallLimits {
    fn default() -> Self {
        StallLimits {
            min_silence: 3_000_000,
            max_silence: 4_600_000,
            objective_factor: 30.0,
            long_gap_factor: 1.5,
        }
    }
}

/// Decaying histogram of the gaps between events of one replica, with geometric buckets.
#[derive(Clone, Debug, PartialEq)]
pub struct GapHistogram {
    weights: [f32; BUCKET_COUNT],
    total: f64,
}

impl Default for GapHistogram {
    fn default() -> Self {
        GapHistogram {
            weights: [0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }
}

impl GapHistogram {
    /// Records the gap between two events.
    pub fn record(&mut self, gap: Micros) {
        self.add(gap, 1.0);
    }

    /// Records that a stream was abandoned after a silence of this length. The gap would have lasted longer by an
    /// unknown time, so it is recorded one bucket higher. Its weight is large enough to raise the long gap to that
    /// bucket at once, because each gap that is wrongly taken for a stall costs a stream.
    pub fn record_abandoned(&mut self, gap: Micros) {
        let longer = (gap as f64 * BUCKET_RATIO) as Micros;
        let weight = 1.0 + self.total * 2.0 * (1.0 - LONG_GAP_QUANTILE);
        self.add(longer, weight);
    }

    fn add(&mut self, gap: Micros, weight: f64) {
        let ratio = gap.max(1) as f64 / MIN_GAP_US;
        let bucket = (ratio.ln() / BUCKET_RATIO.ln()).ceil().max(0.0) as usize;
        self.weights[bucket.min(BUCKET_COUNT - 1)] += weight as f32;
        self.total += weight;
        if self.total > MAX_TOTAL_WEIGHT {
            for weight in &mut self.weights {
                *weight /= 2.0;
            }
            self.total /= 2.0;
        }
    }

    /// The gap at a high quantile (`LONG_GAP_QUANTILE`); `None` until enough gaps are recorded.
    pub fn long_gap(&self) -> Option<Micros> {
        self.quantile(LONG_GAP_QUANTILE)
            .filter(|_| self.total >= MIN_WEIGHT)
    }

    /// The gap at this quantile (0 to 1), rounded up to the bound of its bucket; `None` if no gap is recorded.
    pub fn quantile(&self, fraction: f64) -> Option<Micros> {
        let mut weight_above = self.total * (1.0 - fraction);
        for (bucket, weight) in self.weights.iter().enumerate().rev() {
            weight_above -= f64::from(*weight);
            if weight_above < 0.0 {
                return Some((MIN_GAP_US * BUCKET_RATIO.powi(bucket as i32)) as Micros);
            }
        }
        None
    }

    /// How long a stream of this replica may be silent before it counts as stalled. `inter_token_objective` is that of
    /// the request's class; `None` if the class has no objective.
    pub fn silence_limit(
        &self,
        inter_token_objective: Option<Micros>,
        limits: &StallLimits,
    ) -> Micros {
        let objective_limit = inter_token_objective
            .map_or(0.0, |objective| objective as f64 * limits.objective_factor);
        let gap_limit = self
            .long_gap()
            .map_or(0.0, |gap| gap as f64 * limits.long_gap_factor);
        let limit = objective_limit.max(gap_limit) as Micros;
        limit.clamp(limits.min_silence, limits.max_silence)
    }
}
