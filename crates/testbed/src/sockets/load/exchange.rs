//! One try of a client: a request to a node, and its answer.

use super::LoadGenerator;
use crate::emulator::{ClientRequest, RequestEnd};
use crate::Micros;
use futures_util::{SinkExt, StreamExt};
use poppykeel::protocol::http::{EncodedMessage, Head, HttpCodec, MessagePart, Role, StartLine};
use poppykeel_stub_model_server::answer_text;
use rand::RngExt;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Idle connections kept to each node.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// An answer that has begun is given up after this time without a byte.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection to a node.
pub(super) type ClientConnection = Framed<TcpStream, HttpCodec>;

/// How one try ended for its client.
pub(super) enum TryOutcome {
    Completed { first_token_at: Micros },
    Broken { first_token_at: Micros },
    Rejected { retry_after: Option<Duration> },
    Failed,
    Left,
}

impl TryOutcome {
    /// How a request ends whose last try this is.
    pub(super) fn end(&self) -> RequestEnd {
        match self {
            TryOutcome::Completed { .. } => RequestEnd::Good,
            TryOutcome::Broken { .. } => RequestEnd::Broken,
            TryOutcome::Rejected { .. } => RequestEnd::Refused,
            TryOutcome::Failed => RequestEnd::Failed,
            TryOutcome::Left => RequestEnd::Left,
        }
    }

    pub(super) fn first_token_at(&self) -> Option<Micros> {
        match self {
            TryOutcome::Completed { first_token_at } | TryOutcome::Broken { first_token_at } => {
                Some(*first_token_at)
            }
            TryOutcome::Rejected { .. } | TryOutcome::Failed | TryOutcome::Left => None,
        }
    }
}

/// A request that has been sent, with the head of its answer.
struct BegunAnswer {
    node: usize,
    connection: ClientConnection,
    head: Box<Head>,
}

/// The body of an answer as far as it was received.
struct ReceivedBody {
    bytes: Vec<u8>,
    first_byte_at: Option<Micros>,
    is_complete: bool,
}

impl LoadGenerator {
    /// Sends one try, which was to be sent at `sent_at`, and reads its answer.
    pub(super) async fn send_try(&self, request: &ClientRequest, sent_at: Micros) -> TryOutcome {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let prompt = format!("lab {id}");
        let late_s = self.now().saturating_sub(sent_at) as f64 / 1e6;
        let deadline_s = self.run.class[request.class].deadline_s;
        let time_left_s = (deadline_s - late_s).max(0.0);
        let message = self.message(request, id, &prompt, time_left_s);
        let deadline = Instant::now() + Duration::from_secs_f64(time_left_s);
        let beginning = self.begin_answer(message);
        let Ok(begun) = tokio::time::timeout_at(deadline, beginning).await else {
            return TryOutcome::Left;
        };
        let Some(mut begun) = begun else {
            return TryOutcome::Failed;
        };
        let body = self.read_body(&mut begun.connection).await;
        if body.is_complete && begun.head.keeps_connection {
            self.keep_connection(begun.node, begun.connection);
        }
        match begun.head.start_line {
            StartLine::Status(200) => {}
            StartLine::Status(429 | 503) => {
                return TryOutcome::Rejected {
                    retry_after: retry_after(&begun.head),
                };
            }
            _ => return TryOutcome::Failed,
        }
        let Some(first_token_at) = body.first_byte_at else {
            return TryOutcome::Failed;
        };
        if !body.is_complete {
            return TryOutcome::Broken { first_token_at };
        }
        self.check_answer(request, &prompt, &body.bytes);
        TryOutcome::Completed { first_token_at }
    }

