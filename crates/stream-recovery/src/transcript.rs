//! Records what was forwarded to one client and merges the streams of several replicas into one coherent stream.
//!
//! The format is that of published OpenAI-compatible servers: `data:` events with a `chat.completion.chunk` each, an
//! event with the finish reason, an event with the usage if the request asked for it, and `[DONE]`.
//!
//! Each continuation starts a new epoch, and only the replica of the current epoch may write. Events of the first
//! replica are forwarded unchanged. Events of later replicas are rewritten to continue the response of the first.

use crate::sse::{event_length, parse_event, EventFields};
use serde_json::{json, Map, Value};

/// Maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Maximum length of a text that can be continued, in bytes.
const MAX_TEXT_BYTES: usize = 128 * 1024;
/// The data of the event that ends a stream.
const END_OF_STREAM: &str = "[DONE]";
/// Request keys that limit the number of tokens in the response.
const TOKEN_LIMIT_KEYS: [&str; 2] = ["max_tokens", "max_completion_tokens"];
/// Keys whose values are the same in all chunks of a stream.
const IDENTITY_KEYS: [&str; 3] = ["id", "created", "model"];

/// How much of a stream was forwarded to its client. Variants are in stream order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamProgress {
    /// The finish reason has not been forwarded yet.
    Text,
    /// The finish reason has been forwarded: the text is complete.
    FinishReason,
    /// The usage has been forwarded after the finish reason.
    Usage,
    /// `[DONE]` has been forwarded.
    Done,
}

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContinuationObstacle {
    /// An event exceeds the maximum length.
    #[error("an event is longer than may be")]
    EventTooLong,
    /// An event's data is not JSON.
    #[error("an event is not a chunk of text")]
    NotAChunk,
    /// The response contains an error.
    #[error("the answer holds an error")]
    ErrorInResponse,
    /// The response has more than one choice.
    #[error("there are several choices")]
    MultipleChoices,
    /// The response contains a tool call.
    #[error("a tool is being called")]
    ToolCall,
    /// The response contains log probabilities.
    #[error("there are probabilities of tokens")]
    LogProbabilities,
    /// The text exceeds the maximum length.
    #[error("the text is too long")]
    TextTooLong,
    /// The request's body is not JSON.
    #[error("the request is not JSON")]
    RequestNotJson,
    /// The request does not ask for a streamed response.
    #[error("the request did not ask for a stream")]
    RequestNotStreaming,
    /// The request asks for more than one choice.
    #[error("several choices were asked for")]
    MultipleChoicesRequested,
    /// The request has no list of messages.
    #[error("the request has no messages")]
    RequestWithoutMessages,
    /// The last message of the request is from the assistant.
    #[error("the request itself continues an answer")]
    RequestContinuesResponse,
    /// The continuation request cannot be serialized.
    #[error("the request cannot be written")]
    RequestNotSerializable,
}

/// Result of [`StreamTranscript::forward`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardedBytes {
    /// Complete events to send to the client.
    pub bytes: Vec<u8>,
    /// Number of complete events processed, including empty ones that were omitted.
    pub event_count: usize,
    /// Whether the bytes hold an event with data.
    pub has_data: bool,
    /// Number of bytes dropped: from a replica of an earlier epoch, or after the end of the stream.
    pub dropped_bytes: usize,
}

impl ForwardedBytes {
    /// Appends an event with this data.
    fn add_event(&mut self, event: &[u8], data: &str) {
        self.bytes.extend_from_slice(event);
        self.has_data |= !data.is_empty();
    }
}

/// Transcript of one client's stream.
#[derive(Clone, Debug)]
pub struct StreamTranscript {
    /// Number of continuations so far. Only the replica of this epoch may write.
    epoch: u64,
    /// Bytes of an incomplete event.
    partial_event: Vec<u8>,
    text: String,
    /// Number of events with text; each counts as one token.
    token_count: u64,
    progress: StreamProgress,
    /// The values of [`IDENTITY_KEYS`] in the first chunk.
    identity: Option<[Value; 3]>,
    obstacle: Option<ContinuationObstacle>,
    dropped_bytes: u64,
    /// Tokens forwarded before the current epoch.
    earlier_epoch_tokens: u64,
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
            earlier_epoch_tokens: 0,
        }
    }
}

