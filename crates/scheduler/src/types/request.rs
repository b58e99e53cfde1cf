//! A client's request as passed to the scheduler.

use super::Seconds;

/// Identifies a request. Assigned by the embedding program and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// The position of its class.
    pub class: usize,
    /// The position of its tenant.
    pub tenant: usize,
    /// The session, if any. The prompt of its next request begins with this prompt.
    pub session: Option<u64>,
    /// Identifies the prompt prefix that other sessions share, if any.
    pub shared_prefix: Option<u64>,
    /// Time until the client's timeout.
    pub time_left: Seconds,
    /// Expected work in seconds, if the client declares it.
    pub expected_work: Option<Seconds>,
    /// Prompt tokens, including the shared prefix.
    pub prompt_tokens: u64,
    /// Tokens of the shared prefix.
    pub shared_prefix_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u64,
    /// The client marked it as a retry of an earlier request.
    pub is_client_retry: bool,
}
