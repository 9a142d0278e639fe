//! Client side of the calls between instances: a pool with one connection per
//! address.

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
    peer_api::{PEER_VERSION, PeerEnvelope, PeerRequest, PeerResponse},
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
/// Time between two checks for idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Identity and settings of a pool.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Id of this instance, sent with each message.
    pub instance: InstanceId,
    /// Incarnation of this instance, sent with each message.
    pub incarnation: Incarnation,
    /// Secret shared by the instances of the fleet; never sent.
    pub secret: Arc<str>,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
}

impl PoolConfig {
    /// Creates a configuration with the default idle timeout of 60 s.
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

/// Calls peers over pooled connections; clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    config: PoolConfig,
    meter: TrafficMeter,
    peers: Mutex<BTreeMap<SocketAddr, Arc<PooledPeer>>>,
    sweeper_started: AtomicBool,
}

/// One address with its connection, if there is one.
#[derive(Debug)]
struct PooledPeer {
    permits: Semaphore,
    /// Locked while connecting, so that only one attempt runs at a time.
    connection: AsyncMutex<Option<Arc<PeerConnection>>>,
    last_used: Mutex<Instant>,
}

/// One connection, with the proof that authenticates its messages.
#[derive(Debug)]
struct PeerConnection {
    client: PeerLinkClient,
    proof: Arc<str>,
    meter: Arc<ReadMeter>,
    dispatch: AbortHandle,
    /// Versions that the server lists.
    versions: Vec<u16>,
    /// Set if the next call must make a new connection.
    broken: AtomicBool,
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        // An orderly shutdown would wait for unsent bytes to be acknowledged,
        // which never happens while a partition separates the peer.
        self.dispatch.abort();
    }
}

