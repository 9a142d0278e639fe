//! The rows that this instance has for each table of the language.

use std::collections::{BTreeMap, BTreeSet};

use super::{InstanceReadiness, ServingCore};
use crate::{
    fleet::{DrainMode, LimitRule},
    freshness::Freshness,
    ids::{DomainId, UpstreamId},
    ledger::HoldState,
    owner::TakeoverState,
    peer_api::MemberState,
    query::{CellValue, QueryTable, TableRow},
    units::Timestamp,
    view::UpstreamEntry,
};

impl ServingCore {
    /// Rows of a table that this instance answers for.
    pub(super) fn table_rows(
        &self,
        now: Timestamp,
        table: QueryTable,
    ) -> Vec<TableRow> {
        match table {
            QueryTable::Requests => self.request_rows(now),
            QueryTable::Holds => self.hold_rows(now),
            QueryTable::Queues => self.queue_rows(now),
            QueryTable::Limits => self.limit_rows(now),
            QueryTable::Engines => self.engine_rows(now, true),
            QueryTable::Instances => self.instance_rows(),
            QueryTable::Domains => self.domain_rows(),
            QueryTable::Workspaces => self.workspace_rows(),
            QueryTable::Services => self.service_rows(),
            QueryTable::Upstreams => self.upstream_rows(now),
            QueryTable::Configuration => vec![self.configuration_row(now)],
            QueryTable::Orders => self.order_rows(),
            QueryTable::Leases => self.lease_rows(),
            QueryTable::Calls => self.call_rows(),
        }
    }

    fn own_cell(&self) -> CellValue {
        CellValue::text(&self.setup.instance)
    }

