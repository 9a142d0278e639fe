//! Parser of queries, for this grammar:
//!
//! ```text
//! statement = "explain" REQUEST
//!           | [ "select" items "from" ] TABLE [ "where" filter ]
//!             [ "group" "by" columns ] [ "order" "by" keys ] [ "limit" N ]
//! items     = "*" | item { "," item }
//! item      = COLUMN | "count" [ "(" "*" ")" ]
//!           | ( "sum" | "min" | "max" | "avg" ) "(" COLUMN ")"
//! keys      = item [ "asc" | "desc" ] { "," item [ "asc" | "desc" ] }
//! filter    = conj { "or" conj }
//! conj      = term { "and" term }
//! term      = "not" term | "(" filter ")" | COLUMN operator LITERAL
//! operator  = "=" | "!=" | "<" | "<=" | ">" | ">=" | "contains"
//! ```

use super::{
    error::QueryError,
    filter::{RowFilter, filter},
    lexer::{Token, TokenKind},
    schema::{ColumnKind, QueryTable},
    token_cursor::{TokenCursor, most_similar},
};
use crate::ids::RequestId;

/// A parsed query, with columns resolved to their positions.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryStatement {
    /// Selects rows of a table.
    Table(TableQuery),
    /// Shows the trace of a request.
    Explain(RequestId),
}

/// A query for rows of a table. Columns are given by position.
#[derive(Clone, Debug, PartialEq)]
pub struct TableQuery {
    /// Table whose rows are selected.
    pub table: QueryTable,
    /// Columns of the response; never empty.
    pub select: Vec<SelectItem>,
    /// Condition of the `where` clause; `None` selects all rows.
    pub filter: Option<RowFilter>,
    /// Columns of the `group by` clause; empty without one.
    pub group_by: Vec<usize>,
    /// Sort keys, the most significant first; empty without `order by`.
    pub order_by: Vec<OrderKey>,
    /// Maximum number of rows in the response; `None` without `limit`.
    pub limit: Option<usize>,
}

/// An item of a `select` or `order by` clause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectItem {
    /// The column at a position.
    Column(usize),
    /// Number of rows in a group.
    Count,
    /// An aggregate of the column at a position over the rows of a group.
    Aggregate(AggregateKind, usize),
}

/// Aggregate function over the rows of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregateKind {
    /// Sum of numbers.
    Sum,
    /// Smallest value.
    Min,
    /// Largest value.
    Max,
    /// Arithmetic mean of numbers.
    Avg,
}

impl AggregateKind {
    const ALL: &'static [Self] = &[Self::Sum, Self::Min, Self::Max, Self::Avg];

    /// Name of the function in queries.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Sum => "sum",
            Self::Min => "min",
            Self::Max => "max",
            Self::Avg => "avg",
        }
    }
}

/// A sort key of an `order by` clause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderKey {
    /// Value by which rows are compared.
    pub item: SelectItem,
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// Parses a query.
pub fn parse_query(text: &str) -> Result<QueryStatement, QueryError> {
    statement(&mut TokenCursor::new(text)?)
}

pub(super) fn statement(
    cursor: &mut TokenCursor<'_>,
) -> Result<QueryStatement, QueryError> {
    if cursor.take_keyword("explain") {
        let request = cursor.parse_word("a request id")?;
        cursor.expect_end()?;
        return Ok(QueryStatement::Explain(request));
    }
    let select = if cursor.take_keyword("select") {
        let items = select_items(cursor)?;
        cursor.expect_keyword("from")?;
        items
    } else {
        Vec::new()
    };
    let table = table(cursor)?;
    let select = resolve_all(cursor, table, &select)?;
    let query = clauses(cursor, table, select)?;
    cursor.expect_end()?;
    Ok(QueryStatement::Table(query))
}

