//! Which of the parts that are in the same crashes is blamed.

use borageline_lib::gateway::{
    crash_evidence::{SETTLE_TIME, SuspectPrompt},
    prompt_quarantine::{PromptQuarantine, PromptReport, TrialAnswer},
    request_content::RequestContent,
    wire::PartId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fixtures::{at, id, ms},
    test_prompt_quarantine::{exchange, parts, process},
    test_request_quarantine::is_refused,
};

/// Load pattern: sound prompts are answered until 2.4 s before the first of three
/// harmful ones, each of which crashes two engines, and none is while they come.
/// Guards against a sound part that is blamed for its place in the prompt, so that
/// all prompts with it are refused.
#[rstest]
#[case::in_front("bad base", "a base")]
#[case::behind("base bad", "base a")]
#[case::between("base bad topic", "base a topic")]
#[case::many_behind(
    "bad c1 c2 c3 c4 c5 c6 c7 c8 c9 c10",
    "a c1 c2 c3 c4 c5 c6 c7 c8 c9 c10"
)]
#[case::sound_prompts_without_other_part("bad base", "base")]
fn test_answered_part_is_not_blamed_for_its_place(
    #[case] harmful: &str,
    #[case] sound: &str,
    #[values(3, 95)] instances: usize,
) {
    let mut fleet = vec![PromptQuarantine::default(); instances];
    let sound = parts(sound);
    // Answers go on at one instance, crashes are seen by others.
    fleet[0].record_sound(at(6_600), &sound, at(6_200));
    exchange(&mut fleet, at(6_700));
    let mut now = at(8_600);
    for number in 0..3 {
        for send in 0..2 {
            now = now.after(ms(120));
            let prompt = SuspectPrompt {
                attempt: number,
                parts: parts(harmful),
            };
            let sender = 1 + number as usize % (instances - 1);
            let engine = process(10 * number + send);
            fleet[sender].record_crash(now, engine, prompt);
            exchange(&mut fleet, now);
        }
        now = now.after(ms(600));
    }
    now = now.after(SETTLE_TIME);
    for quarantine in &mut fleet {
        assert!(is_refused(quarantine, now, &parts(harmful)));
        assert!(!is_refused(quarantine, now, &sound));
    }
}

/// Guards against a part that has turned harmful and is never found, since it was
/// in answers before and the parts that accompany it were not.
#[test]
fn test_part_that_turned_harmful_is_found() {
    let mut quarantine = PromptQuarantine::default();
    quarantine.record_sound(at(5_000), &parts("base"), at(4_500));
    let mut now = at(10_000);
    let mut crashes = 0;
    for attempt in 0..12 {
        now = now.after(ms(1_000));
        // Three requests in a row have a further part in common.
        let prompt = parts(&format!("base topic{}", attempt / 3));
        for _ in 0..2 {
            if is_refused(&mut quarantine, now, &prompt) {
                break;
            }
            let prompt = SuspectPrompt {
                attempt,
                parts: prompt.clone(),
            };
            quarantine.record_crash(now, process(crashes), prompt);
            crashes += 1;
            now = now.after(ms(120));
        }
    }
    assert!(crashes <= 8, "{crashes} crashes");
    assert!(is_refused(&mut quarantine, now, &parts("base new")));
    assert!(!is_refused(&mut quarantine, now, &parts("topic0")));
}

/// `contactMs` of the small deployments: time for which instances may not know
/// what others have seen.
const CONTACT_TIME: u64 = 3_000;
/// Crashes after which a harmful part must be known.
const CRASHES_ALLOWED: usize = 5;
/// Requests with a harmful part that may reach engines after that.
const LATE_SENDS_ALLOWED: usize = 3;
/// Sound prompts sent at a time, and the interval between two such batches. It is
/// long enough for several crashes without an answer between them.
const BATCH: u64 = 12;
const BATCH_INTERVAL: u64 = 6_000;

/// Where the harmful part stands in its prompts, and what they share with sound
/// ones.
#[derive(Clone, Copy, Debug)]
enum PromptLayout {
    /// In front of a common part.
    Front,
    /// Behind a common part.
    Behind,
    /// Between two common parts.
    Between,
    /// In front of twenty common parts.
    ManyBehind,
    /// Each sound prompt has a first part of its own.
    OwnFirstParts,
    /// Two harmful parts in turns, in front of a common one.
    TwoInTurns,
    /// Harmful prompts have a part that no sound one has, and that is sound.
    WithCompanion,
}

