//! Reads requests off a client's connection: heads, bodies, and when neither comes any more.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use super::{Client, Leave};
use crate::protocol::http::{EncodedMessage, Head, HttpParseError, MessagePart};
use crate::protocol::request::{RequestError, MAX_BODY_BYTES};
use crate::transport::clients::Hold;
use crate::transport::closes::CloseReason;
use crate::transport::node_phase::NodePhase;
use crate::transport::shutdown::LAST_READ;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::Instant;

/// When a client may come again that found no room for its body.
const AGAIN_US: u64 = 500_000;

impl Client {
    /// The head of the next request on this connection.
    pub(super) async fn next_head(&mut self) -> Result<Box<Head>, Leave> {
        let next = match self.ahead.take() {
            Some(ahead) => {
                self.until = Instant::now() + self.shared.bounds.read;
                ahead
            }
            None => self.wait_for_request().await.map_err(Leave)?,
        };
        match next {
            Ok(MessagePart::Head(head)) => Ok(head),
            Ok(_) => Err(Leave(CloseReason::Rejected)),
            Err(fault) => Err(self.fault(fault).await),
        }
    }

    /// Waits for a request until the connection is to end, and says then why.
    async fn wait_for_request(
        &mut self,
    ) -> Result<Result<MessagePart, HttpParseError>, CloseReason> {
        let (mark, leave) = self.shared.rests();
        let (known, mut phase) = (self.requests > 0, self.shared.phase.clone());
        let closing = async {
            let closed = phase
                .wait_for(|p| matches!(p, NodePhase::Evacuated | NodePhase::Closing))
                .await;
            let reason = match closed.as_deref() {
                Ok(NodePhase::Evacuated) => CloseReason::Evacuated,
                _ => CloseReason::Shutdown,
            };
            drop(closed);
            if !known {
                // It has only just come: closed unheard, its request would have to be sent anew.
                tokio::time::sleep(LAST_READ).await;
            }
            reason
        };
        let next = tokio::select! {
            biased;
            next = self.rest() => next,
            reason = closing => Err(reason),
            // Another needs the place: it is not kept for a client that does not see the end.
            () = leave.notified() => Err(CloseReason::Evicted),
        };
        self.shared.busy(mark);
        match next {
            // Bytes have come in the very moment of the close: they are a request, to be read and answered.
            Err(reason) if reason != CloseReason::ClientLeft && self.begun() => self.rest().await,
            next => next,
        }
    }

    /// Waits for the next request's head, and says why where none comes: the client has left or has rested for too long.
    async fn rest(&mut self) -> Result<Result<MessagePart, HttpParseError>, CloseReason> {
        if self.requests > 0 {
            // A kept connection may rest; from the first byte on, the request has its limit.
            if self.wire.read_buffer().is_empty() {
                let peeked = self.wire.get_ref().peek();
                match tokio::time::timeout(self.shared.bounds.client_idle, peeked).await {
                    Ok(Ok(_)) => {}
                    Ok(Err(_)) => return Err(CloseReason::ClientLeft),
                    Err(_) if self.begun() => {}
                    Err(_) => return Err(CloseReason::Idle),
                }
            }
            self.until = Instant::now() + self.shared.bounds.read;
        }
        match self.next_part().await {
            Ok(next) => next.ok_or(CloseReason::ClientLeft),
            Err(_) if !self.begun() => Err(CloseReason::NeverAsked),
            Err(overdue) => Ok(Err(overdue)),
        }
    }

    /// The next part of a request on its way, nothing where the client has left, or why it is no longer waited for.
    async fn next_part(
        &mut self,
    ) -> Result<Option<Result<MessagePart, HttpParseError>>, HttpParseError> {
        let shared = self.shared.clone();
        tokio::select! {
            biased;
            part = self.wire.next() => Ok(part),
            () = tokio::time::sleep_until(self.until) => Err(HttpParseError::ReadTimeout),
            () = shared.reading_over() => Err(HttpParseError::ShuttingDown),
        }
    }

    /// Bytes of a request are here. The kernel is asked, too: the runtime may not have seen them yet.
    fn begun(&self) -> bool {
        !self.wire.read_buffer().is_empty() || matches!(self.wire.get_ref().unread(), Ok(1..))
    }

    /// Reads a body, within its own limit and that of all bodies together.
    #[allow(clippy::type_complexity)]
    pub(super) async fn read(
        &mut self,
        head: &Head,
        hold: &mut Hold,
    ) -> Result<Result<Bytes, (RequestError, Option<u64>)>, Leave> {
        let too_long = || RequestError {
            status: 413,
            reason: format!("the body is longer than {MAX_BODY_BYTES} bytes"),
        };
        let expected = head.body_length.unwrap_or(0);
        if expected > MAX_BODY_BYTES as u64 {
            return Ok(Err((too_long(), None)));
        }
        if head.headers.has_token("expect", "100-continue") {
            self.send(EncodedMessage::Raw(Bytes::from_static(
                b"HTTP/1.1 100 Continue\r\n\r\n",
            )))
            .await?;
        }
        let mut body = Vec::with_capacity(expected as usize);
        loop {
            let part = match self.next_part().await {
                Ok(Some(Ok(part))) => part,
                Ok(None) => return Err(Leave(CloseReason::ClientLeft)),
                Ok(Some(Err(fault))) | Err(fault) => return Err(self.fault(fault).await),
            };
            match part {
                MessagePart::Body(bytes) if body.len() + bytes.len() > MAX_BODY_BYTES => {
                    return Ok(Err((too_long(), None)));
                }
                MessagePart::Body(bytes) if hold.more(bytes.len()) => {
                    body.extend_from_slice(&bytes);
                }
                MessagePart::Body(_) => {
                    let reason = "this node holds as many requests as it may".to_string();
                    return Ok(Err((
                        RequestError {
                            status: 503,
                            reason,
                        },
                        Some(AGAIN_US),
                    )));
                }
                MessagePart::End => return Ok(Ok(body.into())),
                MessagePart::Head(_) => return Err(Leave(CloseReason::Rejected)),
            }
        }
    }
}
