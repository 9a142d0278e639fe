//! Counters and latency histograms of a gateway.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        duty::{DutyName, FencingToken},
        duty_lease::ClaimResult,
        engine_choice::EngineUse,
        reachability::LinkState,
        request_timings::AnswerLateness,
        routing_config::ConfigFault,
    },
    ids::ServiceName,
    refusal::{RefusalCode, RetryReason},
};
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
};

use super::{scaling_metrics::ScalingMetrics, usage::UsageMetrics};
use crate::metrics::{counters, gauge};

/// Bucket bounds of the time to an answer or its first event, in seconds.
const LATENCY_BOUNDS: &[f64] = &[
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0, 15.0,
];

/// How a request ended; used as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The whole answer was forwarded.
    Answered,
    /// The upstream's failure was forwarded.
    UpstreamFailure,
    /// The request was refused or failed.
    Refused,
    /// The answer was broken off after its beginning was sent.
    BrokenOff,
    /// The caller closed its connection.
    CallerLeft,
    /// The request was sent for another instance, where it counts, too.
    Delegated,
}

impl RequestEnd {
    const ALL: [Self; 6] = [
        Self::Answered,
        Self::UpstreamFailure,
        Self::Refused,
        Self::BrokenOff,
        Self::CallerLeft,
        Self::Delegated,
    ];

    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::UpstreamFailure => "upstream_failure",
            Self::Refused => "refused",
            Self::BrokenOff => "broken_off",
            Self::CallerLeft => "caller_left",
            Self::Delegated => "delegated",
        }
    }
}

/// Metrics of one gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    ends: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    latency: HistogramVec,
    lateness: IntCounterVec,
    store_calls: IntCounterVec,
    pub(super) connections: IntGauge,
    pub(super) config_version: IntGauge,
    config_faults: IntGaugeVec,
    pub(super) members: IntGauge,
    link_changes: IntCounterVec,
    retry_loans: IntCounterVec,
    pub(super) scaling: ScalingMetrics,
    pub(super) usage: UsageMetrics,
    lease_held: IntGauge,
    lease_token: IntGauge,
    lease_claims: IntCounterVec,
    duty_calls: IntCounterVec,
    slots_in_use: GaugeVec,
    busiest_engine: GaugeVec,
    queue_beside_free: IntCounterVec,
}

impl GatewayMetrics {
    pub(super) fn new() -> Self {
        let metrics = Self {
            registry: Registry::new(),
            ends: counters(
                "borageline_gateway_requests_total",
                "requests by how they ended",
                "end",
            ),
            refusals: counters(
                "borageline_gateway_refusals_total",
                "refusals by code",
                "code",
            ),
            retries: counters(
                "borageline_gateway_retries_total",
                "sends beyond a request's first, by reason",
                "reason",
            ),
            latency: latency(),
            lateness: counters(
                "borageline_gateway_lateness_total",
                "requests by the target that they missed first",
                "late",
            ),
            store_calls: counters(
                "borageline_gateway_store_calls_total",
                "calls to the platform's store by outcome",
                "outcome",
            ),
            connections: gauge(
                "borageline_gateway_connections",
                "open connections from callers",
            ),
            config_version: gauge(
                "borageline_gateway_config_version",
                "version of the desired state in force",
            ),
            config_faults: config_faults(),
            members: gauge(
                "borageline_gateway_members",
                "instances heard, this one included",
            ),
            link_changes: counters(
                "borageline_gateway_link_changes_total",
                "changes of the links to a service, by the new state",
                "state",
            ),
            retry_loans: counters(
                "borageline_gateway_retry_loans_total",
                "retries asked of other instances, by outcome",
                "outcome",
            ),
            scaling: ScalingMetrics::new(),
            usage: UsageMetrics::new(),
            lease_held: gauge(
                "borageline_gateway_duty_lease_held",
                "whether the instance holds the lease of the duties",
            ),
            lease_token: gauge(
                "borageline_gateway_duty_lease_token",
                "fencing token of the lease that the instance held last",
            ),
            lease_claims: counters(
                "borageline_gateway_duty_claims_total",
                "claims of the lease of the duties by result",
                "result",
            ),
            duty_calls: duty_calls(),
            slots_in_use: service_gauges(
                "borageline_gateway_engine_slots_in_use_ratio",
                "share of the engines' slots in use, as this instance sees it",
            ),
            busiest_engine: service_gauges(
                "borageline_gateway_busiest_engine_ratio",
                "requests on the busiest engine over the mean engine",
            ),
            queue_beside_free: counters(
                "borageline_gateway_queue_beside_free_seconds_total",
                "seconds in which an engine has a queue and another free slots",
                "service",
            ),
        };
        metrics.register_all();
        metrics
    }

