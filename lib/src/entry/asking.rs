//! Placing a request: candidates, asks for grants and their answers.

use super::{
    ASK_TIMEOUT, CandidateTable, DISPATCHES_MAX, EntryAction, EntryRow,
    EntryTable, GroupPart, KEPT_INTERVAL, Leg, OpenAsk, Phase,
    QUEUED_ASK_TIMEOUT, ROUND_ASKS, STARTED_INTERVAL, notify, stale,
    unreachable,
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
    /// Begins a round of asks, or sends at once under a baseline policy.
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if !view.configuration_fresh {
            return self.wait(now, row, stale(), actions);
        }
        if view.upstreams.serving(&row.descriptor.model).is_empty() {
            let refusal = no_upstream(&row);
            return self.wait(now, row, refusal, actions);
        }
        if self.policy != PolicyName::Product {
            return self.place_baseline(now, row, view, actions);
        }
        let need = need(&row, view);
        let tokens = need.tokens;
        let mut chosen =
            self.candidates.choose(now, &need, view, &mut self.rng);
        chosen.reverse();
        row.candidates = chosen;
        let sizes = row.candidates.iter().map(|id| full_size(id, view));
        let largest = sizes.max().unwrap_or(TokenCount::ZERO);
        if !row.candidates.is_empty() && tokens > largest {
            return self.place_large(now, row, view, actions);
        }
        self.ask_next(now, row, view, actions);
    }

    /// Asks the owner of the next candidate.
    pub(super) fn ask_next(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        while row.tried.len() < ROUND_ASKS
            && let Some(engine) = row.candidates.pop()
        {
            row.tried.push(engine.clone());
            let Some(owner) = view.owners.get(&engine).cloned() else {
                row.transient = true;
                continue;
            };
            let part = GroupPart {
                engine,
                prompt: row.descriptor.prompt,
                output: row.descriptor.output,
            };
            let last =
                row.tried.len() == ROUND_ASKS || row.candidates.is_empty();
            let ask = self.build_ask(now, &row, &part, false, last);
            return self.send_ask(now, row, owner, ask, Vec::new(), actions);
        }
        self.round_over(now, row, actions);
    }

    pub(super) fn build_ask(
        &mut self,
        now: Timestamp,
        row: &EntryRow,
        part: &GroupPart,
        grouped: bool,
        may_queue: bool,
    ) -> GrantRequest {
        self.next_ask += 1;
        GrantRequest {
            sequence: self.next_ask,
            request: row.descriptor.request.clone(),
            engine: part.engine.clone(),
            workspace: row.descriptor.workspace.clone(),
            model: row.descriptor.model.clone(),
            class: row.descriptor.class,
            prompt: part.prompt,
            output: part.output,
            prefix: row.descriptor.prefix,
            time_left: row.descriptor.deadline.since(now),
            may_queue,
            grouped,
        }
    }

    pub(super) fn send_ask(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        owner: InstanceId,
        ask: GrantRequest,
        parts: Vec<GroupPart>,
        actions: &mut Vec<EntryAction>,
    ) {
        let ask_number = ask.sequence;
        let open = OpenAsk {
            request: ask.request.clone(),
            engine: ask.engine.clone(),
            owner: owner.clone(),
            sent_at: now,
            prompt: ask.prompt,
        };
        self.asks.insert(ask_number, open);
        row.phase = Phase::Asking {
            ask: ask_number,
            parts,
        };
        let timeout = if ask.may_queue {
            QUEUED_ASK_TIMEOUT
        } else {
            ASK_TIMEOUT
        };
        actions.push(EntryAction::Ask {
            owner,
            ask_number,
            ask,
            timeout,
        });
        self.keep(row, now.after(timeout));
    }

    /// Takes the answer to an ask in.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: Option<GrantResponse>,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(open) = self.asks.remove(&number) else {
            return;
        };
        let waiting = self.rows.get(&open.request).is_some_and(|row| {
            matches!(row.phase, Phase::Asking { ask, .. } if ask == number)
        });
        if !waiting {
            if let Some(GrantResponse::Granted(grant)) = answer {
                let leg = leg(number, &open, &grant);
                let unused = GrantEvent::Unused;
                actions.push(notify(&open.request, &leg, unused));
            }
            return;
        }
        let row = self.take(&open.request).expect("checked to be waiting");
        match answer {
            Some(GrantResponse::Granted(grant)) => {
                self.granted(now, row, number, &open, grant, view, actions);
            }
            Some(GrantResponse::Refused(refused)) => {
                self.refused(now, row, refused, view, actions);
            }
            Some(GrantResponse::NotOwner(owner)) => {
                self.not_owner(now, row, owner, &open, view, actions);
            }
            None => self.owner_lost(now, row, view, actions),
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one step of `answered`")]
    fn granted(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        number: u64,
        open: &OpenAsk,
        grant: Grant,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let leg = leg(number, open, &grant);
        self.candidates.apply_summary(now, grant.summary, view);
        row.legs.push(leg);
        let usable = row
            .legs
            .iter()
            .all(|leg| now < leg.use_before && view.accepts_work(&leg.engine));
        if !view.configuration_fresh || !usable {
            row.transient = true;
            row.last = Some(unreachable());
            self.release(&mut row, actions);
            return self.ask_failed(now, row, view, actions);
        }
        let parts = match &mut row.phase {
            Phase::Asking { parts, .. } => std::mem::take(parts),
            _ => Vec::new(),
        };
        if parts.is_empty() {
            self.dispatch(now, row, view, actions);
        } else {
            self.ask_part(now, row, parts, view, actions);
        }
    }

    fn refused(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        refused: GrantRefusal,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if let Some(summary) = refused.summary {
            self.candidates.apply_summary(now, summary, view);
        }
        let refusal = refused.refusal;
        let again = refusal.retry_after == Some(std::time::Duration::ZERO);
        row.transient |= refusal.code == RefusalCode::NoUpstream || again;
        if again {
            row.rounds = 0;
        }
        // One engine that cannot be used does not mean that none can: the
        // request waits for the others until its deadline.
        let others_full = row
            .last
            .as_ref()
            .is_some_and(|last| last.code != RefusalCode::NoUpstream);
        if refusal.code != RefusalCode::NoUpstream || !others_full {
            row.last = Some(refusal);
        }
        let reason = RetryReason::GrantRefused;
        actions.push(EntryAction::CountRetry(reason));
        self.ask_failed(now, row, view, actions);
    }

    /// Asks the instance that was named instead, unless it is the same.
    fn not_owner(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        owner: Option<InstanceId>,
        open: &OpenAsk,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let known = view.owners.get(&open.engine);
        let other =
            owner.filter(|owner| *owner != open.owner && Some(owner) == known);
        let single = matches!(
            &row.phase,
            Phase::Asking { parts, .. } if parts.is_empty()
        ) && row.legs.is_empty();
        let Some(other) = other.filter(|_| single) else {
            return self.owner_lost(now, row, view, actions);
        };
        let part = GroupPart {
            engine: open.engine.clone(),
            prompt: row.descriptor.prompt,
            output: row.descriptor.output,
        };
        row.transient = true;
        let ask = self.build_ask(now, &row, &part, false, false);
        self.send_ask(now, row, other, ask, Vec::new(), actions);
    }

    fn owner_lost(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        row.transient = true;
        row.last = Some(unreachable());
        let reason = RetryReason::OwnerUnreachable;
        actions.push(EntryAction::CountRetry(reason));
        self.ask_failed(now, row, view, actions);
    }

    /// Goes on after an ask that brought no grant. A group is given up, so
    /// that it holds nothing while it waits.
    pub(super) fn ask_failed(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        if row.grouped {
            row.transient = true;
            return self.round_over(now, row, actions);
        }
        self.release(&mut row, actions);
        self.ask_next(now, row, view, actions);
    }

    /// Ends a request that nobody took, or waits where that may help.
    pub(super) fn round_over(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        actions: &mut Vec<EntryAction>,
    ) {
        let refusal = row.last.take().unwrap_or_else(|| no_upstream(&row));
        if row.transient || row.tried.is_empty() {
            self.wait(now, row, refusal, actions);
        } else {
            self.end(row, refusal, actions);
        }
    }

    /// Decides to send a request to its legs.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let mut engines = Vec::with_capacity(row.legs.len());
        for leg in &row.legs {
            let Some(entry) = view.upstreams.get(&leg.engine) else {
                row.last = Some(no_upstream(&row));
                return self.round_over(now, row, actions);
            };
            engines.push(AssignedEngine {
                engine: leg.engine.clone(),
                address: entry.address,
                prompt: leg.prompt,
                incarnation: leg.incarnation,
            });
        }
        let send_before = row.legs[0].use_before.min(row.descriptor.deadline);
        let assignment = Assignment {
            engines,
            send_before,
            priority: row.priority(),
        };
        self.count_dispatch(&mut row);
        let request = row.descriptor.request.clone();
        let decision = RequestDecision::Dispatch(assignment);
        actions.push(EntryAction::Decide(request, decision));
        row.phase = Phase::Placed;
        row.renew_due = now.after(STARTED_INTERVAL);
        if row.legs.len() > 1 {
            self.renew_kept(&row, actions);
            row.renew_due = now.after(KEPT_INTERVAL);
        }
        let due = row.renew_due;
        self.keep(row, due);
    }

    fn count_dispatch(&mut self, row: &mut EntryRow) {
        row.dispatches += 1;
        // From here on the shell may write the request at any moment.
        row.run_before = row.run_state;
        if row.run_state == RunState::NotRun {
            row.run_state = RunState::MayHaveRun;
        }
        for leg in &row.legs {
            self.candidates.started(&leg.engine, leg.reserved);
        }
        let last = row.legs.last().expect("a placed request has legs");
        self.candidates
            .record_prefix(row.descriptor.prefix, &last.engine);
        if row.dispatches == 1 {
            self.budget.record_request(&last.engine);
        }
    }

    /// Whether a request may be sent once more.
    pub(super) fn may_dispatch(row: &EntryRow) -> bool {
        row.dispatches < DISPATCHES_MAX
    }

    /// Sends without a grant, as the baseline policies do.
    fn place_baseline(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let table = &self.candidates;
        let engine = match self.policy {
            PolicyName::RoundRobin => {
                pick(&mut self.round_robin, table, &row, view)
            }
            _ => pick(&mut LeastRequests, table, &row, view),
        };
        let Some(engine) = engine else {
            let refusal = no_upstream(&row);
            return self.wait(now, row, refusal, actions);
        };
        row.tried.push(engine.clone());
        let leg = Leg {
            engine,
            owner: view.local_instance.clone(),
            ask: 0,
            reserved: row
                .descriptor
                .prompt
                .saturating_add(row.descriptor.output),
            prompt: row.descriptor.prompt,
            incarnation: None,
            use_before: now.after(GRANT_VALIDITY),
            sent_at: None,
        };
        row.legs = vec![leg];
        self.dispatch(now, row, view, actions);
    }
}

