//! List of upstreams during outages of the store and failures of upstreams.

use std::sync::Arc;

use borageline_lib::{
    gateway::{
        gateway_core::GatewayCore,
        routing_config::RetrySafety,
        upstream_table::{
            UpstreamChange, UpstreamEntry, UpstreamState, UpstreamTable,
        },
    },
    ids::UpstreamId,
    units::{Incarnation, Timestamp},
};

use rstest::rstest;

use crate::fixtures::{
    admitted, at, config, core, entry, id, ms, placement_request, route,
    settings,
};

fn table(count: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let entries = (0..count).map(|index| entry(&format!("i-{index}")));
    table.replace(at(0), entries.collect());
    table
}

fn names(table: &UpstreamTable, now: Timestamp) -> Vec<String> {
    let candidates = table.candidates(now, &id("models"), &[]);
    candidates
        .iter()
        .map(|candidate| candidate.entry.id.to_string())
        .collect()
}

fn remove(table: &mut UpstreamTable, now: Timestamp, name: &str) {
    table.apply(now, UpstreamChange::Removed(id(name)));
}

/// Guards against a request to an upstream that left just after the store had
/// recovered (found by the fault search: check DRAIN, scenario fa-numeracion,
/// hunt-d29f-19).
#[test]
fn test_upstreams_leaving_after_outage_are_left_out() {
    let mut table = table(4);
    table.store_recovered(at(1_000));
    remove(&mut table, at(1_050), "i-1");
    assert_eq!(names(&table, at(1_060)), ["i-0", "i-2", "i-3"]);
    table.expire(at(3_000));
    assert!(table.get(&id("i-1")).is_none());
}

/// Guards against a grace period that is cut short when another instance
/// reports an earlier recovery of the store.
#[test]
fn test_upstreams_keep_the_latest_recovery_of_the_store() {
    let mut table = table(4);
    table.store_recovered(at(5_000));
    table.store_recovered(at(1_000));
    table.replace(at(5_100), vec![entry("i-0")]);
    assert_eq!(names(&table, at(5_200)).len(), 4);
}

/// Guards against a service without upstreams after all entries lapsed in an
/// outage of the store.
#[test]
fn test_upstreams_lapsed_in_outage_are_used_until_relisted() {
    let mut table = table(4);
    table.store_recovered(at(1_000));
    table.replace(at(1_000), vec![entry("i-0")]);
    assert_eq!(names(&table, at(1_100)).len(), 4);
    let relisted = UpstreamChange::Set(entry("i-2"));
    table.apply(at(1_500), relisted);
    table.expire(at(3_000));
    assert_eq!(names(&table, at(3_000)), ["i-0", "i-2"]);
}

/// Guards against requests to an upstream that drains or whose failure domain
/// is closed.
#[test]
fn test_upstreams_draining_or_closed_get_nothing() {
    let mut table = table(2);
    let mut draining = entry("i-0");
    draining.state = UpstreamState::Draining;
    table.apply(at(10), UpstreamChange::Set(draining));
    assert_eq!(names(&table, at(10)), ["i-1"]);
    assert!(table.set_closed(id("domain-a"), true));
    assert!(names(&table, at(10)).is_empty());
    assert!(table.set_closed(id("domain-a"), false));
    assert_eq!(names(&table, at(10)), ["i-1"]);
}

/// Guards against a repeatedly failing upstream that is tried for every
/// request, and against one that is avoided although no other remains.
#[test]
fn test_upstreams_failing_are_avoided_while_others_serve() {
    let mut table = table(2);
    let failing: UpstreamId = id("i-0");
    assert_eq!(table.record_failure(at(0), &failing), ms(500));
    assert_eq!(table.record_failure(at(0), &failing), ms(1_000));
    assert_eq!(names(&table, at(100)), ["i-1"]);
    table.record_failure(at(100), &id("i-1"));
    assert_eq!(names(&table, at(200)).len(), 2);
    table.record_success(at(200), &failing);
    assert_eq!(names(&table, at(200)), ["i-0"]);
}

/// Guards against failures of an upstream's former process that count against
/// its new process with the same id.
#[test]
fn test_upstreams_restarted_start_anew() {
    let mut table = table(2);
    table.record_failure(at(0), &id("i-0"));
    let mut restarted = entry("i-0");
    restarted.incarnation = Incarnation::new(2);
    table.apply(at(50), UpstreamChange::Set(restarted));
    assert_eq!(names(&table, at(100)), ["i-0", "i-1"]);
}

