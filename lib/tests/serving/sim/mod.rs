//! Several instances and engines in one process, in virtual time.
//!
//! Messages are late, lost or delivered twice; engines restart; ownership
//! moves with both owners active for a while. The simulated shell does what
//! the real one promises: it reports each read once, and writes nothing after
//! an assignment's `send_before`.

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
    refusal::{Refusal, RunState},
    units::{Incarnation, Timestamp, TokenCount, TokenRate},
};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

pub(crate) const MEMORY: u64 = 100_000;
const SLOTS: u32 = 8;
const PREFILL: u64 = 50_000;
const DECODE: u64 = 200;
const TICK_MS: u64 = 5;
/// Interval between two disseminations of summaries.
const SUMMARY_MICROS: u64 = 500_000;
/// Longest time that a request is on its way to an engine.
const WRITE_MS: u64 = 100;

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
    pub(crate) delay_ms: u64,
    pub(crate) loss_percent: u32,
    pub(crate) report_lag_ms: u64,
    pub(crate) pause_ms: u64,
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
    Owns(usize, UpstreamId, usize),
}

pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) descriptors: BTreeMap<RequestId, RequestDescriptor>,
    pub(crate) ends: BTreeMap<RequestId, (Timestamp, Option<Refusal>)>,
    pub(crate) accepted: BTreeSet<RequestId>,
    pub(crate) overcommitted: u32,
    pub(crate) granted: BTreeSet<(usize, u64)>,
    pub(crate) account_exceeded: u32,
    pub(crate) cold_exceeded: u32,
    pub(crate) most_held: BTreeMap<UpstreamId, usize>,
    config: SimConfig,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    engines: BTreeMap<UpstreamId, Engine>,
    queue: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    replies: BTreeMap<u64, (usize, u64)>,
    former: BTreeMap<UpstreamId, (usize, usize)>,
    takeovers: BTreeMap<u64, (usize, UpstreamId)>,
    /// Whether former owners can be asked for their accounts.
    pub(crate) hands_over: bool,
    placed: BTreeMap<RequestId, (u64, Assignment)>,
    pub(crate) fleet: FleetState,
    pub(crate) fresh: bool,
    pub(crate) frozen: bool,
    /// Whether the engines report the rate of a cold engine.
    pub(crate) cold: bool,
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
        memory: TokenCount::new(MEMORY),
        slots: SLOTS,
        prefill_rate: TokenRate::new(PREFILL),
        decode_rate: TokenRate::new(DECODE),
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

