//! The simulated engines, and the sending of requests to them.

use std::time::Duration;

use borageline_lib::{
    core::{Assignment, RequestProgress, StreamFailure},
    engine_api::{HeldRequest, LoadReport},
    entry::EntryEvent,
    ids::{RequestId, UpstreamId},
    owner::OwnerEvent,
    units::{Incarnation, TokenCount, TokenRate},
};
use rand::Rng;

use super::{
    DECODE_RATE, ENGINE_MEMORY, ENGINE_SLOTS, Event, PREFILL_RATE,
    SEND_DELAY_MAX_MS, Simulation,
};

impl Simulation {
    /// Delivers the result of a read, or a failure if it is lost.
    pub(super) fn read(&mut self, index: usize, event: OwnerEvent) {
        let lost = self.reads_fail
            || self.rng.random_range(0..100) < self.config.loss_percent;
        let event = match event {
            OwnerEvent::LoadRead(engine, _) if lost => {
                OwnerEvent::LoadRead(engine, None)
            }
            OwnerEvent::HeldRead(engine, _) if lost => {
                OwnerEvent::HeldRead(engine, None)
            }
            event => event,
        };
        let delay = self.rng.random_range(0..=self.config.message_delay_max_ms);
        self.schedule(delay, Event::Owner(index, event));
    }

    pub(super) fn load(&self, engine: &UpstreamId) -> LoadReport {
        let state = &self.engines[engine];
        LoadReport {
            engine: engine.clone(),
            incarnation: Incarnation::new(state.incarnation),
            age_ms: self.config.load_report_age_ms,
            held: state.held.values().map(|held| held.tokens).sum(),
            running: state.held.len() as u32,
            queued: 0,
            prefill_backlog: TokenCount::ZERO,
            prefill_rate: TokenRate::new(if self.engines_cold {
                PREFILL_RATE / 5
            } else {
                PREFILL_RATE
            }),
            decode_rate: TokenRate::new(DECODE_RATE),
            leaving: false,
        }
    }

    pub(super) fn deliver(&mut self, event: Event) {
        match event {
            Event::Owner(index, event) => self.owner_event(index, event),
            Event::Entry(index, event) => self.entry_event(index, event),
            Event::OwnerChanged(index, engine, to) => {
                let owner = self.instances[to].name.clone();
                self.instances[index].owners.insert(engine, owner);
            }
            Event::Cancel(engine, request) => {
                let state = self.engines.get_mut(&engine).expect("known");
                state.held.remove(&request);
            }
            Event::Write(index, request, dispatch, segment) => {
                self.write(index, request, dispatch, segment);
            }
            Event::Arrive(index, request, dispatch, segment) => {
                self.receive_at_engine(index, request, dispatch, segment);
            }
            Event::FirstChunk(index, request, engine, incarnation) => {
                if self.is_running(&request, &engine, incarnation) {
                    let first = RequestProgress::FirstChunk;
                    let event = EntryEvent::Progress(request, first);
                    self.entry_event(index, event);
                }
            }
            Event::End(index, request, engine, incarnation) => {
                self.finish(index, request, engine, incarnation);
            }
        }
    }

    pub(super) fn is_running(
        &self,
        request: &RequestId,
        engine: &UpstreamId,
        incarnation: u64,
    ) -> bool {
        let state = &self.engines[engine];
        state.incarnation == incarnation && state.held.contains_key(request)
    }

    pub(super) fn current_assignment(
        &self,
        request: &RequestId,
        dispatch: u64,
    ) -> Option<Assignment> {
        let (dispatches, assignment) = self.dispatches.get(request)?;
        let ended = self.ends.contains_key(request);
        (*dispatches == dispatch && !ended).then(|| assignment.clone())
    }

