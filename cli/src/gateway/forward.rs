//! Forwards the requests of callers to upstreams.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    gateway::{
        answer_durations::AnswerForecast,
        attempt::{AttemptRecord, NextStep, SendOutcome},
        gateway_core::{
            AdmittedRequest, FailedPaths, NotPlaced, PlacementRequest,
            SendPath, StartedRequest, memory_wait_max,
        },
        prompt_quarantine::TrialGrant,
        request_content::RequestContent,
        request_limit::RequestLimit,
        request_timings::{AnswerLateness, RequestTimings},
        routing_config::{AnswerForm, CallerIdentity},
        upstream_table::{UpstreamEntry, UpstreamProcess},
        wire::{
            CallerRequest, DispatchMetadata, GatewayWire, PartId, ReplyKind,
        },
    },
    ids::UpstreamId,
    log_event::LogEvent,
    refusal::{Refusal, RefusalCode, RetryReason, RunState},
    units::Timestamp,
};
use bytes::Bytes;
use http::{
    Request, Response, Uri, request::Parts as RequestParts,
    response::Parts as ResponseParts,
};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    SharedGateway,
    body::{BufferedBody, read_body},
    caller_listener::AnswerBody,
    delegation::DelegationGuard,
    heartbeats::log_limit_changes,
    links,
    metrics::RequestEnd,
    reply_body::ReplyBody,
    reservations::{DeferredPrompt, InFlightGuard, ReservationSet},
    stream,
};
use crate::{
    http_client::{CallTarget, HttpError},
    log_decision,
};

/// Pause before a prompt is placed again after engines refused its KV cache;
/// their reports of free memory are older than that.
const RESERVATION_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time between two checks whether a request may be sent to another upstream.
const RESEND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's request that was admitted.
#[derive(Debug)]
pub(super) struct CallerAttempt<W: GatewayWire> {
    pub(super) context: SharedGateway<W>,
    pub(super) head: RequestParts,
    pub(super) body: Option<BufferedBody>,
    pub(super) request: CallerRequest,
    /// Ids of the shared parts of the prompt and of the whole request.
    pub(super) contents: Vec<PartId>,
    /// Trial under which the request is sent although some of its contents are in
    /// quarantine.
    pub(super) trial: Option<TrialGrant>,
    pub(super) admitted: AdmittedRequest,
    pub(super) record: AttemptRecord,
    pub(super) arrival: Timestamp,
    /// Upstreams that must not get the request again.
    pub(super) excluded: Vec<UpstreamId>,
    /// Those of `excluded` that only this instance could not connect to.
    pub(super) unreached: Vec<UpstreamId>,
    /// Upstreams on which the request failed after it may have started.
    pub(super) tried: Vec<UpstreamId>,
    /// Whether the request was placed before; it counts as demand only once.
    pub(super) was_placed: bool,
    /// Whether the next resend is counted against the retry budget already.
    is_resend_paid: bool,
    /// Whether another instance asked for one send of the request.
    pub(super) is_delegated: bool,
    /// Begin of the last direct send, if it made no connection.
    unconnected_at: Option<Timestamp>,
    /// Instances that could not send the request.
    pub(super) failed_delegates: Vec<IpAddr>,
    /// Sends made so far.
    pub(super) sends: u32,
    pub(super) timings: RequestTimings,
    /// Predicted times of the answer to the last direct send.
    pub(super) forecast: Option<AnswerForecast>,
    /// Upstream of the last direct send.
    pub(super) last_upstream: Option<UpstreamId>,
    /// Time of the last event or piece of the answer.
    pub(super) last_event_at: Option<Timestamp>,
    /// Limit that the last upstream named in its reply.
    upstream_limit: Option<RequestLimit>,
    /// Whether the end was recorded; otherwise the caller has left.
    ended: bool,
}

/// A reply whose head has arrived and whose body is still to be read.
#[derive(Debug)]
pub(super) struct UpstreamReply<W: GatewayWire> {
    pub(super) head: ResponseParts,
    pub(super) body: ReplyBody,
    pub(super) upstream: UpstreamId,
    pub(super) path: ReplyPath<W>,
    pub(super) time_to_first_event: Duration,
}

