//! Utilities of the property tests: their configuration, a queue of simulated
//! events and a model of the log service.
//!
//! The seed is fixed, so that all runs have the same result. To run other
//! cases, in any number:
//!
//! ```text
//! BORAGELINE_PROPTEST_SEED=random PROPTEST_CASES=10000 \
//!     cargo test -p borageline-lib --test 'test_*' -- property
//! ```
//!
//! A number instead of `random` sets the seed. A failure prints its input.

use std::{collections::BTreeMap, env, time::Duration};

use borageline_lib::{
    platform_api::{AppendResponse, LogRecord, RecordPage},
    units::{LogOffset, LogTime, Timestamp},
};
use proptest::test_runner::{Config, RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Configuration of a property test. `cases` is the number of cases if
/// `PROPTEST_CASES` is not set.
pub(crate) fn config(cases: u32) -> Config {
    let seed = env::var("BORAGELINE_PROPTEST_SEED").ok();
    let rng_seed = match seed.as_deref() {
        Some("random") => RngSeed::Random,
        Some(text) => RngSeed::Fixed(text.parse().expect("seed is a number")),
        None => RngSeed::Fixed(20_261_204),
    };
    let asked = env::var("PROPTEST_CASES").ok();
    let asked = asked.map(|text| text.parse().expect("cases is a number"));
    Config {
        cases: asked.unwrap_or(cases),
        rng_seed,
        failure_persistence: None,
        ..Config::default()
    }
}

pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Time of the log service's clock at a simulated time.
pub(crate) fn log_time(now: Timestamp) -> LogTime {
    LogTime::new(1_800_000_000_000 + now.get() / 1_000)
}

/// Simulated clock and random numbers, and the scheduled events in the order
/// of their time.
pub(crate) struct EventQueue<E> {
    pub(crate) now: Timestamp,
    pub(crate) rng: ChaCha8Rng,
    sequence: u64,
    events: BTreeMap<(Timestamp, u64), E>,
}

impl<E> EventQueue<E> {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Timestamp::new(3_600_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            events: BTreeMap::new(),
        }
    }

    pub(crate) fn push(&mut self, at: Timestamp, event: E) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    pub(crate) fn push_in(&mut self, delay: Duration, event: E) {
        self.push(self.now.after(delay), event);
    }

    /// True with a probability in percent.
    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent.min(100), 100)
    }

    pub(crate) fn delay(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        millis(self.rng.random_range(from_ms..=to_ms))
    }

    /// Removes the first event and sets the clock to its time. If the event is
    /// later than `end`, sets the clock to `end` instead and returns `None`.
    /// `None` also if there are no events.
    pub(crate) fn pop_until(&mut self, end: Timestamp) -> Option<E> {
        let (key, _) = self.events.first_key_value()?;
        if key.0 > end {
            self.now = end;
            return None;
        }
        let ((at, _), event) = self.events.pop_first()?;
        self.now = at;
        Some(event)
    }
}

/// A stream of the log service.
#[derive(Clone, Debug)]
pub(crate) struct LogModel {
    pub(crate) records: Vec<LogRecord>,
    pub(crate) earliest: LogOffset,
    pub(crate) retention_ms: u64,
}

impl LogModel {
    pub(crate) fn new(retention: Duration) -> Self {
        Self {
            records: Vec::new(),
            earliest: LogOffset::ZERO,
            retention_ms: retention.as_millis() as u64,
        }
    }

    pub(crate) fn head(&self) -> LogOffset {
        LogOffset::new(self.records.len() as u64)
    }

    pub(crate) fn append(
        &mut self,
        now: Timestamp,
        values: Vec<serde_json::Value>,
    ) -> AppendResponse {
        let first_offset = self.head();
        let count = values.len() as u64;
        for value in values {
            let offset = self.head();
            let appended_at = log_time(now);
            self.records.push(LogRecord {
                offset,
                appended_at,
                value,
            });
        }
        AppendResponse {
            first_offset,
            count,
        }
    }

    pub(crate) fn truncate_to(&mut self, earliest: LogOffset) {
        self.earliest = self.earliest.max(earliest).min(self.head());
    }

    /// Drops the records that are older than the retention.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let oldest = log_time(now).get() - self.retention_ms;
        let kept = |record: &LogRecord| record.appended_at.get() >= oldest;
        let first = self.records.iter().position(kept);
        let first = first.map_or(self.head().get(), |index| index as u64);
        self.truncate_to(LogOffset::new(first));
    }

    pub(crate) fn read(
        &self,
        now: Timestamp,
        from: LogOffset,
        limit: usize,
    ) -> RecordPage {
        let from = from.max(self.earliest).min(self.head());
        let records = self.records[from.get() as usize..].iter();
        RecordPage {
            records: records.take(limit).cloned().collect(),
            earliest: self.earliest,
            head: self.head(),
            retention_ms: self.retention_ms,
            now_ms: log_time(now),
        }
    }
}
