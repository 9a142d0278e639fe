//! Upstreams that are listed again by a process that had left the list.
//!
//! The store may carry out an entry seconds after its writer has stopped
//! waiting, and so after the removal. The number of such an entry shows
//! nothing: the list's log has no record for entries that differ in their
//! number alone, so the last entry that was read may be many numbers older than
//! the last one that was written. An upstream that is listed again by the same
//! process is therefore doubtful, and gets no requests, until one of these
//! shows that it is back:
//!
//! - It confirms its status: a process that is leaving does not.
//! - A further entry is written when none from before the removal can come any
//!   more ([`LATE_ENTRY_TIME`]). A full read does not tell when an entry was
//!   written.
//! - Its listing has outlived the time in which a late entry lapses.
//!
//! A status check takes a slot of the upstream, so it is made where the service
//! may lack capacity: if several of its upstreams left within
//! [`LATE_ENTRY_TIME`], as in an outage of the store, or no other can serve. A
//! single one is left to the time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::upstream_table::{UpstreamEntry, UpstreamProcess};
use crate::{
    ids::{ServiceName, UpstreamId},
    units::{Incarnation, Timestamp},
};

/// Time after a removal in which entries from before it may still be read. The
/// platform carries out unanswered calls up to 6 s late; the rest is for the
/// reads of the removal and of the entry.
pub const LATE_ENTRY_TIME: Duration = Duration::from_secs(8);
/// Time in which an entry lapses unless the settings state another one.
const LAPSE_TIME_DEFAULT: Duration = Duration::from_secs(6);
/// Time between two status checks of one upstream.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How an entry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryRead {
    /// Among the records that follow those read before.
    Tail,
    /// In a read of the whole list, some time after it was written.
    Full,
}

/// A listing of a process that had left.
#[derive(Clone, Copy, Debug)]
struct DoubtfulListing {
    incarnation: Incarnation,
    /// Number of the entry.
    sequence: u64,
    /// Until when an entry from before the removal may be read.
    late_until: Timestamp,
    /// When a late entry has lapsed.
    ends_at: Timestamp,
    /// When the status is to be checked; `None` if it is not.
    check_at: Option<Timestamp>,
}

/// Upstreams of one service that left within [`LATE_ENTRY_TIME`] of the last
/// one, listed again or not.
#[derive(Clone, Debug, Default)]
struct RecentDepartures {
    times: BTreeMap<UpstreamId, Timestamp>,
    by_time: BTreeSet<(Timestamp, UpstreamId)>,
}

impl RecentDepartures {
    fn insert(&mut self, now: Timestamp, id: &UpstreamId) {
        if let Some(at) = self.times.insert(id.clone(), now) {
            self.by_time.remove(&(at, id.clone()));
        }
        self.by_time.insert((now, id.clone()));
        while let Some((at, _)) = self.by_time.first()
            && !is_recent(now, *at)
        {
            if let Some((_, oldest)) = self.by_time.pop_first() {
                self.times.remove(&oldest);
            }
        }
    }

    fn count(&self, now: Timestamp) -> usize {
        match self.by_time.first() {
            Some((oldest, _)) if is_recent(now, *oldest) => self.by_time.len(),
            _ => self
                .times
                .values()
                .filter(|at| is_recent(now, **at))
                .count(),
        }
    }
}

fn is_recent(now: Timestamp, at: Timestamp) -> bool {
    now.since(at) < LATE_ENTRY_TIME
}

/// Doubtful listings, and the recent departures of each service.
#[derive(Clone, Debug)]
pub struct ReturnTable {
    listings: BTreeMap<UpstreamId, DoubtfulListing>,
    departures: BTreeMap<ServiceName, RecentDepartures>,
    lapse_time: Duration,
}

impl Default for ReturnTable {
    fn default() -> Self {
        Self {
            listings: BTreeMap::new(),
            departures: BTreeMap::new(),
            lapse_time: LAPSE_TIME_DEFAULT,
        }
    }
}

impl ReturnTable {
    /// Sets the time in which an entry that is not written again lapses.
    pub fn set_lapse_time(&mut self, time: Duration) {
        self.lapse_time = time;
    }

    /// Records that an upstream has left the list.
    pub fn record_departure(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        id: &UpstreamId,
    ) {
        self.listings.remove(id);
        let departures = self.departures.entry(service.clone()).or_default();
        departures.insert(now, id);
    }

    /// Records an entry of the process that left at `left_at`. `needs_check` is
    /// whether its service may lack capacity without it.
    pub fn record_return(
        &mut self,
        now: Timestamp,
        left_at: Timestamp,
        entry: &UpstreamEntry,
        needs_check: bool,
    ) {
        let late_until = left_at.after(LATE_ENTRY_TIME);
        let listing = DoubtfulListing {
            incarnation: entry.incarnation,
            sequence: entry.sequence,
            late_until,
            ends_at: now.max(late_until).after(self.lapse_time),
            check_at: needs_check.then_some(now),
        };
        self.listings.insert(entry.id.clone(), listing);
    }

    /// Number of upstreams of a service that left within [`LATE_ENTRY_TIME`],
    /// listed again or not.
    pub fn recent_departures(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> usize {
        let departures = self.departures.get(service);
        departures.map_or(0, |departures| departures.count(now))
    }

    /// Time after a removal in which an entry that is read may be from before it.
    pub fn doubtful_time(&self, read: EntryRead) -> Duration {
        match read {
            EntryRead::Tail => LATE_ENTRY_TIME,
            EntryRead::Full => LATE_ENTRY_TIME + self.lapse_time,
        }
    }

    /// Records a further entry of a listed upstream.
    pub fn record_entry(
        &mut self,
        now: Timestamp,
        entry: &UpstreamEntry,
        read: EntryRead,
    ) {
        let Some(listing) = self.listings.get(&entry.id) else {
            return;
        };
        let is_other_process = listing.incarnation != entry.incarnation;
        let is_new = read == EntryRead::Tail
            && entry.sequence > listing.sequence
            && now >= listing.late_until;
        if is_other_process || is_new {
            self.listings.remove(&entry.id);
        }
    }

    /// Records that a process has confirmed that it is not leaving; returns
    /// whether its listing was doubtful.
    pub fn confirm(&mut self, process: &UpstreamProcess) -> bool {
        let listing = self.listings.get(&process.upstream);
        let is_doubtful = listing
            .is_some_and(|listing| listing.incarnation == process.incarnation);
        if is_doubtful {
            self.listings.remove(&process.upstream);
        }
        is_doubtful
    }

    /// Whether an upstream may have left although it is listed.
    pub fn is_doubtful(&self, now: Timestamp, id: &UpstreamId) -> bool {
        let listing = self.listings.get(id);
        listing.is_some_and(|listing| now < listing.ends_at)
    }

    /// Upstreams whose status may be checked now.
    pub fn due_checks(&self, now: Timestamp) -> Vec<UpstreamId> {
        let due = self.listings.iter().filter(|(_, listing)| {
            let is_due = listing.check_at.is_some_and(|at| now >= at);
            is_due && now < listing.ends_at
        });
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Records that the status of an upstream is being checked.
    pub fn begin_check(&mut self, now: Timestamp, id: &UpstreamId) {
        if let Some(listing) = self.listings.get_mut(id) {
            listing.check_at = Some(now.after(CHECK_INTERVAL));
        }
    }

    /// Forgets listings that are no longer doubtful.
    pub fn expire(&mut self, now: Timestamp) {
        self.listings.retain(|_, listing| now < listing.ends_at);
    }
}
