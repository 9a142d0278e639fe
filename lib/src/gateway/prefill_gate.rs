//! Decides when a long prompt may start prefill.
//!
//! In a flood of long prompts, the engines have more prefill work than time. A
//! prompt that waits in the gateway can be overtaken by shorter ones; on an
//! engine, newer shares of prompts run before older ones whatever their size.
//! The larger a prompt, the smaller the engines' backlog must be before it
//! starts, so that engine time goes first to prompts that finish quickly. A
//! prompt that can no longer meet its latency target yields to prompts that
//! still can. The gate is made for a flood of prompts of very different sizes
//! at about the capacity of the engines.

use std::time::Duration;

/// Backlog up to which a typical long prompt may start.
const TYPICAL_BACKLOG: Duration = Duration::from_millis(200);
/// Largest backlog at which any prompt may start.
const BACKLOG_MAX: Duration = Duration::from_millis(700);
/// Backlog at which every prompt may start; smaller values are within the
/// error of the load reports.
const BACKLOG_MIN: Duration = Duration::from_millis(60);
/// Waiting time that raises the backlog limit by its initial value once more.
const WAIT_UNIT: Duration = Duration::from_millis(1_000);
/// Largest backlog at which a prompt that misses its target may start.
const LATE_BACKLOG_MAX: Duration = Duration::from_millis(150);
/// Pause before a deferred prompt is evaluated again.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Load of the engines and state of the prompt to evaluate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateInputs {
    /// Prefill time of the whole prompt on one engine.
    pub prefill: Duration,
    /// The same of a typical long prompt.
    pub typical_prefill: Duration,
    /// Mean prefill time left on the engines chosen for the prompt.
    pub backlog: Duration,
    /// Predicted time from now to the first event if the prompt starts now.
    pub time_to_first_event: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time from arrival to the first event that the route aims at.
    pub target: Duration,
    /// Time from arrival to the first event after which the caller abandons
    /// the request.
    pub abandon_after: Duration,
}

/// Whether a prompt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The prompt may be sent now.
    Start,
    /// The prompt should be evaluated again after this pause.
    Defer(Duration),
    /// The first event would come after the caller has abandoned the request.
    Refuse,
}

/// Decides whether a prompt may start.
pub fn evaluate_gate(inputs: &GateInputs) -> GateDecision {
    let first_event = inputs.waited + inputs.time_to_first_event;
    if first_event > inputs.abandon_after {
        return GateDecision::Refuse;
    }
    let size_factor = inputs.typical_prefill.as_secs_f64()
        / inputs.prefill.as_secs_f64().max(1e-3);
    let wait_factor =
        1.0 + inputs.waited.as_secs_f64() / WAIT_UNIT.as_secs_f64();
    let limit = TYPICAL_BACKLOG
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
