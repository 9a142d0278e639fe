//! Orders to the stand-in engine, loading of models, and the prefix cache.

#![expect(clippy::unwrap_used, reason = "a failing helper fails its test")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::{
    api::PromptInput,
    engine_api::{
        CacheEventPage, CapabilityReport, EngineAction, EngineOrder,
        EngineRequest,
    },
    units::LogOffset,
};
use borageline_testutils::{
    client::{self, ChunkReader},
    content, engine,
    engine_config::EngineConfig,
    http_server::Standin,
    weight_store::{self, WeightConfig},
};
use http::StatusCode;

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn config() -> EngineConfig {
    let engine = "engine-1".parse().unwrap();
    let mut config = EngineConfig::new(engine, "model-a".parse().unwrap());
    config.starts_cold = false;
    config.time_scale = 100.0;
    config
}

async fn order(address: SocketAddr, token: u64, model: &str) -> StatusCode {
    let model = model.parse().unwrap();
    let order = EngineOrder {
        holder: "entry-1".parse().unwrap(),
        fencing_token: LogOffset::new(token),
        action: EngineAction::LoadModel { model },
    };
    let response = client::post_json(address, "/v1/orders", &[], &order).await;
    response.unwrap().status
}

/// Guards against an engine that accepts a stale fencing token although it
/// checks them, and one that rejects it although it ignores them.
#[tokio::test]
async fn test_orders_fencing() {
    let checks = engine::spawn(local(), config()).await.unwrap();
    assert_eq!(order(checks.address, 7, "model-b").await, StatusCode::OK);
    let stale = order(checks.address, 6, "model-c").await;
    assert_eq!(stale, StatusCode::CONFLICT);
    let mut ignoring = config();
    ignoring.checks_fencing = false;
    let ignores = engine::spawn(local(), ignoring).await.unwrap();
    assert_eq!(order(ignores.address, 7, "model-b").await, StatusCode::OK);
    assert_eq!(order(ignores.address, 6, "model-c").await, StatusCode::OK);
    let report = ignores.control.report();
    assert_eq!(report["stale_orders_accepted"], 1);
}

/// Guards against a model that is reported as loaded before its weights are
/// read from the weight store.
#[tokio::test]
async fn test_load_reads_weight_store() {
    let weights = WeightConfig {
        bytes_per_s: 1_000_000,
        model_bytes: 300_000,
    };
    let store = weight_store::spawn(local(), weights).await.unwrap();
    let mut config = config();
    config.weight_store = Some(store.address);
    let engine = engine::spawn(local(), config).await.unwrap();
    assert_eq!(order(engine.address, 1, "model-b").await, StatusCode::OK);
    let path = "/v1/capabilities";
    let model = "model-b".parse().unwrap();
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let report: CapabilityReport =
            client::get_json(engine.address, path).await.unwrap();
        let finished = &store.control.report()["finished"]["model-b"];
        if report.models.contains(&model) {
            assert_eq!(*finished, 1);
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("model-b was not loaded");
}

/// Guards against a cached prefix that is prefilled again, and against cache
/// events that are visible before their delay or of which none are lost.
#[tokio::test]
async fn test_prefix_cache_hit_and_events() {
    let mut config = config();
    config.cache.event_delay = Duration::from_secs(1);
    config.cache.lose_every = 2;
    let engine = engine::spawn(local(), config).await.unwrap();
    let address = engine.address;
    let prompt = PromptInput::Tokens((0..4_100).collect());
    let body = EngineRequest {
        model: "model-a".parse().unwrap(),
        prompt: prompt.clone(),
        max_tokens: 20,
        stream: true,
        priority: 1,
        imported: None,
    };
    let expected = content::expected_text(content::prompt_digest(&prompt), 20);
    for id in ["first", "second"] {
        let headers = [("x-request-id", id)];
        let path = "/v1/completions";
        let reader = ChunkReader::post(address, path, &headers, &body).await;
        assert_eq!(reader.unwrap().read_text().await.unwrap(), expected);
    }
    let counters = engine.control.with_sim(|sim| sim.counters);
    assert_eq!(counters.cached_tokens, 4_096);
    assert_eq!(counters.prefilled_tokens, 4_104);
    let path = "/v1/cache_events?from=0";
    let early: CacheEventPage = client::get_json(address, path).await.unwrap();
    assert!(early.events.is_empty());
    tokio::time::sleep(Duration::from_millis(1_050)).await;
    let late: CacheEventPage = client::get_json(address, path).await.unwrap();
    let numbers: Vec<u64> = late.events.iter().map(|e| e.number).collect();
    assert_eq!(numbers, [0, 2]);
    assert_eq!(late.events[1].tokens.get(), 3_072);
}
