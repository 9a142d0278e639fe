//! Listener for the requests of callers.

use std::{
    convert::Infallible,
    future::Future,
    io,
    sync::{Arc, atomic::Ordering},
};

use borageline_lib::{gateway::wire::GatewayWire, log_event::LogEvent};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{Either, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::{
    SharedGateway, event_queue::EventBody, forward,
    listener::accept_connections,
};
use crate::{
    lingering_stream::LingeringStream,
    listener_connections::ListenerConnections, logging,
    server::bind_with_receive_buffer,
};

/// Largest read buffer of one connection.
const CONNECTION_BUFFER_BYTES: usize = 64 << 10;

/// Body of an answer: buffered as a whole, or a stream of events.
pub(super) type AnswerBody = Either<Full<Bytes>, EventBody>;

/// Opens the listener and accepts connections until `stop` is cancelled. The
/// returned future completes when the last connection has ended.
pub(super) fn serve<W: GatewayWire>(
    context: SharedGateway<W>,
    stop: CancellationToken,
) -> io::Result<impl Future<Output = ()>> {
    let address = context.settings().listen.front;
    let buffer = context.settings().caller_receive_buffer().get();
    let buffer = u32::try_from(buffer).unwrap_or(u32::MAX);
    let listener = address
        .map(|address| bind_with_receive_buffer(address, Some(buffer)))
        .transpose()?;
    let task = tokio::spawn(async move {
        let connections = ListenerConnections::default();
        if let Some(listener) = listener {
            accept_connections(listener, &stop, |stream| {
                let open = context.open_connections.load(Ordering::Relaxed);
                // Above the limit, a connection is closed before anything is
                // read, so the caller can tell that the request did not run.
                let free = open < context.settings().connections_max();
                let served = serve_connection(
                    context.clone(),
                    stream,
                    connections.clone(),
                );
                free.then(|| connections.track(served))
            })
            .await;
        }
        connections.close_all().await;
    });
    Ok(async move {
        if let Err(error) = task.await {
            logging::event(LogEvent::AcceptFailed, &error.to_string());
        }
    })
}

async fn serve_connection<W: GatewayWire>(
    context: SharedGateway<W>,
    stream: TcpStream,
    connections: ListenerConnections,
) {
    if let Err(error) = stream.set_nodelay(true) {
        // The connection is already closed.
        logging::event(LogEvent::CallerConnectionFailed, &error.to_string());
        return;
    }
    let open = context.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
    context
        .metrics
        .connections
        .set(i64::try_from(open).unwrap_or(i64::MAX));
    let limits = context.core().config().map(|config| config.limits);
    let idle = limits.unwrap_or_default().idle_timeout;
    let served = context.clone();
    let first_request = CancellationToken::new();
    let service = service_fn(|request| {
        first_request.cancel();
        answer(served.clone(), request)
    });
    let io = TokioIo::new(LingeringStream::new(stream, context.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timer also runs while a connection is idle.
        .header_read_timeout(idle)
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .serve_connection(io, service);
    if let Err(error) = connections.serve(connection, &first_request).await {
        // Callers may close their connections at any time.
        logging::event(LogEvent::CallerConnectionFailed, &error.to_string());
    }
    let open = context.open_connections.fetch_sub(1, Ordering::Relaxed) - 1;
    context
        .metrics
        .connections
        .set(i64::try_from(open).unwrap_or(i64::MAX));
}

async fn answer<W: GatewayWire>(
    context: SharedGateway<W>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    context.open_requests.fetch_add(1, Ordering::Relaxed);
    let guard = RequestCount(Arc::clone(&context));
    let mut response = forward::forward(&context, request).await;
    drop(guard);
    if context.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Counts a request as open until the head of its response is returned.
struct RequestCount<W: GatewayWire>(SharedGateway<W>);

impl<W: GatewayWire> Drop for RequestCount<W> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
