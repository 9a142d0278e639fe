//! What an entry instance knows of the engines, and how it picks candidates.
//!
//! A decision samples a bounded number of engines from the model's index and
//! keeps three by random choice weighted by headroom, so that its cost does
//! not grow with the number of engines. Summaries are hints: a stale one costs
//! a refused ask, never an overcommitted engine. Engines that take long
//! prompts have an index of their own, because few of them would be found by
//! sampling all.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{
    ids::{DomainId, ModelName, UpstreamId},
    ledger::percent_of,
    owner::LONG_PROMPT,
    peer_api::EngineSummary,
    units::{Timestamp, TokenCount},
    view::FleetView,
};

/// Candidates kept from a sample.
pub const CANDIDATES: usize = 3;
/// Engines looked at in one sample; all of them if there are no more.
const SAMPLES: usize = 8;
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
pub struct PlacementNeed<'a> {
    /// Model.
    pub model: &'a ModelName,
    /// Prompt tokens.
    pub prompt: TokenCount,
    /// Memory, answer included.
    pub tokens: TokenCount,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Failure domains that may be used; absent means all.
    pub domains: Option<&'a std::collections::BTreeSet<DomainId>>,
    /// Engines that were tried before.
    pub tried: &'a [UpstreamId],
}

#[derive(Clone, Debug, Default)]
struct CandidateRow {
    summary: Option<(EngineSummary, Timestamp)>,
    running: u32,
    pending: TokenCount,
}

