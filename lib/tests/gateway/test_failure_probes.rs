//! Return of upstreams that failed some requests and are sound again.

use std::{collections::BTreeSet, ops::RangeInclusive};

use borageline_lib::{
    gateway::{
        failure_history::FailureBounds,
        gateway_core::{GatewayCore, PlacementRequest, StartedRequest},
        request_limit::RequestLimit,
        routing_config::RetrySafety,
        upstream_table::UpstreamTable,
    },
    ids::UpstreamId,
    units::Timestamp,
};
use rstest::rstest;

use crate::fixtures::{
    admitted, at, config, core, entry, id, ms, placement_request, route,
};

/// Interval between the requests of a test, in milliseconds.
const REQUEST_INTERVAL: u64 = 100;

/// What keeps a request from being a probe.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    None,
    Pause,
    Limit,
    AtMostOnce,
    Budget,
}

/// Core with three upstreams of which the first has failed some requests.
fn core_with_failures(
    retry_safety: RetrySafety,
    failures: usize,
) -> GatewayCore {
    let mut core = core(3);
    core.apply_config(config(2).with_route(route(retry_safety, 2)));
    for _ in 0..failures {
        core.record_error(at(0), &failing());
    }
    core
}

fn failing() -> UpstreamId {
    id("i-0")
}

/// Places a call without a prompt, the first send of its request.
fn place_call(core: &mut GatewayCore, now: Timestamp) -> StartedRequest {
    let admitted = admitted(core, now);
    let request = PlacementRequest {
        size: None,
        ..placement_request(&admitted, 100)
    };
    core.place(now, &request).expect("upstreams are idle")
}

/// Guards against an upstream that failed some requests and gets none for good
/// while others serve, although it is sound again. A repeatable request probes
/// it within 20 s; without such requests the failures are forgotten in 70 s.
#[rstest]
#[case::probes(RetrySafety::Idempotent, 20_000)]
#[case::decay(RetrySafety::AtMostOnce, 70_000)]
fn test_failure_probes_recovered_upstream_serves_again(
    #[case] retry_safety: RetrySafety,
    #[case] bound: u64,
) {
    let mut core = core_with_failures(retry_safety, 5);
    let mut served = Vec::new();
    for now in (0..bound + 10_000).step_by(REQUEST_INTERVAL as usize) {
        let started = place_call(&mut core, at(now));
        core.record_success(at(now), &started.entry.id);
        core.finish(started.in_flight_id);
        if started.entry.id == failing() {
            served.push(now);
        }
    }
    let late = served.iter().filter(|at| **at >= bound).count();
    let first = served.first();
    assert!(first.is_some_and(|at| *at < bound), "first at {first:?} ms");
    // One request in three is its equal part.
    assert!(late >= 20, "{late} of 100 after {bound} ms");
}

/// Guards against two probes of an upstream at a time, and against one whose end
/// is not noticed.
#[test]
fn test_failure_probes_are_sent_one_at_a_time() {
    let mut core = core_with_failures(RetrySafety::Idempotent, 5);
    let mut probes = Vec::new();
    for now in (0..15_000).step_by(REQUEST_INTERVAL as usize) {
        let started = place_call(&mut core, at(now));
        if started.entry.id == failing() {
            probes.push(started.in_flight_id);
        }
    }
    assert_eq!(probes.len(), 1);
    core.finish(probes[0]);
    assert_eq!(place_call(&mut core, at(15_000)).entry.id, failing());
}

