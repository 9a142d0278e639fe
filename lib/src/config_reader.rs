//! Reader of the `config` stream.
//!
//! [`ConfigReader`] holds the configuration and decides which offset to read
//! next. Where records are past the log's retention, it installs a snapshot
//! from the log or from a peer instead. It appends snapshots itself, so that
//! the log always retains one. It is ready once it has applied all records up
//! to the head of the log or, while the log is down, the newest state of the
//! peers that it asked.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    core::CallFailure,
    fleet::{ApplyOutcome, FleetRecord, FleetSnapshot, FleetState},
    ids::InstanceId,
    log_event::LogEvent,
    peer_api::{FetchStateRequest, FetchStateResponse},
    platform_api::{AppendResponse, RecordPage},
    units::{LogOffset, LogTime, Timestamp},
};

/// How long the log service may wait for a record before it returns an empty
/// page.
pub const LOG_WAIT: Duration = Duration::from_millis(500);
/// Time beyond [`LOG_WAIT`] after which a read counts as lost.
const READ_GRACE: Duration = Duration::from_secs(2);
/// Delay after a failed read; doubled with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Upper bound of the delay after a failed read. Several reads must fit into
/// [`CONFIRMATION_MAX_AGE`](crate::freshness::CONFIRMATION_MAX_AGE).
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Number of peers that are asked for their state at once while this instance
/// is not ready or records are missing.
const PEERS_PER_ROUND: usize = 3;
/// Timeout of a request for the state of a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a peer with a higher applied offset is asked for its state.
/// Reading the log usually takes less time.
const AHEAD_DELAY: Duration = Duration::from_millis(300);
/// Interval between two rounds of requests to peers.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// A snapshot is due when the newest one is older than the retention divided
/// by this number.
const SNAPSHOT_AGE_DIVISOR: u64 = 3;
/// Upper bound of the random delay before a snapshot: the retention divided by
/// this number.
const SNAPSHOT_DELAY_DIVISOR: u64 = 30;
/// Upper bound of the random delay before a snapshot, whatever the retention.
const SNAPSHOT_DELAY_MAX: Duration = Duration::from_secs(60);

/// Input of the [`ConfigReader`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReaderEvent {
    /// A read of the log has completed or failed.
    Read {
        /// When the read was sent.
        sent_at: Timestamp,
        /// Records, or why there are none.
        result: Result<RecordPage, CallFailure>,
    },
    /// A request for the state of a peer has completed or failed.
    PeerState {
        /// Peer that was asked.
        peer: InstanceId,
        /// Response; `None` if the request failed.
        answer: Option<FetchStateResponse>,
    },
    /// The gossip of a peer says which offset it has applied.
    PeerApplied {
        /// Sender of the gossip.
        peer: InstanceId,
        /// Highest offset that the peer has applied, if any.
        applied: Option<LogOffset>,
    },
    /// The append of a snapshot has completed or failed. After a failure the
    /// log may hold the snapshot all the same.
    SnapshotAppended(Result<AppendResponse, CallFailure>),
}

/// Output of the [`ConfigReader`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReaderAction {
    /// Read the `config` stream.
    Read {
        /// First offset to read.
        from: LogOffset,
        /// How long the log service may wait for a record before it returns
        /// an empty page.
        wait: Duration,
    },
    /// Ask a peer for its state.
    AskPeer {
        /// Peer to ask.
        peer: InstanceId,
        /// Request with the offset that the state must exceed; `None` requests
        /// any state.
        query: FetchStateRequest,
        /// How long to wait for the response.
        timeout: Duration,
    },
    /// Append a snapshot to the `config` stream.
    AppendSnapshot(serde_json::Value),
    /// A page of the log was applied.
    LogAnswered {
        /// When the read was sent.
        sent_at: Timestamp,
        /// Whether all records up to the head of the log are applied.
        confirmed: bool,
    },
    /// The record at an offset was applied, with this outcome.
    RecordApplied(LogOffset, ApplyOutcome),
    /// Log an event with details.
    Log(LogEvent, Arc<str>),
}

