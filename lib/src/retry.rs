//! When a failed request is tried again, and how often.
//!
//! Retries draw on a budget that fresh requests fill, so that a failing
//! upstream does not receive more load than before it failed. Requests to
//! engines are idempotent until a part of the answer was delivered; after
//! that, only the same engine with the same incarnation can continue them.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{core::StreamFailure, ids::UpstreamId, refusal::RetryReason};

/// Retries that one fresh request pays for, in hundredths.
const RETRY_SHARE_PERCENT: u32 = 20;
/// Most retries that a budget saves up, in hundredths.
const BUDGET_MAX_PERCENT: u32 = 1000;
/// Most upstreams with a budget of their own.
const UPSTREAMS_MAX: usize = 16_384;
/// First wait before a repeat.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);
/// Longest wait before a repeat.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Limits retries to a share of the fresh requests, per upstream and overall.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    overall: u32,
    upstreams: BTreeMap<UpstreamId, u32>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> Self {
        Self {
            overall: BUDGET_MAX_PERCENT,
            upstreams: BTreeMap::new(),
        }
    }

    /// Takes a fresh request to an upstream in.
    pub fn record_request(&mut self, upstream: &UpstreamId) {
        let fill = |budget: u32| {
            (budget + RETRY_SHARE_PERCENT).min(BUDGET_MAX_PERCENT)
        };
        self.overall = fill(self.overall);
        if let Some(budget) = self.upstreams.get_mut(upstream) {
            *budget = fill(*budget);
            if *budget == BUDGET_MAX_PERCENT {
                self.upstreams.remove(upstream);
            }
        }
    }

    /// Pays for a retry of a request that failed at an upstream.
    pub fn try_spend(&mut self, failed: &UpstreamId) -> bool {
        let known = self.upstreams.get(failed).copied();
        let budget = known.unwrap_or(BUDGET_MAX_PERCENT);
        let full = known.is_none() && self.upstreams.len() >= UPSTREAMS_MAX;
        if budget < 100 || self.overall < 100 || full {
            return false;
        }
        self.overall -= 100;
        self.upstreams.insert(failed.clone(), budget - 100);
        true
    }
}

/// Wait before a repeat: doubles with each one, and the random half keeps
/// instances from repeating in step.
pub fn backoff(attempt: u32, rng: &mut ChaCha8Rng) -> Duration {
    let doubled = BACKOFF_FIRST.saturating_mul(1 << attempt.min(10));
    let wait = doubled.min(BACKOFF_MAX);
    wait.mul_f64(rng.random_range(0.5..1.0))
}

/// What may be done about a failed stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Run it elsewhere; the engine did not act on it, so it costs no budget.
    Free(RetryReason),
    /// Run it elsewhere if the budget allows it.
    Budgeted(RetryReason),
    /// Continue it at the same engine and incarnation.
    Resume,
}

/// Rule for a failure, by whether a part of the answer was delivered.
pub fn retry_rule(failure: StreamFailure, delivered: bool) -> RetryRule {
    if delivered {
        return RetryRule::Resume;
    }
    match failure {
        StreamFailure::ConnectFailed => {
            RetryRule::Free(RetryReason::ConnectFailed)
        }
        StreamFailure::AssignmentExpired => {
            RetryRule::Free(RetryReason::GrantExpired)
        }
        StreamFailure::Overcommitted => {
            RetryRule::Budgeted(RetryReason::EngineOvercommitted)
        }
        StreamFailure::EngineError
        | StreamFailure::Interrupted
        | StreamFailure::IdleTimeout => {
            RetryRule::Budgeted(RetryReason::FailedBeforeFirstPart)
        }
    }
}

/// Whether a failure shows that the engine did not run the request.
pub fn proves_not_run(failure: StreamFailure) -> bool {
    matches!(
        failure,
        StreamFailure::ConnectFailed
            | StreamFailure::AssignmentExpired
            | StreamFailure::Overcommitted
    )
}
