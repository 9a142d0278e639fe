//! Chooses engines for short prompts where there are many instances for each
//! engine.
//!
//! All instances choose from about the same view, which is as old as the last
//! reports that were processed. The best engine of such a view is chosen by
//! many at once. Where each instance makes few of the choices, its own sends
//! say little about an engine either. So that the sends are even whatever the
//! age of the view, each instance has a few home engines and uses them in turn;
//! the homes of all instances cover the short pool evenly. The view decides
//! only between the two engines whose turn it is, and leads away from them if
//! it shows no free slot there. `docs/design/even-load.md` compares this way
//! with others.

use rand::{Rng, seq::IndexedRandom};

use super::{
    dispatch_rate::DispatchLimiter, load_table::UpstreamLoad,
    upstream_table::TrackedUpstream,
};
use crate::units::Timestamp;

/// Home engines of an instance. With fewer, instances with many callers load
/// their homes more than others; with more, the turns of an instance take
/// longer than a request, and no longer spread its sends.
const HOME_ENGINES: usize = 8;
/// Engines whose turn it is, between which the view decides. With three, old
/// views lead to as many late prompts as a random choice.
const TURN_ENGINES: usize = 2;
/// Engines that are considered besides if the view shows no free slot on the
/// chosen one.
const OTHER_ENGINES: usize = 4;

/// What an instance knows of its own place among the others.
#[derive(Clone, Copy, Debug)]
pub struct EvenChoice<'a> {
    /// Number of other instances with a lower address.
    pub position: usize,
    /// Number of instances, this one included.
    pub instances: usize,
    /// Own sends.
    pub sends: &'a DispatchLimiter,
}

/// An engine that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct ShortCandidate<'a> {
    /// The engine.
    pub upstream: &'a TrackedUpstream,
    /// Whether it belongs to the short pool.
    pub in_short_pool: bool,
}

impl EvenChoice<'_> {
    /// Engines to consider first, of the `pool` of those that may be chosen.
    pub fn turn<'b>(
        &self,
        pool: &[ShortCandidate<'b>],
        rng: &mut impl Rng,
    ) -> Vec<ShortCandidate<'b>> {
        let count = HOME_ENGINES.min(pool.len());
        // Homes begin at equal distances, so that they move little when an
        // engine comes or goes.
        let first = self.position * pool.len() / self.instances.max(1);
        let mut home: Vec<_> = (0..count)
            .map(|offset| pool[(first + offset) % pool.len()])
            .map(|candidate| {
                let last = self.last_send(candidate.upstream);
                (last, rng.random::<u32>(), candidate)
            })
            .collect();
        home.sort_by_key(|(last, random, _)| (*last, *random));
        home.truncate(TURN_ENGINES);
        home.into_iter().map(|(.., candidate)| candidate).collect()
    }

    /// Engines to consider besides, of all that may be chosen.
    pub fn others<'b>(
        &self,
        candidates: &[ShortCandidate<'b>],
        rng: &mut impl Rng,
    ) -> Vec<ShortCandidate<'b>> {
        let others = candidates.choose_multiple(rng, OTHER_ENGINES);
        others.copied().collect()
    }

    fn last_send(&self, upstream: &TrackedUpstream) -> Option<Timestamp> {
        self.sends.last_send(&upstream.entry.id)
    }
}

/// How evenly the engines of a service are used, as an instance sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineUse {
    /// Share of all slots that requests use.
    pub slots_in_use: f64,
    /// Requests on the busiest engine over the mean; zero without requests.
    pub busiest_to_mean: f64,
    /// Whether an engine of the pool has a queue while another has free slots.
    pub is_queue_beside_free: bool,
}

impl EngineUse {
    /// Use of engines with this number of slots and these loads. Engines with
    /// long prompts count as used, but are not in the pool.
    pub fn new(
        slots: u32,
        loads: impl IntoIterator<Item = UpstreamLoad>,
    ) -> Self {
        let mut engines = 0_u32;
        let mut used = 0_u64;
        let mut requests = 0_u64;
        let mut busiest = 0;
        let mut has_queue = false;
        let mut has_free = false;
        for load in loads {
            let count = load.requests();
            engines += 1;
            used += u64::from(count.min(slots));
            requests += u64::from(count);
            busiest = busiest.max(count);
            if load.long == 0 {
                has_queue |= count > slots;
                has_free |= count < slots;
            }
        }
        let all_slots = f64::from(engines) * f64::from(slots);
        let mean = requests as f64 / f64::from(engines.max(1));
        Self {
            slots_in_use: used as f64 / all_slots.max(1.0),
            busiest_to_mean: if requests > 0 {
                f64::from(busiest) / mean
            } else {
                0.0
            },
            is_queue_beside_free: has_queue && has_free,
        }
    }
}
