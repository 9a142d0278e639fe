//! Probes of members, directly and through relays; suspicion and death; and
//! contacts to addresses at which no live member is known.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    DEAD_RETENTION, EVIDENCE_REFRESH, INDIRECT_PROBES, INDIRECT_TIMEOUT,
    MemberAction, MemberEntry, MemberTable, PERIOD_MIN, PROBE_TIMEOUT, ProbeId,
    SUSPICION_TIME,
};
use crate::{
    core::InboundCallId,
    ids::InstanceId,
    peer_api::{MemberState, PeerRequest, PeerResponse},
    units::Timestamp,
};

/// Maximum number of addresses without a known member that are contacted at
/// once. With gossip alone, 200 instances that started together needed over
/// 60 s until each had all others as members.
const UNKNOWN_CONTACTS_MAX: usize = 8;
/// Interval between two contacts to the same address without a known member.
const UNKNOWN_CONTACT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two contacts to the address of a randomly chosen dead
/// member.
const DEAD_CONTACT_INTERVAL: Duration = Duration::from_secs(2);

/// Purpose of a message, which decides how its response is used.
#[derive(Clone, Debug, PartialEq)]
enum CallPurpose {
    /// Probe of the current period's target.
    Direct,
    /// Request to a relay to probe the current period's target.
    Indirect,
    /// Probe as a relay for a peer, which waits for the response.
    Relayed(InboundCallId, InstanceId),
    /// Exchange of gossip only: contact to an unknown or dead address,
    /// notification of a suspect, or refresh of the evidence.
    Contact,
}

/// A message that waits for its response.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    purpose: CallPurpose,
    target: Option<InstanceId>,
    pub(super) due: Timestamp,
}

/// Target of the current period and whether it was shown to be alive.
#[derive(Clone, Debug)]
pub(super) struct CurrentProbe {
    target: InstanceId,
    answered: bool,
}

impl MemberTable {
    /// Ends the period. A target that responded neither to this instance nor
    /// to a relay becomes a suspect.
    pub(super) fn end_period(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(probe) =
            self.current_probe.take().filter(|probe| !probe.answered)
        else {
            return;
        };
        let suspect = MemberState::Suspect;
        self.set_state(now, &probe.target, suspect, actions);
        // Notify the suspect at once, so that it has the whole suspicion time
        // to refute.
        if let Some(to) = self.peer_address(&probe.target) {
            let target = Some(probe.target);
            self.probe(now, CallPurpose::Contact, target, to, actions);
        }
    }

    /// Probes the next member of the queue, which is refilled with all members
    /// in random order.
    pub(super) fn start_probe(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.probe_queue.is_empty() {
            self.probe_queue = self.present_ids(None);
            self.probe_queue.shuffle(&mut self.rng);
        }
        while let Some(target) = self.probe_queue.pop() {
            let Some(to) = self.peer_address(&target) else {
                continue;
            };
            self.current_probe = Some(CurrentProbe {
                target: target.clone(),
                answered: false,
            });
            let purpose = CallPurpose::Direct;
            self.probe(now, purpose, Some(target), to, actions);
            return;
        }
    }

    /// Probes a member as a relay for a peer.
    pub(super) fn probe_for(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        from: InstanceId,
        target: InstanceId,
        actions: &mut Vec<MemberAction>,
    ) {
        match self.peer_address(&target) {
            Some(to) => {
                let purpose = CallPurpose::Relayed(inbound, from);
                self.probe(now, purpose, Some(target), to, actions);
            }
            None => {
                let answer = MemberAction::Respond(inbound, PeerResponse::Nack);
                actions.push(answer);
            }
        }
    }

