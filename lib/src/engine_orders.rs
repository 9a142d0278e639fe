//! Orders to engines to load and unload models and to change their role.
//!
//! Runs at the owner of each engine as a reconciler: [`EngineOrderTable`]
//! compares the models and role in the configuration (the desired state) with
//! the engine's capability report, and sends one order at a time until they
//! agree. An order is sent only under a lease in the `config` stream: the
//! newest applied state must show that this instance holds the lease, and it
//! must have fresh evidence that this state is the newest and that it is still
//! connected. How many engines change at once is bounded by a plan that each
//! owner computes from the shared view alone (`plan`), so that owners need no
//! coordinator. The core carries out the reads and orders and reports one
//! result for each.

mod engine_state;
mod plan;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::{
    engine_state::{EngineOrderState, NextStep},
    plan::{ChangePlan, ChangeSlots, ModelTargets},
};
use crate::{
    core::CallFailure,
    engine_api::{CapabilityReport, EngineAction, EngineOrder},
    fleet::{FleetRecord, WeightRate},
    fleet_view::FleetView,
    freshness::CONFIRMATION_MAX_AGE,
    ids::{ModelName, RequestId, UpstreamId},
    platform_api::AppendResponse,
    refusal::RunState,
    units::{Incarnation, LogOffset, Timestamp},
};

/// Time after which the sending of an order is aborted.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a former holder of the lease may still change an engine that
/// ignores fencing tokens: its evidence can stay fresh for
/// [`CONFIRMATION_MAX_AGE`], and an order sent at the end of that is in flight
/// for up to [`SEND_TIMEOUT`].
pub const TAKEOVER_WAIT: Duration =
    CONFIRMATION_MAX_AGE.saturating_add(SEND_TIMEOUT);
