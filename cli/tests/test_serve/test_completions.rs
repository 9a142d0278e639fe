//! Completion requests, from the caller's connection to a scripted engine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    core::{RequestDecision, RequestProgress, StreamFailure},
    refusal::{Refusal, RefusalCode},
};
use borageline_testutils::{
    crashing_server::{CrashingServer, HARMFUL},
    loopback::new_address,
};
use futures::FutureExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fixture::{
    END, KEY, STREAMED, TestServer, TestSetup, assigned, chunk_event,
    completion, eventually, exchange, full_response, metric, read_all,
    request_id, start_endless, start_engine,
};

/// Decision to reconnect at once.
fn resume(address: SocketAddr) -> RequestDecision {
    RequestDecision::Resume {
        engine: assigned(address),
        pause: Duration::ZERO,
    }
}

/// Failures of attempts, as reported to the core.
fn failures(server: &TestServer) -> Vec<StreamFailure> {
    let progress = server.progress.lock().unwrap();
    let failed = progress.iter().filter_map(|progress| match progress {
        RequestProgress::Failed { failure, .. } => Some(*failure),
        _ => None,
    });
    failed.collect()
}

const COLLECTED: &str = r#"{"model":"m","prompt":"hello","max_tokens":64}"#;

/// Guards against a streamed completion that loses chunks or its end marker.
#[tokio::test]
async fn test_completion_streams_whole_answer() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        let answer = chunk_event(&id, 0, "a", false)
            + &chunk_event(&id, 1, "b", true)
            + END;
        async move { full_response(answer) }.boxed()
    }));
    let server = TestSetup::new(engine.await).start().await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("text/event-stream"), "{answer}");
    assert!(answer.contains("x-request-id: i-"), "{answer}");
    assert!(answer.contains("\"text\":\"a\""), "{answer}");
    assert!(answer.contains("\"text\":\"b\""), "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
}

/// Guards against a streamed response to a request without streaming.
#[tokio::test]
async fn test_completion_collects_whole_answer() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        let answer = chunk_event(&id, 0, "a", false)
            + &chunk_event(&id, 1, "b", true)
            + END;
        async move { full_response(answer) }.boxed()
    }));
    let server = TestSetup::new(engine.await).start().await;
    let answer = exchange(server.address, &completion(KEY, COLLECTED)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("\"text\":\"ab\""), "{answer}");
    assert!(answer.contains("\"token_count\":2"), "{answer}");
}

/// Guards against a truncated completion that looks complete to the caller.
#[tokio::test]
async fn test_completion_reports_truncated_stream() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        async move { full_response(chunk_event(&id, 0, "a", false)) }.boxed()
    }));
    let server = TestSetup::new(engine.await).start().await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.contains("\"text\":\"a\""), "{answer}");
    assert!(answer.contains("\"run_state\":\"ran\""), "{answer}");
    assert!(!answer.contains("[DONE]"), "{answer}");
    let answer = exchange(server.address, &completion(KEY, COLLECTED)).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(!answer.contains("\"text\""), "{answer}");
    assert_eq!(failures(&server), [StreamFailure::Interrupted; 2]);
    let name = "borageline_truncated_answers_total";
    assert_eq!(metric(&server, name), 2.0);
}

/// Guards against an interrupted completion that is not resumed, or that
/// repeats or loses tokens where it is resumed.
#[tokio::test]
async fn test_completion_resumes_cut_stream() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        let answer = match request.uri().query() {
            None => {
                chunk_event(&id, 0, "a", false)
                    + &chunk_event(&id, 1, "b", false)
            }
            Some("from=2") => chunk_event(&id, 2, "c", true) + END,
            Some(query) => panic!("resumed with {query}"),
        };
        async move { full_response(answer) }.boxed()
    }));
    let address = engine.await;
    let mut setup = TestSetup::new(address);
    setup.on_failure = resume(address);
    let server = setup.start().await;
    let answer = exchange(server.address, &completion(KEY, COLLECTED)).await;
    assert!(answer.contains("\"text\":\"abc\""), "{answer}");
}

/// Guards against endless resumptions that deliver no further token.
#[tokio::test]
async fn test_completion_resumes_once_without_progress() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        async move { full_response(chunk_event(&id, 0, "a", false)) }.boxed()
    }));
    let address = engine.await;
    let mut setup = TestSetup::new(address);
    setup.on_failure = resume(address);
    let server = setup.start().await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.contains("answer_truncated"), "{answer}");
    assert!(!answer.contains("[DONE]"), "{answer}");
    assert_eq!(failures(&server), [StreamFailure::Interrupted; 2]);
}

