//! Eras of the platform's store.
//!
//! The store may be restored from an earlier copy of itself. It then has lost
//! the latest records and reuses their offsets, so an offset identifies a
//! record only within an era, which the store states in its responses.

use crate::{quantity_type, units::LogOffset};

quantity_type! {
    /// Number of times that the store was restored.
    StoreEra, ""
}

/// Position of a reader in a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TopicPosition {
    /// Era in which the offset is valid; `None` if the store states none.
    pub era: Option<StoreEra>,
    /// Offset of the next record to read.
    pub next: LogOffset,
}

impl TopicPosition {
    /// Creates a position.
    pub fn new(era: Option<StoreEra>, next: LogOffset) -> Self {
        Self { era, next }
    }

    /// Whether the offset of a reader at this position is valid in a copy at
    /// another one. Readers of older builds state no era.
    pub fn is_comparable(self, copy: Self) -> bool {
        self.era.is_none() || self.era == copy.era
    }
}

/// How the era of a response relates to those of earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The store was not restored since the last response.
    Unchanged,
    /// The store was restored.
    Restored,
    /// The response was sent before the store was restored.
    Outdated,
}

/// Newest era that an instance knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    newest: Option<StoreEra>,
    /// Whether a response without an era was received.
    unnumbered: bool,
}

impl EraTracker {
    /// Newest era; `None` if no response stated one.
    pub fn newest(&self) -> Option<StoreEra> {
        self.newest
    }

    /// Records the era of a response; `None` if it states none.
    pub fn observe(&mut self, era: Option<StoreEra>) -> EraChange {
        let Some(era) = era else {
            self.unnumbered |= self.newest.is_none();
            return EraChange::Unchanged;
        };
        let before = self.newest;
        self.newest = before.max(Some(era));
        match before {
            None if self.unnumbered => EraChange::Restored,
            None => EraChange::Unchanged,
            Some(before) if before < era => EraChange::Restored,
            Some(before) if before > era => EraChange::Outdated,
            Some(_) => EraChange::Unchanged,
        }
    }
}
