//! The engines that this instance owns.
//!
//! One row per owned engine joins its account, cold limit and cost model. The
//! table answers asks for grants, keeps each account in step with the engine's
//! own list and publishes summaries. It answers `NotOwner` unless the view
//! says that this instance owns the engine and has fresh evidence of it. The
//! core routes asks and notices here and carries the reads out; it reports one
//! result for each read.

mod handover;
mod row;
mod tables;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use self::tables::OwnedEngineStatus;
use self::{
    handover::FormerRow,
    row::{Obstacle, OwnerRow, enqueue, give, judge},
};
use crate::{
    engine_api::{HeldReport, LoadReport},
    fleet_view::FleetView,
    ids::{InstanceId, ModelName, RequestId, UpstreamId},
    long_share::{LongPromptRanking, LongPromptShare},
    peer_api::{
        GrantNotice, GrantRefusal, GrantRequest, GrantResponse,
        HandoverResponse,
    },
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
};

/// Wait of a new owner until unused grants of the old one are void, where the
/// old owner is known to grant no more.
pub const HOLD_DOWN: Duration = Duration::from_secs(1);
/// Wait of a new owner that cannot ask the old one. The old owner may grant for
/// as long as the membership views differ; in simulation, an overlap of 1 s or
/// more led to overcommitted engines with a wait of only 1 s.
pub const HOLD_DOWN_SHARED: Duration = Duration::from_secs(3);
/// Interval between two readings of an owned engine's load.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two readings of an owned engine's list.
pub const HELD_INTERVAL: Duration = Duration::from_secs(2);
/// Least interval between two readings of the list out of turn.
pub const HELD_URGENT: Duration = Duration::from_millis(100);
/// Prompts above this length go only to engines that take long prompts.
pub const LONG_PROMPT: TokenCount = TokenCount::new(16_384);
/// Interval between two asks for the account of the former owner.
const TAKE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two comparisons of the rows with the view.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two decisions on which engines take long prompts.
const RANKING_INTERVAL: Duration = Duration::from_secs(1);
/// Least time after which a refused ask may be repeated.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// A read that the core has not reported by now is taken as lost.
const READ_LOST: Duration = Duration::from_secs(30);
/// Most dead instances that are remembered.
const DEAD_MAX: usize = 1024;

/// Input of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An instance, perhaps this one, asks for a grant.
    GrantAsked {
        /// Entry instance.
        from: InstanceId,
        /// Number for the answer.
        reply: u64,
        /// The ask.
        ask: GrantRequest,
    },
    /// An instance says what became of a grant.
    Noticed(InstanceId, GrantNotice),
    /// An engine's load was read, or not.
    LoadRead(UpstreamId, Option<LoadReport>),
    /// An engine's list of held requests was read, or not.
    HeldRead(UpstreamId, Option<HeldReport>),
    /// An instance is dead, or has come up with a new incarnation; in the
    /// second case [`OwnerEvent::MemberBack`] follows.
    MemberDead(InstanceId),
    /// An instance that was dead is alive.
    MemberBack(InstanceId),
    /// The new owner of an engine asks for its account.
    TakeOverAsked {
        /// New owner.
        from: InstanceId,
        /// Number for the answer.
        reply: u64,
        /// Engine.
        engine: UpstreamId,
    },
    /// The former owner of an engine handed over its account, or not.
    TakenOver(UpstreamId, Option<HandoverResponse>),
    /// A caller's request entered at this instance; this shows the demand.
    Arrived(ModelName, TokenCount),
}

/// Output of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answer an ask.
    Answer {
        /// Entry instance.
        to: InstanceId,
        /// Number of the ask's [`OwnerEvent::GrantAsked`].
        reply: u64,
        /// The answer.
        answer: GrantResponse,
    },
    /// Ask the former owner of an engine for its account.
    AskTakeOver(UpstreamId),
    /// Answer an [`OwnerEvent::TakeOverAsked`].
    AnswerTakeOver {
        /// Number of the ask.
        reply: u64,
        /// The account, if there is one to rely on.
        answer: Option<HandoverResponse>,
    },
    /// Read an engine's load.
    ReadLoad(UpstreamId),
    /// Read an engine's list of held requests.
    ReadHeld(UpstreamId),
    /// Cancel a request at an engine.
    CancelAtEngine(UpstreamId, RequestId),
}

/// How far the takeover of an engine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverState {
    /// Unused grants of the old owner may still be valid.
    Waiting,
    /// The engine's list is being read.
    Reading,
    /// The whole account is granted from.
    Serving,
}

