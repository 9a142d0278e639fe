//! Records which upstreams this instance reaches.

use borageline_lib::{
    gateway::wire::GatewayWire, ids::UpstreamId, log_event::LogEvent,
    units::Timestamp,
};

use super::SharedGateway;
use crate::{http_client::HttpError, log_decision};

/// Records whether a send, begun at `begun_at`, reached the upstream. A
/// connection that broke or brought no reply says nothing about the next one.
pub(super) fn record_connection<W: GatewayWire, T>(
    context: &SharedGateway<W>,
    begun_at: Timestamp,
    upstream: &UpstreamId,
    sent: &Result<T, HttpError>,
) {
    let now = context.now();
    match sent {
        Ok(_) => context.core().record_reached(now, begun_at, upstream),
        Err(HttpError::ConnectFailed { .. }) => {
            context.core().record_unreached(now, begun_at, upstream);
        }
        Err(_) => return,
    }
    log_changes(context);
}

/// Logs and counts the services whose links have changed.
pub(super) fn log_changes<W: GatewayWire>(context: &SharedGateway<W>) {
    let now = context.now();
    let changes = context.core().take_link_changes(now);
    for change in changes {
        context.metrics.count_link_change(change.state);
        let domains = change.lost_domains.iter().map(|domain| domain.as_str());
        log_decision!(
            LogEvent::LinksChanged,
            {
                service = change.service,
                state = change.state.as_str(),
                unreached = change.unreached,
                lost_domains = domains.collect::<Vec<_>>().join(" "),
            },
            "links to {} are {}", change.service, change.state.as_str(),
        );
    }
}
