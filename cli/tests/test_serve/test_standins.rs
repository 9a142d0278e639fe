//! An instance with its real core, and stand-ins for the engine, the plain
//! service, the log service and the instance list.

use std::{net::SocketAddr, time::Duration};

use borageline::{commands::serve::RunningInstance, credentials::key_digest};
use borageline_lib::{
    api::PromptInput,
    core::{InstanceReadiness, PolicyName},
    ids::StreamName,
    platform_api::{ListedProcess, ProcessKind},
    settings::{InstanceLimits, InstanceSettings},
};
use borageline_testutils::{
    content, engine,
    engine_config::EngineConfig,
    fault::Fault,
    http_server::{Handle, Standin},
    instance_list, log_service,
    loopback::new_address,
    plain_service,
};
use serde_json::json;
use uuid::Uuid;

use crate::fixture::{KEY, TestSetup, completion, exchange, metric};

/// An instance and its stand-ins, which run until this is dropped.
pub(crate) struct TestFleet {
    pub(crate) instance: RunningInstance,
    pub(crate) address: SocketAddr,
    service: Handle<plain_service::PlainService>,
    pub(crate) engine: Handle<engine::Engine>,
    pub(crate) log: Handle<log_service::LogService>,
    pub(crate) list: Handle<instance_list::InstanceList>,
}

async fn start_engine(name: &str) -> Handle<engine::Engine> {
    let name = name.parse().unwrap();
    let mut config = EngineConfig::new(name, "m".parse().unwrap());
    config.starts_cold = false;
    config.time_scale = 20.0;
    engine::spawn(new_address(), config).await.unwrap()
}

fn listed(id: &str, kind: ProcessKind, address: SocketAddr) -> ListedProcess {
    ListedProcess {
        id: id.into(),
        kind,
        address,
        failure_domain: "d".parse().unwrap(),
        leaving: false,
    }
}

/// An order that creates a workspace, a service and an operator.
fn first_order(id: &str) -> serde_json::Value {
    let digest = key_digest(KEY.as_bytes());
    json!({
        "record": "order",
        "order": id,
        "expect_version": null,
        "issued_by": "root",
        "changes": [
            {"kind": "set_workspace", "workspace": "w", "rule": {
                "key_digests": [digest], "enabled": true,
                "default_class": "interactive", "classes": ["interactive"],
                "models": null, "domains": null, "limits": []}},
            {"kind": "set_service", "service": "s", "rule": {
                "timeout_ms": 5000, "routes": [{"method": "GET",
                "path_prefix": "/", "idempotent": true}]}},
            {"kind": "set_operator", "operator": "root", "rule": {
                "key_digest": digest, "role": "admin"}},
        ],
    })
}

/// Starts an instance and waits until it is ready and has listed a model and a
/// service.
pub(crate) async fn start_instance(
    name: &str,
    seed: Option<SocketAddr>,
    log_service: SocketAddr,
    instance_list: SocketAddr,
) -> RunningInstance {
    let settings = InstanceSettings {
        instance: name.parse().unwrap(),
        failure_domain: "d".parse().unwrap(),
        caller_address: new_address(),
        peer_address: new_address(),
        seeds: seed.into_iter().collect(),
        fleet_secret: "secret".into(),
        log_service,
        instance_list,
        weight_store: None,
        limits: InstanceLimits {
            address_ttl: Duration::from_secs(3),
            ..InstanceLimits::default()
        },
        policy: PolicyName::Product,
    };
    let instance = RunningInstance::start(settings).await.unwrap();
    let mut published = instance.handle().watch_published();
    let ready = published.wait_for(|published| {
        published.readiness == InstanceReadiness::Ready
            && !published.models.is_empty()
            && !published.services.is_empty()
    });
    let ready = tokio::time::timeout(Duration::from_secs(20), ready).await;
    ready.expect("instance is ready within 20 s").unwrap();
    instance
}

