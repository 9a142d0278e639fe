//! The task that serves one completion request.
//!
//! The core decides which engines get the request. The task sends it there,
//! checks the chunks of the completion, moves them into the caller's buffer,
//! and reports progress to the core. The request ends at its deadline, when a
//! planned stop ends all requests, or when the caller disconnects; the task
//! then cancels it at every engine to which it was sent. While the request waits
//! for a decision, the core ends it at its deadline, because only the core knows
//! what it waits for.

use std::{ops::ControlFlow, sync::Arc, time::Duration};

use borageline_lib::{
    api::{CompletionChunk, PromptInput},
    completion_stream::{
        CompletionStreamChecker, CompletionStreamError, CompletionStreamItem,
        EVENT_MAX_BYTES, SseParser,
    },
    core::{
        AssignedEngine, Assignment, RequestDecision, RequestDescriptor,
        RequestProgress, StreamFailure,
    },
    engine_api::{EngineRequest, KvState, PrefillRequest},
    gateway::{prompt_quarantine::SOUND_ANSWER_TIME, wire::PartId},
    ids::UpstreamId,
    log_event::LogEvent,
    planned_stop::RequestLimit,
    refusal::{Refusal, RefusalCode, RunState},
    units::{Timestamp, TokenCount},
};
use http_body_util::BodyExt;

use crate::{
    buffer::{ByteReservation, CompletionSender, StreamItem},
    driver::{CoreHandle, RequestHandle},
    engine_client::{EngineClient, RequestHeaders, to_stream_failure},
    http_client::HttpError,
    log_decision, logging,
    metrics::ServerMetrics,
    prompt::split_prompt,
    quarantine::RequestQuarantine,
    received_body::ReceivedBody,
    reply::log_refusal,
    stop_signal::StopSignal,
};

/// Longest time between two chunks of a completion. Engines may suspend the
/// decoding of a request in favour of requests of higher priority.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the first chunk of a completion, without the time added for each
/// token of the prompt.
const FIRST_CHUNK_BASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that each prompt token adds to the time for the first chunk. An engine
/// that prefills less than 1,000 tokens per second counts as unresponsive.
const PREFILL_TIMEOUT_PER_TOKEN: Duration = Duration::from_millis(1);
/// Time after the limit of a waiting request within which the core must have
/// ended it. The core does so in its next tick; only a core that no longer runs
/// takes longer.
const DECISION_GRACE: Duration = Duration::from_secs(1);
/// Time for which the caller's buffer may stay full before the task closes the
/// engine's stream, which it resumes when there is room again.
const DETACH_TIMEOUT: Duration = Duration::from_millis(250);

/// Shared state that a request's task needs.
#[derive(Clone, Debug)]
pub struct TaskContext {
    /// Handle of the core that decides about the request.
    pub handle: CoreHandle,
    /// Client for engines.
    pub engines: EngineClient,
    /// Requests that crash engines.
    pub quarantine: Arc<RequestQuarantine>,
    /// Metrics of the instance.
    pub metrics: Arc<ServerMetrics>,
    /// Planned stop of the instance.
    pub stop: StopSignal,
}

/// How a request ended.
#[derive(Debug)]
enum RequestEnd {
    Finished,
    Refused(Refusal),
    /// Withdrawn from the core, which did not refuse it itself.
    Withdrawn(Refusal),
    CallerDisconnected,
    LimitPassed(RequestLimit),
}

/// A failed attempt at an engine, and why it failed.
#[derive(Debug)]
struct AttemptFailure {
    engine: AssignedEngine,
    failure: StreamFailure,
}

/// How the reading of an engine's stream ended.
#[derive(Debug)]
enum StreamEnd {
    /// The end marker was received.
    Complete,
    /// The caller's buffer was full for too long.
    Detached,
    /// The stream failed.
    Failed(StreamFailure),
}

/// A prompt, together with the reservation of the request body that held it.
#[derive(Debug)]
pub struct BufferedPrompt {
    /// Prompt as the caller sent it.
    pub prompt: PromptInput,
    /// Reservation in the budget of request bodies.
    pub reservation: ByteReservation,
}

