//! Which instances are alive, by random probing with dissemination.
//!
//! The table owns the view of the members and the evidence that this instance
//! itself is still connected ([`MemberTable::may_act_as_owner`]). In each period it
//! probes one member; without an answer it asks others to probe, then
//! suspects the member, then declares it dead. The cost per instance does not
//! depend on the number of members. The contents of gossip that concern the
//! configuration and engines are set by the core.

mod gossip;
mod probe;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    core::InboundCallId,
    engine_facts::CapabilityTable,
    ids::{DomainId, InstanceId},
    peer_api::{
        EngineSummary, Gossip, MemberState, MemberUpdate, PeerMessage,
        PeerReply,
    },
    platform_api::{ListedProcess, ProcessKind},
    units::{Incarnation, LogOffset, Timestamp},
};

/// Interval between two probes with few members.
pub const PERIOD_MIN: Duration = Duration::from_millis(500);
/// Interval between two probes with [`LONG_PERIOD_MEMBERS`] members or more.
pub const PERIOD_MAX: Duration = Duration::from_millis(1_000);
/// Number of members up to which the shortest period is used.
pub const SHORT_PERIOD_MEMBERS: usize = 100;
/// Number of members from which on the longest period is used.
pub const LONG_PERIOD_MEMBERS: usize = 950;
/// Time for the answer to a direct probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the answer to an indirect probe; the helper's own probe must fit.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(280);
/// Number of members asked to probe on behalf of another.
pub const INDIRECT_PROBES: usize = 3;
/// Time in which a suspect can refute before it counts as dead.
pub const SUSPICION_TIME: Duration = Duration::from_secs(1);
/// Most member updates in one message.
pub const UPDATES_MAX: usize = 8;
/// Most engine summaries in one message.
pub const SUMMARIES_MAX: usize = 16;
/// Longest time since the sending of an answered message after which this
/// instance may still act as owner.
pub const OWNERSHIP_EVIDENCE_LIFETIME: Duration = Duration::from_secs(1);
/// Age of the evidence from which on an additional member is probed. Without
/// it one lost answer would end the evidence at periods above 500 ms.
const EVIDENCE_REFRESH: Duration = Duration::from_millis(600);
/// Time after which a dead member is forgotten.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Age up to which the instance list counts for being the only instance.
const LISTING_LIFETIME: Duration = Duration::from_secs(10);
/// Interval without a tick from which on this instance counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time after the start of an instance in which it sends and is sent as many
/// updates as a message has room for.
const JOIN_TIME: Duration = Duration::from_secs(10);

/// Number of one message to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// What the table needs to start.
#[derive(Clone, Debug)]
pub struct MemberSetup {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Milliseconds since the epoch at the start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random source.
    pub seed: u64,
}

/// What the core adds to each message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalStatus {
    /// Highest configuration offset applied here.
    pub applied: Option<LogOffset>,
    /// When the log confirmed that offset as its head.
    pub confirmed_at: Option<Timestamp>,
    /// Whether the log was reached within the last seconds.
    pub log_reached: bool,
    /// Summaries of the engines owned here.
    pub engines: Vec<EngineSummary>,
}

/// Input of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// A peer sent a probe.
    ProbeReceived {
        /// Number for the answer.
        inbound: InboundCallId,
        /// Sender.
        from: InstanceId,
        /// Its gossip.
        gossip: Gossip,
    },
    /// A peer asked to probe another member.
    IndirectProbeReceived {
        /// Number for the answer.
        inbound: InboundCallId,
        /// Sender.
        from: InstanceId,
        /// Member to probe.
        target: InstanceId,
        /// The sender's gossip.
        gossip: Gossip,
    },
    /// A message of this table was answered, or not.
    CallCompleted {
        /// Number of the message.
        number: ProbeId,
        /// When it was sent.
        sent_at: Timestamp,
        /// The answer, if one came in time.
        reply: Option<PeerReply>,
    },
    /// A peer answered a message of another component.
    PeerResponded {
        /// When the answered message was sent.
        sent_at: Timestamp,
    },
    /// The instance list was read.
    InstancesListed(Vec<ListedProcess>),
}

