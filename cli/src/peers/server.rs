//! The answering side: an accept loop with bounded connections.

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
    peer_api::{PEER_VERSION, PeerEnvelope, PeerMessage, PeerReply},
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
    link::PeerLink, make_transport, proof_holds,
};
use crate::traffic::{CountedStream, ReadMeter};

/// Most inbound connections: 950 peers, and as many again that are being
/// replaced by new ones.
const CONNECTIONS_MAX: usize = 2_048;
/// Most connections that have not yet proven that they know the secret. Each can
/// make the server hold a frame; the bound keeps strangers below 512 MiB.
const UNPROVEN_MAX: usize = 128;
/// Time for a new connection to prove that it knows the secret.
const PROOF_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the callers' own idle timeout, so that they close first and
/// never write to a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Pause after a failed accept, which usually means that no file descriptor is
/// free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Most requests that run at once for one connection; more are refused. Twice
/// what a caller has in flight, as new calls can overtake cancellations.
const REQUESTS_MAX: usize = 2 * IN_FLIGHT_MAX;
/// Room in a frame for what tarpc adds to a reply.
const FRAME_OVERHEAD_BYTES: u64 = 1_024;

/// Answers peers until it is dropped, which also closes the connections.
pub async fn serve_peers<H, F>(
    listener: TcpListener,
    secret: Arc<str>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(InstanceId, Incarnation, PeerMessage) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    serve_peers_metered(listener, secret, TrafficMeter::new(), handler).await
}

/// Like [`serve_peers`], with the bytes added to `meter`.
pub async fn serve_peers_metered<H, F>(
    listener: TcpListener,
    secret: Arc<str>,
    meter: TrafficMeter,
    handler: H,
) -> io::Result<()>
where
    H: Fn(InstanceId, Incarnation, PeerMessage) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let unproven_room = Arc::new(Semaphore::new(UNPROVEN_MAX));
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
        // A stream that finds no room is closed; the peer may try again.
        let permit = room.clone().try_acquire_owned();
        let unproven = unproven_room.clone().try_acquire_owned();
        let (Ok(permit), Ok(unproven)) = (permit, unproven) else {
            continue;
        };
        let connection = PeerConnection {
            secret: secret.clone(),
            nonce: rand::random(),
            proven: AtomicBool::new(false),
            unproven: Mutex::new(Some(unproven)),
        };
        let meter = meter.clone();
        let handler = handler.clone();
        tasks.spawn(async move {
            serve_connection(stream, connection, meter, handler).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    connection: PeerConnection,
    total: TrafficMeter,
    handler: H,
) where
    H: Fn(InstanceId, Incarnation, PeerMessage) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
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
    // A bound on the answers that run at once would stop the reading of
    // cancellations and of expired deadlines while it is reached.
    let requests = BaseChannel::new(config, make_transport(stream))
        .max_concurrent_requests(REQUESTS_MAX)
        .execute(service.serve())
        .for_each_concurrent(None, |answer| answer);
    tokio::select! {
        () = requests => {}
        () = watch_connection(&connection, &meter) => {}
    }
}

/// Returns when a connection has given no proof in time or has become idle.
async fn watch_connection(connection: &PeerConnection, meter: &ReadMeter) {
    sleep(PROOF_TIMEOUT).await;
    if !connection.proven.load(Ordering::Relaxed) {
        return;
    }
    loop {
        let left = IDLE_TIMEOUT.saturating_sub(meter.idle());
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}

/// What the server knows of one connection.
struct PeerConnection {
    secret: Arc<str>,
    nonce: [u8; 32],
    proven: AtomicBool,
    /// Place among the connections without proof, given up with the proof.
    unproven: Mutex<Option<OwnedSemaphorePermit>>,
}

impl PeerConnection {
    /// Checks the version and the proof of an envelope.
    fn check(&self, envelope: &PeerEnvelope) -> Result<(), String> {
        let version = envelope.version;
        if version != PEER_VERSION {
            return Err(format!(
                "message version {version} is not understood; understood \
                 versions: {PEER_VERSION}",
            ));
        }
        if !proof_holds(&self.secret, envelope, &self.nonce) {
            return Err(format!(
                "proof of {} does not match the fleet secret; understood \
                 versions: {PEER_VERSION}",
                envelope.from,
            ));
        }
        if !self.proven.swap(true, Ordering::Relaxed) {
            let mut unproven =
                self.unproven.lock().unwrap_or_else(PoisonError::into_inner);
            unproven.take();
        }
        Ok(())
    }
}

/// Answers the calls of one connection.
#[derive(Clone)]
struct PeerService<H> {
    connection: Arc<PeerConnection>,
    handler: H,
}

impl<H, F> PeerLink for PeerService<H>
where
    H: Fn(InstanceId, Incarnation, PeerMessage) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    async fn challenge(self, _: Context) -> ServerChallenge {
        ServerChallenge {
            nonce: self.connection.nonce,
            versions: vec![PEER_VERSION],
        }
    }

    async fn exchange(self, _: Context, envelope: PeerEnvelope) -> PeerReply {
        if let Err(reason) = self.connection.check(&envelope) {
            return PeerReply::Rejected(reason.into());
        }
        let PeerEnvelope {
            from,
            incarnation,
            message,
            ..
        } = envelope;
        let reply = (self.handler)(from, incarnation, message).await;
        bound_reply(reply)
    }
}

/// Replaces a reply that does not fit into a frame; sending it would end the
/// connection and every other call on it.
fn bound_reply(reply: PeerReply) -> PeerReply {
    let limit = FRAME_MAX_BYTES as u64 - FRAME_OVERHEAD_BYTES;
    match bincode::DefaultOptions::new().serialized_size(&reply) {
        Ok(size) if size <= limit => reply,
        Ok(size) => PeerReply::Rejected(
            format!("reply has {size} B; allowed are {limit} B").into(),
        ),
        Err(error) => PeerReply::Rejected(
            format!("reply cannot be encoded: {error}").into(),
        ),
    }
}
