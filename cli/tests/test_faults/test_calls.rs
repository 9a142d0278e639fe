//! Calls with an idempotency key run at most once, also during faults
//! (invariant I7 of docs/design.md).

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

/// Number of calls, each with its own key.
const CALLS: usize = 24;
/// Time for one attempt, measured by its caller.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(10);
/// Time within which a key must have a final answer after the last fault.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// Outcome of one attempt.
#[derive(Clone, Debug, PartialEq)]
enum AttemptOutcome {
    /// Response of the service.
    Answer(String),
    /// Refusal with the documented error body.
    Refused(RunState, String),
    /// The connection failed, or no response was received.
    Broken(String),
}

async fn attempt(address: SocketAddr, key: &str) -> AttemptOutcome {
    let caller = CallerClient::new();
    let path = "/v1/services/numbering/issue";
    let send =
        caller.send(address, Method::POST, path, KEY, Some(key), "{}".into());
    match tokio::time::timeout(ATTEMPT_LIMIT, send).await {
        Err(_) => AttemptOutcome::Broken("no answer".into()),
        Ok(Err(error)) => AttemptOutcome::Broken(error),
        Ok(Ok((200, body))) => {
            AttemptOutcome::Answer(String::from_utf8_lossy(&body).into_owned())
        }
        Ok(Ok((status, body))) => {
            let text = String::from_utf8_lossy(&body).into_owned();
            let error: ErrorBody = serde_json::from_slice(&body)
                .unwrap_or_else(|_| panic!("status {status}: {text}"));
            AttemptOutcome::Refused(error.error.run_state, text)
        }
    }
}

/// Sends a call with one key to all instances at once, and all again 300 ms
/// later.
async fn send_concurrently(
    addresses: Vec<SocketAddr>,
    key: String,
) -> Vec<AttemptOutcome> {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let attempts = addresses.iter().map(|to| attempt(*to, &key));
        outcomes.extend(futures::future::join_all(attempts).await);
        sleep(Duration::from_millis(300)).await;
    }
    outcomes
}

/// Repeats a call until its answer is final: the service's response, or the
/// refusal that the call may have run.
async fn retry_until_final(
    addresses: &[SocketAddr],
    key: &str,
) -> Vec<AttemptOutcome> {
    let until = Instant::now() + SETTLE_LIMIT;
    let mut outcomes = Vec::new();
    loop {
        for address in addresses {
            let outcome = attempt(*address, key).await;
            outcomes.push(outcome.clone());
            match outcome {
                AttemptOutcome::Answer(_) => return outcomes,
                AttemptOutcome::Refused(_, text)
                    if text.contains("key_may_have_run") =>
                {
                    return outcomes;
                }
                _ => {}
            }
        }
        assert!(
            Instant::now() < until,
            "key {key} is not settled: {outcomes:?}"
        );
        sleep(Duration::from_millis(200)).await;
    }
}

/// Fault while the calls run.
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
            // Calls take 50 ms, so some are between claim and response.
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
            // A call takes effect after 1.5 s and is answered 1 s later, after
            // its timeout of 2 s.
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

/// Checks that the outcomes of a key's attempts match the number of its runs.
fn check_runs(key: &str, runs: u64, outcomes: &[AttemptOutcome]) {
    assert!(runs <= 1, "key {key} ran {runs} times: {outcomes:?}");
    let answers: Vec<_> = outcomes
        .iter()
        .filter_map(|outcome| match outcome {
            AttemptOutcome::Answer(body) => Some(body),
            _ => None,
        })
        .collect();
    assert!(
        answers.windows(2).all(|pair| pair[0] == pair[1]),
        "key {key} got different answers: {outcomes:?}",
    );
    if !answers.is_empty() {
        assert_eq!(runs, 1, "key {key} was answered: {outcomes:?}");
    }
    // If the call ran, at least one attempt must not have ended with `not_run`.
    let all_not_run = outcomes.iter().all(|outcome| {
        matches!(outcome, AttemptOutcome::Refused(RunState::NotRun, _))
    });
    assert!(
        !(all_not_run && runs > 0),
        "key {key} ran although each attempt ended with not_run: {outcomes:?}",
    );
}

/// Guards against a second run of a call: the first claim of a key in log order
/// wins (`call_log`), the entry instance sends the call once
/// (`services::send_once`), and only an attempt that sent nothing releases the
/// key.
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
    let mut callers = Vec::new();
    for index in 0..CALLS {
        let key = Uuid::now_v7().to_string();
        let addresses = addresses.clone();
        let task = tokio::spawn({
            let key = key.clone();
            async move {
                sleep(Duration::from_millis(50 * index as u64)).await;
                send_concurrently(addresses, key).await
            }
        });
        callers.push((key, task));
    }
    sleep(Duration::from_millis(300)).await;
    inject(&mut fleet, fault).await;
    let mut outcomes = BTreeMap::new();
    for (key, task) in callers {
        outcomes.insert(key, task.await.unwrap());
    }
    let final_outcomes = outcomes
        .keys()
        .map(|key| retry_until_final(&addresses, key))
        .collect::<Vec<_>>();
    let final_outcomes = futures::future::join_all(final_outcomes).await;
    let counts = fleet.service.control.counts();
    for ((key, mut outcomes), final_outcomes) in
        outcomes.into_iter().zip(final_outcomes)
    {
        outcomes.extend(final_outcomes);
        let runs = counts.keys.get(&key).copied().unwrap_or(0);
        check_runs(&key, runs, &outcomes);
    }
    // The checks would pass trivially if no call ran.
    assert!(counts.keys.len() >= CALLS / 2, "{counts:?}");
}
