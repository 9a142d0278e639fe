//! Service while a failure domain is closed by order and reopened, and while
//! its processes are killed without warning and started again.
//!
//! One run for each policy, in phases of equal length: before, closed by order,
//! reopened, killed, restarted. The load is lower than in `first-token`,
//! because the engines of the other domains have to carry all of it. Plain
//! calls run beside the requests, each with a key of its own. Orders that
//! change nothing for callers run in the phases without a loss, to measure how
//! long an order takes to be in force on every instance.

use std::{
    collections::BTreeSet,
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use borageline_lib::{
    api::ErrorBody,
    fleet::{DrainMode, FleetChange},
    refusal::RunState,
};
use http::Method;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::{
    caller::CallerClient,
    fleet::{OPERATOR_KEY, SERVICE, domain_name, workspace_key},
    load::{
        AddressBook, EndKind, LoadRecord, PREPARE_AHEAD, count_causes,
        count_ends, first_parts, quantile_ms, run_plan, unanswered_by_second,
    },
    measures::first_token::{LoadedFleet, planned_at, scaled_fleet, warm_up},
    options::MeasureOptions,
    probe,
    report::MeasureReport,
    workload::PlannedRequest,
};

/// Share of the whole fleet's capacity; two of three domains then run at
/// two thirds of theirs.
const LOAD_SHARE: f64 = 0.45;
/// Time of all phases.
const RUN_TIME: Duration = Duration::from_secs(35);
/// Number of phases.
const PHASES: u32 = 5;
/// Time between two plain calls.
const CALL_WAIT: Duration = Duration::from_millis(100);
/// Time between two orders that measure the time to be in force.
const ORDER_WAIT: Duration = Duration::from_millis(250);
/// Time between two looks at an order that is not in force yet.
const ORDER_POLL: Duration = Duration::from_millis(10);
/// Longest time for an order to be in force.
const ORDER_LIMIT: Duration = Duration::from_secs(10);
/// Length of the window that shows that the service is back after a loss.
const BACK_WINDOW: Duration = Duration::from_secs(1);
/// Step at which such windows begin.
const BACK_STEP: Duration = Duration::from_millis(50);
/// Arrivals this long before the loss do not count for the planned change:
/// the loss cuts those that are still under way.
const LOSS_MARGIN: Duration = Duration::from_secs(1);
/// Domain that is closed and killed.
const DOMAIN: usize = 1;

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("domain-change", options.seed);
    for policy in options.policies() {
        measure(options, &policy, &mut report).await?;
    }
    Ok(report)
}

fn epoch_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_millis() as u64)
}

/// How a plain call ended.
#[derive(Clone, Debug)]
struct CallRecord {
    key: String,
    answered: bool,
    not_run: bool,
}

/// What the background tasks of a run collect.
#[derive(Debug, Default)]
struct Collected {
    calls: Mutex<Vec<CallRecord>>,
    orders: Mutex<Vec<Duration>>,
    orders_failed: AtomicUsize,
}