/// How a request got to its upstream; ends the count of its load on drop.
#[derive(Debug)]
pub(super) enum ReplyPath<W: GatewayWire> {
    /// Over this instance's links.
    Direct(InFlightGuard<W>),
    /// Through another instance.
    Delegated(
        #[expect(dead_code, reason = "kept until the reply has been read")]
        DelegationGuard<W>,
    ),
}

impl<W: GatewayWire> ReplyPath<W> {
    /// Whether the reply comes over this instance's links.
    pub(super) fn is_direct(&self) -> bool {
        matches!(self, Self::Direct(_))
    }

    /// Records the first event of the answer.
    pub(super) fn record_first_event(&self) {
        if let Self::Direct(in_flight) = self {
            in_flight.record_first_event();
        }
    }
}

/// Upstreams chosen for a request, its entry in the load table, and the
/// addresses of the helpers with the ids of their reservations.
type PlacedRequest<W> = (
    StartedRequest,
    InFlightGuard<W>,
    Vec<(SocketAddr, Option<Arc<str>>)>,
);

/// Why a send brought no reply.
#[derive(Debug)]
pub(super) enum SendError {
    /// The request was not sent.
    Refused(Refusal),
    /// The send ended without an answer. Carries the run state before the
    /// send.
    Ended(RunState, SendOutcome),
}

/// Answers a caller's request.
pub(super) async fn forward<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrival = context.now();
    let (head, body) = request.into_parts();
    let caller = match context.wire.read_request(&head) {
        Ok(caller) => caller,
        Err(error) => {
            let text = error.to_string();
            let refusal = Refusal::new(RefusalCode::Malformed, text);
            return reject(context, None, &refusal);
        }
    };
    let body = match read_body(context, &caller, body).await {
        Ok(body) => body,
        Err(refusal) => return reject(context, Some(&caller), &refusal),
    };
    let now = context.now();
    let path = head.uri.path();
    let admitted = {
        let key = caller.key.as_deref();
        context.core().admit(now, &caller.host, path, key)
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return reject(context, Some(&caller), &refusal),
    };
    let timeout = caller.timeout.unwrap_or(admitted.route.timeout);
    let deadline = arrival.after(timeout.min(admitted.route.timeout));
    let record = AttemptRecord::new(&admitted.route, deadline);
    let attempt =
        CallerAttempt::new(context, head, body, caller, admitted, record)
            .with_arrival(arrival);
    match attempt.admitted.route.form {
        AnswerForm::Whole => attempt.answer_whole().await,
        AnswerForm::Events => stream::answer_events(attempt).await,
    }
}

fn content_ids(
    head: &RequestParts,
    caller: &CallerRequest,
    body: Option<&BufferedBody>,
    admitted: &AdmittedRequest,
) -> Vec<PartId> {
    let bytes = body.map(BufferedBody::bytes).unwrap_or_default();
    let content = RequestContent {
        host: &caller.host,
        method: head.method.as_str(),
        path: head.uri.path(),
        query: head.uri.query().unwrap_or_default(),
        workspace: match &admitted.identity {
            CallerIdentity::Workspace(workspace) => workspace.name.as_str(),
            _ => "",
        },
        shared_parts: &caller.shared_parts,
        body: &bytes,
    };
    let parts = caller.shared_parts.iter().cloned();
    parts.chain(content.ids()).collect()
}

/// Refuses a request that was not admitted.
fn reject<W: GatewayWire>(
    context: &SharedGateway<W>,
    caller: Option<&CallerRequest>,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let attempt = caller.and_then(|caller| caller.attempt.as_ref());
    let core = context.core();
    let version = core.config().map(|config| config.version);
    drop(core);
    log_decision!(
        LogEvent::RequestRejected,
        {
            request = attempt.map_or("-", |attempt| attempt.as_str()),
            code = refusal.code,
            config_version = version.unwrap_or_default(),
        },
        "{refusal}",
    );
    context.metrics.count_refusal(refusal.code);
    context.metrics.count_end(RequestEnd::Refused);
    context.wire.refusal(attempt, refusal).map(buffered_body)
}

