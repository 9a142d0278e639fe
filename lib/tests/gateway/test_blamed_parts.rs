//! Which of the parts that are in the same crashes is blamed.

use borageline_lib::{
    gateway::{
        crash_evidence::{SETTLE_TIME, SuspectPrompt},
        prompt_quarantine::PromptQuarantine,
        wire::PartId,
    },
    units::Timestamp,
};
use rstest::rstest;

use crate::{
    fixtures::{at, ms},
    test_prompt_quarantine::{exchange, parts, process},
};

/// Whether a request with these parts is refused, on an instance that makes no
/// trials.
fn is_refused(
    quarantine: &mut PromptQuarantine,
    now: Timestamp,
    parts: &[PartId],
) -> bool {
    quarantine.check(now, parts, |_| false).is_err()
}

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
