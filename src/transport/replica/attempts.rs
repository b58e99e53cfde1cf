//! One attempt: a request sent to one replica, and its response passed on to the client.
//!
//! The dispatcher starts a task with [`ReplicaClient::run_attempt`] for each attempt. The task owns the connection. Aborting
//! it is how an attempt is abandoned: that closes the connection, wherever the attempt stands, so that no late byte of it can
//! reach another request.
//!
//! Invariants:
//! - Nothing is awaited between [`AttemptRequest::has_begun`] being set and the first write.
//! - An attempt whose last byte was not written can't have run, and is reported as a failure to connect.
//! - The dispatcher is told of the end before the connection is released.

use super::pool::{ConnectError, ConnectionPool, ReplicaAddress, ReplicaConnection};
use super::stream_monitor::{MonitoredStream, StreamMonitor};
use crate::protocol::http::{EncodedMessage, HttpParseError, MessagePart};
use crate::protocol::request;
use crate::protocol::response::{ResponseReader, ResponseStep};
use crate::routing::cross_zone::{CrossZoneTraffic, RequestGroup};
use crate::routing::{DurationMicros, MonotonicMicros};
use crate::transport::clock::Clock;
use crate::transport::messages::{DispatcherMessage, RequestPayload, StartedStream, StreamChunk};
use crate::transport::turn_clock::TurnClock;
use crate::transport::TransportLimits;
use bytes::{Buf, Bytes};
use futures_util::{SinkExt, StreamExt};
use poppykeel_scheduler::{AttemptOutcome, LoadReport, RequestId};
use poppykeel_site_settings::SiteSettings;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::TrySendError};

/// A request is written in pieces of at most this size, so that no buffer grows with the body.
const WRITE_SIZE_BYTES: usize = 16 * 1024;
/// Chunks of a stream that wait for the client. An attempt that finds the channel full waits, and the replica is not read
/// meanwhile.
const STREAM_CHANNEL_CAPACITY: usize = 4;
/// A response whose attempt has ended is still read to its end for this time, so that its connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends attempts and probes to replicas. Clones share everything but the settings of the site: an attempt keeps those with
/// which it has begun.
#[derive(Clone)]
pub struct ReplicaClient {
    pub(super) pool: ConnectionPool,
    pub(super) dispatcher: mpsc::Sender<DispatcherMessage>,
    pub(super) site: Rc<SiteSettings>,
    pub(super) limits: Rc<TransportLimits>,
    stream_monitor: Rc<StreamMonitor>,
    /// Attempts that have been written completely since the start.
    sent_count: Rc<Cell<u64>>,
    /// Attempts that were written completely and went to another zone.
    cross_zone_traffic: Rc<RefCell<CrossZoneTraffic>>,
    /// Whether the endpoint list by which attempts were placed is still known to be current.
    is_list_confirmed: Rc<Cell<bool>>,
    /// Tells whether the dispatcher knows how much time has passed.
    turn_clock: TurnClock,
    clock: Clock,
}

/// An attempt that is to be made.
pub struct AttemptRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: usize,
    /// The replica and where it listens.
    pub address: ReplicaAddress,
    /// The node waits for the first token until then, and the replica is told how long that is when the request is written.
    pub deadline: MonotonicMicros,
    /// If the endpoint list is not confirmed when the connection is up, the request is written until then only.
    pub begin_by: Option<MonotonicMicros>,
    /// The class's objective for the time between two tokens.
    pub inter_token_objective: Option<DurationMicros>,
    /// The request's class and tenant, where the replica is in another zone.
    pub cross_zone_group: Option<RequestGroup>,
    /// What is sent.
    pub payload: Rc<RequestPayload>,
    /// Set when the first byte is about to be written. Until then the attempt can be withdrawn as if it had never been sent.
    pub has_begun: Rc<Cell<bool>>,
}

