//! One submission of a request by a client to a node, and the response.

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

/// The maximum number of idle connections kept for each node.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// A response is abandoned after this time without a byte.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);

pub(super) type ClientConnection = Framed<TcpStream, HttpCodec>;

/// The outcome of one submission for its client.
pub(super) enum SubmissionOutcome {
    Completed {
        first_token_at: Micros,
    },
    Broken {
        first_token_at: Micros,
    },
    Rejected {
        retry_after: Option<Duration>,
    },
    Failed,
    /// No head of a response arrived before the request's deadline.
    DeadlineExceeded,
}

impl SubmissionOutcome {
    /// The end of a request whose last submission this is.
    pub(super) fn end(&self) -> RequestEnd {
        match self {
            SubmissionOutcome::Completed { .. } => RequestEnd::Good,
            SubmissionOutcome::Broken { .. } => RequestEnd::Broken,
            SubmissionOutcome::Rejected { .. } => RequestEnd::Refused,
            SubmissionOutcome::Failed => RequestEnd::Failed,
            SubmissionOutcome::DeadlineExceeded => RequestEnd::Left,
        }
    }

    pub(super) fn first_token_at(&self) -> Option<Micros> {
        match self {
            SubmissionOutcome::Completed { first_token_at }
            | SubmissionOutcome::Broken { first_token_at } => Some(*first_token_at),
            SubmissionOutcome::Rejected { .. }
            | SubmissionOutcome::Failed
            | SubmissionOutcome::DeadlineExceeded => None,
        }
    }
}

/// A response whose head has been received.
struct ResponseStart {
    node: usize,
    connection: ClientConnection,
    head: Box<Head>,
}

/// The received part of a response's body.
struct ReceivedBody {
    bytes: Vec<u8>,
    first_byte_at: Option<Micros>,
    is_complete: bool,
}

impl LoadGenerator {
    /// Submits a request, which was due at `sent_at`, and reads the response.
    pub(super) async fn submit(
        &self,
        request: &ClientRequest,
        sent_at: Micros,
    ) -> SubmissionOutcome {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let prompt = format!("lab {id}");
        let delay_s = self.now().saturating_sub(sent_at) as f64 / 1e6;
        let deadline_s = self.run.class[request.class].deadline_s;
        let time_left_s = (deadline_s - delay_s).max(0.0);
        let message = self.encode_request(request, id, &prompt, time_left_s);
        let deadline = Instant::now() + Duration::from_secs_f64(time_left_s);
        let pending = self.await_response_head(message);
        let Ok(response) = tokio::time::timeout_at(deadline, pending).await else {
            return SubmissionOutcome::DeadlineExceeded;
        };
        let Some(mut response) = response else {
            return SubmissionOutcome::Failed;
        };
        let body = self.read_body(&mut response.connection).await;
        if body.is_complete && response.head.keeps_connection {
            self.keep_idle_connection(response.node, response.connection);
        }
        match response.head.start_line {
            StartLine::Status(200) => {}
            StartLine::Status(429 | 503) => {
                return SubmissionOutcome::Rejected {
                    retry_after: retry_after(&response.head),
                };
            }
            _ => return SubmissionOutcome::Failed,
        }
        let Some(first_token_at) = body.first_byte_at else {
            return SubmissionOutcome::Failed;
        };
        if !body.is_complete {
            return SubmissionOutcome::Broken { first_token_at };
        }
        self.check_answer(request, &prompt, &body.bytes);
        SubmissionOutcome::Completed { first_token_at }
    }

    /// Encodes the HTTP request.
    fn encode_request(
        &self,
        request: &ClientRequest,
        id: u64,
        prompt: &str,
        time_left_s: f64,
    ) -> String {
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

    /// Sends a request and waits for the head of the response. Returns `None` if the connection fails. Dropping the
    /// future closes the connection.
    async fn await_response_head(&self, message: String) -> Option<ResponseStart> {
        let (node, mut connection) = self.connect().await?;
        connection
            .send(EncodedMessage::Raw(message.into()))
            .await
            .ok()?;
        loop {
            if let MessagePart::Head(head) = connection.next().await?.ok()? {
                return Some(ResponseStart {
                    node,
                    connection,
                    head,
                });
            }
        }
    }

    /// Returns a connection to a random node that is up, an idle one if possible.
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
        // An error is ignored: it only adds latency.
        let _ = stream.set_nodelay(true);
        Some((node, Framed::new(stream, HttpCodec::new(Role::Client))))
    }

    fn keep_idle_connection(&self, node: usize, connection: ClientConnection) {
        let idle_connections = &mut self.idle_connections.borrow_mut()[node];
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(connection);
        }
    }

    /// Reads a body to its end, or until the connection fails or is idle for [`STREAM_TIMEOUT`].
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

    /// Checks the text of a complete response and counts its cached tokens. A text that differs from what the servers
    /// generate for this prompt is counted as a violated invariant.
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

/// The `Retry-After` of a rejection; `None` if it is missing or not valid.
fn retry_after(head: &Head) -> Option<Duration> {
    let text = head.headers.get("Retry-After")?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then(|| Duration::from_secs_f64(seconds))
}

/// The cached tokens that a response reports, or `None` if its text is not the expected one.
fn cached_tokens(body: &[u8], prompt: &str, answer_tokens: u32) -> Option<u64> {
    let stream = String::from_utf8_lossy(body);
    let mut received_text = String::new();
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
        received_text.push_str(content.unwrap_or_default());
        let reported = event["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
        cached_tokens = reported.or(cached_tokens);
    }
    let is_expected = received_text == answer_text(prompt, answer_tokens as usize);
    cached_tokens.filter(|_| is_expected)
}
