//! Orders to engines, sent by two or three instances over a simulated log to
//! simulated engines that check or ignore fencing tokens.

#![expect(
    clippy::unwrap_used,
    reason = "clippy only exempts functions marked as tests"
)]

#[expect(dead_code, reason = "not all that is shared is used here")]
mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    core::CallFailure,
    engine_api::{CapabilityReport, EngineAction, EngineOrder},
    engine_orders::{EngineOrderAction, EngineOrderEvent, EngineOrderTable},
    fleet::{
        FleetChange, FleetOrder, FleetRecord, FleetState, LeaseEntry,
        UpstreamRule,
    },
    fleet_view::{FleetView, UpstreamEntry, UpstreamTable},
    ids::{InstanceId, ModelName, UpstreamId},
    platform_api::{AppendResponse, RecordPage},
    refusal::RunState,
    units::{Incarnation, LogOffset, Timestamp, TokenCount, TokenRate},
};
use common::{EventQueue, LogModel, config, millis};
use proptest::prelude::*;
use rand::Rng;

const ENGINES: usize = 8;
const TICK: Duration = Duration::from_millis(250);
/// Lifetime of the evidence that an instance is still connected, from the
/// sending of the request.
const OWNERSHIP_EVIDENCE_LIFETIME: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    LogRead(usize, Timestamp),
    LogReadEnded(usize, Timestamp, LogAndOwners),
    Append(usize, UpstreamId, FleetRecord),
    Appended(usize, UpstreamId, Result<AppendResponse, CallFailure>),
    Send(usize, UpstreamId, EngineOrder, Timestamp, u64),
    OrderArrived(usize, UpstreamId, EngineOrder, u64),
    SendCompleted(usize, UpstreamId, Result<(), CallFailure>),
    ReadArrived(usize, UpstreamId),
    ReadEnded(usize, UpstreamId, CapabilityReport),
    ReportReceived(usize, CapabilityReport),
    LoadEnded(UpstreamId, ModelName, bool),
    Change(u64),
    ChangeOwners,
}

/// Response of the log, with the owners of the engines at the same time.
#[derive(Clone, Debug)]
struct LogAndOwners {
    page: RecordPage,
    owners: BTreeMap<UpstreamId, InstanceId>,
    epoch: u64,
}

struct Engine {
    report: CapabilityReport,
    checks_fencing: bool,
    highest_token: LogOffset,
    newest_epoch: u64,
}

struct Node {
    id: InstanceId,
    table: EngineOrderTable,
    fleet: FleetState,
    upstreams: UpstreamTable,
    owners: BTreeMap<UpstreamId, InstanceId>,
    epoch: u64,
    confirmed_at: Option<Timestamp>,
    reads_in_flight: BTreeSet<UpstreamId>,
    paused_until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    nodes: usize,
    checks_fencing: bool,
    naive: bool,
    /// Whether responses are lost, loads fail, capability reports arrive late
    /// and an owner is paused.
    faults: bool,
}

struct OrderSimulation {
    setup: Setup,
    queue: EventQueue<Event>,
    log: LogModel,
    engines: BTreeMap<UpstreamId, Engine>,
    nodes: Vec<Node>,
    owners: BTreeMap<UpstreamId, InstanceId>,
    epoch: u64,
    desired_models: BTreeMap<UpstreamId, BTreeSet<ModelName>>,
    changed_at: Timestamp,
    stale_orders: usize,
    peak_loads: usize,
    underserved: Vec<String>,
    /// Number of orders until the first node is paused between the decision on
    /// an order and its sending.
    orders_left: usize,
}

fn engine_id(index: usize) -> UpstreamId {
    format!("e{index}").parse().unwrap()
}

fn model(index: usize) -> ModelName {
    format!("m{}", index % 3).parse().unwrap()
}

