//! Queue between the task that reads an answer and the caller's connection.
//!
//! It is bounded in pieces and in bytes: a caller that does not read must not
//! make the process keep as many of the largest events as of the usual ones.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::{Semaphore, mpsc};

/// Most bytes in one queue; a larger piece is queued alone. Usual events have
/// some 70 bytes.
const QUEUE_BYTES_MAX: u32 = 64 << 10;

/// Piece of an answer with the bytes that it takes of the queue.
type QueuedPiece = (io::Result<Bytes>, u32);

/// The connection that reads the queue has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueClosed;

/// Creates a queue of at most `pieces_max` pieces.
pub(super) fn event_queue(pieces_max: usize) -> (EventSender, EventBody) {
    let (pieces, receiver) = mpsc::channel(pieces_max);
    let room = Arc::new(Semaphore::new(QUEUE_BYTES_MAX as usize));
    let body = EventBody {
        pieces: receiver,
        room: room.clone(),
    };
    (EventSender { pieces, room }, body)
}

/// Sending half of a queue.
#[derive(Debug)]
pub(super) struct EventSender {
    pieces: mpsc::Sender<QueuedPiece>,
    room: Arc<Semaphore>,
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
}

impl Drop for EventBody {
    fn drop(&mut self) {
        self.room.close();
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