async fn measure(
    options: &MeasureOptions,
    policy: &str,
    report: &mut MeasureReport,
) -> io::Result<()> {
    let phase = options.duration(RUN_TIME) / PHASES;
    let duration = phase * PHASES;
    let plan =
        planned_at(options.deployment, LOAD_SHARE, duration, options.seed);
    let mut fleet_plan = scaled_fleet(options.deployment, policy);
    fleet_plan.engine_arguments.push("--print-requests".into());
    let warm_up = warm_up(options.deployment, options.seed);
    let mut loaded = LoadedFleet::start(&fleet_plan, &warm_up).await?;
    let domain = domain_name(DOMAIN);
    let collected = Arc::<Collected>::default();
    let stop = CancellationToken::new();
    let no_loss = CancellationToken::new();
    let calls = spawn_calls(&loaded, &collected, &stop);
    let addresses: Vec<_> = loaded
        .fleet
        .instances
        .iter()
        .map(|one| one.address)
        .collect();
    let orders = tokio::spawn(repeat_orders(
        loaded.client.clone(),
        addresses,
        collected.clone(),
        no_loss.clone(),
    ));
    let load = spawn_load(&loaded, &plan);
    // The plan's times count from this moment as well.
    let started = Instant::now() + PREPARE_AHEAD;
    let at = |phases: u32| {
        tokio::time::sleep_until((started + phase * phases).into())
    };

    at(1).await;
    let closed_ms = epoch_ms();
    let mode = DrainMode::Finish;
    let change = FleetChange::CloseDomain {
        domain: domain.clone(),
        mode,
    };
    give_order(&loaded, "close-domain", &change).await?;
    at(2).await;
    let reopened_ms = epoch_ms();
    let change = FleetChange::OpenDomain {
        domain: domain.clone(),
    };
    give_order(&loaded, "open-domain", &change).await?;
    at(3).await;
    no_loss.cancel();
    loaded.fleet.kill_domain(&domain)?;
    at(4).await;
    loaded.fleet.restart_domain(&domain)?;
    at(5).await;
    stop.cancel();
    let records = load.await?;
    calls.await?;
    orders.await?;

    let run = ChangeRun {
        phase,
        records,
        closed_ms,
        reopened_ms,
    };
    run.print(policy);
    run.add_figures(policy, report);
    add_received(&loaded, &run, policy, report);
    add_calls(&loaded, &collected, policy, report).await?;
    let times = collected
        .orders
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.add(policy, "orders_in_force", "orders", times.len() as f64);
    let failed = collected.orders_failed.load(Ordering::Relaxed) as f64;
    report.add(policy, "orders_not_in_force", "orders", failed);
    let p99 = quantile_ms(times, 0.99);
    report.add(policy, "in_force_p99_ms", "ms", p99);
    Ok(())
}

fn spawn_load(
    loaded: &LoadedFleet,
    plan: &[PlannedRequest],
) -> tokio::task::JoinHandle<Vec<LoadRecord>> {
    let (client, book) = (loaded.client.clone(), loaded.book.clone());
    let plan = plan.to_vec();
    tokio::spawn(async move {
        let stop = CancellationToken::new();
        run_plan(&client, &book, &plan, &stop).await
    })
}

async fn give_order(
    loaded: &LoadedFleet,
    id: &str,
    change: &FleetChange,
) -> io::Result<()> {
    let order = id.parse().expect("constant is an id");
    let answer = loaded.fleet.order(0, &order, change).await;
    let (status, report) = answer.map_err(io::Error::other)?;
    if report["accepted"] == true {
        return Ok(());
    }
    Err(io::Error::other(format!("order {id}: {status} {report}")))
}

