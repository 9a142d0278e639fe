//! The configuration on several instances under truncation and outages of the
//! log, lost and late responses, and restarts; and the freshness of it.

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
/// Short, so that the log drops records many times within one case.
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
    ReadLog(usize, u64, Timestamp, LogOffset),
    Reader(usize, u64, ReaderEvent),
    Append(serde_json::Value),
}

struct Node {
    process: u64,
    paused_until: Timestamp,
    reader: ConfigReader,
}

struct ConfigSimulation {
    queue: EventQueue<Event>,
    log: LogModel,
    /// States after each number of records, as of a reader that misses none.
    states: Vec<FleetState>,
    log_up_at: Timestamp,
    nodes: Vec<Node>,
    snapshots: bool,
    reliable: bool,
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

impl ConfigSimulation {
    fn new(seed: u64, count: usize, snapshots: bool) -> Self {
        let node = |index| Node {
            process: 0,
            paused_until: Timestamp::ZERO,
            reader: ConfigReader::new(index as u64),
        };
        let mut simulation = Self {
            queue: EventQueue::new(seed),
            log: LogModel::new(RETENTION),
            states: vec![FleetState::default()],
            log_up_at: Timestamp::ZERO,
            nodes: (0..count).map(node).collect(),
            snapshots,
            reliable: false,
            orders: 0,
        };
        for index in 0..count {
            simulation.set_peers(index);
            simulation.queue.push_in(millis(0), Event::Tick(index, 0));
        }
        simulation
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
                Event::Tick(to, process) | Event::Reader(to, process, _) => {
                    Some((*to, *process))
                }
                _ => None,
            };
            if let Some((to, process)) = target {
                let node = &self.nodes[to];
                if node.paused_until > self.queue.now {
                    self.queue.push(node.paused_until, event);
                    continue;
                }
                if node.process != process {
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
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Order => self.submit_order(),
            Event::Tick(index, _) => {
                let actions = self.nodes[index].reader.tick(now);
                self.perform(index, actions);
            }
            Event::Reader(index, _, event) => {
                let actions = self.nodes[index].reader.handle(now, event);
                self.perform(index, actions);
            }
            Event::Append(value) => self.append(value),
            Event::ReadLog(index, process, sent_at, from) => {
                self.log.expire(now);
                let page: Result<RecordPage, _> = if now < self.log_up_at {
                    Err(failure())
                } else {
                    Ok(self.log.read(now, from, 4))
                };
                let result = page;
                let read = ReaderEvent::Read { sent_at, result };
                let copies =
                    1 + usize::from(!self.reliable && self.queue.chance(5));
                for _ in 0..copies {
                    let delay = self.delay();
                    let event = Event::Reader(index, process, read.clone());
                    self.queue.push_in(delay, event);
                }
            }
        }
    }

