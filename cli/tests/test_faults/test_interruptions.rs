//! Streams that are interrupted on their way while their engine goes on.

use std::time::Duration;

use borageline_bench::caller::{CallerClient, CallerOutcome};
use borageline_testutils::{fault::Fault, process::ChildSignal};
use futures::future::join_all;
use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    fixture::{FleetPlan, KEY, TestFleet, completion},
    load::unique_prompt,
    test_stops::wait_running,
};

/// Streams of a test.
const STREAMS: usize = 3;
/// Time from the start of a stream at its engine to its first parts.
const FIRST_PARTS: Duration = Duration::from_secs(1);

/// Starts streams of this length at the first instance.
fn start_streams(
    fleet: &TestFleet,
    tokens: u32,
) -> Vec<JoinHandle<CallerOutcome>> {
    let address = fleet.addresses()[0];
    let start = |_| {
        tokio::spawn(async move {
            let request = completion(&unique_prompt(300), tokens, 30_000);
            let caller = CallerClient::new();
            let record = caller.complete(address, KEY, &request, None).await;
            record.outcome
        })
    };
    (0..STREAMS).map(start).collect()
}

/// How all streams ended.
async fn ends(streams: Vec<JoinHandle<CallerOutcome>>) -> Vec<CallerOutcome> {
    let ends = join_all(streams).await;
    ends.into_iter().map(Result::unwrap).collect()
}

/// Guards against streams that are cut off since their engine is not reached for
/// a moment, although it still holds them and only it can complete them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_interruptions_of_engines_cut_no_stream() {
    let fleet = TestFleet::start(FleetPlan {
        engine_arguments: vec!["--start-warm"],
        ..FleetPlan::default()
    })
    .await;
    // 6 s.
    let streams = start_streams(&fleet, 300);
    wait_running(&fleet, STREAMS).await;
    sleep(FIRST_PARTS).await;
    for engine in &fleet.engines {
        let fail = json!({"fault": "fail", "mode": "close"});
        engine.fault(fail).await;
        engine.fault(json!({"fault": "cut"})).await;
    }
    sleep(Duration::from_secs(1)).await;
    for engine in &fleet.engines {
        engine.fault(json!({"fault": "clear"})).await;
    }
    let ends = ends(streams).await;
    assert_eq!(ends, vec![CallerOutcome::Answered; STREAMS]);
}

/// Guards against streams that are cut off since the instance through which they
/// reach their engine ends its planned stop before they are complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_interruptions_by_relaying_instance_cut_no_stream() {
    let mut fleet = TestFleet::start(FleetPlan {
        engine_arguments: vec!["--start-warm"],
        has_own_links: true,
        limits: json!({"stop_timeout_ms": 3_000}),
        ..FleetPlan::default()
    })
    .await;
    fleet.fault_own_links(&Fault::Refuse);
    // 8 s.
    let streams = start_streams(&fleet, 400);
    wait_running(&fleet, STREAMS).await;
    sleep(FIRST_PARTS).await;
    fleet.signal(1, ChildSignal::Terminate);
    let ends = ends(streams).await;
    assert_eq!(ends, vec![CallerOutcome::Answered; STREAMS]);
}
