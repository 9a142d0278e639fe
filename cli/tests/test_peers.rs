//! Tests of calls between instances, over the loopback interface.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use borageline::peers::{
    FRAME_MAX_BYTES, IN_FLIGHT_MAX, PeerPool, PoolConfig, TrafficMeter,
    serve_peers, serve_peers_metered,
};
use borageline_lib::{
    gateway::prompt_quarantine::PromptReport,
    ids::InstanceId,
    peer_api::{
        CRASH_REPORT_VERSION, PEER_VERSION, PeerEnvelope, PeerRequest,
        PeerResponse,
    },
    refusal::RunState,
    units::Incarnation,
};
use borageline_testutils::loopback::new_address;
use futures::{StreamExt, future::join_all};
use hmac::{Hmac, Mac};
use proptest::prelude::*;
use tarpc::{
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};

const SECRET: &str = "a secret of the whole fleet";
const TIMEOUT: Duration = Duration::from_secs(5);

/// The protocol, declared independently of the implementation.
mod wire {
    use borageline_lib::peer_api::{PeerEnvelope, PeerResponse};

    #[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
    pub(crate) struct Challenge {
        pub(crate) nonce: [u8; 32],
        pub(crate) versions: Vec<u16>,
    }

    #[tarpc::service]
    pub(crate) trait Wire {
        async fn challenge() -> Challenge;
        async fn exchange(envelope: PeerEnvelope) -> PeerResponse;
    }
}

