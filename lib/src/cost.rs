//! Predicted times of a request on one engine, and the length of text prompts.
//!
//! Predictions start from the rates that the engine states. Observed times of
//! first parts and ends correct them by a factor that is averaged and bounded,
//! and rates from load reports are taken only within a bounded range of the
//! stated ones, so that late, missing or nonsensical reports cannot make a
//! prediction absurd. [`LengthEstimator`] counts on the safe side: it may take
//! a prompt for longer than it is.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    engine_api::{CapabilityReport, LoadReport},
    ids::WorkspaceId,
    units::{ByteSize, Timestamp, TokenCount, TokenRate},
};

/// Reports older than this say nothing about the engine's state now.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Weight of a new observation in the average.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Least and greatest correction of a predicted time.
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);
/// Rates of load reports are held within this factor of the stated rates.
const RATE_RANGE: f64 = 8.0;

/// Predicts times and memory of requests on one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModel {
    prefill_rate: f64,
    decode_rate: f64,
    prefill_factor: f64,
    decode_factor: f64,
    reported_backlog: TokenCount,
    reported_at: Option<Timestamp>,
}

impl CostModel {
    /// A model from the rates that the engine states.
    pub fn new(report: &CapabilityReport) -> Self {
        Self {
            prefill_rate: stated(report.prefill_rate),
            decode_rate: stated(report.decode_rate),
            prefill_factor: 1.0,
            decode_factor: 1.0,
            reported_backlog: TokenCount::ZERO,
            reported_at: None,
        }
    }

    /// Takes a load report in, unless it is too old to mean anything.
    pub fn apply_load_report(&mut self, now: Timestamp, report: &LoadReport) {
        let age = Duration::from_millis(report.age_ms);
        if age > REPORT_MAX_AGE {
            return;
        }
        self.reported_at = Some(now);
        self.reported_backlog = report.prefill_backlog;
        let prefill = ratio(self.prefill_rate, report.prefill_rate);
        let decode = ratio(self.decode_rate, report.decode_rate);
        self.prefill_factor = average(self.prefill_factor, prefill);
        self.decode_factor = average(self.decode_factor, decode);
    }

    /// Memory that a request needs, growth of the answer included.
    pub fn memory(prompt: TokenCount, output: TokenCount) -> TokenCount {
        prompt.saturating_add(output)
    }

    /// Prompt tokens waiting on the engine: what the owner accounts for, or
    /// the engine's own figure if that is recent and larger.
    pub fn backlog(&self, now: Timestamp, own: TokenCount) -> TokenCount {
        let recent = self
            .reported_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE);
        if recent {
            own.max(self.reported_backlog)
        } else {
            own
        }
    }

    /// Time to prefill a number of tokens.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        scaled(tokens, self.prefill_rate, self.prefill_factor)
    }

    /// Time to generate a number of tokens.
    pub fn decode_time(&self, tokens: TokenCount) -> Duration {
        scaled(tokens, self.decode_rate, self.decode_factor)
    }

    /// Time from sending a request to its end.
    pub fn total_time(
        &self,
        backlog: TokenCount,
        prompt: TokenCount,
        output: TokenCount,
    ) -> Duration {
        let prefill = self.prefill_time(backlog.saturating_add(prompt));
        prefill.saturating_add(self.decode_time(output))
    }

    /// Corrects the prefill time by an observed first part.
    pub fn observe_first_chunk(
        &mut self,
        predicted: Duration,
        observed: Duration,
    ) {
        let factor = self.prefill_factor * quotient(observed, predicted);
        self.prefill_factor = average(self.prefill_factor, factor);
    }

    /// Corrects the decode time by an observed end.
    pub fn observe_finish(&mut self, tokens: TokenCount, observed: Duration) {
        if tokens == TokenCount::ZERO {
            return;
        }
        let predicted = scaled(tokens, self.decode_rate, 1.0);
        let factor = quotient(observed, predicted);
        self.decode_factor = average(self.decode_factor, factor);
    }

    /// Present corrections of prefill and decode times.
    pub fn factors(&self) -> (f64, f64) {
        (self.prefill_factor, self.decode_factor)
    }
}

