//! Membership under lost, late and repeated messages, crashes, pauses,
//! restarts and partitions.

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
    peer_api::{EngineSummary, MemberState, PeerMessage, PeerReply},
    platform_api::{ListedProcess, ProcessKind},
    units::{Incarnation, LogOffset, Timestamp, TokenCount},
};
use common::{EventQueue, millis};
use proptest::prelude::*;

const FAULT_TIME_MS: u64 = 15_000;

#[derive(Clone, Debug)]
enum Fault {
    /// Crash of an instance and its restart after a time.
    Crash(usize, u64),
    Pause(usize, u64),
    /// Instances below the index cannot reach the others for a time.
    Partition(usize, u64),
}

#[derive(Clone, Debug)]
enum Event {
    Fault(Fault),
    Restart(usize),
    Tick(usize, u64),
    Deliver(usize, Origin, PeerMessage),
    Reply(Origin, Option<PeerReply>),
}

#[derive(Clone, Debug)]
struct Origin {
    node: usize,
    life: u64,
    number: ProbeId,
    sent_at: Timestamp,
}

struct Node {
    life: u64,
    up: bool,
    paused_until: Timestamp,
    table: MemberTable,
    inbound: BTreeMap<InboundCallId, Origin>,
    /// When the latest answered message was sent, by the model's account.
    answered: Option<Timestamp>,
    /// The naive evidence: when the latest answer was read.
    answer_read: Option<Timestamp>,
    messages: u64,
}

struct World {
    queue: EventQueue<Event>,
    nodes: Vec<Node>,
    split: (usize, Timestamp),
    calm: bool,
    next: u64,
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

impl World {
    fn new(seed: u64, count: usize) -> Self {
        let mut queue = EventQueue::new(seed);
        let node = |index| Node {
            life: 0,
            up: true,
            paused_until: Timestamp::ZERO,
            table: MemberTable::new(setup(index, queue.now)),
            inbound: BTreeMap::new(),
            answered: None,
            answer_read: None,
            messages: 0,
        };
        let nodes = (0..count).map(node).collect();
        for index in 0..count {
            queue.push_in(millis(index as u64), Event::Tick(index, 0));
        }
        Self {
            queue,
            nodes,
            split: (0, Timestamp::ZERO),
            calm: false,
            next: 0,
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
        let evidence = node.answered.is_some_and(recent);
        if node.up && node.table.may_act_as_owner(now) && !evidence {
            let text = format!("i{index} owns without evidence at {now}");
            self.violation.get_or_insert(text);
        }
        self.naive_violated |=
            node.answer_read.is_some_and(recent) && !evidence;
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Fault(fault) => self.fault(fault),
            Event::Restart(index) => {
                let node = &mut self.nodes[index];
                node.up = true;
                node.table = MemberTable::new(setup(index, now));
                let tick = Event::Tick(index, node.life);
                self.queue.push_in(Duration::ZERO, tick);
            }
            Event::Tick(index, life) => {
                let node = &mut self.nodes[index];
                if node.up && node.life == life {
                    let actions = node.table.tick(now);
                    self.act(index, actions);
                    let next = self.nodes[index].table.next_timer().unwrap();
                    let next = next.max(now.after(millis(1)));
                    self.queue.push(next, Event::Tick(index, life));
                }
            }
            Event::Deliver(to, origin, message) => {
                self.deliver(to, origin, message);
            }
            Event::Reply(origin, reply) => self.take_reply(origin, reply),
        }
    }

    fn take_reply(&mut self, origin: Origin, reply: Option<PeerReply>) {
        let now = self.queue.now;
        let node = &mut self.nodes[origin.node];
        if !node.up || node.life != origin.life {
            return;
        }
        if reply.is_some() {
            node.answered = node.answered.max(Some(origin.sent_at));
            node.answer_read = Some(now);
        }
        let event = MemberEvent::CallCompleted {
            number: origin.number,
            sent_at: origin.sent_at,
            reply,
        };
        let actions = node.table.handle(now, event);
        self.act(origin.node, actions);
    }

