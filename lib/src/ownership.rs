//! Assignment of engines and call streams to owning instances.
//!
//! Owners are computed from the live instances by rendezvous hashing. Instances
//! with the same view therefore agree without messages, and a change of one
//! instance moves only what it owns.

use std::{collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet_view::UpstreamTable,
    ids::{DomainId, InstanceId, UpstreamId},
};

/// Live instances that may own, with their failure domains.
pub type OwnerCandidates = BTreeMap<InstanceId, DomainId>;

/// Owner of each engine: an instance of the engine's failure domain if there is
/// one, otherwise any instance.
pub fn owners(
    upstreams: &UpstreamTable,
    candidates: &OwnerCandidates,
) -> BTreeMap<UpstreamId, InstanceId> {
    let all_instances: Vec<_> =
        candidates.keys().map(HashedInstance::new).collect();
    let mut by_domain: BTreeMap<&DomainId, Vec<HashedInstance>> =
        BTreeMap::new();
    for (id, domain) in candidates {
        let instances = by_domain.entry(domain).or_default();
        instances.push(HashedInstance::new(id));
    }
    let engines = upstreams.iter().filter(|(_, e)| e.service.is_none());
    engines
        .filter_map(|(id, entry)| {
            let in_domain =
                by_domain.get(&entry.domain).unwrap_or(&all_instances);
            let owner = highest_scoring(id.as_str(), in_domain)?;
            Some((id.clone(), owner.clone()))
        })
        .collect()
}

/// Owner of the call stream with this index; `None` without candidates.
pub fn stream_owner(
    index: usize,
    candidates: &OwnerCandidates,
) -> Option<InstanceId> {
    let all_instances: Vec<_> =
        candidates.keys().map(HashedInstance::new).collect();
    highest_scoring(&format!("calls-{index}"), &all_instances).cloned()
}

/// Owner that an engine would have without one of the instances.
///
/// For an instance that has just become the owner, this is the former owner,
/// provided that the candidates include the instances that have just left.
pub fn former_owner(
    engine: &UpstreamId,
    domain: &DomainId,
    excluded: &InstanceId,
    candidates: &OwnerCandidates,
) -> Option<InstanceId> {
    let remaining = candidates.iter().filter(|(id, _)| *id != excluded);
    let remaining: Vec<_> = remaining.collect();
    let in_domain = remaining.iter().filter(|(_, at)| *at == domain);
    let mut hashed: Vec<_> =
        in_domain.map(|(id, _)| HashedInstance::new(id)).collect();
    if hashed.is_empty() {
        hashed = remaining
            .iter()
            .map(|(id, _)| HashedInstance::new(id))
            .collect();
    }
    highest_scoring(engine.as_str(), &hashed).cloned()
}

/// An instance with the hash of its id. Each id is hashed once, because hashing
/// every pair of ids took 25 ms for 10,000 engines and 53 instances per domain.
struct HashedInstance<'a> {
    id: &'a InstanceId,
    hash: u64,
}

impl<'a> HashedInstance<'a> {
    fn new(id: &'a InstanceId) -> Self {
        let hash = xxh3_64(id.as_str().as_bytes());
        Self { id, hash }
    }
}

fn highest_scoring<'a>(
    subject: &str,
    candidates: &[HashedInstance<'a>],
) -> Option<&'a InstanceId> {
    let hash = xxh3_64(subject.as_bytes());
    let scored = candidates.iter().map(|instance| {
        let mut pair = [0; 16];
        pair[..8].copy_from_slice(&hash.to_le_bytes());
        pair[8..].copy_from_slice(&instance.hash.to_le_bytes());
        (xxh3_64(&pair), instance.id)
    });
    scored.max().map(|(_, id)| id)
}

/// Owners of the engines, recomputed when members or upstreams change.
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

    /// Recomputes the owners if a version differs from that of the last call.
    /// Returns whether any owner changed.
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
        let recomputed = owners(upstreams, &candidates());
        let changed = *self.owners != recomputed;
        if changed {
            self.owners = Arc::new(recomputed);
        }
        changed
    }

    /// Owner of each engine. Engines are missing while there are no candidates.
    pub fn owners(&self) -> &Arc<BTreeMap<UpstreamId, InstanceId>> {
        &self.owners
    }
}
