//! Usage reports of a fleet with faults, in virtual time.

use std::{collections::BTreeSet, time::Duration};

use borageline_lib::{
    gateway::{
        duty::FencingToken,
        fleet_clock::FleetTime,
        usage_counts::{UsageTable, WindowNumber},
        usage_report::{ReportEvent, ReportStep, UsageReporter},
        wire::AppendResult,
    },
    units::{LogOffset, Timestamp},
};
use rstest::rstest;

use crate::usage_fleet::{
    Faults, Fleet, START_MS, TABLE_LIMIT, WINDOW_MS, address, schedule,
};

/// Instances of a fleet.
const COUNT: usize = 10;

/// Guards against counts that are wrong without any fault.
#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::some(COUNT)]
#[case::many(77)]
fn test_usage_reports_are_exact(#[case] count: usize) {
    let mut fleet = Fleet::new(count, 1);
    fleet.run(60_000);
    fleet.check_exact();
    assert!(fleet.due_windows().len() >= 9);
    // Nothing waits for the latest moment.
    let complete = |event: &ReportEvent| {
        matches!(
            event,
            ReportEvent::Prepared {
                is_complete: true,
                ..
            }
        )
    };
    let prepared = fleet.events.iter().filter(|it| complete(it)).count();
    assert!(prepared >= 9, "{:?}", fleet.events);
    assert_eq!(fleet.repeats, 0);
}

/// Guards against windows that move with the clocks of a minority.
#[rstest]
#[case::forward(7_000)]
#[case::back(-7_000)]
#[case::far(3_600_000)]
fn test_usage_reports_with_stepping_clocks(#[case] step_ms: i64) {
    let mut fleet = Fleet::new(COUNT, 2);
    fleet.run(12_000);
    for round in 0..8 {
        // 40 % of the clocks jump, among them the holder's, and jump back.
        let holder = fleet.holder();
        for index in (holder..COUNT + holder).take(COUNT * 2 / 5) {
            let offset = if round % 2 == 0 { step_ms } else { 0 };
            fleet.nodes[index % COUNT].wall_offset_ms = offset;
        }
        fleet.run(4_300);
    }
    fleet.check_exact();
}

/// Guards against counts that change because of the network.
#[rstest]
#[case::lost(Faults { loss: 0.3, ..Faults::default() }, 3)]
#[case::doubled(Faults { doubled: 0.5, ..Faults::default() }, 4)]
#[case::reordered(Faults { delay_ms: 400, ..Faults::default() }, 5)]
#[case::all(Faults { loss: 0.3, doubled: 0.3, delay_ms: 300, ..Faults::default() }, 6)]
fn test_usage_reports_with_faulty_network(
    #[case] faults: Faults,
    #[case] seed: u64,
) {
    let mut fleet = Fleet::new(COUNT, seed);
    fleet.faults = faults;
    fleet.boundary_ms += faults.delay_ms;
    fleet.run(60_000);
    fleet.check_exact();
}

/// Guards against the loss of more than the begins of the last moment when an
/// instance is killed within a window. Losses in all windows stay below the
/// begins of the killed instance in the send interval.
#[test]
fn test_usage_reports_with_killed_instances() {
    let mut fleet = Fleet::new(COUNT, 7);
    fleet.run(13_100);
    let mut killed = 0;
    for round in 0..6 {
        let holder = fleet.holder();
        let index = (holder + 1 + round) % COUNT;
        fleet.kill(index);
        killed += 1;
        fleet.run(3_300);
        fleet.start(index);
        fleet.run(3_300);
    }
    fleet.run(15_000);
    fleet.check_in_time();
    let differences = fleet.differences();
    let lost: i64 = differences.values().map(|it| -it).sum();
    // 8 begins per second and instance: 2 in 250 ms, and the calls under way.
    assert!((0..=4 * killed).contains(&lost), "{differences:?}");
    assert!(differences.values().all(|it| (-6..=0).contains(it)));
    println!("lost {lost} begins of {killed} killed instances");
}

