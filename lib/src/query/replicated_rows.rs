//! Rows built from the state that every instance replicates.
//!
//! The core hands out this state by shared reference. The rows are built
//! outside the core, because there may be many thousands.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    schema::QueryTable,
    value::{CellValue, TableRow},
};
use crate::{
    fleet::{DrainMode, FleetState, UpstreamRule},
    fleet_view::UpstreamEntry,
    ids::{InstanceId, UpstreamId},
    owner::{OwnedEngineStatus, TakeoverState},
};

/// State of an upstream that every instance knows.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedUpstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Entry from the table of upstreams.
    pub entry: UpstreamEntry,
    /// Owner of an engine according to the present membership; `None` for a
    /// process of a service.
    pub owner: Option<InstanceId>,
    /// Whether the upstream may get new work.
    pub accepts_work: bool,
}

/// State that every instance holds a copy of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicatedState {
    /// Configuration as applied by this instance.
    pub fleet: Arc<FleetState>,
    /// All upstreams; empty if the queried table does not need them.
    pub upstreams: Vec<ListedUpstream>,
}

impl ReplicatedState {
    /// Rows of a table that is built from replicated state alone; empty for
    /// other tables.
    pub(super) fn rows(&self, table: QueryTable) -> Vec<TableRow> {
        match table {
            QueryTable::Workspaces => workspace_rows(self),
            QueryTable::Services => service_rows(self),
            QueryTable::Upstreams => upstream_rows(self),
            QueryTable::Orders => order_rows(self),
            QueryTable::Leases => lease_rows(self),
            _ => Vec::new(),
        }
    }

    /// Rows of `engines` for the engines that no instance returned rows of.
    /// Columns that only the owner knows are null. Empty for other tables.
    pub(super) fn rows_of_uncovered_engines(
        &self,
        table: QueryTable,
        covered: &BTreeSet<Arc<str>>,
    ) -> Vec<TableRow> {
        let upstreams = self.upstreams.iter().filter(|known| {
            table == QueryTable::Engines
                && known.entry.service.is_none()
                && !covered.contains(known.id.as_str())
        });
        upstreams.map(|known| engine_row(known, None)).collect()
    }
}

/// A row of `engines`. Without the owner's status, the columns that only the
/// owner knows are null.
pub(crate) fn engine_row(
    known: &ListedUpstream,
    status: Option<OwnedEngineStatus>,
) -> TableRow {
    let entry = &known.entry;
    let report = entry.capability.as_deref();
    let models = report.map(|report| &report.models);
    let memory = report.map(|report| report.memory);
    let memory = status.map(|status| status.memory).or(memory);
    let stated = report.map(|report| report.incarnation);
    let incarnation = status.and_then(|status| status.incarnation).or(stated);
    vec![
        CellValue::text(&known.id),
        CellValue::text(&entry.domain),
        CellValue::option(models, CellValue::list),
        CellValue::option(known.owner.as_ref(), CellValue::text),
        CellValue::option(status, |status| {
            takeover_name(status.takeover).into()
        }),
        CellValue::option(memory, |memory| memory.get().into()),
        CellValue::option(status, |status| status.granted.get().into()),
        CellValue::option(status, |status| status.free.get().into()),
        CellValue::option(status, |status| status.cold_step.into()),
        CellValue::option(status, |status| CellValue::seconds(status.wait)),
        CellValue::option(status, |status| status.takes_long.into()),
        CellValue::option(incarnation, |number| number.get().into()),
        known.accepts_work.into(),
        CellValue::text(entry.address),
    ]
}

fn workspace_rows(shared: &ReplicatedState) -> Vec<TableRow> {
    let rules = shared.fleet.workspaces.iter();
    rules
        .map(|(id, rule)| {
            vec![
                CellValue::text(id),
                rule.enabled.into(),
                rule.default_class.as_str().into(),
                CellValue::list(&rule.classes),
                CellValue::option(rule.models.as_ref(), CellValue::list),
                CellValue::option(rule.domains.as_ref(), CellValue::list),
                rule.limits.len().into(),
                rule.key_digests.len().into(),
            ]
        })
        .collect()
}

