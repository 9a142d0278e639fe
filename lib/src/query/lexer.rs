//! Lexer: splits a text into words, quoted strings, symbols and JSON objects.

use serde::de::IgnoredAny;
use winnow::{
    LocatingSlice, Parser,
    ascii::multispace0,
    combinator::{alt, delimited},
    token::{one_of, take_till, take_while},
};

use super::error::QueryError;

type Input<'a> = LocatingSlice<&'a str>;

/// Characters that end a word, besides white space and control characters.
const SEPARATORS: &str = ",;()*=<>!\"'{}[]";

/// Kind of a token, with its text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TokenKind<'a> {
    /// A keyword, name or number.
    Word(&'a str),
    /// A string in single or double quotes, without the quotes.
    Quoted(&'a str),
    /// A separator, parenthesis or operator.
    Symbol(&'a str),
    /// A JSON object.
    Json(&'a str),
    /// The end of the text.
    End,
}

/// A token with its byte range in the text, including quotes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Token<'a> {
    pub(super) kind: TokenKind<'a>,
    pub(super) start: usize,
    pub(super) end: usize,
}

/// Splits a text into tokens, up to the first lexical error. The error is
/// returned beside the tokens that precede it.
pub(super) fn tokenize(text: &str) -> (Vec<Token<'_>>, Option<QueryError>) {
    let mut tokens = Vec::new();
    let mut at = 0;
    loop {
        at += text[at..].len() - text[at..].trim_start().len();
        let rest = &text[at..];
        if rest.is_empty() {
            return (tokens, None);
        }
        let scanned = if rest.starts_with('{') {
            scan_json(text, at)
        } else {
            scan(text, at)
        };
        match scanned {
            Ok(token) => {
                at = token.end;
                tokens.push(token);
            }
            Err(error) => return (tokens, Some(error)),
        }
    }
}

fn scan(text: &str, at: usize) -> Result<Token<'_>, QueryError> {
    let mut input = Input::new(&text[at..]);
    match token.with_span().parse_next(&mut input) {
        Ok((kind, span)) => Ok(Token {
            kind,
            start: at + span.start,
            end: at + span.end,
        }),
        Err(_) => Err(lexical_error(text, at)),
    }
}

fn token<'a>(input: &mut Input<'a>) -> winnow::Result<TokenKind<'a>> {
    alt((
        word.map(TokenKind::Word),
        quoted.map(TokenKind::Quoted),
        symbol.map(TokenKind::Symbol),
    ))
    .parse_next(input)
}

fn word<'a>(input: &mut Input<'a>) -> winnow::Result<&'a str> {
    let is_word_char = |char: char| {
        !char.is_whitespace()
            && !char.is_control()
            && !SEPARATORS.contains(char)
    };
    take_while(1.., is_word_char).parse_next(input)
}

fn quoted<'a>(input: &mut Input<'a>) -> winnow::Result<&'a str> {
    alt((
        delimited('"', take_till(0.., '"'), '"'),
        delimited('\'', take_till(0.., '\''), '\''),
    ))
    .parse_next(input)
}

fn symbol<'a>(input: &mut Input<'a>) -> winnow::Result<&'a str> {
    let single = one_of(['=', '<', '>', '(', ')', ',', ';', '*']).take();
    alt(("<=", ">=", "!=", single)).parse_next(input)
}

fn lexical_error(text: &str, at: usize) -> QueryError {
    let char = text[at..].chars().next().unwrap_or_default();
    if matches!(char, '"' | '\'') {
        let message = format!("the text in quotes has no closing {char}");
        return QueryError::new(text, at, text.len(), message);
    }
    let message = format!("unexpected character {char:?}");
    QueryError::new(text, at, at + char.len_utf8(), message)
}

fn scan_json(text: &str, at: usize) -> Result<Token<'_>, QueryError> {
    let rest = &text[at..];
    let decoder = serde_json::Deserializer::from_str(rest);
    let mut values = decoder.into_iter::<IgnoredAny>();
    match values.next() {
        Some(Ok(_)) => {
            let length = values.byte_offset();
            Ok(Token {
                kind: TokenKind::Json(&rest[..length]),
                start: at,
                end: at + length,
            })
        }
        Some(Err(error)) => Err(json_error(text, at, rest, &error)),
        None => Err(QueryError::new(text, at, at, "expected a JSON object")),
    }
}

/// Converts a JSON error to an error in the text, at the line and column that
/// the JSON error names. `at` is the byte offset of the JSON in the text.
pub(super) fn json_error(
    text: &str,
    at: usize,
    json: &str,
    error: &serde_json::Error,
) -> QueryError {
    let lines = json.split_inclusive('\n').take(error.line().max(1) - 1);
    let line_start: usize = lines.map(str::len).sum();
    let position = at + line_start + error.column().saturating_sub(1);
    let cause = error.to_string();
    let cause = cause.split(" at line ").next().unwrap_or_default();
    let message = match error.classify() {
        serde_json::error::Category::Data => cause.to_owned(),
        _ => format!("invalid JSON: {cause}"),
    };
    QueryError::new(text, position, position + 1, message)
}

/// Parses a number with an optional unit of time: `ms`, `s`, `m` or `h`. A
/// number with a unit is converted to seconds.
pub(super) fn parse_number(text: &str) -> Option<f64> {
    let scaled = [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("h", 3_600.0)];
    let unit = scaled.iter().find_map(|(unit, scale)| {
        text.strip_suffix(unit).map(|number| (number, *scale))
    });
    let (digits, scale) = unit.unwrap_or((text, 1.0));
    let mut input = Input::new(digits);
    let parsed = delimited(
        multispace0::<_, winnow::error::ContextError>,
        winnow::ascii::float::<_, f64, _>,
        multispace0,
    )
    .parse_next(&mut input)
    .ok()?;
    (input.is_empty() && parsed.is_finite()).then_some(parsed * scale)
}
