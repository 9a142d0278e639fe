//! Routing of events, messages and results to the components of the core.

use std::{sync::Arc, time::Duration};

use super::{
    CallFailure, CoreAction, CoreEvent, InboundCallId, OutboundCallId,
    RequestDecision, ServingCore, request_routing::ResponseRoute,
};
use crate::{
    call_log::{
        CallAppendId, CallEntryEvent, CallOwnerEvent, CallRequester,
        EntryCallId,
    },
    config_reader::{ReaderAction, ReaderEvent},
    engine_orders::EngineOrderEvent,
    entry::EntryEvent,
    fleet::{ApplyOutcome, CONFIG_STREAM},
    ids::{InstanceId, RequestId, StreamName, UpstreamId},
    log_event::LogEvent,
    membership::{MemberAction, MemberEvent, ProbeId},
    order_tracker::{OrderAppendId, OrderTrackerEvent},
    owner::OwnerEvent,
    peer_api::{FetchStateResponse, MemberState, PeerRequest, PeerResponse},
    platform_api::{AppendResponse, InstanceListing, RecordPage},
    units::Timestamp,
};

/// Purpose of a call in flight, which decides where its result goes.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallPurpose {
    /// A membership probe.
    Probe(ProbeId),
    /// A request for the configuration of a peer.
    PeerState(InstanceId),
    /// A claim or notice about an idempotency key.
    CallClaim(EntryCallId),
    /// An append of a configuration snapshot.
    SnapshotAppend,
    /// An append of orders.
    OrderAppend(OrderAppendId),
    /// An append to a call stream.
    CallAppend(CallAppendId),
    /// A grant request, by its sequence number.
    Grant(u64),
    /// A notice about a grant.
    Notice,
    /// A request for the ledger of an engine.
    Handover(UpstreamId),
    /// A request for a loan on a workspace limit.
    LoanRequest,
    /// A query to a member, by the number of the query.
    Query(u64, InstanceId),
    /// A claim of the lease that permits orders to an engine.
    LeaseAppend(UpstreamId),
}

/// Actions collected during one tick.
#[derive(Debug, Default)]
pub(super) struct TickOutput {
    pub(super) actions: Vec<CoreAction>,
}

impl TickOutput {
    pub(super) fn log(&mut self, event: LogEvent, text: &str) {
        self.actions.push(CoreAction::Log(event, text.into()));
    }

    pub(super) fn decide(
        &mut self,
        request: RequestId,
        decision: RequestDecision,
    ) {
        self.actions.push(CoreAction::Decide(request, decision));
    }
}

pub(super) fn config_stream() -> StreamName {
    CONFIG_STREAM.parse().expect("constant is an id")
}

impl ServingCore {
    /// Handles an event other than requests and their progress.
    pub(super) fn route_event(
        &mut self,
        now: Timestamp,
        event: CoreEvent,
        output: &mut TickOutput,
    ) {
        match event {
            CoreEvent::PeerCalled {
                inbound,
                from,
                message,
                ..
            } => self.route_message(now, inbound, from, message, output),
            CoreEvent::PeerAnswered {
                call,
                sent_at,
                result,
            } => self.route_answer(now, call, sent_at, result, output),
            CoreEvent::LogRead {
                stream,
                sent_at,
                result,
            } => self.route_log_page(now, &stream, sent_at, result, output),
            CoreEvent::LogAppended { call, result } => {
                self.route_append(now, call, result, output);
            }
            CoreEvent::InstanceListRead(result) => {
                self.apply_instance_list(now, result, output);
            }
            CoreEvent::CapabilityRead(id, result) => {
                self.capability_read(now, id, result.ok(), output);
            }
            CoreEvent::EngineOrderAnswered(id, result) => {
                let event = EngineOrderEvent::SendCompleted(id, result);
                self.handle_engine_order(now, event, output);
            }
            CoreEvent::LoadRead(id, result) => {
                if let Ok(report) = &result {
                    let incarnation = report.incarnation;
                    self.upstreams.check_incarnation(now, &id, incarnation);
                    if report.leaving {
                        self.upstreams.record_leaving(&id, incarnation);
                    }
                }
                let event = OwnerEvent::LoadRead(id, result.ok());
                self.handle_owner(now, event, output);
            }
            CoreEvent::HeldRead(id, result) => {
                let event = OwnerEvent::HeldRead(id, result.ok());
                self.handle_owner(now, event, output);
            }
            CoreEvent::OrderSubmitted(inbound, order) => {
                let event = OrderTrackerEvent::Submitted(inbound, order);
                self.handle_order_tracker(now, event, output);
            }
            CoreEvent::OrderStatusRequested(inbound, order) => {
                let event = OrderTrackerEvent::ReportRequested(inbound, order);
                self.handle_order_tracker(now, event, output);
            }
            CoreEvent::QueryReceived(inbound, text) => {
                self.start_query(now, inbound, text, output);
            }
            CoreEvent::ClaimRequested {
                inbound,
                key,
                attempt,
                digest,
                deadline,
            } => {
                let event = CallEntryEvent::ClaimRequested {
                    inbound,
                    key,
                    attempt,
                    digest,
                    deadline,
                };
                let actions = self.call_entries.handle(now, event);
                self.route_call_entries(now, actions, output);
            }
            CoreEvent::CallSettled {
                key,
                attempt,
                result,
            } => {
                let event = CallEntryEvent::AttemptEnded {
                    key,
                    attempt,
                    result,
                };
                let actions = self.call_entries.handle(now, event);
                self.route_call_entries(now, actions, output);
            }
            _ => {}
        }
    }

