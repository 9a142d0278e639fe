//! Stand-in for a model engine, served over HTTP.
//!
//! Serves the engine API of docs/design.md, section 5.2, and drives the
//! simulation in [`crate::engine_sim`] by the clock. Deadlines
//! (`x-deadline-ms`), load lag and times to live are in real time; rates,
//! warm-up and steps are in simulated time, which passes `time_scale` times
//! as fast.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use borageline_lib::{
    api::{DEADLINE_HEADER, PromptInput, REQUEST_ID_HEADER},
    engine_api::{
        CapabilityReport, EngineAction, EngineOrder, EngineRequest, KvState,
        LoadReport, PrefillRequest, PrefillResponse,
    },
    ids::{ModelName, RequestId},
    units::{TokenCount, TokenRate},
};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    client, content,
    engine_config::{
        AdmitError, EngineConfig, EntryEnd, EntryKind, EntryReader, NewEntry,
        ReceivedLine,
    },
    engine_sim::EngineSim,
    engine_stream::{ChunkStream, StreamFaults},
    fault::{Fault, FaultError, FaultGate, lock},
    http_server::{
        Call, CallError, Handle, HandlerResult, Standin, json_response,
        not_found, serve,
    },
};

/// Maximum time between deadline checks of an engine with requests.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time between steps of an engine without requests.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between samples of the load, from which lagging reports come.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Size from which bodies are parsed outside the I/O threads.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// State that orders to the engine change, and their counters.
#[derive(Debug)]
struct OrderState {
    models: Vec<ModelName>,
    loading: Vec<ModelName>,
    role: Arc<str>,
    highest_token: u64,
    accepted: u64,
    stale_refused: u64,
    stale_accepted: u64,
}

/// State of a stand-in engine and its injected faults.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    orders: Mutex<OrderState>,
    loads: Mutex<Vec<(Instant, LoadReport)>>,
    bad_imports: AtomicU64,
    pub(crate) part_tokens: u64,
    pub(crate) sim: Mutex<EngineSim>,
    pub(crate) stream_faults: Mutex<StreamFaults>,
    pub(crate) gate: FaultGate,
    pub(crate) wake: Notify,
}

/// Starts an engine on an address.
pub async fn spawn(
    listen: SocketAddr,
    config: EngineConfig,
) -> io::Result<Handle<Engine>> {
    let engine = Arc::new(Engine::new(config));
    let handle = serve(listen, engine.clone()).await?;
    tokio::spawn(run_steps(engine.clone(), handle.shutdown.clone()));
    tokio::spawn(sample_load(engine, handle.shutdown.clone()));
    Ok(handle)
}

async fn run_steps(engine: Arc<Engine>, shutdown: CancellationToken) {
    loop {
        tokio::select! {
            () = engine.gate.wait_unfrozen() => {}
            () = shutdown.cancelled() => return,
        }
        let now = Instant::now();
        let (due, empty) = {
            let mut sim = lock(&engine.sim);
            (sim.advance(now), sim.is_empty())
        };
        let check = if empty {
            IDLE_POLL_INTERVAL
        } else {
            BUSY_POLL_INTERVAL
        };
        let until = due.unwrap_or(now + check).min(now + check);
        // A new request joins the batch at the next step, so only an engine
        // without a planned step needs to wake up for it.
        let woken = async {
            if due.is_some() {
                std::future::pending::<()>().await;
            }
            engine.wake.notified().await;
        };
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = woken => {}
            () = shutdown.cancelled() => return,
        }
    }
}

async fn sample_load(engine: Arc<Engine>, shutdown: CancellationToken) {
    let mut interval = tokio::time::interval(LOAD_SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = shutdown.cancelled() => return,
        }
        let now = Instant::now();
        let (report, lag) = {
            let sim = lock(&engine.sim);
            (sim.load_report(), sim.load_lag())
        };
        let mut loads = lock(&engine.loads);
        loads.push((now, report));
        // Keeps the newest sample that is as old as the lag, and all newer
        // ones.
        let old = loads
            .iter()
            .take_while(|(at, _)| now.duration_since(*at) >= lag)
            .count();
        loads.drain(..old.saturating_sub(1));
    }
}

