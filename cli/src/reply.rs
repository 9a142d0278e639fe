//! Answers to callers, and the request as handlers take it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    api::{ErrorBody, REQUEST_ID_HEADER},
    ids::RequestId,
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
    buffer::{ByteBudget, HeldBytes},
    context::SharedContext,
};

/// Marks an answer whose body is complete as it is.
#[derive(Clone, Copy, Debug)]
pub struct RenderedAnswer;

/// Closes the connection that a request came on.
#[derive(Clone, Debug)]
pub struct ConnectionCloser(pub CancellationToken);

impl StateData for ConnectionCloser {}

/// A request as handlers take it, without its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Request id.
    pub request: RequestId,
    /// When the head arrived.
    pub arrived: Timestamp,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Address of the caller.
    pub caller: Option<SocketAddr>,
    /// Closes the connection, if the server lets handlers do that.
    pub closer: Option<ConnectionCloser>,
}

impl CallerRequest {
    /// Takes a request out of gotham's state.
    pub fn take(context: &SharedContext, state: &mut State) -> Self {
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

/// A request body, counted until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Its share of the budget.
    pub held: HeldBytes,
}

/// Bounds on reading a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body.
    pub size: ByteSize,
    /// Time for the whole body.
    pub timeout: Duration,
}

/// Reads a whole request body within its bounds.
pub async fn read_body(
    mut body: Body,
    headers: &HeaderMap,
    limits: BodyLimits,
    budget: Arc<ByteBudget>,
) -> Result<HeldBody, Refusal> {
    let stated = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if stated.is_some_and(|length| length > limits.size.get()) {
        return Err(too_large(limits.size));
    }
    let mut held = HeldBytes::new(budget);
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
        if !held.grow(data.len() as u64) {
            let text = "the instance holds too many request bodies";
            return Err(Refusal::new(RefusalCode::Overloaded, text)
                .with_retry_after(Duration::from_secs(1)));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(HeldBody {
        bytes: bytes.freeze(),
        held,
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

/// Decodes a JSON body; the refusal names the path of a faulty value.
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

/// An answer with a JSON body.
pub fn json_answer<T: Serialize>(
    status: StatusCode,
    request: &RequestId,
    body: &T,
) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("bodies are plain JSON");
    bytes_answer(status, "application/json", request, body.into())
}

/// An answer with a body of a content type.
pub fn bytes_answer(
    status: StatusCode,
    content_type: &'static str,
    request: &RequestId,
    body: Bytes,
) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {});
    stream_answer(status, content_type, request, Body::new(body))
}

/// An answer whose body comes in parts.
pub fn stream_answer(
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
    response.extensions_mut().insert(RenderedAnswer);
    response
}

/// An answer that refuses a request; counts the refusal.
pub fn refusal_answer(
    context: &SharedContext,
    request: &RequestId,
    refusal: &Refusal,
) -> Response<Body> {
    context.metrics.count_refusal(refusal.code);
    let text = format!("{request}: {refusal}");
    let event = borageline_lib::log_event::LogEvent::RequestRefused;
    crate::logging::event(event, &text);
    let body = ErrorBody::new(refusal, Some(request.clone()));
    let status = StatusCode::from_u16(refusal.code.status())
        .expect("codes have valid statuses");
    let mut response = json_answer(status, request, &body);
    let headers = response.headers_mut();
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    let unread = [RefusalCode::SlowSender, RefusalCode::BodyTooLarge];
    if unread.contains(&refusal.code) {
        let close = HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
    response
}

/// A request id as a header value.
pub fn id_value(request: &RequestId) -> HeaderValue {
    HeaderValue::from_str(request.as_str())
        .expect("ids hold no control characters")
}
