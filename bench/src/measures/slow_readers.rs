//! Memory held for slow readers, and what they cost fast callers.
//!
//! Callers with small receive buffers ask for long answers; half of them read
//! a little every few hundred milliseconds and half do not read at all. Fast
//! callers run the same rate of short requests without and with them. Slow
//! readers also hold places on the engines, so the share of fast requests that
//! were answered stands beside their time. The
//! instances' cap is set below its default, because the engine stand-ins
//! cannot produce text fast enough to fill the default within a run.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use borageline_lib::api::{CompletionRequest, PriorityClass, PromptInput};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    caller::PreparedRequest,
    fleet::{MODEL, workspace_key},
    load::{EndKind, quantile_ms},
    measures::first_token::{LoadedFleet, RunResult},
    options::MeasureOptions,
    probe::{metric, resident_mb},
    report::MeasureReport,
    workload::{PlannedRequest, SHORT_TOKENS, WorkloadSpec, prompt_text},
};

/// Slow readers.
const READERS: usize = 2_000;
/// Slow readers that start in one second.
const START_RATE: f64 = 200.0;
/// Tokens that each slow reader asks for.
const READER_TOKENS: u32 = 4_000;
/// Tokens of a slow reader's prompt.
const READER_PROMPT: u64 = 50;
/// Time that a slow reader gives its request.
const READER_TIMEOUT: Duration = Duration::from_secs(120);
/// Receive buffer of a slow reader; the kernel doubles it.
const READER_BUFFER: u32 = 4 << 10;
/// Bytes that a slow reader takes at once.
const READ_SIZE: usize = 256;
/// Time between two reads.
const READ_WAIT: Duration = Duration::from_millis(300);
/// Time between two tries of a slow reader that was refused.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// Cap on buffered bytes of each instance; a quarter of the default.
const CAP: u64 = 16 << 20;
/// Time between two readings of memory.
const SAMPLE_WAIT: Duration = Duration::from_millis(500);
/// Rate of fast requests.
const FAST_RATE: f64 = 60.0;
/// Time of each run of fast requests.
const RUN_TIME: Duration = Duration::from_secs(12);
/// Time of the warm-up, and its rate. The product admits twice as many at once
/// to an engine only after as many good ends; 2,000 readers need seven steps.
const WARM_UP_TIME: Duration = Duration::from_secs(18);
const WARM_UP_RATE: f64 = 200.0;

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("slow-readers", options.seed);
    for policy in options.policies() {
        measure(options, &policy, &mut report).await?;
    }
    Ok(report)
}

/// Short requests only, with answers of a few tokens.
fn fast_plan(rate: f64, time: Duration, seed: u64) -> Vec<PlannedRequest> {
    let spec = WorkloadSpec {
        medium_share: 0.0,
        long_share: 0.0,
        longest: SHORT_TOKENS,
        ..WorkloadSpec::new(rate, time)
    };
    spec.plan(seed)
}

async fn measure(
    options: &MeasureOptions,
    policy: &str,
    report: &mut MeasureReport,
) -> io::Result<()> {
    let mut fleet_plan = options.deployment.plan(policy);
    for argument in [
        "--time-scale",
        "2",
        "--slots",
        "256",
        "--memory",
        "2000000",
        "--part-tokens",
        "4",
    ] {
        fleet_plan.engine_arguments.push(argument.into());
    }
    let cap = format!("limits.stream_buffer_total_bytes={CAP}");
    fleet_plan.settings.push(cap);
    let warm_up = fast_plan(WARM_UP_RATE, WARM_UP_TIME, !options.seed);
    let loaded = LoadedFleet::start(&fleet_plan, &warm_up).await?;
    let time = options.duration(RUN_TIME);
    let plan = fast_plan(FAST_RATE, time, options.seed);
    let idle = largest_resident(&loaded)?;
    let without = loaded.run(&format!("{policy} alone"), &plan).await;

    let readers = SlowReaders::start(&loaded);
    let sampled = Arc::<SampledMemory>::default();
    let sampler = sample(&loaded, &sampled);
    let start = Duration::from_secs_f64(READERS as f64 / START_RATE);
    let with = async {
        sleep(start).await;
        // New text, or the engines' prefix caches would answer.
        let plan = fast_plan(FAST_RATE, time, options.seed.wrapping_add(1));
        let name = format!("{policy} with slow readers");
        loaded.run(&name, &plan).await
    };
    let with = tokio::select! {
        with = with => with,
        error = sampler => return Err(error),
    };
    let mut add = |name: &str, unit: &str, value: f64| {
        report.add(policy, name, unit, value);
    };
    let held = sampled.held.load(Ordering::Relaxed) as f64;
    add("held_bytes_over_cap", "ratio", held / CAP as f64);
    add("held_bytes_max", "B", held);
    add("slow_readers", "readers", readers.served() as f64);
    let refused = readers.refused.load(Ordering::Relaxed) as f64;
    add("slow_readers_refusals", "refusals", refused);
    let resident = sampled.resident_kb.load(Ordering::Relaxed) as f64 / 1e3;
    add("resident_mb_idle", "MB", idle);
    add("resident_mb_max", "MB", resident);
    let (slow, alone) = (fast_p99(&with), fast_p99(&without));
    add("fast_p99_with_slow_over_without", "ratio", slow / alone);
    add("fast_p99_ms_with_slow", "ms", slow);
    add("fast_p99_ms_without_slow", "ms", alone);
    add("fast_answered_share_with_slow", "share", with.short_share());
    add("fast_answered_share", "share", without.short_share());
    let late = with.ends(EndKind::PastDeadline);
    add("admitted_past_deadline", "requests", late);
    add("wrong", "requests", with.ends(EndKind::Wrong));
    Ok(())
}

