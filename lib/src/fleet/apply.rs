//! Application of the records of the `config` stream to the state.
//!
//! The result depends on the state and the record alone, so all instances that
//! applied the same offsets hold the same state. The reasons of rejected
//! orders are part of it: instances of different versions must produce the
//! same texts.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
};

use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::{
    FleetOrder, FleetRecord, FleetSnapshot, FleetState, LeaseEntry,
    OrderOutcome,
    change::{ChangeError, SubjectOverlay, apply_change},
};
use crate::{
    ids::{InstanceId, OrderId, UpstreamId},
    platform_api::LogRecord,
    units::{Incarnation, LogOffset},
};

/// Number of order outcomes that the state keeps.
pub const OUTCOMES_KEPT: usize = 1_024;

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record changed the state.
    Applied,
    /// The record is a valid order or lease claim that does not take effect.
    Rejected {
        /// Reason as text for operators.
        reason: Arc<str>,
    },
    /// The record is invalid or a repeat, and only advanced the applied
    /// offset.
    Skipped {
        /// Reason as text for operators.
        reason: Arc<str>,
    },
    /// The record is at or below the applied offset; nothing changed.
    Stale,
    /// Records before this one are missing; nothing changed.
    Gap,
}

/// Why an order is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderRejection {
    /// The configuration does not have the version that the order expects.
    VersionMismatch {
        /// Version that the order expects.
        expected: LogOffset,
        /// Current version of the configuration.
        found: LogOffset,
        /// Last accepted order, if any.
        last_order: Option<OrderId>,
    },
    /// A change is invalid or names an unknown subject.
    Change(ChangeError),
    /// The order has no changes.
    Empty,
}

impl Display for OrderRejection {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::VersionMismatch {
                expected,
                found,
                last_order: Some(order),
            } => write!(
                formatter,
                "expected version {expected} but found {found}; lost to \
                 order {order}",
            ),
            Self::VersionMismatch {
                expected, found, ..
            } => write!(
                formatter,
                "expected version {expected} but found {found}",
            ),
            Self::Change(error) => write!(formatter, "{error}"),
            Self::Empty => formatter.write_str("the order has no changes"),
        }
    }
}

impl std::error::Error for OrderRejection {}

/// Why a snapshot cannot be installed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The digest does not match the state.
    Digest,
    /// The snapshot covers no offset above the applied one.
    NotNewer,
    /// The snapshot claims to include its own record or later ones.
    Future,
}

impl Display for SnapshotError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Digest => "snapshot digest does not match its state",
            Self::NotNewer => "snapshot is not newer than the state",
            Self::Future => "snapshot covers offsets after its own",
        })
    }
}

impl std::error::Error for SnapshotError {}

impl FleetSnapshot {
    /// Whether the digest matches the state.
    pub fn is_intact(&self) -> bool {
        state_digest(&self.state) == self.digest
    }
}

impl FleetState {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> LogOffset {
        self.applied.map_or(LogOffset::ZERO, LogOffset::next)
    }

    /// Applies one record of the `config` stream.
    ///
    /// After [`ApplyOutcome::Applied`] of a snapshot the applied offset can be
    /// below that of the record. Reading then continues at
    /// [`Self::next_offset`].
    pub fn apply(&mut self, record: &LogRecord) -> ApplyOutcome {
        let next = self.next_offset();
        if record.offset < next {
            return ApplyOutcome::Stale;
        }
        let parsed = FleetRecord::deserialize(&record.value);
        if record.offset > next {
            return self.install_across_gap(record.offset, parsed.ok());
        }
        self.applied = Some(record.offset);
        self.snapshot_at.get_or_insert(record.appended_at);
        match parsed {
            Err(error) => skipped(format!("record is invalid: {error}")),
            Ok(FleetRecord::Order(order)) => {
                self.apply_order(record.offset, order)
            }
            Ok(FleetRecord::Lease {
                upstream,
                holder,
                incarnation,
                replaces,
            }) => {
                let token = record.offset;
                let entry = LeaseEntry {
                    holder,
                    incarnation,
                    token,
                };
                self.apply_lease(upstream, entry, replaces)
            }
            Ok(FleetRecord::Snapshot(snapshot)) => {
                self.apply_snapshot(record, &snapshot)
            }
        }
    }

    /// Replaces the state by that of a snapshot, if it is intact and newer.
    pub fn install(
        &mut self,
        snapshot: FleetSnapshot,
    ) -> Result<(), SnapshotError> {
        if snapshot.state.applied <= self.applied {
            return Err(SnapshotError::NotNewer);
        }
        if !snapshot.is_intact() {
            return Err(SnapshotError::Digest);
        }
        *self = snapshot.state;
        Ok(())
    }

    /// The state with its digest.
    pub fn snapshot(&self) -> FleetSnapshot {
        FleetSnapshot {
            state: self.clone(),
            digest: state_digest(self),
        }
    }

    /// Checks an order against the current state without applying it.
    pub fn validate(&self, order: &FleetOrder) -> Result<(), OrderRejection> {
        self.check_version(order)?;
        if order.changes.is_empty() {
            return Err(OrderRejection::Empty);
        }
        let mut overlay = SubjectOverlay::new(self);
        for change in &order.changes {
            overlay.check(change).map_err(OrderRejection::Change)?;
        }
        Ok(())
    }

