//! Status checks of upstreams that may have left although they are listed.

use std::net::SocketAddr;

use super::GatewayCore;
use crate::{
    gateway::{routing_config::StatusPath, upstream_table::UpstreamProcess},
    ids::UpstreamId,
    units::Timestamp,
};

/// Most status checks that begin at one time. If all of 10,000 upstreams return
/// at once, 950 instances send each about eight checks a second.
const CHECKS_MAX: usize = 8;

/// A status check of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusCheck {
    /// Process that is expected to answer.
    pub process: UpstreamProcess,
    /// Address to which the check is sent.
    pub address: SocketAddr,
    /// Path of the check.
    pub path: StatusPath,
}

impl GatewayCore {
    /// Status checks to send now.
    pub fn next_status_checks(&mut self, now: Timestamp) -> Vec<StatusCheck> {
        let Some(config) = self.config.clone() else {
            return Vec::new();
        };
        let entries =
            self.upstreams
                .next_status_checks(now, CHECKS_MAX, &mut self.rng);
        let checks = entries.into_iter().filter_map(|entry| {
            let service = config.find_service(&entry.service)?;
            Some(StatusCheck {
                process: entry.process(),
                address: entry.address,
                path: service.status_path.clone()?,
            })
        });
        checks.collect()
    }

    /// Whether a listed upstream may have left.
    pub fn is_doubtful(&self, now: Timestamp, id: &UpstreamId) -> bool {
        self.upstreams.is_doubtful(now, id)
    }

    /// Records that a process has answered a status check and is not leaving;
    /// returns whether that was in doubt.
    pub fn confirm_upstream(&mut self, process: &UpstreamProcess) -> bool {
        self.upstreams.confirm(process)
    }
}
