//! Counts of begins and their exchange.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        fleet_clock::{FleetTime, WallTime},
        usage_counts::{
            CountsReceipt, ENTRY_BYTES_MAX, UsageCounts, UsageLedger,
            UsageSender, UsageTable, WINDOWS_MAX, WindowNumber,
        },
    },
    units::{ByteSize, Incarnation, Timestamp},
};
use rstest::rstest;

use crate::usage_fleet::{
    TABLE_LIMIT, WINDOW_MS, address, schedule, workspace,
};

const WINDOW: WindowNumber = WindowNumber::new(358_000_000);

fn sender(index: usize) -> UsageSender {
    UsageSender {
        ip: address(index),
        incarnation: Incarnation::new(1),
    }
}

fn counts(
    sender: UsageSender,
    window: WindowNumber,
    entries: &[(&str, u64)],
    closed_total: Option<u64>,
) -> UsageCounts {
    let entries = entries.iter().map(|(name, it)| ((*name).into(), *it));
    UsageCounts {
        sender,
        wall: WallTime::ZERO,
        window,
        entries: entries.collect(),
        closed_total,
    }
}

fn seconds(seconds: f64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs_f64(seconds))
}

/// Time of the fleet, in milliseconds after the begin of [`WINDOW`].
fn time(millis: u64) -> FleetTime {
    FleetTime::new(WINDOW.get() * WINDOW_MS + millis)
}

fn ledger() -> UsageLedger {
    UsageLedger::new(sender(0), schedule(), WINDOW)
}

/// Sum of the counts of a window.
fn total(table: &UsageTable, window: WindowNumber) -> u64 {
    table.counts(window).values().sum()
}

/// Guards against counts that are added up when a datagram is doubled, or fall
/// when an older one arrives later.
#[test]
fn test_usage_counts_merge_by_maximum() {
    let mut table = UsageTable::new(TABLE_LIMIT);
    let newest = counts(sender(0), WINDOW, &[("a", 5), ("b", 1)], None);
    let older = counts(sender(0), WINDOW, &[("a", 3)], None);
    let other = counts(sender(1), WINDOW, &[("a", 2)], None);
    for datagram in [&newest, &older, &newest, &other, &older, &other] {
        assert_eq!(table.receive(WINDOW, datagram), CountsReceipt::Merged);
    }
    let expected = [("a", 7), ("b", 1)]
        .map(|(name, count)| (name.parse().unwrap(), count));
    assert_eq!(table.counts(WINDOW), expected.into());
}

/// Guards against begins that are lost when an instance restarts, because the
/// counts of its two processes are merged.
#[test]
fn test_usage_counts_of_restarted_instance() {
    let mut table = UsageTable::new(TABLE_LIMIT);
    let restarted = UsageSender {
        incarnation: Incarnation::new(2),
        ..sender(0)
    };
    for (sender, count) in [(sender(0), 5), (restarted, 3)] {
        let datagram = counts(sender, WINDOW, &[("a", count)], None);
        table.receive(WINDOW, &datagram);
    }
    assert_eq!(total(&table, WINDOW), 8);
}

/// Guards against a window that counts as complete while one of the last
/// datagrams of a sender is missing.
#[test]
fn test_usage_counts_complete_only_with_total() {
    let mut table = UsageTable::new(TABLE_LIMIT);
    table.record_heard(WINDOW, [address(0)]);
    assert!(!table.is_complete(WINDOW));
    let last = counts(sender(0), WINDOW, &[("b", 1)], Some(3));
    assert_eq!(table.receive(WINDOW, &last), CountsReceipt::Merged);
    assert!(!table.is_complete(WINDOW));
    let lost = counts(sender(0), WINDOW, &[("a", 2)], None);
    assert_eq!(table.receive(WINDOW, &lost), CountsReceipt::Complete);
    assert!(table.is_complete(WINDOW));
    // Nothing is counted twice once the sender is summed up.
    assert_eq!(table.receive(WINDOW, &last), CountsReceipt::Complete);
    assert_eq!(total(&table, WINDOW), 3);
}

