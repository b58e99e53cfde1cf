//! What the log says of the polls of discovery's endpoint list: why they fail, and since when the list is not confirmed.

use super::poll::PollError;
use crate::routing::MonotonicMicros;
use crate::transport::messages::ENDPOINT_LIST_SOURCE;
use std::cell::{Cell, RefCell};

const MICROS_PER_MILLI: u64 = 1_000;

/// Logs changes only: a service that stays away is polled many times.
pub(super) struct PollLog {
    /// Why the last poll failed, if it did.
    last_error: RefCell<Option<String>>,
    /// Since when no poll has been answered: the start, or the first doubt after an answer.
    unconfirmed_since: Cell<Option<MonotonicMicros>>,
}

impl PollLog {
    /// The log of a list that is not confirmed yet.
    pub(super) fn new(now: MonotonicMicros) -> Self {
        PollLog {
            last_error: RefCell::default(),
            unconfirmed_since: Cell::new(Some(now)),
        }
    }

    /// Notes that the list may be out of date from now on.
    pub(super) fn record_doubt(&self, now: MonotonicMicros) {
        if self.unconfirmed_since.get().is_none() {
            self.unconfirmed_since.set(Some(now));
        }
    }

    /// Logs why the list cannot be had, unless the previous poll failed for the same reason.
    pub(super) fn record_failure(
        &self,
        now: MonotonicMicros,
        error: &PollError,
        known_version: u64,
    ) {
        self.record_doubt(now);
        let reason = error.to_string();
        let is_new = self.last_error.borrow().as_ref() != Some(&reason);
        if is_new {
            tracing::warn!(
                source = ENDPOINT_LIST_SOURCE,
                reason,
                known_version,
                "no list"
            );
        }
        self.last_error.replace(Some(reason));
    }

    /// Logs an answer; at the usual level where it is the first one after a failure or a doubt.
    pub(super) fn record_answer(&self, now: MonotonicMicros, version: u64) {
        if self.last_error.replace(None).is_some() {
            tracing::info!(
                source = ENDPOINT_LIST_SOURCE,
                "endpoint list available again"
            );
        }
        tracing::debug!(
            source = ENDPOINT_LIST_SOURCE,
            version,
            "endpoint list answered"
        );
        if let Some(since) = self.unconfirmed_since.take() {
            let unconfirmed_ms = now.saturating_sub(since) / MICROS_PER_MILLI;
            tracing::info!(
                source = ENDPOINT_LIST_SOURCE,
                version,
                unconfirmed_ms,
                "endpoint list confirmed"
            );
        }
    }
}
