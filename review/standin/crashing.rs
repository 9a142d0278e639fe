//! Stand-in of model engines that crash when they begin to write an answer on
//! a certain part of a prompt, and are back some seconds later.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    record::Record,
    site,
    store::Store,
};

/// Id of the part that crashes engines.
pub const HARMFUL_PART: &str = "0bad0bad";
/// Time after which a crashed engine is back.
const AWAY: Duration = Duration::from_millis(2_500);
/// Time to the first event.
const PREFILL: Duration = Duration::from_millis(40);
const EVENTS: u32 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub is_harmful: bool,
}

pub struct Engine {
    id: String,
    zone: String,
    address: SocketAddr,
    record: Record,
    store: Arc<Store>,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub crashes: Mutex<Vec<Duration>>,
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &str,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Self {
            id: id.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("an address"),
            record: record.clone(),
            store: store.clone(),
            is_down: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
            arrivals: Mutex::new(Vec::new()),
            crashes: Mutex::new(Vec::new()),
        });
        let serving = engine.clone();
        std::thread::spawn(move || {
            let mut next = Some(listener);
            loop {
                let listener = next
                    .take()
                    .map_or_else(|| TcpListener::bind(serving.address), Ok);
                let Ok(listener) = listener else {
                    std::thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                serving.clone().live(&listener);
                drop(listener);
                std::thread::sleep(AWAY);
            }
        });
        engine
    }

    /// Serves until the engine crashes.
    fn live(self: Arc<Self>, listener: &TcpListener) {
        self.is_down.store(false, Ordering::SeqCst);
        let beating = self.clone();
        std::thread::spawn(move || beating.write_entries());
        let _ = listener.set_nonblocking(true);
        while !self.is_down.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().expect("no panic").push(copy);
            }
            let engine = self.clone();
            std::thread::spawn(move || {
                http::serve_connection(
                    stream,
                    &|call: &Message, out: &mut _| engine.answer(call, out),
                );
            });
        }
    }

    /// Writes the engine's entries until it crashes.
    fn write_entries(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        let service = site::MODEL_SERVICE;
        let mut sequence = 0;
        while !self.is_down.load(Ordering::SeqCst) {
            sequence += 1;
            let entry = format!(
                concat!(
                    r#"{{"service":"{}","address":"{}","zone":"{}","#,
                    r#""version":"v1","slots":16,"state":"ready","#,
                    r#""coldRemainingMs":0,"stage":"combined","models":"#,
                    r#"[{{"name":"m","version":1,"adapters":[]}}],"#,
                    r#""sequence":{},"born":{}}}"#
                ),
                service, self.address, self.zone, sequence, born,
            );
            self.store.put("keyed.servers", &self.id, entry.as_bytes());
            std::thread::sleep(site::HEARTBEAT);
        }
    }

    fn crash(&self) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        let at = self.record.line(&format!("{} crashes", self.id));
        self.crashes.lock().expect("no panic").push(at);
        // The listener is closed first, as at the end of a process.
        std::thread::sleep(ACCEPT_PAUSE * 3);
        for stream in self.connections.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn answer(&self, call: &Message, out: &mut TcpStream) -> io::Result<()> {
        let id = self.id.as_str();
        if call.header("expect-instance").is_some_and(|it| it != id) {
            let headers = [("Instance-Id", id)];
            let status = "421 Misdirected Request";
            return http::respond(out, status, &headers, b"");
        }
        if call.path() == "/order" {
            return http::respond(out, "200 OK", &[], b"{\"available\":1000}");
        }
        let attempt = call.header("attempt-id").unwrap_or_default();
        let prefix = call.header("prompt-prefix").unwrap_or_default();
        let mut shared = prefix.split(',').rev().skip(1);
        let is_harmful = shared.any(|it| it.starts_with(HARMFUL_PART));
        let kind = if is_harmful { "harmful " } else { "" };
        let at = self.record.line(&format!("{id} gets {kind}{attempt}"));
        let arrival = Arrival { at, is_harmful };
        self.arrivals.lock().expect("no panic").push(arrival);
        std::thread::sleep(PREFILL);
        if is_harmful {
            self.crash();
        }
        if self.is_down.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n\
             Answer-Seal: seal.{id}.{attempt}\r\n\
             Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
        );
        out.write_all(head.as_bytes())?;
        for number in 0..EVENTS {
            let event = format!("id: {number}\ndata: part {number}\n\n");
            write!(out, "{:x}\r\n{event}\r\n", event.len())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        write!(out, "0\r\n\r\n")
    }
}
