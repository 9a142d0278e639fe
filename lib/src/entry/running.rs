//! Requests that were sent: progress, failures, renewals and drains.

use super::{
    EntryAction, EntryRow, EntryTable, KEPT_INTERVAL, Phase, RESUMES_MAX,
    STARTED_INTERVAL, notify,
};
use crate::{
    core::{AssignedEngine, RequestDecision, RequestProgress, StreamFailure},
    fleet::DrainMode,
    fleet_view::FleetView,
    ids::{RequestId, UpstreamId},
    peer_api::GrantEvent,
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    retry::{RetryRule, proves_not_run, retry_rule},
    units::{Timestamp, TokenCount},
};

impl EntryTable {
    /// Takes the progress of a request in.
    pub(super) fn progress(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        progress: RequestProgress,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(mut row) = self.take(request) else {
            return;
        };
        follow_owners(&mut row, view);
        match progress {
            RequestProgress::Sent(engine) => {
                sent(now, &mut row, &engine, actions);
                let due = row.due;
                self.keep(row, due);
            }
            RequestProgress::FirstPart => {
                first_part(now, &mut row, actions);
                let due = row.due;
                self.keep(row, due);
            }
            RequestProgress::Finished(tokens) => {
                self.finished(row, tokens, actions);
            }
            RequestProgress::CallerDisconnected => {
                self.release(&mut row, actions);
                self.limits.ended(&row.descriptor, &row.limits);
            }
            RequestProgress::Failed {
                engine,
                failure,
                delivered,
            } => {
                row.delivered |= delivered > TokenCount::ZERO;
                self.failed(now, row, &engine, failure, view, actions);
            }
        }
    }

    fn finished(
        &mut self,
        mut row: EntryRow,
        tokens: TokenCount,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(leg) = row.legs.pop() {
            let request = &row.descriptor.request;
            actions.push(notify(request, &leg, GrantEvent::Finished(tokens)));
            self.candidates.ended(&leg.engine);
        }
        self.release(&mut row, actions);
        self.limits.ended(&row.descriptor, &row.limits);
    }

    fn failed(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        engine: &UpstreamId,
        failure: StreamFailure,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let current = row.legs.iter().any(|leg| leg.engine == *engine);
        if !matches!(row.phase, Phase::Placed) || !current {
            // The failed stream was replaced before.
            let due = row.due;
            return self.keep(row, due);
        }
        if row.delivered {
            row.run_state = RunState::Ran;
        } else if proves_not_run(failure) && row.legs.len() == 1 {
            row.run_state = row.run_before;
        }
        let rule = retry_rule(failure, row.delivered);
        if rule == RetryRule::Resume {
            return self.resume(now, row, engine, view, actions);
        }
        self.fail_legs(&mut row, engine, failure, actions);
        let reason = match rule {
            RetryRule::Free(reason) => Some(reason),
            RetryRule::Budgeted(reason) => {
                self.budget.try_spend(engine).then_some(reason)
            }
            RetryRule::Resume => None,
        };
        let refusal = upstream_failed(engine);
        match reason.filter(|_| Self::may_dispatch(&row)) {
            Some(reason) => {
                actions.push(EntryAction::CountRetry(reason));
                self.restart(now, row, engine, view, actions);
            }
            None => self.end(row, refusal, actions),
        }
    }

    /// Tells the owners of a failed request and frees its legs.
    fn fail_legs(
        &mut self,
        row: &mut EntryRow,
        engine: &UpstreamId,
        failure: StreamFailure,
        actions: &mut Vec<EntryAction>,
    ) {
        let at = row.legs.iter().position(|leg| leg.engine == *engine);
        if let Some(at) = at {
            let leg = row.legs.remove(at);
            let request = &row.descriptor.request;
            let event = match failure {
                StreamFailure::ConnectFailed
                | StreamFailure::AssignmentExpired => GrantEvent::Unused,
                StreamFailure::Overcommitted => GrantEvent::Overcommitted,
                _ => {
                    let engine = leg.engine.clone();
                    let request = request.clone();
                    actions.push(EntryAction::CancelAtEngine(engine, request));
                    GrantEvent::Failed
                }
            };
            actions.push(notify(request, &leg, event));
            self.candidates.ended(&leg.engine);
        }
        self.release(row, actions);
    }

    /// Places a request anew, without the engine that failed.
    fn restart(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        failed: &UpstreamId,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        row.phase = Phase::Waiting;
        row.tried = vec![failed.clone()];
        row.candidates.clear();
        row.grouped = false;
        row.transient = true;
        self.place(now, row, view, actions);
    }

    fn resume(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        engine: &UpstreamId,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let leg = row.legs.iter().find(|leg| leg.engine == *engine);
        let entry = view.upstreams.get(engine);
        let report = entry.and_then(|entry| entry.capability.as_deref());
        let same = match (leg.and_then(|leg| leg.incarnation), report) {
            (Some(known), Some(report)) => known == report.incarnation,
            _ => false,
        };
        let address = entry.map(|entry| entry.address);
        let (Some(address), true) = (address, same) else {
            return self.end(row, truncated(engine), actions);
        };
        if row.resumes >= RESUMES_MAX || !self.budget.try_spend(engine) {
            return self.end(row, truncated(engine), actions);
        }
        row.resumes += 1;
        let assigned = AssignedEngine {
            engine: engine.clone(),
            address,
            prompt: row.descriptor.prompt,
            incarnation: leg.and_then(|leg| leg.incarnation),
        };
        let reason = RetryReason::AnswerCut;
        actions.push(EntryAction::CountRetry(reason));
        let request = row.descriptor.request.clone();
        let decision = RequestDecision::Resume(assigned);
        actions.push(EntryAction::Decide(request, decision));
        row.renew_due = now.after(STARTED_INTERVAL);
        let due = row.renew_due;
        self.keep(row, due);
    }

