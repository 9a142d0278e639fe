//! I/O around the gateway's decisions: listeners, clients and timers.
//!
//! All decisions are made by [`GatewayCore`]; the submodules here only carry
//! them out. Everything runs on one thread, since an instance has a fraction
//! of a CPU core. The core is locked for one decision at a time and never
//! across an await point.

mod body;
mod caller_listener;
mod crash_confirmation;
mod delegate;
mod delegation;
pub mod duties;
mod endpoints;
mod engine_orders;
mod event_queue;
mod forward;
mod heartbeats;
mod links;
mod listener;
mod memory_shares;
mod metrics;
mod peer_copies;
mod peer_listener;
mod planned_stop;
mod prompt_quarantine;
mod quarantine_trial;
mod record_applier;
mod registration;
mod reload;
mod reply_body;
mod reservations;
mod retry_loan;
mod scaling_metrics;
mod status_checks;
mod store_client;
mod stream;
mod topic_reader;
mod usage;
mod whole_answer;

use std::{
    fmt::Debug,
    io,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use borageline_lib::{
    gateway::{
        gateway_core::GatewayCore,
        gateway_settings::GatewaySettings,
        store_era::StoreEra,
        wire::{GatewayWire, StoreTopic},
    },
    log_event::LogEvent,
    units::{Incarnation, Timestamp},
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{Notify, watch},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::{
    crash_confirmation::CrashSuspicions,
    duties::DutyState,
    event_queue::ExitAge,
    memory_shares::GatewayMemory,
    metrics::GatewayMetrics,
    prompt_quarantine::QuarantineTasks,
    usage::{UsageMeter, UsageSocket},
};
use crate::{
    connection_probe::CONNECT_TIMEOUT, http_client::HttpClient,
    lingering_stream::StopState, log_decision,
};

/// Time for which callers may cache an answer of the directory.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Time for which new connections are accepted after a planned stop has begun.
/// By then most callers have queried the directory again. Others find the port
/// closed and use another address at once; a refusal would let them come back
/// to this one.
const STOP_ACCEPTING_AFTER: Duration =
    ADDRESS_TTL.saturating_add(Duration::from_millis(900));
/// Connect timeout for the store.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Connect timeout for other instances: far above the round-trip time.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// State that all tasks of a gateway share.
#[derive(Debug)]
pub struct GatewayContext<W> {
    settings: Mutex<Arc<GatewaySettings>>,
    wire: W,
    core: Mutex<GatewayCore>,
    metrics: GatewayMetrics,
    /// Client for upstreams. It opens a connection for each request, since a
    /// reused one that breaks leaves it unknown whether the request ran.
    upstreams: HttpClient,
    /// Client for the platform's store.
    store: HttpClient,
    /// Client for other instances.
    peers: HttpClient,
    /// Client for requests that other instances send for this one. It opens a
    /// connection for each request, for the same reason as `upstreams`.
    delegates: HttpClient,
    /// Notifies pending reads of other instances of a new record.
    copy_changes: watch::Sender<()>,
    /// Notifies the tasks that use the store that it was restored.
    store_eras: watch::Sender<Option<StoreEra>>,
    /// Records of the quarantine to write to the store, and the requests that
    /// wait while a quarantine may begin.
    quarantine: QuarantineTasks,
    suspicions: CrashSuspicions,
    /// Lease of the singleton duties.
    duties: DutyState,
    /// Counts of the requests that upstreams begin to run.
    usage: Arc<UsageMeter>,
    usage_socket: UsageSocket,
    started: Instant,
    /// Notifies requests that are open that a planned stop has begun.
    stop_begun: watch::Sender<bool>,
    exit_age: ExitAge,
    open_connections: AtomicU64,
    /// Requests whose response head was not returned yet.
    open_requests: AtomicU64,
    /// Memory held for callers and upstreams.
    memory: Arc<GatewayMemory>,
    /// Wakes the heartbeat task before its interval is over.
    heartbeat_due: Notify,
    /// Wakes the task that probes upstreams.
    probe_due: Notify,
    /// Wakes the task that checks the status of upstreams.
    status_check_due: Notify,
    /// Connections of requests that this instance sends for others.
    delegated_requests: TaskTracker,
}

/// Reference-counted [`GatewayContext`].
pub type SharedGateway<W> = Arc<GatewayContext<W>>;

impl<W: GatewayWire> GatewayContext<W> {
    fn new(settings: GatewaySettings, wire: W) -> Self {
        let settings = Arc::new(settings);
        let account_bytes = settings.account_bytes();
        let upstream_buffer = settings.upstream_receive_buffer();
        let incarnation = Incarnation::new(unix_millis());
        let usage = Arc::new(UsageMeter::new(&settings, incarnation));
        let core =
            GatewayCore::new(settings.clone(), incarnation, rand::random());
        Self {
            settings: Mutex::new(settings),
            wire,
            core: Mutex::new(core),
            metrics: GatewayMetrics::new(),
            upstreams: HttpClient::without_reuse_with_receive_buffer(
                CONNECT_TIMEOUT,
                upstream_buffer,
            ),
            store: HttpClient::with_connect_timeout(STORE_CONNECT_TIMEOUT),
            peers: HttpClient::with_connect_timeout(PEER_CONNECT_TIMEOUT),
            delegates: HttpClient::without_reuse_with_receive_buffer(
                PEER_CONNECT_TIMEOUT,
                upstream_buffer,
            ),
            copy_changes: watch::Sender::new(()),
            store_eras: watch::Sender::new(None),
            quarantine: QuarantineTasks::default(),
            suspicions: CrashSuspicions::default(),
            duties: DutyState::default(),
            usage,
            usage_socket: UsageSocket::default(),
            started: Instant::now(),
            stop_begun: watch::Sender::new(false),
            exit_age: ExitAge::default(),
            open_connections: AtomicU64::new(0),
            open_requests: AtomicU64::new(0),
            memory: Arc::new(GatewayMemory::new(account_bytes)),
            heartbeat_due: Notify::new(),
            probe_due: Notify::new(),
            status_check_due: Notify::new(),
            delegated_requests: TaskTracker::new(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    fn core(&self) -> MutexGuard<'_, GatewayCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn settings(&self) -> Arc<GatewaySettings> {
        self.settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Wakes requests of other instances that wait for a new record of a
    /// topic.
    fn notify_copy_readers(&self, topic: StoreTopic) {
        // Only reads of the control topic use a long poll.
        if topic == StoreTopic::Control {
            self.copy_changes.send_replace(());
        }
    }

    fn is_stopping(&self) -> bool {
        *self.stop_begun.borrow()
    }
}

impl<W: GatewayWire> StopState for SharedGateway<W> {
    fn is_stopping(&self) -> bool {
        GatewayContext::is_stopping(self)
    }
}

/// Time of day in milliseconds since 1970; zero before.
pub(crate) fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Runs a gateway until SIGTERM, and then until its requests are complete or
/// the grace period is over. `path` is the settings file, which is watched for
/// changes.
pub async fn run_gateway<W: GatewayWire>(
    path: PathBuf,
    settings: GatewaySettings,
    wire: W,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let context = Arc::new(GatewayContext::new(settings, wire));
    let settings = context.settings();
    log_decision!(
        LogEvent::InstanceStarted,
        { instance = settings.instance, domain = settings.failure_domain },
        "gateway starting at {}", settings.ip,
    );
    let stop = CancellationToken::new();
    let callers = caller_listener::serve(context.clone(), stop.clone())?;
    heartbeats::start(&context).await?;
    peer_listener::serve(&context)?;
    // The metrics are served at a fixed port, which may be that of the peers.
    endpoints::serve(&context)?;
    links::start(&context);
    status_checks::start(&context);
    topic_reader::start(&context);
    registration::start(&context);
    prompt_quarantine::start(&context);
    usage::start(&context);
    let duties = duties::start(&context);
    engine_orders::start(&context);
    reload::start(&context, path)?;
    terminate.recv().await;
    let planned = planned_stop::begin(&context);
    // A short grace period has to leave the last connections time for answers.
    let accept_time = planned.ends_at().since(context.now()) / 2;
    tokio::time::sleep(STOP_ACCEPTING_AFTER.min(accept_time)).await;
    stop.cancel();
    context.delegated_requests.close();
    let requests = async {
        callers.await;
        // Others are received until the last caller is answered.
        context.delegated_requests.wait().await;
        if let Some(duties) = duties {
            // A panic there does not prolong the stop.
            let _ = duties.await;
        }
    };
    let left = planned.exits_by().since(context.now());
    let drained = tokio::time::timeout(left, requests).await.is_ok();
    log_decision!(
        LogEvent::StopDone,
        {
            drained = drained,
            requests = context.open_requests.load(Ordering::Relaxed),
        },
        "planned stop complete",
    );
    usage::finish(&context).await;
    // The connections that are left end with the runtime.
    let exit_age = context.now().since(planned.begun_at());
    context.exit_age.get_or_init(|| exit_age);
    Ok(())
}
