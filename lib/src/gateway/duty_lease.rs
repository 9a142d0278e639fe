//! Lease of the singleton duties, held by one instance at a time.
//!
//! The holder is determined by the records of one topic of the store alone.
//! Each record is appended only if the topic ends where its sender has read to,
//! so that one of several concurrent claims succeeds. The holder's lease is
//! counted from before it sent its last record, and a successor's wait from
//! after it received that record, so that the leases of two instances cannot
//! overlap whatever their clocks show. `docs/design/duty-lease.md` describes
//! the failures that this covers.
//!
//! [`DutyLease`] has no clock and does no I/O: [`DutyLease::next_step`] returns
//! what to do, and the results are passed back to it.

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    duty::FencingToken,
    store_era::StoreEra,
    wire::{AppendResult, LogTail},
};
use crate::{
    ids::InstanceId,
    quantity_type,
    units::{Incarnation, LogOffset},
    value_type,
};

/// Shortest and longest duration of a lease, whatever is configured or stated
/// in a record.
const LEASE_MIN: Duration = Duration::from_millis(300);
const LEASE_MAX: Duration = Duration::from_secs(60);
/// Time by which the holder's lease ends before a successor may claim. It
/// covers the way of the last call to the service.
const MARGIN: Duration = Duration::from_millis(500);
/// Most records of one response that are evaluated, the newest ones. A day of
/// renewals has 86,400 records, of which the last one names the holder.
const EVALUATED_MAX: usize = 64;
/// Bits of a token below the era of the store.
const OFFSET_BITS: u32 = 32;

quantity_type! {
    /// Microseconds by a clock that includes the time for which the machine
    /// was suspended. Not comparable between instances.
    LeaseTime, " us"
}

impl LeaseTime {
    /// Adds a duration, saturating at the largest time.
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Time at which the lease expires unless it is renewed.
    pub until: LeaseTime,
}

value_type! {
    /// One run of an instance, as the records of the lease name it.
    #[derive(Eq)]
    pub struct LeaseOwner {
        /// Name of the instance.
        #[serde(rename = "holder")]
        pub instance: InstanceId,
        /// Address of its machine.
        pub ip: IpAddr,
        /// Start of its process.
        pub incarnation: Incarnation,
    }
}

/// Holder of the lease according to the records that were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownHolder {
    /// The instance.
    pub owner: LeaseOwner,
    /// Fencing token of its lease.
    pub token: FencingToken,
}

impl KnownHolder {
    fn is(&self, owner: &LeaseOwner, token: FencingToken) -> bool {
        self.owner == *owner && self.token == token
    }
}

/// Purpose of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaseRecordKind {
    /// Takes the lease with a new token.
    Claim,
    /// Extends the lease.
    Renew,
    /// Ends the lease.
    Release,
}

value_type! {
    /// One record of the topic.
    #[derive(Eq)]
    pub struct LeaseRecord {
        /// Purpose of the record.
        pub kind: LeaseRecordKind,
        /// Instance that wrote it.
        #[serde(flatten)]
        pub owner: LeaseOwner,
        /// Fencing token of the lease.
        pub token: FencingToken,
        /// Duration of the lease in milliseconds, by its holder's settings.
        #[serde(default)]
        pub lease_ms: u64,
    }
}

impl LeaseRecord {
    /// Parses a record; `None` if it is malformed or of an unknown kind.
    pub fn parse(record: &[u8]) -> Option<Self> {
        serde_json::from_slice(record).ok()
    }

    /// Encodes the record.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self)
            .expect("names and numbers can be encoded")
            .into()
    }
}

/// Token of a claim that is appended at an offset.
pub fn claim_token(era: StoreEra, at: LogOffset) -> FencingToken {
    let first = era.get() << OFFSET_BITS;
    FencingToken::new(first.saturating_add(at.next().get()))
}

/// Era of the store in which the claim of a token was made.
fn token_era(token: FencingToken) -> StoreEra {
    StoreEra::new(token.get() >> OFFSET_BITS)
}

/// Times that follow from the duration of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    lease: Duration,
}

