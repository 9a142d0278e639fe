//! Parses and checks the stream in which an engine sends a completion.
//!
//! [`SseParser`] splits the bytes of a server-sent-event stream into the data
//! fields of its events and bounds the memory that one event may take.
//! [`CompletionStreamChecker`] decodes the data fields and passes on the chunks
//! of one request, in order and once each. Errors are only reported: the reader
//! of the stream decides whether to resume, retry or fail the request.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

use crate::{
    api::{CompletionChunk, END_MARKER, ErrorBody, ErrorDetail},
    ids::RequestId,
};

/// Maximum length of a line or of the data of an event, in bytes.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// Error after which a completion stream cannot be read any further.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionStreamError {
    /// A line or the data of an event exceeds the maximum length.
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The data of an event is neither a chunk nor an error body.
    Malformed {
        /// Message of the JSON or UTF-8 decoder.
        message: Arc<str>,
    },
    /// A chunk starts after the next expected token.
    Gap {
        /// Index of the next expected token.
        expected: u64,
        /// Index of the first token in the chunk.
        found: u64,
    },
    /// A chunk starts before the next expected token and ends after it.
    Overlap {
        /// Index of the next expected token.
        expected: u64,
        /// Index of the first token in the chunk.
        found: u64,
    },
    /// The end marker arrived before a chunk with a finish reason.
    EarlyEnd {
        /// Index of the next expected token.
        expected: u64,
    },
    /// The engine sent an error body for the request.
    Reported(ErrorDetail),
}

impl Display for CompletionStreamError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong { limit } => {
                write!(formatter, "event is longer than {limit} bytes")
            }
            Self::Malformed { message } => {
                write!(formatter, "event is malformed: {message}")
            }
            Self::Gap { expected, found } => write!(
                formatter,
                "completion has a gap from token {expected} to {found}",
            ),
            Self::Overlap { expected, found } => write!(
                formatter,
                "chunk at token {found} overlaps token {expected}",
            ),
            Self::EarlyEnd { expected } => write!(
                formatter,
                "end marker at token {expected} without a finish reason",
            ),
            Self::Reported(detail) => {
                write!(formatter, "{}: {}", detail.code, detail.message)
            }
        }
    }
}

impl std::error::Error for CompletionStreamError {}

/// Incremental parser of server-sent events. Fields other than `data` are
/// ignored.
#[derive(Clone, Debug)]
pub struct SseParser {
    limit: usize,
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    after_carriage_return: bool,
}

impl SseParser {
    /// Creates a parser for a new stream. `limit` is the maximum length of a
    /// line and of the data of an event, in bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            line: Vec::new(),
            data: Vec::new(),
            has_data: false,
            after_carriage_return: false,
        }
    }

    /// Consumes bytes and returns the data of the events that they complete.
    /// Fails if a line or event is too long or the data is not valid UTF-8.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<String>, CompletionStreamError> {
        let mut events = Vec::new();
        for &byte in bytes {
            let after_carriage_return =
                std::mem::take(&mut self.after_carriage_return);
            match byte {
                b'\n' if after_carriage_return => {}
                b'\n' => self.end_line(&mut events)?,
                b'\r' => {
                    self.after_carriage_return = true;
                    self.end_line(&mut events)?;
                }
                _ if self.line.len() >= self.limit => {
                    return Err(CompletionStreamError::TooLong {
                        limit: self.limit,
                    });
                }
                _ => self.line.push(byte),
            }
        }
        Ok(events)
    }

    fn end_line(
        &mut self,
        events: &mut Vec<String>,
    ) -> Result<(), CompletionStreamError> {
        if self.line.is_empty() {
            return self.end_event(events);
        }
        if let Some(value) = self.line.strip_prefix(b"data:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            if self.data.len() + value.len() >= self.limit {
                return Err(CompletionStreamError::TooLong {
                    limit: self.limit,
                });
            }
            if self.has_data {
                self.data.push(b'\n');
            }
            self.data.extend_from_slice(value);
            self.has_data = true;
        }
        self.line.clear();
        Ok(())
    }

    fn end_event(
        &mut self,
        events: &mut Vec<String>,
    ) -> Result<(), CompletionStreamError> {
        if !std::mem::take(&mut self.has_data) {
            return Ok(());
        }
        let data = std::mem::take(&mut self.data);
        let text = String::from_utf8(data).map_err(|error| {
            let message = error.to_string().into();
            CompletionStreamError::Malformed { message }
        })?;
        events.push(text);
        Ok(())
    }
}

