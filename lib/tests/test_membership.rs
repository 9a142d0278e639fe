//! Membership under lost, late and duplicated messages, crashes, pauses,
//! restarts and network partitions.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[expect(dead_code, reason = "this test uses a part")]
mod common;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use borageline_lib::{
    core::InboundCallId,
    ids::InstanceId,
    membership::{
        LocalStatus, MemberAction, MemberEvent, MemberSetup, MemberTable,
        OWNERSHIP_EVIDENCE_LIFETIME, ProbeId, SUMMARIES_MAX, UPDATES_MAX,
    },
    peer_api::{EngineSummary, MemberState, PeerRequest, PeerResponse},
    platform_api::{ListedProcess, ProcessKind},
    units::{Incarnation, LogOffset, Timestamp, TokenCount},
};
use common::{EventQueue, millis};
use proptest::prelude::*;

const FAULT_TIME_MS: u64 = 15_000;

#[derive(Clone, Debug)]
enum Fault {
    /// Crash of an instance and its restart after a number of milliseconds.
    Crash(usize, u64),
    Pause(usize, u64),
    /// Instances below an index cannot reach the others for a number of
    /// milliseconds.
    Partition(usize, u64),
}

#[derive(Clone, Debug)]
enum Event {
    Fault(Fault),
    Restart(usize),
    Tick(usize, u64),
    Deliver(usize, Origin, PeerRequest),
    Reply(Origin, Option<PeerResponse>),
}

#[derive(Clone, Debug)]
struct Origin {
    node: usize,
    process: u64,
    probe_id: ProbeId,
    sent_at: Timestamp,
}

struct Node {
    process: u64,
    up: bool,
    paused_until: Timestamp,
    table: MemberTable,
    inbound: BTreeMap<InboundCallId, Origin>,
    /// When the last message that got a response was sent, as the simulation
    /// records it.
    last_answered_sent_at: Option<Timestamp>,
    /// Naive evidence: when the last response was received.
    last_answer_received_at: Option<Timestamp>,
    messages: u64,
}

struct MemberSimulation {
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    partition: (usize, Timestamp),
    reliable: bool,
    next_id: u64,
    violation: Option<String>,
    naive_violated: bool,
}

fn instance(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 200) as u8, (index % 200) as u8], 7_000).into()
}

fn setup(index: usize, now: Timestamp) -> MemberSetup {
    MemberSetup {
        instance: instance(index),
        incarnation: Incarnation::new(now.get() / 1_000),
        domain: format!("d{}", index % 3).parse().unwrap(),
        peer_address: address(index),
        caller_address: address(index),
        seeds: vec![address(0), address(1)],
        seed: index as u64,
    }
}

impl MemberSimulation {
    fn new(seed: u64, count: usize) -> Self {
        let mut queue = EventQueue::new(seed);
        let node = |index| Node {
            process: 0,
            up: true,
            paused_until: Timestamp::ZERO,
            table: MemberTable::new(setup(index, queue.now)),
            inbound: BTreeMap::new(),
            last_answered_sent_at: None,
            last_answer_received_at: None,
            messages: 0,
        };
        let nodes = (0..count).map(node).collect();
        for index in 0..count {
            queue.push_in(millis(index as u64), Event::Tick(index, 0));
        }
        Self {
            queue,
            nodes,
            partition: (0, Timestamp::ZERO),
            reliable: false,
            next_id: 0,
            violation: None,
            naive_violated: false,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.queue.now.after(time);
        while let Some(event) = self.queue.pop_until(end) {
            let target = match &event {
                Event::Tick(to, _) | Event::Deliver(to, ..) => Some(*to),
                Event::Reply(origin, _) => Some(origin.node),
                Event::Fault(_) | Event::Restart(_) => None,
            };
            let paused = target.map(|to| self.nodes[to].paused_until);
            if let Some(until) = paused.filter(|at| *at > self.queue.now) {
                self.queue.push(until, event);
                continue;
            }
            self.step(event);
            if let Some(index) = target {
                self.check_owner(index);
            }
        }
    }

    fn check_owner(&mut self, index: usize) {
        let now = self.queue.now;
        let node = &self.nodes[index];
        let recent =
            |at: Timestamp| now.since(at) < OWNERSHIP_EVIDENCE_LIFETIME;
        let evidence = node.last_answered_sent_at.is_some_and(recent);
        if node.up && node.table.may_act_as_owner(now) && !evidence {
            let text = format!("i{index} owns without evidence at {now}");
            self.violation.get_or_insert(text);
        }
        self.naive_violated |=
            node.last_answer_received_at.is_some_and(recent) && !evidence;
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Restart(index) => {
                let node = &mut self.nodes[index];
                node.up = true;
                node.table = MemberTable::new(setup(index, now));
                let tick = Event::Tick(index, node.process);
                self.queue.push_in(Duration::ZERO, tick);
            }
            Event::Tick(index, process) => {
                let node = &mut self.nodes[index];
                if node.up && node.process == process {
                    let actions = node.table.tick(now);
                    self.perform(index, actions);
                    let next = self.nodes[index].table.next_timer().unwrap();
                    let next = next.max(now.after(millis(1)));
                    self.queue.push(next, Event::Tick(index, process));
                }
            }
            Event::Deliver(to, origin, message) => {
                self.deliver(to, origin, message);
            }
            Event::Reply(origin, reply) => self.handle_reply(origin, reply),
        }
    }

