//! Planned stops of instances (I9).

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

/// Time for a stopping instance to end.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Callers.
const CALLERS: usize = 9;

/// Asks the instances in turn which addresses to use, and until when.
async fn ask_addresses(
    seeds: &[SocketAddr],
) -> Option<(Vec<SocketAddr>, Instant)> {
    for seed in seeds {
        let asked = Instant::now();
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
            return Some((addresses, asked + ttl));
        }
    }
    None
}

/// A caller that uses the addresses it was given, as long as it may.
async fn follow(
    seeds: Vec<SocketAddr>,
    number: usize,
    stop: Arc<AtomicBool>,
) -> Vec<LoadRecord> {
    let caller = CallerClient::new();
    let mut records = Vec::new();
    let mut known: Option<(Vec<SocketAddr>, Instant)> = None;
    let mut turn = number;
    while !stop.load(Ordering::Relaxed) {
        if known.as_ref().is_none_or(|known| Instant::now() >= known.1) {
            known = ask_addresses(&seeds).await;
        }
        let (addresses, _) = known.as_ref().expect("an instance answers");
        let address = addresses[turn % addresses.len()];
        turn += 1;
        // Some requests run for longer than addresses are kept.
        let tokens = if turn.is_multiple_of(5) { 150 } else { 10 };
        let request = completion(&unique_prompt(300), tokens, 20_000);
        records.push(send_one(&caller, address, &request).await);
        sleep(Duration::from_millis(20)).await;
    }
    records
}

/// Guards against requests that fail or are cut by a planned stop: a stopping
/// instance leaves the address answers, serves callers that still know it and
/// finishes what runs (`server`, `core::serving_core`).
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
            tokio::spawn(follow(fleet.addresses(), number, stop))
        })
        .collect();
    sleep(Duration::from_secs(1)).await;
    for index in 0..fleet.instances.len() {
        fleet.signal(index, ChildSignal::Terminate);
        // Waiting blocks a thread, and callers need the others.
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
