//! Operator orders: a report is true at the time of the response.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[expect(dead_code, reason = "this test uses a part")]
mod common;

use std::collections::BTreeMap;

use borageline_lib::{
    core::{CallFailure, InboundCallId},
    fleet::{DrainMode, FleetChange, FleetOrder, FleetState},
    ids::{InstanceId, OrderId},
    membership::{LocalStatus, MemberEvent, MemberSetup, MemberTable},
    order_tracker::{
        OrderAppendId, OrderTracker, OrderTrackerAction, OrderTrackerEvent,
        OrderTrackerView,
    },
    peer_api::{Gossip, MemberState, MemberUpdate, OrderReport},
    platform_api::AppendResponse,
    refusal::{RefusalCode, RunState},
    units::{Incarnation, LogOffset, Timestamp},
};
use common::{EventQueue, LogModel, millis};
use proptest::prelude::*;
use rand::Rng;

const COUNT: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    Submit(usize, FleetOrder),
    AppendToLog(Vec<serde_json::Value>),
    Appended(usize, OrderAppendId, Result<AppendResponse, CallFailure>),
    /// An instance reads and applies the records of the log.
    Read(usize),
    /// An instance receives the applied offset of another.
    ReceiveGossip(usize, usize),
    Tick(usize),
}

struct Node {
    fleet: FleetState,
    members: MemberTable,
    tracker: OrderTracker,
}

struct OrderSimulation {
    queue: EventQueue<Event>,
    log: LogModel,
    log_up_at: Timestamp,
    nodes: Vec<Node>,
    submitted: BTreeMap<InboundCallId, OrderId>,
    reports: Vec<OrderReport>,
    violation: Option<String>,
}

