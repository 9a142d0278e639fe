//! Simulation of several instances and engines in one process, in virtual time.
//!
//! Messages are delayed, lost or duplicated. Engines restart, and ownership
//! moves while both owners are active for some time. The simulated shell keeps
//! the promises of the real one: it reports each read once, and sends nothing
//! after an assignment's `send_before`.

mod engine;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    api::PriorityClass,
    core::{
        Assignment, PolicyName, RequestDecision, RequestDescriptor,
        RequestProgress, StreamFailure,
    },
    engine_api::{CapabilityReport, HeldReport, HeldRequest},
    entry::{EntryAction, EntryEvent, EntryTable},
    fleet::FleetState,
    fleet_view::{FleetView, UpstreamEntry, UpstreamTable},
    ids::{DomainId, InstanceId, RequestId, UpstreamId},
    owner::{OwnerAction, OwnerEvent, OwnerTable, TakeoverState},
    peer_api::{Grant, GrantResponse},
    planned_stop::StopSchedule,
    refusal::{Refusal, RunState},
    settings::InstanceLimits,
    units::{Incarnation, Timestamp, TokenCount, TokenRate},
};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub(crate) const ENGINE_MEMORY: u64 = 100_000;
const ENGINE_SLOTS: u32 = 8;
const PREFILL_RATE: u64 = 50_000;
const DECODE_RATE: u64 = 200;
const TICK_MS: u64 = 5;
/// Interval between two publications of summaries.
const SUMMARY_INTERVAL_MICROS: u64 = 500_000;
/// Maximum time from the sending of a request to its arrival at an engine.
const SEND_DELAY_MAX_MS: u64 = 100;

pub(crate) fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test ids are valid")
}

#[derive(Clone, Debug)]
pub(crate) struct SimConfig {
    pub(crate) seed: u64,
    pub(crate) policy: PolicyName,
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    pub(crate) message_delay_max_ms: u64,
    /// Percentage of messages that are lost, and of those duplicated.
    pub(crate) loss_percent: u32,
    /// Age of the load that engines report.
    pub(crate) load_report_age_ms: u64,
    /// Maximum time from a dispatch to the start of its sending.
    pub(crate) write_delay_max_ms: u64,
}

struct Engine {
    incarnation: u64,
    held: BTreeMap<RequestId, HeldRequest>,
    busy_until: Timestamp,
}

struct Instance {
    name: InstanceId,
    entry: EntryTable,
    owner: OwnerTable,
    owners: BTreeMap<UpstreamId, InstanceId>,
    upstreams: UpstreamTable,
}

#[derive(Clone, Debug)]
enum Event {
    Owner(usize, OwnerEvent),
    Entry(usize, EntryEvent),
    Write(usize, RequestId, u64, usize),
    Arrive(usize, RequestId, u64, usize),
    FirstChunk(usize, RequestId, UpstreamId, u64),
    End(usize, RequestId, UpstreamId, u64),
    Cancel(UpstreamId, RequestId),
    OwnerChanged(usize, UpstreamId, usize),
}

pub(crate) struct Simulation {
    pub(crate) now: Timestamp,
    pub(crate) descriptors: BTreeMap<RequestId, RequestDescriptor>,
    /// End of each request, with the refusal if it did not complete.
    pub(crate) ends: BTreeMap<RequestId, (Timestamp, Option<Refusal>)>,
    /// Requests that an engine accepted.
    pub(crate) accepted: BTreeSet<RequestId>,
    /// Requests that an engine refused for lack of memory or slots.
    pub(crate) overcommitted: u32,
    /// Grants, by entry instance and sequence number.
    pub(crate) granted: BTreeSet<(usize, u64)>,
    /// Grants after which the ledger exceeded its limits.
    pub(crate) ledger_limit_exceeded: u32,
    /// Grants after which the cold-start limit was exceeded.
    pub(crate) cold_limit_exceeded: u32,
    /// Maximum number of concurrent requests on each engine.
    pub(crate) max_held: BTreeMap<UpstreamId, usize>,
    config: SimConfig,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    engines: BTreeMap<UpstreamId, Engine>,
    queue: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    /// Entry instance and sequence number of each grant request.
    response_routes: BTreeMap<u64, (usize, u64)>,
    /// Former and present owner of each engine that was moved.
    owner_moves: BTreeMap<UpstreamId, (usize, usize)>,
    handover_requests: BTreeMap<u64, (usize, UpstreamId)>,
    /// Whether former owners can be reached for a handover.
    pub(crate) handover_enabled: bool,
    dispatches: BTreeMap<RequestId, (u64, Assignment)>,
    /// Decisions to reconnect to a stream, with the wait before it.
    pub(crate) resumed: Vec<(RequestId, Duration)>,
    pub(crate) fleet: FleetState,
    pub(crate) configuration_fresh: bool,
    /// Whether all reads of engines fail.
    pub(crate) reads_fail: bool,
    /// Whether the engines report the prefill rate of a cold engine.
    pub(crate) engines_cold: bool,
}

