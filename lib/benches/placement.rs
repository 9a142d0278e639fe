//! Cost of one placement decision by the number of engines.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageline_lib::{
    engine_api::CapabilityReport,
    fleet::FleetState,
    ids::{DomainId, InstanceId, ModelName, UpstreamId},
    peer_api::EngineSummary,
    placement::{CandidateTable, PlacementNeed},
    units::{Incarnation, Timestamp, TokenCount, TokenRate},
    view::{FleetView, UpstreamEntry, UpstreamTable},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

fn main() {
    divan::main();
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("constant ids are valid")
}

fn entry(number: usize, name: &UpstreamId) -> UpstreamEntry {
    let report = CapabilityReport {
        engine: name.clone(),
        incarnation: Incarnation::new(1),
        models: vec![id("m")],
        memory: TokenCount::new(400_000),
        slots: 32,
        prefill_rate: TokenRate::new(20_000),
        decode_rate: TokenRate::new(50),
        segments: true,
        checks_fencing: true,
    };
    UpstreamEntry {
        address: "127.0.0.1:1".parse().expect("constant is an address"),
        domain: id(&format!("d{}", number % 18)),
        service: None,
        leaving: false,
        capability: Some(Arc::new(report)),
    }
}

fn summary(number: usize, engine: &UpstreamId) -> EngineSummary {
    EngineSummary {
        engine: engine.clone(),
        headroom: TokenCount::new(1000 * (number as u64 % 300)),
        free_slots: 8,
        wait: Duration::from_millis(number as u64 % 100),
        takes_long: number.is_multiple_of(5),
    }
}

#[divan::bench(args = [10, 100, 1000, 10_000], consts = [1_000, 100_000])]
fn choose<const PROMPT: u64>(bencher: divan::Bencher, engines: usize) {
    let now = Timestamp::new(1_000_000);
    let model: ModelName = id("m");
    let own: InstanceId = id("a");
    let own_domain: DomainId = id("d0");
    let fleet = FleetState::default();
    let owners = BTreeMap::new();
    let mut upstreams = UpstreamTable::new();
    let names: Vec<UpstreamId> = (0..engines)
        .map(|n| id(&format!("engine-{n:05}")))
        .collect();
    for (number, name) in names.iter().enumerate() {
        upstreams.insert(name.clone(), entry(number, name));
    }
    let view = FleetView {
        own: &own,
        own_domain: &own_domain,
        fleet: &fleet,
        upstreams: &upstreams,
        owners: &owners,
        live_instances: 7,
        fresh: true,
        may_own: true,
    };
    let mut table = CandidateTable::new();
    for (number, name) in names.iter().enumerate() {
        table.take_summary(now, summary(number, name), &view);
    }
    let need = PlacementNeed {
        model: &model,
        prompt: TokenCount::new(PROMPT),
        tokens: TokenCount::new(PROMPT),
        prefix: 1,
        domains: None,
        tried: &[],
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    bencher.bench_local(|| table.choose(now, &need, &view, &mut rng));
}
