//! The limit on an engine that may be cold.
//!
//! A cold engine has little capacity and fails under full load, and an engine
//! may go cold without warning. The limit starts at the lowest step. It rises
//! by one step (twice the concurrency and memory) after as many good ends as
//! the step allows requests at once, but not before the engine has worked for
//! some time on the step, because many tiny requests prove little. A report of
//! the full rate does not shorten that time: with it, an engine that went cold
//! two seconds after the fleet had started fell over. The limit falls to the
//! lowest step at once on a new incarnation, on a report of a low rate, on
//! repeated errors or on latency far above the prediction. Requests that
//! already run keep their places.

use std::time::Duration;

use crate::units::{Timestamp, TokenCount, TokenRate};

/// Requests at once at the lowest step. A second owner may add one more.
const FIRST_STEP_REQUESTS: u32 = 1;
/// Time that the engine must have worked on a step before the next one.
const STEP_BUSY_TIME_MIN: Duration = Duration::from_secs(2);
/// Share of the memory at the lowest step: one part in this many.
const FIRST_STEP_MEMORY_DIVISOR: u64 = 16;
/// A first part later than this many times the prediction is a slow one.
const SLOW_FACTOR: u32 = 4;
/// First parts faster than this are never slow, whatever was predicted.
const SLOW_MIN: Duration = Duration::from_secs(1);
/// Slow first parts or errors in a row that mean that the engine is cold.
const FAILURES_UNTIL_COLD: u32 = 2;
/// Share of its warm rate, in percent, below which an engine is cold.
const COLD_PERCENT: u64 = 50;
/// Highest step; by then the limit is beyond any engine's size.
const LAST_STEP: u32 = 12;

/// Limit on concurrency and memory of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdStartLimit {
    step: u32,
    successes: u32,
    failures: u32,
    busy_time: Duration,
    busy_since: Option<Timestamp>,
}

impl ColdStartLimit {
    /// A limit at its lowest step.
    pub fn new() -> Self {
        Self::default()
    }

    /// Present step.
    pub fn step(&self) -> u32 {
        self.step
    }

    /// Most requests at once.
    pub fn requests(&self) -> u32 {
        FIRST_STEP_REQUESTS << self.step
    }

    /// Most memory at once on an engine with this much memory.
    pub fn tokens(&self, memory: TokenCount) -> TokenCount {
        let first_step = (memory.get() / FIRST_STEP_MEMORY_DIVISOR).max(1);
        let tokens = first_step.saturating_mul(1 << self.step);
        TokenCount::new(tokens.min(memory.get()))
    }

    /// Whether one more request may be added. A single request may exceed the
    /// memory limit on an otherwise empty engine; without that, an engine that
    /// only gets long prompts would stay cold.
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

    /// Takes in whether the engine has work from now on.
    pub fn set_busy(&mut self, now: Timestamp, busy: bool) {
        if let Some(since) = self.busy_since {
            self.busy_time = self.busy_time.saturating_add(now.since(since));
        }
        self.busy_since = busy.then_some(now);
    }

    /// Takes in the rate that the engine reports, beside that when warm.
    pub fn apply_reported_rate(&mut self, rate: TokenRate, warm: TokenRate) {
        let percent = rate.get().saturating_mul(100);
        if percent < warm.get().saturating_mul(COLD_PERCENT) {
            self.reset();
        }
    }

    /// Takes a good end in.
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

    /// Takes the time of a first part in.
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

    /// Takes the time of a whole answer in.
    pub fn record_completion(
        &mut self,
        predicted: Duration,
        observed: Duration,
    ) {
        if observed <= predicted.saturating_mul(SLOW_FACTOR).max(SLOW_MIN) {
            self.record_success();
        }
    }

    /// Takes an error of the engine in.
    pub fn record_error(&mut self) {
        self.failures += 1;
        self.successes = 0;
        if self.failures >= FAILURES_UNTIL_COLD {
            self.reset();
        }
    }

    /// Starts from a step that the former owner had reached.
    pub fn raise_to_step(&mut self, step: u32) {
        self.step = self.step.max(step.min(LAST_STEP));
    }

    /// Starts from what the engine carries already, as its own list shows.
    pub fn raise_to_cover(&mut self, held: usize) {
        while self.step < LAST_STEP && (self.requests() as usize) < held {
            self.step += 1;
        }
    }

    /// Falls to the lowest step.
    pub fn reset(&mut self) {
        let busy_since = self.busy_since;
        *self = Self {
            busy_since,
            ..Self::default()
        };
    }
}
