//! Forwards event streams, each from one or more upstreams.
//!
//! Only complete events are forwarded. If an upstream breaks off, another one
//! continues the stream after the last event that the caller has received.

use std::{io, time::Duration};

use borageline_lib::{
    gateway::{
        attempt::SendOutcome, gateway_core::SILENCE_MIN,
        prompt_quarantine::SOUND_ANSWER_TIME, stream_cursor::StreamCursor,
        wire::GatewayWire,
    },
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};
use bytes::Bytes;
use http::{Response, header, response::Parts as ResponseParts};
use http_body_util::Either;
use tokio::time::Instant;

use super::{
    caller_listener::AnswerBody,
    event_queue::{EventBody, EventSender, event_queue},
    forward::{CallerAttempt, SendError, UpstreamReply},
    metrics::RequestEnd,
};

/// Most events that are buffered for a slow caller.
const EVENT_QUEUE_MAX: usize = 128;
/// Time within which the first event must come while the request can still be
/// sent elsewhere, as a multiple of the latency target plus the predicted
/// time.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;
/// Expected gaps after which a silent stream counts as stalled.
const STALL_GAPS: u32 = 5;
/// Shortest silence after which a stream counts as stalled. An engine that
/// waits for one that has died continues or breaks off within 1.5 s.
const STALL_TIME_MIN: Duration = Duration::from_millis(1_800);

/// Time after the deadline within which the caller must make room for the events
/// of one piece: what is ready is also delivered late, but a caller that does not read
/// must not hold the upstream.
pub(super) const LATE_SEND_MAX: Duration = Duration::from_secs(2);

/// Time between two looks at the links of a silent stream.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a stream counts as stalled.
#[derive(Clone, Copy, Debug)]
struct StallLimit {
    /// Silence in any case.
    silence: Duration,
    /// Whether a shorter one is enough if the links to the upstream are lost.
    heeds_links: bool,
}

/// What happened next in a stream.
enum StreamStep {
    /// Complete events arrived.
    Events(Vec<Bytes>),
    /// The stream ended after a complete event.
    Complete,
    /// The stream broke off, for the given reason.
    Broken(String),
    /// No event arrived for this time.
    Stalled(Duration),
    /// The caller closed its connection.
    CallerLeft,
    /// No time is left, for the given reason.
    Expired(Refusal),
}

/// Answers with an event stream.
pub(super) async fn answer_events<W: GatewayWire>(
    mut attempt: CallerAttempt<W>,
) -> Response<AnswerBody> {
    let mut cursor = StreamCursor::new(attempt.request.resume_after);
    loop {
        let wait = first_event_timeout(&attempt);
        let started_at = attempt.context.now();
        let resume_after = cursor.last_id();
        let reply = match attempt.send(resume_after, &wait).await {
            Ok(reply) => reply,
            Err(SendError::Refused(refusal)) => return attempt.refuse(refusal),
            Err(SendError::Ended(before, outcome)) => {
                if attempt.authorize_resend(before, outcome).await {
                    continue;
                }
                let refusal = attempt.refusal_after(outcome);
                return attempt.refuse(refusal);
            }
        };
        if !reply.head.status.is_success() {
            match attempt.forward_whole_answer(reply).await {
                Ok(response) => return response,
                Err(outcome) => {
                    let before = attempt.record.run_state();
                    if attempt.authorize_resend(before, outcome).await {
                        continue;
                    }
                    let refusal = attempt.refusal_after(outcome);
                    return attempt.refuse(refusal);
                }
            }
        }
        if !attempt.context.wire.is_authentic_answer(&reply.head) {
            let text = "the stream is not marked as produced by the upstream";
            attempt.record_failed_send(
                &reply.upstream,
                SendOutcome::Lost,
                text,
            );
            let before = attempt.record.run_state();
            if attempt.authorize_resend(before, SendOutcome::Lost).await {
                continue;
            }
            let refusal = attempt.refusal_after(SendOutcome::Lost);
            return attempt.refuse(refusal);
        }
        let mut reply = reply;
        let elapsed = attempt.context.now().since(started_at);
        let limit = wait(reply.time_to_first_event).saturating_sub(elapsed);
        let limit = StallLimit {
            silence: limit,
            heeds_links: attempt.record.can_resend(),
        };
        let step = first_step(&mut attempt, &mut cursor, &mut reply, limit);
        let step = match step.await {
            Ok(step) => step,
            Err(refusal) => return attempt.refuse(refusal),
        };
        let text = match step {
            StreamStep::Events(events) => {
                return forward_stream(attempt, cursor, reply, events, false);
            }
            StreamStep::Complete if cursor.last_id().is_none() => {
                attempt.suspect_crash(&reply.upstream);
                "the stream ended before its first event".into()
            }
            StreamStep::Complete => {
                return forward_stream(
                    attempt,
                    cursor,
                    reply,
                    Vec::new(),
                    true,
                );
            }
            StreamStep::Broken(text) => {
                attempt.suspect_crash(&reply.upstream);
                text
            }
            StreamStep::Stalled(limit) => format!("no event for {limit:?}"),
            StreamStep::Expired(expiry) => return attempt.refuse(expiry),
            StreamStep::CallerLeft => {
                let text = "the caller left before the first event";
                let code = RefusalCode::DeadlineExceeded;
                return attempt.refuse(Refusal::new(code, text));
            }
        };
        attempt.record_failed_send(&reply.upstream, SendOutcome::Lost, &text);
        drop(reply);
        cursor.restart();
        let before = attempt.record.run_state();
        if !attempt.authorize_resend(before, SendOutcome::Lost).await {
            let refusal = attempt.refusal_after(SendOutcome::Lost);
            return attempt.refuse(refusal);
        }
    }
}

