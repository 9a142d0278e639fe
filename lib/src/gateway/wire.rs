//! Messages exchanged with callers, upstreams and the platform's store.
//!
//! The traits turn the heads of HTTP messages and the records of the store
//! into types of the product and back. Implementations decide nothing and
//! keep nothing.

use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, Request, Response, request::Parts as RequestParts,
    response::Parts as ResponseParts,
};

use super::{
    member_table::Heartbeat, placement::PromptSize,
    routing_config::RoutingConfig, upstream_table::UpstreamChange,
};
use crate::{
    id_type,
    ids::{DomainId, UpstreamId, WorkspaceId},
    refusal::Refusal,
    units::{LogOffset, TokenCount},
    value_type,
};

id_type! {
    /// Identifier of one attempt of a caller.
    AttemptId
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Attempt; absent if the caller sent none.
    pub attempt: Option<AttemptId>,
    /// Host, in lower case and without a port.
    pub host: Arc<str>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Size of the prompt, if the request has one.
    pub size: Option<PromptSize>,
    /// Id of the last event that the caller has of this stream.
    pub resume_after: Option<u64>,
}

/// What an upstream must be told besides the caller's own request.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchMetadata {
    /// Upstream that is meant.
    pub upstream: UpstreamId,
    /// Time that is left.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceId>,
    /// Rank against other requests; 0 is the first.
    pub priority: u8,
    /// Id of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// Engines that help, with the reservation to use there.
    pub helpers: Vec<(SocketAddr, Option<Arc<str>>)>,
    /// Length of the body; absent if the request has none.
    pub body_length: Option<usize>,
}

/// What the head of an upstream's reply says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// An answer to the request.
    Answer,
    /// A failure of the upstream; the request counts as run.
    Failure,
    /// The upstream did not run the request.
    Declined,
    /// Another upstream has the address; it did not run the request.
    Misdirected,
    /// A reply to another request.
    Foreign,
}

/// An order about memory of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum ReservationOrder {
    /// Reserves memory under an id.
    Reserve {
        /// Id of the reservation.
        id: Arc<str>,
        /// Memory.
        tokens: TokenCount,
        /// Time after which the reservation ends by itself.
        ttl: Duration,
    },
    /// Ends a reservation.
    Release {
        /// Id of the reservation.
        id: Arc<str>,
    },
}

/// Topics of the store that the gateway uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreTopic {
    /// Desired state and orders of the operator.
    Control,
    /// Upstreams.
    Upstreams,
    /// Instances of borageline.
    Instances,
}

impl StoreTopic {
    /// All topics.
    pub const ALL: [Self; 3] =
        [Self::Control, Self::Upstreams, Self::Instances];

    /// Name in paths and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Upstreams => "upstreams",
            Self::Instances => "instances",
        }
    }
}

impl Display for StoreTopic {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for StoreTopic {
    type Err = WireError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|it| it.as_str() == text);
        found.ok_or_else(|| WireError {
            step: "topic",
            message: format!("no topic is called {text:?}").into(),
        })
    }
}

value_type! {
    /// One record of a topic; without a value it removes its key.
    #[derive(Eq)]
    pub struct KeyedRecord {
        /// Key.
        pub key: Arc<str>,
        /// Value.
        pub value: Option<Bytes>,
    }
}

/// Part of the list of the newest records of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// Records, in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// Whether more keys follow.
    pub more: bool,
    /// Offset after the newest record of the topic.
    pub end: LogOffset,
}

/// Records of a topic from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailPage {
    /// Records that follow the offset without a gap.
    Records {
        /// Records.
        records: Vec<KeyedRecord>,
        /// Offset after the last of them.
        next: LogOffset,
    },
    /// Records after the offset are gone; the newest must be read again.
    Gap,
}

/// What a record of the control topic says.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRecord {
    /// A desired state.
    Config(Box<RoutingConfig>),
    /// Nothing more may be sent to a failure domain.
    CloseDomain(DomainId),
    /// A failure domain may be used again.
    OpenDomain(DomainId),
    /// Nothing that concerns the gateway.
    Other,
}

/// A message that is not of the expected form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// What was read.
    pub step: &'static str,
    /// What was wrong with it.
    pub message: Arc<str>,
}

impl Display for WireError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.step, self.message)
    }
}

impl std::error::Error for WireError {}

/// Requests and answers of callers.
pub trait CallerWire {
    /// Reads the head of a request.
    fn read_request(
        &self,
        head: &RequestParts,
    ) -> Result<CallerRequest, WireError>;

    /// Head and body of a refusal.
    fn refusal(
        &self,
        attempt: Option<&AttemptId>,
        refusal: &Refusal,
    ) -> Response<Bytes>;

    /// Headers of an upstream's answer that the caller receives.
    fn answer_headers(&self, head: &ResponseParts) -> HeaderMap;
}

/// Requests to upstreams and their replies.
pub trait UpstreamWire {
    /// Head of the request to an upstream.
    fn dispatch(
        &self,
        head: &RequestParts,
        metadata: &DispatchMetadata,
    ) -> Request<()>;

    /// Reads the head of a reply to an attempt.
    fn read_reply(
        &self,
        attempt: Option<&AttemptId>,
        head: &ResponseParts,
    ) -> ReplyKind;

    /// Whether a failure may be passed on to the caller as it is.
    fn is_whole_answer(&self, head: &ResponseParts) -> bool;

    /// Request that carries an order about memory.
    fn reservation_order(&self, metadata: &ReservationOrder) -> Request<Bytes>;
}

/// Calls to the platform's store.
pub trait StoreWire {
    /// Request for the newest records after a key.
    fn newest(&self, topic: StoreTopic, after: Option<&str>) -> Request<Bytes>;

    /// Reads the answer to [`Self::newest`].
    fn read_newest(&self, body: &[u8]) -> Result<NewestPage, WireError>;

    /// Request for the records from an offset on.
    fn tail(
        &self,
        topic: StoreTopic,
        from: LogOffset,
        wait: Duration,
    ) -> Request<Bytes>;

    /// Reads the answer to [`Self::tail`].
    fn read_tail(
        &self,
        from: LogOffset,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<TailPage, WireError>;

    /// Request that appends a record.
    fn append(&self, topic: StoreTopic, record: &KeyedRecord)
    -> Request<Bytes>;

    /// Reads a record of the control topic.
    fn read_control(
        &self,
        record: &KeyedRecord,
    ) -> Result<ControlRecord, WireError>;

    /// Reads a record of the upstreams' topic.
    fn read_upstream(
        &self,
        record: &KeyedRecord,
    ) -> Result<UpstreamChange, WireError>;

    /// Record under which an instance makes itself known.
    fn write_instance(&self, heartbeat: &Heartbeat) -> KeyedRecord;

    /// Reads an instance's machine from its record.
    fn read_instance(&self, record: &KeyedRecord) -> Option<std::net::IpAddr>;
}

/// The question which addresses to use, and its answer.
pub trait DirectoryWire {
    /// Whether a request asks which addresses to use.
    fn is_directory_query(&self, head: &RequestParts) -> bool;

    /// Whether a request asks if the instance is ready.
    fn is_readiness_check(&self, head: &RequestParts) -> bool;

    /// Answer with addresses and the time to keep them.
    fn addresses(
        &self,
        addresses: &[SocketAddr],
        ttl: Duration,
    ) -> Response<Bytes>;
}

/// All messages of a gateway.
pub trait GatewayWire:
    CallerWire
    + UpstreamWire
    + StoreWire
    + DirectoryWire
    + Clone
    + std::fmt::Debug
    + Send
    + Sync
    + 'static
{
}
