//! Accepts connections.

use std::{future::Future, time::Duration};

use borageline_lib::log_event::LogEvent;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::logging;

/// Pause after a failed accept, which mostly means that no file descriptor is
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Hands each connection to `serve` until `stop` is cancelled.
pub(super) async fn accept_each<F>(
    listener: TcpListener,
    stop: &CancellationToken,
    mut serve: impl FnMut(TcpStream) -> Option<F>,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = serve(stream) {
                    tokio::spawn(connection);
                }
            }
            Err(error) => {
                logging::event(LogEvent::AcceptFailed, &error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
