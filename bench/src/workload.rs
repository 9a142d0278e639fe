//! Seeded workloads of open-loop arrivals.
//!
//! A workload is made before the run, so that the product and the baselines
//! get the same requests at the same times.

use std::{sync::Arc, time::Duration};

use borageline_lib::api::PriorityClass;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of text that the stand-in engine counts as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Prompt lengths up to which a request counts as short, in tokens.
pub const SHORT_TOKENS: u64 = 4_000;
/// Prompt lengths above which a request counts as long, in tokens.
pub const LONG_TOKENS: u64 = 100_000;
/// Longest prompt, in tokens.
pub const LONGEST_TOKENS: u64 = 1_000_000;
/// Shortest prompt, in tokens.
pub const SHORTEST_TOKENS: u64 = 1_000;

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Workspace that sends it.
    pub workspace: usize,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Priority class.
    pub class: PriorityClass,
    /// Seed of the prompt's text.
    pub text_seed: u64,
}

/// What a workload is made of.
#[derive(Clone, Debug)]
pub struct WorkloadSpec {
    /// Requests per second.
    pub rate: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Number of workspaces; a few send most.
    pub workspaces: usize,
    /// Share of requests between short and long.
    pub medium_share: f64,
    /// Share of long requests.
    pub long_share: f64,
    /// Longest prompt, in tokens.
    pub longest: u64,
}

impl WorkloadSpec {
    /// One request in fifty is long, four in five are short.
    pub fn new(rate: f64, duration: Duration) -> Self {
        Self {
            rate,
            duration,
            workspaces: 10,
            medium_share: 0.18,
            long_share: 0.02,
            longest: LONGEST_TOKENS,
        }
    }

    /// Makes the requests; the same for the same seed.
    ///
    /// The short and medium requests do not depend on whether the long ones
    /// are kept, so that runs with and without them can be compared.
    pub fn plan(&self, seed: u64) -> Vec<PlannedRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= uniform.ln() / self.rate;
            if at >= self.duration.as_secs_f64() {
                return requests;
            }
            let kind: f64 = rng.random();
            let (low, high, class) = if kind < self.long_share {
                (LONG_TOKENS, self.longest, PriorityClass::Batch)
            } else if kind < self.long_share + self.medium_share {
                (SHORT_TOKENS, LONG_TOKENS, PriorityClass::Standard)
            } else {
                (SHORTEST_TOKENS, SHORT_TOKENS, PriorityClass::Interactive)
            };
            let prompt_tokens = log_uniform(&mut rng, low, high);
            // Squaring makes a few workspaces send most requests.
            let skew: f64 = rng.random();
            let workspace = (skew * skew * self.workspaces as f64) as usize;
            requests.push(PlannedRequest {
                at: Duration::from_secs_f64(at),
                workspace: workspace.min(self.workspaces - 1),
                prompt_tokens,
                output_tokens: rng.random_range(16..=64),
                class,
                text_seed: rng.random(),
            });
        }
    }
}

/// Mean prompt and output tokens of a plan.
pub fn mean_tokens(plan: &[PlannedRequest]) -> (f64, f64) {
    let count = plan.len().max(1) as f64;
    let prompt: u64 = plan.iter().map(|request| request.prompt_tokens).sum();
    let output: u64 = plan
        .iter()
        .map(|request| u64::from(request.output_tokens))
        .sum();
    (prompt as f64 / count, output as f64 / count)
}

/// Text of a prompt; the first words name the seed, so that texts differ.
pub fn prompt_text(text_seed: u64, tokens: u64) -> Arc<str> {
    let length = tokens as usize * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(length + BYTES_PER_TOKEN);
    let mut rng = ChaCha8Rng::seed_from_u64(text_seed);
    while text.len() < length {
        let word: u64 = rng.random();
        for shift in 0..8 {
            let letter = b'a' + ((word >> (shift * 8)) & 15) as u8;
            text.push(char::from(letter));
        }
    }
    text.truncate(length);
    text.into()
}

fn log_uniform(rng: &mut ChaCha8Rng, low: u64, high: u64) -> u64 {
    let low = (low as f64).ln();
    let high = (high as f64).ln();
    rng.random_range(low..high).exp() as u64
}
