//! Which engines take long prompts.
//!
//! Chunks of a long prefill slow decoding and the first token of short
//! requests on the same engine, so long prompts are packed onto a share of the
//! engines of each model and failure domain. The share is the part of the
//! prefill tokens that long prompts make up, with the tokens of other prompts
//! weighted so that the engines left to them are less busy. It follows this
//! instance's own arrivals: callers spread over the instances, so all see nearly the same
//! ratio without exchanging anything. The engines come in the order of a hash
//! of their ids. The owner's decision for its engines is published in their
//! summaries and is the one that counts, so a difference between instances
//! moves an engine but never leaves it in both shares.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet_view::FleetView,
    ids::{DomainId, ModelName, UpstreamId},
    owner::LONG_PROMPT,
    units::{Timestamp, TokenCount},
};

/// Time after which an arrival counts half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Weight of the prefill tokens of prompts that are not long. Without it, short
/// prompts got engines as busy as the long ones, and their first token took 1.8
/// times as long as without long prompts at 70 % load.
const SHORT_WEIGHT: f64 = 3.0;
/// Most models whose demand is remembered.
const MODELS_MAX: usize = 1024;
/// Engines by which a rank must exceed the share before an engine leaves it,
/// so that noise in the demand does not move engines to and fro.
const RANK_MARGIN: usize = 1;

#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    long: f64,
    all: f64,
    at: Timestamp,
}

/// Demand in prefill tokens per model.
#[derive(Clone, Debug, Default)]
pub struct LongPromptShare {
    models: BTreeMap<ModelName, ModelDemand>,
}

impl LongPromptShare {
    /// A share without any demand seen.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an arrival in.
    pub fn observe(
        &mut self,
        now: Timestamp,
        model: &ModelName,
        prompt: TokenCount,
    ) {
        if !self.models.contains_key(model) {
            if self.models.len() >= MODELS_MAX {
                return;
            }
            self.models.insert(model.clone(), ModelDemand::default());
        }
        let demand = self.models.get_mut(model).expect("inserted above");
        let age = now.since(demand.at).as_secs_f64();
        let decay = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        let tokens = prompt.get() as f64;
        let (long, all) = if prompt > LONG_PROMPT {
            (tokens, tokens)
        } else {
            (0.0, tokens * SHORT_WEIGHT)
        };
        demand.long = demand.long * decay + long;
        demand.all = demand.all * decay + all;
        demand.at = demand.at.max(now);
    }

    /// Part of a model's weighted prefill tokens that long prompts make up.
    pub fn share(&self, model: &ModelName) -> f64 {
        let demand = self.models.get(model).copied().unwrap_or_default();
        if demand.all <= 0.0 {
            return 0.0;
        }
        (demand.long / demand.all).clamp(0.0, 1.0)
    }

    /// Number of engines out of `count` that take long prompts: at least one,
    /// and all but one at most, unless there is only one.
    pub fn engines(&self, model: &ModelName, count: usize) -> usize {
        let wanted = (self.share(model) * count as f64).round() as usize;
        wanted.clamp(1, count.saturating_sub(1).max(1))
    }
}

/// Order of the engines of each model and domain.
#[derive(Clone, Debug, Default)]
pub struct LongPromptRanking {
    hashes: BTreeMap<(ModelName, DomainId), Vec<u64>>,
}

impl LongPromptRanking {
    /// Ranks the engines that accept work and serve one of the models.
    pub fn new<'a>(
        models: impl Iterator<Item = &'a ModelName>,
        view: &FleetView,
    ) -> Self {
        let mut hashes: BTreeMap<_, Vec<u64>> = BTreeMap::new();
        for model in models {
            for id in view.upstreams.serving(model) {
                let Some(entry) = view.upstreams.get(id) else {
                    continue;
                };
                if view.accepts_work(id) {
                    let key = (model.clone(), entry.domain.clone());
                    hashes.entry(key).or_default().push(engine_hash(id));
                }
            }
        }
        hashes.values_mut().for_each(|list| list.sort_unstable());
        Self { hashes }
    }

    /// Whether an engine is in the long share of a model.
    pub fn takes_long(
        &self,
        share: &LongPromptShare,
        model: &ModelName,
        domain: &DomainId,
        engine: &UpstreamId,
        taking: bool,
    ) -> bool {
        let key = (model.clone(), domain.clone());
        let Some(hashes) = self.hashes.get(&key) else {
            return false;
        };
        let hash = engine_hash(engine);
        let rank = hashes.partition_point(|other| *other < hash);
        let engines = share.engines(model, hashes.len());
        let last = hashes.len().saturating_sub(1).max(1);
        let margin = if taking { RANK_MARGIN } else { 0 };
        rank < (engines + margin).min(last)
    }
}

fn engine_hash(id: &UpstreamId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
