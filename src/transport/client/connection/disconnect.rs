//! Detects that a client disconnects while its request is being served.

use super::{ClientConnection, CloseReason, ConnectionClosed};
use crate::protocol::http::HttpParseError;
use crate::transport::HttpConnection;
use futures_util::StreamExt;
use std::future::Future;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;

/// Maximum number of bytes of further requests buffered while a response is awaited.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes read at once.
const READ_BUFFER_BYTES: usize = 4096;
/// How often a close is checked for once [`MAX_READ_AHEAD_BYTES`] are buffered.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

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
                    () = wait_for_close(&mut self.http) => Err(ClientDisconnected),
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

/// Waits until a client has closed its connection, possibly after bytes sent ahead. These bytes are buffered, up to a limit.
/// Cancel-safe.
async fn wait_for_close(http: &mut HttpConnection) {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        if http.read_buffer().len() >= MAX_READ_AHEAD_BYTES {
            match http.get_ref().ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => {
                    tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
                }
                Ok(_) | Err(_) => return,
            }
        } else if http.get_ref().readable().await.is_err() {
            return;
        } else {
            match http.get_ref().try_read(&mut buffer) {
                Ok(0) => return,
                Ok(length) => http.read_buffer_mut().extend_from_slice(&buffer[..length]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
