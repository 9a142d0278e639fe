//! Messages between instances.
//!
//! One call carries one [`PeerEnvelope`] and is answered by one
//! [`PeerReply`]. The codec is not self-describing: no field may be skipped
//! and no enum may be untagged. Bodies that are JSON elsewhere travel as text.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    api::PriorityClass,
    engine_api::CapabilityReport,
    ids::{
        DomainId, InstanceId, ModelName, OrderId, RequestId, ServiceName,
        UpstreamId, WorkspaceId,
    },
    ledger::ReservationState,
    limits::{BorrowAnswer, BorrowRequest},
    refusal::{Refusal, RefusalCode, RunState},
    units::{Incarnation, LogOffset, TokenCount},
    value_type,
};

/// Version of these messages; a peer with another version is refused.
pub const PEER_VERSION: u16 = 1;

value_type! {
    /// One message with its sender.
    pub struct PeerEnvelope {
        /// Version of the messages.
        pub version: u16,
        /// Sender.
        pub from: InstanceId,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Proof that the sender knows the fleet's secret.
        pub proof: Arc<str>,
        /// The message.
        pub message: PeerMessage,
    }
}

value_type! {
    /// A question or notice to a peer.
    pub enum PeerMessage {
        /// Liveness probe with dissemination.
        Probe(Gossip),
        /// Probe another instance on behalf of the sender.
        IndirectProbe(InstanceId, Gossip),
        /// Ask for the whole configuration if it is newer.
        FetchState(FetchStateRequest),
        /// Ask an engine's owner for a grant.
        Grant(GrantRequest),
        /// Tell an engine's owner what became of a grant.
        Notice(GrantNotice),
        /// Ask the former owner of an engine to hand it over.
        TakeOver(UpstreamId),
        /// Ask a call stream's owner to claim an idempotency key.
        ClaimCall(ClaimRequest),
        /// Tell a call stream's owner what became of an attempt.
        SettleCall(SettleNotice),
        /// Ask for a part of a workspace's limit.
        Borrow(BorrowRequest),
        /// Ask for the rows of a query.
        Query(Arc<str>),
    }
}

value_type! {
    /// Answer to a [`PeerMessage`].
    pub enum PeerReply {
        /// Answer to a probe.
        Ack(Gossip),
        /// The indirectly probed instance did not answer.
        Nack,
        /// Configuration as JSON text; empty if the asker is up to date.
        State(FetchStateResponse),
        /// Answer to a grant question.
        Grant(GrantResponse),
        /// Answer to a takeover; absent if there is nothing to rely on.
        TakenOver(Option<HandoverResponse>),
        /// Answer to a claim.
        Claim(ClaimResponse),
        /// Answer to a question for a part of a limit.
        Lent(BorrowAnswer),
        /// The notice was taken.
        Done,
        /// Rows of a query as JSON text.
        Rows(Arc<str>),
        /// The message was not understood or not allowed.
        Rejected(Arc<str>),
    }
}

value_type! {
    /// Member updates and evidence of a fresh configuration.
    pub struct Gossip {
        /// Highest configuration offset that the sender applied, if any.
        pub applied: Option<LogOffset>,
        /// Age of the log's confirmation of that offset as its head.
        pub confirmed_age: Option<Duration>,
        /// Whether the sender has reached the log within the last seconds.
        pub log_reached: bool,
        /// Member updates, newest first.
        pub updates: Vec<MemberUpdate>,
        /// Summaries of engines that the sender owns.
        pub engines: Vec<EngineSummary>,
        /// New facts about engines, passed on.
        #[serde(rename = "facts")]
        pub capabilities: Vec<CapabilityUpdate>,
    }
}

value_type! {
    /// What an engine says of itself, with its place in the order of changes.
    pub struct CapabilityUpdate {
        /// Rises with each change within one incarnation.
        pub revision: u64,
        /// What the engine says.
        pub report: CapabilityReport,
    }
}

value_type! {
    /// State of one member as its sender knows it.
    pub struct MemberUpdate {
        /// Member.
        pub instance: InstanceId,
        /// Incarnation that the state belongs to.
        pub incarnation: Incarnation,
        /// State.
        pub state: MemberState,
        /// Address for peers.
        pub peer_address: SocketAddr,
        /// Address for callers.
        pub caller_address: SocketAddr,
        /// Failure domain.
        pub domain: DomainId,
        /// Highest configuration offset that it applied, if any.
        pub applied: Option<LogOffset>,
    }
}