/// Position, length in tokens and digests of a prompt or segment.
struct PromptDigests {
    start: u64,
    tokens: u64,
    digest: u64,
    blocks: Vec<u64>,
}

impl Engine {
    fn new(config: EngineConfig) -> Self {
        Self {
            orders: Mutex::new(OrderState {
                models: config.models.clone(),
                loading: Vec::new(),
                role: "serve".into(),
                highest_token: 0,
                accepted: 0,
                stale_refused: 0,
                stale_accepted: 0,
            }),
            loads: Mutex::new(Vec::new()),
            bad_imports: AtomicU64::new(0),
            part_tokens: config.part_tokens.max(1),
            sim: Mutex::new(EngineSim::new(config.clone())),
            stream_faults: Mutex::new(StreamFaults::default()),
            gate: FaultGate::default(),
            wake: Notify::new(),
            config,
        }
    }

    /// Calls a function with the locked simulation.
    pub fn with_sim<T>(&self, act: impl FnOnce(&mut EngineSim) -> T) -> T {
        act(&mut lock(&self.sim))
    }

    fn capabilities(&self) -> CapabilityReport {
        let orders = lock(&self.orders);
        CapabilityReport {
            engine: self.config.engine.clone(),
            incarnation: lock(&self.sim).incarnation(),
            models: orders.models.clone(),
            memory: TokenCount::new(self.config.memory),
            slots: self.config.slots,
            prefill_rate: scaled(self.config.prefill_rate, &self.config),
            decode_rate: scaled(self.config.decode_rate, &self.config),
            segments: self.config.segments,
            checks_fencing: self.config.checks_fencing,
            role: Some(orders.role.clone()),
            loading: Some(orders.loading.clone()),
        }
    }

    fn load(&self) -> LoadReport {
        let now = Instant::now();
        let (current, lag) = {
            let sim = lock(&self.sim);
            (sim.load_report(), sim.load_lag())
        };
        let loads = lock(&self.loads);
        let old = loads
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .or_else(|| loads.first());
        let (at, mut report) = match old {
            Some((at, report)) if !lag.is_zero() => (*at, report.clone()),
            _ => (now, current),
        };
        report.age_ms = millis(now.duration_since(at));
        report.prefill_rate = scaled(report.prefill_rate.get(), &self.config);
        report.decode_rate = scaled(report.decode_rate.get(), &self.config);
        report
    }

    async fn complete(self: Arc<Self>, call: Call) -> HandlerResult {
        let request: EngineRequest = read_body(&call).await?;
        let id = request_id(&call)?;
        self.check_model(&request.model)?;
        let (imported, prompt) = (request.imported, request.prompt);
        let read = self.digest_prompt(imported, prompt).await?;
        let key = (id, EntryKind::Completion);
        let new = NewEntry {
            key: key.clone(),
            model: request.model,
            prompt: read.tokens,
            max_tokens: u64::from(request.max_tokens),
            priority: request.priority,
            digest: read.digest,
            blocks: read.blocks,
            deadline: deadline(&call),
        };
        let reader = self.admit(new)?;
        ChunkStream::new(self, key, reader, 0).into_response()
    }