/// Rows of the engines that this instance owns.
#[derive(Debug, Default)]
pub struct OwnerTable {
    rows: BTreeMap<UpstreamId, OwnerRow>,
    former: BTreeMap<UpstreamId, FormerRow>,
    started: Option<Timestamp>,
    dead: BTreeSet<InstanceId>,
    sync_due: Timestamp,
    demand: LongPromptShare,
    ranking_due: Timestamp,
}

impl OwnerTable {
    /// A table without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one event in.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: OwnerEvent,
        view: &FleetView,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::GrantAsked { from, reply, ask } => {
                self.asked(now, from, reply, ask, view, &mut actions);
            }
            OwnerEvent::Noticed(from, notice) => {
                self.noticed(now, &from, &notice, view);
            }
            OwnerEvent::LoadRead(engine, report) => {
                self.load_read(now, &engine, report);
            }
            OwnerEvent::HeldRead(engine, report) => {
                self.held_read(now, &engine, report, &mut actions);
            }
            OwnerEvent::MemberDead(instance) => {
                for row in self.rows.values_mut() {
                    row.ledger.member_dead(now, &instance);
                    row.queue.remove_entry(&instance);
                }
                if self.dead.len() >= DEAD_MAX {
                    self.dead.pop_first();
                }
                self.dead.insert(instance);
            }
            OwnerEvent::MemberBack(instance) => {
                self.dead.remove(&instance);
            }
            OwnerEvent::TakeOverAsked {
                from,
                reply,
                engine,
            } => {
                let answer = self.hand_over(now, from, &engine, &mut actions);
                actions.push(OwnerAction::AnswerTakeOver { reply, answer });
            }
            OwnerEvent::TakenOver(engine, answer) => {
                self.taken_over(now, &engine, answer);
            }
            OwnerEvent::Arrived(model, prompt) => {
                self.demand.observe(now, &model, prompt);
            }
        }
        self.run(now, &mut actions);
        actions
    }

    /// Does what is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.started.get_or_insert(now);
        if now >= self.sync_due {
            self.sync_due = now.after(SYNC_INTERVAL);
            self.sync(now, view, &mut actions);
        }
        if now >= self.ranking_due {
            self.ranking_due = now.after(RANKING_INTERVAL);
            self.rank_long(view);
        }
        self.run(now, &mut actions);
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let mut due = self.sync_due;
        for row in self.rows.values() {
            let reads = [
                (row.load_due, row.load_asked),
                (row.held_due, row.held_asked),
            ];
            for (at, asked) in reads {
                due = due.min(asked.map_or(at, |at| at.after(READ_LOST)));
            }
            let timers = [row.ledger.next_timer(), row.queue.next_timer()];
            due = timers.into_iter().flatten().fold(due, Timestamp::min);
        }
        Some(due)
    }

    /// Lets an engine that loaded a model begin at the lowest step.
    pub fn reset_cold(&mut self, engine: &UpstreamId) {
        if let Some(row) = self.rows.get_mut(engine) {
            row.cold.reset();
        }
    }

    /// Adds rows of engines that came to this instance and removes the others.
    fn sync(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<OwnerAction>,
    ) {
        for (engine, row) in &mut self.rows {
            if view.may_act_as_owner && view.owns(engine) {
                continue;
            }
            row.suspend(now);
            let owner = view.owners.get(engine);
            actions.extend(row.queue.drain().into_iter().map(|queued| {
                let answer = GrantResponse::NotOwner(owner.cloned());
                answer_to(queued.from, queued.reply, answer)
            }));
        }
        self.keep_former(now, view);
        for (engine, owner) in view.owners {
            if owner == view.local_instance && !self.is_handed(engine) {
                self.row(now, engine, view);
            }
        }
    }

    /// Decides which of the owned engines take long prompts.
    fn rank_long(&mut self, view: &FleetView) {
        let report = |engine: &UpstreamId| {
            let entry = view.upstreams.get(engine)?;
            Some((&entry.domain, entry.capability.as_deref()?))
        };
        let models: BTreeSet<&ModelName> = self
            .rows
            .keys()
            .filter_map(report)
            .flat_map(|(_, report)| &report.models)
            .collect();
        let ranking = LongPromptRanking::new(models.into_iter(), view);
        for (engine, row) in &mut self.rows {
            let Some((domain, report)) = report(engine) else {
                continue;
            };
            let share = &self.demand;
            let taking = row.takes_long;
            row.takes_long = report.models.iter().any(|model| {
                ranking.takes_long(share, model, domain, engine, taking)
            });
        }
    }

    fn row(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        view: &FleetView,
    ) -> &mut OwnerRow {
        if !self.rows.contains_key(engine) {
            self.ranking_due = now;
            let alone = view.live_instances <= 1;
            let wait = if alone { HOLD_DOWN } else { HOLD_DOWN_SHARED };
            self.rows.insert(engine.clone(), OwnerRow::new(now, wait));
        }
        let row = self.rows.get_mut(engine).expect("inserted above");
        let entry = view.upstreams.get(engine);
        if let Some(report) = entry.and_then(|entry| entry.capability.as_ref())
        {
            row.take_capability(now, report);
        }
        let accepted = view.accepts_work(engine);
        if accepted && !row.accepted {
            row.cold.reset();
        }
        row.accepted = accepted;
        row.leaving = entry.is_some_and(|entry| entry.leaving);
        row
    }

    fn asked(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        reply: u64,
        ask: GrantRequest,
        view: &FleetView,
        actions: &mut Vec<OwnerAction>,
    ) {
        if !view.may_act_as_owner || !view.owns(&ask.engine) {
            let owner = view.owners.get(&ask.engine).cloned();
            let answer = GrantResponse::NotOwner(owner);
            return actions.push(answer_to(from, reply, answer));
        }
        if let Some(owner) = self.handed_to(&ask.engine) {
            let answer = GrantResponse::NotOwner(Some(owner.clone()));
            return actions.push(answer_to(from, reply, answer));
        }
        let row = self.row(now, &ask.engine, view);
        if let Some(older) = row.queue.remove(&ask.request) {
            let answer = refused(now, row, &ask.engine, replaced());
            actions.push(answer_to(older.from, older.reply, answer));
        }
        // What waits comes first; otherwise later asks would starve it.
        let judged = match judge(now, row, &ask) {
            Ok(()) if !row.queue.is_empty() => {
                Err(Obstacle::Full(others_wait()))
            }
            judged => judged,
        };
        let engine = ask.engine.clone();
        let answer = match judged {
            Ok(()) => {
                let grant = give(now, row, &from, &ask, Duration::ZERO);
                GrantResponse::Granted(grant)
            }
            Err(Obstacle::Full(_)) if ask.may_queue => {
                let to = from.clone();
                match enqueue(now, row, from, reply, ask) {
                    Ok(()) => return,
                    Err(refusal) => {
                        let answer = refused(now, row, &engine, refusal);
                        return actions.push(answer_to(to, reply, answer));
                    }
                }
            }
            Err(Obstacle::Full(refusal) | Obstacle::Never(refusal)) => {
                refused(now, row, &engine, refusal)
            }
        };
        actions.push(answer_to(from, reply, answer));
    }

    fn noticed(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        notice: &GrantNotice,
        view: &FleetView,
    ) {
        if !view.owns(&notice.engine) || self.is_handed(&notice.engine) {
            return;
        }
        let row = self.row(now, &notice.engine, view);
        row.ledger.notice(now, from, notice);
        row.learn(now, notice);
        row.set_busy(now);
    }

    fn load_read(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        report: Option<LoadReport>,
    ) {
        let Some(row) = self.rows.get_mut(engine) else {
            return;
        };
        row.load_asked = None;
        let Some(report) = report else {
            return;
        };
        let known = row.ledger.incarnation();
        if known.is_some_and(|known| known > report.incarnation) {
            return;
        }
        if row.ledger.set_incarnation(now, report.incarnation) {
            row.restarted();
        }
        row.cold.reported(report.prefill_rate, row.warm_rate);
        if let Some(cost) = &mut row.cost {
            cost.apply_load_report(now, &report);
        }
        let age = report.age_ms.saturating_mul(1000);
        let measured = now.get().saturating_sub(age);
        let measured = Timestamp::new(measured);
        row.measured_at = row.measured_at.max(Some(measured));
    }

    fn held_read(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        report: Option<HeldReport>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(row) = self.rows.get_mut(engine) else {
            return;
        };
        let Some(asked_at) = row.held_asked.take() else {
            return;
        };
        let Some(report) = report else {
            row.held_due = now.after(HELD_URGENT);
            return;
        };
        let ledger = &mut row.ledger;
        let change = ledger.reconcile(now, asked_at, &report, &self.dead);
        if change.restarted {
            row.restarted();
        }
        if row.state == TakeoverState::Reading {
            row.state = TakeoverState::Serving;
            row.cold.cover(report.requests.len());
            row.ledger.set_complete(true);
        }
        row.held_urgent = row.ledger.wants_list();
        let reservations = &row.ledger;
        row.forecasts
            .retain(|request, _| reservations.reservation(request).is_some());
        row.set_busy(now);
        let engine = engine.clone();
        actions.extend(change.cancel.into_iter().map(|request| {
            OwnerAction::CancelAtEngine(engine.clone(), request)
        }));
    }

    /// Runs the timers of all rows.
    fn run(&mut self, now: Timestamp, actions: &mut Vec<OwnerAction>) {
        for (engine, row) in &mut self.rows {
            for request in row.ledger.tick(now) {
                let cancel =
                    OwnerAction::CancelAtEngine(engine.clone(), request);
                actions.push(cancel);
                row.held_urgent = true;
            }
            row.held_urgent |= row.ledger.wants_list();
            if row.state == TakeoverState::Waiting && now >= row.take_due {
                row.take_due = now.after(TAKE_INTERVAL);
                actions.push(OwnerAction::AskTakeOver(engine.clone()));
            }
            if row.state == TakeoverState::Waiting && now >= row.hold_down_until
            {
                row.state = TakeoverState::Reading;
                row.held_due = now;
            }
            if due(now, row.load_due, row.load_asked) {
                row.load_due = now.after(LOAD_INTERVAL);
                row.load_asked = Some(now);
                actions.push(OwnerAction::ReadLoad(engine.clone()));
            }
            read_held(now, engine, row, actions);
            serve_queue(now, engine, row, actions);
        }
    }
}