/// A request in progress.
#[derive(Debug)]
pub struct RequestTask {
    context: TaskContext,
    descriptor: RequestDescriptor,
    // `None` once the first chunk is delivered: from then on the request cannot
    // be sent to another engine.
    prompt: Option<BufferedPrompt>,
    // Ids by which the request is recognized when it comes again.
    contents: Vec<PartId>,
    // Time of the first chunk.
    answer_begun_at: Option<Timestamp>,
    // Whether the content was recorded as sound.
    is_sound: bool,
    arrived: Timestamp,
    // Engines to which the request was sent and not yet cancelled.
    active_engines: Vec<AssignedEngine>,
    // Engine that got the request last.
    last_engine: Option<UpstreamId>,
    sends: u32,
    // Time of the last chunk that was put into the caller's buffer.
    last_chunk_at: Option<Timestamp>,
    // Tokens put into the caller's buffer so far.
    delivered: u64,
    // Value of `delivered` when the stream was last reopened; a second time at
    // the same index would make no progress.
    last_resume_index: Option<u64>,
    run_state: RunState,
}

impl RequestTask {
    /// Creates the task of a request that was not sent to any engine yet.
    ///
    /// `arrived` is the time at which the head of the request was received.
    pub fn new(
        context: TaskContext,
        descriptor: RequestDescriptor,
        prompt: BufferedPrompt,
        arrived: Timestamp,
    ) -> Self {
        Self {
            context,
            descriptor,
            prompt: Some(prompt),
            contents: Vec::new(),
            answer_begun_at: None,
            is_sound: false,
            arrived,
            active_engines: Vec::new(),
            last_engine: None,
            sends: 0,
            last_chunk_at: None,
            delivered: 0,
            last_resume_index: None,
            run_state: RunState::NotRun,
        }
    }

    /// Sets the ids by which the request is recognized when it comes again.
    pub fn with_contents(self, contents: Vec<PartId>) -> Self {
        Self { contents, ..self }
    }

    /// Serves the request until it has ended.
    pub async fn run(mut self, sender: CompletionSender) {
        let caller = sender.monitor();
        let mut request_handle =
            self.context.handle.submit(self.descriptor.clone()).await;
        let end = tokio::select! {
            biased;
            () = caller.disconnected() => RequestEnd::CallerDisconnected,
            end = self.serve(&mut request_handle, &sender) => end,
        };
        match end {
            RequestEnd::Finished => {
                sender.finish(StreamItem::End);
                // The last engine has decoded the whole completion and needs no
                // cancellation. The engines before it still store the KV
                // state of their segments.
                self.active_engines.pop();
                self.cancel_active();
                let tokens = TokenCount::new(self.delivered);
                request_handle
                    .report(RequestProgress::Finished(tokens))
                    .await;
            }
            RequestEnd::Refused(refusal) => {
                self.fail(refusal, sender);
            }
            RequestEnd::Withdrawn(refusal) => {
                self.fail(refusal, sender);
                request_handle
                    .report(RequestProgress::CallerDisconnected)
                    .await;
            }
            RequestEnd::CallerDisconnected => {
                self.cancel_active();
                request_handle
                    .report(RequestProgress::CallerDisconnected)
                    .await;
            }
            RequestEnd::LimitPassed(limit) => {
                let text = "the deadline passed before the answer was complete";
                self.fail(limit.refusal(text), sender);
                request_handle
                    .report(RequestProgress::CallerDisconnected)
                    .await;
            }
        }
    }

    /// Ends the completion with a failure and cancels it at the engines.
    fn fail(&mut self, refusal: Refusal, sender: CompletionSender) {
        self.cancel_active();
        let refusal = self.with_combined_run_state(refusal);
        let item = StreamItem::Failure(refusal.clone());
        if sender.finish(item) {
            log_refusal(&self.descriptor.request, &refusal);
            self.log_cut(&refusal);
        }
    }

