//! Messages exchanged with callers, upstreams and the platform's store.
//!
//! The traits convert the heads of HTTP messages and the records of the store
//! to the types of this crate and back. Implementations are stateless and make
//! no decisions.

use std::{
    collections::BTreeMap,
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
    duty::DutyCaller,
    member_table::Heartbeat,
    placement::PromptSize,
    request_limit::RequestLimit,
    routing_config::{RoutingConfig, StatusPath, WorkspaceName},
    store_era::StoreEra,
    upstream_table::UpstreamChange,
};
use crate::{
    id_type,
    ids::{DomainId, ServiceName, UpstreamId},
    refusal::Refusal,
    units::{LogOffset, TokenCount},
    value_type,
};

id_type! {
    /// Identifier of one attempt of a caller, chosen by the caller.
    AttemptId
}

id_type! {
    /// Identifier of one part of a prompt, which other prompts may share.
    PartId
}

/// Content of the head of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Id of the attempt; `None` if the caller sent none.
    pub attempt: Option<AttemptId>,
    /// Requested host, in lower case and without a port.
    pub host: Arc<str>,
    /// Key of the caller; `None` if there is none.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits for the answer; `None` if it states
    /// none.
    pub timeout: Option<Duration>,
    /// Token counts of the prompt and its answer; `None` for a request without
    /// them.
    pub size: Option<PromptSize>,
    /// Parts of the prompt that other prompts may share, in their order; empty
    /// if the request states none.
    pub shared_parts: Vec<PartId>,
    /// Id of the last event that the caller has received of this stream;
    /// `None` for a new stream.
    pub resume_after: Option<u64>,
}

/// Data sent to an upstream in addition to the caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchMetadata {
    /// Id of the upstream that should run the request; others reject it.
    pub upstream: UpstreamId,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Workspace of the caller; `None` for an anonymous request.
    pub workspace: Option<WorkspaceName>,
    /// Priority among other requests; 0 is the highest.
    pub priority: u8,
    /// Id of the last event that the caller has received; `None` for a new
    /// stream.
    pub resume_after: Option<u64>,
    /// Addresses of the engines that help with the prefill, with the id of the
    /// reservation to use there, if any.
    pub helpers: Vec<(SocketAddr, Option<Arc<str>>)>,
    /// Length of the body in bytes; `None` if the request has no body.
    pub body_length: Option<usize>,
}

/// Classification of an upstream's reply by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// An answer to the request.
    Answer,
    /// A failure of the upstream; the request may have run.
    Failure,
    /// The upstream did not run the request.
    Declined,
    /// A different upstream has the address; it did not run the request.
    Misdirected,
    /// A reply to a different request.
    Foreign,
}

/// An order to an engine to reserve or release KV cache.
#[derive(Clone, Debug, PartialEq)]
pub enum ReservationOrder {
    /// Reserves KV cache, or renews a reservation with the same id.
    Reserve {
        /// Id of the reservation.
        id: Arc<str>,
        /// Size of the reservation, in tokens.
        tokens: TokenCount,
        /// Time after which the reservation expires unless it is renewed.
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
    /// Desired state and failure domains that are closed.
    Control,
    /// List of upstreams.
    Upstreams,
    /// Addresses of the borageline instances.
    Instances,
    /// Parts of prompts that crash engines.
    Quarantine,
}

impl StoreTopic {
    /// All topics.
    pub const ALL: [Self; 4] = [
        Self::Control,
        Self::Upstreams,
        Self::Instances,
        Self::Quarantine,
    ];

    /// Name of the topic in paths and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Upstreams => "upstreams",
            Self::Instances => "instances",
            Self::Quarantine => "quarantine",
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
            message: format!("unknown topic {text:?}").into(),
        })
    }
}

value_type! {
    /// One record of a topic. Within a topic, the newest record of a key
    /// replaces the earlier ones.
    #[derive(Eq)]
    pub struct KeyedRecord {
        /// Key of the record.
        pub key: Arc<str>,
        /// Value of the record; `None` removes the key.
        pub value: Option<Bytes>,
    }
}

/// One page of the newest records of a topic, one per key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewestPage {
    /// Records in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// Whether further pages follow.
    pub more: bool,
    /// Offset after the newest record of the topic.
    pub end: LogOffset,
}

/// Records of a topic from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailPage {
    /// Records that follow the offset without a gap.
    Records {
        /// Records in the order of their offsets.
        records: Vec<KeyedRecord>,
        /// Offset after the last of the records.
        next: LogOffset,
    },
    /// The store has dropped records after the offset; the newest record of
    /// each key has to be read again.
    Gap,
}

