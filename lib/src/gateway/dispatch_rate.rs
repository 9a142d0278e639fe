//! Limits the requests that one upstream receives per second.
//!
//! A cold upstream, one that is slow as after a start, tolerates few requests,
//! and an upstream may become cold at any moment. The limit applies to the sum
//! over all instances; each instance always stays below its equal share of it.

use std::{collections::VecDeque, time::Duration};

use crate::units::Timestamp;

/// Time over which sends are counted.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Recent sends of this instance to one upstream.
#[derive(Clone, Debug, Default)]
pub struct DispatchRate {
    sends: VecDeque<Timestamp>,
}

impl DispatchRate {
    /// Whether one more send stays within this instance's share of `rate`
    /// requests per second. `instances` is the number of instances that share
    /// the rate; each may make at least one send.
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

    /// Records a send.
    pub fn count(&mut self, now: Timestamp) {
        self.sends.push_back(now);
    }
}
