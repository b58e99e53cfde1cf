//! Scans the event stream of a response while it is forwarded: the ends of its events, whether the stream is whole, the load
//! report in a comment line, and the number of prompt tokens that the replica had cached. The bytes are not changed.
//!
//! `protocol::response` has one scanner for each response. The scanner is the one judge of whether a stream is whole:
//! [`EventStreamScanner::finish`].

use crate::protocol::load_report::parse_load_report;
use poppykeel_scheduler::LoadReport;
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;

/// Only this many bytes of a line are buffered. Only lines of data are longer; they are not parsed in full.
const MAX_LINE_BYTES: usize = 4096;
/// The content type of an event stream.
const CONTENT_TYPE: &str = "text/event-stream";
/// The name of the comment with a load report.
const LOAD_REPORT_NAME: &str = "srv-load";
/// The field of a line with data.
const DATA_FIELD: &[u8] = b"data:";
/// The field of a line with the type of an event.
const TYPE_FIELD: &[u8] = b"event:";
/// The type of an event that reports an error.
const ERROR_TYPE: &[u8] = b"error";
/// The data of the event that ends a stream.
const END_OF_STREAM: &[u8] = b"[DONE]";
/// The key of an event that reports an error.
const ERROR_KEY: &[u8] = b"\"error\"";
/// An event with the number of cached tokens contains this key.
const CACHED_TOKENS_KEY: &[u8] = b"\"cached_tokens\"";

/// Whether a response with this content type is an event stream.
pub fn is_event_stream(content_type: &str) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(CONTENT_TYPE)
}

/// Why a stream is not whole although its response has ended in good form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IncompleteStream {
    /// The stream has no event.
    #[error("it has no event")]
    NoEvent,
    /// An event reports that the replica could not complete the answer.
    #[error("an event reports an error")]
    Error,
    /// The event that ends a stream is missing.
    #[error("it ends without `data: [DONE]`")]
    EndMissing,
}

/// What the fields of the current event have shown so far.
#[derive(Debug, Default)]
struct CurrentEvent {
    data_line_count: usize,
    /// Whether a line of data is not empty.
    has_data: bool,
    /// Whether the last line of data is that of the event that ends a stream.
    has_end_line: bool,
}

impl CurrentEvent {
    /// Whether this is the event that ends a stream: its data is that one line.
    fn is_end(&self) -> bool {
        self.has_end_line && self.data_line_count == 1
    }
}

/// Finds the events, load reports and cached prompt tokens of one stream, whose bytes may be passed in pieces of any size.
/// Lines end with a line feed, a carriage return, or both.
#[derive(Debug, Default)]
pub struct EventStreamScanner {
    /// The first bytes of the current line.
    line: Vec<u8>,
    /// Whether the last line ended with a carriage return, so that a line feed at the start of the next bytes belongs to it.
    has_carriage_return: bool,
    event: CurrentEvent,
    event_count: u64,
    /// Whether the event that ends a stream has come.
    has_end: bool,
    /// Whether an event before the end has reported an error.
    has_error: bool,
    bytes_since_event: usize,
    load_report: Option<LoadReport>,
    cached_prompt_tokens: Option<f64>,
}