impl LeaseTiming {
    /// Creates the times of a lease.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease: lease.clamp(LEASE_MIN, LEASE_MAX),
        }
    }

    /// Time after the newest record within which no other instance claims.
    pub fn lease(self) -> Duration {
        self.lease
    }

    /// Time for which an instance holds the lease after it sent a record.
    pub fn held_for(self) -> Duration {
        self.lease - MARGIN.min(self.lease / 3)
    }

    /// Time between two renewals.
    pub fn renewal_interval(self) -> Duration {
        self.lease / 3
    }

    /// Timeout for the store's response, in addition to a long poll. One
    /// renewal may fail before the lease ends.
    pub fn store_timeout(self) -> Duration {
        self.lease / 4
    }

    /// Timeout of a call of a duty. A call is possible at all times while
    /// renewals succeed.
    pub fn call_timeout(self) -> Duration {
        self.lease / 4
    }

    /// Shortest time between the starts of two reads of a candidate. Renewals
    /// arrive more often, and a record that is received later only delays a
    /// claim.
    fn read_interval(self) -> Duration {
        self.lease / 2
    }

    /// Pause after a call to the store that failed.
    fn retry_pause(self) -> Duration {
        self.lease / 6
    }

    /// Pause after an append that was preceded by another one.
    fn conflict_pause(self) -> Duration {
        self.lease / 60
    }

    /// Additional wait of each candidate after the one before it, so that they
    /// seldom claim at once.
    fn stagger(self) -> Duration {
        self.lease / 12
    }
}

/// What the instance has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Reads the records from an offset on, and calls
    /// [`DutyLease::receive_tail`] or [`DutyLease::fail_read`].
    Read {
        /// Offset of the first record.
        from: LogOffset,
        /// Time for which the store waits for a record.
        wait: Duration,
    },
    /// Appends a record if the topic ends at an offset, and calls
    /// [`DutyLease::receive_append`].
    Append {
        /// Offset of the record.
        at: LogOffset,
        /// The record.
        record: LeaseRecord,
    },
    /// Waits for this time or until something changes.
    Wait(Duration),
    /// The instance stops and has nothing more to do.
    Done,
}

/// Why a lease has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEnd {
    /// It was not renewed in time.
    Expired,
    /// Another instance has claimed.
    Replaced,
    /// The service has seen a higher token.
    Superseded,
    /// The instance stops.
    Stopped,
}

impl LeaseEnd {
    /// Name of the reason in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Replaced => "replaced",
            Self::Superseded => "superseded",
            Self::Stopped => "stopped",
        }
    }
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The lease is held.
    Won,
    /// Another record was appended first, or the store was restored.
    Lost,
    /// No response was received.
    Unanswered,
}

impl ClaimResult {
    /// All results.
    pub const ALL: [Self; 3] = [Self::Won, Self::Lost, Self::Unanswered];

    /// Name of the result as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A change to log and to count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This instance holds the lease with a token.
    Acquired(FencingToken),
    /// This instance no longer holds the lease.
    Ended(FencingToken, LeaseEnd),
    /// A claim was answered, or not.
    Claimed(ClaimResult),
    /// The records name another holder.
    HolderChanged(Option<KnownHolder>),
    /// The store was restored from an earlier copy.
    Restored(StoreEra),
    /// Records were dropped by the store before they were read.
    RecordsMissed,
}

/// Holder that the records name.
#[derive(Clone, Debug)]
struct RecordedHolder {
    holder: KnownHolder,
    /// Duration of its lease.
    lease: Duration,
    /// When its newest record was received.
    received_at: LeaseTime,
    released: bool,
}

impl RecordedHolder {
    /// Until when the holder may send calls.
    fn acts_until(&self) -> LeaseTime {
        if self.released {
            self.received_at
        } else {
            self.received_at.after(self.lease)
        }
    }
}

/// A record that was sent and not yet read back.
#[derive(Clone, Debug)]
struct PendingAppend {
    at: LogOffset,
    record: LeaseRecord,
    /// When it was sent first. A later response or read may refer to any of
    /// the attempts.
    first_sent_at: LeaseTime,
    /// When it was sent last.
    sent_at: LeaseTime,
}

