//! At-most-once calls (I7) while parts fail.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_bench::caller::CallerClient;
use borageline_lib::{api::ErrorBody, refusal::RunState};
use borageline_testutils::process::ChildSignal;
use http::Method;
use rstest::rstest;
use serde_json::json;
use tokio::time::sleep;
use uuid::Uuid;

use crate::fixture::{FleetPlan, KEY, TestFleet};

/// Calls with different keys.
const CALLS: usize = 24;
/// Longest time for one attempt as its caller sees it.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(10);
/// Longest time until a key has a final answer after all faults ended.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// Answer to one attempt.
#[derive(Clone, Debug, PartialEq)]
enum AttemptEnd {
    /// The service's answer.
    Answer(String),
    /// A refusal in the documented form.
    Refused(RunState, String),
    /// The connection broke or no answer came.
    Broken(String),
}

async fn attempt(address: SocketAddr, key: &str) -> AttemptEnd {
    let caller = CallerClient::new();
    let path = "/v1/services/numbering/issue";
    let send =
        caller.send(address, Method::POST, path, KEY, Some(key), "{}".into());
    match tokio::time::timeout(ATTEMPT_LIMIT, send).await {
        Err(_) => AttemptEnd::Broken("no answer".into()),
        Ok(Err(error)) => AttemptEnd::Broken(error),
        Ok(Ok((200, body))) => {
            AttemptEnd::Answer(String::from_utf8_lossy(&body).into_owned())
        }
        Ok(Ok((status, body))) => {
            let text = String::from_utf8_lossy(&body).into_owned();
            let error: ErrorBody = serde_json::from_slice(&body)
                .unwrap_or_else(|_| panic!("status {status}: {text}"));
            AttemptEnd::Refused(error.error.run_state, text)
        }
    }
}

/// Sends a key at all instances at once, and again after a while.
async fn storm(addresses: Vec<SocketAddr>, key: String) -> Vec<AttemptEnd> {
    let mut ends = Vec::new();
    for _ in 0..2 {
        let attempts = addresses.iter().map(|to| attempt(*to, &key));
        ends.extend(futures::future::join_all(attempts).await);
        sleep(Duration::from_millis(300)).await;
    }
    ends
}

/// Repeats a key until the answer is final.
async fn settle(addresses: &[SocketAddr], key: &str) -> Vec<AttemptEnd> {
    let until = Instant::now() + SETTLE_LIMIT;
    let mut ends = Vec::new();
    loop {
        for address in addresses {
            let end = attempt(*address, key).await;
            ends.push(end.clone());
            match end {
                AttemptEnd::Answer(_) => return ends,
                AttemptEnd::Refused(_, text)
                    if text.contains("key_may_have_run") =>
                {
                    return ends;
                }
                _ => {}
            }
        }
        assert!(Instant::now() < until, "key {key} is not settled: {ends:?}");
        sleep(Duration::from_millis(200)).await;
    }
}

/// What breaks while the calls run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFault {
    InstanceKilled,
    InstanceFrozen,
    AppendAnswersLost,
    LogDown,
    ServiceSlow,
    ServiceDropsAnswers,
    AppendsStallAndInstanceKilled,
}

async fn inject(fleet: &mut TestFleet, fault: CallFault) {
    match fault {
        CallFault::InstanceKilled => {
            // Calls take 50 ms, so some are between claim and answer.
            for index in 0..2 {
                fleet.kill_instance(index);
                sleep(Duration::from_millis(500)).await;
                fleet.restart_instance(index);
                fleet.wait_ready(index).await;
            }
        }
        CallFault::InstanceFrozen => {
            fleet.signal(0, ChildSignal::Stop);
            sleep(Duration::from_secs(4)).await;
            fleet.signal(0, ChildSignal::Continue);
        }
        CallFault::AppendAnswersLost => {
            fleet.fault_log(json!({"fault": "lose_append_answers"}));
            sleep(Duration::from_secs(3)).await;
            fleet.fault_log(json!({"fault": "clear"}));
        }
        CallFault::LogDown => {
            fleet.fault_log(json!({"fault": "fail", "mode": "close"}));
            sleep(Duration::from_secs(4)).await;
            fleet.fault_log(json!({"fault": "clear"}));
        }
        CallFault::ServiceSlow => {
            // A call takes effect after 1.5 s and is answered 1 s later,
            // when its time of 2 s has passed.
            fleet.fault_service(json!({"fault": "slow", "delay_ms": 1_500}));
            sleep(Duration::from_secs(4)).await;
            fleet.fault_service(json!({"fault": "clear"}));
        }
        CallFault::ServiceDropsAnswers => {
            fleet.fault_service(json!({"fault": "drop_answers", "count": 9}));
            sleep(Duration::from_secs(2)).await;
            fleet.fault_service(json!({"fault": "clear"}));
        }
        CallFault::AppendsStallAndInstanceKilled => {
            fleet.fault_log(json!({"fault": "stall_appends"}));
            sleep(Duration::from_millis(500)).await;
            fleet.kill_instance(1);
            sleep(Duration::from_secs(2)).await;
            fleet.fault_log(json!({"fault": "clear"}));
            fleet.restart_instance(1);
            fleet.wait_ready(1).await;
        }
    }
}

