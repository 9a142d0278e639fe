//! Requests during a planned stop.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        answer_durations::AnswerDurations,
        gateway_core::{GatewayCore, NotPlaced, PlacementRequest},
        planned_stop::{PlannedStop, SendForecast},
        routing_config::RetrySafety,
    },
    refusal::{RefusalCode, RunState},
    units::Timestamp,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixtures::{admitted, at, core, id, ms, placement_request};

/// Places a prompt at a time; returns the code of the refusal, if any.
fn place(
    core: &mut GatewayCore,
    now: Timestamp,
    prompt: u64,
) -> Option<RefusalCode> {
    let admitted = admitted(core, now);
    let request = placement_request(&admitted, prompt);
    match core.place(now, &request) {
        Err(NotPlaced::Refused(refusal)) => {
            assert_eq!(refusal.run_state, RunState::NotRun);
            Some(refusal.code)
        }
        _ => None,
    }
}

/// Guards against a prompt that is sent, or waits for its turn, although its
/// answer may not be complete before the instance ends. Its predicted duration
/// is far below one second, its own deadline 10 s away.
#[rstest]
#[case::at_once(0, None)]
#[case::while_a_prediction_counts(2_500, None)]
#[case::on_a_prediction(2_501, Some(RefusalCode::Stopping))]
#[case::after_the_listener_closed(3_400, Some(RefusalCode::Stopping))]
#[case::too_late(6_500, Some(RefusalCode::Stopping))]
#[case::at_the_end(7_600, Some(RefusalCode::Stopping))]
fn test_planned_stop_refuses_what_does_not_fit(
    #[case] after_ms: u64,
    #[case] refused: Option<RefusalCode>,
) {
    let mut core = core(4);
    core.begin_stop(at(1_000));
    assert!(!core.is_ready());
    let now = at(1_000 + after_ms);
    assert_eq!(place(&mut core, now, 4_960), refused);
}

/// Guards against a prompt that is refused late in a stop although its own
/// deadline lies before the end of the stop.
#[test]
fn test_planned_stop_serves_what_ends_by_its_deadline() {
    let mut core = core(4);
    core.begin_stop(at(1_000));
    let admitted = admitted(&mut core, at(1_000));
    let request = PlacementRequest {
        time_left: ms(3_000),
        ..placement_request(&admitted, 4_960)
    };
    assert!(core.place(at(5_500), &request).is_ok());
    let late = core.place(at(5_501), &request).map(|_| ());
    assert!(matches!(late, Err(NotPlaced::Refused(_))), "{late:?}");
}

/// Guards against a prompt that keeps waiting in a stop, for its turn or for
/// memory, although it cannot start in time, and so is never refused.
#[rstest]
#[case::for_its_turn(40_000, 0)]
#[case::for_memory(70_000, 2_000)]
fn test_planned_stop_refuses_waiting_prompts(
    #[case] prompt: u64,
    #[case] interval_ms: u64,
) {
    let mut core = core(1);
    let admitted = admitted(&mut core, at(1_000));
    let request = placement_request(&admitted, prompt);
    let mut now_ms = 1_000;
    let mut before = core.place(at(now_ms), &request);
    while before.is_ok() {
        now_ms += interval_ms;
        before = core.place(at(now_ms), &request);
    }
    assert!(matches!(before, Err(NotPlaced::Defer { .. })), "{before:?}");
    core.begin_stop(at(now_ms));
    let refused = core.place(at(now_ms + 7_400), &request).map(|_| ());
    let Err(NotPlaced::Refused(refusal)) = refused else {
        panic!("the prompt is neither sent nor refused: {refused:?}");
    };
    assert_eq!(refusal.code, RefusalCode::Stopping);
    assert!(refusal.retry_after.is_some_and(|wait| wait < ms(500)));
}

/// Guards against a second SIGTERM, or a changed setting, that prolongs a stop
/// which the platform ends at the first one's time.
#[test]
fn test_planned_stop_begins_once() {
    let mut core = core(1);
    let first = core.begin_stop(at(1_000));
    assert_eq!(core.begin_stop(at(5_000)), first);
}

/// Guards against a stream that is cut because its continuation is refused
/// during a stop.
#[test]
fn test_planned_stop_continues_begun_streams() {
    let mut core = core(2);
    core.begin_stop(at(1_000));
    let admitted = admitted(&mut core, at(1_000));
    let request = PlacementRequest {
        is_resumed: true,
        ..placement_request(&admitted, 4_960)
    };
    assert!(core.place(at(8_000), &request).is_ok());
}

/// Guards against short answers that are refused because they could have been
/// longer, and against few answers that are taken for all.
#[test]
fn test_planned_stop_learns_durations() {
    let mut durations = AnswerDurations::default();
    let service = id("models");
    for _ in 0..31 {
        durations.record(&service, ms(4_000), ms(1_000));
    }
    assert_eq!(durations.expected(&service, ms(8_000)), ms(8_000));
    durations.record(&service, ms(4_000), ms(1_000));
    assert_eq!(durations.expected(&service, ms(8_000)), ms(2_000));
    for _ in 0..20 {
        durations.record(&service, ms(4_000), ms(3_000));
    }
    assert_eq!(durations.expected(&service, ms(8_000)), ms(6_000));
}

proptest! {
    /// Guards against a request that may run once and that outlives a stop, with
    /// any grace period: it could neither be repeated nor be called not run.
    #[test]
    fn test_planned_stop_ends_calls_at_most_once(
        grace_ms in 100_u64..60_000,
        now_ms in 0_u64..60_000,
        left_ms in 1_u64..30_000,
        expected_ms in proptest::option::of(0_u64..30_000),
    ) {
        let grace = ms(grace_ms);
        let stop = PlannedStop::new(at(0), grace);
        prop_assert!(stop.ends_at() < stop.exits_by());
        prop_assert!(stop.exits_by() < at(grace_ms));
        let expected = expected_ms.map(Duration::from_millis);
        let forecast = SendForecast {
            retry_safety: RetrySafety::AtMostOnce,
            time_left: ms(left_ms),
            expected,
        };
        let allowed = stop.allows_send(at(now_ms), &forecast);
        prop_assert_eq!(allowed, at(now_ms + left_ms) <= stop.ends_at());
        let repeatable = SendForecast {
            retry_safety: RetrySafety::Idempotent,
            ..forecast
        };
        let is_repeated = stop.allows_send(at(now_ms), &repeatable);
        prop_assert!(!allowed || is_repeated);
        // No prediction lets through what may be cut later than that.
        let predictions_end = (grace_ms / 3).min(2_500);
        prop_assert!(now_ms <= predictions_end || is_repeated == allowed);
    }
}
