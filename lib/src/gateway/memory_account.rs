//! Account of the memory that callers and upstreams can make a process hold.
//!
//! A body or an answer is read into memory only after its share of the account
//! was granted. A share covers all of a body whose length is known, so that
//! bodies that have begun can always be completed, whatever else arrives. One
//! of unknown length starts small and asks for more.
//!
//! Long bodies may take only a part of the account, short ones a larger part,
//! and answers all of it: a body is held until its answer has arrived, so that
//! bodies that took everything would wait for answers without room. Shares of
//! one kind are granted in the order of their requests. If one has to wait,
//! bodies that arrive too slowly lose their shares, the slowest first; while
//! there is room, a slow body is not disturbed.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    quantity_type,
    units::{ByteSize, Timestamp},
};

quantity_type! {
    /// Number of a share of a [`MemoryAccount`], in the order of requests.
    ShareNumber, ""
}

/// Largest share that is granted ahead of longer ones that wait.
pub const SHORT_SHARE_MAX: ByteSize = ByteSize::new(64 << 10);
/// Part of the account that long bodies may take, in eighths.
const LONG_BODY_EIGHTHS: u64 = 5;
/// Part of the account that all bodies may take, in eighths. What is left holds
/// the largest answer that is buffered (16 MiB) with 150 MiB of memory.
const BODY_EIGHTHS: u64 = 6;
/// Time in which a body must progress to keep its share while others wait.
const PROGRESS_TIME: Duration = Duration::from_secs(2);
/// Bytes that count as progress: 8 KiB/s, a slow mobile connection.
const PROGRESS_BYTES: u64 = 16 << 10;
/// Time after the grant in which the pace of a body is not judged: several
/// round trips, since a sender that was held back begins again slowly.
const PACE_GRACE: Duration = Duration::from_millis(500);
/// Part of the pace needed to arrive by the deadline below which a body loses
/// its share while others wait.
const PACE_SHARE_MIN: f64 = 0.5;

/// What a share of the account is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Request body.
    Body,
    /// Answer of an upstream.
    Answer,
}

/// Where a share stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareState {
    /// The account has no room for it yet.
    Waiting,
    /// Its bytes may be held.
    Granted,
    /// Its bytes must be dropped, since the sender is too slow.
    Revoked,
}

/// The account has no room for a share, and too many others wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryFull {
    /// Size of the account in use.
    pub used: ByteSize,
}

/// One share of the account.
#[derive(Clone, Debug)]
struct MemoryShare {
    memory_use: MemoryUse,
    wanted: u64,
    granted: u64,
    state: ShareState,
    /// Time by which all of the bytes must have arrived.
    deadline: Timestamp,
    granted_at: Timestamp,
    received: u64,
    /// Time and bytes received when it last progressed.
    progress: (Timestamp, u64),
    is_complete: bool,
}

impl MemoryShare {
    fn is_short(&self) -> bool {
        self.wanted <= SHORT_SHARE_MAX.get()
    }

    /// Whether others may take its place while they wait.
    fn is_slow(&self, now: Timestamp) -> bool {
        if self.memory_use != MemoryUse::Body
            || self.state != ShareState::Granted
            || self.is_complete
        {
            return false;
        }
        let elapsed = now.since(self.granted_at);
        let allowed = self.deadline.since(self.granted_at);
        let elapsed_share = elapsed.as_secs_f64() / allowed.as_secs_f64();
        let due = self.wanted as f64 * elapsed_share.min(1.0) * PACE_SHARE_MIN;
        now.since(self.progress.0) >= PROGRESS_TIME
            || elapsed >= PACE_GRACE && (self.received as f64) < due
    }

    /// Bytes received per second since the grant.
    fn pace(&self, now: Timestamp) -> f64 {
        self.received as f64 / now.since(self.granted_at).as_secs_f64()
    }
}

/// Memory of one process, divided into shares.
#[derive(Clone, Debug, Default)]
pub struct MemoryAccount {
    total: u64,
    used: u64,
    /// Part of `used` that bodies take.
    used_by_bodies: u64,
    last_number: u64,
    shares: BTreeMap<ShareNumber, MemoryShare>,
    changed: Vec<ShareNumber>,
}

impl MemoryAccount {
    /// Creates an empty account of a size.
    pub fn new(total: ByteSize) -> Self {
        Self {
            total: total.get(),
            ..Self::default()
        }
    }

    /// Changes the size of the account. Shares that were granted stay.
    pub fn set_total(&mut self, total: ByteSize) {
        self.total = total.get();
    }

    /// Bytes in use; never more than the size of the account, unless that was
    /// reduced.
    pub fn used(&self) -> ByteSize {
        ByteSize::new(self.used)
    }

    /// Asks for a share. Fails if it can never be granted, or if more bytes
    /// wait already than may be held at the same time.
    pub fn request(
        &mut self,
        now: Timestamp,
        memory_use: MemoryUse,
        size: ByteSize,
        deadline: Timestamp,
    ) -> Result<ShareNumber, MemoryFull> {
        let share = MemoryShare {
            memory_use,
            wanted: size.get(),
            granted: 0,
            state: ShareState::Waiting,
            deadline,
            granted_at: now,
            received: 0,
            progress: (now, 0),
            is_complete: false,
        };
        self.check_queue(&share)?;
        self.last_number += 1;
        let number = ShareNumber::new(self.last_number);
        self.shares.insert(number, share);
        self.settle(now);
        Ok(number)
    }

