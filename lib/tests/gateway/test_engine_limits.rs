//! Limits derived from an engine's description, and placements on engines of
//! any speed and size.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        cost_model::EngineProfile,
        engine_limits::EngineLimits,
        gateway_core::{GatewayCore, NotPlaced, StartedRequest},
        load_table::UpstreamLoad,
        routing_config::{
            ConfigVersion, RetrySafety, RoutingConfig, ServiceSpec,
        },
    },
    ids::UpstreamId,
    units::{Incarnation, TokenCount},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixtures::{
    admitted, at, config, engine, entry, id, ms, placement_request, route,
    settings,
};

/// Cases of each property; their seed is fixed, so that each run has the same
/// verdict.
const PROPERTY_CASES: u32 = 64;

fn property_config() -> ProptestConfig {
    ProptestConfig {
        cases: PROPERTY_CASES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Guards against limits that fit one deployment only: the engines of the
/// users' sites differ in slots, speed and accepted pauses.
#[rstest]
#[case::sixteen_slots(16, 51, 250, 12, 177)]
#[case::ten_slots(10, 80, 300, 7, 196)]
#[case::slow_passes(16, 400, 250, 12, 259)]
#[case::no_pause(16, 51, 0, 12, 32)]
fn test_engine_limits_follow_description(
    #[case] slots: u32,
    #[case] steps: u32,
    #[case] pause: u64,
    #[case] expected_requests: u32,
    #[case] expected_long_ms: u64,
) {
    let engine = EngineProfile {
        slots,
        steps_per_pass: steps,
        ..engine()
    };
    let limits = EngineLimits::new(&engine, ms(pause));
    assert_eq!(limits.short_requests, expected_requests);
    let long = limits.long_prefill_min.as_millis();
    assert!(long.abs_diff(expected_long_ms.into()) <= 1, "{long} ms");
}

/// Guards against limits that vanish on a route without a pause target, so that
/// the longest prompts run on one engine beside short requests.
#[test]
fn test_engine_limits_without_pause_target_follow_latency() {
    let mut route = route(RetrySafety::Idempotent, 2);
    route.gap_target = route.timeout;
    let config = RoutingConfig::new(ConfigVersion::new(1)).with_route(route);
    assert_eq!(config.shortest_pause(&id("models")), Some(ms(300)));
}

/// Engine of any speed and size that the users may run.
fn any_engine() -> impl Strategy<Value = EngineProfile> {
    let speeds = (4u32..=64, 50_000.0..1_000_000.0, 300u64..3_000);
    let sizes = (50_000u64..2_000_000, 8u32..160, 20u64..300);
    (speeds, sizes).prop_map(|((slots, rate, step), (kv, steps, pairs))| {
        EngineProfile {
            slots,
            kv_capacity: TokenCount::new(kv),
            decode_step: Duration::from_micros(step),
            prefill_rate: rate,
            per_million_pairs: Duration::from_micros(pairs),
            steps_per_pass: steps,
            ..engine()
        }
    })
}

fn fleet(engine: EngineProfile, count: usize) -> GatewayCore {
    let settings = Arc::new(settings());
    let mut core = GatewayCore::new(settings, Incarnation::new(1), 7);
    core.apply_config(config(1).with_service(ServiceSpec {
        name: id("models"),
        cold_requests_per_s: 0.0,
        engine: Some(engine),
        status_path: None,
        scaling: None,
    }));
    let names = (0..count).map(|index| entry(&format!("i-{index}")));
    core.replace_upstreams(at(0), names.collect());
    core
}

/// Places prompts at one moment until each was placed, deferred or refused.
fn place_all(
    core: &mut GatewayCore,
    prompts: &[u64],
) -> Vec<Result<StartedRequest, NotPlaced>> {
    let admitted = admitted(core, at(10));
    let place = |prompt: &u64| {
        let request = placement_request(&admitted, *prompt);
        core.place(at(10), &request)
    };
    prompts.iter().map(place).collect()
}

fn most(
    loads: &BTreeMap<UpstreamId, UpstreamLoad>,
    value: impl Fn(&UpstreamLoad) -> u64,
) -> u64 {
    loads.values().map(value).max().unwrap_or_default()
}

proptest! {
    #![proptest_config(property_config())]

    /// Load pattern: a flood of prompts of all sizes. Guards against long
    /// prompts whose KV cache exceeds an engine's memory, on engines that the
    /// policy was not made for.
    #[test]
    fn test_placement_keeps_long_prompts_within_memory(
        engine in any_engine(),
        count in 2usize..40,
        shares in prop::collection::vec(0.2f64..1.5, 1..30),
    ) {
        let capacity = engine.kv_capacity.get();
        let prompts: Vec<_> = shares
            .iter()
            .map(|share| (capacity as f64 * share) as u64)
            .collect();
        let mut core = fleet(engine, count);
        place_all(&mut core, &prompts);
        let loads = core.load_table().total_loads(at(10));
        prop_assert!(most(&loads, |load| load.kv_tokens) <= capacity);
    }

    /// Load pattern: a flood of short requests. Guards against an engine that
    /// gets more requests than it has slots while another one has free slots.
    #[test]
    fn test_placement_fills_slots_evenly(
        engine in any_engine(),
        count in 4usize..40,
        filled in 0.1f64..0.7,
    ) {
        let slots = u64::from(engine.slots);
        let flood = (slots as f64 * count as f64 * filled) as usize;
        // A prompt that no engine's memory or speed makes a long one.
        let prompts = vec![500; flood];
        let mut core = fleet(engine, count);
        let placed = place_all(&mut core, &prompts);
        prop_assert!(placed.iter().all(Result::is_ok));
        let loads = core.load_table().total_loads(at(10));
        let most = most(&loads, |load| load.requests().into());
        prop_assert!(most <= slots, "{most} requests on {slots} slots");
    }

    /// Guards against a refusal of a prompt that idle engines can serve in
    /// time, alone or together.
    #[test]
    fn test_placement_serves_feasible_prompt_on_idle_engines(
        engine in any_engine(),
        count in 2usize..40,
        share in 0.05f64..0.9,
    ) {
        // Within half of the route's target and an engine's memory.
        let capacity = engine.kv_capacity.get() as f64;
        let mut prompt = ((capacity * 0.9 - 1_700.0) * share) as u64;
        while engine.prefill_time(TokenCount::new(prompt)) > ms(150) {
            prompt /= 2;
        }
        let mut core = fleet(engine, count);
        let placed = place_all(&mut core, &[prompt]);
        prop_assert!(placed[0].is_ok(), "{placed:?}");
    }
}