/// Topics of the store that are read as a sequence of records, without keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogTopic {
    /// Claims and renewals of the lease of the singleton duties.
    Duties,
    /// Usage reports that were fixed before they were sent.
    Usage,
}

/// Records of a [`LogTopic`] from an offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogTail {
    /// Records that follow the offset without a gap.
    Records {
        /// Records in the order of their offsets.
        records: Vec<Bytes>,
        /// Offset after the last of the records.
        next: LogOffset,
    },
    /// The records at the offset are not retained, or the log ends before it.
    Gap {
        /// Offset of the first record that is retained, if it is known.
        first: Option<LogOffset>,
    },
}

/// Result of a conditional append to a [`LogTopic`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The record was appended; holds the offset after it.
    Appended(LogOffset),
    /// The log does not end at the expected offset; holds its end, if it is
    /// stated.
    Conflict(Option<LogOffset>),
}

/// Record of a part of prompts that crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Crashes that it caused.
    pub crashes: u32,
    /// Time of the last one, in milliseconds since 1970.
    pub last_crash_ms: u64,
}

/// Content of a record of the control topic.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRecord {
    /// A new desired state.
    Config(Box<RoutingConfig>),
    /// No more requests may be sent to this failure domain.
    CloseDomain(DomainId),
    /// Requests may be sent to this failure domain again.
    OpenDomain(DomainId),
    /// A record that does not concern the gateway.
    Other,
}

/// A message that is malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Kind of message that was parsed.
    pub step: &'static str,
    /// Description of the error.
    pub message: Arc<str>,
}

/// Longest description of an error in bytes. Errors of parsers quote what they
/// were given, which may be the largest record.
const MESSAGE_MAX_BYTES: usize = 300;

impl WireError {
    /// Creates an error; a long description is cut.
    pub fn new(step: &'static str, message: &str) -> Self {
        let end = message.floor_char_boundary(MESSAGE_MAX_BYTES);
        Self {
            step,
            message: message[..end].into(),
        }
    }
}

impl Display for WireError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.step, self.message)
    }
}

impl std::error::Error for WireError {}

/// Requests of callers and the answers to them.
pub trait CallerWire {
    /// Parses the head of a request.
    fn read_request(
        &self,
        head: &RequestParts,
    ) -> Result<CallerRequest, WireError>;

    /// Creates the response for a refusal.
    fn refusal(
        &self,
        attempt: Option<&AttemptId>,
        refusal: &Refusal,
    ) -> Response<Bytes>;

    /// Headers of an upstream's answer that are forwarded to the caller.
    fn answer_headers(&self, head: &ResponseParts) -> HeaderMap;
}

/// Requests to upstreams and their replies.
pub trait UpstreamWire {
    /// Creates the head of the request to an upstream from the caller's.
    fn dispatch(
        &self,
        head: &RequestParts,
        metadata: &DispatchMetadata,
    ) -> Request<()>;

    /// Classifies the head of a reply to an attempt.
    fn read_reply(
        &self,
        attempt: Option<&AttemptId>,
        head: &ResponseParts,
    ) -> ReplyKind;

    /// Address of the upstream because of which a request did not run, if the
    /// reply names one; it may be a helper of the upstream that replied.
    fn declining_peer(&self, head: &ResponseParts) -> Option<SocketAddr>;

    /// Requests that the upstream takes from all instances together, if the
    /// reply names a limit.
    fn request_limit(&self, head: &ResponseParts) -> Option<RequestLimit>;

    /// Whether the reply says that the upstream is leaving.
    fn is_leaving(&self, head: &ResponseParts) -> bool;

    /// Time for which the upstream wants no more requests of this instance, if
    /// the reply turns a request away and names one.
    fn pause(&self, head: &ResponseParts) -> Option<Duration>;

    /// Whether the reply is marked as produced by the upstream itself, so that
    /// it may be forwarded as it is.
    fn is_authentic_answer(&self, head: &ResponseParts) -> bool;

    /// Creates a status check of an upstream, which no other one answers.
    fn status_check(
        &self,
        upstream: &UpstreamId,
        path: &StatusPath,
    ) -> Request<Bytes>;

    /// Whether the reply to a status check says that the upstream serves and is
    /// not leaving.
    fn is_serving(&self, upstream: &UpstreamId, head: &ResponseParts) -> bool;

