//! One connection of a stub server: requests one after the other, each answered by its plan.

use super::request_head::RequestHead;
use super::state::{lock, ConnectionId, PreparedAnswer, State};
use crate::answer::PlanStep;
use socket2::SockRef;
use std::io::Error;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The longest request that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 512 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Pieces of unsolicited answers that wait to be written on one connection. Further ones are dropped.
const MAX_UNSOLICITED_PIECES: usize = 64;
const CHAT_PATH: &str = "/v1/chat/completions";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EMPTY_OBJECT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const STATUS_OK: u16 = 200;

/// Whether a connection takes another request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterAnswer {
    KeepOpen,
    Closed,
}

/// A request that was read completely.
struct ReceivedRequest {
    id: String,
    path: String,
    body: Vec<u8>,
}

/// Removes a connection from the idle ones once it ends.
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
    let mut unread = Vec::new();
    let (unsolicited, mut unsolicited_pieces) = mpsc::channel(MAX_UNSOLICITED_PIECES);
    let id = lock(state).new_connection(server);
    let _registration = IdleRegistration { state, id };
    loop {
        lock(state).set_idle(id, unsolicited.clone());
        let request = read_request(&mut stream, &mut unread, &mut unsolicited_pieces).await?;
        let Some(request) = request else {
            return Ok(());
        };
        lock(state).set_busy(id);
        if request.path != CHAT_PATH {
            stream.write_all(EMPTY_OBJECT).await?;
            continue;
        }
        let answer = lock(state).prepare_answer(server, &request.id, &request.body);
        if send_answer(&mut stream, answer, state).await? == AfterAnswer::Closed {
            return Ok(());
        }
    }
}

/// Reads a request, and writes unsolicited pieces that come meanwhile; `None` at the end of the connection, and for a
/// request that is too long. `unread` holds bytes of a request that has not been read completely.
async fn read_request(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    unsolicited_pieces: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<Option<ReceivedRequest>, Error> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if let Some(request) = take_request(unread) {
            return Ok(Some(request));
        }
        if unread.len() > MAX_REQUEST_BYTES {
            return Ok(None);
        }
        // Both branches are cancel-safe: a read that loses has read nothing, a receive that loses has taken nothing.
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
        unread.extend_from_slice(&buffer[..size]);
    }
}

/// Takes the first request out of what was read, if it is complete.
fn take_request(unread: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let head = RequestHead::parse(unread)?;
    if unread.len() < head.request_bytes() {
        return None;
    }
    let body = unread
        .drain(..head.request_bytes())
        .skip(head.head_bytes)
        .collect();
    Some(ReceivedRequest {
        id: head.id,
        path: head.path,
        body,
    })
}

/// Carries a plan out.
async fn send_answer(
    stream: &mut TcpStream,
    answer: PreparedAnswer,
    state: &Mutex<State>,
) -> Result<AfterAnswer, Error> {
    let PreparedAnswer {
        plan,
        record_index,
        duplicate,
    } = answer;
    let record = |written_bytes, is_complete| {
        lock(state).record_progress(record_index, written_bytes, is_complete);
    };
    if plan.status != STATUS_OK {
        let status = plan.status;
        let head = format!("HTTP/1.1 {status} Stand-in\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        record(0, true);
        return Ok(AfterAnswer::KeepOpen);
    }
    let send_duplicate = |bytes: &[u8]| {
        if let Some(connection) = &duplicate {
            // A full or closed connection loses the duplicate, which nobody waits for.
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
                return Ok(AfterAnswer::Closed);
            }
        }
    }
    record(0, true);
    Ok(AfterAnswer::KeepOpen)
}

async fn close(stream: &mut TcpStream, reset: bool) -> Result<(), Error> {
    if reset {
        // Without the option the connection closes in order, which the test that asked for a reset then shows.
        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        return Ok(());
    }
    stream.shutdown().await
}

/// Waits, and fails if the client disconnects meanwhile.
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
