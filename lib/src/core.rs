//! The core: one state machine that decides for one instance.
//!
//! The shell feeds [`CoreEvent`]s and the time into [`ServingCore::tick`] and
//! carries out the [`CoreAction`]s that come back. The core holds no socket,
//! clock or task, so that a run can be repeated from its events.

mod engine_routing;
mod log_routing;
mod query_routing;
mod query_tables;
mod request_routing;
mod routing;
mod serving_core;
mod tracing;
mod upstream_reader;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub use self::{query_routing::QUERY_TIMEOUT, serving_core::ServingCore};

use crate::{
    api::{InstanceAddress, PriorityClass},
    engine_api::{CapabilityReport, EngineOrder, HeldReport, LoadReport},
    fleet::{FleetOrder, FleetState},
    ids::{
        DomainId, InstanceId, ModelName, OrderId, RequestId, ServiceName,
        StreamName, UpstreamId, WorkspaceId,
    },
    peer_api::{
        CallKey, CallResult, ClaimResponse, OrderReport, PeerMessage, PeerReply,
    },
    platform_api::{AppendResponse, InstanceListing, RecordPage},
    query::MergeInput,
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    units::{Incarnation, LogOffset, Timestamp, TokenCount},
};

/// Number of one call that the shell carries out and answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OutboundCallId(pub u64);

/// Number of one call from a peer or operator that the core answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InboundCallId(pub u64);

/// Why a call to another process brought no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFailure {
    /// Whether the other side may have acted on the call.
    pub run_state: RunState,
    /// Step and cause, for people.
    pub message: Arc<str>,
}

/// What the core needs to start.
#[derive(Clone, Debug)]
pub struct CoreSetup {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Incarnation: milliseconds since the epoch at the start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random source.
    pub seed: u64,
    /// Serving policy.
    pub policy: PolicyName,
}

/// Serving policies, the product's own and the baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyName {
    /// Grants by the owner of each engine.
    #[default]
    Product,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests from this instance.
    LeastRequests,
}

/// A request that a caller sent, checked and with its length known.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestDescriptor {
    /// Request id.
    pub request: RequestId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelName,
    /// Priority class.
    pub class: PriorityClass,
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Most tokens to generate.
    pub output: TokenCount,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// When the request must have ended.
    pub deadline: Timestamp,
}

/// One engine of an assignment and its part of the prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedEngine {
    /// Engine.
    pub engine: UpstreamId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Prompt tokens that go to this engine, in order.
    pub prompt: TokenCount,
    /// Incarnation of the engine that was counted on, if known.
    pub incarnation: Option<Incarnation>,
}

/// Where a request is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Engines; all but the last prefill a segment each.
    pub engines: Vec<AssignedEngine>,
    /// The first byte must be written before this time.
    pub send_before: Timestamp,
    /// Priority towards the engine; higher runs first.
    pub priority: u8,
}

/// What the core decides about one request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// Send it to these engines.
    Dispatch(Assignment),
    /// Take up the cut stream again at the engine that holds it.
    Resume(AssignedEngine),
    /// End it with this refusal; cancel what is running.
    End(Refusal),
}

/// Why a request's stream from an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFailure {
    /// The connection was refused; nothing was sent.
    ConnectFailed,
    /// The assignment expired before the first byte was written.
    AssignmentExpired,
    /// The engine refused it as it could not hold it.
    Overcommitted,
    /// The engine answered with another error.
    EngineError,
    /// The connection broke or the end marker was missing.
    Interrupted,
    /// Nothing came from the engine for too long.
    IdleTimeout,
}

/// Progress of a request as the shell sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestProgress {
    /// The request was written to the engine.
    Sent(UpstreamId),
    /// The first part of the answer came.
    FirstPart,
    /// The answer is whole, with this many generated tokens.
    Finished(TokenCount),
    /// The stream failed; a [`RequestDecision`] follows.
    Failed {
        /// Engine that failed.
        engine: UpstreamId,
        /// How it failed.
        failure: StreamFailure,
        /// Generated tokens that the caller already has.
        delivered: TokenCount,
    },
    /// The caller went away; whatever runs is to be cancelled.
    CallerDisconnected,
}

