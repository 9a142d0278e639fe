//! Properties of a model engine and the values its simulation works with.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::ids::{ModelName, RequestId, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::prefix_cache::CacheConfig;

/// Properties of a model engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name of the engine.
    pub engine: UpstreamId,
    /// Models that are loaded at the start.
    pub models: Vec<ModelName>,
    /// KV memory in tokens.
    pub memory: u64,
    /// Most requests that run at once; more of them wait.
    pub slots: u32,
    /// Prompt tokens per simulated second, of the whole engine.
    pub prefill_rate: u64,
    /// Generated tokens per simulated second, of one request.
    pub decode_rate: u64,
    /// Most prompt tokens in one step.
    pub chunk: u64,
    /// Simulated seconds that pass in one second.
    pub time_scale: f64,
    /// Prefix cache.
    pub cache: CacheConfig,
    /// Whether the engine is cold after its first start.
    pub starts_cold: bool,
    /// Share of the rates that a cold engine begins with.
    pub cold_share: f64,
    /// Unfinished requests that a cold engine begins with; one more and it
    /// falls over.
    pub cold_requests: u32,
    /// Simulated seconds of work until a cold engine is warm.
    pub warm_up_s: f64,
    /// Refuses what it cannot hold with HTTP 409 in place of falling over.
    pub gentle: bool,
    /// Time without answers after falling over.
    pub recovery: Duration,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Whether it takes part in prefill by segments.
    pub segments: bool,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Time that a request without a reader is kept after it has finished.
    pub detached_ttl: Duration,
    /// Most generated tokens in one part of a stream.
    pub part_tokens: u64,
    /// Time to load a model, if no weight store is given.
    pub load_time: Duration,
    /// Weight store that models are read from.
    pub weight_store: Option<SocketAddr>,
    /// Prints one line for each request received, see
    /// [`ReceivedLine`].
    pub print_requests: bool,
}

/// A request that an engine received, as one line of JSON on its standard
/// output. The lines outlive an engine that is killed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedLine {
    /// Request.
    pub request: RequestId,
    /// When it was received, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the engine took it; a request that was taken may have run.
    pub admitted: bool,
}

impl EngineConfig {
    /// Default properties with a name and one model.
    pub fn new(engine: UpstreamId, model: ModelName) -> Self {
        Self {
            engine,
            models: vec![model],
            memory: 400_000,
            slots: 32,
            prefill_rate: 20_000,
            decode_rate: 50,
            chunk: 2_048,
            time_scale: 1.0,
            cache: CacheConfig::default(),
            starts_cold: true,
            cold_share: 0.2,
            cold_requests: 2,
            warm_up_s: 10.0,
            gentle: false,
            recovery: Duration::from_millis(500),
            load_lag: Duration::from_millis(500),
            segments: true,
            checks_fencing: true,
            detached_ttl: Duration::from_secs(30),
            part_tokens: 8,
            load_time: Duration::from_millis(200),
            weight_store: None,
            print_requests: false,
        }
    }
}

/// What an entry of the engine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKind {
    /// A segment of a prompt that begins at this token.
    Segment(u64),
    /// A completion.
    Completion,
}

/// Key of an entry.
pub type EntryKey = (RequestId, EntryKind);

/// Why an entry ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryEnd {
    /// All its tokens were generated, or its segment was prefilled.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// Its deadline has passed.
    Expired,
    /// The engine lost its state.
    Lost,
}

/// How far an entry is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryProgress {
    /// Tokens generated.
    pub generated: u64,
    /// Why it ended, if it has.
    pub end: Option<EntryEnd>,
}

/// A request or segment to be admitted.
#[derive(Clone, Debug)]
pub struct NewEntry {
    /// Key.
    pub key: EntryKey,
    /// Model.
    pub model: ModelName,
    /// Prompt tokens.
    pub prompt: u64,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: u8,
    /// Digest of the whole content up to the end of the prompt.
    pub digest: u64,
    /// Digests at the blocks of the prompt.
    pub blocks: Vec<u64>,
    /// When the entry is dropped.
    pub deadline: Option<Instant>,
}

/// Why an entry was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// An entry with the key exists.
    Duplicate,
    /// The engine cannot hold it and said so.
    Overcommitted,
    /// The engine could not hold it and lost its state.
    Crashed,
}

/// A stream that is to be read.
#[derive(Clone, Debug)]
pub struct EntryReader {
    /// Model.
    pub model: ModelName,
    /// Digest of the prompt.
    pub digest: u64,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Progress.
    pub progress: watch::Receiver<EntryProgress>,
}

/// Counters of an engine; they survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounters {
    /// Entries admitted.
    pub admitted: u64,
    /// Entries that finished.
    pub finished: u64,
    /// Entries cancelled.
    pub cancelled: u64,
    /// Entries dropped at their deadline.
    pub expired: u64,
    /// Entries dropped as nobody read them in time.
    pub abandoned: u64,
    /// Times that the engine fell over.
    pub falls: u64,
    /// Requests refused as overcommitted.
    pub overcommitted: u64,
    /// Requests refused as their id was held.
    pub duplicates: u64,
    /// Tokens held when the state was lost, in total.
    pub tokens_lost: u64,
    /// Prompt tokens worked through.
    pub prefilled_tokens: u64,
    /// Prompt tokens taken from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Most tokens held at once.
    pub peak_held: u64,
    /// Most unfinished entries at once.
    pub peak_requests: u64,
}
