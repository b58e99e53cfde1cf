//! One client's connection: requests one after the other, each with one answer. `requests` reads them, `streams` passes
//! streams on.

#![expect(
    clippy::cognitive_complexity,
    clippy::match_bool,
    clippy::min_ident_chars,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

mod requests;
mod streams;

use super::clients::{Hold, Shared};
use super::closes::CloseReason;
use super::messages::{
    ClientRequest, ClientResponse, DispatcherMessage, RequestOwner, RequestPayload,
};
use super::node_phase::NodePhase;
use super::relay::Relay;
use super::socket::Socket;
use super::Wire;
use crate::protocol::http::{EncodedMessage, Head, HttpCodec, HttpParseError, MessagePart, Role};
use crate::protocol::request::{self, RequestError, Route, MAX_BODY_BYTES};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use poppykeel_scheduler::{IncomingRequest, RequestId};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::error::Elapsed;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// After a last answer so much is still read, and for so long, so that the answer is not lost to a reset.
const DISCARD: usize = 2 * MAX_BODY_BYTES;
const DISCARD_FOR: Duration = Duration::from_secs(1);
/// Bytes of further requests that are read while an answer is awaited.
const AHEAD: usize = 16 * 1024;
/// Behind more bytes than these a close is looked for so often.
const LOOK: Duration = Duration::from_millis(20);

/// Logs what becomes of a request or a connection: in a shutdown, where few lines tell all, at the usual level.
macro_rules! log_fate {
    ($client:expr, $($field:tt)*) => {{
        let since_stop_ms = $client.shared.shutdown.elapsed_ms();
        let connection = $client.number;
        match since_stop_ms {
            Some(_) => tracing::info!(connection, since_stop_ms, $($field)*),
            None => tracing::debug!(connection, $($field)*),
        }
    }};
}

/// The driver of one connection.
pub struct Client {
    wire: Wire,
    shared: Rc<Shared>,
    /// Its number among all connections of this process.
    number: u64,
    /// What was read ahead while an answer was awaited, if only that it can't be read.
    ahead: Option<Result<MessagePart, HttpParseError>>,
    /// Heads of requests that have been read on this connection.
    requests: u64,
    /// The request on its way must be whole by then, however its bytes trickle in.
    until: Instant,
    /// Who waits for the response to this connection's last request.
    owner: RequestOwner,
}

/// The connection ends, for this reason.
#[derive(Debug, PartialEq)]
struct Leave(CloseReason);

impl Drop for Client {
    fn drop(&mut self) {
        self.shared.leave();
    }
}

impl Client {
    /// A connection that has just been accepted.
    pub fn new(socket: TcpStream, shared: Rc<Shared>) -> Self {
        let number = shared.enter();
        let until = Instant::now() + shared.bounds.read;
        let wire = Framed::new(socket.into(), HttpCodec::new(Role::Server));
        Client {
            wire,
            shared,
            number,
            ahead: None,
            requests: 0,
            until,
            owner: RequestOwner::default(),
        }
    }

    /// Serves requests until either side has had enough.
    pub async fn run(mut self) {
        log_fate!(self, "connection accepted");
        let Leave(reason) = loop {
            let head = match self.next_head().await {
                Ok(head) => head,
                Err(leave) => break leave,
            };
            self.requests += 1;
            if let Err(leave) = self.serve(*head).await {
                break leave;
            }
        };
        log_fate!(
            self,
            requests = self.requests,
            why = reason.name(),
            "connection closes"
        );
        self.shared.closes.add(reason);
        self.close(reason).await;
    }

    /// Closes the connection so that its client can tell what has become of its last request.
    async fn close(&mut self, reason: CloseReason) {
        if reason.abrupt() {
            return;
        }
        let socket = self.wire.get_mut();
        let _ = socket.shutdown().await;
        if reason.between_requests() {
            // A request that crosses the close is left unread: the reset that follows tells its client so.
            let _ = tokio::time::timeout(DISCARD_FOR, socket.ready(Interest::READABLE)).await;
        } else {
            // A close over unread bytes resets the connection, and the end of the last answer goes with it. What
            // still comes is read and forgotten: nothing that is read from here on is served.
            let _ = tokio::time::timeout(DISCARD_FOR, discard(socket)).await;
        }
    }

    fn last(&self) -> bool {
        *self.shared.phase.borrow() > NodePhase::Serving
    }

