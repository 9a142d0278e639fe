//! At-most-once calls: claims of idempotency keys, releases and outcomes.
//!
//! The order of the records in the call streams of the log decides which
//! attempt may run. [`CallOwnerTable`] is the owner's side of the streams;
//! [`CallEntryTable`] is the side of the instance that holds the caller. Two
//! instances that both act as owner of a stream do no harm.

mod claim_table;
mod entry;
mod owner;
mod stream;

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::Xxh3;

pub use self::{
    claim_table::{ClaimStatus, ClaimTable},
    entry::{CallEntryAction, CallEntryEvent, CallEntryTable, EntryCallId},
    owner::{
        CallAppendId, CallOwnerAction, CallOwnerEvent, CallOwnerTable,
        CallRequester, CallStreamStats,
    },
};
use crate::{
    ids::{InstanceId, RequestId},
    peer_api::{CallKey, CallOutcome},
    units::LogTime,
    value_type,
};

/// Number of call streams in use.
pub const CALL_STREAMS: usize = 4;
/// Greatest age of a key, by the log's clock.
pub const KEY_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// How far ahead of the log's clock a key may be.
pub const KEY_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Largest body of an outcome that is recorded in full.
pub const OUTCOME_BODY_MAX_BYTES: usize = 16 << 10;

/// Name of a call stream.
pub fn stream_name(index: usize) -> crate::ids::StreamName {
    let name = format!("calls-{index}");
    name.parse().expect("name is an id")
}

/// Call stream of a key.
pub fn stream_of(key: &CallKey) -> usize {
    let mut hash = Xxh3::new();
    hash.update(key.workspace.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(key.service.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(key.key.as_bytes());
    (hash.digest() % CALL_STREAMS as u64) as usize
}

/// Time at which a key was made, in milliseconds since the epoch; none if it
/// is not a UUIDv7.
pub fn key_time(key: &CallKey) -> Option<LogTime> {
    if key.key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.key.get_timestamp()?.to_unix();
    let millis = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    Some(LogTime::new(millis))
}

/// Whether a key's age is allowed at a time of the log's clock.
pub fn is_key_valid(key: &CallKey, at: LogTime) -> bool {
    let millis = |time: Duration| LogTime::new(time.as_millis() as u64);
    key_time(key).is_some_and(|made| {
        let oldest = at.saturating_sub(millis(KEY_LIFETIME));
        made >= oldest && made <= at.saturating_add(millis(KEY_CLOCK_SKEW))
    })
}

/// Whether records are kept long enough to decide on keys. A key can be
/// claimed for its lifetime after and for a time before it was made.
pub fn is_retention_enough(retention_ms: u64) -> bool {
    let needed = KEY_LIFETIME + KEY_CLOCK_SKEW;
    u128::from(retention_ms) > needed.as_millis()
}

value_type! {
    /// One record of a call stream.
    #[serde(tag = "record", rename_all = "snake_case")]
    pub enum CallRecord {
        /// An attempt claims a key.
        Claim {
            /// Key.
            key: CallKey,
            /// Attempt.
            attempt: RequestId,
            /// Instance that holds the caller.
            entry: InstanceId,
            /// Digest of the request.
            digest: Arc<str>,
            /// Time left until the attempt's deadline, in milliseconds.
            time_left_ms: u64,
        },
        /// An attempt was never sent and never will be.
        Release {
            /// Key.
            key: CallKey,
            /// Attempt.
            attempt: RequestId,
        },
        /// An attempt ran.
        Outcome {
            /// Key.
            key: CallKey,
            /// Attempt.
            attempt: RequestId,
            /// What came of it.
            outcome: CallOutcome,
        },
    }
}
