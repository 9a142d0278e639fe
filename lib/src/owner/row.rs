//! One owned engine: account, cold limit, cost model and takeover.

use std::{collections::BTreeMap, time::Duration};

use super::{
    HOLD_DOWN_SHARED, LOAD_INTERVAL, LONG_PROMPT, RETRY_MIN, TakeoverState,
};
use crate::{
    admission::{AdmissionQueue, QueuedAsk},
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
pub(super) struct OwnerRow {
    pub(super) ledger: EngineLedger,
    pub(super) cold: ColdStartLimit,
    /// Prefill rate of the engine when warm.
    pub(super) warm_rate: TokenRate,
    pub(super) cost: Option<CostModel>,
    pub(super) state: TakeoverState,
    pub(super) hold_down_until: Timestamp,
    /// When the former owner is asked for the account.
    pub(super) take_due: Timestamp,
    pub(super) measured_at: Option<Timestamp>,
    pub(super) load_due: Timestamp,
    pub(super) load_asked: Option<Timestamp>,
    pub(super) held_due: Timestamp,
    pub(super) held_asked: Option<Timestamp>,
    pub(super) held_urgent: bool,
    pub(super) accepted: bool,
    /// Whether the engine is leaving.
    pub(super) leaving: bool,
    pub(super) takes_long: bool,
    pub(super) queue: AdmissionQueue,
    pub(super) forecasts: BTreeMap<RequestId, Forecast>,
}

impl OwnerRow {
    pub(super) fn new(now: Timestamp, hold_down: Duration) -> Self {
        Self {
            ledger: EngineLedger::new(),
            cold: ColdStartLimit::new(),
            warm_rate: TokenRate::ZERO,
            cost: None,
            state: TakeoverState::Waiting,
            hold_down_until: now.after(hold_down),
            take_due: now,
            measured_at: None,
            load_due: now,
            load_asked: None,
            held_due: now.after(hold_down),
            held_asked: None,
            held_urgent: false,
            accepted: true,
            leaving: false,
            takes_long: false,
            queue: AdmissionQueue::new(),
            forecasts: BTreeMap::new(),
        }
    }

    pub(super) fn take_capability(
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
        self.cold.reset();
        self.forecasts.clear();
        self.cost = None;
        self.measured_at = None;
    }

    /// Starts the takeover anew: another instance may own the engine until the
    /// evidence is fresh again. What is known of the engine is kept.
    pub(super) fn suspend(&mut self, now: Timestamp) {
        self.state = TakeoverState::Waiting;
        self.ledger.set_complete(false);
        self.hold_down_until = now.after(HOLD_DOWN_SHARED);
        self.take_due = now;
    }

    pub(super) fn measured(&self, now: Timestamp) -> bool {
        self.measured_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE)
    }

    pub(super) fn backlog(&self, now: Timestamp) -> TokenCount {
        let own = self.ledger.prefill_backlog();
        let cost = self.cost.as_ref();
        cost.map_or(own, |cost| cost.backlog(now, own))
    }

    /// Memory that a grant may take now, by the account and the cold limit.
    pub(super) fn headroom(&self, now: Timestamp) -> TokenCount {
        if !self.measured(now) || self.room_slots() == 0 {
            return TokenCount::ZERO;
        }
        let headroom = self.ledger.headroom();
        if self.ledger.reservations().next().is_none() {
            return headroom;
        }
        let limit = self.cold.tokens(self.ledger.memory());
        headroom.min(limit.saturating_sub(self.ledger.used()))
    }

    pub(super) fn room_slots(&self) -> u32 {
        let held =
            u32::try_from(self.ledger.reservation_count()).unwrap_or(u32::MAX);
        let cold = self.cold.requests().saturating_sub(held);
        self.ledger.free_slots().min(cold)
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
            && self.cold.allows(
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
        self.cold.set_busy(now, busy);
    }

    pub(super) fn learn(&mut self, now: Timestamp, notice: &GrantNotice) {
        match &notice.event {
            GrantEvent::FirstChunk(after) => {
                let Some(forecast) = self.forecasts.get_mut(&notice.request)
                else {
                    return;
                };
                if forecast.first_at.replace(now).is_some() {
                    return;
                }
                self.cold.first_part(forecast.first_part, *after);
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
                self.cold.ended(forecast.total, total);
                if let (Some(cost), Some(first)) =
                    (&mut self.cost, forecast.first_at)
                {
                    cost.observe_finish(*tokens, now.since(first));
                }
            }
            GrantEvent::Failed => self.cold.failed(),
            GrantEvent::Overcommitted => {
                self.cold.failed();
                self.held_urgent = true;
            }
            _ => {}
        }
    }
}

/// Why an ask is not granted at once.
pub(super) enum Obstacle {
    /// It may be granted when something ends.
    Full(Refusal),
    /// It is refused.
    Never(Refusal),
}

/// Whether an ask can be granted at once.
pub(super) fn judge(
    now: Timestamp,
    row: &OwnerRow,
    ask: &GrantRequest,
) -> Result<(), Obstacle> {
    let tokens = CostModel::memory(ask.prompt, ask.output);
    let cost = check_engine(now, row, ask).map_err(Obstacle::Never)?;
    if let Some(reservation) = row.ledger.reservation(&ask.request) {
        let booked = reservation.state == ReservationState::Granted
            && tokens <= reservation.tokens;
        let again = reservation.ask == ask.sequence;
        let newer = reservation.ask < ask.sequence && row.ledger.is_within();
        return if booked && (again || newer) {
            Ok(())
        } else {
            let message = "engine may still hold an earlier attempt";
            Err(Obstacle::Never(unusable(message, RETRY_MIN)))
        };
    }
    let backlog = row.backlog(now);
    let total = cost.total_time(backlog, ask.prompt, ask.output);
    if total > ask.time_left {
        let late = total.saturating_sub(ask.time_left);
        let refusal = refuse("engine would finish after the deadline", late);
        return Err(Obstacle::Never(refusal));
    }
    if !row.fits(tokens) {
        let wait = cost.prefill_time(backlog);
        return Err(Obstacle::Full(refuse("engine has no room", wait)));
    }
    Ok(())
}

/// Whether the engine can take such a request at all.
fn check_engine<'a>(
    now: Timestamp,
    row: &'a OwnerRow,
    ask: &GrantRequest,
) -> Result<&'a CostModel, Refusal> {
    let Some(cost) = &row.cost else {
        return Err(unusable("engine's capabilities are not known", RETRY_MIN));
    };
    if !row.accepted {
        return Err(unusable("engine takes no new work", LOAD_INTERVAL));
    }
    if !row.measured(now) {
        return Err(unusable("engine's load is not known", LOAD_INTERVAL));
    }
    let tokens = CostModel::memory(ask.prompt, ask.output);
    let size = row.ledger.full_size();
    if tokens > size {
        let message = format!(
            "request of {tokens} exceeds the {size} of engine {}",
            ask.engine,
        );
        return Err(Refusal::new(RefusalCode::PromptTooLarge, message));
    }
    if ask.prompt > LONG_PROMPT && !ask.grouped && !row.takes_long {
        return Err(unusable("engine takes no long prompts now", RETRY_MIN));
    }
    Ok(cost)
}

