//! The handle through which all else reaches the core.
//!
//! Events reach the core in the order of one bounded channel. Whoever waits
//! for an answer is registered here until the driver sends it.

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
        CallKey, CallResult, ClaimResponse, OrderReport, PeerMessage, PeerReply,
    },
    query::MergeInput,
    refusal::{Refusal, RefusalCode, RunState},
    units::{Incarnation, Timestamp},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

/// Events that may wait for the core.
pub(crate) const EVENT_QUEUE: usize = 4_096;
/// Time after which an operator hears that the outcome is unknown.
const ORDER_WAIT: Duration = Duration::from_secs(5);
/// Time after which an operator hears that a question was not answered. The
/// core ends its questions earlier.
const QUERY_WAIT: Duration = Duration::from_secs(4);
/// Age of the last tick from which the process counts as paused. The core
/// ticks at least every 500 ms.
const PAUSE_AFTER: Duration = Duration::from_millis(1_500);

/// Clock of the core: microseconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct CoreClock {
    origin: Instant,
}

impl CoreClock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let origin = Instant::now();
        Self { origin }
    }

    /// The present time.
    pub fn now(self) -> Timestamp {
        Timestamp::ZERO.after(self.origin.elapsed())
    }

    /// The instant that a timestamp stands for.
    pub fn instant(self, time: Timestamp) -> Instant {
        self.origin + time.since(Timestamp::ZERO)
    }
}

impl Default for CoreClock {
    fn default() -> Self {
        Self::new()
    }
}

/// A claim that waits for its answer.
#[derive(Debug)]
struct WaitingClaim {
    key: CallKey,
    attempt: RequestId,
    answer: oneshot::Sender<ClaimResponse>,
}

/// Whoever waits for something from the core.
#[derive(Debug, Default)]
struct WaitingTable {
    last_inbound: u64,
    // Unbounded channels, as the core decides at most once per report of the
    // request's task and must not wait for that task.
    requests: BTreeMap<RequestId, mpsc::UnboundedSender<RequestDecision>>,
    peers: BTreeMap<InboundCallId, oneshot::Sender<PeerReply>>,
    orders: BTreeMap<InboundCallId, oneshot::Sender<OrderReport>>,
    queries: BTreeMap<InboundCallId, oneshot::Sender<QueryResult>>,
    claims: BTreeMap<InboundCallId, WaitingClaim>,
}

/// What the core gathered for a question, or why it did not.
type QueryResult = Result<Box<MergeInput>, Refusal>;

impl WaitingTable {
    fn next_inbound(&mut self) -> InboundCallId {
        self.last_inbound += 1;
        InboundCallId(self.last_inbound)
    }
}

#[derive(Debug)]
struct HandleState {
    events: mpsc::Sender<CoreEvent>,
    waiting: Mutex<WaitingTable>,
    view: watch::Receiver<Arc<PublishedState>>,
    stopped: watch::Receiver<bool>,
    clock: CoreClock,
    last_tick: AtomicU64,
}

/// The driver's ends of the channels.
#[derive(Debug)]
pub(crate) struct HandleFeed {
    pub(crate) events: mpsc::Receiver<CoreEvent>,
    pub(crate) view: watch::Sender<Arc<PublishedState>>,
    pub(crate) stopped: watch::Sender<bool>,
}

/// Reaches the core from any task.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    state: Arc<HandleState>,
}

impl CoreHandle {
    /// A handle, and what the driver needs to serve it.
    pub(crate) fn open() -> (Self, HandleFeed) {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let (view, view_receiver) = watch::channel(Arc::default());
        let (stopped, stopped_receiver) = watch::channel(false);
        let state = HandleState {
            events: sender,
            waiting: Mutex::default(),
            view: view_receiver,
            stopped: stopped_receiver,
            clock: CoreClock::new(),
            last_tick: AtomicU64::new(0),
        };
        let handle = Self {
            state: Arc::new(state),
        };
        let feed = HandleFeed {
            events,
            view,
            stopped,
        };
        (handle, feed)
    }

    pub(crate) fn note_tick(&self, now: Timestamp) {
        self.state.last_tick.store(now.get(), Ordering::Release);
    }

