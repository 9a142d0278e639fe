//! Which upstreams exist, and what engines say of themselves.
//!
//! The instance list names the upstreams. What engines say of themselves
//! comes from the owner's own readings and from the gossip of other owners.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    engine_api::CapabilityReport,
    engine_facts::CapabilityTable,
    fleet_view::{UpstreamEntry, UpstreamTable},
    ids::{InstanceId, UpstreamId},
    platform_api::{InstanceListing, ListedProcess, ProcessKind},
    units::{Incarnation, Timestamp},
};

/// Shortest interval between two readings of the instance list.
const LIST_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Longest interval between two readings of the instance list.
const LIST_INTERVAL_MAX: Duration = Duration::from_secs(60);
/// Interval between two readings for each live instance, so that the fleet
/// as a whole reads the list at a constant rate.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(50);
/// Time after which a reading that was not answered counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two readings of an owned engine's capabilities.
const CAPABILITY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between two readings of an engine that never answered.
const CAPABILITY_RETRY: Duration = Duration::from_millis(250);
/// Time for which an upstream is kept after the list stopped naming it. It
/// counts as leaving meanwhile, so that running work can finish.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct PollState {
    due: Timestamp,
    lost_at: Option<Timestamp>,
}

/// Follows the instance list and the owned engines' capabilities.
#[derive(Debug, Default)]
pub(super) struct UpstreamReader {
    table: UpstreamTable,
    version: u64,
    listing: Option<Arc<InstanceListing>>,
    unlisted_since: BTreeMap<UpstreamId, Timestamp>,
    leaving_incarnations: BTreeMap<UpstreamId, Incarnation>,
    list: PollState,
    capabilities: BTreeMap<UpstreamId, PollState>,
}

impl UpstreamReader {
    pub(super) fn table(&self) -> &UpstreamTable {
        &self.table
    }

    /// Number that rises with each change of an upstream.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn listing(&self) -> Option<&Arc<InstanceListing>> {
        self.listing.as_ref()
    }

    /// Whether the instance list is to be read now.
    pub(super) fn list_due(&mut self, now: Timestamp, live: usize) -> bool {
        if self.list.lost_at.is_some_and(|lost| now < lost)
            || now < self.list.due
        {
            return false;
        }
        let share =
            LIST_INTERVAL_PER_INSTANCE * u32::try_from(live).unwrap_or(1_000);
        let interval = share.clamp(LIST_INTERVAL_MIN, LIST_INTERVAL_MAX);
        self.list.due = now.after(interval);
        self.list.lost_at = Some(now.after(READ_TIMEOUT));
        true
    }

    /// Notes that a reading of the list failed.
    pub(super) fn list_failed(&mut self) {
        self.list.lost_at = None;
    }

    /// Takes a listing in and returns the lines that name instances.
    pub(super) fn apply_listing(
        &mut self,
        now: Timestamp,
        listing: InstanceListing,
        facts: &CapabilityTable,
    ) -> Vec<ListedProcess> {
        self.list.lost_at = None;
        let mut instances = Vec::new();
        let mut named = BTreeMap::new();
        for line in &listing.instances {
            let service = match &line.kind {
                ProcessKind::Instance => {
                    instances.push(line.clone());
                    continue;
                }
                ProcessKind::Engine => None,
                ProcessKind::Service(service) => Some(service.clone()),
            };
            let Ok(id) = line.id.parse::<UpstreamId>() else {
                continue;
            };
            let entry = UpstreamEntry {
                address: line.address,
                domain: line.failure_domain.clone(),
                service,
                leaving: line.leaving,
                capability: facts.get(&id),
            };
            named.insert(id, entry);
        }
        let gone = self.table.iter().filter(|(id, _)| !named.contains_key(id));
        let gone: Vec<UpstreamId> = gone.map(|(id, _)| id.clone()).collect();
        self.unlisted_since.retain(|id, _| !named.contains_key(id));
        for id in gone {
            self.unlisted_since.entry(id.clone()).or_insert(now);
            self.set_leaving(&id);
        }
        for (id, mut entry) in named {
            entry.leaving |= self.reported_leaving(&id, &entry);
            self.replace(id, entry);
        }
        self.listing = Some(Arc::new(listing));
        instances
    }

    /// Puts a newer fact about an engine in force.
    pub(super) fn apply_capability_update(
        &mut self,
        id: &UpstreamId,
        fact: Option<Arc<CapabilityReport>>,
    ) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let entry = UpstreamEntry {
            capability: fact,
            ..entry.clone()
        };
        self.replace(id.clone(), entry);
    }

    /// Notes that an engine said itself that it is leaving.
    pub(super) fn record_leaving(
        &mut self,
        id: &UpstreamId,
        incarnation: Incarnation,
    ) {
        self.leaving_incarnations.insert(id.clone(), incarnation);
        self.set_leaving(id);
    }

    /// Drops upstreams that the list has not named for long.
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

    /// Owned engines whose capabilities are to be read now.
    pub(super) fn capabilities_due(
        &mut self,
        now: Timestamp,
        own: &InstanceId,
        owners: &BTreeMap<UpstreamId, InstanceId>,
    ) -> Vec<UpstreamId> {
        let owned = |id: &UpstreamId| owners.get(id) == Some(own);
        self.capabilities.retain(|id, _| owned(id));
        for id in owners.keys().filter(|id| owned(id)) {
            self.capabilities.entry(id.clone()).or_default();
        }
        let mut due = Vec::new();
        for (id, read) in &mut self.capabilities {
            let pending = read.lost_at.is_some_and(|lost| now < lost);
            if !pending && now >= read.due {
                read.lost_at = Some(now.after(READ_TIMEOUT));
                due.push(id.clone());
            }
        }
        due
    }

    /// Has an owned engine's capabilities read as soon as no reading is under
    /// way.
    pub(super) fn schedule_read(&mut self, now: Timestamp, id: &UpstreamId) {
        if let Some(read) = self.capabilities.get_mut(id) {
            read.due = now;
        }
    }

    /// Notes that a reading of an engine's capabilities ended.
    pub(super) fn capability_read(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        answered: bool,
    ) {
        if let Some(read) = self.capabilities.get_mut(id) {
            let wait = if answered {
                CAPABILITY_INTERVAL
            } else {
                CAPABILITY_RETRY
            };
            read.lost_at = None;
            read.due = now.after(wait);
        }
    }

    /// Has an engine's capabilities read again if it has restarted.
    pub(super) fn check_incarnation(
        &mut self,
        now: Timestamp,
        id: &UpstreamId,
        incarnation: Incarnation,
    ) {
        let entry = self.table.get(id);
        let known = entry.and_then(|entry| entry.capability.as_ref());
        if known.is_some_and(|known| known.incarnation != incarnation)
            && let Some(read) = self.capabilities.get_mut(id)
        {
            read.due = now;
        }
    }

    /// When something is to be read next.
    pub(super) fn next_timer(&self) -> Option<Timestamp> {
        let reads = self.capabilities.values().chain([&self.list]);
        reads
            .map(|read| read.lost_at.unwrap_or(read.due))
            .chain(
                self.unlisted_since
                    .values()
                    .map(|since| since.after(UNLISTED_RETENTION)),
            )
            .min()
    }

    /// Whether the engine said that it is leaving, in its present life.
    fn reported_leaving(&self, id: &UpstreamId, entry: &UpstreamEntry) -> bool {
        let said = self.leaving_incarnations.get(id);
        let known = entry.capability.as_ref().map(|fact| fact.incarnation);
        said.is_some_and(|said| known.is_none_or(|known| known <= *said))
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
