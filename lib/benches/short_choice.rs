//! Time of the placement of one short prompt by a gateway, for different
//! numbers of engines and of other instances. With two instances or more
//! for each engine, the choice is the even one.

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        cost_model::EngineProfile,
        gateway_core::{GatewayCore, PlacementRequest},
        gateway_settings::GatewaySettings,
        load_table::PrefillDemand,
        member_table::{HEARTBEAT_VERSION, Heartbeat},
        placement::PromptSize,
        routing_config::{
            AnswerForm, ConfigVersion, RetrySafety, RouteSpec, RoutingConfig,
            ServiceShare, ServiceSpec, WorkspaceSpec,
        },
        upstream_table::{UpstreamEntry, UpstreamState},
    },
    units::{Incarnation, Timestamp, TokenCount},
};

fn main() {
    divan::main();
}

const SETTINGS: &str = r#"{
  "instance": "entry-1",
  "failure_domain": "domain-a",
  "ip": "127.0.0.1",
  "listen": { "front": "127.0.0.1:8000", "ready": null, "directory": null },
  "peer_ports": [7000, 7010],
  "seeds": [],
  "store": "127.0.0.1:9001",
  "memory_mb": 260,
  "descriptors": 4100,
  "bounds": {
    "grace_s": 8, "drain_ms": 2000, "config_ms": 2000, "address_ttl_s": 5,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 100,
    "cold_factor": 1.5, "cold_slack": 5, "hold_ms": 20000
  }
}"#;

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("constant ids are valid")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::new(millis * 1_000)
}

fn entry(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: id(&format!("i-{number}")),
        address: format!("127.0.0.1:{}", 9_000 + number)
            .parse()
            .expect("text is an address"),
        domain: id("domain-a"),
        service: id("models"),
        state: UpstreamState::Ready,
        cold_for: Duration::ZERO,
        slots: 16,
        incarnation: Incarnation::new(1),
        sequence: 1,
    }
}

fn config() -> RoutingConfig {
    let engine = EngineProfile {
        slots: 16,
        kv_capacity: TokenCount::new(315_000),
        decode_step: Duration::from_micros(850),
        per_sequence: Duration::from_micros(4),
        per_thousand_context: Duration::from_micros(3),
        prefill_rate: 177_000.0,
        per_million_pairs: Duration::from_micros(184),
        steps_per_pass: 51,
    };
    let route = RouteSpec {
        name: "route".into(),
        host: "host.example".into(),
        prefix: "/a/".into(),
        retry_safety: RetrySafety::Idempotent,
        form: AnswerForm::Events,
        timeout: Duration::from_secs(60),
        latency_target: Duration::from_millis(300),
        gap_target: Duration::from_millis(250),
        priority: 1,
        services: vec![ServiceShare {
            service: id("models"),
            weight: 1,
        }],
        sends_max: 2,
        anonymous: false,
    };
    let workspace = WorkspaceSpec {
        name: id("workspace-a"),
        priority: None,
    };
    RoutingConfig::new(ConfigVersion::new(1))
        .with_service(ServiceSpec {
            name: id("models"),
            cold_requests_per_s: 0.0,
            engine: Some(engine),
            status_path: "/status".parse().ok(),
            scaling: None,
        })
        .with_route(route)
        .with_workspace(workspace, [Arc::from("key-a")])
}

/// Core with this many engines and members besides.
fn core(engines: usize, members: u32) -> GatewayCore {
    let settings = GatewaySettings::parse(SETTINGS);
    let settings = Arc::new(settings.expect("settings are valid"));
    let mut core = GatewayCore::new(settings, Incarnation::new(1), 7);
    core.apply_config(config());
    core.replace_upstreams(at(0), (0..engines).map(entry).collect());
    for member in 0..members {
        let heartbeat = Heartbeat {
            version: HEARTBEAT_VERSION,
            instance: id(&format!("member-{member}")),
            incarnation: Incarnation::new(1),
            domain: id("domain-a"),
            ip: Ipv4Addr::from_bits(0x0a00_0000 + member).into(),
            serving: true,
            alive: Vec::new(),
            loads: BTreeMap::new(),
            demand: PrefillDemand::default(),
        };
        core.receive_heartbeat(at(0), heartbeat, None);
    }
    core
}

/// Placement of one short prompt and its end.
#[divan::bench(
    args = [(54, 0), (54, 140), (54, 950), (10_000, 950), (10_000, 10_001)],
    sample_count = 300,
)]
fn place_short(bencher: divan::Bencher, (engines, members): (usize, u32)) {
    let mut core = core(engines, members);
    let now = at(1_000);
    let admitted = core
        .admit(now, "host.example", "/a/x", Some("key-a"))
        .expect("route and key are configured");
    let request = PlacementRequest {
        admitted: &admitted,
        size: Some(PromptSize {
            prompt: TokenCount::new(5_000),
            output_max: TokenCount::new(1_500),
        }),
        is_resumed: false,
        is_new: false,
        excluded: &[],
        tried: &[],
        waited: Duration::ZERO,
        time_left: Duration::from_secs(10),
    };
    bencher.bench_local(|| {
        let started = core.place(now, &request).expect("engines are idle");
        core.finish(started.in_flight_id);
    });
}
