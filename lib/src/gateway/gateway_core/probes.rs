//! Probes of upstreams that are left out since they failed some requests.
//!
//! A status check says nothing about an upstream that fails only a part of its
//! requests, so that a probe is a request of a caller. If it fails, it is sent
//! to another upstream.

use std::collections::BTreeSet;

use super::{
    GatewayCore, PlacementRequest, StartedRequest, placing::cold_limit,
    planned_stop::answer_forecast,
};
use crate::{
    gateway::{
        engine_limits::EngineLimits,
        failure_history::FailureBounds,
        placement::PlacementInputs,
        routing_config::{RetrySafety, ServiceSpec},
    },
    ids::{ServiceName, UpstreamId},
    units::Timestamp,
};

impl GatewayCore {
    /// Sets the failure bounds of an upstream's service from the retries that
    /// this instance may make at present.
    pub(super) fn update_failure_bounds(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
    ) {
        let upstream = self.upstreams.get(id);
        let service = upstream.map(|it| it.entry.service.clone());
        if let Some(service) = service {
            self.set_failure_bounds(now, &service);
        }
    }

    fn set_failure_bounds(&mut self, now: Timestamp, service: &ServiceName) {
        let limit = self.settings.bounds.retry_limit();
        let instances = self.members.instance_count(now);
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        let allowed = budget.allowed(now, &limit, instances);
        let bounds = FailureBounds::new(limit.window, allowed);
        self.upstreams.set_failure_bounds(service, bounds);
    }

    /// Sends a request as a probe, if one is due and the request may be sent
    /// again when it fails; `None` if not.
    pub(super) fn place_probe(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        spec: &ServiceSpec,
        limits: EngineLimits,
    ) -> Option<StartedRequest> {
        let route = &request.admitted.route;
        let is_first_send = request.is_new
            && !request.is_resumed
            && request.tried.is_empty()
            && request.excluded.is_empty();
        let may_be_resent = route.retry_safety == RetrySafety::Idempotent
            && route.sends_max > 1;
        if !is_first_send || !may_be_resent {
            return None;
        }
        let service = &request.admitted.service;
        if !self.upstreams.has_failing() {
            return None;
        }
        let retry_limit = self.settings.bounds.retry_limit();
        let instances = self.members.instance_count(now);
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        let is_resend_allowed = budget.allows(now, &retry_limit, instances);
        self.set_failure_bounds(now, service);
        let probed: BTreeSet<_> = self.probes.values().collect();
        let due = self.upstreams.due_probe(now, service, &probed);
        let id = due.filter(|_| is_resend_allowed)?;
        let mut candidates = vec![self.upstreams.get(&id)?];
        let own = self.settings.ip;
        let limiter = &mut self.dispatch_limiter;
        let exhausted =
            limiter.exhausted(now, own, &self.request_limits, &candidates);
        if spec.cold_requests_per_s > 0.0 {
            let rate = cold_limit(spec, &self.settings.bounds);
            limiter.retain_cold(now, own, rate, &mut candidates);
        }
        let loads = self.load_table.total_loads(now);
        let inputs = PlacementInputs {
            now,
            domain: &self.settings.failure_domain,
            candidates,
            helpers_only: exhausted,
            loads: &loads,
            demand: self.load_table.total_demand(now),
            limits,
            even_choice: None,
        };
        let placed = match (&spec.engine, request.size) {
            (Some(engine), Some(size)) => {
                inputs.place_prompt(engine, size, &mut self.rng)
            }
            _ => inputs.place_plain(&mut self.rng),
        }?;
        let first_event = placed.time_to_first_event;
        // Half of the target is left for the resend.
        if request.waited + first_event > route.latency_target / 2 {
            return None;
        }
        let load = loads.get(&id).copied().unwrap_or_default();
        let forecast = answer_forecast(request, spec, &load, first_event);
        self.check_stop(now, request, forecast).ok()?;
        let started = self.start_request(now, placed, forecast);
        self.upstreams.begin_probe(now, &id);
        self.probes.insert(started.in_flight_id, id);
        Some(started)
    }
}