/// State of one instance with regard to the lease.
#[derive(Clone, Debug)]
pub struct DutyLease {
    own: LeaseOwner,
    timing: LeaseTiming,
    /// Position among the candidates; `None` if the instance is none.
    rank: Option<usize>,
    /// Era of the store in which the records were read; `None` before the first
    /// response.
    era: Option<StoreEra>,
    /// Offset of the next record to read; `None` to read from the beginning.
    next: Option<LogOffset>,
    /// Whether a response of the store has to be read before anything else.
    read_due: bool,
    /// When the last read was started.
    read_at: Option<LeaseTime>,
    /// Earliest next call to the store after one that failed.
    retry_at: LeaseTime,
    recorded: Option<RecordedHolder>,
    /// Until when machines that held the lease earlier may have sent calls.
    earlier: BTreeMap<IpAddr, LeaseTime>,
    /// Time before which this instance does not claim.
    claim_after: LeaseTime,
    pending: Option<PendingAppend>,
    /// When a record was last sent.
    sent_at: Option<LeaseTime>,
    lease: Option<HeldLease>,
    /// Token that the service has refused.
    refused: Option<FencingToken>,
    stopping: bool,
    /// Whether the lease may be released, as no call can be executed any more;
    /// `None` while calls are open.
    releasable: Option<bool>,
    changes: Vec<LeaseChange>,
}

impl DutyLease {
    /// Creates the state of an instance that has read nothing.
    pub fn new(own: LeaseOwner, timing: LeaseTiming) -> Self {
        Self {
            own,
            timing,
            rank: None,
            era: None,
            next: None,
            read_due: true,
            read_at: None,
            retry_at: LeaseTime::ZERO,
            recorded: None,
            earlier: BTreeMap::new(),
            claim_after: LeaseTime::ZERO,
            pending: None,
            sent_at: None,
            lease: None,
            refused: None,
            stopping: false,
            releasable: None,
            changes: Vec::new(),
        }
    }

    /// Times of the lease.
    pub fn timing(&self) -> LeaseTiming {
        self.timing
    }

    /// The lease, if this instance holds it and may send calls.
    pub fn held(&self, now: LeaseTime) -> Option<HeldLease> {
        self.lease.filter(|lease| now < lease.until)
    }

    /// Holder according to the records; `None` if none is known or it has
    /// released the lease.
    pub fn holder(&self) -> Option<&KnownHolder> {
        let recorded = self.recorded.as_ref().filter(|it| !it.released);
        recorded.map(|it| &it.holder)
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sets the position among the candidates; `None` if the instance is none.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    /// Begins a planned stop: the lease is no longer held, and is released once
    /// the calls have ended.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
        self.end_lease(LeaseEnd::Stopped);
    }

    /// Records that the calls of this instance have ended during a planned stop.
    /// `all_answered` is false if one may still be executed; then the lease is
    /// not released and expires.
    pub fn end_calls(&mut self, all_answered: bool) {
        self.releasable = Some(all_answered);
    }

    /// Gives up the lease because the service has seen a higher token.
    pub fn refuse_token(&mut self, now: LeaseTime, token: FencingToken) {
        self.refused = self.refused.max(Some(token));
        self.postpone_claims(now);
        self.read_due = true;
        if self.lease.is_some_and(|lease| lease.token == token) {
            self.end_lease(LeaseEnd::Superseded);
        }
    }

    /// What to do at a time. An append that is returned counts as sent then.
    pub fn next_step(&mut self, now: LeaseTime) -> LeaseStep {
        self.expire(now);
        let step = if self.stopping {
            self.stop_step(now)
        } else if self.is_owner() {
            self.owner_step(now)
        } else if self.rank.is_some() || self.held(now).is_some() {
            self.candidate_step(now)
        } else {
            LeaseStep::Wait(self.timing.lease)
        };
        match &step {
            LeaseStep::Read { .. } => self.read_at = Some(now),
            LeaseStep::Append { at, record } => {
                self.record_sent(now, *at, record);
            }
            LeaseStep::Wait(_) | LeaseStep::Done => {}
        }
        step
    }

