//! Requests that have been dispatched: progress, failures, renewal of
//! reservations, changes of ownership and drains.

use std::time::Duration;

use super::{
    EntryAction, EntryTable, InFlightRequest, Interruption,
    KEPT_RENEWAL_INTERVAL, Phase, RESUME_TIME, RESUMES_MAX,
    STARTED_RENEWAL_INTERVAL, notify,
};
use crate::{
    core::{AssignedEngine, RequestDecision, RequestProgress, StreamFailure},
    fleet::DrainMode,
    fleet_view::FleetView,
    ids::{RequestId, UpstreamId},
    peer_api::GrantEvent,
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    retry::{RetryRule, backoff, proves_not_run, retry_rule},
    units::{Timestamp, TokenCount},
};

/// A failed stream of a dispatched request.
#[derive(Clone, Copy)]
struct FailedAttempt<'a> {
    engine: &'a UpstreamId,
    failure: StreamFailure,
    /// Tokens that the caller has received.
    delivered: TokenCount,
}

impl EntryTable {
    /// Handles the progress of a request.
    pub(super) fn handle_progress(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        progress: RequestProgress,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(mut inflight) = self.remove(request) else {
            return;
        };
        update_owners(&mut inflight, view);
        match progress {
            RequestProgress::Sent(engine) => {
                record_sent(now, &mut inflight, &engine, actions);
                let due = inflight.timer_due;
                self.reinsert(inflight, due);
            }
            RequestProgress::FirstChunk => {
                record_first_chunk(now, &mut inflight, actions);
                let due = inflight.timer_due;
                self.reinsert(inflight, due);
            }
            RequestProgress::Finished(tokens) => {
                self.handle_finish(inflight, tokens, actions);
            }
            RequestProgress::CallerDisconnected => {
                self.release(&mut inflight, actions);
                self.limits
                    .release(&inflight.descriptor, &inflight.counted_limits);
            }
            RequestProgress::Failed {
                engine,
                failure,
                delivered,
            } => {
                inflight.delivered |= delivered > TokenCount::ZERO;
                let failed = FailedAttempt {
                    engine: &engine,
                    failure,
                    delivered,
                };
                self.handle_failure(now, inflight, failed, view, actions);
            }
        }
    }

    fn handle_finish(
        &mut self,
        mut inflight: InFlightRequest,
        tokens: TokenCount,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(allocation) = inflight.allocations.pop() {
            let request = &inflight.descriptor.request;
            actions.push(notify(
                request,
                &allocation,
                GrantEvent::Finished(tokens),
            ));
            self.candidates.ended(&allocation.engine);
        }
        self.release(&mut inflight, actions);
        self.limits
            .release(&inflight.descriptor, &inflight.counted_limits);
    }

    fn handle_failure(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        failed: FailedAttempt,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let FailedAttempt {
            engine, failure, ..
        } = failed;
        let current = inflight
            .allocations
            .iter()
            .any(|allocation| allocation.engine == *engine);
        if !matches!(inflight.phase, Phase::Dispatched) || !current {
            // The failed stream has already been replaced.
            let due = inflight.timer_due;
            return self.reinsert(inflight, due);
        }
        if inflight.delivered {
            inflight.run_state = RunState::Ran;
        } else if proves_not_run(failure) && inflight.allocations.len() == 1 {
            inflight.run_state = inflight.run_state_before_dispatch;
        }
        let rule = retry_rule(failure, inflight.delivered);
        if rule == RetryRule::Resume {
            return self.resume(now, inflight, failed, view, actions);
        }
        self.release_after_failure(&mut inflight, engine, failure, actions);
        let reason = match rule {
            RetryRule::Free(reason) => Some(reason),
            RetryRule::Budgeted(reason) => {
                self.retry_budget.try_spend(engine).then_some(reason)
            }
            RetryRule::Resume => None,
        };
        let refusal = upstream_failed(engine);
        match reason.filter(|_| Self::may_dispatch(&inflight)) {
            Some(reason) => {
                actions.push(EntryAction::CountRetry(reason));
                self.place_again(now, inflight, engine, view, actions);
            }
            None => self.end(inflight, refusal, actions),
        }
    }

    /// Notifies the owners of a failed request and releases its allocations.
    fn release_after_failure(
        &mut self,
        inflight: &mut InFlightRequest,
        engine: &UpstreamId,
        failure: StreamFailure,
        actions: &mut Vec<EntryAction>,
    ) {
        let at = inflight
            .allocations
            .iter()
            .position(|allocation| allocation.engine == *engine);
        if let Some(at) = at {
            let allocation = inflight.allocations.remove(at);
            let request = &inflight.descriptor.request;
            let event = match failure {
                StreamFailure::ConnectFailed
                | StreamFailure::AssignmentExpired => GrantEvent::Unused,
                StreamFailure::Overcommitted => GrantEvent::Overcommitted,
                _ => {
                    let engine = allocation.engine.clone();
                    let request = request.clone();
                    actions.push(EntryAction::CancelAtEngine(engine, request));
                    GrantEvent::Failed
                }
            };
            actions.push(notify(request, &allocation, event));
            self.candidates.ended(&allocation.engine);
        }
        self.release(inflight, actions);
    }

