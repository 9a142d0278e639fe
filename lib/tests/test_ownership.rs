//! Assignment of engines and call streams to owners: a change of the members
//! moves as few of them as possible.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[expect(dead_code, reason = "this test uses a part")]
mod common;

use std::collections::BTreeMap;

use borageline_lib::{
    call_log::CALL_STREAMS,
    fleet_view::{UpstreamEntry, UpstreamTable},
    ids::{InstanceId, UpstreamId},
    ownership::{OwnerCandidates, OwnershipTable, owners, stream_owner},
};
use proptest::prelude::*;

fn table(engines: usize, domains: usize) -> UpstreamTable {
    let mut table = UpstreamTable::new();
    for index in 0..engines {
        let entry = UpstreamEntry {
            address: ([127, 0, 0, 1], 9_000).into(),
            domain: format!("d{}", index % domains).parse().unwrap(),
            service: None,
            leaving: false,
            capability: None,
        };
        table.insert(format!("e{index}").parse().unwrap(), entry);
    }
    table
}

fn candidates(members: &[(u8, usize)]) -> OwnerCandidates {
    let member = |(id, domain): &(u8, usize)| {
        let id = format!("i{id}").parse().unwrap();
        (id, format!("d{domain}").parse().unwrap())
    };
    members.iter().map(member).collect()
}

/// Naive assignment: the index of the engine modulo the number of instances.
fn modulo_owners(
    upstreams: &UpstreamTable,
    members: &OwnerCandidates,
) -> BTreeMap<UpstreamId, InstanceId> {
    let ids: Vec<_> = members.keys().collect();
    let owner = |index: usize| ids[index % ids.len()].clone();
    let engines = upstreams.iter().enumerate();
    engines.map(|(n, (id, _))| (id.clone(), owner(n))).collect()
}

proptest! {
    #![proptest_config(common::config(128))]

    /// Guards against the loss of one instance that moves engines between
    /// others, and against an owner in another failure domain than the engine's
    /// while an instance in that domain is live.
    #[test]
    fn test_property_minimal_movement(
        members in prop::collection::btree_map(0..30u8, 0..3usize, 2..12),
        removed in 0..12usize,
    ) {
        let upstreams = table(60, 3);
        let members: Vec<_> = members.into_iter().collect();
        let gone = members[removed % members.len()];
        let rest: Vec<_> =
            members.iter().copied().filter(|m| *m != gone).collect();
        let (before, after) = (candidates(&members), candidates(&rest));
        let old = owners(&upstreams, &before);
        let new = owners(&upstreams, &after);
        prop_assert_eq!(old.len(), 60);
        let gone_id: InstanceId = format!("i{}", gone.0).parse().unwrap();
        // Exactly the engines of the removed instance move. If it was the last
        // one in its failure domain, they move to another domain.
        for (engine, owner) in &old {
            let moved = new[engine] != *owner;
            prop_assert_eq!(moved, *owner == gone_id);
            let domain = &upstreams.get(engine).unwrap().domain;
            let local = before.values().any(|d| d == domain);
            prop_assert!(!local || before[owner] == *domain);
        }
        for index in 0..CALL_STREAMS {
            let old = stream_owner(index, &before).unwrap();
            let new = stream_owner(index, &after).unwrap();
            prop_assert!(old == new || old == gone_id);
        }
    }
}

/// Checks that the property above fails for an assignment that moves more
/// engines than needed.
#[test]
fn test_modulo_moves_engines_of_others() {
    let upstreams = table(60, 1);
    let before = candidates(&[(0, 0), (1, 0), (2, 0), (3, 0)]);
    let after = candidates(&[(0, 0), (1, 0), (2, 0)]);
    let old = modulo_owners(&upstreams, &before);
    let new = modulo_owners(&upstreams, &after);
    let gone: InstanceId = "i3".parse().unwrap();
    let moved = |(id, owner): &(&UpstreamId, &InstanceId)| {
        new[*id] != **owner && **owner != gone
    };
    assert!(old.iter().any(|entry| moved(&entry)));
}

/// Guards against a cached assignment that is kept after a change.
#[test]
fn test_owner_table_follows_versions() {
    let upstreams = table(10, 1);
    let mut table = OwnershipTable::new();
    let one = || candidates(&[(0, 0)]);
    let two = || candidates(&[(0, 0), (1, 0)]);
    assert!(table.refresh(1, 1, &upstreams, one));
    assert!(!table.refresh(1, 1, &upstreams, || panic!("is cached")));
    assert!(table.refresh(2, 1, &upstreams, two));
    assert_eq!(**table.owners(), owners(&upstreams, &two()));
}
