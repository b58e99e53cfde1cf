//! One client's connection: requests one after the other, each with one answer.

use super::clients::{Hold, Shared};
use super::messages::{Answer, Asker, Message, Payload, Phase, Piece};
use super::relay::{Next, Relay};
use super::{unread, Wire};
use crate::interface::{Arrival, RequestId};
use crate::protocol::http::{Fault, Head, Http, Out, Part, Side};
use crate::protocol::request::{self, Reject, Route, MOST_BODY};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// After a last answer so much is still read, and for so long, so that the answer is not lost to a reset.
const DISCARD: usize = 2 * MOST_BODY;
const DISCARD_FOR: Duration = Duration::from_secs(1);
/// Bytes of further requests that are read while an answer is awaited.
const AHEAD: usize = 16 * 1024;
/// Behind more bytes than these a close is looked for so often.
const LOOK: Duration = Duration::from_millis(20);
/// A connection that comes while idle ones are closed has so long to send its request.
const FIRST_REQUEST: Duration = Duration::from_millis(250);
/// When a client may come again that found no room for its body.
const AGAIN_US: u64 = 500_000;

/// The driver of one connection.
pub struct Client {
    wire: Wire,
    shared: Rc<Shared>,
    /// What was read ahead while an answer was awaited, if only that it can't be read.
    ahead: Option<Result<Part, Fault>>,
    /// A request has been read on this connection.
    known: bool,
    /// The request on its way must be whole by then, however its bytes trickle in.
    until: Instant,
    /// Who asks in this connection's last request.
    asker: Asker,
    /// Nobody is there to read what was written last, or nothing was.
    deserted: bool,
}

/// Why a connection ends.
struct Leave;

impl From<Fault> for Leave {
    fn from(_: Fault) -> Self {
        Leave
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.shared.leave();
    }
}

impl Client {
    /// A connection that has just been accepted.
    pub fn new(socket: TcpStream, shared: Rc<Shared>) -> Self {
        shared.enter();
        let until = Instant::now() + shared.bounds.read;
        let wire = Framed::new(socket, Http::new(Side::Server));
        Client { wire, shared, ahead: None, known: false, until, asker: 0, deserted: false }
    }

    /// Serves requests until either side has had enough.
    pub async fn run(mut self) {
        while let Ok(Some(head)) = self.next_head().await {
            self.known = true;
            if self.serve(*head).await.is_err() {
                break;
            }
        }
        if !self.deserted {
            // A close over unread bytes resets the connection, and the end of the last answer goes with it. What
            // still comes is read and forgotten: nothing that is read from here on is served.
            let socket = self.wire.get_mut();
            let _ = socket.shutdown().await;
            let _ = tokio::time::timeout(DISCARD_FOR, discard(socket)).await;
        }
    }

    fn last(&self) -> bool {
        *self.shared.phase.borrow() > Phase::Serving
    }

    async fn next_head(&mut self) -> Result<Option<Box<Head>>, Leave> {
        if let Some(ahead) = self.ahead.take() {
            self.until = Instant::now() + self.shared.bounds.read;
            return match ahead {
                Ok(Part::Head(head)) => Ok(Some(head)),
                Ok(_) => Ok(None),
                Err(fault) => self.fault(fault).await.map(|()| None),
            };
        }
        let (mark, leave) = self.shared.rests();
        let (known, mut phase) = (self.known, self.shared.phase.clone());
        let closing = async {
            let _ = phase.wait_for(|p| matches!(p, Phase::Evacuated | Phase::Closing)).await;
            if !known {
                // It has only just come: closed unheard, its request would have to be sent anew.
                tokio::time::sleep(FIRST_REQUEST).await;
            }
        };
        let next = tokio::select! {
            biased;
            next = self.rest() => Some(next),
            () = closing => None,
            () = leave.notified() => {
                // Another needs the place: it is not kept for a client that does not see the end.
                self.deserted = true;
                None
            }
        };
        self.shared.busy(mark);
        let next = match next {
            Some(next) => next,
            // Bytes have come in the very moment of the close: they are a request, to be read and answered.
            None if self.begun() => {
                self.deserted = false;
                self.rest().await
            }
            None => return Ok(None),
        };
        match next {
            Some(Ok(Part::Head(head))) => Ok(Some(head)),
            Some(Err(fault)) => self.fault(fault).await.map(|()| None),
            _ => Ok(None),
        }
    }

