//! TCP forwarder that injects network faults between two processes.
//!
//! Forwards each connection to a target address. Its faults are `cut`,
//! `refuse` (closes the port, so that new connections are refused),
//! `delay`, `stall` (stops one direction while the connection stays open),
//! `bandwidth`, `freeze` (stops both directions), `silence` (`freeze`, and
//! leaves attempts to connect without an answer), `fail` (`refuse` and `cut`)
//! and `clear`; `slow` equals `delay`, and `restart` equals `cut`.
//! The control server listens on a port of its own.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    fault::{Direction, Fault, FaultError, FaultGate},
    http_server::{Call, Handle, HandlerResult, Standin, not_found, serve},
};

/// Free buffer space reserved before each read.
const READ_BYTES: usize = 16 << 10;

/// Reads queued in one direction; a full queue exerts backpressure.
const MAX_QUEUED_READS: usize = 16;

/// Time between attempts to bind the port again after `refuse`.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    refuse: bool,
    silent: bool,
    frozen: bool,
    stall_to_target: bool,
    stall_to_client: bool,
    delay: Duration,
    bytes_per_s: Option<u64>,
}

impl LinkState {
    fn stalls(&self, direction: Direction) -> bool {
        let stalled = match direction {
            Direction::ToTarget => self.stall_to_target,
            Direction::ToClient => self.stall_to_client,
        };
        stalled || self.frozen
    }
}

/// State of the forwarder and its injected faults.
#[derive(Debug)]
pub struct Forwarder {
    target: SocketAddr,
    /// Gate of the control server; its connection token also closes the
    /// forwarded connections.
    gate: FaultGate,
    link: watch::Sender<LinkState>,
    accepted: AtomicU64,
    open: AtomicU64,
    to_target: AtomicU64,
    to_client: AtomicU64,
}

/// A running forwarder; it stops when the handle is dropped.
#[derive(Debug)]
pub struct ForwarderHandle {
    /// Address whose connections are forwarded.
    pub address: SocketAddr,
    /// Address of the control server.
    pub control_address: SocketAddr,
    /// The forwarder, to inject faults and read counters.
    pub control: Arc<Forwarder>,
    /// Stops the forwarder when cancelled.
    pub shutdown: CancellationToken,
    // Dropping the handle would stop the control server.
    _server: Handle<Forwarder>,
}

/// Starts a forwarder to `target`, with its control server on `control`.
pub async fn spawn(
    listen: SocketAddr,
    target: SocketAddr,
    control: SocketAddr,
) -> io::Result<ForwarderHandle> {
    let forwarder = Arc::new(Forwarder {
        target,
        gate: FaultGate::default(),
        link: watch::Sender::new(LinkState::default()),
        accepted: AtomicU64::new(0),
        open: AtomicU64::new(0),
        to_target: AtomicU64::new(0),
        to_client: AtomicU64::new(0),
    });
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let server = serve(control, forwarder.clone()).await?;
    let shutdown = server.shutdown.clone();
    let accept = accept_all(forwarder.clone(), listener, shutdown.clone());
    tokio::spawn(accept);
    Ok(ForwarderHandle {
        address,
        control_address: server.address,
        control: forwarder,
        shutdown,
        _server: server,
    })
}

async fn accept_all(
    forwarder: Arc<Forwarder>,
    listener: TcpListener,
    shutdown: CancellationToken,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut silent_port = None;
    let mut refused_port = None;
    let mut link = forwarder.link.subscribe();
    loop {
        let state = *link.borrow_and_update();
        if state.refuse || state.silent {
            listener = None;
        }
        if !state.refuse {
            refused_port = None;
        } else if refused_port.is_none() {
            refused_port = reserve_port(address).ok();
        }
        if !state.silent {
            silent_port = None;
        } else if silent_port.is_none() {
            silent_port = SilentPort::open(address).await.ok();
        }
        if listener.is_none() && !state.refuse && !state.silent {
            listener = TcpListener::bind(address).await.ok();
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await.ok(),
                None => {
                    tokio::time::sleep(REBIND_INTERVAL).await;
                    None
                }
            }
        };
        tokio::select! {
            accepted = accepted => {
                if let Some((stream, _)) = accepted {
                    let task = forward(forwarder.clone(), stream);
                    let stop = shutdown.clone();
                    tokio::spawn(stop.run_until_cancelled_owned(task));
                }
            }
            _ = link.changed() => {}
            () = shutdown.cancelled() => return,
        }
    }
}

