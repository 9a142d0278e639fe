//! Failure detection and membership by randomized probing and gossip (SWIM).
//!
//! [`MemberTable`] holds the members of the fleet with their states, and the
//! evidence that this instance itself is still connected
//! ([`MemberTable::may_act_as_owner`]). In each period it probes one member.
//! If that does not respond, other members probe it as relays; without a
//! response it becomes a suspect, and dead if it does not refute the suspicion
//! in time. The cost per instance does not depend on the number of members.
//! Probes and their responses carry gossip: membership updates from here, and
//! the state of the configuration and engines as set by the core.

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
    engine_capabilities::CapabilityTable,
    ids::{DomainId, InstanceId},
    peer_api::{
        EngineSummary, Gossip, MemberState, MemberUpdate, PeerRequest,
        PeerResponse,
    },
    platform_api::{ListedProcess, ProcessKind},
    units::{Incarnation, LogOffset, Timestamp},
};

/// Probe period with up to [`SHORT_PERIOD_MEMBERS`] live instances.
pub const PERIOD_MIN: Duration = Duration::from_millis(500);
/// Probe period with [`LONG_PERIOD_MEMBERS`] live instances or more.
pub const PERIOD_MAX: Duration = Duration::from_millis(1_000);
/// Number of live instances up to which the period is [`PERIOD_MIN`].
pub const SHORT_PERIOD_MEMBERS: usize = 100;
/// Number of live instances from which the period is [`PERIOD_MAX`]. Between
/// the two numbers the period grows linearly.
pub const LONG_PERIOD_MEMBERS: usize = 950;
/// Timeout of a direct probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of an indirect probe. Exceeds [`PROBE_TIMEOUT`], since the relay
/// probes the target within it.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(280);
/// Number of relays that are asked to probe a member that did not respond.
pub const INDIRECT_PROBES: usize = 3;
/// Time that a suspect has to refute the suspicion before it counts as dead.
pub const SUSPICION_TIME: Duration = Duration::from_secs(1);
/// Maximum number of member updates in a message.
pub const UPDATES_MAX: usize = 8;
/// Maximum number of engine summaries in a message.
pub const SUMMARIES_MAX: usize = 16;
/// Time after the sending of the last message that got a response in which
/// this instance may still act as owner.
pub const OWNERSHIP_EVIDENCE_LIFETIME: Duration = Duration::from_secs(1);
/// Age of the connectivity evidence from which additional members are probed.
/// Without them one lost response would let the evidence expire at periods
/// above 500 ms.
const EVIDENCE_REFRESH: Duration = Duration::from_millis(600);
/// Time for which a dead member is kept.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Age up to which the instance list can show that this is the only instance.
const LISTING_LIFETIME: Duration = Duration::from_secs(10);
/// Interval between two calls into the table, above which the process counts
/// as paused in between. Twice the period if that is longer.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time after the start of an instance in which messages from and to it carry
/// up to [`UPDATES_MAX`] updates.
const JOIN_TIME: Duration = Duration::from_secs(10);

/// Id that pairs a message to a peer with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// Identity and initial contacts of this instance.
#[derive(Clone, Debug)]
pub struct MemberSetup {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Incarnation at the start: milliseconds since the epoch.
    pub incarnation: Incarnation,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Address on which this instance accepts peers.
    pub peer_address: SocketAddr,
    /// Address on which this instance accepts callers.
    pub caller_address: SocketAddr,
    /// Peer addresses to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// State of this instance that the core adds to each message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalStatus {
    /// Highest configuration offset applied here, if any.
    pub applied: Option<LogOffset>,
    /// When the read was sent by which the log last confirmed that offset as
    /// its head, if it has.
    pub confirmed_at: Option<Timestamp>,
    /// Whether a read of the log succeeded in the last seconds.
    pub log_reached: bool,
    /// Summaries of the engines that this instance owns.
    pub engines: Vec<EngineSummary>,
}

