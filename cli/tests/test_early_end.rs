//! Responses that end with their connection while the request is being sent, as
//! all clients of an instance see them: for upstreams, the store, status checks
//! and other instances.

use std::{net::SocketAddr, time::Duration};

use borageline::http_client::{
    CallTarget, HttpClient, HttpError, read_response_body,
};
use borageline_lib::units::ByteSize;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use rstest::rstest;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time for one call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Calls of one case.
const CALLS: usize = 20;

/// What the server does after it has answered the head of a request and ended
/// its side of the connection.
#[derive(Clone, Copy, Debug)]
enum ServerEnd {
    /// Resets the connection after this time.
    ResetAfter(Duration),
    /// Reads the rest of the request after this time.
    ReadAfter(Duration),
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

async fn start_server(reply: &'static str, end: ServerEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has free ports");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(answer(connection, reply, end));
        }
    });
    address
}

async fn answer(mut connection: TcpStream, reply: &str, end: ServerEnd) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match connection.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    // The test sees what has arrived.
    let _ = connection.write_all(reply.as_bytes()).await;
    let _ = connection.shutdown().await;
    match end {
        ServerEnd::ResetAfter(pause) => {
            tokio::time::sleep(pause).await;
            let linger = Some(Duration::ZERO);
            let _ = SockRef::from(&connection).set_linger(linger);
        }
        ServerEnd::ReadAfter(pause) => {
            tokio::time::sleep(pause).await;
            let mut rest = vec![0; 64 << 10];
            while matches!(connection.read(&mut rest).await, Ok(1..)) {}
        }
    }
}

/// Body of the response to a request with a body of this size.
async fn call(
    client: &HttpClient,
    peer: SocketAddr,
    size: usize,
) -> Result<(u16, Bytes), HttpError> {
    let target = CallTarget {
        step: "test",
        peer,
        timeout: TIMEOUT,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}/"))
        .body(Full::new(Bytes::from(vec![b'x'; size])))
        .expect("the address makes a URI");
    let response = client.send(target, request).await?;
    let status = response.status().as_u16();
    let limit = ByteSize::new(1 << 20);
    let body = read_response_body(target, response.into_body(), limit).await?;
    Ok((status, body))
}

const SUCCESS: &str = "HTTP/1.1 200 OK\r\n\r\nhello";
const REFUSAL: &str = "HTTP/1.1 413 Payload Too Large\r\n\r\nhello";

/// Guards against a part of a response that is taken for a complete one, since the
/// server ended its side before it had received the request and reset the
/// connection only then: also where the rest of the request was in the buffers
/// of the system; and against sound responses that are taken for such parts.
#[rstest]
#[case::reset_at_once(SUCCESS, ServerEnd::ResetAfter(ms(0)), 3 << 20, None)]
#[case::reset_soon(SUCCESS, ServerEnd::ResetAfter(ms(1)), 3 << 20, None)]
#[case::reset_later(SUCCESS, ServerEnd::ResetAfter(ms(20)), 3 << 20, None)]
#[case::read_on(SUCCESS, ServerEnd::ReadAfter(ms(20)), 3 << 20, Some(200))]
#[case::short_body(SUCCESS, ServerEnd::ReadAfter(ms(0)), 10, Some(200))]
#[case::refusal(REFUSAL, ServerEnd::ReadAfter(ms(0)), 3 << 20, Some(413))]
#[case::refusal_reset(
    REFUSAL,
    ServerEnd::ResetAfter(ms(20)),
    3 << 20,
    Some(413)
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_early_end_is_noticed(
    #[case] reply: &'static str,
    #[case] end: ServerEnd,
    #[case] size: usize,
    #[case] expected: Option<u16>,
    #[values(false, true)] reuses_connections: bool,
) {
    let peer = start_server(reply, end).await;
    let client = match reuses_connections {
        true => HttpClient::new(),
        false => HttpClient::without_reuse(),
    };
    for number in 0..CALLS {
        let response = call(&client, peer, size).await;
        let found = response.as_ref().ok().map(|(status, _)| *status);
        assert_eq!(found, expected, "call {number}: {response:?}");
        if let Ok((_, body)) = response {
            assert_eq!(body, "hello", "call {number}");
        }
    }
}

/// Guards against a part of a response that is taken for a complete one, since the
/// server's system had acknowledged all of the request, which the server did not
/// read before it reset the connection.
#[rstest]
#[case::soon(ms(5))]
#[case::later(ms(20))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_reset_after_acknowledged_request_is_noticed(
    #[case] pause: Duration,
) {
    let peer = start_server(SUCCESS, ServerEnd::ResetAfter(pause)).await;
    let client = HttpClient::without_reuse();
    for number in 0..CALLS {
        let response = call(&client, peer, 100 << 10).await;
        assert!(response.is_err(), "call {number}: {response:?}");
    }
}

/// Guards against a response with a status that is none of a final response.
#[rstest]
#[case::zero("HTTP/1.1 000 -\r\ncontent-length: 0\r\n\r\n")]
#[case::upgrade("HTTP/1.1 101 -\r\n\r\n")]
#[case::above("HTTP/1.1 700 -\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn test_status_without_meaning_is_no_response(
    #[case] reply: &'static str,
) {
    let peer = start_server(reply, ServerEnd::ReadAfter(ms(0))).await;
    let response = call(&HttpClient::without_reuse(), peer, 10).await;
    assert!(response.is_err(), "{response:?}");
}
