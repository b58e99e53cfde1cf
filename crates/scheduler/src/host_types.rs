//! Learned statistics of each host type: prefill time, service time and batch size.

use crate::statistics::LEARNING_RATE;
use crate::types::{BatchSize, LearnedState, PrefillTime, RequestClass, Seconds, ServiceTime};
use std::collections::BTreeMap;

/// Prefill time per prompt token before the first sample.
const DEFAULT_PREFILL_TIME: Seconds = 0.0005;
/// The prefill time of a host type is a mean over this many first tokens. Rendezvous hashing uses the prefill time as a
/// weight; with a mean over fewer first tokens the order of replicas would change too often.
const PREFILL_SAMPLES: f64 = 400.0;
/// The weight of the default prefill time, in samples.
const PREFILL_PRIOR_SAMPLES: f64 = PREFILL_SAMPLES / 100.0;
/// Weight of an answer in the mean service time of its host type.
const SERVICE_TIME_WEIGHT: f64 = LEARNING_RATE / 2.0;
/// Divisor of the initial service time, which is based on the maximum answer length and the inter-token objective. Answers
/// are assumed to have a quarter of the maximum length and to be generated four times as fast as the objective demands.
const ANSWER_LIMIT_DIVISOR: f64 = 16.0;
/// The batch size until one is known from load reports: the smallest one that model servers commonly have.
const DEFAULT_BATCH_SIZE: f64 = 16.0;
/// Weight of a new sample in the mean of inferred batch sizes.
const BATCH_SIZE_WEIGHT: f64 = 0.1;
/// Lower bound of inferred batch sizes.
const MIN_INFERRED_BATCH_SIZE: f64 = 2.0;
/// If a replica reports fewer queued requests than this, its queue is treated as empty.
const MIN_QUEUED: f64 = 0.5;

/// The geometric mean of a host type's prefill time per token.
struct PrefillMean {
    samples: f64,
    /// Mean natural logarithm of the time relative to the default.
    mean_logarithm: f64,
}

pub(crate) struct HostTypeStatistics {
    prefill_times: BTreeMap<usize, PrefillMean>,
    /// Mean time from the start of an attempt to its end over all host types.
    mean_service_time: Seconds,
    service_times: BTreeMap<usize, Seconds>,
    batch_sizes: BTreeMap<usize, f64>,
}

impl HostTypeStatistics {
    pub(crate) fn new() -> Self {
        HostTypeStatistics {
            prefill_times: BTreeMap::new(),
            mean_service_time: 1.0,
            service_times: BTreeMap::new(),
            batch_sizes: BTreeMap::new(),
        }
    }

    /// Estimates the service time from the first request's class and maximum answer length.
    pub(crate) fn set_initial_service_time(
        &mut self,
        class: &RequestClass,
        max_output_tokens: u64,
    ) {
        let token_time = class.inter_token_objective.min(1.0);
        let service_time = token_time * max_output_tokens as f64 / ANSWER_LIMIT_DIVISOR;
        self.mean_service_time = service_time.max(1.0);
    }

    /// Records the prefill time per prompt token of one first token.
    pub(crate) fn record_prefill_time(&mut self, host_type: usize, per_token: Seconds) {
        let mean = self.prefill_times.entry(host_type).or_insert(PrefillMean {
            samples: PREFILL_PRIOR_SAMPLES,
            mean_logarithm: 0.0,
        });
        mean.samples = (mean.samples + 1.0).min(PREFILL_SAMPLES);
        let logarithm = (per_token / DEFAULT_PREFILL_TIME).ln();
        mean.mean_logarithm += (logarithm - mean.mean_logarithm) / mean.samples;
    }

    /// The prefill time of a host type relative to the default. Rendezvous hashing uses this ratio and not seconds, because
    /// scores are integers and with times in seconds many of them would be equal.
    pub(crate) fn relative_prefill_time(&self, host_type: usize) -> f64 {
        let mean = self.prefill_times.get(&host_type);
        mean.map_or(1.0, |mean| mean.mean_logarithm.exp())
    }

