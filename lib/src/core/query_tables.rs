//! The rows of this instance for each table of the query language.

use std::collections::{BTreeMap, BTreeSet};

use super::{InstanceReadiness, ServingCore};
use crate::{
    fleet::LimitRule,
    freshness::Freshness,
    ids::DomainId,
    ledger::ReservationState,
    peer_api::MemberState,
    query::{
        CellValue, ListedUpstream, QueryTable, ReplicatedState, TableRow,
        drain_mode_name, engine_row,
    },
    units::Timestamp,
};

impl ServingCore {
    /// Rows of this instance for a table.
    pub(super) fn table_rows(
        &self,
        now: Timestamp,
        table: QueryTable,
    ) -> Vec<TableRow> {
        match table {
            QueryTable::Requests => self.request_rows(now),
            QueryTable::Reservations => self.reservation_rows(now),
            QueryTable::Queues => self.queue_rows(now),
            QueryTable::Limits => self.limit_rows(now),
            QueryTable::Engines => self.engine_rows(now),
            QueryTable::Instances => self.instance_rows(),
            QueryTable::Domains => self.domain_rows(),
            QueryTable::Configuration => vec![self.configuration_row(now)],
            QueryTable::Calls => self.call_rows(),
            // Built from the replicated state, outside the core.
            QueryTable::Workspaces
            | QueryTable::Services
            | QueryTable::Upstreams
            | QueryTable::Orders
            | QueryTable::Leases => Vec::new(),
        }
    }

    fn instance_cell(&self) -> CellValue {
        CellValue::text(&self.setup.instance)
    }

    fn request_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let statuses = self.entries.statuses();
        let row = |status: crate::entry::RequestStatus<'_>| {
            let descriptor = status.descriptor;
            vec![
                CellValue::text(&descriptor.request),
                CellValue::text(&descriptor.workspace),
                CellValue::text(&descriptor.model),
                descriptor.class.as_str().into(),
                status.state.into(),
                CellValue::list(status.engines),
                descriptor.prompt.get().into(),
                descriptor.output.get().into(),
                CellValue::seconds(now.since(status.arrived)),
                CellValue::seconds(descriptor.deadline.since(now)),
                self.instance_cell(),
            ]
        };
        statuses.map(row).collect()
    }

    fn reservation_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let reservations = self.owners.reservations();
        reservations
            .map(|(engine, request, reservation)| {
                vec![
                    CellValue::text(engine),
                    CellValue::text(request),
                    CellValue::option(
                        reservation.entry.as_ref(),
                        CellValue::text,
                    ),
                    reservation.tokens.get().into(),
                    reservation_state(reservation.state).into(),
                    CellValue::seconds(now.since(reservation.state_since)),
                    self.instance_cell(),
                ]
            })
            .collect()
    }

    fn queue_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let queues = self.owners.queues();
        queues
            .map(|(engine, queue)| {
                vec![
                    CellValue::text(engine),
                    queue.class.as_str().into(),
                    queue.waiting.into(),
                    queue.tokens.get().into(),
                    CellValue::seconds(now.since(queue.oldest)),
                    self.instance_cell(),
                ]
            })
            .collect()
    }

    fn limit_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let view = self.view(now);
        let statuses = self.entries.limits().statuses(now, &view);
        statuses
            .map(|status| {
                let model = status.rule.and_then(|rule| rule.model.as_ref());
                let class = |rule: &LimitRule| rule.class;
                let class = status.rule.and_then(class);
                vec![
                    CellValue::text(status.workspace),
                    status.limit.into(),
                    CellValue::option(model, CellValue::text),
                    CellValue::option(class, |class| class.as_str().into()),
                    round_to_thousandths(status.used).into(),
                    round_to_thousandths(status.share).into(),
                    status.running.into(),
                    status.held.into(),
                    self.instance_cell(),
                ]
            })
            .collect()
    }

    /// Rows of the engines that this instance owns.
    fn engine_rows(&self, now: Timestamp) -> Vec<TableRow> {
        let view = self.view(now);
        let engines = self.upstreams.table().iter();
        engines
            .filter_map(|(id, entry)| {
                let status = self.owners.status(now, id)?;
                let upstream = ListedUpstream {
                    id: id.clone(),
                    entry: entry.clone(),
                    owner: Some(self.setup.instance.clone()),
                    accepts_work: view.accepts_work(id),
                };
                Some(engine_row(&upstream, Some(status)))
            })
            .collect()
    }

    /// Replicated state that a table is built from. Only references and entries
    /// are copied here. The rows are built outside the core, as there may be
    /// ten thousand.
    pub(super) fn shared_tables(
        &self,
        now: Timestamp,
        table: QueryTable,
    ) -> ReplicatedState {
        let needed = matches!(
            table,
            QueryTable::Engines | QueryTable::Upstreams | QueryTable::Services
        );
        let view = self.view(now);
        let owners = self.ownership.owners();
        let entries = self.upstreams.table().iter().filter(|_| needed);
        let upstreams = entries.map(|(id, entry)| ListedUpstream {
            id: id.clone(),
            entry: entry.clone(),
            owner: owners.get(id).cloned(),
            accepts_work: view.accepts_work(id),
        });
        ReplicatedState {
            fleet: self.reader.state().clone(),
            upstreams: upstreams.collect(),
        }
    }

    /// Engines for which this instance returned rows, so that the merge does
    /// not add rows without an owner's data for them.
    pub(super) fn covered_engines(
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
            .chain([self.members.local_member()])
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
                    CellValue::option(closed, |mode| {
                        drain_mode_name(mode).into()
                    }),
                    engines.into(),
                    instances.into(),
                ]
            })
            .collect()
    }

    fn configuration_row(&self, now: Timestamp) -> TableRow {
        let state = self.reader.state();
        let confirmed = self.freshness.confirmed_at();
        vec![
            self.instance_cell(),
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

    fn call_rows(&self) -> Vec<TableRow> {
        let streams = self.calls.stream_stats();
        streams
            .map(|(stream, stats)| {
                vec![
                    stream.into(),
                    self.instance_cell(),
                    stats.keys.into(),
                    stats.in_progress.into(),
                    stats.waiting.into(),
                    stats.at_head.into(),
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

/// Rounds a fraction to three decimal places.
fn round_to_thousandths(fraction: f64) -> f64 {
    (fraction * 1_000.0).round() / 1_000.0
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}

fn reservation_state(state: ReservationState) -> &'static str {
    match state {
        ReservationState::Granted => "granted",
        ReservationState::Kept => "kept",
        ReservationState::Started => "started",
        ReservationState::Adopted => "adopted",
        ReservationState::Ending => "ending",
    }
}
