//! Bodies that are buffered as a whole: of requests, so that they can be sent
//! again, and of answers.
//!
//! Each is read into one buffer, within its share of the memory account. While
//! the share is not granted, nothing is read, and the sender is held back by
//! the bounded receive buffer of its connection.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    gateway::{
        memory_account::{MemoryFull, MemoryUse, SHORT_SHARE_MAX},
        wire::{CallerRequest, GatewayWire},
    },
    refusal::{Refusal, RefusalCode},
    units::ByteSize,
};
use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{SharedGateway, memory_shares::MemoryShare};
use crate::received_body::ReceivedBody;

/// Time within which a body must arrive if the caller states no timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Part of the time for a body that it may wait for memory. The rest is needed
/// to receive it and to answer.
const ROOM_WAIT_SHARE: f64 = 0.5;
/// Factor by which the share of an answer of unknown length grows. That of a
/// request body grows to the limit at once: bodies that grow in steps would
/// fill the account and then all wait for each other.
const ANSWER_GROWTH_FACTOR: u64 = 4;
/// Time without a byte after which the rest of a refused body is not read any
/// more.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was not read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// It is larger than this.
    TooLarge(ByteSize),
    /// The connection broke.
    Broken(Arc<str>),
    /// The account has no room for it.
    NoRoom(MemoryFull),
    /// It got no share of the account in this time.
    WaitedForRoom(Duration),
    /// It arrived too slowly while others waited for room.
    Revoked,
}

impl ReadError {
    /// Whether it is for want of memory.
    pub(super) fn is_overload(&self) -> bool {
        match self {
            Self::NoRoom(_) | Self::WaitedForRoom(_) | Self::Revoked => true,
            Self::TooLarge(_) | Self::Broken(_) => false,
        }
    }
}

impl Display for ReadError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge(limit) => {
                write!(formatter, "the body is larger than {limit}")
            }
            Self::Broken(error) => {
                write!(formatter, "the body broke off: {error}")
            }
            Self::NoRoom(full) => {
                write!(formatter, "{} of memory are in use", full.used)
            }
            Self::WaitedForRoom(wait) => {
                write!(formatter, "no memory for the body within {wait:?}")
            }
            Self::Revoked => {
                formatter.write_str("slow body while others wait for memory")
            }
        }
    }
}

impl std::error::Error for ReadError {}

/// Reads a whole body; `None` if the request has none. Fails if the body is
/// too large, breaks off or is late, or if there is no memory for it.
pub(super) async fn read_body<W: GatewayWire>(
    context: &SharedGateway<W>,
    caller: &CallerRequest,
    mut body: Incoming,
) -> Result<Option<BufferedBody>, Refusal> {
    if body.is_end_stream() {
        return Ok(None);
    }
    let limits = context.core().config().map(|config| config.limits);
    let limit = limits.unwrap_or_default().body_max;
    let wait = caller.timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let deadline = Instant::now() + wait;
    let read = collect(context, &mut body, MemoryUse::Body, limit, wait);
    let read = tokio::select! {
        biased;
        read = tokio::time::timeout_at(deadline, read) => read,
        refusal = context.wait_until_stop_ends() => {
            discard(body, limit, deadline);
            return Err(refusal);
        }
    };
    let error = match read {
        Ok(Ok(bytes)) => return Ok(Some(BufferedBody(bytes))),
        Ok(Err(error)) => error,
        Err(_) => {
            let text = format!("the body did not arrive within {wait:?}");
            return Err(Refusal::new(RefusalCode::SlowSender, text));
        }
    };
    let text = error.to_string();
    if error.is_overload() {
        discard(body, limit, deadline);
        let mut core = context.core();
        return Err(core.retryable_refusal(RefusalCode::Overloaded, &text));
    }
    let code = match error {
        ReadError::TooLarge(_) => RefusalCode::BodyTooLarge,
        _ => RefusalCode::Malformed,
    };
    Err(Refusal::new(code, text))
}

/// Reads the body of an answer, which must be complete in the time left.
pub(super) async fn read_answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    mut body: ReceivedBody,
    limit: ByteSize,
    left: Duration,
) -> Result<Bytes, ReadError> {
    collect(context, &mut body, MemoryUse::Answer, limit, left).await
}

/// Reads a body into one buffer within a share of the memory account.
async fn collect<W, B>(
    context: &SharedGateway<W>,
    body: &mut B,
    memory_use: MemoryUse,
    limit: ByteSize,
    allowed: Duration,
) -> Result<Bytes, ReadError>
where
    W: GatewayWire,
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let known = body.size_hint().exact().map(ByteSize::new);
    let size = known.unwrap_or(SHORT_SHARE_MAX.min(limit));
    if size > limit {
        return Err(ReadError::TooLarge(limit));
    }
    let share = context.memory.request(memory_use, size, allowed);
    let mut share = share.map_err(ReadError::NoRoom)?;
    let room_wait = allowed.mul_f64(ROOM_WAIT_SHARE);
    wait_for_room(&share, room_wait).await?;
    let mut bytes = Vec::with_capacity(known.map_or(0, to_length));
    loop {
        let frame = tokio::select! {
            biased;
            () = share.revoked() => return Err(ReadError::Revoked),
            frame = body.frame() => frame,
        };
        let data = match frame {
            None => return Ok(share.hold(bytes)),
            Some(Err(error)) => {
                return Err(ReadError::Broken(error.to_string().into()));
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let length = ByteSize::new((bytes.len() + data.len()) as u64);
        if length > limit {
            return Err(ReadError::TooLarge(limit));
        }
        if length > share.size() {
            let next = match memory_use {
                MemoryUse::Body => limit,
                MemoryUse::Answer => {
                    ByteSize::new(share.size().get() * ANSWER_GROWTH_FACTOR)
                }
            };
            share
                .grow(next.max(length).min(limit))
                .map_err(ReadError::NoRoom)?;
            wait_for_room(&share, room_wait).await?;
        }
        bytes.extend_from_slice(&data);
        share.record_received(bytes.len());
    }
}

async fn wait_for_room(
    share: &MemoryShare,
    wait: Duration,
) -> Result<(), ReadError> {
    match tokio::time::timeout(wait, share.granted()).await {
        Ok(true) => Ok(()),
        Ok(false) => Err(ReadError::Revoked),
        Err(_) => Err(ReadError::WaitedForRoom(wait)),
    }
}

fn to_length(size: ByteSize) -> usize {
    usize::try_from(size.get()).unwrap_or(usize::MAX)
}

/// Reads and drops the rest of a refused body. A connection that is closed
/// with unread bytes is reset, and the sender would not see the refusal.
fn discard(body: Incoming, limit: ByteSize, deadline: Instant) {
    tokio::spawn(async move {
        let mut body = Limited::new(body, to_length(limit));
        loop {
            let until = deadline.min(Instant::now() + DISCARD_TIMEOUT);
            match tokio::time::timeout_at(until, body.frame()).await {
                Ok(Some(Ok(_))) => {}
                _ => return,
            }
        }
    });
}

/// A request body, which holds its share of the memory account.
#[derive(Debug)]
pub(super) struct BufferedBody(Bytes);

impl BufferedBody {
    /// Content of the body; cheap, since the bytes are shared.
    pub(super) fn bytes(&self) -> Bytes {
        self.0.clone()
    }

    /// Size in bytes.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
