//! Limits of workspaces, enforced over the whole fleet.
//!
//! Each instance admits requests against its own share of every limit, without
//! messages on the request path. A share is the limit divided by the number of
//! live instances, plus borrowed and minus lent fractions. An instance whose
//! share is nearly used requests a loan from a peer, at most once in
//! [`LOAN_REQUEST_INTERVAL`] for each limit. The peer lends what it does not
//! use, for a fixed time. The lender counts this time from its answer and the
//! borrower from its request, so a fraction is never usable at both, and a lost
//! answer only leaves a fraction unused for a while. A request may count
//! against a loan of concurrency or held tokens only if its deadline is before
//! the end of the loan, because the request cannot be stopped when the loan
//! ends.
//!
//! Bound: among instances that agree on the number of live instances, the
//! shares never exceed the limit in sum, whatever messages are lost or late.
//! Rates may exceed it by a burst of [`BURST`] times the limit, and by one
//! request and its tokens for each instance, because a bucket that has any
//! tokens admits one request however small its share is. If the fleet is
//! partitioned into g groups that consider each other dead, the usable sum is
//! at most g times the limit, until the partition heals and the requests
//! admitted meanwhile have ended.
//!
//! Rejected alternatives: shares that follow the demand reported by peers (too
//! many reports at 16,000 workspaces, and no bound while reports differ); one
//! owner for each workspace (a round trip for each request, and the owner may
//! fail).

use std::{collections::BTreeMap, time::Duration};

use crate::{
    core::RequestDescriptor,
    fleet::{LimitRule, WorkspaceRule},
    fleet_view::FleetView,
    ids::WorkspaceId,
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
    value_type,
};

/// Duration of a loan on a rate limit.
pub const RATE_LOAN_DURATION: Duration = Duration::from_secs(5);
/// Duration of a loan on a limit of concurrency or held tokens. Requests with
/// later deadlines cannot use it.
pub const HELD_LOAN_DURATION: Duration = Duration::from_secs(60);
/// Minimum interval between two loan requests for the same limit.
pub const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Burst that a rate limit allows, as the time for which the unused rate
/// accumulates.
pub const BURST: Duration = Duration::from_secs(1);
/// Fraction of the share in use from which an instance requests a loan.
const LOAN_REQUEST_THRESHOLD: f64 = 0.8;
/// Maximum number of limits with state. State of idle limits is removed first.
const LIMITS_MAX: usize = 4096;
/// Maximum number of loans of one limit in each direction.
const LOANS_MAX: usize = 64;

value_type! {
    /// Requests a loan on a workspace limit from a peer.
    pub struct LoanRequest {
        /// Workspace that the limit belongs to.
        pub workspace: WorkspaceId,
        /// Index of the limit among the workspace's limits.
        pub limit: u32,
        /// Requested fraction of the whole limit, from 0 to 1.
        #[serde(rename = "part")]
        pub fraction: f64,
    }
}

value_type! {
    /// Answer to a [`LoanRequest`].
    pub struct LoanResponse {
        /// The request, repeated.
        #[serde(rename = "ask")]
        pub request: LoanRequest,
        /// Lent fraction of the whole limit; zero if nothing is lent.
        #[serde(rename = "part")]
        pub fraction: f64,
        /// Duration of the loan, counted from the sending of the request.
        #[serde(rename = "lasts")]
        pub duration: Duration,
    }
}

/// Use of one limit at this instance.
#[derive(Clone, Debug, Default)]
struct LimitUsage {
    /// Requests that may be admitted under the rate limit at once.
    request_bucket: f64,
    /// Tokens that may be admitted under the rate limit at once. Negative
    /// after a request that was larger than the bucket.
    token_bucket: f64,
    /// Prompt and output tokens of the running requests.
    held: u64,
    running: u32,
    /// When the buckets were last refilled.
    filled_at: Timestamp,
    /// Borrowed fractions with the ends of their loans.
    borrowed: Vec<(f64, Timestamp)>,
    /// Lent fractions with the ends of their loans.
    lent: Vec<(f64, Timestamp)>,
    /// When a loan was last requested.
    requested_at: Option<Timestamp>,
}

impl LimitUsage {
    fn new(now: Timestamp, rule: &LimitRule, fraction: f64) -> Self {
        let (request_bucket, token_bucket) = capacity(rule, fraction);
        Self {
            request_bucket,
            token_bucket,
            filled_at: now,
            ..Self::default()
        }
    }

