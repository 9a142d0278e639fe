//! Limits of workspaces over the whole fleet.
//!
//! Each instance admits against its own share of every limit and asks nobody
//! on the way. A share is the limit divided by the number of live instances,
//! plus what was borrowed, minus what was lent. An instance that runs short
//! asks a peer, at most once in [`BORROW_INTERVAL`] for each limit; the peer
//! lends what it does not use, for a fixed time. The lender counts a loan from
//! its answer and the borrower from its question, so a loan is never in use at
//! both, and a lost answer only leaves a part of the limit unused for a while.
//! A request may count against a loan of concurrency or held tokens only if
//! its deadline is before the end of the loan, because it cannot be stopped
//! when the loan ends.
//!
//! The bound: among instances that agree on the number of live instances, the
//! shares never add up to more than the limit, whatever is lost or late. Rates
//! may exceed it by a burst of [`BURST`] of the limit, and by one request and
//! one request's tokens per instance, because a bucket that has any tokens
//! admits one request however small its share is. A fleet that is partitioned
//! into g groups that hold each other for dead divides the limit g times: the
//! sum is at most g times the limit until the partition heals and the requests
//! that were admitted meanwhile have ended.
//!
//! Alternatives considered: shares that follow demand as peers report it (too
//! many reports at 16,000 workspaces, and no bound while reports differ); one
//! owner for each workspace (a round trip for each request, and the owner
//! may die).

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

/// Time that a loan of a rate lasts.
pub const RATE_LOAN: Duration = Duration::from_secs(5);
/// Time that a loan of concurrency or held tokens lasts. Requests with later
/// deadlines cannot use it.
pub const HELD_LOAN: Duration = Duration::from_secs(60);
/// Least interval between two questions on the same limit.
pub const BORROW_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a rate may be saved up.
pub const BURST: Duration = Duration::from_secs(1);
/// Share in use from which an instance asks for more.
const BORROW_FROM: f64 = 0.8;
/// Most limits that are counted at once. Idle ones make room.
const LIMITS_MAX: usize = 4096;
/// Most loans in either direction of one limit.
const LOANS_MAX: usize = 64;

value_type! {
    /// Asks a peer for a part of a workspace's limit.
    pub struct LoanRequest {
        /// Workspace.
        pub workspace: WorkspaceId,
        /// Position of the limit among the workspace's limits.
        pub limit: u32,
        /// Part of the whole limit that is wanted.
        #[serde(rename = "part")]
        pub fraction: f64,
    }
}

value_type! {
    /// Answer to a [`LoanRequest`].
    pub struct LoanResponse {
        /// The ask.
        pub ask: LoanRequest,
        /// Part of the whole limit that is lent.
        #[serde(rename = "part")]
        pub fraction: f64,
        /// How long it is lent, from when the ask was sent.
        pub lasts: Duration,
    }
}

#[derive(Clone, Debug, Default)]
struct LimitUsage {
    requests: f64,
    tokens: f64,
    held: u64,
    running: u32,
    filled_at: Timestamp,
    borrowed: Vec<(f64, Timestamp)>,
    lent: Vec<(f64, Timestamp)>,
    asked_at: Option<Timestamp>,
}

impl LimitUsage {
    fn new(now: Timestamp, rule: &LimitRule, fraction: f64) -> Self {
        let (requests, tokens) = capacity(rule, fraction);
        Self {
            requests,
            tokens,
            filled_at: now,
            ..Self::default()
        }
    }

    /// Part of the limit that this instance may use now.
    fn fraction(&mut self, now: Timestamp, view: &FleetView) -> f64 {
        self.borrowed.retain(|(_, until)| *until > now);
        self.lent.retain(|(_, until)| *until > now);
        self.fraction_until(now, view)
    }

    /// Part of the limit that a request with this deadline may use.
    fn fraction_until(&self, deadline: Timestamp, view: &FleetView) -> f64 {
        let lasting = self.borrowed.iter().filter(|(_, at)| *at >= deadline);
        let borrowed: f64 = lasting.map(|(fraction, _)| fraction).sum();
        let lent: f64 = self.lent.iter().map(|(fraction, _)| fraction).sum();
        (equal_fraction(view) + borrowed - lent).max(0.0)
    }

