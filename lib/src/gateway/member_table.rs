//! Tracks the other instances by their heartbeats.
//!
//! Each instance sends heartbeats to all others. An instance without a
//! heartbeat for [`HEARTBEAT_TIMEOUT`] is no longer listed to callers; after
//! [`REMOVED_AFTER`] it is removed. A heartbeat also carries addresses of
//! other members, so that an instance that reaches one member discovers all. A
//! restart shows as a different incarnation at the same address; incarnations
//! are only compared for equality, since the system clock may be set back
//! between two starts.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use crate::{
    ids::{DomainId, InstanceId, ServiceName, UpstreamId},
    units::{Incarnation, Timestamp},
    value_type,
};

use super::{
    engine_scaling::ReportCounts,
    heartbeat_relay::{HeartbeatPeer, HeartbeatTargets, HeartbeatTrailer},
    load_table::{PrefillDemand, UpstreamLoad},
};

/// Time without heartbeats after which a member is no longer listed to
/// callers.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time without heartbeats after which a member is removed.
pub const REMOVED_AFTER: Duration = Duration::from_secs(30);
/// Interval of the heartbeats to each member, in a small fleet.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Members up to which the shortest interval is used. Above, the interval
/// grows with the number of members, so that the cost per instance remains
/// constant.
const SMALL_FLEET: usize = 12;
/// Longest interval of the heartbeats to each member.
const HEARTBEAT_INTERVAL_MAX: Duration = Duration::from_millis(600);
/// Interval between probes of an address that has sent no heartbeat; a probe
/// is itself a heartbeat.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Most members advertised in one heartbeat. Successive heartbeats advertise
/// different members, so that their size does not grow with the fleet.
const ADVERTISED_MAX: usize = 8;
/// Version of the heartbeat format.
pub const HEARTBEAT_VERSION: u8 = 1;

value_type! {
    /// Message by which an instance reports its state and load to the others.
    pub struct Heartbeat {
        /// Version of the format, [`HEARTBEAT_VERSION`].
        pub version: u8,
        /// Id of the sender.
        pub instance: InstanceId,
        /// Start of the sender's process.
        pub incarnation: Incarnation,
        /// Failure domain of the sender.
        pub domain: DomainId,
        /// Address of the sender's machine.
        pub ip: IpAddr,
        /// Whether the sender accepts new requests of callers.
        pub serving: bool,
        /// Addresses of some members from which the sender has recent
        /// heartbeats.
        #[serde(rename = "heard")]
        pub alive: Vec<IpAddr>,
        /// Load that the sender's requests put on each upstream.
        pub loads: BTreeMap<UpstreamId, UpstreamLoad>,
        /// Prefill demand of the sender's callers.
        pub demand: PrefillDemand,
    }
}

/// Content of a member's last heartbeat, and when it arrived.
#[derive(Clone, Debug)]
struct MemberStatus {
    instance: InstanceId,
    incarnation: Incarnation,
    domain: DomainId,
    serving: bool,
    last_heartbeat_at: Timestamp,
    /// Data that followed the last heartbeat; `None` if the member's build
    /// sends none.
    trailer: Option<HeartbeatTrailer>,
    /// Services whose upstreams the member may be unable to reach.
    unreachable: Vec<ServiceName>,
    /// Until when the member is not used as a delegate, after a failure.
    avoided_until: Timestamp,
}

/// A change of the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// An instance sent its first heartbeat, or the first after a restart or a
    /// time without heartbeats.
    Joined(InstanceId),
    /// An instance reports that it no longer accepts requests.
    Leaving(InstanceId),
    /// No heartbeat of an instance came within [`HEARTBEAT_TIMEOUT`].
    Silent(InstanceId),
}

/// The other instances, by the address of their machine.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<IpAddr, MemberStatus>,
    /// Addresses at which an instance may run, with the time of the last
    /// probe.
    probe_addresses: BTreeMap<IpAddr, Option<Timestamp>>,
    /// Members without recent heartbeats that were reported as silent.
    silent: Vec<IpAddr>,
    /// Last member that was advertised in a heartbeat.
    advertised: Option<IpAddr>,
}

impl MemberTable {
    /// Adds an address at which an instance may run.
    pub fn add_probe_address(&mut self, ip: IpAddr) {
        self.probe_addresses.entry(ip).or_default();
    }

