//! Tests of the platform client against scripted TCP servers.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

use std::{net::SocketAddr, time::Duration};

use borageline::platform::PlatformClient;
use borageline_lib::{ids::StreamName, refusal::RunState, units::LogOffset};
use borageline_testutils::loopback::new_address;
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// What a scripted server does after it has read a complete request.
#[derive(Clone)]
enum ServerScript {
    Answer(String),
    Close,
    Silence,
}

struct ScriptedServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads one request with its body and returns its first line.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 4_096];
        let count = stream.read(&mut chunk).await.unwrap();
        assert!(count > 0, "connection closed before the request was whole");
        bytes.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .map_or(0, |(_, value)| value.trim().parse().unwrap());
        if body.len() >= length {
            return head.lines().next().unwrap().to_owned();
        }
    }
}

async fn start_server(script: ServerScript) -> ScriptedServer {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            match &script {
                ServerScript::Answer(text) => {
                    // The client may already have closed the connection,
                    // because the body is too large.
                    let _ = stream.write_all(text.as_bytes()).await;
                    let _ = stream.shutdown().await;
                }
                ServerScript::Close => {}
                ServerScript::Silence => sleep(Duration::from_secs(60)).await,
            }
        }
    });
    ScriptedServer { address, task }
}

fn answer(status: &str, body: &str) -> ServerScript {
    let length = body.len();
    ServerScript::Answer(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}",
    ))
}

fn client_of(address: SocketAddr) -> PlatformClient {
    PlatformClient::new(address, address)
}

fn config_stream() -> StreamName {
    "config".parse().unwrap()
}

/// Address on which nothing listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a client that decodes the answer of the log incorrectly.
#[tokio::test]
async fn test_append_answered() {
    let script = answer("200 OK", r#"{"first_offset":7,"count":2}"#);
    let server = start_server(script).await;
    let client = client_of(server.address);
    let records = vec![json!(1), json!(2)];
    let answer = client.append_log(&config_stream(), records).await.unwrap();
    assert_eq!(answer.first_offset, LogOffset::new(7));
    assert_eq!(answer.count, 2);
}

/// Guards against a failed append with the wrong run state: `not_run` only if
/// the log service answered with an error, otherwise `may_have_run`.
#[rstest]
#[case::broken_after_writing(ServerScript::Close, RunState::MayHaveRun)]
#[case::no_answer(ServerScript::Silence, RunState::MayHaveRun)]
#[case::cut_answer(
    ServerScript::Answer(
        "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{".into(),
    ),
    RunState::MayHaveRun
)]
#[case::malformed_answer(answer("200 OK", "{}"), RunState::MayHaveRun)]
#[case::error_status(
    answer("503 Unavailable", "log is down"),
    RunState::NotRun
)]
#[tokio::test]
async fn test_append_run_state(
    #[case] script: ServerScript,
    #[case] expected: RunState,
) {
    let server = start_server(script).await;
    let client = client_of(server.address);
    let failure = client
        .append_log(&config_stream(), vec![json!(1)])
        .await
        .unwrap_err();
    assert_eq!(failure.run_state, expected, "{}", failure.message);
    let expected_start = format!("log append at {}", server.address);
    assert!(
        failure.message.starts_with(&expected_start),
        "{}",
        failure.message
    );
}

/// Guards against a failed connection that is reported as an unknown outcome.
#[tokio::test]
async fn test_append_connection_refused() {
    let client = client_of(unused_address().await);
    let failure = client
        .append_log(&config_stream(), vec![json!(1)])
        .await
        .unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun, "{}", failure.message);
}

/// Guards against a failed read that is reported as a call that may have run.
#[tokio::test]
async fn test_read_broken_is_not_run() {
    let server = start_server(ServerScript::Close).await;
    let client = client_of(server.address);
    let from = LogOffset::ZERO;
    let failure = client
        .read_log(&config_stream(), from, Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun);
    let failure = client.read_list().await.unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun);
}

/// Guards against paths, parameters or field names that differ from the
/// protocol's.
#[tokio::test]
async fn test_read_log_request() {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let client = client_of(listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let line = read_request(&mut stream).await;
        let body = json!({
            "records": [{"offset": 3, "appended_at": 10, "value": {"a": 1}}],
            "earliest": 1, "head": 4, "retention_ms": 1000, "now_ms": 20,
        });
        let ServerScript::Answer(text) = answer("200 OK", &body.to_string())
        else {
            unreachable!();
        };
        stream.write_all(text.as_bytes()).await.unwrap();
        line
    });
    let wait = Duration::from_millis(250);
    let page = client
        .read_log(&config_stream(), LogOffset::new(3), wait)
        .await
        .unwrap();
    assert_eq!(page.head, LogOffset::new(4));
    assert_eq!(page.records[0].value, json!({"a": 1}));
    let line = server.await.unwrap();
    assert_eq!(
        line,
        "GET /v1/streams/config/records?from=3&limit=1000&wait_ms=250 HTTP/1.1",
    );
}

/// Guards against an endless answer that fills the instance's memory.
#[tokio::test]
async fn test_read_list_answer_too_large() {
    let body = " ".repeat((32 << 20) + 1);
    let server = start_server(answer("200 OK", &body)).await;
    let client = client_of(server.address);
    let failure = client.read_list().await.unwrap_err();
    let message = &failure.message;
    assert!(message.contains("answer over 33554432 B"), "{message}");
}