    /// Fraction of the limit that this instance may use now.
    fn fraction(&mut self, now: Timestamp, view: &FleetView) -> f64 {
        self.borrowed.retain(|(_, until)| *until > now);
        self.lent.retain(|(_, until)| *until > now);
        self.fraction_until(now, view)
    }

    /// Fraction of the limit that a request with this deadline may use.
    fn fraction_until(&self, deadline: Timestamp, view: &FleetView) -> f64 {
        let lasting =
            self.borrowed.iter().filter(|(_, until)| *until >= deadline);
        let borrowed: f64 = lasting.map(|(fraction, _)| fraction).sum();
        let lent: f64 = self.lent.iter().map(|(fraction, _)| fraction).sum();
        (equal_fraction(view) + borrowed - lent).max(0.0)
    }

    fn refill(&mut self, now: Timestamp, rule: &LimitRule, fraction: f64) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let (request_capacity, token_capacity) = capacity(rule, fraction);
        let rate = rule.requests_per_s.unwrap_or(0.0) * fraction;
        self.request_bucket =
            (self.request_bucket + passed * rate).min(request_capacity);
        let rate = rule.tokens_per_s.map_or(0.0, |rate| rate.get() as f64);
        self.token_bucket =
            (self.token_bucket + passed * rate * fraction).min(token_capacity);
    }

    /// Fraction of the whole limit used by running requests and spent rates.
    fn used(&self, rule: &LimitRule, fraction: f64) -> f64 {
        let mut used: f64 = 0.0;
        let (request_capacity, token_capacity) = capacity(rule, fraction);
        if rule.requests_per_s.is_some() {
            used = used
                .max((1.0 - self.request_bucket / request_capacity) * fraction);
        }
        if rule.tokens_per_s.is_some() {
            used =
                used.max((1.0 - self.token_bucket / token_capacity) * fraction);
        }
        if let Some(limit) = rule.concurrency {
            used = used.max(ratio(f64::from(self.running), f64::from(limit)));
        }
        if let Some(limit) = rule.held_tokens {
            used = used.max(ratio(self.held as f64, limit.get() as f64));
        }
        used
    }

    fn admits(
        &self,
        rule: &LimitRule,
        descriptor: &RequestDescriptor,
        view: &FleetView,
    ) -> bool {
        let fraction = self.fraction_until(descriptor.deadline, view);
        let within = |used: f64, limit: f64| used <= limit * fraction + 1e-9;
        let tokens = total_tokens(descriptor);
        let running = f64::from(self.running) + 1.0;
        let held = (self.held + tokens) as f64;
        rule.requests_per_s
            .is_none_or(|_| self.request_bucket >= 1.0)
            && rule.tokens_per_s.is_none_or(|_| self.token_bucket > 0.0)
            && rule
                .concurrency
                .is_none_or(|limit| within(running, f64::from(limit)))
            && rule
                .held_tokens
                .is_none_or(|limit| within(held, limit.get() as f64))
    }

    fn is_idle(&self) -> bool {
        self.running == 0 && self.borrowed.is_empty() && self.lent.is_empty()
    }
}

/// Use of one limit at this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatus<'a> {
    /// Workspace that the limit belongs to.
    pub workspace: &'a WorkspaceId,
    /// Index of the limit among the workspace's limits.
    pub limit: u32,
    /// Rule of the limit; `None` if it has been removed.
    pub rule: Option<&'a LimitRule>,
    /// Fraction of the whole limit that is in use here.
    pub used: f64,
    /// Fraction of the whole limit that may be used here.
    pub share: f64,
    /// Number of running requests that count against the limit.
    pub running: u32,
    /// Prompt and output tokens of the running requests.
    pub held: u64,
}

/// Indices of the limits that an admitted request counts against. Stored with
/// the request, because the workspace's rule may be replaced before the request
/// ends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountedLimits(Vec<u32>);

/// Shares of this instance in all workspace limits.
#[derive(Clone, Debug, Default)]
pub struct LimitShares {
    usage_by_limit: BTreeMap<(WorkspaceId, u32), LimitUsage>,
}

