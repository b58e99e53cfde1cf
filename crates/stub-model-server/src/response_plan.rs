//! Builds the plan of a response from a request and a script: the pieces of the body, the pauses between them and how
//! the connection ends. Uses no sockets and no clock; `server::connection` executes plans.

use crate::script::{AnswerPart, ReplyFault, ReplyScript};
use crate::tokens;
use serde_json::{json, Value};
use std::time::Duration;

/// How long a connection stays open without a response under [`ReplyFault::Silent`].
const SILENT_CONNECTION_DURATION: Duration = Duration::from_secs(600);
const STATUS_OK: u16 = 200;

/// The parts of a request that determine the response.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The prompt, without the partial answer that the request continues.
    pub prompt: String,
    /// Number of tokens in the partial answer that the request continues.
    pub tokens_before: usize,
    /// Number of tokens of the complete answer.
    pub total_token_count: usize,
    /// Maximum number of tokens in this response.
    pub max_tokens: usize,
    /// Whether the request asks for the usage.
    pub wants_usage: bool,
}

impl ChatRequest {
    /// Parses the body of a request. A body that is not JSON is treated as an empty prompt.
    pub fn parse(body: &[u8], script: &ReplyScript) -> ChatRequest {
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (prompt, tokens_before) = tokens::split_prompt(&request);
        let limit = |key: &str| request[key].as_u64().map(|limit| limit as usize);
        let max_tokens = limit("max_tokens")
            .or(limit("max_completion_tokens"))
            .unwrap_or(usize::MAX);
        let wants_usage = request["stream_options"]["include_usage"] == Value::Bool(true);
        ChatRequest {
            prompt,
            tokens_before,
            total_token_count: script.token_count,
            max_tokens,
            wants_usage,
        }
    }

    /// Number of tokens in the response to this request.
    fn token_count(&self) -> usize {
        self.total_token_count
            .saturating_sub(self.tokens_before)
            .min(self.max_tokens)
    }
}

/// Executed by the server in the order of the plan; the first `Send` writes the head too.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// Send nothing for this duration.
    Wait(Duration),
    /// Send these bytes of the body, chunk framing included.
    Send(Vec<u8>),
    /// Close the connection.
    Close {
        /// Whether to reset the connection instead of closing it in an orderly way.
        reset: bool,
    },
}

/// How a server answers one request, including the faults that it injects.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponsePlan {
    /// The HTTP status. Responses with a status other than 200 have no stream.
    pub status: u16,
    /// The steps after the head.
    pub steps: Vec<PlanStep>,
    /// Number of tokens of the response if the connection is not cut.
    pub token_count: usize,
}

impl ResponsePlan {
    fn without_tokens(status: u16, steps: Vec<PlanStep>) -> ResponsePlan {
        ResponsePlan {
            status,
            steps,
            token_count: 0,
        }
    }
}

/// A piece of the body. `part` is set if the connection can be cut before this piece.
struct BodyPiece {
    part: Option<AnswerPart>,
    bytes: Vec<u8>,
}

/// Offset in the body at which the connection is cut.
#[derive(Clone, Copy)]
struct Cut {
    after_bytes: usize,
    reset: bool,
}

/// Builds the plan of one response. `id` is the response id, which differs between the responses of several servers to
/// one client request; `fault` is the fault to inject, `None` for none.
pub fn plan_response(
    request: &ChatRequest,
    id: &str,
    script: &ReplyScript,
    fault: Option<&ReplyFault>,
) -> ResponsePlan {
    match fault {
        Some(ReplyFault::Status(status)) => ResponsePlan::without_tokens(*status, Vec::new()),
        Some(ReplyFault::Silent) => {
            let steps = vec![
                PlanStep::Wait(SILENT_CONNECTION_DURATION),
                PlanStep::Close { reset: false },
            ];
            ResponsePlan::without_tokens(STATUS_OK, steps)
        }
        _ => {
            let pieces = body_pieces(request, id, fault);
            ResponsePlan {
                status: STATUS_OK,
                steps: steps_for(pieces, &request.prompt, script, fault),
                token_count: request.token_count(),
            }
        }
    }
}