/// Returns the timeout for the first event as a function of the predicted
/// time to it.
fn first_event_timeout<W: GatewayWire>(
    attempt: &CallerAttempt<W>,
) -> impl Fn(Duration) -> Duration + use<W> {
    let left = attempt.time_left();
    let resend = attempt.record.can_resend();
    let target = attempt.admitted.route.latency_target;
    move |expected| {
        let wait = (target + expected).mul_f64(FIRST_EVENT_TIMEOUT_FACTOR);
        if resend {
            left.min(wait.max(STALL_TIME_MIN))
        } else {
            left
        }
    }
}

/// Waits for the first events of an upstream. Fails if the request is held
/// back meanwhile. A stream whose links are lost counts as stalled only if the
/// request can be sent again.
async fn first_step<W: GatewayWire>(
    attempt: &mut CallerAttempt<W>,
    cursor: &mut StreamCursor,
    reply: &mut UpstreamReply<W>,
    mut limit: StallLimit,
) -> Result<StreamStep, Refusal> {
    loop {
        let step = tokio::select! {
            biased;
            step = next_step(attempt, cursor, reply, limit, None) => step,
            refusal = attempt.wait_until_held() => return Err(refusal),
        };
        match step {
            StreamStep::Stalled(silence)
                if silence < limit.silence
                    && !attempt.prepay_resend().await =>
            {
                limit = StallLimit {
                    silence: limit.silence.saturating_sub(silence),
                    heeds_links: false,
                };
            }
            step => return Ok(step),
        }
    }
}

/// Waits for the next events of an upstream. `caller` is watched for a closed
/// connection, if the response has started.
async fn next_step<W: GatewayWire>(
    attempt: &CallerAttempt<W>,
    cursor: &mut StreamCursor,
    reply: &mut UpstreamReply<W>,
    limit: StallLimit,
    caller: Option<&EventSender>,
) -> StreamStep {
    let left = attempt.time_left();
    let expiry = attempt.wait_until_expired();
    tokio::pin!(expiry);
    let begun_at = Instant::now();
    let heeds_links = limit.heeds_links && reply.path.is_direct();
    let first_look = if heeds_links { SILENCE_MIN } else { left };
    let stall = tokio::time::sleep(limit.silence.min(left).min(first_look));
    tokio::pin!(stall);
    loop {
        let mut events = Vec::new();
        loop {
            match cursor.next_event() {
                Ok(Some(event)) => events.push(event.bytes),
                Ok(None) => break,
                Err(error) => {
                    return StreamStep::Broken(format!("{error:?}"));
                }
            }
        }
        if !events.is_empty() {
            return StreamStep::Events(events);
        }
        let frame = tokio::select! {
            biased;
            () = caller_left(caller) => return StreamStep::CallerLeft,
            frame = reply.body.frame() => frame,
            expiry = &mut expiry => return StreamStep::Expired(expiry),
            () = &mut stall => {
                let silence = begun_at.elapsed();
                if silence >= limit.silence.min(left)
                    || attempt.is_silenced(&reply.upstream, silence)
                {
                    return StreamStep::Stalled(silence);
                }
                let next = begun_at + limit.silence.min(left);
                stall
                    .as_mut()
                    .reset(next.min(Instant::now() + LINK_CHECK_INTERVAL));
                continue;
            }
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    cursor.push(bytes);
                }
            }
            Some(Err(error)) => {
                return StreamStep::Broken(format!(
                    "the stream broke off: {error}"
                ));
            }
            None if cursor.is_inside_event() => {
                return StreamStep::Broken(
                    "the stream ended inside an event".into(),
                );
            }
            None => return StreamStep::Complete,
        }
    }
}

