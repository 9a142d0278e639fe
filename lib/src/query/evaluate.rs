//! Evaluation of a query on the rows of one instance, and the merge of the rows
//! of all instances.
//!
//! An instance sends only the rows that pass the filter, and of these only the
//! columns that the query needs. Without grouping, it also applies the sort
//! order and the limit, so that it sends no row that cannot be in the response.
//! Both the rows of one instance and the response are bounded; the response
//! says how many rows were dropped and by which instance.

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

/// Maximum number of rows that one instance sends.
pub const INSTANCE_ROWS_MAX: usize = 2_000;
/// Maximum size of the rows that one instance sends, as JSON. It must fit into
/// a frame between instances, which holds 4 MiB.
pub const INSTANCE_ROWS_MAX_BYTES: usize = 1 << 20;
/// Maximum number of rows in a response.
pub const RESPONSE_ROWS_MAX: usize = 10_000;

value_type! {
    /// Rows that one instance contributes to a query.
    #[derive(Default)]
    pub struct InstanceRows {
        /// Rows that pass the filter, with the columns that the query needs in
        /// ascending order of position.
        pub rows: Vec<TableRow>,
        /// Number of rows that were dropped to stay within the bounds.
        pub cut: usize,
        /// Ids of the engines that the instance evaluated, whether or not
        /// their rows pass the filter. Empty for tables other than `engines`.
        pub covered: BTreeSet<Arc<str>>,
    }
}

value_type! {
    /// An instance whose rows are missing from a response.
    pub struct UnansweredInstance {
        /// Name of the instance.
        pub instance: InstanceId,
        /// Why the rows are missing, for people.
        pub reason: Arc<str>,
    }
}

value_type! {
    /// Count of rows that were dropped to stay within a bound.
    pub struct TruncatedRows {
        /// Instance that dropped the rows; `None` if they were dropped from the
        /// merged response.
        pub instance: Option<InstanceId>,
        /// Number of dropped rows.
        pub rows: usize,
    }
}

value_type! {
    /// Response to a query.
    #[derive(Default)]
    pub struct QueryResponse {
        /// Names of the columns, in the order of the `select` clause.
        pub columns: Vec<Arc<str>>,
        /// Rows, each as a map from column name to value.
        pub rows: Vec<BTreeMap<Arc<str>, CellValue>>,
        /// Whether no instance is missing and no row was dropped.
        pub complete: bool,
        /// Number of instances whose rows are included.
        pub answered: usize,
        /// Instances whose rows are missing.
        pub missing: Vec<UnansweredInstance>,
        /// Rows that were dropped to stay within a bound. Rows dropped by an
        /// instance are not part of any aggregate.
        pub cut: Vec<TruncatedRows>,
    }
}

/// Inputs of [`merge`].
#[derive(Clone, Debug, PartialEq)]
pub struct MergeInput {
    /// Parsed query.
    pub statement: QueryStatement,
    /// Instance that received the query.
    pub local_instance: InstanceId,
    /// Rows of the instance that received the query.
    pub local_rows: InstanceRows,
    /// Rows of other instances: [`InstanceRows`] as JSON text, which is decoded
    /// outside the core, by [`merge`].
    pub peer_rows: Vec<(InstanceId, Arc<str>)>,
    /// Replicated state, as held by the instance that received the query.
    pub replicated: ReplicatedState,
    /// Instances whose rows are missing.
    pub missing: Vec<UnansweredInstance>,
}

impl TableQuery {
    /// Whether the query has a `group by` clause or an aggregate.
    pub fn is_grouped(&self) -> bool {
        let aggregate =
            |item: &SelectItem| !matches!(item, SelectItem::Column(_));
        !self.group_by.is_empty() || self.select.iter().any(aggregate)
    }

    /// Positions of the columns from which the response is computed,
    /// ascending.
    fn needed_columns(&self) -> Vec<usize> {
        let keys = self.order_by.iter().map(|key| key.item);
        let items = self.select.iter().copied().chain(keys);
        let columns = items.filter_map(|item| match item {
            SelectItem::Column(at) | SelectItem::Aggregate(_, at) => Some(at),
            SelectItem::Count => None,
        });
        let columns = columns.chain(self.group_by.iter().copied());
        columns.collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Evaluates the query on rows of one source: applies the filter, without
    /// grouping also the sort order and the limit, and drops the columns that
    /// are not needed.
    pub fn filter_and_project(
        &self,
        rows: impl IntoIterator<Item = TableRow>,
    ) -> Vec<TableRow> {
        let passes = |row: &TableRow| {
            self.filter
                .as_ref()
                .is_none_or(|filter| filter.matches(row))
        };
        let mut rows: Vec<TableRow> = rows.into_iter().filter(passes).collect();
        if !self.is_grouped() {
            sort_rows(&mut rows, &self.order_by);
            rows.truncate(self.limit.unwrap_or(usize::MAX));
        }
        let needed_columns = self.needed_columns();
        let project = |row: TableRow| {
            let cells = needed_columns.iter().filter_map(|at| row.get(*at));
            cells.cloned().collect()
        };
        rows.into_iter().map(project).collect()
    }

    /// Groups and sorts the rows of all sources, applies the limit and computes
    /// the selected items.
    fn build_result(&self, rows: Vec<TableRow>) -> Vec<TableRow> {
        let needed_columns = self.needed_columns();
        let cell_index = |at: usize| {
            needed_columns
                .binary_search(&at)
                .expect("the column is needed")
        };
        let groups = if self.is_grouped() {
            self.group(rows, cell_index)
        } else {
            rows.into_iter().map(|row| vec![row]).collect()
        };
        let items = |items: Vec<SelectItem>, group: &Vec<TableRow>| {
            let cells = items
                .iter()
                .map(|item| evaluate_item(*item, group, cell_index));
            cells.collect::<TableRow>()
        };
        let keys: Vec<_> = self.order_by.iter().map(|key| key.item).collect();
        let mut keyed_rows: Vec<(TableRow, TableRow)> = groups
            .iter()
            .map(|group| {
                let shown = items(self.select.clone(), group);
                (items(keys.clone(), group), shown)
            })
            .collect();
        keyed_rows.sort_by(|(left, _), (right, _)| {
            compare_rows(left, right, &self.order_by)
        });
        let shown = keyed_rows.into_iter().map(|(_, shown)| shown);
        shown.take(self.limit.unwrap_or(usize::MAX)).collect()
    }

    fn group(
        &self,
        rows: Vec<TableRow>,
        cell_index: impl Fn(usize) -> usize,
    ) -> Vec<Vec<TableRow>> {
        if self.group_by.is_empty() {
            return vec![rows];
        }
        let mut groups = BTreeMap::<TableRow, Vec<TableRow>>::new();
        for row in rows {
            let columns =
                self.group_by.iter().map(|at| row[cell_index(*at)].clone());
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
            Some(compare_by_key(left.get((*at)?)?, right.get((*at)?)?, key))
        });
        first_difference(pairs)
    };
    rows.sort_by(compare);
}

