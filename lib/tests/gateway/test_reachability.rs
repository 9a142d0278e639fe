//! Evidence on links to upstreams, and the choice between direct sends and
//! other instances.

use std::{collections::BTreeSet, net::IpAddr};

use borageline_lib::{
    gateway::{
        gateway_core::{FailedPaths, GatewayCore, SendPath},
        heartbeat_relay::HeartbeatTrailer,
        reachability::{LinkReport, RETURN_HOLD},
    },
    ids::UpstreamId,
    refusal::RefusalCode,
    units::Timestamp,
};

use crate::fixtures::{at, core, entry, heartbeat, id, ms};

const OTHERS: u8 = 6;

fn other(index: u8) -> IpAddr {
    [127, 0, 1, index].into()
}

/// Core with engines in two failure domains and six other instances.
fn fleet_core() -> GatewayCore {
    let mut core = core(0);
    let entries = (0..8).map(|index| {
        let mut entry = entry(&format!("i-{index}"));
        if index >= 4 {
            entry.domain = id("domain-b");
        }
        entry
    });
    core.replace_upstreams(at(0), entries.collect());
    hear_all(&mut core, at(0));
    core
}

fn hear_all(core: &mut GatewayCore, now: Timestamp) {
    for index in 0..OTHERS {
        hear(core, now, index, LinkReport::default());
    }
}

fn hear(core: &mut GatewayCore, now: Timestamp, index: u8, report: LinkReport) {
    let name = format!("other-{index}");
    let heartbeat = heartbeat(&name, [127, 0, 1, index]);
    let receipt = core.receive_heartbeat(now, heartbeat, None);
    assert!(receipt.is_accepted);
    core.receive_link_report(other(index), report);
}

fn path(core: &mut GatewayCore, now: Timestamp) -> SendPath {
    core.send_path(now, &id("models"), &FailedPaths::default())
}

/// Fails connections to these upstreams.
fn fail(core: &mut GatewayCore, now: Timestamp, upstreams: &[usize]) {
    for index in upstreams {
        let upstream = id(&format!("i-{index}"));
        core.record_unreached(now, now, &upstream);
    }
}

/// Fails all probes that are due.
fn fail_probes(core: &mut GatewayCore, now: Timestamp) -> Vec<UpstreamId> {
    let probes = core.next_probes(now);
    for (upstream, _) in &probes {
        core.record_unreached(now, now, upstream);
    }
    probes.into_iter().map(|(upstream, _)| upstream).collect()
}

/// Core whose links to all upstreams are lost.
fn lost_core() -> GatewayCore {
    let mut core = fleet_core();
    fail(&mut core, at(100), &[0, 4]);
    fail_probes(&mut core, at(110));
    core
}

/// Guards against a loss of links that is noticed one upstream at a time, so
/// that each request pays a connect timeout: two failures and one round of
/// probes settle it.
#[test]
fn test_reachability_two_failures_lead_to_delegates() {
    let mut core = fleet_core();
    fail(&mut core, at(100), &[0]);
    assert_eq!(path(&mut core, at(100)), SendPath::Direct);
    assert!(core.next_probes(at(100)).is_empty());
    fail(&mut core, at(110), &[4]);
    assert!(matches!(path(&mut core, at(110)), SendPath::Delegate(_)));
    let probed = fail_probes(&mut core, at(110));
    assert_eq!(probed.len(), 6, "{probed:?}");
    assert!(core.next_heartbeat(at(120)).links.unreachable.len() == 1);
}

/// Guards against callers that wait for a connect timeout when neither this
/// instance nor any other can reach an upstream.
#[test]
fn test_reachability_lost_everywhere_is_refused_at_once() {
    let mut core = lost_core();
    let report = LinkReport {
        unreachable: vec![id("models")],
    };
    for index in 0..OTHERS {
        hear(&mut core, at(200), index, report.clone());
    }
    let SendPath::None(refusal) = path(&mut core, at(210)) else {
        panic!("nothing can send the request");
    };
    assert_eq!(refusal.code, RefusalCode::NoUpstream);
    assert!(refusal.retry_after.is_some());
}

/// Guards against single dead upstreams that are taken for lost links: another
/// one was reached in between.
#[test]
fn test_reachability_dead_upstreams_are_no_loss() {
    let mut core = fleet_core();
    for step in 0..40_u64 {
        let now = at(100 + step * 50);
        fail(&mut core, now, &[step as usize % 3]);
        let sound: UpstreamId = id("i-7");
        core.record_reached(now, now, &sound);
        assert_eq!(path(&mut core, now), SendPath::Direct, "step {step}");
    }
}

/// Guards against a late reply to a connection from before the partition that
/// is taken for a sign of sound links.
#[test]
fn test_reachability_reply_from_before_the_loss_is_no_evidence() {
    let mut core = lost_core();
    let upstream: UpstreamId = id("i-3");
    core.record_reached(at(900), at(90), &upstream);
    assert!(matches!(path(&mut core, at(900)), SendPath::Delegate(_)));
}

/// Guards against a failure domain that stays in use though only its links are
/// lost, and against the detour through other instances for the rest.
#[test]
fn test_reachability_lost_domain_is_left_out() {
    let mut core = fleet_core();
    for now in [at(100), at(400)] {
        let sound: UpstreamId = id("i-7");
        fail(&mut core, now, &[0, 1]);
        core.record_reached(now, now.after(ms(1)), &sound);
        fail_probes(&mut core, now);
    }
    assert_eq!(path(&mut core, at(410)), SendPath::Direct);
    let usable = core.upstreams().candidates(at(9_000), &id("models"), &[]);
    let usable: BTreeSet<_> =
        usable.iter().map(|it| it.entry.domain.as_str()).collect();
    assert_eq!(usable, BTreeSet::from(["domain-b"]));
}