impl PromptLayout {
    fn harmful(self, number: u64) -> Vec<PartId> {
        let text = match self {
            Self::Front | Self::OwnFirstParts => "bad0 base".into(),
            Self::Behind => "base bad0".into(),
            Self::Between => "base bad0 topic".into(),
            Self::ManyBehind => format!("bad0 {}", common_parts()),
            Self::TwoInTurns => format!("bad{} base", number % 2),
            Self::WithCompanion => "bad0 base companion".into(),
        };
        with_request(&text, 2 * number)
    }

    fn sound(self, number: u64) -> Vec<PartId> {
        let first = number % 4;
        let text = match self {
            Self::Front | Self::TwoInTurns | Self::WithCompanion => {
                format!("a{first} base")
            }
            Self::Behind => format!("base a{first}"),
            Self::Between => format!("base a{first} topic"),
            Self::ManyBehind => format!("a{first} {}", common_parts()),
            Self::OwnFirstParts => format!("own{number} base"),
        };
        with_request(&text, 2 * number + 1)
    }
}

fn common_parts() -> String {
    let names: Vec<_> = (0..20).map(|it| format!("common{it}")).collect();
    names.join(" ")
}

/// Parts of a prompt with the ids of a request that comes only once.
fn with_request(text: &str, number: u64) -> Vec<PartId> {
    let ids = ["a", "b"].map(|it| id(&format!("request:{number:031x}{it}")));
    parts(text).into_iter().chain(ids).collect()
}

/// Instances that send requests to engines and exchange reports.
struct SimulatedFleet {
    instances: Vec<PromptQuarantine>,
    now: u64,
    rng: ChaCha8Rng,
    /// Share of the reports that are lost.
    loss: f64,
    /// Answers that go on at a time: the instance, the parts and the begin.
    answers: Vec<(u64, usize, Vec<PartId>, u64)>,
    /// Requests with a harmful part that reached engines: time and part.
    arrivals: Vec<(u64, PartId)>,
}

