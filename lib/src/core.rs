//! The core: a deterministic state machine that makes all decisions of one
//! instance.
//!
//! The shell (the I/O code around it) passes [`CoreEvent`]s and the current
//! time to [`ServingCore::tick`] and executes the [`CoreAction`]s that are
//! returned. The core has no sockets, clock or tasks of its own, so a run can
//! be reproduced from its events.

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
        CallKey, CallResult, ClaimResponse, OrderReport, PeerRequest,
        PeerResponse,
    },
    planned_stop::StopSchedule,
    platform_api::{
        AppendResponse, InstanceListing, ListedProcess, ProcessKind, RecordPage,
    },
    query::MergeInput,
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    units::{Incarnation, LogOffset, Timestamp, TokenCount},
};

/// Identifies a call to another process or to the log. The shell executes the
/// call and returns its result under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OutboundCallId(pub u64);

/// Identifies a call from a peer, operator or caller. The core answers it
/// with an action that carries the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InboundCallId(pub u64);

/// Why a call to another process returned no usable response.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFailure {
    /// Whether the called process may have executed the call.
    pub run_state: RunState,
    /// Failed step and its cause, as text for logs and refusals.
    pub message: Arc<str>,
}

/// Parameters of a [`ServingCore`].
#[derive(Clone, Debug)]
pub struct CoreSetup {
    /// This instance.
    pub instance: InstanceId,
    /// Start time of the process in milliseconds since the Unix epoch. A later
    /// process of the same instance has a greater incarnation.
    pub incarnation: Incarnation,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Address at which peers reach this instance.
    pub peer_address: SocketAddr,
    /// Address at which callers reach this instance.
    pub caller_address: SocketAddr,
    /// Addresses of peers that are contacted first to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Seed of all random choices of the core.
    pub seed: u64,
    /// Policy by which requests are placed on engines.
    pub policy: PolicyName,
}

/// Policies for placing requests: the default one and two baselines that it is
/// measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyName {
    /// A request is sent only under a grant of the engine's owner.
    #[default]
    Product,
    /// Uses each engine in turn, without grants.
    RoundRobin,
    /// Uses the engine with the fewest in-flight requests of this instance,
    /// without grants.
    LeastRequests,
}

/// Metadata of a caller's request after validation. The body stays in the
/// shell.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestDescriptor {
    /// Id of the request, unique in the fleet.
    pub request: RequestId,
    /// Workspace that the request is accounted to.
    pub workspace: WorkspaceId,
    /// Model that is to generate the completion.
    pub model: ModelName,
    /// Class that orders requests in the queues of owners.
    pub class: PriorityClass,
    /// Number of prompt tokens, estimated for a prompt that was sent as text.
    pub prompt: TokenCount,
    /// Maximum number of tokens to generate.
    pub output: TokenCount,
    /// Hash of the beginning of the prompt; equal hashes may share an engine's
    /// prefix cache.
    pub prefix: u64,
    /// Time by which the request must have ended.
    pub deadline: Timestamp,
}

/// One engine of an assignment and the prompt segment that it prefills.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedEngine {
    /// Engine to send to.
    pub engine: UpstreamId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Number of prompt tokens for this engine; the segments of the engines
    /// follow each other in the prompt.
    pub prompt: TokenCount,
    /// Incarnation of the engine for which the grant was given; `None` for a
    /// request that is sent without a grant.
    pub incarnation: Option<Incarnation>,
}

/// The engines that a request is to be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Engines in the order of their prompt segments. The last one also
    /// decodes.
    pub engines: Vec<AssignedEngine>,
    /// Time before which the first byte must be written; later the grant has
    /// expired.
    pub send_before: Timestamp,
    /// Priority passed to the engine; requests with higher values run first.
    pub priority: u8,
}

/// Decision of the core on one request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestDecision {
    /// Send the request to these engines. Replaces an earlier dispatch.
    Dispatch(Assignment),
    /// Reconnect to an interrupted stream at the engine that generates it.
    Resume {
        /// Engine that generates the stream.
        engine: AssignedEngine,
        /// Wait before the connection is made.
        pause: Duration,
    },
    /// End the request with this refusal and cancel its streams.
    End(Refusal),
}

/// Why a request's stream from an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFailure {
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// [`Assignment::send_before`] passed before the first byte was written.
    AssignmentExpired,
    /// The engine refused the request for lack of memory or slots.
    Overcommitted,
    /// The engine returned another error.
    EngineError,
    /// The connection broke, or it was closed without the end marker.
    Interrupted,
    /// No data arrived within the idle timeout of the stream.
    IdleTimeout,
}