/// Maximum number of model loads at once over the whole fleet, if the
/// configuration sets none.
pub const DEFAULT_CONCURRENT_LOADS: u32 = 4;
/// Interval between two comparisons of the desired with the reported state.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an order that had no effect; doubled with each further one.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Upper bound of the pause after orders that had no effect.
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Time after which a claim that was not read back from the stream counts as
/// lost and is appended again. Exceeds the 2 s after which an append times
/// out.
const CLAIM_READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Input of the [`EngineOrderTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOrderEvent {
    /// A read of an engine's capabilities was sent.
    ReadStarted(UpstreamId),
    /// A read of an engine's capabilities ended; `None` if it failed.
    ReadEnded(UpstreamId, Option<CapabilityReport>),
    /// An engine accepted an order, or the sending failed. An order that
    /// failed may have had an effect unless the failure says `not_run`.
    SendCompleted(UpstreamId, Result<(), CallFailure>),
    /// A claim of a lease was appended, or the append failed. After a failure
    /// the log may hold the claim unless the failure says `not_run`.
    LeaseClaimAppended(UpstreamId, Result<AppendResponse, CallFailure>),
}

/// Output of the [`EngineOrderTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOrderAction {
    /// Append a claim of an engine's lease to the `config` stream.
    ClaimLease(UpstreamId, FleetRecord),
    /// Read an engine's capabilities soon.
    ReadCapabilities(UpstreamId),
    /// Send an order to an engine, unless the given time has passed.
    SendOrder(UpstreamId, EngineOrder, Timestamp),
    /// An engine has loaded a model as ordered and starts cold.
    ModelLoaded(UpstreamId, ModelName),
    /// An order had no effect and is repeated later. With the reason.
    OrderFailed(UpstreamId, Arc<str>),
}

/// State of the orders to the engines that this instance owns.
#[derive(Debug)]
pub struct EngineOrderTable {
    incarnation: Incarnation,
    rng: ChaCha8Rng,
    engines: BTreeMap<UpstreamId, EngineOrderState>,
    change_slots: ChangeSlots,
    targets: ModelTargets,
    confirmed_at: Option<Timestamp>,
    plan_due: Timestamp,
}

impl EngineOrderTable {
    /// A table for an instance with an incarnation, by which it recognizes
    /// its leases. `seed` is that of the random number generator.
    pub fn new(incarnation: Incarnation, seed: u64) -> Self {
        Self {
            incarnation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: BTreeMap::new(),
            change_slots: ChangeSlots::default(),
            targets: ModelTargets::default(),
            confirmed_at: None,
            plan_due: Timestamp::ZERO,
        }
    }

    /// Sets when the read was sent by which the log last confirmed that the
    /// applied configuration is the newest; `None` if it never did.
    pub fn set_confirmed(&mut self, confirmed_at: Option<Timestamp>) {
        self.confirmed_at = confirmed_at;
    }

    /// Processes an event and returns what to do.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: EngineOrderEvent,
        view: &FleetView,
    ) -> Vec<EngineOrderAction> {
        let mut actions = Vec::new();
        match event {
            EngineOrderEvent::ReadStarted(engine) => {
                if let Some(state) = self.engines.get_mut(&engine) {
                    state.read_started(now);
                }
                return actions;
            }
            EngineOrderEvent::ReadEnded(engine, report) => {
                self.read_ended(now, &engine, report, &mut actions);
            }
            EngineOrderEvent::SendCompleted(engine, result) => {
                self.send_completed(now, &engine, result, &mut actions);
            }
            EngineOrderEvent::LeaseClaimAppended(engine, result) => {
                self.lease_claim_appended(now, &engine, result);
            }
        }
        if !self.engines.is_empty() {
            self.reconcile(now, view, &mut actions);
        }
        actions
    }

    /// Compares the desired with the reported state, if that is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) -> Vec<EngineOrderAction> {
        let mut actions = Vec::new();
        if now >= self.plan_due {
            self.reconcile(now, view, &mut actions);
        }
        actions
    }

    /// When [`Self::tick`] must be called next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        Some(self.plan_due)
    }

    /// Engines with a model that will be unloaded once its requests have
    /// ended.
    pub fn engines_pending_unload(&self) -> Vec<UpstreamId> {
        let engines = self.engines.iter();
        let pending_unload =
            engines.filter(|(_, state)| state.pending_unload.is_some());
        pending_unload.map(|(engine, _)| engine.clone()).collect()
    }

    /// Whether an engine accepts no new requests for a model because it will
    /// unload it.
    pub fn is_unload_pending(
        &self,
        engine: &UpstreamId,
        model: &ModelName,
    ) -> bool {
        let state = self.engines.get(engine);
        state
            .and_then(|state| state.pending_unload.as_ref())
            .is_some_and(|pending_unload| pending_unload.model == *model)
    }

    /// Sets the requests that are running on an engine with a pending unload.
    pub fn set_running_requests(
        &mut self,
        engine: &UpstreamId,
        running: BTreeSet<RequestId>,
    ) {
        let state = self.engines.get_mut(engine);
        if let Some(pending_unload) =
            state.and_then(|state| state.pending_unload.as_mut())
        {
            pending_unload.set_running_requests(running);
        }
    }

    /// Computes a new plan and advances each owned engine by it. A plan is
    /// never kept, so that no order follows from an older view.
    fn reconcile(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        self.plan_due = now.after(PLAN_INTERVAL);
        self.targets.update(now, view.fleet);
        let plan = ChangePlan::new(view, &self.change_slots);
        self.change_slots.update(now, &plan, view);
        self.engines.retain(|engine, _| view.owns(engine));
        for engine in plan.steps.keys().filter(|engine| view.owns(engine)) {
            self.engines.entry(engine.clone()).or_default();
        }
        let engines: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for engine in engines {
            self.advance(now, &engine, &plan, view, actions);
        }
    }

    fn advance(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        plan: &ChangePlan,
        view: &FleetView,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        if state.sent.is_some() {
            if let Some(reason) = state.timeout_reason(now) {
                self.record_failure(now, engine, reason, actions);
            } else if state.take_due_poll(now) {
                actions
                    .push(EngineOrderAction::ReadCapabilities(engine.clone()));
            }
            return;
        }
        let Some(action) = plan.steps.get(engine) else {
            state.pending_unload = None;
            return;
        };
        if now < state.retry_at
            || !view.may_act_as_owner
            || !self.is_confirmed(now, view)
        {
            return;
        }
        let held = view.fleet.leases.get(engine).filter(|lease| {
            lease.holder == *view.local_instance
                && lease.incarnation == self.incarnation
        });
        let Some(token) = held.map(|lease| lease.token) else {
            return self.claim(now, engine, view, actions);
        };
        let ignores = plan::ignores_fencing(engine, view);
        let state = self
            .engines
            .get_mut(engine)
            .expect("engine was found above");
        match state.next_step(now, token, ignores) {
            NextStep::Wait => {}
            NextStep::Read => actions
                .push(EngineOrderAction::ReadCapabilities(engine.clone())),
            NextStep::Send => {
                let action = action.clone();
                self.send(now, engine, token, action, view, actions);
            }
        }
    }

    /// Whether the log confirmed the applied state within
    /// [`CONFIRMATION_MAX_AGE`]. The report of peers that the log is down is not
    /// enough, unlike for serving requests: another instance may reach the log
    /// and have claimed the lease.
    fn is_confirmed(&self, now: Timestamp, view: &FleetView) -> bool {
        let at = self.confirmed_at;
        view.configuration_fresh
            && at.is_some_and(|at| now.since(at) < CONFIRMATION_MAX_AGE)
    }

    fn claim(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        view: &FleetView,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        let pause = self.backoff(1);
        let state = self
            .engines
            .get_mut(engine)
            .expect("caller found the engine");
        if let Some(offset) = state.claim_offset
            && view.fleet.applied >= Some(offset)
        {
            // The claim was applied and is not the current lease: another
            // claim preceded it.
            state.claim_until = None;
            state.claim_offset = None;
            state.retry_at = now.after(pause);
            return;
        }
        if state.claim_until.is_some_and(|until| now < until) {
            return;
        }
        state.claim_until = Some(now.after(CLAIM_READ_BACK_TIMEOUT));
        state.claim_offset = None;
        let own = view.local_instance.clone();
        let incarnation = self.incarnation;
        let record = view.fleet.lease_claim(engine.clone(), own, incarnation);
        actions.push(EngineOrderAction::ClaimLease(engine.clone(), record));
    }

    fn lease_claim_appended(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        result: Result<AppendResponse, CallFailure>,
    ) {
        let pause = self.backoff(1);
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        match result {
            Ok(answer) => state.claim_offset = Some(answer.first_offset),
            Err(failure) if failure.run_state == RunState::NotRun => {
                state.claim_until = None;
                state.retry_at = now.after(pause);
            }
            // The log may hold the claim; reading the stream shows it.
            Err(_) => {}
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        token: LogOffset,
        action: EngineAction,
        view: &FleetView,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        let may_begin = match &action {
            EngineAction::LoadModel { .. } => self.may_load(now, engine, view),
            EngineAction::UnloadModel { model } => {
                let state = self.engines.get_mut(engine);
                let state = state.expect("caller found the engine");
                self.targets.is_stable(now, model)
                    && state.await_unload(now, model)
            }
            EngineAction::SetRole { .. } => true,
        };
        let Some(confirmed_at) = self.confirmed_at.filter(|_| may_begin) else {
            return;
        };
        let state = self
            .engines
            .get_mut(engine)
            .expect("caller found the engine");
        state.sent(now, action.clone());
        let order = EngineOrder {
            holder: view.local_instance.clone(),
            fencing_token: token,
            action,
        };
        let until = confirmed_at.after(CONFIRMATION_MAX_AGE);
        actions.push(EngineOrderAction::SendOrder(
            engine.clone(),
            order,
            until,
        ));
    }

    /// Whether a load may start: this instance stays within its share of the
    /// concurrent loads, and the engine's slot allows it.
    fn may_load(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
        view: &FleetView,
    ) -> bool {
        let rate = weight_rate(view);
        let share = rate.concurrent as usize / view.live_instances.max(1);
        let running = self.engines.values().filter(|state| state.is_loading());
        running.count() < share.max(1)
            && self.change_slots.may_load(now, engine)
    }

    fn send_completed(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        result: Result<(), CallFailure>,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        match result {
            Err(failure) if failure.run_state == RunState::NotRun => {
                state.require_new_read();
                self.record_failure(now, engine, failure.message, actions);
            }
            // Whether an order without a response took effect is decided by
            // reading the engine's state.
            Ok(()) | Err(_) => state.record_response(now),
        }
    }

    fn read_ended(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        report: Option<CapabilityReport>,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let begun = state.read_ended(report.is_some());
        let (Some(report), Some(begun)) = (report, begun) else {
            return;
        };
        if let Some(done) = state.settle(&report) {
            if let EngineAction::LoadModel { model } = done {
                actions.push(EngineOrderAction::ModelLoaded(
                    engine.clone(),
                    model,
                ));
            }
        } else if state.has_no_effect(begun, &report) {
            let reason = "the engine reports no effect of the order";
            self.record_failure(now, engine, reason.into(), actions);
        }
    }

    fn record_failure(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        reason: Arc<str>,
        actions: &mut Vec<EngineOrderAction>,
    ) {
        let failures =
            self.engines.get(engine).map_or(0, |state| state.failures);
        let pause = self.backoff(failures + 1);
        if let Some(state) = self.engines.get_mut(engine) {
            state.record_failure(now.after(pause));
            actions
                .push(EngineOrderAction::OrderFailed(engine.clone(), reason));
        }
    }

    /// Random pause of half to all of a time that doubles with each failure.
    fn backoff(&mut self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(6);
        let pause = BACKOFF_FIRST.saturating_mul(1 << doublings);
        pause
            .min(BACKOFF_MAX)
            .mul_f64(self.rng.random_range(0.5..=1.0))
    }
}

fn weight_rate(view: &FleetView) -> WeightRate {
    view.fleet.weight_rate.unwrap_or(WeightRate {
        loads_per_minute: None,
        concurrent: DEFAULT_CONCURRENT_LOADS,
    })
}
