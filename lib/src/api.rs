//! Headers and JSON bodies of the HTTP interface for callers.
//!
//! Errors for operators use [`ErrorBody`] too, and the streams of engines
//! consist of the same completion chunks and error bodies.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    ids::{DomainId, ModelName, RequestId},
    refusal::{Refusal, RunState},
    units::{ByteSize, TokenCount},
    value_type,
};

/// Header with the request id, in requests to upstreams and responses to
/// callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the milliseconds left until the deadline, in requests to
/// upstreams.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header in which the caller sends an idempotency key, a UUIDv7.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Data field of the event that ends a complete stream of server-sent events.
pub const END_MARKER: &str = "[DONE]";

value_type! {
    /// A prompt as text or as token ids.
    #[serde(untagged)]
    pub enum PromptInput {
        /// Text, whose length in tokens has to be estimated.
        Text(Arc<str>),
        /// Ids of the tokens.
        Tokens(Arc<[u32]>),
    }
}

impl PromptInput {
    /// Approximate memory use: the length of the text, or 4 B per token id.
    pub fn size(&self) -> ByteSize {
        match self {
            Self::Text(text) => ByteSize::new(text.len() as u64),
            Self::Tokens(ids) => ByteSize::new(ids.len() as u64 * 4),
        }
    }

    /// Length in tokens; `None` for text, whose length has to be estimated.
    pub fn token_count(&self) -> Option<TokenCount> {
        match self {
            Self::Text(_) => None,
            Self::Tokens(ids) => Some(TokenCount::new(ids.len() as u64)),
        }
    }
}

value_type! {
    /// Priority class of a request, from the most urgent to the least.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum PriorityClass {
        /// A user is waiting for the response.
        Interactive,
        /// The response is expected soon, but no user is waiting for it.
        Standard,
        /// May be delayed but must not be lost.
        Batch,
    }
}

impl PriorityClass {
    /// All classes, the most urgent first.
    pub const ALL: &[Self] = &[Self::Interactive, Self::Standard, Self::Batch];

    /// Name of the class in JSON, query results and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        }
    }
}

impl std::fmt::Display for PriorityClass {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

value_type! {
    /// Body of `POST /v1/completions` from a caller.
    #[serde(deny_unknown_fields)]
    pub struct CompletionRequest {
        /// Name of the model that generates the completion.
        pub model: ModelName,
        /// Prompt as text or token ids.
        pub prompt: PromptInput,
        /// Maximum number of tokens to generate.
        pub max_tokens: u32,
        /// Whether the completion is streamed as server-sent events.
        #[serde(default)]
        pub stream: bool,
        /// Priority class. `None` selects the default class of the workspace; a
        /// workspace may be restricted to some classes.
        #[serde(default)]
        pub class: Option<PriorityClass>,
        /// Time limit of the request, in milliseconds. `None` selects the
        /// configured default.
        #[serde(default)]
        pub timeout_ms: Option<u64>,
    }
}

value_type! {
    /// One chunk of a streamed completion, or a whole completion.
    pub struct CompletionChunk {
        /// Request id; equals the `x-request-id` header.
        pub id: RequestId,
        /// Always `text_completion`.
        pub object: Arc<str>,
        /// Name of the model that generated the text.
        pub model: ModelName,
        /// Index of the first token of this chunk among the generated tokens.
        pub index_from: u64,
        /// Number of generated tokens in this chunk. May be zero in the last
        /// one.
        pub token_count: u64,
        /// The generated text, as the only element.
        pub choices: Vec<CompletionChoice>,
    }
}

value_type! {
    /// Generated text of a chunk.
    pub struct CompletionChoice {
        /// Always zero.
        pub index: u32,
        /// Generated text, without the text of earlier chunks.
        pub text: String,
        /// `length` or `stop` in the last chunk, otherwise `None`.
        pub finish_reason: Option<Arc<str>>,
    }
}

value_type! {
    /// Response body of `GET /v1/addresses`.
    pub struct AddressResponse {
        /// Instances to send requests to, in order of preference.
        pub addresses: Vec<InstanceAddress>,
        /// Time for which callers may cache the response, in milliseconds.
        pub ttl_ms: u64,
    }
}

value_type! {
    /// Caller address and failure domain of an instance.
    pub struct InstanceAddress {
        /// Address of the listener for callers.
        pub address: SocketAddr,
        /// Failure domain in which the instance runs.
        pub failure_domain: DomainId,
    }
}

value_type! {
    /// Body of every error response, also sent as the data of an event when a
    /// stream fails.
    pub struct ErrorBody {
        /// Code, message and run state of the error.
        pub error: ErrorDetail,
    }
}

value_type! {
    /// Contents of an [`ErrorBody`].
    pub struct ErrorDetail {
        /// Stable code, as given by `RefusalCode::as_str`.
        pub code: Arc<str>,
        /// Human-readable description.
        pub message: Arc<str>,
        /// Whether an upstream ran the request.
        pub run_state: RunState,
        /// Time after which a retry may succeed, in milliseconds. `None` if a
        /// retry is not expected to help or the time is unknown.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// Id of the failed request; `None` if it failed before an id was
        /// assigned.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub request_id: Option<RequestId>,
    }
}

impl ErrorBody {
    /// Builds the error body for a refusal.
    pub fn new(refusal: &Refusal, request: Option<RequestId>) -> Self {
        let retry_after_ms = refusal
            .retry_after
            .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        Self {
            error: ErrorDetail {
                code: refusal.code.as_str().into(),
                message: refusal.message.clone(),
                run_state: refusal.run_state,
                retry_after_ms,
                request_id: request,
            },
        }
    }
}
