//! Bytes to messages and back: no socket and no clock.
//!
//! `http` is the framing, `events` the event stream inside a response. `request` turns a client's request into what the
//! scheduler is told of it, `answer` a replica's response into the outcome of an attempt, `report` what a replica says of its
//! load. `discovery` reads endpoint lists and `srv` maps DNS records to endpoints. `admin` has the operators' calls. Another
//! client protocol would stand beside `request` and end in the same `IncomingRequest`.

pub mod admin;
pub mod answer;
pub mod discovery;
pub mod events;
pub mod http;
pub mod report;
pub mod request;
pub mod srv;