impl World {
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
            account_exceeded: 0,
            cold_exceeded: 0,
            most_held: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            instances: (0..config.instances).map(instance).collect(),
            engines,
            queue: BTreeMap::new(),
            sequence: 0,
            replies: BTreeMap::new(),
            former: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            hands_over: true,
            placed: BTreeMap::new(),
            fleet: FleetState::default(),
            fresh: true,
            frozen: false,
            cold: false,
            config,
        }
    }

    pub(crate) fn arrive(
        &mut self,
        at: usize,
        class: PriorityClass,
        prompt: u64,
        output: u64,
        timeout_ms: u64,
    ) -> RequestId {
        self.sequence += 1;
        let name = &self.instances[at].name;
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
        self.owner_event(at, demand);
        self.entry_event(at, EntryEvent::Arrived(descriptor));
        request
    }

    pub(crate) fn caller_gone(&mut self, request: &RequestId) {
        if self.ends.contains_key(request) {
            return;
        }
        let at = self.entry_of(request);
        self.ends.insert(request.clone(), (self.now, None));
        let gone = RequestProgress::CallerDisconnected;
        self.entry_event(at, EntryEvent::Progress(request.clone(), gone));
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

    /// Moves an engine; the new owner learns of it before the old one.
    pub(crate) fn move_owner(
        &mut self,
        number: usize,
        to: usize,
        overlap_ms: u64,
    ) {
        let engine = engine_id(number);
        let initial = number % self.instances.len();
        let known = self.former.get(&engine);
        let old = known.map_or(initial, |(_, new)| *new);
        self.former.insert(engine, (old, to));
        self.post(0, Event::Owns(to, engine_id(number), to));
        for at in (0..self.instances.len()).filter(|at| *at != to) {
            let delay = self.rng.random_range(0..=overlap_ms);
            self.post(delay, Event::Owns(at, engine_id(number), to));
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
        at: usize,
        number: usize,
    ) -> Option<TakeoverState> {
        self.instances[at].owner.takeover(&engine_id(number))
    }

    /// Whether an owner's account has a request.
    pub(crate) fn holds(
        &self,
        at: usize,
        number: usize,
        request: &RequestId,
    ) -> bool {
        let ledger = self.instances[at].owner.ledger(&engine_id(number));
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
        self.instances.iter().map(|at| at.entry.len()).sum()
    }

    /// Checks the account and the cold limit right after a grant.
    fn check_grant(&mut self, at: usize, grant: &Grant) {
        let owner = &self.instances[at].owner;
        let engine = &grant.summary.engine;
        let ledger = owner.ledger(engine).expect("grants come from owners");
        let cold = owner.cold_limit(engine).expect("owners have a limit");
        let held = ledger.reservation_count();
        let limit = cold.tokens(ledger.memory());
        let fits = ledger.used() <= ledger.memory_limit()
            && held <= ledger.slot_limit() as usize;
        let warm = held == 1
            || (held <= cold.requests() as usize && ledger.used() <= limit);
        self.account_exceeded += u32::from(!fits);
        self.cold_exceeded += u32::from(!warm);
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
            if self.now.get().is_multiple_of(SUMMARY_MICROS) {
                self.spread_summaries();
            }
            for at in 0..self.instances.len() {
                let now = self.now;
                let entry = self.with(at, |i, view| i.0.tick(now, view));
                self.entry_actions(at, entry);
                let owner = self.with(at, |i, view| i.1.tick(now, view));
                self.owner_actions(at, owner);
            }
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

    fn with<T>(
        &mut self,
        at: usize,
        act: impl FnOnce((&mut EntryTable, &mut OwnerTable), &FleetView) -> T,
    ) -> T {
        let live_instances = self.instances.len();
        let own_domain: DomainId = id("d");
        let instance = &mut self.instances[at];
        let view = FleetView {
            local_instance: &instance.name,
            local_domain: &own_domain,
            fleet: &self.fleet,
            upstreams: &instance.upstreams,
            owners: &instance.owners,
            live_instances,
            configuration_fresh: self.fresh,
            may_act_as_owner: true,
        };
        act((&mut instance.entry, &mut instance.owner), &view)
    }

    fn entry_event(&mut self, at: usize, event: EntryEvent) {
        let now = self.now;
        let actions = self.with(at, |i, view| i.0.handle(now, event, view));
        self.entry_actions(at, actions);
    }

    fn owner_event(&mut self, at: usize, event: OwnerEvent) {
        let now = self.now;
        let actions = self.with(at, |i, view| i.1.handle(now, event, view));
        self.owner_actions(at, actions);
    }

    fn post(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let due = self.now.after(Duration::from_millis(delay_ms));
        self.queue.insert((due, self.sequence), event);
    }

    fn send(&mut self, event: Event) {
        if self.rng.random_range(0..100) < self.config.loss_percent {
            return;
        }
        let delay = self.rng.random_range(0..=self.config.delay_ms);
        if self.rng.random_range(0..100) < self.config.loss_percent {
            self.post(delay * 3, event.clone());
        }
        self.post(delay, event);
    }

    fn instance_of(&self, name: &InstanceId) -> usize {
        let found = self.instances.iter().position(|at| at.name == *name);
        found.expect("all instances are known")
    }

    fn entry_of(&self, request: &RequestId) -> usize {
        let name = request.entry_instance().expect("ids have this form");
        self.instance_of(&name)
    }

    fn fail(
        &mut self,
        request: &RequestId,
        engine: &UpstreamId,
        failure: StreamFailure,
    ) {
        // A failed stream writes nothing more; a replaced one is not reported.
        let current = self.placed.get(request).is_some_and(|(_, placed)| {
            placed.engines.iter().any(|at| at.engine == *engine)
        });
        if !current {
            return;
        }
        self.placed.remove(request);
        let progress = RequestProgress::Failed {
            engine: engine.clone(),
            failure,
            delivered: TokenCount::ZERO,
        };
        let at = self.entry_of(request);
        let event = EntryEvent::Progress(request.clone(), progress);
        self.post(1, Event::Entry(at, event));
    }

    fn entry_actions(&mut self, at: usize, actions: Vec<EntryAction>) {
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
                    self.replies.insert(response_id, (at, sequence));
                    let from = self.instances[at].name.clone();
                    let event = OwnerEvent::GrantRequested {
                        from,
                        response_id,
                        grant_request,
                    };
                    let to = self.instance_of(&owner);
                    self.send(Event::Owner(to, event));
                    let late = EntryEvent::GrantAnswered(sequence, None);
                    let wait = timeout.as_millis() as u64;
                    self.post(wait, Event::Entry(at, late));
                }
                EntryAction::Notify(owner, notice) => {
                    let from = self.instances[at].name.clone();
                    let to = self.instance_of(&owner);
                    let event = OwnerEvent::Noticed(from, notice);
                    self.send(Event::Owner(to, event));
                }
                EntryAction::CancelAtEngine(engine, request) => {
                    self.send(Event::Cancel(engine, request));
                }
                EntryAction::Decide(request, decision) => {
                    self.decided(at, request, decision);
                }
                _ => {}
            }
        }
    }

    fn decided(
        &mut self,
        at: usize,
        request: RequestId,
        decision: RequestDecision,
    ) {
        match decision {
            RequestDecision::Dispatch(assignment) => {
                self.sequence += 1;
                let dispatch = self.sequence;
                self.placed.insert(request.clone(), (dispatch, assignment));
                let pause = self.rng.random_range(0..=self.config.pause_ms);
                self.post(pause, Event::Write(at, request, dispatch, 0));
            }
            RequestDecision::Resume(_) => {}
            RequestDecision::End(refusal) => {
                self.placed.remove(&request);
                let end = (self.now, Some(refusal));
                assert!(!self.ends.contains_key(&request), "ended twice");
                self.ends.insert(request, end);
            }
        }
    }

    fn owner_actions(&mut self, at: usize, actions: Vec<OwnerAction>) {
        for action in actions {
            match action {
                OwnerAction::Answer {
                    response_id,
                    answer,
                    ..
                } => {
                    let Some((to, sequence)) =
                        self.replies.get(&response_id).copied()
                    else {
                        continue;
                    };
                    if let GrantResponse::Granted(grant) = &answer {
                        // An ask that came twice is booked once.
                        if self.granted.insert((to, sequence)) {
                            self.check_grant(at, grant);
                        }
                    }
                    let event =
                        EntryEvent::GrantAnswered(sequence, Some(answer));
                    self.send(Event::Entry(to, event));
                }
                OwnerAction::RequestHandover(engine) => {
                    let former = self.former.get(&engine);
                    let former =
                        former.filter(|(old, new)| *new == at && *old != at);
                    let former = former.map(|(old, _)| *old);
                    let Some(old) = former.filter(|_| self.hands_over) else {
                        continue;
                    };
                    self.sequence += 1;
                    let response_id = self.sequence;
                    self.takeovers.insert(response_id, (at, engine.clone()));
                    let from = self.instances[at].name.clone();
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
                    let (to, engine) = self.takeovers[&response_id].clone();
                    let event = OwnerEvent::HandoverReceived(engine, answer);
                    self.send(Event::Owner(to, event));
                }
                OwnerAction::ReadLoad(engine) => {
                    let report = self.load(&engine);
                    let event = OwnerEvent::LoadRead(engine, Some(report));
                    self.read(at, event);
                }
                OwnerAction::ReadHeld(engine) => {
                    let state = &self.engines[&engine];
                    let held = state.held.values().map(|held| HeldRequest {
                        attached: self.placed.contains_key(&held.request),
                        ..held.clone()
                    });
                    let report = HeldReport {
                        engine: engine.clone(),
                        incarnation: Incarnation::new(state.incarnation),
                        requests: held.collect(),
                    };
                    let event = OwnerEvent::HeldRead(engine, Some(report));
                    self.read(at, event);
                }
                OwnerAction::CancelAtEngine(engine, request) => {
                    self.send(Event::Cancel(engine, request));
                }
            }
        }
    }
}

/// Requests that were answered whole.
pub(crate) fn answered(world: &World) -> usize {
    let ends = world.ends.values();
    ends.filter(|(_, refusal)| refusal.is_none()).count()
}

/// Refusals that say `not_run` of requests that an engine took.
pub(crate) fn untrue(world: &World) -> Vec<&RequestId> {
    let untrue = |(request, (_, refusal)): &(&RequestId, &(_, _))| {
        let refusal: &Option<Refusal> = refusal;
        let not_run = refusal
            .as_ref()
            .is_some_and(|refusal| refusal.run_state == RunState::NotRun);
        not_run && world.accepted.contains(*request)
    };
    world.ends.iter().filter(untrue).map(|(id, _)| id).collect()
}
