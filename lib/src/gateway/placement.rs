//! Chooses the engines that run a request.
//!
//! Prefill of a long prompt delays every request that decodes on the same
//! engine by more than callers accept. Short requests are therefore packed
//! onto as few engines as serve them well, starting at the front of an order
//! that all instances share. Long prompts use the engines at the back, several
//! at once, each with a share of the prompt. The border between the two pools
//! follows the number of short requests, and needs no coordination between
//! instances. The scheme is made for floods of short prompts and floods of
//! long ones in turn.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    cost_model::EngineProfile,
    engine_choice::{EvenChoice, ShortCandidate},
    engine_limits::EngineLimits,
    kv_split::{EngineCapacity, split_kv, usable_kv},
    load_table::{
        EngineShare, InFlightRequest, PrefillDemand, UpstreamLoad,
        saturating_sum,
    },
    upstream_table::TrackedUpstream,
};
use crate::{
    ids::{DomainId, UpstreamId},
    units::{Timestamp, TokenCount},
};

/// Long prompts whose answers one engine decodes at an acceptable speed.
const LONG_PER_ENGINE: u32 = 4;
/// Time in which the long pool should complete the prefill work that waits.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_millis(800);
/// Share of time that engines of the long pool spend on prefill.
const LONG_PREFILL_SHARE: f64 = 0.75;
/// Share of time that engines of the short pool spend on prefill.
const SHORT_PREFILL_SHARE: f64 = 0.3;
/// Most short requests on an engine of the long pool.
const LONG_POOL_SHORT_MAX: u32 = 1;
/// Short requests that share an engine without a noticeable delay, while
/// engines are spare.
const SHORT_PER_SPARE_ENGINE: u32 = 3;
/// Engines of the short pool beyond those that the number of short requests
/// needs, so that a burst within one report interval finds free slots.
const SHORT_SPARE: usize = 1;
/// Engines kept out of the short pool as long as another engine remains for
/// it.
const LONG_ENGINES_MIN: usize = 2;
/// One in this many engines of the long pool decodes the answers. Engines
/// prefill shares for others before their own prompts, so that an engine that
/// answers must not help others.
const ENGINES_PER_DECODER: usize = 5;
/// Time after which a placement is known to all other instances.
const VIEW_AGE: Duration = Duration::from_millis(30);
/// Fewest engines among which a short request chooses.
const ENGINES_CONSIDERED_MIN: usize = 4;
/// Most helpers of one request.
const HELPERS_MAX: usize = 16;
/// Cost of a candidate in another failure domain, so that among about equal
/// candidates one of the instance's own domain is chosen.
const DOMAIN_COST: Duration = Duration::from_millis(2);

/// Token counts of a prompt and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Most tokens of the answer.
    pub output_max: TokenCount,
}

/// An engine that prefills a share of the prompt for the engine that answers.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillHelper {
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// KV cache to reserve on the engine, in tokens; zero if it only prefills.
    pub kv_reservation: TokenCount,
}

/// Engines chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Id of the upstream that answers.
    pub upstream: UpstreamId,
    /// Engines that help with the prefill.
    pub helpers: Vec<PrefillHelper>,
    /// Entry to add to the load table.
    pub in_flight: InFlightRequest,
    /// Predicted time from now to the first event.
    pub time_to_first_event: Duration,
    /// Mean prefill time left on the chosen engines.
    pub backlog: Duration,
}

/// Candidates and load on which a placement is based.
#[derive(Debug)]
pub struct PlacementInputs<'a> {
    /// Time of the decision.
    pub now: Timestamp,
    /// Failure domain of this instance.
    pub domain: &'a DomainId,
    /// Upstreams that may be chosen.
    pub candidates: Vec<&'a TrackedUpstream>,
    /// Candidates that must not get a request now; engines among them may
    /// prefill shares of prompts that others answer.
    pub helpers_only: BTreeSet<UpstreamId>,
    /// Load of each upstream; one without an entry has no load.
    pub loads: &'a BTreeMap<UpstreamId, UpstreamLoad>,
    /// Prefill demand of the callers of all instances.
    pub demand: PrefillDemand,
    /// Limits on the load of each candidate, if they are engines.
    pub limits: EngineLimits,
    /// How an engine for a short prompt is chosen if there are many instances
    /// for each engine; `None` if there are not.
    pub even_choice: Option<EvenChoice<'a>>,
}

