//! Assignment of long prompts to a share of the engines.
//!
//! Segments of a long prefill delay decoding and the first token of short
//! requests on the same engine. Long prompts are therefore concentrated on a
//! share of the engines of each model and failure domain. The share is the
//! fraction of prefill tokens that belong to long prompts, with the tokens of
//! other prompts weighted so that the engines left to them are less busy. It
//! follows the arrivals at this instance: callers are spread over the
//! instances, so all measure nearly the same ratio without messages. Engines
//! are ranked by a hash of their ids. The owner decides for its engines and
//! publishes the decision in their summaries, so if instances measure different
//! shares, an engine may move but never belongs to both shares.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet_view::FleetView,
    ids::{DomainId, ModelName, UpstreamId},
    owner::LONG_PROMPT,
    units::{Timestamp, TokenCount},
};

/// Time after which the weight of an arrival has halved.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Weight of the prefill tokens of prompts that are not long. With a weight of
/// 1, engines for short prompts were as busy as those for long ones, and the
/// first token of short prompts took 1.8 times as long as without long prompts
/// at 70 % load.
const SHORT_WEIGHT: f64 = 3.0;
/// Maximum number of models with measured demand.
const MODELS_MAX: usize = 1024;
/// Ranks by which an engine must be beyond the share before it leaves the
/// share. Prevents engines from moving to and fro with noise in the demand.
const RANK_HYSTERESIS: usize = 1;

/// Prefill tokens of one model, weighted and decayed up to `updated_at`.
#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    long: f64,
    all: f64,
    updated_at: Timestamp,
}

/// Demand of long and other prompts for each model, in prefill tokens.
#[derive(Clone, Debug, Default)]
pub struct LongPromptShare {
    models: BTreeMap<ModelName, ModelDemand>,
}

impl LongPromptShare {
    /// A share without measured demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an arrival.
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
        let age = now.since(demand.updated_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        let tokens = prompt.get() as f64;
        let (long, all) = if prompt > LONG_PROMPT {
            (tokens, tokens)
        } else {
            (0.0, tokens * SHORT_WEIGHT)
        };
        demand.long = demand.long * decay + long;
        demand.all = demand.all * decay + all;
        demand.updated_at = demand.updated_at.max(now);
    }

    /// Fraction of a model's weighted prefill tokens that belong to long
    /// prompts.
    pub fn share(&self, model: &ModelName) -> f64 {
        let demand = self.models.get(model).copied().unwrap_or_default();
        if demand.all <= 0.0 {
            return 0.0;
        }
        (demand.long / demand.all).clamp(0.0, 1.0)
    }

    /// Number of engines out of `count` that take long prompts: at least one,
    /// and at most all but one unless there is only one.
    pub fn engines(&self, model: &ModelName, count: usize) -> usize {
        let wanted = (self.share(model) * count as f64).round() as usize;
        wanted.clamp(1, count.saturating_sub(1).max(1))
    }
}

/// Ranking of the engines of each model and failure domain.
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

    /// Whether an engine takes long prompts of a model. `taking` says whether
    /// it does so now.
    pub fn takes_long(
        &self,
        share: &LongPromptShare,
        model: &ModelName,
        domain: &DomainId,
        engine: &UpstreamId,
        takes_long_now: bool,
    ) -> bool {
        let key = (model.clone(), domain.clone());
        let Some(hashes) = self.hashes.get(&key) else {
            return false;
        };
        let hash = engine_hash(engine);
        let rank = hashes.partition_point(|other| *other < hash);
        let engines = share.engines(model, hashes.len());
        let long_engines_max = hashes.len().saturating_sub(1).max(1);
        let margin = if takes_long_now { RANK_HYSTERESIS } else { 0 };
        rank < (engines + margin).min(long_engines_max)
    }
}

fn engine_hash(id: &UpstreamId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}
