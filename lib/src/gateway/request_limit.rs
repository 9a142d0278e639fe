//! Limits that upstreams name for the requests that they take.
//!
//! An upstream in need names in its answers how many requests a second it takes
//! from all instances together, as long as that applies. Instances tell each
//! other what they read, so that one answer suffices for all. The newest answer
//! counts. [`super::dispatch_rate`] divides a limit among the instances.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    fmt::{Display, Formatter},
    str::FromStr,
    time::Duration,
};

use super::upstream_table::UpstreamProcess;
use crate::{units::Timestamp, value_type};

/// Time after which a limit that no answer confirms is dropped; an upstream
/// under a limit gets requests far more often.
const FORGET_TIME: Duration = Duration::from_secs(60);
/// Time for which the end of a limit is remembered, so that an older report
/// does not bring the limit back.
const END_REPORT_TIME: Duration = Duration::from_secs(10);
/// Time for which a change is in each report; several heartbeats may be lost.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Most limits in one report.
const REPORTED_MAX: usize = 64;
/// Most limits that are kept.
const LIMITS_MAX: usize = 16_384;

value_type! {
    /// Requests a second that an upstream takes from all instances together;
    /// finite and not negative.
    #[derive(Copy, PartialOrd)]
    pub struct RequestLimit(f64);
}

/// Error for text that is not a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitError {
    /// The rejected text.
    pub text: String,
}

impl Display for LimitError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is not a number of requests a second, 0 or more",
            self.text,
        )
    }
}

impl std::error::Error for LimitError {}

impl RequestLimit {
    /// The limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Display for RequestLimit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} requests/s", self.0)
    }
}

impl FromStr for RequestLimit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let limit = text.trim().parse().ok();
        limit
            .filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
            .map(Self)
            .ok_or_else(|| LimitError { text: text.into() })
    }
}

value_type! {
    /// What an upstream named last, as one instance tells the others.
    pub struct LimitReport {
        /// Process that named the limit.
        pub process: UpstreamProcess,
        /// The limit; `None` if the process no longer names one.
        pub limit: Option<RequestLimit>,
        /// Time since then, in milliseconds.
        pub age_ms: u32,
    }
}

/// A change of a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Process that named the limit.
    pub process: UpstreamProcess,
    /// The limit; `None` if there is none any more.
    pub limit: Option<RequestLimit>,
}

/// What one process of an upstream named last.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    limit: Option<RequestLimit>,
    named_at: Timestamp,
    /// Time at which this instance learned of the last change.
    changed_at: Timestamp,
}

/// Limits of all upstreams, merged over all instances.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: BTreeMap<UpstreamProcess, NamedLimit>,
    changes: Vec<LimitChange>,
}

impl LimitTable {
    /// Limit of a process; `None` if it names none.
    pub fn limit(&self, process: &UpstreamProcess) -> Option<RequestLimit> {
        self.limits.get(process)?.limit
    }

    /// Whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records what a process named at a time; older reports are ignored.
    pub fn record(
        &mut self,
        now: Timestamp,
        process: &UpstreamProcess,
        limit: Option<RequestLimit>,
        named_at: Timestamp,
    ) {
        if let Some(known) = self.limits.get_mut(process) {
            if named_at <= known.named_at {
                return;
            }
            known.named_at = named_at;
            if known.limit == limit {
                return;
            }
            known.limit = limit;
            known.changed_at = now;
        } else {
            if limit.is_none() || self.limits.len() >= LIMITS_MAX {
                return;
            }
            let named = NamedLimit {
                limit,
                named_at,
                changed_at: now,
            };
            self.limits.insert(process.clone(), named);
        }
        self.changes.push(LimitChange {
            process: process.clone(),
            limit,
        });
    }

    /// Drops limits that were not named for a long time, and those that ended.
    pub fn expire(&mut self, now: Timestamp) {
        let changes = &mut self.changes;
        self.limits.retain(|process, named| {
            let age = now.since(named.named_at);
            let is_kept = match named.limit {
                Some(_) => age < FORGET_TIME,
                None => age < END_REPORT_TIME,
            };
            if !is_kept && named.limit.is_some() {
                changes.push(LimitChange {
                    process: process.clone(),
                    limit: None,
                });
            }
            is_kept
        });
    }

    /// Reports for the other instances: the limits that changed lately, or all.
    pub fn report(&self, now: Timestamp, is_full: bool) -> Vec<LimitReport> {
        let mut named: Vec<_> = self
            .limits
            .iter()
            .filter(|(_, it)| is_full || now.since(it.changed_at) < REPORT_TIME)
            .collect();
        named.sort_by_key(|(_, it)| Reverse(it.changed_at));
        let named = named.into_iter().take(REPORTED_MAX);
        named
            .map(|(process, named)| LimitReport {
                process: process.clone(),
                limit: named.limit,
                age_ms: u32::try_from(now.since(named.named_at).as_millis())
                    .unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Applies the reports of another instance.
    pub fn merge(&mut self, now: Timestamp, reports: &[LimitReport]) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let named_at = now.before(age).unwrap_or(Timestamp::ZERO);
            self.record(now, &report.process, report.limit, named_at);
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}
