//! The watchers of the endpoint sources.
//!
//! [`discovery`] polls the endpoint list over HTTP: its states are in `watcher_state`, one exchange with the service in
//! `poll`, what the log says of them in `poll_log`. [`srv`] looks up DNS SRV records. Each watcher sends what its source reports to the dispatcher, which owns
//! the combined list; `program::serve` and `program::resolve` create them.

pub mod discovery;
mod poll;
mod poll_log;
pub mod srv;
mod watcher_state;