/// Guards against requests to upstreams whose machines restarted under new
/// ids: each answers that it is a different upstream, and the resends exhaust
/// the retry budget (found by the fault search: check BUDGET, scenario
/// fa-numeracion-grown, run trouble-1 with seed 839071169291).
#[test]
fn test_upstreams_replaced_at_their_address_get_nothing() {
    let mut table = UpstreamTable::default();
    let mut old = entry("i-old");
    old.address = "127.0.0.1:9100".parse().expect("address is valid");
    table.replace(at(0), vec![old.clone(), entry("i-other")]);
    let mut new = old.clone();
    new.id = id("i-new");
    new.incarnation = Incarnation::new(2);
    table.apply(at(100), UpstreamChange::Set(new));
    assert_eq!(names(&table, at(100)), ["i-new", "i-other"]);
    // A late entry of the former upstream changes nothing.
    table.apply(at(200), UpstreamChange::Set(old));
    assert_eq!(names(&table, at(200)), ["i-new", "i-other"]);
}

/// Guards against an upstream that is tried again although a different one
/// answers at its address. Its next list entry makes it a candidate again.
#[test]
fn test_upstreams_displaced_get_nothing_until_relisted() {
    let mut table = table(2);
    table.mark_displaced(&id("i-0"));
    assert_eq!(names(&table, at(60_000)), ["i-1"]);
    table.mark_displaced(&id("i-1"));
    assert!(names(&table, at(60_000)).is_empty());
    table.apply(at(61_000), UpstreamChange::Set(entry("i-0")));
    assert_eq!(names(&table, at(61_000)), ["i-0"]);
}

/// Guards against a request to an upstream that left, or that reported to leave,
/// before the store was restored to a copy in which it is ready; and against an
/// upstream that is no longer used although it is still there.
#[test]
fn test_upstreams_of_restored_store_are_not_older() {
    let mut table = table(4);
    let draining = UpstreamEntry {
        state: UpstreamState::Draining,
        sequence: 5,
        ..entry("i-0")
    };
    table.apply(at(1_000), UpstreamChange::Set(draining));
    remove(&mut table, at(1_000), "i-1");
    remove(&mut table, at(1_000), "i-2");
    let until = at(6_000);
    table.store_restored(at(2_000), until);
    let copied = || (0..4).map(|it| entry(&format!("i-{it}"))).collect();
    table.replace(at(2_000), copied());
    assert_eq!(names(&table, at(2_000)), ["i-3"]);
    let written_again = UpstreamEntry {
        sequence: 6,
        ..entry("i-2")
    };
    let process = written_again.process();
    table.apply(at(3_000), UpstreamChange::Set(written_again));
    assert_eq!(names(&table, at(3_000)), ["i-2", "i-3"]);
    assert!(table.confirm(&process), "its status is checked");
    // The entry of i-1 did not lapse in the store, so the upstream is there.
    table.replace(until, copied());
    assert_eq!(names(&table, until), ["i-1", "i-2", "i-3"]);
}

/// Guards against an upstream that is left out because it started after the copy
/// from which the store was restored, or used for good although it has left.
#[test]
fn test_upstreams_missing_in_restored_store_are_used_for_a_while() {
    let mut table = table(2);
    table.apply(at(1_000), UpstreamChange::Set(entry("i-new")));
    table.apply(at(1_000), UpstreamChange::Set(entry("i-gone")));
    let until = at(6_000);
    table.store_restored(at(2_000), until);
    let copied = || vec![entry("i-0"), entry("i-1")];
    table.replace(at(2_000), copied());
    let all = ["i-0", "i-1", "i-gone", "i-new"];
    assert_eq!(names(&table, at(2_000)), all);
    table.apply(at(3_000), UpstreamChange::Set(entry("i-new")));
    let mut listed = copied();
    listed.push(entry("i-new"));
    table.replace(until, listed);
    assert_eq!(names(&table, until), ["i-0", "i-1", "i-new"]);
}

