//! What queries and the record of decisions read of the entry side.

use super::{EntryTable, InFlightRequest, Phase};
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
    pub fn statuses(&self) -> impl Iterator<Item = RequestStatus<'_>> {
        self.requests.values().map(|inflight| RequestStatus {
            descriptor: &inflight.descriptor,
            arrived: inflight.arrived,
            state: state(inflight),
            engines: inflight
                .allocations
                .iter()
                .map(|allocation| &allocation.engine)
                .collect(),
        })
    }

    /// Request and engine of an ask that was not answered yet.
    pub fn pending_grant(
        &self,
        sequence: u64,
    ) -> Option<(&RequestId, &UpstreamId)> {
        let pending = self.pending_grants.get(&sequence)?;
        Some((&pending.request, &pending.engine))
    }

    /// Engines that a request was tried on in its present round, and those
    /// that are left, the best last.
    pub fn round(
        &self,
        request: &RequestId,
    ) -> Option<(&[UpstreamId], &[UpstreamId])> {
        let inflight = self.requests.get(request)?;
        Some((&inflight.tried, &inflight.candidates))
    }

    /// Until when a request waits for its next round, if it does.
    pub fn waiting_until(&self, request: &RequestId) -> Option<Timestamp> {
        let inflight = self.requests.get(request)?;
        matches!(inflight.phase, Phase::BackingOff).then_some(inflight.due)
    }

    /// Shares in the limits of workspaces.
    pub fn limits(&self) -> &LimitShares {
        &self.limits
    }
}

fn state(inflight: &InFlightRequest) -> &'static str {
    match inflight.phase {
        Phase::AwaitingGrant { .. } => "asking",
        Phase::BackingOff => "waiting",
        Phase::Dispatched if inflight.delivered => "streaming",
        Phase::Dispatched
            if inflight
                .allocations
                .iter()
                .any(|allocation| allocation.sent_at.is_some()) =>
        {
            "sent"
        }
        Phase::Dispatched => "placed",
    }
}
