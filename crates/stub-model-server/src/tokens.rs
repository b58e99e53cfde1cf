//! The text of an answer, computed from the prompt alone: every server gives the same text, and so does a continuation.

use serde_json::Value;

/// Characters of one token, its space included.
pub const TOKEN_LENGTH: usize = 4;
/// Letters that a token is made of.
const LETTER_COUNT: u64 = 26;
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The finalizer of `SplitMix64`.
fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The 64-bit FNV-1a hash of a text.
fn hash_text(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The token of this index of the answer to a prompt.
pub fn answer_token(prompt: &str, index: usize) -> String {
    let mut bits = mix_bits(hash_text(prompt) ^ mix_bits(index as u64 + 1));
    let mut token = String::with_capacity(TOKEN_LENGTH);
    for _ in 1..TOKEN_LENGTH {
        token.push(char::from(b'a' + (bits % LETTER_COUNT) as u8));
        bits /= LETTER_COUNT;
    }
    token.push(' ');
    token
}

/// The first `count` tokens of the answer to a prompt.
pub fn answer_text(prompt: &str, count: usize) -> String {
    (0..count)
        .map(|index| answer_token(prompt, index))
        .collect()
}

/// The prompt of a request, and how many tokens of its answer the request has already. Where the last message is the
/// assistant's and is to be continued, it is the beginning of the answer and not a part of the prompt.
pub fn split_prompt(request: &Value) -> (String, usize) {
    let no_messages = Vec::new();
    let messages = request["messages"].as_array().unwrap_or(&no_messages);
    let is_continuation = request["continue_final_message"] == Value::Bool(true);
    let (begun_answer, prompt_messages) = match messages.split_last() {
        Some((last, before)) if is_continuation && last["role"] == "assistant" => {
            (Some(last), before)
        }
        _ => (None, &messages[..]),
    };
    let prompt = prompt_messages
        .iter()
        .map(message_text)
        .collect::<Vec<_>>()
        .join("\n");
    let tokens_before = begun_answer.map_or(0, |message| {
        message_text(message).chars().count() / TOKEN_LENGTH
    });
    (prompt, tokens_before)
}

fn message_text(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}
