//! Engines that leave the fleet get no new work and fail no request (invariant
//! I8 of docs/design.md).

use std::time::{Duration, Instant};

use borageline_bench::caller::CallerClient;
use rstest::rstest;
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::{
    fixture::{FleetPlan, TestEngine, TestFleet, completion},
    load::{LoadShape, RunningLoad, send_one, unique_prompt},
};

/// Time after which a leaving engine must not get new work (I8).
const LEAVE_BOUND: Duration = Duration::from_secs(3);
/// Time after [`LEAVE_BOUND`] for which the engine is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Time within which an engine must have work.
const BUSY_LIMIT: Duration = Duration::from_secs(5);

/// Where an engine is marked as leaving.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaveSource {
    InstanceList,
    EngineReport,
}

/// Guards against new requests to a leaving engine, and against running
/// requests that it fails (`membership` and the owner's load reports).
#[rstest]
#[case::instance_list(LeaveSource::InstanceList)]
#[case::engine_report(LeaveSource::EngineReport)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_leaving_engine_gets_no_work(#[case] source: LeaveSource) {
    let plan = FleetPlan {
        engine_arguments: vec!["--start-warm", "--decode-rate", "50"],
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let addresses = fleet.addresses();
    // Owners admit few requests until an engine's capacity is measured, so some
    // requests have to wait.
    let shape = LoadShape {
        timeout: Duration::from_secs(15),
        ..LoadShape::SHORT
    };
    let load = RunningLoad::start(shape, &addresses);
    // Requests that take six seconds, so that they run when the engine leaves.
    let running: Vec<_> = (0..9)
        .map(|index| {
            let address = addresses[index % addresses.len()];
            let request = completion(&unique_prompt(200), 300, 30_000);
            tokio::spawn(async move {
                send_one(&CallerClient::new(), address, &request).await
            })
        })
        .collect();
    sleep(Duration::from_secs(2)).await;
    let engine = busiest_engine(&fleet).await;
    let left = Instant::now();
    match source {
        LeaveSource::InstanceList => {
            assert!(fleet.list.control.mark_leaving(&engine.name, true));
        }
        LeaveSource::EngineReport => {
            let leave = json!({"fault": "leave", "leaving": true});
            engine.fault(leave).await;
        }
    }
    let bound = left + LEAVE_BOUND;
    sleep_until((bound + OBSERVATION_TIME).into()).await;
    assert_eq!(engine.tap.sent_after(bound), 0, "new work after the bound");
    for task in running {
        let record = task.await.unwrap();
        assert!(record.answered(), "{:?}", record.outcome());
    }
    let records = load.finish().await;
    let bad = records.iter().find(|record| !record.answered());
    assert!(bad.is_none(), "a leaving engine failed a request: {bad:?}");
}

/// Waits until an engine has requests, and returns the engine with most.
/// Placement may reserve some engines for long prompts.
async fn busiest_engine(fleet: &TestFleet) -> &TestEngine {
    let until = Instant::now() + BUSY_LIMIT;
    loop {
        let mut busiest = (0, &fleet.engines[0]);
        for engine in &fleet.engines {
            let held = engine.held().await.len();
            if held > busiest.0 {
                busiest = (held, engine);
            }
        }
        if busiest.0 > 0 {
            return busiest.1;
        }
        assert!(Instant::now() < until, "no engine has work");
        sleep(Duration::from_millis(20)).await;
    }
}
