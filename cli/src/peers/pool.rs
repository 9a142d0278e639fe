//! The calling side: one cached connection per address.

use std::{
    collections::BTreeMap,
    fmt::Display,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use borageline_lib::{
    core::CallFailure,
    ids::InstanceId,
    peer_api::{PEER_VERSION, PeerEnvelope, PeerMessage, PeerReply},
    refusal::RunState,
    units::Incarnation,
};
use tarpc::client::{Config, NewClient, RpcError};
use tokio::{
    net::TcpStream,
    sync::{Mutex as AsyncMutex, Semaphore},
    task::AbortHandle,
    time::timeout_at,
};

use super::{
    IN_FLIGHT_MAX, TrafficCount, TrafficMeter, link::PeerLinkClient,
    make_proof, make_transport,
};
use crate::traffic::{CountedStream, ReadMeter};

/// Connections without calls for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks for idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Who calls, and with which secret.
#[derive(Clone, Debug)]
pub struct PoolSetup {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Secret shared by the instances of the fleet.
    pub secret: Arc<str>,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
}

impl PoolSetup {
    /// Setup with the usual idle timeout.
    pub fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        secret: Arc<str>,
    ) -> Self {
        Self {
            instance,
            incarnation,
            secret,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    /// Sets the idle time after which a connection is closed.
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            ..self
        }
    }
}

/// Calls peers over cached connections; clones share them.
#[derive(Clone, Debug)]
pub struct PeerPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    setup: PoolSetup,
    meter: TrafficMeter,
    slots: Mutex<BTreeMap<SocketAddr, Arc<PeerSlot>>>,
    sweeping: AtomicBool,
}

/// One address: its connection, if any, and the calls on it.
#[derive(Debug)]
struct PeerSlot {
    permits: Semaphore,
    /// Held while connecting, so that attempts never overlap.
    link: AsyncMutex<Option<Arc<PeerLink>>>,
    used: Mutex<Instant>,
}

/// One authenticated connection.
#[derive(Debug)]
struct PeerLink {
    client: PeerLinkClient,
    proof: Arc<str>,
    meter: Arc<ReadMeter>,
    dispatch: AbortHandle,
    /// Set when the next call is to make a new connection.
    broken: AtomicBool,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        // Closing in order would wait for unsent bytes, which a peer behind a
        // partition never takes.
        self.dispatch.abort();
    }
}