struct TestServer {
    address: SocketAddr,
    calls: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl TestServer {
    async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn answer(message: PeerRequest) -> PeerResponse {
    match message {
        PeerRequest::Query(text) => match text.as_ref() {
            "slow" => {
                sleep(Duration::from_secs(60)).await;
                PeerResponse::Done
            }
            "large" => PeerResponse::Rows("x".repeat(FRAME_MAX_BYTES).into()),
            _ => PeerResponse::Rows(text),
        },
        _ => PeerResponse::Nack,
    }
}

/// Starts a server at an address.
async fn start_server(address: SocketAddr) -> TestServer {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicU32::new(0));
    let counter = calls.clone();
    let handler = move |_: InstanceId, _: Incarnation, message| {
        counter.fetch_add(1, Ordering::Relaxed);
        answer(message)
    };
    let task = tokio::spawn(async move {
        serve_peers(listener, SECRET.into(), handler).await.unwrap();
    });
    TestServer {
        address,
        calls,
        task,
    }
}

fn config_with_secret(secret: &str) -> PoolConfig {
    PoolConfig::new(
        "entry-1".parse().unwrap(),
        Incarnation::new(5),
        secret.into(),
    )
}

fn make_pool() -> PeerPool {
    PeerPool::new(config_with_secret(SECRET))
}

fn query(text: &str) -> PeerRequest {
    PeerRequest::Query(text.into())
}

fn rows(text: &str) -> PeerResponse {
    PeerResponse::Rows(text.into())
}

async fn raw_client(address: SocketAddr) -> wire::WireClient {
    let transport = tcp::connect(address, Bincode::default).await.unwrap();
    wire::WireClient::new(tarpc::client::Config::default(), transport).spawn()
}

fn envelope_for(challenge: &wire::Challenge, version: u16) -> PeerEnvelope {
    let from: InstanceId = "entry-1".parse().unwrap();
    let mut mac =
        Hmac::<sha2::Sha256>::new_from_slice(SECRET.as_bytes()).unwrap();
    mac.update(b"borageline peer proof");
    mac.update(&version.to_be_bytes());
    mac.update(&7_u64.to_be_bytes());
    mac.update(b"entry-1");
    mac.update(&9_u64.to_be_bytes());
    mac.update(&challenge.nonce);
    PeerEnvelope {
        version,
        from,
        incarnation: Incarnation::new(9),
        proof: format!("{:x}", mac.finalize().into_bytes()).into(),
        message: query("hello"),
    }
}

fn context() -> tarpc::context::Context {
    tarpc::context::current()
}

/// Guards against replies that reach the wrong call on a shared connection.
#[tokio::test]
async fn test_call_many_at_once() {
    let server = start_server(new_address()).await;
    let pool = make_pool();
    let calls = (0..500).map(|number| {
        let pool = pool.clone();
        let to = server.address;
        async move {
            let text = number.to_string();
            let reply = pool.call(to, query(&text), TIMEOUT).await;
            assert_eq!(reply, Ok(rows(&text)));
        }
    });
    join_all(calls).await;
    assert_eq!(pool.connections(), 1);
    let traffic = pool.traffic();
    assert!(traffic.sent.get() > 500 * 50, "{traffic:?}");
    assert!(traffic.received.get() > 500 * 10, "{traffic:?}");
}

/// Guards against an instance that handles messages from another fleet.
#[tokio::test]
async fn test_wrong_secret_rejected() {
    let server = start_server(new_address()).await;
    let pool = PeerPool::new(config_with_secret("a secret of another fleet"));
    let reply = pool.call(server.address, query("hello"), TIMEOUT).await;
    let Ok(PeerResponse::Rejected(reason)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(
        reason.as_ref(),
        "proof of entry-1 does not match the fleet secret; understood \
         versions: 1",
    );
    assert_eq!(server.calls.load(Ordering::Relaxed), 0);
}

/// Guards against a proof of one connection that is accepted on another.
#[tokio::test]
async fn test_replayed_proof_rejected() {
    let server = start_server(new_address()).await;
    let first = raw_client(server.address).await;
    let challenge = first.challenge(context()).await.unwrap();
    let envelope = envelope_for(&challenge, PEER_VERSION);
    let reply = first.exchange(context(), envelope.clone()).await.unwrap();
    assert_eq!(reply, rows("hello"));
    let second = raw_client(server.address).await;
    let reply = second.exchange(context(), envelope).await.unwrap();
    assert!(matches!(reply, PeerResponse::Rejected(_)), "{reply:?}");
    assert_eq!(server.calls.load(Ordering::Relaxed), 1);
}

/// Guards against a proof that is valid for a sender other than the one that it
/// was made for.
#[tokio::test]
async fn test_changed_sender_rejected() {
    let server = start_server(new_address()).await;
    let client = raw_client(server.address).await;
    let challenge = client.challenge(context()).await.unwrap();
    let mut envelope = envelope_for(&challenge, PEER_VERSION);
    envelope.from = "entry-2".parse().unwrap();
    let reply = client.exchange(context(), envelope).await.unwrap();
    assert!(matches!(reply, PeerResponse::Rejected(_)), "{reply:?}");
    let mut envelope = envelope_for(&challenge, PEER_VERSION);
    envelope.incarnation = Incarnation::new(10);
    let reply = client.exchange(context(), envelope).await.unwrap();
    assert!(matches!(reply, PeerResponse::Rejected(_)), "{reply:?}");
}

/// Guards against messages of an unsupported version that are handled.
#[tokio::test]
async fn test_unknown_version_rejected() {
    let server = start_server(new_address()).await;
    let client = raw_client(server.address).await;
    let challenge = client.challenge(context()).await.unwrap();
    assert_eq!(challenge.versions, [PEER_VERSION, CRASH_REPORT_VERSION]);
    let envelope = envelope_for(&challenge, 99);
    let reply = client.exchange(context(), envelope).await.unwrap();
    let expected = "message version 99 is not understood; understood \
                    versions: 1";
    assert_eq!(reply, PeerResponse::Rejected(expected.into()));
}

/// Guards against a too large message that closes the connection of other
/// calls.
#[tokio::test]
async fn test_oversized_message_not_sent() {
    let server = start_server(new_address()).await;
    let pool = make_pool();
    let large = "x".repeat(FRAME_MAX_BYTES);
    let failure = pool
        .call(server.address, query(&large), TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun, "{}", failure.message);
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    assert_eq!(server.calls.load(Ordering::Relaxed), 1);
}

/// Guards against a too large reply that closes the connection of other calls.
#[tokio::test]
async fn test_oversized_reply_rejected() {
    let server = start_server(new_address()).await;
    let pool = make_pool();
    let reply = pool.call(server.address, query("large"), TIMEOUT).await;
    let Ok(PeerResponse::Rejected(reason)) = reply else {
        panic!("{reply:?}");
    };
    assert!(reason.starts_with("reply has "), "{reason}");
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
}

/// Guards against a server that allocates memory for a too large frame.
#[tokio::test]
async fn test_oversized_frame_closes_connection() {
    let server = start_server(new_address()).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    let length = FRAME_MAX_BYTES as u32 + 1;
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    let mut rest = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;
    // The connection may be closed or reset, but the server must not wait for
    // the frame.
    assert!(read.is_ok(), "connection stays open");
    let reply = make_pool().call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
}

/// Guards against a pool that does not reconnect to a restarted peer.
#[tokio::test]
async fn test_peer_restarted() {
    let server = start_server(new_address()).await;
    let address = server.address;
    let pool = make_pool();
    let reply = pool.call(address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    server.stop().await;
    let failure = pool.call(address, query("b"), TIMEOUT).await.unwrap_err();
    let place = format!("to {address}");
    assert!(failure.message.contains(&place), "{}", failure.message);
    let server = start_server(address).await;
    let reply = pool.call(address, query("c"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("c")));
    assert_eq!(server.calls.load(Ordering::Relaxed), 1);
}

/// Guards against a failed connection that is reported as a call that may have
/// run.
#[tokio::test]
async fn test_connection_refused_not_run() {
    let server = start_server(new_address()).await;
    let address = server.address;
    server.stop().await;
    let pool = make_pool();
    let failure = pool.call(address, query("a"), TIMEOUT).await.unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun);
    let place = format!("peer connection to {address}: ");
    assert!(failure.message.starts_with(&place), "{}", failure.message);
}

/// Guards against a slow handler that blocks other calls or delays its own
/// call beyond the timeout.
#[tokio::test]
async fn test_timeout_may_have_run() {
    let server = start_server(new_address()).await;
    let pool = make_pool();
    let slow =
        pool.call(server.address, query("slow"), Duration::from_millis(200));
    let quick = pool.call(server.address, query("a"), TIMEOUT);
    let (slow, quick) = timeout(TIMEOUT, async { tokio::join!(slow, quick) })
        .await
        .unwrap();
    assert_eq!(slow.unwrap_err().run_state, RunState::MayHaveRun);
    assert_eq!(quick, Ok(rows("a")));
}

/// Guards against a call without a timeout to a peer that accepts connections
/// but never sends a challenge.
#[tokio::test]
async fn test_silent_peer_not_run() {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = make_pool();
    let limit = Duration::from_millis(200);
    let failure = pool.call(address, query("a"), limit).await.unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun, "{}", failure.message);
}

/// Guards against several connections to one peer when many calls start at
/// once.
#[tokio::test]
async fn test_one_connection_attempt() {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = make_pool();
    let limit = Duration::from_millis(300);
    let calls = (0..20).map(|_| pool.call(address, query("a"), limit));
    let accepted = async {
        let mut streams = Vec::new();
        while let Ok(stream) = timeout(limit / 2, listener.accept()).await {
            streams.push(stream);
        }
        streams.len()
    };
    let (results, accepted) = tokio::join!(join_all(calls), accepted);
    assert!(results.iter().all(Result::is_err));
    assert_eq!(accepted, 1);
}

/// Guards against an unbounded number of calls in flight to a peer that has
/// stopped responding.
#[tokio::test]
async fn test_in_flight_bounded() {
    let server = start_server(new_address()).await;
    let pool = make_pool();
    let mut slow = tokio::task::JoinSet::new();
    for _ in 0..IN_FLIGHT_MAX {
        let pool = pool.clone();
        let to = server.address;
        slow.spawn(async move {
            pool.call(to, query("slow"), Duration::from_secs(60)).await
        });
    }
    let running = async {
        while server.calls.load(Ordering::Relaxed) < IN_FLIGHT_MAX as u32 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, running).await.unwrap();
    let limit = Duration::from_millis(200);
    let calls = (0..10).map(|_| pool.call(server.address, query("a"), limit));
    for result in join_all(calls).await {
        let failure = result.unwrap_err();
        assert_eq!(failure.run_state, RunState::NotRun, "{failure:?}");
    }
    assert_eq!(server.calls.load(Ordering::Relaxed), IN_FLIGHT_MAX as u32);
    // A cancelled call releases its permit.
    slow.shutdown().await;
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
}

/// Guards against connections that stay open to peers that are no longer
/// called.
#[tokio::test]
async fn test_idle_connection_closed() {
    let server = start_server(new_address()).await;
    let idle = Duration::from_millis(100);
    let pool =
        PeerPool::new(config_with_secret(SECRET).with_idle_timeout(idle));
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    let closed = async {
        while pool.connections() > 0 {
            sleep(idle / 4).await;
        }
    };
    timeout(TIMEOUT, closed).await.unwrap();
    let reply = pool.call(server.address, query("b"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("b")));
}

/// Forwards bytes between a client and a server, and returns the bytes that the
/// client sent.
async fn record_through(
    server: SocketAddr,
) -> (SocketAddr, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (client, _) = listener.accept().await.unwrap();
        let (mut from_client, mut to_client) = client.into_split();
        let server = TcpStream::connect(server).await.unwrap();
        let (mut from_server, mut to_server) = server.into_split();
        let reply_task = tokio::spawn(async move {
            tokio::io::copy(&mut from_server, &mut to_client).await
        });
        let mut recorded = Vec::new();
        let mut chunk = [0; 4_096];
        while let Ok(count @ 1..) = from_client.read(&mut chunk).await {
            recorded.extend_from_slice(&chunk[..count]);
            to_server.write_all(&chunk[..count]).await.unwrap();
        }
        reply_task.abort();
        recorded
    });
    (address, task)
}

