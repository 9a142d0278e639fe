//! Time to the first token by prompt length, with and without long prompts.
//!
//! Each policy gets a fleet of its own and two runs on it: the plan without its
//! long requests, then the whole plan. Before them, a warm-up that does not
//! count lets the fleet learn that its engines are warm; its answered share is
//! a figure of its own. The rate is a share of the engines' capacity, see
//! [`capacity`]. All figures of answered requests come with the
//! share of requests that were answered, because a policy that refuses slow
//! requests would otherwise look fast.

use std::{io, sync::Arc, time::Duration};

use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    caller::CallerClient,
    fleet::{BenchFleet, FleetPlan},
    load::{
        AddressBook, EndKind, LoadRecord, count_causes, count_ends,
        first_parts, quantile_ms, run_plan, unanswered_by_second,
    },
    options::{Deployment, MeasureOptions},
    probe::{EngineTotals, engine_totals},
    report::MeasureReport,
    workload::{
        LONG_TOKENS, PlannedRequest, SHORT_TOKENS, WorkloadSpec, mean_tokens,
    },
};

/// Share of the engines' capacity that the plan asks for.
pub const LOAD_SHARE: f64 = 0.7;
/// Simulated seconds that pass in one second: a prompt of 1,000,000 tokens
/// then prefills in about 8 s, and a run of one policy takes under 40 s.
pub const TIME_SCALE: f64 = 8.0;
/// Time in which requests arrive.
pub const RUN_TIME: Duration = Duration::from_secs(10);
/// Time of the warm-up. The product doubles an engine's cold-start limit after
/// 2 s of the engine's work, and needs four steps to all of its memory.
pub const WARM_UP_TIME: Duration = Duration::from_secs(12);
/// Share of the plan's rate at which the warm-up begins.
const WARM_UP_FROM: f64 = 0.2;
/// Time after the end of a run until held tokens count as lost.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Prompt tokens per simulated second of one engine, its default.
const PREFILL_RATE: f64 = 20_000.0;
/// Steps per simulated second of one engine that only decodes, its default.
const DECODE_RATE: f64 = 50.0;
/// Prompt tokens of one step, the engine's default.
const CHUNK: f64 = 2_048.0;
/// Memory of one engine in tokens, its default.
const MEMORY: f64 = 400_000.0;

/// Requests per second that the engines can serve.
///
/// A busy engine runs steps of `CHUNK` prompt tokens, each of which also
/// generates one token for every prefilled request, and so takes
/// `CHUNK / PREFILL_RATE + 1 / DECODE_RATE`. A request of `P` prompt tokens
/// thus takes `P * (1 / PREFILL_RATE + 1 / (CHUNK * DECODE_RATE))` of an
/// engine's time; its `O` output tokens are generated in the steps of other
/// requests' prompts as long as a step's share of running requests,
/// `O * CHUNK / P`, stays below the slots. Memory allows `engines * MEMORY`
/// tokens; a request holds `P + O` of them for its own prefill time and `O`
/// steps. The capacity is the smaller of the two rates, times the scale.
pub fn capacity(
    engines: usize,
    time_scale: f64,
    plan: &[PlannedRequest],
) -> f64 {
    let (mean_prompt, _) = mean_tokens(plan);
    let token_time = 1.0 / PREFILL_RATE + 1.0 / (CHUNK * DECODE_RATE);
    let step_time = CHUNK * token_time;
    let by_time = engines as f64 / (mean_prompt * token_time);
    let held: f64 = plan
        .iter()
        .map(|request| {
            let prompt = request.prompt_tokens as f64;
            let output = f64::from(request.output_tokens);
            (prompt + output) * (prompt * token_time + output * step_time)
        })
        .sum();
    let held = held / plan.len().max(1) as f64;
    let by_memory = engines as f64 * MEMORY / held;
    by_time.min(by_memory) * time_scale
}

/// The plan at a share of the capacity of a deployment's engines.
pub fn planned(
    deployment: Deployment,
    duration: Duration,
    seed: u64,
) -> Vec<PlannedRequest> {
    planned_at(deployment, LOAD_SHARE, duration, seed)
}

/// The plan at another share of the capacity.
pub fn planned_at(
    deployment: Deployment,
    share: f64,
    duration: Duration,
    seed: u64,
) -> Vec<PlannedRequest> {
    let engines = deployment.plan("product").engines;
    // A long plan of the same mix gives the means without sampling noise.
    let sample = WorkloadSpec::new(1_000.0, Duration::from_secs(100));
    let rate = share * capacity(engines, TIME_SCALE, &sample.plan(0));
    WorkloadSpec::new(rate, duration).plan(seed)
}