/// Output of the table.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to a peer.
    Call {
        /// Number of the message.
        number: ProbeId,
        /// Address of the peer.
        to: SocketAddr,
        /// Name of the peer, if it is known.
        instance: Option<InstanceId>,
        /// The message.
        message: PeerMessage,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Answer a peer.
    Respond(InboundCallId, PeerReply),
    /// Gossip came that concerns the configuration and engines.
    GossipReceived {
        /// Sender.
        peer: InstanceId,
        /// When the question was sent; absent for gossip that came unasked,
        /// whose age in transit is not known.
        asked_at: Option<Timestamp>,
        /// The gossip.
        gossip: Gossip,
    },
    /// A member's state changed.
    StateChanged(InstanceId, MemberState),
}

/// A member as this instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberEntry {
    /// Latest update.
    pub update: MemberUpdate,
    /// When the state was entered here.
    pub since: Timestamp,
    /// When the member was added here.
    pub added_at: Timestamp,
    /// Whether the member announced that it leaves.
    pub left: bool,
    /// How often the update was sent.
    sends: u32,
}

impl MemberEntry {
    /// Whether the member takes part: alive, leaving or suspected.
    pub fn is_present(&self) -> bool {
        self.update.state != MemberState::Dead
    }

    /// Whether the member can own engines and call streams.
    pub fn can_own(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// The members and the exchange of messages about them.
#[derive(Debug)]
pub struct MemberTable {
    setup: MemberSetup,
    local: MemberUpdate,
    local_sends: u32,
    members: BTreeMap<InstanceId, MemberEntry>,
    instance_list: BTreeMap<SocketAddr, (InstanceId, bool)>,
    listed_at: Option<Timestamp>,
    local_status: LocalStatus,
    engine_facts: CapabilityTable,
    engine_cursor: usize,
    probe_queue: Vec<InstanceId>,
    last_contacts: BTreeMap<SocketAddr, Timestamp>,
    dead_contact_due: Timestamp,
    pending: BTreeMap<ProbeId, probe::PendingCall>,
    current_probe: Option<probe::CurrentProbe>,
    next_number: u64,
    started_at: Option<Timestamp>,
    last_tick: Timestamp,
    period_due: Timestamp,
    contact_due: Timestamp,
    evidence_at: Option<Timestamp>,
    refresh_due: Timestamp,
    version: u64,
    rng: ChaCha8Rng,
}

impl MemberTable {
    /// A table that knows only this instance.
    pub fn new(setup: MemberSetup) -> Self {
        let local = MemberUpdate {
            instance: setup.instance.clone(),
            incarnation: setup.incarnation,
            state: MemberState::Alive,
            peer_address: setup.peer_address,
            caller_address: setup.caller_address,
            domain: setup.domain.clone(),
            applied: None,
        };
        let rng = ChaCha8Rng::seed_from_u64(setup.seed);
        Self {
            setup,
            local,
            local_sends: 0,
            members: BTreeMap::new(),
            instance_list: BTreeMap::new(),
            listed_at: None,
            local_status: LocalStatus::default(),
            engine_facts: CapabilityTable::new(),
            engine_cursor: 0,
            probe_queue: Vec::new(),
            last_contacts: BTreeMap::new(),
            dead_contact_due: Timestamp::ZERO,
            pending: BTreeMap::new(),
            current_probe: None,
            next_number: 0,
            started_at: None,
            last_tick: Timestamp::ZERO,
            period_due: Timestamp::ZERO,
            contact_due: Timestamp::ZERO,
            evidence_at: None,
            refresh_due: Timestamp::ZERO,
            version: 0,
            rng,
        }
    }

    /// Takes an event in.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: MemberEvent,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.handle_pause(now);
        match event {
            MemberEvent::ProbeReceived {
                inbound,
                from,
                gossip,
            } => {
                self.merge_gossip(now, &from, None, gossip, &mut actions);
                let gossip = self.build_gossip(now, Some(&from));
                let reply = PeerReply::Ack(gossip);
                actions.push(MemberAction::Respond(inbound, reply));
            }
            MemberEvent::IndirectProbeReceived {
                inbound,
                from,
                target,
                gossip,
            } => {
                self.merge_gossip(now, &from, None, gossip, &mut actions);
                self.probe_for(now, inbound, from, target, &mut actions);
            }
            MemberEvent::CallCompleted {
                number,
                sent_at,
                reply,
            } => self.handle_answer(now, number, sent_at, reply, &mut actions),
            MemberEvent::PeerResponded { sent_at } => {
                self.record_evidence(sent_at);
            }
            MemberEvent::InstancesListed(lines) => {
                self.handle_listing(now, lines);
            }
        }
        actions
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.handle_pause(now);
        self.expire_calls(now, &mut actions);
        if now >= self.period_due {
            self.end_period(now, &mut actions);
            self.period_due = now.after(self.period());
            self.start_probe(now, &mut actions);
        }
        self.contact_unknown_addresses(now, &mut actions);
        self.refresh_evidence(now, &mut actions);
        self.expire_members(now, &mut actions);
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let calls = self.pending.values().map(|call| call.due);
        let suspects = self
            .members
            .values()
            .filter(|entry| entry.update.state == MemberState::Suspect)
            .map(|entry| entry.since.after(SUSPICION_TIME));
        let refresh = self.evidence_at.map(|at| at.after(EVIDENCE_REFRESH));
        let refresh = refresh.unwrap_or_default().max(self.refresh_due);
        let refresh = (self.live_count() > 1).then_some(refresh);
        let fixed = [self.period_due, self.contact_due].into_iter();
        fixed.chain(calls).chain(suspects).chain(refresh).min()
    }

    /// Sets what the next messages say of the configuration and engines.
    pub fn set_local_status(&mut self, status: LocalStatus) {
        if status.applied != self.local.applied {
            self.local.applied = status.applied;
            self.local_sends = 0;
        }
        self.local_status = status;
    }

    /// What is known of the engines, to be passed on.
    pub fn engine_facts(&mut self) -> &mut CapabilityTable {
        &mut self.engine_facts
    }

    /// Announces that this instance is about to stop.
    pub fn leave(&mut self) {
        if self.local.state != MemberState::Leaving {
            self.local.state = MemberState::Leaving;
            self.local_sends = 0;
            self.version += 1;
        }
    }

    /// Whether this instance may act as owner.
    pub fn may_act_as_owner(&self, now: Timestamp) -> bool {
        if self.local.state == MemberState::Leaving {
            return false;
        }
        let fresh =
            |sent: Timestamp| now.since(sent) < OWNERSHIP_EVIDENCE_LIFETIME;
        self.evidence_at.is_some_and(fresh) || self.is_only_instance(now)
    }

    /// Other members, present or dead.
    pub fn members(&self) -> &BTreeMap<InstanceId, MemberEntry> {
        &self.members
    }

    /// State of this instance as it tells others.
    pub fn local_member(&self) -> &MemberUpdate {
        &self.local
    }

    /// Number that rises with each change of a member's state.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Instances that can own engines and call streams, with their domains.
    pub fn owner_candidates(&self) -> BTreeMap<InstanceId, DomainId> {
        let others = self.members.values().filter(|entry| entry.can_own());
        let serving = self.local.state == MemberState::Alive;
        others
            .map(|entry| &entry.update)
            .chain(serving.then_some(&self.local))
            .map(|update| (update.instance.clone(), update.domain.clone()))
            .collect()
    }

    /// Number of live instances, this one included.
    pub fn live_count(&self) -> usize {
        1 + self.members.values().filter(|e| e.is_present()).count()
    }

    /// Address of a member that is present, for peers.
    pub fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let entry = self.members.get(instance)?;
        entry.is_present().then_some(entry.update.peer_address)
    }

