//! Upstreams that are no longer listed, with the last entry of each.
//!
//! The store may carry out a write seconds after its writer has stopped
//! waiting, and a restored store lists older entries again. An entry of an
//! upstream that is not listed is therefore compared with the upstream's last
//! one, by what the entries state and not by when they were read.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::UpstreamId,
    units::{Incarnation, Timestamp},
};

/// Time for which an upstream that has left is remembered. It exceeds the age
/// of a copy from which the store is restored and the 12 s after which an
/// unanswered call may still be carried out.
pub const DEPARTED_TIME: Duration = Duration::from_secs(60);
/// Most upstreams that are remembered: 10,000 that all leave within
/// [`DEPARTED_TIME`], and their successors.
pub const DEPARTED_MAX: usize = 20_000;

/// Order in which the entries of one upstream were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryRevision {
    /// Start of the process that wrote the entry; zero if it is not stated.
    pub incarnation: Incarnation,
    /// Number of the entry among those of the process; zero if it is not
    /// stated.
    pub sequence: u64,
}

/// How an upstream left the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureKind {
    /// Its entry was removed after its last one.
    Removed,
    /// A full read lacked its entry. The read may have been older than the
    /// entry.
    Missing,
    /// Its entry was replaced by one that cannot be read.
    Unreadable,
}

/// An upstream that is no longer listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DepartedUpstream {
    /// Last entry.
    pub revision: EntryRevision,
    /// How it left.
    pub kind: DepartureKind,
    /// Whether its process had just replaced a former one, whose removal may
    /// have been carried out late.
    pub follows_restart: bool,
    /// Restores of the store before it left.
    pub restores: u64,
    /// When it left.
    pub at: Timestamp,
}

impl DepartedUpstream {
    /// Whether an entry that is read after the departure, within `late`, may be
    /// one that the same process wrote before it left.
    pub fn may_precede(
        &self,
        now: Timestamp,
        revision: EntryRevision,
        late: Duration,
    ) -> bool {
        let has_left = match self.kind {
            DepartureKind::Removed => true,
            // A read that is older than the entry shows no departure.
            DepartureKind::Missing => revision != self.revision,
            DepartureKind::Unreadable => false,
        };
        has_left
            && revision.incarnation == self.revision.incarnation
            && now.since(self.at) < late
            && !self.follows_restart
    }

    /// Whether an entry was written before the upstream left, by what the
    /// entry states.
    pub fn supersedes(&self, now: Timestamp, revision: EntryRevision) -> bool {
        if now.since(self.at) >= DEPARTED_TIME {
            return false;
        }
        // An entry that was read before can come again after its removal only
        // as a repeated write. Without a sequence it may be a new one.
        let is_repeated = revision == self.revision
            && revision.sequence > 0
            && self.kind == DepartureKind::Removed;
        revision < self.revision || is_repeated
    }
}

/// The most recent departures.
#[derive(Clone, Debug, Default)]
pub struct DepartureLog {
    departed: BTreeMap<UpstreamId, DepartedUpstream>,
    /// Departures in the order of their times.
    by_time: BTreeSet<(Timestamp, UpstreamId)>,
}

impl DepartureLog {
    /// Records a departure, and forgets those that are too old or too many.
    pub fn insert(&mut self, id: UpstreamId, departed: DepartedUpstream) {
        self.remove(&id);
        while let Some((at, _)) = self.by_time.first() {
            let is_old = departed.at.since(*at) >= DEPARTED_TIME;
            if !is_old && self.by_time.len() < DEPARTED_MAX {
                break;
            }
            if let Some((_, oldest)) = self.by_time.pop_first() {
                self.departed.remove(&oldest);
            }
        }
        self.by_time.insert((departed.at, id.clone()));
        self.departed.insert(id, departed);
    }

    /// Forgets a departure and returns it.
    pub fn remove(&mut self, id: &UpstreamId) -> Option<DepartedUpstream> {
        let departed = self.departed.remove(id)?;
        self.by_time.remove(&(departed.at, id.clone()));
        Some(departed)
    }

    /// Departure of an upstream; `None` if it is listed or not remembered.
    pub fn get(&self, id: &UpstreamId) -> Option<&DepartedUpstream> {
        self.departed.get(id)
    }

    /// Number of departures that are remembered.
    pub fn len(&self) -> usize {
        self.departed.len()
    }

    /// Whether no departure is remembered.
    pub fn is_empty(&self) -> bool {
        self.departed.is_empty()
    }
}
