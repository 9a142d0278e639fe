//! Decides what a request may still do while its instance stops.
//!
//! A stop has a fixed time: the platform kills the process at the end of the
//! grace period. Requests that arrive late in it, or that waited when it began,
//! have their own deadlines, which may be much later. What decides is whether a
//! request can end before the process does. One that cannot is refused before
//! it is sent, so that its caller can use another instance while there is time.
//! One that was sent and outlives the stop is ended at [`PlannedStop::ends_at`],
//! while the process can still report that.
//!
//! No prediction bounds what an upstream takes: one that is slower than
//! described, or silent for a while, takes several times as long. At the begin
//! of a stop a prediction decides nevertheless, because it leaves a large
//! margin, and most callers would find out by the refusal alone that there are
//! other instances. Later only the request's own deadline counts.

use std::time::Duration;

use super::routing_config::RetrySafety;
use crate::units::Timestamp;

/// Longest part of the grace period that is kept for the last responses and the
/// exit of the process.
const EXIT_RESERVE_MAX: Duration = Duration::from_millis(500);
/// The same as a share of the grace period, for short ones.
const EXIT_RESERVE_SHARE: f64 = 1.0 / 16.0;
/// Time after which a request must be sure to end before the stop does. Callers
/// hold an address for 2 s, so that most know other instances by then. The
/// platform allows cuts only of requests from the first 3 s after it sent the
/// signal, which the process may notice late.
const PREDICTED_END_UNTIL: Duration = Duration::from_millis(2_500);
/// The same as a share of the grace period, for short ones: a prediction that
/// is half of the real duration still fits into the rest.
const PREDICTED_END_SHARE: f64 = 1.0 / 3.0;

/// The planned stop of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    begun_at: Timestamp,
    predictions_end: Timestamp,
    ends_at: Timestamp,
    exits_by: Timestamp,
}

/// What is known of a request that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendForecast {
    /// Whether the request may be sent again.
    pub retry_safety: RetrySafety,
    /// Time until the request's own deadline.
    pub time_left: Duration,
    /// Time to the end of the answer that few like it exceed; `None` if nothing
    /// is known of it.
    pub expected: Option<Duration>,
}

impl PlannedStop {
    /// Stop that began at `begun_at`; the process is killed after `grace`.
    pub fn new(begun_at: Timestamp, grace: Duration) -> Self {
        let reserve = grace.mul_f64(EXIT_RESERVE_SHARE).min(EXIT_RESERVE_MAX);
        let predicted =
            grace.mul_f64(PREDICTED_END_SHARE).min(PREDICTED_END_UNTIL);
        Self {
            begun_at,
            predictions_end: begun_at.after(predicted),
            ends_at: begun_at.after(grace.saturating_sub(reserve)),
            exits_by: begun_at.after(grace.saturating_sub(reserve / 2)),
        }
    }

    /// Time at which the stop began.
    pub fn begun_at(&self) -> Timestamp {
        self.begun_at
    }

    /// Time at which requests that are still open are ended.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Time by which the process exits, whether or not all responses were
    /// written.
    pub fn exits_by(&self) -> Timestamp {
        self.exits_by
    }

    /// Whether a request can be sent now and end before the stop does.
    ///
    /// A request that may run only once must always end by its own deadline:
    /// cut off, it could neither be repeated nor be reported as not run.
    pub fn allows_send(&self, now: Timestamp, forecast: &SendForecast) -> bool {
        let is_early = now <= self.predictions_end;
        let needed = match (forecast.retry_safety, forecast.expected) {
            (RetrySafety::Idempotent, Some(expected)) if is_early => {
                forecast.time_left.min(expected)
            }
            _ => forecast.time_left,
        };
        now.after(needed) <= self.ends_at
    }
}
