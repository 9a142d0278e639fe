//! JSON bodies of the engines' HTTP interface.
//!
//! `POST /v1/completions` streams [`crate::api::CompletionChunk`] as
//! server-sent events. The other endpoints respond with a single body.

use std::sync::Arc;

use crate::{
    api::PromptInput,
    ids::{InstanceId, ModelName, RequestId, UpstreamId},
    units::{Incarnation, LogOffset, TokenCount, TokenRate},
    value_type,
};

value_type! {
    /// Response body of `GET /v1/capabilities`.
    pub struct CapabilityReport {
        /// Engine that sent the report.
        pub engine: UpstreamId,
        /// Increases whenever the engine loses its state.
        pub incarnation: Incarnation,
        /// Models that are loaded and ready.
        pub models: Vec<ModelName>,
        /// Capacity of the KV memory.
        pub memory: TokenCount,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Prefill rate of the whole engine once it is warm.
        pub prefill_rate: TokenRate,
        /// Decode rate of a single request once the engine is warm.
        pub decode_rate: TokenRate,
        /// Whether the engine can prefill a segment of a prompt and export the
        /// KV state, so that a prompt can be spread over several engines.
        pub segments: bool,
        /// Whether the engine refuses orders with an outdated fencing token.
        pub checks_fencing: bool,
        /// Role of the engine, `None` if it has no role.
        #[serde(default)]
        pub role: Option<Arc<str>>,
        /// Models that are being loaded; `None` if the engine does not report
        /// them.
        #[serde(default)]
        pub loading: Option<Vec<ModelName>>,
    }
}

value_type! {
    /// Request body of `POST /v1/completions` at an engine.
    pub struct EngineRequest {
        /// Name of a model that the engine has loaded.
        pub model: ModelName,
        /// Prompt, or its last segment if `imported` is set.
        pub prompt: PromptInput,
        /// Maximum number of tokens to generate.
        pub max_tokens: u32,
        /// Always true: the response is streamed in chunks.
        pub stream: bool,
        /// Scheduling priority; the engine runs higher values first.
        pub priority: u8,
        /// KV state of the preceding segments. `None` if the prompt is not
        /// split into segments.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub imported: Option<KvState>,
    }
}

value_type! {
    /// Request body of `POST /v1/kv/prefill`.
    pub struct PrefillRequest {
        /// Name of a model that the engine has loaded.
        pub model: ModelName,
        /// Segment of the prompt to prefill.
        pub prompt: PromptInput,
        /// Scheduling priority; the engine runs higher values first.
        pub priority: u8,
        /// KV state of the preceding segments; `None` for the first one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub imported: Option<KvState>,
    }
}

value_type! {
    /// Reference to the KV state of a prefilled prefix, exported by an engine.
    pub struct KvState {
        /// Request whose prompt was prefilled.
        pub request: RequestId,
        /// Length of the prefix.
        pub tokens: TokenCount,
        /// Opaque handle with which the next engine imports the state.
        pub handle: Arc<str>,
    }
}

value_type! {
    /// Response body of `POST /v1/kv/prefill`.
    pub struct PrefillResponse {
        /// KV state of the prompt up to the end of the segment.
        pub state: KvState,
    }
}

value_type! {
    /// Response body of `GET /v1/load`.
    pub struct LoadReport {
        /// Engine that sent the report.
        pub engine: UpstreamId,
        /// Incarnation at the time of the measurement.
        pub incarnation: Incarnation,
        /// Time since the load was measured, in milliseconds.
        pub age_ms: u64,
        /// KV memory in use.
        pub held: TokenCount,
        /// Number of running requests.
        pub running: u32,
        /// Number of queued requests.
        pub queued: u32,
        /// Prompt tokens that are not prefilled yet.
        pub prefill_backlog: TokenCount,
        /// Present prefill rate of the whole engine.
        pub prefill_rate: TokenRate,
        /// Present decode rate of a single request.
        pub decode_rate: TokenRate,
        /// Whether the engine has announced that it will shut down.
        pub leaving: bool,
    }
}

value_type! {
    /// Response body of `GET /v1/held`.
    pub struct HeldReport {
        /// Engine that sent the report.
        pub engine: UpstreamId,
        /// Incarnation of the engine when the list was made.
        pub incarnation: Incarnation,
        /// Requests for which the engine holds memory.
        pub requests: Vec<HeldRequest>,
    }
}

value_type! {
    /// A request for which an engine holds memory.
    pub struct HeldRequest {
        /// Id of the request.
        pub request: RequestId,
        /// Memory reserved for the request, including tokens still to be
        /// generated.
        pub tokens: TokenCount,
        /// Time since the request arrived at the engine, in milliseconds.
        pub age_ms: u64,
        /// Whether a client is connected to the request's stream.
        pub attached: bool,
    }
}

value_type! {
    /// Response body of `GET /v1/cache_events`.
    pub struct CacheEventPage {
        /// Events from the requested number on, in order. There may be gaps
        /// between the numbers.
        pub events: Vec<CacheEvent>,
        /// Number from which to request the next page.
        pub next: u64,
    }
}

value_type! {
    /// Insertion of a prefix into the engine's prefix cache, or its eviction.
    pub struct CacheEvent {
        /// Number of the event, increasing.
        pub number: u64,
        /// Hash of the prefix.
        pub prefix: u64,
        /// Length of the prefix.
        pub tokens: TokenCount,
        /// True for an insertion, false for an eviction.
        pub cached: bool,
    }
}

value_type! {
    /// Request body of `POST /v1/orders` at an engine.
    pub struct EngineOrder {
        /// Instance that sends the order and holds the lease on the engine.
        pub holder: InstanceId,
        /// Fencing token of the lease.
        pub fencing_token: LogOffset,
        /// Change that the engine is to make.
        pub action: EngineAction,
    }
}

value_type! {
    /// Change that an order makes to an engine.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum EngineAction {
        /// Loads a model, or one of its adapters or versions.
        LoadModel {
            /// Name of the model.
            model: ModelName,
        },
        /// Unloads a model, or one of its adapters or versions.
        UnloadModel {
            /// Name of the model.
            model: ModelName,
        },
        /// Changes the engine's role.
        SetRole {
            /// Name of the new role.
            role: Arc<str>,
        },
    }
}
