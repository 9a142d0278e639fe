//! The body of a streamed answer, which tells from the log whether a planned
//! stop closed its connection before the caller had read it.
//!
//! A request whose engine has not finished is ended, and logged, by its task.
//! One that is finished has no task any more, and its answer may still wait for
//! a slow caller when the stop closes all connections.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use borageline_lib::{ids::RequestId, log_event::LogEvent, units::Timestamp};
use bytes::Bytes;
use http_body::{Body, Frame};

use crate::{
    buffer::CompletionReader, core_handle::CoreClock, log_decision,
    stop_signal::StopSignal,
};

/// A streamed answer that is logged if a stop cuts it.
#[derive(Debug)]
pub struct WatchedAnswer {
    reader: CompletionReader,
    request: RequestId,
    arrived: Timestamp,
    stop: StopSignal,
    clock: CoreClock,
}

impl WatchedAnswer {
    /// Watches the answer to a request that arrived at a time.
    pub fn new(
        reader: CompletionReader,
        request: RequestId,
        arrived: Timestamp,
        stop: StopSignal,
        clock: CoreClock,
    ) -> Self {
        Self {
            reader,
            request,
            arrived,
            stop,
            clock,
        }
    }
}

impl Body for WatchedAnswer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.reader).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.reader.is_end_stream()
    }
}

impl Drop for WatchedAnswer {
    fn drop(&mut self) {
        if !self.reader.is_unread() || !self.stop.closes_connections() {
            return;
        }
        let now = self.clock.now();
        log_decision!(
            LogEvent::AnswerCut,
            {
                request = self.request,
                stop_read_ms = self.stop.age_ms(self.arrived),
                stop_cut_ms = self.stop.age_ms(now),
                elapsed_ms = now.since(self.arrived).as_millis(),
            },
            "the answer is complete, and its caller has not read it",
        );
    }
}
