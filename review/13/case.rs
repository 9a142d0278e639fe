//! Case 13: crashes that no instance remembers after all were killed.
//!
//! Starts a store, twelve engines and an application server as stand-ins, and
//! three gateway processes. Three prompts with a harmful part crash engines. Right
//! after the fifth crash all gateways are killed and start again. Then more such
//! prompts come, one at a time. Exits with 1 if the rule BUDGET is broken, with 0 if
//! it holds and with 2 if the case could not run. With `TROUBLE=0` no gateway is
//! killed; `DELAY_MS` is the time from the fifth crash to the kill.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// `contactMs` of the small deployments.
const CONTACT: Duration = Duration::from_millis(3_000);
const ENGINES: usize = 12;
const GATEWAYS: usize = 3;
/// Requests of one batch of the sound caller.
const BATCH: usize = 12;
/// Time for which a crashed engine is down: "back after some seconds".
const DOWN_TIME: Duration = Duration::from_millis(3_500);
/// First part of the prompts that crash engines.
const HARMFUL: &str = "bad00001";
/// Second part of all prompts.
const COMMON: &str = "c0330001";
/// Time between two of the first harmful prompts.
const FIRST_PAUSE: Duration = Duration::from_millis(120);
/// Time from the fifth crash to the kill.
const KILL_DELAY_MS: u64 = 200;
/// Harmful prompts after the start, and the time between two.
const LATER_PROMPTS: usize = 4;
const LATER_PAUSE: Duration = Duration::from_millis(1_500);
/// Time from the kill of a gateway to its next start.
const RESTART_TIME: Duration = Duration::from_secs(1);

struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    fn at(&self) -> Duration {
        self.start.elapsed()
    }
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

// HTTP

struct Message {
    first: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

/// Reads a request with an optional length; `None` at the end of the channel.
fn read_request(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| {
            (name.to_ascii_lowercase(), value.trim().to_owned())
        })
        .collect();
    let length = headers.get("content-length");
    let length = length.map_or(0, |length| length.parse().unwrap_or(0));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { first, headers, body })
}

fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len(),
    );
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

// Store

type KeyedRecord = (String, Vec<u8>);

#[derive(Default)]
struct Store {
    topics: Mutex<BTreeMap<String, Vec<KeyedRecord>>>,
    changed: Condvar,
}

impl Store {
    /// Appends a record; an empty value drops the key.
    fn put(&self, topic: &str, key: &str, value: &str) -> usize {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
        records.len() - 1
    }