    /// Waits for the next request's head; nothing where the client has left or has rested for too long.
    async fn rest(&mut self) -> Option<Result<Part, Fault>> {
        if self.known {
            // A kept connection may rest; from the first byte on, the request has its limit.
            if self.wire.read_buffer().is_empty() {
                let mut byte = [0];
                let peeked = self.wire.get_ref().peek(&mut byte);
                match tokio::time::timeout(self.shared.bounds.client_idle, peeked).await {
                    Ok(Ok(_)) => {}
                    Err(_) if self.begun() => {}
                    _ => return None,
                }
            }
            self.until = Instant::now() + self.shared.bounds.read;
        }
        match tokio::time::timeout_at(self.until, self.wire.next()).await {
            Ok(next) => {
                self.deserted |= next.is_none();
                next
            }
            Err(_) if !self.begun() => None,
            Err(_) => Some(Err(Fault::Slow)),
        }
    }

    /// Bytes of a request are here. The kernel is asked, too: the runtime may not have seen them yet.
    fn begun(&self) -> bool {
        !self.wire.read_buffer().is_empty() || matches!(unread(self.wire.get_ref()), Ok(1..))
    }

    /// Answers what can't be read, where there is anyone to answer.
    async fn fault(&mut self, fault: Fault) -> Result<(), Leave> {
        let status = match &fault {
            Fault::Malformed(_) => 400,
            Fault::LongHead => 431,
            Fault::Slow => 408,
            Fault::Version => 505,
            Fault::Cut | Fault::Io(_) => {
                self.deserted = true;
                return Err(Leave);
            }
        };
        self.turn_down(Reject { status, reason: fault.to_string() }, None).await
    }

    /// The last answer on this connection.
    async fn turn_down(&mut self, reject: Reject, retry_after: Option<u64>) -> Result<(), Leave> {
        self.send(Out::Raw(request::own_answer(reject.status, &reject.reason, retry_after, true))).await?;
        Err(Leave)
    }

    async fn send(&mut self, out: Out) -> Result<(), Leave> {
        self.feed(out).await?;
        self.flush().await
    }

    /// A client that takes nothing any more must not hold a replica's stream for ever: both that may wait for
    /// it have a limit.
    async fn feed(&mut self, out: Out) -> Result<(), Leave> {
        let fed = tokio::time::timeout(self.shared.bounds.stall, self.wire.feed(out)).await;
        self.deserted |= !matches!(fed, Ok(Ok(())));
        Ok(fed.map_err(|_| Leave)??)
    }

    async fn flush(&mut self) -> Result<(), Leave> {
        let flushed = tokio::time::timeout(self.shared.bounds.stall, self.wire.flush()).await;
        self.deserted |= !matches!(flushed, Ok(Ok(())));
        Ok(flushed.map_err(|_| Leave)??)
    }

