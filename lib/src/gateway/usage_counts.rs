//! Counts of the requests that upstreams began to run, by window and workspace.
//!
//! Each instance counts its own begins ([`UsageLedger`]) and sends cumulative
//! counts to the instance that reports them and to those that may follow it.
//! Receivers ([`UsageTable`]) merge the counts by maximum for each sender,
//! window and workspace, so that it does not matter whether a datagram is lost,
//! doubled or late. A sender closes a window when it has counted the window to
//! its end, and states the total. A receiver whose total is the same has
//! received everything, and acknowledges it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    fleet_clock::{FleetTime, WallTime},
    gateway_settings::DutySettings,
    routing_config::WorkspaceName,
};
use crate::{
    quantity_type,
    units::{ByteSize, Incarnation, Timestamp},
    value_type,
};

quantity_type! {
    /// Number of a usage window: those before it since 1970.
    WindowNumber, ""
}

impl WindowNumber {
    /// The window after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The window before this one; `None` for the first one.
    pub fn previous(self) -> Option<Self> {
        self.0.checked_sub(1).map(Self)
    }
}

/// Length of a window if the settings state none.
const WINDOW_DEFAULT_S: u64 = 5;
/// Time in which a report is due if the settings state none.
const LATE_DEFAULT_S: f64 = 10.0;
/// Windows that are kept: those that are not reported yet.
pub const WINDOWS_MAX: usize = 6;
/// Time after the end of a window at which an instance closes it. Clocks of the
/// fleet differ by less.
const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// Time before the latest preparation of a report at which a window is closed
/// even if calls that began in it are unanswered: two resends fit in.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_000);
/// Interval at which a closed window is sent again to instances that have not
/// acknowledged it.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// The same after [`FAST_RESENDS`] sends. An instance of an older build never
/// acknowledges anything.
const SLOW_RESEND_INTERVAL: Duration = Duration::from_millis(2_000);
const FAST_RESENDS: u32 = 6;
/// Most bytes of entries in one datagram, which then fits into one packet.
pub const ENTRY_BYTES_MAX: usize = 1_200;
/// Bytes of an entry in a datagram in addition to its name: the length of the
/// name and the count.
const ENTRY_HEAD_BYTES: usize = 16;
/// Memory of an entry of the table: a pointer to the name with its length, the
/// count, and the unused part of a tree node.
const ENTRY_MEMORY: usize = 48;
/// Memory of a name in addition to its bytes.
const NAME_MEMORY: usize = 96;

/// Times of the windows and of their reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSchedule {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window in which its report is due.
    pub late: Duration,
}

impl UsageSchedule {
    /// Times that the settings state.
    pub fn new(settings: &DutySettings) -> Self {
        let window = settings.window_s.unwrap_or(WINDOW_DEFAULT_S).max(1);
        let late = settings.late_s.unwrap_or(LATE_DEFAULT_S);
        Self {
            window: Duration::from_secs(window),
            late: crate::units::bounded_time(late),
        }
    }

    fn window_ms(&self) -> u64 {
        u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX)
    }

    /// Window to which a time belongs.
    pub fn window_at(&self, time: FleetTime) -> WindowNumber {
        WindowNumber::new(time.get() / self.window_ms())
    }

    /// Begin of a window.
    pub fn start(&self, window: WindowNumber) -> FleetTime {
        FleetTime::new(window.get().saturating_mul(self.window_ms()))
    }

    /// End of a window.
    pub fn end(&self, window: WindowNumber) -> FleetTime {
        self.start(window.next())
    }

    /// Time at which a report is prepared even if counts are missing.
    pub fn latest_preparation(&self, window: WindowNumber) -> FleetTime {
        self.end(window).after(self.late / 2)
    }

    /// Time by which the report of a window must have been accepted.
    pub fn due(&self, window: WindowNumber) -> FleetTime {
        self.end(window).after(self.late)
    }
}

value_type! {
    /// Process that counts begins.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct UsageSender {
        /// Address of its machine.
        pub ip: IpAddr,
        /// Start of the process.
        pub incarnation: Incarnation,
    }
}

value_type! {
    /// Counts of one sender in one window.
    pub struct UsageCounts {
        /// The sender.
        pub sender: UsageSender,
        /// Time of day of the sender.
        pub wall: WallTime,
        /// The window.
        pub window: WindowNumber,
        /// Begins in the window so far, by workspace.
        pub entries: Vec<(Arc<str>, u64)>,
        /// Begins of all workspaces in the window if the sender has counted it
        /// to its end; `None` if it has not.
        pub closed_total: Option<u64>,
    }
}

