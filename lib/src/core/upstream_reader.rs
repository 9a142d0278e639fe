//! Polls the instance list and the capabilities of owned engines, and keeps the
//! table of upstreams.
//!
//! The instance list says which upstreams exist. Capabilities of engines come
//! from the owner's reads and, for engines of other owners, from gossip.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    engine_api::CapabilityReport,
    engine_capabilities::CapabilityTable,
    fleet_view::{UpstreamEntry, UpstreamTable},
    ids::{InstanceId, UpstreamId},
    platform_api::{InstanceListing, ListedProcess, ProcessKind},
    units::{Incarnation, Timestamp},
};

/// Minimum interval between two reads of the instance list.
const LIST_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Maximum interval between two reads of the instance list.
const LIST_INTERVAL_MAX: Duration = Duration::from_secs(60);
/// Interval per live instance between two reads of the list by one instance, so
/// that the fleet as a whole reads it at a constant rate.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(50);
/// Time after which an unanswered read counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two reads of an owned engine's capabilities.
const CAPABILITY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval after a failed read of an engine's capabilities.
const CAPABILITY_RETRY: Duration = Duration::from_millis(250);
/// How long an upstream is kept after it disappeared from the list. It counts
/// as leaving during this time, so that running work can finish.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct PollState {
    due: Timestamp,
    /// When the read in flight counts as lost; `None` if there is none.
    lost_at: Option<Timestamp>,
}

/// Table of upstreams and the timers of the reads that fill it.
#[derive(Debug, Default)]
pub(super) struct UpstreamReader {
    table: UpstreamTable,
    version: u64,
    listing: Option<Arc<InstanceListing>>,
    unlisted_since: BTreeMap<UpstreamId, Timestamp>,
    leaving_incarnations: BTreeMap<UpstreamId, Incarnation>,
    list_poll: PollState,
    polls: BTreeMap<UpstreamId, PollState>,
}

impl UpstreamReader {
    pub(super) fn table(&self) -> &UpstreamTable {
        &self.table
    }

