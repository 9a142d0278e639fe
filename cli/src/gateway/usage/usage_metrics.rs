//! Metrics of the usage reports.

use borageline_lib::gateway::usage_counts::WindowNumber;
use prometheus::{IntCounter, IntCounterVec, IntGauge, core::Collector};

use crate::metrics::{counters, gauge};

/// Outcomes of a window.
const OUTCOMES: [&str; 3] = ["in_time", "late", "missed"];

/// Metrics of the usage reports.
#[derive(Debug)]
pub(in crate::gateway) struct UsageMetrics {
    last_window: IntGauge,
    due_windows: IntGauge,
    windows: IntCounterVec,
    late_begins: IntGauge,
    unknown_datagrams: IntCounter,
}

impl UsageMetrics {
    pub(in crate::gateway) fn new() -> Self {
        let metrics = Self {
            last_window: gauge(
                "borageline_gateway_usage_last_window",
                "last usage window whose report this instance sent",
            ),
            due_windows: gauge(
                "borageline_gateway_usage_due_windows",
                "usage windows that this instance has to report",
            ),
            windows: counters(
                "borageline_gateway_usage_windows_total",
                "usage windows that this instance reported, by outcome",
                "outcome",
            ),
            late_begins: gauge(
                "borageline_gateway_usage_late_begins",
                "begins that came too late for the report of their window",
            ),
            unknown_datagrams: IntCounter::new(
                "borageline_gateway_usage_unknown_datagrams_total",
                "datagrams with counts that this build cannot read",
            )
            .expect("name is valid"),
        };
        for outcome in OUTCOMES {
            metrics.windows.with_label_values(&[outcome]);
        }
        metrics
    }

    pub(in crate::gateway) fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.last_window.clone()),
            Box::new(self.due_windows.clone()),
            Box::new(self.windows.clone()),
            Box::new(self.late_begins.clone()),
            Box::new(self.unknown_datagrams.clone()),
        ]
    }

    pub(super) fn record_sent(&self, window: WindowNumber, is_late: bool) {
        let window = i64::try_from(window.get()).unwrap_or(i64::MAX);
        self.last_window.set(window);
        let outcome = if is_late { "late" } else { "in_time" };
        self.windows.with_label_values(&[outcome]).inc();
    }

    pub(super) fn record_missed(&self, count: u64) {
        self.windows.with_label_values(&["missed"]).inc_by(count);
    }

    pub(super) fn set_due_windows(&self, count: u64) {
        self.due_windows
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn set_late_begins(&self, count: u64) {
        self.late_begins
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn count_unknown_datagram(&self) {
        self.unknown_datagrams.inc();
    }
}
