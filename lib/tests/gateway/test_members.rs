//! Tracking of other instances and the addresses given to callers.

use borageline_lib::{
    gateway::member_table::{MemberChange, MemberTable},
    units::Incarnation,
};

use crate::fixtures::{at, core, heartbeat, id};

const OWN: [u8; 4] = [127, 0, 0, 1];
const OTHER: [u8; 4] = [127, 0, 0, 3];

/// Guards against a directory that lists an instance after it was killed.
#[test]
fn test_members_silent_are_not_listed() {
    let mut core = core(1);
    let joined =
        core.receive_heartbeat(at(0), heartbeat("entry-3", OTHER), None);
    assert_eq!(joined.change, Some(MemberChange::Joined(id("entry-3"))));
    assert_eq!(core.serving_addresses(at(1_000)).len(), 2);
    assert_eq!(core.serving_addresses(at(2_500)).len(), 1);
    let changes = core.expire_members(at(2_500));
    assert_eq!(changes, [MemberChange::Silent(id("entry-3"))]);
    assert_eq!(core.expire_members(at(2_600)), []);
}

/// Guards against a directory that lists an instance that is stopping.
#[test]
fn test_members_leaving_are_not_listed() {
    let mut core = core(1);
    core.receive_heartbeat(at(0), heartbeat("entry-3", OTHER), None);
    let mut leaving = heartbeat("entry-3", OTHER);
    leaving.serving = false;
    let leaving = core.receive_heartbeat(at(100), leaving, None);
    assert_eq!(leaving.change, Some(MemberChange::Leaving(id("entry-3"))));
    let own: std::net::IpAddr = OWN.into();
    assert_eq!(core.serving_addresses(at(200)), [own]);
    core.begin_stop(at(0));
    assert!(core.serving_addresses(at(200)).is_empty());
}

/// Guards against an instance that is ignored after its restart because the
/// system clock was set back in between.
#[test]
fn test_members_restart_with_lower_incarnation_counts() {
    let mut table = MemberTable::default();
    let mut late = heartbeat("entry-3", OTHER);
    late.incarnation = Incarnation::new(9);
    table.receive_heartbeat(at(0), OWN.into(), &late, None);
    let change = table.receive_heartbeat(
        at(100),
        OWN.into(),
        &heartbeat("entry-3", OTHER),
        None,
    );
    assert_eq!(change, Some(MemberChange::Joined(id("entry-3"))));
}

/// Guards against an instance that discovers only the seeds, although these
/// know other members.
#[test]
fn test_members_are_discovered_through_others() {
    let mut table = MemberTable::default();
    let mut first = heartbeat("entry-3", OTHER);
    first.alive = vec![[127, 0, 0, 4].into(), OWN.into()];
    table.receive_heartbeat(at(0), OWN.into(), &first, None);
    let mut targets = |now| {
        let domain = id("domain-a");
        let targets =
            table.heartbeat_targets(now, OWN.into(), &domain, 1, true);
        targets.direct
    };
    let mut first = targets(at(0));
    first.sort();
    let expected: Vec<std::net::IpAddr> =
        vec![OTHER.into(), [127, 0, 0, 4].into()];
    assert_eq!(first, expected);
    // Addresses that do not answer are probed again, but not with every
    // heartbeat.
    assert_eq!(targets(at(100)).len(), 1);
    assert_eq!(targets(at(1_500)).len(), 2);
}

/// Guards against heartbeats that grow with the fleet, and against members
/// that are never advertised.
#[test]
fn test_members_are_advertised_in_turn() {
    let mut table = MemberTable::default();
    for last in 1..=20 {
        let other = heartbeat(&format!("entry-{last}"), [127, 0, 1, last]);
        table.receive_heartbeat(at(0), OWN.into(), &other, None);
    }
    let mut advertised = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let some = table.next_advertised(at(100));
        assert_eq!(some.len(), 8);
        advertised.extend(some);
    }
    assert_eq!(advertised.len(), 20);
}
