//! The entry side of a call: the life of each attempt.
//!
//! An attempt that is given up is first marked as such and only then answered
//! with `not_run`; a claim that turns out to be won later is released and
//! never acted on.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    CALL_STREAMS, KEY_LIFETIME, OUTCOME_BODY_MAX_BYTES, key_time, stream_of,
};
use crate::{
    core::{CallFailure, InboundCallId},
    ids::{InstanceId, RequestId},
    log_event::LogEvent,
    peer_api::{
        CallKey, CallOutcome, CallResult, ClaimRequest, ClaimResponse,
        PeerMessage, PeerReply, SettleNotice,
    },
    refusal::{Refusal, RefusalCode, RunState},
    units::Timestamp,
};

/// Longest time that an attempt waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the owner to acknowledge a release or outcome.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// First delay before a release or outcome is sent again; doubled each time.
const RESEND_MIN: Duration = Duration::from_millis(200);
/// Longest delay before a release or outcome is sent again.
const RESEND_MAX: Duration = Duration::from_secs(5);
/// Time after its deadline for which a running attempt is remembered.
const RUNNING_KEPT: Duration = Duration::from_secs(3_600);

/// Number of one message of the entry side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryCallId(pub u64);

/// Input of the entry side.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEntryEvent {
    /// A caller's attempt asks for its key.
    ClaimRequested {
        /// Number for the answer.
        inbound: InboundCallId,
        /// Key.
        key: CallKey,
        /// Attempt; its id is used once.
        attempt: RequestId,
        /// Digest of the request.
        digest: Arc<str>,
        /// When the attempt must have ended.
        deadline: Timestamp,
    },
    /// The owner answered a message, or did not.
    OwnerCallCompleted {
        /// Number of the message.
        call: EntryCallId,
        /// The answer.
        result: Result<PeerReply, CallFailure>,
    },
    /// An attempt that may run has ended.
    AttemptEnded {
        /// Key.
        key: CallKey,
        /// Attempt.
        attempt: RequestId,
        /// What became of it.
        result: CallResult,
    },
}

/// Output of the entry side.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEntryAction {
    /// Send a message to the owner of a stream, which can be this instance.
    Call {
        /// Number of the message.
        call: EntryCallId,
        /// Owner.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Answer an attempt. Only [`ClaimResponse::Won`] lets it run.
    Respond(InboundCallId, ClaimResponse),
    /// Log a numbered event.
    Log(LogEvent, Arc<str>),
}

/// How far an attempt has come.
#[derive(Clone, Debug)]
enum AttemptPhase {
    /// Waits for the answer to its claim.
    Claiming {
        call: EntryCallId,
        inbound: InboundCallId,
        retried: bool,
    },
    /// May run.
    Running,
    /// Its end is being recorded.
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
    /// When the phase goes on without further news.
    due: Timestamp,
    /// When the attempt is forgotten.
    forget_at: Timestamp,
    phase: AttemptPhase,
}

