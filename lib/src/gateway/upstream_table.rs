//! Upstreams that the platform lists, with their observed status.
//!
//! The table applies the records of the list one by one. During an outage of
//! the store, list entries may lapse; they are written again within
//! [`RECOVERY_GRACE`] of its recovery. In that time a removed entry is kept,
//! but used only if more than half of its service is removed: a few removed
//! entries are upstreams that leave.
//!
//! The store may carry out a write seconds after its writer has stopped
//! waiting, so the order in which entries are read is not that in which they
//! were written. An entry states the start of its process and its number among
//! the entries of that process. One that precedes the known entry, or the last
//! one of an upstream that has left ([`DepartureLog`]), is ignored. A later one
//! of a process that has left is used when the process is known to be back
//! ([`ReturnTable`]).
//!
//! After the store was restored from an earlier copy of itself, the list may be
//! outdated until the upstreams have written again and those that have left have
//! lapsed. In that time an upstream that the list lacks is still used.
//!
//! An upstream that fails requests is avoided for a while if others can serve
//! instead, and probed ([`super::failure_history`]), but stays a candidate as
//! long as it is listed. An upstream at
//! whose address a newer one has started is not used; its entry stays in the
//! list for some seconds.

mod counts;
mod failures;
mod links;
mod returns;
mod selection;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    departure_log::{
        DEPARTED_TIME, DepartedUpstream, DepartureKind, DepartureLog,
        EntryRevision,
    },
    failure_history::{FailureBounds, FailureHistory},
    reachability::{LinkGroup, LinkTargets, ReachabilityTable},
    upstream_return::{EntryRead, LATE_ENTRY_TIME, ReturnTable},
};
use crate::{
    ids::{DomainId, ServiceName, UpstreamId},
    units::{Incarnation, TIME_MAX, Timestamp},
    value_type,
};

/// Time after the store's recovery in which lapsed entries are written again.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(1_900);
/// Time for which an upstream is avoided after its first failure; it doubles
/// with each further one.
const AVOID_MIN: Duration = Duration::from_millis(500);
/// Most pauses that are remembered for processes that may lapse from the list.
const PAUSES_MAX: usize = 16_384;
/// Longest time for which an upstream is avoided.
const AVOID_MAX: Duration = Duration::from_secs(4);

/// Whether an upstream accepts new requests, as it reports itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts new requests.
    Ready,
    /// It completes its running requests and then leaves.
    Draining,
}

value_type! {
    /// One process of an upstream.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct UpstreamProcess {
        /// Id of the upstream.
        pub upstream: UpstreamId,
        /// Start of the process.
        pub incarnation: Incarnation,
    }
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Time for which it remains cold, that is slow, after the entry was read;
    /// zero if it is warm.
    pub cold_for: Duration,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Start of its process; observations of an earlier process do not apply
    /// to it.
    pub incarnation: Incarnation,
    /// Number of the entry among those that the process has written.
    pub sequence: u64,
}

impl UpstreamEntry {
    /// Service and failure domain of the upstream.
    pub fn link_group(&self) -> LinkGroup {
        LinkGroup {
            service: self.service.clone(),
            domain: self.domain.clone(),
        }
    }

