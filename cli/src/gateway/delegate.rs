//! Sends requests to upstreams for other instances.
//!
//! Each gets one send; the instance to which the caller is connected decides
//! what follows. The reply is passed on as it arrives.

use std::{io, sync::atomic::Ordering, time::Duration};

use borageline_lib::{
    gateway::{
        attempt::{AttemptRecord, SendOutcome},
        delegation::{DelegatedReply, DelegatedRequest, millis},
        prompt_quarantine::{SOUND_ANSWER_TIME, TrialGrant},
        wire::GatewayWire,
    },
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Either;
use hyper::body::Incoming;

use super::{
    SharedGateway,
    body::read_body,
    caller_listener::AnswerBody,
    delegation::{REPLY_HEADER, REQUEST_HEADER, header_value},
    event_queue::{EventBody, EventSender, event_queue},
    forward::{CallerAttempt, SendError, UpstreamReply, buffered_body},
    metrics::RequestEnd,
    stream::LATE_SEND_MAX,
};

/// Most pieces of a reply that are buffered for the other instance.
const PIECE_QUEUE_MAX: usize = 32;

/// Whether another instance asks for a send.
pub(super) fn is_delegated<B>(request: &Request<B>) -> bool {
    request.headers().contains_key(REQUEST_HEADER)
}

/// Makes one send to an upstream and answers with its reply, or with a report
/// of how the send ended.
pub(super) async fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (data, mut attempt) = match accept(context, request).await {
        Ok(accepted) => accepted,
        Err(refusal) => return report(&DelegatedReply::refused(&refusal)),
    };
    let reply_wait = Duration::from_millis(data.reply_wait_ms);
    loop {
        let sent = attempt.send(data.resume_after, |_| reply_wait).await;
        let (before, outcome) = match sent {
            Ok(reply) => {
                let exit_age = &attempt.context.exit_age;
                let (sender, body) =
                    event_queue(PIECE_QUEUE_MAX, attempt.id(), exit_age);
                let response = response_head(&attempt, &reply, body);
                let forwarder = ReplyForwarder {
                    attempt,
                    sender,
                    begun_at: None,
                };
                tokio::spawn(forwarder.run(reply));
                return response;
            }
            Err(SendError::Refused(refusal)) => {
                let refusal =
                    refusal.with_run_state(attempt.record.run_state());
                let text = refusal.to_string();
                attempt.record_end(RequestEnd::Delegated, &text);
                return report(&DelegatedReply::refused(&refusal));
            }
            Err(SendError::Ended(before, outcome)) => (before, outcome),
        };
        // Only a send that reached no upstream is repeated here.
        if outcome != SendOutcome::NotConnected
            || !attempt.authorize_resend(before, outcome).await
        {
            let text = format!("the send ended with {outcome:?}");
            attempt.record_end(RequestEnd::Delegated, &text);
            let failed = if outcome.proves_not_run() {
                attempt.excluded.pop()
            } else {
                attempt.tried.pop()
            };
            return report(&DelegatedReply::Ended {
                upstream: failed,
                outcome,
            });
        }
    }
}

/// Checks whether this instance may send a request, and admits it.
async fn accept<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Incoming>,
) -> Result<(DelegatedRequest, CallerAttempt<W>), Refusal> {
    let malformed = |text: String| Refusal::new(RefusalCode::Malformed, text);
    let (mut head, body) = request.into_parts();
    let value = head.headers.remove(REQUEST_HEADER);
    let text = value.as_ref().and_then(|value| value.to_str().ok());
    let data: DelegatedRequest = text
        .unwrap_or_default()
        .parse()
        .map_err(|error| malformed(format!("delegated request: {error}")))?;
    let mut caller = context
        .wire
        .read_request(&head)
        .map_err(|error| malformed(error.to_string()))?;
    let open = context.open_connections.load(Ordering::Relaxed)
        + context.delegated_requests.len() as u64;
    if open > context.settings().connections_max() {
        let text = "the instance has too many connections";
        return Err(Refusal::new(RefusalCode::Overloaded, text));
    }
    let arrived_at = context.now();
    if !context.core().reaches(arrived_at, &data.service) {
        let service = &data.service;
        let text = format!("no upstream of {service} can be reached");
        return Err(Refusal::new(RefusalCode::NoUpstream, text));
    }
    let time_left = Duration::from_millis(data.time_left_ms);
    caller.timeout = Some(time_left);
    let body = read_body(context, &caller, body).await?;
    let target = (&*caller.host, head.uri.path());
    let admitted = context.core().admit_delegated(
        data.config_version,
        &data.service,
        target,
        caller.key.as_deref(),
    )?;
    let deadline = arrived_at.after(time_left);
    let record = AttemptRecord::for_delegate(&admitted.route, deadline);
    let attempt =
        CallerAttempt::new(context, head, body, caller, admitted, record)
            .with_delegated(&data);
    Ok((data, attempt))
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Takes over what the other instance knows of the request.
    fn with_delegated(mut self, data: &DelegatedRequest) -> Self {
        let waited = Duration::from_millis(data.waited_ms);
        self.arrival = self.arrival.before(waited).unwrap_or(Timestamp::ZERO);
        self.is_delegated = true;
        self.was_placed = data.was_placed;
        self.excluded = data.excluded.clone();
        self.tried = data.tried.clone();
        if !data.tried_parts.is_empty() {
            self.trial = Some(TrialGrant {
                parts: data.tried_parts.clone(),
                granted_at: self.context.now(),
            });
        }
        self
    }
}

