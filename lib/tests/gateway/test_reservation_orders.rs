//! Releases of KV cache after orders without an answer.

use borageline_lib::gateway::reservation_orders::{
    LATE_ORDER_TIME, OrderEffect, RELEASE_RETRY_DELAYS, ReservationOrders,
};

use crate::fixtures::at;

/// Guards against KV cache that stays reserved because an order without an
/// answer is carried out after the release, and against releases that are
/// repeated for nothing.
#[test]
fn test_reservation_release_is_repeated_after_unanswered_orders() {
    let (done, unknown) = (OrderEffect::Done, OrderEffect::Unknown);
    let mut orders = ReservationOrders::default();
    orders.begin();
    let pending = orders.release_retries(at(10), done);
    assert_eq!(pending, RELEASE_RETRY_DELAYS);
    orders.finish(at(20), done);
    assert!(orders.release_retries(at(30), done).is_empty());
    let refused = orders.release_retries(at(30), OrderEffect::Refused);
    assert_eq!(refused, RELEASE_RETRY_DELAYS);
    assert_eq!(
        orders.release_retries(at(30), unknown),
        RELEASE_RETRY_DELAYS
    );
    // A later answer says nothing of the order that got none.
    orders.begin();
    orders.finish(at(1_000), unknown);
    orders.begin();
    orders.finish(at(2_000), done);
    let repeated = orders.release_retries(at(2_000), done);
    assert_eq!(repeated, RELEASE_RETRY_DELAYS);
    let later = at(1_000).after(LATE_ORDER_TIME);
    assert!(orders.release_retries(later, done).is_empty());
}