    /// Instances that callers may use, the given domain first.
    pub fn caller_addresses(
        &self,
        own_domain: &DomainId,
    ) -> Vec<(SocketAddr, DomainId)> {
        let others = self.members.values().map(|entry| &entry.update);
        let mut callers: Vec<_> = others
            .chain([&self.local])
            .filter(|update| update.state == MemberState::Alive)
            .filter(|update| update.applied.is_some())
            .map(|update| (update.caller_address, update.domain.clone()))
            .collect();
        callers
            .sort_by_key(|(address, domain)| (domain != own_domain, *address));
        callers
    }

    /// Present instances whose applied offset lies below one, this included.
    pub fn instances_behind(&self, offset: LogOffset) -> Vec<InstanceId> {
        let others = self.members.values().filter(|entry| entry.is_present());
        others
            .map(|entry| &entry.update)
            .chain([&self.local])
            .filter(|update| update.applied < Some(offset))
            .map(|update| update.instance.clone())
            .collect()
    }

    /// Other instances known to have been alive within a time and not to have
    /// left on their own account.
    pub fn alive_within(
        &self,
        now: Timestamp,
        window: Duration,
    ) -> BTreeSet<InstanceId> {
        let recent = |entry: &MemberEntry| {
            let lost = !entry.left && now.since(entry.since) < window;
            entry.is_present() || lost
        };
        let entries = self.members.iter().filter(|(_, entry)| recent(entry));
        entries.map(|(id, _)| id.clone()).collect()
    }

