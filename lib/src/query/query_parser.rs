//! The grammar of queries.
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
    token_cursor::{TokenCursor, nearest},
};
use crate::ids::RequestId;

/// A parsed query.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryStatement {
    /// Rows of a table.
    Table(TableQuery),
    /// The decisions on a request.
    Explain(RequestId),
}

/// A question for rows of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableQuery {
    /// Table.
    pub table: QueryTable,
    /// What is shown.
    pub select: Vec<SelectItem>,
    /// Which rows count.
    pub filter: Option<RowFilter>,
    /// Columns by which rows are joined.
    pub group_by: Vec<usize>,
    /// Order of the answer.
    pub order_by: Vec<OrderKey>,
    /// Most rows of the answer.
    pub limit: Option<usize>,
}

/// Something that is shown or sorted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectItem {
    /// A column, by its position.
    Column(usize),
    /// Number of rows.
    Count,
    /// Something over a column of all rows of a group.
    Aggregate(AggregateKind, usize),
}

/// What is computed over the rows of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AggregateKind {
    /// Sum.
    Sum,
    /// Least value.
    Min,
    /// Largest value.
    Max,
    /// Mean.
    Avg,
}

impl AggregateKind {
    const ALL: &'static [Self] = &[Self::Sum, Self::Min, Self::Max, Self::Avg];

    /// Name in the language.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Sum => "sum",
            Self::Min => "min",
            Self::Max => "max",
            Self::Avg => "avg",
        }
    }
}

/// One key of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderKey {
    /// What is compared.
    pub item: SelectItem,
    /// Whether the largest comes first.
    pub descending: bool,
}

/// Parses a query.
pub fn parse_query(text: &str) -> Result<QueryStatement, QueryError> {
    statement(&mut TokenCursor::new(text)?)
}

pub(super) fn statement(
    reader: &mut TokenCursor<'_>,
) -> Result<QueryStatement, QueryError> {
    if reader.keyword("explain") {
        let request = reader.parsed("a request id")?;
        reader.need_end()?;
        return Ok(QueryStatement::Explain(request));
    }
    let select = if reader.keyword("select") {
        let items = select_items(reader)?;
        reader.need_keyword("from")?;
        items
    } else {
        Vec::new()
    };
    let table = table(reader)?;
    let select = resolve_all(reader, table, &select)?;
    let query = clauses(reader, table, select)?;
    reader.need_end()?;
    Ok(QueryStatement::Table(query))
}

