//! Choice of candidate engines for a request, from the state that this instance
//! has of the engines.
//!
//! A decision samples a bounded number of engines from the index of the model
//! and keeps three by random choice weighted by headroom, so its cost does not
//! grow with the number of engines. Summaries are hints: an outdated one costs
//! a refused grant request, never an overcommitted engine. Engines that take
//! long prompts have a separate index, because a sample of all engines would
//! contain few of them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet_view::{FleetView, UpstreamEntry},
    ids::{DomainId, ModelName, UpstreamId},
    ledger::percent_of,
    owner::LONG_PROMPT,
    peer_api::EngineSummary,
    units::{Timestamp, TokenCount},
};

/// Number of candidates kept from a sample.
pub const CANDIDATES: usize = 3;
/// Number of usable engines in a sample, if there are as many.
const SAMPLES: usize = 6;
/// Maximum number of random draws to find [`SAMPLES`] usable engines.
const DRAWS: usize = 32;
/// Age at which a summary is no longer used.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(10);
/// Wait by which an engine with the cached prefix may exceed another one and
/// still be preferred.
const AFFINITY_WAIT: Duration = Duration::from_millis(500);
/// Waits are rounded up to multiples of this, so small differences do not
/// count.
const WAIT_STEP_MS: u128 = 20;
/// Maximum weight of an engine, so that sums cannot overflow.
const WEIGHT_MAX: u64 = 1 << 40;
/// Maximum number of prefixes for which an engine is remembered.
const PREFIXES_MAX: usize = 16_384;

/// Requirements of a request on an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequirements<'a> {
    /// Model that the engine must have loaded.
    pub model: &'a ModelName,
    /// Number of prompt tokens.
    pub prompt: TokenCount,
    /// Memory for the prompt and the output.
    pub tokens: TokenCount,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
    /// Failure domains that may be used; `None` means all.
    pub domains: Option<&'a BTreeSet<DomainId>>,
    /// Engines that were tried before and are excluded.
    pub tried: &'a [UpstreamId],
}

/// Chooses an engine for a request that is sent without a grant. Implemented by
/// the baseline policies that the default policy is measured against.
pub trait EngineSelector {
    /// Chooses one of the usable engines; `None` if there is none.
    fn select<'a>(
        &mut self,
        usable: &[&'a UpstreamId],
        table: &CandidateTable,
    ) -> Option<&'a UpstreamId>;
}

/// Uses each engine in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl EngineSelector for RoundRobin {
    fn select<'a>(
        &mut self,
        usable: &[&'a UpstreamId],
        _table: &CandidateTable,
    ) -> Option<&'a UpstreamId> {
        self.next = self.next.wrapping_add(1);
        let index = self.next.checked_rem(usable.len())?;
        usable.get(index).copied()
    }
}

/// Uses the engine with the fewest in-flight requests of this instance.
#[derive(Clone, Debug, Default)]
pub struct LeastRequests;

impl EngineSelector for LeastRequests {
    fn select<'a>(
        &mut self,
        usable: &[&'a UpstreamId],
        table: &CandidateTable,
    ) -> Option<&'a UpstreamId> {
        usable.iter().copied().min_by_key(|id| table.running(id))
    }
}

/// State of one engine at an entry instance.
#[derive(Clone, Debug)]
struct EngineState {
    id: UpstreamId,
    /// Latest summary, with the time of its arrival.
    summary: Option<(EngineSummary, Timestamp)>,
    /// In-flight requests of this instance.
    running: u32,
    /// Memory of the requests dispatched since the latest summary.
    dispatched_tokens: TokenCount,
}

/// State of the engines at an entry instance: summaries of their owners,
/// requests of this instance and cached prefixes.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    states: BTreeMap<u64, EngineState>,
    /// Engines that take long prompts, sorted by id, for each model.
    long_prompt_engines: BTreeMap<ModelName, Vec<UpstreamId>>,
    /// Engine that each prefix was last sent to, with the number of that use.
    prefixes: BTreeMap<u64, (UpstreamId, u64)>,
    prefix_uses: u64,
}

impl CandidateTable {
    /// A table without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the summary of an engine. Ignored while the engine's
    /// capabilities are unknown.
    pub fn apply_summary(
        &mut self,
        now: Timestamp,
        summary: EngineSummary,
        view: &FleetView,
    ) {
        let engine = summary.engine.clone();
        let entry = view.upstreams.get(&engine);
        let report = entry.and_then(|entry| entry.capability.as_deref());
        let Some(report) = report else {
            return;
        };
        for model in &report.models {
            update_long_prompt_engines(
                &mut self.long_prompt_engines,
                model,
                &engine,
                summary.takes_long,
            );
        }
        let state = self.state_mut(&engine);
        state.dispatched_tokens = TokenCount::ZERO;
        state.summary = Some((summary, now));
    }

    /// Counts a request that this instance dispatches to an engine.
    pub fn started(&mut self, engine: &UpstreamId, tokens: TokenCount) {
        let state = self.state_mut(engine);
        state.running += 1;
        state.dispatched_tokens =
            state.dispatched_tokens.saturating_add(tokens);
    }