    /// Contacts addresses at which no live member is known, from the seeds,
    /// the instance list and the dead members. This joins the parts of a fleet
    /// that was partitioned or whose instances do not know each other yet.
    pub(super) fn contact_unknown_addresses(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MemberAction>,
    ) {
        if now < self.contact_due {
            return;
        }
        self.contact_due = now.after(PERIOD_MIN);
        let (dead, unknown) = self.addresses_without_live_member();
        let again = |at: &Timestamp| now.since(*at) >= UNKNOWN_CONTACT_INTERVAL;
        self.last_contacts.retain(|to, _| unknown.contains(to));
        let mut chosen: Vec<_> = unknown
            .into_iter()
            .filter(|to| self.last_contacts.get(to).is_none_or(again))
            .collect();
        chosen.shuffle(&mut self.rng);
        chosen.truncate(UNKNOWN_CONTACTS_MAX);
        self.last_contacts
            .extend(chosen.iter().map(|to| (*to, now)));
        if now >= self.dead_contact_due {
            self.dead_contact_due = now.after(DEAD_CONTACT_INTERVAL);
            let dead: Vec<_> = dead.into_iter().collect();
            chosen.extend(dead.choose(&mut self.rng));
        }
        for to in chosen {
            let at = |entry: &&MemberEntry| entry.update.peer_address == to;
            let target = self.members.values().find(at);
            let target = target.map(|entry| entry.update.instance.clone());
            self.probe(now, CallPurpose::Contact, target, to, actions);
        }
    }

    /// Probes a random member when the connectivity evidence is older than
    /// [`EVIDENCE_REFRESH`].
    pub(super) fn refresh_evidence(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MemberAction>,
    ) {
        let fresh = |at: Timestamp| now.since(at) < EVIDENCE_REFRESH;
        if now < self.refresh_due || self.evidence_at.is_some_and(fresh) {
            return;
        }
        self.refresh_due = now.after(PROBE_TIMEOUT);
        let ids = self.present_ids(None);
        let Some(target) = ids.choose(&mut self.rng).cloned() else {
            return;
        };
        if let Some(to) = self.peer_address(&target) {
            let purpose = CallPurpose::Contact;
            self.probe(now, purpose, Some(target), to, actions);
        }
    }

    /// Probes the given members at once, to exchange gossip. Dead and unknown
    /// ones are skipped.
    pub fn request_gossip(
        &mut self,
        now: Timestamp,
        peers: &[InstanceId],
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        for peer in peers {
            if let Some(to) = self.peer_address(peer) {
                let purpose = CallPurpose::Contact;
                let target = Some(peer.clone());
                self.probe(now, purpose, target, to, &mut actions);
            }
        }
        actions
    }

    /// Processes the response to a message. `None` if it failed.
    pub(super) fn handle_answer(
        &mut self,
        now: Timestamp,
        probe_id: ProbeId,
        sent_at: Timestamp,
        reply: Option<PeerResponse>,
        actions: &mut Vec<MemberAction>,
    ) {
        let call = self.pending.remove(&probe_id);
        if matches!(reply, Some(PeerResponse::Ack(_) | PeerResponse::Nack)) {
            self.record_evidence(sent_at);
        }
        let mut sender = None;
        if let Some(PeerResponse::Ack(gossip)) = reply
            && let Some(first) = gossip.updates.first()
        {
            let from = first.instance.clone();
            self.merge_gossip(now, &from, Some(sent_at), gossip, actions);
            sender = Some(from);
        }
        if let Some(call) = call {
            self.settle(now, call, sender, actions);
        }
    }

    /// Treats messages as failed whose result was not reported in time.
    pub(super) fn expire_calls(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MemberAction>,
    ) {
        let expired = |(_, call): &(&ProbeId, &PendingCall)| now >= call.due;
        let expired_ids: Vec<_> = self
            .pending
            .iter()
            .filter(expired)
            .map(|(probe_id, _)| *probe_id)
            .collect();
        for probe_id in expired_ids {
            if let Some(call) = self.pending.remove(&probe_id) {
                self.settle(now, call, None, actions);
            }
        }
    }

    /// Declares suspects dead after [`SUSPICION_TIME`] and removes members
    /// that were dead for [`DEAD_RETENTION`].
    pub(super) fn expire_members(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<MemberAction>,
    ) {
        let suspects: Vec<_> = self
            .members
            .iter()
            .filter(|(_, e)| e.update.state == MemberState::Suspect)
            .filter(|(_, e)| now.since(e.since) >= SUSPICION_TIME)
            .map(|(id, _)| id.clone())
            .collect();
        for id in suspects {
            self.set_state(now, &id, MemberState::Dead, actions);
        }
        self.members.retain(|_, entry| {
            entry.is_present() || now.since(entry.since) < DEAD_RETENTION
        });
    }