/// Guards against a window that is reported twice with other counts, or not at
/// all, because its holder is killed before or after the record was appended.
/// The service sees the repeat with the same counts.
#[rstest]
fn test_usage_reports_with_killed_holders(
    #[values(0, 1, 2, 3, 4, 5)] more_records: usize,
    #[values(false, true)] is_service_down: bool,
) {
    let mut fleet = Fleet::new(COUNT, 8 + more_records as u64);
    fleet.run(16_000);
    fleet.faults.service_down = is_service_down;
    fleet.kill_at_records = Some(fleet.log.len() + more_records);
    fleet.run(6_000);
    fleet.faults.service_down = false;
    fleet.run(30_000);
    fleet.check_in_time();
    let differences = fleet.differences();
    assert!(
        differences.values().all(|it| (-6..=0).contains(it)),
        "{differences:?}"
    );
}

/// Guards against two different reports of one window when appends are answered
/// late or not at all, and carried out later or not at all.
#[rstest]
fn test_usage_reports_with_unanswered_appends(
    #[values(11, 12, 13, 14, 15, 16)] seed: u64,
) {
    let mut fleet = Fleet::new(COUNT, seed);
    fleet.faults = Faults {
        unanswered: 0.5,
        append_delay_ms: 6_000,
        ..Faults::default()
    };
    fleet.run(20_000);
    // The former holder's appends may be carried out in the next one's term.
    let holder = fleet.holder();
    fleet.cut(holder);
    fleet.run(9_000);
    fleet.nodes[holder].cut = false;
    fleet.run(30_000);
    let windows: BTreeSet<_> = fleet.accepted.keys().copied().collect();
    assert!(windows.is_superset(&fleet.due_windows()));
    // Every window has one first record, and every report is that record.
    assert_eq!(fleet.accepted.len(), windows.len());
}

/// Guards against a holder that reports counts of its own after it was cut off,
/// and against counts that are lost meanwhile.
#[rstest]
#[case::shorter_than_lease(1_500)]
#[case::longer(6_500)]
fn test_usage_reports_with_holder_cut_off(#[case] cut_ms: u64) {
    let mut fleet = Fleet::new(COUNT, 21);
    fleet.run(14_000);
    let holder = fleet.holder();
    fleet.cut(holder);
    fleet.run(cut_ms);
    fleet.nodes[holder].cut = false;
    fleet.run(40_000);
    // The counts of the one that was cut off arrive when it is back, unless the
    // window was reported at the latest moment before.
    fleet.check_in_time();
    let differences = fleet.differences();
    assert!(
        differences.values().all(|it| (-20..=0).contains(it)),
        "{differences:?}"
    );
    let is_held = fleet.holder() == holder;
    assert_eq!(is_held, cut_ms < 2_500);
}

/// Guards against windows that are missing, or counted anew, after the whole
/// fleet was killed.
#[test]
fn test_usage_reports_with_fleet_killed() {
    let mut fleet = Fleet::new(COUNT, 22);
    fleet.run_to(2_000);
    fleet.run_to(1_200);
    for index in 0..COUNT {
        fleet.kill(index);
    }
    fleet.run(2_600);
    for index in 0..COUNT {
        fleet.start(index);
    }
    fleet.run(40_000);
    // The one that was killed in has no record; it is reported without the
    // begins before the kill.
    fleet.check_in_time();
    let differences = fleet.differences();
    let lost: Vec<_> = differences.iter().filter(|(_, it)| **it != 0).collect();
    assert!(lost.len() <= 1, "{lost:?}");
}

/// Guards against reports of windows in which nobody was there to count, and
/// that are overdue.
#[test]
fn test_usage_reports_after_long_outage() {
    let mut fleet = Fleet::new(COUNT, 23);
    fleet.run(20_000);
    for index in 0..COUNT {
        fleet.kill(index);
    }
    fleet.run(60_000);
    let down_until = fleet.now_ms / WINDOW_MS;
    for index in 0..COUNT {
        fleet.start(index);
    }
    fleet.run(30_000);
    let reported: Vec<_> = fleet.accepted.keys().copied().collect();
    let (before, after): (Vec<_>, Vec<_>) =
        reported.iter().partition(|it| **it < down_until - 4);
    assert!(after.contains(&down_until) && !before.is_empty());
    let last = fleet.now_ms / WINDOW_MS - 3;
    assert!((down_until..last).all(|it| after.contains(&it)));
    let missed = |event: &ReportEvent| match event {
        ReportEvent::Missed { count, .. } => *count,
        _ => 0,
    };
    assert!(fleet.events.iter().map(missed).sum::<u64>() >= 7);
}

