//! Discrete simulation of continuous batching in a model engine.
//!
//! Each step decodes one token for every running request that has finished
//! prefill, and prefills one chunk of prompt tokens, by priority and then by
//! order of arrival. A step lasts as long as both together, so that prefill
//! slows down decode. The simulation owns admission, memory accounting and
//! the prefix cache; it performs no I/O and does not sleep, which is left to
//! [`crate::engine`].

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

/// Maximum lag behind the clock that the simulation catches up on. After a
/// longer pause, such as a freeze, it continues from this far in the past.
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

/// Simulated state of an engine.
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
    /// Cached prompt prefixes.
    pub cache: PrefixCache,
    /// Counters since the start of the process.
    pub counters: EngineCounters,
    /// Whether load reports announce that the engine will shut down.
    pub leaving: bool,
}

fn epoch_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

impl EngineSim {
    /// Creates an engine without requests.
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

    /// Incarnation, which increases with each crash or restart.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.incarnation)
    }

    /// Whether the engine is recovering from a crash or restart.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Progress from cold (zero) to warm (one).
    pub fn warmth(&self) -> f64 {
        (self.work_since_cold / self.config.warm_up_s.max(1e-9)).min(1.0)
    }

    /// Makes the engine cold without losing its state.
    pub fn go_cold(&mut self) {
        self.work_since_cold = 0.0;
    }

    /// Sets the factor by which all rates are multiplied.
    pub fn set_speed(&mut self, factor: f64) {
        self.speed = factor.max(1e-6);
    }

    /// Sets the minimum age of load reports.
    pub fn set_load_lag(&mut self, lag: Duration) {
        self.config.load_lag = lag;
    }

    /// Minimum age of load reports.
    pub fn load_lag(&self) -> Duration {
        self.config.load_lag
    }

    /// Whether the engine has no entries, finished ones included.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// KV cache tokens reserved by all entries.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Loses all entries and the prefix cache, and starts a new, cold
    /// incarnation.
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

    /// Number of unfinished entries above which the engine is
    /// overcommitted; unlimited when warm.
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

    /// Admits an entry and attaches a reader to it. A request beyond the
    /// capacity is rejected or crashes the engine.
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
            // At least the last prompt token is prefilled even on a full
            // cache hit, as its output is needed for the first new token.
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

    /// Attaches another reader to a completion; `None` if the engine does
    /// not have it.
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

    /// Detaches a reader. `read_to_end` tells whether it has received the
    /// whole stream; a finished entry is then removed.
    pub fn detach(
        &mut self,
        key: &EntryKey,
        reader: &EntryReader,
        read_to_end: bool,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        // After a restart, the key may belong to another entry.
        if !entry.progress.subscribe().same_channel(&reader.progress) {
            return;
        }
        entry.attached = entry.attached.saturating_sub(1);
        entry.detached_at = now;
        if read_to_end && entry.is_finished() {
            self.remove(key);
        }
    }

    /// Cancels all entries of a request; false if there are none.
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

    /// Applies the steps that are due and returns when the next one is due;
    /// `None` if there is no work.
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
            let inverse_priority = u8::MAX - entry.new.priority;
            (!entry.running, inverse_priority, entry.sequence)
        });
        let mut prefill_order = Vec::new();
        let mut decode = Vec::new();
        for entry in order.into_iter().take(slots) {
            entry.running = true;
            if entry.decodes() {
                decode.push(entry.new.key.clone());
            } else {
                let inverse_priority = u8::MAX - entry.new.priority;
                prefill_order.push((inverse_priority, entry.sequence, entry));
            }
        }
        prefill_order.sort_by_key(|(inverse_priority, sequence, _)| {
            (*inverse_priority, *sequence)
        });
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

    /// Duration of a step in simulated seconds.
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

    /// Factor on the full rates, from the warmth and the injected speed.
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

    /// Reserved tokens by request; segments of a request are added up.
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

    /// Present load, with rates in simulated time.
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
