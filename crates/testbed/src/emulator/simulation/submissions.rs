//! The submissions in progress, with their attempts at servers. A submission is a request as a client has sent it to a
//! node; a client retry is a new submission.

use super::super::clients::ClientRequest;
use super::super::model_server::AttemptKey;
use super::super::request_trace::AttemptTrace;
use crate::Micros;
use poppykeel_scheduler::RequestId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptProgress {
    /// No server has accepted it.
    NotRun,
    /// A server has accepted it, so the request may have had an effect.
    Run,
    /// The node has received the first token.
    Streaming,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ServerAttempt {
    pub(super) server: usize,
    pub(super) progress: AttemptProgress,
    /// Whether the node has received its outcome or abandoned it.
    pub(super) is_closed: bool,
    /// Whether notices from the server no longer reach the node.
    pub(super) is_disconnected: bool,
}

impl ServerAttempt {
    pub(super) fn is_streaming(&self) -> bool {
        self.progress == AttemptProgress::Streaming
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.progress != AttemptProgress::NotRun
    }

    /// Whether the node waits for the attempt and can receive notices about it.
    pub(super) fn is_reachable(&self) -> bool {
        !self.is_closed && !self.is_disconnected
    }
}

/// One submission of a client's request, which its node handles as a request.
pub(super) struct Submission {
    pub(super) id: RequestId,
    pub(super) request: ClientRequest,
    pub(super) node: usize,
    pub(super) sent_at: Micros,
    pub(super) attempts: Vec<ServerAttempt>,
    pub(super) attempt_traces: Vec<AttemptTrace>,
    /// The attempt whose stream is forwarded to the client.
    pub(super) bound_attempt: Option<usize>,
    /// Whether the node has sent its final answer or the beginning of it.
    pub(super) is_answered: bool,
    /// When the first token reached the client.
    pub(super) first_token_at: Option<Micros>,
    /// Whether the client has its final answer or has disconnected.
    pub(super) has_ended: bool,
}

impl Submission {
    /// Returns an attempt that its node has not closed.
    pub(super) fn open_attempt(&mut self, attempt: usize) -> Option<&mut ServerAttempt> {
        self.attempts
            .get_mut(attempt)
            .filter(|attempt| !attempt.is_closed)
    }

    /// Returns an attempt whose node can still receive notices about it.
    pub(super) fn reachable_attempt(&mut self, attempt: usize) -> Option<&mut ServerAttempt> {
        self.attempts
            .get_mut(attempt)
            .filter(|attempt| attempt.is_reachable())
    }

    /// Whether it has ended for the client and the node has no open attempt.
    fn is_finished(&self) -> bool {
        self.has_ended && self.attempts.iter().all(|attempt| attempt.is_closed)
    }
}

/// Submissions by id. The lower half of an id is the slot in the table, which is reused; the upper half is unique.
#[derive(Default)]
pub(super) struct SubmissionTable {
    slots: Vec<Option<Submission>>,
    free_slots: Vec<u32>,
    inserted_count: u64,
}

impl SubmissionTable {
    /// Adds a submission that a client has just sent, and returns its id.
    pub(super) fn insert(&mut self, request: ClientRequest, node: usize, now: Micros) -> RequestId {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() as u32 - 1
        });
        self.inserted_count += 1;
        let id = RequestId(self.inserted_count << 32 | u64::from(slot));
        self.slots[slot as usize] = Some(Submission {
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

    /// Returns the submission with this id; `None` once it has been removed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Submission> {
        self.slots
            .get_mut(slot_of(id))?
            .as_mut()
            .filter(|submission| submission.id == id)
    }

    /// Returns the submission with this id, if its client still waits for the final answer.
    pub(super) fn get_open(&mut self, id: RequestId) -> Option<&mut Submission> {
        self.get_mut(id).filter(|submission| !submission.has_ended)
    }

    /// Returns an attempt whose node can still receive notices about it.
    pub(super) fn reachable_attempt(&mut self, key: AttemptKey) -> Option<&mut ServerAttempt> {
        self.get_mut(key.request)?.reachable_attempt(key.attempt)
    }

    /// Removes a submission if it has ended for the client and the node has no open attempt.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .get_mut(id)
            .is_some_and(|submission| submission.is_finished())
        {
            let slot = slot_of(id);
            self.slots[slot] = None;
            self.free_slots.push(slot as u32);
        }
    }

    /// All submissions, in the order of their slots.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Submission> {
        self.slots.iter().flatten()
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }
}

fn slot_of(id: RequestId) -> usize {
    id.0 as u32 as usize
}