    /// Answers what can't be read, where there is anyone to answer.
    async fn fault(&mut self, fault: HttpParseError) -> Leave {
        let status = match &fault {
            HttpParseError::Malformed(_) => 400,
            HttpParseError::HeadTooLong => 431,
            HttpParseError::ReadTimeout => 408,
            HttpParseError::UnsupportedVersion => 505,
            HttpParseError::ShuttingDown => return self.too_late().await,
            HttpParseError::UnexpectedEof | HttpParseError::Io(_) => {
                return Leave(CloseReason::ClientLeft)
            }
        };
        self.turn_down(
            RequestError {
                status,
                reason: fault.to_string(),
            },
            None,
        )
        .await
    }

    /// The last answer on this connection.
    async fn turn_down(&mut self, reject: RequestError, retry_after: Option<u64>) -> Leave {
        log_fate!(
            self,
            status = reject.status,
            why = reject.reason,
            "request turned down"
        );
        let answer = request::local_response(reject.status, &reject.reason, retry_after, true);
        match self.send(EncodedMessage::Raw(answer)).await {
            Ok(()) => Leave(CloseReason::Rejected),
            Err(leave) => leave,
        }
    }

    /// Refuses a request that comes too late in a shutdown to be answered. It has run nowhere, and other nodes can take it
    /// at once.
    async fn too_late(&mut self) -> Leave {
        let reject = RequestError {
            status: 503,
            reason: "this node shuts down".into(),
        };
        self.turn_down(reject, Some(0)).await
    }

    /// An answer of the node's own, after which the connection may stay.
    async fn answer(
        &mut self,
        status: u16,
        text: &str,
        wait: Option<u64>,
        close: bool,
    ) -> Result<(), Leave> {
        self.send(EncodedMessage::Raw(request::local_response(
            status, text, wait, close,
        )))
        .await?;
        match close {
            true => Err(Leave(CloseReason::LastAnswer)),
            false => Ok(()),
        }
    }

    async fn send(&mut self, out: EncodedMessage) -> Result<(), Leave> {
        self.feed(out).await?;
        self.flush().await
    }

    /// A client that takes nothing any more must not hold a replica's stream for ever: both that may wait for
    /// it have a limit.
    async fn feed(&mut self, out: EncodedMessage) -> Result<(), Leave> {
        taken(tokio::time::timeout(self.shared.bounds.stall, self.wire.feed(out)).await)
    }

    async fn flush(&mut self) -> Result<(), Leave> {
        taken(tokio::time::timeout(self.shared.bounds.stall, self.wire.flush()).await)
    }

    async fn serve(&mut self, head: Head) -> Result<(), Leave> {
        let route = match request::route(&head) {
            Ok(route) => route,
            Err(reject) => return Err(self.turn_down(reject, None).await),
        };
        let mut hold = Hold::new(self.shared.clone());
        let body = match self.read(&head, &mut hold).await? {
            Ok(body) => body,
            Err((reject, retry_after)) => return Err(self.turn_down(reject, retry_after).await),
        };
        match route {
            Route::Health => {
                let close = self.last() || !head.keeps_connection;
                let (status, text) = if self.last() {
                    (503, "draining")
                } else {
                    (200, "ok")
                };
                self.answer(status, text, None, close).await
            }
            Route::Completions => self.complete(head, body, hold).await,
        }
    }

    /// Serves a request for a completion that has been read whole.
    async fn complete(&mut self, head: Head, body: Bytes, hold: Hold) -> Result<(), Leave> {
        let boot = self.shared.boot.borrow().clone();
        let arrival = match request::parse_request(&head.headers, &boot.names, body.len()) {
            Ok(arrival) => arrival,
            Err(reject) => return Err(self.turn_down(reject, None).await),
        };
        let id = arrival.id;
        if !self.shared.shutdown.admits() {
            return Err(self.too_late().await);
        }
        log_fate!(self, request = %id, nth = self.requests, deadline_s = arrival.time_left, "request taken");
        let payload = RequestPayload {
            head: request::replica_request_head(&head, body.len(), None),
            body: body.clone(),
        };
        let answer = match self.ask(arrival.clone(), payload).await {
            Ok(answer) => answer?,
            Err(leave) => return Err(self.gone(id, leave).await),
        };
        let close = self.last() || !head.keeps_connection;
        let (content_type, replica, stream) = match answer {
            ClientResponse::Stream {
                content_type,
                replica,
                chunks: body,
            } => (content_type, replica, body),
            ClientResponse::Duplicate => {
                let reason = "Req-Id is that of a request still being served".to_string();
                return Err(self
                    .turn_down(
                        RequestError {
                            status: 400,
                            reason,
                        },
                        None,
                    )
                    .await);
            }
            ClientResponse::Rejected(wait) => {
                log_fate!(self, request = %id, status = 503, "request refused");
                let text = "no replica has room for this request now";
                return self.answer(503, text, Some(wait), close).await;
            }
            ClientResponse::Failed => {
                log_fate!(self, request = %id, status = 502, "request failed");
                return self
                    .answer(502, "the replicas failed this request", None, close)
                    .await;
            }
        };
        log_fate!(self, request = %id, replica = %replica.0, "stream begins");
        let streams = self.shared.streams.clone();
        let mut relay = Relay::new(&streams, &boot, arrival, head, body, replica, &content_type);
        if relay.is_none() {
            drop(hold);
        }
        self.feed(EncodedMessage::Raw(request::stream_response_head(
            &content_type,
            close,
        )))
        .await?;
        let done = match &mut relay {
            None => self.stream(stream).await,
            Some(relay) => self.saved(relay, stream).await,
        };
        log_fate!(self, request = %id, whole = matches!(done, Ok(true)), "stream ends");
        match done {
            Ok(true) if !close => Ok(()),
            Ok(true) => Err(Leave(CloseReason::LastAnswer)),
            // Without the last chunk: the client sees that the stream is not whole.
            Ok(false) => Err(Leave(CloseReason::StreamBroken)),
            Err(leave) => Err(self.gone(relay.map_or(id, |r| r.id()), leave).await),
        }
    }

