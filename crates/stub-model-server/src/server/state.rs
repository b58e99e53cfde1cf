//! State shared by all connections of the stub servers: scripts, records and idle connections.

use super::ServedRequest;
use crate::response_plan::{plan_response, ChatRequest, ResponsePlan};
use crate::script::{FaultRule, ReplyFault, ReplyScript};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Maximum number of recorded requests. Further requests are served but not recorded.
const MAX_RECORDS: usize = 200_000;

/// Identifies a connection of one of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId {
    pub server: usize,
    pub number: u64,
}

/// Sends unsolicited bytes to an idle connection.
pub(super) type UnsolicitedSender = mpsc::Sender<Vec<u8>>;
pub(super) type SharedState = Arc<Mutex<State>>;

/// Number of requests that a rule matched, and number of faults that it injected.
#[derive(Clone, Copy, Default)]
struct RuleCounts {
    matched: u64,
    injected: u64,
}

pub(super) struct State {
    scripts: Vec<ReplyScript>,
    /// Counts per rule, for the script of each server.
    rule_counts: Vec<Vec<RuleCounts>>,
    /// Recorded requests, in order of arrival.
    pub served: Vec<ServedRequest>,
    /// Prompts that a rule with `first_of_prompt_only` has matched.
    matched_prompts: BTreeSet<String>,
    response_count: u64,
    connection_count: u64,
    /// Connections that are waiting for a request.
    idle: BTreeMap<ConnectionId, UnsolicitedSender>,
    pub unsolicited_count: u64,
}

/// A response that is ready to be sent.
pub(super) struct PreparedResponse {
    pub plan: ResponsePlan,
    /// Index of the record in [`State::served`]; `None` if the request is not recorded.
    pub record_index: Option<usize>,
    /// An idle connection on which the same bytes are sent; `None` if they are sent only once.
    pub duplicate: Option<UnsolicitedSender>,
}

/// Locks the state, ignoring poisoning by a panic of another thread.
pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(super) fn new(scripts: Vec<ReplyScript>) -> State {
        State {
            rule_counts: scripts.iter().map(zero_counts).collect(),
            scripts,
            served: Vec::new(),
            matched_prompts: BTreeSet::new(),
            response_count: 0,
            connection_count: 0,
            idle: BTreeMap::new(),
            unsolicited_count: 0,
        }
    }

    pub(super) fn set_script(&mut self, server: usize, script: ReplyScript) {
        self.rule_counts[server] = zero_counts(&script);
        self.scripts[server] = script;
    }

    pub(super) fn new_connection(&mut self, server: usize) -> ConnectionId {
        self.connection_count += 1;
        ConnectionId {
            server,
            number: self.connection_count,
        }
    }

    pub(super) fn set_idle(&mut self, id: ConnectionId, bytes: UnsolicitedSender) {
        self.idle.insert(id, bytes);
    }

    pub(super) fn set_busy(&mut self, id: ConnectionId) {
        self.idle.remove(&id);
    }

    /// Plans the response to a request and records the request.
    pub(super) fn prepare_response(
        &mut self,
        server: usize,
        id: &str,
        body: &[u8],
    ) -> PreparedResponse {
        self.response_count += 1;
        let script = self.scripts[server].clone();
        let request = ChatRequest::parse(body, &script);
        let fault = self.fault_for(server, &script, &request);
        let response_id = format!("stand-in-{server}-{}", self.response_count);
        let plan = plan_response(&request, &response_id, &script, fault.as_ref());
        let duplicate = if fault == Some(ReplyFault::DuplicateOnIdleConnection) {
            self.first_idle(server)
        } else {
            None
        };
        self.unsolicited_count += u64::from(duplicate.is_some());
        let record_index = self.record(ServedRequest {
            server,
            id: id.to_string(),
            prompt: request.prompt,
            tokens_before: request.tokens_before,
            planned_token_count: plan.token_count,
            written_bytes: 0,
            is_complete: false,
        });
        PreparedResponse {
            plan,
            record_index,
            duplicate,
        }
    }

    /// Updates the record of a request with the progress of its response.
    pub(super) fn record_progress(
        &mut self,
        record_index: Option<usize>,
        written_bytes: usize,
        is_complete: bool,
    ) {
        if let Some(record) = record_index.and_then(|index| self.served.get_mut(index)) {
            record.written_bytes += written_bytes;
            record.is_complete = is_complete;
        }
    }

    fn record(&mut self, request: ServedRequest) -> Option<usize> {
        let index = self.served.len();
        if index >= MAX_RECORDS {
            return None;
        }
        self.served.push(request);
        Some(index)
    }

    fn first_idle(&self, server: usize) -> Option<UnsolicitedSender> {
        let first = ConnectionId { server, number: 0 };
        let last = ConnectionId {
            server,
            number: u64::MAX,
        };
        let (_, connection) = self.idle.range(first..=last).next()?;
        Some(connection.clone())
    }

    /// The fault of the first rule that matches the request and is due; `None` if there is none.
    fn fault_for(
        &mut self,
        server: usize,
        script: &ReplyScript,
        request: &ChatRequest,
    ) -> Option<ReplyFault> {
        for (rule, counts) in script.rules.iter().zip(&mut self.rule_counts[server]) {
            if !matches_request(rule, request) {
                continue;
            }
            if rule.first_of_prompt_only {
                let is_first = self.matched_prompts.len() < MAX_RECORDS
                    && self.matched_prompts.insert(request.prompt.clone());
                if !is_first {
                    continue;
                }
            }
            let is_due = counts.matched % rule.every.max(1) == 0;
            counts.matched += 1;
            if is_due && rule.max_count.is_none_or(|max| counts.injected < max) {
                counts.injected += 1;
                return Some(rule.fault.clone());
            }
        }
        None
    }
}

fn zero_counts(script: &ReplyScript) -> Vec<RuleCounts> {
    vec![RuleCounts::default(); script.rules.len()]
}

/// Whether the conditions of a rule match the request.
fn matches_request(rule: &FaultRule, request: &ChatRequest) -> bool {
    let has_prompt = rule
        .prompt
        .as_ref()
        .is_none_or(|text| request.prompt.contains(text));
    let is_continuation = request.tokens_before > 0;
    has_prompt
        && rule
            .is_continuation
            .is_none_or(|wanted| wanted == is_continuation)
}
