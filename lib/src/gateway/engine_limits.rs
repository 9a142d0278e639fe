//! Limits on an engine's load that follow from its speed and from the pauses
//! that callers of short requests accept.
//!
//! An engine decodes for all its requests in passes and does prefill between
//! them, so that the time between two events of a stream is a pass plus the
//! prefill in it. How much of both an engine may get depends on the engine and
//! on the routes, not on the size of the deployment.

use std::time::Duration;

use super::cost_model::EngineProfile;
use crate::units::TokenCount;

/// Share of the accepted pause that a pass may take; the rest covers delays
/// between the engine and the caller.
const PASS_SHARE: f64 = 0.88;
/// Least share of the accepted pause that is left to prefill if passes are
/// slow.
const PREFILL_SHARE_MIN: f64 = 0.25;
/// Decode passes that the shortest pause covers at least; an engine cannot send
/// events more often than once in a pass.
const PAUSE_PASSES_MIN: u32 = 2;
/// Share of an engine's slots that short requests take before another engine
/// is used.
const SHORT_SLOT_SHARE: f64 = 0.75;
/// Share of an engine's KV cache that a typical long prompt takes.
const TYPICAL_LONG_SHARE: f64 = 0.5;

/// Limits on the load of each engine of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLimits {
    /// Longest pass, with its prefill, that callers of short requests do not
    /// notice.
    pub pass_max: Duration,
    /// Prefill time above which a prompt counts as long: together with a
    /// decode pass it exceeds [`Self::pass_max`].
    pub long_prefill_min: Duration,
    /// Prefill time that one share of a long prompt should take.
    pub share_prefill: Duration,
    /// Short requests that an engine serves before another one is used.
    pub short_requests: u32,
    /// Prefill time of a typical long prompt on one engine.
    pub typical_long_prefill: Duration,
}

impl EngineLimits {
    /// Derives the limits of engines whose callers accept pauses of `pause`
    /// between two events.
    pub fn new(engine: &EngineProfile, pause: Duration) -> Self {
        let pass = engine.decode_pass(1, TokenCount::ZERO);
        let pause = pause.max(pass * PAUSE_PASSES_MIN);
        let pass_max = pause.mul_f64(PASS_SHARE);
        let long_prefill_min = pass_max
            .saturating_sub(pass)
            .max(pause.mul_f64(PREFILL_SHARE_MIN));
        let slots = f64::from(engine.slots) * SHORT_SLOT_SHARE;
        let typical = engine.kv_capacity.get() as f64 * TYPICAL_LONG_SHARE;
        Self {
            pass_max,
            long_prefill_min,
            share_prefill: pause,
            short_requests: (slots as u32).max(1),
            typical_long_prefill: engine
                .prefill_time(TokenCount::new(typical as u64)),
        }
    }
}