/// Guards against text of another request in a completion.
#[tokio::test]
async fn test_completion_drops_foreign_parts() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        let answer = chunk_event("other", 0, "secret", false)
            + &chunk_event(&id, 0, "a", false)
            + &chunk_event(&id, 0, "a", false)
            + &chunk_event("other", 1, "secret", true)
            + &chunk_event(&id, 1, "b", true)
            + END;
        async move { full_response(answer) }.boxed()
    }));
    let server = TestSetup::new(engine.await).start().await;
    let answer = exchange(server.address, &completion(KEY, COLLECTED)).await;
    assert!(answer.contains("\"text\":\"ab\""), "{answer}");
    assert!(!answer.contains("secret"), "{answer}");
    assert_eq!(metric(&server, "borageline_foreign_parts_total"), 2.0);
    assert_eq!(metric(&server, "borageline_repeated_parts_total"), 1.0);
}

/// Guards against a failed connection that is reported as a request that may
/// have run.
#[tokio::test]
async fn test_completion_at_dead_engine_has_not_run() {
    let server = TestSetup::new(new_address()).start().await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
    assert_eq!(failures(&server), [StreamFailure::ConnectFailed]);
}

/// Guards against a refusal with `not_run` after an engine closed the
/// connection without a response.
#[tokio::test]
async fn test_completion_at_breaking_engine_may_have_run() {
    let listener = tokio::net::TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
        }
    });
    let server = TestSetup::new(address).start().await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(
        answer.contains("\"run_state\":\"may_have_run\""),
        "{answer}"
    );
    assert_eq!(failures(&server), [StreamFailure::Interrupted]);
}

/// Guards against a request that is sent after its assignment has expired.
#[tokio::test]
async fn test_completion_is_not_sent_after_assignment() {
    let engine = start_endless(1, 1).await;
    let mut setup = TestSetup::new(engine.address);
    setup.send_within = Duration::ZERO;
    let server = setup.start().await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
    assert_eq!(failures(&server), [StreamFailure::AssignmentExpired]);
    assert!(engine.calls.lock().unwrap().is_empty());
}

