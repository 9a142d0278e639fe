//! Closes connections so that their peers receive what was written last.
//!
//! A socket that is closed while bytes of its peer are unread, or still arrive,
//! is reset by the system, and the reset discards what the peer has not received
//! yet: the end of an answer, for a caller that has sent the begin of its next
//! request, or a refusal, for one that is still sending a body. So the shutdown
//! of a [`LingeringStream`] closes the write side first, and then reads and drops
//! what arrives until the peer closes its side, too (RFC 9112, section 9.6).
//!
//! The wait is bounded, as peers may send without end or never close. In a planned
//! stop it goes on while the peer has not received all bytes, because a slow reader
//! may send its next request at any time until then. The schedule of the stop ends
//! it. To wait until then for every peer that does not close would let each stop
//! take the whole grace period, as many clients keep idle connections and see that
//! they were closed only when they use them again.

use std::{
    future::Future,
    io::{self, IoSlice},
    mem,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

use crate::socket_state::is_unacknowledged;

/// Longest wait for a peer that neither sends nor closes. A full send buffer of
/// 256 KiB reaches a caller with 20 Mbit/s in 105 ms; the rest is for the round
/// trip and a repeated packet. What a slower one has not received by then is
/// still sent by the system, unless the peer sends more. In a planned stop, the
/// state of the connection is looked up at this interval.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Longest wait for a peer that keeps sending, so that its connection neither
/// holds a descriptor for long nor delays a planned stop: a caller with
/// 20 Mbit/s sends 5 MB in it.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Most bytes that are read and dropped. On a fast link, this many arrive long
/// before the time is up, and reading them costs processor time.
const DISCARD_BYTES: usize = 64 << 20;
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// What connections need to know of a planned stop.
pub(crate) trait StopState: Unpin {
    /// Whether a planned stop has begun.
    fn is_stopping(&self) -> bool;
}

/// Accepted connection whose shutdown waits for its peer.
#[derive(Debug)]
pub(crate) struct LingeringStream<S> {
    stream: TcpStream,
    stop: S,
    /// Set once the write side is closed.
    lingering: Option<Lingering>,
}

/// Wait for the peer to close its side.
#[derive(Debug)]
struct Lingering {
    ends_at: Instant,
    quiet: Pin<Box<Sleep>>,
    discarded: usize,
    /// Whether the peer had not received all bytes when the state was looked
    /// up last.
    was_unacknowledged: bool,
}

impl<S: StopState> LingeringStream<S> {
    /// Takes over a connection. What waits for its shutdown in a planned stop
    /// has to drop it when the schedule of the stop ends.
    pub(crate) fn new(stream: TcpStream, stop: S) -> Self {
        Self {
            stream,
            stop,
            lingering: None,
        }
    }
}

impl Lingering {
    fn new(now: Instant) -> Self {
        Self {
            ends_at: now + LINGER_TIME,
            quiet: Box::pin(sleep_until(now + QUIET_TIME)),
            discarded: 0,
            was_unacknowledged: false,
        }
    }

    /// Reads and drops what arrives until the peer closes its side or a bound is
    /// reached.
    fn poll_end(
        &mut self,
        stream: &mut TcpStream,
        stop: &impl StopState,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        let mut bytes = [0; READ_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = Pin::new(&mut *stream).poll_read(context, &mut buffer);
            let size = buffer.filled().len();
            match read {
                Poll::Pending => {
                    ready!(self.quiet.as_mut().poll(context));
                    if !self.extend(stream, stop) {
                        return Poll::Ready(());
                    }
                    continue;
                }
                Poll::Ready(Ok(())) if size > 0 => {}
                Poll::Ready(_) => return Poll::Ready(()),
            }
            self.discarded += size;
            let now = Instant::now();
            let is_late = now >= self.ends_at;
            if self.discarded > DISCARD_BYTES
                || is_late && !self.extend(stream, stop)
            {
                return Poll::Ready(());
            }
            let quiet_until = self.ends_at.min(now + QUIET_TIME);
            self.quiet.as_mut().reset(quiet_until);
        }
    }

    /// Whether the wait goes on at the end of its time: in a planned stop until
    /// the peer has received all bytes, and once more after that, as the peer
    /// may be a proxy that has yet to pass them on.
    fn extend(&mut self, stream: &TcpStream, stop: &impl StopState) -> bool {
        let is_unacknowledged = stop.is_stopping() && is_unacknowledged(stream);
        let was_unacknowledged =
            mem::replace(&mut self.was_unacknowledged, is_unacknowledged);
        if !is_unacknowledged && !was_unacknowledged {
            return false;
        }
        let until = Instant::now() + QUIET_TIME;
        self.ends_at = self.ends_at.max(until);
        self.quiet.as_mut().reset(until);
        true
    }
}

impl<S: StopState> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: StopState> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
        let Self {
            stream,
            stop,
            lingering,
        } = &mut *self;
        let lingering = match lingering {
            Some(lingering) => lingering,
            None => {
                ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
                lingering.insert(Lingering::new(Instant::now()))
            }
        };
        lingering.poll_end(stream, stop, context).map(Ok)
    }
}
