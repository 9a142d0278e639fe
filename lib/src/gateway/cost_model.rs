//! How long an engine takes to read a prompt and to write an answer.
//!
//! An engine works in passes. A pass reads prompts and then writes a fixed
//! number of tokens for every running request, so that reading one long
//! prompt delays every writer of the engine by the whole read.

use std::time::Duration;

use crate::units::TokenCount;

/// Pairs of tokens that one unit of [`EngineProfile::per_million_pairs`] covers.
const PAIRS_UNIT: f64 = 1e6;
/// Tokens that one unit of [`EngineProfile::per_thousand_context`] covers.
const CONTEXT_UNIT: f64 = 1e3;

/// Speed and kv_capacity of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Memory for the tokens of running requests.
    pub kv_capacity: TokenCount,
    /// Time of a writing decode_step, without requests.
    pub decode_step: Duration,
    /// Additional time of a decode_step for each writing request.
    pub per_sequence: Duration,
    /// Additional time of a decode_step for each thousand tokens of context.
    pub per_thousand_context: Duration,
    /// Prompt tokens read in a second.
    pub prefill_rate: f64,
    /// Time of reading for each million pairs of a token and an earlier one.
    pub per_million_pairs: Duration,
    /// Writing steps of a pass.
    pub steps_per_pass: u32,
}

impl EngineProfile {
    /// Time to read a prompt on an idle engine.
    pub fn prefill_time(&self, prompt: TokenCount) -> Duration {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0 / PAIRS_UNIT;
        let linear = if self.prefill_rate > 0.0 {
            tokens / self.prefill_rate
        } else {
            0.0
        };
        let quadratic = self.per_million_pairs.as_secs_f64() * pairs;
        Duration::from_secs_f64(linear + quadratic)
    }

    /// Time of a pass in which `sequences` requests write and nothing is read.
    pub fn decode_pass(&self, sequences: u32, context: TokenCount) -> Duration {
        let context = context.get() as f64 / CONTEXT_UNIT;
        let decode_step = self.decode_step.as_secs_f64()
            + self.per_sequence.as_secs_f64() * f64::from(sequences)
            + self.per_thousand_context.as_secs_f64() * context;
        Duration::from_secs_f64(decode_step * f64::from(self.steps_per_pass))
    }
}
