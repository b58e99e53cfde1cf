//! Turns a request and a script into a plan: the pieces of the body to be sent, the pauses between them, and how the
//! connection ends. No sockets and no clock; `server::connection` carries plans out.

use crate::script::{AnswerPart, ReplyFault, ReplyScript};
use crate::tokens;
use serde_json::{json, Value};
use std::time::Duration;

/// How long a silent server keeps its connection open.
const SILENCE: Duration = Duration::from_secs(600);
const STATUS_OK: u16 = 200;

/// What an answer depends on in a request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The prompt, without the beginning of the answer.
    pub prompt: String,
    /// Tokens of the answer that the request has already.
    pub tokens_before: usize,
    /// Tokens of the whole answer.
    pub total_token_count: usize,
    /// Tokens that this answer may have at most.
    pub max_tokens: usize,
    /// Whether the stream is to report the usage.
    pub wants_usage: bool,
}

impl ChatRequest {
    /// Reads a request's body. A body that is not JSON counts as an empty prompt.
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

    /// Tokens of the answer to this request.
    fn token_count(&self) -> usize {
        self.total_token_count
            .saturating_sub(self.tokens_before)
            .min(self.max_tokens)
    }
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// Wait.
    Wait(Duration),
    /// Send these bytes of the body, chunk framing included.
    Send(Vec<u8>),
    /// Close the connection.
    Close {
        /// Whether by a reset instead of an orderly close.
        reset: bool,
    },
}

/// How a request is answered.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponsePlan {
    /// The status; a response with another one than 200 has no stream.
    pub status: u16,
    /// What follows the head.
    pub steps: Vec<PlanStep>,
    /// Tokens of the answer, if all of it is sent.
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

/// A piece of the body, and which part of the answer it is where a cut may come before it.
struct BodyPiece {
    part: Option<AnswerPart>,
    bytes: Vec<u8>,
}

/// Where the connection is cut within the bytes of the body.
#[derive(Clone, Copy)]
struct Cut {
    after_bytes: usize,
    reset: bool,
}

/// The plan of one answer. `id` is the answer's own, so that two answers can be told apart.
pub fn plan(
    request: &ChatRequest,
    id: &str,
    script: &ReplyScript,
    fault: Option<&ReplyFault>,
) -> ResponsePlan {
    match fault {
        Some(ReplyFault::Status(status)) => ResponsePlan::without_tokens(*status, Vec::new()),
        Some(ReplyFault::Silent) => {
            let steps = vec![PlanStep::Wait(SILENCE), PlanStep::Close { reset: false }];
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

/// The pieces of the body in order.
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
    let is_cut_short = request.tokens_before + token_count < request.total_token_count;
    let finish_reason = if is_cut_short { "length" } else { "stop" };
    add(
        Some(AnswerPart::Finish),
        text_event(id, &json!({}), Some(finish_reason)),
    );
    if request.wants_usage {
        add(Some(AnswerPart::Usage), usage_event(request, id));
    }
    add(Some(AnswerPart::Done), chunk("data: [DONE]\n\n"));
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
    let cut = cut_within_body(prompt, fault);
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

fn cut_within_body(prompt: &str, fault: Option<&ReplyFault>) -> Option<Cut> {
    match fault? {
        ReplyFault::CutAfterBytes { after, reset } => Some(Cut {
            after_bytes: *after,
            reset: *reset,
        }),
        ReplyFault::CutAtPromptOffset { reset } => Some(Cut {
            after_bytes: cut_in_prompt(prompt)?,
            reset: *reset,
        }),
        _ => None,
    }
}

/// The number after `cut=` in a prompt.
fn cut_in_prompt(prompt: &str) -> Option<usize> {
    let after_key = prompt.split("cut=").nth(1)?;
    let digits = after_key
        .split(|character: char| !character.is_ascii_digit())
        .next()?;
    digits.parse().ok()
}

fn wait_ms(ms: u64) -> PlanStep {
    PlanStep::Wait(Duration::from_millis(ms))
}

fn chunk(body: &str) -> Vec<u8> {
    format!("{:x}\r\n{body}\r\n", body.len()).into_bytes()
}

fn event(value: &Value) -> Vec<u8> {
    chunk(&format!("data: {value}\n\n"))
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
