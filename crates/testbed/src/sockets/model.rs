//! One model server on a socket: HTTP/1.1 round the emulator's model, in real time.

#![expect(
    clippy::min_ident_chars,
    clippy::semicolon_if_nothing_returned,
    clippy::single_match_else,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::emulator::model_server::{
    AttemptKey, GeneratedTokens, ModelServer, RequestCounts, ServerJob, ServerOutput,
    ServerProfile, SharedPrefix,
};
use crate::Micros;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{Http, Out, Part, Side, Start};
use poppykeel_scheduler::RequestId;
use poppykeel_stub_model_server::{prompt, token};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// The longest body that is read.
const MOST_BODY: usize = 512 * 1024;
/// Tokens of an answer that does not say how long it is to be.
const USUAL: u32 = 40;

/// What goes to the connection of an answer.
enum Word {
    Tokens(u32, u32),
    Done(u32),
}

struct Stream {
    words: mpsc::Sender<Word>,
    sent: u32,
    answer: u32,
}

struct Inner {
    server: ModelServer,
    began: Instant,
    streams: HashMap<AttemptKey, Stream>,
    next: u64,
    failing: bool,
    /// Tasks of the listener and of all connections; empty while the process is "gone".
    tasks: Vec<AbortHandle>,
}

/// What a server wrote down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Microseconds since the record began.
    pub at: Micros,
    /// Which server.
    pub server: usize,
    /// The request's id; None for a question how the server is.
    pub id: Option<String>,
}

/// What servers wrote down, in the order of arrival.
pub type Arrivals = Rc<RefCell<Vec<Arrival>>>;

/// Arrivals that a record holds; later ones are left out.
const MOST_ARRIVALS: usize = 4_000_000;

/// A model server.
#[derive(Clone)]
pub struct Model {
    /// Where it listens, also after a restart.
    pub addr: SocketAddr,
    inner: Rc<RefCell<Inner>>,
    changed: Rc<Notify>,
    /// Where arrivals are written down, and since when.
    record: Option<(Instant, Arrivals, usize)>,
}

impl Model {
    /// Writes down arrivals from now on; several servers may share a record. Set it before clients come.
    pub fn record(&mut self, since: Instant, arrivals: &Arrivals, server: usize) {
        self.record = Some((since, arrivals.clone(), server));
    }

    fn write_down(&self, id: Option<String>) {
        if let Some((since, arrivals, server)) = &self.record {
            let (at, server, mut arrivals) = (
                since.elapsed().as_micros() as Micros,
                *server,
                arrivals.borrow_mut(),
            );
            if arrivals.len() < MOST_ARRIVALS {
                arrivals.push(Arrival { at, server, id });
            }
        }
    }