/// Counts to send, and the instances that get them.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingCounts {
    /// Addresses of the machines.
    pub targets: Vec<IpAddr>,
    /// Datagrams of one window.
    pub datagrams: Vec<UsageCounts>,
}

/// Begins that this instance counted in one window.
#[derive(Clone, Debug, Default)]
struct OwnWindow {
    counts: BTreeMap<WorkspaceName, u64>,
    total: u64,
    /// Workspaces whose counts were not sent since they changed.
    changed: BTreeSet<WorkspaceName>,
    /// Calls that began in the window and are not answered.
    pending: u32,
    is_closed: bool,
    /// Instances that have acknowledged the total.
    acknowledged_by: BTreeSet<IpAddr>,
    /// Last time at which the closed window was sent to all that lack it.
    sent_at: Option<Timestamp>,
    sends: u32,
}

impl OwnWindow {
    fn is_resend_due(&self, now: Timestamp) -> bool {
        let interval = if self.sends <= FAST_RESENDS {
            RESEND_INTERVAL
        } else {
            SLOW_RESEND_INTERVAL
        };
        self.sent_at.is_none_or(|at| now.since(at) >= interval)
    }
}

/// Begins that this instance counted and that are not reported yet.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    own: UsageSender,
    schedule: UsageSchedule,
    windows: BTreeMap<WindowNumber, OwnWindow>,
    /// Last window that was reported or dropped.
    done_through: Option<WindowNumber>,
    /// Begins that came too late to be reported.
    late: u64,
    /// Instances that got the last counts.
    targets: Vec<IpAddr>,
}

impl UsageLedger {
    /// Creates the ledger of an instance that starts in a window.
    pub fn new(
        own: UsageSender,
        schedule: UsageSchedule,
        window: WindowNumber,
    ) -> Self {
        Self {
            own,
            schedule,
            windows: BTreeMap::from([(window, OwnWindow::default())]),
            done_through: None,
            late: 0,
            targets: Vec::new(),
        }
    }

    /// Begins that came too late to be reported.
    pub fn late(&self) -> u64 {
        self.late
    }

    fn is_done(&self, window: WindowNumber) -> bool {
        self.done_through.is_some_and(|done| window <= done)
    }

    /// Counts a begin.
    pub fn count(&mut self, window: WindowNumber, workspace: &WorkspaceName) {
        if self.is_done(window) {
            self.late += 1;
            return;
        }
        let own = self.windows.entry(window).or_default();
        *own.counts.entry(workspace.clone()).or_default() += 1;
        own.total += 1;
        own.changed.insert(workspace.clone());
        own.acknowledged_by.clear();
        self.drop_oldest();
    }

    /// Records a call that begins in the window if its upstream runs it, which
    /// only its answer shows. [`Self::end_call`] must follow.
    pub fn begin_call(&mut self, window: WindowNumber) {
        if !self.is_done(window) {
            self.windows.entry(window).or_default().pending += 1;
            self.drop_oldest();
        }
    }

    /// Records the end of a call; `workspace` is that of a call that ran.
    pub fn end_call(
        &mut self,
        window: WindowNumber,
        workspace: Option<&WorkspaceName>,
    ) {
        if let Some(own) = self.windows.get_mut(&window) {
            own.pending = own.pending.saturating_sub(1);
        }
        if let Some(workspace) = workspace {
            self.count(window, workspace);
        }
    }

    fn drop_oldest(&mut self) {
        while self.windows.len() > WINDOWS_MAX {
            if let Some((window, own)) = self.windows.pop_first() {
                self.late += own.total;
                self.done_through = self.done_through.max(Some(window));
            }
        }
    }

    /// Forgets the windows up to one that was reported.
    pub fn forget_through(&mut self, window: WindowNumber) {
        self.done_through = self.done_through.max(Some(window));
        self.windows = self.windows.split_off(&window.next());
    }

    /// Records that an instance has received all of a closed window.
    pub fn acknowledge(
        &mut self,
        by: IpAddr,
        window: WindowNumber,
        total: u64,
    ) {
        if let Some(own) = self.windows.get_mut(&window)
            && own.total == total
        {
            own.acknowledged_by.insert(by);
        }
    }

    /// Closes the windows that are over and returns the counts to send.
    pub fn next_counts(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        time: FleetTime,
        targets: &[IpAddr],
    ) -> Vec<OutgoingCounts> {
        self.close_windows(time);
        self.collect(now, wall, targets)
    }