    /// The process that the entry describes.
    pub fn process(&self) -> UpstreamProcess {
        UpstreamProcess {
            upstream: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Order in which the entries of an upstream were written.
    fn revision(&self) -> EntryRevision {
        EntryRevision {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamChange {
    /// A new entry, or a newer version of one.
    Set(UpstreamEntry),
    /// The upstream has left.
    Removed(UpstreamId),
    /// The entry cannot be read, so the upstream cannot be used. Another writer
    /// may have written it.
    Unreadable(UpstreamId),
}

/// One upstream with its observed status.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// Newest list entry.
    pub entry: UpstreamEntry,
    /// Time at which the newest entry was read.
    pub read_at: Timestamp,
    /// Time at which the first entry of the process was read.
    listed_at: Timestamp,
    cold_until: Timestamp,
    /// Whether the entry was removed from the list during the grace period.
    removed: bool,
    /// Restores of the store before the entry was read.
    restores: u64,
    /// Whether the process has replaced a former one with the same id.
    is_restarted: bool,
    /// Whether a newer upstream has its address.
    displaced: bool,
    /// Failures since the last success.
    failures: u32,
    /// Share of failed requests.
    history: FailureHistory,
    failed_at: Timestamp,
    avoid_until: Timestamp,
    /// Until when the upstream wants no requests of this instance.
    paused_until: Timestamp,
}

impl TrackedUpstream {
    fn new(now: Timestamp, entry: UpstreamEntry, restores: u64) -> Self {
        Self {
            cold_until: now.after(entry.cold_for),
            entry,
            read_at: now,
            listed_at: now,
            removed: false,
            restores,
            is_restarted: false,
            displaced: false,
            failures: 0,
            history: FailureHistory::default(),
            failed_at: Timestamp::ZERO,
            avoid_until: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
        }
    }

    /// Whether the upstream is still cold.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Whether the upstream is avoided after a recent failure.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }
}

/// All listed upstreams and the closed failure domains.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: BTreeMap<UpstreamId, TrackedUpstream>,
    /// Upstreams that are not listed, including those that are kept in the
    /// grace period.
    departures: DepartureLog,
    closed: BTreeSet<DomainId>,
    /// Listed upstreams that may have left.
    returns: ReturnTable,
    /// When the list was first read; `None` before.
    first_read_at: Option<Timestamp>,
    /// Services of the desired state; `None` before one was read.
    services: Option<BTreeSet<ServiceName>>,
    store_recovered_at: Option<Timestamp>,
    /// Number of restores of the store.
    restores: u64,
    /// Until when the restored list may be outdated.
    outdated_until: Timestamp,
    /// Number of other instances that avoid each upstream.
    suspects: BTreeMap<UpstreamId, usize>,
    links: ReachabilityTable,
    /// How failures of each service are forgotten.
    failure_bounds: BTreeMap<ServiceName, FailureBounds>,
    /// Upstreams that are left out since they failed more requests than others.
    failing: BTreeSet<UpstreamId>,
    /// Processes that said in a reply that they are leaving, and when.
    leaving: BTreeMap<UpstreamProcess, Timestamp>,
    /// Processes that want no requests of this instance, and until when.
    pauses: BTreeMap<UpstreamProcess, Timestamp>,
    /// Usable upstreams by service and failure domain; `None` after a change.
    link_targets: Option<Arc<LinkTargets>>,
}

impl UpstreamTable {
    /// Records that the store answered again after an outage; the latest
    /// recovery counts.
    pub fn store_recovered(&mut self, at: Timestamp) {
        // Another instance may report the recovery from an earlier outage.
        self.store_recovered_at = self.store_recovered_at.max(Some(at));
    }

    /// Records that the store was restored from an earlier copy; its list may be
    /// outdated until `until`.
    pub fn store_restored(&mut self, now: Timestamp, until: Timestamp) {
        self.store_recovered(now);
        self.restores += 1;
        self.outdated_until = until;
    }

    /// Whether the list may be outdated since the store was restored.
    pub fn may_be_outdated(&self, now: Timestamp) -> bool {
        now < self.outdated_until
    }

    /// Sets the time in which an entry that is not written again lapses.
    pub fn set_lapse_time(&mut self, time: Duration) {
        self.returns.set_lapse_time(time);
    }

    /// Applies one change of the list.
    pub fn apply(&mut self, now: Timestamp, change: UpstreamChange) {
        match change {
            UpstreamChange::Set(entry) => {
                self.watch_new(now, &entry);
                self.set(now, entry, EntryRead::Tail);
            }
            UpstreamChange::Removed(id) => {
                self.remove(now, &id, DepartureKind::Removed);
            }
            UpstreamChange::Unreadable(id) => {
                self.remove(now, &id, DepartureKind::Unreadable);
            }
        }
    }

    /// Replaces the whole list.
    pub fn replace(&mut self, now: Timestamp, entries: Vec<UpstreamEntry>) {
        let ids: BTreeSet<_> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let is_outdated = self.may_be_outdated(now);
        for entry in entries {
            let departed = self.departures.get(&entry.id);
            // The entry would have lapsed in the restored list by now if the
            // upstream had left.
            if !is_outdated
                && departed.is_some_and(|it| it.restores < self.restores)
            {
                self.departures.remove(&entry.id);
            }
            self.set(now, entry, EntryRead::Full);
        }
        let missing = self.upstreams.iter().filter(|(id, upstream)| {
            // An upstream that started after the copy was made is listed again
            // when it has written.
            let is_expected = is_outdated && upstream.restores < self.restores;
            !is_expected && !ids.contains(*id)
        });
        let missing: Vec<_> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.remove(now, &id, DepartureKind::Missing);
        }
        self.first_read_at.get_or_insert(now);
    }

    /// Whether an entry precedes the newest one of the upstream.
    fn is_superseded(&self, now: Timestamp, entry: &UpstreamEntry) -> bool {
        let may_be_outdated = self.may_be_outdated(now);
        let revision = entry.revision();
        if let Some(departed) = self.departures.get(&entry.id) {
            let is_from_copy =
                may_be_outdated && departed.restores < self.restores;
            return departed.supersedes(now, revision)
                || is_from_copy && revision <= departed.revision;
        }
        let Some(known) = self.upstreams.get(&entry.id) else {
            return false;
        };
        let same_process = known.entry.incarnation == entry.incarnation;
        let is_from_copy = may_be_outdated && known.restores < self.restores;
        // After this time an earlier start is no late write: the clock was set
        // back between the starts of the two processes.
        let is_former = entry.incarnation > Incarnation::default()
            && now.since(known.listed_at) < DEPARTED_TIME;
        revision < known.entry.revision()
            && (same_process || is_from_copy || is_former)
    }

    /// Adds or updates an entry, and compares it with the other entries at the
    /// same address: the one with the older incarnation is displaced.
    fn set(&mut self, now: Timestamp, entry: UpstreamEntry, read: EntryRead) {
        if self.is_superseded(now, &entry) {
            return;
        }
        self.link_targets = None;
        let mut displaced = false;
        let services = self.services.as_ref();
        let is_known = contains(services, &entry.service);
        for upstream in self.upstreams.values_mut() {
            let other = &upstream.entry;
            if other.address != entry.address
                || other.id == entry.id
                || !is_known
                || !contains(services, &other.service)
            {
                continue;
            }
            upstream.displaced |= other.incarnation < entry.incarnation;
            displaced |= other.incarnation > entry.incarnation;
        }
        self.watch_return(now, &entry, read);
        let id = entry.id.clone();
        let departed = self.departures.remove(&id);
        let former = self.upstreams.get(&id).map(|it| it.entry.incarnation);
        let former = former.or(departed.map(|it| it.revision.incarnation));
        let is_restarted = former.is_some_and(|it| it != entry.incarnation);
        self.upsert(now, entry, is_restarted);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.displaced = displaced;
        }
    }

    /// Replaces the services of the desired state. An entry of another service
    /// names no upstream to use, and does not displace one at its address.
    pub fn set_services(&mut self, services: BTreeSet<ServiceName>) {
        self.services = Some(services);
        let displaced = self.upstreams.values().filter(|it| it.displaced);
        let restored: Vec<_> = displaced
            .filter(|upstream| self.is_displaced_by_unknown(&upstream.entry))
            .map(|upstream| upstream.entry.id.clone())
            .collect();
        for id in restored {
            self.link_targets = None;
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.displaced = false;
            }
        }
    }

