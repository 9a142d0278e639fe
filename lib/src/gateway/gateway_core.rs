//! The state of one gateway instance and the decisions made from it.
//!
//! Each method takes the time. The binary calls them between its waits, so
//! that no decision sees half of a change.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    dispatch_rate::DispatchRate,
    gateway_settings::GatewaySettings,
    load_table::{InFlightId, LoadTable},
    member_table::{HEARTBEAT_VERSION, Heartbeat, MemberChange, MemberTable},
    placement::{LONG_PREFILL_MIN, Placement, PlacementInputs, PromptSize},
    prefill_gate::{GateDecision, GateInputs, evaluate_gate},
    reader_selection::{ReadSource, ReaderSelector},
    retry_budget::ServiceRetryBudget,
    routing_config::{CallerIdentity, ConfigVersion, RouteSpec, RoutingConfig},
    topic_copy::TopicCopy,
    upstream_table::{UpstreamChange, UpstreamEntry, UpstreamTable},
    wire::StoreTopic,
};
use crate::{
    ids::{DomainId, ServiceName, UpstreamId},
    refusal::{Refusal, RefusalCode},
    units::{Incarnation, Timestamp},
};

/// Shortest wait that a refused caller is told.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Range over which the returns of refused callers are spread.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1_000);
/// Part of the bound on a cold upstream that is used.
const COLD_SHARE: f64 = 0.8;

/// What a request is allowed to do.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedRequest {
    /// Route.
    pub route: Arc<RouteSpec>,
    /// Service that takes it.
    pub service: ServiceName,
    /// Who sends it.
    pub identity: CallerIdentity,
    /// Version that decided it.
    pub version: ConfigVersion,
}

impl AdmittedRequest {
    /// Rank of the request.
    pub fn priority(&self) -> u8 {
        let own = match &self.identity {
            CallerIdentity::Workspace(workspace) => workspace.priority,
            _ => None,
        };
        own.unwrap_or(self.route.priority)
    }
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest<'a> {
    /// What was admitted.
    pub admitted: &'a AdmittedRequest,
    /// Size of the prompt, if it has one.
    pub size: Option<PromptSize>,
    /// Whether its caller has a part of the answer already.
    pub is_resumed: bool,
    /// Whether it asks for a place for the first time.
    pub is_new: bool,
    /// Upstreams that failed it.
    pub excluded: &'a [UpstreamId],
    /// Time since its arrival.
    pub waited: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// Why a request is not sent.
#[derive(Clone, Debug, PartialEq)]
pub enum NotPlaced {
    /// It should be tried again after a pause.
    Defer {
        /// Pause.
        pause: Duration,
        /// Time to read the prompt, on one engine.
        prefill: Duration,
    },
    /// It cannot be served.
    Refused(Refusal),
}

/// A request with its place.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedRequest {
    /// Entry of the upstream that answers.
    pub entry: UpstreamEntry,
    /// Entries of the engines that help, with the memory to reserve.
    pub helpers: Vec<(UpstreamEntry, crate::units::TokenCount)>,
    /// Entry on the load board.
    pub in_flight_id: InFlightId,
    /// Time to the first event that the load suggests.
    pub expected: Duration,
    /// Mean reading that the engines for long prompts had before them.
    pub backlog: Duration,
    /// Whether other instances should receive_heartbeat of it at once.
    pub needs_heartbeat: bool,
    /// Age of the list entry that the choice rests on.
    pub entry_age: Duration,
}

/// State of one instance.
#[derive(Debug)]
pub struct GatewayCore {
    settings: Arc<GatewaySettings>,
    incarnation: Incarnation,
    config: Option<Arc<RoutingConfig>>,
    upstreams_loaded: bool,
    serving: bool,
    upstreams: UpstreamTable,
    load_table: LoadTable,
    retry_budgets: BTreeMap<ServiceName, ServiceRetryBudget>,
    dispatch_rates: BTreeMap<UpstreamId, DispatchRate>,
    members: MemberTable,
    topic_copies: BTreeMap<StoreTopic, TopicCopy>,
    reader_selector: ReaderSelector,
    rng: ChaCha8Rng,
}

