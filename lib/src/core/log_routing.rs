//! Connects the components that decide by means of the log to the rest of the
//! core: service calls that run at most once, and operators' orders.

use std::time::Duration;

use super::{
    CallFailure, CoreAction, ServingCore,
    routing::{CallPurpose, TickOutput, config_stream},
};
use crate::{
    call_log::{
        CallEntryAction, CallEntryEvent, CallOwnerAction, CallOwnerEvent,
        CallRequester, EntryCallId, stream_name,
    },
    config_reader::ConfigReader,
    ids::InstanceId,
    membership::MemberTable,
    order_tracker::{OrderTrackerAction, OrderTrackerEvent, OrderTrackerView},
    peer_api::{ClaimRequest, PeerRequest, SettleRequest},
    refusal::RunState,
    units::Timestamp,
};

impl ServingCore {
    pub(super) fn claim_call(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        entry: InstanceId,
        claim_request: ClaimRequest,
        output: &mut TickOutput,
    ) {
        let event = CallOwnerEvent::Claim {
            requester,
            entry,
            request: claim_request,
        };
        let actions = self.calls.handle(now, event);
        self.route_calls(now, actions, output);
    }

    pub(super) fn settle_call(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        notice: SettleRequest,
        output: &mut TickOutput,
    ) {
        let event = CallOwnerEvent::Settle { requester, notice };
        let actions = self.calls.handle(now, event);
        self.route_calls(now, actions, output);
    }

    pub(super) fn route_calls(
        &mut self,
        now: Timestamp,
        actions: Vec<CallOwnerAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                CallOwnerAction::Respond(
                    CallRequester::Peer(inbound),
                    reply,
                ) => {
                    Self::answer_peer(inbound, reply, output);
                }
                CallOwnerAction::Respond(CallRequester::Local(call), reply) => {
                    let result = Ok(reply);
                    let event =
                        CallEntryEvent::OwnerCallCompleted { call, result };
                    let actions = self.call_entries.handle(now, event);
                    self.route_call_entries(now, actions, output);
                }
                CallOwnerAction::Read { stream, from, wait } => {
                    let stream = stream_name(stream);
                    let read = CoreAction::ReadLog { stream, from, wait };
                    output.actions.push(read);
                }
                CallOwnerAction::Append {
                    append,
                    stream,
                    records,
                } => {
                    let call =
                        self.register_call(CallPurpose::CallAppend(append));
                    output.actions.push(CoreAction::AppendLog {
                        call,
                        stream: stream_name(stream),
                        records,
                    });
                }
            }
        }
    }

    pub(super) fn route_call_entries(
        &mut self,
        now: Timestamp,
        actions: Vec<CallEntryAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                CallEntryAction::Call {
                    call,
                    to,
                    message,
                    timeout,
                } => {
                    self.send_call(now, call, &to, message, timeout, output);
                }
                CallEntryAction::Respond(inbound, answer) => {
                    let answer = CoreAction::AnswerClaim(inbound, answer);
                    output.actions.push(answer);
                }
                CallEntryAction::Log(event, text) => output.log(event, &text),
            }
        }
    }

    /// Sends a claim or notice to the instance that owns its call stream. If
    /// that is this instance, it is handled at once.
    fn send_call(
        &mut self,
        now: Timestamp,
        call: EntryCallId,
        to: &InstanceId,
        message: PeerRequest,
        timeout: Duration,
        output: &mut TickOutput,
    ) {
        if *to == self.setup.instance {
            let requester = CallRequester::Local(call);
            let entry = to.clone();
            match message {
                PeerRequest::ClaimCall(claim_request) => {
                    self.claim_call(
                        now,
                        requester,
                        entry,
                        claim_request,
                        output,
                    );
                }
                PeerRequest::SettleCall(notice) => {
                    self.settle_call(now, requester, notice, output);
                }
                _ => {}
            }
            return;
        }
        let purpose = CallPurpose::CallClaim(call);
        if !self.call_instance(to, purpose, message, timeout, output) {
            let result = Err(CallFailure {
                run_state: RunState::NotRun,
                message: format!("address of {to} is unknown").into(),
            });
            let event = CallEntryEvent::OwnerCallCompleted { call, result };
            let actions = self.call_entries.handle(now, event);
            self.route_call_entries(now, actions, output);
        }
    }

    pub(super) fn tick_order_tracker(
        &mut self,
        now: Timestamp,
        output: &mut TickOutput,
    ) {
        let view = order_tracker_view(&self.reader, &self.members);
        let actions = self.order_tracker.tick(now, view);
        self.route_order_tracker(now, actions, output);
    }

    pub(super) fn handle_order_tracker(
        &mut self,
        now: Timestamp,
        event: OrderTrackerEvent,
        output: &mut TickOutput,
    ) {
        let view = order_tracker_view(&self.reader, &self.members);
        let actions = self.order_tracker.handle(now, event, view);
        self.route_order_tracker(now, actions, output);
    }

    fn route_order_tracker(
        &mut self,
        now: Timestamp,
        actions: Vec<OrderTrackerAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                OrderTrackerAction::Append(append, records) => {
                    let call =
                        self.register_call(CallPurpose::OrderAppend(append));
                    output.actions.push(CoreAction::AppendLog {
                        call,
                        stream: config_stream(),
                        records,
                    });
                }
                OrderTrackerAction::Respond(inbound, report) => {
                    let answer = CoreAction::AnswerOrder(inbound, report);
                    output.actions.push(answer);
                }
                OrderTrackerAction::RequestGossip(peers) => {
                    let actions = self.members.request_gossip(now, &peers);
                    self.route_members(now, actions, output);
                }
            }
        }
    }
}

/// State that the order tracker reads.
fn order_tracker_view<'a>(
    reader: &'a ConfigReader,
    members: &'a MemberTable,
) -> OrderTrackerView<'a> {
    OrderTrackerView {
        fleet: reader.state(),
        members,
        ready: reader.is_ready(),
        log_available: reader.log_available(),
    }
}
