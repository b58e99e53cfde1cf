//! Bytes to messages and back: no socket and no clock.
//!
//! `http` is the framing, `event_stream` the event stream inside a response. `request` turns a client's request into what the
//! scheduler is told of it, `response` a replica's response into the outcome of an attempt, `load_report` what a replica says of its
//! load. `discovery` reads endpoint lists and `srv` maps DNS records to endpoints. `admin` has the operators' calls. Another
//! client protocol would stand beside `request` and end in the same `IncomingRequest`.

pub mod admin;
pub mod discovery;
pub mod event_stream;
pub mod http;
pub mod load_report;
pub mod request;
pub mod response;
pub mod srv;