    /// Applies the records from an offset on. `end` is the offset after the last
    /// record of the topic, if the response states it.
    pub fn receive_tail(
        &mut self,
        now: LeaseTime,
        era: StoreEra,
        from: LogOffset,
        tail: &LogTail,
        end: Option<LogOffset>,
    ) {
        let is_first = self.era.is_none();
        if !self.observe_era(now, era) {
            return;
        }
        if self.next.unwrap_or_default() != from {
            return;
        }
        match tail {
            LogTail::Gap { first } => {
                self.changes.push(LeaseChange::RecordsMissed);
                self.forget_records(now);
                self.next = *first;
                self.retry_at = now.after(self.timing.retry_pause());
            }
            LogTail::Records { records, next } => {
                if is_first || self.next.is_none() {
                    // The last records, or a restore of the store, may be of any
                    // age.
                    self.postpone_claims(now);
                }
                let known = self.holder().cloned();
                let skipped = records.len().saturating_sub(EVALUATED_MAX);
                let offsets = (from.get()..).map(LogOffset::new);
                for (offset, record) in offsets.zip(records).skip(skipped) {
                    if let Some(record) = LeaseRecord::parse(record) {
                        self.apply(now, offset, &record);
                    }
                }
                // Records further back name an earlier holder.
                let newest = end.map(|end| end.get()).unwrap_or_default();
                let newest = newest.saturating_sub(EVALUATED_MAX as u64);
                let next = LogOffset::new(newest).max(*next);
                self.next = Some(next);
                self.pending.take_if(|pending| pending.at < next);
                self.read_due = end.is_some_and(|end| next < end);
                self.report_holder(known.as_ref());
            }
        }
    }

    /// Records that a read got no response, or an unusable one.
    pub fn fail_read(&mut self, now: LeaseTime) {
        self.retry_at = now.after(self.timing.retry_pause());
    }

    /// Applies the response to an append; `None` if there was none, or an
    /// unusable one.
    pub fn receive_append(
        &mut self,
        now: LeaseTime,
        response: Option<(StoreEra, AppendResult)>,
    ) {
        let Some(pending) = self.pending.clone() else {
            return;
        };
        let is_claim = pending.record.kind == LeaseRecordKind::Claim;
        let same_era = response.filter(|(era, _)| self.observe_era(now, *era));
        let result = match (response, same_era) {
            (None, _) => {
                self.read_due = true;
                ClaimResult::Unanswered
            }
            // The record may be part of another era, where its token is not
            // unique.
            (Some(_), None) => {
                self.read_due = true;
                ClaimResult::Lost
            }
            (Some(_), Some((_, AppendResult::Appended(_)))) => {
                self.pending = None;
                let known = self.holder().cloned();
                self.next = Some(pending.at.next());
                self.record_holder(now, &pending.record);
                self.confirm(now, pending.sent_at, &pending.record);
                self.report_holder(known.as_ref());
                ClaimResult::Won
            }
            (Some(_), Some((_, AppendResult::Conflict(end)))) => {
                self.read_due = true;
                self.retry_at = now.after(self.timing.conflict_pause());
                if end.is_some_and(|end| end < pending.at) {
                    // Records are gone that were read.
                    self.forget_records(now);
                }
                ClaimResult::Lost
            }
        };
        if is_claim {
            self.changes.push(LeaseChange::Claimed(result));
        }
    }

    /// Whether the records name this instance as the holder, with a token that
    /// it may go on using.
    fn is_owner(&self) -> bool {
        self.recorded.as_ref().is_some_and(|recorded| {
            !recorded.released
                && recorded.holder.owner == self.own
                && self.refused < Some(recorded.holder.token)
                && self.era == Some(token_era(recorded.holder.token))
        })
    }

    fn stop_step(&self, now: LeaseTime) -> LeaseStep {
        let Some(recorded) = self.recorded.as_ref().filter(|_| self.is_owner())
        else {
            return LeaseStep::Done;
        };
        if recorded.acts_until() <= now || self.releasable == Some(false) {
            return LeaseStep::Done;
        }
        let Some(next) = self.next.filter(|_| self.releasable.is_some()) else {
            return LeaseStep::Wait(self.timing.retry_pause());
        };
        if let Some(pause) = self.pause(now) {
            return pause;
        }
        if self.read_due {
            return self.read(Duration::ZERO);
        }
        let token = recorded.holder.token;
        self.append(next, LeaseRecordKind::Release, token)
    }

