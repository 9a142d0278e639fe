//! Handover of an engine's ledger from its former owner to its new one.
//!
//! A former owner that answers has stopped granting, so the new owner need not
//! wait for the full hold-down. A former owner that is dead, unreachable or
//! itself in the middle of a takeover hands nothing over, and the new owner
//! waits.

use std::time::Duration;

use super::{HOLD_DOWN, OwnerAction, OwnerTable, TakeoverState, answer_action};
use crate::{
    fleet_view::FleetView,
    ids::{InstanceId, UpstreamId},
    ledger::EngineLedger,
    peer_api::{GrantResponse, HandoverResponse},
    units::Timestamp,
};

/// How long a former owner keeps a ledger for a handover. During this time it
/// also does not take an engine back that it has handed over.
const FORMER_ENGINE_RETENTION: Duration = Duration::from_secs(5);

/// Ledger of an engine that this instance owned until recently.
#[derive(Debug)]
pub(super) struct FormerEngine {
    ledger: EngineLedger,
    cold_step: u32,
    ledger_complete: bool,
    lost_at: Timestamp,
    handed_over_to: Option<InstanceId>,
}

impl FormerEngine {
    fn export(&self, now: Timestamp) -> Option<HandoverResponse> {
        self.ledger_complete.then(|| HandoverResponse {
            reservations: self.ledger.export(now),
            cold_step: self.cold_step,
        })
    }
}

impl OwnerTable {
    /// Retires the engines that other instances own now.
    pub(super) fn retire_lost_engines(
        &mut self,
        now: Timestamp,
        view: &FleetView,
    ) {
        let lost = self.engines.keys().filter(|engine| !view.owns(engine));
        let lost: Vec<UpstreamId> = lost.cloned().collect();
        for engine in lost {
            self.retire(now, &engine, None);
        }
        self.former_engines.retain(|_, former| {
            now.since(former.lost_at) < FORMER_ENGINE_RETENTION
        });
    }

    /// Instance that an engine was handed over to within
    /// [`FORMER_ENGINE_RETENTION`].
    pub(super) fn handed_over_to(
        &self,
        engine: &UpstreamId,
    ) -> Option<&InstanceId> {
        self.former_engines.get(engine)?.handed_over_to.as_ref()
    }

    /// Whether an engine was handed over within [`FORMER_ENGINE_RETENTION`].
    pub(super) fn is_handed_over(&self, engine: &UpstreamId) -> bool {
        self.handed_over_to(engine).is_some()
    }

    /// Hands an engine over. This instance grants nothing on it afterwards.
    /// Returns `None` if there is no complete ledger, or if the engine was
    /// handed over to another instance.
    pub(super) fn hand_over(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        engine: &UpstreamId,
        actions: &mut Vec<OwnerAction>,
    ) -> Option<HandoverResponse> {
        let owned = self.engines.get_mut(engine);
        let serving = owned
            .as_ref()
            .is_some_and(|r| r.takeover_state == TakeoverState::Serving);
        if let Some(owned) = owned
            && serving
        {
            actions.extend(owned.queue.drain().into_iter().map(|queued| {
                let answer = GrantResponse::NotOwner(Some(to.clone()));
                answer_action(queued.from, queued.response_id, answer)
            }));
            self.retire(now, engine, Some(to.clone()));
        }
        let former = self.former_engines.get_mut(engine)?;
        if self.engines.contains_key(engine) {
            // Both instances are in the middle of a takeover, so neither has a
            // complete ledger.
            return None;
        }
        former.handed_over_to.get_or_insert_with(|| to.clone());
        if former.handed_over_to.as_ref() != Some(&to) {
            return None;
        }
        former.export(now)
    }

    /// Adds the reservations that the former owner handed over.
    pub(super) fn apply_handover(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        answer: Option<HandoverResponse>,
    ) {
        let Some(answer) = answer else { return };
        // An earlier process of this instance may have granted until it ended.
        let hold_down_min = self.first_tick_at.unwrap_or(now).after(HOLD_DOWN);
        let Some(owned) = self.engines.get_mut(engine) else {
            return;
        };
        if owned.takeover_state != TakeoverState::HoldDown {
            return;
        }
        for reservation in answer.reservations {
            owned.ledger.import(now, reservation);
        }
        owned.cold_limit.raise_to_step(answer.cold_step);
        owned.hold_down_until =
            owned.hold_down_until.min(hold_down_min.max(now));
        // A ledger is handed over once; a second request would return nothing.
        owned.handover_request_due = owned.hold_down_until;
    }

    fn retire(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        handed_over_to: Option<InstanceId>,
    ) {
        if let Some(owned) = self.engines.remove(engine) {
            let former = FormerEngine {
                cold_step: owned.cold_limit.step(),
                ledger_complete: owned.takeover_state == TakeoverState::Serving,
                ledger: owned.ledger,
                lost_at: now,
                handed_over_to,
            };
            self.former_engines.insert(engine.clone(), former);
        }
    }
}
