//! Read access to the owned engines for gossip, queries and tests.

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

/// Status of one owned engine.
#[derive(Clone, Copy, Debug)]
pub struct OwnedEngineStatus {
    /// Phase of the takeover.
    pub takeover: TakeoverState,
    /// Total memory of the engine.
    pub memory: TokenCount,
    /// Memory of all reservations in the ledger.
    pub granted: TokenCount,
    /// Memory that can be granted now.
    pub free: TokenCount,
    /// Step of the cold-start limit; zero is the lowest.
    pub cold_step: u32,
    /// Predicted time until the prefill of a new prompt starts.
    pub wait: Duration,
    /// Whether the engine takes long prompts.
    pub takes_long: bool,
    /// Incarnation of the engine that the ledger applies to; `None` if unknown.
    pub incarnation: Option<Incarnation>,
}

impl OwnerTable {
    /// Summaries of the owned engines, to be published by gossip.
    pub fn summaries(&self, now: Timestamp) -> Vec<EngineSummary> {
        self.engines
            .iter()
            .map(|(engine, owned)| owned.summary(now, engine))
            .collect()
    }

    /// Phase of the takeover of an engine; `None` if this instance does not own
    /// it.
    pub fn takeover(&self, engine: &UpstreamId) -> Option<TakeoverState> {
        self.engines.get(engine).map(|owned| owned.takeover_state)
    }

    /// Ledger of an engine; `None` if this instance does not own it.
    pub fn ledger(&self, engine: &UpstreamId) -> Option<&EngineLedger> {
        self.engines.get(engine).map(|owned| &owned.ledger)
    }

    /// Cold-start limit of an engine; `None` if this instance does not own it.
    pub fn cold_limit(&self, engine: &UpstreamId) -> Option<&ColdStartLimit> {
        self.engines.get(engine).map(|owned| &owned.cold_limit)
    }

    /// Status of an engine; `None` if this instance does not own it.
    pub fn status(
        &self,
        now: Timestamp,
        engine: &UpstreamId,
    ) -> Option<OwnedEngineStatus> {
        let owned = self.engines.get(engine)?;
        let summary = owned.summary(now, engine);
        Some(OwnedEngineStatus {
            takeover: owned.takeover_state,
            memory: owned.ledger.memory(),
            granted: owned.ledger.used(),
            free: summary.headroom,
            cold_step: owned.cold_limit.step(),
            wait: summary.wait,
            takes_long: owned.takes_long,
            incarnation: owned.ledger.incarnation(),
        })
    }

    /// Reservations on all owned engines.
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

    /// Queues of the owned engines, for each class with queued requests.
    pub fn queues(&self) -> impl Iterator<Item = (&UpstreamId, QueueStatus)> {
        self.engines.iter().flat_map(|(engine, owned)| {
            owned.queue.statuses().map(move |line| (engine, line))
        })
    }
}
