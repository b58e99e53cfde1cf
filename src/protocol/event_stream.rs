//! Scans the event stream of a response while it is forwarded: the ends of its events, the load report in a comment line,
//! and the number of prompt tokens that the replica had cached. The bytes are not changed.
//!
//! `protocol::response` has one scanner for each response.

use crate::protocol::load_report::parse_load_report;
use poppykeel_scheduler::LoadReport;
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;

/// Only this many bytes of a line are buffered. Only lines of data are longer; they are not parsed in full.
const MAX_LINE_BYTES: usize = 4096;
/// The name of the comment with a load report.
const LOAD_REPORT_NAME: &str = "srv-load";
/// The field of a line with data.
const DATA_FIELD: &[u8] = b"data:";
/// An event with the number of cached tokens contains this key.
const CACHED_TOKENS_KEY: &[u8] = b"\"cached_tokens\"";

/// Finds the events, load reports and cached prompt tokens of one stream, whose bytes may be passed in pieces of any size.
#[derive(Debug, Default)]
pub struct EventStreamScanner {
    /// The first bytes of the current line.
    line: Vec<u8>,
    /// Whether the current event has data.
    has_data: bool,
    event_count: u64,
    unfinished_event_bytes: usize,
    load_report: Option<LoadReport>,
    cached_prompt_tokens: Option<f64>,
}

impl EventStreamScanner {
    /// Scans the next bytes of the stream. They may begin and end within a line.
    pub fn feed(&mut self, bytes: &[u8], settings: &SiteSettings) {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.unfinished_event_bytes = self.unfinished_event_bytes.saturating_add(piece.len());
            let free_bytes = MAX_LINE_BYTES.saturating_sub(self.line.len());
            let kept_bytes = free_bytes.min(piece.len());
            self.line.extend_from_slice(&piece[..kept_bytes]);
            if piece.ends_with(b"\n") {
                let mut line = std::mem::take(&mut self.line);
                self.scan_line(line.trim_ascii_end(), settings);
                // Reuses the buffer for the next line.
                line.clear();
                self.line = line;
            }
        }
    }

    fn scan_line(&mut self, line: &[u8], settings: &SiteSettings) {
        if line.is_empty() {
            self.finish_event();
        } else if let Some(comment) = line.strip_prefix(b":") {
            if let Some(report) = parse_comment(comment, settings) {
                self.load_report = Some(report);
            }
        } else {
            self.has_data = true;
            let tokens = line.strip_prefix(DATA_FIELD).and_then(parse_cached_tokens);
            if tokens.is_some() {
                self.cached_prompt_tokens = tokens;
            }
        }
    }

    fn finish_event(&mut self) {
        if self.has_data {
            self.event_count += 1;
        }
        self.has_data = false;
        self.unfinished_event_bytes = 0;
    }

    /// The number of complete events with data.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// The number of bytes since the end of the last event.
    pub fn unfinished_event_bytes(&self) -> usize {
        self.unfinished_event_bytes
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
