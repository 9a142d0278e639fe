//! Limits how often requests are retried.
//!
//! In any window, the retries of all instances together may not exceed a share
//! of the requests plus a constant. Each instance uses the share of its own
//! requests plus an equal part of the constant, so that no coordination is
//! needed. An instance whose part is spent may borrow single retries from
//! others, which count them as their own.

use std::{collections::VecDeque, time::Duration};

use crate::units::Timestamp;

/// Limit on retries over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed in a window in addition to `ratio`, over all instances.
    pub slack: f64,
}

/// Share of the limit that is used. The rest covers retries of instances that
/// have left or that this one does not know yet.
const USED_SHARE: f64 = 0.5;

/// Time for which no retries are borrowed after other instances had none to
/// lend: where all requests fail, asking would add load and delay refusals.
const BORROWING_PAUSE: Duration = Duration::from_secs(1);

/// Requests and retries of one service on this instance within the window.
#[derive(Clone, Debug, Default)]
pub struct ServiceRetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    borrowing_paused_until: Timestamp,
}

impl ServiceRetryBudget {
    /// Records a new request.
    pub fn count_request(&mut self, now: Timestamp, limit: &RetryLimit) {
        self.drop_expired(now, limit.window);
        self.requests.push_back(now);
    }

    /// Retries in a window that are this instance's part of the limit, including
    /// those that are kept in reserve. `instances` is the number of instances
    /// that share the limit.
    pub fn allowed(
        &mut self,
        now: Timestamp,
        limit: &RetryLimit,
        instances: usize,
    ) -> f64 {
        self.drop_expired(now, limit.window);
        let slack = limit.slack / instances.max(1) as f64;
        self.requests.len() as f64 * limit.ratio + slack
    }

    /// Whether the limit allows one more retry. `instances` is the number of
    /// instances that share the limit.
    pub fn allows(
        &mut self,
        now: Timestamp,
        limit: &RetryLimit,
        instances: usize,
    ) -> bool {
        let allowed = self.allowed(now, limit, instances);
        (self.retries.len() + 1) as f64 <= allowed * USED_SHARE
    }

    /// Records a retry if the limit allows it; returns whether it does.
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

    /// Whether other instances may be asked for retries.
    pub fn may_borrow(&self, now: Timestamp) -> bool {
        now >= self.borrowing_paused_until
    }

    /// Records that the instances that were asked had no retry to lend.
    pub fn pause_borrowing(&mut self, now: Timestamp) {
        self.borrowing_paused_until = now.after(BORROWING_PAUSE);
    }

    /// Drops requests and retries that have left the window.
    fn drop_expired(&mut self, now: Timestamp, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