value_type! {
    /// State of a member.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum MemberState {
        /// Answers probes.
        Alive,
        /// Answers probes and is about to stop.
        Leaving,
        /// Has not answered; may refute.
        Suspect,
        /// Gone.
        Dead,
    }
}

value_type! {
    /// Room on an engine, as its owner sees it.
    pub struct EngineSummary {
        /// Engine.
        pub engine: UpstreamId,
        /// Tokens that can still be granted.
        pub headroom: TokenCount,
        /// Slots that can still be granted.
        pub free_slots: u32,
        /// Whether it is leaving; an engine that leaves of itself tells only
        /// its owner.
        pub leaving: bool,
        /// Predicted wait before a new prompt's prefill starts.
        pub wait: Duration,
        /// Whether the engine takes long prompts.
        pub takes_long: bool,
    }
}

value_type! {
    /// Asks for newer configuration.
    pub struct FetchStateRequest {
        /// Highest offset that the asker applied, if any.
        pub applied: Option<LogOffset>,
    }
}

value_type! {
    /// Configuration of a peer.
    pub struct FetchStateResponse {
        /// Snapshot as JSON text; absent if the asker is up to date.
        pub snapshot: Option<Arc<str>>,
        /// Last instance listing as JSON text, if any.
        pub listing: Option<Arc<str>>,
        /// Everything known of the engines.
        #[serde(rename = "facts")]
        pub capabilities: Vec<CapabilityUpdate>,
    }
}

value_type! {
    /// Asks an engine's owner for a grant.
    pub struct GrantRequest {
        /// Number of the question, rising at its entry instance.
        #[serde(rename = "ask")]
        pub sequence: u64,
        /// Request that it is for.
        pub request: RequestId,
        /// Engine.
        pub engine: UpstreamId,
        /// Workspace.
        pub workspace: WorkspaceId,
        /// Model.
        pub model: ModelName,
        /// Priority class.
        pub class: PriorityClass,
        /// Prompt tokens to prefill on this engine.
        pub prompt: TokenCount,
        /// Most tokens to generate on this engine.
        pub output: TokenCount,
        /// Hash of the prompt's prefix, for cache affinity.
        pub prefix: u64,
        /// Time left until the request's deadline.
        pub time_left: Duration,
        /// Whether the owner may queue the question.
        pub may_queue: bool,
        /// Whether this is one of several engines reserved together.
        pub grouped: bool,
    }
}

value_type! {
    /// Answer to a [`GrantRequest`].
    pub enum GrantResponse {
        /// Granted.
        Granted(Grant),
        /// Refused.
        Refused(GrantRefusal),
        /// The answering instance does not own the engine.
        NotOwner(Option<InstanceId>),
    }
}

value_type! {
    /// A short-lived right to send one request to one engine.
    pub struct Grant {
        /// Tokens reserved.
        pub reserved: TokenCount,
        /// Time from sending the question in which it must be used.
        pub valid_for: Duration,
        /// Engine incarnation that it holds for.
        pub incarnation: Incarnation,
        /// Predicted time until the request ends.
        pub predicted: Duration,
        /// Room left on the engine.
        pub summary: EngineSummary,
    }
}

value_type! {
    /// A refused grant.
    pub struct GrantRefusal {
        /// Refusal for the caller if nobody else can help.
        pub refusal: Refusal,
        /// Room on the engine, if it is known.
        pub summary: Option<EngineSummary>,
    }
}

value_type! {
    /// What became of a grant.
    pub struct GrantNotice {
        /// Number of the question that led to the grant.
        #[serde(rename = "ask")]
        pub sequence: u64,
        /// Tokens reserved, so that a new owner can book them.
        pub reserved: TokenCount,
        /// Request.
        pub request: RequestId,
        /// Engine.
        pub engine: UpstreamId,
        /// What happened.
        pub event: GrantEvent,
    }
}