/// Reads the `config` stream and holds the configuration.
#[derive(Debug)]
pub struct ConfigReader {
    state: Arc<FleetState>,
    peers: Vec<InstanceId>,
    complete: bool,
    log_failing: bool,
    failures: u32,
    /// When the read in flight counts as lost; `None` if there is none.
    read_lost_at: Option<Timestamp>,
    read_due: Timestamp,
    at_head: bool,
    /// While records are missing, the next offset to search for a snapshot.
    scan: Option<LogOffset>,
    /// Requests for the state of peers in flight, with their timeouts.
    peer_requests: BTreeMap<InstanceId, Timestamp>,
    peer_state_seen: bool,
    peer_request_due: Timestamp,
    /// A peer with a higher applied offset, that offset, and since when this
    /// instance has been behind.
    peer_ahead: Option<(InstanceId, LogOffset, Timestamp)>,
    snapshot_due: Option<Timestamp>,
    rng: ChaCha8Rng,
}

impl ConfigReader {
    /// A reader without a configuration. `seed` is that of the random number
    /// generator.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Arc::default(),
            peers: Vec::new(),
            complete: false,
            log_failing: false,
            failures: 0,
            read_lost_at: None,
            read_due: Timestamp::ZERO,
            at_head: false,
            scan: None,
            peer_requests: BTreeMap::new(),
            peer_state_seen: false,
            peer_request_due: Timestamp::ZERO,
            peer_ahead: None,
            snapshot_due: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Configuration applied so far.
    pub fn state(&self) -> &Arc<FleetState> {
        &self.state
    }

    /// Whether the last read of the log succeeded. True before the first.
    pub fn log_available(&self) -> bool {
        !self.log_failing
    }

    /// Whether the configuration was read completely and is not empty.
    pub fn is_ready(&self) -> bool {
        self.complete && self.state.applied.is_some()
    }

    /// Sets the peers that can be asked for their state.
    pub fn set_peers(&mut self, peers: Vec<InstanceId>) {
        self.peers = peers;
    }

    /// Response to a peer that asks for the state. Contains a snapshot only if
    /// this reader is ready and has applied a higher offset than the peer.
    /// `listing` is the last instance list as JSON text.
    pub fn answer_state(
        &self,
        query: &FetchStateRequest,
        listing: Option<Arc<str>>,
    ) -> FetchStateResponse {
        let newer = self.is_ready() && self.state.applied > query.applied;
        let snapshot = newer.then(|| {
            let snapshot = self.state.snapshot();
            let json = serde_json::to_string(&snapshot);
            json.expect("state has text keys").into()
        });
        FetchStateResponse {
            snapshot,
            listing,
            capabilities: Vec::new(),
        }
    }

