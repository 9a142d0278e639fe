//! HTTP/1.1 server shared by the stand-ins.
//!
//! Serves a [`Standin`] on an address, applies its fault gate and answers
//! `/control`. A call that ends in [`CutConnection`] gets no answer; its
//! connection is closed.

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

/// Body of an answer.
pub type ResponseBody = UnsyncBoxBody<Bytes, CutConnection>;

/// Answer of a stand-in.
pub type HandlerResult = Result<Response<ResponseBody>, CallError>;

/// Why a call has no regular answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection is closed in place of an answer.
    Cut,
    /// The call is refused with an error body.
    Refused {
        /// Status.
        status: StatusCode,
        /// Stable code.
        code: &'static str,
        /// What was wrong, for people.
        message: String,
    },
}

impl CallError {
    /// A refusal with an error body.
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

    /// The refusal of a malformed call.
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

/// The connection is to be closed in place of the rest of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutConnection;

impl Display for CutConnection {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection cut by the stand-in")
    }
}

impl std::error::Error for CutConnection {}

/// A call with its whole body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters, not decoded.
    pub query: BTreeMap<String, String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
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

    /// Text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A query parameter as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::malformed)
    }

    /// Segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// Wraps text or bytes as a body.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a JSON body.
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

/// The error for an unknown path.
pub fn not_found(call: &Call) -> CallError {
    let message = format!("{} {} does not exist", call.method, call.path);
    CallError::new(StatusCode::NOT_FOUND, "not_found", message)
}

/// Something that answers calls and can be made to fail.
pub trait Standin: Send + Sync + 'static {
    /// General faults.
    fn gate(&self) -> &FaultGate;

    /// Carries out a call.
    fn handle(
        self: Arc<Self>,
        call: Call,
    ) -> impl Future<Output = HandlerResult> + Send;

    /// Injects a fault.
    fn control(&self, fault: Fault) -> Result<(), FaultError>;

    /// Counters, as the answer of `GET /control`.
    fn report(&self) -> serde_json::Value;
}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle<S> {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The stand-in, for faults and counters.
    pub control: Arc<S>,
    /// Cancelled to stop it.
    pub shutdown: CancellationToken,
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Serves a stand-in on an address; port 0 picks a free one.
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
    // Small parts would otherwise wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let cut = standin.gate().connection_token();
    // The connection that orders a cut still gets its answer.
    let ordered = AtomicBool::new(false);
    let service =
        service_fn(|request| dispatch(request, standin.clone(), &ordered));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        () = cut.cancelled() => {}
        () = shutdown.cancelled() => return,
    }
    if ordered.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn dispatch<S: Standin>(
    request: Request<Incoming>,
    standin: Arc<S>,
    ordered: &AtomicBool,
) -> Result<Response<ResponseBody>, CutConnection> {
    let call = Call::read(request).await?;
    let answer = if call.path == "/control" {
        ordered.store(true, Ordering::Relaxed);
        handle_control(&call, standin.as_ref())
    } else if call.path.starts_with("/control/") {
        standin.handle(call).await
    } else {
        handle_gated(call, standin).await
    };
    match answer {
        Ok(response) => Ok(response),
        Err(CallError::Cut) => Err(CutConnection),
        Err(CallError::Refused {
            status,
            code,
            message,
        }) => refusal(status, code, &message),
    }
}

/// An answer with the error body of the design page.
fn refusal(
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
    let answer = json_response(status, &ErrorBody { error });
    answer.map_err(|_| CutConnection)
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
            let message = "fault was injected";
            return Err(CallError::new(status, "unavailable", message));
        }
    }
    let answer = standin.clone().handle(call).await;
    if standin.gate().take_dropped_response() {
        return Err(CallError::Cut);
    }
    answer
}

fn handle_control<S: Standin>(call: &Call, standin: &S) -> HandlerResult {
    if call.method == Method::GET {
        return json_response(StatusCode::OK, &standin.report());
    }
    let applied = standin.control(call.json()?);
    applied.map_err(CallError::malformed)?;
    json_response(StatusCode::OK, &serde_json::json!({"ok": true}))
}
