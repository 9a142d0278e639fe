//! Groups of engines for prompts larger than one engine's memory.
//!
//! The engines of a group lie in one failure domain if any has the room, and
//! are asked in ascending order of their ids, so that two groups cannot wait
//! for each other. Any
//! failure returns all grants of the group; it is tried again after a backoff.

use std::collections::BTreeMap;

use super::{
    EntryAction, EntryRow, EntryTable, GroupPart, NO_UPSTREAM_WAIT,
    asking::{full_size, need},
    unreachable,
};
use crate::{
    fleet_view::FleetView,
    ids::{DomainId, UpstreamId},
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
};

/// A group waits for engines that take long prompts for one part in this many
/// of the request's time.
const PATIENCE_PARTS: u32 = 4;
/// Most engines of one group.
const GROUP_MAX: usize = 16;

impl EntryTable {
    /// Plans a group and asks for its first engine.
    pub(super) fn place_large(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        row.candidates.clear();
        let room = |id: &UpstreamId| full_size(id, view);
        // Segments on engines left to short prompts delay these, so a group
        // takes such engines only if the others could never hold it, or if it
        // has waited for them for a part of its time.
        let waited = now.since(row.arrived);
        let all = row.descriptor.deadline.since(row.arrived);
        let patient = waited < all / PATIENCE_PARTS;
        let long_only = patient && self.plan(&row, view, true, room).is_some();
        if !long_only && self.plan(&row, view, false, room).is_none() {
            // An engine that has not told its memory yet may add the room.
            if waited < NO_UPSTREAM_WAIT && has_unknown_engine(view) {
                return self.wait(now, row, no_room(), actions);
            }
            let tokens =
                row.descriptor.prompt.saturating_add(row.descriptor.output);
            let message = format!(
                "no engine or group of engines can hold {tokens} of model {}",
                row.descriptor.model,
            );
            let refusal = Refusal::new(RefusalCode::PromptTooLarge, message);
            return self.end(row, refusal, actions);
        }
        let table = &self.candidates;
        let room = |id: &UpstreamId| {
            let full = full_size(id, view);
            table
                .expected_headroom(now, id)
                .map_or(full, |room| full.min(room))
        };
        row.grouped = true;
        match self.plan(&row, view, long_only, room) {
            Some(parts) => self.ask_part(now, row, parts, view, actions),
            None => {
                row.transient = true;
                row.last = Some(no_room());
                self.round_over(now, row, actions);
            }
        }
    }

    /// Asks for the next engine of a group.
    pub(super) fn ask_part(
        &mut self,
        now: Timestamp,
        mut row: EntryRow,
        mut parts: Vec<GroupPart>,
        view: &FleetView,
        actions: &mut Vec<EntryAction>,
    ) {
        let part = parts.remove(0);
        let Some(owner) = view.owners.get(&part.engine).cloned() else {
            row.transient = true;
            row.last = Some(unreachable());
            return self.round_over(now, row, actions);
        };
        row.tried.push(part.engine.clone());
        let ask = self.build_ask(now, &row, &part, true, false);
        self.send_ask(now, row, owner, ask, parts, actions);
    }

    /// Splits a request over the fewest engines of one failure domain, or of
    /// several where no single one has the room.
    fn plan(
        &self,
        row: &EntryRow,
        view: &FleetView,
        long_only: bool,
        room: impl Fn(&UpstreamId) -> TokenCount,
    ) -> Option<Vec<GroupPart>> {
        let need = need(row, view);
        let mut domains: BTreeMap<&DomainId, Vec<GroupMember>> =
            BTreeMap::new();
        for id in view.upstreams.serving(need.model) {
            let Some(entry) = view.upstreams.get(id) else {
                continue;
            };
            let report = entry.capability.as_deref();
            let segments = report.is_some_and(|report| report.segments);
            let allowed = need
                .domains
                .is_none_or(|domains| domains.contains(&entry.domain));
            let takes_long = self.candidates.takes_long(id);
            let wanted = takes_long || !long_only;
            if segments && allowed && wanted && view.accepts_work(id) {
                let engines = domains.entry(&entry.domain).or_default();
                engines.push(GroupMember {
                    takes_long,
                    room: room(id),
                    id,
                });
            }
        }
        let all: Vec<_> = domains.values().flatten().copied().collect();
        domains
            .into_values()
            .filter_map(|engines| fewest(engines, need.tokens))
            .min_by_key(Vec::len)
            .or_else(|| fewest(all, need.tokens))
            .and_then(|chosen| split(row, chosen))
    }
}

/// An engine that may become part of a group. The order prefers engines that
/// take long prompts, then those with more room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupMember<'a> {
    takes_long: bool,
    room: TokenCount,
    id: &'a UpstreamId,
}

/// The preferred engines that hold a number of tokens together.
fn fewest(
    mut engines: Vec<GroupMember>,
    tokens: TokenCount,
) -> Option<Vec<GroupMember>> {
    engines.retain(|member| member.room > TokenCount::ZERO);
    engines.sort_by(|left, right| right.cmp(left));
    let mut sum = TokenCount::ZERO;
    let enough = engines.iter().position(|member| {
        sum = sum.saturating_add(member.room);
        sum >= tokens
    })?;
    engines.truncate(enough + 1);
    engines.sort_by_key(|member| member.id);
    (engines.len() <= GROUP_MAX).then_some(engines)
}

/// Assigns segments in ascending order of the ids. The last engine also needs
/// the room for the answer.
fn split(row: &EntryRow, engines: Vec<GroupMember>) -> Option<Vec<GroupPart>> {
    let mut left = row.descriptor.prompt;
    let last = engines.len() - 1;
    let room = engines[last].room;
    // At least one prompt token stays for the engine that decodes.
    let keep = room.saturating_sub(row.descriptor.output).min(left);
    if keep == TokenCount::ZERO {
        return None;
    }
    let mut parts = Vec::with_capacity(engines.len());
    for (at, member) in engines.into_iter().enumerate() {
        let prompt = if at == last {
            left
        } else {
            member.room.min(left.saturating_sub(TokenCount::new(1)))
        };
        left = left.saturating_sub(prompt);
        if prompt == TokenCount::ZERO {
            continue;
        }
        let output = if at == last {
            row.descriptor.output
        } else {
            TokenCount::ZERO
        };
        parts.push(GroupPart {
            engine: member.id.clone(),
            prompt,
            output,
        });
    }
    Some(parts)
}

fn no_room() -> Refusal {
    let message = "no group of engines has room for the prompt now";
    Refusal::new(RefusalCode::NoCapacity, message)
}

/// Whether an engine is listed whose capabilities are not known.
fn has_unknown_engine(view: &FleetView) -> bool {
    view.upstreams.iter().any(|(_, entry)| {
        entry.service.is_none() && !entry.leaving && entry.capability.is_none()
    })
}
