//! Waits for the next events of an upstream.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        gateway_core::SILENCE_MIN, stream_cursor::StreamCursor,
        wire::GatewayWire,
    },
    refusal::Refusal,
};
use bytes::Bytes;
use tokio::time::Instant;

use super::super::{
    event_queue::EventSender,
    forward::{CallerAttempt, UpstreamReply},
    reply_body::ReplyBody,
};

/// Shortest silence after which a stream counts as stalled. An engine that
/// waits for one that has died continues or breaks off within 1.5 s.
pub(super) const STALL_TIME_MIN: Duration = Duration::from_millis(1_800);
/// Time between two looks at the links of a silent stream.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a stream counts as stalled.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallLimit {
    /// Silence in any case.
    pub(super) silence: Duration,
    /// Whether a shorter one is enough if the links to the upstream are lost.
    pub(super) heeds_links: bool,
}

/// What happened next in a stream.
pub(super) enum StreamStep {
    /// Complete events arrived.
    Events(Vec<Bytes>),
    /// The stream ended after a complete event.
    Complete,
    /// The stream broke off, for the given reason.
    Broken(String),
    /// No event arrived for this time.
    Stalled(Duration),
    /// The caller closed its connection.
    CallerLeft,
    /// No time is left, for the given reason.
    Expired(Refusal),
}

/// Waits for the next events of an upstream. `caller` is watched for a closed
/// connection, if the response has started.
pub(super) async fn next_step<W: GatewayWire>(
    attempt: &CallerAttempt<W>,
    cursor: &mut StreamCursor,
    reply: &mut UpstreamReply<W>,
    limit: StallLimit,
    caller: Option<&EventSender>,
) -> StreamStep {
    let left = attempt.time_left();
    let expiry = attempt.wait_until_expired();
    tokio::pin!(expiry);
    let begun_at = Instant::now();
    let heeds_links = limit.heeds_links && reply.path.is_direct();
    let first_look = if heeds_links { SILENCE_MIN } else { left };
    let stall = tokio::time::sleep(limit.silence.min(left).min(first_look));
    tokio::pin!(stall);
    let events = next_events(cursor, &mut reply.body);
    tokio::pin!(events);
    loop {
        tokio::select! {
            biased;
            () = caller_left(caller) => return StreamStep::CallerLeft,
            step = &mut events => return step,
            expiry = &mut expiry => return StreamStep::Expired(expiry),
            () = &mut stall => {
                let silence = begun_at.elapsed();
                if silence >= limit.silence.min(left)
                    || attempt.is_silenced(&reply.upstream, silence)
                {
                    return StreamStep::Stalled(silence);
                }
                let next = begun_at + limit.silence.min(left);
                stall
                    .as_mut()
                    .reset(next.min(Instant::now() + LINK_CHECK_INTERVAL));
            }
        }
    }
}

/// Reads the next events of a body, its end or its failure. What was read stays
/// in the cursor if the future is dropped.
pub(super) async fn next_events(
    cursor: &mut StreamCursor,
    body: &mut ReplyBody,
) -> StreamStep {
    loop {
        let mut events = Vec::new();
        loop {
            match cursor.next_event() {
                Ok(Some(event)) => events.push(event.bytes),
                Ok(None) => break,
                Err(error) => {
                    return StreamStep::Broken(format!("{error:?}"));
                }
            }
        }
        if !events.is_empty() {
            return StreamStep::Events(events);
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    cursor.push(bytes);
                }
            }
            Some(Err(error)) => {
                return StreamStep::Broken(format!(
                    "the stream broke off: {error}"
                ));
            }
            None if cursor.is_inside_event() => {
                return StreamStep::Broken(
                    "the stream ended inside an event".into(),
                );
            }
            None => return StreamStep::Complete,
        }
    }
}

pub(super) async fn caller_left(caller: Option<&EventSender>) {
    match caller {
        Some(caller) => caller.closed().await,
        None => std::future::pending().await,
    }
}
