//! What has been forwarded to one client, and how the streams of several replicas become one coherent stream.
//!
//! The form is that of published OpenAI-compatible servers: `data:` events with a `chat.completion.chunk` each, an event
//! with the finish reason, one with the usage where that was asked for, and `[DONE]`.
//!
//! Replicas are numbered by epochs: only the one of the present epoch may write. Its events pass unchanged if it is the
//! first; those of later ones are rewritten so that they carry on what the first began.

use crate::sse::{event_data, event_length};
use serde_json::{json, Map, Value};

/// The longest event, in bytes; a longer one is no event.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// The longest text that is continued, in bytes.
const MAX_TEXT_BYTES: usize = 128 * 1024;
/// The data of the event that ends a stream.
const END_OF_STREAM: &str = "[DONE]";
/// The keys of a request that limit the tokens of its answer.
const TOKEN_LIMIT_KEYS: [&str; 2] = ["max_tokens", "max_completion_tokens"];
/// The keys of the first chunk that all later ones repeat.
const IDENTITY_KEYS: [&str; 3] = ["id", "created", "model"];

/// How far a stream has come for its client. The order is that of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamProgress {
    /// Within the text.
    Text,
    /// The finish reason has been forwarded: the text is complete.
    FinishReason,
    /// The usage has been forwarded, too.
    Usage,
    /// `[DONE]` has been forwarded.
    Done,
}

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContinuationObstacle {
    /// An event exceeds the limit of bytes.
    #[error("an event is longer than may be")]
    EventTooLong,
    /// An event's data is not JSON.
    #[error("an event is not a chunk of text")]
    NotAChunk,
    /// The replica has sent an error.
    #[error("the answer holds an error")]
    ErrorInAnswer,
    /// The answer has more than one choice.
    #[error("there are several choices")]
    SeveralChoices,
    /// A tool call has begun.
    #[error("a tool is being called")]
    ToolCall,
    /// Probabilities of tokens were asked for.
    #[error("there are probabilities of tokens")]
    LogProbabilities,
    /// The text exceeds the limit of bytes.
    #[error("the text is too long")]
    TextTooLong,
    /// The request's body is not JSON.
    #[error("the request is not JSON")]
    RequestNotJson,
    /// The request asks for an answer in one piece.
    #[error("the request did not ask for a stream")]
    RequestNotStreaming,
    /// The request asks for more than one choice.
    #[error("several choices were asked for")]
    SeveralChoicesRequested,
    /// The request has no list of messages.
    #[error("the request has no messages")]
    RequestWithoutMessages,
    /// The request's last message is the assistant's.
    #[error("the request itself continues an answer")]
    RequestContinuesAnswer,
    /// The request for the rest is no JSON text.
    #[error("the request cannot be written")]
    RequestNotWritable,
}

/// What became of bytes of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardedBytes {
    /// Bytes for the client: whole events.
    pub bytes: Vec<u8>,
    /// The number of events in them.
    pub event_count: usize,
    /// Bytes of a replica that may no longer write, dropped.
    pub dropped_bytes: usize,
}

/// The transcript of one client's stream.
#[derive(Clone, Debug)]
pub struct StreamTranscript {
    /// Which replica may write: each continuation has the next number.
    epoch: u64,
    /// Bytes of an event that is not complete yet.
    partial_event: Vec<u8>,
    text: String,
    /// Each event with text counts as one token.
    token_count: u64,
    progress: StreamProgress,
    /// The values of [`IDENTITY_KEYS`] in the first chunk.
    identity: Option<[Value; 3]>,
    obstacle: Option<ContinuationObstacle>,
    dropped_bytes: u64,
    /// Tokens that replicas before the present one wrote.
    tokens_before_epoch: u64,
    /// Its events are chunks of text: others cannot be judged.
    has_chunks: bool,
}

impl Default for StreamTranscript {
    fn default() -> Self {
        StreamTranscript {
            epoch: 0,
            partial_event: Vec::new(),
            text: String::new(),
            token_count: 0,
            progress: StreamProgress::Text,
            identity: None,
            obstacle: None,
            dropped_bytes: 0,
            tokens_before_epoch: 0,
            has_chunks: false,
        }
    }
}

impl StreamTranscript {
    /// The number of the replica that may write.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Tokens forwarded so far: each event with text counts as one.
    pub fn token_count(&self) -> u64 {
        self.token_count
    }

    /// The text forwarded so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// How far the stream has come.
    pub fn progress(&self) -> StreamProgress {
        self.progress
    }

    /// Why the stream cannot be continued, where that is so.
    pub fn obstacle(&self) -> Option<ContinuationObstacle> {
        self.obstacle
    }

    /// Bytes dropped so far because their replica could no longer write.
    pub fn dropped_bytes(&self) -> u64 {
        self.dropped_bytes
    }

