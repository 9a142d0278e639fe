//! Passes the bytes of connections on between instances and upstreams.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::peer_api::RelayToken;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};
use tokio_util::task::TaskTracker;

use super::{RELAY_MAGIC, RelayClient};

/// Time to connect to an upstream for another instance.
const DIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for the other instance to make the connection that it asked for.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Most connections that are passed on at once; 16 kB of buffers each.
const RELAYS_MAX: usize = 512;

/// A connection to an upstream that waits for that of the other instance.
#[derive(Debug)]
struct PendingRelay {
    upstream: TcpStream,
    permit: OwnedSemaphorePermit,
}

/// Connections that this instance passes on for others.
#[derive(Debug)]
pub struct RelayServer {
    /// What this instance knows of its own links.
    own_links: RelayClient,
    pending: Mutex<BTreeMap<RelayToken, PendingRelay>>,
    permits: Arc<Semaphore>,
    relays: TaskTracker,
}

impl RelayServer {
    /// Creates a server without connections.
    pub fn new(own_links: RelayClient) -> Arc<Self> {
        Arc::new(Self {
            own_links,
            pending: Mutex::default(),
            permits: Arc::new(Semaphore::new(RELAYS_MAX)),
            relays: TaskTracker::new(),
        })
    }

    fn lock_pending(
        &self,
    ) -> MutexGuard<'_, BTreeMap<RelayToken, PendingRelay>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects to an upstream for another instance. `None` if that fails, or if
    /// this instance is stopping, has too many such connections or has lost its
    /// own links.
    pub async fn open(
        self: &Arc<Self>,
        upstream: SocketAddr,
    ) -> Option<RelayToken> {
        if self.relays.is_closed() || self.own_links.is_lost() {
            return None;
        }
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let connect = TcpStream::connect(upstream);
        let upstream = timeout(DIAL_TIMEOUT, connect).await.ok()?.ok()?;
        // Without the option, small writes are only slower.
        let _ = upstream.set_nodelay(true);
        let token = RelayToken(rand::random());
        let relay = PendingRelay { upstream, permit };
        self.lock_pending().insert(token, relay);
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(JOIN_TIMEOUT).await;
            server.lock_pending().remove(&token);
        });
        Some(token)
    }

    /// Whether a connection that begins with this byte is to be passed on.
    pub(crate) fn is_relay(first_byte: u8) -> bool {
        first_byte == RELAY_MAGIC[0]
    }

    /// Joins a connection of another instance to the one that it asked for, and
    /// passes bytes on until either ends.
    pub(crate) async fn serve(&self, mut stream: TcpStream) {
        let mut head = [0; RELAY_MAGIC.len() + size_of::<RelayToken>()];
        let read = timeout(JOIN_TIMEOUT, stream.read_exact(&mut head)).await;
        let Ok(Ok(_)) = read else {
            return;
        };
        let (magic, token) = head.split_at(RELAY_MAGIC.len());
        let Ok(token) = token.try_into().map(RelayToken) else {
            return;
        };
        if magic != RELAY_MAGIC {
            return;
        }
        let relay = self.lock_pending().remove(&token);
        if let Some(relay) = relay {
            // Without the option, small writes are only slower.
            let _ = stream.set_nodelay(true);
            let pass = pass_on(stream, relay.upstream);
            self.relays.track_future(pass).await;
            drop(relay.permit);
        }
    }

    /// Opens no further connections.
    pub fn stop(&self) {
        self.relays.close();
    }

    /// Waits until all connections have ended, after [`Self::stop`].
    pub async fn drained(&self) {
        self.relays.wait().await;
    }
}

/// Passes bytes on until the instance closes its connection, or the upstream has
/// closed its own and all of its bytes are passed on. If the upstream's
/// connection breaks, so does the other one: a reply that ends with its
/// connection must not look complete.
async fn pass_on(mut instance: TcpStream, mut upstream: TcpStream) {
    let is_broken = {
        let (mut from_instance, mut to_instance) = instance.split();
        let (mut from_upstream, mut to_upstream) = upstream.split();
        tokio::select! {
            // A client that has closed its connection waits for no reply.
            _ = copy(&mut from_instance, &mut to_upstream) => false,
            passed = copy(&mut from_upstream, &mut to_instance) => {
                passed.is_err() || to_instance.shutdown().await.is_err()
            }
        }
    };
    if is_broken {
        // An error means that the connection is closed already.
        let _ = instance.set_zero_linger();
    }
}
