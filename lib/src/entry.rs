//! The entry side: the state of each request that this instance received from a
//! caller, from arrival to end.
//!
//! A request is placed by requesting a grant from the owners of at most three
//! candidate engines, one after the other. It is sent only under a valid grant.
//! A prompt that exceeds the memory of one engine is placed on a group of
//! engines, which is reserved completely or not at all. Every request ends at
//! its deadline at the latest, or when a planned stop ends all requests. The
//! refusal at the deadline names what the request was waiting for then,
//! whichever timer or answer ends it. A refusal says `not_run` only if no
//! dispatch was decided, or if every engine that the request was sent to
//! reported that it did not accept it.
//!
//! A second `Dispatch` for the same request replaces the first; the shell drops
//! the older stream.

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
    limits::{CountedLimits, LimitShares, LoanRequest, LoanResponse},
    peer_api::{
        EngineSummary, GrantEvent, GrantNotice, GrantRequest, GrantResponse,
    },
    placement::{CandidateTable, RoundRobin},
    planned_stop::{RequestLimit, StopSchedule},
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    retry::{RetryBudget, backoff},
    units::{Incarnation, Timestamp, TokenCount},
};

/// Timeout of a grant request that must be answered at once.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a grant request that the owner may queue. Exceeds the longest
/// time in the queue, [`crate::admission::QUEUE_WAIT_MAX`].
pub const QUEUED_GRANT_TIMEOUT: Duration = Duration::from_millis(5500);
/// Interval between two renewals of a reservation whose segment has not been
/// sent yet. Short enough that a new owner receives several before it grants
/// from the whole memory.
const KEPT_RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two notices about a running request, from which a new owner
/// learns the request's entry instance.
const STARTED_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of grant requests in one placement round.
const GRANT_REQUESTS_PER_ROUND: usize = 3;
/// How long after its arrival a request waits if no engine can be used. Covers
/// the takeover of engines whose owner was lost. Engines that were drained by
/// an order stay away for longer, so a longer wait would not help.
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of dispatches of one request, the first included.
const DISPATCHES_MAX: u32 = 4;
/// Maximum number of interruptions after which the stream of one request is
/// resumed.
const RESUMES_MAX: u32 = 3;
/// Time for which reconnections to an interrupted stream are attempted. Only its
/// engine can complete it, and keeps it for longer; a caller that gets no more
/// text learns within this time that the engine is not reached.
const RESUME_TIME: Duration = Duration::from_secs(3);
/// Interval between two checks for drained engines and new owners.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two removals of candidate state of engines that no longer
/// exist.
const CANDIDATE_CLEANUP_INTERVAL: Duration = Duration::from_secs(30);
/// How long an unanswered grant request is kept, so that a late grant can be
/// returned.
const PENDING_GRANT_RETENTION: Duration = Duration::from_secs(60);
/// Prompts up to this length have priority over longer ones at an engine.
const SHORT_PROMPT_MAX: TokenCount = crate::owner::LONG_PROMPT;

/// Input of [`EntryTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Arrived(RequestDescriptor),
    /// The shell reported progress of a request.
    Progress(RequestId, RequestProgress),
    /// The grant request with this sequence number was answered; `None` if the
    /// owner could not be reached in time.
    GrantAnswered(u64, Option<GrantResponse>),
    /// The owner of an engine published its free capacity.
    Summary(EngineSummary),
    /// A peer requests a loan on a workspace limit.
    LoanRequested {
        /// Id that [`EntryAction::AnswerLoanRequest`] repeats.
        response_id: u64,
        /// Limit and requested fraction.
        loan_request: LoanRequest,
    },
    /// A peer answered a loan request of this instance.
    LoanReceived {
        /// When the loan request was sent.
        requested_at: Timestamp,
        /// Granted loan, possibly zero.
        answer: LoanResponse,
    },
}