    /// Whether its events are chunks of text at all; what else a replica streams cannot be judged.
    pub fn has_chunks(&self) -> bool {
        self.has_chunks
    }

    /// Takes what is left of an event that was never completed.
    pub fn take_partial_event(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial_event)
    }

    /// From now on only the next replica may write; what is left of an event of the last one is dropped. Returns the new
    /// epoch.
    pub fn begin_epoch(&mut self) -> u64 {
        self.dropped_bytes += self.partial_event.len() as u64;
        self.partial_event.clear();
        self.tokens_before_epoch = self.token_count;
        self.epoch += 1;
        self.epoch
    }

    /// Takes bytes of a replica's body, and returns what of them goes to the client now: whole events.
    pub fn forward(&mut self, epoch: u64, bytes: &[u8]) -> ForwardedBytes {
        let mut forwarded = ForwardedBytes::default();
        if epoch != self.epoch || self.progress == StreamProgress::Done {
            self.drop_bytes(bytes.len(), &mut forwarded);
            return forwarded;
        }
        self.partial_event.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = event_length(&self.partial_event[start..]) {
            let event = self.partial_event[start..start + length].to_vec();
            start += length;
            if self.progress == StreamProgress::Done {
                // Nothing after the end belongs to this answer.
                self.drop_bytes(length, &mut forwarded);
                continue;
            }
            forwarded.event_count += 1;
            self.forward_event(&event, &mut forwarded.bytes);
        }
        self.partial_event.drain(..start);
        if self.partial_event.len() > MAX_EVENT_BYTES {
            self.obstacle
                .get_or_insert(ContinuationObstacle::EventTooLong);
        }
        forwarded
    }

    fn drop_bytes(&mut self, count: usize, forwarded: &mut ForwardedBytes) {
        forwarded.dropped_bytes += count;
        self.dropped_bytes += count as u64;
    }

    fn forward_event(&mut self, event: &[u8], output: &mut Vec<u8>) {
        let data = event_data(event);
        if data == END_OF_STREAM {
            self.progress = StreamProgress::Done;
            output.extend_from_slice(event);
            return;
        }
        let Ok(mut chunk) = serde_json::from_str::<Value>(&data) else {
            if !data.is_empty() {
                self.obstacle.get_or_insert(ContinuationObstacle::NotAChunk);
            }
            output.extend_from_slice(event);
            return;
        };
        self.record_chunk(&chunk);
        if self.epoch == 0 {
            output.extend_from_slice(event);
            return;
        }
        self.rewrite_chunk(&mut chunk);
        if !is_empty_chunk(&chunk) {
            output.extend_from_slice(format!("data: {chunk}\n\n").as_bytes());
        }
    }

    fn record_chunk(&mut self, chunk: &Value) {
        let identity = || IDENTITY_KEYS.map(|key| chunk[key].clone());
        self.identity.get_or_insert_with(identity);
        if chunk.get("error").is_some() {
            self.obstacle
                .get_or_insert(ContinuationObstacle::ErrorInAnswer);
        }
        self.has_chunks |= chunk["choices"].is_array();
        for choice in chunk["choices"].as_array().into_iter().flatten() {
            self.record_choice(choice);
        }
        if !chunk["usage"].is_null() {
            self.progress = self.progress.max(StreamProgress::Usage);
        }
        if self.text.len() > MAX_TEXT_BYTES {
            self.obstacle
                .get_or_insert(ContinuationObstacle::TextTooLong);
        }
    }

    fn record_choice(&mut self, choice: &Value) {
        let delta = &choice["delta"];
        if choice["index"].as_u64().unwrap_or(0) != 0 {
            self.obstacle
                .get_or_insert(ContinuationObstacle::SeveralChoices);
        }
        if !delta["tool_calls"].is_null() || !delta["function_call"].is_null() {
            self.obstacle.get_or_insert(ContinuationObstacle::ToolCall);
        }
        if !choice["logprobs"].is_null() {
            self.obstacle
                .get_or_insert(ContinuationObstacle::LogProbabilities);
        }
        let text = delta["content"].as_str().filter(|text| !text.is_empty());
        if let Some(text) = text {
            self.text.push_str(text);
            self.token_count += 1;
        }
        if !choice["finish_reason"].is_null() {
            self.progress = self.progress.max(StreamProgress::FinishReason);
        }
    }

    /// Makes a chunk of a later replica one of the answer that the first replica began.
    fn rewrite_chunk(&self, chunk: &mut Value) {
        if let Some(identity) = &self.identity {
            for (key, value) in IDENTITY_KEYS.into_iter().zip(identity) {
                if !value.is_null() {
                    chunk[key] = value.clone();
                }
            }
        }
        for choice in chunk["choices"].as_array_mut().into_iter().flatten() {
            if let Some(delta) = choice["delta"].as_object_mut() {
                remove_opening(delta);
            }
        }
        if let Some(usage) = chunk["usage"].as_object_mut() {
            self.rewrite_usage(usage);
        }
    }

    /// The answer so far was read as a part of the prompt there, and is a part of the answer here.
    fn rewrite_usage(&self, usage: &mut Map<String, Value>) {
        let number = |key: &str| usage.get(key).and_then(Value::as_u64);
        let prompt = number("prompt_tokens");
        let answer = number("completion_tokens");
        if let (Some(prompt), Some(answer)) = (prompt, answer) {
            let prompt = prompt.saturating_sub(self.tokens_before_epoch);
            let answer = answer + self.tokens_before_epoch;
            usage.insert("prompt_tokens".into(), json!(prompt));
            usage.insert("completion_tokens".into(), json!(answer));
            usage.insert("total_tokens".into(), json!(prompt + answer));
        }
    }

    /// Whether all of the text has been forwarded: its finish reason has, or as many tokens as the request allows.
    pub fn is_text_complete(&self, request_body: &[u8]) -> bool {
        self.obstacle.is_none()
            && (self.progress >= StreamProgress::FinishReason
                || (self.token_count > 0 && self.is_token_limit_reached(request_body)))
    }

    /// Each event with text holds one token or more, so no less than the limit has been forwarded, and no replica may
    /// write more than that.
    fn is_token_limit_reached(&self, request_body: &[u8]) -> bool {
        let Ok(request) = serde_json::from_slice::<Value>(request_body) else {
            return false;
        };
        let limits = TOKEN_LIMIT_KEYS
            .into_iter()
            .filter_map(|key| request[key].as_u64());
        limits.into_iter().any(|limit| self.token_count >= limit)
    }

    /// The framing that a complete text lacks. A count of tokens is not made up.
    pub fn closing_events(&self) -> Vec<u8> {
        let mut events = String::new();
        if self.progress == StreamProgress::Text {
            let choices = json!([{"index": 0, "delta": {}, "finish_reason": "length"}]);
            let mut chunk = json!({"object": "chat.completion.chunk", "choices": choices});
            self.rewrite_chunk(&mut chunk);
            events = format!("data: {chunk}\n\n");
        }
        if self.progress < StreamProgress::Done {
            events.push_str("data: [DONE]\n\n");
        }
        events.into_bytes()
    }

    /// The body of the request for the rest: the prompt with the answer so far as the beginning of the assistant's message,
    /// and the token limit less what has been forwarded.
    ///
    /// # Errors
    /// Says why there can be none.
    pub fn continuation_request(
        &self,
        request_body: &[u8],
    ) -> Result<Vec<u8>, ContinuationObstacle> {
        if let Some(obstacle) = self.obstacle {
            return Err(obstacle);
        }
        let mut request: Value = serde_json::from_slice(request_body)
            .map_err(|_| ContinuationObstacle::RequestNotJson)?;
        if request["stream"] != json!(true) {
            return Err(ContinuationObstacle::RequestNotStreaming);
        }
        if request["n"].as_u64().unwrap_or(1) != 1 {
            return Err(ContinuationObstacle::SeveralChoicesRequested);
        }
        let messages = request["messages"].as_array_mut();
        let messages = messages.ok_or(ContinuationObstacle::RequestWithoutMessages)?;
        if messages
            .last()
            .is_some_and(|message| message["role"] == "assistant")
        {
            return Err(ContinuationObstacle::RequestContinuesAnswer);
        }
        if !self.text.is_empty() {
            messages.push(json!({"role": "assistant", "content": self.text}));
            request["continue_final_message"] = json!(true);
            request["add_generation_prompt"] = json!(false);
        }
        for key in TOKEN_LIMIT_KEYS {
            if let Some(limit) = request[key].as_u64() {
                request[key] = json!(limit.saturating_sub(self.token_count).max(1));
            }
        }
        serde_json::to_vec(&request).map_err(|_| ContinuationObstacle::RequestNotWritable)
    }
}

/// The opening of an answer says who speaks; a later replica's says nothing new.
fn remove_opening(delta: &mut Map<String, Value>) {
    delta.remove("role");
    let content = delta.get("content").and_then(Value::as_str);
    if content.is_some_and(str::is_empty) {
        delta.remove("content");
    }
}

/// Whether a chunk has choices that say nothing, and no usage.
fn is_empty_chunk(chunk: &Value) -> bool {
    let is_empty = |choice: &Value| {
        let delta = choice["delta"].as_object();
        delta.is_none_or(Map::is_empty) && choice["finish_reason"].is_null()
    };
    let choices = chunk["choices"].as_array();
    chunk["usage"].is_null() && choices.is_some_and(|choices| choices.iter().all(is_empty))
}
