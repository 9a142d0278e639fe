//! When a long prompt may start to be prefill.
//!
//! In a flood of long prompts the engines have more to prefill than time. A
//! prompt that waits here can be overtaken by shorter ones; at an engine, newer
//! parts go before older ones, whatever their size_factor. The larger a prompt, the emptier the engines must be
//! before it starts, so that the time goes to those that earn most for it. A
//! prompt whose target cannot be met any more gives way to those that can
//! still meet theirs. The load pattern that this answers is a flood of prompts
//! of very unlike sizes at about the engines' capacity.

use std::time::Duration;

/// Backlog at which a prompt of [`REFERENCE_PREFILL`] may start.
const REFERENCE_BACKLOG: Duration = Duration::from_millis(200);
/// Reading time of a usual long prompt, on one engine.
const REFERENCE_PREFILL: Duration = Duration::from_millis(3_000);
/// Largest backlog at which a prompt may start.
const BACKLOG_MAX: Duration = Duration::from_millis(700);
/// Smallest backlog that holds a prompt back; less is noise of the reports.
const BACKLOG_MIN: Duration = Duration::from_millis(60);
/// Wait that doubles the backlog at which a prompt may start.
const WAIT_UNIT: Duration = Duration::from_millis(1_000);
/// Backlog at which a prompt whose target is missed may start.
const LATE_BACKLOG_MAX: Duration = Duration::from_millis(150);
/// Pause between two looks at the backlog.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// State of the engines and of a prompt that is to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateInputs {
    /// Reading time of the prompt, on one engine.
    pub prefill: Duration,
    /// Mean reading that the engines for long prompts have before them.
    pub backlog: Duration,
    /// Time to the first event if the prompt starts now.
    pub expected: Duration,
    /// Time that the caller has waited.
    pub waited: Duration,
    /// Time to the first event that the caller expects.
    pub target: Duration,
    /// Time to the first event after which the caller gives up.
    pub first_event_timeout: Duration,
}

/// What to do with a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// Start it.
    Start,
    /// Look again after a pause.
    Defer(Duration),
    /// It cannot be served in time any more.
    Refuse,
}

/// Decides whether a prompt may start.
pub fn evaluate_gate(inputs: &GateInputs) -> GateDecision {
    let first_event = inputs.waited + inputs.expected;
    if first_event > inputs.first_event_timeout {
        return GateDecision::Refuse;
    }
    let size_factor = REFERENCE_PREFILL.as_secs_f64()
        / inputs.prefill.as_secs_f64().max(1e-3);
    let wait_factor =
        1.0 + inputs.waited.as_secs_f64() / WAIT_UNIT.as_secs_f64();
    let limit = REFERENCE_BACKLOG
        .mul_f64(size_factor.min(1e3) * wait_factor)
        .clamp(BACKLOG_MIN, BACKLOG_MAX);
    let limit = if first_event > inputs.target {
        limit.min(LATE_BACKLOG_MAX)
    } else {
        limit
    };
    if inputs.backlog <= limit {
        GateDecision::Start
    } else {
        GateDecision::Defer(RECHECK_INTERVAL)
    }
}
