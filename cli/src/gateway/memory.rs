//! Memory that is reserved on engines for one request.
//!
//! Reservations are short and renewed while the request runs, so that memory
//! is free again soon after an instance dies. An order that was not answered
//! may be carried out seconds later, so that its release is repeated.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        gateway_core::StartedRequest,
        load_board::FlightId,
        wire::{GatewayWire, MemoryOrder},
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

/// Time after which a reservation ends unless it is renewed. Engines must
/// not hold memory for longer than this after an instance has died.
const HOLD: Duration = Duration::from_millis(3_000);
/// Pause between two renewals: two may fail before the reservation ends.
const RENEW_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for the answer to an order; engines answer without a queue.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pauses between releases after an order that was not answered: it may be
/// carried out up to 12 s later.
const LATE_RELEASES: [Duration; 5] = [
    Duration::from_millis(1_500),
    Duration::from_millis(2_000),
    Duration::from_millis(2_500),
    Duration::from_millis(3_000),
    Duration::from_millis(3_500),
];

/// Whether an order took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderEffect {
    Done,
    Refused,
    Unknown,
}

/// One reservation.
#[derive(Clone, Debug)]
struct HeldMemory {
    address: SocketAddr,
    id: Arc<str>,
    tokens: TokenCount,
}

/// All reservations of one send; dropped, it releases them.
#[derive(Debug)]
pub(super) struct MemoryHold<W: GatewayWire> {
    context: SharedGateway<W>,
    helpers: Vec<(SocketAddr, Option<Arc<str>>)>,
    held: Vec<HeldMemory>,
    unknown: bool,
    renewal: Option<JoinHandle<()>>,
}

impl<W: GatewayWire> MemoryHold<W> {
    /// Makes all reservations of a send, or none.
    pub(super) async fn reserve(
        context: &SharedGateway<W>,
        started: &StartedRequest,
        time_left: Duration,
    ) -> Result<Self, Refusal> {
        let nonce = rand::random();
        let mut helpers = Vec::new();
        let mut held = Vec::new();
        for (entry, tokens) in &started.helpers {
            if *tokens == TokenCount::ZERO {
                helpers.push((entry.address, None));
                continue;
            }
            let id = reservation_id(started, nonce);
            helpers.push((entry.address, Some(id.clone())));
            held.push(HeldMemory {
                address: entry.address,
                id,
                tokens: *tokens,
            });
        }
        let mut hold = Self {
            context: context.clone(),
            helpers,
            held,
            unknown: false,
            renewal: None,
        };
        if hold.held.is_empty() {
            return Ok(hold);
        }
        let orders = hold.held.iter().map(|memory| reserve(context, memory));
        let effects = tokio::time::timeout(time_left, join_all(orders)).await;
        let effects = effects.unwrap_or_default();
        let count =
            |wanted| effects.iter().filter(|effect| **effect == wanted).count();
        if count(OrderEffect::Done) == hold.held.len() {
            hold.renew();
            return Ok(hold);
        }
        let refused = count(OrderEffect::Refused);
        hold.unknown = count(OrderEffect::Done) + refused != hold.held.len();
        let text = format!(
            "memory for a prompt was refused by {refused} of {} engines",
            hold.held.len(),
        );
        drop(hold);
        let mut core = context.core();
        Err(core.unavailable(RefusalCode::NoCapacity, &text))
    }

    /// Engines that help, with their reservations.
    pub(super) fn helpers(&self) -> Vec<(SocketAddr, Option<Arc<str>>)> {
        self.helpers.clone()
    }

    fn renew(&mut self) {
        let context = self.context.clone();
        let held = self.held.clone();
        self.renewal = Some(tokio::spawn(async move {
            loop {
                tokio::time::sleep(RENEW_PAUSE).await;
                join_all(held.iter().map(|memory| reserve(&context, memory)))
                    .await;
            }
        }));
    }
}

