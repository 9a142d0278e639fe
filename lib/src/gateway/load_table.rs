//! Load that in-flight requests put on each upstream.
//!
//! An instance has exact data on its own requests and receives the load of the
//! others in their heartbeats, a fraction of a second late. Together this is
//! the whole load of the upstreams, since all requests pass through the
//! instances.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{InstanceId, UpstreamId},
    quantity_type,
    units::{Timestamp, TokenCount},
    value_type,
};

quantity_type! {
    /// Number of a request in flight, unique within the process.
    InFlightId, ""
}

/// Window over which the demand of long prompts is averaged: short enough to
/// show a flood within a second, long enough that single prompts do not move
/// engines between the pools.
pub const LONG_DEMAND_WINDOW: Duration = Duration::from_millis(4_000);
/// Window over which the demand of other prompts is averaged; they arrive
/// often, so that a short window suffices.
pub const SHORT_DEMAND_WINDOW: Duration = Duration::from_millis(1_000);
/// Share of a short prompt's prefill time that counts as load until its first
/// event, even after the predicted end of prefill.
const SHORT_LATE_SHARE: f64 = 0.2;
/// The same share for an engine's share of a long prompt. Engines choose their
/// own order of work, so only the first event shows that prefill is complete.
const LONG_LATE_SHARE: f64 = 1.0;
/// Age above which another instance's report is ignored.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

value_type! {
    /// Load of one upstream.
    #[derive(Copy, Default)]
    pub struct UpstreamLoad {
        /// Requests in flight with short prompts or no prompt.
        pub short: u32,
        /// Requests in flight with long prompts that this upstream answers.
        pub long: u32,
        /// Requests counted in `long` that have not produced their first event
        /// yet.
        #[serde(rename = "unread")]
        pub long_in_prefill: u32,
        /// Predicted prefill time left, in milliseconds.
        #[serde(rename = "reading_ms")]
        pub prefill_left_ms: u32,
        /// KV cache of the requests in flight, in tokens.
        #[serde(rename = "tokens")]
        pub kv_tokens: u64,
    }
}

value_type! {
    /// Prefill time that prompts ask for, in milliseconds on one engine.
    #[derive(Copy, Default)]
    pub struct PrefillDemand {
        /// Demand of the long prompts that are deferred at present.
        #[serde(rename = "held_ms")]
        pub deferred_ms: u64,
        /// Demand of the long prompts that arrived within [`LONG_DEMAND_WINDOW`].
        pub long_ms: u64,
        /// Demand of the other prompts that arrived within [`SHORT_DEMAND_WINDOW`].
        pub short_ms: u64,
    }
}

impl PrefillDemand {
    /// Mean number of engines that prefill of the arriving long prompts keeps
    /// busy.
    pub fn long_engines(&self) -> f64 {
        self.long_ms as f64 / LONG_DEMAND_WINDOW.as_millis() as f64
    }

    /// Mean number of engines that prefill of the other arriving prompts keeps
    /// busy.
    pub fn short_engines(&self) -> f64 {
        self.short_ms as f64 / SHORT_DEMAND_WINDOW.as_millis() as f64
    }

    fn add(&mut self, other: &Self) {
        self.deferred_ms = self.deferred_ms.saturating_add(other.deferred_ms);
        self.long_ms = self.long_ms.saturating_add(other.long_ms);
        self.short_ms = self.short_ms.saturating_add(other.short_ms);
    }
}

/// Arrival times and prefill times of recent prompts.
#[derive(Clone, Debug, Default)]
struct ArrivalWindow(VecDeque<(Timestamp, Duration)>);

impl ArrivalWindow {
    fn add(&mut self, now: Timestamp, prefill: Duration, window: Duration) {
        self.0.push_back((now, prefill));
        while self
            .0
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.0.pop_front();
        }
    }

    fn sum(&self, now: Timestamp, window: Duration) -> Duration {
        let recent = self.0.iter().filter(|(at, _)| now.since(*at) <= window);
        recent.map(|(_, prefill)| *prefill).sum()
    }
}

impl UpstreamLoad {
    /// Requests in flight.
    pub fn requests(&self) -> u32 {
        self.short.saturating_add(self.long)
    }

    /// Predicted prefill time left.
    pub fn prefill_left(&self) -> Duration {
        Duration::from_millis(self.prefill_left_ms.into())
    }

    fn add(&mut self, other: &Self) {
        self.short = self.short.saturating_add(other.short);
        self.long = self.long.saturating_add(other.long);
        self.long_in_prefill =
            self.long_in_prefill.saturating_add(other.long_in_prefill);
        self.prefill_left_ms =
            self.prefill_left_ms.saturating_add(other.prefill_left_ms);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }
}

/// Share of a request that one upstream processes.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineShare {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Prefill time of this share of the prompt.
    pub prefill: Duration,
    /// Time at which prefill of this share is predicted to be complete.
    pub prefill_by: Timestamp,
    /// KV cache that the upstream holds for the request.
    pub kv_tokens: TokenCount,
}

/// One request in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightRequest {
    /// Whether the prompt counts as long
    /// ([`long_prefill_min`](super::engine_limits::EngineLimits::long_prefill_min)).
    pub long: bool,
    /// Shares of the request by upstream; the first one is the upstream that
    /// answers.
    pub shares: Vec<EngineShare>,
    /// Whether the request has a prompt and its first event has not arrived
    /// yet.
    pub in_prefill: bool,
}

/// Last report of another instance, and when it arrived.
#[derive(Clone, Debug)]
struct PeerLoads {
    at: Timestamp,
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
    demand: PrefillDemand,
}

