//! The small listeners: directory, readiness and metrics.

use std::{convert::Infallible, io, net::SocketAddr};

use borageline_lib::{gateway::wire::GatewayWire, log_event::LogEvent};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{ADDRESS_KEEP, SharedGateway, listener::accept_each};
use crate::{logging, server::bind_callers};

/// Most addresses in one answer of the directory.
const ADDRESSES_MAX: usize = 64;
/// Port of the metrics; the deploy file names it too.
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
        // Callers are served without metrics, too.
        Err(error) => {
            let text = format!("no metrics at {metrics}: {error}");
            logging::event(LogEvent::AcceptFailed, &text);
        }
    }
    Ok(())
}

async fn accept<W: GatewayWire>(
    context: SharedGateway<W>,
    listener: TcpListener,
) {
    // These listeners serve until the process ends.
    let stop = CancellationToken::new();
    let connection = |stream| Some(serve_connection(context.clone(), stream));
    accept_each(listener, &stop, connection).await;
}

async fn serve_connection<W: GatewayWire>(
    context: SharedGateway<W>,
    stream: TcpStream,
) {
    let limits = context.core().config().map(|config| config.limits);
    let idle = limits.unwrap_or_default().idle_timeout;
    let service = service_fn(move |request| {
        let answer = answer(&context, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        let text = error.to_string();
        logging::event(LogEvent::CallerConnectionFailed, &text);
    }
}

fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = request.method().clone();
    head.uri = request.uri().clone();
    if context.wire.is_question(&head) {
        return addresses(context);
    }
    if context.wire.is_ready_check(&head) {
        let ready = context.core().is_ready();
        return status(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if head.uri.path() == METRICS_PATH {
        return Response::new(Full::new(context.metrics.render().into()));
    }
    status(StatusCode::NOT_FOUND)
}

fn addresses<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> Response<Full<Bytes>> {
    let now = context.now();
    let settings = context.settings();
    let Some(front) = settings.listen.front else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mut machines = context.core().serving_machines(now);
    machines.truncate(ADDRESSES_MAX);
    if machines.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    // All machines listen for callers on the same port.
    let addresses: Vec<_> = machines
        .into_iter()
        .map(|ip| SocketAddr::new(ip, front.port()))
        .collect();
    context
        .wire
        .addresses(&addresses, ADDRESS_KEEP)
        .map(Full::new)
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
