//! Requests, their attempts and their timers around the scheduler. Events with a time come in, commands go out; nothing
//! here knows a socket, a clock or HTTP.

pub mod cross_zone;
pub mod directory;
pub mod learned_state;
mod router;

pub use router::{
    seconds, MonotonicMicros, RequestCounters, RequestRouter, RouterCommand, RouterEvent,
    COUNTED_OUTCOMES,
};