/// Load of all upstreams: own requests and reports of other instances.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    in_flight: BTreeMap<InFlightId, InFlightRequest>,
    peers: BTreeMap<InstanceId, PeerLoads>,
    /// Sum of the prefill times of the deferred long prompts.
    deferred: Duration,
    long_arrivals: ArrivalWindow,
    short_arrivals: ArrivalWindow,
    last: u64,
}

impl LoadTable {
    /// Adds a request and returns the id under which it is tracked.
    pub fn start(&mut self, entry: InFlightRequest) -> InFlightId {
        self.last += 1;
        let id = InFlightId::new(self.last);
        self.in_flight.insert(id, entry);
        id
    }

    /// Records that the prefill of a request is complete.
    pub fn record_first_event(&mut self, id: InFlightId) {
        if let Some(entry) = self.in_flight.get_mut(&id) {
            entry.in_prefill = false;
        }
    }

    /// Removes a request; an unknown id is ignored.
    pub fn finish(&mut self, id: InFlightId) {
        self.in_flight.remove(&id);
    }

    /// Number of requests in flight on this instance.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Load that this instance's requests put on each upstream.
    pub fn local_loads(
        &self,
        now: Timestamp,
    ) -> BTreeMap<UpstreamId, UpstreamLoad> {
        let mut loads = BTreeMap::<_, UpstreamLoad>::new();
        for entry in self.in_flight.values() {
            for (index, share) in entry.shares.iter().enumerate() {
                let load = loads.entry(share.upstream.clone()).or_default();
                load.add(&share_load(now, entry, share, index == 0));
            }
        }
        loads
    }

    /// Replaces the last report of another instance.
    pub fn set_report(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        loads: BTreeMap<UpstreamId, UpstreamLoad>,
        demand: PrefillDemand,
    ) {
        let loads = PeerLoads {
            at: now,
            loads,
            demand,
        };
        self.peers.insert(peer, loads);
    }

    /// Records the arrival of a prompt with this prefill time on one engine.
    pub fn count_arrival(
        &mut self,
        now: Timestamp,
        long: bool,
        prefill: Duration,
    ) {
        if long {
            self.long_arrivals.add(now, prefill, LONG_DEMAND_WINDOW);
        } else {
            self.short_arrivals.add(now, prefill, SHORT_DEMAND_WINDOW);
        }
    }

    /// Adds a deferred long prompt with this prefill time to the demand.
    pub fn defer(&mut self, prefill: Duration) {
        self.deferred += prefill;
    }

    /// Removes a deferred long prompt with this prefill time from the demand.
    pub fn end_deferral(&mut self, prefill: Duration) {
        self.deferred = self.deferred.saturating_sub(prefill);
    }

    /// Requests in flight on another instance, by its last report; zero if it
    /// has sent none.
    pub fn peer_requests(&self, peer: &InstanceId) -> u32 {
        let report = self.peers.get(peer);
        let loads = report.map(|report| report.loads.values());
        loads.map_or(0, |loads| {
            saturating_sum(loads.map(UpstreamLoad::requests))
        })
    }

    /// Prefill demand of this instance's callers.
    pub fn local_demand(&self, now: Timestamp) -> PrefillDemand {
        PrefillDemand {
            deferred_ms: millis(self.deferred),
            long_ms: millis(self.long_arrivals.sum(now, LONG_DEMAND_WINDOW)),
            short_ms: millis(self.short_arrivals.sum(now, SHORT_DEMAND_WINDOW)),
        }
    }

    /// Prefill demand of the callers of all instances.
    pub fn total_demand(&self, now: Timestamp) -> PrefillDemand {
        let mut demand = self.local_demand(now);
        for peer in self.peers.values() {
            if now.since(peer.at) <= REPORT_MAX_AGE {
                demand.add(&peer.demand);
            }
        }
        demand
    }

    /// Removes the report of an instance that is gone.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// Load of each upstream, summed over all instances. The prefill time left
    /// in a report is reduced by the report's age.
    pub fn total_loads(
        &self,
        now: Timestamp,
    ) -> BTreeMap<UpstreamId, UpstreamLoad> {
        let mut loads = self.local_loads(now);
        for peer in self.peers.values() {
            let age = now.since(peer.at);
            if age > REPORT_MAX_AGE {
                continue;
            }
            let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            for (id, load) in &peer.loads {
                let mut load = *load;
                load.prefill_left_ms = load.prefill_left_ms.saturating_sub(age);
                loads.entry(id.clone()).or_default().add(&load);
            }
        }
        loads
    }
}

/// Load that one share of a request puts on its upstream. `answers` tells the
/// upstream that answers from its helpers.
fn share_load(
    now: Timestamp,
    entry: &InFlightRequest,
    share: &EngineShare,
    answers: bool,
) -> UpstreamLoad {
    let left = share.prefill_by.since(now).min(share.prefill);
    // Until its first event, a share counts as partly unfinished even after
    // the predicted end of its prefill.
    let late_share = if entry.long {
        LONG_LATE_SHARE
    } else {
        SHORT_LATE_SHARE
    };
    let least = share.prefill.mul_f64(late_share);
    let prefill_left = if entry.in_prefill {
        left.max(least)
    } else {
        Duration::ZERO
    };
    UpstreamLoad {
        short: u32::from(answers && !entry.long),
        long: u32::from(answers && entry.long),
        long_in_prefill: u32::from(answers && entry.long && entry.in_prefill),
        prefill_left_ms: u32::try_from(prefill_left.as_millis())
            .unwrap_or(u32::MAX),
        kv_tokens: share.kv_tokens.get(),
    }
}

/// Sum of numbers that other instances report, saturating at [`u32::MAX`].
pub(super) fn saturating_sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
