//! Prefix cache of the model engine, with its numbered events.
//!
//! Prefixes are known by their digest at whole blocks. The least recently
//! used block leaves first. Events become visible late, and some are lost.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use borageline_lib::{
    engine_api::{CacheEvent, CacheEventPage},
    units::TokenCount,
};

/// Events kept for readers; older ones are lost to them.
const MAX_EVENTS: usize = 20_000;

/// Sizes and delays of a prefix cache.
#[derive(Clone, Debug)]
pub struct CacheConfig {
    /// Tokens that the cache holds.
    pub tokens: u64,
    /// Tokens of one block.
    pub block: u64,
    /// Delay until an event is visible.
    pub event_delay: Duration,
    /// Every so many events one is lost; zero loses none.
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

/// One cached block.
#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    used: u64,
    tokens: u64,
}

/// A prefix cache.
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
    /// An empty cache.
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

    /// Forgets everything without an event, as a restart does.
    pub fn reset(&mut self) {
        self.blocks.clear();
        self.last_use_order.clear();
    }

    /// Tokens of the longest cached prefix among the digests of the blocks.
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

    /// Adds the blocks of a prompt.
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

    /// Events that are visible from a number on.
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
