//! Buffers between engines and callers, bounded per stream and per instance.
//!
//! A request's task pushes parts into a [`PartSender`]; the caller's
//! connection takes them from the [`PartReader`] as its socket drains. A full
//! buffer refuses a part, and the task then stops reading from the engine.

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

/// Bytes that a part takes besides its text.
const PART_OVERHEAD: u64 = 256;
/// Bytes of the instance's buffer that are set aside for each stream, so that
/// slow readers never use up the room of fast ones.
const STREAM_SHARE: u64 = 4 << 10;
/// A stream may take at most this fraction of the unreserved room left.
const ROOM_DIVISOR: u64 = 4;
/// How often a stream whose buffer is empty looks for room again. That is so
/// only for a part larger than the stream's share.
const ROOM_POLL: Duration = Duration::from_millis(50);

/// Bytes that may be held at once, over all holders.
#[derive(Debug)]
pub struct ByteBudget {
    limit: u64,
    used: AtomicU64,
    gauge: IntGauge,
}

impl ByteBudget {
    /// A budget with nothing held, shown by a gauge.
    pub fn new(limit: ByteSize, gauge: IntGauge) -> Self {
        Self {
            limit: limit.get(),
            used: AtomicU64::new(0),
            gauge,
        }
    }

    /// Bytes that can still be taken.
    pub fn room(&self) -> ByteSize {
        let used = self.used.load(Ordering::Relaxed);
        ByteSize::new(self.limit.saturating_sub(used))
    }

