//! State of one owned engine, and the decision on its grant requests.

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

/// Predictions for a granted request, compared later with its progress.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    granted_at: Timestamp,
    time_to_first_chunk: Duration,
    total_time: Duration,
    first_chunk_at: Option<Timestamp>,
}

/// State of one owned engine.
#[derive(Debug)]
pub(super) struct OwnedEngine {
    pub(super) ledger: EngineLedger,
    pub(super) cold_limit: ColdStartLimit,
    /// Prefill rate that the engine states, reached when it is warm.
    pub(super) warm_rate: TokenRate,
    /// `None` until the engine's capabilities are known.
    pub(super) cost: Option<CostModel>,
    pub(super) takeover_state: TakeoverState,
    pub(super) hold_down_until: Timestamp,
    /// When the ledger is requested from the former owner.
    pub(super) handover_request_due: Timestamp,
    /// When the engine measured its latest reported load.
    pub(super) load_measured_at: Option<Timestamp>,
    pub(super) load_read_due: Timestamp,
    /// When the load read in flight was started; `None` if there is none.
    pub(super) load_requested_at: Option<Timestamp>,
    pub(super) held_read_due: Timestamp,
    /// When the list read in flight was started; `None` if there is none.
    pub(super) held_requested_at: Option<Timestamp>,
    /// Whether the list is to be read before the regular interval.
    pub(super) held_read_urgent: bool,
    /// Whether the configuration lets the engine accept new requests.
    pub(super) accepts_work: bool,
    /// Whether the engine is being removed from the fleet.
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
            takeover_state: TakeoverState::HoldDown,
            hold_down_until: now.after(hold_down),
            handover_request_due: now,
            load_measured_at: None,
            load_read_due: now,
            load_requested_at: None,
            held_read_due: now.after(hold_down),
            held_requested_at: None,
            held_read_urgent: false,
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

    /// Restarts the takeover, because another instance may own the engine until
    /// this one has recent evidence again. The ledger is kept.
    pub(super) fn suspend(&mut self, now: Timestamp) {
        self.takeover_state = TakeoverState::HoldDown;
        self.ledger.set_complete(false);
        self.hold_down_until = now.after(HOLD_DOWN_SHARED);
        self.handover_request_due = now;
    }

    pub(super) fn has_recent_load(&self, now: Timestamp) -> bool {
        self.load_measured_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE)
    }

    pub(super) fn backlog(&self, now: Timestamp) -> TokenCount {
        let reserved_backlog = self.ledger.prefill_backlog();
        let cost = self.cost.as_ref();
        cost.map_or(reserved_backlog, |cost| {
            cost.backlog(now, reserved_backlog)
        })
    }

    /// Memory that can be granted now, under the ledger and the cold-start
    /// limit. Zero without a recent load report or a free slot.
    pub(super) fn headroom(&self, now: Timestamp) -> TokenCount {
        if !self.has_recent_load(now) || self.available_slots() == 0 {
            return TokenCount::ZERO;
        }
        let headroom = self.ledger.headroom();
        if self.ledger.reservations().next().is_none() {
            return headroom;
        }
        let limit = self.cold_limit.tokens(self.ledger.memory());
        headroom.min(limit.saturating_sub(self.ledger.used()))
    }

    pub(super) fn available_slots(&self) -> u32 {
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
            free_slots: self.available_slots(),
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

    pub(super) fn update_busy(&mut self, now: Timestamp) {
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
                if forecast.first_chunk_at.replace(now).is_some() {
                    return;
                }
                self.cold_limit
                    .record_first_chunk(forecast.time_to_first_chunk, *after);
                if let Some(cost) = &mut self.cost {
                    cost.observe_first_chunk(
                        forecast.time_to_first_chunk,
                        *after,
                    );
                }
            }
            GrantEvent::Finished(tokens) => {
                let Some(forecast) = self.forecasts.remove(&notice.request)
                else {
                    return;
                };
                let total_time = now.since(forecast.granted_at);
                self.update_busy(now);
                self.cold_limit
                    .record_completion(forecast.total_time, total_time);
                if let (Some(cost), Some(first)) =
                    (&mut self.cost, forecast.first_chunk_at)
                {
                    cost.observe_finish(*tokens, now.since(first));
                }
            }
            GrantEvent::Failed => self.cold_limit.record_error(),
            GrantEvent::Overcommitted => {
                self.cold_limit.record_error();
                self.held_read_urgent = true;
            }
            _ => {}
        }
    }
}

/// Why a grant request cannot be granted at once.
pub(super) enum GrantObstacle {
    /// The engine is full; the request may be granted when another one ends.
    NoRoomNow(Refusal),
    /// The request is refused without queueing.
    Rejected(Refusal),
}

