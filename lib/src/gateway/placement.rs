//! Which engines run a request.
//!
//! Reading a long prompt delays every request that writes on the same engine
//! by more than callers accept. Short requests are therefore packed onto as
//! few engines as carry them well, from one end of an order that all
//! instances share, and long prompts are read by engines from the other end,
//! in parts on several engines at once. The border moves with the number of
//! short requests, without messages. The load pattern that this answers is a
//! flood of short prompts that follows a flood of long ones, and the reverse.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    cost_model::EngineModel,
    load_board::{FlightEntry, FlightPart, ReadDemand, UpstreamLoad},
    memory_plan::{EngineRoom, divide, usable},
    upstream_table::UpstreamRow,
};
use crate::{
    ids::{DomainId, UpstreamId},
    units::{Timestamp, TokenCount},
};

/// Reading time above which a prompt counts as long: with a writing pass it
/// exceeds the shortest pause that callers of short requests accept.
pub const LONG_READ: Duration = Duration::from_millis(180);
/// Short requests that one engine carries before another one is used.
const SHORT_PER_ENGINE: u32 = 12;
/// Long prompts whose answers one engine writes well.
const LONG_PER_ENGINE: u32 = 4;
/// Time in which the engines for long prompts should read what is before them.
const BACKLOG_TIME: Duration = Duration::from_millis(800);
/// Share of their time that engines for long prompts read.
const LONG_USE: f64 = 0.75;
/// Share of their time that engines for short requests read.
const SHORT_USE: f64 = 0.3;
/// Short requests with which an engine may still read long prompts.
const SHORT_LEFT: u32 = 1;
/// Longest pass that callers of short requests do not notice.
const PAUSE_MAX: Duration = Duration::from_millis(220);
/// Short requests that share an engine without noticing each other.
const SHORT_TOGETHER: u32 = 3;
/// Engines for short requests besides those that the count asks for, so that
/// a burst within one report interval finds room.
const SHORT_SPARE: usize = 1;
/// Engines that are kept from short requests while others carry them.
const LONG_RESERVE: usize = 2;
/// Reading time of one part of a long prompt.
const PART_READ: Duration = Duration::from_millis(250);
/// One of so many engines for long prompts writes their answers. Engines read
/// parts for others before their own prompts, so that an engine that answers
/// does not help.
const WRITER_SHARE: usize = 5;
/// Most helpers of one request.
const HELPERS_MAX: usize = 16;
/// Context that a short request is taken to have.
const SHORT_CONTEXT: TokenCount = TokenCount::new(5_000);
/// Cost of a candidate in another failure domain, against a tie.
const DOMAIN_COST: Duration = Duration::from_millis(2);

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptWork {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Most tokens of the answer.
    pub output: TokenCount,
}

/// One engine that helps to read a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct HelperPart {
    /// Engine.
    pub upstream: UpstreamId,
    /// Memory to reserve there; zero if it only reads.
    pub reserve: TokenCount,
}

/// Engines for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRequest {
    /// Engine that answers.
    pub upstream: UpstreamId,
    /// Engines that help.
    pub helpers: Vec<HelperPart>,
    /// Its entry on the load board.
    pub flight: FlightEntry,
    /// Time to the first event that the load suggests.
    pub expected: Duration,
    /// Mean reading that its engines have before them.
    pub backlog: Duration,
}

/// Loads and rows from which an upstream is chosen.
#[derive(Debug)]
pub struct PlacementView<'a> {
    /// Time of the decision.
    pub now: Timestamp,
    /// Failure domain of the instance.
    pub domain: &'a DomainId,
    /// Upstreams that may be chosen.
    pub rows: Vec<&'a UpstreamRow>,
    /// Load of the upstreams.
    pub loads: &'a BTreeMap<UpstreamId, UpstreamLoad>,
    /// Reading that prompts ask for.
    pub demand: ReadDemand,
}

