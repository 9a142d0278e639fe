//! Judging the records of one call stream in log order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::Deserialize;

use super::{CallRecord, KEY_AHEAD, KEY_LIFETIME, is_key_valid, key_time};
use crate::{
    ids::{InstanceId, RequestId},
    peer_api::{CallKey, CallOutcome},
    platform_api::LogRecord,
    units::LogTime,
};

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq)]
struct HeldClaim {
    attempt: RequestId,
    entry: InstanceId,
    digest: Arc<str>,
    /// When the attempt must have ended, by the log service's clock.
    ends_at: LogTime,
    outcome: Option<CallOutcome>,
}

/// What is known of one key.
#[derive(Clone, Debug, Default, PartialEq)]
struct KeyState {
    held: Option<HeldClaim>,
    /// Attempts that were released; a claim of theirs that comes later is
    /// void, since nobody would act on it.
    released: BTreeSet<RequestId>,
}

/// How a claim stands after the records judged so far.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    /// The attempt holds the key.
    Won,
    /// Another attempt holds the key and ran.
    Recorded(CallOutcome),
    /// Another attempt of this instance holds the key until this time.
    Held(InstanceId, LogTime),
    /// The key is held for another request.
    DigestMismatch,
    /// The attempt holds nothing and neither does another.
    Free,
}

/// Keys of one call stream as its records leave them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallJudge {
    keys: BTreeMap<CallKey, KeyState>,
    by_time: BTreeSet<(LogTime, CallKey)>,
}

impl CallJudge {
    /// A judge that has seen no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of keys held in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Number of keys whose attempt has neither an outcome nor a release.
    pub fn open_count(&self) -> usize {
        let held = self.keys.values().filter_map(|key| key.held.as_ref());
        held.filter(|claim| claim.outcome.is_none()).count()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Judges one record. Returns it if it was understood.
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
                let claim = HeldClaim {
                    attempt: attempt.clone(),
                    entry: entry.clone(),
                    digest: digest.clone(),
                    ends_at: record.appended_at.saturating_add(left),
                    outcome: None,
                };
                self.claim(key, claim);
            }
            CallRecord::Claim { .. } => {}
            CallRecord::Release { key, attempt } => self.release(key, attempt),
            CallRecord::Outcome {
                key,
                attempt,
                outcome,
            } => self.record(key, attempt, outcome),
        }
        Some(parsed)
    }

    /// How a claim stands.
    pub fn verdict(
        &self,
        key: &CallKey,
        attempt: &RequestId,
        digest: &str,
    ) -> ClaimVerdict {
        let state = self.keys.get(key);
        let Some(held) = state.and_then(|state| state.held.as_ref()) else {
            return ClaimVerdict::Free;
        };
        if *held.digest != *digest {
            return ClaimVerdict::DigestMismatch;
        }
        match &held.outcome {
            Some(outcome) => ClaimVerdict::Recorded(outcome.clone()),
            None if held.attempt == *attempt => ClaimVerdict::Won,
            None => ClaimVerdict::Held(held.entry.clone(), held.ends_at),
        }
    }

    /// Whether the log shows that an attempt was released.
    pub fn is_released(&self, key: &CallKey, attempt: &RequestId) -> bool {
        let state = self.keys.get(key);
        state.is_some_and(|state| state.released.contains(attempt))
    }

    /// Whether the log shows that an attempt ran.
    pub fn is_recorded(&self, key: &CallKey, attempt: &RequestId) -> bool {
        let held = self.keys.get(key).and_then(|state| state.held.as_ref());
        held.is_some_and(|h| h.attempt == *attempt && h.outcome.is_some())
    }

    /// Forgets keys that no claim can win any more. Twice the allowance for
    /// clocks is added, since the log's clock may step back.
    pub fn expire(&mut self, log_now: LogTime) {
        let kept = KEY_LIFETIME + KEY_AHEAD * 2;
        let kept = LogTime::new(kept.as_millis() as u64);
        let oldest = log_now.saturating_sub(kept);
        while let Some((made, key)) = self.by_time.first()
            && *made < oldest
        {
            self.keys.remove(key);
            self.by_time.pop_first();
        }
    }

    fn claim(&mut self, key: &CallKey, claim: HeldClaim) {
        let state = self.state(key);
        if state.held.is_none() && !state.released.contains(&claim.attempt) {
            state.held = Some(claim);
        }
    }

    fn release(&mut self, key: &CallKey, attempt: &RequestId) {
        let state = self.state(key);
        let ran = state
            .held
            .as_ref()
            .is_some_and(|held| held.outcome.is_some());
        if ran {
            return;
        }
        state.released.insert(attempt.clone());
        let holds = |held: &mut HeldClaim| held.attempt == *attempt;
        state.held.take_if(holds);
    }

    fn record(
        &mut self,
        key: &CallKey,
        attempt: &RequestId,
        outcome: &CallOutcome,
    ) {
        if let Some(held) = &mut self.state(key).held
            && held.attempt == *attempt
        {
            held.outcome.get_or_insert_with(|| outcome.clone());
        }
    }

    fn state(&mut self, key: &CallKey) -> &mut KeyState {
        if !self.keys.contains_key(key) {
            let made = key_time(key).unwrap_or_default();
            self.by_time.insert((made, key.clone()));
        }
        self.keys.entry(key.clone()).or_default()
    }
}