    async fn prefill(self: Arc<Self>, call: Call) -> HandlerResult {
        if !self.config.segments {
            let message = "the engine does not prefill segments";
            let status = StatusCode::NOT_IMPLEMENTED;
            return Err(CallError::new(status, "unsupported", message));
        }
        let request: PrefillRequest = read_body(&call).await?;
        let id = request_id(&call)?;
        self.check_model(&request.model)?;
        let (imported, prompt) = (request.imported, request.prompt);
        let read = self.digest_prompt(imported, prompt).await?;
        let position = read.start + read.tokens;
        let new = NewEntry {
            key: (id.clone(), EntryKind::Segment(read.start)),
            model: request.model,
            prompt: read.tokens,
            max_tokens: 0,
            priority: request.priority,
            digest: read.digest,
            blocks: read.blocks,
            deadline: deadline(&call),
        };
        let mut reader = self.admit(new)?;
        let ended = reader.progress.wait_for(|now| now.end.is_some()).await;
        let end = ended.map_err(|_| CallError::Cut)?.end;
        if end != Some(EntryEnd::Finished) {
            return Err(CallError::Cut);
        }
        self.gate.wait_unfrozen().await;
        let state = KvState {
            request: id,
            tokens: TokenCount::new(position),
            handle: format!("{:016x}:{position}", read.digest).into(),
        };
        json_response(StatusCode::OK, &PrefillResponse { state })
    }

    fn check_model(&self, model: &ModelName) -> Result<(), CallError> {
        if lock(&self.orders).models.contains(model) {
            return Ok(());
        }
        let message = format!("model {model} is not loaded");
        let status = StatusCode::NOT_FOUND;
        Err(CallError::new(status, "unknown_model", message))
    }

    /// Validates imported state and computes the digests of the prompt.
    async fn digest_prompt(
        &self,
        imported: Option<KvState>,
        prompt: PromptInput,
    ) -> Result<PromptDigests, CallError> {
        let (digest, start) = match &imported {
            None => (content::EMPTY_DIGEST, 0),
            Some(state) => parse_handle(state).ok_or_else(|| {
                self.bad_imports.fetch_add(1, Ordering::Relaxed);
                let message = format!("invalid KV handle {:?}", state.handle);
                let status = StatusCode::BAD_REQUEST;
                CallError::new(status, "bad_kv_state", message)
            })?,
        };
        let block = self.config.cache.block;
        let tokens = content::token_count(&prompt);
        let digests = move || content::digest_blocks(digest, &prompt, block);
        let (digest, blocks) =
            run_off_io_threads(tokens as usize * 4, digests).await?;
        // The prefix cache covers only prompts that begin at token zero.
        let blocks = if imported.is_none() {
            blocks
        } else {
            Vec::new()
        };
        Ok(PromptDigests {
            start,
            tokens,
            digest,
            blocks,
        })
    }

    fn admit(&self, new: NewEntry) -> Result<EntryReader, CallError> {
        let now = Instant::now();
        let request = new.key.0.clone();
        let result = lock(&self.sim).admit(new, now);
        self.wake.notify_one();
        if self.config.print_requests {
            print_received(request, result.is_ok());
        }
        result.map_err(|error| match error {
            AdmitError::Duplicate => CallError::new(
                StatusCode::CONFLICT,
                "duplicate_request",
                "a request with this id exists",
            ),
            AdmitError::Overcommitted => CallError::new(
                StatusCode::CONFLICT,
                "overcommitted",
                "the request exceeds the capacity of the engine",
            ),
            AdmitError::Crashed => {
                self.gate.cut_connections();
                CallError::Cut
            }
        })
    }

    fn resume(self: Arc<Self>, call: &Call, id: &str) -> HandlerResult {
        let reader = id
            .parse::<RequestId>()
            .ok()
            .and_then(|id| Some((lock(&self.sim).attach(&id)?, id)));
        let Some((reader, id)) = reader else {
            let message = format!("request {id} does not exist");
            let status = StatusCode::NOT_FOUND;
            return Err(CallError::new(status, "unknown_request", message));
        };
        let from = call.number("from").unwrap_or(0);
        let key = (id, EntryKind::Completion);
        ChunkStream::new(self, key, reader, from).into_response()
    }

    fn cancel(&self, id: &str) -> HandlerResult {
        let known = id
            .parse::<RequestId>()
            .is_ok_and(|id| lock(&self.sim).cancel(&id));
        self.wake.notify_one();
        if known {
            return json_response(StatusCode::OK, &json!({"cancelled": true}));
        }
        let message = format!("request {id} does not exist");
        Err(CallError::new(
            StatusCode::NOT_FOUND,
            "unknown_request",
            message,
        ))
    }