    async fn serve(&mut self, head: Head) -> Result<(), Leave> {
        let route = match request::route(&head) {
            Ok(route) => route,
            Err(reject) => return self.turn_down(reject, None).await,
        };
        let mut hold = Hold::new(self.shared.clone());
        let body = match self.read(&head, &mut hold).await? {
            Ok(body) => body,
            Err((reject, retry_after)) => return self.turn_down(reject, retry_after).await,
        };
        let close = self.last() || !head.keep;
        if route == Route::Health {
            let (status, text) = if self.last() { (503, "draining") } else { (200, "ok") };
            self.send(Out::Raw(request::own_answer(status, text, None, close))).await?;
            return if close { Err(Leave) } else { Ok(()) };
        }
        let boot = self.shared.boot.borrow().clone();
        let arrival = match request::arrival(&head.headers, &boot.names, body.len()) {
            Ok(arrival) => arrival,
            Err(reject) => return self.turn_down(reject, None).await,
        };
        let id = arrival.id;
        let payload = Payload { head: request::upstream_head(&head, body.len(), None), body: body.clone() };
        let answer = match self.ask(arrival.clone(), payload).await {
            Ok(answer) => answer?,
            Err(Leave) => return self.gone(id).await,
        };
        let close = self.last() || !head.keep;
        let (content_type, replica, stream) = match answer {
            Answer::Stream { content_type, replica, body } => (content_type, replica, body),
            Answer::Duplicate => {
                let reason = "Req-Id is that of a request still being served".to_string();
                return self.turn_down(Reject { status: 400, reason }, None).await;
            }
            Answer::Refused(wait) => {
                let text = "no replica has room for this request now";
                self.send(Out::Raw(request::own_answer(503, text, Some(wait), close))).await?;
                return if close { Err(Leave) } else { Ok(()) };
            }
            Answer::Failed => {
                let text = "the replicas failed this request";
                self.send(Out::Raw(request::own_answer(502, text, None, close))).await?;
                return if close { Err(Leave) } else { Ok(()) };
            }
        };
        let streams = self.shared.streams.clone();
        let mut relay = Relay::new(&streams, &boot, arrival, head, body, replica, &content_type);
        if relay.is_none() {
            drop(hold);
        }
        self.feed(Out::Raw(request::stream_head(&content_type, close))).await?;
        let done = match &mut relay {
            None => self.stream(stream).await,
            Some(relay) => self.saved(relay, stream).await,
        };
        match done {
            Ok(true) if !close => Ok(()),
            Ok(true) => Err(Leave),
            // Without the last chunk: the client sees that the stream is not whole.
            Ok(false) => Err(Leave),
            Err(Leave) => self.gone(relay.map_or(id, |r| r.id())).await,
        }
    }

    /// Gives a request to the core and waits for its answer. The outer error says that the client has left.
    async fn ask(&mut self, arrival: Arrival, payload: Payload) -> Result<Result<Answer, Leave>, Leave> {
        let (answer, answered) = oneshot::channel();
        let asker = self.shared.asker();
        self.asker = asker;
        // The core may be behind: a client that leaves while there is no room for its request is not waited for.
        let tell = self.shared.tell.clone();
        match self.until_gone(tell.reserve()).await? {
            Ok(place) => place.send(Message::Request { arrival, payload, answer, asker }),
            Err(_) => return Ok(Err(Leave)),
        }
        Ok(self.until_gone(answered).await?.map_err(|_| Leave))
    }

    /// Tells the core that nobody waits for this request any more.
    async fn gone(&mut self, id: RequestId) -> Result<(), Leave> {
        self.deserted = true;
        let _ = self.shared.tell.send(Message::Left { request: id, asker: self.asker }).await;
        Err(Leave)
    }

    /// Reads a body, within its own limit and that of all bodies together.
    #[allow(clippy::type_complexity)]
    async fn read(
        &mut self,
        head: &Head,
        hold: &mut Hold,
    ) -> Result<Result<Bytes, (Reject, Option<u64>)>, Leave> {
        let too_long =
            || Reject { status: 413, reason: format!("the body is longer than {MOST_BODY} bytes") };
        let expected = head.length.unwrap_or(0);
        if expected > MOST_BODY as u64 {
            return Ok(Err((too_long(), None)));
        }
        if head.headers.has("expect", "100-continue") {
            self.send(Out::Raw(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"))).await?;
        }
        let mut body = Vec::with_capacity(expected as usize);
        loop {
            let part = match tokio::time::timeout_at(self.until, self.wire.next()).await {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(fault))) => {
                    self.fault(fault).await?;
                    return Err(Leave);
                }
                Ok(None) => {
                    self.deserted = true;
                    return Err(Leave);
                }
                Err(_) => {
                    self.fault(Fault::Slow).await?;
                    return Err(Leave);
                }
            };
            match part {
                Part::Body(bytes) if body.len() + bytes.len() > MOST_BODY => {
                    return Ok(Err((too_long(), None)));
                }
                Part::Body(bytes) if hold.more(bytes.len()) => body.extend_from_slice(&bytes),
                Part::Body(_) => {
                    let reason = "this node holds as many requests as it may".to_string();
                    return Ok(Err((Reject { status: 503, reason }, Some(AGAIN_US))));
                }
                Part::End => return Ok(Ok(body.into())),
                Part::Head(_) => return Err(Leave),
            }
        }
    }

