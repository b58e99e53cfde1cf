//! Attempts: one request sent to one replica, and its response forwarded to the client.
//!
//! The dispatcher starts a task with [`ReplicaClient::run_attempt`] for each attempt. The task owns the connection. An
//! attempt is abandoned by aborting its task: that resets the connection at any stage of the attempt, so that no late byte
//! of it can reach another request.
//!
//! Invariants:
//! - Nothing is awaited between setting [`AttemptRequest::has_begun`] and the first write.
//! - An attempt whose last byte was not written can't have run, and is reported as a connect failure or as not sent.
//! - No byte of an attempt is written after [`AttemptRequest::write_by`], except for a stall of the process between reading
//!   its clock and writing. An attempt whose replica has not taken all bytes by then ends, which discards those that the
//!   kernel still holds.
//! - The outcome is reported to the dispatcher before the connection is released.

use super::connection::ReplicaConnection;
use super::pool::{ConnectError, ConnectionPool, ReplicaAddress};
use super::response_forwarder::{ReplicaInput, ResponseForwarder};
use super::stream_monitor::StreamMonitor;
use crate::protocol::event_stream::IncompleteStream;
use crate::protocol::http::{EncodedMessage, HttpParseError};
use crate::protocol::request;
use crate::protocol::response::ResponseStep;
use crate::routing::cross_zone::{CrossZoneTraffic, RequestGroup};
use crate::routing::{DurationMicros, MonotonicMicros};
use crate::transport::clock::Clock;
use crate::transport::messages::{DispatcherMessage, RequestPayload};
use crate::transport::strict_timeout::run_until;
use crate::transport::suspension_detector::SuspensionDetector;
use crate::transport::TransportLimits;
use bytes::{Buf, Bytes};
use futures_util::{SinkExt, StreamExt};
use poppykeel_scheduler::{AttemptOutcome, LoadReport, RequestId};
use poppykeel_site_settings::SiteSettings;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A request is written in pieces of at most this size, so that buffers do not grow with the body.
const WRITE_SIZE_BYTES: usize = 16 * 1024;
/// After an attempt has ended, the remainder of its response is read for up to this time, so that the connection can be
/// reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends attempts and probes to replicas. Clones share everything except the site settings: an attempt keeps those it began
/// with.
#[derive(Clone)]
pub struct ReplicaClient {
    pub(super) pool: ConnectionPool,
    pub(super) dispatcher: mpsc::Sender<DispatcherMessage>,
    pub(super) site: Rc<SiteSettings>,
    pub(super) limits: Rc<TransportLimits>,
    pub(super) stream_monitor: Rc<StreamMonitor>,
    /// Number of attempts since the start whose request has been written completely.
    sent_count: Rc<Cell<u64>>,
    /// Counts the attempts at replicas in another zone whose request has been written completely.
    cross_zone_traffic: Rc<RefCell<CrossZoneTraffic>>,
    /// Whether the endpoint list is known to be current.
    is_list_confirmed: Rc<Cell<bool>>,
    /// Detects a suspension that the dispatcher has not handled yet.
    suspension_detector: SuspensionDetector,
    pub(super) clock: Clock,
}

/// An attempt to be made.
pub struct AttemptRequest {
    /// Identifies the attempt, together with `attempt`.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: usize,
    /// The replica and the address where it listens.
    pub address: ReplicaAddress,
    /// When the replica was chosen.
    pub placed_at: MonotonicMicros,
    /// The node waits for the first token until this time. The remaining time is sent to the replica with the request.
    pub deadline: MonotonicMicros,
    /// The replica's machine must have taken the last byte of the request by this time, so that replicas recognise repeats of
    /// the request; `None` for no limit.
    pub write_by: Option<MonotonicMicros>,
    /// While the endpoint list is not known to be current, the request must not be written after this time; `None` for no
    /// limit.
    pub begin_by: Option<MonotonicMicros>,
    /// The class's objective for the time between two tokens, in microseconds; `None` if it has none.
    pub inter_token_objective: Option<DurationMicros>,
    /// The request's class and tenant if the replica is in another zone; otherwise `None`.
    pub cross_zone_group: Option<RequestGroup>,
    /// The request to send.
    pub payload: Rc<RequestPayload>,
    /// Set immediately before the first byte is written. Until then the attempt can be withdrawn as if it had never been
    /// sent.
    pub has_begun: Rc<Cell<bool>>,
}