    fn order(self: Arc<Self>, call: &Call) -> HandlerResult {
        let order: EngineOrder = call.json()?;
        {
            let mut orders = lock(&self.orders);
            let token = order.fencing_token.get();
            if token < orders.highest_token {
                if self.config.checks_fencing {
                    orders.stale_refused += 1;
                    let message = format!(
                        "fencing token {token} is below {}",
                        orders.highest_token
                    );
                    let status = StatusCode::CONFLICT;
                    let code = "stale_fencing_token";
                    return Err(CallError::new(status, code, message));
                }
                orders.stale_accepted += 1;
            }
            orders.highest_token = orders.highest_token.max(token);
            orders.accepted += 1;
        }
        self.apply_action(order.action);
        json_response(StatusCode::OK, &json!({"accepted": true}))
    }

    fn apply_action(self: Arc<Self>, action: EngineAction) {
        match action {
            EngineAction::LoadModel { model } => {
                lock(&self.orders).loading.push(model.clone());
                tokio::spawn(self.load_model(model));
            }
            EngineAction::UnloadModel { model } => {
                lock(&self.orders).models.retain(|loaded| *loaded != model);
            }
            EngineAction::SetRole { role } => lock(&self.orders).role = role,
        }
    }

    async fn load_model(self: Arc<Self>, model: ModelName) {
        let loaded = self.read_weights(&model).await;
        let mut orders = lock(&self.orders);
        if let Some(at) = orders.loading.iter().position(|m| *m == model) {
            orders.loading.remove(at);
        }
        if loaded && !orders.models.contains(&model) {
            orders.models.push(model);
        }
    }

    async fn read_weights(&self, model: &ModelName) -> bool {
        let Some(store) = self.config.weight_store else {
            tokio::time::sleep(self.config.load_time).await;
            return true;
        };
        let read = client::get(store, &format!("/v1/weights/{model}")).await;
        read.is_ok_and(|response| response.status.is_success())
    }

    fn restart_sim(&self) {
        lock(&self.sim).restart(Instant::now());
        lock(&self.loads).clear();
        self.gate.cut_connections();
        self.wake.notify_one();
    }
}

impl Standin for Engine {
    fn gate(&self) -> &FaultGate {
        &self.gate
    }

    async fn handle(self: Arc<Self>, call: Call) -> HandlerResult {
        if lock(&self.sim).is_down(Instant::now()) {
            return Err(CallError::Cut);
        }
        let now = Instant::now();
        let segments = call.segments();
        match (&call.method, segments.as_slice()) {
            (&Method::GET, ["v1", "capabilities"]) => {
                json_response(StatusCode::OK, &self.capabilities())
            }
            (&Method::GET, ["v1", "held"]) => {
                let report = lock(&self.sim).held_report(now);
                json_response(StatusCode::OK, &report)
            }
            (&Method::GET, ["v1", "load"]) => {
                json_response(StatusCode::OK, &self.load())
            }
            (&Method::GET, ["v1", "cache_events"]) => {
                let from = call.number("from").unwrap_or(0);
                let page = lock(&self.sim).cache.page(from, now);
                json_response(StatusCode::OK, &page)
            }
            (&Method::POST, ["v1", "completions"]) => self.complete(call).await,
            (&Method::POST, ["v1", "kv", "prefill"]) => {
                self.prefill(call).await
            }
            (&Method::POST, ["v1", "orders"]) => self.order(&call),
            (&Method::DELETE, ["v1", "requests", id @ ..]) => {
                self.cancel(&id.join("/"))
            }
            (&Method::GET, ["v1", "requests", id @ .., "stream"]) => {
                self.resume(&call, &id.join("/"))
            }
            _ => Err(not_found(&call)),
        }
    }

