//! Messages by which the instances learn the time of the fleet, collect the
//! counts of begins, and learn who reports them.
//!
//! Every instance sends its counts to the holder of the lease, which it knows
//! from the holder's notices, and to the candidates for the lease, one of which
//! follows the holder. Both acknowledge the windows that they have received
//! completely. The messages go to a port of their own, which instances of older
//! builds do not open.

use std::{collections::BTreeSet, net::IpAddr, time::Duration};

use super::{
    duty::FencingToken,
    fleet_clock::{FleetClock, FleetTime, WallTime},
    routing_config::WorkspaceName,
    usage_counts::{
        CountsReceipt, OutgoingCounts, UsageCounts, UsageLedger, UsageSchedule,
        UsageSender, UsageTable, WindowNumber,
    },
};
use crate::{
    units::{ByteSize, Timestamp},
    value_type,
};

/// Interval at which changed counts are sent: an instance that is killed loses
/// its begins of this time.
pub const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two rounds of times and notices.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Members that get this instance's time of day in one round. It takes about 1
/// KB/s in a fleet of any size.
const CLOCKS_PER_ROUND: usize = 16;
/// Rounds in which each member gets a notice of the holder.
const NOTICE_ROUNDS: usize = 5;
/// Time without a notice after which counts are no longer sent to a holder that
/// is not a candidate.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which every member sends a heartbeat. One that has sent none for
/// that long is not in the list of members.
const HEARTBEAT_TIME: Duration = super::member_table::HEARTBEAT_TIMEOUT;
/// Largest memory for the counts of all members.
const TABLE_MEMORY_MAX: u64 = 64 << 20;
/// The same as a part of the memory of the process.
const TABLE_MEMORY_DIVISOR: u64 = 8;

/// Memory for the counts of all members in a process that may use `memory_mb`.
pub fn table_memory(memory_mb: u64) -> ByteSize {
    let part = memory_mb.saturating_mul(1 << 20) / TABLE_MEMORY_DIVISOR;
    ByteSize::new(part.min(TABLE_MEMORY_MAX))
}

value_type! {
    /// Acknowledgement of closed windows, and who reports them.
    pub struct UsageNotice {
        /// The instance that sends the notice.
        pub sender: UsageSender,
        /// Time of day of the sender.
        pub wall: WallTime,
        /// Token of the lease that the sender holds; `None` if it holds none.
        pub token: Option<FencingToken>,
        /// Last window with a report, as the holder knows.
        pub reported_through: Option<WindowNumber>,
        /// Windows that the sender has received from the receiver, with their
        /// totals.
        pub received: Vec<(WindowNumber, u64)>,
    }
}

value_type! {
    /// Message to the second port of an instance.
    pub enum UsageMessage {
        /// The time of day of the sender.
        Clock {
            /// The sender.
            sender: UsageSender,
            /// Its time of day.
            wall: WallTime,
            /// Whether the sender knows too few clocks and asks for the
            /// receiver's.
            wants_reply: bool,
        },
        /// Counts of the sender.
        Counts(UsageCounts),
        /// Acknowledgement of counts, or notice of the holder.
        Notice(UsageNotice),
    }
}

impl UsageMessage {
    fn sender(&self) -> UsageSender {
        match self {
            Self::Clock { sender, .. } => *sender,
            Self::Counts(counts) => counts.sender,
            Self::Notice(notice) => notice.sender,
        }
    }

    fn wall(&self) -> WallTime {
        match self {
            Self::Clock { wall, .. } => *wall,
            Self::Counts(counts) => counts.wall,
            Self::Notice(notice) => notice.wall,
        }
    }
}

/// A message and the addresses of the machines that get it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Addresses of the machines.
    pub targets: Vec<IpAddr>,
    /// The message.
    pub message: UsageMessage,
}

