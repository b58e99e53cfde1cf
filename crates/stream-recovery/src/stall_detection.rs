//! The state of one stream, from its first event on.

use crate::Micros;

/// What a stream is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// Events come as they should.
    Flowing,
    /// Events come with gaps longer than the replica's long gap, or such a gap is under way.
    Slow,
    /// Nothing has come for longer than the limit of silence.
    Stalled,
    /// The replica has ended it before its end.
    Broken,
    /// The client does not keep up: the silence is the node's own, not the replica's.
    ClientSlow,
    /// It has come to its end.
    Completed,
}

/// Watches one stream for stalls.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_event_at: Micros,
    silence_limit: Micros,
    /// The replica's long gap, where one is known.
    long_gap: Option<Micros>,
    /// Since when the client has been waited for.
    client_waited_for_since: Option<Micros>,
    has_long_gap: bool,
    /// `Broken` or `Completed` once the stream has ended.
    end: Option<StreamState>,
}

impl StallDetector {
    /// A stream whose first event has come. `silence_limit` is how long a silence may last, `long_gap` that of the replica.
    pub fn new(now: Micros, silence_limit: Micros, long_gap: Option<Micros>) -> Self {
        StallDetector {
            last_event_at: now,
            silence_limit,
            long_gap,
            client_waited_for_since: None,
            has_long_gap: false,
            end: None,
        }
    }

    /// An event, or a part of one, has come. Returns the gap before it, unless the client caused that or the stream has
    /// ended.
    pub fn record_event(&mut self, now: Micros) -> Option<Micros> {
        let gap = now.saturating_sub(self.last_event_at);
        self.last_event_at = self.last_event_at.max(now);
        self.has_long_gap = self.is_longer_than_usual(gap);
        let is_of_replica = self.end.is_none() && self.client_waited_for_since.is_none();
        is_of_replica.then_some(gap)
    }

    /// The client takes nothing: from here on silence is the node's own.
    pub fn client_blocked(&mut self, now: Micros) {
        self.client_waited_for_since.get_or_insert(now);
    }

    /// The client has taken what there was. What the replica had sent meanwhile lay in buffers, so silence begins now.
    pub fn client_resumed(&mut self, now: Micros) {
        if self.client_waited_for_since.take().is_some() {
            self.last_event_at = self.last_event_at.max(now);
        }
    }

    /// The replica has ended the stream. The first end counts.
    pub fn record_end(&mut self, is_complete: bool) {
        let end = if is_complete {
            StreamState::Completed
        } else {
            StreamState::Broken
        };
        self.end.get_or_insert(end);
    }

    /// When the stream will have stalled if nothing comes; `None` while the client is waited for, and after the end.
    pub fn stall_deadline(&self) -> Option<Micros> {
        let is_watched = self.end.is_none() && self.client_waited_for_since.is_none();
        is_watched.then(|| self.last_event_at.saturating_add(self.silence_limit))
    }

    /// The state at this time.
    pub fn state(&self, now: Micros) -> StreamState {
        if let Some(end) = self.end {
            return end;
        }
        let silence = now.saturating_sub(self.last_event_at);
        if self.client_waited_for_since.is_some() {
            StreamState::ClientSlow
        } else if silence >= self.silence_limit {
            StreamState::Stalled
        } else if self.has_long_gap || self.is_longer_than_usual(silence) {
            StreamState::Slow
        } else {
            StreamState::Flowing
        }
    }

    fn is_longer_than_usual(&self, gap: Micros) -> bool {
        self.long_gap.is_some_and(|long_gap| gap > long_gap)
    }
}
