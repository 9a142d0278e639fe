//! One call stream at its owner: its reads, its appends, and the requests
//! that wait until their record is read back.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    CallAppendId, CallOwnerAction, CallRecord, CallRequester, ClaimStatus,
    ClaimTable, is_key_valid, is_retention_sufficient,
};
use crate::{
    core::CallFailure,
    ids::{InstanceId, RequestId},
    peer_api::{
        CallKey, CallResult, ClaimRequest, ClaimResponse, PeerResponse,
        SettleRequest,
    },
    platform_api::{AppendResponse, LogRecord, RecordPage},
    refusal::{Refusal, RefusalCode, RunState},
    units::{LogOffset, LogTime, Timestamp},
};

/// Shortest time between the starts of two appends to one stream.
const APPEND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the outcome of an append counts as unknown and the next
/// append may start.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the log service may wait for a record before it returns an empty
/// page.
const LOG_WAIT: Duration = Duration::from_millis(500);
/// Time beyond [`LOG_WAIT`] after which a read counts as lost.
const READ_GRACE: Duration = Duration::from_secs(2);
/// Delay after a failed read; doubled with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Upper bound of the delay after a failed read.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Longest time that a claim waits to be read back; less if its deadline is
/// earlier.
const CLAIM_WAIT_MAX: Duration = Duration::from_secs(10);
/// Time that a release or outcome waits to be read back.
const SETTLE_WAIT: Duration = Duration::from_secs(3);
/// Time for which an attempt still counts as running after its deadline, in
/// milliseconds.
const IN_PROGRESS_GRACE: LogTime = LogTime::new(5_000);
/// Most records that wait on one stream to be appended or read back.
const WAITERS_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WaiterKind {
    Claim,
    Release,
    Outcome,
}

type WaiterId = (RequestId, WaiterKind);

/// A record that is to be appended and read back, and the requests that get
/// the result.
#[derive(Clone, Debug)]
struct Waiter {
    key: CallKey,
    digest: Arc<str>,
    requesters: Vec<CallRequester>,
    due: Timestamp,
    /// Whether the record was part of an append, so that the log may hold it.
    may_be_logged: bool,
    /// The record, until it is part of an append.
    queued: Option<CallRecord>,
}

/// A call stream that this instance owns.
#[derive(Debug, Default)]
pub(super) struct OwnedStream {
    claims: ClaimTable,
    next: LogOffset,
    at_head: bool,
    retention_ms: u64,
    log_now: LogTime,
    failures: u32,
    /// When the read in flight counts as lost; `None` if there is none.
    read_lost_at: Option<Timestamp>,
    read_due: Timestamp,
    /// The append in flight, when it times out, and the requests whose records
    /// it carries.
    in_flight: Option<(CallAppendId, Timestamp, Vec<WaiterId>)>,
    append_due: Timestamp,
    waiters: BTreeMap<WaiterId, Waiter>,
}

impl OwnedStream {
    /// Number of keys in memory.
    pub(super) fn key_count(&self) -> usize {
        self.claims.len()
    }

    /// Statistics for queries.
    pub(super) fn stats(&self) -> super::CallStreamStats {
        super::CallStreamStats {
            keys: self.claims.len(),
            in_progress: self.claims.open_count(),
            waiting: self.waiters.len(),
            at_head: self.at_head,
        }
    }

    /// Responds to a claim if the stream decides it without a new record;
    /// otherwise queues a claim record and returns `None`.
    pub(super) fn handle_claim(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        entry: InstanceId,
        request: ClaimRequest,
        live: &[InstanceId],
    ) -> Option<ClaimResponse> {
        if !self.at_head {
            let code = RefusalCode::NotReady;
            return Some(undecided(
                code,
                "the owner is still reading the call stream",
            ));
        }
        if !is_retention_sufficient(self.retention_ms) {
            let code = RefusalCode::NotReady;
            return Some(undecided(
                code,
                "the log's retention is below the lifetime of keys",
            ));
        }
        if !is_key_valid(&request.key, self.log_now) {
            return Some(ClaimResponse::KeyExpired);
        }
        if self.claims.is_released(&request.key, &request.attempt) {
            return Some(released_answer());
        }
        let status =
            self.claims
                .status(&request.key, &request.attempt, &request.digest);
        if let Some(answer) = self.decided_answer(status, live) {
            return Some(answer);
        }
        if self.waiters.len() >= WAITERS_MAX {
            let code = RefusalCode::NotReady;
            return Some(undecided(
                code,
                "the owner has too many pending claims",
            ));
        }
        let time_left_ms = request.time_left.as_millis() as u64;
        let record = CallRecord::Claim {
            key: request.key.clone(),
            attempt: request.attempt.clone(),
            entry,
            digest: request.digest.clone(),
            time_left_ms,
        };
        let due = now.after(request.time_left.min(CLAIM_WAIT_MAX));
        let id = (request.attempt, WaiterKind::Claim);
        self.enqueue(id, requester, request.key, request.digest, due, record);
        None
    }