/// Instances that take part, as this one sees them.
#[derive(Clone, Copy, Debug)]
pub struct UsageMembers<'a> {
    /// Other instances with recent heartbeats, in the order of their addresses.
    pub alive: &'a [IpAddr],
    /// Instances that may claim the lease.
    pub candidates: &'a [IpAddr],
}

/// Holder of the lease according to its notices.
#[derive(Clone, Copy, Debug)]
struct NoticedHolder {
    ip: IpAddr,
    token: FencingToken,
    heard_at: Timestamp,
}

/// Counts of one instance and what it exchanges with the others.
#[derive(Clone, Debug)]
pub struct UsageExchange {
    own: UsageSender,
    schedule: UsageSchedule,
    clock: FleetClock,
    ledger: UsageLedger,
    table: UsageTable,
    /// Highest token of all notices, and who sent it.
    holder: Option<NoticedHolder>,
    /// Token of the lease that this instance holds.
    holding: Option<FencingToken>,
    /// Token for which all members have got a notice.
    noticed: Option<FencingToken>,
    /// Last window with a report, according to notices and own reports.
    reported_through: Option<WindowNumber>,
    round_at: Option<Timestamp>,
    /// Last members that got the time and a notice.
    clock_cursor: Option<IpAddr>,
    notice_cursor: Option<IpAddr>,
    targets: Vec<IpAddr>,
}

impl UsageExchange {
    /// Creates the state of an instance that has just started. `limit` bounds
    /// the memory for counts of members.
    pub fn new(
        now: Timestamp,
        wall: WallTime,
        own: UsageSender,
        schedule: UsageSchedule,
        limit: ByteSize,
    ) -> Self {
        let clock = FleetClock::new(now, wall);
        let window = schedule.window_at(clock.time(now));
        Self {
            own,
            schedule,
            clock,
            ledger: UsageLedger::new(own, schedule, window),
            table: UsageTable::new(limit),
            holder: None,
            holding: None,
            noticed: None,
            reported_through: None,
            round_at: None,
            clock_cursor: None,
            notice_cursor: None,
            targets: Vec::new(),
        }
    }

    /// Time of the fleet.
    pub fn time(&self, now: Timestamp) -> FleetTime {
        self.clock.time(now)
    }

    /// Window at present.
    pub fn window(&self, now: Timestamp) -> WindowNumber {
        self.schedule.window_at(self.time(now))
    }

    /// Counts that were received.
    pub fn table(&self) -> &UsageTable {
        &self.table
    }

    /// Begins that came too late to be reported.
    pub fn late(&self) -> u64 {
        self.ledger.late().saturating_add(self.table.late())
    }

    /// Last window with a report, as far as is known.
    pub fn reported_through(&self) -> Option<WindowNumber> {
        self.reported_through
    }

    /// Counts a request that an upstream has begun to run.
    pub fn count(&mut self, now: Timestamp, workspace: &WorkspaceName) {
        let window = self.window(now);
        self.ledger.count(window, workspace);
    }

    /// Records a call that is sent now, and returns the window in which it
    /// begins if its upstream runs it. [`Self::end_call`] must follow.
    pub fn begin_call(&mut self, now: Timestamp) -> WindowNumber {
        let window = self.window(now);
        self.ledger.begin_call(window);
        window
    }

    /// Records the end of a call; `workspace` is that of a call that ran.
    pub fn end_call(
        &mut self,
        window: WindowNumber,
        workspace: Option<&WorkspaceName>,
    ) {
        self.ledger.end_call(window, workspace);
    }

    /// Sets the token of the lease that this instance holds.
    pub fn set_holding(&mut self, token: Option<FencingToken>) {
        self.holding = token;
        if token.is_none() {
            self.noticed = None;
        }
    }

    /// Records that the windows up to this one have reports.
    pub fn record_reported(&mut self, window: WindowNumber) {
        self.reported_through = self.reported_through.max(Some(window));
        self.ledger.forget_through(window);
        self.table.forget_through(window);
    }