fn pick<C: EngineSelector>(
    choice: &mut C,
    table: &CandidateTable,
    row: &EntryRow,
    view: &FleetView,
) -> Option<UpstreamId> {
    let all = view.upstreams.serving(&row.descriptor.model);
    let usable =
        |id: &&UpstreamId| view.accepts_work(id) && !row.tried.contains(id);
    let usable: Vec<&UpstreamId> = all.iter().filter(usable).collect();
    choice.pick(&usable, table).cloned()
}

fn leg(ask: u64, open: &OpenAsk, grant: &Grant) -> Leg {
    Leg {
        engine: open.engine.clone(),
        owner: open.owner.clone(),
        ask,
        reserved: grant.reserved,
        prompt: open.prompt,
        incarnation: Some(grant.incarnation),
        use_before: open.sent_at.after(grant.valid_for),
        sent_at: None,
    }
}

pub(super) fn need<'a>(
    row: &'a EntryRow,
    view: &FleetView<'a>,
) -> PlacementRequirements<'a> {
    let descriptor = &row.descriptor;
    let rule = view.fleet.workspaces.get(&descriptor.workspace);
    PlacementRequirements {
        model: &descriptor.model,
        prompt: descriptor.prompt,
        tokens: CostModel::memory(descriptor.prompt, descriptor.output),
        prefix: descriptor.prefix,
        domains: rule.and_then(|rule| rule.domains.as_ref()),
        tried: &row.tried,
    }
}

/// Memory of an engine that one request can have at most.
pub(super) fn full_size(id: &UpstreamId, view: &FleetView) -> TokenCount {
    let entry = view.upstreams.get(id);
    let report = entry.and_then(|entry| entry.capability.as_deref());
    report.map_or(TokenCount::ZERO, |report| percent_of(report.memory, 90))
}

fn no_upstream(row: &EntryRow) -> Refusal {
    let message = format!(
        "no engine of model {} can be used now",
        row.descriptor.model
    );
    Refusal::new(RefusalCode::NoUpstream, message)
        .with_retry_after(std::time::Duration::from_millis(500))
}
