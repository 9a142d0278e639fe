//! Singleton duties: calls to the platform that one instance at a time makes for
//! the whole fleet, and the fencing tokens that order their holders.

use std::{
    collections::VecDeque,
    fmt::{Display, Formatter},
    time::Duration,
};

use crate::{
    ids::InstanceId,
    quantity_type,
    units::{Timestamp, bounded_time},
};

quantity_type! {
    /// Number that rises with each change of the instance that holds the duties.
    FencingToken, ""
}

/// Name of a duty in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DutyName {
    /// Reports of the requests of each workspace.
    Metering,
    /// Orders for the number of engines of a service.
    Autoscale,
}

impl DutyName {
    /// All duties.
    pub const ALL: [Self; 2] = [Self::Metering, Self::Autoscale];

    /// The name as a string slice.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Metering => "metering",
            Self::Autoscale => "autoscale",
        }
    }
}

impl Display for DutyName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Identity under which a call of a duty is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCaller {
    /// Name of the instance that holds the duty.
    pub holder: InstanceId,
    /// Fencing token of its lease.
    pub token: FencingToken,
}

/// Factor on the time of the limit, since calls may arrive closer together than
/// they were sent.
const LIMIT_TIME_FACTOR: f64 = 1.1;

/// Limit of calls per second.
#[derive(Clone, Debug, Default)]
pub struct DutyCallLimit {
    /// Times of the last calls.
    sent: VecDeque<Timestamp>,
}

impl DutyCallLimit {
    /// Records a call if the limit allows one. Otherwise returns the time until
    /// it does. A limit that is not positive is none.
    pub fn take(
        &mut self,
        now: Timestamp,
        calls_per_s: Option<f64>,
    ) -> Result<(), Duration> {
        let Some(rate) = calls_per_s.filter(|rate| *rate > 0.0) else {
            return Ok(());
        };
        let calls = rate.floor().max(1.0);
        let time = bounded_time((1.0 / rate).max(1.0) * LIMIT_TIME_FACTOR);
        while self.sent.front().is_some_and(|at| at.after(time) <= now) {
            self.sent.pop_front();
        }
        // The conversion saturates.
        let calls = calls as usize;
        if self.sent.len() >= calls {
            let freed = self.sent[self.sent.len() - calls].after(time);
            return Err(freed.since(now));
        }
        self.sent.push_back(now);
        Ok(())
    }
}
