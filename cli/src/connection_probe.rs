//! Connects to an upstream without sending anything.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::gateway::crash_confirmation::ConnectionView;
use tokio::{io::AsyncReadExt, net::TcpStream};

/// Connect timeout for upstreams: far above the round-trip time, and short
/// enough to try another upstream within the latency target of a short
/// request.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which an accepted connection must stay open. The system also accepts
/// for a listener that is about to be closed, and then resets the connection.
const OPEN_TIME: Duration = Duration::from_millis(100);

/// How an upstream responds to an attempt to connect.
pub(crate) async fn view_connection(address: SocketAddr) -> ConnectionView {
    let connect = TcpStream::connect(address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => match stays_open(stream).await {
            true => ConnectionView::Accepted,
            false => ConnectionView::Dropped,
        },
        Ok(Err(_)) => ConnectionView::Refused,
        Err(_) => ConnectionView::Silent,
    }
}

async fn stays_open(mut stream: TcpStream) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(OPEN_TIME, stream.read(&mut byte));
    !matches!(read.await, Ok(Ok(0) | Err(_)))
}

/// Whether a connection to an address is established in time.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    matches!(connected, Ok(Ok(_)))
}