    /// Counts the end of a request of this instance at an engine.
    pub fn ended(&mut self, engine: &UpstreamId) {
        if let Some(state) = self.states.get_mut(&state_key(engine)) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Number of requests of this instance at an engine.
    pub fn running(&self, engine: &UpstreamId) -> u32 {
        self.state(engine).map_or(0, |state| state.running)
    }

    /// Records the engine that a prefix was sent to.
    pub fn record_prefix(&mut self, prefix: u64, engine: &UpstreamId) {
        self.prefix_uses += 1;
        self.prefixes
            .insert(prefix, (engine.clone(), self.prefix_uses));
        if self.prefixes.len() > PREFIXES_MAX {
            let limit = self.prefix_uses - PREFIXES_MAX as u64 / 2;
            self.prefixes.retain(|_, (_, used)| *used >= limit);
        }
    }

    /// Removes the state of engines that no longer exist.
    pub fn remove_missing(&mut self, view: &FleetView) {
        let exists = |id: &UpstreamId| view.upstreams.get(id).is_some();
        self.states
            .retain(|_, state| state.running > 0 || exists(&state.id));
        for engines in self.long_prompt_engines.values_mut() {
            engines.retain(exists);
        }
    }

    /// Memory that can probably be granted on an engine, from its latest
    /// summary; `None` if there is no recent one.
    pub fn expected_headroom(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
    ) -> Option<TokenCount> {
        let state = self.state(engine)?;
        let (state, summary) = state.recent_summary(now)?;
        Some(summary.headroom.saturating_sub(state.dispatched_tokens))
    }

    /// Candidates for a request, best first.
    pub fn choose(
        &self,
        now: Timestamp,
        requirements: &PlacementRequirements,
        view: &FleetView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<UpstreamId> {
        let long = requirements.prompt > LONG_PROMPT;
        let indexed = self
            .long_prompt_engines
            .get(requirements.model)
            .map_or(&[][..], Vec::as_slice);
        let all = view.upstreams.serving(requirements.model);
        let entries = view.upstreams.serving_entries(requirements.model);
        let evaluate =
            |id, entry| self.evaluate(now, id, entry, requirements, view);
        let evaluate_id = |id| evaluate(id, view.upstreams.get(id)?);
        let evaluate_any =
            |index: usize| evaluate(&all[index], &entries[index]);
        let mut sampled = if long {
            sample(indexed.len(), rng, |index| evaluate_id(&indexed[index]))
        } else {
            let short = |sampled: &Candidate| !sampled.takes_long;
            sample(all.len(), rng, |index| evaluate_any(index).filter(short))
        };
        if sampled.is_empty() {
            sampled = sample(all.len(), rng, evaluate_any);
        }
        let mut chosen = choose_weighted(sampled, rng);
        // Short prompts overflow to engines that take long ones instead of
        // being refused. Long prompts never overflow.
        if !long && chosen.iter().all(|candidate| candidate.full) {
            let others = sample(all.len(), rng, |index| {
                evaluate_any(index)
                    .filter(|sampled| sampled.takes_long && !sampled.full)
            });
            chosen.extend(choose_weighted(others, rng).into_iter().take(1));
        }
        let cached_engine =
            self.prefixes.get(&requirements.prefix).map(|(id, _)| id);
        let unsampled_cached = cached_engine.filter(|cached_engine| {
            chosen
                .iter()
                .all(|candidate| candidate.id != *cached_engine)
        });
        let serving = |id: &&UpstreamId| all.binary_search(id).is_ok();
        let cached_engine =
            unsampled_cached.filter(serving).and_then(evaluate_id);
        chosen.extend(
            cached_engine.filter(|candidate| candidate.takes_long == long),
        );
        chosen.sort_by_key(Candidate::rank);
        chosen
            .into_iter()
            .map(|candidate| candidate.id.clone())
            .collect()
    }

    /// Whether an engine takes long prompts, according to its owner.
    pub fn takes_long(&self, engine: &UpstreamId) -> bool {
        let summary =
            self.state(engine).and_then(|state| state.summary.as_ref());
        summary.is_some_and(|(summary, _)| summary.takes_long)
    }

    fn state(&self, engine: &UpstreamId) -> Option<&EngineState> {
        self.states.get(&state_key(engine))
    }

    fn state_mut(&mut self, engine: &UpstreamId) -> &mut EngineState {
        let state = self.states.entry(state_key(engine));
        state.or_insert_with(|| EngineState {
            id: engine.clone(),
            summary: None,
            running: 0,
            dispatched_tokens: TokenCount::ZERO,
        })
    }

    /// Evaluates an engine as a candidate; `None` if it cannot be used.
    fn evaluate<'a>(
        &self,
        now: Timestamp,
        id: &'a UpstreamId,
        entry: &UpstreamEntry,
        requirements: &PlacementRequirements,
        view: &FleetView,
    ) -> Option<Candidate<'a>> {
        if !is_usable(id, entry, requirements, view) {
            return None;
        }
        let state = self.state(id);
        let recent_summary = state.and_then(|state| state.recent_summary(now));
        let latest = recent_summary.map(|(_, summary)| summary);
        if latest.is_some_and(|latest| latest.leaving) {
            return None;
        }
        let headroom = match recent_summary {
            Some((state, latest)) => {
                latest.headroom.saturating_sub(state.dispatched_tokens)
            }
            None => assumed_headroom(entry),
        };
        let mut wait = latest.map_or(Duration::ZERO, |latest| latest.wait);
        let cached_engine = self.prefixes.get(&requirements.prefix);
        if cached_engine.is_some_and(|(engine, _)| engine == id) {
            wait = wait.saturating_sub(AFFINITY_WAIT);
        } else if cached_engine.is_some() {
            wait = wait.saturating_add(Duration::from_millis(1));
        }
        let has_free_slot = latest.is_none_or(|latest| latest.free_slots > 0);
        let summary = state.and_then(|state| state.summary.as_ref());
        Some(Candidate {
            id,
            headroom,
            wait_steps: wait.as_millis().div_ceil(WAIT_STEP_MS),
            full: headroom < requirements.tokens || !has_free_slot,
            remote: entry.domain != *view.local_domain,
            takes_long: summary.is_some_and(|(latest, _)| latest.takes_long),
        })
    }
}

