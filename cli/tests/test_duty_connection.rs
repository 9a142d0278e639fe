//! Calls that may be sent only while a lease is held.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use borageline::duty_connection::{CallFailure, LeaseCheck, send_within_lease};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const TIMEOUT: Duration = Duration::from_millis(400);
/// Body of a call that fills the buffers of a connection.
const LARGE_BODY: usize = 64 << 20;

/// Lease that ends after a number of checks.
#[derive(Clone, Debug)]
struct CountedLease {
    left: Arc<AtomicUsize>,
}

impl CountedLease {
    fn new(checks: usize) -> Self {
        let left = Arc::new(AtomicUsize::new(checks));
        Self { left }
    }
}

impl LeaseCheck for CountedLease {
    fn is_held(&self) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        self.left.store(left.saturating_sub(1), Ordering::Relaxed);
        left > 0
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("has an address");
    (listener, address)
}

fn request(length: usize) -> Request<Bytes> {
    let mut request = Request::new(Bytes::from(vec![b'x'; length]));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/usage".parse().expect("valid path");
    request
}

/// Reads until the connection ends. Returns what was read, and whether it was
/// reset.
async fn read_to_end(mut stream: TcpStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    (bytes, read.is_err())
}

/// Guards against a call that is not sent at all, or without its address.
#[tokio::test]
async fn test_duty_connection_answered() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accepts");
        let mut bytes = vec![0; 4_096];
        let length = stream.read(&mut bytes).await.expect("reads");
        let response = b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\nno";
        stream.write_all(response).await.expect("writes");
        bytes.truncate(length);
        String::from_utf8(bytes).expect("text")
    });
    let lease = CountedLease::new(usize::MAX);
    let sent = send_within_lease(lease, address, TIMEOUT, request(3));
    let response = sent.await.expect("answer");
    assert_eq!(response.status(), StatusCode::CONFLICT);
    assert_eq!(response.body().as_ref(), b"no");
    let head = server.await.expect("server ends");
    assert!(head.starts_with("POST /usage HTTP/1.1\r\n"), "{head}");
    assert!(head.contains(&format!("host: {address}")), "{head}");
}

/// Guards against bytes of a call that are written after the lease has ended
/// while the connection was established.
#[tokio::test]
async fn test_duty_connection_lease_ends_before_write() {
    let (listener, address) = listen().await;
    let lease = CountedLease::new(0);
    let sent = send_within_lease(lease, address, TIMEOUT, request(3)).await;
    assert_eq!(sent.err(), Some(CallFailure::LeaseEnded));
    let (stream, _) = listener.accept().await.expect("accepts");
    assert_eq!(read_to_end(stream).await.0, b"");
}

/// Guards against the rest of a call being written after the lease has ended.
#[tokio::test]
async fn test_duty_connection_lease_ends_between_writes() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepts");
        read_to_end(stream).await.0.len()
    });
    let lease = CountedLease::new(1);
    let sent = send_within_lease(lease, address, TIMEOUT, request(LARGE_BODY));
    let failure = sent.await.err();
    assert!(
        matches!(failure, Some(CallFailure::Unanswered(_))),
        "{failure:?}"
    );
    assert!(server.await.expect("server ends") < LARGE_BODY);
}

/// Guards against bytes that the system still sends after the call has timed
/// out, when they may arrive after a call of the next holder.
#[tokio::test]
async fn test_duty_connection_timeout_discards_unsent() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepts");
        tokio::time::sleep(TIMEOUT * 2).await;
        read_to_end(stream).await
    });
    let lease = CountedLease::new(usize::MAX);
    let started = Instant::now();
    let sent = send_within_lease(lease, address, TIMEOUT, request(LARGE_BODY));
    let failure = sent.await.err();
    assert!(
        matches!(failure, Some(CallFailure::Unanswered(_))),
        "{failure:?}"
    );
    assert!(started.elapsed() < TIMEOUT * 3 / 2);
    let (_, was_reset) = server.await.expect("server ends");
    assert!(
        was_reset,
        "the connection ended after the bytes in the buffer"
    );
}

/// Guards against a call that counts as possibly executed although nothing was
/// sent.
#[tokio::test]
async fn test_duty_connection_refused() {
    let (listener, address) = listen().await;
    drop(listener);
    let lease = CountedLease::new(usize::MAX);
    let sent = send_within_lease(lease, address, TIMEOUT, request(3)).await;
    let failure = sent.err();
    let expected = matches!(failure, Some(CallFailure::NotConnected(_)));
    assert!(expected, "{failure:?}");
}