    /// Asks for a larger share. What was granted stays granted meanwhile.
    /// Fails like [`Self::request`]; then the share stays as it is.
    pub fn grow(
        &mut self,
        now: Timestamp,
        number: ShareNumber,
        size: ByteSize,
    ) -> Result<(), MemoryFull> {
        let Some(share) = self.shares.get(&number) else {
            return Ok(());
        };
        if share.state != ShareState::Granted || size.get() <= share.granted {
            return Ok(());
        }
        let grown = MemoryShare {
            wanted: size.get(),
            state: ShareState::Waiting,
            ..share.clone()
        };
        self.check_queue(&grown)?;
        self.shares.insert(number, grown);
        self.settle(now);
        Ok(())
    }

    /// State of a share; one that was released counts as revoked.
    pub fn state(&self, number: ShareNumber) -> ShareState {
        let share = self.shares.get(&number);
        share.map_or(ShareState::Revoked, |share| share.state)
    }

    /// Records how many bytes of a share have arrived in all.
    pub fn record_received(
        &mut self,
        now: Timestamp,
        number: ShareNumber,
        received: ByteSize,
    ) {
        if let Some(share) = self.shares.get_mut(&number) {
            share.received = received.get();
            if share.received >= share.progress.1 + PROGRESS_BYTES {
                share.progress = (now, share.received);
            }
        }
    }

    /// Records that all bytes have arrived, and returns what is not needed.
    pub fn complete(
        &mut self,
        now: Timestamp,
        number: ShareNumber,
        size: ByteSize,
    ) {
        if let Some(share) = self.shares.get_mut(&number) {
            share.is_complete = true;
            let unused = share.granted.saturating_sub(size.get());
            share.granted -= unused;
            share.wanted = share.granted;
            let memory_use = share.memory_use;
            self.give_back(memory_use, unused);
            self.settle(now);
        }
    }

    /// Returns a share, or withdraws the request for it.
    pub fn release(&mut self, now: Timestamp, number: ShareNumber) {
        if let Some(share) = self.shares.remove(&number) {
            self.give_back(share.memory_use, share.granted);
            self.settle(now);
        }
    }

    /// Shares whose state has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<ShareNumber> {
        std::mem::take(&mut self.changed)
    }

    /// Grants what fits, and revokes shares of slow bodies if something has to
    /// wait. Must be called from time to time while shares wait.
    pub fn settle(&mut self, now: Timestamp) {
        let waiting: Vec<_> = self
            .shares
            .iter()
            .filter(|(_, share)| share.state == ShareState::Waiting)
            .map(|(number, share)| (*number, share.clone()))
            .collect();
        let mut is_long_blocked = false;
        let mut missing = 0;
        for (number, share) in waiting {
            let more = share.wanted - share.granted;
            let missing_here = self.missing(&share);
            let is_long_body =
                share.memory_use == MemoryUse::Body && !share.is_short();
            if missing_here > 0 || is_long_body && is_long_blocked {
                is_long_blocked |= is_long_body;
                if missing == 0 {
                    missing = missing_here;
                }
                continue;
            }
            self.used += more;
            if share.memory_use == MemoryUse::Body {
                self.used_by_bodies += more;
            }
            if let Some(share) = self.shares.get_mut(&number) {
                share.granted = share.wanted;
                share.state = ShareState::Granted;
                share.granted_at = now;
                share.progress = (now, share.received);
            }
            self.changed.push(number);
        }
        self.revoke_slow(now, missing);
    }

    /// Revokes shares of slow bodies until `missing` bytes are or will be
    /// free.
    fn revoke_slow(&mut self, now: Timestamp, mut missing: u64) {
        let revoked = self.shares.values();
        let revoked = revoked.filter(|it| it.state == ShareState::Revoked);
        // These are returned as soon as their readers notice.
        let returning: u64 = revoked.map(|share| share.granted).sum();
        missing = missing.saturating_sub(returning);
        while missing > 0 {
            let slow = self
                .shares
                .iter_mut()
                .filter(|(_, share)| share.is_slow(now))
                .min_by(|(_, a), (_, b)| a.pace(now).total_cmp(&b.pace(now)));
            let Some((number, share)) = slow else { return };
            share.state = ShareState::Revoked;
            missing = missing.saturating_sub(share.granted);
            self.changed.push(*number);
        }
    }

    fn waiting(&self) -> impl Iterator<Item = &MemoryShare> {
        let shares = self.shares.values();
        shares.filter(|share| share.state == ShareState::Waiting)
    }

    fn give_back(&mut self, memory_use: MemoryUse, bytes: u64) {
        self.used -= bytes;
        if memory_use == MemoryUse::Body {
            self.used_by_bodies -= bytes;
        }
    }

    /// Bytes that must be returned before a share can be granted.
    fn missing(&self, share: &MemoryShare) -> u64 {
        let more = share.wanted - share.granted;
        let used = match share.memory_use {
            MemoryUse::Body => self.used_by_bodies,
            MemoryUse::Answer => self.used,
        };
        let over_ceiling = (used + more).saturating_sub(self.ceiling(share));
        over_ceiling.max((self.used + more).saturating_sub(self.total))
    }

    /// Fails if more bytes of the kind wait than may be held at the same time.
    fn check_queue(&self, share: &MemoryShare) -> Result<(), MemoryFull> {
        let alike = self.waiting().filter(|other| {
            other.memory_use == share.memory_use
                && other.is_short() == share.is_short()
        });
        let waiting: u64 = alike.map(|it| it.wanted - it.granted).sum();
        if waiting + share.wanted > self.ceiling(share) {
            return Err(MemoryFull { used: self.used() });
        }
        Ok(())
    }

    /// Size up to which shares of one kind may fill the account.
    fn ceiling(&self, share: &MemoryShare) -> u64 {
        let eighths = match share.memory_use {
            MemoryUse::Answer => 8,
            MemoryUse::Body if share.is_short() => BODY_EIGHTHS,
            MemoryUse::Body => LONG_BODY_EIGHTHS,
        };
        self.total * eighths / 8
    }
}
