//! Limits the requests that one upstream receives from all instances.
//!
//! A cold upstream, one that is slow as after a start, tolerates few requests,
//! and an upstream in need names a limit of its own. Such a limit applies to
//! the sum over all instances. Each instance therefore uses a share of it, and
//! the shares add up to the limit, also where it is smaller than the number of
//! instances: then some have none. Which these are differs between upstreams
//! and changes little when instances come or go, so that a window in which the
//! members change holds few more requests than others.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::IpAddr,
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    request_limit::{LimitTable, RequestLimit},
    upstream_table::TrackedUpstream,
};
use crate::{
    ids::{ServiceName, UpstreamId},
    units::{Timestamp, bounded_time},
};

/// Window in which the requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);
/// Shortest window in which the requests under a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Longest window. One request in it shows whether the limit still applies,
/// however low it is.
const LIMIT_WINDOW_MAX: Duration = Duration::from_secs(10);

/// Requests that one instance may send to an upstream in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestShare {
    /// Requests in any window.
    requests: usize,
    window: Duration,
}

/// Position of this instance in the order in which the instances get shares of
/// an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShareRank {
    /// Position, from 0.
    position: usize,
    instances: usize,
}

impl RequestShare {
    /// Divides the requests that an upstream takes in a window.
    fn new(budget: f64, window: Duration, rank: ShareRank) -> Self {
        // The tolerance keeps whole budgets whole after a multiplication.
        let budget = (budget + 1e-9).floor() as usize;
        let instances = rank.instances.max(1);
        let has_extra = rank.position < budget % instances;
        Self {
            requests: budget / instances + usize::from(has_extra),
            window,
        }
    }
}

/// Recent sends of this instance to one upstream.
#[derive(Clone, Debug, Default)]
struct RecentSends(VecDeque<Timestamp>);

impl RecentSends {
    /// Whether one more send stays within the share.
    fn allow(&self, now: Timestamp, share: RequestShare) -> bool {
        let recent = self.0.iter().rev();
        let recent = recent.take_while(|at| now.since(**at) <= share.window);
        recent.count() < share.requests
    }

    fn add(&mut self, now: Timestamp) {
        let is_old = |at: &Timestamp| now.since(*at) > LIMIT_WINDOW_MAX;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}

/// Shares of this instance in what all upstreams take, and its recent sends.
#[derive(Clone, Debug, Default)]
pub struct DispatchLimiter {
    sends: BTreeMap<UpstreamId, RecentSends>,
    /// Other instances that reach each service.
    members: BTreeMap<ServiceName, Vec<IpAddr>>,
    /// Service of the upstreams in question.
    service: Option<ServiceName>,
    /// Ranks of this instance, kept as long as the members stay the same.
    ranks: BTreeMap<UpstreamId, ShareRank>,
}

impl DispatchLimiter {
    /// Sets the service of the upstreams in question, and the addresses of the
    /// other instances that reach it. Only these have a share.
    pub fn set_members(&mut self, service: &ServiceName, members: Vec<IpAddr>) {
        self.service = Some(service.clone());
        let known = self.members.get(service);
        if known != Some(&members) {
            self.members.insert(service.clone(), members);
            self.ranks.clear();
        }
    }

    fn members(&self) -> &[IpAddr] {
        let service = self.service.as_ref();
        let members = service.and_then(|service| self.members.get(service));
        members.map_or(&[], Vec::as_slice)
    }

    /// Whether one more send stays within this instance's share of `rate`
    /// requests a second, which a cold upstream tolerates. `own` is the address
    /// of this instance.
    pub fn allows_cold(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        upstream: &UpstreamId,
        rate: f64,
    ) -> bool {
        let rank = self.rank(own, upstream);
        let share = RequestShare::new(rate, COLD_WINDOW, rank);
        self.allows(now, upstream, share)
    }

