//! Which instance of a failure domain reads the store for the others.
//!
//! Each call to the store has its price, and the store bounds the calls of
//! all instances together. In a domain with [`SHARED_READ_MIN_INSTANCES`] instances or more
//! the first in the order of addresses reads, and the others read from it.
//! Nothing is agreed on: whoever finds the reader silent, or its copy too
//! old, reads the store itself and passes it over for [`READER_EXCLUSION`].

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use super::{gateway_settings::GatewayBounds, wire::StoreTopic};
use crate::units::Timestamp;

/// Instances of a failure domain from which on one reads for all.
pub const SHARED_READ_MIN_INSTANCES: usize = 4;
/// Time for which a reader that failed is passed over.
pub const READER_EXCLUSION: Duration = Duration::from_secs(5);

/// Share of the time in which a leaving upstream must be known after which
/// the upstreams are read again, so that one read may fail.
const UPSTREAM_INTERVAL: f64 = 0.45;
/// The same where a record takes two reads to arrive.
const UPSTREAM_INTERVAL_SHARED: f64 = 0.2;
/// Share of that time above which a copy is too old. It leaves room for a
/// read that finds the copy too old and for one of the store after it.
const UPSTREAM_COPY_AGE_MAX: f64 = 0.3;
/// Share of the time in which a desired state must be in force that a read
/// may wait for a change. A store that went silent is noticed after this and
/// the time for an answer.
const CONTROL_WAIT: f64 = 0.75;
/// The same where a record takes two reads to arrive.
const CONTROL_WAIT_SHARED: f64 = 0.25;
/// Share of that time above which a copy is too old.
const CONTROL_COPY_AGE_MAX: f64 = 0.35;
/// Pause between two reads of the desired state while it changes.
const CONTROL_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the time bounds within which another instance must answer.
const PEER_TIMEOUT: f64 = 0.1;

/// Where to read a topic next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// The store.
    Store {
        /// Whether others read from this instance.
        shared: bool,
    },
    /// The copy of another instance.
    Peer(IpAddr),
}

/// Pace of the reads of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Shortest time between the beginnings of two reads.
    pub interval: Duration,
    /// Time that a read waits for a record.
    pub long_poll: Duration,
    /// Age above which a copy is not used.
    pub copy_age_max: Duration,
    /// Time for another instance's answer, besides `wait`.
    pub peer_timeout: Duration,
}

impl ReadSchedule {
    /// Pace that keeps the bounds of a topic.
    pub fn new(
        topic: StoreTopic,
        bounds: &GatewayBounds,
        source: ReadSource,
    ) -> Self {
        let alone = source == ReadSource::Store { shared: false };
        let choose = |one: f64, many: f64| if alone { one } else { many };
        match topic {
            StoreTopic::Upstreams => {
                let bound = bounds.drain();
                let interval =
                    choose(UPSTREAM_INTERVAL, UPSTREAM_INTERVAL_SHARED);
                Self {
                    interval: bound.mul_f64(interval),
                    // Reports come all the time; the pause sets the pace.
                    long_poll: Duration::ZERO,
                    copy_age_max: bound.mul_f64(UPSTREAM_COPY_AGE_MAX),
                    peer_timeout: bound.mul_f64(PEER_TIMEOUT),
                }
            }
            StoreTopic::Control | StoreTopic::Instances => {
                let bound = bounds.config();
                let long_poll = choose(CONTROL_WAIT, CONTROL_WAIT_SHARED);
                Self {
                    interval: CONTROL_INTERVAL,
                    long_poll: bound.mul_f64(long_poll),
                    copy_age_max: bound.mul_f64(CONTROL_COPY_AGE_MAX),
                    peer_timeout: bound.mul_f64(PEER_TIMEOUT),
                }
            }
        }
    }
}

/// Readers that failed this instance.
#[derive(Clone, Debug, Default)]
pub struct ReaderSelector {
    excluded_until: BTreeMap<IpAddr, Timestamp>,
}

impl ReaderSelector {
    /// Where to read next, given the other instances of the failure domain
    /// that serve.
    pub fn source(
        &self,
        now: Timestamp,
        own: IpAddr,
        others: &[IpAddr],
    ) -> ReadSource {
        if others.len() + 1 < SHARED_READ_MIN_INSTANCES {
            return ReadSource::Store { shared: false };
        }
        let reader = others
            .iter()
            .filter(|ip| !self.is_excluded(now, **ip))
            .min();
        match reader {
            Some(ip) if *ip < own => ReadSource::Peer(*ip),
            _ => ReadSource::Store { shared: true },
        }
    }

    /// Notes a reader that was silent or whose copy was too old.
    pub fn exclude_reader(&mut self, now: Timestamp, ip: IpAddr) {
        self.excluded_until.retain(|_, until| now < *until);
        self.excluded_until.insert(ip, now.after(READER_EXCLUSION));
    }

    fn is_excluded(&self, now: Timestamp, ip: IpAddr) -> bool {
        self.excluded_until
            .get(&ip)
            .is_some_and(|until| now < *until)
    }
}