    fn fill(&mut self, now: Timestamp, rule: &LimitRule, fraction: f64) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let (requests, tokens) = capacity(rule, fraction);
        let rate = rule.requests_per_s.unwrap_or(0.0) * fraction;
        self.requests = (self.requests + passed * rate).min(requests);
        let rate = rule.tokens_per_s.map_or(0.0, |rate| rate.get() as f64);
        self.tokens = (self.tokens + passed * rate * fraction).min(tokens);
    }

    /// Part of the whole limit that running requests and spent rates take.
    fn used(&self, rule: &LimitRule, fraction: f64) -> f64 {
        let mut used: f64 = 0.0;
        let (requests, tokens) = capacity(rule, fraction);
        if rule.requests_per_s.is_some() {
            used = used.max((1.0 - self.requests / requests) * fraction);
        }
        if rule.tokens_per_s.is_some() {
            used = used.max((1.0 - self.tokens / tokens) * fraction);
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
        let tokens = tokens_of(descriptor);
        let running = f64::from(self.running) + 1.0;
        let held = (self.held + tokens) as f64;
        rule.requests_per_s.is_none_or(|_| self.requests >= 1.0)
            && rule.tokens_per_s.is_none_or(|_| self.tokens > 0.0)
            && rule
                .concurrency
                .is_none_or(|limit| within(running, f64::from(limit)))
            && rule
                .held_tokens
                .is_none_or(|limit| within(held, limit.get() as f64))
    }

    fn idle(&self) -> bool {
        self.running == 0 && self.borrowed.is_empty() && self.lent.is_empty()
    }
}

/// One limit as this instance takes part in it.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatus<'a> {
    /// Workspace.
    pub workspace: &'a WorkspaceId,
    /// Position of the limit among the workspace's limits.
    pub limit: u32,
    /// The limit, unless it was removed in the meantime.
    pub rule: Option<&'a LimitRule>,
    /// Part of the whole limit that is in use here.
    pub used: f64,
    /// Part of the whole limit that may be used here.
    pub share: f64,
    /// Requests that run.
    pub running: u32,
    /// Tokens that they hold.
    pub held: u64,
}

/// Positions of the limits that an admitted request counts against. They are
/// kept with the request, because the limits may be replaced before it ends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountedLimits(Vec<u32>);

/// Shares of this instance in the limits of workspaces.
#[derive(Clone, Debug, Default)]
pub struct LimitShares {
    uses: BTreeMap<(WorkspaceId, u32), LimitUsage>,
}

