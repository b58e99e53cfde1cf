//! Builders for events of an OpenAI-compatible server and for a matching request.

#![allow(dead_code, reason = "each test file uses only some of these items")]

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

pub fn usage_event(prompt_tokens: u64, completion_tokens: u64) -> String {
    let usage = json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    });
    format!(
        "data: {}\n\n",
        json!({"id": "x", "choices": [], "usage": usage})
    )
}

/// A streaming request limited to nine tokens.
pub fn request_body() -> Vec<u8> {
    let messages = json!([{"role": "user", "content": "hi"}]);
    let request = json!({"stream": true, "max_tokens": 9, "messages": messages});
    request.to_string().into_bytes()
}
