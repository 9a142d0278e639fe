//! One owned engine: account, cold limit, cost model and takeover.

use std::{collections::BTreeMap, time::Duration};

use super::{
    HOLD_DOWN_SHARED, LOAD_INTERVAL, LONG_PROMPT, RETRY_AFTER_MIN,
    TakeoverState,
};
use crate::{
    admission::{AdmissionQueue, QueuedGrantRequest},
    cold_start::ColdStartLimit,
    cost::{CostModel, REPORT_MAX_AGE},
    engine_api::CapabilityReport,
    ids::{InstanceId, RequestId, UpstreamId},
    ledger::{EngineLedger, GRANT_VALIDITY, ReservationState},
    peer_api::{EngineSummary, Grant, GrantEvent, GrantNotice, GrantRequest},
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount, TokenRate},
};

/// What was predicted for a granted request.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    granted_at: Timestamp,
    first_part: Duration,
    total: Duration,
    first_at: Option<Timestamp>,
}

#[derive(Debug)]
pub(super) struct OwnedEngine {
    pub(super) ledger: EngineLedger,
    pub(super) cold_limit: ColdStartLimit,
    /// Prefill rate of the engine when warm.
    pub(super) warm_rate: TokenRate,
    pub(super) cost: Option<CostModel>,
    pub(super) state: TakeoverState,
    pub(super) hold_down_until: Timestamp,
    /// When the former owner is asked for the account.
    pub(super) handover_request_due: Timestamp,
    pub(super) load_measured_at: Option<Timestamp>,
    pub(super) load_due: Timestamp,
    pub(super) load_requested_at: Option<Timestamp>,
    pub(super) held_due: Timestamp,
    pub(super) held_requested_at: Option<Timestamp>,
    pub(super) held_urgent: bool,
    pub(super) accepts_work: bool,
    /// Whether the engine is leaving.
    pub(super) leaving: bool,
    pub(super) takes_long: bool,
    pub(super) queue: AdmissionQueue,
    pub(super) forecasts: BTreeMap<RequestId, Forecast>,
}

impl OwnedEngine {
    pub(super) fn new(now: Timestamp, hold_down: Duration) -> Self {
        Self {
            ledger: EngineLedger::new(),
            cold_limit: ColdStartLimit::new(),
            warm_rate: TokenRate::ZERO,
            cost: None,
            state: TakeoverState::HoldDown,
            hold_down_until: now.after(hold_down),
            handover_request_due: now,
            load_measured_at: None,
            load_due: now,
            load_requested_at: None,
            held_due: now.after(hold_down),
            held_requested_at: None,
            held_urgent: false,
            accepts_work: true,
            leaving: false,
            takes_long: false,
            queue: AdmissionQueue::new(),
            forecasts: BTreeMap::new(),
        }
    }

    pub(super) fn apply_capability(
        &mut self,
        now: Timestamp,
        report: &CapabilityReport,
    ) {
        self.ledger.set_size(report.memory, report.slots);
        self.warm_rate = report.prefill_rate;
        if self.ledger.set_incarnation(now, report.incarnation) {
            self.restarted();
        }
        if self.cost.is_none() {
            self.cost = Some(CostModel::new(report));
        }
    }

    pub(super) fn restarted(&mut self) {
        self.cold_limit.reset();
        self.forecasts.clear();
        self.cost = None;
        self.load_measured_at = None;
    }

    /// Starts the takeover anew: another instance may own the engine until the
    /// evidence is fresh again. What is known of the engine is kept.
    pub(super) fn suspend(&mut self, now: Timestamp) {
        self.state = TakeoverState::HoldDown;
        self.ledger.set_complete(false);
        self.hold_down_until = now.after(HOLD_DOWN_SHARED);
        self.handover_request_due = now;
    }

