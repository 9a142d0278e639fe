//! Cost of control with nothing to serve, by the number of instances.
//!
//! Starts 7, 50 and 200 instances as processes in three domains, with the same
//! engines, and lets them idle. Bytes are those between instances, sent and
//! received, from the instances' own counters; bytes to the log, the list and
//! the engines are not in them. Processor time and memory are the processes'
//! in procfs. The slope is the difference from 50 to 200 instances, for each
//! further instance; the platform's two stand-ins are the same for all sizes.

use std::{io, time::Duration};

use crate::{
    caller::CallerClient,
    fleet::{BenchFleet, FleetPlan},
    options::MeasureOptions,
    probe::{CpuReading, metric, resident_mb},
    report::MeasureReport,
};

/// Numbers of instances.
const SIZES: &[usize] = &[7, 50, 200];
/// Engines, the same for each number of instances.
const ENGINES: usize = 20;
/// Time that is measured.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Time for membership and ownership to settle before that.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// What control costs one instance.
#[derive(Clone, Copy, Debug)]
struct ControlCost {
    bytes_per_s: f64,
    core_share: f64,
    resident_mb: f64,
    resident_max_mb: f64,
    ready_s: f64,
}

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("control-cost", options.seed);
    // The baselines share the product's control, so one policy shows it.
    let policy = options.policy.clone().unwrap_or_else(|| "product".into());
    let mut costs = Vec::new();
    for size in SIZES {
        let cost = measure(options, &policy, *size).await?;
        eprintln!("{size} instances: {cost:?}");
        let mut add = |name: &str, unit: &str, value: f64| {
            report.add(&policy, &format!("{name}_{size}"), unit, value);
        };
        add("bytes_per_s", "B/s", cost.bytes_per_s);
        add("core_share", "share", cost.core_share);
        add("resident_mb", "MB", cost.resident_mb);
        add("resident_max_mb", "MB", cost.resident_max_mb);
        add("ready_s", "s", cost.ready_s);
        costs.push(cost);
    }
    let (small, large) = (costs[1], costs[2]);
    let more = (SIZES[2] - SIZES[1]) as f64;
    let mut add = |name: &str, unit: &str, small: f64, large: f64| {
        report.add(&policy, name, unit, (large - small) / more);
    };
    let (from, to) = (small.bytes_per_s, large.bytes_per_s);
    add("bytes_per_s_slope", "B/s/inst", from, to);
    let (from, to) = (small.core_share, large.core_share);
    add("core_share_slope", "1/inst", from, to);
    let (from, to) = (small.resident_mb, large.resident_mb);
    add("resident_mb_slope", "MB/inst", from, to);
    Ok(report)
}

async fn measure(
    options: &MeasureOptions,
    policy: &str,
    instances: usize,
) -> io::Result<ControlCost> {
    let plan = FleetPlan {
        instances,
        engines: ENGINES,
        ..FleetPlan::new(policy)
    };
    let starting = tokio::time::Instant::now();
    let fleet = BenchFleet::start(&plan).await?;
    let ready = starting.elapsed();
    tokio::time::sleep(SETTLE_TIME).await;
    let client = CallerClient::new();
    let bytes_before = peer_bytes(&client, &fleet).await?;
    let cpu_before = CpuReading::take(&fleet.instances)?;
    let duration = options.duration(RUN_TIME);
    let started = tokio::time::Instant::now();
    tokio::time::sleep(duration).await;
    let cpu = CpuReading::take(&fleet.instances)?;
    let bytes = peer_bytes(&client, &fleet).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let memory = fleet
        .instances
        .iter()
        .map(|instance| resident_mb(instance.child.id()))
        .collect::<io::Result<Vec<f64>>>()?;
    let count = instances as f64;
    Ok(ControlCost {
        bytes_per_s: (bytes - bytes_before) / elapsed / count,
        core_share: cpu.mean_share_since(&cpu_before),
        resident_mb: memory.iter().sum::<f64>() / count,
        ready_s: ready.as_secs_f64(),
        resident_max_mb: memory.iter().copied().fold(0.0, f64::max),
    })
}

/// Bytes between instances, each end counted.
async fn peer_bytes(
    client: &CallerClient,
    fleet: &BenchFleet,
) -> io::Result<f64> {
    let mut sum = 0.0;
    for instance in &fleet.instances {
        for name in [
            "borageline_peer_bytes_sent_total",
            "borageline_peer_bytes_received_total",
        ] {
            sum += metric(client, instance.address, name).await?;
        }
    }
    Ok(sum)
}
