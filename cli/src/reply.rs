//! Requests as handlers receive them, and the responses to callers.
//!
//! Reads request bodies within their limits and builds JSON, streamed and
//! error responses. Every response carries the request id.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    api::{ErrorBody, REQUEST_ID_HEADER},
    ids::RequestId,
    log_event::LogEvent,
    refusal::{Refusal, RefusalCode},
    units::{ByteSize, Timestamp},
};
use bytes::{Bytes, BytesMut};
use gotham::{
    helpers::http::Body,
    state::{FromState, State, StateData, client_addr},
};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    buffer::{ByteBudget, ByteReservation},
    context::SharedContext,
    log_decision,
};

/// Marks a response that was built by a handler, as opposed to one that gotham
/// made, whose body must still be replaced by an error body.
#[derive(Clone, Copy, Debug)]
pub struct RenderedResponse;

/// Closes the connection on which a request was received.
#[derive(Clone, Debug)]
pub struct ConnectionCloser(pub CancellationToken);

impl StateData for ConnectionCloser {}

/// A request as handlers receive it, without its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Id that the instance gave the request.
    pub request: RequestId,
    /// Time at which the head was received.
    pub arrived: Timestamp,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// Socket address of the caller, if gotham knows it.
    pub caller: Option<SocketAddr>,
    /// Closes the connection; `None` on HTTP/2, where other requests share it.
    pub closer: Option<ConnectionCloser>,
}

impl CallerRequest {
    /// Moves a request out of gotham's state and gives it an id.
    pub fn from_state(context: &SharedContext, state: &mut State) -> Self {
        Self {
            request: context.next_request(),
            arrived: context.handle.clock().now(),
            method: Method::take_from(state),
            uri: Uri::take_from(state),
            headers: HeaderMap::take_from(state),
            caller: client_addr(state),
            closer: state.try_take::<ConnectionCloser>(),
        }
    }
}

/// A request body; its bytes are reserved from the budget until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    /// The complete body.
    pub bytes: Bytes,
    /// Reservation in the budget of request bodies.
    pub reservation: ByteReservation,
}

/// Limits on reading a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size of the body.
    pub size: ByteSize,
    /// Time for the whole body to arrive.
    pub timeout: Duration,
}

/// Reads a whole request body.
///
/// Refuses a body that exceeds its limits, is aborted by the caller, or does
/// not fit into the budget.
pub async fn read_body(
    mut body: Body,
    headers: &HeaderMap,
    limits: BodyLimits,
    budget: Arc<ByteBudget>,
) -> Result<BufferedBody, Refusal> {
    let declared = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if declared.is_some_and(|length| length > limits.size.get()) {
        return Err(too_large(limits.size));
    }
    let mut reservation = ByteReservation::new(budget);
    let mut bytes = BytesMut::new();
    let until = Instant::now() + limits.timeout;
    loop {
        let frame = tokio::time::timeout_at(until, body.frame()).await;
        let frame = match frame {
            Err(_) => return Err(slow_sender(limits.timeout)),
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                let text = format!("the body could not be read: {error}");
                return Err(Refusal::new(RefusalCode::Malformed, text));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = (bytes.len() + data.len()) as u64;
        if length > limits.size.get() {
            return Err(too_large(limits.size));
        }
        if !reservation.grow(data.len() as u64) {
            let text = "the instance buffers too many request bodies";
            return Err(Refusal::new(RefusalCode::Overloaded, text)
                .with_retry_after(Duration::from_secs(1)));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: bytes.freeze(),
        reservation,
    })
}

fn too_large(limit: ByteSize) -> Refusal {
    let text = format!("the body is larger than {limit}");
    Refusal::new(RefusalCode::BodyTooLarge, text)
}

fn slow_sender(timeout: Duration) -> Refusal {
    let text = format!("the body did not arrive within {timeout:?}");
    Refusal::new(RefusalCode::SlowSender, text)
}

/// Decodes a JSON body. The refusal of a malformed body contains the path of
/// the invalid value.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut decoder);
    let value = value.map_err(|error| {
        let path = error.path().to_string();
        let text =
            format!("the body is malformed at {path}: {}", error.inner());
        Refusal::new(RefusalCode::Malformed, text)
    })?;
    decoder.end().map_err(|error| {
        let text = format!("the body is malformed after its end: {error}");
        Refusal::new(RefusalCode::Malformed, text)
    })?;
    Ok(value)
}

/// Builds a response with a JSON body.
pub fn json_response<T: Serialize>(
    status: StatusCode,
    request: &RequestId,
    body: &T,
) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("bodies are plain JSON");
    bytes_response(status, "application/json", request, body.into())
}

/// Builds a response with a complete body.
pub fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    request: &RequestId,
    body: Bytes,
) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    stream_response(status, content_type, request, Body::new(body))
}

/// Builds a response whose body is read while it is sent.
pub fn stream_response(
    status: StatusCode,
    content_type: &'static str,
    request: &RequestId,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static(content_type);
    headers.insert(header::CONTENT_TYPE, content_type);
    headers.insert(REQUEST_ID_HEADER, id_value(request));
    response.extensions_mut().insert(RenderedResponse);
    response
}

/// Builds the response to a refused request; counts and logs the refusal.
pub fn error_response(
    context: &SharedContext,
    request: &RequestId,
    refusal: &Refusal,
) -> Response<Body> {
    context.metrics.count_refusal(refusal.code);
    log_refusal(request, refusal);
    let body = ErrorBody::new(refusal, Some(request.clone()));
    let status = StatusCode::from_u16(refusal.code.status())
        .expect("codes have valid statuses");
    let mut response = json_response(status, request, &body);
    let headers = response.headers_mut();
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    // The rest of the body may not have been read, so the connection can't be
    // reused.
    let unread = [
        RefusalCode::SlowSender,
        RefusalCode::BodyTooLarge,
        RefusalCode::Stopping,
    ];
    if unread.contains(&refusal.code) {
        let close = HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    response
}

/// Logs that a request was refused or failed. One that a planned stop ended is
/// always logged, since its cause lies in the instance alone.
pub fn log_refusal(request: &RequestId, refusal: &Refusal) {
    let event = match refusal.code {
        RefusalCode::Stopping => LogEvent::RequestStopped,
        _ => LogEvent::RequestRefused,
    };
    log_decision!(
        event,
        {
            request = request,
            code = refusal.code,
            run_state = refusal.run_state,
        },
        "{request}: {refusal}",
    );
}

/// Converts a request id to a header value.
pub fn id_value(request: &RequestId) -> HeaderValue {
    HeaderValue::from_str(request.as_str())
        .expect("ids hold no control characters")
}
