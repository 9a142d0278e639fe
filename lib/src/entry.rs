//! The entry side of each request of this instance, from arrival to end.
//!
//! One row per request. A request is placed by asking the owners of at most
//! three candidates, one after the other, for a grant, and is sent only under
//! a valid grant; a prompt larger than one engine is placed on a group that is
//! reserved all-or-nothing. Every row ends at its deadline at the latest. A
//! refusal says `not_run` only if no dispatch was decided, or if every engine
//! that it was sent to said that it did not take the request.
//!
//! A second `Dispatch` for the same request replaces the first; the shell
//! drops the older stream.

mod dispatched;
mod group;
mod placing;
mod status;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub use self::status::RequestStatus;

use crate::{
    core::{PolicyName, RequestDecision, RequestDescriptor, RequestProgress},
    fleet_view::FleetView,
    ids::{InstanceId, RequestId, UpstreamId},
    limits::{BookedLimits, BorrowAnswer, BorrowRequest, LimitShares},
    peer_api::{
        EngineSummary, GrantEvent, GrantNotice, GrantRequest, GrantResponse,
    },
    placement::{CandidateTable, RoundRobin},
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    retry::{RetryBudget, backoff},
    units::{Incarnation, Timestamp, TokenCount},
};

/// Wait for the answer to an ask that may not be queued.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(250);
/// Wait for the answer to an ask that may be queued. It exceeds the time that
/// an owner queues it.
pub const QUEUED_GRANT_TIMEOUT: Duration = Duration::from_millis(5500);
/// Interval between two renewals of holds that are not yet sent. A new owner
/// hears of them several times before it grants from the whole account.
const KEPT_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two notices on a running request, so that a new owner
/// learns whose it is.
const STARTED_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Most asks of one round.
const GRANT_REQUESTS_PER_ROUND: usize = 3;
/// Time from its arrival in which a request waits for an engine to appear.
/// Covers the takeover of engines whose owner was lost; engines taken out by
/// an order stay away for longer, so that waiting on would not help.
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(3);
/// Most times that a request is sent to engines.
const DISPATCHES_MAX: u32 = 4;
/// Most resumptions of one answer.
const RESUMES_MAX: u32 = 3;
/// Interval between two looks for engines that leave.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two removals of what is known of engines that are gone.
const CANDIDATE_CLEANUP_INTERVAL: Duration = Duration::from_secs(30);
/// How long an unanswered ask is remembered.
const PENDING_GRANT_RETENTION: Duration = Duration::from_secs(60);
/// Prompts up to this length run before longer ones at an engine.
const SHORT_PROMPT_MAX: TokenCount = crate::owner::LONG_PROMPT;

/// Input of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Arrived(RequestDescriptor),
    /// A request made progress.
    Progress(RequestId, RequestProgress),
    /// An ask was answered; absent if the owner could not be reached in time.
    GrantAnswered(u64, Option<GrantResponse>),
    /// A peer published the room on an engine.
    Summary(EngineSummary),
    /// A peer asks for a part of a workspace's limit.
    BorrowRequested {
        /// Number for the answer.
        response_id: u64,
        /// The ask.
        borrow_request: BorrowRequest,
    },
    /// A peer lent a part of a workspace's limit.
    Lent {
        /// When the ask was sent.
        asked_at: Timestamp,
        /// The answer.
        answer: BorrowAnswer,
    },
}

/// Output of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Tell the task of a request what to do.
    Decide(RequestId, RequestDecision),
    /// Ask an engine's owner, perhaps this instance, for a grant.
    RequestGrant {
        /// Owner.
        owner: InstanceId,
        /// Number for [`EntryEvent::GrantAnswered`]; equal to the one inside.
        sequence: u64,
        /// The ask.
        grant_request: GrantRequest,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Tell an engine's owner, perhaps this instance, what became of a grant.
    Notify(InstanceId, GrantNotice),
    /// Cancel a request at an engine.
    CancelAtEngine(UpstreamId, RequestId),
    /// Ask any live peer for a part of a workspace's limit.
    Borrow(BorrowRequest),
    /// Answer an [`EntryEvent::BorrowRequested`].
    AnswerBorrow {
        /// Number of the ask.
        response_id: u64,
        /// The answer.
        answer: BorrowAnswer,
    },
    /// Count a refusal.
    CountRefusal(RefusalCode),
    /// Count a retry.
    CountRetry(RetryReason),
}

