//! An entry of an engine that has left is carried out late by the store.

use std::time::Duration;

use crate::{
    Outcome, Scene,
    callers::Callers,
    gateway::{self, Plan},
    plain::Engine,
    site,
    store::Store,
};

/// Time from the lost answer to the execution of the call: 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_800);
/// Time from the lost answer to the planned removal of the entry; the store is
/// stable again by then (`contactMs` is 3,000).
const LEAVES_AFTER: Duration = Duration::from_millis(3_500);
/// Time for which the engine goes on serving after its entry was removed.
const SERVES_ON: Duration = Duration::from_millis(4_600);
/// Mean work of a request on the site's sheet.
const WORK: Duration = Duration::from_millis(15);
/// Callers, and the time between two requests of one: 7 requests a second, as
/// on the site's sheet.
const CALLERS: usize = 14;
const PAUSE: Duration = Duration::from_millis(1_985);
/// Zones of the site's six machines.
const MACHINES: [&str; 6] = [
    site::ZONES[0],
    site::ZONES[0],
    site::ZONES[0],
    site::ZONES[1],
    site::ZONES[1],
    site::ZONES[2],
];

pub fn run(scene: &Scene) -> Result<Outcome, String> {
    let record = &scene.record;
    let (store, address) = Store::start(site::LAPSE);
    store.put("keyed.op", "config", site::desired_state().as_bytes());
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
        zones: &MACHINES,
        figures: &site::FIGURES,
    })?;
    // All machines are in touch from then on.
    std::thread::sleep(site::CONTACT);
    let callers = Callers::start(record, &gateways, CALLERS, PAUSE);
    let begun = record.line("traffic begins");
    let leaver = &engines[0];
    record.sleep_until(begun + Duration::from_secs(1));
    let delay = scene.with_trouble.then_some(LATE);
    *leaver.next_is_late.lock().expect("no panic") = delay;
    let is_taken = || leaver.next_is_late.lock().expect("no panic").is_none();
    while !is_taken() {
        std::thread::sleep(Duration::from_millis(1));
    }
    let lost_at = record.now();
    record.sleep_until(lost_at + LEAVES_AFTER);
    let left_at = leaver.leave();
    record.sleep_until(left_at + SERVES_ON);
    let exited_at = leaver.exit();
    record.sleep_until(exited_at + Duration::from_secs(2));
    let ended = callers.stop();
    drop(gateways);

    let bound = left_at + site::DRAIN;
    let runs = leaver.runs.lock().expect("no panic").clone();
    let sent = |attempt: &str| ended.iter().find(|it| it.attempt == attempt);
    let mut late_runs = 0;
    let mut lost = 0;
    for run in runs.iter().filter(|it| it.at > bound) {
        late_runs += 1;
        let Some(request) = sent(&run.attempt) else {
            continue;
        };
        let after = (run.at - left_at).as_secs_f64();
        record.line(&format!(
            "DRAIN: {} ({}), sent {:.3}, reached {} {after:.3} s after its \
             entry was removed; the caller got {}",
            request.attempt,
            request.kind,
            request.sent.as_secs_f64(),
            leaver.id,
            request.outcome,
        ));
        lost += usize::from(!run.answered && request.outcome != "200");
    }
    let answered = ended.iter().filter(|it| it.outcome == "200").count();
    record.say(&format!(
        "{} requests, {answered} answered with 200; {late_runs} reached {} \
         later than {} ms after its entry was removed; {lost} of them were \
         cut off when it exited",
        ended.len(),
        leaver.id,
        site::DRAIN.as_millis(),
    ));
    if answered * 10 < ended.len() * 9 {
        return Err("the deployment does not serve".into());
    }
    Ok(Outcome::of(late_runs > 0))
}
