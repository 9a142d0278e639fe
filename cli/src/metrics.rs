//! Prometheus metrics of one instance.
//!
//! All series exist from the start, so that a missing series never means zero.
//! No label value is taken from a caller's input, so the number of series is
//! fixed.

use std::time::Duration;

use borageline_lib::{
    api::PriorityClass,
    refusal::{RefusalCode, RetryReason},
    units::TokenCount,
};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder, core::Collector,
};

use crate::peers::TrafficMeter;

/// Upper bounds of the first-token histogram's buckets, in seconds.
const FIRST_TOKEN_BOUNDS: &[f64] = &[
    0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.55, 0.8, 1.2, 2.0, 5.0, 10.0, 30.0,
    60.0, 120.0, 300.0, 600.0,
];
/// Prompts up to this length count as short.
const SHORT_PROMPT: TokenCount = TokenCount::new(4_000);
/// Prompts above this length count as long.
const LONG_PROMPT: TokenCount = TokenCount::new(100_000);
const PROMPT_LABELS: &[&str] = &["le_4k", "4k_to_100k", "gt_100k"];

/// Metrics of one instance.
#[derive(Debug)]
pub struct ServerMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    core_refusals: IntCounterVec,
    retries: IntCounterVec,
    first_token: HistogramVec,
    /// Bytes buffered for streamed completions.
    pub held_bytes: IntGauge,
    /// Bytes buffered for request bodies and collected completions.
    pub body_bytes: IntGauge,
    /// Open connections from callers.
    pub connections: IntGauge,
    /// Chunks with another request's id.
    pub foreign_chunks: IntCounter,
    /// Chunks that were received more than once.
    pub repeated_chunks: IntCounter,
    /// Completions that ended without their end marker.
    pub truncated_answers: IntCounter,
    /// Streams detached from their engine for a slow reader.
    pub detached_streams: IntCounter,
    /// Connections to upstreams that were made through other instances.
    pub relayed_connections: IntCounter,
}

impl ServerMetrics {
    /// Creates and registers all metrics, at zero.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::new(),
            requests: counters(
                "borageline_requests_total",
                "requests by class",
                "class",
            ),
            refusals: counters(
                "borageline_refusals_total",
                "errors answered, by code",
                "code",
            ),
            core_refusals: counters(
                "borageline_decided_refusals_total",
                "refusals decided by the core, by code",
                "code",
            ),
            retries: counters(
                "borageline_retries_total",
                "retries by reason",
                "reason",
            ),
            first_token: first_token(),
            held_bytes: gauge(
                "borageline_held_bytes",
                "bytes buffered for streamed answers",
            ),
            body_bytes: gauge(
                "borageline_body_bytes",
                "bytes held for request bodies",
            ),
            connections: gauge(
                "borageline_connections",
                "open connections from callers",
            ),
            foreign_chunks: counter(
                "borageline_foreign_parts_total",
                "parts of answers with another request's id",
            ),
            repeated_chunks: counter(
                "borageline_repeated_parts_total",
                "parts of answers that came more than once",
            ),
            truncated_answers: counter(
                "borageline_truncated_answers_total",
                "answers that ended without their end marker",
            ),
            detached_streams: counter(
                "borageline_detached_streams_total",
                "streams detached from their engine for a slow reader",
            ),
            relayed_connections: counter(
                "borageline_relayed_connections_total",
                "connections to upstreams through other instances",
            ),
        };
        metrics.register_all();
        metrics.create_series();
        metrics
    }

    fn register_all(&self) {
        self.register(&self.requests);
        self.register(&self.refusals);
        self.register(&self.core_refusals);
        self.register(&self.retries);
        self.register(&self.first_token);
        self.register(&self.held_bytes);
        self.register(&self.body_bytes);
        self.register(&self.connections);
        self.register(&self.foreign_chunks);
        self.register(&self.repeated_chunks);
        self.register(&self.truncated_answers);
        self.register(&self.detached_streams);
        self.register(&self.relayed_connections);
    }

    fn register<C: Collector + Clone + 'static>(&self, collector: &C) {
        self.registry
            .register(Box::new(collector.clone()))
            .expect("names of metrics differ");
    }

    fn create_series(&self) {
        for class in PriorityClass::ALL {
            self.requests.with_label_values(&[class.as_str()]);
        }
        for code in RefusalCode::ALL {
            self.refusals.with_label_values(&[code.as_str()]);
            self.core_refusals.with_label_values(&[code.as_str()]);
        }
        for reason in RetryReason::ALL {
            self.retries.with_label_values(&[reason.as_str()]);
        }
        for label in PROMPT_LABELS {
            self.first_token.with_label_values(&[label]);
        }
    }

    /// Counts a completion request that passed the checks on arrival.
    pub fn count_request(&self, class: PriorityClass) {
        self.requests.with_label_values(&[class.as_str()]).inc();
    }

    /// Counts an error response to a caller.
    pub fn count_refusal(&self, code: RefusalCode) {
        self.refusals.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a refusal decided by the core.
    pub fn count_core_refusal(&self, code: RefusalCode) {
        self.core_refusals.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a retry of a request or call, or the resumption of a completion.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Records the time from a request's arrival to the first chunk of its
    /// completion, in the histogram for its prompt's length.
    pub fn observe_first_token(&self, prompt: TokenCount, time: Duration) {
        let label = if prompt <= SHORT_PROMPT {
            PROMPT_LABELS[0]
        } else if prompt <= LONG_PROMPT {
            PROMPT_LABELS[1]
        } else {
            PROMPT_LABELS[2]
        };
        let histogram = self.first_token.with_label_values(&[label]);
        histogram.observe(time.as_secs_f64());
    }

    /// Registers the counters of the bytes exchanged with other instances.
    pub fn register_traffic(&self, meter: &TrafficMeter) {
        self.register(meter.sent());
        self.register(meter.received());
    }

    /// Renders all metrics in Prometheus' text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("a vector takes all text");
        text
    }
}

impl Default for ServerMetrics {
    fn default() -> Self {
        Self::new()
    }
}

pub(crate) fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label])
        .expect("name and label are valid")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("name is valid")
}

pub(crate) fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("name is valid")
}

fn first_token() -> HistogramVec {
    let name = "borageline_first_token_seconds";
    let opts = HistogramOpts::new(name, "time to the first part, by prompt")
        .buckets(FIRST_TOKEN_BOUNDS.to_vec());
    HistogramVec::new(opts, &["prompt"]).expect("name and label are valid")
}
