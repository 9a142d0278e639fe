//! Harmful parts of prompts that have many parts, and of one among many requests
//! that a crashed engine had not answered.

use std::collections::BTreeSet;

use borageline_lib::{
    gateway::{
        crash_evidence::{
            SETTLE_TIME, SIGHTINGS_MAX, SOUND_PARTS_MAX, SuspectPrompt,
        },
        prompt_quarantine::{PromptQuarantine, PromptReport},
        wire::PartId,
    },
    units::Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    fixtures::{at, core, id, ms},
    test_prompt_quarantine::process,
};

/// Largest report that fits in a datagram beside a heartbeat, in bytes.
const REPORT_BYTES_MAX: usize = 48 << 10;
/// Crashes of each harmful part after which it must not be sent.
const CRASHES_ALLOWED: usize = 5;

/// Encoded size of a list of parts in bytes.
fn parts_size<'a>(parts: impl Iterator<Item = &'a PartId>) -> usize {
    parts.map(|part| 8 + part.as_str().len()).sum()
}

/// Encoded size of a report in bytes.
fn report_size(report: &PromptReport) -> usize {
    let crashes = report.crashes.iter().map(|crash| {
        let prompts = crash.prompts.iter();
        let prompts = prompts.map(|it| 16 + parts_size(it.parts.iter()));
        28 + crash.process.upstream.as_str().len() + prompts.sum::<usize>()
    });
    let sound = report.sound.iter().map(|it| &it.part);
    let quarantined = report.quarantined.iter().map(|it| &it.part);
    crashes.sum::<usize>()
        + parts_size(sound)
        + 4 * report.sound.len()
        + parts_size(quarantined)
        + 8 * report.quarantined.len()
        + 24
}

/// Sends the report of each instance to all others; those that do not fit in a
/// datagram are lost.
fn exchange(fleet: &mut [PromptQuarantine], now: Timestamp) {
    for sender in 0..fleet.len() {
        let report = fleet[sender].report(now, false);
        if report == PromptReport::default()
            || report_size(&report) > REPORT_BYTES_MAX
        {
            continue;
        }
        for (receiver, quarantine) in fleet.iter_mut().enumerate() {
            if receiver != sender {
                quarantine.merge(now, report.clone());
            }
        }
    }
}

/// Shared parts of a prompt, one of them replaced, and the ids of the request.
fn prompt(
    count: usize,
    replaced: Option<(usize, &str)>,
    attempt: u64,
) -> Vec<PartId> {
    let parts = (0..count).map(|position| match replaced {
        Some((at, text)) if at == position => id(text),
        _ => id(&format!("{position:08x}")),
    });
    let ids = ["a", "b"].map(|it| id(&format!("request:{attempt:031x}{it}")));
    parts.chain(ids).collect()
}

fn is_refused(
    quarantine: &mut PromptQuarantine,
    now: Timestamp,
    parts: &[PartId],
) -> bool {
    quarantine.check(now, parts, |_| false).is_err()
}

/// Load pattern: prompts of one caller share all parts but one. In some of them
/// this one crashes engines, on which sound requests wait for their answers.
/// Answers go on at the first instance only, so that the others know the sound
/// parts from its reports. Guards against a harmful part that is not found
/// because of its place or among many requests, and against sound prompts that
/// are refused with it.
#[rstest]
#[case::part_18_of_20(7, 20, &[17], 0)]
#[case::part_300_of_400(7, 400, &[299], 0)]
#[case::two_parts_of_400(7, 400, &[99, 299], 0)]
#[case::part_700_of_1500(7, 1_500, &[699], 3)]
#[case::one_of_40_requests(7, 20, &[17], 39)]
#[case::one_of_40_long_requests(3, 400, &[299], 39)]
#[case::large_fleet(95, 400, &[299], 3)]
#[case::largest_fleet(950, 20, &[17], 39)]
fn test_harmful_part_is_found_at_any_place(
    #[case] instances: usize,
    #[case] count: usize,
    #[case] harmful: &[usize],
    #[case] unanswered: usize,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(count as u64);
    let mut fleet = vec![PromptQuarantine::default(); instances];
    let mut now = at(10_000);
    let mut crashes = 0;
    let mut sound_refused = 0;
    for step in 0..12 {
        now = now.after(ms(1_000));
        let sound = prompt(count, None, rng.random());
        sound_refused += usize::from(is_refused(&mut fleet[0], now, &sound));
        let begun_at = now.before(ms(500)).expect("time is after the start");
        fleet[0].record_sound(now, &sound, begun_at);
        for &position in harmful {
            now = now.after(ms(150));
            let part = format!("bad{position}");
            let replaced = Some((position, &*part));
            let parts = prompt(count, replaced, rng.random());
            let sender = rng.random_range(1..instances);
            if is_refused(&mut fleet[sender], now, &parts) {
                continue;
            }
            crashes += 1;
            let engine = process(step * 1_000 + position as u64);
            let own = SuspectPrompt {
                attempt: rng.random(),
                parts,
            };
            let others = (0..unanswered).map(|_| SuspectPrompt {
                attempt: rng.random(),
                parts: prompt(count, None, rng.random()),
            });
            let prompts = others.chain([own]).collect();
            fleet[sender].record_past_crash(now, engine, now, prompts);
            for _ in 0..3 {
                now = now.after(ms(50));
                exchange(&mut fleet, now);
            }
        }
    }
    let allowed = CRASHES_ALLOWED * harmful.len();
    assert!(crashes <= allowed, "{crashes} crashes, {allowed} allowed");
    assert_eq!(sound_refused, 0, "sound prompts were refused");
    let sound = prompt(count, None, rng.random());
    for quarantine in &mut fleet {
        assert!(!is_refused(quarantine, now, &sound));
    }
}