    /// Waits for something while the client is there; an error says that it has left.
    async fn until_gone<T>(&mut self, wait: impl std::future::Future<Output = T>) -> Result<T, Leave> {
        tokio::pin!(wait);
        loop {
            if self.ahead.is_some() {
                // The next request is here already and waits its turn; that its client leaves is seen all the same.
                return tokio::select! {
                    biased;
                    done = &mut wait => Ok(done),
                    () = left(&mut self.wire) => Err(Leave),
                };
            }
            tokio::select! {
                biased;
                done = &mut wait => return Ok(done),
                read = self.wire.next() => match read {
                    None | Some(Err(Fault::Cut | Fault::Io(_))) => return Err(Leave),
                    // What can't be read has its answer after this one.
                    Some(part) => self.ahead = Some(part),
                },
            }
        }
    }

    /// Passes a stream on as it comes; false where it broke.
    async fn stream(&mut self, mut body: mpsc::Receiver<Piece>) -> Result<bool, Leave> {
        loop {
            let mut next = self.until_gone(body.recv()).await?;
            // What has come together goes out together.
            loop {
                match next {
                    Some(Piece::Bytes(bytes)) => self.feed(Out::Chunk(bytes)).await?,
                    Some(Piece::End) => {
                        self.send(Out::Last).await?;
                        return Ok(true);
                    }
                    None => {
                        self.flush().await?;
                        return Ok(false);
                    }
                }
                match body.try_recv() {
                    Ok(piece) => next = Some(piece),
                    Err(mpsc::error::TryRecvError::Empty) => break,
                    Err(mpsc::error::TryRecvError::Disconnected) => next = None,
                }
            }
            self.flush().await?;
        }
    }

    /// Passes a stream on and saves it where it can be saved; false where it failed.
    async fn saved(&mut self, relay: &mut Relay, mut body: mpsc::Receiver<Piece>) -> Result<bool, Leave> {
        loop {
            let whole = match self.until_gone(body.recv()).await? {
                Some(Piece::Bytes(bytes)) => {
                    let bytes = relay.pass(&bytes);
                    if !bytes.is_empty() {
                        self.send(Out::Chunk(bytes)).await?;
                    }
                    continue;
                }
                Some(Piece::End) => relay.whole(),
                None => false,
            };
            if whole {
                let rest = relay.rest();
                if !rest.is_empty() {
                    self.feed(Out::Chunk(rest)).await?;
                }
                self.send(Out::Last).await?;
                return Ok(true);
            }
            let mut next = relay.ended(self.last());
            if let Next::Ask(asked) = next {
                let (arrival, payload) = *asked;
                next = match self.ask(arrival, payload).await?? {
                    Answer::Stream { replica, body: rest, .. } => {
                        relay.carried_on(replica);
                        body = rest;
                        continue;
                    }
                    _ => relay.refused(),
                };
            }
            let (last, whole) = match next {
                Next::Complete(last) => (last, true),
                Next::Fail(last) => (last, false),
                Next::Ask(_) => return Ok(false),
            };
            if !last.is_empty() {
                self.send(Out::Chunk(last)).await?;
            }
            if whole {
                self.send(Out::Last).await?;
            }
            return Ok(whole);
        }
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
pub async fn discard(socket: &mut TcpStream) {
    let mut scrap = [0; 4096];
    let mut left = DISCARD;
    while let Ok(n @ 1..) = socket.read(&mut scrap).await {
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}
