//! Groups of engines for prompts that exceed the memory of one engine.
//!
//! The engines of a group are in one failure domain if any domain has enough
//! memory. They are requested in ascending order of their ids, so two groups
//! cannot wait for each other. If one grant fails, all grants of the group are
//! returned and the placement is tried again after a backoff.

use std::collections::BTreeMap;

use super::{
    EntryAction, EntryTable, InFlightRequest, NO_UPSTREAM_WAIT, PlannedSegment,
    owner_unreachable,
    placing::{grantable_memory, requirements},
};
use crate::{
    fleet_view::FleetView,
    ids::{DomainId, UpstreamId},
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
};

/// A group waits for engines that take long prompts until this fraction, 1/N,
/// of the request's time has passed.
const LONG_ONLY_WAIT_DIVISOR: u32 = 4;
/// Maximum number of engines in a group.
const GROUP_ENGINES_MAX: usize = 16;

impl EntryTable {
    /// Plans a group and requests a grant on its first engine.
    pub(super) fn place_group(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        inflight.remaining_candidates.clear();
        let memory = |id: &UpstreamId| grantable_memory(id, view);
        // Prefilling segments delays short prompts on the same engine. A group
        // therefore uses engines without long prompts only if the others could
        // never hold it, or after it has waited for them for some time.
        let waited = now.since(inflight.arrived);
        let all = inflight.limit.ends_at().since(inflight.arrived);
        let waits_for_long = waited < all / LONG_ONLY_WAIT_DIVISOR;
        let long_only = waits_for_long
            && self.plan(&inflight, view, true, memory).is_some();
        if !long_only && self.plan(&inflight, view, false, memory).is_none() {
            // An engine whose capabilities have not been read yet may have the
            // memory that is missing.
            if waited < NO_UPSTREAM_WAIT && has_unread_engine(view) {
                return self.schedule_retry(
                    now,
                    inflight,
                    no_group_capacity(),
                    actions,
                );
            }
            let tokens = inflight
                .descriptor
                .prompt
                .saturating_add(inflight.descriptor.output);
            let message = format!(
                "no engine or group of engines can hold {tokens} of model {}",
                inflight.descriptor.model,
            );
            let refusal = Refusal::new(RefusalCode::PromptTooLarge, message);
            return self.end(inflight, refusal, actions);
        }
        let table = &self.candidates;
        let memory = |id: &UpstreamId| {
            let full = grantable_memory(id, view);
            table
                .expected_headroom(now, id)
                .map_or(full, |memory| full.min(memory))
        };
        inflight.grouped = true;
        match self.plan(&inflight, view, long_only, memory) {
            Some(segments) => self
                .request_next_segment(now, inflight, segments, view, actions),
            None => {
                inflight.failure_is_temporary = true;
                inflight.last_refusal = Some(no_group_capacity());
                self.end_round(now, inflight, actions);
            }
        }
    }

    /// Requests a grant on the next engine of a group.
    pub(super) fn request_next_segment(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        mut segments: Vec<PlannedSegment>,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let segment = segments.remove(0);
        let Some(owner) = view.owners.get(&segment.engine).cloned() else {
            inflight.failure_is_temporary = true;
            inflight.last_refusal = Some(owner_unreachable());
            return self.end_round(now, inflight, actions);
        };
        inflight.tried_engines.push(segment.engine.clone());
        let grant_request =
            self.build_grant_request(now, &inflight, &segment, true, false);
        self.send_grant_request(
            now,
            inflight,
            owner,
            grant_request,
            segments,
            actions,
        );
    }