    pub(crate) fn decide(
        &self,
        request: &RequestId,
        decision: RequestDecision,
    ) {
        if let Some(sender) = self.waiting().requests.get(request) {
            // A request whose task is gone reports that by itself.
            let _ = sender.send(decision);
        }
    }

    pub(crate) fn answer_peer(&self, inbound: InboundCallId, reply: PeerReply) {
        let sender = self.waiting().peers.remove(&inbound);
        sender.map(|sender| sender.send(reply));
    }

    pub(crate) fn answer_order(
        &self,
        inbound: InboundCallId,
        report: OrderReport,
    ) {
        let sender = self.waiting().orders.remove(&inbound);
        sender.map(|sender| sender.send(report));
    }

    pub(crate) fn answer_query(
        &self,
        inbound: InboundCallId,
        result: QueryResult,
    ) {
        let sender = self.waiting().queries.remove(&inbound);
        sender.map(|sender| sender.send(result));
    }

    /// Answers a claim; one that was won for an abandoned attempt is
    /// released.
    pub(crate) fn answer_claim(
        &self,
        inbound: InboundCallId,
        answer: ClaimResponse,
    ) {
        let Some(claim) = self.waiting().claims.remove(&inbound) else {
            return;
        };
        if claim.answer.send(answer) == Err(ClaimResponse::Won) {
            self.send_later(CoreEvent::CallSettled {
                key: claim.key,
                attempt: claim.attempt,
                result: CallResult::Released,
            });
        }
    }

    /// Clock of the core.
    pub fn clock(&self) -> CoreClock {
        self.state.clock
    }

    /// The view that the core published last.
    pub fn view(&self) -> Arc<PublishedState> {
        self.state.view.borrow().clone()
    }

    /// A receiver of the views that the core publishes.
    pub fn watch_view(&self) -> watch::Receiver<Arc<PublishedState>> {
        self.state.view.clone()
    }

    /// Whether the core has not run for so long that its view may be old.
    pub fn is_paused(&self) -> bool {
        let last = self.state.last_tick.load(Ordering::Acquire);
        self.clock().now().since(Timestamp::new(last)) > PAUSE_AFTER
    }

    /// Answers a peer's message.
    pub async fn peer_called(
        &self,
        from: InstanceId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) -> PeerReply {
        let (sender, receiver) = oneshot::channel();
        let inbound = {
            let mut table = self.waiting();
            table.peers.retain(|_, sender| !sender.is_closed());
            let inbound = table.next_inbound();
            table.peers.insert(inbound, sender);
            inbound
        };
        self.send(CoreEvent::PeerCalled {
            inbound,
            from,
            incarnation,
            message,
        })
        .await;
        let stopped = |_| PeerReply::Rejected("instance has stopped".into());
        receiver.await.unwrap_or_else(stopped)
    }

