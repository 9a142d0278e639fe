//! What the requests in flight ask of each upstream.
//!
//! An instance knows its own requests exactly and learns those of the others
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
    FlightId, ""
}

/// Time over which the demand of long prompts is averaged: a flood shows within
/// a second, and single prompts do not move engines between uses.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(4_000);
/// Time over which the demand of other prompts is averaged: they come often.
pub const SHORT_WINDOW: Duration = Duration::from_millis(1_000);
/// Share of a short prompt's reading that counts until its first event.
const SHORT_LATE_SHARE: f64 = 0.2;
/// Share of a long prompt's part that counts until its first event. Engines
/// read in an order of their own, so that only the event shows the part done.
const LONG_LATE_SHARE: f64 = 1.0;
/// Age at which a report of another instance no longer counts.
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
        pub unread: u32,
        /// Reading that is not finished, in milliseconds.
        pub reading_ms: u32,
        /// Memory of the requests, in tokens.
        pub tokens: u64,
    }
}

value_type! {
    /// Reading that prompts ask for, in milliseconds on one engine.
    #[derive(Copy, Default)]
    pub struct ReadDemand {
        /// Of the long prompts that are held back.
        pub held_ms: u64,
        /// Of the long prompts that came within [`DEMAND_WINDOW`].
        pub long_ms: u64,
        /// Of the other prompts that came within [`SHORT_WINDOW`].
        pub short_ms: u64,
    }
}

impl ReadDemand {
    /// Engines that are busy with the long prompts that arrive.
    pub fn long_engines(&self) -> f64 {
        self.long_ms as f64 / DEMAND_WINDOW.as_millis() as f64
    }

    /// Engines that are busy with the other prompts that arrive.
    pub fn short_engines(&self) -> f64 {
        self.short_ms as f64 / SHORT_WINDOW.as_millis() as f64
    }
}

/// Reading times of the prompts that came within a time.
#[derive(Clone, Debug, Default)]
struct ReadWindow(VecDeque<(Timestamp, Duration)>);

impl ReadWindow {
    fn add(&mut self, now: Timestamp, read: Duration, window: Duration) {
        self.0.push_back((now, read));
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
        recent.map(|(_, read)| *read).sum()
    }
}

impl UpstreamLoad {
    /// Requests in flight.
    pub fn requests(&self) -> u32 {
        self.short + self.long
    }

    /// Reading that is not finished.
    pub fn reading(&self) -> Duration {
        Duration::from_millis(self.reading_ms.into())
    }

    fn add(&mut self, other: &Self) {
        self.short += other.short;
        self.long += other.long;
        self.unread += other.unread;
        self.reading_ms = self.reading_ms.saturating_add(other.reading_ms);
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

/// Part of a request that one upstream carries.
#[derive(Clone, Debug, PartialEq)]
pub struct FlightPart {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Time to read its part of the prompt.
    pub read: Duration,
    /// When it is expected to have read its part.
    pub read_by: Timestamp,
    /// Memory that it holds for the request.
    pub tokens: TokenCount,
}

/// One request in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct FlightEntry {
    /// Whether its prompt is long to read.
    pub long: bool,
    /// Parts; the first is the upstream that answers.
    pub parts: Vec<FlightPart>,
    /// Whether its first event has not come yet.
    pub reading: bool,
}

#[derive(Clone, Debug)]
struct PeerLoads {
    at: Timestamp,
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
    demand: ReadDemand,
}

/// Load of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    flights: BTreeMap<FlightId, FlightEntry>,
    peers: BTreeMap<InstanceId, PeerLoads>,
    held: Duration,
    long_arrivals: ReadWindow,
    short_arrivals: ReadWindow,
    last: u64,
}

impl LoadBoard {
    /// Adds a request.
    pub fn start(&mut self, entry: FlightEntry) -> FlightId {
        self.last += 1;
        let id = FlightId::new(self.last);
        self.flights.insert(id, entry);
        id
    }

