//! Messages between instances that count begins.

use std::{net::IpAddr, time::Duration};

use borageline_lib::{
    gateway::{
        duty::FencingToken,
        fleet_clock::WallTime,
        usage_counts::{UsageCounts, UsageSender, WindowNumber},
        usage_exchange::{
            OutgoingMessage, UsageExchange, UsageMembers, UsageMessage,
            UsageNotice, table_memory,
        },
    },
    units::{ByteSize, Incarnation, Timestamp},
};
use rstest::rstest;

use crate::usage_fleet::{
    START_MS, TABLE_LIMIT, WINDOW_MS, address, schedule, workspace,
};

const WALL: WallTime = WallTime::new(START_MS);

fn sender(index: usize) -> UsageSender {
    UsageSender {
        ip: address(index),
        incarnation: Incarnation::new(1),
    }
}

fn exchange() -> UsageExchange {
    let now = Timestamp::ZERO;
    UsageExchange::new(now, WALL, sender(0), schedule(), TABLE_LIMIT)
}

fn notice(index: usize, token: u64, reported: Option<u64>) -> UsageMessage {
    UsageMessage::Notice(UsageNotice {
        sender: sender(index),
        wall: WALL,
        token: Some(FencingToken::new(token)),
        reported_through: reported.map(WindowNumber::new),
        received: Vec::new(),
    })
}

fn millis(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

/// Instances that get counts among messages.
fn count_targets(messages: &[OutgoingMessage]) -> Vec<IpAddr> {
    let counts = messages
        .iter()
        .filter(|it| matches!(it.message, UsageMessage::Counts(_)));
    counts.flat_map(|it| it.targets.clone()).collect()
}

/// Guards against counts that go to a holder that was superseded, and not to the
/// one with the highest token.
#[rstest]
#[case::later_is_lower([(1, 5), (2, 4)], 1)]
#[case::later_is_higher([(1, 5), (2, 6)], 2)]
fn test_usage_notice_of_highest_token(
    #[case] notices: [(usize, u64); 2],
    #[case] expected: usize,
) {
    let mut exchange = exchange();
    for (index, token) in notices {
        let notice = notice(index, token, None);
        exchange.receive(millis(10), WALL, address(index), &notice);
    }
    exchange.count(millis(20), &workspace(0));
    let members = UsageMembers {
        alive: &[address(1), address(2), address(3)],
        candidates: &[address(3)],
    };
    let messages = exchange.next_messages(millis(30), WALL, members);
    assert_eq!(count_targets(&messages), [address(expected), address(3)]);
}

/// Guards against counts that are dropped because of a notice of a window that
/// has not begun, and against messages in the name of another instance.
#[test]
fn test_usage_notice_is_checked() {
    let mut exchange = exchange();
    let future = START_MS / WINDOW_MS + 1;
    let message = notice(1, 5, Some(future));
    exchange.receive(millis(10), WALL, address(1), &message);
    assert_eq!(exchange.reported_through(), None);
    let message = notice(1, 5, Some(future - 1));
    exchange.receive(millis(10), WALL, address(2), &message);
    assert_eq!(exchange.reported_through(), None);
    exchange.receive(millis(10), WALL, address(1), &message);
    let reported = WindowNumber::new(future - 1);
    assert_eq!(exchange.reported_through(), Some(reported));
}

/// Guards against numbers of a faulty sender that make an instance fail.
#[test]
fn test_usage_counts_of_faulty_sender() {
    let mut exchange = exchange();
    let window = START_MS / WINDOW_MS;
    for (number, count) in [(window, u64::MAX), (u64::MAX, 1), (0, u64::MAX)] {
        for total in [None, Some(u64::MAX), Some(0)] {
            for sender_index in 1..4 {
                let message = UsageMessage::Counts(UsageCounts {
                    sender: sender(sender_index),
                    wall: WallTime::new(u64::MAX),
                    window: WindowNumber::new(number),
                    entries: vec![
                        ("a".into(), count),
                        ("b".into(), count),
                        ("\n".into(), 1),
                    ],
                    closed_total: total,
                });
                let from = address(sender_index);
                exchange.receive(millis(10), WALL, from, &message);
            }
        }
    }
    let members = UsageMembers {
        alive: &[],
        candidates: &[],
    };
    exchange.next_messages(millis(30), WALL, members);
    let counts = exchange.table().counts(WindowNumber::new(window));
    assert_eq!(counts.len(), 2);
}

/// Guards against a table that takes the memory of a small instance.
#[test]
fn test_usage_table_memory_of_small_instances() {
    assert_eq!(table_memory(112), ByteSize::new(14 << 20));
    assert_eq!(table_memory(1_024), ByteSize::new(64 << 20));
}

/// Guards against the loss of the last begins of a process that ends, and against
/// a report that waits for it to close its window.
#[test]
fn test_usage_counts_of_ending_process() {
    let mut exchange = exchange();
    let members = UsageMembers {
        alive: &[address(1)],
        candidates: &[address(1)],
    };
    exchange.next_messages(millis(10), WALL, members);
    exchange.count(millis(20), &workspace(0));
    let messages = exchange.last_messages(millis(30), WALL);
    let closed = messages.iter().filter_map(|it| match &it.message {
        UsageMessage::Counts(counts) => counts.closed_total,
        _ => None,
    });
    assert_eq!(closed.collect::<Vec<_>>(), [1]);
}
