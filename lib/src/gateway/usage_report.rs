//! Reports of the begins in each window, as the holder of the lease makes them.
//!
//! A report is appended to a log of the store before it is sent, at the offset
//! after the last record that was read. So each window has one first record,
//! whoever appended it, and every holder sends the counts of that record. A
//! second record says that the report was accepted. Each record names the first
//! offset that a later holder has to read.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;

use super::{
    duty::FencingToken,
    fleet_clock::FleetTime,
    routing_config::WorkspaceName,
    usage_counts::{UsageSchedule, UsageTable, WindowNumber},
    wire::{AppendResult, LogTail},
};
use crate::{
    units::{LogOffset, Timestamp},
    value_type,
};

/// Time after the end of a window before which no report is prepared. Counts
/// that were sent at the end are under way.
const PREPARE_DELAY: Duration = Duration::from_millis(500);
/// Time after the begin of a term before which a window with missing counts is
/// not prepared. The members need it to learn of the holder and to send it
/// their counts.
const TERM_DELAY: Duration = Duration::from_millis(1_000);
/// Pause after a failed call to the store.
const LOG_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a report that was not accepted.
const SEND_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Pause if there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Reports whose counts are kept until they are sent. Those of further ones are
/// read from the log again, so that an outage of the service takes no memory.
const UNSENT_KEPT: usize = 8;
/// Windows whose reports are known to be accepted.
const SENT_KEPT: usize = 64;

/// Counts of a report by workspace.
pub type ReportCounts = BTreeMap<WorkspaceName, u64>;

value_type! {
    /// Record of the log of reports.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum UsageRecord {
        /// The first record: the fleet has started.
        Start {
            /// First window that is reported.
            window: WindowNumber,
        },
        /// The counts of a window. The first such record of a window counts.
        Report {
            /// The window.
            window: WindowNumber,
            /// Offset of the first record that a later holder has to read.
            unsent_from: LogOffset,
            /// Token under which the record was appended.
            token: FencingToken,
            /// Begins by workspace.
            counts: BTreeMap<Arc<str>, u64>,
        },
        /// The report of a window was accepted.
        Sent {
            /// The window.
            window: WindowNumber,
            /// Offset of the first record that a later holder has to read.
            unsent_from: LogOffset,
        },
    }
}

impl UsageRecord {
    fn encode(&self) -> Bytes {
        let text = serde_json::to_vec(self);
        text.expect("records contain only text and numbers").into()
    }

    fn unsent_from(&self) -> Option<LogOffset> {
        match self {
            Self::Start { .. } => None,
            Self::Report { unsent_from, .. }
            | Self::Sent { unsent_from, .. } => Some(*unsent_from),
        }
    }
}

/// What the holder does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportStep {
    /// Appends a record if the log ends at the offset, and passes the result to
    /// [`UsageReporter::record_append`].
    Append {
        /// Expected end of the log.
        at: LogOffset,
        /// The record.
        record: Bytes,
    },
    /// Reads records, and passes them to [`UsageReporter::record_read`].
    Read {
        /// Offset of the first record.
        from: LogOffset,
    },
    /// Sends the report of a window, and passes the result to
    /// [`UsageReporter::record_sent`].
    Send {
        /// The window.
        window: WindowNumber,
        /// Its counts.
        counts: Arc<ReportCounts>,
    },
    /// Asks again after the pause.
    Wait(Duration),
}

/// What happened to a report, for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportEvent {
    /// The counts of a window were collected.
    Prepared {
        /// The window.
        window: WindowNumber,
        /// Whether all members that were heard in the window have closed it.
        is_complete: bool,
        /// Workspaces with begins.
        workspaces: usize,
        /// Begins of all workspaces.
        begins: u64,
    },
    /// A report was accepted.
    Sent {
        /// The window.
        window: WindowNumber,
        /// Time after the end of the window.
        age: Duration,
        /// Whether the report was due before.
        is_late: bool,
    },
    /// Windows get no report, since nothing is known of them.
    Missed {
        /// First of the windows.
        first: WindowNumber,
        /// Number of windows.
        count: u64,
    },
    /// A record of the log cannot be read.
    Malformed {
        /// Its offset.
        offset: LogOffset,
    },
}