/// How an attempt ended.
struct AttemptEnd {
    outcome: AttemptOutcome,
    report: Option<LoadReport>,
    /// The connection, where it can be used again once the response has been read to its end.
    connection: Option<ReplicaConnection>,
}

impl AttemptEnd {
    /// An end after which the connection is of no use, or has never been there.
    fn without_connection(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            report: None,
            connection: None,
        }
    }
}

impl ReplicaClient {
    /// A client that has sent nothing yet. It tells `dispatcher` how attempts and probes end.
    pub fn new(
        pool: ConnectionPool,
        dispatcher: mpsc::Sender<DispatcherMessage>,
        site: Rc<SiteSettings>,
        limits: Rc<TransportLimits>,
        stream_monitor: Rc<StreamMonitor>,
        clock: Clock,
    ) -> Self {
        ReplicaClient {
            pool,
            dispatcher,
            site,
            limits,
            stream_monitor,
            sent_count: Rc::default(),
            cross_zone_traffic: Rc::default(),
            is_list_confirmed: Rc::new(Cell::new(true)),
            turn_clock: TurnClock::default(),
            clock,
        }
    }

    /// The settings of the site.
    pub fn site(&self) -> &SiteSettings {
        &self.site
    }

    /// Takes other settings of the site, for attempts and probes from now on.
    pub fn set_site(&mut self, site: Rc<SiteSettings>) {
        self.site = site;
    }

    /// Sets whether the endpoint list is known to be current, for attempts that wait for their connections, too.
    pub fn set_list_confirmed(&self, is_confirmed: bool) {
        self.is_list_confirmed.set(is_confirmed);
    }

    /// The clock of the dispatcher's turns.
    pub fn turn_clock(&self) -> &TurnClock {
        &self.turn_clock
    }

    /// What follows all streams.
    pub fn stream_monitor(&self) -> &StreamMonitor {
        &self.stream_monitor
    }

    /// How many connections to replicas are open now.
    pub fn open_connection_count(&self) -> usize {
        self.pool.open_count()
    }

    /// How many attempts have been written completely since the start.
    pub fn sent_count(&self) -> u64 {
        self.sent_count.get()
    }

