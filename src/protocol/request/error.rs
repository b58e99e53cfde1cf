//! Rejections of requests before they reach the scheduler.

/// A rejection, which the node answers itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RequestError {
    /// The status code of the response.
    pub status: u16,
    /// The message in the body of the response.
    pub reason: String,
}

impl RequestError {
    pub(super) fn new(status: u16, reason: impl Into<String>) -> RequestError {
        RequestError {
            status,
            reason: reason.into(),
        }
    }

    /// A rejection with status 400.
    pub(super) fn bad_request(reason: impl Into<String>) -> RequestError {
        RequestError::new(400, reason)
    }
}