/// Guards against a report without the counts of a member of which only
/// heartbeats came, and of an instance of an older build that is taken for one
/// that has closed the window.
#[test]
fn test_usage_counts_wait_for_heard_members() {
    let mut table = UsageTable::new(TABLE_LIMIT);
    table.record_heard(WINDOW, [address(0), address(1)]);
    table.receive(WINDOW, &counts(sender(0), WINDOW, &[], Some(0)));
    assert!(!table.is_complete(WINDOW));
    table.receive(WINDOW, &counts(sender(1), WINDOW, &[], Some(0)));
    assert!(table.is_complete(WINDOW));
}

/// Guards against a call that is left out, or counted in the wrong window,
/// because its answer comes after the end of the window.
#[rstest]
#[case::answered(2_900, Some(1))]
#[case::too_late(4_100, Some(0))]
fn test_usage_counts_wait_for_calls(
    #[case] answered_after: u64,
    #[case] expected: Option<u64>,
) {
    let mut ledger = ledger();
    let name = workspace(0);
    ledger.begin_call(WINDOW);
    let mut closed = None;
    for after in (0..6_000).step_by(100) {
        if after == answered_after {
            ledger.end_call(WINDOW, Some(&name));
        }
        let now = seconds(after as f64 / 1_000.0);
        let time = time(WINDOW_MS + after);
        let sent = ledger.next_counts(now, WallTime::ZERO, time, &[address(1)]);
        let datagrams = sent.iter().flat_map(|it| &it.datagrams);
        let totals = datagrams
            .filter(|it| it.window == WINDOW)
            .filter_map(|it| it.closed_total);
        closed = closed.or(totals.into_iter().next());
    }
    assert_eq!(closed, expected);
}

/// Guards against closed windows that are not sent again, and ones that are sent
/// for ever.
#[test]
fn test_usage_counts_resent_until_acknowledged() {
    let mut ledger = ledger();
    ledger.count(WINDOW, &workspace(0));
    let targets = [address(1), address(2)];
    let sent = |ledger: &mut UsageLedger, after: u64| {
        let now = seconds(after as f64 / 1_000.0);
        let time = time(WINDOW_MS + after);
        let sent = ledger.next_counts(now, WallTime::ZERO, time, &targets);
        let closed = sent.into_iter().filter(|it| {
            it.datagrams.iter().any(|it| it.closed_total.is_some())
        });
        closed.flat_map(|it| it.targets).collect::<Vec<_>>()
    };
    assert_eq!(sent(&mut ledger, 100), targets);
    assert!(sent(&mut ledger, 350).is_empty());
    assert_eq!(sent(&mut ledger, 600), targets);
    // An acknowledgement of an earlier total is none.
    ledger.acknowledge(address(1), WINDOW, 0);
    ledger.acknowledge(address(2), WINDOW, 1);
    assert_eq!(sent(&mut ledger, 1_100), [address(1)]);
    ledger.acknowledge(address(1), WINDOW, 1);
    assert!(sent(&mut ledger, 1_600).is_empty());
}

/// Guards against a new holder that gets only the later counts of a window.
#[test]
fn test_usage_counts_sent_to_new_target() {
    let mut ledger = ledger();
    ledger.count(WINDOW, &workspace(0));
    let wall = WallTime::ZERO;
    let first = ledger.next_counts(seconds(0.0), wall, time(10), &[address(1)]);
    assert_eq!(first.len(), 1);
    let none = ledger.next_counts(seconds(0.3), wall, time(10), &[address(1)]);
    assert_eq!(none, []);
    let next = ledger.next_counts(seconds(0.6), wall, time(10), &[address(2)]);
    assert_eq!(next[0].datagrams[0].entries, [("space0".into(), 1)]);
}

