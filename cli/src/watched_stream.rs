//! Connections that show whether the server has received all of a request when it
//! ends its side.
//!
//! An answer without a length ends with its connection. A server that closes the
//! connection before it has read the request ends its side in an orderly way if
//! nothing is left to read at that moment, and resets the connection only when
//! more of the request arrives. What came before may be a part of an answer. So
//! the end is passed on once the server has acknowledged all that was sent, or
//! is marked as early if it does not do so. The server's system, or one on the way,
//! may acknowledge what the server never reads. After a long request a connection
//! that is used once is therefore watched a little longer for its reset.

use std::{
    io::{self, ErrorKind, IoSlice},
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use http::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};
use tower_service::Service;

use crate::socket_state::unacknowledged_bytes;

/// Longest time to wait after the end of an answer for the server to receive the
/// rest of the request.
const DELIVERY_MAX: Duration = Duration::from_secs(1);
/// Time between two checks of what the server has received.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes from which a request is long. A server reads a shorter one together with
/// its head.
const LONG_REQUEST_BYTES: usize = 64 << 10;
/// Time to wait for a reset after the server has acknowledged a long request.
const RESET_WATCH: Duration = Duration::from_millis(100);

/// Whether the server ended its side of a connection before it had received all
/// that was sent to it.
#[derive(Clone, Debug, Default)]
pub struct EarlyEnd(Arc<AtomicBool>);

impl EarlyEnd {
    /// Whether the end of the connection was early.
    pub fn is_early(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn mark(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// What the server has received of the bytes that were sent.
enum Delivery {
    Complete,
    /// Not all yet.
    Incomplete,
    /// The connection is reset.
    Failed,
}

/// A TCP connection to a server.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    early_end: EarlyEnd,
    /// Whether the connection is used for one request only.
    is_single_use: bool,
    /// Bytes written so far.
    written: usize,
    /// Whether the last write took less than it was given.
    is_blocked: bool,
    /// Wait for the delivery after the server has ended its side.
    wait: Option<DeliveryWait>,
}

#[derive(Debug)]
struct DeliveryWait {
    until: Instant,
    /// End of the watch for a reset; `None` until all is acknowledged.
    watched_until: Option<Instant>,
    next_check: Pin<Box<Sleep>>,
}

impl WatchedStream {
    /// Watches a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            early_end: EarlyEnd::default(),
            is_single_use: false,
            written: 0,
            is_blocked: false,
            wait: None,
        }
    }

    /// Sets whether the connection is used for one request only.
    pub fn with_single_use(mut self, is_single_use: bool) -> Self {
        self.is_single_use = is_single_use;
        self
    }

    /// The connection itself.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn delivery(&self) -> Delivery {
        if !matches!(self.stream.take_error(), Ok(None)) {
            return Delivery::Failed;
        }
        if self.is_blocked {
            return Delivery::Incomplete;
        }
        match unacknowledged_bytes(&self.stream) {
            Ok(0) => Delivery::Complete,
            Ok(_) => Delivery::Incomplete,
            Err(error) => match error.kind() {
                // The system forgets a connection that was reset.
                ErrorKind::NotFound | ErrorKind::NotConnected => {
                    Delivery::Failed
                }
                // The system does not tell.
                _ => Delivery::Complete,
            },
        }
    }

    /// Waits until it is known whether the end was early.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_watched =
            self.is_single_use && self.written >= LONG_REQUEST_BYTES;
        loop {
            let delivery = self.delivery();
            let now = Instant::now();
            let wait = self.wait.get_or_insert_with(|| DeliveryWait {
                until: now + DELIVERY_MAX,
                watched_until: None,
                next_check: Box::pin(sleep(CHECK_INTERVAL)),
            });
            let is_over = match delivery {
                Delivery::Complete => {
                    let watched_until =
                        *wait.watched_until.get_or_insert(now + RESET_WATCH);
                    !is_watched || now >= watched_until
                }
                Delivery::Incomplete if now < wait.until => false,
                Delivery::Incomplete | Delivery::Failed => {
                    self.early_end.mark();
                    true
                }
            };
            if is_over {
                return Poll::Ready(());
            }
            ready!(wait.next_check.as_mut().poll(context));
            let next = Instant::now() + CHECK_INTERVAL;
            wait.next_check.as_mut().reset(next);
        }
    }

    fn record_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        given: usize,
    ) -> Poll<io::Result<usize>> {
        self.is_blocked = match &written {
            Poll::Ready(Ok(taken)) => {
                self.written += taken;
                *taken < given
            }
            Poll::Ready(Err(_)) => {
                // The error is not reported a second time.
                self.early_end.mark();
                true
            }
            Poll::Pending => true,
        };
        written
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.wait.is_none() {
            let has_room = buffer.remaining() > 0;
            let before = buffer.filled().len();
            ready!(pin!(&mut this.stream).poll_read(context, buffer))?;
            if !has_room || buffer.filled().len() > before {
                return Poll::Ready(Ok(()));
            }
        }
        this.poll_end(context).map(Ok)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin!(&mut this.stream).poll_write(context, bytes);
        this.record_write(written, bytes.len())
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin!(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin!(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let given = buffers.iter().map(|it| it.len()).sum();
        let written =
            pin!(&mut this.stream).poll_write_vectored(context, buffers);
        this.record_write(written, given)
    }
}

impl Connection for WatchedStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.early_end.clone())
    }
}

/// Establishes watched connections.
#[derive(Clone, Debug)]
pub struct WatchedConnector {
    connector: HttpConnector,
    is_single_use: bool,
}

impl WatchedConnector {
    /// Watches the connections of a connector.
    pub fn new(connector: HttpConnector) -> Self {
        Self {
            connector,
            is_single_use: false,
        }
    }

    /// Sets whether each connection is used for one request only.
    pub fn with_single_use(mut self, is_single_use: bool) -> Self {
        self.is_single_use = is_single_use;
        self
    }
}

type ConnectorFuture = <HttpConnector as Service<Uri>>::Future;
type ConnectorError = <HttpConnector as Service<Uri>>::Error;

impl Service<Uri> for WatchedConnector {
    type Response = TokioIo<WatchedStream>;
    type Error = ConnectorError;
    type Future = WatchedConnecting;

    fn poll_ready(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        WatchedConnecting {
            connecting: Box::pin(self.connector.call(uri)),
            is_single_use: self.is_single_use,
        }
    }
}

/// A connection that is being established.
pub struct WatchedConnecting {
    connecting: Pin<Box<ConnectorFuture>>,
    is_single_use: bool,
}

impl Future for WatchedConnecting {
    type Output = Result<TokioIo<WatchedStream>, ConnectorError>;

    fn poll(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Self::Output> {
        let connected = ready!(self.connecting.as_mut().poll(context));
        Poll::Ready(connected.map(|stream| {
            let stream = WatchedStream::new(stream.into_inner());
            TokioIo::new(stream.with_single_use(self.is_single_use))
        }))
    }
}