impl LimitShares {
    /// Shares without any use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request if all limits that match it permit it. Also returns the
    /// loans to request, even after a refusal.
    pub fn admit(
        &mut self,
        now: Timestamp,
        descriptor: &RequestDescriptor,
        view: &FleetView,
    ) -> (Result<CountedLimits, Refusal>, Vec<LoanRequest>) {
        let Some(rule) = view.fleet.workspaces.get(&descriptor.workspace)
        else {
            return (Ok(CountedLimits::default()), Vec::new());
        };
        let mut loan_requests = Vec::new();
        let mut counted = CountedLimits::default();
        let mut refused = None;
        for (index, limit) in matching_limits(rule, descriptor) {
            let Some(usage) =
                self.usage_mut(now, &descriptor.workspace, index, limit, view)
            else {
                refused = Some(too_many_limits());
                break;
            };
            counted.0.push(index);
            let fraction = usage.fraction(now, view);
            usage.refill(now, limit, fraction);
            let admitted = usage.admits(limit, descriptor, view);
            let nearly_used = usage.used(limit, fraction)
                >= fraction * LOAN_REQUEST_THRESHOLD;
            if (!admitted || nearly_used) && usage.may_request_loan(now) {
                loan_requests.push(LoanRequest {
                    workspace: descriptor.workspace.clone(),
                    limit: index,
                    fraction: equal_fraction(view),
                });
            }
            if !admitted {
                refused = Some(over_limit(descriptor, index));
            }
        }
        if let Some(refusal) = refused {
            return (Err(refusal), loan_requests);
        }
        self.count(descriptor, &counted);
        (Ok(counted), loan_requests)
    }

    /// Releases the concurrency and held tokens of an admitted request.
    pub fn release(
        &mut self,
        descriptor: &RequestDescriptor,
        counted: &CountedLimits,
    ) {
        for index in &counted.0 {
            let key = (descriptor.workspace.clone(), *index);
            if let Some(usage) = self.usage_by_limit.get_mut(&key) {
                usage.running = usage.running.saturating_sub(1);
                usage.held =
                    usage.held.saturating_sub(total_tokens(descriptor));
            }
        }
    }

    /// Lends a fraction that is not in use; zero if there is none.
    pub fn lend(
        &mut self,
        now: Timestamp,
        request: LoanRequest,
        view: &FleetView,
    ) -> LoanResponse {
        let rule = view.fleet.workspaces.get(&request.workspace);
        let limit = rule.and_then(|rule| limit_at(rule, request.limit));
        let duration = limit.map_or(Duration::ZERO, loan_duration);
        let fraction = limit
            .map_or(0.0, |limit| self.lendable(now, &request, limit, view));
        LoanResponse {
            request,
            fraction,
            duration,
        }
    }

    /// Adds a loan that was requested at the given time.
    pub fn apply_loan(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        answer: &LoanResponse,
        view: &FleetView,
    ) {
        let until = requested_at.after(answer.duration);
        if answer.fraction <= 0.0
            || !answer.fraction.is_finite()
            || until <= now
        {
            return;
        }
        let request = &answer.request;
        let rule = view.fleet.workspaces.get(&request.workspace);
        let Some(limit) = rule.and_then(|rule| limit_at(rule, request.limit))
        else {
            return;
        };
        let usage =
            self.usage_mut(now, &request.workspace, request.limit, limit, view);
        if let Some(usage) = usage
            && usage.borrowed.len() < LOANS_MAX
        {
            usage.borrowed.push((answer.fraction.min(1.0), until));
        }
    }

    /// Fraction of a limit that this instance may use now.
    pub fn fraction(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceId,
        limit: u32,
        view: &FleetView,
    ) -> f64 {
        let usage = self.usage_by_limit.get_mut(&(workspace.clone(), limit));
        usage.map_or(equal_fraction(view), |usage| usage.fraction(now, view))
    }

