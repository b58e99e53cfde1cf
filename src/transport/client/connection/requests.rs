//! Reads the heads and bodies of requests from a client connection, and decides when to stop waiting for a request.

use super::{ClientConnection, CloseReason, ConnectionClosed};
use crate::protocol::http::{EncodedMessage, Head, HttpParseError, MessagePart};
use crate::protocol::request::{RequestError, MAX_BODY_BYTES};
use crate::routing::DurationMicros;
use crate::transport::client::registry::{BodyMemoryPermit, IdleRegistration};
use crate::transport::client::shutdown::LAST_READ_DURATION;
use crate::transport::client::RETRY_AFTER_FULL;
use crate::transport::node_phase::NodePhase;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::sync::watch;
use tokio::time::Instant;

/// The interim response that allows a client to send its announced body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// An empty read buffer that is larger is freed.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

/// The result of waiting for a request.
enum RequestStart {
    /// The first part of the request.
    Part(MessagePart),
    /// The request is invalid, or its head is not complete in time.
    Invalid(HttpParseError),
    /// No request arrived, and the connection closes.
    Closed(CloseReason),
}

/// The result of reading the next part of a request.
enum PartRead {
    /// The part was read.
    Part(MessagePart),
    /// The bytes received are not valid.
    Invalid(HttpParseError),
    /// The client has disconnected.
    Disconnected,
    /// The part did not arrive in time; reading has stopped.
    TimedOut(HttpParseError),
}

/// Why a request's body was not read.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// The request must be rejected.
    #[error("the request is rejected with status {}", .reject.status)]
    Rejected {
        /// The status and reason of the rejection.
        reject: RequestError,
        /// Delay after which the client may retry, in microseconds; `None` if the response gives none.
        retry_after: Option<DurationMicros>,
    },
    /// The connection must close.
    #[error(transparent)]
    Closed(#[from] ConnectionClosed),
}

impl ClientConnection {
    /// Reads the head of the next request on this connection.
    pub(super) async fn next_head(&mut self) -> Result<Box<Head>, ConnectionClosed> {
        if self.http.read_buffer().is_empty() {
            self.free_read_buffer();
        }
        let start = match self.read_ahead.take() {
            Some(read) => {
                self.restart_read_deadline();
                match read {
                    Ok(part) => RequestStart::Part(part),
                    Err(fault) => RequestStart::Invalid(fault),
                }
            }
            None => self.wait_for_request().await,
        };
        match start {
            RequestStart::Part(MessagePart::Head(head)) => Ok(head),
            RequestStart::Part(MessagePart::Body(_) | MessagePart::End) => {
                Err(ConnectionClosed(CloseReason::RequestRejected))
            }
            RequestStart::Invalid(fault) => Err(self.reject_invalid(&fault).await),
            RequestStart::Closed(reason) => Err(ConnectionClosed(reason)),
        }
    }

    /// Frees the memory of bytes that were sent ahead and have been read.
    fn free_read_buffer(&mut self) {
        self.sent_ahead.release();
        if self.http.read_buffer().capacity() > MAX_IDLE_BUFFER_BYTES {
            *self.http.read_buffer_mut() = BytesMut::new();
        }
    }

    fn restart_read_deadline(&mut self) {
        self.read_deadline = Instant::now() + self.registry.limits().request_read_timeout;
    }

    /// Waits for a request for as long as the connection may stay open, registered as idle.
    async fn wait_for_request(&mut self) -> RequestStart {
        let IdleRegistration { number, eviction } = self.registry.register_idle();
        let has_sent_requests = self.request_count > 0;
        let closing = wait_for_idle_close(self.registry.phase(), has_sent_requests);
        // Reading has priority: a request that has arrived is served whatever other events there are. It is cancel-safe,
        // since the codec keeps what it has read. The other branches hold no data.
        let start = tokio::select! {
            biased;
            start = self.read_request_start() => start,
            reason = closing => RequestStart::Closed(reason),
            // The connection is dropped at once to make room: it is not kept open until the client closes its end.
            () = eviction.notified() => RequestStart::Closed(CloseReason::Evicted),
        };
        self.registry.unregister_idle(number);
        match start {
            // Bytes that arrived at the moment of the close are a request, which must be read and answered.
            RequestStart::Closed(reason)
                if reason != CloseReason::ClientDisconnected && self.has_request_bytes() =>
            {
                self.read_request_start().await
            }
            start => start,
        }
    }

