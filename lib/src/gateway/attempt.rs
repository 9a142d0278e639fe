//! Tracks the sends of one caller attempt and decides what may follow each.
//!
//! The record answers two questions: whether the attempt may be sent to
//! another upstream, and whether a refusal may state that the request has not
//! run.

use std::time::Duration;

use super::routing_config::{AnswerForm, RetrySafety, RouteSpec};
use crate::{refusal::RunState, units::Timestamp, value_type};

value_type! {
/// How one send to an upstream ended without an answer for the caller.
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum SendOutcome {
    /// No connection was established and no byte was sent.
    NotConnected,
    /// The upstream stated that it did not run the request.
    Declined,
    /// Another upstream has taken over the address; it did not run the
    /// request.
    Misdirected,
    /// The upstream reported a failure after it may have started the request.
    Failed,
    /// The connection broke or timed out after the request was sent, or the
    /// reply was unusable.
    Lost,
}
}

impl SendOutcome {
    /// Whether the request certainly did not run on the upstream.
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
        /// Whether the resend counts against the retry budget; true if the
        /// last send reached any upstream.
        budgeted: bool,
    },
    /// End the attempt with this run state.
    End(RunState),
}

/// Least time before the deadline at which another send is still made.
const RESEND_TIME_MIN: Duration = Duration::from_millis(30);

/// Sends made and allowed for one attempt of a caller.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    retry_safety: RetrySafety,
    form: AnswerForm,
    sends_left: u32,
    /// Further sends allowed that do not reach the chosen upstream; they do
    /// not use up `sends_left`.
    unreached_left: u32,
    deadline: Timestamp,
    state: RunState,
}

/// Sends of an attempt that may fail to reach the chosen upstream and still be
/// followed by another one.
const UNREACHED_SENDS_MAX: u32 = 3;

impl AttemptRecord {
    /// Creates the record of an attempt that has not been sent yet.
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

    /// Record of the one send that a delegate makes.
    pub fn for_delegate(route: &RouteSpec, deadline: Timestamp) -> Self {
        Self {
            sends_left: 1,
            ..Self::new(route, deadline)
        }
    }

    /// Time at which the attempt ends.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Whether the request has run, as far as is known.
    pub fn run_state(&self) -> RunState {
        self.state
    }

    /// Records that the request is about to be written to an upstream.
    pub fn begin_send(&mut self) {
        self.sends_left = self.sends_left.saturating_sub(1);
        if self.state == RunState::NotRun {
            self.state = RunState::MayHaveRun;
        }
    }

    /// Records how a send ended. `previous` is the run state before
    /// [`Self::begin_send`]; it is restored if the request certainly did not
    /// run.
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
            // The chosen upstream did not receive the request.
            self.sends_left += 1;
        }
        let late = self.deadline <= now.after(RESEND_TIME_MIN);
        let retryable = self.state == RunState::NotRun
            || self.retry_safety == RetrySafety::Idempotent;
        if late || !retryable || self.sends_left == 0 {
            return NextStep::End(self.state);
        }
        // A request that reached a different upstream counts there as
        // received, too.
        let budgeted = outcome != SendOutcome::NotConnected;
        NextStep::Resend { budgeted }
    }

    /// Whether the attempt's own limits allow another send if the one in progress
    /// fails.
    pub fn can_resend(&self) -> bool {
        self.retry_safety == RetrySafety::Idempotent && self.sends_left > 0
    }

    /// Whether the route's answers are event streams.
    pub fn is_stream(&self) -> bool {
        self.form == AnswerForm::Events
    }
}