/// Binds a port without listening, so that connections are refused and nobody
/// else gets the port meanwhile.
fn reserve_port(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// A listener whose queue is full, so that the system drops further attempts
/// to connect.
struct SilentPort {
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl SilentPort {
    /// Time after which an attempt to connect counts as dropped.
    const DROPPED_AFTER: Duration = Duration::from_millis(20);
    /// Most connections that the queue may take; the system rounds it up.
    const QUEUED_MAX: usize = 8;

    async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(0)?;
        let mut queued = Vec::new();
        while queued.len() < Self::QUEUED_MAX {
            let connect = TcpStream::connect(address);
            match tokio::time::timeout(Self::DROPPED_AFTER, connect).await {
                Ok(stream) => queued.push(stream?),
                Err(_) => break,
            }
        }
        Ok(Self {
            _listener: listener,
            _queued: queued,
        })
    }
}

/// Decrements the count of open connections when dropped.
struct OpenConnection(Arc<Forwarder>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn forward(forwarder: Arc<Forwarder>, client: TcpStream) {
    forwarder.accepted.fetch_add(1, Ordering::Relaxed);
    forwarder.open.fetch_add(1, Ordering::Relaxed);
    let _open = OpenConnection(forwarder.clone());
    let cut = forwarder.gate.connection_token();
    let Ok(target) = TcpStream::connect(forwarder.target).await else {
        return;
    };
    // Without the option, small writes are only slower.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let to_target = copy_one_way(
        &forwarder,
        Direction::ToTarget,
        client_read,
        target_write,
    );
    let to_client = copy_one_way(
        &forwarder,
        Direction::ToClient,
        target_read,
        client_write,
    );
    tokio::select! {
        _ = async { tokio::join!(to_target, to_client) } => {}
        () = cut.cancelled() => {}
    }
}

/// Copies data in one direction until end of stream or an error.
async fn copy_one_way(
    forwarder: &Forwarder,
    direction: Direction,
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_READS);
    let read = async move {
        let mut buffer = BytesMut::new();
        loop {
            buffer.reserve(READ_BYTES);
            match from.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let chunk = (Instant::now(), buffer.split().freeze());
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write_all(forwarder, direction, receiver, to));
}

async fn write_all(
    forwarder: &Forwarder,
    direction: Direction,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut to: OwnedWriteHalf,
) {
    let counter = match direction {
        Direction::ToTarget => &forwarder.to_target,
        Direction::ToClient => &forwarder.to_client,
    };
    let mut link = forwarder.link.subscribe();
    while let Some((read_at, chunk)) = receiver.recv().await {
        let delay = link.borrow().delay;
        tokio::time::sleep_until(read_at + delay).await;
        // Fails only if the sender is dropped; the forwarder owns it.
        let _ = link.wait_for(|state| !state.stalls(direction)).await;
        let rate = link.borrow().bytes_per_s;
        if let Some(rate) = rate {
            let seconds = chunk.len() as f64 / rate.max(1) as f64;
            tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
        if to.write_all(&chunk).await.is_err() {
            return;
        }
        counter.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    // Propagates the end of stream; the other direction may continue.
    let _ = to.shutdown().await;
}

impl Forwarder {
    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    fn modify(&self, change: impl FnOnce(&mut LinkState)) {
        self.link.send_modify(change);
    }
}

impl Standin for Forwarder {
    fn gate(&self) -> &FaultGate {
        &self.gate
    }

    async fn handle(self: Arc<Self>, call: Call) -> HandlerResult {
        Err(not_found(&call))
    }

    fn control(&self, fault: Fault) -> Result<(), FaultError> {
        match fault {
            Fault::Clear => self.modify(|link| *link = LinkState::default()),
            Fault::Cut | Fault::Restart => self.gate.cut_connections(),
            Fault::Refuse => self.modify(|link| link.refuse = true),
            Fault::Fail { .. } => {
                self.modify(|link| link.refuse = true);
                self.gate.cut_connections();
            }
            Fault::Freeze => self.modify(|link| link.frozen = true),
            Fault::Silence => self.modify(|link| {
                link.silent = true;
                link.frozen = true;
            }),
            Fault::Delay { delay_ms } | Fault::Slow { delay_ms } => {
                let delay = Duration::from_millis(delay_ms);
                self.modify(|link| link.delay = delay);
            }
            Fault::Stall { direction } => {
                self.modify(|link| match direction {
                    Direction::ToTarget => link.stall_to_target = true,
                    Direction::ToClient => link.stall_to_client = true,
                });
            }
            Fault::Bandwidth { bytes_per_s } => {
                self.modify(|link| link.bytes_per_s = Some(bytes_per_s));
            }
            other => return Err(FaultError::Unsupported(other)),
        }
        Ok(())
    }

    fn report(&self) -> Value {
        json!({
            "target": self.target,
            "accepted": self.accepted.load(Ordering::Relaxed),
            "open": self.open.load(Ordering::Relaxed),
            "bytes_to_target": self.to_target.load(Ordering::Relaxed),
            "bytes_to_client": self.to_client.load(Ordering::Relaxed),
        })
    }
}
