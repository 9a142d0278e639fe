//! Handing an engine's account from its former owner to its new one.
//!
//! A former owner that answers has stopped granting, so that the new owner
//! need not wait until it would have. One that is dead, cut off or itself in
//! the middle of a takeover hands nothing over, and the new owner waits.

use std::time::Duration;

use super::{HOLD_DOWN, OwnerAction, OwnerTable, TakeoverState, answer_to};
use crate::{
    fleet_view::FleetView,
    ids::{InstanceId, UpstreamId},
    ledger::EngineLedger,
    peer_api::{GrantResponse, HandoverResponse},
    units::Timestamp,
};

/// Time for which a former owner can hand an account over, and for which it
/// does not take the engine back on an older view.
const FORMER_KEPT: Duration = Duration::from_secs(5);

/// Account of an engine that this instance owned until shortly before.
#[derive(Debug)]
pub(super) struct FormerRow {
    ledger: EngineLedger,
    cold_step: u32,
    serving: bool,
    lost_at: Timestamp,
    handed_to: Option<InstanceId>,
}

impl FormerRow {
    fn export(&self, now: Timestamp) -> Option<HandoverResponse> {
        self.serving.then(|| HandoverResponse {
            reservations: self.ledger.export(now),
            cold_step: self.cold_step,
        })
    }
}

impl OwnerTable {
    /// Moves the rows of engines that went to other instances aside.
    pub(super) fn keep_former(&mut self, now: Timestamp, view: &FleetView) {
        let lost = self.rows.keys().filter(|engine| !view.owns(engine));
        let lost: Vec<UpstreamId> = lost.cloned().collect();
        for engine in lost {
            self.move_aside(now, &engine, None);
        }
        self.former
            .retain(|_, former| now.since(former.lost_at) < FORMER_KEPT);
    }

    /// Instance that an engine was handed to.
    pub(super) fn handed_to(&self, engine: &UpstreamId) -> Option<&InstanceId> {
        self.former.get(engine)?.handed_to.as_ref()
    }

    /// Whether an engine was handed over shortly before.
    pub(super) fn is_handed(&self, engine: &UpstreamId) -> bool {
        self.handed_to(engine).is_some()
    }

    /// Hands an engine over. From here on this instance grants nothing on it.
    pub(super) fn hand_over(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        engine: &UpstreamId,
        actions: &mut Vec<OwnerAction>,
    ) -> Option<HandoverResponse> {
        let row = self.rows.get_mut(engine);
        let serving = row
            .as_ref()
            .is_some_and(|r| r.state == TakeoverState::Serving);
        if let Some(row) = row
            && serving
        {
            actions.extend(row.queue.drain().into_iter().map(|queued| {
                let answer = GrantResponse::NotOwner(Some(to.clone()));
                answer_to(queued.from, queued.reply, answer)
            }));
            self.move_aside(now, engine, Some(to.clone()));
        }
        let former = self.former.get_mut(engine)?;
        if self.rows.contains_key(engine) {
            // Two instances are in the middle of a takeover; neither has
            // anything to rely on.
            return None;
        }
        former.handed_to.get_or_insert_with(|| to.clone());
        if former.handed_to.as_ref() != Some(&to) {
            return None;
        }
        former.export(now)
    }

    /// Takes over the account of the former owner.
    pub(super) fn taken_over(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        answer: Option<HandoverResponse>,
    ) {
        let Some(answer) = answer else { return };
        // An earlier process of this instance may have granted until its end.
        let earliest = self.started.unwrap_or(now).after(HOLD_DOWN);
        let Some(row) = self.rows.get_mut(engine) else {
            return;
        };
        if row.state != TakeoverState::Waiting {
            return;
        }
        for hold in answer.reservations {
            row.ledger.import(now, hold);
        }
        row.cold.continue_from(answer.cold_step);
        row.hold_down_until = row.hold_down_until.min(earliest.max(now));
        // The account was handed over once; asking again would find nothing.
        row.take_due = row.hold_down_until;
    }

    fn move_aside(
        &mut self,
        now: Timestamp,
        engine: &UpstreamId,
        handed_to: Option<InstanceId>,
    ) {
        if let Some(row) = self.rows.remove(engine) {
            let former = FormerRow {
                cold_step: row.cold.step(),
                serving: row.state == TakeoverState::Serving,
                ledger: row.ledger,
                lost_at: now,
                handed_to,
            };
            self.former.insert(engine.clone(), former);
        }
    }
}
