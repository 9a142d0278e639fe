//! Calls to plain services.
//!
//! A call to an idempotent route is retried at another process of the service
//! where that can help. Any other call needs an idempotency key: the call
//! claims the key, is sent at most once, and its outcome is recorded under the
//! key, so that a repeated call gets the recorded outcome.

use std::{future::ready, net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    api::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER},
    core::InstanceReadiness,
    fleet::ServiceRule,
    gateway::{request_content::RequestContent, wire::PartId},
    ids::{RequestId, UpstreamId, WorkspaceId},
    peer_api::{CallKey, CallOutcome, CallResult, ClaimResponse},
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    units::Timestamp,
};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header,
};
use http_body_util::{BodyExt, Full};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::{
    buffer::ByteReservation,
    callers::{authenticate, read_whole_body, stale_configuration},
    context::SharedContext,
    credentials::hex_digest,
    http_client::{CallTarget, HttpError},
    reply::{CallerRequest, RenderedResponse, id_value},
    service_answer::read_answer,
    service_route::{ServicePath, forwardable_headers},
    upstream_client::UpstreamClient,
};

/// Most processes to which one call is sent in turn.
const PROCESS_ATTEMPTS_MAX: usize = 3;
/// Largest body that is recorded; of larger ones only the digest is recorded.
const RECORDED_BODY_MAX_BYTES: usize = 16 << 10;
/// Cause of a refusal for want of time.
const NOT_SENT: &str = "the deadline passed before the call was sent";
/// UUID version of idempotency keys; it contains the timestamp that limits a
/// key's age.
const KEY_UUID_VERSION: usize = 7;

/// A call to a plain service, with its complete body.
#[derive(Debug)]
struct ServiceCall {
    request: RequestId,
    workspace: WorkspaceId,
    path: ServicePath,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
    /// Ids by which the call is recognized when it comes again.
    contents: Vec<PartId>,
    deadline: Timestamp,
    // Keeps the body's bytes reserved in the budget.
    _reservation: ByteReservation,
}

/// A process of a service.
#[derive(Clone, Debug)]
struct ServiceProcess {
    id: UpstreamId,
    address: SocketAddr,
}

/// Complete response of a service's process.
#[derive(Debug)]
struct ServiceResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Handles `/v1/services/{service}/{path}`.
pub async fn call(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let published = context.handle.published();
    let (workspace, _) = authenticate(&context, &published, &call)?;
    let path = ServicePath::parse(&call.uri)?;
    let rule = published.fleet.services.get(&path.service).cloned();
    if rule.is_none() && !published.services.contains_key(&path.service) {
        let text = format!("service {} is not known", path.service);
        return Err(Refusal::new(RefusalCode::UnknownService, text));
    }
    let rule = rule.unwrap_or_else(|| default_rule(&context));
    let idempotent = path.is_idempotent(&rule, &call.method);
    let timeout = Duration::from_millis(rule.timeout_ms);
    let deadline = call.arrived.after(timeout);
    let body = read_whole_body(&context, &call, body);
    let body = if idempotent {
        body.await?
    } else {
        context.stop.unless_outlived(deadline, body).await??
    };
    let key = call.headers.get(IDEMPOTENCY_KEY_HEADER).cloned();
    let contents = content_ids(&call.method, &path, &workspace, &body.bytes);
    let call = ServiceCall {
        request: call.request,
        workspace,
        path,
        method: call.method,
        headers: forwardable_headers(&call.headers),
        body: body.bytes,
        contents,
        deadline,
        _reservation: body.reservation,
    };
    if idempotent {
        return call.call_with_retries(&context).await;
    }
    let key = parse_key(key.as_ref())?;
    // Runs in a task of its own, so that the outcome of a claimed call is
    // recorded even if the caller disconnects.
    let task =
        tokio::spawn(
            async move { call.call_at_most_once(&context, key).await },
        );
    task.await.unwrap_or_else(|error| {
        Err(Refusal::new(RefusalCode::Internal, error.to_string())
            .with_run_state(RunState::MayHaveRun))
    })
}

/// Rule of a service that the configuration has none for: no route is
/// idempotent.
fn default_rule(context: &SharedContext) -> ServiceRule {
    let timeout = context.settings.limits.default_timeout.as_millis();
    ServiceRule {
        routes: Vec::new(),
        timeout_ms: u64::try_from(timeout).unwrap_or(u64::MAX),
    }
}

