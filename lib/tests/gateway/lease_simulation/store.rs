//! The topic of the lease in a simulated store.

use borageline_lib::{
    gateway::{
        store_era::StoreEra,
        wire::{AppendResult, LogTail},
    },
    units::LogOffset,
};
use bytes::Bytes;

/// Most records of one response.
const PAGE_RECORDS: usize = 100;

/// Content of the topic at some moment.
#[derive(Clone, Debug)]
pub(crate) struct LogTopicBackup {
    first: u64,
    records: Vec<Bytes>,
}

/// One topic of a store.
#[derive(Debug, Default)]
pub(crate) struct LogStore {
    pub(crate) era: StoreEra,
    pub(crate) is_down: bool,
    first: u64,
    pub(crate) records: Vec<Bytes>,
}

impl LogStore {
    pub(crate) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Whether a read from an offset would wait for a record.
    pub(crate) fn has_no_record(&self, from: LogOffset) -> bool {
        from.get() == self.end()
    }

    pub(crate) fn append(&mut self, record: Bytes) {
        self.records.push(record);
    }

    pub(crate) fn append_at(
        &mut self,
        at: LogOffset,
        record: Bytes,
    ) -> AppendResult {
        if at.get() != self.end() {
            return AppendResult::Conflict(Some(LogOffset::new(self.end())));
        }
        self.append(record);
        AppendResult::Appended(LogOffset::new(self.end()))
    }

    pub(crate) fn read(&self, from: LogOffset) -> (LogTail, LogOffset) {
        let end = LogOffset::new(self.end());
        if from.get() < self.first || from > end {
            let first = Some(LogOffset::new(self.first));
            return (LogTail::Gap { first }, end);
        }
        let skip = (from.get() - self.first) as usize;
        let records = self.records.iter().skip(skip).take(PAGE_RECORDS);
        let records: Vec<_> = records.cloned().collect();
        let next = LogOffset::new(from.get() + records.len() as u64);
        (LogTail::Records { records, next }, end)
    }

    /// Drops the oldest records and keeps the newest ones.
    pub(crate) fn trim(&mut self, kept: usize) {
        let dropped = self.records.len().saturating_sub(kept);
        self.records.drain(..dropped);
        self.first += dropped as u64;
    }

    pub(crate) fn back_up(&self) -> LogTopicBackup {
        LogTopicBackup {
            first: self.first,
            records: self.records.clone(),
        }
    }

    pub(crate) fn restore(&mut self, backup: &LogTopicBackup) {
        self.first = backup.first;
        self.records = backup.records.clone();
        self.era = StoreEra::new(self.era.get() + 1);
    }
}