    fn handle_reply(&mut self, origin: Origin, reply: Option<PeerResponse>) {
        let now = self.queue.now;
        let node = &mut self.nodes[origin.node];
        if !node.up || node.process != origin.process {
            return;
        }
        if reply.is_some() {
            node.last_answered_sent_at =
                node.last_answered_sent_at.max(Some(origin.sent_at));
            node.last_answer_received_at = Some(now);
        }
        let event = MemberEvent::CallCompleted {
            probe_id: origin.probe_id,
            sent_at: origin.sent_at,
            reply,
        };
        let actions = node.table.handle(now, event);
        self.perform(origin.node, actions);
    }

    fn deliver(&mut self, to: usize, origin: Origin, message: PeerRequest) {
        let now = self.queue.now;
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        self.next_id += 1;
        let inbound = InboundCallId(self.next_id);
        let from = instance(origin.node);
        node.inbound.insert(inbound, origin);
        let event = match message {
            PeerRequest::Probe(gossip) => MemberEvent::ProbeReceived {
                inbound,
                from,
                gossip,
            },
            PeerRequest::IndirectProbe(target, gossip) => {
                MemberEvent::IndirectProbeReceived {
                    inbound,
                    from,
                    target,
                    gossip,
                }
            }
            _ => unreachable!(),
        };
        let actions = node.table.handle(now, event);
        self.perform(to, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<MemberAction>) {
        let now = self.queue.now;
        for action in actions {
            match action {
                MemberAction::Call {
                    probe_id,
                    to,
                    message,
                    timeout,
                    ..
                } => {
                    self.nodes[index].messages += 1;
                    let origin = Origin {
                        node: index,
                        process: self.nodes[index].process,
                        probe_id,
                        sent_at: now,
                    };
                    let lost = Event::Reply(origin.clone(), None);
                    self.queue.push_in(timeout, lost);
                    let nodes = self.nodes.len();
                    let to = (0..nodes).find(|i| address(*i) == to);
                    self.send(index, to.unwrap(), |to| {
                        Event::Deliver(to, origin.clone(), message.clone())
                    });
                }
                MemberAction::Respond(inbound, reply) => {
                    self.nodes[index].messages += 1;
                    let node = &mut self.nodes[index];
                    let origin = node.inbound.remove(&inbound).unwrap();
                    self.check_size(&reply);
                    self.send(index, origin.node, |_| {
                        Event::Reply(origin.clone(), Some(reply.clone()))
                    });
                }
                MemberAction::GossipReceived { .. }
                | MemberAction::StateChanged(..) => {}
            }
        }
    }

    fn check_size(&mut self, reply: &PeerResponse) {
        if let PeerResponse::Ack(gossip) = reply
            && (gossip.updates.len() > UPDATES_MAX
                || gossip.engines.len() > SUMMARIES_MAX)
        {
            self.violation.get_or_insert("message is too large".into());
        }
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn(usize) -> Event) {
        let (border, until) = self.partition;
        if self.queue.now < until && (from < border) != (to < border) {
            return;
        }
        let copies = if self.reliable {
            1
        } else {
            1 + usize::from(self.queue.chance(5))
                - usize::from(self.queue.chance(5))
        };
        for _ in 0..copies {
            let late = !self.reliable && self.queue.chance(5);
            let longest = if late { 1_500 } else { 10 };
            let delay = self.queue.delay(1, longest);
            self.queue.push_in(delay, event(to));
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.queue.now;
        let count = self.nodes.len();
        match fault {
            Fault::Crash(index, time) => {
                let index = index % count;
                let node = &mut self.nodes[index];
                if node.up {
                    node.up = false;
                    node.process += 1;
                    node.last_answered_sent_at = None;
                    node.last_answer_received_at = None;
                    let restart = Event::Restart(index);
                    self.queue.push_in(millis(time), restart);
                }
            }
            Fault::Pause(index, time) => {
                self.nodes[index % count].paused_until =
                    now.after(millis(time));
            }
            Fault::Partition(border, time) => {
                self.partition = (border % count, now.after(millis(time)));
            }
        }
    }

    /// Instances that do not have all others, and only those, as alive.
    fn diverging_nodes(&self) -> Vec<usize> {
        let count = self.nodes.len();
        let agrees = |index: usize| {
            let members = self.nodes[index].table.members();
            let alive = members
                .values()
                .filter(|m| m.update.state == MemberState::Alive);
            alive.count() == count - 1
        };
        (0..count).filter(|index| !agrees(*index)).collect()
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..5usize, 100..6_000u64).prop_map(|(n, t)| Fault::Crash(n, t)),
        (0..5usize, 100..6_000u64).prop_map(|(n, t)| Fault::Pause(n, t)),
        (1..5usize, 500..9_000u64).prop_map(|(b, t)| Fault::Partition(b, t)),
    ]
}

proptest! {
    #![proptest_config(common::config(96))]

    /// Guards against member tables that do not converge after faults, and
    /// against an instance that was paused and acts as owner because of
    /// responses that waited in its sockets meanwhile.
    #[test]
    fn test_property_converges_and_owns_on_evidence(
        seed in any::<u64>(),
        count in 2..6usize,
        faults in prop::collection::vec((0..FAULT_TIME_MS, any_fault()), 0..10),
    ) {
        let mut simulation = MemberSimulation::new(seed, count);
        for (at, fault) in faults {
            simulation.queue.push_in(millis(at), Event::Fault(fault));
        }
        simulation.run(millis(FAULT_TIME_MS + 10_000));
        simulation.reliable = true;
        simulation.run(millis(15_000));
        prop_assert_eq!(simulation.violation.clone(), None);
        prop_assert_eq!(simulation.diverging_nodes(), Vec::<usize>::new());
        let now = simulation.queue.now;
        let mut nodes = simulation.nodes.iter();
        prop_assert!(nodes.all(|n| n.table.may_act_as_owner(now)));
    }
}

/// Checks that the property above fails for evidence that counts from the
/// receipt of a response instead of the sending of its request.
#[test]
fn test_evidence_by_reading_time_outlives_pause() {
    let mut simulation = MemberSimulation::new(1, 3);
    simulation.reliable = true;
    for at in 0..40 {
        let pause = Event::Fault(Fault::Pause(0, 2_000));
        simulation.queue.push_in(millis(2_000 + at * 3_001), pause);
    }
    simulation.run(millis(120_000));
    assert!(simulation.naive_violated);
    assert_eq!(simulation.violation, None);
}

fn listed_process(index: usize) -> ListedProcess {
    ListedProcess {
        id: instance(index).as_str().into(),
        kind: ProcessKind::Instance,
        address: address(index),
        failure_domain: "d0".parse().unwrap(),
        leaving: false,
    }
}

fn simulation_with_list(count: usize) -> MemberSimulation {
    let mut simulation = MemberSimulation::new(7, count);
    simulation.reliable = true;
    let now = simulation.queue.now;
    for node in &mut simulation.nodes {
        let lines = (0..count).map(listed_process).collect();
        node.table.handle(now, MemberEvent::InstancesListed(lines));
    }
    simulation
}

fn messages_per_second(count: usize) -> f64 {
    let mut simulation = simulation_with_list(count);
    simulation.run(millis(20_000));
    assert!(
        simulation.diverging_nodes().is_empty(),
        "{count} do not converge"
    );
    simulation
        .nodes
        .iter_mut()
        .for_each(|node| node.messages = 0);
    simulation.run(millis(10_000));
    let sent: u64 = simulation.nodes.iter().map(|node| node.messages).sum();
    sent as f64 / count as f64 / 10.0
}

/// Guards against a number of messages per instance that grows with the fleet.
/// With all-to-all heartbeats and 200 instances it would be 2 x 199 a period.
#[test]
fn test_cost_is_constant() {
    let few = messages_per_second(7);
    let more = messages_per_second(50);
    let many = messages_per_second(200);
    assert!(more <= few * 1.2 && many <= few * 1.2);
    assert!(few <= 8.0);
}

/// Guards against a crashed instance that stays a member, and against a
/// planned stop that counts as a crash.
#[test]
fn test_dead_and_leaving_are_told_apart() {
    let mut simulation = MemberSimulation::new(3, 4);
    simulation.reliable = true;
    simulation.run(millis(5_000));
    simulation.nodes[3].table.leave();
    assert!(
        !simulation.nodes[3]
            .table
            .may_act_as_owner(simulation.queue.now)
    );
    simulation.run(millis(3_000));
    let owners = simulation.nodes[0].table.owner_candidates();
    assert!(!owners.contains_key(&instance(3)));
    simulation.apply_fault(Fault::Crash(2, 3_600_000));
    simulation.apply_fault(Fault::Crash(3, 3_600_000));
    simulation.run(millis(10_000));
    let table = &simulation.nodes[0].table;
    let dead = |index| table.members()[&instance(index)].update.state;
    assert_eq!(dead(2), MemberState::Dead);
    assert_eq!(dead(3), MemberState::Dead);
    let known = table.alive_within(simulation.queue.now, millis(600_000));
    assert!(known.contains(&instance(2)) && !known.contains(&instance(3)));
    simulation.run(millis(601_000));
    assert_eq!(simulation.nodes[0].table.members().len(), 1);
}

/// Guards against a partitioned instance that acts as if it were the only one,
/// and against a fleet of one instance that cannot own anything.
#[test]
fn test_only_instance_needs_seeds_and_list() {
    let now = Timestamp::new(3_600_000_000);
    let mut table = MemberTable::new(setup(0, now));
    assert!(!table.may_act_as_owner(now), "a seed names another");
    table.handle(
        now,
        MemberEvent::InstancesListed(vec![
            listed_process(0),
            listed_process(1),
        ]),
    );
    assert!(!table.may_act_as_owner(now), "the list names another");
    table.handle(now, MemberEvent::InstancesListed(vec![listed_process(0)]));
    assert!(table.may_act_as_owner(now));
    assert!(
        !table.may_act_as_owner(now.after(millis(60_000))),
        "the list is old"
    );
    let mut alone = MemberTable::new(MemberSetup {
        seeds: vec![address(0)],
        ..setup(0, now)
    });
    alone.tick(now);
    assert!(alone.may_act_as_owner(now));
}

/// Guards against engine summaries that are never sent because a message
/// carries only some of them.
#[test]
fn test_summaries_rotate() {
    let mut simulation = MemberSimulation::new(5, 2);
    simulation.reliable = true;
    simulation.run(millis(2_000));
    let summary = |n: usize| EngineSummary {
        engine: format!("e{n}").parse().unwrap(),
        headroom: TokenCount::ZERO,
        free_slots: 0,
        leaving: false,
        wait: Duration::ZERO,
        takes_long: false,
    };
    let status = LocalStatus {
        applied: Some(LogOffset::new(4)),
        engines: (0..40).map(summary).collect(),
        ..LocalStatus::default()
    };
    simulation.nodes[0].table.set_local_status(status);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let now = simulation.queue.now;
        let actions = simulation.nodes[0]
            .table
            .request_gossip(now, &[instance(1)]);
        let MemberAction::Call { message, .. } = &actions[0] else {
            panic!("no message");
        };
        let PeerRequest::Probe(gossip) = message else {
            panic!("no probe");
        };
        seen.extend(gossip.engines.iter().map(|e| e.engine.clone()));
    }
    assert_eq!(seen.len(), 40);
    simulation.run(millis(2_000));
    let lagging = simulation.nodes[1]
        .table
        .instances_behind(LogOffset::new(4));
    assert_eq!(lagging, [instance(1)]);
    let own = "d1".parse().unwrap();
    let callers = simulation.nodes[1].table.caller_addresses(&own);
    assert_eq!(callers.len(), 1);
}
