//! Completions that are read whole late in a planned stop.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::{api::ErrorBody, refusal::RunState};
use borageline_testutils::process::ChildSignal;
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, sleep_until},
};

use crate::{
    fixture::{FleetPlan, KEY, TestFleet, completion},
    load::unique_prompt,
};

/// Time limit of the stop; all requests end after 10 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);
/// When the head and the first half of a body are sent.
const FIRST_HALF: Duration = Duration::from_millis(500);
/// When the rest is sent. Predictions count for 1.5 s.
const SECOND_HALF: Duration = Duration::from_secs(4);

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

/// Path of completions.
const COMPLETIONS: &str = "/v1/completions";

/// Sends a request in halves during a stop and reads the whole answer.
async fn send_in_halves(
    address: SocketAddr,
    stopped_at: Instant,
    path: &str,
    body: &str,
    framing: Framing,
) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let (header, first, second) = match framing {
        Framing::Length => (
            format!("content-length: {}", body.len()),
            first.to_owned(),
            second.to_owned(),
        ),
        Framing::Chunks => (
            "transfer-encoding: chunked".to_owned(),
            chunk(first),
            chunk(second) + "0\r\n\r\n",
        ),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer {KEY}\r\n{header}\r\n\r\n{first}",
    );
    sleep_until((stopped_at + FIRST_HALF).into()).await;
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(head.as_bytes()).await.unwrap();
    sleep_until((stopped_at + SECOND_HALF).into()).await;
    socket.write_all(second.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    answer
}

async fn start_fleet() -> TestFleet {
    TestFleet::start(FleetPlan {
        engine_arguments: vec!["--start-warm"],
        limits: json!({"stop_timeout_ms": STOP_TIMEOUT.as_millis() as u64}),
        ..FleetPlan::default()
    })
    .await
}

/// Guards against a completion that is sent late in a stop because it is
/// predicted to end in time, and is cut off since its engine is slower, while
/// other instances could have served it.
#[rstest]
#[case::length(Framing::Length)]
#[case::chunks(Framing::Chunks)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_refuse_late_completions(#[case] framing: Framing) {
    let mut fleet = start_fleet().await;
    let address = fleet.addresses()[0];
    fleet.signal(0, ChildSignal::Terminate);
    let stopped_at = Instant::now();
    // Five parts, predicted to take 0.8 s, take 7.5 s.
    for engine in &fleet.engines {
        let fault = json!({"fault": "late_parts", "delay_ms": 1_500});
        engine.fault(fault).await;
    }
    let request = completion(&unique_prompt(300), 40, 60_000);
    let body = serde_json::to_string(&request).unwrap();
    let answer =
        send_in_halves(address, stopped_at, COMPLETIONS, &body, framing);
    assert_refused_at_once(&answer.await);
}

/// Checks that an answer is the refusal of a request that was not sent.
fn assert_refused_at_once(answer: &str) {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503"), "{answer}");
    let error: ErrorBody = serde_json::from_str(body).unwrap();
    let refusal = (error.error.code.to_string(), error.error.run_state);
    assert_eq!(refusal, ("stopping".to_owned(), RunState::NotRun));
}

/// Guards against a completion that is refused late in a stop although its own
/// deadline lies before the end of the stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_serve_late_completions_in_time() {
    let mut fleet = start_fleet().await;
    let address = fleet.addresses()[0];
    fleet.signal(0, ChildSignal::Terminate);
    let request = completion(&unique_prompt(300), 40, 8_000);
    let body = serde_json::to_string(&request).unwrap();
    let now = Instant::now();
    let framing = Framing::Length;
    let answer = send_in_halves(address, now, COMPLETIONS, &body, framing);
    let answer = answer.await;
    assert!(answer.contains("data: [DONE]"), "{answer}");
}

/// Guards against a call to a service that is sent late in a stop, and cut off,
/// though it may be repeated and other instances could have sent it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_refuse_late_calls() {
    let mut fleet = TestFleet::start(FleetPlan {
        limits: json!({"stop_timeout_ms": STOP_TIMEOUT.as_millis() as u64}),
        // The call would end 2 s after the stop has ended all requests.
        service_delay: Duration::from_secs(8),
        service_timeout: Duration::from_secs(60),
        ..FleetPlan::default()
    })
    .await;
    fleet.publish(json!({
        "order": "add-lookups", "issued_by": "a", "expect_version": null,
        "changes": [{"kind": "set_service", "service": "numbering", "rule": {
            "routes": [{
                "method": "POST", "path_prefix": "/find", "idempotent": true,
            }],
            "timeout_ms": 60_000,
        }}],
    }));
    sleep(Duration::from_secs(1)).await;
    let address = fleet.addresses()[0];
    fleet.signal(0, ChildSignal::Terminate);
    let path = "/v1/services/numbering/find";
    let now = Instant::now();
    let framing = Framing::Length;
    let answer = send_in_halves(address, now, path, "{}", framing).await;
    assert_refused_at_once(&answer);
}
