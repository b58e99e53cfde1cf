//! Checks what clients received against what the servers recorded: every request has one final outcome, nothing is
//! doubled, nothing is missing inside a text, nothing follows an end, and nothing comes that no server wrote.
//!
//! Tests, benches and experiments use the same checks.

use crate::event_stream::{read_stream, ReceivedStream};
use crate::server::ServedRequest;
use crate::tokens;
use std::collections::BTreeMap;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The response came to its last chunk.
    Completed,
    /// An event said that the request failed, and the last chunk is missing.
    FailedWithError,
    /// The connection was closed without the last chunk.
    Truncated,
    /// The response has this status, which is not 200.
    Rejected(u16),
    /// There was no response, or the connection was reset.
    NoResponse,
}

/// What a client received.
#[derive(Clone, Debug)]
pub struct ClientObservation {
    /// The request's id.
    pub id: String,
    /// Its prompt.
    pub prompt: String,
    /// Tokens of a complete answer.
    pub expected_token_count: usize,
    /// Whether the request asked for the usage.
    pub wants_usage: bool,
    /// How it ended.
    pub outcome: ClientOutcome,
    /// The bytes of the body, without chunk framing.
    pub body: Vec<u8>,
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// Requests that were checked.
    pub requests: usize,
    /// Answers that were complete.
    pub completed: usize,
    /// Complete answers that several servers wrote.
    pub continued: usize,
    /// Requests that failed, with an error event or by a truncation.
    pub failed: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Tokens that servers were asked for beyond those of one answer each.
    pub extra_tokens: u64,
    /// Violated rules, each as a text that names the request.
    pub violations: Vec<String>,
}

/// Checks what clients received against what the servers recorded.
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

/// Checks one request; `served` is what servers recorded of its prompt.
fn check_one(observation: &ClientObservation, served: &[&ServedRequest], report: &mut CheckReport) {
    let planned_tokens: usize = served
        .iter()
        .map(|request| request.planned_token_count)
        .sum();
    report.extra_tokens += planned_tokens.saturating_sub(observation.expected_token_count) as u64;
    count_outcome(observation.outcome, served, report);
    let stream = read_stream(&observation.body);
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

/// Rules that hold of every stream, however it ended.
fn stream_violations(
    observation: &ClientObservation,
    stream: &ReceivedStream,
    served: &[&ServedRequest],
) -> Vec<String> {
    let mut violations = Vec::new();
    if !expected_text(observation).starts_with(&stream.text) {
        violations.push(format!(
            "the text is not the beginning of the right one: '{}'",
            stream.text
        ));
    }
    if stream.ids.len() > 1 {
        violations.push(format!("several ids: {:?}", stream.ids));
    }
    if stream.finish_reasons.len() > 1 || stream.done_count > 1 || stream.usages.len() > 1 {
        violations.push("a finish reason, an end or a usage came twice".into());
    }
    if stream.late_event_count > 0 {
        violations.push("events after the end".into());
    }
    if !stream.text.is_empty() && served.is_empty() {
        violations.push("text that no server wrote".into());
    }
    let expected = observation.expected_token_count;
    for usage in &stream.usages {
        let reported = usage.completion_tokens;
        if reported != expected as u64 {
            violations.push(format!(
                "a usage of {reported} tokens for an answer of {expected}"
            ));
        }
    }
    violations
}

/// Rules that follow from how the request ended.
fn outcome_violations(observation: &ClientObservation, stream: &ReceivedStream) -> Vec<String> {
    let mut violations = Vec::new();
    match observation.outcome {
        ClientOutcome::Completed => {
            if stream.text != expected_text(observation) {
                violations.push("the text is not whole, and the answer says it is".into());
            }
            if stream.finish_reasons.len() != 1 || stream.done_count != 1 {
                violations.push("a whole answer lacks its finish reason or its end".into());
            }
        }
        ClientOutcome::FailedWithError => {
            if stream.error_count != 1 {
                violations.push("a failed answer does not have exactly one error event".into());
            }
        }
        ClientOutcome::NoResponse => violations.push("no final outcome".into()),
        ClientOutcome::Truncated | ClientOutcome::Rejected(_) => {}
    }
    violations
}

fn expected_text(observation: &ClientObservation) -> String {
    tokens::answer_text(&observation.prompt, observation.expected_token_count)
}
