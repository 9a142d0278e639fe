//! Limits how often requests are sent again.
//!
//! Repeats of all instances together may not exceed a share of the requests
//! plus a constant in any window. Each instance keeps to the share of its own
//! requests plus its part of the constant, so that no message is needed.

use std::{collections::VecDeque, time::Duration};

use crate::units::Timestamp;

/// Bound on repeats over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window that the bound holds for.
    pub window: Duration,
    /// Repeats in a window besides those for requests.
    pub slack: f64,
}

/// Part of the bound that is used: an instance that has left or has not yet
/// been heard of may have spent some of it.
const USED_SHARE: f64 = 0.5;

/// Requests and repeats of one instance for one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceRetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl ServiceRetryBudget {
    /// Counts a new request.
    pub fn count_request(&mut self, now: Timestamp, limit: &RetryLimit) {
        self.drop_expired(now, limit.window);
        self.requests.push_back(now);
    }

    /// Whether the bound allows one more repeat.
    pub fn allows(
        &mut self,
        now: Timestamp,
        limit: &RetryLimit,
        instances: usize,
    ) -> bool {
        self.drop_expired(now, limit.window);
        let slack = limit.slack / instances.max(1) as f64;
        let allowed = self.requests.len() as f64 * limit.ratio + slack;
        (self.retries.len() + 1) as f64 <= allowed * USED_SHARE
    }

    /// Counts a repeat if the bound allows one more.
    pub fn spend(
        &mut self,
        now: Timestamp,
        limit: &RetryLimit,
        instances: usize,
    ) -> bool {
        let allowed = self.allows(now, limit, instances);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn drop_expired(&mut self, now: Timestamp, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