    /// Processes an event and returns what to do.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ReaderEvent,
    ) -> Vec<ReaderAction> {
        let mut actions = Vec::new();
        match event {
            ReaderEvent::Read { sent_at, result } => {
                self.read_lost_at = None;
                match result {
                    Ok(page) => {
                        self.apply_page(now, sent_at, page, &mut actions);
                    }
                    Err(failure) => {
                        self.read_failed(now, &failure, &mut actions);
                    }
                }
            }
            ReaderEvent::PeerState { peer, answer } => {
                self.peer_requests.remove(&peer);
                if let Some(answer) = answer {
                    self.install_peer_state(&peer, answer, &mut actions);
                }
                self.complete_from_peers();
            }
            ReaderEvent::PeerApplied { peer, applied } => {
                self.record_peer_offset(now, peer, applied);
            }
            ReaderEvent::SnapshotAppended(Ok(answer)) => {
                let text = format!(
                    "snapshot appended at offset {}",
                    answer.first_offset
                );
                let event = LogEvent::SnapshotAppended;
                actions.push(ReaderAction::Log(event, text.into()));
            }
            // The snapshot is scheduled again after the next read, with a new
            // delay.
            ReaderEvent::SnapshotAppended(Err(_)) => {}
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Starts the reads, requests to peers and appends that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ReaderAction> {
        let mut actions = Vec::new();
        if self.read_lost_at.is_some_and(|lost| now >= lost) {
            self.read_lost_at = None;
        }
        self.peer_requests.retain(|_, due| now < *due);
        self.complete_from_peers();
        self.ask_peers(now, &mut actions);
        self.append_snapshot(now, &mut actions);
        if self.read_lost_at.is_none() && now >= self.read_due {
            let behind = !self.at_head;
            let wait = if behind { Duration::ZERO } else { LOG_WAIT };
            let from = self.scan.unwrap_or(self.state.next_offset());
            self.read_lost_at = Some(now.after(wait + READ_GRACE));
            actions.push(ReaderAction::Read { from, wait });
        }
        actions
    }

    /// When [`Self::tick`] must be called next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let read = self.read_lost_at.unwrap_or(self.read_due);
        let peer_requests = self.peer_requests.values().copied();
        let peer_ahead = self
            .peer_ahead
            .iter()
            .map(|(_, _, at)| at.after(AHEAD_DELAY));
        let asks = self.may_ask_for_state() && !self.peers.is_empty();
        let ask = asks.then_some(self.peer_request_due);
        let ask = ask
            .into_iter()
            .chain(peer_ahead.map(|at| at.max(self.peer_request_due)));
        let timers = peer_requests.chain(ask).chain(self.snapshot_due);
        timers.chain([read]).min()
    }

    fn apply_page(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        page: RecordPage,
        actions: &mut Vec<ReaderAction>,
    ) {
        self.failures = 0;
        self.read_due = now;
        if std::mem::take(&mut self.log_failing) {
            let event = LogEvent::LogAvailable;
            actions.push(ReaderAction::Log(
                event,
                "log service is available again".into(),
            ));
        }
        self.apply_records(&page, actions);
        let confirmed = self.state.next_offset() == page.head;
        self.at_head = confirmed;
        self.complete |= confirmed;
        self.advance_scan(now, &page);
        if self.state.next_offset() > page.head {
            self.read_due = now.after(BACKOFF_MAX);
            let next = self.state.next_offset();
            let text = format!(
                "log head {} is below the next offset {next}",
                page.head
            );
            let event = LogEvent::LogUnavailable;
            actions.push(ReaderAction::Log(event, text.into()));
        }
        let answered = ReaderAction::LogAnswered { sent_at, confirmed };
        actions.push(answered);
        self.schedule_snapshot(now, page.now_ms, page.retention_ms);
    }

    fn apply_records(
        &mut self,
        page: &RecordPage,
        actions: &mut Vec<ReaderAction>,
    ) {
        for record in &page.records {
            if record.offset < self.state.next_offset() {
                continue;
            }
            let state = Arc::make_mut(&mut self.state);
            let outcome = state.apply(record);
            if let ApplyOutcome::Skipped { reason } = &outcome {
                let text = format!("offset {}: {reason}", record.offset);
                let event = LogEvent::RecordSkipped;
                actions.push(ReaderAction::Log(event, text.into()));
            }
            if outcome == ApplyOutcome::Gap {
                continue;
            }
            actions.push(ReaderAction::RecordApplied(record.offset, outcome));
            if state.applied < Some(record.offset) {
                // A snapshot was installed whose state ends below this
                // record. Reading continues after the state.
                self.scan = None;
                return;
            }
        }
    }

    /// While records are missing, searches the log for a snapshot. At the head
    /// it starts again at the earliest record after a delay.
    fn advance_scan(&mut self, now: Timestamp, page: &RecordPage) {
        if page.earliest <= self.state.next_offset() {
            self.scan = None;
            return;
        }
        let last = page.records.last().map(|record| record.offset.next());
        let next = last.or(self.scan).unwrap_or(page.earliest);
        self.scan = Some(next.max(page.earliest));
        if next >= page.head {
            self.scan = Some(page.earliest);
            self.read_due = now.after(BACKOFF_MAX);
        }
    }

    fn read_failed(
        &mut self,
        now: Timestamp,
        failure: &CallFailure,
        actions: &mut Vec<ReaderAction>,
    ) {
        let factor = 1 << self.failures.min(8);
        self.failures += 1;
        let longest = (BACKOFF_MIN * factor).min(BACKOFF_MAX);
        let delay = longest.mul_f64(self.rng.random_range(0.5..=1.0));
        self.read_due = now.after(delay);
        if !std::mem::replace(&mut self.log_failing, true) {
            let event = LogEvent::LogUnavailable;
            actions.push(ReaderAction::Log(event, failure.message.clone()));
        }
    }

    fn install_peer_state(
        &mut self,
        peer: &InstanceId,
        answer: FetchStateResponse,
        actions: &mut Vec<ReaderAction>,
    ) {
        let Some(text) = answer.snapshot else { return };
        let parsed = serde_json::from_str::<FleetSnapshot>(&text);
        let installed = match parsed {
            Ok(snapshot) if snapshot.state.applied <= self.state.applied => {
                self.peer_state_seen = true;
                return;
            }
            Ok(snapshot) => Arc::make_mut(&mut self.state)
                .install(snapshot)
                .map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match installed {
            Ok(()) => {
                self.scan = None;
                self.peer_state_seen = true;
            }
            Err(error) => {
                let text = format!("state from {peer}: {error}");
                let event = LogEvent::RecordSkipped;
                actions.push(ReaderAction::Log(event, text.into()));
            }
        }
    }

    /// Marks the configuration as complete if the log is down, a peer has sent
    /// its state, and all peers that were asked have responded or timed out.
    fn complete_from_peers(&mut self) {
        let settled = self.peer_state_seen && self.peer_requests.is_empty();
        if settled && self.log_failing {
            self.complete = true;
        }
    }

    /// Whether another round of requests to peers may start because this
    /// reader is not ready. Once a peer has sent its state, those that were
    /// asked must settle first: with rounds that overlap, one of several slow
    /// peers might always be in flight.
    fn may_ask_for_state(&self) -> bool {
        let waits = self.peer_state_seen && !self.peer_requests.is_empty();
        !self.is_ready() && !waits
    }

    fn ask_peers(&mut self, now: Timestamp, actions: &mut Vec<ReaderAction>) {
        if now < self.peer_request_due {
            return;
        }
        let mut peers = Vec::new();
        if self.may_ask_for_state() || self.scan.is_some() {
            let chosen =
                self.peers.choose_multiple(&mut self.rng, PEERS_PER_ROUND);
            peers.extend(chosen.cloned());
        }
        if let Some((peer, offset, since)) = &self.peer_ahead {
            if Some(*offset) <= self.state.applied {
                self.peer_ahead = None;
            } else if now >= since.after(AHEAD_DELAY) {
                peers.push(peer.clone());
                self.peer_ahead = None;
            }
        }
        let ready = self.is_ready();
        for peer in peers {
            self.peer_request_due = now.after(PEER_REQUEST_INTERVAL);
            // A request in flight keeps its timeout: were it extended in each
            // round, the peer of a lost request would never be asked again.
            if let Entry::Vacant(request) =
                self.peer_requests.entry(peer.clone())
            {
                request.insert(now.after(PEER_TIMEOUT));
                // Ask for a whole state until ready: while the log is down,
                // only that shows that what was read so far is complete.
                let applied = self.state.applied.filter(|_| ready);
                actions.push(ReaderAction::AskPeer {
                    peer,
                    query: FetchStateRequest { applied },
                    timeout: PEER_TIMEOUT,
                });
            }
        }
    }

    fn record_peer_offset(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        applied: Option<LogOffset>,
    ) {
        let Some(offset) = applied.filter(|_| applied > self.state.applied)
        else {
            return;
        };
        let since =
            self.peer_ahead.as_ref().map_or(now, |(_, _, since)| *since);
        self.peer_ahead = Some((peer, offset, since));
    }

    fn schedule_snapshot(
        &mut self,
        now: Timestamp,
        log_now: LogTime,
        retention_ms: u64,
    ) {
        let Some(snapshot_at) = self.state.snapshot_at else {
            return;
        };
        let age = log_now.saturating_sub(snapshot_at).get();
        if !self.at_head || age <= retention_ms / SNAPSHOT_AGE_DIVISOR {
            self.snapshot_due = None;
            return;
        }
        let longest =
            Duration::from_millis(retention_ms / SNAPSHOT_DELAY_DIVISOR);
        let longest = longest.min(SNAPSHOT_DELAY_MAX);
        let rng = &mut self.rng;
        self.snapshot_due.get_or_insert_with(|| {
            now.after(longest.mul_f64(rng.random_range(0.0..=1.0)))
        });
    }

    fn append_snapshot(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<ReaderAction>,
    ) {
        if !self.at_head || self.snapshot_due.is_none_or(|due| now < due) {
            return;
        }
        self.snapshot_due = None;
        let record = FleetRecord::Snapshot(Box::new(self.state.snapshot()));
        let value = serde_json::to_value(record);
        let value = value.expect("state has text keys");
        actions.push(ReaderAction::AppendSnapshot(value));
    }
}
