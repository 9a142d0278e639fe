//! Forwards event streams, each from one or more upstreams.
//!
//! Only complete events are forwarded. If an upstream breaks off, another one
//! continues the stream after the last event that the caller has received.

mod forwarder;
mod step;
mod takeover;

use std::time::Duration;

use borageline_lib::{
    gateway::{
        attempt::SendOutcome, stream_cursor::StreamCursor, wire::GatewayWire,
    },
    refusal::{Refusal, RefusalCode},
};
use bytes::Bytes;
use http::{Response, header, response::Parts as ResponseParts};
use http_body_util::Either;

use self::{
    forwarder::StreamForwarder,
    step::{STALL_TIME_MIN, StallLimit, StreamStep, next_step},
    takeover::{Continuation, Takeover, TakeoverError},
};
use super::{
    caller_listener::AnswerBody,
    event_queue::{EventBody, event_queue},
    forward::{CallerAttempt, SendError, UpstreamReply},
};

/// Most events that are buffered for a slow caller.
const EVENT_QUEUE_MAX: usize = 128;
/// Time within which the first event must come while the request can still be
/// sent elsewhere, as a multiple of the latency target plus the predicted
/// time.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;
/// Time after the deadline within which the caller must make room for the events
/// of one piece: what is ready is also delivered late, but a caller that does not
/// read must not hold the upstream.
pub(super) const LATE_SEND_MAX: Duration = Duration::from_secs(2);

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
        let elapsed = attempt.context.now().since(started_at);
        let limit = wait(reply.time_to_first_event).saturating_sub(elapsed);
        let limit = StallLimit {
            silence: limit,
            heeds_links: attempt.record.can_resend(),
        };
        let begun = begin_stream(&mut attempt, &mut cursor, reply, limit).await;
        match begun {
            Begin::Events(reply, events) => {
                return forward_stream(attempt, cursor, reply, events, false);
            }
            Begin::Complete(reply) => {
                let events = Vec::new();
                return forward_stream(attempt, cursor, reply, events, true);
            }
            Begin::Refused(refusal) => return attempt.refuse(refusal),
            Begin::Broken => cursor.restart(),
        }
        let before = attempt.record.run_state();
        if !attempt.authorize_resend(before, SendOutcome::Lost).await {
            let refusal = attempt.refusal_after(SendOutcome::Lost);
            return attempt.refuse(refusal);
        }
    }
}

/// How the wait for the first events of a stream ended.
enum Begin<W: GatewayWire> {
    /// They have arrived from this upstream.
    Events(UpstreamReply<W>, Vec<Bytes>),
    /// The stream of this upstream ended without an event that the caller lacks.
    Complete(UpstreamReply<W>),
    /// The upstream broke off, which has been recorded.
    Broken,
    /// The request is refused.
    Refused(Refusal),
}

/// Waits for the first events of a stream. An upstream that is silent for longer
/// than `limit` is kept until another one has begun.
async fn begin_stream<W: GatewayWire>(
    attempt: &mut CallerAttempt<W>,
    cursor: &mut StreamCursor,
    mut reply: UpstreamReply<W>,
    mut limit: StallLimit,
) -> Begin<W> {
    let mut known_step = None;
    loop {
        let step = match known_step.take() {
            Some(step) => Ok(step),
            None => first_step(attempt, cursor, &mut reply, limit).await,
        };
        let step = match step {
            Ok(step) => step,
            Err(refusal) => return Begin::Refused(refusal),
        };
        let text = match step {
            StreamStep::Events(events) => return Begin::Events(reply, events),
            StreamStep::Complete if cursor.last_id().is_none() => {
                "the stream ended before its first event".into()
            }
            StreamStep::Complete => return Begin::Complete(reply),
            StreamStep::Broken(text) => text,
            StreamStep::Expired(expiry) => return Begin::Refused(expiry),
            StreamStep::CallerLeft => return Begin::Refused(caller_gone()),
            StreamStep::Stalled(silence) => {
                let text = format!("no event for {silence:?}");
                let failed = reply.upstream.clone();
                let outcome = SendOutcome::Lost;
                attempt.record_failed_send(&failed, outcome, &text);
                if !attempt.prepay_resend().await {
                    limit = StallLimit {
                        silence: attempt.time_left(),
                        heeds_links: false,
                    };
                    continue;
                }
                let takeover = Takeover {
                    attempt: &mut *attempt,
                    cursor: &mut *cursor,
                    caller: None,
                    answer_begun_at: None,
                };
                match takeover.run(Some(reply)).await {
                    Ok(
                        Continuation::Kept(next, step)
                        | Continuation::Taken(next, step),
                    ) => {
                        reply = next;
                        known_step = step;
                    }
                    Err(TakeoverError::CallerLeft) => {
                        return Begin::Refused(caller_gone());
                    }
                    Err(TakeoverError::Refused(refusal)) => {
                        return Begin::Refused(refusal);
                    }
                    Err(TakeoverError::NotResent(outcome)) => {
                        return Begin::Refused(attempt.refusal_after(outcome));
                    }
                }
                let timeout = first_event_timeout(attempt);
                limit = StallLimit {
                    silence: timeout(reply.time_to_first_event),
                    heeds_links: false,
                };
                continue;
            }
        };
        attempt.suspect_crash(&reply.upstream);
        attempt.record_failed_send(&reply.upstream, SendOutcome::Lost, &text);
        return Begin::Broken;
    }
}

fn caller_gone() -> Refusal {
    let text = "the caller left before the first event";
    Refusal::new(RefusalCode::DeadlineExceeded, text)
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
    let exit_age = &attempt.context.exit_age;
    let (sender, body) = event_queue(EVENT_QUEUE_MAX, attempt.id(), exit_age);
    let response = response_head(&attempt, &reply.head, body);
    reply.path.record_first_event();
    let forwarder = StreamForwarder {
        last_event: attempt.context.now(),
        answer_begun_at: (!events.is_empty()).then(|| attempt.context.now()),
        is_sound: false,
        ignore_stalls: false,
        heed_links: true,
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
