//! Request bodies, which are buffered so that they can be sent again.
//!
//! The total size of all buffered bodies is limited to a share of the memory.

use std::{sync::atomic::Ordering, time::Duration};

use borageline_lib::{
    gateway::wire::{CallerRequest, GatewayWire},
    refusal::{Refusal, RefusalCode},
};
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::SharedGateway;

/// Time within which a body must arrive if the caller states no timeout.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads a whole body; `None` if the request has none. Fails if the body is
/// too large, breaks off or is late, or if the buffered bodies exceed their
/// limit.
pub(super) async fn read_body<W: GatewayWire>(
    context: &SharedGateway<W>,
    caller: &CallerRequest,
    body: Incoming,
) -> Result<Option<BufferedBody<W>>, Refusal> {
    if body.is_end_stream() {
        return Ok(None);
    }
    let limits = context.core().config().map(|config| config.limits);
    let limit = limits.unwrap_or_default().body_max;
    let limit = usize::try_from(limit.get()).unwrap_or(usize::MAX);
    let wait = caller.timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(wait, read).await {
        Ok(Ok(body)) => BufferedBody::new(context, body.to_bytes()).map(Some),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let text = format!("the body is larger than {limit} bytes");
            Err(Refusal::new(RefusalCode::BodyTooLarge, text))
        }
        Ok(Err(error)) => {
            let text = format!("the body broke off: {error}");
            Err(Refusal::new(RefusalCode::Malformed, text))
        }
        Err(_) => {
            let text = format!("the body did not arrive within {wait:?}");
            Err(Refusal::new(RefusalCode::SlowSender, text))
        }
    }
}

/// A request body; its size counts against the limit until it is dropped.
#[derive(Debug)]
pub(super) struct BufferedBody<W: GatewayWire> {
    context: SharedGateway<W>,
    bytes: Bytes,
}

impl<W: GatewayWire> BufferedBody<W> {
    fn new(context: &SharedGateway<W>, bytes: Bytes) -> Result<Self, Refusal> {
        let length = bytes.len() as u64;
        let buffered_bytes = context
            .buffered_body_bytes
            .fetch_add(length, Ordering::Relaxed);
        let body = Self {
            context: context.clone(),
            bytes,
        };
        let limit = context.settings().body_bytes_max().get();
        if buffered_bytes + length > limit {
            let text = format!(
                "buffered request bodies take {buffered_bytes} bytes already"
            );
            let mut core = context.core();
            return Err(core.retryable_refusal(RefusalCode::Overloaded, &text));
        }
        Ok(body)
    }

    /// Content of the body; cheap, since the bytes are shared.
    pub(super) fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }

    /// Size in bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }
}

impl<W: GatewayWire> Drop for BufferedBody<W> {
    fn drop(&mut self) {
        let length = self.bytes.len() as u64;
        self.context
            .buffered_body_bytes
            .fetch_sub(length, Ordering::Relaxed);
    }
}
