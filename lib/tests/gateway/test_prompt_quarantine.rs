//! Quarantine of prompts that crash engines.

use borageline_lib::{
    gateway::{
        crash_evidence::{CRASHES_MIN, ONSET_TIME, SETTLE_TIME, SuspectPrompt},
        prompt_quarantine::{
            FORGET_TIME, HOLD_TIME_MIN, PromptQuarantine, PromptReport,
            QuarantineChange, QuarantineReport,
        },
        upstream_table::UpstreamProcess,
        wire::PartId,
    },
    units::{Incarnation, Timestamp},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{at, core, id, ms};

pub(crate) fn parts(text: &str) -> Vec<PartId> {
    text.split(' ').map(id).collect()
}

pub(crate) fn process(number: u64) -> UpstreamProcess {
    UpstreamProcess {
        upstream: id(&format!("i-{number}")),
        incarnation: Incarnation::new(number),
    }
}

fn prompt(attempt: u64, text: &str) -> SuspectPrompt {
    SuspectPrompt {
        attempt,
        parts: parts(text),
    }
}

/// Whether a request with these parts is refused, on an instance that makes no
/// trials.
fn is_refused(
    quarantine: &mut PromptQuarantine,
    now: Timestamp,
    text: &str,
) -> bool {
    quarantine.check(now, &parts(text), |_| false).is_err()
}

/// Records one crash for each prompt, 100 ms apart, from `now` on; returns the
/// time at which all count.
fn crash_each(
    quarantine: &mut PromptQuarantine,
    mut now: Timestamp,
    first: u64,
    prompts: &[&str],
) -> Timestamp {
    for (number, text) in (first..).zip(prompts) {
        now = now.after(ms(100));
        quarantine.record_crash(now, process(number), prompt(number, text));
    }
    now.after(SETTLE_TIME)
}

/// Sends each instance's report to all others.
pub(crate) fn exchange(fleet: &mut [PromptQuarantine], now: Timestamp) {
    let reports: Vec<_> =
        fleet.iter_mut().map(|it| it.report(now, false)).collect();
    for (sender, report) in reports.into_iter().enumerate() {
        if report == PromptReport::default() {
            continue;
        }
        for (receiver, quarantine) in fleet.iter_mut().enumerate() {
            if receiver != sender {
                quarantine.merge(now, report.clone());
            }
        }
    }
}

/// Load pattern: harmful requests at a rate of one a second over all instances,
/// each seen by one of them, beside sound requests of the same caller. Guards
/// against a harmful part that is learned only by instances that saw enough
/// crashes themselves, and against sound requests that are refused with it.
#[rstest]
#[case(1)]
#[case(7)]
#[case(95)]
#[case(950)]
fn test_quarantine_is_shared_by_fleet(#[case] instances: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(instances as u64);
    let mut fleet = vec![PromptQuarantine::default(); instances];
    let mut now = at(10_000);
    let mut crashes = 0;
    for second in 0..20 {
        now = now.after(ms(1_000));
        let sound = rng.random_range(0..instances);
        fleet[sound].record_sound(now, &parts("base"), now);
        let instance = rng.random_range(0..instances);
        if !is_refused(&mut fleet[instance], now, "base bad") {
            crashes += 1;
            let prompt = prompt(second, "base bad");
            fleet[instance].record_crash(now, process(second), prompt);
        }
        exchange(&mut fleet, now.after(ms(5)));
    }
    assert_eq!(crashes, CRASHES_MIN);
    for quarantine in &mut fleet {
        assert!(is_refused(quarantine, now, "base bad"));
        assert!(!is_refused(quarantine, now, "base"));
        assert!(!is_refused(quarantine, now, "base other"));
    }
}

/// Load pattern: all engines end at the same moment for a cause of their own.
/// Guards against the parts of the prompts on them being blamed, if answers
/// with the same parts went on shortly before.
#[test]
fn test_quarantine_spares_sound_parts_when_engines_fall() {
    let mut quarantine = PromptQuarantine::default();
    let fall = at(20_000);
    let begun_at = fall.before(ONSET_TIME).expect("time is after the start");
    quarantine.record_sound(at(19_000), &parts("base"), begun_at);
    for number in 0..18 {
        let prompt = prompt(number, "base");
        quarantine.record_crash(fall, process(number), prompt);
    }
    let now = fall.after(SETTLE_TIME);
    assert!(!is_refused(&mut quarantine, now, "base"));
}

/// Load pattern: a third of the engines end within milliseconds, with long
/// prompts that were being read on several of them. Guards against the parts of
/// such prompts being blamed, which have no answers yet that show them to be
/// sound. Found on a standard day of fa-numeracion-now-grown.
#[test]
fn test_quarantine_counts_coinciding_crashes_once() {
    let mut quarantine = PromptQuarantine::default();
    for number in 0..30 {
        let now = at(23_000 + number / 2);
        let prompt = prompt(number, "dossier");
        quarantine.record_crash(now, process(number), prompt);
    }
    assert!(!is_refused(&mut quarantine, at(23_500), "dossier"));
}

/// Guards against a harmful part that is never found because its prompts are
/// rare, and against a sound part that is blamed because its answers were
/// forgotten before the crashes.
#[test]
fn test_quarantine_finds_rare_harmful_part() {
    let mut quarantine = PromptQuarantine::default();
    let mut now = at(10_000);
    for number in 0..4 {
        now = now.after(ms(120_000));
        let begun_at = now.before(ms(600)).expect("time is after the start");
        quarantine.record_sound(now, &parts("base"), begun_at);
        for other in 0..50 {
            let other = parts(&format!("other-{number}-{other}"));
            quarantine.record_sound(now, &other, now);
        }
        let prompt = prompt(number, "base bad");
        quarantine.record_crash(now, process(number), prompt);
    }
    let now = now.after(SETTLE_TIME);
    assert!(is_refused(&mut quarantine, now, "base bad"));
    assert!(!is_refused(&mut quarantine, now, "base"));
}

/// Guards against the part that all prompts of a caller share being blamed for
/// the crashes of one that only some have, while no answer goes on.
#[test]
fn test_quarantine_blames_rarer_part() {
    let mut quarantine = PromptQuarantine::default();
    let prompts = ["base bad", "base bad", "base", "base bad", "base bad"];
    let now = crash_each(&mut quarantine, at(1_000), 0, &prompts);
    assert!(is_refused(&mut quarantine, now, "base bad"));
    assert!(!is_refused(&mut quarantine, now, "base"));
}

/// Guards against a part that stays in quarantine although another one explains
/// all of its crashes.
#[test]
fn test_quarantine_releases_part_that_only_accompanied() {
    let mut quarantine = PromptQuarantine::default();
    let first = ["bad topic"; 3];
    let now = crash_each(&mut quarantine, at(1_000), 0, &first);
    assert!(is_refused(&mut quarantine, now, "topic"));
    let more = ["bad a", "bad b", "bad c", "bad d", "bad e"];
    let now = crash_each(&mut quarantine, now, 3, &more);
    assert!(is_refused(&mut quarantine, now, "bad"));
    assert!(!is_refused(&mut quarantine, now, "topic"));
}

/// Guards against a second harmful part that is taken for sound because the
/// first one explains some crashes.
#[test]
fn test_quarantine_finds_all_harmful_parts() {
    let mut quarantine = PromptQuarantine::default();
    let prompts = ["x bad1", "y bad2", "x bad1", "y bad2", "x bad1", "y bad2"];
    let now = crash_each(&mut quarantine, at(1_000), 0, &prompts);
    assert!(is_refused(&mut quarantine, now, "z bad1"));
    assert!(is_refused(&mut quarantine, now, "z bad2"));
    assert!(!is_refused(&mut quarantine, now, "x"));
    assert!(!is_refused(&mut quarantine, now, "y"));
}

/// Guards against one attempt, which crashed several engines, that is enough to
/// blame its parts.
#[test]
fn test_quarantine_needs_several_attempts() {
    let mut quarantine = PromptQuarantine::default();
    for number in 0..4 {
        let prompt = prompt(1, "base bad");
        let now = at(1_000 + 200 * number);
        quarantine.record_crash(now, process(number), prompt);
    }
    assert!(!is_refused(&mut quarantine, at(3_000), "base bad"));
}

/// Guards against a quarantine without end, against trials that all instances
/// make at once, and against one that learns nothing from its result.
#[test]
fn test_quarantine_ends_after_sound_trial() {
    let mut fleet = vec![PromptQuarantine::default(); 3];
    let crashed = crash_each(&mut fleet[0], at(1_000), 0, &["base bad"; 3]);
    exchange(&mut fleet, crashed);
    let held = crashed.after(HOLD_TIME_MIN / 2);
    for quarantine in &mut fleet {
        let checked = quarantine.check(held, &parts("base bad"), |_| true);
        assert!(checked.is_err());
    }
    let now = crashed.after(HOLD_TIME_MIN);
    let bad = parts("base bad");
    assert!(fleet[0].check(now, &bad, |_| true).is_ok());
    assert!(fleet[0].check(now, &bad, |_| true).is_err());
    assert!(fleet[1].check(now, &bad, |_| false).is_err());
    let now = now.after(ms(800));
    let begun_at = now.before(ms(600)).expect("time is after the start");
    fleet[0].record_sound(now, &bad, begun_at);
    exchange(&mut fleet, now);
    for quarantine in &mut fleet {
        assert!(!is_refused(quarantine, now, "base bad"));
    }
}

/// Guards against an instance that refuses sound requests for long, since it was
/// cut off when its engines seemed to crash and saw no answers go on.
#[test]
fn test_quarantine_ends_when_others_know_better() {
    let mut fleet = vec![PromptQuarantine::default(); 3];
    let now = crash_each(&mut fleet[0], at(20_000), 0, &["base"; 3]);
    assert!(is_refused(&mut fleet[0], now, "base"));
    // The others hear of it when the crashes are no longer reported.
    let now = now.after(ms(4_000));
    let begun_at = now.before(ms(1_000)).expect("time is after the start");
    fleet[1].record_sound(now, &parts("base"), begun_at);
    exchange(&mut fleet, now);
    exchange(&mut fleet, now.after(ms(200)));
    let now = now.after(ms(200));
    for quarantine in &mut fleet {
        assert!(!is_refused(quarantine, now, "base"));
    }
}

/// Guards against trials that crash engines again and again: a crash in a trial
/// doubles the time to the next one.
#[test]
fn test_quarantine_doubles_after_failed_trial() {
    let mut quarantine = PromptQuarantine::default();
    let mut now = crash_each(&mut quarantine, at(1_000), 0, &["base bad"; 3]);
    let bad = parts("base bad");
    let mut trials = Vec::new();
    for number in 10..14 {
        while quarantine.check(now, &bad, |_| true).is_err() {
            now = now.after(ms(500));
        }
        trials.push(now);
        quarantine.record_crash(now, process(number), prompt(number, "bad"));
        now = now.after(SETTLE_TIME);
    }
    let pauses: Vec<_> = trials
        .windows(2)
        .map(|pair| pair[1].since(pair[0]).as_secs())
        .collect();
    assert_eq!(pauses, [30, 60, 120]);
}

/// Guards against a quarantine that ends although the part has caused many
/// crashes, and against one that is kept forever.
#[test]
fn test_quarantine_is_kept_and_ages_out() {
    let mut quarantine = PromptQuarantine::default();
    let crashed = crash_each(&mut quarantine, at(1_000), 0, &["bad"; 8]);
    assert!(is_refused(&mut quarantine, crashed, "bad"));
    let now = crashed.after(HOLD_TIME_MIN * 30);
    assert!(is_refused(&mut quarantine, now, "bad"));
    let now = crashed.after(FORGET_TIME);
    assert!(!is_refused(&mut quarantine, now, "bad"));
}

/// Guards against an instance that starts when all others are gone and sends
/// what the store's record says is harmful.
#[test]
fn test_quarantine_is_restored_from_record() {
    let mut core = core(2);
    let report = QuarantineReport {
        part: id("bad"),
        crashes: 6,
        age_ms: 2_000,
    };
    core.restore_quarantine(at(100), report.clone());
    assert!(core.check_prompt(at(200), &parts("base bad")).is_err());
    assert!(core.check_prompt(at(200), &parts("base")).is_ok());
    let changes = core.take_quarantine_changes();
    assert_eq!(changes, [QuarantineChange::Quarantined(report)]);
}

/// Guards against memory and heartbeats that grow with the number of crashes
/// and parts.
#[test]
fn test_quarantine_report_is_bounded() {
    let mut quarantine = PromptQuarantine::default();
    let mut now = at(1_000);
    for number in 0..2_000 {
        now = now.after(ms(10));
        let text = format!("base a{} b{}", number % 500, number / 3);
        quarantine.record_crash(now, process(number), prompt(number, &text));
        let sound = parts(&format!("s{number}"));
        quarantine.record_sound(now, &sound, now);
    }
    let report = quarantine.report(now, true);
    let prompts = report.crashes.iter().map(|crash| crash.prompts.len());
    assert!(prompts.sum::<usize>() <= 64, "{report:?}");
    assert!(report.sound.len() <= 32 && report.quarantined.len() <= 32);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(24),
        ..ProptestConfig::default()
    })]

    /// Guards against a harmful part that escapes, and against sound parts that
    /// are refused for long, whatever the mix of requests: engines run several
    /// prompts each, and those that an engine had not answered when it crashed
    /// are suspects.
    #[test]
    fn test_quarantine_separates_harmful_from_sound(
        seed in any::<u64>(),
        instances in 1_usize..8,
        callers in 1_u64..5,
        engines in 4_usize..24,
        harmful_share in 0.02_f64..0.5,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = vec![PromptQuarantine::default(); instances];
        let mut now = at(10_000);
        let mut crashes = 0_u64;
        let mut late_sends = 0;
        let mut fifth_crash = None;
        let mut sound_refused = 0;
        for step in 0..2_000_u64 {
            now = now.after(ms(20));
            let instance = rng.random_range(0..instances);
            let caller = rng.random_range(0..callers);
            let harmful = rng.random_bool(harmful_share);
            let suffix = if harmful { " bad" } else { "" };
            let text = format!("base{caller}{suffix}");
            if is_refused(&mut fleet[instance], now, &text) {
                sound_refused += u64::from(!harmful);
            } else if harmful {
                crashes += 1;
                if fifth_crash.is_some_and(|at| now.since(at) > ms(3_000)) {
                    late_sends += 1;
                }
                if crashes == 5 {
                    fifth_crash = Some(now);
                }
                // Prompts of others that the engine had not answered yet.
                let others = rng.random_range(0..4);
                let engine = process(step * 100 + engines as u64);
                let own = prompt(step * 10, &text);
                fleet[instance].record_crash(now, engine.clone(), own);
                for other in 1..=others {
                    let caller = rng.random_range(0..callers);
                    let text = format!("base{caller}");
                    let victim = prompt(step * 10 + other, &text);
                    let instance = rng.random_range(0..instances);
                    fleet[instance].record_crash(now, engine.clone(), victim);
                }
            } else if rng.random_bool(0.5) {
                let begun_at = now.before(ms(500)).expect("after the start");
                fleet[instance].record_sound(now, &parts(&text), begun_at);
            }
            if step % 10 == 0 {
                exchange(&mut fleet, now);
            }
        }
        prop_assert!(late_sends <= 3, "{late_sends} late sends");
        prop_assert!(sound_refused <= 20, "{sound_refused} sound refused");
    }
}
