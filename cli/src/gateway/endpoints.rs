//! Listeners for directory queries, readiness checks and metrics.

use std::{io, net::SocketAddr};

use borageline_lib::{gateway::wire::GatewayWire, log_event::LogEvent};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use super::{
    ADDRESS_TTL, SharedGateway,
    listener::{empty_response, serve_requests},
};
use crate::{logging, server::bind_callers};

/// Most addresses in one answer of the directory.
const ADDRESSES_MAX: usize = 64;
/// Port of the metrics listener; the deployment file contains it, too.
const METRICS_PORT: u16 = 9_464;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Opens the listeners and serves them until the process ends.
pub(super) fn serve<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> io::Result<()> {
    let settings = context.settings();
    let metrics = SocketAddr::new(settings.ip, METRICS_PORT);
    let listen = &settings.listen;
    for address in [listen.ready, listen.directory].into_iter().flatten() {
        let listener = bind_callers(address)?;
        tokio::spawn(accept(context.clone(), listener));
    }
    match bind_callers(metrics) {
        Ok(listener) => {
            tokio::spawn(accept(context.clone(), listener));
        }
        // Without a metrics listener, callers can still be served.
        Err(error) => {
            let text =
                format!("cannot listen for metrics at {metrics}: {error}");
            logging::event(LogEvent::AcceptFailed, &text);
        }
    }
    Ok(())
}

async fn accept<W: GatewayWire>(
    context: SharedGateway<W>,
    listener: TcpListener,
) {
    let known = context.clone();
    let idle = move || {
        let limits = known.core().config().map(|config| config.limits);
        limits.unwrap_or_default().idle_timeout
    };
    serve_requests(listener, context.clone(), idle, move |request, _| {
        std::future::ready(answer(&context, &request))
    })
    .await;
}

fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = request.method().clone();
    head.uri = request.uri().clone();
    if context.wire.is_directory_query(&head) {
        return addresses(context);
    }
    if context.wire.is_readiness_check(&head) {
        let ready = context.core().is_ready();
        return empty_response(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if head.uri.path() == METRICS_PATH {
        return Response::new(Full::new(context.metrics.render().into()));
    }
    empty_response(StatusCode::NOT_FOUND)
}

fn addresses<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> Response<Full<Bytes>> {
    let now = context.now();
    let settings = context.settings();
    let Some(front) = settings.listen.front else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut ips = context.core().serving_addresses(now);
    ips.truncate(ADDRESSES_MAX);
    if ips.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    // All instances listen for callers on the same port.
    let addresses: Vec<_> = ips
        .into_iter()
        .map(|ip| SocketAddr::new(ip, front.port()))
        .collect();
    context
        .wire
        .addresses(&addresses, ADDRESS_TTL)
        .map(Full::new)
}