impl LimitShares {
    /// Shares that nothing was taken from.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request under all limits that match it, or under none. Names
    /// what to borrow in either case.
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
        let mut asks = Vec::new();
        let mut booked = CountedLimits::default();
        let mut refused = None;
        for (at, limit) in matching(rule, descriptor) {
            let Some(usage) =
                self.limit(now, &descriptor.workspace, at, limit, view)
            else {
                refused = Some(too_many());
                break;
            };
            booked.0.push(at);
            let fraction = usage.fraction(now, view);
            usage.fill(now, limit, fraction);
            let admitted = usage.admits(limit, descriptor, view);
            let short = usage.used(limit, fraction) >= fraction * BORROW_FROM;
            if (!admitted || short) && usage.may_ask(now) {
                asks.push(LoanRequest {
                    workspace: descriptor.workspace.clone(),
                    limit: at,
                    fraction: equal_fraction(view),
                });
            }
            if !admitted {
                refused = Some(over_limit(descriptor, at));
            }
        }
        if let Some(refusal) = refused {
            return (Err(refusal), asks);
        }
        self.book(descriptor, &booked);
        (Ok(booked), asks)
    }

    /// Gives back what an admitted request held.
    pub fn ended(
        &mut self,
        descriptor: &RequestDescriptor,
        booked: &CountedLimits,
    ) {
        for at in &booked.0 {
            let key = (descriptor.workspace.clone(), *at);
            if let Some(usage) = self.uses.get_mut(&key) {
                usage.running = usage.running.saturating_sub(1);
                usage.held = usage.held.saturating_sub(tokens_of(descriptor));
            }
        }
    }

    /// Lends a part that is not in use.
    pub fn lend(
        &mut self,
        now: Timestamp,
        ask: LoanRequest,
        view: &FleetView,
    ) -> LoanResponse {
        let rule = view.fleet.workspaces.get(&ask.workspace);
        let limit = rule.and_then(|rule| limit_at(rule, ask.limit));
        let lasts = limit.map_or(Duration::ZERO, loan_time);
        let fraction =
            limit.map_or(0.0, |limit| self.lendable(now, &ask, limit, view));
        LoanResponse {
            ask,
            fraction,
            lasts,
        }
    }

    /// Takes a loan in that was asked for at a time.
    pub fn borrowed(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        answer: &LoanResponse,
        view: &FleetView,
    ) {
        let until = asked_at.after(answer.lasts);
        if answer.fraction <= 0.0
            || !answer.fraction.is_finite()
            || until <= now
        {
            return;
        }
        let ask = &answer.ask;
        let rule = view.fleet.workspaces.get(&ask.workspace);
        let Some(limit) = rule.and_then(|rule| limit_at(rule, ask.limit))
        else {
            return;
        };
        let usage = self.limit(now, &ask.workspace, ask.limit, limit, view);
        if let Some(usage) = usage
            && usage.borrowed.len() < LOANS_MAX
        {
            usage.borrowed.push((answer.fraction.min(1.0), until));
        }
    }

    /// Part of a limit that this instance may use now.
    pub fn fraction(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceId,
        limit: u32,
        view: &FleetView,
    ) -> f64 {
        let usage = self.uses.get_mut(&(workspace.clone(), limit));
        usage.map_or(equal_fraction(view), |usage| usage.fraction(now, view))
    }

    /// All limits that are or were in use here.
    pub fn statuses<'a>(
        &'a self,
        now: Timestamp,
        view: &'a FleetView<'a>,
    ) -> impl Iterator<Item = LimitStatus<'a>> {
        self.uses.iter().map(move |((workspace, at), usage)| {
            let rule = view.fleet.workspaces.get(workspace);
            let rule = rule.and_then(|rule| limit_at(rule, *at));
            // A copy, because a question changes nothing.
            let mut usage = usage.clone();
            let share = usage.fraction(now, view);
            let used = rule.map_or(0.0, |rule| {
                usage.fill(now, rule, share);
                usage.used(rule, share)
            });
            LimitStatus {
                workspace,
                limit: *at,
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
        ask: &LoanRequest,
        limit: &LimitRule,
        view: &FleetView,
    ) -> f64 {
        let usage = self.limit(now, &ask.workspace, ask.limit, limit, view);
        let Some(usage) = usage.filter(|usage| usage.lent.len() < LOANS_MAX)
        else {
            return 0.0;
        };
        let fraction = usage.fraction(now, view);
        usage.fill(now, limit, fraction);
        // What was borrowed may end before the new loan does.
        let own = usage.fraction_until(Timestamp::new(u64::MAX), view);
        let free = (own - usage.used(limit, fraction)).max(0.0);
        let lent = free.min(ask.fraction).max(0.0);
        if lent > 0.0 {
            usage.lent.push((lent, now.after(loan_time(limit))));
            // What was saved up at the larger share goes with the loan.
            usage.fill(now, limit, fraction - lent);
        }
        lent
    }

    fn book(&mut self, descriptor: &RequestDescriptor, booked: &CountedLimits) {
        let tokens = tokens_of(descriptor);
        for at in &booked.0 {
            let key = (descriptor.workspace.clone(), *at);
            if let Some(usage) = self.uses.get_mut(&key) {
                usage.requests -= 1.0;
                usage.tokens -= tokens as f64;
                usage.running += 1;
                usage.held += tokens;
            }
        }
    }

    fn limit(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceId,
        at: u32,
        rule: &LimitRule,
        view: &FleetView,
    ) -> Option<&mut LimitUsage> {
        let key = (workspace.clone(), at);
        if !self.uses.contains_key(&key) {
            if self.uses.len() >= LIMITS_MAX {
                self.uses.retain(|_, usage| {
                    !usage.idle() || now.since(usage.filled_at) < BURST * 2
                });
            }
            if self.uses.len() >= LIMITS_MAX {
                return None;
            }
            let usage = LimitUsage::new(now, rule, equal_fraction(view));
            self.uses.insert(key.clone(), usage);
        }
        self.uses.get_mut(&key)
    }
}

impl LimitUsage {
    fn may_ask(&mut self, now: Timestamp) -> bool {
        let due = self
            .asked_at
            .is_none_or(|at| now.since(at) >= BORROW_INTERVAL);
        if due {
            self.asked_at = Some(now);
        }
        due && self.borrowed.len() < LOANS_MAX
    }
}

fn loan_time(rule: &LimitRule) -> Duration {
    if rule.concurrency.is_some() || rule.held_tokens.is_some() {
        HELD_LOAN
    } else {
        RATE_LOAN
    }
}

fn equal_fraction(view: &FleetView) -> f64 {
    1.0 / view.live_instances.max(1) as f64
}

/// Most requests and tokens that a share saves up.
fn capacity(rule: &LimitRule, fraction: f64) -> (f64, f64) {
    let burst = BURST.as_secs_f64() * fraction;
    let requests = rule.requests_per_s.unwrap_or(0.0) * burst;
    let tokens = rule.tokens_per_s.map_or(0.0, |rate| rate.get() as f64);
    (requests.max(1.0), (tokens * burst).max(1.0))
}

fn ratio(used: f64, limit: f64) -> f64 {
    if limit > 0.0 { used / limit } else { 1.0 }
}

fn tokens_of(descriptor: &RequestDescriptor) -> u64 {
    descriptor.prompt.saturating_add(descriptor.output).get()
}

fn limit_at(rule: &WorkspaceRule, at: u32) -> Option<&LimitRule> {
    rule.limits.get(usize::try_from(at).ok()?)
}

fn matching<'a>(
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

fn over_limit(descriptor: &RequestDescriptor, at: u32) -> Refusal {
    let workspace = &descriptor.workspace;
    let message = format!("limit {at} of workspace {workspace} is used up");
    Refusal::new(RefusalCode::WorkspaceLimit, message).with_retry_after(BURST)
}

fn too_many() -> Refusal {
    let message = "too many workspaces are active at this instance";
    Refusal::new(RefusalCode::Overloaded, message).with_retry_after(BURST)
}
