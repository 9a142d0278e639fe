//! One owned engine: account, cold limit, cost model and takeover.

use std::{collections::BTreeMap, time::Duration};

use super::{HOLD_DOWN, LOAD_INTERVAL, LONG_PROMPT, RETRY_MIN, TakeoverState};
use crate::{
    cold_start::ColdLimit,
    cost::{CostModel, REPORT_MAX_AGE},
    engine_api::CapabilityReport,
    ids::{InstanceId, RequestId, UpstreamId},
    ledger::{EngineLedger, GRANT_VALID, HoldState},
    peer_api::{EngineSummary, Grant, GrantAsk, GrantEvent, GrantNotice},
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
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
    pub(super) cold: ColdLimit,
    pub(super) cost: Option<CostModel>,
    pub(super) state: TakeoverState,
    pub(super) hold_down_until: Timestamp,
    pub(super) measured_at: Option<Timestamp>,
    pub(super) load_due: Timestamp,
    pub(super) load_asked: Option<Timestamp>,
    pub(super) held_due: Timestamp,
    pub(super) held_asked: Option<Timestamp>,
    pub(super) held_urgent: bool,
    pub(super) accepted: bool,
    pub(super) takes_long: bool,
    pub(super) forecasts: BTreeMap<RequestId, Forecast>,
}

impl OwnerRow {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            ledger: EngineLedger::new(),
            cold: ColdLimit::new(),
            cost: None,
            state: TakeoverState::Waiting,
            hold_down_until: now.after(HOLD_DOWN),
            measured_at: None,
            load_due: now,
            load_asked: None,
            held_due: now.after(HOLD_DOWN),
            held_asked: None,
            held_urgent: false,
            accepted: true,
            takes_long: true,
            forecasts: BTreeMap::new(),
        }
    }

    pub(super) fn take_capability(&mut self, report: &CapabilityReport) {
        self.ledger.set_size(report.memory, report.slots);
        if self.ledger.set_incarnation(report.incarnation) {
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
        self.hold_down_until = now.after(HOLD_DOWN);
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
        if self.ledger.holds().next().is_none() {
            return headroom;
        }
        let limit = self.cold.tokens(self.ledger.memory());
        headroom.min(limit.saturating_sub(self.ledger.used()))
    }

    pub(super) fn room_slots(&self) -> u32 {
        let held = u32::try_from(self.ledger.held()).unwrap_or(u32::MAX);
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
            wait,
            takes_long: self.takes_long,
        }
    }

    pub(super) fn fits(&self, tokens: TokenCount) -> bool {
        let ledger = &self.ledger;
        ledger.fits(tokens)
            && self.cold.allows(
                ledger.memory(),
                ledger.held(),
                ledger.used(),
                tokens,
            )
    }

    pub(super) fn set_busy(&mut self, now: Timestamp) {
        let started = |state| state == HoldState::Started;
        let busy = self.ledger.holds().any(|(_, hold)| started(hold.state));
        self.cold.set_busy(now, busy);
    }

    pub(super) fn learn(&mut self, now: Timestamp, notice: &GrantNotice) {
        match &notice.event {
            GrantEvent::FirstPart(after) => {
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

/// Whether an ask can be granted at once.
pub(super) fn judge(
    now: Timestamp,
    row: &OwnerRow,
    ask: &GrantAsk,
) -> Result<(), Refusal> {
    let tokens = CostModel::memory(ask.prompt, ask.output);
    let Some(cost) = &row.cost else {
        return Err(unusable("engine's capabilities are not known", RETRY_MIN));
    };
    if !row.accepted {
        return Err(unusable("engine takes no new work", LOAD_INTERVAL));
    }
    if !row.measured(now) {
        return Err(unusable("engine's load is not known", LOAD_INTERVAL));
    }
    if tokens > row.ledger.full_size() {
        let message = format!(
            "request of {tokens} exceeds the {} of engine {}",
            row.ledger.full_size(),
            ask.engine,
        );
        return Err(Refusal::new(RefusalCode::PromptTooLarge, message));
    }
    if ask.prompt > LONG_PROMPT && !ask.grouped && !row.takes_long {
        return Err(refuse("engine takes no long prompts now", RETRY_MIN));
    }
    let backlog = row.backlog(now);
    let total = cost.total_time(backlog, ask.prompt, ask.output);
    if total > ask.time_left {
        let late = total.saturating_sub(ask.time_left);
        return Err(refuse("engine would finish after the deadline", late));
    }
    if let Some(hold) = row.ledger.hold(&ask.request) {
        let booked = hold.state == HoldState::Granted && tokens <= hold.tokens;
        return if booked && hold.ask <= ask.ask {
            Ok(())
        } else {
            Err(refuse(
                "engine may still hold an earlier attempt",
                RETRY_MIN,
            ))
        };
    }
    if !row.fits(tokens) {
        let wait = cost.prefill_time(backlog);
        return Err(refuse("engine has no room", wait));
    }
    Ok(())
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
/// once.
pub(super) fn give(
    now: Timestamp,
    row: &mut OwnerRow,
    from: &InstanceId,
    ask: &GrantAsk,
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
        valid_for: GRANT_VALID,
        incarnation: incarnation.expect("judged asks fit, which needs one"),
        predicted: total,
        summary: row.summary(now, &ask.engine),
    }
}