/// The attempts of this instance's callers.
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

    /// Number of attempts that are claiming, running or being recorded.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether there is no attempt.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Takes an event in.
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
                    forget_at: deadline.after(RUNNING_KEPT),
                    phase: AttemptPhase::Running,
                };
                self.start(now, inbound, attempt, entry, &mut actions);
            }
            CallEntryEvent::OwnerCallCompleted { call, result } => {
                if let Some(attempt) = self.calls.remove(&call) {
                    self.answered(now, call, attempt, result, &mut actions);
                }
            }
            CallEntryEvent::AttemptEnded {
                key,
                attempt,
                result,
            } => self.settled(now, key, attempt, result, &mut actions),
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Gives up and sends again what is due.
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
            self.attempt_due(now, id, &mut actions);
        }
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        self.attempts.values().map(|attempt| attempt.due).min()
    }

    fn start(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        id: RequestId,
        mut attempt: Attempt,
        actions: &mut Vec<CallEntryAction>,
    ) {
        if key_time(&attempt.key).is_none() {
            let answer = ClaimResponse::KeyExpired;
            actions.push(CallEntryAction::Respond(inbound, answer));
            return;
        }
        if self.attempts.contains_key(&id) {
            return;
        }
        let Some(owner) = self.owners[stream_of(&attempt.key)].clone() else {
            let text = "no instance owns the call stream";
            let answer = undecided(RefusalCode::NotReady, text);
            actions.push(CallEntryAction::Respond(inbound, answer));
            return;
        };
        attempt.due = attempt.deadline.min(now.after(CLAIM_TIMEOUT));
        let call = self.claim(now, owner, &id, &attempt, actions);
        attempt.phase = AttemptPhase::Claiming {
            call,
            inbound,
            retried: false,
        };
        self.attempts.insert(id, attempt);
    }

    fn claim(
        &mut self,
        now: Timestamp,
        owner: InstanceId,
        id: &RequestId,
        attempt: &Attempt,
        actions: &mut Vec<CallEntryAction>,
    ) -> EntryCallId {
        let timeout = attempt.due.since(now);
        let message = PeerMessage::ClaimCall(ClaimRequest {
            key: attempt.key.clone(),
            attempt: id.clone(),
            digest: attempt.digest.clone(),
            time_left: attempt.deadline.since(now),
        });
        self.call(id, owner, message, timeout, actions)
    }

    fn call(
        &mut self,
        id: &RequestId,
        to: InstanceId,
        message: PeerMessage,
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

    fn answered(
        &mut self,
        now: Timestamp,
        call: EntryCallId,
        id: RequestId,
        result: Result<PeerReply, CallFailure>,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        match &mut attempt.phase {
            AttemptPhase::Claiming { call: current, .. }
                if *current == call =>
            {
                self.claim_answered(now, id, result, actions);
            }
            AttemptPhase::Settling { call: current, .. }
                if *current == Some(call) =>
            {
                *current = None;
                if matches!(result, Ok(PeerReply::Done)) {
                    self.attempts.remove(&id);
                }
            }
            // A late answer to the claim of an attempt that was given up, for
            // which a release is under way.
            _ => {}
        }
    }

    fn claim_answered(
        &mut self,
        now: Timestamp,
        id: RequestId,
        result: Result<PeerReply, CallFailure>,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let answer = match result {
            Ok(PeerReply::Claim(answer)) => answer,
            Ok(PeerReply::Rejected(text)) => {
                undecided(RefusalCode::NotReady, &text)
            }
            Ok(_) => undecided(RefusalCode::Internal, "unexpected answer"),
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
                self.finish(&id, ClaimResponse::Won, actions);
            }
            ClaimResponse::Won => self.give_up(now, &id, late(), actions),
            ClaimResponse::NotOwner(owner) => {
                self.claim_elsewhere(now, id, owner, actions);
            }
            ClaimResponse::Undecided(refusal) => {
                // With these codes nothing was appended.
                let unclaimed = matches!(
                    refusal.code,
                    RefusalCode::LogUnavailable | RefusalCode::NotReady
                );
                let answer = ClaimResponse::Undecided(refusal);
                if unclaimed {
                    self.finish(&id, answer, actions);
                } else {
                    self.give_up(now, &id, answer, actions);
                }
            }
            answer => self.finish(&id, answer, actions),
        }
    }

    /// Asks the owner that was named, once.
    fn claim_elsewhere(
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
            let text = "the call stream is changing its owner";
            let answer = undecided(RefusalCode::NotReady, text);
            self.finish(&id, answer, actions);
            return;
        };
        let call = self.claim(now, owner, &id, &attempt, actions);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.phase = AttemptPhase::Claiming {
                call,
                inbound,
                retried: true,
            };
        }
    }

    /// Answers an attempt whose claim holds nothing that must be released.
    fn finish(
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

    /// Marks an attempt as given up, and only then answers it.
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

    fn settled(
        &mut self,
        now: Timestamp,
        key: CallKey,
        id: RequestId,
        result: CallResult,
        actions: &mut Vec<CallEntryAction>,
    ) {
        let result = match result {
            CallResult::Ran(outcome) => CallResult::Ran(shorten(outcome)),
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
                actions.push(CallEntryAction::Respond(inbound, late()));
            }
            // Reported twice.
            AttemptPhase::Settling { .. } => {}
        }
    }

    fn attempt_due(
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
                self.give_up(now, &id, late(), actions);
                self.send_result(now, id, actions);
            }
            AttemptPhase::Running => {
                self.attempts.remove(&id);
            }
            AttemptPhase::Settling { ref result, .. }
                if now >= attempt.forget_at =>
            {
                if matches!(result, CallResult::Ran(_)) {
                    let text = format!("outcome of attempt {id}").into();
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

    /// Sends a release or outcome to the present owner of the stream.
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
            let owner = self.owners[stream_of(&attempt.key)].clone();
            if let Some(owner) = owner {
                if let Some(lost) = call.take() {
                    self.calls.remove(&lost);
                }
                let notice = SettleNotice {
                    key: attempt.key.clone(),
                    attempt: id.clone(),
                    result: result.clone(),
                };
                let message = PeerMessage::SettleCall(notice);
                let timeout = SETTLE_TIMEOUT;
                *call = Some(self.call(&id, owner, message, timeout, actions));
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

/// Drops a body that is too large to record; its digest stays.
fn shorten(outcome: CallOutcome) -> CallOutcome {
    let small = |body: &Arc<str>| body.len() <= OUTCOME_BODY_MAX_BYTES;
    CallOutcome {
        body: outcome.body.filter(small),
        ..outcome
    }
}

fn late() -> ClaimResponse {
    let text = "the claim was not decided in time";
    undecided(RefusalCode::DeadlineExceeded, text)
}

fn undecided(code: RefusalCode, message: &str) -> ClaimResponse {
    ClaimResponse::Undecided(Refusal::new(code, message))
}