/// Guards against links that are used before the others know of their return,
/// and against upstreams that stay avoided for failures of the links.
#[test]
fn test_reachability_links_return_after_the_hold() {
    let mut core = lost_core();
    let upstream: UpstreamId = id("i-2");
    core.record_failure(at(120), &upstream);
    assert!(core.next_probes(at(120)).is_empty());
    let probes = core.next_probes(at(700));
    assert_eq!(probes.len(), 2);
    for (upstream, _) in probes {
        core.record_reached(at(701), at(700), &upstream);
    }
    assert!(core.next_heartbeat(at(702)).links.unreachable.is_empty());
    hear_all(&mut core, at(702));
    assert!(matches!(path(&mut core, at(702)), SendPath::Delegate(_)));
    let back = at(701).after(RETURN_HOLD);
    hear_all(&mut core, back);
    assert_eq!(path(&mut core, back), SendPath::Direct);
    let usable = core.upstreams().candidates(back, &id("models"), &[]);
    assert_eq!(usable.len(), 8);
}

/// Guards against a second loss during the hold that lets requests fail.
#[test]
fn test_reachability_loss_during_the_hold_counts_at_once() {
    let mut core = lost_core();
    for (upstream, _) in core.next_probes(at(700)) {
        core.record_reached(at(701), at(700), &upstream);
    }
    fail(&mut core, at(800), &[0]);
    fail(&mut core, at(800), &[4]);
    let later = at(701).after(RETURN_HOLD);
    hear_all(&mut core, later);
    assert!(matches!(path(&mut core, later), SendPath::Delegate(_)));
}

/// Guards against all instances without links that choose the same delegate,
/// one that is cut off itself, or one that has just failed.
#[test]
fn test_reachability_delegates_are_spread_and_reach_the_service() {
    let mut core = lost_core();
    let report = LinkReport {
        unreachable: vec![id("models")],
    };
    hear(&mut core, at(200), 0, report);
    core.record_delegate_failure(at(200), other(1));
    let excluded = [other(2)];
    let failed = FailedPaths {
        unconnected_at: None,
        delegates: &excluded,
    };
    let mut chosen = Vec::new();
    for _ in 0..30 {
        match core.send_path(at(210), &id("models"), &failed) {
            SendPath::Delegate(ip) => {
                core.begin_delegation(ip);
                chosen.push(ip);
            }
            path => panic!("{path:?}"),
        }
    }
    for index in 0..3 {
        assert!(!chosen.contains(&other(index)));
    }
    for index in 3..OTHERS {
        let count = chosen.iter().filter(|ip| **ip == other(index)).count();
        assert!((8..=12).contains(&count), "{index}: {count} of 30");
    }
}

/// Guards against other instances that avoid sound upstreams, because one that
/// has lost its links names them as suspects.
#[test]
fn test_reachability_lost_upstreams_are_no_suspects() {
    let mut core = lost_core();
    for index in 0..8 {
        let upstream: UpstreamId = id(&format!("i-{index}"));
        core.record_failure(at(120), &upstream);
    }
    let HeartbeatTrailer { suspects, .. } =
        core.next_heartbeat(at(130)).trailer;
    assert_eq!(suspects, []);
}

/// Guards against probes that grow with the number of services and failure
/// domains, and against a group that never gets its turn.
#[test]
fn test_reachability_probes_are_bounded_in_large_fleets() {
    let mut core = core(0);
    let entries = (0..360).map(|index| {
        let mut entry = entry(&format!("i-{index}"));
        entry.domain = id(&format!("domain-{}", index % 18));
        entry.service = id(&format!("models-{}", index / 18 % 10));
        entry
    });
    core.replace_upstreams(at(0), entries.collect());
    for index in 0..360 {
        let upstream: UpstreamId = id(&format!("i-{index}"));
        core.record_unreached(at(10), at(10), &upstream);
    }
    let mut probed = BTreeSet::new();
    for step in 1..=12 {
        let probes = fail_probes(&mut core, at(10 + step * 250));
        assert!(probes.len() <= 34, "{}", probes.len());
        let groups = probes.iter().map(|upstream| {
            let upstream = core.upstreams().get(upstream);
            upstream.expect("listed").entry.link_group()
        });
        probed.extend(groups);
    }
    assert_eq!(probed.len(), 180);
}

/// Guards against requests that are sent elsewhere although their upstream was
/// silent for a moment only, or the links were lost for one, and against ones
/// that wait for links that stay lost.
#[test]
fn test_reachability_silence_counts_only_over_lost_links() {
    let mut core = lost_core();
    let upstream: UpstreamId = id("i-2");
    let silenced = |core: &GatewayCore, now, silence| {
        core.is_silenced(now, &upstream, silence)
    };
    assert!(!silenced(&core, at(600), ms(2_000)));
    assert!(!silenced(&core, at(900), ms(900)));
    assert!(silenced(&core, at(900), ms(1_100)));
    assert!(!silenced(&fleet_core(), at(900), ms(1_700)));
    let (probed, _) = core.next_probes(at(1_000)).remove(0);
    core.record_reached(at(1_001), at(1_000), &probed);
    let is_here = probed < id("i-4");
    assert_eq!(!silenced(&core, at(1_100), ms(1_300)), is_here);
}
