//! Time of the fleet.

use std::time::Duration;

use borageline_lib::{
    gateway::fleet_clock::{FleetClock, FleetTime, SAMPLE_TIME, WallTime},
    units::Timestamp,
};
use rstest::rstest;

use crate::usage_fleet::address;

const TRUE_MS: u64 = 1_790_000_000_000;

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// Clock of an instance that started at zero, after `at` seconds, among members
/// whose time of day is wrong by some milliseconds.
fn clock_among(at: u64, own: i64, members: &[i64]) -> FleetClock {
    let mut clock = FleetClock::new(Timestamp::ZERO, WallTime::new(TRUE_MS));
    let now_ms = TRUE_MS + at * 1_000;
    for (index, offset) in members.iter().enumerate() {
        let wall = WallTime::new(now_ms.saturating_add_signed(*offset));
        clock.observe(seconds(at), address(index), wall);
    }
    let wall = WallTime::new(now_ms.saturating_add_signed(own));
    clock.refresh(seconds(at), wall);
    clock
}

/// Guards against windows that move when the clocks of a minority jump, forward
/// or back, this instance's own included.
#[rstest]
#[case::none(0, &[1, -1, 0, 2], 0, 2)]
#[case::forward(0, &[7_000, 0, 1, 7_000], 0, 1)]
#[case::back(0, &[-7_000, 0, 1, -7_000], 0, 1)]
#[case::both(0, &[9_000, 0, 1, -9_000], 0, 1)]
#[case::own(7_000, &[0, 1, 2, 7_000], 0, 2)]
#[case::to_1970(0, &[-1_790_000_000_000, 0, 1], 0, 1)]
fn test_fleet_clock_median(
    #[case] own: i64,
    #[case] members: &[i64],
    #[case] least: u64,
    #[case] most: u64,
) {
    let time = clock_among(9, own, members).time(seconds(9));
    let range = TRUE_MS + 9_000 + least..=TRUE_MS + 9_000 + most;
    assert!(range.contains(&time.get()), "{time}");
}

/// Guards against an instance alone or with one other whose windows move when
/// a clock jumps, though nothing tells which of two clocks is wrong.
#[rstest]
#[case::alone(&[])]
#[case::one_other(&[5_000])]
fn test_fleet_clock_of_few(#[case] members: &[i64]) {
    let clock = clock_among(9, -3_000, members);
    assert!(clock.is_alone());
    assert_eq!(clock.time(seconds(9)), FleetTime::new(TRUE_MS + 9_000));
}

/// Guards against clocks of members that are long gone.
#[test]
fn test_fleet_clock_forgets_members() {
    let mut clock = clock_among(9, 0, &[5_000, 5_000, 5_000]);
    let later = seconds(9).after(SAMPLE_TIME + Duration::from_secs(1));
    let wall = WallTime::new(TRUE_MS + 9_000 + 21_000);
    clock.refresh(later, wall);
    assert!(clock.is_alone());
    assert_eq!(clock.time(later), FleetTime::new(wall.get()));
}

/// Guards against a clock that seems slow because some of its messages were on
/// the network for long, and against a jump that is taken for such a delay.
#[rstest]
#[case::delayed(400, 150)]
#[case::jumped(2_000, 0)]
fn test_fleet_clock_of_delayed_messages(
    #[case] delay: u64,
    #[case] error_max: u64,
) {
    let mut clock = FleetClock::new(Timestamp::ZERO, WallTime::new(TRUE_MS));
    for second in 1..8 {
        let now_ms = TRUE_MS + second * 1_000;
        let late = if second % 2 == 0 { delay } else { 0 };
        for index in 0..4 {
            let wall = WallTime::new(now_ms - late);
            clock.observe(seconds(second), address(index), wall);
        }
        clock.refresh(seconds(second), WallTime::new(now_ms));
        let time = clock.time(seconds(second)).get();
        let expected = if error_max == 0 {
            now_ms - late
        } else {
            now_ms
        };
        assert!(time.abs_diff(expected) <= error_max, "{second}: {time}");
    }
}