    /// Logs that the answer is cut off after its beginning.
    fn log_cut(&self, refusal: &Refusal) {
        let now = self.context.handle.clock().now();
        let stop = &self.context.stop;
        let silence = self.last_chunk_at.map(|at| now.since(at).as_millis());
        let engine = self.last_engine.as_ref();
        log_decision!(
            LogEvent::AnswerCut,
            {
                request = self.descriptor.request,
                stop_read_ms = stop.age_ms(self.arrived),
                stop_cut_ms = stop.age_ms(now),
                sends = self.sends,
                silent_ms = silence
                    .map_or_else(|| "-".into(), |silence| silence.to_string()),
                elapsed_ms = now.since(self.arrived).as_millis(),
                tokens = self.delivered,
                upstream = engine.map_or("-", |engine| engine.as_str()),
            },
            "{refusal}",
        );
    }

    async fn serve(
        &mut self,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> RequestEnd {
        let deadline = self.descriptor.deadline;
        let stop = self.context.stop.clone();
        loop {
            let overdue = async {
                let limit = stop.limit_passed(deadline).await;
                tokio::time::sleep(DECISION_GRACE).await;
                limit
            };
            let decision = tokio::select! {
                biased;
                decision = request_handle.decision() => decision,
                limit = overdue => return RequestEnd::LimitPassed(limit),
            };
            let decision = match decision {
                None => {
                    let text = "the core has stopped";
                    let code = RefusalCode::Internal;
                    return RequestEnd::Refused(Refusal::new(code, text));
                }
                // Not subject to the limit, since it says why the request was
                // still waiting then.
                Some(RequestDecision::End(refusal)) => {
                    return RequestEnd::Refused(refusal);
                }
                Some(decision) => decision,
            };
            let step = tokio::select! {
                biased;
                limit = stop.limit_passed(deadline) => {
                    return RequestEnd::LimitPassed(limit);
                }
                step = self.attempt(decision, request_handle, sender) => step,
            };
            let AttemptFailure { engine, failure } = match step {
                ControlFlow::Continue(failure) => failure,
                ControlFlow::Break(end) => return end,
            };
            let delivered = TokenCount::new(self.delivered);
            request_handle
                .report(RequestProgress::Failed {
                    engine: engine.engine,
                    failure,
                    delivered,
                })
                .await;
        }
    }

    /// Executes a decision of the core at its engines. Breaks if that ended the
    /// request.
    async fn attempt(
        &mut self,
        decision: RequestDecision,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> ControlFlow<RequestEnd, AttemptFailure> {
        let result = match decision {
            RequestDecision::End(refusal) => {
                return ControlFlow::Break(RequestEnd::Refused(refusal));
            }
            // A different engine would generate a different text.
            RequestDecision::Dispatch(_) if self.delivered > 0 => {
                return ControlFlow::Break(RequestEnd::Refused(truncated()));
            }
            RequestDecision::Dispatch(assignment) => {
                let published = self.context.handle.published();
                let quarantine = &self.context.quarantine;
                let checked = quarantine.check(&published, &self.contents);
                if let Err(refusal) = checked {
                    let end = RequestEnd::Withdrawn(refusal);
                    return ControlFlow::Break(end);
                }
                self.cancel_earlier_attempts(&assignment).await;
                self.dispatch(assignment, request_handle, sender).await
            }
            RequestDecision::Resume { .. }
                if self.last_resume_index == Some(self.delivered) =>
            {
                return ControlFlow::Break(RequestEnd::Refused(truncated()));
            }
            RequestDecision::Resume { engine, pause } => {
                tokio::time::sleep(pause).await;
                self.resume(engine, request_handle, sender).await
            }
        };
        match result {
            Ok(()) => ControlFlow::Break(RequestEnd::Finished),
            Err(failure) => ControlFlow::Continue(failure),
        }
    }

    /// Sends a request to the engines of an assignment: the first segments of
    /// the prompt for prefilling, the last one for prefilling and decoding.
    /// Then moves the completion to the caller.
    async fn dispatch(
        &mut self,
        assignment: Assignment,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> Result<(), AttemptFailure> {
        let Assignment {
            engines,
            send_before,
            priority,
        } = assignment;
        let Some((last, others)) = engines.split_last() else {
            let text = "an assignment names at least one engine";
            unreachable!("{text}");
        };
        let lengths: Vec<_> = engines.iter().map(|e| e.prompt).collect();
        let prompt = self.prompt.as_ref().expect("no chunk was delivered");
        let mut segments = split_prompt(&prompt.prompt, &lengths).into_iter();
        if self.context.handle.clock().now() >= send_before {
            let engine = engines[0].clone();
            let failure = StreamFailure::AssignmentExpired;
            return Err(AttemptFailure { engine, failure });
        }
        let mut imported = None;
        for (engine, prompt) in others.iter().zip(segments.by_ref()) {
            let body = PrefillRequest {
                model: self.descriptor.model.clone(),
                prompt,
                priority,
                imported,
            };
            imported = Some(self.prefill(engine, body, request_handle).await?);
        }
        let body = EngineRequest {
            model: self.descriptor.model.clone(),
            prompt: segments.next().expect("one segment for each engine"),
            max_tokens: u32::try_from(self.descriptor.output.get())
                .unwrap_or(u32::MAX),
            stream: true,
            priority,
            imported,
        };
        let before = self.record_dispatch(last, request_handle).await;
        let chunk_timeout = first_chunk_timeout(last.prompt);
        let request = self.descriptor.request.clone();
        let headers = self.headers(&request);
        let engines = self.context.engines.clone();
        let stream = engines
            .completions(last.into(), headers, &body, chunk_timeout)
            .await;
        drop(body);
        let stream = stream
            .map_err(|error| self.record_failure(last, before, &error))?;
        self.relay_completion(
            last,
            stream,
            chunk_timeout,
            request_handle,
            sender,
        )
        .await
    }

    /// Sends a segment of the prompt to an engine and returns the KV state
    /// after it.
    async fn prefill(
        &mut self,
        engine: &AssignedEngine,
        body: PrefillRequest,
        request_handle: &mut RequestHandle,
    ) -> Result<KvState, AttemptFailure> {
        let before = self.record_dispatch(engine, request_handle).await;
        let request = self.descriptor.request.clone();
        let headers = self.headers(&request);
        let engines = self.context.engines.clone();
        let state = engines.prefill(engine.into(), headers, &body).await;
        state.map_err(|error| self.record_failure(engine, before, &error))
    }

    async fn resume(
        &mut self,
        engine: AssignedEngine,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> Result<(), AttemptFailure> {
        let stream = self.open_resumed_stream(&engine).await?;
        self.last_resume_index = Some(self.delivered);
        self.relay_completion(
            &engine,
            stream,
            CHUNK_TIMEOUT,
            request_handle,
            sender,
        )
        .await
    }

    /// Reopens an engine's stream at the first token that is not delivered.
    async fn open_resumed_stream(
        &mut self,
        engine: &AssignedEngine,
    ) -> Result<ReceivedBody, AttemptFailure> {
        let request = self.descriptor.request.clone();
        let stream = self.context.engines.resume(
            engine.address,
            self.headers(&request),
            self.delivered,
            CHUNK_TIMEOUT,
        );
        let stream = stream.await;
        stream.map_err(|error| {
            self.record_failure(engine, self.run_state, &error)
        })
    }

    /// Moves a completion to the caller. While the caller reads too slowly, the
    /// engine's stream is closed; it is resumed once the buffer has drained.
    async fn relay_completion(
        &mut self,
        engine: &AssignedEngine,
        stream: ReceivedBody,
        chunk_timeout: Duration,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> Result<(), AttemptFailure> {
        let mut end = self
            .relay_stream(stream, chunk_timeout, request_handle, sender)
            .await;
        loop {
            match end {
                StreamEnd::Complete => {
                    self.record_sound();
                    return Ok(());
                }
                StreamEnd::Failed(failure) => {
                    if failure == StreamFailure::Interrupted
                        && !self.is_answer_going_on()
                    {
                        self.suspect_crash(engine);
                    }
                    let engine = engine.clone();
                    return Err(AttemptFailure { engine, failure });
                }
                StreamEnd::Detached => {
                    self.context.metrics.detached_streams.inc();
                    sender.wait_for_room().await;
                    let stream = self.open_resumed_stream(engine).await?;
                    end = self
                        .relay_stream(
                            stream,
                            CHUNK_TIMEOUT,
                            request_handle,
                            sender,
                        )
                        .await;
                }
            }
        }
    }

    /// Moves the chunks of one stream to the caller until the stream ends or
    /// the caller's buffer stays full.
    ///
    /// `chunk_timeout` limits the wait for the first chunk; later chunks have
    /// [`CHUNK_TIMEOUT`].
    async fn relay_stream(
        &mut self,
        mut stream: ReceivedBody,
        mut chunk_timeout: Duration,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> StreamEnd {
        let request = self.descriptor.request.clone();
        let mut parser = SseParser::new(EVENT_MAX_BYTES);
        let mut checker = CompletionStreamChecker::new(request, self.delivered);
        loop {
            let frame =
                tokio::time::timeout(chunk_timeout, stream.frame()).await;
            let frame = match frame {
                Err(_) => return StreamEnd::Failed(StreamFailure::IdleTimeout),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    return self.truncated_stream(&error.to_string());
                }
                Ok(None) => return self.truncated_stream("stream ended"),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let events = match parser.feed(&bytes) {
                Ok(events) => events,
                Err(error) => return self.truncated_stream(&error.to_string()),
            };
            for data in events {
                match checker.check(&data) {
                    Ok(CompletionStreamItem::Chunk(chunk)) => {
                        chunk_timeout = CHUNK_TIMEOUT;
                        if !self.deliver(chunk, request_handle, sender).await {
                            return StreamEnd::Detached;
                        }
                        self.delivered = checker.next_index();
                    }
                    Ok(CompletionStreamItem::Foreign) => {
                        self.record_foreign_chunk()
                    }
                    Ok(CompletionStreamItem::Repeated) => {
                        self.context.metrics.repeated_chunks.inc();
                    }
                    Ok(CompletionStreamItem::End) => {
                        return StreamEnd::Complete;
                    }
                    Err(CompletionStreamError::Reported(_)) => {
                        return StreamEnd::Failed(StreamFailure::EngineError);
                    }
                    Err(error) => {
                        return self.truncated_stream(&error.to_string());
                    }
                }
            }
        }
    }

    /// Puts a chunk into the caller's buffer. Returns false if there was no
    /// room for it within [`DETACH_TIMEOUT`].
    async fn deliver(
        &mut self,
        chunk: CompletionChunk,
        request_handle: &mut RequestHandle,
        sender: &CompletionSender,
    ) -> bool {
        let first = self.delivered == 0 && chunk.index_from == 0;
        if let Err(chunk) = sender.push(chunk) {
            let room =
                tokio::time::timeout(DETACH_TIMEOUT, sender.wait_for_room());
            if room.await.is_err() || sender.push(chunk).is_err() {
                return false;
            }
        }
        self.run_state = RunState::Ran;
        let now = self.context.handle.clock().now();
        self.answer_begun_at.get_or_insert(now);
        self.last_chunk_at = Some(now);
        if self.is_answer_going_on() {
            self.record_sound();
        }
        if first {
            self.prompt = None;
            let time = now.since(self.arrived);
            let metrics = &self.context.metrics;
            metrics.observe_first_token(self.descriptor.prompt, time);
            request_handle.report(RequestProgress::FirstChunk).await;
        }
        true
    }

    /// Whether the answer goes on for long enough to show that the request does
    /// not crash engines.
    fn is_answer_going_on(&self) -> bool {
        let now = self.context.handle.clock().now();
        self.answer_begun_at
            .is_some_and(|at| now.since(at) >= SOUND_ANSWER_TIME)
    }

    fn record_sound(&mut self) {
        if self.is_sound {
            return;
        }
        if let Some(begun_at) = self.answer_begun_at {
            self.is_sound = true;
            let quarantine = &self.context.quarantine;
            quarantine.record_sound(&self.contents, begun_at);
        }
    }

    fn suspect_crash(&self, engine: &AssignedEngine) {
        self.context.quarantine.suspect_crash(
            engine.engine.clone(),
            engine.address,
            self.descriptor.request.clone(),
            self.contents.clone(),
        );
    }

    /// Counts and logs a stream that ended without its end marker.
    fn truncated_stream(&self, cause: &str) -> StreamEnd {
        self.context.metrics.truncated_answers.inc();
        let request = &self.descriptor.request;
        let text = format!(
            "engine stream of {request} ended early after {} tokens: {cause}",
            self.delivered,
        );
        logging::event(LogEvent::AnswerTruncated, &text);
        StreamEnd::Failed(StreamFailure::Interrupted)
    }

    fn record_foreign_chunk(&self) {
        self.context.metrics.foreign_chunks.inc();
        let request = &self.descriptor.request;
        let text = format!(
            "dropped a chunk with another request's id from the answer to \
             {request}",
        );
        logging::event(LogEvent::ForeignPart, &text);
    }

    /// Records that the request is about to be sent to an engine. Returns the
    /// previous run state, which is restored if nothing was sent.
    async fn record_dispatch(
        &mut self,
        engine: &AssignedEngine,
        request_handle: &mut RequestHandle,
    ) -> RunState {
        let before = self.run_state;
        if before == RunState::NotRun {
            self.run_state = RunState::MayHaveRun;
        }
        self.active_engines.push(engine.clone());
        self.last_engine = Some(engine.engine.clone());
        self.sends += 1;
        let progress = RequestProgress::Sent(engine.engine.clone());
        request_handle.report(progress).await;
        before
    }

    /// Records a failed call to an engine. `before` is the run state from
    /// before the call; it is restored if the engine did not get the request.
    fn record_failure(
        &mut self,
        engine: &AssignedEngine,
        before: RunState,
        error: &HttpError,
    ) -> AttemptFailure {
        let failure = to_stream_failure(error);
        if matches!(error, HttpError::Broken { .. }) {
            self.suspect_crash(engine);
        }
        if error.run_state() == RunState::NotRun {
            self.run_state = before;
            self.active_engines
                .retain(|active| active.engine != engine.engine);
        }
        let engine = engine.clone();
        AttemptFailure { engine, failure }
    }

    /// Cancels earlier attempts. An engine that gets the request again must
    /// have cancelled its earlier attempt first, so this waits for it.
    async fn cancel_earlier_attempts(&mut self, assignment: &Assignment) {
        let is_reassigned = |active: &AssignedEngine| {
            assignment.engines.iter().any(|e| e.engine == active.engine)
        };
        let (reassigned_engines, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.active_engines)
                .into_iter()
                .partition(is_reassigned);
        self.active_engines = others;
        self.cancel_active();
        for engine in reassigned_engines {
            let request = &self.descriptor.request;
            // If this fails, the engine refuses the repeated request.
            let _ = self.context.engines.cancel(engine.address, request).await;
        }
    }

    fn cancel_active(&mut self) {
        for engine in std::mem::take(&mut self.active_engines) {
            let engines = self.context.engines.clone();
            let request = self.descriptor.request.clone();
            tokio::spawn(async move {
                // The result is not needed: the engine's next list of held
                // requests shows whether the request was cancelled.
                let _ = engines.cancel(engine.address, &request).await;
            });
        }
    }

    /// Combines the run state of a refusal with the state recorded by this
    /// task; the one in which the request is more likely to have run wins.
    fn with_combined_run_state(&self, refusal: Refusal) -> Refusal {
        let run_state = match (self.run_state, refusal.run_state) {
            (RunState::Ran, _) | (_, RunState::Ran) => RunState::Ran,
            (RunState::NotRun, RunState::NotRun) => RunState::NotRun,
            _ => RunState::MayHaveRun,
        };
        refusal.with_run_state(run_state)
    }

    fn headers<'a>(
        &self,
        request: &'a borageline_lib::ids::RequestId,
    ) -> RequestHeaders<'a> {
        let now = self.context.handle.clock().now();
        let limit = self.context.stop.limit(self.descriptor.deadline);
        RequestHeaders {
            request,
            time_left: limit.ends_at().since(now),
        }
    }
}

fn truncated() -> Refusal {
    Refusal::new(
        RefusalCode::AnswerTruncated,
        "the engine's stream ended early and could not be resumed",
    )
    .with_run_state(RunState::Ran)
}

fn first_chunk_timeout(prompt: TokenCount) -> Duration {
    let tokens = u32::try_from(prompt.get()).unwrap_or(u32::MAX);
    FIRST_CHUNK_BASE_TIMEOUT + PREFILL_TIMEOUT_PER_TOKEN * tokens
}
