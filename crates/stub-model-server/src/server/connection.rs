//! One connection of a stub server. Requests are handled one after the other, each according to its plan.

use super::request_head::RequestHead;
use super::state::{lock, ConnectionId, PreparedResponse, State};
use crate::response_plan::PlanStep;
use socket2::SockRef;
use std::io::Error;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Maximum length of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 512 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of queued pieces of unsolicited responses per connection. Further pieces are dropped.
const MAX_UNSOLICITED_PIECES: usize = 64;
const CHAT_PATH: &str = "/v1/chat/completions";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EMPTY_OBJECT_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const STATUS_OK: u16 = 200;

/// Whether a connection accepts further requests after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

/// A completely received request.
struct ReceivedRequest {
    id: String,
    path: String,
    body: Vec<u8>,
}

/// Removes a connection from the idle connections when it ends.
struct IdleRegistration<'a> {
    state: &'a Mutex<State>,
    id: ConnectionId,
}

impl Drop for IdleRegistration<'_> {
    fn drop(&mut self) {
        lock(self.state).set_busy(self.id);
    }
}

/// Serves a connection until either side closes it.
pub(super) async fn serve_connection(
    server: usize,
    mut stream: TcpStream,
    state: &Mutex<State>,
) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let mut buffered = Vec::new();
    let (unsolicited, mut unsolicited_pieces) = mpsc::channel(MAX_UNSOLICITED_PIECES);
    let id = lock(state).new_connection(server);
    let _registration = IdleRegistration { state, id };
    loop {
        lock(state).set_idle(id, unsolicited.clone());
        let request = read_request(&mut stream, &mut buffered, &mut unsolicited_pieces).await?;
        let Some(request) = request else {
            return Ok(());
        };
        lock(state).set_busy(id);
        if request.path != CHAT_PATH {
            stream.write_all(EMPTY_OBJECT_RESPONSE).await?;
            continue;
        }
        let response = lock(state).prepare_response(server, &request.id, &request.body);
        if send_response(&mut stream, response, state).await? == ConnectionState::Closed {
            return Ok(());
        }
    }
}

/// Reads a request. Unsolicited pieces that are queued meanwhile are written to the connection. `buffered` holds the
/// bytes received but not yet parsed. Returns `None` if the connection ends or the request is too long.
async fn read_request(
    stream: &mut TcpStream,
    buffered: &mut Vec<u8>,
    unsolicited_pieces: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<Option<ReceivedRequest>, Error> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if let Some(request) = take_request(buffered) {
            return Ok(Some(request));
        }
        if buffered.len() > MAX_REQUEST_BYTES {
            return Ok(None);
        }
        // Both branches are cancel-safe: a cancelled read or receive has consumed nothing.
        let size = tokio::select! {
            size = stream.read(&mut buffer) => size?,
            Some(bytes) = unsolicited_pieces.recv() => {
                stream.write_all(&bytes).await?;
                continue;
            }
        };
        if size == 0 {
            return Ok(None);
        }
        buffered.extend_from_slice(&buffer[..size]);
    }
}

/// Removes the first request from the buffer, if it is complete.
fn take_request(buffered: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let head = RequestHead::parse(buffered)?;
    if buffered.len() < head.request_bytes() {
        return None;
    }
    let body = buffered
        .drain(..head.request_bytes())
        .skip(head.head_bytes)
        .collect();
    Some(ReceivedRequest {
        id: head.id,
        path: head.path,
        body,
    })
}

/// Executes the plan of a response.
async fn send_response(
    stream: &mut TcpStream,
    response: PreparedResponse,
    state: &Mutex<State>,
) -> Result<ConnectionState, Error> {
    let PreparedResponse {
        plan,
        record_index,
        duplicate,
    } = response;
    let record = |written_bytes, is_complete| {
        lock(state).record_progress(record_index, written_bytes, is_complete);
    };
    if plan.status != STATUS_OK {
        let status = plan.status;
        let head = format!("HTTP/1.1 {status} Stand-in\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        record(0, true);
        return Ok(ConnectionState::Open);
    }
    let send_duplicate = |bytes: &[u8]| {
        if let Some(connection) = &duplicate {
            // If the queue is full or closed, the duplicate is lost. No client waits for it.
            let _ = connection.try_send(bytes.to_vec());
        }
    };
    let mut has_begun = false;
    for step in plan.steps {
        match step {
            PlanStep::Wait(pause) => wait(stream, pause).await?,
            PlanStep::Send(bytes) => {
                if !has_begun {
                    has_begun = true;
                    stream.write_all(STREAM_HEAD.as_bytes()).await?;
                    send_duplicate(STREAM_HEAD.as_bytes());
                }
                send_duplicate(&bytes);
                stream.write_all(&bytes).await?;
                record(bytes.len(), false);
            }
            PlanStep::Close { reset } => {
                close(stream, reset).await?;
                record(0, true);
                return Ok(ConnectionState::Closed);
            }
        }
    }
    record(0, true);
    Ok(ConnectionState::Open)
}

async fn close(stream: &mut TcpStream, reset: bool) -> Result<(), Error> {
    if reset {
        // If the option cannot be set, the connection closes without a reset, and the test that expects a reset fails.
        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        return Ok(());
    }
    stream.shutdown().await
}

/// Waits for `pause`; fails early if the client disconnects.
async fn wait(stream: &TcpStream, pause: Duration) -> Result<(), Error> {
    if pause.is_zero() {
        return Ok(());
    }
    let disconnected = async {
        match stream.peek(&mut [0]).await {
            Ok(0) => Err(Error::other("the client has disconnected")),
            Ok(_) => std::future::pending().await,
            Err(e) => Err(e),
        }
    };
    // Both branches are cancel-safe: a peek takes no bytes.
    tokio::select! {
        () = tokio::time::sleep(pause) => Ok(()),
        result = disconnected => result,
    }
}
