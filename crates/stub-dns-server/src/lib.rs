//! A name server for tests and trials: it answers from a small zone, and lies by a script.
//!
//! `script` is what it is told to do, `server` turns a question's bytes into replies without a socket and without
//! a clock, `sockets` serves that on loopback UDP and TCP from a thread of its own. Tests of the resolver use the
//! middle layer with fed time, tests of the node the outer one.

mod script;
mod server;
mod sockets;

pub use script::{Lie, Record, Rule, Script};
pub use server::{Over, Reply, Server, Then};
pub use sockets::Standin;
