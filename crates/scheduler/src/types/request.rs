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
    /// Unique; if the id of a request that is still in progress arrives again, the second request is ignored.
    pub id: RequestId,
    /// The position of its class in the settings; a request of an unknown class is rejected.
    pub class: usize,
    /// The position of its tenant in the settings; an unknown tenant is treated as the last one.
    pub tenant: usize,
    /// Identifies its session; `None` if it has none. The prompt of a session's next request begins with this prompt.
    pub session: Option<u64>,
    /// Identifies the prompt prefix that other sessions share; `None` if there is no such prefix.
    pub shared_prefix: Option<u64>,
    /// Time until the client's timeout; a request with no time left is rejected.
    pub time_left: Seconds,
    /// Expected work in seconds; `None` if the client does not declare it.
    pub expected_work: Option<Seconds>,
    /// Prompt tokens, including the shared prefix.
    pub prompt_tokens: u64,
    /// Length of the shared prefix in tokens, a part of `prompt_tokens`.
    pub shared_prefix_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u64,
    /// The client marked it as a retry of an earlier request.
    pub is_client_retry: bool,
}