/// Output of [`EntryTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Pass a decision to the task of a request.
    Decide(RequestId, RequestDecision),
    /// Request a grant from the owner of an engine, which may be this instance.
    RequestGrant {
        /// Owner of the engine.
        owner: InstanceId,
        /// Sequence number, repeated in [`EntryEvent::GrantAnswered`]; equal to
        /// that in the grant request.
        sequence: u64,
        /// Message to the owner.
        grant_request: GrantRequest,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Notify the owner of an engine, which may be this instance, of the use of
    /// a grant.
    Notify(InstanceId, GrantNotice),
    /// Cancel a request at an engine.
    CancelAtEngine(UpstreamId, RequestId),
    /// Request a loan on a workspace limit from any live peer.
    RequestLoan(LoanRequest),
    /// Answer an [`EntryEvent::LoanRequested`].
    AnswerLoanRequest {
        /// Id from [`EntryEvent::LoanRequested`].
        response_id: u64,
        /// Granted loan, possibly zero.
        answer: LoanResponse,
    },
    /// Increment the counter of refusals with this code.
    CountRefusal(RefusalCode),
    /// Increment the counter of retries for this reason.
    CountRetry(RetryReason),
}

/// Memory on one engine that a request has reserved or uses.
#[derive(Clone, Debug)]
struct Allocation {
    engine: UpstreamId,
    owner: InstanceId,
    /// Sequence number of the grant request.
    sequence: u64,
    /// Memory reserved on the engine.
    reserved: TokenCount,
    /// Prompt tokens to prefill on the engine.
    prompt: TokenCount,
    /// Incarnation that the grant applies to; `None` without a grant.
    incarnation: Option<Incarnation>,
    /// When the grant expires unless the request has been sent.
    use_before: Timestamp,
    /// When the request was written to the engine.
    sent_at: Option<Timestamp>,
}

/// One engine of a planned group, with the tokens to reserve on it.
#[derive(Clone, Debug)]
struct PlannedSegment {
    engine: UpstreamId,
    prompt: TokenCount,
    output: TokenCount,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Waits for the answer to a grant request; `segments` are those of a group
    /// that are not requested yet.
    AwaitingGrant {
        sequence: u64,
        segments: Vec<PlannedSegment>,
    },
    /// Waits for the backoff before the next placement round.
    BackingOff,
    /// A dispatch was decided; the request is being sent or runs.
    Dispatched,
}

/// State of one request from arrival to end.
#[derive(Clone, Debug)]
struct InFlightRequest {
    descriptor: RequestDescriptor,
    arrived: Timestamp,
    /// When the request has to end.
    limit: RequestLimit,
    /// Workspace limits that the request counts against.
    counted_limits: CountedLimits,
    phase: Phase,
    timer_due: Timestamp,
    allocations: Vec<Allocation>,
    /// Candidates of the present round that are still to be tried, best last.
    remaining_candidates: Vec<UpstreamId>,
    /// Engines tried in the present round.
    tried_engines: Vec<UpstreamId>,
    /// Whether a later round may succeed where the present one failed.
    failure_is_temporary: bool,
    /// Whether the present round places a group.
    grouped: bool,
    last_refusal: Option<Refusal>,
    /// Why the last round failed; `None` before the end of the first round and
    /// after a dispatch.
    wait_reason: Option<Refusal>,
    /// Placement rounds that failed, for the backoff.
    rounds: u32,
    dispatches: u32,
    /// Interruptions after which the stream was resumed.
    resumes: u32,
    /// Last interruption of the stream.
    interruption: Option<Interruption>,
    /// Whether an engine may have run the request.
    run_state: RunState,
    /// Restored if the engine proves that it did not accept the dispatch.
    run_state_before_dispatch: RunState,
    /// Whether the caller has received a part of the completion.
    delivered: bool,
    /// When the owners are notified again that the request is in progress.
    renewal_due: Timestamp,
}

impl InFlightRequest {
    fn new(
        now: Timestamp,
        descriptor: RequestDescriptor,
        stop: Option<StopSchedule>,
    ) -> Self {
        let limit = RequestLimit::new(descriptor.deadline, stop);
        Self {
            timer_due: limit.sent_before(),
            descriptor,
            arrived: now,
            limit,
            counted_limits: CountedLimits::default(),
            phase: Phase::BackingOff,
            allocations: Vec::new(),
            remaining_candidates: Vec::new(),
            tried_engines: Vec::new(),
            failure_is_temporary: false,
            grouped: false,
            last_refusal: None,
            wait_reason: None,
            rounds: 0,
            dispatches: 0,
            resumes: 0,
            interruption: None,
            run_state: RunState::NotRun,
            run_state_before_dispatch: RunState::NotRun,
            delivered: false,
            renewal_due: Timestamp::ZERO,
        }
    }

