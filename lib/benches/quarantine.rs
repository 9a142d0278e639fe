//! Time of the decisions on a prompt of 700,000 tokens for different numbers of
//! shared parts: the check for harmful parts, its placement, and the record of
//! an answer that went on.

use std::{sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        cost_model::EngineProfile,
        crash_evidence::SuspectPrompt,
        gateway_core::{AdmittedRequest, GatewayCore, PlacementRequest},
        gateway_settings::GatewaySettings,
        placement::PromptSize,
        routing_config::{
            AnswerForm, ConfigVersion, RetrySafety, RouteSpec, RoutingConfig,
            ServiceShare, ServiceSpec, WorkspaceSpec,
        },
        upstream_table::{UpstreamEntry, UpstreamProcess, UpstreamState},
        wire::PartId,
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

const TOKENS: TokenCount = TokenCount::new(700_000);
const ENGINES: usize = 18;
/// Crashes in the evidence, and requests that each engine had not answered.
const CRASHES: u64 = 4;
const UNANSWERED: u64 = 8;

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
            cold_requests_per_s: 26.0,
            engine: Some(engine),
            status_path: "/status".parse().ok(),
            scaling: None,
        })
        .with_route(route)
        .with_workspace(workspace, [Arc::from("key-a")])
}

fn core() -> GatewayCore {
    let settings = GatewaySettings::parse(SETTINGS);
    let settings = Arc::new(settings.expect("settings are valid"));
    let mut core = GatewayCore::new(settings, Incarnation::new(1), 7);
    core.apply_config(config());
    core.replace_upstreams(at(0), (0..ENGINES).map(entry).collect());
    core
}

/// Shared parts of a prompt and the ids of the request.
fn contents(shared: u64, attempt: u64) -> Vec<PartId> {
    let parts = (0..shared).map(|part| id(&format!("{part:08x}")));
    let ids = ["a", "b"].map(|it| id(&format!("request:{attempt:031x}{it}")));
    parts.chain(ids).collect()
}

/// A core that knows of crashes, with some parts of the prompts in quarantine.
fn core_after_crashes(shared: u64) -> GatewayCore {
    let mut core = core();
    for crash in 0..CRASHES {
        let now = at(200 * crash);
        let process = UpstreamProcess {
            upstream: id(&format!("i-crashed{crash}")),
            incarnation: Incarnation::new(1),
        };
        let prompts = (0..UNANSWERED).map(|number| {
            let attempt = 1_000 * crash + number;
            let mut parts = contents(shared, attempt);
            parts.insert(0, id("harmful"));
            SuspectPrompt { attempt, parts }
        });
        core.record_crash(now, process, now, prompts.collect());
    }
    let sound = contents(shared, 1);
    core.record_sound_prompt(at(900), &sound, at(400));
    core
}

fn admitted(core: &mut GatewayCore, now: Timestamp) -> AdmittedRequest {
    core.admit(now, "host.example", "/a/x", Some("key-a"))
        .expect("route and key are configured")
}

/// Check and placement of one prompt.
fn decide(
    core: &mut GatewayCore,
    admitted: &AdmittedRequest,
    parts: &[PartId],
) {
    let now = at(2_000);
    core.check_prompt(now, parts).expect("the prompt is sound");
    let request = PlacementRequest {
        admitted,
        size: Some(PromptSize {
            prompt: TOKENS,
            output_max: TokenCount::new(1_700),
        }),
        is_resumed: false,
        is_new: false,
        excluded: &[],
        tried: &[],
        waited: Duration::ZERO,
        time_left: Duration::from_secs(60),
    };
    if let Ok(started) = core.place(now, &request) {
        core.finish(started.in_flight_id);
    }
}

/// Check and placement while no crash is known.
#[divan::bench(args = [20, 1_500], sample_count = 500)]
fn check_and_place(bencher: divan::Bencher, shared: u64) {
    let mut core = core();
    let admitted = admitted(&mut core, at(2_000));
    let parts = contents(shared, 1);
    bencher.bench_local(|| decide(&mut core, &admitted, &parts));
}

/// Check and placement while crashes with such prompts are known.
#[divan::bench(args = [20, 1_500], sample_count = 500)]
fn check_and_place_after_crashes(bencher: divan::Bencher, shared: u64) {
    let mut core = core_after_crashes(shared);
    let admitted = admitted(&mut core, at(2_000));
    let parts = contents(shared, 1);
    bencher.bench_local(|| decide(&mut core, &admitted, &parts));
}

/// Record of a sound answer while crashes with such prompts are known.
#[divan::bench(args = [20, 1_500], sample_count = 100)]
fn record_sound_after_crashes(bencher: divan::Bencher, shared: u64) {
    let mut core = core_after_crashes(shared);
    let parts = contents(shared, 1);
    let mut now = 3_000;
    bencher.bench_local(|| {
        now += 1;
        core.record_sound_prompt(at(now), &parts, at(now));
    });
}

/// Record of a crash that broke off such prompts, and its evaluation.
#[divan::bench(args = [20, 1_500], sample_count = 20)]
fn record_crash(bencher: divan::Bencher, shared: u64) {
    let parts = contents(shared, 1);
    bencher
        .with_inputs(|| core_after_crashes(shared))
        .bench_local_values(|mut core| {
            let process = UpstreamProcess {
                upstream: id("i-crashed"),
                incarnation: Incarnation::new(1),
            };
            let prompts = (0..UNANSWERED).map(|number| SuspectPrompt {
                attempt: number,
                parts: parts.clone(),
            });
            let prompts = prompts.collect();
            core.record_crash(at(5_000), process, at(5_000), prompts);
            core.check_prompt(at(5_400), &parts).is_ok()
        });
}