pub(crate) fn engine_id(number: usize) -> UpstreamId {
    id(&format!("e{number:04}"))
}

pub(crate) fn capability(
    engine: &UpstreamId,
    incarnation: u64,
) -> CapabilityReport {
    CapabilityReport {
        engine: engine.clone(),
        incarnation: Incarnation::new(incarnation),
        models: vec![id("m")],
        memory: TokenCount::new(ENGINE_MEMORY),
        slots: ENGINE_SLOTS,
        prefill_rate: TokenRate::new(PREFILL_RATE),
        decode_rate: TokenRate::new(DECODE_RATE),
        segments: true,
        checks_fencing: true,
        role: None,
        loading: None,
    }
}

pub(crate) fn upstream(number: usize, incarnation: u64) -> UpstreamEntry {
    let report = capability(&engine_id(number), incarnation);
    UpstreamEntry {
        address: "127.0.0.1:1".parse().expect("constant is an address"),
        domain: id("d"),
        service: None,
        leaving: false,
        capability: Some(Arc::new(report)),
    }
}

impl Simulation {
    pub(crate) fn new(config: SimConfig) -> Self {
        let mut upstreams = UpstreamTable::new();
        let mut owners = BTreeMap::new();
        let mut engines = BTreeMap::new();
        for number in 0..config.engines {
            let engine = engine_id(number);
            upstreams.insert(engine.clone(), upstream(number, 1));
            let owner = id(&format!("i{}", number % config.instances));
            owners.insert(engine.clone(), owner);
            let state = Engine {
                incarnation: 1,
                held: BTreeMap::new(),
                busy_until: Timestamp::ZERO,
            };
            engines.insert(engine, state);
        }
        let instance = |number: usize| Instance {
            name: id(&format!("i{number}")),
            entry: EntryTable::new(
                config.policy,
                Incarnation::new(1),
                config.seed + number as u64,
            ),
            owner: OwnerTable::new(),
            owners: owners.clone(),
            upstreams: upstreams.clone(),
        };
        Self {
            now: Timestamp::new(10_000_000),
            descriptors: BTreeMap::new(),
            ends: BTreeMap::new(),
            accepted: BTreeSet::new(),
            overcommitted: 0,
            granted: BTreeSet::new(),
            ledger_limit_exceeded: 0,
            cold_limit_exceeded: 0,
            max_held: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            instances: (0..config.instances).map(instance).collect(),
            engines,
            queue: BTreeMap::new(),
            sequence: 0,
            response_routes: BTreeMap::new(),
            owner_moves: BTreeMap::new(),
            handover_requests: BTreeMap::new(),
            handover_enabled: true,
            dispatches: BTreeMap::new(),
            resumed: Vec::new(),
            fleet: FleetState::default(),
            configuration_fresh: true,
            reads_fail: false,
            engines_cold: false,
            config,
        }
    }

    pub(crate) fn send_request(
        &mut self,
        index: usize,
        class: PriorityClass,
        prompt: u64,
        output: u64,
        timeout_ms: u64,
    ) -> RequestId {
        self.sequence += 1;
        let name = &self.instances[index].name;
        let sequence = self.sequence;
        let request = RequestId::build(name, Incarnation::new(1), sequence);
        let descriptor = RequestDescriptor {
            request: request.clone(),
            workspace: id("w"),
            model: id("m"),
            class,
            prompt: TokenCount::new(prompt),
            output: TokenCount::new(output),
            prefix: sequence,
            deadline: self.now.after(Duration::from_millis(timeout_ms)),
        };
        self.descriptors.insert(request.clone(), descriptor.clone());
        let demand = OwnerEvent::Arrived(id("m"), descriptor.prompt);
        self.owner_event(index, demand);
        self.entry_event(index, EntryEvent::Arrived(descriptor));
        request
    }

    /// Begins a planned stop of an instance, with a time limit.
    pub(crate) fn begin_stop(&mut self, index: usize, stop_timeout: Duration) {
        let limits = InstanceLimits {
            stop_timeout,
            ..InstanceLimits::default()
        };
        let now = self.now;
        let schedule = StopSchedule::new(now, &limits);
        let actions = self.with_tables(index, |tables, view| {
            tables.0.begin_stop(now, schedule, view)
        });
        self.entry_actions(index, actions);
    }

