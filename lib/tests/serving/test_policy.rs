//! Properties of owners and entry instances together, over random arrivals,
//! delays, losses, restarts, cancels and changes of ownership.

use std::time::Duration;

use crate::sim::{MEMORY, SimConfig, World, answered, untrue};
use borageline_lib::{
    api::PriorityClass,
    core::PolicyName,
    ids::RequestId,
    refusal::{RefusalCode, RunState},
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};

/// Longest time for which two instances own an engine: what the hold-down
/// leaves beside the life of a grant.
const OVERLAP_MS: u64 = 1_900;

/// Length of a step of the simulation.
const TICK: Duration = Duration::from_millis(5);

fn calm(seed: u64, policy: PolicyName) -> SimConfig {
    SimConfig {
        seed,
        policy,
        instances: 3,
        engines: 4,
        delay_ms: 5,
        loss_percent: 0,
        report_lag_ms: 300,
        pause_ms: 5,
    }
}

/// Guards against a request that is not answered although nothing fails.
#[test]
fn test_policy_answers_short_and_large_requests() {
    let mut world = World::new(calm(1, PolicyName::Product));
    world.run_for(4500);
    for at in 0..3 {
        world.arrive(at, PriorityClass::Interactive, 1000, 50, 20_000);
        world.run_for(2000);
    }
    world.arrive(0, PriorityClass::Batch, 60_000, 50, 60_000);
    world.run_for(10_000);
    world.arrive(1, PriorityClass::Batch, MEMORY * 2, 50, 60_000);
    world.run_for(30_000);
    assert_eq!(answered(&world), 5, "{:?}", world.ends);
    assert_eq!((world.held(), world.reserved_requests()), (0, 0));
}

/// Guards against a prompt that waits although no group can ever hold it.
#[test]
fn test_policy_refuses_what_no_group_can_hold() {
    let mut world = World::new(calm(2, PolicyName::Product));
    world.run_for(4500);
    let request = world.arrive(0, PriorityClass::Batch, MEMORY * 4, 50, 60_000);
    world.run_for(100);
    let (_, refusal) = &world.ends[&request];
    let refusal = refusal.as_ref().expect("it cannot be answered");
    assert_eq!(refusal.code, RefusalCode::PromptTooLarge);
    assert_eq!(refusal.run_state, RunState::NotRun);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, usize, u64, u64, u64),
    Gone(usize),
    Restart(usize),
    Move(usize, usize),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let size = prop_oneof![
        8 => 500_u64..8_000,
        2 => 20_000_u64..80_000,
        1 => 100_000_u64..200_000,
    ];
    prop_oneof![
        20 => (0..3_usize, 0..3_usize, size, 1_u64..200, 200_u64..20_000)
            .prop_map(|(at, class, prompt, output, time)| {
                Step::Arrive(at, class, prompt, output, time)
            }),
        2 => any::<usize>().prop_map(Step::Gone),
        1 => (0..4_usize).prop_map(Step::Restart),
        1 => (0..4_usize, 0..3_usize).prop_map(|(e, to)| Step::Move(e, to)),
        15 => (1_u64..400).prop_map(Step::Run),
    ]
}

fn play(world: &mut World, steps: &[Step]) {
    world.run_for(4500);
    let mut requests = Vec::new();
    for step in steps {
        match *step {
            Step::Arrive(at, class, prompt, output, time) => {
                let class = PriorityClass::ALL[class];
                requests.push(world.arrive(at, class, prompt, output, time));
            }
            Step::Gone(at) if !requests.is_empty() => {
                let request = requests[at % requests.len()].clone();
                world.caller_gone(&request);
            }
            Step::Gone(_) => {}
            Step::Restart(engine) => world.restart_engine(engine),
            Step::Move(engine, to) => {
                world.move_owner(engine, to, OVERLAP_MS);
                // Three owners at once are outside what is guaranteed, so the
                // next move comes later. Meanwhile there is much to grant.
                for at in 0..25 {
                    let class = PriorityClass::Standard;
                    let prompt = 3000 + 4000 * (at % 4);
                    let at = usize::try_from(at).expect("small") % 3;
                    requests.push(world.arrive(at, class, prompt, 100, 9000));
                    world.run_for(100);
                }
            }
            Step::Run(millis) => world.run_for(millis),
        }
    }
    world.run_for(70_000);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against overcommitted or lost memory, requests that outlive
    /// their deadline, and refusals that wrongly say `not_run`.
    #[test]
    fn test_policy_invariants_hold(
        steps in prop::collection::vec(step(), 20..120),
        seed in 0..1000_u64,
        delay_ms in 0..60_u64,
        loss_percent in 0..15_u32,
        report_lag_ms in 0..1200_u64,
        pause_ms in 0..700_u64,
        hands_over in any::<bool>(),
    ) {
        let mut world = World::new(SimConfig {
            delay_ms,
            loss_percent,
            report_lag_ms,
            pause_ms,
            ..calm(seed, PolicyName::Product)
        });
        world.hands_over = hands_over;
        play(&mut world, &steps);
        prop_assert_eq!(world.overcommitted, 0);
        prop_assert_eq!(world.account_exceeded, 0, "an account is exceeded");
        prop_assert_eq!(world.cold_exceeded, 0, "a cold limit is passed");
        prop_assert_eq!(world.held(), 0, "engines hold memory");
        prop_assert_eq!(world.reserved_requests(), 0, "accounts hold memory");
        prop_assert_eq!(world.open_requests(), 0);
        for (request, descriptor) in &world.descriptors {
            let (end, refusal) = &world.ends[request];
            prop_assert!(
                *end <= descriptor.deadline.after(TICK),
                "{} ended late: {:?}", request, refusal,
            );
        }
        prop_assert_eq!(untrue(&world), Vec::<&_>::new());
    }
}

/// Guards against a simulation that the baselines would pass as well.
#[test]
fn test_policy_baselines_overcommit_engines() {
    for policy in [PolicyName::RoundRobin, PolicyName::LeastRequests] {
        let mut world = World::new(calm(3, policy));
        for at in 0..60 {
            world.arrive(at % 3, PriorityClass::Batch, 30_000, 50, 30_000);
            world.run_for(20);
        }
        world.run_for(40_000);
        assert!(world.overcommitted > 0, "{policy:?}");
    }
}

/// Guards against a class that starves while another one asks for more than
/// the engines can do, and against admitted requests that then end late.
#[test]
fn test_policy_overload_starves_no_class() {
    let mut world = World::new(SimConfig {
        engines: 2,
        ..calm(11, PolicyName::Product)
    });
    world.run_for(4500);
    let mut requests = Vec::new();
    for at in 0..800 {
        let class = match at % 20 {
            0 => PriorityClass::Batch,
            1 => PriorityClass::Standard,
            _ => PriorityClass::Interactive,
        };
        requests.push(world.arrive(at % 3, class, 6000, 100, 8000));
        world.run_for(25);
    }
    world.run_for(10_000);
    for class in PriorityClass::ALL {
        let of_class =
            |request: &&RequestId| world.descriptors[*request].class == *class;
        let answered = |request: &&RequestId| world.ends[*request].1.is_none();
        let all = requests.iter().filter(of_class).count();
        let whole = requests.iter().filter(of_class).filter(answered).count();
        // A little over a third of the load can be served. The classes whose
        // load is below their share are served whole.
        let least = if *class == PriorityClass::Interactive {
            all / 4
        } else {
            all
        };
        assert!(whole >= least, "{class}: {whole} of {all}");
    }
    assert_eq!(world.overcommitted, 0);
}