/// What is known of the log.
#[derive(Clone, Copy, Debug)]
enum LogView {
    /// Nothing.
    Unknown,
    /// The offset of its last record.
    Last(LogOffset),
    /// Its records before `next`; it extends to `end` at least.
    Reading {
        next: LogOffset,
        end: Option<LogOffset>,
    },
    /// All records; it ends at this offset.
    Current(LogOffset),
}

/// A report that has a record and was not accepted yet.
#[derive(Clone, Debug)]
struct LoggedReport {
    offset: LogOffset,
    /// `None` if it has to be read again.
    counts: Option<Arc<ReportCounts>>,
}

/// State while this instance holds the lease.
#[derive(Clone, Debug)]
struct ReportTerm {
    token: FencingToken,
    begun_at: Timestamp,
    log: LogView,
    /// Time of the next call to the store, after a failed one.
    log_retry_at: Timestamp,
    /// Record whose append was not answered yet, and its offset.
    appending: Option<(LogOffset, UsageRecord)>,
    /// Counts that were collected and have no record yet.
    prepared: Option<(WindowNumber, ReportCounts)>,
    unsent: BTreeMap<WindowNumber, LoggedReport>,
    send_retry_at: Timestamp,
    /// Windows whose reports were accepted, without a record that says so.
    unmarked: VecDeque<WindowNumber>,
    /// Whether the whole log was read. Before, a report may have a record other
    /// than the one that is known.
    is_loaded: bool,
    /// Report that is read from the log again.
    refill: Option<(WindowNumber, LogOffset)>,
}

impl ReportTerm {
    fn new(now: Timestamp, token: FencingToken) -> Self {
        Self {
            token,
            begun_at: now,
            log: LogView::Unknown,
            log_retry_at: now,
            appending: None,
            prepared: None,
            unsent: BTreeMap::new(),
            send_retry_at: now,
            unmarked: VecDeque::new(),
            is_loaded: false,
            refill: None,
        }
    }

    /// First offset that a later holder has to read after a record at `at`.
    /// `sent` is the window that the record marks as accepted, if any. A report
    /// that was accepted and has no mark yet need not be read again.
    fn unsent_from(
        &self,
        at: LogOffset,
        sent: Option<WindowNumber>,
    ) -> LogOffset {
        let unsent = self.unsent.iter();
        let others = unsent.filter(|(window, _)| Some(**window) != sent);
        others.map(|(_, it)| it.offset).fold(at, LogOffset::min)
    }
}

/// Reports of an instance that may hold the lease.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    schedule: UsageSchedule,
    /// Window in which this instance started.
    started_in: WindowNumber,
    /// Last window that needs no report any more.
    reported_through: Option<WindowNumber>,
    /// Last windows whose reports were accepted.
    sent: BTreeSet<WindowNumber>,
    term: Option<ReportTerm>,
    events: Vec<ReportEvent>,
}

impl UsageReporter {
    /// Creates the state of an instance that starts in a window.
    pub fn new(schedule: UsageSchedule, started_in: WindowNumber) -> Self {
        Self {
            schedule,
            started_in,
            reported_through: None,
            sent: BTreeSet::new(),
            term: None,
            events: Vec::new(),
        }
    }

    /// Last window that needs no report any more; `None` if this is not known.
    pub fn reported_through(&self) -> Option<WindowNumber> {
        self.reported_through
    }

    /// Number of reports that have a record and were not accepted yet, and of
    /// windows without a record that ended at least half the allowed time ago.
    pub fn due(&self, time: FleetTime) -> u64 {
        let Some(term) = &self.term else {
            return 0;
        };
        let unsent = term.unsent.len() as u64;
        let next = self.reported_through.map(WindowNumber::next);
        let Some(next) = next else {
            return unsent;
        };
        let mut window = next;
        let mut waiting = 0;
        while self.schedule.latest_preparation(window) <= time
            && waiting < SENT_KEPT as u64
        {
            waiting += 1;
            window = window.next();
        }
        unsent + waiting
    }