async fn caller_left(caller: Option<&EventSender>) {
    match caller {
        Some(caller) => caller.closed().await,
        None => std::future::pending().await,
    }
}

/// Starts the response of a stream whose first events have arrived, and a task
/// that forwards the rest.
fn forward_stream<W: GatewayWire>(
    mut attempt: CallerAttempt<W>,
    cursor: StreamCursor,
    reply: UpstreamReply<W>,
    events: Vec<Bytes>,
    complete: bool,
) -> Response<AnswerBody> {
    let time = attempt.elapsed();
    attempt.timings.first_event = Some(time);
    attempt.last_event_at = Some(attempt.context.now());
    attempt.context.metrics.record_latency("events", time);
    let (sender, body) = event_queue(EVENT_QUEUE_MAX);
    let response = response_head(&attempt, &reply.head, body);
    reply.path.record_first_event();
    let forwarder = StreamForwarder {
        last_event: attempt.context.now(),
        answer_begun_at: (!events.is_empty()).then(|| attempt.context.now()),
        is_sound: false,
        ignore_stalls: false,
        attempt,
        cursor,
        sender,
    };
    tokio::spawn(forwarder.run(reply, events, complete));
    response
}

fn response_head<W: GatewayWire>(
    attempt: &CallerAttempt<W>,
    head: &ResponseParts,
    body: EventBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = head.status;
    let mut headers = attempt.context.wire.answer_headers(head);
    // Another upstream may continue the stream, so its length is unknown.
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

/// A stream whose response has started.
struct StreamForwarder<W: GatewayWire> {
    attempt: CallerAttempt<W>,
    cursor: StreamCursor,
    sender: EventSender,
    last_event: Timestamp,
    /// Time of the current upstream's first event; `None` before it.
    answer_begun_at: Option<Timestamp>,
    /// Whether the prompt was recorded as sound.
    is_sound: bool,
    /// Whether stalls no longer cause a fail-over.
    ignore_stalls: bool,
}

impl<W: GatewayWire> StreamForwarder<W> {
    /// Forwards events until the stream ends, the deadline passes or the
    /// caller leaves.
    async fn run(
        mut self,
        mut reply: UpstreamReply<W>,
        mut events: Vec<Bytes>,
        mut complete: bool,
    ) {
        loop {
            let left = self.attempt.time_left();
            let late = Instant::now() + left + LATE_SEND_MAX;
            for event in events.drain(..) {
                let sent = tokio::select! {
                    biased;
                    sent = self.sender.send(Ok(event)) => sent,
                    () = tokio::time::sleep_until(late) => {
                        drop(reply);
                        self.abort("the caller read too slowly").await;
                        return;
                    }
                    stop = self.attempt.context.wait_until_stop_ends() => {
                        self.abort(&stop.to_string()).await;
                        return;
                    }
                };
                if sent.is_err() {
                    return;
                }
            }
            if complete {
                self.finish(&reply);
                return;
            }
            let gap = self.attempt.admitted.route.gap_target * STALL_GAPS;
            let heeds_links =
                self.attempt.record.can_resend() && !self.ignore_stalls;
            let silence = if heeds_links {
                gap.max(STALL_TIME_MIN)
            } else {
                self.attempt.time_left()
            };
            let limit = StallLimit {
                silence,
                heeds_links,
            };
            let step = next_step(
                &self.attempt,
                &mut self.cursor,
                &mut reply,
                limit,
                Some(&self.sender),
            );
            match step.await {
                StreamStep::Events(next) => {
                    self.record_gap();
                    self.record_progress();
                    events = next;
                }
                StreamStep::Complete => complete = true,
                StreamStep::CallerLeft => return,
                StreamStep::Expired(expiry) => {
                    self.abort(&expiry.to_string()).await;
                    return;
                }
                StreamStep::Stalled(silence) => {
                    // A stall alone does not end a stream: unless another
                    // upstream can take over, it keeps waiting.
                    if self.cursor.last_id().is_none()
                        || !self.attempt.prepay_resend().await
                    {
                        self.ignore_stalls = true;
                        continue;
                    }
                    let text = format!("no event for {silence:?}");
                    match self.fail_over(reply, &text).await {
                        Some(next) => reply = next,
                        None => return,
                    }
                }
                StreamStep::Broken(text) => {
                    if self.is_answer_beginning() {
                        self.attempt.suspect_crash(&reply.upstream);
                    }
                    match self.fail_over(reply, &text).await {
                        Some(next) => reply = next,
                        None => return,
                    }
                }
            }
        }
    }

    fn record_gap(&mut self) {
        let now = self.attempt.context.now();
        let gap = now.since(self.last_event);
        let timings = &mut self.attempt.timings;
        timings.longest_pause = timings.longest_pause.max(gap);
        self.last_event = now;
        self.attempt.last_event_at = Some(now);
    }

    /// Whether the answer of the current upstream has not begun, or only just.
    fn is_answer_beginning(&self) -> bool {
        let now = self.attempt.context.now();
        self.answer_begun_at
            .is_none_or(|at| now.since(at) < SOUND_ANSWER_TIME)
    }

    /// Records the prompt as sound once its answer has gone on for some time.
    fn record_progress(&mut self) {
        let now = self.attempt.context.now();
        let begun_at = *self.answer_begun_at.get_or_insert(now);
        if !self.is_sound && !self.is_answer_beginning() {
            self.is_sound = true;
            self.attempt.record_sound_prompt(begun_at);
        }
    }

    fn finish(&mut self, reply: &UpstreamReply<W>) {
        let context = self.attempt.context.clone();
        if let (false, Some(begun_at)) = (self.is_sound, self.answer_begun_at) {
            self.attempt.record_sound_prompt(begun_at);
        }
        context.core().record_success(&reply.upstream);
        self.record_decoding();
        let events = self.cursor.events();
        let text = format!("{events} events of {}", reply.upstream);
        self.attempt.record_end(RequestEnd::Answered, &text);
    }

    /// Records the decoding time of an answer that came from one upstream.
    fn record_decoding(&self) {
        let attempt = &self.attempt;
        let times = (attempt.forecast, attempt.timings.first_event);
        if let (1, (Some(forecast), Some(first_event))) = (attempt.sends, times)
        {
            let actual = attempt.elapsed().saturating_sub(first_event);
            let service = &attempt.admitted.service;
            let mut core = attempt.context.core();
            core.record_decoding(service, &forecast, actual);
        }
    }

    async fn abort(&mut self, text: &str) {
        self.attempt.log_cut(text);
        self.attempt.record_end(RequestEnd::BrokenOff, text);
        let error = io::Error::other("the stream was broken off");
        // If the caller has left, it needs no error.
        let _ = self.sender.send(Err(error)).await;
    }

    /// Continues at another upstream. `None` if the stream has ended, because
    /// it could not be resumed or the caller left.
    async fn fail_over(
        &mut self,
        reply: UpstreamReply<W>,
        text: &str,
    ) -> Option<UpstreamReply<W>> {
        self.attempt.record_failed_send(
            &reply.upstream,
            SendOutcome::Lost,
            text,
        );
        drop(reply);
        self.cursor.restart();
        self.answer_begun_at = None;
        let mut before = self.attempt.record.run_state();
        let mut outcome = SendOutcome::Lost;
        loop {
            let resumable = self.cursor.last_id().is_some();
            if !resumable
                || !self.attempt.authorize_resend(before, outcome).await
            {
                self.abort("the stream cannot be resumed").await;
                return None;
            }
            let wait = self.attempt.time_left();
            let resume_after = self.cursor.last_id();
            let sent = tokio::select! {
                () = self.sender.closed() => return None,
                sent = self.attempt.send(resume_after, |_| wait) => sent,
            };
            match sent {
                Ok(reply)
                    if reply.head.status.is_success()
                        && self
                            .attempt
                            .context
                            .wire
                            .is_authentic_answer(&reply.head) =>
                {
                    return Some(reply);
                }
                Ok(reply) => {
                    let text = format!(
                        "the upstream answered with status {}",
                        reply.head.status
                    );
                    before = self.attempt.record.run_state();
                    outcome = SendOutcome::Failed;
                    self.attempt.record_failed_send(
                        &reply.upstream,
                        outcome,
                        &text,
                    );
                }
                Err(SendError::Refused(refusal)) => {
                    self.abort(&refusal.to_string()).await;
                    return None;
                }
                Err(SendError::Ended(state, end)) => {
                    before = state;
                    outcome = end;
                }
            }
        }
    }
}