/// Progress of a request, reported by the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestProgress {
    /// The request was written to the engine.
    Sent(UpstreamId),
    /// The first chunk of the completion arrived.
    FirstChunk,
    /// The completion ended regularly, with this many generated tokens.
    Finished(TokenCount),
    /// The stream failed; the core answers with a [`RequestDecision`].
    Failed {
        /// Engine whose stream failed.
        engine: UpstreamId,
        /// Kind of failure.
        failure: StreamFailure,
        /// Number of generated tokens already delivered to the caller.
        delivered: TokenCount,
    },
    /// The caller closed its connection; the request is to be cancelled.
    CallerDisconnected,
}

/// Input of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreEvent {
    /// A caller sent a request.
    RequestArrived(RequestDescriptor),
    /// The state of a request changed in the shell.
    Progress(RequestId, RequestProgress),
    /// A peer sent a message, to be answered with [`CoreAction::AnswerPeer`].
    PeerCalled {
        /// Id of the call, repeated in the answer.
        inbound: InboundCallId,
        /// Instance that sent the message.
        from: InstanceId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Body of the call.
        message: PeerRequest,
    },
    /// A [`CoreAction::CallPeer`] ended, with or without a reply.
    PeerAnswered {
        /// Id from [`CoreAction::CallPeer`].
        call: OutboundCallId,
        /// When the call was sent.
        sent_at: Timestamp,
        /// Reply of the peer, or why there is none.
        result: Result<PeerResponse, CallFailure>,
    },
    /// A [`CoreAction::ReadLog`] ended.
    LogRead {
        /// Stream that was read.
        stream: StreamName,
        /// When the call was sent.
        sent_at: Timestamp,
        /// Records that were read, or why there are none.
        result: Result<RecordPage, CallFailure>,
    },
    /// A [`CoreAction::AppendLog`] ended. After a failure, its run state says
    /// whether the records may have been appended.
    LogAppended {
        /// Id from [`CoreAction::AppendLog`].
        call: OutboundCallId,
        /// Response of the log, or why there is none.
        result: Result<AppendResponse, CallFailure>,
    },
    /// A [`CoreAction::ReadInstanceList`] ended.
    InstanceListRead(Result<InstanceListing, CallFailure>),
    /// A [`CoreAction::ReadCapability`] ended.
    CapabilityRead(UpstreamId, Result<CapabilityReport, CallFailure>),
    /// A [`CoreAction::ReadLoad`] ended.
    LoadRead(UpstreamId, Result<LoadReport, CallFailure>),
    /// A [`CoreAction::ReadHeld`] ended.
    HeldRead(UpstreamId, Result<HeldReport, CallFailure>),
    /// A [`CoreAction::OrderEngine`] ended.
    EngineOrderAnswered(UpstreamId, Result<(), CallFailure>),
    /// An operator submitted an order, to be answered with
    /// [`CoreAction::AnswerOrder`].
    OrderSubmitted(InboundCallId, FleetOrder),
    /// An operator requested the outcome of an order, to be answered with
    /// [`CoreAction::AnswerOrder`].
    OrderStatusRequested(InboundCallId, OrderId),
    /// An operator sent a query, to be answered with
    /// [`CoreAction::AnswerQuery`].
    QueryReceived(InboundCallId, Arc<str>),
    /// A service call needs a claim on its idempotency key before it may run,
    /// to be answered with [`CoreAction::AnswerClaim`].
    ClaimRequested {
        /// Id of the call, repeated in the answer.
        inbound: InboundCallId,
        /// Idempotency key to claim.
        key: CallKey,
        /// Id of this attempt to run the call.
        attempt: RequestId,
        /// Digest of the call's content, which tells a repetition from another
        /// call under the same key.
        digest: Arc<str>,
        /// Time by which the attempt must have ended.
        deadline: Timestamp,
    },
    /// An attempt under a claimed idempotency key ended.
    CallSettled {
        /// Claimed idempotency key.
        key: CallKey,
        /// Id of the attempt that ended.
        attempt: RequestId,
        /// Outcome that is recorded for the key.
        result: CallResult,
    },
    /// A planned stop of the process was requested.
    StopRequested(StopSchedule),
}

