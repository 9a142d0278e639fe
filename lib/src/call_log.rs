//! At-most-once calls to plain services, by idempotency key.
//!
//! Each request with an idempotency key starts an attempt, which must claim
//! the key before it is sent to the upstream. Claims, releases and outcomes
//! are records in [`CALL_STREAMS`] streams of the log. The first valid claim
//! in log order that is not released holds the key, so two instances that
//! both act as owner of a stream cannot let two attempts run.
//!
//! [`CallEntryTable`] follows the attempts of the instance that holds the
//! caller's connection (the entry). [`CallOwnerTable`] appends their records
//! to the streams that the instance owns and reads them back; it keeps the
//! resulting claims in a [`ClaimTable`] per stream. Which instance owns a
//! stream is decided in [`crate::ownership`].

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

/// Number of call streams over which the keys are spread.
pub const CALL_STREAMS: usize = 4;
/// Age up to which a key is valid, by the log service's clock.
pub const KEY_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// How far the time in a key may lie ahead of the log service's clock.
pub const KEY_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Largest body that is stored in an outcome record. Of a larger body only
/// the digest is stored.
pub const OUTCOME_BODY_MAX_BYTES: usize = 16 << 10;

/// Name of the call stream with an index below [`CALL_STREAMS`].
pub fn stream_name(index: usize) -> crate::ids::StreamName {
    let name = format!("calls-{index}");
    name.parse().expect("name is an id")
}

/// Index of the call stream that holds the records of a key.
pub fn stream_index(key: &CallKey) -> usize {
    let mut hash = Xxh3::new();
    hash.update(key.workspace.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(key.service.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(key.key.as_bytes());
    (hash.digest() % CALL_STREAMS as u64) as usize
}

/// Creation time that a UUIDv7 key carries, in milliseconds since the epoch.
/// `None` if the key is not a UUIDv7.
pub fn key_created_at(key: &CallKey) -> Option<LogTime> {
    if key.key.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = key.key.get_timestamp()?.to_unix();
    let millis = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    Some(LogTime::new(millis))
}

/// Whether a key can be claimed at time `at` of the log service's clock: it
/// is at most [`KEY_LIFETIME`] old and at most [`KEY_CLOCK_SKEW`] ahead.
pub fn is_key_valid(key: &CallKey, at: LogTime) -> bool {
    let millis = |time: Duration| LogTime::new(time.as_millis() as u64);
    key_created_at(key).is_some_and(|made| {
        let oldest = at.saturating_sub(millis(KEY_LIFETIME));
        made >= oldest && made <= at.saturating_add(millis(KEY_CLOCK_SKEW))
    })
}

/// Whether the log retains records for as long as a key can be claimed, which
/// is from [`KEY_CLOCK_SKEW`] before to [`KEY_LIFETIME`] after its creation.
pub fn is_retention_sufficient(retention_ms: u64) -> bool {
    let needed = KEY_LIFETIME + KEY_CLOCK_SKEW;
    u128::from(retention_ms) > needed.as_millis()
}

value_type! {
    /// A record of a call stream.
    #[serde(tag = "record", rename_all = "snake_case")]
    pub enum CallRecord {
        /// An attempt claims a key.
        Claim {
            /// Claimed key.
            key: CallKey,
            /// Id of the attempt, used once.
            attempt: RequestId,
            /// Instance that holds the caller's connection.
            entry: InstanceId,
            /// Digest of the request, to detect a key that is used for two
            /// different requests.
            digest: Arc<str>,
            /// Time from the claim to the attempt's deadline, in milliseconds.
            time_left_ms: u64,
        },
        /// An attempt was not sent to the upstream and never will be.
        Release {
            /// Key that the attempt claimed.
            key: CallKey,
            /// Attempt that is released.
            attempt: RequestId,
        },
        /// An attempt was sent to the upstream and has ended.
        Outcome {
            /// Key that the attempt holds.
            key: CallKey,
            /// Attempt that ran.
            attempt: RequestId,
            /// Response of the upstream.
            outcome: CallOutcome,
        },
    }
}