    fn is_known(&self, service: &ServiceName) -> bool {
        contains(self.services.as_ref(), service)
    }

    /// Whether the newer entries at an entry's address are all of unknown
    /// services; false if there are none.
    fn is_displaced_by_unknown(&self, entry: &UpstreamEntry) -> bool {
        let others = self.upstreams.values().map(|it| &it.entry);
        let mut newer = others.filter(|other| {
            other.address == entry.address
                && other.incarnation > entry.incarnation
        });
        let first = newer.next();
        first.is_some_and(|first| !self.is_known(&first.service))
            && newer.all(|other| !self.is_known(&other.service))
    }

    fn upsert(
        &mut self,
        now: Timestamp,
        entry: UpstreamEntry,
        is_restarted: bool,
    ) {
        match self.upstreams.get_mut(&entry.id) {
            Some(upstream)
                if upstream.entry.incarnation == entry.incarnation =>
            {
                upstream.cold_until = now.after(entry.cold_for);
                upstream.entry = entry;
                upstream.read_at = now;
                upstream.removed = false;
                upstream.restores = self.restores;
            }
            _ => {
                let id = entry.id.clone();
                self.failing.remove(&id);
                let mut upstream =
                    TrackedUpstream::new(now, entry, self.restores);
                upstream.is_restarted = is_restarted;
                let pause = self.pauses.get(&upstream.entry.process());
                upstream.paused_until =
                    pause.copied().unwrap_or(Timestamp::ZERO);
                self.upstreams.insert(id, upstream);
            }
        }
    }

