//! Leaves out upstreams that fail more requests than others of their service.

use std::collections::BTreeSet;

use super::{TrackedUpstream, UpstreamTable};
use crate::{
    gateway::failure_history::FailureBounds,
    ids::{ServiceName, UpstreamId},
    units::Timestamp,
};

/// Excess of an upstream's failure share over the mean of its service above
/// which it is left out.
const FAILURE_EXCESS: f64 = 0.2;
/// Excess down to which it stays left out. An upstream that fails some requests
/// would otherwise return after each success.
const FAILURE_EXCESS_LEFT: f64 = FAILURE_EXCESS / 2.0;

impl UpstreamTable {
    /// Sets how fast failures of a service's upstreams are forgotten and how
    /// often these are probed.
    pub fn set_failure_bounds(
        &mut self,
        service: &ServiceName,
        bounds: FailureBounds,
    ) {
        self.failure_bounds.insert(service.clone(), bounds);
    }

    /// Whether any upstream is left out for its failures.
    pub fn has_failing(&self) -> bool {
        !self.failing.is_empty()
    }

    /// Number of upstreams of a service that are left out for their failures.
    fn count_failing(&self, service: &ServiceName) -> usize {
        let upstreams = self.failing.iter().filter_map(|id| self.get(id));
        upstreams.filter(|it| it.entry.service == *service).count()
    }

    fn failure_bounds(&self, service: &ServiceName) -> FailureBounds {
        let bounds = self.failure_bounds.get(service);
        bounds.copied().unwrap_or_default()
    }

    /// Mean failure share of some upstreams; zero if there are none.
    pub(super) fn mean_failure_share(
        now: Timestamp,
        upstreams: &[&TrackedUpstream],
    ) -> f64 {
        let shares = upstreams.iter().map(|it| it.history.share(now));
        shares.sum::<f64>() / upstreams.len().max(1) as f64
    }

    /// Whether an upstream fails more requests than its service, given the mean
    /// failure share there.
    pub(super) fn is_failing(
        &self,
        now: Timestamp,
        upstream: &TrackedUpstream,
        mean: f64,
    ) -> bool {
        let excess = if self.failing.contains(&upstream.entry.id) {
            FAILURE_EXCESS_LEFT
        } else {
            FAILURE_EXCESS
        };
        upstream.history.share(now) > mean + excess
    }

    /// Adds the outcome of a request to an upstream's history.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        has_failed: bool,
    ) {
        if has_failed {
            // It may have been forgotten since the outcome before.
            self.review_failures(now, id);
        }
        if let Some(upstream) = self.get(id) {
            let service = upstream.entry.service.clone();
            let bounds = self.failure_bounds(&service);
            let count = self.count_failing(&service);
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.history.record(now, &bounds, count, has_failed);
            }
        }
        if has_failed || self.failing.contains(id) {
            self.review_failures(now, id);
        }
    }

    /// Decides whether an upstream is left out for its failures.
    fn review_failures(&mut self, now: Timestamp, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get(id) else {
            self.failing.remove(id);
            return;
        };
        let others = self.open(now, &upstream.entry.service, &[]);
        let mean = Self::mean_failure_share(now, &others);
        if !self.is_failing(now, upstream, mean) {
            self.failing.remove(id);
        } else if self.failing.insert(id.clone())
            && let Some(upstream) = self.upstreams.get_mut(id)
        {
            upstream.history.begin_exclusion();
        }
    }

    /// The upstream of a service that is to be probed now, if any: one that is
    /// left out only for its failures and is not in `probed`.
    pub fn due_probe(
        &self,
        now: Timestamp,
        service: &ServiceName,
        probed: &BTreeSet<&UpstreamId>,
    ) -> Option<UpstreamId> {
        if self.failing.is_empty() {
            return None;
        }
        let failing = self.failing_candidates(now, service, &[]);
        let bounds = self.failure_bounds(service);
        let count = self.count_failing(service);
        let due = failing.into_iter().filter_map(|upstream| {
            let at = upstream.history.next_probe_at(&bounds, count);
            let id = &upstream.entry.id;
            (at <= now && !probed.contains(id)).then_some((at, id))
        });
        due.min().map(|(_, id)| id.clone())
    }

    /// Records that a probe of an upstream has begun.
    pub fn begin_probe(&mut self, now: Timestamp, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.history.begin_probe(now);
        }
    }
}
