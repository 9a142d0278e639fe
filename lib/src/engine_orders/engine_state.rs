//! The orders to one engine: lease, reading of its state, order under way.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{SEND_TIMEOUT, TAKEOVER_WAIT};
use crate::{
    engine_api::{CapabilityReport, EngineAction},
    ids::{ModelName, RequestId},
    units::{LogOffset, Timestamp},
};

/// Age up to which a reading of the state is acted on. Capabilities are read
/// every 10 s.
const READING_LIFETIME: Duration = Duration::from_secs(15);
/// Interval between two readings while an order is under way.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an order without an answer is settled by reading.
const ANSWER_LOST: Duration = SEND_TIMEOUT.saturating_add(SEND_TIMEOUT);
/// Time for an accepted order other than a load to show in the state.
const EFFECT_LIMIT: Duration = Duration::from_secs(10);
/// Time for a load, after which it is ordered again.
pub(super) const LOAD_LIMIT: Duration = Duration::from_secs(600);
/// Longest wait for running requests before a model is unloaded.
pub(super) const UNLOAD_WAIT_MAX: Duration = Duration::from_secs(60);

/// What an engine with a step and a lease does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Nothing yet.
    Wait,
    /// Read the engine's state.
    Read,
    /// Send the order.
    Send,
}

/// A model that waits for its running requests before it is unloaded.
#[derive(Clone, Debug)]
pub(super) struct PendingUnload {
    pub(super) model: ModelName,
    since: Timestamp,
    /// Requests from before the wait; none before the first account was seen.
    earlier: Option<BTreeSet<RequestId>>,
}

impl PendingUnload {
    /// Requests that came later are for other models, as the owner grants
    /// nothing for this one.
    pub(super) fn set_running_requests(
        &mut self,
        running: BTreeSet<RequestId>,
    ) {
        match &mut self.earlier {
            Some(earlier) => earlier.retain(|id| running.contains(id)),
            None => self.earlier = Some(running),
        }
    }

    fn is_over(&self, now: Timestamp) -> bool {
        let ended = self.earlier.as_ref().is_some_and(BTreeSet::is_empty);
        ended || now.since(self.since) >= UNLOAD_WAIT_MAX
    }
}

#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    action: EngineAction,
    at: Timestamp,
    answered_at: Option<Timestamp>,
    poll_at: Timestamp,
}

/// State of the orders to one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineOrderState {
    pub(super) claim_until: Option<Timestamp>,
    pub(super) claim_offset: Option<LogOffset>,
    pub(super) sent: Option<SentOrder>,
    pub(super) retry_at: Timestamp,
    pub(super) failures: u32,
    pub(super) pending_unload: Option<PendingUnload>,
    /// Token of the lease and when it may first be used.
    lease: Option<(LogOffset, Timestamp)>,
    read_in_progress: Option<Timestamp>,
    last_read_started: Option<Timestamp>,
}

impl EngineOrderState {
    pub(super) fn read_started(&mut self, now: Timestamp) {
        self.read_in_progress = Some(now);
    }

    /// Returns when the reading was begun.
    pub(super) fn read_ended(&mut self, answered: bool) -> Option<Timestamp> {
        let begun = self.read_in_progress.take()?;
        if answered {
            self.last_read_started = Some(begun);
        }
        Some(begun)
    }

    /// Has the state read again before the next order.
    pub(super) fn require_new_read(&mut self) {
        self.last_read_started = None;
    }

    /// What to do under a lease. The state that an order follows from was read
    /// after the earlier holder could change it.
    pub(super) fn next_step(
        &mut self,
        now: Timestamp,
        token: LogOffset,
        ignores_fencing: bool,
    ) -> NextStep {
        self.claim_until = None;
        self.claim_offset = None;
        if self.lease.is_none_or(|(known, _)| known != token) {
            let wait = if ignores_fencing {
                TAKEOVER_WAIT
            } else {
                Duration::ZERO
            };
            self.lease = Some((token, now.after(wait)));
            self.last_read_started = None;
        }
        let ready_at = self.lease.map_or(now, |(_, at)| at);
        if now < ready_at {
            return NextStep::Wait;
        }
        let usable = self.last_read_started.is_some_and(|from| {
            from >= ready_at && now.since(from) < READING_LIFETIME
        });
        if usable {
            NextStep::Send
        } else {
            NextStep::Read
        }
    }

