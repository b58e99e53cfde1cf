//! Recovers streams that their replica did not end, at sites where the operators allow it. What has been passed on is kept
//! as a transcript; the remainder is requested as a request of its own, and both become one response.
//!
//! The scheduler treats that request like any other. Whether there is one at all is decided by `poppykeel_stream_recovery`.
//! The task of the client's connection owns the [`StreamRecovery`] of its stream and carries out each [`RecoveryStep`].

use super::stream_monitor::{ContinuationSettings, StreamMonitor};
use crate::protocol::http::Head;
use crate::protocol::request;
use crate::transport::messages::RequestPayload;
use bytes::Bytes;
use poppykeel_scheduler::{Idempotency, IncomingRequest, ReplicaId, RequestId};
use poppykeel_site_settings::SiteSettings;
use poppykeel_stream_recovery::{
    decide_recovery, InterruptedStream, RecoveryDecision, RecoveryRefusal, StreamProgress,
    StreamTranscript,
};
use std::rc::Rc;

/// The content type of the streams that can be recovered.
const EVENT_STREAM: &str = "text/event-stream";

/// A client's request whose stream has begun.
pub struct StreamedRequest {
    /// The request as the scheduler takes it.
    pub request: IncomingRequest,
    /// The head of the request as the client sent it.
    pub head: Head,
    /// The body, unchanged.
    pub body: Bytes,
    /// The replica that writes the stream.
    pub replica: ReplicaId,
}

/// The stream of one client, which can be recovered.
pub struct StreamRecovery {
    monitor: Rc<StreamMonitor>,
    settings: ContinuationSettings,
    transcript: StreamTranscript,
    /// The request that is being answered now: the client's, or the last continuation.
    request: IncomingRequest,
    head: Head,
    body: Bytes,
    is_idempotent: bool,
    continuation_count: u32,
    /// The replica that writes now.
    replica: ReplicaId,
}

/// A request for the remainder of a stream.
pub struct ContinuationRequest {
    /// The request as the scheduler takes it.
    pub request: IncomingRequest,
    /// The request as replicas get it.
    pub payload: RequestPayload,
}

/// What the client's connection has to do once a stream has ended before its end.
pub enum RecoveryStep {
    /// Send these bytes; the stream is complete then.
    Complete(Bytes),
    /// Request the remainder.
    Continue(Box<ContinuationRequest>),
    /// Send these bytes, which tell the client that the stream has failed.
    Fail(Bytes),
}

impl StreamRecovery {
    /// Follows a stream; `None` where it can't be recovered.
    pub fn new(
        monitor: &Rc<StreamMonitor>,
        site: &SiteSettings,
        streamed: StreamedRequest,
        content_type: &str,
    ) -> Option<StreamRecovery> {
        let continuation = monitor.settings().continuation;
        let settings = continuation.filter(|_| content_type.starts_with(EVENT_STREAM))?;
        let class = site.scheduler.classes.get(streamed.request.class);
        let is_idempotent = class.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        Some(StreamRecovery {
            monitor: monitor.clone(),
            settings,
            transcript: StreamTranscript::default(),
            request: streamed.request,
            head: streamed.head,
            body: streamed.body,
            is_idempotent,
            continuation_count: 0,
            replica: streamed.replica,
        })
    }

    /// The id of the request that is being answered now.
    pub fn request_id(&self) -> RequestId {
        self.request.id
    }

    /// Takes bytes of the replica and returns those that go to the client now.
    pub fn forward(&mut self, bytes: &Bytes) -> Bytes {
        let epoch = self.transcript.epoch();
        let forwarded = self.transcript.forward(epoch, bytes);
        if forwarded.dropped_bytes > 0 {
            self.monitor
                .update_counters(|counters| counters.dropped += forwarded.dropped_bytes as u64);
        }
        forwarded.bytes.into()
    }

    /// Takes what has come of an event that was never completed. It goes to the client once the stream is complete.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.transcript.take_partial_event().into()
    }

    /// The replica has ended the stream. Returns whether the stream is complete by its own events; a stream whose events
    /// can't be judged is taken to be.
    pub fn replica_ended(&mut self) -> bool {
        let transcript = &self.transcript;
        let is_complete = transcript.progress() == StreamProgress::Done
            || transcript.obstacle().is_some()
            || !transcript.has_chunks();
        if is_complete && self.continuation_count > 0 {
            self.monitor.update_counters(|counters| counters.saved += 1);
        }
        is_complete
    }

    /// The stream has stalled or broken, or its end is missing. Returns what has to be done.
    pub fn recover(&mut self, is_shutting_down: bool) -> RecoveryStep {
        let interrupted = InterruptedStream {
            max_continuations: Some(self.settings.limits.max_per_stream),
            is_idempotent: self.is_idempotent,
            continuations: self.continuation_count,
            is_client_connected: true,
            is_shutting_down,
        };
        let try_take = || {
            self.monitor
                .try_take_continuation(self.replica, &self.settings)
        };
        match decide_recovery(&interrupted, &self.transcript, &self.body, try_take) {
            RecoveryDecision::Complete => {
                self.monitor
                    .update_counters(|counters| counters.completed += 1);
                RecoveryStep::Complete(self.transcript.closing_events().into())
            }
            RecoveryDecision::Fail(refusal) => RecoveryStep::Fail(self.fail(&refusal)),
            RecoveryDecision::Continue(body) => {
                RecoveryStep::Continue(Box::new(self.continuation(body.into())))
            }
        }
    }

    /// The request for the remainder, whose body is `body`.
    fn continuation(&mut self, body: Bytes) -> ContinuationRequest {
        self.continuation_count += 1;
        let epoch = self.transcript.begin_epoch();
        self.monitor
            .update_counters(|counters| counters.continued += 1);
        let tokens = self.transcript.token_count();
        let mut request = self.request.clone();
        // A request of its own: a replica that remembers ids must not take it for a repeat.
        request.id = RequestId(continuation_id(self.request.id.0, epoch));
        request.prompt_tokens += tokens;
        request.max_output_tokens = request.max_output_tokens.saturating_sub(tokens).max(1);
        request.time_left = request.time_left.min(self.settings.max_wait.as_secs_f64());
        request.is_client_retry = false;
        tracing::info!(request = %self.request.id, next = %request.id, epoch, tokens, "stream continued");
        self.request = request.clone();
        let head = request::replica_request_head(&self.head, body.len(), Some(request.id));
        let payload = RequestPayload { head, body };
        ContinuationRequest { request, payload }
    }

    /// Another replica writes the remainder.
    pub fn continued_by(&mut self, replica: ReplicaId) {
        self.replica = replica;
    }

    /// The request for the remainder was rejected or has failed. Returns the bytes that tell the client so.
    pub fn continuation_refused(&mut self) -> Bytes {
        self.fail(&RecoveryRefusal::NoReplica)
    }

    /// Counts and logs the failure, and returns the event that tells the client of it.
    fn fail(&mut self, refusal: &RecoveryRefusal) -> Bytes {
        self.monitor
            .update_counters(|counters| counters.failed += 1);
        tracing::info!(request = %self.request.id, why = %refusal, tokens = self.transcript.token_count(), "stream failed");
        let error = serde_json::json!({"error": {
            "message": format!("the answer broke off and cannot be continued: {refusal}"),
            "type": "stream_broken", "code": 502,
        }});
        format!("data: {error}\n\n").into()
    }
}

/// The id of a continuation: the id of the request before it, mixed with the number of the stream's writer.
fn continuation_id(id: u64, epoch: u64) -> u64 {
    (id ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
        .rotate_left(31)
}
