//! Distribution of heartbeats over failure domains.

use std::collections::{BTreeMap, BTreeSet};

use borageline_lib::{
    gateway::{
        gateway_core::GatewayCore,
        heartbeat_relay::HeartbeatTrailer,
        member_table::{HEARTBEAT_TIMEOUT, Heartbeat},
    },
    ids::DomainId,
    units::Timestamp,
};
use rstest::rstest;

use crate::fixtures::{at, core, heartbeat, id};

/// Seeds of the test settings, which get the first heartbeat as a probe.
const PROBED_SEEDS: usize = 1;

/// Heartbeat of instance `index` of the failure domain with this number.
fn member(domain: u8, index: u8) -> Heartbeat {
    let name = format!("entry-{domain}-{index}");
    let mut heartbeat = heartbeat(&name, [127, 0, domain, index]);
    heartbeat.domain = id(&format!("domain-{domain}"));
    heartbeat
}

fn trailer(sequence: u64) -> Option<HeartbeatTrailer> {
    Some(HeartbeatTrailer {
        sequence,
        ..HeartbeatTrailer::default()
    })
}

/// Core of `domain-a` that has heartbeats of `count` members of each of four
/// other failure domains and of 18 of its own.
fn large_fleet(now: Timestamp, count: u8, relays: bool) -> GatewayCore {
    let mut core = core(1);
    for index in 1..=18 {
        let mut own = member(10, index);
        own.domain = id("domain-a");
        core.receive_heartbeat(now, own, trailer(1));
    }
    for domain in 1..=4 {
        for index in 1..=count {
            let trailer = trailer(1).filter(|_| relays);
            core.receive_heartbeat(now, member(domain, index), trailer);
        }
    }
    core
}

/// Load pattern: 95 instances that place requests all the time. Guards against
/// heartbeats that cross failure domains once for each member: they cost a
/// twentieth of what the callers' answers were worth.
#[rstest]
#[case::large_domains(19, true, 18, 4)]
#[case::small_domains(3, true, 18 + 12, 0)]
#[case::older_builds(19, false, 18 + 76, 0)]
fn test_heartbeat_relay_sends_once_to_each_domain(
    #[case] members: u8,
    #[case] relays: bool,
    #[case] expected_direct: usize,
    #[case] expected_relays: usize,
) {
    let mut core = large_fleet(at(0), members, relays);
    let plan = core.next_heartbeat(at(100));
    assert_eq!(plan.direct.len(), expected_direct + PROBED_SEEDS);
    assert_eq!(plan.relays.len(), expected_relays);
}

/// Guards against a domain that hears nothing from an instance whose relay has
/// failed: heartbeats of the time after which a member counts as silent use
/// different relays.
#[test]
fn test_heartbeat_relay_changes_with_each_heartbeat() {
    let mut core = large_fleet(at(0), 19, true);
    let mut relays = BTreeMap::<_, BTreeSet<_>>::new();
    let mut now = at(100);
    let mut count = 0;
    while now.since(at(100)) < HEARTBEAT_TIMEOUT {
        let plan = core.next_heartbeat(now);
        for relay in plan.relays {
            let std::net::IpAddr::V4(ip) = relay.ip() else {
                panic!("{relay}");
            };
            relays.entry(ip.octets()[2]).or_default().insert(ip);
        }
        count += 1;
        now = now.after(plan.pause);
    }
    assert!(count >= 3, "{count} heartbeats");
    assert!(relays.values().all(|ips| ips.len() == count), "{relays:?}");
}

/// Guards against a planned stop that callers learn of only when heartbeats
/// stop, because a relay of the leaving instance had left as well.
#[test]
fn test_heartbeat_relay_is_not_used_by_leaving_instance() {
    let mut core = large_fleet(at(0), 19, true);
    core.begin_stop(at(0));
    let plan = core.next_heartbeat(at(100));
    let expected = (18 + 76 + PROBED_SEEDS, 0);
    assert_eq!((plan.direct.len(), plan.relays.len()), expected);
}

