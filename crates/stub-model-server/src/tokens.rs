//! An answer's text, made from the prompt alone: any server gives the same, and so does a continuation.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use serde_json::Value;

/// Characters of one token, its space counted.
pub const TOKEN: usize = 4;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The token of this number of the answer to a prompt.
pub fn token(prompt: &str, number: usize) -> String {
    let seed = prompt.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    let mut bits = mix(seed ^ mix(number as u64 + 1));
    let mut out = String::with_capacity(TOKEN);
    for _ in 1..TOKEN {
        out.push(char::from(b'a' + (bits % 26) as u8));
        bits /= 26;
    }
    out.push(' ');
    out
}

/// The first `count` tokens of the answer to a prompt.
pub fn text(prompt: &str, count: usize) -> String {
    (0..count).map(|n| token(prompt, n)).collect()
}

/// The prompt of a request, and how many tokens of its answer it holds already: where the last message is an
/// assistant's and is to be continued, the answer goes on after it.
pub fn prompt(request: &Value) -> (String, usize) {
    let empty = Vec::new();
    let messages = request["messages"].as_array().unwrap_or(&empty);
    let goes_on = request["continue_final_message"] == Value::Bool(true);
    let (last, before) = match messages.split_last() {
        Some((last, before)) if goes_on && last["role"] == "assistant" => (Some(last), before),
        _ => (None, &messages[..]),
    };
    let content = |m: &Value| m["content"].as_str().unwrap_or_default().to_string();
    let prompt = before.iter().map(content).collect::<Vec<_>>().join("\n");
    let done = last.map_or(0, |m| content(m).chars().count() / TOKEN);
    (prompt, done)
}