    fn owner_step(&self, now: LeaseTime) -> LeaseStep {
        if let Some(pause) = self.pause(now) {
            return pause;
        }
        let (Some(next), Some(recorded), false) =
            (self.next, &self.recorded, self.read_due)
        else {
            return self.read(Duration::ZERO);
        };
        let interval = self.timing.renewal_interval();
        let due_at = self.sent_at.map_or(now, |at| at.after(interval));
        // A record that was not appended is sent again at once.
        if now < due_at && self.pending.is_none() {
            return LeaseStep::Wait(due_at.since(now));
        }
        let token = recorded.holder.token;
        self.append(next, LeaseRecordKind::Renew, token)
    }

    fn candidate_step(&self, now: LeaseTime) -> LeaseStep {
        if let Some(pause) = self.pause(now) {
            return pause;
        }
        let (Some(next), false) = (self.next, self.read_due) else {
            return self.read(Duration::ZERO);
        };
        let claim_at = self.claim_at(now);
        if claim_at <= now {
            let token = claim_token(self.era.unwrap_or_default(), next);
            return self.append(next, LeaseRecordKind::Claim, token);
        }
        let left = claim_at.since(now);
        let interval = self.timing.read_interval();
        let read_due_at = self.read_at.map_or(now, |at| at.after(interval));
        if now < read_due_at {
            return LeaseStep::Wait(left.min(read_due_at.since(now)));
        }
        self.read(left.min(self.timing.lease))
    }

    /// When this instance may claim.
    fn claim_at(&self, now: LeaseTime) -> LeaseTime {
        if self.held(now).is_some() {
            // The store was restored, and this instance holds the lease by a
            // record of the era before.
            return now;
        }
        let mut at = self.claim_after;
        if let Some(recorded) = &self.recorded {
            if !recorded.released {
                at = at.max(recorded.acts_until());
            }
            if recorded.holder.owner.ip != self.own.ip
                && let Some(until) = self.earlier.get(&self.own.ip)
            {
                at = at.max(until.after(self.timing.lease));
            }
        }
        let rank = u32::try_from(self.rank.unwrap_or_default());
        at.after(self.timing.stagger() * rank.unwrap_or_default())
    }

    fn pause(&self, now: LeaseTime) -> Option<LeaseStep> {
        (now < self.retry_at).then(|| LeaseStep::Wait(self.retry_at.since(now)))
    }

    fn read(&self, wait: Duration) -> LeaseStep {
        let from = self.next.unwrap_or_default();
        LeaseStep::Read { from, wait }
    }

    fn append(
        &self,
        at: LogOffset,
        kind: LeaseRecordKind,
        token: FencingToken,
    ) -> LeaseStep {
        let lease_ms = u64::try_from(self.timing.lease.as_millis());
        let record = LeaseRecord {
            kind,
            owner: self.own.clone(),
            token,
            lease_ms: lease_ms.unwrap_or_default(),
        };
        LeaseStep::Append { at, record }
    }

    fn record_sent(
        &mut self,
        now: LeaseTime,
        at: LogOffset,
        record: &LeaseRecord,
    ) {
        let before = self.pending.take();
        let first = before.filter(|it| it.at == at && it.record == *record);
        self.pending = Some(PendingAppend {
            at,
            record: record.clone(),
            first_sent_at: first.map_or(now, |it| it.first_sent_at),
            sent_at: now,
        });
        self.sent_at = Some(now);
    }

    /// Applies one record that was read.
    fn apply(&mut self, now: LeaseTime, at: LogOffset, record: &LeaseRecord) {
        // No claim could have made a higher token; a record with one would
        // block all later claims.
        if record.token > claim_token(self.era.unwrap_or_default(), at) {
            return;
        }
        if let Some(recorded) = &self.recorded
            && record.token <= recorded.holder.token
            && !recorded.holder.is(&record.owner, record.token)
        {
            return;
        }
        self.record_holder(now, record);
        let pending = self.pending.as_ref();
        let sent = pending.filter(|it| it.at == at && it.record == *record);
        if let Some(sent_at) = sent.map(|it| it.first_sent_at) {
            self.confirm(now, sent_at, record);
        }
    }

