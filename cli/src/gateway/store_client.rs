//! Calls to the platform's store.

use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        store_era::EraChange,
        wire::{GatewayWire, WireError},
    },
    log_event::LogEvent,
};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};

use super::{SharedGateway, reservations::with_absolute_uri};
use crate::{
    http_client::{CallTarget, HttpError, read_response_body},
    log_decision,
};

/// Timeout for a response of the store, in addition to a long poll.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a call to the store failed.
#[derive(Debug)]
pub(super) enum ReadError {
    Call(HttpError),
    Status(StatusCode),
    Malformed(WireError),
}

impl Display for ReadError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(error) => write!(formatter, "{error}"),
            Self::Status(status) => {
                write!(formatter, "unexpected status {status}")
            }
            Self::Malformed(error) => write!(formatter, "{error}"),
        }
    }
}

/// Calls the store and reads the whole response.
pub(super) async fn call_store<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), ReadError> {
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
        observe_era(context, response.headers());
        let body = read_response_body(target, response.into_body()).await?;
        Ok((status, body))
    };
    let answer = called.await;
    context.metrics.count_store_call(answer.is_ok());
    answer.map_err(ReadError::Call)
}

fn observe_era<W: GatewayWire>(
    context: &SharedGateway<W>,
    headers: &HeaderMap,
) {
    let era = context.wire.era(headers);
    if context.core().observe_era(era) == EraChange::Restored {
        log_decision!(
            LogEvent::StoreRestored,
            { era = era.unwrap_or_default() },
            "the store was restored from an earlier copy",
        );
    }
}