    fn control(&self, fault: Fault) -> Result<(), FaultError> {
        if self.gate.apply(&fault) {
            if fault == Fault::Clear {
                *lock(&self.stream_faults) = StreamFaults::default();
                lock(&self.sim).set_speed(1.0);
            }
            return Ok(());
        }
        let mut faults = lock(&self.stream_faults);
        match fault {
            Fault::Restart => self.restart_sim(),
            Fault::GoCold => lock(&self.sim).go_cold(),
            Fault::Speed { factor } => lock(&self.sim).set_speed(factor),
            Fault::Leave { leaving } => lock(&self.sim).leaving = leaving,
            Fault::Lag { lag_ms } => {
                let lag = Duration::from_millis(lag_ms);
                lock(&self.sim).set_load_lag(lag);
            }
            Fault::ForeignId { count } => faults.foreign = count,
            Fault::DuplicateParts { count } => faults.duplicate = count,
            Fault::TruncateStreams { after_parts, count } => {
                faults.truncate = count;
                faults.truncate_after = after_parts;
            }
            Fault::LateParts { delay_ms, count } => {
                faults.late = count;
                faults.late_ms = delay_ms;
            }
            other => return Err(FaultError::Unsupported(other)),
        }
        Ok(())
    }

    fn report(&self) -> Value {
        let (counters, incarnation, held, warmth) = {
            let sim = lock(&self.sim);
            (sim.counters, sim.incarnation(), sim.held(), sim.warmth())
        };
        let orders = lock(&self.orders);
        json!({
            "engine": self.config.engine,
            "incarnation": incarnation,
            "held": held,
            "warmth": warmth,
            "counters": counters,
            "bad_imports": self.bad_imports.load(Ordering::Relaxed),
            "models": orders.models,
            "role": orders.role,
            "highest_token": orders.highest_token,
            "orders_accepted": orders.accepted,
            "stale_orders_refused": orders.stale_refused,
            "stale_orders_accepted": orders.stale_accepted,
        })
    }
}

fn print_received(request: RequestId, admitted: bool) {
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    let line = ReceivedLine {
        request,
        at_ms: millis(at.unwrap_or_default()),
        admitted,
    };
    let line = serde_json::to_string(&line).expect("serializes to JSON");
    // Fails only after the reader of the output has closed the pipe.
    let _ = writeln!(io::stdout().lock(), "{line}");
}

/// Converts a rate from simulated to real time.
fn scaled(rate: u64, config: &EngineConfig) -> TokenRate {
    TokenRate::new((rate as f64 * config.time_scale) as u64)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn request_id(call: &Call) -> Result<RequestId, CallError> {
    let text = call.header(REQUEST_ID_HEADER).unwrap_or_default();
    text.parse().map_err(|error| {
        let message = format!("{REQUEST_ID_HEADER}: {error}");
        CallError::malformed(message)
    })
}

fn deadline(call: &Call) -> Option<Instant> {
    let left = call.header(DEADLINE_HEADER)?.parse().ok()?;
    Instant::now().checked_add(Duration::from_millis(left))
}

fn parse_handle(state: &KvState) -> Option<(u64, u64)> {
    let (digest, position) = state.handle.split_once(':')?;
    let digest = u64::from_str_radix(digest, 16).ok()?;
    let position: u64 = position.parse().ok()?;
    (position == state.tokens.get()).then_some((digest, position))
}

async fn read_body<T>(call: &Call) -> Result<T, CallError>
where
    T: DeserializeOwned + Send + 'static,
{
    let copy = call.clone();
    run_off_io_threads(call.body.len(), move || copy.json()).await?
}

/// Runs work on a large body outside the I/O threads.
async fn run_off_io_threads<T, F>(bytes: usize, work: F) -> Result<T, CallError>
where
    T: Send + 'static,
    F: FnOnce() -> T + Send + 'static,
{
    if bytes < LARGE_BODY_BYTES {
        return Ok(work());
    }
    let task = tokio::task::spawn_blocking(work);
    task.await.map_err(|_| CallError::Cut)
}
