//! Routing of what the log decides: calls that run at most once, and orders.

use std::time::Duration;

use super::{
    CallFailure, CoreAction, ServingCore,
    routing::{CallPurpose, TickOutput, config_stream},
};
use crate::{
    call_log::{
        CallAction, CallAsker, CallEvent, EntryAction, EntryCall, EntryEvent,
        stream_name,
    },
    config_reader::ConfigReader,
    ids::InstanceId,
    membership::MemberTable,
    order_desk::{DeskAction, DeskEvent, DeskView},
    peer_api::{ClaimRequest, PeerMessage, SettleNotice},
    refusal::RunState,
    units::Timestamp,
};

impl ServingCore {
    pub(super) fn claim_call(
        &mut self,
        now: Timestamp,
        asker: CallAsker,
        entry: InstanceId,
        ask: ClaimRequest,
        output: &mut TickOutput,
    ) {
        let event = CallEvent::Claim { asker, entry, ask };
        let actions = self.calls.handle(now, event);
        self.route_calls(now, actions, output);
    }

    pub(super) fn settle_call(
        &mut self,
        now: Timestamp,
        asker: CallAsker,
        notice: SettleNotice,
        output: &mut TickOutput,
    ) {
        let event = CallEvent::Settle { asker, notice };
        let actions = self.calls.handle(now, event);
        self.route_calls(now, actions, output);
    }

    pub(super) fn route_calls(
        &mut self,
        now: Timestamp,
        actions: Vec<CallAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                CallAction::Answer(CallAsker::Peer(inbound), reply) => {
                    Self::answer_peer(inbound, reply, output);
                }
                CallAction::Answer(CallAsker::Local(call), reply) => {
                    let result = Ok(reply);
                    let event = EntryEvent::Answered { call, result };
                    let actions = self.call_entries.handle(now, event);
                    self.route_call_entries(now, actions, output);
                }
                CallAction::Read { stream, from, wait } => {
                    let stream = stream_name(stream);
                    let read = CoreAction::ReadLog { stream, from, wait };
                    output.actions.push(read);
                }
                CallAction::Append {
                    append,
                    stream,
                    records,
                } => {
                    let call = self.number_call(CallPurpose::Call(append));
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
        actions: Vec<EntryAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                EntryAction::Call {
                    call,
                    to,
                    message,
                    timeout,
                } => {
                    self.send_call(now, call, &to, message, timeout, output);
                }
                EntryAction::Answer(inbound, answer) => {
                    let answer = CoreAction::AnswerClaim(inbound, answer);
                    output.actions.push(answer);
                }
                EntryAction::Log(event, text) => output.log(event, &text),
            }
        }
    }

    /// Sends a claim or notice to the owner of its stream, which can be this
    /// instance.
    fn send_call(
        &mut self,
        now: Timestamp,
        call: EntryCall,
        to: &InstanceId,
        message: PeerMessage,
        timeout: Duration,
        output: &mut TickOutput,
    ) {
        if *to == self.setup.instance {
            let asker = CallAsker::Local(call);
            let entry = to.clone();
            match message {
                PeerMessage::ClaimCall(ask) => {
                    self.claim_call(now, asker, entry, ask, output);
                }
                PeerMessage::SettleCall(notice) => {
                    self.settle_call(now, asker, notice, output);
                }
                _ => {}
            }
            return;
        }
        let purpose = CallPurpose::CallEntry(call);
        if !self.call_instance(to, purpose, message, timeout, output) {
            let result = Err(CallFailure {
                run_state: RunState::NotRun,
                message: format!("address of {to} is not known").into(),
            });
            let event = EntryEvent::Answered { call, result };
            let actions = self.call_entries.handle(now, event);
            self.route_call_entries(now, actions, output);
        }
    }

    pub(super) fn tick_desk(
        &mut self,
        now: Timestamp,
        output: &mut TickOutput,
    ) {
        let view = desk_view(&self.reader, &self.members);
        let actions = self.desk.tick(now, view);
        self.route_desk(now, actions, output);
    }

    pub(super) fn handle_desk(
        &mut self,
        now: Timestamp,
        event: DeskEvent,
        output: &mut TickOutput,
    ) {
        let view = desk_view(&self.reader, &self.members);
        let actions = self.desk.handle(now, event, view);
        self.route_desk(now, actions, output);
    }

    fn route_desk(
        &mut self,
        now: Timestamp,
        actions: Vec<DeskAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                DeskAction::Append(append, records) => {
                    let call = self.number_call(CallPurpose::Order(append));
                    output.actions.push(CoreAction::AppendLog {
                        call,
                        stream: config_stream(),
                        records,
                    });
                }
                DeskAction::Answer(inbound, report) => {
                    let answer = CoreAction::AnswerOrder(inbound, report);
                    output.actions.push(answer);
                }
                DeskAction::AskMembers(peers) => {
                    let actions = self.members.ask(now, &peers);
                    self.route_members(now, actions, output);
                }
            }
        }
    }
}

/// What the order desk may read.
fn desk_view<'a>(
    reader: &'a ConfigReader,
    members: &'a MemberTable,
) -> DeskView<'a> {
    DeskView {
        fleet: reader.state(),
        members,
        ready: reader.is_ready(),
        log_answers: reader.log_answers(),
    }
}