    /// Gives a request to the core and waits for its answer. The outer error says that the client has left.
    async fn ask(
        &mut self,
        arrival: IncomingRequest,
        payload: RequestPayload,
    ) -> Result<Result<ClientResponse, Leave>, Leave> {
        let (answer, answered) = oneshot::channel();
        let owner = self.shared.new_request_owner();
        self.owner = owner;
        // The core may be behind: a client that leaves while there is no room for its request is not waited for.
        let tell = self.shared.tell.clone();
        let ended = Leave(CloseReason::CoreEnded);
        match self.until_gone(tell.reserve()).await? {
            Ok(place) => place.send(DispatcherMessage::ClientRequest(ClientRequest {
                request: arrival,
                payload,
                response: answer,
                owner,
            })),
            Err(_) => return Ok(Err(ended)),
        }
        Ok(self.until_gone(answered).await?.map_err(|_| ended))
    }

    /// Tells the core that nobody waits for this request any more.
    async fn gone(&mut self, id: RequestId, leave: Leave) -> Leave {
        log_fate!(self, request = %id, why = leave.0.name(), "client gone");
        let _ = self
            .shared
            .tell
            .send(DispatcherMessage::ClientDisconnected {
                request: id,
                owner: self.owner,
            })
            .await;
        leave
    }

    /// Waits for something while the client is there; an error says that it has left.
    async fn until_gone<T>(
        &mut self,
        wait: impl std::future::Future<Output = T>,
    ) -> Result<T, Leave> {
        tokio::pin!(wait);
        loop {
            if self.ahead.is_some() {
                // The next request is here already and waits its turn; that its client leaves is seen all the same.
                return tokio::select! {
                    biased;
                    done = &mut wait => Ok(done),
                    () = left(&mut self.wire) => Err(Leave(CloseReason::ClientLeft)),
                };
            }
            tokio::select! {
                biased;
                done = &mut wait => return Ok(done),
                read = self.wire.next() => match read {
                    None | Some(Err(HttpParseError::UnexpectedEof | HttpParseError::Io(_))) => return Err(Leave(CloseReason::ClientLeft)),
                    // What can't be read has its answer after this one.
                    Some(part) => self.ahead = Some(part),
                },
            }
        }
    }
}

/// Whether a client has taken what was written, in time.
fn taken(written: Result<Result<(), HttpParseError>, Elapsed>) -> Result<(), Leave> {
    match written {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Leave(CloseReason::ClientLeft)),
        Err(_) => Err(Leave(CloseReason::ClientStalled)),
    }
}

/// Waits until a client has left behind bytes that it had sent ahead; these are kept.
async fn left(wire: &mut Wire) {
    let mut piece = [0; 4096];
    loop {
        if wire.read_buffer().len() >= AHEAD {
            match wire.get_ref().ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => tokio::time::sleep(LOOK).await,
                _ => return,
            }
        } else if wire.get_ref().readable().await.is_err() {
            return;
        } else {
            match wire.get_ref().try_read(&mut piece) {
                Ok(0) => return,
                Ok(n) => wire.read_buffer_mut().extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

/// Reads and forgets, up to a bound, until the other side has closed.
pub async fn discard(socket: &mut Socket) {
    let mut scrap = [0; 4096];
    let mut left = DISCARD;
    while let Ok(n @ 1..) = socket.read(&mut scrap).await {
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}