    /// Divides a request over the fewest engines of one failure domain, or over
    /// engines of several domains if no single one has enough memory. Returns
    /// `None` if no group is possible.
    fn plan(
        &self,
        inflight: &InFlightRequest,
        view: &FleetView,
        long_only: bool,
        memory: impl Fn(&UpstreamId) -> TokenCount,
    ) -> Option<Vec<PlannedSegment>> {
        let requirements = requirements(inflight, view);
        let mut domains: BTreeMap<&DomainId, Vec<GroupCandidate>> =
            BTreeMap::new();
        for id in view.upstreams.serving(requirements.model) {
            let Some(entry) = view.upstreams.get(id) else {
                continue;
            };
            let report = entry.capability.as_deref();
            let segments = report.is_some_and(|report| report.segments);
            let allowed = requirements
                .domains
                .is_none_or(|domains| domains.contains(&entry.domain));
            let takes_long = self.candidates.takes_long(id);
            let wanted = takes_long || !long_only;
            if segments && allowed && wanted && view.accepts_work(id) {
                let engines = domains.entry(&entry.domain).or_default();
                engines.push(GroupCandidate {
                    takes_long,
                    memory: memory(id),
                    id,
                });
            }
        }
        let all: Vec<_> = domains.values().flatten().copied().collect();
        domains
            .into_values()
            .filter_map(|engines| smallest_group(engines, requirements.tokens))
            .min_by_key(Vec::len)
            .or_else(|| smallest_group(all, requirements.tokens))
            .and_then(|chosen| assign_segments(inflight, chosen))
    }
}

/// An engine that may become part of a group. The derived order prefers engines
/// that take long prompts, then those with more memory.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupCandidate<'a> {
    takes_long: bool,
    memory: TokenCount,
    id: &'a UpstreamId,
}

/// The first engines in order of preference that together hold a number of
/// tokens, sorted by id.
fn smallest_group(
    mut engines: Vec<GroupCandidate>,
    tokens: TokenCount,
) -> Option<Vec<GroupCandidate>> {
    engines.retain(|candidate| candidate.memory > TokenCount::ZERO);
    engines.sort_by(|left, right| right.cmp(left));
    let mut sum = TokenCount::ZERO;
    let last_needed = engines.iter().position(|candidate| {
        sum = sum.saturating_add(candidate.memory);
        sum >= tokens
    })?;
    engines.truncate(last_needed + 1);
    engines.sort_by_key(|candidate| candidate.id);
    (engines.len() <= GROUP_ENGINES_MAX).then_some(engines)
}

/// Assigns prompt segments to engines in ascending order of their ids. The last
/// engine decodes and also needs memory for the output.
fn assign_segments(
    inflight: &InFlightRequest,
    engines: Vec<GroupCandidate>,
) -> Option<Vec<PlannedSegment>> {
    let mut remaining = inflight.descriptor.prompt;
    let last = engines.len() - 1;
    let memory = engines[last].memory;
    // The decoding engine must prefill at least one prompt token.
    let last_prompt = memory
        .saturating_sub(inflight.descriptor.output)
        .min(remaining);
    if last_prompt == TokenCount::ZERO {
        return None;
    }
    let mut segments = Vec::with_capacity(engines.len());
    for (at, candidate) in engines.into_iter().enumerate() {
        let prompt = if at == last {
            remaining
        } else {
            candidate
                .memory
                .min(remaining.saturating_sub(TokenCount::new(1)))
        };
        remaining = remaining.saturating_sub(prompt);
        if prompt == TokenCount::ZERO {
            continue;
        }
        let output = if at == last {
            inflight.descriptor.output
        } else {
            TokenCount::ZERO
        };
        segments.push(PlannedSegment {
            engine: candidate.id.clone(),
            prompt,
            output,
        });
    }
    Some(segments)
}

fn no_group_capacity() -> Refusal {
    let message = "no group of engines has enough free memory for the prompt";
    Refusal::new(RefusalCode::NoCapacity, message)
}

/// Whether an engine is listed whose capabilities have not been read yet.
fn has_unread_engine(view: &FleetView) -> bool {
    view.upstreams.iter().any(|(_, entry)| {
        entry.service.is_none() && !entry.leaving && entry.capability.is_none()
    })
}