/// Load pattern: long prompts that share nothing but the harmful part, and of which
/// no answer has gone on; the longest have more parts than one report holds. Guards
/// against a harmful part that other instances never learn of.
#[rstest]
#[case::one_request(1_500, 0)]
#[case::several_requests(1_500, 7)]
#[case::longer_than_report(5_000, 0)]
fn test_harmful_part_is_found_among_unknown_parts(
    #[case] count: u64,
    #[case] unanswered: u64,
) {
    let mut fleet = vec![PromptQuarantine::default(); 4];
    let mut now = at(10_000);
    for crash in 0..3_u64 {
        let prompts = (0..=unanswered).map(|number| {
            let attempt = crash * 100 + number;
            let parts = (0..count).map(|part| match (number, part) {
                (0, 700) => id("bad"),
                _ => id(&format!("{attempt:04x}{part:04x}")),
            });
            SuspectPrompt {
                attempt,
                parts: parts.collect(),
            }
        });
        let prompts = prompts.collect();
        let sender = &mut fleet[crash as usize];
        sender.record_past_crash(now, process(crash), now, prompts);
        let mut reports = 0;
        while reports == 0 || fleet[crash as usize].is_report_partial() {
            reports += 1;
            now = now.after(ms(50));
            exchange(&mut fleet, now);
        }
        assert!(reports <= 20, "{reports} reports");
    }
    now = now.after(SETTLE_TIME);
    for quarantine in &mut fleet {
        assert!(is_refused(quarantine, now, &[id("bad")]));
    }
}

/// Guards against a report that is continued only after the usual interval, when
/// the crash counts already.
#[test]
fn test_partial_report_is_continued_soon() {
    let mut core = core(2);
    let usual = core.next_heartbeat(at(1_000)).pause;
    let prompts = (0..4).map(|attempt| SuspectPrompt {
        attempt,
        parts: (0..1_500)
            .map(|part| id(&format!("{attempt:04x}{part:04x}")))
            .collect(),
    });
    let prompts = prompts.collect();
    core.record_crash(at(2_000), process(1), at(2_000), prompts);
    let mut now = at(2_000);
    let mut attempts = BTreeSet::new();
    loop {
        let plan = core.next_heartbeat(now);
        let crashes = plan.prompts.crashes.iter();
        let prompts = crashes.flat_map(|crash| &crash.prompts);
        attempts.extend(prompts.map(|prompt| prompt.attempt));
        if plan.pause == usual {
            break;
        }
        now = now.after(plan.pause);
    }
    assert_eq!(attempts, BTreeSet::from([0, 1, 2, 3]));
    assert!(now < at(2_000).after(SETTLE_TIME * 2), "{now:?}");
}

/// Guards against memory and reports that grow with the parts of prompts: each of
/// many engines crashes with long prompts that have no part in common, and all
/// answers have parts of their own.
#[test]
fn test_evidence_of_long_prompts_is_bounded() {
    let mut quarantine = PromptQuarantine::default();
    let mut now = at(10_000);
    for step in 0..40_u64 {
        now = now.after(ms(150));
        let prompts = (0..8).map(|number| SuspectPrompt {
            attempt: step * 8 + number,
            parts: (0..1_500)
                .map(|part| id(&format!("{step:02x}{number:02x}{part:04x}")))
                .collect(),
        });
        let prompts = prompts.collect();
        quarantine.record_past_crash(now, process(step), now, prompts);
        let size = report_size(&quarantine.report(now, true));
        assert!(size <= REPORT_BYTES_MAX, "{size} bytes");
        let sound =
            (0..1_500).map(|part| id(&format!("{step:02x}s{part:04x}")));
        let sound: Vec<_> = sound.collect();
        quarantine.record_sound(now, &sound, now);
        let (sightings, sound) = quarantine.part_entries();
        assert!(sightings <= SIGHTINGS_MAX, "{sightings} sightings");
        assert!(sound <= SOUND_PARTS_MAX, "{sound} sound parts");
    }
}