/// A warm-up without long requests, whose rate rises to the plan's.
pub fn warm_up(deployment: Deployment, seed: u64) -> Vec<PlannedRequest> {
    // Another seed, so that no prompt of the run is cached.
    let plan = planned(deployment, WARM_UP_TIME, !seed);
    let mut turn = 0.0;
    without_long(&plan)
        .into_iter()
        .filter(|request| {
            let done = request.at.as_secs_f64() / WARM_UP_TIME.as_secs_f64();
            turn += WARM_UP_FROM + (1.0 - WARM_UP_FROM) * done;
            let taken = turn >= 1.0;
            turn -= if taken { 1.0 } else { 0.0 };
            taken
        })
        .collect()
}

/// The requests of a plan that are not long.
pub fn without_long(plan: &[PlannedRequest]) -> Vec<PlannedRequest> {
    plan.iter()
        .filter(|request| request.prompt_tokens <= LONG_TOKENS)
        .cloned()
        .collect()
}

/// A fleet of a deployment's size with engines at the time scale.
pub fn scaled_fleet(deployment: Deployment, policy: &str) -> FleetPlan {
    let mut plan = deployment.plan(policy);
    plan.engine_arguments
        .extend(["--time-scale".into(), TIME_SCALE.to_string()]);
    plan
}

/// What one run brought.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// One record for each request.
    pub records: Vec<LoadRecord>,
    /// What the engines report after the settle time.
    pub engines: EngineTotals,
}

impl RunResult {
    /// Requests that ended in one way.
    pub fn ends(&self, kind: EndKind) -> f64 {
        count_ends(&self.records).get(&kind).copied().unwrap_or(0) as f64
    }

    /// 95th percentile of the first token of requests by prompt length.
    pub fn ttft_p95(&self, low: u64, high: u64) -> f64 {
        let wanted = move |record: &LoadRecord| {
            let tokens = record.planned.prompt_tokens;
            tokens > low && tokens <= high
        };
        quantile_ms(first_parts(&self.records, wanted), 0.95)
    }

    /// 99th percentile of the whole time of short answered requests.
    pub fn short_total_p99(&self) -> f64 {
        let short = self
            .records
            .iter()
            .filter(|record| record.answered() && record.is_short());
        quantile_ms(short.map(|record| record.total), 0.99)
    }

    /// Share of short requests that were answered.
    pub fn short_share(&self) -> f64 {
        let short = self.records.iter().filter(|record| record.is_short());
        let answered = short.clone().filter(|record| record.answered());
        answered.count() as f64 / short.count().max(1) as f64
    }

    /// Prompt tokens of the long requests that were answered.
    pub fn long_tokens(&self) -> f64 {
        let long = self
            .records
            .iter()
            .filter(|record| record.answered() && record.is_long());
        long.map(|record| record.planned.prompt_tokens as f64).sum()
    }
}

/// A fleet with callers that know its addresses.
#[derive(Debug)]
pub struct LoadedFleet {
    /// The fleet.
    pub fleet: BenchFleet,
    /// Client of all callers.
    pub client: CallerClient,
    /// Addresses that the callers use.
    pub book: Arc<AddressBook>,
    /// Share of the warm-up's requests that were answered.
    pub warm_up_share: f64,
    _keeper: AbortOnDropHandle<()>,
}

impl LoadedFleet {
    /// Starts a fleet and warms it up.
    pub async fn start(
        plan: &FleetPlan,
        warm_up: &[PlannedRequest],
    ) -> io::Result<Self> {
        let fleet = BenchFleet::start(plan).await?;
        let client = CallerClient::new();
        let (book, keeper) = AddressBook::open(&fleet, client.clone()).await?;
        let mut loaded = Self {
            fleet,
            client,
            book,
            warm_up_share: 0.0,
            _keeper: keeper,
        };
        let name = format!("{} warm-up", plan.policy);
        let result = loaded.run(&name, warm_up).await;
        let count = result.records.len().max(1) as f64;
        loaded.warm_up_share = result.ends(EndKind::Answered) / count;
        Ok(loaded)
    }