impl SimulatedFleet {
    fn new(instances: usize, loss: f64) -> Self {
        Self {
            instances: vec![PromptQuarantine::default(); instances],
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(instances as u64),
            loss,
            answers: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Lets time pass, with a report of each instance at an interval that grows
    /// with the fleet.
    fn advance(&mut self, until: u64) {
        let tick = match self.instances.len() {
            ..10 => 50,
            10..100 => 200,
            100.. => 1_000,
        };
        while self.now < until {
            let next = (self.now / tick + 1) * tick;
            let is_exchange = next <= until;
            self.now = next.min(until);
            let now = at(self.now);
            let (done, rest) = std::mem::take(&mut self.answers)
                .into_iter()
                .partition(|it| it.0 <= self.now);
            self.answers = rest;
            for (_, instance, parts, begun) in done {
                self.instances[instance].record_sound(now, &parts, at(begun));
            }
            if is_exchange {
                self.exchange();
            }
        }
    }

    fn exchange(&mut self) {
        let now = at(self.now);
        for sender in 0..self.instances.len() {
            let report = self.instances[sender].report(now, false);
            if report == PromptReport::default() {
                continue;
            }
            for receiver in 0..self.instances.len() {
                if receiver != sender && !self.rng.random_bool(self.loss) {
                    self.instances[receiver].merge(now, report.clone());
                }
            }
        }
    }

    /// Instance that makes the trials of a part.
    fn owner(&self, part: &PartId) -> usize {
        let hash = xxh3_64(part.as_str().as_bytes());
        hash as usize % self.instances.len()
    }

    /// Whether an instance sends a request, if need be as a trial for which it
    /// asks.
    fn may_send(&mut self, instance: usize, parts: &[PartId]) -> bool {
        let now = at(self.now);
        let owners: Vec<_> = parts.iter().map(|it| self.owner(it)).collect();
        let owns = |part: &PartId| {
            let index = parts.iter().position(|it| it == part);
            index.is_some_and(|index| owners[index] == instance)
        };
        let due = match self.instances[instance].check(now, parts, owns) {
            Ok(_) => return true,
            Err(held) => held.due_trials,
        };
        for trial in &due {
            let owner = self.owner(&trial.part);
            let answer = self.instances[owner].grant_trial(now, trial);
            if answer != TrialAnswer::Granted {
                let asker = &mut self.instances[instance];
                asker.record_denial(now, trial, Some(answer));
                return false;
            }
        }
        if !due.is_empty() {
            self.instances[instance].begin_trials(now, &due);
        }
        !due.is_empty()
    }

    /// A sound request at any instance; returns whether it was sent.
    fn send_sound(&mut self, parts: Vec<PartId>) -> bool {
        let instance = self.rng.random_range(0..self.instances.len());
        let is_sent = self.may_send(instance, &parts);
        if is_sent {
            let begun = self.now + 30;
            self.answers.push((begun + 500, instance, parts, begun));
        }
        is_sent
    }

    /// A harmful request at any instance, which may be sent to two engines.
    fn send_harmful(&mut self, attempt: u64, parts: &[PartId]) {
        let instance = self.rng.random_range(0..self.instances.len());
        for _ in 0..2 {
            if !self.may_send(instance, parts) {
                return;
            }
            let harmful = parts.iter().find(|it| it.as_str().contains("bad"));
            let harmful = harmful.expect("a harmful part is in the prompt");
            self.arrivals.push((self.now, harmful.clone()));
            self.advance(self.now + 120);
            let engine = process(1_000 + self.arrivals.len() as u64);
            let prompt = SuspectPrompt {
                attempt,
                parts: parts.to_vec(),
            };
            let now = at(self.now);
            self.instances[instance].record_crash(now, engine, prompt);
        }
    }

    /// Time of the crash after which a harmful part must be known.
    fn last_allowed_crash(&self) -> u64 {
        let mut allowed = self.arrivals.iter().take(CRASHES_ALLOWED);
        allowed.next_back().map_or(0, |(at, _)| at + 120)
    }

    /// Panics if requests with a harmful part reached engines too long after
    /// its crashes.
    fn check_late_sends(&self) {
        for name in ["bad0", "bad1"].map(id::<PartId>) {
            let arrivals = self.arrivals.iter();
            let times = arrivals.filter(|it| it.1 == name).map(|it| it.0);
            let times: Vec<_> = times.collect();
            let Some(known) = times.get(CRASHES_ALLOWED - 1) else {
                continue;
            };
            let known = known + 120 + CONTACT_TIME;
            let late = times.iter().filter(|at| **at > known).count();
            assert!(late <= LATE_SENDS_ALLOWED, "{name} arrived at {times:?}");
        }
    }
}

/// Load pattern: batches of sound prompts at any instance, beside harmful ones that
/// crash one or two engines each. Guards against sound prompts that are refused
/// because of a part that they share with harmful ones, whatever its place, and
/// against harmful ones that are sent on as trials.
#[rstest]
fn test_sound_prompts_are_served_beside_harmful_ones(
    #[values(
        PromptLayout::Front,
        PromptLayout::Behind,
        PromptLayout::Between,
        PromptLayout::ManyBehind,
        PromptLayout::OwnFirstParts,
        PromptLayout::TwoInTurns,
        PromptLayout::WithCompanion
    )]
    layout: PromptLayout,
    #[values(300, 1_800, 7_000)] interval: u64,
    #[values(false, true)] answered_before: bool,
) {
    let fleet = SimulatedFleet::new(3, 0.0);
    check_service(fleet, layout, interval, answered_before);
}

/// Like [`test_sound_prompts_are_served_beside_harmful_ones`], with half of the
/// reports lost, and in large fleets.
#[rstest]
#[case::lossy(7, 0.5, PromptLayout::Front, 1_800)]
#[case::lossy_turns(7, 0.5, PromptLayout::TwoInTurns, 1_800)]
#[case::large(95, 0.0, PromptLayout::Front, 1_800)]
#[case::large_companion(95, 0.0, PromptLayout::WithCompanion, 7_000)]
#[case::large_lossy(95, 0.5, PromptLayout::ManyBehind, 600)]
#[case::largest_turns(950, 0.0, PromptLayout::TwoInTurns, 1_800)]
fn test_sound_prompts_are_served_in_other_fleets(
    #[case] instances: usize,
    #[case] loss: f64,
    #[case] layout: PromptLayout,
    #[case] interval: u64,
    #[values(false, true)] answered_before: bool,
) {
    let fleet = SimulatedFleet::new(instances, loss);
    check_service(fleet, layout, interval, answered_before);
}

