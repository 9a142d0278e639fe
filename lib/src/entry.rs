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

mod asking;
mod group;
mod running;
mod tables;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub use self::tables::RequestStatus;

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
pub const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Wait for the answer to an ask that may be queued. It exceeds the time that
/// an owner queues it.
pub const QUEUED_ASK_TIMEOUT: Duration = Duration::from_millis(5500);
/// Interval between two renewals of holds that are not yet sent. A new owner
/// hears of them several times before it grants from the whole account.
const KEPT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two notices on a running request, so that a new owner
/// learns whose it is.
const STARTED_INTERVAL: Duration = Duration::from_secs(5);
/// Most asks of one round.
const ROUND_ASKS: usize = 3;
/// Time from its arrival in which a request waits for an engine to appear.
/// Covers the takeover of engines whose owner was lost; engines taken out by
/// an order stay away for longer, so that waiting on would not help.
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(3);
/// Most times that a request is sent to engines.
const DISPATCHES_MAX: u32 = 4;
/// Most resumptions of one answer.
const RESUMES_MAX: u32 = 3;
/// Interval between two looks for engines that leave.
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two removals of what is known of engines that are gone.
const FORGET_INTERVAL: Duration = Duration::from_secs(30);
/// How long an unanswered ask is remembered.
const ASK_FORGOTTEN: Duration = Duration::from_secs(60);
/// Prompts up to this length run before longer ones at an engine.
const SHORT_PROMPT: TokenCount = crate::owner::LONG_PROMPT;