    /// Whether a heartbeat is not newer than the last one of its sender.
    pub fn is_outdated(
        &self,
        heartbeat: &Heartbeat,
        trailer: Option<&HeartbeatTrailer>,
    ) -> bool {
        let Some(member) = self.members.get(&heartbeat.ip) else {
            return false;
        };
        let last = member.trailer.as_ref().map(|trailer| trailer.sequence);
        let next = trailer.map(|trailer| trailer.sequence);
        member.incarnation == heartbeat.incarnation
            && last.is_some()
            && next <= last
    }

    /// Applies a heartbeat; returns the change that results from it. `own` is
    /// the address of this instance.
    pub fn receive_heartbeat(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        heartbeat: &Heartbeat,
        trailer: Option<HeartbeatTrailer>,
    ) -> Option<MemberChange> {
        for ip in &heartbeat.alive {
            if *ip != own {
                self.add_probe_address(*ip);
            }
        }
        self.add_probe_address(heartbeat.ip);
        let before = self.members.get(&heartbeat.ip);
        let restarted = before
            .is_some_and(|member| member.incarnation != heartbeat.incarnation);
        let avoided_until = before
            .filter(|_| !restarted)
            .map_or(Timestamp::ZERO, |member| member.avoided_until);
        let was_serving = before.is_some_and(|member| member.serving);
        let was_silent = self.silent.contains(&heartbeat.ip);
        let known = before.is_some() && !was_silent && !restarted;
        self.silent.retain(|ip| *ip != heartbeat.ip);
        self.members.insert(
            heartbeat.ip,
            MemberStatus {
                instance: heartbeat.instance.clone(),
                incarnation: heartbeat.incarnation,
                domain: heartbeat.domain.clone(),
                serving: heartbeat.serving,
                last_heartbeat_at: now,
                trailer,
                unreachable: Vec::new(),
                avoided_until,
            },
        );
        if !known {
            Some(MemberChange::Joined(heartbeat.instance.clone()))
        } else if was_serving && !heartbeat.serving {
            Some(MemberChange::Leaving(heartbeat.instance.clone()))
        } else {
            None
        }
    }

    /// Removes members without recent heartbeats; returns those that have just
    /// become silent.
    pub fn expire(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for (ip, member) in &self.members {
            let silent =
                now.since(member.last_heartbeat_at) > HEARTBEAT_TIMEOUT;
            if silent && !self.silent.contains(ip) {
                self.silent.push(*ip);
                changes.push(MemberChange::Silent(member.instance.clone()));
            }
        }
        self.members.retain(|_, member| {
            now.since(member.last_heartbeat_at) < REMOVED_AFTER
        });
        let members = &self.members;
        self.silent.retain(|ip| members.contains_key(ip));
        changes
    }

    /// Addresses of the members with recent heartbeats.
    pub fn alive(&self, now: Timestamp) -> Vec<IpAddr> {
        let members = self.members.iter();
        members
            .filter(|(_, member)| {
                now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT
            })
            .map(|(ip, _)| *ip)
            .collect()
    }

    /// Addresses of the members to advertise in the next heartbeat.
    pub fn next_advertised(&mut self, now: Timestamp) -> Vec<IpAddr> {
        let alive = self.alive(now);
        let after = self.advertised;
        let start = alive.partition_point(|ip| Some(*ip) <= after);
        let (before, rest) = alive.split_at(start);
        let advertised: Vec<_> = rest
            .iter()
            .chain(before)
            .take(ADVERTISED_MAX)
            .copied()
            .collect();
        self.advertised = advertised.last().copied();
        advertised
    }

    /// Addresses of the members of a failure domain that accept new requests.
    pub fn serving_in(&self, now: Timestamp, domain: &DomainId) -> Vec<IpAddr> {
        let members = self.members.iter().filter(|(_, member)| {
            let alive =
                now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT;
            member.serving && alive && member.domain == *domain
        });
        members.map(|(ip, _)| *ip).collect()
    }