/// Input of the [`MemberTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// A peer sent a probe.
    ProbeReceived {
        /// Id to respond with.
        inbound: InboundCallId,
        /// Sender of the probe.
        from: InstanceId,
        /// Gossip of the sender.
        gossip: Gossip,
    },
    /// A peer asked this instance to probe another member as a relay.
    IndirectProbeReceived {
        /// Id to respond with.
        inbound: InboundCallId,
        /// Sender of the request.
        from: InstanceId,
        /// Member to probe.
        target: InstanceId,
        /// Gossip of the sender.
        gossip: Gossip,
    },
    /// A message of this table got a response or failed.
    CallCompleted {
        /// Id from [`MemberAction::Call`].
        probe_id: ProbeId,
        /// When the message was sent.
        sent_at: Timestamp,
        /// Response; `None` if none arrived in time.
        reply: Option<PeerResponse>,
    },
    /// A peer responded to a message of another component.
    PeerResponded {
        /// When the message was sent.
        sent_at: Timestamp,
    },
    /// The platform's instance list was read.
    InstancesListed(Vec<ListedProcess>),
}

/// Output of the [`MemberTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to a peer.
    Call {
        /// Id to report the response with.
        probe_id: ProbeId,
        /// Address of the peer.
        to: SocketAddr,
        /// Id of the peer, if a member with this address is known.
        instance: Option<InstanceId>,
        /// A probe or a request to relay one.
        message: PeerRequest,
        /// How long to wait for the response.
        timeout: Duration,
    },
    /// Respond to a peer.
    Respond(InboundCallId, PeerResponse),
    /// Pass received gossip to the components that follow the configuration
    /// and the engines.
    GossipReceived {
        /// Sender of the gossip.
        peer: InstanceId,
        /// When the message was sent to which this gossip is the response.
        /// `None` for gossip in a request, whose time in transit is unknown.
        request_sent_at: Option<Timestamp>,
        /// Gossip with its member updates, which the table has merged.
        gossip: Gossip,
    },
    /// The state of a member changed, or a member was added.
    StateChanged(InstanceId, MemberState),
}

/// Another instance in this instance's view of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberEntry {
    /// Latest update on the member.
    pub update: MemberUpdate,
    /// When this instance learned of the member's current state. For a
    /// suspect, the end of a pause of this process if that came later.
    pub since: Timestamp,
    /// When the member was added to the table or last came back from dead.
    pub added_at: Timestamp,
    /// Whether the member announced that it is leaving, in its latest
    /// incarnation.
    pub left: bool,
    /// Number of messages that carried the latest update.
    sends: u32,
}

impl MemberEntry {
    /// Whether the member is alive, leaving or suspected, but not dead.
    pub fn is_present(&self) -> bool {
        self.update.state != MemberState::Dead
    }