pub(super) fn buffered_body(body: Bytes) -> AnswerBody {
    Either::Left(Full::new(body))
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// A request that has just arrived and was admitted.
    pub(super) fn new(
        context: &SharedGateway<W>,
        head: RequestParts,
        body: Option<BufferedBody>,
        request: CallerRequest,
        admitted: AdmittedRequest,
        record: AttemptRecord,
    ) -> Self {
        let contents = content_ids(&head, &request, body.as_ref(), &admitted);
        Self {
            context: context.clone(),
            head,
            body,
            request,
            contents,
            trial: None,
            admitted,
            record,
            arrival: context.now(),
            excluded: Vec::new(),
            unreached: Vec::new(),
            tried: Vec::new(),
            was_placed: false,
            is_resend_paid: false,
            is_delegated: false,
            unconnected_at: None,
            failed_delegates: Vec::new(),
            sends: 0,
            timings: RequestTimings::default(),
            forecast: None,
            last_upstream: None,
            last_event_at: None,
            upstream_limit: None,
            ended: false,
        }
    }

    /// Sets the time at which the request arrived.
    pub(super) fn with_arrival(mut self, arrival: Timestamp) -> Self {
        self.arrival = arrival;
        self
    }

    /// Id of the attempt for the log; `-` if the caller sent none.
    pub(super) fn id(&self) -> &str {
        self.request.attempt.as_ref().map_or("-", |id| id.as_str())
    }

    /// Time until the attempt's own deadline.
    pub(super) fn deadline_left(&self) -> Duration {
        self.record.deadline().since(self.context.now())
    }

    /// The attempt's own deadline, for the body of a reply.
    pub(super) fn reply_deadline(&self) -> Instant {
        Instant::now() + self.deadline_left()
    }

    /// Time since the request arrived.
    pub(super) fn elapsed(&self) -> Duration {
        self.context.now().since(self.arrival)
    }

    /// Logs and counts the end of the request.
    pub(super) fn record_end(&mut self, end: RequestEnd, text: &str) {
        self.ended = true;
        self.context.metrics.count_end(end);
        let lateness = self.record_timings();
        let route = &self.admitted.route;
        let timings = &self.timings;
        log_decision!(
            LogEvent::RequestFinished,
            {
                request = self.id(),
                route = route.name,
                outcome = end.as_str(),
                sends = self.sends,
                elapsed_ms = self.elapsed().as_millis(),
                prompt = self.prompt_tokens(),
                waited_ms = timings.waited.as_millis(),
                expected_ms = timings.expected.as_millis(),
                helpers = timings.helpers,
                first_event_ms = first_event_ms(timings),
                target_ms = route.latency_target.as_millis(),
                longest_pause_ms = timings.longest_pause.as_millis(),
                late = lateness,
                stop_ms = self.stop_age_ms(self.context.now()),
                upstream_limit = self.upstream_limit.map_or_else(
                    || "-".into(),
                    |limit| limit.per_second().to_string(),
                ),
            },
            "{text}",
        );
    }

    /// Adds the request's times to the metrics; returns whether it was late.
    fn record_timings(&self) -> AnswerLateness {
        let lateness = self.timings.lateness(&self.admitted.route);
        let metrics = &self.context.metrics;
        metrics.count_lateness(lateness);
        if self.sends > 0 {
            metrics.record_latency("waiting", self.timings.waited);
        }
        if self.record.is_stream() && self.timings.first_event.is_some() {
            metrics.record_latency("pause", self.timings.longest_pause);
        }
        lateness
    }

    /// Size of the prompt in tokens; zero for a request without one.
    fn prompt_tokens(&self) -> u64 {
        self.request.size.map_or(0, |size| size.prompt.get())
    }

    /// Ends the request with a refusal or failure.
    pub(super) fn refuse(&mut self, refusal: Refusal) -> Response<AnswerBody> {
        let refusal = match self.record.run_state() {
            RunState::NotRun => refusal,
            state => {
                // A refusal promises that the request has not run, so a
                // request that may have run gets a failure code.
                let code = match refusal.code {
                    RefusalCode::DeadlineExceeded => refusal.code,
                    _ => RefusalCode::UpstreamFailed,
                };
                Refusal::new(code, refusal.message).with_run_state(state)
            }
        };
        self.context.metrics.count_refusal(refusal.code);
        self.record_end(RequestEnd::Refused, &refusal.to_string());
        let attempt = self.request.attempt.as_ref();
        self.context
            .wire
            .refusal(attempt, &refusal)
            .map(buffered_body)
    }

    /// Refusal to send to the caller after a send that ended without an
    /// answer.
    pub(super) fn refusal_after(&self, outcome: SendOutcome) -> Refusal {
        if let Some(expiry) = self.expiry() {
            return expiry;
        }
        let text =
            format!("the last send to an upstream ended with {outcome:?}");
        let mut core = self.context.core();
        core.retryable_refusal(RefusalCode::NoCapacity, &text)
    }

    /// Sends the request to an upstream and waits for the head of the reply.
    /// `wait` returns the timeout for it, given the predicted time to the
    /// first event.
    pub(super) async fn send(
        &mut self,
        resume_after: Option<u64>,
        wait: impl Fn(Duration) -> Duration,
    ) -> Result<UpstreamReply<W>, SendError> {
        self.check_prompt().await.map_err(SendError::Refused)?;
        match self.send_path() {
            SendPath::Direct => self.send_direct(resume_after, wait).await,
            SendPath::Delegate(ip) => {
                let is_resumed = resume_after != self.request.resume_after;
                let request = self.placement_request(is_resumed);
                let forecast = self.context.core().unplaced_forecast(&request);
                self.check_stop(is_resumed, forecast)?;
                self.send_through(ip, resume_after, wait).await
            }
            SendPath::None(refusal) => Err(SendError::Refused(refusal)),
        }
    }

    /// Decides how the next send is made.
    fn send_path(&self) -> SendPath {
        if self.is_delegated {
            return SendPath::Direct;
        }
        let now = self.context.now();
        let service = &self.admitted.service;
        let failed = FailedPaths {
            unconnected_at: self.unconnected_at,
            delegates: &self.failed_delegates,
        };
        self.context.core().send_path(now, service, &failed)
    }

    /// Sends the request to an upstream over this instance's own links.
    async fn send_direct(
        &mut self,
        resume_after: Option<u64>,
        wait: impl Fn(Duration) -> Duration,
    ) -> Result<UpstreamReply<W>, SendError> {
        let is_resumed = resume_after != self.request.resume_after;
        let (started, in_flight, helpers) = self
            .place_with_memory(is_resumed)
            .await
            .map_err(SendError::Refused)?;
        // A planned stop may have begun while memory was reserved.
        self.check_stop(is_resumed, started.forecast)?;
        let metadata = DispatchMetadata {
            upstream: started.entry.id.clone(),
            time_left: self.time_left(),
            workspace: match &self.admitted.identity {
                CallerIdentity::Workspace(workspace) => {
                    Some(workspace.name.clone())
                }
                _ => None,
            },
            priority: self.admitted.priority(),
            resume_after,
            helpers,
            body_length: self.body.as_ref().map(|body| body.len()),
        };
        let before = self.record.run_state();
        self.begin_send();
        let time_left = self.time_left();
        let given_up_after = wait(started.time_to_first_event).min(time_left);
        let target = CallTarget {
            step: "forward",
            peer: started.entry.address,
            timeout: time_left,
        };
        let request = self.upstream_request(&metadata, &started);
        let begun_at = self.context.now();
        let call_begin = self.begin_metered_call();
        self.forecast = started.forecast;
        self.last_upstream = Some(started.entry.id.clone());
        let sent = tokio::select! {
            biased;
            sent = self.context.upstreams.send(target, request) => sent,
            refusal = self.wait_until_held() => {
                return Err(SendError::Refused(refusal));
            }
            refusal = self.context.wait_until_stop_ends() => {
                return Err(SendError::Refused(refusal));
            }
            silence = self.wait_until_silenced(&started.entry.id) => {
                self.is_resend_paid = true;
                Err(HttpError::TimedOut {
                    step: target.step,
                    peer: target.peer,
                    after: silence,
                })
            }
            () = self.wait_until_given_up(given_up_after) => {
                self.is_resend_paid = !self.is_delegated;
                Err(HttpError::TimedOut {
                    step: target.step,
                    peer: target.peer,
                    after: given_up_after,
                })
            }
        };
        let upstream = started.entry.id.clone();
        links::record_connection(&self.context, begun_at, &upstream, &sent);
        let (head, body) = match sent {
            Ok(response) => response.into_parts(),
            Err(error) => {
                let outcome = match &error {
                    HttpError::ConnectFailed { .. } => {
                        self.unconnected_at = Some(begun_at);
                        self.unreached.push(upstream.clone());
                        SendOutcome::NotConnected
                    }
                    _ => SendOutcome::Lost,
                };
                let text = error.to_string();
                if matches!(error, HttpError::Broken { .. }) {
                    self.suspect_crash(&upstream);
                }
                self.record_failed_send(&upstream, outcome, &text);
                return Err(SendError::Ended(before, outcome));
            }
        };
        let attempt = self.request.attempt.as_ref();
        let kind = self.context.wire.read_reply(attempt, &head);
        self.record_limit(&started.entry, kind, &head);
        if kind != ReplyKind::Foreign && kind != ReplyKind::Misdirected {
            self.record_departure(started.entry.process(), &head);
            self.record_pause(&started.entry.process(), &head);
        }
        let outcome = match kind {
            ReplyKind::Answer => None,
            ReplyKind::Failure => {
                let now = self.context.now();
                self.context.core().record_error(now, &upstream);
                None
            }
            ReplyKind::Declined => Some(SendOutcome::Declined),
            ReplyKind::Misdirected => Some(SendOutcome::Misdirected),
            ReplyKind::Foreign => Some(SendOutcome::Lost),
        };
        if let Some(outcome) = outcome {
            let text = format!("the reply has status {}", head.status);
            match self.failed_helper(&upstream, outcome, &head) {
                Some(helper) => self.record_failed_helper(&helper, &upstream),
                None => self.record_failed_send(&upstream, outcome, &text),
            }
            return Err(SendError::Ended(before, outcome));
        }
        if let Some(begin) = call_begin
            && self.context.wire.is_authentic_answer(&head)
        {
            begin.record();
        }
        let stream_begin = self.metered_stream(&head);
        let body = ReplyBody::new(body, self.reply_deadline());
        Ok(UpstreamReply {
            head,
            body: body.with_begin(stream_begin),
            upstream,
            path: ReplyPath::Direct(in_flight),
            time_to_first_event: started.time_to_first_event,
        })
    }

    /// Records that the request is about to be written to an upstream. A resend
    /// that was paid for and not made is free until then.
    pub(super) fn begin_send(&mut self) {
        self.record.begin_send();
        self.sends += 1;
        self.is_resend_paid = false;
    }

    /// Records whether the reply says that the upstream is leaving.
    pub(super) fn record_departure(
        &self,
        process: UpstreamProcess,
        head: &ResponseParts,
    ) {
        if !self.context.wire.is_leaving(head) {
            return;
        }
        let now = self.context.now();
        let upstream = process.upstream.clone();
        if self.context.core().mark_leaving(now, process) {
            log_decision!(
                LogEvent::UpstreamChanged,
                { request = self.id(), upstream = upstream, state = "leaving" },
                "{upstream} says in a reply that it is leaving",
            );
        }
    }

    /// Records for how long the upstream wants no more requests.
    fn record_pause(&self, process: &UpstreamProcess, head: &ResponseParts) {
        let Some(pause) = self.context.wire.pause(head) else {
            return;
        };
        let now = self.context.now();
        self.context.core().pause_upstream(now, process, pause);
        let upstream = &process.upstream;
        log_decision!(
            LogEvent::UpstreamPaused,
            {
                request = self.id(),
                upstream = upstream,
                pause_ms = pause.as_millis(),
            },
            "{upstream} wants no requests for {pause:?}",
        );
    }

    /// Records the limit that an upstream named in its reply. Only an answer
    /// shows that it names none: other replies may leave it out.
    fn record_limit(
        &mut self,
        entry: &UpstreamEntry,
        kind: ReplyKind,
        head: &ResponseParts,
    ) {
        let wire = &self.context.wire;
        let limit = match kind {
            ReplyKind::Misdirected | ReplyKind::Foreign => return,
            _ => wire.request_limit(head),
        };
        let is_answer =
            kind == ReplyKind::Answer && wire.is_authentic_answer(head);
        if limit.is_none() && !is_answer {
            return;
        }
        self.upstream_limit = limit;
        let now = self.context.now();
        let process = entry.process();
        let mut core = self.context.core();
        core.record_request_limit(now, &process, limit);
        drop(core);
        if log_limit_changes(&self.context) {
            self.context.heartbeat_due.notify_one();
        }
    }

    /// Chooses upstreams and reserves KV cache on them. If engines refuse it,
    /// places the prompt again, as long as it could wait for memory.
    async fn place_with_memory(
        &mut self,
        is_resumed: bool,
    ) -> Result<PlacedRequest<W>, Refusal> {
        loop {
            let started = self.place(is_resumed).await?;
            self.was_placed = true;
            let mut in_flight =
                InFlightGuard::new(self.context.clone(), started.in_flight_id);
            if self.sends == 0 {
                self.timings.waited = self.elapsed();
            }
            self.timings.expected = started.time_to_first_event;
            self.timings.helpers = started.helpers.len();
            self.log_placed(&started);
            if started.needs_heartbeat {
                self.context.heartbeat_due.notify_one();
            }
            let time_left = self.time_left();
            let reserved =
                ReservationSet::reserve(&self.context, &started, time_left);
            match reserved.await {
                Ok(reservations) => {
                    let helpers = reservations.helpers();
                    in_flight.attach(reservations);
                    return Ok((started, in_flight, helpers));
                }
                Err(refusal) => {
                    let route = &self.admitted.route;
                    let waits = memory_wait_max(route.latency_target);
                    if self.elapsed() > waits {
                        return Err(refusal);
                    }
                    drop(in_flight);
                    self.pause(RESERVATION_RETRY_PAUSE).await?;
                }
            }
        }
    }

    /// What a placement must know of the request.
    fn placement_request(&self, is_resumed: bool) -> PlacementRequest<'_> {
        PlacementRequest {
            admitted: &self.admitted,
            size: self.request.size,
            is_resumed,
            is_new: !self.was_placed,
            excluded: &self.excluded,
            tried: &self.tried,
            waited: self.elapsed(),
            time_left: self.deadline_left(),
        }
    }

    /// Refuses the request if a planned stop leaves too little time for it.
    fn check_stop(
        &self,
        is_resumed: bool,
        forecast: Option<AnswerForecast>,
    ) -> Result<(), SendError> {
        let request = self.placement_request(is_resumed);
        let now = self.context.now();
        let checked = self.context.core().check_stop(now, &request, forecast);
        checked.map_err(SendError::Refused)
    }

    /// Whether a planned stop, if any, leaves enough time to send the request
    /// once more after `wait`. The request's record and the retry budget are not
    /// asked.
    pub(super) fn stop_allows_resend(&self, wait: Duration) -> bool {
        let request = self.placement_request(false);
        let request = PlacementRequest {
            time_left: request.time_left.saturating_sub(wait),
            ..request
        };
        let at = self.context.now().after(wait);
        let mut core = self.context.core();
        let forecast = core.unplaced_forecast(&request);
        core.check_stop(at, &request, forecast).is_ok()
    }

    /// Resolves after `wait`, as soon as the request may be sent to another
    /// upstream than the one that has not begun to answer it; never, if it may
    /// not. That resend is paid for then. Without a retry left, or if a planned
    /// stop forbids the resend, only the first upstream can still answer.
    async fn wait_until_given_up(&self, wait: Duration) {
        tokio::time::sleep(wait).await;
        if self.is_delegated {
            // The instance that asked for the send decides on another one.
            return;
        }
        if !self.record.can_resend() {
            return std::future::pending().await;
        }
        while !self.stop_allows_resend(Duration::ZERO)
            || !(self.is_resend_paid || self.pay_for_resend().await)
        {
            tokio::time::sleep(RESEND_CHECK_INTERVAL).await;
        }
    }

    /// Waits before the next placement. Fails if a planned stop ends the
    /// request meanwhile.
    async fn pause(&self, pause: Duration) -> Result<(), Refusal> {
        tokio::select! {
            biased;
            () = tokio::time::sleep(pause) => Ok(()),
            refusal = self.context.wait_until_stop_ends() => Err(refusal),
        }
    }

    /// Chooses an upstream; waits as long as the prompt is deferred.
    async fn place(&self, is_resumed: bool) -> Result<StartedRequest, Refusal> {
        let mut deferred = None;
        loop {
            if let Some(refusal) = self.held_refusal() {
                return Err(refusal);
            }
            let request = PlacementRequest {
                is_new: !self.was_placed && deferred.is_none(),
                ..self.placement_request(is_resumed)
            };
            let now = self.context.now();
            let placed = self.context.core().place(now, &request);
            match placed {
                Ok(started) => return Ok(started),
                Err(NotPlaced::Refused(refusal)) => return Err(refusal),
                Err(NotPlaced::Defer { pause, prefill }) => {
                    deferred.get_or_insert_with(|| {
                        DeferredPrompt::new(self.context.clone(), prefill)
                    });
                    let spread = 0.75 + 0.5 * rand::random::<f64>();
                    self.pause(pause.mul_f64(spread)).await?;
                }
            }
        }
    }

    fn upstream_request(
        &self,
        metadata: &DispatchMetadata,
        started: &StartedRequest,
    ) -> Request<Full<Bytes>> {
        let head = self.context.wire.dispatch(&self.head, metadata);
        let body = self.body.as_ref().map(|body| body.bytes());
        let body = body.unwrap_or_default();
        let mut request = head.map(|()| Full::new(body));
        let mut parts = self.head.uri.clone().into_parts();
        parts.scheme = Some(http::uri::Scheme::HTTP);
        let address = started.entry.address.to_string();
        parts.authority =
            Some(address.parse().expect("a socket address is an authority"));
        *request.uri_mut() = Uri::from_parts(parts)
            .expect("a path with an authority makes a URI");
        request
    }

    fn log_placed(&self, started: &StartedRequest) {
        log_decision!(
            LogEvent::RequestPlaced,
            {
                request = self.id(),
                route = self.admitted.route.name,
                config_version = self.admitted.config_version,
                upstream = started.entry.id,
                entry_age_ms = started.entry_age.as_millis(),
                helpers = started.helpers.len(),
                helper_ids = helper_ids(started),
                backlog_ms = started.backlog.as_millis(),
                prompt = self.prompt_tokens(),
                parts = self.content_ids(),
                expected_ms = started.time_to_first_event.as_millis(),
                longest_ms = started
                    .forecast
                    .map_or(0, |it| it.longest().as_millis()),
                time_left_ms = self.time_left().as_millis(),
                stop_ms = self.stop_age_ms(self.context.now()),
            },
            "send {} to {}", self.sends + 1, started.entry.address,
        );
    }

    /// Helper because of which an upstream declined the request; `None` if the
    /// upstream itself was the cause.
    fn failed_helper(
        &self,
        upstream: &UpstreamId,
        outcome: SendOutcome,
        head: &ResponseParts,
    ) -> Option<UpstreamId> {
        if outcome != SendOutcome::Declined {
            return None;
        }
        let address = self.context.wire.declining_peer(head)?;
        let service = &self.admitted.service;
        let found = self.context.core().upstream_at(service, address)?;
        (found != *upstream).then_some(found)
    }

    /// Records that a helper failed; the upstream that declined the request
    /// for that reason stays usable.
    fn record_failed_helper(
        &mut self,
        helper: &UpstreamId,
        upstream: &UpstreamId,
    ) {
        let now = self.context.now();
        let avoided = self.context.core().record_failure(now, helper);
        self.excluded.push(helper.clone());
        log_decision!(
            LogEvent::SendFailed,
            {
                request = self.id(),
                upstream = helper,
                outcome = format_args!("{:?}", SendOutcome::Declined),
                avoided_ms = avoided.as_millis(),
                elapsed_ms = self.elapsed().as_millis(),
            },
            "{upstream} declined since the helper {helper} failed",
        );
    }

    /// Records how a send failed, in the upstream's status and in the log.
    pub(super) fn record_failed_send(
        &mut self,
        upstream: &UpstreamId,
        outcome: SendOutcome,
        text: &str,
    ) {
        let now = self.context.now();
        let mut core = self.context.core();
        let avoided = match outcome {
            SendOutcome::Declined | SendOutcome::Failed => {
                core.record_error(now, upstream);
                Duration::ZERO
            }
            SendOutcome::Misdirected => {
                core.mark_displaced(upstream);
                Duration::ZERO
            }
            _ => core.record_failure(now, upstream),
        };
        drop(core);
        if !outcome.proves_not_run() {
            // The trial has failed, or its result is not known.
            self.trial = None;
        }
        if outcome.proves_not_run() {
            self.excluded.push(upstream.clone());
        } else if !self.tried.contains(upstream) {
            self.tried.push(upstream.clone());
        }
        log_decision!(
            LogEvent::SendFailed,
            {
                request = self.id(),
                upstream = upstream,
                outcome = format_args!("{outcome:?}"),
                avoided_ms = avoided.as_millis(),
                elapsed_ms = self.elapsed().as_millis(),
            },
            "{text}",
        );
    }

    /// Whether the request may be sent again after a failed send. If so, the
    /// resend is counted against the retry budget.
    pub(super) async fn authorize_resend(
        &mut self,
        before: RunState,
        outcome: SendOutcome,
    ) -> bool {
        let now = self.context.now();
        match self.record.finish_send(now, before, outcome) {
            NextStep::End(_) => false,
            NextStep::Resend { budgeted } => {
                let allowed = !budgeted || self.prepay_resend().await;
                if allowed {
                    self.context.metrics.count_retry(retry_reason(outcome));
                }
                allowed
            }
        }
    }

    /// Counts the next resend against the retry budget, if that allows one. It
    /// stays paid until a request is written.
    pub(super) async fn prepay_resend(&mut self) -> bool {
        self.is_resend_paid =
            self.is_resend_paid || self.pay_for_resend().await;
        self.is_resend_paid
    }
}

