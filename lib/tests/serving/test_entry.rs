//! Tests of requests from arrival to end, with simulated owners and engines.

use std::time::Duration;

use crate::sim::{SimConfig, Simulation, engine_id, id};
use borageline_lib::{
    api::PriorityClass,
    core::{PolicyName, StreamFailure},
    fleet::{DomainRule, DrainMode, UpstreamRule},
    ids::RequestId,
    owner::TakeoverState,
    refusal::{Refusal, RefusalCode, RunState},
};
use rstest::rstest;

fn simulation(engines: usize) -> Simulation {
    let mut simulation = Simulation::new(SimConfig {
        seed: 9,
        policy: PolicyName::Product,
        instances: 2,
        engines,
        message_delay_max_ms: 2,
        loss_percent: 0,
        load_report_age_ms: 300,
        write_delay_max_ms: 2,
    });
    simulation.run_for(4500);
    simulation
}

fn refusal<'a>(simulation: &'a Simulation, request: &RequestId) -> &'a Refusal {
    let (_, refusal) = &simulation.ends[request];
    refusal.as_ref().expect("the request was refused")
}

fn drain(simulation: &mut Simulation, number: usize, mode: DrainMode) {
    let rule = UpstreamRule {
        drained: Some(mode),
        ..UpstreamRule::default()
    };
    simulation.fleet.upstreams.insert(engine_id(number), rule);
}

