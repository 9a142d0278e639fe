//! The handle by which other tasks reach the core.
//!
//! Events are delivered to the core through one bounded channel, in the order
//! in which they were sent. A task that waits for an answer is registered here
//! until the driver delivers the answer or the task stops waiting.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use borageline_lib::{
    core::{
        CoreEvent, InboundCallId, PublishedState, RequestDecision,
        RequestDescriptor, RequestProgress,
    },
    fleet::FleetOrder,
    ids::{InstanceId, OrderId, RequestId},
    peer_api::{
        CallKey, CallResult, ClaimResponse, OrderReport, PeerRequest,
        PeerResponse,
    },
    planned_stop::StopSchedule,
    query::MergeInput,
    refusal::{Refusal, RefusalCode, RunState},
    units::{Incarnation, Timestamp},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

/// Capacity of the event channel. Senders wait while it is full.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Time after which an order is reported to have an unknown outcome.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an operator's query fails. The core's own timeout for
/// queries is shorter.
const QUERY_TIMEOUT: Duration = Duration::from_secs(4);
/// Age of the last tick beyond which the process counts as paused. The core
/// ticks at least every 500 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Clock of the core. Its timestamps are microseconds since the clock was
/// created, at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct CoreClock {
    origin: Instant,
}

impl CoreClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        let origin = Instant::now();
        Self { origin }
    }

    /// Time since the clock was started.
    pub fn now(self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// Converts a timestamp of this clock to an instant of tokio's clock.
    pub fn instant(self, time: Timestamp) -> Instant {
        self.origin + time.since(Timestamp::ZERO)
    }
}

impl Default for CoreClock {
    fn default() -> Self {
        Self::new()
    }
}

/// A claim of an idempotency key that has no answer yet.
#[derive(Debug)]
struct PendingClaim {
    key: CallKey,
    attempt: RequestId,
    answer: oneshot::Sender<ClaimResponse>,
}

/// Senders for the answers that other tasks wait for.
#[derive(Debug, Default)]
struct PendingReplies {
    last_inbound: u64,
    // Unbounded, because the core must never wait for a request's task. The
    // core sends at most one decision for each report of the task, so the
    // queues stay short.
    requests: BTreeMap<RequestId, mpsc::UnboundedSender<RequestDecision>>,
    peers: BTreeMap<InboundCallId, oneshot::Sender<PeerResponse>>,
    orders: BTreeMap<InboundCallId, oneshot::Sender<OrderReport>>,
    queries: BTreeMap<InboundCallId, oneshot::Sender<QueryResult>>,
    claims: BTreeMap<InboundCallId, PendingClaim>,
}

/// Unmerged result of a query, or why it failed.
type QueryResult = Result<Box<MergeInput>, Refusal>;

impl PendingReplies {
    fn next_inbound(&mut self) -> InboundCallId {
        self.last_inbound += 1;
        InboundCallId(self.last_inbound)
    }
}

#[derive(Debug)]
struct HandleState {
    events: mpsc::Sender<CoreEvent>,
    pending: Mutex<PendingReplies>,
    published: watch::Receiver<Arc<PublishedState>>,
    stopped: watch::Receiver<bool>,
    clock: CoreClock,
    last_tick: AtomicU64,
}

/// The driver's ends of the channels.
#[derive(Debug)]
pub(crate) struct DriverChannels {
    pub(crate) events: mpsc::Receiver<CoreEvent>,
    pub(crate) published: watch::Sender<Arc<PublishedState>>,
    pub(crate) stopped: watch::Sender<bool>,
}

/// Sends events to the core and waits for answers; clones share the core.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    state: Arc<HandleState>,
}

impl CoreHandle {
    /// Creates a handle and the channel ends that the driver uses.
    pub(crate) fn open() -> (Self, DriverChannels) {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (published, published_receiver) = watch::channel(Arc::default());
        let (stopped, stopped_receiver) = watch::channel(false);
        let state = HandleState {
            events: sender,
            pending: Mutex::default(),
            published: published_receiver,
            stopped: stopped_receiver,
            clock: CoreClock::new(),
            last_tick: AtomicU64::new(0),
        };
        let handle = Self {
            state: Arc::new(state),
        };
        let channels = DriverChannels {
            events,
            published,
            stopped,
        };
        (handle, channels)
    }

    pub(crate) fn record_tick(&self, now: Timestamp) {
        self.state.last_tick.store(now.get(), Ordering::Release);
    }

    pub(crate) fn deliver_decision(
        &self,
        request: &RequestId,
        decision: RequestDecision,
    ) {
        if let Some(sender) = self.pending().requests.get(request) {
            // If the request's task has ended, its handle has already
            // reported that to the core.
            let _ = sender.send(decision);
        }
    }