/// Bytes that a pool sends to connect and make one call.
async fn record_call() -> Vec<u8> {
    let server = start_server(new_address()).await;
    let (address, recorded) = record_through(server.address).await;
    let pool = make_pool();
    let reply = pool.call(address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    drop(pool);
    recorded.await.unwrap()
}

/// Guards against a secret that is sent in clear text.
#[tokio::test]
async fn test_secret_not_sent() {
    let bytes = record_call().await;
    let contains = |text: &str| {
        bytes
            .windows(text.len())
            .any(|window| window == text.as_bytes())
    };
    assert!(contains("entry-1"), "the recording has no envelope");
    assert!(!contains(SECRET));
}

/// Guards against unauthenticated connections that exceed their limit, or that
/// keep blocking authenticated ones after they are closed.
#[tokio::test]
async fn test_connections_without_proof_bounded() {
    let server = start_server(new_address()).await;
    let mut streams = Vec::new();
    for _ in 0..129 {
        streams.push(TcpStream::connect(server.address).await.unwrap());
    }
    let mut last = streams.pop().unwrap();
    let read = timeout(TIMEOUT, last.read(&mut [0; 1])).await;
    assert!(read.is_ok(), "connection 129 stays open");
    let pool = make_pool();
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply.unwrap_err().run_state, RunState::NotRun);
    drop(streams);
    let served = async {
        while pool
            .call(server.address, query("a"), TIMEOUT)
            .await
            .is_err()
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, served).await.unwrap();
}

