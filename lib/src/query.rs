//! The operators' language: queries about the fleet, and orders that change it.
//!
//! Queries and orders share a lexer and a token cursor. [`parse_query`] parses
//! a query and [`parse_order`] a list of changes. Neither needs the state of
//! the fleet, so that the command line can check a text before it is sent.
//! Every error gives a line and a column and what was expected there; no input
//! makes the parsers panic. [`complete_query`] and [`complete_order`] run the
//! same parsers to suggest continuations.
//!
//! The core supplies the rows. Each instance filters, sorts and bounds its own
//! rows with [`TableQuery::filter_and_project`] and [`encode_bounded`]. The
//! instance that received the query passes the rows of all instances to
//! [`merge`], which groups and sorts them and lists the instances and rows that
//! are missing.

mod error;
mod evaluate;
mod filter;
mod lexer;
mod order_parser;
mod preview;
mod query_parser;
mod replicated_rows;
mod schema;
mod token_cursor;
mod value;

pub(crate) use self::replicated_rows::{drain_mode_name, engine_row};
pub use self::{
    error::QueryError,
    evaluate::{
        INSTANCE_ROWS_MAX, INSTANCE_ROWS_MAX_BYTES, InstanceRows, MergeInput,
        QueryResponse, RESPONSE_ROWS_MAX, TruncatedRows, UnansweredInstance,
        encode_bounded, merge,
    },
    filter::{Comparison, FilterLiteral, RowFilter},
    order_parser::{ParsedChange, ParsedOrder, parse_order},
    preview::{OrderPreview, ValueChange},
    query_parser::{
        AggregateKind, OrderKey, QueryStatement, SelectItem, TableQuery,
        parse_query,
    },
    replicated_rows::{ListedUpstream, ReplicatedState},
    schema::{ColumnKind, EXPLAIN_COLUMNS, QueryTable, TableColumn},
    value::{CellValue, TableRow},
};

/// Maximum length of the text of a query or order, in bytes.
pub const TEXT_MAX_BYTES: usize = 64 << 10;
/// Maximum nesting of `not` and parentheses. The parser recurses once per
/// level; the bound keeps hostile text from overflowing the stack.
pub const FILTER_DEPTH_MAX: usize = 32;
/// Maximum number of changes in the text of one order.
pub const ORDER_CHANGES_MAX: usize = 256;

/// Possible continuations of an incomplete query. Each is the text up to its
/// last word, followed by a word that may stand there.
pub fn complete_query(text: &str) -> Vec<String> {
    complete(text, |cursor| query_parser::statement(cursor).err())
}

/// Possible continuations of an incomplete order, in the form of
/// [`complete_query`].
pub fn complete_order(text: &str) -> Vec<String> {
    complete(text, |cursor| order_parser::orders(cursor).err())
}

fn complete(
    text: &str,
    parse: impl Fn(&mut token_cursor::TokenCursor<'_>) -> Option<QueryError>,
) -> Vec<String> {
    let split = text.rfind(|char: char| char.is_whitespace() || char == ',');
    let split = split.map_or(0, |at| {
        at + text[at..].chars().next().map_or(0, char::len_utf8)
    });
    let (head, partial) = text.split_at(split);
    let Ok(mut cursor) = token_cursor::TokenCursor::new(head) else {
        return Vec::new();
    };
    let error = parse(&mut cursor);
    if error.is_some_and(|error| error.offset < head.trim_end().len()) {
        return Vec::new();
    }
    let words = cursor.expected_words();
    words
        .filter(|word| word.starts_with(partial))
        .map(|word| format!("{head}{word}"))
        .collect()
}
