//! Splits an event stream into complete events and tracks their ids.
//!
//! An upstream may break off in the middle of an event. Only complete events
//! are forwarded, so that another upstream can continue the stream after the
//! last forwarded one.

use bytes::{Bytes, BytesMut};

/// Largest size of one event; a stream with a larger event is aborted.
pub const EVENT_MAX_BYTES: usize = 256 << 10;

/// Why a stream can no longer be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is larger than [`EVENT_MAX_BYTES`].
    EventTooLarge,
}

/// One complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Numeric value of the `id:` field; `None` if there is none or it is not
    /// a number.
    pub id: Option<u64>,
    /// The event as received, including its separator.
    pub bytes: Bytes,
}

/// Position in one stream, kept across all upstreams that produce it.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    buffer: BytesMut,
    /// Bytes of the buffer that contain no separator.
    scanned: usize,
    last_id: Option<u64>,
    events: u64,
}

impl StreamCursor {
    /// Creates a cursor that drops events with ids up to `last_id`; with `None`,
    /// it drops nothing.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Cursor at the same position, for the stream of another upstream.
    pub fn branch(&self) -> Self {
        Self {
            last_id: self.last_id,
            events: self.events,
            ..Self::default()
        }
    }

    /// Id of the last forwarded event; `None` if no event with an id was
    /// forwarded.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events returned so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the buffer holds the beginning of an incomplete event.
    pub fn is_inside_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the incomplete event before bytes of another upstream are added.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    /// Events whose id is not above the last one are dropped, since the caller
    /// has them.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamError> {
        loop {
            let Some(end) = self.find_end() else {
                if self.buffer.len() > EVENT_MAX_BYTES {
                    return Err(StreamError::EventTooLarge);
                }
                return Ok(None);
            };
            let bytes = self.buffer.split_to(end).freeze();
            self.scanned = 0;
            let id = event_id(&bytes);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            if id.is_some() {
                self.last_id = id;
            }
            self.events += 1;
            return Ok(Some(StreamEvent { id, bytes }));
        }
    }

    /// Returns the offset after the empty line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        // A separator may have begun in the bytes that were scanned before.
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

/// Parses the `id:` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    text.trim().parse().ok()
}
