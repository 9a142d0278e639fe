//! Messages between instances.
//!
//! A call carries one [`PeerEnvelope`] and returns one [`PeerResponse`]. The
//! codec (bincode) is not self-describing: fields and variants are identified
//! by position, no field may be skipped and no enum may be untagged. Data that
//! is JSON elsewhere is therefore sent as JSON text.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    api::PriorityClass,
    engine_api::CapabilityReport,
    gateway::prompt_quarantine::PromptReport,
    ids::{
        DomainId, InstanceId, ModelName, OrderId, RequestId, ServiceName,
        UpstreamId, WorkspaceId,
    },
    ledger::ReservationState,
    limits::{LoanRequest, LoanResponse},
    refusal::{Refusal, RefusalCode, RunState},
    units::{Incarnation, LogOffset, TokenCount},
    value_type,
};

/// Version of the message format. Messages of other versions are rejected.
pub const PEER_VERSION: u16 = 1;
/// Listed by servers that also understand [`PeerRequest::ReportCrashes`].
pub const CRASH_REPORT_VERSION: u16 = 2;
/// Listed by servers that also understand [`PeerRequest::OpenRelay`].
pub const RELAY_VERSION: u16 = 3;

value_type! {
    /// A message with its sender and the proof of its origin.
    pub struct PeerEnvelope {
        /// Format of the message; see [`PEER_VERSION`].
        pub version: u16,
        /// Sending instance.
        pub from: InstanceId,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Proof that the sender knows the fleet secret.
        pub proof: Arc<str>,
        /// Content of the envelope.
        pub message: PeerRequest,
    }
}

value_type! {
    /// A request or notification to a peer.
    pub enum PeerRequest {
        /// Liveness probe, carrying gossip.
        Probe(Gossip),
        /// Asks the receiver to probe an instance that did not respond to the
        /// sender.
        IndirectProbe(InstanceId, Gossip),
        /// Asks for the whole configuration if it is newer than the sender's.
        FetchState(FetchStateRequest),
        /// Asks the owner of an engine for a grant.
        Grant(GrantRequest),
        /// Reports the use of a grant to the owner of the engine.
        Notice(GrantNotice),
        /// Asks the former owner of an engine to hand over its ledger.
        TakeOver(UpstreamId),
        /// Asks the owner of a call stream to claim an idempotency key.
        ClaimCall(ClaimRequest),
        /// Reports the end of an attempt to the owner of the call stream.
        SettleCall(SettleRequest),
        /// Asks to borrow a share of a workspace's limit.
        Borrow(LoanRequest),
        /// Asks for the receiver's rows of a query, given as text.
        Query(Arc<str>),
        /// Reports requests that crash upstreams, and asks for what the receiver
        /// knows of them. Sent only to servers that list
        /// [`CRASH_REPORT_VERSION`].
        ReportCrashes(PromptReport),
        /// Asks the receiver to connect to an upstream, for a connection that
        /// the sender then makes with the returned token. Sent only to servers
        /// that list [`RELAY_VERSION`].
        OpenRelay(UpstreamId),
    }
}

impl PeerRequest {
    /// Version that a server must list to understand the message.
    pub fn required_version(&self) -> u16 {
        match self {
            Self::ReportCrashes(_) => CRASH_REPORT_VERSION,
            Self::OpenRelay(_) => RELAY_VERSION,
            _ => PEER_VERSION,
        }
    }
}

value_type! {
    /// Response to a [`PeerRequest`].
    pub enum PeerResponse {
        /// Response to a probe: the probed instance is alive.
        Ack(Gossip),
        /// Response to [`PeerRequest::IndirectProbe`]: the instance did not
        /// respond to the receiver either.
        Nack,
        /// Response to [`PeerRequest::FetchState`].
        State(FetchStateResponse),
        /// Response to [`PeerRequest::Grant`].
        Grant(GrantResponse),
        /// Response to [`PeerRequest::TakeOver`]. `None` if the receiver has no
        /// reliable ledger of the engine.
        TakenOver(Option<HandoverResponse>),
        /// Response to [`PeerRequest::ClaimCall`].
        Claim(ClaimResponse),
        /// Response to [`PeerRequest::Borrow`].
        Lent(LoanResponse),
        /// The notification was processed.
        Done,
        /// Response to [`PeerRequest::Query`]:
        /// [`InstanceRows`](crate::query::InstanceRows) as JSON text.
        Rows(Arc<str>),
        /// The message was invalid or not permitted, for this reason.
        Rejected(Arc<str>),
        /// Response to [`PeerRequest::ReportCrashes`].
        Crashes(PromptReport),
        /// Response to [`PeerRequest::OpenRelay`]. `None` if the receiver did
        /// not reach the upstream.
        RelayOpened(Option<RelayToken>),
    }
}

