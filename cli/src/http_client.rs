//! HTTP client for calls to engines and plain services, also used by the
//! gateway.
//!
//! Its errors distinguish a failed connection, in which case nothing was sent,
//! from all later failures, in which case the server may have executed the
//! call.

use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    api::ErrorBody, core::CallFailure, refusal::RunState, units::ByteSize,
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::{Connect, HttpConnector},
    },
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    received_body::{ReceivedBody, ends_with_connection},
    relay::RelayedConnection,
    watched_stream::WatchedConnector,
};

/// Default time to establish a TCP connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest body of a response, unless its sender has a smaller limit.
pub const RESPONSE_MAX: ByteSize = ByteSize::new(16 << 20);
/// Largest report of an engine; one has some 100 B for each request that the
/// engine holds. An instance reads the reports of all engines at a time.
const REPORT_MAX: ByteSize = ByteSize::new(1 << 20);
/// Largest body of an error response that is read.
const ERROR_MAX_BYTES: usize = 16 << 10;
/// Largest read buffer of one connection, which is also the largest head and
/// the largest piece of a body. The default of hyper is 408 KiB.
const CONNECTION_BUFFER_BYTES: usize = 64 << 10;
/// Idle connections kept for one address.
const IDLE_PER_PEER: usize = 64;
/// Idle time after which a connection is closed; shorter than the idle timeout
/// of common servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle time after which the system sends TCP keepalive probes. A machine
/// without power or behind a partition is detected only by unanswered probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the system closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for sent data to be acknowledged, after which the system closes the
/// connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an HTTP call failed.
#[derive(Clone, Debug, PartialEq)]
pub enum HttpError {
    /// The connection failed; nothing was sent.
    ConnectFailed {
        /// Name of the call.
        step: &'static str,
        /// Address of the server.
        peer: SocketAddr,
        /// Cause, as text for a message.
        message: Arc<str>,
    },
    /// The connection failed after it was made.
    Broken {
        /// Name of the call.
        step: &'static str,
        /// Address of the server.
        peer: SocketAddr,
        /// Cause, as text for a message.
        message: Arc<str>,
    },
    /// No response was received in time.
    TimedOut {
        /// Name of the call.
        step: &'static str,
        /// Address of the server.
        peer: SocketAddr,
        /// Timeout of the call.
        after: Duration,
    },
    /// The server answered with an error status.
    Status {
        /// Name of the call.
        step: &'static str,
        /// Address of the server.
        peer: SocketAddr,
        /// Status of the response.
        status: StatusCode,
        /// Body of the response; `None` if it was not an [`ErrorBody`].
        body: Option<Box<ErrorBody>>,
    },
    /// The response could not be decoded, or contradicts the request.
    Malformed {
        /// Name of the call.
        step: &'static str,
        /// Address of the server.
        peer: SocketAddr,
        /// Cause, as text for a message.
        message: Arc<str>,
    },
}

impl HttpError {
    /// Whether the server may have executed the call.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::ConnectFailed { .. } => RunState::NotRun,
            Self::Status {
                body: Some(body), ..
            } => body.error.run_state,
            _ => RunState::MayHaveRun,
        }
    }
}

impl Display for HttpError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::ConnectFailed {
                step,
                peer,
                message,
            } => {
                write!(formatter, "{step} at {peer}: no connection: {message}")
            }
            Self::Broken {
                step,
                peer,
                message,
            } => write!(formatter, "{step} at {peer}: broken: {message}"),
            Self::TimedOut { step, peer, after } => {
                write!(formatter, "{step} at {peer}: no answer in {after:?}")
            }
            Self::Status {
                step,
                peer,
                status,
                body,
            } => {
                write!(formatter, "{step} at {peer}: status {status}")?;
                match body {
                    Some(body) => write!(
                        formatter,
                        ": {}: {}",
                        body.error.code, body.error.message,
                    ),
                    None => Ok(()),
                }
            }
            Self::Malformed {
                step,
                peer,
                message,
            } => write!(formatter, "{step} at {peer}: malformed: {message}"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<HttpError> for CallFailure {
    fn from(error: HttpError) -> Self {
        Self {
            run_state: error.run_state(),
            message: error.to_string().into(),
        }
    }
}

/// Destination and timeout of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget {
    /// Name of the call in error messages.
    pub step: &'static str,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Time until the head of the response.
    pub timeout: Duration,
}

/// HTTP/1.1 client with a pool of connections, which `C` establishes.
#[derive(Clone, Debug)]
pub struct HttpClient<C = WatchedConnector> {
    client: Client<C, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that reuses connections.
    pub fn new() -> Self {
        Self::build(IDLE_PER_PEER, true, CONNECT_TIMEOUT)
    }

    /// Like [`Self::new`], with a time to establish each connection.
    pub fn with_connect_timeout(connect: Duration) -> Self {
        Self::build(IDLE_PER_PEER, true, connect)
    }

    /// Creates a client that makes a connection for each call and never
    /// retries.
    ///
    /// A server may close an idle connection just as a call is written to it,
    /// and then it is unknown whether the call was executed.
    pub fn without_reuse() -> Self {
        Self::build(0, false, CONNECT_TIMEOUT)
    }

