//! State of one gateway instance and the decisions made from it.
//!
//! The core does no I/O and has no clock: every method that depends on time
//! takes it as an argument. The binary calls the methods between its await
//! points, so that each decision sees a consistent state. The tables in the
//! sibling modules own the details; this module combines them.

mod heartbeats;
mod quarantine;
mod request_limits;

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

pub use self::heartbeats::{HeartbeatPlan, HeartbeatReceipt};
use super::{
    cost_model::EngineProfile,
    dispatch_rate::DispatchLimiter,
    engine_limits::EngineLimits,
    gateway_settings::GatewaySettings,
    load_table::{InFlightId, LoadTable},
    member_table::MemberTable,
    placement::{Placement, PlacementInputs, PromptSize, shared_prefill_min},
    prefill_gate::{GateDecision, GateInputs, RECHECK_INTERVAL, evaluate_gate},
    prompt_quarantine::PromptQuarantine,
    reader_selection::{ReadSource, ReaderSelector},
    request_limit::LimitTable,
    retry_budget::ServiceRetryBudget,
    routing_config::{
        CallerIdentity, ConfigVersion, RouteSpec, RoutingConfig, ServiceSpec,
    },
    topic_copy::TopicCopy,
    upstream_table::{
        TrackedUpstream, UpstreamChange, UpstreamEntry, UpstreamTable,
    },
    wire::StoreTopic,
};
use crate::{
    ids::{DomainId, ServiceName, UpstreamId},
    refusal::{Refusal, RefusalCode},
    units::{Incarnation, Timestamp},
};

/// Shortest `Retry-After` of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Range of the random addition to `Retry-After`, which spreads the retries of
/// refused callers.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1_000);
/// Share of a prompt's latency target within which it may wait for memory; it
/// needs the rest for its prefill.
const MEMORY_WAIT_SHARE: f64 = 0.5;
/// Share of the request limit of a cold upstream that is used.
const COLD_SHARE: f64 = 0.8;

/// Longest time for which a prompt waits for memory, given the latency target
/// of its route.
pub fn memory_wait_max(target: Duration) -> Duration {
    target.mul_f64(MEMORY_WAIT_SHARE)
}

/// A request that passed routing and authentication.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedRequest {
    /// Route that matched host and path.
    pub route: Arc<RouteSpec>,
    /// Service that was drawn from the route's traffic split.
    pub service: ServiceName,
    /// Identity of the caller.
    pub identity: CallerIdentity,
    /// Version of the desired state on which the admission is based.
    pub config_version: ConfigVersion,
}

impl AdmittedRequest {
    /// Priority of the request, 0 being the highest: the workspace's if it has
    /// one, otherwise the route's.
    pub fn priority(&self) -> u8 {
        let own = match &self.identity {
            CallerIdentity::Workspace(workspace) => workspace.priority,
            _ => None,
        };
        own.unwrap_or(self.route.priority)
    }
}

/// An admitted request that needs an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRequest<'a> {
    /// Result of the admission.
    pub admitted: &'a AdmittedRequest,
    /// Token counts of the prompt and its answer; `None` for a request without
    /// a prompt.
    pub size: Option<PromptSize>,
    /// Whether the caller already has a part of the answer; such a request is
    /// never deferred.
    pub is_resumed: bool,
    /// Whether this is the request's first placement; only then it counts as
    /// demand.
    pub is_new: bool,
    /// Upstreams that must not get this request again.
    pub excluded: &'a [UpstreamId],
    /// Upstreams on which this request failed; they are used again only if no
    /// other remains.
    pub tried: &'a [UpstreamId],
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// Why no upstream was chosen.
#[derive(Clone, Debug, PartialEq)]
pub enum NotPlaced {
    /// The prompt should not start yet; place it again after the pause.
    Defer {
        /// Time until the next placement.
        pause: Duration,
        /// Prefill time of the whole prompt on one engine.
        prefill: Duration,
    },
    /// The request cannot be served.
    Refused(Refusal),
}