    /// Creates the request for a reservation order.
    fn reservation_order(&self, metadata: &ReservationOrder) -> Request<Bytes>;
}

/// Calls to the platform's store.
pub trait StoreWire {
    /// Era of the store that sent a response with these headers; `None` if
    /// they state none.
    fn era(&self, headers: &HeaderMap) -> Option<StoreEra>;

    /// Creates a request for the newest record of each key, in pages: `after`
    /// is the last key of the page before.
    fn newest(&self, topic: StoreTopic, after: Option<&str>) -> Request<Bytes>;

    /// Parses the response to [`Self::newest`].
    fn read_newest(&self, body: &[u8]) -> Result<NewestPage, WireError>;

    /// Creates a request for the records from an offset on; the store waits up
    /// to `wait` for a first one.
    fn tail(
        &self,
        topic: StoreTopic,
        from: LogOffset,
        wait: Duration,
    ) -> Request<Bytes>;

    /// Parses the response to [`Self::tail`].
    fn read_tail(
        &self,
        from: LogOffset,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<TailPage, WireError>;

    /// Creates a request that appends a record.
    fn append(&self, topic: StoreTopic, record: &KeyedRecord)
    -> Request<Bytes>;

    /// Parses a record of the control topic.
    fn read_control(
        &self,
        record: &KeyedRecord,
    ) -> Result<ControlRecord, WireError>;

    /// Parses a record of the list of upstreams.
    fn read_upstream(
        &self,
        record: &KeyedRecord,
    ) -> Result<UpstreamChange, WireError>;

    /// Creates the record by which an instance publishes its address.
    fn write_instance(&self, heartbeat: &Heartbeat) -> KeyedRecord;

    /// Creates the record that keeps a quarantine, or removes it if `record` is
    /// `None`.
    fn write_quarantine(
        &self,
        part: &PartId,
        record: Option<&QuarantineRecord>,
    ) -> KeyedRecord;

    /// Parses the record of a quarantine; `None` if it is malformed or removed.
    fn read_quarantine(
        &self,
        record: &KeyedRecord,
    ) -> Option<(PartId, QuarantineRecord)>;

    /// Returns the address in an instance's record; `None` if it is malformed
    /// or removed.
    fn read_instance(&self, record: &KeyedRecord) -> Option<std::net::IpAddr>;
}

/// Topics of the store without keys, and calls of singleton duties.
pub trait DutyWire {
    /// Creates a request for the records from an offset on; the store waits up
    /// to `wait` for a first one.
    fn log_tail(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> Request<Bytes>;

    /// Parses the response to [`Self::log_tail`].
    fn read_log_tail(
        &self,
        from: LogOffset,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<LogTail, WireError>;

    /// Offset after the last record of the log, in the response to
    /// [`Self::log_tail`]; `None` if it is not stated.
    fn log_end(
        &self,
        status: http::StatusCode,
        body: &[u8],
    ) -> Option<LogOffset>;

    /// Creates a request that appends a record if the log ends at an offset.
    fn append_at(
        &self,
        topic: LogTopic,
        at: LogOffset,
        record: &[u8],
    ) -> Request<Bytes>;

    /// Parses the response to [`Self::append_at`].
    fn read_append(
        &self,
        status: http::StatusCode,
        body: &[u8],
    ) -> Result<AppendResult, WireError>;

    /// Creates the report of the requests of each workspace that began to run
    /// in a window.
    fn usage_report(
        &self,
        caller: &DutyCaller,
        window: u64,
        counts: &BTreeMap<WorkspaceName, u64>,
    ) -> Request<Bytes>;

    /// Creates the order for the number of engines of a service in a failure
    /// domain.
    fn scale_order(
        &self,
        caller: &DutyCaller,
        service: &ServiceName,
        domain: &DomainId,
        count: u32,
    ) -> Request<Bytes>;
}

/// Queries for the addresses that callers should use, and readiness checks.
pub trait DirectoryWire {
    /// Whether a request asks for the addresses to use.
    fn is_directory_query(&self, head: &RequestParts) -> bool;

    /// Whether a request asks if the instance is ready.
    fn is_readiness_check(&self, head: &RequestParts) -> bool;

    /// Creates the response with the addresses to use; callers may cache it
    /// for `ttl`.
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
    + DutyWire
    + DirectoryWire
    + Clone
    + std::fmt::Debug
    + Send
    + Sync
    + 'static
{
}
