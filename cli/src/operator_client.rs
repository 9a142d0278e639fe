//! HTTP client of the operator commands.
//!
//! Calls are never retried. If a call fails, the failure says whether the
//! instance may have executed it.

use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use borageline_lib::{
    api::{ErrorBody, ErrorDetail},
    refusal::RunState,
};
use bpaf::{Bpaf, ShellComp};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::time::timeout;

use crate::{commands::ExitReason, output::print_error};

/// Environment variable with the operator's key.
pub(crate) const KEY_VARIABLE: &str = "BORAGELINE_OPERATOR_KEY";
/// Largest body of an answer that is read.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Characters of an unexpected answer that are quoted in a message.
const DETAIL_MAX_CHARS: usize = 200;

/// Which instance to talk to, and as whom.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct OperatorTarget {
    /// Address of an instance's listener for callers
    #[bpaf(long, argument("HOST:PORT"))]
    pub(crate) address: SocketAddr,
    /// File with the operator's key; otherwise BORAGELINE_OPERATOR_KEY is used
    #[bpaf(
        long,
        argument("FILE"),
        complete_shell(ShellComp::File { mask: None }),
        optional
    )]
    pub(crate) key_file: Option<PathBuf>,
    /// Seconds to wait for the answer
    #[bpaf(
        long,
        argument("SECONDS"),
        guard(valid_timeout, "is not within 1 to 3600"),
        fallback(30),
        display_fallback
    )]
    pub(crate) timeout: u64,
    /// Print the answer as JSON
    pub(crate) json: bool,
}

fn valid_timeout(seconds: &u64) -> bool {
    (1..=3_600).contains(seconds)
}

/// Why a call has no valid answer.
#[derive(Clone, Debug)]
pub(crate) enum OperatorFailure {
    /// The command line or the key is invalid; nothing was sent.
    Usage(String),
    /// The connection failed; nothing was sent.
    NotSent(String),
    /// The call was sent, but no complete answer was received.
    Lost(String),
    /// The call was answered with a client error that is not an
    /// [`ErrorBody`], perhaps by another server than an instance.
    Answered(String),
    /// The instance refused the call.
    Refused(Box<ErrorDetail>),
}

impl OperatorFailure {
    /// Whether the instance may have executed the call.
    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Self::Usage(_) | Self::NotSent(_) | Self::Answered(_) => false,
            Self::Lost(_) => true,
            Self::Refused(detail) => detail.run_state == RunState::MayHaveRun,
        }
    }

    /// Result of a command whose failed call would have changed nothing.
    pub(crate) fn read_exit_reason(&self) -> ExitReason {
        match self {
            Self::Usage(_) => ExitReason::Usage,
            _ => ExitReason::Failed,
        }
    }
}

impl Display for OperatorFailure {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(cause) | Self::Answered(cause) => {
                formatter.write_str(cause)
            }
            Self::NotSent(cause) => write!(formatter, "not sent: {cause}"),
            Self::Lost(cause) => write!(formatter, "no answer: {cause}"),
            Self::Refused(detail) => {
                write!(formatter, "{}: {}", detail.code, detail.message)?;
                match &detail.request_id {
                    Some(id) => write!(formatter, " (request {id})"),
                    None => Ok(()),
                }
            }
        }
    }
}

/// Client for one instance, authenticated as one operator.
pub(crate) struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
    key: String,
}

impl OperatorClient {
    /// Creates a client. Fails if the key is missing or invalid.
    pub(crate) fn new(
        target: &OperatorTarget,
    ) -> Result<Self, OperatorFailure> {
        let key = match &target.key_file {
            Some(path) => read_key(path)?,
            None => std::env::var(KEY_VARIABLE).map_err(|_| {
                OperatorFailure::Usage(format!(
                    "no operator key; give --key-file or set {KEY_VARIABLE}",
                ))
            })?,
        };
        let key = key.trim().to_owned();
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            let text = "the operator key is empty or has a character outside \
                        printable ASCII";
            return Err(OperatorFailure::Usage(text.into()));
        }
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address: target.address,
            timeout: Duration::from_secs(target.timeout),
            key,
        })
    }

    /// Sends a request and decodes the JSON body of its answer, within the
    /// timeout of the command.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, OperatorFailure> {
        match timeout(self.timeout, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(OperatorFailure::Lost(format!(
                "{} has not answered within {:?}",
                self.address, self.timeout,
            ))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, OperatorFailure> {
        let bytes = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| OperatorFailure::NotSent(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            let cause = std::error::Error::source(&error)
                .map_or_else(|| error.to_string(), ToString::to_string);
            let cause = format!("{}: {cause}", self.address);
            match error.is_connect() {
                true => OperatorFailure::NotSent(cause),
                false => OperatorFailure::Lost(cause),
            }
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| {
                OperatorFailure::Lost(format!("{}: {error}", self.address))
            })?;
        read_answer(parts.status, &body.to_bytes())
    }
}

fn read_answer(
    status: StatusCode,
    body: &[u8],
) -> Result<Value, OperatorFailure> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| {
            OperatorFailure::Lost(format!("malformed answer: {error}"))
        });
    }
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(body) {
        return Err(OperatorFailure::Refused(Box::new(body.error)));
    }
    let text = String::from_utf8_lossy(body);
    let detail: String = text.chars().take(DETAIL_MAX_CHARS).collect();
    let cause = format!("answered {status}: {detail}");
    // A server error without an error body does not tell whether the call was
    // executed.
    Err(match status.is_server_error() {
        true => OperatorFailure::Lost(cause),
        false => OperatorFailure::Answered(cause),
    })
}

fn read_key(path: &Path) -> Result<String, OperatorFailure> {
    std::fs::read_to_string(path).map_err(|error| {
        let path = path.display();
        OperatorFailure::Usage(format!("key file {path}: {error}"))
    })
}

/// Runs a command's calls on a runtime of their own.
pub(crate) fn run_calls(calls: impl Future<Output = ExitReason>) -> ExitReason {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(calls),
        Err(error) => {
            print_error(format_args!("no runtime: {error}"));
            ExitReason::Failed
        }
    }
}
