//! Calls to plain services: retries, idempotency keys and paths.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use borageline_lib::{
    fleet::{RouteRule, ServiceRule},
    peer_api::{CallOutcome, CallResult, ClaimResponse},
};
use borageline_testutils::loopback::new_address;
use futures::FutureExt;
use http::Method;
use rstest::rstest;

use crate::fixture::{
    KEY, TestSetup, eventually, exchange, full_response, start_engine,
};

const UUID: &str = "01890a5d-ac96-774b-bcce-b302099a8057";

type Calls = Arc<Mutex<Vec<http::request::Parts>>>;

/// Starts a process of a service that records the heads of its calls and
/// responds with `done`.
async fn start_process() -> (SocketAddr, Calls) {
    let calls = Calls::default();
    let recorded = calls.clone();
    let address = start_engine(Arc::new(move |request| {
        recorded.lock().unwrap().push(request.into_parts().0);
        async move { full_response("done") }.boxed()
    }));
    (address.await, calls)
}

fn call(line: &str, headers: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close, x-drop\r\n\
         x-drop: 1\r\nx-keep: 1\r\nx-http-method-override: DELETE\r\n\
         authorization: Bearer {KEY}\r\n{headers}content-length: 2\r\n\r\nhi",
    )
}

async fn setup(processes: Vec<SocketAddr>) -> TestSetup {
    let mut setup = TestSetup::new(new_address());
    setup.processes = processes;
    setup
}

/// Guards against an idempotent call that fails although another process could
/// serve it, and against headers that must not be forwarded.
#[tokio::test]
async fn test_idempotent_call_goes_to_live_process() {
    let (live, calls) = start_process().await;
    let dead = new_address();
    let server = setup(vec![dead, live]).await.start().await;
    for _ in 0..4 {
        let request = call("GET /v1/services/s/items/7?a=b", "");
        let answer = exchange(server.address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("done"), "{answer}");
        assert!(answer.contains("x-request-id: i-"), "{answer}");
    }
    let calls = calls.lock().unwrap();
    assert_eq!(calls.len(), 4);
    let head = &calls[0];
    assert_eq!(head.uri.to_string(), "/items/7?a=b");
    assert!(head.headers.contains_key("x-keep"));
    assert!(head.headers.contains_key("x-deadline-ms"));
    assert!(head.headers.contains_key("x-request-id"));
    for name in ["x-drop", "authorization", "x-http-method-override"] {
        assert!(!head.headers.contains_key(name), "{name} was passed on");
    }
}

/// Guards against a call that runs without a valid idempotency key.
#[rstest]
#[case::missing("")]
#[case::no_uuid("idempotency-key: abc\r\n")]
#[case::version_4("idempotency-key: 67e55044-10b1-426f-9247-bb680e5fe0c8\r\n")]
#[tokio::test]
async fn test_single_call_needs_key(#[case] header: &str) {
    let (process, calls) = start_process().await;
    let server = setup(vec![process]).await.start().await;
    let request = call("POST /v1/services/s/numbers", header);
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("key_invalid"), "{answer}");
    assert!(calls.lock().unwrap().is_empty());
}

/// Guards against a won claim whose call is not sent or whose outcome is not
/// recorded.
#[tokio::test]
async fn test_single_call_records_outcome() {
    let (process, calls) = start_process().await;
    let server = setup(vec![process]).await.start().await;
    let header = format!("idempotency-key: {UUID}\r\n");
    let request = call("POST /v1/services/s/numbers", &header);
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
    let settled_calls = server.settled_calls.clone();
    let is_settled = || !settled_calls.lock().unwrap().is_empty();
    eventually("settling", is_settled).await;
    let settled_calls = settled_calls.lock().unwrap();
    let CallResult::Ran(outcome) = &settled_calls[0] else {
        panic!("settled as {settled_calls:?}");
    };
    assert_eq!(outcome.status, 200);
    assert_eq!(outcome.body.as_deref(), Some("done"));
    let calls = calls.lock().unwrap();
    let key = calls[0].headers.get("idempotency-key").unwrap();
    assert_eq!(key, UUID);
}