/// Guards against new requests that are sent under a configuration that may be
/// out of date.
#[test]
fn test_entry_refuses_when_configuration_is_stale() {
    let mut simulation = simulation(2);
    simulation.configuration_fresh = false;
    let request =
        simulation.send_request(0, PriorityClass::Standard, 1000, 5, 5000);
    let refusal = refusal(&simulation, &request);
    assert_eq!(refusal.code, RefusalCode::ConfigurationStale);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Guards against new requests on engines of a closed domain, and against a
/// request without an answer when no engine can be used.
#[test]
fn test_entry_sends_nothing_into_a_closed_domain() {
    let mut simulation = simulation(2);
    let closed = DomainRule {
        closed: Some(DrainMode::Finish),
        reopened_at: None,
    };
    simulation.fleet.domains.insert(id("d"), closed);
    let request =
        simulation.send_request(0, PriorityClass::Standard, 1000, 5, 3000);
    simulation.run_for(4000);
    let refusal = refusal(&simulation, &request);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(simulation.accepted.is_empty());
}

/// Guards against a drain that ends running requests in another way than its
/// mode demands.
#[rstest]
#[case::finish(DrainMode::Finish, None)]
#[case::moved(DrainMode::Move, None)]
#[case::fail(DrainMode::Fail, Some(RefusalCode::UpstreamFailed))]
fn test_entry_follows_the_drain_mode(
    #[case] mode: DrainMode,
    #[case] end: Option<RefusalCode>,
) {
    let mut simulation = simulation(2);
    let request =
        simulation.send_request(0, PriorityClass::Standard, 10_000, 5, 9000);
    simulation.run_for(150);
    let held = |number| simulation.held_by(number).contains(&request);
    let number = (0..2)
        .find(|number| held(*number))
        .expect("an engine runs the request");
    drain(&mut simulation, number, mode);
    simulation.run_for(120);
    let left = !simulation.held_by(number).contains(&request);
    assert_eq!(left, mode != DrainMode::Finish);
    simulation.run_for(9000);
    let (_, refusal) = &simulation.ends[&request];
    let code = refusal.as_ref().map(|refusal| refusal.code);
    assert_eq!(code, end);
    let run_state = refusal.as_ref().map(|refusal| refusal.run_state);
    assert_ne!(run_state, Some(RunState::NotRun), "the request was sent");
}

/// Guards against requests that outlive their deadline because no owner
/// answers, and against refusals that claim they may have run.
#[test]
fn test_entry_ends_when_no_owner_answers() {
    let mut simulation = simulation(2);
    simulation.set_loss(100);
    let request =
        simulation.send_request(0, PriorityClass::Batch, 1000, 5, 3000);
    simulation.run_for(3100);
    let refusal = refusal(&simulation, &request);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert_eq!(simulation.open_requests(), 0);
}

/// What a request waits for until its deadline.
#[derive(Clone, Copy, Debug)]
enum WaitCause {
    DomainClosed,
    ConfigurationStale,
    LoadUnknown,
    EngineFull,
    OwnerUnreachable,
    QueuedAfterNoUpstream,
}

fn close_domain(simulation: &mut Simulation, closed: Option<DrainMode>) {
    let rule = DomainRule {
        closed,
        reopened_at: None,
    };
    simulation.fleet.domains.insert(id("d"), rule);
}

/// Fills the only engine for longer than the tests run.
fn fill_engine(simulation: &mut Simulation) {
    let class = PriorityClass::Standard;
    simulation.send_request(0, class, 1_000, 4_000, 60_000);
    simulation.run_for(50);
}

/// Guards against an answer at the deadline that depends on which timer runs
/// first: a pause over the deadline must not hide why the request was waiting.
#[rstest]
#[case::closed(WaitCause::DomainClosed, RefusalCode::NoUpstream)]
#[case::stale(WaitCause::ConfigurationStale, RefusalCode::ConfigurationStale)]
#[case::unknown(WaitCause::LoadUnknown, RefusalCode::NoUpstream)]
#[case::full(WaitCause::EngineFull, RefusalCode::NoCapacity)]
#[case::unreachable(WaitCause::OwnerUnreachable, RefusalCode::NoCapacity)]
#[case::queued(WaitCause::QueuedAfterNoUpstream, RefusalCode::NoCapacity)]
fn test_entry_states_at_the_deadline_why_it_waited(
    #[case] cause: WaitCause,
    #[case] code: RefusalCode,
    #[values(0, 5, 60, 1_200)] pause: u64,
) {
    let mut simulation = simulation(1);
    match cause {
        WaitCause::DomainClosed | WaitCause::ConfigurationStale => {
            close_domain(&mut simulation, Some(DrainMode::Finish));
        }
        WaitCause::LoadUnknown => {
            simulation.reads_fail = true;
            simulation.run_for(2_500);
        }
        WaitCause::EngineFull => fill_engine(&mut simulation),
        WaitCause::OwnerUnreachable => simulation.set_loss(100),
        WaitCause::QueuedAfterNoUpstream => {
            fill_engine(&mut simulation);
            close_domain(&mut simulation, Some(DrainMode::Finish));
        }
    }
    let request =
        simulation.send_request(1, PriorityClass::Standard, 1_000, 5, 2_000);
    if let WaitCause::ConfigurationStale = cause {
        simulation.configuration_fresh = false;
    }
    simulation.run_for(200);
    if let WaitCause::QueuedAfterNoUpstream = cause {
        close_domain(&mut simulation, None);
    }
    // The end of the pause lies after the deadline, its begin before it.
    simulation.run_for(1_795 - pause);
    let waits = !simulation.ends.contains_key(&request);
    assert!(waits || pause < 1_200, "the pause begins during the wait");
    simulation.pause_for(pause + 5);
    simulation.run_for(500);
    let refusal = refusal(&simulation, &request);
    assert_eq!(refusal.code, code, "{refusal}");
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Guards against grants on an engine without a recent load report.
#[test]
fn test_owner_grants_nothing_on_a_frozen_engine() {
    let mut simulation = simulation(1);
    simulation.reads_fail = true;
    simulation.run_for(2500);
    let request =
        simulation.send_request(0, PriorityClass::Standard, 1000, 5, 2000);
    simulation.run_for(2100);
    assert!(!simulation.accepted.contains(&request));
}

/// Guards against a new owner that grants more than a tenth of the memory
/// before it has read the engine's list of held requests after the hold-down.
#[test]
fn test_owner_takeover_grants_a_tenth_until_it_has_read_the_list() {
    let mut simulation = simulation(1);
    simulation.handover_enabled = false;
    simulation.move_owner(0, 1, 0);
    simulation.run_for(300);
    assert_eq!(simulation.takeover(1, 0), Some(TakeoverState::HoldDown));
    let small =
        simulation.send_request(0, PriorityClass::Standard, 5000, 5, 9000);
    simulation.run_for(50);
    let large =
        simulation.send_request(1, PriorityClass::Standard, 12_000, 5, 9000);
    simulation.run_for(200);
    assert!(simulation.accepted.contains(&small));
    assert!(!simulation.accepted.contains(&large));
    simulation.run_for(4000);
    assert_eq!(simulation.takeover(1, 0), Some(TakeoverState::Serving));
    assert!(simulation.accepted.contains(&large));
}

/// Guards against a cold engine that receives all requests at once, as it does
/// under a baseline policy.
#[rstest]
#[case::product(PolicyName::Product, 2)]
#[case::least(PolicyName::LeastRequests, 8)]
fn test_cold_engine_is_filled_step_by_step(
    #[case] policy: PolicyName,
    #[case] most: usize,
) {
    let mut simulation = Simulation::new(SimConfig {
        seed: 9,
        policy,
        instances: 2,
        engines: 1,
        message_delay_max_ms: 2,
        loss_percent: 0,
        load_report_age_ms: 300,
        write_delay_max_ms: 2,
    });
    simulation.engines_cold = true;
    simulation.run_for(4500);
    for at in 0..20 {
        simulation.send_request(
            at % 2,
            PriorityClass::Standard,
            1000,
            100,
            9000,
        );
    }
    simulation.run_for(1500);
    let held = simulation.max_held[&engine_id(0)];
    assert!(held == most || (held < most && most == 2), "{held}");
}

/// Guards against a new owner that grants memory twice, because the former
/// owner granted it to a request that has not reached the engine yet.
#[test]
fn test_owner_hold_down_covers_unsent_grants() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(SimConfig {
            seed,
            policy: PolicyName::Product,
            instances: 2,
            engines: 1,
            message_delay_max_ms: 2,
            loss_percent: 0,
            load_report_age_ms: 0,
            write_delay_max_ms: 480,
        });
        simulation.handover_enabled = seed % 2 == 0;
        simulation.run_for(4500);
        simulation.send_request(0, PriorityClass::Standard, 60_000, 5, 20_000);
        simulation.run_for(15);
        simulation.move_owner(0, 1, 0);
        simulation.run_for(15);
        simulation.send_request(1, PriorityClass::Standard, 60_000, 5, 20_000);
        simulation.run_for(20_000);
        assert_eq!(simulation.overcommitted, 0, "seed {seed}");
        assert_eq!(simulation.accepted.len(), 2, "seed {seed}");
    }
}

