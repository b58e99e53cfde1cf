//! A client's request: its route, what the scheduler is told of it, and the heads that the node writes.
//!
//! `transport::client` finds the [`Route`] of each request and parses it with [`parse_request`]; `transport::upstream` writes
//! the heads of attempts. Whoever answers on the node's own behalf does so with [`local_response`].

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
