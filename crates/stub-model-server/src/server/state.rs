//! What all connections of the stub servers share: scripts, records, and which connections are idle.

use super::ServedRequest;
use crate::answer::{plan, ChatRequest, ResponsePlan};
use crate::script::{FaultRule, ReplyFault, ReplyScript};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// Requests that are recorded; further ones are only counted.
const MAX_RECORDS: usize = 200_000;

/// Identifies a connection of one of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId {
    pub server: usize,
    pub number: u64,
}

/// Where bytes go that are written to an idle connection.
pub(super) type UnsolicitedBytes = mpsc::Sender<Vec<u8>>;
pub(super) type SharedState = Arc<Mutex<State>>;

/// How often a rule has applied to a request, and how often its fault was caused.
#[derive(Clone, Copy, Default)]
struct RuleCounts {
    applied: u64,
    caused: u64,
}

/// What all servers share.
pub(super) struct State {
    scripts: Vec<ReplyScript>,
    /// Counts of each rule of each server's script.
    rule_counts: Vec<Vec<RuleCounts>>,
    /// What was recorded, in the order of arrival.
    pub served: Vec<ServedRequest>,
    /// Prompts on which a rule for first requests has acted.
    prompts_with_faults: BTreeSet<String>,
    answer_count: u64,
    connection_count: u64,
    /// Connections that wait for a request.
    idle: BTreeMap<ConnectionId, UnsolicitedBytes>,
    pub unsolicited_count: u64,
}

/// An answer that is to be sent.
pub(super) struct PreparedAnswer {
    pub plan: ResponsePlan,
    /// The answer's index in [`State::served`], if it is recorded.
    pub record_index: Option<usize>,
    /// An idle connection that gets the same bytes.
    pub duplicate: Option<UnsolicitedBytes>,
}

/// Locks the state, also after a panic of another thread that held it.
pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(super) fn new(scripts: Vec<ReplyScript>) -> State {
        State {
            rule_counts: scripts.iter().map(no_counts).collect(),
            scripts,
            served: Vec::new(),
            prompts_with_faults: BTreeSet::new(),
            answer_count: 0,
            connection_count: 0,
            idle: BTreeMap::new(),
            unsolicited_count: 0,
        }
    }

    pub(super) fn set_script(&mut self, server: usize, script: ReplyScript) {
        self.rule_counts[server] = no_counts(&script);
        self.scripts[server] = script;
    }

    pub(super) fn new_connection(&mut self, server: usize) -> ConnectionId {
        self.connection_count += 1;
        ConnectionId {
            server,
            number: self.connection_count,
        }
    }

    pub(super) fn set_idle(&mut self, id: ConnectionId, bytes: UnsolicitedBytes) {
        self.idle.insert(id, bytes);
    }

    pub(super) fn set_busy(&mut self, id: ConnectionId) {
        self.idle.remove(&id);
    }

    /// Decides how a request is answered, and records it.
    pub(super) fn prepare_answer(
        &mut self,
        server: usize,
        id: &str,
        body: &[u8],
    ) -> PreparedAnswer {
        self.answer_count += 1;
        let script = self.scripts[server].clone();
        let request = ChatRequest::parse(body, &script);
        let fault = self.fault_for(server, &script, &request);
        let answer_id = format!("stand-in-{server}-{}", self.answer_count);
        let plan = plan(&request, &answer_id, &script, fault.as_ref());
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
        PreparedAnswer {
            plan,
            record_index,
            duplicate,
        }
    }

    /// Adds to what was written of a recorded answer.
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

    fn first_idle(&self, server: usize) -> Option<UnsolicitedBytes> {
        let first = ConnectionId { server, number: 0 };
        let last = ConnectionId {
            server,
            number: u64::MAX,
        };
        let (_, connection) = self.idle.range(first..=last).next()?;
        Some(connection.clone())
    }

    /// The fault of the first rule that applies to the request and is due.
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
                let is_first = self.prompts_with_faults.len() < MAX_RECORDS
                    && self.prompts_with_faults.insert(request.prompt.clone());
                if !is_first {
                    continue;
                }
            }
            let is_due = counts.applied % rule.every.max(1) == 0;
            counts.applied += 1;
            if is_due && rule.max_count.is_none_or(|max| counts.caused < max) {
                counts.caused += 1;
                return Some(rule.fault.clone());
            }
        }
        None
    }
}

fn no_counts(script: &ReplyScript) -> Vec<RuleCounts> {
    vec![RuleCounts::default(); script.rules.len()]
}

/// Whether a rule is for requests like this one.
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
