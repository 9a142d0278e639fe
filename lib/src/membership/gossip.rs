//! Gossip: which updates a message carries, and how received ones are merged.

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

/// Number of updates up to which a message is filled with ones that are not
/// recent, if sender and receiver were members for [`JOIN_TIME`]. Keeps the
/// traffic of a fleet without changes low.
const UPDATES_STEADY_MAX: usize = 3;
/// An update is recent until it was sent this many times the binary logarithm
/// of the number of members.
const SENDS_PER_DOUBLING: u32 = 4;

impl MemberTable {
    /// Builds the gossip for a message to a member. The first update is on
    /// this instance, by which the receiver identifies the sender.
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
            engines: self.choose_summaries(),
            capabilities: self.choose_capabilities(),
        }
    }

    fn choose_updates(
        &mut self,
        now: Timestamp,
        to: Option<&InstanceId>,
    ) -> Vec<MemberUpdate> {
        self.local_sends = self.local_sends.saturating_add(1);
        let mut updates = vec![self.local.clone()];
        // A member that is suspected or declared dead can refute it only if
        // it receives the update.
        let disputed = to.and_then(|id| self.members.get(id));
        let disputed = disputed.filter(|entry| needs_refutation(entry));
        updates.extend(disputed.map(|entry| entry.update.clone()));
        let is_joining = |since: Timestamp| now.since(since) < JOIN_TIME;
        let new = to.is_none_or(|id| {
            self.members.get(id).is_none_or(|e| is_joining(e.added_at))
        });
        let new = new || self.started_at.is_none_or(is_joining);
        let recent_sends =
            SENDS_PER_DOUBLING * (self.members.len() + 2).ilog2();
        let mut rest: Vec<_> = self
            .members
            .iter_mut()
            .filter(|(id, entry)| Some(*id) != to || !needs_refutation(entry))
            .map(|(_, entry)| entry)
            .collect();
        rest.sort_by_key(|entry| entry.sends);
        for entry in rest {
            let quiet = entry.sends >= recent_sends && !new;
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

    fn choose_capabilities(&mut self) -> Vec<CapabilityUpdate> {
        let live_instances = self.live_count();
        self.capabilities.next_updates(live_instances)
    }

    fn choose_summaries(&mut self) -> Vec<EngineSummary> {
        let engines = &self.local_status.engines;
        let count = engines.len().min(SUMMARIES_MAX);
        let start = self.summary_cursor;
        self.summary_cursor = start.wrapping_add(count);
        let index = |step| start.wrapping_add(step) % engines.len();
        (0..count)
            .map(|step| engines[index(step)].clone())
            .collect()
    }

    /// Merges the member updates of received gossip and passes the gossip on.
    /// `request_sent_at` is `None` if it came in a request.
    pub(super) fn merge_gossip(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        request_sent_at: Option<Timestamp>,
        gossip: Gossip,
        actions: &mut Vec<MemberAction>,
    ) {
        for update in gossip.updates.iter().take(UPDATES_MAX + 1) {
            self.merge_update(now, update.clone(), actions);
        }
        actions.push(MemberAction::GossipReceived {
            peer: from.clone(),
            request_sent_at,
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
            // A dead member without an entry was removed here or never added.
            if update.state != MemberState::Dead {
                self.add_member(now, update, actions);
            }
            return;
        };
        match precedence(&update, &entry.update) {
            // Incarnations come from the clock at the start. A member whose
            // clock was set back before a restart has too low a one, and must
            // receive the entry soon to raise it.
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

    /// Raises the incarnation of this instance above that of an update which
    /// declares it suspected or dead, or which an earlier process with the
    /// same id sent.
    fn refute(&mut self, update: &MemberUpdate) {
        let disputed = update.state >= MemberState::Suspect
            && update.incarnation == self.local.incarnation;
        if update.incarnation > self.local.incarnation || disputed {
            let next = Incarnation::new(1);
            self.local.incarnation = update.incarnation.saturating_add(next);
            self.local_sends = 0;
        }
    }

    /// Sets the state of another member as the result of local probes.
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

/// Order of two updates on a member: by incarnation, then by state. The
/// greater one replaces the other.
fn precedence(left: &MemberUpdate, right: &MemberUpdate) -> Ordering {
    let key = |update: &MemberUpdate| (update.incarnation, update.state);
    key(left).cmp(&key(right))
}
