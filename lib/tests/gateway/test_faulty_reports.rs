//! Numbers out of all proportion in requests and in heartbeats.

use borageline_lib::{
    gateway::{
        load_table::{PrefillDemand, UpstreamLoad},
        placement::PromptSize,
        request_limit::LimitReport,
        upstream_table::UpstreamProcess,
    },
    units::{Incarnation, TokenCount},
};
use proptest::{
    prelude::{ProptestConfig, prop},
    proptest,
    strategy::Strategy,
    test_runner::RngSeed,
};
use serde_json::json;

use crate::fixtures::{admitted, at, core, heartbeat, id, placement_request};

/// Numbers at the bounds, and usual ones.
fn number() -> impl Strategy<Value = u64> {
    let bounds = [0, 1, 1_000, 1 << 31, u32::MAX.into(), 1 << 53, u64::MAX];
    prop::sample::select(bounds.to_vec())
}

fn count() -> impl Strategy<Value = u32> {
    number().prop_map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

/// Fixed seed, so that each run has the same verdict.
fn property_config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(36),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(property_config())]

    /// Guards against a panic, or a request without an answer, when a request
    /// or another instance states a number out of all proportion.
    #[test]
    fn test_faulty_numbers_end_no_task(
        tokens in (number(), number()),
        counts in (count(), count(), count(), count()),
        sums in (number(), number(), number(), number()),
        limit in prop::sample::select(
            vec![0.0, -1.0, 1e-300, 1e300],
        ),
    ) {
        let mut core = core(4);
        for (name, host) in [("entry-3", 3), ("entry-4", 4)] {
            let mut report = heartbeat(name, [127, 0, 0, host]);
            let load = UpstreamLoad {
                short: counts.0,
                long: counts.1,
                long_in_prefill: counts.2,
                prefill_left_ms: counts.3,
                kv_tokens: sums.0,
            };
            report.loads = [(id("i-0"), load), (id("i-1"), load)].into();
            report.demand = PrefillDemand {
                deferred_ms: sums.1,
                long_ms: sums.2,
                short_ms: sums.3,
            };
            core.receive_heartbeat(at(1), report, None);
        }
        let report = LimitReport {
            process: UpstreamProcess {
                upstream: id("i-2"),
                incarnation: Incarnation::new(1),
            },
            limit: serde_json::from_value(json!(limit)).ok(),
            age_ms: counts.0,
        };
        core.receive_limit_reports(at(1), &[report]);
        let admitted = admitted(&mut core, at(2));
        let mut request = placement_request(&admitted, 1_000);
        request.size = Some(PromptSize {
            prompt: TokenCount::new(tokens.0),
            output_max: TokenCount::new(tokens.1),
        });
        for _ in 0..3 {
            if let Ok(started) = core.place(at(3), &request) {
                core.next_heartbeat(at(4));
                core.finish(started.in_flight_id);
            }
        }
        core.next_heartbeat(at(5));
    }
}