/// Guards against a call that is sent although its claim was not won.
#[rstest]
#[case(ClaimResponse::InProgress, 409, "may_have_run")]
#[case(ClaimResponse::MayHaveRun, 409, "may_have_run")]
#[case(ClaimResponse::DigestMismatch, 409, "not_run")]
#[case(ClaimResponse::KeyExpired, 400, "not_run")]
#[tokio::test]
async fn test_single_call_without_claim_is_not_sent(
    #[case] claim: ClaimResponse,
    #[case] status: u16,
    #[case] run_state: &str,
) {
    let (process, calls) = start_process().await;
    let mut setup = setup(vec![process]).await;
    setup.claim = claim;
    let server = setup.start().await;
    let header = format!("idempotency-key: {UUID}\r\n");
    let request = call("POST /v1/services/s/numbers", &header);
    let answer = exchange(server.address, &request).await;
    let head = format!("HTTP/1.1 {status}");
    assert!(answer.starts_with(&head), "{answer}");
    assert!(answer.contains(run_state), "{answer}");
    assert!(calls.lock().unwrap().is_empty());
}

/// Guards against a repeated call that runs again instead of getting the
/// recorded outcome.
#[tokio::test]
async fn test_single_call_replays_outcome() {
    let (process, calls) = start_process().await;
    let mut setup = setup(vec![process]).await;
    setup.claim = ClaimResponse::Recorded(CallOutcome {
        status: 201,
        content_type: "text/plain".into(),
        body: Some("number 7".into()),
        body_digest: "d".into(),
    });
    let server = setup.start().await;
    let header = format!("idempotency-key: {UUID}\r\n");
    let request = call("POST /v1/services/s/numbers", &header);
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
    assert!(answer.ends_with("number 7"), "{answer}");
    assert!(calls.lock().unwrap().is_empty());
}

/// Guards against a key that stays claimed although nothing was sent.
#[tokio::test]
async fn test_single_call_to_dead_process_is_released() {
    let server = setup(vec![new_address()]).await.start().await;
    let header = format!("idempotency-key: {UUID}\r\n");
    let request = call("POST /v1/services/s/numbers", &header);
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
    let settled_calls = server.settled_calls.clone();
    let released = vec![CallResult::Released];
    eventually("release", || *settled_calls.lock().unwrap() == released).await;
}

/// Guards against a key that is released although the call may have run.
#[tokio::test]
async fn test_single_call_to_breaking_process_stays_claimed() {
    let listener = tokio::net::TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(Mutex::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            *count.lock().unwrap() += 1;
            let mut head = [0; 4096];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut head).await;
        }
    });
    let server = setup(vec![address]).await.start().await;
    let header = format!("idempotency-key: {UUID}\r\n");
    let request = call("POST /v1/services/s/numbers", &header);
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(
        answer.contains("\"run_state\":\"may_have_run\""),
        "{answer}"
    );
    assert_eq!(*accepted.lock().unwrap(), 1, "the call was sent again");
    assert!(server.settled_calls.lock().unwrap().is_empty());
}

/// Guards against a call that is retried because its path is taken for an
/// idempotent one, while the service routes it to another.
#[rstest]
#[case("/items", "GET", true)]
#[case("/items/", "GET", true)]
#[case("/items/a%20b", "GET", true)]
#[case("/itemsmore", "GET", false)]
#[case("/items", "POST", false)]
#[case("/items/issue", "GET", false)]
#[case("/items/issue/7", "GET", false)]
#[case("/items/%69ssue", "GET", false)]
#[case("/other", "GET", false)]
fn test_route_is_judged_by_longest_prefix(
    #[case] path: &str,
    #[case] method: Method,
    #[case] expected: bool,
) {
    let route = |path: &str, idempotent| RouteRule {
        method: "GET".into(),
        path_prefix: path.into(),
        idempotent,
    };
    let rule = ServiceRule {
        routes: vec![route("/items", true), route("/items/issue", false)],
        timeout_ms: 1,
    };
    let uri = format!("/v1/services/s{path}").parse().unwrap();
    let path = borageline::service_route::ServicePath::parse(&uri).unwrap();
    assert_eq!(path.is_idempotent(&rule, &method), expected);
}

/// Guards against paths that services normalize differently.
#[rstest]
#[case("/items/../numbers")]
#[case("/items/%2e%2e/numbers")]
#[case("/items/.%2E/numbers")]
#[case("/items%2f..%2fnumbers")]
#[case("/items/%5c..")]
#[case("/items/%252e")]
#[case("/items/%0d%0ax-a:b")]
#[case("/items;a=b")]
fn test_ambiguous_path_is_refused(#[case] path: &str) {
    let uri = format!("/v1/services/s{path}").parse().unwrap();
    let parsed = borageline::service_route::ServicePath::parse(&uri);
    assert!(parsed.is_err(), "{parsed:?}");
}