    pub(crate) fn disconnect_caller(&mut self, request: &RequestId) {
        if self.ends.contains_key(request) {
            return;
        }
        let index = self.entry_instance(request);
        self.ends.insert(request.clone(), (self.now, None));
        let gone = RequestProgress::CallerDisconnected;
        self.entry_event(index, EntryEvent::Progress(request.clone(), gone));
    }

    pub(crate) fn restart_engine(&mut self, number: usize) {
        let engine = engine_id(number);
        let state = self.engines.get_mut(&engine).expect("known engine");
        state.incarnation += 1;
        state.busy_until = self.now;
        let lost = std::mem::take(&mut state.held);
        let incarnation = state.incarnation;
        for request in lost.into_keys() {
            self.fail(&request, &engine, StreamFailure::Interrupted);
        }
        for instance in &mut self.instances {
            let entry = upstream(number, incarnation);
            instance.upstreams.insert(engine.clone(), entry);
        }
    }

    /// Changes the owner of an engine. The new owner changes its view at once,
    /// the other instances within `overlap_ms`.
    pub(crate) fn move_owner(
        &mut self,
        number: usize,
        to: usize,
        overlap_ms: u64,
    ) {
        let engine = engine_id(number);
        let initial = number % self.instances.len();
        let last_move = self.owner_moves.get(&engine);
        let old = last_move.map_or(initial, |(_, new)| *new);
        self.owner_moves.insert(engine, (old, to));
        self.schedule(0, Event::OwnerChanged(to, engine_id(number), to));
        for index in (0..self.instances.len()).filter(|index| *index != to) {
            let delay = self.rng.random_range(0..=overlap_ms);
            self.schedule(
                delay,
                Event::OwnerChanged(index, engine_id(number), to),
            );
        }
    }

    pub(crate) fn set_loss(&mut self, percent: u32) {
        self.config.loss_percent = percent;
    }

    pub(crate) fn held_by(&self, number: usize) -> Vec<RequestId> {
        let held = &self.engines[&engine_id(number)].held;
        held.keys().cloned().collect()
    }

    pub(crate) fn takeover(
        &self,
        index: usize,
        number: usize,
    ) -> Option<TakeoverState> {
        self.instances[index].owner.takeover(&engine_id(number))
    }

    /// Whether the ledger of an instance has a reservation for a request.
    pub(crate) fn has_reservation(
        &self,
        index: usize,
        number: usize,
        request: &RequestId,
    ) -> bool {
        let ledger = self.instances[index].owner.ledger(&engine_id(number));
        ledger.is_some_and(|ledger| ledger.reservation(request).is_some())
    }

    pub(crate) fn held(&self) -> usize {
        self.engines.values().map(|engine| engine.held.len()).sum()
    }

    pub(crate) fn reserved_requests(&self) -> usize {
        let ledgers = self.instances.iter().flat_map(|instance| {
            self.engines
                .keys()
                .filter_map(|engine| instance.owner.ledger(engine))
        });
        ledgers.map(|ledger| ledger.reservation_count()).sum()
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.instances
            .iter()
            .map(|instance| instance.entry.len())
            .sum()
    }

