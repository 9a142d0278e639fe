//! What an entry instance knows of the engines, and how it picks candidates.
//!
//! A decision samples a bounded number of engines from the model's index and
//! keeps three by random choice weighted by headroom, so that its cost does
//! not grow with the number of engines. Summaries are hints: a stale one costs
//! a refused ask, never an overcommitted engine. Engines that take long
//! prompts have an index of their own, because few of them would be found by
//! sampling all.

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

/// Candidates kept from a sample.
pub const CANDIDATES: usize = 3;
/// Engines looked at in one sample; all of them if there are no more.
const SAMPLES: usize = 6;
/// Draws made to find as many usable engines.
const DRAWS: usize = 32;
/// Age from which a summary says nothing.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(10);
/// Extra wait that a cached prefix is worth.
const AFFINITY_WAIT: Duration = Duration::from_millis(500);
/// Waits that differ by less than this count as equal.
const WAIT_STEP_MS: u128 = 20;
/// Greatest weight of an engine, so that sums cannot overflow.
const WEIGHT_MAX: u64 = 1 << 40;
/// Most prefixes remembered.
const PREFIXES_MAX: usize = 16_384;

/// What a request needs of an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequirements<'a> {
    /// Model.
    pub model: &'a ModelName,
    /// Prompt tokens.
    pub prompt: TokenCount,
    /// Memory, answer included.
    pub tokens: TokenCount,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Failure domains that may be used; absent means all.
    pub domains: Option<&'a BTreeSet<DomainId>>,
    /// Engines that were tried before.
    pub tried: &'a [UpstreamId],
}

/// Picks an engine for a request that is sent without a grant. The baselines
/// that the product is compared with are such policies.
pub trait EngineSelector {
    /// One of the usable engines.
    fn select<'a>(
        &mut self,
        usable: &[&'a UpstreamId],
        table: &CandidateTable,
    ) -> Option<&'a UpstreamId>;
}

/// Each engine in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl EngineSelector for RoundRobin {
    fn select<'a>(
        &mut self,
        usable: &[&'a UpstreamId],
        _table: &CandidateTable,
    ) -> Option<&'a UpstreamId> {
        self.turn = self.turn.wrapping_add(1);
        let at = self.turn.checked_rem(usable.len())?;
        usable.get(at).copied()
    }
}

/// The engine with the fewest requests from this instance.
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

#[derive(Clone, Debug)]
struct CandidateRow {
    id: UpstreamId,
    summary: Option<(EngineSummary, Timestamp)>,
    running: u32,
    pending: TokenCount,
}

/// Engines as an entry instance knows them.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    rows: BTreeMap<u64, CandidateRow>,
    long: BTreeMap<ModelName, Vec<UpstreamId>>,
    prefixes: BTreeMap<u64, (UpstreamId, u64)>,
    uses: u64,
}