/// Output of the core.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreAction {
    /// Pass a decision to the task of a request.
    Decide(RequestId, RequestDecision),
    /// Send a message to a peer. [`CoreEvent::PeerAnswered`] returns the reply.
    CallPeer {
        /// Id of the call, repeated in the result.
        call: OutboundCallId,
        /// Address of the peer.
        to: SocketAddr,
        /// Instance at the address; `None` if only the address is known.
        instance: Option<InstanceId>,
        /// Body of the call.
        message: PeerRequest,
        /// How long to wait for the reply.
        timeout: Duration,
    },
    /// Answer a [`CoreEvent::PeerCalled`].
    AnswerPeer(InboundCallId, PeerResponse),
    /// Read a stream of the log. [`CoreEvent::LogRead`] returns the result.
    ReadLog {
        /// Stream to read.
        stream: StreamName,
        /// First offset to read.
        from: LogOffset,
        /// How long the log may delay its response until there is a record.
        wait: Duration,
    },
    /// Append records to a stream of the log. [`CoreEvent::LogAppended`]
    /// returns the result.
    AppendLog {
        /// Id of the call, repeated in the result.
        call: OutboundCallId,
        /// Stream to append to.
        stream: StreamName,
        /// Records to append, as JSON.
        records: Vec<serde_json::Value>,
    },
    /// Read the platform's list of instances and upstreams.
    ReadInstanceList,
    /// Read an engine's capabilities.
    ReadCapability(UpstreamId, SocketAddr),
    /// Read an engine's load.
    ReadLoad(UpstreamId, SocketAddr),
    /// Read an engine's list of the requests that it has in memory.
    ReadHeld(UpstreamId, SocketAddr),
    /// Cancel a request at an engine and free its memory.
    CancelAtEngine(UpstreamId, SocketAddr, RequestId),
    /// Send an order to an engine, unless this time has passed.
    OrderEngine(UpstreamId, SocketAddr, EngineOrder, Timestamp),
    /// Answer an operator's order or request for an outcome.
    AnswerOrder(InboundCallId, OrderReport),
    /// Answer a [`CoreEvent::QueryReceived`]. The rows are to be merged with
    /// [`crate::query::merge`], outside the task that runs the core.
    AnswerQuery(InboundCallId, Result<Box<MergeInput>, Refusal>),
    /// Answer a [`CoreEvent::ClaimRequested`].
    AnswerClaim(InboundCallId, ClaimResponse),
    /// Replace the state that the servers read.
    Publish(Arc<PublishedState>),
    /// Write a log line for an event, with its details as text.
    Log(crate::log_event::LogEvent, Arc<str>),
    /// Increment the counter of refusals with this code.
    CountRefusal(RefusalCode),
    /// Increment the counter of retries for this reason.
    CountRetry(RetryReason),
    /// The planned stop may complete: no request or call is in flight.
    StopDone,
}

/// Whether an instance accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceReadiness {
    /// No; it has not loaded the configuration yet.
    #[default]
    Starting,
    /// Yes.
    Ready,
    /// No; its configuration may be out of date.
    Stale,
    /// No; a planned stop is in progress.
    Stopping,
}

/// Copy of core state that the servers read without a call to the core.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PublishedState {
    /// Applied configuration.
    pub fleet: Arc<FleetState>,
    /// Instances that callers may use, in order of preference.
    pub addresses: Vec<InstanceAddress>,
    /// Peer addresses of the other instances that are present.
    pub peers: Vec<SocketAddr>,
    /// Whether this instance accepts new requests.
    pub readiness: InstanceReadiness,
    /// Processes that accept new calls, by service.
    pub services: BTreeMap<ServiceName, Vec<(UpstreamId, SocketAddr)>>,
    /// Models that at least one engine has loaded.
    pub models: BTreeSet<ModelName>,
    /// Instance list from which the upstreams were last changed.
    pub listing: Arc<InstanceListing>,
}

impl PublishedState {
    /// Upstream with this address.
    pub fn upstream_at(&self, address: SocketAddr) -> Option<UpstreamId> {
        let mut upstreams = self.listed_upstreams();
        upstreams
            .find(|process| process.address == address)
            .and_then(|process| process.id.parse().ok())
    }

    /// Address of an upstream.
    pub fn address_of(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let mut upstreams = self.listed_upstreams();
        upstreams
            .find(|process| *process.id == *upstream.as_str())
            .map(|process| process.address)
    }

    fn listed_upstreams(&self) -> impl Iterator<Item = &ListedProcess> {
        let listed = self.listing.instances.iter();
        listed.filter(|process| process.kind != ProcessKind::Instance)
    }
}
