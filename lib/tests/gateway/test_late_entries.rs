//! Entries of upstreams that the store carries out late, repeats or restores.

use std::collections::BTreeMap;

use borageline_lib::{
    gateway::{
        departure_log::{
            DEPARTED_MAX, DEPARTED_TIME, DepartedUpstream, DepartureKind,
            DepartureLog, EntryRevision,
        },
        upstream_table::{
            UpstreamChange, UpstreamEntry, UpstreamState, UpstreamTable,
        },
    },
    units::{Incarnation, Timestamp},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixtures::{at, entry, id, ms};

fn written(incarnation: u64, sequence: u64) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: Incarnation::new(incarnation),
        sequence,
        ..entry("i-0")
    }
}

fn draining(incarnation: u64, sequence: u64) -> UpstreamEntry {
    UpstreamEntry {
        state: UpstreamState::Draining,
        ..written(incarnation, sequence)
    }
}

fn set(table: &mut UpstreamTable, now: Timestamp, entry: UpstreamEntry) {
    table.apply(now, UpstreamChange::Set(entry));
}

fn remove(table: &mut UpstreamTable, now: Timestamp) {
    table.apply(now, UpstreamChange::Removed(id("i-0")));
}

fn is_used(table: &UpstreamTable, now: Timestamp) -> bool {
    !table.candidates(now, &id("models"), &[]).is_empty()
}

/// Guards against requests to an upstream that has left, after the store has
/// carried out one of its earlier entries late (`review/3`), and against an
/// upstream that is left out although it has returned.
#[rstest]
#[case::earlier_entry(10, 4, false)]
#[case::repeated_entry(10, 6, false)]
#[case::former_process(9, 40, false)]
#[case::later_entry(10, 7, false)]
#[case::later_process(11, 1, true)]
fn test_late_entries_do_not_revive_upstreams(
    #[case] incarnation: u64,
    #[case] sequence: u64,
    #[case] is_used_again: bool,
) {
    let mut table = UpstreamTable::default();
    set(&mut table, at(0), written(10, 6));
    remove(&mut table, at(1_000));
    set(&mut table, at(3_300), written(incarnation, sequence));
    assert_eq!(is_used(&table, at(3_300)), is_used_again);
    // A full read finds the same entry.
    table.replace(at(3_400), vec![written(incarnation, sequence)]);
    assert_eq!(is_used(&table, at(3_400)), is_used_again);
}

/// Guards against requests to an upstream that drains, or at whose id another
/// process runs, because an earlier entry is carried out after the newest one.
#[rstest]
#[case::same_process(10, 4)]
#[case::former_process(9, 40)]
fn test_late_entries_do_not_end_draining(
    #[case] incarnation: u64,
    #[case] sequence: u64,
) {
    let mut table = UpstreamTable::default();
    set(&mut table, at(0), draining(10, 6));
    set(&mut table, at(1_000), written(incarnation, sequence));
    assert!(!is_used(&table, at(1_000)));
    set(&mut table, at(2_000), written(10, 7));
    assert!(is_used(&table, at(2_000)));
}

/// Guards against upstreams that are left out after an outage of the store in
/// which their entries lapsed.
#[test]
fn test_late_entries_lapsed_in_outage_return_at_once() {
    let mut table = UpstreamTable::default();
    table.replace(at(0), vec![written(10, 6), entry("i-1"), entry("i-2")]);
    table.store_recovered(at(1_000));
    remove(&mut table, at(1_010));
    let names = |table: &UpstreamTable, now| {
        table.candidates(now, &id("models"), &[]).len()
    };
    set(&mut table, at(1_100), written(10, 5));
    assert_eq!(names(&table, at(1_100)), 2);
    set(&mut table, at(1_200), written(10, 9));
    assert!(table.confirm(&written(10, 9).process()));
    assert_eq!(names(&table, at(1_200)), 3);
}

