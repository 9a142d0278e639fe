//! Evaluating a query over the rows of one instance, and merging the parts.
//!
//! An instance sends the columns that are needed of the rows that pass the
//! filter. Without grouping, the order and limit of the query already hold
//! there, so that only rows that may be shown travel. Parts and answers are
//! bounded, and what was cut is named.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    query_parser::{
        AggregateKind, OrderKey, QueryStatement, SelectItem, TableQuery,
    },
    replicated_rows::ReplicatedState,
    schema::EXPLAIN_COLUMNS,
    value::{CellValue, TableRow},
};
use crate::{ids::InstanceId, value_type};

/// Most rows that one instance sends.
pub const INSTANCE_ROWS_MAX: usize = 2_000;
/// Most bytes of the rows that one instance sends, as JSON. A frame between
/// instances holds 4 MiB.
pub const INSTANCE_ROWS_MAX_BYTES: usize = 1 << 20;
/// Most rows of an answer.
pub const RESPONSE_ROWS_MAX: usize = 10_000;

value_type! {
    /// Rows of one instance.
    #[derive(Default)]
    pub struct InstanceRows {
        /// Rows, with the columns that the query needs.
        pub rows: Vec<TableRow>,
        /// Rows that were left out over the bounds.
        pub cut: usize,
        /// Subjects that the instance answers for, whether or not their rows
        /// pass the filter. Only for tables whose rows belong to known
        /// subjects.
        pub covered: BTreeSet<Arc<str>>,
    }
}

value_type! {
    /// An instance without an answer.
    pub struct UnansweredInstance {
        /// Instance.
        pub instance: InstanceId,
        /// Why its rows are missing.
        pub reason: Arc<str>,
    }
}

value_type! {
    /// Rows that were left out.
    pub struct TruncatedRows {
        /// Instance that left them out; absent for the answer as a whole.
        pub instance: Option<InstanceId>,
        /// Number of rows.
        pub rows: usize,
    }
}

value_type! {
    /// Answer to a query.
    #[derive(Default)]
    pub struct QueryResponse {
        /// Columns in the order in which they are shown.
        pub columns: Vec<Arc<str>>,
        /// Rows by column.
        pub rows: Vec<BTreeMap<Arc<str>, CellValue>>,
        /// Whether no instance is missing and no row was cut.
        pub complete: bool,
        /// Number of instances whose rows are part of the answer.
        pub answered: usize,
        /// Instances whose rows are missing.
        pub missing: Vec<UnansweredInstance>,
        /// Rows that were left out over a bound. Counts and sums do not
        /// contain them.
        pub cut: Vec<TruncatedRows>,
    }
}

/// What an answer is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct MergeInput {
    /// The query.
    pub statement: QueryStatement,
    /// Instance that was asked.
    pub local_instance: InstanceId,
    /// Its rows.
    pub local_rows: InstanceRows,
    /// Parts of other instances as JSON text, read only when the answer is
    /// made, outside the core.
    pub peer_rows: Vec<(InstanceId, Arc<str>)>,
    /// What every instance knows.
    pub replicated: ReplicatedState,
    /// Instances whose rows are missing.
    pub missing: Vec<UnansweredInstance>,
}

impl TableQuery {
    /// Whether rows are joined to groups.
    pub fn is_grouped(&self) -> bool {
        let aggregate =
            |item: &SelectItem| !matches!(item, SelectItem::Column(_));
        !self.group_by.is_empty() || self.select.iter().any(aggregate)
    }

