//! An access for the tests of budgets.

use super::BudgetAllocator;

impl BudgetAllocator {
    /// The same allocator as if it had waited for the grants of the one before it already.
    pub(in crate::budget) fn without_wait(self) -> BudgetAllocator {
        BudgetAllocator { open_at: 0, ..self }
    }
}
