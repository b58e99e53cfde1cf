//! Parsing and formatting of messages, without sockets and clocks.
//!
//! - `http`: HTTP/1.1 framing
//! - `event_stream`: events and load reports in a streamed response body
//! - `request`: from a client's request to the scheduler's `IncomingRequest`; another client protocol would be a module
//!   beside this one with the same result
//! - `response`: from a replica's response to the outcome of an attempt
//! - `load_report`: load reports of replicas
//! - `discovery`: endpoint lists
//! - `srv`: from DNS records to endpoints
//! - `admin`: admin requests and metrics

pub mod admin;
pub mod discovery;
pub mod event_stream;
pub mod http;
pub mod load_report;
pub mod request;
pub mod response;
pub mod srv;