    /// Whether the member can own engines and call streams: it is alive or
    /// suspected.
    pub fn can_own(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// Members of the fleet, and the probes that keep their states up to date.
#[derive(Debug)]
pub struct MemberTable {
    setup: MemberSetup,
    local: MemberUpdate,
    local_sends: u32,
    members: BTreeMap<InstanceId, MemberEntry>,
    /// Instances in the platform's list by peer address, with whether they are
    /// leaving.
    instance_list: BTreeMap<SocketAddr, (InstanceId, bool)>,
    listed_at: Option<Timestamp>,
    local_status: LocalStatus,
    capabilities: CapabilityTable,
    /// Index of the first engine summary of the next message.
    summary_cursor: usize,
    /// Members that are still to be probed in this round.
    probe_queue: Vec<InstanceId>,
    /// When each address without a known member was last contacted.
    last_contacts: BTreeMap<SocketAddr, Timestamp>,
    dead_contact_due: Timestamp,
    pending: BTreeMap<ProbeId, probe::PendingCall>,
    current_probe: Option<probe::CurrentProbe>,
    next_probe_id: u64,
    started_at: Option<Timestamp>,
    last_tick: Timestamp,
    period_due: Timestamp,
    contact_due: Timestamp,
    /// When the last message that got a response was sent.
    evidence_at: Option<Timestamp>,
    refresh_due: Timestamp,
    version: u64,
    rng: ChaCha8Rng,
}

impl MemberTable {
    /// A table without other members.
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
            capabilities: CapabilityTable::new(),
            summary_cursor: 0,
            probe_queue: Vec::new(),
            last_contacts: BTreeMap::new(),
            dead_contact_due: Timestamp::ZERO,
            pending: BTreeMap::new(),
            current_probe: None,
            next_probe_id: 0,
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

    /// Processes an event and returns what to do.
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
                let reply = PeerResponse::Ack(gossip);
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
                probe_id,
                sent_at,
                reply,
            } => {
                self.handle_answer(now, probe_id, sent_at, reply, &mut actions);
            }
            MemberEvent::PeerResponded { sent_at } => {
                self.record_evidence(sent_at);
            }
            MemberEvent::InstancesListed(lines) => {
                self.handle_listing(now, lines);
            }
        }
        actions
    }

    /// Sends due probes and applies expired timeouts.
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

    /// When [`Self::tick`] must be called next.
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

    /// Sets the state that the next messages carry.
    pub fn set_local_status(&mut self, status: LocalStatus) {
        if status.applied != self.local.applied {
            self.local.applied = status.applied;
            self.local_sends = 0;
        }
        self.local_status = status;
    }

    /// Capability reports of the engines, which the table gossips.
    pub fn capabilities(&mut self) -> &mut CapabilityTable {
        &mut self.capabilities
    }

    /// Announces that this instance is about to stop.
    pub fn leave(&mut self) {
        if self.local.state != MemberState::Leaving {
            self.local.state = MemberState::Leaving;
            self.local_sends = 0;
            self.version += 1;
        }
    }

    /// Whether this instance may act as owner of engines and call streams: it
    /// is not leaving, and either its connectivity evidence is fresh or it is
    /// the only instance.
    pub fn may_act_as_owner(&self, now: Timestamp) -> bool {
        if self.local.state == MemberState::Leaving {
            return false;
        }
        let fresh =
            |sent: Timestamp| now.since(sent) < OWNERSHIP_EVIDENCE_LIFETIME;
        self.evidence_at.is_some_and(fresh) || self.is_only_instance(now)
    }

    /// Other instances, including dead ones.
    pub fn members(&self) -> &BTreeMap<InstanceId, MemberEntry> {
        &self.members
    }

    /// Update on this instance, as sent to others.
    pub fn local_member(&self) -> &MemberUpdate {
        &self.local
    }

    /// Number that rises when a member is added, when an update on it replaces
    /// an earlier one, and when this instance starts to leave.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Instances that can own engines and call streams, with their failure
    /// domains. Includes this instance unless it is leaving.
    pub fn owner_candidates(&self) -> BTreeMap<InstanceId, DomainId> {
        let others = self.members.values().filter(|entry| entry.can_own());
        let serving = self.local.state == MemberState::Alive;
        others
            .map(|entry| &entry.update)
            .chain(serving.then_some(&self.local))
            .map(|update| (update.instance.clone(), update.domain.clone()))
            .collect()
    }

    /// Number of instances that are not dead, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.members.values().filter(|e| e.is_present()).count()
    }

    /// Peer address of a member. `None` if it is dead or unknown.
    pub fn peer_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let entry = self.members.get(instance)?;
        entry.is_present().then_some(entry.update.peer_address)
    }

    /// Caller addresses of the alive instances that have a configuration,
    /// those in the given failure domain first.
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

    /// Peer addresses of the other members that are present.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let present = self.members.values().filter(|entry| entry.is_present());
        present.map(|entry| entry.update.peer_address).collect()
    }

    /// Instances that are not dead and have not applied an offset, including
    /// this one.
    pub fn instances_behind(&self, offset: LogOffset) -> Vec<InstanceId> {
        let others = self.members.values().filter(|entry| entry.is_present());
        others
            .map(|entry| &entry.update)
            .chain([&self.local])
            .filter(|update| update.applied < Some(offset))
            .map(|update| update.instance.clone())
            .collect()
    }

    /// Other instances that are not dead, or died within the given time
    /// without having announced that they leave.
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

    /// Current probe period.
    pub fn period(&self) -> Duration {
        let count = self
            .live_count()
            .clamp(SHORT_PERIOD_MEMBERS, LONG_PERIOD_MEMBERS);
        let share = (count - SHORT_PERIOD_MEMBERS) as f64;
        let share = share / (LONG_PERIOD_MEMBERS - SHORT_PERIOD_MEMBERS) as f64;
        PERIOD_MIN + (PERIOD_MAX - PERIOD_MIN).mul_f64(share)
    }

    /// Whether there is no other instance: all members are dead, and an
    /// instance list of at most [`LISTING_LIFETIME`] names no other instance
    /// that is not leaving. Until a list was read, the seeds must name no
    /// other instance; later they are ignored.
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

    /// Detects a pause of this process, from the time since the last call.
    /// After a pause, abandons the current probe, since a missing response
    /// then says nothing about its target, and restarts the suspicion time of
    /// all suspects.
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