    fn take(&self, bytes: u64) -> bool {
        let update =
            |used: u64| used.checked_add(bytes).filter(|u| *u <= self.limit);
        let order = Ordering::Relaxed;
        let taken = self.used.fetch_update(order, order, update).is_ok();
        if taken {
            self.gauge.add(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        taken
    }

    fn give(&self, bytes: u64) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.gauge.sub(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

/// Bytes taken from a budget, given back on drop.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl HeldBytes {
    /// Holds nothing yet.
    pub fn new(budget: Arc<ByteBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Takes more bytes; false if the budget has no room for them.
    pub fn grow(&mut self, bytes: u64) -> bool {
        let taken = self.budget.take(bytes);
        if taken {
            self.bytes += bytes;
        }
        taken
    }

    fn shrink(&mut self, bytes: u64) {
        self.budget.give(bytes);
        self.bytes -= bytes;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.give(self.bytes);
    }
}

/// Room for all streamed answers: one half is set aside in equal shares for
/// the streams, the other half is for whoever needs more.
#[derive(Debug)]
pub struct StreamBudget {
    shares: Arc<ByteBudget>,
    common: Arc<ByteBudget>,
    held: IntGauge,
}

impl StreamBudget {
    /// A budget with nothing held, shown by a gauge.
    pub fn new(limit: ByteSize, held: IntGauge) -> Self {
        let half = ByteSize::new(limit.get() / 2);
        let hidden = || {
            IntGauge::new("hidden", "not registered").expect("name is valid")
        };
        Self {
            shares: Arc::new(ByteBudget::new(half, hidden())),
            common: Arc::new(ByteBudget::new(half, hidden())),
            held,
        }
    }
}

/// One item of an answer on its way to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// A part.
    Part(CompletionChunk),
    /// The answer failed; nothing follows.
    Failure(Refusal),
    /// The answer is whole; nothing follows.
    End,
}

impl StreamItem {
    fn size(&self) -> u64 {
        match self {
            Self::Part(part) => {
                let text = part.choices.iter().map(|choice| choice.text.len());
                text.sum::<usize>() as u64 + PART_OVERHEAD
            }
            Self::Failure(_) | Self::End => 0,
        }
    }

    fn render(&self, request: &RequestId) -> Bytes {
        let data = match self {
            Self::Part(part) => serde_json::to_string(part),
            Self::Failure(refusal) => {
                let body = ErrorBody::new(refusal, Some(request.clone()));
                serde_json::to_string(&body)
            }
            Self::End => Ok(END_MARKER.into()),
        };
        let data = data.expect("parts are plain JSON");
        format!("data: {data}\n\n").into()
    }
}

/// How an answer begins.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerStart {
    /// With a part, or as an empty answer.
    Streaming,
    /// With a failure; nothing was delivered.
    Failed(Refusal),
    /// Not at all; the request's task is gone.
    Lost,
}

#[derive(Debug)]
struct PartQueue {
    items: VecDeque<StreamItem>,
    bytes: u64,
    gauge: IntGauge,
    // What the items take beyond the stream's share.
    common: HeldBytes,
    _share: HeldBytes,
    reader_gone: bool,
    sender_gone: bool,
    waker: Option<Waker>,
}

impl PartQueue {
    /// Takes room for more bytes; false if there is none.
    fn grow(&mut self, size: u64, limit: u64) -> bool {
        let after = self.bytes + size;
        // A part that is larger than the limit passes alone.
        if !self.items.is_empty() && after > limit {
            return false;
        }
        let beyond = after.saturating_sub(STREAM_SHARE);
        let more = beyond.saturating_sub(self.common.bytes);
        if more > 0 {
            let room = self.common.budget.room().get();
            let fair = self.items.is_empty() || beyond <= room / ROOM_DIVISOR;
            if !fair || !self.common.grow(more) {
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
        let beyond = self.bytes.saturating_sub(STREAM_SHARE);
        let less = self.common.bytes.saturating_sub(beyond);
        self.common.shrink(less);
    }

    fn clear(&mut self) -> (VecDeque<StreamItem>, Option<Waker>) {
        self.shrink(self.bytes);
        (std::mem::take(&mut self.items), self.waker.take())
    }
}

#[derive(Debug)]
struct SharedQueue {
    queue: Mutex<PartQueue>,
    changed: Notify,
    gone: Notify,
    limit: u64,
}

impl SharedQueue {
    fn lock(&self) -> MutexGuard<'_, PartQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds the buffer of one stream; `None` if there are too many streams.
pub fn part_channel(
    request: RequestId,
    limit: ByteSize,
    budget: &StreamBudget,
) -> Option<(PartSender, PartReader)> {
    let mut share = HeldBytes::new(budget.shares.clone());
    if !share.grow(STREAM_SHARE) {
        return None;
    }
    let queue = PartQueue {
        items: VecDeque::new(),
        bytes: 0,
        gauge: budget.held.clone(),
        common: HeldBytes::new(budget.common.clone()),
        _share: share,
        reader_gone: false,
        sender_gone: false,
        waker: None,
    };
    let shared = Arc::new(SharedQueue {
        queue: Mutex::new(queue),
        changed: Notify::new(),
        gone: Notify::new(),
        limit: limit.get(),
    });
    let reader = PartReader {
        shared: shared.clone(),
        request,
        ended: false,
    };
    Some((PartSender { shared }, reader))
}

/// Where a request's task puts the parts of its answer.
#[derive(Debug)]
pub struct PartSender {
    shared: Arc<SharedQueue>,
}

/// Waits for the caller to go away.
#[derive(Clone, Debug)]
pub struct CallerWatch {
    shared: Arc<SharedQueue>,
}

impl CallerWatch {
    /// Returns once the caller is gone.
    pub async fn gone(&self) {
        let notified = self.shared.gone.notified();
        if !self.shared.lock().reader_gone {
            notified.await;
        }
    }

    /// Drops what is buffered; the caller's stream breaks off.
    pub fn abort(&self) {
        let mut queue = self.shared.lock();
        queue.sender_gone = true;
        let (items, waker) = queue.clear();
        drop(queue);
        drop(items);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl PartSender {
    /// A watch on the caller.
    pub fn watch(&self) -> CallerWatch {
        let shared = self.shared.clone();
        CallerWatch { shared }
    }

    /// Buffers a part, or gives it back if there is no room.
    pub fn push(&self, part: CompletionChunk) -> Result<(), CompletionChunk> {
        let item = StreamItem::Part(part);
        let size = item.size();
        let mut queue = self.shared.lock();
        if !queue.grow(size, self.shared.limit) {
            let StreamItem::Part(part) = item else {
                unreachable!("item was built as a part");
            };
            return Err(part);
        }
        queue.items.push_back(item);
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
        Ok(())
    }

    /// Ends the stream with its last item.
    pub fn finish(self, item: StreamItem) {
        self.shared.lock().items.push_back(item);
    }

    /// Waits until half of what is buffered now has drained.
    pub async fn room(&self) {
        let goal = self.shared.lock().bytes / 2;
        if goal == 0 {
            tokio::time::sleep(ROOM_POLL).await;
        }
        loop {
            let changed = self.shared.changed.notified();
            if self.shared.lock().bytes <= goal {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for PartSender {
    fn drop(&mut self) {
        let mut queue = self.shared.lock();
        queue.sender_gone = true;
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Where the caller's connection takes the parts of an answer.
///
/// As a body it renders server-sent events. It fails if the sender went away
/// without a last item, so that a cut answer never looks whole.
#[derive(Debug)]
pub struct PartReader {
    shared: Arc<SharedQueue>,
    request: RequestId,
    ended: bool,
}

impl PartReader {
    /// A watch that returns once this reader is dropped.
    pub fn watch(&self) -> CallerWatch {
        let shared = self.shared.clone();
        CallerWatch { shared }
    }

    /// Takes the next item; `None` after the last one.
    pub async fn next(&mut self) -> Option<StreamItem> {
        poll_fn(|context| self.poll_item(context)).await
    }

    /// Waits for the first item and tells how the answer begins, without
    /// taking the item.
    pub async fn begin(&mut self) -> AnswerStart {
        poll_fn(|context| {
            let mut queue = self.shared.lock();
            match queue.items.front() {
                Some(StreamItem::Failure(refusal)) => {
                    Poll::Ready(AnswerStart::Failed(refusal.clone()))
                }
                Some(_) => Poll::Ready(AnswerStart::Streaming),
                None if queue.sender_gone => Poll::Ready(AnswerStart::Lost),
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
            if queue.sender_gone {
                return Poll::Ready(None);
            }
            queue.waker = Some(context.waker().clone());
            return Poll::Pending;
        };
        queue.shrink(item.size());
        drop(queue);
        self.shared.changed.notify_waiters();
        self.ended = !matches!(item, StreamItem::Part(_));
        Poll::Ready(Some(item))
    }
}

impl Drop for PartReader {
    fn drop(&mut self) {
        let mut queue = self.shared.lock();
        queue.reader_gone = true;
        let (items, _) = queue.clear();
        drop(queue);
        drop(items);
        self.shared.gone.notify_waiters();
    }
}

impl Body for PartReader {
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
