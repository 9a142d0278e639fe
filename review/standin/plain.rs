//! Stand-in of an engine of a plain service: registers in the store, runs one
//! request at a time on a connection, and leaves when it is told to.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};

/// One request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Duration,
    /// Whether the answer was written.
    pub answered: bool,
}

pub struct Engine {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    work: Duration,
    record: Record,
    store: Arc<Store>,
    /// Whether the engine is leaving: it no longer writes its entry, and says so
    /// in all its answers.
    pub is_leaving: AtomicBool,
    has_ended: AtomicBool,
    /// Delay after which the store carries out the next entry, whose answer
    /// is lost.
    pub next_is_late: Mutex<Option<Duration>>,
    connections: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
}

impl Engine {
    pub fn start(
        name: (&str, &str, &str),
        heartbeat: Duration,
        work: Duration,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let engine = Arc::new(Self {
            id: name.0.into(),
            service: name.1.into(),
            zone: name.2.into(),
            address: listener.local_addr().expect("an address"),
            born: now.as_millis() as u64,
            sequence: AtomicU64::new(0),
            work,
            record: record.clone(),
            store: store.clone(),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            next_is_late: Mutex::new(None),
            connections: Mutex::new(Vec::new()),
            runs: Mutex::new(Vec::new()),
        });
        engine.write_entry();
        let beating = engine.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(heartbeat);
                if beating.is_leaving.load(Ordering::SeqCst) {
                    return;
                }
                beating.write_entry();
            }
        });
        let accepting = engine.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        engine
    }

    fn entry(&self) -> (u64, Vec<u8>) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            concat!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","#,
                r#""slots":6,"state":"ready","coldRemainingMs":0,"#,
                r#""sequence":{},"born":{}}}"#
            ),
            self.service, self.address, self.zone, sequence, self.born,
        );
        (sequence, entry.into_bytes())
    }

    /// Writes the engine's entry to the store. Where the answer is lost, the
    /// store carries the call out later.
    fn write_entry(self: &Arc<Self>) {
        let (sequence, entry) = self.entry();
        let late = self.next_is_late.lock().expect("no panic").take();
        let Some(delay) = late else {
            self.store.put("keyed.servers", &self.id, &entry);
            let id = &self.id;
            self.record.line(&format!(
                "store: entry of {id}, sequence {sequence}, ready"
            ));
            return;
        };
        let engine = self.clone();
        self.record.line(&format!(
            "store: answer lost to the entry of {}, sequence {sequence}, ready",
            self.id,
        ));
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            engine.store.put("keyed.servers", &engine.id, &entry);
            engine.record.line(&format!(
                "store: carries out the entry of {}, sequence {sequence}, ready",
                engine.id,
            ));
        });
    }

    /// Removes the engine's entry; it goes on serving.
    pub fn leave(&self) -> Duration {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, b"");
        let id = &self.id;
        self.record
            .line(&format!("store: entry of {id} removed, it is leaving"))
    }

    /// Ends the engine and all its connections.
    pub fn exit(&self) -> Duration {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("{} exits", self.id))
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
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

    fn answer(&self, call: &Message, out: &mut TcpStream) -> io::Result<()> {
        let id = self.id.as_str();
        if call.header("expect-instance").is_some_and(|it| it != id) {
            let headers = [("Instance-Id", id)];
            let status = "421 Misdirected Request";
            return http::respond(out, status, &headers, b"");
        }
        let attempt = call.header("attempt-id").unwrap_or_default().to_owned();
        let at = self.record.line(&format!("{id} runs {attempt}"));
        let index = {
            let mut runs = self.runs.lock().expect("no panic");
            runs.push(Run {
                attempt: attempt.clone(),
                at,
                answered: false,
            });
            runs.len() - 1
        };
        std::thread::sleep(self.work);
        if self.has_ended.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let seal = format!("seal.{id}.{attempt}");
        let mut headers =
            vec![("Attempt-Id", attempt.as_str()), ("Answer-Seal", &seal)];
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        http::respond(out, "200 OK", &headers, &[b'n'; 800])?;
        self.runs.lock().expect("no panic")[index].answered = true;
        Ok(())
    }
}