fn content_ids(
    method: &Method,
    path: &ServicePath,
    workspace: &WorkspaceId,
    body: &[u8],
) -> Vec<PartId> {
    let query = path.target.strip_prefix(path.path.as_str());
    let content = RequestContent {
        host: path.service.as_str(),
        method: method.as_str(),
        path: &path.path,
        query: query.unwrap_or_default(),
        workspace: workspace.as_str(),
        shared_parts: &[],
        body,
    };
    content.ids().into()
}

fn parse_key(value: Option<&HeaderValue>) -> Result<Uuid, Refusal> {
    let invalid = |text: &str| Refusal::new(RefusalCode::KeyInvalid, text);
    let value = value.ok_or_else(|| {
        invalid("the route needs the header idempotency-key with a UUIDv7")
    })?;
    let key = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<Uuid>().ok());
    key.filter(|key| key.get_version_num() == KEY_UUID_VERSION)
        .ok_or_else(|| invalid("idempotency-key is not a UUIDv7"))
}

impl ServiceCall {
    /// Sends an idempotent call to one process after the other until one
    /// answers with a status other than 503.
    async fn call_with_retries(
        self,
        context: &SharedContext,
    ) -> Result<Response<Body>, Refusal> {
        let processes = self.processes(context)?;
        let count = processes.len().min(PROCESS_ATTEMPTS_MAX);
        let mut last = None;
        let mut run_state = RunState::NotRun;
        for (attempt_index, peer) in
            processes.into_iter().take(count).enumerate()
        {
            if let Err(refusal) = self.check_content(context) {
                return Err(refusal.with_run_state(run_state));
            }
            let limit = context.stop.limit(self.deadline);
            if context.handle.clock().now() >= limit.sent_before() {
                break;
            }
            let time_left = self.time_left(context);
            // The time left is divided among the remaining attempts, so that
            // an unresponsive process leaves time for another one.
            let attempts_left =
                u32::try_from(count - attempt_index).unwrap_or(1);
            let client = &context.retry_client;
            let result = self
                .send(context, client, &peer, time_left / attempts_left)
                .await;
            let reason = match result {
                Ok(answer)
                    if answer.status == StatusCode::SERVICE_UNAVAILABLE =>
                {
                    last = Some(Ok(answer));
                    RetryReason::UpstreamLeaving
                }
                Ok(answer) => return Ok(self.build_response(answer)),
                Err(error @ HttpError::ConnectFailed { .. }) => {
                    last = Some(Err(error));
                    RetryReason::ConnectFailed
                }
                Err(error) => {
                    run_state = RunState::MayHaveRun;
                    last = Some(Err(error));
                    RetryReason::FailedBeforeFirstPart
                }
            };
            if attempt_index + 1 < count {
                context.metrics.count_retry(reason);
            }
        }
        match last {
            Some(Ok(answer)) => Ok(self.build_response(answer)),
            Some(Err(error)) => {
                let refusal = self.error_refusal(context, &error);
                Err(refusal.with_run_state(run_state))
            }
            None => {
                let limit = context.stop.limit(self.deadline);
                Err(limit.refusal(NOT_SENT))
            }
        }
    }

    /// Claims the key, sends the call, and records its outcome. If the key has
    /// a recorded outcome, returns that instead.
    async fn call_at_most_once(
        mut self,
        context: &SharedContext,
        key: Uuid,
    ) -> Result<Response<Body>, Refusal> {
        self.processes(context)?;
        let value = HeaderValue::from_str(&key.to_string())
            .expect("a UUID holds no control characters");
        self.headers.insert(IDEMPOTENCY_KEY_HEADER, value);
        let key = CallKey {
            workspace: self.workspace.clone(),
            service: self.path.service.clone(),
            key,
        };
        let handle = &context.handle;
        let attempt = self.request.clone();
        let digest = self.digest();
        // A claim that is won after the call was refused is released.
        let claim =
            handle.claim(key.clone(), attempt.clone(), digest, self.deadline);
        let claim = context.stop.unless_outlived(self.deadline, claim);
        match claim.await? {
            ClaimResponse::Won => {}
            ClaimResponse::Recorded(outcome) => return self.replay(outcome),
            other => return Err(claim_refusal(other)),
        }
        let (result, response) = match self.send_once(context).await {
            Ok(answer) => {
                let result = CallResult::Ran(recorded_outcome(&answer));
                (Some(result), Ok(self.build_response(answer)))
            }
            Err(refusal) if refusal.run_state == RunState::NotRun => {
                (Some(CallResult::Released), Err(refusal))
            }
            // Without an outcome the key stays claimed, and repeated calls
            // are refused because the call may have run.
            Err(refusal) => (None, Err(refusal)),
        };
        if let Some(result) = result {
            handle.settle(key, attempt, result).await;
        }
        response
    }