    /// Addresses of the members that accept new requests, with those of
    /// `domain` first.
    pub fn serving(&self, now: Timestamp, domain: &DomainId) -> Vec<IpAddr> {
        let mut members: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.serving
                    && now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT
            })
            .map(|(ip, member)| (member.domain != *domain, *ip))
            .collect();
        members.sort();
        members.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Sets the services whose upstreams a member may be unable to reach, as
    /// its last heartbeat says.
    pub fn set_unreachable(
        &mut self,
        ip: IpAddr,
        unreachable: Vec<ServiceName>,
    ) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.unreachable = unreachable;
        }
    }

    /// Members with recent heartbeats that reach upstreams of a service.
    pub fn reaching(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Vec<IpAddr> {
        let members = self.members.iter().filter(|(_, member)| {
            now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT
                && !member.unreachable.contains(service)
        });
        members.map(|(ip, _)| *ip).collect()
    }

    /// Members that may send requests to a service for this instance. Those
    /// whose last heartbeat is older than two intervals are left out unless no
    /// others remain: they may have failed.
    pub fn delegates(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Vec<(IpAddr, &InstanceId, &DomainId)> {
        let members: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.serving
                    && now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT
                    && member.avoided_until <= now
                    && !member.unreachable.contains(service)
            })
            .collect();
        let fresh = self.heartbeat_interval(now) * 2;
        let is_fresh = |member: &MemberStatus| {
            now.since(member.last_heartbeat_at) <= fresh
        };
        let any_fresh = members.iter().any(|(_, member)| is_fresh(member));
        members
            .into_iter()
            .filter(|(_, member)| is_fresh(member) || !any_fresh)
            .map(|(ip, member)| (*ip, &member.instance, &member.domain))
            .collect()
    }

    /// Does not use a member as a delegate for some time.
    pub fn avoid_delegate(&mut self, ip: IpAddr, until: Timestamp) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.avoided_until = until;
        }
    }

    /// Members by failure domain, without those that have left as planned.
    pub fn report_counts(
        &self,
        now: Timestamp,
    ) -> BTreeMap<DomainId, ReportCounts> {
        let mut counts = BTreeMap::<_, ReportCounts>::new();
        for member in self.members.values() {
            let is_recent =
                now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT;
            if !is_recent && !member.serving {
                continue;
            }
            let reports = counts.entry(member.domain.clone()).or_default();
            reports.known += 1;
            reports.recent += usize::from(is_recent);
        }
        counts
    }

    /// Number of instances among which limits are shared: this one and the
    /// members with recent heartbeats.
    pub fn instance_count(&self, now: Timestamp) -> usize {
        self.alive(now).len() + 1
    }

    /// Interval of the heartbeats to each member.
    pub fn heartbeat_interval(&self, now: Timestamp) -> Duration {
        let members = self.alive(now).len();
        let factor = members.div_ceil(SMALL_FLEET).max(1);
        let factor = u32::try_from(factor).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL
            .saturating_mul(factor)
            .min(HEARTBEAT_INTERVAL_MAX)
    }

    /// Members with recent heartbeats.
    pub fn heartbeat_peers(&self, now: Timestamp) -> Vec<HeartbeatPeer> {
        let members = self.members.iter().filter(|(_, member)| {
            now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT
        });
        members
            .map(|(ip, member)| HeartbeatPeer {
                ip: *ip,
                domain: member.domain.clone(),
                can_relay: member.trailer.is_some() && member.serving,
            })
            .collect()
    }

    /// Upstreams that the member at an address avoids.
    pub fn suspects_of(&self, ip: IpAddr) -> &[UpstreamId] {
        let member = self.members.get(&ip);
        let trailer = member.and_then(|member| member.trailer.as_ref());
        trailer.map_or(&[], |trailer| &trailer.suspects)
    }

    /// Number of members with recent heartbeats that avoid each upstream.
    pub fn suspects(&self, now: Timestamp) -> BTreeMap<UpstreamId, usize> {
        let mut counts = BTreeMap::new();
        for member in self.members.values() {
            if now.since(member.last_heartbeat_at) > HEARTBEAT_TIMEOUT {
                continue;
            }
            let suspects = member.trailer.iter().flat_map(|it| &it.suspects);
            for id in suspects {
                *counts.entry(id.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Addresses to which the next heartbeat is sent: those of members with
    /// recent heartbeats, and addresses that are due for a probe. `relayed`
    /// says whether members of other failure domains may get it through a
    /// relay.
    pub fn heartbeat_targets(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        domain: &DomainId,
        sequence: u64,
        relayed: bool,
    ) -> HeartbeatTargets {
        let peers = self.heartbeat_peers(now);
        let mut targets = if relayed {
            HeartbeatTargets::with_relays(&peers, domain, sequence)
        } else {
            HeartbeatTargets::direct_to(&peers)
        };
        for (ip, probed_at) in &mut self.probe_addresses {
            let due =
                probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
            let known = peers.iter().any(|peer| peer.ip == *ip);
            if *ip != own && due && !known {
                *probed_at = Some(now);
                targets.direct.push(*ip);
            }
        }
        targets
    }
}
