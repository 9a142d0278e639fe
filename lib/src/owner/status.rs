//! What gossip, queries and tests read of the owned engines.

use std::time::Duration;

use super::{OwnerTable, TakeoverState};
use crate::{
    admission::QueueStatus,
    cold_start::ColdStartLimit,
    ids::{RequestId, UpstreamId},
    ledger::{EngineLedger, Reservation},
    peer_api::EngineSummary,
    units::{Incarnation, Timestamp, TokenCount},
};

/// One owned engine.
#[derive(Clone, Copy, Debug)]
pub struct OwnedEngineStatus {
    /// Step of the takeover.
    pub takeover: TakeoverState,
    /// Memory of the engine.
    pub memory: TokenCount,
    /// Memory that is granted or held.
    pub granted: TokenCount,
    /// Memory that can be granted now.
    pub free: TokenCount,
    /// Step of the cold-start limit.
    pub cold_step: u32,
    /// Predicted wait before a new prompt's prefill starts.
    pub wait: Duration,
    /// Whether the engine takes long prompts.
    pub takes_long: bool,
    /// Incarnation that the account belongs to.
    pub incarnation: Option<Incarnation>,
}

impl OwnerTable {
    /// Summaries of the owned engines, for dissemination.
    pub fn summaries(&self, now: Timestamp) -> Vec<EngineSummary> {
        self.engines
            .iter()
            .map(|(engine, owned)| owned.summary(now, engine))
            .collect()
    }

    /// State of the takeover of an engine, if this instance owns it.
    pub fn takeover(&self, engine: &UpstreamId) -> Option<TakeoverState> {
        self.engines.get(engine).map(|owned| owned.state)
    }

    /// Account of an engine, if this instance owns it.
    pub fn ledger(&self, engine: &UpstreamId) -> Option<&EngineLedger> {
        self.engines.get(engine).map(|owned| &owned.ledger)
    }

    /// Cold limit of an engine, if this instance owns it.
    pub fn cold_limit(&self, engine: &UpstreamId) -> Option<&ColdStartLimit> {
        self.engines.get(engine).map(|owned| &owned.cold_limit)
    }

    /// Account of an engine, if this instance owns it.
    pub fn status(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
    ) -> Option<OwnedEngineStatus> {
        let owned = self.engines.get(engine)?;
        let summary = owned.summary(now, engine);
        Some(OwnedEngineStatus {
            takeover: owned.state,
            memory: owned.ledger.memory(),
            granted: owned.ledger.used(),
            free: summary.headroom,
            cold_step: owned.cold_limit.step(),
            wait: summary.wait,
            takes_long: owned.takes_long,
            incarnation: owned.ledger.incarnation(),
        })
    }

    /// All holds on the owned engines.
    pub fn reservations(
        &self,
    ) -> impl Iterator<Item = (&UpstreamId, &RequestId, &Reservation)> {
        self.engines.iter().flat_map(|(engine, owned)| {
            let reservations = owned.ledger.reservations();
            reservations.map(move |(request, reservation)| {
                (engine, request, reservation)
            })
        })
    }

    /// The queues of the owned engines in which something waits.
    pub fn queues(&self) -> impl Iterator<Item = (&UpstreamId, QueueStatus)> {
        self.engines.iter().flat_map(|(engine, owned)| {
            owned.queue.statuses().map(move |line| (engine, line))
        })
    }
}
