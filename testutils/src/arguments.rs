//! Command line of `borageline-standin`, and its conversion to the
//! configuration of the stand-ins.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    ids::{ModelName, UpstreamId},
    platform_api::ListedProcess,
};
use borageline_testutils::{
    engine_config::EngineConfig, instance_list::ListConfig,
    log_service::LogConfig, weight_store::WeightConfig,
};
use bpaf::Bpaf;

/// Stand-ins for what surrounds borageline.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command))]
pub(crate) enum Command {
    /// Model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_options), map(Box::new))] Box<EngineOptions>),
    /// Plain service that counts how often each call ran.
    #[bpaf(command)]
    Service {
        /// Address to listen on; port 0 picks one.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Time that each call takes.
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
    },
    /// Log service.
    #[bpaf(command)]
    Log(#[bpaf(external(log_options))] LogOptions),
    /// Instance list.
    #[bpaf(command)]
    List(#[bpaf(external(list_options))] ListOptions),
    /// Rate-limited weight store.
    #[bpaf(command)]
    Weights(#[bpaf(external(weight_options))] WeightOptions),
    /// TCP forwarder.
    #[bpaf(command)]
    Forwarder {
        /// Address to listen on; port 0 picks one.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Address to forward to.
        #[bpaf(argument("ADDRESS"))]
        target: SocketAddr,
        /// Address for control calls; port 0 picks one.
        #[bpaf(argument("ADDRESS"), fallback(([127, 0, 0, 1], 0).into()))]
        control: SocketAddr,
    },
    /// Member of a process group whose parent is in another one.
    #[bpaf(command("group-link"))]
    GroupLink {
        /// Id of the group.
        #[bpaf(argument("ID"))]
        group: i32,
    },
}

/// Options of a model engine; a rate or time left out has the default of
/// [`EngineConfig::new`].
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct EngineOptions {
    /// Address to listen on; port 0 picks one.
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Name of the engine.
    #[bpaf(argument("ID"))]
    id: UpstreamId,
    /// Model that is loaded; may be given several times.
    #[bpaf(argument("MODEL"), some("at least one --model is needed"))]
    model: Vec<ModelName>,
    /// KV memory in tokens.
    #[bpaf(argument("TOKENS"))]
    memory: Option<u64>,
    /// Most requests that run at once.
    #[bpaf(argument("COUNT"))]
    slots: Option<u32>,
    /// Prompt tokens per simulated second, of the whole engine.
    #[bpaf(argument("RATE"))]
    prefill_rate: Option<u64>,
    /// Generated tokens per simulated second, of one request.
    #[bpaf(argument("RATE"))]
    decode_rate: Option<u64>,
    /// Most prompt tokens in one step.
    #[bpaf(argument("TOKENS"))]
    chunk: Option<u64>,
    /// Simulated seconds that pass in one second.
    #[bpaf(argument("FACTOR"))]
    time_scale: Option<f64>,
    /// Tokens that the prefix cache holds.
    #[bpaf(argument("TOKENS"))]
    cache_tokens: Option<u64>,
    /// Delay of cache events.
    #[bpaf(argument("MS"))]
    cache_event_delay_ms: Option<u64>,
    /// Every so many cache events one is lost; zero loses none.
    #[bpaf(argument("COUNT"))]
    cache_lose_every: Option<u64>,
    /// Starts warm in place of cold.
    start_warm: bool,
    /// Share of the rates that a cold engine begins with.
    #[bpaf(argument("SHARE"))]
    cold_share: Option<f64>,
    /// Unfinished requests that a cold engine begins with.
    #[bpaf(argument("COUNT"))]
    cold_requests: Option<u32>,
    /// Simulated seconds of work until the engine is warm.
    #[bpaf(argument("SECONDS"))]
    warm_up_s: Option<f64>,
    /// Refuses with HTTP 409 in place of falling over.
    gentle: bool,
    /// Time without answers after falling over.
    #[bpaf(argument("MS"))]
    recovery_ms: Option<u64>,
    /// Age of load reports.
    #[bpaf(argument("MS"))]
    load_lag_ms: Option<u64>,
    /// Takes no part in prefill by segments.
    no_segments: bool,
    /// Ignores the fencing tokens of orders.
    ignore_fencing: bool,
    /// Time that a finished request without a reader is kept.
    #[bpaf(argument("MS"))]
    detached_ttl_ms: Option<u64>,
    /// Most generated tokens in one part of a stream.
    #[bpaf(argument("TOKENS"))]
    part_tokens: Option<u64>,
    /// Time to load a model without a weight store.
    #[bpaf(argument("MS"))]
    load_time_ms: Option<u64>,
    /// Weight store that models are read from.
    #[bpaf(argument("ADDRESS"))]
    weight_store: Option<SocketAddr>,
    /// Prints one line of JSON for each request received.
    print_requests: bool,
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

fn set_ms(field: &mut Duration, value: Option<u64>) {
    set(field, value.map(Duration::from_millis));
}

impl EngineOptions {
    pub(crate) fn into_config(self) -> (SocketAddr, EngineConfig) {
        let mut models = self.model.into_iter();
        // `some` in the definition of the option rejects an empty list.
        let first = models.next().expect("at least one model");
        let mut config = EngineConfig::new(self.id, first);
        config.models.extend(models);
        set(&mut config.memory, self.memory);
        set(&mut config.slots, self.slots);
        set(&mut config.prefill_rate, self.prefill_rate);
        set(&mut config.decode_rate, self.decode_rate);
        set(&mut config.chunk, self.chunk);
        set(&mut config.time_scale, self.time_scale);
        set(&mut config.cache.tokens, self.cache_tokens);
        set_ms(&mut config.cache.event_delay, self.cache_event_delay_ms);
        set(&mut config.cache.lose_every, self.cache_lose_every);
        config.starts_cold = !self.start_warm;
        set(&mut config.cold_share, self.cold_share);
        set(&mut config.cold_requests, self.cold_requests);
        set(&mut config.warm_up_s, self.warm_up_s);
        config.gentle = self.gentle;
        set_ms(&mut config.recovery, self.recovery_ms);
        set_ms(&mut config.load_lag, self.load_lag_ms);
        config.segments = !self.no_segments;
        config.checks_fencing = !self.ignore_fencing;
        set_ms(&mut config.detached_ttl, self.detached_ttl_ms);
        set(&mut config.part_tokens, self.part_tokens);
        set_ms(&mut config.load_time, self.load_time_ms);
        config.weight_store = self.weight_store;
        config.print_requests = self.print_requests;
        (self.listen, config)
    }
}

/// Options of a log service.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LogOptions {
    /// Address to listen on; port 0 picks one.
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// How long records are kept.
    #[bpaf(argument("MS"))]
    retention_ms: Option<u64>,
    /// Most records kept in a stream.
    #[bpaf(argument("COUNT"))]
    retention_count: Option<u64>,
    /// Most appends per second.
    #[bpaf(argument("COUNT"))]
    appends_per_s: Option<u64>,
}

impl LogOptions {
    pub(crate) fn into_config(self) -> (SocketAddr, LogConfig) {
        let mut config = LogConfig::default();
        set_ms(&mut config.retention, self.retention_ms);
        set(&mut config.retention_count, self.retention_count);
        set(&mut config.appends_per_s, self.appends_per_s);
        (self.listen, config)
    }
}

/// Options of an instance list.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ListOptions {
    /// Address to listen on; port 0 picks one.
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Age of answers.
    #[bpaf(argument("MS"))]
    lag_ms: Option<u64>,
    /// Time after which an entry must be registered again.
    #[bpaf(argument("MS"))]
    entry_ttl_ms: Option<u64>,
    /// Entry as JSON; may be given several times.
    #[bpaf(argument::<String>("JSON"), parse(parse_entry), many)]
    entry: Vec<ListedProcess>,
}

fn parse_entry(text: String) -> Result<ListedProcess, serde_json::Error> {
    serde_json::from_str(&text)
}

impl ListOptions {
    pub(crate) fn into_config(
        self,
    ) -> (SocketAddr, ListConfig, Vec<ListedProcess>) {
        let mut config = ListConfig::default();
        set_ms(&mut config.lag, self.lag_ms);
        config.entry_ttl = self.entry_ttl_ms.map(Duration::from_millis);
        (self.listen, config, self.entry)
    }
}

/// Options of a weight store.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct WeightOptions {
    /// Address to listen on; port 0 picks one.
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Bytes per second, of all readers together.
    #[bpaf(argument("BYTES"))]
    bytes_per_s: Option<u64>,
    /// Size of each model's weights.
    #[bpaf(argument("BYTES"))]
    model_bytes: Option<u64>,
}

impl WeightOptions {
    pub(crate) fn into_config(self) -> (SocketAddr, WeightConfig) {
        let mut config = WeightConfig::default();
        set(&mut config.bytes_per_s, self.bytes_per_s);
        set(&mut config.model_bytes, self.model_bytes);
        (self.listen, config)
    }
}