    /// Removes an entry, or only marks it during the grace period.
    fn remove(&mut self, now: Timestamp, id: &UpstreamId, kind: DepartureKind) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let listed_for = now.since(upstream.listed_at);
        let departed = DepartedUpstream {
            revision: upstream.entry.revision(),
            kind,
            follows_restart: upstream.is_restarted
                && listed_for < LATE_ENTRY_TIME,
            restores: self.restores,
            at: now,
        };
        upstream.removed = true;
        self.returns
            .record_departure(now, &upstream.entry.service, id);
        self.link_targets = None;
        self.departures.insert(id.clone(), departed);
        self.expire(now);
    }

    fn in_recovery_grace(&self, now: Timestamp) -> bool {
        self.store_recovered_at
            .is_some_and(|at| now.since(at) < RECOVERY_GRACE)
    }

    /// Drops entries that were not written again within the grace period.
    pub fn expire(&mut self, now: Timestamp) {
        if !self.in_recovery_grace(now) {
            self.upstreams.retain(|_, upstream| !upstream.removed);
            let upstreams = &self.upstreams;
            self.failing.retain(|id| upstreams.contains_key(id));
        }
    }

    /// Closes or reopens a failure domain; returns whether that is a change.
    pub fn set_closed(&mut self, domain: DomainId, closed: bool) -> bool {
        self.link_targets = None;
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

    /// Returns one upstream, if it is listed.
    pub fn get(&self, id: &UpstreamId) -> Option<&TrackedUpstream> {
        self.upstreams.get(id)
    }

    /// Upstream of a service that is listed at an address; `None` if there is
    /// none.
    pub fn find_at(
        &self,
        service: &ServiceName,
        address: SocketAddr,
    ) -> Option<UpstreamId> {
        let found = self.upstreams.values().find(|upstream| {
            upstream.entry.service == *service
                && upstream.entry.address == address
                && !upstream.displaced
        });
        found.map(|upstream| upstream.entry.id.clone())
    }

    /// Number of listed upstreams of a service.
    pub fn count_listed(&self, service: &ServiceName) -> usize {
        let listed = self.upstreams();
        listed.filter(|it| it.entry.service == *service).count()
    }

    /// All upstreams, in the order of their ids.
    pub fn upstreams(&self) -> impl Iterator<Item = &TrackedUpstream> {
        self.upstreams.values()
    }

    /// Records that a process said that it is leaving; returns whether that is
    /// new. It gets no more requests, whatever its list entry says.
    pub fn mark_leaving(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
    ) -> bool {
        let upstreams = &self.upstreams;
        self.leaving.retain(|process, at| {
            let known = upstreams.get(&process.upstream);
            let is_listed = known.is_some_and(|known| {
                known.entry.incarnation == process.incarnation
            });
            is_listed || now.since(*at) < DEPARTED_TIME
        });
        self.link_targets = None;
        self.leaving.insert(process, now).is_none()
    }

    /// Records that a process wants no requests of this instance for some time.
    /// That holds while its entry is not listed, too.
    pub fn pause(
        &mut self,
        now: Timestamp,
        process: &UpstreamProcess,
        pause: Duration,
    ) {
        self.pauses.retain(|_, until| *until > now);
        let until = now.after(pause.min(TIME_MAX));
        if self.pauses.len() < PAUSES_MAX || self.pauses.contains_key(process) {
            let known = self.pauses.entry(process.clone()).or_insert(until);
            *known = until.max(*known);
        }
        let upstream = self.upstreams.get_mut(&process.upstream);
        let upstream =
            upstream.filter(|it| it.entry.incarnation == process.incarnation);
        if let Some(upstream) = upstream {
            upstream.paused_until = upstream.paused_until.max(until);
        }
    }

    /// Time until the first paused upstream of a service may be used again;
    /// `None` if none is paused.
    pub fn pause_left(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Option<Duration> {
        let paused = self.upstreams.values().filter(|upstream| {
            upstream.entry.service == *service && upstream.paused_until > now
        });
        let left = paused.map(|upstream| upstream.paused_until.since(now));
        left.min()
    }

    /// Records a completed request, which ends the avoidance.
    pub fn record_success(&mut self, now: Timestamp, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.failures = 0;
            upstream.avoid_until = Timestamp::ZERO;
        }
        self.record_outcome(now, id, false);
    }

    /// Records that an upstream did not answer a request; returns for how long
    /// it is avoided.
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
        upstream.failed_at = now;
        upstream.avoid_until = now.after(avoidance);
        self.record_outcome(now, id, true);
        avoidance
    }

    /// Records that a different upstream answered at this one's address. Its
    /// next list entry clears the mark.
    pub fn mark_displaced(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.displaced = true;
            self.link_targets = None;
        }
    }

    /// Records that an upstream answered with an error. This raises its
    /// failure share, but does not start an avoidance, since the next request
    /// may succeed.
    pub fn record_error(&mut self, now: Timestamp, id: &UpstreamId) {
        self.record_outcome(now, id, true);
    }
}

/// Whether a service is one of `services`; all are before these are known.
fn contains(
    services: Option<&BTreeSet<ServiceName>>,
    service: &ServiceName,
) -> bool {
    services.is_none_or(|services| services.contains(service))
}
