//! Latency that an instance adds over calling the engine directly.
//!
//! The same short request goes to the engine stand-in and through one
//! instance in turn, one at a time. The figures are differences of quantiles
//! of the time to the whole answer: what an instance adds at the median, and
//! what it adds at the 99th percentile.

use std::{
    io,
    time::{Duration, Instant},
};

use borageline_lib::{
    api::{CompletionRequest, PriorityClass, PromptInput, REQUEST_ID_HEADER},
    engine_api::EngineRequest,
};
use http::{Request, header};
use http_body_util::Full;
use uuid::Uuid;

use crate::{
    caller::{CallerClient, CallerRecord, PreparedRequest},
    fleet::{BenchFleet, FleetPlan, MODEL, workspace_key},
    load::quantile_ms,
    options::MeasureOptions,
    probe::resident_mb,
    report::MeasureReport,
    workload::prompt_text,
};

/// Tokens of the prompt.
const PROMPT_TOKENS: u64 = 1_000;
/// Tokens to generate.
const OUTPUT_TOKENS: u32 = 16;
/// Time of the run of one policy.
const RUN_TIME: Duration = Duration::from_secs(10);
/// Time that an instance is left idle before its memory is read.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Pairs sent before the first one that counts.
const WARM_UP: usize = 50;

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("overhead", options.seed);
    for policy in options.policies() {
        measure(options, &policy, &mut report).await?;
    }
    Ok(report)
}

async fn measure(
    options: &MeasureOptions,
    policy: &str,
    report: &mut MeasureReport,
) -> io::Result<()> {
    let mut plan = FleetPlan::new(policy);
    plan.domains = 1;
    plan.instances = 1;
    plan.engines = 1;
    // The engine's own time is short, so that its noise hides little.
    plan.engine_arguments
        .extend(["--time-scale".into(), "1000".into()]);
    plan.engine_arguments
        .extend(["--part-tokens".into(), "16".into()]);
    let fleet = BenchFleet::start(&plan).await?;
    tokio::time::sleep(IDLE_TIME).await;
    let idle = resident_mb(fleet.instances[0].child.id())?;
    let client = CallerClient::new();
    let mut direct = Vec::new();
    let mut through = Vec::new();
    let until = Instant::now() + options.duration(RUN_TIME);
    let mut pair = 0;
    while pair < WARM_UP || Instant::now() < until {
        // New text each time, or the engine's prefix cache would answer.
        let text = prompt_text(options.seed ^ (pair as u64), PROMPT_TOKENS);
        let request = request(text);
        // Whichever goes second finds the engine's cache filled, so the
        // first place changes hands with each pair.
        let (first, second) = if pair % 2 == 0 {
            let first = call_engine(&client, &fleet, &request).await;
            (first, call_instance(&client, &fleet, &request).await)
        } else {
            let second = call_instance(&client, &fleet, &request).await;
            (call_engine(&client, &fleet, &request).await, second)
        };
        for record in [&first, &second] {
            if !record.answered() {
                let text = format!("{policy}: {:?}", record.outcome);
                return Err(io::Error::other(text));
            }
        }
        if pair >= WARM_UP {
            direct.push(first.total);
            through.push(second.total);
        }
        pair += 1;
    }
    let added = |quantile| {
        quantile_ms(through.iter().copied(), quantile)
            - quantile_ms(direct.iter().copied(), quantile)
    };
    report.add(policy, "added_p50_ms", "ms", added(0.5));
    report.add(policy, "added_p99_ms", "ms", added(0.99));
    let direct_p50 = quantile_ms(direct.iter().copied(), 0.5);
    report.add(policy, "direct_p50_ms", "ms", direct_p50);
    report.add(policy, "pairs", "pairs", direct.len() as f64);
    report.add(policy, "idle_resident_mb", "MB", idle);
    Ok(())
}

fn request(text: std::sync::Arc<str>) -> CompletionRequest {
    CompletionRequest {
        model: MODEL.parse().expect("constant is an id"),
        prompt: PromptInput::Text(text),
        max_tokens: OUTPUT_TOKENS,
        stream: true,
        class: Some(PriorityClass::Interactive),
        timeout_ms: Some(5_000),
    }
}

async fn call_instance(
    client: &CallerClient,
    fleet: &BenchFleet,
    request: &CompletionRequest,
) -> CallerRecord {
    let prepared = PreparedRequest::new(request);
    let address = fleet.instances[0].address;
    let key = workspace_key(0);
    client
        .complete_prepared(address, &key, &prepared, None)
        .await
}

async fn call_engine(
    client: &CallerClient,
    fleet: &BenchFleet,
    request: &CompletionRequest,
) -> CallerRecord {
    let body = serde_json::to_vec(&EngineRequest {
        model: request.model.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        stream: true,
        priority: 0,
        imported: None,
    });
    let body = body.expect("a request is JSON").into();
    let prepared = PreparedRequest::with_body(request, body);
    let address = fleet.engines[0].address;
    let http_request =
        Request::post(format!("http://{address}/v1/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, Uuid::now_v7().to_string())
            .body(Full::new(prepared.body()))
            .expect("the address is valid");
    client.complete_http(http_request, &prepared, None).await
}
