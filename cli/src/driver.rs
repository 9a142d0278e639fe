//! The task that owns the core and executes its actions.
//!
//! The driver calls the core as soon as events arrive, and otherwise when the
//! core's timer expires. An action that calls another process runs in a task
//! of its own, and its result returns to the core as an event. Other tasks
//! reach the core through [`CoreHandle`].

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

pub use crate::core_handle::{CoreClock, CoreHandle, RequestHandle};
use crate::{
    core_handle::{DriverChannels, EVENT_QUEUE_CAPACITY},
    engine_client::EngineClient,
    http_client::HttpError,
    logging,
    metrics::ServerMetrics,
    peers::PeerPool,
    platform::PlatformClient,
};

/// Clients for the calls that the core requests.
#[derive(Clone, Debug)]
pub struct DriverClients {
    /// Client for engines.
    pub engines: EngineClient,
    /// Client for the log service and the instance list.
    pub platform: PlatformClient,
    /// Connections to other instances.
    pub peers: PeerPool,
}

/// A state machine without I/O that the driver can run; tests supply their
/// own.
pub trait CoreStateMachine: Send + 'static {
    /// Processes events and returns the actions to execute.
    ///
    /// `now` never decreases from one call to the next.
    fn tick(
        &mut self,
        now: Timestamp,
        events: Vec<CoreEvent>,
    ) -> Vec<CoreAction>;

    /// Time of the next call if no event arrives before; `None` if the next
    /// call needs an event.
    fn next_timer(&self) -> Option<Timestamp>;
}

impl CoreStateMachine for ServingCore {
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

/// Owns the core and executes its actions.
#[derive(Debug)]
pub struct CoreDriver<C> {
    core: C,
    events: mpsc::Receiver<CoreEvent>,
    handle: CoreHandle,
    published: watch::Sender<Arc<PublishedState>>,
    stopped: watch::Sender<bool>,
    clients: DriverClients,
    metrics: Arc<ServerMetrics>,
}

impl<C: CoreStateMachine> CoreDriver<C> {
    /// Starts the task that owns the core. It runs until it is aborted.
    pub fn spawn(
        core: C,
        clients: DriverClients,
        metrics: Arc<ServerMetrics>,
    ) -> (CoreHandle, JoinHandle<()>) {
        let (handle, channels) = CoreHandle::open();
        let DriverChannels {
            events,
            published,
            stopped,
        } = channels;
        let driver = Self {
            core,
            events,
            handle: handle.clone(),
            published,
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
                self.execute(action);
            }
            // Recorded after the actions: a task that reads a recent tick
            // then also reads the state published by that tick.
            self.handle.record_tick(now);
            let timer = self.core.next_timer().map(|time| clock.instant(time));
            let due = async {
                match timer {
                    Some(instant) => tokio::time::sleep_until(instant).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = self.events.recv_many(&mut batch, EVENT_QUEUE_CAPACITY) => {}
                () = due => {}
            }
        }
    }

    fn execute(&self, action: CoreAction) {
        match action {
            CoreAction::Decide(request, decision) => {
                self.handle.deliver_decision(&request, decision);
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
            CoreAction::Publish(published) => {
                drop(self.published.send_replace(published))
            }
            CoreAction::Log(event, text) => logging::event(event, &text),
            CoreAction::CountRefusal(code) => {
                self.metrics.count_core_refusal(code)
            }
            CoreAction::CountRetry(reason) => self.metrics.count_retry(reason),
            CoreAction::StopDone => drop(self.stopped.send_replace(true)),
            action => self.spawn_call(action),
        }
    }

    fn spawn_call(&self, action: CoreAction) {
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

/// Moves the publication of the state before the other actions of its tick, so
/// that the receiver of an answer finds its effect in that state.
pub fn publish_first(mut actions: Vec<CoreAction>) -> Vec<CoreAction> {
    actions.sort_by_key(|action| !matches!(action, CoreAction::Publish(_)));
    actions
}

impl DriverClients {
    /// Makes the call that an action requests and returns its result as an
    /// event; `None` if the core expects no event.
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
                    check_engine_id(&id, &report.engine, peer).map(|()| report)
                });
                CoreEvent::CapabilityRead(id, result.map_err(Into::into))
            }
            CoreAction::ReadLoad(id, peer) => {
                let result = engines.load(peer).await;
                CoreEvent::LoadRead(id, result.map_err(Into::into))
            }
            CoreAction::ReadHeld(id, peer) => {
                let result = engines.held_requests(peer).await;
                CoreEvent::HeldRead(id, result.map_err(Into::into))
            }
            CoreAction::CancelAtEngine(_, peer, request) => {
                // The result is not needed: the engine's next list of held
                // requests shows whether the request was cancelled.
                let _ = engines.cancel(peer, &request).await;
                return None;
            }
            CoreAction::OrderEngine(id, peer, order, send_before) => {
                // An instance that was suspended must not send an order
                // decided before that. `sent_at` is read inside the task, so
                // it includes any delay before the task started.
                let result = if sent_at < send_before {
                    let result = engines.order(peer, &order).await;
                    result.map_err(Into::into)
                } else {
                    Err(expired_order())
                };
                CoreEvent::EngineOrderAnswered(id, result)
            }
            _ => return None,
        };
        Some(event)
    }
}

fn expired_order() -> CallFailure {
    CallFailure {
        run_state: RunState::NotRun,
        message: "order not sent: the data it was based on is too old".into(),
    }
}

/// Checks that a report is from the expected engine: its address may have been
/// reassigned to another engine since the instance list was read.
fn check_engine_id(
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
