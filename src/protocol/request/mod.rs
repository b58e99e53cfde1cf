//! Client requests: their route, the scheduler's `IncomingRequest`, and the heads that the node writes.
//!
//! `transport::client` determines the [`Route`] of each request and parses it with [`parse_request`]; `transport::replica`
//! writes the heads of attempts. [`local_response`] formats the responses that the node itself generates.

mod error;
mod extra_fields;
mod headers;
mod parse;
mod route;
mod write;

pub use error::RequestError;
pub use parse::{parse_request, MAX_BODY_BYTES};
pub use route::{route, Route};
pub use write::{
    attempt_head, get_request, local_response, replica_request_head, stream_response_head,
};