pub(crate) async fn start_fleet() -> TestFleet {
    let log_config = log_service::LogConfig::default();
    let log = log_service::spawn(new_address(), log_config).await.unwrap();
    let config: StreamName = "config".parse().unwrap();
    // The version of a configuration is the offset of its last order, and
    // version zero means an empty configuration. So the order that later ones
    // expect must not be at offset zero.
    let orders = vec![first_order("first"), first_order("second")];
    log.control.append(&config, orders);
    let engine = start_engine("e1").await;
    let service = plain_service::spawn(new_address(), Duration::ZERO);
    let service = service.await.unwrap();
    let list = instance_list::ListConfig {
        lag: Duration::ZERO,
        ..instance_list::ListConfig::default()
    };
    let list = instance_list::spawn(new_address(), list).await.unwrap();
    list.control
        .add(listed("e1", ProcessKind::Engine, engine.address));
    let kind = ProcessKind::Service("s".parse().unwrap());
    list.control.add(listed("s1", kind, service.address));
    let (log_address, list_address) = (log.address, list.address);
    let instance = start_instance("i1", None, log_address, list_address).await;
    let address = instance.context().settings.caller_address;
    TestFleet {
        instance,
        address,
        service,
        engine,
        log,
        list,
    }
}

/// Repeats a call for at most two seconds while its response has an error code.
async fn exchange_unless(
    address: SocketAddr,
    call: &str,
    code: &str,
) -> String {
    let mut answer = exchange(address, call).await;
    for _ in 0..100 {
        if !answer.contains(code) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        answer = exchange(address, call).await;
    }
    answer
}

/// Guards against interfaces of log, instance list, core, engine client and
/// listener that do not match.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_completion() {
    let fleet = start_fleet().await;
    let body = r#"{"model":"m","prompt":[1,2,3],"max_tokens":20}"#;
    let answer = exchange(fleet.address, &completion(KEY, body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let prompt = PromptInput::Tokens([1, 2, 3].into());
    let digest = content::prompt_digest(&prompt);
    let text = content::expected_text(digest, 20);
    assert!(answer.contains(&text), "{answer}");
    drop(fleet.instance);
}

/// Guards against a wrong completion after the engine truncated its stream,
/// repeated a chunk, or sent a chunk with another request's id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_faulty_stream() {
    let fleet = start_fleet().await;
    let faults = [
        Fault::TruncateStreams {
            after_parts: 2,
            count: 1,
        },
        Fault::ForeignId { count: 2 },
        Fault::DuplicateParts { count: 2 },
    ];
    for fault in faults {
        fleet.engine.control.control(fault).unwrap();
    }
    let body = r#"{"model":"m","prompt":[1,2,3],"max_tokens":100}"#;
    let answer = exchange(fleet.address, &completion(KEY, body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let prompt = PromptInput::Tokens([1, 2, 3].into());
    let digest = content::prompt_digest(&prompt);
    let text = content::expected_text(digest, 100);
    assert!(answer.contains(&text), "{answer}");
}

/// Guards against a planned stop that refuses callers that still use the
/// address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_stop() {
    let fleet = start_fleet().await;
    let address = fleet.address;
    let seed = fleet.instance.context().settings.peer_address;
    let (log, list) = (fleet.log.address, fleet.list.address);
    let other = start_instance("i2", Some(seed), log, list).await;
    // The instances must have joined each other before one of them leaves;
    // otherwise the engine would have no owner.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let stop = tokio::spawn(fleet.instance.stop());
    // A completion during the change of the engine's owner can take seconds,
    // but must still succeed. None is started after the listener has closed.
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_secs(1) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let body = r#"{"model":"m","prompt":[1,2,3],"max_tokens":2}"#;
        let answer = exchange(address, &completion(KEY, body)).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    stop.await.unwrap();
    drop(other);
}

/// Guards against a call that runs a second time when its caller repeats it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_single_call() {
    let fleet = start_fleet().await;
    let key = Uuid::now_v7();
    let call = format!(
        "POST /v1/services/s/issue HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\nidempotency-key: {key}\r\n\
         content-length: 2\r\n\r\nhi",
    );
    // An instance is ready before it has read the call streams.
    let answer = exchange_unless(fleet.address, &call, "not_ready").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("\"number\":1"), "{answer}");
    // The outcome is appended to the log after the response. Until it is read
    // back, a repeated call is refused because the first is in progress.
    let in_progress = "key_in_progress";
    let answer = exchange_unless(fleet.address, &call, in_progress).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("\"number\":1"), "{answer}");
    assert_eq!(fleet.service.control.counts().issued, 1);
    let conflict = call.replace("\r\n\r\nhi", "\r\n\r\nho");
    let answer = exchange(fleet.address, &conflict).await;
    assert!(answer.starts_with("HTTP/1.1 409"), "{answer}");
    assert!(answer.contains("key_conflict"), "{answer}");
}