value_type! {
    /// Random number by which a relayed connection is recognized; valid once.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct RelayToken(pub [u8; 16]);
}

value_type! {
    /// State that instances disseminate with their probes.
    pub struct Gossip {
        /// Highest configuration offset that the sender has applied; `None`
        /// before the first one.
        pub applied: Option<LogOffset>,
        /// Time since the log service confirmed that `applied` was the head of
        /// the configuration stream. `None` without such a confirmation.
        pub confirmed_age: Option<Duration>,
        /// Whether the sender has reached the log service within the last
        /// seconds.
        pub log_reached: bool,
        /// States of members, the sender's own first.
        pub updates: Vec<MemberUpdate>,
        /// Summaries of engines that the sender owns.
        pub engines: Vec<EngineSummary>,
        /// Recent capability reports of engines, forwarded from their owners.
        #[serde(rename = "facts")]
        pub capabilities: Vec<CapabilityUpdate>,
    }
}

value_type! {
    /// An engine's capabilities, versioned so that receivers keep the newest.
    pub struct CapabilityUpdate {
        /// Increases with each change within one incarnation of the engine.
        pub revision: u64,
        /// Report as read from the engine by its owner.
        pub report: CapabilityReport,
    }
}

value_type! {
    /// State of one member, as known to the sender of the gossip.
    #[expect(missing_docs, reason = "the other names are self-explanatory")]
    pub struct MemberUpdate {
        pub instance: InstanceId,
        /// Incarnation of the member for which the state holds.
        pub incarnation: Incarnation,
        pub state: MemberState,
        /// Address of the listener for peers.
        pub peer_address: SocketAddr,
        /// Address of the listener for callers.
        pub caller_address: SocketAddr,
        /// Failure domain in which the member runs.
        pub domain: DomainId,
        /// Highest configuration offset that the member has applied; `None`
        /// before the first one.
        pub applied: Option<LogOffset>,
    }
}

value_type! {
    /// Liveness of a member, ordered: within one incarnation, a report of a
    /// later variant replaces an earlier one.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum MemberState {
        /// Responds to probes.
        Alive,
        /// Responds to probes and is about to stop.
        Leaving,
        /// Has not responded, and is declared dead unless it refutes this in
        /// time.
        Suspect,
        /// Does not respond, or has left.
        Dead,
    }
}

value_type! {
    /// Free capacity of an engine, according to its owner.
    pub struct EngineSummary {
        /// Engine that the summary describes.
        pub engine: UpstreamId,
        /// Memory that can still be granted.
        pub headroom: TokenCount,
        /// Slots that can still be granted.
        pub free_slots: u32,
        /// Whether the engine is about to shut down. An engine reports this
        /// only to its owner; other instances learn it from the summary.
        pub leaving: bool,
        /// Predicted time until the prefill of a new prompt would start.
        pub wait: Duration,
        /// Whether the engine accepts long prompts.
        pub takes_long: bool,
    }
}

value_type! {
    /// Asks for a configuration newer than the sender's.
    pub struct FetchStateRequest {
        /// Highest offset that the sender has applied; `None` before the first
        /// one.
        pub applied: Option<LogOffset>,
    }
}

value_type! {
    /// Response to a [`FetchStateRequest`].
    pub struct FetchStateResponse {
        /// Snapshot as JSON text; `None` if the requester is up to date.
        pub snapshot: Option<Arc<str>>,
        /// Most recent instance listing as JSON text; `None` if there was none.
        pub listing: Option<Arc<str>>,
        /// Newest known capability report of each engine.
        #[serde(rename = "facts")]
        pub capabilities: Vec<CapabilityUpdate>,
    }
}

