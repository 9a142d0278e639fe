//! Limits the requests that one upstream receives in a second.
//!
//! An upstream that is cold tolerates few requests, and it may become cold at
//! any moment. The bound holds for the sum over all instances, so that each
//! keeps to its part at all times.

use std::{collections::VecDeque, time::Duration};

use crate::units::Timestamp;

/// Window of the bound.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Sends of one instance to one upstream in the last second.
#[derive(Clone, Debug, Default)]
pub struct DispatchRate {
    sends: VecDeque<Timestamp>,
}

impl DispatchRate {
    /// Whether one more send keeps to a part of `rate` sends a second.
    pub fn allows(
        &mut self,
        now: Timestamp,
        rate: f64,
        instances: usize,
    ) -> bool {
        while self.sends.front().is_some_and(|at| now.since(*at) > WINDOW) {
            self.sends.pop_front();
        }
        let limit = (rate / instances.max(1) as f64).floor().max(1.0);
        (self.sends.len() as f64) < limit
    }

    /// Counts a send.
    pub fn count(&mut self, now: Timestamp) {
        self.sends.push_back(now);
    }
}
