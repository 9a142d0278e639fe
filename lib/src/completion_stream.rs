//! Checks the parts of a streamed answer.
//!
//! [`SseParser`] turns the bytes of a server-sent-event stream into data
//! fields, with a bound on the memory that one event may take.
//! [`CompletionStreamChecker`] takes the data fields and lets through, in order and
//! once each, the parts that belong to one request. Whoever reads the stream
//! decides what to do about a fault.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

use crate::{
    api::{CompletionChunk, END_MARKER, ErrorBody, ErrorDetail},
    ids::RequestId,
};

/// Longest line or event of a stream, in bytes.
pub const EVENT_MAX_BYTES: usize = 1 << 20;

/// Why an answer cannot be read on.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionStreamError {
    /// A line or event is longer than allowed.
    TooLong {
        /// Bytes allowed.
        limit: usize,
    },
    /// An event is neither a part nor an error.
    Malformed {
        /// What the decoder said.
        message: Arc<str>,
    },
    /// Tokens are missing before a part.
    Gap {
        /// Index of the token that should have come.
        expected: u64,
        /// Index of the token that came.
        found: u64,
    },
    /// A part repeats some tokens and adds others.
    Overlap {
        /// Index of the token that should have come.
        expected: u64,
        /// Index of the token that came.
        found: u64,
    },
    /// The end marker came before a part with a finish reason.
    EarlyEnd {
        /// Index of the token that should have come.
        expected: u64,
    },
    /// The engine reported an error in the stream.
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
                "tokens {expected} to {found} of the answer are missing",
            ),
            Self::Overlap { expected, found } => write!(
                formatter,
                "part at token {found} reaches past token {expected}",
            ),
            Self::EarlyEnd { expected } => write!(
                formatter,
                "end marker came at token {expected} without a finish reason",
            ),
            Self::Reported(detail) => {
                write!(formatter, "{}: {}", detail.code, detail.message)
            }
        }
    }
}

impl std::error::Error for CompletionStreamError {}

/// Splits a stream of bytes into the data fields of its events.
#[derive(Clone, Debug)]
pub struct SseParser {
    limit: usize,
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
    after_return: bool,
}

impl SseParser {
    /// A parser at the start of a stream.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            line: Vec::new(),
            data: Vec::new(),
            has_data: false,
            after_return: false,
        }
    }

    /// Takes bytes and returns the data fields of the events they complete.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<String>, CompletionStreamError> {
        let mut events = Vec::new();
        for &byte in bytes {
            let after_return = std::mem::take(&mut self.after_return);
            match byte {
                b'\n' if after_return => {}
                b'\n' => self.end_line(&mut events)?,
                b'\r' => {
                    self.after_return = true;
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

/// What one data field turned out to be.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionStreamItem {
    /// The next part of the answer.
    Chunk(CompletionChunk),
    /// A part of another request's answer, dropped.
    Foreign,
    /// A part that came before, dropped.
    Repeated,
    /// The answer is whole.
    End,
}

/// Lets through the parts of one request's answer, in order and once each.
#[derive(Clone, Debug)]
pub struct CompletionStreamChecker {
    request: RequestId,
    next: u64,
    finished: bool,
    ended: bool,
    foreign: u64,
    repeated: u64,
}

impl CompletionStreamChecker {
    /// A checker that expects the token with an index next.
    pub fn new(request: RequestId, from: u64) -> Self {
        Self {
            request,
            next: from,
            finished: false,
            ended: false,
            foreign: 0,
            repeated: 0,
        }
    }

    /// Index of the token that comes next.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Whether the end marker came after a part with a finish reason.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Number of parts with another request's id.
    pub fn foreign_count(&self) -> u64 {
        self.foreign
    }

    /// Number of parts that came more than once.
    pub fn repeated_count(&self) -> u64 {
        self.repeated
    }

    /// Judges the data field of one event.
    pub fn check(
        &mut self,
        data: &str,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        if data == END_MARKER {
            return self.take_end();
        }
        let value: serde_json::Value = parse(data)?;
        if value.get("error").is_some() {
            let body: ErrorBody = convert(value)?;
            return self.take_error(body.error);
        }
        self.take_part(convert(value)?)
    }

    fn take_end(
        &mut self,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        if !self.finished {
            return Err(CompletionStreamError::EarlyEnd {
                expected: self.next,
            });
        }
        self.ended = true;
        Ok(CompletionStreamItem::End)
    }

    fn take_error(
        &mut self,
        detail: ErrorDetail,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        match &detail.request_id {
            Some(id) if *id != self.request => {
                self.foreign += 1;
                Ok(CompletionStreamItem::Foreign)
            }
            _ => Err(CompletionStreamError::Reported(detail)),
        }
    }

    fn take_part(
        &mut self,
        part: CompletionChunk,
    ) -> Result<CompletionStreamItem, CompletionStreamError> {
        if part.id != self.request {
            self.foreign += 1;
            return Ok(CompletionStreamItem::Foreign);
        }
        let expected = self.next;
        let found = part.index_from;
        if found > expected {
            return Err(CompletionStreamError::Gap { expected, found });
        }
        let end = found.saturating_add(part.token_count);
        let ends = part.choices.iter().any(|c| c.finish_reason.is_some());
        // A last part may carry no token, only the finish reason.
        let adds = end > expected || (found == expected && ends);
        if self.finished || !adds {
            self.repeated += 1;
            return Ok(CompletionStreamItem::Repeated);
        }
        if found < expected {
            return Err(CompletionStreamError::Overlap { expected, found });
        }
        self.next = end;
        self.finished = ends;
        Ok(CompletionStreamItem::Chunk(part))
    }
}

fn parse(data: &str) -> Result<serde_json::Value, CompletionStreamError> {
    serde_json::from_str(data).map_err(|error| malformed(&error))
}

fn convert<T: serde::de::DeserializeOwned>(
    value: serde_json::Value,
) -> Result<T, CompletionStreamError> {
    serde_json::from_value(value).map_err(|error| malformed(&error))
}

fn malformed(error: &serde_json::Error) -> CompletionStreamError {
    CompletionStreamError::Malformed {
        message: error.to_string().into(),
    }
}
