//! Capabilities of the engines, replicated to all instances by gossip.
//!
//! Only the owner of an engine reads its capabilities. The owner adds a change
//! to its gossip, and every instance forwards the updates that are new to it,
//! so the cost of an instance does not grow with the number of engines. A
//! starting instance fetches the whole table from a peer.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    engine_api::CapabilityReport, ids::UpstreamId, peer_api::CapabilityUpdate,
};

/// Maximum number of updates in one message.
pub const CAPABILITY_UPDATES_PER_MESSAGE: usize = 4;
/// Number of times that an update is sent for each doubling of the number of
/// instances.
const SENDS_PER_DOUBLING: u32 = 3;

/// Latest update of one engine, and how often it was sent to peers.
#[derive(Clone, Debug)]
struct CapabilityRecord {
    update: CapabilityUpdate,
    sends: u32,
}

/// Latest known capabilities of each engine.
#[derive(Clone, Debug, Default)]
pub struct CapabilityTable {
    records: BTreeMap<UpstreamId, CapabilityRecord>,
}

impl CapabilityTable {
    /// A table without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what the owner read from an engine. Returns whether it is new.
    pub fn observe(&mut self, report: CapabilityReport) -> bool {
        let current = self
            .records
            .get(&report.engine)
            .map(|record| &record.update);
        if current.is_some_and(|update| update.report == report) {
            return false;
        }
        let revision = match current {
            Some(update) if update.report.incarnation == report.incarnation => {
                update.revision + 1
            }
            _ => 0,
        };
        self.merge(CapabilityUpdate { revision, report })
    }

    /// Merges an update from a peer. Returns whether it is newer than the known
    /// one.
    pub fn merge(&mut self, update: CapabilityUpdate) -> bool {
        let version = |update: &CapabilityUpdate| {
            (update.report.incarnation, update.revision)
        };
        let current = self.records.get(&update.report.engine);
        if current
            .is_some_and(|record| version(&record.update) >= version(&update))
        {
            return false;
        }
        let engine = update.report.engine.clone();
        self.records
            .insert(engine, CapabilityRecord { update, sends: 0 });
        true
    }

    /// Removes the engines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.records.retain(|engine, _| keep(engine));
    }

    /// Capabilities of an engine; `None` if unknown.
    pub fn get(&self, engine: &UpstreamId) -> Option<Arc<CapabilityReport>> {
        let record = self.records.get(engine)?;
        Some(Arc::new(record.update.report.clone()))
    }

    /// Updates for the next message, those sent least often first.
    ///
    /// The number of times that an update is sent grows with the logarithm of
    /// the number of instances, which reaches all of them with high
    /// probability. Instances that missed it receive it with the whole table.
    pub fn next_updates(
        &mut self,
        live_instances: usize,
    ) -> Vec<CapabilityUpdate> {
        let doublings = live_instances.max(2).ilog2() + 1;
        let sends_max = SENDS_PER_DOUBLING * doublings;
        let mut unfinished: Vec<&mut CapabilityRecord> = self
            .records
            .values_mut()
            .filter(|record| record.sends < sends_max)
            .collect();
        unfinished.sort_by_key(|record| record.sends);
        unfinished.truncate(CAPABILITY_UPDATES_PER_MESSAGE);
        unfinished
            .into_iter()
            .map(|record| {
                record.sends += 1;
                record.update.clone()
            })
            .collect()
    }

    /// All capabilities, for a starting instance.
    pub fn all(&self) -> Vec<CapabilityUpdate> {
        self.records
            .values()
            .map(|record| record.update.clone())
            .collect()
    }
}
