//! Continuous batching of a model engine, as a discrete simulation.
//!
//! One step generates a token for each running request that is prefilled
//! and works through one chunk of prompt tokens, in the order of priority,
//! then arrival. A step takes the sum of both, so prefill slows decoding.
//! Nothing here opens a socket or sleeps; [`crate::engine`] does.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use borageline_lib::{
    engine_api::{HeldReport, HeldRequest, LoadReport},
    ids::RequestId,
    units::{Incarnation, TokenCount, TokenRate},
};
use tokio::sync::watch;

use crate::{
    engine_config::{
        AdmitError, EngineConfig, EngineCounters, EntryEnd, EntryKey,
        EntryKind, EntryProgress, EntryReader, NewEntry,
    },
    prefix_cache::PrefixCache,
};

/// Longest delay of the simulation that is made up for; after a longer one,
/// such as a freeze, it goes on from the present.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Entry {
    sequence: u64,
    new: NewEntry,
    reserved: u64,
    prefill_left: u64,
    arrived: Instant,
    running: bool,
    attached: u32,
    detached_at: Instant,
    progress: watch::Sender<EntryProgress>,
}

impl Entry {
    fn is_finished(&self) -> bool {
        self.progress.borrow().end.is_some()
    }

    fn decodes(&self) -> bool {
        self.running && self.prefill_left == 0
    }
}

#[derive(Debug)]
struct PlannedStep {
    due: Instant,
    length: f64,
    prefill: Vec<(EntryKey, u64)>,
    decode: Vec<EntryKey>,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineSim {
    config: EngineConfig,
    incarnation: u64,
    entries: BTreeMap<EntryKey, Entry>,
    next_sequence: u64,
    held: u64,
    work_since_cold: f64,
    speed: f64,
    down_until: Option<Instant>,
    planned: Option<PlannedStep>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Counters.
    pub counters: EngineCounters,
    /// Whether the engine is about to leave.
    pub leaving: bool,
}

fn epoch_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

impl EngineSim {
    /// An engine without requests.
    pub fn new(config: EngineConfig) -> Self {
        let work_since_cold = if config.starts_cold { 0.0 } else { f64::MAX };
        Self {
            cache: PrefixCache::new(config.cache.clone()),
            config,
            incarnation: epoch_ms(),
            entries: BTreeMap::new(),
            next_sequence: 0,
            held: 0,
            work_since_cold,
            speed: 1.0,
            down_until: None,
            planned: None,
            counters: EngineCounters::default(),
            leaving: false,
        }
    }

    /// Present incarnation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.incarnation)
    }

    /// Whether the engine is still recovering from falling over.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Share of the way from cold to warm.
    pub fn warmth(&self) -> f64 {
        (self.work_since_cold / self.config.warm_up_s.max(1e-9)).min(1.0)
    }

    /// Makes the engine cold, with its state kept.
    pub fn go_cold(&mut self) {
        self.work_since_cold = 0.0;
    }

    /// Multiplies all rates.
    pub fn set_speed(&mut self, factor: f64) {
        self.speed = factor.max(1e-6);
    }

    /// Sets the age of load reports.
    pub fn set_load_lag(&mut self, lag: Duration) {
        self.config.load_lag = lag;
    }