/// Gives orders through each instance in turn until the loss.
async fn repeat_orders(
    client: CallerClient,
    addresses: Vec<std::net::SocketAddr>,
    collected: Arc<Collected>,
    stop: CancellationToken,
) {
    let mut tasks = JoinSet::new();
    for turn in 0_usize.. {
        tokio::select! {
            () = tokio::time::sleep(ORDER_WAIT) => {}
            () = stop.cancelled() => break,
        }
        let address = addresses[turn % addresses.len()];
        let (client, collected) = (client.clone(), collected.clone());
        tasks.spawn(async move {
            let limit = tokio::time::timeout(
                ORDER_LIMIT,
                in_force_after(&client, address, turn),
            );
            if let Ok(Some(time)) = limit.await {
                let orders = collected.orders.lock();
                orders.unwrap_or_else(PoisonError::into_inner).push(time);
            } else {
                collected.orders_failed.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    // Orders that are under way when the domain is killed do not count.
    tasks.shutdown().await;
}

/// Time from sending an order until it is reported in force.
async fn in_force_after(
    client: &CallerClient,
    address: std::net::SocketAddr,
    turn: usize,
) -> Option<Duration> {
    let started = Instant::now();
    let order = format!("repeat-{turn}");
    // The workspace is enabled already, so callers notice nothing.
    let change = FleetChange::EnableWorkspace {
        workspace: "workspace-0".parse().expect("constant is an id"),
        enabled: true,
    };
    let body = serde_json::json!({"order": order, "changes": [change]});
    let (method, path) = (Method::POST, "/v1/order");
    let body = body.to_string().into();
    let send = client.send(address, method, path, OPERATOR_KEY, None, body);
    let (_, mut answer) = send.await.ok()?;
    let path = format!("/v1/orders/{order}");
    loop {
        let report: Value = serde_json::from_slice(&answer).ok()?;
        if report["in_force"] == true {
            return Some(started.elapsed());
        }
        if report["accepted"] == false || report.get("error").is_some() {
            return None;
        }
        tokio::time::sleep(ORDER_POLL).await;
        let none = bytes::Bytes::new();
        let get = client
            .send(address, Method::GET, &path, OPERATOR_KEY, None, none)
            .await;
        answer = get.ok()?.1;
    }
}

fn spawn_calls(
    loaded: &LoadedFleet,
    collected: &Arc<Collected>,
    stop: &CancellationToken,
) -> tokio::task::JoinHandle<()> {
    let (client, book) = (loaded.client.clone(), loaded.book.clone());
    let (collected, stop) = (collected.clone(), stop.clone());
    tokio::spawn(async move {
        let mut tasks = JoinSet::new();
        while !stop.is_cancelled() {
            tokio::time::sleep(CALL_WAIT).await;
            let (client, book) = (client.clone(), book.clone());
            let collected = collected.clone();
            tasks.spawn(async move {
                let record = call_once(&client, &book).await;
                let calls = collected.calls.lock();
                calls.unwrap_or_else(PoisonError::into_inner).push(record);
            });
        }
        tasks.join_all().await;
    })
}

async fn call_once(client: &CallerClient, book: &AddressBook) -> CallRecord {
    let mut record = CallRecord {
        key: Uuid::now_v7().to_string(),
        answered: false,
        not_run: false,
    };
    let Some(address) = book.pick() else {
        return record;
    };
    let path = format!("/v1/services/{SERVICE}/issue");
    let (key, call) = (workspace_key(0), Some(record.key.as_str()));
    let send =
        client.send(address, Method::POST, &path, &key, call, "{}".into());
    let answer = tokio::time::timeout(Duration::from_secs(10), send).await;
    if let Ok(Ok((status, body))) = answer {
        record.answered = status == 200;
        let error: Option<ErrorBody> = serde_json::from_slice(&body).ok();
        record.not_run = error
            .is_some_and(|error| error.error.run_state == RunState::NotRun);
    }
    record
}

/// The records of a run and when its phases began.
struct ChangeRun {
    phase: Duration,
    records: Vec<LoadRecord>,
    closed_ms: u64,
    reopened_ms: u64,
}

impl ChangeRun {
    fn short(&self, from: u32, to: u32) -> Vec<LoadRecord> {
        let range = self.phase * from..self.phase * to;
        let short = self
            .records
            .iter()
            .filter(|record| record.is_short() && range.contains(&record.at));
        short.cloned().collect()
    }

    fn print(&self, policy: &str) {
        eprintln!("{policy}: ends {:?}", count_ends(&self.records));
        for (cause, count) in count_causes(&self.records) {
            eprintln!("  {count} x {cause}");
        }
        let seconds = unanswered_by_second(&self.records);
        eprintln!("  not answered, by second of arrival: {seconds:?}");
    }

    fn add_figures(&self, policy: &str, report: &mut MeasureReport) {
        let phases = ["before", "closed", "reopened", "killed", "restarted"];
        let mut p95 = Vec::new();
        for (index, name) in (0..PHASES).zip(phases) {
            let records = self.short(index, index + 1);
            let share = answered_share(&records);
            let name_share = format!("short_served_share_{name}");
            report.add(policy, &name_share, "share", share);
            let ttft = quantile_ms(first_parts(&records, |_| true), 0.95);
            report.add(policy, &format!("ttft_p95_ms_{name}"), "ms", ttft);
            p95.push(ttft);
        }
        let mut planned = self.short(1, 3);
        let end = (self.phase * 3).saturating_sub(LOSS_MARGIN);
        planned.retain(|record| record.at < end);
        let planned = answered_share(&planned);
        let name = "short_served_share_planned";
        report.add(policy, name, "share", planned);
        let name = "ttft_p95_planned_over_before";
        report.add(policy, name, "ratio", p95[1] / p95[0]);
        let name = "ttft_p95_reopened_over_before";
        report.add(policy, name, "ratio", p95[2] / p95[0]);
        let name = "recovery_after_loss_ms";
        // Absent if the service was not back before the restart.
        if let Some(time) = self.recovery() {
            report.add(policy, name, "ms", time.as_secs_f64() * 1e3);
        }
        for (name, kind) in [
            ("refused_not_run", EndKind::NotRun),
            ("failed", EndKind::Failed),
            ("wrong", EndKind::Wrong),
            ("admitted_past_deadline", EndKind::PastDeadline),
        ] {
            let count = count_ends(&self.records).get(&kind).copied();
            let count = count.unwrap_or(0) as f64;
            report.add(policy, name, "requests", count);
        }
    }

    /// Time from the loss to the first window in which every short request
    /// that arrives is answered, in the phase without the domain.
    fn recovery(&self) -> Option<Duration> {
        let killed = self.phase * 3;
        let records = self.short(3, 4);
        let mut from = Duration::ZERO;
        while from + BACK_WINDOW <= self.phase {
            let window = killed + from..killed + from + BACK_WINDOW;
            let mut inside =
                records.iter().filter(|record| window.contains(&record.at));
            if inside.all(LoadRecord::answered) {
                return Some(from);
            }
            from += BACK_STEP;
        }
        None
    }
}

fn answered_share(records: &[LoadRecord]) -> f64 {
    let answered = records.iter().filter(|record| record.answered());
    answered.count() as f64 / records.len().max(1) as f64
}

/// Adds what the engines' own records of requests show.
fn add_received(
    loaded: &LoadedFleet,
    run: &ChangeRun,
    policy: &str,
    report: &mut MeasureReport,
) {
    let all = loaded.fleet.received(None);
    // A group's later segments belong to a request from before the order.
    let old: BTreeSet<&str> = all
        .iter()
        .filter(|line| line.at_ms < run.closed_ms)
        .map(|line| line.request.as_str())
        .collect();
    let closed = domain_name(DOMAIN);
    let received = loaded.fleet.received(Some(&closed));
    // Shows that the domain's engines were used until the order.
    let before = received.iter().filter(|line| {
        line.at_ms < run.closed_ms && line.at_ms + 1_000 >= run.closed_ms
    });
    let name = "closed_domain_requests_1s_before";
    report.add(policy, name, "requests", before.count() as f64);
    let last = received
        .iter()
        .filter(|line| (run.closed_ms..run.reopened_ms).contains(&line.at_ms))
        .filter(|line| !old.contains(line.request.as_str()))
        .map(|line| line.at_ms - run.closed_ms)
        .max();
    let name = "requests_received_by_engines";
    report.add(policy, name, "requests", all.len() as f64);
    let name = "order_to_last_new_request_ms";
    report.add(policy, name, "ms", last.unwrap_or(0) as f64);
    let admitted: BTreeSet<&str> = all
        .iter()
        .filter(|line| line.admitted)
        .map(|line| line.request.as_str())
        .collect();
    let untrue = run
        .records
        .iter()
        .filter(|record| record.end == EndKind::NotRun)
        .filter_map(|record| record.request_id.as_deref())
        .filter(|id| admitted.contains(id));
    let name = "untrue_refusals_of_requests";
    report.add(policy, name, "requests", untrue.count() as f64);
}

/// Adds the plain calls, compared with what the service ran.
async fn add_calls(
    loaded: &LoadedFleet,
    collected: &Collected,
    policy: &str,
    report: &mut MeasureReport,
) -> io::Result<()> {
    let mut runs = std::collections::BTreeMap::<String, u64>::new();
    for service in &loaded.fleet.services {
        let path = "/control/counts";
        let counts =
            probe::get_json(&loaded.client, service.address, path).await?;
        let keys = counts["keys"].as_object().cloned().unwrap_or_default();
        for (key, count) in keys {
            *runs.entry(key).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    let calls = collected.calls.lock();
    let calls = calls.unwrap_or_else(PoisonError::into_inner).clone();
    let answered = calls.iter().filter(|call| call.answered).count();
    let refused = calls.iter().filter(|call| call.not_run).count();
    let untrue = calls
        .iter()
        .filter(|call| call.not_run && runs.contains_key(&call.key))
        .count();
    let twice = runs.values().filter(|count| **count > 1).count();
    let mut add = |name: &str, value: usize| {
        report.add(policy, name, "calls", value as f64);
    };
    add("calls", calls.len());
    add("calls_answered", answered);
    add("calls_refused_not_run", refused);
    add("calls_run_twice", twice);
    add("untrue_refusals_of_calls", untrue);
    let of_requests = report.value(policy, "untrue_refusals_of_requests");
    let sum = of_requests.unwrap_or(0.0) + untrue as f64;
    report.add(policy, "untrue_refusals", "refusals", sum);
    Ok(())
}