impl GatewayCore {
    /// An instance that knows nothing yet.
    pub fn new(
        settings: Arc<GatewaySettings>,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        let mut members = MemberTable::default();
        for seed in &settings.seeds {
            members.add_probe_address(seed.ip());
        }
        Self {
            settings,
            incarnation,
            config: None,
            upstreams_loaded: false,
            serving: true,
            upstreams: UpstreamTable::default(),
            load_table: LoadTable::default(),
            retry_budgets: BTreeMap::new(),
            dispatch_rates: BTreeMap::new(),
            members,
            topic_copies: BTreeMap::new(),
            reader_selector: ReaderSelector::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes over changed settings.
    pub fn apply_settings(&mut self, settings: Arc<GatewaySettings>) {
        for seed in &settings.seeds {
            if seed.ip() != settings.ip {
                self.members.add_probe_address(seed.ip());
            }
        }
        self.settings = settings;
    }

    /// Desired state in force.
    pub fn config(&self) -> Option<&Arc<RoutingConfig>> {
        self.config.as_ref()
    }

    /// Applies a desired state; false if it is not newer.
    pub fn apply_config(&mut self, config: RoutingConfig) -> bool {
        let version = self.config.as_ref().map(|config| config.version);
        if version.is_some_and(|version| version >= config.version) {
            return false;
        }
        self.config = Some(Arc::new(config));
        true
    }

    /// Closes or reopens a failure domain; true if that changes anything.
    pub fn set_closed(&mut self, domain: DomainId, closed: bool) -> bool {
        self.upstreams.set_closed(domain, closed)
    }

    /// Closes exactly these failure domains; returns what has changed.
    pub fn replace_closed(
        &mut self,
        closed: &[DomainId],
    ) -> Vec<(DomainId, bool)> {
        let before = self.upstreams.closed().clone();
        let mut changes = Vec::new();
        for domain in before.iter().filter(|domain| !closed.contains(domain)) {
            self.upstreams.set_closed(domain.clone(), false);
            changes.push((domain.clone(), false));
        }
        for domain in closed {
            if self.upstreams.set_closed(domain.clone(), true) {
                changes.push((domain.clone(), true));
            }
        }
        changes
    }

    /// Replaces the list of upstreams.
    pub fn replace_upstreams(
        &mut self,
        now: Timestamp,
        entries: Vec<UpstreamEntry>,
    ) {
        self.upstreams_loaded = true;
        self.upstreams.replace(now, entries);
    }

    /// Applies one change of the list of upstreams.
    pub fn apply_upstream(&mut self, now: Timestamp, change: UpstreamChange) {
        self.upstreams.apply(now, change);
    }

    /// Notes that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Timestamp) {
        self.upstreams.store_recovered(now);
    }

    /// Copy of a topic, for other instances.
    pub fn topic_copy(&mut self, topic: StoreTopic) -> &mut TopicCopy {
        self.topic_copies.entry(topic).or_default()
    }

    /// Where to read a topic next.
    pub fn read_source(&self, now: Timestamp) -> ReadSource {
        let domain = &self.settings.failure_domain;
        let others = self.members.serving_in(now, domain);
        self.reader_selector.source(now, self.settings.ip, &others)
    }

    /// Notes an instance whose copy of a topic cannot be used for now.
    pub fn exclude_reader(&mut self, now: Timestamp, ip: IpAddr) {
        self.reader_selector.exclude_reader(now, ip);
    }

    /// Some instance that serves, to begin with its copy of a topic.
    pub fn random_serving_peer(&mut self, now: Timestamp) -> Option<IpAddr> {
        let domain = &self.settings.failure_domain;
        let serving = self.members.serving(now, domain);
        serving.choose(&mut self.rng).copied()
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// The load board.
    pub fn load_table(&self) -> &LoadTable {
        &self.load_table
    }

    /// Whether the instance can serve callers.
    pub fn is_ready(&self) -> bool {
        self.serving && self.config.is_some() && self.upstreams_loaded
    }

    /// Notes that a planned stop has begun.
    pub fn begin_stop(&mut self) {
        self.serving = false;
    }

    /// Decides whether a request is allowed, and which service takes it.
    pub fn admit(
        &mut self,
        now: Timestamp,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<AdmittedRequest, Refusal> {
        let Some(config) = self.config.clone() else {
            let text = "the desired state has not been read yet";
            return Err(self.unavailable(RefusalCode::NotReady, text));
        };
        let Some(route) = config.find_route(host, path) else {
            let text = format!("no route for {path} on {host}");
            return Err(Refusal::new(RefusalCode::UnknownPath, text));
        };
        let identity = config.identify(&route, key);
        if identity == CallerIdentity::Unknown {
            let text = "the key is missing or belongs to no workspace";
            return Err(Refusal::new(RefusalCode::Unauthenticated, text));
        }
        let draw = self.rng.random::<f64>();
        let Some(service) = route.pick_service(draw).cloned() else {
            let text = format!("route {} has no service", route.name);
            return Err(self.unavailable(RefusalCode::NoUpstream, &text));
        };
        let bound = self.settings.bounds.retry_limit();
        let window = self.retry_budgets.entry(service.clone()).or_default();
        window.count_request(now, &bound);
        Ok(AdmittedRequest {
            route,
            service,
            identity,
            version: config.version,
        })
    }

    /// Chooses upstreams for a request and counts it there.
    pub fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
    ) -> Result<StartedRequest, NotPlaced> {
        self.upstreams.expire(now);
        let service = &request.admitted.service;
        let Some(spec) = self
            .config
            .as_ref()
            .and_then(|config| config.find_service(service))
            .cloned()
        else {
            let text = format!("service {service} is not configured");
            return Err(self.not_placed(RefusalCode::NoUpstream, &text));
        };
        let instance_count = self.members.instance_count(now);
        let bounds = &self.settings.bounds;
        let cold_bound = (spec.cold_rate * bounds.cold_factor
            + bounds.cold_slack)
            * COLD_SHARE;
        let dispatch_rates = &mut self.dispatch_rates;
        let mut candidates =
            self.upstreams.candidates(now, service, request.excluded);
        if spec.cold_rate > 0.0 {
            let any_warm = candidates.iter().any(|row| !row.is_cold(now));
            candidates.retain(|row| {
                let id = row.entry.id.clone();
                let rate = dispatch_rates.entry(id).or_default();
                let cold = row.is_cold(now);
                // A cold upstream helps only if there is nothing better.
                (!cold || !any_warm)
                    && rate.allows(now, cold_bound, instance_count)
            });
        }
        if let (true, Some(engine), Some(size)) =
            (request.is_new, &spec.engine, request.size)
        {
            let prefill = engine.prefill_time(size.prompt);
            self.load_table.count_arrival(
                now,
                prefill > LONG_PREFILL_MIN,
                prefill,
            );
        }
        let loads = self.load_table.total_loads(now);
        let inputs = PlacementInputs {
            now,
            domain: &self.settings.failure_domain,
            candidates,
            loads: &loads,
            demand: self.load_table.total_demand(now),
        };
        let placed = match (&spec.engine, request.size) {
            (Some(engine), Some(size)) => {
                inputs.place_prompt(engine, size, &mut self.rng)
            }
            _ => inputs.place_plain(&mut self.rng),
        };
        let Some(placed) = placed else {
            let text = if inputs.candidates.is_empty() {
                format!("no upstream of {service} can take the request")
            } else {
                // With engines to choose from, only memory is missing.
                let prompt = request.size.map(|size| size.prompt);
                format!(
                    "the engines of {service} for long prompts have no memory \
                     for a prompt of {}",
                    prompt.unwrap_or_default(),
                )
            };
            return Err(self.not_placed(RefusalCode::NoCapacity, &text));
        };
        let gated = placed.in_flight.long && !request.is_resumed;
        if let (true, Some(engine), Some(size)) =
            (gated, &spec.engine, request.size)
        {
            let prefill = engine.prefill_time(size.prompt);
            self.check_gate(request, &placed, prefill)?;
        }
        Ok(self.start(now, placed))
    }

    /// Holds or refuses a long prompt that should not start now.
    fn check_gate(
        &mut self,
        request: &PlacementRequest<'_>,
        placed: &Placement,
        prefill: Duration,
    ) -> Result<(), NotPlaced> {
        let route = &request.admitted.route;
        let inputs = GateInputs {
            prefill,
            backlog: placed.backlog,
            expected: placed.expected,
            waited: request.waited,
            target: route.target,
            first_event_timeout: route.first_event_timeout(),
        };
        match evaluate_gate(&inputs) {
            GateDecision::Start => Ok(()),
            GateDecision::Defer(pause) if pause < request.time_left => {
                Err(NotPlaced::Defer { pause, prefill })
            }
            GateDecision::Defer(_) | GateDecision::Refuse => {
                let text = format!(
                    "the first event would come after {:?}; the engines have \
                     {:?} to read",
                    request.waited + placed.expected,
                    placed.backlog,
                );
                Err(self.not_placed(RefusalCode::NoCapacity, &text))
            }
        }
    }

    fn not_placed(&mut self, code: RefusalCode, text: &str) -> NotPlaced {
        NotPlaced::Refused(self.unavailable(code, text))
    }

    fn start(&mut self, now: Timestamp, placed: Placement) -> StartedRequest {
        let row = |id: &UpstreamId| {
            self.upstreams
                .get(id)
                .expect("a chosen upstream is in the table")
        };
        let first = row(&placed.upstream);
        let entry_age = now.since(first.read_at);
        let entry = first.entry.clone();
        let helpers = placed
            .helpers
            .iter()
            .map(|part| (row(&part.upstream).entry.clone(), part.reserve))
            .collect();
        self.dispatch_rates
            .entry(entry.id.clone())
            .or_default()
            .count(now);
        let needs_heartbeat = placed.in_flight.in_prefill;
        let in_flight_id = self.load_table.start(placed.in_flight);
        StartedRequest {
            entry,
            helpers,
            in_flight_id,
            expected: placed.expected,
            backlog: placed.backlog,
            needs_heartbeat,
            entry_age,
        }
    }

    /// Notes a long prompt that is held back, by its reading time.
    pub fn defer_prompt(&mut self, prefill: Duration) {
        self.load_table.defer(prefill);
    }

    /// Notes that a long prompt is no longer held back.
    pub fn end_deferral(&mut self, prefill: Duration) {
        self.load_table.end_deferral(prefill);
    }

    /// Notes the first event of an answer.
    pub fn record_first_event(&mut self, in_flight_id: InFlightId) {
        self.load_table.record_first_event(in_flight_id);
    }

    /// Notes the end of a send.
    pub fn finish(&mut self, in_flight_id: InFlightId) {
        self.load_table.finish(in_flight_id);
    }

    /// Notes that an upstream served a request.
    pub fn record_success(&mut self, id: &UpstreamId) {
        self.upstreams.record_success(id);
    }

    /// Notes that an upstream failed; returns how long it is avoided.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
    ) -> Duration {
        self.upstreams.record_failure(now, id)
    }

    /// Notes that another upstream has answered at an upstream's address.
    pub fn mark_displaced(&mut self, id: &UpstreamId) {
        self.upstreams.mark_displaced(id);
    }

    /// Notes an error that an upstream answered with.
    pub fn record_error(&mut self, id: &UpstreamId) {
        self.upstreams.record_error(id);
    }

    /// Whether the retry budget would allow one more send to a service.
    pub fn can_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let bound = self.settings.bounds.retry_limit();
        let instance_count = self.members.instance_count(now);
        let window = self.retry_budgets.entry(service.clone()).or_default();
        window.allows(now, &bound, instance_count)
    }

