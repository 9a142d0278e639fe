//! Tests of requests from arrival to end, with owners and engines around.

use crate::sim::{SimConfig, World, engine_id, id};
use borageline_lib::{
    api::PriorityClass,
    core::PolicyName,
    fleet::{DomainRule, DrainMode, UpstreamRule},
    ids::RequestId,
    owner::TakeoverState,
    refusal::{Refusal, RefusalCode, RunState},
};
use rstest::rstest;

fn world(engines: usize) -> World {
    let mut world = World::new(SimConfig {
        seed: 9,
        policy: PolicyName::Product,
        instances: 2,
        engines,
        delay_ms: 2,
        loss_percent: 0,
        report_lag_ms: 300,
        pause_ms: 2,
    });
    world.run_for(4500);
    world
}

fn refusal<'a>(world: &'a World, request: &RequestId) -> &'a Refusal {
    let (_, refusal) = &world.ends[request];
    refusal.as_ref().expect("the request was refused")
}

fn drain(world: &mut World, number: usize, mode: DrainMode) {
    let rule = UpstreamRule {
        drained: Some(mode),
        ..UpstreamRule::default()
    };
    world.fleet.upstreams.insert(engine_id(number), rule);
}

/// Guards against sending new work by a configuration that may be old.
#[test]
fn test_entry_refuses_when_configuration_is_stale() {
    let mut world = world(2);
    world.fresh = false;
    let request = world.arrive(0, PriorityClass::Standard, 1000, 5, 5000);
    let refusal = refusal(&world, &request);
    assert_eq!(refusal.code, RefusalCode::ConfigurationStale);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Guards against new work in a closed domain, and against an answer other
/// than at the deadline when nothing can take the request.
#[test]
fn test_entry_sends_nothing_into_a_closed_domain() {
    let mut world = world(2);
    let closed = DomainRule {
        closed: Some(DrainMode::Finish),
        reopened_at: None,
    };
    world.fleet.domains.insert(id("d"), closed);
    let request = world.arrive(0, PriorityClass::Standard, 1000, 5, 3000);
    world.run_for(4000);
    let refusal = refusal(&world, &request);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert!(world.accepted.is_empty());
}

/// Guards against a drain that ends running work in another way than its mode
/// says.
#[rstest]
#[case::finish(DrainMode::Finish, None)]
#[case::moved(DrainMode::Move, None)]
#[case::fail(DrainMode::Fail, Some(RefusalCode::UpstreamFailed))]
fn test_entry_follows_the_drain_mode(
    #[case] mode: DrainMode,
    #[case] end: Option<RefusalCode>,
) {
    let mut world = world(2);
    let request = world.arrive(0, PriorityClass::Standard, 10_000, 5, 9000);
    world.run_for(150);
    let held = |number| world.held_by(number).contains(&request);
    let number = (0..2).find(|number| held(*number)).expect("it runs");
    drain(&mut world, number, mode);
    world.run_for(120);
    let left = !world.held_by(number).contains(&request);
    assert_eq!(left, mode != DrainMode::Finish);
    world.run_for(9000);
    let (_, refusal) = &world.ends[&request];
    let code = refusal.as_ref().map(|refusal| refusal.code);
    assert_eq!(code, end);
    let run_state = refusal.as_ref().map(|refusal| refusal.run_state);
    assert_ne!(run_state, Some(RunState::NotRun), "it was sent");
}

/// Guards against requests that wait past their deadline for an owner that
/// does not answer, and against a refusal that says it may have run.
#[test]
fn test_entry_ends_when_no_owner_answers() {
    let mut world = world(2);
    world.set_loss(100);
    let request = world.arrive(0, PriorityClass::Batch, 1000, 5, 3000);
    world.run_for(3100);
    let refusal = refusal(&world, &request);
    assert_eq!(refusal.run_state, RunState::NotRun);
    assert_eq!(world.open_requests(), 0);
}

/// Guards against grants on an engine whose state is no longer known.
#[test]
fn test_owner_grants_nothing_on_a_frozen_engine() {
    let mut world = world(1);
    world.frozen = true;
    world.run_for(2500);
    let request = world.arrive(0, PriorityClass::Standard, 1000, 5, 2000);
    world.run_for(2100);
    assert!(!world.accepted.contains(&request));
}

/// Guards against a new owner that grants more than a tenth before it has
/// read the engine's list after the hold-down.
#[test]
fn test_owner_takeover_grants_a_tenth_until_it_has_read_the_list() {
    let mut world = world(1);
    world.hands_over = false;
    world.move_owner(0, 1, 0);
    world.run_for(300);
    assert_eq!(world.takeover(1, 0), Some(TakeoverState::HoldDown));
    let small = world.arrive(0, PriorityClass::Standard, 5000, 5, 9000);
    world.run_for(50);
    let large = world.arrive(1, PriorityClass::Standard, 12_000, 5, 9000);
    world.run_for(200);
    assert!(world.accepted.contains(&small));
    assert!(!world.accepted.contains(&large));
    world.run_for(4000);
    assert_eq!(world.takeover(1, 0), Some(TakeoverState::Serving));
    assert!(world.accepted.contains(&large));
}

/// Guards against a cold engine that gets all requests at once, as it does
/// under a baseline.
#[rstest]
#[case::product(PolicyName::Product, 2)]
#[case::least(PolicyName::LeastRequests, 8)]
fn test_cold_engine_is_filled_step_by_step(
    #[case] policy: PolicyName,
    #[case] most: usize,
) {
    let mut world = World::new(SimConfig {
        seed: 9,
        policy,
        instances: 2,
        engines: 1,
        delay_ms: 2,
        loss_percent: 0,
        report_lag_ms: 300,
        pause_ms: 2,
    });
    world.cold = true;
    world.run_for(4500);
    for at in 0..20 {
        world.arrive(at % 2, PriorityClass::Standard, 1000, 100, 9000);
    }
    world.run_for(1500);
    let held = world.most_held[&engine_id(0)];
    assert!(held == most || (held < most && most == 2), "{held}");
}

/// Guards against a new owner that grants memory which the old owner granted
/// to a request that has not reached the engine yet.
#[test]
fn test_owner_hold_down_covers_unsent_grants() {
    for seed in 0..20 {
        let mut world = World::new(SimConfig {
            seed,
            policy: PolicyName::Product,
            instances: 2,
            engines: 1,
            delay_ms: 2,
            loss_percent: 0,
            report_lag_ms: 0,
            pause_ms: 480,
        });
        world.hands_over = seed % 2 == 0;
        world.run_for(4500);
        world.arrive(0, PriorityClass::Standard, 60_000, 5, 20_000);
        world.run_for(15);
        world.move_owner(0, 1, 0);
        world.run_for(15);
        world.arrive(1, PriorityClass::Standard, 60_000, 5, 20_000);
        world.run_for(20_000);
        assert_eq!(world.overcommitted, 0, "seed {seed}");
        assert_eq!(world.accepted.len(), 2, "seed {seed}");
    }
}

/// Guards against a planned change of owner that costs the wait for an owner
/// that cannot be asked, and against holds that are lost on the way.
#[test]
fn test_owner_handover_keeps_holds_and_serves_at_once() {
    let mut world = world(1);
    let running = world.arrive(0, PriorityClass::Standard, 60_000, 5, 20_000);
    world.run_for(50);
    world.move_owner(0, 1, 1_000);
    world.run_for(150);
    assert_eq!(world.takeover(1, 0), Some(TakeoverState::Serving));
    assert!(world.holds(1, 0, &running));
    let next = world.arrive(1, PriorityClass::Standard, 60_000, 5, 20_000);
    world.run_for(20_000);
    assert_eq!(world.overcommitted, 0);
    assert!(world.accepted.contains(&next));
}

/// Guards against two owners whose views differ for almost two seconds and
/// that fill the same engine. With a wait of 1 s this overcommits.
#[test]
fn test_owner_hold_down_covers_differing_views() {
    for seed in 0..40 {
        let mut world = World::new(SimConfig {
            seed,
            policy: PolicyName::Product,
            instances: 2,
            engines: 1,
            delay_ms: 2,
            loss_percent: 0,
            report_lag_ms: 0,
            pause_ms: 480,
        });
        world.hands_over = false;
        world.run_for(4500);
        // The old owner fills the engine, so that its limit for cold engines
        // and that of the new owner are high when the views differ.
        for step in 0..400 {
            if step == 300 {
                world.move_owner(0, 1, 1_900);
            }
            for at in 0..2 {
                let class = PriorityClass::Standard;
                world.arrive(at, class, 3_000, 200, 9_000);
            }
            world.run_for(50);
        }
        world.run_for(20_000);
        assert_eq!(world.overcommitted, 0, "seed {seed}");
    }
}