    /// Like [`Self::without_reuse`], with a time to establish each connection
    /// and the size of its receive buffer. By default, the system lets it grow
    /// to several megabytes.
    pub(crate) fn without_reuse_with_receive_buffer(
        connect: Duration,
        receive_buffer: ByteSize,
    ) -> Self {
        let mut connector = tcp_connector(connect);
        let size = usize::try_from(receive_buffer.get()).unwrap_or(usize::MAX);
        connector.set_recv_buffer_size(Some(size));
        let connector = WatchedConnector::new(connector).with_single_use(true);
        Self::build_with(connector, 0, false)
    }

    fn build(max_idle: usize, retry: bool, connect: Duration) -> Self {
        let connector = WatchedConnector::new(tcp_connector(connect))
            .with_single_use(max_idle == 0);
        Self::build_with(connector, max_idle, retry)
    }
}

/// Establishes TCP connections within a time, with the options of all
/// connections of an instance.
pub(crate) fn tcp_connector(connect: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
    connector
}

impl<C: Connect + Clone + Send + Sync + 'static> HttpClient<C> {
    /// Like [`HttpClient::new`], with another way to establish connections.
    pub(crate) fn with_connector(connector: C) -> Self {
        Self::build_with(connector, IDLE_PER_PEER, true)
    }

    /// Like [`HttpClient::without_reuse`], with another way to establish
    /// connections.
    pub(crate) fn without_reuse_with_connector(connector: C) -> Self {
        Self::build_with(connector, 0, false)
    }

    fn build_with(connector: C, max_idle: usize, retry: bool) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(CONNECTION_BUFFER_BYTES)
            .retry_canceled_requests(retry)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns as soon as the head of the response is
    /// received. Fails if its status is not one of a final response.
    pub async fn send(
        &self,
        target: CallTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, HttpError> {
        let CallTarget {
            step,
            peer,
            timeout,
        } = target;
        let answer =
            tokio::time::timeout(timeout, self.client.request(request));
        match answer.await {
            Ok(Ok(response)) if is_cut_unnoticed(&response) => {
                Err(HttpError::Malformed {
                    step,
                    peer,
                    message: "a relayed response must have a length".into(),
                })
            }
            Ok(Ok(response)) if !is_final(response.status()) => {
                let status = response.status();
                Err(HttpError::Malformed {
                    step,
                    peer,
                    message: format!("status {status} is no answer").into(),
                })
            }
            Ok(Ok(response)) => Ok(ReceivedBody::check(response)),
            Ok(Err(error)) => {
                let message = error_chain(&error);
                Err(if error.is_connect() {
                    HttpError::ConnectFailed {
                        step,
                        peer,
                        message,
                    }
                } else {
                    HttpError::Broken {
                        step,
                        peer,
                        message,
                    }
                })
            }
            Err(_) => Err(HttpError::TimedOut {
                step,
                peer,
                after: timeout,
            }),
        }
    }

    /// Like [`Self::send`], but fails unless the status is a success.
    pub async fn send_checked(
        &self,
        target: CallTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, HttpError> {
        let response = self.send(target, request).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = Limited::new(response.into_body(), ERROR_MAX_BYTES);
        let read = tokio::time::timeout(target.timeout, body.collect()).await;
        let body = match read {
            Ok(Ok(body)) => serde_json::from_slice(&body.to_bytes()).ok(),
            _ => None,
        };
        Err(HttpError::Status {
            step: target.step,
            peer: target.peer,
            status,
            body,
        })
    }

    /// Sends a request and decodes the body of its response from JSON. Fails
    /// unless the status is a success.
    pub async fn call<T: DeserializeOwned>(
        &self,
        target: CallTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<T, HttpError> {
        let response = self.send_checked(target, request).await?;
        let body = response.into_body();
        let bytes = read_response_body(target, body, REPORT_MAX).await?;
        serde_json::from_slice(&bytes).map_err(|error| HttpError::Malformed {
            step: target.step,
            peer: target.peer,
            message: error.to_string().into(),
        })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether a response could be cut off unnoticed: its body ends with the
/// connection, which also ends if the instance that passes it on does.
fn is_cut_unnoticed(response: &Response<Incoming>) -> bool {
    response.extensions().get::<RelayedConnection>().is_some()
        && ends_with_connection(response)
}

/// Whether a status is one of a final response. No call asks for an upgrade.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads the body of a response within the target's timeout. Fails if it is
/// larger than `limit`.
pub async fn read_response_body(
    target: CallTarget,
    body: ReceivedBody,
    limit: ByteSize,
) -> Result<Bytes, HttpError> {
    let CallTarget {
        step,
        peer,
        timeout,
    } = target;
    let limit = usize::try_from(limit.get()).unwrap_or(usize::MAX);
    let body = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(HttpError::Broken {
            step,
            peer,
            message: error.to_string().into(),
        }),
        Err(_) => Err(HttpError::TimedOut {
            step,
            peer,
            after: timeout,
        }),
    }
}

/// Builds a request without a body.
pub fn plain_request(
    method: Method,
    peer: SocketAddr,
    path: &str,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .body(Full::default())
        .expect("address and path built from ids make a URI")
}

/// Builds a request with a JSON body.
pub fn json_request<T: Serialize>(
    method: Method,
    peer: SocketAddr,
    path: &str,
    body: &T,
) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(body).expect("bodies are plain JSON");
    let mut request = plain_request(method, peer, path);
    *request.body_mut() = Full::new(body.into());
    let json = header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    request
}

/// Formats an error with its causes.
fn error_chain(error: &dyn std::error::Error) -> Arc<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text.into()
}
