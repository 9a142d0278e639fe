//! Splits the KV cache of one prompt over several engines.
//!
//! A prompt that exceeds the free KV cache of every engine is prefilled by
//! several engines, some of which hold a part of its KV cache under a
//! reservation for the request. Reservations are made all or none: if one is
//! refused, the others are released.

use crate::{ids::UpstreamId, units::TokenCount};

/// Share of an engine's KV cache that one prompt and its answer may use, in
/// percent; the rest is left to short requests.
const USABLE_PERCENT: u64 = 92;

/// Free KV cache of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// KV cache that no request uses, in tokens.
    pub free: TokenCount,
}

/// KV cache to reserve on a helper engine.
#[derive(Clone, Debug, PartialEq)]
pub struct KvReservation {
    /// Id of the helper engine.
    pub upstream: UpstreamId,
    /// Size of the reservation, in tokens.
    pub tokens: TokenCount,
}

/// Largest part of an engine's KV cache that one request may use.
pub fn usable_kv(memory: TokenCount) -> TokenCount {
    TokenCount::new(memory.get() / 100 * USABLE_PERCENT)
}

/// Splits a request's KV cache between the engine that answers, with
/// `first_free` tokens free, and the helpers.
///
/// Returns the reservations to make on helpers, an empty list if the answering
/// engine can hold everything, or `None` if all engines together have too
/// little free KV cache.
pub fn split_kv(
    prompt: TokenCount,
    output_max: TokenCount,
    first_free: TokenCount,
    helpers: &[EngineCapacity],
) -> Option<Vec<KvReservation>> {
    let need = prompt.saturating_add(output_max);
    if need <= first_free {
        return Some(Vec::new());
    }
    let mut engines: Vec<_> = helpers.to_vec();
    engines.sort_by_key(|engine| std::cmp::Reverse(engine.free));
    let mut left = need.saturating_sub(first_free);
    let mut parts = Vec::new();
    for engine in engines {
        if left == TokenCount::ZERO {
            break;
        }
        let tokens = engine.free.min(left);
        if tokens == TokenCount::ZERO {
            continue;
        }
        left = left.saturating_sub(tokens);
        parts.push(KvReservation {
            upstream: engine.upstream,
            tokens,
        });
    }
    (left == TokenCount::ZERO).then_some(parts)
}
