//! Forwards the response of one attempt to the client.
//!
//! [`attempts`](super::attempts) reads the response part by part with one forwarder for each attempt, and ends the attempt
//! with the outcome that the reader of the response gives.

use super::attempts::{AttemptRequest, ReplicaClient};
use super::connection::ReplicaConnection;
use super::stream_monitor::{MonitoredStream, StreamWaits};
use crate::protocol::http::{HttpParseError, MessagePart};
use crate::protocol::response::{ResponseReader, ResponseStep};
use crate::routing::{DurationMicros, MonotonicMicros};
use crate::transport::messages::{DispatcherMessage, StartedStream, StreamChunk};
use bytes::Bytes;
use futures_util::StreamExt;
use poppykeel_scheduler::AttemptOutcome;
use poppykeel_stream_recovery::StallCause;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::TrySendError};

/// Number of chunks of a stream buffered for the client. If the channel is full, the attempt waits and does not read from
/// the replica.
const STREAM_CHANNEL_CAPACITY: usize = 4;
/// Longer than a system delays the acknowledgement of bytes that it has received, in microseconds.
const MAX_ACKNOWLEDGEMENT_DELAY: DurationMicros = 50_000;

/// The next input from a replica's connection.
pub(super) enum ReplicaInput {
    /// A part of the response.
    Part(MessagePart),
    /// The connection has ended or failed, or its bytes are not valid HTTP.
    Broken,
    /// The stream has stalled.
    Stalled(StallCause),
    /// The replica had not taken the whole request by the attempt's write deadline. The attempt ends with this outcome.
    NotDelivered(AttemptOutcome),
}

impl ReplicaInput {
    /// The result of a read of the next part; `None` at the end of the connection.
    fn from_read(read: Option<Result<MessagePart, HttpParseError>>) -> ReplicaInput {
        match read {
            Some(Ok(part)) => ReplicaInput::Part(part),
            Some(Err(_)) | None => ReplicaInput::Broken,
        }
    }
}

/// Forwards the response of one attempt to the client.
pub(super) struct ResponseForwarder<'a> {
    client: &'a ReplicaClient,
    attempt: &'a AttemptRequest,
    pub(super) reader: ResponseReader,
    /// The attempt's write deadline if nothing has shown yet that the replica has taken the whole request.
    undelivered_until: Option<MonotonicMicros>,
    /// Whether the replica keeps the connection open after the response.
    keeps_connection: bool,
    /// Sender of the stream's chunks; `None` before the first token.
    chunks: Option<mpsc::Sender<StreamChunk>>,
    /// The stream in the monitor; `None` before the first token.
    pub(super) stream: Option<MonitoredStream>,
    /// Whether the response has ended or was given up.
    has_ended: bool,
}

impl Drop for ResponseForwarder<'_> {
    /// Logs a stream whose client has left while it waited for an event.
    fn drop(&mut self) {
        let Some(stream) = self.stream.as_ref().filter(|_| !self.has_ended) else {
            return;
        };
        let StreamWaits {
            since_event_ms,
            since_bytes_ms,
            is_event_late,
        } = stream.waits();
        if is_event_late {
            let AttemptRequest {
                request, attempt, ..
            } = self.attempt;
            let from = self.attempt.address.addr;
            tracing::info!(%request, attempt, %from, since_event_ms, since_bytes_ms, "client left while it waited for an event");
        }
    }
}

impl<'a> ResponseForwarder<'a> {
    pub(super) fn new(client: &'a ReplicaClient, attempt: &'a AttemptRequest) -> Self {
        ResponseForwarder {
            client,
            attempt,
            reader: ResponseReader::new(client.site.clone()),
            undelivered_until: attempt.write_by,
            keeps_connection: false,
            chunks: None,
            stream: None,
            has_ended: false,
        }
    }

    /// Reads the next input, for as long as the stream may be silent. Ends at the write deadline if the replica has not taken
    /// the request by then.
    pub(super) async fn read(&mut self, connection: &mut ReplicaConnection) -> ReplicaInput {
        let Some(write_by) = self.undelivered_until.take() else {
            return self.read_next(connection).await;
        };
        for check_at in [write_by, write_by + MAX_ACKNOWLEDGEMENT_DELAY] {
            let check_at = self.client.clock.instant(check_at);
            if let Ok(input) = tokio::time::timeout_at(check_at, self.read_next(connection)).await {
                return input;
            }
            let queue = connection.send_queue();
            if queue.unacknowledged_bytes == 0 {
                return self.read_next(connection).await;
            }
            if queue.unsent_bytes > 0 {
                // A replica begins a request after its last byte, which has not left this machine.
                return ReplicaInput::NotDelivered(AttemptOutcome::ConnectFailed);
            }
        }
        ReplicaInput::NotDelivered(AttemptOutcome::ConnectionReset)
    }

