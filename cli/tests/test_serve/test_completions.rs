//! Completions from the caller's connection to a scripted engine.

use std::sync::Arc;

use crate::fixture::{
    END, KEY, STREAMED, completion, end_failed, exchange, limits, part,
    request_id, start_engine, start_server, whole,
};
use borageline_lib::core::{RequestProgress, StreamFailure};
use futures::FutureExt;

/// Guards against a streamed answer that loses parts or its end marker.
#[tokio::test]
async fn test_completion_streams_whole_answer() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        let answer = part(&id, 0, "a", false) + &part(&id, 1, "b", true) + END;
        async move { whole(answer) }.boxed()
    }));
    let server = start_server(engine.await, limits(), end_failed()).await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("text/event-stream"), "{answer}");
    assert!(answer.contains("x-request-id: i-"), "{answer}");
    assert!(answer.contains("\"text\":\"a\""), "{answer}");
    assert!(answer.contains("\"text\":\"b\""), "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
}

/// Guards against a caller that reads a part of an answer as the whole.
#[tokio::test]
async fn test_completion_reports_truncated_stream() {
    let engine = start_engine(Arc::new(|request| {
        let id = request_id(&request);
        async move { whole(part(&id, 0, "a", false)) }.boxed()
    }));
    let server = start_server(engine.await, limits(), end_failed()).await;
    let answer = exchange(server.address, &completion(KEY, STREAMED)).await;
    assert!(answer.contains("\"text\":\"a\""), "{answer}");
    assert!(answer.contains("\"run_state\":\"ran\""), "{answer}");
    assert!(!answer.contains("[DONE]"), "{answer}");
    let failed = server.progress.lock().unwrap().iter().any(|progress| {
        matches!(
            progress,
            RequestProgress::Failed {
                failure: StreamFailure::Cut,
                ..
            }
        )
    });
    assert!(failed, "the core was not told that the stream was cut");
    server.instance.stop().await;
}
