//! The connections of a stub model server: parses requests and streams answers.

use super::{AttemptKey, ServerState, StubModelServer};
use crate::emulator::model_server::{ServerJob, SharedPrefix};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{EncodedMessage, Head, HttpCodec, MessagePart, Role, StartLine};
use poppykeel_stub_model_server::{answer_token, split_prompt};
use serde_json::{json, Value};
use std::ops::Range;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 512 * 1024;
/// The length of an answer if the request does not specify one.
const DEFAULT_ANSWER_TOKENS: u64 = 40;
/// The maximum length of an answer.
const MAX_ANSWER_TOKENS: u64 = 100_000;
/// The maximum length of a prompt.
const MAX_PROMPT_TOKENS: u64 = 1 << 20;
/// Estimates the tokens of a prompt from its length if the request does not specify them.
const CHARS_PER_TOKEN: u64 = 4;
/// The room of an answer's channel beyond one part for each token: for the last tokens and the end. An answer has no
/// more parts, so its channel cannot become full.
const EXTRA_PARTS: usize = 2;
/// The head of a streamed answer.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

type Connection = Framed<TcpStream, HttpCodec>;

/// A part of an answer, sent to the task of its connection.
enum AnswerPart {
    /// The tokens with these numbers.
    Tokens(Range<u32>),
    /// The last token and the end of the stream.
    End { cached_tokens: u32 },
}

/// The sending side of an answer's channel.
pub(super) struct AnswerSender {
    parts: mpsc::Sender<AnswerPart>,
    sent_tokens: u32,
    answer_tokens: u32,
}

impl AnswerSender {
    /// Sends the tokens generated since the last call. Returns false if the channel is full or closed.
    pub(super) fn send_tokens_up_to(&mut self, tokens: u32) -> bool {
        if self.sent_tokens >= tokens {
            return true;
        }
        let new_tokens = self.sent_tokens..tokens;
        self.sent_tokens = tokens;
        self.parts.try_send(AnswerPart::Tokens(new_tokens)).is_ok()
    }

    /// Sends the remaining tokens, the last one together with the end.
    pub(super) fn complete(self, cached_tokens: u32) {
        let tokens = self.sent_tokens..self.answer_tokens - 1;
        // Errors are ignored: the connection has ended.
        let _ = self.parts.try_send(AnswerPart::Tokens(tokens));
        let _ = self.parts.try_send(AnswerPart::End { cached_tokens });
    }
}

struct AnswerRequest {
    /// The text of the prompt, from which the tokens of the answer are derived.
    prompt_text: String,
    /// Tokens of the answer that the prompt already contains, if the request continues an answer.
    continued_tokens: usize,
    prompt_tokens: u32,
    answer_tokens: u32,
    session: Option<u64>,
    prefix: SharedPrefix,
}

impl AnswerRequest {
    fn parse(body: &[u8]) -> Self {
        // A body that is not JSON is accepted, too: the defaults apply.
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (prompt_text, continued_tokens) = split_prompt(&request);
        let metadata = |key: &str| request["metadata"][key].as_str()?.parse::<u64>().ok();
        let limit = request["max_tokens"]
            .as_u64()
            .or(request["max_completion_tokens"].as_u64());
        let default_tokens = limit
            .unwrap_or(DEFAULT_ANSWER_TOKENS)
            .min(DEFAULT_ANSWER_TOKENS);
        let answer_tokens = metadata("answer")
            .unwrap_or(default_tokens)
            .min(limit.unwrap_or(u64::MAX))
            .clamp(1, MAX_ANSWER_TOKENS);
        let estimated_tokens = prompt_text.len() as u64 / CHARS_PER_TOKEN + continued_tokens as u64;
        let prompt_tokens = metadata("prompt")
            .unwrap_or(estimated_tokens)
            .clamp(1, MAX_PROMPT_TOKENS);
        AnswerRequest {
            prompt_tokens: prompt_tokens as u32,
            answer_tokens: answer_tokens as u32,
            session: metadata("session"),
            prefix: SharedPrefix {
                id: metadata("prefix").unwrap_or(0),
                tokens: metadata("prefix_tokens").unwrap_or(0) as u32,
            },
            prompt_text,
            continued_tokens,
        }
    }
}

/// An answer that is being streamed.
struct AnswerStream {
    request: AnswerRequest,
    key: AttemptKey,
    /// The id of the answer in its events.
    id: String,
    parts: mpsc::Receiver<AnswerPart>,
}

impl AnswerStream {
    fn event(&self, delta: &Value, finish_reason: Option<&str>) -> EncodedMessage {
        let event = json!({"id": self.id, "object": "chat.completion.chunk", "created": 1, "model": "lab",
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}]});
        EncodedMessage::Chunk(Bytes::from(format!("data: {event}\n\n")))
    }

    fn token_event(&self, number: u32, finish_reason: Option<&str>) -> EncodedMessage {
        let number = self.request.continued_tokens + number as usize;
        let content = answer_token(&self.request.prompt_text, number);
        self.event(&json!({"content": content}), finish_reason)
    }

    /// The usage event, the end marker, and the load report as a comment after it.
    fn usage_event(&self, cached_tokens: u32, load_report: &str) -> EncodedMessage {
        let prompt_tokens = self.request.prompt_tokens;
        let answer_tokens = self.request.answer_tokens;
        let usage = json!({"id": self.id, "object": "chat.completion.chunk", "created": 1, "model": "lab",
            "choices": [], "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": answer_tokens,
            "total_tokens": prompt_tokens + answer_tokens, "prompt_tokens_details": {"cached_tokens": cached_tokens}}});
        EncodedMessage::Chunk(Bytes::from(format!(
            "data: {usage}\n\ndata: [DONE]\n\n: Srv-Load: {load_report}\n\n"
        )))
    }
}

