//! Tests of the traces of decisions on requests.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[expect(dead_code, reason = "this test uses only some helpers")]
mod common;

use std::time::Duration;

use borageline_lib::{
    api::PriorityClass,
    core::{
        RequestDecision, RequestDescriptor, RequestProgress, StreamFailure,
    },
    ids::{InstanceId, RequestId},
    peer_api::{GrantRefusal, GrantResponse},
    query::{CellValue, TableRow},
    refusal::{Refusal, RefusalCode, RetryReason},
    request_trace::{
        RequestTraces, STEPS_KEPT_PER_END, TRACES_MAX, TraceStep, WaitReason,
    },
    units::{Timestamp, TokenCount},
};
use proptest::prelude::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

fn descriptor(id: &str) -> RequestDescriptor {
    RequestDescriptor {
        request: id.parse().unwrap(),
        workspace: "w".parse().unwrap(),
        model: "m".parse().unwrap(),
        class: PriorityClass::Batch,
        prompt: TokenCount::new(1_000),
        output: TokenCount::new(50),
        prefix: 0,
        deadline: at(61_000),
    }
}

fn instance() -> InstanceId {
    "i1".parse().unwrap()
}

/// Time, step and detail of each row of a trace.
fn lines_of(traces: &RequestTraces, id: &str) -> Vec<String> {
    let id: RequestId = id.parse().unwrap();
    let line = |row: TableRow| {
        let text = |cell: &CellValue| {
            serde_json::to_string(cell).unwrap().replace('"', "")
        };
        let cells: Vec<_> = row[1..].iter().map(text).collect();
        cells.join(" | ")
    };
    traces
        .rows(&id, &instance())
        .into_iter()
        .map(line)
        .collect()
}

/// Guards against steps that are omitted or shown with a wrong reason.
#[test]
fn test_trace_shows_each_step() {
    let mut traces = RequestTraces::new();
    let id: RequestId = "r".parse().unwrap();
    let engine = || "e1".parse().unwrap();
    traces.record_arrival(at(1_000), &descriptor("r"));
    traces.record_step(at(1_000), &id, TraceStep::WithinLimits);
    let refusal = Refusal::new(RefusalCode::NoCapacity, "engine has no room")
        .with_retry_after(Duration::from_secs(2));
    let refused = GrantResponse::Refused(GrantRefusal {
        refusal: refusal.clone(),
        summary: None,
    });
    traces.record_response(at(1_002), &id, &engine(), Some(&refused));
    traces.record_response(at(1_003), &id, &engine(), None);
    let other = GrantResponse::NotOwner(Some("i2".parse().unwrap()));
    traces.record_response(at(1_004), &id, &engine(), Some(&other));
    let step = TraceStep::Waits(at(1_100), WaitReason::NotTaken);
    traces.record_step(at(1_005), &id, step);
    let sent = RequestProgress::Sent(engine());
    traces.record_progress(at(1_101), &id, &sent);
    let failed = RequestProgress::Failed {
        engine: engine(),
        failure: StreamFailure::Interrupted,
        delivered: TokenCount::new(7),
    };
    traces.record_progress(at(1_200), &id, &failed);
    traces.record_step(
        at(1_200),
        &id,
        TraceStep::Retried(RetryReason::AnswerCut),
    );
    traces.record_decision(at(1_300), &id, &RequestDecision::End(refusal));
    insta::assert_snapshot!(lines_of(&traces, "r").join("\n"), @r"
    0.0 | arrived | workspace w, model m, class batch, prompt 1000 tokens, output up to 50 tokens, deadline in 60s
    0.0 | limits | within the limits of its workspace
    0.002 | not granted | e1: no_capacity: engine has no room, retry after 2s
    0.003 | no answer | owner of e1 has not answered
    0.004 | not owner | e1: its owner is i2
    0.005 | waits | until 100ms: no engine that was asked has room
    0.101 | sent | e1
    0.2 | failed | e1: the stream was cut, 7 tokens delivered
    0.2 | retried | answer_cut
    0.3 | refused | no_capacity: engine has no room, retry after 2s
    ");
}

/// Guards against traces of requests that did not arrive at this instance.
#[test]
fn test_trace_of_unknown_request_is_empty() {
    let mut traces = RequestTraces::new();
    let id = "r".parse().unwrap();
    traces.record_step(at(0), &id, TraceStep::FirstChunk);
    assert!(traces.rows(&id, &instance()).is_empty());
    assert!(traces.is_empty());
}

/// Guards against a trace that loses its first or last steps to many
/// retries.
#[test]
fn test_trace_keeps_first_and_last_steps() {
    let mut traces = RequestTraces::new();
    let id: RequestId = "r".parse().unwrap();
    traces.record_arrival(at(0), &descriptor("r"));
    traces.record_step(at(0), &id, TraceStep::WithinLimits);
    for millis in 1..200 {
        let step = TraceStep::Retried(RetryReason::GrantRefused);
        traces.record_step(at(millis), &id, step);
    }
    traces.record_step(at(500), &id, TraceStep::CallerDisconnected);
    let lines = lines_of(&traces, "r");
    assert_eq!(lines.len(), 2 * STEPS_KEPT_PER_END + 2);
    assert!(lines[1].contains("limits"), "{lines:?}");
    let skipped = &lines[STEPS_KEPT_PER_END + 1];
    assert!(skipped.ends_with("169 steps not kept"), "{skipped}");
    assert!(lines.last().unwrap().contains("caller gone"), "{lines:?}");
}

/// Guards against a table that grows with the number of requests.
#[test]
fn test_oldest_trace_is_evicted() {
    let mut traces = RequestTraces::new();
    for number in 0..TRACES_MAX + 10 {
        traces.record_arrival(at(0), &descriptor(&format!("r{number}")));
    }
    assert_eq!(traces.len(), TRACES_MAX);
    assert!(lines_of(&traces, "r9").is_empty());
    assert!(!lines_of(&traces, "r10").is_empty());
}

proptest! {
    #![proptest_config(common::config(256))]

    /// Guards against a sequence of steps for which a trace exceeds its bound.
    #[test]
    fn test_trace_property_is_bounded(
        steps in proptest::collection::vec((0_u64..4, 0_u64..1_000), 0..400),
    ) {
        let mut traces = RequestTraces::new();
        for (number, millis) in steps {
            let id = format!("r{number}");
            traces.record_arrival(at(millis), &descriptor(&id));
            let id = id.parse().unwrap();
            traces.record_step(at(millis), &id, TraceStep::FirstChunk);
            let rows = traces.rows(&id, &instance());
            prop_assert!(rows.len() <= 2 * STEPS_KEPT_PER_END + 2);
        }
        prop_assert!(traces.len() <= 4);
    }
}
