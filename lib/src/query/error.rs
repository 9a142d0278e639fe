//! Errors of parsing a query or order, with their position in the text.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

use crate::value_type;

/// Maximum number of characters of the line shown before an error. Twice as
/// many are shown in total.
const CONTEXT_CHARS: usize = 60;

value_type! {
    /// Error for text that is not a valid query or order.
    pub struct QueryError {
        /// Byte offset of the invalid part of the text.
        pub offset: usize,
        /// Line number, from one.
        pub line: usize,
        /// Column number in characters, from one. At the end of a line it is
        /// one more than the length of the line.
        pub column: usize,
        /// Length of the invalid part, in characters. May be zero.
        pub length: usize,
        /// Description of what was expected and what was found.
        pub message: Arc<str>,
    }
}

impl QueryError {
    /// Creates an error for the bytes `start..end` of a text. Offsets beyond
    /// the text or inside a character are rounded down to a valid position.
    pub(super) fn new(
        text: &str,
        start: usize,
        end: usize,
        message: impl Into<Arc<str>>,
    ) -> Self {
        let start = floor_boundary(text, start);
        let end = floor_boundary(text, end.max(start));
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            offset: start,
            line: before.matches('\n').count() + 1,
            column: text[line_start..start].chars().count() + 1,
            length: text[start..end].chars().count(),
            message: message.into(),
        }
    }

    /// Formats the message, the line and carets under the invalid part.
    pub fn render(&self, text: &str) -> String {
        let line = text.split('\n').nth(self.line - 1).unwrap_or_default();
        let before = self.column - 1;
        let skipped = before.saturating_sub(CONTEXT_CHARS);
        let shown: String = line
            .chars()
            .skip(skipped)
            .take(2 * CONTEXT_CHARS)
            .map(|char| if char.is_control() { ' ' } else { char })
            .collect();
        let indent = before - skipped;
        let room = shown.chars().count().saturating_sub(indent);
        let carets = "^".repeat(self.length.clamp(1, room.max(1)));
        let space = " ".repeat(indent);
        format!("{self}\n  {shown}\n  {space}{carets}")
    }
}

impl Display for QueryError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            line,
            column,
            message,
            ..
        } = self;
        write!(formatter, "line {line}, column {column}: {message}")
    }
}

impl std::error::Error for QueryError {}

fn floor_boundary(text: &str, offset: usize) -> usize {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    offset
}
