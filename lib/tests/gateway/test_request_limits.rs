//! Limits on the requests to one upstream, over all instances.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        dispatch_rate::DispatchLimiter,
        gateway_core::{NotPlaced, PlacementRequest},
        request_limit::{LimitTable, RequestLimit},
        upstream_table::UpstreamProcess,
    },
    ids::UpstreamId,
    units::{Incarnation, Timestamp},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{
    admitted, at, core, heartbeat, id, ms, placement_request,
};

fn limit(text: &str) -> RequestLimit {
    text.parse().expect("test limits are valid")
}

fn process(name: &str) -> UpstreamProcess {
    UpstreamProcess {
        upstream: id(name),
        incarnation: Incarnation::new(1),
    }
}

fn address(instance: usize) -> IpAddr {
    let [.., high, low] = (instance as u32).to_be_bytes();
    Ipv4Addr::new(10, 0, high, low).into()
}

/// Limiters of a fleet in which each instance knows all others.
fn fleet(instances: usize) -> Vec<(IpAddr, DispatchLimiter)> {
    let all: Vec<_> = (0..instances).map(address).collect();
    let limiters = all.iter().map(|own| {
        let mut limiter = DispatchLimiter::default();
        let others = all.iter().copied().filter(|ip| ip != own);
        limiter.set_members(&id("service-a"), others.collect());
        (*own, limiter)
    });
    limiters.collect()
}

/// Largest number of times within a window that ends with one of them.
fn most_in_window(times: &[Timestamp], window: Duration) -> usize {
    let ends = times.iter().enumerate();
    let counts = ends.map(|(index, end)| {
        let times = times[..=index].iter();
        times.filter(|at| end.since(**at) <= window).count()
    });
    counts.max().unwrap_or_default()
}

/// Load pattern: every instance has requests for the same upstream all the
/// time. Guards against a limit that holds for each instance but not for their
/// sum, and against an upstream that gets next to nothing of what it takes.
#[rstest]
#[case(1, 1.0)]
#[case(7, 0.2)]
#[case(7, 1.0)]
#[case(7, 2.5)]
#[case(7, 40.0)]
#[case(95, 1.0)]
#[case(95, 30.0)]
#[case(950, 0.1)]
#[case(950, 1.0)]
#[case(950, 300.0)]
fn test_dispatch_limit_sum_is_kept(
    #[case] instances: usize,
    #[case] per_second: f64,
) {
    let mut fleet = fleet(instances);
    let upstream: UpstreamId = id("i-1");
    let limit = limit(&per_second.to_string());
    let mut sends = Vec::new();
    for step in 0..600 {
        let now = at(10_000 + step * 50);
        for (own, limiter) in &mut fleet {
            if limiter.allows_limited(now, *own, &upstream, limit) {
                limiter.count(now, &upstream);
                sends.push(now);
            }
        }
    }
    let window = ms(4_000);
    let most = most_in_window(&sends, window) as f64;
    let allowed = per_second * window.as_secs_f64();
    assert!(most <= allowed.max(1.0), "{most} of {allowed}");
    let taken = per_second * 30.0;
    assert!(
        sends.len() as f64 >= taken * 0.75,
        "{} of {taken}",
        sends.len()
    );
}

/// Guards against more sends than the upstream may get while instances join and
/// leave: members change several times within a window.
#[test]
fn test_dispatch_limit_is_kept_while_members_change() {
    let mut rng = ChaCha8Rng::seed_from_u64(24);
    let mut fleet = fleet(95);
    let upstream: UpstreamId = id("i-1");
    let mut sends = Vec::new();
    for step in 0..600 {
        let now = at(10_000 + step * 50);
        if step % 20 == 0 {
            let gone = rng.random_range(0..95);
            let alive = (0..95).filter(|it| *it != gone).map(address);
            let alive: Vec<_> = alive.collect();
            for (own, limiter) in &mut fleet {
                let others = alive.iter().copied().filter(|ip| ip != own);
                limiter.set_members(&id("service-a"), others.collect());
            }
        }
        for (own, limiter) in &mut fleet {
            if limiter.allows_limited(now, *own, &upstream, limit("2")) {
                limiter.count(now, &upstream);
                sends.push(now);
            }
        }
    }
    let most = most_in_window(&sends, ms(4_000));
    assert!(
        most <= 17,
        "{most} in a window; 1.5 times 8 and 5 are allowed"
    );
}

/// Guards against a cold upstream that receives more requests from all
/// instances together than it tolerates, also in a fleet with more instances
/// than that.
#[rstest]
#[case(7)]
#[case(95)]
#[case(950)]
fn test_dispatch_cold_rate_sum_is_kept(#[case] instances: usize) {
    let mut fleet = fleet(instances);
    let upstream: UpstreamId = id("i-1");
    let mut sends = 0;
    for step in 0..100 {
        let now = at(step * 10);
        for (own, limiter) in &mut fleet {
            if limiter.allows_cold(now, *own, &upstream, 35.0) {
                limiter.count(now, &upstream);
                sends += 1;
            }
        }
    }
    assert_eq!(sends, 35);
}

