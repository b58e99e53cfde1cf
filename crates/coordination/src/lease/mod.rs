//! Leases from a quorum of keepers.
//!
//! A node asks all keepers for a task under an epoch that is higher than any it has heard of. A keeper grants if no
//! other node's grant has time left by the keeper's clock. With a majority of grants the node holds the task, from
//! the moment it *asked*, for the length less the stated drift by its own clock.

mod client;
mod messages;
mod server;

pub use client::{Claim, Terms};
pub use messages::{Entry, Holder, Record, ToKeeper, ToNode};
pub use server::{Done, Keeper, Row, Rules, Standing, MOST_TASKS};

/// How long a holder may act after it asked, by its own clock: two clocks that each run up to `drift` parts in a
/// million wrong may differ by twice that, and the keeper's may be the fast one.
pub fn hold(length: crate::Micros, drift: u32) -> crate::Micros {
    let (length, drift) = (u128::from(length), u128::from(drift.min(999_999)));
    (length * (1_000_000 - drift) / (1_000_000 + drift)) as crate::Micros
}