/// Checks whether a grant request can be granted at once.
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
        let covered_by_grant = reservation.state == ReservationState::Granted
            && tokens <= reservation.tokens;
        let repeated = reservation.sequence == grant_request.sequence;
        let newer_attempt = reservation.sequence < grant_request.sequence
            && owned.ledger.is_within_limits();
        return if covered_by_grant && (repeated || newer_attempt) {
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
    let total_time =
        cost.total_time(backlog, grant_request.prompt, grant_request.output);
    if total_time > grant_request.time_left {
        let overrun = total_time.saturating_sub(grant_request.time_left);
        let refusal =
            no_capacity("engine would finish after the deadline", overrun);
        return Err(GrantObstacle::Rejected(refusal));
    }
    if !owned.fits(tokens) {
        let wait = cost.prefill_time(backlog);
        return Err(GrantObstacle::NoRoomNow(no_capacity(
            "engine has no free memory or slot",
            wait,
        )));
    }
    Ok(())
}

/// Checks whether the engine can run such a request at all.
fn check_engine<'a>(
    now: Timestamp,
    owned: &'a OwnedEngine,
    grant_request: &GrantRequest,
) -> Result<&'a CostModel, Refusal> {
    let Some(cost) = &owned.cost else {
        return Err(engine_unavailable(
            "engine's capabilities are unknown",
            RETRY_AFTER_MIN,
        ));
    };
    if !owned.accepts_work {
        return Err(engine_unavailable(
            "engine accepts no new work",
            LOAD_INTERVAL,
        ));
    }
    if !owned.has_recent_load(now) {
        return Err(engine_unavailable(
            "engine's load is unknown",
            LOAD_INTERVAL,
        ));
    }
    let tokens = CostModel::memory(grant_request.prompt, grant_request.output);
    let size = owned.ledger.full_memory_limit();
    if tokens > size {
        let message = format!(
            "request of {tokens} exceeds the limit of {size} on engine {}",
            grant_request.engine,
        );
        return Err(Refusal::new(RefusalCode::PromptTooLarge, message));
    }
    if grant_request.prompt > LONG_PROMPT
        && !grant_request.grouped
        && !owned.takes_long
    {
        return Err(engine_unavailable(
            "engine does not take long prompts",
            RETRY_AFTER_MIN,
        ));
    }
    Ok(cost)
}

/// Queues a grant request that does not fit now, unless it is predicted to miss
/// its deadline.
pub(super) fn enqueue(
    now: Timestamp,
    owned: &mut OwnedEngine,
    from: InstanceId,
    response_id: u64,
    grant_request: GrantRequest,
) -> Result<(), Refusal> {
    let cost = owned
        .cost
        .as_ref()
        .expect("checked requests have a cost model");
    let deadline = now.after(grant_request.time_left);
    let ahead = owned
        .queue
        .prompt_tokens_ahead(grant_request.class, deadline);
    let backlog = owned.backlog(now).saturating_add(ahead);
    let total_time =
        cost.total_time(backlog, grant_request.prompt, grant_request.output);
    if total_time > grant_request.time_left {
        let overrun = total_time.saturating_sub(grant_request.time_left);
        let message = "request would end after its deadline in the queue";
        return Err(no_capacity(message, overrun));
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

/// Refusal for a temporary reason that concerns only this engine.
fn engine_unavailable(message: &str, retry_after: Duration) -> Refusal {
    Refusal::new(RefusalCode::NoUpstream, message).with_retry_after(retry_after)
}

/// Reserves the memory and returns the grant. A grant request that was
/// delivered twice is reserved once. The time in the queue is added to the
/// validity, because the entry instance counts it from the sending of the
/// request.
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
    let cost = owned
        .cost
        .as_ref()
        .expect("checked requests have a cost model");
    let time_to_first_chunk =
        cost.prefill_time(backlog.saturating_add(grant_request.prompt));
    let total_time =
        cost.total_time(backlog, grant_request.prompt, grant_request.output);
    owned
        .ledger
        .grant(now, from.clone(), grant_request, reserved);
    let forecast = Forecast {
        granted_at: now,
        time_to_first_chunk,
        total_time,
        first_chunk_at: None,
    };
    owned
        .forecasts
        .insert(grant_request.request.clone(), forecast);
    let incarnation = owned.ledger.incarnation();
    Grant {
        reserved,
        valid_for: GRANT_VALIDITY.saturating_add(queued),
        incarnation: incarnation
            .expect("a request fits only if the incarnation is known"),
        predicted: total_time,
        summary: owned.summary(now, &grant_request.engine),
    }
}
