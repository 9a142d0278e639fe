//! Connects to upstreams, directly or through another instance.
//!
//! A grant is for one incarnation of an engine. A connection does not outlive
//! the engine's process, so a connection whose URI names an incarnation is
//! given out only if the engine at its end reports this one. Otherwise grants
//! for a warm engine would be used on its cold successor until its owner knows
//! of the restart.

use std::{
    future::poll_fn,
    io,
    net::{IpAddr, SocketAddr},
    pin::{Pin, pin},
    task::{Context, Poll, ready},
    time::Duration,
};

use borageline_lib::{engine_api::CapabilityReport, units::Incarnation};
use bytes::Bytes;
use http::{Request, Uri, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{
    client::conn::http1,
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::{
    client::legacy::connect::{Connected, Connection},
    rt::TokioIo,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};
use tokio_util::task::AbortOnDropHandle;
use tower_service::Service;

use super::RelayClient;
use crate::{
    http_client::tcp_connector,
    watched_stream::{WatchedConnector, WatchedStream},
};

/// Time for a direct connection before other instances are asked, too, unless
/// own links are known to be lost. Far above the round-trip time within a
/// region, and short enough for a request with a latency target of 300 ms.
const HEAD_START: Duration = Duration::from_millis(100);
/// Time to connect to another instance.
const INSTANCE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for an engine to report its incarnation on a new connection. The rest
/// of the time to connect is left for a connection without this check.
const CHECK_TIME: Duration = Duration::from_millis(100);
/// Largest report of an engine's capabilities that is read for the check.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// Marks the response to a request that was sent through another instance.
#[derive(Clone, Copy, Debug)]
pub struct RelayedConnection;

/// Connects to upstreams for an HTTP client.
#[derive(Clone, Debug)]
pub struct UpstreamConnector {
    direct: WatchedConnector,
    timeout: Duration,
    relays: RelayClient,
}

impl UpstreamConnector {
    /// Creates a connector; `timeout` limits both ways and the check of the
    /// incarnation together.
    pub fn new(timeout: Duration, relays: RelayClient) -> Self {
        Self {
            direct: WatchedConnector::new(tcp_connector(timeout)),
            timeout,
            relays,
        }
    }

    async fn connect(self, uri: Uri) -> io::Result<UpstreamStream> {
        let limit = Instant::now() + self.timeout;
        let Some(expected) = expected_incarnation(&uri) else {
            return self.open(uri, limit).await;
        };
        let stream = self.clone().open(uri.clone(), limit).await?;
        let check = read_incarnation(&uri, stream);
        match timeout_at(limit.min(Instant::now() + CHECK_TIME), check).await {
            Ok(Ok((found, stream))) if found == expected => Ok(stream),
            Ok(Ok((found, _))) => Err(io::Error::other(format!(
                "engine has incarnation {found}, the grant is for {expected}",
            ))),
            Ok(Err(error)) => Err(error),
            // An engine that is too busy to report in time has not necessarily
            // restarted.
            Err(_) => timeout_at(limit, self.open(uri, limit)).await?,
        }
    }

    async fn open(
        mut self,
        uri: Uri,
        limit: Instant,
    ) -> io::Result<UpstreamStream> {
        let address = uri.host().zip(uri.port_u16());
        let address = address.and_then(|(host, port)| {
            let host: IpAddr = host.trim_matches(['[', ']']).parse().ok()?;
            Some(SocketAddr::new(host, port))
        });
        let direct = self.direct.call(uri);
        tokio::pin!(direct);
        let head_start = if self.relays.is_lost() {
            Duration::ZERO
        } else {
            HEAD_START.min(self.timeout / 2)
        };
        let first = tokio::time::timeout(head_start, &mut direct).await;
        if let Ok(Ok(stream)) = first {
            return Ok(UpstreamStream::direct(stream));
        }
        let Some(address) = address else {
            let error = io::Error::other("the URI has no socket address");
            return Err(error);
        };
        let relayed = timeout_at(limit, self.relays.open(address));
        tokio::pin!(relayed);
        let relayed = match first {
            Ok(_) => relayed.await,
            Err(_) => tokio::select! {
                biased;
                connected = &mut direct => match connected {
                    Ok(stream) => return Ok(UpstreamStream::direct(stream)),
                    Err(_) => relayed.await,
                },
                relayed = &mut relayed => match relayed {
                    Ok(Some(stream)) => Ok(Some(stream)),
                    _ => {
                        let stream = direct.await.map_err(io::Error::other)?;
                        return Ok(UpstreamStream::direct(stream));
                    }
                },
            },
        };
        match relayed {
            Ok(Some(stream)) => {
                self.relays.record_loss();
                Ok(UpstreamStream::relayed(stream))
            }
            _ => Err(io::Error::new(
                io::ErrorKind::NotConnected,
                "not connected, nor through another instance",
            )),
        }
    }
}

/// Lets a request use only connections to the given incarnation of an engine.
/// The name in the URI's authority also keeps these connections apart from
/// others in the client's pool; it is not sent.
pub(crate) fn require_incarnation<T>(
    request: &mut Request<T>,
    incarnation: Incarnation,
) {
    let mut parts = request.uri().clone().into_parts();
    parts.authority = parts.authority.and_then(|authority| {
        format!("{}@{authority}", incarnation.get()).parse().ok()
    });
    if let Ok(uri) = Uri::from_parts(parts) {
        *request.uri_mut() = uri;
    }
}

fn expected_incarnation(uri: &Uri) -> Option<Incarnation> {
    let (incarnation, _) = uri.authority()?.as_str().split_once('@')?;
    incarnation.parse().ok().map(Incarnation::new)
}

/// Reads which incarnation of an engine is at the end of a connection, and
/// returns the connection for further use.
async fn read_incarnation(
    uri: &Uri,
    stream: UpstreamStream,
) -> io::Result<(Incarnation, UpstreamStream)> {
    let (mut sender, mut connection) =
        http1::handshake(stream).await.map_err(io::Error::other)?;
    let host = uri.host().zip(uri.port_u16());
    let host = host.map(|(host, port)| format!("{host}:{port}"));
    let request = Request::get("/v1/capabilities")
        .header(header::HOST, host.unwrap_or_default())
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let report = async {
        let response = sender.send_request(request).await;
        let response = response.map_err(io::Error::other)?;
        let body = Limited::new(response.into_body(), REPORT_MAX_BYTES);
        let body = body.collect().await.map_err(io::Error::other)?;
        serde_json::from_slice::<CapabilityReport>(&body.to_bytes())
            .map_err(io::Error::other)
    };
    let mut running =
        pin!(poll_fn(|context| connection.poll_without_shutdown(context)));
    let report = tokio::select! {
        biased;
        report = report => report?,
        ended = &mut running => {
            ended.map_err(io::Error::other)?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    };
    let stream = connection.into_parts().io;
    Ok((report.incarnation, stream))
}

impl Service<Uri> for UpstreamConnector {
    type Response = UpstreamStream;
    type Error = io::Error;
    type Future = Connecting;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Connecting {
        let connect = tokio::spawn(self.clone().connect(uri));
        Connecting(AbortOnDropHandle::new(connect))
    }
}

/// A connection that is being established; given up when dropped.
#[derive(Debug)]
pub struct Connecting(AbortOnDropHandle<io::Result<UpstreamStream>>);

impl Future for Connecting {
    type Output = io::Result<UpstreamStream>;

    fn poll(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Self::Output> {
        let joined = ready!(Pin::new(&mut self.0).poll(context));
        Poll::Ready(joined.unwrap_or_else(|error| Err(io::Error::other(error))))
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamStream {
    stream: TokioIo<WatchedStream>,
    is_relayed: bool,
}

impl UpstreamStream {
    fn direct(stream: TokioIo<WatchedStream>) -> Self {
        Self {
            stream,
            is_relayed: false,
        }
    }

    fn relayed(stream: TcpStream) -> Self {
        Self {
            stream: TokioIo::new(WatchedStream::new(stream)),
            is_relayed: true,
        }
    }
}

impl Connection for UpstreamStream {
    fn connected(&self) -> Connected {
        let connected = self.stream.connected();
        if !self.is_relayed {
            return connected;
        }
        // Used for one request only, so that own links are used again as soon
        // as they are back.
        connected.poison();
        connected.extra(RelayedConnection)
    }
}

impl Read for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

/// Connects to another instance, with the TCP options of all connections.
pub(super) async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let uri = format!("http://{to}/").parse::<Uri>();
    let uri = uri.expect("a socket address makes a URI");
    let stream = tcp_connector(INSTANCE_CONNECT_TIMEOUT).call(uri).await;
    stream.map(TokioIo::into_inner).map_err(io::Error::other)
}
