//! JSON bodies between borageline and its callers and operators.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    ids::{DomainId, ModelName, RequestId},
    refusal::{Refusal, RunState},
    units::{ByteSize, TokenCount},
    value_type,
};

/// Header with the request id, towards callers and upstreams.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the milliseconds left until the deadline, towards upstreams.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Last data field of a whole stream of server-sent events.
pub const END_MARKER: &str = "[DONE]";

value_type! {
    /// A prompt as text or as token ids.
    #[serde(untagged)]
    pub enum PromptInput {
        /// Text; its length in tokens is estimated.
        Text(Arc<str>),
        /// Token ids.
        Tokens(Arc<[u32]>),
    }
}

impl PromptInput {
    /// Length on the wire, near enough for memory limits.
    pub fn size(&self) -> ByteSize {
        match self {
            Self::Text(text) => ByteSize::new(text.len() as u64),
            Self::Tokens(ids) => ByteSize::new(ids.len() as u64 * 4),
        }
    }

    /// Length in tokens, if it is known without an estimate.
    pub fn token_count(&self) -> Option<TokenCount> {
        match self {
            Self::Text(_) => None,
            Self::Tokens(ids) => Some(TokenCount::new(ids.len() as u64)),
        }
    }
}

value_type! {
    /// Priority class of a request.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum PriorityClass {
        /// A person waits for the answer.
        Interactive,
        /// Soon, but nobody waits at a counter.
        Standard,
        /// May wait; must not be lost.
        Batch,
    }
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: &[Self] = &[Self::Interactive, Self::Standard, Self::Batch];

    /// Stable text of the class.
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
        /// Model to use.
        pub model: ModelName,
        /// Prompt as text or token ids.
        pub prompt: PromptInput,
        /// Most tokens to generate.
        pub max_tokens: u32,
        /// Whether the answer comes as server-sent events.
        #[serde(default)]
        pub stream: bool,
        /// Priority class, if the workspace may choose it.
        #[serde(default)]
        pub class: Option<PriorityClass>,
        /// Time the caller gives the request, in milliseconds.
        #[serde(default)]
        pub timeout_ms: Option<u64>,
    }
}

value_type! {
    /// One part of a streamed answer, or a whole answer.
    pub struct CompletionChunk {
        /// Request id; equals the `x-request-id` of the request.
        pub id: RequestId,
        /// Always `text_completion`.
        pub object: Arc<str>,
        /// Model that answered.
        pub model: ModelName,
        /// Index of the first generated token in this part.
        pub index_from: u64,
        /// Number of generated tokens in this part.
        pub token_count: u64,
        /// One choice.
        pub choices: Vec<CompletionChoice>,
    }
}

value_type! {
    /// Generated text.
    pub struct CompletionChoice {
        /// Always zero.
        pub index: u32,
        /// Generated text.
        pub text: String,
        /// `length` or `stop` on the last part.
        pub finish_reason: Option<Arc<str>>,
    }
}

value_type! {
    /// Body of `GET /v1/addresses`.
    pub struct AddressResponse {
        /// Instances to use, best first.
        pub addresses: Vec<InstanceAddress>,
        /// How long the answer may be kept, in milliseconds.
        pub ttl_ms: u64,
    }
}

value_type! {
    /// Where callers reach one instance.
    pub struct InstanceAddress {
        /// Address of the caller listener.
        pub address: SocketAddr,
        /// Failure domain of the instance.
        pub failure_domain: DomainId,
    }
}

value_type! {
    /// Body of every error.
    pub struct ErrorBody {
        /// The error.
        pub error: ErrorDetail,
    }
}

value_type! {
    /// An error as the caller sees it.
    pub struct ErrorDetail {
        /// Stable code.
        pub code: Arc<str>,
        /// What was wrong, for people.
        pub message: Arc<str>,
        /// Whether the request ran.
        pub run_state: RunState,
        /// When a repeat may succeed, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// Request id.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub request_id: Option<RequestId>,
    }
}

impl ErrorBody {
    /// Renders a refusal for a caller.
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