    /// Closes all windows, since nothing will be counted any more, and returns
    /// the counts to send.
    pub fn close_all(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        targets: &[IpAddr],
    ) -> Vec<OutgoingCounts> {
        for own in self.windows.values_mut() {
            own.is_closed = true;
            own.sent_at = None;
        }
        self.collect(now, wall, targets)
    }

    fn close_windows(&mut self, time: FleetTime) {
        let current = self.schedule.window_at(time);
        // After a pause of this process, the windows in it are closed, too.
        let before = self.windows.range(..current).next_back();
        let first = before.map_or(current, |(window, _)| window.next());
        let oldest = current.get().saturating_sub(WINDOWS_MAX as u64);
        for number in first.get().max(oldest)..=current.get() {
            let window = WindowNumber::new(number);
            if !self.is_done(window) {
                self.windows.entry(window).or_default();
            }
        }
        self.drop_oldest();
        let schedule = self.schedule;
        for (window, own) in &mut self.windows {
            let is_over = time >= schedule.end(*window).after(CLOSE_DELAY);
            let is_last_chance = time.after(CLOSE_MARGIN)
                >= schedule.latest_preparation(*window);
            own.is_closed |= is_over && (own.pending == 0 || is_last_chance);
        }
    }

    fn collect(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        targets: &[IpAddr],
    ) -> Vec<OutgoingCounts> {
        let has_new = targets.iter().any(|it| !self.targets.contains(it));
        self.targets = targets.to_vec();
        let sender = self.own;
        let mut outgoing = Vec::new();
        for (window, own) in &mut self.windows {
            let lacking: Vec<_> = targets
                .iter()
                .filter(|it| !own.acknowledged_by.contains(it))
                .copied()
                .collect();
            let is_first = own.is_closed && own.sent_at.is_none();
            let is_whole = has_new
                || (own.is_closed && !is_first && own.is_resend_due(now));
            if lacking.is_empty()
                || !(is_first || is_whole || !own.changed.is_empty())
            {
                continue;
            }
            let counts = own.counts.iter();
            let entries = counts
                .filter(|(name, _)| is_whole || own.changed.contains(name))
                .map(|(name, count)| (Arc::from(name.as_str()), *count))
                .collect();
            let template = UsageCounts {
                sender,
                wall,
                window: *window,
                entries: Vec::new(),
                closed_total: own.is_closed.then_some(own.total),
            };
            outgoing.push(OutgoingCounts {
                targets: lacking,
                datagrams: split(entries, &template),
            });
            own.changed.clear();
            if own.is_closed {
                own.sent_at = Some(now);
                own.sends = own.sends.saturating_add(1);
            }
        }
        outgoing
    }
}

/// Distributes entries over datagrams, at least one.
fn split(
    entries: Vec<(Arc<str>, u64)>,
    template: &UsageCounts,
) -> Vec<UsageCounts> {
    let mut datagrams = vec![template.clone()];
    let mut size = 0;
    for entry in entries {
        let entry_size = ENTRY_HEAD_BYTES + entry.0.len();
        if size > 0 && size + entry_size > ENTRY_BYTES_MAX {
            datagrams.push(template.clone());
            size = 0;
        }
        size += entry_size;
        if let Some(last) = datagrams.last_mut() {
            last.entries.push(entry);
        }
    }
    datagrams
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountsReceipt {
    /// The counts were merged; the sender has more to send in this window.
    Merged,
    /// The window is reported or complete: the sender need not send it again.
    Complete,
    /// The window is too far in the future to be kept.
    Rejected,
}

/// Counts that one sender sent of one window.
#[derive(Clone, Debug, Default)]
struct SenderCounts {
    counts: BTreeMap<WorkspaceName, u64>,
    total: u64,
    /// Total that the sender stated when it closed the window.
    closed_total: Option<u64>,
    /// Whether the counts were added to the sums of the window, so that no
    /// further ones can be merged.
    is_summed: bool,
}

impl SenderCounts {
    fn is_complete(&self) -> bool {
        self.closed_total.is_some_and(|total| total <= self.total)
    }
}

/// Counts of all senders in one window.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    /// Counts of the senders that need not be told apart any more.
    sums: BTreeMap<WorkspaceName, u64>,
    senders: BTreeMap<UsageSender, SenderCounts>,
    /// Members of which heartbeats came in the window.
    heard: BTreeSet<IpAddr>,
}