fn compare_by_key(
    left: &CellValue,
    right: &CellValue,
    key: &OrderKey,
) -> Ordering {
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

fn compare_rows(
    left: &[CellValue],
    right: &[CellValue],
    keys: &[OrderKey],
) -> Ordering {
    let pairs = left.iter().zip(right).zip(keys);
    first_difference(
        pairs.map(|((left, right), key)| compare_by_key(left, right, key)),
    )
}

fn evaluate_item(
    item: SelectItem,
    group: &[TableRow],
    cell_index: impl Fn(usize) -> usize,
) -> CellValue {
    match item {
        SelectItem::Count => group.len().into(),
        SelectItem::Column(at) => {
            let first = group.first();
            first.map_or(CellValue::Null, |row| row[cell_index(at)].clone())
        }
        SelectItem::Aggregate(kind, at) => {
            let at = cell_index(at);
            let cells = group.iter().map(|row| &row[at]);
            let known = cells.filter(|cell| **cell != CellValue::Null);
            aggregate(kind, known)
        }
    }
}

/// Computes an aggregate of values that are not null; `Null` if there are none.
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

fn column_name(query: &TableQuery, item: SelectItem) -> Arc<str> {
    let name = |at: usize| query.table.columns()[at].0;
    match item {
        SelectItem::Column(at) => name(at).into(),
        SelectItem::Count => "count".into(),
        SelectItem::Aggregate(kind, at) => {
            format!("{}({})", kind.name(), name(at)).into()
        }
    }
}

/// Encodes the rows of an instance as JSON text for a peer. Drops rows from the
/// end until the bounds are met.
pub fn encode_bounded(mut local_rows: InstanceRows) -> Arc<str> {
    local_rows.cut += local_rows.rows.len().saturating_sub(INSTANCE_ROWS_MAX);
    local_rows.rows.truncate(INSTANCE_ROWS_MAX);
    loop {
        let text = serde_json::to_string(&local_rows);
        let text = text.expect("the rows are plain JSON");
        if text.len() <= INSTANCE_ROWS_MAX_BYTES || local_rows.rows.is_empty() {
            return text.into();
        }
        let kept = local_rows.rows.len() / 2;
        local_rows.cut += local_rows.rows.len() - kept;
        local_rows.rows.truncate(kept);
    }
}

/// Merges the rows of all instances and of the replicated state into the
/// response. Instances whose rows cannot be decoded are reported as missing.
pub fn merge(input: MergeInput) -> QueryResponse {
    let MergeInput {
        statement,
        local_instance,
        local_rows,
        peer_rows,
        replicated,
        mut missing,
    } = input;
    let mut received = vec![(local_instance, local_rows)];
    for (instance, text) in peer_rows {
        match serde_json::from_str::<InstanceRows>(&text) {
            Ok(decoded) => received.push((instance, decoded)),
            Err(error) => missing.push(UnansweredInstance {
                instance,
                reason: format!("its response cannot be decoded: {error}")
                    .into(),
            }),
        }
    }
    let mut cut = Vec::new();
    let mut rows = Vec::new();
    let mut covered = BTreeSet::new();
    let answered = received.len();
    for (instance, contribution) in received {
        if contribution.cut > 0 {
            cut.push(TruncatedRows {
                instance: Some(instance),
                rows: contribution.cut,
            });
        }
        rows.extend(contribution.rows);
        covered.extend(contribution.covered);
    }
    let (columns, mut rows) = match &statement {
        QueryStatement::Explain(_) => {
            let names = EXPLAIN_COLUMNS.iter().map(|name| (*name).into());
            (names.collect::<Vec<Arc<str>>>(), rows)
        }
        QueryStatement::Table(query) => {
            rows.extend(query.filter_and_project(replicated.rows(query.table)));
            let uncovered =
                replicated.rows_of_uncovered_engines(query.table, &covered);
            rows.extend(query.filter_and_project(uncovered));
            let names =
                query.select.iter().map(|item| column_name(query, *item));
            (names.collect(), query.build_result(rows))
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
