//! Why a request is rejected before the scheduler sees it.

/// A response of the node's own that rejects a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RequestError {
    /// The status code of the response.
    pub status: u16,
    /// What is wrong, for people.
    pub reason: String,
}

impl RequestError {
    /// A rejection with this status code.
    pub(super) fn new(status: u16, reason: impl Into<String>) -> RequestError {
        RequestError {
            status,
            reason: reason.into(),
        }
    }

    /// The request is not as it should be.
    pub(super) fn bad_request(reason: impl Into<String>) -> RequestError {
        RequestError::new(400, reason)
    }
}
