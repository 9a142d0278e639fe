//! State of the orders to one engine: its lease, the reads of its
//! capabilities, and the order in flight.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{SEND_TIMEOUT, TAKEOVER_WAIT};
use crate::{
    engine_api::{CapabilityReport, EngineAction},
    ids::{ModelName, RequestId},
    units::{LogOffset, Timestamp},
};

/// Age up to which a capability report is acted on. Capabilities are read
/// every 10 s.
const REPORT_LIFETIME: Duration = Duration::from_secs(15);
/// Interval between two reads while an order is in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the effect of an order without a response is decided by
/// reading the engine's state.
const RESPONSE_TIMEOUT: Duration = SEND_TIMEOUT.saturating_add(SEND_TIMEOUT);
/// Time in which an accepted order other than a load must show in the
/// engine's state.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a load, after which it counts as failed and is ordered again.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest wait for running requests before a model is unloaded anyway.
pub(super) const UNLOAD_WAIT_MAX: Duration = Duration::from_secs(60);

/// Next step for an engine whose plan has an action and whose lease is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Wait until a former holder can no longer change the engine.
    Wait,
    /// Read the engine's capabilities.
    Read,
    /// Send the order.
    Send,
}

/// A model that is to be unloaded once its running requests have ended.
#[derive(Clone, Debug)]
pub(super) struct PendingUnload {
    pub(super) model: ModelName,
    since: Timestamp,
    /// Requests that ran when the wait began and still run. `None` until
    /// [`Self::set_running_requests`] is called.
    earlier: Option<BTreeSet<RequestId>>,
}

impl PendingUnload {
    /// Updates the running requests. Requests that started later are ignored:
    /// they are for other models, as the owner issues no grants for this one.
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

/// The order in flight.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    action: EngineAction,
    at: Timestamp,
    /// When the response arrived; `None` until then.
    answered_at: Option<Timestamp>,
    /// When the engine's state is read next to see the effect.
    poll_at: Timestamp,
}

/// State of the orders to one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineOrderState {
    /// When a claim that was appended counts as lost.
    pub(super) claim_until: Option<Timestamp>,
    /// Offset of that claim, once the append got a response.
    pub(super) claim_offset: Option<LogOffset>,
    pub(super) sent: Option<SentOrder>,
    pub(super) retry_at: Timestamp,
    pub(super) failures: u32,
    pub(super) pending_unload: Option<PendingUnload>,
    /// Fencing token of the held lease, and when it may first be used.
    lease: Option<(LogOffset, Timestamp)>,
    read_in_progress: Option<Timestamp>,
    last_read_started: Option<Timestamp>,
}

impl EngineOrderState {
    pub(super) fn read_started(&mut self, now: Timestamp) {
        self.read_in_progress = Some(now);
    }

    /// Returns when the read started; `None` if none is in progress.
    pub(super) fn read_ended(&mut self, succeeded: bool) -> Option<Timestamp> {
        let begun = self.read_in_progress.take()?;
        if succeeded {
            self.last_read_started = Some(begun);
        }
        Some(begun)
    }

    /// Requires another read before the next order.
    pub(super) fn require_new_read(&mut self) {
        self.last_read_started = None;
    }

    /// Next step under the lease with a token. An order is sent only on a
    /// report that was read after a former holder could last change the
    /// engine, and within [`REPORT_LIFETIME`].
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
            from >= ready_at && now.since(from) < REPORT_LIFETIME
        });
        if usable {
            NextStep::Send
        } else {
            NextStep::Read
        }
    }

    /// Starts or continues the wait for the running requests of a model. True
    /// once they have ended or [`UNLOAD_WAIT_MAX`] has passed.
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
            poll_at: now.after(RESPONSE_TIMEOUT),
        });
    }

    pub(super) fn record_response(&mut self, now: Timestamp) {
        if let Some(sent) = &mut self.sent {
            sent.answered_at = Some(now);
            sent.poll_at = now;
        }
    }

    pub(super) fn is_loading(&self) -> bool {
        let sent = self.sent.as_ref();
        sent.is_some_and(|sent| is_load(&sent.action))
    }

    /// Whether a read is due that shows the effect of the order in flight. If
    /// so, schedules the next one.
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

    /// Why the order in flight has timed out, if it has.
    pub(super) fn timeout_reason(&self, now: Timestamp) -> Option<Arc<str>> {
        let sent = self.sent.as_ref()?;
        let limit = if is_load(&sent.action) {
            LOAD_TIMEOUT
        } else {
            RESPONSE_TIMEOUT.saturating_add(EFFECT_TIMEOUT)
        };
        let late = now.since(sent.at) >= limit;
        late.then(|| "the order had no effect in time".into())
    }

    /// Completes the order in flight and returns it, if the report shows its
    /// effect.
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

    /// Whether a report shows that the order in flight had no effect and will
    /// have none. Only a report counts whose read started after the response to
    /// the order, or [`RESPONSE_TIMEOUT`] after an order without response.
    pub(super) fn has_no_effect(
        &self,
        begun: Timestamp,
        report: &CapabilityReport,
    ) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        let lost_at = sent.at.after(RESPONSE_TIMEOUT);
        let settled_at = sent.answered_at.unwrap_or(lost_at);
        if begun < settled_at {
            return false;
        }
        match (&sent.action, &report.loading) {
            (EngineAction::LoadModel { model }, Some(loading)) => {
                !loading.contains(model)
            }
            (EngineAction::LoadModel { .. }, None) => false,
            _ => begun.since(settled_at) >= EFFECT_TIMEOUT,
        }
    }

    pub(super) fn record_failure(&mut self, retry_at: Timestamp) {
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
