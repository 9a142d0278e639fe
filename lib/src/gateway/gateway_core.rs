//! State of one gateway instance and the decisions made from it.
//!
//! The core does no I/O and has no clock: every method that depends on time
//! takes it as an argument. The binary calls the methods between its await
//! points, so that each decision sees a consistent state. The tables in the
//! sibling modules own the details; this module combines them.

mod engine_scaling;
mod heartbeats;
mod links;
mod placing;
mod planned_stop;
mod probes;
mod quarantine;
mod request_limits;
mod status_checks;

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

pub use self::{
    heartbeats::{HeartbeatPlan, HeartbeatReceipt},
    links::{FailedPaths, SILENCE_MIN, SendPath},
    quarantine::HeldPrompt,
    status_checks::StatusCheck,
};
use super::{
    answer_durations::{AnswerDurations, AnswerForecast},
    dispatch_rate::DispatchLimiter,
    duty_lease::lease_candidates,
    gateway_settings::GatewaySettings,
    load_table::{InFlightId, LoadTable},
    member_table::MemberTable,
    placement::PromptSize,
    planned_stop::PlannedStop,
    prompt_quarantine::PromptQuarantine,
    reader_selection::{ReadSource, ReaderSelector},
    request_limit::LimitTable,
    retry_budget::ServiceRetryBudget,
    routing_config::{CallerIdentity, ConfigVersion, RouteSpec, RoutingConfig},
    store_era::{EraChange, EraTracker, StoreEra},
    topic_copy::TopicCopy,
    upstream_table::{
        UpstreamChange, UpstreamEntry, UpstreamProcess, UpstreamTable,
    },
    wire::{KeyedRecord, StoreTopic},
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
    /// Predicted times of the answer; `None` if nothing is known of it.
    pub forecast: Option<AnswerForecast>,
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
    /// The planned stop; `None` before it has begun.
    stop: Option<PlannedStop>,
    answer_durations: AnswerDurations,
    store_era: EraTracker,
    /// When the records of the restored store are complete.
    restored_until: Option<Timestamp>,
    upstreams: UpstreamTable,
    load_table: LoadTable,
    /// Requests in flight that probe an upstream.
    probes: BTreeMap<InFlightId, UpstreamId>,
    retry_budgets: BTreeMap<ServiceName, ServiceRetryBudget>,
    dispatch_limiter: DispatchLimiter,
    request_limits: LimitTable,
    members: MemberTable,
    /// Heartbeats sent by this process.
    heartbeats_sent: u64,
    topic_copies: BTreeMap<StoreTopic, TopicCopy>,
    reader_selector: ReaderSelector,
    quarantine: PromptQuarantine,
    config_record: Option<KeyedRecord>,
    /// Requests that each delegate sends for this instance at present.
    delegated: BTreeMap<IpAddr, u32>,
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
        let mut upstreams = UpstreamTable::default();
        upstreams.set_lapse_time(settings.bounds.lapse_time());
        Self {
            settings,
            incarnation,
            config: None,
            upstreams_loaded: false,
            stop: None,
            answer_durations: AnswerDurations::default(),
            store_era: EraTracker::default(),
            restored_until: None,
            upstreams,
            load_table: LoadTable::default(),
            probes: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            dispatch_limiter: DispatchLimiter::default(),
            request_limits: LimitTable::default(),
            members,
            heartbeats_sent: 0,
            topic_copies: BTreeMap::new(),
            reader_selector: ReaderSelector::default(),
            quarantine: PromptQuarantine::default(),
            config_record: None,
            delegated: BTreeMap::new(),
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
        self.upstreams.set_lapse_time(settings.bounds.lapse_time());
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
        self.answer_durations
            .retain(|service| config.find_service(service).is_some());
        let services = config.services().map(|it| it.name.clone());
        self.upstreams.set_services(services.collect());
        self.config = Some(Arc::new(config));
        true
    }

    /// Record from which the desired state in force was read.
    pub fn config_record(&self) -> Option<&KeyedRecord> {
        self.config_record.as_ref()
    }

    /// Keeps the record of a desired state that was applied, for other instances.
    pub fn set_config_record(&mut self, record: KeyedRecord) {
        self.config_record = Some(record);
    }

    /// Closes or reopens a failure domain; returns whether that is a change.
    pub fn set_closed(&mut self, domain: DomainId, closed: bool) -> bool {
        self.upstreams.set_closed(domain, closed)
    }

    /// Closes exactly these failure domains and reopens all others. While the
    /// records of a restored store may be incomplete, reopens none. Returns the
    /// domains that changed, with true for those closed.
    pub fn replace_closed(
        &mut self,
        now: Timestamp,
        closed: &[DomainId],
    ) -> Vec<(DomainId, bool)> {
        let mut changes = Vec::new();
        let mut before = self.upstreams.closed().clone();
        if self.upstreams.may_be_outdated(now) {
            before.clear();
        }
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

    /// Records the era of the store that sent a response; `None` if the
    /// response states none.
    pub fn observe_era(
        &mut self,
        now: Timestamp,
        era: Option<StoreEra>,
    ) -> EraChange {
        let change = self.store_era.observe(era);
        if change == EraChange::Restored {
            let until = now.after(self.settings.bounds.restore_grace());
            self.restored_until = Some(until);
            self.upstreams.store_restored(now, until);
        }
        change
    }

    /// Newest era of the store; `None` if it states none.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.store_era.newest()
    }

    /// Time from which the records of the restored store are complete; `None`
    /// if it was not restored while this process ran.
    pub fn restored_until(&self) -> Option<Timestamp> {
        self.restored_until
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
        self.stop.is_none() && self.config.is_some() && self.upstreams_loaded
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
            if config.has_unread_routes() {
                return Err(
                    self.retryable_refusal(RefusalCode::NoUpstream, &text)
                );
            }
            return Err(Refusal::new(RefusalCode::UnknownPath, text));
        };
        let identity = config.identify(&route, key);
        if identity == CallerIdentity::Unknown {
            let text = "the key is missing or belongs to no workspace";
            return Err(Refusal::new(RefusalCode::Unauthenticated, text));
        }
        if identity == CallerIdentity::Unusable {
            let text = "the workspace of the key cannot be used";
            return Err(self.retryable_refusal(RefusalCode::NoUpstream, text));
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

    /// Like [`Self::admit`], for a request that another instance admitted by
    /// the desired state `version` and for a service that it has drawn. The
    /// request counts there.
    ///
    /// Fails also if this instance's desired state is older or the route does
    /// not lead to the service.
    pub fn admit_delegated(
        &self,
        version: ConfigVersion,
        service: &ServiceName,
        target: (&str, &str),
        key: Option<&str>,
    ) -> Result<AdmittedRequest, Refusal> {
        let stale = |text: String| {
            Err(Refusal::new(RefusalCode::ConfigurationStale, text))
        };
        let (host, path) = target;
        let known = self.config.as_ref();
        let config = known.filter(|config| config.version >= version);
        let Some(config) = config else {
            return stale(format!("version {version} was not read yet"));
        };
        let Some(route) = config.find_route(host, path) else {
            return stale(format!("no route for {path} on {host}"));
        };
        let mut shares = route.services.iter();
        if !shares.any(|share| share.service == *service) {
            let name = &route.name;
            return stale(format!("route {name} does not lead to {service}"));
        }
        let identity = config.identify(&route, key);
        if matches!(
            identity,
            CallerIdentity::Unknown | CallerIdentity::Unusable
        ) {
            return stale("the key belongs to no usable workspace".into());
        }
        Ok(AdmittedRequest {
            route,
            service: service.clone(),
            identity,
            config_version: config.version,
        })
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
        self.probes.remove(&in_flight_id);
    }

    /// Records that an upstream completed a request.
    pub fn record_success(&mut self, now: Timestamp, id: &UpstreamId) {
        self.upstreams.record_success(now, id);
    }

    /// Records that an upstream did not answer a request; returns for how long
    /// the upstream is avoided.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
    ) -> Duration {
        self.update_failure_bounds(now, id);
        self.upstreams.record_failure(now, id)
    }

    /// Records that a process said in a reply that it is leaving; returns
    /// whether that is new.
    pub fn mark_leaving(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
    ) -> bool {
        self.upstreams.mark_leaving(now, process)
    }

    /// Records that a process wants no requests of this instance for some time.
    pub fn pause_upstream(
        &mut self,
        now: Timestamp,
        process: &UpstreamProcess,
        pause: Duration,
    ) {
        self.upstreams.pause(now, process, pause);
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
    pub fn record_error(&mut self, now: Timestamp, id: &UpstreamId) {
        self.update_failure_bounds(now, id);
        self.upstreams.record_error(now, id);
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

    /// Like [`Self::spend_retry`], for another instance.
    pub fn lend_retry(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> bool {
        let config = self.config.as_ref();
        let is_known =
            config.is_some_and(|it| it.find_service(service).is_some());
        is_known && self.spend_retry(now, service)
    }

    /// Instances to ask for a retry, in turn; none while borrowing is paused.
    pub fn retry_lenders(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Vec<IpAddr> {
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        if budget.may_borrow(now) {
            self.instances_to_ask(now, service)
        } else {
            Vec::new()
        }
    }

    /// Records that no instance that was asked has lent a retry.
    pub fn pause_borrowing(&mut self, now: Timestamp, service: &ServiceName) {
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.pause_borrowing(now);
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

    /// Start of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Addresses of the instances that may claim the lease of the singleton
    /// duties, in the order in which they should.
    pub fn lease_candidates(&self, now: Timestamp) -> Vec<IpAddr> {
        lease_candidates(&self.serving_addresses(now))
    }
}
