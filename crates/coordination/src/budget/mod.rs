//! Fleet-wide budgets: rate limits that are allocated to nodes by grants of limited duration. The rates that all nodes
//! may spend together never exceed the fleet's limit.
//!
//! The holder of the budget lease runs the [`BudgetAllocator`]. Each node sends it several requests per grant duration,
//! with its demand; the response is a grant of rates that replaces the previous one.
//!
//! # Invariants
//!
//! - The grants that may be in force never sum to more than the allocatable rate. The allocator counts a grant until
//!   its node has confirmed a newer one, or until it has expired by the allocator's clock.
//! - For the node, a grant starts when the *request was sent* and lasts for its duration less the clock drift. It
//!   therefore ends before it expires at the allocator.
//! - A new allocator does not know the grants of its predecessor. For one grant duration it only renews rates that
//!   nodes report, and only if they report them under its own epoch.
//! - Each node may always spend a guaranteed rate, with or without an allocator. The guaranteed rates of the planned
//!   number of nodes are deducted from the allocatable rate.
//! - A grant is for one process; another process under the same name does not accept it.
//!
//! # Callers
//!
//! The driver of each node owns one [`BudgetParticipant`]. It passes in the demand of the scheduler, sends
//! [`BudgetParticipant::next_request`] to the lease holder, passes received messages in, and passes the [`Quota`]s to
//! the scheduler. The participant runs the allocator while the node holds the lease. `docs/budgets.md` states the exact
//! guarantee.

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

/// The maximum number of budgets in a request or grant; further ones, in the order of the names, are ignored.
pub const MAX_BUDGETS: usize = 64;
