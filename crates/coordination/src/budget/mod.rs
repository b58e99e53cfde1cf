//! Budgets of the whole fleet, allocated among its nodes by time: what all nodes may spend together never sums to more
//! than the fleet's limit.
//!
//! Whoever holds the lease runs the [`BudgetAllocator`]. Each node asks it several times in a grant's duration and tells
//! its demand; the answer is a grant of rates that replaces the one before.
//!
//! # Invariants
//!
//! - The grants that may be in force never sum to more than what is allocated. A grant counts until its node has shown
//!   that it has a newer one, or until the grant has run out by the allocator's clock.
//! - A node counts a grant from the moment it *asked*, for the grant's duration less the drift of clocks. So its grant ends
//!   before the allocator takes it as ended.
//! - A new allocator does not know what the one before it has granted. For one grant's duration it lets go on only what
//!   nodes say to have, and only if they say so to its own epoch.
//! - Each node may always spend a guaranteed rate, whoever allocates; those of the planned number of nodes are kept out
//!   of what is allocated.
//! - A grant is for one process: another one under the same name does not take it.
//!
//! # Who calls what
//!
//! The driver of each node owns one [`BudgetParticipant`]. It counts what the scheduler wanted, sends
//! [`BudgetParticipant::next_request`] to the holder of the lease, passes messages in, and tells the scheduler the
//! [`Quota`]s. The participant runs the allocator for as long as the node holds the lease. `docs/budgets.md` states the
//! guarantee exactly.

mod allocator;
mod fair_allocation;
mod granted_quotas;
mod limit;
mod messages;
mod participant;
#[cfg(test)]
mod tests;

pub use allocator::{BudgetAllocation, BudgetAllocator, NodeAllocation};
pub use fair_allocation::allocate_max_min;
pub use granted_quotas::{GrantedQuotas, GrantedRate};
pub use limit::{BudgetLimit, BudgetLimitError};
pub use messages::{BudgetGrant, BudgetMessage, BudgetRequest, Demand, GrantId, Rates};
pub use participant::{
    AllocatorStatus, BudgetParticipant, BudgetSettings, CumulativeDemand, Quota,
};

/// How many budgets there may be.
pub const MAX_BUDGETS: usize = 64;
