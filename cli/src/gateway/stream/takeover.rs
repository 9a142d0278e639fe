//! Lets another upstream continue a stream whose upstream is silent or has
//! broken off.
//!
//! Silence does not show that an upstream has failed. A silent one is kept until
//! another one has begun, that is, has sent the first event that the caller
//! lacks, or a complete end. If the kept one goes on before, the other send is
//! dropped. Each of the two has a cursor of its own, and events of only one are
//! forwarded from then on, so that no event is lost, doubled or mixed. Nothing
//! but the next events is read from either meanwhile.

use borageline_lib::{
    gateway::{
        attempt::SendOutcome, prompt_quarantine::SOUND_ANSWER_TIME,
        stream_cursor::StreamCursor, wire::GatewayWire,
    },
    log_event::LogEvent,
    refusal::{Refusal, RunState},
    units::Timestamp,
};

use super::{
    super::{
        event_queue::EventSender,
        forward::{CallerAttempt, SendError, UpstreamReply},
    },
    first_event_timeout,
    step::{StallLimit, StreamStep, caller_left, next_events, next_step},
};
use crate::log_decision;

/// Text for the log on a stream that has no event.
const NO_EVENT: &str = "the stream ended before its first event";

/// Upstream with which a stream continues, and its next events or its end if
/// they have arrived.
pub(super) enum Continuation<W: GatewayWire> {
    /// The one that had fallen silent.
    Kept(UpstreamReply<W>, Option<StreamStep>),
    /// Another one.
    Taken(UpstreamReply<W>, Option<StreamStep>),
}

/// Why no upstream is left to continue a stream.
pub(super) enum TakeoverError {
    /// The caller closed its connection.
    CallerLeft,
    /// The request was not sent again.
    Refused(Refusal),
    /// The request may not be sent again after a send that ended like this.
    NotResent(SendOutcome),
}

/// A stream that another upstream is to continue.
pub(super) struct Takeover<'a, W: GatewayWire> {
    pub(super) attempt: &'a mut CallerAttempt<W>,
    pub(super) cursor: &'a mut StreamCursor,
    /// Watched for a closed connection, if the response has started.
    pub(super) caller: Option<&'a EventSender>,
    /// Time of the first event of the kept upstream.
    pub(super) answer_begun_at: Option<Timestamp>,
}

/// What one step of a takeover came to.
enum Progress<T> {
    Done(T),
    /// The kept upstream stays, with its next events or its end if they have
    /// arrived.
    Kept(Option<StreamStep>),
    CallerLeft,
}

/// Another upstream that has begun, or whose head has arrived when the kept one
/// broke off.
type StartedReply<W> = (UpstreamReply<W>, Option<StreamStep>);

