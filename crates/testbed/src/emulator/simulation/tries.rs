//! The tries of clients that are not forgotten yet, with their attempts at servers.

use super::super::clients::ClientRequest;
use super::super::model_server::AttemptKey;
use super::super::request_trace::AttemptTrace;
use crate::Micros;
use poppykeel_scheduler::RequestId;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptProgress {
    /// No server has taken it.
    NotRun,
    /// A server has taken it, so that its request may have had an effect.
    Run,
    /// Its node has had the first token.
    Streaming,
}

/// An attempt at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerAttempt {
    pub(super) server: usize,
    pub(super) progress: AttemptProgress,
    /// The node knows how it ended, or does not want to know.
    pub(super) is_closed: bool,
    /// What the server sends of it no longer arrives.
    pub(super) is_cut_off: bool,
}

impl ServerAttempt {
    pub(super) fn is_streaming(&self) -> bool {
        self.progress == AttemptProgress::Streaming
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.progress != AttemptProgress::NotRun
    }

    /// Whether the node still waits for it and can hear of it.
    pub(super) fn is_reachable(&self) -> bool {
        !self.is_closed && !self.is_cut_off
    }
}

/// One try of a client's request: what its node knows as a request.
pub(super) struct ClientTry {
    pub(super) id: RequestId,
    pub(super) request: ClientRequest,
    pub(super) node: usize,
    pub(super) sent_at: Micros,
    pub(super) attempts: Vec<ServerAttempt>,
    pub(super) attempt_traces: Vec<AttemptTrace>,
    /// The attempt whose stream goes to the client.
    pub(super) bound_attempt: Option<usize>,
    /// Its node has given its final answer, or begun it.
    pub(super) is_answered: bool,
    /// When the first token reached the client.
    pub(super) first_token_at: Option<Micros>,
    /// The client has its final answer, or has left.
    pub(super) has_ended: bool,
}

impl ClientTry {
    /// An attempt that its node has not closed.
    pub(super) fn open_attempt(&mut self, attempt: usize) -> Option<&mut ServerAttempt> {
        self.attempts
            .get_mut(attempt)
            .filter(|attempt| !attempt.is_closed)
    }

    /// An attempt of which its node can still hear.
    pub(super) fn reachable_attempt(&mut self, attempt: usize) -> Option<&mut ServerAttempt> {
        self.attempts
            .get_mut(attempt)
            .filter(|attempt| attempt.is_reachable())
    }

    /// Whether neither its client nor its node waits for anything.
    fn is_finished(&self) -> bool {
        self.has_ended && self.attempts.iter().all(|attempt| attempt.is_closed)
    }
}

/// The tries by id. The lower half of an id is the slot in the table, which later tries use again; the upper half is
/// never used twice.
#[derive(Default)]
pub(super) struct TryTable {
    slots: Vec<Option<ClientTry>>,
    free_slots: Vec<u32>,
    inserted_count: u64,
}

impl TryTable {
    /// Adds a try that a client has just sent, and returns its id.
    pub(super) fn insert(&mut self, request: ClientRequest, node: usize, now: Micros) -> RequestId {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() as u32 - 1
        });
        self.inserted_count += 1;
        let id = RequestId(self.inserted_count << 32 | u64::from(slot));
        self.slots[slot as usize] = Some(ClientTry {
            id,
            request,
            node,
            sent_at: now,
            attempts: Vec::new(),
            attempt_traces: Vec::new(),
            bound_attempt: None,
            is_answered: false,
            first_token_at: None,
            has_ended: false,
        });
        id
    }

    /// The try with this id; `None` once it is forgotten.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut ClientTry> {
        self.slots
            .get_mut(slot_of(id))?
            .as_mut()
            .filter(|client_try| client_try.id == id)
    }

    /// The try with this id, if its client still waits for the final answer.
    pub(super) fn get_unended(&mut self, id: RequestId) -> Option<&mut ClientTry> {
        self.get_mut(id).filter(|client_try| !client_try.has_ended)
    }

    /// An attempt of which its node can still hear, with the node.
    pub(super) fn reachable_attempt(&mut self, key: AttemptKey) -> Option<&mut ServerAttempt> {
        self.get_mut(key.request)?.reachable_attempt(key.attempt)
    }

    /// Forgets a try for which neither its client nor its node waits.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .get_mut(id)
            .is_some_and(|client_try| client_try.is_finished())
        {
            let slot = slot_of(id);
            self.slots[slot] = None;
            self.free_slots.push(slot as u32);
        }
    }

    /// All tries, in the order of their slots.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ClientTry> {
        self.slots.iter().flatten()
    }

    /// How many tries there are.
    pub(super) fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }
}

fn slot_of(id: RequestId) -> usize {
    id.0 as u32 as usize
}