    pub(super) fn has_recent_load(&self, now: Timestamp) -> bool {
        self.load_measured_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE)
    }

    pub(super) fn backlog(&self, now: Timestamp) -> TokenCount {
        let own = self.ledger.prefill_backlog();
        let cost = self.cost.as_ref();
        cost.map_or(own, |cost| cost.backlog(now, own))
    }

    /// Memory that a grant may take now, by the account and the cold limit.
    pub(super) fn headroom(&self, now: Timestamp) -> TokenCount {
        if !self.has_recent_load(now) || self.room_slots() == 0 {
            return TokenCount::ZERO;
        }
        let headroom = self.ledger.headroom();
        if self.ledger.reservations().next().is_none() {
            return headroom;
        }
        let limit = self.cold_limit.tokens(self.ledger.memory());
        headroom.min(limit.saturating_sub(self.ledger.used()))
    }

    pub(super) fn room_slots(&self) -> u32 {
        let held =
            u32::try_from(self.ledger.reservation_count()).unwrap_or(u32::MAX);
        let cold_limit = self.cold_limit.requests().saturating_sub(held);
        self.ledger.free_slots().min(cold_limit)
    }

    pub(super) fn summary(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
    ) -> EngineSummary {
        let backlog = self.backlog(now);
        let wait = self
            .cost
            .as_ref()
            .map_or(Duration::ZERO, |cost| cost.prefill_time(backlog));
        EngineSummary {
            engine: engine.clone(),
            headroom: self.headroom(now),
            free_slots: self.room_slots(),
            leaving: self.leaving,
            wait,
            takes_long: self.takes_long,
        }
    }

    pub(super) fn fits(&self, tokens: TokenCount) -> bool {
        let ledger = &self.ledger;
        ledger.fits(tokens)
            && self.cold_limit.allows(
                ledger.memory(),
                ledger.reservation_count(),
                ledger.used(),
                tokens,
            )
    }

    pub(super) fn set_busy(&mut self, now: Timestamp) {
        let started = |state| state == ReservationState::Started;
        let busy = self
            .ledger
            .reservations()
            .any(|(_, reservation)| started(reservation.state));
        self.cold_limit.set_busy(now, busy);
    }

    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        notice: &GrantNotice,
    ) {
        match &notice.event {
            GrantEvent::FirstChunk(after) => {
                let Some(forecast) = self.forecasts.get_mut(&notice.request)
                else {
                    return;
                };
                if forecast.first_at.replace(now).is_some() {
                    return;
                }
                self.cold_limit.first_part(forecast.first_part, *after);
                if let Some(cost) = &mut self.cost {
                    cost.observe_first_part(forecast.first_part, *after);
                }
            }
            GrantEvent::Finished(tokens) => {
                let Some(forecast) = self.forecasts.remove(&notice.request)
                else {
                    return;
                };
                let total = now.since(forecast.granted_at);
                self.set_busy(now);
                self.cold_limit.ended(forecast.total, total);
                if let (Some(cost), Some(first)) =
                    (&mut self.cost, forecast.first_at)
                {
                    cost.observe_finish(*tokens, now.since(first));
                }
            }
            GrantEvent::Failed => self.cold_limit.failed(),
            GrantEvent::Overcommitted => {
                self.cold_limit.failed();
                self.held_urgent = true;
            }
            _ => {}
        }
    }
}

/// Why an ask is not granted at once.
pub(super) enum GrantObstacle {
    /// It may be granted when something ends.
    NoRoomNow(Refusal),
    /// It is refused.
    Rejected(Refusal),
}

/// Whether an ask can be granted at once.
pub(super) fn check_grant(
    now: Timestamp,
    owned: &OwnedEngine,
    grant_request: &GrantRequest,
) -> Result<(), GrantObstacle> {
    let tokens = CostModel::memory(grant_request.prompt, grant_request.output);
    let cost = check_engine(now, owned, grant_request)
        .map_err(GrantObstacle::Rejected)?;
    if let Some(reservation) = owned.ledger.reservation(&grant_request.request)
    {
        let booked = reservation.state == ReservationState::Granted
            && tokens <= reservation.tokens;
        let again = reservation.sequence == grant_request.sequence;
        let newer = reservation.sequence < grant_request.sequence
            && owned.ledger.is_within_limits();
        return if booked && (again || newer) {
            Ok(())
        } else {
            let message = "engine may still hold an earlier attempt";
            Err(GrantObstacle::Rejected(engine_unavailable(
                message,
                RETRY_AFTER_MIN,
            )))
        };
    }
    let backlog = owned.backlog(now);
    let total =
        cost.total_time(backlog, grant_request.prompt, grant_request.output);
    if total > grant_request.time_left {
        let late = total.saturating_sub(grant_request.time_left);
        let refusal =
            no_capacity("engine would finish after the deadline", late);
        return Err(GrantObstacle::Rejected(refusal));
    }
    if !owned.fits(tokens) {
        let wait = cost.prefill_time(backlog);
        return Err(GrantObstacle::NoRoomNow(no_capacity(
            "engine has no room",
            wait,
        )));
    }
    Ok(())
}

