//! Routing between the entry side of requests and the owners of engines.
//!
//! Messages to this instance's own engines are handled inside the core; all
//! others are sent to the peer that owns the engine.

use super::{
    CoreAction, InboundCallId, RequestDescriptor, RequestProgress, ServingCore,
    routing::{CallPurpose, TickOutput},
};
use crate::{
    entry::{EntryAction, EntryEvent},
    fleet_view::FleetView,
    ids::{InstanceId, RequestId, UpstreamId},
    limits::LoanRequest,
    owner::{OwnerAction, OwnerEvent},
    ownership::former_owner,
    peer_api::{
        GrantNotice, GrantRequest, GrantResponse, MemberState, PeerRequest,
        PeerResponse,
    },
    planned_stop::StopSchedule,
    units::Timestamp,
};

/// Timeout of a notice about a grant. A lost notice needs no retry: the owner
/// learns the same from the engine's list of held requests.
const NOTICE_TIMEOUT: std::time::Duration =
    std::time::Duration::from_millis(1_000);

/// Timeout of a request to the former owner of an engine for its ledger.
const HANDOVER_TIMEOUT: std::time::Duration =
    std::time::Duration::from_millis(250);
/// How long after its death an instance is still considered as the former owner
/// of an engine.
const FORMER_OWNER_WINDOW: std::time::Duration =
    std::time::Duration::from_secs(5);

/// Receiver of a response of the owner side or the entry side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseRoute {
    /// The peer that made the call.
    Peer(InboundCallId),
    /// The entry side of this instance, which waits for the answer to the grant
    /// request with this sequence number.
    Local(u64),
}

/// Builds the view that placement and grants read. A macro, because a method
/// would borrow the whole core and so prevent changes to the tables that are
/// called with the view.
macro_rules! fleet_view {
    ($core:expr, $now:expr) => {
        FleetView {
            local_instance: &$core.setup.instance,
            local_domain: &$core.setup.domain,
            fleet: $core.reader.state(),
            upstreams: $core.upstreams.table(),
            owners: $core.ownership.owners(),
            live_instances: $core.members.live_count(),
            configuration_fresh: $core.reader.is_ready()
                && $core.freshness.is_fresh($now),
            may_act_as_owner: $core.members.may_act_as_owner($now),
        }
    };
}

pub(super) use fleet_view;

impl ServingCore {
    /// Handles a new request of a caller.
    pub(super) fn handle_arrival(
        &mut self,
        now: Timestamp,
        descriptor: RequestDescriptor,
        output: &mut TickOutput,
    ) {
        let event =
            OwnerEvent::Arrived(descriptor.model.clone(), descriptor.prompt);
        self.handle_owner(now, event, output);
        self.handle_entry(now, EntryEvent::Arrived(descriptor), output);
    }

    /// Handles the progress of a request.
    pub(super) fn handle_progress(
        &mut self,
        now: Timestamp,
        request: RequestId,
        progress: RequestProgress,
        output: &mut TickOutput,
    ) {
        let event = EntryEvent::Progress(request, progress);
        self.handle_entry(now, event, output);
    }

    /// Limits the requests in flight to the time that a planned stop leaves.
    pub(super) fn limit_requests(
        &mut self,
        now: Timestamp,
        schedule: StopSchedule,
        output: &mut TickOutput,
    ) {
        let view = fleet_view!(self, now);
        let actions = self.entries.begin_stop(now, schedule, &view);
        self.trace_outcome(now, None, false, &actions);
        self.route_entry(now, actions, output);
    }

    /// Runs the timers of the owner side and the entry side.
    pub(super) fn tick_requests(
        &mut self,
        now: Timestamp,
        output: &mut TickOutput,
    ) {
        let view = fleet_view!(self, now);
        let actions = self.owners.tick(now, &view);
        self.route_owner(now, actions, output);
        let view = fleet_view!(self, now);
        let actions = self.entries.tick(now, &view);
        self.trace_outcome(now, None, false, &actions);
        self.route_entry(now, actions, output);
    }

    pub(super) fn handle_entry(
        &mut self,
        now: Timestamp,
        event: EntryEvent,
        output: &mut TickOutput,
    ) {
        let request = self.trace_input(now, &event);
        let arrived = matches!(event, EntryEvent::Arrived(_));
        let view = fleet_view!(self, now);
        let actions = self.entries.handle(now, event, &view);
        self.trace_outcome(now, request.as_ref(), arrived, &actions);
        self.route_entry(now, actions, output);
    }