/// Queues an ask that has no room yet, unless it would end too late.
pub(super) fn enqueue(
    now: Timestamp,
    row: &mut OwnerRow,
    from: InstanceId,
    reply: u64,
    ask: GrantRequest,
) -> Result<(), Refusal> {
    let cost = row.cost.as_ref().expect("judged asks have a cost model");
    let deadline = now.after(ask.time_left);
    let ahead = row.queue.ahead(ask.class, deadline);
    let backlog = row.backlog(now).saturating_add(ahead);
    let total = cost.total_time(backlog, ask.prompt, ask.output);
    if total > ask.time_left {
        let late = total.saturating_sub(ask.time_left);
        let message = "request would end after its deadline in the queue";
        return Err(refuse(message, late));
    }
    let service = cost.total_time(TokenCount::ZERO, ask.prompt, ask.output);
    let slack = ask.time_left.saturating_sub(service);
    row.queue.push(QueuedAsk {
        from,
        reply,
        ask,
        queued_at: now,
        deadline,
        latest_start: now.after(slack),
    })
}

fn refuse(message: &str, retry_after: Duration) -> Refusal {
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(retry_after.max(RETRY_MIN))
}

/// Refusal for a reason that another moment or engine does not share.
fn unusable(message: &str, retry_after: Duration) -> Refusal {
    Refusal::new(RefusalCode::NoUpstream, message).with_retry_after(retry_after)
}

/// Books and describes a grant. An ask that was delivered twice is booked
/// once. The time that an ask was queued prolongs its validity, because that
/// counts from when the ask was sent.
pub(super) fn give(
    now: Timestamp,
    row: &mut OwnerRow,
    from: &InstanceId,
    ask: &GrantRequest,
    queued: Duration,
) -> Grant {
    let reserved = CostModel::memory(ask.prompt, ask.output);
    let backlog = row.backlog(now);
    let cost = row.cost.as_ref().expect("judged asks have a cost model");
    let first_part = cost.prefill_time(backlog.saturating_add(ask.prompt));
    let total = cost.total_time(backlog, ask.prompt, ask.output);
    row.ledger.grant(now, from.clone(), ask, reserved);
    let forecast = Forecast {
        granted_at: now,
        first_part,
        total,
        first_at: None,
    };
    row.forecasts.insert(ask.request.clone(), forecast);
    let incarnation = row.ledger.incarnation();
    Grant {
        reserved,
        valid_for: GRANT_VALIDITY.saturating_add(queued),
        incarnation: incarnation.expect("judged asks fit, which needs one"),
        predicted: total,
        summary: row.summary(now, &ask.engine),
    }
}