    pub(crate) fn answer_peer(
        &self,
        inbound: InboundCallId,
        reply: PeerResponse,
    ) {
        let sender = self.pending().peers.remove(&inbound);
        sender.map(|sender| sender.send(reply));
    }

    pub(crate) fn answer_order(
        &self,
        inbound: InboundCallId,
        report: OrderReport,
    ) {
        let sender = self.pending().orders.remove(&inbound);
        sender.map(|sender| sender.send(report));
    }

    pub(crate) fn answer_query(
        &self,
        inbound: InboundCallId,
        result: QueryResult,
    ) {
        let sender = self.pending().queries.remove(&inbound);
        sender.map(|sender| sender.send(result));
    }

    /// Answers a claim. A claim that was won after the attempt stopped waiting
    /// is released.
    pub(crate) fn answer_claim(
        &self,
        inbound: InboundCallId,
        answer: ClaimResponse,
    ) {
        let Some(claim) = self.pending().claims.remove(&inbound) else {
            return;
        };
        if claim.answer.send(answer) == Err(ClaimResponse::Won) {
            self.send_without_waiting(CoreEvent::CallSettled {
                key: claim.key,
                attempt: claim.attempt,
                result: CallResult::Released,
            });
        }
    }

    /// Clock that the core's timestamps refer to.
    pub fn clock(&self) -> CoreClock {
        self.state.clock
    }

    /// The most recently published state.
    pub fn published(&self) -> Arc<PublishedState> {
        self.state.published.borrow().clone()
    }

    /// Receiver of each state that the core publishes.
    pub fn watch_published(&self) -> watch::Receiver<Arc<PublishedState>> {
        self.state.published.clone()
    }

    /// Whether the core has not run for so long that its published state may
    /// be out of date, for example because the process was suspended.
    pub fn is_paused(&self) -> bool {
        let last = self.state.last_tick.load(Ordering::Acquire);
        self.clock().now().since(Timestamp::new(last)) > PAUSE_THRESHOLD
    }

    /// Passes a peer's message to the core and returns the core's reply.
    pub async fn handle_peer_message(
        &self,
        from: InstanceId,
        incarnation: Incarnation,
        message: PeerRequest,
    ) -> PeerResponse {
        let (sender, receiver) = oneshot::channel();
        let inbound = {
            let mut pending = self.pending();
            pending.peers.retain(|_, sender| !sender.is_closed());
            let inbound = pending.next_inbound();
            pending.peers.insert(inbound, sender);
            inbound
        };
        self.send(CoreEvent::PeerCalled {
            inbound,
            from,
            incarnation,
            message,
        })
        .await;
        let stopped = |_| PeerResponse::Rejected("instance has stopped".into());
        receiver.await.unwrap_or_else(stopped)
    }

