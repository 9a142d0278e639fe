//! Notes upstreams that are listed again, and has their status checked.

use rand::{Rng, seq::IndexedRandom};

use super::{UpstreamEntry, UpstreamProcess, UpstreamTable};
use crate::{
    gateway::upstream_return::{EntryRead, LATE_ENTRY_TIME},
    ids::UpstreamId,
    units::Timestamp,
};

/// Entries of a process that it writes while it starts; a number above shows that
/// it was listed before.
const FIRST_ENTRIES: u64 = 3;

impl UpstreamTable {
    /// Notes whether an entry may be one from before its upstream left.
    pub(super) fn watch_return(
        &mut self,
        now: Timestamp,
        entry: &UpstreamEntry,
        read: EntryRead,
    ) {
        let late = self.returns.doubtful_time(read);
        let departed = self.departures.get(&entry.id).filter(|departed| {
            departed.may_precede(now, entry.revision(), late)
        });
        match departed.map(|departed| departed.at) {
            Some(left_at) => {
                let needs_check = self.needs_check(now, entry);
                self.returns.record_return(now, left_at, entry, needs_check);
            }
            None => self.returns.record_entry(now, entry, read),
        }
    }

    /// Notes whether an entry of an unknown upstream may be one from before it
    /// left: an instance that has just started knows of no removal before.
    pub(super) fn watch_new(&mut self, now: Timestamp, entry: &UpstreamEntry) {
        let Some(first_read_at) = self.first_read_at else {
            return;
        };
        let is_known = self.upstreams.contains_key(&entry.id)
            || self.departures.get(&entry.id).is_some();
        let is_first = entry.sequence <= FIRST_ENTRIES;
        if is_known || is_first || now.since(first_read_at) >= LATE_ENTRY_TIME {
            return;
        }
        let (service, id) = (&entry.service, &entry.id);
        self.returns.record_departure(first_read_at, service, id);
        let needs_check = self.needs_check(now, entry);
        self.returns
            .record_return(now, first_read_at, entry, needs_check);
    }

    /// Whether the service of an upstream that is listed again may lack capacity
    /// without it: it is not the only one that left, or no other can serve.
    fn needs_check(&self, now: Timestamp, entry: &UpstreamEntry) -> bool {
        if self.returns.recent_departures(now, &entry.service) > 1 {
            return true;
        }
        let excluded = std::slice::from_ref(&entry.id);
        let others = self.candidates(now, &entry.service, excluded);
        others.iter().all(|upstream| upstream.is_avoided(now))
    }

    /// Processes whose status is to be checked now, at most `limit`, since
    /// they may have left. Which of them is random, so that instances do not all
    /// ask the same one.
    pub fn next_status_checks(
        &mut self,
        now: Timestamp,
        limit: usize,
        rng: &mut impl Rng,
    ) -> Vec<UpstreamEntry> {
        self.returns.expire(now);
        let due = self.returns.due_checks(now);
        let mut chosen = Vec::new();
        for id in due.choose_multiple(rng, limit) {
            self.returns.begin_check(now, id);
            let upstream = self.upstreams.get(id);
            chosen.extend(upstream.map(|it| it.entry.clone()));
        }
        chosen
    }

    /// Records that a process has answered a status check and is not leaving;
    /// returns whether that was in doubt.
    pub fn confirm(&mut self, process: &UpstreamProcess) -> bool {
        self.returns.confirm(process)
    }

    /// Whether a listed upstream may have left.
    pub fn is_doubtful(&self, now: Timestamp, id: &UpstreamId) -> bool {
        self.returns.is_doubtful(now, id)
    }
}
