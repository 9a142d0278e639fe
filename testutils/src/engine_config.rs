//! Configuration of the stand-in engine, and the types that its simulation
//! exchanges with its HTTP side.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::ids::{ModelName, RequestId, UpstreamId};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::prefix_cache::CacheConfig;

/// Configuration of an engine; rates and `warm_up_s` are in simulated time.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Id under which the engine reports itself.
    pub engine: UpstreamId,
    /// Models loaded at the start.
    pub models: Vec<ModelName>,
    /// KV cache capacity in tokens.
    pub memory: u64,
    /// Maximum number of running requests; further ones are queued.
    pub slots: u32,
    /// Prompt tokens per simulated second, over all requests.
    pub prefill_rate: u64,
    /// Generated tokens per simulated second and request.
    pub decode_rate: u64,
    /// Maximum prompt tokens in one step of chunked prefill.
    pub chunk: u64,
    /// Simulated seconds per second of real time.
    pub time_scale: f64,
    /// Configuration of the prefix cache.
    pub cache: CacheConfig,
    /// Whether the engine starts cold; it is cold after every restart.
    pub starts_cold: bool,
    /// Fraction of the full rates at which a cold engine starts.
    pub cold_share: f64,
    /// Unfinished requests that an engine can carry when cold; one more
    /// overcommits it. The limit grows as the engine warms up.
    pub cold_requests: u32,
    /// Simulated seconds of running steps until a cold engine is warm.
    pub warm_up_s: f64,
    /// Whether an overcommitted engine rejects the request with HTTP 409
    /// instead of crashing, which loses all its state.
    pub gentle: bool,
    /// Time after a crash or restart during which the engine closes the
    /// connection of each call.
    pub recovery: Duration,
    /// Minimum age of load reports; zero returns the present load.
    pub load_lag: Duration,
    /// Whether the engine supports prefill of prompt segments.
    pub segments: bool,
    /// Whether the engine rejects orders with a stale fencing token.
    pub checks_fencing: bool,
    /// Time for which a finished completion without a reader is kept.
    pub detached_ttl: Duration,
    /// Maximum generated tokens in one chunk of a completion stream.
    pub part_tokens: u64,
    /// Time to load a model without a weight store.
    pub load_time: Duration,
    /// Weight store from which models are loaded; `None` waits for
    /// `load_time` instead.
    pub weight_store: Option<SocketAddr>,
    /// Whether to print a [`ReceivedLine`] for each request received.
    pub print_requests: bool,
}

/// A request that an engine received, printed as one line of JSON on its
/// standard output. The lines remain available after the engine is killed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedLine {
    /// Request id.
    pub request: RequestId,
    /// Time of receipt in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the engine admitted the request, so that it may have run.
    pub admitted: bool,
}

impl EngineConfig {
    /// Default configuration for an engine id and one model.
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

/// Kind of work that an entry, i.e. an admitted request, stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKind {
    /// Prefill of the prompt segment that begins at this token index.
    Segment(u64),
    /// Prefill and decode of a completion.
    Completion,
}

/// Key of an entry; a request has an entry per segment.
pub type EntryKey = (RequestId, EntryKind);

/// Why an entry ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryEnd {
    /// All tokens were generated, or the segment was prefilled.
    Finished,
    /// The request was cancelled.
    Cancelled,
    /// The deadline passed, or no reader attached in time.
    Expired,
    /// The engine crashed or restarted.
    Lost,
}

/// Progress of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryProgress {
    /// Tokens generated so far.
    pub generated: u64,
    /// Why the entry ended; `None` while it is unfinished.
    pub end: Option<EntryEnd>,
}

/// A request or segment to be admitted.
#[derive(Clone, Debug)]
pub struct NewEntry {
    /// Request id and kind.
    pub key: EntryKey,
    /// Model that runs the request.
    pub model: ModelName,
    /// Length of the prompt or segment in tokens.
    pub prompt: u64,
    /// Number of tokens to generate; zero for a segment.
    pub max_tokens: u64,
    /// Scheduling priority; higher values run first.
    pub priority: u8,
    /// Digest of the prompt including the imported segments before it.
    pub digest: u64,
    /// Digests after the complete blocks of the prompt; empty if it
    /// continues imported state.
    pub blocks: Vec<u64>,
    /// When the entry expires; `None` means never.
    pub deadline: Option<Instant>,
}

/// Why an entry was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// An entry with the same key exists.
    Duplicate,
    /// The request exceeds the capacity; the engine rejected it.
    Overcommitted,
    /// The request exceeds the capacity; the engine crashed.
    Crashed,
}

/// Data from which a reader renders the stream of an entry.
#[derive(Clone, Debug)]
pub struct EntryReader {
    /// Model that runs the request.
    pub model: ModelName,
    /// Digest of the prompt, from which the text derives.
    pub digest: u64,
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Progress of the entry.
    pub progress: watch::Receiver<EntryProgress>,
}

/// Counters of an engine since its process started; a simulated crash or
/// restart does not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounters {
    /// Requests and segments admitted.
    pub admitted: u64,
    /// Entries that generated or prefilled all their tokens.
    pub finished: u64,
    /// Entries cancelled.
    pub cancelled: u64,
    /// Entries removed at their deadline.
    pub expired: u64,
    /// Finished completions removed because no reader attached in time.
    pub abandoned: u64,
    /// Crashes by overcommitment.
    pub falls: u64,
    /// Requests rejected because they exceed the capacity.
    pub overcommitted: u64,
    /// Requests rejected because an entry with the same key existed.
    pub duplicates: u64,
    /// Tokens reserved at the time of each crash or restart, in total.
    pub tokens_lost: u64,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens taken from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Maximum of the tokens reserved at one time.
    pub peak_held: u64,
    /// Maximum number of unfinished entries at one time.
    pub peak_requests: u64,
}
