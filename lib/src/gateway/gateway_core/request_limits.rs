//! Limits that upstreams name for the requests that they take.

use super::GatewayCore;
use crate::{
    gateway::{
        request_limit::{LimitChange, LimitReport, RequestLimit},
        upstream_table::UpstreamProcess,
    },
    units::Timestamp,
};

impl GatewayCore {
    /// Records the limit that an upstream named in a reply; `None` if it named
    /// none.
    pub fn record_request_limit(
        &mut self,
        now: Timestamp,
        process: &UpstreamProcess,
        limit: Option<RequestLimit>,
    ) {
        self.request_limits.record(now, process, limit, now);
    }

    /// Applies the limits that another instance reports.
    pub fn receive_limit_reports(
        &mut self,
        now: Timestamp,
        reports: &[LimitReport],
    ) {
        self.request_limits.merge(now, reports);
    }

    /// Removes and returns the changes of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.request_limits.take_changes()
    }
}
