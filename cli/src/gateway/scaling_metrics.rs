//! Metrics of the number of engines. Only the holder of the duty has their
//! series.

use borageline_lib::{
    gateway::engine_scaling::{ScaleOrder, ScalingDecision, ScalingState},
    ids::ServiceName,
};
use prometheus::{
    GaugeVec, IntCounterVec, IntGaugeVec, Opts, Registry, core::Collector,
};

use super::unix_millis;
use crate::metrics::counters;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// The platform accepted it.
    Accepted,
    /// It was not executed.
    Refused,
    /// No response was received; it may have been executed.
    Unanswered,
}

impl OrderOutcome {
    const ALL: [Self; 3] = [Self::Accepted, Self::Refused, Self::Unanswered];

    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Metrics of the number of engines.
#[derive(Debug)]
pub(super) struct ScalingMetrics {
    engines: IntGaugeVec,
    demand: GaugeVec,
    states: IntGaugeVec,
    last_orders: IntGaugeVec,
    outcomes: IntCounterVec,
}

impl ScalingMetrics {
    pub(super) fn new() -> Self {
        let outcomes = counters(
            "borageline_gateway_engine_orders_total",
            "orders for a number of engines by outcome",
            "outcome",
        );
        for outcome in OrderOutcome::ALL {
            outcomes.with_label_values(&[outcome.as_str()]);
        }
        Self {
            engines: gauges(
                "borageline_gateway_engines",
                "engines present, wanted and last ordered",
                &["service", "domain", "number"],
            ),
            demand: GaugeVec::new(
                Opts::new(
                    "borageline_gateway_engine_demand",
                    "engines that the callers of all instances keep busy",
                ),
                &["service"],
            )
            .expect("name and labels are valid"),
            states: gauges(
                "borageline_gateway_scaling_state",
                "1 for the state of the demand for a service",
                &["service", "state"],
            ),
            last_orders: gauges(
                "borageline_gateway_engine_order_time_seconds",
                "time of the last order, by its reason",
                &["service", "domain", "reason"],
            ),
            outcomes,
        }
    }

    pub(super) fn register(&self, registry: &Registry) {
        let collectors: [Box<dyn Collector>; 5] = [
            Box::new(self.engines.clone()),
            Box::new(self.demand.clone()),
            Box::new(self.states.clone()),
            Box::new(self.last_orders.clone()),
            Box::new(self.outcomes.clone()),
        ];
        for collector in collectors {
            registry
                .register(collector)
                .expect("metric names are unique");
        }
    }

    /// Removes the series that only the holder of the duty has.
    pub(super) fn clear(&self) {
        self.engines.reset();
        self.demand.reset();
        self.states.reset();
        self.last_orders.reset();
    }

    pub(super) fn set_decision(
        &self,
        service: &ServiceName,
        decision: &ScalingDecision,
    ) {
        let service = service.as_str();
        let demand = self.demand.with_label_values(&[service]);
        demand.set(decision.demand);
        for state in ScalingState::ALL {
            let labels = [service, state.as_str()];
            let gauge = self.states.with_label_values(&labels);
            gauge.set((state == decision.state).into());
        }
        for (domain, status) in &decision.domains {
            let numbers = [
                ("present", Some(status.present)),
                ("wanted", Some(status.wanted)),
                ("ordered", status.ordered),
            ];
            for (number, value) in numbers {
                let labels = [service, domain.as_str(), number];
                if let Some(value) = value {
                    let gauge = self.engines.with_label_values(&labels);
                    gauge.set(value.into());
                }
            }
        }
    }

    pub(super) fn record_order(&self, order: &ScaleOrder) {
        let labels = [
            order.service.as_str(),
            order.domain.as_str(),
            order.reason.as_str(),
        ];
        let seconds = i64::try_from(unix_millis() / 1_000);
        let gauge = self.last_orders.with_label_values(&labels);
        gauge.set(seconds.unwrap_or(i64::MAX));
    }

    pub(super) fn count_outcome(&self, outcome: OrderOutcome) {
        self.outcomes.with_label_values(&[outcome.as_str()]).inc();
    }
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels)
        .expect("name and labels are valid")
}