impl CandidateTable {
    /// A table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an owner's summary in.
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
            index(&mut self.long, model, &engine, summary.takes_long);
        }
        let row = self.row_mut(&engine);
        row.pending = TokenCount::ZERO;
        row.summary = Some((summary, now));
    }

    /// Counts a request of this instance that goes to an engine.
    pub fn started(&mut self, engine: &UpstreamId, tokens: TokenCount) {
        let row = self.row_mut(engine);
        row.running += 1;
        row.pending = row.pending.saturating_add(tokens);
    }

    /// Counts a request of this instance that left an engine.
    pub fn ended(&mut self, engine: &UpstreamId) {
        if let Some(row) = self.rows.get_mut(&row_key(engine)) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// Requests of this instance at an engine.
    pub fn running(&self, engine: &UpstreamId) -> u32 {
        self.row(engine).map_or(0, |row| row.running)
    }

    /// Remembers where a prefix was sent.
    pub fn record_prefix(&mut self, prefix: u64, engine: &UpstreamId) {
        self.uses += 1;
        self.prefixes.insert(prefix, (engine.clone(), self.uses));
        if self.prefixes.len() > PREFIXES_MAX {
            let limit = self.uses - PREFIXES_MAX as u64 / 2;
            self.prefixes.retain(|_, (_, used)| *used >= limit);
        }
    }

    /// Drops what is known of upstreams that no longer exist.
    pub fn remove_missing(&mut self, view: &FleetView) {
        let known = |id: &UpstreamId| view.upstreams.get(id).is_some();
        self.rows.retain(|_, row| row.running > 0 || known(&row.id));
        for engines in self.long.values_mut() {
            engines.retain(known);
        }
    }

    /// Memory that can probably be granted on an engine, if its owner has said
    /// so recently.
    pub fn expected_headroom(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
    ) -> Option<TokenCount> {
        let row = self.row(engine)?;
        let (row, summary) = row.recent(now)?;
        Some(summary.headroom.saturating_sub(row.pending))
    }

    /// Candidates for a request, best first.
    pub fn choose(
        &self,
        now: Timestamp,
        need: &PlacementRequirements,
        view: &FleetView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<UpstreamId> {
        let long = need.prompt > LONG_PROMPT;
        let indexed = self.long.get(need.model).map_or(&[][..], Vec::as_slice);
        let all = view.upstreams.serving(need.model);
        let entries = view.upstreams.serving_entries(need.model);
        let look = |id, entry| self.look_at(now, id, entry, need, view);
        let known = |id| look(id, view.upstreams.get(id)?);
        let any = |at: usize| look(&all[at], &entries[at]);
        let mut found = if long {
            sample(indexed.len(), rng, |at| known(&indexed[at]))
        } else {
            let short = |found: &Candidate| !found.takes_long;
            sample(all.len(), rng, |at| any(at).filter(short))
        };
        if found.is_empty() {
            found = sample(all.len(), rng, any);
        }
        let mut chosen = weighted(found, rng);
        // Short prompts spill over to engines that take long ones rather than
        // being refused, but long prompts never the other way.
        if !long && chosen.iter().all(|known| known.full) {
            let others = sample(all.len(), rng, |at| {
                any(at).filter(|found| found.takes_long && !found.full)
            });
            chosen.extend(weighted(others, rng).into_iter().take(1));
        }
        let cached = self.prefixes.get(&need.prefix).map(|(id, _)| id);
        let missing = cached.filter(|cached| {
            chosen.iter().all(|candidate| candidate.id != *cached)
        });
        let serving = |id: &&UpstreamId| all.binary_search(id).is_ok();
        let cached = missing.filter(serving).and_then(known);
        chosen.extend(cached.filter(|known| known.takes_long == long));
        chosen.sort_by_key(Candidate::rank);
        chosen.into_iter().map(|known| known.id.clone()).collect()
    }

    /// Whether an engine's owner says that it takes long prompts.
    pub fn takes_long(&self, engine: &UpstreamId) -> bool {
        let summary = self.row(engine).and_then(|row| row.summary.as_ref());
        summary.is_some_and(|(summary, _)| summary.takes_long)
    }

    fn row(&self, engine: &UpstreamId) -> Option<&CandidateRow> {
        self.rows.get(&row_key(engine))
    }

    fn row_mut(&mut self, engine: &UpstreamId) -> &mut CandidateRow {
        let row = self.rows.entry(row_key(engine));
        row.or_insert_with(|| CandidateRow {
            id: engine.clone(),
            summary: None,
            running: 0,
            pending: TokenCount::ZERO,
        })
    }

    /// What is known of an engine, if it may be used.
    fn look_at<'a>(
        &self,
        now: Timestamp,
        id: &'a UpstreamId,
        entry: &UpstreamEntry,
        need: &PlacementRequirements,
        view: &FleetView,
    ) -> Option<Candidate<'a>> {
        if !usable(id, entry, need, view) {
            return None;
        }
        let row = self.row(id);
        let recent = row.and_then(|row| row.recent(now));
        let known = recent.map(|(_, summary)| summary);
        if known.is_some_and(|known| known.leaving) {
            return None;
        }
        let headroom = match recent {
            Some((row, known)) => known.headroom.saturating_sub(row.pending),
            None => assumed_headroom(entry),
        };
        let mut wait = known.map_or(Duration::ZERO, |known| known.wait);
        let cached = self.prefixes.get(&need.prefix);
        if cached.is_some_and(|(engine, _)| engine == id) {
            wait = wait.saturating_sub(AFFINITY_WAIT);
        } else if cached.is_some() {
            wait = wait.saturating_add(Duration::from_millis(1));
        }
        let slots = known.is_none_or(|known| known.free_slots > 0);
        let summary = row.and_then(|row| row.summary.as_ref());
        Some(Candidate {
            id,
            headroom,
            wait_steps: wait.as_millis().div_ceil(WAIT_STEP_MS),
            full: headroom < need.tokens || !slots,
            remote: entry.domain != *view.local_domain,
            takes_long: summary.is_some_and(|(known, _)| known.takes_long),
        })
    }
}

