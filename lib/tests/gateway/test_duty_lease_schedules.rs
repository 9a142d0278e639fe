//! Lease of the singleton duties under random schedules of failures.

use proptest::prelude::*;
use rand::Rng;

use crate::lease_simulation::{
    Delivery, LEASE, LeaseSimulation, LogTopicBackup, StoreLink,
};

const LEASE_MS: u64 = LEASE.as_millis() as u64;
/// Faults of one schedule.
const FAULTS: usize = 60;
/// Longest time between two faults.
const FAULT_INTERVAL_MAX_MS: u64 = 1_500;
/// Time within which the lease is held once all faults have ended: a restart, a
/// first read, a lease, and one more after a claim that was carried out late.
const RECOVERY_MS: u64 = 4 * LEASE_MS + 6_000;

fn apply_fault(
    simulation: &mut LeaseSimulation,
    backups: &mut Vec<LogTopicBackup>,
) {
    let index = simulation.rng.random_range(0..simulation.instances.len());
    let time_ms = simulation.rng.random_range(100..2 * LEASE_MS);
    let kind = simulation.rng.random_range(0..18);
    let instance = &mut simulation.instances[index];
    match kind {
        0 => instance.link = StoreLink::CUT,
        1 => instance.link = StoreLink::NO_RESPONSES,
        2 => {
            // Requests are carried out after their sender has given up.
            let requests = Delivery::After(time_ms);
            instance.link = StoreLink {
                requests,
                responses: Delivery::Never,
            };
        }
        3 => {
            let delay_ms = time_ms / 8;
            let delivery = Delivery::After(delay_ms);
            instance.link = StoreLink {
                requests: delivery,
                responses: delivery,
            };
        }
        4..=6 => instance.link = StoreLink::GOOD,
        7 => instance.service = Delivery::After(time_ms),
        8 => instance.service = Delivery::Never,
        9 => instance.service = Delivery::After(5),
        10 => simulation.freeze(index, time_ms),
        11 => simulation.kill(index, time_ms),
        12 => simulation.stop(index),
        13 => {
            let rank = simulation.rng.random_range(0..4_usize);
            simulation.set_rank(index, (rank < 3).then_some(rank));
        }
        14 => simulation.store.is_down ^= true,
        15 => {
            let kept = simulation.rng.random_range(0..4);
            simulation.store.trim(kept);
        }
        16 => backups.push(simulation.store.back_up()),
        _ => {
            if let Some(backup) = backups.pop() {
                simulation.store.restore(&backup);
            }
        }
    }
}

fn run_schedule(seed: u64, fenced: bool) {
    let mut simulation = LeaseSimulation::new(4, seed);
    simulation.fenced = fenced;
    let mut backups = Vec::new();
    for _ in 0..FAULTS {
        let pause_ms = simulation.rng.random_range(0..FAULT_INTERVAL_MAX_MS);
        simulation.run(pause_ms);
        apply_fault(&mut simulation, &mut backups);
    }
    simulation.check_calls();
    simulation.store.is_down = false;
    for index in 0..simulation.instances.len() {
        let instance = &mut simulation.instances[index];
        instance.link = StoreLink::GOOD;
        instance.service = Delivery::After(5);
        instance.frozen_until_ms = 0;
        simulation.set_rank(index, Some(index));
    }
    simulation.run(RECOVERY_MS);
    simulation.check_calls();
    let calls = simulation.calls.len();
    simulation.run_until_held(LEASE_MS);
    simulation.run(LEASE_MS);
    assert!(simulation.calls.len() > calls, "no calls after the faults");
    simulation.check_calls();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against two machines that send the same token, a call after one
    /// with a higher token, calls in the order A, B, A within a lease, and a
    /// lease that is never claimed again, under any schedule of lost and late
    /// messages, freezes, kills, planned stops, restores and trims.
    #[test]
    fn test_duty_lease_random_schedules(
        seed in any::<u64>(), fenced in any::<bool>(),
    ) {
        run_schedule(seed, fenced);
    }
}
