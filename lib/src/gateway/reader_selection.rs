//! Selects which instance of a failure domain reads the store for the others.
//!
//! Each call to the store has a cost, and the store limits the calls of all
//! instances together. In a domain with [`SHARED_READ_MIN_INSTANCES`] serving
//! instances or more, the one with the lowest address reads the store and the
//! others read its copy. The instances do not vote: one that gets no answer
//! from the reader, or too old a copy, reads the store itself and skips that
//! reader for [`READER_EXCLUSION`].

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use super::{gateway_settings::GatewayBounds, wire::StoreTopic};
use crate::units::Timestamp;

/// Number of serving instances in a failure domain from which one reads for
/// all.
pub const SHARED_READ_MIN_INSTANCES: usize = 4;
/// Time for which a reader that failed is not used.
pub const READER_EXCLUSION: Duration = Duration::from_secs(5);

/// Interval between reads of the upstream list, as a share of the time within
/// which a leaving upstream must be noticed. One read may fail.
const UPSTREAM_INTERVAL_RATIO: f64 = 0.45;
/// The same share in domains with one reader, where a record takes two reads
/// to arrive.
const UPSTREAM_INTERVAL_RATIO_SHARED: f64 = 0.2;
/// Largest age of a copy of the upstream list that is used, as a share of the
/// same time. The rest covers a read that finds the copy too old and a read of
/// the store after it.
const UPSTREAM_COPY_AGE_RATIO_MAX: f64 = 0.3;
/// Long-poll time of a read of the control topic, as a share of the time
/// within which a desired state must be in force. A store that stopped
/// answering is detected after this plus the answer timeout.
const CONTROL_WAIT_RATIO: f64 = 0.75;
/// The same share in domains with one reader, where a record takes two reads
/// to arrive.
const CONTROL_WAIT_RATIO_SHARED: f64 = 0.25;
/// Largest age of a copy of the control topic that is used, as a share of the
/// same time.
const CONTROL_COPY_AGE_RATIO_MAX: f64 = 0.35;
/// Shortest interval between two reads of the control topic while it changes.
const CONTROL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for another instance's answer, as a share of the topic's bound.
const PEER_TIMEOUT_RATIO: f64 = 0.1;

/// Source of the next read of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSource {
    /// The platform's store.
    Store {
        /// Whether other instances read from this one.
        shared: bool,
    },
    /// The copy held by the instance at this address.
    Peer(IpAddr),
}

/// Timing of the reads of one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSchedule {
    /// Shortest time between the starts of two reads.
    pub interval: Duration,
    /// Time that a read may wait for a new record.
    pub long_poll: Duration,
    /// Age above which a copy is rejected.
    pub copy_age_max: Duration,
    /// Timeout for another instance's answer, in addition to `long_poll`.
    pub peer_timeout: Duration,
}

impl ReadSchedule {
    /// Computes the timing that keeps the configured bound of a topic.
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
                let interval = choose(
                    UPSTREAM_INTERVAL_RATIO,
                    UPSTREAM_INTERVAL_RATIO_SHARED,
                );
                Self {
                    interval: bound.mul_f64(interval),
                    // Records of upstreams arrive all the time, so a long poll
                    // would return at once; the interval limits the read rate.
                    long_poll: Duration::ZERO,
                    copy_age_max: bound.mul_f64(UPSTREAM_COPY_AGE_RATIO_MAX),
                    peer_timeout: bound.mul_f64(PEER_TIMEOUT_RATIO),
                }
            }
            StoreTopic::Control
            | StoreTopic::Instances
            | StoreTopic::Quarantine => {
                let bound = bounds.config();
                let long_poll =
                    choose(CONTROL_WAIT_RATIO, CONTROL_WAIT_RATIO_SHARED);
                Self {
                    interval: CONTROL_INTERVAL,
                    long_poll: bound.mul_f64(long_poll),
                    copy_age_max: bound.mul_f64(CONTROL_COPY_AGE_RATIO_MAX),
                    peer_timeout: bound.mul_f64(PEER_TIMEOUT_RATIO),
                }
            }
        }
    }
}

/// Readers that failed this instance, with the time until which they are
/// skipped.
#[derive(Clone, Debug, Default)]
pub struct ReaderSelector {
    excluded_until: BTreeMap<IpAddr, Timestamp>,
}

impl ReaderSelector {
    /// Selects the source of the next read. `others` are the other serving
    /// instances of the failure domain.
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

    /// Skips a reader that did not answer or whose copy was too old.
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