    /// Attempts that were written completely and went to another zone.
    pub fn cross_zone_traffic(&self) -> Ref<'_, CrossZoneTraffic> {
        self.cross_zone_traffic.borrow()
    }

    /// Makes one attempt, tells the dispatcher how it ended, and releases the connection where it can be used again.
    pub async fn run_attempt(self, attempt_request: AttemptRequest) {
        let AttemptRequest {
            request,
            attempt,
            address,
            ..
        } = attempt_request;
        let end = self.send_and_forward(attempt_request).await;
        let message = DispatcherMessage::AttemptEnded {
            request,
            attempt,
            outcome: end.outcome,
            report: end.report,
        };
        // The channel is closed only once the node has ended, and then nobody counts attempts.
        let _ = self.dispatcher.send(message).await;
        if let Some(connection) = end.connection {
            self.drain_and_release(address, connection).await;
        }
    }

    /// Reads a response to its end, whatever it holds, and releases its connection.
    async fn drain_and_release(&self, address: ReplicaAddress, mut connection: ReplicaConnection) {
        let drained = tokio::time::timeout(DRAIN_TIMEOUT, read_to_end(&mut connection)).await;
        if drained == Ok(true) {
            self.pool
                .release(address, connection, self.limits.reuse_delay);
        }
    }

    /// Sends the request and passes the response on until it ends.
    async fn send_and_forward(&self, attempt: AttemptRequest) -> AttemptEnd {
        let mut connection = match self.pool.acquire(attempt.address).await {
            Ok(connection) => connection,
            Err(ConnectError::Unreachable) => {
                return AttemptEnd::without_connection(AttemptOutcome::ConnectFailed);
            }
            // It is not the replica's fault: nothing may be held against it.
            Err(ConnectError::Exhausted) => {
                return AttemptEnd::without_connection(AttemptOutcome::NotSent);
            }
        };
        // The connection may have come up late: what the attempt was placed by is looked at again now.
        let now = self.clock.now();
        let time_left = attempt.deadline.saturating_sub(now);
        if time_left == 0 || self.is_outdated(&attempt, now) {
            self.pool
                .release(attempt.address, connection, Duration::ZERO);
            return AttemptEnd::without_connection(AttemptOutcome::NotSent);
        }
        // Nothing is awaited between this and the first write.
        attempt.has_begun.set(true);
        let head = request::attempt_head(&attempt.payload.head, time_left);
        let body = attempt.payload.body.clone();
        if write_request(&mut connection, head, body).await.is_err() {
            // Before its last byte is written a request can't have run.
            return AttemptEnd::without_connection(AttemptOutcome::ConnectFailed);
        }
        self.count_sent(attempt.cross_zone_group);
        self.forward_response(&attempt, connection).await
    }

    /// Whether an attempt may no longer begin: its replica may drain by now, and the node has not been told.
    fn is_outdated(&self, attempt: &AttemptRequest, now: MonotonicMicros) -> bool {
        let is_late = attempt.begin_by.is_some_and(|begin_by| now > begin_by);
        let is_doubtful = is_late && !self.is_list_confirmed.get();
        is_doubtful || self.turn_clock.was_suspended(now)
    }

    fn count_sent(&self, cross_zone_group: Option<RequestGroup>) {
        self.sent_count.set(self.sent_count.get() + 1);
        if let Some(group) = cross_zone_group {
            let unix_us = self.clock.reading().unix_us;
            self.cross_zone_traffic.borrow_mut().record(unix_us, group);
        }
    }

    /// Reads the response part by part and passes it on.
    async fn forward_response(
        &self,
        attempt: &AttemptRequest,
        mut connection: ReplicaConnection,
    ) -> AttemptEnd {
        let mut forwarder = ResponseForwarder::new(self, attempt);
        let mut steps = Vec::new();
        loop {
            match forwarder.read(&mut connection).await {
                ReplicaInput::Part(part) => forwarder.take_part(part, &mut steps),
                ReplicaInput::Broken => forwarder.answer.on_connection_lost(&mut steps),
                // A replica that has vanished leaves its connections open and quiet: its client must not be left waiting.
                ReplicaInput::Stalled { silence_us } => {
                    if let Some(stream) = &forwarder.stream {
                        stream.abandon(silence_us);
                    }
                    return AttemptEnd::without_connection(AttemptOutcome::TimedOut);
                }
            }
            for step in steps.drain(..) {
                match step {
                    ResponseStep::Started(content_type) => {
                        forwarder.start_stream(content_type).await;
                    }
                    ResponseStep::Forward(bytes) => forwarder.pass_on(bytes).await,
                    ResponseStep::Ended(outcome, report) => {
                        let can_reuse = forwarder.finish(outcome).await;
                        return AttemptEnd {
                            outcome,
                            report,
                            connection: Some(connection).filter(|_| can_reuse),
                        };
                    }
                }
            }
        }
    }
}

/// What a replica's connection gives next.
enum ReplicaInput {
    /// A part of the response.
    Part(MessagePart),
    /// The connection has ended or failed, or its bytes can't be read.
    Broken,
    /// Nothing has come for longer than a stream of this replica may be silent.
    Stalled { silence_us: DurationMicros },
}

/// Passes the response of one attempt on to the client.
struct ResponseForwarder<'a> {
    client: &'a ReplicaClient,
    attempt: &'a AttemptRequest,
    answer: ResponseReader,
    /// Whether the replica keeps the connection open after the response.
    keeps_connection: bool,
    /// Where chunks go, once the first token has come.
    chunks: Option<mpsc::Sender<StreamChunk>>,
    /// The stream as the monitor follows it, once the first token has come.
    stream: Option<MonitoredStream>,
}

