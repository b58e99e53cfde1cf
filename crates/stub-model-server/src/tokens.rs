//! Computes the text of an answer from the prompt alone, so all servers and all continuations produce the same text.

use serde_json::Value;

/// Length of a token in characters, including the trailing space.
pub const TOKEN_LENGTH: usize = 4;
/// Number of letters that tokens are composed of.
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

/// `TOKEN_LENGTH` bytes: letters that depend on the prompt and the index, and a space. The first index is 0.
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

/// Splits a request into its prompt and the number of tokens of the partial answer that it continues. If the request
/// asks to continue the last message and that message is from the assistant, the message is the partial answer and not
/// part of the prompt.
pub fn split_prompt(request: &Value) -> (String, usize) {
    let no_messages = Vec::new();
    let messages = request["messages"].as_array().unwrap_or(&no_messages);
    let is_continuation = request["continue_final_message"] == Value::Bool(true);
    let (partial_answer, prompt_messages) = match messages.split_last() {
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
    let tokens_before = partial_answer.map_or(0, |message| {
        message_text(message).chars().count() / TOKEN_LENGTH
    });
    (prompt, tokens_before)
}

fn message_text(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}