fn clauses(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
    select: Vec<(SelectItem, Token<'_>)>,
) -> Result<TableQuery, QueryError> {
    let filter = if reader.keyword("where") {
        Some(filter(reader, table, 0)?)
    } else {
        None
    };
    let group_by = if reader.keyword("group") {
        reader.need_keyword("by")?;
        columns(reader, table)?
    } else {
        Vec::new()
    };
    let order_by = if reader.keyword("order") {
        reader.need_keyword("by")?;
        order_keys(reader, table)?
    } else {
        Vec::new()
    };
    let limit = if reader.keyword("limit") {
        Some(reader.parsed("a number of rows")?)
    } else {
        None
    };
    let shown = shown_items(table, &select, &group_by);
    let grouped = !group_by.is_empty() || shown.iter().any(is_aggregate);
    let keys = order_by.iter().map(|(key, token)| (key.item, *token));
    check_groups(reader, grouped, &group_by, select.iter().copied())?;
    check_groups(reader, grouped, &group_by, keys)?;
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

/// Makes sure that columns of a grouped query are the same for a whole group.
fn check_groups<'t>(
    reader: &TokenCursor<'_>,
    grouped: bool,
    group_by: &[usize],
    items: impl Iterator<Item = (SelectItem, Token<'t>)>,
) -> Result<(), QueryError> {
    for (item, token) in items {
        match item {
            SelectItem::Column(at) if grouped && !group_by.contains(&at) => {
                let message = "the column is not in `group by`, so it may \
                               differ within a group; use min or max of it";
                return Err(reader.fault_at(token, message));
            }
            SelectItem::Count | SelectItem::Aggregate(..) if !grouped => {
                let message = "count, sum, min, max and avg need `group by` \
                               or a place in `select`";
                return Err(reader.fault_at(token, message));
            }
            _ => {}
        }
    }
    Ok(())
}

fn table(reader: &mut TokenCursor<'_>) -> Result<QueryTable, QueryError> {
    for table in QueryTable::ALL {
        reader.expect_word(table.name());
    }
    let TokenKind::Word(name) = reader.peek().kind else {
        return Err(reader.unexpected());
    };
    match QueryTable::find(name) {
        Some(table) => {
            reader.advance();
            Ok(table)
        }
        None => {
            let names = QueryTable::ALL.iter().map(|table| table.name());
            let fault = reader.unexpected();
            Err(hinted(fault, nearest(name, names)))
        }
    }
}

fn hinted(fault: QueryError, hint: Option<&str>) -> QueryError {
    let Some(hint) = hint else { return fault };
    let message = format!("{}; did you mean `{hint}`?", fault.message);
    QueryError {
        message: message.into(),
        ..fault
    }
}

pub(super) fn column(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
) -> Result<(usize, Token<'static>), QueryError> {
    for (name, _) in table.columns() {
        reader.expect_word(name);
    }
    let token = reader.peek();
    let TokenKind::Word(name) = token.kind else {
        return Err(reader.unexpected());
    };
    let Some(at) = table.column(name) else {
        let names = table.columns().iter().map(|(name, _)| *name);
        return Err(hinted(reader.unexpected(), nearest(name, names)));
    };
    reader.advance();
    Ok((at, place(token)))
}

/// The place of a token, without its text.
fn place(token: Token<'_>) -> Token<'static> {
    Token {
        kind: TokenKind::End,
        start: token.start,
        end: token.end,
    }
}

fn columns(
    reader: &mut TokenCursor<'_>,
    table: QueryTable,
) -> Result<Vec<usize>, QueryError> {
    let mut columns = vec![column(reader, table)?.0];
    while reader.symbol(",") {
        columns.push(column(reader, table)?.0);
    }
    Ok(columns)
}

/// An item before its table is known.
#[derive(Clone, Copy, Debug)]
enum RawItem<'a> {
    All,
    Column(&'a str),
    Count,
    Aggregate(AggregateKind, &'a str),
}

fn select_items<'a>(
    reader: &mut TokenCursor<'a>,
) -> Result<Vec<(RawItem<'a>, Token<'a>)>, QueryError> {
    let token = reader.peek();
    if reader.symbol("*") {
        return Ok(vec![(RawItem::All, token)]);
    }
    let mut items = vec![raw_item(reader)?];
    while reader.symbol(",") {
        items.push(raw_item(reader)?);
    }
    Ok(items)
}

fn raw_item<'a>(
    reader: &mut TokenCursor<'a>,
) -> Result<(RawItem<'a>, Token<'a>), QueryError> {
    let token = reader.peek();
    if reader.keyword("count") {
        if reader.symbol("(") {
            reader.need_symbol("*")?;
            reader.need_symbol(")")?;
        }
        return Ok((RawItem::Count, token));
    }
    for kind in AggregateKind::ALL {
        if reader.keyword(kind.name()) {
            reader.need_symbol("(")?;
            let (name, token) = reader.word("a column")?;
            reader.need_symbol(")")?;
            return Ok((RawItem::Aggregate(*kind, name), token));
        }
    }
    let (name, token) = reader.word("a column")?;
    Ok((RawItem::Column(name), token))
}

fn resolve_all<'a>(
    reader: &TokenCursor<'_>,
    table: QueryTable,
    items: &[(RawItem<'a>, Token<'a>)],
) -> Result<Vec<(SelectItem, Token<'a>)>, QueryError> {
    let mut resolved = Vec::new();
    for (item, token) in items {
        if matches!(item, RawItem::All) {
            let all = 0..table.columns().len();
            resolved.extend(all.map(|at| (SelectItem::Column(at), *token)));
        } else {
            resolved.push((resolve(reader, table, *item, *token)?, *token));
        }
    }
    Ok(resolved)
}

fn resolve(
    reader: &TokenCursor<'_>,
    table: QueryTable,
    item: RawItem<'_>,
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
            hinted(reader.fault_at(token, message), nearest(name, names))
        })
    };
    match item {
        RawItem::Count | RawItem::All => Ok(SelectItem::Count),
        RawItem::Column(name) => Ok(SelectItem::Column(find(name)?)),
        RawItem::Aggregate(kind, name) => {
            let at = find(name)?;
            let adds = matches!(kind, AggregateKind::Sum | AggregateKind::Avg);
            if adds && table.columns()[at].1 != ColumnKind::Number {
                let message = format!(
                    "{} needs a column of numbers, and `{name}` is none",
                    kind.name(),
                );
                return Err(reader.fault_at(token, message));
            }
            Ok(SelectItem::Aggregate(kind, at))
        }
    }
}

fn order_keys<'a>(
    reader: &mut TokenCursor<'a>,
    table: QueryTable,
) -> Result<Vec<(OrderKey, Token<'a>)>, QueryError> {
    let mut keys = Vec::new();
    loop {
        let (item, token) = raw_item(reader)?;
        let item = resolve(reader, table, item, token)?;
        let descending = reader.keyword("desc");
        if !descending {
            reader.keyword("asc");
        }
        keys.push((OrderKey { item, descending }, token));
        if !reader.symbol(",") {
            return Ok(keys);
        }
    }
}
