//! What has been passed on to one client, and the making of one coherent stream out of several upstreams.
//!
//! The form is that of published OpenAI-compatible servers: `data:` events with a `chat.completion.chunk` each,
//! an event with the finish reason, one with the usage where that was asked for, and `[DONE]`.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    reason = "not yet converted"
)]

use serde_json::{json, Value};

/// The longest event, in bytes; a longer one is no event.
const MOST_EVENT: usize = 64 * 1024;
/// The longest text that is continued, in bytes.
const MOST_TEXT: usize = 128 * 1024;

/// How far a stream has come for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// In the text.
    Text,
    /// The finish reason has been passed: the text is whole.
    Finished,
    /// The usage has been passed, too.
    Counted,
    /// `[DONE]` has been passed.
    Done,
}

/// What became of bytes that were fed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// Bytes for the client: whole events.
    pub bytes: Vec<u8>,
    /// Events in them.
    pub events: usize,
    /// Bytes of an upstream that may no longer write, dropped.
    pub dropped: usize,
}

/// One client's stream.
#[derive(Clone, Debug)]
pub struct Story {
    /// Which upstream may write: each continuation has the next number.
    epoch: u64,
    partial: Vec<u8>,
    text: String,
    tokens: u64,
    progress: Progress,
    /// `id`, `created`, `model` of the first chunk, for all that follow.
    head: Option<(Value, Value, Value)>,
    /// Why it can't be continued, where it can't.
    closed: Option<&'static str>,
    /// Dropped because their upstream no longer wrote.
    dropped: u64,
    /// Tokens that upstreams before the present one wrote.
    before: u64,
    /// Its events are chunks of text: others can't be judged.
    known: bool,
}

impl Default for Story {
    fn default() -> Self {
        Story {
            epoch: 0,
            partial: Vec::new(),
            text: String::new(),
            tokens: 0,
            progress: Progress::Text,
            head: None,
            closed: None,
            dropped: 0,
            before: 0,
            known: false,
        }
    }
}

