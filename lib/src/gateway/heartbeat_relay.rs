//! Distribution of heartbeats in a fleet of several failure domains.
//!
//! Load changes with every placement, so heartbeats are frequent, and bytes
//! between failure domains are expensive. An instance therefore sends its
//! heartbeats directly within its own failure domain and to one member of each
//! other large domain, which relays them there. Successive heartbeats use
//! different relays, so that a relay that has failed costs its domain one
//! heartbeat in a round.
//!
//! The data for this follows the heartbeat in its datagram. Builds that do not
//! know it ignore the additional bytes, and are never chosen as relays.

use std::{collections::BTreeMap, net::IpAddr};

use crate::{
    ids::{DomainId, UpstreamId},
    value_type,
};

/// Members of a failure domain up to which each gets its heartbeats directly.
const DIRECT_MEMBERS_MAX: usize = 3;

value_type! {
    /// Data that follows a heartbeat in its datagram.
    #[derive(Default)]
    pub struct HeartbeatTrailer {
        /// Number of the heartbeat within the sender's incarnation; a copy that
        /// arrives late has a lower one than the last.
        pub sequence: u64,
        /// Whether the receiver should relay the heartbeat within its failure
        /// domain.
        pub relay: bool,
        /// Upstreams that the sender avoids, since they did not answer it.
        pub suspects: Vec<UpstreamId>,
    }
}

/// A member to which heartbeats are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatPeer {
    /// Address of its machine.
    pub ip: IpAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it relays heartbeats.
    pub can_relay: bool,
}

/// Receivers of one heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatTargets {
    /// Addresses that get it for themselves only.
    pub direct: Vec<IpAddr>,
    /// Addresses that relay it within their failure domain.
    pub relays: Vec<IpAddr>,
}

impl HeartbeatTargets {
    /// Targets that all get the heartbeat for themselves.
    pub fn direct_to(peers: &[HeartbeatPeer]) -> Self {
        Self {
            direct: peers.iter().map(|peer| peer.ip).collect(),
            relays: Vec::new(),
        }
    }

    /// Chooses the targets of the heartbeat with this sequence number that an
    /// instance of the failure domain `own` sends to `peers`.
    pub fn with_relays(
        peers: &[HeartbeatPeer],
        own: &DomainId,
        sequence: u64,
    ) -> Self {
        let mut targets = Self::default();
        let mut domains = BTreeMap::<_, Vec<IpAddr>>::new();
        for peer in peers {
            if peer.domain == *own || !peer.can_relay {
                targets.direct.push(peer.ip);
            } else {
                domains.entry(&peer.domain).or_default().push(peer.ip);
            }
        }
        for members in domains.into_values() {
            if members.len() <= DIRECT_MEMBERS_MAX {
                targets.direct.extend(members);
            } else {
                let index = sequence % members.len() as u64;
                targets.relays.push(members[index as usize]);
            }
        }
        targets
    }
}
