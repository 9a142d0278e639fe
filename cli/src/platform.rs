//! Client of the platform: the log service and the instance list.
//!
//! Every call ends within its timeout and reads at most [`ANSWER_MAX_BYTES`] of
//! the answer. Its failure says whether the service may have executed the
//! call. Calls are not retried here; the core decides about retries.

use std::{fmt::Display, net::SocketAddr, time::Duration};

use borageline_lib::{
    core::CallFailure,
    ids::StreamName,
    platform_api::{
        AppendRequest, AppendResponse, InstanceListing, RecordPage,
    },
    refusal::RunState,
    units::LogOffset,
};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

/// Timeout of an append.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a read of the instance list.
pub const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a log read, in addition to the time for which the read waits for
/// new records.
pub const READ_EXTRA_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest body of an answer that is read.
pub const ANSWER_MAX_BYTES: usize = 32 << 20;
/// Most records requested in one read.
pub const READ_MAX_RECORDS: u32 = 1_000;

/// Time to establish a connection. Shorter than every call's timeout, so that
/// a failed connection is reported as such, and not as a lost answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed. Shorter than the idle timeout
/// of common servers: if the server closes a connection while an append is
/// sent on it, the outcome of the append is unknown.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle connections kept per address.
const POOL_IDLE_CONNECTIONS: usize = 8;
/// Characters of an error answer that are quoted in a message.
const DETAIL_MAX_CHARS: usize = 200;

/// Client of the log service and the instance list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    log_service: SocketAddr,
    instance_list: SocketAddr,
}

/// Parameters of one call.
struct PlatformCall {
    /// Name of the call in messages.
    step: &'static str,
    peer: SocketAddr,
    timeout: Duration,
    /// Run state if the call was sent and no valid answer was received.
    run_state_if_lost: RunState,
}

impl PlatformCall {
    fn failure(&self, run_state: RunState, cause: impl Display) -> CallFailure {
        let message = format!("{} at {}: {cause}", self.step, self.peer);
        CallFailure {
            run_state,
            message: message.into(),
        }
    }
}

impl PlatformClient {
    /// Creates a client; connections are made when they are needed.
    pub fn new(log_service: SocketAddr, instance_list: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(POOL_IDLE_CONNECTIONS)
            .build(connector);
        Self {
            client,
            log_service,
            instance_list,
        }
    }

    /// Reads the records of a stream from an offset on. If there are none,
    /// waits up to `wait` for the next one.
    pub async fn read_log(
        &self,
        stream: &StreamName,
        from: LogOffset,
        wait: Duration,
    ) -> Result<RecordPage, CallFailure> {
        let call = PlatformCall {
            step: "log read",
            peer: self.log_service,
            timeout: wait + READ_EXTRA_TIMEOUT,
            run_state_if_lost: RunState::NotRun,
        };
        let query = format!(
            "?from={from}&limit={READ_MAX_RECORDS}&wait_ms={}",
            wait.as_millis(),
        );
        let path = records_path(stream) + &query;
        self.fetch(&call, Method::GET, &path, Bytes::new()).await
    }

    /// Appends records to a stream, all or none.
    pub async fn append_log(
        &self,
        stream: &StreamName,
        records: Vec<serde_json::Value>,
    ) -> Result<AppendResponse, CallFailure> {
        let call = PlatformCall {
            step: "log append",
            peer: self.log_service,
            timeout: APPEND_TIMEOUT,
            run_state_if_lost: RunState::MayHaveRun,
        };
        let body = encode(&call, &AppendRequest { records })?;
        let path = records_path(stream);
        self.fetch(&call, Method::POST, &path, body).await
    }

    /// Reads the platform's list of instances, engines and service processes.
    pub async fn read_list(&self) -> Result<InstanceListing, CallFailure> {
        let call = PlatformCall {
            step: "instance list read",
            peer: self.instance_list,
            timeout: LIST_TIMEOUT,
            run_state_if_lost: RunState::NotRun,
        };
        let path = "/v1/instances";
        self.fetch(&call, Method::GET, path, Bytes::new()).await
    }

    /// Makes a call within its timeout.
    async fn fetch<T: DeserializeOwned>(
        &self,
        call: &PlatformCall,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallFailure> {
        let exchange = self.exchange(call, method, path, body);
        match timeout(call.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                let limit = call.timeout.as_millis();
                let cause = format!("no answer within {limit} ms");
                Err(call.failure(call.run_state_if_lost, cause))
            }
        }
    }

    /// Makes a call without a timeout.
    async fn exchange<T: DeserializeOwned>(
        &self,
        call: &PlatformCall,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", call.peer))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| call.failure(RunState::NotRun, error))?;
        let response = self.client.request(request).await.map_err(|error| {
            let run_state = match error.is_connect() {
                true => RunState::NotRun,
                false => call.run_state_if_lost,
            };
            call.failure(run_state, error_chain(&error))
        })?;
        let (parts, body) = response.into_parts();
        let read = Limited::new(body, ANSWER_MAX_BYTES).collect().await;
        if !parts.status.is_success() {
            let detail = read.map(|body| body.to_bytes()).unwrap_or_default();
            let cause = describe_status(parts.status, &detail);
            return Err(call.failure(RunState::NotRun, cause));
        }
        let body = read.map_err(|error| {
            let cause = match error.downcast_ref::<LengthLimitError>() {
                Some(_) => format!("answer over {ANSWER_MAX_BYTES} B"),
                None => format!("answer truncated: {error}"),
            };
            call.failure(call.run_state_if_lost, cause)
        })?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| {
            call.failure(
                call.run_state_if_lost,
                format!("malformed answer: {error}"),
            )
        })
    }
}

fn records_path(stream: &StreamName) -> String {
    let name = stream.as_str().replace('/', "%2F");
    format!("/v1/streams/{name}/records")
}

fn encode(
    call: &PlatformCall,
    body: &impl Serialize,
) -> Result<Bytes, CallFailure> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| call.failure(RunState::NotRun, error))
}

fn describe_status(status: StatusCode, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let detail: String = text.chars().take(DETAIL_MAX_CHARS).collect();
    match detail.trim() {
        "" => format!("answered {status}"),
        detail => format!("answered {status}: {detail}"),
    }
}

/// Formats an error with its causes. The client's own text only says that
/// sending failed.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text = format!("{text}: {cause}");
        next = cause.source();
    }
    text
}
