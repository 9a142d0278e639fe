//! What engines say of themselves, as all instances know it.
//!
//! Only an engine's owner reads the engine's capabilities. It passes a change
//! on in its gossip, and every instance passes on what was new to it, so that
//! the cost for an instance does not grow with the number of engines. A
//! starting instance gets the whole table from a peer.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    engine_api::CapabilityReport, ids::UpstreamId, peer_api::CapabilityUpdate,
};

/// Most facts in one message.
pub const FACTS_PER_MESSAGE: usize = 4;
/// Times that a fact is sent for each doubling of the number of instances.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Clone, Debug)]
struct CapabilityRecord {
    fact: CapabilityUpdate,
    sends: u32,
}

/// The newest known fact about each engine.
#[derive(Clone, Debug, Default)]
pub struct CapabilityTable {
    rows: BTreeMap<UpstreamId, CapabilityRecord>,
}

impl CapabilityTable {
    /// A table without facts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what the owner read from an engine; true if it is new.
    pub fn observe(&mut self, report: CapabilityReport) -> bool {
        let known = self.rows.get(&report.engine).map(|row| &row.fact);
        if known.is_some_and(|fact| fact.report == report) {
            return false;
        }
        let revision = match known {
            Some(fact) if fact.report.incarnation == report.incarnation => {
                fact.revision + 1
            }
            _ => 0,
        };
        self.merge(CapabilityUpdate { revision, report })
    }

    /// Takes in a fact from a peer; true if it is newer than what is known.
    pub fn merge(&mut self, fact: CapabilityUpdate) -> bool {
        let rank =
            |fact: &CapabilityUpdate| (fact.report.incarnation, fact.revision);
        let known = self.rows.get(&fact.report.engine);
        if known.is_some_and(|row| rank(&row.fact) >= rank(&fact)) {
            return false;
        }
        let engine = fact.report.engine.clone();
        self.rows
            .insert(engine, CapabilityRecord { fact, sends: 0 });
        true
    }

    /// Drops the facts about engines that are gone.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.rows.retain(|engine, _| keep(engine));
    }

    /// What is known of one engine.
    pub fn get(&self, engine: &UpstreamId) -> Option<Arc<CapabilityReport>> {
        let row = self.rows.get(engine)?;
        Some(Arc::new(row.fact.report.clone()))
    }

    /// Facts for the next message, those sent least often first.
    ///
    /// A fact is sent a number of times that grows with the logarithm of the
    /// number of instances, which is enough to reach all of them with high
    /// probability; instances that missed it get it with the whole table.
    pub fn pick(&mut self, live_instances: usize) -> Vec<CapabilityUpdate> {
        let doublings = live_instances.max(2).ilog2() + 1;
        let bound = SENDS_PER_DOUBLING * doublings;
        let mut due: Vec<&mut CapabilityRecord> = self
            .rows
            .values_mut()
            .filter(|row| row.sends < bound)
            .collect();
        due.sort_by_key(|row| row.sends);
        due.truncate(FACTS_PER_MESSAGE);
        due.into_iter()
            .map(|row| {
                row.sends += 1;
                row.fact.clone()
            })
            .collect()
    }

    /// All facts, for a starting instance.
    pub fn all(&self) -> Vec<CapabilityUpdate> {
        self.rows.values().map(|row| row.fact.clone()).collect()
    }
}
