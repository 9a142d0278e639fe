//! Times of one request, for the log, the metrics and the operators' tools.
//!
//! They tell why an answer was late: because its first event came after the
//! route's target, or because of a pause between two events.

use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

use super::routing_config::{AnswerForm, RouteSpec};

/// Whether an answer met its route's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerLateness {
    /// All targets were met.
    InTime,
    /// The answer, or its first event, came after the latency target.
    FirstEvent,
    /// A pause between two events was longer than the route allows.
    Pause,
    /// The caller got no part of an answer.
    NoAnswer,
}

impl AnswerLateness {
    /// Stable name in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
            Self::NoAnswer => "no_answer",
        }
    }
}

impl Display for AnswerLateness {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Times of one request, counted from its arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTimings {
    /// Time before the first send.
    pub waited: Duration,
    /// Prediction of the time to the first event, made at the last send and
    /// counted from there.
    pub expected: Duration,
    /// Engines that helped with the prefill at the last send.
    pub helpers: usize,
    /// Time of the answer or its first event; `None` if there was none.
    pub first_event: Option<Duration>,
    /// Longest pause between two events.
    pub longest_pause: Duration,
}

impl RequestTimings {
    /// Compares the times with the targets of the request's route.
    pub fn lateness(&self, route: &RouteSpec) -> AnswerLateness {
        let Some(first_event) = self.first_event else {
            return AnswerLateness::NoAnswer;
        };
        if first_event > route.latency_target {
            AnswerLateness::FirstEvent
        } else if route.form == AnswerForm::Events
            && self.longest_pause > route.gap_target
        {
            AnswerLateness::Pause
        } else {
            AnswerLateness::InTime
        }
    }
}