/// Guards against a planned change of owner that waits for the full hold-down,
/// and against reservations lost in the handover.
#[test]
fn test_owner_handover_keeps_holds_and_serves_at_once() {
    let mut simulation = simulation(1);
    let running =
        simulation.send_request(0, PriorityClass::Standard, 60_000, 5, 20_000);
    simulation.run_for(50);
    simulation.move_owner(0, 1, 1_000);
    simulation.run_for(150);
    assert_eq!(simulation.takeover(1, 0), Some(TakeoverState::Serving));
    assert!(simulation.has_reservation(1, 0, &running));
    let next =
        simulation.send_request(1, PriorityClass::Standard, 60_000, 5, 20_000);
    simulation.run_for(20_000);
    assert_eq!(simulation.overcommitted, 0);
    assert!(simulation.accepted.contains(&next));
}

/// Guards against two owners that overcommit an engine because their views
/// differ for almost two seconds. A hold-down of 1 s is too short for this.
#[test]
fn test_owner_hold_down_covers_differing_views() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(SimConfig {
            seed,
            policy: PolicyName::Product,
            instances: 2,
            engines: 1,
            message_delay_max_ms: 2,
            loss_percent: 0,
            load_report_age_ms: 0,
            write_delay_max_ms: 480,
        });
        simulation.handover_enabled = false;
        simulation.run_for(4500);
        // The former owner fills the engine, so that the cold-start limits of
        // both owners are high when their views differ.
        for step in 0..400 {
            if step == 300 {
                simulation.move_owner(0, 1, 1_900);
            }
            for at in 0..2 {
                let class = PriorityClass::Standard;
                simulation.send_request(at, class, 3_000, 200, 9_000);
            }
            simulation.run_for(50);
        }
        simulation.run_for(20_000);
        assert_eq!(simulation.overcommitted, 0, "seed {seed}");
    }
}