    pub(super) fn handle_owner(
        &mut self,
        now: Timestamp,
        event: OwnerEvent,
        output: &mut TickOutput,
    ) {
        let view = fleet_view!(self, now);
        let actions = self.owners.handle(now, event, &view);
        self.route_owner(now, actions, output);
    }

    /// Handles a grant request of a peer or of this instance.
    pub(super) fn handle_grant_request(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        route: ResponseRoute,
        grant_request: GrantRequest,
        output: &mut TickOutput,
    ) {
        self.next_response_route += 1;
        let response_id = self.next_response_route;
        self.response_routes.insert(response_id, route);
        if let Some(answer) = self.refuse_unloading(&grant_request) {
            return self.answer_grant_request(now, response_id, answer, output);
        }
        let event = OwnerEvent::GrantRequested {
            from,
            response_id,
            grant_request,
        };
        self.handle_owner(now, event, output);
    }

    fn route_owner(
        &mut self,
        now: Timestamp,
        actions: Vec<OwnerAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                OwnerAction::Answer {
                    response_id,
                    answer,
                    ..
                } => {
                    self.answer_grant_request(now, response_id, answer, output);
                }
                OwnerAction::RequestHandover(id) => {
                    self.request_handover(now, id, output);
                }
                OwnerAction::AnswerHandover {
                    response_id,
                    answer,
                } => {
                    if let Some(ResponseRoute::Peer(inbound)) =
                        self.response_routes.remove(&response_id)
                    {
                        let reply = PeerResponse::TakenOver(answer);
                        Self::answer_peer(inbound, reply, output);
                    }
                }
                OwnerAction::ReadLoad(id) => {
                    self.read_engine(id, CoreAction::ReadLoad, output);
                }
                OwnerAction::ReadHeld(id) => {
                    self.read_engine(id, CoreAction::ReadHeld, output);
                }
                OwnerAction::CancelAtEngine(id, request) => {
                    self.cancel_at_engine(id, request, output);
                }
            }
        }
    }

    fn route_entry(
        &mut self,
        now: Timestamp,
        actions: Vec<EntryAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                EntryAction::Decide(request, decision) => {
                    output.decide(request, decision);
                }
                EntryAction::RequestGrant {
                    owner,
                    sequence,
                    grant_request,
                    timeout,
                } => {
                    if owner == self.setup.instance {
                        let route = ResponseRoute::Local(sequence);
                        self.handle_grant_request(
                            now,
                            owner,
                            route,
                            grant_request,
                            output,
                        );
                        continue;
                    }
                    let purpose = CallPurpose::Grant(sequence);
                    let message = PeerRequest::Grant(grant_request);
                    if !self.call_instance(
                        &owner, purpose, message, timeout, output,
                    ) {
                        self.apply_grant_response(now, sequence, None, output);
                    }
                }
                EntryAction::Notify(owner, notice) => {
                    self.notify_owner(now, owner, notice, output);
                }
                EntryAction::CancelAtEngine(id, request) => {
                    self.cancel_at_engine(id, request, output);
                }
                EntryAction::RequestLoan(loan_request) => {
                    self.request_loan(loan_request, output)
                }
                EntryAction::AnswerLoanRequest {
                    response_id,
                    answer,
                } => {
                    if let Some(ResponseRoute::Peer(inbound)) =
                        self.response_routes.remove(&response_id)
                    {
                        let reply = PeerResponse::Lent(answer);
                        Self::answer_peer(inbound, reply, output);
                    }
                }
                EntryAction::CountRefusal(code) => {
                    output.actions.push(CoreAction::CountRefusal(code));
                }
                EntryAction::CountRetry(reason) => {
                    output.actions.push(CoreAction::CountRetry(reason));
                }
            }
        }
    }

    /// Requests the ledger of an engine from its former owner, unless that
    /// owner is dead.
    fn request_handover(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        output: &mut TickOutput,
    ) {
        let Some(entry) = self.upstreams.table().get(&id) else {
            return;
        };
        let members = self.members.members().iter();
        let candidates = members
            .filter(|(_, member)| {
                let lost_for = now.since(member.since);
                member.is_present() || lost_for < FORMER_OWNER_WINDOW
            })
            .map(|(id, member)| (id.clone(), member.update.domain.clone()))
            .collect();
        let local_instance = &self.setup.instance;
        let former =
            former_owner(&id, &entry.domain, local_instance, &candidates);
        if let Some(former) = former {
            let purpose = CallPurpose::Handover(id.clone());
            let message = PeerRequest::TakeOver(id);
            // The address of a dead member is not known, so nothing is sent and
            // the engine waits until the end of its hold-down.
            self.call_instance(
                &former,
                purpose,
                message,
                HANDOVER_TIMEOUT,
                output,
            );
        }
    }

    /// Handles a request of an engine's new owner for its ledger.
    pub(super) fn handle_handover_request(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        from: InstanceId,
        engine: UpstreamId,
        output: &mut TickOutput,
    ) {
        self.next_response_route += 1;
        let response_id = self.next_response_route;
        self.response_routes
            .insert(response_id, ResponseRoute::Peer(inbound));
        let event = OwnerEvent::HandoverRequested {
            from,
            response_id,
            engine,
        };
        self.handle_owner(now, event, output);
    }

    /// Requests a loan on a workspace limit from one live peer; consecutive
    /// calls use different peers.
    fn request_loan(
        &mut self,
        loan_request: LoanRequest,
        output: &mut TickOutput,
    ) {
        let members = self.members.members();
        let live: Vec<&InstanceId> = members
            .iter()
            .filter(|(_, entry)| entry.update.state == MemberState::Alive)
            .map(|(id, _)| id)
            .collect();
        if live.is_empty() {
            return;
        }
        self.next_lender = self.next_lender.wrapping_add(1);
        let peer = live[self.next_lender % live.len()].clone();
        let message = PeerRequest::Borrow(loan_request);
        self.call_instance(
            &peer,
            CallPurpose::LoanRequest,
            message,
            NOTICE_TIMEOUT,
            output,
        );
    }

    /// Handles a peer's request for a loan on a workspace limit.
    pub(super) fn handle_loan_request(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        loan_request: LoanRequest,
        output: &mut TickOutput,
    ) {
        self.next_response_route += 1;
        let response_id = self.next_response_route;
        self.response_routes
            .insert(response_id, ResponseRoute::Peer(inbound));
        let event = EntryEvent::LoanRequested {
            response_id,
            loan_request,
        };
        self.handle_entry(now, event, output);
    }

    fn answer_grant_request(
        &mut self,
        now: Timestamp,
        response_id: u64,
        answer: GrantResponse,
        output: &mut TickOutput,
    ) {
        match self.response_routes.remove(&response_id) {
            Some(ResponseRoute::Peer(inbound)) => {
                let reply = PeerResponse::Grant(answer);
                Self::answer_peer(inbound, reply, output);
            }
            Some(ResponseRoute::Local(sequence)) => {
                self.apply_grant_response(now, sequence, Some(answer), output);
            }
            None => {}
        }
    }

    /// Passes the answer to a grant request to the entry side; `None` if the
    /// owner could not be reached.
    pub(super) fn apply_grant_response(
        &mut self,
        now: Timestamp,
        sequence: u64,
        answer: Option<GrantResponse>,
        output: &mut TickOutput,
    ) {
        let event = EntryEvent::GrantAnswered(sequence, answer);
        self.handle_entry(now, event, output);
    }

    fn notify_owner(
        &mut self,
        now: Timestamp,
        owner: InstanceId,
        notice: GrantNotice,
        output: &mut TickOutput,
    ) {
        if owner == self.setup.instance {
            let event = OwnerEvent::Noticed(owner, notice);
            self.handle_owner(now, event, output);
            return;
        }
        let message = PeerRequest::Notice(notice);
        self.call_instance(
            &owner,
            CallPurpose::Notice,
            message,
            NOTICE_TIMEOUT,
            output,
        );
    }

    fn read_engine(
        &self,
        id: UpstreamId,
        build: impl Fn(UpstreamId, std::net::SocketAddr) -> CoreAction,
        output: &mut TickOutput,
    ) {
        if let Some(entry) = self.upstreams.table().get(&id) {
            output.actions.push(build(id, entry.address));
        }
    }

    fn cancel_at_engine(
        &self,
        id: UpstreamId,
        request: RequestId,
        output: &mut TickOutput,
    ) {
        if let Some(entry) = self.upstreams.table().get(&id) {
            let address = entry.address;
            let cancel = CoreAction::CancelAtEngine(id, address, request);
            output.actions.push(cancel);
        }
    }
}