/// Guards against a probe in a pause that the upstream has asked for, against two
/// in 10 s where its limit allows one, and against one that could not be sent
/// again if it failed: it may run only once, or no retry is left.
#[rstest]
#[case::allowed(Obstacle::None, 6..=9)]
#[case::paused(Obstacle::Pause, 0..=0)]
#[case::limited(Obstacle::Limit, 1..=1)]
#[case::at_most_once(Obstacle::AtMostOnce, 0..=0)]
#[case::no_retry_left(Obstacle::Budget, 0..=0)]
fn test_failure_probes_keep_limits(
    #[case] obstacle: Obstacle,
    #[case] expected: RangeInclusive<usize>,
) {
    let retry_safety = match obstacle {
        Obstacle::AtMostOnce => RetrySafety::AtMostOnce,
        _ => RetrySafety::Idempotent,
    };
    let mut core = core_with_failures(retry_safety, 8);
    match obstacle {
        Obstacle::Pause => {
            let process = entry("i-0").process();
            core.pause_upstream(at(0), &process, ms(60_000));
        }
        Obstacle::Limit => {
            let limit: RequestLimit = "0.1".parse().expect("a limit");
            let process = entry("i-0").process();
            core.record_request_limit(at(0), &process, Some(limit));
        }
        Obstacle::Budget => while core.spend_retry(at(1_900), &id("models")) {},
        Obstacle::None | Obstacle::AtMostOnce => {}
    }
    // A tenth request would earn another retry.
    let probes = (2..11).map(|second| at(second * 1_000)).filter(|now| {
        let started = place_call(&mut core, *now);
        core.record_success(*now, &started.entry.id);
        core.finish(started.in_flight_id);
        started.entry.id == failing()
    });
    let count = probes.count();
    assert!(expected.contains(&count), "{count} probes: {obstacle:?}");
}

/// Guards against an upstream that stays left out since its instance has hardly
/// any requests that could probe it.
#[test]
fn test_failure_probes_are_not_needed_for_good() {
    let mut table = UpstreamTable::default();
    table.replace(at(0), ["i-0", "i-1", "i-2"].map(entry).to_vec());
    let service = id("models");
    let bounds = FailureBounds::new(ms(10_000), 0.0);
    table.set_failure_bounds(&service, bounds);
    for _ in 0..30 {
        table.record_error(at(0), &failing());
    }
    let count = |now| table.candidates(now, &service, &[]).len();
    assert_eq!((count(at(60_000)), count(at(400_000))), (2, 3));
}

/// Guards against failed probes that use more than a tenth of the allowed retries
/// in fleets of any size, here for 20 minutes with one request a second to each
/// instance; and against an upstream that returns although it fails all or half
/// of its probes. Of what it gets while it is no longer left out, each instance
/// would send it one request in 3 s.
#[rstest]
fn test_failure_probes_cost_little(
    #[values(7, 95, 950)] instances: usize,
    #[values(1, 2)] failing_every: usize,
) {
    let mut table = UpstreamTable::default();
    table.replace(at(0), ["i-0", "i-1", "i-2"].map(entry).to_vec());
    let allowed = 10.0 * 0.2 + 100.0 / instances as f64;
    let bounds = FailureBounds::new(ms(10_000), allowed);
    let service = id("models");
    table.set_failure_bounds(&service, bounds);
    for _ in 0..5 {
        table.record_error(at(0), &failing());
    }
    let (mut probes, mut failed_probes, mut others) = (0, 0, 0);
    for millis in (0..1_200_000).step_by(REQUEST_INTERVAL as usize) {
        let now = at(millis);
        let candidates = table.candidates(now, &service, &[]);
        let is_used = candidates.iter().any(|it| it.entry.id == failing());
        let due = table.due_probe(now, &service, &BTreeSet::new());
        if let Some(upstream) = &due {
            table.begin_probe(now, upstream);
            probes += 1;
        } else if is_used && millis % 3_000 == 0 {
            others += 1;
        } else {
            continue;
        }
        if (probes + others) % failing_every == 0 {
            failed_probes += usize::from(due.is_some());
            table.record_error(now, &failing());
        } else {
            table.record_success(now, &failing());
        }
    }
    let per_s = |count: usize| (count * instances) as f64 / 1_200.0;
    println!(
        "{instances} instances, 1 in {failing_every} fails: {:.2} probes/s, \
         {:.2} of them failed, {:.2} other requests/s",
        per_s(probes),
        per_s(failed_probes),
        per_s(others),
    );
    assert!(failed_probes > 0);
    assert!(failed_probes as f64 / 120.0 <= allowed * 0.1);
    assert_eq!(others, 0);
}
