//! KV-cache reservations on engines and load-table entries of one request.
//!
//! Both are held by guards that release them when the request ends.
//! Reservations expire soon and are renewed while the request runs, so that
//! the KV cache is free again shortly after an instance dies. An order that
//! was not answered may still be carried out seconds later, so its release is
//! repeated ([`ReservationOrders`]).

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        gateway_core::StartedRequest,
        load_table::InFlightId,
        reservation_orders::{OrderEffect, ReservationOrders},
        wire::{GatewayWire, ReservationOrder},
    },
    log_event::LogEvent,
    refusal::{Refusal, RefusalCode},
    units::TokenCount,
};
use bytes::Bytes;
use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::task::JoinHandle;

use super::{SharedGateway, forward::reservation_id};
use crate::{http_client::CallTarget, log_decision};

/// Time after which a reservation expires unless it is renewed; also the
/// longest time for which an engine holds KV cache after an instance has died.
const RESERVATION_TTL: Duration = Duration::from_millis(3_000);
/// Interval between renewals; two may fail before the reservation expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout for the answer to an order; engines answer without queueing.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// One reservation on an engine.
#[derive(Clone, Debug)]
struct Reservation {
    address: SocketAddr,
    id: Arc<str>,
    tokens: TokenCount,
    /// Shared by the task that renews the reservation.
    orders: Arc<Mutex<ReservationOrders>>,
}

impl Reservation {
    fn orders(&self) -> MutexGuard<'_, ReservationOrders> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All reservations of one send; released on drop.
#[derive(Debug)]
pub(super) struct ReservationSet<W: GatewayWire> {
    context: SharedGateway<W>,
    helpers: Vec<(SocketAddr, Option<Arc<str>>)>,
    reservations: Vec<Reservation>,
    renewal: Option<JoinHandle<()>>,
}

impl<W: GatewayWire> ReservationSet<W> {
    /// Makes all reservations of a send. If one fails, the others are released
    /// and the error is the refusal for the caller.
    pub(super) async fn reserve(
        context: &SharedGateway<W>,
        started: &StartedRequest,
        time_left: Duration,
    ) -> Result<Self, Refusal> {
        let nonce = rand::random();
        let mut helpers = Vec::new();
        let mut reservations = Vec::new();
        for (entry, tokens) in &started.helpers {
            if *tokens == TokenCount::ZERO {
                helpers.push((entry.address, None));
                continue;
            }
            let id = reservation_id(started, nonce);
            helpers.push((entry.address, Some(id.clone())));
            reservations.push(Reservation {
                address: entry.address,
                id,
                tokens: *tokens,
                orders: Arc::default(),
            });
        }
        let mut set = Self {
            context: context.clone(),
            helpers,
            reservations,
            renewal: None,
        };
        if set.reservations.is_empty() {
            return Ok(set);
        }
        let orders = set
            .reservations
            .iter()
            .map(|reservation| reserve(context, reservation));
        let effects = tokio::time::timeout(time_left, join_all(orders)).await;
        let effects = effects.unwrap_or_default();
        let count =
            |wanted| effects.iter().filter(|effect| **effect == wanted).count();
        if count(OrderEffect::Done) == set.reservations.len() {
            set.start_renewal();
            return Ok(set);
        }
        let refused = count(OrderEffect::Refused);
        let text = format!(
            "KV cache for a prompt was refused by {refused} of {} engines",
            set.reservations.len(),
        );
        drop(set);
        let mut core = context.core();
        Err(core.retryable_refusal(RefusalCode::NoCapacity, &text))
    }

    /// Addresses of the engines that help, with the ids of their reservations,
    /// if any.
    pub(super) fn helpers(&self) -> Vec<(SocketAddr, Option<Arc<str>>)> {
        self.helpers.clone()
    }

    fn start_renewal(&mut self) {
        let context = self.context.clone();
        let reservations = self.reservations.clone();
        self.renewal = Some(tokio::spawn(async move {
            loop {
                tokio::time::sleep(RENEWAL_INTERVAL).await;
                join_all(
                    reservations
                        .iter()
                        .map(|reservation| reserve(&context, reservation)),
                )
                .await;
            }
        }));
    }
}

impl<W: GatewayWire> Drop for ReservationSet<W> {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        if self.reservations.is_empty() {
            return;
        }
        let context = self.context.clone();
        let reservations = std::mem::take(&mut self.reservations);
        tokio::spawn(async move {
            join_all(
                reservations
                    .iter()
                    .map(|reservation| release(&context, reservation)),
            )
            .await;
        });
    }
}

