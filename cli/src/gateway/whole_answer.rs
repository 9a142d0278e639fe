//! Forwards answers that are sent as a whole, once all of the body has
//! arrived.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        attempt::{NextStep, SendOutcome},
        routing_config::RetrySafety,
        wire::GatewayWire,
    },
    ids::UpstreamId,
    units::ByteSize,
};
use bytes::Bytes;
use http::{Response, response::Parts as ResponseParts};

use super::{
    body::read_answer,
    caller_listener::AnswerBody,
    forward::{CallerAttempt, SendError, UpstreamReply, buffered_body},
    metrics::RequestEnd,
};

/// Timeout of the first send of a request that may be resent, in latency
/// targets of its route.
const FIRST_SEND_TIMEOUT_FACTOR: f64 = 2.5;
/// Largest answer that is buffered as a whole.
const WHOLE_ANSWER_MAX: ByteSize = ByteSize::new(16 << 20);

impl<W: GatewayWire> CallerAttempt<W> {
    /// Answers with one response body.
    pub(super) async fn answer_whole(mut self) -> Response<AnswerBody> {
        loop {
            let wait = self.whole_answer_timeout();
            let reply = match self.send(None, |_| wait).await {
                Ok(reply) => reply,
                Err(SendError::Refused(refusal)) => {
                    return self.refuse(refusal);
                }
                Err(SendError::Ended(before, outcome)) => {
                    if self.authorize_resend(before, outcome).await {
                        continue;
                    }
                    let refusal = self.refusal_after(outcome);
                    return self.refuse(refusal);
                }
            };
            match self.forward_whole_answer(reply).await {
                Ok(response) => return response,
                Err(outcome) => {
                    let before = self.record.run_state();
                    if !self.authorize_resend(before, outcome).await {
                        let refusal = self.refusal_after(outcome);
                        return self.refuse(refusal);
                    }
                }
            }
        }
    }

    /// Timeout for the head of a whole answer. The first of several possible
    /// sends gets only part of the time left.
    fn whole_answer_timeout(&self) -> Duration {
        let first = self.sends == 0
            && self.admitted.route.retry_safety == RetrySafety::Idempotent
            && self.admitted.route.sends_max > 1;
        let left = self.time_left();
        if first {
            let target = self.admitted.route.latency_target;
            left.min(target.mul_f64(FIRST_SEND_TIMEOUT_FACTOR))
        } else {
            left
        }
    }

    /// Reads the rest of a whole answer and forwards it.
    pub(super) async fn forward_whole_answer(
        &mut self,
        reply: UpstreamReply<W>,
    ) -> Result<Response<AnswerBody>, SendOutcome> {
        let UpstreamReply {
            head,
            body,
            upstream,
            path,
            ..
        } = reply;
        let left = self.time_left();
        let body = body.into_inner();
        let body = read_answer(&self.context, body, WHOLE_ANSWER_MAX, left);
        let read = tokio::select! {
            biased;
            read = body => Ok(read),
            expiry = self.wait_until_expired() => Err(expiry),
        };
        let text = match read {
            Ok(Ok(body)) if self.context.wire.is_authentic_answer(&head) => {
                drop(path);
                return self.forward_answer(&head, &upstream, body).await;
            }
            Ok(Ok(_)) => {
                "the answer is not marked as produced by the upstream".into()
            }
            Ok(Err(error)) => {
                if !error.is_overload() {
                    self.suspect_crash(&upstream);
                }
                format!("the answer was not read: {error}")
            }
            Err(expiry) => format!("the answer was not complete: {expiry}"),
        };
        self.record_failed_send(&upstream, SendOutcome::Lost, &text);
        Err(SendOutcome::Lost)
    }

    async fn forward_answer(
        &mut self,
        head: &ResponseParts,
        upstream: &UpstreamId,
        body: Bytes,
    ) -> Result<Response<AnswerBody>, SendOutcome> {
        let failed = head.status.is_server_error();
        if failed
            && self.admitted.route.retry_safety == RetrySafety::Idempotent
            && self.could_resend()
            && self.prepay_resend().await
        {
            let text = format!("the upstream failed with {}", head.status);
            self.record_failed_send(upstream, SendOutcome::Failed, &text);
            return Err(SendOutcome::Failed);
        }
        let end = if failed {
            RequestEnd::UpstreamFailure
        } else {
            let now = self.context.now();
            self.context.core().record_success(now, upstream);
            self.record_sound_prompt(now);
            RequestEnd::Answered
        };
        let time = self.elapsed();
        self.timings.first_event = Some(time);
        self.context.metrics.record_latency("whole", time);
        let text = format!("status {} of {upstream}", head.status);
        self.record_end(end, &text);
        let mut response = Response::new(buffered_body(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.context.wire.answer_headers(head);
        Ok(response)
    }

    /// Whether the request's record and the planned stop, if any, allow another
    /// send after a failure of the upstream.
    fn could_resend(&self) -> bool {
        let mut record = self.record.clone();
        let now = self.context.now();
        let before = record.run_state();
        let step = record.finish_send(now, before, SendOutcome::Failed);
        matches!(step, NextStep::Resend { .. })
            && self.stop_allows_resend(Duration::ZERO)
    }
}