    /// Sends a claimed call. Another process is tried only if the connection
    /// failed, so that nothing was sent.
    async fn send_once(
        &self,
        context: &SharedContext,
    ) -> Result<ServiceResponse, Refusal> {
        let processes = self.processes(context)?;
        let mut last = None;
        for peer in processes.into_iter().take(PROCESS_ATTEMPTS_MAX) {
            // Since the list of processes was read, a failure domain may have
            // been closed or the deadline may have passed.
            self.check_sendable(context)?;
            context
                .stop
                .unless_outlived(self.deadline, ready(()))
                .await?;
            let time_left = self.time_left(context);
            let client = &context.at_most_once_client;
            self.check_content(context)?;
            match self.send(context, client, &peer, time_left).await {
                Ok(answer) => return Ok(answer),
                Err(error @ HttpError::ConnectFailed { .. }) => {
                    context.metrics.count_retry(RetryReason::ConnectFailed);
                    last = Some(error);
                }
                Err(error) => {
                    let refusal = self.error_refusal(context, &error);
                    return Err(refusal.with_run_state(RunState::MayHaveRun));
                }
            }
        }
        let error = last.expect("at least one process was tried");
        Err(self.error_refusal(context, &error))
    }

    /// Refuses to send a call that has crashed upstreams.
    fn check_content(&self, context: &SharedContext) -> Result<(), Refusal> {
        let published = context.handle.published();
        context.quarantine.check(&published, &self.contents)
    }

    /// Refuses to send if the configuration may be out of date or the deadline
    /// has passed.
    fn check_sendable(&self, context: &SharedContext) -> Result<(), Refusal> {
        let published = context.handle.published();
        if context.handle.is_paused()
            || published.readiness == InstanceReadiness::Stale
        {
            return Err(stale_configuration());
        }
        if self.time_left(context).is_zero() {
            let limit = context.stop.limit(self.deadline);
            return Err(limit.refusal(NOT_SENT));
        }
        Ok(())
    }

    /// Processes of the service, rotated so that successive calls
    /// start at different ones.
    fn processes(
        &self,
        context: &SharedContext,
    ) -> Result<Vec<ServiceProcess>, Refusal> {
        self.check_sendable(context)?;
        let published = context.handle.published();
        let service = &self.path.service;
        let listed = published.services.get(service);
        let listed = listed.filter(|listed| !listed.is_empty());
        let listed = listed.ok_or_else(|| {
            let text = format!("no process of service {service} can be used");
            Refusal::new(RefusalCode::NoUpstream, text)
        })?;
        let mut processes: Vec<_> = listed
            .iter()
            .map(|(id, address)| ServiceProcess {
                id: id.clone(),
                address: *address,
            })
            .collect();
        let start = context.next_sequence() as usize % processes.len();
        processes.rotate_left(start);
        Ok(processes)
    }

    /// Sends the call to one process, and records whether it crashed.
    async fn send(
        &self,
        context: &SharedContext,
        client: &UpstreamClient,
        process: &ServiceProcess,
        timeout: Duration,
    ) -> Result<ServiceResponse, HttpError> {
        let exchange = self.exchange(context, client, process.address, timeout);
        let result = context.stop.until_end(exchange).await;
        let result = result.unwrap_or_else(|_| {
            Err(HttpError::TimedOut {
                step: "call service",
                peer: process.address,
                after: timeout,
            })
        });
        let quarantine = &context.quarantine;
        match &result {
            Ok(answer) if !answer.status.is_server_error() => {
                let now = context.handle.clock().now();
                quarantine.record_sound(&self.contents, now);
            }
            Err(HttpError::Broken { .. }) => quarantine.suspect_crash(
                process.id.clone(),
                process.address,
                self.request.clone(),
                self.contents.clone(),
            ),
            _ => {}
        }
        result
    }