/// Guards against a request that outlives its deadline because the engine does
/// not respond.
#[tokio::test]
async fn test_completion_ends_at_deadline() {
    let engine = start_engine(Arc::new(|_| futures::future::pending().boxed()));
    let server = TestSetup::new(engine.await).start().await;
    let body = STREAMED.replace("true}", "true,\"timeout_ms\":300}");
    let started = std::time::Instant::now();
    let answer = exchange(server.address, &completion(KEY, &body)).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(
        answer.contains("\"run_state\":\"may_have_run\""),
        "{answer}"
    );
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against an answer at the deadline that depends on whether the timer of
/// the request's task or that of the core runs first, as after a pause of the
/// process: only the core knows why the request was waiting.
#[tokio::test]
async fn test_completion_at_deadline_says_why_it_waited() {
    let mut setup = TestSetup::new("127.0.0.1:1".parse().unwrap());
    let refusal = Refusal::new(RefusalCode::NoUpstream, "no engine is left");
    setup.end_after_deadline = Some((Duration::from_millis(200), refusal));
    let server = setup.start().await;
    let body = STREAMED.replace("true}", "true,\"timeout_ms\":300}");
    let answer = exchange(server.address, &completion(KEY, &body)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("no engine is left"), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
}

/// Guards against a request that never ends because the core has stopped
/// deciding.
#[tokio::test]
async fn test_completion_ends_without_decision() {
    let mut setup = TestSetup::new("127.0.0.1:1".parse().unwrap());
    let refusal = Refusal::new(RefusalCode::NoUpstream, "no engine is left");
    setup.end_after_deadline = Some((Duration::from_secs(3_600), refusal));
    let server = setup.start().await;
    let body = STREAMED.replace("true}", "true,\"timeout_ms\":300}");
    let answer = exchange(server.address, &completion(KEY, &body)).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(answer.contains("\"run_state\":\"not_run\""), "{answer}");
}

/// Guards against a request that continues after its caller has disconnected.
#[tokio::test]
async fn test_completion_is_cancelled_when_caller_leaves() {
    let engine = start_engine(Arc::new(|_| futures::future::pending().boxed()));
    let server = TestSetup::new(engine.await).start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let request = completion(KEY, STREAMED);
    stream.write_all(request.as_bytes()).await.unwrap();
    let sent = |progress: &RequestProgress| {
        matches!(progress, RequestProgress::Sent(_))
    };
    let progress = server.progress.clone();
    eventually("sending", || progress.lock().unwrap().iter().any(sent)).await;
    drop(stream);
    let gone = RequestProgress::CallerDisconnected;
    eventually("end", || progress.lock().unwrap().contains(&gone)).await;
}

/// Guards against a request and connection that stay open after the caller has
/// closed its sending side.
#[tokio::test]
async fn test_completion_ends_for_half_closed_caller() {
    let engine = start_engine(Arc::new(|_| futures::future::pending().boxed()));
    let server = TestSetup::new(engine.await).start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let request = completion(KEY, STREAMED);
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    assert_eq!(read_all(&mut stream).await, "");
    let gone = RequestProgress::CallerDisconnected;
    let progress = server.progress.clone();
    eventually("end", || progress.lock().unwrap().contains(&gone)).await;
    let connections = || metric(&server, "borageline_connections") == 0.0;
    eventually("closing", connections).await;
}

/// Guards against a slow reader that exceeds its buffer or keeps the engine's
/// connection open, and against chunks lost when the stream is resumed.
#[tokio::test]
async fn test_completion_bounds_slow_reader() {
    const CHUNKS: u64 = 8_000;
    let engine = start_endless(2_000, CHUNKS - 1).await;
    let server = TestSetup::new(engine.address).start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let request = completion(KEY, STREAMED);
    stream.write_all(request.as_bytes()).await.unwrap();
    let detached =
        || metric(&server, "borageline_detached_streams_total") >= 1.0;
    eventually("detaching", detached).await;
    let buffered = metric(&server, "borageline_held_bytes");
    let limit = server.instance.context().settings.limits.stream_buffer;
    assert!(
        buffered <= limit.get() as f64,
        "{buffered} bytes are buffered"
    );
    let answer = read_all(&mut stream).await;
    let chunks = answer.matches("\"index_from\"").count() as u64;
    assert_eq!(chunks, CHUNKS);
    assert!(answer.contains("data: [DONE]"));
    let calls = engine.calls.lock().unwrap();
    assert!(calls.iter().any(|call| call.contains("from=")), "{calls:?}");
    assert_eq!(metric(&server, "borageline_held_bytes"), 0.0);
}

/// Guards against a caller that never reads, and so keeps its connection and
/// its buffer after the deadline.
#[tokio::test]
async fn test_completion_closes_stuck_reader() {
    let engine = start_endless(2_000, 100_000).await;
    let server = TestSetup::new(engine.address).start().await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let body = STREAMED.replace("true}", "true,\"timeout_ms\":1000}");
    let request = completion(KEY, &body);
    stream.write_all(request.as_bytes()).await.unwrap();
    let buffered = || metric(&server, "borageline_held_bytes") > 0.0;
    eventually("buffering", buffered).await;
    let closed = || metric(&server, "borageline_connections") == 0.0;
    eventually("closing", closed).await;
    assert_eq!(metric(&server, "borageline_held_bytes"), 0.0);
}

/// Guards against HTTP/2 requests without a response, and against a slow
/// stream that blocks the other streams of its connection.
#[tokio::test]
async fn test_completion_over_http2() {
    use http_body_util::{BodyExt, Full};
    use hyper_util::rt::{TokioExecutor, TokioIo};

    let engine = start_endless(2_000, 1_000).await;
    let server = TestSetup::new(engine.address).start().await;
    let stream = TcpStream::connect(server.address).await.unwrap();
    let executor = TokioExecutor::new();
    let io = TokioIo::new(stream);
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(executor, io)
            .await
            .unwrap();
    tokio::spawn(connection);
    let mut send = |body: &'static str| {
        let request = http::Request::post("http://x/v1/completions")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(bytes::Bytes::from(body)))
            .unwrap();
        sender.send_request(request)
    };
    let slow = send(STREAMED).await.unwrap();
    assert_eq!(slow.status(), 200);
    let fast = send(COLLECTED).await.unwrap();
    let fast = fast.into_body().collect().await.unwrap().to_bytes();
    assert!(fast.len() > 1_000 * 2_000);
    let slow = slow.into_body().collect().await.unwrap().to_bytes();
    assert!(slow.ends_with(b"data: [DONE]\n\n"));
}

/// Guards against a completion that crashes each engine and is sent on when it
/// comes again, and against another one that is refused with it.
#[tokio::test]
async fn test_completion_that_crashes_engines_is_refused() {
    let down_time = Duration::from_millis(200);
    let engine = CrashingServer::start(down_time).await.unwrap();
    let server = TestSetup::new(engine.address).start().await;
    let send = async |prompt: &str| {
        let body = format!(
            r#"{{"model":"m","prompt":"{prompt} {HARMFUL}","max_tokens":4}}"#,
        );
        let answer = exchange(server.address, &completion(KEY, &body)).await;
        tokio::time::sleep(down_time * 3).await;
        answer
    };
    for _ in 0..3 {
        let answer = send("first").await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    }
    for _ in 0..2 {
        let answer = send("first").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("prompt_quarantined"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
    }
    assert_eq!(engine.history().harmful.len(), 3);
    send("second").await;
    assert_eq!(engine.history().harmful.len(), 4);
}
