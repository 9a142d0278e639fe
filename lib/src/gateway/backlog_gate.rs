//! When a long prompt may start to be read.
//!
//! In a flood of long prompts the engines have more to read than time. A
//! prompt that waits here can be overtaken by shorter ones; at an engine, newer
//! parts go before older ones, whatever their size. The larger a prompt, the emptier the engines must be
//! before it starts, so that the time goes to those that earn most for it. A
//! prompt whose target cannot be met any more gives way to those that can
//! still meet theirs. The load pattern that this answers is a flood of prompts
//! of very unlike sizes at about the engines' capacity.

use std::time::Duration;

/// Backlog at which a prompt of [`USUAL_READ`] may start.
const USUAL_BACKLOG: Duration = Duration::from_millis(200);
/// Reading time of a usual long prompt, on one engine.
const USUAL_READ: Duration = Duration::from_millis(3_000);
/// Largest backlog at which a prompt may start.
const BACKLOG_MAX: Duration = Duration::from_millis(700);
/// Smallest backlog that holds a prompt back; less is noise of the reports.
const BACKLOG_MIN: Duration = Duration::from_millis(60);
/// Wait that doubles the backlog at which a prompt may start.
const AGE_UNIT: Duration = Duration::from_millis(1_000);
/// Backlog at which a prompt whose target is missed may start.
const LATE_BACKLOG: Duration = Duration::from_millis(150);
/// Pause between two looks at the backlog.
const HOLD_PAUSE: Duration = Duration::from_millis(40);

/// State of the engines and of a prompt that is to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateInputs {
    /// Reading time of the prompt, on one engine.
    pub read: Duration,
    /// Mean reading that the engines for long prompts have before them.
    pub backlog: Duration,
    /// Time to the first event if the prompt starts now.
    pub expected: Duration,
    /// Time that the caller has waited.
    pub waited: Duration,
    /// Time to the first event that the caller expects.
    pub target: Duration,
    /// Time to the first event after which the caller gives up.
    pub patience: Duration,
}

/// What to do with a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Start it.
    Start,
    /// Look again after a pause.
    Hold(Duration),
    /// It cannot be served in time any more.
    Refuse,
}

/// Decides whether a prompt may start.
pub fn judge(inputs: &GateInputs) -> GateVerdict {
    let first_event = inputs.waited + inputs.expected;
    if first_event > inputs.patience {
        return GateVerdict::Refuse;
    }
    let size = USUAL_READ.as_secs_f64() / inputs.read.as_secs_f64().max(1e-3);
    let age = 1.0 + inputs.waited.as_secs_f64() / AGE_UNIT.as_secs_f64();
    let limit = USUAL_BACKLOG
        .mul_f64(size.min(1e3) * age)
        .clamp(BACKLOG_MIN, BACKLOG_MAX);
    let limit = if first_event > inputs.target {
        limit.min(LATE_BACKLOG)
    } else {
        limit
    };
    if inputs.backlog <= limit {
        GateVerdict::Start
    } else {
        GateVerdict::Hold(HOLD_PAUSE)
    }
}
