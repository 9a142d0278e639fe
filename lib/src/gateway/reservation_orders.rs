//! Orders that reserve KV cache on an engine for one request.
//!
//! An engine may carry out an order long after its sender has stopped waiting
//! for the answer. If it does so after the release, the KV cache is set aside
//! for nobody until the reservation expires. [`ReservationOrders`] tells when a
//! release must be repeated for that reason.

use std::time::Duration;

use crate::units::Timestamp;

/// Delays before the repeated releases, each from the release before. An
/// unanswered order may be carried out up to 12 s later.
pub const RELEASE_RETRY_DELAYS: [Duration; 5] = [
    Duration::from_millis(1_500),
    Duration::from_millis(2_000),
    Duration::from_millis(2_500),
    Duration::from_millis(3_000),
    Duration::from_millis(3_500),
];
/// Time after which an unanswered order is no longer carried out: the 12 s and
/// the 400 ms for which its sender waits, rounded up.
pub const LATE_ORDER_TIME: Duration = Duration::from_millis(12_500);

/// Whether an order took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// The engine carried it out.
    Done,
    /// The engine refused it.
    Refused,
    /// The engine did not answer; it may still carry it out.
    Unknown,
}

/// Orders that reserve or renew one reservation.
#[derive(Clone, Debug, Default)]
pub struct ReservationOrders {
    /// Orders that were sent and have neither an answer nor timed out. An order
    /// whose sender was cancelled remains one of them.
    pending: usize,
    /// When the last order that was not answered timed out or failed.
    unanswered_at: Option<Timestamp>,
}

impl ReservationOrders {
    /// Records that an order is about to be sent.
    pub fn begin(&mut self) {
        self.pending += 1;
    }

    /// Records the effect of an order that was begun.
    pub fn finish(&mut self, now: Timestamp, effect: OrderEffect) {
        self.pending = self.pending.saturating_sub(1);
        if effect == OrderEffect::Unknown {
            self.unanswered_at = Some(now);
        }
    }

    /// Delays before the repeated releases, given the effect of the first one;
    /// none if no order can be carried out after it.
    pub fn release_retries(
        &self,
        now: Timestamp,
        released: OrderEffect,
    ) -> &'static [Duration] {
        let may_be_late = self.pending > 0
            || self
                .unanswered_at
                .is_some_and(|at| now.since(at) < LATE_ORDER_TIME);
        if released == OrderEffect::Done && !may_be_late {
            &[]
        } else {
            &RELEASE_RETRY_DELAYS
        }
    }
}
