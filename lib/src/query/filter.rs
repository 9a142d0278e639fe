//! Row filters: the grammar of `where` clauses and their evaluation.

use std::{cmp::Ordering, sync::Arc};

use super::{
    FILTER_DEPTH_MAX,
    error::QueryError,
    lexer::{TokenKind, parse_number},
    query_parser::column,
    schema::{ColumnKind, QueryTable},
    token_cursor::TokenCursor,
    value::CellValue,
};

/// A condition on the cells of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum RowFilter {
    /// All of the conditions hold.
    All(Vec<Self>),
    /// At least one of the conditions holds.
    Any(Vec<Self>),
    /// The condition does not hold.
    Not(Box<Self>),
    /// The cell at a column position compares to a literal as stated.
    Compare(usize, Comparison, FilterLiteral),
}

/// Operator that compares a cell with a literal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `contains`: a text has a substring, or a list an element.
    Contains,
}

/// A literal of a filter, interpreted by the kind of the column with which it
/// is compared.
#[derive(Clone, Debug, PartialEq)]
pub struct FilterLiteral {
    text: Arc<str>,
    number: Option<f64>,
    is_null: bool,
}

impl RowFilter {
    /// Whether the condition holds for a row.
    pub fn matches(&self, row: &[CellValue]) -> bool {
        match self {
            Self::All(conditions) => {
                conditions.iter().all(|condition| condition.matches(row))
            }
            Self::Any(conditions) => {
                conditions.iter().any(|condition| condition.matches(row))
            }
            Self::Not(inner) => !inner.matches(row),
            Self::Compare(column, comparison, literal) => row
                .get(*column)
                .is_some_and(|cell| compare(cell, *comparison, literal)),
        }
    }
}

/// Evaluates a comparison. A `Null` cell equals the literal `null` only; with
/// any other literal, no operator but `!=` holds for it.
fn compare(
    cell: &CellValue,
    comparison: Comparison,
    literal: &FilterLiteral,
) -> bool {
    if comparison == Comparison::Contains {
        return match cell {
            CellValue::Text(text) => text.contains(&*literal.text),
            CellValue::List(items) => items.contains(&literal.text),
            _ => false,
        };
    }
    let order = if literal.is_null {
        matches!(cell, CellValue::Null).then_some(Ordering::Equal)
    } else {
        compare_cell(cell, literal)
    };
    match comparison {
        Comparison::Equal => order == Some(Ordering::Equal),
        Comparison::NotEqual => order != Some(Ordering::Equal),
        Comparison::Less => order == Some(Ordering::Less),
        Comparison::LessOrEqual => order.is_some_and(Ordering::is_le),
        Comparison::Greater => order == Some(Ordering::Greater),
        Comparison::GreaterOrEqual => order.is_some_and(Ordering::is_ge),
        Comparison::Contains => false,
    }
}

fn compare_cell(cell: &CellValue, literal: &FilterLiteral) -> Option<Ordering> {
    match cell {
        CellValue::Null => None,
        CellValue::Flag(flag) => {
            let wanted: bool = literal.text.parse().ok()?;
            Some(flag.cmp(&wanted))
        }
        CellValue::Integer(_) | CellValue::Float(_) => {
            cell.number()?.partial_cmp(&literal.number?)
        }
        CellValue::Text(text) => Some((**text).cmp(&*literal.text)),
        CellValue::List(items) => {
            Some(items.join(",").as_str().cmp(&literal.text))
        }
    }
}

pub(super) fn filter(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
    depth: usize,
) -> Result<RowFilter, QueryError> {
    let mut conditions = vec![conjunction(cursor, table, depth)?];
    while cursor.take_keyword("or") {
        conditions.push(conjunction(cursor, table, depth)?);
    }
    Ok(RowFilter::Any(conditions))
}

fn conjunction(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
    depth: usize,
) -> Result<RowFilter, QueryError> {
    let mut conditions = vec![term(cursor, table, depth)?];
    while cursor.take_keyword("and") {
        conditions.push(term(cursor, table, depth)?);
    }
    Ok(RowFilter::All(conditions))
}

fn term(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
    depth: usize,
) -> Result<RowFilter, QueryError> {
    if depth >= FILTER_DEPTH_MAX {
        let message = format!("nested more than {FILTER_DEPTH_MAX} deep");
        return Err(cursor.error_at(cursor.peek(), message));
    }
    if cursor.take_keyword("not") {
        let inner = term(cursor, table, depth + 1)?;
        return Ok(RowFilter::Not(Box::new(inner)));
    }
    if cursor.take_symbol("(") {
        let inner = filter(cursor, table, depth + 1)?;
        cursor.expect_symbol(")")?;
        return Ok(inner);
    }
    let (at, _) = column(cursor, table)?;
    let comparison = comparison(cursor)?;
    let literal = literal(cursor, table, at, comparison)?;
    Ok(RowFilter::Compare(at, comparison, literal))
}

fn comparison(cursor: &mut TokenCursor<'_>) -> Result<Comparison, QueryError> {
    const SYMBOLS: &[(&str, Comparison)] = &[
        ("=", Comparison::Equal),
        ("!=", Comparison::NotEqual),
        ("<", Comparison::Less),
        ("<=", Comparison::LessOrEqual),
        (">", Comparison::Greater),
        (">=", Comparison::GreaterOrEqual),
    ];
    for (take_symbol, comparison) in SYMBOLS {
        if cursor.take_symbol(take_symbol) {
            return Ok(*comparison);
        }
    }
    cursor.expect_keyword("contains")?;
    Ok(Comparison::Contains)
}

fn literal(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
    column: usize,
    comparison: Comparison,
) -> Result<FilterLiteral, QueryError> {
    let token = cursor.peek();
    let (text, bare) = match token.kind {
        TokenKind::Word(text) => (text, true),
        TokenKind::Quoted(text) => (text, false),
        _ => {
            cursor.note_expected_kind("a value");
            return Err(cursor.unexpected_token());
        }
    };
    let literal = FilterLiteral {
        text: text.into(),
        number: parse_number(text),
        is_null: bare && text.eq_ignore_ascii_case("null"),
    };
    let (name, kind) = table.columns()[column];
    let fits = match kind {
        _ if literal.is_null => true,
        ColumnKind::Number => literal.number.is_some(),
        ColumnKind::Flag => matches!(text, "true" | "false"),
        ColumnKind::Text | ColumnKind::List => true,
    };
    let textual = matches!(kind, ColumnKind::Text | ColumnKind::List);
    if comparison == Comparison::Contains && !textual {
        let message = format!("`{name}` is neither text nor a list");
        return Err(cursor.error_at(token, message));
    }
    if !fits {
        let wanted = match kind {
            ColumnKind::Number => "a number, perhaps with ms, s, m or h",
            _ => "true or false",
        };
        let message = format!("expected {wanted} to compare with `{name}`");
        return Err(cursor.error_at(token, message));
    }
    cursor.advance();
    Ok(literal)
}
