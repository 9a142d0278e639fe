//! Which instance of a failure domain reads the store for the others.
//!
//! Each call to the store has its price, and the store bounds the calls of
//! all instances together. In a domain with [`SHARED_FROM`] instances or more
//! the first in the order of addresses reads, and the others read from it.
//! Nothing is agreed on: whoever finds the reader silent, or its copy too
//! old, reads the store itself and passes it over for [`PASSED_OVER`].

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use super::{gateway_settings::GatewayBounds, wire::StoreTopic};
use crate::units::Timestamp;

/// Instances of a failure domain from which on one reads for all.
pub const SHARED_FROM: usize = 4;
/// Time for which a reader that failed is passed over.
pub const PASSED_OVER: Duration = Duration::from_secs(5);

/// Share of the time in which a leaving upstream must be known after which
/// the upstreams are read again, so that one read may fail.
const UPSTREAM_PAUSE: f64 = 0.45;
/// The same where a record takes two reads to arrive.
const UPSTREAM_PAUSE_SHARED: f64 = 0.2;
/// Share of that time above which a copy is too old. It leaves room for a
/// read that finds the copy too old and for one of the store after it.
const UPSTREAM_AGE_MAX: f64 = 0.3;
/// Share of the time in which a desired state must be in force that a read
/// may wait for a change. A store that went silent is noticed after this and
/// the time for an answer.
const CONTROL_WAIT: f64 = 0.75;
/// The same where a record takes two reads to arrive.
const CONTROL_WAIT_SHARED: f64 = 0.25;
/// Share of that time above which a copy is too old.
const CONTROL_AGE_MAX: f64 = 0.35;
/// Pause between two reads of the desired state while it changes.
const CONTROL_PAUSE: Duration = Duration::from_millis(250);
/// Share of the time bounds within which another instance must answer.
const PEER_ANSWER: f64 = 0.1;

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
pub struct ReadPace {
    /// Shortest time between the beginnings of two reads.
    pub pause: Duration,
    /// Time that a read waits for a record.
    pub wait: Duration,
    /// Age above which a copy is not used.
    pub age_max: Duration,
    /// Time for another instance's answer, besides `wait`.
    pub peer_answer: Duration,
}

impl ReadPace {
    /// Pace that keeps the bounds of a topic.
    pub fn new(
        topic: StoreTopic,
        bounds: &GatewayBounds,
        source: ReadSource,
    ) -> Self {
        let alone = source == ReadSource::Store { shared: false };
        let pick = |one: f64, many: f64| if alone { one } else { many };
        match topic {
            StoreTopic::Upstreams => {
                let bound = bounds.drain();
                let pause = pick(UPSTREAM_PAUSE, UPSTREAM_PAUSE_SHARED);
                Self {
                    pause: bound.mul_f64(pause),
                    // Reports come all the time; the pause sets the pace.
                    wait: Duration::ZERO,
                    age_max: bound.mul_f64(UPSTREAM_AGE_MAX),
                    peer_answer: bound.mul_f64(PEER_ANSWER),
                }
            }
            StoreTopic::Control | StoreTopic::Instances => {
                let bound = bounds.config();
                let wait = pick(CONTROL_WAIT, CONTROL_WAIT_SHARED);
                Self {
                    pause: CONTROL_PAUSE,
                    wait: bound.mul_f64(wait),
                    age_max: bound.mul_f64(CONTROL_AGE_MAX),
                    peer_answer: bound.mul_f64(PEER_ANSWER),
                }
            }
        }
    }
}

/// Readers that failed this instance.
#[derive(Clone, Debug, Default)]
pub struct ReadDuty {
    passed_over: BTreeMap<IpAddr, Timestamp>,
}

impl ReadDuty {
    /// Where to read next, given the other instances of the failure domain
    /// that serve.
    pub fn source(
        &self,
        now: Timestamp,
        own: IpAddr,
        others: &[IpAddr],
    ) -> ReadSource {
        if others.len() + 1 < SHARED_FROM {
            return ReadSource::Store { shared: false };
        }
        let reader = others
            .iter()
            .filter(|ip| !self.is_passed_over(now, **ip))
            .min();
        match reader {
            Some(ip) if *ip < own => ReadSource::Peer(*ip),
            _ => ReadSource::Store { shared: true },
        }
    }

    /// Notes a reader that was silent or whose copy was too old.
    pub fn pass_over(&mut self, now: Timestamp, ip: IpAddr) {
        self.passed_over.retain(|_, until| now < *until);
        self.passed_over.insert(ip, now.after(PASSED_OVER));
    }

    fn is_passed_over(&self, now: Timestamp, ip: IpAddr) -> bool {
        self.passed_over.get(&ip).is_some_and(|until| now < *until)
    }
}
