//! The tokens of a text, and what the parser expected at the present one.

use std::fmt::Display;

use super::{
    TEXT_MAX_BYTES,
    error::QueryError,
    lexer::{Token, TokenKind, split},
};

/// Something that may stand at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Expectation {
    /// A word or symbol as it stands.
    Literal(&'static str),
    /// Any text of a kind.
    Kind(&'static str),
}

impl Display for Expectation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Literal(text) => write!(formatter, "`{text}`"),
            Self::Kind(text) => formatter.write_str(text),
        }
    }
}

/// Reads tokens one after the other. What was tried at the present token is
/// remembered until one is taken, for error messages and completion.
#[derive(Debug)]
pub(super) struct TokenCursor<'a> {
    text: &'a str,
    tokens: Vec<Token<'a>>,
    fault: Option<QueryError>,
    next: usize,
    expected: Vec<Expectation>,
}

impl<'a> TokenCursor<'a> {
    pub(super) fn new(text: &'a str) -> Result<Self, QueryError> {
        if text.len() > TEXT_MAX_BYTES {
            let message = format!("the text is longer than {TEXT_MAX_BYTES} B");
            return Err(QueryError::new(
                text,
                TEXT_MAX_BYTES,
                TEXT_MAX_BYTES,
                message,
            ));
        }
        let (tokens, fault) = split(text);
        Ok(Self {
            text,
            tokens,
            fault,
            next: 0,
            expected: Vec::new(),
        })
    }

    /// The present token.
    pub(super) fn peek(&self) -> Token<'a> {
        let end = Token {
            kind: TokenKind::End,
            start: self.text.len(),
            end: self.text.len(),
        };
        self.tokens.get(self.next).copied().unwrap_or(end)
    }

    /// Takes the present token.
    pub(super) fn advance(&mut self) -> Token<'a> {
        let token = self.peek();
        self.next += 1;
        self.expected.clear();
        token
    }

    /// Takes a keyword if it stands here.
    pub(super) fn keyword(&mut self, word: &'static str) -> bool {
        let found = matches!(
            self.peek().kind,
            TokenKind::Word(text) if text.eq_ignore_ascii_case(word)
        );
        self.take_if(found, word)
    }

    /// Takes a symbol if it stands here.
    pub(super) fn symbol(&mut self, symbol: &'static str) -> bool {
        let found = self.peek().kind == TokenKind::Symbol(symbol);
        self.take_if(found, symbol)
    }

    fn take_if(&mut self, found: bool, literal: &'static str) -> bool {
        if found {
            self.advance();
        } else {
            self.expect(Expectation::Literal(literal));
        }
        found
    }

    /// Takes a keyword that must stand here.
    pub(super) fn need_keyword(
        &mut self,
        word: &'static str,
    ) -> Result<(), QueryError> {
        if self.keyword(word) {
            Ok(())
        } else {
            Err(self.unexpected())
        }
    }

    /// Takes a symbol that must stand here.
    pub(super) fn need_symbol(
        &mut self,
        symbol: &'static str,
    ) -> Result<(), QueryError> {
        if self.symbol(symbol) {
            Ok(())
        } else {
            Err(self.unexpected())
        }
    }

    /// Takes a word of a kind.
    pub(super) fn word(
        &mut self,
        kind: &'static str,
    ) -> Result<(&'a str, Token<'a>), QueryError> {
        match self.peek() {
            token @ Token {
                kind: TokenKind::Word(word),
                ..
            } => {
                self.advance();
                Ok((word, token))
            }
            _ => {
                self.expect(Expectation::Kind(kind));
                Err(self.unexpected())
            }
        }
    }

    /// Takes a word that is parsed to a value, such as an identifier.
    pub(super) fn parsed<T: std::str::FromStr<Err: Display>>(
        &mut self,
        kind: &'static str,
    ) -> Result<T, QueryError> {
        let (word, token) = self.word(kind)?;
        word.parse().map_err(|error: T::Err| {
            self.fault_at(token, format!("expected {kind}: {error}"))
        })
    }

    /// Remembers that a text of a kind may stand here.
    pub(super) fn expect_kind(&mut self, kind: &'static str) {
        self.expect(Expectation::Kind(kind));
    }

    /// Remembers that a word may stand here.
    pub(super) fn expect_word(&mut self, word: &'static str) {
        self.expect(Expectation::Literal(word));
    }

    fn expect(&mut self, expectation: Expectation) {
        if !self.expected.contains(&expectation) {
            self.expected.push(expectation);
        }
    }

    /// Words that were tried at the present place.
    pub(super) fn expected_words(&self) -> impl Iterator<Item = &'static str> {
        self.expected.iter().filter_map(|expected| match expected {
            Expectation::Literal(text)
                if text.starts_with(|char: char| char.is_alphabetic()) =>
            {
                Some(*text)
            }
            _ => None,
        })
    }

    /// Whether the whole text was read.
    pub(super) fn at_end(&mut self) -> bool {
        let end = self.peek().kind == TokenKind::End && self.fault.is_none();
        if !end {
            self.expect(Expectation::Kind("the end of the text"));
        }
        end
    }

    /// Makes sure that the whole text was read.
    pub(super) fn need_end(&mut self) -> Result<(), QueryError> {
        if self.at_end() {
            Ok(())
        } else {
            Err(self.unexpected())
        }
    }

    /// Fault of the present token, which is none of what was tried.
    pub(super) fn unexpected(&self) -> QueryError {
        let token = self.peek();
        if token.kind == TokenKind::End
            && let Some(fault) = &self.fault
        {
            return fault.clone();
        }
        let mut message = String::from("expected ");
        for (at, expected) in self.expected.iter().enumerate() {
            let last = at + 1 == self.expected.len();
            let joint = match at {
                0 => "",
                _ if last => " or ",
                _ => ", ",
            };
            message += &format!("{joint}{expected}");
        }
        message += ", found ";
        match token.kind {
            TokenKind::End => message += "the end of the text",
            _ => message += &shorten(&self.text[token.start..token.end]),
        }
        self.fault_at(token, message)
    }

    /// A fault of a token.
    pub(super) fn fault_at(
        &self,
        token: Token<'_>,
        message: impl Into<std::sync::Arc<str>>,
    ) -> QueryError {
        QueryError::new(self.text, token.start, token.end, message)
    }

    /// A fault of JSON inside a token.
    pub(super) fn json_fault(
        &self,
        token: Token<'_>,
        json: &str,
        error: &serde_json::Error,
    ) -> QueryError {
        super::lexer::json_fault(self.text, token.start, json, error)
    }
}

/// A part of the text for a message, in backquotes and of bounded length.
fn shorten(text: &str) -> String {
    const MAX_CHARS: usize = 40;
    let clean = |char: char| if char.is_control() { ' ' } else { char };
    let short: String = text.chars().take(MAX_CHARS).map(clean).collect();
    let more = if short.len() < text.len() { ".." } else { "" };
    format!("`{short}{more}`")
}

/// The name nearest to a mistyped one, for a hint.
pub(super) fn nearest<'n>(
    name: &str,
    names: impl Iterator<Item = &'n str>,
) -> Option<&'n str> {
    const LIKENESS_MIN: f64 = 0.75;
    names
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|(likeness, _)| *likeness >= LIKENESS_MIN)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, known)| known)
}