    /// Records the holder that a valid record names.
    fn record_holder(&mut self, now: LeaseTime, record: &LeaseRecord) {
        let lease = Duration::from_millis(record.lease_ms).min(LEASE_MAX);
        let newest = RecordedHolder {
            holder: KnownHolder {
                owner: record.owner.clone(),
                token: record.token,
            },
            lease: lease.max(self.timing.lease),
            received_at: now,
            released: record.kind == LeaseRecordKind::Release,
        };
        let before = self.recorded.replace(newest);
        if let Some(before) = before
            && before.holder.owner.ip != record.owner.ip
        {
            let until = before.acts_until();
            self.earlier.insert(before.holder.owner.ip, until);
        }
        let lease = self.timing.lease;
        self.earlier.retain(|_, until| now < until.after(lease));
        let is_replaced = self.lease.is_some_and(|lease| {
            record.owner != self.own && lease.token < record.token
        });
        if is_replaced {
            self.end_lease(LeaseEnd::Replaced);
        }
    }

    /// Begins or extends the lease, since a record of this instance that was
    /// sent at a time was appended in the era of its token.
    fn confirm(
        &mut self,
        now: LeaseTime,
        sent_at: LeaseTime,
        record: &LeaseRecord,
    ) {
        let until = sent_at.after(self.timing.held_for());
        let is_usable = now < until
            && record.kind != LeaseRecordKind::Release
            && !self.stopping
            && self.refused < Some(record.token);
        if !is_usable {
            return;
        }
        let before = self.lease.filter(|it| it.token == record.token);
        self.lease = Some(HeldLease {
            token: record.token,
            until: before.map_or(until, |it| it.until.max(until)),
        });
        if before.is_none() {
            self.changes.push(LeaseChange::Acquired(record.token));
        }
    }

    /// Ends the lease if its time is over.
    fn expire(&mut self, now: LeaseTime) {
        if self.lease.is_some_and(|lease| lease.until <= now) {
            self.end_lease(LeaseEnd::Expired);
        }
    }

    fn end_lease(&mut self, reason: LeaseEnd) {
        if let Some(lease) = self.lease.take() {
            self.changes.push(LeaseChange::Ended(lease.token, reason));
        }
    }

    fn postpone_claims(&mut self, now: LeaseTime) {
        self.claim_after = self.claim_after.max(now.after(self.timing.lease));
    }

    /// Forgets the records, since some were missed or are gone.
    fn forget_records(&mut self, now: LeaseTime) {
        let known = self.holder().cloned();
        self.next = None;
        self.recorded = None;
        self.pending = None;
        self.read_due = true;
        self.postpone_claims(now);
        self.report_holder(known.as_ref());
    }

    /// Records the era of a response. Returns whether the response belongs to
    /// the era in which the records were read.
    fn observe_era(&mut self, now: LeaseTime, era: StoreEra) -> bool {
        match self.era {
            None => self.era = Some(era),
            Some(known) if known == era => {}
            Some(known) if known < era => {
                self.era = Some(era);
                self.changes.push(LeaseChange::Restored(era));
                self.forget_records(now);
                return false;
            }
            Some(_) => {
                self.fail_read(now);
                return false;
            }
        }
        true
    }

    fn report_holder(&mut self, before: Option<&KnownHolder>) {
        let holder = self.holder().cloned();
        if holder.as_ref() != before {
            self.changes.push(LeaseChange::HolderChanged(holder));
        }
    }
}

/// Instances that may claim the lease while nobody holds it.
pub const CANDIDATE_COUNT: usize = 3;
/// Seed of the hash that ranks the instances.
const RANK_SEED: u64 = 0x6475_7479;

/// The instances that may claim the lease, by their addresses and in the order
/// in which they should: the first ones of all by rendezvous hashing.
pub fn lease_candidates(serving: &[IpAddr]) -> Vec<IpAddr> {
    let mut ranked: Vec<_> =
        serving.iter().map(|ip| (rank_hash(*ip), *ip)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(CANDIDATE_COUNT);
    ranked.into_iter().map(|(_, ip)| ip).collect()
}

fn rank_hash(ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), RANK_SEED),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), RANK_SEED),
    }
}