    /// Waits for the running requests on a model; true once that is over.
    pub(super) fn await_unload(
        &mut self,
        now: Timestamp,
        model: &ModelName,
    ) -> bool {
        match &self.pending_unload {
            Some(pending_unload) if pending_unload.model == *model => {
                pending_unload.is_over(now)
            }
            _ => {
                self.pending_unload = Some(PendingUnload {
                    model: model.clone(),
                    since: now,
                    earlier: None,
                });
                false
            }
        }
    }

    pub(super) fn sent(&mut self, now: Timestamp, action: EngineAction) {
        self.sent = Some(SentOrder {
            action,
            at: now,
            answered_at: None,
            poll_at: now.after(ANSWER_LOST),
        });
    }

    pub(super) fn answered(&mut self, now: Timestamp) {
        if let Some(sent) = &mut self.sent {
            sent.answered_at = Some(now);
            sent.poll_at = now;
        }
    }

    pub(super) fn is_loading(&self) -> bool {
        let sent = self.sent.as_ref();
        sent.is_some_and(|sent| is_load(&sent.action))
    }

    /// Whether the state is to be read now to see the order's effect.
    pub(super) fn take_due_poll(&mut self, now: Timestamp) -> bool {
        let Some(sent) = &mut self.sent else {
            return false;
        };
        let due = now >= sent.poll_at;
        if due {
            sent.poll_at = now.after(POLL_INTERVAL);
        }
        due
    }

    /// Why the order under way counts as failed, if it does.
    pub(super) fn timeout_reason(&self, now: Timestamp) -> Option<Arc<str>> {
        let sent = self.sent.as_ref()?;
        let limit = if is_load(&sent.action) {
            LOAD_LIMIT
        } else {
            ANSWER_LOST.saturating_add(EFFECT_LIMIT)
        };
        let late = now.since(sent.at) >= limit;
        late.then(|| "the order took no effect in time".into())
    }

    /// Ends the order under way if the engine shows its effect.
    pub(super) fn settle(
        &mut self,
        report: &CapabilityReport,
    ) -> Option<EngineAction> {
        let sent = self.sent.as_ref()?;
        if !is_done(&sent.action, report) {
            return None;
        }
        self.failures = 0;
        self.pending_unload = None;
        self.sent.take().map(|sent| sent.action)
    }

    /// Whether a state that was read after the answer shows that the order
    /// had no effect and will have none.
    pub(super) fn has_no_effect(
        &self,
        begun: Timestamp,
        report: &CapabilityReport,
    ) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        let lost_at = sent.at.after(ANSWER_LOST);
        let settled_at = sent.answered_at.unwrap_or(lost_at);
        if begun < settled_at {
            return false;
        }
        match (&sent.action, &report.loading) {
            (EngineAction::LoadModel { model }, Some(loading)) => {
                !loading.contains(model)
            }
            (EngineAction::LoadModel { .. }, None) => false,
            _ => begun.since(settled_at) >= EFFECT_LIMIT,
        }
    }

    pub(super) fn failed(&mut self, retry_at: Timestamp) {
        self.sent = None;
        self.failures = self.failures.saturating_add(1);
        self.retry_at = retry_at;
    }
}

fn is_load(action: &EngineAction) -> bool {
    matches!(action, EngineAction::LoadModel { .. })
}

fn is_done(action: &EngineAction, report: &CapabilityReport) -> bool {
    match action {
        EngineAction::LoadModel { model } => report.models.contains(model),
        EngineAction::UnloadModel { model } => !report.models.contains(model),
        EngineAction::SetRole { role } => report.role.as_ref() == Some(role),
    }
}
