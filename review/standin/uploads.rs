//! Many callers send long bodies to one gateway at the same time.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    Outcome, Scene,
    gateway::{self, Plan},
    http,
    model::Fleet,
    record::Record,
    site,
    store::Store,
};

/// Callers that send a long body; the site has 97 clients.
const SENDERS: usize = 80;
/// `maxBodyBytes` of the desired state.
const BODY_BYTES: usize = 4_194_304;
/// Time in which a body is sent, in pieces.
const SEND_TIME: Duration = Duration::from_secs(4);
const PIECES: usize = 50;
/// Senders at the same time without the disruption.
const SENDERS_IN_TURN: usize = 8;
/// Callers with streams over kept channels.
const READERS: usize = 10;
/// Requests that a machine may cut off, by the rule.
const CUT_MAX: usize = 3;

/// A request over a kept channel that ended without a complete answer.
struct Cut {
    attempt: String,
    error: String,
}

pub fn run(scene: &Scene) -> Result<Outcome, String> {
    let record = &scene.record;
    let (store, address) = Store::start(site::LAPSE);
    store.put("keyed.op", "config", site::desired_state().as_bytes());
    let ids = [
        ("i-model1", site::ZONES[0]),
        ("i-model2", site::ZONES[1]),
        ("i-model3", site::ZONES[2]),
    ];
    let fleet = Fleet::start(&ids, &store, record);
    let mut gateways = gateway::start(&Plan {
        folder: &scene.folder,
        store: address,
        zones: &site::ZONES[..1],
        figures: &site::FIGURES,
    })?;
    // The machine is in touch from then on.
    std::thread::sleep(site::CONTACT);
    let front = gateways[0].front;
    let stop = Arc::new(AtomicBool::new(false));
    let cuts = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicU64::new(0));
    for reader in 0..READERS {
        let (record, stop) = (record.clone(), stop.clone());
        let (cuts, answered) = (cuts.clone(), answered.clone());
        std::thread::spawn(move || {
            read_streams(&record, front, reader, &stop, &cuts, &answered);
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    let senders = std::thread::spawn({
        let (record, with_trouble) = (record.clone(), scene.with_trouble);
        move || send_bodies(&record, front, with_trouble)
    });
    let mut highest = 0.0_f64;
    let mut is_killed = false;
    while !senders.is_finished() {
        let memory = gateways[0].memory_mb();
        highest = highest.max(memory);
        if memory > site::MEMORY_MB && !is_killed {
            is_killed = true;
            record.line(&format!(
                "memory of the gateway is {memory:.0} MB: the platform kills it",
            ));
            let _ = gateways[0].child.kill();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let statuses = senders.join().expect("no panic");
    // Streams that were cut off are known by then.
    std::thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let cuts = std::mem::take(&mut *cuts.lock().expect("no panic"));
    drop(gateways);

    let arrivals = fleet.arrivals.lock().expect("no panic").clone();
    let reached = |attempt: &str| arrivals.iter().any(|(it, _)| it == attempt);
    let lost = cuts.iter().filter(|it| reached(&it.attempt));
    let lost = lost.inspect(|it| {
        record.line(&format!(
            "LOST: {} was passed on from a kept channel; {}",
            it.attempt, it.error,
        ));
    });
    let lost = lost.count();
    record.say(&format!(
        "{SENDERS} bodies, {} refused with 503; most memory {highest:.0} MB of \
         {:.0}; {} streams answered, {lost} cut off",
        statuses.iter().filter(|it| it.as_str() == "503").count(),
        site::MEMORY_MB,
        answered.load(Ordering::SeqCst),
    ));
    Ok(Outcome::of(is_killed && lost > CUT_MAX))
}

/// Sends streaming requests one after the other over one channel, until it is
/// closed.
fn read_streams(
    record: &Record,
    front: SocketAddr,
    reader: usize,
    stop: &AtomicBool,
    cuts: &Mutex<Vec<Cut>>,
    answered: &AtomicU64,
) {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return;
    };
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(copy);
    for number in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let attempt = format!("{reader:08x}{number:08x}");
        let parts = format!("5c1e07a2:40,{attempt}:960");
        let headers = [
            ("Host", site::HOST),
            ("Attempt-Id", attempt.as_str()),
            ("Model", "m"),
            ("Token-Count", "1000,800"),
            ("Prompt-Prefix", parts.as_str()),
            ("Deadline-Ms", "10000"),
            ("Authorization", site::KEY),
        ];
        record.line(&format!("caller sends {attempt} over its channel"));
        let request = http::request_bytes("POST", "/query/1", &headers, b"{}");
        let read = stream.write_all(&request).and_then(|()| {
            let head = http::read_head(&mut input)?;
            let mut answer = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            http::read_body(&mut input, &mut answer, true)?;
            Ok(answer.status())
        });
        match read {
            Ok(status) => {
                answered.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                record.line(&format!("caller got {status} to {attempt}"));
            }
            Err(error) => {
                let error = error.to_string();
                record.line(&format!(
                    "caller got no answer to {attempt}: {error}"
                ));
                if number > 0 {
                    let cut = Cut { attempt, error };
                    cuts.lock().expect("no panic").push(cut);
                }
                return;
            }
        }
    }
}

/// Sends all bodies, at the same time or a few after the other, and returns how
/// each ended.
fn send_bodies(
    record: &Record,
    front: SocketAddr,
    with_trouble: bool,
) -> Vec<String> {
    let at_once = if with_trouble {
        SENDERS
    } else {
        SENDERS_IN_TURN
    };
    let mut outcomes = Vec::new();
    for first in (0..SENDERS).step_by(at_once) {
        let threads: Vec<_> = (first..first + at_once)
            .map(|sender| {
                let record = record.clone();
                std::thread::spawn(move || {
                    let sent = send_body(&record, front, sender);
                    let outcome = match sent {
                        Ok(status) => status.to_string(),
                        Err(error) => format!("no answer ({error})"),
                    };
                    record.line(&format!("sender {sender} got {outcome}"));
                    outcome
                })
            })
            .collect();
        let ended = threads.into_iter().map(|it| it.join().expect("no panic"));
        outcomes.extend(ended);
    }
    outcomes
}

fn send_body(
    record: &Record,
    front: SocketAddr,
    sender: usize,
) -> std::io::Result<u16> {
    let attempt = format!("b0d7{sender:012x}");
    let parts = format!("5c1e07a2:40,{attempt}:960");
    let headers = [
        ("Host", site::HOST),
        ("Attempt-Id", attempt.as_str()),
        ("Model", "m"),
        ("Token-Count", "1000,800"),
        ("Prompt-Prefix", parts.as_str()),
        ("Deadline-Ms", "15000"),
        ("Authorization", site::KEY),
    ];
    record.line(&format!(
        "sender {sender} sends {attempt}, {BODY_BYTES} bytes"
    ));
    let body = vec![b'p'; BODY_BYTES];
    let request = http::request_bytes("POST", "/review/1", &headers, &body);
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    for piece in request.chunks(request.len().div_ceil(PIECES)) {
        stream.write_all(piece)?;
        std::thread::sleep(SEND_TIME / PIECES as u32);
    }
    let mut input = BufReader::new(stream);
    let head = http::read_head(&mut input)?;
    let mut answer = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    http::read_body(&mut input, &mut answer, true)?;
    Ok(answer.status())
}