    /// The configuration after an order, if that were the next record. Its
    /// version and outcomes are those from before the order.
    pub fn preview(&self, order: &FleetOrder) -> Result<Self, OrderRejection> {
        self.validate(order)?;
        let mut state = self.clone();
        for change in &order.changes {
            apply_change(&mut state, self.next_offset(), change.clone());
        }
        Ok(state)
    }

    /// Builds a claim of the lease on an engine that replaces the current
    /// lease, if any.
    pub fn lease_claim(
        &self,
        upstream: UpstreamId,
        holder: InstanceId,
        incarnation: Incarnation,
    ) -> FleetRecord {
        let replaces = self.leases.get(&upstream).map(|entry| entry.token);
        FleetRecord::Lease {
            upstream,
            holder,
            incarnation,
            replaces,
        }
    }

    fn install_across_gap(
        &mut self,
        offset: LogOffset,
        record: Option<FleetRecord>,
    ) -> ApplyOutcome {
        let Some(FleetRecord::Snapshot(snapshot)) = record else {
            return ApplyOutcome::Gap;
        };
        if snapshot.state.applied >= Some(offset) {
            return ApplyOutcome::Gap;
        }
        match self.install(*snapshot) {
            Ok(()) => ApplyOutcome::Applied,
            Err(_) => ApplyOutcome::Gap,
        }
    }

    /// Applies a snapshot of records that were all applied before. It only
    /// updates the time of the newest snapshot.
    fn apply_snapshot(
        &mut self,
        record: &LogRecord,
        snapshot: &FleetSnapshot,
    ) -> ApplyOutcome {
        if snapshot.state.applied >= Some(record.offset) {
            return skipped(SnapshotError::Future);
        }
        if !snapshot.is_intact() {
            return skipped(SnapshotError::Digest);
        }
        self.snapshot_at = Some(record.appended_at);
        ApplyOutcome::Applied
    }

    /// An expected version of zero means that no order was accepted yet. The
    /// version alone does not show that: the first order can itself have
    /// offset zero, and of two orders that both expect an empty configuration
    /// only one must be accepted.
    fn check_version(&self, order: &FleetOrder) -> Result<(), OrderRejection> {
        let Some(expected) = order.expect_version else {
            return Ok(());
        };
        let empty = expected == LogOffset::ZERO;
        let matches = if empty {
            self.last_order.is_none()
        } else {
            expected == self.version
        };
        if matches {
            return Ok(());
        }
        Err(OrderRejection::VersionMismatch {
            expected,
            found: self.version,
            last_order: self.last_order.clone(),
        })
    }

    fn apply_order(
        &mut self,
        offset: LogOffset,
        order: FleetOrder,
    ) -> ApplyOutcome {
        if let Some(earlier) = self.outcomes.get(&order.order) {
            let id = &order.order;
            let text = format!(
                "order {id} has an outcome since offset {}",
                earlier.offset
            );
            return skipped(text);
        }
        let verdict = self.validate(&order);
        let reason = verdict.as_ref().err().map(text);
        let outcome = OrderOutcome {
            offset,
            accepted: verdict.is_ok(),
            reason: reason.clone(),
        };
        self.record_outcome(order.order.clone(), outcome);
        if let Some(reason) = reason {
            return ApplyOutcome::Rejected { reason };
        }
        for change in order.changes {
            apply_change(self, offset, change);
        }
        self.version = offset;
        self.last_order = Some(order.order);
        ApplyOutcome::Applied
    }

    fn record_outcome(&mut self, order: OrderId, outcome: OrderOutcome) {
        self.outcomes.insert(order, outcome);
        if self.outcomes.len() > OUTCOMES_KEPT {
            let oldest = self.outcomes.iter().min_by_key(|(_, o)| o.offset);
            let oldest = oldest.map(|(id, _)| id.clone());
            self.outcomes.remove(&oldest.expect("map is not empty"));
        }
    }

    fn apply_lease(
        &mut self,
        upstream: UpstreamId,
        entry: LeaseEntry,
        replaces: Option<LogOffset>,
    ) -> ApplyOutcome {
        let current = self.leases.get(&upstream).map(|lease| lease.token);
        if replaces != current {
            let reason = format!(
                "lease on {upstream} replaces {replaces:?} but {current:?} \
                 is held",
            );
            return ApplyOutcome::Rejected {
                reason: reason.into(),
            };
        }
        self.leases.insert(upstream, entry);
        ApplyOutcome::Applied
    }
}

fn skipped(reason: impl Display) -> ApplyOutcome {
    ApplyOutcome::Skipped {
        reason: text(&reason),
    }
}

fn text(value: &impl Display) -> Arc<str> {
    value.to_string().into()
}

/// SHA-256 digest of the state as JSON, in lower-case hex.
fn state_digest(state: &FleetState) -> Arc<str> {
    let json = serde_json::to_vec(state).expect("state has text keys");
    let digest = Sha256::digest(json);
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.into()
}
