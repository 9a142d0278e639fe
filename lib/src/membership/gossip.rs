//! Gossip: which updates to send and how to take those that come in.

use std::cmp::Ordering;

use super::{
    JOIN_TIME, LocalStatus, MemberAction, MemberEntry, MemberTable,
    SUMMARIES_MAX, UPDATES_MAX,
};
use crate::{
    ids::InstanceId,
    peer_api::{
        CapabilityUpdate, EngineSummary, Gossip, MemberState, MemberUpdate,
    },
    units::{Incarnation, Timestamp},
};

/// Updates sent to a member that has had time to learn of the others, unless
/// there is news. Keeps the traffic of a quiet fleet low.
const UPDATES_STEADY_MAX: usize = 3;
/// An update is news until it was sent this often per doubling of the members.
const SENDS_PER_DOUBLING: u32 = 4;

impl MemberTable {
    /// Builds the gossip for a member. The first update is the sender's own.
    pub(super) fn build_gossip(
        &mut self,
        now: Timestamp,
        to: Option<&InstanceId>,
    ) -> Gossip {
        let LocalStatus {
            applied,
            confirmed_at,
            log_reached,
            ..
        } = self.local_status;
        Gossip {
            applied,
            confirmed_age: confirmed_at.map(|at| now.since(at)),
            log_reached,
            updates: self.choose_updates(now, to),
            engines: self.choose_engines(),
            capabilities: self.choose_facts(),
        }
    }

    fn choose_updates(
        &mut self,
        now: Timestamp,
        to: Option<&InstanceId>,
    ) -> Vec<MemberUpdate> {
        self.local_sends = self.local_sends.saturating_add(1);
        let mut updates = vec![self.local.clone()];
        // A member must hear of its own suspicion or death to refute it.
        let disputed = to.and_then(|id| self.members.get(id));
        let disputed = disputed.filter(|entry| needs_refutation(entry));
        updates.extend(disputed.map(|entry| entry.update.clone()));
        let joining = |since: Timestamp| now.since(since) < JOIN_TIME;
        let new = to.is_none_or(|id| {
            self.members.get(id).is_none_or(|e| joining(e.added_at))
        });
        let new = new || self.started_at.is_none_or(joining);
        let news = SENDS_PER_DOUBLING * (self.members.len() + 2).ilog2();
        let mut rest: Vec<_> = self
            .members
            .iter_mut()
            .filter(|(id, entry)| Some(*id) != to || !needs_refutation(entry))
            .map(|(_, entry)| entry)
            .collect();
        rest.sort_by_key(|entry| entry.sends);
        for entry in rest {
            let quiet = entry.sends >= news && !new;
            let limit = if quiet {
                UPDATES_STEADY_MAX
            } else {
                UPDATES_MAX
            };
            if updates.len() >= limit {
                break;
            }
            entry.sends = entry.sends.saturating_add(1);
            updates.push(entry.update.clone());
        }
        updates
    }

    fn choose_facts(&mut self) -> Vec<CapabilityUpdate> {
        let live_instances = self.live_count();
        self.engine_facts.pick(live_instances)
    }

    fn choose_engines(&mut self) -> Vec<EngineSummary> {
        let engines = &self.local_status.engines;
        let count = engines.len().min(SUMMARIES_MAX);
        let start = self.engine_cursor;
        self.engine_cursor = start.wrapping_add(count);
        let index = |step| start.wrapping_add(step) % engines.len();
        (0..count)
            .map(|step| engines[index(step)].clone())
            .collect()
    }

    /// Takes gossip in, whether it came as a question or as an answer.
    pub(super) fn merge_gossip(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        asked_at: Option<Timestamp>,
        gossip: Gossip,
        actions: &mut Vec<MemberAction>,
    ) {
        for update in gossip.updates.iter().take(UPDATES_MAX + 1) {
            self.merge_update(now, update.clone(), actions);
        }
        actions.push(MemberAction::GossipReceived {
            peer: from.clone(),
            asked_at,
            gossip,
        });
    }

    fn merge_update(
        &mut self,
        now: Timestamp,
        update: MemberUpdate,
        actions: &mut Vec<MemberAction>,
    ) {
        if update.instance == self.local.instance {
            self.refute(&update);
            return;
        }
        let Some(entry) = self.members.get_mut(&update.instance) else {
            // A dead member that is not known was removed here or never seen.
            if update.state != MemberState::Dead {
                self.add_member(now, update, actions);
            }
            return;
        };
        match precedence(&update, &entry.update) {
            // Sent again soon, so that a member whose clock went back before
            // a restart learns that its incarnation is too low.
            Ordering::Less => {
                if update.incarnation < entry.update.incarnation {
                    entry.sends = 0;
                }
            }
            Ordering::Equal => {
                if update.applied > entry.update.applied {
                    entry.update.applied = update.applied;
                    entry.sends = 0;
                }
            }
            Ordering::Greater => {
                let same = update.incarnation == entry.update.incarnation;
                let applied = entry.update.applied.filter(|_| same);
                let applied = applied.max(update.applied);
                let changed = entry.update.state != update.state;
                let was_present = entry.is_present();
                entry.left = update.state == MemberState::Leaving
                    || (entry.left && same);
                entry.update = MemberUpdate { applied, ..update };
                entry.sends = 0;
                if changed {
                    entry.since = now;
                    if !was_present {
                        entry.added_at = now;
                    }
                }
                self.version += 1;
                if changed {
                    let update = &entry.update;
                    let id = update.instance.clone();
                    actions.push(MemberAction::StateChanged(id, update.state));
                }
            }
        }
    }

    fn add_member(
        &mut self,
        now: Timestamp,
        update: MemberUpdate,
        actions: &mut Vec<MemberAction>,
    ) {
        let id = update.instance.clone();
        actions.push(MemberAction::StateChanged(id.clone(), update.state));
        let entry = MemberEntry {
            left: update.state == MemberState::Leaving,
            update,
            since: now,
            added_at: now,
            sends: 0,
        };
        self.members.insert(id, entry);
        self.version += 1;
    }

    /// Raises the own incarnation above one for which others hold a worse
    /// state or that a predecessor of this process has used.
    fn refute(&mut self, update: &MemberUpdate) {
        let disputed = update.state >= MemberState::Suspect
            && update.incarnation == self.local.incarnation;
        if update.incarnation > self.local.incarnation || disputed {
            let next = Incarnation::new(1);
            self.local.incarnation = update.incarnation.saturating_add(next);
            self.local_sends = 0;
        }
    }

    /// Sets the state of another member on this instance's own evidence.
    pub(super) fn set_state(
        &mut self,
        now: Timestamp,
        id: &InstanceId,
        state: MemberState,
        actions: &mut Vec<MemberAction>,
    ) {
        if let Some(entry) = self.members.get(id) {
            let update = MemberUpdate {
                state,
                ..entry.update.clone()
            };
            self.merge_update(now, update, actions);
        }
    }
}

fn needs_refutation(entry: &MemberEntry) -> bool {
    entry.update.state >= MemberState::Suspect
}

/// Which of two updates on a member is the later one.
fn precedence(left: &MemberUpdate, right: &MemberUpdate) -> Ordering {
    let key = |update: &MemberUpdate| (update.incarnation, update.state);
    key(left).cmp(&key(right))
}