impl Story {
    /// The number of the upstream that may write.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
    /// Tokens passed so far: each event with text counts as one.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
    /// The text passed so far.
    pub fn text(&self) -> &str {
        &self.text
    }
    /// How far it has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }
    /// Why it can't be continued, where that is so.
    pub fn closed(&self) -> Option<&'static str> {
        self.closed
    }
    /// Bytes dropped because their upstream no longer wrote.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether its events are chunks of text at all; what else a server streams can't be judged.
    pub fn known(&self) -> bool {
        self.known
    }
    /// What is left of an event that was never completed.
    pub fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// From now on only the next upstream may write; what is left of an event of the last one is dropped. Returned
    /// is the new one's number.
    pub fn next_epoch(&mut self) -> u64 {
        self.dropped += self.partial.len() as u64;
        self.partial.clear();
        self.before = self.tokens;
        self.epoch += 1;
        self.epoch
    }

    /// Bytes of an upstream's body. Events of the first upstream pass unchanged, as soon as they are complete;
    /// those of later ones carry on what the first began.
    pub fn feed(&mut self, epoch: u64, bytes: &[u8]) -> Passed {
        let mut passed = Passed::default();
        if epoch != self.epoch || self.progress == Progress::Done {
            passed.dropped = bytes.len();
            self.dropped += bytes.len() as u64;
            return passed;
        }
        self.partial.extend_from_slice(bytes);
        let mut begin = 0;
        while let Some(length) = event_length(&self.partial[begin..]) {
            let event = self.partial[begin..begin + length].to_vec();
            begin += length;
            if self.progress == Progress::Done {
                // After the end nothing is of this answer.
                passed.dropped += length;
                self.dropped += length as u64;
                continue;
            }
            passed.events += 1;
            self.event(&event, &mut passed.bytes);
        }
        self.partial.drain(..begin);
        if self.partial.len() > MOST_EVENT {
            self.closed.get_or_insert("an event is longer than may be");
        }
        passed
    }

    fn event(&mut self, event: &[u8], out: &mut Vec<u8>) {
        let data = data(event);
        if data == "[DONE]" {
            self.progress = Progress::Done;
            return out.extend_from_slice(event);
        }
        let Ok(mut chunk) = serde_json::from_str::<Value>(&data) else {
            if !data.is_empty() {
                self.closed.get_or_insert("an event is not a chunk of text");
            }
            return out.extend_from_slice(event);
        };
        let later = self.epoch > 0;
        self.read(&chunk);
        if !later {
            return out.extend_from_slice(event);
        }
        self.carry_on(&mut chunk);
        // A first chunk of a later upstream that only says who speaks says nothing new.
        let empty = |c: &Value| {
            let delta = c["delta"].as_object().is_none_or(serde_json::Map::is_empty);
            delta && c["finish_reason"].is_null()
        };
        let choices = chunk["choices"].as_array();
        if chunk["usage"].is_null() && choices.is_some_and(|c| c.iter().all(empty)) {
            return;
        }
        out.extend_from_slice(format!("data: {chunk}\n\n").as_bytes());
    }

    /// Takes note of what a chunk holds.
    fn read(&mut self, chunk: &Value) {
        if self.head.is_none() {
            self.head = Some((
                chunk["id"].clone(),
                chunk["created"].clone(),
                chunk["model"].clone(),
            ));
        }
        if chunk.get("error").is_some() {
            self.closed.get_or_insert("the answer holds an error");
        }
        self.known |= chunk["choices"].is_array();
        for choice in chunk["choices"].as_array().into_iter().flatten() {
            if choice["index"].as_u64().unwrap_or(0) != 0 {
                self.closed.get_or_insert("there are several choices");
            }
            if !choice["delta"]["tool_calls"].is_null()
                || !choice["delta"]["function_call"].is_null()
            {
                self.closed.get_or_insert("a tool is being called");
            }
            if !choice["logprobs"].is_null() {
                self.closed
                    .get_or_insert("there are probabilities of tokens");
            }
            if let Some(text) = choice["delta"]["content"]
                .as_str()
                .filter(|t| !t.is_empty())
            {
                self.text.push_str(text);
                self.tokens += 1;
            }
            if !choice["finish_reason"].is_null() {
                self.progress = self.progress.max(Progress::Finished);
            }
        }
        if !chunk["usage"].is_null() {
            self.progress = self.progress.max(Progress::Counted);
        }
        if self.text.len() > MOST_TEXT {
            self.closed.get_or_insert("the text is too long");
        }
    }

    /// Makes a later upstream's chunk one of the first one's answer.
    fn carry_on(&self, chunk: &mut Value) {
        if let Some((id, created, model)) = &self.head {
            for (key, value) in [("id", id), ("created", created), ("model", model)] {
                if !value.is_null() {
                    chunk[key] = value.clone();
                }
            }
        }
        for choice in chunk["choices"].as_array_mut().into_iter().flatten() {
            if let Some(delta) = choice["delta"].as_object_mut() {
                delta.remove("role");
                if delta
                    .get("content")
                    .is_some_and(|c| c.as_str().is_some_and(str::is_empty))
                {
                    delta.remove("content");
                }
            }
        }
        if let Some(usage) = chunk["usage"].as_object_mut() {
            // What came before was read as a part of the prompt there, and is a part of the answer here.
            let number = |usage: &serde_json::Map<String, Value>, key: &str| {
                usage.get(key).and_then(Value::as_u64)
            };
            let prompt = number(usage, "prompt_tokens").map(|p| p.saturating_sub(self.before));
            let answer = number(usage, "completion_tokens").map(|c| c + self.before);
            if let (Some(prompt), Some(answer)) = (prompt, answer) {
                usage.insert("prompt_tokens".into(), json!(prompt));
                usage.insert("completion_tokens".into(), json!(answer));
                usage.insert("total_tokens".into(), json!(prompt + answer));
            }
        }
    }

    /// All of the token limit has been passed: each event with text holds one token or more, so no less than the
    /// limit is there, and no server may write more than that.
    fn spent(&self, request: &Value) -> bool {
        let limits = ["max_tokens", "max_completion_tokens"].map(|key| request[key].as_u64());
        limits.into_iter().flatten().any(|most| self.tokens >= most)
    }

    /// Whether all of the text has been passed: its finish reason has, or all of the limit of this request.
    pub fn complete(&self, body: &[u8]) -> bool {
        let spent = || serde_json::from_slice(body).is_ok_and(|request| self.spent(&request));
        self.closed.is_none()
            && (self.progress >= Progress::Finished || (self.tokens > 0 && spent()))
    }

    /// The framing that a complete text lacks. A count of tokens is not made up.
    pub fn ending(&self) -> Vec<u8> {
        let mut out = String::new();
        if self.progress == Progress::Text {
            let choices = json!([{"index": 0, "delta": {}, "finish_reason": "length"}]);
            let mut chunk = json!({"object": "chat.completion.chunk", "choices": choices});
            self.carry_on(&mut chunk);
            out = format!("data: {chunk}\n\n");
        }
        if self.progress < Progress::Done {
            out.push_str("data: [DONE]\n\n");
        }
        out.into_bytes()
    }

    /// The request for the rest: the prompt with the answer so far as the assistant's beginning, and the token limit
    /// less what has passed. An error says why there can be none.
    pub fn request(&self, body: &[u8]) -> Result<Vec<u8>, &'static str> {
        if let Some(why) = self.closed {
            return Err(why);
        }
        let mut request: Value =
            serde_json::from_slice(body).map_err(|_| "the request is not JSON")?;
        if request["stream"] != json!(true) {
            return Err("the request did not ask for a stream");
        }
        if request["n"].as_u64().unwrap_or(1) != 1 {
            return Err("several choices were asked for");
        }
        let messages = request["messages"]
            .as_array_mut()
            .ok_or("the request has no messages")?;
        if messages.last().is_some_and(|m| m["role"] == "assistant") {
            return Err("the request itself continues an answer");
        }
        if !self.text.is_empty() {
            messages.push(json!({"role": "assistant", "content": self.text}));
            request["continue_final_message"] = json!(true);
            request["add_generation_prompt"] = json!(false);
        }
        for key in ["max_tokens", "max_completion_tokens"] {
            if let Some(most) = request[key].as_u64() {
                request[key] = json!(most.saturating_sub(self.tokens).max(1));
            }
        }
        serde_json::to_vec(&request).map_err(|_| "the request cannot be written")
    }
}

/// The length of the first whole event, the empty line after it counted.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = bytes[line..at]
            .strip_suffix(b"\r")
            .unwrap_or(&bytes[line..at]);
        line = at + 1;
        if text.is_empty() {
            return Some(line);
        }
    }
    None
}

/// The data of an event, its lines joined.
fn data(event: &[u8]) -> String {
    let text = String::from_utf8_lossy(event);
    let lines = text.lines().filter_map(|l| l.strip_prefix("data:"));
    let lines: Vec<&str> = lines.map(|l| l.strip_prefix(' ').unwrap_or(l)).collect();
    lines.join("\n")
}
