//! Fixtures shared by the tests of the gateway.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    gateway::{
        cost_model::EngineProfile,
        gateway_core::{AdmittedRequest, GatewayCore, PlacementRequest},
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
    ids::UpstreamId,
    units::{Incarnation, Timestamp, TokenCount},
};

pub(crate) fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test ids are valid")
}

pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::new(millis * 1_000)
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Engine with about the speed of the users' engines.
pub(crate) fn engine() -> EngineProfile {
    EngineProfile {
        slots: 16,
        kv_capacity: TokenCount::new(315_000),
        decode_step: Duration::from_micros(850),
        per_sequence: Duration::from_micros(4),
        per_thousand_context: Duration::from_micros(3),
        prefill_rate: 177_000.0,
        per_million_pairs: Duration::from_micros(184),
        steps_per_pass: 51,
    }
}

pub(crate) fn prompt_size(prompt: u64) -> PromptSize {
    PromptSize {
        prompt: TokenCount::new(prompt),
        output_max: TokenCount::new(1_700),
    }
}

pub(crate) fn entry(name: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id(name),
        service: id("models"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port_of(name))),
        domain: id("domain-a"),
        state: UpstreamState::Ready,
        cold_for: Duration::ZERO,
        slots: 16,
        incarnation: Incarnation::new(1),
        sequence: 1,
    }
}

/// Derives a distinct port for each name that the tests use.
fn port_of(name: &str) -> u16 {
    let port = name.bytes().fold(9_000, |port: u32, byte| {
        (port * 31 + u32::from(byte)) % 30_011
    });
    u16::try_from(port).expect("ports are below 30,011")
}

pub(crate) fn route(retry_safety: RetrySafety, sends: u32) -> RouteSpec {
    RouteSpec {
        name: "route".into(),
        host: "host.example".into(),
        prefix: "/a/".into(),
        retry_safety,
        form: AnswerForm::Events,
        timeout: ms(10_000),
        latency_target: ms(300),
        gap_target: ms(250),
        priority: 1,
        services: vec![ServiceShare {
            service: id("models"),
            weight: 1,
        }],
        sends_max: sends,
        anonymous: false,
    }
}

pub(crate) fn config(version: u64) -> RoutingConfig {
    let workspace = WorkspaceSpec {
        name: id("workspace-a"),
        priority: None,
    };
    RoutingConfig::new(ConfigVersion::new(version))
        .with_service(ServiceSpec {
            name: id("models"),
            cold_requests_per_s: 26.0,
            engine: Some(engine()),
            status_path: "/status".parse().ok(),
            scaling: None,
        })
        .with_route(route(RetrySafety::Idempotent, 2))
        .with_workspace(workspace, [Arc::from("key-a")])
}

pub(crate) const SETTINGS: &str = r#"{
  // Settings of one instance.
  "instance": "entry-1",
  "failure_domain": "domain-a",
  "ip": "127.0.0.1",
  "listen": { "front": "127.0.0.1:8000", "ready": null, "directory": null },
  "peer_ports": [7000, 7010],
  "seeds": ["127.0.0.2:1"],
  "store": "127.0.0.1:9001",
  "memory_mb": 260,
  "descriptors": 4100,
  "bounds": {
    "grace_s": 8, "drain_ms": 2000, "config_ms": 2000, "address_ttl_s": 5,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 100,
    "cold_factor": 1.5, "cold_slack": 5, "hold_ms": 20000
  }
}"#;

pub(crate) fn settings() -> GatewaySettings {
    GatewaySettings::parse(SETTINGS).expect("test settings are valid")
}

/// Core with a desired state and `count` engines.
pub(crate) fn core(count: usize) -> GatewayCore {
    let settings = Arc::new(settings());
    let mut core = GatewayCore::new(settings, Incarnation::new(1), 7);
    core.apply_config(config(1));
    let names = (0..count).map(|index| entry(&format!("i-{index}")));
    core.replace_upstreams(at(0), names.collect());
    core
}

pub(crate) fn admitted(
    core: &mut GatewayCore,
    now: Timestamp,
) -> AdmittedRequest {
    core.admit(now, "host.example", "/a/x", Some("key-a"))
        .expect("route and key are configured")
}

pub(crate) fn placement_request(
    admitted: &AdmittedRequest,
    prompt: u64,
) -> PlacementRequest<'_> {
    PlacementRequest {
        admitted,
        size: Some(prompt_size(prompt)),
        is_resumed: false,
        is_new: true,
        excluded: &[],
        tried: &[],
        waited: Duration::ZERO,
        time_left: ms(10_000),
    }
}

pub(crate) fn heartbeat(name: &str, ip: [u8; 4]) -> Heartbeat {
    Heartbeat {
        version: HEARTBEAT_VERSION,
        instance: id(name),
        incarnation: Incarnation::new(1),
        domain: id("domain-a"),
        ip: ip.into(),
        serving: true,
        alive: Vec::new(),
        loads: BTreeMap::<UpstreamId, _>::new(),
        demand: PrefillDemand::default(),
    }
}
