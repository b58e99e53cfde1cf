//! Bytes to messages and back: no socket and no clock.
//!
//! `http` is the framing, `events` the event stream inside an answer. `request` turns a client's request into
//! the module's arrival, `answer` a replica's answer into outcomes, `report` what it says of its load, `discovery` lists
//! and `srv` DNS records into what the account of membership is told. Another client protocol would stand beside `request` and end in the same arrival.

pub mod admin;
pub mod answer;
pub mod discovery;
pub mod events;
pub mod http;
pub mod report;
pub mod request;
pub mod srv;
