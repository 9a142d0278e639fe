//! Load generators: callers that send requests one after the other and record
//! the outcomes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use borageline_bench::caller::{CallerClient, CallerOutcome, CallerRecord};
use borageline_lib::api::CompletionRequest;
use tokio::task::JoinHandle;

use crate::fixture::{KEY, completion};

/// Time after its deadline within which a request must have ended, with a
/// margin for a machine that is busy with other tests.
pub(crate) const SLACK: Duration = Duration::from_secs(3);

/// One request and how it ended.
#[derive(Clone, Debug)]
pub(crate) struct LoadRecord {
    /// Instance to which the request was sent.
    pub(crate) address: SocketAddr,
    /// Outcome; `None` if the request did not end within [`SLACK`] after its
    /// deadline.
    pub(crate) record: Option<CallerRecord>,
}

impl LoadRecord {
    /// Whether the correct completion was received.
    pub(crate) fn answered(&self) -> bool {
        self.record.as_ref().is_some_and(CallerRecord::answered)
    }

    /// Outcome of the request; `None` if it did not end in time.
    pub(crate) fn outcome(&self) -> Option<&CallerOutcome> {
        self.record.as_ref().map(|record| &record.outcome)
    }
}

/// Number of callers and the requests that each of them sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadShape {
    /// Number of concurrent callers.
    pub(crate) callers: usize,
    /// Length of the prompts in tokens.
    pub(crate) prompt_tokens: usize,
    /// Tokens to generate.
    pub(crate) max_tokens: u32,
    /// Timeout of each request.
    pub(crate) timeout: Duration,
    /// Pause between two requests of a caller.
    pub(crate) pause: Duration,
}

impl LoadShape {
    /// Many callers with short prompts.
    pub(crate) const SHORT: Self = Self {
        callers: 8,
        prompt_tokens: 500,
        max_tokens: 16,
        timeout: Duration::from_secs(4),
        pause: Duration::from_millis(20),
    };
}

/// A running load; its callers stop when [`Self::finish`] is called.
pub(crate) struct RunningLoad {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<LoadRecord>>>,
}

/// A prompt with a length in tokens, different from all other prompts.
pub(crate) fn unique_prompt(tokens: usize) -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let mut text = format!("request {number} ");
    text.extend(std::iter::repeat_n("abc ", tokens));
    text.truncate(tokens * 4);
    text
}

/// Sends one request and checks its completion.
pub(crate) async fn send_one(
    caller: &CallerClient,
    address: SocketAddr,
    request: &CompletionRequest,
) -> LoadRecord {
    let timeout = Duration::from_millis(request.timeout_ms.unwrap());
    let call = caller.complete(address, KEY, request, None);
    let record = tokio::time::timeout(timeout + SLACK, call).await.ok();
    LoadRecord { address, record }
}

impl RunningLoad {
    /// Starts the callers; they are distributed over the addresses.
    pub(crate) fn start(shape: LoadShape, addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for index in 0..shape.callers {
            let stop = stop.clone();
            let address = addresses[index % addresses.len()];
            tasks.push(tokio::spawn(async move {
                let caller = CallerClient::new();
                let mut records = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let prompt = unique_prompt(shape.prompt_tokens);
                    let timeout_ms = shape.timeout.as_millis() as u64;
                    let request =
                        completion(&prompt, shape.max_tokens, timeout_ms);
                    records.push(send_one(&caller, address, &request).await);
                    tokio::time::sleep(shape.pause).await;
                }
                records
            }));
        }
        Self { stop, tasks }
    }

    /// Waits until the callers have finished their current requests, and
    /// returns all records.
    pub(crate) async fn finish(self) -> Vec<LoadRecord> {
        self.stop.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        for task in self.tasks {
            records.extend(task.await.unwrap());
        }
        records
    }
}
