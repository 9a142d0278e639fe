//! Lease of the singleton duties, held by one instance at a time.

use std::{net::IpAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::duty::FencingToken;
use crate::{ids::InstanceId, quantity_type, units::Incarnation, value_type};

quantity_type! {
    /// Microseconds by a clock that includes the time for which the machine
    /// was suspended. Not comparable between instances.
    LeaseTime, " us"
}

impl LeaseTime {
    /// Adds a duration, saturating at the largest time.
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Time at which the lease expires unless it is renewed.
    pub until: LeaseTime,
}

value_type! {
    /// One run of an instance, as the records of the lease name it.
    #[derive(Eq)]
    pub struct LeaseOwner {
        /// Name of the instance.
        #[serde(rename = "holder")]
        pub instance: InstanceId,
        /// Address of its machine.
        pub ip: IpAddr,
        /// Start of its process.
        pub incarnation: Incarnation,
    }
}

/// Holder of the lease according to the records that were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHolder {
    /// The instance.
    pub owner: LeaseOwner,
    /// Fencing token of its lease.
    pub token: FencingToken,
}

/// Instances that may claim the lease while nobody holds it.
pub const CANDIDATE_COUNT: usize = 3;
/// Seed of the hash that ranks the instances.
const RANK_SEED: u64 = 0x6475_7479;

/// The instances that may claim the lease, by their addresses and in the order
/// in which they should: the first ones of all by rendezvous hashing.
pub fn lease_candidates(serving: &[IpAddr]) -> Vec<IpAddr> {
    let mut ranked: Vec<_> =
        serving.iter().map(|ip| (rank_hash(*ip), *ip)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(CANDIDATE_COUNT);
    ranked.into_iter().map(|(_, ip)| ip).collect()
}

fn rank_hash(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), RANK_SEED),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), RANK_SEED),
    }
}
