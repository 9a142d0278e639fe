//! Errors of the language, with their place in the text.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

use crate::value_type;

/// Characters of a line shown on either side of the faulty place.
const SHOWN_CHARS: usize = 60;

value_type! {
    /// Why a text is no query or order.
    pub struct QueryError {
        /// Byte offset of the faulty place.
        pub offset: usize,
        /// Line, from one.
        pub line: usize,
        /// Column in characters, from one; one past the line at its end.
        pub column: usize,
        /// Characters that are wrong.
        pub length: usize,
        /// What was expected and found.
        pub message: Arc<str>,
    }
}

impl QueryError {
    /// A fault of a part of a text, in bytes. Offsets outside the text or
    /// inside a character are moved to the next place before them.
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

    /// The message, the line and a caret under the faulty place.
    pub fn render(&self, text: &str) -> String {
        let line = text.split('\n').nth(self.line - 1).unwrap_or_default();
        let before = self.column - 1;
        let skipped = before.saturating_sub(SHOWN_CHARS);
        let shown: String = line
            .chars()
            .skip(skipped)
            .take(2 * SHOWN_CHARS)
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
