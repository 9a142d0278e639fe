//! A desired state brings a tenant whose name holds a space, and takes a key
//! away.

use std::{net::SocketAddr, time::Duration};

use crate::{
    Outcome, Scene,
    gateway::{self, Plan},
    http,
    plain::Engine,
    record::Record,
    site,
    store::Store,
};

const WORK: Duration = Duration::from_millis(15);
/// Name of the new tenant, and the one without the disruption.
const NAME: &str = "Ehitus ja Pojad";
const PLAIN_NAME: &str = "ehitus";
/// Requests with each key to each gateway, and the time between two.
const REQUESTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(scene: &Scene) -> Result<Outcome, String> {
    let record = &scene.record;
    let (store, address) = Store::start(site::LAPSE);
    let first = site::desired_state_with(
        7,
        r#"{"name":"liit","apiKeys":["key-a","key-b"],"priority":1}"#,
    );
    store.put("keyed.op", "config", first.as_bytes());
    let engine = |id, zone| {
        let name = (id, site::PLAIN_SERVICE, zone);
        Engine::start(name, site::HEARTBEAT, WORK, &store, record)
    };
    let engines = [
        engine("i-plain1", site::ZONES[0]),
        engine("i-plain2", site::ZONES[1]),
        engine("i-plain3", site::ZONES[2]),
    ];
    let gateways = gateway::start(&Plan {
        folder: &scene.folder,
        store: address,
        zones: &site::ZONES,
        figures: &site::FIGURES,
    })?;
    // All machines are in touch from then on.
    std::thread::sleep(site::CONTACT);
    let fronts: Vec<_> = gateways.iter().map(|it| it.front).collect();
    let before = send_all(record, &fronts, "key-b", "b");
    if before.iter().any(|status| *status != 200) {
        return Err("the first desired state is not in force".into());
    }
    let name = if scene.with_trouble { NAME } else { PLAIN_NAME };
    let next = format!(
        r#"{{"name":"liit","apiKeys":["key-a"],"priority":1}},{{"name":"{name}","apiKeys":["key-c"],"priority":1}}"#
    );
    let next = site::desired_state_with(8, &next);
    store.put("keyed.op", "config", next.as_bytes());
    record.line(&format!(
        "the store confirms version 8: tenant {name:?} with key-c, key-b is gone",
    ));
    std::thread::sleep(site::CONFIG_APPLY + Duration::from_millis(200));
    let dropped = send_all(record, &fronts, "key-b", "d");
    let added = send_all(record, &fronts, "key-c", "c");
    let kept = send_all(record, &fronts, "key-a", "a");
    drop(gateways);

    let runs = engines.iter().map(|engine| {
        let runs = engine.runs.lock().expect("no panic");
        runs.iter().filter(|it| it.attempt.starts_with('d')).count()
    });
    let run: usize = runs.sum();
    let refused = added.iter().filter(|status| **status == 401).count();
    record.say(&format!(
        "later than {} ms after version 8: {run} of {} requests with the dropped \
         key were run, {refused} of {} with the new key got 401, {} of {} with \
         the kept key got 200",
        site::CONFIG_APPLY.as_millis(),
        dropped.len(),
        added.len(),
        kept.iter().filter(|status| **status == 200).count(),
        kept.len(),
    ));
    Ok(Outcome::of(run > 0 || refused > 0))
}

/// Sends requests with a key to each gateway; returns the statuses.
fn send_all(
    record: &Record,
    fronts: &[SocketAddr],
    key: &str,
    prefix: &str,
) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        for (gateway, front) in fronts.iter().enumerate() {
            let attempt = format!("{prefix}{gateway:07x}{number:08x}");
            let authorization = format!("Token {key}");
            let headers = [
                ("Host", site::HOST),
                ("Attempt-Id", attempt.as_str()),
                ("Deadline-Ms", "1000"),
                ("Authorization", authorization.as_str()),
            ];
            let wait = Duration::from_millis(1_500);
            record.line(&format!("caller sends {attempt} with {key}"));
            let called =
                http::call(*front, "POST", "/retire/1", &headers, b"{}", wait);
            let status = called.map_or(0, |answer| answer.status());
            record.line(&format!("caller got {status} to {attempt}"));
            statuses.push(status);
        }
        std::thread::sleep(PAUSE);
    }
    statuses
}
