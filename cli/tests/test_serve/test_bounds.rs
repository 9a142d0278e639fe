//! Refusals by the listener and its handlers, limits on connections and
//! buffers, and the planned stop.

use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use crate::fixture::{
    KEY, STREAMED, TestServer, TestSetup, completion, eventually, exchange,
    metric, read_all, start_endless,
};

async fn start() -> TestServer {
    let engine = start_endless(1, 3).await;
    TestSetup::new(engine.address).start().await
}

/// Guards against error responses without the documented body, code or status.
#[rstest]
#[case::no_json("{", 400, "malformed")]
#[case::after_end(r#"{"model":"m","prompt":"a","max_tokens":1}x"#, 400, "end")]
#[case::path(
    r#"{"model":"m","prompt":"a","max_tokens":"b"}"#,
    400,
    "max_tokens"
)]
#[case::unknown_field(r#"{"modell":"m"}"#, 400, "modell")]
#[case::no_tokens(r#"{"model":"m","prompt":"a","max_tokens":0}"#, 400, "least")]
#[case::no_prompt(r#"{"model":"m","prompt":"","max_tokens":1}"#, 400, "empty")]
#[case::model(
    r#"{"model":"x","prompt":"a","max_tokens":1}"#,
    404,
    "unknown_model"
)]
#[case::class(
    r#"{"model":"m","prompt":"a","max_tokens":1,"class":"batch"}"#,
    403,
    "forbidden"
)]
#[case::timeout(
    r#"{"model":"m","prompt":"a","max_tokens":1,"timeout_ms":99999999}"#,
    400,
    "timeout_ms"
)]
#[tokio::test]
async fn test_refusal_of_faulty_body(
    #[case] body: &str,
    #[case] status: u16,
    #[case] text: &str,
) {
    let server = start().await;
    let answer = exchange(server.address, &completion(KEY, body)).await;
    let head = format!("HTTP/1.1 {status}");
    assert!(answer.starts_with(&head), "{answer}");
    assert!(answer.contains(text), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
    assert!(answer.contains("x-request-id: i-"), "{answer}");
}

/// Guards against requests that are served with an invalid credential.
#[rstest]
#[case::wrong_key("authorization: Bearer wrong\r\n")]
#[case::empty_key("authorization: Bearer \r\n")]
#[case::other_scheme("authorization: Basic test-key\r\n")]
#[case::short("authorization: B\r\n")]
#[case::missing("")]
#[tokio::test]
async fn test_refusal_of_bad_credential(#[case] header: &str) {
    let server = start().await;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         {header}content-length: {}\r\n\r\n{STREAMED}",
        STREAMED.len(),
    );
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(answer.contains("unauthenticated"), "{answer}");
}

/// Guards against a body that is buffered although it is too large, with and
/// without a content length.
#[rstest]
#[case::stated("content-length: 2000\r\n\r\n".to_owned())]
#[case::chunked(format!(
    "transfer-encoding: chunked\r\n\r\n7d0\r\n{}\r\n0\r\n\r\n",
    "x".repeat(2_000),
))]
#[tokio::test]
async fn test_refusal_of_large_body(#[case] rest: String) {
    let engine = start_endless(1, 3).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.body_bytes = borageline_lib::units::ByteSize::new(1_000);
    let server = setup.start().await;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer {KEY}\r\n{rest}",
    );
    let answer = exchange(server.address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("body_too_large"), "{answer}");
    assert_eq!(metric(&server, "borageline_body_bytes"), 0.0);
}

/// Guards against a caller that keeps a connection and buffer in use by sending
/// its body slowly.
#[tokio::test]
async fn test_refusal_of_slow_body() {
    let server = start().await;
    let request = completion(KEY, STREAMED);
    let partial_request = &request[..request.len() - 5];
    let answer = exchange(server.address, partial_request).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("slow_sender"), "{answer}");
    assert_eq!(metric(&server, "borageline_body_bytes"), 0.0);
}