    /// Columns that the answer is computed from, ascending.
    fn needed(&self) -> Vec<usize> {
        let keys = self.order_by.iter().map(|key| key.item);
        let items = self.select.iter().copied().chain(keys);
        let columns = items.filter_map(|item| match item {
            SelectItem::Column(at) | SelectItem::Aggregate(_, at) => Some(at),
            SelectItem::Count => None,
        });
        let columns = columns.chain(self.group_by.iter().copied());
        columns.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Filters and sorts rows and takes the columns that are needed.
    pub fn collect(
        &self,
        rows: impl IntoIterator<Item = TableRow>,
    ) -> Vec<TableRow> {
        let passes = |row: &TableRow| {
            self.filter.as_ref().is_none_or(|filter| filter.holds(row))
        };
        let mut rows: Vec<TableRow> = rows.into_iter().filter(passes).collect();
        if !self.is_grouped() {
            sort_rows(&mut rows, &self.order_by);
            rows.truncate(self.limit.unwrap_or(usize::MAX));
        }
        let needed = self.needed();
        let project = |row: TableRow| {
            let cells = needed.iter().filter_map(|at| row.get(*at));
            cells.cloned().collect()
        };
        rows.into_iter().map(project).collect()
    }

    /// Groups, sorts and shows merged rows.
    fn show(&self, rows: Vec<TableRow>) -> Vec<TableRow> {
        let needed = self.needed();
        let place = |at: usize| {
            needed.binary_search(&at).expect("the column is needed")
        };
        let groups = if self.is_grouped() {
            self.group(rows, place)
        } else {
            rows.into_iter().map(|row| vec![row]).collect()
        };
        let items = |items: Vec<SelectItem>, group: &Vec<TableRow>| {
            let cells = items.iter().map(|item| evaluate(*item, group, place));
            cells.collect::<TableRow>()
        };
        let keys: Vec<_> = self.order_by.iter().map(|key| key.item).collect();
        let mut keyed: Vec<(TableRow, TableRow)> = groups
            .iter()
            .map(|group| {
                let shown = items(self.select.clone(), group);
                (items(keys.clone(), group), shown)
            })
            .collect();
        keyed.sort_by(|(left, _), (right, _)| {
            compare_keys(left, right, &self.order_by)
        });
        let shown = keyed.into_iter().map(|(_, shown)| shown);
        shown.take(self.limit.unwrap_or(usize::MAX)).collect()
    }

    fn group(
        &self,
        rows: Vec<TableRow>,
        place: impl Fn(usize) -> usize,
    ) -> Vec<Vec<TableRow>> {
        if self.group_by.is_empty() {
            return vec![rows];
        }
        let mut groups = BTreeMap::<TableRow, Vec<TableRow>>::new();
        for row in rows {
            let columns =
                self.group_by.iter().map(|at| row[place(*at)].clone());
            groups.entry(columns.collect()).or_default().push(row);
        }
        groups.into_values().collect()
    }
}

fn sort_rows(rows: &mut [TableRow], keys: &[OrderKey]) {
    let columns = keys.iter().map(|key| match key.item {
        SelectItem::Column(at) => Some(at),
        _ => None,
    });
    let columns: Vec<Option<usize>> = columns.collect();
    let compare = |left: &TableRow, right: &TableRow| {
        let pairs = columns.iter().zip(keys).filter_map(|(at, key)| {
            Some(directed(left.get((*at)?)?, right.get((*at)?)?, key))
        });
        first_difference(pairs)
    };
    rows.sort_by(compare);
}

fn directed(left: &CellValue, right: &CellValue, key: &OrderKey) -> Ordering {
    let order = left.cmp(right);
    if key.descending {
        order.reverse()
    } else {
        order
    }
}

fn first_difference(mut orders: impl Iterator<Item = Ordering>) -> Ordering {
    let differs = |order: &Ordering| order.is_ne();
    orders.find(differs).unwrap_or(Ordering::Equal)
}

fn compare_keys(
    left: &[CellValue],
    right: &[CellValue],
    keys: &[OrderKey],
) -> Ordering {
    let pairs = left.iter().zip(right).zip(keys);
    first_difference(
        pairs.map(|((left, right), key)| directed(left, right, key)),
    )
}

fn evaluate(
    item: SelectItem,
    group: &[TableRow],
    place: impl Fn(usize) -> usize,
) -> CellValue {
    match item {
        SelectItem::Count => group.len().into(),
        SelectItem::Column(at) => {
            let first = group.first();
            first.map_or(CellValue::Null, |row| row[place(at)].clone())
        }
        SelectItem::Aggregate(kind, at) => {
            let at = place(at);
            let cells = group.iter().map(|row| &row[at]);
            let known = cells.filter(|cell| **cell != CellValue::Null);
            aggregate(kind, known)
        }
    }
}

/// Computes over the values that are known; without any, nothing is known.
fn aggregate<'c>(
    kind: AggregateKind,
    known: impl Iterator<Item = &'c CellValue>,
) -> CellValue {
    match kind {
        AggregateKind::Min => known.min().cloned().unwrap_or(CellValue::Null),
        AggregateKind::Max => known.max().cloned().unwrap_or(CellValue::Null),
        AggregateKind::Sum | AggregateKind::Avg => {
            let numbers: Vec<f64> =
                known.filter_map(CellValue::number).collect();
            if numbers.is_empty() {
                return CellValue::Null;
            }
            let sum: f64 = numbers.iter().sum();
            CellValue::from_f64(match kind {
                AggregateKind::Avg => sum / numbers.len() as f64,
                _ => sum,
            })
        }
    }
}

