//! Routes a request by its method and path.

use super::error::RequestError;
use crate::protocol::http::{Head, StartLine};

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const HEALTH_PATH: &str = "/healthz";

/// The destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Forwarded to a replica that the scheduler chooses.
    Completions,
    /// Answered by the node itself: whether it accepts clients.
    Health,
}

/// Returns the route of a request.
///
/// # Errors
/// If nothing is served at the path or with this method.
pub fn route(head: &Head) -> Result<Route, RequestError> {
    let StartLine::Request { method, target } = &head.start_line else {
        return Err(RequestError::bad_request("not a request"));
    };
    let path = target.split('?').next().unwrap_or_default();
    match (method.as_str(), path) {
        ("POST", COMPLETIONS_PATH) => Ok(Route::Completions),
        ("GET", HEALTH_PATH) => Ok(Route::Health),
        (_, COMPLETIONS_PATH) => Err(RequestError::new(405, "only POST is served at this path")),
        (_, HEALTH_PATH) => Err(RequestError::new(405, "only GET is served at this path")),
        _ => Err(RequestError::new(404, "nothing is served at this path")),
    }
}
