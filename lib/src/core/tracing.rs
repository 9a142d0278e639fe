//! Records the decisions on requests for `explain` queries.
//!
//! The steps are derived from the events that enter the entry side and the
//! actions that it returns, so the placement code contains no tracing.

use std::sync::Arc;

use super::ServingCore;
use crate::{
    core::{RequestDecision, RequestProgress},
    entry::{EntryAction, EntryEvent},
    ids::RequestId,
    peer_api::GrantRequest,
    refusal::RefusalCode,
    request_trace::{CandidateLoad, TraceStep, WaitReason},
    units::Timestamp,
};

impl ServingCore {
    /// Records an event before the entry side handles it. Returns the request
    /// whose outcome is to be traced, if any.
    pub(super) fn trace_input(
        &mut self,
        now: Timestamp,
        event: &EntryEvent,
    ) -> Option<RequestId> {
        match event {
            EntryEvent::Arrived(descriptor) => {
                self.explain.record_arrival(now, descriptor);
                Some(descriptor.request.clone())
            }
            EntryEvent::Progress(request, progress) => {
                self.explain.record_progress(now, request, progress);
                let goes_on =
                    matches!(progress, RequestProgress::Failed { .. });
                goes_on.then(|| request.clone())
            }
            EntryEvent::GrantAnswered(sequence, answer) => {
                let (request, engine) =
                    self.entries.pending_grant(*sequence)?;
                let request = request.clone();
                let answer = answer.as_ref();
                self.explain.record_response(now, &request, engine, answer);
                Some(request)
            }
            _ => None,
        }
    }

    /// Records the decisions of the entry side after an event of a request.
    /// After a timer, `request` is `None` and the requests are found in the
    /// actions.
    pub(super) fn trace_outcome(
        &mut self,
        now: Timestamp,
        request: Option<&RequestId>,
        arrived: bool,
        actions: &[EntryAction],
    ) {
        if let Some(request) = request
            && arrived
            && !actions.iter().any(is_entry_refusal)
        {
            self.explain
                .record_step(now, request, TraceStep::WithinLimits);
        }
        for action in actions {
            match action {
                EntryAction::Decide(request, decision) => {
                    self.explain.record_decision(now, request, decision);
                }
                EntryAction::RequestGrant {
                    owner,
                    grant_request,
                    ..
                } => {
                    self.trace_candidates(now, grant_request);
                    let step = TraceStep::GrantRequested {
                        engine: grant_request.engine.clone(),
                        owner: owner.clone(),
                        may_queue: grant_request.may_queue,
                    };
                    self.explain.record_step(now, &grant_request.request, step);
                }
                EntryAction::CountRetry(reason) => {
                    if let Some(request) = request {
                        let step = TraceStep::Retried(*reason);
                        self.explain.record_step(now, request, step);
                    }
                }
                _ => {}
            }
        }
        if let Some(request) = request {
            self.trace_wait(now, request);
        }
    }

    /// Records the candidates of a placement round at its first grant request.
    fn trace_candidates(
        &mut self,
        now: Timestamp,
        grant_request: &GrantRequest,
    ) {
        let Some((tried, left)) = self.entries.round(&grant_request.request)
        else {
            return;
        };
        if tried.len() > 1 {
            return;
        }
        let table = self.entries.candidates();
        let engines =
            std::iter::once(&grant_request.engine).chain(left.iter().rev());
        let figures = engines.map(|engine| CandidateLoad {
            engine: engine.clone(),
            headroom: table.expected_headroom(now, engine),
            running: table.running(engine),
        });
        let figures: Arc<[CandidateLoad]> = figures.collect();
        let step = TraceStep::Candidates(figures);
        self.explain.record_step(now, &grant_request.request, step);
    }

    fn trace_wait(&mut self, now: Timestamp, request: &RequestId) {
        let Some(until) = self.entries.waiting_until(request) else {
            return;
        };
        let view = self.view(now);
        let model = self.explain.model(request);
        let unserved =
            model.is_some_and(|model| view.upstreams.serving(model).is_empty());
        let reason = if !view.configuration_fresh {
            WaitReason::Stale
        } else if unserved {
            WaitReason::NoEngine
        } else {
            WaitReason::NotTaken
        };
        let step = TraceStep::Waits(until, reason);
        self.explain.record_step(now, request, step);
    }
}

/// Whether a request was refused before it was admitted under its limits. Later
/// refusals have other codes, except for a stale configuration.
fn is_entry_refusal(action: &EntryAction) -> bool {
    let EntryAction::Decide(_, RequestDecision::End(refusal)) = action else {
        return false;
    };
    matches!(
        refusal.code,
        RefusalCode::WorkspaceLimit
            | RefusalCode::Overloaded
            | RefusalCode::ConfigurationStale
            | RefusalCode::DeadlineExceeded
    )
}