fn body_pieces(request: &ChatRequest, id: &str, fault: Option<&ReplyFault>) -> Vec<BodyPiece> {
    let mut pieces = Vec::new();
    let mut add = |part, bytes| pieces.push(BodyPiece { part, bytes });
    let token_count = request.token_count();
    for index in 0..token_count {
        let content = tokens::answer_token(&request.prompt, request.tokens_before + index);
        let delta = if index == 0 {
            json!({"role": "assistant", "content": content})
        } else {
            json!({"content": content})
        };
        add(None, text_event(id, &delta, None));
    }
    let is_limited = request.tokens_before + token_count < request.total_token_count;
    let finish_reason = if is_limited { "length" } else { "stop" };
    add(
        Some(AnswerPart::Finish),
        text_event(id, &json!({}), Some(finish_reason)),
    );
    if request.wants_usage {
        add(Some(AnswerPart::Usage), usage_event(request, id));
    }
    add(Some(AnswerPart::Done), http_chunk("data: [DONE]\n\n"));
    if fault == Some(&ReplyFault::EventsAfterEnd) {
        add(None, text_event(id, &json!({"content": "more "}), None));
    }
    add(Some(AnswerPart::LastChunk), b"0\r\n\r\n".to_vec());
    pieces
}

/// The steps that send the pieces, with the script's pauses and the fault.
fn steps_for(
    pieces: Vec<BodyPiece>,
    prompt: &str,
    script: &ReplyScript,
    fault: Option<&ReplyFault>,
) -> Vec<PlanStep> {
    let token_gap_ms = match fault {
        Some(ReplyFault::SlowTokens(gap_ms)) => *gap_ms,
        _ => script.token_gap_ms,
    };
    let cut = cut_in_body(prompt, fault);
    let mut steps = vec![wait_ms(script.first_token_ms)];
    let mut sent_bytes = 0;
    for (index, BodyPiece { part, bytes }) in pieces.into_iter().enumerate() {
        match fault {
            Some(ReplyFault::Stall { after, ms }) if *after == index => steps.push(wait_ms(*ms)),
            Some(ReplyFault::CutBefore { part: cut, reset }) if part == Some(*cut) => {
                steps.push(PlanStep::Close { reset: *reset });
                break;
            }
            _ => {}
        }
        if let Some(cut) = cut.filter(|cut| sent_bytes + bytes.len() > cut.after_bytes) {
            steps.push(PlanStep::Send(
                bytes[..cut.after_bytes - sent_bytes].to_vec(),
            ));
            steps.push(PlanStep::Close { reset: cut.reset });
            break;
        }
        if index > 0 && token_gap_ms > 0 && part != Some(AnswerPart::LastChunk) {
            steps.push(wait_ms(token_gap_ms));
        }
        sent_bytes += bytes.len();
        if fault == Some(&ReplyFault::RepeatEvent(index)) {
            steps.push(PlanStep::Send(bytes.clone()));
        }
        steps.push(PlanStep::Send(bytes));
    }
    steps
}

fn cut_in_body(prompt: &str, fault: Option<&ReplyFault>) -> Option<Cut> {
    match fault? {
        ReplyFault::CutAfterBytes { after, reset } => Some(Cut {
            after_bytes: *after,
            reset: *reset,
        }),
        ReplyFault::CutAtPromptOffset { reset } => Some(Cut {
            after_bytes: cut_offset_in_prompt(prompt)?,
            reset: *reset,
        }),
        _ => None,
    }
}

/// The number after `cut=` in a prompt; `None` if there is none.
fn cut_offset_in_prompt(prompt: &str) -> Option<usize> {
    let after_key = prompt.split("cut=").nth(1)?;
    let digits = after_key
        .split(|character: char| !character.is_ascii_digit())
        .next()?;
    digits.parse().ok()
}

fn wait_ms(ms: u64) -> PlanStep {
    PlanStep::Wait(Duration::from_millis(ms))
}

fn http_chunk(body: &str) -> Vec<u8> {
    format!("{:x}\r\n{body}\r\n", body.len()).into_bytes()
}

fn event(value: &Value) -> Vec<u8> {
    http_chunk(&format!("data: {value}\n\n"))
}

fn text_event(id: &str, delta: &Value, finish_reason: Option<&str>) -> Vec<u8> {
    event(&json!({
        "id": id, "object": "chat.completion.chunk", "created": 1, "model": "stand-in",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }))
}

fn usage_event(request: &ChatRequest, id: &str) -> Vec<u8> {
    let prompt_tokens = request.prompt.len() / tokens::TOKEN_LENGTH + request.tokens_before;
    let completion_tokens = request.token_count();
    event(&json!({
        "id": id, "object": "chat.completion.chunk", "created": 1, "model": "stand-in", "choices": [],
        "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens},
    }))
}