/// One engine that may be used, as it is known at the moment.
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
    /// Sorts engines with room first, then by wait, then the own domain.
    fn rank(&self) -> (bool, u128, bool, Reverse<TokenCount>) {
        let room = Reverse(self.headroom);
        (self.full, self.wait_steps, self.remote, room)
    }
}

/// Looks at a bounded number of engines, or at all if there are few.
fn sample<'a>(
    count: usize,
    rng: &mut ChaCha8Rng,
    look: impl Fn(usize) -> Option<Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    if count <= DRAWS / 2 {
        return (0..count).filter_map(look).collect();
    }
    let mut found: Vec<Candidate> = Vec::with_capacity(SAMPLES);
    let mut seen = Vec::with_capacity(DRAWS);
    for _ in 0..DRAWS {
        let at = rng.random_range(0..count);
        if !seen.contains(&at) {
            seen.push(at);
            found.extend(look(at));
        }
        if found.len() == SAMPLES {
            break;
        }
    }
    found
}

/// Keeps some of a sample by random choice weighted by headroom.
fn weighted<'a>(
    mut found: Vec<Candidate<'a>>,
    rng: &mut ChaCha8Rng,
) -> Vec<Candidate<'a>> {
    let weight = |known: &Candidate| known.headroom.get().min(WEIGHT_MAX) + 1;
    let mut chosen = Vec::with_capacity(CANDIDATES + 1);
    while chosen.len() < CANDIDATES && !found.is_empty() {
        let sum: u64 = found.iter().map(weight).sum();
        let mut draw = rng.random_range(0..sum);
        let at = found.iter().position(|known| {
            let hit = draw < weight(known);
            draw = draw.saturating_sub(weight(known));
            hit
        });
        chosen.push(found.swap_remove(at.unwrap_or(0)));
    }
    chosen
}

impl CandidateRow {
    fn recent(&self, now: Timestamp) -> Option<(&Self, &EngineSummary)> {
        let (summary, seen) = self.summary.as_ref()?;
        (now.since(*seen) <= SUMMARY_MAX_AGE).then_some((self, summary))
    }
}

/// Key of an engine's row. Comparing hashes is cheaper than comparing ids that
/// share a long prefix. Two engines with the same hash would share a row, which
/// holds only hints.
fn row_key(engine: &UpstreamId) -> u64 {
    xxh3_64(engine.as_str().as_bytes())
}

fn usable(
    id: &UpstreamId,
    entry: &UpstreamEntry,
    need: &PlacementRequirements,
    view: &FleetView,
) -> bool {
    let allowed = need
        .domains
        .is_none_or(|domains| domains.contains(&entry.domain));
    allowed && !need.tried.contains(id) && view.accepts_entry(id, entry)
}

/// Half the memory, for an engine that nothing else is known of.
fn assumed_headroom(entry: &UpstreamEntry) -> TokenCount {
    let report = entry.capability.as_deref();
    report.map_or(TokenCount::ZERO, |report| percent_of(report.memory, 50))
}

fn index(
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
        (Err(at), true) => engines.insert(at, engine.clone()),
        (Ok(at), false) => {
            engines.remove(at);
        }
        _ => {}
    }
}