    /// Places a request again, without the engine that failed.
    fn place_again(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        failed: &UpstreamId,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        inflight.phase = Phase::BackingOff;
        inflight.tried_engines = vec![failed.clone()];
        inflight.remaining_candidates.clear();
        inflight.grouped = false;
        inflight.failure_is_temporary = true;
        self.place(now, inflight, view, actions);
    }

    fn resume(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        failed: FailedAttempt,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let engine = failed.engine;
        let allocation = inflight
            .allocations
            .iter()
            .find(|allocation| allocation.engine == *engine);
        let entry = view.upstreams.get(engine);
        let report = entry.and_then(|entry| entry.capability.as_deref());
        let incarnation =
            allocation.and_then(|allocation| allocation.incarnation);
        let same = match (incarnation, report) {
            (Some(granted), Some(report)) => granted == report.incarnation,
            _ => false,
        };
        let address = entry.map(|entry| entry.address);
        let (Some(address), true) = (address, same) else {
            return self.end(inflight, stream_interrupted(engine), actions);
        };
        let Some(pause) = self.reconnection_pause(now, &mut inflight, failed)
        else {
            return self.end(inflight, stream_interrupted(engine), actions);
        };
        let assigned = AssignedEngine {
            engine: engine.clone(),
            address,
            prompt: inflight.descriptor.prompt,
            incarnation,
        };
        let reason = RetryReason::AnswerCut;
        actions.push(EntryAction::CountRetry(reason));
        let request = inflight.descriptor.request.clone();
        let decision = RequestDecision::Resume {
            engine: assigned,
            pause,
        };
        actions.push(EntryAction::Decide(request, decision));
        inflight.renewal_due = now.after(STARTED_RENEWAL_INTERVAL);
        let due = inflight.renewal_due;
        self.reinsert(inflight, due);
    }

    /// Wait before a reconnection to a stream; `None` if none is made. The first
    /// one after an interruption is made at once and costs a retry. Further
    /// ones, while the engine is not reached, are limited in time.
    fn reconnection_pause(
        &mut self,
        now: Timestamp,
        inflight: &mut InFlightRequest,
        failed: FailedAttempt,
    ) -> Option<Duration> {
        let delivered = failed.delivered;
        let repeated = inflight.interruption.as_mut();
        let repeated = repeated.filter(|last| last.delivered == delivered);
        if let Some(interruption) = repeated {
            let refused = failed.failure == StreamFailure::EngineError;
            if refused || now.since(interruption.since) >= RESUME_TIME {
                return None;
            }
            interruption.attempts += 1;
            return Some(backoff(interruption.attempts, &mut self.rng));
        }
        if inflight.resumes >= RESUMES_MAX
            || !self.retry_budget.try_spend(failed.engine)
        {
            return None;
        }
        inflight.resumes += 1;
        inflight.interruption = Some(Interruption {
            since: now,
            delivered,
            attempts: 0,
        });
        Some(Duration::ZERO)
    }

    /// Renews the reservations of a dispatched request.
    pub(super) fn renew(
        &mut self,
        now: Timestamp,
        inflight: &mut InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        for allocation in inflight
            .allocations
            .iter()
            .filter(|allocation| allocation.sent_at.is_some())
        {
            let started = GrantEvent::Started;
            actions.push(notify(
                &inflight.descriptor.request,
                allocation,
                started,
            ));
        }
        let unsent = inflight
            .allocations
            .iter()
            .any(|allocation| allocation.sent_at.is_none());
        let interval = if inflight.allocations.len() > 1 && unsent {
            self.renew_kept(inflight, actions);
            KEPT_RENEWAL_INTERVAL
        } else {
            STARTED_RENEWAL_INTERVAL
        };
        inflight.renewal_due = now.after(interval);
    }

    /// Renews the reservations for segments that wait for earlier segments of
    /// the group.
    pub(super) fn renew_kept(
        &self,
        inflight: &InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        for allocation in inflight
            .allocations
            .iter()
            .filter(|allocation| allocation.sent_at.is_none())
        {
            actions.push(notify(
                &inflight.descriptor.request,
                allocation,
                GrantEvent::Kept,
            ));
        }
    }

