//! Tests of the checks on streamed answers.

use borageline_lib::{
    api::{CompletionChoice, CompletionChunk},
    completion_stream::{
        CompletionStreamChecker, CompletionStreamError, CompletionStreamItem,
        EVENT_MAX_BYTES, SseParser,
    },
    ids::RequestId,
};
use proptest::prelude::*;
use rstest::rstest;

fn id(text: &str) -> RequestId {
    text.parse().expect("text is an id")
}

fn part(request: &str, from: u64, count: u64, last: bool) -> CompletionChunk {
    CompletionChunk {
        id: id(request),
        object: "text_completion".into(),
        model: "m".parse().expect("text is an id"),
        index_from: from,
        token_count: count,
        choices: vec![CompletionChoice {
            index: 0,
            text: format!("<{from}+{count}>"),
            finish_reason: last.then(|| "stop".into()),
        }],
    }
}

fn event(part: &CompletionChunk) -> String {
    let data = serde_json::to_string(part).expect("a part is plain JSON");
    format!("data: {data}\n\n")
}

/// Parts of a whole answer with the given token counts.
fn answer(request: &str, counts: &[u64]) -> Vec<CompletionChunk> {
    let mut from = 0;
    let mut parts = Vec::new();
    for (index, count) in counts.iter().enumerate() {
        parts.push(part(request, from, *count, index + 1 == counts.len()));
        from += count;
    }
    parts
}

/// Reads a stream in pieces; returns the parts let through and the end.
fn read(
    stream: &str,
    cuts: &[usize],
) -> (
    Vec<CompletionChunk>,
    Result<bool, CompletionStreamError>,
    CompletionStreamChecker,
) {
    let mut parser = SseParser::new(EVENT_MAX_BYTES);
    let mut checker = CompletionStreamChecker::new(id("r"), 0);
    let mut parts = Vec::new();
    let mut rest = stream.as_bytes();
    let mut cuts = cuts.iter().copied().cycle();
    while !rest.is_empty() {
        let length = cuts.next().unwrap_or(rest.len()).clamp(1, rest.len());
        let (piece, tail) = rest.split_at(length);
        rest = tail;
        let events = match parser.feed(piece) {
            Ok(events) => events,
            Err(fault) => return (parts, Err(fault), checker),
        };
        for data in events {
            match checker.check(&data) {
                Ok(CompletionStreamItem::Chunk(part)) => parts.push(part),
                Ok(_) => {}
                Err(fault) => return (parts, Err(fault), checker),
            }
        }
    }
    let whole = checker.is_complete();
    (parts, Ok(whole), checker)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against parts that are lost, repeated or taken from another
    /// request when the stream arrives in pieces of any size.
    #[test]
    fn test_checker_passes_own_parts_once(
        counts in prop::collection::vec(1_u64..5, 1..20),
        repeats in prop::collection::vec(0_usize..3, 20),
        foreign in prop::collection::vec(0_usize..3, 20),
        cuts in prop::collection::vec(1_usize..50, 1..10),
    ) {
        let parts = answer("r", &counts);
        let mut stream = String::new();
        let (mut repeated, mut crossed) = (0, 0);
        for (index, own) in parts.iter().enumerate() {
            for _ in 0..foreign[index] {
                let other = part("other", own.index_from, 3, true);
                stream += &event(&other);
                crossed += 1;
            }
            stream += &event(own);
            for back in 0..repeats[index] {
                stream += &event(&parts[index.saturating_sub(back)]);
                repeated += 1;
            }
        }
        stream += "data: [DONE]\n\n";
        let (passed, end, checker) = read(&stream, &cuts);
        prop_assert_eq!(passed, parts);
        prop_assert_eq!(end, Ok(true));
        prop_assert_eq!(checker.foreign_count(), crossed);
        prop_assert_eq!(checker.repeated_count(), repeated);
    }

    /// Guards against a stream that was cut at any byte and still counts as
    /// whole, or lets through more than a prefix of the answer.
    #[test]
    fn test_checker_notices_truncation(
        counts in prop::collection::vec(1_u64..5, 1..10),
        at in any::<prop::sample::Index>(),
        cuts in prop::collection::vec(1_usize..50, 1..10),
    ) {
        let parts = answer("r", &counts);
        let events: String = parts.iter().map(event).collect();
        let stream = events + "data: [DONE]\n\n";
        let length = at.index(stream.len());
        let (passed, end, _) = read(&stream[..length], &cuts);
        prop_assert!(parts.starts_with(&passed));
        // Without the blank line after it, the end marker has not come.
        prop_assert_eq!(end, Ok(false));
    }

    /// Guards against an answer with a hole in it.
    #[test]
    fn test_checker_notices_missing_part(
        counts in prop::collection::vec(1_u64..5, 2..10),
        at in any::<prop::sample::Index>(),
    ) {
        let parts = answer("r", &counts);
        let missing = at.index(parts.len());
        let kept = parts.iter().enumerate().filter(|(i, _)| *i != missing);
        let events: String = kept.map(|(_, part)| event(part)).collect();
        let (passed, end, _) = read(&(events + "data: [DONE]\n\n"), &[]);
        prop_assert_eq!(&passed[..], &parts[..missing]);
        prop_assert!(end.is_err());
    }

    /// Guards against a parser that fails or grows on bytes of any kind.
    #[test]
    fn test_parser_takes_any_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..500),
        cut in 1_usize..50,
    ) {
        let mut whole = SseParser::new(64);
        let mut pieces = SseParser::new(64);
        let expected = whole.feed(&bytes);
        let mut events = Vec::new();
        let mut fault = None;
        for piece in bytes.chunks(cut) {
            match pieces.feed(piece) {
                Ok(more) => events.extend(more),
                Err(error) => {
                    fault = Some(error);
                    break;
                }
            }
        }
        match expected {
            Ok(expected) => prop_assert_eq!(events, expected),
            Err(error) => prop_assert_eq!(fault, Some(error)),
        }
    }
}