fn service_rows(shared: &ReplicatedState) -> Vec<TableRow> {
    let mut processes = BTreeMap::<_, usize>::new();
    for known in &shared.upstreams {
        if let Some(service) = &known.entry.service {
            *processes.entry(service).or_default() += 1;
        }
    }
    let rules = &shared.fleet.services;
    let names: BTreeSet<_> =
        rules.keys().chain(processes.keys().copied()).collect();
    names
        .into_iter()
        .map(|name| {
            let rule = rules.get(name);
            let routes = rule.map(|rule| {
                rule.routes.iter().map(|route| {
                    let once = if route.idempotent {
                        ""
                    } else {
                        " at most once"
                    };
                    format!("{} {}{once}", route.method, route.path_prefix)
                })
            });
            vec![
                CellValue::text(name),
                CellValue::option(rule, |rule| rule.timeout_ms.into()),
                CellValue::option(routes, CellValue::list),
                processes.get(name).copied().unwrap_or(0).into(),
            ]
        })
        .collect()
}

fn upstream_rows(shared: &ReplicatedState) -> Vec<TableRow> {
    let rules = &shared.fleet.upstreams;
    let known = shared.upstreams.iter().map(|known| (&known.id, known));
    let known: BTreeMap<_, _> = known.collect();
    let ids: BTreeSet<_> = known.keys().copied().chain(rules.keys()).collect();
    ids.into_iter()
        .map(|id| upstream_row(id, known.get(id).copied(), rules.get(id)))
        .collect()
}

fn upstream_row(
    id: &UpstreamId,
    known: Option<&ListedUpstream>,
    rule: Option<&UpstreamRule>,
) -> TableRow {
    let entry = known.map(|known| &known.entry);
    let report = entry.and_then(|entry| entry.capability.as_ref());
    let service = entry.and_then(|entry| entry.service.as_ref());
    let fencing = rule.and_then(|rule| rule.checks_fencing);
    let fencing = fencing.or(report.map(|report| report.checks_fencing));
    let drained = rule.and_then(|rule| rule.drained);
    let models = rule.and_then(|rule| rule.models.as_ref());
    let role = rule.and_then(|rule| rule.role.as_ref());
    vec![
        CellValue::text(id),
        CellValue::option(entry, |entry| CellValue::text(&entry.domain)),
        CellValue::option(service, CellValue::text),
        CellValue::option(entry, |entry| CellValue::text(entry.address)),
        known.is_some_and(|known| known.accepts_work).into(),
        CellValue::option(drained, |mode| drain_mode_name(mode).into()),
        CellValue::option(entry, |entry| entry.leaving.into()),
        CellValue::option(fencing, CellValue::from),
        CellValue::option(models, CellValue::list),
        CellValue::option(role, CellValue::text),
    ]
}

fn order_rows(shared: &ReplicatedState) -> Vec<TableRow> {
    let outcomes = shared.fleet.outcomes.iter();
    outcomes
        .map(|(id, outcome)| {
            vec![
                CellValue::text(id),
                outcome.offset.get().into(),
                outcome.accepted.into(),
                CellValue::option(outcome.reason.as_ref(), CellValue::text),
            ]
        })
        .collect()
}

fn lease_rows(shared: &ReplicatedState) -> Vec<TableRow> {
    let leases = shared.fleet.leases.iter();
    leases
        .map(|(upstream, lease)| {
            vec![
                CellValue::text(upstream),
                CellValue::text(&lease.holder),
                lease.incarnation.get().into(),
                lease.token.get().into(),
            ]
        })
        .collect()
}

/// Name of a drain mode in orders and rows.
pub(crate) fn drain_mode_name(mode: DrainMode) -> &'static str {
    match mode {
        DrainMode::Finish => "finish",
        DrainMode::Move => "move",
        DrainMode::Fail => "fail",
    }
}

fn takeover_name(state: TakeoverState) -> &'static str {
    match state {
        TakeoverState::HoldDown => "waiting",
        TakeoverState::Reconciling => "reading",
        TakeoverState::Serving => "serving",
    }
}
