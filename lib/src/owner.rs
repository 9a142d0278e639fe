//! The owner side: grants on the engines that this instance owns.
//!
//! For each owned engine the table keeps a ledger of reservations, a queue, a
//! cold-start limit and a cost model. It answers grant requests, reconciles
//! each ledger with the engine's own list of requests and publishes summaries.
//! Grant requests are answered with `NotOwner` unless the view says that this
//! instance owns the engine and has recent evidence of being part of the fleet.
//! The core passes grant requests and notices in, executes the reads and
//! reports one result for each read.

mod handover;
mod owned_engine;
mod status;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use self::status::OwnedEngineStatus;
use self::{
    handover::FormerEngine,
    owned_engine::{
        GrantObstacle, OwnedEngine, check_grant, enqueue, issue_grant,
    },
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

/// Hold-down of a new owner if the former owner certainly grants no more: the
/// time until its unused grants have expired.
pub const HOLD_DOWN: Duration = Duration::from_secs(1);
/// Hold-down of a new owner that cannot reach the former one, which may grant
/// for as long as the membership views differ. In simulation, an overlap of 1 s
/// or more led to overcommitted engines with a hold-down of only 1 s.
pub const HOLD_DOWN_SHARED: Duration = Duration::from_secs(3);
/// Interval between two reads of an owned engine's load.
pub const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reads of an owned engine's list of held requests.
pub const HELD_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum delay of a list read that is not at the regular interval.
pub const HELD_URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Prompts longer than this go only to engines that take long prompts.
pub const LONG_PROMPT: TokenCount = TokenCount::new(16_384);
/// Interval between two requests to the former owner for its ledger.
const HANDOVER_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two comparisons of the table with the view.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two updates of which engines take long prompts.
const RANKING_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum retry-after of a refused grant request.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Time after which a read counts as lost if the core has not reported its end.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of dead instances that are remembered.
const DEAD_INSTANCES_MAX: usize = 1024;

/// Input of [`OwnerTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An instance, which may be this one, requests a grant.
    GrantRequested {
        /// Entry instance of the request.
        from: InstanceId,
        /// Id that [`OwnerAction::Answer`] repeats.
        response_id: u64,
        /// Message of the entry instance.
        grant_request: GrantRequest,
    },
    /// An entry instance reported the use of a grant.
    Noticed(InstanceId, GrantNotice),
    /// A read of an engine's load ended; `None` if it failed.
    LoadRead(UpstreamId, Option<LoadReport>),
    /// A read of an engine's list of held requests ended; `None` if it failed.
    HeldRead(UpstreamId, Option<HeldReport>),
    /// An instance is dead or has restarted with a new incarnation. In the
    /// second case [`OwnerEvent::MemberRecovered`] follows.
    MemberDead(InstanceId),
    /// An instance that was dead is alive.
    MemberRecovered(InstanceId),
    /// The new owner of an engine requests its ledger.
    HandoverRequested {
        /// New owner.
        from: InstanceId,
        /// Id that [`OwnerAction::AnswerHandover`] repeats.
        response_id: u64,
        /// Engine whose ledger is requested.
        engine: UpstreamId,
    },
    /// The former owner of an engine answered; `None` if it has no ledger to
    /// hand over.
    HandoverReceived(UpstreamId, Option<HandoverResponse>),
    /// A request for this model with this prompt length arrived at this
    /// instance. Used to estimate the demand of long prompts.
    Arrived(ModelName, TokenCount),
}

/// Output of [`OwnerTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answer a grant request.
    Answer {
        /// Entry instance of the request.
        to: InstanceId,
        /// Id from [`OwnerEvent::GrantRequested`].
        response_id: u64,
        /// Grant, refusal or name of the owner.
        answer: GrantResponse,
    },
    /// Request the ledger of an engine from its former owner.
    RequestHandover(UpstreamId),
    /// Answer an [`OwnerEvent::HandoverRequested`].
    AnswerHandover {
        /// Id from [`OwnerEvent::HandoverRequested`].
        response_id: u64,
        /// Ledger of the engine; `None` if this instance has no complete one.
        answer: Option<HandoverResponse>,
    },
    /// Read the load of an engine.
    ReadLoad(UpstreamId),
    /// Read an engine's list of held requests.
    ReadHeld(UpstreamId),
    /// Cancel a request at an engine.
    CancelAtEngine(UpstreamId, RequestId),
}

