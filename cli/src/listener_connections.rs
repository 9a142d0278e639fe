//! Closes listeners and callers' connections in a planned stop, once the requests
//! are answered.
//!
//! A connection that is idle is closed at once, as the peer can tell that no
//! request of it was read. One that was accepted just before is not idle: its
//! first request is on its way, and a close would leave it without an answer.

use std::{
    future::Future,
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::pin,
    time::Duration,
};

use borageline_lib::log_event::LogEvent;
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{logging, server::ACCEPT_QUEUE};

/// Time in which the first request of an accepted connection must arrive during
/// a stop. Callers send it at once; this exceeds the round trip and the
/// repetition of a lost packet.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Time from the end of the listener to the close of idle connections. A process
/// that was paused or had no processor time may find timers due before it learns
/// what has arrived; while it waits, the runtime polls the system and reads the
/// requests. This exceeds such a round by far.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Closes a listener, and returns the connections that were established until
/// then. The runtime learns of new ones only when it polls the system, and a
/// listener that is closed resets those that nobody has accepted.
pub(crate) fn close_listener(
    listener: TcpListener,
) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    if let Err(error) = accept_established(listener, &mut accepted) {
        logging::event(LogEvent::AcceptFailed, &error.to_string());
    }
    accepted
}

fn accept_established(
    listener: TcpListener,
    accepted: &mut Vec<(TcpStream, SocketAddr)>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    // More than this are not established, unless callers go on connecting.
    for _ in 0..ACCEPT_QUEUE {
        match listener.accept() {
            Ok((stream, address)) => {
                stream.set_nonblocking(true)?;
                accepted.push((TcpStream::from_std(stream)?, address));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            // The peer has already closed this one.
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// All connections of one listener.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListenerConnections {
    closing: CancellationToken,
    connections: TaskTracker,
}

impl ListenerConnections {
    /// Counts a connection as open until `served` completes.
    pub(crate) fn track<F: Future>(
        &self,
        served: F,
    ) -> impl Future<Output = F::Output> + use<F> {
        self.connections.track_future(served)
    }

    /// Closes all connections as soon as they are idle, and waits until the last
    /// one has ended. The listener must be closed.
    pub(crate) async fn close_all(&self) {
        tokio::time::sleep(SETTLE_TIME).await;
        self.closing.cancel();
        self.connections.close();
        self.connections.wait().await;
    }

    /// Serves a connection until it ends; `first_request` is cancelled when its
    /// first request begins.
    pub(crate) async fn serve<C: GracefulConnection>(
        &self,
        connection: C,
        first_request: &CancellationToken,
    ) -> Result<(), C::Error> {
        let mut connection = pin!(connection);
        let closing = async {
            self.closing.cancelled().await;
            let begun = first_request.cancelled();
            // The time is up or the request has begun; both end the wait.
            let _ = tokio::time::timeout(FIRST_REQUEST_TIME, begun).await;
        };
        tokio::select! {
            // A request that has arrived is read before the connection closes.
            biased;
            ended = connection.as_mut() => ended,
            () = closing => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    }
}
