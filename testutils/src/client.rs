//! HTTP/1.1 client for tests, with a validating reader of completion streams.
//!
//! Each call opens a new connection, so that a connection fault affects one
//! call only.

use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    time::Duration,
};

use borageline_lib::api::{CompletionChunk, END_MARKER, REQUEST_ID_HEADER};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;

/// Why a call or a stream failed.
#[derive(Debug)]
pub enum ClientError {
    /// Connecting failed; nothing was sent.
    Connect(std::io::Error),
    /// The connection failed after it was established.
    Transport(hyper::Error),
    /// The request could not be built, or a body is not valid JSON.
    Malformed(String),
    /// The stream ended without its end marker.
    Truncated {
        /// Index of the first token not received.
        tokens: u64,
    },
    /// An event of the stream is no completion chunk, e.g. an error body.
    ErrorEvent(String),
    /// A chunk has another request id than the stream.
    ForeignId(String),
    /// A chunk does not continue at the end of the previous one.
    Index {
        /// Token index after the previous chunk.
        expected: u64,
        /// Token index at which the chunk begins.
        found: u64,
    },
    /// No successful response within this time.
    Timeout(Duration),
}

impl Display for ClientError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(error) => write!(formatter, "connect: {error}"),
            Self::Transport(error) => write!(formatter, "transport: {error}"),
            Self::Malformed(error) => write!(formatter, "malformed: {error}"),
            Self::Truncated { tokens } => {
                write!(
                    formatter,
                    "stream ended without end marker at token {tokens}"
                )
            }
            Self::ErrorEvent(text) => write!(formatter, "error event: {text}"),
            Self::ForeignId(id) => {
                write!(formatter, "chunk has request id {id}")
            }
            Self::Index { expected, found } => write!(
                formatter,
                "chunk begins at token {found}, expected {expected}"
            ),
            Self::Timeout(limit) => {
                write!(formatter, "no answer within {limit:?}")
            }
        }
    }
}

impl std::error::Error for ClientError {}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl ClientResponse {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| ClientError::Malformed(error.to_string()))
    }

    /// Body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request and returns the response with its body still unread.
pub async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<http::Response<Incoming>, ClientError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(ClientError::Connect)?;
    stream.set_nodelay(true).map_err(ClientError::Connect)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(ClientError::Transport)?;
    tokio::spawn(connection);
    let mut builder = Request::builder().method(method).uri(path);
    if headers
        .iter()
        .all(|(name, _)| *name != header::HOST.as_str())
    {
        builder = builder.header(header::HOST, address.to_string());
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(body.into()))
        .map_err(|error| ClientError::Malformed(error.to_string()))?;
    let response = sender.send_request(request).await;
    response.map_err(ClientError::Transport)
}

/// Sends a request and reads the complete response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<ClientResponse, ClientError> {
    let response = open(address, method, path, headers, body).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(ClientError::Transport)?;
    Ok(ClientResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Sends a GET request and reads the complete response.
pub async fn get(
    address: SocketAddr,
    path: &str,
) -> Result<ClientResponse, ClientError> {
    call(address, Method::GET, path, &[], Bytes::new()).await
}

/// Sends a GET request and parses the body as JSON, whatever the status.
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, ClientError> {
    get(address, path).await?.json()
}

/// Sends a POST request with a JSON body and reads the complete response.
pub async fn post_json<T: Serialize>(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &T,
) -> Result<ClientResponse, ClientError> {
    let bytes = serde_json::to_vec(body)
        .map_err(|error| ClientError::Malformed(error.to_string()))?;
    let mut all = vec![("content-type", "application/json")];
    all.extend_from_slice(headers);
    call(address, Method::POST, path, &all, bytes).await
}

/// Reads a completion stream chunk by chunk.
#[derive(Debug)]
pub struct ChunkReader {
    body: Incoming,
    buffer: BytesMut,
    id: String,
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Index of the next token expected.
    pub next: u64,
    /// Whether the end marker was received.
    pub ended: bool,
}

impl ChunkReader {
    /// Sends a POST request with a JSON body whose response is a stream.
    pub async fn post<T: Serialize>(
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &T,
    ) -> Result<Self, ClientError> {
        let bytes = serde_json::to_vec(body)
            .map_err(|error| ClientError::Malformed(error.to_string()))?;
        let mut all = vec![("content-type", "application/json")];
        all.extend_from_slice(headers);
        let response = open(address, Method::POST, path, &all, bytes).await?;
        Ok(Self::new(response, 0))
    }

    /// Resumes the stream of a request to an engine at a token index.
    pub async fn resume(
        address: SocketAddr,
        request: &str,
        from: u64,
    ) -> Result<Self, ClientError> {
        let path = format!("/v1/requests/{request}/stream?from={from}");
        let response =
            open(address, Method::GET, &path, &[], Bytes::new()).await?;
        Ok(Self::new(response, from))
    }

    /// Reads a response from the token index `from` on; expects its
    /// `x-request-id` as the id of each chunk.
    pub fn new(response: http::Response<Incoming>, from: u64) -> Self {
        let (head, body) = response.into_parts();
        let id = head.headers.get(REQUEST_ID_HEADER);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        Self {
            body,
            buffer: BytesMut::new(),
            id: id.to_owned(),
            status: head.status,
            headers: head.headers,
            next: from,
            ended: false,
        }
    }

    /// Reads the data of the next server-sent event; `None` at the end of
    /// the body.
    pub async fn next_event(&mut self) -> Result<Option<String>, ClientError> {
        loop {
            let found = self.buffer.windows(2).position(|two| two == b"\n\n");
            if let Some(end) = found {
                let event = self.buffer.split_to(end + 2);
                let text = String::from_utf8_lossy(&event[..end]);
                let data = text.strip_prefix("data:").unwrap_or(&text);
                return Ok(Some(data.trim_start().to_owned()));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(ClientError::Transport(error)),
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
            }
        }
    }

    /// Reads the next chunk without validating its id and index; `None` at
    /// the end marker.
    pub async fn next_unchecked(
        &mut self,
    ) -> Result<Option<CompletionChunk>, ClientError> {
        let Some(event) = self.next_event().await? else {
            return Err(ClientError::Truncated { tokens: self.next });
        };
        if event == END_MARKER {
            self.ended = true;
            return Ok(None);
        }
        match serde_json::from_str(&event) {
            Ok(chunk) => Ok(Some(chunk)),
            Err(_) => Err(ClientError::ErrorEvent(event)),
        }
    }

    /// Reads the next chunk and validates its id and index; `None` at the
    /// end marker.
    pub async fn next_chunk(
        &mut self,
    ) -> Result<Option<CompletionChunk>, ClientError> {
        let Some(chunk) = self.next_unchecked().await? else {
            return Ok(None);
        };
        if chunk.id.as_str() != self.id {
            return Err(ClientError::ForeignId(chunk.id.to_string()));
        }
        if chunk.index_from != self.next {
            return Err(ClientError::Index {
                expected: self.next,
                found: chunk.index_from,
            });
        }
        self.next += chunk.token_count;
        Ok(Some(chunk))
    }

    /// Reads the text up to the end marker and validates each chunk.
    pub async fn read_text(&mut self) -> Result<String, ClientError> {
        let mut text = String::new();
        while let Some(chunk) = self.next_chunk().await? {
            for choice in chunk.choices {
                text.push_str(&choice.text);
            }
        }
        Ok(text)
    }
}