/// Whether the engine can take such a request at all.
fn check_engine<'a>(
    now: Timestamp,
    owned: &'a OwnedEngine,
    grant_request: &GrantRequest,
) -> Result<&'a CostModel, Refusal> {
    let Some(cost) = &owned.cost else {
        return Err(engine_unavailable(
            "engine's capabilities are not known",
            RETRY_AFTER_MIN,
        ));
    };
    if !owned.accepts_work {
        return Err(engine_unavailable(
            "engine takes no new work",
            LOAD_INTERVAL,
        ));
    }
    if !owned.has_recent_load(now) {
        return Err(engine_unavailable(
            "engine's load is not known",
            LOAD_INTERVAL,
        ));
    }
    let tokens = CostModel::memory(grant_request.prompt, grant_request.output);
    let size = owned.ledger.full_memory_limit();
    if tokens > size {
        let message = format!(
            "request of {tokens} exceeds the {size} of engine {}",
            grant_request.engine,
        );
        return Err(Refusal::new(RefusalCode::PromptTooLarge, message));
    }
    if grant_request.prompt > LONG_PROMPT
        && !grant_request.grouped
        && !owned.takes_long
    {
        return Err(engine_unavailable(
            "engine takes no long prompts now",
            RETRY_AFTER_MIN,
        ));
    }
    Ok(cost)
}

/// Queues an ask that has no room yet, unless it would end too late.
pub(super) fn enqueue(
    now: Timestamp,
    owned: &mut OwnedEngine,
    from: InstanceId,
    response_id: u64,
    grant_request: GrantRequest,
) -> Result<(), Refusal> {
    let cost = owned.cost.as_ref().expect("judged asks have a cost model");
    let deadline = now.after(grant_request.time_left);
    let ahead = owned
        .queue
        .prompt_tokens_ahead(grant_request.class, deadline);
    let backlog = owned.backlog(now).saturating_add(ahead);
    let total =
        cost.total_time(backlog, grant_request.prompt, grant_request.output);
    if total > grant_request.time_left {
        let late = total.saturating_sub(grant_request.time_left);
        let message = "request would end after its deadline in the queue";
        return Err(no_capacity(message, late));
    }
    let service = cost.total_time(
        TokenCount::ZERO,
        grant_request.prompt,
        grant_request.output,
    );
    let slack = grant_request.time_left.saturating_sub(service);
    owned.queue.push(QueuedGrantRequest {
        from,
        response_id,
        grant_request,
        queued_at: now,
        deadline,
        latest_start: now.after(slack),
    })
}

fn no_capacity(message: &str, retry_after: Duration) -> Refusal {
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(retry_after.max(RETRY_AFTER_MIN))
}

/// Refusal for a reason that another moment or engine does not share.
fn engine_unavailable(message: &str, retry_after: Duration) -> Refusal {
    Refusal::new(RefusalCode::NoUpstream, message).with_retry_after(retry_after)
}

/// Books and describes a grant. An ask that was delivered twice is booked
/// once. The time that an ask was queued prolongs its validity, because that
/// counts from when the ask was sent.
pub(super) fn issue_grant(
    now: Timestamp,
    owned: &mut OwnedEngine,
    from: &InstanceId,
    grant_request: &GrantRequest,
    queued: Duration,
) -> Grant {
    let reserved =
        CostModel::memory(grant_request.prompt, grant_request.output);
    let backlog = owned.backlog(now);
    let cost = owned.cost.as_ref().expect("judged asks have a cost model");
    let first_part =
        cost.prefill_time(backlog.saturating_add(grant_request.prompt));
    let total =
        cost.total_time(backlog, grant_request.prompt, grant_request.output);
    owned
        .ledger
        .grant(now, from.clone(), grant_request, reserved);
    let forecast = Forecast {
        granted_at: now,
        first_part,
        total,
        first_at: None,
    };
    owned
        .forecasts
        .insert(grant_request.request.clone(), forecast);
    let incarnation = owned.ledger.incarnation();
    Grant {
        reserved,
        valid_for: GRANT_VALIDITY.saturating_add(queued),
        incarnation: incarnation.expect("judged asks fit, which needs one"),
        predicted: total,
        summary: owned.summary(now, &grant_request.engine),
    }
}