impl<W: GatewayWire> Drop for MemoryHold<W> {
    fn drop(&mut self) {
        if let Some(renewal) = &self.renewal {
            renewal.abort();
        }
        if self.held.is_empty() {
            return;
        }
        let context = self.context.clone();
        let held = std::mem::take(&mut self.held);
        let unknown = self.unknown;
        tokio::spawn(async move {
            join_all(
                held.iter().map(|memory| release(&context, memory, unknown)),
            )
            .await;
        });
    }
}

async fn reserve<W: GatewayWire>(
    context: &SharedGateway<W>,
    memory: &HeldMemory,
) -> OrderEffect {
    let order = MemoryOrder::Reserve {
        id: memory.id.clone(),
        tokens: memory.tokens,
        hold: HOLD.min(context.settings().bounds.longest_hold()),
    };
    give(context, memory, &order).await
}

async fn release<W: GatewayWire>(
    context: &SharedGateway<W>,
    memory: &HeldMemory,
    unknown: bool,
) {
    let order = MemoryOrder::Release {
        id: memory.id.clone(),
    };
    let effect = give(context, memory, &order).await;
    if effect == OrderEffect::Done && !unknown {
        return;
    }
    for pause in LATE_RELEASES {
        tokio::time::sleep(pause).await;
        give(context, memory, &order).await;
    }
}

async fn give<W: GatewayWire>(
    context: &SharedGateway<W>,
    memory: &HeldMemory,
    order: &MemoryOrder,
) -> OrderEffect {
    let request = context.wire.memory_order(order);
    let target = CallTarget {
        step: "memory order",
        peer: memory.address,
        timeout: ORDER_TIMEOUT,
    };
    let request = addressed(request, memory.address);
    let effect = match context.upstreams.send(target, request).await {
        Ok(response) if response.status() == StatusCode::OK => {
            return OrderEffect::Done;
        }
        Ok(response) => {
            let text = format!("status {}", response.status());
            (OrderEffect::Refused, text)
        }
        Err(fault) => (OrderEffect::Unknown, fault.to_string()),
    };
    let (effect, text) = effect;
    log_decision!(
        LogEvent::MemoryOrderFailed,
        {
            reservation = memory.id,
            upstream_address = memory.address,
            tokens = memory.tokens,
            outcome = format_args!("{effect:?}"),
        },
        "{text}",
    );
    effect
}

/// Gives a request an absolute URI.
pub(super) fn addressed(
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

/// A request's entry on the load board; dropped, it ends the entry and
/// releases the memory.
#[derive(Debug)]
pub(super) struct FlightGuard<W: GatewayWire> {
    context: SharedGateway<W>,
    flight: FlightId,
    hold: Option<MemoryHold<W>>,
}

impl<W: GatewayWire> FlightGuard<W> {
    pub(super) fn new(context: SharedGateway<W>, flight: FlightId) -> Self {
        Self {
            context,
            flight,
            hold: None,
        }
    }

    /// Ties reservations to the request.
    pub(super) fn keep(&mut self, hold: MemoryHold<W>) {
        self.hold = Some(hold);
    }

    /// Notes the first event.
    pub(super) fn first_event(&self) {
        self.context.core().first_event(self.flight);
    }
}

impl<W: GatewayWire> Drop for FlightGuard<W> {
    fn drop(&mut self) {
        self.context.core().finish(self.flight);
    }
}

/// A prompt that is held back, for as long as it is.
#[derive(Debug)]
pub(super) struct HeldPrompt<W: GatewayWire> {
    context: SharedGateway<W>,
    read: Duration,
}

impl<W: GatewayWire> HeldPrompt<W> {
    pub(super) fn new(context: SharedGateway<W>, read: Duration) -> Self {
        context.core().hold(read);
        context.heartbeat_due.notify_one();
        Self { context, read }
    }
}

impl<W: GatewayWire> Drop for HeldPrompt<W> {
    fn drop(&mut self) {
        self.context.core().unhold(self.read);
    }
}