fn clauses(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
    select: Vec<(SelectItem, Token<'_>)>,
) -> Result<TableQuery, QueryError> {
    let filter = if cursor.take_keyword("where") {
        Some(filter(cursor, table, 0)?)
    } else {
        None
    };
    let group_by = if cursor.take_keyword("group") {
        cursor.expect_keyword("by")?;
        columns(cursor, table)?
    } else {
        Vec::new()
    };
    let order_by = if cursor.take_keyword("order") {
        cursor.expect_keyword("by")?;
        order_keys(cursor, table)?
    } else {
        Vec::new()
    };
    let limit = if cursor.take_keyword("limit") {
        Some(cursor.parse_word("a number of rows")?)
    } else {
        None
    };
    let shown = shown_items(table, &select, &group_by);
    let grouped = !group_by.is_empty() || shown.iter().any(is_aggregate);
    let keys = order_by.iter().map(|(key, token)| (key.item, *token));
    check_grouping(cursor, grouped, &group_by, select.iter().copied())?;
    check_grouping(cursor, grouped, &group_by, keys)?;
    Ok(TableQuery {
        table,
        select: shown,
        filter,
        group_by,
        order_by: order_by.into_iter().map(|(key, _)| key).collect(),
        limit,
    })
}

fn is_aggregate(item: &SelectItem) -> bool {
    !matches!(item, SelectItem::Column(_))
}

fn shown_items(
    table: QueryTable,
    select: &[(SelectItem, Token<'_>)],
    group_by: &[usize],
) -> Vec<SelectItem> {
    if !select.is_empty() {
        return select.iter().map(|(item, _)| *item).collect();
    }
    if group_by.is_empty() {
        return (0..table.columns().len()).map(SelectItem::Column).collect();
    }
    let columns = group_by.iter().map(|at| SelectItem::Column(*at));
    columns.chain([SelectItem::Count]).collect()
}

/// Fails if a grouped query shows or sorts by a column that is not in
/// `group by`, since it may differ within a group, or if an ungrouped query
/// sorts by an aggregate.
fn check_grouping<'t>(
    cursor: &TokenCursor<'_>,
    grouped: bool,
    group_by: &[usize],
    items: impl Iterator<Item = (SelectItem, Token<'t>)>,
) -> Result<(), QueryError> {
    for (item, token) in items {
        match item {
            SelectItem::Column(at) if grouped && !group_by.contains(&at) => {
                let message = "the column is not in `group by`, so it may \
                               differ within a group; use min or max of it";
                return Err(cursor.error_at(token, message));
            }
            SelectItem::Count | SelectItem::Aggregate(..) if !grouped => {
                let message = "count, sum, min, max and avg need `group by` \
                               or a place in `select`";
                return Err(cursor.error_at(token, message));
            }
            _ => {}
        }
    }
    Ok(())
}

fn table(cursor: &mut TokenCursor<'_>) -> Result<QueryTable, QueryError> {
    for table in QueryTable::ALL {
        cursor.note_expected_word(table.name());
    }
    let TokenKind::Word(name) = cursor.peek().kind else {
        return Err(cursor.unexpected_token());
    };
    match QueryTable::find(name) {
        Some(table) => {
            cursor.advance();
            Ok(table)
        }
        None => {
            let names = QueryTable::ALL.iter().map(|table| table.name());
            let error = cursor.unexpected_token();
            Err(with_suggestion(error, most_similar(name, names)))
        }
    }
}

fn with_suggestion(error: QueryError, hint: Option<&str>) -> QueryError {
    let Some(hint) = hint else { return error };
    let message = format!("{}; did you mean `{hint}`?", error.message);
    QueryError {
        message: message.into(),
        ..error
    }
}

pub(super) fn column(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
) -> Result<(usize, Token<'static>), QueryError> {
    for (name, _) in table.columns() {
        cursor.note_expected_word(name);
    }
    let token = cursor.peek();
    let TokenKind::Word(name) = token.kind else {
        return Err(cursor.unexpected_token());
    };
    let Some(at) = table.column(name) else {
        let names = table.columns().iter().map(|(name, _)| *name);
        return Err(with_suggestion(
            cursor.unexpected_token(),
            most_similar(name, names),
        ));
    };
    cursor.advance();
    Ok((at, position_of(token)))
}

/// The position of a token, without its text.
fn position_of(token: Token<'_>) -> Token<'static> {
    Token {
        kind: TokenKind::End,
        start: token.start,
        end: token.end,
    }
}

fn columns(
    cursor: &mut TokenCursor<'_>,
    table: QueryTable,
) -> Result<Vec<usize>, QueryError> {
    let mut columns = vec![column(cursor, table)?.0];
    while cursor.take_symbol(",") {
        columns.push(column(cursor, table)?.0);
    }
    Ok(columns)
}

/// A select item before its column names are resolved: `select` precedes the
/// table name.
#[derive(Clone, Copy, Debug)]
enum UnresolvedItem<'a> {
    All,
    Column(&'a str),
    Count,
    Aggregate(AggregateKind, &'a str),
}

fn select_items<'a>(
    cursor: &mut TokenCursor<'a>,
) -> Result<Vec<(UnresolvedItem<'a>, Token<'a>)>, QueryError> {
    let token = cursor.peek();
    if cursor.take_symbol("*") {
        return Ok(vec![(UnresolvedItem::All, token)]);
    }
    let mut items = vec![unresolved_item(cursor)?];
    while cursor.take_symbol(",") {
        items.push(unresolved_item(cursor)?);
    }
    Ok(items)
}

fn unresolved_item<'a>(
    cursor: &mut TokenCursor<'a>,
) -> Result<(UnresolvedItem<'a>, Token<'a>), QueryError> {
    let token = cursor.peek();
    if cursor.take_keyword("count") {
        if cursor.take_symbol("(") {
            cursor.expect_symbol("*")?;
            cursor.expect_symbol(")")?;
        }
        return Ok((UnresolvedItem::Count, token));
    }
    for kind in AggregateKind::ALL {
        if cursor.take_keyword(kind.name()) {
            cursor.expect_symbol("(")?;
            let (name, token) = cursor.expect_word("a column")?;
            cursor.expect_symbol(")")?;
            return Ok((UnresolvedItem::Aggregate(*kind, name), token));
        }
    }
    let (name, token) = cursor.expect_word("a column")?;
    Ok((UnresolvedItem::Column(name), token))
}

fn resolve_all<'a>(
    cursor: &TokenCursor<'_>,
    table: QueryTable,
    items: &[(UnresolvedItem<'a>, Token<'a>)],
) -> Result<Vec<(SelectItem, Token<'a>)>, QueryError> {
    let mut resolved = Vec::new();
    for (item, token) in items {
        if matches!(item, UnresolvedItem::All) {
            let all_columns = 0..table.columns().len();
            resolved
                .extend(all_columns.map(|at| (SelectItem::Column(at), *token)));
        } else {
            resolved.push((resolve(cursor, table, *item, *token)?, *token));
        }
    }
    Ok(resolved)
}

fn resolve(
    cursor: &TokenCursor<'_>,
    table: QueryTable,
    item: UnresolvedItem<'_>,
    token: Token<'_>,
) -> Result<SelectItem, QueryError> {
    let find = |name: &str| {
        let names = table.columns().iter().map(|(name, _)| *name);
        table.column(name).ok_or_else(|| {
            let known: Vec<_> = names.clone().collect();
            let message = format!(
                "table {} has no column `{}`; it has {}",
                table.name(),
                name.escape_debug(),
                known.join(", "),
            );
            with_suggestion(
                cursor.error_at(token, message),
                most_similar(name, names),
            )
        })
    };
    match item {
        UnresolvedItem::Count | UnresolvedItem::All => Ok(SelectItem::Count),
        UnresolvedItem::Column(name) => Ok(SelectItem::Column(find(name)?)),
        UnresolvedItem::Aggregate(kind, name) => {
            let at = find(name)?;
            let needs_numbers =
                matches!(kind, AggregateKind::Sum | AggregateKind::Avg);
            if needs_numbers && table.columns()[at].1 != ColumnKind::Number {
                let message = format!(
                    "{} needs a column of numbers, and `{name}` is none",
                    kind.name(),
                );
                return Err(cursor.error_at(token, message));
            }
            Ok(SelectItem::Aggregate(kind, at))
        }
    }
}

fn order_keys<'a>(
    cursor: &mut TokenCursor<'a>,
    table: QueryTable,
) -> Result<Vec<(OrderKey, Token<'a>)>, QueryError> {
    let mut keys = Vec::new();
    loop {
        let (item, token) = unresolved_item(cursor)?;
        let item = resolve(cursor, table, item, token)?;
        let descending = cursor.take_keyword("desc");
        if !descending {
            cursor.take_keyword("asc");
        }
        keys.push((OrderKey { item, descending }, token));
        if !cursor.take_symbol(",") {
            return Ok(keys);
        }
    }
}