/// Phase of the takeover of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverState {
    /// Waits until unused grants of the former owner have expired.
    HoldDown,
    /// Waits for the engine's list of held requests, to complete the ledger.
    Reconciling,
    /// Grants from the whole memory.
    Serving,
}

/// The engines that this instance owns, and those that it owned recently.
#[derive(Debug, Default)]
pub struct OwnerTable {
    engines: BTreeMap<UpstreamId, OwnedEngine>,
    former_engines: BTreeMap<UpstreamId, FormerEngine>,
    first_tick_at: Option<Timestamp>,
    dead_instances: BTreeSet<InstanceId>,
    sync_due: Timestamp,
    long_prompt_share: LongPromptShare,
    ranking_due: Timestamp,
}

impl OwnerTable {
    /// A table without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one event.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: OwnerEvent,
        view: &FleetView,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        match event {
            OwnerEvent::GrantRequested {
                from,
                response_id,
                grant_request,
            } => {
                self.handle_grant_request(
                    now,
                    from,
                    response_id,
                    grant_request,
                    view,
                    &mut actions,
                );
            }
            OwnerEvent::Noticed(from, notice) => {
                self.handle_notice(now, &from, &notice, view);
            }
            OwnerEvent::LoadRead(engine, report) => {
                self.apply_load(now, &engine, report);
            }
            OwnerEvent::HeldRead(engine, report) => {
                self.apply_held_list(now, &engine, report, &mut actions);
            }
            OwnerEvent::MemberDead(instance) => {
                for owned in self.engines.values_mut() {
                    owned.ledger.member_dead(now, &instance);
                    owned.queue.remove_entry_instance(&instance);
                }
                if self.dead_instances.len() >= DEAD_INSTANCES_MAX {
                    self.dead_instances.pop_first();
                }
                self.dead_instances.insert(instance);
            }
            OwnerEvent::MemberRecovered(instance) => {
                self.dead_instances.remove(&instance);
            }
            OwnerEvent::HandoverRequested {
                from,
                response_id,
                engine,
            } => {
                let answer = self.hand_over(now, from, &engine, &mut actions);
                actions.push(OwnerAction::AnswerHandover {
                    response_id,
                    answer,
                });
            }
            OwnerEvent::HandoverReceived(engine, answer) => {
                self.apply_handover(now, &engine, answer);
            }
            OwnerEvent::Arrived(model, prompt) => {
                self.long_prompt_share.observe(now, &model, prompt);
            }
        }
        self.run_timers(now, &mut actions);
        actions
    }

    /// Runs the timers that are due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        self.first_tick_at.get_or_insert(now);
        if now >= self.sync_due {
            self.sync_due = now.after(SYNC_INTERVAL);
            self.sync_engines(now, view, &mut actions);
        }
        if now >= self.ranking_due {
            self.ranking_due = now.after(RANKING_INTERVAL);
            self.update_long_prompt_engines(view);
        }
        self.run_timers(now, &mut actions);
        actions
    }

    /// When [`Self::tick`] must be called even without events.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let mut due = self.sync_due;
        for owned in self.engines.values() {
            let reads = [
                (owned.load_read_due, owned.load_requested_at),
                (owned.held_read_due, owned.held_requested_at),
            ];
            for (at, asked) in reads {
                due = due.min(asked.map_or(at, |at| at.after(READ_TIMEOUT)));
            }
            let timers = [owned.ledger.next_timer(), owned.queue.next_timer()];
            due = timers.into_iter().flatten().fold(due, Timestamp::min);
        }
        Some(due)
    }

    /// Resets the cold-start limit of an engine that has loaded a model.
    pub fn reset_cold(&mut self, engine: &UpstreamId) {
        if let Some(owned) = self.engines.get_mut(engine) {
            owned.cold_limit.reset();
        }
    }

    /// Adds engines that this instance now owns and retires the others.
    fn sync_engines(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<OwnerAction>,
    ) {
        for (engine, owned) in &mut self.engines {
            if view.may_act_as_owner && view.owns(engine) {
                continue;
            }
            owned.suspend(now);
            let owner = view.owners.get(engine);
            actions.extend(owned.queue.drain().into_iter().map(|queued| {
                let answer = GrantResponse::NotOwner(owner.cloned());
                answer_action(queued.from, queued.response_id, answer)
            }));
        }
        self.retire_lost_engines(now, view);
        for (engine, owner) in view.owners {
            if owner == view.local_instance && !self.is_handed_over(engine) {
                self.owned_engine(now, engine, view);
            }
        }
    }

    /// Decides which of the owned engines take long prompts.
    fn update_long_prompt_engines(&mut self, view: &FleetView) {
        let report = |engine: &UpstreamId| {
            let entry = view.upstreams.get(engine)?;
            Some((&entry.domain, entry.capability.as_deref()?))
        };
        let models: BTreeSet<&ModelName> = self
            .engines
            .keys()
            .filter_map(report)
            .flat_map(|(_, report)| &report.models)
            .collect();
        let ranking = LongPromptRanking::new(models.into_iter(), view);
        for (engine, owned) in &mut self.engines {
            let Some((domain, report)) = report(engine) else {
                continue;
            };
            let share = &self.long_prompt_share;
            let taking = owned.takes_long;
            owned.takes_long = report.models.iter().any(|model| {
                ranking.takes_long(share, model, domain, engine, taking)
            });
        }
    }

    fn owned_engine(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        view: &FleetView,
    ) -> &mut OwnedEngine {
        if !self.engines.contains_key(engine) {
            self.ranking_due = now;
            let alone = view.live_instances <= 1;
            let wait = if alone { HOLD_DOWN } else { HOLD_DOWN_SHARED };
            self.engines
                .insert(engine.clone(), OwnedEngine::new(now, wait));
        }
        let owned = self.engines.get_mut(engine).expect("inserted above");
        let entry = view.upstreams.get(engine);
        if let Some(report) = entry.and_then(|entry| entry.capability.as_ref())
        {
            owned.apply_capability(now, report);
        }
        let accepts_work = view.accepts_work(engine);
        if accepts_work && !owned.accepts_work {
            owned.cold_limit.reset();
        }
        owned.accepts_work = accepts_work;
        owned.leaving = entry.is_some_and(|entry| entry.leaving);
        owned
    }

    fn handle_grant_request(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        response_id: u64,
        grant_request: GrantRequest,
        view: &FleetView,
        actions: &mut Vec<OwnerAction>,
    ) {
        if !view.may_act_as_owner || !view.owns(&grant_request.engine) {
            let owner = view.owners.get(&grant_request.engine).cloned();
            let answer = GrantResponse::NotOwner(owner);
            return actions.push(answer_action(from, response_id, answer));
        }
        if let Some(owner) = self.handed_over_to(&grant_request.engine) {
            let answer = GrantResponse::NotOwner(Some(owner.clone()));
            return actions.push(answer_action(from, response_id, answer));
        }
        let owned = self.owned_engine(now, &grant_request.engine, view);
        if let Some(superseded_request) =
            owned.queue.remove(&grant_request.request)
        {
            let answer = refusal_response(
                now,
                owned,
                &grant_request.engine,
                superseded(),
            );
            actions.push(answer_action(
                superseded_request.from,
                superseded_request.response_id,
                answer,
            ));
        }
        // Queued requests come first, or later requests would starve them.
        let checked = match check_grant(now, owned, &grant_request) {
            Ok(()) if !owned.queue.is_empty() => {
                Err(GrantObstacle::NoRoomNow(queue_not_empty()))
            }
            checked => checked,
        };
        let engine = grant_request.engine.clone();
        let answer = match checked {
            Ok(()) => {
                let grant = issue_grant(
                    now,
                    owned,
                    &from,
                    &grant_request,
                    Duration::ZERO,
                );
                GrantResponse::Granted(grant)
            }
            Err(GrantObstacle::NoRoomNow(_)) if grant_request.may_queue => {
                let to = from.clone();
                match enqueue(now, owned, from, response_id, grant_request) {
                    Ok(()) => return,
                    Err(refusal) => {
                        let answer =
                            refusal_response(now, owned, &engine, refusal);
                        return actions.push(answer_action(
                            to,
                            response_id,
                            answer,
                        ));
                    }
                }
            }
            Err(
                GrantObstacle::NoRoomNow(refusal)
                | GrantObstacle::Rejected(refusal),
            ) => refusal_response(now, owned, &engine, refusal),
        };
        actions.push(answer_action(from, response_id, answer));
    }

    fn handle_notice(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        notice: &GrantNotice,
        view: &FleetView,
    ) {
        if !view.owns(&notice.engine) || self.is_handed_over(&notice.engine) {
            return;
        }
        let owned = self.owned_engine(now, &notice.engine, view);
        owned.ledger.notice(now, from, notice);
        owned.record_outcome(now, notice);
        owned.update_busy(now);
    }

    fn apply_load(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        report: Option<LoadReport>,
    ) {
        let Some(owned) = self.engines.get_mut(engine) else {
            return;
        };
        owned.load_requested_at = None;
        let Some(report) = report else {
            return;
        };
        let current = owned.ledger.incarnation();
        if current.is_some_and(|current| current > report.incarnation) {
            return;
        }
        if owned.ledger.set_incarnation(now, report.incarnation) {
            owned.restarted();
        }
        owned
            .cold_limit
            .apply_reported_rate(report.prefill_rate, owned.warm_rate);
        if let Some(cost) = &mut owned.cost {
            cost.apply_load_report(now, &report);
        }
        let age = report.age_ms.saturating_mul(1000);
        let measured_at = now.get().saturating_sub(age);
        let measured_at = Timestamp::new(measured_at);
        owned.load_measured_at = owned.load_measured_at.max(Some(measured_at));
    }

    fn apply_held_list(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        report: Option<HeldReport>,
        actions: &mut Vec<OwnerAction>,
    ) {
        let Some(owned) = self.engines.get_mut(engine) else {
            return;
        };
        let Some(asked_at) = owned.held_requested_at.take() else {
            return;
        };
        let Some(report) = report else {
            owned.held_read_due = now.after(HELD_URGENT_INTERVAL);
            return;
        };
        let ledger = &mut owned.ledger;
        let change =
            ledger.reconcile(now, asked_at, &report, &self.dead_instances);
        if change.restarted {
            owned.restarted();
        }
        if owned.takeover_state == TakeoverState::Reconciling {
            owned.takeover_state = TakeoverState::Serving;
            owned.cold_limit.raise_to_cover(report.requests.len());
            owned.ledger.set_complete(true);
        }
        owned.held_read_urgent = owned.ledger.needs_list();
        let reservations = &owned.ledger;
        owned
            .forecasts
            .retain(|request, _| reservations.reservation(request).is_some());
        owned.update_busy(now);
        let engine = engine.clone();
        actions.extend(change.cancel.into_iter().map(|request| {
            OwnerAction::CancelAtEngine(engine.clone(), request)
        }));
    }

    /// Runs the timers of all engines.
    fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<OwnerAction>) {
        for (engine, owned) in &mut self.engines {
            for request in owned.ledger.tick(now) {
                let cancel =
                    OwnerAction::CancelAtEngine(engine.clone(), request);
                actions.push(cancel);
                owned.held_read_urgent = true;
            }
            owned.held_read_urgent |= owned.ledger.needs_list();
            if owned.takeover_state == TakeoverState::HoldDown
                && now >= owned.handover_request_due
            {
                owned.handover_request_due =
                    now.after(HANDOVER_REQUEST_INTERVAL);
                actions.push(OwnerAction::RequestHandover(engine.clone()));
            }
            if owned.takeover_state == TakeoverState::HoldDown
                && now >= owned.hold_down_until
            {
                owned.takeover_state = TakeoverState::Reconciling;
                owned.held_read_due = now;
            }
            if poll_due(now, owned.load_read_due, owned.load_requested_at) {
                owned.load_read_due = now.after(LOAD_INTERVAL);
                owned.load_requested_at = Some(now);
                actions.push(OwnerAction::ReadLoad(engine.clone()));
            }
            poll_held_list(now, engine, owned, actions);
            serve_queue(now, engine, owned, actions);
        }
    }
}