value_type! {
    /// What happened to a granted request.
    pub enum GrantEvent {
        /// It is part of a complete group and will be sent later.
        Kept,
        /// It was sent to the engine.
        Started,
        /// Its first part came, after this time.
        #[serde(rename = "FirstPart")]
        FirstChunk(Duration),
        /// It ended whole, with this many generated tokens.
        Finished(TokenCount),
        /// It failed at the engine.
        Failed,
        /// The engine refused it as it could not hold it.
        Overcommitted,
        /// It was never sent.
        Unused,
        /// It was cancelled; the engine may still hold it.
        Cancelled,
    }
}

value_type! {
    /// An engine's account, handed over. The former owner grants no more.
    pub struct HandoverResponse {
        /// Holds.
        #[serde(rename = "holds")]
        pub reservations: Vec<TransferredReservation>,
        /// Step of the cold-start limit.
        pub cold_step: u32,
    }
}

value_type! {
    /// One hold of an account that is handed over.
    pub struct TransferredReservation {
        /// Request.
        pub request: RequestId,
        /// Entry instance, if it is known.
        pub entry: Option<InstanceId>,
        /// Number of the question that led to it.
        #[serde(rename = "ask")]
        pub sequence: u64,
        /// Memory counted.
        pub tokens: TokenCount,
        /// Prompt tokens to prefill.
        pub prompt: TokenCount,
        /// State.
        pub state: ReservationState,
        /// Time until the state runs out.
        pub expires_in: Option<Duration>,
        /// Time until the request must have ended.
        pub deadline_in: Option<Duration>,
        /// Whether prefill is still to be done as far as is known.
        pub prefilling: bool,
    }
}

value_type! {
    /// Asks for the first use of an idempotency key.
    pub struct ClaimRequest {
        /// Key, with its workspace and service.
        pub key: CallKey,
        /// Attempt that claims it.
        pub attempt: RequestId,
        /// Digest of the request, to tell a repeat from a conflict.
        pub digest: Arc<str>,
        /// Time left until the attempt's deadline.
        pub time_left: Duration,
    }
}

value_type! {
    /// An idempotency key within its workspace and service.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CallKey {
        /// Workspace.
        pub workspace: WorkspaceId,
        /// Service.
        pub service: ServiceName,
        /// Key as the caller sent it, a UUIDv7.
        pub key: uuid::Uuid,
    }
}

value_type! {
    /// Answer to a [`ClaimRequest`].
    pub enum ClaimResponse {
        /// The attempt is the first and may run.
        Won,
        /// An earlier attempt ran; this is what came of it.
        Recorded(CallOutcome),
        /// An earlier attempt is still running.
        InProgress,
        /// An earlier attempt may have run; its outcome was never recorded.
        MayHaveRun,
        /// The key was used for another request.
        DigestMismatch,
        /// The key's age is outside what is allowed.
        KeyExpired,
        /// Not decided; the attempt must not run.
        Undecided(Refusal),
        /// The answering instance does not own the key's stream.
        NotOwner(Option<InstanceId>),
    }
}

value_type! {
    /// Recorded outcome of a call.
    pub struct CallOutcome {
        /// HTTP status of the upstream.
        pub status: u16,
        /// Content type of the answer.
        pub content_type: Arc<str>,
        /// Body of the answer, if it was small enough to record.
        pub body: Option<Arc<str>>,
        /// Digest of the body.
        pub body_digest: Arc<str>,
    }
}

value_type! {
    /// What became of a call attempt.
    pub struct SettleNotice {
        /// Key.
        pub key: CallKey,
        /// Attempt.
        pub attempt: RequestId,
        /// What became of it.
        pub result: CallResult,
    }
}

value_type! {
    /// End of a call attempt.
    pub enum CallResult {
        /// It was never sent and never will be.
        Released,
        /// It ran with this outcome.
        Ran(CallOutcome),
    }
}

value_type! {
    /// What became of an order, as told to an operator.
    pub struct OrderReport {
        /// Order.
        pub order: OrderId,
        /// Offset at which it was judged, if it was.
        pub offset: Option<LogOffset>,
        /// Whether it was accepted; absent if that is not known.
        pub accepted: Option<bool>,
        /// Why it was rejected.
        pub reason: Option<Arc<str>>,
        /// Why it was refused before anything was appended.
        #[serde(default)]
        pub code: Option<RefusalCode>,
        /// Whether every live instance has applied it.
        pub in_force: bool,
        /// Live instances that have not applied it.
        pub waiting_for: Vec<InstanceId>,
        /// Whether the order ran.
        pub run_state: RunState,
    }
}
