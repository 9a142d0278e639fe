//! Calls that may be sent only while a lease is held.
//!
//! The lease is checked directly before each write to the connection. When a
//! call ends without a response, its connection is closed and what the system
//! has not sent yet is discarded, so that it cannot arrive after a call of the
//! next holder.

use std::{
    convert::Infallible,
    future::pending,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Largest response that is read.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Tells whether a call may be sent.
pub trait LeaseCheck {
    /// Whether the lease is held for the rest of the call.
    fn is_held(&self) -> bool;
}

/// Why a call has no response.
#[derive(Clone, Debug, PartialEq)]
pub enum CallFailure {
    /// The lease was no longer held; nothing was written.
    LeaseEnded,
    /// No connection was established.
    NotConnected(Arc<str>),
    /// Something may have been sent.
    Unanswered(Arc<str>),
}

/// Sends a request and reads the whole response within `timeout`. The
/// connection is closed when the call ends.
pub async fn send_within_lease<L: LeaseCheck + Unpin>(
    lease: L,
    address: SocketAddr,
    timeout: Duration,
    mut request: Request<Bytes>,
) -> Result<Response<Bytes>, CallFailure> {
    let host = HeaderValue::from_str(&address.to_string());
    let host = host.expect("an address is visible ASCII");
    request.headers_mut().insert(header::HOST, host);
    let progress = Arc::new(CallProgress::default());
    let call = async {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| error.to_string())?;
        let stream = LeaseStream::new(lease, timeout, &progress, stream);
        let stream = stream.map_err(|error| error.to_string())?;
        exchange(stream, request.map(Full::new), &progress).await
    };
    let text = match tokio::time::timeout(timeout, call).await {
        Ok(Ok(response)) => return Ok(response),
        Ok(Err(text)) => text,
        Err(_) => format!("no response in {timeout:?}"),
    };
    Err(if progress.wrote.load(Ordering::Relaxed) {
        CallFailure::Unanswered(text.into())
    } else if progress.withheld.load(Ordering::Relaxed) {
        CallFailure::LeaseEnded
    } else {
        CallFailure::NotConnected(text.into())
    })
}

/// How far a call has come.
#[derive(Debug, Default)]
struct CallProgress {
    /// Whether bytes were written.
    wrote: AtomicBool,
    /// Whether bytes were not written, as the lease was no longer held.
    withheld: AtomicBool,
    /// Whether the whole response was read.
    answered: AtomicBool,
}

async fn exchange<L: LeaseCheck + Unpin>(
    stream: LeaseStream<L>,
    request: Request<Full<Bytes>>,
    progress: &CallProgress,
) -> Result<Response<Bytes>, String> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let response = async {
        let response = sender.send_request(request).await;
        let (head, body) =
            response.map_err(|error| error.to_string())?.into_parts();
        let body = Limited::new(body, RESPONSE_MAX_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        progress.answered.store(true, Ordering::Relaxed);
        Ok(Response::from_parts(head, body))
    };
    // The connection is driven here and not by a task of its own, so that it is
    // closed as soon as the call ends.
    let driven = async {
        let _ = connection.await;
        pending::<Infallible>().await
    };
    let (response, driven) = (pin!(response), pin!(driven));
    tokio::select! {
        response = response => response,
        never = driven => match never {},
    }
}

/// Connection that checks the lease before each write.
struct LeaseStream<L> {
    lease: L,
    progress: Arc<CallProgress>,
    stream: TcpStream,
}

impl<L: LeaseCheck> LeaseStream<L> {
    fn new(
        lease: L,
        timeout: Duration,
        progress: &Arc<CallProgress>,
        stream: TcpStream,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        // A process that is frozen cannot close the connection, and the system
        // would send the bytes again once a broken link is back.
        #[cfg(target_os = "linux")]
        SockRef::from(&stream).set_tcp_user_timeout(Some(timeout))?;
        Ok(Self {
            lease,
            progress: progress.clone(),
            stream,
        })
    }

    fn check(&self) -> io::Result<()> {
        if self.lease.is_held() {
            return Ok(());
        }
        self.progress.withheld.store(true, Ordering::Relaxed);
        let text = "the lease is no longer held";
        Err(io::Error::new(io::ErrorKind::PermissionDenied, text))
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.progress.wrote.store(true, Ordering::Relaxed);
        }
    }
}

impl<L> Drop for LeaseStream<L> {
    fn drop(&mut self) {
        if !self.progress.answered.load(Ordering::Relaxed) {
            let socket = SockRef::from(&self.stream);
            // The connection ends in any case.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

impl<L: LeaseCheck + Unpin> AsyncRead for LeaseStream<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<L: LeaseCheck + Unpin> AsyncWrite for LeaseStream<L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let stream = Pin::new(&mut self.stream);
        let written = stream.poll_write_vectored(context, slices);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
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