/// Compares what callers were told about a key with how often it ran.
fn is_listed_idempotent(key: &str, runs: u64, ends: &[AttemptEnd]) {
    assert!(runs <= 1, "key {key} ran {runs} times: {ends:?}");
    let answers: Vec<_> = ends
        .iter()
        .filter_map(|end| match end {
            AttemptEnd::Answer(body) => Some(body),
            _ => None,
        })
        .collect();
    assert!(
        answers.windows(2).all(|pair| pair[0] == pair[1]),
        "key {key} got different answers: {ends:?}",
    );
    if !answers.is_empty() {
        assert_eq!(runs, 1, "key {key} was answered: {ends:?}");
    }
    // A run needs an attempt that was not told `not_run`.
    let all_not_run = ends
        .iter()
        .all(|end| matches!(end, AttemptEnd::Refused(RunState::NotRun, _)));
    assert!(
        !(all_not_run && runs > 0),
        "key {key} ran although each attempt heard not_run: {ends:?}",
    );
}

/// Guards against a second run of a call: the first claim of a key in log
/// order wins (`call_log`), the entry instance sends it once
/// (`services::send_once`), and only an attempt that never sent it releases
/// the key.
#[rstest]
#[case::instance_killed(CallFault::InstanceKilled)]
#[case::instance_frozen(CallFault::InstanceFrozen)]
#[case::append_answers_lost(CallFault::AppendAnswersLost)]
#[case::log_down(CallFault::LogDown)]
#[case::service_slow(CallFault::ServiceSlow)]
#[case::service_drops_answers(CallFault::ServiceDropsAnswers)]
#[case::appends_stall_and_instance_killed(
    CallFault::AppendsStallAndInstanceKilled
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_calls_run_at_most_once(#[case] fault: CallFault) {
    let mut plan = FleetPlan::default();
    if fault == CallFault::ServiceSlow {
        plan.service_delay = Duration::from_secs(1);
    }
    let mut fleet = TestFleet::start(plan).await;
    let addresses = fleet.addresses();
    let mut storms = Vec::new();
    for index in 0..CALLS {
        let key = Uuid::now_v7().to_string();
        let addresses = addresses.clone();
        let task = tokio::spawn({
            let key = key.clone();
            async move {
                sleep(Duration::from_millis(50 * index as u64)).await;
                storm(addresses, key).await
            }
        });
        storms.push((key, task));
    }
    sleep(Duration::from_millis(300)).await;
    inject(&mut fleet, fault).await;
    let mut ends = BTreeMap::new();
    for (key, task) in storms {
        ends.insert(key, task.await.unwrap());
    }
    let settled = ends
        .keys()
        .map(|key| settle(&addresses, key))
        .collect::<Vec<_>>();
    let settled = futures::future::join_all(settled).await;
    let counts = fleet.service.control.counts();
    for ((key, mut ends), settled) in ends.into_iter().zip(settled) {
        ends.extend(settled);
        let runs = counts.keys.get(&key).copied().unwrap_or(0);
        is_listed_idempotent(&key, runs, &ends);
    }
    // The check is worth nothing if no call ran.
    assert!(counts.keys.len() >= CALLS / 2, "{counts:?}");
}
