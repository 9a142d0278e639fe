//! Placement of requests: choice of candidates, grant requests and their
//! answers.

use super::{
    Allocation, CandidateTable, DISPATCHES_MAX, EntryAction, EntryTable,
    GRANT_REQUESTS_PER_ROUND, GRANT_TIMEOUT, InFlightRequest,
    KEPT_RENEWAL_INTERVAL, PendingGrant, Phase, PlannedSegment,
    QUEUED_GRANT_TIMEOUT, STARTED_RENEWAL_INTERVAL, configuration_stale,
    notify, owner_unreachable,
};
use crate::{
    core::{AssignedEngine, Assignment, PolicyName, RequestDecision},
    cost::CostModel,
    fleet_view::FleetView,
    ids::{InstanceId, UpstreamId},
    ledger::{GRANT_VALIDITY, percent_of},
    peer_api::{Grant, GrantEvent, GrantRefusal, GrantRequest, GrantResponse},
    placement::{EngineSelector, LeastRequests, PlacementRequirements},
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    units::{Timestamp, TokenCount},
};

impl EntryTable {
    /// Starts a placement round, or dispatches at once under a baseline policy.
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if now >= inflight.limit.sent_before() {
            return self.end_past_deadline(inflight, actions);
        }
        if !view.configuration_fresh {
            return self.schedule_retry(
                now,
                inflight,
                configuration_stale(),
                actions,
            );
        }
        if view
            .upstreams
            .serving(&inflight.descriptor.model)
            .is_empty()
        {
            let refusal = no_upstream(&inflight);
            return self.schedule_retry(now, inflight, refusal, actions);
        }
        if self.policy != PolicyName::Product {
            return self.place_baseline(now, inflight, view, actions);
        }
        let requirements = requirements(&inflight, view);
        let tokens = requirements.tokens;
        let mut chosen =
            self.candidates
                .choose(now, &requirements, view, &mut self.rng);
        chosen.reverse();
        inflight.remaining_candidates = chosen;
        let memory_sizes = inflight
            .remaining_candidates
            .iter()
            .map(|id| grantable_memory(id, view));
        let largest_memory = memory_sizes.max().unwrap_or(TokenCount::ZERO);
        if !inflight.remaining_candidates.is_empty() && tokens > largest_memory
        {
            return self.place_group(now, inflight, view, actions);
        }
        self.request_next_grant(now, inflight, view, actions);
    }

    /// Requests a grant from the owner of the next candidate, or ends the
    /// round.
    pub(super) fn request_next_grant(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        while inflight.tried_engines.len() < GRANT_REQUESTS_PER_ROUND
            && let Some(engine) = inflight.remaining_candidates.pop()
        {
            inflight.tried_engines.push(engine.clone());
            let Some(owner) = view.owners.get(&engine).cloned() else {
                inflight.failure_is_temporary = true;
                continue;
            };
            let segment = PlannedSegment {
                engine,
                prompt: inflight.descriptor.prompt,
                output: inflight.descriptor.output,
            };
            let last = inflight.tried_engines.len() == GRANT_REQUESTS_PER_ROUND
                || inflight.remaining_candidates.is_empty();
            let grant_request =
                self.build_grant_request(now, &inflight, &segment, false, last);
            return self.send_grant_request(
                now,
                inflight,
                owner,
                grant_request,
                Vec::new(),
                actions,
            );
        }
        self.end_round(now, inflight, actions);
    }

    pub(super) fn build_grant_request(
        &mut self,
        now: Timestamp,
        inflight: &InFlightRequest,
        segment: &PlannedSegment,
        grouped: bool,
        may_queue: bool,
    ) -> GrantRequest {
        self.next_sequence += 1;
        GrantRequest {
            sequence: self.next_sequence,
            request: inflight.descriptor.request.clone(),
            engine: segment.engine.clone(),
            workspace: inflight.descriptor.workspace.clone(),
            model: inflight.descriptor.model.clone(),
            class: inflight.descriptor.class,
            prompt: segment.prompt,
            output: segment.output,
            prefix: inflight.descriptor.prefix,
            time_left: inflight.limit.ends_at().since(now),
            may_queue,
            grouped,
        }
    }

    pub(super) fn send_grant_request(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        owner: InstanceId,
        grant_request: GrantRequest,
        segments: Vec<PlannedSegment>,
        actions: &mut Vec<EntryAction>,
    ) {
        let sequence = grant_request.sequence;
        let pending = PendingGrant {
            request: grant_request.request.clone(),
            engine: grant_request.engine.clone(),
            owner: owner.clone(),
            sent_at: now,
            prompt: grant_request.prompt,
        };
        self.pending_grants.insert(sequence, pending);
        inflight.phase = Phase::AwaitingGrant { sequence, segments };
        let timeout = if grant_request.may_queue {
            QUEUED_GRANT_TIMEOUT
        } else {
            GRANT_TIMEOUT
        };
        actions.push(EntryAction::RequestGrant {
            owner,
            sequence,
            grant_request,
            timeout,
        });
        self.reinsert(inflight, now.after(timeout));
    }

    /// Handles the answer to a grant request; `None` if the owner could not be
    /// reached.
    pub(super) fn handle_grant_response(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: Option<GrantResponse>,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(pending) = self.pending_grants.remove(&number) else {
            return;
        };
        let waiting = self.requests.get(&pending.request).is_some_and(|inflight| {
            matches!(inflight.phase, Phase::AwaitingGrant { sequence, .. } if sequence == number)
        });
        if !waiting {
            if let Some(GrantResponse::Granted(grant)) = answer {
                let allocation = allocation(number, &pending, &grant);
                let unused = GrantEvent::Unused;
                actions.push(notify(&pending.request, &allocation, unused));
            }
            return;
        }
        let inflight = self
            .remove(&pending.request)
            .expect("checked to await a grant");
        match answer {
            Some(GrantResponse::Granted(grant)) => {
                self.handle_grant(
                    now, inflight, number, &pending, grant, view, actions,
                );
            }
            Some(GrantResponse::Refused(handle_grant_refusal)) => {
                self.handle_grant_refusal(
                    now,
                    inflight,
                    handle_grant_refusal,
                    view,
                    actions,
                );
            }
            Some(GrantResponse::NotOwner(owner)) => {
                self.handle_not_owner(
                    now, inflight, owner, &pending, view, actions,
                );
            }
            None => self.handle_unreachable_owner(now, inflight, view, actions),
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one step of `handle_grant_response`"
    )]
    fn handle_grant(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        number: u64,
        pending: &PendingGrant,
        grant: Grant,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let allocation = allocation(number, pending, &grant);
        self.candidates.apply_summary(now, grant.summary, view);
        inflight.allocations.push(allocation);
        let usable = inflight.allocations.iter().all(|allocation| {
            now < allocation.use_before && view.accepts_work(&allocation.engine)
        });
        if !view.configuration_fresh || !usable {
            inflight.failure_is_temporary = true;
            inflight.last_refusal = Some(owner_unreachable());
            self.release(&mut inflight, actions);
            return self.continue_round(now, inflight, view, actions);
        }
        let segments = match &mut inflight.phase {
            Phase::AwaitingGrant { segments, .. } => std::mem::take(segments),
            _ => Vec::new(),
        };
        if segments.is_empty() {
            self.dispatch(now, inflight, view, actions);
        } else {
            self.request_next_segment(now, inflight, segments, view, actions);
        }
    }

    fn handle_grant_refusal(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        grant_refusal: GrantRefusal,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(summary) = grant_refusal.summary {
            self.candidates.apply_summary(now, summary, view);
        }
        let refusal = grant_refusal.refusal;
        let retry_now = refusal.retry_after == Some(std::time::Duration::ZERO);
        inflight.failure_is_temporary |=
            refusal.code == RefusalCode::NoUpstream || retry_now;
        if retry_now {
            inflight.rounds = 0;
        }
        // The refusal of an engine that is only full is kept, because the
        // request can still be placed there before its deadline.
        let other_engine_full = inflight
            .last_refusal
            .as_ref()
            .is_some_and(|last| last.code != RefusalCode::NoUpstream);
        if refusal.code != RefusalCode::NoUpstream || !other_engine_full {
            inflight.last_refusal = Some(refusal);
        }
        let reason = RetryReason::GrantRefused;
        actions.push(EntryAction::CountRetry(reason));
        self.continue_round(now, inflight, view, actions);
    }

    /// Repeats the grant request at the instance named as owner if the view has
    /// the same owner.
    fn handle_not_owner(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        owner: Option<InstanceId>,
        pending: &PendingGrant,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let current = view.owners.get(&pending.engine);
        let named_owner = owner
            .filter(|owner| *owner != pending.owner && Some(owner) == current);
        let single = matches!(
            &inflight.phase,
            Phase::AwaitingGrant { segments, .. } if segments.is_empty()
        ) && inflight.allocations.is_empty();
        let Some(named_owner) = named_owner.filter(|_| single) else {
            return self.handle_unreachable_owner(now, inflight, view, actions);
        };
        let segment = PlannedSegment {
            engine: pending.engine.clone(),
            prompt: inflight.descriptor.prompt,
            output: inflight.descriptor.output,
        };
        inflight.failure_is_temporary = true;
        let grant_request =
            self.build_grant_request(now, &inflight, &segment, false, false);
        self.send_grant_request(
            now,
            inflight,
            named_owner,
            grant_request,
            Vec::new(),
            actions,
        );
    }

    fn handle_unreachable_owner(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        inflight.failure_is_temporary = true;
        inflight.last_refusal = Some(owner_unreachable());
        let reason = RetryReason::OwnerUnreachable;
        actions.push(EntryAction::CountRetry(reason));
        self.continue_round(now, inflight, view, actions);
    }

    /// Continues after a grant request that failed. The grants of a group are
    /// returned, so that nothing is reserved during the backoff.
    pub(super) fn continue_round(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if inflight.grouped {
            inflight.failure_is_temporary = true;
            return self.end_round(now, inflight, actions);
        }
        self.release(&mut inflight, actions);
        self.request_next_grant(now, inflight, view, actions);
    }

    /// Ends a request that no engine accepted, or schedules another round if
    /// the cause is temporary.
    pub(super) fn end_round(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = inflight
            .last_refusal
            .take()
            .unwrap_or_else(|| no_upstream(&inflight));
        if inflight.failure_is_temporary || inflight.tried_engines.is_empty() {
            self.schedule_retry(now, inflight, refusal, actions);
        } else {
            self.end(inflight, refusal, actions);
        }
    }

    /// Decides to send a request to its allocated engines.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if now >= inflight.limit.sent_before() {
            return self.end_past_deadline(inflight, actions);
        }
        let mut engines = Vec::with_capacity(inflight.allocations.len());
        for allocation in &inflight.allocations {
            let Some(entry) = view.upstreams.get(&allocation.engine) else {
                inflight.last_refusal = Some(no_upstream(&inflight));
                return self.end_round(now, inflight, actions);
            };
            engines.push(AssignedEngine {
                engine: allocation.engine.clone(),
                address: entry.address,
                prompt: allocation.prompt,
                incarnation: allocation.incarnation,
            });
        }
        let send_before = inflight.allocations[0]
            .use_before
            .min(inflight.limit.sent_before());
        let assignment = Assignment {
            engines,
            send_before,
            priority: inflight.priority(),
        };
        self.count_dispatch(&mut inflight);
        let request = inflight.descriptor.request.clone();
        let decision = RequestDecision::Dispatch(assignment);
        actions.push(EntryAction::Decide(request, decision));
        inflight.phase = Phase::Dispatched;
        inflight.wait_reason = None;
        inflight.renewal_due = now.after(STARTED_RENEWAL_INTERVAL);
        if inflight.allocations.len() > 1 {
            self.renew_kept(&inflight, actions);
            inflight.renewal_due = now.after(KEPT_RENEWAL_INTERVAL);
        }
        let due = inflight.renewal_due;
        self.reinsert(inflight, due);
    }

    fn count_dispatch(&mut self, inflight: &mut InFlightRequest) {
        inflight.dispatches += 1;
        // From here on the shell may write the request at any moment.
        inflight.run_state_before_dispatch = inflight.run_state;
        if inflight.run_state == RunState::NotRun {
            inflight.run_state = RunState::MayHaveRun;
        }
        for allocation in &inflight.allocations {
            self.candidates
                .started(&allocation.engine, allocation.reserved);
        }
        let last = inflight
            .allocations
            .last()
            .expect("a dispatched request has allocations");
        self.candidates
            .record_prefix(inflight.descriptor.prefix, &last.engine);
        if inflight.dispatches == 1 {
            self.retry_budget.record_request(&last.engine);
        }
    }

    /// Whether a request may be dispatched once more.
    pub(super) fn may_dispatch(inflight: &InFlightRequest) -> bool {
        inflight.dispatches < DISPATCHES_MAX
    }

    /// Dispatches without a grant, as the baseline policies do.
    fn place_baseline(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let table = &self.candidates;
        let engine = match self.policy {
            PolicyName::RoundRobin => {
                select(&mut self.round_robin, table, &inflight, view)
            }
            _ => select(&mut LeastRequests, table, &inflight, view),
        };
        let Some(engine) = engine else {
            let refusal = no_upstream(&inflight);
            return self.schedule_retry(now, inflight, refusal, actions);
        };
        inflight.tried_engines.push(engine.clone());
        let allocation = Allocation {
            engine,
            owner: view.local_instance.clone(),
            sequence: 0,
            reserved: inflight
                .descriptor
                .prompt
                .saturating_add(inflight.descriptor.output),
            prompt: inflight.descriptor.prompt,
            incarnation: None,
            use_before: now.after(GRANT_VALIDITY),
            sent_at: None,
        };
        inflight.allocations = vec![allocation];
        self.dispatch(now, inflight, view, actions);
    }
}

