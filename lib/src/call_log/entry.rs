//! The entry's side of at-most-once calls: the attempts of local callers.
//!
//! An attempt claims its key at the owner of the key's call stream, runs if
//! the claim is won, and then has its outcome recorded. An attempt that is
//! given up first enters the settling phase, as released, and only then gets
//! a response with run state `not_run`. From then on a response that its claim
//! was won is ignored, so it can never run after `not_run` was reported.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    CALL_STREAMS, KEY_LIFETIME, OUTCOME_BODY_MAX_BYTES, key_created_at,
    stream_index,
};
use crate::{
    core::{CallFailure, InboundCallId},
    ids::{InstanceId, RequestId},
    log_event::LogEvent,
    peer_api::{
        CallKey, CallOutcome, CallResult, ClaimRequest, ClaimResponse,
        PeerRequest, PeerResponse, SettleRequest,
    },
    refusal::{Refusal, RefusalCode, RunState},
    units::Timestamp,
};

/// Longest time that an attempt waits for its claim to be decided.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the owner to acknowledge a release or outcome. A little more than
/// the time for which the owner waits to read the record back.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Delay before a release or outcome is first sent again; doubled each time.
const RESEND_MIN: Duration = Duration::from_millis(200);
/// Upper bound of the delay before a release or outcome is sent again.
const RESEND_MAX: Duration = Duration::from_secs(5);
/// Time for which a running attempt is kept after its deadline if its end is
/// not reported.
const RUNNING_RETENTION: Duration = Duration::from_secs(3_600);

/// Id that pairs a message to a stream's owner with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryCallId(pub u64);

/// Input of the [`CallEntryTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallEntryEvent {
    /// A caller sent a request with an idempotency key.
    ClaimRequested {
        /// Id to respond with.
        inbound: InboundCallId,
        /// Key to claim.
        key: CallKey,
        /// New attempt; its id is used once.
        attempt: RequestId,
        /// Digest of the request, to detect a key that is used for two
        /// different requests.
        digest: Arc<str>,
        /// Time by which the attempt must have ended.
        deadline: Timestamp,
    },
    /// A message to a stream's owner got a response or failed.
    OwnerCallCompleted {
        /// Id from [`CallEntryAction::Call`].
        call: EntryCallId,
        /// Response of the owner.
        result: Result<PeerResponse, CallFailure>,
    },
    /// An attempt that was allowed to run has ended.
    AttemptEnded {
        /// Key that the attempt holds.
        key: CallKey,
        /// Attempt that ended.
        attempt: RequestId,
        /// Outcome, or `Released` if it was not sent to the upstream.
        result: CallResult,
    },
}

/// Output of the [`CallEntryTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallEntryAction {
    /// Send a message to the owner of a stream, which can be this instance.
    Call {
        /// Id to report the response with.
        call: EntryCallId,
        /// Owner of the stream.
        to: InstanceId,
        /// A claim or a settlement.
        message: PeerRequest,
        /// How long to wait for the response.
        timeout: Duration,
    },
    /// Respond to a claim. Only [`ClaimResponse::Won`] lets the attempt run.
    Respond(InboundCallId, ClaimResponse),
    /// Log an event with details.
    Log(LogEvent, Arc<str>),
}

/// Phase of an attempt.
#[derive(Clone, Debug)]
enum AttemptPhase {
    /// Waits for the response to its claim. `retried` is set once the claim
    /// was sent to a second owner.
    Claiming {
        call: EntryCallId,
        inbound: InboundCallId,
        retried: bool,
    },
    /// Won its claim and may run.
    Running,
    /// Its release or outcome is sent to the owner until that acknowledges it.
    /// `call` is the message in flight, `delay` the time until the next one.
    Settling {
        result: CallResult,
        call: Option<EntryCallId>,
        delay: Duration,
    },
}

#[derive(Clone, Debug)]
struct Attempt {
    key: CallKey,
    digest: Arc<str>,
    deadline: Timestamp,
    /// When the phase ends or is retried without a further event.
    due: Timestamp,
    /// When the attempt is dropped, whatever its phase.
    forget_at: Timestamp,
    phase: AttemptPhase,
}