impl<'a> ResponseForwarder<'a> {
    fn new(client: &'a ReplicaClient, attempt: &'a AttemptRequest) -> Self {
        ResponseForwarder {
            client,
            attempt,
            answer: ResponseReader::new(client.site.clone()),
            keeps_connection: false,
            chunks: None,
            stream: None,
        }
    }

    /// Reads what comes next, for as long as the stream may be silent. Cancel-safe: the codec keeps what it has read.
    async fn read(&self, connection: &mut ReplicaConnection) -> ReplicaInput {
        let next = connection.http_mut().next();
        let silence_limit = self
            .stream
            .as_ref()
            .and_then(MonitoredStream::time_to_stall);
        let part = match silence_limit {
            None => next.await,
            Some(silence_us) => {
                let limit = Duration::from_micros(silence_us);
                match tokio::time::timeout(limit, next).await {
                    Ok(part) => part,
                    Err(_) => return ReplicaInput::Stalled { silence_us },
                }
            }
        };
        match part {
            Some(Ok(part)) => ReplicaInput::Part(part),
            Some(Err(_)) | None => ReplicaInput::Broken,
        }
    }

    /// Notes a part of the response and appends what follows from it.
    fn take_part(&mut self, part: MessagePart, steps: &mut Vec<ResponseStep>) {
        if let Some(stream) = &self.stream {
            stream.record_event();
        }
        if let MessagePart::Head(head) = &part {
            self.keeps_connection = head.keeps_connection;
            let AttemptRequest {
                request, attempt, ..
            } = self.attempt;
            let from = self.attempt.address.addr;
            tracing::debug!(%request, attempt, %from, start = ?head.start_line, "answer begins");
        }
        self.answer.feed(part, steps);
    }

    /// Offers the stream to the dispatcher: its first token has come.
    async fn start_stream(&mut self, content_type: String) {
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
        // The channel is closed only once the node has ended, and then nobody waits for the stream.
        let _ = self.client.dispatcher.send(started).await;
    }

    /// Passes bytes on. Where the client does not keep up, the silence that follows is not the replica's.
    async fn pass_on(&self, bytes: Bytes) {
        let Some(chunks) = &self.chunks else {
            return;
        };
        if let Err(TrySendError::Full(chunk)) = chunks.try_send(StreamChunk::Bytes(bytes)) {
            if let Some(stream) = &self.stream {
                stream.client_blocked();
            }
            // A client that has disconnected takes nothing more; the dispatcher aborts this attempt.
            let _ = chunks.send(chunk).await;
            if let Some(stream) = &self.stream {
                stream.client_resumed();
            }
        }
    }

    /// Ends the stream as the attempt has ended, and tells whether the connection can be used again.
    async fn finish(&self, outcome: AttemptOutcome) -> bool {
        let is_complete = outcome == AttemptOutcome::Completed;
        let is_broken = outcome == AttemptOutcome::ConnectionReset;
        if let (Some(chunks), true) = (&self.chunks, is_complete) {
            // A client that has disconnected does not need the end.
            let _ = chunks.send(StreamChunk::End).await;
        }
        if let Some(stream) = &self.stream {
            if is_complete || is_broken {
                stream.end(is_complete);
            }
        }
        self.keeps_connection && !is_broken
    }
}

/// Reads a response to its end; false where the connection ends before.
async fn read_to_end(connection: &mut ReplicaConnection) -> bool {
    while !connection.http().codec().is_between_messages() {
        let Some(Ok(_)) = connection.http_mut().next().await else {
            return false;
        };
    }
    true
}

/// Writes a request. An error means that its last byte was not written.
pub(super) async fn write_request(
    connection: &mut ReplicaConnection,
    head: Bytes,
    mut body: Bytes,
) -> Result<(), HttpParseError> {
    let http = connection.http_mut();
    http.feed(EncodedMessage::Raw(head)).await?;
    while body.has_remaining() {
        let piece = body.split_to(body.len().min(WRITE_SIZE_BYTES));
        http.feed(EncodedMessage::Raw(piece)).await?;
    }
    http.flush().await
}
