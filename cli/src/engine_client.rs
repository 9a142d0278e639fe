//! Calls to engines.
//!
//! Each call has a timeout. A streamed answer is handed over with its head;
//! whoever reads it sets the time between parts.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    api::{DEADLINE_HEADER, REQUEST_ID_HEADER},
    core::StreamFailure,
    engine_api::{
        CapabilityReport, EngineOrder, EngineRequest, HeldReport, KvState,
        LoadReport, PrefillRequest, PrefillResponse,
    },
    engine_orders::SEND_TIMEOUT,
    ids::RequestId,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::http_client::{
    CallTarget, HttpClient, HttpError, json_request, plain_request,
};

/// Time for a connection to an engine. Shorter than the 250 ms for which an
/// owner counts a grant past its validity, so that a request that is checked
/// against its grant before the connection is made is still counted when it
/// is written.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for an engine to answer a question about itself.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for an engine to cancel a request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Code of an engine's refusal of a request that it cannot hold.
const OVERCOMMITTED: &str = "overcommitted";

/// Request id and time left that go with each request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestTag<'a> {
    /// Request.
    pub request: &'a RequestId,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

impl RequestTag<'_> {
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
    http: HttpClient,
}

impl EngineClient {
    /// A client without connections.
    pub fn new() -> Self {
        let http = HttpClient::with_connect_timeout(CONNECT_TIMEOUT);
        Self { http }
    }

    /// Reads what an engine says of itself.
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

    /// Reads the requests that an engine holds.
    pub async fn held(
        &self,
        peer: SocketAddr,
    ) -> Result<HeldReport, HttpError> {
        let request = plain_request(Method::GET, peer, "/v1/held");
        let target = report_target("read held requests", peer);
        self.http.call(target, request).await
    }

    /// Cancels a request; one that the engine does not hold is no error.
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
            Err(fault) => Err(fault),
        }
    }

    /// Gives an order to an engine.
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

    /// Prefills a segment and returns the state after it.
    pub async fn prefill(
        &self,
        peer: SocketAddr,
        tag: RequestTag<'_>,
        body: &PrefillRequest,
    ) -> Result<KvState, HttpError> {
        let mut call = json_request(Method::POST, peer, "/v1/kv/prefill", body);
        tag.apply(&mut call);
        let target = CallTarget {
            step: "prefill segment",
            peer,
            timeout: tag.time_left,
        };
        let answer: PrefillResponse = self.http.call(target, call).await?;
        if answer.state.request != *tag.request {
            let message = format!("state of request {}", answer.state.request);
            return Err(HttpError::Malformed {
                step: target.step,
                peer,
                message: message.into(),
            });
        }
        Ok(answer.state)
    }

    /// Starts a request and returns its stream.
    pub async fn completions(
        &self,
        peer: SocketAddr,
        tag: RequestTag<'_>,
        body: &EngineRequest,
        silence: Duration,
    ) -> Result<Incoming, HttpError> {
        let path = "/v1/completions";
        let mut call = json_request(Method::POST, peer, path, body);
        tag.apply(&mut call);
        let target = CallTarget {
            step: "start completion",
            peer,
            timeout: tag.time_left.min(silence),
        };
        let response = self.http.send_checked(target, call).await?;
        Ok(response.into_body())
    }

    /// Takes up a request's stream from a token index.
    pub async fn resume(
        &self,
        peer: SocketAddr,
        tag: RequestTag<'_>,
        from: u64,
        silence: Duration,
    ) -> Result<Incoming, HttpError> {
        let path = format!("/v1/requests/{}/stream?from={from}", tag.request);
        let mut call = plain_request(Method::GET, peer, &path);
        tag.apply(&mut call);
        let target = CallTarget {
            step: "resume stream",
            peer,
            timeout: tag.time_left.min(silence),
        };
        let response = self.http.send_checked(target, call).await?;
        Ok(response.into_body())
    }
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

fn report_target(step: &'static str, peer: SocketAddr) -> CallTarget {
    CallTarget {
        step,
        peer,
        timeout: REPORT_TIMEOUT,
    }
}

/// How a fault counts towards the core.
pub fn stream_failure(fault: &HttpError) -> StreamFailure {
    match fault {
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