fn select<C: EngineSelector>(
    choice: &mut C,
    table: &CandidateTable,
    inflight: &InFlightRequest,
    view: &FleetView,
) -> Option<UpstreamId> {
    let all = view.upstreams.serving(&inflight.descriptor.model);
    let usable = |id: &&UpstreamId| {
        view.accepts_work(id) && !inflight.tried_engines.contains(id)
    };
    let usable: Vec<&UpstreamId> = all.iter().filter(usable).collect();
    choice.select(&usable, table).cloned()
}

fn allocation(
    sequence: u64,
    pending: &PendingGrant,
    grant: &Grant,
) -> Allocation {
    Allocation {
        engine: pending.engine.clone(),
        owner: pending.owner.clone(),
        sequence,
        reserved: grant.reserved,
        prompt: pending.prompt,
        incarnation: Some(grant.incarnation),
        use_before: pending.sent_at.after(grant.valid_for),
        sent_at: None,
    }
}

pub(super) fn requirements<'a>(
    inflight: &'a InFlightRequest,
    view: &FleetView<'a>,
) -> PlacementRequirements<'a> {
    let descriptor = &inflight.descriptor;
    let rule = view.fleet.workspaces.get(&descriptor.workspace);
    PlacementRequirements {
        model: &descriptor.model,
        prompt: descriptor.prompt,
        tokens: CostModel::memory(descriptor.prompt, descriptor.output),
        prefix: descriptor.prefix,
        domains: rule.and_then(|rule| rule.domains.as_ref()),
        tried: &inflight.tried_engines,
    }
}

/// Maximum memory that one request can be granted on an engine; zero if its
/// capabilities are unknown.
pub(super) fn grantable_memory(
    id: &UpstreamId,
    view: &FleetView,
) -> TokenCount {
    let entry = view.upstreams.get(id);
    let report = entry.and_then(|entry| entry.capability.as_deref());
    report.map_or(TokenCount::ZERO, |report| percent_of(report.memory, 90))
}

fn no_upstream(inflight: &InFlightRequest) -> Refusal {
    let message = format!(
        "no engine is available for model {}",
        inflight.descriptor.model
    );
    Refusal::new(RefusalCode::NoUpstream, message)
        .with_retry_after(std::time::Duration::from_millis(500))
}
