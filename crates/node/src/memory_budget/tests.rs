//! Tests of the memory budget.

use super::MemoryBudget;

/// Guards against memory that grows without a count: the estimate never stays below what was read.
#[test]
fn reads_add_up_until_an_exact_count_replaces_them() {
    let mut budget = MemoryBudget::new(1_000);
    for _ in 0..10 {
        budget.note_read(100);
    }
    assert!(budget.is_exceeded(), "1,000 bytes were read and nothing was counted");
    budget.set_counted(900);
    assert!(!budget.is_exceeded());
    budget.note_growth(101);
    assert!(budget.is_exceeded());
    assert_eq!((budget.peak(), budget.target()), (900, 750));
}

/// A node whose configuration states no memory has no limit, and sums do not overflow.
#[test]
fn a_budget_without_a_limit_is_never_exceeded() {
    let mut budget = MemoryBudget::new(usize::MAX);
    budget.note_read(usize::MAX);
    budget.note_growth(usize::MAX);
    assert!(!budget.is_exceeded());
}