    /// When the request ends or, while it is not dispatched, is refused.
    fn expires_at(&self) -> Timestamp {
        match self.phase {
            Phase::Dispatched => self.limit.ends_at(),
            _ => self.limit.sent_before(),
        }
    }

    /// Prepares for a new placement round.
    fn reset_round(&mut self) {
        self.phase = Phase::BackingOff;
        self.tried_engines.clear();
        self.remaining_candidates.clear();
        self.failure_is_temporary = false;
        self.grouped = false;
    }

    /// Priority at the engine: short prompts before long ones, then by class.
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

/// An interruption of a stream.
#[derive(Clone, Copy, Debug)]
struct Interruption {
    since: Timestamp,
    /// Tokens that the caller had received.
    delivered: TokenCount,
    /// Reconnections that failed.
    attempts: u32,
}

/// A grant request that has not been answered.
#[derive(Clone, Debug)]
struct PendingGrant {
    request: RequestId,
    engine: UpstreamId,
    owner: InstanceId,
    sent_at: Timestamp,
    prompt: TokenCount,
}

/// Requests that this instance received from callers and that have not ended.
#[derive(Debug)]
pub struct EntryTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    timers: BTreeSet<(Timestamp, RequestId)>,
    pending_grants: BTreeMap<u64, PendingGrant>,
    next_sequence: u64,
    candidates: CandidateTable,
    retry_budget: RetryBudget,
    limits: LimitShares,
    policy: PolicyName,
    round_robin: RoundRobin,
    rng: ChaCha8Rng,
    stop: Option<StopSchedule>,
    drain_check_due: Timestamp,
    candidate_cleanup_due: Timestamp,
}

