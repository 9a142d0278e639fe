//! Services and engines that send bytes without end.

use std::{sync::Arc, time::Duration};

use borageline::http_client::{
    CallTarget, HttpClient, HttpError, plain_request,
};
use borageline_lib::units::ByteSize;
use borageline_testutils::loopback::new_address;
use bytes::Bytes;
use futures::{FutureExt, StreamExt, future::join_all};
use http::{Method, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use rstest::rstest;

use crate::fixture::{
    KEY, STREAMED, Script, TestSetup, completion, exchange, metric,
    start_engine,
};

/// Calls at the same time.
const CALLS: usize = 8;
/// Bytes of requests and answers that the instance may hold.
const BUDGET_BYTES: u64 = 4 << 20;
/// Bytes of one piece of a body.
const PIECE_BYTES: usize = 64 << 10;

/// Answers with `count` times a piece, and then nothing.
fn repeat(piece: &'static str, count: usize) -> Script {
    let bytes = Bytes::from(piece.repeat(PIECE_BYTES / piece.len()));
    Arc::new(move |_| {
        let bytes = bytes.clone();
        let pieces = futures::stream::repeat_with(move || {
            Ok(Frame::data(bytes.clone()))
        });
        let pieces = pieces.take(count).chain(futures::stream::pending());
        let body = BodyExt::boxed(StreamBody::new(pieces));
        async move { Response::new(body) }.boxed()
    })
}

/// Guards against answers of services that are held without a common bound:
/// those that do not fit are refused at once, and their room is free again
/// afterwards.
#[rstest]
#[case::without_end(usize::MAX)]
#[case::stalled(48)]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answers_of_services_share_budget(#[case] count: usize) {
    let process = start_engine(repeat("a", count)).await;
    let mut setup = TestSetup::new(new_address());
    setup.processes = vec![process];
    setup.limits.body_bytes_total = ByteSize::new(BUDGET_BYTES);
    let server = setup.start().await;
    let call = format!(
        "GET /v1/services/s/items/7 HTTP/1.1\r\nhost: x\r\n\
         connection: close\r\nauthorization: Bearer {KEY}\r\n\r\n",
    );
    let calls = join_all((0..CALLS).map(|_| exchange(server.address, &call)));
    let answers = calls.await;
    let refused = answers.iter().filter(|it| it.contains("too many bodies"));
    assert!(refused.count() >= CALLS - 1, "{answers:?}");
    assert!(
        !answers.iter().any(|it| it.contains(" 200 ")),
        "{answers:?}"
    );
    assert_eq!(metric(&server, "borageline_body_bytes"), 0.0);
}

/// Guards against a completion whose stream never becomes an event: it ends
/// with an error.
#[rstest]
#[case::event("data: aaaaaaaaaaaaaaa")]
#[case::comment(": comment")]
#[case::data_lines("data: aaaaaaaaaaaaaaa\n")]
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_stream_of_engine_ends(#[case] piece: &'static str) {
    let engine = start_engine(repeat(piece, usize::MAX)).await;
    let server = TestSetup::new(engine).start().await;
    let request = completion(KEY, STREAMED);
    let sent = exchange(server.address, &request);
    let answer = tokio::time::timeout(Duration::from_secs(10), sent).await;
    let answer = answer.expect("the request ends");
    assert!(!answer.contains("[DONE]"), "{answer}");
    assert!(answer.contains("\"error\""), "{answer}");
}

/// Guards against reports of engines that are held until their timeout, each
/// with as much as the largest answer: an instance reads those of all engines.
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_report_of_engine_is_cut() {
    let peer = start_engine(repeat("1,", 32)).await;
    let target = CallTarget {
        step: "read load",
        peer,
        timeout: Duration::from_secs(5),
    };
    let request = plain_request(Method::GET, peer, "/v1/load");
    let client = HttpClient::new();
    let read = client.call::<serde_json::Value>(target, request);
    let error = read.await.expect_err("the report does not end");
    assert!(matches!(error, HttpError::Broken { .. }), "{error}");
}
