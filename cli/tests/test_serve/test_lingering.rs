//! Answers whose last bytes are still on their way when the connection is
//! closed.

use std::time::Duration;

use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use crate::fixture::{
    END, KEY, STREAMED, TestSetup, completion, start_endless,
};

/// Guards against a stream that is cut for a caller that has sent the begin of
/// another request: a socket that is closed with unread bytes is reset, and what
/// its peer has not received yet is discarded. In the last case the caller sends
/// it long after the stream was written.
#[rstest]
#[case::at_close(false, 50)]
#[case::in_stop(true, 50)]
#[case::late_in_stop(true, 1_500)]
#[tokio::test]
async fn test_lingering_delivers_streams(
    #[case] stops: bool,
    #[case] pause_ms: u64,
) {
    // Fits into the send buffer, but not into the caller's receive buffer.
    let engine = start_endless(1_000, 150).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.address_ttl = Duration::from_millis(500);
    setup.limits.stop_timeout = Duration::from_secs(8);
    let server = setup.start().await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(server.address).await.unwrap();
    let mut request = completion(KEY, STREAMED);
    if stops {
        request = request.replace("connection: close\r\n", "");
    }
    let stop = stops.then(|| tokio::spawn(server.instance.stop()));
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    caller.write_all(&[b'x'; 1 << 16]).await.unwrap();
    // The instance writes the whole stream meanwhile.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut answer = Vec::new();
    // A connection that is reset ends the answer, too.
    let end = caller.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.contains(END), "{} B, {end:?}", answer.len());
    if let Some(stop) = stop {
        drop(caller);
        stop.await.unwrap();
    }
}

/// Guards against a refusal that its caller does not see, because the connection
/// is reset while the body is still being sent.
#[rstest]
#[case::wrong_key(1_000, "HTTP/1.1 401 ")]
#[case::too_many_connections(1, "HTTP/1.1 429 ")]
#[tokio::test]
async fn test_lingering_delivers_refusals(
    #[case] connections: u32,
    #[case] expected: &str,
) {
    const BODY_SIZE: usize = 2 << 20;
    let engine = start_endless(1, 1).await;
    let mut setup = TestSetup::new(engine.address);
    setup.limits.connections_per_address = connections;
    setup.limits.header_timeout = Duration::from_secs(20);
    let server = setup.start().await;
    let _first = TcpStream::connect(server.address).await.unwrap();
    let mut caller = TcpStream::connect(server.address).await.unwrap();
    let request = completion("other", &"x".repeat(BODY_SIZE));
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with(expected), "{answer:?}");
}