    fn route_message(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        from: InstanceId,
        message: PeerRequest,
        output: &mut TickOutput,
    ) {
        match message {
            PeerRequest::Probe(gossip) => {
                let event = MemberEvent::ProbeReceived {
                    inbound,
                    from,
                    gossip,
                };
                let actions = self.members.handle(now, event);
                self.route_members(now, actions, output);
            }
            PeerRequest::IndirectProbe(target, gossip) => {
                let event = MemberEvent::IndirectProbeReceived {
                    inbound,
                    from,
                    target,
                    gossip,
                };
                let actions = self.members.handle(now, event);
                self.route_members(now, actions, output);
            }
            PeerRequest::FetchState(query) => {
                let listing = self.upstreams.listing();
                let listing = listing.map(|listing| {
                    let json = serde_json::to_string(listing.as_ref());
                    json.expect("a listing is JSON").into()
                });
                let answer = FetchStateResponse {
                    capabilities: self.members.capabilities().all(),
                    ..self.reader.answer_state(&query, listing)
                };
                let reply = PeerResponse::State(answer);
                Self::answer_peer(inbound, reply, output);
            }
            PeerRequest::ClaimCall(claim_request) => {
                let requester = CallRequester::Peer(inbound);
                self.claim_call(now, requester, from, claim_request, output);
            }
            PeerRequest::SettleCall(notice) => {
                let requester = CallRequester::Peer(inbound);
                self.settle_call(now, requester, notice, output);
            }
            PeerRequest::Grant(grant_request) => {
                let route = ResponseRoute::Peer(inbound);
                self.handle_grant_request(
                    now,
                    from,
                    route,
                    grant_request,
                    output,
                );
            }
            PeerRequest::Notice(notice) => {
                Self::answer_peer(inbound, PeerResponse::Done, output);
                let event = OwnerEvent::Noticed(from, notice);
                self.handle_owner(now, event, output);
            }
            PeerRequest::TakeOver(engine) => {
                self.handle_handover_request(
                    now, inbound, from, engine, output,
                );
            }
            PeerRequest::Borrow(loan_request) => {
                self.handle_loan_request(now, inbound, loan_request, output);
            }
            PeerRequest::Query(text) => {
                self.answer_query(now, inbound, &text, output);
            }
            PeerRequest::ReportCrashes(_) | PeerRequest::OpenRelay(_) => {
                let text = "the message is not for the core".into();
                let reply = PeerResponse::Rejected(text);
                Self::answer_peer(inbound, reply, output);
            }
        }
    }

