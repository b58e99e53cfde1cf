//! Parses a received event stream: text, ids, finish reasons and usages.

use serde_json::Value;

/// Token usage reported by a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedUsage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of completion tokens.
    pub completion_tokens: u64,
}

/// Summary of the events of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedStream {
    /// The concatenated text of all chunks.
    pub text: String,
    /// Distinct ids of the chunks, in order of first appearance.
    pub ids: Vec<String>,
    /// Finish reasons, in stream order.
    pub finish_reasons: Vec<String>,
    /// Usages, in stream order.
    pub usages: Vec<ReportedUsage>,
    /// Number of `[DONE]` events.
    pub done_count: usize,
    /// Number of error events.
    pub error_count: usize,
    /// Number of events after `[DONE]` or an error event.
    pub late_event_count: usize,
    /// Number of events that could not be parsed.
    pub malformed_count: usize,
}

/// Parses the body of a response, without chunk framing.
pub fn parse_stream(body: &[u8]) -> ReceivedStream {
    let mut stream = ReceivedStream::default();
    let text = String::from_utf8_lossy(body);
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        stream.add_event(event);
    }
    stream
}

impl ReceivedStream {
    fn add_event(&mut self, event: &str) {
        let Some(data) = event.strip_prefix("data: ") else {
            let is_comment = event.starts_with(':');
            self.malformed_count += usize::from(!is_comment);
            return;
        };
        let has_ended = self.done_count + self.error_count > 0;
        self.late_event_count += usize::from(has_ended);
        if data == "[DONE]" {
            self.done_count += 1;
            return;
        }
        match serde_json::from_str(data) {
            Ok(chunk) => self.add_chunk(&chunk),
            Err(_) => self.malformed_count += 1,
        }
    }

    fn add_chunk(&mut self, chunk: &Value) {
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
