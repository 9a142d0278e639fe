//! Times of a planned stop of an instance, and what they leave to requests.
//!
//! The time limit of a stop runs from its beginning to the end of the process,
//! because a platform kills a process that takes longer than it allows. Every
//! request therefore has to end before it: at its own deadline or, if that is
//! later, when the stop ends all requests. A request that may not be repeated
//! is sent only if its own deadline lies before that; its caller could not
//! find out otherwise whether it ran.
//!
//! No prediction bounds what an engine takes: one that is slower than stated, or
//! silent for a while, takes several times as long. At the begin of a stop a
//! prediction decides nevertheless whether a request that may be repeated is
//! sent, because callers still hold the instance's address and most of the time
//! is left. Later only the request's own deadline counts, and what may outlive
//! the stop is refused at once, so that its caller can use another instance.

use std::time::Duration;

use crate::{
    refusal::{Refusal, RefusalCode},
    settings::InstanceLimits,
    units::Timestamp,
};

/// Time within which the other instances learn of a planned stop, and list the
/// address no longer.
const LEAVE_PROPAGATION: Duration = Duration::from_millis(500);
/// Time between the end of all requests and the time limit of the stop. In its
/// first half callers receive their answers and the outcomes of calls are
/// recorded; in the second half the process ends.
const FINAL_PHASE: Duration = Duration::from_secs(2);
/// The final phase takes at most the time limit divided by this number.
const FINAL_PHASE_DIVISOR: u32 = 4;
/// Predictions count in the first part, 1/N, of the time until all requests end.
/// Engines have taken twice the predicted time, and twice a prediction of a
/// third still fits into what is left.
const PREDICTION_TIME_DIVISOR: u32 = 3;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    begun_at: Timestamp,
    predictions_end: Timestamp,
    listener_closes: Timestamp,
    requests_end: Timestamp,
    connections_close: Timestamp,
}

impl StopSchedule {
    /// Creates the schedule of a stop that begins at a time.
    pub fn new(begun: Timestamp, limits: &InstanceLimits) -> Self {
        let timeout = limits.stop_timeout;
        let phase = FINAL_PHASE.min(timeout / FINAL_PHASE_DIVISOR);
        let request_time = timeout.saturating_sub(phase);
        let requests_end = begun.after(request_time);
        let unlisted = begun.after(limits.address_ttl + LEAVE_PROPAGATION);
        let predictions_end =
            begun.after(request_time / PREDICTION_TIME_DIVISOR);
        Self {
            begun_at: begun,
            predictions_end: unlisted.min(predictions_end),
            listener_closes: unlisted.min(requests_end),
            requests_end,
            connections_close: requests_end.after(phase / 2),
        }
    }

    /// When the stop began.
    pub fn begun_at(&self) -> Timestamp {
        self.begun_at
    }

    /// When predictions no longer decide whether a request is sent. Not later
    /// than [`Self::listener_closes`].
    pub fn predictions_end(&self) -> Timestamp {
        self.predictions_end
    }

    /// When no address list names the instance any more, and it accepts no
    /// more connections.
    pub fn listener_closes(&self) -> Timestamp {
        self.listener_closes
    }

    /// When all requests have to end.
    pub fn requests_end(&self) -> Timestamp {
        self.requests_end
    }

    /// When connections that are still open are closed.
    pub fn connections_close(&self) -> Timestamp {
        self.connections_close
    }

    /// Whether a request with this deadline may outlive the stop.
    pub fn is_outlived_by(&self, deadline: Timestamp) -> bool {
        deadline > self.requests_end
    }
}

/// Latest times at which a request is sent and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimit {
    sent_before: Timestamp,
    ends_at: Timestamp,
    is_cut: bool,
}

impl RequestLimit {
    /// Creates the limit of a request from its deadline and the stop, if one
    /// has begun.
    pub fn new(deadline: Timestamp, stop: Option<StopSchedule>) -> Self {
        match stop {
            Some(stop) if stop.is_outlived_by(deadline) => Self {
                sent_before: stop.predictions_end,
                ends_at: stop.requests_end,
                is_cut: true,
            },
            _ => Self {
                sent_before: deadline,
                ends_at: deadline,
                is_cut: false,
            },
        }
    }

    /// Time from which the request is not sent to an upstream any more, also
    /// not once more: its deadline or, if that outlives the stop, the end of
    /// the time in which predictions count.
    pub fn sent_before(&self) -> Timestamp {
        self.sent_before
    }

    /// Deadline or, if that is earlier, the end of all requests.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }

    /// Whether a planned stop ends the request before its deadline.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Refusal of a request that did not run before the limit; `text` describes
    /// a deadline that has passed.
    pub fn refusal(&self, text: &str) -> Refusal {
        if self.is_cut {
            return stopping();
        }
        Refusal::new(RefusalCode::DeadlineExceeded, text)
    }

    /// Replaces a refusal for want of time or capacity if only the stop keeps
    /// the request from waiting longer: another instance may still serve it.
    pub fn restate(&self, refusal: Refusal) -> Refusal {
        let lacks_time = matches!(
            refusal.code,
            RefusalCode::DeadlineExceeded
                | RefusalCode::NoCapacity
                | RefusalCode::NoUpstream
                | RefusalCode::QueueFull
        );
        if self.is_cut && lacks_time {
            return stopping().with_run_state(refusal.run_state);
        }
        refusal
    }
}

/// Refusal of a request that cannot finish before the instance has stopped. It
/// names no time for a retry, because other instances can be tried at once.
pub fn stopping() -> Refusal {
    let text = "the instance stops before the request can finish";
    Refusal::new(RefusalCode::Stopping, text)
}