    fn delay(&mut self) -> Duration {
        let late = !self.reliable && self.queue.chance(5);
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

    fn submit_order(&mut self) {
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

    fn perform(&mut self, index: usize, actions: Vec<ReaderAction>) {
        let now = self.queue.now;
        let process = self.nodes[index].process;
        for action in actions {
            let delay = self.delay();
            match action {
                ReaderAction::Read { from, wait } => {
                    let idle = self.log.head() <= from;
                    let wait = if idle { wait } else { Duration::ZERO };
                    let event = Event::ReadLog(index, process, now, from);
                    self.queue.push_in(wait + delay, event);
                }
                ReaderAction::AskPeer { peer, query, .. } => {
                    let nodes = 0..self.nodes.len();
                    let to = nodes.into_iter().find(|i| instance(*i) == peer);
                    let reader = &self.nodes[to.unwrap()].reader;
                    let answer = reader.answer_state(&query, None);
                    let lost = !self.reliable && self.queue.chance(10);
                    let answer: Option<FetchStateResponse> = Some(answer);
                    let answer = answer.filter(|_| !lost);
                    let event = ReaderEvent::PeerState { peer, answer };
                    let event = Event::Reader(index, process, event);
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
            self.queue.push(at, Event::Tick(index, process));
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.queue.now;
        let count = self.nodes.len();
        match fault {
            Fault::Crash(index) => self.crash(index % count),
            Fault::CrashAll => (0..count).for_each(|index| self.crash(index)),
            Fault::Pause(index, time) => {
                self.nodes[index % count].paused_until =
                    now.after(millis(time));
            }
            // A fleet that restarts in an outage loses its configuration if
            // the log drops the newest snapshot before the outage ends.
            Fault::LogDown(time) => self.log_up_at = now.after(millis(time)),
        }
    }

    fn crash(&mut self, index: usize) {
        let process = self.nodes[index].process + 1;
        self.nodes[index] = Node {
            process,
            paused_until: Timestamp::ZERO,
            reader: ConfigReader::new(process * 100 + index as u64),
        };
        self.set_peers(index);
        self.queue.push_in(millis(0), Event::Tick(index, process));
    }

    fn schedule_load(&mut self, faults: Vec<(u64, Fault)>) {
        self.submit_order();
        for (at, fault) in faults {
            self.queue.push_in(millis(at), Event::Fault(fault));
        }
        for _ in 0..40 {
            let delay = self.queue.delay(0, FAULT_TIME_MS);
            self.queue.push_in(delay, Event::Order);
        }
    }

    fn lagging_nodes(&self) -> usize {
        let newest = self.states.last().unwrap();
        let lags = |node: &&Node| {
            !node.reader.is_ready() || node.reader.state().as_ref() != newest
        };
        self.nodes.iter().filter(lags).count()
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

    /// Guards against states that differ at the same offset, against a version
    /// that decreases, and against accepted orders that are lost when the log
    /// drops their records.
    #[test]
    fn test_property_orders_survive_truncation(
        seed in any::<u64>(),
        count in 2..6usize,
        faults in prop::collection::vec((0..FAULT_TIME_MS, any_fault()), 0..12),
    ) {
        let mut simulation = ConfigSimulation::new(seed, count, true);
        simulation.schedule_load(faults);
        simulation.run(millis(FAULT_TIME_MS))?;
        simulation.reliable = true;
        simulation.run(millis(20_000))?;
        // Without new snapshots all readers can reach the head of the log.
        simulation.snapshots = false;
        simulation.run(millis(1_000))?;
        prop_assert_eq!(simulation.lagging_nodes(), 0);
        let is_snapshot = |r: &&LogRecord| r.value["record"] == "snapshot";
        let records = simulation.log.records.iter();
        let snapshots = records.filter(is_snapshot).count();
        // In 60 s at most one every 3 s from each instance.
        prop_assert!(snapshots <= 20 * count, "{} snapshots", snapshots);
    }
}

/// Checks that the property above fails for a log without snapshots.
#[test]
fn test_without_snapshots_orders_are_lost() {
    let mut simulation = ConfigSimulation::new(1, 3, false);
    simulation.schedule_load(vec![(30_000, Fault::CrashAll)]);
    simulation.run(millis(FAULT_TIME_MS)).unwrap();
    simulation.reliable = true;
    simulation.run(millis(20_000)).unwrap();
    assert_eq!(simulation.lagging_nodes(), 3);
}

/// Guards against an instance that cannot start while the log is down, and
/// against one that becomes ready with a part of the records.
#[test]
fn test_start_with_log_down() {
    let mut simulation = ConfigSimulation::new(1, 3, true);
    simulation.schedule_load(Vec::new());
    simulation.run(millis(8_000)).unwrap();
    simulation.apply_fault(Fault::LogDown(60_000));
    simulation.apply_fault(Fault::Crash(1));
    simulation.run(millis(6_000)).unwrap();
    assert_eq!(simulation.lagging_nodes(), 0);
    simulation.apply_fault(Fault::CrashAll);
    simulation.run(millis(6_000)).unwrap();
    let ready = simulation.nodes.iter().any(|node| node.reader.is_ready());
    assert!(!ready, "nobody knows the configuration");
    let now = simulation.queue.now;
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

/// Guards against an instance that keeps a core busy while it knows no peer
/// and the log does not respond: a timer that is due and does nothing.
#[test]
fn test_start_without_peers_does_not_spin() {
    let mut reader = ConfigReader::new(0);
    let now = Timestamp::ZERO.after(millis(10));
    reader.tick(now);
    assert!(reader.next_timer() > Some(now));
}

/// Runs a reader whose reads of the log fail, and returns the times, in ms, at
/// which it asked a peer. `answer` decides after how many ms the peer responds
/// with its state; `None` loses the request.
fn run_without_log(
    reader: &mut ConfigReader,
    from_ms: u64,
    until_ms: u64,
    answer: impl Fn(u64) -> Option<u64>,
) -> Vec<u64> {
    let mut answering = ConfigReader::new(9);
    let mut log = LogModel::new(RETENTION);
    log.append(Timestamp::ZERO, vec![serde_json::Value::Null]);
    let page = log.read(Timestamp::ZERO, LogOffset::ZERO, 2);
    let sent_at = Timestamp::ZERO;
    let result = Ok(page);
    answering.handle(Timestamp::ZERO, ReaderEvent::Read { sent_at, result });
    assert!(answering.is_ready());
    let mut events: BTreeMap<(u64, usize), ReaderEvent> = BTreeMap::new();
    let mut asked = Vec::new();
    for time in from_ms..until_ms {
        let now = Timestamp::ZERO.after(millis(time));
        let mut actions = reader.tick(now);
        while let Some(entry) = events.first_entry()
            && entry.key().0 <= time
        {
            actions.extend(reader.handle(now, entry.remove()));
        }
        for (index, action) in actions.into_iter().enumerate() {
            match action {
                ReaderAction::Read { .. } => {
                    let sent_at = now;
                    let result = Err(failure());
                    let read = ReaderEvent::Read { sent_at, result };
                    events.insert((time + 1, index), read);
                }
                ReaderAction::AskPeer { peer, query, .. } => {
                    asked.push(time);
                    let Some(delay) = answer(time) else { continue };
                    let answer = Some(answering.answer_state(&query, None));
                    let state = ReaderEvent::PeerState { peer, answer };
                    events.insert((time + delay, index), state);
                }
                _ => {}
            }
        }
    }
    asked
}

/// Guards against an instance that never becomes ready while the log is down
/// because one request for a peer's state was lost: a later round must not
/// extend the time for which the peer counts as asked.
#[test]
fn test_start_with_log_down_and_lost_request() {
    let mut reader = ConfigReader::new(0);
    reader.set_peers(vec![instance(1)]);
    let late = |time| (time >= 1_000).then_some(1);
    let asked = run_without_log(&mut reader, 0, 20_000, late);
    assert_eq!(asked, [0, 2_000]);
    assert!(reader.is_ready());
}

/// Guards against an instance that never becomes ready while the log is down
/// because its peers respond slowly and out of step, so that it always waits
/// for one of them.
#[test]
fn test_start_with_log_down_and_slow_peers() {
    let mut reader = ConfigReader::new(0);
    reader.set_peers(vec![instance(1)]);
    let mut asked = run_without_log(&mut reader, 0, 900, |_| Some(1_500));
    reader.set_peers(vec![instance(1), instance(2)]);
    let slow = |_| Some(1_500);
    asked.extend(run_without_log(&mut reader, 900, 20_000, slow));
    assert!(reader.is_ready(), "peers asked at {asked:?}");
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

/// Guards against an instance that was paused and acts on old evidence: its
/// own, a late response of the log, or gossip that waited in its sockets.
/// Evidence that counts from its receipt would be fresh.
#[test]
fn test_paused_instance_finds_itself_stale() {
    let start = Timestamp::new(3_600_000_000);
    let mut table = fresh_table(start);
    let last = start.after(millis(2_499));
    assert_eq!(table.freshness(last), Freshness::Confirmed);
    let woken = start.after(millis(10_000));
    assert!(!table.is_fresh(woken));
    table.log_answered(start.after(millis(100)), true);
    table.record_peer_confirmation(
        woken,
        instance(1),
        None,
        &gossip(5, Some(10)),
    );
    let asked_at = Some(start.after(millis(100)));
    table.record_peer_confirmation(
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
    table.record_peer_confirmation(
        woken,
        instance(2),
        Some(woken),
        &gossip(5, Some(10)),
    );
    assert_eq!(table.freshness(woken), Freshness::Confirmed);
}

/// Guards against an instance that stops serving in an outage of the log, and
/// against one that serves with an old configuration because it lags or is
/// connected to a minority only.
#[test]
fn test_log_outage_needs_majority_without_evidence() {
    let start = Timestamp::new(3_600_000_000);
    let now = start.after(millis(20_000));
    let receive = |table: &mut FreshnessTable, index, gossip: Gossip| {
        table.record_peer_confirmation(
            now,
            instance(index),
            Some(now),
            &gossip,
        );
    };
    let mut table = fresh_table(start);
    receive(&mut table, 1, gossip(5, Some(19_000)));
    assert_eq!(table.freshness(now), Freshness::Stale, "two of five");
    receive(&mut table, 2, gossip(4, None));
    assert_eq!(table.freshness(now), Freshness::LogOutage);
    let mut lagging = table.clone();
    receive(&mut lagging, 3, gossip(6, Some(19_000)));
    assert_eq!(lagging.freshness(now), Freshness::Stale);
    lagging.set_applied(Some(LogOffset::new(6)));
    assert_eq!(lagging.freshness(now), Freshness::LogOutage);
    receive(&mut table, 4, gossip(6, Some(100)));
    assert_eq!(table.freshness(now), Freshness::Stale);
    table.set_applied(Some(LogOffset::new(6)));
    assert_eq!(table.freshness(now), Freshness::Confirmed);
    let mut reached = fresh_table(start);
    reached.log_answered(now, false);
    (1..=4).for_each(|index| receive(&mut reached, index, gossip(5, None)));
    assert_eq!(reached.freshness(now), Freshness::Stale, "log is reached");
    let empty = FreshnessTable::new();
    assert_eq!(empty.freshness(now), Freshness::Stale, "no configuration");
}

/// Guards against larger fleets that stop serving in an outage of the log
/// because their regular probes do not reach a majority in time.
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
            table.record_peer_confirmation(
                now,
                peer,
                Some(now),
                &gossip(5, None),
            );
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