async fn reserve<W: GatewayWire>(
    context: &SharedGateway<W>,
    reservation: &Reservation,
) -> OrderEffect {
    let order = ReservationOrder::Reserve {
        id: reservation.id.clone(),
        tokens: reservation.tokens,
        ttl: RESERVATION_TTL
            .min(context.settings().bounds.reservation_ttl_max()),
    };
    reservation.orders().begin();
    let effect = send_order(context, reservation, &order).await;
    // Not reached if the caller leaves or the renewal is aborted meanwhile.
    reservation.orders().finish(context.now(), effect);
    effect
}

/// Releases a reservation, and again if an order that reserves or renews it may
/// be carried out after the release.
async fn release<W: GatewayWire>(
    context: &SharedGateway<W>,
    reservation: &Reservation,
) {
    let order = ReservationOrder::Release {
        id: reservation.id.clone(),
    };
    let effect = send_order(context, reservation, &order).await;
    let delays = reservation.orders().release_retries(context.now(), effect);
    for delay in delays {
        tokio::time::sleep(*delay).await;
        send_order(context, reservation, &order).await;
    }
}

async fn send_order<W: GatewayWire>(
    context: &SharedGateway<W>,
    reservation: &Reservation,
    order: &ReservationOrder,
) -> OrderEffect {
    let request = context.wire.reservation_order(order);
    let target = CallTarget {
        step: "reservation order",
        peer: reservation.address,
        timeout: ORDER_TIMEOUT,
    };
    let request = with_absolute_uri(request, reservation.address);
    let effect = match context.upstreams.send(target, request).await {
        Ok(response) if response.status() == StatusCode::OK => {
            return OrderEffect::Done;
        }
        Ok(response) => {
            let text = format!(
                "the engine answered with status {}",
                response.status()
            );
            (OrderEffect::Refused, text)
        }
        Err(error) => (OrderEffect::Unknown, error.to_string()),
    };
    let (effect, text) = effect;
    log_decision!(
        LogEvent::MemoryOrderFailed,
        {
            reservation = reservation.id,
            upstream_address = reservation.address,
            tokens = reservation.tokens,
            outcome = format_args!("{effect:?}"),
        },
        "{text}",
    );
    effect
}

/// Replaces the path of a request by an absolute URI with the peer's address.
pub(super) fn with_absolute_uri(
    request: Request<Bytes>,
    peer: SocketAddr,
) -> Request<Full<Bytes>> {
    let mut request = request.map(Full::new);
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri = format!("http://{peer}{path}");
    *request.uri_mut() = uri.parse().expect("an address and a path make a URI");
    request
}

/// A request's entry in the load table; on drop the entry is removed and the
/// reservations are released.
#[derive(Debug)]
pub(super) struct InFlightGuard<W: GatewayWire> {
    context: SharedGateway<W>,
    in_flight_id: InFlightId,
    reservations: Option<ReservationSet<W>>,
}

impl<W: GatewayWire> InFlightGuard<W> {
    pub(super) fn new(
        context: SharedGateway<W>,
        in_flight_id: InFlightId,
    ) -> Self {
        Self {
            context,
            in_flight_id,
            reservations: None,
        }
    }

    /// Ties reservations to the lifetime of the entry.
    pub(super) fn attach(&mut self, reservations: ReservationSet<W>) {
        self.reservations = Some(reservations);
    }

    /// Records the first event of the answer.
    pub(super) fn record_first_event(&self) {
        self.context.core().record_first_event(self.in_flight_id);
    }
}

impl<W: GatewayWire> Drop for InFlightGuard<W> {
    fn drop(&mut self) {
        self.context.core().finish(self.in_flight_id);
    }
}

/// A deferred prompt, which counts as demand until it is dropped.
#[derive(Debug)]
pub(super) struct DeferredPrompt<W: GatewayWire> {
    context: SharedGateway<W>,
    prefill: Duration,
}

impl<W: GatewayWire> DeferredPrompt<W> {
    pub(super) fn new(context: SharedGateway<W>, prefill: Duration) -> Self {
        context.core().defer_prompt(prefill);
        context.heartbeat_due.notify_one();
        Self { context, prefill }
    }
}

impl<W: GatewayWire> Drop for DeferredPrompt<W> {
    fn drop(&mut self) {
        self.context.core().end_deferral(self.prefill);
    }
}
