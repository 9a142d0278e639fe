//! Event streams that continue on another upstream.

use borageline_lib::gateway::stream_cursor::{
    EVENT_MAX_BYTES, StreamCursor, StreamError,
};
use rstest::rstest;

fn stream(from: u64, to: u64) -> Vec<u8> {
    (from..=to)
        .flat_map(|id| format!("id: {id}\ndata: part {id}\n\n").into_bytes())
        .collect()
}

fn drain(cursor: &mut StreamCursor) -> Vec<u8> {
    let mut bytes = Vec::new();
    while let Some(event) = cursor.next_event().expect("events are small") {
        bytes.extend_from_slice(&event.bytes);
    }
    bytes
}

/// Guards against events that are joined, lost or duplicated when an upstream
/// breaks off at any byte and another one continues.
#[test]
fn test_cursor_resumes_at_every_byte() {
    let whole = stream(0, 5);
    for cut in 0..whole.len() {
        let mut cursor = StreamCursor::new(None);
        cursor.push(&whole[..cut]);
        let mut forwarded = drain(&mut cursor);
        cursor.restart();
        let next = cursor.last_id().map_or(0, |id| id + 1);
        cursor.push(&stream(next, 5));
        forwarded.extend(drain(&mut cursor));
        assert_eq!(forwarded, whole, "cut after {cut} bytes");
        assert!(!cursor.is_inside_event());
    }
}

/// Guards against events that the caller receives twice when an upstream
/// starts the stream from its beginning.
#[test]
fn test_cursor_drops_events_that_were_forwarded() {
    let mut cursor = StreamCursor::new(Some(2));
    cursor.push(&stream(0, 4));
    assert_eq!(drain(&mut cursor), stream(3, 4));
    assert_eq!(cursor.events(), 2);
}

/// Guards against a separator that is missed because it arrives in several
/// parts.
#[rstest]
#[case("id: 1\ndata: a\n\n")]
#[case("id: 1\r\ndata: a\r\n\r\n")]
fn test_cursor_sees_separators_in_parts(#[case] event: &str) {
    let mut cursor = StreamCursor::new(None);
    for byte in event.bytes() {
        assert_eq!(cursor.next_event(), Ok(None));
        cursor.push(&[byte]);
    }
    let found = cursor.next_event().expect("event is small");
    let found = found.expect("event is whole");
    assert_eq!(found.bytes, event.as_bytes());
    assert_eq!(found.id, Some(1));
}

/// Guards against an upstream that exhausts the memory with one event.
#[test]
fn test_cursor_bounds_events() {
    let mut cursor = StreamCursor::new(None);
    cursor.push(&vec![b'x'; EVENT_MAX_BYTES + 1]);
    assert_eq!(cursor.next_event(), Err(StreamError::EventTooLarge));
}