/// Engines as an entry instance knows them.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    rows: BTreeMap<UpstreamId, CandidateRow>,
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
    pub fn take_summary(
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
        let row = self.rows.entry(engine).or_default();
        row.pending = TokenCount::ZERO;
        row.summary = Some((summary, now));
    }

    /// Counts a request of this instance that goes to an engine.
    pub fn started(&mut self, engine: &UpstreamId, tokens: TokenCount) {
        let row = self.rows.entry(engine.clone()).or_default();
        row.running += 1;
        row.pending = row.pending.saturating_add(tokens);
    }

    /// Counts a request of this instance that left an engine.
    pub fn ended(&mut self, engine: &UpstreamId) {
        if let Some(row) = self.rows.get_mut(engine) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// Requests of this instance at an engine.
    pub fn running(&self, engine: &UpstreamId) -> u32 {
        self.rows.get(engine).map_or(0, |row| row.running)
    }

    /// Remembers where a prefix was sent.
    pub fn note_prefix(&mut self, prefix: u64, engine: &UpstreamId) {
        self.uses += 1;
        self.prefixes.insert(prefix, (engine.clone(), self.uses));
        if self.prefixes.len() > PREFIXES_MAX {
            let limit = self.uses - PREFIXES_MAX as u64 / 2;
            self.prefixes.retain(|_, (_, used)| *used >= limit);
        }
    }

    /// Drops what is known of upstreams that no longer exist.
    pub fn forget_missing(&mut self, view: &FleetView) {
        let known = |id: &UpstreamId| view.upstreams.get(id).is_some();
        self.rows.retain(|id, row| row.running > 0 || known(id));
        for engines in self.long.values_mut() {
            engines.retain(known);
        }
    }

    /// Memory that can probably be granted on an engine, if its owner has said
    /// so recently.
    pub fn known_headroom(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
    ) -> Option<TokenCount> {
        let row = self.rows.get(engine)?;
        let (row, summary) = row.recent(now)?;
        Some(summary.headroom.saturating_sub(row.pending))
    }

    /// Memory that can probably be granted on an engine. Of an engine that
    /// nothing is known of, half the memory is assumed.
    pub fn headroom(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
        view: &FleetView,
    ) -> TokenCount {
        if let Some(headroom) = self.known_headroom(now, engine) {
            return headroom;
        }
        let entry = view.upstreams.get(engine);
        let report = entry.and_then(|entry| entry.capability.as_deref());
        report.map_or(TokenCount::ZERO, |report| percent_of(report.memory, 50))
    }

    /// Candidates for a request, best first.
    pub fn choose(
        &self,
        now: Timestamp,
        need: &PlacementNeed,
        view: &FleetView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<UpstreamId> {
        let long = need.prompt > LONG_PROMPT;
        let indexed = self.long.get(need.model).map_or(&[][..], Vec::as_slice);
        let all = view.upstreams.serving(need.model);
        let mut found = Vec::new();
        if long {
            found = self.sample(need, indexed, view, rng, |_| true);
        } else {
            let short = |id: &UpstreamId| !self.takes_long(id);
            found.extend(self.sample(need, all, view, rng, short));
        }
        if found.is_empty() {
            found = self.sample(need, all, view, rng, |_| true);
        }
        let mut chosen = self.weighted(now, found, view, rng);
        self.add_affinity(need, long, view, &mut chosen);
        chosen.sort_by_cached_key(|id| self.rank(now, id, need, view));
        chosen
    }

    /// Whether an engine's owner says that it takes long prompts.
    pub fn takes_long(&self, engine: &UpstreamId) -> bool {
        let summary =
            self.rows.get(engine).and_then(|row| row.summary.as_ref());
        summary.is_some_and(|(summary, _)| summary.takes_long)
    }

    fn sample(
        &self,
        need: &PlacementNeed,
        engines: &[UpstreamId],
        view: &FleetView,
        rng: &mut ChaCha8Rng,
        wanted: impl Fn(&UpstreamId) -> bool,
    ) -> Vec<UpstreamId> {
        let usable = |id: &&UpstreamId| usable(id, need, view) && wanted(id);
        if engines.len() <= DRAWS / 2 {
            return engines.iter().filter(usable).cloned().collect();
        }
        let mut found: Vec<UpstreamId> = Vec::with_capacity(SAMPLES);
        for _ in 0..DRAWS {
            let id = &engines[rng.random_range(0..engines.len())];
            if !found.contains(id) && usable(&id) {
                found.push(id.clone());
            }
            if found.len() == SAMPLES {
                break;
            }
        }
        found
    }

    fn weighted(
        &self,
        now: Timestamp,
        found: Vec<UpstreamId>,
        view: &FleetView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<UpstreamId> {
        let mut weights: Vec<(UpstreamId, u64)> = found
            .into_iter()
            .map(|id| {
                let headroom = self.headroom(now, &id, view).get();
                (id, headroom.min(WEIGHT_MAX) + 1)
            })
            .collect();
        let mut chosen = Vec::with_capacity(CANDIDATES + 1);
        while chosen.len() < CANDIDATES && !weights.is_empty() {
            let sum: u64 = weights.iter().map(|(_, weight)| weight).sum();
            let mut draw = rng.random_range(0..sum);
            let at = weights.iter().position(|(_, weight)| {
                let hit = draw < *weight;
                draw = draw.saturating_sub(*weight);
                hit
            });
            let (id, _) = weights.swap_remove(at.unwrap_or(0));
            chosen.push(id);
        }
        chosen
    }

    fn add_affinity(
        &self,
        need: &PlacementNeed,
        long: bool,
        view: &FleetView,
        chosen: &mut Vec<UpstreamId>,
    ) {
        let Some((id, _)) = self.prefixes.get(&need.prefix) else {
            return;
        };
        let serving = view.upstreams.serving(need.model);
        let fits = usable(id, need, view)
            && self.takes_long(id) == long
            && serving.binary_search(id).is_ok();
        if fits && !chosen.contains(id) {
            chosen.push(id.clone());
        }
    }

    /// Sorts engines with room first, then by wait, then the own domain.
    fn rank(
        &self,
        now: Timestamp,
        id: &UpstreamId,
        need: &PlacementNeed,
        view: &FleetView,
    ) -> (bool, u128, bool, std::cmp::Reverse<TokenCount>) {
        let headroom = self.headroom(now, id, view);
        let row = self.rows.get(id).and_then(|row| row.recent(now));
        let mut wait = row.map_or(Duration::ZERO, |(_, known)| known.wait);
        let cached = self.prefixes.get(&need.prefix);
        if cached.is_some_and(|(engine, _)| engine == id) {
            wait = wait.saturating_sub(AFFINITY_WAIT);
        } else if cached.is_some() {
            wait = wait.saturating_add(Duration::from_millis(1));
        }
        let entry = view.upstreams.get(id);
        let remote = entry.is_none_or(|entry| entry.domain != *view.own_domain);
        let slots = row.is_none_or(|(_, known)| known.free_slots > 0);
        let full = headroom < need.tokens || !slots;
        let step = wait.as_millis().div_ceil(WAIT_STEP_MS);
        (full, step, remote, std::cmp::Reverse(headroom))
    }
}

impl CandidateRow {
    fn recent(&self, now: Timestamp) -> Option<(&Self, &EngineSummary)> {
        let (summary, seen) = self.summary.as_ref()?;
        (now.since(*seen) <= SUMMARY_MAX_AGE).then_some((self, summary))
    }
}

fn usable(id: &UpstreamId, need: &PlacementNeed, view: &FleetView) -> bool {
    let allowed = need.domains.is_none_or(|domains| {
        let entry = view.upstreams.get(id);
        entry.is_some_and(|entry| domains.contains(&entry.domain))
    });
    allowed && !need.tried.contains(id) && view.accepts_work(id)
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