    fn request_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let lines = self.entries.lines();
        let row = |line: crate::entry::RequestLine<'_>| {
            let spec = line.spec;
            vec![
                CellValue::text(&spec.request),
                CellValue::text(&spec.workspace),
                CellValue::text(&spec.model),
                spec.class.as_str().into(),
                line.state.into(),
                CellValue::list(line.engines),
                spec.prompt.get().into(),
                spec.output.get().into(),
                CellValue::seconds(now.since(line.arrived)),
                CellValue::seconds(spec.deadline.since(now)),
                self.own_cell(),
            ]
        };
        lines.map(row).collect()
    }

    fn hold_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let holds = self.owners.holds();
        holds
            .map(|(engine, request, hold)| {
                vec![
                    CellValue::text(engine),
                    CellValue::text(request),
                    CellValue::option(hold.entry.as_ref(), CellValue::text),
                    hold.tokens.get().into(),
                    hold_state(hold.state).into(),
                    CellValue::seconds(now.since(hold.since)),
                    self.own_cell(),
                ]
            })
            .collect()
    }

    fn queue_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let queues = self.owners.queues();
        queues
            .map(|(engine, line)| {
                vec![
                    CellValue::text(engine),
                    line.class.as_str().into(),
                    line.waiting.into(),
                    line.tokens.get().into(),
                    CellValue::seconds(now.since(line.oldest)),
                    self.own_cell(),
                ]
            })
            .collect()
    }

    fn limit_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let view = self.view(now);
        let lines = self.entries.limits().lines(now, &view);
        lines
            .map(|line| {
                let model = line.rule.and_then(|rule| rule.model.as_ref());
                let class = |rule: &LimitRule| rule.class;
                let class = line.rule.and_then(class);
                vec![
                    CellValue::text(line.workspace),
                    line.limit.into(),
                    CellValue::option(model, CellValue::text),
                    CellValue::option(class, |class| class.as_str().into()),
                    rounded(line.used).into(),
                    rounded(line.share).into(),
                    line.running.into(),
                    line.held.into(),
                    self.own_cell(),
                ]
            })
            .collect()
    }

    /// Rows of the engines that this instance owns, or of all others without
    /// what only their owners know.
    fn engine_rows(&self, now: Timestamp, owned: bool) -> Vec<TableRow> {
        let engines = self.upstreams.table().iter();
        let engines = engines.filter(|(id, entry)| {
            let line = self.owners.line(now, id);
            entry.service.is_none() && line.is_some() == owned
        });
        engines
            .map(|(id, entry)| self.engine_row(now, id, entry))
            .collect()
    }

    fn engine_row(
        &self,
        now: Timestamp,
        id: &UpstreamId,
        entry: &UpstreamEntry,
    ) -> TableRow {
        let line = self.owners.line(now, id);
        let owner = match line {
            Some(_) => Some(&self.setup.instance),
            None => self.ownership.owners().get(id),
        };
        let report = entry.capability.as_deref();
        let models = report.map(|report| &report.models);
        let memory = report.map(|report| report.memory);
        let memory = line.map(|line| line.memory).or(memory);
        let known = report.map(|report| report.incarnation);
        let incarnation = line.and_then(|line| line.incarnation).or(known);
        vec![
            CellValue::text(id),
            CellValue::text(&entry.domain),
            CellValue::option(models, CellValue::list),
            CellValue::option(owner, CellValue::text),
            CellValue::option(line, |line| takeover(line.takeover).into()),
            CellValue::option(memory, |memory| memory.get().into()),
            CellValue::option(line, |line| line.granted.get().into()),
            CellValue::option(line, |line| line.free.get().into()),
            CellValue::option(line, |line| line.cold_step.into()),
            CellValue::option(line, |line| CellValue::seconds(line.wait)),
            CellValue::option(line, |line| line.takes_long.into()),
            CellValue::option(incarnation, |number| number.get().into()),
            self.view(now).accepts_work(id).into(),
            CellValue::text(entry.address),
        ]
    }

    /// Engines that other instances own, for those whose owner is missing.
    pub(super) fn known_rows(
        &self,
        now: Timestamp,
        table: QueryTable,
    ) -> Vec<(std::sync::Arc<str>, TableRow)> {
        if table != QueryTable::Engines {
            return Vec::new();
        }
        let rows = self.engine_rows(now, false).into_iter();
        rows.filter_map(|row| Some((row_id(&row)?, row))).collect()
    }

    /// Subjects that this instance answers for.
    pub(super) fn covered(
        table: QueryTable,
        rows: &[TableRow],
    ) -> BTreeSet<std::sync::Arc<str>> {
        if table != QueryTable::Engines {
            return BTreeSet::new();
        }
        rows.iter().filter_map(row_id).collect()
    }

    fn instance_rows(&self) -> Vec<TableRow> {
        let others = self.members.members().values();
        let others = others.map(|entry| &entry.update);
        others
            .chain([self.members.own()])
            .map(|update| {
                let applied = update.applied;
                vec![
                    CellValue::text(&update.instance),
                    CellValue::text(&update.domain),
                    member_state(update.state).into(),
                    update.incarnation.get().into(),
                    CellValue::option(applied, |offset| offset.get().into()),
                    CellValue::text(update.caller_address),
                    CellValue::text(update.peer_address),
                ]
            })
            .collect()
    }

    fn domain_rows(&self) -> Vec<TableRow> {
        let mut counts = BTreeMap::<&DomainId, (usize, usize)>::new();
        let rules = &self.reader.state().domains;
        for domain in rules.keys() {
            counts.entry(domain).or_default();
        }
        for (_, entry) in self.upstreams.table().iter() {
            let count = counts.entry(&entry.domain).or_default();
            count.0 += usize::from(entry.service.is_none());
        }
        let others = self.members.members().values();
        let others = others.filter(|entry| entry.is_present());
        let others = others.map(|entry| &entry.update.domain);
        for domain in others.chain([&self.setup.domain]) {
            counts.entry(domain).or_default().1 += 1;
        }
        counts
            .into_iter()
            .map(|(domain, (engines, instances))| {
                let closed = rules.get(domain).and_then(|rule| rule.closed);
                vec![
                    CellValue::text(domain),
                    if closed.is_some() { "closed" } else { "open" }.into(),
                    CellValue::option(closed, |mode| drain_mode(mode).into()),
                    engines.into(),
                    instances.into(),
                ]
            })
            .collect()
    }

    fn workspace_rows(&self) -> Vec<TableRow> {
        let rules = self.reader.state().workspaces.iter();
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

    fn service_rows(&self) -> Vec<TableRow> {
        let mut processes = BTreeMap::<_, usize>::new();
        for (_, entry) in self.upstreams.table().iter() {
            if let Some(service) = &entry.service {
                *processes.entry(service).or_default() += 1;
            }
        }
        let rules = &self.reader.state().services;
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

    fn upstream_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let view = self.view(now);
        let rules = &self.reader.state().upstreams;
        let table = self.upstreams.table();
        let listed = table.iter().map(|(id, _)| id);
        let ids: BTreeSet<_> = listed.chain(rules.keys()).collect();
        ids.into_iter()
            .map(|id| {
                let entry = table.get(id);
                let rule = rules.get(id);
                let report = entry.and_then(|entry| entry.capability.as_ref());
                let service = entry.and_then(|entry| entry.service.as_ref());
                let fencing = rule.and_then(|rule| rule.checks_fencing);
                let fencing = fencing.or(report.map(|it| it.checks_fencing));
                let drained = rule.and_then(|rule| rule.drained);
                let models = rule.and_then(|rule| rule.models.as_ref());
                let role = rule.and_then(|rule| rule.role.as_ref());
                vec![
                    CellValue::text(id),
                    CellValue::option(entry, |it| CellValue::text(&it.domain)),
                    CellValue::option(service, CellValue::text),
                    CellValue::option(entry, |it| CellValue::text(it.address)),
                    view.accepts_work(id).into(),
                    CellValue::option(drained, |mode| drain_mode(mode).into()),
                    CellValue::option(entry, |entry| entry.leaving.into()),
                    CellValue::option(fencing, CellValue::from),
                    CellValue::option(models, CellValue::list),
                    CellValue::option(role, CellValue::text),
                ]
            })
            .collect()
    }

    fn configuration_row(&self, now: Timestamp) -> TableRow {
        let state = self.reader.state();
        let confirmed = self.freshness.confirmed_at();
        vec![
            self.own_cell(),
            state.version.get().into(),
            CellValue::option(state.applied, |offset| offset.get().into()),
            match self.freshness.freshness(now) {
                Freshness::Confirmed => "confirmed",
                Freshness::LogOutage => "log_outage",
                Freshness::Stale => "stale",
            }
            .into(),
            CellValue::option(confirmed, |at| {
                CellValue::seconds(now.since(at))
            }),
            match self.readiness(now) {
                InstanceReadiness::Starting => "starting",
                InstanceReadiness::Ready => "ready",
                InstanceReadiness::Stale => "stale",
                InstanceReadiness::Stopping => "stopping",
            }
            .into(),
        ]
    }

    fn order_rows(&self) -> Vec<TableRow> {
        let outcomes = self.reader.state().outcomes.iter();
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

    fn lease_rows(&self) -> Vec<TableRow> {
        let leases = self.reader.state().leases.iter();
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

    fn call_rows(&self) -> Vec<TableRow> {
        let lines = self.calls.lines();
        lines
            .map(|(stream, line)| {
                vec![
                    stream.into(),
                    self.own_cell(),
                    line.keys.into(),
                    line.in_progress.into(),
                    line.waiting.into(),
                    line.at_head.into(),
                ]
            })
            .collect()
    }
}

fn row_id(row: &TableRow) -> Option<std::sync::Arc<str>> {
    match row.first() {
        Some(CellValue::Text(id)) => Some(id.clone()),
        _ => None,
    }
}

/// A part of a whole to three places.
fn rounded(part: f64) -> f64 {
    (part * 1_000.0).round() / 1_000.0
}

fn drain_mode(mode: DrainMode) -> &'static str {
    match mode {
        DrainMode::Finish => "finish",
        DrainMode::Move => "move",
        DrainMode::Fail => "fail",
    }
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}

fn takeover(state: TakeoverState) -> &'static str {
    match state {
        TakeoverState::Waiting => "waiting",
        TakeoverState::Reading => "reading",
        TakeoverState::Serving => "serving",
    }
}

fn hold_state(state: HoldState) -> &'static str {
    match state {
        HoldState::Granted => "granted",
        HoldState::Kept => "kept",
        HoldState::Started => "started",
        HoldState::Adopted => "adopted",
        HoldState::Ending => "ending",
    }
}