/// Guards against requests that wait at a stopping instance for an engine that
/// cannot finish them in time, and against a request without an answer when the
/// stop ends. A request with an earlier deadline does not end for the stop.
#[test]
fn test_entry_stop_limits_requests() {
    const REQUESTS: usize = 24;
    const TIMEOUT_MS: u64 = 600_000;
    let mut simulation = simulation(1);
    let send = |simulation: &mut Simulation| {
        let class = PriorityClass::Standard;
        simulation.send_request(0, class, 1_000, 20_000, TIMEOUT_MS)
    };
    let requests: Vec<_> =
        (0..REQUESTS).map(|_| send(&mut simulation)).collect();
    simulation.run_for(300);
    let is_sent = |simulation: &Simulation, request: &RequestId| {
        simulation.accepted.contains(request)
    };
    let (sent, waiting): (Vec<_>, Vec<_>) = requests
        .into_iter()
        .partition(|request| is_sent(&simulation, request));
    assert!(!sent.is_empty() && !waiting.is_empty(), "{sent:?}");
    let ended = simulation.ends.len();
    assert_eq!(ended, 0, "no request has ended before the stop");
    simulation.begin_stop(0, Duration::from_secs(8));
    let late = send(&mut simulation);
    let short =
        simulation.send_request(0, PriorityClass::Standard, 100, 5, 5_000);
    simulation.run_for(500);
    for request in waiting.iter().chain([&late]) {
        let refusal = refusal(&simulation, request);
        let end = (refusal.code, refusal.run_state);
        assert_eq!(end, (RefusalCode::Stopping, RunState::NotRun));
    }
    simulation.run_for(6_000);
    for request in &sent {
        let refusal = refusal(&simulation, request);
        assert_eq!(refusal.code, RefusalCode::Stopping);
        assert_ne!(refusal.run_state, RunState::NotRun);
    }
    let (_, end) = &simulation.ends[&short];
    let end = end.as_ref().map(|refusal| refusal.code);
    assert_ne!(end, Some(RefusalCode::Stopping));
    assert_eq!(simulation.open_requests(), 0);
}

/// Guards against a stream that ends since one reconnection to its engine failed,
/// against reconnections without pauses and against those without an end.
#[test]
fn test_entry_reconnects_for_a_limited_time() {
    let mut simulation = simulation(1);
    let class = PriorityClass::Standard;
    let request = simulation.send_request(0, class, 100, 2_000, 60_000);
    simulation.run_for(300);
    assert!(simulation.accepted.contains(&request));
    let begun = simulation.now;
    simulation.interrupt(&request, StreamFailure::Interrupted);
    while !simulation.ends.contains_key(&request) {
        let (_, pause) = simulation.resumed.last().expect("a decision");
        simulation.run_for(pause.as_millis() as u64);
        simulation.interrupt(&request, StreamFailure::ConnectFailed);
    }
    let time = simulation.now.since(begun);
    assert!(time >= Duration::from_secs(3), "{time:?}");
    assert!(time <= Duration::from_secs(5), "{time:?}");
    assert_eq!(simulation.resumed[0].1, Duration::ZERO);
    assert!(simulation.resumed.len() <= 10, "{:?}", simulation.resumed);
    assert_eq!(refusal(&simulation, &request).run_state, RunState::Ran);
}

/// Guards against reconnections to an engine that no longer holds the stream.
#[test]
fn test_entry_reconnects_not_to_an_engine_that_refuses() {
    let mut simulation = simulation(1);
    let class = PriorityClass::Standard;
    let request = simulation.send_request(0, class, 100, 2_000, 60_000);
    simulation.run_for(300);
    simulation.interrupt(&request, StreamFailure::Interrupted);
    simulation.interrupt(&request, StreamFailure::EngineError);
    assert_eq!(simulation.resumed.len(), 1);
    assert_eq!(refusal(&simulation, &request).run_state, RunState::Ran);
}