/// Guards against begins that are lost, or a window that is never reported, when
/// the store is down longer than a window.
#[test]
fn test_usage_reports_with_store_down() {
    let mut fleet = Fleet::new(COUNT, 24);
    fleet.run(16_000);
    fleet.faults.store_down = true;
    fleet.run(9_000);
    fleet.faults.store_down = false;
    fleet.run(40_000);
    // The reports are exact; whether they are late depends on the outage.
    for window in fleet.due_windows() {
        let truth = fleet.truth.get(&window).cloned().unwrap_or_default();
        assert_eq!(fleet.accepted[&window].0, truth, "window {window}");
    }
}

/// Guards against reports that wait for ever for instances of older builds, and
/// against ones that do not wait at all.
#[test]
fn test_usage_reports_with_old_builds() {
    let mut fleet = Fleet::new(COUNT, 25);
    for index in [1, 4, 7] {
        fleet.nodes[index].old_build = true;
    }
    fleet.run(60_000);
    fleet.check_exact();
    let incomplete = |event: &ReportEvent| {
        matches!(
            event,
            ReportEvent::Prepared {
                is_complete: false,
                ..
            }
        )
    };
    assert!(fleet.events.iter().any(incomplete));
}

/// Guards against messages that grow with the square of the fleet, or a network
/// that is flooded while the store is down.
#[test]
fn test_usage_messages_of_large_fleet() {
    let mut fleet = Fleet::new(200, 26);
    fleet.rate_per_step = 1.0;
    fleet.run(15_000);
    let before = fleet.datagrams_sent;
    fleet.run(10_000);
    let per_instance = (fleet.datagrams_sent - before) as f64 / 200.0 / 10.0;
    println!("{per_instance:.1} datagrams/s for each instance");
    assert!(per_instance < 30.0, "{per_instance}");
}

/// Guards against a window that is counted anew because the store was restored
/// from a copy that lacks its record, with its holder alive or lost, too.
#[rstest]
fn test_usage_reports_with_restored_store(
    #[values(1, 2, 5)] lost: usize,
    #[values(false, true)] is_holder_lost: bool,
) {
    let mut fleet = Fleet::new(COUNT, 27);
    fleet.run_to(15_000);
    // The next report is sent, and has no mark yet.
    let records = fleet.log.len();
    while fleet.log.len() == records {
        fleet.run(5);
    }
    fleet.run(1_500);
    let holder = fleet.holder();
    if is_holder_lost {
        fleet.kill(holder);
    }
    fleet.restore_log(lost);
    fleet.run(40_000);
    // Two different reports of a window stop the test in the service.
    fleet.check_in_time();
    let differences = fleet.differences();
    let least = if is_holder_lost { -6 } else { 0 };
    let is_right = |it: &i64| (least..=0).contains(it);
    assert!(differences.values().all(is_right), "{differences:?}");
}

/// Guards against reports that are lost, or kept in memory without bound, while
/// the service that takes them is down for many windows.
#[test]
fn test_usage_reports_with_service_down() {
    let mut fleet = Fleet::new(3, 28);
    fleet.run(16_000);
    fleet.faults.service_down = true;
    fleet.run(100_000);
    let holder = fleet.holder();
    let kept = fleet.nodes[holder].reports_with_counts();
    assert!(kept <= 8, "{kept} reports are in memory");
    // A later holder reads all of them, too.
    fleet.kill(holder);
    fleet.run(10_000);
    fleet.faults.service_down = false;
    fleet.run(20_000);
    let windows: BTreeSet<_> = fleet.accepted.keys().copied().collect();
    assert!(windows.is_superset(&fleet.due_windows()));
    let differences = fleet.differences();
    assert!(differences.values().all(|it| (-9..=0).contains(it)));
}

