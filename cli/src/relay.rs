//! Connections to upstreams through other instances, for `borageline serve`.
//!
//! An instance may lose its own links to upstreams while callers and the other
//! instances still reach it. If a connection to an upstream is not established,
//! or not soon, another instance is asked to connect to it and to pass the bytes
//! on in both directions. All else stays where it was: the owner of an engine
//! grants its memory, the claim of an idempotency key is made where the caller
//! is connected, and a connection that breaks is the same for both kinds.
//!
//! `connector` races both ways, `server` is the side that passes bytes on. It
//! connects to upstreams directly only, so that no connection is passed on
//! twice, and asks its own list for their addresses.

mod connector;
mod server;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use borageline_lib::{
    ids::UpstreamId,
    log_event::LogEvent,
    peer_api::{PeerRequest, PeerResponse, RelayToken},
};
use futures::{StreamExt, stream::FuturesUnordered};
use prometheus::IntCounter;
use rand::seq::IndexedRandom;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::Instant};

pub(crate) use self::connector::require_incarnation;
pub use self::{
    connector::{RelayedConnection, UpstreamConnector},
    server::RelayServer,
};
use crate::{core_handle::CoreHandle, log_decision, peers::PeerPool};

/// First bytes of a connection that is to be passed on. The first byte cannot
/// begin a message between instances: these start with the length of a frame,
/// of which the first byte is zero.
const RELAY_MAGIC: [u8; 4] = *b"rly1";
/// Instances that are asked at once. One of them may be cut off as well.
const INSTANCES_ASKED: usize = 2;
/// Most instances that are asked for one connection.
const INSTANCES_MAX: usize = 4;
/// Time for an instance to connect to the upstream and to answer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an instance that did not reach an upstream is asked last.
const AVOIDANCE: Duration = Duration::from_secs(1);
/// Time for which own links count as lost after a connection was established
/// only through another instance. Direct connections are still attempted
/// meanwhile, and used if they are established first.
const LOSS_MEMORY: Duration = Duration::from_secs(2);

/// What opening a connection needs; known once the instance runs.
#[derive(Debug)]
struct RelayContext {
    handle: CoreHandle,
    peers: PeerPool,
}

#[derive(Debug)]
struct RelayState {
    context: OnceLock<RelayContext>,
    own_links: Mutex<Option<LinkLoss>>,
    avoided_until: Mutex<BTreeMap<SocketAddr, Instant>>,
    relayed: IntCounter,
}

/// Evidence that own links are lost.
#[derive(Clone, Copy, Debug)]
struct LinkLoss {
    /// First connection that was established only through another instance.
    since: Instant,
    /// Last such connection.
    seen_at: Instant,
}

impl LinkLoss {
    fn is_recent(&self) -> bool {
        self.seen_at.elapsed() < LOSS_MEMORY
    }
}

/// Opens connections to upstreams through other instances; clones share what is
/// known of the links.
#[derive(Clone, Debug)]
pub struct RelayClient {
    state: Arc<RelayState>,
}

impl RelayClient {
    /// Creates a client that counts its connections in `relayed`. It opens none
    /// before [`Self::attach`].
    pub fn new(relayed: IntCounter) -> Self {
        let state = RelayState {
            context: OnceLock::new(),
            own_links: Mutex::default(),
            avoided_until: Mutex::default(),
            relayed,
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Sets the core that knows the upstreams and instances, and the
    /// connections to these.
    pub fn attach(&self, handle: CoreHandle, peers: PeerPool) {
        let context = RelayContext { handle, peers };
        // A second call would name the same instance.
        let _ = self.state.context.set(context);
    }

    /// Whether connections were lately established only through other
    /// instances.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost_since().is_some()
    }

    /// Since when own links have been lost; `None` if they are not.
    pub(crate) fn lost_since(&self) -> Option<Instant> {
        let loss = (*self.own_links()).filter(LinkLoss::is_recent);
        loss.map(|loss| loss.since)
    }

    fn record_loss(&self) {
        let seen_at = Instant::now();
        let mut own_links = self.own_links();
        let loss = own_links.filter(LinkLoss::is_recent);
        let since = loss.map_or(seen_at, |loss| loss.since);
        *own_links = Some(LinkLoss { since, seen_at });
    }

    fn own_links(&self) -> MutexGuard<'_, Option<LinkLoss>> {
        let own_links = self.state.own_links.lock();
        own_links.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether another instance connects to the upstream at an address.
    pub async fn is_reached_elsewhere(&self, address: SocketAddr) -> bool {
        let opened = self.open(address);
        let opened = tokio::time::timeout(OPEN_TIMEOUT, opened).await;
        matches!(opened, Ok(Some(_)))
    }

    /// Connects to the upstream at an address through another instance. `None`
    /// if no instance that was asked reaches it.
    pub(crate) async fn open(&self, address: SocketAddr) -> Option<TcpStream> {
        let context = self.state.context.get()?;
        let published = context.handle.published();
        let upstream = published.upstream_at(address)?;
        let mut waiting = self.choose_instances(&published.peers).into_iter();
        let ask = |to| context.open_through(to, &upstream);
        let mut asked: FuturesUnordered<_> =
            waiting.by_ref().take(INSTANCES_ASKED).map(ask).collect();
        while let Some((to, opened)) = asked.next().await {
            if let Some(stream) = opened {
                self.state.relayed.inc();
                log_decision!(
                    LogEvent::UpstreamRelayed,
                    { upstream = upstream, address = address, instance = to },
                    "{upstream} is reached through {to}",
                );
                return Some(stream);
            }
            self.avoid(to);
            asked.extend(waiting.next().map(ask));
        }
        None
    }

    /// Random instances, of which those that reached no upstream a moment ago
    /// come last.
    fn choose_instances(&self, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = Instant::now();
        let avoided_until = self.state.avoided_until.lock();
        let mut avoided_until =
            avoided_until.unwrap_or_else(PoisonError::into_inner);
        avoided_until.retain(|_, until| now < *until);
        let is_avoided = |peer: &SocketAddr| avoided_until.contains_key(peer);
        let (avoided, mut chosen): (Vec<_>, Vec<_>) =
            peers.iter().copied().partition(is_avoided);
        let mut rng = rand::rng();
        chosen = chosen
            .choose_multiple(&mut rng, INSTANCES_MAX)
            .copied()
            .collect();
        let rest = INSTANCES_MAX - chosen.len();
        chosen.extend(avoided.choose_multiple(&mut rng, rest));
        chosen
    }

    fn avoid(&self, peer: SocketAddr) {
        let avoided_until = self.state.avoided_until.lock();
        avoided_until
            .unwrap_or_else(PoisonError::into_inner)
            .insert(peer, Instant::now() + AVOIDANCE);
    }
}

impl RelayContext {
    /// Asks one instance to connect to an upstream.
    async fn open_through(
        &self,
        to: SocketAddr,
        upstream: &UpstreamId,
    ) -> (SocketAddr, Option<TcpStream>) {
        let message = PeerRequest::OpenRelay(upstream.clone());
        let answer = self.peers.call(to, message, OPEN_TIMEOUT).await;
        let stream = match answer {
            Ok(PeerResponse::RelayOpened(Some(token))) => {
                join(to, token).await.ok()
            }
            _ => None,
        };
        (to, stream)
    }
}

/// Makes the connection that another instance joins to its own.
async fn join(to: SocketAddr, token: RelayToken) -> std::io::Result<TcpStream> {
    let mut stream = connector::connect(to).await?;
    let mut head = RELAY_MAGIC.to_vec();
    head.extend(token.0);
    stream.write_all(&head).await?;
    Ok(stream)
}