/// Input of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// A caller sent a request.
    Arrived(RequestDescriptor),
    /// A request made progress.
    Progress(RequestId, RequestProgress),
    /// A peer sent a message, to be answered with [`CoreAction::AnswerPeer`].
    PeerCalled {
        /// Number for the answer.
        inbound: InboundCallId,
        /// Sender.
        from: InstanceId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A peer answered, or did not.
    PeerAnswered {
        /// Number of the call.
        call: OutboundCallId,
        /// When the call was sent.
        sent_at: Timestamp,
        /// The answer.
        result: Result<PeerReply, CallFailure>,
    },
    /// A stream of the log was read.
    LogRead {
        /// Stream.
        stream: StreamName,
        /// When the call was sent.
        sent_at: Timestamp,
        /// The page.
        result: Result<RecordPage, CallFailure>,
    },
    /// Records were appended, or not, or that is not known.
    LogAppended {
        /// Number of the call.
        call: OutboundCallId,
        /// The answer.
        result: Result<AppendResponse, CallFailure>,
    },
    /// The instance list was read.
    InstanceListRead(Result<InstanceListing, CallFailure>),
    /// An engine's capabilities were read.
    CapabilityRead(UpstreamId, Result<CapabilityReport, CallFailure>),
    /// An engine's load was read.
    LoadRead(UpstreamId, Result<LoadReport, CallFailure>),
    /// An engine's list of held requests was read.
    HeldRead(UpstreamId, Result<HeldReport, CallFailure>),
    /// An engine answered an order.
    EngineOrderAnswered(UpstreamId, Result<(), CallFailure>),
    /// An operator gave an order, to be answered with
    /// [`CoreAction::AnswerOrder`].
    OrderSubmitted(InboundCallId, FleetOrder),
    /// An operator asked for the outcome of an order.
    OrderStatusRequested(InboundCallId, OrderId),
    /// An operator asked a question, to be answered with
    /// [`CoreAction::AnswerQuery`].
    QueryReceived(InboundCallId, Arc<str>),
    /// A caller asks for the first use of an idempotency key, to be answered
    /// with [`CoreAction::AnswerClaim`].
    ClaimRequested {
        /// Number for the answer.
        inbound: InboundCallId,
        /// Key.
        key: CallKey,
        /// Attempt.
        attempt: RequestId,
        /// Digest of the request.
        digest: Arc<str>,
        /// When the attempt must have ended.
        deadline: Timestamp,
    },
    /// A call attempt ended.
    CallSettled {
        /// Key.
        key: CallKey,
        /// Attempt.
        attempt: RequestId,
        /// What became of it.
        result: CallResult,
    },
    /// A planned stop was asked for.
    StopRequested,
}

/// Output of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreAction {
    /// Tell the task of a request what to do.
    Decide(RequestId, RequestDecision),
    /// Send a message to a peer.
    CallPeer {
        /// Number of the call.
        call: OutboundCallId,
        /// Address of the peer.
        to: SocketAddr,
        /// Name of the peer, if it is known.
        instance: Option<InstanceId>,
        /// The message.
        message: PeerMessage,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Answer a peer.
    AnswerPeer(InboundCallId, PeerReply),
    /// Read a stream of the log.
    ReadLog {
        /// Stream.
        stream: StreamName,
        /// First offset to read.
        from: LogOffset,
        /// How long the log may wait for a record.
        wait: Duration,
    },
    /// Append records to a stream of the log.
    AppendLog {
        /// Number of the call.
        call: OutboundCallId,
        /// Stream.
        stream: StreamName,
        /// Records.
        records: Vec<serde_json::Value>,
    },
    /// Read the instance list.
    ReadInstanceList,
    /// Read an engine's capabilities.
    ReadCapability(UpstreamId, SocketAddr),
    /// Read an engine's load.
    ReadLoad(UpstreamId, SocketAddr),
    /// Read an engine's list of held requests.
    ReadHeld(UpstreamId, SocketAddr),
    /// Cancel a request at an engine and free its memory.
    CancelAtEngine(UpstreamId, SocketAddr, RequestId),
    /// Give an order to an engine, unless this time has passed.
    OrderEngine(UpstreamId, SocketAddr, EngineOrder, Timestamp),
    /// Answer an operator.
    AnswerOrder(InboundCallId, OrderReport),
    /// Answer a question. The parts are to be merged with
    /// [`crate::query::merge`], outside the task that owns the core.
    AnswerQuery(InboundCallId, Result<Box<MergeInput>, Refusal>),
    /// Answer a claim of an idempotency key.
    AnswerClaim(InboundCallId, ClaimResponse),
    /// Replace the view that the servers read.
    Publish(Arc<PublishedState>),
    /// Log a numbered event.
    Log(crate::log_event::LogEvent, Arc<str>),
    /// Count a refusal.
    CountRefusal(RefusalCode),
    /// Count a retry.
    CountRetry(RetryReason),
    /// The planned stop is over; nothing is running.
    StopDone,
}

/// Whether an instance takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceReadiness {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It takes new requests.
    Ready,
    /// Its configuration is too old to act on.
    Stale,
    /// It is stopping.
    Stopping,
}

/// What the servers read of the core without asking it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PublishedState {
    /// Configuration.
    pub fleet: Arc<FleetState>,
    /// Instances that callers may use, best first.
    pub addresses: Vec<InstanceAddress>,
    /// Whether this instance takes new requests.
    pub readiness: InstanceReadiness,
    /// Processes of plain services that take new work.
    pub services: BTreeMap<ServiceName, Vec<(UpstreamId, SocketAddr)>>,
    /// Models that some engine has loaded.
    pub models: BTreeSet<ModelName>,
}
