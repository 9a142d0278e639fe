//! What the parts of the core read of each other.
//!
//! The core builds one [`FleetView`] a tick and lends it to the systems that
//! place and account for requests; none of them changes it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    engine_api::CapabilityReport,
    fleet::{DrainMode, FleetState},
    ids::{DomainId, InstanceId, ModelName, ServiceName, UpstreamId},
};

/// An upstream as the instance list and its own reports describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Service that it belongs to; absent for an engine.
    pub service: Option<ServiceName>,
    /// Whether the list or the upstream itself says that it is leaving.
    pub leaving: bool,
    /// What the engine says of itself, once it was read.
    pub capability: Option<Arc<CapabilityReport>>,
}

/// All upstreams, with indexes for placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamId, UpstreamEntry>,
    by_model: BTreeMap<ModelName, ServingIndex>,
}

/// Engines of one model. The entries stand beside the ids, because a look-up
/// for each sampled engine costs more the more engines there are.
#[derive(Clone, Debug, Default, PartialEq)]
struct ServingIndex {
    ids: Vec<UpstreamId>,
    entries: Vec<UpstreamEntry>,
}

impl ServingIndex {
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
    /// A table without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces an entry.
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

    /// Removes an entry.
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

    /// One entry.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamEntry> {
        self.entries.get(id)
    }

    /// All entries in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamEntry)> {
        self.entries.iter()
    }

    /// Engines that have a model loaded, in the order of their ids.
    pub fn serving(&self, model: &ModelName) -> &[UpstreamId] {
        self.by_model.get(model).map_or(&[], |index| &index.ids)
    }

    /// Entries of [`Self::serving`], in the same order.
    pub fn serving_entries(&self, model: &ModelName) -> &[UpstreamEntry] {
        self.by_model.get(model).map_or(&[], |index| &index.entries)
    }
}

/// What placement and accounting may read.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// This instance.
    pub local_instance: &'a InstanceId,
    /// Failure domain of this instance.
    pub local_domain: &'a DomainId,
    /// Configuration.
    pub fleet: &'a FleetState,
    /// Upstreams.
    pub upstreams: &'a UpstreamTable,
    /// Owner of each engine by the present membership.
    pub owners: &'a BTreeMap<UpstreamId, InstanceId>,
    /// Number of live instances, this one included.
    pub live_instances: usize,
    /// Whether the configuration is fresh enough to send new work.
    pub configuration_fresh: bool,
    /// Whether the membership evidence is fresh enough to act as owner.
    pub may_act_as_owner: bool,
}

impl FleetView<'_> {
    /// How running work on an upstream is to end, if it takes no new work.
    pub fn drain_mode(&self, id: &UpstreamId) -> Option<DrainMode> {
        self.entry_drain_mode(id, self.upstreams.get(id)?)
    }

    /// Whether an upstream may get new work.
    pub fn accepts_work(&self, id: &UpstreamId) -> bool {
        let entry = self.upstreams.get(id);
        entry.is_some_and(|entry| self.accepts_entry(id, entry))
    }

    /// Whether an upstream with a known entry may get new work.
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

    /// Whether this instance owns an engine.
    pub fn owns(&self, id: &UpstreamId) -> bool {
        self.owners.get(id) == Some(self.local_instance)
    }
}
