//! A fleet that counts begins and reports them, in virtual time.
//!
//! Instances, network, log and the service that takes the reports are simulated
//! in steps of [`STEP_MS`]. The lease is granted by the simulation: it moves to
//! another candidate some time after its holder was lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        duty::FencingToken,
        duty_lease::lease_candidates,
        fleet_clock::WallTime,
        routing_config::WorkspaceName,
        usage_counts::{UsageSchedule, UsageSender, WindowNumber},
        usage_exchange::{
            OutgoingMessage, UsageExchange, UsageMembers, UsageMessage,
        },
        usage_report::{
            ReportCounts, ReportEvent, ReportStep, UsageRecord, UsageReporter,
        },
        wire::{AppendResult, LogTail},
    },
    units::{ByteSize, Incarnation, LogOffset, Timestamp},
};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the simulation.
const STEP_MS: u64 = 5;
/// True time at the begin: 2.4 s into a window.
pub(crate) const START_MS: u64 = 1_790_000_002_400;
pub(crate) const WINDOW_MS: u64 = 5_000;
const TICK_MS: u64 = 250;
/// Time from the loss of a holder until its lease expires, and until another
/// instance claims it.
const LEASE_END_MS: u64 = 2_500;
const CLAIM_MS: u64 = 3_500;
/// Time without heartbeats after which a member is not listed.
const SILENT_MS: u64 = 2_000;
const CALL_TIMEOUT_MS: u64 = 800;
pub(crate) const TABLE_LIMIT: ByteSize = ByteSize::new(64 << 20);

pub(crate) fn schedule() -> UsageSchedule {
    UsageSchedule {
        window: Duration::from_millis(WINDOW_MS),
        late: Duration::from_secs(10),
    }
}

pub(crate) fn address(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + index as u32))
}

pub(crate) fn workspace(index: usize) -> WorkspaceName {
    format!("space{index}").parse().expect("a valid name")
}

/// What a call of a holder waits for.
enum Pending {
    Append {
        result: Option<AppendResult>,
    },
    Read {
        from: LogOffset,
        result: Option<LogTail>,
    },
    Send {
        window: WindowNumber,
        accepted: bool,
    },
}

pub(crate) struct Node {
    pub(crate) exchange: UsageExchange,
    reporter: UsageReporter,
    started_ms: u64,
    /// Difference of its time of day to the true time.
    pub(crate) wall_offset_ms: i64,
    pub(crate) alive: bool,
    /// Whether it neither sends nor receives anything.
    pub(crate) cut: bool,
    /// Whether its build knows no usage messages.
    pub(crate) old_build: bool,
    /// When it was cut off or killed.
    lost_at: u64,
    pending: Option<(u64, Pending)>,
    wait_until: u64,
}

impl Node {
    fn now(&self, now_ms: u64) -> Timestamp {
        // Each instance has another origin.
        Timestamp::new((now_ms - self.started_ms + 1_234) * 1_000)
    }

    fn wall(&self, now_ms: u64) -> WallTime {
        WallTime::new(now_ms.saturating_add_signed(self.wall_offset_ms))
    }

    /// Reports that wait in memory to be sent.
    pub(crate) fn reports_with_counts(&self) -> usize {
        self.reporter.kept_reports()
    }

    fn is_up(&self) -> bool {
        self.alive && !self.cut
    }
}

/// What goes wrong between the instances and with the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Share of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Share that arrives twice.
    pub(crate) doubled: f64,
    /// Longest time on the network; datagrams overtake each other.
    pub(crate) delay_ms: u64,
    /// Share of the appends whose response is lost.
    pub(crate) unanswered: f64,
    /// Longest time after which such an append is carried out; every other one
    /// never is.
    pub(crate) append_delay_ms: u64,
    pub(crate) store_down: bool,
    pub(crate) service_down: bool,
}

pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) faults: Faults,
    rng: ChaCha8Rng,
    datagrams: BTreeMap<(u64, u64), (IpAddr, IpAddr, UsageMessage)>,
    sequence: u64,
    pub(crate) log: Vec<Bytes>,
    late_appends: Vec<(u64, LogOffset, Bytes)>,
    pub(crate) holder: Option<usize>,
    /// When an instance may claim the lease that nobody holds.
    claim_at: u64,
    token: u64,
    /// First accepted report of each window, and when it came.
    pub(crate) accepted: BTreeMap<u64, (ReportCounts, u64)>,
    pub(crate) repeats: u64,
    /// Begins by window and workspace.
    pub(crate) truth: BTreeMap<u64, ReportCounts>,
    pub(crate) events: Vec<ReportEvent>,
    calls: Vec<(u64, usize, WindowNumber, WorkspaceName, Incarnation)>,
    pub(crate) rate_per_step: f64,
    pub(crate) workspaces: usize,
    pub(crate) datagrams_sent: u64,
    /// Holder that is killed as soon as the log has this many records.
    pub(crate) kill_at_records: Option<usize>,
    incarnations: u64,
    /// Time at both ends of a window in which no request begins, since the time
    /// on the network makes the clocks of instances differ.
    pub(crate) boundary_ms: u64,
    /// Whether the log has lost records, which a report may lack then.
    is_restored: bool,
}

impl Fleet {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: START_MS,
            nodes: Vec::new(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            datagrams: BTreeMap::new(),
            sequence: 0,
            log: Vec::new(),
            late_appends: Vec::new(),
            holder: None,
            claim_at: START_MS + CLAIM_MS,
            token: 0,
            accepted: BTreeMap::new(),
            repeats: 0,
            truth: BTreeMap::new(),
            events: Vec::new(),
            calls: Vec::new(),
            rate_per_step: 0.4,
            workspaces: 4,
            datagrams_sent: 0,
            kill_at_records: None,
            incarnations: 0,
            boundary_ms: 20,
            is_restored: false,
        };
        for index in 0..count {
            let node = fleet.new_node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&mut self, index: usize) -> Node {
        let started_ms = self.now_ms;
        self.incarnations += 1;
        let mut node = Node {
            exchange: UsageExchange::new(
                Timestamp::new(1_234_000),
                WallTime::new(started_ms),
                UsageSender {
                    ip: address(index),
                    incarnation: Incarnation::new(self.incarnations),
                },
                schedule(),
                TABLE_LIMIT,
            ),
            reporter: UsageReporter::new(schedule(), WindowNumber::ZERO),
            started_ms,
            wall_offset_ms: 0,
            alive: true,
            cut: false,
            old_build: false,
            lost_at: 0,
            pending: None,
            wait_until: 0,
        };
        let window = node.exchange.window(node.now(started_ms));
        node.reporter = UsageReporter::new(schedule(), window);
        node
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.nodes[index].lost_at = self.now_ms;
    }

    pub(crate) fn cut(&mut self, index: usize) {
        self.nodes[index].cut = true;
        self.nodes[index].lost_at = self.now_ms;
    }

    pub(crate) fn start(&mut self, index: usize) {
        if self.holder == Some(index) {
            self.holder = None;
            self.claim_at = self.now_ms + CLAIM_MS;
        }
        self.nodes[index] = self.new_node(index);
    }

    /// Restores the log from an earlier copy of itself, which lacks its last
    /// records. The holder, if it is up, claims the lease anew.
    pub(crate) fn restore_log(&mut self, lost: usize) {
        self.is_restored = true;
        self.log.truncate(self.log.len() - lost);
        self.late_appends.clear();
        self.token += 1 << 32;
        let token = FencingToken::new(self.token);
        let now_ms = self.now_ms;
        if let Some(holder) = self.holder
            && self.nodes[holder].is_up()
        {
            let node = &mut self.nodes[holder];
            node.pending = None;
            node.reporter.record_restore();
            let known = node.exchange.reported_through();
            node.exchange.set_holding(Some(token));
            node.reporter.begin_term(node.now(now_ms), token, known);
        }
    }

    /// Number of records from the first one of a window on.
    pub(crate) fn records_from(&self, window: u64) -> usize {
        let is_first = |bytes: &Bytes| {
            let record = serde_json::from_slice::<UsageRecord>(bytes);
            matches!(record, Ok(UsageRecord::Report { window: of, .. })
                if of.get() == window)
        };
        let before = self.log.iter().take_while(|it| !is_first(it)).count();
        self.log.len() - before
    }

