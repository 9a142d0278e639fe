//! Rules and budget for the retry of failed requests.
//!
//! Retries draw on a budget that first attempts refill, so that a failing
//! upstream does not receive more load than before it failed. Requests to
//! engines are idempotent until a chunk was delivered to the caller; after
//! that, only the same engine in the same incarnation can continue them.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{core::StreamFailure, ids::UpstreamId, refusal::RetryReason};

/// Budget that a first attempt adds, in hundredths of a retry.
const REFILL_PERCENT: u32 = 20;
/// Upper bound of a budget, in hundredths of a retry.
const BUDGET_MAX_PERCENT: u32 = 1000;
/// Maximum number of upstreams whose budget is not full. No upstream beyond
/// them gets a retry.
const UPSTREAMS_MAX: usize = 16_384;
/// Unit of the wait before a retry: the longest wait is this times two to the
/// power of the attempt, up to [`BACKOFF_MAX`].
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Upper bound of the wait before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Limits retries to a share of the first attempts, per upstream and overall.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    overall: u32,
    /// Budgets that are not full.
    upstreams: BTreeMap<UpstreamId, u32>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// A budget that is full overall and for each upstream.
    pub fn new() -> Self {
        Self {
            overall: BUDGET_MAX_PERCENT,
            upstreams: BTreeMap::new(),
        }
    }

    /// Refills the budgets for a first attempt at an upstream.
    pub fn record_request(&mut self, upstream: &UpstreamId) {
        let fill =
            |budget: u32| (budget + REFILL_PERCENT).min(BUDGET_MAX_PERCENT);
        self.overall = fill(self.overall);
        if let Some(budget) = self.upstreams.get_mut(upstream) {
            *budget = fill(*budget);
            if *budget == BUDGET_MAX_PERCENT {
                self.upstreams.remove(upstream);
            }
        }
    }

    /// Spends one retry of a request that failed at an upstream. False if
    /// either budget has less than one left; nothing is spent then.
    pub fn try_spend(&mut self, failed: &UpstreamId) -> bool {
        let remaining = self.upstreams.get(failed).copied();
        let budget = remaining.unwrap_or(BUDGET_MAX_PERCENT);
        let full = remaining.is_none() && self.upstreams.len() >= UPSTREAMS_MAX;
        if budget < 100 || self.overall < 100 || full {
            return false;
        }
        self.overall -= 100;
        self.upstreams.insert(failed.clone(), budget - 100);
        true
    }
}

/// Wait before a retry, which doubles with each `attempt`. Half of it is
/// random, so that instances do not retry in step.
pub fn backoff(attempt: u32, rng: &mut ChaCha8Rng) -> Duration {
    let longest = BACKOFF_BASE.saturating_mul(1 << attempt.min(10));
    let wait = longest.min(BACKOFF_MAX);
    wait.mul_f64(rng.random_range(0.5..1.0))
}

/// How a failed request may be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// Retry it on any engine. Costs no budget, as the failed engine did not
    /// act on it.
    Free(RetryReason),
    /// Retry it on any engine if the budget allows it.
    Budgeted(RetryReason),
    /// Resume it at the same engine in the same incarnation.
    Resume,
}

/// Rule for a failure. `delivered` tells whether a chunk was delivered to the
/// caller.
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