    /// Completes a message. `sender` is the instance that responded, if any;
    /// it differs from the target if another instance has taken the address.
    fn settle(
        &mut self,
        now: Timestamp,
        call: PendingCall,
        sender: Option<InstanceId>,
        actions: &mut Vec<MemberAction>,
    ) {
        let target = call.target;
        match call.purpose {
            CallPurpose::Contact => {}
            CallPurpose::Relayed(inbound, from) => {
                let reply = if sender.is_some() && sender == target {
                    PeerResponse::Ack(self.build_gossip(now, Some(&from)))
                } else {
                    PeerResponse::Nack
                };
                actions.push(MemberAction::Respond(inbound, reply));
            }
            CallPurpose::Direct => {
                if sender.is_some() && sender == target {
                    self.mark_answered(target);
                } else {
                    self.probe_indirectly(now, target, actions);
                }
            }
            // The response comes from the relay. An `Ack` means that the
            // target responded to it.
            CallPurpose::Indirect => {
                if sender.is_some() {
                    self.mark_answered(target);
                }
            }
        }
    }

    fn mark_answered(&mut self, target: Option<InstanceId>) {
        if let Some(probe) = &mut self.current_probe
            && Some(&probe.target) == target.as_ref()
        {
            probe.answered = true;
        }
    }

    fn probe_indirectly(
        &mut self,
        now: Timestamp,
        target: Option<InstanceId>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(target) = target else { return };
        let current = self.current_probe.as_ref().map(|probe| &probe.target);
        if current != Some(&target) {
            return;
        }
        let relays = self.present_ids(Some(&target));
        let count = INDIRECT_PROBES.min(relays.len());
        let relays: Vec<_> = relays
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect();
        for relay in relays {
            let Some(to) = self.peer_address(&relay) else {
                continue;
            };
            let gossip = self.build_gossip(now, Some(&relay));
            let message = PeerRequest::IndirectProbe(target.clone(), gossip);
            let pending = PendingCall {
                purpose: CallPurpose::Indirect,
                target: Some(target.clone()),
                due: now.after(INDIRECT_TIMEOUT),
            };
            self.call(
                pending,
                Some(relay),
                to,
                message,
                INDIRECT_TIMEOUT,
                actions,
            );
        }
    }

    fn probe(
        &mut self,
        now: Timestamp,
        purpose: CallPurpose,
        target: Option<InstanceId>,
        to: SocketAddr,
        actions: &mut Vec<MemberAction>,
    ) {
        let gossip = self.build_gossip(now, target.as_ref());
        let message = PeerRequest::Probe(gossip);
        let pending = PendingCall {
            purpose,
            target: target.clone(),
            due: now.after(PROBE_TIMEOUT),
        };
        self.call(pending, target, to, message, PROBE_TIMEOUT, actions);
    }

    fn call(
        &mut self,
        pending: PendingCall,
        instance: Option<InstanceId>,
        to: SocketAddr,
        message: PeerRequest,
        timeout: Duration,
        actions: &mut Vec<MemberAction>,
    ) {
        let probe_id = ProbeId(self.next_probe_id);
        self.next_probe_id += 1;
        self.pending.insert(probe_id, pending);
        actions.push(MemberAction::Call {
            probe_id,
            to,
            instance,
            message,
            timeout,
        });
    }

    fn present_ids(&self, except: Option<&InstanceId>) -> Vec<InstanceId> {
        let present = self.members.iter().filter(|(_, e)| e.is_present());
        let ids = present.map(|(id, _)| id);
        ids.filter(|id| Some(*id) != except).cloned().collect()
    }

    /// Addresses of dead members, and listed addresses and seeds at which no
    /// member is known.
    fn addresses_without_live_member(
        &self,
    ) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
        let listed = self.instance_list.keys().chain(&self.setup.seeds);
        let mut unknown: BTreeSet<_> = listed.copied().collect();
        unknown.remove(&self.local.peer_address);
        let mut dead = BTreeSet::new();
        for entry in self.members.values() {
            unknown.remove(&entry.update.peer_address);
            if !entry.is_present() {
                dead.insert(entry.update.peer_address);
            }
        }
        (dead, unknown)
    }
}