    /// Interval between two probes.
    pub fn period(&self) -> Duration {
        let count = self
            .live_count()
            .clamp(SHORT_PERIOD_MEMBERS, LONG_PERIOD_MEMBERS);
        let share = (count - SHORT_PERIOD_MEMBERS) as f64;
        let share = share / (LONG_PERIOD_MEMBERS - SHORT_PERIOD_MEMBERS) as f64;
        PERIOD_MIN + (PERIOD_MAX - PERIOD_MIN).mul_f64(share)
    }

    /// Whether neither members, seeds nor the instance list name another live
    /// instance. Seeds that a recent list no longer names count as gone.
    fn is_only_instance(&self, now: Timestamp) -> bool {
        if self.members.values().any(MemberEntry::is_present) {
            return false;
        }
        let local_address = self.local.peer_address;
        let Some(listed_at) = self.listed_at else {
            return self.setup.seeds.iter().all(|seed| *seed == local_address);
        };
        let mut others = self
            .instance_list
            .values()
            .filter(|(id, _)| *id != self.local.instance);
        now.since(listed_at) < LISTING_LIFETIME
            && others.all(|(_, leaving)| *leaving)
    }

    fn handle_listing(&mut self, now: Timestamp, lines: Vec<ListedProcess>) {
        let instances = lines.into_iter().filter_map(|line| {
            let instance = line.kind == ProcessKind::Instance;
            let id = line.id.parse().ok()?;
            instance.then_some((line.address, (id, line.leaving)))
        });
        self.instance_list = instances.collect();
        self.listed_at = Some(now);
    }

    fn record_evidence(&mut self, sent_at: Timestamp) {
        self.evidence_at = self.evidence_at.max(Some(sent_at));
    }

    /// Drops what a pause of this instance has made worthless: unanswered
    /// probes say nothing about others, and suspects had no time to refute.
    fn handle_pause(&mut self, now: Timestamp) {
        let paused =
            now.since(self.last_tick) > PAUSE_THRESHOLD.max(self.period() * 2);
        self.last_tick = self.last_tick.max(now);
        if self.started_at.is_none() {
            self.started_at = Some(now);
        } else if paused {
            self.current_probe = None;
            for entry in self.members.values_mut() {
                if entry.update.state == MemberState::Suspect {
                    entry.since = now;
                }
            }
        }
    }
}