    fn register_all(&self) {
        self.register(&self.ends);
        self.register(&self.refusals);
        self.register(&self.retries);
        self.register(&self.latency);
        self.register(&self.lateness);
        self.register(&self.store_calls);
        self.register(&self.connections);
        self.register(&self.config_version);
        self.register(&self.config_faults);
        self.register(&self.members);
        self.register(&self.link_changes);
        self.register(&self.retry_loans);
        self.scaling.register(&self.registry);
        for collector in self.usage.collectors() {
            self.registry
                .register(collector)
                .expect("metric names are unique");
        }
        self.register(&self.lease_held);
        self.register(&self.lease_token);
        self.register(&self.lease_claims);
        self.register(&self.duty_calls);
        self.register(&self.slots_in_use);
        self.register(&self.busiest_engine);
        self.register(&self.queue_beside_free);
        for end in RequestEnd::ALL {
            self.ends.with_label_values(&[end.as_str()]);
        }
        for code in RefusalCode::ALL {
            self.refusals.with_label_values(&[code.as_str()]);
        }
        for reason in RetryReason::ALL {
            self.retries.with_label_values(&[reason.as_str()]);
        }
        for state in LinkState::ALL {
            self.link_changes.with_label_values(&[state.as_str()]);
        }
        for outcome in ["lent", "refused"] {
            self.retry_loans.with_label_values(&[outcome]);
        }
        for result in ClaimResult::ALL {
            self.lease_claims.with_label_values(&[result.as_str()]);
        }
        for outcome in ["answered", "failed"] {
            self.store_calls.with_label_values(&[outcome]);
        }
    }

    fn register<C: Collector + Clone + 'static>(&self, collector: &C) {
        self.registry
            .register(Box::new(collector.clone()))
            .expect("metric names are unique");
    }

    pub(super) fn count_end(&self, end: RequestEnd) {
        self.ends.with_label_values(&[end.as_str()]).inc();
    }

    /// Sets the parts of the desired state in force that cannot be used.
    pub(super) fn set_config_faults(&self, faults: &[ConfigFault]) {
        self.config_faults.reset();
        for fault in faults {
            let labels = [fault.kind, &*fault.name];
            self.config_faults.with_label_values(&labels).inc();
        }
    }

    /// Records how evenly a service's engines are used; called once a second.
    pub(super) fn record_engine_use(
        &self,
        service: &ServiceName,
        engines: &EngineUse,
    ) {
        let label = [service.as_str()];
        let in_use = self.slots_in_use.with_label_values(&label);
        in_use.set(engines.slots_in_use);
        let busiest = self.busiest_engine.with_label_values(&label);
        busiest.set(engines.busiest_to_mean);
        let seconds = self.queue_beside_free.with_label_values(&label);
        seconds.inc_by(u64::from(engines.is_queue_beside_free));
    }

    pub(super) fn count_refusal(&self, code: RefusalCode) {
        self.refusals.with_label_values(&[code.as_str()]).inc();
    }

    pub(super) fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    pub(super) fn count_retry_loan(&self, is_lent: bool) {
        let outcome = if is_lent { "lent" } else { "refused" };
        self.retry_loans.with_label_values(&[outcome]).inc();
    }

    pub(super) fn count_link_change(&self, state: LinkState) {
        self.link_changes.with_label_values(&[state.as_str()]).inc();
    }

    pub(super) fn count_store_call(&self, answered: bool) {
        let outcome = if answered { "answered" } else { "failed" };
        self.store_calls.with_label_values(&[outcome]).inc();
    }

    /// Sets the lease of the duties; `None` if it is not held.
    pub(super) fn set_held_lease(&self, token: Option<FencingToken>) {
        self.lease_held.set(token.is_some().into());
        if let Some(token) = token {
            let token = i64::try_from(token.get()).unwrap_or(i64::MAX);
            self.lease_token.set(token);
        }
    }

    pub(super) fn count_lease_claim(&self, result: ClaimResult) {
        self.lease_claims
            .with_label_values(&[result.as_str()])
            .inc();
    }

    /// Counts a call of a duty by its result: `done`, or the reason why it
    /// failed.
    pub(super) fn count_duty_call(&self, duty: DutyName, result: &str) {
        let labels = [duty.as_str(), result];
        self.duty_calls.with_label_values(&labels).inc();
    }

    pub(super) fn count_lateness(&self, lateness: AnswerLateness) {
        let label = [lateness.as_str()];
        self.lateness.with_label_values(&label).inc();
    }

    /// Records a time of a request: that to an answer (`whole`) or its first
    /// event (`events`), that before the first send (`waiting`), or the
    /// longest pause between events (`pause`).
    pub(super) fn record_latency(&self, form: &'static str, time: Duration) {
        let histogram = self.latency.with_label_values(&[form]);
        histogram.observe(time.as_secs_f64());
    }

    pub(super) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("a vector takes all text");
        text
    }
}

fn service_gauges(name: &str, help: &str) -> GaugeVec {
    GaugeVec::new(Opts::new(name, help), &["service"])
        .expect("name and label are valid")
}

fn config_faults() -> IntGaugeVec {
    let name = "borageline_gateway_config_faults";
    let help = "parts of the desired state in force that cannot be used";
    IntGaugeVec::new(Opts::new(name, help), &["part", "name"])
        .expect("name and labels are valid")
}

fn duty_calls() -> IntCounterVec {
    let name = "borageline_gateway_duty_calls_total";
    let help = "calls of the duties by duty and result";
    IntCounterVec::new(Opts::new(name, help), &["duty", "result"])
        .expect("name and labels are valid")
}

fn latency() -> HistogramVec {
    let name = "borageline_gateway_latency_seconds";
    let help = "times of requests, by form";
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
    HistogramVec::new(opts, &["form"]).expect("name and label are valid")
}
