//! Sends a plan to a fleet as an open loop and accounts for every request.
//!
//! Requests start at their planned times, whether or not earlier ones have
//! ended. Callers get the instances' addresses from `/v1/addresses` and keep
//! the answer as long as it says. A caller whose connection is refused uses
//! the next address at once, because nothing of the request was sent.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use borageline_lib::{
    api::{AddressResponse, CompletionRequest, PriorityClass, PromptInput},
    refusal::RunState,
};
use hdrhistogram::Histogram;
use tokio::{sync::oneshot, task::JoinSet};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

use crate::{
    caller::{CallerClient, CallerOutcome, CallerRecord, PreparedRequest},
    fleet::{BenchFleet, MODEL, workspace_key},
    probe,
    workload::{LONG_TOKENS, PlannedRequest, SHORT_TOKENS, prompt_text},
};

/// Time after its deadline at which a request without an end counts as late.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Addresses that a caller tries while connections are refused.
const CONNECT_TRIES: usize = 3;
/// Shortest time between two reads of the addresses.
const ADDRESS_WAIT: Duration = Duration::from_millis(100);
/// Time before its start at which a request's body is made.
pub const PREPARE_AHEAD: Duration = Duration::from_millis(300);

/// Time that a caller gives a request of a class.
pub fn timeout(class: PriorityClass) -> Duration {
    Duration::from_secs(match class {
        PriorityClass::Interactive => 10,
        PriorityClass::Standard => 15,
        PriorityClass::Batch => 20,
    })
}

/// How a request ended, for the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndKind {
    /// The whole and right answer came.
    Answered,
    /// Refused with `not_run`.
    NotRun,
    /// Failed in another way that the caller was told of or noticed.
    Failed,
    /// An answer that is not the answer to the request.
    Wrong,
    /// Neither answer nor error by the deadline and its grace.
    PastDeadline,
}

/// One request and how it ended.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// The request.
    pub planned: PlannedRequest,
    /// Planned start, from the start of the run.
    pub at: Duration,
    /// End, from the start of the run.
    pub ended: Duration,
    /// Time to the first part.
    pub first_part: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// How it ended.
    pub end: EndKind,
    /// Code or cause, if it was not answered.
    pub detail: Option<String>,
    /// Request id of a refusal.
    pub request_id: Option<String>,
}

impl LoadRecord {
    /// Whether the prompt counts as short.
    pub fn is_short(&self) -> bool {
        self.planned.prompt_tokens <= SHORT_TOKENS
    }

    /// Whether the prompt counts as long.
    pub fn is_long(&self) -> bool {
        self.planned.prompt_tokens > LONG_TOKENS
    }

    /// Whether the request was answered.
    pub fn answered(&self) -> bool {
        self.end == EndKind::Answered
    }
}

/// Addresses that callers use, read from the instances.
#[derive(Debug)]
pub struct AddressBook {
    addresses: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
    retried: AtomicU64,
}

impl AddressBook {
    /// Reads the addresses and keeps them up to date until it is stopped.
    pub async fn open(
        fleet: &BenchFleet,
        client: CallerClient,
    ) -> io::Result<(Arc<Self>, AbortOnDropHandle<()>)> {
        let known: Vec<SocketAddr> =
            fleet.instances.iter().map(|one| one.address).collect();
        let book = Arc::new(Self {
            addresses: Mutex::new(known.clone()),
            next: AtomicUsize::new(0),
            retried: AtomicU64::new(0),
        });
        let until = Instant::now() + Duration::from_secs(10);
        while book
            .refresh(&client)
            .await
            .is_none_or(|answer| answer.addresses.len() < known.len())
        {
            if Instant::now() > until {
                return Err(io::Error::other("addresses are incomplete"));
            }
            tokio::time::sleep(ADDRESS_WAIT).await;
        }
        let task = tokio::spawn(book.clone().keep(client));
        Ok((book, AbortOnDropHandle::new(task)))
    }

    async fn keep(self: Arc<Self>, client: CallerClient) {
        loop {
            let answer = self.refresh(&client).await;
            let ttl = answer.map_or(ADDRESS_WAIT, |answer| {
                Duration::from_millis(answer.ttl_ms)
            });
            tokio::time::sleep(ttl.max(ADDRESS_WAIT)).await;
        }
    }

    async fn refresh(&self, client: &CallerClient) -> Option<AddressResponse> {
        let address = self.pick()?;
        let read = probe::get_json(client, address, "/v1/addresses");
        let answer: AddressResponse =
            serde_json::from_value(read.await.ok()?).ok()?;
        let found: Vec<SocketAddr> =
            answer.addresses.iter().map(|entry| entry.address).collect();
        if found.is_empty() {
            return None;
        }
        *self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = found;
        Some(answer)
    }

    /// The next address in turn.
    pub fn pick(&self) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let count = addresses.len().max(1);
        addresses.get(turn % count).copied()
    }

    /// Requests that used a second address, as the first refused.
    pub fn retried(&self) -> u64 {
        self.retried.load(Ordering::Relaxed)
    }
}

