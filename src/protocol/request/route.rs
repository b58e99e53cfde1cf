//! Where a request goes by its method and path.

use super::error::RequestError;
use crate::protocol::http::{Head, StartLine};

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const HEALTH_PATH: &str = "/healthz";

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a replica that the scheduler chooses.
    Completions,
    /// Answered by the node: whether clients may come.
    Health,
}

/// The route of a request.
///
/// # Errors
/// Where nothing is served at the path, or not with this method.
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