    /// Asks a question and waits for what the fleet answers.
    pub async fn query(
        &self,
        text: Arc<str>,
    ) -> Result<Box<MergeInput>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let inbound = {
            let mut table = self.waiting();
            table.queries.retain(|_, sender| !sender.is_closed());
            let inbound = table.next_inbound();
            table.queries.insert(inbound, sender);
            inbound
        };
        self.send(CoreEvent::QueryReceived(inbound, text)).await;
        match tokio::time::timeout(QUERY_WAIT, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => {
                let message = "the query was not answered in time";
                Err(Refusal::new(RefusalCode::Overloaded, message)
                    .with_retry_after(Duration::from_secs(1)))
            }
        }
    }

    /// Gives an operator's order and waits for its outcome.
    pub async fn order(&self, order: FleetOrder) -> OrderReport {
        let id = order.order.clone();
        let event = |inbound| CoreEvent::OrderSubmitted(inbound, order);
        self.ask_order(id, event, RunState::MayHaveRun).await
    }

    /// Asks for the outcome of an order.
    pub async fn order_outcome(&self, id: OrderId) -> OrderReport {
        let event =
            |inbound| CoreEvent::OrderStatusRequested(inbound, id.clone());
        self.ask_order(id.clone(), event, RunState::MayHaveRun)
            .await
    }

    async fn ask_order(
        &self,
        id: OrderId,
        event: impl FnOnce(InboundCallId) -> CoreEvent,
        otherwise: RunState,
    ) -> OrderReport {
        let (sender, receiver) = oneshot::channel();
        let inbound = {
            let mut table = self.waiting();
            table.orders.retain(|_, sender| !sender.is_closed());
            let inbound = table.next_inbound();
            table.orders.insert(inbound, sender);
            inbound
        };
        self.send(event(inbound)).await;
        match tokio::time::timeout(ORDER_WAIT, receiver).await {
            Ok(Ok(report)) => report,
            Ok(Err(_)) | Err(_) => OrderReport {
                code: None,
                order: id,
                offset: None,
                accepted: None,
                reason: Some("the outcome is not known yet".into()),
                in_force: false,
                waiting_for: Vec::new(),
                run_state: otherwise,
            },
        }
    }

    /// Asks for the first use of an idempotency key.
    ///
    /// An attempt that is not won by its deadline counts as abandoned: if it
    /// is won later, it is released.
    pub async fn claim(
        &self,
        key: CallKey,
        attempt: RequestId,
        digest: Arc<str>,
        deadline: Timestamp,
    ) -> ClaimResponse {
        let (sender, mut receiver) = oneshot::channel();
        let inbound = {
            let mut table = self.waiting();
            let inbound = table.next_inbound();
            let claim = WaitingClaim {
                key: key.clone(),
                attempt: attempt.clone(),
                answer: sender,
            };
            table.claims.insert(inbound, claim);
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
        // After the close the driver's send fails, and it releases the claim.
        receiver.close();
        receiver.try_recv().unwrap_or_else(|_| {
            ClaimResponse::Undecided(Refusal::new(
                RefusalCode::DeadlineExceeded,
                "the key was not claimed before the deadline",
            ))
        })
    }

    /// Tells what became of a call attempt.
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

    /// Hands a request to the core.
    pub async fn submit(&self, spec: RequestDescriptor) -> RequestTicket {
        let (sender, decisions) = mpsc::unbounded_channel();
        let request = spec.request.clone();
        self.waiting().requests.insert(request.clone(), sender);
        let ticket = RequestTicket {
            request,
            decisions,
            handle: self.clone(),
            ended: false,
        };
        self.send(CoreEvent::Arrived(spec)).await;
        ticket
    }

    /// Begins a planned stop.
    pub async fn stop(&self) {
        self.send(CoreEvent::StopRequested).await;
    }

    /// Waits until the core says that nothing is running any more.
    pub async fn stopped(&self) {
        let mut stopped = self.state.stopped.clone();
        // An error means that the driver is gone.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    pub(crate) async fn send(&self, event: CoreEvent) {
        // Without a driver the process is ending, and whoever waits for an
        // answer sees its channel closed.
        let _ = self.state.events.send(event).await;
    }

    fn send_later(&self, event: CoreEvent) {
        if let Err(mpsc::error::TrySendError::Full(event)) =
            self.state.events.try_send(event)
        {
            let handle = self.clone();
            tokio::spawn(async move { handle.send(event).await });
        }
    }

    fn waiting(&self) -> MutexGuard<'_, WaitingTable> {
        let waiting = self.state.waiting.lock();
        waiting.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that the core knows; dropping it before its end reports that
/// the caller is gone.
#[derive(Debug)]
pub struct RequestTicket {
    request: RequestId,
    decisions: mpsc::UnboundedReceiver<RequestDecision>,
    handle: CoreHandle,
    ended: bool,
}

impl RequestTicket {
    /// Request id.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Waits for the next decision; `None` if the core is gone.
    pub async fn decision(&mut self) -> Option<RequestDecision> {
        let decision = self.decisions.recv().await;
        self.ended |= matches!(decision, Some(RequestDecision::End(_)));
        decision
    }

    /// Reports progress.
    pub async fn report(&mut self, progress: RequestProgress) {
        self.ended |= matches!(
            progress,
            RequestProgress::Finished(_) | RequestProgress::CallerDisconnected,
        );
        let event = CoreEvent::Progress(self.request.clone(), progress);
        self.handle.send(event).await;
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        self.handle.waiting().requests.remove(&self.request);
        if !self.ended {
            let progress = RequestProgress::CallerDisconnected;
            let event = CoreEvent::Progress(self.request.clone(), progress);
            self.handle.send_later(event);
        }
    }
}
