//! Upstreams that are listed again by the process that had left.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        upstream_return::LATE_ENTRY_TIME,
        upstream_table::{UpstreamChange, UpstreamEntry, UpstreamTable},
    },
    ids::UpstreamId,
    units::{Incarnation, Timestamp},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{at, entry, id, ms};

/// Time in which an entry lapses in these tests.
const LAPSE: Duration = Duration::from_secs(5);
/// When the upstream leaves.
const LEFT_AT: Timestamp = Timestamp::new(100_000_000);

fn written(name: &str, sequence: u64) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: Incarnation::new(10),
        sequence,
        ..entry(name)
    }
}

/// Lists upstreams, of which only the first entry is ever read.
fn table(names: &[&str]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_lapse_time(LAPSE);
    table.replace(at(0), names.iter().map(|it| written(it, 1)).collect());
    table
}

fn remove(table: &mut UpstreamTable, now: Timestamp, name: &str) {
    table.apply(now, UpstreamChange::Removed(id(name)));
}

fn set(table: &mut UpstreamTable, now: Timestamp, entry: UpstreamEntry) {
    table.apply(now, UpstreamChange::Set(entry));
}

fn used(table: &UpstreamTable, now: Timestamp) -> Vec<UpstreamId> {
    let candidates = table.candidates(now, &id("models"), &[]).into_iter();
    candidates.map(|it| it.entry.id.clone()).collect()
}

fn checked(table: &mut UpstreamTable, now: Timestamp) -> Vec<UpstreamId> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let checks = table.next_status_checks(now, 100, &mut rng);
    let mut checked: Vec<_> = checks.into_iter().map(|it| it.id).collect();
    checked.sort();
    checked
}

/// Guards against requests to an upstream that has left, after entries from
/// before the removal were carried out late, where only the first entry was
/// read or two calls are late (`review/3` on other schedules).
#[rstest]
#[case::one_call(&[2_300])]
#[case::last_moment(&[5_900])]
#[case::two_calls(&[200, 5_900])]
fn test_upstream_returns_are_not_taken_from_late_entries(
    #[case] late_ms: &[u64],
    #[values(false, true)] is_read_in_full: bool,
) {
    let mut table = table(&["i-0", "i-1", "i-2"]);
    remove(&mut table, LEFT_AT, "i-0");
    let mut executed_at = LEFT_AT;
    for (late, sequence) in late_ms.iter().zip(40..) {
        executed_at = LEFT_AT.after(ms(*late));
        let late = written("i-0", sequence);
        if is_read_in_full {
            let others = ["i-1", "i-2"].map(|it| written(it, 90));
            table.replace(executed_at, [vec![late], others.to_vec()].concat());
        } else {
            set(&mut table, executed_at, late);
        }
    }
    let lapses_at = executed_at.after(LAPSE);
    for step in 0..200 {
        let now = LEFT_AT.after(ms(100 * step));
        if now >= lapses_at {
            remove(&mut table, now, "i-0");
        }
        let expected = [id("i-1"), id("i-2")];
        assert_eq!(used(&table, now), expected, "at {now:?}");
    }
}

/// Guards against a late entry that passes for a new one because the list is read
/// in full, or the entry read again, when late calls can no longer come.
#[test]
fn test_upstream_returns_are_not_taken_from_full_reads() {
    let others = || ["i-1", "i-2"].map(|it| written(it, 90)).to_vec();
    let late_at = LEFT_AT.after(ms(5_900));
    let read_at = LEFT_AT.after(ms(9_000));
    let late = |sequence| vec![written("i-0", sequence)];
    // The entry was read before, and a second call of its process was late, too.
    let mut known = table(&["i-0", "i-1", "i-2"]);
    remove(&mut known, LEFT_AT, "i-0");
    set(&mut known, late_at, written("i-0", 40));
    set(&mut known, read_at, written("i-0", 40));
    known.replace(read_at, [late(41), others()].concat());
    assert_eq!(used(&known, read_at), [id("i-1"), id("i-2")]);
    // The entry is first read in full.
    let mut unknown = table(&["i-0", "i-1", "i-2"]);
    remove(&mut unknown, LEFT_AT, "i-0");
    unknown.replace(read_at, [late(40), others()].concat());
    assert_eq!(used(&unknown, read_at), [id("i-1"), id("i-2")]);
    // One that is written after that is new.
    set(&mut unknown, read_at.after(ms(100)), written("i-0", 41));
    assert_eq!(used(&unknown, read_at.after(ms(100))).len(), 3);
}

/// Guards against status checks of a single upstream that may be leaving, though
/// others have room for its requests, and against none where they do not serve.
#[rstest]
#[case::others_serve(false)]
#[case::others_fail(true)]
fn test_upstream_returns_of_one_are_checked_if_others_fail(
    #[case] do_others_fail: bool,
) {
    let mut table = table(&["i-0", "i-1", "i-2"]);
    remove(&mut table, LEFT_AT, "i-0");
    let back_at = LEFT_AT.after(ms(1_000));
    if do_others_fail {
        for other in ["i-1", "i-2"] {
            table.record_failure(back_at, &id(other));
        }
    }
    set(&mut table, back_at, written("i-0", 40));
    let expected: &[_] = if do_others_fail { &[id("i-0")] } else { &[] };
    for time in [Duration::ZERO, LATE_ENTRY_TIME] {
        assert_eq!(checked(&mut table, back_at.after(time)), expected);
    }
    assert!(!used(&table, back_at).contains(&id("i-0")));
    assert!(table.confirm(&written("i-0", 40).process()));
    assert!(used(&table, back_at).contains(&id("i-0")));
}

