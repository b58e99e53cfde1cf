//! Requests, their attempts and their timers around the scheduler. Events with a time come in, commands go out; nothing
//! here knows a socket, a clock, a file or HTTP.
//!
//! The scheduler decides; [`RequestRouter`] keeps the states that follow from its decisions. The dispatcher
//! ([`crate::transport::dispatcher`]) drives the router of a node, and the testbed's emulator drives it with simulated time.
//!
//! - `router` takes events and returns commands, `request` holds the states of a request and its attempts, `timers` what is
//!   due when, and `statistics` what has happened so far.
//! - [`directory`] turns the merged endpoint list into the scheduler's terms.
//! - [`cross_zone`] counts attempts that were sent to another zone.
//! - [`learned_state`] is the record that one process of a node leaves to the next.

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
