//! Orders to engines: which models and which role each of them carries.
//!
//! Runs at each engine's owner. The table compares what the configuration
//! wants with what the engine says it has, and works the difference off one
//! order at a time under a lease in the `config` stream. An order is only sent
//! while the lease is held in the newest applied state and the evidence for
//! both the configuration and the ownership is fresh. Which engines change at
//! once follows from the shared view alone (`plan`), so that owners need no
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
    freshness::EVIDENCE_LIFETIME,
    ids::{ModelName, RequestId, UpstreamId},
    platform_api::AppendResponse,
    refusal::RunState,
    units::{Incarnation, LogOffset, Timestamp},
};

/// Time in which the shell ends an order after it began to send it.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an earlier holder may still change an engine that ignores
/// fencing tokens: its evidence of the lease, then its last order under way.
pub const TAKEOVER_WAIT: Duration =
    EVIDENCE_LIFETIME.saturating_add(SEND_TIMEOUT);
/// Loads at once over the whole fleet where the configuration states none.
pub const DEFAULT_CONCURRENT_LOADS: u32 = 4;
/// Interval between two comparisons of the wanted with the present state.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// First pause after an order that had no effect.
const BACKOFF_FIRST: Duration = Duration::from_secs(1);
/// Longest pause after an order that had no effect.
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Time in which a claim with a lost answer is found in the stream; the append
/// itself times out after 2 s.
const CLAIM_LOST: Duration = Duration::from_secs(5);

/// Input of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOrderEvent {
    /// A reading of an engine's capabilities begins.
    ReadStarted(UpstreamId),
    /// A reading of an engine's capabilities ended.
    ReadEnded(UpstreamId, Option<CapabilityReport>),
    /// An engine answered an order, or did not.
    SendCompleted(UpstreamId, Result<(), CallFailure>),
    /// A claim of a lease was appended, or not, or that is not known.
    LeaseClaimAppended(UpstreamId, Result<AppendResponse, CallFailure>),
}

/// Output of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineOrderAction {
    /// Append a claim of an engine's lease to the `config` stream.
    ClaimLease(UpstreamId, FleetRecord),
    /// Read an engine's capabilities soon.
    ReadCapabilities(UpstreamId),
    /// Give an order to an engine; it must not be sent later than this.
    SendOrder(UpstreamId, EngineOrder, Timestamp),
    /// An engine has loaded a model and is cold.
    ModelLoaded(UpstreamId, ModelName),
    /// An order had no effect, and why.
    OrderFailed(UpstreamId, Arc<str>),
}

/// Orders to the engines that this instance owns.
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
    /// A table of an instance with an incarnation.
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

    /// Sets when the log last said that the applied configuration is newest.
    pub fn set_confirmed(&mut self, confirmed_at: Option<Timestamp>) {
        self.confirmed_at = confirmed_at;
    }

    /// Takes one event in.
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
                self.ordered(now, &engine, result, &mut actions);
            }
            EngineOrderEvent::LeaseClaimAppended(engine, result) => {
                self.claimed(now, &engine, result);
            }
        }
        if !self.engines.is_empty() {
            self.run(now, view, &mut actions);
        }
        actions
    }

    /// Does what is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) -> Vec<EngineOrderAction> {
        let mut actions = Vec::new();
        if now >= self.plan_due {
            self.run(now, view, &mut actions);
        }
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        Some(self.plan_due)
    }

    /// Engines that are to unload a model once running requests have ended.
    pub fn engines_pending_unload(&self) -> Vec<UpstreamId> {
        let engines = self.engines.iter();
        let pending_unload =
            engines.filter(|(_, state)| state.pending_unload.is_some());
        pending_unload.map(|(engine, _)| engine.clone()).collect()
    }

    /// Whether an engine takes no new requests for a model, as it is about to
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

    /// Sets the requests that run on an engine.
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

    /// Plans anew and moves each state on, so that no order follows from an
    /// older view.
    fn run(
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
                self.failed(now, engine, reason, actions);
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

    /// Whether the log confirmed the applied state recently. Peers that
    /// report an outage of the log are not enough, as a new holder may have
    /// claimed the lease on their other side.
    fn is_confirmed(&self, now: Timestamp, view: &FleetView) -> bool {
        let at = self.confirmed_at;
        view.configuration_fresh
            && at.is_some_and(|at| now.since(at) < EVIDENCE_LIFETIME)
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
            // Another claim came first.
            state.claim_until = None;
            state.claim_offset = None;
            state.retry_at = now.after(pause);
            return;
        }
        if state.claim_until.is_some_and(|until| now < until) {
            return;
        }
        state.claim_until = Some(now.after(CLAIM_LOST));
        state.claim_offset = None;
        let own = view.local_instance.clone();
        let incarnation = self.incarnation;
        let record = view.fleet.lease_claim(engine.clone(), own, incarnation);
        actions.push(EngineOrderAction::ClaimLease(engine.clone(), record));
    }

    fn claimed(
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
            // The stream shows whether the claim is in it.
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
        let until = confirmed_at.after(EVIDENCE_LIFETIME);
        actions.push(EngineOrderAction::SendOrder(
            engine.clone(),
            order,
            until,
        ));
    }

    /// Whether this instance's share and the rate allow a load to begin.
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

    fn ordered(
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
                self.failed(now, engine, failure.message, actions);
            }
            // An order without an answer is settled by reading the state.
            Ok(()) | Err(_) => state.answered(now),
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
            let reason = "the engine does not carry the order out";
            self.failed(now, engine, reason.into(), actions);
        }
    }

    fn failed(
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
            state.failed(now.after(pause));
            actions
                .push(EngineOrderAction::OrderFailed(engine.clone(), reason));
        }
    }

    /// Half to all of a pause that doubles with each failure.
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
