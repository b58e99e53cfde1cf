//! A name server for tests and trials: it answers from a small zone, with the faults that a script asks for.
//!
//! `script` says what to answer and which faults to make, `zone` has the records, `responder` turns a query's bytes into
//! replies without a socket and without a clock, `fault` changes replies, and `stub_server` serves them on loopback UDP and
//! TCP from threads of its own. Tests of the resolver use [`Responder`] with simulated time, tests of the node
//! [`StubDnsServer`].

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
