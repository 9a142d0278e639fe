//! Stand-in of the model engines of a service: each prefills its prompts one
//! after the other, in the time that the site's figures give, alone or with the
//! helpers that a request names, and then streams events.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    site,
    store::Store,
};

/// Events of a stream, and the pause between two.
const EVENTS: u32 = 16;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// All engines of the service.
pub struct Fleet {
    /// Time until which each engine prefills.
    busy_until: Mutex<HashMap<SocketAddr, Instant>>,
    record: Record,
    /// Attempts that reached an engine, with the times.
    pub arrivals: Mutex<Vec<(String, Duration)>>,
}

impl Fleet {
    pub fn start(
        ids: &[(&str, &str)],
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let fleet = Arc::new(Self {
            busy_until: Mutex::new(HashMap::new()),
            record: record.clone(),
            arrivals: Mutex::new(Vec::new()),
        });
        for (id, zone) in ids {
            let listener =
                TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address");
            let (id, zone) = ((*id).to_owned(), (*zone).to_owned());
            let store = store.clone();
            let name = id.clone();
            std::thread::spawn(move || {
                write_entries(&name, &zone, address, &store)
            });
            let served = fleet.clone();
            let handler = move |call: &Message, out: &mut TcpStream| {
                served.answer(&id, address, call, out)
            };
            http::serve(listener, Arc::new(handler));
        }
        fleet
    }

    fn answer(
        &self,
        id: &str,
        own: SocketAddr,
        call: &Message,
        out: &mut TcpStream,
    ) -> io::Result<()> {
        if call.header("expect-instance").is_some_and(|it| it != id) {
            let headers = [("Instance-Id", id)];
            let status = "421 Misdirected Request";
            return http::respond(out, status, &headers, b"");
        }
        if call.path() == "/order" {
            return http::respond(out, "200 OK", &[], b"{\"available\":1000}");
        }
        let attempt = call.header("attempt-id").unwrap_or_default().to_owned();
        let at = self.record.line(&format!("{id} gets {attempt}"));
        self.arrivals
            .lock()
            .expect("no panic")
            .push((attempt.clone(), at));
        let first_event = self.prefill(own, call);
        let seal = format!("seal.{id}.{attempt}");
        write!(
            out,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        std::thread::sleep(
            first_event.saturating_duration_since(Instant::now()),
        );
        self.record
            .line(&format!("{id} begins its answer to {attempt}"));
        for number in 0..EVENTS {
            let event = format!("id: {number}\ndata: part {number}\n\n");
            write!(out, "{:x}\r\n{event}\r\n", event.len())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        write!(out, "0\r\n\r\n")
    }

    /// Adds the prompt to the work of its engines; returns when they are done.
    fn prefill(&self, own: SocketAddr, call: &Message) -> Instant {
        let count = call.header("token-count").unwrap_or_default();
        let tokens = count.split(',').next().unwrap_or_default();
        let tokens: f64 = tokens.parse().unwrap_or(0.0);
        let mut engines = vec![own];
        let helpers = call.header("helpers").unwrap_or_default().split(',');
        let helpers = helpers
            .filter_map(|it| it.split('/').next()?.parse::<SocketAddr>().ok());
        engines.extend(helpers);
        let share = site::prefill_time(tokens).div_f64(engines.len() as f64);
        let mut busy_until = self.busy_until.lock().expect("no panic");
        let now = Instant::now();
        let ends = engines.iter().map(|address| {
            let free_at = busy_until.entry(*address).or_insert(now);
            *free_at = now.max(*free_at) + share;
            *free_at
        });
        ends.max().unwrap_or(now)
    }
}

fn write_entries(id: &str, zone: &str, address: SocketAddr, store: &Store) {
    let service = site::MODEL_SERVICE;
    for sequence in 1_u64.. {
        let entry = format!(
            concat!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","#,
                r#""slots":16,"state":"ready","coldRemainingMs":0,"#,
                r#""stage":"combined","models":[{{"name":"m","version":1,"#,
                r#""adapters":[]}}],"sequence":{},"born":1790000000000}}"#
            ),
            service, address, zone, sequence,
        );
        store.put("keyed.servers", id, entry.as_bytes());
        std::thread::sleep(site::HEARTBEAT);
    }
}
