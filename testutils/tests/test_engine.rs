//! The stand-in engine: streams, capacity, cancellation and faults.

#![expect(clippy::unwrap_used, reason = "a failing helper fails its test")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::{
    api::PromptInput,
    engine_api::{
        CapabilityReport, EngineRequest, HeldReport, KvState, LoadReport,
        PrefillRequest, PrefillResponse,
    },
};
use borageline_testutils::{
    client::{self, ChunkReader, ClientError},
    content,
    engine::{self, Engine},
    engine_config::EngineConfig,
    fault::Fault,
    http_server::{Handle, Standin},
};
use http::{Method, StatusCode};

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn warm_config() -> EngineConfig {
    let engine = "engine-1".parse().unwrap();
    let mut config = EngineConfig::new(engine, "model-a".parse().unwrap());
    config.starts_cold = false;
    config.time_scale = 100.0;
    config.recovery = Duration::ZERO;
    config
}

async fn start(config: EngineConfig) -> Handle<Engine> {
    engine::spawn(local(), config).await.unwrap()
}

/// Slows the engine down so that requests are still running while the test
/// continues.
fn slow_down(engine: &Handle<Engine>, factor: f64) {
    engine.control.control(Fault::Speed { factor }).unwrap();
}

fn tokens(count: u32) -> PromptInput {
    PromptInput::Tokens((0..count).collect())
}

fn request(prompt: PromptInput, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        model: "model-a".parse().unwrap(),
        prompt,
        max_tokens,
        stream: true,
        priority: 1,
        imported: None,
    }
}

async fn send(
    address: SocketAddr,
    id: &str,
    body: &EngineRequest,
) -> Result<ChunkReader, ClientError> {
    let headers = [("x-request-id", id)];
    ChunkReader::post(address, "/v1/completions", &headers, body).await
}

/// Guards against chunks that are lost, duplicated or altered.
#[tokio::test]
async fn test_stream_content_exact() {
    let engine = start(warm_config()).await;
    let prompt = PromptInput::Text("how old is hard hat 17?".into());
    let digest = content::prompt_digest(&prompt);
    let body = request(prompt, 100);
    let mut reader = send(engine.address, "request-1", &body).await.unwrap();
    let text = reader.read_text().await.unwrap();
    assert_eq!(text, content::expected_text(digest, 100));
    assert!(reader.ended);
    let held: HeldReport =
        client::get_json(engine.address, "/v1/held").await.unwrap();
    assert!(held.requests.is_empty());
}

/// Guards against an engine that survives a request beyond its memory. It
/// has to crash and lose the state of its other requests.
#[tokio::test]
async fn test_overcommit_falls_over() {
    let engine = start(warm_config()).await;
    let address = engine.address;
    slow_down(&engine, 0.01);
    let before: CapabilityReport =
        client::get_json(address, "/v1/capabilities").await.unwrap();
    let body = request(tokens(300_000), 1_000);
    let mut first = send(address, "first", &body).await.unwrap();
    let second = send(address, "second", &body).await;
    assert!(matches!(second, Err(ClientError::Transport(_))));
    assert!(matches!(
        first.read_text().await,
        Err(ClientError::Transport(_))
    ));
    let after: CapabilityReport =
        client::get_json(address, "/v1/capabilities").await.unwrap();
    assert!(after.incarnation > before.incarnation);
    let counters = engine.control.with_sim(|sim| sim.counters);
    assert_eq!(counters.falls, 1);
    assert_eq!(counters.tokens_lost, 301_000);
}

/// Guards against an engine with `gentle` that loses state when it rejects a
/// request beyond its memory.
#[tokio::test]
async fn test_overcommit_gentle_refuses() {
    let mut config = warm_config();
    config.gentle = true;
    let engine = start(config).await;
    slow_down(&engine, 0.01);
    let body = request(tokens(300_000), 100);
    let mut first = send(engine.address, "first", &body).await.unwrap();
    let second = send(engine.address, "second", &body).await.unwrap();
    assert_eq!(second.status, StatusCode::CONFLICT);
    slow_down(&engine, 1.0);
    let text = first.read_text().await.unwrap();
    let digest = content::prompt_digest(&tokens(300_000));
    assert_eq!(text, content::expected_text(digest, 100));
}

/// Guards against a cold engine that has the capacity of a warm one.
#[tokio::test]
async fn test_cold_engine_falls_over() {
    let mut config = warm_config();
    config.starts_cold = true;
    config.warm_up_s = 1_000.0;
    let engine = start(config).await;
    let body = request(tokens(10_000), 10_000);
    let mut readers = Vec::new();
    for id in ["first", "second"] {
        readers.push(send(engine.address, id, &body).await.unwrap());
    }
    assert!(send(engine.address, "third", &body).await.is_err());
    let falls = engine.control.with_sim(|sim| sim.counters.falls);
    assert_eq!(falls, 1);
}

