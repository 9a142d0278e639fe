//! The upstreams that the platform lists, and what was seen of them.
//!
//! The list is followed record by record. Entries that lapsed in an outage of
//! the store come back within [`RECOVERY_GRACE`] of its return. Until then a
//! removed entry is kept, but used only if most of its service is missing: a
//! few missing entries are upstreams that leave. An upstream that fails
//! requests is avoided for a while where others can take its place; it is
//! never given up while the list has it. One at whose address another has
//! started since is not used: its entry stays for some seconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    ids::{DomainId, ServiceName, UpstreamId},
    units::{Incarnation, Timestamp},
};

/// Time in which entries that lapsed in an outage of the store come back.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(1_900);
/// First time for which an upstream that failed is avoided.
const AVOID_MIN: Duration = Duration::from_millis(500);
/// Longest time for which an upstream that failed is avoided.
const AVOID_MAX: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the failure share.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure share, above the mean of the service, of an upstream to avoid.
const FAILURE_EXCESS: f64 = 0.2;

/// Whether an upstream takes new requests, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// How much longer it stays cold.
    pub cold_for: Duration,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Start of its process; a new one knows nothing of the one before.
    pub incarnation: Incarnation,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamChange {
    /// A new or newer entry.
    Set(UpstreamEntry),
    /// The upstream is gone, or its entry names none that can be used.
    Removed(UpstreamId),
}

/// One upstream and what was seen of it.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// Newest entry.
    pub entry: UpstreamEntry,
    /// When the newest entry was read.
    pub read_at: Timestamp,
    cold_until: Timestamp,
    removed: bool,
    /// Whether another upstream has its address.
    displaced: bool,
    failures: u32,
    failure_share: f64,
    avoid_until: Timestamp,
}

impl TrackedUpstream {
    fn new(now: Timestamp, entry: UpstreamEntry) -> Self {
        Self {
            cold_until: now.after(entry.cold_for),
            entry,
            read_at: now,
            removed: false,
            displaced: false,
            failures: 0,
            failure_share: 0.0,
            avoid_until: Timestamp::ZERO,
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Whether it failed lately.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }

    /// Share of its newest requests that failed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: BTreeMap<UpstreamId, TrackedUpstream>,
    closed: BTreeSet<DomainId>,
    store_recovered_at: Option<Timestamp>,
}

impl UpstreamTable {
    /// Notes that the store has answered again after an outage.
    pub fn store_recovered(&mut self, at: Timestamp) {
        // Other instances may have noticed it earlier, and of an outage before.
        self.store_recovered_at = self.store_recovered_at.max(Some(at));
    }

    /// Applies one change.
    pub fn apply(&mut self, now: Timestamp, change: UpstreamChange) {
        match change {
            UpstreamChange::Set(entry) => self.set(now, entry),
            UpstreamChange::Removed(id) => self.remove(now, &id),
        }
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, now: Timestamp, entries: Vec<UpstreamEntry>) {
        let ids: BTreeSet<_> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.set(now, entry);
        }
        let missing = self.upstreams.keys().filter(|id| !ids.contains(*id));
        let missing: Vec<_> = missing.cloned().collect();
        for id in missing {
            self.remove(now, &id);
        }
    }

    fn set(&mut self, now: Timestamp, entry: UpstreamEntry) {
        let mut displaced = false;
        for upstream in self.upstreams.values_mut() {
            let other = &upstream.entry;
            if other.address != entry.address || other.id == entry.id {
                continue;
            }
            upstream.displaced |= other.incarnation < entry.incarnation;
            displaced |= other.incarnation > entry.incarnation;
        }
        let id = entry.id.clone();
        self.upsert(now, entry);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.displaced = displaced;
        }
    }

    fn upsert(&mut self, now: Timestamp, entry: UpstreamEntry) {
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream)
                if upstream.entry.incarnation == entry.incarnation =>
            {
                upstream.cold_until = now.after(entry.cold_for);
                upstream.entry = entry;
                upstream.read_at = now;
                upstream.removed = false;
            }
            _ => {
                let id = entry.id.clone();
                self.upstreams.insert(id, TrackedUpstream::new(now, entry));
            }
        }
    }

    fn remove(&mut self, now: Timestamp, id: &UpstreamId) {
        if !self.in_recovery_grace(now) {
            self.upstreams.remove(id);
        } else if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.removed = true;
        }
    }

    fn in_recovery_grace(&self, now: Timestamp) -> bool {
        self.store_recovered_at
            .is_some_and(|at| now.since(at) < RECOVERY_GRACE)
    }

    /// Drops entries that did not come back in time.
    pub fn expire(&mut self, now: Timestamp) {
        if !self.in_recovery_grace(now) {
            self.upstreams.retain(|_, upstream| !upstream.removed);
        }
    }

    /// Closes or reopens a failure domain; true if that changes anything.
    pub fn set_closed(&mut self, domain: DomainId, closed: bool) -> bool {
        if closed {
            self.closed.insert(domain)
        } else {
            self.closed.remove(&domain)
        }
    }

    /// Closed failure domains.
    pub fn closed(&self) -> &BTreeSet<DomainId> {
        &self.closed
    }

    /// One upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&TrackedUpstream> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &TrackedUpstream> {
        self.upstreams.values()
    }

    /// Upstreams of a service that may receive a request. Those that failed
    /// lately are left out while others remain.
    pub fn candidates(
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
                    && !upstream.displaced
                    && !self.closed.contains(&upstream.entry.domain)
                    && !excluded.contains(&upstream.entry.id)
            })
            .collect();
        let removed = open.iter().filter(|upstream| upstream.removed).count();
        let open: Vec<_> = if removed * 2 > open.len() {
            open
        } else {
            open.into_iter()
                .filter(|upstream| !upstream.removed)
                .collect()
        };
        let sum: f64 = open.iter().map(|upstream| upstream.failure_share).sum();
        let limit = sum / open.len().max(1) as f64 + FAILURE_EXCESS;
        let sound: Vec<_> = open
            .iter()
            .copied()
            .filter(|upstream| {
                !upstream.is_avoided(now) && upstream.failure_share <= limit
            })
            .collect();
        if sound.is_empty() { open } else { sound }
    }

    /// Notes that an upstream has served a request.
    pub fn record_success(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.failures = 0;
            upstream.failure_share *= 1.0 - FAILURE_WEIGHT;
            upstream.avoid_until = Timestamp::ZERO;
        }
    }

    /// Notes that an upstream has failed a request; returns for how long it
    /// is avoided.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
    ) -> Duration {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Duration::ZERO;
        };
        let backoff = AVOID_MIN.saturating_mul(1 << upstream.failures.min(8));
        let avoidance = backoff.min(AVOID_MAX);
        upstream.failures += 1;
        upstream.failure_share +=
            FAILURE_WEIGHT * (1.0 - upstream.failure_share);
        upstream.avoid_until = now.after(avoidance);
        avoidance
    }

    /// Notes that another upstream has answered at an upstream's address.
    pub fn mark_displaced(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.displaced = true;
        }
    }

    /// Notes that an upstream answered with an error of its own, which says
    /// little of the next request.
    pub fn record_error(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.failure_share +=
                FAILURE_WEIGHT * (1.0 - upstream.failure_share);
        }
    }
}
