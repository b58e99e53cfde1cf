//! Tracks the state of one stream, starting with its first event.

use crate::Micros;

/// How regularly the events of a stream arrive, or how it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// The last and the current gap are not longer than the replica's long gap.
    Flowing,
    /// The last or the current gap is longer than the replica's long gap.
    Slow,
    /// No byte has arrived for the silence limit, or no event for the event limit.
    Stalled,
    /// The replica closed the stream before it was complete.
    Broken,
    /// The client does not accept data, so the replica is not responsible for the silence.
    ClientSlow,
    /// The stream ended completely.
    Completed,
}

/// Why a stream counts as stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StallCause {
    /// No byte has arrived for the silence limit.
    #[error("the replica is silent")]
    Silence {
        /// The silence limit.
        limit: Micros,
    },
    /// Bytes arrive, but no event has been complete for the event limit.
    #[error("the replica's bytes complete no event")]
    NoEvent,
}

/// How long a stream may go on without what its client waits for. The stream stalls as soon as either limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// The longest time without any byte.
    pub silence: Micros,
    /// The longest time without a complete event, whatever bytes arrive.
    pub event_gap: Micros,
}

/// Detects stalls of one stream.
#[derive(Clone, Debug)]
pub struct StallDetector {
    /// When an event was last complete, plus the time for which the client has not accepted data since.
    last_event_at: Micros,
    /// When bytes last arrived, or when the client last began to accept data again.
    last_bytes_at: Micros,
    limits: StreamLimits,
    /// The replica's long gap; `None` if unknown.
    long_gap: Option<Micros>,
    /// Since when the client has not accepted data; `None` while it does.
    client_blocked_since: Option<Micros>,
    has_long_gap: bool,
    /// `Broken` or `Completed` once the stream has ended.
    end: Option<StreamState>,
}

impl StallDetector {
    /// Creates a detector when the first event arrives. `long_gap` is that of the replica, `None` if unknown.
    pub fn new(now: Micros, limits: StreamLimits, long_gap: Option<Micros>) -> Self {
        StallDetector {
            last_event_at: now,
            last_bytes_at: now,
            limits,
            long_gap,
            client_blocked_since: None,
            has_long_gap: false,
            end: None,
        }
    }

    /// Records that an event is complete. Returns the gap since the event before it; `None` if the client caused the gap or
    /// the stream has ended.
    pub fn record_event(&mut self, now: Micros) -> Option<Micros> {
        let gap = self.time_since_event(now);
        self.last_event_at = self.last_event_at.max(now);
        self.record_bytes(now);
        self.has_long_gap = self.is_long(gap);
        let is_replica_gap = self.end.is_none() && self.client_blocked_since.is_none();
        is_replica_gap.then_some(gap)
    }

    /// Records that bytes have arrived at `at`, whether or not they complete an event. The silence is measured from then on.
    pub fn record_bytes(&mut self, at: Micros) {
        self.last_bytes_at = self.last_bytes_at.max(at);
    }

    /// Time since the last event, without that for which the client did not accept data.
    pub fn time_since_event(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_event_at)
    }

    /// Time since bytes last arrived, or since the client began to accept data again if that is later.
    pub fn time_since_bytes(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_bytes_at)
    }

    /// Whether no event has come for as long as the stream may be silent.
    pub fn is_event_late(&self, now: Micros) -> bool {
        self.time_since_event(now) >= self.limits.silence
    }

    /// Records that the client does not accept data. From now on, silence is not attributed to the replica.
    pub fn client_blocked(&mut self, now: Micros) {
        self.client_blocked_since.get_or_insert(now);
    }

    /// Records that the client has accepted all pending data. Events from the replica may have waited in buffers
    /// meanwhile, so the silence is measured from now, and the time since the last event goes on where it stopped.
    pub fn client_resumed(&mut self, now: Micros) {
        if let Some(blocked_since) = self.client_blocked_since.take() {
            let blocked = now.saturating_sub(self.last_event_at.max(blocked_since));
            self.last_event_at = self.last_event_at.saturating_add(blocked);
            self.record_bytes(now);
        }
    }

    /// Records that the replica has ended the stream. Later calls have no effect.
    pub fn record_end(&mut self, is_complete: bool) {
        let end = if is_complete {
            StreamState::Completed
        } else {
            StreamState::Broken
        };
        self.end.get_or_insert(end);
    }

    /// The time at which the stream counts as stalled if neither bytes nor an event arrive before; `None` while the client is
    /// blocked and after the end.
    pub fn stall_deadline(&self) -> Option<Micros> {
        let is_watched = self.end.is_none() && self.client_blocked_since.is_none();
        let silence_deadline = self.last_bytes_at.saturating_add(self.limits.silence);
        let event_deadline = self.last_event_at.saturating_add(self.limits.event_gap);
        is_watched.then(|| silence_deadline.min(event_deadline))
    }

    /// Why the stream counts as stalled at `now`; `None` if it does not. Input that has arrived must have been read and
    /// recorded before.
    pub fn stall_cause(&self, now: Micros) -> Option<StallCause> {
        if self.stall_deadline()? > now {
            return None;
        }
        let limit = self.limits.silence;
        if self.time_since_bytes(now) >= limit {
            return Some(StallCause::Silence { limit });
        }
        Some(StallCause::NoEvent)
    }

    /// The state at `now`, which includes the current gap; the final state if the stream has ended.
    pub fn state(&self, now: Micros) -> StreamState {
        if let Some(end) = self.end {
            return end;
        }
        if self.client_blocked_since.is_some() {
            StreamState::ClientSlow
        } else if self.stall_cause(now).is_some() {
            StreamState::Stalled
        } else if self.has_long_gap || self.is_long(self.time_since_event(now)) {
            StreamState::Slow
        } else {
            StreamState::Flowing
        }
    }

    fn is_long(&self, gap: Micros) -> bool {
        self.long_gap.is_some_and(|long_gap| gap > long_gap)
    }
}