    fn route_answer(
        &mut self,
        now: Timestamp,
        call: OutboundCallId,
        sent_at: Timestamp,
        result: Result<PeerResponse, CallFailure>,
        output: &mut TickOutput,
    ) {
        let Some(purpose) = self.pending_calls.remove(&call) else {
            return;
        };
        if result.is_ok() && !matches!(purpose, CallPurpose::Probe(_)) {
            let event = MemberEvent::PeerResponded { sent_at };
            let actions = self.members.handle(now, event);
            self.route_members(now, actions, output);
        }
        match purpose {
            CallPurpose::Probe(probe_id) => {
                let reply = result.ok();
                let event = MemberEvent::CallCompleted {
                    probe_id,
                    sent_at,
                    reply,
                };
                let actions = self.members.handle(now, event);
                self.route_members(now, actions, output);
            }
            CallPurpose::PeerState(peer) => {
                self.take_peer_state(now, peer, result, output);
            }
            CallPurpose::CallClaim(call) => {
                let event = CallEntryEvent::OwnerCallCompleted { call, result };
                let actions = self.call_entries.handle(now, event);
                self.route_call_entries(now, actions, output);
            }
            CallPurpose::Grant(sequence) => {
                let answer = match result {
                    Ok(PeerResponse::Grant(answer)) => Some(answer),
                    _ => None,
                };
                self.apply_grant_response(now, sequence, answer, output);
            }
            CallPurpose::Handover(engine) => {
                if let Ok(PeerResponse::TakenOver(answer)) = result {
                    let event = OwnerEvent::HandoverReceived(engine, answer);
                    self.handle_owner(now, event, output);
                }
            }
            CallPurpose::LoanRequest => {
                if let Ok(PeerResponse::Lent(answer)) = result {
                    let event = EntryEvent::LoanReceived {
                        requested_at: sent_at,
                        answer,
                    };
                    self.handle_entry(now, event, output);
                }
            }
            CallPurpose::Query(number, peer) => {
                self.apply_query_reply(number, peer, result, output);
            }
            CallPurpose::Notice
            | CallPurpose::SnapshotAppend
            | CallPurpose::OrderAppend(_)
            | CallPurpose::LeaseAppend(_)
            | CallPurpose::CallAppend(_) => {}
        }
    }

    fn route_append(
        &mut self,
        now: Timestamp,
        call: OutboundCallId,
        result: Result<AppendResponse, CallFailure>,
        output: &mut TickOutput,
    ) {
        match self.pending_calls.remove(&call) {
            Some(CallPurpose::SnapshotAppend) => {
                let event = ReaderEvent::SnapshotAppended(result);
                let actions = self.reader.handle(now, event);
                self.route_reader(now, actions, output);
            }
            Some(CallPurpose::OrderAppend(append)) => {
                let event = OrderTrackerEvent::Appended(append, result);
                self.handle_order_tracker(now, event, output);
            }
            Some(CallPurpose::LeaseAppend(engine)) => {
                let event =
                    EngineOrderEvent::LeaseClaimAppended(engine, result);
                self.handle_engine_order(now, event, output);
            }
            Some(CallPurpose::CallAppend(append)) => {
                let event = CallOwnerEvent::Appended { append, result };
                let actions = self.calls.handle(now, event);
                self.route_calls(now, actions, output);
            }
            _ => {}
        }
    }

    fn route_log_page(
        &mut self,
        now: Timestamp,
        stream: &StreamName,
        sent_at: Timestamp,
        result: Result<RecordPage, CallFailure>,
        output: &mut TickOutput,
    ) {
        if stream.as_str() == CONFIG_STREAM {
            let event = ReaderEvent::Read { sent_at, result };
            let actions = self.reader.handle(now, event);
            self.route_reader(now, actions, output);
            return;
        }
        let index = stream.as_str().strip_prefix("calls-");
        let index = index.and_then(|text| text.parse().ok());
        if let Some(index) = index {
            let event = CallOwnerEvent::Read {
                stream: index,
                result,
            };
            let actions = self.calls.handle(now, event);
            self.route_calls(now, actions, output);
        }
    }

    fn take_peer_state(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        result: Result<PeerResponse, CallFailure>,
        output: &mut TickOutput,
    ) {
        let answer = match result {
            Ok(PeerResponse::State(answer)) => Some(answer),
            _ => None,
        };
        if let Some(answer) = &answer {
            for update in answer.capabilities.clone() {
                self.apply_capability_update(update);
            }
            if self.upstreams.listing().is_none()
                && let Some(listing) = &answer.listing
                && let Ok(listing) = serde_json::from_str(listing)
            {
                self.apply_instance_list(now, Ok(listing), output);
            }
        }
        let event = ReaderEvent::PeerState { peer, answer };
        let actions = self.reader.handle(now, event);
        self.route_reader(now, actions, output);
    }

    fn apply_capability_update(
        &mut self,
        update: crate::peer_api::CapabilityUpdate,
    ) {
        let id = update.report.engine.clone();
        if self.members.capabilities().merge(update) {
            let report = self.members.capabilities().get(&id);
            self.upstreams.apply_capability_update(&id, report);
        }
    }

    fn apply_instance_list(
        &mut self,
        now: Timestamp,
        result: Result<InstanceListing, CallFailure>,
        output: &mut TickOutput,
    ) {
        let listing = match result {
            Ok(listing) => listing,
            Err(failure) => {
                self.upstreams.list_failed();
                output.log(LogEvent::ListUnavailable, &failure.message);
                return;
            }
        };
        let capabilities = self.members.capabilities().clone();
        let instances =
            self.upstreams.apply_listing(now, listing, &capabilities);
        let event = MemberEvent::InstancesListed(instances);
        let actions = self.members.handle(now, event);
        self.route_members(now, actions, output);
    }

