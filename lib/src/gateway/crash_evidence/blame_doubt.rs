//! Doubt whether a blamed part caused its crashes.
//!
//! Parts that are always in the same prompts explain the same crashes. A prompt
//! that has the blamed part and not the others tells them apart: its answer clears
//! the blamed part, and its crash confirms the blame. A prompt with all of them
//! says nothing if it crashes an engine, too.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CRASHES_MIN, CrashEvidence, about_as_many,
    part_table::{CrashNumber, PartSighting, SuspectPart},
};
use crate::gateway::wire::PartId;

/// Other parts that may have caused the crashes of a blamed part.
#[derive(Clone, Debug, Default)]
pub struct BlameDoubt {
    /// For each crash the parts that explain most of the others too; without
    /// repetitions. Empty if they do not explain about as many crashes as the
    /// blamed part.
    alternatives: Vec<BTreeSet<PartId>>,
}

impl BlameDoubt {
    /// Whether the end of a request with these parts, of which one is the blamed
    /// part, tells whether that part is to blame.
    pub fn is_settled_by(&self, parts: &[PartId]) -> bool {
        if self.alternatives.is_empty() {
            return false;
        }
        let parts: BTreeSet<_> = parts.iter().collect();
        let mut alternatives = self.alternatives.iter();
        alternatives.all(|crash| crash.iter().any(|it| !parts.contains(it)))
    }
}

impl CrashEvidence {
    /// Doubt whether a part caused the crashes that it explains; none if fewer are
    /// known here than blame a part.
    pub fn doubt(&self, blamed: &PartId) -> BlameDoubt {
        let Some(suspect) = self.parts.suspect(blamed) else {
            return BlameDoubt::default();
        };
        let explained: BTreeSet<_> =
            suspect.suspicious().map(|it| it.crash).collect();
        if explained.len() < CRASHES_MIN {
            return BlameDoubt::default();
        }
        let mut by_crash = BTreeMap::<CrashNumber, Vec<_>>::new();
        for (part, other) in self.parts.suspects() {
            if part == blamed || !may_explain(part, other, blamed) {
                continue;
            }
            let shared: Vec<_> = other
                .suspicious()
                .map(|it| it.crash)
                .filter(|crash| explained.contains(crash))
                .collect();
            for crash in &shared {
                by_crash
                    .entry(*crash)
                    .or_default()
                    .push((shared.len(), part));
            }
        }
        if by_crash.len() < about_as_many(explained.len()) {
            return BlameDoubt::default();
        }
        let alternatives = by_crash.values().map(|it| most_frequent(it));
        let alternatives: BTreeSet<_> = alternatives.collect();
        BlameDoubt {
            alternatives: alternatives.into_iter().collect(),
        }
    }
}

/// Whether a part may explain the crashes of a blamed one. Each crash has requests
/// that came only once, so that these say nothing of the parts that they share with
/// others. One that crashed several upstreams says something of requests that are
/// like it but for their query.
fn may_explain(part: &PartId, suspect: &SuspectPart, blamed: &PartId) -> bool {
    if !part.is_request() {
        return true;
    }
    let sightings: Vec<_> = suspect.suspicious().collect();
    let is_other = |it: &&PartSighting| {
        it.has_others || it.attempt != sightings[0].attempt
    };
    sightings.iter().any(is_other)
        || (blamed.is_request() && sightings.len() > 1)
}

/// The parts with about the highest count. A report may lack some of the parts of
/// a crash.
fn most_frequent(counted: &[(usize, &PartId)]) -> BTreeSet<PartId> {
    let most = counted.iter().map(|(count, _)| *count).max();
    let most = most.unwrap_or_default();
    let frequent = counted
        .iter()
        .filter(|(count, _)| *count >= most - most / 4);
    frequent.map(|(_, part)| (*part).clone()).collect()
}