impl EventStreamScanner {
    /// Scans the next bytes of the stream. They may begin and end within a line.
    pub fn feed(&mut self, mut bytes: &[u8], settings: &SiteSettings) {
        if let [first, rest @ ..] = bytes {
            if std::mem::take(&mut self.has_carriage_return) && *first == b'\n' {
                bytes = rest;
                self.bytes_since_event = self.bytes_since_event.saturating_add(1);
            }
        }
        while let Some(end) = bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
            self.extend_line(&bytes[..end]);
            let ending_bytes = if bytes[end..].starts_with(b"\r\n") {
                2
            } else {
                1
            };
            self.bytes_since_event = self.bytes_since_event.saturating_add(ending_bytes);
            self.has_carriage_return = &bytes[end..] == b"\r";
            bytes = &bytes[end + ending_bytes..];
            self.finish_line(settings);
        }
        self.extend_line(bytes);
    }

    /// Judges the stream at the end of its body, which ends the last line and the last event, too. What follows the event that
    /// ends a stream is no part of the answer.
    ///
    /// # Errors
    ///
    /// Why the stream is not whole.
    pub fn finish(&mut self, settings: &SiteSettings) -> Result<(), IncompleteStream> {
        if !self.line.is_empty() {
            self.finish_line(settings);
        }
        self.finish_event();
        if self.event_count == 0 {
            return Err(IncompleteStream::NoEvent);
        }
        if self.has_error {
            return Err(IncompleteStream::Error);
        }
        if !self.has_end {
            return Err(IncompleteStream::EndMissing);
        }
        Ok(())
    }

    /// Adds bytes to the current line.
    fn extend_line(&mut self, bytes: &[u8]) {
        self.bytes_since_event = self.bytes_since_event.saturating_add(bytes.len());
        let free_bytes = MAX_LINE_BYTES.saturating_sub(self.line.len());
        let kept_bytes = free_bytes.min(bytes.len());
        self.line.extend_from_slice(&bytes[..kept_bytes]);
    }

    fn finish_line(&mut self, settings: &SiteSettings) {
        let mut line = std::mem::take(&mut self.line);
        self.scan_line(line.trim_ascii_end(), settings);
        // Reuses the buffer for the next line.
        line.clear();
        self.line = line;
    }

    fn scan_line(&mut self, line: &[u8], settings: &SiteSettings) {
        if line.is_empty() {
            self.finish_event();
        } else if let Some(comment) = line.strip_prefix(b":") {
            if let Some(report) = parse_comment(comment, settings) {
                self.load_report = Some(report);
            }
        } else if let Some(data) = line.strip_prefix(DATA_FIELD) {
            self.scan_data(data.strip_prefix(b" ").unwrap_or(data));
        } else if let Some(event_type) = line.strip_prefix(TYPE_FIELD) {
            self.has_error |= !self.has_end && event_type.trim_ascii() == ERROR_TYPE;
        }
    }

    fn scan_data(&mut self, data: &[u8]) {
        self.event.data_line_count += 1;
        self.event.has_data |= !data.is_empty();
        self.event.has_end_line = data == END_OF_STREAM;
        self.has_error |= !self.has_end && is_error(data);
        let tokens = parse_cached_tokens(data);
        if tokens.is_some() {
            self.cached_prompt_tokens = tokens;
        }
    }

    fn finish_event(&mut self) {
        let event = std::mem::take(&mut self.event);
        if event.has_data && !self.has_end {
            self.event_count += 1;
            self.bytes_since_event = 0;
        }
        self.has_end |= event.is_end();
    }

    /// The number of complete events with data, up to the one that ends the stream. Comments and other fields are no events: a
    /// client gets nothing of an answer by them.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// The number of bytes since the end of the last event that counts.
    pub fn bytes_since_event(&self) -> usize {
        self.bytes_since_event
    }

    /// Whether the stream has had a load report so far.
    pub fn has_load_report(&self) -> bool {
        self.load_report.is_some()
    }

    /// The newest load report, with the number of cached prompt tokens if the stream had one.
    pub fn load_report(&self) -> Option<LoadReport> {
        if self.cached_prompt_tokens.is_none() {
            return self.load_report;
        }
        Some(LoadReport {
            cached_prompt_tokens: self.cached_prompt_tokens,
            ..self.load_report.unwrap_or_default()
        })
    }
}

/// Parses the load report in a comment line, whose leading colon is already removed.
fn parse_comment(comment: &[u8], settings: &SiteSettings) -> Option<LoadReport> {
    let text = std::str::from_utf8(comment).unwrap_or_default();
    let (name, value) = text.trim_start().split_once(':')?;
    if !name.eq_ignore_ascii_case(LOAD_REPORT_NAME) {
        return None;
    }
    parse_load_report(value, settings)
}

/// Whether the data of an event reports an error. Most events have no such key; they are detected without parsing. Data that
/// is too long to be parsed reports one if it begins with the key.
fn is_error(data: &[u8]) -> bool {
    let has_key = data
        .windows(ERROR_KEY.len())
        .any(|window| window == ERROR_KEY);
    if !has_key {
        return false;
    }
    if let Ok(event) = serde_json::from_slice::<Value>(data) {
        return event.get("error").is_some_and(|error| !error.is_null());
    }
    let object = data.trim_ascii_start().strip_prefix(b"{");
    object.is_some_and(|keys| keys.trim_ascii_start().starts_with(ERROR_KEY))
}

/// The number of cached prompt tokens in the data of an event with the usage. Most events have none; they are detected
/// without parsing.
fn parse_cached_tokens(data: &[u8]) -> Option<f64> {
    let has_key = data
        .windows(CACHED_TOKENS_KEY.len())
        .any(|window| window == CACHED_TOKENS_KEY);
    if !has_key {
        return None;
    }
    let event: Value = serde_json::from_slice(data).ok()?;
    event["usage"]["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .map(|tokens| tokens as f64)
}
