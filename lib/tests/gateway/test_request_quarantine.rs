//! Quarantine of whole requests that crash upstreams.

use std::collections::BTreeSet;

use borageline_lib::{
    gateway::{
        crash_evidence::{COINCIDENCE_TIME, SETTLE_TIME, SuspectPrompt},
        prompt_quarantine::{HOLD_TIME_MIN, PromptQuarantine},
        request_content::RequestContent,
        wire::PartId,
    },
    units::Timestamp,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    fixtures::{at, ms},
    test_prompt_quarantine::{exchange, parts, process},
};

fn content() -> RequestContent<'static> {
    RequestContent {
        host: "host.example",
        method: "GET",
        path: "/a/1",
        query: "page=1",
        workspace: "shop",
        shared_parts: &[],
        body: b"body",
    }
}

/// Ids of the shared parts of a prompt, and of a request for this path.
fn request(shared: &str, path: &str) -> Vec<PartId> {
    let shared = shared.split(' ').filter(|part| !part.is_empty());
    let shared = shared.map(|part| part.parse().expect("test ids are valid"));
    let shared: Vec<PartId> = shared.collect();
    let content = RequestContent {
        path,
        shared_parts: &shared,
        ..content()
    };
    shared.iter().cloned().chain(content.ids()).collect()
}

fn crash(
    quarantine: &mut PromptQuarantine,
    now: Timestamp,
    engine: u64,
    attempt: u64,
    parts: Vec<PartId>,
) {
    let prompt = SuspectPrompt { attempt, parts };
    quarantine.record_crash(now, process(engine), prompt);
}

pub(crate) fn is_refused(
    quarantine: &mut PromptQuarantine,
    now: Timestamp,
    parts: &[PartId],
) -> bool {
    quarantine.check(now, parts, |_| false).is_err()
}

/// Guards against requests that are taken for one that comes again although the
/// path, the caller or the body differs.
#[rstest]
#[case::host(RequestContent { host: "other.example", ..content() }, false)]
#[case::path(RequestContent { path: "/a/2", ..content() }, false)]
#[case::workspace(RequestContent { workspace: "other", ..content() }, false)]
#[case::body(RequestContent { body: b"other", ..content() }, false)]
#[case::query(RequestContent { query: "page=2", ..content() }, true)]
#[case::method(RequestContent { method: "POST", ..content() }, true)]
#[case::moved_text(
    RequestContent { path: "/a/1s", workspace: "hop", ..content() },
    false
)]
fn test_request_ids_differ(
    #[case] other: RequestContent<'_>,
    #[case] shares_first: bool,
) {
    let [first, whole] = content().ids();
    let [other_first, other_whole] = other.ids();
    assert_eq!(first == other_first, shares_first);
    assert_ne!(whole, other_whole);
    assert!([first, whole].iter().all(PartId::is_request));
}

/// Guards against a request that ends all engines of a small service at the same
/// moment and is sent on when they are back.
#[test]
fn test_request_on_all_crashed_engines_is_quarantined() {
    let mut quarantine = PromptQuarantine::default();
    let harmful = request("", "/a/harmful");
    for number in 0..3 {
        let now = at(6_000 + 30 * number);
        crash(&mut quarantine, now, number, number, harmful.clone());
    }
    let now = at(6_060).after(SETTLE_TIME);
    assert!(is_refused(&mut quarantine, now, &harmful));
    assert!(!is_refused(&mut quarantine, now, &request("", "/a/other")));
}

/// Guards against a request that is blamed since it was on some of the engines
/// of a host that failed.
#[test]
fn test_request_on_some_crashed_engines_is_spared() {
    let mut quarantine = PromptQuarantine::default();
    let popular = request("", "/a/popular");
    for number in 0..9 {
        let now = at(6_000 + number);
        let parts = match number % 3 {
            0 => popular.clone(),
            _ => request("", &format!("/a/{number}")),
        };
        crash(&mut quarantine, now, number, number, parts);
    }
    let now = at(6_010).after(SETTLE_TIME);
    assert!(!is_refused(&mut quarantine, now, &popular));
}

/// Guards against shared parts that are blamed for the attempt of one caller,
/// and against that request being sent to a fourth engine.
#[test]
fn test_request_of_one_attempt_is_quarantined_alone() {
    let mut quarantine = PromptQuarantine::default();
    let harmful = request("base topic", "/a/harmful");
    for number in 0..3 {
        let now = at(6_000 + 200 * number);
        crash(&mut quarantine, now, number, 1, harmful.clone());
    }
    let now = at(6_400).after(SETTLE_TIME);
    assert!(is_refused(&mut quarantine, now, &harmful));
    let other = request("base topic", "/a/other");
    assert!(!is_refused(&mut quarantine, now, &other));
}

/// Guards against a part that many requests share and that crashes engines,
/// which is never found since each request explains its own crashes.
#[test]
fn test_request_does_not_hide_harmful_part() {
    let mut quarantine = PromptQuarantine::default();
    for number in 0..6 {
        let now = at(6_000 + 200 * number);
        let harmful = request("base bad", &format!("/a/{}", number / 3));
        crash(&mut quarantine, now, number, number, harmful);
    }
    let now = at(7_000).after(SETTLE_TIME);
    assert!(is_refused(
        &mut quarantine,
        now,
        &request("base bad", "/a/new")
    ));
}