    /// Reads the first part of the next request. After its first request, a connection may be idle; the read deadline then
    /// starts with the next request's first byte.
    async fn read_request_start(&mut self) -> RequestStart {
        if self.request_count > 0 {
            if self.http.read_buffer().is_empty() {
                let first_byte = self.http.get_ref().peek();
                let idle_timeout = self.registry.limits().client_idle_timeout;
                match tokio::time::timeout(idle_timeout, first_byte).await {
                    Ok(Ok(_)) => {}
                    Ok(Err(_)) => return RequestStart::Closed(CloseReason::ClientDisconnected),
                    Err(_) if self.has_request_bytes() => {}
                    Err(_) => return RequestStart::Closed(CloseReason::IdleTimeout),
                }
            }
            self.restart_read_deadline();
        }
        match self.read_part().await {
            PartRead::Part(part) => RequestStart::Part(part),
            PartRead::Invalid(fault) => RequestStart::Invalid(fault),
            PartRead::Disconnected => RequestStart::Closed(CloseReason::ClientDisconnected),
            PartRead::TimedOut(_) if !self.has_request_bytes() => {
                RequestStart::Closed(CloseReason::NoRequest)
            }
            PartRead::TimedOut(fault) => RequestStart::Invalid(fault),
        }
    }

    /// Reads the next part of a request, until the read deadline or until a shutdown ends reading.
    async fn read_part(&mut self) -> PartRead {
        let registry = self.registry.clone();
        // All branches are cancel-safe: the codec keeps what it has read, and the others hold no data. A part that has
        // arrived is used even if the deadline has passed.
        let read = tokio::select! {
            biased;
            read = self.http.next() => read,
            () = tokio::time::sleep_until(self.read_deadline) => {
                return PartRead::TimedOut(HttpParseError::ReadTimeout);
            }
            () = registry.wait_for_read_end() => return PartRead::TimedOut(HttpParseError::ShuttingDown),
        };
        match read {
            Some(Ok(part)) => PartRead::Part(part),
            Some(Err(fault)) => PartRead::Invalid(fault),
            None => PartRead::Disconnected,
        }
    }

    /// Whether bytes of a request have arrived. This also queries the kernel, since the runtime may not have seen them yet.
    fn has_request_bytes(&self) -> bool {
        !self.http.read_buffer().is_empty() || matches!(self.http.get_ref().unread(), Ok(1..))
    }

    /// Reads a body, within the limits of one body and of all bodies together.
    pub(super) async fn read_body(
        &mut self,
        head: &Head,
        memory: &mut BodyMemoryPermit,
    ) -> Result<Bytes, BodyError> {
        let expected_length = head.body_length.unwrap_or(0);
        if expected_length > MAX_BODY_BYTES as u64 {
            return Err(body_too_long());
        }
        if head.headers.has_token("expect", "100-continue") {
            self.send(EncodedMessage::Raw(Bytes::from_static(CONTINUE)))
                .await?;
        }
        let mut body = Vec::with_capacity(expected_length as usize);
        loop {
            let part = match self.read_part().await {
                PartRead::Part(part) => part,
                PartRead::Disconnected => {
                    return Err(ConnectionClosed(CloseReason::ClientDisconnected).into());
                }
                PartRead::Invalid(fault) | PartRead::TimedOut(fault) => {
                    return Err(self.reject_invalid(&fault).await.into());
                }
            };
            match part {
                MessagePart::Body(bytes) if body.len() + bytes.len() > MAX_BODY_BYTES => {
                    return Err(body_too_long());
                }
                MessagePart::Body(bytes) if memory.try_grow(bytes.len()) => {
                    body.extend_from_slice(&bytes);
                }
                MessagePart::Body(_) => return Err(body_memory_exhausted()),
                MessagePart::End => return Ok(body.into()),
                MessagePart::Head(_) => {
                    return Err(ConnectionClosed(CloseReason::RequestRejected).into())
                }
            }
        }
    }
}

/// Waits until idle connections must close, and returns the reason. Cancel-safe.
async fn wait_for_idle_close(
    mut phase: watch::Receiver<NodePhase>,
    has_sent_requests: bool,
) -> CloseReason {
    let closes_idle =
        |phase: &NodePhase| matches!(phase, NodePhase::Evacuated | NodePhase::Closing);
    let reason = match phase.wait_for(closes_idle).await.as_deref() {
        Ok(NodePhase::Evacuated) => CloseReason::Evacuated,
        Ok(_) | Err(_) => CloseReason::Shutdown,
    };
    if !has_sent_requests {
        // The connection may be new, with its first request on the way. Closing it now would force the client to send that
        // request again.
        tokio::time::sleep(LAST_READ_DURATION).await;
    }
    reason
}

fn body_too_long() -> BodyError {
    BodyError::Rejected {
        reject: RequestError {
            status: 413,
            reason: format!("the body is longer than {MAX_BODY_BYTES} bytes"),
        },
        retry_after: None,
    }
}

fn body_memory_exhausted() -> BodyError {
    BodyError::Rejected {
        reject: RequestError {
            status: 503,
            reason: "this node holds as many requests as it may".to_string(),
        },
        retry_after: Some(RETRY_AFTER_FULL),
    }
}