fn item_name(query: &TableQuery, item: SelectItem) -> Arc<str> {
    let name = |at: usize| query.table.columns()[at].0;
    match item {
        SelectItem::Column(at) => name(at).into(),
        SelectItem::Count => "count".into(),
        SelectItem::Aggregate(kind, at) => {
            format!("{}({})", kind.name(), name(at)).into()
        }
    }
}

/// Text of a part for another instance; rows over the bounds are left out
/// from its end.
pub fn encode_bounded(mut part: InstanceRows) -> Arc<str> {
    part.cut += part.rows.len().saturating_sub(INSTANCE_ROWS_MAX);
    part.rows.truncate(INSTANCE_ROWS_MAX);
    loop {
        let text = serde_json::to_string(&part);
        let text = text.expect("a part has only text keys");
        if text.len() <= INSTANCE_ROWS_MAX_BYTES || part.rows.is_empty() {
            return text.into();
        }
        let kept = part.rows.len() / 2;
        part.cut += part.rows.len() - kept;
        part.rows.truncate(kept);
    }
}

/// Merges the parts into the answer.
pub fn merge(parts: MergeInput) -> QueryResponse {
    let MergeInput {
        statement,
        local_instance: own,
        local_rows: own_part,
        peer_rows: peers,
        replicated: shared,
        mut missing,
    } = parts;
    let mut read = vec![(own, own_part)];
    for (instance, text) in peers {
        match serde_json::from_str::<InstanceRows>(&text) {
            Ok(part) => read.push((instance, part)),
            Err(error) => missing.push(UnansweredInstance {
                instance,
                reason: format!("its answer cannot be read: {error}").into(),
            }),
        }
    }
    let mut cut = Vec::new();
    let mut rows = Vec::new();
    let mut covered = BTreeSet::new();
    let answered = read.len();
    for (instance, part) in read {
        if part.cut > 0 {
            cut.push(TruncatedRows {
                instance: Some(instance),
                rows: part.cut,
            });
        }
        rows.extend(part.rows);
        covered.extend(part.covered);
    }
    let (columns, mut rows) = match &statement {
        QueryStatement::Explain(_) => {
            let names = EXPLAIN_COLUMNS.iter().map(|name| (*name).into());
            (names.collect::<Vec<Arc<str>>>(), rows)
        }
        QueryStatement::Table(query) => {
            rows.extend(query.collect(shared.rows(query.table)));
            let left = shared.uncovered_rows(query.table, &covered);
            rows.extend(query.collect(left));
            let names = query.select.iter().map(|item| item_name(query, *item));
            (names.collect(), query.show(rows))
        }
    };
    if rows.len() > RESPONSE_ROWS_MAX {
        cut.push(TruncatedRows {
            instance: None,
            rows: rows.len() - RESPONSE_ROWS_MAX,
        });
        rows.truncate(RESPONSE_ROWS_MAX);
    }
    let named = |row: TableRow| columns.iter().cloned().zip(row).collect();
    QueryResponse {
        rows: rows.into_iter().map(named).collect(),
        complete: missing.is_empty() && cut.is_empty(),
        columns,
        answered,
        missing,
        cut,
    }
}
