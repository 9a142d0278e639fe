//! Body of an upstream's reply, which is read piece by piece.
//!
//! What has arrived by the deadline of a request is still passed on. A sender
//! that always has more bytes ready would never be stopped that way, so only so
//! many are read after the deadline.

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::Instant;

use super::usage::StreamBegin;
use crate::received_body::{ReceiveError, ReceivedBody};

/// Most bytes that are read after the deadline, in addition to one piece: the
/// largest receive buffer of a connection to an upstream.
const LATE_BYTES_MAX: usize = 64 << 10;

/// Body of a reply to a request with a deadline.
#[derive(Debug)]
pub(super) struct ReplyBody {
    body: ReceivedBody,
    deadline: Instant,
    /// Bytes read after the deadline.
    late: usize,
    /// Counts the answer when its first piece arrives.
    begin: Option<StreamBegin>,
}

impl ReplyBody {
    /// Wraps the body of a reply to a request that ends at `deadline`.
    pub(super) fn new(body: ReceivedBody, deadline: Instant) -> Self {
        Self {
            body,
            deadline,
            late: 0,
            begin: None,
        }
    }

    /// Counts the answer when its first piece arrives.
    pub(super) fn with_begin(mut self, begin: Option<StreamBegin>) -> Self {
        self.begin = begin;
        self
    }

    /// Reads the next piece; `None` at the end. Waits forever once too much was
    /// read after the deadline, so the caller must watch the deadline, too.
    pub(super) async fn frame(
        &mut self,
    ) -> Option<Result<Frame<Bytes>, ReceiveError>> {
        if self.late > LATE_BYTES_MAX {
            return std::future::pending().await;
        }
        let frame = self.body.frame().await;
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| !data.is_empty())
            && let Some(begin) = self.begin.take()
        {
            begin.record();
        }
        if let Some(Ok(frame)) = &frame
            && Instant::now() >= self.deadline
        {
            self.late += frame.data_ref().map_or(0, Bytes::len);
        }
        frame
    }

    /// The body itself, for a reader with a bound of its own.
    pub(super) fn into_inner(self) -> ReceivedBody {
        self.body
    }
}