/// Guards against cancelled requests whose memory stays reserved.
#[tokio::test]
async fn test_cancel_frees_memory() {
    let engine = start(warm_config()).await;
    let address = engine.address;
    let body = request(tokens(200_000), 10_000);
    let mut reader = send(address, "request-1", &body).await.unwrap();
    let path = "/v1/requests/request-1";
    let response = client::call(address, Method::DELETE, path, &[], "").await;
    assert_eq!(response.unwrap().status, StatusCode::OK);
    assert!(reader.read_text().await.is_err());
    assert_eq!(engine.control.with_sim(|sim| sim.held()), 0);
}

/// Guards against a truncated stream that cannot be resumed at the token
/// index where it was truncated.
#[tokio::test]
async fn test_resume_after_truncation() {
    let engine = start(warm_config()).await;
    let fault = Fault::TruncateStreams {
        after_parts: 2,
        count: 1,
    };
    engine.control.control(fault).unwrap();
    let body = request(tokens(100), 500);
    let address = engine.address;
    let mut reader = send(address, "request-1", &body).await.unwrap();
    let mut text = String::new();
    while let Ok(Some(part)) = reader.next_chunk().await {
        text.push_str(&part.choices[0].text);
    }
    assert!(!reader.ended);
    let resumed = ChunkReader::resume(address, "request-1", reader.next).await;
    text.push_str(&resumed.unwrap().read_text().await.unwrap());
    let digest = content::prompt_digest(&tokens(100));
    assert_eq!(text, content::expected_text(digest, 500));
}

/// Guards against a truncated stream that loses the parts before the cut,
/// because the engine had generated all of them when it sent the first one.
#[tokio::test]
async fn test_truncation_after_generation_keeps_parts() {
    let engine = start(warm_config()).await;
    let address = engine.address;
    let body = request(tokens(100), 500);
    drop(send(address, "request-1", &body).await.unwrap());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let fault = Fault::TruncateStreams {
        after_parts: 2,
        count: 1,
    };
    engine.control.control(fault).unwrap();
    let reader = ChunkReader::resume(address, "request-1", 0).await;
    let mut reader = reader.unwrap();
    let mut parts = 0;
    while let Ok(Some(_)) = reader.next_chunk().await {
        parts += 1;
    }
    assert_eq!(parts, 2);
    assert!(!reader.ended);
}

async fn read_with_fault(fault: Fault) -> Result<String, ClientError> {
    let engine = start(warm_config()).await;
    engine.control.control(fault).unwrap();
    let body = request(tokens(10), 50);
    let mut reader = send(engine.address, "request-1", &body).await?;
    reader.read_text().await
}

/// Guards against an injected foreign chunk that the validating reader does
/// not detect.
#[tokio::test]
async fn test_foreign_part_noticed() {
    let text = read_with_fault(Fault::ForeignId { count: 1 }).await;
    assert!(matches!(text, Err(ClientError::ForeignId(_))));
}

/// Guards against an injected duplicate chunk that the validating reader
/// does not detect.
#[tokio::test]
async fn test_duplicate_part_noticed() {
    let text = read_with_fault(Fault::DuplicateParts { count: 1 }).await;
    assert!(matches!(text, Err(ClientError::Index { .. })));
}

/// Guards against a completion from segments on two engines that differs
/// from that of the whole prompt on one engine.
#[tokio::test]
async fn test_segments_answer_as_whole() {
    let first = start(warm_config()).await;
    let second = start(warm_config()).await;
    let ids: Vec<u32> = (0..600_000).collect();
    let prefill = PrefillRequest {
        model: "model-a".parse().unwrap(),
        prompt: PromptInput::Tokens(ids[..350_000].into()),
        priority: 1,
        imported: None,
    };
    let headers = [("x-request-id", "audit-1")];
    let path = "/v1/kv/prefill";
    let response = client::post_json(first.address, path, &headers, &prefill);
    let state: KvState = response
        .await
        .unwrap()
        .json::<PrefillResponse>()
        .unwrap()
        .state;
    assert_eq!(state.tokens.get(), 350_000);
    let mut body = request(PromptInput::Tokens(ids[350_000..].into()), 40);
    body.imported = Some(state);
    let mut reader = send(second.address, "audit-1", &body).await.unwrap();
    let text = reader.read_text().await.unwrap();
    let whole = content::prompt_digest(&PromptInput::Tokens(ids.into()));
    assert_eq!(text, content::expected_text(whole, 40));
    // The memory of the segment stays reserved until it is released.
    assert_eq!(first.control.with_sim(|sim| sim.held()), 350_000);
    let path = "/v1/requests/audit-1";
    let released = client::call(first.address, Method::DELETE, path, &[], "");
    assert_eq!(released.await.unwrap().status, StatusCode::OK);
    assert_eq!(first.control.with_sim(|sim| sim.held()), 0);
}

