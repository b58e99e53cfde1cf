//! One attempt at a replica, and probes. Dropping the task closes the connection: that is how an attempt is
//! abandoned, and why nothing of it can be used again.

#![expect(
    clippy::min_ident_chars,
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use super::clock::Clock;
use super::messages::{DispatcherMessage, RequestPayload, StartedStream, StreamChunk};
use super::pool::{Conn, NoConn, Peer, Pool};
use super::streams::{Live, Streams};
use super::Bounds;
use crate::protocol::answer::{ResponseReader, ResponseStep};
use crate::protocol::http::{EncodedMessage, MessagePart, StartLine};
use crate::protocol::report::{parse_load_report, probe_outcome};
use crate::protocol::request;
use crate::routing::cross_zone::{CrossZoneTraffic, RequestGroup};
use crate::routing::DurationMicros;
use bytes::{Buf, Bytes};
use futures_util::{SinkExt, StreamExt};
use poppykeel_scheduler::{AttemptOutcome, LoadReport, ReplicaId, RequestId};
use poppykeel_site_settings::SiteSettings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, error::TrySendError};

/// A request goes out in pieces of this size, so that no buffer grows with the body.
const PIECE: usize = 16 * 1024;
/// Pieces of an answer that wait for a slow client; then the replica is no longer read.
const PIECES: usize = 4;
/// An answer that was counted already is read to its end for so long, to use its connection again.
const DRAIN: Duration = Duration::from_millis(500);

/// What every driver of replica connections shares.
#[derive(Clone)]
pub struct Upstream {
    /// The connections.
    pub pool: Pool,
    /// To the core.
    pub tell: mpsc::Sender<DispatcherMessage>,
    /// The settings.
    pub boot: Rc<SiteSettings>,
    /// The figures.
    pub bounds: Rc<Bounds>,
    /// What all streams share.
    pub streams: Rc<Streams>,
    /// Attempts written whole.
    pub written: Rc<Cell<u64>>,
    /// Of these the ones that went to another zone.
    pub cross_zone_traffic: Rc<RefCell<CrossZoneTraffic>>,
    /// What tells their minutes.
    pub clock: Clock,
}

/// One attempt.
pub struct AttemptRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: usize,
    /// The replica and where it listens.
    pub peer: Peer,
    /// How long the node will wait.
    pub timeout: DurationMicros,
    /// The class's wish for the time between tokens, in microseconds.
    pub inter_token_objective: Option<DurationMicros>,
    /// Its class and tenant, where the replica is in another zone.
    pub cross_zone_group: Option<RequestGroup>,
    /// What is sent.
    pub payload: Rc<RequestPayload>,
    /// Set when the first byte is about to be written; until then it can be called back as if never sent.
    pub has_begun: Rc<Cell<bool>>,
}