    /// Notifies new owners at once of reservations that they did not grant.
    /// During its hold-down, a new owner grants only from a part of the memory.
    pub(super) fn notify_new_owners(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let moved: Vec<RequestId> = self
            .requests
            .values()
            .filter(|inflight| matches!(inflight.phase, Phase::Dispatched))
            .filter(|inflight| {
                inflight
                    .allocations
                    .iter()
                    .any(|allocation| has_new_owner(allocation, view))
            })
            .map(|inflight| inflight.descriptor.request.clone())
            .collect();
        for request in moved {
            let mut inflight =
                self.remove(&request).expect("requests were just listed");
            update_owners(&mut inflight, view);
            self.renew(now, &mut inflight, actions);
            let due = inflight.renewal_due;
            self.reinsert(inflight, due);
        }
    }

    /// Ends or moves the requests on engines that are being drained.
    pub(super) fn apply_drains(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let leaving = |inflight: &InFlightRequest| {
            matches!(inflight.phase, Phase::Dispatched)
                && inflight.allocations.iter().any(|allocation| {
                    !matches!(
                        view.drain_mode(&allocation.engine),
                        None | Some(DrainMode::Finish)
                    )
                })
        };
        let requests: Vec<RequestId> = self
            .requests
            .values()
            .filter(|inflight| leaving(inflight))
            .map(|inflight| inflight.descriptor.request.clone())
            .collect();
        for request in requests {
            let inflight =
                self.remove(&request).expect("requests were just listed");
            self.drain(now, inflight, view, actions);
        }
    }

    fn drain(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let mode = |allocation: &super::Allocation| {
            view.drain_mode(&allocation.engine)
        };
        let fail = inflight
            .allocations
            .iter()
            .any(|allocation| mode(allocation) == Some(DrainMode::Fail));
        let engine = inflight
            .allocations
            .iter()
            .find(|allocation| mode(allocation).is_some());
        let engine = engine.expect("a drained request has such an allocation");
        let engine = engine.engine.clone();
        let waiting = inflight
            .allocations
            .iter()
            .all(|allocation| allocation.sent_at.is_none());
        if fail && !waiting {
            let message = format!("engine {engine} was taken out of service");
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, message);
            return self.end(inflight, refusal, actions);
        }
        if inflight.delivered || !Self::may_dispatch(&inflight) {
            let due = inflight.timer_due;
            return self.reinsert(inflight, due);
        }
        let reason = RetryReason::UpstreamLeaving;
        actions.push(EntryAction::CountRetry(reason));
        self.release(&mut inflight, actions);
        self.place_again(now, inflight, &engine, view, actions);
    }
}

fn has_new_owner(allocation: &super::Allocation, view: &FleetView) -> bool {
    let owner = view.owners.get(&allocation.engine);
    owner.is_some_and(|owner| *owner != allocation.owner)
}

/// Sets the present owners as receivers of further notices.
pub(super) fn update_owners(inflight: &mut InFlightRequest, view: &FleetView) {
    for allocation in &mut inflight.allocations {
        if let Some(owner) = view.owners.get(&allocation.engine)
            && *owner != allocation.owner
        {
            allocation.owner = owner.clone();
        }
    }
}

fn record_sent(
    now: Timestamp,
    inflight: &mut InFlightRequest,
    engine: &UpstreamId,
    actions: &mut Vec<EntryAction>,
) {
    let request = inflight.descriptor.request.clone();
    let allocation = inflight
        .allocations
        .iter_mut()
        .find(|allocation| allocation.engine == *engine);
    if let Some(allocation) = allocation {
        allocation.sent_at.get_or_insert(now);
        actions.push(notify(&request, allocation, GrantEvent::Started));
    }
}

fn record_first_chunk(
    now: Timestamp,
    inflight: &mut InFlightRequest,
    actions: &mut Vec<EntryAction>,
) {
    if !matches!(inflight.phase, Phase::Dispatched) {
        return;
    }
    inflight.delivered = true;
    inflight.run_state = RunState::Ran;
    if let Some(allocation) = inflight.allocations.last() {
        let after = now.since(allocation.sent_at.unwrap_or(now));
        let event = GrantEvent::FirstChunk(after);
        actions.push(notify(&inflight.descriptor.request, allocation, event));
    }
}

fn upstream_failed(engine: &UpstreamId) -> Refusal {
    let message = format!("engine {engine} failed and no retry was possible");
    Refusal::new(RefusalCode::UpstreamFailed, message)
        .with_retry_after(std::time::Duration::from_secs(1))
}

fn stream_interrupted(engine: &UpstreamId) -> Refusal {
    let message = format!("the completion of engine {engine} was interrupted");
    Refusal::new(RefusalCode::AnswerTruncated, message)
}
