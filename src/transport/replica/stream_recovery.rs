//! Recovery of interrupted streams, at sites where the operators allow it. The forwarded part of a stream is kept as a
//! transcript; the remainder is requested separately, and the client gets both as one response.
//!
//! The scheduler treats the continuation like any other request. `poppykeel_stream_recovery` decides whether there is one.
//! The task of the client's connection owns the [`StreamRecovery`] of its stream and executes each [`RecoveryStep`].

use super::stream_monitor::{ContinuationSettings, StreamMonitor};
use crate::protocol::event_stream::is_event_stream;
use crate::protocol::http::Head;
use crate::protocol::request;
use crate::routing::{DurationMicros, MonotonicMicros};
use crate::transport::messages::RequestPayload;
use bytes::Bytes;
use poppykeel_scheduler::{Idempotency, IncomingRequest, ReplicaId, RequestId};
use poppykeel_site_settings::SiteSettings;
use poppykeel_stream_recovery::{
    decide_recovery, ForwardedBytes, InterruptedStream, RecoveryDecision, RecoveryRefusal,
    StreamTranscript,
};
use std::rc::Rc;
use std::time::Duration;

/// A client's request whose stream has begun.
pub struct StreamedRequest {
    /// The request in the scheduler's form.
    pub request: IncomingRequest,
    /// The head of the request as the client sent it.
    pub head: Head,
    /// The body, unchanged.
    pub body: Bytes,
    /// The replica that sends the stream.
    pub replica: ReplicaId,
}

/// A client's stream that can be recovered.
pub struct StreamRecovery {
    monitor: Rc<StreamMonitor>,
    settings: ContinuationSettings,
    transcript: StreamTranscript,
    /// The request whose response is being forwarded: the client's, or the last continuation.
    request: IncomingRequest,
    head: Head,
    body: Bytes,
    is_idempotent: bool,
    continuation_count: u32,
    /// The replica that sends the stream now.
    replica: ReplicaId,
    /// When the client was last sent an event.
    last_event_at: MonotonicMicros,
}

/// A request for the remainder of a stream.
pub struct ContinuationRequest {
    /// The request in the scheduler's form.
    pub request: IncomingRequest,
    /// The request in the form sent to replicas.
    pub payload: RequestPayload,
}

/// The next step of the client's connection after its stream was interrupted.
pub enum RecoveryStep {
    /// Send these bytes, which complete the stream.
    Complete(Bytes),
    /// Request the remainder of the stream.
    Continue(Box<ContinuationRequest>),
    /// Send these bytes, an error event, and end the stream.
    Fail(Bytes),
}

impl StreamRecovery {
    /// Starts the transcript of a stream; `None` if the stream can't be recovered, because the settings do not allow it or
    /// the stream is no event stream.
    pub fn new(
        monitor: &Rc<StreamMonitor>,
        site: &SiteSettings,
        streamed: StreamedRequest,
        content_type: &str,
    ) -> Option<StreamRecovery> {
        let continuation = monitor.settings().continuation;
        let settings = continuation.filter(|_| is_event_stream(content_type))?;
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
            last_event_at: monitor.now(),
        })
    }

    /// The id of the request whose response is being forwarded.
    pub fn request_id(&self) -> RequestId {
        self.request.id
    }

    /// Adds bytes from the replica to the transcript and returns what to send to the client now.
    pub fn forward(&mut self, bytes: &Bytes) -> ForwardedBytes {
        let epoch = self.transcript.epoch();
        let forwarded = self.transcript.forward(epoch, bytes);
        if forwarded.dropped_bytes > 0 {
            self.monitor.update_counters(|counters| {
                counters.discarded_bytes += forwarded.dropped_bytes as u64;
            });
        }
        forwarded
    }

    /// Records that an event has been sent to the client.
    pub fn record_event_sent(&mut self) {
        self.last_event_at = self.monitor.now();
    }

    /// How much longer the client waits for the next event.
    fn client_wait_left(&self) -> DurationMicros {
        let max_wait = self.monitor.settings().stall_limits.max_client_wait();
        let waited = self.monitor.now().saturating_sub(self.last_event_at);
        max_wait.saturating_sub(waited)
    }

    /// Removes and returns the bytes of an incomplete last event. They are sent to the client once the stream is complete.
    pub fn take_partial_event(&mut self) -> Bytes {
        self.transcript.take_partial_event().into()
    }

    /// Counts a stream that the last replica has completed.
    pub fn record_completion(&self) {
        if self.continuation_count > 0 {
            self.monitor
                .update_counters(|counters| counters.recovered += 1);
        }
    }

    /// Handles a stream that has stalled or broken, or lacks its end. Returns the next step.
    pub fn recover(&mut self, is_shutting_down: bool) -> RecoveryStep {
        let interrupted = InterruptedStream {
            max_continuations: Some(self.settings.limits.max_per_stream),
            is_idempotent: self.is_idempotent,
            continuations: self.continuation_count,
            is_client_connected: true,
            is_shutting_down,
            client_wait_left: self.client_wait_left(),
        };
        let try_take = || {
            self.monitor
                .try_take_continuation(self.replica, &self.settings)
        };
        match decide_recovery(&interrupted, &self.transcript, &self.body, try_take) {
            RecoveryDecision::Complete => {
                self.monitor
                    .update_counters(|counters| counters.closed_by_node += 1);
                RecoveryStep::Complete(self.transcript.closing_events().into())
            }
            RecoveryDecision::Fail(refusal) => RecoveryStep::Fail(self.fail(&refusal)),
            RecoveryDecision::Continue(body) => {
                RecoveryStep::Continue(Box::new(self.continuation(body.into())))
            }
        }
    }

    /// Builds the request for the remainder, with this body.
    fn continuation(&mut self, body: Bytes) -> ContinuationRequest {
        self.continuation_count += 1;
        let epoch = self.transcript.begin_epoch();
        self.monitor
            .update_counters(|counters| counters.continued += 1);
        let tokens = self.transcript.token_count();
        let mut request = self.request.clone();
        // The continuation has its own id: a replica that deduplicates by id must not take it for a repeat.
        request.id = RequestId(continuation_id(self.request.id.0, epoch));
        request.prompt_tokens += tokens;
        request.max_output_tokens = request.max_output_tokens.saturating_sub(tokens).max(1);
        let max_wait = Duration::from_micros(self.client_wait_left()).min(self.settings.max_wait);
        request.time_left = request.time_left.min(max_wait.as_secs_f64());
        request.is_client_retry = false;
        tracing::info!(request = %self.request.id, next = %request.id, epoch, tokens, "stream continued");
        self.request = request.clone();
        let head = request::replica_request_head(&self.head, body.len(), Some(request.id));
        let payload = RequestPayload { head, body };
        ContinuationRequest { request, payload }
    }

    /// Sets the replica that sends the stream from now on.
    pub fn set_replica(&mut self, replica: ReplicaId) {
        self.replica = replica;
    }

    /// Handles a continuation that was rejected or has failed. Returns an error event for the client.
    pub fn handle_refused_continuation(&mut self) -> Bytes {
        self.fail(&RecoveryRefusal::NoReplica)
    }

    /// Counts and logs the failure, and returns an error event for the client.
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

/// The id of a continuation: a hash of the previous request's id and the transcript's epoch, which is the number of
/// continuations so far.
fn continuation_id(id: u64, epoch: u64) -> u64 {
    (id ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
        .rotate_left(31)
}