    /// The prefill time per prompt token.
    pub(crate) fn prefill_time(&self, host_type: usize) -> Seconds {
        self.relative_prefill_time(host_type) * DEFAULT_PREFILL_TIME
    }

    /// Records the time from the start of an attempt to its end.
    pub(crate) fn record_service_time(&mut self, host_type: usize, elapsed: Seconds) {
        self.mean_service_time += 2.0 * SERVICE_TIME_WEIGHT * (elapsed - self.mean_service_time);
        let mean = self
            .service_times
            .entry(host_type)
            .or_insert(self.mean_service_time);
        *mean += SERVICE_TIME_WEIGHT * (elapsed - *mean);
    }

    pub(crate) fn mean_service_time(&self) -> Seconds {
        self.mean_service_time
    }

    /// The mean service time of one host type, or of all if no replica of that type has answered yet.
    pub(crate) fn service_time(&self, host_type: usize) -> Seconds {
        let mean = self.service_times.get(&host_type).copied();
        mean.unwrap_or(self.mean_service_time)
    }

    /// Records a batch size that follows from a load report.
    pub(crate) fn record_batch_size(&mut self, host_type: usize, requests: f64) {
        self.batch_sizes.insert(host_type, requests);
    }

    /// Infers a batch size from a report that contains the queued requests but not the requests held. `held` is therefore an
    /// estimate. With a queue, the batch size is the difference of the two; without a queue, it is at least `held`.
    pub(crate) fn infer_batch_size(&mut self, host_type: usize, held: f64, queued: f64) {
        let known = self.batch_sizes.get(&host_type).copied();
        let has_queue = queued >= MIN_QUEUED;
        let sample = if has_queue {
            (held - queued).max(MIN_INFERRED_BATCH_SIZE)
        } else {
            held
        };
        if has_queue || known.is_some_and(|size| size < held) {
            let size = known.unwrap_or(sample);
            let updated = size + BATCH_SIZE_WEIGHT * (sample - size);
            self.batch_sizes.insert(host_type, updated);
        }
    }

    /// The batch size of a host type; if unknown, the largest of any host type; if none is known, the default.
    pub(crate) fn batch_size(&self, host_type: usize) -> f64 {
        let largest = || self.batch_sizes.values().copied().reduce(f64::max);
        let known = self.batch_sizes.get(&host_type).copied();
        known.or_else(largest).unwrap_or(DEFAULT_BATCH_SIZE)
    }

    /// Writes the statistics to the learned state.
    pub(crate) fn export(&self, state: &mut LearnedState) {
        state.mean_service_time = self.mean_service_time;
        for (host_type, mean) in &self.prefill_times {
            state.prefill_times.push(PrefillTime {
                host_type: *host_type,
                samples: mean.samples,
                mean_logarithm: mean.mean_logarithm,
            });
        }
        for (host_type, mean) in &self.service_times {
            state.service_times.push(ServiceTime {
                host_type: *host_type,
                mean: *mean,
            });
        }
        for (host_type, requests) in &self.batch_sizes {
            state.batch_sizes.push(BatchSize {
                host_type: *host_type,
                requests: *requests,
            });
        }
    }

    /// Restores the statistics from another process's learned state.
    pub(crate) fn restore(&mut self, state: &LearnedState) {
        self.mean_service_time = state.mean_service_time;
        self.prefill_times.clear();
        for time in &state.prefill_times {
            let mean = PrefillMean {
                samples: time.samples,
                mean_logarithm: time.mean_logarithm,
            };
            self.prefill_times.insert(time.host_type, mean);
        }
        let service_times = state.service_times.iter();
        self.service_times = service_times
            .map(|time| (time.host_type, time.mean))
            .collect();
        let batch_sizes = state.batch_sizes.iter();
        self.batch_sizes = batch_sizes
            .map(|size| (size.host_type, size.requests))
            .collect();
    }
}

#[cfg(test)]
mod tests;