impl PeerPool {
    /// Builds a pool without connections.
    pub fn new(config: PoolConfig) -> Self {
        let shared = PoolShared {
            config,
            meter: TrafficMeter::new(),
            peers: Mutex::default(),
            sweeper_started: AtomicBool::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Bytes exchanged so far over the pool's connections, and over those of
    /// the server if it shares [`Self::meter`].
    pub fn traffic(&self) -> TrafficCount {
        self.shared.meter.count()
    }

    /// Meter that [`super::serve_peers_metered`] can share.
    pub fn meter(&self) -> TrafficMeter {
        self.shared.meter.clone()
    }

    /// Number of addresses with a connection or a recent call.
    pub fn connections(&self) -> usize {
        self.shared.lock_peers().len()
    }

    /// Sends a message and waits for the reply, never longer than `timeout`.
    pub async fn call(
        &self,
        to: SocketAddr,
        message: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, CallFailure> {
        self.ensure_sweeper();
        let now = Instant::now();
        let deadline = now.checked_add(timeout).unwrap_or(now);
        let peer = self.shared.peer(to);
        let limit = deadline.into();
        let permit = timeout_at(limit, peer.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            let cause = format!("{IN_FLIGHT_MAX} calls are in flight");
            return Err(not_run_failure("peer call", to, cause));
        };
        let connection =
            match timeout_at(limit, self.connection(&peer, to, deadline)).await
            {
                Ok(connection) => connection?,
                Err(_) => {
                    let cause = format!("not made within {timeout:?}");
                    return Err(not_run_failure("peer connection", to, cause));
                }
            };
        let version = message.required_version();
        if !connection.versions.contains(&version) {
            let cause = format!("peer does not support version {version}");
            return Err(not_run_failure("peer call", to, cause));
        }
        let received = connection.meter.bytes();
        let result = connection
            .exchange(&self.shared.config, message, deadline)
            .await;
        *peer
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
        let error = match result {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let nothing_received = connection.meter.bytes() == received;
        if may_be_broken(&error, nothing_received) {
            connection.broken.store(true, Ordering::Relaxed);
        }
        let run_state = match error {
            // A peer returns a server error only for a request that it
            // refuses before handling it, because too many are running.
            RpcError::Send(_) | RpcError::Server(_) => RunState::NotRun,
            _ => RunState::MayHaveRun,
        };
        Err(call_failure(
            run_state,
            "peer call",
            to,
            describe(&error, timeout),
        ))
    }

    async fn connection(
        &self,
        peer: &PooledPeer,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<Arc<PeerConnection>, CallFailure> {
        let mut cached = peer.connection.lock().await;
        if let Some(connection) = cached.as_ref()
            && connection.is_usable()
        {
            return Ok(connection.clone());
        }
        *cached = None;
        let connection = Arc::new(self.connect(to, deadline).await?);
        *cached = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<PeerConnection, CallFailure> {
        let config = &self.shared.config;
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| not_run_failure("peer connection", to, error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_run_failure("peer connection", to, error))?;
        let stream = CountedStream::new(stream, self.shared.meter.clone());
        let meter = stream.meter();
        let NewClient { client, dispatch } =
            PeerLinkClient::new(Config::default(), make_transport(stream));
        let dispatch = tokio::spawn(async move {
            // An error also fails every call on the connection, and is
            // reported there.
            let _ = dispatch.await;
        });
        let mut connection = PeerConnection {
            client,
            proof: "".into(),
            meter,
            dispatch: dispatch.abort_handle(),
            versions: Vec::new(),
            broken: AtomicBool::new(false),
        };
        let challenge = connection
            .client
            .challenge(context_with_deadline(deadline))
            .await
            .map_err(|error| not_run_failure("peer challenge", to, error))?;
        if !challenge.versions.contains(&PEER_VERSION) {
            let versions = challenge.versions;
            let cause = format!(
                "peer supports versions {versions:?}, not {PEER_VERSION}",
            );
            return Err(not_run_failure("peer challenge", to, cause));
        }
        connection.versions = challenge.versions;
        connection.proof = make_proof(
            &config.secret,
            PEER_VERSION,
            &config.instance,
            config.incarnation.get(),
            &challenge.nonce,
        )
        .into();
        Ok(connection)
    }

    fn ensure_sweeper(&self) {
        if self.shared.sweeper_started.swap(true, Ordering::Relaxed) {
            return;
        }
        let shared = Arc::downgrade(&self.shared);
        let period = SWEEP_PERIOD.min(self.shared.config.idle_timeout);
        tokio::spawn(sweep_idle(shared, period));
    }
}

impl PeerConnection {
    fn is_usable(&self) -> bool {
        let broken = self.broken.load(Ordering::Relaxed);
        !broken && !self.dispatch.is_finished()
    }

    async fn exchange(
        &self,
        config: &PoolConfig,
        message: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerResponse, RpcError> {
        let envelope = PeerEnvelope {
            version: PEER_VERSION,
            from: config.instance.clone(),
            incarnation: config.incarnation,
            proof: self.proof.clone(),
            message,
        };
        let context = context_with_deadline(deadline);
        let call = self.client.exchange(context, envelope);
        // The deadline in the context does not apply while a call waits for
        // room in the dispatch's queue, so it is enforced here too.
        match timeout_at(deadline.into(), call).await {
            Ok(result) => result,
            Err(_) => Err(RpcError::DeadlineExceeded),
        }
    }
}

impl PoolShared {
    fn lock_peers(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Arc<PooledPeer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peer(&self, to: SocketAddr) -> Arc<PooledPeer> {
        let mut peers = self.lock_peers();
        peers.entry(to).or_insert_with(PooledPeer::new).clone()
    }

    fn drop_idle(&self) {
        let limit = self.config.idle_timeout;
        self.lock_peers().retain(|_, peer| !peer.is_idle(limit));
    }
}

impl PooledPeer {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            permits: Semaphore::new(IN_FLIGHT_MAX),
            connection: AsyncMutex::new(None),
            last_used: Mutex::new(Instant::now()),
        })
    }

    fn is_idle(&self, limit: Duration) -> bool {
        let last_used = self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let idle = last_used.elapsed() >= limit;
        idle && self.permits.available_permits() == IN_FLIGHT_MAX
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

/// Whether a failed call means that the next one needs a new connection.
///
/// If a call timed out and nothing else was received on the connection
/// meanwhile, the network path has probably failed; TCP alone would detect
/// that only after minutes.
fn may_be_broken(error: &RpcError, nothing_received: bool) -> bool {
    match error {
        RpcError::DeadlineExceeded => nothing_received,
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

fn context_with_deadline(deadline: Instant) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    context
}

fn not_run_failure(
    step: &'static str,
    peer: SocketAddr,
    cause: impl Display,
) -> CallFailure {
    call_failure(RunState::NotRun, step, peer, cause)
}

fn call_failure(
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
