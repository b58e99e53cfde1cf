//! The event stream of an answer, looked at while it passes: where its first event ends, the load report in a
//! comment line, and how much of the prompt was found kept. Nothing is changed.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::protocol::report::parse_load_report;
use poppykeel_scheduler::LoadReport;
use poppykeel_site_settings::SiteSettings;
use serde_json::Value;

/// Lines longer than this are events for certain and are not kept to be looked at.
const MOST_LINE: usize = 4096;

/// Follows one stream.
#[derive(Debug, Default)]
pub struct EventStreamScanner {
    line: Vec<u8>,
    has_data: bool,
    events: u64,
    since: usize,
    report: Option<LoadReport>,
    kept: Option<f64>,
}

impl EventStreamScanner {
    /// Looks at the next bytes.
    pub fn feed(&mut self, bytes: &[u8], boot: &SiteSettings) {
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            self.since = self.since.saturating_add(piece.len());
            let room = MOST_LINE.saturating_sub(self.line.len()).min(piece.len());
            self.line.extend_from_slice(&piece[..room]);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.take(line.trim_ascii_end(), boot);
                self.line = line;
                self.line.clear();
            }
        }
    }

    fn take(&mut self, line: &[u8], boot: &SiteSettings) {
        if line.is_empty() {
            self.events += u64::from(std::mem::take(&mut self.has_data));
            self.since = 0;
        } else if let Some(comment) = line.strip_prefix(b":") {
            let text = std::str::from_utf8(comment)
                .unwrap_or_default()
                .trim_start();
            let value = text
                .split_once(':')
                .filter(|(name, _)| name.eq_ignore_ascii_case("srv-load"));
            self.report = value
                .and_then(|(_, value)| parse_load_report(value, boot))
                .or(self.report);
        } else {
            self.has_data = true;
            self.kept = line.strip_prefix(b"data:").and_then(kept).or(self.kept);
        }
    }

    /// Complete events so far.
    pub fn event_count(&self) -> u64 {
        self.events
    }
    /// Bytes since the last event was complete.
    pub fn unfinished_event_bytes(&self) -> usize {
        self.since
    }
    /// Whether a load report has come.
    pub fn has_load_report(&self) -> bool {
        self.report.is_some()
    }
    /// The newest load report, with the kept part of the prompt where the stream told it.
    pub fn load_report(&self) -> Option<LoadReport> {
        let kept = self.kept.map(|_| LoadReport {
            cached_prompt_tokens: self.kept,
            ..self.report.unwrap_or_default()
        });
        kept.or(self.report)
    }
}

/// Prompt tokens found kept, in an event with a usage; most events have none and are not parsed.
fn kept(data: &[u8]) -> Option<f64> {
    const KEY: &[u8] = b"\"cached_tokens\"";
    data.windows(KEY.len())
        .any(|part| part == KEY)
        .then_some(())?;
    let event: Value = serde_json::from_slice(data).ok()?;
    event["usage"]["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .map(|tokens| tokens as f64)
}
