//! Groups of engines for prompts larger than one engine's memory.
//!
//! The engines of a group lie in one failure domain if any has the room, and
//! are asked in ascending order of their ids, so that two groups cannot wait
//! for each other. Any
//! failure returns all grants of the group; it is tried again after a backoff.

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

/// A group waits for engines that take long prompts for one part in this many
/// of the request's time.
const LONG_ONLY_WAIT_DIVISOR: u32 = 4;
/// Most engines of one group.
const GROUP_ENGINES_MAX: usize = 16;

impl EntryTable {
    /// Plans a group and asks for its first engine.
    pub(super) fn place_group(
        &mut self,
        now: Timestamp,
        mut inflight: InFlightRequest,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        inflight.candidates.clear();
        let room = |id: &UpstreamId| grantable_memory(id, view);
        // Segments on engines left to short prompts delay these, so a group
        // takes such engines only if the others could never hold it, or if it
        // has waited for them for a part of its time.
        let waited = now.since(inflight.arrived);
        let all = inflight.descriptor.deadline.since(inflight.arrived);
        let patient = waited < all / LONG_ONLY_WAIT_DIVISOR;
        let long_only =
            patient && self.plan(&inflight, view, true, room).is_some();
        if !long_only && self.plan(&inflight, view, false, room).is_none() {
            // An engine that has not told its memory yet may add the room.
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
        let room = |id: &UpstreamId| {
            let full = grantable_memory(id, view);
            table
                .expected_headroom(now, id)
                .map_or(full, |room| full.min(room))
        };
        inflight.grouped = true;
        match self.plan(&inflight, view, long_only, room) {
            Some(segments) => self
                .request_next_segment(now, inflight, segments, view, actions),
            None => {
                inflight.retryable = true;
                inflight.last_refusal = Some(no_group_capacity());
                self.end_round(now, inflight, actions);
            }
        }
    }

    /// Asks for the next engine of a group.
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
            inflight.retryable = true;
            inflight.last_refusal = Some(owner_unreachable());
            return self.end_round(now, inflight, actions);
        };
        inflight.tried.push(segment.engine.clone());
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

    /// Splits a request over the fewest engines of one failure domain, or of
    /// several where no single one has the room.
    fn plan(
        &self,
        inflight: &InFlightRequest,
        view: &FleetView,
        long_only: bool,
        room: impl Fn(&UpstreamId) -> TokenCount,
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
                    room: room(id),
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

/// An engine that may become part of a group. The order prefers engines that
/// take long prompts, then those with more room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupCandidate<'a> {
    takes_long: bool,
    room: TokenCount,
    id: &'a UpstreamId,
}

/// The preferred engines that hold a number of tokens together.
fn smallest_group(
    mut engines: Vec<GroupCandidate>,
    tokens: TokenCount,
) -> Option<Vec<GroupCandidate>> {
    engines.retain(|candidate| candidate.room > TokenCount::ZERO);
    engines.sort_by(|left, right| right.cmp(left));
    let mut sum = TokenCount::ZERO;
    let enough = engines.iter().position(|candidate| {
        sum = sum.saturating_add(candidate.room);
        sum >= tokens
    })?;
    engines.truncate(enough + 1);
    engines.sort_by_key(|candidate| candidate.id);
    (engines.len() <= GROUP_ENGINES_MAX).then_some(engines)
}

/// Assigns segments in ascending order of the ids. The last engine also needs
/// the room for the answer.
fn assign_segments(
    inflight: &InFlightRequest,
    engines: Vec<GroupCandidate>,
) -> Option<Vec<PlannedSegment>> {
    let mut left = inflight.descriptor.prompt;
    let last = engines.len() - 1;
    let room = engines[last].room;
    // At least one prompt token stays for the engine that decodes.
    let keep = room.saturating_sub(inflight.descriptor.output).min(left);
    if keep == TokenCount::ZERO {
        return None;
    }
    let mut segments = Vec::with_capacity(engines.len());
    for (at, candidate) in engines.into_iter().enumerate() {
        let prompt = if at == last {
            left
        } else {
            candidate.room.min(left.saturating_sub(TokenCount::new(1)))
        };
        left = left.saturating_sub(prompt);
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
    let message = "no group of engines has room for the prompt now";
    Refusal::new(RefusalCode::NoCapacity, message)
}

/// Whether an engine is listed whose capabilities are not known.
fn has_unread_engine(view: &FleetView) -> bool {
    view.upstreams.iter().any(|(_, entry)| {
        entry.service.is_none() && !entry.leaving && entry.capability.is_none()
    })
}
