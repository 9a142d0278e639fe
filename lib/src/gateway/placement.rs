//! Which engines run a request.
//!
//! Reading a long prompt delays every request that writes on the same engine
//! by more than callers accept. Short requests are therefore packed onto as
//! few engines as carry them well, from one end of an order that all
//! instances share, and long prompts are prefill by engines from the other end,
//! in parts on several engines at once. The border moves with the number of
//! short requests, without messages. The load pattern that this answers is a
//! flood of short prompts that follows a flood of long ones, and the reverse.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    cost_model::EngineProfile,
    kv_split::{EngineCapacity, split_kv, usable_kv},
    load_table::{EngineShare, InFlightRequest, PrefillDemand, UpstreamLoad},
    upstream_table::TrackedUpstream,
};
use crate::{
    ids::{DomainId, UpstreamId},
    units::{Timestamp, TokenCount},
};

/// Reading time above which a prompt counts as long: with a decoding pass it
/// exceeds the shortest pause that callers of short requests accept.
pub const LONG_PREFILL_MIN: Duration = Duration::from_millis(180);
/// Short requests that one engine carries before another one is used.
const SHORT_PER_ENGINE: u32 = 12;
/// Long prompts whose answers one engine writes well.
const LONG_PER_ENGINE: u32 = 4;
/// Time in which the engines for long prompts should prefill what is before them.
const BACKLOG_TIME: Duration = Duration::from_millis(800);
/// Share of their time that engines for long prompts prefill.
const LONG_PREFILL_SHARE: f64 = 0.75;
/// Share of their time that engines for short requests prefill.
const SHORT_PREFILL_SHARE: f64 = 0.3;
/// Short requests with which an engine may still prefill long prompts.
const LONG_POOL_SHORT_MAX: u32 = 1;
/// Longest pass that callers of short requests do not notice.
const DECODE_PAUSE_MAX: Duration = Duration::from_millis(220);
/// Short requests that share an engine without noticing each other.
const SHORT_PER_SPARE_ENGINE: u32 = 3;
/// Engines for short requests besides those that the count asks for, so that
/// a burst within one report interval finds free.
const SHORT_SPARE: usize = 1;
/// Engines that are kept from short requests while others carry them.
const LONG_ENGINES_MIN: usize = 2;
/// Reading time of one part of a long prompt.
const SHARE_PREFILL: Duration = Duration::from_millis(250);
/// One of so many engines for long prompts writes their answers. Engines prefill
/// parts for others before their own prompts, so that an engine that answers
/// does not help.
const ENGINES_PER_DECODER: usize = 5;
/// Most helpers of one request.
const HELPERS_MAX: usize = 16;
/// Context that a short request is taken to have.
const SHORT_CONTEXT: TokenCount = TokenCount::new(5_000);
/// Cost of a candidate in another failure domain, against a tie.
const DOMAIN_COST: Duration = Duration::from_millis(2);

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Most tokens of the answer.
    pub output_max: TokenCount,
}

/// One engine that helps to prefill a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillHelper {
    /// Engine.
    pub upstream: UpstreamId,
    /// Memory to reserve there; zero if it only reads.
    pub reserve: TokenCount,
}

/// Engines for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Engine that answers.
    pub upstream: UpstreamId,
    /// Engines that help.
    pub helpers: Vec<PrefillHelper>,
    /// Its entry on the load board.
    pub in_flight: InFlightRequest,
    /// Time to the first event that the load suggests.
    pub expected: Duration,
    /// Mean prefill_left that its engines have before them.
    pub backlog: Duration,
}

/// Loads and candidates from which an upstream is chosen.
#[derive(Debug)]
pub struct PlacementInputs<'a> {
    /// Time of the decision.
    pub now: Timestamp,
    /// Failure domain of the instance.
    pub domain: &'a DomainId,
    /// Upstreams that may be chosen.
    pub candidates: Vec<&'a TrackedUpstream>,
    /// Load of the upstreams.
    pub loads: &'a BTreeMap<UpstreamId, UpstreamLoad>,
    /// Reading that prompts ask for.
    pub demand: PrefillDemand,
}

