//! Table of upstreams, and the read-only view of the fleet for placement.
//!
//! The core builds one [`FleetView`] per tick from the configuration, the
//! [`UpstreamTable`] and the membership. The code that places requests, applies
//! workspace limits, keeps ledgers or orders changes of engines borrows it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    engine_api::CapabilityReport,
    fleet::{DrainMode, FleetState},
    ids::{DomainId, InstanceId, ModelName, ServiceName, UpstreamId},
};

/// State of an upstream, from the instance list and its own reports.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Plain service to which it belongs; `None` for an engine.
    pub service: Option<ServiceName>,
    /// Whether the instance list or the upstream itself announces that it is
    /// about to shut down.
    pub leaving: bool,
    /// Newest capability report; `None` for a process of a service, and for an
    /// engine until the first report is known.
    pub capability: Option<Arc<CapabilityReport>>,
}

/// All upstreams by id, with an index of the engines by model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    by_model: BTreeMap<ModelName, ModelIndex>,
}

/// Engines that have one model loaded, sorted by id. `entries` is parallel to
/// `ids`: a lookup in the table for each engine that placement samples would
/// cost more with a growing number of engines.
#[derive(Clone, Debug, Default, PartialEq)]
struct ModelIndex {
    ids: Vec<UpstreamId>,
    entries: Vec<UpstreamEntry>,
}

impl ModelIndex {
    fn insert(&mut self, id: &UpstreamId, entry: &UpstreamEntry) {
        match self.ids.binary_search(id) {
            Ok(at) => self.entries[at] = entry.clone(),
            Err(at) => {
                self.ids.insert(at, id.clone());
                self.entries.insert(at, entry.clone());
            }
        }
    }

    fn remove(&mut self, id: &UpstreamId) {
        if let Ok(at) = self.ids.binary_search(id) {
            self.ids.remove(at);
            self.entries.remove(at);
        }
    }
}

impl UpstreamTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces an entry and updates the index.
    pub fn insert(&mut self, id: UpstreamId, entry: UpstreamEntry) {
        let models = |entry: &UpstreamEntry| {
            let report = entry.capability.as_ref();
            report.map_or(Vec::new(), |report| report.models.clone())
        };
        let new = models(&entry);
        let old = self.entries.get(&id).map_or(Vec::new(), models);
        for model in old.iter().filter(|model| !new.contains(model)) {
            if let Some(index) = self.by_model.get_mut(model) {
                index.remove(&id);
            }
        }
        for model in new {
            let index = self.by_model.entry(model).or_default();
            index.insert(&id, &entry);
        }
        self.entries.insert(id, entry);
    }

    /// Removes an entry, also from the index. `None` if there was none.
    pub fn remove(&mut self, id: &UpstreamId) -> Option<UpstreamEntry> {
        let entry = self.entries.remove(id)?;
        if let Some(report) = &entry.capability {
            for model in &report.models {
                if let Some(index) = self.by_model.get_mut(model) {
                    index.remove(id);
                }
            }
        }
        Some(entry)
    }

    /// The entry of one upstream; `None` if it is not listed.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamEntry> {
        self.entries.get(id)
    }

    /// All entries, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamEntry)> {
        self.entries.iter()
    }

    /// Engines that have the model loaded, ordered by id.
    pub fn serving(&self, model: &ModelName) -> &[UpstreamId] {
        self.by_model.get(model).map_or(&[], |index| &index.ids)
    }

    /// Entries of [`Self::serving`], in the same order.
    pub fn serving_entries(&self, model: &ModelName) -> &[UpstreamEntry] {
        self.by_model.get(model).map_or(&[], |index| &index.entries)
    }
}

/// Consistent, read-only view of the fleet within one tick.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Id of this instance.
    pub local_instance: &'a InstanceId,
    /// Failure domain in which this instance runs.
    pub local_domain: &'a DomainId,
    /// Configuration as applied by this instance.
    pub fleet: &'a FleetState,
    /// Upstreams known to this instance.
    pub upstreams: &'a UpstreamTable,
    /// Owner of each engine according to the present membership.
    pub owners: &'a BTreeMap<UpstreamId, InstanceId>,
    /// Number of live instances, including this one.
    pub live_instances: usize,
    /// Whether the configuration is fresh enough to send new work.
    pub configuration_fresh: bool,
    /// Whether the membership evidence is fresh enough to act as owner.
    pub may_act_as_owner: bool,
}

impl FleetView<'_> {
    /// What happens to running work on an upstream that gets no new work.
    /// `None` if it may get new work or is not listed.
    pub fn drain_mode(&self, id: &UpstreamId) -> Option<DrainMode> {
        self.entry_drain_mode(id, self.upstreams.get(id)?)
    }

    /// Whether an upstream may get new work; false if it is not listed.
    pub fn accepts_work(&self, id: &UpstreamId) -> bool {
        let entry = self.upstreams.get(id);
        entry.is_some_and(|entry| self.accepts_entry(id, entry))
    }

    /// Like [`Self::accepts_work`], without the lookup of the entry.
    pub fn accepts_entry(
        &self,
        id: &UpstreamId,
        entry: &UpstreamEntry,
    ) -> bool {
        self.entry_drain_mode(id, entry).is_none()
    }

    fn entry_drain_mode(
        &self,
        id: &UpstreamId,
        entry: &UpstreamEntry,
    ) -> Option<DrainMode> {
        let domain = self.fleet.domains.get(&entry.domain);
        let rule = self.fleet.upstreams.get(id);
        let closed = domain.and_then(|rule| rule.closed);
        let drained = rule.and_then(|rule| rule.drained);
        let leaving = entry.leaving.then_some(DrainMode::Finish);
        closed.or(drained).or(leaving)
    }

    /// Whether this instance owns an engine according to the membership.
    pub fn owns(&self, id: &UpstreamId) -> bool {
        self.owners.get(id) == Some(self.local_instance)
    }
}
