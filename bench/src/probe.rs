//! Readings of processes and stand-ins from outside.

use std::{
    fs, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_lib::engine_api::HeldReport;
use http::Method;
use serde_json::Value;

use crate::{caller::CallerClient, fleet::FleetProcess};

/// Clock ticks per second in procfs; fixed in the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time for a reading over HTTP.
const READ_LIMIT: Duration = Duration::from_secs(3);

/// Resident memory of a process in megabytes (10^6 bytes).
pub fn resident_mb(process: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.trim().strip_suffix("kB"))
        .and_then(|number| number.trim().parse::<f64>().ok())
        .ok_or_else(|| io::Error::other(format!("{process} has no VmRSS")))?;
    Ok(kilobytes * 1024.0 / 1e6)
}

/// Processor seconds that a process has used, in user and system mode.
pub fn cpu_seconds(process: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name in parentheses can hold spaces; the state follows it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

/// Reads JSON by GET.
pub async fn get_json(
    client: &CallerClient,
    address: SocketAddr,
    path: &str,
) -> io::Result<Value> {
    let body = get_bytes(client, address, path).await?;
    Ok(serde_json::from_slice(&body)?)
}

async fn get_bytes(
    client: &CallerClient,
    address: SocketAddr,
    path: &str,
) -> io::Result<bytes::Bytes> {
    let read =
        client.send(address, Method::GET, path, "", None, Default::default());
    let answer = tokio::time::timeout(READ_LIMIT, read).await?;
    let (status, body) = answer.map_err(io::Error::other)?;
    if status == 200 {
        return Ok(body);
    }
    Err(io::Error::other(format!(
        "{address}{path}: status {status}"
    )))
}

/// Value of a series without labels in an instance's metrics.
pub async fn metric(
    client: &CallerClient,
    address: SocketAddr,
    name: &str,
) -> io::Result<f64> {
    let body = get_bytes(client, address, "/metrics").await?;
    let text = String::from_utf8_lossy(&body);
    let value = text.lines().find_map(|line| {
        let (found, value) = line.split_once(' ')?;
        (found == name).then(|| value.parse::<f64>().ok())?
    });
    value.ok_or_else(|| io::Error::other(format!("no series {name}")))
}

/// What the engines of a fleet report of themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineTotals {
    /// Times that an engine fell over.
    pub falls: u64,
    /// Tokens held when an engine lost its state.
    pub tokens_lost: u64,
    /// Tokens held now.
    pub held: u64,
    /// Engines that do not answer.
    pub silent: u64,
}

/// Adds up the reports of all engines.
pub async fn engine_totals(
    client: &CallerClient,
    engines: &[FleetProcess],
) -> EngineTotals {
    let mut totals = EngineTotals::default();
    for engine in engines {
        let report = get_json(client, engine.address, "/control").await;
        let Ok(report) = report else {
            totals.silent += 1;
            continue;
        };
        let counters = &report["counters"];
        totals.falls += counters["falls"].as_u64().unwrap_or(0);
        totals.tokens_lost += counters["tokens_lost"].as_u64().unwrap_or(0);
        let held = get_json(client, engine.address, "/v1/held").await;
        let held = held
            .and_then(|value| Ok(serde_json::from_value::<HeldReport>(value)?));
        match held {
            Ok(held) => {
                let tokens = held.requests.iter().map(|held| held.tokens.get());
                totals.held += tokens.sum::<u64>();
            }
            Err(_) => totals.silent += 1,
        }
    }
    totals
}

/// Use of processor time by some processes between two readings.
#[derive(Clone, Debug)]
pub struct CpuReading {
    at: Instant,
    seconds: Vec<f64>,
}

impl CpuReading {
    /// Reads the processes' times.
    pub fn take(processes: &[FleetProcess]) -> io::Result<Self> {
        let at = Instant::now();
        let seconds = processes
            .iter()
            .map(|process| cpu_seconds(process.child.id()))
            .collect::<io::Result<_>>()?;
        Ok(Self { at, seconds })
    }

    /// Mean share of one core that a process used since an earlier reading.
    pub fn mean_share_since(&self, earlier: &Self) -> f64 {
        let wall = self.at.duration_since(earlier.at).as_secs_f64();
        let now: f64 = self.seconds.iter().sum();
        let before: f64 = earlier.seconds.iter().sum();
        let count = self.seconds.len().max(1) as f64;
        (now - before) / wall.max(1e-9) / count
    }
}
