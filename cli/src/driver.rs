//! The task that owns the core.
//!
//! The driver ticks at once when there is input, otherwise when the core's
//! timer is due, and starts a task for each action that waits for another
//! process.

use std::sync::Arc;

use borageline_lib::{
    core::{CallFailure, CoreAction, CoreEvent, PublishedState, ServingCore},
    ids::UpstreamId,
    refusal::RunState,
    units::Timestamp,
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
};

pub use crate::core_handle::{CoreClock, CoreHandle, RequestTicket};
use crate::{
    core_handle::{EVENT_QUEUE, HandleFeed},
    engine_client::EngineClient,
    http_client::HttpError,
    logging,
    metrics::ServerMetrics,
    peers::PeerPool,
    platform::PlatformClient,
};

/// Clients that carry out the core's actions.
#[derive(Clone, Debug)]
pub struct DriverClients {
    /// Engines.
    pub engines: EngineClient,
    /// Log service and instance list.
    pub platform: PlatformClient,
    /// Other instances.
    pub peers: PeerPool,
}

/// A state machine that the driver can own.
pub trait TickCore: Send + 'static {
    /// Takes events in and decides.
    fn tick(
        &mut self,
        now: Timestamp,
        events: Vec<CoreEvent>,
    ) -> Vec<CoreAction>;

    /// When the core wants to be called without input.
    fn next_timer(&self) -> Option<Timestamp>;
}

impl TickCore for ServingCore {
    fn tick(
        &mut self,
        now: Timestamp,
        events: Vec<CoreEvent>,
    ) -> Vec<CoreAction> {
        Self::tick(self, now, events)
    }

    fn next_timer(&self) -> Option<Timestamp> {
        Self::next_timer(self)
    }
}

/// Owns the core and carries out its actions.
#[derive(Debug)]
pub struct CoreDriver<C> {
    core: C,
    events: mpsc::Receiver<CoreEvent>,
    handle: CoreHandle,
    view: watch::Sender<Arc<PublishedState>>,
    stopped: watch::Sender<bool>,
    clients: DriverClients,
    metrics: Arc<ServerMetrics>,
}

impl<C: TickCore> CoreDriver<C> {
    /// Starts the task that owns the core. Aborting the task ends it.
    pub fn spawn(
        core: C,
        clients: DriverClients,
        metrics: Arc<ServerMetrics>,
    ) -> (CoreHandle, JoinHandle<()>) {
        let (handle, feed) = CoreHandle::open();
        let HandleFeed {
            events,
            view,
            stopped,
        } = feed;
        let driver = Self {
            core,
            events,
            handle: handle.clone(),
            view,
            stopped,
            clients,
            metrics,
        };
        (handle, tokio::spawn(driver.run()))
    }