    /// Version of the table, which increases with each change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn listing(&self) -> Option<&Arc<InstanceListing>> {
        self.listing.as_ref()
    }

    /// Whether the instance list is to be read now. If so, the read counts as
    /// started.
    pub(super) fn list_due(&mut self, now: Timestamp, live: usize) -> bool {
        if self.list_poll.lost_at.is_some_and(|lost_at| now < lost_at)
            || now < self.list_poll.due
        {
            return false;
        }
        let interval_for_fleet =
            LIST_INTERVAL_PER_INSTANCE * u32::try_from(live).unwrap_or(1_000);
        let interval =
            interval_for_fleet.clamp(LIST_INTERVAL_MIN, LIST_INTERVAL_MAX);
        self.list_poll.due = now.after(interval);
        self.list_poll.lost_at = Some(now.after(READ_TIMEOUT));
        true
    }

    /// Records that a read of the list failed; it is repeated at the regular
    /// interval.
    pub(super) fn list_failed(&mut self) {
        self.list_poll.lost_at = None;
    }

    /// Applies an instance list and returns its entries of instances.
    pub(super) fn apply_listing(
        &mut self,
        now: Timestamp,
        listing: InstanceListing,
        capabilities_by_engine: &CapabilityTable,
    ) -> Vec<ListedProcess> {
        self.list_poll.lost_at = None;
        let mut instances = Vec::new();
        let mut listed = BTreeMap::new();
        for process in &listing.instances {
            let service = match &process.kind {
                ProcessKind::Instance => {
                    instances.push(process.clone());
                    continue;
                }
                ProcessKind::Engine => None,
                ProcessKind::Service(service) => Some(service.clone()),
            };
            let Ok(id) = process.id.parse::<UpstreamId>() else {
                continue;
            };
            let entry = UpstreamEntry {
                address: process.address,
                domain: process.failure_domain.clone(),
                service,
                leaving: process.leaving,
                capability: capabilities_by_engine.get(&id),
            };
            listed.insert(id, entry);
        }
        let unlisted =
            self.table.iter().filter(|(id, _)| !listed.contains_key(id));
        let unlisted: Vec<UpstreamId> =
            unlisted.map(|(id, _)| id.clone()).collect();
        self.unlisted_since.retain(|id, _| !listed.contains_key(id));
        for id in unlisted {
            self.unlisted_since.entry(id.clone()).or_insert(now);
            self.set_leaving(&id);
        }
        for (id, mut entry) in listed {
            entry.leaving |= self.reported_leaving(&id, &entry);
            self.replace(id, entry);
        }
        self.listing = Some(Arc::new(listing));
        instances
    }

    /// Replaces the capabilities of an engine.
    pub(super) fn apply_capability_update(
        &mut self,
        id: &UpstreamId,
        capability: Option<Arc<CapabilityReport>>,
    ) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let entry = UpstreamEntry {
            capability,
            ..entry.clone()
        };
        self.replace(id.clone(), entry);
    }

    /// Records that an engine reported that it is leaving, in this incarnation.
    pub(super) fn record_leaving(
        &mut self,
        id: &UpstreamId,
        incarnation: Incarnation,
    ) {
        self.leaving_incarnations.insert(id.clone(), incarnation);
        self.set_leaving(id);
    }

    /// Removes upstreams that have been absent from the list for
    /// [`UNLISTED_RETENTION`].
    pub(super) fn expire(&mut self, now: Timestamp) {
        let expired: Vec<UpstreamId> = self
            .unlisted_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= UNLISTED_RETENTION)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.unlisted_since.remove(&id);
            self.leaving_incarnations.remove(&id);
            self.table.remove(&id);
            self.version += 1;
        }
    }

    /// Owned engines whose capabilities are to be read now. Their reads count
    /// as started.
    pub(super) fn capabilities_due(
        &mut self,
        now: Timestamp,
        local_instance: &InstanceId,
        owners: &BTreeMap<UpstreamId, InstanceId>,
    ) -> Vec<UpstreamId> {
        let owned = |id: &UpstreamId| owners.get(id) == Some(local_instance);
        self.polls.retain(|id, _| owned(id));
        for id in owners.keys().filter(|id| owned(id)) {
            self.polls.entry(id.clone()).or_default();
        }
        let mut due = Vec::new();
        for (id, poll) in &mut self.polls {
            let pending = poll.lost_at.is_some_and(|lost_at| now < lost_at);
            if !pending && now >= poll.due {
                poll.lost_at = Some(now.after(READ_TIMEOUT));
                due.push(id.clone());
            }
        }
        due
    }

    /// Makes the next read of an owned engine's capabilities due now.
    pub(super) fn schedule_read(&mut self, now: Timestamp, id: &UpstreamId) {
        if let Some(poll) = self.polls.get_mut(id) {
            poll.due = now;
        }
    }

    /// Records the end of a read of an engine's capabilities.
    pub(super) fn record_capability_read(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        answered: bool,
    ) {
        if let Some(poll) = self.polls.get_mut(id) {
            let wait = if answered {
                CAPABILITY_INTERVAL
            } else {
                CAPABILITY_RETRY
            };
            poll.lost_at = None;
            poll.due = now.after(wait);
        }
    }

    /// Schedules a read of an engine's capabilities if it has restarted.
    pub(super) fn check_incarnation(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        incarnation: Incarnation,
    ) {
        let entry = self.table.get(id);
        let known = entry.and_then(|entry| entry.capability.as_ref());
        if known.is_some_and(|known| known.incarnation != incarnation)
            && let Some(poll) = self.polls.get_mut(id)
        {
            poll.due = now;
        }
    }

    /// When the next read or removal is due.
    pub(super) fn next_timer(&self) -> Option<Timestamp> {
        let reads = self.polls.values().chain([&self.list_poll]);
        reads
            .map(|poll| poll.lost_at.unwrap_or(poll.due))
            .chain(
                self.unlisted_since
                    .values()
                    .map(|since| since.after(UNLISTED_RETENTION)),
            )
            .min()
    }

    /// Whether the engine reported that it is leaving and has not restarted
    /// since.
    fn reported_leaving(&self, id: &UpstreamId, entry: &UpstreamEntry) -> bool {
        let leaving_incarnation = self.leaving_incarnations.get(id);
        let known = entry
            .capability
            .as_ref()
            .map(|capability| capability.incarnation);
        leaving_incarnation.is_some_and(|leaving_incarnation| {
            known.is_none_or(|known| known <= *leaving_incarnation)
        })
    }

    fn set_leaving(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.table.get(id) {
            let entry = UpstreamEntry {
                leaving: true,
                ..entry.clone()
            };
            self.replace(id.clone(), entry);
        }
    }

    fn replace(&mut self, id: UpstreamId, entry: UpstreamEntry) {
        if self.table.get(&id) != Some(&entry) {
            self.table.insert(id, entry);
            self.version += 1;
        }
    }
}
