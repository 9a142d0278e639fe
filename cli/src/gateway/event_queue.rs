//! Queue between the task that reads an answer and the caller's connection.
//!
//! It is bounded in pieces and in bytes: a caller that does not read must not
//! make the process keep as many of the largest events as of the usual ones.
//!
//! A complete answer has no task any more while its last events wait for a slow
//! caller. If the process exits meanwhile, the queue logs that they are cut.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use borageline_lib::log_event::LogEvent;
use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::{Semaphore, mpsc};

use crate::log_decision;

/// Most bytes in one queue; a larger piece is queued alone. Usual events have
/// some 70 bytes.
const QUEUE_BYTES_MAX: u32 = 64 << 10;

/// Piece of an answer with the bytes that it takes of the queue.
type QueuedPiece = (io::Result<Bytes>, u32);

/// The connection that reads the queue has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueClosed;

/// Age of the planned stop when the process exits; empty before.
pub(super) type ExitAge = Arc<OnceLock<Duration>>;

/// Creates a queue of at most `pieces_max` pieces for the answer to a request.
pub(super) fn event_queue(
    pieces_max: usize,
    request: &str,
    exit_age: &ExitAge,
) -> (EventSender, EventBody) {
    let (pieces, receiver) = mpsc::channel(pieces_max);
    let room = Arc::new(Semaphore::new(QUEUE_BYTES_MAX as usize));
    let is_complete = Arc::new(AtomicBool::new(false));
    let body = EventBody {
        pieces: receiver,
        room: room.clone(),
        request: request.into(),
        exit_age: exit_age.clone(),
        is_complete: is_complete.clone(),
    };
    let sender = EventSender {
        pieces,
        room,
        is_complete,
    };
    (sender, body)
}

/// Sending half of a queue.
#[derive(Debug)]
pub(super) struct EventSender {
    pieces: mpsc::Sender<QueuedPiece>,
    room: Arc<Semaphore>,
    is_complete: Arc<AtomicBool>,
}

impl EventSender {
    /// Adds a piece as soon as there is room.
    pub(super) async fn send(
        &self,
        piece: io::Result<Bytes>,
    ) -> Result<(), QueueClosed> {
        let length = piece.as_ref().map_or(0, Bytes::len);
        let size = u32::try_from(length).unwrap_or(u32::MAX);
        let size = size.min(QUEUE_BYTES_MAX);
        let room = self.room.acquire_many(size).await;
        let room = room.map_err(|_| QueueClosed)?;
        let slot = self.pieces.reserve().await.map_err(|_| QueueClosed)?;
        room.forget();
        slot.send((piece, size));
        Ok(())
    }

    /// Marks the answer as complete, with the pieces that were added.
    pub(super) fn set_complete(&self) {
        self.is_complete.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection that reads the queue has ended.
    pub(super) async fn closed(&self) {
        self.pieces.closed().await;
    }
}

/// Response body that is fed through a queue.
#[derive(Debug)]
pub(super) struct EventBody {
    pieces: mpsc::Receiver<QueuedPiece>,
    room: Arc<Semaphore>,
    request: Arc<str>,
    exit_age: ExitAge,
    is_complete: Arc<AtomicBool>,
}

impl EventBody {
    /// Logs the bytes that the exit of the process cuts off a complete answer.
    /// Another one was logged by the task that filled the queue.
    fn log_cut(&mut self, exit_age: Duration) {
        if !self.is_complete.load(Ordering::Relaxed) {
            return;
        }
        let mut undelivered = 0;
        while let Ok((piece, _)) = self.pieces.try_recv() {
            undelivered += piece.map_or(0, |bytes| bytes.len());
        }
        if undelivered > 0 {
            log_decision!(
                LogEvent::AnswerCut,
                {
                    request = self.request,
                    stop_cut_ms = exit_age.as_millis(),
                    undelivered_bytes = undelivered,
                },
                "the answer is complete, and its caller has not read it",
            );
        }
    }
}

impl Drop for EventBody {
    fn drop(&mut self) {
        self.room.close();
        if let Some(exit_age) = self.exit_age.get().copied() {
            self.log_cut(exit_age);
        }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let queued = self.pieces.poll_recv(context);
        queued.map(|queued| {
            queued.map(|(piece, size)| {
                self.room.add_permits(size as usize);
                piece.map(Frame::data)
            })
        })
    }
}
