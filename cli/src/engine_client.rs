//! Client for the engines' HTTP interface.
//!
//! Each call has a timeout. Calls that return a stream return as soon as the
//! head of the response is received; the caller sets the timeouts for reading
//! the stream.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    api::{DEADLINE_HEADER, REQUEST_ID_HEADER},
    core::{AssignedEngine, StreamFailure},
    engine_api::{
        CapabilityReport, EngineOrder, EngineRequest, HeldReport, KvState,
        LoadReport, PrefillRequest, PrefillResponse,
    },
    engine_orders::SEND_TIMEOUT,
    ids::RequestId,
    units::Incarnation,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use crate::{
    http_client::{CallTarget, HttpError, json_request, plain_request},
    received_body::ReceivedBody,
    relay::{RelayClient, require_incarnation},
    upstream_client::UpstreamClient,
};

/// Time to establish a connection to an engine.
///
/// Must be shorter than the 250 ms for which an owner still counts a grant
/// after it has expired: the grant is checked before the connection is made,
/// and must still be counted when the request is written.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for an engine to report its capabilities, load or held requests.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for an engine to answer a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Error code of an engine that has no memory for a request.
const OVERCOMMITTED: &str = "overcommitted";

/// Values of the headers sent with each request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestHeaders<'a> {
    /// Id of the request.
    pub request: &'a RequestId,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

/// An engine to which a request is sent under a grant.
#[derive(Clone, Copy, Debug)]
pub struct GrantedEngine {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Incarnation for which the grant was given. The request is not sent to
    /// another one; `None` sends it to any.
    pub incarnation: Option<Incarnation>,
}

impl From<&AssignedEngine> for GrantedEngine {
    fn from(engine: &AssignedEngine) -> Self {
        Self {
            address: engine.address,
            incarnation: engine.incarnation,
        }
    }
}

impl GrantedEngine {
    /// Builds a request that gives the engine new work.
    fn work_request<T: Serialize>(
        self,
        path: &str,
        headers: RequestHeaders<'_>,
        body: &T,
    ) -> Request<Full<Bytes>> {
        let mut call = json_request(Method::POST, self.address, path, body);
        headers.apply(&mut call);
        if let Some(incarnation) = self.incarnation {
            require_incarnation(&mut call, incarnation);
        }
        call
    }
}

impl RequestHeaders<'_> {
    fn apply(&self, request: &mut Request<Full<Bytes>>) {
        let id = HeaderValue::from_str(self.request.as_str())
            .expect("ids hold no control characters");
        request.headers_mut().insert(REQUEST_ID_HEADER, id);
        let millis = u64::try_from(self.time_left.as_millis());
        let millis = HeaderValue::from(millis.unwrap_or(u64::MAX));
        request.headers_mut().insert(DEADLINE_HEADER, millis);
    }
}

/// Client for the engines' HTTP interface.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: UpstreamClient,
}

impl EngineClient {
    /// Creates a client; connections are made when they are needed.
    pub fn new(relays: RelayClient) -> Self {
        let http = UpstreamClient::new(CONNECT_TIMEOUT, relays);
        Self { http }
    }

    /// Reads an engine's id, models, limits and rates.
    pub async fn capabilities(
        &self,
        peer: SocketAddr,
    ) -> Result<CapabilityReport, HttpError> {
        let request = plain_request(Method::GET, peer, "/v1/capabilities");
        let target = report_target("read capabilities", peer);
        self.http.call(target, request).await
    }

    /// Reads an engine's load.
    pub async fn load(
        &self,
        peer: SocketAddr,
    ) -> Result<LoadReport, HttpError> {
        let request = plain_request(Method::GET, peer, "/v1/load");
        let target = report_target("read load", peer);
        self.http.call(target, request).await
    }

    /// Reads the list of requests for which an engine holds memory.
    pub async fn held_requests(
        &self,
        peer: SocketAddr,
    ) -> Result<HeldReport, HttpError> {
        let request = plain_request(Method::GET, peer, "/v1/held");
        let target = report_target("read held requests", peer);
        self.http.call(target, request).await
    }