/// Guards against datagrams that do not fit into a packet.
#[test]
fn test_usage_counts_fit_into_datagrams() {
    let mut ledger = ledger();
    for index in 0..1_000 {
        ledger.count(WINDOW, &workspace(index));
    }
    let sent = ledger.next_counts(
        seconds(0.0),
        WallTime::ZERO,
        time(10),
        &[address(1)],
    );
    let datagrams = &sent[0].datagrams;
    let sizes = datagrams.iter().map(|it| {
        let sizes = it.entries.iter().map(|(name, _)| 16 + name.len());
        sizes.sum::<usize>()
    });
    assert!(sizes.into_iter().all(|size| size <= ENTRY_BYTES_MAX));
    let entries: usize = datagrams.iter().map(|it| it.entries.len()).sum();
    assert_eq!(entries, 1_000);
}

/// Guards against memory that grows with the windows, with windows far in the
/// future, or with workspaces that are gone.
#[test]
fn test_usage_table_keeps_few_windows() {
    let mut table = UsageTable::new(TABLE_LIMIT);
    let far = WindowNumber::new(WINDOW.get() + 2);
    let datagram = counts(sender(0), far, &[("a", 1)], None);
    assert_eq!(table.receive(WINDOW, &datagram), CountsReceipt::Rejected);
    let mut held = Vec::new();
    for number in 0..200 {
        let window = WindowNumber::new(WINDOW.get() + number);
        let names: Vec<_> =
            (0..100).map(|it| format!("{number}-{it}")).collect();
        let entries: Vec<_> = names.iter().map(|it| (&**it, 1)).collect();
        table.receive(window, &counts(sender(0), window, &entries, None));
        let oldest = table.first_window().expect("windows are kept");
        let kept = window.get() - oldest.get() + 1;
        assert!(kept <= WINDOWS_MAX as u64, "{kept} windows");
        if number >= 20 {
            if let Some(done) = window.get().checked_sub(4) {
                table.forget_through(WindowNumber::new(done));
            }
            held.push(table.held_bytes().get());
        }
    }
    assert!(held[179] < held[0] * 2, "{} after {}", held[179], held[0]);
}

/// Guards against memory without bound when 16,000 workspaces use all instances,
/// and against counts that are lost to keep it bounded.
#[rstest]
#[case::enough(TABLE_LIMIT)]
#[case::small(ByteSize::new(14 << 20))]
fn test_usage_table_memory_of_many_workspaces(#[case] limit: ByteSize) {
    let (workspaces, senders, begins) = (16_000, 140, 320_000);
    let mut table = UsageTable::new(limit);
    let names: Vec<_> =
        (0..workspaces).map(|it| format!("space{it}")).collect();
    let mut peak = 0;
    for number in 0..WINDOWS_MAX as u64 {
        let window = WindowNumber::new(WINDOW.get() + number);
        for index in 0..senders {
            let share = (0..begins / senders).map(|it| it * 7 + index * 113);
            let entries: Vec<_> =
                share.map(|it| (&*names[it % workspaces], 1)).collect();
            for part in entries.chunks(60) {
                let datagram = counts(sender(index), window, part, None);
                table.receive(window, &datagram);
                peak = peak.max(table.held_bytes().get());
            }
        }
    }
    // The entry that exceeds the limit is the last before senders are summed.
    let slack = 60 * 100;
    assert!(peak <= limit.get() + slack, "{peak} B of {limit}");
    for number in 0..WINDOWS_MAX as u64 {
        let window = WindowNumber::new(WINDOW.get() + number);
        let expected = begins / senders * senders;
        assert_eq!(total(&table, window), expected as u64);
    }
}

/// Guards against late begins that nobody sees, and against repeats that are
/// taken for late ones.
#[test]
fn test_usage_table_counts_late_begins() {
    let mut table = UsageTable::new(TABLE_LIMIT);
    let reported = counts(sender(0), WINDOW, &[("a", 2)], Some(2));
    table.receive(WINDOW, &reported);
    table.forget_through(WINDOW);
    table.receive(WINDOW, &reported);
    assert_eq!(table.late(), 0);
    let more = counts(sender(0), WINDOW, &[("a", 5)], Some(5));
    for _ in 0..2 {
        assert_eq!(table.receive(WINDOW, &more), CountsReceipt::Complete);
    }
    assert_eq!(table.late(), 3);
}
