//! Predicts how long an engine takes to prefill a prompt and to decode an
//! answer.
//!
//! An engine works in passes. A pass prefills prompts and then decodes a fixed
//! number of tokens for every running request, so that prefill of one long
//! prompt delays every request that decodes on the engine by the whole prefill
//! time.

use std::time::Duration;

use crate::units::{TokenCount, bounded_time};

/// Pairs of tokens to which [`EngineProfile::per_million_pairs`] refers.
const PAIRS_UNIT: f64 = 1e6;
/// Tokens to which [`EngineProfile::per_thousand_context`] refers.
const CONTEXT_UNIT: f64 = 1e3;

/// Speed and capacity of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at the same time.
    pub slots: u32,
    /// KV-cache capacity for the running requests, in tokens.
    pub kv_capacity: TokenCount,
    /// Time of a decode step without any request.
    pub decode_step: Duration,
    /// Additional time of a decode step for each decoding request.
    pub per_sequence: Duration,
    /// Additional time of a decode step for each thousand tokens of context.
    pub per_thousand_context: Duration,
    /// Prompt tokens prefilled per second, the linear part of the cost; 0 or
    /// less leaves that part out.
    pub prefill_rate: f64,
    /// Prefill time for each million pairs of a token and an earlier one, the
    /// quadratic part of the cost.
    pub per_million_pairs: Duration,
    /// Decode steps in one pass.
    pub steps_per_pass: u32,
}

impl EngineProfile {
    /// Time to prefill a prompt on an idle engine; at most
    /// [`TIME_MAX`](crate::units::TIME_MAX), as callers may state any number of
    /// tokens.
    pub fn prefill_time(&self, prompt: TokenCount) -> Duration {
        let tokens = prompt.get() as f64;
        let pairs = tokens * tokens / 2.0 / PAIRS_UNIT;
        let linear = if self.prefill_rate > 0.0 {
            tokens / self.prefill_rate
        } else {
            0.0
        };
        let quadratic = self.per_million_pairs.as_secs_f64() * pairs;
        bounded_time(linear + quadratic)
    }

    /// Time to decode an answer of `tokens` for one of `sequences` requests,
    /// without the prefill of others.
    pub fn decode_time(
        &self,
        tokens: TokenCount,
        sequences: u32,
        context: TokenCount,
    ) -> Duration {
        let steps = tokens.get() as f64 / f64::from(self.steps_per_pass.max(1));
        let pass = self.decode_pass(sequences, context).as_secs_f64();
        Duration::try_from_secs_f64(pass * steps.ceil())
            .unwrap_or(Duration::MAX)
    }

    /// Time of a pass that decodes for `sequences` requests and prefills
    /// nothing; at most [`TIME_MAX`](crate::units::TIME_MAX). `context` is the
    /// sum of the requests' contexts.
    pub fn decode_pass(&self, sequences: u32, context: TokenCount) -> Duration {
        let context = context.get() as f64 / CONTEXT_UNIT;
        let decode_step = self.decode_step.as_secs_f64()
            + self.per_sequence.as_secs_f64() * f64::from(sequences)
            + self.per_thousand_context.as_secs_f64() * context;
        bounded_time(decode_step * f64::from(self.steps_per_pass))
    }
}
