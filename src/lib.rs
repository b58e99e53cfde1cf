//! The node of poppykeel on real sockets: a router for fleets of language-model servers.
//!
//! The decisions are in `poppykeel-scheduler`. This library has what is round them, in layers that each use only those
//! before them: [`protocol`] (bytes to messages), [`routing`] (requests, attempts and timers), [`transport`] (sockets) and
//! [`program`] (command line, configuration, start and end).

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