/// Response that only reports how the request ended.
fn report(reply: &DelegatedReply) -> Response<AnswerBody> {
    let mut response = Response::new(buffered_body(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let value = header_value(&reply.to_string());
    response.headers_mut().insert(REPLY_HEADER, value);
    response
}

fn response_head<W: GatewayWire>(
    attempt: &CallerAttempt<W>,
    reply: &UpstreamReply<W>,
    body: EventBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = reply.head.status;
    let mut headers = attempt.context.wire.answer_headers(&reply.head);
    let data = DelegatedReply::Reply {
        upstream: reply.upstream.clone(),
        expected_ms: millis(reply.time_to_first_event),
    };
    headers.insert(REPLY_HEADER, header_value(&data.to_string()));
    *response.headers_mut() = headers;
    response
}

/// A reply whose body is passed on to the other instance.
struct ReplyForwarder<W: GatewayWire> {
    attempt: CallerAttempt<W>,
    sender: EventSender,
    /// Time of the first piece of the body.
    begun_at: Option<Timestamp>,
}

impl<W: GatewayWire> ReplyForwarder<W> {
    async fn run(mut self, mut reply: UpstreamReply<W>) {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return,
                frame = reply.body.frame() => frame,
                expiry = self.attempt.wait_until_expired() => {
                    let text = expiry.to_string();
                    self.abort(RequestEnd::Delegated, &text).await;
                    return;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let now = self.attempt.context.now();
                    self.attempt.last_event_at = Some(now);
                    if self.begun_at.is_none() {
                        self.begun_at = Some(now);
                        let time = self.attempt.elapsed();
                        self.attempt.timings.first_event = Some(time);
                        reply.path.record_first_event();
                    }
                    let late = self.attempt.time_left() + LATE_SEND_MAX;
                    let sent = tokio::select! {
                        biased;
                        sent = self.sender.send(Ok(bytes)) => sent,
                        () = tokio::time::sleep(late) => {
                            drop(reply);
                            let text = "the other instance read too slowly";
                            self.abort(RequestEnd::Delegated, text).await;
                            return;
                        }
                        stop = self.attempt.context.wait_until_stop_ends() => {
                            let text = stop.to_string();
                            self.abort(RequestEnd::Delegated, &text).await;
                            return;
                        }
                    };
                    if sent.is_err() {
                        return;
                    }
                }
                Some(Err(error)) => {
                    self.record_broken(&reply, &error.to_string());
                    self.abort(RequestEnd::BrokenOff, &error.to_string()).await;
                    return;
                }
                None => {
                    self.finish(&reply);
                    return;
                }
            }
        }
    }

    fn record_broken(&mut self, reply: &UpstreamReply<W>, text: &str) {
        let now = self.attempt.context.now();
        let is_beginning = self
            .begun_at
            .is_none_or(|at| now.since(at) < SOUND_ANSWER_TIME);
        if is_beginning {
            self.attempt.suspect_crash(&reply.upstream);
        }
        let outcome = SendOutcome::Lost;
        self.attempt
            .record_failed_send(&reply.upstream, outcome, text);
    }

    fn finish(&mut self, reply: &UpstreamReply<W>) {
        self.sender.set_complete();
        if !reply.head.status.is_server_error() {
            let now = self.attempt.context.now();
            let mut core = self.attempt.context.core();
            core.record_success(now, &reply.upstream);
        }
        if let Some(begun_at) = self.begun_at {
            self.attempt.record_sound_prompt(begun_at);
        }
        let text =
            format!("status {} of {}", reply.head.status, reply.upstream);
        self.attempt.record_end(RequestEnd::Delegated, &text);
    }

    /// Breaks the reply off, so that the other instance sees it as incomplete.
    async fn abort(&mut self, end: RequestEnd, text: &str) {
        self.attempt.log_cut(text);
        self.attempt.record_end(end, text);
        let error = io::Error::other("the reply was broken off");
        // If the other instance has closed the connection, it needs no error.
        let _ = self.sender.send(Err(error)).await;
    }
}
