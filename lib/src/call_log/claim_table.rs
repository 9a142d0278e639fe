//! Claims of the keys of one call stream, computed from its records.
//!
//! The result depends only on the records and their order, so every instance
//! that reads the stream finds the same attempt in possession of a key.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::Deserialize;

use super::{
    CallRecord, KEY_CLOCK_SKEW, KEY_LIFETIME, is_key_valid, key_created_at,
};
use crate::{
    ids::{InstanceId, RequestId},
    peer_api::{CallKey, CallOutcome},
    platform_api::LogRecord,
    units::LogTime,
};

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq)]
struct KeyClaim {
    attempt: RequestId,
    entry: InstanceId,
    digest: Arc<str>,
    /// Deadline of the attempt, by the log service's clock.
    ends_at: LogTime,
    outcome: Option<CallOutcome>,
}

/// State of one key.
#[derive(Clone, Debug, Default, PartialEq)]
struct KeyState {
    claim: Option<KeyClaim>,
    /// Released attempts. A claim of such an attempt that comes later in the
    /// log is ignored: its entry has given the attempt up and would not run
    /// it.
    released: BTreeSet<RequestId>,
}

/// Status of an attempt's claim after the records applied so far.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStatus {
    /// The attempt holds the key.
    Won,
    /// An attempt with the same request digest holds the key and has an
    /// outcome.
    Recorded(CallOutcome),
    /// Another attempt holds the key without an outcome. With the instance
    /// that holds its caller, and its deadline by the log service's clock.
    Held(InstanceId, LogTime),
    /// The key is held by an attempt with another request digest.
    DigestMismatch,
    /// No attempt holds the key.
    Free,
}

/// Keys of one call stream in the state after the records applied so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    keys: BTreeMap<CallKey, KeyState>,
    by_time: BTreeSet<(LogTime, CallKey)>,
}

impl ClaimTable {
    /// A table to which no records were applied.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of keys held in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Number of claimed keys whose attempt has neither an outcome nor a
    /// release.
    pub fn open_count(&self) -> usize {
        let claims = self.keys.values().filter_map(|key| key.claim.as_ref());
        claims.filter(|claim| claim.outcome.is_none()).count()
    }

    /// Whether the table holds no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies the next record of the stream and returns it parsed. `None` if
    /// it is not a valid [`CallRecord`]; such a record changes nothing.
    pub fn apply(&mut self, record: &LogRecord) -> Option<CallRecord> {
        let parsed = CallRecord::deserialize(&record.value).ok()?;
        match &parsed {
            CallRecord::Claim {
                key,
                attempt,
                entry,
                digest,
                time_left_ms,
            } if is_key_valid(key, record.appended_at) => {
                let left = LogTime::new(*time_left_ms);
                let claim = KeyClaim {
                    attempt: attempt.clone(),
                    entry: entry.clone(),
                    digest: digest.clone(),
                    ends_at: record.appended_at.saturating_add(left),
                    outcome: None,
                };
                self.apply_claim(key, claim);
            }
            CallRecord::Claim { .. } => {}
            CallRecord::Release { key, attempt } => {
                self.apply_release(key, attempt)
            }
            CallRecord::Outcome {
                key,
                attempt,
                outcome,
            } => self.apply_outcome(key, attempt, outcome),
        }
        Some(parsed)
    }

    /// Status of the claim of an attempt with a request digest.
    pub fn status(
        &self,
        key: &CallKey,
        attempt: &RequestId,
        digest: &str,
    ) -> ClaimStatus {
        let state = self.keys.get(key);
        let Some(claim) = state.and_then(|state| state.claim.as_ref()) else {
            return ClaimStatus::Free;
        };
        if *claim.digest != *digest {
            return ClaimStatus::DigestMismatch;
        }
        match &claim.outcome {
            Some(outcome) => ClaimStatus::Recorded(outcome.clone()),
            None if claim.attempt == *attempt => ClaimStatus::Won,
            None => ClaimStatus::Held(claim.entry.clone(), claim.ends_at),
        }
    }

    /// Whether a release of the attempt was applied.
    pub fn is_released(&self, key: &CallKey, attempt: &RequestId) -> bool {
        let state = self.keys.get(key);
        state.is_some_and(|state| state.released.contains(attempt))
    }

    /// Whether the attempt holds the key and an outcome of it was applied.
    pub fn is_recorded(&self, key: &CallKey, attempt: &RequestId) -> bool {
        let claim = self.keys.get(key).and_then(|state| state.claim.as_ref());
        claim.is_some_and(|h| h.attempt == *attempt && h.outcome.is_some())
    }

    /// Removes keys that are too old to be claimed. They are kept for twice
    /// [`KEY_CLOCK_SKEW`] longer than [`KEY_LIFETIME`], because the log
    /// service's clock may step back.
    pub fn expire(&mut self, log_now: LogTime) {
        let kept = KEY_LIFETIME + KEY_CLOCK_SKEW * 2;
        let kept = LogTime::new(kept.as_millis() as u64);
        let oldest = log_now.saturating_sub(kept);
        while let Some((made, key)) = self.by_time.first()
            && *made < oldest
        {
            self.keys.remove(key);
            self.by_time.pop_first();
        }
    }

    fn apply_claim(&mut self, key: &CallKey, claim: KeyClaim) {
        let state = self.key_state(key);
        if state.claim.is_none() && !state.released.contains(&claim.attempt) {
            state.claim = Some(claim);
        }
    }

    fn apply_release(&mut self, key: &CallKey, attempt: &RequestId) {
        let state = self.key_state(key);
        let ran = state
            .claim
            .as_ref()
            .is_some_and(|claim| claim.outcome.is_some());
        if ran {
            return;
        }
        state.released.insert(attempt.clone());
        let holds = |claim: &mut KeyClaim| claim.attempt == *attempt;
        state.claim.take_if(holds);
    }

    fn apply_outcome(
        &mut self,
        key: &CallKey,
        attempt: &RequestId,
        outcome: &CallOutcome,
    ) {
        if let Some(claim) = &mut self.key_state(key).claim
            && claim.attempt == *attempt
        {
            claim.outcome.get_or_insert_with(|| outcome.clone());
        }
    }

    fn key_state(&mut self, key: &CallKey) -> &mut KeyState {
        if !self.keys.contains_key(key) {
            let made = key_created_at(key).unwrap_or_default();
            self.by_time.insert((made, key.clone()));
        }
        self.keys.entry(key.clone()).or_default()
    }
}
