//! Time of day of the fleet: the median of the instances' clocks.
//!
//! The time of day of an instance may be wrong by seconds and may jump. Its
//! steady clock does neither, but has an arbitrary origin. Each instance keeps
//! the difference between the time of day of every member and its own steady
//! clock. The median of these differences, added to the steady clock, is wrong
//! only if half of the clocks are, and does not move when one jumps.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use crate::{quantity_type, units::Timestamp};

quantity_type! {
    /// Milliseconds since 1970 by the clock of one instance, which may be wrong
    /// and may jump.
    WallTime, " ms"
}

quantity_type! {
    /// Milliseconds since 1970 by the clocks of the fleet.
    FleetTime, " ms"
}

impl FleetTime {
    /// Adds a duration, saturating at the largest time.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_millis(duration)))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Clocks, this instance's included, from which the median is used. One of two
/// clocks cannot be told to be the wrong one.
pub const CLOCKS_MIN: usize = 3;
/// Time for which the difference to a member's clock is used. In a fleet of 950
/// instances, of which 16 send their time to this one in a second, a third of
/// the members is in use.
pub const SAMPLE_TIME: Duration = Duration::from_secs(20);

/// Largest difference between two samples of one clock that is due to the time
/// on the network and not to a jump.
const DELAY_MAX: ClockOffset = 500;
/// Part of the difference by which a delayed sample lowers the one before.
const DELAY_DIVISOR: ClockOffset = 8;

/// Difference between a time of day and this instance's steady clock, in
/// milliseconds. Negative if the time of day was set to the first days of 1970.
type ClockOffset = i64;

fn offset(now: Timestamp, wall: WallTime) -> ClockOffset {
    let steady = now.get() / 1_000;
    let wall = ClockOffset::try_from(wall.get()).unwrap_or(ClockOffset::MAX);
    wall.saturating_sub(ClockOffset::try_from(steady).unwrap_or_default())
}

/// Last known difference to the clock of a member.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    offset: ClockOffset,
    received_at: Timestamp,
}

/// Time of day of the fleet, as one instance knows it.
#[derive(Clone, Debug)]
pub struct FleetClock {
    /// Difference at the start, used while too few clocks are known.
    initial: ClockOffset,
    own: ClockOffset,
    members: BTreeMap<IpAddr, ClockSample>,
    /// Difference in use.
    current: ClockOffset,
}

impl FleetClock {
    /// Creates the clock of an instance that has just started.
    pub fn new(now: Timestamp, wall: WallTime) -> Self {
        let initial = offset(now, wall);
        Self {
            initial,
            own: initial,
            members: BTreeMap::new(),
            current: initial,
        }
    }

    /// Records the time of day that a member sent. The time on the network makes
    /// its clock seem slow, so that one of the fastest messages counts.
    pub fn observe(&mut self, now: Timestamp, member: IpAddr, wall: WallTime) {
        let mut offset = offset(now, wall);
        if let Some(before) = self.members.get(&member) {
            let delay = before.offset.saturating_sub(offset);
            if (0..DELAY_MAX).contains(&delay) {
                offset = before.offset - delay / DELAY_DIVISOR;
            }
        }
        let sample = ClockSample {
            offset,
            received_at: now,
        };
        self.members.insert(member, sample);
        if self.members.len() < CLOCKS_MIN {
            self.update_current();
        }
    }

    /// Reads this instance's time of day and determines the median again.
    pub fn refresh(&mut self, now: Timestamp, wall: WallTime) {
        self.own = offset(now, wall);
        self.members
            .retain(|_, it| now.since(it.received_at) <= SAMPLE_TIME);
        self.update_current();
    }

    fn update_current(&mut self) {
        let members = self.members.values().map(|it| it.offset);
        let mut offsets: Vec<_> = members.chain([self.own]).collect();
        if offsets.len() < CLOCKS_MIN {
            self.current = self.initial;
            return;
        }
        let middle = (offsets.len() - 1) / 2;
        let (_, median, _) = offsets.select_nth_unstable(middle);
        self.current = *median;
    }

    /// Whether too few clocks are known for a median.
    pub fn is_alone(&self) -> bool {
        self.members.len() + 1 < CLOCKS_MIN
    }

    /// Whether the clock of a member is known.
    pub fn knows(&self, member: IpAddr) -> bool {
        self.members.contains_key(&member)
    }

    /// Time of the fleet.
    pub fn time(&self, now: Timestamp) -> FleetTime {
        let steady = ClockOffset::try_from(now.get() / 1_000);
        let time = steady.unwrap_or_default().saturating_add(self.current);
        FleetTime::new(u64::try_from(time).unwrap_or_default())
    }
}
