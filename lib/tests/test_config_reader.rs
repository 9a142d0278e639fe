//! The configuration on several instances under truncation, outages of the
//! log, lost and late answers, and restarts.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::{collections::BTreeMap, time::Duration};

use borageline_lib::{
    config_reader::{ConfigReader, ReaderAction, ReaderEvent},
    core::CallFailure,
    fleet::{DrainMode, FleetChange, FleetOrder, FleetRecord, FleetState},
    freshness::{Freshness, FreshnessTable},
    ids::InstanceId,
    peer_api::{FetchStateResponse, Gossip},
    platform_api::{LogRecord, RecordPage},
    refusal::RunState,
    units::{LogOffset, Timestamp},
};
use common::{EventQueue, LogModel, millis};
use proptest::prelude::*;
use rand::Rng;

const FAULT_TIME_MS: u64 = 40_000;
/// Short, so that records are dropped many times within one case.
const RETENTION: Duration = Duration::from_secs(9);

#[derive(Clone, Debug)]
enum Fault {
    Crash(usize),
    CrashAll,
    Pause(usize, u64),
    LogDown(u64),
}

#[derive(Clone, Debug)]
enum Event {
    Fault(Fault),
    Order,
    Tick(usize, u64),
    Serve(usize, u64, Timestamp, LogOffset),
    Reader(usize, u64, ReaderEvent),
    Append(serde_json::Value),
}

struct Node {
    life: u64,
    paused_until: Timestamp,
    reader: ConfigReader,
}

struct World {
    queue: EventQueue<Event>,
    log: LogModel,
    /// State after each record, by a reader that misses none.
    states: Vec<FleetState>,
    log_up_at: Timestamp,
    nodes: Vec<Node>,
    snapshots: bool,
    calm: bool,
    orders: u64,
}

