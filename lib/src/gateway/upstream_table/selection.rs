//! Selects the upstreams that may receive a request.

use std::collections::BTreeMap;

use super::{TrackedUpstream, UpstreamState, UpstreamTable};
use crate::{
    ids::{ServiceName, UpstreamId},
    units::Timestamp,
};

/// Other instances that must avoid an upstream before this one does; a single
/// one may itself be cut off.
const SUSPECTING_INSTANCES_MIN: usize = 2;

impl UpstreamTable {
    /// Upstreams of a service that may receive a request: ready, not leaving or
    /// paused, in an open failure domain and not in `excluded`. Those that failed
    /// recently are left out unless no others remain.
    pub fn candidates(
        &self,
        now: Timestamp,
        service: &ServiceName,
        excluded: &[UpstreamId],
    ) -> Vec<&TrackedUpstream> {
        let open = self.open(now, service, excluded);
        let mean = Self::mean_failure_share(now, &open);
        let healthy: Vec<_> = open
            .iter()
            .copied()
            .filter(|upstream| {
                !self.is_failing(now, upstream, mean)
                    && self.is_answering(now, upstream)
            })
            .collect();
        if healthy.is_empty() {
            return open;
        }
        let trusted: Vec<_> = healthy
            .iter()
            .copied()
            .filter(|upstream| !self.is_suspect(&upstream.entry.id))
            .collect();
        // Reports against most upstreams come from instances that are cut off.
        if trusted.len() * 2 < healthy.len() {
            healthy
        } else {
            trusted
        }
    }

    /// Upstreams that [`Self::candidates`] leaves out only because they have
    /// failed more requests than others of their service.
    pub fn failing_candidates(
        &self,
        now: Timestamp,
        service: &ServiceName,
        excluded: &[UpstreamId],
    ) -> Vec<&TrackedUpstream> {
        let mut open = self.open(now, service, excluded);
        let mean = Self::mean_failure_share(now, &open);
        open.retain(|upstream| {
            self.is_failing(now, upstream, mean)
                && self.is_answering(now, upstream)
                && !self.is_suspect(&upstream.entry.id)
        });
        open
    }

    /// Upstreams that say of themselves that they take requests.
    pub(super) fn open(
        &self,
        now: Timestamp,
        service: &ServiceName,
        excluded: &[UpstreamId],
    ) -> Vec<&TrackedUpstream> {
        let open: Vec<_> = self
            .upstreams
            .values()
            .filter(|upstream| {
                upstream.entry.service == *service
                    && upstream.entry.state == UpstreamState::Ready
                    && !self.leaving.contains_key(&upstream.entry.process())
                    && upstream.paused_until <= now
                    && !upstream.displaced
                    && !self.closed.contains(&upstream.entry.domain)
                    && !excluded.contains(&upstream.entry.id)
            })
            .collect();
        let is_recovering = self.in_recovery_grace(now);
        // If most of a service has lapsed, those listed again are back.
        let trusts_returns = is_recovering
            && self.returns.recent_departures(now, service) * 2 > open.len();
        let is_held = |upstream: &TrackedUpstream| {
            let is_doubtful = self.is_doubtful(now, &upstream.entry.id);
            upstream.removed || is_doubtful && !trusts_returns
        };
        let held = open.iter().filter(|upstream| is_held(upstream)).count();
        if is_recovering && held * 2 > open.len() {
            return open;
        }
        let listed = open.into_iter().filter(|upstream| !is_held(upstream));
        listed.collect()
    }

    /// Whether an upstream is not known to leave requests without an answer.
    fn is_answering(&self, now: Timestamp, upstream: &TrackedUpstream) -> bool {
        let group = upstream.entry.link_group();
        !upstream.is_avoided(now) && !self.links.is_lost(now, &group)
    }

    /// Replaces the number of other instances that avoid each upstream.
    pub fn set_suspects(&mut self, suspects: BTreeMap<UpstreamId, usize>) {
        self.suspects = suspects;
    }

    fn is_suspect(&self, id: &UpstreamId) -> bool {
        let count = self.suspects.get(id).copied().unwrap_or_default();
        count >= SUSPECTING_INSTANCES_MIN
    }

    /// Upstreams that are avoided after a recent failure, without those whose
    /// failures may be due to this instance's own links.
    pub fn suspects_to_report(&self, now: Timestamp) -> Vec<UpstreamId> {
        let suspects = self.upstreams().filter(|upstream| {
            upstream.is_avoided(now)
                && !self.links.is_doubtful(now, &upstream.entry.link_group())
        });
        suspects.map(|upstream| upstream.entry.id.clone()).collect()
    }
}