impl<W: GatewayWire> Takeover<'_, W> {
    /// Sends the request elsewhere while `kept`, if any, is silent. The failed
    /// send has been recorded. On an error, nothing is kept.
    ///
    /// The silent upstream itself may get the request again if no other one can
    /// take it, since its silence may be that of a dead connection.
    pub(super) async fn run(
        mut self,
        mut kept: Option<UpstreamReply<W>>,
    ) -> Result<Continuation<W>, TakeoverError> {
        let mut before = self.attempt.record.run_state();
        let mut outcome = SendOutcome::Lost;
        let step = loop {
            let sent = match self.send(&mut kept, before, outcome).await {
                Progress::Done(sent) => sent,
                Progress::Kept(step) => break step,
                Progress::CallerLeft => return Err(TakeoverError::CallerLeft),
            };
            match (sent, &kept) {
                (Ok(reply), _) => {
                    let begun = self.wait_for_begin(&mut kept, reply).await;
                    match begun {
                        Progress::Done(Some((reply, step))) => {
                            return Ok(Continuation::Taken(reply, step));
                        }
                        Progress::Done(None) => {}
                        Progress::Kept(step) => break step,
                        Progress::CallerLeft => {
                            return Err(TakeoverError::CallerLeft);
                        }
                    }
                }
                (Err(_), Some(_)) => break None,
                (Err(error), None) => return Err(error),
            }
            before = self.attempt.record.run_state();
            outcome = SendOutcome::Lost;
        };
        let reply = kept.expect("an upstream that goes on is kept");
        if reply.path.is_direct() {
            self.attempt.last_upstream = Some(reply.upstream.clone());
        }
        if step.is_some() {
            self.log_continued(&reply);
        }
        Ok(Continuation::Kept(reply, step))
    }

    /// Sends the request elsewhere and waits for the head of a reply.
    async fn send(
        &mut self,
        kept: &mut Option<UpstreamReply<W>>,
        before: RunState,
        outcome: SendOutcome,
    ) -> Progress<Result<UpstreamReply<W>, TakeoverError>> {
        let resume_after = self.cursor.last_id();
        let context = self.attempt.context.clone();
        let mut suspicion =
            kept.is_some().then(|| self.attempt.crash_suspicion());
        let begun_at = self.answer_begun_at;
        let mut broken = None;
        let sent = {
            let sent = send_elsewhere(
                self.attempt,
                self.caller.is_some(),
                resume_after,
                before,
                outcome,
            );
            tokio::pin!(sent);
            loop {
                let step = tokio::select! {
                    biased;
                    () = caller_left(self.caller) => {
                        return Progress::CallerLeft;
                    }
                    step = kept_step(self.cursor, kept.as_mut()) => step,
                    sent = &mut sent => break sent,
                };
                let StreamStep::Broken(text) = step else {
                    return Progress::Kept(Some(step));
                };
                if let Some(reply) = kept.take() {
                    let suspicion = suspicion
                        .take()
                        .filter(|_| is_beginning(context.now(), begun_at));
                    if let Some(suspicion) = suspicion {
                        suspicion.record(&reply.upstream);
                    }
                    broken = Some((reply.upstream, text));
                }
            }
        };
        if let Some((upstream, text)) = broken {
            let outcome = SendOutcome::Lost;
            self.attempt.record_failed_send(&upstream, outcome, &text);
        }
        Progress::Done(sent)
    }

    /// Waits until another upstream has begun; `None` if it has failed. Without
    /// a kept one, its head is enough.
    async fn wait_for_begin(
        &mut self,
        kept: &mut Option<UpstreamReply<W>>,
        mut reply: UpstreamReply<W>,
    ) -> Progress<Option<StartedReply<W>>> {
        let mut cursor = self.cursor.branch();
        if kept.is_none() {
            *self.cursor = cursor;
            return Progress::Done(Some((reply, None)));
        }
        let timeout = first_event_timeout(self.attempt);
        let mut limit = StallLimit {
            silence: timeout(reply.time_to_first_event),
            heeds_links: self.attempt.record.can_resend(),
        };
        let text = loop {
            let step = tokio::select! {
                biased;
                step = kept_step(self.cursor, kept.as_mut()) => {
                    let StreamStep::Broken(text) = step else {
                        return Progress::Kept(Some(step));
                    };
                    self.record_broken(kept.take(), &text);
                    *self.cursor = cursor;
                    return Progress::Done(Some((reply, None)));
                }
                _ = self.attempt.wait_until_held(), if self.caller.is_none() => {
                    return Progress::Kept(None);
                }
                step = next_step(
                    self.attempt, &mut cursor, &mut reply, limit, self.caller,
                ) => step,
            };
            match step {
                StreamStep::CallerLeft => return Progress::CallerLeft,
                StreamStep::Expired(_) => return Progress::Kept(None),
                StreamStep::Stalled(silence) => {
                    if self.attempt.prepay_resend().await {
                        break format!("no event for {silence:?}");
                    }
                    limit = StallLimit {
                        silence: self.attempt.time_left(),
                        heeds_links: false,
                    };
                }
                StreamStep::Broken(text) => {
                    self.attempt.suspect_crash(&reply.upstream);
                    break text;
                }
                StreamStep::Complete if cursor.last_id().is_none() => {
                    self.attempt.suspect_crash(&reply.upstream);
                    break NO_EVENT.into();
                }
                step @ (StreamStep::Events(_) | StreamStep::Complete) => {
                    *kept = None;
                    *self.cursor = cursor;
                    return Progress::Done(Some((reply, Some(step))));
                }
            }
        };
        let outcome = SendOutcome::Lost;
        self.attempt
            .record_failed_send(&reply.upstream, outcome, &text);
        Progress::Done(None)
    }

    /// Records that the kept upstream broke off.
    fn record_broken(&mut self, kept: Option<UpstreamReply<W>>, text: &str) {
        let Some(reply) = kept else {
            return;
        };
        if is_beginning(self.attempt.context.now(), self.answer_begun_at) {
            self.attempt.suspect_crash(&reply.upstream);
        }
        self.attempt.record_failed_send(
            &reply.upstream,
            SendOutcome::Lost,
            text,
        );
    }

    fn log_continued(&self, reply: &UpstreamReply<W>) {
        let attempt = &self.attempt;
        let silent_since = attempt.last_event_at.unwrap_or(attempt.arrival);
        let silence = attempt.context.now().since(silent_since);
        log_decision!(
            LogEvent::StreamContinued,
            {
                request = attempt.id(),
                upstream = reply.upstream,
                silent_ms = silence.as_millis(),
                sends = attempt.sends,
                elapsed_ms = attempt.elapsed().as_millis(),
            },
            "{} goes on before another upstream has begun", reply.upstream,
        );
    }
}