    /// Starts one on a free port.
    pub async fn start(kind: ServerProfile) -> Result<Model, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| format!("model server: {e}"))?;
        let addr = listener
            .local_addr()
            .map_err(|e| format!("model server: {e}"))?;
        let inner = Inner {
            server: ModelServer::new(kind),
            began: Instant::now(),
            streams: HashMap::new(),
            next: 0,
            failing: false,
            tasks: Vec::new(),
        };
        let model = Model {
            addr,
            inner: Rc::new(RefCell::new(inner)),
            changed: Rc::new(Notify::new()),
            record: None,
        };
        model.listen(listener);
        spawn_local(model.clone().steps());
        Ok(model)
    }

    fn now(&self) -> Micros {
        self.inner.borrow().began.elapsed().as_micros() as Micros
    }

    fn listen(&self, listener: TcpListener) {
        let model = self.clone();
        let task = spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let own = model.clone();
                        let task = spawn_local(async move { own.connection(stream).await });
                        let mut inner = model.inner.borrow_mut();
                        inner.tasks.retain(|t| !t.is_finished());
                        inner.tasks.push(task.abort_handle());
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
        });
        self.inner.borrow_mut().tasks.push(task.abort_handle());
    }

    /// Its process "ends": nobody listens, and what is under way is lost.
    pub fn end(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.tasks.drain(..).for_each(|t| t.abort());
        inner.server.crash();
        inner.streams.clear();
    }

    /// It is started anew at its address, cold.
    pub async fn restart(&self) -> Result<(), String> {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.addr).await {
                let now = self.now();
                self.inner.borrow_mut().server.start(now);
                self.listen(listener);
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(format!("model server: {} cannot be had again", self.addr))
    }

    /// Whether every request is answered with an error.
    pub fn fail(&self, failing: bool) {
        self.inner.borrow_mut().failing = failing;
    }

    /// It takes so many times as long.
    pub fn slow(&self, factor: f64) {
        let now = self.now();
        self.inner.borrow_mut().server.set_slowdown(now, factor);
        self.changed.notify_one();
    }

    /// It stands still for so long.
    pub fn stall(&self, span: Duration) {
        let now = self.now();
        self.inner
            .borrow_mut()
            .server
            .stall(now, now + span.as_micros() as Micros);
        self.changed.notify_one();
    }

    /// Requests under way and waiting.
    pub fn request_counts(&self) -> RequestCounts {
        self.inner.borrow().server.request_counts()
    }

    /// Lets the model's steps pass in real time and sends what they make.
    async fn steps(self) {
        loop {
            let (began, due) = {
                let inner = self.inner.borrow();
                (inner.began, inner.server.step_end())
            };
            match due {
                Some(due) => tokio::select! {
                    () = tokio::time::sleep_until(began + Duration::from_micros(due)) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
            self.advance();
        }
    }

    fn advance(&self) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let Inner {
            server, streams, ..
        } = &mut *inner;
        let mut said = Vec::new();
        server.catch_up(now, &mut said);
        server.take_token_gaps().for_each(drop);
        let mut over = Vec::new();
        for GeneratedTokens { key, tokens: made } in server.answers_in_progress() {
            if let Some(stream) = streams.get_mut(&key).filter(|s| s.sent < made) {
                // A reader that takes nothing loses its answer: nothing is kept for it without bound.
                if stream
                    .words
                    .try_send(Word::Tokens(stream.sent, made))
                    .is_err()
                {
                    over.push(key);
                }
                stream.sent = made;
            }
        }
        for word in said {
            if let ServerOutput::Completed {
                key,
                cached_tokens: kept,
            } = word
            {
                if let Some(stream) = streams.remove(&key) {
                    // The last token goes with the end.
                    let _ = stream
                        .words
                        .try_send(Word::Tokens(stream.sent, stream.answer - 1));
                    let _ = stream.words.try_send(Word::Done(kept));
                }
            }
        }
        for key in over {
            streams.remove(&key);
            server.cancel(now, key);
        }
    }

    fn report(&self) -> String {
        let shown = self.inner.borrow().server.reported_load();
        json!({"x0": shown.memory_utilization, "x1": shown.queued_prompt_tokens}).to_string()
    }

    async fn connection(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut wire = Framed::new(stream, Http::new(Side::Server));
        loop {
            let head = loop {
                if let Part::Head(head) = wire.next().await?.ok()? {
                    break head;
                }
            };
            let mut body = Vec::new();
            loop {
                match wire.next().await?.ok()? {
                    Part::Body(bytes) if body.len() + bytes.len() <= MOST_BODY => {
                        body.extend_from_slice(&bytes)
                    }
                    Part::End => break,
                    _ => return None,
                }
            }
            let Start::Request { target, .. } = &head.start else {
                return None;
            };
            match target.split('?').next() {
                Some("/v1/chat/completions") => {
                    self.write_down(Some(
                        head.headers.get("Req-Id").unwrap_or_default().to_string(),
                    ));
                    self.answer(&mut wire, &body).await?
                }
                Some("/load") => {
                    self.write_down(None);
                    plain(&mut wire, 200, "", &self.report()).await?
                }
                Some("/healthz") => plain(&mut wire, 200, "", "{}").await?,
                _ => plain(&mut wire, 404, "", "").await?,
            }
        }
    }

    async fn answer(&self, wire: &mut Framed<TcpStream, Http>, body: &[u8]) -> Option<()> {
        if self.inner.borrow().failing {
            return plain(wire, 500, "", "").await;
        }
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (text, done) = prompt(&request);
        let told = |key: &str| {
            request["metadata"][key]
                .as_str()
                .and_then(|t| t.parse::<u64>().ok())
        };
        let limit = request["max_tokens"]
            .as_u64()
            .or(request["max_completion_tokens"].as_u64());
        let answer =
            told("answer").unwrap_or(limit.unwrap_or(u64::from(USUAL)).min(u64::from(USUAL)));
        let answer = answer.min(limit.unwrap_or(u64::MAX)).clamp(1, 100_000) as u32;
        let tokens = told("prompt")
            .unwrap_or(text.len() as u64 / 4 + done as u64)
            .clamp(1, 1 << 20) as u32;
        let (words, mut said) = mpsc::channel(answer as usize + 2);
        let now = self.now();
        let key = {
            let mut inner = self.inner.borrow_mut();
            inner.next += 1;
            let key = AttemptKey {
                request: RequestId(inner.next),
                attempt: 0,
            };
            let prefix = SharedPrefix {
                id: told("prefix").unwrap_or(0),
                tokens: told("prefix_tokens").unwrap_or(0) as u32,
            };
            let session = told("session").unwrap_or(u64::MAX - inner.next);
            let taken = inner.server.enqueue(
                now,
                ServerJob {
                    key,
                    session,
                    prefix,
                    prompt_tokens: tokens,
                    answer_tokens: answer,
                },
            );
            if taken {
                inner.streams.insert(
                    key,
                    Stream {
                        words,
                        sent: 0,
                        answer,
                    },
                );
            }
            taken.then_some(key)
        };
        let Some(key) = key else {
            let headers = format!("Srv-Declined: 1\r\nSrv-Load: {}\r\n", self.report());
            return plain(wire, 503, &headers, "").await;
        };
        self.changed.notify_one();
        let mut begun = false;
        let own = format!("lab-{}-{}", self.addr.port(), key.request.0);
        let event = |delta: Value, finish: Option<&str>| {
            let value = json!({"id": own, "object": "chat.completion.chunk", "created": 1, "model": "lab",
                "choices": [{"index": 0, "delta": delta, "finish_reason": finish}]});
            Out::Chunk(Bytes::from(format!("data: {value}\n\n")))
        };
        loop {
            // Whoever asked may leave meanwhile: then the work is dropped.
            let word = tokio::select! {
                biased;
                word = said.recv() => word,
                gone = wire.next() => match gone {
                    Some(Ok(_)) => continue,
                    _ => {
                        let now = self.now();
                        let mut inner = self.inner.borrow_mut();
                        inner.streams.remove(&key);
                        inner.server.cancel(now, key);
                        drop(inner);
                        self.changed.notify_one();
                        return None;
                    }
                },
            };
            if !std::mem::replace(&mut begun, true) {
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                wire.feed(Out::Raw(Bytes::from_static(head.as_bytes())))
                    .await
                    .ok()?;
            }
            match word? {
                Word::Tokens(from, to) => {
                    for n in from..to {
                        wire.feed(event(
                            json!({"content": token(&text, done + n as usize)}),
                            None,
                        ))
                        .await
                        .ok()?;
                    }
                }
                Word::Done(kept) => {
                    let last = token(&text, done + answer as usize - 1);
                    wire.feed(event(json!({"content": last}), Some("stop")))
                        .await
                        .ok()?;
                    let usage = json!({"id": own, "object": "chat.completion.chunk", "created": 1, "model": "lab",
                        "choices": [], "usage": {"prompt_tokens": tokens, "completion_tokens": answer,
                        "total_tokens": tokens + answer, "prompt_tokens_details": {"cached_tokens": kept}}});
                    let rest = format!(
                        "data: {usage}\n\ndata: [DONE]\n\n: Srv-Load: {}\n\n",
                        self.report()
                    );
                    wire.feed(Out::Chunk(Bytes::from(rest))).await.ok()?;
                    wire.send(Out::Last).await.ok()?;
                    return Some(());
                }
            }
            wire.flush().await.ok()?;
        }
    }
}

async fn plain(
    wire: &mut Framed<TcpStream, Http>,
    status: u16,
    headers: &str,
    body: &str,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status} Lab\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    wire.send(Out::Raw(head.into())).await.ok()
}
