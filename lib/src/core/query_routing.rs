//! Operators' queries, answered with rows of all instances.
//!
//! The instance that receives a query takes its own rows at once, sends
//! [`PeerRequest::Query`] to every present member and waits for at most
//! [`QUERY_TIMEOUT`]. A peer answers from its own state only and does not
//! forward the query. The response names each instance whose rows are missing:
//! those that did not answer in time, died recently, or are in the instance
//! list without being members. Engines without an owner appear without the
//! owner's data. Tables that are replicated to every instance, such as
//! workspaces, are answered without a message.
//!
//! A query over the fleet costs one message and one reply of at most 1 MiB for
//! each member: 949 of each at 950 instances. Replies are kept as text and
//! merged outside the core, because merging would delay the core's other work.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    CallFailure, CoreAction, InboundCallId, ServingCore,
    routing::{CallPurpose, TickOutput},
};
use crate::{
    ids::InstanceId,
    peer_api::{PeerRequest, PeerResponse},
    platform_api::ProcessKind,
    query::{
        InstanceRows, MergeInput, QueryStatement, ReplicatedState,
        UnansweredInstance, encode_bounded, parse_query,
    },
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};

/// How long to wait for the replies of the other instances.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a call counts as lost if the shell has not reported its
/// end.
const LOST_CALL_TIMEOUT: Duration = Duration::from_millis(2_250);
/// Maximum number of fleet-wide queries in flight.
const PENDING_QUERIES_MAX: usize = 16;
/// Maximum number of bytes of replies collected for one query.
const QUERY_RESPONSE_BYTES_MAX: usize = 32 << 20;
/// How long an instance that died is reported as missing.
const DEAD_INSTANCE_REPORTED: Duration = Duration::from_secs(600);

/// A fleet-wide query that waits for replies.
#[derive(Debug)]
struct PendingQuery {
    inbound: InboundCallId,
    merge_input: MergeInput,
    waiting: BTreeSet<InstanceId>,
    bytes: usize,
    due: Timestamp,
}

/// Fleet-wide queries that wait for replies, by number.
#[derive(Debug, Default)]
pub(super) struct PendingQueries {
    open: BTreeMap<u64, PendingQuery>,
    last: u64,
}

impl PendingQueries {
    /// When the next query times out.
    pub(super) fn next_timer(&self) -> Option<Timestamp> {
        self.open.values().map(|query| query.due).min()
    }
}

impl ServingCore {
    /// Parses and starts an operator's query.
    pub(super) fn start_query(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        text: Arc<str>,
        output: &mut TickOutput,
    ) {
        let statement = match parse_query(&text) {
            Ok(statement) => statement,
            Err(fault) => {
                let message = fault.render(&text);
                let refusal = Refusal::new(RefusalCode::Malformed, message);
                return answer(inbound, Err(refusal), output);
            }
        };
        let fleet_wide = match &statement {
            QueryStatement::Table(query) => query.table.has_instance_rows(),
            QueryStatement::Explain(_) => true,
        };
        if fleet_wide && self.pending_queries.open.len() >= PENDING_QUERIES_MAX
        {
            let message =
                format!("{PENDING_QUERIES_MAX} queries are in flight");
            let refusal = Refusal::new(RefusalCode::Overloaded, message);
            let refusal = refusal.with_retry_after(QUERY_TIMEOUT);
            return answer(inbound, Err(refusal), output);
        }
        let merge_input = self.begin_merge(now, statement);
        if fleet_wide {
            self.query_members(now, inbound, merge_input, text, output);
        } else {
            answer(inbound, Ok(Box::new(merge_input)), output);
        }
    }

    fn begin_merge(
        &self,
        now: Timestamp,
        statement: QueryStatement,
    ) -> MergeInput {
        let shared = match &statement {
            QueryStatement::Table(query) => {
                self.shared_tables(now, query.table)
            }
            QueryStatement::Explain(_) => ReplicatedState::default(),
        };
        MergeInput {
            local_instance: self.setup.instance.clone(),
            local_rows: self.local_rows(now, &statement),
            statement,
            peer_rows: Vec::new(),
            replicated: shared,
            missing: Vec::new(),
        }
    }

    /// Rows that come from this instance.
    fn local_rows(
        &self,
        now: Timestamp,
        statement: &QueryStatement,
    ) -> InstanceRows {
        match statement {
            QueryStatement::Table(query) => {
                let rows = self.table_rows(now, query.table);
                let covered = Self::covered_engines(query.table, &rows);
                InstanceRows {
                    rows: query.filter_and_project(rows),
                    cut: 0,
                    covered,
                }
            }
            QueryStatement::Explain(request) => InstanceRows {
                rows: self.explain.rows(request, &self.setup.instance),
                ..InstanceRows::default()
            },
        }
    }

    /// Answers a peer's query from the state of this instance.
    pub(super) fn answer_query(
        &self,
        now: Timestamp,
        inbound: InboundCallId,
        text: &str,
        output: &mut TickOutput,
    ) {
        let reply = match parse_query(text) {
            Ok(statement) => {
                let instance_rows = self.local_rows(now, &statement);
                PeerResponse::Rows(encode_bounded(instance_rows))
            }
            Err(fault) => PeerResponse::Rejected(fault.to_string().into()),
        };
        Self::answer_peer(inbound, reply, output);
    }

