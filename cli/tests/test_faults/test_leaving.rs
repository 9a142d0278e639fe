//! Engines that leave (I8).

use std::time::{Duration, Instant};

use borageline_bench::caller::CallerClient;
use rstest::rstest;
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::{
    fixture::{FleetPlan, TestFleet, completion},
    load::{LoadShape, RunningLoad, send_one, unique_prompt},
};

/// Time after which a leaving engine gets no new work (I8).
const LEAVE_BOUND: Duration = Duration::from_secs(3);
/// Time after the bound for which the engine is watched.
const WATCH: Duration = Duration::from_secs(3);

/// Who says that an engine leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaveNews {
    InstanceList,
    EngineReport,
}

/// Guards against new work for an engine that leaves, and against running
/// work that is cut off by it (`membership` and the owner's load reports).
#[rstest]
#[case::instance_list(LeaveNews::InstanceList)]
#[case::engine_report(LeaveNews::EngineReport)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_leaving_engine_gets_no_work(#[case] news: LeaveNews) {
    let plan = FleetPlan {
        engine_arguments: vec!["--start-warm", "--decode-rate", "50"],
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let addresses = fleet.addresses();
    // Owners let few requests in until an engine has shown what it can do,
    // so some have to wait.
    let shape = LoadShape {
        timeout: Duration::from_secs(15),
        ..LoadShape::SHORT
    };
    let load = RunningLoad::start(shape, &addresses);
    // Requests of six seconds that are running when the engine leaves.
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
    let engine = &fleet.engines[0];
    assert!(
        !engine.held().await.is_empty(),
        "nothing runs on the engine"
    );
    let left = Instant::now();
    match news {
        LeaveNews::InstanceList => {
            assert!(fleet.list.control.mark_leaving(&engine.name, true));
        }
        LeaveNews::EngineReport => {
            let leave = json!({"fault": "leave", "leaving": true});
            engine.fault(leave).await;
        }
    }
    let bound = left + LEAVE_BOUND;
    sleep_until((bound + WATCH).into()).await;
    assert_eq!(engine.tap.sent_after(bound), 0, "new work after the bound");
    for task in running {
        let record = task.await.unwrap();
        assert!(record.answered(), "{:?}", record.outcome());
    }
    let records = load.finish().await;
    let bad = records.iter().find(|record| !record.answered());
    assert!(bad.is_none(), "a leaving engine failed a request: {bad:?}");
}