fn fast_p99(result: &RunResult) -> f64 {
    let answered = result.records.iter().filter(|record| record.answered());
    quantile_ms(answered.map(|record| record.total), 0.99)
}

fn largest_resident(loaded: &LoadedFleet) -> io::Result<f64> {
    let mut largest = 0.0_f64;
    for instance in &loaded.fleet.instances {
        largest = largest.max(resident_mb(instance.child.id())?);
    }
    Ok(largest)
}

/// Largest readings of any instance.
#[derive(Debug, Default)]
struct SampledMemory {
    held: AtomicUsize,
    resident_kb: AtomicUsize,
}

/// Reads the instances' memory until it fails.
async fn sample(loaded: &LoadedFleet, sampled: &SampledMemory) -> io::Error {
    loop {
        for instance in &loaded.fleet.instances {
            let name = "borageline_held_bytes";
            match metric(&loaded.client, instance.address, name).await {
                Ok(held) => {
                    sampled.held.fetch_max(held as usize, Ordering::Relaxed);
                }
                Err(error) => return error,
            }
        }
        match largest_resident(loaded) {
            Ok(resident) => {
                let kilobytes = (resident * 1e3) as usize;
                sampled.resident_kb.fetch_max(kilobytes, Ordering::Relaxed);
            }
            Err(error) => return error,
        }
        sleep(SAMPLE_WAIT).await;
    }
}

/// Slow readers that run until this is dropped.
struct SlowReaders {
    streaming: Vec<Arc<AtomicBool>>,
    refused: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl SlowReaders {
    fn start(loaded: &LoadedFleet) -> Self {
        let mut tasks = JoinSet::new();
        let mut streaming = Vec::new();
        let refused = Arc::<AtomicUsize>::default();
        let started = Instant::now();
        for index in 0..READERS {
            let state = Arc::<AtomicBool>::default();
            streaming.push(state.clone());
            let book = loaded.book.clone();
            let refused = refused.clone();
            let wait = Duration::from_secs_f64(index as f64 / START_RATE);
            tasks.spawn(async move {
                tokio::time::sleep_until(started + wait).await;
                let reads = index.is_multiple_of(2);
                loop {
                    let Some(address) = book.pick() else { return };
                    let open = open_stream(address, index).await;
                    if let Ok(Some(stream)) = open {
                        state.store(true, Ordering::Relaxed);
                        read_slowly(stream, reads).await;
                        return;
                    }
                    refused.fetch_add(1, Ordering::Relaxed);
                    sleep(RETRY_WAIT).await;
                }
            });
        }
        Self {
            streaming,
            refused,
            _tasks: tasks,
        }
    }

    /// Readers that got an answer's first bytes.
    fn served(&self) -> usize {
        let streaming = self.streaming.iter();
        let served = streaming.filter(|state| state.load(Ordering::Relaxed));
        served.count()
    }
}

/// Sends one request over a connection with a small receive buffer; none if
/// it is refused.
async fn open_stream(
    address: SocketAddr,
    index: usize,
) -> io::Result<Option<TcpStream>> {
    let request = CompletionRequest {
        model: MODEL.parse().expect("constant is an id"),
        prompt: PromptInput::Text(prompt_text(index as u64, READER_PROMPT)),
        max_tokens: READER_TOKENS,
        stream: true,
        class: Some(PriorityClass::Standard),
        timeout_ms: Some(READER_TIMEOUT.as_millis() as u64),
    };
    let body = PreparedRequest::new(&request).body();
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(READER_BUFFER)?;
    let mut stream = socket.connect(address).await?;
    let key = workspace_key(index % 10);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\n\
         authorization: Bearer {key}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body.len(),
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await?;
    let mut start = [0; 12];
    timeout(READER_TIMEOUT, stream.read_exact(&mut start)).await??;
    let accepted = start.ends_with(b" 200");
    Ok(accepted.then_some(stream))
}

async fn read_slowly(mut stream: TcpStream, reads: bool) {
    if !reads {
        // Keeps the connection open without reading.
        std::future::pending::<()>().await;
    }
    let mut buffer = [0; READ_SIZE];
    loop {
        sleep(READ_WAIT).await;
        if !matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {
            return;
        }
    }
}