    /// Counts one more send to a service if the retry budget allows it.
    pub fn spend_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> bool {
        let bound = self.settings.bounds.retry_limit();
        let instance_count = self.members.instance_count(now);
        let window = self.retry_budgets.entry(service.clone()).or_default();
        window.spend(now, &bound, instance_count)
    }

    /// A refusal that asks the caller to come back.
    pub fn unavailable(&mut self, code: RefusalCode, text: &str) -> Refusal {
        let spread = RETRY_AFTER_SPREAD.mul_f64(self.rng.random::<f64>());
        Refusal::new(code, text).with_retry_after(RETRY_AFTER_MIN + spread)
    }

    /// Adds a machine on which an instance may run.
    pub fn add_probe_address(&mut self, ip: IpAddr) {
        if ip != self.settings.ip {
            self.members.add_probe_address(ip);
        }
    }

    /// The heartbeat to send, where to, and the pause until the next.
    pub fn next_heartbeat(
        &mut self,
        now: Timestamp,
    ) -> (Heartbeat, Vec<SocketAddr>, Duration) {
        let own = self.settings.ip;
        let heartbeat = Heartbeat {
            version: HEARTBEAT_VERSION,
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            domain: self.settings.failure_domain.clone(),
            ip: own,
            serving: self.is_ready(),
            alive: self.members.next_advertised(now),
            loads: self.load_table.local_loads(now),
            demand: self.load_table.local_demand(now),
        };
        let targets = self.members.heartbeat_targets(now, own);
        let targets = targets
            .into_iter()
            .map(|ip| self.settings.peer_address_of(ip))
            .collect();
        (heartbeat, targets, self.members.heartbeat_interval(now))
    }

    /// Takes the heartbeat of another instance.
    pub fn receive_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
    ) -> Option<MemberChange> {
        if heartbeat.version != HEARTBEAT_VERSION
            || heartbeat.ip == self.settings.ip
        {
            return None;
        }
        let change =
            self.members
                .receive_heartbeat(now, self.settings.ip, &heartbeat);
        self.load_table.set_report(
            now,
            heartbeat.instance,
            heartbeat.loads,
            heartbeat.demand,
        );
        change
    }

    /// Notes instances that have become silent.
    pub fn expire_members(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let changes = self.members.expire(now);
        for change in &changes {
            if let MemberChange::Silent(instance) = change {
                self.load_table.remove_peer(instance);
            }
        }
        changes
    }

    /// Machines that callers may use, this one first if it serves.
    pub fn serving_addresses(&self, now: Timestamp) -> Vec<IpAddr> {
        let mut machines = Vec::new();
        if self.is_ready() {
            machines.push(self.settings.ip);
        }
        let domain = &self.settings.failure_domain;
        machines.extend(self.members.serving(now, domain));
        machines
    }
}