fn node_id(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

fn lost_response() -> CallFailure {
    CallFailure {
        run_state: RunState::MayHaveRun,
        message: "no answer".into(),
    }
}

impl OrderSimulation {
    fn new(seed: u64, setup: Setup) -> Self {
        let owner = |e| (engine_id(e), node_id(e % setup.nodes));
        let mut simulation = Self {
            setup,
            queue: EventQueue::new(seed),
            log: LogModel::new(Duration::from_secs(86_400)),
            engines: BTreeMap::new(),
            nodes: Vec::new(),
            owners: (0..ENGINES).map(owner).collect(),
            epoch: 1,
            desired_models: BTreeMap::new(),
            changed_at: Timestamp::ZERO,
            stale_orders: 0,
            peak_loads: 0,
            underserved: Vec::new(),
            orders_left: 0,
        };
        simulation.orders_left = simulation.queue.rng.random_range(1..=6);
        for index in 0..ENGINES {
            let report = CapabilityReport {
                engine: engine_id(index),
                incarnation: Incarnation::new(1),
                models: vec![model(index)],
                memory: TokenCount::new(1),
                slots: 1,
                prefill_rate: TokenRate::new(1),
                decode_rate: TokenRate::new(1),
                segments: false,
                checks_fencing: setup.checks_fencing,
                role: None,
                loading: Some(Vec::new()),
            };
            let engine = Engine {
                report,
                checks_fencing: setup.checks_fencing,
                highest_token: LogOffset::ZERO,
                newest_epoch: 0,
            };
            simulation.engines.insert(engine_id(index), engine);
        }
        for index in 0..setup.nodes {
            let incarnation = Incarnation::new(1);
            let mut upstreams = UpstreamTable::new();
            for engine in simulation.engines.values() {
                upstreams.insert(engine.report.engine.clone(), entry(engine));
            }
            simulation.nodes.push(Node {
                id: node_id(index),
                table: EngineOrderTable::new(incarnation, seed + index as u64),
                fleet: FleetState::default(),
                upstreams,
                owners: simulation.owners.clone(),
                epoch: 1,
                confirmed_at: None,
                reads_in_flight: BTreeSet::new(),
                paused_until: Timestamp::ZERO,
            });
            simulation.queue.push_in(millis(10), Event::Tick(index));
        }
        simulation.change(0);
        simulation
    }

    /// Changes the desired models: one per engine by its index, and a second
    /// one for some engines.
    fn change(&mut self, shift: u64) {
        let mut changes = vec![FleetChange::SetWeightRate {
            loads_per_minute: None,
            concurrent: 2,
        }];
        for index in 0..ENGINES {
            let mut models = BTreeSet::from([model(index + shift as usize)]);
            if shift > 0 && self.queue.chance(30) {
                models.insert(model(index + shift as usize + 1));
            }
            self.desired_models.insert(engine_id(index), models.clone());
            changes.push(FleetChange::SetUpstream {
                upstream: engine_id(index),
                rule: UpstreamRule {
                    models: Some(models),
                    ..UpstreamRule::default()
                },
            });
        }
        let record = FleetRecord::Order(FleetOrder {
            order: format!("o{shift}").parse().unwrap(),
            expect_version: None,
            issued_by: "root".parse().unwrap(),
            changes,
        });
        let value = serde_json::to_value(record).unwrap();
        self.log.append(self.queue.now, vec![value]);
        self.changed_at = self.queue.now;
    }

    fn run(&mut self, length: Duration) {
        let start = self.queue.now;
        for (second, shift) in [(20, 1), (45, 2), (60, 3), (64, 4)] {
            let delay = Duration::from_secs(second);
            self.queue.push_in(delay, Event::Change(shift));
        }
        self.run_until(start.after(length));
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some(event) = self.queue.pop_until(end) {
            self.step(event);
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now;
        if let Some(node) = receiver(&event)
            && now < self.nodes[node].paused_until
        {
            let until = self.nodes[node].paused_until;
            return self.queue.push(until, event);
        }
        let faulty = self.setup.faults;
        let lossy = u32::from(faulty) * 10;
        match event {
            Event::Tick(node) => {
                self.drive(node, None);
                let delay = self.queue.delay(1, 100);
                self.queue.push_in(delay, Event::LogRead(node, now));
                self.queue.push_in(TICK, Event::Tick(node));
            }
            Event::LogRead(node, sent_at) => {
                let from = self.nodes[node].fleet.next_offset();
                let latest = LogAndOwners {
                    page: self.log.read(now, from, 100),
                    owners: self.owners.clone(),
                    epoch: self.epoch,
                };
                let delay = self.queue.delay(1, 100);
                let answer = Event::LogReadEnded(node, sent_at, latest);
                self.queue.push_in(delay, answer);
            }
            Event::LogReadEnded(node, sent_at, latest) => {
                let node = &mut self.nodes[node];
                for record in &latest.page.records {
                    node.fleet.apply(record);
                }
                if node.fleet.next_offset() >= latest.page.head {
                    node.confirmed_at = node.confirmed_at.max(Some(sent_at));
                }
                if latest.epoch >= node.epoch {
                    (node.owners, node.epoch) = (latest.owners, latest.epoch);
                }
            }
            Event::Append(node, engine, record) => {
                let value = serde_json::to_value(record).unwrap();
                let answer = self.log.append(now, vec![value]);
                let lost = self.queue.chance(lossy);
                let result = if lost {
                    Err(lost_response())
                } else {
                    Ok(answer)
                };
                let delay = self.queue.delay(1, 300);
                self.queue
                    .push_in(delay, Event::Appended(node, engine, result));
            }
            Event::Appended(node, engine, result) => {
                self.drive(
                    node,
                    Some(EngineOrderEvent::LeaseClaimAppended(engine, result)),
                );
            }
            Event::Send(node, engine, order, until, epoch) => {
                if now < until || self.setup.naive {
                    let slow = self.queue.chance(20);
                    let most = if slow { 4_900 } else { 500 };
                    let delay = self.queue.delay(1, most);
                    let arrive =
                        Event::OrderArrived(node, engine, order, epoch);
                    self.queue.push_in(delay, arrive);
                } else {
                    let failure = CallFailure {
                        run_state: RunState::NotRun,
                        ..lost_response()
                    };
                    let event =
                        EngineOrderEvent::SendCompleted(engine, Err(failure));
                    self.drive(node, Some(event));
                }
            }
            Event::OrderArrived(node, engine, order, epoch) => {
                let accepted = self.apply_order(&engine, order, epoch);
                let lost = !accepted || self.queue.chance(lossy);
                let result = if lost { Err(lost_response()) } else { Ok(()) };
                let delay = self.queue.delay(1, 100);
                self.queue
                    .push_in(delay, Event::SendCompleted(node, engine, result));
            }
            Event::SendCompleted(node, engine, result) => {
                self.drive(
                    node,
                    Some(EngineOrderEvent::SendCompleted(engine, result)),
                );
            }
            Event::ReadArrived(node, engine) => {
                let report = self.engines[&engine].report.clone();
                let delay = self.queue.delay(1, 50);
                let answer = Event::ReadEnded(node, engine, report);
                self.queue.push_in(delay, answer);
            }
            Event::ReadEnded(node, engine, report) => {
                self.nodes[node].reads_in_flight.remove(&engine);
                for other in 0..self.nodes.len() {
                    let late = faulty && other != node;
                    let delay = self.queue.delay(0, u64::from(late) * 1_000);
                    self.queue.push_in(
                        delay,
                        Event::ReportReceived(other, report.clone()),
                    );
                }
                self.apply_report(node, &report);
                let event = EngineOrderEvent::ReadEnded(engine, Some(report));
                self.drive(node, Some(event));
            }
            Event::ReportReceived(node, report) => {
                self.apply_report(node, &report)
            }
            Event::LoadEnded(engine, model, loaded) => {
                let report = &mut self.engines.get_mut(&engine).unwrap().report;
                report.loading = Some(Vec::new());
                if loaded && !report.models.contains(&model) {
                    report.models.push(model);
                }
            }
            Event::Change(shift) => self.change(shift),
            Event::ChangeOwners => {
                self.epoch += 1;
                let others = self.setup.nodes - 1;
                for (index, owner) in self.owners.values_mut().enumerate() {
                    if *owner == node_id(0) {
                        *owner = node_id(1 + index % others);
                    }
                }
            }
        }
    }

    fn apply_report(&mut self, node: usize, report: &CapabilityReport) {
        let upstreams = &mut self.nodes[node].upstreams;
        let mut entry = upstreams.get(&report.engine).unwrap().clone();
        entry.capability = Some(Arc::new(report.clone()));
        upstreams.insert(report.engine.clone(), entry);
    }

    /// Carries an order out at an engine, unless it checks the fencing token
    /// and that is old. Counts orders of a former owner that take effect after
    /// one of a later owner.
    fn apply_order(
        &mut self,
        id: &UpstreamId,
        order: EngineOrder,
        epoch: u64,
    ) -> bool {
        let engine = self.engines.get_mut(id).unwrap();
        if engine.checks_fencing && order.fencing_token < engine.highest_token {
            return false;
        }
        engine.highest_token = engine.highest_token.max(order.fencing_token);
        self.stale_orders += usize::from(epoch < engine.newest_epoch);
        engine.newest_epoch = engine.newest_epoch.max(epoch);
        match order.action {
            EngineAction::LoadModel { model } => {
                engine.report.loading = Some(vec![model.clone()]);
                let loaded = !self.setup.faults || !self.queue.chance(10);
                let delay = self.queue.delay(2_000, 6_000);
                let ended = Event::LoadEnded(id.clone(), model, loaded);
                self.queue.push_in(delay, ended);
                let busy = |engine: &&Engine| {
                    engine
                        .report
                        .loading
                        .as_ref()
                        .is_some_and(|l| !l.is_empty())
                };
                let loads = self.engines.values().filter(busy).count();
                self.peak_loads = self.peak_loads.max(loads);
            }
            EngineAction::UnloadModel { model } => {
                engine.report.models.retain(|loaded| *loaded != model);
                self.check_service(&model);
            }
            EngineAction::SetRole { .. } => {}
        }
        true
    }

    /// Checks that enough engines serve a model. For 8 s after a change one is
    /// enough, since engines then follow the old or the new configuration.
    fn check_service(&mut self, model: &ModelName) {
        let desired = self
            .desired_models
            .values()
            .filter(|set| set.contains(model));
        let settled = self.queue.now.since(self.changed_at) > millis(8_000);
        let half = desired.count().div_ceil(2);
        let min_serving = if settled { half.max(1) } else { 1 };
        let engines = self.engines.values();
        let serving = engines.filter(|e| e.report.models.contains(model));
        let serving = serving.count();
        if serving < min_serving {
            self.underserved
                .push(format!("{model}: {serving} of {min_serving}"));
        }
    }

    fn drive(&mut self, index: usize, event: Option<EngineOrderEvent>) {
        let now = self.queue.now;
        let naive = self.setup.naive;
        let nodes = self.nodes.len();
        let node = &mut self.nodes[index];
        let mut fleet = node.fleet.clone();
        if naive {
            let lease = LeaseEntry {
                holder: node.id.clone(),
                incarnation: Incarnation::new(1),
                token: LogOffset::ZERO,
            };
            let engines = node.owners.keys().cloned();
            fleet.leases = engines.map(|e| (e, lease.clone())).collect();
        }
        let confirmed_at = if naive { Some(now) } else { node.confirmed_at };
        let fresh =
            |limit| confirmed_at.is_some_and(|at| now.since(at) < limit);
        let domain = "d".parse().unwrap();
        let view = FleetView {
            local_instance: &node.id,
            local_domain: &domain,
            fleet: &fleet,
            upstreams: &node.upstreams,
            owners: &node.owners,
            live_instances: nodes,
            configuration_fresh: fresh(millis(2_500)),
            may_act_as_owner: fresh(OWNERSHIP_EVIDENCE_LIFETIME),
        };
        node.table.set_confirmed(confirmed_at);
        for engine in node.table.engines_pending_unload() {
            node.table.set_running_requests(&engine, BTreeSet::new());
        }
        let mut actions = match event {
            Some(event) => node.table.handle(now, event, &view),
            None => node.table.tick(now, &view),
        };
        // The core also reads capabilities at intervals.
        let owned = node.owners.iter().filter(|(_, owner)| **owner == node.id);
        for (engine, _) in owned {
            if self.queue.rng.random_ratio(1, 100) {
                actions
                    .push(EngineOrderAction::ReadCapabilities(engine.clone()));
            }
        }
        for action in actions {
            match action {
                EngineOrderAction::ClaimLease(engine, record) => {
                    let delay = self.queue.delay(1, 300);
                    self.queue
                        .push_in(delay, Event::Append(index, engine, record));
                }
                EngineOrderAction::ReadCapabilities(engine) => {
                    if node.reads_in_flight.insert(engine.clone()) {
                        let event =
                            EngineOrderEvent::ReadStarted(engine.clone());
                        node.table.handle(now, event, &view);
                        let delay = self.queue.delay(1, 50);
                        self.queue
                            .push_in(delay, Event::ReadArrived(index, engine));
                    }
                }
                EngineOrderAction::SendOrder(engine, order, until) => {
                    let delay = self.queue.delay(0, 300);
                    let epoch = node.epoch;
                    let send = Event::Send(index, engine, order, until, epoch);
                    self.queue.push_in(delay, send);
                    if index == 0 && self.setup.faults {
                        self.orders_left = self.orders_left.wrapping_sub(1);
                        if self.orders_left == 0 {
                            let short = self.queue.chance(50);
                            let most = if short { 2_400 } else { 40_000 };
                            let pause = self.queue.delay(500, most);
                            node.paused_until = now.after(pause);
                            let delay = self.queue.delay(200, 1_500);
                            self.queue.push_in(delay, Event::ChangeOwners);
                        }
                    }
                }
                EngineOrderAction::ModelLoaded(..)
                | EngineOrderAction::OrderFailed(..) => {}
            }
        }
    }

    fn unconverged(&self) -> Vec<(UpstreamId, Vec<ModelName>)> {
        let engines = self.engines.iter();
        let differ = engines.filter(|(id, engine)| {
            let models = engine.report.models.iter().cloned().collect();
            self.desired_models[*id] != models
        });
        differ
            .map(|(id, engine)| (id.clone(), engine.report.models.clone()))
            .collect()
    }
}

/// Node that handles an event, which is delayed while the node is paused.
fn receiver(event: &Event) -> Option<usize> {
    match event {
        Event::Tick(node)
        | Event::LogReadEnded(node, ..)
        | Event::Appended(node, ..)
        | Event::Send(node, ..)
        | Event::SendCompleted(node, ..)
        | Event::ReadEnded(node, ..)
        | Event::ReportReceived(node, ..) => Some(*node),
        _ => None,
    }
}

fn entry(engine: &Engine) -> UpstreamEntry {
    UpstreamEntry {
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "d".parse().unwrap(),
        service: None,
        leaving: false,
        capability: Some(Arc::new(engine.report.clone())),
    }
}

fn run(seed: u64, setup: Setup) -> OrderSimulation {
    let mut simulation = OrderSimulation::new(seed, setup);
    simulation.run(Duration::from_secs(900));
    simulation
}

proptest! {
    #![proptest_config(config(32))]

    /// Guards against an owner that was paused and changes an engine after its
    /// successor did, whether or not the engine checks fencing tokens; against
    /// a model that too few engines serve; and against engines that never
    /// reach their desired state.
    #[test]
    fn test_engine_orders_property_paused_holder(
        seed: u64, nodes in 2..=3_usize, checks_fencing: bool,
    ) {
        let setup = Setup { nodes, checks_fencing, naive: false, faults: true };
        let simulation = run(seed, setup);
        prop_assert_eq!(simulation.stale_orders, 0);
        prop_assert_eq!(&simulation.underserved, &Vec::<String>::new());
        prop_assert_eq!(simulation.unconverged(), Vec::new());
    }

    /// Guards against more loads at once than the configuration allows while
    /// all instances have the same view.
    #[test]
    fn test_engine_orders_property_load_cap(
        seed: u64, nodes in 2..=3_usize, checks_fencing: bool,
    ) {
        let setup = Setup { nodes, checks_fencing, naive: false, faults: false };
        let simulation = run(seed, setup);
        let peak_loads = simulation.peak_loads;
        prop_assert!(peak_loads <= 2, "{} loads", peak_loads);
        prop_assert!(simulation.peak_loads > 0);
        prop_assert_eq!(&simulation.underserved, &Vec::<String>::new());
        prop_assert_eq!(simulation.unconverged(), Vec::new());
    }
}

/// Checks that the property above fails, with both kinds of engines, for
/// owners that send orders without a lease and without evidence.
#[test]
fn test_engine_orders_naive_violates() {
    for checks_fencing in [false, true] {
        let violated = (0..20).filter(|seed| {
            let setup = Setup {
                nodes: 2,
                checks_fencing,
                naive: true,
                faults: true,
            };
            run(*seed, setup).stale_orders > 0
        });
        assert!(violated.count() > 0, "checks: {checks_fencing}");
    }
}