    /// Renews the holds of a placed request.
    pub(super) fn renew(
        &mut self,
        now: Timestamp,
        row: &mut EntryRow,
        actions: &mut Vec<EntryAction>,
    ) {
        for leg in row.legs.iter().filter(|leg| leg.sent_at.is_some()) {
            let started = GrantEvent::Started;
            actions.push(notify(&row.descriptor.request, leg, started));
        }
        let unsent = row.legs.iter().any(|leg| leg.sent_at.is_none());
        let wait = if row.legs.len() > 1 && unsent {
            self.renew_kept(row, actions);
            KEPT_INTERVAL
        } else {
            STARTED_INTERVAL
        };
        row.renew_due = now.after(wait);
    }

    /// Renews the members of a group that wait for the ones before them.
    pub(super) fn renew_kept(
        &self,
        row: &EntryRow,
        actions: &mut Vec<EntryAction>,
    ) {
        for leg in row.legs.iter().filter(|leg| leg.sent_at.is_none()) {
            actions.push(notify(
                &row.descriptor.request,
                leg,
                GrantEvent::Kept,
            ));
        }
    }

    /// Tells new owners at once of what they have not granted; they wait for
    /// the hold-down before they grant from the whole account.
    pub(super) fn tell_new_owners(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let moved: Vec<RequestId> = self
            .rows
            .values()
            .filter(|row| matches!(row.phase, Phase::Placed))
            .filter(|row| row.legs.iter().any(|leg| has_moved(leg, view)))
            .map(|row| row.descriptor.request.clone())
            .collect();
        for request in moved {
            let mut row = self.take(&request).expect("rows were just listed");
            follow_owners(&mut row, view);
            self.renew(now, &mut row, actions);
            let due = row.renew_due;
            self.keep(row, due);
        }
    }

    /// Ends or moves requests at engines that take no more work.
    pub(super) fn look_for_drains(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let leaving = |row: &EntryRow| {
            matches!(row.phase, Phase::Placed)
                && row.legs.iter().any(|leg| {
                    !matches!(
                        view.drain_mode(&leg.engine),
                        None | Some(DrainMode::Finish)
                    )
                })
        };
        let requests: Vec<RequestId> = self
            .rows
            .values()
            .filter(|row| leaving(row))
            .map(|row| row.descriptor.request.clone())
            .collect();
        for request in requests {
            let row = self.take(&request).expect("rows were just listed");
            self.drain(now, row, view, actions);
        }
    }

    fn drain(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let mode = |leg: &super::Leg| view.drain_mode(&leg.engine);
        let fail = row
            .legs
            .iter()
            .any(|leg| mode(leg) == Some(DrainMode::Fail));
        let engine = row.legs.iter().find(|leg| mode(leg).is_some());
        let engine = engine.expect("a drained row has such a leg");
        let engine = engine.engine.clone();
        let waiting = row.legs.iter().all(|leg| leg.sent_at.is_none());
        if fail && !waiting {
            let message = format!("engine {engine} was taken out of service");
            let refusal = Refusal::new(RefusalCode::UpstreamFailed, message);
            return self.end(row, refusal, actions);
        }
        if row.delivered || !Self::may_dispatch(&row) {
            let due = row.due;
            return self.keep(row, due);
        }
        let reason = RetryReason::UpstreamLeaving;
        actions.push(EntryAction::CountRetry(reason));
        self.release(&mut row, actions);
        self.restart(now, row, &engine, view, actions);
    }
}

fn has_moved(leg: &super::Leg, view: &FleetView) -> bool {
    let owner = view.owners.get(&leg.engine);
    owner.is_some_and(|owner| *owner != leg.owner)
}

/// Directs further notices to the present owners.
pub(super) fn follow_owners(row: &mut EntryRow, view: &FleetView) {
    for leg in &mut row.legs {
        if let Some(owner) = view.owners.get(&leg.engine)
            && *owner != leg.owner
        {
            leg.owner = owner.clone();
        }
    }
}

fn sent(
    now: Timestamp,
    row: &mut EntryRow,
    engine: &UpstreamId,
    actions: &mut Vec<EntryAction>,
) {
    let request = row.descriptor.request.clone();
    let leg = row.legs.iter_mut().find(|leg| leg.engine == *engine);
    if let Some(leg) = leg {
        leg.sent_at.get_or_insert(now);
        actions.push(notify(&request, leg, GrantEvent::Started));
    }
}

fn first_part(
    now: Timestamp,
    row: &mut EntryRow,
    actions: &mut Vec<EntryAction>,
) {
    if !matches!(row.phase, Phase::Placed) {
        return;
    }
    row.delivered = true;
    row.run_state = RunState::Ran;
    if let Some(leg) = row.legs.last() {
        let after = now.since(leg.sent_at.unwrap_or(now));
        let event = GrantEvent::FirstChunk(after);
        actions.push(notify(&row.descriptor.request, leg, event));
    }
}

fn upstream_failed(engine: &UpstreamId) -> Refusal {
    let message = format!("engine {engine} failed and no retry was possible");
    Refusal::new(RefusalCode::UpstreamFailed, message)
        .with_retry_after(std::time::Duration::from_secs(1))
}

fn truncated(engine: &UpstreamId) -> Refusal {
    let message = format!("the answer of engine {engine} was cut");
    Refusal::new(RefusalCode::AnswerTruncated, message)
}
