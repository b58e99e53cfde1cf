//! Answers that stream: whether they flow, stall or break, and what can be saved of them.
//!
//! Nothing here reads a socket or a clock: events, bytes and the time are fed in. `health` says how a stream fares
//! and how long a silence may last, `story` keeps what has been passed on to the client and makes one coherent
//! stream of several upstreams, `recovery` judges how a stream that has ended before its end is to end, within
//! budgets. `docs/streams.md` has the table of states and the ways weighed.

mod health;
mod recovery;
mod story;

pub use health::{Gaps, Health, Limits, Micros, State};
pub use recovery::{judge, Budget, Budgets, Case, Ends, Refusal};
pub use story::{Passed, Progress, Story};
