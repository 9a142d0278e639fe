//! Buffers between engines and callers, bounded per stream and per instance.
//!
//! A request's task pushes the chunks of a completion into a
//! [`CompletionSender`]; the caller's connection takes them from the
//! [`CompletionReader`] as its socket drains. A full buffer refuses a chunk,
//! and the task then stops reading from the engine.

use std::{
    collections::VecDeque,
    future::poll_fn,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};

use borageline_lib::{
    api::{CompletionChunk, END_MARKER, ErrorBody},
    ids::RequestId,
    refusal::Refusal,
    units::ByteSize,
};
use bytes::Bytes;
use http_body::{Body, Frame};
use prometheus::IntGauge;
use tokio::sync::Notify;

/// Bytes counted for a chunk in addition to its text.
const CHUNK_OVERHEAD_BYTES: u64 = 256;
/// Bytes reserved for each stream, so that slow readers never use up the
/// buffer space of fast ones.
const STREAM_RESERVE_BYTES: u64 = 4 << 10;
/// A stream may use at most the free overflow space divided by this number,
/// unless its buffer is empty.
const OVERFLOW_FRACTION_DIVISOR: u64 = 4;
/// Wait before a chunk that did not fit into an empty buffer is tried again.
/// Only a chunk larger than the stream's reserve can fail to fit.
const EMPTY_BUFFER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limit on the bytes reserved at once by all [`ByteReservation`]s.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    used: AtomicU64,
    gauge: IntGauge,
}

impl ByteBudget {
    /// Creates a budget without reservations. `gauge` shows the bytes
    /// reserved.
    pub fn new(limit: ByteSize, gauge: IntGauge) -> Self {
        Self {
            limit: limit.get(),
            used: AtomicU64::new(0),
            gauge,
        }
    }

