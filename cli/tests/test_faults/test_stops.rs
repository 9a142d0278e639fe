//! Planned stops of instances fail no request (invariant I9 of docs/design.md).

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use borageline_bench::caller::CallerClient;
use borageline_testutils::{client, process::ChildSignal};
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    fixture::{FleetPlan, TestFleet, completion},
    load::{LoadRecord, send_one, unique_prompt},
};

/// Time within which a stopping instance must end.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Time for which an instance does not learn of a stop.
const LIST_DELAY: Duration = Duration::from_millis(300);
/// Number of concurrent callers.
const CALLERS: usize = 9;

/// Fetches the address list from the first instance that answers. Returns the
/// addresses and the time at which the list expires.
async fn fetch_addresses(
    seeds: &[SocketAddr],
) -> Option<(Vec<SocketAddr>, Instant)> {
    for seed in seeds {
        let requested_at = Instant::now();
        let answer = client::get_json(*seed, "/v1/addresses").await;
        let Ok(answer): Result<Value, _> = answer else {
            continue;
        };
        let Some(lines) = answer["addresses"].as_array() else {
            continue;
        };
        let addresses = lines
            .iter()
            .map(|line| line["address"].as_str().unwrap().parse().unwrap())
            .collect::<Vec<_>>();
        let ttl = Duration::from_millis(answer["ttl_ms"].as_u64().unwrap());
        if !addresses.is_empty() {
            return Some((addresses, requested_at + ttl));
        }
    }
    None
}

/// Runs a caller that uses an address list until it expires, and then fetches a
/// new one.
async fn run_caller(
    seeds: Vec<SocketAddr>,
    number: usize,
    stop: Arc<AtomicBool>,
) -> Vec<LoadRecord> {
    let caller = CallerClient::new();
    let mut records = Vec::new();
    let mut address_list: Option<(Vec<SocketAddr>, Instant)> = None;
    let mut request_number = number;
    while !stop.load(Ordering::Relaxed) {
        if address_list
            .as_ref()
            .is_none_or(|address_list| Instant::now() >= address_list.1)
        {
            address_list = fetch_addresses(&seeds).await;
        }
        let (addresses, _) =
            address_list.as_ref().expect("an instance answers");
        let address = addresses[request_number % addresses.len()];
        request_number += 1;
        // Some requests run longer than the TTL of the address list.
        let tokens = if request_number.is_multiple_of(5) {
            150
        } else {
            10
        };
        let request = completion(&unique_prompt(300), tokens, 20_000);
        records.push(send_one(&caller, address, &request).await);
        sleep(Duration::from_millis(20)).await;
    }
    records
}

/// Guards against requests that a planned stop fails: a stopping instance is
/// removed from the address list, still serves callers that use its address,
/// and finishes running requests (`server`, `core::serving_core`).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_fail_no_request() {
    let plan = FleetPlan {
        engine_arguments: vec!["--start-warm", "--decode-rate", "50"],
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let stop = stop.clone();
            tokio::spawn(run_caller(fleet.addresses(), number, stop))
        })
        .collect();
    sleep(Duration::from_secs(1)).await;
    for index in 0..fleet.instances.len() {
        fleet.signal(index, ChildSignal::Terminate);
        // Polls, because a blocking wait would take a worker thread from the
        // callers.
        let until = Instant::now() + STOP_LIMIT;
        while fleet.instances[index].child.is_running() {
            let late = Instant::now() > until;
            assert!(!late, "instance {index} does not end");
            sleep(Duration::from_millis(20)).await;
        }
        let limit = Duration::from_secs(1);
        let status = fleet.instances[index].child.wait(limit).unwrap();
        assert!(status.success(), "instance {index}: {status}");
        fleet.restart_instance(index);
        fleet.wait_ready(index).await;
        sleep(Duration::from_millis(500)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.unwrap());
    }
    let bad: Vec<_> =
        records.iter().filter(|record| !record.answered()).collect();
    assert!(
        bad.is_empty(),
        "{} of {} failed, first {:?}",
        bad.len(),
        records.len(),
        bad[0],
    );
}

/// Guards against an instance that closes its listener before the last address
/// list with its address has expired: another instance that was paused for a
/// moment hands out such a list after the planned stop has begun.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_serve_callers_of_late_lists() {
    let plan = FleetPlan {
        engine_arguments: vec!["--start-warm"],
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    let leaving = fleet.addresses()[0];
    let other = fleet.addresses()[1];
    fleet.signal(1, ChildSignal::Stop);
    fleet.signal(0, ChildSignal::Terminate);
    sleep(LIST_DELAY).await;
    let list = tokio::spawn(async move { fetch_addresses(&[other]).await });
    fleet.signal(1, ChildSignal::Continue);
    let (addresses, expires) = list.await.unwrap().expect("a list");
    if !addresses.contains(&leaving) {
        // The instance learned of the stop first.
        return;
    }
    let almost = expires - Duration::from_millis(20);
    tokio::time::sleep_until(almost.into()).await;
    let request = completion(&unique_prompt(300), 10, 20_000);
    let record = send_one(&CallerClient::new(), leaving, &request).await;
    assert!(record.answered(), "{record:?}");
}
