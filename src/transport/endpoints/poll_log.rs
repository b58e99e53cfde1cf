//! Log output about polls of the endpoint list: why they fail, and for how long the list was unconfirmed.

use super::poll::PollError;
use crate::routing::MonotonicMicros;
use crate::transport::messages::ENDPOINT_LIST_SOURCE;
use std::cell::{Cell, RefCell};

const MICROS_PER_MILLI: u64 = 1_000;

/// Logs only changes, since an unavailable service is polled many times.
pub(super) struct PollLog {
    /// Why the last poll failed; `None` if it did not.
    last_error: RefCell<Option<String>>,
    /// Time since which the list is unconfirmed: the start of the watcher, or the first failed, delayed or dropped poll
    /// after the last list. `None` while the list is confirmed.
    unconfirmed_since: Cell<Option<MonotonicMicros>>,
}

impl PollLog {
    /// Creates a log for a list that is not confirmed yet.
    pub(super) fn new(now: MonotonicMicros) -> Self {
        PollLog {
            last_error: RefCell::default(),
            unconfirmed_since: Cell::new(Some(now)),
        }
    }

    /// Records that the list is unconfirmed from now on, unless it already is.
    pub(super) fn record_unconfirmed(&self, now: MonotonicMicros) {
        if self.unconfirmed_since.get().is_none() {
            self.unconfirmed_since.set(Some(now));
        }
    }

    /// Logs why a poll failed, unless the previous poll failed for the same reason.
    pub(super) fn record_failure(
        &self,
        now: MonotonicMicros,
        error: &PollError,
        known_version: u64,
    ) {
        self.record_unconfirmed(now);
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

    /// Logs a response, at level `info` if it is the first one after a failure or confirms the list again.
    pub(super) fn record_response(&self, now: MonotonicMicros, version: u64) {
        if self.last_error.replace(None).is_some() {
            tracing::info!(
                source = ENDPOINT_LIST_SOURCE,
                "endpoint list available again"
            );
        }
        tracing::debug!(
            source = ENDPOINT_LIST_SOURCE,
            version,
            "endpoint list received"
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
