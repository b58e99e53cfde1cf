//! Compares the responses that clients received with the records of the stub servers.
//!
//! Every request must have one final outcome. A response must not contain duplicates or gaps, events after its end, or
//! text that no server sent. Tests, benches and experiments share these checks.

use crate::event_stream::{parse_stream, ReceivedStream};
use crate::server::ServedRequest;
use crate::tokens;
use std::collections::BTreeMap;

/// The outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The client received the last chunk of the response.
    Completed,
    /// The response ended with an error event and without the last chunk.
    FailedWithError,
    /// The connection was closed without the last chunk.
    Truncated,
    /// The response has this HTTP status, which is not 200.
    Rejected(u16),
    /// There was no response, or the connection was reset.
    NoResponse,
}

/// A request and the response that its client received.
#[derive(Clone, Debug)]
pub struct ClientObservation {
    /// The request's id.
    pub id: String,
    /// Compared with the servers' records to find the attempts of this request.
    pub prompt: String,
    /// Number of tokens of the complete answer.
    pub expected_token_count: usize,
    /// Whether the request asked for the usage.
    pub wants_usage: bool,
    /// How the request ended.
    pub outcome: ClientOutcome,
    /// The bytes of the body, without chunk framing.
    pub body: Vec<u8>,
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// Number of requests checked.
    pub requests: usize,
    /// Number of complete responses.
    pub completed: usize,
    /// Number of complete responses to which more than one server has written bytes.
    pub continued: usize,
    /// Number of requests that failed with an error event or a truncated response.
    pub failed: usize,
    /// Number of rejected requests.
    pub rejected: usize,
    /// Tokens requested from servers in excess of one complete answer per request.
    pub extra_tokens: u64,
    /// Violated rules, each with the id of the request.
    pub violations: Vec<String>,
}

/// Compares the responses that clients received with the records of the servers.
pub fn check(observations: &[ClientObservation], served: &[ServedRequest]) -> CheckReport {
    let mut report = CheckReport {
        requests: observations.len(),
        ..CheckReport::default()
    };
    let mut served_by_prompt: BTreeMap<&str, Vec<&ServedRequest>> = BTreeMap::new();
    for request in served {
        served_by_prompt
            .entry(&request.prompt)
            .or_default()
            .push(request);
    }
    for observation in observations {
        let served = served_by_prompt
            .get(observation.prompt.as_str())
            .map_or(&[][..], |requests| &requests[..]);
        check_one(observation, served, &mut report);
    }
    report
}

/// Checks one request. `served` are the records with the same prompt.
fn check_one(observation: &ClientObservation, served: &[&ServedRequest], report: &mut CheckReport) {
    let planned_tokens: usize = served
        .iter()
        .map(|request| request.planned_token_count)
        .sum();
    report.extra_tokens += planned_tokens.saturating_sub(observation.expected_token_count) as u64;
    count_outcome(observation.outcome, served, report);
    let stream = parse_stream(&observation.body);
    let mut violations = stream_violations(observation, &stream, served);
    violations.extend(outcome_violations(observation, &stream));
    let ClientObservation { id, outcome, .. } = observation;
    for violation in violations {
        report
            .violations
            .push(format!("{id} ({outcome:?}): {violation}"));
    }
}

fn count_outcome(outcome: ClientOutcome, served: &[&ServedRequest], report: &mut CheckReport) {
    match outcome {
        ClientOutcome::Completed => {
            let writer_count = served
                .iter()
                .filter(|request| request.written_bytes > 0)
                .count();
            report.completed += 1;
            report.continued += usize::from(writer_count > 1);
        }
        ClientOutcome::FailedWithError | ClientOutcome::Truncated => report.failed += 1,
        ClientOutcome::Rejected(_) => report.rejected += 1,
        ClientOutcome::NoResponse => {}
    }
}

/// Checks the rules that apply to every stream, regardless of its outcome.
fn stream_violations(
    observation: &ClientObservation,
    stream: &ReceivedStream,
    served: &[&ServedRequest],
) -> Vec<String> {
    let mut violations = Vec::new();
    if !expected_text(observation).starts_with(&stream.text) {
        violations.push(format!(
            "the text is not the beginning of the expected text: '{}'",
            stream.text
        ));
    }
    if stream.ids.len() > 1 {
        violations.push(format!("several response ids: {:?}", stream.ids));
    }
    if stream.finish_reasons.len() > 1 || stream.done_count > 1 || stream.usages.len() > 1 {
        violations.push("duplicate finish reason, [DONE] event or usage".into());
    }
    if stream.late_event_count > 0 {
        violations.push("events after the end".into());
    }
    if !stream.text.is_empty() && served.is_empty() {
        violations.push("text although no server recorded a request with this prompt".into());
    }
    let expected = observation.expected_token_count;
    for usage in &stream.usages {
        let reported = usage.completion_tokens;
        if reported != expected as u64 {
            violations.push(format!(
                "usage reports {reported} completion tokens, expected {expected}"
            ));
        }
    }
    violations
}

/// Checks the rules that depend on the outcome of the request.
fn outcome_violations(observation: &ClientObservation, stream: &ReceivedStream) -> Vec<String> {
    let mut violations = Vec::new();
    match observation.outcome {
        ClientOutcome::Completed => {
            if stream.text != expected_text(observation) {
                violations.push("the text is incomplete although the response completed".into());
            }
            if stream.finish_reasons.len() != 1 || stream.done_count != 1 {
                violations.push(
                    "complete response without exactly one finish reason and [DONE] event".into(),
                );
            }
        }
        ClientOutcome::FailedWithError => {
            if stream.error_count != 1 {
                violations.push("failed response without exactly one error event".into());
            }
        }
        ClientOutcome::NoResponse => violations.push("no response".into()),
        ClientOutcome::Truncated | ClientOutcome::Rejected(_) => {}
    }
    violations
}

fn expected_text(observation: &ClientObservation) -> String {
    tokens::answer_text(&observation.prompt, observation.expected_token_count)
}
