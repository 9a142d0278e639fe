//! Connects to an upstream without sending anything.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::gateway::crash_confirmation::ConnectionView;
use tokio::{io::AsyncReadExt, net::TcpStream};

/// Connect timeout for upstreams: far above the round-trip time, and short
/// enough to try another upstream within the latency target of a short
/// request.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a connection must stay open to show that its upstream has not
/// crashed. A busy machine may take as long to end a process.
pub(crate) const OPEN_TIME: Duration = Duration::from_millis(1_500);
/// How an upstream responds to an attempt to connect. An accepted connection is
/// watched for `open_time`: the system also accepts for a listener that is about
/// to be closed, and then resets the connection.
pub(crate) async fn view_connection(
    address: SocketAddr,
    open_time: Duration,
) -> ConnectionView {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => match stays_open(stream, open_time).await {
            true => ConnectionView::Accepted,
            false => ConnectionView::Dropped,
        },
        Ok(Err(_)) => ConnectionView::Refused,
        Err(_) => ConnectionView::Silent,
    }
}

async fn stays_open(mut stream: TcpStream, time: Duration) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(time, stream.read(&mut byte));
    !matches!(read.await, Ok(Ok(0) | Err(_)))
}

/// Whether a connection to an address is established in time.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    matches!(connected, Ok(Ok(_)))
}
