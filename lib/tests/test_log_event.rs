//! Tests that the documented log events match the code.

use borageline_lib::log_event::LogEvent;

/// Guards against an event that is not documented, or whose number, name or
/// level differs from the documentation.
#[test]
fn test_log_event_catalogue_lists_all_events() {
    let catalogue = include_str!("../../docs/log-events.md");
    let listed: Vec<String> = catalogue
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains('`'))
        .map(|line| line.split('|').take(4).collect::<Vec<_>>().join("|"))
        .collect();
    let expected: Vec<String> = LogEvent::ALL
        .iter()
        .map(|event| {
            let level = event.level().as_str().to_lowercase();
            format!("| {} | `{}` | {level} ", event.number(), event.name())
        })
        .collect();
    assert_eq!(listed, expected);
}

/// Guards against two events with the same number, and against events out of
/// order.
#[test]
fn test_log_event_numbers_increase() {
    let numbers: Vec<u32> =
        LogEvent::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}