    pub(super) fn handle_settle(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        notice: SettleRequest,
    ) -> Option<PeerResponse> {
        let SettleRequest {
            key,
            attempt,
            result,
        } = notice;
        if self.is_settled(&key, &attempt, &result) {
            return Some(PeerResponse::Done);
        }
        if self.waiters.len() >= WAITERS_MAX {
            let text = "the owner has too many pending settlements";
            return Some(PeerResponse::Rejected(text.into()));
        }
        let (kind, record) = match result {
            CallResult::Released => {
                let key = key.clone();
                let attempt = attempt.clone();
                let record = CallRecord::Release { key, attempt };
                (WaiterKind::Release, record)
            }
            CallResult::Ran(outcome) => {
                let record = CallRecord::Outcome {
                    key: key.clone(),
                    attempt: attempt.clone(),
                    outcome,
                };
                (WaiterKind::Outcome, record)
            }
        };
        let due = now.after(SETTLE_WAIT);
        self.enqueue((attempt, kind), requester, key, "".into(), due, record);
        None
    }

    fn is_settled(
        &self,
        key: &CallKey,
        attempt: &RequestId,
        result: &CallResult,
    ) -> bool {
        match result {
            CallResult::Released => self.claims.is_released(key, attempt),
            CallResult::Ran(_) => self.claims.is_recorded(key, attempt),
        }
    }

    /// Queues a record, or adds the requester to those that wait for the same
    /// record.
    fn enqueue(
        &mut self,
        id: WaiterId,
        requester: CallRequester,
        key: CallKey,
        digest: Arc<str>,
        due: Timestamp,
        record: CallRecord,
    ) {
        let waiter = self.waiters.entry(id).or_insert_with(|| Waiter {
            key,
            digest,
            requesters: Vec::new(),
            due,
            may_be_logged: false,
            queued: Some(record),
        });
        waiter.requesters.push(requester);
    }

    /// Response to a claim with a status. `None` if no attempt holds the key.
    fn decided_answer(
        &self,
        status: ClaimStatus,
        live: &[InstanceId],
    ) -> Option<ClaimResponse> {
        Some(match status {
            ClaimStatus::Free => return None,
            ClaimStatus::Won => ClaimResponse::Won,
            ClaimStatus::Recorded(outcome) => ClaimResponse::Recorded(outcome),
            ClaimStatus::DigestMismatch => ClaimResponse::DigestMismatch,
            ClaimStatus::Held(entry, ends_at) => {
                let end = ends_at.saturating_add(IN_PROGRESS_GRACE);
                if live.contains(&entry) && self.log_now < end {
                    ClaimResponse::InProgress
                } else {
                    ClaimResponse::MayHaveRun
                }
            }
        })
    }

    pub(super) fn handle_read(
        &mut self,
        now: Timestamp,
        result: Result<RecordPage, CallFailure>,
        live: &[InstanceId],
        actions: &mut Vec<CallOwnerAction>,
    ) {
        self.read_lost_at = None;
        let Ok(page) = result else {
            let delay = BACKOFF_MIN * (1 << self.failures.min(8));
            self.failures += 1;
            self.read_due = now.after(delay.min(BACKOFF_MAX));
            return;
        };
        self.failures = 0;
        self.read_due = now;
        self.retention_ms = page.retention_ms;
        self.log_now = self.log_now.max(page.now_ms);
        // Records below `earliest` are past the retention, which exceeds the
        // lifetime of the keys that they concern.
        self.next = self.next.max(page.earliest);
        for record in &page.records {
            if record.offset == self.next {
                self.next = record.offset.next();
                self.apply_record(record, live, actions);
            }
        }
        self.at_head = self.next == page.head;
        if self.next > page.head {
            self.read_due = now.after(BACKOFF_MAX);
        }
        self.claims.expire(page.now_ms);
    }

    /// Applies a record and responds to the requests that wait for it.
    fn apply_record(
        &mut self,
        record: &LogRecord,
        live: &[InstanceId],
        actions: &mut Vec<CallOwnerAction>,
    ) {
        let Some(parsed) = self.claims.apply(record) else {
            return;
        };
        let id = match parsed {
            CallRecord::Claim { attempt, .. } => (attempt, WaiterKind::Claim),
            CallRecord::Release { attempt, .. } => {
                (attempt, WaiterKind::Release)
            }
            CallRecord::Outcome { attempt, .. } => {
                (attempt, WaiterKind::Outcome)
            }
        };
        let Some(waiter) = self.waiters.remove(&id) else {
            return;
        };
        let reply = if id.1 == WaiterKind::Claim {
            let status = self.claims.status(&waiter.key, &id.0, &waiter.digest);
            let answer = self.decided_answer(status, live);
            PeerResponse::Claim(answer.unwrap_or_else(|| {
                if is_key_valid(&waiter.key, record.appended_at) {
                    released_answer()
                } else {
                    ClaimResponse::KeyExpired
                }
            }))
        } else {
            PeerResponse::Done
        };
        answer_all(waiter, &reply, actions);
    }