    /// Notes that the prompt of a request is read.
    pub fn first_event(&mut self, id: FlightId) {
        if let Some(entry) = self.flights.get_mut(&id) {
            entry.reading = false;
        }
    }

    /// Removes a request.
    pub fn finish(&mut self, id: FlightId) {
        self.flights.remove(&id);
    }

    /// Requests in flight on this instance.
    pub fn flights(&self) -> usize {
        self.flights.len()
    }

    /// Loads that this instance causes.
    pub fn own(&self, now: Timestamp) -> BTreeMap<UpstreamId, UpstreamLoad> {
        let mut loads = BTreeMap::<_, UpstreamLoad>::new();
        for entry in self.flights.values() {
            for (index, part) in entry.parts.iter().enumerate() {
                let load = loads.entry(part.upstream.clone()).or_default();
                load.add(&part_load(now, entry, part, index == 0));
            }
        }
        loads
    }

    /// Replaces what another instance has reported.
    pub fn report(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        loads: BTreeMap<UpstreamId, UpstreamLoad>,
        demand: ReadDemand,
    ) {
        let loads = PeerLoads {
            at: now,
            loads,
            demand,
        };
        self.peers.insert(peer, loads);
    }

    /// Notes the arrival of a prompt, by its reading time.
    pub fn arrive(&mut self, now: Timestamp, long: bool, read: Duration) {
        if long {
            self.long_arrivals.add(now, read, DEMAND_WINDOW);
        } else {
            self.short_arrivals.add(now, read, SHORT_WINDOW);
        }
    }

    /// Notes a long prompt that is held back, by its reading time.
    pub fn hold(&mut self, read: Duration) {
        self.held += read;
    }

    /// Notes that a long prompt is no longer held back.
    pub fn unhold(&mut self, read: Duration) {
        self.held = self.held.saturating_sub(read);
    }

    /// Reading that this instance's callers ask for.
    pub fn own_demand(&self, now: Timestamp) -> ReadDemand {
        ReadDemand {
            held_ms: millis(self.held),
            long_ms: millis(self.long_arrivals.sum(now, DEMAND_WINDOW)),
            short_ms: millis(self.short_arrivals.sum(now, SHORT_WINDOW)),
        }
    }

    /// Reading that the callers of all instances ask for.
    pub fn demand(&self, now: Timestamp) -> ReadDemand {
        let mut demand = self.own_demand(now);
        for peer in self.peers.values() {
            if now.since(peer.at) <= REPORT_MAX_AGE {
                demand.held_ms += peer.demand.held_ms;
                demand.long_ms += peer.demand.long_ms;
                demand.short_ms += peer.demand.short_ms;
            }
        }
        demand
    }

    /// Forgets an instance that is gone.
    pub fn forget(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }

    /// Load of all upstreams, from all instances.
    pub fn total(&self, now: Timestamp) -> BTreeMap<UpstreamId, UpstreamLoad> {
        let mut total = self.own(now);
        for peer in self.peers.values() {
            let age = now.since(peer.at);
            if age > REPORT_MAX_AGE {
                continue;
            }
            let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            for (id, load) in &peer.loads {
                let mut load = *load;
                load.reading_ms = load.reading_ms.saturating_sub(age);
                total.entry(id.clone()).or_default().add(&load);
            }
        }
        total
    }
}

fn part_load(
    now: Timestamp,
    entry: &FlightEntry,
    part: &FlightPart,
    answers: bool,
) -> UpstreamLoad {
    let left = part.read_by.since(now).min(part.read);
    // Before the first event, some part is late if none seems left.
    let share = if entry.long {
        LONG_LATE_SHARE
    } else {
        SHORT_LATE_SHARE
    };
    let least = part.read.mul_f64(share);
    let reading = if entry.reading {
        left.max(least)
    } else {
        Duration::ZERO
    };
    UpstreamLoad {
        short: u32::from(answers && !entry.long),
        long: u32::from(answers && entry.long),
        unread: u32::from(answers && entry.long && entry.reading),
        reading_ms: u32::try_from(reading.as_millis()).unwrap_or(u32::MAX),
        tokens: part.tokens.get(),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