/// Whether an answer whose first event came at `begun_at` has not begun, or only
/// just.
fn is_beginning(now: Timestamp, begun_at: Option<Timestamp>) -> bool {
    begun_at.is_none_or(|at| now.since(at) < SOUND_ANSWER_TIME)
}

/// Reads the next events of the kept upstream, its end or its failure; never
/// resolves without one.
async fn kept_step<W: GatewayWire>(
    cursor: &mut StreamCursor,
    kept: Option<&mut UpstreamReply<W>>,
) -> StreamStep {
    let Some(reply) = kept else {
        return std::future::pending().await;
    };
    match next_events(cursor, &mut reply.body).await {
        StreamStep::Complete if cursor.last_id().is_none() => {
            StreamStep::Broken(NO_EVENT.into())
        }
        step => step,
    }
}

/// Sends the request to other upstreams until one of them answers with a stream.
/// Before the response has begun, each has the time for a first event.
async fn send_elsewhere<W: GatewayWire>(
    attempt: &mut CallerAttempt<W>,
    is_begun: bool,
    resume_after: Option<u64>,
    mut before: RunState,
    mut outcome: SendOutcome,
) -> Result<UpstreamReply<W>, TakeoverError> {
    loop {
        if !attempt.authorize_resend(before, outcome).await {
            return Err(TakeoverError::NotResent(outcome));
        }
        let left = attempt.time_left();
        let timeout = first_event_timeout(attempt);
        let wait = |expected| if is_begun { left } else { timeout(expected) };
        match attempt.send(resume_after, wait).await {
            Ok(reply)
                if reply.head.status.is_success()
                    && attempt
                        .context
                        .wire
                        .is_authentic_answer(&reply.head) =>
            {
                return Ok(reply);
            }
            Ok(reply) => {
                let status = reply.head.status;
                let text =
                    format!("the upstream answered with status {status}");
                before = attempt.record.run_state();
                outcome = SendOutcome::Failed;
                attempt.record_failed_send(&reply.upstream, outcome, &text);
            }
            Err(SendError::Refused(refusal)) => {
                return Err(TakeoverError::Refused(refusal));
            }
            Err(SendError::Ended(state, end)) => {
                before = state;
                outcome = end;
            }
        }
    }
}