/// A request that was placed and is counted as in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedRequest {
    /// List entry of the upstream that answers.
    pub entry: UpstreamEntry,
    /// List entries of the engines that help with the prefill, with the KV
    /// cache to reserve on each in tokens; zero means no reservation.
    pub helpers: Vec<(UpstreamEntry, crate::units::TokenCount)>,
    /// Id in the load table, to be passed to [`GatewayCore::finish`].
    pub in_flight_id: InFlightId,
    /// Predicted time from now to the first event.
    pub time_to_first_event: Duration,
    /// Mean prefill time that was left on the chosen engines.
    pub backlog: Duration,
    /// Whether a heartbeat should be sent at once, so that other instances
    /// include the request in their placements.
    pub needs_heartbeat: bool,
    /// Time since the upstream's list entry was read.
    pub entry_age: Duration,
}

/// State of one instance.
#[derive(Debug)]
pub struct GatewayCore {
    settings: Arc<GatewaySettings>,
    incarnation: Incarnation,
    config: Option<Arc<RoutingConfig>>,
    /// Whether the list of upstreams was read.
    upstreams_loaded: bool,
    /// Whether new requests are accepted; false once a planned stop has begun.
    serving: bool,
    upstreams: UpstreamTable,
    load_table: LoadTable,
    retry_budgets: BTreeMap<ServiceName, ServiceRetryBudget>,
    dispatch_limiter: DispatchLimiter,
    request_limits: LimitTable,
    members: MemberTable,
    /// Heartbeats sent by this process.
    heartbeats_sent: u64,
    topic_copies: BTreeMap<StoreTopic, TopicCopy>,
    reader_selector: ReaderSelector,
    quarantine: PromptQuarantine,
    rng: ChaCha8Rng,
}

impl GatewayCore {
    /// Creates the state of an instance that has read nothing from the store
    /// yet. `seed` initializes the random number generator.
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
            dispatch_limiter: DispatchLimiter::default(),
            request_limits: LimitTable::default(),
            members,
            heartbeats_sent: 0,
            topic_copies: BTreeMap::new(),
            reader_selector: ReaderSelector::default(),
            quarantine: PromptQuarantine::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the settings and adds their seeds to the addresses to probe.
    pub fn apply_settings(&mut self, settings: Arc<GatewaySettings>) {
        for seed in &settings.seeds {
            if seed.ip() != settings.ip {
                self.members.add_probe_address(seed.ip());
            }
        }
        self.settings = settings;
    }

    /// Desired state in force; `None` until one was read.
    pub fn config(&self) -> Option<&Arc<RoutingConfig>> {
        self.config.as_ref()
    }

    /// Applies a desired state; returns false, without any change, if its
    /// version is not newer than the one in force.
    pub fn apply_config(&mut self, config: RoutingConfig) -> bool {
        let version = self.config.as_ref().map(|config| config.version);
        if version.is_some_and(|version| version >= config.version) {
            return false;
        }
        self.config = Some(Arc::new(config));
        true
    }

    /// Closes or reopens a failure domain; returns whether that is a change.
    pub fn set_closed(&mut self, domain: DomainId, closed: bool) -> bool {
        self.upstreams.set_closed(domain, closed)
    }

