//! Counts the bytes that instances exchange with each other, in total and for
//! each connection.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use borageline_lib::units::ByteSize;
use prometheus::IntCounter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes sent and received so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Bytes written to sockets.
    pub sent: ByteSize,
    /// Bytes read from sockets.
    pub received: ByteSize,
}

/// Total of the bytes exchanged over any number of connections; clones share
/// the counters.
#[derive(Clone, Debug)]
pub struct TrafficMeter {
    sent: IntCounter,
    received: IntCounter,
}

impl TrafficMeter {
    /// Creates a meter at zero.
    pub fn new() -> Self {
        let counter =
            |name, help| IntCounter::new(name, help).expect("name is valid");
        Self {
            sent: counter(
                "borageline_peer_bytes_sent_total",
                "bytes sent to other instances",
            ),
            received: counter(
                "borageline_peer_bytes_received_total",
                "bytes received from other instances",
            ),
        }
    }

    /// Bytes counted so far.
    pub fn count(&self) -> TrafficCount {
        TrafficCount {
            sent: ByteSize::new(self.sent.get()),
            received: ByteSize::new(self.received.get()),
        }
    }

    /// Prometheus counter of the bytes sent.
    pub fn sent(&self) -> &IntCounter {
        &self.sent
    }

    /// Prometheus counter of the bytes received.
    pub fn received(&self) -> &IntCounter {
        &self.received
    }
}

impl Default for TrafficMeter {
    fn default() -> Self {
        Self::new()
    }
}

/// Bytes read from one connection, and the time of the last read.
#[derive(Debug)]
pub(crate) struct ReadMeter {
    opened: Instant,
    bytes: AtomicU64,
    // Milliseconds from `opened` to the last read.
    last_read_ms: AtomicU64,
}

impl ReadMeter {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            bytes: AtomicU64::new(0),
            last_read_ms: AtomicU64::new(0),
        }
    }

    fn add(&self, bytes: u64) {
        let age = self.opened.elapsed().as_millis();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.last_read_ms.store(age, Ordering::Relaxed);
    }

    /// Bytes read so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Time since bytes were last read, or since the connection was opened.
    pub(crate) fn idle(&self) -> Duration {
        let last =
            Duration::from_millis(self.last_read_ms.load(Ordering::Relaxed));
        self.opened.elapsed().saturating_sub(last)
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    total: TrafficMeter,
    connection_meter: Arc<ReadMeter>,
}

impl CountedStream {
    /// Wraps a connection; its bytes are also added to `total`.
    pub(crate) fn new(stream: TcpStream, total: TrafficMeter) -> Self {
        let connection_meter = Arc::new(ReadMeter::new());
        Self {
            stream,
            total,
            connection_meter,
        }
    }

    /// Meter of the bytes read from this connection.
    pub(crate) fn meter(&self) -> Arc<ReadMeter> {
        self.connection_meter.clone()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = (buffer.filled().len() - before) as u64;
        self.total.received.inc_by(bytes);
        self.connection_meter.add(bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written =
            ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.total.sent.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