impl PeerPool {
    /// Builds a pool without connections.
    pub fn new(setup: PoolSetup) -> Self {
        let shared = PoolShared {
            setup,
            meter: TrafficMeter::new(),
            slots: Mutex::default(),
            sweeping: AtomicBool::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Bytes exchanged so far over the pool's connections, and over the
    /// server's if it shares [`Self::meter`].
    pub fn traffic(&self) -> TrafficCount {
        self.shared.meter.count()
    }

    /// Counter to share with [`super::serve_peers_metered`].
    pub fn meter(&self) -> TrafficMeter {
        self.shared.meter.clone()
    }

    /// Number of addresses with a connection or a recent call.
    pub fn connections(&self) -> usize {
        self.shared.lock_slots().len()
    }

    /// Sends a message and waits for the reply, never longer than `timeout`.
    pub async fn call(
        &self,
        to: SocketAddr,
        message: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerReply, CallFailure> {
        self.start_sweeper();
        let now = Instant::now();
        let deadline = now.checked_add(timeout).unwrap_or(now);
        let slot = self.shared.slot(to);
        let limit = deadline.into();
        let permit = timeout_at(limit, slot.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            let cause = format!("{IN_FLIGHT_MAX} calls are in flight already");
            return Err(not_run("peer call", to, cause));
        };
        let link = match timeout_at(limit, self.link(&slot, to, deadline)).await
        {
            Ok(link) => link?,
            Err(_) => {
                let cause = format!("not done within {timeout:?}");
                return Err(not_run("peer connection", to, cause));
            }
        };
        let received = link.meter.bytes();
        let result = link.exchange(&self.shared.setup, message, deadline).await;
        *slot.used.lock().unwrap_or_else(PoisonError::into_inner) =
            Instant::now();
        let error = match result {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let silent = link.meter.bytes() == received;
        if may_be_broken(&error, silent) {
            link.broken.store(true, Ordering::Relaxed);
        }
        let run_state = match error {
            // The peer refuses a request with an error of the server only
            // before it hands it on, when too many run.
            RpcError::Send(_) | RpcError::Server(_) => RunState::NotRun,
            _ => RunState::MayHaveRun,
        };
        Err(failure(
            run_state,
            "peer call",
            to,
            describe(&error, timeout),
        ))
    }

    async fn link(
        &self,
        slot: &PeerSlot,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<Arc<PeerLink>, CallFailure> {
        let mut cached = slot.link.lock().await;
        if let Some(link) = cached.as_ref()
            && link.is_usable()
        {
            return Ok(link.clone());
        }
        *cached = None;
        let link = Arc::new(self.connect(to, deadline).await?);
        *cached = Some(link.clone());
        Ok(link)
    }

    async fn connect(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<PeerLink, CallFailure> {
        let setup = &self.shared.setup;
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| not_run("peer connection", to, error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_run("peer connection", to, error))?;
        let stream = CountedStream::new(stream, self.shared.meter.clone());
        let meter = stream.meter();
        let NewClient { client, dispatch } =
            PeerLinkClient::new(Config::default(), make_transport(stream));
        let dispatch = tokio::spawn(async move {
            // Its error also ends every call, which reports it.
            let _ = dispatch.await;
        });
        let mut link = PeerLink {
            client,
            proof: "".into(),
            meter,
            dispatch: dispatch.abort_handle(),
            broken: AtomicBool::new(false),
        };
        let challenge = link
            .client
            .challenge(context_until(deadline))
            .await
            .map_err(|error| not_run("peer challenge", to, error))?;
        if !challenge.versions.contains(&PEER_VERSION) {
            let versions = challenge.versions;
            let cause = format!(
                "peer understands versions {versions:?}, not {PEER_VERSION}",
            );
            return Err(not_run("peer challenge", to, cause));
        }
        link.proof = make_proof(
            &setup.secret,
            PEER_VERSION,
            &setup.instance,
            setup.incarnation.get(),
            &challenge.nonce,
        )
        .into();
        Ok(link)
    }

    fn start_sweeper(&self) {
        if self.shared.sweeping.swap(true, Ordering::Relaxed) {
            return;
        }
        let shared = Arc::downgrade(&self.shared);
        let period = SWEEP_PERIOD.min(self.shared.setup.idle_timeout);
        tokio::spawn(sweep_idle(shared, period));
    }
}

impl PeerLink {
    fn is_usable(&self) -> bool {
        let broken = self.broken.load(Ordering::Relaxed);
        !broken && !self.dispatch.is_finished()
    }

    async fn exchange(
        &self,
        setup: &PoolSetup,
        message: PeerMessage,
        deadline: Instant,
    ) -> Result<PeerReply, RpcError> {
        let envelope = PeerEnvelope {
            version: PEER_VERSION,
            from: setup.instance.clone(),
            incarnation: setup.incarnation,
            proof: self.proof.clone(),
            message,
        };
        let context = context_until(deadline);
        let call = self.client.exchange(context, envelope);
        // The deadline of the context alone does not end a call that waits
        // for room in the dispatch's queue.
        match timeout_at(deadline.into(), call).await {
            Ok(result) => result,
            Err(_) => Err(RpcError::DeadlineExceeded),
        }
    }
}

impl PoolShared {
    fn lock_slots(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Arc<PeerSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot(&self, to: SocketAddr) -> Arc<PeerSlot> {
        let mut slots = self.lock_slots();
        slots.entry(to).or_insert_with(PeerSlot::new).clone()
    }

    fn drop_idle(&self) {
        let limit = self.setup.idle_timeout;
        self.lock_slots().retain(|_, slot| !slot.is_idle(limit));
    }
}

impl PeerSlot {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            permits: Semaphore::new(IN_FLIGHT_MAX),
            link: AsyncMutex::new(None),
            used: Mutex::new(Instant::now()),
        })
    }

    fn is_idle(&self, limit: Duration) -> bool {
        let used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        let quiet = used.elapsed() >= limit;
        quiet && self.permits.available_permits() == IN_FLIGHT_MAX
    }
}

async fn sweep_idle(shared: Weak<PoolShared>, period: Duration) {
    loop {
        tokio::time::sleep(period).await;
        match shared.upgrade() {
            Some(shared) => shared.drop_idle(),
            None => return,
        }
    }
}

/// Whether the next call needs a new connection.
///
/// A call that timed out on a connection on which nothing else came either
/// points to a lost route; TCP alone would notice only after minutes.
fn may_be_broken(error: &RpcError, silent: bool) -> bool {
    match error {
        RpcError::DeadlineExceeded => silent,
        RpcError::Send(_) | RpcError::Server(_) => false,
        RpcError::Shutdown | RpcError::Channel(_) => true,
    }
}

fn describe(error: &RpcError, timeout: Duration) -> String {
    match error {
        RpcError::DeadlineExceeded => {
            format!("no reply within {timeout:?}")
        }
        RpcError::Send(cause) => format!("message not sent: {cause}"),
        RpcError::Channel(cause) => format!("connection failed: {cause}"),
        other => other.to_string(),
    }
}

fn context_until(deadline: Instant) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    context
}

fn not_run(
    step: &'static str,
    peer: SocketAddr,
    cause: impl Display,
) -> CallFailure {
    failure(RunState::NotRun, step, peer, cause)
}

fn failure(
    run_state: RunState,
    step: &'static str,
    peer: SocketAddr,
    cause: impl Display,
) -> CallFailure {
    let message = format!("{step} to {peer}: {cause}");
    CallFailure {
        run_state,
        message: message.into(),
    }
}
