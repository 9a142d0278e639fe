//! Tests of the parser and the checker of completion streams.

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

fn chunk(request: &str, from: u64, count: u64, last: bool) -> CompletionChunk {
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

fn event(chunk: &CompletionChunk) -> String {
    let data = serde_json::to_string(chunk).expect("a chunk is plain JSON");
    format!("data: {data}\n\n")
}

/// Chunks of a complete completion with the given token counts.
fn completion(request: &str, counts: &[u64]) -> Vec<CompletionChunk> {
    let mut from = 0;
    let mut chunks = Vec::new();
    for (index, count) in counts.iter().enumerate() {
        chunks.push(chunk(request, from, *count, index + 1 == counts.len()));
        from += count;
    }
    chunks
}

/// Feeds a stream in pieces of the given lengths, used in turn. Returns the
/// chunks that passed, and whether the completion was complete or the error.
fn read(
    stream: &str,
    lengths: &[usize],
) -> (
    Vec<CompletionChunk>,
    Result<bool, CompletionStreamError>,
    CompletionStreamChecker,
) {
    let mut parser = SseParser::new(EVENT_MAX_BYTES);
    let mut checker = CompletionStreamChecker::new(id("r"), 0);
    let mut chunks = Vec::new();
    let mut rest = stream.as_bytes();
    let mut lengths = lengths.iter().copied().cycle();
    while !rest.is_empty() {
        let length = lengths.next().unwrap_or(rest.len()).clamp(1, rest.len());
        let (piece, tail) = rest.split_at(length);
        rest = tail;
        let events = match parser.feed(piece) {
            Ok(events) => events,
            Err(error) => return (chunks, Err(error), checker),
        };
        for data in events {
            match checker.check(&data) {
                Ok(CompletionStreamItem::Chunk(chunk)) => chunks.push(chunk),
                Ok(_) => {}
                Err(error) => return (chunks, Err(error), checker),
            }
        }
    }
    let complete = checker.is_complete();
    (chunks, Ok(complete), checker)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against chunks that are lost, repeated or taken from another
    /// request when the stream arrives in pieces of arbitrary length.
    #[test]
    fn test_checker_passes_own_chunks_once(
        counts in prop::collection::vec(1_u64..5, 1..20),
        repeats in prop::collection::vec(0_usize..3, 20),
        foreign in prop::collection::vec(0_usize..3, 20),
        cuts in prop::collection::vec(1_usize..50, 1..10),
    ) {
        let chunks = completion("r", &counts);
        let mut stream = String::new();
        let (mut repeated, mut foreign_count) = (0, 0);
        for (index, own) in chunks.iter().enumerate() {
            for _ in 0..foreign[index] {
                let other = chunk("other", own.index_from, 3, true);
                stream += &event(&other);
                foreign_count += 1;
            }
            stream += &event(own);
            for back in 0..repeats[index] {
                stream += &event(&chunks[index.saturating_sub(back)]);
                repeated += 1;
            }
        }
        stream += "data: [DONE]\n\n";
        let (passed, end, checker) = read(&stream, &cuts);
        prop_assert_eq!(passed, chunks);
        prop_assert_eq!(end, Ok(true));
        prop_assert_eq!(checker.foreign_count(), foreign_count);
        prop_assert_eq!(checker.repeated_count(), repeated);
    }

    /// Guards against a stream that was truncated at some byte and still counts
    /// as complete, or passes more than a prefix of the completion.
    #[test]
    fn test_checker_detects_truncation(
        counts in prop::collection::vec(1_u64..5, 1..10),
        at in any::<prop::sample::Index>(),
        cuts in prop::collection::vec(1_usize..50, 1..10),
    ) {
        let chunks = completion("r", &counts);
        let events: String = chunks.iter().map(event).collect();
        let stream = events + "data: [DONE]\n\n";
        let length = at.index(stream.len());
        let (passed, end, _) = read(&stream[..length], &cuts);
        prop_assert!(chunks.starts_with(&passed));
        // The event of the end marker needs the blank line after it.
        prop_assert_eq!(end, Ok(false));
    }

    /// Guards against a completion with a missing chunk that passes as
    /// complete.
    #[test]
    fn test_checker_detects_missing_chunk(
        counts in prop::collection::vec(1_u64..5, 2..10),
        at in any::<prop::sample::Index>(),
    ) {
        let chunks = completion("r", &counts);
        let missing = at.index(chunks.len());
        let kept = chunks.iter().enumerate().filter(|(i, _)| *i != missing);
        let events: String = kept.map(|(_, chunk)| event(chunk)).collect();
        let (passed, end, _) = read(&(events + "data: [DONE]\n\n"), &[]);
        prop_assert_eq!(&passed[..], &chunks[..missing]);
        prop_assert!(end.is_err());
    }

    /// Guards against a panic on arbitrary bytes, and against results that
    /// depend on how the bytes are split into pieces.
    #[test]
    fn test_parser_result_is_independent_of_pieces(
        bytes in prop::collection::vec(any::<u8>(), 0..500),
        cut in 1_usize..50,
    ) {
        let mut whole = SseParser::new(64);
        let mut pieces = SseParser::new(64);
        let expected = whole.feed(&bytes);
        let mut events = Vec::new();
        let mut failure = None;
        for piece in bytes.chunks(cut) {
            match pieces.feed(piece) {
                Ok(more) => events.extend(more),
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
        }
        match expected {
            Ok(expected) => prop_assert_eq!(events, expected),
            Err(error) => prop_assert_eq!(failure, Some(error)),
        }
    }
}

/// Guards against line terminators and fields that server-sent events permit
/// but the parser does not handle.
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

/// Guards against unbounded memory use for a long line or event.
#[rstest]
#[case::line("data: ".to_owned() + &"x".repeat(100))]
#[case::event("data: xxxxxxxxxx\n".repeat(10))]
fn test_parser_bounds_memory(#[case] stream: String) {
    let mut parser = SseParser::new(64);
    let result = parser.feed(stream.as_bytes());
    assert_eq!(result, Err(CompletionStreamError::TooLong { limit: 64 }));
}

/// Guards against a truncated completion that counts as complete because an
/// end marker arrived.
#[test]
fn test_checker_refuses_early_end() {
    let stream = event(&chunk("r", 0, 2, false)) + "data: [DONE]\n\n";
    let (_, end, checker) = read(&stream, &[]);
    assert_eq!(end, Err(CompletionStreamError::EarlyEnd { expected: 2 }));
    assert!(!checker.is_complete());
}

/// Guards against text that the caller gets twice because a chunk repeats
/// some tokens and adds others.
#[test]
fn test_checker_refuses_overlap() {
    let stream =
        event(&chunk("r", 0, 3, false)) + &event(&chunk("r", 2, 3, true));
    let (passed, end, _) = read(&stream, &[]);
    assert_eq!(passed.len(), 1);
    let (expected, found) = (3, 2);
    assert_eq!(end, Err(CompletionStreamError::Overlap { expected, found }));
}

/// Guards against an error body of another request that ends this stream.
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