/// Guards against prefill that does not slow down concurrent decode. Tests
/// could then not measure the interference that borageline has to limit.
#[tokio::test]
async fn test_prefill_slows_decode() {
    let mut config = warm_config();
    config.load_lag = Duration::ZERO;
    let engine = start(config).await;
    let address = engine.address;
    let alone: LoadReport =
        client::get_json(address, "/v1/load").await.unwrap();
    let body = request(tokens(390_000), 10);
    let long = send(address, "long", &body).await.unwrap();
    let busy: LoadReport = client::get_json(address, "/v1/load").await.unwrap();
    assert!(busy.prefill_backlog.get() > 0);
    assert!(busy.decode_rate.get() * 2 < alone.decode_rate.get());
    let short = request(tokens(10), 100);
    let sent = Instant::now();
    let mut reader = send(address, "short", &short).await.unwrap();
    reader.read_text().await.unwrap();
    // Decoding 100 tokens takes 20 ms alone and 122 ms with concurrent
    // prefill.
    assert!(sent.elapsed() > Duration::from_millis(60));
    drop(long);
}

/// Guards against requests that keep running or keep memory reserved after
/// their deadline.
#[tokio::test]
async fn test_deadline_frees_request() {
    let engine = start(warm_config()).await;
    let headers = [("x-request-id", "late"), ("x-deadline-ms", "50")];
    let body = request(tokens(100), 100_000);
    let path = "/v1/completions";
    let reader = ChunkReader::post(engine.address, path, &headers, &body);
    let text = reader.await.unwrap().read_text().await;
    assert!(matches!(text, Err(ClientError::ErrorEvent(_))));
    assert_eq!(engine.control.with_sim(|sim| sim.held()), 0);
}

/// Guards against a request that stops when its reader disconnects, and one
/// that is kept without limit after it has finished.
#[tokio::test]
async fn test_detached_goes_on_until_ttl() {
    let mut config = warm_config();
    config.detached_ttl = Duration::from_millis(300);
    let engine = start(config).await;
    let body = request(tokens(100), 1_000);
    let mut reader = send(engine.address, "request-1", &body).await.unwrap();
    reader.next_chunk().await.unwrap();
    drop(reader);
    let path = "/v1/held";
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let held: HeldReport =
            client::get_json(engine.address, path).await.unwrap();
        if held.requests.is_empty() {
            break;
        }
        assert!(Instant::now() < until, "{held:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let counters = engine.control.with_sim(|sim| sim.counters);
    assert_eq!((counters.finished, counters.abandoned), (1, 1));
    assert_eq!(counters.generated_tokens, 1_000);
}

/// Guards against an engine that answers calls or generates tokens while
/// frozen, or that does not continue after the fault ends.
#[tokio::test]
async fn test_freeze_and_thaw() {
    let engine = start(warm_config()).await;
    let body = request(tokens(100), 2_000);
    let mut reader = send(engine.address, "request-1", &body).await.unwrap();
    reader.next_chunk().await.unwrap();
    engine.control.control(Fault::Freeze).unwrap();
    let wait = Duration::from_millis(50);
    // Lets a step that began before the freeze complete.
    tokio::time::sleep(wait).await;
    let before = engine.control.with_sim(|sim| sim.counters);
    let load = client::get(engine.address, "/v1/load");
    assert!(tokio::time::timeout(wait, load).await.is_err());
    let after = engine.control.with_sim(|sim| sim.counters);
    assert_eq!(before, after);
    engine.control.control(Fault::Clear).unwrap();
    reader.read_text().await.unwrap();
    assert_eq!(reader.next, 2_000);
}

/// Guards against a high-priority request that is queued behind the prefill
/// of a low-priority one.
#[tokio::test]
async fn test_priority_overtakes_prefill() {
    let engine = start(warm_config()).await;
    let low = request(tokens(390_000), 10);
    let mut low = send(engine.address, "low", &low).await.unwrap();
    let mut high = request(tokens(2_000), 1);
    high.priority = 9;
    let mut high = send(engine.address, "high", &high).await.unwrap();
    high.read_text().await.unwrap();
    let counters = engine.control.with_sim(|sim| sim.counters);
    assert_eq!(counters.finished, 1);
    assert!(counters.prefilled_tokens < 390_000);
    low.read_text().await.unwrap();
}

/// Guards against load reports without the configured lag. Tests would then
/// not cover owners that receive stale reports.
#[tokio::test]
async fn test_load_report_lags() {
    let mut config = warm_config();
    config.load_lag = Duration::from_secs(1);
    let engine = start(config).await;
    slow_down(&engine, 0.01);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let body = request(tokens(1_000), 1_000);
    let _reader = send(engine.address, "request-1", &body).await.unwrap();
    let path = "/v1/load";
    let early: LoadReport =
        client::get_json(engine.address, path).await.unwrap();
    assert_eq!(early.held.get(), 0);
    assert!(early.age_ms >= 1_000);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let late: LoadReport =
        client::get_json(engine.address, path).await.unwrap();
    assert_eq!(late.held.get(), 2_000);
}
