//! Links of this instance to the listed upstreams.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use super::{UpstreamEntry, UpstreamState, UpstreamTable};
use crate::{
    gateway::{
        failure_history::FailureHistory,
        reachability::{
            LinkChange, LinkGroup, LinkReport, LinkState, LinkTargets,
        },
    },
    ids::{ServiceName, UpstreamId},
    units::Timestamp,
};

impl UpstreamTable {
    /// Usable upstreams by service and failure domain.
    fn link_targets(&mut self) -> Arc<LinkTargets> {
        if let Some(targets) = &self.link_targets {
            return targets.clone();
        }
        let usable = self.upstreams.values().filter(|upstream| {
            upstream.entry.state == UpstreamState::Ready
                && !self.leaving.contains_key(&upstream.entry.process())
                && !upstream.removed
                && !upstream.displaced
                && !self.closed.contains(&upstream.entry.domain)
        });
        let mut targets = LinkTargets::new();
        for upstream in usable {
            let entry = &upstream.entry;
            let group = targets.entry(entry.link_group()).or_default();
            group.insert(entry.id.clone());
        }
        self.links.retain(&targets);
        let targets = Arc::new(targets);
        self.link_targets = Some(targets.clone());
        targets
    }

    /// Records that a connection to an upstream, begun at `begun_at`, was
    /// established.
    pub fn record_reached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        id: &UpstreamId,
    ) {
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let group = upstream.entry.link_group();
        let was_lost = self.links.is_lost(now, &group);
        let unreached_since =
            self.links.record_reached(now, begun_at, group.clone());
        if let (true, Some(since)) = (was_lost, unreached_since) {
            self.forget_failures(&group, since);
        }
    }

    /// Forgets failures of the upstreams of a group since `since`: they were
    /// due to this instance's links.
    fn forget_failures(&mut self, group: &LinkGroup, since: Timestamp) {
        for upstream in self.upstreams.values_mut() {
            if upstream.entry.link_group() == *group
                && upstream.failed_at >= since
            {
                upstream.failures = 0;
                upstream.history = FailureHistory::default();
                upstream.avoid_until = Timestamp::ZERO;
                self.failing.remove(&upstream.entry.id);
            }
        }
    }

    /// Records that a connection to an upstream, begun at `begun_at`, was not
    /// established.
    pub fn record_unreached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        id: &UpstreamId,
    ) {
        let targets = self.link_targets();
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let group = upstream.entry.link_group();
        let count = targets.get(&group).map_or(1, BTreeSet::len);
        self.links.record_failed(now, begun_at, group, id, count);
    }

    /// State of this instance's links to a service.
    pub fn link_state(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> LinkState {
        let targets = self.link_targets();
        self.links.state(now, service, &targets)
    }

    /// Whether no upstream of a service was reached by a connection begun
    /// after `begun_at`.
    pub fn is_unreached_since(
        &self,
        service: &ServiceName,
        begun_at: Timestamp,
    ) -> bool {
        self.links.is_unreached_since(service, begun_at)
    }

    /// Since when the links to an upstream have been lost; `None` if they are
    /// not.
    pub fn links_lost_since(&self, id: &UpstreamId) -> Option<Timestamp> {
        let upstream = self.upstreams.get(id)?;
        self.links.lost_since(&upstream.entry.link_group())
    }

    /// What this instance tells the others of its links.
    pub fn link_report(&mut self, now: Timestamp) -> LinkReport {
        let targets = self.link_targets();
        self.links.report(now, &targets)
    }

    /// Other upstreams like the given one: those of its failure domain, or of
    /// the others if it is the only one there.
    pub fn others_like(&mut self, id: &UpstreamId) -> Vec<UpstreamEntry> {
        let targets = self.link_targets();
        let Some(upstream) = self.upstreams.get(id) else {
            return Vec::new();
        };
        let group = upstream.entry.link_group();
        let others = |in_domain: bool| {
            let groups = targets.iter().filter(|(other, _)| {
                other.service == group.service
                    && (other.domain == group.domain) == in_domain
            });
            let ids = groups.flat_map(|(_, ids)| ids);
            let others = ids.filter(|other| *other != id);
            let entries = others.filter_map(|id| self.upstreams.get(id));
            entries.map(|it| it.entry.clone()).collect::<Vec<_>>()
        };
        let near = others(true);
        if near.is_empty() { others(false) } else { near }
    }

    /// Upstreams to probe now, with their addresses.
    pub fn next_probes(
        &mut self,
        now: Timestamp,
    ) -> Vec<(UpstreamId, SocketAddr)> {
        let targets = self.link_targets();
        let ids = self.links.next_probes(now, &targets).into_iter();
        ids.filter_map(|id| {
            let address = self.upstreams.get(&id)?.entry.address;
            Some((id, address))
        })
        .collect()
    }

    /// Returns the services whose links have changed since the last call.
    pub fn take_link_changes(&mut self, now: Timestamp) -> Vec<LinkChange> {
        let targets = self.link_targets();
        self.links.take_changes(now, &targets)
    }
}