    /// Reads the next input, for as long as the stream may go on without bytes and without an event. Cancel-safe: the codec
    /// keeps what it has read.
    async fn read_next(&self, connection: &mut ReplicaConnection) -> ReplicaInput {
        loop {
            let Some((stream, left_us)) = self.time_to_stall() else {
                return ReplicaInput::from_read(connection.http_mut().next().await);
            };
            let left = Duration::from_micros(left_us);
            if let Ok(read) = tokio::time::timeout(left, connection.http_mut().next()).await {
                return ReplicaInput::from_read(read);
            }
            // A timer alone does not show a stall: after the process stood still, an event may wait in the kernel. The codec and
            // the reader accept a bounded number of bytes without an event, so reading all of them comes to an end.
            let Some(silence) = connection.http().get_ref().silence() else {
                tokio::task::yield_now().await;
                continue;
            };
            stream.record_silence(silence);
            if let Some(cause) = stream.stall_cause() {
                self.log_stall(stream, cause, connection);
                return ReplicaInput::Stalled(cause);
            }
        }
    }

    /// Logs that the node gives a stream up, and what its replica has sent last.
    fn log_stall(
        &self,
        stream: &MonitoredStream,
        cause: StallCause,
        connection: &ReplicaConnection,
    ) {
        let AttemptRequest {
            request, attempt, ..
        } = self.attempt;
        let StreamWaits {
            since_event_ms,
            since_bytes_ms,
            ..
        } = stream.waits();
        let from = self.attempt.address.addr;
        let expected = connection.http().codec().expected_part();
        tracing::info!(%request, attempt, %from, why = %cause, since_event_ms, since_bytes_ms, expected, "stream given up");
    }

    /// The stream, and the time until it counts as stalled; `None` before its first event.
    fn time_to_stall(&self) -> Option<(&MonitoredStream, DurationMicros)> {
        let stream = self.stream.as_ref()?;
        Some((stream, stream.time_to_stall()?))
    }

    /// Processes a part of the response and appends the resulting steps.
    pub(super) fn handle_part(&mut self, part: MessagePart, steps: &mut Vec<ResponseStep>) {
        if let MessagePart::Head(head) = &part {
            self.keeps_connection = head.keeps_connection;
            let AttemptRequest {
                request, attempt, ..
            } = self.attempt;
            let from = self.attempt.address.addr;
            tracing::debug!(%request, attempt, %from, start = ?head.start_line, "response begins");
        }
        let progress = self.reader.progress();
        self.reader.feed(part, steps);
        if let Some(stream) = &self.stream {
            if self.reader.progress() > progress {
                stream.record_event();
            } else {
                stream.record_bytes();
            }
        }
    }

    /// Offers the stream to the dispatcher once its first token has arrived.
    pub(super) async fn start_stream(&mut self, content_type: String) {
        let (chunk_sender, chunks) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
        self.chunks = Some(chunk_sender);
        let replica = self.attempt.address.replica;
        let objective = self.attempt.inter_token_objective;
        self.stream = Some(self.client.stream_monitor.begin_stream(replica, objective));
        let started = DispatcherMessage::StreamStarted(StartedStream {
            request: self.attempt.request,
            attempt: self.attempt.attempt,
            content_type,
            replica,
            chunks,
        });
        // The channel is closed only after the node has ended; the stream is then not needed.
        let _ = self.client.dispatcher.send(started).await;
    }

    /// Forwards bytes to the client. While the client does not keep up, the silence is not counted against the replica.
    pub(super) async fn forward(&self, bytes: Bytes) {
        let Some(chunks) = &self.chunks else {
            return;
        };
        if let Err(TrySendError::Full(chunk)) = chunks.try_send(StreamChunk::Bytes(bytes)) {
            if let Some(stream) = &self.stream {
                stream.client_blocked();
            }
            // Sending fails if the client has disconnected; the dispatcher aborts this attempt.
            let _ = chunks.send(chunk).await;
            if let Some(stream) = &self.stream {
                stream.client_resumed();
            }
        }
    }

    /// Gives the stream up.
    pub(super) fn abandon(&mut self, cause: StallCause) {
        self.has_ended = true;
        if let Some(stream) = &self.stream {
            stream.abandon(cause);
        }
    }

    /// Ends the stream according to the attempt's outcome. `has_response_ended` tells whether the response has ended in good
    /// form: then a broken stream leaves the connection usable. Returns whether the connection can be reused.
    pub(super) async fn finish(
        &mut self,
        outcome: AttemptOutcome,
        has_response_ended: bool,
    ) -> bool {
        self.has_ended = true;
        let is_complete = outcome == AttemptOutcome::Completed;
        let is_broken = outcome == AttemptOutcome::ConnectionReset;
        if let (Some(chunks), true) = (&self.chunks, is_complete) {
            // Sending fails if the client has disconnected; it does not need the end.
            let _ = chunks.send(StreamChunk::End).await;
        }
        if let Some(stream) = &self.stream {
            if is_complete || is_broken {
                stream.end(is_complete);
            }
        }
        self.keeps_connection && (has_response_ended || !is_broken)
    }
}
