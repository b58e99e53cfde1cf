//! How long a silence may last in a stream: learned from the gaps between events of each replica.

use crate::Micros;

/// The part of gaps that are shorter than the long gap.
const LONG_GAP_QUANTILE: f64 = 0.98;
/// The shortest gap that is told apart, in microseconds.
const SHORTEST_GAP: f64 = 1000.0;
/// Each bucket ends at this many times the gap of the one before: a quantile is that exact.
const BUCKET_RATIO: f64 = 1.15;
/// Buckets from a millisecond to beyond half a minute.
const BUCKET_COUNT: usize = 76;
/// All weights are halved when they sum to this many gaps, so that a replica's past fades.
const MAX_TOTAL_WEIGHT: f64 = 2000.0;
/// Below this weight there is no saying what a long gap is.
const MIN_WEIGHT: f64 = 20.0;

/// Bounds of the rule for stalls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallLimits {
    /// No silence shorter than this is a stall.
    pub min_silence: Micros,
    /// Every longer one is.
    pub max_silence: Micros,
    /// Within these, a stall is this many times the class's inter-token objective,
    pub objective_factor: f64,
    /// or this many times the replica's own long gap, whichever is more.
    pub long_gap_factor: f64,
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

/// A replica's recent gaps between events: a histogram with buckets in geometric order and fading weights.
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
    /// A gap has ended.
    pub fn record(&mut self, gap: Micros) {
        self.add(gap, 1.0);
    }

    /// A stream was given up within a gap, which would have been longer, by how much is not known. One such gap says as
    /// much as many short ones: it cost a stream.
    pub fn record_abandoned(&mut self, gap: Micros) {
        let longer = (gap as f64 * BUCKET_RATIO) as Micros;
        let weight = 1.0 + self.total * 2.0 * (1.0 - LONG_GAP_QUANTILE);
        self.add(longer, weight);
    }

    fn add(&mut self, gap: Micros, weight: f64) {
        let ratio = gap.max(1) as f64 / SHORTEST_GAP;
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

    /// The long gap: nearly all gaps are shorter. `None` while there are few.
    pub fn long_gap(&self) -> Option<Micros> {
        self.quantile(LONG_GAP_QUANTILE)
            .filter(|_| self.total >= MIN_WEIGHT)
    }

    /// The gap that this part of all gaps, from 0 to 1, does not exceed, as exact as a bucket; `None` without any gap.
    pub fn quantile(&self, part: f64) -> Option<Micros> {
        let mut longer_weight = self.total * (1.0 - part);
        for (bucket, weight) in self.weights.iter().enumerate().rev() {
            longer_weight -= f64::from(*weight);
            if longer_weight < 0.0 {
                return Some((SHORTEST_GAP * BUCKET_RATIO.powi(bucket as i32)) as Micros);
            }
        }
        None
    }

    /// How long a silence may last in a stream of this replica. `inter_token_objective` is that of the request's class,
    /// where it has one.
    pub fn silence_limit(
        &self,
        inter_token_objective: Option<Micros>,
        limits: &StallLimits,
    ) -> Micros {
        let by_objective = inter_token_objective
            .map_or(0.0, |objective| objective as f64 * limits.objective_factor);
        let by_gaps = self
            .long_gap()
            .map_or(0.0, |gap| gap as f64 * limits.long_gap_factor);
        let limit = by_objective.max(by_gaps) as Micros;
        limit.clamp(limits.min_silence, limits.max_silence)
    }
}
