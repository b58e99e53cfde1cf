//! Which nodes of the fleet are there.

mod membership;

pub use membership::{Member, Members, MOST_MEMBERS};