/// One engine that is reserved for a request or runs it.
#[derive(Clone, Debug)]
struct Allocation {
    engine: UpstreamId,
    owner: InstanceId,
    sequence: u64,
    reserved: TokenCount,
    prompt: TokenCount,
    incarnation: Option<Incarnation>,
    use_before: Timestamp,
    sent_at: Option<Timestamp>,
}

/// One engine of a group that is being reserved.
#[derive(Clone, Debug)]
struct PlannedSegment {
    engine: UpstreamId,
    prompt: TokenCount,
    output: TokenCount,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Waits for the answer to an ask; `parts` is left over of a group.
    AwaitingGrant {
        sequence: u64,
        segments: Vec<PlannedSegment>,
    },
    /// Waits before the next round.
    BackingOff,
    /// Decided to be sent or running.
    Dispatched,
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    descriptor: RequestDescriptor,
    arrived: Timestamp,
    limits: BookedLimits,
    phase: Phase,
    due: Timestamp,
    allocations: Vec<Allocation>,
    candidates: Vec<UpstreamId>,
    tried: Vec<UpstreamId>,
    retryable: bool,
    grouped: bool,
    last_refusal: Option<Refusal>,
    rounds: u32,
    dispatches: u32,
    resumes: u32,
    run_state: RunState,
    run_state_before_dispatch: RunState,
    delivered: bool,
    renewal_due: Timestamp,
}

impl InFlightRequest {
    fn new(now: Timestamp, descriptor: RequestDescriptor) -> Self {
        Self {
            due: descriptor.deadline,
            descriptor,
            arrived: now,
            limits: BookedLimits::default(),
            phase: Phase::BackingOff,
            allocations: Vec::new(),
            candidates: Vec::new(),
            tried: Vec::new(),
            retryable: false,
            grouped: false,
            last_refusal: None,
            rounds: 0,
            dispatches: 0,
            resumes: 0,
            run_state: RunState::NotRun,
            run_state_before_dispatch: RunState::NotRun,
            delivered: false,
            renewal_due: Timestamp::ZERO,
        }
    }

    /// Short prompts first, then by class.
    fn priority(&self) -> u8 {
        let short = self.descriptor.prompt <= SHORT_PROMPT_MAX;
        let class = match self.descriptor.class {
            crate::api::PriorityClass::Interactive => 2,
            crate::api::PriorityClass::Standard => 1,
            crate::api::PriorityClass::Batch => 0,
        };
        class + if short { 3 } else { 0 }
    }
}

/// An ask without its answer.
#[derive(Clone, Debug)]
struct PendingGrant {
    request: RequestId,
    engine: UpstreamId,
    owner: InstanceId,
    sent_at: Timestamp,
    prompt: TokenCount,
}

/// Rows of the requests that entered at this instance.
#[derive(Debug)]
pub struct EntryTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    timers: BTreeSet<(Timestamp, RequestId)>,
    pending_grants: BTreeMap<u64, PendingGrant>,
    next_sequence: u64,
    candidates: CandidateTable,
    budget: RetryBudget,
    limits: LimitShares,
    policy: PolicyName,
    round_robin: RoundRobin,
    rng: ChaCha8Rng,
    drain_check_due: Timestamp,
    candidate_cleanup_due: Timestamp,
}

impl EntryTable {
    /// A table without requests. The first ask number must exceed those of an
    /// earlier process of this instance, so the incarnation goes into it.
    pub fn new(
        policy: PolicyName,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        Self {
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending_grants: BTreeMap::new(),
            next_sequence: incarnation.get() << 20,
            candidates: CandidateTable::new(),
            budget: RetryBudget::new(),
            limits: LimitShares::new(),
            policy,
            round_robin: RoundRobin::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            drain_check_due: Timestamp::ZERO,
            candidate_cleanup_due: Timestamp::ZERO,
        }
    }