/// Guards against a relay that forwards a heartbeat to its sender, to other
/// domains, or more than once.
#[test]
fn test_heartbeat_relay_forwards_within_its_domain() {
    let mut core = large_fleet(at(0), 19, true);
    let relayed = HeartbeatTrailer {
        sequence: 2,
        relay: true,
        ..HeartbeatTrailer::default()
    };
    let sender = member(1, 1);
    let first =
        core.receive_heartbeat(at(10), sender.clone(), Some(relayed.clone()));
    let own: DomainId = id("domain-a");
    let domains: Vec<_> = first.relay_to.iter().map(|it| it.ip()).collect();
    assert_eq!(domains.len(), 18, "members of {own}");
    assert!(!domains.contains(&sender.ip));
    let again = core.receive_heartbeat(at(11), sender, Some(relayed));
    assert_eq!(again.relay_to, []);
}

/// Guards against load of an older heartbeat that replaces newer load, since a
/// relay delivered it late.
#[test]
fn test_heartbeat_relay_ignores_late_copies() {
    let mut core = core(1);
    let mut newer = member(1, 1);
    newer.demand.short_ms = 500;
    core.receive_heartbeat(at(0), newer, trailer(7));
    core.receive_heartbeat(at(10), member(1, 1), trailer(6));
    assert_eq!(core.load_table().total_demand(at(20)).short_ms, 500);
    // A new process of the instance starts with a lower number.
    let mut restarted = member(1, 1);
    restarted.incarnation = borageline_lib::units::Incarnation::new(9);
    core.receive_heartbeat(at(30), restarted, trailer(1));
    assert_eq!(core.load_table().total_demand(at(40)).short_ms, 0);
}

/// Load pattern: engines that went dark under 95 instances. Guards against a
/// dark engine that each instance has to discover by a lost request of its
/// own, and against one instance without a network path that takes all engines
/// from the others.
#[rstest]
#[case::one_instance(&[1], &["i-0"], 3)]
#[case::two_instances(&[1, 2], &["i-0"], 2)]
#[case::most_engines(&[1, 2], &["i-0", "i-1"], 3)]
fn test_heartbeat_relay_shares_suspects(
    #[case] reporters: &[u8],
    #[case] suspects: &[&str],
    #[case] expected: usize,
) {
    let mut core = core(3);
    for index in reporters {
        let trailer = HeartbeatTrailer {
            sequence: 1,
            relay: false,
            suspects: suspects.iter().map(|name| id(name)).collect(),
        };
        core.receive_heartbeat(at(0), member(1, *index), Some(trailer));
    }
    let candidates = core.upstreams().candidates(at(10), &id("models"), &[]);
    assert_eq!(candidates.len(), expected);
}

/// Guards against an engine that stays left out after the instances that
/// avoided it use it again, or have themselves fallen silent.
#[rstest]
#[case::used_again(true)]
#[case::silent(false)]
fn test_heartbeat_relay_forgets_suspects(#[case] used_again: bool) {
    let mut core = core(3);
    let send = |core: &mut GatewayCore, now, sequence, suspects: &[&str]| {
        for index in [1, 2] {
            let trailer = HeartbeatTrailer {
                sequence,
                relay: false,
                suspects: suspects.iter().map(|name| id(name)).collect(),
            };
            core.receive_heartbeat(now, member(1, index), Some(trailer));
        }
    };
    let candidates = |core: &GatewayCore, now| {
        core.upstreams().candidates(now, &id("models"), &[]).len()
    };
    send(&mut core, at(0), 1, &["i-0"]);
    assert_eq!(candidates(&core, at(10)), 2);
    if used_again {
        send(&mut core, at(100), 2, &[]);
    }
    core.expire_members(at(2_500));
    assert_eq!(candidates(&core, at(2_500)), 3);
}
