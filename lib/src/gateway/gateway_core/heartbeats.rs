//! Heartbeats of this instance and of the others.
//!
//! Decides what the next heartbeat says and who gets it, and applies those of
//! others to the members, the load table and the upstreams.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use super::GatewayCore;
use crate::{
    gateway::{
        heartbeat_relay::HeartbeatTrailer,
        member_table::{HEARTBEAT_VERSION, Heartbeat, MemberChange},
        prompt_quarantine::PromptReport,
        reachability::LinkReport,
        request_limit::LimitReport,
    },
    units::Timestamp,
};

/// Time to the next heartbeat if one could not hold all that was learned of harmful
/// prompts. Several follow within the time after which a crash counts.
const PARTIAL_REPORT_PAUSE: Duration = Duration::from_millis(50);
/// One heartbeat in so many is a full report, in a small fleet.
const FULL_REPORT_INTERVAL: u64 = 8;

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatPlan {
    /// State of this instance.
    pub heartbeat: Heartbeat,
    /// Data that follows the heartbeat, for targets that do not relay it.
    pub trailer: HeartbeatTrailer,
    /// What this instance knows of harmful prompts.
    pub prompts: PromptReport,
    /// Limits that upstreams named.
    pub limits: Vec<LimitReport>,
    /// Services whose upstreams this instance may be unable to reach.
    pub links: LinkReport,
    /// Addresses that get the heartbeat for themselves only.
    pub direct: Vec<SocketAddr>,
    /// Addresses that relay it within their failure domain.
    pub relays: Vec<SocketAddr>,
    /// Time until the next heartbeat.
    pub pause: Duration,
}

/// What follows from a heartbeat of another instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatReceipt {
    /// Change of the members.
    pub change: Option<MemberChange>,
    /// Addresses to which the heartbeat is to be relayed.
    pub relay_to: Vec<SocketAddr>,
    /// Whether the heartbeat is newer than the last one of its sender.
    pub is_accepted: bool,
}

impl GatewayCore {
    /// Addresses of the other instances with recent heartbeats.
    pub fn alive_members(&self, now: Timestamp) -> Vec<IpAddr> {
        self.members.alive(now)
    }

    /// Adds an address at which another instance may run.
    pub fn add_probe_address(&mut self, ip: IpAddr) {
        if ip != self.settings.ip {
            self.members.add_probe_address(ip);
        }
    }

    /// State of this instance as the others should see it.
    pub fn heartbeat(&mut self, now: Timestamp) -> Heartbeat {
        Heartbeat {
            version: HEARTBEAT_VERSION,
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            domain: self.settings.failure_domain.clone(),
            ip: self.settings.ip,
            serving: self.is_ready(),
            alive: self.members.next_advertised(now),
            loads: self.load_table.local_loads(now),
            demand: self.load_table.local_demand(now),
        }
    }

    /// Number of instances: this one and the members with recent heartbeats.
    pub fn instance_count(&self, now: Timestamp) -> usize {
        self.members.instance_count(now)
    }

    /// Returns the heartbeat to send now, where to send it and the pause until
    /// the next one.
    pub fn next_heartbeat(&mut self, now: Timestamp) -> HeartbeatPlan {
        let heartbeat = self.heartbeat(now);
        self.heartbeats_sent += 1;
        let sequence = self.heartbeats_sent;
        // The relays stop relaying to an instance that leaves, so it informs
        // the others itself.
        let relayed = heartbeat.serving;
        let targets = self.members.heartbeat_targets(
            now,
            self.settings.ip,
            &self.settings.failure_domain,
            sequence,
            relayed,
        );
        let is_full = self.is_full_report(now, sequence);
        let prompts = self.quarantine.report(now, is_full);
        let interval = self.members.heartbeat_interval(now);
        let pause = match self.quarantine.is_report_partial() {
            true => interval.min(PARTIAL_REPORT_PAUSE),
            false => interval,
        };
        HeartbeatPlan {
            heartbeat,
            trailer: HeartbeatTrailer {
                sequence,
                relay: false,
                suspects: self.upstreams.suspects_to_report(now),
            },
            prompts,
            limits: self.request_limits.report(now, is_full),
            links: self.upstreams.link_report(now),
            direct: self.peer_addresses(targets.direct),
            relays: self.peer_addresses(targets.relays),
            pause,
        }
    }