    /// The request as bytes.
    fn message(&self, request: &ClientRequest, id: u64, prompt: &str, time_left_s: f64) -> String {
        let class = &self.run.class[request.class];
        let body = json!({
            "model": "lab", "stream": true, "max_tokens": class.answer_limit,
            "messages": [{"role": "user", "content": prompt}],
            "metadata": {"answer": request.answer_tokens.to_string(), "prompt": request.prompt_tokens.to_string(),
                "session": request.session.to_string(), "prefix": request.prefix.id.to_string(),
                "prefix_tokens": request.prefix.tokens.to_string()},
        })
        .to_string();
        let prefix = request.prefix;
        let prefix_fields = if prefix.id == 0 || prefix.tokens == 0 {
            String::new()
        } else {
            format!("prefix={:016x},prefix_len={},", prefix.id, prefix.tokens)
        };
        let retry_header = if request.submission_count > 1 {
            "Req-Retry: 1\r\n"
        } else {
            ""
        };
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nReq-Id: {id:016x}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
             Req-Key: {:016x}\r\nReq-Deadline: {time_left_s:.3}\r\nReq-Extra: {prefix_fields}prompt_len={},max_out={}\r\n\
             {retry_header}Content-Length: {}\r\n\r\n{body}",
            class.name,
            self.run.tenant[request.tenant].name,
            request.session,
            request.prompt_tokens,
            class.answer_limit,
            body.len()
        )
    }

    /// Sends a request and waits for the head of its answer. `None` where the connection fails. Dropping this closes the
    /// connection.
    async fn begin_answer(&self, message: String) -> Option<BegunAnswer> {
        let (node, mut connection) = self.connect().await?;
        connection
            .send(EncodedMessage::Raw(message.into()))
            .await
            .ok()?;
        loop {
            if let MessagePart::Head(head) = connection.next().await?.ok()? {
                return Some(BegunAnswer {
                    node,
                    connection,
                    head,
                });
            }
        }
    }

    /// Connects to a random node that is up, over an idle connection where there is one.
    async fn connect(&self) -> Option<(usize, ClientConnection)> {
        let nodes_up = self.fleet.nodes_up();
        if nodes_up.is_empty() {
            return None;
        }
        let node = nodes_up[self.rng.borrow_mut().random_range(0..nodes_up.len())];
        if let Some(connection) = self.idle_connections.borrow_mut()[node].pop() {
            return Some((node, connection));
        }
        let address = self.fleet.node_addresses()[node];
        let stream = TcpStream::connect(address).await.ok()?;
        // It works without it, too, only later.
        let _ = stream.set_nodelay(true);
        Some((node, Framed::new(stream, HttpCodec::new(Role::Client))))
    }

    fn keep_connection(&self, node: usize, connection: ClientConnection) {
        let idle_connections = &mut self.idle_connections.borrow_mut()[node];
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(connection);
        }
    }

    /// Reads a body to its end, or until the connection fails or sends nothing for too long.
    async fn read_body(&self, connection: &mut ClientConnection) -> ReceivedBody {
        let mut body = ReceivedBody {
            bytes: Vec::new(),
            first_byte_at: None,
            is_complete: false,
        };
        loop {
            match tokio::time::timeout(STREAM_TIMEOUT, connection.next()).await {
                Ok(Some(Ok(MessagePart::Body(bytes)))) => {
                    body.first_byte_at.get_or_insert_with(|| self.now());
                    body.bytes.extend_from_slice(&bytes);
                }
                Ok(Some(Ok(MessagePart::Head(_)))) => {}
                Ok(Some(Ok(MessagePart::End))) => {
                    body.is_complete = true;
                    return body;
                }
                _ => return body,
            }
        }
    }

    /// Counts the cached tokens of a complete answer. One whose text is not what the server writes for this prompt
    /// violates a rule.
    fn check_answer(&self, request: &ClientRequest, prompt: &str, body: &[u8]) {
        let mut recorder = self.recorder.borrow_mut();
        let outcome = recorder.outcome_mut();
        match cached_tokens(body, prompt, request.answer_tokens) {
            Some(cached_tokens) => {
                outcome.prompt.total += u64::from(request.prompt_tokens);
                outcome.prompt.cached += cached_tokens;
            }
            None => outcome.broken.doubled += 1,
        }
    }
}

/// The advice of a rejection; `None` where there is none that holds.
fn retry_after(head: &Head) -> Option<Duration> {
    let text = head.headers.get("Retry-After")?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then(|| Duration::from_secs_f64(seconds))
}

/// The cached tokens that an answer states, if its text is the right one.
fn cached_tokens(body: &[u8], prompt: &str, answer_tokens: u32) -> Option<u64> {
    let stream = String::from_utf8_lossy(body);
    let mut written = String::new();
    let mut cached_tokens = None;
    for event in stream.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            continue;
        }
        let event: Value = serde_json::from_str(data).ok()?;
        let content = event["choices"][0]["delta"]["content"].as_str();
        written.push_str(content.unwrap_or_default());
        let stated = event["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
        cached_tokens = stated.or(cached_tokens);
    }
    let is_right = written == answer_text(prompt, answer_tokens as usize);
    cached_tokens.filter(|_| is_right)
}
