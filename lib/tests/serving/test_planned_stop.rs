//! Tests of the times that a planned stop leaves to requests.

use std::time::Duration;

use borageline_lib::{
    api::PriorityClass,
    core::PolicyName,
    ids::RequestId,
    planned_stop::{RequestLimit, StopSchedule},
    refusal::{RefusalCode, RunState},
    settings::InstanceLimits,
    units::Timestamp,
};
use proptest::prelude::*;

use crate::sim::{SimConfig, Simulation};

/// Time limit of the simulated stop: all requests end after 6 s, and
/// predictions count for 2 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

fn simulation(engines: usize) -> Simulation {
    let mut simulation = Simulation::new(SimConfig {
        seed: 11,
        policy: PolicyName::Product,
        instances: 2,
        engines,
        message_delay_max_ms: 2,
        loss_percent: 0,
        load_report_age_ms: 300,
        write_delay_max_ms: 2,
    });
    simulation.run_for(4_500);
    simulation
}

fn send(simulation: &mut Simulation, timeout_ms: u64) -> RequestId {
    let class = PriorityClass::Standard;
    simulation.send_request(0, class, 100, 5, timeout_ms)
}

/// Code and run state with which a request was refused; `None` if it was
/// answered.
fn end(
    simulation: &Simulation,
    request: &RequestId,
) -> Option<(RefusalCode, RunState)> {
    let (_, refusal) = &simulation.ends[request];
    refusal.as_ref().map(|it| (it.code, it.run_state))
}

/// Guards against a request that is sent late in a stop on a prediction: an
/// engine that is slower is cut off, while other instances could have served it.
#[test]
fn test_planned_stop_sends_late_only_by_deadline() {
    let mut simulation = simulation(1);
    simulation.begin_stop(0, STOP_TIMEOUT);
    simulation.run_for(1_500);
    let early = send(&mut simulation, 60_000);
    simulation.run_for(600);
    let late = send(&mut simulation, 60_000);
    let refused = Some((RefusalCode::Stopping, RunState::NotRun));
    assert_eq!(end(&simulation, &late), refused);
    let fitting = send(&mut simulation, 3_500);
    simulation.run_for(3_000);
    assert_eq!(end(&simulation, &early), None);
    assert_eq!(end(&simulation, &fitting), None);
    assert_eq!(simulation.open_requests(), 0);
}

/// Guards against a request that is sent again late in a stop, since its engine
/// failed, and is then cut off.
#[test]
fn test_planned_stop_sends_no_request_again_late() {
    let mut simulation = simulation(2);
    simulation.begin_stop(0, STOP_TIMEOUT);
    simulation.run_for(1_800);
    let class = PriorityClass::Standard;
    // The prompt takes 0.8 s.
    let request = simulation.send_request(0, class, 40_000, 5, 60_000);
    simulation.run_for(300);
    assert!(simulation.accepted.contains(&request));
    assert!(!simulation.ends.contains_key(&request));
    for engine in 0..2 {
        simulation.restart_engine(engine);
    }
    simulation.run_for(10);
    let refused = Some((RefusalCode::Stopping, RunState::MayHaveRun));
    assert_eq!(end(&simulation, &request), refused);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a stop of any length in which a prediction sends what has
    /// less than two thirds of the time, or what arrives after the last address
    /// list has expired, and against steps of a stop in another order.
    #[test]
    fn test_planned_stop_times_are_ordered(
        timeout_ms in 100_u64..1_200_000,
        ttl_ms in 100_u64..60_000,
        deadline_ms in 0_u64..2_000_000,
    ) {
        let at = |millis| {
            Timestamp::ZERO.after(Duration::from_millis(millis))
        };
        let stop = StopSchedule::new(at(0), &InstanceLimits {
            stop_timeout: Duration::from_millis(timeout_ms),
            address_ttl: Duration::from_millis(ttl_ms),
            ..InstanceLimits::default()
        });
        let third = stop.requests_end().since(at(0)) / 3;
        prop_assert!(stop.predictions_end() <= at(0).after(third));
        prop_assert!(stop.predictions_end() <= stop.listener_closes());
        prop_assert!(stop.listener_closes() <= stop.requests_end());
        prop_assert!(stop.requests_end() < stop.connections_close());
        prop_assert!(stop.connections_close() < at(timeout_ms));
        let deadline = at(deadline_ms);
        let limit = RequestLimit::new(deadline, Some(stop));
        let (sent_before, ends_at) = if deadline > stop.requests_end() {
            (stop.predictions_end(), stop.requests_end())
        } else {
            (deadline, deadline)
        };
        prop_assert_eq!(limit.sent_before(), sent_before);
        prop_assert_eq!(limit.ends_at(), ends_at);
    }
}
