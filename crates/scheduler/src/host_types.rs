//! What a router has learned of each host type: how fast it reads prompts, how long answers take, how large its batch is.

use crate::statistics::LEARNING_RATE;
use crate::types::{BatchSize, LearnedState, PrefillTime, RequestClass, Seconds, ServiceTime};
use std::collections::BTreeMap;

/// Time for a prompt token before any was seen.
const DEFAULT_PREFILL_TIME: Seconds = 0.0005;
/// The prefill time of a host type is a mean over this many first tokens, so that rendezvous orders, which use it as a
/// weight, do not wander with it.
const PREFILL_SAMPLES: f64 = 400.0;
/// The default counts like this many samples.
const PREFILL_PRIOR_SAMPLES: f64 = PREFILL_SAMPLES / 100.0;
/// Weight of one answer in the mean service time of its host type.
const SERVICE_TIME_WEIGHT: f64 = LEARNING_RATE / 2.0;
/// Before any answer has ended: answers run to a quarter of their limit, four times as fast as they must.
const ANSWER_LIMIT_DIVISOR: f64 = 16.0;
/// Requests in a batch where no report has shown any: the least that such servers run with.
const DEFAULT_BATCH_SIZE: f64 = 16.0;
/// Weight of one guess of a batch size.
const BATCH_SIZE_WEIGHT: f64 = 0.1;
/// The smallest batch size that a guess is believed to show.
const MIN_GUESSED_BATCH_SIZE: f64 = 2.0;
/// A replica that reports at least this many requests queued has a queue.
const MIN_QUEUED: f64 = 0.5;

/// The geometric mean of a host type's prefill time.
struct PrefillMean {
    samples: f64,
    /// Of the time for a prompt token, as a multiple of the default.
    mean_logarithm: f64,
}

/// What has been learned by host type.
pub(crate) struct HostTypeStatistics {
    prefill_times: BTreeMap<usize, PrefillMean>,
    /// Over all host types, from the start of an attempt to its end.
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

    /// Guesses the service time from the first request's class and answer limit, before any answer has ended.
    pub(crate) fn guess_service_time(&mut self, class: &RequestClass, max_output_tokens: u64) {
        let token_time = class.inter_token_objective.min(1.0);
        let guess = token_time * max_output_tokens as f64 / ANSWER_LIMIT_DIVISOR;
        self.mean_service_time = guess.max(1.0);
    }

    /// Takes the time that a replica of this host type took for each prompt token.
    pub(crate) fn record_prefill_time(&mut self, host_type: usize, per_token: Seconds) {
        let mean = self.prefill_times.entry(host_type).or_insert(PrefillMean {
            samples: PREFILL_PRIOR_SAMPLES,
            mean_logarithm: 0.0,
        });
        mean.samples = (mean.samples + 1.0).min(PREFILL_SAMPLES);
        let logarithm = (per_token / DEFAULT_PREFILL_TIME).ln();
        mean.mean_logarithm += (logarithm - mean.mean_logarithm) / mean.samples;
    }

    /// The prefill time of a host type as a multiple of the default. Rendezvous scores are whole numbers, in which far
    /// smaller figures would fall together.
    pub(crate) fn relative_prefill_time(&self, host_type: usize) -> f64 {
        let mean = self.prefill_times.get(&host_type);
        mean.map_or(1.0, |mean| mean.mean_logarithm.exp())
    }

    /// The time for a prompt token.
    pub(crate) fn prefill_time(&self, host_type: usize) -> Seconds {
        self.relative_prefill_time(host_type) * DEFAULT_PREFILL_TIME
    }

    /// Takes the time from the start of an attempt to its end.
    pub(crate) fn record_service_time(&mut self, host_type: usize, elapsed: Seconds) {
        self.mean_service_time += 2.0 * SERVICE_TIME_WEIGHT * (elapsed - self.mean_service_time);
        let mean = self
            .service_times
            .entry(host_type)
            .or_insert(self.mean_service_time);
        *mean += SERVICE_TIME_WEIGHT * (elapsed - *mean);
    }

    /// Over all host types.
    pub(crate) fn mean_service_time(&self) -> Seconds {
        self.mean_service_time
    }

    /// Of one host type, or of all where none of it has answered.
    pub(crate) fn service_time(&self, host_type: usize) -> Seconds {
        let mean = self.service_times.get(&host_type).copied();
        mean.unwrap_or(self.mean_service_time)
    }

    /// Takes a batch size that a replica has shown by its report.
    pub(crate) fn record_batch_size(&mut self, host_type: usize, requests: f64) {
        self.batch_sizes.insert(host_type, requests);
    }

    /// Guesses a batch size where reports tell the queue but not the requests held: with a queue the batch is what is
    /// left of the requests held, without one it is no smaller than they are.
    pub(crate) fn record_reported_queue(&mut self, host_type: usize, held: f64, queued: f64) {
        let known = self.batch_sizes.get(&host_type).copied();
        let has_queue = queued >= MIN_QUEUED;
        let sample = if has_queue {
            (held - queued).max(MIN_GUESSED_BATCH_SIZE)
        } else {
            held
        };
        if has_queue || known.is_some_and(|size| size < held) {
            let size = known.unwrap_or(sample);
            let updated = size + BATCH_SIZE_WEIGHT * (sample - size);
            self.batch_sizes.insert(host_type, updated);
        }
    }

    /// The batch size of a host type, else of the largest one seen, else the default.
    pub(crate) fn batch_size(&self, host_type: usize) -> f64 {
        let largest = || self.batch_sizes.values().copied().reduce(f64::max);
        let known = self.batch_sizes.get(&host_type).copied();
        known.or_else(largest).unwrap_or(DEFAULT_BATCH_SIZE)
    }

    /// Adds what has been learned to the state for another process.
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

    /// Continues from what another process has learned.
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
