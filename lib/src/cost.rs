//! Predicted times of a request on one engine, and the estimated length of text
//! prompts.
//!
//! Predictions start from the rates that the engine states. Observed times to
//! the first chunk and to the end correct them by a bounded moving average.
//! Rates in load reports count only within a bounded range of the stated ones,
//! so late, missing or invalid reports cannot distort a prediction without
//! limit. [`LengthEstimator`] errs towards too many tokens.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    engine_api::{CapabilityReport, LoadReport},
    ids::WorkspaceId,
    units::{ByteSize, Timestamp, TokenCount, TokenRate},
};

/// Age at which a load report is no longer used.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Weight of a new observation in the moving average.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Range of the factor that corrects a predicted time.
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);
/// Maximum factor between a reported and the stated rate, in both directions.
const RATE_RANGE: f64 = 8.0;

/// Predicts times and memory of requests on one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct CostModel {
    prefill_rate: f64,
    decode_rate: f64,
    /// Factors by which observed times exceed those at the stated rates.
    prefill_factor: f64,
    decode_factor: f64,
    reported_backlog: TokenCount,
    reported_at: Option<Timestamp>,
}

impl CostModel {
    /// A model with the rates that the engine states.
    pub fn new(report: &CapabilityReport) -> Self {
        Self {
            prefill_rate: stated_rate(report.prefill_rate),
            decode_rate: stated_rate(report.decode_rate),
            prefill_factor: 1.0,
            decode_factor: 1.0,
            reported_backlog: TokenCount::ZERO,
            reported_at: None,
        }
    }

    /// Applies a load report, unless it is older than [`REPORT_MAX_AGE`].
    pub fn apply_load_report(&mut self, now: Timestamp, report: &LoadReport) {
        let age = Duration::from_millis(report.age_ms);
        if age > REPORT_MAX_AGE {
            return;
        }
        self.reported_at = Some(now);
        self.reported_backlog = report.prefill_backlog;
        let prefill = rate_factor(self.prefill_rate, report.prefill_rate);
        let decode = rate_factor(self.decode_rate, report.decode_rate);
        self.prefill_factor = moving_average(self.prefill_factor, prefill);
        self.decode_factor = moving_average(self.decode_factor, decode);
    }

    /// Memory that a request needs for its prompt and its output.
    pub fn memory(prompt: TokenCount, output: TokenCount) -> TokenCount {
        prompt.saturating_add(output)
    }

    /// Prompt tokens that wait for prefill on the engine: the sum of the
    /// owner's reservations, or the engine's report if that is recent and
    /// larger.
    pub fn backlog(
        &self,
        now: Timestamp,
        reserved_backlog: TokenCount,
    ) -> TokenCount {
        let recent = self
            .reported_at
            .is_some_and(|at| now.since(at) <= REPORT_MAX_AGE);
        if recent {
            reserved_backlog.max(self.reported_backlog)
        } else {
            reserved_backlog
        }
    }

    /// Predicted time to prefill a number of tokens.
    pub fn prefill_time(&self, tokens: TokenCount) -> Duration {
        duration_at_rate(tokens, self.prefill_rate, self.prefill_factor)
    }

    /// Predicted time to generate a number of tokens.
    pub fn decode_time(&self, tokens: TokenCount) -> Duration {
        duration_at_rate(tokens, self.decode_rate, self.decode_factor)
    }

    /// Predicted time from sending a request to its end.
    pub fn total_time(
        &self,
        backlog: TokenCount,
        prompt: TokenCount,
        output: TokenCount,
    ) -> Duration {
        let prefill = self.prefill_time(backlog.saturating_add(prompt));
        prefill.saturating_add(self.decode_time(output))
    }

    /// Corrects the prefill time by an observed time to the first chunk.
    pub fn observe_first_chunk(
        &mut self,
        predicted: Duration,
        observed: Duration,
    ) {
        let factor = self.prefill_factor * time_factor(observed, predicted);
        self.prefill_factor = moving_average(self.prefill_factor, factor);
    }

    /// Corrects the decode time by an observed decode of `tokens` tokens.
    pub fn observe_finish(&mut self, tokens: TokenCount, observed: Duration) {
        if tokens == TokenCount::ZERO {
            return;
        }
        let predicted = duration_at_rate(tokens, self.decode_rate, 1.0);
        let factor = time_factor(observed, predicted);
        self.decode_factor = moving_average(self.decode_factor, factor);
    }

