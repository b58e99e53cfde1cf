//! Test-only constructors.

use super::BudgetAllocator;

impl BudgetAllocator {
    /// The same allocator after its wait for grants of earlier allocators.
    pub(in crate::budget) fn after_initial_wait(self) -> BudgetAllocator {
        BudgetAllocator {
            predecessor_grants_end_at: 0,
            ..self
        }
    }
}
