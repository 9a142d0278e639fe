//! Accepts connections, and serves short requests that need no streaming.

use std::{
    convert::Infallible,
    error::Error,
    future::Future,
    sync::{Arc, OnceLock},
    time::Duration,
};

use borageline_lib::log_event::LogEvent;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{
    sync::CancellationToken,
    task::{TaskTracker, task_tracker::TaskTrackerToken},
};

use crate::{
    lingering_stream::{LingeringStream, StopState},
    listener_connections::close_listener,
    logging,
};

/// Pause after a failed accept, which usually means that no file descriptor is
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Passes each connection to `serve` until `stop` is cancelled, those included
/// that are established and not yet accepted then: their callers have sent their
/// requests. `serve` returns the task that handles the connection, or `None` to
/// close it.
pub(super) async fn accept_connections<F>(
    listener: TcpListener,
    stop: &CancellationToken,
    mut serve: impl FnMut(TcpStream) -> Option<F>,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(connection) = serve(stream) {
                    tokio::spawn(connection);
                }
            }
            Err(error) => {
                logging::event(LogEvent::AcceptFailed, &error.to_string());
                if stop.is_cancelled() {
                    break;
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    for (stream, _) in close_listener(listener) {
        if let Some(connection) = serve(stream) {
            tokio::spawn(connection);
        }
    }
}

/// Lets a planned stop wait until a connection has ended. A response is not
/// written when the last piece of its body was queued.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionHold(Arc<OnceLock<TaskTrackerToken>>);

impl ConnectionHold {
    /// Counts the connection among the tasks of `tracker` until it ends.
    pub(super) fn track(&self, tracker: &TaskTracker) {
        self.0.get_or_init(|| tracker.token());
    }
}

/// Serves requests until the process ends. `idle` returns the idle timeout of a
/// new connection; `answer` also receives the hold on the request's connection.
pub(super) async fn serve_requests<A, B>(
    listener: TcpListener,
    stop_state: impl StopState + Clone + Send + 'static,
    idle: impl Fn() -> Duration,
    answer: impl Fn(Request<Incoming>, ConnectionHold) -> A + Clone + Send + 'static,
) where
    A: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stop = CancellationToken::new();
    accept_connections(listener, &stop, |stream| {
        let answer = answer.clone();
        let hold = ConnectionHold::default();
        let connection_hold = hold.clone();
        let service = service_fn(move |request| {
            let answered = answer(request, hold.clone());
            async move { Ok::<_, Infallible>(answered.await) }
        });
        let io = TokioIo::new(LingeringStream::new(stream, stop_state.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle())
            .serve_connection(io, service);
        Some(async move {
            if let Err(error) = connection.await {
                let text = error.to_string();
                logging::event(LogEvent::CallerConnectionFailed, &text);
            }
            drop(connection_hold);
        })
    })
    .await;
}

/// Creates a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