fn answer_action(
    to: InstanceId,
    response_id: u64,
    answer: GrantResponse,
) -> OwnerAction {
    OwnerAction::Answer {
        to,
        response_id,
        answer,
    }
}

fn refusal_response(
    now: Timestamp,
    owned: &OwnedEngine,
    engine: &UpstreamId,
    refusal: Refusal,
) -> GrantResponse {
    let summary = Some(owned.summary(now, engine));
    GrantResponse::Refused(GrantRefusal { refusal, summary })
}

fn superseded() -> Refusal {
    let message = "superseded by a later grant request for the same request";
    Refusal::new(RefusalCode::NoCapacity, message)
}

fn queue_not_empty() -> Refusal {
    let message = "other requests are queued for the engine";
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(RETRY_AFTER_MIN)
}

/// Refuses queued requests that have expired and grants those that fit now.
fn serve_queue(
    now: Timestamp,
    engine: &UpstreamId,
    owned: &mut OwnedEngine,
    actions: &mut Vec<OwnerAction>,
) {
    for (queued, refusal) in owned.queue.expire(now) {
        let answer = refusal_response(now, owned, engine, refusal);
        actions.push(answer_action(queued.from, queued.response_id, answer));
    }
    while let Some(first) = owned.queue.first() {
        let grant_request = first.with_time_left(now);
        let checked = check_grant(now, owned, &grant_request);
        if matches!(checked, Err(GrantObstacle::NoRoomNow(_))) {
            return;
        }
        let queued = owned.queue.pop().expect("the queue has a first request");
        let answer = match checked {
            Ok(()) => {
                let waited = now.since(queued.queued_at);
                let grant = issue_grant(
                    now,
                    owned,
                    &queued.from,
                    &grant_request,
                    waited,
                );
                GrantResponse::Granted(grant)
            }
            Err(
                GrantObstacle::NoRoomNow(refusal)
                | GrantObstacle::Rejected(refusal),
            ) => refusal_response(now, owned, engine, refusal),
        };
        actions.push(answer_action(queued.from, queued.response_id, answer));
    }
}

fn poll_due(now: Timestamp, at: Timestamp, asked: Option<Timestamp>) -> bool {
    asked.map_or(now >= at, |asked| now.since(asked) >= READ_TIMEOUT)
}

/// Reads the list of held requests every 2 s, and sooner if reservations wait
/// for it.
fn poll_held_list(
    now: Timestamp,
    engine: &UpstreamId,
    owned: &mut OwnedEngine,
    actions: &mut Vec<OwnerAction>,
) {
    if owned.held_read_urgent {
        owned.held_read_urgent = false;
        owned.held_read_due =
            owned.held_read_due.min(now.after(HELD_URGENT_INTERVAL));
    }
    let waiting = owned.takeover_state == TakeoverState::HoldDown;
    if !waiting && poll_due(now, owned.held_read_due, owned.held_requested_at) {
        owned.held_read_due = now.after(HELD_INTERVAL);
        owned.held_requested_at = Some(now);
        actions.push(OwnerAction::ReadHeld(engine.clone()));
    }
}