fn instance(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

fn update(index: usize, applied: Option<LogOffset>) -> MemberUpdate {
    MemberUpdate {
        instance: instance(index),
        incarnation: Incarnation::new(1),
        state: MemberState::Alive,
        peer_address: ([10, 0, 0, index as u8], 7_000).into(),
        caller_address: ([10, 0, 0, index as u8], 8_000).into(),
        domain: "d0".parse().unwrap(),
        applied,
    }
}

fn members(index: usize) -> MemberTable {
    let own = update(index, None);
    MemberTable::new(MemberSetup {
        instance: own.instance,
        incarnation: own.incarnation,
        domain: own.domain,
        peer_address: own.peer_address,
        caller_address: own.caller_address,
        seeds: Vec::new(),
        seed: 0,
    })
}

fn order(id: &str, expect: Option<LogOffset>) -> FleetOrder {
    FleetOrder {
        order: id.parse().unwrap(),
        expect_version: expect,
        issued_by: "op".parse().unwrap(),
        changes: vec![FleetChange::CloseDomain {
            domain: format!("d-{id}").parse().unwrap(),
            mode: DrainMode::Finish,
        }],
    }
}

fn failure(run_state: RunState) -> CallFailure {
    let message = "log is down".into();
    CallFailure { run_state, message }
}

impl OrderSimulation {
    fn new(seed: u64) -> Self {
        let node = |index| Node {
            fleet: FleetState::default(),
            members: members(index),
            tracker: OrderTracker::new(),
        };
        let mut simulation = Self {
            queue: EventQueue::new(seed),
            log: LogModel::new(millis(3_600_000)),
            log_up_at: Timestamp::ZERO,
            nodes: (0..COUNT).map(node).collect(),
            submitted: BTreeMap::new(),
            reports: Vec::new(),
            violation: None,
        };
        simulation
            .log
            .append(Timestamp::ZERO, vec![0.into(), 0.into()]);
        for index in 0..COUNT {
            simulation.read(index);
        }
        for (to, from) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
            simulation.receive_gossip(to, from);
            for step in 0..100 {
                let delay =
                    simulation.queue.delay(step * 100, step * 100 + 400);
                simulation
                    .queue
                    .push_in(delay, Event::ReceiveGossip(to, from));
                simulation.queue.push_in(delay, Event::Read(to));
            }
        }
        simulation
    }

    fn run(&mut self, time_ms: u64) {
        let end = self.queue.now.after(millis(time_ms));
        while let Some(event) = self.queue.pop_until(end) {
            match event {
                Event::Submit(to, order) => {
                    let inbound = InboundCallId(self.submitted.len() as u64);
                    self.submitted.insert(inbound, order.order.clone());
                    self.tracker_event(
                        to,
                        OrderTrackerEvent::Submitted(inbound, order),
                    );
                }
                Event::AppendToLog(values) => {
                    self.log.append(self.queue.now, values);
                }
                Event::Appended(to, append, result) => {
                    self.tracker_event(
                        to,
                        OrderTrackerEvent::Appended(append, result),
                    );
                }
                Event::Read(index) => self.read(index),
                Event::ReceiveGossip(to, from) => self.receive_gossip(to, from),
                Event::Tick(index) => self.tick(index),
            }
        }
    }

    fn read(&mut self, index: usize) {
        let now = self.queue.now;
        let node = &mut self.nodes[index];
        let page = self.log.read(now, node.fleet.next_offset(), 100);
        for record in &page.records {
            node.fleet.apply(record);
        }
        node.members.set_local_status(LocalStatus {
            applied: node.fleet.applied,
            ..LocalStatus::default()
        });
        self.tick(index);
    }

    fn receive_gossip(&mut self, to: usize, from: usize) {
        let now = self.queue.now;
        let applied = self.nodes[from].fleet.applied;
        let gossip = Gossip {
            applied,
            confirmed_age: None,
            log_reached: true,
            updates: vec![update(from, applied)],
            engines: Vec::new(),
            capabilities: Vec::new(),
        };
        let event = MemberEvent::ProbeReceived {
            inbound: InboundCallId(0),
            from: instance(from),
            gossip,
        };
        self.nodes[to].members.handle(now, event);
        self.tick(to);
    }

    fn tick(&mut self, index: usize) {
        let now = self.queue.now;
        let log_available = self.queue.now >= self.log_up_at;
        let node = &mut self.nodes[index];
        let view = OrderTrackerView {
            fleet: &node.fleet,
            members: &node.members,
            ready: true,
            log_available,
        };
        let actions = node.tracker.tick(now, view);
        let due = node.tracker.next_timer();
        self.perform(index, actions);
        if let Some(due) = due {
            let due = due.max(now.after(millis(1)));
            self.queue.push(due, Event::Tick(index));
        }
    }

    fn tracker_event(&mut self, index: usize, event: OrderTrackerEvent) {
        let now = self.queue.now;
        let log_available = self.queue.now >= self.log_up_at;
        let node = &mut self.nodes[index];
        let view = OrderTrackerView {
            fleet: &node.fleet,
            members: &node.members,
            ready: true,
            log_available,
        };
        let actions = node.tracker.handle(now, event, view);
        self.perform(index, actions);
        self.tick(index);
    }

    fn perform(&mut self, index: usize, actions: Vec<OrderTrackerAction>) {
        for action in actions {
            match action {
                OrderTrackerAction::Append(append, records) => {
                    self.append(index, append, records);
                }
                OrderTrackerAction::Respond(inbound, report) => {
                    let order = self.submitted[&inbound].clone();
                    assert_eq!(report.order, order);
                    self.check(&report);
                    self.reports.push(report);
                }
                OrderTrackerAction::RequestGossip(_) => {}
            }
        }
    }

    fn append(
        &mut self,
        index: usize,
        append: OrderAppendId,
        records: Vec<serde_json::Value>,
    ) {
        let down = self.queue.now < self.log_up_at;
        let fate = self.queue.rng.random_range(0..10);
        let result = match fate {
            _ if down => Err(failure(RunState::NotRun)),
            0 => Err(failure(RunState::NotRun)),
            1 | 2 => Err(failure(RunState::MayHaveRun)),
            _ => Ok(AppendResponse {
                first_offset: self.log.head(),
                count: records.len() as u64,
            }),
        };
        let refused =
            matches!(&result, Err(f) if f.run_state == RunState::NotRun);
        let late = if fate == 3 { 5_000 } else { 50 };
        if !refused && fate != 2 {
            let delay = self.queue.delay(0, late);
            self.queue.push_in(delay, Event::AppendToLog(records));
        }
        let delay = self.queue.delay(0, late);
        self.queue
            .push_in(delay, Event::Appended(index, append, result));
    }

    /// Checks what can be checked at the time of the response.
    fn check(&mut self, report: &OrderReport) {
        let applied = |offset| {
            let nodes = self.nodes.iter();
            nodes
                .filter(move |node| node.fleet.applied >= offset)
                .count()
        };
        if report.in_force && applied(report.offset) < COUNT {
            let text = format!("{} is not in force", report.order);
            self.violation.get_or_insert(text);
        }
        let truthful = match report.accepted {
            Some(true) => report.run_state == RunState::Ran,
            Some(false) => report.run_state == RunState::NotRun,
            None => report.run_state == RunState::MayHaveRun,
        };
        if !truthful {
            let text = format!("{report:?} contradicts itself");
            self.violation.get_or_insert(text);
        }
    }
}

