//! Finds out which upstreams this instance can reach.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    gateway::{gateway_core::SILENCE_MIN, wire::GatewayWire},
    ids::UpstreamId,
    log_event::LogEvent,
    units::Timestamp,
};
use futures::future::join_all;
use tokio::time::Instant;

use super::{SharedGateway, forward::CallerAttempt};
use crate::{
    connection_probe::accepts_connections, http_client::HttpError, log_decision,
};

/// Interval at which due probes are looked for, unless a failed send asks for
/// them at once.
const PROBE_TICK: Duration = Duration::from_millis(250);

/// Probes upstreams while links are in doubt or lost, until the process ends.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    tokio::spawn(probe_links(context.clone()));
}

async fn probe_links<W: GatewayWire>(context: SharedGateway<W>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(PROBE_TICK) => {}
            () = context.probe_due.notified() => {}
        }
        let now = context.now();
        let probes = context.core().next_probes(now).into_iter();
        let probes = probes.map(|(id, address)| probe(&context, id, address));
        join_all(probes).await;
        log_changes(&context);
    }
}

/// Connects to an upstream and closes the connection; it carries no request.
async fn probe<W: GatewayWire>(
    context: &SharedGateway<W>,
    upstream: UpstreamId,
    address: SocketAddr,
) {
    let begun_at = context.now();
    let connected = accepts_connections(address).await;
    let now = context.now();
    let mut core = context.core();
    if connected {
        core.record_reached(now, begun_at, &upstream);
    } else {
        core.record_unreached(now, begun_at, &upstream);
    }
}

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
            context.probe_due.notify_one();
        }
        Err(_) => return,
    }
    log_changes(context);
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Whether the links to an upstream that has sent nothing for `silence` are
    /// lost.
    pub(super) fn is_silenced(
        &self,
        upstream: &UpstreamId,
        silence: Duration,
    ) -> bool {
        let now = self.context.now();
        self.context.core().is_silenced(now, upstream, silence)
    }

    /// Returns the silence of an upstream once its links are lost and the
    /// request can be sent again, which is counted against the retry budget
    /// then. Any other request keeps waiting: the links may be back in time.
    pub(super) async fn wait_until_silenced(
        &self,
        upstream: &UpstreamId,
    ) -> Duration {
        if !self.record.is_stream() || !self.record.can_resend() {
            return std::future::pending().await;
        }
        let begun_at = Instant::now();
        tokio::time::sleep(SILENCE_MIN).await;
        while !self.is_silenced(upstream, begun_at.elapsed())
            || !self.stop_allows_resend(Duration::ZERO)
            || !self.pay_for_resend().await
        {
            tokio::time::sleep(PROBE_TICK).await;
        }
        begun_at.elapsed()
    }
}

/// Logs and counts the services whose links have changed, and tells the other
/// instances.
pub(super) fn log_changes<W: GatewayWire>(context: &SharedGateway<W>) {
    let now = context.now();
    let changes = context.core().take_link_changes(now);
    if !changes.is_empty() {
        context.heartbeat_due.notify_one();
    }
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