    async fn exchange(
        &self,
        context: &SharedContext,
        client: &UpstreamClient,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<ServiceResponse, HttpError> {
        let target = CallTarget {
            step: "call service",
            peer,
            timeout,
        };
        let request = self.build_request(peer, timeout).map_err(|error| {
            // Nothing was sent, so the call has not run. Another process would
            // not help.
            HttpError::ConnectFailed {
                step: target.step,
                peer,
                message: error.to_string().into(),
            }
        })?;
        let response = client.send(target, request).await?;
        let (head, body) = response.into_parts();
        let returned = head.headers.get(REQUEST_ID_HEADER);
        if returned.is_some_and(|id| *id != self.request.as_str()) {
            context.metrics.foreign_chunks.inc();
            return Err(HttpError::Malformed {
                step: target.step,
                peer,
                message: "the response has another request's id".into(),
            });
        }
        let target = CallTarget {
            timeout: self.time_left(context).min(timeout),
            ..target
        };
        let budget = context.body_budget.clone();
        Ok(ServiceResponse {
            status: head.status,
            headers: forwardable_headers(&head.headers),
            body: read_answer(target, body, budget).await?,
        })
    }

    fn build_request(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{peer}{}", self.path.target))
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(REQUEST_ID_HEADER, id_value(&self.request));
        let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
        Ok(request)
    }

    /// Digest of the method, path, content type and body. A repeated call must
    /// have the same digest as the one that claimed the key.
    fn digest(&self) -> Arc<str> {
        let content_type = self.headers.get(header::CONTENT_TYPE);
        hex_digest(&[
            self.method.as_str().as_bytes(),
            self.path.target.as_bytes(),
            content_type.map_or(&[], HeaderValue::as_bytes),
            &self.body,
        ])
        .into()
    }

    fn time_left(&self, context: &SharedContext) -> Duration {
        let limit = context.stop.limit(self.deadline);
        limit.ends_at().since(context.handle.clock().now())
    }

    fn build_response(&self, answer: ServiceResponse) -> Response<Body> {
        let body = Full::new(answer.body).map_err(|never| match never {});
        let mut response = Response::new(Body::new(body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        let id = id_value(&self.request);
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
        response.extensions_mut().insert(RenderedResponse);
        response
    }

    /// Refusal of a call that failed with an error.
    fn error_refusal(
        &self,
        context: &SharedContext,
        error: &HttpError,
    ) -> Refusal {
        let code = match error {
            HttpError::TimedOut { .. } => RefusalCode::DeadlineExceeded,
            HttpError::ConnectFailed { .. } => RefusalCode::NoUpstream,
            _ => RefusalCode::UpstreamFailed,
        };
        let refusal = Refusal::new(code, error.to_string())
            .with_run_state(error.run_state());
        context.stop.limit(self.deadline).restate(refusal)
    }

    /// Answers a repeated call with the outcome of the call that ran.
    fn replay(&self, outcome: CallOutcome) -> Result<Response<Body>, Refusal> {
        let Some(body) = outcome.body else {
            let text = format!(
                "an earlier attempt ran with status {}; its answer was too \
                 large to record and has the digest {}",
                outcome.status, outcome.body_digest,
            );
            let refusal = Refusal::new(RefusalCode::KeyMayHaveRun, text);
            return Err(refusal.with_run_state(RunState::Ran));
        };
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&outcome.content_type) {
            headers.insert(header::CONTENT_TYPE, value);
        }
        Ok(self.build_response(ServiceResponse {
            status: StatusCode::from_u16(outcome.status)
                .unwrap_or(StatusCode::BAD_GATEWAY),
            headers,
            body: Bytes::copy_from_slice(body.as_bytes()),
        }))
    }
}

/// Converts a response to the outcome that is recorded.
fn recorded_outcome(answer: &ServiceResponse) -> CallOutcome {
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let text = std::str::from_utf8(&answer.body).ok();
    let body = text.filter(|text| text.len() <= RECORDED_BODY_MAX_BYTES);
    let digest = Sha256::digest(&answer.body);
    CallOutcome {
        status: answer.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: body.map(Into::into),
        body_digest: format!("{digest:x}").into(),
    }
}

/// Refusal of a call whose claim was not won.
fn claim_refusal(answer: ClaimResponse) -> Refusal {
    let (code, text) = match answer {
        ClaimResponse::Undecided(refusal) => return refusal,
        ClaimResponse::InProgress => {
            let text = "the first use of the key is still under way";
            return Refusal::new(RefusalCode::KeyInProgress, text)
                .with_run_state(RunState::MayHaveRun);
        }
        ClaimResponse::MayHaveRun => {
            let text = "an earlier attempt with this key may have run";
            return Refusal::new(RefusalCode::KeyMayHaveRun, text)
                .with_run_state(RunState::MayHaveRun);
        }
        ClaimResponse::DigestMismatch => (
            RefusalCode::KeyConflict,
            "the key was used for another request",
        ),
        ClaimResponse::KeyExpired => (
            RefusalCode::KeyInvalid,
            "the key is older than 24 h or more than 5 min ahead",
        ),
        ClaimResponse::NotOwner(_)
        | ClaimResponse::Won
        | ClaimResponse::Recorded(_) => {
            (RefusalCode::Internal, "the key's owner is not known")
        }
    };
    Refusal::new(code, text)
}
