//! Calls that crash the processes of a plain service.

use std::time::{Duration, Instant};

use borageline_bench::caller::CallerClient;
use borageline_lib::platform_api::{ListedProcess, ProcessKind};
use borageline_testutils::crashing_server::{CrashingServer, HARMFUL};
use http::Method;
use serde_json::json;

use crate::fixture::{FleetPlan, KEY, TestFleet};

/// Processes of the service.
const PROCESSES: usize = 3;
/// Time after which a crashed process is started again.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Crashes after which the call must not be sent any more.
const CRASHES_ALLOWED: usize = 3;
/// Time from the last allowed crash to the end of the sends.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Sends that are allowed after that.
const LATE_SENDS_ALLOWED: usize = 3;
/// Interval between two calls to each instance.
const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Adds a service whose calls are idempotent, with these processes.
fn add_service(fleet: &TestFleet, processes: &[CrashingServer]) {
    fleet.publish(json!({
        "order": "add-lookup", "issued_by": "a", "expect_version": null,
        "changes": [{"kind": "set_service", "service": "lookup", "rule": {
            "routes": [{
                "method": "GET", "path_prefix": "/", "idempotent": true,
            }],
            "timeout_ms": 2_000,
        }}],
    }));
    for (index, process) in processes.iter().enumerate() {
        fleet.list.control.add(ListedProcess {
            id: format!("lookup-{index}").into(),
            kind: ProcessKind::Service("lookup".parse().unwrap()),
            address: process.address,
            failure_domain: "domain-a".parse().unwrap(),
            leaving: false,
        });
    }
}

/// Status of a call to one instance; `None` if the connection broke.
async fn call(fleet: &TestFleet, instance: usize, path: &str) -> Option<u16> {
    let path = format!("/v1/services/lookup/{path}");
    let address = fleet.instances[instance].address;
    let caller = CallerClient::new();
    let sent = caller.send(address, Method::GET, &path, KEY, None, "".into());
    sent.await.ok().map(|(status, _)| status)
}

/// Guards against a call that crashes each process that runs it and is sent on,
/// by any instance, and against other calls that are refused with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_crashes_call_is_not_sent_again() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let mut processes = Vec::new();
    for _ in 0..PROCESSES {
        processes.push(CrashingServer::start(DOWN_TIME).await.unwrap());
    }
    add_service(&fleet, &processes);
    let instances = fleet.instances.len();
    let until = Instant::now() + Duration::from_secs(10);
    while call(&fleet, 0, "sound").await != Some(200) {
        assert!(Instant::now() < until, "the service is not served");
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until {
        let calls = (0..instances).map(|it| call(&fleet, it, HARMFUL));
        for status in futures::future::join_all(calls).await {
            assert_ne!(status, Some(200));
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let histories: Vec<_> = processes.iter().map(|it| it.history()).collect();
    let crashes = histories.iter().flat_map(|it| &it.crashes);
    let mut crashes: Vec<_> = crashes.copied().collect();
    crashes.sort();
    assert!(crashes.len() >= CRASHES_ALLOWED, "{crashes:?}");
    let learned_at = crashes[CRASHES_ALLOWED - 1] + LEARNING_TIME;
    let sends = histories.iter().flat_map(|it| &it.harmful);
    let late_sends = sends.filter(|at| **at > learned_at).count();
    assert!(late_sends <= LATE_SENDS_ALLOWED, "{late_sends} late sends");
    tokio::time::sleep(DOWN_TIME).await;
    for instance in 0..instances {
        for _ in 0..3 {
            assert_eq!(call(&fleet, instance, "sound").await, Some(200));
        }
    }
}

/// Time within which sound calls must be served again after the last crash.
const CLEARING_LIMIT: Duration = Duration::from_secs(6);

/// Guards against all calls of a path that are refused because two of them, which
/// differ in the query, crash processes in turns: until a trial has shown that the
/// others are sound, and at the instances that did not make it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_crashes_calls_with_other_queries_are_served() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let mut processes = Vec::new();
    for _ in 0..2 * PROCESSES {
        processes.push(CrashingServer::start(DOWN_TIME).await.unwrap());
    }
    add_service(&fleet, &processes);
    let instances = fleet.instances.len();
    let until = Instant::now() + Duration::from_secs(10);
    while call(&fleet, 0, "other").await != Some(200) {
        assert!(Instant::now() < until, "the service is not served");
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let crashes = || -> usize {
        processes.iter().map(|it| it.history().crashes.len()).sum()
    };
    for number in 0..4 {
        let path = format!("look?page={HARMFUL}-{}", number % 2);
        call(&fleet, number % instances, &path).await;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    assert!(crashes() >= CRASHES_ALLOWED, "{} crashes", crashes());
    let until = Instant::now() + CLEARING_LIMIT;
    while Instant::now() < until {
        for instance in 0..instances {
            call(&fleet, instance, "look?page=1").await;
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    for instance in 0..instances {
        let status = call(&fleet, instance, "look?page=2").await;
        assert_eq!(status, Some(200), "instance {instance}");
    }
}
