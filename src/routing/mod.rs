//! Tracks requests, attempts and timers for the scheduler. The driver passes in timestamped events and carries out the
//! commands that are returned. Nothing here depends on sockets, clocks, files or HTTP.
//!
//! The scheduler makes the decisions; [`RequestRouter`] holds the resulting states. The dispatcher
//! ([`crate::transport::dispatcher`]) drives the router of a node, and the testbed's emulator drives it in simulated time.
//!
//! - `router` turns events into commands. `request` holds the states of a request and its attempts, `timers` the pending
//!   timers and `statistics` the counters.
//! - [`directory`] translates the merged endpoint list for the scheduler.
//! - [`cross_zone`] counts attempts that were sent to another zone.
//! - [`learned_state`] encodes the state that one process of a node hands to the next.

pub mod cross_zone;
pub mod directory;
pub mod learned_state;

mod command;
mod event;
mod request;
mod router;
mod statistics;
mod time;
mod timers;

pub use command::RouterCommand;
pub use event::RouterEvent;
pub use request::AttemptId;
pub use router::{ReplicaStatus, RequestRouter};
pub use statistics::{
    CountedOutcome, OutcomeCount, RequestCounters, ResponseCounts, COUNTED_OUTCOMES,
};
pub use time::{duration_micros, seconds, ClockReading, DurationMicros, MonotonicMicros};