value_type! {
    /// Asks the owner of an engine for a grant for one request.
    #[expect(missing_docs, reason = "the other names are self-explanatory")]
    pub struct GrantRequest {
        /// Sequence number, increasing at the entry instance. Tells grant
        /// requests for the same request apart.
        #[serde(rename = "ask")]
        pub sequence: u64,
        /// Request that is to be sent to the engine.
        pub request: RequestId,
        pub engine: UpstreamId,
        pub workspace: WorkspaceId,
        pub model: ModelName,
        pub class: PriorityClass,
        /// Prompt tokens to prefill on this engine.
        pub prompt: TokenCount,
        /// Maximum number of tokens to generate on this engine.
        pub output: TokenCount,
        /// Hash of the prompt's prefix, for prefix-cache affinity.
        pub prefix: u64,
        /// Time left until the request's deadline.
        pub time_left: Duration,
        /// Whether the owner may queue the grant request if the engine is full.
        pub may_queue: bool,
        /// Whether the engine is one of a group that is reserved together for a
        /// prompt in segments.
        pub grouped: bool,
    }
}

value_type! {
    /// Response to a [`GrantRequest`].
    pub enum GrantResponse {
        /// Memory and a slot are reserved for the request.
        Granted(Grant),
        /// Nothing is reserved.
        Refused(GrantRefusal),
        /// The responder does not own the engine. Contains the owner
        /// according to the responder's membership, if there is one.
        NotOwner(Option<InstanceId>),
    }
}

value_type! {
    /// Short-lived permission to send one request to one engine.
    pub struct Grant {
        /// Memory reserved on the engine.
        pub reserved: TokenCount,
        /// Validity, counted from the time at which the grant request was sent.
        pub valid_for: Duration,
        /// Engine incarnation for which the grant is valid.
        pub incarnation: Incarnation,
        /// Predicted time until the request finishes.
        pub predicted: Duration,
        /// Capacity left on the engine after the grant.
        pub summary: EngineSummary,
    }
}

value_type! {
    /// Refusal of a [`GrantRequest`].
    pub struct GrantRefusal {
        /// Refusal to pass on to the caller if no other engine can take the
        /// request.
        pub refusal: Refusal,
        /// Free capacity of the engine, if known.
        pub summary: Option<EngineSummary>,
    }
}

value_type! {
    /// Notifies the owner of an engine of the use of a grant.
    #[expect(missing_docs, reason = "the other names are self-explanatory")]
    pub struct GrantNotice {
        /// Sequence number of the grant request.
        #[serde(rename = "ask")]
        pub sequence: u64,
        /// Memory that was granted, so that a new owner can add the reservation
        /// to its ledger.
        pub reserved: TokenCount,
        pub request: RequestId,
        pub engine: UpstreamId,
        /// Progress of the request at the engine.
        pub event: GrantEvent,
    }
}

value_type! {
    /// Progress of a request for which a grant was given.
    pub enum GrantEvent {
        /// The engine belongs to a group that is fully reserved; the request
        /// will be sent to it later.
        Kept,
        /// The request was sent to the engine.
        Started,
        /// The first chunk arrived this long after the request was sent.
        #[serde(rename = "FirstPart")]
        FirstChunk(Duration),
        /// The completion ended normally, with this many generated tokens.
        Finished(TokenCount),
        /// The request failed at the engine.
        Failed,
        /// The engine refused the request for lack of memory or slots.
        Overcommitted,
        /// The request was not sent and the grant will not be used.
        Unused,
        /// The request was cancelled; the engine may still hold its memory.
        Cancelled,
    }
}

value_type! {
    /// Ledger of an engine, sent by its former owner, which has stopped
    /// granting.
    pub struct HandoverResponse {
        /// Reservations that the engine may still hold.
        #[serde(rename = "holds")]
        pub reservations: Vec<TransferredReservation>,
        /// Step that the cold-start limit of the engine has reached.
        pub cold_step: u32,
    }
}

