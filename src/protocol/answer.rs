//! A replica's answer: fed the parts of one message, it says what to pass on and how the attempt ended.

#![expect(clippy::min_ident_chars, reason = "not yet converted")]

use crate::protocol::events::EventStreamScanner;
use crate::protocol::http::{Head, Headers, MessagePart, StartLine};
use crate::protocol::report::parse_load_report;
use bytes::{Bytes, BytesMut};
use poppykeel_scheduler::{AttemptOutcome, LoadReport};
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;

/// The longest event: a stream that goes on without completing one is spoilt, and would never end.
const MOST_EVENT: usize = 64 * 1024;

/// The type of an event stream.
const EVENTS: &str = "text/event-stream";

/// What an answer comes to, part by part.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseStep {
    /// The first event is here: the stream begins, with this content type.
    Started(String),
    /// Bytes for the client.
    Forward(Bytes),
    /// The attempt has ended.
    Ended(AttemptOutcome, Option<LoadReport>),
}

/// Reads one answer.
#[derive(Debug)]
pub struct ResponseReader {
    boot: Rc<SiteSettings>,
    scan: EventStreamScanner,
    report: Option<LoadReport>,
    content_type: String,
    /// The body is a stream of events, as its type says; other bodies pass as they are.
    events: bool,
    started: bool,
    done: bool,
    held: BytesMut,
}

impl ResponseReader {
    /// Nothing has come yet.
    pub fn new(boot: Rc<SiteSettings>) -> Self {
        let (scan, content_type, held) = Default::default();
        ResponseReader {
            boot,
            scan,
            report: None,
            content_type,
            events: false,
            started: false,
            done: false,
            held,
        }
    }

    /// Takes the next part and appends what follows from it.
    pub fn feed(&mut self, part: MessagePart, steps: &mut Vec<ResponseStep>) {
        match part {
            _ if self.done => {}
            MessagePart::Head(head) => {
                self.report = head
                    .headers
                    .get("srv-load")
                    .and_then(|v| parse_load_report(v, &self.boot));
                if let Some(outcome) = verdict(&head) {
                    self.done = true;
                    steps.push(ResponseStep::Ended(outcome, self.report));
                }
                let kind = head.headers.get("content-type");
                self.content_type = kind.unwrap_or(EVENTS).to_string();
                self.events = self.content_type.starts_with(EVENTS);
            }
            MessagePart::Body(bytes) => {
                self.scan.feed(&bytes, &self.boot);
                if self.events && self.scan.unfinished_event_bytes() > MOST_EVENT {
                    return self.connection_lost(steps);
                }
                if self.started {
                    return steps.push(ResponseStep::Forward(bytes));
                }
                self.held.extend_from_slice(&bytes);
                if self.scan.event_count() > 0 || self.held.len() > MOST_EVENT {
                    self.start(steps);
                }
            }
            MessagePart::End => {
                // Noise with a proper end is not an answer: nothing of it may reach the client as served.
                if self.events && self.scan.event_count() == 0 {
                    return self.connection_lost(steps);
                }
                if !self.started {
                    self.start(steps);
                }
                self.done = true;
                steps.push(ResponseStep::Ended(
                    AttemptOutcome::Completed,
                    self.last_report(),
                ));
            }
        }
    }

    /// The connection broke, or ended before the answer did.
    pub fn connection_lost(&mut self, steps: &mut Vec<ResponseStep>) {
        if !std::mem::replace(&mut self.done, true) {
            steps.push(ResponseStep::Ended(
                AttemptOutcome::ConnectionReset,
                self.last_report(),
            ));
        }
    }

    /// The report in the stream, else the one in its head; what was found kept goes with either.
    fn last_report(&self) -> Option<LoadReport> {
        let told = self.scan.load_report();
        match self.report.filter(|_| !self.scan.has_load_report()) {
            Some(head) => Some(LoadReport {
                cached_prompt_tokens: told.and_then(|r| r.cached_prompt_tokens),
                ..head
            }),
            None => told,
        }
    }

    /// Whether the first event has passed.
    pub fn has_started(&self) -> bool {
        self.started
    }

    fn start(&mut self, steps: &mut Vec<ResponseStep>) {
        self.started = true;
        steps.push(ResponseStep::Started(std::mem::take(
            &mut self.content_type,
        )));
        let held = std::mem::take(&mut self.held).freeze();
        if !held.is_empty() {
            steps.push(ResponseStep::Forward(held));
        }
    }
}

/// The outcome that a head alone tells; none where a stream follows. Only the replica's own word proves that
/// the request never ran: a 503 without it may come from one that began.
fn verdict(head: &Head) -> Option<AttemptOutcome> {
    let declined = |h: &Headers| h.get("srv-declined").is_some_and(|v| v.trim() == "1");
    match head.start_line {
        StartLine::Status(200) => None,
        // What a bad client sends must neither be tried at replica after replica nor make them seem ill.
        StartLine::Status(400..=407 | 409..=428 | 430..=499) => {
            Some(AttemptOutcome::InvalidRequest)
        }
        StartLine::Status(503 | 504) if declined(&head.headers) => Some(AttemptOutcome::AtCapacity),
        _ => Some(AttemptOutcome::ServerError),
    }
}
