//! What a router has learned, as one process of it leaves it to the next.
//!
//! The stored form is positional: fields never change their order, and a struct is stored like a tuple of its fields.

use super::Seconds;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The largest figure that is believed.
const MAX_FIGURE: f64 = 1e9;
/// The largest logarithm of a ratio that is believed.
const MAX_LOGARITHM: f64 = 30.0;

/// What a router has learned. Replicas and host types are identified as in its settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Requests that it has been learned from.
    pub requests_seen: u64,
    /// Mean cost of a request, tokens.
    pub mean_request_cost: f64,
    /// Mean time from the start of an attempt to its first token.
    pub mean_time_to_first_token: Seconds,
    /// Mean time from the start of an attempt to its end.
    pub mean_service_time: Seconds,
    /// Cost of the requests dispatched, tokens a second.
    pub dispatched_cost_rate: f64,
    /// Attempts started a second.
    pub attempt_rate: f64,
    /// Requests that may be in flight for each warm replica.
    pub concurrency_per_replica: f64,
    /// Prefill times by host type.
    pub prefill_times: Vec<PrefillTime>,
    /// Service times by host type.
    pub service_times: Vec<ServiceTime>,
    /// Batch sizes by host type.
    pub batch_sizes: Vec<BatchSize>,
    /// What parts of prompts were found in caches.
    pub cache_hit_rates: CacheHitRates,
    /// Tokens of cost that a second of work told by clients stands for.
    pub tokens_per_work_second: Option<f64>,
    /// Mean of the prompt tokens that replicas reported as queued.
    pub mean_queued_tokens: f64,
    /// Sessions, the oldest first.
    pub sessions: Vec<SessionRecord>,
}

/// How fast replicas of one host type read prompts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillTime {
    /// The host type.
    pub host_type: usize,
    /// First tokens seen, as far as they still count.
    pub samples: f64,
    /// Mean logarithm of the time for a prompt token, as a multiple of the first guess.
    pub mean_logarithm: f64,
}

/// How long answers of one host type take.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// The host type.
    pub host_type: usize,
    /// Mean time from the start of an attempt to its end.
    pub mean: Seconds,
}

/// How many requests replicas of one host type run together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSize {
    /// The host type.
    pub host_type: usize,
    /// Requests.
    pub requests: f64,
}

/// The parts, from 0 to 1, of the prompt tokens expected in a replica's cache that were found there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheHitRates {
    /// Of the beginning shared with other sessions, at any replica.
    pub shared_prefix: f64,
    /// Of the rest of the prompt, at the session's affinity replica.
    pub affinity_replica: f64,
    /// Of the previous turn's prompt, at the replica that read it.
    pub previous_turn: f64,
}

/// Where the previous turn of a session was read.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub session: u64,
    /// The replica.
    pub replica: SocketAddr,
    /// The prompt tokens read there.
    pub prompt_tokens: f64,
}

impl LearnedState {
    /// Whether all figures are such as a router may have learned: what comes from outside may be anything.
    pub fn is_plausible(&self) -> bool {
        let figures = [
            self.mean_request_cost,
            self.mean_time_to_first_token,
            self.mean_service_time,
            self.dispatched_cost_rate,
            self.attempt_rate,
            self.concurrency_per_replica,
            self.mean_queued_tokens,
        ];
        figures.into_iter().all(is_plausible_figure)
            && self.mean_service_time > 0.0
            && self.tokens_per_work_second.is_none_or(is_plausible_figure)
            && self.cache_hit_rates.is_plausible()
            && self.prefill_times.iter().all(PrefillTime::is_plausible)
            && self
                .service_times
                .iter()
                .all(|time| is_plausible_figure(time.mean))
            && self
                .batch_sizes
                .iter()
                .all(|size| is_plausible_figure(size.requests))
            && self
                .sessions
                .iter()
                .all(|record| is_plausible_figure(record.prompt_tokens))
    }
}

impl PrefillTime {
    fn is_plausible(&self) -> bool {
        is_plausible_figure(self.samples)
            && (-MAX_LOGARITHM..=MAX_LOGARITHM).contains(&self.mean_logarithm)
    }
}

impl CacheHitRates {
    fn is_plausible(&self) -> bool {
        [
            self.shared_prefix,
            self.affinity_replica,
            self.previous_turn,
        ]
        .into_iter()
        .all(|rate| (0.0..=1.0).contains(&rate))
    }
}

fn is_plausible_figure(figure: f64) -> bool {
    (0.0..=MAX_FIGURE).contains(&figure)
}
