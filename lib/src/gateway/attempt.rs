//! What may have become of one attempt of a caller, and what may follow.
//!
//! The record decides two questions: whether the attempt may be sent to
//! another upstream, and whether a refusal may say that it has not run.

use std::time::Duration;

use super::routing_config::{AnswerForm, RetrySafety, RouteSpec};
use crate::{refusal::RunState, units::Timestamp};

/// How one send to an upstream ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection was made; no byte was sent.
    NotConnected,
    /// The upstream answered that it did not run the request.
    Declined,
    /// Another upstream has the address; it did not run the request.
    Misdirected,
    /// The upstream failed the request after it may have begun to run.
    Failed,
    /// The connection broke or stayed silent after the request was sent.
    Lost,
}

impl SendOutcome {
    /// Whether the upstream is known not to have run the request.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::NotConnected | Self::Declined | Self::Misdirected
        )
    }
}

/// What to do after a send ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send to another upstream.
    Resend {
        /// Whether the retry budget has to allow it: the send that ended has
        /// reached some upstream.
        budgeted: bool,
    },
    /// End the attempt.
    End(RunState),
}

/// Least time left for which another send is worth it.
const RESEND_TIME_MIN: Duration = Duration::from_millis(30);

/// Record of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    retry_safety: RetrySafety,
    form: AnswerForm,
    sends_left: u32,
    /// Sends without a connection; they end by themselves.
    unreached_left: u32,
    deadline: Timestamp,
    state: RunState,
}

/// Most upstreams that are tried without reaching one.
const UNREACHED_SENDS_MAX: u32 = 3;

impl AttemptRecord {
    /// A record of an attempt that was not sent yet.
    pub fn new(route: &RouteSpec, deadline: Timestamp) -> Self {
        Self {
            retry_safety: route.retry_safety,
            form: route.form,
            sends_left: route.sends_max.max(1),
            unreached_left: UNREACHED_SENDS_MAX,
            deadline,
            state: RunState::NotRun,
        }
    }

    /// Time after which the attempt ends.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Whether the attempt may have run.
    pub fn run_state(&self) -> RunState {
        self.state
    }

    /// Notes that the request is about to be written to an upstream.
    pub fn begin_send(&mut self) {
        self.sends_left = self.sends_left.saturating_sub(1);
        if self.state == RunState::NotRun {
            self.state = RunState::MayHaveRun;
        }
    }

    /// Notes how a send ended; `before` is the state from before
    /// [`Self::begin_send`].
    pub fn finish_send(
        &mut self,
        now: Timestamp,
        previous: RunState,
        outcome: SendOutcome,
    ) -> NextStep {
        if outcome.proves_not_run() {
            self.state = previous;
        } else if outcome == SendOutcome::Failed {
            self.state = RunState::Ran;
        }
        let reached_target = !matches!(
            outcome,
            SendOutcome::NotConnected | SendOutcome::Misdirected
        );
        if !reached_target {
            if self.unreached_left == 0 {
                return NextStep::End(self.state);
            }
            self.unreached_left -= 1;
            // The upstream that was meant never saw the request.
            self.sends_left += 1;
        }
        let late = self.deadline <= now.after(RESEND_TIME_MIN);
        let retryable = self.state == RunState::NotRun
            || self.retry_safety == RetrySafety::Idempotent;
        if late || !retryable || self.sends_left == 0 {
            return NextStep::End(self.state);
        }
        // What reached another upstream counts there, too.
        let budgeted = outcome != SendOutcome::NotConnected;
        NextStep::Resend { budgeted }
    }

    /// Whether the attempt may be sent once more if a send that has begun
    /// brings nothing.
    pub fn can_resend(&self) -> bool {
        self.retry_safety == RetrySafety::Idempotent && self.sends_left > 0
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.form == AnswerForm::Events
    }
}
