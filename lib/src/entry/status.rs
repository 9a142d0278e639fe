//! Read access to the entry side for queries and tracing.

use super::{EntryTable, InFlightRequest, Phase};
use crate::{
    core::RequestDescriptor,
    ids::{RequestId, UpstreamId},
    limits::LimitShares,
    units::Timestamp,
};

/// Status of a request in flight.
#[derive(Clone, Debug)]
pub struct RequestStatus<'a> {
    /// Metadata of the request.
    pub descriptor: &'a RequestDescriptor,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Phase of the request, as shown in the `requests` table.
    pub state: &'static str,
    /// Engines that are reserved for the request or run it.
    pub engines: Vec<&'a UpstreamId>,
}

impl EntryTable {
    /// Status of all requests in flight.
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

    /// Request and engine of an unanswered grant request.
    pub fn pending_grant(
        &self,
        sequence: u64,
    ) -> Option<(&RequestId, &UpstreamId)> {
        let pending = self.pending_grants.get(&sequence)?;
        Some((&pending.request, &pending.engine))
    }

    /// Engines tried in the present placement round, and the remaining
    /// candidates, the best last.
    pub fn round(
        &self,
        request: &RequestId,
    ) -> Option<(&[UpstreamId], &[UpstreamId])> {
        let inflight = self.requests.get(request)?;
        Some((&inflight.tried_engines, &inflight.remaining_candidates))
    }

    /// When the backoff of a request ends; `None` if it is not backing off.
    pub fn waiting_until(&self, request: &RequestId) -> Option<Timestamp> {
        let inflight = self.requests.get(request)?;
        matches!(inflight.phase, Phase::BackingOff)
            .then_some(inflight.timer_due)
    }

    /// Use of the workspace limits by requests of this instance.
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
