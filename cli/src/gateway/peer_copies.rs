//! Transfers copies of the store's topics between instances.
//!
//! `GET /topics/TOPIC/FROM/WAIT_MS?ERA` at the first peer port returns a
//! [`CopyResponse`] in bincode, followed by the era of its offsets: the records
//! from offset FROM on, or the newest record of each key if FROM is `all` or an
//! offset of another era than ERA. If there is no new record, the response is
//! delayed until there is one, by at most WAIT_MS. An instance that has not read
//! the topic yet responds with status 503. Older builds neither send nor read
//! the eras.

use std::{fmt::Display, net::IpAddr, time::Duration};

use borageline_lib::{
    gateway::{
        store_era::TopicPosition,
        topic_copy::{COPY_VERSION, CopyResponse},
        wire::{GatewayWire, KeyedRecord, StoreTopic},
    },
    units::LogOffset,
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;

use super::{SharedGateway, heartbeats::decode_first};
use crate::http_client::{
    CallTarget, HttpError, RESPONSE_MAX, plain_request, read_response_body,
};

/// Prefix of the paths.
const PATH_PREFIX: &str = "/topics/";
/// Value of FROM that requests the newest record of each key.
const FROM_ALL: &str = "all";
/// Longest time for which a response is delayed; readers repeat the request.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Why another instance's copy could not be read.
#[derive(Debug)]
pub(super) enum CopyError {
    Call(HttpError),
    Status(StatusCode),
    Malformed(bincode::Error),
    Version(u8),
}

impl Display for CopyError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(error) => write!(formatter, "{error}"),
            Self::Status(status) => {
                write!(formatter, "unexpected status {status}")
            }
            Self::Malformed(error) => {
                write!(formatter, "malformed copy: {error}")
            }
            Self::Version(version) => {
                write!(formatter, "unsupported version {version} of the copy")
            }
        }
    }
}

/// Request for a part of another instance's copy.
#[derive(Clone, Copy, Debug)]
pub(super) struct CopyQuery {
    pub(super) topic: StoreTopic,
    pub(super) from: Option<TopicPosition>,
    pub(super) wait: Duration,
}

impl CopyQuery {
    fn path(&self) -> String {
        let topic = self.topic;
        let from = self
            .from
            .map_or_else(|| FROM_ALL.into(), |from| from.next.to_string());
        let wait = self.wait.as_millis();
        let era = self.from.and_then(|from| from.era);
        let era = era.map_or_else(String::new, |era| format!("?{era}"));
        format!("{PATH_PREFIX}{topic}/{from}/{wait}{era}")
    }

    fn parse(uri: &Uri) -> Option<Self> {
        let era = uri.query().map(str::parse).transpose().ok()?;
        let mut parts = uri.path().strip_prefix(PATH_PREFIX)?.split('/');
        let topic = parts.next()?.parse().ok()?;
        let from = match parts.next()? {
            FROM_ALL => None,
            offset => {
                let next: LogOffset = offset.parse().ok()?;
                Some(TopicPosition::new(era, next))
            }
        };
        let wait = Duration::from_millis(parts.next()?.parse().ok()?);
        parts.next().is_none().then_some(Self {
            topic,
            from,
            wait: wait.min(WAIT_MAX),
        })
    }
}

/// Reads the copy of another instance.
pub(super) async fn fetch<W: GatewayWire>(
    context: &SharedGateway<W>,
    ip: IpAddr,
    query: CopyQuery,
    timeout: Duration,
) -> Result<CopyResponse, CopyError> {
    let peer = context.settings().peer_address_of(ip);
    let target = CallTarget {
        step: "copy of a topic",
        peer,
        timeout,
    };
    let request = plain_request(Method::GET, peer, &query.path());
    let called = async {
        let response = context.peers.send(target, request).await?;
        let status = response.status();
        let body = response.into_body();
        let body = read_response_body(target, body, RESPONSE_MAX).await?;
        Ok((status, body))
    };
    let (status, body) = called.await.map_err(CopyError::Call)?;
    if status != StatusCode::OK {
        return Err(CopyError::Status(status));
    }
    decode(&body)
}

fn encode(copy: &CopyResponse) -> Vec<u8> {
    let mut bytes =
        bincode::serialize(copy).expect("copies contain only plain values");
    bincode::serialize_into(&mut bytes, &copy.era)
        .expect("eras are plain values");
    bytes
}

fn decode(bytes: &[u8]) -> Result<CopyResponse, CopyError> {
    let (mut copy, rest) =
        decode_first::<CopyResponse>(bytes).map_err(CopyError::Malformed)?;
    if copy.version != COPY_VERSION {
        return Err(CopyError::Version(copy.version));
    }
    if !rest.is_empty() {
        (copy.era, _) = decode_first(rest).map_err(CopyError::Malformed)?;
    }
    Ok(copy)
}

/// Answers a request for a copy.
pub(super) async fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Incoming>,
) -> Response<Bytes> {
    let Some(query) = CopyQuery::parse(request.uri()) else {
        return without_body(StatusCode::NOT_FOUND);
    };
    // Subscribes before the first check, so that no record is missed in
    // between.
    let mut changes = context.copy_changes.subscribe();
    let waited = async {
        let is_new = |context: &SharedGateway<W>| {
            let mut core = context.core();
            core.topic_copy(query.topic).has_news_for(query.from)
        };
        while !is_new(context) && changes.changed().await.is_ok() {}
    };
    // If the wait ends without a new record, the response still carries the
    // copy's age.
    let _ = tokio::time::timeout(query.wait, waited).await;
    let now = context.now();
    let mut core = context.core();
    let copy = core.topic_copy(query.topic).read(now, query.from);
    let config = core.config_record().cloned();
    drop(core);
    match copy {
        Some(mut copy) => {
            if let (StoreTopic::Control, Some(config)) = (query.topic, config) {
                replace_config(&mut copy.records, config);
            }
            Response::new(encode(&copy).into())
        }
        None => without_body(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Replaces the desired state among the records by the one in force. An older one
/// that the store has written late must not reach an instance that starts.
fn replace_config(records: &mut [KeyedRecord], config: KeyedRecord) {
    let mut records = records.iter_mut();
    if let Some(record) = records.find(|it| it.key == config.key) {
        *record = config;
    }
}

fn without_body(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