    /// Messages to send; called once per [`SEND_INTERVAL`].
    pub fn next_messages(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        members: UsageMembers<'_>,
    ) -> Vec<OutgoingMessage> {
        self.clock.refresh(now, wall);
        self.record_heard(now, members.alive);
        self.targets = self.count_targets(now, members.candidates);
        let time = self.time(now);
        let targets = self.targets.clone();
        let counts = self.ledger.next_counts(now, wall, time, &targets);
        let mut messages = self.deliver_own(now, counts);
        let is_due =
            |at: Timestamp| now.since(at) >= ROUND_INTERVAL - SEND_INTERVAL / 2;
        if self.round_at.is_none_or(is_due) {
            self.round_at = Some(now);
            messages.extend(self.clock_round(wall, members.alive));
            messages.extend(self.notice_round(wall, members.alive));
        }
        messages.extend(self.first_notice(wall, members.alive));
        messages
    }

    /// Messages that hand over all counts, since the process is about to end
    /// and counts nothing more.
    pub fn last_messages(
        &mut self,
        now: Timestamp,
        wall: WallTime,
    ) -> Vec<OutgoingMessage> {
        let targets = self.targets.clone();
        let counts = self.ledger.close_all(now, wall, &targets);
        self.deliver_own(now, counts)
    }

    /// Applies a message that came from the machine `from`; returns the replies.
    pub fn receive(
        &mut self,
        now: Timestamp,
        wall: WallTime,
        from: IpAddr,
        message: &UsageMessage,
    ) -> Vec<OutgoingMessage> {
        if message.sender().ip != from || from == self.own.ip {
            return Vec::new();
        }
        let is_new = !self.clock.knows(from);
        self.clock.observe(now, from, message.wall());
        match message {
            UsageMessage::Clock { wants_reply, .. } => {
                if !*wants_reply {
                    return Vec::new();
                }
                // Two instances that know too few clocks must not answer each
                // other's answers.
                let reply = self.clock_message(wall, false);
                vec![outgoing(from, reply)]
            }
            UsageMessage::Counts(counts) => {
                let current = self.window(now);
                let receipt = self.table.receive(current, counts);
                match (receipt, counts.closed_total) {
                    (CountsReceipt::Complete, Some(total)) => {
                        let received = vec![(counts.window, total)];
                        let notice = self.notice(wall, received);
                        vec![outgoing(from, notice)]
                    }
                    _ => Vec::new(),
                }
            }
            UsageMessage::Notice(notice) => {
                self.receive_notice(now, notice);
                if is_new && self.clock.is_alone() {
                    let message = self.clock_message(wall, true);
                    return vec![outgoing(from, message)];
                }
                Vec::new()
            }
        }
    }

    fn receive_notice(&mut self, now: Timestamp, notice: &UsageNotice) {
        let ip = notice.sender.ip;
        for (window, total) in &notice.received {
            self.ledger.acknowledge(ip, *window, *total);
        }
        let Some(token) = notice.token else {
            return;
        };
        if self.holder.is_some_and(|known| known.token > token) {
            return;
        }
        self.holder = Some(NoticedHolder {
            ip,
            token,
            heard_at: now,
        });
        let current = self.window(now);
        if let Some(window) = notice.reported_through
            && window <= current
        {
            self.record_reported(window);
        }
    }

    /// Records the members heard in the window, once each of them must have sent
    /// a heartbeat in it.
    fn record_heard(&mut self, now: Timestamp, alive: &[IpAddr]) {
        let time = self.time(now);
        let window = self.schedule.window_at(time);
        let wait = HEARTBEAT_TIME.min(self.schedule.window / 2);
        if time >= self.schedule.start(window).after(wait) {
            let own = self.own.ip;
            let heard = alive.iter().copied().chain([own]);
            self.table.record_heard(window, heard);
        }
    }