fn check_service(
    mut fleet: SimulatedFleet,
    layout: PromptLayout,
    interval: u64,
    answered_before: bool,
) {
    const BEGIN: u64 = 10_000;
    let length = if interval > 5_000 { 60_000 } else { 30_000 };
    let mut next_harmful = BEGIN;
    let mut next_batch = if answered_before {
        1_500
    } else {
        BEGIN + 5_000
    };
    let (mut harmful, mut sound) = (0, 0);
    // Sound requests later than the rule demands, and those of them that were
    // served.
    let (mut judged, mut served) = (0, 0);
    while next_harmful.min(next_batch) < BEGIN + length {
        fleet.advance(next_harmful.min(next_batch));
        if next_harmful <= next_batch {
            fleet.send_harmful(harmful, &layout.harmful(harmful));
            harmful += 1;
            next_harmful += interval;
            continue;
        }
        let crash = fleet.last_allowed_crash();
        for _ in 0..BATCH {
            let is_sent = fleet.send_sound(layout.sound(sound));
            sound += 1;
            if crash > 0 && fleet.now >= crash + 2 * CONTACT_TIME {
                judged += 1;
                served += usize::from(is_sent);
            }
        }
        next_batch += BATCH_INTERVAL;
    }
    assert!(judged >= 20, "{judged} sound prompts are judged");
    assert!(served * 2 >= judged, "{served} of {judged} served");
    fleet.check_late_sends();
}

/// Ids of a request with this path and query.
fn request(path: &str, query: &str) -> Vec<PartId> {
    let content = RequestContent {
        host: "host.example",
        method: "GET",
        path,
        query,
        workspace: "shop",
        shared_parts: &[],
        body: b"",
    };
    content.ids().to_vec()
}

/// Load pattern: two requests that crash upstreams come in turns; they differ in
/// the query alone. Guards against all requests of their path and caller being
/// refused for the hold time, whatever their query.
#[test]
fn test_requests_with_other_queries_are_cleared_by_trial() {
    let mut quarantine = PromptQuarantine::default();
    let mut now = at(10_000);
    for number in 0..6 {
        let harmful = request("/look/1", &format!("bad={}", number % 2));
        if quarantine.check(now, &harmful, |_| true).is_ok() {
            let prompt = SuspectPrompt {
                attempt: number,
                parts: harmful,
            };
            quarantine.record_crash(now, process(number), prompt);
        }
        now = now.after(ms(700));
    }
    let sound = request("/look/1", "page=1");
    let judged_from = now.after(ms(2 * CONTACT_TIME));
    while now < judged_from {
        let begun_at = now;
        now = now.after(ms(600));
        if quarantine.check(begun_at, &sound, |_| true).is_ok() {
            quarantine.record_sound(now, &sound, begun_at);
        }
    }
    let other = request("/look/1", "page=2");
    assert!(quarantine.check(now, &other, |_| false).is_ok());
}

/// Guards against a whole request that is spared because an answer to it is newer
/// than one with a part of it, and against its sound parts that are refused.
#[test]
fn test_repeated_request_is_blamed_before_its_parts() {
    let mut quarantine = PromptQuarantine::default();
    let base = parts("base");
    let harmful: Vec<_> = base
        .iter()
        .cloned()
        .chain(request("/draft/1", ""))
        .collect();
    quarantine.record_sound(at(4_000), &harmful, at(3_500));
    quarantine.record_sound(at(4_700), &base, at(4_200));
    let mut now = at(10_000);
    for number in 0..3 {
        let prompt = SuspectPrompt {
            attempt: number,
            parts: harmful.clone(),
        };
        quarantine.record_crash(now, process(number), prompt);
        now = now.after(ms(700));
    }
    assert!(is_refused(&mut quarantine, now, &harmful));
    assert!(!is_refused(&mut quarantine, now, &base));
}