/// Input of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Arrived(RequestDescriptor),
    /// A request made progress.
    Progress(RequestId, RequestProgress),
    /// An ask was answered; absent if the owner could not be reached in time.
    AskAnswered(u64, Option<GrantResponse>),
    /// A peer published the room on an engine.
    Summary(EngineSummary),
    /// A peer asks for a part of a workspace's limit.
    BorrowRequested {
        /// Number for the answer.
        reply: u64,
        /// The ask.
        ask: BorrowRequest,
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
    Ask {
        /// Owner.
        owner: InstanceId,
        /// Number for [`EntryEvent::AskAnswered`]; equal to the one inside.
        ask_number: u64,
        /// The ask.
        ask: GrantRequest,
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
        reply: u64,
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
struct Leg {
    engine: UpstreamId,
    owner: InstanceId,
    ask: u64,
    reserved: TokenCount,
    prompt: TokenCount,
    incarnation: Option<Incarnation>,
    use_before: Timestamp,
    sent_at: Option<Timestamp>,
}

/// One engine of a group that is being reserved.
#[derive(Clone, Debug)]
struct GroupPart {
    engine: UpstreamId,
    prompt: TokenCount,
    output: TokenCount,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Waits for the answer to an ask; `parts` is left over of a group.
    Asking { ask: u64, parts: Vec<GroupPart> },
    /// Waits before the next round.
    Waiting,
    /// Decided to be sent or running.
    Placed,
}

#[derive(Clone, Debug)]
struct EntryRow {
    descriptor: RequestDescriptor,
    arrived: Timestamp,
    limits: BookedLimits,
    phase: Phase,
    due: Timestamp,
    legs: Vec<Leg>,
    candidates: Vec<UpstreamId>,
    tried: Vec<UpstreamId>,
    transient: bool,
    grouped: bool,
    last: Option<Refusal>,
    rounds: u32,
    dispatches: u32,
    resumes: u32,
    run_state: RunState,
    run_before: RunState,
    delivered: bool,
    renew_due: Timestamp,
}

impl EntryRow {
    fn new(now: Timestamp, descriptor: RequestDescriptor) -> Self {
        Self {
            due: descriptor.deadline,
            descriptor,
            arrived: now,
            limits: BookedLimits::default(),
            phase: Phase::Waiting,
            legs: Vec::new(),
            candidates: Vec::new(),
            tried: Vec::new(),
            transient: false,
            grouped: false,
            last: None,
            rounds: 0,
            dispatches: 0,
            resumes: 0,
            run_state: RunState::NotRun,
            run_before: RunState::NotRun,
            delivered: false,
            renew_due: Timestamp::ZERO,
        }
    }

    /// Short prompts first, then by class.
    fn priority(&self) -> u8 {
        let short = self.descriptor.prompt <= SHORT_PROMPT;
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
struct OpenAsk {
    request: RequestId,
    engine: UpstreamId,
    owner: InstanceId,
    sent_at: Timestamp,
    prompt: TokenCount,
}

/// Rows of the requests that entered at this instance.
#[derive(Debug)]
pub struct EntryTable {
    rows: BTreeMap<RequestId, EntryRow>,
    timers: BTreeSet<(Timestamp, RequestId)>,
    asks: BTreeMap<u64, OpenAsk>,
    next_ask: u64,
    candidates: CandidateTable,
    budget: RetryBudget,
    limits: LimitShares,
    policy: PolicyName,
    round_robin: RoundRobin,
    rng: ChaCha8Rng,
    drain_due: Timestamp,
    forget_due: Timestamp,
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
            rows: BTreeMap::new(),
            timers: BTreeSet::new(),
            asks: BTreeMap::new(),
            next_ask: incarnation.get() << 20,
            candidates: CandidateTable::new(),
            budget: RetryBudget::new(),
            limits: LimitShares::new(),
            policy,
            round_robin: RoundRobin::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            drain_due: Timestamp::ZERO,
            forget_due: Timestamp::ZERO,
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
            EntryEvent::AskAnswered(ask, answer) => {
                self.answered(now, ask, answer, view, &mut actions);
            }
            EntryEvent::Summary(summary) => {
                self.candidates.apply_summary(now, summary, view);
            }
            EntryEvent::BorrowRequested { reply, ask } => {
                let answer = self.limits.lend(now, ask, view);
                actions.push(EntryAction::AnswerBorrow { reply, answer });
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
            let Some(row) = self.rows.remove(&request) else {
                continue;
            };
            self.row_due(now, row, view, &mut actions);
        }
        if now >= self.drain_due {
            self.drain_due = now.after(DRAIN_INTERVAL);
            self.tell_new_owners(now, view, &mut actions);
            self.look_for_drains(now, view, &mut actions);
            self.forget_asks(now);
        }
        if now >= self.forget_due {
            self.forget_due = now.after(FORGET_INTERVAL);
            self.candidates.remove_missing(view);
        }
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let row = self.timers.first().map(|(due, _)| *due);
        if self.rows.is_empty() && self.asks.is_empty() {
            return row;
        }
        Some(row.map_or(self.drain_due, |due| due.min(self.drain_due)))
    }

    /// Requests that have not ended.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no request is under way, as a planned stop waits for.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// What is known of the engines.
    pub fn candidates(&self) -> &CandidateTable {
        &self.candidates
    }

    /// Puts a row back and sets its timer.
    fn keep(&mut self, mut row: EntryRow, due: Timestamp) {
        let request = row.descriptor.request.clone();
        row.due = due.min(row.descriptor.deadline);
        self.timers.insert((row.due, request.clone()));
        self.rows.insert(request, row);
    }

    /// Takes a row out together with its timer.
    fn take(&mut self, request: &RequestId) -> Option<EntryRow> {
        let row = self.rows.remove(request)?;
        self.timers.remove(&(row.due, request.clone()));
        Some(row)
    }

    fn arrived(
        &mut self,
        now: Timestamp,
        descriptor: RequestDescriptor,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if self.rows.contains_key(&descriptor.request) {
            return;
        }
        let mut row = EntryRow::new(now, descriptor);
        if now >= row.descriptor.deadline {
            return self.refuse(row, late(), actions);
        }
        if !view.configuration_fresh {
            return self.refuse(row, stale(), actions);
        }
        let (admitted, asks) = self.limits.admit(now, &row.descriptor, view);
        actions.extend(asks.into_iter().map(EntryAction::Borrow));
        match admitted {
            Ok(booked) => {
                row.limits = booked;
                self.place(now, row, view, actions);
            }
            Err(refusal) => self.refuse(row, refusal, actions),
        }
    }

    fn row_due(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if now >= row.descriptor.deadline {
            return self.end_late(row, actions);
        }
        match row.phase {
            Phase::Placed => {
                self.renew(now, &mut row, actions);
                let due = row.renew_due;
                self.keep(row, due);
            }
            Phase::Waiting => self.place(now, row, view, actions),
            Phase::Asking { .. } => {
                row.transient = true;
                row.last = Some(unreachable());
                actions.push(EntryAction::CountRetry(
                    RetryReason::OwnerUnreachable,
                ));
                self.ask_failed(now, row, view, actions);
            }
        }
    }

    /// Ends a row whose deadline has passed.
    fn end_late(&mut self, row: EntryRow, actions: &mut Vec<EntryAction>) {
        self.end(row, late(), actions);
    }

    /// Ends an admitted row with a refusal and frees what it holds.
    fn end(
        &mut self,
        mut row: EntryRow,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(&mut row, actions);
        self.limits.ended(&row.descriptor, &row.limits);
        self.refuse(row, refusal, actions);
    }

    /// Ends a row that holds nothing with a refusal.
    fn refuse(
        &mut self,
        row: EntryRow,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = refusal.with_run_state(row.run_state);
        actions.push(EntryAction::CountRefusal(refusal.code));
        let decision = RequestDecision::End(refusal);
        actions.push(EntryAction::Decide(row.descriptor.request, decision));
    }

    /// Frees all legs: what was sent is cancelled, the rest is returned.
    fn release(&mut self, row: &mut EntryRow, actions: &mut Vec<EntryAction>) {
        let request = &row.descriptor.request;
        let placed = matches!(row.phase, Phase::Placed);
        for leg in row.legs.drain(..) {
            // The shell may have written a request that it has not yet
            // reported as sent.
            let event = if placed {
                let engine = leg.engine.clone();
                let cancel =
                    EntryAction::CancelAtEngine(engine, request.clone());
                actions.push(cancel);
                self.candidates.ended(&leg.engine);
                GrantEvent::Cancelled
            } else {
                GrantEvent::Unused
            };
            actions.push(notify(request, &leg, event));
        }
    }

    /// Waits before the next round, or gives up if that would be too late.
    fn wait(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        refusal: Refusal,
        actions: &mut Vec<EntryAction>,
    ) {
        self.release(&mut row, actions);
        row.rounds += 1;
        let pause = backoff(row.rounds, &mut self.rng);
        let next = now.after(pause);
        let gone = refusal.code == RefusalCode::NoUpstream
            && now.since(row.arrived) >= NO_UPSTREAM_WAIT;
        if gone || next >= row.descriptor.deadline {
            let refusal = refusal.with_retry_after(pause);
            return self.end(row, refusal, actions);
        }
        row.phase = Phase::Waiting;
        row.tried.clear();
        row.candidates.clear();
        row.transient = false;
        row.grouped = false;
        self.keep(row, next);
    }

    fn forget_asks(&mut self, now: Timestamp) {
        self.asks
            .retain(|_, ask| now.since(ask.sent_at) < ASK_FORGOTTEN);
    }
}

fn notify(request: &RequestId, leg: &Leg, event: GrantEvent) -> EntryAction {
    let notice = GrantNotice {
        sequence: leg.ask,
        reserved: leg.reserved,
        request: request.clone(),
        engine: leg.engine.clone(),
        event,
    };
    EntryAction::Notify(leg.owner.clone(), notice)
}

fn late() -> Refusal {
    let message = "the request's deadline has passed";
    Refusal::new(RefusalCode::DeadlineExceeded, message)
}

fn stale() -> Refusal {
    let message = "the configuration may be out of date";
    Refusal::new(RefusalCode::ConfigurationStale, message)
        .with_retry_after(Duration::from_secs(1))
}

fn unreachable() -> Refusal {
    let message = "the engine's owner did not answer in time";
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(Duration::from_millis(500))
}
