//! Requests that crash upstreams, in `borageline serve`.
//!
//! Holds the [`PromptQuarantine`] that the gateway uses, finds out which upstreams
//! have crashed, and exchanges reports with the other instances: with all of them
//! after a crash that this instance saw or an answer that ended a quarantine, and
//! with a random one from time to time, by which an instance that has just started
//! learns what others know.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{
    core::PublishedState,
    gateway::{
        crash_confirmation::{ConnectionView, ROUND_INTERVAL, ROUNDS_MAX},
        crash_evidence::SuspectPrompt,
        prompt_quarantine::{
            PromptQuarantine, PromptReport, QuarantineChange, QuarantinedPrompt,
        },
        upstream_table::UpstreamProcess,
        wire::PartId,
    },
    ids::{RequestId, UpstreamId},
    log_event::LogEvent,
    peer_api::{PeerRequest, PeerResponse},
    refusal::{Refusal, RefusalCode},
    units::{Incarnation, Timestamp},
};
use futures::StreamExt;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    connection_probe::{OPEN_TIME, view_connection},
    core_handle::CoreClock,
    driver::CoreHandle,
    gateway::unix_millis,
    log_decision,
    peers::PeerPool,
    relay::RelayClient,
};

/// Shortest time between two reports to all instances.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Reports to all instances after a crash. Later ones carry what the responses to
/// the first one say of sound requests.
const REPORTS_PER_CRASH: u32 = 3;
/// Interval between two exchanges with a random instance.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Time for an exchange with one instance.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Exchanges that are in progress at the same time.
const EXCHANGES_MAX: usize = 32;

/// Quarantine of one instance.
#[derive(Debug)]
pub struct RequestQuarantine {
    state: Mutex<PromptQuarantine>,
    clock: CoreClock,
    /// Address by which the instances are told apart.
    own_address: SocketAddr,
    /// The way to upstreams that only this instance does not reach.
    relays: RelayClient,
    report_due: Notify,
}

