//! A gateway is stopped while it holds prompts back.

use std::{process::Command, thread::JoinHandle, time::Duration};

use crate::{
    Outcome, Scene,
    gateway::{self, Plan},
    http,
    model::Fleet,
    record::Record,
    site,
    store::Store,
};

/// Prompts that arrive at the gateway, and the time between two.
const PROMPTS: usize = 10;
const PROMPT_PAUSE: Duration = Duration::from_millis(150);
/// Tokens of each: the mean of the kind of request on the site's sheet.
const TOKENS: u32 = 154_000;
/// Time limit of the kind of request on the site's sheet.
const DEADLINE: Duration = Duration::from_secs(15);
/// Prompts that arrive before the signal; the callers of the others have an
/// answer of the directory that is not yet 2 s old.
const BEFORE_STOP: usize = 5;
/// `graceS`
const GRACE: Duration = Duration::from_secs(8);

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
        zones: &site::ZONES[..2],
        figures: &site::FIGURES,
    })?;
    // All machines are in touch from then on.
    std::thread::sleep(site::CONTACT);
    let front = gateways[0].front;
    let mut callers = Vec::new();
    let mut stopped_at = None;
    for number in 0..PROMPTS {
        if number == BEFORE_STOP && scene.with_trouble {
            let pid = gateways[0].child.id().to_string();
            let ip = gateways[0].ip;
            let sent = Command::new("kill").args(["-TERM", &pid]).status();
            if !sent.is_ok_and(|it| it.success()) {
                return Err("SIGTERM was not sent".into());
            }
            let text = format!("the platform sends SIGTERM to {ip}");
            stopped_at = Some(record.line(&text));
        }
        callers.push(send(record, front, format!("{number:016x}")));
        std::thread::sleep(PROMPT_PAUSE);
    }
    if let Some(at) = stopped_at {
        while gateways[0].is_running() && record.now() < at + GRACE {
            std::thread::sleep(Duration::from_millis(5));
        }
        let after = (record.now() - at).as_secs_f64();
        record
            .line(&format!("the process has ended {after:.3} s after SIGTERM"));
    }
    let ended: Vec<_> = callers
        .into_iter()
        .map(|it| it.join().expect("no panic"))
        .collect();
    drop(gateways);

    let arrivals = fleet.arrivals.lock().expect("no panic").clone();
    let mut lost = 0;
    let mut answered = 0;
    for (attempt, outcome) in &ended {
        let is_sent = arrivals.iter().any(|(it, _)| it == attempt);
        let has_answer = matches!(outcome, Ok(200 | 503));
        answered += usize::from(has_answer);
        let text = match outcome {
            Ok(status) => status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        record.say(&format!(
            "{attempt}: {text}; {} an engine",
            if is_sent { "reached" } else { "never reached" },
        ));
        // A request at an engine that is still at work at the end is excused.
        lost += usize::from(!has_answer && !is_sent);
    }
    record.say(&format!(
        "{PROMPTS} requests, {answered} got an answer or a refusal; {lost} got \
         neither though they had not been sent to an engine",
    ));
    Ok(Outcome::of(lost > 0))
}

type Ended = (String, Result<u16, std::io::Error>);

fn send(
    record: &Record,
    front: std::net::SocketAddr,
    attempt: String,
) -> JoinHandle<Ended> {
    let record = record.clone();
    std::thread::spawn(move || {
        record.line(&format!(
            "caller sends {attempt}, {TOKENS} tokens, to {front}"
        ));
        let size = format!("{TOKENS},800");
        let parts = format!("5c1e07a2:40,{attempt}:{}", TOKENS - 40);
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [
            ("Host", site::HOST),
            ("Attempt-Id", attempt.as_str()),
            ("Model", "m"),
            ("Token-Count", size.as_str()),
            ("Prompt-Prefix", parts.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Authorization", site::KEY),
        ];
        let body = [b'p'; 38_000];
        let called =
            http::call(front, "POST", "/review/1", &headers, &body, DEADLINE);
        let outcome = called.map(|answer| answer.status());
        record.line(&format!("caller of {attempt} got {outcome:?}"));
        (attempt, outcome)
    })
}
