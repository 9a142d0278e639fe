//! Failure domains that an order closes under load get no new work (invariant
//! I4 of docs/design.md).

use std::time::{Duration, Instant};

use borageline_testutils::process::ChildSignal;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{sleep, sleep_until};

use crate::{
    fixture::{FleetPlan, TestFleet},
    load::{LoadShape, RunningLoad},
};

/// Time after which a closed domain must not get new work (I4).
const CLOSE_BOUND: Duration = Duration::from_secs(3);
/// Time after [`CLOSE_BOUND`] for which the domain is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// Time within which a reopened domain must get work.
const REOPEN_LIMIT: Duration = Duration::from_secs(15);

fn close_order(id: &str) -> Value {
    json!({"order": id, "changes": [
        {"kind": "close_domain", "domain": "domain-a", "mode": "finish"},
    ]})
}

/// Fault during the order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DomainFault {
    None,
    /// One instance is suspended before the order and resumes after the bound.
    InstanceFrozen,
    /// One instance reaches neither the log nor its peers.
    InstanceCutOff,
    /// One instance reaches its peers, but not the log.
    LogLinkCut,
}

/// Guards against new work in a closed domain: an instance sends requests only
/// if evidence younger than 2.5 s shows that its configuration is the newest
/// (`freshness`).
#[rstest]
#[case::nothing_else(DomainFault::None)]
#[case::instance_frozen(DomainFault::InstanceFrozen)]
#[case::instance_cut_off(DomainFault::InstanceCutOff)]
#[case::log_link_cut(DomainFault::LogLinkCut)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_domains_closed_get_no_work(#[case] fault: DomainFault) {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let load = RunningLoad::start(LoadShape::SHORT, &fleet.addresses());
    sleep(Duration::from_secs(2)).await;
    // At least the completions of the readiness check; placement decides
    // whether there is more.
    assert!(
        !fleet.engines[0].tap.sent().is_empty(),
        "the domain got no work before it was closed",
    );
    match fault {
        DomainFault::None => {}
        DomainFault::InstanceFrozen => fleet.signal(0, ChildSignal::Stop),
        DomainFault::InstanceCutOff => {
            // For this instance, suspended peers are the same as a partition.
            fleet.set_log_disconnected(0, true);
            fleet.signal(1, ChildSignal::Stop);
            fleet.signal(2, ChildSignal::Stop);
        }
        DomainFault::LogLinkCut => fleet.set_log_disconnected(0, true),
    }
    let ordered = Instant::now();
    if fault == DomainFault::InstanceCutOff {
        let mut order = close_order("close");
        order["issued_by"] = "a".into();
        order["expect_version"] = Value::Null;
        fleet.publish(order);
    } else {
        let (status, report) = fleet.order(1, 0, close_order("close")).await;
        assert_eq!(status, 200, "{report}");
        assert_eq!(report["accepted"], true, "{report}");
    }
    let bound = ordered + CLOSE_BOUND;
    sleep_until((bound + Duration::from_millis(500)).into()).await;
    if fault == DomainFault::InstanceFrozen {
        // Requests wait in its sockets; it must not forward them when it
        // resumes.
        fleet.signal(0, ChildSignal::Continue);
    }
    sleep_until((bound + OBSERVATION_TIME).into()).await;
    let late = fleet.engines[0].tap.sent_after(bound);
    assert_eq!(late, 0, "new work after the bound");
    match fault {
        DomainFault::InstanceCutOff => {
            fleet.signal(1, ChildSignal::Continue);
            fleet.signal(2, ChildSignal::Continue);
            fleet.set_log_disconnected(0, false);
        }
        DomainFault::LogLinkCut => fleet.set_log_disconnected(0, false),
        DomainFault::None | DomainFault::InstanceFrozen => {}
    }
    reopen(&fleet).await;
    let records = load.finish().await;
    let answered = records.iter().filter(|record| record.answered()).count();
    assert!(answered > 50, "{answered} of {} answered", records.len());
    if fault == DomainFault::None {
        let bad = records.iter().find(|record| !record.answered());
        assert!(bad.is_none(), "a planned change failed a request: {bad:?}");
    }
}

/// Reopens the domain and waits until its engine gets work.
async fn reopen(fleet: &TestFleet) {
    let order = json!({"order": "open", "changes": [
        {"kind": "open_domain", "domain": "domain-a"},
    ]});
    let until = Instant::now() + REOPEN_LIMIT;
    loop {
        let (status, report) = fleet.order(1, 0, order.clone()).await;
        if status == 200 {
            break;
        }
        assert!(Instant::now() < until, "{status} {report}");
        sleep(Duration::from_millis(200)).await;
    }
    let opened = Instant::now();
    while fleet.engines[0].tap.sent_after(opened) == 0 {
        assert!(Instant::now() < until, "no work after the domain reopened");
        sleep(Duration::from_millis(100)).await;
    }
}
