//! Processor time of an instance per request, per streamed part and per
//! megabyte of prompt, from two runs each that differ in one of them.

use std::{fs, io, sync::Arc};

use borageline_lib::api::{CompletionRequest, PriorityClass, PromptInput};

use crate::{
    caller::CallerClient,
    fleet::{BenchFleet, FleetPlan, MODEL, workspace_key},
    report::MeasureReport,
    workload::prompt_text,
};

/// Requests of each run.
const REQUESTS: u64 = 400;
/// Requests under way at once.
const CONCURRENCY: u64 = 8;
/// Kernel ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Prompt and output tokens of the run that the others differ from.
const BASE: (u64, u32) = (1_000, 32);
/// Longer output, one part for each token.
const MORE_PARTS: (u64, u32) = (1_000, 1_032);
/// Longer prompt.
const MORE_PROMPT: (u64, u32) = (101_000, 32);

/// Runs the measure.
pub async fn run(report: &mut MeasureReport) -> io::Result<()> {
    let mut plan = FleetPlan::new("product");
    plan.instances = 1;
    plan.domains = 1;
    let arguments = ["--time-scale", "200", "--part-tokens", "1"];
    plan.engine_arguments.extend(arguments.map(String::from));
    let fleet = BenchFleet::start(&plan).await?;
    // Warms up the owner's limits and the connections.
    batch(&fleet, BASE).await?;
    let base = batch(&fleet, BASE).await?;
    let parts = batch(&fleet, MORE_PARTS).await?;
    let prompt = batch(&fleet, MORE_PROMPT).await?;
    let per_request = base / REQUESTS as f64;
    let more = REQUESTS as f64 * f64::from(MORE_PARTS.1 - BASE.1);
    let per_part = (parts - base) / more;
    let bytes = REQUESTS as f64 * (MORE_PROMPT.0 - BASE.0) as f64 * 4.0;
    let per_megabyte = (prompt - base) / (bytes / 1e6);
    let mut add = |name: &str, seconds: f64| {
        report.add("product", name, "us", seconds * 1e6);
    };
    add("instance_us_per_request", per_request);
    add("instance_us_per_part", per_part);
    add("instance_us_per_prompt_megabyte", per_megabyte);
    Ok(())
}

/// Runs a batch of requests and returns the instance's processor time in
/// seconds.
async fn batch(
    fleet: &BenchFleet,
    (tokens, max_tokens): (u64, u32),
) -> io::Result<f64> {
    let instance = &fleet.instances[0];
    let before = processor_time(instance.child.id())?;
    let client = Arc::new(CallerClient::new());
    let mut tasks = Vec::new();
    for caller in 0..CONCURRENCY {
        let client = client.clone();
        let address = instance.address;
        tasks.push(tokio::spawn(async move {
            let mut answered = 0;
            for step in 0..REQUESTS / CONCURRENCY {
                let seed = caller * REQUESTS + step;
                let request = CompletionRequest {
                    model: MODEL.parse().expect("constant is an id"),
                    prompt: PromptInput::Text(prompt_text(seed, tokens)),
                    max_tokens,
                    stream: true,
                    class: Some(PriorityClass::Interactive),
                    timeout_ms: Some(30_000),
                };
                let key = workspace_key(0);
                let record =
                    client.complete(address, &key, &request, None).await;
                answered += u64::from(record.answered());
            }
            answered
        }));
    }
    let mut answered = 0;
    for task in tasks {
        answered += task.await.map_err(io::Error::other)?;
    }
    if answered < REQUESTS {
        let text = format!("{answered} of {REQUESTS} requests were answered");
        return Err(io::Error::other(text));
    }
    Ok(processor_time(instance.child.id())? - before)
}

/// Processor time of a process in seconds, user and system.
fn processor_time(process: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The command name may contain spaces; it ends with the last bracket.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_S)
}
