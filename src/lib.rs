//! A poppykeel node on real sockets: a router for fleets of language-model replicas.
//!
//! `poppykeel-scheduler` makes the scheduling decisions. This library is built around it in layers, each of which uses only
//! the layers before it: [`protocol`] (parsing and writing of messages), [`routing`] (requests, attempts and timers),
//! [`transport`] (sockets) and [`program`] (command line, configuration, start-up and shutdown).

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