/// Guards against a caller that keeps a connection open without sending a
/// complete head, also before the version of HTTP can be detected.
#[rstest]
#[case::nothing("")]
#[case::version_open("P")]
#[case::headers_open("POST /v1/completions HTTP/1.1\r\nhost:")]
#[tokio::test]
async fn test_close_of_slow_headers(#[case] head: &str) {
    let server = start().await;
    let started = std::time::Instant::now();
    let answer = exchange(server.address, head).await;
    assert_eq!(answer, "");
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against one address that uses up all connections.
#[tokio::test]
async fn test_refusal_of_many_connections() {
    let engine = start_endless(1, 3).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.connections_per_address = 1;
    setup.limits.header_timeout = Duration::from_secs(20);
    let server = setup.start().await;
    let mut first = TcpStream::connect(server.address).await.unwrap();
    first.write_all(b"GET /healthz HTTP/1.1\r\n").await.unwrap();
    let mut second = TcpStream::connect(server.address).await.unwrap();
    let answer = read_all(&mut second).await;
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    first.write_all(b"host: x\r\n\r\n").await.unwrap();
    let mut answer = [0; 12];
    first.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
}

/// Guards against errors of gotham's router without the usual error body.
#[rstest]
#[case("GET /nothing", 404)]
#[case("GET /v1/completions", 404)]
#[case("POST /v1/queries", 404)]
#[case("GET /v1/query", 404)]
#[case("POST /v1/query", 401)]
#[case("GET /v1/services/nope/x", 401)]
#[case("POST /v1/order", 401)]
#[tokio::test]
async fn test_refusal_of_unknown_path(#[case] line: &str, #[case] status: u16) {
    let server = start().await;
    let request =
        format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let answer = exchange(server.address, &request).await;
    let head = format!("HTTP/1.1 {status}");
    assert!(answer.starts_with(&head), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
}

/// Guards against refusal counters that are missing while they are zero.
#[tokio::test]
async fn test_metrics_list_all_codes() {
    let server = start().await;
    let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                   \r\n";
    let answer = exchange(server.address, request).await;
    for code in borageline_lib::refusal::RefusalCode::ALL {
        let series = format!("borageline_refusals_total{{code=\"{code}\"}} 0");
        assert!(answer.contains(&series), "{series} is missing");
    }
}

/// Guards against a planned stop that aborts a running request, or that refuses
/// new ones while callers may still use the address.
#[tokio::test]
async fn test_stop_finishes_running_requests() {
    let engine = start_endless(2_000, 2_000).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.address_ttl = Duration::from_millis(500);
    // Requests end two seconds before the limit.
    setup.limits.stop_timeout = Duration::from_secs(8);
    let server = setup.start().await;
    let mut running = TcpStream::connect(server.address).await.unwrap();
    let request = completion(KEY, STREAMED);
    running.write_all(request.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    running.read_exact(&mut head).await.unwrap();
    let address = server.address;
    let stop = tokio::spawn(server.instance.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ready = "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = exchange(address, ready).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let answer = exchange(address, &completion(KEY, STREAMED)).await;
    let end = answer.lines().rfind(|line| line.starts_with("data: "));
    assert!(
        answer.contains("data: [DONE]"),
        "{} B, {end:?}",
        answer.len()
    );
    // Closes once the address is in no list, while the first request runs.
    let until = Instant::now() + Duration::from_secs(10);
    while TcpStream::connect(address).await.is_ok() {
        assert!(Instant::now() < until, "the listener stays open");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = read_all(&mut running).await;
    let end = answer.lines().rfind(|line| line.starts_with("data: "));
    assert!(
        answer.contains("data: [DONE]"),
        "{} B, {end:?}",
        answer.len()
    );
    stop.await.unwrap();
}

/// Guards against a caller that keeps a connection to a stopping instance, and
/// whose next request is lost when the connection is closed with the listener.
#[tokio::test]
async fn test_stop_closes_kept_connections() {
    let engine = start_endless(1, 1).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.address_ttl = Duration::from_millis(500);
    let server = setup.start().await;
    let mut socket = TcpStream::connect(server.address).await.unwrap();
    let stop = tokio::spawn(server.instance.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let request = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    socket.write_all(request.as_bytes()).await.unwrap();
    let answer = read_all(&mut socket).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    stop.await.unwrap();
}

/// Guards against slow readers that together use up the instance's buffer and
/// so block fast ones, or that exceed the buffer.
#[tokio::test]
async fn test_slow_readers_leave_room() {
    const READERS: usize = 100;
    let cap = 1 << 20;
    let engine = start_endless(1_000, 100_000).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.stream_buffer_total =
        borageline_lib::units::ByteSize::new(cap);
    let server = setup.start().await;
    let mut readers = Vec::new();
    for _ in 0..READERS {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut reader = socket.connect(server.address).await.unwrap();
        let request = completion(KEY, STREAMED);
        reader.write_all(request.as_bytes()).await.unwrap();
        readers.push(reader);
    }
    let detached = || {
        let name = "borageline_detached_streams_total";
        metric(&server, name) >= READERS as f64
    };
    eventually("detaching", detached).await;
    let buffered = metric(&server, "borageline_held_bytes");
    assert!(buffered <= cap as f64, "{buffered} bytes are buffered");
    let started = std::time::Instant::now();
    let mut fast = TcpStream::connect(server.address).await.unwrap();
    let request = completion(KEY, STREAMED);
    fast.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = vec![0; 4 << 20];
    fast.read_exact(&mut bytes).await.unwrap();
    assert!(started.elapsed() < Duration::from_secs(5));
    drop((readers, fast));
    let freed = || metric(&server, "borageline_held_bytes") == 0.0;
    eventually("freeing", freed).await;
}