/// Guards against a limit that is learned only by the instance that read it,
/// against an old report that replaces a newer one, and against one that stays
/// in force after its end.
#[test]
fn test_limit_table_newest_report_counts() {
    let process = process("i-1");
    let mut first = LimitTable::default();
    let mut second = LimitTable::default();
    first.record(at(1_000), &process, Some(limit("1")), at(1_000));
    let old = first.report(at(1_000), false);
    second.merge(at(1_005), &old);
    assert_eq!(second.limit(&process), Some(limit("1")));
    second.record(at(2_000), &process, None, at(2_000));
    assert_eq!(second.limit(&process), None);
    // Arrives late, from an instance that does not know of the end.
    second.merge(at(2_500), &first.report(at(2_500), true));
    assert_eq!(second.limit(&process), None);
    first.merge(at(2_600), &second.report(at(2_600), false));
    assert_eq!(first.limit(&process), None);
}

/// Guards against a limit of a process that has ended, and one that is kept
/// forever.
#[test]
fn test_limit_table_drops_old_limits() {
    let mut table = LimitTable::default();
    let process = process("i-1");
    table.record(at(0), &process, Some(limit("1")), at(1));
    let next = UpstreamProcess {
        incarnation: Incarnation::new(2),
        ..process.clone()
    };
    assert_eq!(table.limit(&next), None);
    table.expire(at(50_000));
    assert_eq!(table.limit(&process), Some(limit("1")));
    table.expire(at(70_000));
    assert_eq!(table.limit(&process), None);
}

/// Guards against an instance that starts and never learns of limits and
/// quarantines that others have known for long, and against a fleet that repeats
/// all of them in every heartbeat.
#[rstest]
#[case(7)]
#[case(200)]
fn test_full_reports_are_repeated(#[case] instances: u8) {
    let mut core = core(1);
    for index in 2..=instances {
        let name = format!("entry-{index}");
        let heartbeat = heartbeat(&name, [127, 0, 0, index]);
        core.receive_heartbeat(at(10_000), heartbeat, None);
    }
    let limit = Some(limit("1"));
    core.record_request_limit(at(1_000), &process("i-0"), limit);
    let plans = (0..2_000).map(|_| core.next_heartbeat(at(10_000)));
    let full = plans.filter(|plan| !plan.limits.is_empty()).count();
    let expected = 2_000 / usize::from(instances.max(8));
    assert!(full >= expected && full <= expected + 1, "{full}");
}

/// Guards against an engine in need that is chosen like others, and against long
/// prompts that lose its help, which is no request to it: without it the memory
/// of the others does not suffice.
#[rstest]
#[case::short(2_000, 30)]
#[case::long(400_000, 4)]
fn test_placement_spares_engine_in_need(
    #[case] prompt: u64,
    #[case] count: u64,
) {
    let mut core = core(3);
    let limit = Some(limit("0.25"));
    core.record_request_limit(at(9_000), &process("i-1"), limit);
    let mut in_need = 0;
    let mut helped = 0;
    for number in 0..count {
        let now = at(10_000 + number * 900 / count);
        let admitted = admitted(&mut core, now);
        let request = PlacementRequest {
            is_resumed: true,
            ..placement_request(&admitted, prompt)
        };
        let started = core.place(now, &request).expect("placed");
        let helpers = &started.helpers;
        helped += helpers
            .iter()
            .filter(|(it, _)| it.id.as_str() == "i-1")
            .count();
        in_need += usize::from(started.entry.id.as_str() == "i-1");
        core.finish(started.in_flight_id);
    }
    assert!(in_need <= 1, "{in_need} requests");
    let is_long = prompt > 100_000;
    assert_eq!(helped > 0, is_long, "{helped} shares");
}

/// Guards against requests that wait although all engines have named limits
/// that are used up: they are refused at once, as not run, with a time to
/// return.
#[test]
fn test_placement_refuses_when_limits_are_used_up() {
    let mut core = core(1);
    core.receive_heartbeat(
        at(9_000),
        heartbeat("entry-2", [127, 0, 0, 2]),
        None,
    );
    let limit = Some(limit("1"));
    core.record_request_limit(at(9_000), &process("i-0"), limit);
    let now = at(10_000);
    for _ in 0..2 {
        let admitted = admitted(&mut core, now);
        let request = placement_request(&admitted, 2_000);
        core.place(now, &request).expect("within the share");
    }
    let admitted = admitted(&mut core, now);
    let request = placement_request(&admitted, 2_000);
    let Err(NotPlaced::Refused(refusal)) = core.place(now, &request) else {
        panic!("not refused");
    };
    assert!(refusal.retry_after.is_some());
    assert!(refusal.message.contains("limits"), "{refusal}");
}