/// Guards against a second report with more counts after a report that lacked
/// those of a member that was cut off, if its record is lost with its holder.
#[test]
fn test_usage_reports_with_restored_store_and_late_counts() {
    let mut fleet = Fleet::new(COUNT, 29);
    fleet.run_to(15_000);
    fleet.run_to(0);
    let member = (fleet.holder() + 1) % COUNT;
    fleet.run(4_000);
    // Its datagrams are lost from here to half the allowed time.
    fleet.cut(member);
    fleet.run_to(4_900);
    let window = fleet.now_ms / WINDOW_MS - 1;
    while !fleet.accepted.contains_key(&window) {
        fleet.run(5);
    }
    fleet.nodes[member].cut = false;
    // All members get a notice within 5 s.
    fleet.run(4_000);
    let holder = fleet.holder();
    fleet.kill(holder);
    let records = fleet.records_from(window);
    fleet.restore_log(records);
    fleet.run(40_000);
    let difference = fleet.differences()[&window];
    assert!(difference < 0, "the member was not missing: {difference}");
}

/// Guards against reports that are never sent because a restored store has lost
/// their records, though the holder knows them.
#[test]
fn test_usage_reports_with_restored_store_while_waiting() {
    let mut fleet = Fleet::new(COUNT, 30);
    fleet.run(20_000);
    fleet.faults.service_down = true;
    fleet.run(16_000);
    fleet.restore_log(3);
    fleet.run(1_000);
    fleet.faults.service_down = false;
    fleet.run(30_000);
    let windows: BTreeSet<_> = fleet.accepted.keys().copied().collect();
    let due = fleet.due_windows();
    assert!(windows.is_superset(&due), "{windows:?} of {due:?}");
    let differences = fleet.differences();
    assert!(differences.values().all(|it| *it == 0), "{differences:?}");
}

/// Guards against reports without the counts of the members that are left when a
/// holder that has none of them takes over. The begins on the lost instances are
/// lost, too, as nobody else has their counts.
#[test]
fn test_usage_reports_with_all_candidates_killed() {
    let mut fleet = Fleet::new(COUNT, 31);
    fleet.run_to(15_000);
    fleet.run_to(0);
    let window = fleet.now_ms / WINDOW_MS - 1;
    fleet.faults.store_down = true;
    fleet.run(5_000);
    for index in fleet.candidates() {
        fleet.kill(index);
    }
    fleet.faults.store_down = false;
    fleet.run(30_000);
    let truth = fleet.truth[&window].values().sum::<u64>() as i64;
    let lost = -fleet.differences()[&window];
    println!("lost {lost} of {truth} begins with 3 of {COUNT} instances");
    assert!((1..truth * 45 / 100).contains(&lost), "{lost} of {truth}");
}

/// Guards against a report that a new holder prepares before the members know of
/// it and have sent their counts, though the window is overdue for that.
#[test]
fn test_usage_report_waits_for_counts_of_new_term() {
    let window = WindowNumber::new(START_MS / WINDOW_MS);
    let mut table = UsageTable::new(TABLE_LIMIT);
    table.record_heard(window, [address(1)]);
    let mut reporter = UsageReporter::new(schedule(), window);
    let time = FleetTime::new((window.get() + 1) * WINDOW_MS + 6_000);
    let begin = Timestamp::ZERO.after(Duration::from_secs(9));
    reporter.begin_term(begin, FencingToken::new(1), None);
    let step = reporter.next_step(begin, time, &table);
    assert!(matches!(step, ReportStep::Append { .. }));
    let appended = AppendResult::Appended(LogOffset::new(1));
    reporter.record_append(begin, Some(appended));
    let soon = begin.after(Duration::from_millis(500));
    let step = reporter.next_step(soon, time, &table);
    assert!(matches!(step, ReportStep::Wait(_)), "{step:?}");
    let later = begin.after(Duration::from_millis(1_000));
    let step = reporter.next_step(later, time, &table);
    assert!(matches!(step, ReportStep::Append { .. }), "{step:?}");
}