/// Guards against sound prompts that are refused since they have the path and the
/// body of a harmful one, from whose shared parts theirs differ.
#[test]
fn test_request_with_other_shared_parts_is_spared() {
    let mut quarantine = PromptQuarantine::default();
    let harmful = request("base bad", "/a/prompts");
    for number in 0..3 {
        let now = at(6_000 + 200 * number);
        crash(&mut quarantine, now, number, number, harmful.clone());
    }
    let now = at(6_400).after(SETTLE_TIME);
    assert!(is_refused(&mut quarantine, now, &harmful));
    let sound = request("base", "/a/prompts");
    assert!(!is_refused(&mut quarantine, now, &sound));
}

/// Guards against a popular request that is refused because it was on engines
/// that crashed one after the other, while other instances answer it.
#[test]
fn test_request_answered_elsewhere_is_spared() {
    let mut fleet = vec![PromptQuarantine::default(); 2];
    let popular = request("", "/a/popular");
    let mut now = at(6_000);
    for number in 0..5 {
        now = now.after(COINCIDENCE_TIME * 2);
        fleet[1].record_sound(now, &popular, now);
        crash(&mut fleet[0], now, number, number, popular.clone());
        exchange(&mut fleet, now);
    }
    let now = now.after(SETTLE_TIME);
    assert!(!is_refused(&mut fleet[0], now, &popular));
    assert!(!is_refused(&mut fleet[1], now, &popular));
}

/// Guards against a quarantine that never ends.
#[test]
fn test_request_quarantine_ends_after_sound_trial() {
    let mut quarantine = PromptQuarantine::default();
    let repaired = request("", "/a/repaired");
    for number in 0..3 {
        let now = at(6_000 + 200 * number);
        crash(&mut quarantine, now, number, number, repaired.clone());
    }
    let now = at(6_400).after(HOLD_TIME_MIN);
    assert!(is_refused(&mut quarantine, at(7_000), &repaired));
    assert!(quarantine.check(now, &repaired, |_| true).is_ok());
    assert!(quarantine.check(now, &repaired, |_| true).is_err());
    quarantine.record_sound(now, &repaired, now);
    assert!(!is_refused(&mut quarantine, now, &repaired));
}

/// Guards against memory that grows with the number of different requests, and
/// against answers that are not remembered any more under many requests.
#[test]
fn test_request_answers_are_remembered_within_bounds() {
    let mut quarantine = PromptQuarantine::default();
    let popular = request("", "/a/popular");
    let mut now = at(1_000);
    for number in 0..20_000 {
        now = now.after(ms(2));
        let other = request("", &format!("/a/{number}"));
        quarantine.record_sound(now, &other, now);
    }
    quarantine.record_sound(now, &popular, now);
    for number in 0..3 {
        let now = now.after(ms(200 * number));
        crash(&mut quarantine, now, number, number, popular.clone());
    }
    let now = now.after(ms(400)).after(SETTLE_TIME);
    assert!(!is_refused(&mut quarantine, now, &popular));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(27),
        ..ProptestConfig::default()
    })]

    /// Guards against a harmful request that is sent on, and against sound ones
    /// that are refused, whatever the mix: popular and rare requests, engines that
    /// end under a harmful request with others on them, and hosts that fail with
    /// all their engines.
    #[test]
    fn test_request_quarantine_separates_harmful_from_sound(
        seed in any::<u64>(),
        instances in 1_usize..8,
        harmful_share in 0.01_f64..0.3,
        has_failing_hosts in any::<bool>(),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = vec![PromptQuarantine::default(); instances];
        let harmful = request("base", "/a/harmful");
        let mut now = at(10_000);
        let mut engine = 0;
        let mut crashes = 0;
        let mut third_crash = None;
        let mut late_sends = 0;
        let mut refused = BTreeSet::new();
        for step in 0..1_500_u64 {
            now = now.after(ms(40));
            let instance = rng.random_range(0..instances);
            if has_failing_hosts && step % 300 == 299 {
                for _ in 0..8 {
                    engine += 1;
                    let popular = rng.random_range(0..4);
                    let parts = request("base", &format!("/popular/{popular}"));
                    let attempt = rng.random();
                    crash(&mut fleet[instance], now, engine, attempt, parts);
                }
            }
            let is_harmful = rng.random_bool(harmful_share);
            let sound = match rng.random_bool(0.5) {
                true => format!("/popular/{}", rng.random_range(0..4)),
                false => format!("/rare/{step}"),
            };
            let sound = request("base", &sound);
            if is_harmful {
                if is_refused(&mut fleet[instance], now, &harmful) {
                    continue;
                }
                late_sends += u64::from(
                    third_crash.is_some_and(|at| now.since(at) > ms(3_000)),
                );
                engine += 1;
                crashes += 1;
                if crashes == 3 {
                    third_crash = Some(now);
                }
                let own = rng.random();
                crash(&mut fleet[instance], now, engine, own, harmful.clone());
                if rng.random_bool(0.5) {
                    let other = rng.random_range(0..instances);
                    let attempt = rng.random();
                    crash(&mut fleet[other], now, engine, attempt, sound);
                }
            } else if is_refused(&mut fleet[instance], now, &sound) {
                refused.insert(step);
            } else {
                fleet[instance].record_sound(now, &sound, now);
            }
            if step % 5 == 0 {
                exchange(&mut fleet, now);
            }
        }
        prop_assert!(late_sends <= 3, "{late_sends} late sends");
        prop_assert!(refused.len() <= 15, "{} sound refused", refused.len());
    }
}

/// Guards against a caller that names the id of another one's request as a part
/// of its prompt.
#[test]
fn test_request_id_is_no_part_of_a_prompt() {
    let [first, _] = content().ids();
    assert!(first.as_str().contains(':'));
    assert!(!parts("base topic").iter().any(PartId::is_request));
}