    /// Like [`Self::allows_cold`], for an upstream that is not known to be cold
    /// but may be by now: each instance may make at least one send.
    pub fn allows_warm(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        rate: f64,
    ) -> bool {
        let instances = self.members().len() + 1;
        let rank = ShareRank {
            position: instances,
            instances,
        };
        let mut share = RequestShare::new(rate, COLD_WINDOW, rank);
        share.requests = share.requests.max(1);
        self.allows(now, upstream, share)
    }

    /// Whether one more send stays within this instance's share of the limit
    /// that an upstream named.
    pub fn allows_limited(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        upstream: &UpstreamId,
        limit: RequestLimit,
    ) -> bool {
        let per_second = limit.per_second();
        let window = if per_second * LIMIT_WINDOW.as_secs_f64() >= 1.0 {
            LIMIT_WINDOW
        } else {
            let longest = LIMIT_WINDOW_MAX.as_secs_f64();
            // Reports of other instances may hold any number.
            bounded_time((1.0 / per_second).min(longest))
        };
        let budget = (per_second * window.as_secs_f64()).max(1.0);
        let rank = self.rank(own, upstream);
        let share = RequestShare::new(budget, window, rank);
        self.allows(now, upstream, share)
    }

    /// Candidates whose limit, if they named one, allows no more requests of
    /// this instance now.
    pub fn exhausted(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        limits: &LimitTable,
        candidates: &[&TrackedUpstream],
    ) -> BTreeSet<UpstreamId> {
        if limits.is_empty() {
            return BTreeSet::new();
        }
        let ids = candidates.iter().filter_map(|upstream| {
            let limit = limits.limit(&upstream.entry.process())?;
            let id = &upstream.entry.id;
            let allowed = self.allows_limited(now, own, id, limit);
            (!allowed).then(|| id.clone())
        });
        ids.collect()
    }

    /// Keeps the candidates to which one more request may be sent, given the
    /// rate that a cold one tolerates. Cold ones are kept only if none is warm.
    pub fn retain_cold(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        rate: f64,
        candidates: &mut Vec<&TrackedUpstream>,
    ) {
        let any_warm = candidates.iter().any(|it| !it.is_cold(now));
        candidates.retain(|upstream| {
            let id = &upstream.entry.id;
            if upstream.is_cold(now) {
                !any_warm && self.allows_cold(now, own, id, rate)
            } else {
                self.allows_warm(now, id, rate)
            }
        });
    }

    fn allows(
        &self,
        now: Timestamp,
        upstream: &UpstreamId,
        share: RequestShare,
    ) -> bool {
        match self.sends.get(upstream) {
            Some(sends) => sends.allow(now, share),
            None => share.requests > 0,
        }
    }

    /// Records a send.
    pub fn count(&mut self, now: Timestamp, upstream: &UpstreamId) {
        self.sends.entry(upstream.clone()).or_default().add(now);
    }

    /// Time of the last send to an upstream; `None` if there was none.
    pub fn last_send(&self, upstream: &UpstreamId) -> Option<Timestamp> {
        self.sends.get(upstream)?.0.back().copied()
    }

    /// Drops the state of upstreams that are gone.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.sends.retain(|id, _| is_listed(id));
        self.ranks.retain(|id, _| is_listed(id));
    }

    /// Rank of this instance for an upstream, by rendezvous hashing.
    fn rank(&mut self, own: IpAddr, upstream: &UpstreamId) -> ShareRank {
        if let Some(rank) = self.ranks.get(upstream) {
            return *rank;
        }
        let seed = xxh3_64_with_seed(upstream.as_str().as_bytes(), 0);
        let weight = |ip: IpAddr| (member_hash(ip, seed), ip);
        let own = weight(own);
        let members = self.members().iter();
        let rank = ShareRank {
            position: members.filter(|ip| weight(**ip) < own).count(),
            instances: self.members().len() + 1,
        };
        self.ranks.insert(upstream.clone(), rank);
        rank
    }
}

fn member_hash(ip: IpAddr, seed: u64) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed),
    }
}