    fn deliver(&mut self, to: usize, origin: Origin, message: PeerMessage) {
        let now = self.queue.now;
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        self.next += 1;
        let inbound = InboundCallId(self.next);
        let from = instance(origin.node);
        node.inbound.insert(inbound, origin);
        let event = match message {
            PeerMessage::Probe(gossip) => MemberEvent::ProbeReceived {
                inbound,
                from,
                gossip,
            },
            PeerMessage::IndirectProbe(target, gossip) => {
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
        self.act(to, actions);
    }

    fn act(&mut self, index: usize, actions: Vec<MemberAction>) {
        let now = self.queue.now;
        for action in actions {
            match action {
                MemberAction::Call {
                    number,
                    to,
                    message,
                    timeout,
                    ..
                } => {
                    self.nodes[index].messages += 1;
                    let origin = Origin {
                        node: index,
                        life: self.nodes[index].life,
                        number,
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

    fn check_size(&mut self, reply: &PeerReply) {
        if let PeerReply::Ack(gossip) = reply
            && (gossip.updates.len() > UPDATES_MAX
                || gossip.engines.len() > SUMMARIES_MAX)
        {
            self.violation.get_or_insert("message is too large".into());
        }
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn(usize) -> Event) {
        let (border, until) = self.split;
        if self.queue.now < until && (from < border) != (to < border) {
            return;
        }
        let copies = if self.calm {
            1
        } else {
            1 + usize::from(self.queue.chance(5))
                - usize::from(self.queue.chance(5))
        };
        for _ in 0..copies {
            let late = !self.calm && self.queue.chance(5);
            let longest = if late { 1_500 } else { 10 };
            let delay = self.queue.delay(1, longest);
            self.queue.push_in(delay, event(to));
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.queue.now;
        let count = self.nodes.len();
        match fault {
            Fault::Crash(index, time) => {
                let index = index % count;
                let node = &mut self.nodes[index];
                if node.up {
                    node.up = false;
                    node.life += 1;
                    node.answered = None;
                    node.answer_read = None;
                    let restart = Event::Restart(index);
                    self.queue.push_in(millis(time), restart);
                }
            }
            Fault::Pause(index, time) => {
                self.nodes[index % count].paused_until =
                    now.after(millis(time));
            }
            Fault::Partition(border, time) => {
                self.split = (border % count, now.after(millis(time)));
            }
        }
    }

    /// Instances whose view does not name exactly the others as alive.
    fn diverging(&self) -> Vec<usize> {
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

    /// Guards against views that stay apart after faults, and against an
    /// instance that acts as owner on answers that waited while it was paused.
    #[test]
    fn test_property_converges_and_owns_on_evidence(
        seed in any::<u64>(),
        count in 2..6usize,
        faults in prop::collection::vec((0..FAULT_TIME_MS, any_fault()), 0..10),
    ) {
        let mut world = World::new(seed, count);
        for (at, fault) in faults {
            world.queue.push_in(millis(at), Event::Fault(fault));
        }
        world.run(millis(FAULT_TIME_MS + 10_000));
        world.calm = true;
        world.run(millis(15_000));
        prop_assert_eq!(world.violation.clone(), None);
        prop_assert_eq!(world.diverging(), Vec::<usize>::new());
        let now = world.queue.now;
        prop_assert!(world.nodes.iter().all(|n| n.table.may_act_as_owner(now)));
    }
}

/// Shows that the property above catches evidence that counts from the moment
/// at which an answer is read.
#[test]
fn test_evidence_by_reading_time_outlives_pause() {
    let mut world = World::new(1, 3);
    world.calm = true;
    for at in 0..40 {
        let pause = Event::Fault(Fault::Pause(0, 2_000));
        world.queue.push_in(millis(2_000 + at * 3_001), pause);
    }
    world.run(millis(120_000));
    assert!(world.naive_violated);
    assert_eq!(world.violation, None);
}

fn line(index: usize) -> ListedProcess {
    ListedProcess {
        id: instance(index).as_str().into(),
        kind: ProcessKind::Instance,
        address: address(index),
        failure_domain: "d0".parse().unwrap(),
        leaving: false,
    }
}

fn world_with_list(count: usize) -> World {
    let mut world = World::new(7, count);
    world.calm = true;
    let now = world.queue.now;
    for node in &mut world.nodes {
        let lines = (0..count).map(line).collect();
        node.table.handle(now, MemberEvent::InstancesListed(lines));
    }
    world
}

fn messages_per_second(count: usize) -> f64 {
    let mut world = world_with_list(count);
    world.run(millis(20_000));
    assert!(world.diverging().is_empty(), "{count} do not converge");
    world.nodes.iter_mut().for_each(|node| node.messages = 0);
    world.run(millis(10_000));
    let sent: u64 = world.nodes.iter().map(|node| node.messages).sum();
    sent as f64 / count as f64 / 10.0
}

/// Guards against a cost per instance that grows with the fleet. All-to-all
/// heartbeats would send 2 x 199 messages a period with 200 instances.
#[test]
fn test_cost_is_constant() {
    let few = messages_per_second(7);
    let more = messages_per_second(50);
    let many = messages_per_second(200);
    assert!(more <= few * 1.2 && many <= few * 1.2);
    assert!(few <= 8.0);
}

/// Guards against a crashed instance that stays in the view, and against a
/// planned stop that counts as a loss.
#[test]
fn test_dead_and_leaving_are_told_apart() {
    let mut world = World::new(3, 4);
    world.calm = true;
    world.run(millis(5_000));
    world.nodes[3].table.leave();
    assert!(!world.nodes[3].table.may_act_as_owner(world.queue.now));
    world.run(millis(3_000));
    let owners = world.nodes[0].table.owner_candidates();
    assert!(!owners.contains_key(&instance(3)));
    world.fault(Fault::Crash(2, 3_600_000));
    world.fault(Fault::Crash(3, 3_600_000));
    world.run(millis(10_000));
    let table = &world.nodes[0].table;
    let dead = |index| table.members()[&instance(index)].update.state;
    assert_eq!(dead(2), MemberState::Dead);
    assert_eq!(dead(3), MemberState::Dead);
    let known = table.alive_within(world.queue.now, millis(600_000));
    assert!(known.contains(&instance(2)) && !known.contains(&instance(3)));
    world.run(millis(601_000));
    assert_eq!(world.nodes[0].table.members().len(), 1);
}

/// Guards against an instance that is cut off and takes itself for the only
/// one, and against a fleet of one that cannot own anything.
#[test]
fn test_only_instance_needs_seeds_and_list() {
    let now = Timestamp::new(3_600_000_000);
    let mut table = MemberTable::new(setup(0, now));
    assert!(!table.may_act_as_owner(now), "a seed names another");
    table.handle(now, MemberEvent::InstancesListed(vec![line(0), line(1)]));
    assert!(!table.may_act_as_owner(now), "the list names another");
    table.handle(now, MemberEvent::InstancesListed(vec![line(0)]));
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

/// Guards against summaries that never reach others because a message has
/// room for only some of them.
#[test]
fn test_summaries_rotate() {
    let mut world = World::new(5, 2);
    world.calm = true;
    world.run(millis(2_000));
    let summary = |n: usize| EngineSummary {
        engine: format!("e{n}").parse().unwrap(),
        headroom: TokenCount::ZERO,
        free_slots: 0,
        leaving: false,
        wait: Duration::ZERO,
        takes_long: false,
    };
    let facts = LocalStatus {
        applied: Some(LogOffset::new(4)),
        engines: (0..40).map(summary).collect(),
        ..LocalStatus::default()
    };
    world.nodes[0].table.set_local_status(facts);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let now = world.queue.now;
        let actions = world.nodes[0].table.request_gossip(now, &[instance(1)]);
        let MemberAction::Call { message, .. } = &actions[0] else {
            panic!("no message");
        };
        let PeerMessage::Probe(gossip) = message else {
            panic!("no probe");
        };
        seen.extend(gossip.engines.iter().map(|e| e.engine.clone()));
    }
    assert_eq!(seen.len(), 40);
    world.run(millis(2_000));
    let lagging = world.nodes[1].table.instances_behind(LogOffset::new(4));
    assert_eq!(lagging, [instance(1)]);
    let own = "d1".parse().unwrap();
    let callers = world.nodes[1].table.caller_addresses(&own);
    assert_eq!(callers.len(), 1);
}