impl PlacementInputs<'_> {
    fn load(&self, candidate: &TrackedUpstream) -> UpstreamLoad {
        self.loads
            .get(&candidate.entry.id)
            .copied()
            .unwrap_or_default()
    }

    fn domain_cost(&self, candidate: &TrackedUpstream) -> Duration {
        if candidate.entry.domain == *self.domain {
            Duration::ZERO
        } else {
            DOMAIN_COST
        }
    }

    /// Chooses an upstream of a plain service: the one with the fewest
    /// requests.
    pub fn place_plain(&self, rng: &mut impl Rng) -> Option<Placement> {
        let candidate = self.candidates.iter().min_by_key(|candidate| {
            let load = self.load(candidate);
            (
                load.requests(),
                self.domain_cost(candidate),
                rng.random::<u32>(),
            )
        })?;
        Some(place_single(
            self.now,
            &candidate.entry.id,
            false,
            Duration::ZERO,
            None,
        ))
    }

    /// Chooses engines for a prompt.
    pub fn place_prompt(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        if engine.prefill_time(size.prompt) > LONG_PREFILL_MIN {
            self.place_long(engine, size)
        } else {
            self.place_short(engine, size, rng)
        }
    }

    /// Engines in the order in which short requests fill them.
    fn ordered(&self) -> Vec<&TrackedUpstream> {
        let mut candidates = self.candidates.clone();
        candidates.sort_by_key(|candidate| {
            xxh3_64(candidate.entry.id.as_str().as_bytes())
        });
        candidates
    }

    /// Engines at the short_pool of the order that are for short requests: all
    /// that long prompts leave, and as many as short requests need.
    fn short_pool_size(&self) -> usize {
        let loads: Vec<_> = self
            .candidates
            .iter()
            .map(|candidate| self.load(candidate))
            .collect();
        let long: u32 = loads.iter().map(|load| load.long).sum();
        let unfinished: Duration =
            loads.iter().map(UpstreamLoad::prefill_left).sum();
        let deferred = Duration::from_millis(self.demand.deferred_ms);
        let backlog =
            (unfinished + deferred).as_secs_f64() / BACKLOG_TIME.as_secs_f64();
        let arriving = self.demand.long_engines() / LONG_PREFILL_SHARE;
        let prefilling = backlog.max(arriving).ceil() as usize;
        let decoding = long.div_ceil(LONG_PER_ENGINE) as usize;
        let count = self.candidates.len();
        let most = count.saturating_sub(LONG_ENGINES_MIN).max(1);
        let spare = count.saturating_sub(prefilling + decoding);
        let short: u32 = loads.iter().map(|load| load.short).sum();
        let useful = (short + 1).div_ceil(SHORT_PER_SPARE_ENGINE) as usize;
        let useful = useful + SHORT_SPARE;
        self.short_pool_min().max(spare.min(useful)).min(most)
    }

    /// Engines at the short_pool of the order that short requests need.
    fn short_pool_min(&self) -> usize {
        let short: u32 = self
            .candidates
            .iter()
            .map(|candidate| self.load(candidate).short)
            .sum();
        let decoding = (short + 1).div_ceil(SHORT_PER_ENGINE) as usize;
        // A flood shows in what arrives before it shows in what runs.
        let arriving = self.demand.short_engines() / SHORT_PREFILL_SHARE;
        let needed = decoding.max(arriving.ceil() as usize);
        let most = self
            .candidates
            .len()
            .saturating_sub(LONG_ENGINES_MIN)
            .max(1);
        (needed + SHORT_SPARE).min(most)
    }

    fn place_short(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let candidates = self.ordered();
        let prefill = engine.prefill_time(size.prompt);
        let short_pool = self.short_pool_size();
        let ranked = candidates.iter().enumerate().map(|(rank, candidate)| {
            let load = self.load(candidate);
            let context = SHORT_CONTEXT.get() * u64::from(load.requests() + 1);
            let pass = engine
                .decode_pass(load.requests() + 1, TokenCount::new(context));
            let mut wait = load.prefill_left() + prefill + pass;
            if load.requests() > 0 {
                // A pass is under way.
                wait += pass / 2;
            }
            if load.requests() > 0
                && load.prefill_left() + prefill + pass > DECODE_PAUSE_MAX
            {
                // The pass would delay all that write there.
                wait += DECODE_PAUSE_MAX;
            }
            if load.requests() >= engine.slots {
                // The request waits for a place.
                wait += pass * (load.requests() + 1 - engine.slots);
            }
            // Beyond the short_pool, a place must save more than it disturbs.
            if rank >= short_pool {
                wait += LONG_PREFILL_MIN;
            }
            let spread = pass.mul_f64(0.25 * rng.random::<f64>());
            (
                wait + spread + self.domain_cost(candidate),
                wait,
                *candidate,
            )
        });
        let (_, wait, candidate) = ranked.min_by_key(|(cost, ..)| *cost)?;
        let tokens = size.prompt.saturating_add(size.output_max);
        let part = Some((prefill, tokens));
        let prefill_by =
            wait.min(self.load(candidate).prefill_left() + prefill);
        let mut placed = place_single(
            self.now,
            &candidate.entry.id,
            false,
            prefill_by,
            part,
        );
        placed.expected = wait;
        Some(placed)
    }

    /// Engines for long prompts: with few short requests, and beyond those
    /// that short requests need. The last of them answer, whatever the number.
    fn long_pool(&self) -> Vec<&TrackedUpstream> {
        let candidates = self.ordered();
        let short_pool = self.short_pool_min();
        let apart: Vec<_> = candidates
            .iter()
            .enumerate()
            .filter(|(rank, candidate)| {
                *rank >= short_pool
                    && self.load(candidate).short <= LONG_POOL_SHORT_MAX
            })
            .map(|(_, candidate)| *candidate)
            .collect();
        if !apart.is_empty() {
            return apart;
        }
        let behind = candidates.len().saturating_sub(short_pool).max(1);
        candidates.into_iter().rev().take(behind).rev().collect()
    }

    fn place_long(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
    ) -> Option<Placement> {
        let pool = self.long_pool();
        let prefill = engine.prefill_time(size.prompt);
        let parts = prefill.as_secs_f64() / SHARE_PREFILL.as_secs_f64();
        let wanted = (parts.ceil() as usize).clamp(1, HELPERS_MAX + 1);
        let capacity = usable_kv(engine.kv_capacity);
        let free = |candidate: &TrackedUpstream| {
            let used = TokenCount::new(self.load(candidate).tokens);
            capacity.saturating_sub(used)
        };
        let need = size.prompt.saturating_add(size.output_max);
        // Writers are kept together, so that most engines only prefill: a pass
        // with a writer costs the time of a whole stride.
        let decoders = pool.len().div_ceil(ENGINES_PER_DECODER).max(1);
        let first = pool
            .iter()
            .rev()
            .take(decoders)
            .filter(|candidate| free(candidate) >= need)
            .min_by_key(|candidate| self.load(candidate).prefill_left_ms)
            .or_else(|| pool.iter().max_by_key(|candidate| free(candidate)))?;
        let mut prefillers: Vec<_> = pool
            .iter()
            .take(pool.len() - decoders)
            .enumerate()
            .filter(|(_, candidate)| {
                candidate.entry.id != first.entry.id
                    && self.load(candidate).long_in_prefill == 0
            })
            .map(|(rank, candidate)| {
                ((self.load(candidate).prefill_left_ms, rank), *candidate)
            })
            .collect();
        prefillers.sort_by_key(|(key, _)| *key);
        let most = prefillers.len().min(HELPERS_MAX);
        let mut count = (wanted - 1).min(most);
        loop {
            let helpers: Vec<_> = prefillers
                .iter()
                .take(count)
                .map(|(_, candidate)| EngineCapacity {
                    upstream: candidate.entry.id.clone(),
                    free: free(candidate),
                })
                .collect();
            let held =
                split_kv(size.prompt, size.output_max, free(first), &helpers);
            if let Some(held) = held {
                let reserve = held
                    .into_iter()
                    .map(|part| (part.upstream, part.tokens))
                    .collect();
                return Some(
                    self.place_shared(engine, size, first, &helpers, &reserve),
                );
            }
            if count >= most {
                return None;
            }
            count += 1;
        }
    }

    fn place_shared(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        first: &TrackedUpstream,
        helpers: &[EngineCapacity],
        reserve: &BTreeMap<UpstreamId, TokenCount>,
    ) -> Placement {
        let count = helpers.len() as u32 + 1;
        let prefill = engine.prefill_time(size.prompt) / count;
        let held: TokenCount = reserve.values().copied().sum();
        let need = size.prompt.saturating_add(size.output_max);
        let mut longest = Duration::ZERO;
        let mut before = Duration::ZERO;
        let mut share = |upstream: &UpstreamId, tokens| {
            let load = self.loads.get(upstream).copied().unwrap_or_default();
            let done = load.prefill_left() + prefill;
            longest = longest.max(done);
            before += load.prefill_left();
            EngineShare {
                upstream: upstream.clone(),
                prefill,
                prefill_by: self.now.after(done),
                tokens,
            }
        };
        let own = need.saturating_sub(held);
        let mut shares = vec![share(&first.entry.id, own)];
        let mut named = Vec::new();
        for helper in helpers {
            let tokens =
                reserve.get(&helper.upstream).copied().unwrap_or_default();
            shares.push(share(&helper.upstream, tokens));
            named.push(PrefillHelper {
                upstream: helper.upstream.clone(),
                reserve: tokens,
            });
        }
        let decoders = self.load(first).requests() + 1;
        let expected = longest + engine.decode_pass(decoders, size.prompt);
        Placement {
            upstream: first.entry.id.clone(),
            helpers: named,
            in_flight: InFlightRequest {
                long: true,
                shares,
                in_prefill: true,
            },
            expected,
            backlog: before / count,
        }
    }
}

fn place_single(
    now: Timestamp,
    upstream: &UpstreamId,
    long: bool,
    prefill_by: Duration,
    part: Option<(Duration, TokenCount)>,
) -> Placement {
    let (prefill, tokens) = part.unwrap_or_default();
    Placement {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        in_flight: InFlightRequest {
            long,
            shares: vec![EngineShare {
                upstream: upstream.clone(),
                prefill,
                prefill_by: now.after(prefill_by),
                tokens,
            }],
            in_prefill: part.is_some(),
        },
        expected: prefill_by,
        backlog: Duration::ZERO,
    }
}
