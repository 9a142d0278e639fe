//! The instances that are alive, from what they say of themselves.
//!
//! Instances send each other beats. An instance that is silent for
//! [`SILENT_AFTER`] is no longer named to callers; after [`FORGOTTEN_AFTER`]
//! it is forgotten. A beat also names the sender's members, so that an
//! instance that reaches one member learns of all. A restart shows as another
//! incarnation on the same machine; incarnations have no order, since the time
//! of day may have jumped between two starts.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use crate::{
    ids::{DomainId, InstanceId, UpstreamId},
    units::{Incarnation, Timestamp},
    value_type,
};

use super::load_board::{ReadDemand, UpstreamLoad};

/// Silence after which a member is no longer named to callers.
pub const SILENT_AFTER: Duration = Duration::from_millis(2_000);
/// Silence after which a member is forgotten.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// Pause between two beats to a member, in a small fleet.
pub const BEAT_PAUSE: Duration = Duration::from_millis(200);
/// Members up to which the pause is the shortest; beyond, it grows with the
/// fleet, so that the cost of an instance stays the same.
const SMALL_FLEET: usize = 12;
/// Longest pause between two beats to a member.
const BEAT_PAUSE_MAX: Duration = Duration::from_millis(600);
/// Pause between two tries of an address from which nothing was heard.
const PROBE_PAUSE: Duration = Duration::from_millis(1_000);
/// Members that one beat names. Each beat names the next ones, so that the
/// size of a beat does not grow with the fleet.
const NAMED_MAX: usize = 8;
/// Version of the beats.
pub const BEAT_VERSION: u8 = 1;

value_type! {
    /// What an instance says of itself.
    pub struct MemberBeat {
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
        pub heard: Vec<IpAddr>,
        /// Load that its requests cause.
        pub loads: BTreeMap<UpstreamId, UpstreamLoad>,
        /// Reading that its callers ask for.
        pub demand: ReadDemand,
    }
}

#[derive(Clone, Debug)]
struct MemberRow {
    instance: InstanceId,
    incarnation: Incarnation,
    domain: DomainId,
    serving: bool,
    heard_at: Timestamp,
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
    rows: BTreeMap<IpAddr, MemberRow>,
    /// Addresses to try, with the time of the last try.
    contacts: BTreeMap<IpAddr, Option<Timestamp>>,
    silent: Vec<IpAddr>,
    /// Last member that a beat has named.
    named: Option<IpAddr>,
}

impl MemberTable {
    /// Adds an address at which an instance may run.
    pub fn add_contact(&mut self, ip: IpAddr) {
        self.contacts.entry(ip).or_default();
    }

    /// Takes a beat.
    pub fn hear(
        &mut self,
        now: Timestamp,
        own: IpAddr,
        beat: &MemberBeat,
    ) -> Option<MemberChange> {
        for ip in &beat.heard {
            if *ip != own {
                self.add_contact(*ip);
            }
        }
        self.add_contact(beat.ip);
        let before = self.rows.get(&beat.ip);
        let restarted =
            before.is_some_and(|row| row.incarnation != beat.incarnation);
        let was_serving = before.is_some_and(|row| row.serving);
        let was_silent = self.silent.contains(&beat.ip);
        let known = before.is_some() && !was_silent && !restarted;
        self.silent.retain(|ip| *ip != beat.ip);
        self.rows.insert(
            beat.ip,
            MemberRow {
                instance: beat.instance.clone(),
                incarnation: beat.incarnation,
                domain: beat.domain.clone(),
                serving: beat.serving,
                heard_at: now,
            },
        );
        if !known {
            Some(MemberChange::Joined(beat.instance.clone()))
        } else if was_serving && !beat.serving {
            Some(MemberChange::Leaving(beat.instance.clone()))
        } else {
            None
        }
    }

    /// Notes silence; returns members that have just become silent.
    pub fn expire(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for (ip, row) in &self.rows {
            let silent = now.since(row.heard_at) > SILENT_AFTER;
            if silent && !self.silent.contains(ip) {
                self.silent.push(*ip);
                changes.push(MemberChange::Silent(row.instance.clone()));
            }
        }
        self.rows
            .retain(|_, row| now.since(row.heard_at) < FORGOTTEN_AFTER);
        let rows = &self.rows;
        self.silent.retain(|ip| rows.contains_key(ip));
        changes
    }

    /// Machines of members that are heard.
    pub fn heard(&self, now: Timestamp) -> Vec<IpAddr> {
        let rows = self.rows.iter();
        rows.filter(|(_, row)| now.since(row.heard_at) <= SILENT_AFTER)
            .map(|(ip, _)| *ip)
            .collect()
    }

    /// Machines of the members that the next beat names.
    pub fn name_some(&mut self, now: Timestamp) -> Vec<IpAddr> {
        let heard = self.heard(now);
        let after = self.named;
        let start = heard.partition_point(|ip| Some(*ip) <= after);
        let (before, rest) = heard.split_at(start);
        let named: Vec<_> =
            rest.iter().chain(before).take(NAMED_MAX).copied().collect();
        self.named = named.last().copied();
        named
    }

    /// Machines of the members of a failure domain that take new callers.
    pub fn serving_in(&self, now: Timestamp, domain: &DomainId) -> Vec<IpAddr> {
        let rows = self.rows.iter().filter(|(_, row)| {
            let heard = now.since(row.heard_at) <= SILENT_AFTER;
            row.serving && heard && row.domain == *domain
        });
        rows.map(|(ip, _)| *ip).collect()
    }

    /// Machines of members that take new callers, those of `domain` first.
    pub fn serving(&self, now: Timestamp, domain: &DomainId) -> Vec<IpAddr> {
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| {
                row.serving && now.since(row.heard_at) <= SILENT_AFTER
            })
            .map(|(ip, row)| (row.domain != *domain, *ip))
            .collect();
        rows.sort();
        rows.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Instances that share bounds: this one and those heard.
    pub fn sharers(&self, now: Timestamp) -> usize {
        self.heard(now).len() + 1
    }

    /// Pause between two beats to each member.
    pub fn beat_pause(&self, now: Timestamp) -> Duration {
        let members = self.heard(now).len();
        let factor = members.div_ceil(SMALL_FLEET).max(1);
        let factor = u32::try_from(factor).unwrap_or(u32::MAX);
        BEAT_PAUSE.saturating_mul(factor).min(BEAT_PAUSE_MAX)
    }

    /// Machines to send the next beat to: members that are heard, and
    /// addresses whose next try is due.
    pub fn targets(&mut self, now: Timestamp, own: IpAddr) -> Vec<IpAddr> {
        let mut targets = self.heard(now);
        for (ip, tried) in &mut self.contacts {
            let due = tried.is_none_or(|at| now.since(at) >= PROBE_PAUSE);
            if *ip != own && due && !targets.contains(ip) {
                *tried = Some(now);
                targets.push(*ip);
            }
        }
        targets
    }
}
