//! Cost of one placement decision by the number of engines, in-process.
//!
//! Measures [`CandidateTable::choose`] of the product, with a summary known
//! for every engine and one engine in six taking long prompts. The baselines
//! have no decision of their own to compare at these sizes, so the measure
//! runs the product only.

use std::{
    collections::BTreeMap,
    hint::black_box,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use borageline_lib::{
    engine_api::CapabilityReport,
    fleet::FleetState,
    fleet_view::{FleetView, UpstreamEntry, UpstreamTable},
    ids::{InstanceId, ModelName, UpstreamId},
    peer_api::EngineSummary,
    placement::{CandidateTable, PlacementRequirements},
    units::{Incarnation, Timestamp, TokenCount, TokenRate},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    fleet::{MODEL, domain_name},
    options::MeasureOptions,
    report::MeasureReport,
};

/// Numbers of engines.
const SIZES: &[usize] = &[10, 100, 1_000, 10_000];
/// Decisions in one batch.
const BATCH: usize = 1_000;
/// Batches of each size; the median one counts.
const BATCHES: usize = 41;
/// Failure domains.
const DOMAINS: usize = 3;
/// Share of decisions for long prompts: one in this many.
const LONG_EVERY: u64 = 50;

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("decision", options.seed);
    if options.policies()[0] != "product" {
        let text = "decision measures the product's policy only";
        return Err(io::Error::other(text));
    }
    let mut costs = BTreeMap::new();
    for size in SIZES {
        let cost = cost_ns(*size, options.seed);
        costs.insert(*size, cost);
        report.add("product", &format!("decision_ns_{size}"), "ns", cost);
    }
    let ratio = costs[&10_000] / costs[&10];
    report.add("product", "cost_10000_over_10", "ratio", ratio);
    Ok(report)
}

/// Median cost of one decision in nanoseconds.
fn cost_ns(size: usize, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let model: ModelName = MODEL.parse().expect("constant is an id");
    let own: InstanceId = "instance-0".parse().expect("constant is an id");
    let own_domain = domain_name(0);
    let fleet = FleetState::default();
    let upstreams = upstream_table(size, &model);
    let owners = BTreeMap::new();
    let view = FleetView {
        local_instance: &own,
        local_domain: &own_domain,
        fleet: &fleet,
        upstreams: &upstreams,
        owners: &owners,
        live_instances: 1,
        configuration_fresh: true,
        may_act_as_owner: true,
    };
    let now = Timestamp::new(1_000_000);
    let mut table = CandidateTable::new();
    for index in 0..size {
        let summary = EngineSummary {
            engine: engine_id(index),
            headroom: TokenCount::new(rng.random_range(50_000..400_000)),
            free_slots: rng.random_range(0..32),
            leaving: false,
            wait: Duration::from_millis(rng.random_range(0..400)),
            takes_long: index % 6 == 0,
        };
        table.apply_summary(now, summary, &view);
    }
    let mut costs: Vec<f64> = (0..BATCHES)
        .map(|_| batch_ns(&table, now, &model, &view, &mut rng))
        .collect();
    costs.sort_by(f64::total_cmp);
    costs[BATCHES / 2]
}

fn batch_ns(
    table: &CandidateTable,
    now: Timestamp,
    model: &ModelName,
    view: &FleetView,
    rng: &mut ChaCha8Rng,
) -> f64 {
    let started = Instant::now();
    for _ in 0..BATCH {
        let prefix: u64 = rng.random();
        let prompt = if prefix.is_multiple_of(LONG_EVERY) {
            TokenCount::new(200_000)
        } else {
            TokenCount::new(2_000)
        };
        let need = PlacementRequirements {
            model,
            prompt,
            tokens: prompt.saturating_add(TokenCount::new(64)),
            prefix,
            domains: None,
            tried: &[],
        };
        black_box(table.choose(now, &need, view, rng));
    }
    started.elapsed().as_nanos() as f64 / BATCH as f64
}

fn engine_id(index: usize) -> UpstreamId {
    format!("engine-{index}").parse().expect("name is an id")
}

fn upstream_table(size: usize, model: &ModelName) -> UpstreamTable {
    let mut table = UpstreamTable::new();
    for index in 0..size {
        let report = CapabilityReport {
            engine: engine_id(index),
            incarnation: Incarnation::new(1),
            models: vec![model.clone()],
            memory: TokenCount::new(400_000),
            slots: 32,
            prefill_rate: TokenRate::new(20_000),
            decode_rate: TokenRate::new(50),
            segments: true,
            checks_fencing: true,
            role: None,
            loading: None,
        };
        let entry = UpstreamEntry {
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain_name(index % DOMAINS),
            service: None,
            leaving: false,
            capability: Some(Arc::new(report)),
        };
        table.insert(engine_id(index), entry);
    }
    table
}
