//! A caller that sends requests and checks the answers to the byte.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::{
    api::{
        CompletionChunk, CompletionRequest, END_MARKER, ErrorBody, ErrorDetail,
        IDEMPOTENCY_KEY_HEADER,
    },
    refusal::RunState,
};
use borageline_testutils::content;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// How one request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// The whole and right answer came.
    Answered,
    /// An error came in the documented form.
    Refused(ErrorDetail),
    /// No connection was made, so nothing of the request was sent.
    ConnectRefused(String),
    /// The connection broke or the answer had another form.
    Broken(String),
    /// An answer came that is not the answer to this request.
    Wrong(String),
}

/// Times of one request.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Time to the first generated text.
    pub first_part: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// How it ended.
    pub outcome: CallerOutcome,
}

impl CallerRecord {
    /// The record of a request that got no answer.
    pub fn broken(started: Instant, cause: &str) -> Self {
        Self {
            first_part: None,
            total: started.elapsed(),
            outcome: CallerOutcome::Broken(cause.into()),
        }
    }

    /// Whether the whole and right answer came.
    pub fn answered(&self) -> bool {
        self.outcome == CallerOutcome::Answered
    }

    /// Whether the request was refused without having run.
    pub fn refused_not_run(&self) -> bool {
        matches!(
            &self.outcome,
            CallerOutcome::Refused(detail)
                if detail.run_state == RunState::NotRun
        )
    }
}

/// A completion request with its body and the answer it must get.
#[derive(Clone, Debug)]
pub struct PreparedRequest {
    body: Bytes,
    expected: String,
}

impl PreparedRequest {
    /// Makes the body and the answer of a request.
    pub fn new(request: &CompletionRequest) -> Self {
        let body = serde_json::to_vec(request).expect("a request is JSON");
        Self::with_body(request, body.into())
    }

    /// A request with another body for the same prompt.
    pub fn with_body(request: &CompletionRequest, body: Bytes) -> Self {
        let digest = content::prompt_digest(&request.prompt);
        let count = u64::from(request.max_tokens);
        let expected = content::expected_text(digest, count);
        Self { body, expected }
    }

    /// The body.
    pub fn body(&self) -> Bytes {
        self.body.clone()
    }
}

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::new()
    }
}

impl CallerClient {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Sends one request and returns the status and the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        key: &str,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<(u16, Bytes), String> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(idempotency_key) = idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, idempotency_key);
        }
        let request = builder
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| format!("{error:?}"))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok((status, body))
    }

    /// Asks for a streamed completion and checks every byte of it.
    ///
    /// `pace` is a pause after each part, for a slow reader.
    pub async fn complete(
        &self,
        address: SocketAddr,
        key: &str,
        request: &CompletionRequest,
        pace: Option<Duration>,
    ) -> CallerRecord {
        let request = PreparedRequest::new(request);
        self.complete_prepared(address, key, &request, pace).await
    }

    /// Like [`Self::complete`], with the body made before.
    pub async fn complete_prepared(
        &self,
        address: SocketAddr,
        key: &str,
        request: &PreparedRequest,
        pace: Option<Duration>,
    ) -> CallerRecord {
        let url = format!("http://{address}/v1/completions");
        let http_request = Request::post(url)
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()));
        let http_request = http_request.expect("address and key are valid");
        self.complete_http(http_request, request, pace).await
    }

    /// Sends a completion with its headers and checks the streamed answer.
    pub async fn complete_http(
        &self,
        http_request: Request<Full<Bytes>>,
        request: &PreparedRequest,
        pace: Option<Duration>,
    ) -> CallerRecord {
        let started = Instant::now();
        let mut first_part = None;
        let outcome = self
            .stream(http_request, request, pace, &mut || {
                first_part.get_or_insert_with(|| started.elapsed());
            })
            .await;
        let outcome = outcome.unwrap_or_else(CallerOutcome::Broken);
        CallerRecord {
            first_part,
            total: started.elapsed(),
            outcome,
        }
    }

    async fn stream(
        &self,
        http_request: Request<Full<Bytes>>,
        request: &PreparedRequest,
        pace: Option<Duration>,
        on_part: &mut impl FnMut(),
    ) -> Result<CallerOutcome, String> {
        let response = match self.client.request(http_request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Ok(CallerOutcome::ConnectRefused(format!("{error:?}")));
            }
            Err(error) => return Err(format!("{error:?}")),
        };
        let status = response.status();
        if !status.is_success() {
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            let error: ErrorBody = serde_json::from_slice(&body)
                .map_err(|error| format!("status {status}: {error}"))?;
            return Ok(CallerOutcome::Refused(error.error));
        }
        let mut answer = AnswerText::default();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(detail) = answer.feed(&data, on_part)? {
                return Ok(CallerOutcome::Refused(detail));
            }
            if let Some(pace) = pace {
                tokio::time::sleep(pace).await;
            }
        }
        Ok(answer.judge(request))
    }
}

/// Text of a streamed answer as it comes in.
#[derive(Debug, Default)]
struct AnswerText {
    pending: Vec<u8>,
    text: String,
    next_index: u64,
    ended: bool,
    fault: Option<String>,
}

impl AnswerText {
    fn feed(
        &mut self,
        data: &[u8],
        on_part: &mut impl FnMut(),
    ) -> Result<Option<ErrorDetail>, String> {
        self.pending.extend_from_slice(data);
        let mut start = 0;
        while let Some(length) =
            self.pending[start..].iter().position(|byte| *byte == b'\n')
        {
            let line = self.pending[start..start + length].to_vec();
            start += length + 1;
            let line = String::from_utf8(line).map_err(|e| e.to_string())?;
            if let Some(detail) = self.line(line.trim_end(), on_part)? {
                return Ok(Some(detail));
            }
        }
        self.pending.drain(..start);
        Ok(None)
    }

    fn line(
        &mut self,
        line: &str,
        on_part: &mut impl FnMut(),
    ) -> Result<Option<ErrorDetail>, String> {
        let Some(data) = line.strip_prefix("data:") else {
            return Ok(None);
        };
        let data = data.trim_start();
        if data == END_MARKER {
            self.ended = true;
            return Ok(None);
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            return Ok(Some(error.error));
        }
        let part: CompletionChunk = serde_json::from_str(data)
            .map_err(|error| format!("part is not JSON: {error}"))?;
        on_part();
        if part.index_from != self.next_index {
            self.fault = Some(format!(
                "part starts at token {}, expected {}",
                part.index_from, self.next_index,
            ));
        }
        self.next_index = part.index_from + part.token_count;
        for choice in &part.choices {
            self.text.push_str(&choice.text);
        }
        Ok(None)
    }

    fn judge(self, request: &PreparedRequest) -> CallerOutcome {
        if let Some(fault) = self.fault {
            return CallerOutcome::Wrong(fault);
        }
        if !self.ended {
            let fault = format!("no end marker after {}", self.next_index);
            return CallerOutcome::Broken(fault);
        }
        if self.text != request.expected {
            let fault = format!("text differs ({} tokens)", self.next_index);
            return CallerOutcome::Wrong(fault);
        }
        CallerOutcome::Answered
    }
}
