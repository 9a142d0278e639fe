//! State that the HTTP handlers of one instance share.

use std::{
    panic::{RefUnwindSafe, UnwindSafe},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
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
    http_client::CONNECT_TIMEOUT,
    lingering_stream::StopState,
    metrics::ServerMetrics,
    quarantine::RequestQuarantine,
    relay::RelayClient,
    request_task::TaskContext,
    stop_signal::StopSignal,
    upstream_client::UpstreamClient,
};

/// State that the HTTP handlers of one instance share.
#[derive(Debug)]
pub struct ServerContext {
    /// Settings, with the addresses to which the listeners are bound.
    pub settings: Arc<InstanceSettings>,
    /// Incarnation of the instance, which makes request ids unique.
    pub incarnation: Incarnation,
    /// Handle of the serving core.
    pub handle: CoreHandle,
    /// Client for engines.
    pub engines: EngineClient,
    /// Client for idempotent calls to plain services; reuses connections.
    pub retry_client: UpstreamClient,
    /// Client for calls to plain services that must run at most once; makes a
    /// connection for each call.
    pub at_most_once_client: UpstreamClient,
    /// Requests that crash upstreams.
    pub quarantine: Arc<RequestQuarantine>,
    /// Metrics of the instance.
    pub metrics: Arc<ServerMetrics>,
    /// Limit on the bytes buffered for streamed completions.
    pub stream_budget: StreamBudget,
    /// Limit on the bytes buffered for request bodies and for completions that
    /// are not streamed.
    pub body_budget: Arc<ByteBudget>,
    /// Index of the keys in the newest configuration.
    pub credentials: CredentialCache,
    sequence: AtomicU64,
    /// Planned stop of the instance.
    pub stop: StopSignal,
}

impl ServerContext {
    /// Creates the state; the budgets come from the limits in the settings.
    pub fn new(
        settings: Arc<InstanceSettings>,
        incarnation: Incarnation,
        handle: CoreHandle,
        engines: EngineClient,
        relays: RelayClient,
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
        let stop = StopSignal::new(handle.clock());
        let own_address = settings.caller_address;
        let quarantine =
            RequestQuarantine::new(handle.clock(), own_address, relays.clone());
        Self {
            settings,
            incarnation,
            handle,
            engines,
            quarantine: Arc::new(quarantine),
            retry_client: UpstreamClient::new(CONNECT_TIMEOUT, relays.clone()),
            at_most_once_client: UpstreamClient::without_reuse(
                CONNECT_TIMEOUT,
                relays,
            ),
            metrics,
            stream_budget,
            body_budget: Arc::new(body_budget),
            credentials: CredentialCache::default(),
            sequence: AtomicU64::new(0),
            stop,
        }
    }

    /// Creates a request id.
    pub fn next_request(&self) -> RequestId {
        let sequence = self.next_sequence();
        let instance = &self.settings.instance;
        RequestId::build(instance, self.incarnation, sequence)
    }

    /// Returns a number that increases with each call.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.schedule().is_some()
    }

    /// State for the task of one request.
    pub fn task_context(&self) -> TaskContext {
        TaskContext {
            handle: self.handle.clone(),
            engines: self.engines.clone(),
            quarantine: self.quarantine.clone(),
            metrics: self.metrics.clone(),
            stop: self.stop.clone(),
        }
    }
}

/// Reference-counted [`ServerContext`], cloned for each request.
#[derive(Clone, Debug)]
pub struct SharedContext(Arc<ServerContext>);

// gotham catches panics of handlers and therefore requires unwind safety. The
// locks in the context ignore poisoning, and no update needs two of them, so a
// panic leaves no partial update behind.
impl RefUnwindSafe for SharedContext {}
impl UnwindSafe for SharedContext {}

impl SharedContext {
    /// Wraps a context.
    pub fn new(context: ServerContext) -> Self {
        Self(Arc::new(context))
    }
}

impl StopState for SharedContext {
    fn is_stopping(&self) -> bool {
        ServerContext::is_stopping(self)
    }
}

impl std::ops::Deref for SharedContext {
    type Target = ServerContext;

    fn deref(&self) -> &ServerContext {
        &self.0
    }
}