    /// Runs a plan and waits for the settle time.
    pub async fn run(&self, name: &str, plan: &[PlannedRequest]) -> RunResult {
        let before = engine_totals(&self.client, &self.fleet.engines).await;
        let stop = CancellationToken::new();
        let records = run_plan(&self.client, &self.book, plan, &stop).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let mut engines =
            engine_totals(&self.client, &self.fleet.engines).await;
        engines.falls -= before.falls.min(engines.falls);
        engines.tokens_lost -= before.tokens_lost.min(engines.tokens_lost);
        let result = RunResult { records, engines };
        eprintln!(
            "{name}: {} requests, ends {:?}, {:?}",
            result.records.len(),
            count_ends(&result.records),
            result.engines,
        );
        for (cause, count) in count_causes(&result.records) {
            eprintln!("  {count} x {cause}");
        }
        let seconds = unanswered_by_second(&result.records);
        if !seconds.is_empty() {
            eprintln!("  not answered, by second of arrival: {seconds:?}");
        }
        result
    }
}

/// What the two runs of one policy brought.
#[derive(Clone, Debug)]
pub struct PairResult {
    /// The whole plan.
    pub with: RunResult,
    /// The plan without long requests.
    pub without: RunResult,
    /// Share of the warm-up's requests that were answered.
    pub warm_up_share: f64,
}

/// Runs without and with long requests for one policy.
pub async fn run_pair(
    options: &MeasureOptions,
    policy: &str,
) -> io::Result<PairResult> {
    let duration = options.duration(RUN_TIME);
    let plan = planned(options.deployment, duration, options.seed);
    let fleet_plan = scaled_fleet(options.deployment, policy);
    let warm_up = warm_up(options.deployment, options.seed);
    let loaded = LoadedFleet::start(&fleet_plan, &warm_up).await?;
    let short = without_long(&plan);
    let name = format!("{policy} without long");
    let without = loaded.run(&name, &short).await;
    let with = loaded.run(&format!("{policy} with long"), &plan).await;
    Ok(PairResult {
        with,
        without,
        warm_up_share: loaded.warm_up_share,
    })
}

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("first-token", options.seed);
    let mut long_tokens = Vec::new();
    for policy in options.policies() {
        let pair = run_pair(options, &policy).await?;
        add_figures(&mut report, &policy, &pair);
        long_tokens.push((policy, pair.with.long_tokens()));
    }
    let baseline = long_tokens
        .iter()
        .find(|(policy, _)| policy == "least-requests")
        .map(|(_, tokens)| *tokens);
    // Absent where the baseline did not run or finished none.
    if let Some(baseline) = baseline.filter(|tokens| *tokens > 0.0) {
        for (policy, tokens) in &long_tokens {
            let name = "long_tokens_finished_over_baseline";
            report.add(policy, name, "ratio", tokens / baseline);
        }
    }
    Ok(report)
}

fn add_figures(report: &mut MeasureReport, policy: &str, pair: &PairResult) {
    let PairResult { with, without, .. } = pair;
    let mut add = |name: &str, unit: &str, value: f64| {
        report.add(policy, name, unit, value);
    };
    let short = with.ttft_p95(0, SHORT_TOKENS);
    let alone = without.ttft_p95(0, SHORT_TOKENS);
    let name = "ttft_p95_short_with_long_over_without";
    add(name, "ratio", short / alone);
    add("ttft_p95_ms_le_4k", "ms", short);
    add("ttft_p95_ms_le_4k_without_long", "ms", alone);
    let medium = with.ttft_p95(SHORT_TOKENS, LONG_TOKENS);
    add("ttft_p95_ms_4k_to_100k", "ms", medium);
    let long = with.ttft_p95(LONG_TOKENS, u64::MAX);
    add("ttft_p95_ms_gt_100k", "ms", long);
    add("long_tokens_finished", "tokens", with.long_tokens());
    add("short_answered_share", "share", with.short_share());
    let alone = without.short_share();
    add("short_answered_share_without_long", "share", alone);
    add("warm_up_answered_share", "share", pair.warm_up_share);
    add("requests", "requests", with.records.len() as f64);
    add("answered", "requests", with.ends(EndKind::Answered));
    add("refused_not_run", "requests", with.ends(EndKind::NotRun));
    add("failed", "requests", with.ends(EndKind::Failed));
    let both = |kind| with.ends(kind) + without.ends(kind);
    add("wrong", "requests", both(EndKind::Wrong));
    let late = both(EndKind::PastDeadline);
    add("admitted_past_deadline", "requests", late);
    let falls = with.engines.falls + without.engines.falls;
    add("engines_failed", "falls", falls as f64);
    let held = with.engines.held + without.engines.held;
    add("kv_tokens_lost", "tokens", held as f64);
    let silent = with.engines.silent + without.engines.silent;
    add("engines_silent", "engines", silent as f64);
}
