//! What the requests in flight ask of each upstream.
//!
//! An instance knows its local_loads requests exactly and learns those of the others
//! from their reports, a fraction of a second late. Together they are the
//! load of the upstreams, since all work comes through the instances.

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

/// Time over which the total_demand of long prompts is averaged: a flood shows within
/// a second, and single prompts do not move engines between uses.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(4_000);
/// Time over which the total_demand of other prompts is averaged: they come often.
pub const SHORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Share of a short prompt's in_prefill that counts until its first event.
const SHORT_LATE_SHARE: f64 = 0.2;
/// Share of a long prompt's share that counts until its first event. Engines
/// prefill in an order of their local_loads, so that only the event shows the share done.
const LONG_LATE_SHARE: f64 = 1.0;
/// Age at which a set_report of another instance no longer counts.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

value_type! {
    /// Load of one upstream.
    #[derive(Copy, Default)]
    pub struct UpstreamLoad {
        /// Requests of which no engine reads the prompt for long.
        pub short: u32,
        /// Requests with long prompts.
        pub long: u32,
        /// Requests with long prompts whose first event it has not made yet.
        #[serde(rename = "unread")]
        pub long_in_prefill: u32,
        /// Reading that is not finished, in milliseconds.
        #[serde(rename = "reading_ms")]
        pub prefill_left_ms: u32,
        /// Memory of the requests, in tokens.
        pub tokens: u64,
    }
}

value_type! {
    /// Reading that prompts ask for, in milliseconds on one engine.
    #[derive(Copy, Default)]
    pub struct PrefillDemand {
        /// Of the long prompts that are deferred back.
        #[serde(rename = "held_ms")]
        pub deferred_ms: u64,
        /// Of the long prompts that came within [`DEMAND_WINDOW`].
        pub long_ms: u64,
        /// Of the other prompts that came within [`SHORT_WINDOW`].
        pub short_ms: u64,
    }
}

impl PrefillDemand {
    /// Engines that are busy with the long prompts that count_arrival.
    pub fn long_engines(&self) -> f64 {
        self.long_ms as f64 / DEMAND_WINDOW.as_millis() as f64
    }

    /// Engines that are busy with the other prompts that count_arrival.
    pub fn short_engines(&self) -> f64 {
        self.short_ms as f64 / SHORT_WINDOW.as_millis() as f64
    }
}

/// Reading times of the prompts that came within a time.
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
        self.short + self.long
    }

    /// Reading that is not finished.
    pub fn prefill_left(&self) -> Duration {
        Duration::from_millis(self.prefill_left_ms.into())
    }

    fn add(&mut self, other: &Self) {
        self.short += other.short;
        self.long += other.long;
        self.long_in_prefill += other.long_in_prefill;
        self.prefill_left_ms =
            self.prefill_left_ms.saturating_add(other.prefill_left_ms);
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

/// Part of a request that one upstream carries.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineShare {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Time to prefill its share of the prompt.
    pub prefill: Duration,
    /// When it is expected to have prefill its share.
    pub prefill_by: Timestamp,
    /// Memory that it holds for the request.
    pub tokens: TokenCount,
}

/// One request in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightRequest {
    /// Whether its prompt is long to prefill.
    pub long: bool,
    /// Parts; the first is the upstream that answers.
    pub shares: Vec<EngineShare>,
    /// Whether its first event has not come yet.
    pub in_prefill: bool,
}

#[derive(Clone, Debug)]
struct PeerLoads {
    at: Timestamp,
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
    total_demand: PrefillDemand,
}

/// Load of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    in_flight: BTreeMap<InFlightId, InFlightRequest>,
    peers: BTreeMap<InstanceId, PeerLoads>,
    deferred: Duration,
    long_arrivals: ArrivalWindow,
    short_arrivals: ArrivalWindow,
    last: u64,
}

impl LoadTable {
    /// Adds a request.
    pub fn start(&mut self, entry: InFlightRequest) -> InFlightId {
        self.last += 1;
        let id = InFlightId::new(self.last);
        self.in_flight.insert(id, entry);
        id
    }

    /// Notes that the prompt of a request is prefill.
    pub fn record_first_event(&mut self, id: InFlightId) {
        if let Some(entry) = self.in_flight.get_mut(&id) {
            entry.in_prefill = false;
        }
    }

    /// Removes a request.
    pub fn finish(&mut self, id: InFlightId) {
        self.in_flight.remove(&id);
    }

    /// Requests in flight on this instance.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Loads that this instance causes.
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

    /// Replaces what another instance has reported.
    pub fn set_report(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        loads: BTreeMap<UpstreamId, UpstreamLoad>,
        total_demand: PrefillDemand,
    ) {
        let loads = PeerLoads {
            at: now,
            loads,
            total_demand,
        };
        self.peers.insert(peer, loads);
    }

    /// Notes the arrival of a prompt, by its in_prefill time.
    pub fn count_arrival(
        &mut self,
        now: Timestamp,
        long: bool,
        prefill: Duration,
    ) {
        if long {
            self.long_arrivals.add(now, prefill, DEMAND_WINDOW);
        } else {
            self.short_arrivals.add(now, prefill, SHORT_WINDOW);
        }
    }

    /// Notes a long prompt that is deferred back, by its in_prefill time.
    pub fn defer(&mut self, prefill: Duration) {
        self.deferred += prefill;
    }

    /// Notes that a long prompt is no longer deferred back.
    pub fn end_deferral(&mut self, prefill: Duration) {
        self.deferred = self.deferred.saturating_sub(prefill);
    }

    /// Reading that this instance's callers ask for.
    pub fn local_demand(&self, now: Timestamp) -> PrefillDemand {
        PrefillDemand {
            deferred_ms: millis(self.deferred),
            long_ms: millis(self.long_arrivals.sum(now, DEMAND_WINDOW)),
            short_ms: millis(self.short_arrivals.sum(now, SHORT_WINDOW)),
        }
    }

    /// Reading that the callers of all instances ask for.
    pub fn total_demand(&self, now: Timestamp) -> PrefillDemand {
        let mut total_demand = self.local_demand(now);
        for peer in self.peers.values() {
            if now.since(peer.at) <= REPORT_MAX_AGE {
                total_demand.deferred_ms += peer.total_demand.deferred_ms;
                total_demand.long_ms += peer.total_demand.long_ms;
                total_demand.short_ms += peer.total_demand.short_ms;
            }
        }
        total_demand
    }

    /// Forgets an instance that is gone.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// Load of all upstreams, from all instances.
    pub fn total_loads(
        &self,
        now: Timestamp,
    ) -> BTreeMap<UpstreamId, UpstreamLoad> {
        let mut total_loads = self.local_loads(now);
        for peer in self.peers.values() {
            let age = now.since(peer.at);
            if age > REPORT_MAX_AGE {
                continue;
            }
            let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            for (id, load) in &peer.loads {
                let mut load = *load;
                load.prefill_left_ms = load.prefill_left_ms.saturating_sub(age);
                total_loads.entry(id.clone()).or_default().add(&load);
            }
        }
        total_loads
    }
}

fn share_load(
    now: Timestamp,
    entry: &InFlightRequest,
    share: &EngineShare,
    answers: bool,
) -> UpstreamLoad {
    let left = share.prefill_by.since(now).min(share.prefill);
    // Before the first event, some share is late if none seems left.
    let overdue_share = if entry.long {
        LONG_LATE_SHARE
    } else {
        SHORT_LATE_SHARE
    };
    let least = share.prefill.mul_f64(overdue_share);
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
        tokens: share.tokens.get(),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
