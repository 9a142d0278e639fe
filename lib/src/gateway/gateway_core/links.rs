//! Links of this instance to the upstreams.

use super::GatewayCore;
use crate::{
    gateway::reachability::LinkChange, ids::UpstreamId, units::Timestamp,
};

impl GatewayCore {
    /// Records that a connection to an upstream, begun at `begun_at`, was
    /// established.
    pub fn record_reached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        id: &UpstreamId,
    ) {
        self.upstreams.record_reached(now, begun_at, id);
    }

    /// Records that a connection to an upstream, begun at `begun_at`, was not
    /// established.
    pub fn record_unreached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        id: &UpstreamId,
    ) {
        self.upstreams.record_unreached(now, begun_at, id);
    }

    /// Returns the services whose links have changed since the last call.
    pub fn take_link_changes(&mut self, now: Timestamp) -> Vec<LinkChange> {
        self.upstreams.take_link_changes(now)
    }
}