impl WindowCounts {
    /// Adds the counts of a sender to the sums; returns the change of the number
    /// of entries.
    fn sum_up(&mut self, sender: &UsageSender) -> isize {
        let Some(sent) = self.senders.get_mut(sender) else {
            return 0;
        };
        sent.is_summed = true;
        let counts = std::mem::take(&mut sent.counts);
        let before = (self.sums.len() + counts.len()) as isize;
        for (name, count) in counts {
            let sum = self.sums.entry(name).or_default();
            *sum = sum.saturating_add(count);
        }
        self.sums.len() as isize - before
    }

    fn entries(&self) -> usize {
        let sent = self.senders.values().map(|it| it.counts.len());
        self.sums.len() + sent.sum::<usize>()
    }
}

/// Counts that this instance received from all members and itself, in windows
/// that are not reported yet.
#[derive(Clone, Debug)]
pub struct UsageTable {
    limit: ByteSize,
    windows: BTreeMap<WindowNumber, WindowCounts>,
    /// Each name once, with the last window in which it was used.
    names: BTreeMap<WorkspaceName, WindowNumber>,
    name_bytes: usize,
    entries: usize,
    /// Last window that was reported or dropped.
    done_through: Option<WindowNumber>,
    /// Totals of the senders in the last windows that were done.
    done_totals: BTreeMap<WindowNumber, BTreeMap<UsageSender, u64>>,
    late: u64,
}

