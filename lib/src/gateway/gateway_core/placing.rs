//! Placement of admitted requests on upstreams.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use super::{
    GatewayCore, NotPlaced, PlacementRequest, StartedRequest, memory_wait_max,
    planned_stop::answer_forecast,
};
use crate::{
    gateway::{
        answer_durations::AnswerForecast,
        cost_model::EngineProfile,
        engine_choice::{EngineUse, EvenChoice},
        engine_limits::EngineLimits,
        gateway_settings::GatewayBounds,
        placement::{
            Placement, PlacementInputs, PromptSize, shared_prefill_min,
        },
        prefill_gate::{
            GateDecision, GateInputs, RECHECK_INTERVAL, evaluate_gate,
        },
        routing_config::{RetrySafety, ServiceSpec},
    },
    ids::{ServiceName, UpstreamId},
    refusal::RefusalCode,
    units::Timestamp,
};

/// Share of the request limit of a cold upstream that is used.
const COLD_SHARE: f64 = 0.8;

/// Instances for each engine of a service from which on the even choice is used.
/// With 1.1 to 1.4 of them, single plays of three deployments showed no gain that
/// is beyond their differences, so these keep the choice of before.
const EVEN_INSTANCES_PER_ENGINE: usize = 2;

/// Requests a second that all instances together may send to a cold upstream.
pub(super) fn cold_limit(spec: &ServiceSpec, bounds: &GatewayBounds) -> f64 {
    let tolerated =
        spec.cold_requests_per_s * bounds.cold_factor + bounds.cold_slack;
    tolerated * COLD_SHARE
}

impl GatewayCore {
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
        let reaching = self.members.reaching(now, service);
        let position = self.position_among(&reaching);
        let reaching_count = reaching.len() + 1;
        self.dispatch_limiter.set_members(service, reaching);
        self.request_limits.expire(now);
        let is_long = match (&spec.engine, request.size) {
            (Some(engine), Some(size)) => {
                engine.prefill_time(size.prompt) > limits.long_prefill_min
            }
            _ => false,
        };
        if let (true, Some(engine), Some(size)) =
            (request.is_new, &spec.engine, request.size)
        {
            let prefill = engine.prefill_time(size.prompt);
            self.load_table.count_arrival(now, is_long, prefill);
        }
        if !is_long
            && let Some(started) = self.place_probe(now, request, &spec, limits)
        {
            return Ok(started);
        }
        let own = self.settings.ip;
        let limiter = &mut self.dispatch_limiter;
        let cold_limit = cold_limit(&spec, &self.settings.bounds);
        let mut candidates =
            self.upstreams.candidates(now, service, request.excluded);
        let untried = |id: &UpstreamId| !request.tried.contains(id);
        if candidates.iter().any(|it| untried(&it.entry.id)) {
            candidates.retain(|it| untried(&it.entry.id));
        }
        let helpers_only =
            limiter.exhausted(now, own, &self.request_limits, &candidates);
        if !candidates.is_empty() && helpers_only.len() == candidates.len() {
            let text = format!(
                "the upstreams of {service} take no more requests within the \
                 limits that they named",
            );
            return Err(self.not_placed(RefusalCode::NoCapacity, &text));
        }
        if spec.cold_requests_per_s > 0.0 {
            limiter.retain_cold(now, own, cold_limit, &mut candidates);
            // One more failure costs a repeatable request less than a refusal,
            // and shows whether the upstream is sound again.
            let route = &request.admitted.route;
            if candidates.is_empty()
                && route.retry_safety == RetrySafety::Idempotent
            {
                candidates = self.upstreams.failing_candidates(
                    now,
                    service,
                    request.excluded,
                );
                let limits = &self.request_limits;
                let limited = limiter.exhausted(now, own, limits, &candidates);
                candidates.retain(|upstream| {
                    let id = &upstream.entry.id;
                    untried(id) && !limited.contains(id)
                });
                limiter.retain_cold(now, own, cold_limit, &mut candidates);
            }
        }
        let instances = self.members.instance_count(now);
        let outnumber =
            |listed: usize| instances >= listed * EVEN_INSTANCES_PER_ENGINE;
        // Only some of the listed engines are candidates.
        let is_even = outnumber(candidates.len())
            && outnumber(self.upstreams.count_listed(service));
        let even_choice = is_even.then_some(EvenChoice {
            position,
            instances: reaching_count,
            sends: &self.dispatch_limiter,
        });
        let loads = self.load_table.total_loads(now);
        let inputs = PlacementInputs {
            now,
            domain: &self.settings.failure_domain,
            candidates,
            helpers_only,
            loads: &loads,
            demand: self.load_table.total_demand(now),
            limits,
            even_choice,
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
            return Err(self.no_placement(now, request, prompt));
        };
        let load = loads.get(&placed.upstream).copied().unwrap_or_default();
        let first_event = placed.time_to_first_event;
        let forecast = answer_forecast(request, &spec, &load, first_event);
        self.check_stop(now, request, forecast)
            .map_err(NotPlaced::Refused)?;
        let gated = placed.in_flight.long && !request.is_resumed;
        if let (true, Some(engine), Some(size)) =
            (gated, &spec.engine, request.size)
        {
            let prefill = engine.prefill_time(size.prompt);
            self.check_gate(request, &placed, prefill, &limits)?;
        }
        Ok(self.start_request(now, placed, forecast))
    }

    /// How evenly the engines of each service are used, by this instance's view.
    pub fn engine_use(
        &self,
        now: Timestamp,
    ) -> BTreeMap<ServiceName, EngineUse> {
        let Some(config) = &self.config else {
            return BTreeMap::new();
        };
        let loads = self.load_table.total_loads(now);
        let services = config.services().filter_map(|spec| {
            let slots = spec.engine.as_ref()?.slots;
            let engines = self.upstreams.candidates(now, &spec.name, &[]);
            let engines = engines
                .iter()
                .map(|it| loads.get(&it.entry.id).copied().unwrap_or_default());
            Some((spec.name.clone(), EngineUse::new(slots, engines)))
        });
        services.collect()
    }

    /// Number of the members at these addresses that come before this instance
    /// in the order of their addresses.
    fn position_among(&self, members: &[IpAddr]) -> usize {
        let own = self.settings.ip;
        members.iter().filter(|ip| **ip < own).count()
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
        now: Timestamp,
        request: &PlacementRequest<'_>,
        prompt: Option<(&EngineProfile, PromptSize)>,
    ) -> NotPlaced {
        let service = &request.admitted.service;
        let Some((engine, size)) = prompt else {
            let text = format!("no upstream of {service} can take the request");
            let code = RefusalCode::NoCapacity;
            let refusal = self.retryable_refusal(code, &text);
            let random = refusal.retry_after.unwrap_or_default();
            let paused = self.upstreams.pause_left(now, service);
            let wait = paused.unwrap_or_default() + random;
            return NotPlaced::Refused(refusal.with_retry_after(wait));
        };
        let prefill = engine.prefill_time(size.prompt);
        let forecast = self.unplaced_forecast(request);
        if let Err(refusal) = self.check_stop(now, request, forecast) {
            return NotPlaced::Refused(refusal);
        }
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
    pub(super) fn start_request(
        &mut self,
        now: Timestamp,
        placed: Placement,
        forecast: Option<AnswerForecast>,
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
            forecast,
            needs_heartbeat,
            entry_age,
        }
    }
}