impl<W: GatewayWire> Drop for CallerAttempt<W> {
    fn drop(&mut self) {
        if let Some(trial) = &self.trial
            && self.record.run_state() == RunState::NotRun
        {
            self.context.core().return_trial(trial);
        }
        if !self.ended {
            self.context.metrics.count_end(RequestEnd::CallerLeft);
            log_decision!(
                LogEvent::CallerLeft,
                {
                    request = self.id(),
                    route = self.admitted.route.name,
                    sends = self.sends,
                    elapsed_ms = self.elapsed().as_millis(),
                    prompt = self.prompt_tokens(),
                    waited_ms = self.timings.waited.as_millis(),
                    expected_ms = self.timings.expected.as_millis(),
                    first_event_ms = first_event_ms(&self.timings),
                },
                "the caller closed its connection",
            );
        }
    }
}

fn retry_reason(outcome: SendOutcome) -> RetryReason {
    match outcome {
        SendOutcome::NotConnected => RetryReason::ConnectFailed,
        SendOutcome::Declined => RetryReason::EngineOvercommitted,
        SendOutcome::Misdirected => RetryReason::UpstreamLeaving,
        SendOutcome::Failed | SendOutcome::Lost => {
            RetryReason::FailedBeforeFirstPart
        }
    }
}

/// Time to the first event for the log; `-` if there was none.
fn first_event_ms(timings: &RequestTimings) -> String {
    timings
        .first_event
        .map_or_else(|| "-".into(), |time| time.as_millis().to_string())
}

fn helper_ids(started: &StartedRequest) -> String {
    let ids = started.helpers.iter().map(|(entry, _)| entry.id.as_str());
    ids.collect::<Vec<_>>().join(" ")
}

/// Id under which KV cache is reserved for a send.
pub(super) fn reservation_id(started: &StartedRequest, nonce: u64) -> Arc<str> {
    format!("{:x}-{nonce:x}", started.in_flight_id.get()).into()
}
