//! Detects that a client disconnects while its request is being served.
//!
//! A close is behind all bytes that the client has sent before it, so it can be seen only by reading them. What a further
//! request may need is kept; of a client that sends more than that ahead, the rest is discarded, and its connection closes after
//! the current response.

use super::sent_ahead::SentAhead;
use super::{ClientConnection, CloseReason, ConnectionClosed};
use crate::protocol::http::HttpParseError;
use crate::transport::HttpConnection;
use futures_util::StreamExt;
use std::future::Future;
use std::io::ErrorKind;

/// Maximum number of bytes read at once.
const READ_BUFFER_BYTES: usize = 4096;
/// Other tasks run after this many reads.
const READS_PER_TURN: usize = 16;

/// The client has closed or broken its connection.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("the client has disconnected")]
pub(super) struct ClientDisconnected;

impl From<ClientDisconnected> for ConnectionClosed {
    fn from(_: ClientDisconnected) -> ConnectionClosed {
        ConnectionClosed(CloseReason::ClientDisconnected)
    }
}

impl ClientConnection {
    /// Waits for `operation` while the client stays connected. If both happen at once, the operation counts as completed.
    pub(super) async fn until_disconnected<T>(
        &mut self,
        operation: impl Future<Output = T>,
    ) -> Result<T, ClientDisconnected> {
        tokio::pin!(operation);
        loop {
            if self.read_ahead.is_some() {
                // The next request has been read and is pending; a disconnect must be detected nevertheless. The caller owns
                // the operation, which is dropped unfinished if the client disconnects first. Waiting for the close is
                // cancel-safe, since bytes read meanwhile are put into the codec's buffer at once.
                return tokio::select! {
                    biased;
                    output = &mut operation => Ok(output),
                    () = wait_for_close(&mut self.http, &mut self.sent_ahead) => Err(ClientDisconnected),
                };
            }
            // Reading is cancel-safe: the codec keeps what it has read. The operation is only borrowed: if `select!` ends
            // with a part of the next request instead, the operation continues in the next iteration.
            tokio::select! {
                biased;
                output = &mut operation => return Ok(output),
                read = self.http.next() => match read {
                    None | Some(Err(HttpParseError::UnexpectedEof | HttpParseError::Io(_))) => return Err(ClientDisconnected),
                    // An invalid request is rejected after the current request.
                    Some(part) => self.read_ahead = Some(part),
                },
            }
        }
    }
}

/// Waits until a client has closed its connection, possibly after bytes sent ahead, or has sent too much. Cancel-safe.
async fn wait_for_close(http: &mut HttpConnection, sent_ahead: &mut SentAhead) {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        for _ in 0..READS_PER_TURN {
            if http.get_ref().readable().await.is_err() {
                return;
            }
            match http.get_ref().try_read(&mut buffer) {
                Ok(0) => return,
                Ok(length) if sent_ahead.try_keep(length, http.read_buffer().len()) => {
                    http.read_buffer_mut().extend_from_slice(&buffer[..length]);
                }
                Ok(length) => sent_ahead.record_discarded(length),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        tokio::task::yield_now().await;
        if sent_ahead.is_endless() {
            return;
        }
    }
}
