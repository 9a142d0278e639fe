//! Conditions on rows: their grammar and what they mean.

use std::{cmp::Ordering, sync::Arc};

use super::{
    FILTER_DEPTH_MAX,
    error::QueryError,
    lexer::{TokenKind, number},
    query_parser::column,
    schema::{ColumnKind, QueryTable},
    token_cursor::TokenCursor,
    value::CellValue,
};

/// A condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub enum RowFilter {
    /// All of them hold.
    All(Vec<Self>),
    /// One of them holds.
    Any(Vec<Self>),
    /// It does not hold.
    Not(Box<Self>),
    /// A column compares in a way.
    Compare(usize, Comparison, FilterLiteral),
}

/// How a column and a literal are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Equal.
    Equal,
    /// Different.
    Differs,
    /// Less.
    Less,
    /// At most.
    AtMost,
    /// Greater.
    Greater,
    /// At least.
    AtLeast,
    /// Text has a part, or a list an element.
    Contains,
}

/// A constant of a filter. It is read as the kind of the column says.
#[derive(Clone, Debug, PartialEq)]
pub struct FilterLiteral {
    text: Arc<str>,
    number: Option<f64>,
    is_null: bool,
}

impl RowFilter {
    /// Whether a row fulfils the condition.
    pub fn holds(&self, row: &[CellValue]) -> bool {
        match self {
            Self::All(parts) => parts.iter().all(|part| part.holds(row)),
            Self::Any(parts) => parts.iter().any(|part| part.holds(row)),
            Self::Not(inner) => !inner.holds(row),
            Self::Compare(column, comparison, literal) => row
                .get(*column)
                .is_some_and(|cell| compare(cell, *comparison, literal)),
        }
    }
}

/// A cell that is not known equals only `null` and compares with nothing.
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
        cell_order(cell, literal)
    };
    match comparison {
        Comparison::Equal => order == Some(Ordering::Equal),
        Comparison::Differs => order != Some(Ordering::Equal),
        Comparison::Less => order == Some(Ordering::Less),
        Comparison::AtMost => order.is_some_and(Ordering::is_le),
        Comparison::Greater => order == Some(Ordering::Greater),
        Comparison::AtLeast => order.is_some_and(Ordering::is_ge),
        Comparison::Contains => false,
    }
}

fn cell_order(cell: &CellValue, literal: &FilterLiteral) -> Option<Ordering> {
    match cell {
        CellValue::Null => None,
        CellValue::Flag(flag) => {
            let wanted: bool = literal.text.parse().ok()?;
            Some(flag.cmp(&wanted))
        }
        CellValue::Whole(_) | CellValue::Number(_) => {
            cell.number()?.partial_cmp(&literal.number?)
        }
        CellValue::Text(text) => Some((**text).cmp(&*literal.text)),
        CellValue::List(items) => {
            Some(items.join(",").as_str().cmp(&literal.text))
        }
    }
}

pub(super) fn filter(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
    depth: usize,
) -> Result<RowFilter, QueryError> {
    let mut parts = vec![conjunction(reader, table, depth)?];
    while reader.keyword("or") {
        parts.push(conjunction(reader, table, depth)?);
    }
    Ok(RowFilter::Any(parts))
}

fn conjunction(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
    depth: usize,
) -> Result<RowFilter, QueryError> {
    let mut parts = vec![term(reader, table, depth)?];
    while reader.keyword("and") {
        parts.push(term(reader, table, depth)?);
    }
    Ok(RowFilter::All(parts))
}

fn term(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
    depth: usize,
) -> Result<RowFilter, QueryError> {
    if depth >= FILTER_DEPTH_MAX {
        let message = format!("nested more than {FILTER_DEPTH_MAX} deep");
        return Err(reader.fault_at(reader.peek(), message));
    }
    if reader.keyword("not") {
        let inner = term(reader, table, depth + 1)?;
        return Ok(RowFilter::Not(Box::new(inner)));
    }
    if reader.symbol("(") {
        let inner = filter(reader, table, depth + 1)?;
        reader.need_symbol(")")?;
        return Ok(inner);
    }
    let (at, _) = column(reader, table)?;
    let comparison = comparison(reader)?;
    let literal = literal(reader, table, at, comparison)?;
    Ok(RowFilter::Compare(at, comparison, literal))
}

fn comparison(reader: &mut TokenCursor<'_>) -> Result<Comparison, QueryError> {
    const SYMBOLS: &[(&str, Comparison)] = &[
        ("=", Comparison::Equal),
        ("!=", Comparison::Differs),
        ("<", Comparison::Less),
        ("<=", Comparison::AtMost),
        (">", Comparison::Greater),
        (">=", Comparison::AtLeast),
    ];
    for (symbol, comparison) in SYMBOLS {
        if reader.symbol(symbol) {
            return Ok(*comparison);
        }
    }
    reader.need_keyword("contains")?;
    Ok(Comparison::Contains)
}

fn literal(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
    column: usize,
    comparison: Comparison,
) -> Result<FilterLiteral, QueryError> {
    let token = reader.peek();
    let (text, bare) = match token.kind {
        TokenKind::Word(text) => (text, true),
        TokenKind::Quoted(text) => (text, false),
        _ => {
            reader.expect_kind("a value");
            return Err(reader.unexpected());
        }
    };
    let literal = FilterLiteral {
        text: text.into(),
        number: number(text),
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
        return Err(reader.fault_at(token, message));
    }
    if !fits {
        let wanted = match kind {
            ColumnKind::Number => "a number, perhaps with ms, s, m or h",
            _ => "true or false",
        };
        let message = format!("expected {wanted} to compare with `{name}`");
        return Err(reader.fault_at(token, message));
    }
    reader.advance();
    Ok(literal)
}
