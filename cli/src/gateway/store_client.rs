//! Calls to the platform's store.

use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        store_era::{EraChange, StoreEra},
        wire::{GatewayWire, WireError},
    },
    log_event::LogEvent,
    units::ByteSize,
};
use bytes::Bytes;
use http::{Request, StatusCode};

use super::{SharedGateway, reservations::with_absolute_uri};
use crate::{
    http_client::{CallTarget, HttpError, read_response_body},
    log_decision,
};

/// Timeout for a response of the store, in addition to a long poll.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest response that is read. The store sends at most 1 MB of records, which
/// take a third more in base64, and one record beyond that.
const STORE_RESPONSE_MAX: ByteSize = ByteSize::new(4 << 20);

/// Why a call to the store failed.
#[derive(Debug)]
pub(super) enum ReadError {
    Call(HttpError),
    Status(StatusCode),
    Malformed(WireError),
    /// The records of a topic take more memory than this.
    TooLarge(ByteSize),
    /// The store was restored before all parts of the response were read.
    Restored,
}

impl Display for ReadError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(error) => write!(formatter, "{error}"),
            Self::Status(status) => {
                write!(formatter, "unexpected status {status}")
            }
            Self::Malformed(error) => write!(formatter, "{error}"),
            Self::TooLarge(limit) => {
                write!(formatter, "the topic is larger than {limit}")
            }
            Self::Restored => formatter.write_str("the store was restored"),
        }
    }
}

/// Response of the store.
#[derive(Debug)]
pub(super) struct StoreResponse {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
    /// Era of the store; `None` if it states none.
    pub(super) era: Option<StoreEra>,
}

/// Calls the store and reads the whole response. Fails if the store was restored
/// since it sent the response.
pub(super) async fn call_store<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<StoreResponse, ReadError> {
    let peer = context.settings().store;
    let target = CallTarget {
        step: "store",
        peer,
        timeout,
    };
    let request = with_absolute_uri(request, peer);
    let called = async {
        let response = context.store.send(target, request).await?;
        let status = response.status();
        let era = context.wire.era(response.headers());
        let body = response.into_body();
        let body = read_response_body(target, body, STORE_RESPONSE_MAX).await?;
        Ok(StoreResponse { status, body, era })
    };
    let answer = called.await;
    context.metrics.count_store_call(answer.is_ok());
    let response = answer.map_err(ReadError::Call)?;
    match observe_era(context, response.era) {
        EraChange::Unchanged | EraChange::Restored => Ok(response),
        EraChange::Outdated => Err(ReadError::Restored),
    }
}

/// Records the era that a response of the store or a copy of a topic states.
pub(super) fn observe_era<W: GatewayWire>(
    context: &SharedGateway<W>,
    era: Option<StoreEra>,
) -> EraChange {
    let now = context.now();
    let change = context.core().observe_era(now, era);
    if change == EraChange::Restored {
        log_decision!(
            LogEvent::StoreRestored,
            { era = era.unwrap_or_default() },
            "the store was restored from an earlier copy",
        );
        context.store_eras.send_replace(era);
    }
    change
}
