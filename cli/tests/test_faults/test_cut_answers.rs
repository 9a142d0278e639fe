//! Answers that a planned stop cuts off, as callers and as the log see them.

use std::{net::SocketAddr, time::Duration};

use borageline_testutils::process::ChildSignal;
use futures::future::join_all;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::{
    fixture::{FleetPlan, KEY, TestFleet, completion},
    load::unique_prompt,
};

/// Time limit of the stop; all requests end after 4.5 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Time in which an engine generates the second answer.
const GENERATION_TIME: Duration = Duration::from_millis(2_500);
/// Tokens of the answers, of which an engine generates 5,000 per second. Their
/// callers do not read them before the instance has ended: the first fits into
/// the system's buffers, the second waits in the instance's, and the third
/// exceeds these.
const TOKENS: [u32; 3] = [80, 9_000, 40_000];

/// Sends a completion on a connection that holds few bytes.
async fn send(address: SocketAddr, tokens: u32) -> TcpStream {
    let request = completion(&unique_prompt(300), tokens, 60_000);
    let body = serde_json::to_string(&request).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads the answer. Returns the id of its request and whether it is whole.
async fn read(mut stream: TcpStream) -> (String, bool) {
    let mut answer = Vec::new();
    // An error ends the answer, as the connection's end does.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    let id = answer
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_else(|| panic!("no id: {answer}"));
    (id.to_owned(), answer.contains("data: [DONE]"))
}

/// Guards against answers that a stop cuts off with no line in the log, and
/// against lines on answers that are whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_stops_log_each_answer_they_cut() {
    let mut fleet = TestFleet::start(FleetPlan {
        engine_arguments: vec!["--start-warm", "--decode-rate", "5000"],
        limits: json!({"stop_timeout_ms": STOP_TIMEOUT.as_millis() as u64}),
        ..FleetPlan::default()
    })
    .await;
    let address = fleet.addresses()[0];
    let mut answers = Vec::new();
    for tokens in TOKENS {
        let stream = send(address, tokens).await;
        let begun = stream.peek(&mut [0]).await;
        assert_eq!(begun.unwrap(), 1);
        answers.push(stream);
    }
    sleep(GENERATION_TIME).await;
    fleet.signal(0, ChildSignal::Terminate);
    while fleet.instances[0].child.is_running() {
        sleep(Duration::from_millis(20)).await;
    }
    let lines = fleet.log_lines(0);
    let cuts = |id: &str| {
        let is_cut =
            |line: &&String| line.contains("answer_cut") && line.contains(id);
        lines.iter().filter(is_cut).count()
    };
    let answers = join_all(answers.into_iter().map(read)).await;
    let ends: Vec<_> = answers
        .iter()
        .map(|(id, is_whole)| (*is_whole, cuts(id)))
        .collect();
    assert_eq!(ends, [(true, 0), (false, 1), (false, 1)], "{lines:?}");
}
