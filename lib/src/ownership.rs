//! Which instance owns which engine and which call stream.
//!
//! Owners follow from the live instances by rendezvous hashing, so instances
//! with the same view agree without messages, and a change of one instance
//! moves only what that instance owns.

use std::{collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::Xxh3;

use crate::{
    ids::{DomainId, InstanceId, UpstreamId},
    view::UpstreamTable,
};

/// Live instances that can own, with their failure domains.
pub type OwnerCandidates = BTreeMap<InstanceId, DomainId>;

/// Owner of each engine.
pub fn owners(
    upstreams: &UpstreamTable,
    candidates: &OwnerCandidates,
) -> BTreeMap<UpstreamId, InstanceId> {
    let mut by_domain: BTreeMap<&DomainId, Vec<&InstanceId>> = BTreeMap::new();
    for (id, domain) in candidates {
        by_domain.entry(domain).or_default().push(id);
    }
    let all: Vec<_> = candidates.keys().collect();
    let engines = upstreams.iter().filter(|(_, e)| e.service.is_none());
    engines
        .filter_map(|(id, entry)| {
            let local = by_domain.get(&entry.domain).unwrap_or(&all);
            let owner = choose(id.as_str(), local)?;
            Some((id.clone(), owner.clone()))
        })
        .collect()
}

/// Owner of a call stream.
pub fn stream_owner(
    index: usize,
    candidates: &OwnerCandidates,
) -> Option<InstanceId> {
    let all: Vec<_> = candidates.keys().collect();
    choose(&format!("calls-{index}"), &all).cloned()
}

fn choose<'a>(
    subject: &str,
    candidates: &[&'a InstanceId],
) -> Option<&'a InstanceId> {
    let scored = candidates.iter().map(|id| (score(subject, id), *id));
    scored.max().map(|(_, id)| id)
}

fn score(subject: &str, instance: &InstanceId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(subject.as_bytes());
    // Ids contain no zero byte, so pairs of ids cannot run into each other.
    hash.update(&[0]);
    hash.update(instance.as_str().as_bytes());
    hash.digest()
}

/// Owners of the engines, kept until the members or upstreams change.
#[derive(Clone, Debug, Default)]
pub struct OwnershipTable {
    versions: Option<(u64, u64)>,
    owners: Arc<BTreeMap<UpstreamId, InstanceId>>,
}

impl OwnershipTable {
    /// A table without owners.
    pub fn new() -> Self {
        Self::default()
    }

    /// Brings the table up to date. The versions are numbers that change with
    /// the members and with the upstreams or their domains. Returns whether
    /// any owner changed.
    pub fn refresh(
        &mut self,
        members_version: u64,
        upstreams_version: u64,
        upstreams: &UpstreamTable,
        candidates: impl FnOnce() -> OwnerCandidates,
    ) -> bool {
        let versions = Some((members_version, upstreams_version));
        if self.versions == versions {
            return false;
        }
        self.versions = versions;
        let fresh = owners(upstreams, &candidates());
        let changed = *self.owners != fresh;
        if changed {
            self.owners = Arc::new(fresh);
        }
        changed
    }

    /// Owner of each engine.
    pub fn owners(&self) -> &Arc<BTreeMap<UpstreamId, InstanceId>> {
        &self.owners
    }
}
