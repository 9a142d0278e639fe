//! Server side of the calls between instances: accepts and authenticates a
//! bounded number of connections, and passes their messages to a handler.

use std::{
    future::Future,
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bincode::Options;
use borageline_lib::{
    ids::InstanceId,
    peer_api::{
        CRASH_REPORT_VERSION, PEER_VERSION, PeerEnvelope, PeerRequest,
        PeerResponse, RELAY_VERSION,
    },
    units::Incarnation,
};
use futures::StreamExt;
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel, Config},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinSet,
    time::sleep,
};

use super::{
    FRAME_MAX_BYTES, IN_FLIGHT_MAX, ServerChallenge, TrafficMeter,
    link::PeerLink, make_transport, verify_proof,
};
use crate::{
    relay::RelayServer,
    traffic::{CountedStream, ReadMeter},
};

/// Most inbound connections: one from each of 950 peers, and as many again
/// that are being replaced by new ones.
const CONNECTIONS_MAX: usize = 2_048;
/// Most connections that are not authenticated yet. Each can make the server
/// buffer a frame of [`FRAME_MAX_BYTES`]; the limit keeps the buffers of
/// unauthenticated clients at 512 MiB.
const UNAUTHENTICATED_MAX: usize = 128;
/// Time for a new connection to authenticate.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the idle timeout of [`super::PeerPool`], so that the calling
/// side closes first and never writes to a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Wait after a failed accept, which usually means that no file descriptor is
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Most requests that run at once for one connection; more are refused. Twice
/// the client's limit on calls in flight, because a new call can arrive before
/// the cancellation of an earlier one.
const CONCURRENT_REQUESTS_MAX: usize = 2 * IN_FLIGHT_MAX;
/// Bytes of a frame reserved for what tarpc adds to a reply.
const FRAME_OVERHEAD_BYTES: u64 = 1_024;

/// Answers peers with `handler` until the future is dropped, which also closes
/// the connections.
pub async fn serve_peers<H, F>(
    listener: TcpListener,
    secret: Arc<str>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(InstanceId, Incarnation, PeerRequest) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    let meter = TrafficMeter::new();
    serve_peers_metered(listener, secret, meter, None, handler).await
}

/// Like [`serve_peers`], and adds the bytes exchanged to `meter`. Passes the
/// connections on to upstreams that `handler` has opened in `relays`, if there
/// are any.
pub async fn serve_peers_metered<H, F>(
    listener: TcpListener,
    secret: Arc<str>,
    meter: TrafficMeter,
    relays: Option<Arc<RelayServer>>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(InstanceId, Incarnation, PeerRequest) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    let connection_permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let unauthenticated_permits = Arc::new(Semaphore::new(UNAUTHENTICATED_MAX));
    let mut tasks = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            Some(_) = tasks.join_next() => continue,
        };
        // Over a limit, the connection is closed; the peer may retry.
        let permit = connection_permits.clone().try_acquire_owned();
        let unauthenticated_permit =
            unauthenticated_permits.clone().try_acquire_owned();
        let (Ok(permit), Ok(unauthenticated_permit)) =
            (permit, unauthenticated_permit)
        else {
            continue;
        };
        let connection = InboundConnection {
            secret: secret.clone(),
            nonce: rand::random(),
            authenticated: AtomicBool::new(false),
            unauthenticated_permit: Mutex::new(Some(unauthenticated_permit)),
            relays: relays.is_some(),
        };
        let meter = meter.clone();
        let relays = relays.clone();
        let handler = handler.clone();
        tasks.spawn(async move {
            if let Some(relays) = relays {
                let Some(first) = first_byte(&stream).await else {
                    return;
                };
                if RelayServer::is_relay(first) {
                    // The relays have a limit of their own.
                    drop((connection, permit));
                    relays.serve(stream).await;
                    return;
                }
            }
            serve_connection(stream, connection, meter, handler).await;
            drop(permit);
        });
    }
}

