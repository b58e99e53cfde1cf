//! Events of an OpenAI-compatible server, and a request that they answer.

#![allow(dead_code, reason = "each test file uses a part")]

use poppykeel_stream_recovery::Micros;
use serde_json::json;

pub const SECOND: Micros = 1_000_000;
pub const END_OF_STREAM: &str = "data: [DONE]\n\n";

pub fn text_event(id: &str, text: &str) -> String {
    let delta = json!({"role": "assistant", "content": text});
    let choices = json!([{"index": 0, "delta": delta, "finish_reason": null}]);
    format!(
        "data: {}\n\n",
        json!({"id": id, "model": id, "choices": choices})
    )
}

pub fn finish_event(id: &str) -> String {
    let choices = json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
    format!("data: {}\n\n", json!({"id": id, "choices": choices}))
}

pub fn usage_event(prompt: u64, answer: u64) -> String {
    let usage = json!({
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "total_tokens": prompt + answer,
    });
    format!(
        "data: {}\n\n",
        json!({"id": "x", "choices": [], "usage": usage})
    )
}

/// A request for a stream of at most nine tokens.
pub fn request_body() -> Vec<u8> {
    let messages = json!([{"role": "user", "content": "hi"}]);
    let request = json!({"stream": true, "max_tokens": 9, "messages": messages});
    request.to_string().into_bytes()
}