/// Guards against a restarted upstream that is never used because its clock is
/// behind that of its former process.
#[test]
fn test_late_entries_with_earlier_clock_are_used_in_time() {
    let mut table = UpstreamTable::default();
    set(&mut table, at(0), draining(10, 6));
    let later = at(0).after(DEPARTED_TIME);
    set(&mut table, later, written(9, 1));
    assert!(is_used(&table, later));
    remove(&mut table, later);
    let later = later.after(DEPARTED_TIME);
    set(&mut table, later, written(8, 1));
    assert!(is_used(&table, later));
}

/// Guards against a record of departures that grows without bound.
#[test]
fn test_departures_are_forgotten_by_age_and_number() {
    let mut log = DepartureLog::default();
    let departed = |now| DepartedUpstream {
        revision: EntryRevision {
            incarnation: Incarnation::new(1),
            sequence: 1,
        },
        kind: DepartureKind::Removed,
        follows_restart: false,
        restores: 0,
        at: now,
    };
    for index in 0..=DEPARTED_MAX {
        log.insert(id(&format!("i-{index}")), departed(at(index as u64)));
    }
    assert_eq!(log.len(), DEPARTED_MAX);
    assert!(log.get(&id("i-0")).is_none());
    let later = at(DEPARTED_MAX as u64).after(DEPARTED_TIME);
    log.insert(id("i-new"), departed(later));
    assert_eq!(log.len(), 1);
}

/// A write by some process of the upstream, or the removal of its entry.
#[derive(Clone, Copy, Debug)]
enum StoreWrite {
    Entry {
        incarnation: u64,
        sequence: u64,
        is_ready: bool,
    },
    Removal,
}

fn store_writes() -> impl Strategy<Value = Vec<StoreWrite>> {
    let entry = (1..4_u64, 1..6_u64, any::<bool>()).prop_map(
        |(incarnation, sequence, is_ready)| StoreWrite::Entry {
            incarnation,
            sequence,
            is_ready,
        },
    );
    let write = prop_oneof![4 => entry, 1 => Just(StoreWrite::Removal)];
    prop::collection::vec(write, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Guards against a state that depends on when an entry was read: entries
    /// come in any order, repeated or late. The model is the greatest revision
    /// among all entries; a removal ends what it follows. All is within the time
    /// in which a process that has left is not used again.
    #[test]
    fn test_late_entries_agree_with_greatest_revision(writes in store_writes()) {
        let mut table = UpstreamTable::default();
        let mut states = BTreeMap::new();
        let mut greatest = None;
        let mut is_listed = false;
        let mut is_doubtful = false;
        let mut is_restarted = false;
        let mut left_after_restart = false;
        for (index, write) in writes.into_iter().enumerate() {
            let now = at(0).after(ms(100) * index as u32);
            match write {
                StoreWrite::Removal => {
                    remove(&mut table, now);
                    if is_listed {
                        left_after_restart = is_restarted;
                    }
                    is_listed = false;
                }
                StoreWrite::Entry { incarnation, sequence, is_ready } => {
                    let revision = (incarnation, sequence);
                    // Each revision has one content, however often it comes.
                    let is_ready = *states.entry(revision).or_insert(is_ready);
                    let written = if is_ready {
                        written(incarnation, sequence)
                    } else {
                        draining(incarnation, sequence)
                    };
                    set(&mut table, now, written);
                    if greatest < Some(revision) {
                        let former = greatest.replace(revision);
                        let same_process =
                            former.is_some_and(|it| it.0 == incarnation);
                        if !same_process {
                            is_restarted = former.is_some();
                            is_doubtful = false;
                        } else if !is_listed {
                            is_restarted = false;
                            is_doubtful = !left_after_restart;
                        }
                        is_listed = true;
                    }
                }
            }
            let is_ready = greatest.is_some_and(|it| states[&it]);
            let is_usable = is_listed && is_ready && !is_doubtful;
            prop_assert_eq!(is_used(&table, now), is_usable);
        }
    }
}