fn stated(rate: TokenRate) -> f64 {
    rate.get().max(1) as f64
}

/// Factor by which a reported rate lengthens the stated time. A rate of zero
/// means that nothing was measured.
fn ratio(stated: f64, reported: TokenRate) -> f64 {
    if reported == TokenRate::ZERO {
        return 1.0;
    }
    (stated / reported.get() as f64).clamp(1.0 / RATE_RANGE, RATE_RANGE)
}

fn quotient(observed: Duration, predicted: Duration) -> f64 {
    let predicted = predicted.as_secs_f64().max(0.001);
    let observed = observed.as_secs_f64().max(0.001);
    (observed / predicted).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

fn average(old: f64, new: f64) -> f64 {
    let value = old + AVERAGE_WEIGHT * (new - old);
    value.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

fn scaled(tokens: TokenCount, rate: f64, factor: f64) -> Duration {
    let seconds = tokens.get() as f64 / rate * factor;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Bytes per token of an unknown workspace: fewer than usual text has, so
/// that the estimate is too high rather than too low.
const DEFAULT_BYTES_PER_TOKEN: f64 = 2.5;
/// Bytes per token that an observation may say.
const BYTES_PER_TOKEN_RANGE: (f64, f64) = (1.0, 8.0);
/// Margin on the learned ratio.
const LENGTH_MARGIN: f64 = 1.1;
/// Most workspaces whose ratio is remembered.
const LENGTH_WORKSPACES: usize = 1024;

/// Estimates the tokens of a text from its bytes.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    ratios: BTreeMap<WorkspaceId, (f64, u64)>,
    uses: u64,
}

impl LengthEstimator {
    /// An estimator that has learned nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens that a text of a workspace has at most, as far as is known.
    pub fn estimate(
        &self,
        workspace: &WorkspaceId,
        bytes: ByteSize,
    ) -> TokenCount {
        let known = self.ratios.get(workspace);
        let ratio = known.map_or(DEFAULT_BYTES_PER_TOKEN, |(ratio, _)| *ratio);
        let margin = if known.is_some() { LENGTH_MARGIN } else { 1.0 };
        let tokens = (bytes.get() as f64 / ratio * margin).ceil();
        TokenCount::new((tokens as u64).min(bytes.get()))
    }

    /// Learns from a text whose tokens an engine counted. A ratio that means
    /// more tokens is taken at once, one that means fewer step by step.
    pub fn observe(
        &mut self,
        workspace: &WorkspaceId,
        bytes: ByteSize,
        tokens: TokenCount,
    ) {
        if tokens == TokenCount::ZERO {
            return;
        }
        let ratio = bytes.get() as f64 / tokens.get() as f64;
        let (low, high) = BYTES_PER_TOKEN_RANGE;
        let ratio = ratio.clamp(low, high);
        self.uses += 1;
        let fresh = (DEFAULT_BYTES_PER_TOKEN, self.uses);
        let entry = self.ratios.entry(workspace.clone()).or_insert(fresh);
        let learned = entry.0 + AVERAGE_WEIGHT * (ratio - entry.0);
        *entry = (learned.min(ratio), self.uses);
        self.evict();
    }

    /// Workspaces whose ratio is remembered.
    pub fn known(&self) -> usize {
        self.ratios.len()
    }

    /// Forgets the half that was used longest ago once the table is full, so
    /// that the cost is spread over many observations.
    fn evict(&mut self) {
        if self.ratios.len() <= LENGTH_WORKSPACES {
            return;
        }
        let mut uses: Vec<u64> =
            self.ratios.values().map(|(_, used)| *used).collect();
        let middle = uses.len() / 2;
        let (_, limit, _) = uses.select_nth_unstable(middle);
        let limit = *limit;
        self.ratios.retain(|_, (_, used)| *used >= limit);
    }
}