    pub(super) fn handle_append_result(
        &mut self,
        append: CallAppendId,
        result: &Result<AppendResponse, CallFailure>,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        let is_current =
            |(current, _, _): &mut (CallAppendId, _, _)| *current == append;
        let Some((_, _, ids)) = self.in_flight.take_if(is_current) else {
            return;
        };
        let Err(failure) = result else { return };
        if failure.run_state != RunState::NotRun {
            return;
        }
        for id in ids {
            if let Some(waiter) = self.waiters.remove(&id) {
                let message = failure.message.as_ref();
                let reply = match id.1 {
                    WaiterKind::Claim => {
                        let code = RefusalCode::LogUnavailable;
                        PeerResponse::Claim(undecided(code, message))
                    }
                    _ => PeerResponse::Rejected(message.into()),
                };
                answer_all(waiter, &reply, actions);
            }
        }
    }

    /// Responds to the requests whose record was not read back in time.
    pub(super) fn expire(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(_, due, _)| now >= *due)
        {
            self.in_flight = None;
        }
        let expired = |_: &WaiterId, waiter: &mut Waiter| now >= waiter.due;
        for (id, waiter) in self.waiters.extract_if(.., expired) {
            let reply = match id.1 {
                WaiterKind::Claim if waiter.may_be_logged => {
                    let code = RefusalCode::DeadlineExceeded;
                    let text = "the claim was not read back in time";
                    PeerResponse::Claim(undecided(code, text))
                }
                WaiterKind::Claim => {
                    let code = RefusalCode::LogUnavailable;
                    let text = "the claim was not appended to the log in time";
                    PeerResponse::Claim(undecided(code, text))
                }
                _ => PeerResponse::Rejected(
                    "the record was not read back from the log in time".into(),
                ),
            };
            answer_all(waiter, &reply, actions);
        }
    }

    pub(super) fn start_append(
        &mut self,
        now: Timestamp,
        number: u64,
    ) -> Option<Vec<serde_json::Value>> {
        if self.in_flight.is_some() || now < self.append_due {
            return None;
        }
        let mut ids = Vec::new();
        let mut records = Vec::new();
        for (id, waiter) in &mut self.waiters {
            if let Some(record) = waiter.queued.take() {
                waiter.may_be_logged = true;
                let value = serde_json::to_value(record);
                records.push(value.expect("record has text keys"));
                ids.push(id.clone());
            }
        }
        if records.is_empty() {
            return None;
        }
        let due = now.after(APPEND_TIMEOUT);
        self.in_flight = Some((CallAppendId(number), due, ids));
        self.append_due = now.after(APPEND_INTERVAL);
        Some(records)
    }

    pub(super) fn start_read(
        &mut self,
        now: Timestamp,
    ) -> Option<(LogOffset, Duration)> {
        self.read_lost_at.take_if(|lost| now >= *lost);
        if self.read_lost_at.is_some() || now < self.read_due {
            return None;
        }
        let wait = if self.at_head {
            LOG_WAIT
        } else {
            Duration::ZERO
        };
        self.read_lost_at = Some(now.after(wait + READ_GRACE));
        Some((self.next, wait))
    }

    /// Responds to all waiting requests when another instance becomes the
    /// owner.
    pub(super) fn close(
        &mut self,
        owner: Option<&InstanceId>,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        for ((_, kind), waiter) in std::mem::take(&mut self.waiters) {
            let reply = match kind {
                WaiterKind::Claim if waiter.may_be_logged => {
                    let code = RefusalCode::DeadlineExceeded;
                    let text = "the call stream has a new owner";
                    PeerResponse::Claim(undecided(code, text))
                }
                WaiterKind::Claim => {
                    PeerResponse::Claim(ClaimResponse::NotOwner(owner.cloned()))
                }
                _ => PeerResponse::Rejected(
                    "this instance does not own the call stream".into(),
                ),
            };
            answer_all(waiter, &reply, actions);
        }
    }

    pub(super) fn next_timer(&self) -> Option<Timestamp> {
        let read = self.read_lost_at.unwrap_or(self.read_due);
        let waiters = self.waiters.values().map(|waiter| waiter.due);
        let queued = self.waiters.values().any(|w| w.queued.is_some());
        let append = self.in_flight.as_ref().map(|(_, due, _)| *due);
        let append = append.or(queued.then_some(self.append_due));
        waiters.chain(append).chain([read]).min()
    }
}

fn answer_all(
    waiter: Waiter,
    reply: &PeerResponse,
    actions: &mut Vec<CallOwnerAction>,
) {
    for requester in waiter.requesters {
        actions.push(CallOwnerAction::Respond(requester, reply.clone()));
    }
}

fn released_answer() -> ClaimResponse {
    let code = RefusalCode::DeadlineExceeded;
    undecided(code, "the attempt was released")
}

fn undecided(code: RefusalCode, message: &str) -> ClaimResponse {
    ClaimResponse::Undecided(Refusal::new(code, message))
}