/// Guards against line ends that the format allows and the parser misses.
#[rstest]
#[case::line_feed("data: a\n\ndata: b\n\n")]
#[case::both("data: a\r\n\r\ndata: b\r\n\r\n")]
#[case::carriage_return("data: a\r\rdata: b\r\r")]
#[case::comments(": hi\n\nevent: x\ndata:a\nid: 1\n\ndata: b\nretry: 3\n\n")]
fn test_parser_splits_events(#[case] stream: &str) {
    for cut in 1..stream.len() {
        let mut parser = SseParser::new(64);
        let mut events = Vec::new();
        for piece in stream.as_bytes().chunks(cut) {
            events.extend(parser.feed(piece).expect("lines are short"));
        }
        assert_eq!(events, ["a", "b"], "cut into {cut}");
    }
}

/// Guards against a line or an event that grows without bound.
#[rstest]
#[case::line("data: ".to_owned() + &"x".repeat(100))]
#[case::event("data: xxxxxxxxxx\n".repeat(10))]
fn test_parser_bounds_memory(#[case] stream: String) {
    let mut parser = SseParser::new(64);
    let fault = parser.feed(stream.as_bytes());
    assert_eq!(fault, Err(CompletionStreamError::TooLong { limit: 64 }));
}

/// Guards against an end marker of another stream that makes a cut answer
/// look whole.
#[test]
fn test_checker_refuses_early_end() {
    let stream = event(&part("r", 0, 2, false)) + "data: [DONE]\n\n";
    let (_, end, checker) = read(&stream, &[]);
    assert_eq!(end, Err(CompletionStreamError::EarlyEnd { expected: 2 }));
    assert!(!checker.is_complete());
}

/// Guards against text that is repeated because a part only partly overlaps
/// what came before.
#[test]
fn test_checker_refuses_overlap() {
    let stream =
        event(&part("r", 0, 3, false)) + &event(&part("r", 2, 3, true));
    let (passed, end, _) = read(&stream, &[]);
    assert_eq!(passed.len(), 1);
    let (expected, found) = (3, 2);
    assert_eq!(end, Err(CompletionStreamError::Overlap { expected, found }));
}

/// Guards against an error of another request that ends this one.
#[test]
fn test_checker_drops_foreign_error() {
    let error = |request: &str| {
        format!(
            "{{\"error\":{{\"code\":\"c\",\"message\":\"m\",\
             \"run_state\":\"ran\",\"request_id\":\"{request}\"}}}}"
        )
    };
    let mut checker = CompletionStreamChecker::new(id("r"), 0);
    assert_eq!(
        checker.check(&error("other")),
        Ok(CompletionStreamItem::Foreign)
    );
    let own = checker.check(&error("r"));
    assert!(
        matches!(own, Err(CompletionStreamError::Reported(_))),
        "{own:?}"
    );
}