/// A usable engine with the properties that rank it.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    id: &'a UpstreamId,
    headroom: TokenCount,
    wait_steps: u128,
    full: bool,
    remote: bool,
    takes_long: bool,
}

impl Candidate<'_> {
    /// Sort key: engines with enough memory first, then shorter waits, then the
    /// domain of this instance, then more headroom.
    fn rank(&self) -> (bool, u128, bool, Reverse<TokenCount>) {
        let room = Reverse(self.headroom);
        (self.full, self.wait_steps, self.remote, room)
    }
}

/// Evaluates a random sample of engines, or all if there are few.
fn sample<'a>(
    count: usize,
    rng: &mut ChaCha8Rng,
    evaluate: impl Fn(usize) -> Option<Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    if count <= DRAWS / 2 {
        return (0..count).filter_map(evaluate).collect();
    }
    let mut sampled: Vec<Candidate> = Vec::with_capacity(SAMPLES);
    let mut drawn = Vec::with_capacity(DRAWS);
    for _ in 0..DRAWS {
        let index = rng.random_range(0..count);
        if !drawn.contains(&index) {
            drawn.push(index);
            sampled.extend(evaluate(index));
        }
        if sampled.len() == SAMPLES {
            break;
        }
    }
    sampled
}

/// Keeps up to [`CANDIDATES`] engines by random choice weighted by headroom.
fn choose_weighted<'a>(
    mut sampled: Vec<Candidate<'a>>,
    rng: &mut ChaCha8Rng,
) -> Vec<Candidate<'a>> {
    let weight =
        |candidate: &Candidate| candidate.headroom.get().min(WEIGHT_MAX) + 1;
    let mut chosen = Vec::with_capacity(CANDIDATES + 1);
    while chosen.len() < CANDIDATES && !sampled.is_empty() {
        let sum: u64 = sampled.iter().map(weight).sum();
        let mut draw = rng.random_range(0..sum);
        let index = sampled.iter().position(|candidate| {
            let hit = draw < weight(candidate);
            draw = draw.saturating_sub(weight(candidate));
            hit
        });
        chosen.push(sampled.swap_remove(index.unwrap_or(0)));
    }
    chosen
}

impl EngineState {
    fn recent_summary(
        &self,
        now: Timestamp,
    ) -> Option<(&Self, &EngineSummary)> {
        let (summary, received_at) = self.summary.as_ref()?;
        (now.since(*received_at) <= SUMMARY_MAX_AGE).then_some((self, summary))
    }
}

/// Key of an engine's state. Hashes compare faster than ids that share a long
/// prefix. Two engines with the same hash would share their state, which is
/// acceptable for hints.
fn state_key(engine: &UpstreamId) -> u64 {
    xxh3_64(engine.as_str().as_bytes())
}

fn is_usable(
    id: &UpstreamId,
    entry: &UpstreamEntry,
    requirements: &PlacementRequirements,
    view: &FleetView,
) -> bool {
    let allowed = requirements
        .domains
        .is_none_or(|domains| domains.contains(&entry.domain));
    allowed && !requirements.tried.contains(id) && view.accepts_entry(id, entry)
}

/// Half of the memory, for an engine without a recent summary.
fn assumed_headroom(entry: &UpstreamEntry) -> TokenCount {
    let report = entry.capability.as_deref();
    report.map_or(TokenCount::ZERO, |report| percent_of(report.memory, 50))
}

fn update_long_prompt_engines(
    long: &mut BTreeMap<ModelName, Vec<UpstreamId>>,
    model: &ModelName,
    engine: &UpstreamId,
    takes_long: bool,
) {
    if !long.contains_key(model) {
        long.insert(model.clone(), Vec::new());
    }
    let engines = long.get_mut(model).expect("inserted above");
    match (engines.binary_search(engine), takes_long) {
        (Err(index), true) => engines.insert(index, engine.clone()),
        (Ok(index), false) => {
            engines.remove(index);
        }
        _ => {}
    }
}
