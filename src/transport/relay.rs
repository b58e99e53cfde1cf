//! Saves streams that their server did not end, where the operators allow it: what was passed is kept in mind, the
//! rest is asked for as a request of its own, and both become one answer. The module decides about that request as
//! about any other; whether there is one at all is judged by `poppykeel_stream_recovery`.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::messages::RequestPayload;
use super::streams::{Continues, Streams};
use crate::protocol::http::Head;
use crate::protocol::request;
use bytes::Bytes;
use poppykeel_scheduler::{Idempotency, IncomingRequest, ReplicaId, RequestId};
use poppykeel_site_settings::SiteSettings;
use poppykeel_stream_recovery::{
    decide, InterruptedStream, RecoveryDecision, RecoveryRefusal, StreamProgress, StreamTranscript,
};
use std::rc::Rc;

/// One client's stream that may be saved.
pub struct Relay {
    streams: Rc<Streams>,
    continues: Continues,
    story: StreamTranscript,
    arrival: IncomingRequest,
    head: Head,
    body: Bytes,
    repeatable: bool,
    tries: u32,
    /// Who writes now.
    replica: ReplicaId,
}

/// What follows when a stream has ended before its end.
pub enum Next {
    /// These bytes end it whole.
    Complete(Bytes),
    /// This asks for the rest.
    Ask(Box<(IncomingRequest, RequestPayload)>),
    /// These bytes tell the client that it failed.
    Fail(Bytes),
}

impl Relay {
    /// Follows a stream; none where streams are not continued here.
    pub fn new(
        streams: &Rc<Streams>,
        boot: &SiteSettings,
        arrival: IncomingRequest,
        head: Head,
        body: Bytes,
        replica: ReplicaId,
        content_type: &str,
    ) -> Option<Relay> {
        let continues = streams
            .settings()
            .continues
            .filter(|_| content_type.starts_with("text/event-stream"))?;
        let effect = boot
            .scheduler
            .classes
            .get(arrival.class)
            .map(|c| c.idempotency);
        let (streams, story) = (streams.clone(), StreamTranscript::default());
        let repeatable = effect == Some(Idempotency::Idempotent);
        Some(Relay {
            streams,
            continues,
            story,
            arrival,
            head,
            body,
            repeatable,
            tries: 0,
            replica,
        })
    }

    /// The request that is being answered now.
    pub fn id(&self) -> RequestId {
        self.arrival.id
    }

    /// What of an upstream's bytes goes to the client now.
    pub fn pass(&mut self, bytes: &Bytes) -> Bytes {
        let passed = self.story.forward(self.story.epoch(), bytes);
        if passed.dropped_bytes > 0 {
            self.streams
                .count(|c| c.dropped += passed.dropped_bytes as u64);
        }
        passed.bytes.into()
    }

    /// What is left of an event that was never completed, where the upstream says that all has passed.
    pub fn rest(&mut self) -> Bytes {
        self.story.take_partial_event().into()
    }

    /// The upstream says that all has passed: whether it has by the answer's own words, if those can be judged.
    pub fn whole(&mut self) -> bool {
        let story = &self.story;
        let whole = story.progress() == StreamProgress::Done
            || story.obstacle().is_some()
            || !story.has_chunks();
        if whole && self.tries > 0 {
            self.streams.count(|c| c.saved += 1);
        }
        whole
    }

    /// The upstream has stalled or broken.
    pub fn ended(&mut self, ending: bool) -> Next {
        let case = InterruptedStream {
            max_continuations: Some(self.continues.budget.max_per_stream),
            is_idempotent: self.repeatable,
            continuations: self.tries,
            has_client: true,
            is_shutting_down: ending,
        };
        let (streams, continues, replica) = (&self.streams, &self.continues, self.replica);
        let take = || streams.take(replica, continues);
        match decide(&case, &self.story, &self.body, take) {
            RecoveryDecision::Complete => {
                self.streams.count(|c| c.completed += 1);
                Next::Complete(self.story.closing_events().into())
            }
            RecoveryDecision::Fail(why) => self.fail(&why),
            RecoveryDecision::Continue(rest) => {
                self.tries += 1;
                let epoch = self.story.begin_epoch();
                self.streams.count(|c| c.continued += 1);
                let tokens = self.story.token_count();
                let mut arrival = self.arrival.clone();
                // A request of its own: a server that remembers ids must not take it for a repeat.
                arrival.id = RequestId(next_id(self.arrival.id.0, epoch));
                arrival.prompt_tokens += tokens;
                arrival.max_output_tokens = arrival.max_output_tokens.saturating_sub(tokens).max(1);
                arrival.time_left = arrival.time_left.min(self.continues.wait.as_secs_f64());
                arrival.is_client_retry = false;
                tracing::info!(request = %self.arrival.id, next = %arrival.id, epoch, tokens, "stream continued");
                self.arrival = arrival.clone();
                let head = request::replica_request_head(&self.head, rest.len(), Some(arrival.id));
                let payload = RequestPayload {
                    head,
                    body: rest.into(),
                };
                Next::Ask(Box::new((arrival, payload)))
            }
        }
    }

    /// Another server answers.
    pub fn carried_on(&mut self, replica: ReplicaId) {
        self.replica = replica;
    }

    /// It was not to be had: the module has refused or failed the request for the rest.
    pub fn refused(&mut self) -> Next {
        self.fail(&RecoveryRefusal::NoReplica)
    }

    fn fail(&mut self, why: &RecoveryRefusal) -> Next {
        self.streams.count(|c| c.failed += 1);
        tracing::info!(request = %self.arrival.id, why = %why, tokens = self.story.token_count(), "stream failed");
        let error = serde_json::json!({"error": {
            "message": format!("the answer broke off and cannot be continued: {why}"),
            "type": "stream_broken", "code": 502,
        }});
        Next::Fail(format!("data: {error}\n\n").into())
    }
}

fn next_id(id: u64, epoch: u64) -> u64 {
    (id ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
        .rotate_left(31)
}