impl StreamTranscript {
    /// The current epoch: the number of continuations so far.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Tokens forwarded so far: each event with text counts as one.
    pub fn token_count(&self) -> u64 {
        self.token_count
    }

    /// The text forwarded so far, of all epochs.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// How much of the stream has been forwarded.
    pub fn progress(&self) -> StreamProgress {
        self.progress
    }

    /// Why the stream cannot be continued; `None` if it can.
    pub fn obstacle(&self) -> Option<ContinuationObstacle> {
        self.obstacle
    }

    /// Bytes dropped so far: those of replicas of earlier epochs, unfinished events and those after the end.
    pub fn dropped_bytes(&self) -> u64 {
        self.dropped_bytes
    }

    /// Removes and returns the bytes of the incomplete event; empty if there is none.
    pub fn take_partial_event(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial_event)
    }

    /// Starts the next epoch: drops the incomplete event of the previous replica and ignores all its later bytes.
    /// Returns the new epoch.
    pub fn begin_epoch(&mut self) -> u64 {
        self.dropped_bytes += self.partial_event.len() as u64;
        self.partial_event.clear();
        self.earlier_epoch_tokens = self.token_count;
        self.epoch += 1;
        self.epoch
    }

    /// Processes bytes of the response body of the replica of `epoch` and returns the complete events to send to the
    /// client. Bytes of an earlier epoch are dropped.
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
                // Events after `[DONE]` do not belong to this response.
                self.drop_bytes(length, &mut forwarded);
                continue;
            }
            forwarded.event_count += 1;
            self.forward_event(&event, &mut forwarded);
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

    fn forward_event(&mut self, event: &[u8], forwarded: &mut ForwardedBytes) {
        let EventFields {
            data,
            has_error_type,
        } = parse_event(event);
        if has_error_type {
            self.obstacle
                .get_or_insert(ContinuationObstacle::ErrorInResponse);
        }
        if data == END_OF_STREAM {
            self.progress = StreamProgress::Done;
            forwarded.add_event(event, &data);
            return;
        }
        // An event whose JSON is not an object is no chunk and is forwarded unchanged.
        let Ok(mut chunk) = serde_json::from_str::<Map<String, Value>>(&data) else {
            if !data.is_empty() {
                self.obstacle.get_or_insert(ContinuationObstacle::NotAChunk);
            }
            forwarded.add_event(event, &data);
            return;
        };
        self.record_chunk(&chunk);
        if self.epoch == 0 {
            forwarded.add_event(event, &data);
            return;
        }
        self.rewrite_chunk(&mut chunk);
        if !is_empty_chunk(&chunk) {
            forwarded.add_event(format_event(chunk).as_bytes(), &data);
        }
    }

    fn record_chunk(&mut self, chunk: &Map<String, Value>) {
        let identity = || IDENTITY_KEYS.map(|key| chunk.get(key).cloned().unwrap_or_default());
        self.identity.get_or_insert_with(identity);
        if chunk.get("error").is_some() {
            self.obstacle
                .get_or_insert(ContinuationObstacle::ErrorInResponse);
        }
        let choices = chunk.get("choices").and_then(Value::as_array);
        for choice in choices.into_iter().flatten() {
            self.record_choice(choice);
        }
        let has_usage = chunk.get("usage").is_some_and(|usage| !usage.is_null());
        // Some servers send the usage so far with each chunk. Only after the finish reason it is that of the whole answer.
        if has_usage && self.progress >= StreamProgress::FinishReason {
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
                .get_or_insert(ContinuationObstacle::MultipleChoices);
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

    /// Rewrites a chunk of a later replica to continue the response of the first.
    fn rewrite_chunk(&self, chunk: &mut Map<String, Value>) {
        if let Some(identity) = &self.identity {
            for (key, value) in IDENTITY_KEYS.into_iter().zip(identity) {
                if !value.is_null() {
                    chunk.insert(key.into(), value.clone());
                }
            }
        }
        let choices = chunk.get_mut("choices").and_then(Value::as_array_mut);
        for choice in choices.into_iter().flatten() {
            if let Some(delta) = choice.get_mut("delta").and_then(Value::as_object_mut) {
                remove_opening_fields(delta);
            }
        }
        if let Some(usage) = chunk.get_mut("usage").and_then(Value::as_object_mut) {
            self.rewrite_usage(usage);
        }
    }

    /// Counts the text of earlier epochs as completion tokens. The replica counted it as part of the prompt.
    fn rewrite_usage(&self, usage: &mut Map<String, Value>) {
        let number = |key: &str| usage.get(key).and_then(Value::as_u64);
        let prompt = number("prompt_tokens");
        let completion = number("completion_tokens");
        if let (Some(prompt), Some(completion)) = (prompt, completion) {
            let prompt = prompt.saturating_sub(self.earlier_epoch_tokens);
            let completion = completion.saturating_add(self.earlier_epoch_tokens);
            usage.insert("prompt_tokens".into(), json!(prompt));
            usage.insert("completion_tokens".into(), json!(completion));
            usage.insert(
                "total_tokens".into(),
                json!(prompt.saturating_add(completion)),
            );
        }
    }

    /// Whether all of the text has been forwarded: the finish reason was forwarded or the token limit is reached.
    pub fn is_text_complete(&self, request_body: &[u8]) -> bool {
        self.obstacle.is_none()
            && (self.progress >= StreamProgress::FinishReason
                || (self.token_count > 0 && self.is_token_limit_reached(request_body)))
    }

    /// Whether the token limit of the request is reached. Each event with text is counted as one token but may hold
    /// more, so the limit is reached at the latest when this returns true.
    fn is_token_limit_reached(&self, request_body: &[u8]) -> bool {
        let Ok(request) = serde_json::from_slice::<Value>(request_body) else {
            return false;
        };
        let limits = TOKEN_LIMIT_KEYS
            .into_iter()
            .filter_map(|key| request[key].as_u64());
        limits.into_iter().any(|limit| self.token_count >= limit)
    }

    /// The events missing after a complete text: finish reason and `[DONE]`. A missing usage is not made up.
    pub fn closing_events(&self) -> Vec<u8> {
        let mut events = String::new();
        if self.progress == StreamProgress::Text {
            let choices = json!([{"index": 0, "delta": {}, "finish_reason": "length"}]);
            let mut chunk = Map::new();
            chunk.insert("object".into(), json!("chat.completion.chunk"));
            chunk.insert("choices".into(), choices);
            self.rewrite_chunk(&mut chunk);
            events = format_event(chunk);
        }
        if self.progress < StreamProgress::Done {
            events.push_str("data: [DONE]\n\n");
        }
        events.into_bytes()
    }

    /// The body of the continuation request: the original request with the text so far as the start of the assistant's
    /// message, and with the token limit reduced by the tokens already forwarded.
    ///
    /// # Errors
    /// Why the stream cannot be continued.
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
            return Err(ContinuationObstacle::MultipleChoicesRequested);
        }
        let messages = request["messages"].as_array_mut();
        let messages = messages.ok_or(ContinuationObstacle::RequestWithoutMessages)?;
        if messages
            .last()
            .is_some_and(|message| message["role"] == "assistant")
        {
            return Err(ContinuationObstacle::RequestContinuesResponse);
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
        serde_json::to_vec(&request).map_err(|_| ContinuationObstacle::RequestNotSerializable)
    }
}

/// Removes the role and an empty content, which only the first event of a response has.
fn remove_opening_fields(delta: &mut Map<String, Value>) {
    delta.remove("role");
    let content = delta.get("content").and_then(Value::as_str);
    if content.is_some_and(str::is_empty) {
        delta.remove("content");
    }
}

/// Whether a chunk has neither text, nor a finish reason, nor usage.
fn is_empty_chunk(chunk: &Map<String, Value>) -> bool {
    let is_empty_choice = |choice: &Value| {
        let delta = choice["delta"].as_object();
        delta.is_none_or(Map::is_empty) && choice["finish_reason"].is_null()
    };
    let has_usage = chunk.get("usage").is_some_and(|usage| !usage.is_null());
    let choices = chunk.get("choices").and_then(Value::as_array);
    !has_usage && choices.is_some_and(|choices| choices.iter().all(is_empty_choice))
}

/// Formats a chunk as an event.
fn format_event(chunk: Map<String, Value>) -> String {
    format!("data: {}\n\n", Value::Object(chunk))
}