    /// Present correction factors of prefill and decode times.
    pub fn factors(&self) -> (f64, f64) {
        (self.prefill_factor, self.decode_factor)
    }
}

fn stated_rate(rate: TokenRate) -> f64 {
    rate.get().max(1) as f64
}

/// Factor by which a reported rate lengthens the time at the stated rate. A
/// reported rate of zero means that nothing was measured.
fn rate_factor(stated: f64, reported: TokenRate) -> f64 {
    if reported == TokenRate::ZERO {
        return 1.0;
    }
    (stated / reported.get() as f64).clamp(1.0 / RATE_RANGE, RATE_RANGE)
}

fn time_factor(observed: Duration, predicted: Duration) -> f64 {
    let predicted = predicted.as_secs_f64().max(0.001);
    let observed = observed.as_secs_f64().max(0.001);
    (observed / predicted).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

fn moving_average(old: f64, new: f64) -> f64 {
    let value = old + OBSERVATION_WEIGHT * (new - old);
    value.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

fn duration_at_rate(tokens: TokenCount, rate: f64, factor: f64) -> Duration {
    let seconds = tokens.get() as f64 / rate * factor;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Bytes per token in a workspace without observations. Lower than in usual
/// text, so that the estimate is too high rather than too low.
const DEFAULT_BYTES_PER_TOKEN: f64 = 2.5;
/// Range to which observed bytes per token are limited.
const BYTES_PER_TOKEN_RANGE: (f64, f64) = (1.0, 8.0);
/// Factor on an estimate from observations.
const LENGTH_MARGIN: f64 = 1.1;
/// Maximum number of workspaces with observations.
const LENGTH_WORKSPACES_MAX: usize = 1024;

/// Estimates the number of tokens of a text from its length in bytes.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    /// Bytes per token of each workspace, with the number of its last
    /// observation.
    ratios: BTreeMap<WorkspaceId, (f64, u64)>,
    observations: u64,
}

impl LengthEstimator {
    /// An estimator without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Estimated upper bound of the tokens of a text in a workspace.
    pub fn estimate(
        &self,
        workspace: &WorkspaceId,
        bytes: ByteSize,
    ) -> TokenCount {
        let observed = self.ratios.get(workspace);
        let bytes_per_token = observed
            .map_or(DEFAULT_BYTES_PER_TOKEN, |(bytes_per_token, _)| {
                *bytes_per_token
            });
        let margin = if observed.is_some() {
            LENGTH_MARGIN
        } else {
            1.0
        };
        let tokens = (bytes.get() as f64 / bytes_per_token * margin).ceil();
        TokenCount::new((tokens as u64).min(bytes.get()))
    }

    /// Records the number of tokens that an engine counted in a text. A ratio
    /// that means more tokens applies at once, one that means fewer is
    /// averaged.
    pub fn observe(
        &mut self,
        workspace: &WorkspaceId,
        bytes: ByteSize,
        tokens: TokenCount,
    ) {
        if tokens == TokenCount::ZERO {
            return;
        }
        let bytes_per_token = bytes.get() as f64 / tokens.get() as f64;
        let (low, high) = BYTES_PER_TOKEN_RANGE;
        let bytes_per_token = bytes_per_token.clamp(low, high);
        self.observations += 1;
        let initial = (DEFAULT_BYTES_PER_TOKEN, self.observations);
        let entry = self.ratios.entry(workspace.clone()).or_insert(initial);
        let averaged =
            entry.0 + OBSERVATION_WEIGHT * (bytes_per_token - entry.0);
        *entry = (averaged.min(bytes_per_token), self.observations);
        self.evict();
    }

    /// Number of workspaces with observations.
    pub fn workspace_count(&self) -> usize {
        self.ratios.len()
    }

    /// Once the table is full, removes the half of the workspaces whose last
    /// observation is oldest, so that the cost is amortized over many
    /// observations.
    fn evict(&mut self) {
        if self.ratios.len() <= LENGTH_WORKSPACES_MAX {
            return;
        }
        let mut observations: Vec<u64> =
            self.ratios.values().map(|(_, used)| *used).collect();
        let middle = observations.len() / 2;
        let (_, limit, _) = observations.select_nth_unstable(middle);
        let limit = *limit;
        self.ratios.retain(|_, (_, used)| *used >= limit);
    }
}