    /// Checks the ledger's limits and the cold-start limit after a grant.
    fn check_grant(&mut self, index: usize, grant: &Grant) {
        let owner = &self.instances[index].owner;
        let engine = &grant.summary.engine;
        let ledger = owner.ledger(engine).expect("grants come from owners");
        let cold_limit = owner.cold_limit(engine).expect("owners have a limit");
        let held = ledger.reservation_count();
        let limit = cold_limit.tokens(ledger.memory());
        let fits = ledger.used() <= ledger.memory_limit()
            && held <= ledger.slot_limit() as usize;
        let warm = held == 1
            || (held <= cold_limit.requests() as usize
                && ledger.used() <= limit);
        self.ledger_limit_exceeded += u32::from(!fits);
        self.cold_limit_exceeded += u32::from(!warm);
    }

    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.now.after(Duration::from_millis(millis));
        while self.now < end {
            self.now = self.now.after(Duration::from_millis(TICK_MS));
            while let Some((&key, _)) = self.queue.first_key_value()
                && key.0 <= self.now
            {
                let event = self.queue.remove(&key).expect("just seen");
                self.deliver(event);
            }
            if self.now.get().is_multiple_of(SUMMARY_INTERVAL_MICROS) {
                self.spread_summaries();
            }
            for index in 0..self.instances.len() {
                let now = self.now;
                let entry =
                    self.with_tables(index, |i, view| i.0.tick(now, view));
                self.entry_actions(index, entry);
                let owner =
                    self.with_tables(index, |i, view| i.1.tick(now, view));
                self.owner_actions(index, owner);
            }
        }
    }

    /// Pauses all processes. Afterwards the timers of the entry side run before
    /// anything that arrived in the meantime is delivered.
    pub(crate) fn pause_for(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
        for index in 0..self.instances.len() {
            let now = self.now;
            let entry = self.with_tables(index, |i, view| i.0.tick(now, view));
            self.entry_actions(index, entry);
        }
    }

    fn spread_summaries(&mut self) {
        for from in 0..self.instances.len() {
            for summary in self.instances[from].owner.summaries(self.now) {
                for to in 0..self.instances.len() {
                    let event = EntryEvent::Summary(summary.clone());
                    self.send(Event::Entry(to, event));
                }
            }
        }
    }

    fn with_tables<T>(
        &mut self,
        index: usize,
        act: impl FnOnce((&mut EntryTable, &mut OwnerTable), &FleetView) -> T,
    ) -> T {
        let live_instances = self.instances.len();
        let own_domain: DomainId = id("d");
        let instance = &mut self.instances[index];
        let view = FleetView {
            local_instance: &instance.name,
            local_domain: &own_domain,
            fleet: &self.fleet,
            upstreams: &instance.upstreams,
            owners: &instance.owners,
            live_instances,
            configuration_fresh: self.configuration_fresh,
            may_act_as_owner: true,
        };
        act((&mut instance.entry, &mut instance.owner), &view)
    }

    fn entry_event(&mut self, index: usize, event: EntryEvent) {
        let now = self.now;
        let actions =
            self.with_tables(index, |i, view| i.0.handle(now, event, view));
        self.entry_actions(index, actions);
    }

    fn owner_event(&mut self, index: usize, event: OwnerEvent) {
        let now = self.now;
        let actions =
            self.with_tables(index, |i, view| i.1.handle(now, event, view));
        self.owner_actions(index, actions);
    }

    fn schedule(&mut self, message_delay_max_ms: u64, event: Event) {
        self.sequence += 1;
        let due = self.now.after(Duration::from_millis(message_delay_max_ms));
        self.queue.insert((due, self.sequence), event);
    }

    fn send(&mut self, event: Event) {
        if self.rng.random_range(0..100) < self.config.loss_percent {
            return;
        }
        let delay = self.rng.random_range(0..=self.config.message_delay_max_ms);
        if self.rng.random_range(0..100) < self.config.loss_percent {
            self.schedule(delay * 3, event.clone());
        }
        self.schedule(delay, event);
    }

    fn instance_of(&self, name: &InstanceId) -> usize {
        let found = self
            .instances
            .iter()
            .position(|instance| instance.name == *name);
        found.expect("all instances are known")
    }

    fn entry_instance(&self, request: &RequestId) -> usize {
        let name = request.entry_instance().expect("ids have this form");
        self.instance_of(&name)
    }

    fn fail(
        &mut self,
        request: &RequestId,
        engine: &UpstreamId,
        failure: StreamFailure,
    ) {
        // A failed stream sends nothing more; a replaced one is not reported.
        let is_current =
            self.dispatches.get(request).is_some_and(|(_, assignment)| {
                assignment
                    .engines
                    .iter()
                    .any(|assigned| assigned.engine == *engine)
            });
        if !is_current {
            return;
        }
        self.dispatches.remove(request);
        let progress = RequestProgress::Failed {
            engine: engine.clone(),
            failure,
            delivered: TokenCount::ZERO,
        };
        let index = self.entry_instance(request);
        let event = EntryEvent::Progress(request.clone(), progress);
        self.schedule(1, Event::Entry(index, event));
    }

    fn entry_actions(&mut self, index: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::RequestGrant {
                    owner,
                    sequence,
                    grant_request,
                    timeout,
                } => {
                    self.sequence += 1;
                    let response_id = self.sequence;
                    self.response_routes.insert(response_id, (index, sequence));
                    let from = self.instances[index].name.clone();
                    let event = OwnerEvent::GrantRequested {
                        from,
                        response_id,
                        grant_request,
                    };
                    let to = self.instance_of(&owner);
                    self.send(Event::Owner(to, event));
                    let late = EntryEvent::GrantAnswered(sequence, None);
                    let wait = timeout.as_millis() as u64;
                    self.schedule(wait, Event::Entry(index, late));
                }
                EntryAction::Notify(owner, notice) => {
                    let from = self.instances[index].name.clone();
                    let to = self.instance_of(&owner);
                    let event = OwnerEvent::Noticed(from, notice);
                    self.send(Event::Owner(to, event));
                }
                EntryAction::CancelAtEngine(engine, request) => {
                    self.send(Event::Cancel(engine, request));
                }
                EntryAction::Decide(request, decision) => {
                    self.apply_decision(index, request, decision);
                }
                _ => {}
            }
        }
    }

    fn apply_decision(
        &mut self,
        index: usize,
        request: RequestId,
        decision: RequestDecision,
    ) {
        match decision {
            RequestDecision::Dispatch(assignment) => {
                self.sequence += 1;
                let dispatch = self.sequence;
                self.dispatches
                    .insert(request.clone(), (dispatch, assignment));
                let pause =
                    self.rng.random_range(0..=self.config.write_delay_max_ms);
                self.schedule(pause, Event::Write(index, request, dispatch, 0));
            }
            RequestDecision::Resume { pause, .. } => {
                self.resumed.push((request, pause));
            }
            RequestDecision::End(refusal) => {
                self.dispatches.remove(&request);
                let end = (self.now, Some(refusal));
                assert!(!self.ends.contains_key(&request), "ended twice");
                self.ends.insert(request, end);
            }
        }
    }

    fn owner_actions(&mut self, index: usize, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Answer {
                    response_id,
                    answer,
                    ..
                } => {
                    let Some((to, sequence)) =
                        self.response_routes.get(&response_id).copied()
                    else {
                        continue;
                    };
                    if let GrantResponse::Granted(grant) = &answer {
                        // A duplicated grant request is granted once.
                        if self.granted.insert((to, sequence)) {
                            self.check_grant(index, grant);
                        }
                    }
                    let event =
                        EntryEvent::GrantAnswered(sequence, Some(answer));
                    self.send(Event::Entry(to, event));
                }
                OwnerAction::RequestHandover(engine) => {
                    let last_move = self.owner_moves.get(&engine);
                    let last_move = last_move
                        .filter(|(old, new)| *new == index && *old != index);
                    let former_owner = last_move.map(|(old, _)| *old);
                    let Some(old) =
                        former_owner.filter(|_| self.handover_enabled)
                    else {
                        continue;
                    };
                    self.sequence += 1;
                    let response_id = self.sequence;
                    self.handover_requests
                        .insert(response_id, (index, engine.clone()));
                    let from = self.instances[index].name.clone();
                    self.send(Event::Owner(
                        old,
                        OwnerEvent::HandoverRequested {
                            from,
                            response_id,
                            engine,
                        },
                    ));
                }
                OwnerAction::AnswerHandover {
                    response_id,
                    answer,
                } => {
                    let (to, engine) =
                        self.handover_requests[&response_id].clone();
                    let event = OwnerEvent::HandoverReceived(engine, answer);
                    self.send(Event::Owner(to, event));
                }
                OwnerAction::ReadLoad(engine) => {
                    let report = self.load(&engine);
                    let event = OwnerEvent::LoadRead(engine, Some(report));
                    self.read(index, event);
                }
                OwnerAction::ReadHeld(engine) => {
                    let state = &self.engines[&engine];
                    let held = state.held.values().map(|held| HeldRequest {
                        attached: self.dispatches.contains_key(&held.request),
                        ..held.clone()
                    });
                    let report = HeldReport {
                        engine: engine.clone(),
                        incarnation: Incarnation::new(state.incarnation),
                        requests: held.collect(),
                    };
                    let event = OwnerEvent::HeldRead(engine, Some(report));
                    self.read(index, event);
                }
                OwnerAction::CancelAtEngine(engine, request) => {
                    self.send(Event::Cancel(engine, request));
                }
            }
        }
    }
}

/// Number of requests that completed.
pub(crate) fn completed_count(simulation: &Simulation) -> usize {
    let ends = simulation.ends.values();
    ends.filter(|(_, refusal)| refusal.is_none()).count()
}

/// Requests refused with `not_run` although an engine accepted them.
pub(crate) fn false_not_run_refusals(
    simulation: &Simulation,
) -> Vec<&RequestId> {
    let is_false_not_run = |(request, (_, refusal)): &(&RequestId, &(_, _))| {
        let refusal: &Option<Refusal> = refusal;
        let not_run = refusal
            .as_ref()
            .is_some_and(|refusal| refusal.run_state == RunState::NotRun);
        not_run && simulation.accepted.contains(*request)
    };
    simulation
        .ends
        .iter()
        .filter(is_false_not_run)
        .map(|(id, _)| id)
        .collect()
}
