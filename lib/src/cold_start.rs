//! Limit on the load of an engine that may be cold.
//!
//! A cold engine has little capacity and fails under full load, and an engine
//! may become cold without notice. The limit starts at the lowest step. It
//! rises by one step (twice the concurrency and memory) after as many
//! completions in time as the step allows concurrent requests, but not before
//! the engine has been busy on the step for some time, because many tiny
//! requests prove little. A report of the full rate does not shorten that time:
//! when it did, an engine that became cold two seconds after the start of the
//! fleet was overloaded. The limit falls to the lowest step at once on a new
//! incarnation, a report of a low rate, repeated errors or latency far above
//! the prediction. Running requests are not affected.

use std::time::Duration;

use crate::units::{Timestamp, TokenCount, TokenRate};

/// Concurrent requests at the lowest step. A second owner may add one more.
const FIRST_STEP_REQUESTS: u32 = 1;
/// How long the engine must have been busy on a step before the next one.
const STEP_BUSY_TIME_MIN: Duration = Duration::from_secs(2);
/// Divisor of the engine's memory that gives the limit at the lowest step.
const FIRST_STEP_MEMORY_DIVISOR: u64 = 16;
/// Factor over the predicted time above which a first chunk is slow.
const SLOW_FACTOR: u32 = 4;
/// A first chunk within this time is never slow, whatever was predicted.
const SLOW_MIN: Duration = Duration::from_secs(1);
/// Consecutive slow first chunks or errors after which the engine counts as
/// cold.
const FAILURES_UNTIL_COLD: u32 = 2;
/// Percentage of the warm rate below which the engine counts as cold.
const COLD_PERCENT: u64 = 50;
/// Highest step; its limit exceeds the size of any engine.
const LAST_STEP: u32 = 12;

/// Limit on the concurrency and memory of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdStartLimit {
    step: u32,
    /// Completions in time on the present step since the last error.
    successes: u32,
    /// Consecutive errors and slow first chunks.
    failures: u32,
    /// How long the engine has been busy on the present step.
    busy_time: Duration,
    /// Start of the busy time that is not counted yet; `None` while idle.
    busy_since: Option<Timestamp>,
}

impl ColdStartLimit {
    /// A limit at the lowest step.
    pub fn new() -> Self {
        Self::default()
    }

    /// Present step; zero is the lowest.
    pub fn step(&self) -> u32 {
        self.step
    }

    /// Maximum number of concurrent requests.
    pub fn requests(&self) -> u32 {
        FIRST_STEP_REQUESTS << self.step
    }

    /// Maximum memory in use on an engine with this much memory.
    pub fn tokens(&self, memory: TokenCount) -> TokenCount {
        let first_step = (memory.get() / FIRST_STEP_MEMORY_DIVISOR).max(1);
        let tokens = first_step.saturating_mul(1 << self.step);
        TokenCount::new(tokens.min(memory.get()))
    }

    /// Whether one more request of `tokens` may be added to the `held`
    /// requests, which use `used`. On an empty engine, a single request may
    /// exceed the memory limit. Otherwise an engine that only gets long prompts
    /// would never leave the lowest step.
    pub fn allows(
        &self,
        memory: TokenCount,
        held: usize,
        used: TokenCount,
        tokens: TokenCount,
    ) -> bool {
        if held == 0 {
            return true;
        }
        let limit = self.tokens(memory);
        held < self.requests() as usize && used.saturating_add(tokens) <= limit
    }

    /// Records whether the engine has work from now on.
    pub fn set_busy(&mut self, now: Timestamp, busy: bool) {
        if let Some(since) = self.busy_since {
            self.busy_time = self.busy_time.saturating_add(now.since(since));
        }
        self.busy_since = busy.then_some(now);
    }

    /// Resets the limit if the reported prefill rate is far below the warm
    /// rate.
    pub fn apply_reported_rate(&mut self, rate: TokenRate, warm: TokenRate) {
        let percent = rate.get().saturating_mul(100);
        if percent < warm.get().saturating_mul(COLD_PERCENT) {
            self.reset();
        }
    }

    /// Records a completion in time, and raises the limit if it was the last
    /// one needed.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        let may_rise = self.successes >= self.requests()
            && self.busy_time >= STEP_BUSY_TIME_MIN;
        if may_rise && self.step < LAST_STEP {
            self.step += 1;
            self.successes = 0;
            self.busy_time = Duration::ZERO;
        }
    }

    /// Records the predicted and the observed time to the first chunk.
    pub fn record_first_chunk(
        &mut self,
        predicted: Duration,
        observed: Duration,
    ) {
        let slow = predicted.saturating_mul(SLOW_FACTOR).max(SLOW_MIN);
        if observed > slow {
            self.record_error();
        } else {
            self.failures = 0;
        }
    }

    /// Records the predicted and the observed time of a whole request.
    pub fn record_completion(
        &mut self,
        predicted: Duration,
        observed: Duration,
    ) {
        if observed <= predicted.saturating_mul(SLOW_FACTOR).max(SLOW_MIN) {
            self.record_success();
        }
    }

    /// Records an error of the engine.
    pub fn record_error(&mut self) {
        self.failures += 1;
        self.successes = 0;
        if self.failures >= FAILURES_UNTIL_COLD {
            self.reset();
        }
    }

    /// Raises the limit to the step that the former owner had reached.
    pub fn raise_to_step(&mut self, step: u32) {
        self.step = self.step.max(step.min(LAST_STEP));
    }

    /// Raises the limit to cover the requests in the engine's list.
    pub fn raise_to_cover(&mut self, held: usize) {
        while self.step < LAST_STEP && (self.requests() as usize) < held {
            self.step += 1;
        }
    }

    /// Resets the limit to the lowest step.
    pub fn reset(&mut self) {
        let busy_since = self.busy_since;
        *self = Self {
            busy_since,
            ..Self::default()
        };
    }
}