    fn query_members(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        mut merge_input: MergeInput,
        text: Arc<str>,
        output: &mut TickOutput,
    ) {
        merge_input.missing = self.unreachable_instances(now);
        let members = self.members.members().iter();
        let members = members.filter(|(_, entry)| entry.is_present());
        let members: Vec<InstanceId> =
            members.map(|(id, _)| id.clone()).collect();
        self.pending_queries.last += 1;
        let number = self.pending_queries.last;
        let query = PendingQuery {
            inbound,
            merge_input,
            waiting: members.iter().cloned().collect(),
            bytes: 0,
            due: now.after(LOST_CALL_TIMEOUT),
        };
        self.pending_queries.open.insert(number, query);
        for member in members {
            let purpose = CallPurpose::Query(number, member.clone());
            let message = PeerRequest::Query(text.clone());
            let sent = self.call_instance(
                &member,
                purpose,
                message,
                QUERY_TIMEOUT,
                output,
            );
            if !sent {
                let reason = "its address is unknown";
                self.mark_unanswered(number, member, reason.into());
            }
        }
        self.finish_query(number, output);
    }

    /// Instances that cannot be queried although they may have rows.
    fn unreachable_instances(&self, now: Timestamp) -> Vec<UnansweredInstance> {
        let members = self.members.members();
        let dead = members.iter().filter(|(_, entry)| {
            let recent = now.since(entry.since) < DEAD_INSTANCE_REPORTED;
            !entry.is_present() && !entry.left && recent
        });
        let dead = dead.map(|(id, entry)| UnansweredInstance {
            instance: id.clone(),
            reason: format!("dead for {:.1?}", now.since(entry.since)).into(),
        });
        let listed = self.upstreams.listing();
        let listed = listed.iter().flat_map(|listing| &listing.instances);
        let listed = listed.filter(|process| {
            process.kind == ProcessKind::Instance && !process.leaving
        });
        let listed = listed.filter_map(|process| process.id.parse().ok());
        let unheard = listed.filter(|id: &InstanceId| {
            *id != self.setup.instance && !members.contains_key(id)
        });
        let unheard = unheard.map(|instance| UnansweredInstance {
            instance,
            reason: "in the instance list, but not a member".into(),
        });
        dead.chain(unheard).collect()
    }

    /// Adds the rows of a peer, or marks it as unanswered.
    pub(super) fn apply_query_reply(
        &mut self,
        number: u64,
        peer: InstanceId,
        result: Result<PeerResponse, CallFailure>,
        output: &mut TickOutput,
    ) {
        match result {
            Ok(PeerResponse::Rows(rows)) => self.add_rows(number, peer, rows),
            Ok(PeerResponse::Rejected(reason)) => {
                self.mark_unanswered(number, peer, reason);
            }
            Ok(_) => {
                let reason = "it sent an unexpected reply";
                self.mark_unanswered(number, peer, reason.into());
            }
            Err(failure) => self.mark_unanswered(number, peer, failure.message),
        }
        self.finish_query(number, output);
    }

    fn add_rows(&mut self, number: u64, peer: InstanceId, rows: Arc<str>) {
        let Some(query) = self.pending_queries.open.get_mut(&number) else {
            return;
        };
        if query.bytes + rows.len() > QUERY_RESPONSE_BYTES_MAX {
            let reason = "the replies exceed 32 MiB; restrict the query";
            return self.mark_unanswered(number, peer, reason.into());
        }
        if query.waiting.remove(&peer) {
            query.bytes += rows.len();
            query.merge_input.peer_rows.push((peer, rows));
        }
    }

    fn mark_unanswered(
        &mut self,
        number: u64,
        instance: InstanceId,
        reason: Arc<str>,
    ) {
        if let Some(query) = self.pending_queries.open.get_mut(&number)
            && query.waiting.remove(&instance)
        {
            let missing = UnansweredInstance { instance, reason };
            query.merge_input.missing.push(missing);
        }
    }

    /// Answers a query once no reply is outstanding.
    fn finish_query(&mut self, number: u64, output: &mut TickOutput) {
        let open = &mut self.pending_queries.open;
        if open.get(&number).is_some_and(|it| it.waiting.is_empty())
            && let Some(query) = open.remove(&number)
        {
            answer(query.inbound, Ok(Box::new(query.merge_input)), output);
        }
    }

    /// Answers the queries that have timed out.
    pub(super) fn expire_queries(
        &mut self,
        now: Timestamp,
        output: &mut TickOutput,
    ) {
        let due = self.pending_queries.open.iter();
        let due = due.filter(|(_, query)| now >= query.due);
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            let waiting = self.pending_queries.open.get(&number);
            let waiting = waiting.map(|query| query.waiting.clone());
            for peer in waiting.unwrap_or_default() {
                let reason = format!("no answer within {QUERY_TIMEOUT:?}");
                self.mark_unanswered(number, peer, reason.into());
            }
            self.finish_query(number, output);
        }
    }
}

fn answer(
    inbound: InboundCallId,
    result: Result<Box<MergeInput>, Refusal>,
    output: &mut TickOutput,
) {
    output
        .actions
        .push(CoreAction::AnswerQuery(inbound, result));
}