/// Guards against authenticated connections that still count against the limit
/// on unauthenticated ones.
#[tokio::test]
async fn test_connections_with_proof_not_counted_as_strangers() {
    let server = start_server(new_address()).await;
    let pools: Vec<_> = (0..150).map(|_| make_pool()).collect();
    for pool in &pools {
        let reply = pool.call(server.address, query("a"), TIMEOUT).await;
        assert_eq!(reply, Ok(rows("a")));
    }
}

/// Guards against traffic that is counted on one side only.
#[tokio::test]
async fn test_server_traffic_counted() {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let meter = TrafficMeter::new();
    let handler = |_, _, message| answer(message);
    let server = serve_peers_metered(
        listener,
        SECRET.into(),
        meter.clone(),
        None,
        handler,
    );
    let server = tokio::spawn(server);
    let pool = make_pool();
    let reply = pool.call(address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    server.abort();
    let (client, server) = (pool.traffic(), meter.count());
    assert_eq!(server.received, client.sent);
    assert_eq!(server.sent, client.received);
}

/// Guards against a failed network path that blocks calls to a peer until TCP
/// times out.
#[tokio::test]
async fn test_silent_connection_replaced() {
    let server = start_server(new_address()).await;
    let pool = make_pool();
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    let before = pool.traffic().sent;
    let limit = Duration::from_millis(100);
    let slow = pool.call(server.address, query("slow"), limit).await;
    assert!(slow.is_err());
    let middle = pool.traffic().sent;
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    // A new connection starts with a challenge, a reused one does not.
    let last = pool.traffic().sent.saturating_sub(middle);
    let reused = middle.saturating_sub(before);
    assert!(last > reused, "{last} after {reused}");
}

fn make_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

/// Sends bytes to a new server and checks that it still answers calls.
async fn check_server_survives(messages: Vec<Vec<u8>>) {
    let server = start_server(new_address()).await;
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    for message in messages {
        // The server may have closed the connection already.
        if stream.write_all(&message).await.is_err() {
            break;
        }
    }
    let pool = make_pool();
    let reply = pool.call(server.address, query("a"), TIMEOUT).await;
    assert_eq!(reply, Ok(rows("a")));
    assert!(!server.task.is_finished());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against bytes on the peer port that stop the server.
    #[test]
    fn test_arbitrary_bytes_do_not_stop_server(
        frames in prop::collection::vec(
            prop::collection::vec(any::<u8>(), 0..200),
            1..8,
        ),
        framed: bool,
    ) {
        let messages = frames.into_iter().map(|frame| {
            let length = (frame.len() as u32).to_be_bytes();
            let head = if framed { &length[..] } else { &[] };
            [head, &frame].concat()
        });
        let messages = messages.collect();
        make_runtime().block_on(check_server_survives(messages));
    }

    /// Guards against damaged messages that stop the server.
    #[test]
    fn test_damaged_message_does_not_stop_server(
        changes in prop::collection::vec(
            (any::<prop::sample::Index>(), any::<u8>()),
            1..6,
        ),
    ) {
        make_runtime().block_on(async {
            let mut bytes = record_call().await;
            for (index, value) in changes {
                let index = index.index(bytes.len());
                bytes[index] = value;
            }
            check_server_survives(vec![bytes]).await;
        });
    }
}

/// Server of a build that knows no reports of crashes.
#[derive(Clone)]
struct OlderServer {
    exchanges: Arc<AtomicU32>,
}

impl wire::Wire for OlderServer {
    async fn challenge(self, _: tarpc::context::Context) -> wire::Challenge {
        wire::Challenge {
            nonce: [7; 32],
            versions: vec![PEER_VERSION],
        }
    }

    async fn exchange(
        self,
        _: tarpc::context::Context,
        envelope: PeerEnvelope,
    ) -> PeerResponse {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
        answer(envelope.message).await
    }
}

/// Guards against a message that an older build cannot decode, which would close
/// the connection and with it fail all calls on it.
#[tokio::test]
async fn test_crash_report_not_sent_to_older_build() {
    let exchanges = Arc::new(AtomicU32::new(0));
    let server = OlderServer {
        exchanges: exchanges.clone(),
    };
    let address = new_address();
    let mut listener = tcp::listen(address, Bincode::default).await.unwrap();
    let address = listener.local_addr();
    tokio::spawn(async move {
        while let Some(Ok(transport)) = listener.next().await {
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.execute(wire::Wire::serve(server.clone()));
            tokio::spawn(requests.for_each_concurrent(None, |answer| answer));
        }
    });
    let pool = make_pool();
    let report = PeerRequest::ReportCrashes(PromptReport::default());
    let failure = pool.call(address, report, TIMEOUT).await.unwrap_err();
    assert_eq!(failure.run_state, RunState::NotRun);
    assert_eq!(exchanges.load(Ordering::Relaxed), 0);
    let reply = pool.call(address, query("hello"), TIMEOUT).await;
    assert_eq!(reply.unwrap(), rows("hello"));
}