impl UsageTable {
    /// Creates a table that takes at most `limit` of memory.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            windows: BTreeMap::new(),
            names: BTreeMap::new(),
            name_bytes: 0,
            entries: 0,
            done_through: None,
            done_totals: BTreeMap::new(),
            late: 0,
        }
    }

    /// Begins that came after their window was reported, or after those of their
    /// sender were summed up.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// Last window that was reported or dropped.
    pub fn done_through(&self) -> Option<WindowNumber> {
        self.done_through
    }

    /// Estimate of the memory in use.
    pub fn held_bytes(&self) -> ByteSize {
        let names = self.names.len() * NAME_MEMORY + self.name_bytes;
        ByteSize::new((self.entries * ENTRY_MEMORY + names) as u64)
    }

    /// Oldest window of which something was received.
    pub fn first_window(&self) -> Option<WindowNumber> {
        self.windows.first_key_value().map(|(window, _)| *window)
    }

    /// Whether something was received of a window.
    pub fn has_window(&self, window: WindowNumber) -> bool {
        self.windows.contains_key(&window)
    }

    /// Merges counts that a sender sent. `current` is the window at present.
    pub fn receive(
        &mut self,
        current: WindowNumber,
        counts: &UsageCounts,
    ) -> CountsReceipt {
        let window = counts.window;
        if self.done_through.is_some_and(|done| window <= done) {
            self.record_late(counts);
            return CountsReceipt::Complete;
        }
        // The clocks of two instances may be on different sides of an end.
        if window > current.next() {
            return CountsReceipt::Rejected;
        }
        self.windows.entry(window).or_default();
        self.drop_oldest();
        for (name, count) in &counts.entries {
            self.merge(window, &counts.sender, name, *count);
        }
        let Some(kept) = self.windows.get_mut(&window) else {
            return CountsReceipt::Complete;
        };
        let sent = kept.senders.entry(counts.sender).or_default();
        sent.closed_total = sent.closed_total.max(counts.closed_total);
        if sent.is_summed {
            let total = counts.closed_total.unwrap_or_default();
            let missing = total.saturating_sub(sent.total);
            self.late = self.late.saturating_add(missing);
            sent.total = sent.total.max(total);
        }
        if sent.is_complete() && !sent.is_summed {
            let change = kept.sum_up(&counts.sender);
            self.entries = self.entries.saturating_add_signed(change);
            return CountsReceipt::Complete;
        }
        let is_summed = sent.is_summed;
        while self.held_bytes() > self.limit && self.sum_up_largest() {}
        if is_summed {
            CountsReceipt::Complete
        } else {
            CountsReceipt::Merged
        }
    }

    /// Counts the begins that are missing in the report of a window that was
    /// done. Senders repeat what was not acknowledged, so only a higher total
    /// shows some.
    fn record_late(&mut self, counts: &UsageCounts) {
        let window = self.done_totals.get_mut(&counts.window);
        if let (Some(totals), Some(total)) = (window, counts.closed_total) {
            let known = totals.entry(counts.sender).or_default();
            let missing = total.saturating_sub(*known);
            self.late = self.late.saturating_add(missing);
            *known = total.max(*known);
        }
    }

    /// Remembers the totals of a window that is done.
    fn record_done(&mut self, window: WindowNumber, kept: &WindowCounts) {
        self.entries = self.entries.saturating_sub(kept.entries());
        let senders = kept.senders.iter();
        let totals = senders.map(|(sender, it)| (*sender, it.total)).collect();
        self.done_totals.insert(window, totals);
        while self.done_totals.len() > WINDOWS_MAX {
            self.done_totals.pop_first();
        }
        self.done_through = self.done_through.max(Some(window));
    }

    fn merge(
        &mut self,
        window: WindowNumber,
        sender: &UsageSender,
        name: &str,
        count: u64,
    ) {
        let Ok(name) = name.parse::<WorkspaceName>() else {
            return;
        };
        let Some(kept) = self.windows.get_mut(&window) else {
            return;
        };
        let sent = kept.senders.entry(*sender).or_default();
        if sent.is_summed {
            return;
        }
        if let Some(known) = sent.counts.get_mut(&name) {
            let added = count.saturating_sub(*known);
            *known += added;
            sent.total = sent.total.saturating_add(added);
            return;
        }
        let name = match self.names.get_key_value(&name) {
            Some((known, _)) => known.clone(),
            None => {
                self.name_bytes += name.as_str().len();
                name
            }
        };
        let last_used = self.names.entry(name.clone()).or_default();
        *last_used = window.max(*last_used);
        sent.counts.insert(name, count);
        sent.total = sent.total.saturating_add(count);
        self.entries += 1;
    }

    /// Sums up the sender with the most entries; returns false if there is none
    /// with entries.
    fn sum_up_largest(&mut self) -> bool {
        let largest = self.windows.iter().flat_map(|(window, kept)| {
            let senders = kept.senders.iter();
            senders.map(|(sender, it)| (it.counts.len(), *window, *sender))
        });
        let Some((size, window, sender)) = largest.max() else {
            return false;
        };
        if let (true, Some(kept)) = (size > 0, self.windows.get_mut(&window)) {
            let change = kept.sum_up(&sender);
            self.entries = self.entries.saturating_add_signed(change);
            return true;
        }
        false
    }

    /// Records the members of which heartbeats came in a window.
    pub fn record_heard(
        &mut self,
        window: WindowNumber,
        members: impl IntoIterator<Item = IpAddr>,
    ) {
        if self.done_through.is_some_and(|done| window <= done) {
            return;
        }
        self.windows
            .entry(window)
            .or_default()
            .heard
            .extend(members);
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.windows.len() > WINDOWS_MAX {
            if let Some((window, kept)) = self.windows.pop_first() {
                self.record_done(window, &kept);
            }
        }
    }

    /// Whether everyone that was heard in a window, by heartbeats or counts, has
    /// closed it.
    pub fn is_complete(&self, window: WindowNumber) -> bool {
        let Some(kept) = self.windows.get(&window) else {
            return false;
        };
        let closed = |sent: &SenderCounts| sent.closed_total.is_some();
        let senders_closed = kept
            .senders
            .values()
            .all(|it| closed(it) && (it.is_complete() || it.is_summed));
        senders_closed
            && kept.heard.iter().all(|ip| {
                let senders = kept.senders.iter();
                senders
                    .clone()
                    .any(|(it, sent)| it.ip == *ip && closed(sent))
            })
    }

    /// Counts of all workspaces in a window.
    pub fn counts(&self, window: WindowNumber) -> BTreeMap<WorkspaceName, u64> {
        let Some(kept) = self.windows.get(&window) else {
            return BTreeMap::new();
        };
        let mut counts = kept.sums.clone();
        for sent in kept.senders.values() {
            for (name, count) in &sent.counts {
                let sum: &mut u64 = counts.entry(name.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        counts
    }

    /// Forgets the windows up to one that was reported.
    pub fn forget_through(&mut self, window: WindowNumber) {
        self.done_through = self.done_through.max(Some(window));
        let rest = self.windows.split_off(&window.next());
        let done = std::mem::replace(&mut self.windows, rest);
        if done.is_empty() {
            return;
        }
        for (window, kept) in &done {
            self.record_done(*window, kept);
        }
        self.names.retain(|_, last_used| *last_used > window);
        self.name_bytes =
            self.names.keys().map(|name| name.as_str().len()).sum();
    }
}
