//! Checks the records of a run against the rules of the platform that runs the nodes.

use super::plan::Plan;
use super::records::{ClientEnd, ClientRecord, Drain, ProcessRecord, Records, ReplicaRecord};
use super::streams::StreamKind;
use std::collections::BTreeMap;
use std::time::Duration;

/// The drain grace: a draining replica may get requests for this long after the node counts as notified of the drain.
const DRAIN_GRACE: Duration = Duration::from_millis(750);
/// A time limit of the platform counts as violated only if it is exceeded by more than this.
const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// A node counts as notified of a change at the latest when discovery has had the change for this long and has been reachable
/// throughout this time.
const NOTICE_TIME: Duration = Duration::from_secs(6);
/// An unanswered long poll delays the time at which a node counts as notified without an answer, until this long after the
/// poll's requested timeout.
const UNANSWERED_POLL_ALLOWANCE: Duration = Duration::from_secs(2);
/// A final response may arrive this long after the client's deadline.
const RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);
/// A client gives up a stream this long after its last event.
const STREAM_PATIENCE: Duration = Duration::from_secs(5);
/// The end of a stream may follow its last event by this time.
const STREAM_END_ALLOWANCE: Duration = Duration::from_secs(1);
/// An attempt may reach a replica at most this long after its client has disconnected.
const DISCONNECT_ALLOWANCE: Duration = Duration::from_millis(100);
/// The deadline sent to a replica may exceed the client's remaining time by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// Requests that arrive within this time before a kill need no response.
const KILL_MARGIN: Duration = Duration::from_millis(100);
/// A kill may truncate a stream after SIGTERM only if its request was sent at most this long after SIGTERM.
const KILL_ALLOWANCE: Duration = Duration::from_millis(700);
const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// Step of the search for the time at which the node counts as notified of a change.
const SEARCH_STEP: Duration = Duration::from_millis(10);

struct Checker<'a> {
    plan: &'a Plan,
    clients: Vec<ClientRecord>,
    replicas: Vec<ReplicaRecord>,
    drains: Vec<Drain>,
    processes: Vec<ProcessRecord>,
    records: &'a Records,
    /// Tolerance of time limits: [`LIMIT_SLACK`] plus the longest scheduling delay of the test's threads.
    slack: Duration,
    violations: Vec<String>,
}

/// Returns a description of each violation of a run; empty if there is none.
pub fn check(plan: &Plan, records: &Records) -> Vec<String> {
    let scheduling_delay = *records.max_scheduling_delay.lock().unwrap();
    let mut checker = Checker {
        plan,
        clients: records.clients.lock().unwrap().clone(),
        replicas: records.replicas.lock().unwrap().clone(),
        drains: records.drains.lock().unwrap().clone(),
        processes: records.processes.lock().unwrap().clone(),
        records,
        slack: LIMIT_SLACK + scheduling_delay,
        violations: Vec::new(),
    };
    checker.check_processes();
    checker.check_responses();
    checker.check_attempts();
    checker.check_drains();
    checker.violations
}