    /// Number of reports whose counts are in memory.
    pub fn kept_reports(&self) -> usize {
        let unsent = self.term.iter().flat_map(|term| term.unsent.values());
        unsent.filter(|report| report.counts.is_some()).count()
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<ReportEvent> {
        std::mem::take(&mut self.events)
    }

    /// Begins to report, or continues with another token. `reported_through` is
    /// the last window with a report according to notices of earlier holders.
    /// It matters after a restore of the store, which may have lost records.
    pub fn begin_term(
        &mut self,
        now: Timestamp,
        token: FencingToken,
        reported_through: Option<WindowNumber>,
    ) {
        self.reported_through = self.reported_through.max(reported_through);
        if self.term.as_ref().is_some_and(|term| term.token == token) {
            return;
        }
        let mut term = ReportTerm::new(now, token);
        if let Some(before) = self.term.take() {
            term.unsent = before.unsent;
            term.unmarked = before.unmarked;
        }
        forget_offsets(&mut term.unsent);
        self.term = Some(term);
    }

    /// Ends the reports, since this instance no longer holds the lease.
    pub fn end_term(&mut self) {
        self.term = None;
    }

    /// Reads the log again, since the store was restored from an earlier copy.
    /// Reports that the copy lacks are kept.
    pub fn record_restore(&mut self) {
        if let Some(term) = &mut self.term {
            term.log = LogView::Unknown;
            term.appending = None;
            term.refill = None;
            term.is_loaded = false;
            forget_offsets(&mut term.unsent);
        }
    }

    /// What to do next. One step at a time is carried out.
    pub fn next_step(
        &mut self,
        now: Timestamp,
        time: FleetTime,
        table: &UsageTable,
    ) -> ReportStep {
        self.prepare(now, time, table);
        let first = self.first_window(time, table);
        let Some(term) = &mut self.term else {
            return ReportStep::Wait(IDLE_PAUSE);
        };
        if now >= term.log_retry_at {
            match term.log {
                LogView::Unknown => {
                    let record = UsageRecord::Start { window: first };
                    return start_append(term, LogOffset::ZERO, record);
                }
                LogView::Last(from) | LogView::Reading { next: from, .. } => {
                    return ReportStep::Read { from };
                }
                LogView::Current(end) => {
                    if let Some((window, counts)) = &term.prepared {
                        let counts = counts.iter();
                        let counts = counts.map(|(name, count)| {
                            (Arc::from(name.as_str()), *count)
                        });
                        let record = UsageRecord::Report {
                            window: *window,
                            unsent_from: term.unsent_from(end, None),
                            token: term.token,
                            counts: counts.collect(),
                        };
                        return start_append(term, end, record);
                    }
                }
            }
        }
        if term.is_loaded
            && now >= term.send_retry_at
            && let Some((window, report)) = term.unsent.first_key_value()
        {
            match &report.counts {
                Some(counts) => {
                    return ReportStep::Send {
                        window: *window,
                        counts: counts.clone(),
                    };
                }
                None if now >= term.log_retry_at => {
                    let (window, from) = (*window, report.offset);
                    term.refill = Some((window, from));
                    return ReportStep::Read { from };
                }
                None => {}
            }
        }
        if let (LogView::Current(end), Some(window)) =
            (term.log, term.unmarked.front().copied())
            && now >= term.log_retry_at
        {
            let record = UsageRecord::Sent {
                window,
                unsent_from: term.unsent_from(end, Some(window)),
            };
            return start_append(term, end, record);
        }
        ReportStep::Wait(IDLE_PAUSE)
    }

    /// First window to report if the log says nothing. Windows that ended too
    /// long ago are left out unless their counts are known.
    fn first_window(
        &self,
        time: FleetTime,
        table: &UsageTable,
    ) -> WindowNumber {
        let known = table.first_window().unwrap_or(self.started_in);
        known.min(self.started_in).max(self.oldest_due(time))
    }

    /// Oldest window whose report is not overdue.
    fn oldest_due(&self, time: FleetTime) -> WindowNumber {
        let late = u64::try_from(self.schedule.late.as_millis());
        let late = late.unwrap_or(u64::MAX);
        let back = FleetTime::new(time.get().saturating_sub(late));
        let window = self.schedule.window_at(back);
        // A window that ended exactly that long ago is included.
        window
            .previous()
            .filter(|it| self.schedule.due(*it) >= time)
            .unwrap_or(window)
    }

    /// Collects the counts of the next window if it is over.
    fn prepare(&mut self, now: Timestamp, time: FleetTime, table: &UsageTable) {
        let Some(term) = &self.term else {
            return;
        };
        if !matches!(term.log, LogView::Current(_)) || term.prepared.is_some() {
            return;
        }
        let begun_at = term.begun_at;
        let next = match self.reported_through {
            Some(window) => window.next(),
            None => self.first_window(time, table),
        };
        let next = self.skip_unknown(next, time, table);
        if time < self.schedule.end(next).after(PREPARE_DELAY) {
            return;
        }
        let is_complete = table.is_complete(next);
        let has_waited = time >= self.schedule.latest_preparation(next)
            && now.since(begun_at) >= TERM_DELAY;
        if !is_complete && !has_waited {
            return;
        }
        let counts = table.counts(next);
        self.events.push(ReportEvent::Prepared {
            window: next,
            is_complete,
            workspaces: counts.len(),
            begins: counts.values().copied().fold(0, u64::saturating_add),
        });
        if let Some(term) = &mut self.term {
            term.prepared = Some((next, counts));
        }
    }

    /// Leaves out windows that are overdue and of which nothing is known.
    fn skip_unknown(
        &mut self,
        next: WindowNumber,
        time: FleetTime,
        table: &UsageTable,
    ) -> WindowNumber {
        let mut first = next.max(self.oldest_due(time));
        if let Some(known) = table.first_window() {
            first = first.min(known.max(next));
        }
        if first > next {
            self.events.push(ReportEvent::Missed {
                first: next,
                count: first.get() - next.get(),
            });
            self.reported_through = self.reported_through.max(first.previous());
        }
        first
    }

    /// Records the result of an append; `None` if it is not known.
    pub fn record_append(
        &mut self,
        now: Timestamp,
        result: Option<AppendResult>,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        // A restore of the store makes the result meaningless.
        let Some((at, record)) = term.appending.take() else {
            return;
        };
        let is_start = matches!(record, UsageRecord::Start { .. });
        match result {
            Some(AppendResult::Appended(end)) if end == at.next() => {
                term.log = LogView::Current(end);
                term.is_loaded = true;
                self.apply(at, record);
            }
            // Without the condition, other records may precede this one.
            Some(AppendResult::Appended(end)) => {
                let end = Some(end);
                term.log = LogView::Reading { next: at, end };
            }
            Some(AppendResult::Conflict(end)) if is_start => {
                let last = end.and_then(|end| end.get().checked_sub(1));
                term.log = match last {
                    Some(last) => LogView::Last(LogOffset::new(last)),
                    None => LogView::Reading {
                        next: at,
                        end: None,
                    },
                };
            }
            Some(AppendResult::Conflict(end)) => {
                let is_shorter = end.is_some_and(|end| end <= at);
                term.log = if is_shorter {
                    LogView::Unknown
                } else {
                    LogView::Reading { next: at, end }
                };
                if is_shorter {
                    term.log_retry_at = now.after(LOG_RETRY_PAUSE);
                }
            }
            None => {
                term.log_retry_at = now.after(LOG_RETRY_PAUSE);
                if !is_start {
                    // The record may be there, or come later. The next append
                    // at the same offset fails then.
                    let end = Some(at.next());
                    term.log = LogView::Reading { next: at, end };
                }
            }
        }
    }

    /// Records the result of a read from an offset; `None` if it failed.
    pub fn record_read(
        &mut self,
        now: Timestamp,
        from: LogOffset,
        result: Option<LogTail>,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        if let Some((window, offset)) = term.refill.take() {
            match result {
                None => term.log_retry_at = now.after(LOG_RETRY_PAUSE),
                Some(LogTail::Gap { .. }) => self.drop_report(window),
                Some(LogTail::Records { records, .. }) => {
                    self.apply_records(offset, &records);
                    self.drop_report(window);
                }
            }
            return;
        }
        let known_end = match term.log {
            LogView::Last(last) if last == from => Some(last.next()),
            LogView::Reading { next, end } if next == from => end,
            _ => return,
        };
        let is_last = matches!(term.log, LogView::Last(_));
        match result {
            None => term.log_retry_at = now.after(LOG_RETRY_PAUSE),
            Some(LogTail::Gap { first: Some(first) }) if first > from => {
                let end = known_end;
                term.log = LogView::Reading { next: first, end };
            }
            Some(LogTail::Gap { .. }) => {
                term.log = LogView::Unknown;
                term.log_retry_at = now.after(LOG_RETRY_PAUSE);
            }
            Some(LogTail::Records { records, next }) => {
                let is_end = records.is_empty()
                    || known_end.is_some_and(|end| next >= end);
                term.log = if is_end {
                    LogView::Current(next)
                } else {
                    LogView::Reading {
                        next,
                        end: known_end,
                    }
                };
                let start = self.apply_records(from, &records);
                let Some(term) = &mut self.term else {
                    return;
                };
                // The last record says where to begin.
                match start.filter(|start| is_last && *start < from) {
                    Some(start) => {
                        let end = Some(next);
                        term.log = LogView::Reading { next: start, end };
                    }
                    None => term.is_loaded |= is_end,
                }
            }
        }
    }

    /// Drops a report whose counts the log does not hold any more.
    fn drop_report(&mut self, window: WindowNumber) {
        let Some(term) = &mut self.term else {
            return;
        };
        let report = term.unsent.get(&window);
        if report.is_some_and(|report| report.counts.is_none()) {
            term.unsent.remove(&window);
            let count = 1;
            self.events.push(ReportEvent::Missed {
                first: window,
                count,
            });
        }
    }

    /// Applies records in their order; returns the offset from which the last
    /// of them says that one has to read.
    fn apply_records(
        &mut self,
        from: LogOffset,
        records: &[Bytes],
    ) -> Option<LogOffset> {
        let mut offset = from;
        let mut start = None;
        for bytes in records {
            match serde_json::from_slice::<UsageRecord>(bytes) {
                Ok(record) => {
                    start = record.unsent_from().or(start);
                    self.apply(offset, record);
                }
                Err(_) => self.events.push(ReportEvent::Malformed { offset }),
            }
            offset = offset.next();
        }
        start
    }

    fn apply(&mut self, offset: LogOffset, record: UsageRecord) {
        let Some(term) = &mut self.term else {
            return;
        };
        match record {
            UsageRecord::Start { window } => {
                if offset == LogOffset::ZERO {
                    self.reported_through =
                        self.reported_through.max(window.previous());
                }
            }
            UsageRecord::Report { window, counts, .. } => {
                self.reported_through = self.reported_through.max(Some(window));
                if !self.sent.contains(&window) {
                    let new = LoggedReport {
                        offset,
                        counts: None,
                    };
                    let report = term.unsent.entry(window).or_insert(new);
                    // The first record of a window counts.
                    report.offset = report.offset.min(offset);
                    if report.offset == offset {
                        let counts = counts.iter().filter_map(|(name, it)| {
                            Some((name.parse().ok()?, *it))
                        });
                        report.counts = Some(Arc::new(counts.collect()));
                    }
                    drop_latest_counts(&mut term.unsent);
                }
            }
            UsageRecord::Sent { window, .. } => {
                self.reported_through = self.reported_through.max(Some(window));
                term.unsent.remove(&window);
                term.unmarked.retain(|it| *it != window);
                self.sent.insert(window);
            }
        }
        while self.sent.len() > SENT_KEPT {
            self.sent.pop_first();
        }
        let done = self.reported_through;
        if term
            .prepared
            .as_ref()
            .is_some_and(|(window, _)| Some(*window) <= done)
        {
            term.prepared = None;
        }
    }

    /// Records whether the report of a window was accepted.
    pub fn record_sent(
        &mut self,
        now: Timestamp,
        time: FleetTime,
        window: WindowNumber,
        is_accepted: bool,
    ) {
        let Some(term) = &mut self.term else {
            return;
        };
        if !is_accepted {
            term.send_retry_at = now.after(SEND_RETRY_PAUSE);
            return;
        }
        term.unsent.remove(&window);
        term.unmarked.push_back(window);
        self.sent.insert(window);
        self.events.push(ReportEvent::Sent {
            window,
            age: time.since(self.schedule.end(window)),
            is_late: time > self.schedule.due(window),
        });
    }
}

fn start_append(
    term: &mut ReportTerm,
    at: LogOffset,
    record: UsageRecord,
) -> ReportStep {
    let bytes = record.encode();
    term.appending = Some((at, record));
    ReportStep::Append { at, record: bytes }
}

/// Forgets where the records of reports are, after which those of the log count.
/// Reports of which only the offset is known are dropped.
fn forget_offsets(unsent: &mut BTreeMap<WindowNumber, LoggedReport>) {
    unsent.retain(|_, report| report.counts.is_some());
    for report in unsent.values_mut() {
        report.offset = LogOffset::new(u64::MAX);
    }
}

/// Drops the counts of the latest reports, which are sent last.
fn drop_latest_counts(unsent: &mut BTreeMap<WindowNumber, LoggedReport>) {
    let with_counts = unsent.values_mut().filter(|it| it.counts.is_some());
    for report in with_counts.skip(UNSENT_KEPT) {
        report.counts = None;
    }
}
