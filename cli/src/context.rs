//! What the handlers of one instance share.

use std::{
    panic::{RefUnwindSafe, UnwindSafe},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use borageline_lib::{
    ids::RequestId, settings::InstanceSettings, units::Incarnation,
};

use crate::{
    buffer::{ByteBudget, StreamBudget},
    credentials::CredentialCache,
    driver::CoreHandle,
    engine_client::EngineClient,
    http_client::HttpClient,
    metrics::ServerMetrics,
    request_task::TaskTools,
};

/// What the handlers of one instance share.
#[derive(Debug)]
pub struct ServerContext {
    /// Settings.
    pub settings: Arc<InstanceSettings>,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Core.
    pub handle: CoreHandle,
    /// Engines.
    pub engines: EngineClient,
    /// Processes of plain services, for calls that may be repeated.
    pub services: HttpClient,
    /// Processes of plain services, for calls that must run at most once.
    pub single_calls: HttpClient,
    /// Metrics.
    pub metrics: Arc<ServerMetrics>,
    /// Bytes buffered for streamed answers.
    pub stream_budget: StreamBudget,
    /// Bytes held for request bodies.
    pub body_budget: Arc<ByteBudget>,
    /// Credentials by digest.
    pub credentials: CredentialCache,
    sequence: AtomicU64,
    stopping: AtomicBool,
}

impl ServerContext {
    /// Shares what the handlers need.
    pub fn new(
        settings: Arc<InstanceSettings>,
        incarnation: Incarnation,
        handle: CoreHandle,
        engines: EngineClient,
        metrics: Arc<ServerMetrics>,
    ) -> Self {
        let limits = &settings.limits;
        let stream_budget = StreamBudget::new(
            limits.stream_buffer_total,
            metrics.held_bytes.clone(),
        );
        let body_budget = ByteBudget::new(
            limits.body_bytes_total,
            metrics.body_bytes.clone(),
        );
        Self {
            settings,
            incarnation,
            handle,
            engines,
            services: HttpClient::new(),
            single_calls: HttpClient::without_reuse(),
            metrics,
            stream_budget,
            body_budget: Arc::new(body_budget),
            credentials: CredentialCache::default(),
            sequence: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// A new request id.
    pub fn next_request(&self) -> RequestId {
        let sequence = self.next_sequence();
        let instance = &self.settings.instance;
        RequestId::build(instance, self.incarnation, sequence)
    }

    /// A number that rises with each use.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes that a planned stop has begun.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// What a request's task works with.
    pub fn task_tools(&self) -> TaskTools {
        TaskTools {
            handle: self.handle.clone(),
            engines: self.engines.clone(),
            metrics: self.metrics.clone(),
        }
    }
}

/// The context as handlers carry it.
#[derive(Clone, Debug)]
pub struct SharedContext(Arc<ServerContext>);

// gotham catches panics of handlers and asks for this. The locks in the
// context are taken with poisoning ignored, and no update spans two of them.
impl RefUnwindSafe for SharedContext {}
impl UnwindSafe for SharedContext {}

impl SharedContext {
    /// Shares a context.
    pub fn new(context: ServerContext) -> Self {
        Self(Arc::new(context))
    }
}

impl std::ops::Deref for SharedContext {
    type Target = ServerContext;

    fn deref(&self) -> &ServerContext {
        &self.0
    }
}