    /// Takes one event in.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: EntryEvent,
        view: &FleetView,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Arrived(descriptor) => {
                self.arrived(now, descriptor, view, &mut actions);
            }
            EntryEvent::Progress(request, progress) => {
                self.progress(now, &request, progress, view, &mut actions);
            }
            EntryEvent::GrantAnswered(sequence, answer) => {
                self.handle_grant_response(
                    now,
                    sequence,
                    answer,
                    view,
                    &mut actions,
                );
            }
            EntryEvent::Summary(summary) => {
                self.candidates.apply_summary(now, summary, view);
            }
            EntryEvent::BorrowRequested {
                response_id,
                borrow_request,
            } => {
                let answer = self.limits.lend(now, borrow_request, view);
                actions.push(EntryAction::AnswerBorrow {
                    response_id,
                    answer,
                });
            }
            EntryEvent::Lent { asked_at, answer } => {
                self.limits.borrowed(now, asked_at, &answer, view);
            }
        }
        actions
    }

    /// Does what is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        while let Some((due, request)) = self.timers.first().cloned() {
            if due > now {
                break;
            }
            self.timers.remove(&(due, request.clone()));
            let Some(inflight) = self.requests.remove(&request) else {
                continue;
            };
            self.handle_timer(now, inflight, view, &mut actions);
        }
        if now >= self.drain_check_due {
            self.drain_check_due = now.after(DRAIN_CHECK_INTERVAL);
            self.notify_new_owners(now, view, &mut actions);
            self.apply_drains(now, view, &mut actions);
            self.remove_expired_grants(now);
        }
        if now >= self.candidate_cleanup_due {
            self.candidate_cleanup_due = now.after(CANDIDATE_CLEANUP_INTERVAL);
            self.candidates.remove_missing(view);
        }
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let inflight = self.timers.first().map(|(due, _)| *due);
        if self.requests.is_empty() && self.pending_grants.is_empty() {
            return inflight;
        }
        Some(
            inflight.map_or(self.drain_check_due, |due| {
                due.min(self.drain_check_due)
            }),
        )
    }

    /// Requests that have not ended.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is under way, as a planned stop waits for.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What is known of the engines.
    pub fn candidates(&self) -> &CandidateTable {
        &self.candidates
    }

    /// Puts a row back and sets its timer.
    fn reinsert(&mut self, mut inflight: InFlightRequest, due: Timestamp) {
        let request = inflight.descriptor.request.clone();
        inflight.due = due.min(inflight.descriptor.deadline);
        self.timers.insert((inflight.due, request.clone()));
        self.requests.insert(request, inflight);
    }

    /// Takes a row out together with its timer.
    fn remove(&mut self, request: &RequestId) -> Option<InFlightRequest> {
        let inflight = self.requests.remove(request)?;
        self.timers.remove(&(inflight.due, request.clone()));
        Some(inflight)
    }

    fn arrived(
        &mut self,
        now: Timestamp,
        descriptor: RequestDescriptor,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.requests.contains_key(&descriptor.request) {
            return;
        }
        let mut inflight = InFlightRequest::new(now, descriptor);
        if now >= inflight.descriptor.deadline {
            return self.refuse(inflight, deadline_exceeded(), actions);
        }
        if !view.configuration_fresh {
            return self.refuse(inflight, configuration_stale(), actions);
        }
        let (admitted, pending_grants) =
            self.limits.admit(now, &inflight.descriptor, view);
        actions.extend(pending_grants.into_iter().map(EntryAction::Borrow));
        match admitted {
            Ok(booked) => {
                inflight.limits = booked;
                self.place(now, inflight, view, actions);
            }
            Err(refusal) => self.refuse(inflight, refusal, actions),
        }
    }

    fn handle_timer(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if now >= inflight.descriptor.deadline {
            return self.end_past_deadline(inflight, actions);
        }
        match inflight.phase {
            Phase::Dispatched => {
                self.renew(now, &mut inflight, actions);
                let due = inflight.renewal_due;
                self.reinsert(inflight, due);
            }
            Phase::BackingOff => self.place(now, inflight, view, actions),
            Phase::AwaitingGrant { .. } => {
                inflight.retryable = true;
                inflight.last_refusal = Some(owner_unreachable());
                actions.push(EntryAction::CountRetry(
                    RetryReason::OwnerUnreachable,
                ));
                self.continue_round(now, inflight, view, actions);
            }
        }
    }

    /// Ends a row whose deadline has passed.
    fn end_past_deadline(
        &mut self,
        inflight: InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        self.end(inflight, deadline_exceeded(), actions);
    }

    /// Ends an admitted row with a refusal and frees what it holds.
    fn end(
        &mut self,
        mut inflight: InFlightRequest,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(&mut inflight, actions);
        self.limits.ended(&inflight.descriptor, &inflight.limits);
        self.refuse(inflight, refusal, actions);
    }

    /// Ends a row that holds nothing with a refusal.
    fn refuse(
        &mut self,
        inflight: InFlightRequest,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = refusal.with_run_state(inflight.run_state);
        actions.push(EntryAction::CountRefusal(refusal.code));
        let decision = RequestDecision::End(refusal);
        actions
            .push(EntryAction::Decide(inflight.descriptor.request, decision));
    }

    /// Frees all legs: what was sent is cancelled, the rest is returned.
    fn release(
        &mut self,
        inflight: &mut InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let request = &inflight.descriptor.request;
        let placed = matches!(inflight.phase, Phase::Dispatched);
        for allocation in inflight.allocations.drain(..) {
            // The shell may have written a request that it has not yet
            // reported as sent.
            let event = if placed {
                let engine = allocation.engine.clone();
                let cancel =
                    EntryAction::CancelAtEngine(engine, request.clone());
                actions.push(cancel);
                self.candidates.ended(&allocation.engine);
                GrantEvent::Cancelled
            } else {
                GrantEvent::Unused
            };
            actions.push(notify(request, &allocation, event));
        }
    }

    /// Waits before the next round, or gives up if that would be too late.
    fn schedule_retry(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(&mut inflight, actions);
        inflight.rounds += 1;
        let pause = backoff(inflight.rounds, &mut self.rng);
        let next = now.after(pause);
        let gone = refusal.code == RefusalCode::NoUpstream
            && now.since(inflight.arrived) >= NO_UPSTREAM_WAIT;
        if gone || next >= inflight.descriptor.deadline {
            let refusal = refusal.with_retry_after(pause);
            return self.end(inflight, refusal, actions);
        }
        inflight.phase = Phase::BackingOff;
        inflight.tried.clear();
        inflight.candidates.clear();
        inflight.retryable = false;
        inflight.grouped = false;
        self.reinsert(inflight, next);
    }

    fn remove_expired_grants(&mut self, now: Timestamp) {
        self.pending_grants.retain(|_, pending| {
            now.since(pending.sent_at) < PENDING_GRANT_RETENTION
        });
    }
}

fn notify(
    request: &RequestId,
    allocation: &Allocation,
    event: GrantEvent,
) -> EntryAction {
    let notice = GrantNotice {
        sequence: allocation.sequence,
        reserved: allocation.reserved,
        request: request.clone(),
        engine: allocation.engine.clone(),
        event,
    };
    EntryAction::Notify(allocation.owner.clone(), notice)
}

fn deadline_exceeded() -> Refusal {
    let message = "the request's deadline has passed";
    Refusal::new(RefusalCode::DeadlineExceeded, message)
}

fn configuration_stale() -> Refusal {
    let message = "the configuration may be out of date";
    Refusal::new(RefusalCode::ConfigurationStale, message)
        .with_retry_after(Duration::from_secs(1))
}

fn owner_unreachable() -> Refusal {
    let message = "the engine's owner did not answer in time";
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(Duration::from_millis(500))
}