    /// Bytes that are not reserved.
    pub fn available(&self) -> ByteSize {
        let used = self.used.load(Ordering::Relaxed);
        ByteSize::new(self.limit.saturating_sub(used))
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let update =
            |used: u64| used.checked_add(bytes).filter(|u| *u <= self.limit);
        let order = Ordering::Relaxed;
        let reserved = self.used.fetch_update(order, order, update).is_ok();
        if reserved {
            self.gauge.add(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        reserved
    }

    fn release(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.gauge.sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

/// Bytes reserved from a budget; released on drop.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl ByteReservation {
    /// Creates a reservation of zero bytes.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Reserves more bytes. Returns false, and reserves none, if the budget
    /// has too few left.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let reserved = self.budget.try_reserve(bytes);
        if reserved {
            self.bytes += bytes;
        }
        reserved
    }

    fn shrink(&mut self, bytes: u64) {
        self.budget.release(bytes);
        self.bytes -= bytes;
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// Buffer space for the completions of all streams.
///
/// One half is reserved in equal amounts for the single streams. The other
/// half, the overflow, is shared by streams that need more than their reserve.
#[derive(Debug)]
pub struct StreamBudget {
    reserves: Arc<ByteBudget>,
    overflow: Arc<ByteBudget>,
    gauge: IntGauge,
}

impl StreamBudget {
    /// Creates a budget without streams. `gauge` shows the bytes buffered,
    /// not those reserved.
    pub fn new(limit: ByteSize, gauge: IntGauge) -> Self {
        let half = ByteSize::new(limit.get() / 2);
        let hidden = || {
            IntGauge::new("hidden", "not registered").expect("name is valid")
        };
        Self {
            reserves: Arc::new(ByteBudget::new(half, hidden())),
            overflow: Arc::new(ByteBudget::new(half, hidden())),
            gauge,
        }
    }
}

/// One item of a buffered completion.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// Generated text and its token range.
    Chunk(CompletionChunk),
    /// The completion failed; nothing follows.
    Failure(Refusal),
    /// The completion is complete; nothing follows.
    End,
}

impl StreamItem {
    fn size(&self) -> u64 {
        match self {
            Self::Chunk(chunk) => {
                let text = chunk.choices.iter().map(|choice| choice.text.len());
                text.sum::<usize>() as u64 + CHUNK_OVERHEAD_BYTES
            }
            Self::Failure(_) | Self::End => 0,
        }
    }

    fn render(&self, request: &RequestId) -> Bytes {
        let data = match self {
            Self::Chunk(chunk) => serde_json::to_string(chunk),
            Self::Failure(refusal) => {
                let body = ErrorBody::new(refusal, Some(request.clone()));
                serde_json::to_string(&body)
            }
            Self::End => Ok(END_MARKER.into()),
        };
        let data = data.expect("chunks are plain JSON");
        format!("data: {data}\n\n").into()
    }
}

/// Kind of the first item of a completion.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionStart {
    /// A chunk, or the end of an empty completion.
    Streaming,
    /// A failure; nothing was delivered.
    Failed(Refusal),
    /// None: the request's task ended without an item.
    Lost,
}

#[derive(Debug)]
struct CompletionQueue {
    items: VecDeque<StreamItem>,
    bytes: u64,
    gauge: IntGauge,
    // Reservation for the bytes of the items beyond the stream's reserve.
    overflow: ByteReservation,
    _reserve: ByteReservation,
    reader_dropped: bool,
    sender_dropped: bool,
    // Whether a streamed answer has begun, so that a failure has no status.
    answer_begun: bool,
    waker: Option<Waker>,
}

impl CompletionQueue {
    /// Adds to the bytes buffered. Returns false, and adds nothing, if there
    /// is no room.
    fn grow(&mut self, size: u64, limit: u64) -> bool {
        let after = self.bytes + size;
        // A chunk larger than the limit is accepted into an empty buffer.
        if !self.items.is_empty() && after > limit {
            return false;
        }
        let beyond_reserve = after.saturating_sub(STREAM_RESERVE_BYTES);
        let more = beyond_reserve.saturating_sub(self.overflow.bytes);
        if more > 0 {
            let free = self.overflow.budget.available().get();
            let fair = self.items.is_empty()
                || beyond_reserve <= free / OVERFLOW_FRACTION_DIVISOR;
            if !fair || !self.overflow.grow(more) {
                return false;
            }
        }
        self.bytes = after;
        self.gauge.add(i64::try_from(size).unwrap_or(i64::MAX));
        true
    }

    fn shrink(&mut self, size: u64) {
        self.bytes -= size;
        self.gauge.sub(i64::try_from(size).unwrap_or(i64::MAX));
        let beyond_reserve = self.bytes.saturating_sub(STREAM_RESERVE_BYTES);
        let less = self.overflow.bytes.saturating_sub(beyond_reserve);
        self.overflow.shrink(less);
    }

    fn clear(&mut self) -> (VecDeque<StreamItem>, Option<Waker>) {
        self.shrink(self.bytes);
        (std::mem::take(&mut self.items), self.waker.take())
    }
}

#[derive(Debug)]
struct SharedQueue {
    queue: Mutex<CompletionQueue>,
    changed: Notify,
    disconnected: Notify,
    limit: u64,
}

impl SharedQueue {
    fn lock(&self) -> MutexGuard<'_, CompletionQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the buffer of one stream; `None` if no reserve is left for another
/// stream.
pub fn completion_channel(
    request: RequestId,
    limit: ByteSize,
    budget: &StreamBudget,
) -> Option<(CompletionSender, CompletionReader)> {
    let mut reserve = ByteReservation::new(budget.reserves.clone());
    if !reserve.grow(STREAM_RESERVE_BYTES) {
        return None;
    }
    let queue = CompletionQueue {
        items: VecDeque::new(),
        bytes: 0,
        gauge: budget.gauge.clone(),
        overflow: ByteReservation::new(budget.overflow.clone()),
        _reserve: reserve,
        reader_dropped: false,
        sender_dropped: false,
        answer_begun: false,
        waker: None,
    };
    let shared = Arc::new(SharedQueue {
        queue: Mutex::new(queue),
        changed: Notify::new(),
        disconnected: Notify::new(),
        limit: limit.get(),
    });
    let reader = CompletionReader {
        shared: shared.clone(),
        request,
        ended: false,
    };
    Some((CompletionSender { shared }, reader))
}

/// Sending half of a stream's buffer, used by the request's task.
#[derive(Debug)]
pub struct CompletionSender {
    shared: Arc<SharedQueue>,
}

/// Reports when the caller disconnects, and can abort its stream.
#[derive(Clone, Debug)]
pub struct CallerMonitor {
    shared: Arc<SharedQueue>,
}

impl CallerMonitor {
    /// Waits until the caller has disconnected, that is, until the reader is
    /// dropped.
    pub async fn disconnected(&self) {
        let notified = self.shared.disconnected.notified();
        if !self.shared.lock().reader_dropped {
            notified.await;
        }
    }

    /// Discards the buffered items; the caller's stream then ends with an
    /// error.
    pub fn abort(&self) {
        let mut queue = self.shared.lock();
        queue.sender_dropped = true;
        let (items, waker) = queue.clear();
        drop(queue);
        drop(items);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl CompletionSender {
    /// Returns a monitor of the caller's connection.
    pub fn monitor(&self) -> CallerMonitor {
        let shared = self.shared.clone();
        CallerMonitor { shared }
    }

    /// Buffers a chunk. If there is no room, the chunk is returned as the
    /// error.
    pub fn push(&self, chunk: CompletionChunk) -> Result<(), CompletionChunk> {
        let item = StreamItem::Chunk(chunk);
        let size = item.size();
        let mut queue = self.shared.lock();
        if !queue.grow(size, self.shared.limit) {
            let StreamItem::Chunk(chunk) = item else {
                unreachable!("item was built as a part");
            };
            return Err(chunk);
        }
        queue.items.push_back(item);
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
        Ok(())
    }

    /// Ends the stream with its last item, for which there is always room.
    /// Returns whether the caller's answer has begun.
    pub fn finish(self, item: StreamItem) -> bool {
        let mut queue = self.shared.lock();
        queue.items.push_back(item);
        queue.answer_begun
    }

    /// Waits until half of the bytes buffered now have been read. If the
    /// buffer is empty, waits for a fixed time.
    pub async fn wait_for_room(&self) {
        let target_bytes = self.shared.lock().bytes / 2;
        if target_bytes == 0 {
            tokio::time::sleep(EMPTY_BUFFER_RETRY_DELAY).await;
        }
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.lock().bytes <= target_bytes {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for CompletionSender {
    fn drop(&mut self) {
        let mut queue = self.shared.lock();
        queue.sender_dropped = true;
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Receiving half of a stream's buffer, read by the caller's connection.
///
/// Used as an HTTP body, it renders server-sent events. It fails if the sender
/// is dropped without a last item, so that a truncated completion never looks
/// complete.
#[derive(Debug)]
pub struct CompletionReader {
    shared: Arc<SharedQueue>,
    request: RequestId,
    ended: bool,
}

impl CompletionReader {
    /// Returns a monitor that reports when this reader is dropped.
    pub fn monitor(&self) -> CallerMonitor {
        let shared = self.shared.clone();
        CallerMonitor { shared }
    }

    /// Whether the whole completion is buffered, and its end is not read.
    pub fn is_unread(&self) -> bool {
        let queue = self.shared.lock();
        !self.ended && queue.items.back() == Some(&StreamItem::End)
    }

    /// Removes the next item; `None` after the last one.
    pub async fn next(&mut self) -> Option<StreamItem> {
        poll_fn(|context| self.poll_item(context)).await
    }

    /// Waits for the first item and returns its kind, without removing it. A
    /// completion that has already failed counts as failed from the start.
    pub async fn peek_start(&mut self) -> CompletionStart {
        poll_fn(|context| {
            let mut queue = self.shared.lock();
            match queue.items.back() {
                Some(StreamItem::Failure(refusal)) => {
                    Poll::Ready(CompletionStart::Failed(refusal.clone()))
                }
                Some(_) => {
                    queue.answer_begun = true;
                    Poll::Ready(CompletionStart::Streaming)
                }
                None if queue.sender_dropped => {
                    Poll::Ready(CompletionStart::Lost)
                }
                None => {
                    queue.waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    fn poll_item(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<StreamItem>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let mut queue = self.shared.lock();
        let Some(item) = queue.items.pop_front() else {
            if queue.sender_dropped {
                return Poll::Ready(None);
            }
            queue.waker = Some(context.waker().clone());
            return Poll::Pending;
        };
        queue.shrink(item.size());
        drop(queue);
        self.shared.changed.notify_waiters();
        self.ended = !matches!(item, StreamItem::Chunk(_));
        Poll::Ready(Some(item))
    }
}

impl Drop for CompletionReader {
    fn drop(&mut self) {
        let mut queue = self.shared.lock();
        queue.reader_dropped = true;
        let (items, _) = queue.clear();
        drop(queue);
        drop(items);
        self.shared.disconnected.notify_waiters();
    }
}

impl Body for CompletionReader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.poll_item(context).map(|item| match item {
            Some(item) => Some(Ok(Frame::data(item.render(&self.request)))),
            None => {
                let text = "answer ended without its last item";
                Some(Err(io::Error::new(io::ErrorKind::UnexpectedEof, text)))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
