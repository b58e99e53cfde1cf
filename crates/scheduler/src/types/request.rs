//! A client's request as the scheduler sees it.

use super::Seconds;

/// A request, as the embedding program numbers it. Never reused.
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
    /// The session; its next prompt begins with this one.
    pub session: Option<u64>,
    /// The beginning of the prompt that other sessions share.
    pub shared_prefix: Option<u64>,
    /// Time until the client gives up.
    pub time_left: Seconds,
    /// Expected work in seconds, where the client tells it.
    pub expected_work: Option<Seconds>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the shared beginning.
    pub shared_prefix_tokens: u64,
    /// The most tokens the answer may have.
    pub max_output_tokens: u64,
    /// The client marked it as a retry of an earlier request.
    pub is_client_retry: bool,
}