    fn count_targets(
        &self,
        now: Timestamp,
        candidates: &[IpAddr],
    ) -> Vec<IpAddr> {
        let mut targets: BTreeSet<_> = candidates.iter().copied().collect();
        if let Some(holder) = self.holder
            && now.since(holder.heard_at) <= HOLDER_TIMEOUT
        {
            targets.insert(holder.ip);
        }
        if self.holding.is_some() {
            targets.insert(self.own.ip);
        }
        targets.into_iter().collect()
    }

    /// Applies own counts to the own table if this instance is among their
    /// targets; returns the messages to the others.
    fn deliver_own(
        &mut self,
        now: Timestamp,
        outgoing: Vec<OutgoingCounts>,
    ) -> Vec<OutgoingMessage> {
        let own = self.own.ip;
        let current = self.window(now);
        let mut messages = Vec::new();
        for OutgoingCounts { targets, datagrams } in outgoing {
            let is_target = targets.contains(&own);
            let others: Vec<_> =
                targets.into_iter().filter(|ip| *ip != own).collect();
            for counts in datagrams {
                if is_target {
                    let receipt = self.table.receive(current, &counts);
                    if let (CountsReceipt::Complete, Some(total)) =
                        (receipt, counts.closed_total)
                    {
                        self.ledger.acknowledge(own, counts.window, total);
                    }
                }
                if !others.is_empty() {
                    messages.push(OutgoingMessage {
                        targets: others.clone(),
                        message: UsageMessage::Counts(counts),
                    });
                }
            }
        }
        messages
    }

    fn clock_message(&self, wall: WallTime, wants_reply: bool) -> UsageMessage {
        UsageMessage::Clock {
            sender: self.own,
            wall,
            wants_reply,
        }
    }

    fn notice(
        &self,
        wall: WallTime,
        received: Vec<(WindowNumber, u64)>,
    ) -> UsageMessage {
        UsageMessage::Notice(UsageNotice {
            sender: self.own,
            wall,
            token: self.holding,
            reported_through: self.reported_through,
            received,
        })
    }

    fn clock_round(
        &mut self,
        wall: WallTime,
        alive: &[IpAddr],
    ) -> Option<OutgoingMessage> {
        let wants_reply = self.clock.is_alone();
        let targets =
            next_members(alive, &mut self.clock_cursor, CLOCKS_PER_ROUND);
        let message = self.clock_message(wall, wants_reply);
        (!targets.is_empty()).then_some(OutgoingMessage { targets, message })
    }

    fn notice_round(
        &mut self,
        wall: WallTime,
        alive: &[IpAddr],
    ) -> Option<OutgoingMessage> {
        self.holding?;
        let count = alive.len().div_ceil(NOTICE_ROUNDS).max(CLOCKS_PER_ROUND);
        let targets = next_members(alive, &mut self.notice_cursor, count);
        let message = self.notice(wall, Vec::new());
        (!targets.is_empty()).then_some(OutgoingMessage { targets, message })
    }

    /// Notice to all members that this instance has begun to hold the lease.
    fn first_notice(
        &mut self,
        wall: WallTime,
        alive: &[IpAddr],
    ) -> Option<OutgoingMessage> {
        if self.holding == self.noticed {
            return None;
        }
        self.noticed = self.holding;
        let message = self.notice(wall, Vec::new());
        let targets = alive.to_vec();
        (!targets.is_empty()).then_some(OutgoingMessage { targets, message })
    }
}

fn outgoing(target: IpAddr, message: UsageMessage) -> OutgoingMessage {
    OutgoingMessage {
        targets: vec![target],
        message,
    }
}

/// The next `count` members after those of the round before.
fn next_members(
    alive: &[IpAddr],
    cursor: &mut Option<IpAddr>,
    count: usize,
) -> Vec<IpAddr> {
    let start = alive.partition_point(|ip| Some(*ip) <= *cursor);
    let (before, rest) = alive.split_at(start);
    let next = rest.iter().chain(before).take(count).copied();
    let next: Vec<_> = next.collect();
    *cursor = next.last().copied();
    next
}
