//! The HTTP listener for callers: accepts connections, limits their number in
//! total and by address, and drains them during a planned stop. Requests are
//! routed to handlers by the router of `callers`.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    io,
    net::{IpAddr, SocketAddr},
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{
    api::ErrorBody,
    log_event::LogEvent,
    refusal::{Refusal, RefusalCode},
    settings::InstanceLimits,
};
use gotham::{
    helpers::http::Body, router::Router, service::call_handler, state::State,
};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::build_router,
    context::SharedContext,
    lingering_stream::{LingeringStream, StopState},
    listener_connections::{ListenerConnections, close_listener},
    logging,
    reply::{ConnectionCloser, RenderedResponse, error_response},
};

/// Wait after a failed accept, which usually means that no file descriptor is
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that hyper may buffer for writing on one connection, in addition to
/// the buffers of `buffer`.
const WRITE_BUFFER_BYTES: usize = 64 << 10;
/// Most concurrent requests on one HTTP/2 connection.
const STREAMS_PER_CONNECTION: u32 = 256;
/// Size of a socket's send buffer. By default, the system lets it grow to
/// several megabytes, which 2,000 slow readers would fill.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Length of the queue of connections that are not accepted yet.
pub(crate) const ACCEPT_QUEUE: u32 = 1_024;
/// Time to send the response to a connection that is over a limit.
const REJECT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct ConnectionTable {
    total: u32,
    by_address: BTreeMap<IpAddr, u32>,
}

/// Limits connections, in total and by address.
#[derive(Debug)]
struct ConnectionLimiter {
    table: Mutex<ConnectionTable>,
    context: SharedContext,
}

impl ConnectionLimiter {
    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(
        self: &Arc<Self>,
        address: IpAddr,
    ) -> Result<ConnectionPermit, Refusal> {
        let limits = &self.context.settings.limits;
        let mut table = self.lock();
        if table.total >= limits.connections {
            let text = "the instance has too many connections";
            return Err(Refusal::new(RefusalCode::Overloaded, text));
        }
        let count = table.by_address.entry(address).or_default();
        if *count >= limits.connections_per_address {
            let text = format!("too many connections from {address}");
            return Err(Refusal::new(RefusalCode::AddressLimit, text));
        }
        *count += 1;
        table.total += 1;
        self.context.metrics.connections.set(table.total.into());
        let limiter = self.clone();
        Ok(ConnectionPermit { limiter, address })
    }
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
struct ConnectionPermit {
    limiter: Arc<ConnectionLimiter>,
    address: IpAddr,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut table = self.limiter.lock();
        table.total -= 1;
        let metrics = &self.limiter.context.metrics;
        metrics.connections.set(table.total.into());
        if let Some(count) = table.by_address.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                table.by_address.remove(&self.address);
            }
        }
    }
}

/// Opens the listener for callers, with a bounded send buffer and accept queue.
pub fn bind_callers(address: SocketAddr) -> io::Result<TcpListener> {
    bind_with_receive_buffer(address, None)
}

/// Like [`bind_callers`], with the size of the receive buffer of connections;
/// `None` leaves it to the system, which lets it grow to several megabytes.
pub(crate) fn bind_with_receive_buffer(
    address: SocketAddr,
    receive_buffer: Option<u32>,
) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    if let Some(size) = receive_buffer {
        socket.set_recv_buffer_size(size)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Serves the listener until a planned stop closes it, waits for running
/// requests, and closes the connections that are left at the time in the
/// stop's schedule.
///
/// Returns the number of connections that were still open then.
pub async fn serve_callers(
    listener: TcpListener,
    context: SharedContext,
) -> usize {
    let connections = ListenerConnections::default();
    let force_close = CancellationToken::new();
    let server = Arc::new(CallerServer {
        router: build_router(&context),
        builder: build_connections(&context.settings.limits),
        context: context.clone(),
    });
    let limiter = Arc::new(ConnectionLimiter {
        table: Mutex::default(),
        context: context.clone(),
    });
    let serve = |stream, address: SocketAddr| match limiter.admit(address.ip())
    {
        Ok(slot) => {
            let server = server.clone();
            let force_close = force_close.child_token();
            let open = connections.clone();
            tokio::spawn(connections.track(async move {
                server.serve(stream, address, open, force_close).await;
                drop(slot);
            }));
        }
        Err(refusal) => {
            context.metrics.count_refusal(refusal.code);
            let stream = LingeringStream::new(stream, context.clone());
            tokio::spawn(reject(stream, refusal));
        }
    };
    let closed = context.stop.listener_closed();
    tokio::pin!(closed);
    let schedule = loop {
        let accepted = tokio::select! {
            biased;
            // Connections that are established already have a request.
            accepted = listener.accept() => accepted,
            schedule = &mut closed => break schedule,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                logging::event(LogEvent::AcceptFailed, &error.to_string());
                tokio::select! {
                    schedule = &mut closed => break schedule,
                    () = tokio::time::sleep(ACCEPT_PAUSE) => continue,
                }
            }
        };
        serve(stream, address);
    };
    for (stream, address) in close_listener(listener) {
        serve(stream, address);
    }
    let clock = context.handle.clock();
    let until = clock.instant(schedule.connections_close());
    let drained = tokio::time::timeout_at(until, connections.close_all()).await;
    let remaining = limiter.lock().total as usize;
    force_close.cancel();
    if drained.is_ok() { 0 } else { remaining }
}

