//! Prefix cache of the stand-in engine, with its numbered events.
//!
//! A block stands for the prompt prefix that ends with it and is identified
//! by the digest of that prefix. The least recently used block is evicted
//! first. To test readers against stale and incomplete data, events become
//! visible after a delay, and every n-th one is lost.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use borageline_lib::{
    engine_api::{CacheEvent, CacheEventPage},
    units::TokenCount,
};

/// Newest events that stay readable; older ones are dropped.
const MAX_EVENTS: usize = 20_000;

/// Configuration of a prefix cache.
#[derive(Clone, Debug)]
pub struct CacheConfig {
    /// Capacity in tokens.
    pub tokens: u64,
    /// Size of a block in tokens.
    pub block: u64,
    /// Delay until an event is visible.
    pub event_delay: Duration,
    /// Loses every n-th event, leaving a gap in the numbers; zero loses none.
    pub lose_every: u64,
}

impl Default for CacheConfig {
    fn default() -> Self {
        Self {
            tokens: 200_000,
            block: 1_024,
            event_delay: Duration::from_millis(200),
            lose_every: 10,
        }
    }
}

/// A cached block; `tokens` is the length of the prefix that it ends.
#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    used: u64,
    tokens: u64,
}

/// LRU cache of prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    config: CacheConfig,
    blocks: BTreeMap<u64, CachedBlock>,
    last_use_order: BTreeMap<u64, u64>,
    next_use_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(config: CacheConfig) -> Self {
        Self {
            config,
            blocks: BTreeMap::new(),
            last_use_order: BTreeMap::new(),
            next_use_sequence: 0,
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Removes all blocks without events, as a restart does.
    pub fn reset(&mut self) {
        self.blocks.clear();
        self.last_use_order.clear();
    }

    /// Length in tokens of the longest cached prefix of a prompt, given by
    /// its block digests; marks the blocks of the prefix as used.
    pub fn hit(&mut self, digests: &[u64]) -> u64 {
        let cached = digests
            .iter()
            .take_while(|digest| self.blocks.contains_key(digest))
            .count();
        for digest in &digests[..cached] {
            self.touch(*digest);
        }
        cached as u64 * self.config.block
    }

    /// Caches the blocks of a prompt, up to the capacity of the cache.
    pub fn insert(&mut self, digests: &[u64], now: Instant) {
        let limit = self.config.tokens / self.config.block.max(1);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        for (index, digest) in digests.iter().take(limit).enumerate() {
            let tokens = (index as u64 + 1) * self.config.block;
            if self.blocks.contains_key(digest) {
                self.touch(*digest);
                continue;
            }
            while self.blocks.len() >= limit {
                self.evict(now);
            }
            let used = self.next_use_sequence;
            self.next_use_sequence += 1;
            self.blocks.insert(*digest, CachedBlock { used, tokens });
            self.last_use_order.insert(used, *digest);
            self.publish(*digest, tokens, true, now);
        }
    }

    /// Visible events with numbers from `from` on.
    pub fn page(&self, from: u64, now: Instant) -> CacheEventPage {
        let delay = self.config.event_delay;
        let visible = self
            .events
            .iter()
            .filter(|(at, _)| now.duration_since(*at) >= delay);
        let events: Vec<CacheEvent> = visible
            .filter(|(_, event)| event.number >= from)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.number + 1);
        CacheEventPage { events, next }
    }

    fn touch(&mut self, digest: u64) {
        if let Some(block) = self.blocks.get_mut(&digest) {
            self.last_use_order.remove(&block.used);
            block.used = self.next_use_sequence;
            self.last_use_order.insert(block.used, digest);
            self.next_use_sequence += 1;
        }
    }

    fn evict(&mut self, now: Instant) {
        let Some((_, digest)) = self.last_use_order.pop_first() else {
            return;
        };
        if let Some(block) = self.blocks.remove(&digest) {
            self.publish(digest, block.tokens, false, now);
        }
    }

    fn publish(&mut self, prefix: u64, tokens: u64, cached: bool, at: Instant) {
        let number = self.next_event;
        self.next_event += 1;
        let every = self.config.lose_every;
        if every > 0 && number % every == every - 1 {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            number,
            prefix,
            tokens: TokenCount::new(tokens),
            cached,
        };
        self.events.push_back((at, event));
    }
}