fn answer_to(to: InstanceId, reply: u64, answer: GrantResponse) -> OwnerAction {
    OwnerAction::Answer { to, reply, answer }
}

fn refused(
    now: Timestamp,
    row: &OwnerRow,
    engine: &UpstreamId,
    refusal: Refusal,
) -> GrantResponse {
    let summary = Some(row.summary(now, engine));
    GrantResponse::Refused(GrantRefusal { refusal, summary })
}

fn replaced() -> Refusal {
    let message = "the request was asked for again";
    Refusal::new(RefusalCode::NoCapacity, message)
}

fn others_wait() -> Refusal {
    let message = "other requests wait for the engine";
    Refusal::new(RefusalCode::NoCapacity, message).with_retry_after(RETRY_MIN)
}

/// Refuses what waited for too long and grants what fits now.
fn serve_queue(
    now: Timestamp,
    engine: &UpstreamId,
    row: &mut OwnerRow,
    actions: &mut Vec<OwnerAction>,
) {
    for (queued, refusal) in row.queue.expire(now) {
        let answer = refused(now, row, engine, refusal);
        actions.push(answer_to(queued.from, queued.reply, answer));
    }
    while let Some(first) = row.queue.first() {
        let ask = first.current(now);
        let judged = judge(now, row, &ask);
        if matches!(judged, Err(Obstacle::Full(_))) {
            return;
        }
        let queued = row.queue.pop().expect("the first ask was just seen");
        let answer = match judged {
            Ok(()) => {
                let waited = now.since(queued.queued_at);
                let grant = give(now, row, &queued.from, &ask, waited);
                GrantResponse::Granted(grant)
            }
            Err(Obstacle::Full(refusal) | Obstacle::Never(refusal)) => {
                refused(now, row, engine, refusal)
            }
        };
        actions.push(answer_to(queued.from, queued.reply, answer));
    }
}

fn due(now: Timestamp, at: Timestamp, asked: Option<Timestamp>) -> bool {
    asked.map_or(now >= at, |asked| now.since(asked) >= READ_LOST)
}

/// Reads the list each 2 s, and soon where something waits for it.
fn read_held(
    now: Timestamp,
    engine: &UpstreamId,
    row: &mut OwnerRow,
    actions: &mut Vec<OwnerAction>,
) {
    if row.held_urgent {
        row.held_urgent = false;
        row.held_due = row.held_due.min(now.after(HELD_URGENT));
    }
    let waiting = row.state == TakeoverState::Waiting;
    if !waiting && due(now, row.held_due, row.held_asked) {
        row.held_due = now.after(HELD_INTERVAL);
        row.held_asked = Some(now);
        actions.push(OwnerAction::ReadHeld(engine.clone()));
    }
}
