//! What the decision on the number of engines needs to know.

use super::GatewayCore;
use crate::{
    gateway::{
        cost_model::EngineProfile,
        engine_scaling::{EngineDemand, ReportCounts, ScalingObservation},
        routing_config::ServiceSpec,
    },
    ids::ServiceName,
    units::Timestamp,
};

impl GatewayCore {
    /// Services whose number of engines can be changed, with what is known of
    /// each.
    pub fn scaling_observations(
        &self,
        now: Timestamp,
    ) -> Vec<(ServiceName, ScalingObservation)> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let mut reports = self.members.report_counts(now);
        let domain = self.settings.failure_domain.clone();
        let own = reports.entry(domain).or_default();
        let ReportCounts { known, recent } = *own;
        *own = ReportCounts {
            known: known + 1,
            recent: recent + 1,
        };
        let mut with_engines =
            config.services().filter(|it| it.engine.is_some());
        // Reports do not tell for which service prompts ask for prefill.
        let is_divided = with_engines.nth(1).is_some();
        let scaled = config.services().filter_map(|spec| {
            let bounds = spec.scaling?;
            let engine = spec.engine.as_ref().filter(|_| !is_divided);
            let demand = engine.map(|it| self.engine_demand(now, spec, it));
            let observation = ScalingObservation {
                bounds,
                demand,
                engines: self.upstreams.engine_counts(now, &spec.name),
                closed: self.upstreams.closed().clone(),
                reports: reports.clone(),
                is_list_current: self.upstreams.is_current(now),
            };
            Some((spec.name.clone(), observation))
        });
        scaled.collect()
    }

    /// Engine time that the prompts of all callers ask for, if all of them are
    /// prompts for one service.
    fn engine_demand(
        &self,
        now: Timestamp,
        spec: &ServiceSpec,
        engine: &EngineProfile,
    ) -> EngineDemand {
        let loads = self.load_table.total_loads(now);
        let slots = engine.slots.max(1);
        let upstreams = self.upstreams.upstreams();
        let own = upstreams.filter(|it| it.entry.service == spec.name);
        let (mut decoding, mut requests, mut tokens) = (0.0, 0.0, 0.0);
        for load in own.filter_map(|it| loads.get(&it.entry.id)) {
            // Requests beyond the slots wait at the engine and decode nothing.
            let running = load.requests().saturating_sub(load.long_in_prefill);
            decoding += f64::from(running.min(slots));
            requests += f64::from(load.requests());
            tokens += load.kv_tokens as f64;
        }
        let slots = f64::from(slots);
        let memory = engine.kv_capacity.get().max(1) as f64;
        let occupied = f64::max(requests / slots, tokens / memory);
        let demand = self.load_table.total_demand(now);
        EngineDemand {
            prefill: demand.long_engines() + demand.short_engines(),
            decode: decoding / slots,
            // A conversion from f64 saturates.
            occupied: occupied.ceil() as u32,
        }
    }
}
