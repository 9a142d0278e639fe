//! Counts the engines of a service by failure domain.

use std::collections::BTreeMap;

use super::{UpstreamState, UpstreamTable};
use crate::{
    gateway::engine_scaling::EngineCounts,
    ids::{DomainId, ServiceName},
    units::Timestamp,
};

impl UpstreamTable {
    /// Listed upstreams of a service. Those that fail requests count as serving:
    /// they are present, and are not replaced by ordering others.
    pub fn engine_counts(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> BTreeMap<DomainId, EngineCounts> {
        let mut counts = BTreeMap::<_, EngineCounts>::new();
        let listed = self.upstreams.values().filter(|upstream| {
            upstream.entry.service == *service
                && !upstream.displaced
                && !upstream.removed
        });
        for upstream in listed {
            let entry = &upstream.entry;
            let engines = counts.entry(entry.domain.clone()).or_default();
            engines.listed += 1;
            if entry.state != UpstreamState::Ready
                || self.leaving.contains_key(&entry.process())
            {
                engines.leaving += 1;
            } else if self.is_doubtful(now, &entry.id) {
                // It may have left already.
            } else if upstream.is_cold(now) {
                engines.cold += 1;
            } else {
                engines.ready += 1;
            }
        }
        counts
    }

    /// Whether the list was read, and holds all entries that are written at
    /// present.
    pub fn is_current(&self, now: Timestamp) -> bool {
        self.first_read_at.is_some()
            && !self.may_be_outdated(now)
            && !self.in_recovery_grace(now)
    }
}