    /// Closes exactly these failure domains and reopens all others. Returns
    /// the domains that changed, with true for those closed.
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
        let listed = |id: &UpstreamId| self.upstreams.get(id).is_some();
        self.dispatch_limiter.retain(listed);
    }

    /// Applies one change of the list of upstreams.
    pub fn apply_upstream(&mut self, now: Timestamp, change: UpstreamChange) {
        self.upstreams.apply(now, change);
    }

    /// Records that the store answered again after an outage.
    pub fn store_recovered(&mut self, now: Timestamp) {
        self.upstreams.store_recovered(now);
    }

    /// Local copy of a topic, from which other instances read.
    pub fn topic_copy(&mut self, topic: StoreTopic) -> &mut TopicCopy {
        self.topic_copies.entry(topic).or_default()
    }

    /// Source from which a topic is read next.
    pub fn read_source(&self, now: Timestamp) -> ReadSource {
        let domain = &self.settings.failure_domain;
        let others = self.members.serving_in(now, domain);
        self.reader_selector.source(now, self.settings.ip, &others)
    }

    /// Skips an instance as reader for some time, since its copy could not be
    /// used.
    pub fn exclude_reader(&mut self, now: Timestamp, ip: IpAddr) {
        self.reader_selector.exclude_reader(now, ip);
    }

    /// Chooses a random instance that serves callers, of any failure domain;
    /// `None` if there is no other.
    pub fn random_serving_peer(&mut self, now: Timestamp) -> Option<IpAddr> {
        let domain = &self.settings.failure_domain;
        let serving = self.members.serving(now, domain);
        serving.choose(&mut self.rng).copied()
    }

    /// Listed upstreams and their status.
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// Load of the upstreams.
    pub fn load_table(&self) -> &LoadTable {
        &self.load_table
    }

    /// Whether the instance can serve callers: it has a desired state and the
    /// list of upstreams, and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.serving && self.config.is_some() && self.upstreams_loaded
    }

    /// Marks the instance as stopping; it is no longer ready from then on.
    pub fn begin_stop(&mut self) {
        self.serving = false;
    }

    /// Routes and authenticates a request, and draws the service that takes
    /// it.
    ///
    /// Fails if no desired state was read yet, no route matches, the key is
    /// missing or unknown, or the route has no service.
    pub fn admit(
        &mut self,
        now: Timestamp,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<AdmittedRequest, Refusal> {
        let Some(config) = self.config.clone() else {
            let text = "the desired state has not been read yet";
            return Err(self.retryable_refusal(RefusalCode::NotReady, text));
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
        let Some(service) = route.draw_service(draw).cloned() else {
            let text = format!("route {} has no service", route.name);
            return Err(self.retryable_refusal(RefusalCode::NoUpstream, &text));
        };
        let limit = self.settings.bounds.retry_limit();
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.count_request(now, &limit);
        Ok(AdmittedRequest {
            route,
            service,
            identity,
            config_version: config.version,
        })
    }

    /// Chooses upstreams for a request and counts it as in flight on them.
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
        let limits = self.engine_limits(request, &spec);
        let own = self.settings.ip;
        let limiter = &mut self.dispatch_limiter;
        limiter.set_members(self.members.alive(now));
        let bounds = &self.settings.bounds;
        let cold_limit = (spec.cold_requests_per_s * bounds.cold_factor
            + bounds.cold_slack)
            * COLD_SHARE;
        let mut candidates =
            self.upstreams.candidates(now, service, request.excluded);
        let untried = |id: &UpstreamId| !request.tried.contains(id);
        if candidates.iter().any(|it| untried(&it.entry.id)) {
            candidates.retain(|it| untried(&it.entry.id));
        }
        let any_open = !candidates.is_empty();
        let is_long = match (&spec.engine, request.size) {
            (Some(engine), Some(size)) => {
                engine.prefill_time(size.prompt) > limits.long_prefill_min
            }
            _ => false,
        };
        self.request_limits.expire(now);
        let request_limits = &self.request_limits;
        let limit_of = |upstream: &TrackedUpstream| {
            request_limits.limit(&upstream.entry.process())
        };
        if is_long && candidates.iter().any(|it| limit_of(it).is_none()) {
            // An upstream in need should not prefill shares of long prompts.
            candidates.retain(|upstream| limit_of(upstream).is_none());
        }
        candidates.retain(|upstream| {
            limit_of(upstream).is_none_or(|limit| {
                limiter.allows_limited(now, own, &upstream.entry.id, limit)
            })
        });
        if any_open && candidates.is_empty() {
            let text = format!(
                "the upstreams of {service} take no more requests within the \
                 limits that they named",
            );
            return Err(self.not_placed(RefusalCode::NoCapacity, &text));
        }
        if spec.cold_requests_per_s > 0.0 {
            let any_warm =
                candidates.iter().any(|upstream| !upstream.is_cold(now));
            candidates.retain(|upstream| {
                let id = &upstream.entry.id;
                if upstream.is_cold(now) {
                    // Cold upstreams are used only if no warm one is available.
                    !any_warm && limiter.allows_cold(now, own, id, cold_limit)
                } else {
                    limiter.allows_warm(now, id, cold_limit)
                }
            });
        }
        if let (true, Some(engine), Some(size)) =
            (request.is_new, &spec.engine, request.size)
        {
            let prefill = engine.prefill_time(size.prompt);
            self.load_table.count_arrival(now, is_long, prefill);
        }
        let loads = self.load_table.total_loads(now);
        let inputs = PlacementInputs {
            now,
            domain: &self.settings.failure_domain,
            candidates,
            loads: &loads,
            demand: self.load_table.total_demand(now),
            limits,
        };
        let placed = match (&spec.engine, request.size) {
            (Some(engine), Some(size)) => {
                inputs.place_prompt(engine, size, &mut self.rng)
            }
            _ => inputs.place_plain(&mut self.rng),
        };
        let Some(placed) = placed else {
            let prompt = match (&spec.engine, request.size) {
                (Some(engine), Some(size)) if !inputs.candidates.is_empty() => {
                    Some((engine, size))
                }
                _ => None,
            };
            return Err(self.no_placement(request, prompt));
        };
        let gated = placed.in_flight.long && !request.is_resumed;
        if let (true, Some(engine), Some(size)) =
            (gated, &spec.engine, request.size)
        {
            let prefill = engine.prefill_time(size.prompt);
            self.check_gate(request, &placed, prefill, &limits)?;
        }
        Ok(self.start_request(now, placed))
    }

    /// Limits on the load of a service's engines; without meaning for other
    /// services.
    fn engine_limits(
        &self,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
    ) -> EngineLimits {
        let pause = self
            .config
            .as_ref()
            .and_then(|config| config.shortest_pause(&spec.name))
            .unwrap_or(request.admitted.route.gap_target);
        let engine = spec.engine.as_ref();
        engine.map_or_else(EngineLimits::default, |engine| {
            EngineLimits::new(engine, pause)
        })
    }

    /// Defers or refuses a long prompt that should not start now.
    fn check_gate(
        &mut self,
        request: &PlacementRequest<'_>,
        placed: &Placement,
        prefill: Duration,
        limits: &EngineLimits,
    ) -> Result<(), NotPlaced> {
        let route = &request.admitted.route;
        let inputs = GateInputs {
            prefill,
            typical_prefill: limits.typical_long_prefill,
            backlog: placed.backlog,
            time_to_first_event: placed.time_to_first_event,
            waited: request.waited,
            target: route.latency_target,
            abandon_after: route.abandon_after(),
        };
        match evaluate_gate(&inputs) {
            GateDecision::Start => Ok(()),
            GateDecision::Defer(pause) if pause < request.time_left => {
                Err(NotPlaced::Defer { pause, prefill })
            }
            GateDecision::Defer(_) | GateDecision::Refuse => {
                let text = format!(
                    "the first event would come after {:?}; the engines have \
                     {:?} of prefill left",
                    request.waited + placed.time_to_first_event,
                    placed.backlog,
                );
                Err(self.not_placed(RefusalCode::NoCapacity, &text))
            }
        }
    }

    /// Result of a placement that found no upstream. `prompt` holds the
    /// engines' profile and the size of a prompt for which only KV cache is
    /// missing: it waits for memory as long as it can still meet its target.
    fn no_placement(
        &mut self,
        request: &PlacementRequest<'_>,
        prompt: Option<(&EngineProfile, PromptSize)>,
    ) -> NotPlaced {
        let service = &request.admitted.service;
        let Some((engine, size)) = prompt else {
            let text = format!("no upstream of {service} can take the request");
            return self.not_placed(RefusalCode::NoCapacity, &text);
        };
        let prefill = engine.prefill_time(size.prompt);
        let target = request.admitted.route.latency_target;
        let wait_max = memory_wait_max(target);
        let first_event = request.waited + shared_prefill_min(prefill);
        if first_event <= wait_max
            && first_event < request.waited + request.time_left
        {
            return NotPlaced::Defer {
                pause: RECHECK_INTERVAL,
                prefill: Duration::ZERO,
            };
        }
        let text = format!(
            "the engines of {service} for long prompts have no memory for a \
             prompt of {}",
            size.prompt,
        );
        self.not_placed(RefusalCode::NoCapacity, &text)
    }

    fn not_placed(&mut self, code: RefusalCode, text: &str) -> NotPlaced {
        NotPlaced::Refused(self.retryable_refusal(code, text))
    }

    /// Counts a placed request as in flight.
    fn start_request(
        &mut self,
        now: Timestamp,
        placed: Placement,
    ) -> StartedRequest {
        let tracked = |id: &UpstreamId| {
            self.upstreams
                .get(id)
                .expect("a chosen upstream is in the table")
        };
        let first = tracked(&placed.upstream);
        let entry_age = now.since(first.read_at);
        let entry = first.entry.clone();
        let helpers = placed
            .helpers
            .iter()
            .map(|helper| {
                (
                    tracked(&helper.upstream).entry.clone(),
                    helper.kv_reservation,
                )
            })
            .collect();
        self.dispatch_limiter.count(now, &entry.id);
        let needs_heartbeat = placed.in_flight.in_prefill;
        let in_flight_id = self.load_table.start(placed.in_flight);
        StartedRequest {
            entry,
            helpers,
            in_flight_id,
            time_to_first_event: placed.time_to_first_event,
            backlog: placed.backlog,
            needs_heartbeat,
            entry_age,
        }
    }

    /// Adds a deferred long prompt with this prefill time to the demand.
    pub fn defer_prompt(&mut self, prefill: Duration) {
        self.load_table.defer(prefill);
    }

    /// Removes a deferred long prompt with this prefill time from the demand.
    pub fn end_deferral(&mut self, prefill: Duration) {
        self.load_table.end_deferral(prefill);
    }

    /// Records the first event of an answer, which ends the prefill.
    pub fn record_first_event(&mut self, in_flight_id: InFlightId) {
        self.load_table.record_first_event(in_flight_id);
    }

    /// Removes a send from the load.
    pub fn finish(&mut self, in_flight_id: InFlightId) {
        self.load_table.finish(in_flight_id);
    }

    /// Records that an upstream completed a request.
    pub fn record_success(&mut self, id: &UpstreamId) {
        self.upstreams.record_success(id);
    }

    /// Records that an upstream did not answer a request; returns for how long
    /// the upstream is avoided.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
    ) -> Duration {
        self.upstreams.record_failure(now, id)
    }

    /// Records that a different upstream answered at an upstream's address.
    pub fn mark_displaced(&mut self, id: &UpstreamId) {
        self.upstreams.mark_displaced(id);
    }

    /// Upstream of a service that is listed at an address; `None` if there is
    /// none.
    pub fn upstream_at(
        &self,
        service: &ServiceName,
        address: SocketAddr,
    ) -> Option<UpstreamId> {
        self.upstreams.find_at(service, address)
    }

    /// Records that an upstream answered with an error.
    pub fn record_error(&mut self, id: &UpstreamId) {
        self.upstreams.record_error(id);
    }

    /// Whether the retry budget has room for one more send to a service.
    pub fn can_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let limit = self.settings.bounds.retry_limit();
        let instance_count = self.members.instance_count(now);
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.allows(now, &limit, instance_count)
    }

    /// Counts one more send to a service against the retry budget; returns
    /// false, without counting it, if the budget is spent.
    pub fn spend_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> bool {
        let limit = self.settings.bounds.retry_limit();
        let instance_count = self.members.instance_count(now);
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.spend(now, &limit, instance_count)
    }

    /// Creates a refusal with a randomized `Retry-After`.
    pub fn retryable_refusal(
        &mut self,
        code: RefusalCode,
        text: &str,
    ) -> Refusal {
        let spread = RETRY_AFTER_SPREAD.mul_f64(self.rng.random::<f64>());
        Refusal::new(code, text).with_retry_after(RETRY_AFTER_MIN + spread)
    }

    /// Addresses that callers may use: this instance's if it is ready, then
    /// those of the serving members, with the members of the same failure
    /// domain first.
    pub fn serving_addresses(&self, now: Timestamp) -> Vec<IpAddr> {
        let mut addresses = Vec::new();
        if self.is_ready() {
            addresses.push(self.settings.ip);
        }
        let domain = &self.settings.failure_domain;
        addresses.extend(self.members.serving(now, domain));
        addresses
    }
}
