//! `[streams]` of the operator file: how long a streamed response may be silent, and whether it is continued at another
//! replica.

use super::duration::ConfigDuration;
use super::error::InvalidValue;
use crate::transport::replica::stream_monitor;
use poppykeel_stream_recovery::{ContinuationLimits, StallLimits};
use serde::Deserialize;
use std::time::Duration;

const DEFAULT_REPLICA_SHARE: f64 = 0.5;
const DEFAULT_CONTINUATION_WAIT: ConfigDuration = ConfigDuration::from_micros(5_000_000);

/// `[streams]`. Field names are the keys, which `deploy/operator.toml` documents.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(
    deny_unknown_fields,
    default,
    expecting = "a table with the keys of [streams]"
)]
pub struct StreamsConfig {
    /// The lower bound of the silence limit, after which a stream counts as stalled.
    pub stall_least: ConfigDuration,
    /// The upper bound of the silence limit.
    pub stall_most: ConfigDuration,
    /// The silence limit is at least this multiple of the class's objective for the time between tokens.
    pub stall_aims: f64,
    /// The silence limit is at least this multiple of the long gaps between tokens of the stream's replica.
    pub stall_gaps: f64,
    /// Whether a stalled or broken stream is continued at another replica.
    #[serde(rename = "continue")]
    pub continues: bool,
    /// The largest number of continuations of one stream.
    pub tries: u32,
    /// The largest ratio of continuations to streams started within `window`, from 0 to 1.
    pub share: f64,
    /// The fraction of one replica's streams that may be continued elsewhere, from 0 to 1.
    pub replica_share: f64,
    /// The number of continuations within `window` that are allowed regardless of `share`.
    pub free: u32,
    /// The length of the window in which streams and continuations are counted.
    pub window: ConfigDuration,
    /// The time within which another replica must begin the continuation.
    pub wait: ConfigDuration,
}

impl Default for StreamsConfig {
    fn default() -> Self {
        let stall = StallLimits::default();
        let continuation = ContinuationLimits::default();
        StreamsConfig {
            stall_least: ConfigDuration::from_micros(stall.min_silence),
            stall_most: ConfigDuration::from_micros(stall.max_silence),
            stall_aims: stall.objective_factor,
            stall_gaps: stall.long_gap_factor,
            continues: false,
            tries: continuation.max_per_stream,
            share: continuation.share,
            replica_share: DEFAULT_REPLICA_SHARE,
            free: continuation.min_allowed,
            window: ConfigDuration::from_micros(continuation.window),
            wait: DEFAULT_CONTINUATION_WAIT,
        }
    }
}

impl StreamsConfig {
    /// Checks value ranges and constraints between keys, which the types don't enforce.
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        let invalid = |key: &str, expected: &'static str| {
            Err(InvalidValue::new(format!("streams.{key}"), expected))
        };
        if self.stall_least > self.stall_most || self.stall_least.as_micros() == 0 {
            return invalid(
                "stall_least",
                "expected a duration above 0 and at most stall_most",
            );
        }
        for (key, factor) in [
            ("stall_aims", self.stall_aims),
            ("stall_gaps", self.stall_gaps),
        ] {
            if !factor.is_finite() || factor < 0.0 {
                return invalid(key, "expected a number of at least 0");
            }
        }
        for (key, share) in [("share", self.share), ("replica_share", self.replica_share)] {
            if !(0.0..=1.0).contains(&share) {
                return invalid(key, "expected a fraction from 0 to 1");
            }
        }
        if self.window.as_micros() == 0 {
            return invalid("window", "expected a duration above 0");
        }
        Ok(())
    }

    pub(super) fn settings(&self) -> stream_monitor::StreamSettings {
        let limits = StallLimits {
            min_silence: self.stall_least.as_micros(),
            max_silence: self.stall_most.as_micros(),
            objective_factor: self.stall_aims,
            long_gap_factor: self.stall_gaps,
        };
        let budget = ContinuationLimits {
            max_per_stream: self.tries,
            share: self.share,
            min_allowed: self.free,
            window: self.window.as_micros(),
        };
        let continuation = stream_monitor::ContinuationSettings {
            limits: budget,
            max_replica_share: self.replica_share,
            max_wait: Duration::from_micros(self.wait.as_micros()),
        };
        stream_monitor::StreamSettings {
            stall_limits: limits,
            continuation: self.continues.then_some(continuation),
        }
    }
}
