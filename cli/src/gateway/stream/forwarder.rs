//! Forwards the rest of a stream whose response has started.

use std::io;

use borageline_lib::{
    gateway::{
        attempt::SendOutcome, prompt_quarantine::SOUND_ANSWER_TIME,
        stream_cursor::StreamCursor, wire::GatewayWire,
    },
    ids::UpstreamId,
    units::Timestamp,
};
use bytes::Bytes;
use tokio::time::Instant;

use super::{
    super::{
        event_queue::EventSender,
        forward::{CallerAttempt, UpstreamReply},
        metrics::RequestEnd,
    },
    LATE_SEND_MAX,
    step::{STALL_TIME_MIN, StallLimit, StreamStep, next_step},
    takeover::{Continuation, Takeover, TakeoverError},
};

/// Expected gaps after which a silent stream counts as stalled.
const STALL_GAPS: u32 = 5;

/// A stream whose response has started.
pub(super) struct StreamForwarder<W: GatewayWire> {
    pub(super) attempt: CallerAttempt<W>,
    pub(super) cursor: StreamCursor,
    pub(super) sender: EventSender,
    pub(super) last_event: Timestamp,
    /// Time of the current upstream's first event; `None` before it.
    pub(super) answer_begun_at: Option<Timestamp>,
    /// Whether the prompt was recorded as sound.
    pub(super) is_sound: bool,
    /// Whether stalls no longer cause a fail-over.
    pub(super) ignore_stalls: bool,
    /// Whether lost links make a silence count as a stall sooner.
    pub(super) heed_links: bool,
}

impl<W: GatewayWire> StreamForwarder<W> {
    /// Forwards events until the stream ends, the deadline passes or the
    /// caller leaves.
    pub(super) async fn run(
        mut self,
        mut reply: UpstreamReply<W>,
        mut events: Vec<Bytes>,
        mut complete: bool,
    ) {
        let mut known_step = None;
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
            let step = match known_step.take() {
                Some(step) => step,
                None => self.next_step(&mut reply).await,
            };
            let (kept, text) = match step {
                StreamStep::Events(next) => {
                    self.record_gap();
                    self.record_progress();
                    events = next;
                    continue;
                }
                StreamStep::Complete => {
                    complete = true;
                    continue;
                }
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
                    (true, format!("no event for {silence:?}"))
                }
                StreamStep::Broken(text) => {
                    if self.is_answer_beginning() {
                        self.attempt.suspect_crash(&reply.upstream);
                    }
                    (false, text)
                }
            };
            let failed = reply.upstream.clone();
            let kept = kept.then_some(reply);
            match self.fail_over(&failed, kept, &text).await {
                Some((next, step)) => {
                    reply = next;
                    known_step = step;
                }
                None => return,
            }
        }
    }

    async fn next_step(&mut self, reply: &mut UpstreamReply<W>) -> StreamStep {
        let gap = self.attempt.admitted.route.gap_target * STALL_GAPS;
        let heeds_stalls =
            self.attempt.record.can_resend() && !self.ignore_stalls;
        let silence = if heeds_stalls {
            gap.max(STALL_TIME_MIN)
        } else {
            self.attempt.time_left()
        };
        let limit = StallLimit {
            silence,
            heeds_links: heeds_stalls && self.heed_links,
        };
        let caller = Some(&self.sender);
        next_step(&self.attempt, &mut self.cursor, reply, limit, caller).await
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
        self.sender.set_complete();
        let context = self.attempt.context.clone();
        if let (false, Some(begun_at)) = (self.is_sound, self.answer_begun_at) {
            self.attempt.record_sound_prompt(begun_at);
        }
        let now = context.now();
        context.core().record_success(now, &reply.upstream);
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

    /// Records that the upstream fell silent or broke off, and tries another one.
    /// One that is only silent, `kept`, goes on if it can before the other has
    /// begun. Returns what happens next, if it is known; `None` if the stream
    /// has ended, because it could not be resumed or the caller left.
    async fn fail_over(
        &mut self,
        failed: &UpstreamId,
        kept: Option<UpstreamReply<W>>,
        text: &str,
    ) -> Option<(UpstreamReply<W>, Option<StreamStep>)> {
        self.attempt
            .record_failed_send(failed, SendOutcome::Lost, text);
        if self.cursor.last_id().is_none() {
            self.abort("the stream cannot be resumed").await;
            return None;
        }
        let takeover = Takeover {
            attempt: &mut self.attempt,
            cursor: &mut self.cursor,
            caller: Some(&self.sender),
            answer_begun_at: self.answer_begun_at,
        };
        match takeover.run(kept).await {
            Ok(Continuation::Kept(reply, step)) => {
                // Without a free upstream the links are no reason to look for
                // one at ever shorter intervals.
                self.heed_links = false;
                Some((reply, step))
            }
            Ok(Continuation::Taken(reply, step)) => {
                self.answer_begun_at = None;
                self.heed_links = true;
                Some((reply, step))
            }
            Err(TakeoverError::CallerLeft) => None,
            Err(TakeoverError::Refused(refusal)) => {
                self.abort(&refusal.to_string()).await;
                None
            }
            Err(TakeoverError::NotResent(outcome)) => {
                let text = format!(
                    "the stream cannot be resumed after a send that ended \
                     with {outcome:?}",
                );
                self.abort(&text).await;
                None
            }
        }
    }
}