/// Result of checking the data of one event.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionStreamItem {
    /// The next chunk of the completion.
    Chunk(CompletionChunk),
    /// A chunk or error of another request, to be dropped.
    Foreign,
    /// A chunk that was received before, to be dropped.
    Repeated,
    /// The end marker: the completion is complete.
    End,
}

/// Checks that a stream delivers the chunks of one request without a gap, and
/// filters out repeated chunks and those of other requests.
#[derive(Clone, Debug)]
pub struct CompletionStreamChecker {
    request: RequestId,
    next_index: u64,
    finish_reason_seen: bool,
    end_marker_seen: bool,
    foreign_count: u64,
    repeated_count: u64,
}

impl CompletionStreamChecker {
    /// Creates a checker for a stream that starts at token index `from`.
    pub fn new(request: RequestId, from: u64) -> Self {
        Self {
            request,
            next_index: from,
            finish_reason_seen: false,
            end_marker_seen: false,
            foreign_count: 0,
            repeated_count: 0,
        }
    }

    /// Index of the next expected token.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Whether the end marker arrived after a chunk with a finish reason.
    pub fn is_complete(&self) -> bool {
        self.end_marker_seen
    }

    /// Number of chunks and errors with the id of another request.
    pub fn foreign_count(&self) -> u64 {
        self.foreign_count
    }

    /// Number of chunks that were received more than once.
    pub fn repeated_count(&self) -> u64 {
        self.repeated_count
    }

    /// Checks the data of one event.
    pub fn check(
        &mut self,
        data: &str,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        if data == END_MARKER {
            return self.check_end();
        }
        let value: serde_json::Value = decode(data)?;
        if value.get("error").is_some() {
            let body: ErrorBody = decode_value(value)?;
            return self.check_error(body.error);
        }
        self.check_chunk(decode_value(value)?)
    }

    fn check_end(
        &mut self,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        if !self.finish_reason_seen {
            return Err(CompletionStreamError::EarlyEnd {
                expected: self.next_index,
            });
        }
        self.end_marker_seen = true;
        Ok(CompletionStreamItem::End)
    }

    fn check_error(
        &mut self,
        detail: ErrorDetail,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        match &detail.request_id {
            Some(id) if *id != self.request => {
                self.foreign_count += 1;
                Ok(CompletionStreamItem::Foreign)
            }
            _ => Err(CompletionStreamError::Reported(detail)),
        }
    }

    fn check_chunk(
        &mut self,
        chunk: CompletionChunk,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        if chunk.id != self.request {
            self.foreign_count += 1;
            return Ok(CompletionStreamItem::Foreign);
        }
        let expected = self.next_index;
        let found = chunk.index_from;
        if found > expected {
            return Err(CompletionStreamError::Gap { expected, found });
        }
        let end = found.saturating_add(chunk.token_count);
        let is_last = chunk.choices.iter().any(|c| c.finish_reason.is_some());
        // The last chunk may carry only the finish reason and no token.
        let is_new = end > expected || (found == expected && is_last);
        if self.finish_reason_seen || !is_new {
            self.repeated_count += 1;
            return Ok(CompletionStreamItem::Repeated);
        }
        if found < expected {
            return Err(CompletionStreamError::Overlap { expected, found });
        }
        self.next_index = end;
        self.finish_reason_seen = is_last;
        Ok(CompletionStreamItem::Chunk(chunk))
    }
}

fn decode(data: &str) -> Result<serde_json::Value, CompletionStreamError> {
    serde_json::from_str(data).map_err(|error| malformed_error(&error))
}

fn decode_value<T: serde::de::DeserializeOwned>(
    value: serde_json::Value,
) -> Result<T, CompletionStreamError> {
    serde_json::from_value(value).map_err(|error| malformed_error(&error))
}

fn malformed_error(error: &serde_json::Error) -> CompletionStreamError {
    CompletionStreamError::Malformed {
        message: error.to_string().into(),
    }
}