    /// Status of all limits with state at this instance.
    pub fn statuses<'a>(
        &'a self,
        now: Timestamp,
        view: &'a FleetView<'a>,
    ) -> impl Iterator<Item = LimitStatus<'a>> {
        self.usage_by_limit
            .iter()
            .map(move |((workspace, index), usage)| {
                let rule = view.fleet.workspaces.get(workspace);
                let rule = rule.and_then(|rule| limit_at(rule, *index));
                // Computed on a copy, because a query must not change the state.
                let mut usage = usage.clone();
                let share = usage.fraction(now, view);
                let used = rule.map_or(0.0, |rule| {
                    usage.refill(now, rule, share);
                    usage.used(rule, share)
                });
                LimitStatus {
                    workspace,
                    limit: *index,
                    rule,
                    used,
                    share,
                    running: usage.running,
                    held: usage.held,
                }
            })
    }

    fn lendable(
        &mut self,
        now: Timestamp,
        request: &LoanRequest,
        limit: &LimitRule,
        view: &FleetView,
    ) -> f64 {
        let usage =
            self.usage_mut(now, &request.workspace, request.limit, limit, view);
        let Some(usage) = usage.filter(|usage| usage.lent.len() < LOANS_MAX)
        else {
            return 0.0;
        };
        let fraction = usage.fraction(now, view);
        usage.refill(now, limit, fraction);
        // Borrowed fractions may end before the new loan does, so they are not
        // lent.
        let lasting_fraction =
            usage.fraction_until(Timestamp::new(u64::MAX), view);
        let free = (lasting_fraction - usage.used(limit, fraction)).max(0.0);
        let lent = free.min(request.fraction).max(0.0);
        if lent > 0.0 {
            usage.lent.push((lent, now.after(loan_duration(limit))));
            // The burst accumulated at the larger share is reduced with the
            // share.
            usage.refill(now, limit, fraction - lent);
        }
        lent
    }

    fn count(
        &mut self,
        descriptor: &RequestDescriptor,
        counted: &CountedLimits,
    ) {
        let tokens = total_tokens(descriptor);
        for index in &counted.0 {
            let key = (descriptor.workspace.clone(), *index);
            if let Some(usage) = self.usage_by_limit.get_mut(&key) {
                usage.request_bucket -= 1.0;
                usage.token_bucket -= tokens as f64;
                usage.running += 1;
                usage.held += tokens;
            }
        }
    }

    fn usage_mut(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceId,
        index: u32,
        rule: &LimitRule,
        view: &FleetView,
    ) -> Option<&mut LimitUsage> {
        let key = (workspace.clone(), index);
        if !self.usage_by_limit.contains_key(&key) {
            if self.usage_by_limit.len() >= LIMITS_MAX {
                self.usage_by_limit.retain(|_, usage| {
                    !usage.is_idle() || now.since(usage.filled_at) < BURST * 2
                });
            }
            if self.usage_by_limit.len() >= LIMITS_MAX {
                return None;
            }
            let usage = LimitUsage::new(now, rule, equal_fraction(view));
            self.usage_by_limit.insert(key.clone(), usage);
        }
        self.usage_by_limit.get_mut(&key)
    }
}

impl LimitUsage {
    fn may_request_loan(&mut self, now: Timestamp) -> bool {
        let due = self
            .requested_at
            .is_none_or(|at| now.since(at) >= LOAN_REQUEST_INTERVAL);
        if due {
            self.requested_at = Some(now);
        }
        due && self.borrowed.len() < LOANS_MAX
    }
}

fn loan_duration(rule: &LimitRule) -> Duration {
    if rule.concurrency.is_some() || rule.held_tokens.is_some() {
        HELD_LOAN_DURATION
    } else {
        RATE_LOAN_DURATION
    }
}

fn equal_fraction(view: &FleetView) -> f64 {
    1.0 / view.live_instances.max(1) as f64
}

/// Capacities of the request bucket and the token bucket of a share.
fn capacity(rule: &LimitRule, fraction: f64) -> (f64, f64) {
    let burst = BURST.as_secs_f64() * fraction;
    let requests = rule.requests_per_s.unwrap_or(0.0) * burst;
    let tokens = rule.tokens_per_s.map_or(0.0, |rate| rate.get() as f64);
    (requests.max(1.0), (tokens * burst).max(1.0))
}

fn ratio(used: f64, limit: f64) -> f64 {
    if limit > 0.0 { used / limit } else { 1.0 }
}

fn total_tokens(descriptor: &RequestDescriptor) -> u64 {
    descriptor.prompt.saturating_add(descriptor.output).get()
}

fn limit_at(rule: &WorkspaceRule, index: u32) -> Option<&LimitRule> {
    rule.limits.get(usize::try_from(index).ok()?)
}

fn matching_limits<'a>(
    rule: &'a WorkspaceRule,
    descriptor: &'a RequestDescriptor,
) -> impl Iterator<Item = (u32, &'a LimitRule)> {
    let numbered = (0_u32..).zip(&rule.limits);
    numbered.filter(|(_, limit)| {
        limit
            .model
            .as_ref()
            .is_none_or(|model| *model == descriptor.model)
            && limit.class.is_none_or(|class| class == descriptor.class)
    })
}

fn over_limit(descriptor: &RequestDescriptor, index: u32) -> Refusal {
    let workspace = &descriptor.workspace;
    let message =
        format!("limit {index} of workspace {workspace} is exhausted");
    Refusal::new(RefusalCode::WorkspaceLimit, message).with_retry_after(BURST)
}

fn too_many_limits() -> Refusal {
    let message = "too many workspace limits are in use at this instance";
    Refusal::new(RefusalCode::Overloaded, message).with_retry_after(BURST)
}