/// Guards against a service whose upstreams are held back when most of them
/// lapsed together and return one after the other.
#[rstest]
#[case::outage_noticed(true)]
#[case::outage_of_the_upstreams_alone(false)]
fn test_upstream_returns_of_many_are_checked_at_once(
    #[case] is_outage_noticed: bool,
) {
    let names: Vec<_> = (0..18).map(|it| format!("i-{it:02}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut table = table(&names);
    if is_outage_noticed {
        table.store_recovered(LEFT_AT);
    }
    for name in &names {
        remove(&mut table, LEFT_AT, name);
    }
    for (index, name) in names.iter().enumerate() {
        let now = LEFT_AT.after(ms(100 * index as u64));
        let back = written(name, 40);
        set(&mut table, now, back.clone());
        if is_outage_noticed {
            assert!(used(&table, now).contains(&back.id), "{name}");
        }
        assert_eq!(checked(&mut table, now), [id(name)]);
        assert!(table.confirm(&back.process()));
        assert!(used(&table, now).contains(&back.id), "{name}");
    }
}

/// Guards against a sound upstream that is left out for good because it does
/// not answer status checks.
#[test]
fn test_upstream_returns_are_used_when_a_late_entry_had_lapsed() {
    let mut table = table(&["i-0", "i-1"]);
    remove(&mut table, LEFT_AT, "i-0");
    set(&mut table, LEFT_AT.after(ms(1_000)), written("i-0", 40));
    let latest = LEFT_AT.after(LATE_ENTRY_TIME + LAPSE);
    assert_eq!(used(&table, latest).len(), 2);
    // Unanswered checks do not prolong it.
    assert_eq!(checked(&mut table, latest), []);
}

/// Guards against a sound upstream that is left out although its entry was
/// written after late ones could have come, or by a new process.
#[rstest]
#[case::after_late_calls(8_000, 10)]
#[case::restarted(100, 11)]
fn test_upstream_returns_are_used_at_once(
    #[case] back_ms: u64,
    #[case] incarnation: u64,
) {
    let mut table = table(&["i-0", "i-1"]);
    remove(&mut table, LEFT_AT, "i-0");
    let back_at = LEFT_AT.after(ms(back_ms));
    let back = UpstreamEntry {
        incarnation: Incarnation::new(incarnation),
        ..written("i-0", 40)
    };
    set(&mut table, back_at, back);
    assert_eq!(used(&table, back_at).len(), 2);
}

/// Guards against a sound upstream that is left out for long because another
/// writer's entry, which cannot be read, has replaced its own for a moment.
#[test]
fn test_upstream_returns_after_unreadable_entry_at_once() {
    let mut table = table(&["i-0", "i-1"]);
    table.apply(LEFT_AT, UpstreamChange::Unreadable(id("i-0")));
    assert_eq!(used(&table, LEFT_AT), [id("i-1")]);
    let back_at = LEFT_AT.after(ms(1_000));
    set(&mut table, back_at, written("i-0", 40));
    assert_eq!(used(&table, back_at).len(), 2);
}

/// Guards against a restarted upstream that is left out because the removal of
/// its former process is carried out late and hides it.
#[test]
fn test_upstream_returns_after_late_removal_of_the_former_process() {
    let mut table = table(&["i-0", "i-1"]);
    let restarted = |sequence| UpstreamEntry {
        incarnation: Incarnation::new(11),
        ..written("i-0", sequence)
    };
    set(&mut table, LEFT_AT, restarted(1));
    let removed_at = LEFT_AT.after(ms(2_000));
    remove(&mut table, removed_at, "i-0");
    assert_eq!(used(&table, removed_at).len(), 1);
    let back_at = removed_at.after(ms(1_000));
    set(&mut table, back_at, restarted(3));
    assert_eq!(used(&table, back_at).len(), 2);
    // What leaves after that has left.
    remove(&mut table, back_at, "i-0");
    set(&mut table, back_at.after(ms(1_000)), restarted(4));
    assert_eq!(used(&table, back_at.after(ms(1_000))).len(), 1);
}

/// Guards against requests from an instance that started after the removal and
/// then reads an entry from before it; a new upstream is used at once.
#[rstest]
#[case::late_entry(40, 1)]
#[case::new_upstream(1, 2)]
fn test_upstream_returns_to_an_instance_that_started_after_removal(
    #[case] sequence: u64,
    #[case] used_count: usize,
) {
    let mut table = table(&["i-1"]);
    set(&mut table, at(2_000), written("i-0", sequence));
    assert_eq!(used(&table, at(2_000)).len(), used_count);
    // Later entries of unknown upstreams are of new ones.
    let later = at(0).after(LATE_ENTRY_TIME);
    set(&mut table, later, written("i-2", 40));
    assert!(used(&table, later).contains(&id("i-2")));
}