/// Guards against a process that counts as outdated because its clock is behind
/// that of the process before it.
#[test]
fn test_upstreams_restarted_with_earlier_clock_are_used() {
    let mut table = table(1);
    table.store_restored(at(1_000), at(2_000));
    let restarted = UpstreamEntry {
        incarnation: Incarnation::new(0),
        state: UpstreamState::Draining,
        ..entry("i-0")
    };
    table.apply(at(3_000), UpstreamChange::Set(restarted));
    assert!(names(&table, at(3_000)).is_empty());
}

/// Guards against an upstream that is no longer used since an entry of a
/// service that the desired state does not name has its address, whichever was
/// read first.
#[rstest]
#[case(true)]
#[case(false)]
fn test_upstreams_of_unknown_service_displace_none(#[case] late: bool) {
    let mut core = core(1);
    if late {
        let settings = Arc::new(settings());
        core = GatewayCore::new(settings, Incarnation::new(1), 7);
        core.replace_upstreams(at(0), vec![entry("i-0")]);
    }
    let odd = UpstreamEntry {
        id: id("i-odd"),
        service: id("elsewhere"),
        incarnation: Incarnation::new(9),
        ..entry("i-0")
    };
    core.apply_upstream(at(1), UpstreamChange::Set(odd));
    core.apply_config(config(2));
    let service = id("models");
    let candidates = core.upstreams().candidates(at(2), &service, &[]);
    assert_eq!(candidates.len(), 1);
}

/// Guards against requests to an upstream before the end of a long pause that it
/// has asked for.
#[test]
fn test_upstreams_get_no_requests_in_a_long_pause() {
    let mut table = table(2);
    table.pause(at(0), &entry("i-0").process(), ms(3_600_000));
    assert_eq!(names(&table, at(3_599_000)), ["i-1"]);
    assert_eq!(names(&table, at(3_600_000)), ["i-0", "i-1"]);
}

/// Guards against requests that are refused for want of capacity while an upstream
/// that failed some requests is idle, since the others are cold; a request that
/// may run only once is not sent there.
#[rstest]
#[case::repeatable(RetrySafety::Idempotent, true)]
#[case::at_most_once(RetrySafety::AtMostOnce, false)]
fn test_upstreams_that_failed_serve_when_others_are_cold(
    #[case] retry_safety: RetrySafety,
    #[case] is_used: bool,
) {
    let mut core = core(0);
    core.apply_config(config(2).with_route(route(retry_safety, 2)));
    let cold = |name: &str| UpstreamEntry {
        cold_for: ms(10_000),
        ..entry(name)
    };
    core.replace_upstreams(at(0), ["i-0", "i-1", "i-2"].map(cold).to_vec());
    for _ in 0..5 {
        core.record_error(at(0), &id("i-0"));
    }
    let admitted = admitted(&mut core, at(1));
    let request = placement_request(&admitted, 100);
    let mut order = Vec::new();
    while let Ok(started) = core.place(at(1), &request) {
        order.push(started.entry.id);
    }
    let first = order.iter().position(|it| *it == id("i-0"));
    assert_eq!(first.is_some(), is_used);
    // The others are preferred as long as they take requests.
    let others = order.iter().filter(|it| **it != id("i-0")).count();
    assert!(others > 0 && first.is_none_or(|first| first == others));
}

/// Guards against requests to an upstream in a pause that it has asked for, when
/// its entry has lapsed and is listed again; and against a pause that a new
/// process with its id takes over.
#[rstest]
#[case::same_process(1, vec!["i-1"])]
#[case::new_process(2, vec!["i-0", "i-1"])]
fn test_upstreams_listed_again_keep_their_pause(
    #[case] incarnation: u64,
    #[case] expected: Vec<&str>,
) {
    let mut table = table(2);
    table.pause(at(0), &entry("i-0").process(), ms(60_000));
    table.replace(at(1_000), vec![entry("i-1")]);
    table.expire(at(1_000));
    assert!(table.get(&id("i-0")).is_none());
    let listed = UpstreamEntry {
        incarnation: Incarnation::new(incarnation),
        sequence: 9,
        ..entry("i-0")
    };
    let process = listed.process();
    table.apply(at(2_000), UpstreamChange::Set(listed));
    table.confirm(&process);
    assert_eq!(names(&table, at(30_000)), expected);
    assert_eq!(names(&table, at(60_000)), ["i-0", "i-1"]);
}
