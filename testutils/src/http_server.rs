//! HTTP/1.1 server that all stand-ins share.
//!
//! Serves a [`Standin`] on an address, applies its fault gate to each call
//! and handles `/control`, which bypasses the gate. If a call or its
//! response body fails with [`CutConnection`], the connection is closed
//! without completing the response.

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use borageline_lib::{
    api::{ErrorBody, ErrorDetail},
    refusal::RunState,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::fault::{FailMode, Fault, FaultError, FaultGate, GateDecision};

/// Response body; its error closes the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, CutConnection>;

/// Response of a stand-in to a call, or why there is none.
pub type HandlerResult = Result<Response<ResponseBody>, CallError>;

/// Why a call has no regular response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection is closed without a response.
    Cut,
    /// The call is rejected with an error body.
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Machine-readable code.
        code: &'static str,
        /// Human-readable description.
        message: String,
    },
}

impl CallError {
    /// Rejects a call with an error body.
    pub fn new(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self::Refused {
            status,
            code,
            message,
        }
    }

    /// Rejects a malformed call with HTTP 400.
    pub fn malformed(message: impl Display) -> Self {
        let status = StatusCode::BAD_REQUEST;
        Self::new(status, "malformed", message.to_string())
    }
}

impl From<CutConnection> for CallError {
    fn from(CutConnection: CutConnection) -> Self {
        Self::Cut
    }
}

/// Closes the connection before the response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutConnection;

impl Display for CutConnection {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection cut by the stand-in")
    }
}

impl std::error::Error for CutConnection {}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters, without percent-decoding.
    pub query: BTreeMap<String, String>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    async fn read(request: Request<Incoming>) -> Result<Self, CutConnection> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| CutConnection)?;
        let query = head.uri.query().unwrap_or_default();
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Query parameter as a number; `None` if it is absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::malformed)
    }

    /// Path segments, without empty ones.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}

/// Body of known content.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Response with a JSON body.
pub fn json_response<T: Serialize>(
    status: StatusCode,
    value: &T,
) -> HandlerResult {
    let text = serde_json::to_vec(value).map_err(CallError::malformed)?;
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    Ok(response)
}

/// HTTP 404 for an unknown method and path.
pub fn not_found(call: &Call) -> CallError {
    let message = format!("{} {} does not exist", call.method, call.path);
    CallError::new(StatusCode::NOT_FOUND, "not_found", message)
}

/// A server that handles calls and into which tests inject faults.
pub trait Standin: Send + Sync + 'static {
    /// Gate that applies the faults that all stand-ins share.
    fn gate(&self) -> &FaultGate;

    /// Handles a call that the gate has let through.
    fn handle(
        self: Arc<Self>,
        call: Call,
    ) -> impl Future<Output = HandlerResult> + Send;

    /// Injects a fault; fails if the stand-in does not support it.
    fn control(&self, fault: Fault) -> Result<(), FaultError>;

    /// Counters and state, as returned by `GET /control`.
    fn report(&self) -> serde_json::Value;
}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle<S> {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
    /// The stand-in, to inject faults and read counters.
    pub control: Arc<S>,
    /// Stops the stand-in when cancelled.
    pub shutdown: CancellationToken,
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Serves a stand-in on an address; port 0 selects a free port.
pub async fn serve<S: Standin>(
    listen: SocketAddr,
    standin: Arc<S>,
) -> io::Result<Handle<S>> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let shutdown = CancellationToken::new();
    let accept = accept_all(listener, standin.clone(), shutdown.clone());
    tokio::spawn(accept);
    Ok(Handle {
        address,
        control: standin,
        shutdown,
    })
}

async fn accept_all<S: Standin>(
    listener: TcpListener,
    standin: Arc<S>,
    shutdown: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let task = serve_one(stream, standin.clone(), shutdown.clone());
        tokio::spawn(task);
    }
}

async fn serve_one<S: Standin>(
    stream: TcpStream,
    standin: Arc<S>,
    shutdown: CancellationToken,
) {
    // Avoids the delay of small writes by Nagle's algorithm.
    let _ = stream.set_nodelay(true);
    let cut = standin.gate().connection_token();
    // A connection that carried a control call gets its response before a
    // cut closes it.
    let has_control_call = AtomicBool::new(false);
    let service = service_fn(|request| {
        dispatch(request, standin.clone(), &has_control_call)
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        () = cut.cancelled() => {}
        () = shutdown.cancelled() => return,
    }
    if has_control_call.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn dispatch<S: Standin>(
    request: Request<Incoming>,
    standin: Arc<S>,
    has_control_call: &AtomicBool,
) -> Result<Response<ResponseBody>, CutConnection> {
    let call = Call::read(request).await?;
    let response = if call.path == "/control" {
        has_control_call.store(true, Ordering::Relaxed);
        handle_control(&call, standin.as_ref())
    } else if call.path.starts_with("/control/") {
        standin.handle(call).await
    } else {
        handle_gated(call, standin).await
    };
    match response {
        Ok(response) => Ok(response),
        Err(CallError::Cut) => Err(CutConnection),
        Err(CallError::Refused {
            status,
            code,
            message,
        }) => error_response(status, code, &message),
    }
}

/// Response with the error body that docs/design.md specifies.
fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Result<Response<ResponseBody>, CutConnection> {
    let error = ErrorDetail {
        code: code.into(),
        message: message.into(),
        run_state: RunState::NotRun,
        retry_after_ms: None,
        request_id: None,
    };
    let response = json_response(status, &ErrorBody { error });
    response.map_err(|_| CutConnection)
}

async fn handle_gated<S: Standin>(
    call: Call,
    standin: Arc<S>,
) -> HandlerResult {
    match standin.gate().pass().await {
        GateDecision::Pass => {}
        GateDecision::Fail(FailMode::Close) => return Err(CallError::Cut),
        GateDecision::Fail(FailMode::Status) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "injected fault";
            return Err(CallError::new(status, "unavailable", message));
        }
    }
    let response = standin.clone().handle(call).await;
    if standin.gate().take_dropped_response() {
        return Err(CallError::Cut);
    }
    response
}

fn handle_control<S: Standin>(call: &Call, standin: &S) -> HandlerResult {
    if call.method == Method::GET {
        return json_response(StatusCode::OK, &standin.report());
    }
    let applied = standin.control(call.json()?);
    applied.map_err(CallError::malformed)?;
    json_response(StatusCode::OK, &serde_json::json!({"ok": true}))
}