/// First byte of a new connection, which stays to be read. `None` if the
/// connection ends, or none arrives in time.
async fn first_byte(stream: &TcpStream) -> Option<u8> {
    let mut first = [0];
    let peeked = stream.peek(&mut first);
    let peeked = tokio::time::timeout(AUTHENTICATION_TIMEOUT, peeked).await;
    matches!(peeked, Ok(Ok(1))).then_some(first[0])
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    connection: InboundConnection,
    total: TrafficMeter,
    handler: H,
) where
    H: Fn(InstanceId, Incarnation, PeerRequest) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = CountedStream::new(stream, total);
    let meter = stream.meter();
    let connection = Arc::new(connection);
    let service = PeerService {
        connection: connection.clone(),
        handler,
    };
    let config = Config {
        pending_response_buffer: IN_FLIGHT_MAX,
    };
    // `for_each_concurrent` gets no limit: while it is reached, neither
    // cancellations nor expired deadlines would be processed.
    let requests = BaseChannel::new(config, make_transport(stream))
        .max_concurrent_requests(CONCURRENT_REQUESTS_MAX)
        .execute(service.serve())
        .for_each_concurrent(None, |answer| answer);
    tokio::select! {
        () = requests => {}
        () = watch_connection(&connection, &meter) => {}
    }
}

/// Returns when a connection has not authenticated in time or has become idle.
async fn watch_connection(connection: &InboundConnection, meter: &ReadMeter) {
    sleep(AUTHENTICATION_TIMEOUT).await;
    if !connection.authenticated.load(Ordering::Relaxed) {
        return;
    }
    loop {
        let time_left = IDLE_TIMEOUT.saturating_sub(meter.idle());
        if time_left.is_zero() {
            return;
        }
        sleep(time_left).await;
    }
}

/// State of one inbound connection.
struct InboundConnection {
    secret: Arc<str>,
    nonce: [u8; 32],
    authenticated: AtomicBool,
    /// Permit of a connection that is not authenticated; released when it is.
    unauthenticated_permit: Mutex<Option<OwnedSemaphorePermit>>,
    /// Whether the server passes connections on to upstreams.
    relays: bool,
}

impl InboundConnection {
    /// Checks the version and the proof of an envelope. The error is the text
    /// of the rejection.
    fn authenticate(&self, envelope: &PeerEnvelope) -> Result<(), String> {
        let version = envelope.version;
        if version != PEER_VERSION {
            return Err(format!(
                "message version {version} is not understood; understood \
                 versions: {PEER_VERSION}",
            ));
        }
        if !verify_proof(&self.secret, envelope, &self.nonce) {
            return Err(format!(
                "proof of {} does not match the fleet secret; understood \
                 versions: {PEER_VERSION}",
                envelope.from,
            ));
        }
        if !self.authenticated.swap(true, Ordering::Relaxed) {
            let mut unauthenticated_permit = self
                .unauthenticated_permit
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            unauthenticated_permit.take();
        }
        Ok(())
    }
}

/// Handles the calls of one connection.
#[derive(Clone)]
struct PeerService<H> {
    connection: Arc<InboundConnection>,
    handler: H,
}

impl<H, F> PeerLink for PeerService<H>
where
    H: Fn(InstanceId, Incarnation, PeerRequest) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    async fn challenge(self, _: Context) -> ServerChallenge {
        let mut versions = vec![PEER_VERSION, CRASH_REPORT_VERSION];
        if self.connection.relays {
            versions.push(RELAY_VERSION);
        }
        ServerChallenge {
            nonce: self.connection.nonce,
            versions,
        }
    }

    async fn exchange(
        self,
        _: Context,
        envelope: PeerEnvelope,
    ) -> PeerResponse {
        if let Err(reason) = self.connection.authenticate(&envelope) {
            return PeerResponse::Rejected(reason.into());
        }
        let PeerEnvelope {
            from,
            incarnation,
            message,
            ..
        } = envelope;
        let reply = (self.handler)(from, incarnation, message).await;
        limit_reply_size(reply)
    }
}

/// Replaces a reply that does not fit into a frame by a rejection. Sending the
/// reply would close the connection and fail every other call on it.
fn limit_reply_size(reply: PeerResponse) -> PeerResponse {
    let limit = FRAME_MAX_BYTES as u64 - FRAME_OVERHEAD_BYTES;
    match bincode::DefaultOptions::new().serialized_size(&reply) {
        Ok(size) if size <= limit => reply,
        Ok(size) => PeerResponse::Rejected(
            format!("reply has {size} B; allowed are {limit} B").into(),
        ),
        Err(error) => PeerResponse::Rejected(
            format!("reply cannot be encoded: {error}").into(),
        ),
    }
}