impl RequestQuarantine {
    /// Creates an empty quarantine of the instance that serves callers at
    /// `own_address`.
    pub fn new(
        clock: CoreClock,
        own_address: SocketAddr,
        relays: RelayClient,
    ) -> Self {
        Self {
            state: Mutex::default(),
            clock,
            own_address,
            relays,
            report_due: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, PromptQuarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request with this content may be sent to an upstream now.
    pub fn check(
        &self,
        published: &PublishedState,
        contents: &[PartId],
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let owns = |part: &PartId| self.owns_part(published, part);
        let mut state = self.state();
        let checked = state.check(now, contents, owns);
        log_changes(&mut state);
        checked.map(|_| ()).map_err(|found| refusal(&found))
    }

    /// Whether this instance makes the trials of a part: of those that serve
    /// callers the first one in an order that depends on the part.
    fn owns_part(&self, published: &PublishedState, part: &PartId) -> bool {
        let rank = |address: SocketAddr| {
            let seed = xxh3_64(part.as_str().as_bytes());
            xxh3_64_with_seed(address.to_string().as_bytes(), seed)
        };
        let own = rank(self.own_address);
        let others = published.addresses.iter();
        others.map(|it| it.address).all(|it| own <= rank(it))
    }

    /// Records that the answer to a request, which began at `begun_at`, went on
    /// or is complete.
    pub fn record_sound(&self, contents: &[PartId], begun_at: Timestamp) {
        let now = self.clock.now();
        let mut state = self.state();
        state.record_sound(now, contents, begun_at);
        // The others refuse requests with a part until they know that it is sound.
        if log_changes(&mut state) {
            self.report_due.notify_one();
        }
    }

    /// Finds out whether an upstream crashed that broke off a request before or
    /// shortly after the beginning of its answer.
    pub fn suspect_crash(
        self: &Arc<Self>,
        upstream: UpstreamId,
        address: SocketAddr,
        request: RequestId,
        contents: Vec<PartId>,
    ) {
        let quarantine = self.clone();
        tokio::spawn(async move {
            if !refuses_connections(address).await
                || quarantine.relays.is_reached_elsewhere(address).await
            {
                return;
            }
            log_decision!(
                LogEvent::EngineCrashed,
                { request = request, upstream = upstream, address = address },
                "the upstream refuses connections after it broke off a request",
            );
            quarantine.record_crash(upstream, &request, contents);
        });
    }

    fn record_crash(
        &self,
        upstream: UpstreamId,
        request: &RequestId,
        contents: Vec<PartId>,
    ) {
        let now = self.clock.now();
        // Processes of services have no incarnation; the time of a crash tells
        // one from the next.
        let process = UpstreamProcess {
            upstream,
            incarnation: Incarnation::new(unix_millis()),
        };
        let prompt = SuspectPrompt {
            attempt: xxh3_64(request.as_str().as_bytes()),
            parts: contents,
        };
        let mut state = self.state();
        state.record_crash(now, process, prompt);
        log_changes(&mut state);
        drop(state);
        self.report_due.notify_one();
    }

    /// Applies the report of another instance, and returns this instance's.
    pub fn exchange(&self, report: PromptReport) -> PromptReport {
        let now = self.clock.now();
        let mut state = self.state();
        state.merge(now, report);
        log_changes(&mut state);
        state.report(now, true)
    }

    fn report(&self) -> PromptReport {
        let now = self.clock.now();
        self.state().report(now, true)
    }

    /// Exchanges reports with the other instances until the process ends.
    pub async fn share(self: Arc<Self>, handle: CoreHandle, peers: PeerPool) {
        loop {
            let report_due = self.report_due.notified();
            tokio::select! {
                () = report_due => {
                    for _ in 0..REPORTS_PER_CRASH {
                        let all = handle.published().peers.clone();
                        self.exchange_with(&peers, all).await;
                        tokio::time::sleep(REPORT_INTERVAL).await;
                    }
                }
                () = tokio::time::sleep(EXCHANGE_INTERVAL) => {
                    let one = handle
                        .published()
                        .peers
                        .choose(&mut rand::rng())
                        .copied();
                    self.exchange_with(&peers, one).await;
                }
            }
        }
    }

    async fn exchange_with(
        &self,
        peers: &PeerPool,
        targets: impl IntoIterator<Item = SocketAddr>,
    ) {
        let report = self.report();
        let exchanges = targets.into_iter().map(|to| {
            let message = PeerRequest::ReportCrashes(report.clone());
            // An instance that does not respond learns of it from another one.
            peers.call(to, message, EXCHANGE_TIMEOUT)
        });
        let exchanges = futures::stream::iter(exchanges);
        let mut responses = exchanges.buffer_unordered(EXCHANGES_MAX);
        while let Some(response) = responses.next().await {
            if let Ok(PeerResponse::Crashes(report)) = response {
                let now = self.clock.now();
                let mut state = self.state();
                state.merge(now, report);
                log_changes(&mut state);
            }
        }
    }
}

fn refusal(found: &QuarantinedPrompt) -> Refusal {
    let text = format!(
        "requests with part {} crashed {} upstreams",
        found.part, found.crashes,
    );
    Refusal::new(RefusalCode::PromptQuarantined, text)
        .with_retry_after(found.retry_after)
}

/// Whether an upstream has crashed: one that accepts connections has only reset
/// one, and where nothing answers, this instance may be cut off.
async fn refuses_connections(address: SocketAddr) -> bool {
    for _ in 0..ROUNDS_MAX {
        match view_connection(address, OPEN_TIME).await {
            ConnectionView::Refused => return true,
            ConnectionView::Accepted | ConnectionView::Silent => return false,
            // Its listener may be about to close.
            ConnectionView::Dropped => {
                tokio::time::sleep(ROUND_INTERVAL).await;
            }
        }
    }
    false
}

/// Logs the changes since the last call; returns whether there are any.
fn log_changes(state: &mut PromptQuarantine) -> bool {
    let changes = state.take_changes();
    for change in &changes {
        log_change(change);
    }
    !changes.is_empty()
}

pub(crate) fn log_change(change: &QuarantineChange) {
    match change {
        QuarantineChange::Quarantined(report) => log_decision!(
            LogEvent::PartQuarantined,
            {
                part = report.part,
                crashes = report.crashes,
                last_crash_age_ms = report.age_ms,
            },
            "requests with the part are refused",
        ),
        QuarantineChange::Released(part) => log_decision!(
            LogEvent::PartReleased,
            { part = part },
            "requests with the part are sent again",
        ),
    }
}