impl EntryTable {
    /// A table without requests. Sequence numbers start from the incarnation,
    /// so they exceed those of an earlier process of this instance.
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
            retry_budget: RetryBudget::new(),
            limits: LimitShares::new(),
            policy,
            round_robin: RoundRobin::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            stop: None,
            drain_check_due: Timestamp::ZERO,
            candidate_cleanup_due: Timestamp::ZERO,
        }
    }

    /// Handles one event.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: EntryEvent,
        view: &FleetView,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        match event {
            EntryEvent::Arrived(descriptor) => {
                self.handle_arrival(now, descriptor, view, &mut actions);
            }
            EntryEvent::Progress(request, progress) => {
                self.handle_progress(
                    now,
                    &request,
                    progress,
                    view,
                    &mut actions,
                );
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
            EntryEvent::LoanRequested {
                response_id,
                loan_request,
            } => {
                let answer = self.limits.lend(now, loan_request, view);
                actions.push(EntryAction::AnswerLoanRequest {
                    response_id,
                    answer,
                });
            }
            EntryEvent::LoanReceived {
                requested_at,
                answer,
            } => {
                self.limits.apply_loan(now, requested_at, &answer, view);
            }
        }
        actions
    }

    /// Limits all requests to the time that a planned stop leaves. Those that
    /// were not sent yet are placed anew: owners grant only what can finish in
    /// that time.
    pub fn begin_stop(
        &mut self,
        now: Timestamp,
        schedule: StopSchedule,
        view: &FleetView,
    ) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        self.stop = Some(schedule);
        let outlives = |inflight: &&InFlightRequest| {
            schedule.is_outlived_by(inflight.limit.ends_at())
        };
        let ids: Vec<RequestId> = self
            .requests
            .values()
            .filter(outlives)
            .map(|inflight| inflight.descriptor.request.clone())
            .collect();
        for id in ids {
            let Some(mut inflight) = self.remove(&id) else {
                continue;
            };
            inflight.limit =
                RequestLimit::new(inflight.descriptor.deadline, self.stop);
            if matches!(inflight.phase, Phase::Dispatched) {
                let due = inflight.timer_due;
                self.reinsert(inflight, due);
            } else {
                self.release(&mut inflight, &mut actions);
                inflight.reset_round();
                self.place(now, inflight, view, &mut actions);
            }
        }
        actions
    }

    /// Runs the timers that are due.
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

    /// When [`Self::tick`] must be called even without events.
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

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight, which a planned stop waits for.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Capacity of the engines as known to this instance.
    pub fn candidates(&self) -> &CandidateTable {
        &self.candidates
    }

    /// Puts a request back into the table and sets its timer, at the latest to
    /// the time at which it expires.
    fn reinsert(&mut self, mut inflight: InFlightRequest, due: Timestamp) {
        let request = inflight.descriptor.request.clone();
        inflight.timer_due = due.min(inflight.expires_at());
        self.timers.insert((inflight.timer_due, request.clone()));
        self.requests.insert(request, inflight);
    }

    /// Removes a request from the table, with its timer.
    fn remove(&mut self, request: &RequestId) -> Option<InFlightRequest> {
        let inflight = self.requests.remove(request)?;
        self.timers.remove(&(inflight.timer_due, request.clone()));
        Some(inflight)
    }

    fn handle_arrival(
        &mut self,
        now: Timestamp,
        descriptor: RequestDescriptor,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.requests.contains_key(&descriptor.request) {
            return;
        }
        let mut inflight = InFlightRequest::new(now, descriptor, self.stop);
        if now >= inflight.expires_at() {
            return self.refuse(inflight, deadline_exceeded(), actions);
        }
        if !view.configuration_fresh {
            return self.refuse(inflight, configuration_stale(), actions);
        }
        let (admitted, loan_requests) =
            self.limits.admit(now, &inflight.descriptor, view);
        actions.extend(loan_requests.into_iter().map(EntryAction::RequestLoan));
        match admitted {
            Ok(counted) => {
                inflight.counted_limits = counted;
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
        if now >= inflight.expires_at() {
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
                inflight.failure_is_temporary = true;
                inflight.last_refusal = Some(owner_unreachable());
                actions.push(EntryAction::CountRetry(
                    RetryReason::OwnerUnreachable,
                ));
                self.continue_round(now, inflight, view, actions);
            }
        }
    }

    /// Ends a request whose deadline has passed, with the reason for which it
    /// was waiting at that time.
    fn end_past_deadline(
        &mut self,
        inflight: InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = self.deadline_refusal(&inflight);
        self.end(inflight, refusal, actions);
    }

    /// Refusal of a request that reached its deadline. All paths to the end of
    /// a request at its deadline use it: a process that was paused over the
    /// deadline runs the timers in any order.
    fn deadline_refusal(&self, inflight: &InFlightRequest) -> Refusal {
        let reason = match &inflight.phase {
            Phase::Dispatched => None,
            Phase::BackingOff => inflight.wait_reason.clone(),
            Phase::AwaitingGrant { sequence, .. } => {
                // An owner that refuses does so at once, so the earlier refusal
                // still applies unless the owner was given time to answer.
                let pending = self.pending_grants.get(sequence);
                let unanswered = pending.is_none_or(|pending| {
                    let left = inflight.expires_at().since(pending.sent_at);
                    left >= GRANT_TIMEOUT
                });
                let earlier = inflight.last_refusal.as_ref();
                let earlier = earlier.or(inflight.wait_reason.as_ref());
                let earlier = earlier.filter(|_| !unanswered).cloned();
                Some(earlier.unwrap_or_else(owner_unreachable))
            }
        };
        reason.unwrap_or_else(deadline_exceeded)
    }

    /// Ends an admitted request with a refusal and releases its allocations.
    fn end(
        &mut self,
        mut inflight: InFlightRequest,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(&mut inflight, actions);
        self.limits
            .release(&inflight.descriptor, &inflight.counted_limits);
        self.refuse(inflight, refusal, actions);
    }

    /// Ends a request without allocations with a refusal.
    fn refuse(
        &mut self,
        inflight: InFlightRequest,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = inflight.limit.restate(refusal);
        let refusal = refusal.with_run_state(inflight.run_state);
        actions.push(EntryAction::CountRefusal(refusal.code));
        let decision = RequestDecision::End(refusal);
        actions
            .push(EntryAction::Decide(inflight.descriptor.request, decision));
    }

    /// Releases all allocations: cancels what was dispatched and returns unused
    /// grants.
    fn release(
        &mut self,
        inflight: &mut InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let request = &inflight.descriptor.request;
        let placed = matches!(inflight.phase, Phase::Dispatched);
        for allocation in inflight.allocations.drain(..) {
            // The shell may have written a request that it has not yet reported
            // as sent.
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

    /// Starts the backoff before the next placement round, or ends the request
    /// if that would be too late.
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
        if gone || next >= inflight.limit.sent_before() {
            let refusal = refusal.with_retry_after(pause);
            return self.end(inflight, refusal, actions);
        }
        inflight.wait_reason = Some(refusal.with_retry_after(pause));
        inflight.reset_round();
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
