//! A part far back in the prompts of some callers crashes engines.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    Outcome, Scene,
    crashing::{Engine, HARMFUL_PART},
    gateway::{self, Plan},
    http,
    record::Record,
    site,
    store::Store,
};

/// Engines of the service; the site has 21.
const ENGINES: usize = 12;
/// Shared parts of each prompt, before the one of the request itself.
const SHARED_PARTS: usize = 20;
/// Position of the harmful part among them, from 1, unless `PART` says another.
const POSITION: usize = 18;
/// Time between two requests with the harmful part, and their number.
const HARMFUL_PAUSE: Duration = Duration::from_millis(1_500);
const HARMFUL_REQUESTS: usize = 16;
/// Callers of sound requests, and the pause of each between two.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(200);
/// Crashes after which the rule begins to count.
const CRASHES_ALLOWED: usize = 5;
/// Requests that may reach engines from then on.
const ARRIVALS_MAX: usize = 3;

pub fn run(scene: &Scene) -> Result<Outcome, String> {
    let record = &scene.record;
    let position = std::env::var("PART").ok().and_then(|it| it.parse().ok());
    let position = position.unwrap_or(POSITION);
    let (store, address) = Store::start(site::LAPSE);
    store.put("keyed.op", "config", site::desired_state().as_bytes());
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-model{number}");
            Engine::start(&id, site::ZONES[number % 3], &store, record)
        })
        .collect();
    let gateways = gateway::start(&Plan {
        folder: &scene.folder,
        store: address,
        zones: &site::ZONES,
        figures: &site::FIGURES,
    })?;
    // All machines are in touch from then on.
    std::thread::sleep(site::CONTACT);
    let fronts: Vec<_> = gateways.iter().map(|it| it.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, fronts) = (record.clone(), fronts.clone());
            let (stop, served) = (stop.clone(), served.clone());
            let failed = failed.clone();
            std::thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("50{caller:06x}{number:08x}");
                    let front = fronts[(caller + number) % fronts.len()];
                    let status = send(&record, front, &attempt, 0);
                    let count = if status == 200 { &served } else { &failed };
                    count.fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    for number in 0..HARMFUL_REQUESTS {
        let position = if scene.with_trouble { position } else { 0 };
        let (record, front) = (record.clone(), fronts[number % fronts.len()]);
        std::thread::spawn(move || {
            let attempt = format!("bad0{number:012x}");
            send(&record, front, &attempt, position);
        });
        std::thread::sleep(HARMFUL_PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateways);

    let mut crashes = Vec::new();
    let mut arrivals = Vec::new();
    for engine in &engines {
        crashes.extend(engine.crashes.lock().expect("no panic").clone());
        arrivals.extend(engine.arrivals.lock().expect("no panic").clone());
    }
    crashes.sort();
    let bound = crashes
        .get(CRASHES_ALLOWED - 1)
        .map(|at| *at + site::CONTACT);
    let late = arrivals
        .iter()
        .filter(|it| it.is_harmful && bound.is_some_and(|bound| it.at > bound));
    let late = late.count();
    record.say(&format!(
        "{} sound requests served, {} not; {} crashes; {late} requests with the \
         harmful part reached engines later than {} ms after the fifth",
        served.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst),
        crashes.len(),
        site::CONTACT.as_millis(),
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return Err("the deployment does not serve".into());
    }
    Ok(Outcome::of(late > ARRIVALS_MAX))
}

/// Sends a request whose prompt has the harmful part at a position, or not at
/// all if that is 0; returns the status of the answer, 0 without one.
fn send(
    record: &Record,
    front: SocketAddr,
    attempt: &str,
    harmful_position: usize,
) -> u16 {
    let mut parts: Vec<_> = (1..=SHARED_PARTS)
        .map(|position| format!("{:08x}:40", 0x5c1e_0000 + position))
        .collect();
    if harmful_position > 0 {
        parts[harmful_position - 1] = format!("{HARMFUL_PART}:40");
    }
    parts.push(format!("{attempt}:200"));
    let parts = parts.join(",");
    let headers = [
        ("Host", site::HOST),
        ("Attempt-Id", attempt),
        ("Model", "m"),
        ("Token-Count", "1000,300"),
        ("Prompt-Prefix", parts.as_str()),
        ("Deadline-Ms", "10000"),
        ("Authorization", site::KEY),
    ];
    let body = format!("prompt of {attempt}");
    record.line(&format!("caller sends {attempt} to {front}"));
    let wait = Duration::from_secs(10);
    let called =
        http::call(front, "POST", "/query/1", &headers, body.as_bytes(), wait);
    let outcome = called.map(|answer| answer.status());
    record.line(&format!("caller of {attempt} got {outcome:?}"));
    outcome.unwrap_or(0)
}
