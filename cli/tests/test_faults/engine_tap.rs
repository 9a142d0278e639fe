//! A forwarder in front of an engine that records the requests sent to it.
//!
//! The record outlives the engine's process, so that a test can compare it
//! with the responses to callers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use borageline_testutils::loopback::new_address;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// First lines of the requests that give an engine new work.
const WORK_REQUEST_LINES: [&str; 2] = [
    "POST /v1/completions HTTP/1.1\r\n",
    "POST /v1/kv/prefill HTTP/1.1\r\n",
];
/// First lines of an owner's reads of an engine's load and requests.
const REPORT_REQUEST_LINES: [&[u8]; 2] =
    [b"GET /v1/load HTTP/1.1\r\n", b"GET /v1/held HTTP/1.1\r\n"];
/// Longest head of a recorded request.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// One request that gave an engine new work.
#[derive(Clone, Debug)]
pub(crate) struct SentWork {
    /// Time at which its head was forwarded.
    pub(crate) at: Instant,
    /// Request id.
    pub(crate) request: String,
}

/// Forwards connections to one engine and records the work sent to it.
pub(crate) struct EngineTap {
    /// Address that instances use for the engine.
    pub(crate) address: SocketAddr,
    sent: Arc<Mutex<Vec<SentWork>>>,
    reports_held_until: Arc<Mutex<Instant>>,
    task: tokio::task::JoinHandle<()>,
}

impl EngineTap {
    /// Starts a tap in front of an engine.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(new_address()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(Mutex::new(Vec::new()));
        let record = sent.clone();
        let reports_held_until = Arc::new(Mutex::new(Instant::now()));
        let held_until = reports_held_until.clone();
        let task = tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                let record = record.clone();
                let held_until = held_until.clone();
                tokio::spawn(forward(client, target, record, held_until));
            }
        });
        Self {
            address,
            sent,
            reports_held_until,
            task,
        }
    }

    /// Holds reads of the engine's load and requests back for a time, so that
    /// its owner does not learn meanwhile that it restarted.
    pub(crate) fn hold_reports(&self, time: Duration) {
        *self.reports_held_until.lock().unwrap() = Instant::now() + time;
    }

    /// All work sent so far.
    pub(crate) fn sent(&self) -> Vec<SentWork> {
        self.sent.lock().unwrap().clone()
    }

    /// Number of requests sent after a time.
    pub(crate) fn sent_after(&self, at: Instant) -> usize {
        self.sent().iter().filter(|work| work.at > at).count()
    }
}

impl Drop for EngineTap {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    sent: Arc<Mutex<Vec<SentWork>>>,
    reports_held_until: Arc<Mutex<Instant>>,
) {
    // If the engine is down, the client's connection is closed at once.
    let Ok(engine) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), engine.set_nodelay(true));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_engine, mut to_engine) = engine.into_split();
    let upward = async move {
        let mut scan = HeadScan::default();
        let mut buffer = vec![0; 64 << 10];
        loop {
            match from_client.read(&mut buffer).await {
                Ok(count) if count > 0 => {
                    let data = &buffer[..count];
                    let report = |line: &&[u8]| data.starts_with(line);
                    if REPORT_REQUEST_LINES.iter().any(report) {
                        let until = *reports_held_until.lock().unwrap();
                        tokio::time::sleep_until(until.into()).await;
                    }
                    for request in scan.feed(data) {
                        let at = Instant::now();
                        let work = SentWork { at, request };
                        sent.lock().unwrap().push(work);
                    }
                    if to_engine.write_all(data).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    };
    let downward = tokio::io::copy(&mut from_engine, &mut to_client);
    tokio::select! {
        () = upward => {}
        _ = downward => {}
    }
}

/// Finds the heads of requests for new work in a byte stream.
#[derive(Default)]
struct HeadScan {
    pending: Vec<u8>,
}

impl HeadScan {
    fn feed(&mut self, data: &[u8]) -> Vec<String> {
        self.pending.extend_from_slice(data);
        let mut found = Vec::new();
        while let Some(start) = WORK_REQUEST_LINES
            .iter()
            .filter_map(|line| self.find(line))
            .min()
        {
            self.pending.drain(..start);
            let Some(end) = self.find("\r\n\r\n") else {
                assert!(
                    self.pending.len() < HEAD_MAX_BYTES,
                    "head without an end"
                );
                return found;
            };
            let head = String::from_utf8_lossy(&self.pending[..end]);
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("x-request-id: "));
            found.push(id.unwrap_or_default().to_owned());
            self.pending.drain(..end);
        }
        // The first line of a head may be split over two reads.
        let retained = self.pending.len().min(64);
        self.pending.drain(..self.pending.len() - retained);
        found
    }

    fn find(&self, text: &str) -> Option<usize> {
        let mut windows = self.pending.windows(text.len());
        windows.position(|window| window == text.as_bytes())
    }
}