    async fn run(mut self) {
        let clock = self.handle.clock();
        let mut batch = Vec::new();
        loop {
            let now = clock.now();
            let actions = self.core.tick(now, std::mem::take(&mut batch));
            for action in publish_first(actions) {
                self.carry_out(action);
            }
            // After the actions, so that whoever finds the core awake also
            // sees the view that this tick published.
            self.handle.note_tick(now);
            let timer = self.core.next_timer().map(|time| clock.instant(time));
            let due = async {
                match timer {
                    Some(instant) => tokio::time::sleep_until(instant).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = self.events.recv_many(&mut batch, EVENT_QUEUE) => {}
                () = due => {}
            }
        }
    }

    fn carry_out(&self, action: CoreAction) {
        match action {
            CoreAction::Decide(request, decision) => {
                self.handle.decide(&request, decision);
            }
            CoreAction::AnswerPeer(inbound, reply) => {
                self.handle.answer_peer(inbound, reply);
            }
            CoreAction::AnswerOrder(inbound, report) => {
                self.handle.answer_order(inbound, report);
            }
            CoreAction::AnswerQuery(inbound, result) => {
                self.handle.answer_query(inbound, result);
            }
            CoreAction::AnswerClaim(inbound, answer) => {
                self.handle.answer_claim(inbound, answer);
            }
            CoreAction::Publish(view) => drop(self.view.send_replace(view)),
            CoreAction::Log(event, text) => logging::event(event, &text),
            CoreAction::CountRefusal(code) => self.metrics.count_decided(code),
            CoreAction::CountRetry(reason) => self.metrics.count_retry(reason),
            CoreAction::StopDone => drop(self.stopped.send_replace(true)),
            action => self.start_call(action),
        }
    }

    fn start_call(&self, action: CoreAction) {
        let handle = self.handle.clone();
        let clients = self.clients.clone();
        tokio::spawn(async move {
            let sent_at = handle.clock().now();
            let event = clients.call(action, sent_at).await;
            if let Some(event) = event {
                handle.send(event).await;
            }
        });
    }
}

/// Puts the new view before the answers of the same tick, so that whoever
/// gets an answer finds its effect in the view.
pub fn publish_first(mut actions: Vec<CoreAction>) -> Vec<CoreAction> {
    actions.sort_by_key(|action| !matches!(action, CoreAction::Publish(_)));
    actions
}

impl DriverClients {
    async fn call(
        self,
        action: CoreAction,
        sent_at: Timestamp,
    ) -> Option<CoreEvent> {
        let Self {
            engines,
            platform,
            peers,
        } = self;
        let event = match action {
            CoreAction::CallPeer {
                call,
                to,
                message,
                timeout,
                ..
            } => CoreEvent::PeerAnswered {
                call,
                sent_at,
                result: peers.call(to, message, timeout).await,
            },
            CoreAction::ReadLog { stream, from, wait } => {
                let result = platform.read_log(&stream, from, wait).await;
                CoreEvent::LogRead {
                    stream,
                    sent_at,
                    result,
                }
            }
            CoreAction::AppendLog {
                call,
                stream,
                records,
            } => CoreEvent::LogAppended {
                call,
                result: platform.append_log(&stream, records).await,
            },
            CoreAction::ReadInstanceList => {
                CoreEvent::InstanceListRead(platform.read_list().await)
            }
            CoreAction::ReadCapability(id, peer) => {
                let result = engines.capabilities(peer).await;
                let result = result.and_then(|report| {
                    check_name(&id, &report.engine, peer).map(|()| report)
                });
                CoreEvent::CapabilityRead(id, result.map_err(Into::into))
            }
            CoreAction::ReadLoad(id, peer) => {
                let result = engines.load(peer).await;
                CoreEvent::LoadRead(id, result.map_err(Into::into))
            }
            CoreAction::ReadHeld(id, peer) => {
                let result = engines.held(peer).await;
                CoreEvent::HeldRead(id, result.map_err(Into::into))
            }
            CoreAction::CancelAtEngine(_, peer, request) => {
                // The engine's own list shows whether it took effect.
                let _ = engines.cancel(peer, &request).await;
                return None;
            }
            CoreAction::OrderEngine(id, peer, order, until) => {
                // An instance that was paused must not send what it decided
                // before; `sent_at` was read after the task began to run.
                let result = if sent_at < until {
                    let result = engines.order(peer, &order).await;
                    result.map_err(Into::into)
                } else {
                    Err(late_order())
                };
                CoreEvent::EngineOrderAnswered(id, result)
            }
            _ => return None,
        };
        Some(event)
    }
}

fn late_order() -> CallFailure {
    CallFailure {
        run_state: RunState::NotRun,
        message: "the evidence for the order is too old".into(),
    }
}

/// An address may have passed to another engine since the list was read.
fn check_name(
    expected: &UpstreamId,
    found: &UpstreamId,
    peer: std::net::SocketAddr,
) -> Result<(), HttpError> {
    if expected == found {
        return Ok(());
    }
    Err(HttpError::Malformed {
        step: "read capabilities",
        peer,
        message: format!("engine {found} answered for {expected}").into(),
    })
}