/// Sends one prepared request by way of the addresses in the book.
pub async fn send_one(
    client: &CallerClient,
    book: &AddressBook,
    key: &str,
    request: &PreparedRequest,
) -> CallerRecord {
    let started = Instant::now();
    let mut tries = 0;
    loop {
        tries += 1;
        let Some(address) = book.pick() else {
            return CallerRecord::broken(started, "no address is known");
        };
        let mut record =
            client.complete_prepared(address, key, request, None).await;
        let refused =
            matches!(record.outcome, CallerOutcome::ConnectRefused(_));
        if refused && tries < CONNECT_TRIES {
            book.retried.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        record.total = started.elapsed();
        return record;
    }
}

/// Runs a plan and returns one record for each request.
///
/// `stop` ends the arrivals early; requests that are under way still end.
pub async fn run_plan(
    client: &CallerClient,
    book: &Arc<AddressBook>,
    plan: &[PlannedRequest],
    stop: &CancellationToken,
) -> Vec<LoadRecord> {
    let mut tasks = JoinSet::new();
    let start = Instant::now() + PREPARE_AHEAD;
    for planned in plan.iter().cloned() {
        let at = start + planned.at;
        let ahead = at.checked_sub(PREPARE_AHEAD).unwrap_or(at);
        tokio::select! {
            () = tokio::time::sleep_until(ahead.into()) => {}
            () = stop.cancelled() => break,
        }
        let (client, book) = (client.clone(), book.clone());
        tasks.spawn(run_one(client, book, planned, start));
    }
    let mut records = tasks.join_all().await;
    records.sort_by_key(|record| record.at);
    records
}

async fn run_one(
    client: CallerClient,
    book: Arc<AddressBook>,
    planned: PlannedRequest,
    start: Instant,
) -> LoadRecord {
    let request = prepare(&planned).await;
    let due = start + planned.at;
    tokio::time::sleep_until(due.into()).await;
    let started = Instant::now();
    let key = workspace_key(planned.workspace);
    let limit = timeout(planned.class) + DEADLINE_GRACE;
    let send = send_one(&client, &book, &key, &request);
    let record = tokio::time::timeout(limit, send).await;
    let total = started.elapsed();
    let mut made = LoadRecord {
        at: planned.at,
        ended: Instant::now().saturating_duration_since(start),
        planned,
        first_part: None,
        total,
        end: EndKind::PastDeadline,
        detail: None,
        request_id: None,
    };
    let Ok(record) = record else {
        return made;
    };
    made.first_part = record.first_part;
    made.total = record.total;
    (made.end, made.detail) = match record.outcome {
        CallerOutcome::Answered => (EndKind::Answered, None),
        CallerOutcome::Refused(detail) => {
            made.request_id = detail.request_id.map(|id| id.to_string());
            let end = match detail.run_state {
                RunState::NotRun => EndKind::NotRun,
                _ => EndKind::Failed,
            };
            (end, Some(detail.code.to_string()))
        }
        CallerOutcome::ConnectRefused(cause) => {
            (EndKind::Failed, Some(format!("connect: {cause}")))
        }
        CallerOutcome::Broken(cause) => (EndKind::Failed, Some(cause)),
        CallerOutcome::Wrong(cause) => (EndKind::Wrong, Some(cause)),
    };
    made
}

/// Makes a request's body away from the I/O threads.
pub async fn prepare(planned: &PlannedRequest) -> PreparedRequest {
    let planned = planned.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::task::spawn_blocking(move || {
        let text = prompt_text(planned.text_seed, planned.prompt_tokens);
        let request = CompletionRequest {
            model: MODEL.parse().expect("constant is an id"),
            prompt: PromptInput::Text(text),
            max_tokens: planned.output_tokens,
            stream: true,
            class: Some(planned.class),
            timeout_ms: Some(timeout(planned.class).as_millis() as u64),
        };
        // The receiver is gone only if the run was given up.
        let _ = sender.send(PreparedRequest::new(&request));
    });
    receiver.await.expect("making a request does not panic")
}

/// Requests of a run by the way they ended.
pub fn count_ends(records: &[LoadRecord]) -> BTreeMap<EndKind, u64> {
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(record.end).or_default() += 1;
    }
    counts
}

/// Causes of requests that were not answered by prompt length, with their
/// numbers.
pub fn count_causes(records: &[LoadRecord]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for record in records.iter().filter(|record| !record.answered()) {
        let cause = record.detail.clone().unwrap_or_default();
        let cause: String = cause.chars().take(80).collect();
        let length = if record.is_short() {
            "le_4k"
        } else if record.is_long() {
            "gt_100k"
        } else {
            "4k_to_100k"
        };
        let cause = format!("{length} {:?} {cause}", record.end);
        *counts.entry(cause).or_default() += 1;
    }
    counts
}

/// Requests that were not answered by the second in which they arrived, which
/// shows whether refusals belong to the start of a run.
pub fn unanswered_by_second(records: &[LoadRecord]) -> BTreeMap<u64, u64> {
    let mut counts = BTreeMap::new();
    for record in records.iter().filter(|record| !record.answered()) {
        *counts.entry(record.at.as_secs()).or_default() += 1;
    }
    counts
}

/// Quantile of some durations in milliseconds; zero if there are none.
pub fn quantile_ms(
    times: impl IntoIterator<Item = Duration>,
    quantile: f64,
) -> f64 {
    let mut histogram =
        Histogram::<u64>::new(3).expect("three digits are allowed");
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // An automatically resizing histogram takes any value.
        let _ = histogram.record(micros);
    }
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Times to the first part of the answered requests that match.
pub fn first_parts<'a>(
    records: &'a [LoadRecord],
    wanted: impl Fn(&LoadRecord) -> bool + 'a,
) -> impl Iterator<Item = Duration> + 'a {
    records
        .iter()
        .filter(move |record| record.answered() && wanted(record))
        .filter_map(|record| record.first_part)
}
