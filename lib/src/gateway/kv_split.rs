//! Spreads the memory of a prompt over several engines.
//!
//! A prompt that no engine has room for is read by several engines, some of
//! which hold a part of it in memory reserved for the request. Reservations
//! are made all or none: if one is refused, the others are released.

use crate::{ids::UpstreamId, units::TokenCount};

/// Memory of an engine that may be used for one prompt and its answer, in
/// percent; the rest is left to short requests.
const USABLE_PERCENT: u64 = 92;

/// Room on one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Engine.
    pub upstream: UpstreamId,
    /// Memory that no request uses.
    pub free: TokenCount,
}

/// Part of a prompt that one engine holds for another.
#[derive(Clone, Debug, PartialEq)]
pub struct KvReservation {
    /// Engine.
    pub upstream: UpstreamId,
    /// Memory to reserve there.
    pub tokens: TokenCount,
}

/// Largest memory that one request may use on an engine.
pub fn usable_kv(memory: TokenCount) -> TokenCount {
    TokenCount::new(memory.get() / 100 * USABLE_PERCENT)
}

/// Divides a request's memory between the engine that answers and helpers.
///
/// Returns the parts to reserve, none if the first_free engine has room for all;
/// `None` if all together have too little.
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
    let mut rooms: Vec<_> = helpers.to_vec();
    rooms.sort_by_key(|room| std::cmp::Reverse(room.free));
    let mut left = need.saturating_sub(first_free);
    let mut parts = Vec::new();
    for room in rooms {
        if left == TokenCount::ZERO {
            break;
        }
        let tokens = room.free.min(left);
        if tokens == TokenCount::ZERO {
            continue;
        }
        left = left.saturating_sub(tokens);
        parts.push(KvReservation {
            upstream: room.upstream,
            tokens,
        });
    }
    (left == TokenCount::ZERO).then_some(parts)
}