impl StubModelServer {
    /// Serves the requests of a connection one after the other. Returns `None` when the connection ends.
    pub(super) async fn serve(&self, stream: TcpStream) -> Option<()> {
        // An error is ignored: it only adds latency.
        let _ = stream.set_nodelay(true);
        let mut connection = Framed::new(stream, HttpCodec::new(Role::Server));
        loop {
            let head = read_head(&mut connection).await?;
            let body = read_body(&mut connection).await?;
            let StartLine::Request { target, .. } = &head.start_line else {
                return None;
            };
            match target.split('?').next() {
                Some("/v1/chat/completions") => {
                    let id = head.headers.get("Req-Id").unwrap_or_default();
                    self.record_arrival(Some(id.to_string()));
                    self.answer(&mut connection, &body).await?;
                }
                Some("/load") => {
                    self.record_arrival(None);
                    respond(&mut connection, 200, "", &self.load_report()).await?;
                }
                Some("/healthz") => respond(&mut connection, 200, "", "{}").await?,
                _ => respond(&mut connection, 404, "", "").await?,
            }
        }
    }

    fn record_arrival(&self, id: Option<String>) {
        if let Some(recorder) = &self.recorder {
            recorder.record_arrival(id);
        }
    }

    async fn answer(&self, connection: &mut Connection, body: &[u8]) -> Option<()> {
        if self.state.borrow().is_failing {
            return respond(connection, 500, "", "").await;
        }
        let request = AnswerRequest::parse(body);
        let Some(answer) = self.enqueue(request) else {
            let headers = format!("Srv-Declined: 1\r\nSrv-Load: {}\r\n", self.load_report());
            return respond(connection, 503, &headers, "").await;
        };
        self.changed.notify_one();
        self.stream_answer(connection, answer).await
    }

    /// Passes a request to the model. Returns `None` if the model's queue is full.
    fn enqueue(&self, request: AnswerRequest) -> Option<AnswerStream> {
        let capacity = request.answer_tokens as usize + EXTRA_PARTS;
        let (sender, parts) = mpsc::channel(capacity);
        let now = self.now();
        let state: &mut ServerState = &mut self.state.borrow_mut();
        let key = StubModelServer::next_key(state);
        let own_session = u64::MAX - key.request.0;
        let job = ServerJob {
            key,
            session: request.session.unwrap_or(own_session),
            prefix: request.prefix,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
        };
        if !state.model.enqueue(now, job) {
            return None;
        }
        let answer_sender = AnswerSender {
            parts: sender,
            sent_tokens: 0,
            answer_tokens: request.answer_tokens,
        };
        state.answers.insert(key, answer_sender);
        Some(AnswerStream {
            request,
            key,
            id: format!("lab-{}-{}", self.address.port(), key.request.0),
            parts,
        })
    }

    /// Streams an answer to its end. Returns `None` if the client disconnects or the answer is lost.
    async fn stream_answer(
        &self,
        connection: &mut Connection,
        mut answer: AnswerStream,
    ) -> Option<()> {
        let mut has_begun = false;
        loop {
            // Both branches are cancel-safe: neither the channel nor the decoder loses data when its future is dropped.
            // The connection is read only to detect that the client disconnects, which cancels the request.
            let part = tokio::select! {
                biased;
                part = answer.parts.recv() => part,
                received = connection.next() => {
                    if matches!(received, Some(Ok(_))) {
                        continue;
                    }
                    self.cancel(answer.key);
                    return None;
                }
            };
            if !has_begun {
                has_begun = true;
                let head = EncodedMessage::Raw(Bytes::from_static(STREAM_HEAD.as_bytes()));
                connection.feed(head).await.ok()?;
            }
            match part? {
                AnswerPart::Tokens(numbers) => {
                    for number in numbers {
                        let event = answer.token_event(number, None);
                        connection.feed(event).await.ok()?;
                    }
                }
                AnswerPart::End { cached_tokens } => {
                    let last = answer.request.answer_tokens - 1;
                    let last_event = answer.token_event(last, Some("stop"));
                    connection.feed(last_event).await.ok()?;
                    let usage = answer.usage_event(cached_tokens, &self.load_report());
                    connection.feed(usage).await.ok()?;
                    connection.send(EncodedMessage::EndOfChunks).await.ok()?;
                    return Some(());
                }
            }
            connection.flush().await.ok()?;
        }
    }
}

async fn read_head(connection: &mut Connection) -> Option<Box<Head>> {
    loop {
        if let MessagePart::Head(head) = connection.next().await?.ok()? {
            return Some(head);
        }
    }
}

/// Reads a body to its end. Returns `None` if it is too long or the connection fails.
async fn read_body(connection: &mut Connection) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match connection.next().await?.ok()? {
            MessagePart::Body(bytes) if body.len() + bytes.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&bytes);
            }
            MessagePart::End => return Some(body),
            _ => return None,
        }
    }
}

async fn respond(
    connection: &mut Connection,
    status: u16,
    headers: &str,
    body: &str,
) -> Option<()> {
    let response = format!(
        "HTTP/1.1 {status} Lab\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection
        .send(EncodedMessage::Raw(response.into()))
        .await
        .ok()
}