proptest! {
    #![proptest_config(common::config(96))]

    /// Guards against false reports: the log shows in the end that an order
    /// reported as accepted was not, or the reverse; or an order is reported
    /// as in force before all instances have applied it. Also guards against
    /// an order without a report.
    #[test]
    fn test_property_reports_are_true(
        seed in any::<u64>(),
        submissions in prop::collection::vec(
            (0..6_000u64, 0..COUNT, 0..6u8, any::<bool>()),
            1..12,
        ),
        down_ms in 0..2_000u64,
    ) {
        let mut simulation = OrderSimulation::new(seed);
        simulation.log_up_at = simulation.queue.now.after(millis(down_ms));
        let given = submissions.len();
        for (at, to, id, versioned) in submissions {
            // All orders with an expected version expect the same one.
            let expect = versioned.then_some(LogOffset::ZERO);
            let order = order(&format!("o{id}"), expect);
            simulation.queue.push_in(millis(at), Event::Submit(to, order));
        }
        simulation.run(30_000);
        prop_assert_eq!(simulation.violation, None);
        prop_assert_eq!(simulation.reports.len(), given);
        let fleet = &simulation.nodes[0].fleet;
        let accepted = |id: &OrderId| {
            fleet.outcomes.get(id).is_some_and(|outcome| outcome.accepted)
        };
        // A refusal is about the order as submitted to that instance. The same
        // order may have been submitted to another one, too.
        let alone = |id: &OrderId| {
            let submitted = simulation.submitted.values();
            submitted.filter(|submitted| *submitted == id).count() == 1
        };
        for report in &simulation.reports {
            match report.accepted {
                Some(true) => prop_assert!(accepted(&report.order)),
                Some(false) if alone(&report.order) => {
                    prop_assert!(!accepted(&report.order));
                }
                _ => {}
            }
        }
    }
}

/// Guards against a report that does not name a lagging instance, and against
/// one that waits for that instance forever.
#[test]
fn test_report_names_lagging_instance() {
    let mut simulation = OrderSimulation::new(1);
    let now = simulation.queue.now;
    let node = &mut simulation.nodes[0];
    let record = borageline_lib::fleet::FleetRecord::Order(order("o1", None));
    let value = serde_json::to_value(record).unwrap();
    simulation.log.append(now, vec![value]);
    node.fleet.apply(&simulation.log.records[2]);
    let view = OrderTrackerView {
        fleet: &node.fleet,
        members: &node.members,
        ready: true,
        log_available: true,
    };
    let given =
        OrderTrackerEvent::Submitted(InboundCallId(1), order("o1", None));
    let actions = node.tracker.handle(now, given, view);
    let request =
        OrderTrackerAction::RequestGossip(vec![instance(1), instance(2)]);
    assert_eq!(actions, [request], "an applied order is not appended again");
    let later = now.after(millis(10_000));
    let actions = node.tracker.tick(later, view);
    let report = actions.iter().find_map(|action| match action {
        OrderTrackerAction::Respond(_, report) => Some(report),
        _ => None,
    });
    let report = report.unwrap();
    assert_eq!((report.accepted, report.in_force), (Some(true), false));
    assert_eq!(report.waiting_for, [instance(1), instance(2)]);
    let unknown = node.tracker.report(&"absent".parse().unwrap(), view);
    assert_eq!(unknown.run_state, RunState::MayHaveRun);
}

/// Guards against a report of `not_run` for a repeated order whose first append
/// may have succeeded.
#[test]
fn test_refused_repeat_stays_unknown() {
    let now = Timestamp::new(3_600_000_000);
    let fleet = FleetState::default();
    let members = members(0);
    let view = OrderTrackerView {
        fleet: &fleet,
        members: &members,
        ready: true,
        log_available: true,
    };
    let mut tracker = OrderTracker::new();
    let states = [
        (RunState::MayHaveRun, 0, RunState::MayHaveRun),
        (RunState::NotRun, 10_000, RunState::MayHaveRun),
    ];
    for (failed, at, expected) in states {
        let now = now.after(millis(at));
        let given =
            OrderTrackerEvent::Submitted(InboundCallId(1), order("o1", None));
        let actions = tracker.handle(now, given, view);
        let Some(OrderTrackerAction::Append(append, _)) = actions.first()
        else {
            panic!("no append");
        };
        let appended =
            OrderTrackerEvent::Appended(*append, Err(failure(failed)));
        let mut actions = tracker.handle(now, appended, view);
        actions.extend(tracker.tick(now.after(millis(5_000)), view));
        let Some(OrderTrackerAction::Respond(_, report)) = actions.first()
        else {
            panic!("no answer");
        };
        assert_eq!(report.run_state, expected);
    }
}

/// Guards against an order that is appended while the log is known to be down.
/// Its outcome would be unknown, whereas a refusal can report `not_run`.
#[test]
fn test_order_refused_while_log_is_down() {
    let fleet = FleetState::default();
    let members = members(0);
    let mut tracker = OrderTracker::new();
    let view = OrderTrackerView {
        fleet: &fleet,
        members: &members,
        ready: true,
        log_available: false,
    };
    let given =
        OrderTrackerEvent::Submitted(InboundCallId(1), order("o", None));
    let mut actions = tracker.handle(Timestamp::ZERO, given, view);
    actions.extend(tracker.tick(Timestamp::ZERO, view));
    let [OrderTrackerAction::Respond(_, report)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(report.code, Some(RefusalCode::LogUnavailable));
    assert_eq!(report.run_state, RunState::NotRun);
}
