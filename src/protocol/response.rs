//! A replica's response: fed the parts of one message, a reader says what to forward and how the attempt ended.
//!
//! `transport::upstream` has one reader for each attempt.

use crate::protocol::event_stream::EventStreamScanner;
use crate::protocol::http::{Head, MessagePart, StartLine};
use crate::protocol::load_report::parse_load_report;
use bytes::{Bytes, BytesMut};
use poppykeel_scheduler::{AttemptOutcome, LoadReport};
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;

/// The longest event, in bytes: a stream that goes on without completing one is broken, and would never end.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// The content type of an event stream.
const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// The header field with a load report.
const LOAD_REPORT_HEADER: &str = "srv-load";
/// The header field by which a replica says that the request never ran.
const DECLINED_HEADER: &str = "srv-declined";

/// What follows from a part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseStep {
    /// The first event is complete: the stream begins, with this content type.
    Started(String),
    /// Bytes for the client.
    Forward(Bytes),
    /// The attempt has ended.
    Ended(AttemptOutcome, Option<LoadReport>),
}

/// Reads one response.
#[derive(Debug)]
pub struct ResponseReader {
    settings: Rc<SiteSettings>,
    scanner: EventStreamScanner,
    /// The load report in the head.
    head_report: Option<LoadReport>,
    content_type: String,
    /// Whether the body is an event stream, as its content type says; other bodies are forwarded as they are.
    is_event_stream: bool,
    has_started: bool,
    has_ended: bool,
    /// Bytes that came before the first event was complete.
    held: BytesMut,
}

impl ResponseReader {
    /// A reader before the head of the response.
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
        }
    }

    /// Takes the next part and appends what follows from it. Parts after the end of the attempt are ignored.
    pub fn feed(&mut self, part: MessagePart, steps: &mut Vec<ResponseStep>) {
        if self.has_ended {
            return;
        }
        match part {
            MessagePart::Head(head) => self.take_head(&head, steps),
            MessagePart::Body(bytes) => self.take_body(bytes, steps),
            MessagePart::End => self.take_end(steps),
        }
    }

    fn take_head(&mut self, head: &Head, steps: &mut Vec<ResponseStep>) {
        self.head_report = head
            .headers
            .get(LOAD_REPORT_HEADER)
            .and_then(|text| parse_load_report(text, &self.settings));
        if let Some(outcome) = outcome_of_head(head) {
            self.has_ended = true;
            steps.push(ResponseStep::Ended(outcome, self.head_report));
        }
        let content_type = head.headers.get("content-type");
        self.content_type = content_type.unwrap_or(EVENT_STREAM_TYPE).to_string();
        self.is_event_stream = self.content_type.starts_with(EVENT_STREAM_TYPE);
    }

    fn take_body(&mut self, bytes: Bytes, steps: &mut Vec<ResponseStep>) {
        self.scanner.feed(&bytes, &self.settings);
        if self.is_event_stream && self.scanner.unfinished_event_bytes() > MAX_EVENT_BYTES {
            self.on_connection_lost(steps);
            return;
        }
        if self.has_started {
            steps.push(ResponseStep::Forward(bytes));
            return;
        }
        self.held.extend_from_slice(&bytes);
        if self.scanner.event_count() > 0 || self.held.len() > MAX_EVENT_BYTES {
            self.start(steps);
        }
    }

    fn take_end(&mut self, steps: &mut Vec<ResponseStep>) {
        // Bytes without an event and with a proper end are no response: none of them may reach the client as one.
        if self.is_event_stream && self.scanner.event_count() == 0 {
            self.on_connection_lost(steps);
            return;
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

    /// The connection was lost, or ended before the response did.
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

    /// The load report in the stream, or else the one in the head; the number of cached tokens comes with either.
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

    /// Whether the first event has been forwarded.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Begins to forward, with the bytes held so far.
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

/// The outcome that a head alone says; `None` where a stream follows. Only the replica's own word proves that the request
/// never ran: a 503 without it may come from one that began.
fn outcome_of_head(head: &Head) -> Option<AttemptOutcome> {
    let is_declined = head
        .headers
        .get(DECLINED_HEADER)
        .is_some_and(|value| value.trim() == "1");
    match head.start_line {
        StartLine::Status(200) => None,
        // What a bad client sends must neither be tried at replica after replica nor make them seem unhealthy.
        StartLine::Status(400..=407 | 409..=428 | 430..=499) => {
            Some(AttemptOutcome::InvalidRequest)
        }
        StartLine::Status(503 | 504) if is_declined => Some(AttemptOutcome::AtCapacity),
        _ => Some(AttemptOutcome::ServerError),
    }
}
