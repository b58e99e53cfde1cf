//! What a client has received, taken apart: the text, ids, finish reasons and usages of a stream's events.

use serde_json::Value;

/// The usage that a stream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// The events of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedStream {
    /// The text.
    pub text: String,
    /// The different ids of chunks, in order of their first appearance.
    pub ids: Vec<String>,
    /// Finish reasons, in order.
    pub finish_reasons: Vec<String>,
    /// Usages, in order.
    pub usages: Vec<ReportedUsage>,
    /// Events of `[DONE]`.
    pub done_count: usize,
    /// Events with an error.
    pub error_count: usize,
    /// Events after `[DONE]` or after an error.
    pub late_event_count: usize,
    /// Events that could not be read.
    pub unreadable_count: usize,
}

/// Reads the events of a body.
pub fn read_stream(body: &[u8]) -> ReceivedStream {
    let mut stream = ReceivedStream::default();
    let text = String::from_utf8_lossy(body);
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        stream.read_event(event);
    }
    stream
}

impl ReceivedStream {
    fn read_event(&mut self, event: &str) {
        let Some(data) = event.strip_prefix("data: ") else {
            let is_comment = event.starts_with(':');
            self.unreadable_count += usize::from(!is_comment);
            return;
        };
        let has_ended = self.done_count + self.error_count > 0;
        self.late_event_count += usize::from(has_ended);
        if data == "[DONE]" {
            self.done_count += 1;
            return;
        }
        match serde_json::from_str(data) {
            Ok(chunk) => self.read_chunk(&chunk),
            Err(_) => self.unreadable_count += 1,
        }
    }

    fn read_chunk(&mut self, chunk: &Value) {
        if chunk.get("error").is_some() {
            self.error_count += 1;
        } else {
            let id = chunk["id"].as_str().unwrap_or_default().to_string();
            if !self.ids.contains(&id) {
                self.ids.push(id);
            }
        }
        for choice in chunk["choices"].as_array().into_iter().flatten() {
            let content = choice["delta"]["content"].as_str().unwrap_or_default();
            self.text.push_str(content);
            let finish_reason = choice["finish_reason"].as_str();
            self.finish_reasons.extend(finish_reason.map(String::from));
        }
        self.usages.extend(reported_usage(&chunk["usage"]));
    }
}

fn reported_usage(usage: &Value) -> Option<ReportedUsage> {
    Some(ReportedUsage {
        prompt_tokens: usage["prompt_tokens"].as_u64()?,
        completion_tokens: usage["completion_tokens"].as_u64()?,
    })
}
