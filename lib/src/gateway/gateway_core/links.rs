//! Links of this instance to the upstreams, and the choice of a delegate where
//! they are lost.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rand::seq::IndexedRandom;

use super::GatewayCore;
use crate::{
    gateway::{
        delegation::{DELEGATE_AVOIDANCE, DELEGATES_MAX},
        reachability::{LinkChange, LinkState},
    },
    ids::{ServiceName, UpstreamId},
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};

/// Instances that are compared for one choice of a delegate. Comparing all
/// would send the requests of all instances without links to the same one.
const DELEGATES_COMPARED: usize = 2;

/// Other upstreams that are tried to tell a crash from lost links.
const COMPARED_UPSTREAMS: usize = 3;
/// Other instances that are asked whether they reach an upstream.
const INSTANCES_ASKED: usize = 3;

/// Shortest silence after which a request is sent elsewhere because the links
/// to its upstream are lost. A sound upstream may be silent for a second; the
/// platform's callers leave after two.
pub const SILENCE_MIN: Duration = Duration::from_secs(1);
/// Time for which the links must have been lost by then, so that a short loss
/// costs no second run.
const LOSS_TIME_MIN: Duration = Duration::from_millis(500);

/// How a request gets to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum SendPath {
    /// Over this instance's own links.
    Direct,
    /// Through the instance at this address.
    Delegate(IpAddr),
    /// In no way.
    None(Refusal),
}

/// Sends of a request that did not get to an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailedPaths<'a> {
    /// Begin of the last direct send that made no connection.
    pub unconnected_at: Option<Timestamp>,
    /// Delegates that could not send the request.
    pub delegates: &'a [IpAddr],
}

impl GatewayCore {
    /// Records that a connection to an upstream, begun at `begun_at`, was
    /// established.
    pub fn record_reached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        id: &UpstreamId,
    ) {
        self.upstreams.record_reached(now, begun_at, id);
    }

    /// Records that a connection to an upstream, begun at `begun_at`, was not
    /// established.
    pub fn record_unreached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        id: &UpstreamId,
    ) {
        self.upstreams.record_unreached(now, begun_at, id);
    }

    /// Returns the services whose links have changed since the last call.
    pub fn take_link_changes(&mut self, now: Timestamp) -> Vec<LinkChange> {
        self.upstreams.take_link_changes(now)
    }

    /// Addresses of other upstreams like the given one that are not known to
    /// have crashed: if one accepts connections, the links are sound.
    pub fn others_not_crashed(&mut self, id: &UpstreamId) -> Vec<SocketAddr> {
        let mut others = self.upstreams.others_like(id);
        others.retain(|entry| !self.quarantine.has_crash(&entry.process()));
        let addresses = others.into_iter().map(|entry| entry.address);
        addresses.take(COMPARED_UPSTREAMS).collect()
    }

    /// Instances to ask whether they reach an upstream of a service; those that
    /// have no links to it only if there are no others.
    pub fn instances_to_ask(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Vec<IpAddr> {
        let domain = &self.settings.failure_domain;
        let mut instances = self.members.serving(now, domain);
        let reaching = self.members.reaching(now, service);
        if instances.iter().any(|ip| reaching.contains(ip)) {
            instances.retain(|ip| reaching.contains(ip));
        }
        let asked = instances.choose_multiple(&mut self.rng, INSTANCES_ASKED);
        asked.copied().collect()
    }

    /// Upstreams to probe now, with their addresses.
    pub fn next_probes(
        &mut self,
        now: Timestamp,
    ) -> Vec<(UpstreamId, SocketAddr)> {
        self.upstreams.next_probes(now)
    }

    /// Whether upstreams of a service can be reached, as far as is known.
    pub fn reaches(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let state = self.upstreams.link_state(now, service);
        matches!(state, LinkState::Reachable | LinkState::Returning)
    }

    /// Whether nothing more is to be expected of an upstream that has sent
    /// nothing for `silence`: links that were lost for some time seldom return
    /// before the callers leave.
    pub fn is_silenced(
        &self,
        now: Timestamp,
        id: &UpstreamId,
        silence: Duration,
    ) -> bool {
        let lost_since = self.upstreams.links_lost_since(id);
        silence >= SILENCE_MIN
            && lost_since.is_some_and(|since| now.since(since) >= LOSS_TIME_MIN)
    }

    /// Decides how the next send of a request to a service is made.
    ///
    /// After a send that made no connection, a delegate is used as soon as
    /// nothing shows that the links are sound: a further connect timeout would
    /// cost a short request its target.
    pub fn send_path(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        failed: &FailedPaths<'_>,
    ) -> SendPath {
        let state = self.upstreams.link_state(now, service);
        let is_unreached = failed.unconnected_at.is_some_and(|begun_at| {
            self.upstreams.is_unreached_since(service, begun_at)
        });
        if state == LinkState::Reachable && !is_unreached {
            return SendPath::Direct;
        }
        if let Some(ip) = self.choose_delegate(now, service, failed.delegates) {
            return SendPath::Delegate(ip);
        }
        if state != LinkState::Lost {
            return SendPath::Direct;
        }
        let text = format!(
            "no upstream of {service} can be reached from here, nor through \
             another instance",
        );
        SendPath::None(self.retryable_refusal(RefusalCode::NoUpstream, &text))
    }

    /// Chooses one of the instances with links to a service: of a few random
    /// ones that with the fewest requests, and among equal ones one of this
    /// instance's failure domain.
    fn choose_delegate(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        excluded: &[IpAddr],
    ) -> Option<IpAddr> {
        if excluded.len() >= DELEGATES_MAX {
            return None;
        }
        let mut delegates = self.members.delegates(now, service);
        delegates.retain(|(ip, ..)| !excluded.contains(ip));
        let compared = delegates
            .choose_multiple(&mut self.rng, DELEGATES_COMPARED)
            .min_by_key(|(ip, instance, domain)| {
                let reported = self.load_table.peer_requests(instance);
                let delegated = self.delegated.get(ip).copied();
                let is_foreign = **domain != self.settings.failure_domain;
                (reported + delegated.unwrap_or_default(), is_foreign)
            });
        compared.map(|(ip, ..)| *ip)
    }

    /// Counts a request that a delegate sends for this instance.
    pub fn begin_delegation(&mut self, ip: IpAddr) {
        *self.delegated.entry(ip).or_default() += 1;
    }

    /// Ends the count of [`Self::begin_delegation`].
    pub fn end_delegation(&mut self, ip: IpAddr) {
        if let Some(count) = self.delegated.get_mut(&ip) {
            *count -= 1;
            if *count == 0 {
                self.delegated.remove(&ip);
            }
        }
    }

    /// Records that an instance failed as a delegate; returns for how long it
    /// is avoided.
    pub fn record_delegate_failure(
        &mut self,
        now: Timestamp,
        ip: IpAddr,
    ) -> Duration {
        self.members
            .avoid_delegate(ip, now.after(DELEGATE_AVOIDANCE));
        DELEGATE_AVOIDANCE
    }
}
