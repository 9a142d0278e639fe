//! Stand-in of the platform's store: keyed topics with one partition each.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::http::{self, Message};

#[derive(Default)]
struct Topic {
    /// Key and value of each record; an empty value removes the key.
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Time of the last entry of each upstream, for the removal of silent ones.
    heard: HashMap<String, Instant>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store. Entries of upstreams that were not written for
    /// `lapse` are removed.
    pub fn start(lapse: Duration) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        http::serve(
            listener,
            Arc::new(move |call: &Message, out: &mut TcpStream| {
                served.answer(call, out)
            }),
        );
        let kept = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                kept.remove_silent(lapse);
            }
        });
        (store, address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Appends a record and returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut state = self.lock();
        if topic == "keyed.servers" {
            if value.is_empty() {
                state.heard.remove(key);
            } else {
                state.heard.insert(key.into(), Instant::now());
            }
        }
        let topic = state.topics.entry(topic.into()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.push((key.into(), value.to_vec()));
        if value.is_empty() {
            topic.newest.remove(key);
        } else {
            topic.newest.insert(key.into(), (offset, value.to_vec()));
        }
        drop(state);
        self.changed.notify_all();
        offset
    }

    fn remove_silent(&self, lapse: Duration) {
        let silent: Vec<String> = {
            let state = self.lock();
            let heard = state.heard.iter();
            let silent = heard.filter(|(_, at)| at.elapsed() > lapse);
            silent.map(|(key, _)| key.clone()).collect()
        };
        for key in silent {
            self.put("keyed.servers", &key, b"");
        }
    }

    fn answer(&self, call: &Message, out: &mut TcpStream) -> io::Result<()> {
        let topic = call.query("topic").unwrap_or_default().to_owned();
        match call.path() {
            "/log-read" => self.read(call, &topic, out),
            "/log-newest" => self.newest(call, &topic, out),
            "/log-append" => self.append(call, &topic, out),
            _ => http::respond(out, "404 Not Found", &[], b""),
        }
    }

    fn read(
        &self,
        call: &Message,
        topic: &str,
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let from = call.number("source") as usize;
        let wait = Duration::from_millis(call.number("waitMs").min(30_000));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let records =
                &state.topics.entry(topic.into()).or_default().records;
            if from > records.len() {
                let body = b"{\"first\":0}";
                drop(state);
                return http::respond(out, "410 Gone", &[], body);
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                drop(state);
                return http::respond(out, "200 OK", &[], &body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|it| it.into_inner()).0;
        }
    }

    fn newest(
        &self,
        call: &Message,
        topic: &str,
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let after = call.query("after").unwrap_or_default().to_owned();
        let body = {
            let mut state = self.lock();
            let topic = state.topics.entry(topic.into()).or_default();
            let items: Vec<String> = topic
                .newest
                .iter()
                .filter(|(key, _)| after.is_empty() || **key > after)
                .map(|(key, (offset, value))| {
                    let value = base64(value);
                    format!(
                        r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#
                    )
                })
                .collect();
            format!(
                r#"{{"items":[{}],"more":false,"end":{}}}"#,
                items.join(","),
                topic.records.len(),
            )
        };
        let json = [("Content-Type", "application/json")];
        http::respond(out, "200 OK", &json, body.as_bytes())
    }

    fn append(
        &self,
        call: &Message,
        topic: &str,
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let mut rest = &call.body[..];
        let mut first = None;
        while rest.len() > 4 {
            let length =
                rest[..4].iter().fold(0, |sum, it| sum << 8 | *it as usize);
            let record = rest.get(4..4 + length).unwrap_or_default();
            let Some((size, record)) = record.split_first() else {
                break;
            };
            let (key, value) =
                record.split_at((*size as usize).min(record.len()));
            let key = String::from_utf8_lossy(key);
            first.get_or_insert(self.put(topic, &key, value));
            rest = &rest[4 + length..];
        }
        let first = first.unwrap_or_default();
        let body = format!(r#"{{"offset":{first},"end":{}}}"#, first + 1);
        http::respond(out, "200 OK", &[], body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits =
                bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
