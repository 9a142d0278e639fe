//! HTTP server that crashes under some requests and starts again.
//!
//! A request whose path or body contains [`HARMFUL`] ends the server shortly
//! after it has arrived: all connections are reset and new ones are refused. The
//! server listens again at the same address after a while. Other requests get a
//! short answer.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    task::JoinSet,
};

use crate::loopback::new_address;

/// Text in the path or body of requests under which the server crashes.
pub const HARMFUL: &str = "harmful";
/// Time from the arrival of such a request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Longest request that is read.
const REQUEST_MAX_BYTES: usize = 16 << 10;
/// Response to other requests.
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";

/// What has happened at a server.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    /// Arrivals of harmful requests.
    pub harmful: Vec<Instant>,
    /// Crashes.
    pub crashes: Vec<Instant>,
}

/// A running server; it ends with the runtime.
#[derive(Clone, Debug)]
pub struct CrashingServer {
    /// Address at which it listens.
    pub address: SocketAddr,
    history: Arc<Mutex<CrashHistory>>,
}

impl CrashingServer {
    /// Starts a server that is down for `down_time` after a crash.
    pub async fn start(down_time: Duration) -> io::Result<Self> {
        let listener = listen(new_address())?;
        let server = Self {
            address: listener.local_addr()?,
            history: Arc::default(),
        };
        tokio::spawn(server.clone().run(listener, down_time));
        Ok(server)
    }

    /// What has happened so far.
    pub fn history(&self) -> CrashHistory {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CrashHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self, mut listener: TcpListener, down_time: Duration) {
        loop {
            self.serve_until_crash(listener).await;
            self.lock().crashes.push(Instant::now());
            tokio::time::sleep(down_time).await;
            listener = loop {
                match listen(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(CRASH_DELAY).await,
                }
            };
        }
    }

    async fn serve_until_crash(&self, listener: TcpListener) {
        let crash = Arc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = crash.notified() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let server = self.clone();
                    let crash = crash.clone();
                    connections.spawn(async move {
                        server.answer(stream, &crash).await
                    });
                }
            }
        }
    }

    async fn answer(
        &self,
        mut stream: TcpStream,
        crash: &Notify,
    ) -> io::Result<()> {
        // A connection that is dropped in a crash is reset.
        stream.set_zero_linger()?;
        let request = read_request(&mut stream).await?;
        if request.contains(HARMFUL) {
            self.lock().harmful.push(Instant::now());
            tokio::time::sleep(CRASH_DELAY).await;
            crash.notify_one();
            std::future::pending::<()>().await;
        }
        stream.write_all(RESPONSE).await?;
        stream.shutdown().await?;
        // Waits for the peer to close, so that the response is not reset.
        stream.read(&mut [0]).await.map(|_| ())
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(128)
}

/// Reads a request with a body of a stated length, as text.
async fn read_request(stream: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1_024];
    while bytes.len() < REQUEST_MAX_BYTES && !is_complete(&bytes) {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            break;
        }
        bytes.extend(&buffer[..length]);
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|it| it.trim().parse::<usize>().ok());
    body.len() >= length.unwrap_or(0)
}