fn instance(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

fn failure() -> CallFailure {
    CallFailure {
        run_state: RunState::NotRun,
        message: "log is down".into(),
    }
}

impl World {
    fn new(seed: u64, count: usize, snapshots: bool) -> Self {
        let node = |index| Node {
            life: 0,
            paused_until: Timestamp::ZERO,
            reader: ConfigReader::new(index as u64),
        };
        let mut world = Self {
            queue: EventQueue::new(seed),
            log: LogModel::new(RETENTION),
            states: vec![FleetState::default()],
            log_up_at: Timestamp::ZERO,
            nodes: (0..count).map(node).collect(),
            snapshots,
            calm: false,
            orders: 0,
        };
        for index in 0..count {
            world.set_peers(index);
            world.queue.push_in(millis(0), Event::Tick(index, 0));
        }
        world
    }

    fn set_peers(&mut self, index: usize) {
        let all = 0..self.nodes.len();
        let peers = all.filter(|i| *i != index).map(instance).collect();
        self.nodes[index].reader.set_peers(peers);
    }

    fn run(&mut self, time: Duration) -> Result<(), TestCaseError> {
        let end = self.queue.now.after(time);
        while let Some(event) = self.queue.pop_until(end) {
            let target = match &event {
                Event::Tick(to, life) | Event::Reader(to, life, _) => {
                    Some((*to, *life))
                }
                _ => None,
            };
            if let Some((to, life)) = target {
                let node = &self.nodes[to];
                if node.paused_until > self.queue.now {
                    self.queue.push(node.paused_until, event);
                    continue;
                }
                if node.life != life {
                    continue;
                }
            }
            let before = target.map(|t| self.nodes[t.0].reader.state().clone());
            self.step(event);
            if let (Some((to, _)), Some(before)) = (target, before) {
                let state = self.nodes[to].reader.state();
                prop_assert!(state.applied >= before.applied);
                prop_assert!(state.version >= before.version);
                let applied = state.next_offset().get() as usize;
                prop_assert_eq!(&**state, &self.states[applied]);
            }
        }
        Ok(())
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Fault(fault) => self.fault(fault),
            Event::Order => self.order(),
            Event::Tick(index, _) => {
                let actions = self.nodes[index].reader.tick(now);
                self.act(index, actions);
            }
            Event::Reader(index, _, event) => {
                let actions = self.nodes[index].reader.handle(now, event);
                self.act(index, actions);
            }
            Event::Append(value) => self.append(value),
            Event::Serve(index, life, sent_at, from) => {
                self.log.expire(now);
                let page: Result<RecordPage, _> = if now < self.log_up_at {
                    Err(failure())
                } else {
                    Ok(self.log.read(now, from, 4))
                };
                let result = page;
                let read = ReaderEvent::Read { sent_at, result };
                let copies =
                    1 + usize::from(!self.calm && self.queue.chance(5));
                for _ in 0..copies {
                    let delay = self.delay();
                    let event = Event::Reader(index, life, read.clone());
                    self.queue.push_in(delay, event);
                }
            }
        }
    }

    fn delay(&mut self) -> Duration {
        let late = !self.calm && self.queue.chance(5);
        self.queue.delay(0, if late { 4_000 } else { 20 })
    }

    fn append(&mut self, value: serde_json::Value) {
        if self.queue.now >= self.log_up_at {
            self.log.append(self.queue.now, vec![value]);
            let mut state = self.states.last().unwrap().clone();
            state.apply(self.log.records.last().unwrap());
            self.states.push(state);
        }
    }

    fn order(&mut self) {
        self.orders += 1;
        let domain = self.queue.rng.random_range(0..8);
        let version = self.states.last().unwrap().version;
        let expect = self.queue.chance(30).then_some(version);
        let order = FleetOrder {
            order: format!("o{}", self.orders).parse().unwrap(),
            expect_version: expect,
            issued_by: "op".parse().unwrap(),
            changes: vec![FleetChange::CloseDomain {
                domain: format!("d{domain}").parse().unwrap(),
                mode: DrainMode::Finish,
            }],
        };
        let record = FleetRecord::Order(order);
        self.append(serde_json::to_value(record).unwrap());
    }

    fn act(&mut self, index: usize, actions: Vec<ReaderAction>) {
        let now = self.queue.now;
        let life = self.nodes[index].life;
        for action in actions {
            let delay = self.delay();
            match action {
                ReaderAction::Read { from, wait } => {
                    let idle = self.log.head() <= from;
                    let wait = if idle { wait } else { Duration::ZERO };
                    let event = Event::Serve(index, life, now, from);
                    self.queue.push_in(wait + delay, event);
                }
                ReaderAction::AskPeer { peer, query, .. } => {
                    let nodes = 0..self.nodes.len();
                    let to = nodes.into_iter().find(|i| instance(*i) == peer);
                    let reader = &self.nodes[to.unwrap()].reader;
                    let answer = reader.answer_state(&query, None);
                    let lost = !self.calm && self.queue.chance(10);
                    let answer: Option<FetchStateResponse> = Some(answer);
                    let answer = answer.filter(|_| !lost);
                    let event = ReaderEvent::PeerState { peer, answer };
                    let event = Event::Reader(index, life, event);
                    self.queue.push_in(delay, event);
                }
                ReaderAction::AppendSnapshot(value) if self.snapshots => {
                    self.queue.push_in(delay, Event::Append(value));
                }
                _ => {}
            }
        }
        let reader = &self.nodes[index].reader;
        if let Some(at) = reader.next_timer() {
            let at = at.max(now.after(millis(1)));
            self.queue.push(at, Event::Tick(index, life));
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.queue.now;
        let count = self.nodes.len();
        match fault {
            Fault::Crash(index) => self.crash(index % count),
            Fault::CrashAll => (0..count).for_each(|index| self.crash(index)),
            Fault::Pause(index, time) => {
                self.nodes[index % count].paused_until =
                    now.after(millis(time));
            }
            // An outage that outlasts what remains of the newest snapshot
            // cannot be survived by a fleet that restarts in it.
            Fault::LogDown(time) => self.log_up_at = now.after(millis(time)),
        }
    }

    fn crash(&mut self, index: usize) {
        let life = self.nodes[index].life + 1;
        self.nodes[index] = Node {
            life,
            paused_until: Timestamp::ZERO,
            reader: ConfigReader::new(life * 100 + index as u64),
        };
        self.set_peers(index);
        self.queue.push_in(millis(0), Event::Tick(index, life));
    }

    fn load(&mut self, faults: Vec<(u64, Fault)>) {
        self.order();
        for (at, fault) in faults {
            self.queue.push_in(millis(at), Event::Fault(fault));
        }
        for _ in 0..40 {
            let delay = self.queue.delay(0, FAULT_TIME_MS);
            self.queue.push_in(delay, Event::Order);
        }
    }

    fn behind(&self) -> usize {
        let newest = self.states.last().unwrap();
        let behind = |node: &&Node| {
            !node.reader.is_ready() || node.reader.state().as_ref() != newest
        };
        self.nodes.iter().filter(behind).count()
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (0..5usize).prop_map(Fault::Crash),
        1 => Just(Fault::CrashAll),
        2 => (0..5usize, 100..12_000u64).prop_map(|(n, t)| Fault::Pause(n, t)),
        2 => (100..3_000u64).prop_map(Fault::LogDown),
    ]
}

proptest! {
    #![proptest_config(common::config(64))]

    /// Guards against states that differ at the same offset, against versions
    /// that go back, and against accepted orders that are lost when the log
    /// drops their records.
    #[test]
    fn test_property_orders_survive_truncation(
        seed in any::<u64>(),
        count in 2..6usize,
        faults in prop::collection::vec((0..FAULT_TIME_MS, any_fault()), 0..12),
    ) {
        let mut world = World::new(seed, count, true);
        world.load(faults);
        world.run(millis(FAULT_TIME_MS))?;
        world.calm = true;
        world.run(millis(20_000))?;
        // Ends with nothing under way: no snapshot that was just appended.
        world.snapshots = false;
        world.run(millis(1_000))?;
        prop_assert_eq!(world.behind(), 0);
        let is_snapshot = |r: &&LogRecord| r.value["record"] == "snapshot";
        let snapshots = world.log.records.iter().filter(is_snapshot).count();
        // One each 3 s of the 60 s, or one by each instance at most.
        prop_assert!(snapshots <= 20 * count, "{} snapshots", snapshots);
    }
}

/// Shows that the property above catches a configuration without snapshots.
#[test]
fn test_without_snapshots_orders_are_lost() {
    let mut world = World::new(1, 3, false);
    world.load(vec![(30_000, Fault::CrashAll)]);
    world.run(millis(FAULT_TIME_MS)).unwrap();
    world.calm = true;
    world.run(millis(20_000)).unwrap();
    assert_eq!(world.behind(), 3);
}

/// Guards against an instance that cannot start while the log is down, and
/// against one that takes a part of the log for the whole configuration.
#[test]
fn test_start_with_log_down() {
    let mut world = World::new(1, 3, true);
    world.load(Vec::new());
    world.run(millis(8_000)).unwrap();
    world.fault(Fault::LogDown(60_000));
    world.fault(Fault::Crash(1));
    world.run(millis(6_000)).unwrap();
    assert_eq!(world.behind(), 0);
    world.fault(Fault::CrashAll);
    world.run(millis(6_000)).unwrap();
    let ready = world.nodes.iter().any(|node| node.reader.is_ready());
    assert!(!ready, "nobody knows the configuration");
    let now = world.queue.now;
    let mut log = LogModel::new(RETENTION);
    log.append(now, vec![serde_json::Value::Null; 3]);
    let sent_at = now;
    let mut reader = ConfigReader::new(0);
    for result in [Ok(log.read(now, LogOffset::ZERO, 2)), Err(failure())] {
        reader.handle(now, ReaderEvent::Read { sent_at, result });
    }
    reader.tick(now.after(millis(10_000)));
    assert!(reader.state().applied.is_some() && !reader.is_ready());
}

fn gossip(applied: u64, age: Option<u64>) -> Gossip {
    Gossip {
        applied: Some(LogOffset::new(applied)),
        confirmed_age: age.map(millis),
        log_reached: false,
        updates: Vec::new(),
        engines: Vec::new(),
        capabilities: Vec::new(),
    }
}

fn fresh_table(now: Timestamp) -> FreshnessTable {
    let mut table = FreshnessTable::new();
    table.set_recently_alive((1..=4).map(instance).collect());
    table.set_applied(Some(LogOffset::new(5)));
    table.log_answered(now, true);
    table
}

/// Guards against an instance that was paused and acts on old evidence, be it
/// its own, a late answer of the log or gossip that waited in its sockets.
/// Evidence by the time of receipt, the naive rule, would be fresh.
#[test]
fn test_paused_instance_finds_itself_stale() {
    let start = Timestamp::new(3_600_000_000);
    let mut table = fresh_table(start);
    let last = start.after(millis(2_499));
    assert_eq!(table.freshness(last), Freshness::Confirmed);
    let woken = start.after(millis(10_000));
    assert!(!table.is_fresh(woken));
    table.log_answered(start.after(millis(100)), true);
    table.record_peer_evidence(woken, instance(1), None, &gossip(5, Some(10)));
    let asked_at = Some(start.after(millis(100)));
    table.record_peer_evidence(
        woken,
        instance(2),
        asked_at,
        &gossip(5, Some(10)),
    );
    assert!(!table.is_fresh(woken));
    let naive = FreshnessTable::clone(&table);
    let mut naive = naive;
    naive.log_answered(woken, true);
    assert!(naive.is_fresh(woken));
    table.record_peer_evidence(
        woken,
        instance(2),
        Some(woken),
        &gossip(5, Some(10)),
    );
    assert_eq!(table.freshness(woken), Freshness::Confirmed);
}

/// Guards against service that stops in a log outage, and against service on
/// an old configuration by a minority or by an instance that is behind.
#[test]
fn test_log_outage_needs_majority_without_evidence() {
    let start = Timestamp::new(3_600_000_000);
    let now = start.after(millis(20_000));
    let heard = |table: &mut FreshnessTable, index, gossip: Gossip| {
        table.record_peer_evidence(now, instance(index), Some(now), &gossip);
    };
    let mut table = fresh_table(start);
    heard(&mut table, 1, gossip(5, Some(19_000)));
    assert_eq!(table.freshness(now), Freshness::Stale, "two of five");
    heard(&mut table, 2, gossip(4, None));
    assert_eq!(table.freshness(now), Freshness::LogOutage);
    let mut behind = table.clone();
    heard(&mut behind, 3, gossip(6, Some(19_000)));
    assert_eq!(behind.freshness(now), Freshness::Stale);
    behind.set_applied(Some(LogOffset::new(6)));
    assert_eq!(behind.freshness(now), Freshness::LogOutage);
    heard(&mut table, 4, gossip(6, Some(100)));
    assert_eq!(table.freshness(now), Freshness::Stale);
    table.set_applied(Some(LogOffset::new(6)));
    assert_eq!(table.freshness(now), Freshness::Confirmed);
    let mut reached = fresh_table(start);
    reached.log_answered(now, false);
    (1..=4).for_each(|index| heard(&mut reached, index, gossip(5, None)));
    assert_eq!(reached.freshness(now), Freshness::Stale, "log is reached");
    let empty = FreshnessTable::new();
    assert_eq!(empty.freshness(now), Freshness::Stale, "no configuration");
}

/// Guards against an outage of the log that stops larger fleets, whose
/// regular probes reach no majority in time.
#[test]
fn test_peers_are_asked_as_evidence_ages() {
    let start = Timestamp::new(3_600_000_000);
    let mut table = fresh_table(start);
    let known: std::collections::BTreeSet<_> = (1..50).map(instance).collect();
    table.set_recently_alive(known);
    assert!(table.peers_to_ask(start.after(millis(1_000))).is_empty());
    let mut now = start.after(millis(1_300));
    while now < start.after(millis(10_000)) {
        for peer in table.peers_to_ask(now) {
            table.record_peer_evidence(now, peer, Some(now), &gossip(5, None));
        }
        assert!(table.is_fresh(now), "stale at {now}");
        now = now.after(millis(50));
    }
    let asked: BTreeMap<_, _> = table
        .peers_to_ask(now)
        .into_iter()
        .map(|id| (id, ()))
        .collect();
    assert!(asked.len() <= 16);
}