    pub(super) fn write(
        &mut self,
        index: usize,
        request: RequestId,
        dispatch: u64,
        segment: usize,
    ) {
        let Some(assignment) = self.current_assignment(&request, dispatch)
        else {
            return;
        };
        let engine = assignment.engines[segment].engine.clone();
        if segment == 0 && self.now >= assignment.send_before {
            let expired = StreamFailure::AssignmentExpired;
            return self.fail(&request, &engine, expired);
        }
        let sent = RequestProgress::Sent(engine);
        self.entry_event(index, EntryEvent::Progress(request.clone(), sent));
        let delay = self.rng.random_range(0..=SEND_DELAY_MAX_MS);
        self.schedule(delay, Event::Arrive(index, request, dispatch, segment));
    }

    pub(super) fn receive_at_engine(
        &mut self,
        index: usize,
        request: RequestId,
        dispatch: u64,
        segment: usize,
    ) {
        let descriptor = self.descriptors[&request].clone();
        let Some((_, assignment)) = self
            .dispatches
            .get(&request)
            .filter(|(current, _)| *current == dispatch)
        else {
            return;
        };
        let last = segment + 1 == assignment.engines.len();
        let assigned = assignment.engines[segment].clone();
        let engine = assigned.engine;
        let output = if last { descriptor.output.get() } else { 0 };
        let tokens = assigned.prompt.get() + output;
        let now = self.now;
        let state = self.engines.get_mut(&engine).expect("known engine");
        let used: u64 = state.held.values().map(|held| held.tokens.get()).sum();
        if used + tokens > ENGINE_MEMORY
            || state.held.len() >= ENGINE_SLOTS as usize
        {
            self.overcommitted += 1;
            return self.fail(&request, &engine, StreamFailure::Overcommitted);
        }
        let held = HeldRequest {
            request: request.clone(),
            tokens: TokenCount::new(tokens),
            age_ms: 0,
            attached: true,
        };
        state.held.insert(request.clone(), held);
        self.accepted.insert(request.clone());
        let start = state.busy_until.max(now);
        let prefill = assigned.prompt.get() * 1_000_000 / PREFILL_RATE;
        let first = start.after(Duration::from_micros(prefill));
        state.busy_until = first;
        let incarnation = state.incarnation;
        let most = self.max_held.entry(engine.clone()).or_default();
        *most = state.held.len().max(*most);
        let wait = first.since(now).as_millis() as u64;
        if last {
            let decode = output * 1000 / DECODE_RATE;
            let first_chunk = Event::FirstChunk(
                index,
                request.clone(),
                engine.clone(),
                incarnation,
            );
            self.schedule(wait, first_chunk);
            let end = Event::End(index, request, engine, incarnation);
            self.schedule(wait + decode, end);
        } else {
            self.schedule(
                wait,
                Event::Write(index, request, dispatch, segment + 1),
            );
        }
    }

    /// Reports that the stream of a request failed after its first chunk.
    pub(crate) fn interrupt(
        &mut self,
        request: &RequestId,
        failure: StreamFailure,
    ) {
        let (_, assignment) = &self.dispatches[request];
        let engine = assignment.engines.last().expect("not empty");
        let progress = RequestProgress::Failed {
            engine: engine.engine.clone(),
            failure,
            delivered: TokenCount::new(1),
        };
        let index = self.entry_instance(request);
        let event = EntryEvent::Progress(request.clone(), progress);
        self.entry_event(index, event);
    }

    pub(super) fn finish(
        &mut self,
        index: usize,
        request: RequestId,
        engine: UpstreamId,
        incarnation: u64,
    ) {
        if !self.is_running(&request, &engine, incarnation) {
            return;
        }
        let state = self.engines.get_mut(&engine).expect("known engine");
        state.held.remove(&request);
        if self.ends.contains_key(&request) {
            return;
        }
        self.dispatches.remove(&request);
        self.ends.insert(request.clone(), (self.now, None));
        let done = RequestProgress::Finished(self.descriptors[&request].output);
        self.entry_event(index, EntryEvent::Progress(request, done));
    }
}