fn build_connections(limits: &InstanceLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(WRITE_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_PER_CONNECTION)
        .max_send_buf_size(WRITE_BUFFER_BYTES)
        .keep_alive_interval(Some(limits.header_timeout));
    builder
}

struct CallerServer {
    router: Router,
    builder: Builder<TokioExecutor>,
    context: SharedContext,
}

impl CallerServer {
    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        connections: ListenerConnections,
        force_close: CancellationToken,
    ) {
        // If this fails, small writes may be delayed, which is acceptable.
        let _ = stream.set_nodelay(true);
        let closer = ConnectionCloser(force_close.clone());
        let request_begun = CancellationToken::new();
        let service = service_fn(|request| {
            request_begun.cancel();
            let closer = closer.clone();
            let server = self.clone();
            async move { server.answer(request, address, closer).await }
        });
        let stream = LingeringStream::new(stream, self.context.clone());
        let io = TokioIo::new(stream);
        let connection = self.builder.serve_connection(io, service);
        let connection = connections.serve(connection, &request_begun);
        tokio::select! {
            // An error means that the caller closed the connection; its
            // requests end by themselves.
            _ = connection => {}
            () = force_close.cancelled() => {}
            () = self.first_request_timeout(&request_begun) => {}
        }
    }

    /// Returns if no request has begun within the header timeout. hyper's own
    /// timeout does not run until the version of HTTP is detected.
    async fn first_request_timeout(&self, request_begun: &CancellationToken) {
        let wait = self.context.settings.limits.header_timeout;
        if tokio::time::timeout(wait, request_begun.cancelled())
            .await
            .is_ok()
        {
            std::future::pending::<()>().await;
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        address: SocketAddr,
        closer: ConnectionCloser,
    ) -> Result<Response<Body>, Infallible> {
        let http1 = request.version() < http::Version::HTTP_2;
        let path = request.uri().path().to_owned();
        let mut state = State::from_request(request, address);
        // Closing an HTTP/2 connection would abort its other requests.
        if http1 {
            state.put(closer);
        }
        let router = self.router.clone();
        let answer = call_handler(router, AssertUnwindSafe(state)).await;
        let mut response = match answer {
            Ok(response) => self.with_error_body(response, &path),
            Err(error) => self.internal_error(&error.to_string()),
        };
        // Otherwise a request that arrives on a kept connection just as the
        // listener closes would be lost. HTTP/2 announces the closing itself.
        if http1 && self.context.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    /// Replaces a response that gotham made itself by an error response with
    /// the usual body.
    fn with_error_body(
        &self,
        response: Response<Body>,
        path: &str,
    ) -> Response<Body> {
        if response.extensions().get::<RenderedResponse>().is_some() {
            return response;
        }
        match response.status() {
            StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => {
                let text = format!("{path} or its method is not known");
                let refusal = Refusal::new(RefusalCode::UnknownPath, text);
                let request = self.context.next_request();
                error_response(&self.context, &request, &refusal)
            }
            status => {
                self.internal_error(&format!("handler ended with {status}"))
            }
        }
    }

    fn internal_error(&self, text: &str) -> Response<Body> {
        let refusal = Refusal::new(RefusalCode::Internal, text)
            .with_run_state(borageline_lib::refusal::RunState::MayHaveRun);
        let request = self.context.next_request();
        error_response(&self.context, &request, &refusal)
    }
}

/// Sends a refusal on a connection that is over a limit, and closes it.
async fn reject<S: StopState>(
    mut stream: LingeringStream<S>,
    refusal: Refusal,
) {
    let body = serde_json::to_string(&ErrorBody::new(&refusal, None))
        .expect("bodies are plain JSON");
    let status = StatusCode::from_u16(refusal.code.status())
        .expect("codes have valid statuses");
    let text = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len(),
    );
    let write = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await
    };
    // The connection is closed whether or not the caller reads the response.
    let _ = tokio::time::timeout(REJECT_TIMEOUT, write).await;
}
