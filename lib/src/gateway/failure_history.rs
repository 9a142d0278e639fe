//! Share of requests that one upstream failed, and when it is probed.
//!
//! The share is a moving average. It also decays with time, since an upstream
//! that gets no requests gives no answers that could lower it. An upstream that
//! is left out for its share is probed: it gets one repeatable request at a
//! time. The pause before the next probe doubles with each one that fails and
//! is short after one that succeeds, so that a sound upstream returns soon and
//! one that still fails some requests costs few retries.

use std::time::Duration;

use crate::units::{Timestamp, bounded_time};

/// Weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Shortest half-life of the share in windows of the retry limit. Retries are
/// allowed by the requests of a window and of the one before it, so a failure
/// affects what is allowed for two windows.
const HALF_LIFE_WINDOWS: u32 = 2;
/// Longest half-life in windows. It bounds the return of an upstream whose
/// instances have few requests that may probe it.
const HALF_LIFE_WINDOWS_MAX: u32 = 12;
/// Half-life in pauses between failed probes. If the share halved within one
/// pause, an upstream that fails each probe would return between two of them.
const HALF_LIFE_PAUSES: u32 = 2;
/// Part of a window that passes before the first probe, and between probes that
/// succeed.
const FIRST_PAUSE_DIVISOR: u32 = 10;
/// Share of the allowed retries that failed probes may use.
const PROBE_RETRY_SHARE: f64 = 0.1;

/// How fast an instance forgets failures of a service's upstreams and how often
/// it probes them. The failed probes of all instances stay within a share of
/// the retries that are allowed, whatever the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureBounds {
    window: Duration,
    /// Failed probes a second of this instance.
    failed_probes_per_s: f64,
}

impl FailureBounds {
    /// Bounds in a window of the retry limit in which this instance may make
    /// `allowed` retries.
    pub fn new(window: Duration, allowed: f64) -> Self {
        let per_window = allowed * PROBE_RETRY_SHARE;
        Self {
            window,
            failed_probes_per_s: per_window / window.as_secs_f64(),
        }
    }

    /// Shortest pause after a failed probe of one of `count` upstreams that are
    /// left out.
    fn failed_pause(&self, count: usize) -> Duration {
        bounded_time(count.max(1) as f64 / self.failed_probes_per_s)
    }

    /// Time in which the share is halved, if `count` upstreams are left out.
    fn half_life(&self, count: usize) -> Duration {
        let shortest = self.window.saturating_mul(HALF_LIFE_WINDOWS);
        let pauses = self.failed_pause(count).saturating_mul(HALF_LIFE_PAUSES);
        let longest = self.window.saturating_mul(HALF_LIFE_WINDOWS_MAX);
        pauses.clamp(shortest, longest)
    }

    fn first_pause(&self) -> Duration {
        self.window / FIRST_PAUSE_DIVISOR
    }

    /// Pause after a number of failed probes in a row.
    fn pause_after(&self, failed_probes: u32, count: usize) -> Duration {
        let factor = 1 << failed_probes.min(16);
        let backoff = self.first_pause().saturating_mul(factor);
        let longest = self.window.saturating_mul(HALF_LIFE_WINDOWS);
        backoff.min(longest).max(self.failed_pause(count))
    }
}

impl Default for FailureBounds {
    /// Bounds of the only instance, under a usual limit and without requests.
    fn default() -> Self {
        Self::new(Duration::from_secs(10), 100.0)
    }
}

/// Outcomes of the requests to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureHistory {
    /// Share of failed requests, from 0 to 1, at `updated_at`.
    share: f64,
    updated_at: Timestamp,
    half_life: Duration,
    /// Start of the newest probe, or a later outcome.
    paused_at: Timestamp,
    /// Probes that failed in a row; one that succeeds takes one off.
    failed_probes: u32,
    /// Whether the newest outcome, without a probe since, was a success.
    has_succeeded: bool,
    /// Whether a probe has begun since the newest outcome.
    is_probed: bool,
}

impl Default for FailureHistory {
    fn default() -> Self {
        Self {
            share: 0.0,
            updated_at: Timestamp::ZERO,
            half_life: FailureBounds::default().half_life(1),
            paused_at: Timestamp::ZERO,
            failed_probes: 0,
            has_succeeded: false,
            is_probed: false,
        }
    }
}

impl FailureHistory {
    /// Share of failed requests, from 0 to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        let age = now.since(self.updated_at).as_secs_f64();
        let half_lives = age / self.half_life.as_secs_f64();
        self.share * 0.5_f64.powf(half_lives)
    }

    /// Adds the outcome of a request. `count` is the number of upstreams of the
    /// service that are left out.
    pub fn record(
        &mut self,
        now: Timestamp,
        bounds: &FailureBounds,
        count: usize,
        has_failed: bool,
    ) {
        let share = self.share(now);
        let newest = if has_failed { 1.0 } else { 0.0 };
        self.share = share + FAILURE_WEIGHT * (newest - share);
        self.updated_at = now;
        self.half_life = bounds.half_life(count);
        self.paused_at = now;
        self.has_succeeded = !has_failed;
        if std::mem::take(&mut self.is_probed) {
            self.failed_probes = if has_failed {
                self.failed_probes.saturating_add(1)
            } else {
                self.failed_probes.saturating_sub(1)
            };
        }
    }

    /// Records that the upstream is left out from now on.
    pub fn begin_exclusion(&mut self) {
        self.failed_probes = 0;
        self.is_probed = false;
    }

    /// Records that a probe has begun.
    pub fn begin_probe(&mut self, now: Timestamp) {
        self.paused_at = now;
        self.has_succeeded = false;
        self.is_probed = true;
    }

    /// When the next probe may begin. `count` is the number of upstreams of the
    /// service that are left out.
    pub fn next_probe_at(
        &self,
        bounds: &FailureBounds,
        count: usize,
    ) -> Timestamp {
        let pause = if self.has_succeeded {
            bounds.first_pause()
        } else {
            bounds.pause_after(self.failed_probes, count)
        };
        self.paused_at.after(pause)
    }
}
