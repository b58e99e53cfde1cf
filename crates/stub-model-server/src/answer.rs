//! A request and a script to a plan: pieces to be sent, each after a while, and how the connection ends.

#![expect(
    clippy::min_ident_chars,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::script::{Fault, Part, Script};
use crate::tokens;
use serde_json::{json, Value};
use std::time::Duration;

/// A request as far as an answer hangs on it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The prompt, without the answer so far.
    pub prompt: String,
    /// Tokens of the answer that the request holds already.
    pub done: usize,
    /// Tokens of the whole answer.
    pub whole: usize,
    /// Tokens that this answer may have.
    pub most: usize,
    /// Usage is wanted.
    pub usage: bool,
}

impl Ask {
    /// Reads a request's body; what is no JSON is an empty prompt.
    pub fn read(body: &[u8], script: &Script) -> Ask {
        let request: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (prompt, done) = tokens::prompt(&request);
        let limit = |key: &str| request[key].as_u64().map(|n| n as usize);
        let most = limit("max_tokens")
            .or(limit("max_completion_tokens"))
            .unwrap_or(usize::MAX);
        let usage = request["stream_options"]["include_usage"] == Value::Bool(true);
        Ask {
            prompt,
            done,
            whole: script.tokens,
            most,
            usage,
        }
    }
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Wait.
    Wait(Duration),
    /// Send these bytes of the body, chunk framing included.
    Send(Vec<u8>),
    /// Close, in order or by a reset.
    Close {
        /// By a reset.
        reset: bool,
    },
}

/// What is answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The status; another than 200 has no stream.
    pub status: u16,
    /// What follows the head.
    pub steps: Vec<Step>,
    /// Tokens in it, as far as all of it is sent.
    pub tokens: usize,
}

fn chunk(body: &str) -> Vec<u8> {
    format!("{:x}\r\n{body}\r\n", body.len()).into_bytes()
}

fn event(value: &Value) -> Vec<u8> {
    chunk(&format!("data: {value}\n\n"))
}

fn text_event(id: &str, delta: &Value, finish: Option<&str>) -> Vec<u8> {
    event(&json!({
        "id": id, "object": "chat.completion.chunk", "created": 1, "model": "stand-in",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }))
}

/// The plan of one answer. `id` is its own, so that two answers can be told apart.
pub fn plan(ask: &Ask, id: &str, script: &Script, fault: Option<&Fault>) -> Plan {
    if let Some(Fault::Status(status)) = fault {
        return Plan {
            status: *status,
            steps: Vec::new(),
            tokens: 0,
        };
    }
    if fault == Some(&Fault::Silent) {
        let steps = vec![
            Step::Wait(Duration::from_secs(600)),
            Step::Close { reset: false },
        ];
        return Plan {
            status: 200,
            steps,
            tokens: 0,
        };
    }
    let count = ask.whole.saturating_sub(ask.done).min(ask.most);
    let finish = if ask.done + count < ask.whole {
        "length"
    } else {
        "stop"
    };
    // Parts in order, each with the name of what it is where a cut may come before it.
    let mut parts: Vec<(Option<Part>, Vec<u8>)> = Vec::new();
    for n in 0..count {
        let content = tokens::token(&ask.prompt, ask.done + n);
        let delta = if n == 0 {
            json!({"role": "assistant", "content": content})
        } else {
            json!({"content": content})
        };
        parts.push((None, text_event(id, &delta, None)));
    }
    parts.push((Some(Part::Finish), text_event(id, &json!({}), Some(finish))));
    let prompt_tokens = ask.prompt.len() / tokens::TOKEN + ask.done;
    if ask.usage {
        let usage = json!({
            "id": id, "object": "chat.completion.chunk", "created": 1, "model": "stand-in", "choices": [],
            "usage": {"prompt_tokens": prompt_tokens, "completion_tokens": count,
                "total_tokens": prompt_tokens + count},
        });
        parts.push((Some(Part::Usage), event(&usage)));
    }
    parts.push((Some(Part::Done), chunk("data: [DONE]\n\n")));
    if fault == Some(&Fault::GoOn) {
        parts.push((None, text_event(id, &json!({"content": "more "}), None)));
    }
    parts.push((Some(Part::LastChunk), b"0\r\n\r\n".to_vec()));
    let gap = match fault {
        Some(Fault::Trickle(ms)) => *ms,
        _ => script.gap_ms,
    };
    let cut = match fault {
        Some(Fault::CutBytes { after, reset }) => Some((*after, *reset)),
        Some(Fault::CutNamed { reset }) => named(&ask.prompt).map(|after| (after, *reset)),
        _ => None,
    };
    let mut steps = vec![Step::Wait(Duration::from_millis(script.first_ms))];
    let mut sent = 0;
    for (n, (part, bytes)) in parts.into_iter().enumerate() {
        match fault {
            Some(Fault::Stall { after, ms }) if *after == n => {
                steps.push(Step::Wait(Duration::from_millis(*ms)));
            }
            Some(Fault::CutBefore { part: cut, reset }) if part == Some(*cut) => {
                steps.push(Step::Close { reset: *reset });
                break;
            }
            _ => {}
        }
        if let Some((after, reset)) = cut.filter(|c| sent + bytes.len() > c.0) {
            steps.push(Step::Send(bytes[..after - sent].to_vec()));
            steps.push(Step::Close { reset });
            break;
        }
        if n > 0 && gap > 0 && part != Some(Part::LastChunk) {
            steps.push(Step::Wait(Duration::from_millis(gap)));
        }
        sent += bytes.len();
        if fault == Some(&Fault::Repeat(n)) {
            steps.push(Step::Send(bytes.clone()));
        }
        steps.push(Step::Send(bytes));
    }
    Plan {
        status: 200,
        steps,
        tokens: count,
    }
}

/// The number behind `cut=` in a prompt.
fn named(prompt: &str) -> Option<usize> {
    let rest = prompt.split("cut=").nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit())
        .next()?
        .parse()
        .ok()
}
