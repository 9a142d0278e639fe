//! What queries and the record of decisions read of the entry side.

use super::{EntryRow, EntryTable, Phase};
use crate::{
    core::RequestDescriptor,
    ids::{RequestId, UpstreamId},
    limits::LimitShares,
    units::Timestamp,
};

/// One request that has not ended.
#[derive(Clone, Debug)]
pub struct RequestStatus<'a> {
    /// The request.
    pub descriptor: &'a RequestDescriptor,
    /// When it arrived.
    pub arrived: Timestamp,
    /// How far it has come.
    pub state: &'static str,
    /// Engines that are reserved for it or run it.
    pub engines: Vec<&'a UpstreamId>,
}

impl EntryTable {
    /// All requests that have not ended.
    pub fn lines(&self) -> impl Iterator<Item = RequestStatus<'_>> {
        self.rows.values().map(|row| RequestStatus {
            descriptor: &row.descriptor,
            arrived: row.arrived,
            state: state(row),
            engines: row.legs.iter().map(|leg| &leg.engine).collect(),
        })
    }

    /// Request and engine of an ask that was not answered yet.
    pub fn open_ask(&self, ask: u64) -> Option<(&RequestId, &UpstreamId)> {
        let open = self.asks.get(&ask)?;
        Some((&open.request, &open.engine))
    }

    /// Engines that a request was tried on in its present round, and those
    /// that are left, the best last.
    pub fn round(
        &self,
        request: &RequestId,
    ) -> Option<(&[UpstreamId], &[UpstreamId])> {
        let row = self.rows.get(request)?;
        Some((&row.tried, &row.candidates))
    }

    /// Until when a request waits for its next round, if it does.
    pub fn waiting_until(&self, request: &RequestId) -> Option<Timestamp> {
        let row = self.rows.get(request)?;
        matches!(row.phase, Phase::Waiting).then_some(row.due)
    }

    /// Shares in the limits of workspaces.
    pub fn limits(&self) -> &LimitShares {
        &self.limits
    }
}

fn state(row: &EntryRow) -> &'static str {
    match row.phase {
        Phase::Asking { .. } => "asking",
        Phase::Waiting => "waiting",
        Phase::Placed if row.delivered => "streaming",
        Phase::Placed if row.legs.iter().any(|leg| leg.sent_at.is_some()) => {
            "sent"
        }
        Phase::Placed => "placed",
    }
}
