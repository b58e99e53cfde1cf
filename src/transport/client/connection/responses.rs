//! Writes to a client: responses of the node's own, and rejections after which the connection closes.

use super::{log_lifecycle, ClientConnection, CloseReason, ConnectionClosed};
use crate::protocol::http::{EncodedMessage, HttpParseError};
use crate::protocol::request::{self, RequestError};
use crate::routing::DurationMicros;
use futures_util::SinkExt;
use std::future::Future;
use std::time::Duration;

/// A response of the node's own.
pub(super) struct OwnResponse<'a> {
    pub(super) status: u16,
    /// What the body says.
    pub(super) text: &'a str,
    /// When the client may try again.
    pub(super) retry_after: Option<DurationMicros>,
    /// Whether the connection closes afterwards.
    pub(super) is_last: bool,
}

impl ClientConnection {
    /// Sends a response of the node's own, after which the connection may stay.
    pub(super) async fn respond(
        &mut self,
        response: OwnResponse<'_>,
    ) -> Result<(), ConnectionClosed> {
        let OwnResponse {
            status,
            text,
            retry_after,
            is_last,
        } = response;
        let bytes = request::local_response(status, text, retry_after, is_last);
        self.send(EncodedMessage::Raw(bytes)).await?;
        if is_last {
            Err(ConnectionClosed(CloseReason::LastResponse))
        } else {
            Ok(())
        }
    }

    /// Rejects a request that can't be read, where there is still a client to tell.
    pub(super) async fn reject_unreadable(&mut self, fault: &HttpParseError) -> ConnectionClosed {
        let status = match fault {
            HttpParseError::Malformed(_) => 400,
            HttpParseError::HeadTooLong => 431,
            HttpParseError::ReadTimeout => 408,
            HttpParseError::UnsupportedVersion => 505,
            HttpParseError::ShuttingDown => return self.reject_late().await,
            HttpParseError::UnexpectedEof | HttpParseError::Io(_) => {
                return ConnectionClosed(CloseReason::ClientDisconnected)
            }
        };
        let reject = RequestError {
            status,
            reason: fault.to_string(),
        };
        self.reject(&reject, None).await
    }

    /// Rejects a request that comes too late in a shutdown to be answered. It has run nowhere, and other nodes can take it at
    /// once.
    pub(super) async fn reject_late(&mut self) -> ConnectionClosed {
        let reject = RequestError {
            status: 503,
            reason: "this node shuts down".into(),
        };
        self.reject(&reject, Some(0)).await
    }

    /// Rejects a request with the last response on this connection.
    pub(super) async fn reject(
        &mut self,
        reject: &RequestError,
        retry_after: Option<DurationMicros>,
    ) -> ConnectionClosed {
        log_lifecycle!(
            self,
            status = reject.status,
            why = reject.reason,
            "request turned down"
        );
        let response = request::local_response(reject.status, &reject.reason, retry_after, true);
        match self.send(EncodedMessage::Raw(response)).await {
            Ok(()) => ConnectionClosed(CloseReason::RequestRejected),
            Err(closed) => closed,
        }
    }

    /// Writes and flushes.
    pub(super) async fn send(&mut self, message: EncodedMessage) -> Result<(), ConnectionClosed> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Writes to the buffer, which is flushed first where it is full. A client that takes nothing any more must not hold a
    /// replica's stream for ever, so this and flushing have a time limit.
    pub(super) async fn feed(&mut self, message: EncodedMessage) -> Result<(), ConnectionClosed> {
        let limit = self.registry.limits().client_write_timeout;
        written_in_time(limit, self.http.feed(message)).await
    }

    /// Flushes the buffer to the client.
    pub(super) async fn flush(&mut self) -> Result<(), ConnectionClosed> {
        let limit = self.registry.limits().client_write_timeout;
        written_in_time(limit, self.http.flush()).await
    }
}

/// Waits until the client has taken what is written, for as long as it may take. Dropping the future keeps what has not been
/// written in the codec's buffer.
async fn written_in_time(
    limit: Duration,
    write: impl Future<Output = Result<(), HttpParseError>>,
) -> Result<(), ConnectionClosed> {
    match tokio::time::timeout(limit, write).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(ConnectionClosed(CloseReason::ClientDisconnected)),
        Err(_) => Err(ConnectionClosed(CloseReason::ClientStalled)),
    }
}