struct AttemptResult {
    outcome: AttemptOutcome,
    report: Option<LoadReport>,
    /// The connection if it can be reused once the remainder of the response has been read.
    connection: Option<ReplicaConnection>,
}

impl AttemptResult {
    /// The result of an attempt without a reusable connection.
    fn without_connection(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult {
            outcome,
            report: None,
            connection: None,
        }
    }
}

impl ReplicaClient {
    /// Creates a client that reports the outcomes of attempts and probes to `dispatcher`.
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
            suspension_detector: SuspensionDetector::default(),
            clock,
        }
    }

    /// The site settings for new attempts and probes.
    pub fn site(&self) -> &SiteSettings {
        &self.site
    }

    /// Replaces the site settings for attempts and probes that start from now on.
    pub fn set_site(&mut self, site: Rc<SiteSettings>) {
        self.site = site;
    }

    /// Sets whether the endpoint list is known to be current. This also applies to attempts that wait for their connections.
    pub fn set_list_confirmed(&self, is_confirmed: bool) {
        self.is_list_confirmed.set(is_confirmed);
    }

    /// The detector that records the iterations of the dispatcher's event loop.
    pub fn suspension_detector(&self) -> &SuspensionDetector {
        &self.suspension_detector
    }

    /// The monitor of all streams.
    pub fn stream_monitor(&self) -> &StreamMonitor {
        &self.stream_monitor
    }

    /// Number of open connections to replicas, in use or idle.
    pub fn open_connection_count(&self) -> usize {
        self.pool.open_count()
    }

    /// Number of attempts since the start whose request has been written completely.
    pub fn sent_count(&self) -> u64 {
        self.sent_count.get()
    }

    /// Counts of the attempts at replicas in another zone whose request has been written completely.
    pub fn cross_zone_traffic(&self) -> Ref<'_, CrossZoneTraffic> {
        self.cross_zone_traffic.borrow()
    }

    /// Makes one attempt, reports its outcome to the dispatcher, and releases the connection if it can be reused.
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
        // The channel is closed only after the node has ended; the outcome is then not needed.
        let _ = self.dispatcher.send(message).await;
        if let Some(connection) = end.connection {
            self.drain_and_release(address, connection).await;
        }
    }

    /// Reads and discards the remainder of a response and releases its connection.
    async fn drain_and_release(&self, address: ReplicaAddress, mut connection: ReplicaConnection) {
        let drained = tokio::time::timeout(DRAIN_TIMEOUT, read_to_end(&mut connection)).await;
        if drained == Ok(true) {
            self.pool
                .release(address, connection, self.limits.reuse_delay);
        }
    }

    /// Sends the request and forwards the response until it ends.
    async fn send_and_forward(&self, attempt: AttemptRequest) -> AttemptResult {
        match self.send_in_time(&attempt).await {
            Ok(connection) => self.forward_response(&attempt, connection).await,
            Err(outcome) => AttemptResult::without_connection(outcome),
        }
    }

    /// Sends the request, unless that takes longer than allowed. The error is the outcome of an attempt that can't have run.
    async fn send_in_time(
        &self,
        attempt: &AttemptRequest,
    ) -> Result<ReplicaConnection, AttemptOutcome> {
        let Some(write_by) = attempt.write_by else {
            return self.send(attempt).await;
        };
        let sent = run_until(self.clock, write_by, self.send(attempt)).await;
        sent.unwrap_or_else(|| {
            log_write_deadline(attempt);
            Err(AttemptOutcome::NotSent)
        })
    }

    /// Acquires a connection and writes the request. The error is the outcome of an attempt that can't have run.
    async fn send(&self, attempt: &AttemptRequest) -> Result<ReplicaConnection, AttemptOutcome> {
        let mut connection = match self.pool.acquire(attempt.address).await {
            Ok(connection) => connection,
            Err(ConnectError::Unreachable) => return Err(AttemptOutcome::ConnectFailed),
            // A local failure must not count against the replica.
            Err(ConnectError::Exhausted) => return Err(AttemptOutcome::NotSent),
        };
        // Establishing the connection may have taken long, so the conditions for the attempt are checked again.
        let now = self.clock.now();
        let time_left = attempt.deadline.saturating_sub(now);
        if time_left == 0 || self.is_outdated(attempt, now) {
            self.pool
                .release(attempt.address, connection, Duration::ZERO);
            return Err(AttemptOutcome::NotSent);
        }
        // Nothing may be awaited between this and the first write.
        attempt.has_begun.set(true);
        let head = request::attempt_head(&attempt.payload.head, time_left);
        let body = attempt.payload.body.clone();
        if write_request(&mut connection, head, body).await.is_err() {
            // A request can't have run before its last byte is written.
            return Err(AttemptOutcome::ConnectFailed);
        }
        self.count_sent(attempt.cross_zone_group);
        self.log_written(attempt);
        Ok(connection)
    }

    /// Whether an attempt may no longer begin: its replica may be draining, and the node may not have been notified yet; or the
    /// process was suspended after it was placed, and its client may have left.
    fn is_outdated(&self, attempt: &AttemptRequest, now: MonotonicMicros) -> bool {
        let is_late = attempt.begin_by.is_some_and(|begin_by| now > begin_by);
        let is_list_stale = is_late && !self.is_list_confirmed.get();
        let detector = &self.suspension_detector;
        is_list_stale || detector.was_suspended_after(attempt.placed_at, now)
    }

    /// Logs that a request has been written, and how long that took since the choice of the replica.
    fn log_written(&self, attempt: &AttemptRequest) {
        let since_placement_us = self.clock.now().saturating_sub(attempt.placed_at);
        let AttemptRequest {
            request, address, ..
        } = attempt;
        let (attempt, to) = (attempt.attempt, address.addr);
        tracing::debug!(%request, attempt, %to, since_placement_us, "request written");
    }

    fn count_sent(&self, cross_zone_group: Option<RequestGroup>) {
        self.sent_count.set(self.sent_count.get() + 1);
        if let Some(group) = cross_zone_group {
            let unix_us = self.clock.reading().unix_us;
            self.cross_zone_traffic.borrow_mut().record(unix_us, group);
        }
    }

    /// Reads the response part by part and forwards it.
    async fn forward_response(
        &self,
        attempt: &AttemptRequest,
        mut connection: ReplicaConnection,
    ) -> AttemptResult {
        let mut forwarder = ResponseForwarder::new(self, attempt);
        let mut steps = Vec::new();
        loop {
            match forwarder.read(&mut connection).await {
                ReplicaInput::Part(part) => forwarder.handle_part(part, &mut steps),
                ReplicaInput::Broken => forwarder.reader.on_connection_lost(&mut steps),
                // An unreachable replica leaves its connections open; the client must not be left waiting.
                ReplicaInput::Stalled(cause) => {
                    forwarder.abandon(cause);
                    return AttemptResult::without_connection(AttemptOutcome::TimedOut);
                }
                ReplicaInput::NotDelivered(outcome) => {
                    log_write_deadline(attempt);
                    return AttemptResult::without_connection(outcome);
                }
            }
            for step in steps.drain(..) {
                match step {
                    ResponseStep::Started(content_type) => {
                        forwarder.start_stream(content_type).await;
                    }
                    ResponseStep::Forward(bytes) => forwarder.forward(bytes).await,
                    ResponseStep::Incomplete(why) => log_incomplete_stream(attempt, why),
                    ResponseStep::Ended(outcome, report) => {
                        let has_ended = connection.http().codec().is_between_messages();
                        let can_reuse = forwarder.finish(outcome, has_ended).await;
                        return AttemptResult {
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

/// Logs that a replica has ended its response in good form, but not its stream.
fn log_incomplete_stream(attempt: &AttemptRequest, why: IncompleteStream) {
    let AttemptRequest { request, .. } = attempt;
    let (attempt, from) = (attempt.attempt, attempt.address.addr);
    tracing::info!(%request, attempt, %from, %why, "replica ended an incomplete stream");
}

/// Logs that an attempt ends at its write deadline.
fn log_write_deadline(attempt: &AttemptRequest) {
    let AttemptRequest { request, .. } = attempt;
    let (attempt, to) = (attempt.attempt, attempt.address.addr);
    tracing::info!(%request, attempt, %to, "withdrew unsent attempt: replicas may no longer recognise a repeat");
}

/// Reads a response to its end. Returns false if the connection ends first.
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