/// Guards against an accepted order that is not in the log, and against an
/// order that is applied to a version other than the expected one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_order() {
    let fleet = start_fleet().await;
    let post = |body: &str| {
        format!(
            "POST /v1/order HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len(),
        )
    };
    let body = r#"{"order":"o1","expect_version":1,"changes":[
        {"kind":"close_domain","domain":"d","mode":"finish"}]}"#;
    let answer = exchange(fleet.address, &post(body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("\"accepted\":true"), "{answer}");
    let body = body.replace("o1", "o2");
    let answer = exchange(fleet.address, &post(&body)).await;
    assert!(answer.starts_with("HTTP/1.1 409"), "{answer}");
    assert!(answer.contains("order_rejected"), "{answer}");
    let outcome_request = |id: &str| {
        format!(
            "GET /v1/orders/{id} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {KEY}\r\n\r\n",
        )
    };
    let answer = exchange(fleet.address, &outcome_request("o1")).await;
    assert!(answer.contains("\"accepted\":true"), "{answer}");
    // Outcomes are stored for a limited number of orders, so an unknown order
    // may have run.
    let answer = exchange(fleet.address, &outcome_request("nope")).await;
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    assert!(
        answer.contains("\"run_state\":\"may_have_run\""),
        "{answer}"
    );
    let body = r#"{"model":"m","prompt":[1],"max_tokens":1,"timeout_ms":2000}"#;
    let answer = exchange(fleet.address, &completion(KEY, body)).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// Guards against prompt segments that are sent in a wrong order or without the
/// KV state of the segments before them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_segments() {
    let (first, second) = (start_engine("e1").await, start_engine("e2").await);
    let mut setup = TestSetup::new(first.address);
    setup.engines = vec![first.address, second.address];
    let server = setup.start().await;
    let body = r#"{"model":"m","prompt":[1,2,3],"max_tokens":9}"#;
    let answer = exchange(server.address, &completion(KEY, body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let prompt = PromptInput::Tokens([1, 2, 3].into());
    let digest = content::prompt_digest(&prompt);
    let text = content::expected_text(digest, 9);
    assert!(answer.contains(&text), "{answer}");
    assert_eq!(metric(&server, "borageline_truncated_answers_total"), 0.0);
}

/// Guards against an accepted change of an engine's models that is never
/// applied, and against a model that is loaded but not served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_standins_model_order() {
    let fleet = start_fleet().await;
    let body = r#"{"order":"o1","expect_version":null,"changes":[
        {"kind":"set_upstream","upstream":"e1","rule":{"drained":null,
        "checks_fencing":null,"models":["m","n"],"role":"both"}}]}"#;
    let call = format!(
        "POST /v1/order HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let answer = exchange(fleet.address, &call).await;
    assert!(answer.contains("\"accepted\":true"), "{answer}");
    let mut published = fleet.instance.handle().watch_published();
    let model = "n".parse().unwrap();
    let loaded =
        published.wait_for(|published| published.models.contains(&model));
    let loaded = tokio::time::timeout(Duration::from_secs(20), loaded).await;
    loaded.expect("model is loaded within 20 s").unwrap();
    let body = r#"{"model":"n","prompt":[1,2,3],"max_tokens":20}"#;
    let answer = exchange(fleet.address, &completion(KEY, body)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let report = fleet.engine.control.report();
    assert_eq!(report["role"], "serve", "no other engine serves the models");
}