    pub(super) fn route_members(
        &mut self,
        now: Timestamp,
        actions: Vec<MemberAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                MemberAction::Call {
                    probe_id,
                    to,
                    instance,
                    message,
                    timeout,
                } => {
                    let call = self.register_call(CallPurpose::Probe(probe_id));
                    output.actions.push(CoreAction::CallPeer {
                        call,
                        to,
                        instance,
                        message,
                        timeout,
                    });
                }
                MemberAction::Respond(inbound, reply) => {
                    Self::answer_peer(inbound, reply, output);
                }
                MemberAction::GossipReceived {
                    peer,
                    request_sent_at,
                    gossip,
                } => {
                    for update in gossip.capabilities.clone() {
                        self.apply_capability_update(update);
                    }
                    for summary in gossip.engines.clone() {
                        let event = EntryEvent::Summary(summary);
                        self.handle_entry(now, event, output);
                    }
                    self.freshness.record_peer_confirmation(
                        now,
                        peer.clone(),
                        request_sent_at,
                        &gossip,
                    );
                    let event = ReaderEvent::PeerApplied {
                        peer,
                        applied: gossip.applied,
                    };
                    let actions = self.reader.handle(now, event);
                    self.route_reader(now, actions, output);
                }
                MemberAction::StateChanged(instance, state) => {
                    if state != MemberState::Suspect {
                        let text = format!("{instance} is {state:?}");
                        output.log(LogEvent::MemberChanged, &text);
                    }
                    match state {
                        MemberState::Dead => {
                            let event = OwnerEvent::MemberDead(instance);
                            self.handle_owner(now, event, output);
                        }
                        MemberState::Alive => {
                            let event = OwnerEvent::MemberRecovered(instance);
                            self.handle_owner(now, event, output);
                        }
                        MemberState::Suspect | MemberState::Leaving => {}
                    }
                }
            }
        }
    }

    pub(super) fn route_reader(
        &mut self,
        now: Timestamp,
        actions: Vec<ReaderAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                ReaderAction::Read { from, wait } => {
                    let stream = config_stream();
                    let read = CoreAction::ReadLog { stream, from, wait };
                    output.actions.push(read);
                }
                ReaderAction::AskPeer {
                    peer,
                    query,
                    timeout,
                } => {
                    let message = PeerRequest::FetchState(query);
                    let purpose = CallPurpose::PeerState(peer.clone());
                    // The reader's peers may be older than the members.
                    if !self
                        .call_instance(&peer, purpose, message, timeout, output)
                    {
                        let answer = None;
                        let event = ReaderEvent::PeerState { peer, answer };
                        let actions = self.reader.handle(now, event);
                        self.route_reader(now, actions, output);
                    }
                }
                ReaderAction::AppendSnapshot(record) => {
                    let call = self.register_call(CallPurpose::SnapshotAppend);
                    output.actions.push(CoreAction::AppendLog {
                        call,
                        stream: config_stream(),
                        records: vec![record],
                    });
                }
                ReaderAction::LogAnswered { sent_at, confirmed } => {
                    let applied = self.reader.state().applied;
                    self.freshness.set_applied(applied);
                    self.freshness.log_answered(sent_at, confirmed);
                }
                ReaderAction::RecordApplied(offset, outcome) => {
                    log_judged(offset, &outcome, output);
                }
                ReaderAction::Log(event, text) => output.log(event, &text),
            }
        }
        // Orders are answered as soon as they have been read back from the log.
        self.tick_order_tracker(now, output);
    }

    /// Sends a message to a peer. Returns false if its address is not known.
    pub(super) fn call_instance(
        &mut self,
        instance: &InstanceId,
        purpose: CallPurpose,
        message: PeerRequest,
        timeout: Duration,
        output: &mut TickOutput,
    ) -> bool {
        let Some(to) = self.members.peer_address(instance) else {
            return false;
        };
        let call = self.register_call(purpose);
        output.actions.push(CoreAction::CallPeer {
            call,
            to,
            instance: Some(instance.clone()),
            message,
            timeout,
        });
        true
    }
}

fn log_judged(
    offset: crate::units::LogOffset,
    outcome: &ApplyOutcome,
    output: &mut TickOutput,
) {
    let text: Arc<str> = match outcome {
        ApplyOutcome::Applied => format!("offset {offset} applied").into(),
        ApplyOutcome::Rejected { reason } => {
            format!("offset {offset} rejected: {reason}").into()
        }
        _ => return,
    };
    output.log(LogEvent::OrderJudged, &text);
}