impl Upstream {
    /// Drives one attempt to its end and tells the core how it ended.
    pub async fn attempt(self, job: AttemptRequest) {
        let (request, attempt, peer) = (job.request, job.attempt, job.peer);
        let (outcome, report, conn) = self.exchange(job).await;
        let _ = self
            .tell
            .send(DispatcherMessage::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
            })
            .await;
        let Some(mut conn) = conn else { return };
        let rest = async {
            while !conn.wire.codec().is_between_messages() {
                match conn.wire.next().await {
                    Some(Ok(_)) => {}
                    _ => return false,
                }
            }
            true
        };
        if tokio::time::timeout(DRAIN, rest).await == Ok(true) {
            self.pool.put(peer, conn, self.bounds.rest);
        }
    }

    async fn exchange(
        &self,
        job: AttemptRequest,
    ) -> (AttemptOutcome, Option<LoadReport>, Option<Conn>) {
        let mut conn = match self.pool.get(job.peer).await {
            Ok(conn) => conn,
            Err(NoConn::Failed) => return (AttemptOutcome::ConnectFailed, None, None),
            // Not the replica's fault: nothing may be held against it.
            Err(NoConn::Exhausted) => return (AttemptOutcome::NotSent, None, None),
        };
        // Nothing is awaited between this and the first write.
        job.has_begun.set(true);
        let head = request::attempt_head(&job.payload.head, job.timeout);
        if write(&mut conn, head, job.payload.body.clone())
            .await
            .is_err()
        {
            // Before its last byte is written a request can't have run.
            return (AttemptOutcome::ConnectFailed, None, None);
        }
        self.written.set(self.written.get() + 1);
        if let Some(group) = job.cross_zone_group {
            self.cross_zone_traffic
                .borrow_mut()
                .record(self.clock.reading().unix_us, group);
        }
        let mut answer = ResponseReader::new(self.boot.clone());
        let mut steps = Vec::new();
        let mut keep = false;
        let mut to_client = None;
        let mut live: Option<Live> = None;
        loop {
            let next = conn.wire.next();
            let silence = live.as_ref().and_then(Live::patience);
            let part = match silence {
                Some(silence) => {
                    match tokio::time::timeout(Duration::from_micros(silence), next).await {
                        Ok(part) => part,
                        // A replica that vanished leaves its connections open and quiet: its client must
                        // not be left waiting with it.
                        Err(_) => {
                            live.iter().for_each(|l| l.gave_up(silence));
                            return (AttemptOutcome::TimedOut, None, None);
                        }
                    }
                }
                None => next.await,
            };
            match part {
                Some(Ok(part)) => {
                    live.iter().for_each(Live::event);
                    if let MessagePart::Head(head) = &part {
                        keep = head.keeps_connection;
                        let (request, attempt, from) = (job.request, job.attempt, job.peer.1);
                        tracing::debug!(%request, attempt, %from, start = ?head.start_line, "answer begins");
                    }
                    answer.feed(part, &mut steps);
                }
                Some(Err(_)) | None => answer.connection_lost(&mut steps),
            }
            for step in steps.drain(..) {
                match step {
                    ResponseStep::Started(content_type) => {
                        let (sender, body) = mpsc::channel(PIECES);
                        to_client = Some(sender);
                        let (request, attempt) = (job.request, job.attempt);
                        let replica = job.peer.0;
                        live = Some(self.streams.begin(replica, job.inter_token_objective));
                        let first = DispatcherMessage::StreamStarted(StartedStream {
                            request,
                            attempt,
                            content_type,
                            replica,
                            chunks: body,
                        });
                        let _ = self.tell.send(first).await;
                    }
                    ResponseStep::Forward(bytes) => {
                        let Some(sender) = &to_client else { continue };
                        if let Err(TrySendError::Full(piece)) =
                            sender.try_send(StreamChunk::Bytes(bytes))
                        {
                            // The reader does not keep up: the silence that follows is not the replica's.
                            live.iter().for_each(Live::reader_waits);
                            let _ = sender.send(piece).await;
                            live.iter().for_each(Live::reader_took);
                        }
                    }
                    ResponseStep::Ended(outcome, report) => {
                        if let (Some(sender), AttemptOutcome::Completed) = (&to_client, outcome) {
                            let _ = sender.send(StreamChunk::End).await;
                        }
                        let broken = matches!(outcome, AttemptOutcome::ConnectionReset);
                        if broken || outcome == AttemptOutcome::Completed {
                            live.iter().for_each(|l| l.ended(!broken));
                        }
                        return (outcome, report, Some(conn).filter(|_| keep && !broken));
                    }
                }
            }
        }
    }

    /// Asks a replica for its load, or for its health where there are no reports.
    pub async fn probe(self, replica: ReplicaId, addr: Option<SocketAddr>) {
        let (outcome, report) = match addr {
            None => (AttemptOutcome::ConnectFailed, None),
            Some(addr) => tokio::time::timeout(self.bounds.probe, self.ask((replica, addr)))
                .await
                .unwrap_or((AttemptOutcome::TimedOut, None)),
        };
        let _ = self
            .tell
            .send(DispatcherMessage::ProbeEnded {
                replica,
                outcome,
                report,
            })
            .await;
    }

    async fn ask(&self, peer: Peer) -> (AttemptOutcome, Option<LoadReport>) {
        let Ok(mut conn) = self.pool.get(peer).await else {
            return (AttemptOutcome::ConnectFailed, None);
        };
        let target = if self.boot.names.report_fields.is_empty() {
            "/healthz"
        } else {
            "/load"
        };
        if write(
            &mut conn,
            request::get_request(target, &peer.1.to_string()),
            Bytes::new(),
        )
        .await
        .is_err()
        {
            return (AttemptOutcome::ConnectFailed, None);
        }
        let (mut status, mut keep, mut body) = (0, false, Vec::new());
        loop {
            match conn.wire.next().await {
                Some(Ok(MessagePart::Head(head))) => {
                    keep = head.keeps_connection;
                    status = if let StartLine::Status(status) = head.start_line {
                        status
                    } else {
                        0
                    };
                }
                Some(Ok(MessagePart::Body(bytes))) if body.len() < PIECE => {
                    body.extend_from_slice(&bytes);
                }
                Some(Ok(MessagePart::Body(_))) => return (AttemptOutcome::ServerError, None),
                Some(Ok(MessagePart::End)) => break,
                _ => return (AttemptOutcome::ConnectionReset, None),
            }
        }
        if keep {
            self.pool.put(peer, conn, Duration::ZERO);
        }
        let load = std::str::from_utf8(&body)
            .ok()
            .and_then(|text| parse_load_report(text, &self.boot));
        (probe_outcome(status), load)
    }
}

/// Writes a request; an error means that its last byte was not written.
async fn write(
    conn: &mut Conn,
    head: Bytes,
    mut body: Bytes,
) -> Result<(), crate::protocol::http::HttpParseError> {
    conn.wire.feed(EncodedMessage::Raw(head)).await?;
    while body.has_remaining() {
        conn.wire
            .feed(EncodedMessage::Raw(body.split_to(body.len().min(PIECE))))
            .await?;
    }
    conn.wire.flush().await
}