    /// Age of load reports.
    pub fn load_lag(&self) -> Duration {
        self.config.load_lag
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tokens held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Loses the state and starts a new incarnation, cold.
    pub fn restart(&mut self, now: Instant) {
        self.counters.tokens_lost += self.held;
        for (_, entry) in std::mem::take(&mut self.entries) {
            end_entry(&entry, EntryEnd::Lost);
        }
        self.held = 0;
        self.planned = None;
        self.cache.reset();
        self.incarnation = epoch_ms().max(self.incarnation + 1);
        self.work_since_cold = 0.0;
        self.down_until = Some(now + self.config.recovery);
    }

    /// Unfinished entries that the engine can carry now.
    fn request_limit(&self) -> u64 {
        let warmth = self.warmth();
        if warmth >= 1.0 {
            return u64::MAX;
        }
        let cold = f64::from(self.config.cold_requests);
        let warm = f64::from(self.config.slots).max(cold);
        (cold + (warm - cold) * warmth) as u64
    }

    fn unfinished(&self) -> u64 {
        let entries = self.entries.values();
        entries.filter(|entry| !entry.is_finished()).count() as u64
    }

    /// Admits an entry and attaches a reader to it.
    pub fn admit(
        &mut self,
        new: NewEntry,
        now: Instant,
    ) -> Result<EntryReader, AdmitError> {
        if self.entries.contains_key(&new.key) {
            self.counters.duplicates += 1;
            return Err(AdmitError::Duplicate);
        }
        let hit = self.cache.hit(&new.blocks).min(new.prompt);
        let reserved = new.prompt - hit + new.max_tokens;
        let unfinished = self.unfinished() + 1;
        let too_many = unfinished > self.request_limit();
        if too_many || self.held + reserved > self.config.memory {
            if self.config.gentle {
                self.counters.overcommitted += 1;
                return Err(AdmitError::Overcommitted);
            }
            self.counters.falls += 1;
            self.restart(now);
            return Err(AdmitError::Crashed);
        }
        self.held += reserved;
        self.counters.admitted += 1;
        self.counters.cached_tokens += hit;
        self.counters.peak_held = self.counters.peak_held.max(self.held);
        let peak = self.counters.peak_requests.max(unfinished);
        self.counters.peak_requests = peak;
        let reader = self.insert(new, reserved, hit, now);
        Ok(reader)
    }

    fn insert(
        &mut self,
        new: NewEntry,
        reserved: u64,
        hit: u64,
        now: Instant,
    ) -> EntryReader {
        let progress = watch::Sender::new(EntryProgress::default());
        let reader = EntryReader {
            model: new.model.clone(),
            digest: new.digest,
            max_tokens: new.max_tokens,
            progress: progress.subscribe(),
        };
        let entry = Entry {
            sequence: self.next_sequence,
            reserved,
            // The last token is always computed, as its output is needed.
            prefill_left: (new.prompt - hit).max(1),
            arrived: now,
            running: false,
            attached: 1,
            detached_at: now,
            progress,
            new,
        };
        self.next_sequence += 1;
        self.entries.insert(entry.new.key.clone(), entry);
        reader
    }

    /// Attaches another reader to a completion.
    pub fn attach(&mut self, request: &RequestId) -> Option<EntryReader> {
        let key = (request.clone(), EntryKind::Completion);
        let entry = self.entries.get_mut(&key)?;
        entry.attached += 1;
        Some(EntryReader {
            model: entry.new.model.clone(),
            digest: entry.new.digest,
            max_tokens: entry.new.max_tokens,
            progress: entry.progress.subscribe(),
        })
    }

    /// Detaches a reader; `read` says that it has read everything.
    pub fn detach(
        &mut self,
        key: &EntryKey,
        reader: &EntryReader,
        read: bool,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        // A restart may have put another entry under the same id.
        if !entry.progress.subscribe().same_channel(&reader.progress) {
            return;
        }
        entry.attached = entry.attached.saturating_sub(1);
        entry.detached_at = now;
        if read && entry.is_finished() {
            self.remove(key);
        }
    }

    /// Cancels what is held for a request; false if nothing is.
    pub fn cancel(&mut self, request: &RequestId) -> bool {
        let keys: Vec<EntryKey> = self
            .entries
            .keys()
            .filter(|(id, _)| id == request)
            .cloned()
            .collect();
        for key in &keys {
            self.end(key, EntryEnd::Cancelled);
            self.counters.cancelled += 1;
        }
        !keys.is_empty()
    }

    fn remove(&mut self, key: &EntryKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.held -= entry.reserved;
        Some(entry)
    }

    fn end(&mut self, key: &EntryKey, end: EntryEnd) {
        if let Some(entry) = self.remove(key) {
            end_entry(&entry, end);
        }
    }

    /// Runs the steps that are due; returns when the next one is.
    pub fn advance(&mut self, now: Instant) -> Option<Instant> {
        self.expire(now);
        loop {
            let start = match self.planned.take() {
                Some(step) if step.due > now => {
                    let due = step.due;
                    self.planned = Some(step);
                    return Some(due);
                }
                Some(step) => {
                    let due = step.due;
                    self.apply(step, now);
                    due.max(now.checked_sub(MAX_CATCH_UP).unwrap_or(due))
                }
                None => now,
            };
            self.planned = self.plan(start);
            self.planned.as_ref()?;
        }
    }

    fn expire(&mut self, now: Instant) {
        let ttl = self.config.detached_ttl;
        let mut expired = Vec::new();
        let mut abandoned = Vec::new();
        for (key, entry) in &self.entries {
            if entry.new.deadline.is_some_and(|deadline| deadline <= now) {
                expired.push(key.clone());
            } else if key.1 == EntryKind::Completion
                && entry.attached == 0
                && entry.is_finished()
                && now.duration_since(entry.detached_at) >= ttl
            {
                abandoned.push(key.clone());
            }
        }
        self.counters.expired += expired.len() as u64;
        self.counters.abandoned += abandoned.len() as u64;
        for key in expired.iter().chain(&abandoned) {
            self.end(key, EntryEnd::Expired);
        }
    }

    fn plan(&mut self, start: Instant) -> Option<PlannedStep> {
        let slots = self.config.slots as usize;
        let mut order: Vec<&mut Entry> = self
            .entries
            .values_mut()
            .filter(|entry| !entry.is_finished())
            .collect();
        order.sort_by_key(|entry| {
            let rank = u8::MAX - entry.new.priority;
            (!entry.running, rank, entry.sequence)
        });
        let mut prefill_order = Vec::new();
        let mut decode = Vec::new();
        for entry in order.into_iter().take(slots) {
            entry.running = true;
            if entry.decodes() {
                decode.push(entry.new.key.clone());
            } else {
                let rank = u8::MAX - entry.new.priority;
                prefill_order.push((rank, entry.sequence, entry));
            }
        }
        prefill_order.sort_by_key(|(rank, sequence, _)| (*rank, *sequence));
        let mut budget = self.config.chunk.max(1);
        let mut prefill = Vec::new();
        for (_, _, entry) in prefill_order {
            let tokens = entry.prefill_left.min(budget);
            if tokens == 0 {
                break;
            }
            budget -= tokens;
            prefill.push((entry.new.key.clone(), tokens));
        }
        if prefill.is_empty() && decode.is_empty() {
            return None;
        }
        let length = self.step_length(&prefill, &decode);
        let wait = Duration::from_secs_f64(length / self.config.time_scale);
        Some(PlannedStep {
            due: start + wait,
            length,
            prefill,
            decode,
        })
    }

    /// Simulated seconds of a step.
    fn step_length(
        &self,
        prefill: &[(EntryKey, u64)],
        decode: &[EntryKey],
    ) -> f64 {
        let tokens: u64 = prefill.iter().map(|(_, tokens)| tokens).sum();
        let mut length = tokens as f64 / self.config.prefill_rate as f64;
        if !decode.is_empty() {
            length += 1.0 / self.config.decode_rate as f64;
        }
        length / self.rate_factor()
    }

    /// Share of the full rates that the engine has now.
    fn rate_factor(&self) -> f64 {
        let cold = self.config.cold_share;
        (cold + (1.0 - cold) * self.warmth()) * self.speed
    }

    fn apply(&mut self, step: PlannedStep, now: Instant) {
        self.work_since_cold =
            (self.work_since_cold + step.length).min(f64::MAX);
        for (key, tokens) in step.prefill {
            self.apply_prefill(&key, tokens, now);
        }
        for key in step.decode {
            self.apply_decode(&key, now);
        }
    }

    fn apply_prefill(&mut self, key: &EntryKey, tokens: u64, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.prefill_left -= tokens.min(entry.prefill_left);
        self.counters.prefilled_tokens += tokens;
        if entry.prefill_left > 0 {
            return;
        }
        self.cache.insert(&entry.new.blocks, now);
        if entry.new.max_tokens == 0 {
            end_entry(entry, EntryEnd::Finished);
            entry.running = false;
            self.counters.finished += 1;
        }
    }

    fn apply_decode(&mut self, key: &EntryKey, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.counters.generated_tokens += 1;
        let last = entry.new.max_tokens;
        let mut finished = false;
        entry.progress.send_modify(|progress| {
            progress.generated += 1;
            finished = progress.generated >= last;
            if finished {
                progress.end = Some(EntryEnd::Finished);
            }
        });
        if finished {
            entry.running = false;
            self.counters.finished += 1;
            if entry.attached == 0 {
                entry.detached_at = now;
            }
        }
    }

    /// What is held, one line per request.
    pub fn held_report(&self, now: Instant) -> HeldReport {
        let mut requests: Vec<HeldRequest> = Vec::new();
        for ((request, _), entry) in &self.entries {
            let age = now.duration_since(entry.arrived).as_millis();
            let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            let tokens = TokenCount::new(entry.reserved);
            let attached = entry.attached > 0;
            match requests.last_mut() {
                Some(last) if last.request == *request => {
                    last.tokens += tokens;
                    last.age_ms = last.age_ms.max(age_ms);
                    last.attached |= attached;
                }
                _ => requests.push(HeldRequest {
                    request: request.clone(),
                    tokens,
                    age_ms,
                    attached,
                }),
            }
        }
        HeldReport {
            engine: self.config.engine.clone(),
            incarnation: self.incarnation(),
            requests,
        }
    }

    /// Load at this moment.
    pub fn load_report(&self) -> LoadReport {
        let unfinished = self.unfinished();
        let running = self.entries.values().filter(|entry| entry.running);
        let running = running.count() as u64;
        let backlog = self.entries.values().map(|entry| entry.prefill_left);
        let backlog: u64 = backlog.sum();
        let share = self.rate_factor();
        let prefill_rate = self.config.prefill_rate as f64 * share;
        let mut decode_time = 1.0 / self.config.decode_rate as f64;
        if backlog > 0 {
            let chunk = self.config.chunk.min(backlog) as f64;
            decode_time += chunk / self.config.prefill_rate as f64;
        }
        let decode_rate = share / decode_time;
        LoadReport {
            engine: self.config.engine.clone(),
            incarnation: self.incarnation(),
            age_ms: 0,
            held: TokenCount::new(self.held),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(unfinished.saturating_sub(running))
                .unwrap_or(u32::MAX),
            prefill_backlog: TokenCount::new(backlog),
            prefill_rate: TokenRate::new(prefill_rate as u64),
            decode_rate: TokenRate::new(decode_rate as u64),
            leaving: self.leaving,
        }
    }
}

fn end_entry(entry: &Entry, end: EntryEnd) {
    entry.progress.send_modify(|progress| {
        progress.end = progress.end.or(Some(end));
    });
}
