//! Derives from the parts of a replica's response what to forward to the client and how the attempt ended.
//!
//! `transport::replica` has one reader for each attempt.

use crate::protocol::event_stream::{is_event_stream, EventStreamScanner, IncompleteStream};
use crate::protocol::http::{Head, MessagePart, StartLine};
use crate::protocol::load_report::parse_load_report;
use bytes::{Bytes, BytesMut};
use poppykeel_scheduler::{AttemptOutcome, LoadReport};
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;

/// The largest number of bytes without a complete event. A stream with more counts as broken, because its event might never end.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// The content type of a response that states none.
const DEFAULT_CONTENT_TYPE: &str = "text/event-stream";
/// The header field with a load report.
const LOAD_REPORT_HEADER: &str = "srv-load";
/// The header field by which a replica declares that it has not run the request.
const DECLINED_HEADER: &str = "srv-declined";

/// A step that follows from a part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseStep {
    /// Forwarding begins, with this content type: the first event is complete, or a body of another type has ended or is
    /// too long to be held back.
    Started(String),
    /// Bytes to forward to the client.
    Forward(Bytes),
    /// The response has ended in good form, but its stream is not whole. The attempt ends as a broken one.
    Incomplete(IncompleteStream),
    /// The attempt has ended.
    Ended(AttemptOutcome, Option<LoadReport>),
}

/// Reads one response.
#[derive(Debug)]
pub struct ResponseReader {
    settings: Rc<SiteSettings>,
    scanner: EventStreamScanner,
    /// The load report in the head; `None` if there is none or it is invalid.
    head_report: Option<LoadReport>,
    content_type: String,
    /// Whether the content type is that of an event stream. Other bodies are forwarded without requiring events.
    is_event_stream: bool,
    has_started: bool,
    has_ended: bool,
    /// Bytes that are held back until the first event is complete.
    held: BytesMut,
    /// The length of the body so far.
    body_bytes: u64,
}

impl ResponseReader {
    /// Creates a reader that expects the head of a response.
    pub fn new(settings: Rc<SiteSettings>) -> Self {
        ResponseReader {
            settings,
            scanner: EventStreamScanner::default(),
            head_report: None,
            content_type: String::new(),
            is_event_stream: false,
            has_started: false,
            has_ended: false,
            held: BytesMut::new(),
            body_bytes: 0,
        }
    }

    /// Processes the next part and appends the steps that follow from it. Parts after the end of the attempt are ignored.
    pub fn feed(&mut self, part: MessagePart, steps: &mut Vec<ResponseStep>) {
        if self.has_ended {
            return;
        }
        match part {
            MessagePart::Head(head) => self.on_head(&head, steps),
            MessagePart::Body(bytes) => self.on_body(bytes, steps),
            MessagePart::End => self.on_end(steps),
        }
    }

    fn on_head(&mut self, head: &Head, steps: &mut Vec<ResponseStep>) {
        self.head_report = head
            .headers
            .get(LOAD_REPORT_HEADER)
            .and_then(|text| parse_load_report(text, &self.settings));
        if let Some(outcome) = outcome_of_head(head) {
            self.has_ended = true;
            steps.push(ResponseStep::Ended(outcome, self.head_report));
        }
        let content_type = head.headers.get("content-type");
        self.content_type = content_type.unwrap_or(DEFAULT_CONTENT_TYPE).to_string();
        self.is_event_stream = is_event_stream(&self.content_type);
    }

    fn on_body(&mut self, bytes: Bytes, steps: &mut Vec<ResponseStep>) {
        self.body_bytes += bytes.len() as u64;
        self.scanner.feed(&bytes, &self.settings);
        let is_event_too_long = self.scanner.bytes_since_event() > MAX_EVENT_BYTES;
        if self.is_event_stream && is_event_too_long {
            self.on_connection_lost(steps);
            return;
        }
        if self.has_started {
            steps.push(ResponseStep::Forward(bytes));
            return;
        }
        self.held.extend_from_slice(&bytes);
        let is_long_body = !self.is_event_stream && self.held.len() > MAX_EVENT_BYTES;
        if self.scanner.event_count() > 0 || is_long_body {
            self.start(steps);
        }
    }

    fn on_end(&mut self, steps: &mut Vec<ResponseStep>) {
        // A stream that is not whole must not be forwarded as a whole one, however its response ends.
        if self.is_event_stream {
            if let Err(incomplete) = self.scanner.finish(&self.settings) {
                steps.push(ResponseStep::Incomplete(incomplete));
                self.on_connection_lost(steps);
                return;
            }
        }
        if !self.has_started {
            self.start(steps);
        }
        self.has_ended = true;
        steps.push(ResponseStep::Ended(
            AttemptOutcome::Completed,
            self.last_report(),
        ));
    }

    /// Ends the attempt with a reset: the connection was lost or ended before the response was complete. Also used if an
    /// event is too long or an event stream is not whole at its end.
    pub fn on_connection_lost(&mut self, steps: &mut Vec<ResponseStep>) {
        if self.has_ended {
            return;
        }
        self.has_ended = true;
        steps.push(ResponseStep::Ended(
            AttemptOutcome::ConnectionReset,
            self.last_report(),
        ));
    }

    /// The load report in the stream, or the load report in the head if the stream has none. Its number of cached tokens
    /// always comes from the stream.
    fn last_report(&self) -> Option<LoadReport> {
        let stream_report = self.scanner.load_report();
        match self.head_report {
            Some(head_report) if !self.scanner.has_load_report() => Some(LoadReport {
                cached_prompt_tokens: stream_report.and_then(|report| report.cached_prompt_tokens),
                ..head_report
            }),
            _ => stream_report,
        }
    }

    /// A count that grows whenever the client gets more of the answer: the events of an event stream, the bytes of another body.
    pub fn progress(&self) -> u64 {
        if self.is_event_stream {
            self.scanner.event_count()
        } else {
            self.body_bytes
        }
    }

    /// Whether forwarding has begun.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Begins to forward, with the bytes held back so far.
    fn start(&mut self, steps: &mut Vec<ResponseStep>) {
        self.has_started = true;
        let content_type = std::mem::take(&mut self.content_type);
        steps.push(ResponseStep::Started(content_type));
        let held = std::mem::take(&mut self.held).freeze();
        if !held.is_empty() {
            steps.push(ResponseStep::Forward(held));
        }
    }
}

/// The outcome if the head alone determines it; `None` if a body to forward follows. A 503 or 504 without the header
/// [`DECLINED_HEADER`] is an error, because the replica may have started to run the request.
fn outcome_of_head(head: &Head) -> Option<AttemptOutcome> {
    let is_declined = head
        .headers
        .get(DECLINED_HEADER)
        .is_some_and(|value| value.trim() == "1");
    match head.start_line {
        StartLine::Status(200) => None,
        // An invalid request of a client must neither be retried at other replicas nor count against their health.
        StartLine::Status(400..=407 | 409..=428 | 430..=499) => {
            Some(AttemptOutcome::InvalidRequest)
        }
        StartLine::Status(503 | 504) if is_declined => Some(AttemptOutcome::AtCapacity),
        _ => Some(AttemptOutcome::ServerError),
    }
}
