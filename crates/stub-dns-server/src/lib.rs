//! A stub name server for tests and manual trials. It answers from a small zone and injects the faults of a script.
//!
//! * `script`: the script, with the records of the zone and the rules for faults.
//! * `zone`: the correct answers.
//! * `responder`: turns the bytes of a query into replies, without sockets or a clock.
//! * `fault`: applies faults to replies.
//! * `stub_server`: serves the replies on loopback over UDP and TCP, on its own threads.
//!
//! Tests of the resolver use [`Responder`] with simulated time, tests of the node use [`StubDnsServer`].

mod error;
mod fault;
mod responder;
mod script;
mod stub_server;
mod zone;

pub use error::{RecordError, ScriptError};
pub use responder::{AfterReply, Reply, Responder, Transport};
pub use script::{FaultRule, FaultyReply, Script, ZoneRecord};
pub use stub_server::StubDnsServer;