    /// Cancels a request. Succeeds also if the engine does not hold it.
    pub async fn cancel(
        &self,
        peer: SocketAddr,
        request: &RequestId,
    ) -> Result<(), HttpError> {
        let path = format!("/v1/requests/{request}");
        let target = CallTarget {
            step: "cancel request",
            peer,
            timeout: CANCEL_TIMEOUT,
        };
        let call = plain_request(Method::DELETE, peer, &path);
        match self.http.send_checked(target, call).await {
            Ok(_) => Ok(()),
            Err(HttpError::Status { status, .. })
                if status == StatusCode::NOT_FOUND =>
            {
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Sends an order, such as to load a model, to an engine.
    pub async fn order(
        &self,
        peer: SocketAddr,
        order: &EngineOrder,
    ) -> Result<(), HttpError> {
        let target = CallTarget {
            step: "give order",
            peer,
            timeout: SEND_TIMEOUT,
        };
        let call = json_request(Method::POST, peer, "/v1/orders", order);
        self.http.send_checked(target, call).await.map(drop)
    }

    /// Prefills a segment of a prompt and returns the resulting KV state.
    ///
    /// Fails if the returned state belongs to another request.
    pub async fn prefill(
        &self,
        engine: GrantedEngine,
        headers: RequestHeaders<'_>,
        body: &PrefillRequest,
    ) -> Result<KvState, HttpError> {
        let peer = engine.address;
        let call = engine.work_request("/v1/kv/prefill", headers, body);
        let target = CallTarget {
            step: "prefill segment",
            peer,
            timeout: headers.time_left,
        };
        let answer: PrefillResponse = self.http.call(target, call).await?;
        if answer.state.request != *headers.request {
            let message = format!(
                "the KV state belongs to request {}",
                answer.state.request,
            );
            return Err(HttpError::Malformed {
                step: target.step,
                peer,
                message: message.into(),
            });
        }
        Ok(answer.state)
    }

    /// Starts a request and returns the stream of its completion.
    ///
    /// `head_timeout` limits the wait for the head of the response, in addition
    /// to the request's deadline.
    pub async fn completions(
        &self,
        engine: GrantedEngine,
        headers: RequestHeaders<'_>,
        body: &EngineRequest,
        head_timeout: Duration,
    ) -> Result<ReceivedBody, HttpError> {
        let peer = engine.address;
        let call = engine.work_request("/v1/completions", headers, body);
        let target = CallTarget {
            step: "start completion",
            peer,
            timeout: headers.time_left.min(head_timeout),
        };
        let response = self.http.send_checked(target, call).await?;
        Ok(response.into_body())
    }

    /// Resumes the stream of a running request at a token index.
    pub async fn resume(
        &self,
        peer: SocketAddr,
        headers: RequestHeaders<'_>,
        from: u64,
        head_timeout: Duration,
    ) -> Result<ReceivedBody, HttpError> {
        let path =
            format!("/v1/requests/{}/stream?from={from}", headers.request);
        let mut call = plain_request(Method::GET, peer, &path);
        headers.apply(&mut call);
        let target = CallTarget {
            step: "resume stream",
            peer,
            timeout: headers.time_left.min(head_timeout),
        };
        let response = self.http.send_checked(target, call).await?;
        Ok(response.into_body())
    }
}

fn report_target(step: &'static str, peer: SocketAddr) -> CallTarget {
    CallTarget {
        step,
        peer,
        timeout: REPORT_TIMEOUT,
    }
}

/// Converts an error of a call to the failure that is reported to the core.
pub fn to_stream_failure(error: &HttpError) -> StreamFailure {
    match error {
        HttpError::ConnectFailed { .. } => StreamFailure::ConnectFailed,
        HttpError::Broken { .. } => StreamFailure::Interrupted,
        HttpError::TimedOut { .. } => StreamFailure::IdleTimeout,
        HttpError::Status {
            body: Some(body), ..
        } if *body.error.code == *OVERCOMMITTED => StreamFailure::Overcommitted,
        HttpError::Status { .. } | HttpError::Malformed { .. } => {
            StreamFailure::EngineError
        }
    }
}
