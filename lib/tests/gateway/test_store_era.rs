//! Eras of the store.

use borageline_lib::gateway::store_era::{EraChange, EraTracker, StoreEra};
use rstest::rstest;

/// Guards against a restored store that is not noticed, and against a response
/// from before the restore that is taken for a new one.
#[rstest]
#[case::first(&[Some(4)], EraChange::Unchanged)]
#[case::same(&[Some(4), Some(4)], EraChange::Unchanged)]
#[case::restored(&[Some(4), Some(5)], EraChange::Restored)]
#[case::restored_twice(&[Some(4), Some(6)], EraChange::Restored)]
#[case::late_response(&[Some(4), Some(5), Some(4)], EraChange::Outdated)]
#[case::first_number(&[None, Some(1)], EraChange::Restored)]
#[case::no_number(&[Some(4), None], EraChange::Unchanged)]
#[case::number_again(&[Some(4), None, Some(4)], EraChange::Unchanged)]
fn test_store_era_change(
    #[case] eras: &[Option<u64>],
    #[case] expected: EraChange,
) {
    let mut tracker = EraTracker::default();
    let changes = eras
        .iter()
        .map(|era| tracker.observe(era.map(StoreEra::new)));
    assert_eq!(changes.last(), Some(expected));
}
