//! Cursor over the tokens of a text, shared by the query and order parsers.
//!
//! The cursor records which tokens the parser tried at the current position,
//! for error messages and completion.

use std::fmt::Display;

use super::{
    TEXT_MAX_BYTES,
    error::QueryError,
    lexer::{Token, TokenKind, tokenize},
};

/// What the parser expects at a position.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Expectation {
    /// This word or symbol.
    Literal(&'static str),
    /// Any token that fits this description.
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

/// Consumes the tokens of a text in order. Expectations accumulate until a
/// token is consumed.
#[derive(Debug)]
pub(super) struct TokenCursor<'a> {
    text: &'a str,
    tokens: Vec<Token<'a>>,
    error: Option<QueryError>,
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
        let (tokens, error) = tokenize(text);
        Ok(Self {
            text,
            tokens,
            error,
            next: 0,
            expected: Vec::new(),
        })
    }

    /// The current token, without consuming it. Past the last token it is of
    /// kind [`TokenKind::End`], also where a lexical error follows.
    pub(super) fn peek(&self) -> Token<'a> {
        let end = Token {
            kind: TokenKind::End,
            start: self.text.len(),
            end: self.text.len(),
        };
        self.tokens.get(self.next).copied().unwrap_or(end)
    }

    /// Consumes the current token.
    pub(super) fn advance(&mut self) -> Token<'a> {
        let token = self.peek();
        self.next += 1;
        self.expected.clear();
        token
    }

    /// Consumes the current token if it is the keyword, in any case.
    pub(super) fn take_keyword(&mut self, word: &'static str) -> bool {
        let found = matches!(
            self.peek().kind,
            TokenKind::Word(text) if text.eq_ignore_ascii_case(word)
        );
        self.take_if(found, word)
    }

    /// Consumes the current token if it is the symbol.
    pub(super) fn take_symbol(&mut self, symbol: &'static str) -> bool {
        let found = self.peek().kind == TokenKind::Symbol(symbol);
        self.take_if(found, symbol)
    }

    fn take_if(&mut self, found: bool, literal: &'static str) -> bool {
        if found {
            self.advance();
        } else {
            self.note_expected(Expectation::Literal(literal));
        }
        found
    }

    /// Consumes the keyword; fails if the current token is another.
    pub(super) fn expect_keyword(
        &mut self,
        word: &'static str,
    ) -> Result<(), QueryError> {
        if self.take_keyword(word) {
            Ok(())
        } else {
            Err(self.unexpected_token())
        }
    }

    /// Consumes the symbol; fails if the current token is another.
    pub(super) fn expect_symbol(
        &mut self,
        symbol: &'static str,
    ) -> Result<(), QueryError> {
        if self.take_symbol(symbol) {
            Ok(())
        } else {
            Err(self.unexpected_token())
        }
    }

    /// Consumes a word; fails if the current token is not a word. `kind`
    /// describes the expected word in errors.
    pub(super) fn expect_word(
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
                self.note_expected(Expectation::Kind(kind));
                Err(self.unexpected_token())
            }
        }
    }

    /// Consumes a word and parses it to a value, such as an identifier.
    pub(super) fn parse_word<T: std::str::FromStr<Err: Display>>(
        &mut self,
        kind: &'static str,
    ) -> Result<T, QueryError> {
        let (word, token) = self.expect_word(kind)?;
        word.parse().map_err(|error: T::Err| {
            self.error_at(token, format!("expected {kind}: {error}"))
        })
    }

    /// Records that a token of this description is expected, for errors.
    pub(super) fn note_expected_kind(&mut self, kind: &'static str) {
        self.note_expected(Expectation::Kind(kind));
    }

    /// Records that this word is expected, for errors and completion.
    pub(super) fn note_expected_word(&mut self, word: &'static str) {
        self.note_expected(Expectation::Literal(word));
    }

    fn note_expected(&mut self, expectation: Expectation) {
        if !self.expected.contains(&expectation) {
            self.expected.push(expectation);
        }
    }

    /// Words that are expected at the current token.
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

    /// Whether all tokens were consumed and no lexical error follows.
    pub(super) fn at_end(&mut self) -> bool {
        let end = self.peek().kind == TokenKind::End && self.error.is_none();
        if !end {
            self.note_expected(Expectation::Kind("the end of the text"));
        }
        end
    }

    /// Fails unless the whole text was consumed.
    pub(super) fn expect_end(&mut self) -> Result<(), QueryError> {
        if self.at_end() {
            Ok(())
        } else {
            Err(self.unexpected_token())
        }
    }

    /// Error that the current token is not one of those expected. Where the
    /// tokens end at a lexical error, that error is returned instead.
    pub(super) fn unexpected_token(&self) -> QueryError {
        let token = self.peek();
        if token.kind == TokenKind::End
            && let Some(error) = &self.error
        {
            return error.clone();
        }
        let mut message = String::from("expected ");
        for (at, expected) in self.expected.iter().enumerate() {
            let last = at + 1 == self.expected.len();
            let separator = match at {
                0 => "",
                _ if last => " or ",
                _ => ", ",
            };
            message += &format!("{separator}{expected}");
        }
        message += ", found ";
        match token.kind {
            TokenKind::End => message += "the end of the text",
            _ => {
                message += &quote_shortened(&self.text[token.start..token.end])
            }
        }
        self.error_at(token, message)
    }

    /// Creates an error at the position of a token, with this message.
    pub(super) fn error_at(
        &self,
        token: Token<'_>,
        message: impl Into<std::sync::Arc<str>>,
    ) -> QueryError {
        QueryError::new(self.text, token.start, token.end, message)
    }

    /// Converts an error in the JSON of a token.
    pub(super) fn json_error(
        &self,
        token: Token<'_>,
        json: &str,
        error: &serde_json::Error,
    ) -> QueryError {
        super::lexer::json_error(self.text, token.start, json, error)
    }
}

/// Quotes a token for a message, shortened to 40 characters.
fn quote_shortened(text: &str) -> String {
    const MAX_CHARS: usize = 40;
    let clean = |char: char| if char.is_control() { ' ' } else { char };
    let short: String = text.chars().take(MAX_CHARS).map(clean).collect();
    let more = if short.len() < text.len() { ".." } else { "" };
    format!("`{short}{more}`")
}

/// The known name most similar to a mistyped one, to be suggested in an error.
/// `None` if none is similar enough.
pub(super) fn most_similar<'n>(
    name: &str,
    names: impl Iterator<Item = &'n str>,
) -> Option<&'n str> {
    const SIMILARITY_MIN: f64 = 0.75;
    names
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|(similarity, _)| *similarity >= SIMILARITY_MIN)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, known)| known)
}
