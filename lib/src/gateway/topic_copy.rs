//! Local copy of one topic of the store, which other instances can read.
//!
//! An instance that follows a topic keeps the newest record of each key and
//! the most recent records. Other instances of its failure domain read this
//! copy in place of the store, and an instance that starts while the store is
//! unavailable bootstraps from it. A copy states how long ago its records were
//! read from the store, including the time spent in the copies of other
//! instances, and in which era of the store: offsets of different eras are not
//! comparable, so a reader from another era gets the newest record of each key.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;

use super::{
    store_era::{StoreEra, TopicPosition},
    wire::KeyedRecord,
};
use crate::{
    units::{LogOffset, Timestamp},
    value_type,
};

/// Version of the format of [`CopyResponse`].
pub const COPY_VERSION: u8 = 1;
/// Bytes of recent records that are kept. A reader that is further behind
/// receives the newest record of each key.
const RECENT_BYTES: usize = 1 << 20;

value_type! {
    /// Response to an instance that reads the copy.
    pub struct CopyResponse {
        /// Version of the format, [`COPY_VERSION`].
        pub version: u8,
        /// Time since the records were read from the store, in milliseconds;
        /// `None` if it is unknown, as the records may date from before the
        /// sender's start.
        pub age_ms: Option<u64>,
        /// Time since the sender saw the store recover from an outage, in
        /// milliseconds; `None` if it saw none.
        #[serde(rename = "returned_ms")]
        pub recovered_ms: Option<u64>,
        /// Whether the records are the newest of each key. Otherwise they are
        /// the records that follow the requested offset.
        #[serde(rename = "whole")]
        pub is_snapshot: bool,
        /// The records.
        pub records: Vec<KeyedRecord>,
        /// Offset after the last record.
        pub next: LogOffset,
        /// Era of the store in which the offsets are valid. It is sent after
        /// the other fields, where older builds ignore it.
        #[serde(skip)]
        pub era: Option<StoreEra>,
    }
}

impl CopyResponse {
    /// Time since the records were read from the store; `None` if it is
    /// unknown.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(Duration::from_millis)
    }

    /// Position after the last record.
    pub fn position(&self) -> TopicPosition {
        TopicPosition::new(self.era, self.next)
    }
}

/// Records of one read: those from offset `from` on and before `next`.
#[derive(Clone, Debug)]
struct RecordBatch {
    from: LogOffset,
    next: LogOffset,
    records: Vec<KeyedRecord>,
    bytes: usize,
}

/// Copy of one topic.
#[derive(Clone, Debug, Default)]
pub struct TopicCopy {
    /// Newest value of each key.
    newest: BTreeMap<Arc<str>, Bytes>,
    /// Recent reads, oldest first.
    recent: VecDeque<RecordBatch>,
    recent_bytes: usize,
    position: Option<TopicPosition>,
    /// When the copy was last read from the store, directly or through others.
    read_at: Option<Timestamp>,
    recovered_at: Option<Timestamp>,
}

impl TopicCopy {
    /// Replaces the copy by the newest record of each key. `read_at` is the
    /// time at which they were read from the store, if it is known.
    pub fn replace(
        &mut self,
        read_at: Option<Timestamp>,
        records: &[KeyedRecord],
        position: TopicPosition,
    ) {
        self.newest.clear();
        self.recent.clear();
        self.recent_bytes = 0;
        self.apply_to_newest(records);
        self.position = Some(position);
        self.read_at = read_at;
    }

    /// Appends records of the same era that follow the copy.
    pub fn extend(
        &mut self,
        read_at: Option<Timestamp>,
        records: &[KeyedRecord],
        next: LogOffset,
    ) {
        self.read_at = read_at;
        let Some(position) = &mut self.position else {
            return;
        };
        let from = position.next;
        if next <= from {
            return;
        }
        position.next = next;
        self.apply_to_newest(records);
        let bytes = records.iter().map(record_bytes).sum();
        self.recent_bytes += bytes;
        self.recent.push_back(RecordBatch {
            from,
            next,
            records: records.to_vec(),
            bytes,
        });
        while self.recent_bytes > RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= oldest.bytes;
        }
    }

    /// Updates the newest value of each key; a record without a value removes
    /// its key.
    fn apply_to_newest(&mut self, records: &[KeyedRecord]) {
        for record in records {
            match &record.value {
                Some(value) => {
                    self.newest.insert(record.key.clone(), value.clone());
                }
                None => {
                    self.newest.remove(&record.key);
                }
            }
        }
    }

    /// Records that the store answered again after an outage; the latest
    /// recovery counts.
    pub fn store_recovered(&mut self, at: Timestamp) {
        self.recovered_at = self.recovered_at.max(Some(at));
    }

    /// Whether a reader at this position gets records that it does not have
    /// yet.
    pub fn has_news_for(&self, reader: Option<TopicPosition>) -> bool {
        let Some(position) = self.position else {
            return false;
        };
        reader.is_none_or(|reader| {
            !reader.is_comparable(position) || reader.next < position.next
        })
    }

    /// Time since the records were read from the store; `None` if it is
    /// unknown.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns the records from a position on, or the newest record of each
    /// key if `from` is `None` or of another era, or if those records are no
    /// longer kept. Returns `None` before the first read.
    pub fn read(
        &self,
        now: Timestamp,
        from: Option<TopicPosition>,
    ) -> Option<CopyResponse> {
        let position = self.position?;
        let next = position.next;
        let from = from.filter(|from| from.is_comparable(position));
        let from = from.map(|from| from.next);
        let mut copy = CopyResponse {
            version: COPY_VERSION,
            age_ms: self.age(now).map(millis),
            recovered_ms: self.recovered_at.map(|at| millis(now.since(at))),
            is_snapshot: false,
            records: Vec::new(),
            next,
            era: position.era,
        };
        // A reader that has read the store itself may be ahead of this copy.
        if let Some(from) = from.filter(|from| *from >= next) {
            copy.next = from;
            return Some(copy);
        }
        let oldest = self.recent.front().map(|batch| batch.from);
        match from.filter(|from| oldest.is_some_and(|oldest| oldest <= *from)) {
            Some(from) => {
                let later = self.recent.iter().filter(|it| it.next > from);
                let records = later.flat_map(|batch| &batch.records);
                copy.records = records.cloned().collect();
            }
            None => {
                copy.is_snapshot = true;
                let newest = self.newest.iter().map(|(key, value)| {
                    let value = Some(value.clone());
                    KeyedRecord {
                        key: key.clone(),
                        value,
                    }
                });
                copy.records = newest.collect();
            }
        }
        Some(copy)
    }
}

fn record_bytes(record: &KeyedRecord) -> usize {
    let value = record.value.as_ref().map_or(0, Bytes::len);
    record.key.len() + value
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
