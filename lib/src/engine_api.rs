//! JSON bodies of the engines' HTTP interface.
//!
//! `POST /v1/completions` streams [`crate::api::CompletionChunk`] as
//! server-sent events. The other calls answer one body each.

use std::sync::Arc;

use crate::{
    api::PromptInput,
    ids::{InstanceId, ModelName, RequestId, UpstreamId},
    units::{Incarnation, LogOffset, TokenCount, TokenRate},
    value_type,
};

value_type! {
    /// Answer of `GET /v1/capabilities`.
    pub struct CapabilityReport {
        /// Engine that answers.
        pub engine: UpstreamId,
        /// Rises whenever the engine lost its state.
        pub incarnation: Incarnation,
        /// Models loaded and ready.
        pub models: Vec<ModelName>,
        /// KV memory.
        pub memory: TokenCount,
        /// Most requests at once.
        pub slots: u32,
        /// Prefill rate when warm, of the whole engine.
        pub prefill_rate: TokenRate,
        /// Decode rate when warm, for one request.
        pub decode_rate: TokenRate,
        /// Whether prompts can be prefilled in segments over engines.
        pub segments: bool,
        /// Whether orders with an old fencing token are refused.
        pub checks_fencing: bool,
        /// Role, if the engine has one.
        #[serde(default)]
        pub role: Option<Arc<str>>,
        /// Models being loaded; absent if the engine does not say.
        #[serde(default)]
        pub loading: Option<Vec<ModelName>>,
    }
}

value_type! {
    /// Body of `POST /v1/completions` towards an engine.
    pub struct EngineRequest {
        /// Model to use.
        pub model: ModelName,
        /// Prompt, or its last segment where `imported` is set.
        pub prompt: PromptInput,
        /// Most tokens to generate.
        pub max_tokens: u32,
        /// Always true; the engine streams.
        pub stream: bool,
        /// Priority; higher runs first.
        pub priority: u8,
        /// State of the segments before this one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub imported: Option<KvState>,
    }
}

value_type! {
    /// Body of `POST /v1/kv/prefill`.
    pub struct PrefillRequest {
        /// Model to use.
        pub model: ModelName,
        /// The segment.
        pub prompt: PromptInput,
        /// Priority; higher runs first.
        pub priority: u8,
        /// State of the segments before this one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub imported: Option<KvState>,
    }
}

value_type! {
    /// KV state of a prefilled prefix, as exported by one engine.
    pub struct KvState {
        /// Request that it belongs to.
        pub request: RequestId,
        /// Tokens that it covers.
        pub tokens: TokenCount,
        /// Opaque handle for the next engine.
        pub handle: Arc<str>,
    }
}

value_type! {
    /// Answer of `POST /v1/kv/prefill`.
    pub struct PrefillResponse {
        /// State after the segment.
        pub state: KvState,
    }
}

value_type! {
    /// Answer of `GET /v1/load`.
    pub struct LoadReport {
        /// Engine that answers.
        pub engine: UpstreamId,
        /// Incarnation at the time of the measurement.
        pub incarnation: Incarnation,
        /// Age of the measurement, in milliseconds.
        pub age_ms: u64,
        /// Tokens held.
        pub held: TokenCount,
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub queued: u32,
        /// Prompt tokens not yet prefilled.
        pub prefill_backlog: TokenCount,
        /// Prefill rate now, of the whole engine.
        pub prefill_rate: TokenRate,
        /// Decode rate now, for one request.
        pub decode_rate: TokenRate,
        /// Whether the engine is about to leave.
        pub leaving: bool,
    }
}

value_type! {
    /// Answer of `GET /v1/held`.
    pub struct HeldReport {
        /// Engine that answers.
        pub engine: UpstreamId,
        /// Incarnation of the engine.
        pub incarnation: Incarnation,
        /// Requests held.
        pub requests: Vec<HeldRequest>,
    }
}

value_type! {
    /// One request held by an engine.
    pub struct HeldRequest {
        /// Request id.
        pub request: RequestId,
        /// Tokens reserved for it, growth included.
        pub tokens: TokenCount,
        /// Time since it arrived, in milliseconds.
        pub age_ms: u64,
        /// Whether a caller is connected to its stream.
        pub attached: bool,
    }
}

value_type! {
    /// Answer of `GET /v1/cache_events`.
    pub struct CacheEventPage {
        /// Events from the asked number on; numbers may be missing.
        pub events: Vec<CacheEvent>,
        /// Number to ask for next.
        pub next: u64,
    }
}

value_type! {
    /// A prefix entered or left the cache.
    pub struct CacheEvent {
        /// Number, rising.
        pub number: u64,
        /// Hash of the prefix.
        pub prefix: u64,
        /// Tokens of the prefix.
        pub tokens: TokenCount,
        /// True when it entered, false when it left.
        pub cached: bool,
    }
}

value_type! {
    /// Body of `POST /v1/orders` towards an engine.
    pub struct EngineOrder {
        /// Instance that gives the order.
        pub holder: InstanceId,
        /// Fencing token of its lease.
        pub fencing_token: LogOffset,
        /// What to do.
        pub action: EngineAction,
    }
}

value_type! {
    /// What an engine is told to do.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum EngineAction {
        /// Load a model, adapter or version.
        LoadModel {
            /// Model to load.
            model: ModelName,
        },
        /// Unload a model, adapter or version.
        UnloadModel {
            /// Model to unload.
            model: ModelName,
        },
        /// Change the engine's role.
        SetRole {
            /// Name of the role.
            role: Arc<str>,
        },
    }
}
