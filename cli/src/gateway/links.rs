//! Finds out which upstreams this instance can reach.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    gateway::wire::GatewayWire, ids::UpstreamId, log_event::LogEvent,
    units::Timestamp,
};
use futures::future::join_all;
use http::{Method, StatusCode};
use tokio::net::TcpStream;

use super::{SharedGateway, UPSTREAM_CONNECT_TIMEOUT};
use crate::{
    http_client::{CallTarget, HttpError, plain_request},
    log_decision,
};

/// Interval at which due probes are looked for, unless a failed send asks for
/// them at once.
const PROBE_TICK: Duration = Duration::from_millis(250);

/// Path with which instances ask each other about an upstream.
const ASK_PREFIX: &str = "/links/";
/// Time for the answer, which takes another connect timeout.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Whether a connection to an address is established in time.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    let connected =
        tokio::time::timeout(UPSTREAM_CONNECT_TIMEOUT, connect).await;
    matches!(connected, Ok(Ok(_)))
}

/// Whether an upstream refuses connections of all other instances that are asked
/// and know; `None` if none does.
pub(super) async fn is_refused_elsewhere<W: GatewayWire>(
    context: &SharedGateway<W>,
    upstream: &UpstreamId,
) -> Option<bool> {
    let now = context.now();
    let instances = context.core().instances_to_ask(now);
    let asked = instances.into_iter().map(async |ip| {
        let peer = context.settings().peer_address_of(ip);
        let target = CallTarget {
            step: "links",
            peer,
            timeout: ASK_TIMEOUT,
        };
        let path = format!("{ASK_PREFIX}{upstream}");
        let request = plain_request(Method::GET, peer, &path);
        let answer = context.peers.send(target, request).await;
        match answer.ok()?.status() {
            StatusCode::OK => Some(false),
            StatusCode::GONE => Some(true),
            _ => None,
        }
    });
    let answers = join_all(asked).await;
    let known: Vec<_> = answers.into_iter().flatten().collect();
    (!known.is_empty()).then(|| !known.contains(&false))
}

/// Upstream of which another instance asks whether it accepts connections here;
/// `None` if the path asks for something else.
pub(super) fn asked_upstream(path: &str) -> Option<UpstreamId> {
    path.strip_prefix(ASK_PREFIX)?.parse().ok()
}

/// Answers another instance: 200 if the upstream accepts connections, 410 if it
/// refuses them, and 404 if it is not listed here or does not respond.
pub(super) async fn answer_question<W: GatewayWire>(
    context: &SharedGateway<W>,
    upstream: &UpstreamId,
) -> StatusCode {
    let entry = {
        let core = context.core();
        core.upstreams().get(upstream).map(|it| it.entry.clone())
    };
    let Some(entry) = entry else {
        return StatusCode::NOT_FOUND;
    };
    let connect = TcpStream::connect(entry.address);
    match tokio::time::timeout(UPSTREAM_CONNECT_TIMEOUT, connect).await {
        Ok(Ok(_)) => StatusCode::OK,
        Ok(Err(_)) => StatusCode::GONE,
        Err(_) => StatusCode::NOT_FOUND,
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