    /// Runs a query over the fleet and waits for its result.
    pub async fn query(
        &self,
        text: Arc<str>,
    ) -> Result<Box<MergeInput>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let inbound = {
            let mut pending = self.pending();
            pending.queries.retain(|_, sender| !sender.is_closed());
            let inbound = pending.next_inbound();
            pending.queries.insert(inbound, sender);
            inbound
        };
        self.send(CoreEvent::QueryReceived(inbound, text)).await;
        match tokio::time::timeout(QUERY_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => {
                let message = "the query was not answered in time";
                Err(Refusal::new(RefusalCode::Overloaded, message)
                    .with_retry_after(Duration::from_secs(1)))
            }
        }
    }

    /// Submits an operator's order and waits for its outcome.
    ///
    /// Without an answer in time, the report has no decision and a run state
    /// of [`RunState::MayHaveRun`].
    pub async fn order(&self, order: FleetOrder) -> OrderReport {
        let id = order.order.clone();
        let event = |inbound| CoreEvent::OrderSubmitted(inbound, order);
        self.await_order_report(id, event, RunState::MayHaveRun)
            .await
    }

    /// Looks up the outcome of an order that was submitted before; without an
    /// answer in time, the report is the same as that of [`Self::order`].
    pub async fn order_outcome(&self, id: OrderId) -> OrderReport {
        let event =
            |inbound| CoreEvent::OrderStatusRequested(inbound, id.clone());
        self.await_order_report(id.clone(), event, RunState::MayHaveRun)
            .await
    }

    async fn await_order_report(
        &self,
        id: OrderId,
        event: impl FnOnce(InboundCallId) -> CoreEvent,
        run_state_on_timeout: RunState,
    ) -> OrderReport {
        let (sender, receiver) = oneshot::channel();
        let inbound = {
            let mut pending = self.pending();
            pending.orders.retain(|_, sender| !sender.is_closed());
            let inbound = pending.next_inbound();
            pending.orders.insert(inbound, sender);
            inbound
        };
        self.send(event(inbound)).await;
        match tokio::time::timeout(ORDER_TIMEOUT, receiver).await {
            Ok(Ok(report)) => report,
            Ok(Err(_)) | Err(_) => OrderReport {
                code: None,
                order: id,
                offset: None,
                accepted: None,
                reason: Some("the outcome is not known yet".into()),
                in_force: false,
                waiting_for: Vec::new(),
                run_state: run_state_on_timeout,
            },
        }
    }

    /// Claims an idempotency key for an attempt.
    ///
    /// An attempt whose claim is not answered by the deadline is abandoned: a
    /// claim that is won later is released.
    pub async fn claim(
        &self,
        key: CallKey,
        attempt: RequestId,
        digest: Arc<str>,
        deadline: Timestamp,
    ) -> ClaimResponse {
        let (sender, mut receiver) = oneshot::channel();
        let inbound = {
            let mut pending = self.pending();
            let inbound = pending.next_inbound();
            let claim = PendingClaim {
                key: key.clone(),
                attempt: attempt.clone(),
                answer: sender,
            };
            pending.claims.insert(inbound, claim);
            inbound
        };
        let event = CoreEvent::ClaimRequested {
            inbound,
            key,
            attempt,
            digest,
            deadline,
        };
        self.send(event).await;
        let until = self.clock().instant(deadline);
        if let Ok(Ok(answer)) =
            tokio::time::timeout_at(until, &mut receiver).await
        {
            return answer;
        }
        // Once the channel is closed, the driver's send fails and the driver
        // releases the claim. An answer sent before that is still received.
        receiver.close();
        receiver.try_recv().unwrap_or_else(|_| {
            ClaimResponse::Undecided(Refusal::new(
                RefusalCode::DeadlineExceeded,
                "the key was not claimed before the deadline",
            ))
        })
    }

    /// Reports the result of a call attempt that won its claim.
    pub async fn settle(
        &self,
        key: CallKey,
        attempt: RequestId,
        result: CallResult,
    ) {
        self.send(CoreEvent::CallSettled {
            key,
            attempt,
            result,
        })
        .await;
    }

    /// Submits a request to the core.
    pub async fn submit(&self, descriptor: RequestDescriptor) -> RequestHandle {
        let (sender, decisions) = mpsc::unbounded_channel();
        let request = descriptor.request.clone();
        self.pending().requests.insert(request.clone(), sender);
        let handle = RequestHandle {
            request,
            decisions,
            handle: self.clone(),
            ended: false,
        };
        self.send(CoreEvent::RequestArrived(descriptor)).await;
        handle
    }

    /// Starts a planned stop of the core.
    pub async fn stop(&self, schedule: StopSchedule) {
        self.send(CoreEvent::StopRequested(schedule)).await;
    }

    /// Waits until the core has finished its planned stop, so that no request
    /// and no claimed call is running. Also returns if the driver has ended.
    pub async fn stopped(&self) {
        let mut stopped = self.state.stopped.clone();
        // An error means that the driver has ended.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    pub(crate) async fn send(&self, event: CoreEvent) {
        // Sending fails only if the driver has ended. A task that waits for an
        // answer then receives an error from its channel.
        let _ = self.state.events.send(event).await;
    }

    /// Sends an event from a function that cannot wait: if the channel is
    /// full, a task waits in its place.
    fn send_without_waiting(&self, event: CoreEvent) {
        if let Err(mpsc::error::TrySendError::Full(event)) =
            self.state.events.try_send(event)
        {
            let handle = self.clone();
            tokio::spawn(async move { handle.send(event).await });
        }
    }

    fn pending(&self) -> MutexGuard<'_, PendingReplies> {
        let pending = self.state.pending.lock();
        pending.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request submitted to the core. Dropping it before the request has ended
/// reports to the core that the caller has disconnected.
#[derive(Debug)]
pub struct RequestHandle {
    request: RequestId,
    decisions: mpsc::UnboundedReceiver<RequestDecision>,
    handle: CoreHandle,
    ended: bool,
}

impl RequestHandle {
    /// Id of the request.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Waits for the next decision; `None` if the driver has ended.
    pub async fn decision(&mut self) -> Option<RequestDecision> {
        let decision = self.decisions.recv().await;
        self.ended |= matches!(decision, Some(RequestDecision::End(_)));
        decision
    }

    /// Reports progress to the core.
    pub async fn report(&mut self, progress: RequestProgress) {
        self.ended |= matches!(
            progress,
            RequestProgress::Finished(_) | RequestProgress::CallerDisconnected,
        );
        let event = CoreEvent::Progress(self.request.clone(), progress);
        self.handle.send(event).await;
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.handle.pending().requests.remove(&self.request);
        if !self.ended {
            let progress = RequestProgress::CallerDisconnected;
            let event = CoreEvent::Progress(self.request.clone(), progress);
            self.handle.send_without_waiting(event);
        }
    }
}