/// Attempts of the callers that are connected to this instance.
#[derive(Debug, Default)]
pub struct CallEntryTable {
    owners: [Option<InstanceId>; CALL_STREAMS],
    attempts: BTreeMap<RequestId, Attempt>,
    calls: BTreeMap<EntryCallId, RequestId>,
    next_call: u64,
}

impl CallEntryTable {
    /// A table without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the owner of each stream.
    pub fn set_owners(&mut self, owners: [Option<InstanceId>; CALL_STREAMS]) {
        self.owners = owners;
    }

    /// Number of attempts that are claiming, running or settling.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether there are no attempts.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Processes an event and returns what to do.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: CallEntryEvent,
    ) -> Vec<CallEntryAction> {
        let mut actions = Vec::new();
        match event {
            CallEntryEvent::ClaimRequested {
                inbound,
                key,
                attempt,
                digest,
                deadline,
            } => {
                let entry = Attempt {
                    key,
                    digest,
                    deadline,
                    due: now,
                    forget_at: deadline.after(RUNNING_RETENTION),
                    phase: AttemptPhase::Running,
                };
                self.start_claim(now, inbound, attempt, entry, &mut actions);
            }
            CallEntryEvent::OwnerCallCompleted { call, result } => {
                if let Some(attempt) = self.calls.remove(&call) {
                    self.handle_response(
                        now,
                        call,
                        attempt,
                        result,
                        &mut actions,
                    );
                }
            }
            CallEntryEvent::AttemptEnded {
                key,
                attempt,
                result,
            } => {
                self.handle_attempt_end(
                    now,
                    key,
                    attempt,
                    result,
                    &mut actions,
                );
            }
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Gives up attempts and sends messages again, where due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<CallEntryAction> {
        let mut actions = Vec::new();
        let due = |(_, attempt): &(&RequestId, &Attempt)| now >= attempt.due;
        let ids: Vec<_> = self
            .attempts
            .iter()
            .filter(due)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.handle_due(now, id, &mut actions);
        }
        actions
    }

    /// When [`Self::tick`] must be called next. `None` without attempts.
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.attempts.values().map(|attempt| attempt.due).min()
    }

    fn start_claim(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        id: RequestId,
        mut attempt: Attempt,
        actions: &mut Vec<CallEntryAction>,
    ) {
        if key_created_at(&attempt.key).is_none() {
            let answer = ClaimResponse::KeyExpired;
            actions.push(CallEntryAction::Respond(inbound, answer));
            return;
        }
        if self.attempts.contains_key(&id) {
            return;
        }
        let Some(owner) = self.owners[stream_index(&attempt.key)].clone()
        else {
            let text = "no live instance owns the call stream";
            let answer = undecided(RefusalCode::NotReady, text);
            actions.push(CallEntryAction::Respond(inbound, answer));
            return;
        };
        attempt.due = attempt.deadline.min(now.after(CLAIM_TIMEOUT));
        let call = self.send_claim(now, owner, &id, &attempt, actions);
        attempt.phase = AttemptPhase::Claiming {
            call,
            inbound,
            retried: false,
        };
        self.attempts.insert(id, attempt);
    }

    fn send_claim(
        &mut self,
        now: Timestamp,
        owner: InstanceId,
        id: &RequestId,
        attempt: &Attempt,
        actions: &mut Vec<CallEntryAction>,
    ) -> EntryCallId {
        let timeout = attempt.due.since(now);
        let message = PeerRequest::ClaimCall(ClaimRequest {
            key: attempt.key.clone(),
            attempt: id.clone(),
            digest: attempt.digest.clone(),
            time_left: attempt.deadline.since(now),
        });
        self.send(id, owner, message, timeout, actions)
    }

    fn send(
        &mut self,
        id: &RequestId,
        to: InstanceId,
        message: PeerRequest,
        timeout: Duration,
        actions: &mut Vec<CallEntryAction>,
    ) -> EntryCallId {
        let call = EntryCallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, id.clone());
        actions.push(CallEntryAction::Call {
            call,
            to,
            message,
            timeout,
        });
        call
    }

    fn handle_response(
        &mut self,
        now: Timestamp,
        call: EntryCallId,
        id: RequestId,
        result: Result<PeerResponse, CallFailure>,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        match &mut attempt.phase {
            AttemptPhase::Claiming { call: current, .. }
                if *current == call =>
            {
                self.handle_claim_response(now, id, result, actions);
            }
            AttemptPhase::Settling { call: current, .. }
                if *current == Some(call) =>
            {
                *current = None;
                if matches!(result, Ok(PeerResponse::Done)) {
                    self.attempts.remove(&id);
                }
            }
            // A late response to the claim of an attempt that was given up. A
            // release of it is being sent.
            _ => {}
        }
    }

    fn handle_claim_response(
        &mut self,
        now: Timestamp,
        id: RequestId,
        result: Result<PeerResponse, CallFailure>,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let answer = match result {
            Ok(PeerResponse::Claim(answer)) => answer,
            Ok(PeerResponse::Rejected(text)) => {
                undecided(RefusalCode::NotReady, &text)
            }
            Ok(_) => undecided(
                RefusalCode::Internal,
                "unexpected response of the owner",
            ),
            Err(failure) if failure.run_state == RunState::NotRun => {
                undecided(RefusalCode::NotReady, &failure.message)
            }
            Err(failure) => {
                undecided(RefusalCode::DeadlineExceeded, &failure.message)
            }
        };
        let due = self.attempts.get(&id).map(|attempt| attempt.due);
        let in_time = due.is_some_and(|due| now < due);
        match answer {
            ClaimResponse::Won if in_time => {
                self.respond(&id, ClaimResponse::Won, actions);
            }
            ClaimResponse::Won => {
                self.give_up(now, &id, claim_timed_out(), actions);
            }
            ClaimResponse::NotOwner(owner) => {
                self.retry_claim(now, id, owner, actions);
            }
            ClaimResponse::Undecided(refusal) => {
                // With these codes the owner appended no claim, so there is
                // nothing to release.
                let unclaimed = matches!(
                    refusal.code,
                    RefusalCode::LogUnavailable | RefusalCode::NotReady
                );
                let answer = ClaimResponse::Undecided(refusal);
                if unclaimed {
                    self.respond(&id, answer, actions);
                } else {
                    self.give_up(now, &id, answer, actions);
                }
            }
            answer => self.respond(&id, answer, actions),
        }
    }

    /// Sends the claim to the owner that the first owner named, once.
    fn retry_claim(
        &mut self,
        now: Timestamp,
        id: RequestId,
        owner: Option<InstanceId>,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id).cloned() else {
            return;
        };
        let AttemptPhase::Claiming {
            inbound, retried, ..
        } = attempt.phase
        else {
            return;
        };
        let owner = owner.filter(|_| !retried && now < attempt.due);
        let Some(owner) = owner else {
            let text = "the owner of the call stream is changing";
            let answer = undecided(RefusalCode::NotReady, text);
            self.respond(&id, answer, actions);
            return;
        };
        let call = self.send_claim(now, owner, &id, &attempt, actions);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.phase = AttemptPhase::Claiming {
                call,
                inbound,
                retried: true,
            };
        }
    }

    /// Responds to an attempt that has won, or whose claim need not be
    /// released.
    fn respond(
        &mut self,
        id: &RequestId,
        answer: ClaimResponse,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let AttemptPhase::Claiming { inbound, .. } = attempt.phase else {
            return;
        };
        if answer == ClaimResponse::Won {
            attempt.phase = AttemptPhase::Running;
            attempt.due = attempt.forget_at;
        } else {
            self.attempts.remove(id);
        }
        actions.push(CallEntryAction::Respond(inbound, answer));
    }

    /// Marks an attempt as released, and only then responds to it.
    fn give_up(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        answer: ClaimResponse,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let AttemptPhase::Claiming { inbound, .. } = attempt.phase else {
            return;
        };
        attempt.settle(now, CallResult::Released);
        let text = format!("attempt {id} was given up").into();
        actions.push(CallEntryAction::Log(LogEvent::CallReleased, text));
        actions.push(CallEntryAction::Respond(inbound, answer));
    }

    fn handle_attempt_end(
        &mut self,
        now: Timestamp,
        key: CallKey,
        id: RequestId,
        result: CallResult,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let result = match result {
            CallResult::Ran(outcome) => {
                CallResult::Ran(drop_large_body(outcome))
            }
            CallResult::Released => CallResult::Released,
        };
        let attempt = self.attempts.entry(id).or_insert_with(|| Attempt {
            key,
            digest: "".into(),
            deadline: now,
            due: now,
            forget_at: now,
            phase: AttemptPhase::Running,
        });
        match attempt.phase {
            AttemptPhase::Running => attempt.settle(now, result),
            AttemptPhase::Claiming { inbound, .. } => {
                attempt.settle(now, result);
                actions
                    .push(CallEntryAction::Respond(inbound, claim_timed_out()));
            }
            // The end was reported before.
            AttemptPhase::Settling { .. } => {}
        }
    }

    fn handle_due(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id).cloned() else {
            return;
        };
        match attempt.phase {
            AttemptPhase::Claiming { .. } => {
                self.give_up(now, &id, claim_timed_out(), actions);
                self.send_result(now, id, actions);
            }
            AttemptPhase::Running => {
                self.attempts.remove(&id);
            }
            AttemptPhase::Settling { ref result, .. }
                if now >= attempt.forget_at =>
            {
                if matches!(result, CallResult::Ran(_)) {
                    let text = format!(
                        "outcome of attempt {id} was not recorded in time"
                    )
                    .into();
                    let event = LogEvent::OutcomeUnrecorded;
                    actions.push(CallEntryAction::Log(event, text));
                }
                self.attempts.remove(&id);
            }
            AttemptPhase::Settling { .. } => {
                self.send_result(now, id, actions);
            }
        }
    }

    /// Sends a release or outcome to the current owner of the stream. Without
    /// an owner only schedules the next try.
    fn send_result(
        &mut self,
        now: Timestamp,
        id: RequestId,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(mut attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let AttemptPhase::Settling {
            result,
            call,
            delay,
        } = &mut attempt.phase
        {
            attempt.due = now.after(*delay);
            *delay = (*delay * 2).min(RESEND_MAX);
            let owner = self.owners[stream_index(&attempt.key)].clone();
            if let Some(owner) = owner {
                if let Some(lost) = call.take() {
                    self.calls.remove(&lost);
                }
                let notice = SettleRequest {
                    key: attempt.key.clone(),
                    attempt: id.clone(),
                    result: result.clone(),
                };
                let message = PeerRequest::SettleCall(notice);
                let timeout = SETTLE_TIMEOUT;
                *call = Some(self.send(&id, owner, message, timeout, actions));
            }
        }
        self.attempts.insert(id, attempt);
    }
}

impl Attempt {
    fn settle(&mut self, now: Timestamp, result: CallResult) {
        self.phase = AttemptPhase::Settling {
            result,
            call: None,
            delay: RESEND_MIN,
        };
        self.due = now;
        self.forget_at = now.after(KEY_LIFETIME);
    }
}

/// Removes a body that is too large to record; its digest stays.
fn drop_large_body(outcome: CallOutcome) -> CallOutcome {
    let small = |body: &Arc<str>| body.len() <= OUTCOME_BODY_MAX_BYTES;
    CallOutcome {
        body: outcome.body.filter(small),
        ..outcome
    }
}

fn claim_timed_out() -> ClaimResponse {
    let text = "the claim was not decided in time";
    undecided(RefusalCode::DeadlineExceeded, text)
}

fn undecided(code: RefusalCode, message: &str) -> ClaimResponse {
    ClaimResponse::Undecided(Refusal::new(code, message))
}