    fn newest(&self, topic: &str) -> String {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(
                    r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#
                )
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!(r#"{{"items":[{items}],"more":false,"end":{end}}}"#)
    }

    fn tail(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut out = (records.len() as u64).to_be_bytes().to_vec();
        out.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let length = (1 + key.len() + value.len()) as u32;
            out.extend(length.to_be_bytes());
            out.push(key.len() as u8);
            out.extend(key.as_bytes());
            out.extend(value);
        }
        out
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let target = request.first.split(' ').nth(1).unwrap_or("");
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let field = |name: &str| {
                let fields = query.split('&').filter_map(|it| it.split_once('='));
                fields
                    .filter(|(key, _)| *key == name)
                    .map(|(_, value)| value.to_owned())
                    .next()
                    .unwrap_or_default()
            };
            let topic = field("topic");
            match path {
                "/log-newest" => {
                    let body = self.newest(&topic);
                    respond(&mut stream, "200 OK", "", body.as_bytes());
                }
                "/log-read" => {
                    let from = field("source").parse().unwrap_or(0);
                    let wait = field("waitMs").parse().unwrap_or(0);
                    let wait = Duration::from_millis(wait);
                    let body = self.tail(&topic, from, wait);
                    respond(&mut stream, "200 OK", "", &body);
                }
                "/log-append" => {
                    let record = &request.body[4..];
                    let (key, value) =
                        record[1..].split_at(record[0].into());
                    let key = String::from_utf8_lossy(key);
                    let value = String::from_utf8_lossy(value);
                    let at = self.put(&topic, &key, &value);
                    let body =
                        format!(r#"{{"offset":{at},"end":{}}}"#, at + 1);
                    respond(&mut stream, "200 OK", "", body.as_bytes());
                }
                _ => respond(&mut stream, "404 Not Found", "", b""),
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let [a, b, c] = group.map(u32::from);
        let number = a << 16 | b << 8 | c;
        for digit in 0..4 {
            let index = number >> (18 - 6 * digit) & 63;
            let is_filled = digit <= chunk.len();
            let text = if is_filled { DIGITS[index as usize] } else { b'=' };
            out.push(text.into());
        }
    }
    out
}

// Engines

struct Engine {
    number: usize,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<EngineState>,
    /// Times of the crashes of all engines.
    crashes: Arc<Mutex<Vec<Duration>>>,
    /// Times at which harmful requests reached engines.
    arrivals: Arc<Mutex<Vec<Duration>>>,
}

#[derive(Default)]
struct EngineState {
    id: String,
    starts: usize,
    channels: Vec<TcpStream>,
    /// Set once the process that listens now has crashed.
    crashed: Arc<AtomicBool>,
}

impl Engine {
    /// Starts a process of the engine, which registers itself.
    fn start(self: Arc<Self>, listener: TcpListener) {
        let crashed = Arc::new(AtomicBool::new(false));
        let id = {
            let mut state = self.state.lock().unwrap();
            state.starts += 1;
            state.id = format!("i-{}-{}", self.number, state.starts);
            state.crashed = crashed.clone();
            state.channels.clear();
            state.id.clone()
        };
        let Self { service, zone, address, .. } = &*self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            unix_millis(),
        );
        self.store.put("keyed.servers", &id, &entry);
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let copy = stream.try_clone().unwrap();
                self.state.lock().unwrap().channels.push(copy);
                let engine = self.clone();
                let crashed = crashed.clone();
                thread::spawn(move || engine.serve(stream, &crashed));
            }
        });
    }

    /// Closes the listener and all channels; the engine starts again later.
    fn crash(self: &Arc<Self>) {
        let (id, channels) = {
            let mut state = self.state.lock().unwrap();
            if state.crashed.swap(true, Ordering::SeqCst) {
                return;
            }
            (state.id.clone(), std::mem::take(&mut state.channels))
        };
        self.crashes.lock().unwrap().push(self.record.at());
        self.record.line(&format!("engine {id} crashes"));
        for channel in channels {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            engine.store.put("keyed.servers", &id, "");
            if let Ok(listener) = TcpListener::bind(engine.address) {
                engine.start(listener);
            }
        });
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream, crashed: &AtomicBool) {
        while let Some(request) = read_request(&mut stream) {
            let id = self.state.lock().unwrap().id.clone();
            let header = |name: &str| {
                request.headers.get(name).cloned().unwrap_or_default()
            };
            if request.first.starts_with("POST /order") {
                respond(&mut stream, "200 OK", "", br#"{"available":1}"#);
                continue;
            }
            if header("expect-instance") != id {
                respond(&mut stream, "421 Misdirected Request", "", b"");
                continue;
            }
            if request.first.starts_with("GET /health") {
                let fields = format!("Instance-Id: {id}\r\n");
                respond(&mut stream, "200 OK", &fields, b"");
                continue;
            }
            let attempt = header("attempt-id");
            if header("prompt-prefix").contains(HARMFUL) {
                self.arrivals.lock().unwrap().push(self.record.at());
            }
            thread::sleep(Duration::from_millis(30));
            self.record.line(&format!("engine {id} begins {attempt}"));
            if header("prompt-prefix").contains(HARMFUL) {
                self.crash();
                return;
            }
            if !self.write_stream(&mut stream, &attempt, crashed) {
                return;
            }
        }
    }

    /// Writes six events in chunks; returns whether all were written.
    fn write_stream(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        crashed: &AtomicBool,
    ) -> bool {
        let mut piece = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Attempt-Id: {attempt}\r\nAnswer-Seal: seal.{}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.number,
        );
        for number in 0..6 {
            let event = format!("id: {number}\ndata: part {number}\n\n");
            piece += &format!("{:x}\r\n{event}\r\n", event.len());
            let written = stream.write_all(piece.as_bytes());
            if written.is_err() || crashed.load(Ordering::SeqCst) {
                return false;
            }
            piece.clear();
            thread::sleep(Duration::from_millis(40));
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

// Gateways

struct Gateway {
    process: Mutex<Child>,
    settings: PathBuf,
    log: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
}

impl Gateway {
    /// Ends the process with SIGKILL.
    fn kill(&self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }

    /// Starts a process in place of one that was killed.
    fn restart(&self) -> io::Result<()> {
        *self.process.lock().unwrap() = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/borageline")
        .arg("gateway")
        .env("BORAGELINE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// A port that is free at all of the addresses.
fn free_port(ips: &[String]) -> io::Result<u16> {
    for _ in 0..200 {
        let first = TcpListener::bind((&*ips[0], 0))?;
        let port = first.local_addr()?.port();
        let mut others = ips[1..].iter();
        if others.all(|ip| TcpListener::bind((&**ip, port)).is_ok()) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no port is free at all addresses"))
}

fn start_gateways(
    folder: &PathBuf,
    store: SocketAddr,
) -> io::Result<Vec<Gateway>> {
    let net = 16 + std::process::id() % 200;
    let ips: Vec<_> =
        (1..=GATEWAYS).map(|host| format!("127.86.{net}.{host}")).collect();
    let mut ports = [0; 4];
    for port in &mut ports {
        *port = free_port(&ips)?;
    }
    let [front, ready, directory, peers] = ports;
    let seeds: Vec<_> = ips.iter().map(|ip| format!(r#""{ip}:1""#)).collect();
    let seeds = seeds.join(",");
    let mut gateways = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let zone = ["zone-a", "zone-b", "zone-c"][index];
        let settings = format!(
            r#"{{"instance":"edge-{zone}-1","failure_domain":"{zone}","ip":"{ip}",
            "listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","directory":"{ip}:{directory}"}},
            "peer_ports":[{peers},{peers}],"seeds":[{seeds}],"store":"{store}",
            "memory_mb":260,"descriptors":4100,
            "bounds":{{"grace_s":8,"drain_ms":2000,"config_ms":2000,"address_ttl_s":5,
            "retry_ratio":0.2,"retry_window_s":10,"retry_slack":100,"cold_factor":1.5,
            "cold_slack":5,"hold_ms":20000,"upstream_heartbeat_ms":1200}}}}"#,
        );
        let path = folder.join(format!("gateway-{index}.jsonc"));
        fs::write(&path, settings)?;
        let log = folder.join(format!("gateway-{index}.txt"));
        let process = Mutex::new(spawn(&path, &log)?);
        let address = |port| SocketAddr::new(ip.parse().unwrap(), port);
        gateways.push(Gateway {
            process,
            settings: path,
            log,
            front: address(front),
            ready: address(ready),
            directory: address(directory),
        });
    }
    Ok(gateways)
}

fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let head =
        format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn wait_ready(gateways: &[Gateway]) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    for gateway in gateways {
        while !get(gateway.ready, "/ready")
            .is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
        {
            if Instant::now() > until {
                return Err(io::Error::other("a gateway is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

// Clients

struct Clients {
    gateways: Vec<Gateway>,
    record: Arc<Record>,
    attempts: AtomicU64,
}

impl Clients {
    /// Asks a gateway for the addresses to use and picks one.
    fn resolve(&self, number: u64) -> io::Result<SocketAddr> {
        let asked = &self.gateways[number as usize % GATEWAYS];
        let path = "/resolve?name=shop.example&region=r&zone=zone-a";
        let text = get(asked.directory, path)?;
        let list = text.split("\"addresses\":[").nth(1).unwrap_or("");
        let list = list.split(']').next().unwrap_or("");
        let addresses: Vec<SocketAddr> = list
            .split(',')
            .filter_map(|it| it.trim_matches('"').parse().ok())
            .collect();
        let count = addresses.len();
        if count == 0 {
            return Ok(asked.front);
        }
        let draw = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        Ok(addresses[draw as usize % count])
    }

    /// Sends one prompt; returns whether its answer is a complete stream.
    fn send(&self, name: &str, parts: [&str; 2]) -> bool {
        let [first_part, second_part] = parts;
        let number = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let attempt = format!("{number:016x}");
        let sent = self.resolve(number).and_then(|address| {
            let body = format!("{name} {number}");
            let head = format!(
                "POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\n\
                 Attempt-Id: {attempt}\r\nAuthorization: Token key-a\r\n\
                 Deadline-Ms: 10000\r\nModel: m\r\nToken-Count: 1500,80\r\n\
                 Prompt-Prefix: {first_part}:400,{second_part}:800,{number:08x}:300\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len(),
            );
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(Duration::from_secs(11)))?;
            stream.write_all(head.as_bytes())?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer)?;
            Ok((address, answer))
        });
        let (text, is_whole) = match sent {
            Ok((address, answer)) => {
                let answer = String::from_utf8_lossy(&answer).into_owned();
                let status = answer.get(9..12).unwrap_or("").to_owned();
                let retry = answer
                    .split("\r\n")
                    .find_map(|it| it.strip_prefix("retry-after: "))
                    .unwrap_or("-");
                let is_whole = status == "200"
                    && answer.contains("data: part 5")
                    && answer.ends_with("0\r\n\r\n");
                let text = format!(
                    "at {address}: {status}, Retry-After {retry}, complete \
                     stream: {is_whole}",
                );
                (text, is_whole)
            }
            Err(error) => (error.to_string(), false),
        };
        self.record.line(&format!("{name} {attempt} {text}"));
        is_whole
    }
}

/// Sends a batch of sound prompts; returns how many were served.
fn send_batch(clients: &Arc<Clients>, second_part: &'static str) -> usize {
    let senders: Vec<_> = (0..BATCH)
        .map(|index| {
            let clients = clients.clone();
            let part = format!("a000000{}", index % 4);
            thread::spawn(move || clients.send("sound", [&part, second_part]))
        })
        .collect();
    let served = senders.into_iter().map(|it| it.join().unwrap_or(false));
    served.filter(|served| *served).count()
}

fn run(folder: &PathBuf, record: &Arc<Record>) -> io::Result<bool> {
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let is_killed = trouble != "0";
    let delay = std::env::var("DELAY_MS").ok();
    let delay = delay.and_then(|text| text.parse().ok());
    let delay = Duration::from_millis(delay.unwrap_or(KILL_DELAY_MS));
    let store = Arc::new(Store::default());
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let store_address = listener.local_addr()?;
    let served = store.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = served.clone();
            thread::spawn(move || store.serve(stream));
        }
    });
    let crashes = Arc::new(Mutex::new(Vec::new()));
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    for number in 0..=ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Engine {
            number,
            service: if number < ENGINES { "models" } else { "numbers" },
            zone: ["zone-a", "zone-b", "zone-c"][number % 3],
            address: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::default(),
            crashes: crashes.clone(),
            arrivals: arrivals.clone(),
        });
        engine.start(listener);
    }
    store.put(
        "keyed.op",
        "config",
        r#"{"version":1,"routes":[
        {"name":"draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming","resumable":true,"timeoutMs":10000,"targetLatencyMs":300,"gapTargetMs":250,"priority":1,"service":"models","maxAttempts":2,"sticky":true},
        {"name":"issue","host":"shop.example","pathPrefix":"/issue/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":100,"priority":2,"service":"numbers","maxAttempts":1}],
        "services":[{"name":"models","healthPath":"/health","maxConnections":294,"coldS":3.0,"coldPerS":36.0,"engine":{"slots":16,"kvCapacityTokens":315000,"step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000,"pairs_per_m":0.184,"stride":51}},
        {"name":"numbers","healthPath":"/health","maxConnections":100}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"acme","apiKeys":["key-a"]}]}"#,
    );
    let gateways = start_gateways(folder, store_address)?;
    wait_ready(&gateways)?;
    // From here on all gateways are in touch.
    thread::sleep(CONTACT + Duration::from_secs(1));
    let clients = Arc::new(Clients {
        gateways,
        record: record.clone(),
        attempts: AtomicU64::new(0),
    });
    let begin = Instant::now();
    let at = |seconds: f64| {
        let at = begin + Duration::from_secs_f64(seconds);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };

    let before = send_batch(&clients, COMMON);
    at(4.0);
    let senders: Vec<_> = (0..3)
        .map(|_| {
            let clients = clients.clone();
            let send = move || clients.send("odd", [HARMFUL, COMMON]);
            let sender = thread::spawn(send);
            // Otherwise one crash would end several of them.
            thread::sleep(FIRST_PAUSE);
            sender
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(5);
    while crashes.lock().unwrap().len() < 5 {
        if Instant::now() > until {
            return Err(io::Error::other("fewer than five engines crashed"));
        }
        thread::sleep(Duration::from_millis(1));
    }
    if is_killed {
        thread::sleep(delay);
        record.line("all gateways are killed");
        for gateway in &clients.gateways {
            gateway.kill();
        }
        thread::sleep(RESTART_TIME);
        for gateway in &clients.gateways {
            gateway.restart()?;
        }
        wait_ready(&clients.gateways)?;
        record.line("all gateways are ready again");
    }
    for sender in senders {
        let _ = sender.join();
    }
    let fifth = crashes.lock().unwrap()[4];
    // All engines are back, and all gateways are in touch.
    thread::sleep(CONTACT + Duration::from_secs(2));
    let judged_from = record.at().max(fifth + CONTACT);
    for _ in 0..LATER_PROMPTS {
        clients.send("odd", [HARMFUL, COMMON]);
        thread::sleep(LATER_PAUSE);
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let crashes = crashes.lock().unwrap().clone();
    let late = arrivals.iter().filter(|at| **at >= judged_from).count();
    let is_broken = late > 3;
    record.line(&format!(
        "crashes at {crashes:?}; {before} of {BATCH} sound prompts served before; \
         harmful requests reached engines at {arrivals:?}, {late} of them later \
         than {judged_from:?}: BUDGET is {}",
        if is_broken { "broken" } else { "kept" },
    ));
    println!("{late} harmful requests reached engines, three are allowed");
    Ok(is_broken)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
    let (Some(folder), Some(record)) = (arguments.next(), arguments.next())
    else {
        return ExitCode::from(2);
    };
    let Ok(file) = File::create(record) else {
        return ExitCode::from(2);
    };
    let record = Arc::new(Record {
        start: Instant::now(),
        file: Mutex::new(file),
    });
    match run(&folder, &record) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
