//! Watchers of the endpoint sources.
//!
//! [`discovery`] polls the endpoint list over HTTP: `watcher_state` has its states, `poll` one exchange with the service,
//! and `poll_log` the log output. [`srv`] looks up DNS SRV records. Each watcher sends the answers and failures of its
//! source to the dispatcher, which owns the combined list; `program::serve` and `program::resolve` create the watchers.

pub mod discovery;
mod poll;
mod poll_log;
pub mod srv;
mod watcher_state;
