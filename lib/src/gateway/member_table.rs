//! The instances that are alive, from what they say of themselves.
//!
//! Instances send each other heartbeats. An instance that is silent for
//! [`HEARTBEAT_TIMEOUT`] is no longer named to callers; after [`REMOVED_AFTER`]
//! it is forgotten. A heartbeat also names the sender's members, so that an
//! instance that reaches one member learns of all. A restart shows as another
//! incarnation on the same machine; incarnations have no order, since the time
//! of day may have jumped between two starts.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use crate::{
    ids::{DomainId, InstanceId, UpstreamId},
    units::{Incarnation, Timestamp},
    value_type,
};

use super::load_table::{PrefillDemand, UpstreamLoad};

/// Silence after which a member is no longer named to callers.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Silence after which a member is forgotten.
pub const REMOVED_AFTER: Duration = Duration::from_secs(30);
/// Pause between two heartbeats to a member, in a small fleet.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Members up to which the pause is the shortest; beyond, it grows with the
/// fleet, so that the cost of an instance stays the same.
const SMALL_FLEET: usize = 12;
/// Longest pause between two heartbeats to a member.
const HEARTBEAT_INTERVAL_MAX: Duration = Duration::from_millis(600);
/// Pause between two tries of an address from which nothing was heard.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Members that one heartbeat names. Each heartbeat names the next ones, so that the
/// size of a heartbeat does not grow with the fleet.
const ADVERTISED_MAX: usize = 8;
/// Version of the heartbeats.
pub const HEARTBEAT_VERSION: u8 = 1;

value_type! {
    /// What an instance says of itself.
    pub struct Heartbeat {
        /// Version of the message.
        pub version: u8,
        /// Sender.
        pub instance: InstanceId,
        /// Start of its process.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its machine.
        pub ip: IpAddr,
        /// Whether it takes new callers.
        pub serving: bool,
        /// Machines of some of the members that it hears, in turn.
        #[serde(rename = "heard")]
        pub alive: Vec<IpAddr>,
        /// Load that its requests cause.
        pub loads: BTreeMap<UpstreamId, UpstreamLoad>,
        /// Reading that its callers ask for.
        pub demand: PrefillDemand,
    }
}

#[derive(Clone, Debug)]
struct MemberStatus {
    instance: InstanceId,
    incarnation: Incarnation,
    domain: DomainId,
    serving: bool,
    last_heartbeat_at: Timestamp,
}

/// A change of the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// An instance is heard for the first time or again.
    Joined(InstanceId),
    /// An instance says that it leaves.
    Leaving(InstanceId),
    /// An instance is silent.
    Silent(InstanceId),
}

/// Instances other than this one, by machine.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<IpAddr, MemberStatus>,
    /// Addresses to try, with the time of the last try.
    probe_addresses: BTreeMap<IpAddr, Option<Timestamp>>,
    silent: Vec<IpAddr>,
    /// Last member that a heartbeat has named.
    advertised: Option<IpAddr>,
}

impl MemberTable {
    /// Adds an address at which an instance may run.
    pub fn add_probe_address(&mut self, ip: IpAddr) {
        self.probe_addresses.entry(ip).or_default();
    }

    /// Takes a heartbeat.
    pub fn receive_heartbeat(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        heartbeat: &Heartbeat,
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

    /// Notes silence; returns members that have just become silent.
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

    /// Machines of members that are heard.
    pub fn alive(&self, now: Timestamp) -> Vec<IpAddr> {
        let members = self.members.iter();
        members
            .filter(|(_, member)| {
                now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT
            })
            .map(|(ip, _)| *ip)
            .collect()
    }

    /// Machines of the members that the next heartbeat names.
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

    /// Machines of the members of a failure domain that take new callers.
    pub fn serving_in(&self, now: Timestamp, domain: &DomainId) -> Vec<IpAddr> {
        let members = self.members.iter().filter(|(_, member)| {
            let alive =
                now.since(member.last_heartbeat_at) <= HEARTBEAT_TIMEOUT;
            member.serving && alive && member.domain == *domain
        });
        members.map(|(ip, _)| *ip).collect()
    }

    /// Machines of members that take new callers, those of `domain` first.
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

    /// Instances that share bounds: this one and those heard.
    pub fn instance_count(&self, now: Timestamp) -> usize {
        self.alive(now).len() + 1
    }

    /// Pause between two heartbeats to each member.
    pub fn heartbeat_interval(&self, now: Timestamp) -> Duration {
        let members = self.alive(now).len();
        let factor = members.div_ceil(SMALL_FLEET).max(1);
        let factor = u32::try_from(factor).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL
            .saturating_mul(factor)
            .min(HEARTBEAT_INTERVAL_MAX)
    }

    /// Machines to send the next heartbeat to: members that are heard, and
    /// addresses whose next try is due.
    pub fn heartbeat_targets(
        &mut self,
        now: Timestamp,
        own: IpAddr,
    ) -> Vec<IpAddr> {
        let mut heartbeat_targets = self.alive(now);
        for (ip, probed_at) in &mut self.probe_addresses {
            let due =
                probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
            if *ip != own && due && !heartbeat_targets.contains(ip) {
                *probed_at = Some(now);
                heartbeat_targets.push(*ip);
            }
        }
        heartbeat_targets
    }
}