impl PlacementView<'_> {
    fn load(&self, row: &UpstreamRow) -> UpstreamLoad {
        self.loads.get(&row.entry.id).copied().unwrap_or_default()
    }

    fn distance(&self, row: &UpstreamRow) -> Duration {
        if row.entry.domain == *self.domain {
            Duration::ZERO
        } else {
            DOMAIN_COST
        }
    }

    /// Chooses an upstream of a plain service: the one with the fewest
    /// requests.
    pub fn place_call(&self, rng: &mut impl Rng) -> Option<PlacedRequest> {
        let row = self.rows.iter().min_by_key(|row| {
            let load = self.load(row);
            (load.requests(), self.distance(row), rng.random::<u32>())
        })?;
        Some(single(self.now, &row.entry.id, false, Duration::ZERO, None))
    }

    /// Chooses engines for a prompt.
    pub fn place_prompt(
        &self,
        engine: &EngineModel,
        work: PromptWork,
        rng: &mut impl Rng,
    ) -> Option<PlacedRequest> {
        if engine.read_time(work.prompt) > LONG_READ {
            self.place_long(engine, work)
        } else {
            self.place_short(engine, work, rng)
        }
    }

    /// Engines in the order in which short requests fill them.
    fn ordered(&self) -> Vec<&UpstreamRow> {
        let mut rows = self.rows.clone();
        rows.sort_by_key(|row| xxh3_64(row.entry.id.as_str().as_bytes()));
        rows
    }

    /// Engines at the front of the order that are for short requests: all
    /// that long prompts leave, and as many as short requests need.
    fn short_engines(&self) -> usize {
        let loads: Vec<_> =
            self.rows.iter().map(|row| self.load(row)).collect();
        let long: u32 = loads.iter().map(|load| load.long).sum();
        let unread: Duration = loads.iter().map(UpstreamLoad::reading).sum();
        let held = Duration::from_millis(self.demand.held_ms);
        let backlog =
            (unread + held).as_secs_f64() / BACKLOG_TIME.as_secs_f64();
        let arriving = self.demand.long_engines() / LONG_USE;
        let reading = backlog.max(arriving).ceil() as usize;
        let writing = long.div_ceil(LONG_PER_ENGINE) as usize;
        let count = self.rows.len();
        let most = count.saturating_sub(LONG_RESERVE).max(1);
        let spare = count.saturating_sub(reading + writing);
        let short: u32 = loads.iter().map(|load| load.short).sum();
        let useful = (short + 1).div_ceil(SHORT_TOGETHER) as usize;
        let useful = useful + SHORT_SPARE;
        self.short_needed().max(spare.min(useful)).min(most)
    }

    /// Engines at the front of the order that short requests need.
    fn short_needed(&self) -> usize {
        let short: u32 = self.rows.iter().map(|row| self.load(row).short).sum();
        let writing = (short + 1).div_ceil(SHORT_PER_ENGINE) as usize;
        // A flood shows in what arrives before it shows in what runs.
        let arriving = self.demand.short_engines() / SHORT_USE;
        let needed = writing.max(arriving.ceil() as usize);
        let most = self.rows.len().saturating_sub(LONG_RESERVE).max(1);
        (needed + SHORT_SPARE).min(most)
    }

    fn place_short(
        &self,
        engine: &EngineModel,
        work: PromptWork,
        rng: &mut impl Rng,
    ) -> Option<PlacedRequest> {
        let rows = self.ordered();
        let read = engine.read_time(work.prompt);
        let front = self.short_engines();
        let ranked = rows.iter().enumerate().map(|(rank, row)| {
            let load = self.load(row);
            let context = SHORT_CONTEXT.get() * u64::from(load.requests() + 1);
            let pass = engine
                .write_pass(load.requests() + 1, TokenCount::new(context));
            let mut wait = load.reading() + read + pass;
            if load.requests() > 0 {
                // A pass is under way.
                wait += pass / 2;
            }
            if load.requests() > 0 && load.reading() + read + pass > PAUSE_MAX {
                // The pass would delay all that write there.
                wait += PAUSE_MAX;
            }
            if load.requests() >= engine.slots {
                // The request waits for a place.
                wait += pass * (load.requests() + 1 - engine.slots);
            }
            // Beyond the front, a place must save more than it disturbs.
            if rank >= front {
                wait += LONG_READ;
            }
            let spread = pass.mul_f64(0.25 * rng.random::<f64>());
            (wait + spread + self.distance(row), wait, *row)
        });
        let (_, wait, row) = ranked.min_by_key(|(cost, ..)| *cost)?;
        let tokens = work.prompt.saturating_add(work.output);
        let part = Some((read, tokens));
        let read_by = wait.min(self.load(row).reading() + read);
        let mut placed = single(self.now, &row.entry.id, false, read_by, part);
        placed.expected = wait;
        Some(placed)
    }

    /// Engines for long prompts: with few short requests, and beyond those
    /// that short requests need. The last of them answer, whatever the number.
    fn long_pool(&self) -> Vec<&UpstreamRow> {
        let rows = self.ordered();
        let front = self.short_needed();
        let apart: Vec<_> = rows
            .iter()
            .enumerate()
            .filter(|(rank, row)| {
                *rank >= front && self.load(row).short <= SHORT_LEFT
            })
            .map(|(_, row)| *row)
            .collect();
        if !apart.is_empty() {
            return apart;
        }
        let behind = rows.len().saturating_sub(front).max(1);
        rows.into_iter().rev().take(behind).rev().collect()
    }

    fn place_long(
        &self,
        engine: &EngineModel,
        work: PromptWork,
    ) -> Option<PlacedRequest> {
        let pool = self.long_pool();
        let read = engine.read_time(work.prompt);
        let parts = read.as_secs_f64() / PART_READ.as_secs_f64();
        let wanted = (parts.ceil() as usize).clamp(1, HELPERS_MAX + 1);
        let capacity = usable(engine.memory);
        let room = |row: &UpstreamRow| {
            let used = TokenCount::new(self.load(row).tokens);
            capacity.saturating_sub(used)
        };
        let need = work.prompt.saturating_add(work.output);
        // Writers are kept together, so that most engines only read: a pass
        // with a writer costs the time of a whole stride.
        let writers = pool.len().div_ceil(WRITER_SHARE).max(1);
        let first = pool
            .iter()
            .rev()
            .take(writers)
            .filter(|row| room(row) >= need)
            .min_by_key(|row| self.load(row).reading_ms)
            .or_else(|| pool.iter().max_by_key(|row| room(row)))?;
        let mut readers: Vec<_> = pool
            .iter()
            .take(pool.len() - writers)
            .enumerate()
            .filter(|(_, row)| {
                row.entry.id != first.entry.id && self.load(row).unread == 0
            })
            .map(|(rank, row)| ((self.load(row).reading_ms, rank), *row))
            .collect();
        readers.sort_by_key(|(key, _)| *key);
        let most = readers.len().min(HELPERS_MAX);
        let mut count = (wanted - 1).min(most);
        loop {
            let helpers: Vec<_> = readers
                .iter()
                .take(count)
                .map(|(_, row)| EngineRoom {
                    upstream: row.entry.id.clone(),
                    free: room(row),
                })
                .collect();
            let held = divide(work.prompt, work.output, room(first), &helpers);
            if let Some(held) = held {
                let reserve = held
                    .into_iter()
                    .map(|part| (part.upstream, part.tokens))
                    .collect();
                return Some(
                    self.joint(engine, work, first, &helpers, &reserve),
                );
            }
            if count >= most {
                return None;
            }
            count += 1;
        }
    }

    fn joint(
        &self,
        engine: &EngineModel,
        work: PromptWork,
        first: &UpstreamRow,
        helpers: &[EngineRoom],
        reserve: &BTreeMap<UpstreamId, TokenCount>,
    ) -> PlacedRequest {
        let count = helpers.len() as u32 + 1;
        let read = engine.read_time(work.prompt) / count;
        let held: TokenCount = reserve.values().copied().sum();
        let need = work.prompt.saturating_add(work.output);
        let mut longest = Duration::ZERO;
        let mut before = Duration::ZERO;
        let mut part = |upstream: &UpstreamId, tokens| {
            let load = self.loads.get(upstream).copied().unwrap_or_default();
            let done = load.reading() + read;
            longest = longest.max(done);
            before += load.reading();
            FlightPart {
                upstream: upstream.clone(),
                read,
                read_by: self.now.after(done),
                tokens,
            }
        };
        let own = need.saturating_sub(held);
        let mut parts = vec![part(&first.entry.id, own)];
        let mut named = Vec::new();
        for room in helpers {
            let tokens =
                reserve.get(&room.upstream).copied().unwrap_or_default();
            parts.push(part(&room.upstream, tokens));
            named.push(HelperPart {
                upstream: room.upstream.clone(),
                reserve: tokens,
            });
        }
        let writers = self.load(first).requests() + 1;
        let expected = longest + engine.write_pass(writers, work.prompt);
        PlacedRequest {
            upstream: first.entry.id.clone(),
            helpers: named,
            flight: FlightEntry {
                long: true,
                parts,
                reading: true,
            },
            expected,
            backlog: before / count,
        }
    }
}

fn single(
    now: Timestamp,
    upstream: &UpstreamId,
    long: bool,
    read_by: Duration,
    part: Option<(Duration, TokenCount)>,
) -> PlacedRequest {
    let (read, tokens) = part.unwrap_or_default();
    PlacedRequest {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        flight: FlightEntry {
            long,
            parts: vec![FlightPart {
                upstream: upstream.clone(),
                read,
                read_by: now.after(read_by),
                tokens,
            }],
            reading: part.is_some(),
        },
        expected: read_by,
        backlog: Duration::ZERO,
    }
}
