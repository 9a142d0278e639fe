//! The operators' language: queries about the fleet, and orders in words.
//!
//! One grammar serves both. [`parse_query`] reads a question and
//! [`parse_order`] a list of changes; neither needs the fleet's state, so that
//! the command line can check a text before it sends it. Every error names a
//! line and a column inside the text and what was expected there; no text
//! makes the parser panic. [`complete_query`] and [`complete_order`] offer
//! what may follow, from the same parser.
//!
//! Rows come from the core. Each instance filters and bounds its own rows with
//! [`TableQuery::collect`]; the instance that was asked merges the parts with
//! [`merge`], which also groups, sorts and says what is missing.

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

pub(crate) use self::replicated_rows::{drain_mode, engine_row};
pub use self::{
    error::QueryError,
    evaluate::{
        INSTANCE_ROWS_MAX, INSTANCE_ROWS_MAX_BYTES, InstanceRows, MergeInput,
        QueryResponse, RESPONSE_ROWS_MAX, TruncatedRows, UnansweredInstance,
        encode_bounded, merge,
    },
    filter::{Comparison, FilterLiteral, RowFilter},
    order_parser::{ParsedOrder, ParsedOrders, parse_order},
    preview::{OrderPreview, ValueChange},
    query_parser::{
        AggregateKind, OrderKey, QueryStatement, SelectItem, TableQuery,
        parse_query,
    },
    replicated_rows::{ListedUpstream, ReplicatedState},
    schema::{ColumnKind, EXPLAIN_COLUMNS, QueryTable, TableColumn},
    value::{CellValue, TableRow},
};

/// Longest text of a query or order, in bytes.
pub const TEXT_MAX_BYTES: usize = 64 << 10;
/// Deepest nesting of `not` and parentheses. The parser descends once for each
/// level, so the bound keeps hostile text from using up the stack.
pub const FILTER_DEPTH_MAX: usize = 32;
/// Most orders in one text.
pub const ORDERS_MAX: usize = 256;

/// Continuations of the beginning of a query, each a whole text.
pub fn complete_query(text: &str) -> Vec<String> {
    complete(text, |reader| query_parser::statement(reader).err())
}

/// Continuations of the beginning of an order, each a whole text.
pub fn complete_order(text: &str) -> Vec<String> {
    complete(text, |reader| order_parser::orders(reader).err())
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
    let Ok(mut reader) = token_cursor::TokenCursor::new(head) else {
        return Vec::new();
    };
    let fault = parse(&mut reader);
    if fault.is_some_and(|fault| fault.offset < head.trim_end().len()) {
        return Vec::new();
    }
    let words = reader.expected_words();
    words
        .filter(|word| word.starts_with(partial))
        .map(|word| format!("{head}{word}"))
        .collect()
}
