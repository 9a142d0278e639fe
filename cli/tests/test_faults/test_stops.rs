//! Planned stops of instances fail no request (invariant I9 of docs/design.md).

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use borageline_bench::caller::{CallerClient, CallerOutcome};
use borageline_lib::{
    api::{ErrorBody, ErrorDetail},
    refusal::RunState,
};
use borageline_testutils::{client, process::ChildSignal};
use http::Method;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};
use uuid::Uuid;

use crate::{
    fixture::{FleetPlan, KEY, TestFleet, completion},
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

/// Interval between two connections to an instance that stops.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// Connects to an instance, sends a request 30 ms later and reads the begin of
/// the answer, empty if there is none; `None` if there is no connection.
async fn call_after_connect(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    sleep(Duration::from_millis(30)).await;
    let request = "GET /v1/addresses HTTP/1.1\r\nhost: instance\r\n\r\n";
    let _ = stream.write_all(request.as_bytes()).await;
    let mut begin = [0; 9];
    let read = stream.read_exact(&mut begin).await.is_ok();
    let begin = if read { &begin[..] } else { b"" };
    Some(String::from_utf8_lossy(begin).into_owned())
}

/// Guards against connections that are made just before the listener closes, and
/// are closed with no answer to the request that follows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_answer_on_last_connections() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    let leaving = fleet.addresses()[0];
    fleet.signal(0, ChildSignal::Terminate);
    let mut calls = Vec::new();
    while let Ok(probe) = TcpStream::connect(leaving).await {
        drop(probe);
        calls.push(tokio::spawn(call_after_connect(leaving)));
        sleep(CONNECT_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.extend(call.await.unwrap());
    }
    assert!(!answers.is_empty());
    answers.dedup();
    assert_eq!(answers, ["HTTP/1.1 "]);
}

/// Time limit of a planned stop that requests outlive.
const SHORT_STOP: Duration = Duration::from_secs(6);
/// Time after [`SHORT_STOP`] by which the process must have ended, for a
/// machine that is busy with other tests.
const EXIT_SLACK: Duration = Duration::from_secs(2);
/// Time within which engines run the requests of a test.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Time limit of requests that outlive the stop.
const LONG_REQUEST: Duration = Duration::from_secs(60);
/// Time within which a request that can no longer finish is refused.
const REFUSAL_LIMIT: Duration = Duration::from_secs(3);

/// Error of a request; `Err` has what the caller received instead.
type StopOutcome = Result<ErrorDetail, String>;

fn parse_error(answer: Result<(u16, bytes::Bytes), String>) -> StopOutcome {
    let (status, body) = answer?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let error: ErrorBody = serde_json::from_slice(&body)
        .map_err(|_| format!("status {status}: {text}"))?;
    Ok(error.error)
}

/// A completion that an engine decodes for 20 s.
async fn send_completion(address: SocketAddr, stream: bool) -> StopOutcome {
    let millis = LONG_REQUEST.as_millis() as u64;
    let mut request = completion(&unique_prompt(300), 1_000, millis);
    request.stream = stream;
    let caller = CallerClient::new();
    if stream {
        let record = caller.complete(address, KEY, &request, None).await;
        return match record.outcome {
            CallerOutcome::Refused(detail) => Ok(detail),
            outcome => Err(format!("{outcome:?}")),
        };
    }
    let body = serde_json::to_vec(&request).unwrap().into();
    let path = "/v1/completions";
    let send = caller.send(address, Method::POST, path, KEY, None, body);
    parse_error(send.await)
}

/// A call that may run once, to a service that takes longer than the stop.
async fn send_single_call(address: SocketAddr) -> StopOutcome {
    let caller = CallerClient::new();
    let key = Uuid::now_v7().to_string();
    let path = "/v1/services/numbering/issue";
    let body = "{}".into();
    let send = caller.send(address, Method::POST, path, KEY, Some(&key), body);
    parse_error(send.await)
}

/// A request whose body stays incomplete.
async fn send_partial_body(address: SocketAddr) -> StopOutcome {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 1000\r\n\r\n{{",
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = socket.read_to_string(&mut answer).await;
    read.map_err(|error| error.to_string())?;
    let (_, body) = answer.split_once("\r\n\r\n").ok_or("no answer")?;
    parse_error(Ok((503, body.to_owned().into())))
}

/// Waits until engines run this number of requests.
pub(crate) async fn wait_running(fleet: &TestFleet, count: usize) {
    let until = Instant::now() + START_LIMIT;
    loop {
        let held = fleet.engines.iter().map(|engine| engine.held());
        let held = futures::future::join_all(held).await;
        if held.iter().flatten().count() >= count {
            return;
        }
        assert!(Instant::now() < until, "requests do not run: {held:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests that a planned stop closes without an answer: those
/// that outlive its time limit, those that arrive too late for it, and the
/// process itself if it takes longer than the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_answer_requests_that_outlive_them() {
    let plan = FleetPlan {
        engine_arguments: vec!["--start-warm", "--decode-rate", "50"],
        service_delay: LONG_REQUEST,
        service_timeout: LONG_REQUEST,
        limits: json!({
            "stop_timeout_ms": SHORT_STOP.as_millis() as u64,
            "body_timeout_ms": LONG_REQUEST.as_millis() as u64,
        }),
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    let address = fleet.addresses()[0];
    let running = [
        ("streamed", tokio::spawn(send_completion(address, true))),
        ("collected", tokio::spawn(send_completion(address, false))),
        ("single call", tokio::spawn(send_single_call(address))),
        ("partial body", tokio::spawn(send_partial_body(address))),
    ];
    wait_running(&fleet, 2).await;
    // The first chunks arrive, and the call is claimed and sent.
    sleep(Duration::from_secs(1)).await;
    fleet.signal(0, ChildSignal::Terminate);
    let stopped_at = Instant::now();
    sleep(Duration::from_millis(300)).await;
    // Neither shortens the stop.
    fleet.signal(0, ChildSignal::Terminate);
    let late_completion = send_completion(address, true);
    let late_call = send_single_call(address);
    let late = futures::future::join(late_completion, late_call);
    let late = timeout(REFUSAL_LIMIT, late).await;
    let mut outcomes = BTreeMap::new();
    for (name, task) in running {
        outcomes.insert(name, task.await.unwrap());
    }
    let unanswered = || Err("not refused at once".to_owned());
    let (late_completion, late_call) =
        late.unwrap_or_else(|_| (unanswered(), unanswered()));
    outcomes.insert("late completion", late_completion);
    outcomes.insert("late single call", late_call);
    let exit_limit = stopped_at + SHORT_STOP + EXIT_SLACK;
    while fleet.instances[0].child.is_running() {
        if Instant::now() > exit_limit {
            outcomes.insert("process", Err("did not end in time".into()));
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    let lines = fleet.log_lines(0);
    let is_logged = |event: &str, text: &str| {
        lines.iter().any(|l| l.contains(event) && l.contains(text))
    };
    let ends: BTreeMap<_, _> = outcomes
        .into_iter()
        .map(|(name, outcome)| {
            let end = outcome.map(|detail| {
                let request = detail.request_id.unwrap();
                let is_logged = is_logged("request_stopped", request.as_str());
                (detail.code.to_string(), detail.run_state, is_logged)
            });
            (name, end)
        })
        .collect();
    let stopping = |state| Ok(("stopping".to_owned(), state, true));
    let expected = BTreeMap::from([
        ("streamed", stopping(RunState::Ran)),
        ("collected", stopping(RunState::Ran)),
        ("single call", stopping(RunState::MayHaveRun)),
        ("partial body", stopping(RunState::NotRun)),
        ("late completion", stopping(RunState::NotRun)),
        ("late single call", stopping(RunState::NotRun)),
    ]);
    assert_eq!(ends, expected);
    assert!(is_logged("stop_done", ""), "{lines:?}");
}
