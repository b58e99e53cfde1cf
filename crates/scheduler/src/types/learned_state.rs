//! The learned state that one process of a router hands over to the next.
//!
//! The serialized form is positional: a struct is stored as a tuple of its fields, so the order of fields must never change.

use super::Seconds;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAX_PLAUSIBLE_VALUE: f64 = 1e9;
const MAX_PLAUSIBLE_LOGARITHM: f64 = 30.0;

/// A router's learned state. Host types are numbered as in the router's settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Number of requests that the state is based on.
    pub requests_seen: u64,
    /// Mean cost of a request in tokens.
    pub mean_request_cost: f64,
    /// Mean time from the start of an attempt to its first token.
    pub mean_time_to_first_token: Seconds,
    /// Mean time from the start of an attempt to its end.
    pub mean_service_time: Seconds,
    /// Cost of dispatched requests in tokens per second.
    pub dispatched_cost_rate: f64,
    /// Attempts started per second.
    pub attempt_rate: f64,
    /// The concurrency limit divided by the number of warm replicas.
    pub concurrency_per_replica: f64,
    /// Prefill times by host type.
    pub prefill_times: Vec<PrefillTime>,
    /// Service times by host type.
    pub service_times: Vec<ServiceTime>,
    /// Batch sizes by host type.
    pub batch_sizes: Vec<BatchSize>,
    /// Fractions of the prompt tokens expected in replicas' caches that were found there.
    pub cache_hit_rates: CacheHitRates,
    /// Cost in tokens that corresponds to one second of client-declared work; `None` before any client has declared it.
    pub tokens_per_work_second: Option<f64>,
    /// Mean number of queued prompt tokens in load reports.
    pub mean_queued_tokens: f64,
    /// Recent sessions, oldest first.
    pub sessions: Vec<SessionRecord>,
}

/// The prefill time of replicas of one host type.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillTime {
    /// Number of the type of machine, as in the replicas' endpoints.
    pub host_type: usize,
    /// Number of first tokens that the mean is based on, up to a maximum.
    pub samples: f64,
    /// Mean natural logarithm of the time per prompt token, relative to the default prefill time.
    pub mean_logarithm: f64,
}

/// The service time of replicas of one host type.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Number of the type of machine, as in the replicas' endpoints.
    pub host_type: usize,
    /// Mean time from the start of an attempt to its end.
    pub mean: Seconds,
}

/// The batch size of replicas of one host type.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSize {
    /// Number of the type of machine, as in the replicas' endpoints.
    pub host_type: usize,
    /// Number of requests that run at the same time.
    pub requests: f64,
}

/// The fractions, from 0 to 1, of the prompt tokens expected in a replica's cache that were found there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheHitRates {
    /// Of the prefix shared with other sessions, at any replica.
    pub shared_prefix: f64,
    /// Of the remaining prompt, at the session's affinity replica.
    pub affinity_replica: f64,
    /// Of the previous turn's prompt, at the replica that served it.
    pub previous_turn: f64,
}

/// The replica that served the previous turn of a session.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session, as in [`IncomingRequest::session`](super::IncomingRequest).
    pub session: u64,
    /// Address of the replica that served the turn.
    pub replica: SocketAddr,
    /// Number of prompt tokens of the turn.
    pub prompt_tokens: f64,
}

impl LearnedState {
    /// Whether all values are in the range that a router can have learned; stored state may hold arbitrary values.
    pub fn is_plausible(&self) -> bool {
        let values = [
            self.mean_request_cost,
            self.mean_time_to_first_token,
            self.mean_service_time,
            self.dispatched_cost_rate,
            self.attempt_rate,
            self.concurrency_per_replica,
            self.mean_queued_tokens,
        ];
        values.into_iter().all(is_plausible_value)
            && self.mean_service_time > 0.0
            && self.tokens_per_work_second.is_none_or(is_plausible_value)
            && self.cache_hit_rates.is_plausible()
            && self.prefill_times.iter().all(PrefillTime::is_plausible)
            && self
                .service_times
                .iter()
                .all(|time| is_plausible_value(time.mean))
            && self
                .batch_sizes
                .iter()
                .all(|size| is_plausible_value(size.requests))
            && self
                .sessions
                .iter()
                .all(|record| is_plausible_value(record.prompt_tokens))
    }
}

impl PrefillTime {
    fn is_plausible(&self) -> bool {
        is_plausible_value(self.samples)
            && (-MAX_PLAUSIBLE_LOGARITHM..=MAX_PLAUSIBLE_LOGARITHM).contains(&self.mean_logarithm)
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

fn is_plausible_value(value: f64) -> bool {
    (0.0..=MAX_PLAUSIBLE_VALUE).contains(&value)
}