value_type! {
    /// A reservation in a ledger that is handed over. Times are relative, since
    /// the clocks of the two owners are not comparable.
    pub struct TransferredReservation {
        /// Request that holds the reservation.
        pub request: RequestId,
        /// Entry instance of the request, if known.
        pub entry: Option<InstanceId>,
        /// Sequence number of the grant request; zero if unknown.
        #[serde(rename = "ask")]
        pub sequence: u64,
        /// Reserved memory.
        pub tokens: TokenCount,
        /// Prompt tokens to prefill; zero if unknown.
        pub prompt: TokenCount,
        /// State of the reservation in the former owner's ledger.
        pub state: ReservationState,
        /// Time until the state expires; `None` if it does not.
        pub expires_in: Option<Duration>,
        /// Time until the deadline of the request; `None` if unknown.
        pub deadline_in: Option<Duration>,
        /// Whether the prefill is still to be done, as far as is known.
        pub prefilling: bool,
    }
}

value_type! {
    /// Asks to run a call as the first attempt under its idempotency key.
    pub struct ClaimRequest {
        /// Idempotency key to claim.
        pub key: CallKey,
        /// Attempt that claims the key.
        pub attempt: RequestId,
        /// Digest of the request, to tell a retry from a different request
        /// under the same key.
        pub digest: Arc<str>,
        /// Time left until the attempt's deadline.
        pub time_left: Duration,
    }
}

value_type! {
    /// An idempotency key, which is unique within its workspace and service.
    #[derive(Eq, PartialOrd, Ord)]
    #[expect(missing_docs, reason = "the other names are self-explanatory")]
    pub struct CallKey {
        pub workspace: WorkspaceId,
        pub service: ServiceName,
        /// Key sent by the caller, a UUIDv7.
        pub key: uuid::Uuid,
    }
}

value_type! {
    /// Response to a [`ClaimRequest`].
    pub enum ClaimResponse {
        /// The attempt is the first one and may run.
        Won,
        /// An earlier attempt ran, with this outcome.
        Recorded(CallOutcome),
        /// An earlier attempt is still running.
        InProgress,
        /// An earlier attempt may have run, but its outcome was not recorded.
        MayHaveRun,
        /// The key was used for a request with another digest.
        DigestMismatch,
        /// The timestamp in the key is outside the accepted range.
        KeyExpired,
        /// The claim could not be decided, so the attempt must not run.
        Undecided(Refusal),
        /// The responder does not own the call stream. Contains the owner
        /// according to the responder's membership, if there is one.
        NotOwner(Option<InstanceId>),
    }
}

value_type! {
    /// Recorded response of an upstream to a call.
    pub struct CallOutcome {
        /// HTTP status code.
        pub status: u16,
        /// Content type of the body.
        pub content_type: Arc<str>,
        /// Response body; `None` if it was too large to record.
        pub body: Option<Arc<str>>,
        /// Digest of the body, recorded even if the body is not.
        pub body_digest: Arc<str>,
    }
}

value_type! {
    /// Notifies the owner of a call stream of the end of a call attempt.
    pub struct SettleRequest {
        /// Idempotency key of the call.
        pub key: CallKey,
        /// Attempt that ended.
        pub attempt: RequestId,
        /// Whether and how the attempt ran.
        pub result: CallResult,
    }
}

value_type! {
    /// End of a call attempt.
    pub enum CallResult {
        /// The attempt was not sent to an upstream and never will be.
        Released,
        /// The attempt ran, with this outcome.
        Ran(CallOutcome),
    }
}

value_type! {
    /// Status of an order, as reported to an operator.
    pub struct OrderReport {
        /// Id of the order.
        pub order: OrderId,
        /// Offset of the record with which the order was accepted or rejected;
        /// `None` if it is not decided or not known.
        pub offset: Option<LogOffset>,
        /// Whether the order was accepted; `None` if that is not known.
        pub accepted: Option<bool>,
        /// Why the order was not accepted, or why that is not known.
        pub reason: Option<Arc<str>>,
        /// Code of a refusal before anything was appended to the log.
        #[serde(default)]
        pub code: Option<RefusalCode>,
        /// Whether all live instances have applied the order.
        pub in_force: bool,
        /// Live instances that have not applied the order yet.
        pub waiting_for: Vec<InstanceId>,
        /// `Ran` if the order was accepted, `NotRun` if it was rejected or
        /// refused, `MayHaveRun` if that is not known.
        pub run_state: RunState,
    }
}