    /// Instances that may claim the lease.
    pub(crate) fn candidates(&self) -> Vec<usize> {
        let indices =
            (0..self.nodes.len()).filter(|it| self.nodes[*it].is_up());
        let up: Vec<_> = indices.map(address).collect();
        let first = lease_candidates(&up);
        (0..self.nodes.len())
            .filter(|it| first.contains(&address(*it)))
            .collect()
    }

    pub(crate) fn holder(&self) -> usize {
        self.holder.expect("an instance holds the lease")
    }

    /// Runs the simulation for some time.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let until = self.now_ms + duration_ms;
        while self.now_ms < until {
            self.step();
        }
    }

    /// Runs the simulation to a time after the end of the current window.
    pub(crate) fn run_to(&mut self, after_end_ms: u64) {
        let end = (self.now_ms / WINDOW_MS + 1) * WINDOW_MS;
        self.run(end + after_end_ms - self.now_ms);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.grant_lease();
        self.begin_requests();
        self.deliver();
        self.late_appends();
        for index in 0..self.nodes.len() {
            let phase = index as u64 * 35 % TICK_MS;
            if (self.now_ms + phase) % TICK_MS < STEP_MS {
                self.tick(index);
            }
        }
        if let Some(holder) = self.holder {
            self.report(holder);
        }
        let is_reached =
            self.kill_at_records.is_some_and(|it| self.log.len() >= it);
        if let (true, Some(holder)) = (is_reached, self.holder) {
            self.kill_at_records = None;
            self.kill(holder);
        }
    }

    fn grant_lease(&mut self) {
        if let Some(holder) = self.holder {
            let node = &mut self.nodes[holder];
            if node.is_up() {
                return;
            }
            if self.now_ms >= node.lost_at + LEASE_END_MS {
                node.exchange.set_holding(None);
                node.reporter.end_term();
            }
            if self.now_ms < node.lost_at + CLAIM_MS {
                return;
            }
        } else if self.now_ms < self.claim_at || self.faults.store_down {
            return;
        }
        let up: Vec<_> = (0..self.nodes.len())
            .filter(|it| self.nodes[*it].is_up() && !self.nodes[*it].old_build)
            .map(address)
            .collect();
        let Some(first) = lease_candidates(&up).first().copied() else {
            self.holder = None;
            return;
        };
        let index = (0..self.nodes.len()).find(|it| address(*it) == first);
        let index = index.expect("a candidate is an instance");
        self.token += 1;
        let token = FencingToken::new(self.token);
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        let known = node.exchange.reported_through();
        node.exchange.set_holding(Some(token));
        node.pending = None;
        node.reporter.begin_term(node.now(now_ms), token, known);
        self.holder = Some(index);
    }

    fn begin_requests(&mut self) {
        let position = self.now_ms % WINDOW_MS;
        let inside = self.boundary_ms..WINDOW_MS - self.boundary_ms;
        let mut count = self.rate_per_step;
        if !inside.contains(&position) {
            count = 0.0;
        }
        while count > 0.0 {
            if count >= 1.0 || self.rng.random_bool(count) {
                self.begin_request();
            }
            count -= 1.0;
        }
        let due: Vec<_> = self
            .calls
            .extract_if(.., |(at, ..)| *at <= self.now_ms)
            .collect();
        for (_, index, window, name, incarnation) in due {
            let node = &mut self.nodes[index];
            // Its process may have ended meanwhile.
            if node.alive && node.started_ms == incarnation.get() {
                node.exchange.end_call(window, Some(&name));
            }
        }
    }

    /// Begins a request of a random workspace on a random instance: a stream, or
    /// a call that is answered later.
    fn begin_request(&mut self) {
        let up: Vec<_> = (0..self.nodes.len())
            .filter(|it| self.nodes[*it].is_up() && !self.nodes[*it].old_build)
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        let name = workspace(self.rng.random_range(0..self.workspaces));
        let node = &mut self.nodes[index];
        let now = node.now(self.now_ms);
        let window = self.now_ms / WINDOW_MS;
        if self.rng.random_bool(0.2) {
            let began = node.exchange.begin_call(now);
            let answer = self.now_ms + self.rng.random_range(20..300);
            let incarnation = Incarnation::new(node.started_ms);
            let call = (answer, index, began, name.clone(), incarnation);
            self.calls.push(call);
        } else {
            node.exchange.count(now, &name);
        }
        let counts = self.truth.entry(window).or_default();
        *counts.entry(name).or_default() += 1;
    }

    fn tick(&mut self, index: usize) {
        if !self.nodes[index].alive || self.nodes[index].old_build {
            return;
        }
        let now_ms = self.now_ms;
        let is_heard =
            |node: &Node| node.is_up() || now_ms < node.lost_at + SILENT_MS;
        let hears = is_heard(&self.nodes[index]);
        let listed = |node: &Node| hears && is_heard(node);
        let others = (0..self.nodes.len()).filter(|it| *it != index);
        let alive: Vec<_> = others
            .filter(|it| listed(&self.nodes[*it]))
            .map(address)
            .collect();
        let mut serving = alive.clone();
        serving.push(address(index));
        let candidates = lease_candidates(&serving);
        let node = &mut self.nodes[index];
        let (now, wall) = (node.now(now_ms), node.wall(now_ms));
        if let Some(window) = node.reporter.reported_through()
            && node.exchange.reported_through() < Some(window)
        {
            node.exchange.record_reported(window);
        }
        let members = UsageMembers {
            alive: &alive,
            candidates: &candidates,
        };
        let messages = node.exchange.next_messages(now, wall, members);
        self.send(index, messages);
    }

    pub(crate) fn send(
        &mut self,
        index: usize,
        messages: Vec<OutgoingMessage>,
    ) {
        for OutgoingMessage { targets, message } in messages {
            for target in targets {
                self.datagrams_sent += 1;
                let copies =
                    1 + u32::from(self.rng.random_bool(self.faults.doubled));
                for _ in 0..copies {
                    let is_lost = self.rng.random_bool(self.faults.loss);
                    if is_lost || !self.nodes[index].is_up() {
                        continue;
                    }
                    let delay = self.rng.random_range(0..=self.faults.delay_ms);
                    self.sequence += 1;
                    let key = (self.now_ms + delay, self.sequence);
                    let sent = (address(index), target, message.clone());
                    self.datagrams.insert(key, sent);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.datagrams.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (from, to, message) = entry.remove();
            let index = (0..self.nodes.len()).find(|it| address(*it) == to);
            let index = index.expect("targets are instances");
            let node = &mut self.nodes[index];
            if !node.is_up() || node.old_build {
                continue;
            }
            let (now, wall) = (node.now(self.now_ms), node.wall(self.now_ms));
            let replies = node.exchange.receive(now, wall, from, &message);
            self.send(index, replies);
        }
    }

    fn late_appends(&mut self) {
        let due: Vec<_> = self
            .late_appends
            .extract_if(.., |(at, ..)| *at <= self.now_ms)
            .collect();
        for (_, at, record) in due {
            self.append(at, record);
        }
    }

    fn append(&mut self, at: LogOffset, record: Bytes) -> AppendResult {
        let end = LogOffset::new(self.log.len() as u64);
        if at != end {
            return AppendResult::Conflict(Some(end));
        }
        self.log.push(record);
        AppendResult::Appended(end.next())
    }

    /// Carries out the next step of the holder.
    fn report(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        let now = node.now(now_ms);
        let time = node.exchange.time(now);
        if let Some((at, pending)) = node.pending.take() {
            if at > now_ms {
                node.pending = Some((at, pending));
                return;
            }
            match pending {
                Pending::Append { result } => {
                    node.reporter.record_append(now, result);
                }
                Pending::Read { from, result } => {
                    node.reporter.record_read(now, from, result);
                }
                Pending::Send { window, accepted } => {
                    node.reporter.record_sent(now, time, window, accepted);
                }
            }
        }
        self.events.extend(node.reporter.take_events());
        if now_ms < node.wait_until {
            return;
        }
        let step = node.reporter.next_step(now, time, node.exchange.table());
        let is_cut = node.cut;
        let done = now_ms + 2 * STEP_MS;
        let lost = now_ms + CALL_TIMEOUT_MS;
        let store_down = self.faults.store_down || is_cut;
        let pending = match step {
            ReportStep::Wait(pause) => {
                let pause = pause.as_millis() as u64;
                self.nodes[index].wait_until = now_ms + pause;
                return;
            }
            ReportStep::Append { .. } if store_down => {
                (lost, Pending::Append { result: None })
            }
            ReportStep::Append { at, record } => {
                if self.rng.random_bool(self.faults.unanswered) {
                    if self.rng.random_bool(0.5) {
                        let delay = self.faults.append_delay_ms;
                        let delay = self.rng.random_range(0..=delay);
                        let late = (now_ms + delay, at, record);
                        self.late_appends.push(late);
                    }
                    (lost, Pending::Append { result: None })
                } else {
                    let result = Some(self.append(at, record));
                    (done, Pending::Append { result })
                }
            }
            ReportStep::Read { from } if store_down => {
                (lost, Pending::Read { from, result: None })
            }
            ReportStep::Read { from } => {
                let result = Some(self.read(from));
                (done, Pending::Read { from, result })
            }
            ReportStep::Send { window, counts } => {
                let accepted = !self.faults.service_down && !is_cut;
                if accepted {
                    self.accept(window, &counts);
                }
                (done, Pending::Send { window, accepted })
            }
        };
        self.nodes[index].pending = Some(pending);
    }

    /// Up to four records, as a page.
    fn read(&self, from: LogOffset) -> LogTail {
        let end = self.log.len();
        let first = from.get() as usize;
        if first > end {
            return LogTail::Gap {
                first: Some(LogOffset::ZERO),
            };
        }
        let last = (first + 4).min(end);
        LogTail::Records {
            records: self.log[first..last].to_vec(),
            next: LogOffset::new(last as u64),
        }
    }

    fn accept(&mut self, window: WindowNumber, counts: &ReportCounts) {
        if !self.is_restored {
            let record = self.first_record(window);
            assert_eq!(record.as_ref(), Some(counts), "window {window}");
        }
        match self.accepted.get(&window.get()) {
            Some((first, _)) => {
                assert_eq!(first, counts, "window {window} has two reports");
                self.repeats += 1;
            }
            None => {
                let report = (counts.clone(), self.now_ms);
                self.accepted.insert(window.get(), report);
            }
        }
    }

    /// Counts of the first record of a window.
    fn first_record(&self, window: WindowNumber) -> Option<ReportCounts> {
        let records = self.log.iter().filter_map(|bytes| {
            serde_json::from_slice::<UsageRecord>(bytes).ok()
        });
        let mut counts = records.filter_map(|record| match record {
            UsageRecord::Report {
                window: of, counts, ..
            } if of == window => Some(counts),
            _ => None,
        });
        let counts = counts.next()?.into_iter();
        let named =
            counts.map(|(name, it)| (name.parse().expect("a valid name"), it));
        Some(named.collect())
    }

    /// Windows from the first with a begin to the last that is due.
    pub(crate) fn due_windows(&self) -> BTreeSet<u64> {
        let first = START_MS / WINDOW_MS;
        let last = (self.now_ms - 10_000) / WINDOW_MS;
        (first..last).collect()
    }

    /// Begins that were reported less what there were, in each due window.
    pub(crate) fn differences(&self) -> BTreeMap<u64, i64> {
        let windows = self.due_windows().into_iter();
        windows
            .map(|window| {
                let sum = |counts: Option<&ReportCounts>| {
                    counts.map_or(0, |it| it.values().sum::<u64>() as i64)
                };
                let report = self.accepted.get(&window).map(|(it, _)| it);
                (window, sum(report) - sum(self.truth.get(&window)))
            })
            .collect()
    }

    /// Checks that every due window was reported in time.
    pub(crate) fn check_in_time(&self) {
        for window in self.due_windows() {
            let Some((_, at)) = self.accepted.get(&window) else {
                panic!("window {window} has no report");
            };
            let due = (window + 1) * WINDOW_MS + 10_000;
            assert!(*at <= due, "window {window} is {} ms late", at - due);
        }
    }

    /// Checks that every report that is due is exact.
    pub(crate) fn check_exact(&self) {
        self.check_in_time();
        for window in self.due_windows() {
            let report = &self.accepted[&window].0;
            let truth = self.truth.get(&window).cloned().unwrap_or_default();
            assert_eq!(report, &truth, "window {window}");
        }
    }
}