    /// Whether the heartbeat of this number repeats what has not changed lately.
    /// The interval grows with the fleet, so that an instance hears about as
    /// many full reports in any fleet, and differs between instances that
    /// started together.
    fn is_full_report(&self, now: Timestamp, sequence: u64) -> bool {
        let instances = self.members.instance_count(now) as u64;
        let interval = FULL_REPORT_INTERVAL.max(instances);
        let offset = xxh3_64(self.settings.instance.as_str().as_bytes());
        sequence.wrapping_add(offset).is_multiple_of(interval)
    }

    fn peer_addresses(&self, ips: Vec<IpAddr>) -> Vec<SocketAddr> {
        let addresses = ips.into_iter();
        addresses
            .map(|ip| self.settings.peer_address_of(ip))
            .collect()
    }

    /// Applies the heartbeat of another instance. Heartbeats of another
    /// version, outdated ones and this instance's own are ignored.
    pub fn receive_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
        trailer: Option<HeartbeatTrailer>,
    ) -> HeartbeatReceipt {
        if heartbeat.version != HEARTBEAT_VERSION
            || heartbeat.ip == self.settings.ip
            || self.members.is_outdated(&heartbeat, trailer.as_ref())
        {
            return HeartbeatReceipt::default();
        }
        let relay = trailer.as_ref().is_some_and(|trailer| trailer.relay);
        let relay_to = if relay {
            self.relay_targets(now, heartbeat.ip)
        } else {
            Vec::new()
        };
        let suspects = trailer.as_ref().map(|trailer| &trailer.suspects[..]);
        let suspects_changed = suspects.unwrap_or_default()
            != self.members.suspects_of(heartbeat.ip);
        let change = self.members.receive_heartbeat(
            now,
            self.settings.ip,
            &heartbeat,
            trailer,
        );
        self.load_table.set_report(
            now,
            heartbeat.instance,
            heartbeat.loads,
            heartbeat.demand,
        );
        if suspects_changed {
            self.upstreams.set_suspects(self.members.suspects(now));
        }
        HeartbeatReceipt {
            change,
            relay_to,
            is_accepted: true,
        }
    }

    /// Applies what an instance reports of its links; to be called after
    /// [`Self::receive_heartbeat`] has accepted the heartbeat.
    pub fn receive_link_report(&mut self, sender: IpAddr, report: LinkReport) {
        self.members.set_unreachable(sender, report.unreachable);
    }

    /// Applies what another instance reports of harmful prompts.
    pub fn receive_prompt_report(
        &mut self,
        now: Timestamp,
        report: PromptReport,
    ) {
        self.quarantine.merge(now, report);
    }

    /// Addresses of the members of this failure domain, without the sender of
    /// the heartbeat to relay.
    fn relay_targets(&self, now: Timestamp, sender: IpAddr) -> Vec<SocketAddr> {
        let peers = self.members.heartbeat_peers(now).into_iter();
        let targets = peers.filter(|peer| {
            peer.domain == self.settings.failure_domain && peer.ip != sender
        });
        self.peer_addresses(targets.map(|peer| peer.ip).collect())
    }

    /// Removes instances without recent heartbeats; returns those that have
    /// just become silent.
    pub fn expire_members(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let changes = self.members.expire(now);
        self.upstreams.set_suspects(self.members.suspects(now));
        for change in &changes {
            if let MemberChange::Silent(instance) = change {
                self.load_table.remove_peer(instance);
            }
        }
        changes
    }
}
