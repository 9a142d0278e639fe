//! Time of one placement decision for different numbers of engines.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageline_lib::{
    api::PriorityClass,
    core::{PolicyName, RequestDescriptor, RequestProgress},
    engine_api::CapabilityReport,
    entry::{EntryEvent, EntryTable},
    fleet::FleetState,
    fleet_view::{FleetView, UpstreamEntry, UpstreamTable},
    ids::{DomainId, InstanceId, ModelName, UpstreamId},
    peer_api::EngineSummary,
    placement::{CandidateTable, PlacementRequirements},
    units::{Incarnation, Timestamp, TokenCount, TokenRate},
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
        role: None,
        loading: None,
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
        leaving: false,
        wait: Duration::from_millis(number as u64 % 100),
        takes_long: number.is_multiple_of(5),
    }
}

/// Upstreams and owners of a fleet with this many engines.
struct BenchFleet {
    names: Vec<UpstreamId>,
    upstreams: UpstreamTable,
    owners: BTreeMap<UpstreamId, InstanceId>,
    local_instance: InstanceId,
    local_domain: DomainId,
    state: FleetState,
}

impl BenchFleet {
    fn new(engines: usize) -> Self {
        let name = |number: usize| id(&format!("engine-{number:05}"));
        let names: Vec<UpstreamId> = (0..engines).map(name).collect();
        let mut upstreams = UpstreamTable::new();
        let mut owners = BTreeMap::new();
        for (number, name) in names.iter().enumerate() {
            upstreams.insert(name.clone(), entry(number, name));
            let owner = id(&format!("i{}", number % 950));
            owners.insert(name.clone(), owner);
        }
        Self {
            names,
            upstreams,
            owners,
            local_instance: id("a"),
            local_domain: id("d0"),
            state: FleetState::default(),
        }
    }

    fn view(&self) -> FleetView<'_> {
        FleetView {
            local_instance: &self.local_instance,
            local_domain: &self.local_domain,
            fleet: &self.state,
            upstreams: &self.upstreams,
            owners: &self.owners,
            live_instances: 950,
            configuration_fresh: true,
            may_act_as_owner: true,
        }
    }
}

const NOW: Timestamp = Timestamp::new(1_000_000);

/// Choice of candidates only.
#[divan::bench(
    args = [10, 100, 1000, 10_000],
    consts = [1_000, 100_000],
    sample_count = 2000,
)]
fn choose<const PROMPT: u64>(bencher: divan::Bencher, engines: usize) {
    let fleet = BenchFleet::new(engines);
    let view = fleet.view();
    let mut table = CandidateTable::new();
    for (number, name) in fleet.names.iter().enumerate() {
        table.apply_summary(NOW, summary(number, name), &view);
    }
    let model: ModelName = id("m");
    let requirements = PlacementRequirements {
        model: &model,
        prompt: TokenCount::new(PROMPT),
        tokens: TokenCount::new(PROMPT),
        prefix: 1,
        domains: None,
        tried: &[],
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    bencher.bench_local(|| table.choose(NOW, &requirements, &view, &mut rng));
}

/// Whole decision: from the arrival of a request to the grant request,
/// including the removal of the request after the caller disconnected.
#[divan::bench(args = [10, 100, 1000, 10_000], sample_count = 2000)]
fn decide(bencher: divan::Bencher, engines: usize) {
    let fleet = BenchFleet::new(engines);
    let view = fleet.view();
    let incarnation = Incarnation::new(1);
    let mut table = EntryTable::new(PolicyName::Product, incarnation, 1);
    for (number, name) in fleet.names.iter().enumerate() {
        let event = EntryEvent::Summary(summary(number, name));
        table.handle(NOW, event, &view);
    }
    let descriptor = RequestDescriptor {
        request: id("r"),
        workspace: id("w"),
        model: id("m"),
        class: PriorityClass::Standard,
        prompt: TokenCount::new(1000),
        output: TokenCount::new(100),
        prefix: 1,
        deadline: NOW.after(Duration::from_secs(10)),
    };
    bencher.bench_local(|| {
        let arrived = EntryEvent::Arrived(descriptor.clone());
        let mut actions = table.handle(NOW, arrived, &view);
        let disconnected = RequestProgress::CallerDisconnected;
        let disconnected =
            EntryEvent::Progress(descriptor.request.clone(), disconnected);
        actions.extend(table.handle(NOW, disconnected, &view));
        actions
    });
}