impl Checker<'_> {
    fn check_processes(&mut self) {
        for process in &self.processes {
            if process.has_crashed {
                self.violations.push(format!("crashed: {process:?}"));
            }
            if process.ready_after > MAX_READY_TIME {
                self.violations
                    .push(format!("not ready within {MAX_READY_TIME:?}: {process:?}"));
            }
        }
    }

    /// The latest process that was started at or before this time.
    fn process_at(&self, at: Duration) -> Option<&ProcessRecord> {
        let started = |process: &&ProcessRecord| process.started_at <= at;
        self.processes.iter().rfind(started)
    }

    fn check_responses(&mut self) {
        let mut lost = Vec::new();
        for client in &self.clients {
            if let Some(why) = self.loss_reason(client) {
                lost.push(format!("lost ({why}): {client:?}"));
            }
        }
        self.violations.extend(lost);
    }

    /// The reason why a request counts as lost; `None` if it does not.
    fn loss_reason(&self, client: &ClientRecord) -> Option<&'static str> {
        let limit = client.sent_at
            + client.deadline
            + RESPONSE_ALLOWANCE
            + self.slack
            + self.suspended_during(client);
        let is_excused = self.is_excused_by_kill(client);
        if self.was_left_open(client) && !is_excused {
            return Some("left open");
        }
        match client.end {
            ClientEnd::Disconnected => None,
            ClientEnd::Answered(_) => {
                let answered_at = if self.had_stream(client, StreamKind::is_prompt) {
                    client.ended_at
                } else {
                    client.answered_at.unwrap_or(client.ended_at)
                };
                (answered_at > limit).then_some("response after the limit")
            }
            ClientEnd::Unanswered => {
                let is_due = client.ended_at > limit;
                (is_due && !is_excused).then_some("no response")
            }
            ClientEnd::Truncated if self.had_stream(client, StreamKind::is_spoilt) => None,
            ClientEnd::Truncated => (!is_excused).then_some("truncated"),
            ClientEnd::Closed => {
                let was_forwarded = self.replicas.iter().any(|record| record.id == client.id);
                if was_forwarded {
                    return (!is_excused).then_some("closed after it was forwarded");
                }
                // The node may close an idle connection before it reads a request, and, if there are many idle connections,
                // also a new one.
                let may_be_unread = !client.is_first || self.plan.idle_client_count > 0;
                let is_stopping = self
                    .process_at(client.sent_at)
                    .is_none_or(|process| process.terminated_at.is_some());
                let is_lost = !may_be_unread && !is_stopping && !is_excused;
                is_lost.then_some("a new connection was closed")
            }
        }
    }

    /// Whether an attempt of this request got a stream of this kind. Without a record, its streams were prompt ones.
    fn had_stream(&self, client: &ClientRecord, is_kind: impl Fn(&StreamKind) -> bool) -> bool {
        let attempts = || self.replicas.iter().filter(|record| record.id == client.id);
        let is_unknown = attempts().next().is_none() && is_kind(&StreamKind::Prompt);
        is_unknown || attempts().any(|record| is_kind(&record.stream))
    }

    /// Whether the client of a stream got neither an event nor the end in time.
    fn was_left_open(&self, client: &ClientRecord) -> bool {
        let Some(last_event_at) = client.last_event_at else {
            return false;
        };
        let allowance = match client.end {
            ClientEnd::Answered(_) => STREAM_END_ALLOWANCE,
            _ => STREAM_PATIENCE,
        };
        let limit = last_event_at + allowance + self.slack + self.suspended_during(client);
        client.ended_at > limit
    }

    /// How long the process was suspended during the request. It could not respond in that time.
    fn suspended_during(&self, client: &ClientRecord) -> Duration {
        let suspensions = self.records.suspensions.lock().unwrap();
        suspensions
            .iter()
            .map(|span| {
                let from = span.start.max(client.sent_at);
                span.end.min(client.ended_at).saturating_sub(from)
            })
            .sum()
    }

    /// Whether the kill of its process, or the end of the run, excuses that a response is missing or truncated.
    fn is_excused_by_kill(&self, client: &ClientRecord) -> bool {
        let Some(process) = self.process_at(client.sent_at) else {
            return true;
        };
        let Some(ended_at) = process.ended_at else {
            return client.ended_at >= self.plan.ends;
        };
        let was_in_progress = client.ended_at + KILL_MARGIN + self.slack >= ended_at;
        match process.terminated_at {
            None => was_in_progress,
            // After SIGTERM the node must reject late requests and answer earlier ones, but the kill may truncate a stream
            // that began in time.
            Some(terminated_at) => {
                let arrived_before_kill = client.sent_at + KILL_MARGIN + self.slack >= ended_at;
                let was_streaming = client.end == ClientEnd::Truncated
                    && client.sent_at <= terminated_at + KILL_ALLOWANCE;
                was_in_progress && (arrived_before_kill || was_streaming)
            }
        }
    }

    fn check_attempts(&mut self) {
        let mut received: BTreeMap<&str, Vec<&ReplicaRecord>> = BTreeMap::new();
        for record in &self.replicas {
            received.entry(&record.id).or_default().push(record);
        }
        let mut violations = Vec::new();
        for client in &self.clients {
            let attempts = received.get(client.id.as_str());
            let attempts = attempts.map_or(&[][..], Vec::as_slice);
            let run_count = attempts.iter().filter(|record| !record.is_declined).count();
            if self.plan.semantics == "unsafe" && run_count > 1 {
                violations.push(format!("ran {run_count} times: {client:?} {attempts:?}"));
            }
            for attempt in attempts {
                let latest_start = client.ended_at + DISCONNECT_ALLOWANCE + self.slack;
                if client.end == ClientEnd::Disconnected && attempt.received_at > latest_start {
                    violations.push(format!(
                        "started after its client disconnected: {client:?} {attempt:?}"
                    ));
                }
                let remaining =
                    (client.sent_at + client.deadline).saturating_sub(attempt.received_at);
                if attempt.deadline > remaining + DEADLINE_SLACK + self.slack {
                    violations.push(format!(
                        "deadline exceeds the remaining time: {client:?} {attempt:?}"
                    ));
                }
            }
        }
        self.violations.extend(violations);
    }

    fn check_drains(&mut self) {
        let mut violations = Vec::new();
        for record in &self.replicas {
            let drain = self
                .drains
                .iter()
                .find(|drain| drain.replica == record.replica);
            let (Some(drain), Some(process)) = (drain, self.process_at(record.received_at)) else {
                continue;
            };
            let Some(notified_at) = self.notified_at(drain, process, record.received_at) else {
                continue;
            };
            if record.received_at > notified_at + DRAIN_GRACE + self.slack {
                violations.push(format!(
                    "sent to a draining replica: {record:?}, {drain:?}, notified at {notified_at:?}"
                ));
            }
        }
        self.violations.extend(violations);
    }

    /// When this process counted as notified of a drain; `None` if it did not before `until`. It counts as notified from its
    /// start if its configuration contains the drain, from the first byte of an answer with the drain, and at the latest after
    /// [`NOTICE_TIME`].
    fn notified_at(
        &self,
        drain: &Drain,
        process: &ProcessRecord,
        until: Duration,
    ) -> Option<Duration> {
        if process.known_version >= drain.version {
            return Some(process.started_at);
        }
        let answers = self.records.answers.lock().unwrap();
        let written = answers
            .iter()
            .filter(|answer| {
                answer.version >= drain.version && answer.written_at >= process.started_at
            })
            .map(|answer| answer.written_at)
            .min();
        let mut at = (drain.at + NOTICE_TIME).max(process.started_at);
        while at < until && !self.is_notified_by_time(at) {
            at += SEARCH_STEP;
        }
        let by_time = (at < until).then_some(at);
        written
            .into_iter()
            .chain(by_time)
            .min()
            .filter(|at| *at < until)
    }

    /// Whether the node counts as notified at this time even without an answer: discovery was reachable for [`NOTICE_TIME`],
    /// and no long poll that is unanswered at this time excuses the node.
    fn is_notified_by_time(&self, at: Duration) -> bool {
        let polls = self.records.unanswered_polls.lock().unwrap();
        let is_excused = polls.iter().any(|poll| {
            let excused_until = poll.began_at + poll.wait + UNANSWERED_POLL_ALLOWANCE;
            let is_open = poll.closed_at.is_none_or(|closed_at| at < closed_at);
            !poll.wait.is_zero() && poll.began_at <= at && at < excused_until && is_open
        });
        !is_excused && self.plan.was_reachable(at, NOTICE_TIME)
    }
}
