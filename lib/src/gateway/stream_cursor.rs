//! Splits an event stream into whole events and follows their ids.
//!
//! An upstream may end in the middle of an event. Only whole events are
//! passed on, so that a stream can continue on another upstream after the
//! last one.

use bytes::{Bytes, BytesMut};

/// Largest event; a stream with a larger one is broken off.
pub const EVENT_MAX_BYTES: usize = 256 << 10;

/// Why a stream cannot be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event is larger than [`EVENT_MAX_BYTES`].
    EventTooLarge,
}

/// One whole event with its separator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id, if the event has a numeric one.
    pub id: Option<u64>,
    /// Bytes as they came.
    pub bytes: Bytes,
}

/// Position in one stream, over all upstreams that write it.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
    events: u64,
}

impl StreamCursor {
    /// A cursor before the first event, or after the event that the caller
    /// has already.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Id of the last event passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Number of events passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_inside_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the unfinished event; the next bytes come from another upstream.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Next whole event, if there is one. Events that the caller has already
    /// are dropped.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamFault> {
        loop {
            let Some(end) = self.find_end() else {
                if self.buffer.len() > EVENT_MAX_BYTES {
                    return Err(StreamFault::EventTooLarge);
                }
                return Ok(None);
            };
            let bytes = self.buffer.split_to(end).freeze();
            self.scanned = 0;
            let id = event_id(&bytes);
            if id.is_some() && id <= self.last {
                continue;
            }
            if id.is_some() {
                self.last = id;
            }
            self.events += 1;
            return Ok(Some(StreamEvent { id, bytes }));
        }
    }

    /// End of the first event: after an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        // A separator may have begun in the bytes scanned before.
        let mut at = self.scanned.saturating_sub(3);
        while at < bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
            at += 1;
        }
        self.scanned = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok()
}