impl PlacementInputs<'_> {
    /// Load of a candidate; zero if none is recorded.
    fn load(&self, candidate: &TrackedUpstream) -> UpstreamLoad {
        self.loads
            .get(&candidate.entry.id)
            .copied()
            .unwrap_or_default()
    }

    /// Whether a candidate may get a request now.
    fn may_answer(&self, candidate: &TrackedUpstream) -> bool {
        !self.helpers_only.contains(&candidate.entry.id)
    }

    fn domain_cost(&self, candidate: &TrackedUpstream) -> Duration {
        if candidate.entry.domain == *self.domain {
            Duration::ZERO
        } else {
            DOMAIN_COST
        }
    }

    /// Chooses an upstream for a request without prompt size: the one with the
    /// fewest requests in flight. `None` if there are no candidates.
    pub fn place_plain(&self, rng: &mut impl Rng) -> Option<Placement> {
        let open = self.candidates.iter().filter(|it| self.may_answer(it));
        let candidate = open.min_by_key(|candidate| {
            let load = self.load(candidate);
            (
                load.requests(),
                self.domain_cost(candidate),
                rng.random::<u32>(),
            )
        })?;
        Some(single_placement(
            self.now,
            &candidate.entry.id,
            false,
            Duration::ZERO,
            None,
        ))
    }

    /// Chooses engines for a prompt. `None` if there are no candidates or, for
    /// a long prompt, if their free KV cache does not suffice.
    pub fn place_prompt(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        if engine.prefill_time(size.prompt) > self.limits.long_prefill_min {
            self.place_long(engine, size)
        } else {
            self.place_short(engine, size, rng)
        }
    }

    /// Candidates in the order in which short requests fill them.
    fn ordered(&self) -> Vec<&TrackedUpstream> {
        let mut candidates = self.candidates.clone();
        candidates.sort_by_cached_key(|candidate| {
            xxh3_64(candidate.entry.id.as_str().as_bytes())
        });
        candidates
    }

    /// Number of engines at the front of the order that short requests may
    /// use: those that long prompts leave free, as far as short requests
    /// benefit from them, and at least [`Self::short_pool_min`].
    fn short_pool_size(&self) -> usize {
        let loads: Vec<_> = self
            .candidates
            .iter()
            .map(|candidate| self.load(candidate))
            .collect();
        let long = saturating_sum(loads.iter().map(|load| load.long));
        let unfinished: Duration =
            loads.iter().map(UpstreamLoad::prefill_left).sum();
        let deferred = Duration::from_millis(self.demand.deferred_ms);
        let backlog = (unfinished + deferred).as_secs_f64()
            / BACKLOG_DRAIN_TIME.as_secs_f64();
        let arriving = self.demand.long_engines() / LONG_PREFILL_SHARE;
        let prefilling = backlog.max(arriving).ceil() as usize;
        let decoding = long.div_ceil(LONG_PER_ENGINE) as usize;
        let count = self.candidates.len();
        let max_count = count.saturating_sub(LONG_ENGINES_MIN).max(1);
        let spare = count.saturating_sub(prefilling.saturating_add(decoding));
        let short = saturating_sum(loads.iter().map(|load| load.short));
        let useful =
            short.saturating_add(1).div_ceil(SHORT_PER_SPARE_ENGINE) as usize;
        let useful = useful.saturating_add(SHORT_SPARE);
        self.short_pool_min().max(spare.min(useful)).min(max_count)
    }

    /// Number of engines at the front of the order that short requests need.
    fn short_pool_min(&self) -> usize {
        let candidates = self.candidates.iter();
        let short = saturating_sum(
            candidates.map(|candidate| self.load(candidate).short),
        );
        let decoding =
            short.saturating_add(1).div_ceil(self.limits.short_requests)
                as usize;
        // A flood appears in the arrivals before it appears in the requests in
        // flight.
        let arriving = self.demand.short_engines() / SHORT_PREFILL_SHARE;
        let needed = decoding.max(arriving.ceil() as usize);
        let max_count = self
            .candidates
            .len()
            .saturating_sub(LONG_ENGINES_MIN)
            .max(1);
        needed.saturating_add(SHORT_SPARE).min(max_count)
    }

    /// Chooses the engine with the shortest predicted time to the first event,
    /// with extra cost for delays to other requests and for leaving the short
    /// pool.
    fn place_short(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let prefill = engine.prefill_time(size.prompt);
        let (wait, candidate) = match &self.even_choice {
            Some(choice) => self.choose_even(choice, engine, prefill, rng),
            None => self.choose_sampled(engine, prefill, rng),
        }?;
        let tokens = size.prompt.saturating_add(size.output_max);
        let prompt_cost = Some((prefill, tokens));
        let prefill_left =
            wait.min(self.load(candidate).prefill_left() + prefill);
        let mut placement = single_placement(
            self.now,
            &candidate.entry.id,
            false,
            prefill_left,
            prompt_cost,
        );
        placement.time_to_first_event = wait;
        Some(placement)
    }

    /// Chooses from a random part of the engines. Returns the engine with the
    /// predicted time to the first event.
    fn choose_sampled(
        &self,
        engine: &EngineProfile,
        prefill: Duration,
        rng: &mut impl Rng,
    ) -> Option<(Duration, &TrackedUpstream)> {
        let candidates = self.short_candidates();
        let considered =
            self.considered_engines(self.candidates.len(), prefill);
        let sample = candidates.into_iter().choose_multiple(rng, considered);
        let (_, wait, candidate) =
            self.cheapest(engine, prefill, sample, rng)?;
        Some((wait, candidate))
    }

    /// Chooses between the engines whose turn it is. If the view shows no free
    /// slot on the better one, some others are considered as well. Returns the
    /// engine with the predicted time to the first event.
    fn choose_even(
        &self,
        choice: &EvenChoice<'_>,
        engine: &EngineProfile,
        prefill: Duration,
        rng: &mut impl Rng,
    ) -> Option<(Duration, &TrackedUpstream)> {
        let candidates = self.short_candidates();
        let pool_size = candidates.partition_point(|it| it.in_short_pool);
        let turn = choice.turn(&candidates[..pool_size], rng);
        let first = self.cheapest(engine, prefill, turn, rng);
        let has_free_slot = |upstream: &TrackedUpstream| {
            self.load(upstream).requests() < engine.slots
        };
        let best = match first {
            Some(first) if has_free_slot(first.2) => first,
            first => {
                let others = choice.others(&candidates, rng);
                let other = self.cheapest(engine, prefill, others, rng);
                let both = first.into_iter().chain(other);
                both.min_by_key(|(cost, ..)| *cost)?
            }
        };
        let (_, wait, candidate) = best;
        Some((wait, candidate))
    }

    /// Engines that may get a short request, in their order.
    fn short_candidates(&self) -> Vec<ShortCandidate<'_>> {
        let short_pool = self.short_pool_size();
        let ordered = self.ordered().into_iter().enumerate();
        ordered
            .map(|(rank, upstream)| ShortCandidate {
                upstream,
                in_short_pool: rank < short_pool,
            })
            .filter(|candidate| self.may_answer(candidate.upstream))
            .collect()
    }

    /// Engine with the least cost for a short request: the predicted time to
    /// the first event, with a random part that spreads the requests over
    /// about equal engines. Returns cost and predicted time with it.
    fn cheapest<'b>(
        &self,
        engine: &EngineProfile,
        prefill: Duration,
        considered: Vec<ShortCandidate<'b>>,
        rng: &mut impl Rng,
    ) -> Option<(Duration, Duration, &'b TrackedUpstream)> {
        let ranked = considered.into_iter().map(|candidate| {
            let upstream = candidate.upstream;
            let in_pool = candidate.in_short_pool;
            let wait = self.short_wait(engine, prefill, upstream, in_pool);
            let spread = prefill.mul_f64(rng.random::<f64>());
            let cost = wait + spread + self.domain_cost(upstream);
            (cost, wait, upstream)
        });
        ranked.min_by_key(|(cost, ..)| *cost)
    }

    /// Predicted time to the first event of a short request on an engine, with
    /// extra time for the delays that it causes to others there.
    fn short_wait(
        &self,
        engine: &EngineProfile,
        prefill: Duration,
        candidate: &TrackedUpstream,
        in_short_pool: bool,
    ) -> Duration {
        let load = self.load(candidate);
        let context = TokenCount::new(load.kv_tokens);
        let pass =
            engine.decode_pass(load.requests().saturating_add(1), context);
        let mut wait = load.prefill_left() + prefill + pass;
        if load.requests() > 0 {
            // The current pass has to end first.
            wait += pass / 2;
        }
        if load.requests() > 0
            && load.prefill_left() + prefill + pass > self.limits.pass_max
        {
            // The pass would delay all requests that decode on the engine.
            wait += self.limits.pass_max;
        }
        if load.requests() >= engine.slots {
            // The request has to wait for a free slot, which is worse than an
            // engine outside the short pool with free slots.
            wait += self.limits.long_prefill_min;
            wait += pass * (load.requests() - engine.slots).saturating_add(1);
        }
        if !in_short_pool {
            // An engine outside the short pool is worth it only if it saves
            // more time than the long prompts on it lose.
            wait += self.limits.long_prefill_min;
        }
        wait
    }

    /// Number of engines, of `count`, among which a short request with this
    /// prefill time chooses.
    ///
    /// Other instances place requests before they know of this one. If all
    /// considered all engines, all would choose the same one, so each considers
    /// a random part: that of one placement in those that are made within
    /// [`VIEW_AGE`].
    fn considered_engines(&self, count: usize, prefill: Duration) -> usize {
        let per_request = prefill.as_secs_f64().max(1e-3);
        let arrivals = self.demand.short_engines() / per_request;
        let concurrent = 1.0 + arrivals * VIEW_AGE.as_secs_f64();
        let considered = (count as f64 / concurrent).ceil() as usize;
        considered.clamp(ENGINES_CONSIDERED_MIN.min(count), count)
    }

    /// Engines for long prompts: those behind the short pool with few short
    /// requests or, if there are none, all engines behind it and at least the
    /// last one. The engines at the end of the order decode the answers,
    /// whatever the pool's size.
    fn long_pool(&self) -> Vec<&TrackedUpstream> {
        let candidates = self.ordered();
        let short_pool = self.short_pool_min();
        let pool: Vec<_> = candidates
            .iter()
            .enumerate()
            .filter(|(rank, candidate)| {
                *rank >= short_pool
                    && self.load(candidate).short <= LONG_POOL_SHORT_MAX
            })
            .map(|(_, candidate)| *candidate)
            .collect();
        if !pool.is_empty() {
            return pool;
        }
        let behind = candidates.len().saturating_sub(short_pool).max(1);
        candidates.into_iter().rev().take(behind).rev().collect()
    }

    /// Chooses the engine that answers a long prompt, and helpers for its
    /// prefill: as many as shares of about [`EngineLimits::share_prefill`] need, and
    /// more if the KV cache does not fit otherwise. If the helpers have too
    /// little free KV cache, the other engines of the pool help as well.
    fn place_long(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
    ) -> Option<Placement> {
        let pool = self.long_pool();
        let need = size.prompt.saturating_add(size.output_max);
        let capacity = usable_kv(engine.kv_capacity);
        // Answers are decoded on few engines, so that most engines only
        // prefill: a pass with a decoding request takes the time of all its
        // decode steps.
        let decoders = pool.len().div_ceil(ENGINES_PER_DECODER).max(1);
        let open = pool.iter().filter(|it| self.may_answer(it));
        let roomiest = open
            .max_by_key(|it| self.free_kv(it, capacity))
            .copied()
            .or_else(|| {
                let others = self.candidates.iter().copied();
                let open = others.filter(|it| self.may_answer(it));
                open.max_by_key(|it| self.free_kv(it, capacity))
            })?;
        let answering = pool
            .iter()
            .rev()
            .take(decoders)
            .filter(|candidate| {
                self.may_answer(candidate)
                    && self.free_kv(candidate, capacity) >= need
            })
            .min_by_key(|candidate| self.load(candidate).prefill_left_ms)
            .map_or(roomiest, |candidate| *candidate);
        let prefillers = pool[..pool.len() - decoders].iter().copied();
        let prefillers = prefillers
            .filter(|candidate| self.load(candidate).long_in_prefill == 0);
        let prefillers = self.by_prefill_left(prefillers, answering);
        self.place_shares(engine, size, answering, &prefillers)
            .or_else(|| {
                let others = pool.iter().copied();
                let others = self.by_prefill_left(others, roomiest);
                self.place_shares(engine, size, roomiest, &others)
            })
    }

    /// KV cache of an engine that no request uses, of the `capacity` that long
    /// prompts may use.
    fn free_kv(
        &self,
        candidate: &TrackedUpstream,
        capacity: TokenCount,
    ) -> TokenCount {
        let used = TokenCount::new(self.load(candidate).kv_tokens);
        capacity.saturating_sub(used)
    }

    /// Engines other than `answering`, those with the least prefill left
    /// first.
    fn by_prefill_left<'b>(
        &self,
        engines: impl Iterator<Item = &'b TrackedUpstream>,
        answering: &TrackedUpstream,
    ) -> Vec<&'b TrackedUpstream> {
        let mut engines: Vec<_> = engines
            .filter(|candidate| candidate.entry.id != answering.entry.id)
            .collect();
        engines.sort_by_key(|candidate| self.load(candidate).prefill_left_ms);
        engines
    }

    /// Places a long prompt on `answering` and the first of `prefillers`.
    /// `None` if their free KV cache does not suffice.
    fn place_shares(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        answering: &TrackedUpstream,
        prefillers: &[&TrackedUpstream],
    ) -> Option<Placement> {
        let capacity = usable_kv(engine.kv_capacity);
        let prefill = engine.prefill_time(size.prompt);
        let share_count =
            prefill.as_secs_f64() / self.limits.share_prefill.as_secs_f64();
        let wanted = (share_count.ceil() as usize).clamp(1, HELPERS_MAX + 1);
        let max_count = prefillers.len().min(HELPERS_MAX);
        let min_count = (wanted - 1).min(max_count);
        (min_count..=max_count).find_map(|count| {
            let helpers: Vec<_> = prefillers[..count]
                .iter()
                .map(|candidate| EngineCapacity {
                    upstream: candidate.entry.id.clone(),
                    free: self.free_kv(candidate, capacity),
                })
                .collect();
            let reservations = split_kv(
                size.prompt,
                size.output_max,
                self.free_kv(answering, capacity),
                &helpers,
            )?;
            let kv_reservations = reservations
                .into_iter()
                .map(|reservation| (reservation.upstream, reservation.tokens))
                .collect();
            Some(self.shared_placement(
                engine,
                size,
                answering,
                &helpers,
                &kv_reservations,
            ))
        })
    }

    /// Placement on the answering engine and its helpers, each with an equal
    /// share of the prefill.
    fn shared_placement(
        &self,
        engine: &EngineProfile,
        size: PromptSize,
        answering: &TrackedUpstream,
        helpers: &[EngineCapacity],
        kv_reservations: &BTreeMap<UpstreamId, TokenCount>,
    ) -> Placement {
        let count = helpers.len() as u32 + 1;
        let prefill = engine.prefill_time(size.prompt) / count;
        let reserved: TokenCount = kv_reservations.values().copied().sum();
        let need = size.prompt.saturating_add(size.output_max);
        let mut longest = Duration::ZERO;
        let mut total_backlog = Duration::ZERO;
        let mut share = |upstream: &UpstreamId, tokens| {
            let load = self.loads.get(upstream).copied().unwrap_or_default();
            let done = load.prefill_left() + prefill;
            longest = longest.max(done);
            total_backlog += load.prefill_left();
            EngineShare {
                upstream: upstream.clone(),
                prefill,
                prefill_by: self.now.after(done),
                kv_tokens: tokens,
            }
        };
        let own = need.saturating_sub(reserved);
        let mut shares = vec![share(&answering.entry.id, own)];
        let mut prefill_helpers = Vec::new();
        for helper in helpers {
            let tokens = kv_reservations
                .get(&helper.upstream)
                .copied()
                .unwrap_or_default();
            shares.push(share(&helper.upstream, tokens));
            prefill_helpers.push(PrefillHelper {
                upstream: helper.upstream.clone(),
                kv_reservation: tokens,
            });
        }
        let decoders = self.load(answering).requests().saturating_add(1);
        let expected = longest + engine.decode_pass(decoders, size.prompt);
        Placement {
            upstream: answering.entry.id.clone(),
            helpers: prefill_helpers,
            in_flight: InFlightRequest {
                long: true,
                shares,
                in_prefill: true,
            },
            time_to_first_event: expected,
            backlog: total_backlog / count,
        }
    }
}

/// Shortest time in which engines can prefill a prompt together, given its
/// prefill time on one of them.
pub fn shared_prefill_min(prefill: Duration) -> Duration {
    prefill / (HELPERS_MAX as u32 + 1)
}

/// Placement on one upstream. `prompt_cost` holds the prefill time and the KV
/// cache in tokens; `None` for a request without prompt size.
fn single_placement(
    now: Timestamp,
    upstream: &UpstreamId,
    long: bool,
    prefill_left: Duration,
    prompt_cost: Option<(Duration, TokenCount)>,
) -> Placement {
    let (prefill, tokens) = prompt_cost.unwrap_or_default();
    Placement {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        in_flight: InFlightRequest {
            long,
            shares: vec![EngineShare {
                upstream: upstream.clone(),
                prefill,
                prefill_by: now.after(prefill_left),
                kv_tokens: tokens,
            }],
            in_prefill: prompt_cost.is_some(),
        },
        time_to_first_event: prefill_left,
        backlog: Duration::ZERO,
    }
}
