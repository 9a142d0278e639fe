//! HTTP client for upstreams, which also reaches them through other instances.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    http_client::{CallTarget, HttpClient, HttpError},
    received_body::ReceivedBody,
    relay::{RelayClient, UpstreamConnector},
};

/// Shortest time between two renewals of the idle connections.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Client whose idle connections are dropped if a call over one of them brought
/// no response: links that fall silent take all open connections with them, and
/// each would cost another call its time.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    state: Arc<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    settings: ClientSettings,
    current: Mutex<CurrentClient>,
}

#[derive(Debug)]
struct ClientSettings {
    connect_timeout: Duration,
    relays: RelayClient,
    reuses_connections: bool,
}

#[derive(Debug)]
struct CurrentClient {
    http: HttpClient<UpstreamConnector>,
    renewed_at: Instant,
}

impl UpstreamClient {
    /// Creates a client that reuses connections; `connect` is the time to
    /// establish one.
    pub fn new(connect: Duration, relays: RelayClient) -> Self {
        Self::build(connect, relays, true)
    }

    /// Creates a client that makes a connection for each call and never
    /// retries; see [`HttpClient::without_reuse`].
    pub fn without_reuse(connect: Duration, relays: RelayClient) -> Self {
        Self::build(connect, relays, false)
    }

    fn build(
        connect_timeout: Duration,
        relays: RelayClient,
        reuses_connections: bool,
    ) -> Self {
        let settings = ClientSettings {
            connect_timeout,
            relays,
            reuses_connections,
        };
        let current = Mutex::new(settings.build_client());
        let state = ClientState { settings, current };
        Self {
            state: Arc::new(state),
        }
    }

    /// See [`HttpClient::send`].
    pub async fn send(
        &self,
        target: CallTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, HttpError> {
        let sent = self.current().send(target, request).await;
        self.renew_after(&sent);
        sent
    }

    /// See [`HttpClient::send_checked`].
    pub async fn send_checked(
        &self,
        target: CallTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, HttpError> {
        let sent = self.current().send_checked(target, request).await;
        self.renew_after(&sent);
        sent
    }

    /// See [`HttpClient::call`].
    pub async fn call<T: DeserializeOwned>(
        &self,
        target: CallTarget,
        request: Request<Full<Bytes>>,
    ) -> Result<T, HttpError> {
        let called = self.current().call(target, request).await;
        self.renew_after(&called);
        called
    }

    fn lock(&self) -> MutexGuard<'_, CurrentClient> {
        let current = self.state.current.lock();
        current.unwrap_or_else(PoisonError::into_inner)
    }

    /// Client for the next call, with no connection from before a loss of the
    /// links.
    fn current(&self) -> HttpClient<UpstreamConnector> {
        let settings = &self.state.settings;
        let mut current = self.lock();
        let lost_since = settings.relays.lost_since();
        if lost_since.is_some_and(|since| current.renewed_at < since) {
            *current = settings.build_client();
        }
        current.http.clone()
    }

    /// Drops the idle connections if a call brought no response in time.
    fn renew_after<T>(&self, result: &Result<T, HttpError>) {
        if !matches!(result, Err(HttpError::TimedOut { .. })) {
            return;
        }
        let mut current = self.lock();
        if current.renewed_at.elapsed() >= RENEWAL_INTERVAL {
            *current = self.state.settings.build_client();
        }
    }
}

impl ClientSettings {
    fn build_client(&self) -> CurrentClient {
        let relays = self.relays.clone();
        let connector = UpstreamConnector::new(self.connect_timeout, relays);
        let http = if self.reuses_connections {
            HttpClient::with_connector(connector)
        } else {
            HttpClient::without_reuse_with_connector(connector)
        };
        CurrentClient {
            http,
            renewed_at: Instant::now(),
        }
    }
}
